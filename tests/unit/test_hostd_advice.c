/* Tests of queues whose tasks need the placement advisor's permission: queries
   name no more workers than needed, and no task starts without a valid
   ticket.  */

#include "../../programs/foxtailgap-hostd/advisor.h"
#include "check.h"
#include "hostd_fixture.h"

enum
{
  WORKERS = 40,
  VALIDITY_MS = 3000,
  ROUND_MS = 20
};

struct setup
{
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  GPtrArray *asks;
  int64_t now_ms;
  uint32_t asked; /* workers named in all queries */
  uint32_t calls; /* answers given */
  uint32_t started;
};

static void
set_up (struct setup *setup)
{
  struct sd_params params = { .remote_slowdown_factor = 3,
                              .stop_max_ms = 200,
                              .reserved_tasks_per_100_workers = 50 };
  uint32_t i;

  memset (setup, 0, sizeof *setup);
  setup->now_ms = 1000;
  setup->table = jb_table_create ();
  setup->sched = sd_create (&params, setup->table);
  setup->catalog = fixture_catalog ();
  setup->catalog->queues[1].uses_advisor = true;
  setup->asks = sd_advisor_queries_create ();
  sd_set_catalog (setup->sched, setup->catalog);
  for (i = 0; i < WORKERS; i++)
    {
      char *id = g_strdup_printf ("w%02u", i);

      fixture_worker (setup->sched, id, "r1", 8);
      g_free (id);
    }
}

static void
tear_down (struct setup *setup)
{
  g_ptr_array_free (setup->asks, TRUE);
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
}

static struct jb_job *
add_job (struct setup *setup, const char *id, const struct fixture_step *step)
{
  struct jb_job *job = jb_table_add (
      setup->table, id, fixture_spec ("batch", "clinic", step), setup->now_ms);

  sd_job_added (setup->sched, job);
  return job;
}

static void
run_round_after (struct setup *setup, uint32_t time_ms)
{
  struct sd_commands commands = { .starts = g_ptr_array_new (),
                                  .stops = g_ptr_array_new (),
                                  .advisor_queries = setup->asks };

  setup->now_ms += time_ms;
  sd_round (setup->sched, setup->now_ms, 0, &commands);
  setup->started += commands.starts->len;
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
}

/* Answers the one open query; if RESULT is AP_DONE, it allows the workers with
   even numbers.  */
static void
answer_query (struct setup *setup, enum ap_result result)
{
  struct sd_advisor_query *ask;
  struct ap_allowed_worker rows[100];
  struct ap_answer answer
      = { .result = result, .allowed = rows, .validity_ms = VALIDITY_MS };
  size_t i;

  CU_ASSERT_EQUAL_FATAL (setup->asks->len, 1);
  ask = g_ptr_array_steal_index (setup->asks, 0);
  setup->calls++;
  for (i = 0; ask->workers[i] != NULL; i++)
    {
      setup->asked++;
      if (result == AP_DONE && (ask->workers[i][2] - '0') % 2 == 0)
        rows[answer.allowed_count++]
            = (struct ap_allowed_worker){ .worker = ask->workers[i],
                                          .ticket = "yes" };
    }
  sd_advisor_answered (setup->sched, ask, &answer, setup->now_ms);
  sd_advisor_query_free (ask);
}

/* Whether all placed tasks of JOB are on allowed workers and have a ticket. */
static bool
all_placed_where_allowed (const struct setup *setup, const struct jb_job *job)
{
  size_t i;

  for (i = 0; i < job->task_total; i++)
    {
      const struct jb_task *task = &job->tasks[i];

      if (task->state != JB_TASK_PLACED)
        continue;
      if ((task->worker[2] - '0') % 2 != 0
          || g_strcmp0 (sd_task_ticket (setup->sched, task), "yes") != 0)
        return false;
    }
  return true;
}

