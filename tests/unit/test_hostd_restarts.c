/* Tests of workers that restart under their id: a deadline by the clock of the
   former process is a longer one for the new process.  */

#include <unistd.h>

#include "../../programs/foxtailgap-hostd/workers.h"
#include "check.h"
#include "hostd_fixture.h"

static const char JOB[] = "00000000000000aa";

enum
{
  LEASE_MS = 300,
  LEASE_LIMIT_MS = 3000,
  /* Renewals go on for 1500 ms; the lease of the last one ends after 300 ms,
     3% of it and 300 ms.  */
  LEASE_IS_OVER_MS = 2150,
  LIMIT_IS_OVER_MS = 4950, /* the same with the limit */
  START_EXPIRED_MS = 1300, /* no start by the known clock can arrive */
  /* After this and LEASE_IS_OVER_MS a lease of an earlier planner is over.  */
  EARLIER_LEASE_MS = 1500,
  IDLE_MS = 150,            /* an acknowledgement is too late after it */
  POLL_AGAIN_MS = 260,      /* of an unreachable worker */
  FORMER_STARTED_MS = 1000, /* of the former process, any number */
  FORMER_CLOCK_MS = 60000,
  STARTED_MS = 61000, /* of the new process */
  CLOCK_MS = 50,
  NEXT_TERM = 2,
  OTHER_PROCESS_POLL_MS = 1010 /* the report is of another process */
};

struct setup
{
  struct fake_port port;
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct mt_registry *metrics;
  struct worker_calls *workers;
  struct sd_worker *worker;
  struct jb_task *task;
  uint32_t fenced;         /* times that another planner has shown */
  uint32_t reports_needed; /* times that the list is to be read at once */
};

static void
on_event (void *ctx)
{
  (void)ctx;
}

static void
on_fenced (void *ctx)
{
  ((struct setup *)ctx)->fenced++;
}

static void
on_report_needed (void *ctx)
{
  ((struct setup *)ctx)->reports_needed++;
}

/* Adds a worker, which has not been polled, and a job of one task.  */
static void
set_up (struct setup *setup)
{
  struct sd_params sched = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct wk_params workers = {
    .port = fake_wp_port (&setup->port),
    .lease_ttl_ms = LEASE_MS,
    .lease_limit_ms = LEASE_LIMIT_MS,
    .stop_max_ms = 200,
    .ctx = setup,
    .changed = on_event,
    .fenced = on_fenced,
    .report_needed = on_report_needed,
  };
  struct jb_job *job;

  memset (setup, 0, sizeof *setup);
  setup->table = jb_table_create ();
  setup->sched = sd_create (&sched, setup->table);
  setup->catalog = fixture_catalog ();
  sd_set_catalog (setup->sched, setup->catalog);
  setup->metrics = mt_create ();
  workers.sched = setup->sched;
  workers.table = setup->table;
  workers.metrics = setup->metrics;
  setup->workers = wk_create (&workers);
  setup->worker = fixture_worker (setup->sched, "w1", "r1", 8);
  sd_worker_set_reachability (setup->worker, SD_WORKER_UNSEEN);
  wk_begin_term (setup->workers, 1, NULL);
  job = jb_table_add (setup->table, JOB,
                      fixture_spec ("batch", "clinic", &step), 0);
  sd_job_added (setup->sched, job);
  setup->task = &job->tasks[0];
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
answer_poll (struct setup *setup, const struct wp_answer *answer)
{
  wk_send_waiting (setup->workers);
  fake_answer (fake_oldest_open_call (&setup->port, 'h'), answer);
}

static void
answer_poll_of_former_process (struct setup *setup)
{
  answer_poll (setup,
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_clock_ms = FORMER_CLOCK_MS,
                                    .worker_started_ms = FORMER_STARTED_MS });
}

