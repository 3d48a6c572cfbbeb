/* Tests of runs that are lost with their workers: one test for each way of
   losing a run, in the order of the table in docs/design/crashes.md.  LOST
   (review/7): a job was shown as failed after five of its workers had left, as
   each had announced.  */

#include "check.h"
#include "losses_fixture.h"

static const char JOB[] = "00000000000000aa";

enum
{
  PROCESS = 7,       /* start time of a worker's process, */
  NEXT_PROCESS = 8,  /* and of the next one */
  LOSSES = 6,        /* more than any limit */
  LOSS_LIMIT = 5,    /* crashes that fail a job */
  ABSENCE_MS = 2500, /* longer than a lease */
};

/* Starts the task of the job on a new worker, the only one with room.  */
static struct sd_worker *
start_on_new_worker (struct setup *setup, struct jb_job *job)
{
  struct sd_worker *worker = add_worker (setup);

  sd_worker_set_reachability (worker, SD_WORKER_UNSEEN);
  answer_polls_as (setup, worker->report.id, WP_DONE, PROCESS);
  CU_ASSERT_EQUAL_FATAL (run_round (setup), 1);
  start_task (setup, &job->tasks[0]);
  CU_ASSERT_PTR_EQUAL_FATAL (worker_of (setup, &job->tasks[0]), worker);
  return worker;
}

/* The store's list has a report of the worker's process, not older than
   REPORTED_MS.  */
static void
report_worker (struct setup *setup, struct sd_worker *worker,
               int64_t started_ms, bool draining, int64_t reported_ms)
{
  struct sd_worker_report report = {
    .id = g_strdup (worker->report.id),
    .address = g_strdup ("127.0.0.1:1"),
    .service = g_strdup ("desk"),
    .data_centre = g_strdup ("dc"),
    .rack = g_strdup ("r1"),
    .labels = g_new0 (char *, 1),
    .draining = draining,
    .min_remaining_ms = draining ? 1 : 0,
    .process_started_ms = started_ms,
  };

  sd_worker_listed (setup->sched, &report, reported_ms);
  wk_worker_reported (setup->workers, worker);
}

static void
announce_leaving (struct setup *setup, struct sd_worker *worker)
{
  report_worker (setup, worker, PROCESS, true, clk_monotonic_ms (NULL));
}

/* The worker is out of reach, and listed, until its lease is over.  */
static void
cut_off (struct setup *setup, struct jb_job *job, struct sd_worker *worker)
{
  answer_polls (setup, worker->report.id, WP_NO_ANSWER);
  /* No room, so that the next run is on another one.  */
  worker->report.resources = (struct jb_resources){ 0 };
  wait_for_lease (setup);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_WAITING);
}

static void
poll_again (struct setup *setup, const struct sd_worker *worker,
            int64_t started_ms)
{
  usleep (1000 * POLL_AGAIN_MS);
  answer_polls_as (setup, worker->report.id, WP_DONE, started_ms);
}

static uint32_t
undecided_losses (const struct jb_job *job)
{
  return job->tasks[0].undecided_losses == NULL
             ? 0
             : job->tasks[0].undecided_losses->len;
}

static void
check_no_crash (const struct jb_job *job)
{
  CU_ASSERT_FALSE (jb_state_is_final (job->state));
  CU_ASSERT_EQUAL (job->tasks[0].crashes, 0);
  CU_ASSERT_EQUAL (job->tasks[0].lost_runs, 0);
  CU_ASSERT_EQUAL (undecided_losses (job), 0);
}

static void
test_another_process_is_a_crash (void)
{
  struct setup setup;
  struct jb_job *job;
  struct sd_worker *worker;

  set_up_for_absence (&setup, ABSENCE_MS);
  job = add_job (&setup, JOB, false);
  worker = start_on_new_worker (&setup, job);
  poll_again (&setup, worker, PROCESS);
  poll_again (&setup, worker, NEXT_PROCESS);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_WAITING);
  CU_ASSERT_EQUAL (job->tasks[0].crashes, 1);
  tear_down (&setup);
}

