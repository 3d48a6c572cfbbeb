/* Tests of the reasons for which work stands: one state for each, as the core
   has it after a round.  */

#include "check.h"
#include "hostd_fixture.h"
#include "sched/private.h"

enum
{
  WORKERS = 8,
  WORKER_ACCELERATORS = 8,
  EXAMINED_MAX = 100
};

struct setup
{
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct sd_worker *workers[WORKERS];
  struct jb_job *job; /* that stands */
  int64_t now_ms;
  uint32_t jobs;
  char detail[SD_WAITING_DETAIL_BYTES]; /* of the last why_waits () */
};

/* Half of the workers is in rack r1, half in r2.  */
static void
set_up (struct setup *setup)
{
  struct sd_params params = { .remote_slowdown_factor = 3,
                              .stop_max_ms = 200,
                              .report_valid_ms = 500,
                              .reserved_tasks_per_100_workers = 50 };
  uint32_t i;

  memset (setup, 0, sizeof *setup);
  setup->now_ms = 100000;
  setup->table = jb_table_create ();
  setup->sched = sd_create (&params, setup->table);
  setup->catalog = fixture_catalog ();
  sd_set_catalog (setup->sched, setup->catalog);
  for (i = 0; i < WORKERS; i++)
    {
      char *id = g_strdup_printf ("w%u", i);

      setup->workers[i]
          = fixture_worker (setup->sched, id, i < WORKERS / 2 ? "r1" : "r2",
                            WORKER_ACCELERATORS);
      g_free (id);
    }
}

static void
tear_down (struct setup *setup)
{
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
}

/* Takes ownership of SPEC.  */
static struct jb_job *
add_spec (struct setup *setup, struct jb_spec *spec)
{
  char id[JB_ID_DIGITS + 1];
  struct jb_job *job;

  g_snprintf (id, sizeof id, "%016x", ++setup->jobs);
  job = jb_table_add (setup->table, id, spec, setup->now_ms);
  sd_job_added (setup->sched, job);
  return job;
}

static struct jb_job *
add_job (struct setup *setup, const char *queue, uint32_t count,
         int64_t accelerators, bool gang)
{
  struct fixture_step step
      = { .count = count, .accelerators = accelerators, .gang = gang };

  return add_spec (setup, fixture_spec (queue, "clinic", &step));
}

/* A running task takes all accelerators of the worker.  */
static void
fill_worker (struct setup *setup, uint32_t index)
{
  struct jb_job *job = add_job (setup, "batch", 1, WORKER_ACCELERATORS, false);

  sd_place_task (setup->sched, &job->tasks[0], setup->workers[index], 1,
                 setup->now_ms);
  sd_task_running (setup->sched, &job->tasks[0], setup->now_ms);
}

static void
fill_workers (struct setup *setup, uint32_t from, uint32_t to)
{
  uint32_t i;

  for (i = from; i < to; i++)
    fill_worker (setup, i);
}

/* What keeps from a start is to be set after this, for it may end by itself.
 */
static void
stand_for_1_s (struct setup *setup)
{
  g_array_free (
      sd_survey_waiting (setup->sched, EXAMINED_MAX, setup->now_ms, 0), TRUE);
  setup->now_ms += SD_WAITING_MIN_MS;
}

/* @return : how many entries of setup->job the survey has; the last one is in
 *WHY.  */
static uint32_t
survey (struct setup *setup, enum sd_wait *why)
{
  GArray *found
      = sd_survey_waiting (setup->sched, EXAMINED_MAX, setup->now_ms, 0);
  uint32_t entries = 0;
  guint i;

  *why = SD_WAIT_UNKNOWN;
  for (i = 0; i < found->len; i++)
    {
      const struct sd_waiting *waiting
          = &g_array_index (found, struct sd_waiting, i);

      if (waiting->step->job != setup->job)
        continue;
      *why = waiting->why;
      g_strlcpy (setup->detail, waiting->detail, sizeof setup->detail);
      entries++;
    }
  g_array_free (found, TRUE);
  return entries;
}

static void
check_wait (struct setup *setup, enum sd_wait expected, const char *detail)
{
  enum sd_wait why;

  CU_ASSERT_EQUAL (survey (setup, &why), 1);
  CU_ASSERT_EQUAL (why, expected);
  CU_ASSERT_PTR_NOT_NULL (strstr (setup->detail, detail));
  if (why != expected || strstr (setup->detail, detail) == NULL)
    printf ("\n  found %s (%s), expected %s (%s)\n", sd_wait_name (why),
            setup->detail, sd_wait_name (expected), detail);
}