/* @runs_task : whether the new process lists the run of the task.  */
static void
answer_poll_of_new_process (struct setup *setup, bool runs_task)
{
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (struct wp_run));
  struct wp_run run
      = { .task = jb_task_name (setup->task), .run = 1, .checkpoint = "" };

  if (runs_task)
    g_array_append_val (runs, run);
  answer_poll (setup, &(struct wp_answer){ .result = WP_DONE,
                                           .worker_clock_ms = CLOCK_MS,
                                           .worker_started_ms = STARTED_MS,
                                           .runs = runs });
  g_array_free (runs, TRUE);
  g_free (run.task);
}

/* Calls have no answer for TIME_MS.  */
static void
be_unreachable (struct setup *setup, uint32_t time_ms)
{
  int64_t until_ms = clk_monotonic_ms (NULL) + time_ms;

  while (clk_monotonic_ms (NULL) < until_ms)
    {
      wk_send_waiting (setup->workers);
      fake_answer_all_unresponsive (&setup->port);
      usleep (1000 * 20);
    }
  wk_send_waiting (setup->workers);
}

static void
place_task (struct setup *setup)
{
  CU_ASSERT_EQUAL (fixture_run_round (setup->sched, clk_monotonic_ms (NULL)),
                   1);
  CU_ASSERT_EQUAL_FATAL (setup->task->state, JB_TASK_PLACED);
}

/* Has the task's start sent by the clock of the former process.  */
static void
send_start (struct setup *setup)
{
  answer_poll_of_former_process (setup);
  place_task (setup);
  wk_start (setup->workers, setup->task);
  CU_ASSERT_PTR_NOT_NULL (fake_oldest_open_call (&setup->port, 's'));
}

/* Guards against a task that runs twice: the run of a restarted worker was
   given up before its lease was over (soak-deadly, seed 143).  */
static void
test_lease_of_restarted_worker_may_last_to_the_limit (void)
{
  struct setup setup;

  set_up (&setup);
  send_start (&setup);
  fake_answer (
      fake_oldest_open_call (&setup.port, 's'),
      &(struct wp_answer){ .result = WP_DONE, .worker_clock_ms = CLOCK_MS });
  answer_poll_of_new_process (&setup, true);
  be_unreachable (&setup, LEASE_IS_OVER_MS);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_PLACED);
  be_unreachable (&setup, LIMIT_IS_OVER_MS - LEASE_IS_OVER_MS);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* The same where no answer shows the restart.  */
static void
test_unanswered_start_may_run_to_the_limit (void)
{
  struct setup setup;

  set_up (&setup);
  send_start (&setup);
  be_unreachable (&setup, LEASE_IS_OVER_MS);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_PLACED);
  be_unreachable (&setup, LIMIT_IS_OVER_MS - LEASE_IS_OVER_MS);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* A poll that was sent after the start shows that the worker has not
   restarted, so that its lease ends as it was granted.  */
static void
test_lease_of_known_process_ends_as_granted (void)
{
  struct setup setup;

  set_up (&setup);
  usleep (1000 * EARLIER_LEASE_MS);
  send_start (&setup);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_clock_ms = FORMER_CLOCK_MS });
  answer_poll_of_former_process (&setup); /* sent with the start */
  usleep (1000 * 2);
  answer_poll_of_former_process (&setup);
  be_unreachable (&setup, LEASE_IS_OVER_MS);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* A start by the clock of the former process may be carried out by the new one
   long after it has expired, unless a stop was there before it.  */
static void
test_start_at_restarted_worker_is_stopped_first (void)
{
  struct setup setup;
  struct fake_call *stop;

  set_up (&setup);
  send_start (&setup);
  be_unreachable (&setup, START_EXPIRED_MS);
  usleep (1000 * POLL_AGAIN_MS);
  answer_poll_of_new_process (&setup, false);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_PLACED);
  stop = fake_oldest_open_call (&setup.port, 'x');
  CU_ASSERT_PTR_NOT_NULL_FATAL (stop);
  fake_answer (stop, &(struct wp_answer){ .result = WP_DONE,
                                          .worker_clock_ms = CLOCK_MS });
  usleep (1000 * 2);
  answer_poll_of_new_process (&setup, false);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

