/* Tests of a planner that reaches no store, and of the next one: no task runs
   under both.  */

#include <unistd.h>

#include "../../programs/foxtailgap-hostd/workers.h"
#include "check.h"
#include "hostd_fixture.h"
#include "worker/term_proof.h"

static const char JOB[] = "00000000000000aa";

enum
{
  WORKERS = 6,
  LEASE_MS = 2000,
  LEASE_OVER_MS = 2450, /* 3% and 300 ms more, and some for the test */
  CLOCK_MS = 1000       /* what the workers' clocks show at first */
};

struct setup
{
  struct fake_port port;
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct mt_registry *metrics;
  struct worker_calls *workers;
  struct jb_job *job;
  struct jb_task *task;
  int64_t set_up_ms;
  int64_t stored_ms;        /* 0: the store answers */
  bool worker_of_task_lost; /* it does not answer either */
  int64_t started_ms;       /* of the other workers' processes */
};

static void
on_event (void *ctx)
{
  (void)ctx;
}

static int64_t
term_stored_ms (void *ctx)
{
  const struct setup *setup = ctx;

  return setup->stored_ms == 0 ? clk_monotonic_ms (NULL) : setup->stored_ms;
}

static int64_t
worker_clock_ms (const struct setup *setup)
{
  return clk_monotonic_ms (NULL) - setup->set_up_ms + CLOCK_MS;
}

/* Adds the workers, and a job of one task.  */
static void
set_up (struct setup *setup)
{
  struct sd_params sched = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct wk_params workers = {
    .port = fake_wp_port (&setup->port),
    .lease_ttl_ms = LEASE_MS,
    .lease_limit_ms = LEASE_MS,
    .stop_max_ms = 200,
    .ctx = setup,
    .changed = on_event,
    .fenced = on_event,
    .term_stored_ms = term_stored_ms,
  };
  char id[8];
  uint32_t i;

  memset (setup, 0, sizeof *setup);
  setup->set_up_ms = clk_monotonic_ms (NULL);
  setup->started_ms = 1;
  setup->table = jb_table_create ();
  setup->sched = sd_create (&sched, setup->table);
  setup->catalog = fixture_catalog ();
  sd_set_catalog (setup->sched, setup->catalog);
  setup->metrics = mt_create ();
  workers.sched = setup->sched;
  workers.table = setup->table;
  workers.metrics = setup->metrics;
  setup->workers = wk_create (&workers);
  for (i = 0; i < WORKERS; i++)
    {
      g_snprintf (id, sizeof id, "w%u", i);
      fixture_worker (setup->sched, id, "r1", 8);
    }
  setup->job = jb_table_add (setup->table, JOB,
                             fixture_spec ("batch", "clinic", &step), 0);
  setup->task = &setup->job->tasks[0];
}

static void
tear_down (struct setup *setup)
{
  wk_end_term (setup->workers);
  fake_answer_all_unresponsive (&setup->port);
  wk_free (setup->workers);
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
  mt_free (setup->metrics);
}

static void
begin_term (struct setup *setup, uint64_t term)
{
  sd_begin_term (setup->sched, clk_monotonic_ms (NULL));
  wk_begin_term (setup->workers, term, NULL);
  wk_worker_list_read (setup->workers);
}

/* The number of a worker, by its id.  */
static uint32_t
worker_number (const char *id)
{
  return (uint32_t)(id[1] - '0');
}

/* Sends what is due, and answers the polls.  Workers from number REACHABLE on
   do not answer, but for the one of the task, if there is one.  The task's
   worker lists its run.
   @return : the newest deadline that the task's worker got, on its clock; -1:
             none.  */
static int64_t
poll_workers (struct setup *setup, uint32_t reachable)
{
  struct wp_run run = { .task = jb_task_name (setup->task),
                        .run = 1,
                        .checkpoint = "",
                        .percent = clk_monotonic_ms (NULL) / 100 % 100 };
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (struct wp_run));
  int64_t deadline_ms = -1;
  size_t i;

  g_array_append_val (runs, run);
  wk_send_waiting (setup->workers);
  for (i = 0; i < setup->port.count && i < FAKE_CALLS_MAX; i++)
    {
      struct fake_call *call = &setup->port.calls[i];
      bool of_task = !setup->worker_of_task_lost && setup->task->worker != NULL
                     && strcmp (call->worker, setup->task->worker) == 0;
      struct wp_answer answer
          = { .result = WP_DONE,
              .worker_clock_ms = worker_clock_ms (setup),
              .worker_started_ms = of_task ? 1 : setup->started_ms,
              .runs = of_task ? runs : NULL };

      if (!call->open || call->kind != 'h')
        continue;
      if (of_task)
        deadline_ms = MAX (deadline_ms, call->deadline_ms);
      else if (worker_number (call->worker) >= reachable)
        answer = (struct wp_answer){ .result = WP_NO_ANSWER,
                                     .worker_clock_ms = -1 };
      fake_answer (call, &answer);
    }
  g_array_free (runs, TRUE);
  g_free (run.task);
  return deadline_ms;
}

/* Has the task started, and the store stop answering.  */
static void
run_task_and_lose_the_store (struct setup *setup)
{
  begin_term (setup, 1);
  poll_workers (setup, WORKERS);
  sd_job_added (setup->sched, setup->job);
  CU_ASSERT_EQUAL_FATAL (
      fixture_run_round (setup->sched, clk_monotonic_ms (NULL)), 1);
  wk_start (setup->workers, setup->task);
  fake_answer (
      fake_oldest_open_call (&setup->port, 's'),
      &(struct wp_answer){ .result = WP_DONE,
                           .worker_clock_ms = worker_clock_ms (setup) });
  poll_workers (setup, WORKERS);
  setup->stored_ms = clk_monotonic_ms (NULL);
}