static void
check_wait_after_round (struct setup *setup, enum sd_wait expected,
                        const char *detail)
{
  CU_ASSERT_EQUAL (fixture_run_round (setup->sched, setup->now_ms), 0);
  check_wait (setup, expected, detail);
}

/* --- Work that may not start yet --- */

static void
test_no_queue (void)
{
  struct setup setup;

  set_up (&setup);
  setup.job = add_job (&setup, "removed", 1, 1, false);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_NO_QUEUE, "removed");
  tear_down (&setup);
}

static void
test_not_due (void)
{
  struct fixture_step step = { .count = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);
  struct setup setup;

  set_up (&setup);
  spec->has_due_time = true;
  spec->first_due_unix_ms = 7000;
  setup.job = add_spec (&setup, spec);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_NOT_DUE, "due at 7000 ms");
  tear_down (&setup);
}

/* The earlier step is the one that is shown.  */
static void
test_earlier_step (void)
{
  struct fixture_step step = { .count = 1, .accelerators = 9 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);
  struct sd_waiting waiting = { 0 };
  struct setup setup;

  set_up (&setup);
  spec->steps = g_renew (struct jb_step_spec, spec->steps, 2);
  spec->steps[1] = spec->steps[0];
  spec->steps[1].depends_on = g_new0 (uint32_t, 1);
  spec->steps[1].depends_on_count = 1;
  spec->step_count = 2;
  setup.job = add_spec (&setup, spec);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_TOO_FEW_WORKERS, "");
  sd_explain_step (setup.sched, &setup.job->steps[1], NULL, setup.now_ms, 0,
                   &waiting);
  CU_ASSERT_EQUAL (waiting.why, SD_WAIT_EARLIER_STEP);
  CU_ASSERT_STRING_EQUAL (waiting.detail, "step 0, 0 of 1 tasks done");
  tear_down (&setup);
}

/* --- Work that counts as placed --- */

static void
test_member_stopping (void)
{
  struct setup setup;

  set_up (&setup);
  setup.job = add_job (&setup, "batch", 2, 8, true);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, setup.now_ms), 2);
  sd_task_running (setup.sched, &setup.job->tasks[0], setup.now_ms);
  sd_task_running (setup.sched, &setup.job->tasks[1], setup.now_ms);
  sd_task_ended (setup.sched, &setup.job->tasks[0], SD_OUTCOME_FAILED, "",
                 setup.now_ms, 0);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_MEMBER_STOPPING,
                          "task 1, run 1, on w");
  CU_ASSERT_PTR_NOT_NULL (strstr (setup.detail, "for 1000 ms, a member"));
  tear_down (&setup);
}

static void
test_member_placed (void)
{
  struct setup setup;

  set_up (&setup);
  setup.job = add_job (&setup, "batch", 2, 8, true);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, setup.now_ms), 2);
  sd_task_running (setup.sched, &setup.job->tasks[0], setup.now_ms);
  sd_release_task (setup.sched, &setup.job->tasks[1]);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_MEMBER_PLACED, "confirmed");
  tear_down (&setup);
}

static void
test_start_not_confirmed (void)
{
  struct setup setup;

  set_up (&setup);
  setup.job = add_job (&setup, "batch", 2, 8, true);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, setup.now_ms), 2);
  sd_task_running (setup.sched, &setup.job->tasks[0], setup.now_ms);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_START, "task 1, run 1");
  tear_down (&setup);
}

/* --- Work that may start --- */

static void
test_fits_before_the_next_round (void)
{
  struct setup setup;

  set_up (&setup);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, setup.now_ms), 0);
  setup.job = add_job (&setup, "batch", 2, 8, true);
  stand_for_1_s (&setup);
  check_wait (&setup, SD_WAIT_NEXT_ROUND, "on 8 of 8 eligible");
  tear_down (&setup);
}

static void
test_too_few_workers (void)
{
  struct setup setup;

  set_up (&setup);
  setup.job = add_job (&setup, "batch", WORKERS + 1, 8, true);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_TOO_FEW_WORKERS, "8 of 9 tasks");
  tear_down (&setup);
}