static void
list_worker (struct setup *setup, int64_t started_ms)
{
  struct sd_worker_report report = {
    .id = g_strdup ("w1"),
    .address = g_strdup ("127.0.0.1:1"),
    .service = g_strdup ("desk"),
    .data_centre = g_strdup ("dc"),
    .labels = g_new0 (char *, 1),
    .resources = setup->worker->report.resources,
    .process_started_ms = started_ms,
  };

  sd_worker_listed (setup->sched, &report, 0);
  wk_worker_reported (setup->workers, setup->worker);
}

/* An idle worker is not polled, so that only its report shows a restart.  */
static void
test_restart_is_noticed_by_the_report (void)
{
  struct setup setup;

  set_up (&setup);
  list_worker (&setup, FORMER_STARTED_MS);
  answer_poll_of_former_process (&setup);
  list_worker (&setup, FORMER_STARTED_MS);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  list_worker (&setup, STARTED_MS);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  answer_poll_of_new_process (&setup, false);
  list_worker (&setup, STARTED_MS);
  place_task (&setup);
  wk_start (setup.workers, setup.task);
  CU_ASSERT_TRUE (fake_oldest_open_call (&setup.port, 's')->deadline_ms
                  < FORMER_CLOCK_MS);
  tear_down (&setup);
}

/* ROUTE (review/12): a poll showed a restart, and tasks started there by the
   label in the report of the former process; the next one was of another kind.
 */
static void
test_report_of_former_process_does_not_count (void)
{
  struct setup setup;

  set_up (&setup);
  list_worker (&setup, FORMER_STARTED_MS);
  send_start (&setup);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_clock_ms = FORMER_CLOCK_MS });
  answer_poll_of_former_process (&setup); /* sent with the start */
  CU_ASSERT_EQUAL (setup.reports_needed, 0);
  usleep (1000 * 2);
  answer_poll_of_new_process (&setup, false);
  CU_ASSERT_EQUAL (setup.reports_needed, 1);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_WAITING);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  list_worker (&setup, FORMER_STARTED_MS); /* a report that lags behind */
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  list_worker (&setup, STARTED_MS);
  place_task (&setup);
  tear_down (&setup);
}

/* The same for a start that waits to be sent when the poll is answered, and
   for the capacity in that report.  */
static void
test_waiting_start_is_not_sent_by_the_report_of_former_process (void)
{
  struct setup setup;

  set_up (&setup);
  list_worker (&setup, FORMER_STARTED_MS);
  answer_poll_of_former_process (&setup);
  place_task (&setup);
  answer_poll_of_new_process (&setup, false); /* due, for it has a task */
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  wk_start (setup.workers, setup.task);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 's'));
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* A late answer of the former process does not spoil the report of the next
   one, which is not repeated until the next heartbeat.  */
static void
test_report_outlasts_a_late_answer_of_the_former_process (void)
{
  struct setup setup;

  set_up (&setup);
  list_worker (&setup, STARTED_MS);
  answer_poll_of_former_process (&setup);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  wk_send_waiting (setup.workers);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 'h'));
  usleep (1000 * OTHER_PROCESS_POLL_MS);
  answer_poll_of_new_process (&setup, false);
  place_task (&setup);
  tear_down (&setup);
}

/* Guards against a task that runs twice: a report shows a restart while a
   renewal is under way, which is not sent in the end; the lease may last to
   the limit by calls before it.  */
static void
test_renewal_not_sent_does_not_hide_a_restart (void)
{
  struct setup setup;

  set_up (&setup);
  list_worker (&setup, FORMER_STARTED_MS);
  usleep (1000 * EARLIER_LEASE_MS);
  send_start (&setup);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_clock_ms = FORMER_CLOCK_MS });
  answer_poll_of_former_process (&setup); /* sent with the start */
  usleep (1000 * 2);
  answer_poll_of_former_process (&setup);
  wk_send_waiting (setup.workers);
  list_worker (&setup, STARTED_MS);
  fake_answer (
      fake_oldest_open_call (&setup.port, 'h'),
      &(struct wp_answer){ .result = WP_NOT_SENT, .worker_clock_ms = -1 });
  be_unreachable (&setup, LEASE_IS_OVER_MS);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_PLACED);
  tear_down (&setup);
}

