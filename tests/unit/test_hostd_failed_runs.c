/* Tests of failed runs: each counts once against the limit of its task or
   gang, in whatever order the ends of its members become known.  LOST
   (review/8): one run of a gang in which two members had failed counted as two
   attempts, and its job was shown as failed.  */

#include "check.h"
#include "losses_fixture.h"

static const char JOB[] = "00000000000000aa";

enum
{
  /* Of fixture_catalog ().  */
  ATTEMPT_LIMIT = 2,
  GANG_SIZE = 4
};

static struct jb_job *
add_job_of (struct setup *setup, uint32_t tasks, bool gang)
{
  struct fixture_step step
      = { .count = tasks, .accelerators = 1, .gang = gang };
  struct jb_job *job = jb_table_add (
      setup->table, JOB, fixture_spec ("batch", "clinic", &step), 0);

  sd_job_added (setup->sched, job);
  return job;
}

/* One worker for each task.  */
static struct jb_job *
set_up_job (struct setup *setup, uint32_t tasks, bool gang)
{
  uint32_t i;

  set_up (setup);
  for (i = 0; i < tasks; i++)
    add_worker (setup)->report.resources.accelerators = 1;
  return add_job_of (setup, tasks, gang);
}

/* Starts all waiting tasks of the job, and has their workers confirm it.  */
static void
start_run (struct setup *setup, struct jb_job *job)
{
  size_t i;

  CU_ASSERT_TRUE_FATAL (run_round (setup) > 0);
  for (i = 0; i < job->task_total; i++)
    if (job->tasks[i].state == JB_TASK_PLACED && !job->tasks[i].confirmed)
      start_task (setup, &job->tasks[i]);
}

/* The workers that had the members of a run, so that they can list its ends
   later.  */
static void
note_workers (struct setup *setup, const struct jb_job *job,
              struct sd_worker **workers)
{
  size_t i;

  for (i = 0; i < job->task_total; i++)
    workers[i] = sd_worker_find (setup->sched, job->tasks[i].worker);
}

/* A poll of WORKER lists the end number NUMBER.  */
static void
list_end (struct setup *setup, struct sd_worker *worker, int64_t number,
          const struct jb_task *task, uint32_t run, enum sd_outcome outcome)
{
  struct wp_outcome end = { .number = number,
                            .task = jb_task_name (task),
                            .run = run,
                            .outcome = outcome,
                            .checkpoint = (char *)"" };
  GArray *outcomes = g_array_new (FALSE, FALSE, sizeof end);
  struct wp_answer answer = { .result = WP_DONE,
                              .outcomes = outcomes,
                              .worker_clock_ms = CLOCK_MS };
  struct fake_call *poll = NULL;
  size_t i;

  g_array_append_val (outcomes, end);
  sd_worker_set_reachability (worker, SD_WORKER_UNSEEN);
  wk_send_waiting (setup->workers);
  for (i = 0; i < setup->port.count; i++)
    if (setup->port.calls[i].open && setup->port.calls[i].kind == 'h'
        && strcmp (setup->port.calls[i].worker, worker->report.id) == 0)
      poll = &setup->port.calls[i];
  CU_ASSERT_PTR_NOT_NULL_FATAL (poll);
  fake_answer (poll, &answer);
  g_array_free (outcomes, TRUE);
  g_free (end.task);
}

static void
end_member (struct setup *setup, struct jb_job *job, uint32_t index,
            enum sd_outcome outcome)
{
  sd_task_ended (setup->sched, &job->tasks[index], outcome, "",
                 clk_monotonic_ms (NULL), 0);
}

/* All members that have not ended are stopped.  */
static void
stop_the_others (struct setup *setup, struct jb_job *job)
{
  size_t i;

  for (i = 0; i < job->task_total; i++)
    if (job->tasks[i].state == JB_TASK_PLACED
        || job->tasks[i].state == JB_TASK_STOPPING)
      end_member (setup, job, (uint32_t)i, SD_OUTCOME_GANG_MEMBER_LOST);
}