/* The worker of each run leaves, as it has announced.
   HOW: result of the polls after it has left.  */
static void
lose_leaving_workers (enum wp_result how, bool takeovers)
{
  struct setup setup;
  struct jb_job *job;
  uint32_t losses;

  set_up (&setup);
  job = add_job (&setup, JOB, false);
  for (losses = 0; losses < LOSSES; losses++)
    {
      struct sd_worker *worker = start_on_new_worker (&setup, job);

      announce_leaving (&setup, worker);
      if (takeovers)
        {
          /* The next planner has never seen its report.  */
          sd_worker_unlisted (setup.sched, worker->report.id);
          worker->report.draining = false;
          take_over (&setup, job);
        }
      lose_worker (&setup, worker);
      if (how == WP_WRONG_WORKER)
        answer_by_another_process (&setup, worker);
      else
        wait_for_lease (&setup);
      CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_WAITING);
    }
  check_no_crash (job);
  tear_down (&setup);
}

static void
test_announced_leaving_is_no_crash (void)
{
  lose_leaving_workers (WP_NO_ANSWER, false);
}

static void
test_replaced_leaving_worker_is_no_crash (void)
{
  lose_leaving_workers (WP_WRONG_WORKER, false);
}

static void
test_leaving_before_a_takeover_is_no_crash (void)
{
  lose_leaving_workers (WP_WRONG_WORKER, true);
  lose_leaving_workers (WP_NO_ANSWER, true);
}

/* A planned restart under the same id.  */
static void
test_announced_restart_is_no_crash (void)
{
  struct setup setup;
  struct jb_job *job;
  struct sd_worker *worker;

  set_up (&setup);
  job = add_job (&setup, JOB, false);
  worker = start_on_new_worker (&setup, job);
  poll_again (&setup, worker, PROCESS);
  announce_leaving (&setup, worker);
  report_worker (&setup, worker, NEXT_PROCESS, false, clk_monotonic_ms (NULL));
  answer_polls_as (&setup, worker->report.id, WP_DONE, NEXT_PROCESS);
  poll_again (&setup, worker, NEXT_PROCESS);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_WAITING);
  check_no_crash (job);
  tear_down (&setup);
}

/* The planner reads late that the worker has announced it.  */
static void
test_leaving_that_is_read_late_is_no_crash (void)
{
  struct setup setup;
  struct jb_job *job;
  struct sd_worker *worker;

  set_up_for_absence (&setup, ABSENCE_MS);
  job = add_job (&setup, JOB, false);
  worker = start_on_new_worker (&setup, job);
  cut_off (&setup, job, worker);
  CU_ASSERT_EQUAL (undecided_losses (job), 1);
  report_worker (&setup, worker, PROCESS, true, 1);
  sd_worker_unlisted (setup.sched, worker->report.id);
  check_no_crash (job);
  tear_down (&setup);
}

static void
test_worker_that_answers_again_has_not_crashed (void)
{
  struct setup setup;
  struct jb_job *job;
  struct sd_worker *worker;
  uint32_t cuts;

  set_up_for_absence (&setup, ABSENCE_MS);
  job = add_job (&setup, JOB, false);
  for (cuts = 0; cuts < LOSSES; cuts++)
    {
      worker = start_on_new_worker (&setup, job);
      cut_off (&setup, job, worker);
      CU_ASSERT_EQUAL (undecided_losses (job), 1);
      poll_again (&setup, worker, PROCESS);
      check_no_crash (job);
    }
  tear_down (&setup);
}

static void
test_worker_that_reports_again_has_not_crashed (void)
{
  struct setup setup;
  struct jb_job *job;
  struct sd_worker *worker;

  set_up_for_absence (&setup, ABSENCE_MS);
  job = add_job (&setup, JOB, false);
  worker = start_on_new_worker (&setup, job);
  cut_off (&setup, job, worker);
  report_worker (&setup, worker, PROCESS, false, 1); /* of before */
  CU_ASSERT_EQUAL (undecided_losses (job), 1);
  report_worker (&setup, worker, PROCESS, false, clk_monotonic_ms (NULL));
  check_no_crash (job);
  tear_down (&setup);
}