/* The report comes in while a start waits to be sent.  */
static void
test_start_waits_for_the_new_process (void)
{
  struct setup setup;

  set_up (&setup);
  list_worker (&setup, FORMER_STARTED_MS);
  answer_poll_of_former_process (&setup);
  place_task (&setup);
  list_worker (&setup, STARTED_MS);
  wk_start (setup.workers, setup.task);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 's'));
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* The new process numbers its outcomes anew: one of a low number would be
   forgotten there before it was processed.  */
static void
test_unreachable_worker_gets_no_acknowledgement (void)
{
  struct setup setup;
  GArray *outcomes = g_array_new (FALSE, FALSE, sizeof (struct wp_outcome));
  struct wp_outcome outcome = { .number = 7,
                                .task = (char *)"00000000000000ab.0.0.0",
                                .run = 1,
                                .outcome = SD_OUTCOME_STOPPED,
                                .checkpoint = (char *)"" };

  g_array_append_val (outcomes, outcome);
  set_up (&setup);
  answer_poll (&setup,
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_started_ms = FORMER_STARTED_MS,
                                    .outcomes = outcomes });
  wk_outcomes_stored (setup.workers, wk_mark_outcomes (setup.workers));
  place_task (&setup);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen, 7);
  fake_answer_all_unresponsive (&setup.port);
  usleep (1000 * POLL_AGAIN_MS);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen, 0);
  g_array_free (outcomes, TRUE);
  tear_down (&setup);
}

/* Guards against an end that is forgotten before it was processed, so that its
   task is started again after it has ended done: the worker had restarted
   while it was idle, which was not noticed, and was told the number of an
   outcome of its former process (soak.py with `reborn`, seed 14). ACKED:
   whether an answer has shown that the number was received.  */
static void
check_no_late_acknowledgement (bool acked)
{
  struct setup setup;
  GArray *outcomes = g_array_new (FALSE, FALSE, sizeof (struct wp_outcome));
  struct wp_outcome outcome = { .number = 7,
                                .task = (char *)"00000000000000ab.0.0.0",
                                .run = 1,
                                .outcome = SD_OUTCOME_STOPPED,
                                .checkpoint = (char *)"" };

  g_array_append_val (outcomes, outcome);
  set_up (&setup);
  answer_poll (&setup,
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_started_ms = FORMER_STARTED_MS,
                                    .outcomes = outcomes });
  wk_outcomes_stored (setup.workers, wk_mark_outcomes (setup.workers));
  if (!acked)
    usleep (1000 * IDLE_MS);
  place_task (&setup);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen,
                   acked ? 7 : 0);
  answer_poll (&setup,
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_started_ms = FORMER_STARTED_MS });
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen,
                   acked ? 0 : 7);
  g_array_free (outcomes, TRUE);
  tear_down (&setup);
}

static void
test_outcome_is_acknowledged_once (void)
{
  check_no_late_acknowledgement (true);
}

static void
test_idle_worker_is_polled_before_an_acknowledgement (void)
{
  check_no_late_acknowledgement (false);
}

static const struct wp_outcome STOPPED_7
    = { .number = 7,
        .task = (char *)"00000000000000ab.0.0.0",
        .run = 1,
        .outcome = SD_OUTCOME_STOPPED,
        .checkpoint = (char *)"" };

/* Has a start sent and outcome 7 of the former process stored.  */
static void
send_start_beside_outcome (struct setup *setup)
{
  GArray *outcomes = g_array_new (FALSE, FALSE, sizeof (struct wp_outcome));

  g_array_append_val (outcomes, STOPPED_7);
  set_up (setup);
  answer_poll (setup,
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_clock_ms = FORMER_CLOCK_MS,
                                    .worker_started_ms = FORMER_STARTED_MS,
                                    .outcomes = outcomes });
  place_task (setup);
  wk_start (setup->workers, setup->task);
  wk_outcomes_stored (setup->workers, wk_mark_outcomes (setup->workers));
  g_array_free (outcomes, TRUE);
}

