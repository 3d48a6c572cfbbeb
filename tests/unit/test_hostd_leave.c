/* Runs on workers that have announced that they leave: lib/sched/leave.c.  The
   days are those of a premium service's gangs of 20 tasks among workers that
   are emptied at 5 s notice; a worker that leaves without saying when is what
   the decision was before.  */

#include "check.h"
#include "room_fixture.h"
#include "sched/private.h"

enum
{
  WORKERS = 24,
  GANG = 20,
  NOTICE_MS = 5000,
  RUN_MS = 10000,
  DAY_END_MS = 60000
};

/* A gang, and what has become of it by the end of the day.  */
struct day
{
  bool checkpoints;
  int64_t announced_ms; /* after the gang has started */
  bool says_when;       /* the worker says how long it stays */
  int64_t lost_ms;      /* work of the gang that was not saved */
  int64_t done_ms;      /* from its start */
  uint32_t runs;
};

static void
announce (struct scene *scene, struct sd_worker *worker, bool says_when)
{
  worker->report.draining = true;
  worker->report.min_remaining_ms = says_when ? NOTICE_MS : 0;
  worker->reported_ms = scene->now_ms;
}

static bool
is_working (const struct jb_job *job)
{
  uint32_t i;

  for (i = 0; i < GANG; i++)
    if (job->tasks[i].state != JB_TASK_PLACED || !job->tasks[i].confirmed)
      return false;
  return true;
}

static void
end_gang (struct scene *scene, struct jb_job *job, enum sd_outcome outcome,
          bool checkpoints)
{
  uint32_t i;

  for (i = 0; i < GANG; i++)
    if (job->tasks[i].state == JB_TASK_PLACED
        || job->tasks[i].state == JB_TASK_STOPPING)
      sd_task_ended (scene->sched, &job->tasks[i], outcome,
                     checkpoints ? "saved" : "", scene->now_ms, 0);
}

/* Plays the day until the gang is done; its work goes on while all run.  */
static void
play (struct day *day)
{
  struct scene scene;
  struct jb_spec *spec = make_spec (
      &(struct fixture_step){ .count = GANG, .accelerators = 8, .gang = true },
      26000);
  struct jb_job *job;
  struct sd_worker *leaving;
  int64_t worked_ms = 0;
  int64_t leaves_ms = INT64_MAX;
  int64_t start_ms;

  spec->steps[0].can_checkpoint = day->checkpoints;
  spec->steps[0].estimate_ms = RUN_MS;
  set_up (&scene, WORKERS, WORKERS);
  job = add_job (&scene, spec);
  hold_round (&scene);
  start_ms = scene.now_ms;
  leaving = sd_worker_find (scene.sched, job->tasks[7].worker);
  while (job->state != JB_COMPLETED && scene.now_ms < DAY_END_MS)
    {
      if (scene.now_ms - start_ms == day->announced_ms)
        {
          announce (&scene, leaving, day->says_when);
          leaves_ms = scene.now_ms + NOTICE_MS;
        }
      if (scene.now_ms == leaves_ms)
        sd_worker_unlisted (scene.sched, leaving->report.id);
      if (job->tasks[0].state == JB_TASK_STOPPING
          || (scene.now_ms == leaves_ms && leaving->tasks->len > 0))
        {
          day->lost_ms += day->checkpoints ? 0 : worked_ms;
          worked_ms = day->checkpoints ? worked_ms : 0;
          end_gang (&scene, job, SD_OUTCOME_STOPPED, day->checkpoints);
        }
      else if (is_working (job))
        {
          uint32_t i;

          worked_ms += STEP_MS;
          if (worked_ms >= RUN_MS)
            end_gang (&scene, job, SD_OUTCOME_DONE, false);
          for (i = 0;
               i < GANG && worked_ms < RUN_MS && scene.now_ms % POLL_MS == 0;
               i++)
            sd_task_progress (scene.sched, &job->tasks[i],
                              worked_ms * 100 / RUN_MS, scene.now_ms);
        }
      hold_round (&scene);
    }
  day->done_ms = scene.now_ms - start_ms;
  day->runs = job->tasks[0].run;
  tear_down (&scene);
}

/* 2 s after its start a gang of 10 s learns that a member's worker leaves in 5
   s.  */
static void
test_gang_that_cannot_end_is_stopped_at_once (void)
{
  struct day before = { .announced_ms = 2000 };
  struct day day = { .announced_ms = 2000, .says_when = true };

  play (&before);
  play (&day);
  CU_ASSERT_EQUAL (before.lost_ms, 7000);
  CU_ASSERT_TRUE (day.lost_ms <= 2100);
  CU_ASSERT_TRUE (day.done_ms + 4500 <= before.done_ms);
}

static void
test_gang_that_can_end_goes_on (void)
{
  struct day day = { .announced_ms = 5500, .says_when = true };

  play (&day);
  CU_ASSERT_EQUAL (day.runs, 1);
  CU_ASSERT_EQUAL (day.lost_ms, 0);
}

static void
test_gang_that_checkpoints_works_until_shortly_before (void)
{
  struct day day
      = { .announced_ms = 2000, .says_when = true, .checkpoints = true };

  play (&day);
  CU_ASSERT_EQUAL (day.runs, 2);
  CU_ASSERT_TRUE (day.done_ms < RUN_MS + 1000);
}

/* Nothing is known of its progress: what has been done is little.  */
static void
test_chance_decides (void)
{
  struct sd_leaving_run run
      = { .ran_ms = 200, .expected_ms = 6000, .stays_ms = 5000 };

  CU_ASSERT_TRUE (sd_leave_should_stop (&run));
  run.ran_ms = 4000;
  run.expected_ms = 3000;
  CU_ASSERT_FALSE (sd_leave_should_stop (&run));
  run.ran_ms = 6000;
  run.expected_ms = 5000;
  run.measured = true;
  CU_ASSERT_FALSE (sd_leave_should_stop (&run));
  run.expected_ms = 6000;
  CU_ASSERT_TRUE (sd_leave_should_stop (&run));
}

static void
test_task_that_lasts_goes_on (void)
{
  struct scene scene;
  struct jb_spec *spec = make_spec (
      &(struct fixture_step){ .count = 1, .accelerators = 1 }, 1000);
  struct jb_job *job;

  spec->steps[0].long_lived = true;
  set_up (&scene, 2, 2);
  job = add_job (&scene, spec);
  hold_round (&scene);
  announce (&scene, sd_worker_find (scene.sched, job->tasks[0].worker), true);
  hold_round (&scene);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_PLACED);
  tear_down (&scene);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "a gang that cannot end in time is stopped at once",
      test_gang_that_cannot_end_is_stopped_at_once },
    { "a gang that can end goes on", test_gang_that_can_end_goes_on },
    { "a gang that checkpoints works until shortly before",
      test_gang_that_checkpoints_works_until_shortly_before },
    { "the chance of its end decides", test_chance_decides },
    { "a task that lasts goes on", test_task_that_lasts_goes_on },
  };

  return check_run ("hostd leave", tests, G_N_ELEMENTS (tests));
}