static void
test_starts_only_where_allowed (void)
{
  struct fixture_step step = { .count = 6, .accelerators = 8 };
  struct setup setup;
  struct jb_job *job;

  set_up (&setup);
  job = add_job (&setup, "00000000000000aa", &step);
  run_round_after (&setup, ROUND_MS);
  CU_ASSERT_EQUAL (setup.started, 0);
  answer_query (&setup, AP_DONE);
  run_round_after (&setup, ROUND_MS);
  while (setup.asks->len > 0)
    {
      answer_query (&setup, AP_DONE);
      run_round_after (&setup, ROUND_MS);
    }
  CU_ASSERT_EQUAL (setup.started, 6);
  CU_ASSERT_TRUE (all_placed_where_allowed (&setup, job));
  /* 6 tasks; half of the workers are allowed.  */
  CU_ASSERT_TRUE (setup.asked <= 24);
  tear_down (&setup);
}

static void
test_gang_waits_until_all_may_start (void)
{
  struct fixture_step step = { .count = 10, .accelerators = 8, .gang = true };
  struct setup setup;
  struct jb_job *job;
  int i;

  set_up (&setup);
  job = add_job (&setup, "00000000000000aa", &step);
  for (i = 0; i < 5 && setup.started == 0; i++)
    {
      run_round_after (&setup, ROUND_MS);
      CU_ASSERT_TRUE (setup.started == 0 || setup.started == 10);
      if (setup.asks->len > 0)
        answer_query (&setup, AP_DONE);
    }
  CU_ASSERT_EQUAL (setup.started, 10);
  CU_ASSERT_TRUE (all_placed_where_allowed (&setup, job));
  tear_down (&setup);
}

/* A task waits for free resources until its tickets have expired; then the
   workers known to be allowed are queried again, and no others.  */
static void
test_expired_tickets_are_queried_again (void)
{
  struct fixture_step all = { .count = WORKERS, .accelerators = 8 };
  struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct setup setup;
  struct jb_job *urgent;
  uint32_t asked;
  size_t i;

  set_up (&setup);
  urgent = jb_table_add (setup.table, "00000000000000ab",
                         fixture_spec ("urgent", "clinic", &all), 1000);
  sd_job_added (setup.sched, urgent);
  run_round_after (&setup, ROUND_MS);
  CU_ASSERT_EQUAL (setup.started, WORKERS);
  add_job (&setup, "00000000000000aa", &one);
  run_round_after (&setup, ROUND_MS);
  answer_query (&setup, AP_DONE);
  run_round_after (&setup, ROUND_MS);
  CU_ASSERT_EQUAL (setup.asks->len, 0); /* enough allowed workers are known */
  run_round_after (&setup, 2 * VALIDITY_MS);
  CU_ASSERT_EQUAL (setup.asks->len, 0); /* no worker has free resources */
  for (i = 0; i < urgent->task_total; i++)
    sd_task_ended (setup.sched, &urgent->tasks[i], SD_OUTCOME_DONE, "",
                   setup.now_ms, 0);
  asked = setup.asked;
  run_round_after (&setup, ROUND_MS);
  /* Not yet: the ticket has expired.  */
  CU_ASSERT_EQUAL (setup.started, WORKERS);
  answer_query (&setup, AP_DONE);
  CU_ASSERT_TRUE (setup.asked > asked);
  run_round_after (&setup, ROUND_MS);
  CU_ASSERT_EQUAL (setup.started, WORKERS + 1);
  tear_down (&setup);
}

static void
test_refused_ticket_leads_to_another_worker (void)
{
  struct fixture_step step = { .count = 1, .accelerators = 8 };
  struct setup setup;
  struct jb_job *job;
  char worker[8];

  set_up (&setup);
  job = add_job (&setup, "00000000000000aa", &step);
  run_round_after (&setup, ROUND_MS);
  answer_query (&setup, AP_DONE);
  run_round_after (&setup, ROUND_MS);
  CU_ASSERT_EQUAL (setup.started, 1);
  g_strlcpy (worker, job->tasks[0].worker, sizeof worker);
  sd_task_refused (setup.sched, &job->tasks[0], SD_REFUSED_TICKET_INVALID,
                   setup.now_ms);
  run_round_after (&setup, ROUND_MS);
  CU_ASSERT_EQUAL (setup.started, 2);
  CU_ASSERT_STRING_NOT_EQUAL (job->tasks[0].worker, worker);
  tear_down (&setup);
}