/* Guards against workers that are polled again and again without an
   acknowledgement: the turn of each among many came too late after its
   answer.  */
static void
test_acknowledgement_does_not_wait_for_a_turn (void)
{
  struct setup setup;
  struct fake_call *poll;

  send_start_beside_outcome (&setup);
  usleep (1000 * IDLE_MS);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen, 0);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'),
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_clock_ms = FORMER_CLOCK_MS,
                                    .worker_started_ms = FORMER_STARTED_MS });
  usleep (1000 * IDLE_MS);
  wk_send_waiting (setup.workers);
  poll = fake_oldest_open_call (&setup.port, 'h');
  CU_ASSERT (poll != NULL && poll->seen == 7);
  tear_down (&setup);
}

static void
answer_start_by_new_process (struct setup *setup)
{
  fake_answer (
      fake_oldest_open_call (&setup->port, 's'),
      &(struct wp_answer){ .result = WP_DONE, .worker_clock_ms = CLOCK_MS });
}

/* Guards against a start that is carried out long after it was given up: its
   deadline was computed by the clock of the former process, which an answer
   had that came after the restart had been seen.  */
static void
test_late_answer_does_not_restore_the_former_clock (void)
{
  struct setup setup;
  struct fake_call *start;

  send_start_beside_outcome (&setup);
  start = fake_oldest_open_call (&setup.port, 's');
  answer_poll_of_new_process (&setup, true);
  answer_poll_of_new_process (&setup, true);
  fake_answer (start,
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_clock_ms = FORMER_CLOCK_MS });
  wk_send_waiting (setup.workers);
  CU_ASSERT (fake_oldest_open_call (&setup.port, 'h')->deadline_ms
             < FORMER_CLOCK_MS);
  tear_down (&setup);
}

/* Guards against an end that is forgotten before it was processed: the answer
   to a start had the clock of a new process, which was told the number of the
   former one's outcome, and got other starts (soak.py with `reborn`, seed
   110).
 */
static void
test_restart_is_noticed_by_the_clock_of_a_start (void)
{
  struct setup setup;

  send_start_beside_outcome (&setup);
  answer_start_by_new_process (&setup);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_UNSEEN);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen, 0);
  answer_poll_of_new_process (&setup, true);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_PLACED);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen, 0);
  tear_down (&setup);
}

/* Guards against an end that is forgotten before it was processed: while an
   acknowledgement of the former process's outcomes was under way, the new one
   was not polled (soak.py with `reborn`, seed 108).  */
static void
test_new_process_is_polled_beside_an_acknowledgement (void)
{
  struct setup setup;
  struct fake_call *acknowledgement;

  send_start_beside_outcome (&setup);
  wk_send_waiting (setup.workers);
  acknowledgement = fake_oldest_open_call (&setup.port, 'h');
  CU_ASSERT_PTR_NOT_NULL_FATAL (acknowledgement);
  if (acknowledgement == NULL)
    return;
  CU_ASSERT_EQUAL (acknowledgement->seen, 7);
  answer_start_by_new_process (&setup);
  wk_send_waiting (setup.workers);
  acknowledgement->open = false;
  CU_ASSERT_PTR_NOT_NULL_FATAL (fake_oldest_open_call (&setup.port, 'h'));
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen, 0);
  answer_poll_of_new_process (&setup, true);
  /* Its answer may be older than the other one.  */
  fake_answer (acknowledgement, &(struct wp_answer){ .result = WP_NO_ANSWER,
                                                     .worker_clock_ms = -1 });
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_UNSEEN);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_PLACED);
  wk_term_raised (setup.workers, NEXT_TERM);
  answer_poll_of_new_process (&setup, true);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_PLACED);
  tear_down (&setup);
}