static void
check_goes_on (const struct jb_job *job, uint32_t failures)
{
  CU_ASSERT_FALSE (jb_state_is_final (job->state));
  CU_ASSERT_EQUAL (job->tasks[0].failures, failures);
}

static void
test_members_that_fail_together_count_once (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, GANG_SIZE, true);

  start_run (&setup, job);
  end_member (&setup, job, 1, SD_OUTCOME_FAILED);
  CU_ASSERT_EQUAL (job->tasks[2].state, JB_TASK_STOPPING);
  end_member (&setup, job, 2, SD_OUTCOME_FAILED);
  end_member (&setup, job, 3, SD_OUTCOME_FAILED);
  check_goes_on (job, 1);
  CU_ASSERT_EQUAL (job->failed_runs, 1);
  stop_the_others (&setup, job);
  start_run (&setup, job);
  CU_ASSERT_EQUAL (job->tasks[0].run, 2);
  tear_down (&setup);
}

/* A gang has its attempts and no more.  */
static void
test_two_failed_runs_get_no_third (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, GANG_SIZE, true);
  uint32_t run;

  for (run = 1; run <= ATTEMPT_LIMIT; run++)
    {
      CU_ASSERT_FALSE (jb_state_is_final (job->state));
      start_run (&setup, job);
      end_member (&setup, job, 3, SD_OUTCOME_FAILED);
      end_member (&setup, job, 0, SD_OUTCOME_FAILED);
      stop_the_others (&setup, job);
    }
  CU_ASSERT_EQUAL (job->state, JB_FAILED);
  CU_ASSERT_EQUAL (run_round (&setup), 0);
  tear_down (&setup);
}

static void
test_failure_after_a_takeover_counts_once (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, GANG_SIZE, true);

  start_run (&setup, job);
  end_member (&setup, job, 1, SD_OUTCOME_FAILED);
  take_over (&setup, job);
  CU_ASSERT_EQUAL (job->tasks[2].state, JB_TASK_STOPPING);
  end_member (&setup, job, 2, SD_OUTCOME_FAILED);
  check_goes_on (job, 1);
  tear_down (&setup);
}

/* The end was not acknowledged before the takeover, and is listed again.  */
static void
test_end_listed_again_after_a_takeover_counts_once (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, GANG_SIZE, true);
  struct sd_worker *workers[GANG_SIZE];

  start_run (&setup, job);
  note_workers (&setup, job, workers);
  list_end (&setup, workers[1], 1, &job->tasks[1], 1, SD_OUTCOME_FAILED);
  CU_ASSERT_EQUAL (job->tasks[1].state, JB_TASK_WAITING);
  take_over (&setup, job);
  list_end (&setup, workers[1], 1, &job->tasks[1], 1, SD_OUTCOME_FAILED);
  check_goes_on (job, 1);
  tear_down (&setup);
}

/* Two members were given up with their workers, which return and list that
   both had failed.  */
static void
test_failures_of_a_run_given_up_count_once (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, GANG_SIZE, true);
  struct sd_worker *workers[GANG_SIZE];

  start_run (&setup, job);
  note_workers (&setup, job, workers);
  sd_task_lost (setup.sched, &job->tasks[1], clk_monotonic_ms (NULL));
  sd_task_lost (setup.sched, &job->tasks[2], clk_monotonic_ms (NULL));
  stop_the_others (&setup, job);
  list_end (&setup, workers[1], 1, &job->tasks[1], 1, SD_OUTCOME_FAILED);
  check_goes_on (job, 1);
  list_end (&setup, workers[2], 1, &job->tasks[2], 1, SD_OUTCOME_FAILED);
  check_goes_on (job, 1);
  tear_down (&setup);
}

/* One member of the first run has failed, another was given up, and is found
   to have failed, too, when the second run is at work.  */