static void
test_no_worker_has_the_label (void)
{
  struct fixture_step step = { .count = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);
  struct setup setup;

  set_up (&setup);
  spec->steps[0].label = g_strdup ("big");
  setup.job = add_spec (&setup, spec);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_TOO_FEW_WORKERS,
                          "0 of 0 eligible workers");
  tear_down (&setup);
}

static void
test_reserved (void)
{
  struct setup setup;
  struct jb_job *holder;

  set_up (&setup);
  fill_workers (&setup, 0, 5);
  holder = add_job (&setup, "batch", 4, 8, true);
  setup.job = add_job (&setup, "batch", 1, 1, false);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_RESERVED, holder->id);
  tear_down (&setup);
}

static void
test_one_rack (void)
{
  struct fixture_step step
      = { .count = 3, .accelerators = 8, .gang = true, .one_rack = true };
  struct setup setup;

  set_up (&setup);
  fill_workers (&setup, 0, 2);
  fill_workers (&setup, 4, 6);
  setup.job = add_spec (&setup, fixture_spec ("batch", "clinic", &step));
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_ONE_RACK, "4 of 3 tasks fit");
  tear_down (&setup);
}

static void
test_room_is_kept_for_urgent_work (void)
{
  struct sd_preemption *preemption = g_new0 (struct sd_preemption, 1);
  struct setup setup;
  struct jb_job *urgent;

  set_up (&setup);
  fill_workers (&setup, 0, WORKERS - 1);
  urgent = add_job (&setup, "urgent", 1, 0, false);
  sd_place_task (setup.sched, &urgent->tasks[0], setup.workers[0], 1,
                 setup.now_ms);
  sd_task_running (setup.sched, &urgent->tasks[0], setup.now_ms);
  urgent->spec->steps[0].resources.accelerators = 8;
  preemption->until_ms = INT64_MAX;
  preemption->workers = g_ptr_array_new ();
  g_ptr_array_add (preemption->workers, setup.workers[WORKERS - 1]);
  g_hash_table_insert (setup.sched->preemptions, urgent->steps, preemption);
  setup.job = add_job (&setup, "batch", 1, 1, false);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_PREEMPTING, "0 of 1 tasks");
  urgent->spec->steps[0].resources.accelerators = 0;
  tear_down (&setup);
}

static void
test_unassigned_runs (void)
{
  struct setup setup;

  set_up (&setup);
  fill_workers (&setup, 1, WORKERS);
  sd_worker_unassigned_runs (setup.workers[0], NULL, true);
  setup.job = add_job (&setup, "batch", 1, 1, false);
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_UNASSIGNED, "0 of 1 tasks");
  tear_down (&setup);
}

/* --- Work that has room on one worker, which gets no start of it --- */

static void
set_up_last_worker (struct setup *setup)
{
  set_up (setup);
  fill_workers (setup, 1, WORKERS);
  setup->job = add_job (setup, "batch", 1, 1, false);
  stand_for_1_s (setup);
}

static void
test_backoff (void)
{
  struct setup setup;

  set_up_last_worker (&setup);
  sd_worker_unresponsive (setup.workers[0], setup.now_ms);
  check_wait_after_round (&setup, SD_WAIT_BACKOFF, "on 7 of 8 eligible");
  tear_down (&setup);
}

static void
test_exclusive (void)
{
  struct setup setup;

  set_up_last_worker (&setup);
  sd_crash_suspect_placed (setup.workers[0], setup.now_ms);
  check_wait_after_round (&setup, SD_WAIT_EXCLUSIVE, "on 7 of 8 eligible");
  tear_down (&setup);
}

static void
test_alone (void)
{
  struct setup setup;
  struct jb_job *other;

  set_up_last_worker (&setup);
  setup.job->tasks[0].crashes = 1;
  other = add_job (&setup, "batch", 1, 1, false);
  sd_place_task (setup.sched, &other->tasks[0], setup.workers[0], 1,
                 setup.now_ms);
  check_wait_after_round (&setup, SD_WAIT_ALONE, "on 7 of 8 eligible");
  tear_down (&setup);
}

static void
test_advisor (void)
{
  struct setup setup;

  set_up_last_worker (&setup);
  setup.catalog->queues[1].uses_advisor = true;
  check_wait_after_round (&setup, SD_WAIT_ADVISOR, "on 0 of 8 eligible");
  tear_down (&setup);
}