static void
test_unresponsive_advisor_is_queried_again (void)
{
  struct fixture_step step = { .count = 1, .accelerators = 8 };
  struct setup setup;

  set_up (&setup);
  add_job (&setup, "00000000000000aa", &step);
  run_round_after (&setup, ROUND_MS);
  answer_query (&setup, AP_NO_ANSWER);
  run_round_after (&setup, ROUND_MS);
  CU_ASSERT_EQUAL (setup.asks->len, 0); /* not immediately */
  run_round_after (&setup, 400);
  answer_query (&setup, AP_BUSY);
  run_round_after (&setup, 400);
  answer_query (&setup, AP_DONE);
  run_round_after (&setup, ROUND_MS);
  CU_ASSERT_EQUAL (setup.started, 1);
  tear_down (&setup);
}

/* --- The advisor's task of the daemon --- */

struct fake_advisor
{
  ap_callback callbacks[8];
  void *ctxs[8];
  uint32_t count;
  uint32_t answered;
};

static void
fake_ask (void *ctx, const char *step, const char *const *workers,
          uint32_t timeout_ms, ap_callback callback, void *callback_ctx)
{
  struct fake_advisor *fake = ctx;

  (void)step;
  (void)workers;
  (void)timeout_ms;
  fake->callbacks[fake->count] = callback;
  fake->ctxs[fake->count] = callback_ctx;
  fake->count++;
}

static void
on_answered (void *ctx, const struct sd_advisor_query *ask,
             const struct ap_answer *advice)
{
  struct fake_advisor *fake = ctx;

  (void)ask;
  (void)advice;
  fake->answered++;
}

static struct sd_advisor_query *
make_ask (void)
{
  struct sd_advisor_query *ask = g_new0 (struct sd_advisor_query, 1);

  ask->step = g_strdup ("00000000000000aa.0.0");
  ask->workers = g_new0 (char *, 2);
  ask->workers[0] = g_strdup ("w1");
  return ask;
}

static void
test_few_queries_are_in_flight (void)
{
  struct fake_advisor fake = { .count = 0 };
  struct av_params params = { .port = { .ctx = &fake, .query = fake_ask },
                              .metrics = mt_create (),
                              .ctx = &fake,
                              .answered = on_answered };
  struct advisor *advisor = av_create (&params);
  struct ap_answer done = { .result = AP_DONE };
  int i;

  for (i = 0; i < 5; i++)
    av_submit_query (advisor, make_ask ());
  CU_ASSERT_EQUAL (fake.count, 2);
  fake.callbacks[0](fake.ctxs[0], &done);
  CU_ASSERT_EQUAL (fake.count, 3);
  CU_ASSERT_EQUAL (fake.answered, 1);
  av_drop_queries (advisor); /* as at the end of a term */
  fake.callbacks[1](fake.ctxs[1], &done);
  CU_ASSERT_EQUAL (fake.count, 3);
  CU_ASSERT_EQUAL (fake.answered, 1);
  av_free (advisor);
  fake.callbacks[2](fake.ctxs[2], &done); /* an answer after av_free () */
  CU_ASSERT_EQUAL (fake.answered, 1);
  mt_free (params.metrics);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "starts only where allowed", test_starts_only_where_allowed },
    { "a gang waits until all its tasks may start",
      test_gang_waits_until_all_may_start },
    { "expired tickets are queried again",
      test_expired_tickets_are_queried_again },
    { "a refused ticket leads to another worker",
      test_refused_ticket_leads_to_another_worker },
    { "an unresponsive advisor is queried again",
      test_unresponsive_advisor_is_queried_again },
    { "few queries are in flight", test_few_queries_are_in_flight },
  };

  return check_run ("hostd advice", tests, G_N_ELEMENTS (tests));
}