static void
test_other_process_after_a_cut_is_a_crash (void)
{
  struct setup setup;
  struct jb_job *job;
  struct sd_worker *worker;
  enum
  {
    BY_POLL,
    BY_REPORT,
    BY_ADDRESS,
    WAYS
  } way;

  for (way = BY_POLL; way < WAYS; way++)
    {
      set_up_for_absence (&setup, ABSENCE_MS);
      job = add_job (&setup, JOB, false);
      worker = start_on_new_worker (&setup, job);
      cut_off (&setup, job, worker);
      if (way == BY_POLL)
        poll_again (&setup, worker, NEXT_PROCESS);
      else if (way == BY_REPORT)
        report_worker (&setup, worker, NEXT_PROCESS, false,
                       clk_monotonic_ms (NULL));
      else
        {
          sd_worker_unlisted (setup.sched, worker->report.id);
          answer_by_another_process (&setup, worker);
        }
      CU_ASSERT_EQUAL (job->tasks[0].lost_runs, 1);
      CU_ASSERT_EQUAL (undecided_losses (job), 0);
      tear_down (&setup);
    }
}

/* Cuts of five workers that have not ended: the task neither starts on a sixth
   nor is its job shown as failed, until they have.  */
static void
test_undecided_losses_delay_the_next_start (void)
{
  struct setup setup;
  struct jb_job *job;
  struct sd_worker *worker = NULL;
  uint32_t cuts;

  set_up_for_absence (&setup, ABSENCE_MS);
  job = add_job (&setup, JOB, false);
  for (cuts = 0; cuts < LOSS_LIMIT; cuts++)
    {
      worker = start_on_new_worker (&setup, job);
      cut_off (&setup, job, worker);
    }
  add_worker (&setup);
  CU_ASSERT_EQUAL (run_round (&setup), 0);
  CU_ASSERT_EQUAL (job->state, JB_RUNNING);
  take_over (&setup, job);
  CU_ASSERT_EQUAL (undecided_losses (job), LOSS_LIMIT);
  add_worker (&setup);
  CU_ASSERT_EQUAL (run_round (&setup), 0);
  CU_ASSERT_FALSE (jb_state_is_final (job->state));
  poll_again (&setup, worker, PROCESS);
  CU_ASSERT_EQUAL (run_round (&setup), 1);
  tear_down (&setup);
}

/* Nothing is seen of the workers any more, neither by polls nor in the
   list.  */
static void
test_workers_that_stay_away_have_crashed (void)
{
  struct setup setup;
  struct jb_job *job;
  struct sd_worker *worker = NULL;
  uint32_t losses;

  set_up_for_absence (&setup, ABSENCE_MS);
  job = add_job (&setup, JOB, false);
  for (losses = 0; losses < LOSS_LIMIT; losses++)
    {
      worker = start_on_new_worker (&setup, job);
      sd_worker_unlisted (setup.sched, worker->report.id);
      cut_off (&setup, job, worker);
    }
  CU_ASSERT_EQUAL (job->state, JB_RUNNING);
  usleep (1000 * ABSENCE_MS);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (job->state, JB_FAILED);
  CU_ASSERT_EQUAL (worker->undecided_losses, 0);
  tear_down (&setup);
}

/* The same of one that comes back after all.  */
static void
test_worker_that_returns_late_has_not_crashed (void)
{
  struct setup setup;
  struct jb_job *job;
  struct sd_worker *worker;

  set_up (&setup);
  job = add_job (&setup, JOB, false);
  worker = start_on_new_worker (&setup, job);
  sd_worker_unlisted (setup.sched, worker->report.id);
  cut_off (&setup, job, worker);
  CU_ASSERT_TRUE (
      g_array_index (job->tasks[0].undecided_losses, struct jb_loss, 0)
          .counted);
  report_worker (&setup, worker, PROCESS, false, 1);
  poll_again (&setup, worker, PROCESS);
  check_no_crash (job);
  tear_down (&setup);
}

