/* Tests of data centres that are closed for new work: each way on which a
   start could still reach a worker there, and what the operator's records say.
 */

#include <unistd.h>

#include "../../programs/foxtailgap-hostd/journal.h"
#include "../../programs/foxtailgap-hostd/workers.h"
#include "check.h"
#include "hostd_fixture.h"
#include "hostd_store_fixture.h"
#include "pf_decode.h"

struct setup
{
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct mt_registry *metrics;
  /* workers */
  struct fake_port port;
  struct worker_calls *workers;
  bool knows_closed;
  /* journal */
  struct ev_loop *loop;
  struct fake_store store;
  struct journal *journal;
  GPtrArray *records;
  char changes[64]; /* of the observer: "+a-a" */
  uint32_t jobs;
};

static void
set_up (struct setup *setup)
{
  struct sd_params params = { .remote_slowdown_factor = 3,
                              .stop_max_ms = 200,
                              .reserved_tasks_per_100_workers = 100 };

  memset (setup, 0, sizeof *setup);
  setup->table = jb_table_create ();
  setup->sched = sd_create (&params, setup->table);
  setup->catalog = fixture_catalog ();
  setup->metrics = mt_create ();
  sd_set_catalog (setup->sched, setup->catalog);
}

static void
tear_down (struct setup *setup)
{
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
  mt_free (setup->metrics);
}

static struct sd_worker *
add_worker (struct setup *setup, const char *id, const char *data_centre)
{
  struct sd_worker_report report = {
    .id = g_strdup (id),
    .address = g_strdup ("127.0.0.1:1"),
    .service = g_strdup ("desk"),
    .data_centre = g_strdup (data_centre),
    .rack = g_strdup (data_centre),
    .labels = g_new0 (char *, 1),
    .resources
    = { .cpus_milli = 64000, .memory_mib = 64000, .accelerators = 8 },
  };
  struct sd_worker *worker = sd_worker_listed (setup->sched, &report, 0);

  sd_worker_set_reachability (worker, SD_WORKER_REACHABLE);
  return worker;
}

static struct jb_job *
add_job (struct setup *setup, const char *queue, uint32_t count,
         int64_t accelerators, bool gang)
{
  struct fixture_step step
      = { .count = count, .accelerators = accelerators, .gang = gang };
  char id[JB_ID_DIGITS + 1];
  struct jb_job *job;

  g_snprintf (id, sizeof id, "%016x", ++setup->jobs);
  job = jb_table_add (setup->table, id, fixture_spec (queue, "clinic", &step),
                      0);
  sd_job_added (setup->sched, job);
  return job;
}

/* @return : how many tasks of JOB are placed on WORKER.  */
static uint32_t
count_on (const struct jb_job *job, const char *worker)
{
  uint32_t count = 0;
  size_t i;

  for (i = 0; i < job->task_total; i++)
    count += job->tasks[i].state == JB_TASK_PLACED
             && g_strcmp0 (job->tasks[i].worker, worker) == 0;
  return count;
}

static enum sd_wait
why_waits (struct setup *setup, const struct jb_job *job, int64_t now_ms)
{
  enum sd_wait why = SD_WAIT_COUNT;
  GArray *found;
  guint i;

  sd_survey_waiting (setup->sched, 8, now_ms, 0);
  found = sd_survey_waiting (setup->sched, 8, now_ms + SD_WAITING_MIN_MS, 0);
  for (i = 0; i < found->len; i++)
    if (g_array_index (found, struct sd_waiting, i).step == job->steps)
      why = g_array_index (found, struct sd_waiting, i).why;
  g_array_free (found, TRUE);
  return why;
}

/* --- Decisions --- */