static void
test_suspect (void)
{
  struct setup setup;

  set_up_last_worker (&setup);
  setup.workers[0]->failure_streak = 1;
  setup.workers[0]->suspect_until_ms = setup.now_ms + 1;
  setup.workers[0]->last_failed_ms = setup.now_ms;
  check_wait_after_round (&setup, SD_WAIT_SUSPECT, "on 7 of 8 eligible");
  tear_down (&setup);
}

static void
test_avoided (void)
{
  struct setup setup;

  set_up_last_worker (&setup);
  sd_health_avoid (setup.workers[0], setup.now_ms);
  check_wait_after_round (&setup, SD_WAIT_AVOIDED, "on 7 of 8 eligible");
  tear_down (&setup);
}

static void
test_old_report (void)
{
  struct setup setup;

  set_up_last_worker (&setup);
  setup.catalog->services[0].enforces_capacity = false;
  check_wait_after_round (&setup, SD_WAIT_OLD_REPORT, "on 0 of 8 eligible");
  tear_down (&setup);
}

static void
test_unseen (void)
{
  struct setup setup;

  set_up_last_worker (&setup);
  sd_worker_set_reachability (setup.workers[0], SD_WORKER_UNSEEN);
  check_wait_after_round (&setup, SD_WAIT_UNSEEN, "on 7 of 8 eligible");
  tear_down (&setup);
}

static void
test_unreachable (void)
{
  struct setup setup;

  set_up_last_worker (&setup);
  sd_worker_set_reachability (setup.workers[0], SD_WORKER_UNREACHABLE);
  check_wait_after_round (&setup, SD_WAIT_UNREACHABLE, "on 7 of 8 eligible");
  tear_down (&setup);
}

/* --- Work without room --- */

static void
check_short_kind (const struct jb_resources *need, enum sd_wait expected)
{
  struct setup setup;

  set_up (&setup);
  fill_workers (&setup, 0, WORKERS);
  setup.job = add_job (&setup, "batch", 1, 0, false);
  setup.job->spec->steps[0].resources = *need;
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, expected, "0 of 1 tasks fit now on 8 of 8");
  tear_down (&setup);
}

static void
test_no_room (void)
{
  check_short_kind (&(struct jb_resources){ .cpus_milli = 64000 },
                    SD_WAIT_NO_CPUS);
  check_short_kind (&(struct jb_resources){ .memory_mib = 64000 },
                    SD_WAIT_NO_MEMORY);
  check_short_kind (&(struct jb_resources){ .accelerators = 1 },
                    SD_WAIT_NO_ACCELERATORS);
  check_short_kind (
      &(struct jb_resources){ .cpus_milli = 64000, .accelerators = 1 },
      SD_WAIT_NO_ROOM);
}

/* --- The survey --- */

static void
test_work_that_runs_is_not_listed (void)
{
  struct setup setup;
  enum sd_wait why;

  set_up (&setup);
  setup.job = add_job (&setup, "batch", 2 * WORKERS, 8, false);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, setup.now_ms), WORKERS);
  sd_task_running (setup.sched, &setup.job->tasks[0], setup.now_ms);
  stand_for_1_s (&setup);
  CU_ASSERT_EQUAL (survey (&setup, &why), 0);
  setup.job->spec->steps[0].long_lived = true;
  stand_for_1_s (&setup);
  check_wait_after_round (&setup, SD_WAIT_NO_ACCELERATORS, "0 of 1 tasks");
  tear_down (&setup);
}

static void
test_time_counts_from_the_last_run (void)
{
  struct setup setup;
  enum sd_wait why;

  set_up (&setup);
  fill_workers (&setup, 1, WORKERS);
  setup.job = add_job (&setup, "batch", 1, 8, false);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, setup.now_ms), 1);
  sd_task_running (setup.sched, &setup.job->tasks[0], setup.now_ms);
  stand_for_1_s (&setup);
  sd_task_lost (setup.sched, &setup.job->tasks[0], setup.now_ms);
  sd_health_avoid (setup.workers[0], setup.now_ms);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, setup.now_ms), 0);
  CU_ASSERT_EQUAL (survey (&setup, &why), 0);
  CU_ASSERT_EQUAL (setup.job->steps[0].standing.since_ms, setup.now_ms);
  setup.now_ms += SD_WAITING_MIN_MS - 1;
  CU_ASSERT_EQUAL (survey (&setup, &why), 0);
  setup.now_ms++;
  CU_ASSERT_EQUAL (survey (&setup, &why), 1);
  tear_down (&setup);
}