/* TWICE (review/6): an acknowledgement that was under way when its worker
   restarted was carried out by the next process, which forgot an end that was
   not read, and the task ran again after its end.
   @return : the acknowledgement, which has had no answer.  */
static struct fake_call *
restart_during_acknowledgement (struct setup *setup)
{
  struct fake_call *acknowledgement;

  send_start_beside_outcome (setup);
  wk_send_waiting (setup->workers);
  acknowledgement = fake_oldest_open_call (&setup->port, 'h');
  CU_ASSERT_PTR_NOT_NULL_FATAL (acknowledgement);
  if (acknowledgement == NULL)
    return NULL;
  CU_ASSERT_EQUAL (acknowledgement->seen, 7);
  answer_start_by_new_process (setup);
  acknowledgement->open = false;
  return acknowledgement;
}

static void
test_acknowledgement_of_former_process_is_fenced (void)
{
  struct setup setup;
  struct jb_job *other;
  struct fixture_step step = { .count = 1, .accelerators = 1 };

  restart_during_acknowledgement (&setup);
  CU_ASSERT_TRUE (wk_needs_higher_term (setup.workers));
  other = jb_table_add (setup.table, "00000000000000bb",
                        fixture_spec ("batch", "clinic", &step), 0);
  sd_job_added (setup.sched, other);
  answer_poll_of_new_process (&setup, true);
  /* It may still be carried out there: nothing starts.  */
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  wk_term_raised (setup.workers, NEXT_TERM);
  CU_ASSERT_FALSE (wk_needs_higher_term (setup.workers));
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->term, NEXT_TERM);
  answer_poll_of_new_process (&setup, true);
  /* From now on the worker refuses calls of the former term.  */
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  wk_start (setup.workers, &other->tasks[0]);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 's')->term, NEXT_TERM);
  tear_down (&setup);
}

/* An acknowledgement that was answered, or none, cannot arrive late.  */
static void
test_term_is_not_raised_without_a_late_acknowledgement (void)
{
  struct setup setup;

  send_start_beside_outcome (&setup);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen, 7);
  answer_poll_of_former_process (&setup);
  answer_start_by_new_process (&setup);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_UNSEEN);
  CU_ASSERT_FALSE (wk_needs_higher_term (setup.workers));
  answer_poll_of_new_process (&setup, true);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  tear_down (&setup);
}

/* A call of the former term that the worker refuses, since it knows the raised
   one, does not show another planner; a call of the raised term does.  */
static void
test_own_raised_term_supersedes_nobody (void)
{
  struct setup setup;
  struct fake_call *acknowledgement = restart_during_acknowledgement (&setup);
  const struct wp_answer refusal
      = { .result = WP_FENCED, .worker_clock_ms = CLOCK_MS };

  answer_poll_of_new_process (&setup, true);
  wk_term_raised (setup.workers, NEXT_TERM);
  answer_poll_of_new_process (&setup, true);
  fake_answer (acknowledgement, &refusal);
  CU_ASSERT_EQUAL (setup.fenced, 0);
  wk_send_waiting (setup.workers);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'), &refusal);
  CU_ASSERT_EQUAL (setup.fenced, 1);
  tear_down (&setup);
}

/* TWICE (review/11): a start without an answer was carried out, seconds later,
   by the next process of its worker: its deadline is by another clock, and the
   worker has seen no higher term.  The next try had been answered, and the run
   had ended.  */
static void
test_start_without_an_answer_is_fenced (void)
{
  struct setup setup;

  set_up (&setup);
  send_start (&setup);
  fake_answer (
      fake_oldest_open_call (&setup.port, 's'),
      &(struct wp_answer){ .result = WP_NO_ANSWER, .worker_clock_ms = -1 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (fake_oldest_open_call (&setup.port, 's'));
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_clock_ms = FORMER_CLOCK_MS });
  answer_poll_of_former_process (&setup); /* sent with the start */
  CU_ASSERT_FALSE (wk_needs_higher_term (setup.workers));
  answer_poll_of_new_process (&setup, false);
  CU_ASSERT_TRUE (wk_needs_higher_term (setup.workers));
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_UNSEEN);
  wk_term_raised (setup.workers, NEXT_TERM);
  answer_poll_of_new_process (&setup, false);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  CU_ASSERT_FALSE (wk_needs_higher_term (setup.workers));
  tear_down (&setup);
}

