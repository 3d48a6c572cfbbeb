/* Tests of tasks that run for hours: progress is reported in whole percents,
   so that a task of 600 s shows none for 6 s.  Such tasks were stopped as
   stalled every few seconds and never finished (issue 29).  */

#include "check.h"
#include "hostd_fixture.h"

static const char JOB[] = "00000000000000aa";

enum
{
  POLL_MS = 1900, /* between two reports of a worker */
  TWO_POLLS_MS = 2 * POLL_MS,
  WORKERS = 8,
  MINUTE_MS = 60 * 1000,
  HOUR_MS = 60 * MINUTE_MS,
  DAY_MS = 24 * HOUR_MS
};

/* A job of one step, of which all tasks begin and end together.  */
struct work
{
  uint32_t tasks;
  bool gang;
  uint32_t run_ms;      /* that a task takes */
  uint32_t estimate_ms; /* by the caller */
  /* One task shows no more progress from this part of its first run on, in
     percent; 0: none.  */
  uint32_t stands_at_percent;
};

struct result
{
  uint32_t starts;  /* of the first task */
  int64_t done_ms;  /* 0: it was not done */
  int64_t found_ms; /* after the last change, when it was stopped; 0: not */
};

static struct result
run_work (const struct work *work, int64_t limit_ms)
{
  struct sd_params params
      = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };
  struct jb_table *table = jb_table_create ();
  struct sd_sched *sched = sd_create (&params, table);
  struct ct_catalog *catalog = fixture_catalog ();
  struct fixture_step step
      = { .count = work->tasks, .accelerators = 8, .gang = work->gang };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);
  struct result result = { 0 };
  struct jb_job *job;
  int64_t began_ms = 0;
  int64_t now_ms = 0;
  uint32_t i;

  sd_set_catalog (sched, catalog);
  for (i = 0; i < WORKERS; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "w%u", i);
      fixture_worker (sched, id, "r1", 8);
    }
  spec->steps[0].estimate_ms = work->estimate_ms;
  job = jb_table_add (table, JOB, spec, 0);
  sd_job_added (sched, job);
  while (result.done_ms == 0 && now_ms < limit_ms)
    {
      bool stopped = false;
      int64_t percent;

      now_ms += POLL_MS;
      if (fixture_run_round (sched, now_ms) > 0)
        {
          began_ms = now_ms;
          result.starts++;
          for (i = 0; i < work->tasks; i++)
            sd_task_running (sched, &job->tasks[i], now_ms);
        }
      percent = 100 * (now_ms - began_ms) / work->run_ms;
      if (work->stands_at_percent > 0 && result.starts == 1)
        percent = MIN (percent, (int64_t)work->stands_at_percent);
      for (i = 0; i < work->tasks && percent < 100; i++)
        if (job->tasks[i].state == JB_TASK_PLACED)
          sd_task_progress (sched, &job->tasks[i], percent, now_ms);
      for (i = 0; i < work->tasks; i++)
        stopped = stopped || job->tasks[i].state == JB_TASK_STOPPING;
      if (stopped && result.found_ms == 0 && work->stands_at_percent > 0)
        result.found_ms
            = now_ms
              - (began_ms
                 + (int64_t)work->run_ms * work->stands_at_percent / 100);
      for (i = 0; i < work->tasks; i++)
        {
          enum sd_outcome outcome
              = stopped ? SD_OUTCOME_STOPPED : SD_OUTCOME_DONE;

          if ((stopped || percent >= 100)
              && (job->tasks[i].state == JB_TASK_PLACED
                  || job->tasks[i].state == JB_TASK_STOPPING))
            sd_task_ended (sched, &job->tasks[i], outcome, "", now_ms, 0);
        }
      if (job->state == JB_COMPLETED)
        result.done_ms = now_ms;
    }
  sd_free (sched);
  jb_table_free (table);
  ct_catalog_free (catalog);
  return result;
}

static void
check_starts (const struct work *work, uint32_t starts_max)
{
  struct result result = run_work (work, 3 * (int64_t)work->run_ms);

  CU_ASSERT_TRUE (result.done_ms > 0);
  CU_ASSERT_TRUE (result.starts >= 1 && result.starts <= starts_max);
}

static void
test_task_that_runs_for_hours_is_not_stopped (void)
{
  static const uint32_t run_ms[]
      = { 5000, 2 * MINUTE_MS, 10 * MINUTE_MS, HOUR_MS, DAY_MS };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (run_ms); i++)
    {
      struct work work
          = { .tasks = 1, .run_ms = run_ms[i], .estimate_ms = run_ms[i] };

      check_starts (&work, 1);
      work.tasks = 4;
      check_starts (&work, 1);
      work.gang = true;
      check_starts (&work, 1);
    }
}

/* Ten times too high, or too low.  */
static void
test_wrong_estimate_does_not_stop_a_long_task (void)
{
  struct work work = { .tasks = 2, .gang = true, .run_ms = HOUR_MS };

  work.estimate_ms = 10 * HOUR_MS;
  check_starts (&work, 1);
  work.estimate_ms = HOUR_MS / 10;
  check_starts (&work, 2);
}

/* Each stop doubles the limit, so that there are few.  */
static void
test_task_without_an_estimate_is_not_stopped_for_ever (void)
{
  struct work work = { .tasks = 1, .run_ms = HOUR_MS };

  check_starts (&work, 6);
  work.run_ms = DAY_MS;
  check_starts (&work, 11);
  work.tasks = 4;
  work.gang = true;
  check_starts (&work, 11);
}

/* A task that shows no more progress is found after the time of some percents
   of its work, and of two reports.  */
static void
test_task_that_stands_is_found (void)
{
  static const uint32_t run_ms[]
      = { 5000, MINUTE_MS, 10 * MINUTE_MS, HOUR_MS };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (run_ms); i++)
    {
      struct work work = { .tasks = 1,
                           .run_ms = run_ms[i],
                           .estimate_ms = run_ms[i],
                           .stands_at_percent = 30 };
      struct result result = run_work (&work, 3 * (int64_t)run_ms[i] + 60000);

      CU_ASSERT_EQUAL (result.starts, 2);
      CU_ASSERT_TRUE (result.done_ms > 0);
      CU_ASSERT_TRUE (result.found_ms > 0);
      CU_ASSERT_TRUE (result.found_ms
                      <= MAX (1500, (int64_t)run_ms[i] / 10) + TWO_POLLS_MS);
    }
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "a task that runs for hours is not stopped",
      test_task_that_runs_for_hours_is_not_stopped },
    { "a wrong estimate does not stop a long task",
      test_wrong_estimate_does_not_stop_a_long_task },
    { "a task without an estimate is not stopped for ever",
      test_task_without_an_estimate_is_not_stopped_for_ever },
    { "a task that stands is found", test_task_that_stands_is_found },
  };

  return check_run ("hostd long tasks", tests, G_N_ELEMENTS (tests));
}