/* What waits goes to the other data centre, and what runs is not stopped.  */
static void
test_nothing_starts_and_nothing_is_stopped (void)
{
  struct setup setup;
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  struct jb_job *before;
  struct jb_job *after;

  set_up (&setup);
  add_worker (&setup, "a1", "a");
  before = add_job (&setup, "batch", 2, 1, false);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1000), 2);
  sd_set_closed (setup.sched, "a", true);
  after = add_job (&setup, "batch", 2, 1, false);
  sd_round (setup.sched, 1100, 0, &commands);
  CU_ASSERT_EQUAL (commands.starts->len, 0);
  CU_ASSERT_EQUAL (commands.stops->len, 0);
  CU_ASSERT_EQUAL (count_on (before, "a1"), 2);
  CU_ASSERT_EQUAL (why_waits (&setup, after, 1100), SD_WAIT_CLOSED);
  add_worker (&setup, "b1", "b");
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1200), 2);
  CU_ASSERT_EQUAL (count_on (after, "b1"), 2);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  tear_down (&setup);
}

/* Two at once, one of which is open again at once; also for workers that are
   listed only afterwards, and over a term.  */
static void
test_two_closed_and_one_opened (void)
{
  struct setup setup;
  struct jb_job *job;

  set_up (&setup);
  add_worker (&setup, "a1", "a");
  sd_set_closed (setup.sched, "a", true);
  sd_set_closed (setup.sched, "b", true);
  sd_set_closed (setup.sched, "b", true);
  CU_ASSERT_TRUE (add_worker (&setup, "b1", "b")->closed);
  job = add_job (&setup, "urgent", 1, 1, false);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1000), 0);
  sd_begin_term (setup.sched, 1100);
  add_worker (&setup, "a1", "a");
  add_worker (&setup, "b1", "b");
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1200), 0);
  sd_set_closed (setup.sched, "b", false);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1201), 1);
  CU_ASSERT_EQUAL (count_on (job, "b1"), 1);
  CU_ASSERT_FALSE (add_worker (&setup, "a1", "b")->closed);
  tear_down (&setup);
}

/* A gang fits only with the workers of a closed data centre: it waits, and is
   not placed in part.  */
static void
test_gang_waits_for_closed_data_centre (void)
{
  struct setup setup;
  struct jb_job *job;

  set_up (&setup);
  add_worker (&setup, "a1", "a");
  add_worker (&setup, "b1", "b");
  sd_set_closed (setup.sched, "a", true);
  job = add_job (&setup, "batch", 2, 8, true);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1000), 0);
  CU_ASSERT_EQUAL (why_waits (&setup, job, 1000), SD_WAIT_CLOSED);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 9000), 0);
  sd_set_closed (setup.sched, "a", false);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 9100), 2);
  tear_down (&setup);
}

/* A reserved place is given up, and kept elsewhere.  */
static void
test_reservation_moves (void)
{
  struct setup setup;
  struct sd_worker *closed;
  struct sd_worker *open;
  struct jb_job *runs;

  set_up (&setup);
  closed = add_worker (&setup, "a1", "a");
  runs = add_job (&setup, "batch", 1, 4, false);
  fixture_run_round (setup.sched, 1000);
  CU_ASSERT_EQUAL (count_on (runs, "a1"), 1);
  add_job (&setup, "batch", 1, 8, true);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1100), 0);
  CU_ASSERT_TRUE (closed->round_reserved_resources.accelerators == 8);
  sd_set_closed (setup.sched, "a", true);
  open = add_worker (&setup, "b1", "b");
  add_job (&setup, "batch", 1, 4, false);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1200), 1);
  CU_ASSERT_EQUAL (open->tasks->len, 1);
  CU_ASSERT_EQUAL (closed->tasks->len, 1);
  tear_down (&setup);
}

/* Room that a preemption frees in a data centre that is closed meanwhile is of
   no use: the urgent job preempts elsewhere, in the next round.  */
static void
test_preemption_is_planned_anew (void)
{
  struct setup setup;
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  struct jb_job *first;
  struct jb_job *second;

  set_up (&setup);
  add_worker (&setup, "a1", "a");
  first = add_job (&setup, "batch", 1, 8, false);
  fixture_run_round (setup.sched, 1000);
  add_job (&setup, "urgent", 1, 8, false);
  sd_round (setup.sched, 1100, 0, &commands);
  CU_ASSERT_EQUAL (first->tasks[0].state, JB_TASK_STOPPING);
  add_worker (&setup, "b1", "b");
  sd_set_closed (setup.sched, "a", true);
  second = add_job (&setup, "batch", 1, 8, false);
  fixture_run_round (setup.sched, 1110);
  CU_ASSERT_EQUAL (count_on (second, "b1"), 0); /* the urgent job is there */
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  tear_down (&setup);
}