/* The same for a start that is still under way when the restart is noticed.
 */
static void
test_start_under_way_is_fenced (void)
{
  struct setup setup;

  set_up (&setup);
  send_start (&setup);
  answer_poll_of_former_process (&setup); /* sent with the start */
  CU_ASSERT_FALSE (wk_needs_higher_term (setup.workers));
  answer_poll_of_new_process (&setup, false);
  CU_ASSERT_TRUE (wk_needs_higher_term (setup.workers));
  tear_down (&setup);
}

/* A start that was answered, or did not leave this host, cannot arrive late.
 */
static void
test_answered_start_is_not_fenced (void)
{
  struct setup setup;

  set_up (&setup);
  send_start (&setup);
  fake_answer (
      fake_oldest_open_call (&setup.port, 's'),
      &(struct wp_answer){ .result = WP_NOT_SENT, .worker_clock_ms = -1 });
  if (fake_oldest_open_call (&setup.port, 's') != NULL)
    fake_answer (fake_oldest_open_call (&setup.port, 's'),
                 &(struct wp_answer){ .result = WP_DONE,
                                      .worker_clock_ms = FORMER_CLOCK_MS });
  answer_poll_of_former_process (&setup); /* sent with the start */
  answer_poll_of_new_process (&setup, false);
  CU_ASSERT_FALSE (wk_needs_higher_term (setup.workers));
  tear_down (&setup);
}

/* Guards against an end that is forgotten before it was processed: an
   acknowledgement had waited for a connection while the worker restarted
   (soak.py with `reborn`, seed 117).  */
static void
test_acknowledgement_not_sent_in_time_is_left_out (void)
{
  struct setup setup;

  send_start_beside_outcome (&setup);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen, 7);
  usleep (1000 * IDLE_MS);
  fake_answer (
      fake_oldest_open_call (&setup.port, 'h'),
      &(struct wp_answer){ .result = WP_SEND_LATE, .worker_clock_ms = -1 });
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->seen, 0);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->wait_ms, 0);
  tear_down (&setup);
}

/* Several calls were under way when the worker restarted.  */
static void
test_new_process_is_polled_once (void)
{
  struct setup setup;
  size_t calls;
  uint32_t i;

  send_start_beside_outcome (&setup);
  wk_stop (setup.workers, setup.task);
  wk_stop (setup.workers, setup.task);
  answer_start_by_new_process (&setup);
  wk_send_waiting (setup.workers);
  calls = setup.port.count;
  for (i = 0; i < 2; i++)
    {
      fake_answer (fake_oldest_open_call (&setup.port, 'x'),
                   &(struct wp_answer){ .result = WP_DONE,
                                        .worker_clock_ms = CLOCK_MS });
      wk_send_waiting (setup.workers);
    }
  CU_ASSERT_EQUAL (setup.port.count, calls);
  tear_down (&setup);
}

/* The answer to a start comes in after one to a later poll.  */
static void
test_delayed_answer_shows_no_restart (void)
{
  struct setup setup;

  send_start_beside_outcome (&setup);
  answer_poll (&setup,
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_clock_ms = FORMER_CLOCK_MS + 100,
                                    .worker_started_ms = FORMER_STARTED_MS });
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE,
                                    .worker_clock_ms = FORMER_CLOCK_MS });
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  tear_down (&setup);
}