/* Polls for TIME_MS.
   @return : whether a lease was extended beyond LIMIT_MS on the test's
             clock.  */
static bool
extends_lease_beyond (struct setup *setup, uint32_t reachable,
                      uint32_t time_ms, int64_t limit_ms)
{
  int64_t until_ms = clk_monotonic_ms (NULL) + time_ms;
  bool beyond = false;

  while (clk_monotonic_ms (NULL) < until_ms)
    {
      int64_t deadline_ms = poll_workers (setup, reachable);

      if (deadline_ms >= 0
          && setup->set_up_ms + deadline_ms - CLOCK_MS > limit_ms)
        beyond = true;
      usleep (1000 * 20);
    }
  return beyond;
}

/* Guards against a task that runs twice: a planner that was cut off from the
   store together with one worker renewed its lease without a limit, while the
   next planner started the task elsewhere (review, case 3; two cases on
   bofl-sched).  */
static void
test_planner_without_store_and_workers_renews_up_to_the_limit (void)
{
  struct setup setup;

  set_up (&setup);
  run_task_and_lose_the_store (&setup);
  CU_ASSERT_FALSE (extends_lease_beyond (&setup, 0, LEASE_MS * 2,
                                         setup.stored_ms + LEASE_MS + 50));
  tear_down (&setup);
}

/* A store that is down for all does not end what runs.  */
static void
test_answers_of_most_workers_let_leases_go_on (void)
{
  struct setup setup;

  set_up (&setup);
  run_task_and_lose_the_store (&setup);
  CU_ASSERT_TRUE (extends_lease_beyond (
      &setup, 4, LEASE_MS * 2, setup.stored_ms + (int64_t)LEASE_MS * 2));
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_PLACED);
  tear_down (&setup);
}

/* A worker that has restarted has forgotten whether the next planner has
   reached it.  */
static void
test_answers_of_restarted_workers_prove_nothing (void)
{
  struct setup setup;

  set_up (&setup);
  run_task_and_lose_the_store (&setup);
  setup.started_ms = 2;
  CU_ASSERT_FALSE (extends_lease_beyond (&setup, WORKERS, LEASE_MS * 2,
                                         setup.stored_ms + LEASE_MS + 50));
  tear_down (&setup);
}

/* A start also extends the leases of what runs on its worker.  */
static void
test_planner_without_store_and_workers_starts_nothing (void)
{
  struct setup setup;
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct jb_job *job;

  set_up (&setup);
  run_task_and_lose_the_store (&setup);
  extends_lease_beyond (&setup, 0, LEASE_MS, 0);
  job = jb_table_add (setup.table, "00000000000000bb",
                      fixture_spec ("batch", "clinic", &step), 0);
  sd_job_added (setup.sched, job);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  wk_start (setup.workers, &job->tasks[0]);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 's'));
  setup.stored_ms = 0;
  wk_send_waiting (setup.workers);
  CU_ASSERT_PTR_NOT_NULL (fake_oldest_open_call (&setup.port, 's'));
  tear_down (&setup);
}

/* The other side: with less than half of the workers in reach, the earlier
   planner may be cut off with the others, whose answers let it renew.  */
static void
test_next_planner_counts_leases_once_it_reaches_half (void)
{
  struct setup setup;

  set_up (&setup);
  setup.task->state = JB_TASK_PLACED;
  setup.task->run = 1;
  setup.task->worker = g_strdup ("w5");
  setup.worker_of_task_lost = true;
  begin_term (&setup, 2);
  extends_lease_beyond (&setup, 2, LEASE_OVER_MS, 0);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_PLACED);
  extends_lease_beyond (&setup, 3, LEASE_MS, 0);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_PLACED);
  extends_lease_beyond (&setup, 3, LEASE_OVER_MS - LEASE_MS + 1000, 0);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

static void
test_proof_of_the_term (void)
{
  int64_t answered_ms[WORKERS] = { 500, 900, 600, 800, 700, 1000 };
  int64_t late_ms = 1000 + 2 * (int64_t)TP_WITHOUT_STORE_MAX_MS;

  CU_ASSERT_EQUAL (tp_proved_ms (100, answered_ms, 3, WORKERS), 100);
  CU_ASSERT_EQUAL (tp_proved_ms (100, answered_ms, WORKERS, WORKERS), 700);
  CU_ASSERT_EQUAL (tp_proved_ms (750, answered_ms, WORKERS, WORKERS), 750);
  CU_ASSERT_EQUAL (tp_proved_ms (100, answered_ms, 0, 0), 100);
  CU_ASSERT_EQUAL (tp_proved_ms (1000, &late_ms, 1, 1),
                   1000 + TP_WITHOUT_STORE_MAX_MS);
  CU_ASSERT_FALSE (tp_has_reached_enough (2, WORKERS));
  CU_ASSERT_TRUE (tp_has_reached_enough (3, WORKERS));
  CU_ASSERT_TRUE (tp_has_reached_enough (0, 0));
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "the term is proved by the store or by most workers",
      test_proof_of_the_term },
    { "a planner without store and workers renews up to the limit",
      test_planner_without_store_and_workers_renews_up_to_the_limit },
    { "answers of most workers let leases go on",
      test_answers_of_most_workers_let_leases_go_on },
    { "answers of restarted workers prove nothing",
      test_answers_of_restarted_workers_prove_nothing },
    { "a planner without store and workers starts nothing",
      test_planner_without_store_and_workers_starts_nothing },
    { "the next planner counts leases once it reaches half of the workers",
      test_next_planner_counts_leases_once_it_reaches_half },
  };

  return check_run ("hostd term", tests, G_N_ELEMENTS (tests));
}