/* The same where all is in use: other work is stopped, elsewhere.  */
static void
test_preemption_stops_elsewhere (void)
{
  struct setup setup;
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  const struct jb_task *stopped;
  struct jb_job *first;

  set_up (&setup);
  add_worker (&setup, "a1", "a");
  add_worker (&setup, "b1", "b");
  first = add_job (&setup, "batch", 2, 8, false);
  fixture_run_round (setup.sched, 1000);
  add_job (&setup, "urgent", 1, 8, false);
  sd_round (setup.sched, 1100, 0, &commands);
  CU_ASSERT_EQUAL_FATAL (commands.stops->len, 1);
  stopped = g_ptr_array_index (commands.stops, 0);
  sd_set_closed (setup.sched, strcmp (stopped->worker, "a1") == 0 ? "a" : "b",
                 true);
  g_ptr_array_set_size (commands.stops, 0);
  sd_round (setup.sched, 1110, 0, &commands);
  CU_ASSERT_EQUAL (commands.stops->len, 1);
  CU_ASSERT_EQUAL (first->tasks[0].state, JB_TASK_STOPPING);
  CU_ASSERT_EQUAL (first->tasks[1].state, JB_TASK_STOPPING);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  tear_down (&setup);
}

/* Without a closed data centre that has workers, decisions are as before.  */
static void
test_other_decisions_stay (void)
{
  struct setup setups[2];
  int i;
  int k;

  for (i = 0; i < 2; i++)
    {
      set_up (&setups[i]);
      for (k = 0; k < 9; k++)
        {
          char *id = g_strdup_printf ("w%d", k);

          add_worker (&setups[i], id,
                      k % 3 == 0   ? "a"
                      : k % 3 == 1 ? "b"
                                   : "");
          g_free (id);
        }
      if (i == 1)
        sd_set_closed (setups[i].sched, "elsewhere", true);
      for (k = 0; k < 12; k++)
        add_job (&setups[i], k % 2 == 0 ? "batch" : "urgent",
                 (uint32_t)(1 + k % 4), 1 + k % 5, k % 3 == 0);
      fixture_run_round (setups[i].sched, 1000);
      fixture_run_round (setups[i].sched, 1100);
    }
  for (i = 1; i <= (int)setups[0].jobs; i++)
    {
      char id[JB_ID_DIGITS + 1];
      const struct jb_job *left;
      const struct jb_job *right;
      size_t t;

      g_snprintf (id, sizeof id, "%016x", (unsigned int)i);
      left = jb_table_find (setups[0].table, id);
      right = jb_table_find (setups[1].table, id);
      for (t = 0; t < left->task_total; t++)
        CU_ASSERT_TRUE (
            left->tasks[t].state == right->tasks[t].state
            && g_strcmp0 (left->tasks[t].worker, right->tasks[t].worker) == 0);
    }
  tear_down (&setups[0]);
  tear_down (&setups[1]);
}

/* --- Starts that are decided, but not sent --- */

static void
on_changed (void *ctx)
{
  (void)ctx;
}

static bool
knows_closed (void *ctx)
{
  return ((const struct setup *)ctx)->knows_closed;
}

/* Places one task on worker a1.  Its start waits for the worker's clock,
   unless POLLED.  */
static struct jb_task *
place_and_start (struct setup *setup, bool polled)
{
  struct wk_params params = { .port = fake_wp_port (&setup->port),
                              .lease_ttl_ms = 6000,
                              .lease_limit_ms = 6000,
                              .stop_max_ms = 200,
                              .ctx = setup,
                              .changed = on_changed,
                              .fenced = on_changed,
                              .knows_closed = knows_closed };
  struct jb_job *job;

  set_up (setup);
  setup->knows_closed = true;
  params.sched = setup->sched;
  params.table = setup->table;
  params.metrics = setup->metrics;
  setup->workers = wk_create (&params);
  add_worker (setup, "a1", "a");
  wk_begin_term (setup->workers, 1, NULL);
  wk_send_waiting (setup->workers);
  job = add_job (setup, "batch", 1, 1, false);
  CU_ASSERT_EQUAL (fixture_run_round (setup->sched, clk_monotonic_ms (NULL)),
                   1);
  wk_send_waiting (setup->workers);
  if (polled)
    fake_answer (fake_oldest_open_call (&setup->port, 'h'),
                 &(struct wp_answer){ .result = WP_DONE });
  return &job->tasks[0];
}