/* A stop is sent while the answer that shows the restart is processed.  */
static void
test_clock_of_the_former_process_shows_no_restart (void)
{
  struct setup setup;

  set_up (&setup);
  answer_poll_of_former_process (&setup);
  place_task (&setup);
  wk_send_waiting (setup.workers);
  sd_task_lost (setup.sched, setup.task, clk_monotonic_ms (NULL));
  answer_poll_of_new_process (&setup, true);
  fake_answer (
      fake_oldest_open_call (&setup.port, 'x'),
      &(struct wp_answer){ .result = WP_DONE, .worker_clock_ms = CLOCK_MS });
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  tear_down (&setup);
}

/* Guards against a job that stays `running` with nothing running: a host that
   held the term for a second time took each poll without an answer for one
   that had extended the worker's lease (review, case 1).  */
static void
test_regained_term_ends_runs_of_lost_worker (void)
{
  struct setup setup;

  set_up (&setup);
  answer_poll_of_former_process (&setup);
  place_task (&setup);
  wk_end_term (setup.workers);
  sd_worker_unlisted (setup.sched, "w1");
  sd_begin_term (setup.sched, clk_monotonic_ms (NULL));
  wk_begin_term (setup.workers, 3, NULL);
  wk_worker_list_read (setup.workers);
  be_unreachable (&setup, LIMIT_IS_OVER_MS);
  CU_ASSERT_EQUAL (setup.task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "the lease of a restarted worker may last to the limit",
      test_lease_of_restarted_worker_may_last_to_the_limit },
    { "a start without an answer may run to the limit",
      test_unanswered_start_may_run_to_the_limit },
    { "the lease of a known process ends as granted",
      test_lease_of_known_process_ends_as_granted },
    { "a start at a restarted worker is stopped first",
      test_start_at_restarted_worker_is_stopped_first },
    { "a restart is noticed by the report",
      test_restart_is_noticed_by_the_report },
    { "a start waits for the new process",
      test_start_waits_for_the_new_process },
    { "a renewal that is not sent does not hide a restart",
      test_renewal_not_sent_does_not_hide_a_restart },
    { "a worker out of reach gets no acknowledgement",
      test_unreachable_worker_gets_no_acknowledgement },
    { "an outcome is acknowledged once", test_outcome_is_acknowledged_once },
    { "an idle worker is polled before an acknowledgement",
      test_idle_worker_is_polled_before_an_acknowledgement },
    { "an acknowledgement does not wait for a turn",
      test_acknowledgement_does_not_wait_for_a_turn },
    { "a late answer does not restore the former clock",
      test_late_answer_does_not_restore_the_former_clock },
    { "a restart is noticed by the clock of a start",
      test_restart_is_noticed_by_the_clock_of_a_start },
    { "a new process is polled beside an acknowledgement",
      test_new_process_is_polled_beside_an_acknowledgement },
    { "an acknowledgement of a former process is fenced",
      test_acknowledgement_of_former_process_is_fenced },
    { "the term is not raised without a late acknowledgement",
      test_term_is_not_raised_without_a_late_acknowledgement },
    { "the own raised term supersedes nobody",
      test_own_raised_term_supersedes_nobody },
    { "an acknowledgement not sent in time is left out",
      test_acknowledgement_not_sent_in_time_is_left_out },
    { "a new process is polled once", test_new_process_is_polled_once },
    { "a delayed answer shows no restart",
      test_delayed_answer_shows_no_restart },
    { "the clock of the former process shows no restart",
      test_clock_of_the_former_process_shows_no_restart },
    { "a regained term ends the runs of a lost worker",
      test_regained_term_ends_runs_of_lost_worker },
    { "a start without an answer is fenced",
      test_start_without_an_answer_is_fenced },
    { "a start under way is fenced", test_start_under_way_is_fenced },
    { "an answered start is not fenced", test_answered_start_is_not_fenced },
    { "the report of a former process does not count",
      test_report_of_former_process_does_not_count },
    { "a waiting start is not sent by the report of a former process",
      test_waiting_start_is_not_sent_by_the_report_of_former_process },
    { "a report outlasts a late answer of the former process",
      test_report_outlasts_a_late_answer_of_the_former_process },
  };

  return check_run ("hostd restarts", tests, G_N_ELEMENTS (tests));
}