/* A task that lasts is never given up, so that nothing is to be settled, and
   its record does not grow with each loss.  */
static void
test_losses_of_a_lasting_task_are_not_kept (void)
{
  struct setup setup;
  struct jb_job *job;

  set_up_for_absence (&setup, ABSENCE_MS);
  job = add_job (&setup, JOB, false);
  job->spec->steps[0].long_lived = true;
  cut_off (&setup, job, start_on_new_worker (&setup, job));
  check_no_crash (job);
  tear_down (&setup);
}

/* By a preemption, an evacuation or a cancellation.  */
static void
test_stop_is_no_crash (void)
{
  struct setup setup;
  struct jb_job *job;
  uint32_t stops;

  set_up (&setup);
  job = add_job (&setup, JOB, false);
  add_worker (&setup);
  for (stops = 0; stops < LOSSES; stops++)
    {
      CU_ASSERT_EQUAL_FATAL (run_round (&setup), 1);
      start_task (&setup, &job->tasks[0]);
      sd_task_ended (setup.sched, &job->tasks[0], SD_OUTCOME_STOPPED, "",
                     clk_monotonic_ms (NULL), 0);
    }
  check_no_crash (job);
  tear_down (&setup);
}

/* Its worker is in touch and does not have the run, or the start was never
   sent.  */
static void
test_run_that_was_not_there_is_no_crash (void)
{
  struct setup setup;
  struct jb_job *job;
  struct sd_worker *worker;
  uint32_t losses;

  set_up (&setup);
  job = add_job (&setup, JOB, false);
  for (losses = 0; losses < LOSSES; losses++)
    {
      worker = add_worker (&setup);
      CU_ASSERT_EQUAL_FATAL (run_round (&setup), 1);
      if (losses % 2 == 0)
        {
          lose_worker (&setup, worker);
          answer_by_another_process (&setup, worker);
        }
      else
        {
          sd_task_lost (setup.sched, &job->tasks[0], clk_monotonic_ms (NULL));
          sd_worker_unlisted (setup.sched, worker->report.id);
        }
      CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_WAITING);
    }
  CU_ASSERT_EQUAL (job->state, JB_QUEUED);
  CU_ASSERT_EQUAL (job->tasks[0].lost_runs, 0);
  CU_ASSERT_EQUAL (undecided_losses (job), 0);
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "another process is a crash", test_another_process_is_a_crash },
    { "an announced leaving is no crash", test_announced_leaving_is_no_crash },
    { "a replaced worker that had announced it is no crash",
      test_replaced_leaving_worker_is_no_crash },
    { "a leaving that was announced before a takeover is no crash",
      test_leaving_before_a_takeover_is_no_crash },
    { "an announced restart is no crash", test_announced_restart_is_no_crash },
    { "a leaving that is read late is no crash",
      test_leaving_that_is_read_late_is_no_crash },
    { "a worker that answers again has not crashed",
      test_worker_that_answers_again_has_not_crashed },
    { "a worker that reports again has not crashed",
      test_worker_that_reports_again_has_not_crashed },
    { "another process after a cut is a crash",
      test_other_process_after_a_cut_is_a_crash },
    { "undecided losses delay the next start",
      test_undecided_losses_delay_the_next_start },
    { "workers that stay away have crashed",
      test_workers_that_stay_away_have_crashed },
    { "a worker that returns late has not crashed",
      test_worker_that_returns_late_has_not_crashed },
    { "losses of a lasting task are not kept",
      test_losses_of_a_lasting_task_are_not_kept },
    { "a stop is no crash", test_stop_is_no_crash },
    { "a run that was not there is no crash",
      test_run_that_was_not_there_is_no_crash },
  };

  return check_run ("hostd losses", tests, G_N_ELEMENTS (tests));
}