static void
test_failure_known_during_the_next_run_counts_once (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, GANG_SIZE, true);
  struct sd_worker *workers[GANG_SIZE];

  start_run (&setup, job);
  note_workers (&setup, job, workers);
  end_member (&setup, job, 1, SD_OUTCOME_FAILED);
  sd_task_lost (setup.sched, &job->tasks[2], clk_monotonic_ms (NULL));
  stop_the_others (&setup, job);
  start_run (&setup, job);
  CU_ASSERT_EQUAL (job->tasks[2].run, 2);
  list_end (&setup, workers[2], 1, &job->tasks[2], 1, SD_OUTCOME_FAILED);
  check_goes_on (job, 1);
  CU_ASSERT_EQUAL (job->tasks[2].state, JB_TASK_PLACED);
  tear_down (&setup);
}

/* BUDGET: both runs count, also if the first one's end is known last.  */
static void
test_earlier_run_known_to_have_failed_later_counts (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, GANG_SIZE, true);
  struct sd_worker *workers[GANG_SIZE];

  start_run (&setup, job);
  note_workers (&setup, job, workers);
  sd_task_lost (setup.sched, &job->tasks[1], clk_monotonic_ms (NULL));
  stop_the_others (&setup, job);
  start_run (&setup, job);
  end_member (&setup, job, 1, SD_OUTCOME_FAILED);
  stop_the_others (&setup, job);
  check_goes_on (job, 1);
  list_end (&setup, workers[1], 1, &job->tasks[1], 1, SD_OUTCOME_FAILED);
  CU_ASSERT_EQUAL (job->state, JB_FAILED);
  CU_ASSERT_EQUAL (job->tasks[0].failures, ATTEMPT_LIMIT);
  tear_down (&setup);
}

/* BUDGET: two runs in a row were given up, and both had failed.  */
static void
test_two_runs_given_up_that_failed_both_count (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, 1, false);
  struct sd_worker *worker;
  uint32_t run;

  for (run = 1; run <= ATTEMPT_LIMIT; run++)
    {
      start_run (&setup, job);
      note_workers (&setup, job, &worker);
      sd_task_lost (setup.sched, &job->tasks[0], clk_monotonic_ms (NULL));
    }
  list_end (&setup, worker, 1, &job->tasks[0], 1, SD_OUTCOME_FAILED);
  check_goes_on (job, 1);
  list_end (&setup, worker, 2, &job->tasks[0], 2, SD_OUTCOME_FAILED);
  CU_ASSERT_EQUAL (job->state, JB_FAILED);
  tear_down (&setup);
}

/* Tasks that are no gang have a limit each.  */
static void
test_tasks_beside_each_other_count_apart (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, GANG_SIZE, false);
  uint32_t i;

  start_run (&setup, job);
  for (i = 0; i < GANG_SIZE; i++)
    end_member (&setup, job, i, SD_OUTCOME_FAILED);
  for (i = 0; i < GANG_SIZE; i++)
    CU_ASSERT_EQUAL (job->tasks[i].failures, 1);
  CU_ASSERT_FALSE (jb_state_is_final (job->state));
  start_run (&setup, job);
  end_member (&setup, job, 2, SD_OUTCOME_FAILED);
  CU_ASSERT_EQUAL (job->state, JB_FAILED);
  tear_down (&setup);
}

/* A task that is done has not failed, whatever an earlier run did.  */
static void
test_failure_of_a_task_that_is_done_does_not_count (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, 2, false);
  struct sd_worker *workers[2];

  setup.catalog->queues[1].attempt_limit = 1;
  start_run (&setup, job);
  note_workers (&setup, job, workers);
  sd_task_lost (setup.sched, &job->tasks[0], clk_monotonic_ms (NULL));
  start_run (&setup, job);
  end_member (&setup, job, 0, SD_OUTCOME_DONE);
  list_end (&setup, workers[0], 1, &job->tasks[0], 1, SD_OUTCOME_FAILED);
  check_goes_on (job, 0);
  tear_down (&setup);
}