static void
end_calls (struct setup *setup)
{
  wk_end_term (setup->workers);
  fake_answer_all_unresponsive (&setup->port);
  wk_free (setup->workers);
  tear_down (setup);
}

static struct fake_call *
open_start (struct setup *setup)
{
  return fake_oldest_open_call (&setup->port, 's');
}

static void
test_placed_start_is_not_sent (void)
{
  struct setup setup;
  struct jb_task *task = place_and_start (&setup, true);

  sd_set_closed (setup.sched, "a", true);
  wk_start (setup.workers, task);
  CU_ASSERT_PTR_NULL (open_start (&setup));
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  CU_ASSERT_EQUAL (task->failures, 0);
  CU_ASSERT_EQUAL (mt_value (setup.metrics, "foxtailgap_closed_starts_total"),
                   1);
  end_calls (&setup);
}

static void
test_start_that_awaits_the_clock_is_not_sent (void)
{
  struct setup setup;
  struct jb_task *task = place_and_start (&setup, false);

  wk_start (setup.workers, task);
  CU_ASSERT_PTR_NULL (open_start (&setup));
  sd_set_closed (setup.sched, "a", true);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'),
               &(struct wp_answer){ .result = WP_DONE });
  wk_send_waiting (setup.workers);
  CU_ASSERT_PTR_NULL (open_start (&setup));
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  end_calls (&setup);
}

/* The first try may have arrived, so that the run is not given up before it
   has expired.  */
static void
test_start_is_not_sent_again (void)
{
  struct setup setup;
  struct jb_task *task = place_and_start (&setup, true);

  wk_start (setup.workers, task);
  sd_set_closed (setup.sched, "a", true);
  fake_answer (
      open_start (&setup),
      &(struct wp_answer){ .result = WP_NO_ANSWER, .worker_clock_ms = -1 });
  CU_ASSERT_PTR_NULL (open_start (&setup));
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  end_calls (&setup);
}

/* The host has not read the operator's records for too long: the start waits,
   and is sent, or is not, by what they say.  */
static void
test_start_waits_for_recent_knowledge (void)
{
  int closed;

  for (closed = 0; closed < 2; closed++)
    {
      struct setup setup;
      struct jb_task *task = place_and_start (&setup, true);

      setup.knows_closed = false;
      wk_start (setup.workers, task);
      CU_ASSERT_PTR_NULL (open_start (&setup));
      CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
      CU_ASSERT_STRING_EQUAL (wk_why_unsent (setup.workers, task),
                              "a reading of the operator's topic");
      setup.knows_closed = true;
      sd_set_closed (setup.sched, "a", closed == 1);
      wk_send_waiting (setup.workers);
      CU_ASSERT_EQUAL (open_start (&setup) == NULL, closed == 1);
      end_calls (&setup);
    }
}

/* --- The operator's records --- */

static void
on_closing_changed (void *ctx, const char *data_centre, bool closed)
{
  struct setup *setup = ctx;

  g_strlcat (setup->changes, closed ? "+" : "-", sizeof setup->changes);
  g_strlcat (setup->changes, data_centre, sizeof setup->changes);
}

static void
run_loop (struct setup *setup)
{
  int64_t until_ms = clk_monotonic_ms (NULL) + 20;

  while (clk_monotonic_ms (NULL) < until_ms)
    {
      ev_run (setup->loop, EVRUN_NOWAIT);
      usleep (500);
    }
}

/* VALUE NULL: the record is removed.  */
static void
add_record (struct setup *setup, const char *key, const char *value)
{
  g_ptr_array_add (
      setup->records,
      so_record_create (key, value, value == NULL ? 0 : strlen (value)));
}