/* Each survey takes up where the last one has ended.  */
static void
test_survey_examines_a_limited_number (void)
{
  struct setup setup;
  struct jb_job *jobs[5];
  GArray *found;
  uint32_t round;
  guint i;

  set_up (&setup);
  fill_workers (&setup, 0, WORKERS);
  for (i = 0; i < G_N_ELEMENTS (jobs); i++)
    jobs[i] = add_job (&setup, "batch", 2, 8, true);
  stand_for_1_s (&setup);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, setup.now_ms), 0);
  for (round = 1; round <= 3; round++)
    {
      uint32_t known = 0;
      uint32_t examined = 0;

      found = sd_survey_waiting (setup.sched, 2, setup.now_ms, 0);
      CU_ASSERT_EQUAL (found->len, G_N_ELEMENTS (jobs));
      for (i = 0; i < found->len; i++)
        {
          const struct sd_waiting *waiting
              = &g_array_index (found, struct sd_waiting, i);

          known += waiting->why == SD_WAIT_NO_ACCELERATORS;
          examined += waiting->examined;
        }
      g_array_free (found, TRUE);
      CU_ASSERT_EQUAL (examined, 2);
      CU_ASSERT_EQUAL (known, MIN (2 * round, (uint32_t)G_N_ELEMENTS (jobs)));
      setup.now_ms++;
    }
  tear_down (&setup);
}

/* An examination must not change what the next round decides.  */
static void
test_survey_changes_no_reservation (void)
{
  struct setup setup;
  struct jb_resources reserved[WORKERS];
  uint32_t reserved_tasks;
  uint32_t i;

  set_up (&setup);
  fill_workers (&setup, 0, 5);
  setup.job = add_job (&setup, "batch", 4, 8, true);
  stand_for_1_s (&setup);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, setup.now_ms), 0);
  for (i = 0; i < WORKERS; i++)
    reserved[i] = setup.workers[i]->round_reserved_resources;
  reserved_tasks = setup.sched->reserved_task_count;
  CU_ASSERT_EQUAL (reserved_tasks, 4);
  check_wait (&setup, SD_WAIT_NO_ACCELERATORS, "3 of 4 tasks");
  for (i = 0; i < WORKERS; i++)
    CU_ASSERT_EQUAL (memcmp (&reserved[i],
                             &setup.workers[i]->round_reserved_resources,
                             sizeof reserved[i]),
                     0);
  CU_ASSERT_EQUAL (setup.sched->reserved_task_count, reserved_tasks);
  CU_ASSERT_EQUAL (g_hash_table_size (setup.sched->reservations), 1);
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "the queue is not configured", test_no_queue },
    { "the due time has not come", test_not_due },
    { "an earlier step is not done", test_earlier_step },
    { "a member of the gang is stopping", test_member_stopping },
    { "a member of the gang is placed alone", test_member_placed },
    { "a start is not confirmed", test_start_not_confirmed },
    { "it fits before the next round", test_fits_before_the_next_round },
    { "too few workers are eligible", test_too_few_workers },
    { "no worker has the label", test_no_worker_has_the_label },
    { "room is reserved", test_reserved },
    { "room is not within one rack", test_one_rack },
    { "room is kept for urgent work", test_room_is_kept_for_urgent_work },
    { "runs that are not assigned use the room", test_unassigned_runs },
    { "the worker is backed off", test_backoff },
    { "a suspect task is starting", test_exclusive },
    { "the task is to start alone", test_alone },
    { "the advisor has not answered", test_advisor },
    { "the worker is suspect", test_suspect },
    { "the worker is avoided", test_avoided },
    { "the report is old", test_old_report },
    { "the worker was not seen yet", test_unseen },
    { "the worker is out of touch", test_unreachable },
    { "there is no room, by kind", test_no_room },
    { "work that runs is not listed", test_work_that_runs_is_not_listed },
    { "the time counts from the last run",
      test_time_counts_from_the_last_run },
    { "a survey examines a limited number",
      test_survey_examines_a_limited_number },
    { "a survey changes no reservation", test_survey_changes_no_reservation },
  };

  return check_run ("hostd waiting", tests, G_N_ELEMENTS (tests));
}