/* Both workers of one failed run are suspect, whichever is heard of first.  */
static void
test_each_worker_of_a_failed_run_is_suspect (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, GANG_SIZE, true);
  struct sd_worker *workers[GANG_SIZE] = { NULL };
  uint32_t suspects = 0;
  uint32_t blamed = 0;
  uint32_t i;

  start_run (&setup, job);
  note_workers (&setup, job, workers);
  end_member (&setup, job, 0, SD_OUTCOME_FAILED);
  end_member (&setup, job, 3, SD_OUTCOME_FAILED);
  for (i = 0; i < GANG_SIZE && workers[i] != NULL; i++)
    {
      suspects += workers[i]->suspect_until_ms > 0;
      blamed += workers[i]->failure_streak;
    }
  CU_ASSERT_EQUAL (suspects, 2);
  CU_ASSERT_EQUAL (blamed, 2);
  tear_down (&setup);
}

/* An earlier version has stored that one run has failed, and not which.
   STATE, RUN: of its first task there.  */
static void
apply_record_of_earlier_version (struct jb_job *job, uint32_t state,
                                 uint32_t run)
{
  uint8_t task[] = { 0x08, (uint8_t)state, 0x10, (uint8_t)run, 0x18,
                     1,    0x22,           2,    'w',          '0' };
  GByteArray *block = g_byte_array_new ();
  uint8_t head[] = { 0x0a, sizeof task };
  size_t i;

  for (i = 0; i < job->task_total; i++)
    {
      g_byte_array_append (block, head, sizeof head);
      g_byte_array_append (block, task, sizeof task);
    }
  CU_ASSERT_EQUAL (jb_apply_block (job, 0, block->data, block->len), JB_OK);
  g_byte_array_free (block, TRUE);
}

static void
test_records_of_earlier_versions_count (void)
{
  struct setup setup;
  struct jb_job *job = set_up_job (&setup, 2, true);

  apply_record_of_earlier_version (job, JB_TASK_WAITING, 3);
  CU_ASSERT_EQUAL (job->tasks[0].failures, 1);
  CU_ASSERT_TRUE (jb_task_has_failed_run (&job->tasks[0], 3));
  apply_record_of_earlier_version (job, JB_TASK_PLACED, 3);
  CU_ASSERT_EQUAL (job->tasks[0].failures, 1);
  CU_ASSERT_FALSE (jb_task_has_failed_run (&job->tasks[0], 3));
  CU_ASSERT_TRUE (jb_task_has_failed_run (&job->tasks[0], 2));
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "members that fail together count once",
      test_members_that_fail_together_count_once },
    { "two failed runs get no third", test_two_failed_runs_get_no_third },
    { "a failure after a takeover counts once",
      test_failure_after_a_takeover_counts_once },
    { "an end listed again after a takeover counts once",
      test_end_listed_again_after_a_takeover_counts_once },
    { "failures of a run given up count once",
      test_failures_of_a_run_given_up_count_once },
    { "a failure known during the next run counts once",
      test_failure_known_during_the_next_run_counts_once },
    { "an earlier run known to have failed later counts",
      test_earlier_run_known_to_have_failed_later_counts },
    { "two runs given up that failed both count",
      test_two_runs_given_up_that_failed_both_count },
    { "tasks beside each other count apart",
      test_tasks_beside_each_other_count_apart },
    { "a failure of a task that is done does not count",
      test_failure_of_a_task_that_is_done_does_not_count },
    { "each worker of a failed run is suspect",
      test_each_worker_of_a_failed_run_is_suspect },
    { "records of earlier versions count",
      test_records_of_earlier_versions_count },
  };

  return check_run ("hostd failed runs", tests, G_N_ELEMENTS (tests));
}