/* Answers the pending read of the operator's topic with the records added, and
   lets the next one begin.  */
static void
answer_operator (struct setup *setup, enum so_result result)
{
  struct so_read_answer answer = { .result = result,
                                   .records = setup->records,
                                   .next_offset = 100,
                                   .at_end = true };
  so_read_callback callback = setup->store.operator_read;

  CU_ASSERT_PTR_NOT_NULL_FATAL (callback);
  if (callback == NULL)
    return;
  setup->store.operator_read = NULL;
  callback (setup->store.operator_ctx, &answer);
  g_ptr_array_set_size (setup->records, 0);
  run_loop (setup);
}

static int
decode_no_catalog (struct ct_catalog **out, const void *text,
                   size_t size_bytes)
{
  (void)out;
  (void)text;
  (void)size_bytes;
  return -1;
}

static void
begin_journal (struct setup *setup)
{
  struct jr_params params = { .jobs_topic = "jobs",
                              .operator_topic = "operator",
                              .catalog_key = "config",
                              .decode_catalog = decode_no_catalog,
                              .decode_closing = pf_decode_closing };
  struct jr_observer observer
      = { .ctx = setup, .closing_changed = on_closing_changed };

  memset (setup, 0, sizeof *setup);
  setup->loop = ev_loop_new (EVFLAG_AUTO);
  setup->metrics = mt_create ();
  setup->records = so_records_create ();
  params.loop = setup->loop;
  params.metrics = setup->metrics;
  params.store = fake_store_port (&setup->store);
  setup->journal = jr_create (&params);
  jr_set_observer (setup->journal, &observer);
  run_loop (setup);
}

static void
end_journal (struct setup *setup)
{
  jr_free (setup->journal);
  mt_free (setup->metrics);
  g_ptr_array_free (setup->records, TRUE);
  fake_store_clear (&setup->store);
  ev_loop_destroy (setup->loop);
}

static void
test_records_close_and_open (void)
{
  struct setup setup;

  begin_journal (&setup);
  add_record (&setup, "evacuate/a", "{}");
  answer_operator (&setup, SO_DONE);
  CU_ASSERT_STRING_EQUAL (setup.changes, "+a");
  /* Repeated, and another one that is taken back at once.  */
  add_record (&setup, "evacuate/a", "{\"zone\":\"a\"}");
  add_record (&setup, "evacuate/b", "{}");
  add_record (&setup, "evacuate/b", NULL);
  answer_operator (&setup, SO_DONE);
  CU_ASSERT_STRING_EQUAL (setup.changes, "+a+b-b");
  CU_ASSERT_EQUAL (mt_value (setup.metrics, "foxtailgap_closed_data_centres"),
                   1);
  add_record (&setup, "evacuate/a", NULL);
  add_record (&setup, "evacuate/never", NULL);
  answer_operator (&setup, SO_DONE);
  CU_ASSERT_STRING_EQUAL (setup.changes, "+a+b-b-a");
  CU_ASSERT_EQUAL (g_hash_table_size (jr_closed_data_centres (setup.journal)),
                   0);
  end_journal (&setup);
}

/* The topic is loaded again, as records have expired: what has a record stays
   closed, and what has none any more is open.  */
static void
test_load_opens_what_has_no_record (void)
{
  struct setup setup;

  begin_journal (&setup);
  add_record (&setup, "evacuate/a", "{}");
  add_record (&setup, "evacuate/b", "{}");
  answer_operator (&setup, SO_DONE);
  answer_operator (&setup, SO_EXPIRED);
  CU_ASSERT_STRING_EQUAL (setup.changes, "+a+b");
  add_record (&setup, "config", "{}");
  add_record (&setup, "evacuate/b", "{}");
  add_record (&setup, "evacuate/c", "{}");
  answer_operator (&setup, SO_DONE);
  CU_ASSERT_STRING_EQUAL (setup.changes, "+a+b-a+c");
  end_journal (&setup);
}

