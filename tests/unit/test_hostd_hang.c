/* Tasks that hang from their start: lib/sched/hang.c.  As on a premium
   service's day: gangs of 2.5 s are placed on workers that have just begun to
   hang, and each worker is polled every 1.9 s.  */

#include "check.h"
#include "room_fixture.h"

enum
{
  WORKERS = 30,
  GANG = 21,
  RUN_MS = 2600,
  POLL_INTERVAL_MS = 1900,
  HUNG_TASK = 5,
  WATCHED_MS = 6000
};

static struct jb_job *
start_gang (struct scene *scene)
{
  struct jb_job *job;

  set_up (scene, WORKERS, WORKERS);
  job = add_job (scene, make_spec (&(struct fixture_step){ .count = GANG,
                                                           .accelerators = 8,
                                                           .gang = true },
                                   7500));
  hold_round (scene);
  return job;
}

/* Reports the members as they stand at the poll: all but one go on.  */
static void
poll_gang (struct scene *scene, struct jb_job *job, int64_t ran_ms)
{
  uint32_t i;

  for (i = 0; i < GANG; i++)
    if (job->tasks[i].state == JB_TASK_PLACED)
      sd_task_progress (scene->sched, &job->tasks[i],
                        i == HUNG_TASK ? 0 : MIN (ran_ms * 100 / RUN_MS, 100),
                        scene->now_ms);
}

/* It was stopped by the limit at 0 percent only, at the third poll.  */
static void
test_others_of_the_gang_show_it (void)
{
  struct scene scene;
  struct jb_job *job = start_gang (&scene);
  char *worker = g_strdup (job->tasks[HUNG_TASK].worker);
  int64_t start_ms = scene.now_ms;

  while (job->tasks[0].state == JB_TASK_PLACED
         && scene.now_ms - start_ms < WATCHED_MS)
    {
      scene.now_ms += POLL_INTERVAL_MS;
      poll_gang (&scene, job, scene.now_ms - start_ms);
    }
  CU_ASSERT_TRUE (scene.now_ms - start_ms <= (int64_t)2 * POLL_INTERVAL_MS);
  CU_ASSERT_STRING_EQUAL (job->tasks[HUNG_TASK].stop_reason, "hangs");
  CU_ASSERT_TRUE (sd_worker_find (scene.sched, worker)->avoid_until_ms
                  > scene.now_ms);
  g_free (worker);
  tear_down (&scene);
}

/* A single task shows that its worker hangs; a member of the gang that has
   started there since then waits at 0 percent.  */
static void
test_other_work_on_the_worker_shows_it (void)
{
  struct scene scene;
  struct jb_job *job = start_gang (&scene);
  struct jb_job *single = add_job (
      &scene, make_spec (&(struct fixture_step){ .count = 1 }, 5600));
  struct jb_task *task = &single->tasks[0];

  hold_round (&scene);
  sd_task_progress (scene.sched, task, 40, scene.now_ms + 200);
  scene.now_ms += 200 + POLL_INTERVAL_MS;
  CU_ASSERT_STRING_EQUAL_FATAL (task->worker, job->tasks[0].worker);
  sd_task_progress (scene.sched, &job->tasks[0], 0, scene.now_ms);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_PLACED);
  sd_task_progress (scene.sched, task, 40, scene.now_ms);
  CU_ASSERT_EQUAL (task->state, JB_TASK_STOPPING);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_STOPPING);
  tear_down (&scene);
}

/* All members are slow in starting, or a remote one is.  */
static void
test_slow_start_is_no_hang (void)
{
  struct scene scene;
  struct jb_job *job = start_gang (&scene);
  uint32_t i;

  scene.now_ms += 700;
  for (i = 0; i < GANG; i++)
    sd_task_progress (scene.sched, &job->tasks[i], 0, scene.now_ms);
  CU_ASSERT_EQUAL (job->tasks[HUNG_TASK].state, JB_TASK_PLACED);
  for (i = 1; i < GANG; i++)
    sd_task_progress (scene.sched, &job->tasks[i], 6, scene.now_ms);
  sd_task_progress (scene.sched, &job->tasks[0], 0, scene.now_ms);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_PLACED);
  tear_down (&scene);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "others of the gang show it", test_others_of_the_gang_show_it },
    { "other work on the worker shows it",
      test_other_work_on_the_worker_shows_it },
    { "a slow start is no hang", test_slow_start_is_no_hang },
  };

  return check_run ("hostd hang", tests, G_N_ELEMENTS (tests));
}