static void
answer_jobs (struct setup *setup)
{
  GPtrArray *none = so_records_create ();
  struct so_read_answer answer = {
    .result = SO_DONE, .records = none, .at_end = true, .wait_expired = true
  };
  so_read_callback callback = setup->store.jobs_read;

  setup->store.jobs_read = NULL;
  if (callback != NULL)
    callback (setup->store.jobs_ctx, &answer);
  g_ptr_array_free (none, TRUE);
  run_loop (setup);
}

/* A read that was sent in an outage kept a host from knowing what is closed
   for three seconds after it (own day closed-in-an-outage).  */
static void
test_read_is_sent_again_after_an_outage (void)
{
  struct setup setup;
  struct so_read_answer lost = { .result = SO_UNKNOWN };
  so_read_callback before;
  void *ctx;

  begin_journal (&setup);
  answer_operator (&setup, SO_DONE);
  before = setup.store.operator_read;
  ctx = setup.store.operator_ctx;
  setup.store.operator_read = NULL;
  jr_hurry_operator (setup.journal); /* nothing shows that the store answers */
  CU_ASSERT_PTR_NULL (setup.store.operator_read);
  usleep (100000);
  answer_jobs (&setup); /* the newest records */
  answer_jobs (&setup);
  jr_hurry_operator (setup.journal);
  CU_ASSERT_PTR_NOT_NULL (setup.store.operator_read);
  CU_ASSERT_EQUAL (setup.store.operator_wait_ms, 0);
  before (ctx, &lost); /* is ignored */
  add_record (&setup, "evacuate/a", "{}");
  answer_operator (&setup, SO_DONE);
  CU_ASSERT_STRING_EQUAL (setup.changes, "+a");
  CU_ASSERT_PTR_NOT_NULL (setup.store.operator_read);
  end_journal (&setup);
}

static void
test_odd_records (void)
{
  static const char *const keys[]
      = { "evacuate/", "evacuate", "evacuate/ a", "evacuate/\n",
          "evac/a",    "",         "wave/1" };
  static const char *const values[]
      = { "x", "[]", "{\"zone\":\"b\"}", "{\"zone\":[1]}", "\xff\xfe" };
  struct setup setup;
  char *long_key = g_strnfill (250, 'z');
  char *key = g_strconcat ("evacuate/", long_key, NULL);
  size_t i;

  begin_journal (&setup);
  answer_operator (&setup, SO_DONE);
  for (i = 0; i < G_N_ELEMENTS (keys); i++)
    add_record (&setup, keys[i], "{}");
  add_record (&setup, key, "{}");
  answer_operator (&setup, SO_DONE);
  CU_ASSERT_STRING_EQUAL (setup.changes, "");
  /* The key alone closes a data centre.  */
  for (i = 0; i < G_N_ELEMENTS (values); i++)
    {
      setup.changes[0] = '\0';
      add_record (&setup, "evacuate/a", values[i]);
      add_record (&setup, "evacuate/a", NULL);
      answer_operator (&setup, SO_DONE);
      CU_ASSERT_STRING_EQUAL (setup.changes, "+a-a");
    }
  end_journal (&setup);
  g_free (long_key);
  g_free (key);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "nothing starts and nothing is stopped",
      test_nothing_starts_and_nothing_is_stopped },
    { "two closed and one opened", test_two_closed_and_one_opened },
    { "a gang waits for a closed data centre",
      test_gang_waits_for_closed_data_centre },
    { "a reservation moves", test_reservation_moves },
    { "a preemption is planned anew", test_preemption_is_planned_anew },
    { "a preemption stops elsewhere", test_preemption_stops_elsewhere },
    { "other decisions stay", test_other_decisions_stay },
    { "a placed start is not sent", test_placed_start_is_not_sent },
    { "a start that awaits the clock is not sent",
      test_start_that_awaits_the_clock_is_not_sent },
    { "a start is not sent again", test_start_is_not_sent_again },
    { "a start waits for recent knowledge",
      test_start_waits_for_recent_knowledge },
    { "records close and open", test_records_close_and_open },
    { "a load opens what has no record", test_load_opens_what_has_no_record },
    { "a read is sent again after an outage",
      test_read_is_sent_again_after_an_outage },
    { "odd records", test_odd_records },
  };

  return check_run ("closed data centres", tests, G_N_ELEMENTS (tests));
}
