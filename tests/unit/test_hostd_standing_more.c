/* Work that stands beside room for it, where something else keeps it from
   being looked at, or the time of its wait from going on.  */

#include "check.h"
#include "room_fixture.h"

static const char LABEL[] = "fast";

static void
label_worker (struct sd_worker *worker)
{
  g_strfreev (worker->report.labels);
  worker->report.labels = g_strsplit (LABEL, ",", 0);
}

static struct sd_worker *
worker_at (const struct scene *scene, uint32_t index)
{
  return g_ptr_array_index (sd_workers (scene->sched), index);
}

/* All of the workers from FIRST on, one in STRIDE, is in use.  */
static void
use_workers (struct scene *scene, uint32_t first, uint32_t stride)
{
  uint32_t i;

  for (i = first; i < sd_workers (scene->sched)->len; i += stride)
    worker_at (scene, i)->used_resources
        = worker_at (scene, i)->report.resources;
}

/* @return : after how many ms all tasks of the job have been placed; LIMIT_MS:
             they were not.  */
static int64_t
wait_for_all (struct scene *scene, const struct jb_job *job, int64_t limit_ms)
{
  int64_t start_ms = scene->now_ms;
  size_t placed = 0;

  while (placed < job->task_total && scene->now_ms - start_ms < limit_ms)
    {
      hold_round (scene);
      for (placed = 0;
           placed < job->task_total && job->tasks[placed].worker != NULL;)
        placed++;
    }
  return scene->now_ms - start_ms;
}

static const struct fixture_step rack_gang
    = { .count = 4, .accelerators = 8, .gang = true, .one_rack = true };

/* 20 workers in racks of 5, of which 2 in each rack are in use: a gang of 4
   that prefers one rack stands.  */
static struct jb_job *
set_up_rack_gang (struct scene *scene)
{
  set_up (scene, 20, 5);
  use_workers (scene, 0, 5);
  use_workers (scene, 1, 5);
  return add_job (scene, make_spec (&rack_gang, 4000));
}

/* The time of day is that of the steady clock.  */
static void
hold_timed_round (struct scene *scene)
{
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };

  sd_round (scene->sched, scene->now_ms, scene->now_ms, &commands);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  scene->now_ms += STEP_MS;
}

/* --- Looks --- */

/* More units than a round looks at wait for another service, all of which is
   in use.  */
static void
test_backlog_of_another_service_uses_up_the_looks (void)
{
  enum
  {
    BACKLOG = 6000
  };
  struct scene scene;
  struct jb_job *gang;
  uint32_t i;

  set_up (&scene, 40, 5);
  scene.catalog->queues[0].priority = 1;
  g_free (scene.catalog->queues[0].service);
  scene.catalog->queues[0].service = g_strdup ("office");
  for (i = 0; i < 20; i++)
    {
      struct sd_worker *worker = worker_at (&scene, i);
      struct sd_worker_report report = worker->report;

      report.id = g_strdup (worker->report.id);
      report.address = g_strdup (worker->report.address);
      report.service = g_strdup ("office");
      report.data_centre = g_strdup ("dc");
      report.rack = g_strdup (worker->report.rack);
      report.labels = g_new0 (char *, 1);
      sd_worker_listed (scene.sched, &report, 0);
      worker->used_resources = worker->report.resources;
    }
  use_workers (&scene, 20, 5);
  use_workers (&scene, 21, 5);
  for (i = 0; i < BACKLOG; i++)
    {
      struct jb_spec *spec = make_spec (
          &(struct fixture_step){ .count = 1, .accelerators = 1 }, 4000);

      fixture_set_queue (spec, "urgent");
      add_job (&scene, spec);
    }
  scene.now_ms += STEP_MS;
  gang = add_job (&scene, make_spec (&rack_gang, 4000));
  CU_ASSERT_TRUE (wait_for_all (&scene, gang, 9000) < STANDING_MAX_MS);
  tear_down (&scene);
}

/* Now and then only urgent work is placed, while starts wait to be sent.  */
static void
test_rounds_of_urgent_work_use_up_the_sweeps (void)
{
  struct scene scene;
  const struct jb_job *gang = set_up_rack_gang (&scene);
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  int64_t start_ms = scene.now_ms;
  uint32_t round;

  for (round = 0;
       gang->tasks[0].worker == NULL && scene.now_ms - start_ms < 9000;
       round++)
    {
      commands.placing = round % 4 == 2 ? SD_PLACE_ALL : SD_PLACE_URGENT;
      sd_round (scene.sched, scene.now_ms, 0, &commands);
      scene.now_ms += STEP_MS;
    }
  CU_ASSERT_TRUE (scene.now_ms - start_ms < STANDING_MAX_MS);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  tear_down (&scene);
}

/* --- Room --- */

/* There is room for it several times over, on the one worker that has its
   label, which is avoided.  */
static void
test_room_on_one_worker_counts_once (void)
{
  struct scene scene;
  struct jb_spec *spec = make_spec (
      &(struct fixture_step){ .count = 1, .accelerators = 1 }, 4000);
  struct sd_worker *worker;
  const struct jb_job *job;

  set_up (&scene, 20, 5);
  worker = worker_at (&scene, 7);
  label_worker (worker);
  worker->avoid_until_ms = 60000;
  spec->steps[0].label = g_strdup (LABEL);
  job = add_job (&scene, spec);
  CU_ASSERT_TRUE (wait_for_all (&scene, job, 9000) < STANDING_MAX_MS);
  tear_down (&scene);
}

/* Workers that are out of touch, all of which is in use as far as is known
   until their leases have lapsed; of the others less than half is.  */
static void
test_workers_out_of_touch_count_as_use (void)
{
  struct scene scene;
  const struct jb_job *gang;
  uint32_t i;

  set_up (&scene, 35, 5);
  use_workers (&scene, 0, 5);
  use_workers (&scene, 1, 5);
  for (i = 20; i < 35; i++)
    {
      worker_at (&scene, i)->used_resources
          = worker_at (&scene, i)->report.resources;
      sd_worker_set_reachability (worker_at (&scene, i),
                                  SD_WORKER_UNREACHABLE);
    }
  gang = add_job (&scene, make_spec (&rack_gang, 4000));
  CU_ASSERT_TRUE (wait_for_all (&scene, gang, 9000) < STANDING_MAX_MS);
  tear_down (&scene);
}

/* An urgent job of two tasks, of which one fits on the one worker that has
   their label, since a worker takes one.  */
static void
add_urgent_job_for_two_workers (struct scene *scene)
{
  struct jb_spec *spec = make_spec (
      &(struct fixture_step){ .count = 2, .accelerators = 4 }, 4000);

  label_worker (worker_at (scene, 0));
  fixture_set_queue (spec, "urgent");
  spec->steps[0].label = g_strdup (LABEL);
  spec->steps[0].tasks_per_worker_limit = 1;
  add_job (scene, spec);
}

static void
test_room_is_kept_for_a_task_beyond_the_limit_per_worker (void)
{
  struct scene scene;
  struct jb_spec *spec = make_spec (
      &(struct fixture_step){ .count = 1, .accelerators = 1 }, 4000);
  const struct jb_job *job;

  set_up (&scene, 2, 2);
  add_urgent_job_for_two_workers (&scene);
  hold_round (&scene);
  hold_round (&scene);
  spec->steps[0].label = g_strdup (LABEL);
  job = add_job (&scene, spec);
  CU_ASSERT_TRUE (wait_for_all (&scene, job, 9000) < STANDING_MAX_MS);
  tear_down (&scene);
}

static void
test_work_is_stopped_for_a_task_beyond_the_limit_per_worker (void)
{
  struct scene scene;
  const struct jb_job *job;

  set_up (&scene, 1, 1);
  job = add_job (
      &scene,
      make_spec (&(struct fixture_step){ .count = 1, .accelerators = 4 },
                 4000));
  hold_round (&scene);
  add_urgent_job_for_two_workers (&scene);
  while (scene.now_ms < 5000)
    hold_round (&scene);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_PLACED);
  tear_down (&scene);
}

/* --- Tasks that last --- */

static struct jb_job *
add_lasting_job (struct scene *scene, uint32_t count)
{
  struct jb_spec *spec = make_spec (
      &(struct fixture_step){ .count = count, .accelerators = 8 }, 4000);

  spec->steps[0].long_lived = true;
  return add_job (scene, spec);
}

/* One is placed in reserved room, the next one only on an avoided worker.  */
static void
test_lasting_task_that_starts_begins_the_wait_of_others_anew (void)
{
  struct scene scene;
  struct jb_job *lasting;
  uint32_t i;

  set_up (&scene, 20, 5);
  for (i = 0; i < 13; i++)
    add_job (&scene, make_spec (&(struct fixture_step){ .count = 1,
                                                        .accelerators = 8 },
                                100000));
  hold_round (&scene);
  for (i = 13; i < 18; i++)
    worker_at (&scene, i)->avoid_until_ms = 60000;
  add_job (&scene, make_spec (&(struct fixture_step){ .count = 9,
                                                      .accelerators = 8,
                                                      .gang = true },
                              100000));
  hold_round (&scene);
  lasting = add_lasting_job (&scene, 4);
  CU_ASSERT_TRUE (wait_for_all (&scene, lasting, 9000) < STANDING_MAX_MS);
  tear_down (&scene);
}

/* A poll of the worker of another task of its step confirms that one each
   POLL_MS.  */
static void
test_poll_of_a_lasting_task_begins_the_wait_of_others_anew (void)
{
  struct scene scene;
  struct jb_job *lasting;
  int64_t start_ms;
  uint32_t i;

  set_up (&scene, 20, 5);
  for (i = 0; i < 15; i++)
    worker_at (&scene, i)->used_resources
        = worker_at (&scene, i)->report.resources;
  for (i = 16; i < 20; i++)
    worker_at (&scene, i)->avoid_until_ms = 60000;
  lasting = add_lasting_job (&scene, 2);
  hold_round (&scene);
  CU_ASSERT_PTR_NOT_NULL_FATAL (lasting->tasks[0].worker);
  start_ms = scene.now_ms;
  while (lasting->tasks[1].worker == NULL && scene.now_ms - start_ms < 9000)
    {
      if (scene.now_ms % POLL_MS == 0)
        sd_task_running (scene.sched, &lasting->tasks[0], scene.now_ms);
      hold_round (&scene);
    }
  CU_ASSERT_TRUE (scene.now_ms - start_ms < STANDING_MAX_MS);
  tear_down (&scene);
}

/* Both are placed in one round; the start of the second one is refused after
   the first one has begun.  */
static void
test_refused_start_of_a_lasting_task_begins_its_wait_anew (void)
{
  struct scene scene;
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  struct jb_job *lasting;
  int64_t start_ms;
  uint32_t i;

  set_up (&scene, 20, 5);
  use_workers (&scene, 0, 2);
  for (i = 1; i < 20; i += 2)
    worker_at (&scene, i)->avoid_until_ms = 60000;
  lasting = add_lasting_job (&scene, 2);
  start_ms = scene.now_ms;
  while (commands.starts->len < 2 && scene.now_ms - start_ms < 9000)
    {
      sd_round (scene.sched, scene.now_ms, 0, &commands);
      scene.now_ms += STEP_MS;
    }
  CU_ASSERT_EQUAL_FATAL (commands.starts->len, 2);
  sd_task_running (scene.sched, &lasting->tasks[0], scene.now_ms);
  sd_task_refused (scene.sched, &lasting->tasks[1], SD_REFUSED_OTHER,
                   scene.now_ms);
  while (lasting->tasks[1].worker == NULL && scene.now_ms - start_ms < 9000)
    hold_round (&scene);
  CU_ASSERT_TRUE (scene.now_ms - start_ms < STANDING_MAX_MS);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  tear_down (&scene);
}

/* The platform's rule holds for it however full the service is, and no number
   of failed runs fails its job.  */
static void
test_lasting_task_waits_for_avoided_workers_while_much_is_used (void)
{
  struct scene scene;
  struct jb_job *lasting;
  uint32_t i;

  set_up (&scene, 20, 5);
  for (i = 0; i < 16; i++)
    worker_at (&scene, i)->used_resources
        = worker_at (&scene, i)->report.resources;
  for (i = 16; i < 20; i++)
    worker_at (&scene, i)->avoid_until_ms = 60000;
  lasting = add_lasting_job (&scene, 1);
  CU_ASSERT_TRUE (wait_for_all (&scene, lasting, 9000) < STANDING_MAX_MS);
  tear_down (&scene);
}

/* --- Terms --- */

/* A term of this host that begins after PAUSE_MS without a planner; the
   workers answer their first polls after 300 ms.  */
static void
take_over (struct scene *scene, int64_t pause_ms)
{
  uint32_t i;

  scene->now_ms += pause_ms;
  sd_begin_term (scene->sched, scene->now_ms);
  use_workers (scene, 0, 5);
  use_workers (scene, 1, 5);
  scene->now_ms += 300;
  for (i = 0; i < sd_workers (scene->sched)->len; i++)
    sd_worker_set_reachability (worker_at (scene, i), SD_WORKER_REACHABLE);
}

static void
test_takeover_begins_the_wait_anew (void)
{
  struct scene scene;
  const struct jb_job *gang = set_up_rack_gang (&scene);
  int64_t start_ms = scene.now_ms;

  while (scene.now_ms - start_ms < 1400)
    hold_round (&scene);
  CU_ASSERT_PTR_NULL_FATAL (gang->tasks[0].worker);
  take_over (&scene, 700);
  while (gang->tasks[0].worker == NULL && scene.now_ms - start_ms < 9000)
    hold_round (&scene);
  CU_ASSERT_TRUE (scene.now_ms - start_ms < STANDING_MAX_MS);
  tear_down (&scene);
}

/* Its turn comes later: it has not stood before the takeover.  */
static void
test_gang_loses_its_rack_by_an_earlier_takeover (void)
{
  struct scene scene;
  struct jb_spec *spec = make_spec (&rack_gang, 4000);
  const struct jb_job *gang;
  int64_t due_ms = 5000;

  set_up (&scene, 20, 5);
  spec->has_due_time = true;
  spec->first_due_unix_ms = due_ms; /* the clocks of the scene agree */
  gang = add_job (&scene, spec);
  hold_timed_round (&scene);
  take_over (&scene, 700);
  while (scene.now_ms < due_ms + 1000)
    hold_timed_round (&scene);
  CU_ASSERT_PTR_NULL (gang->tasks[0].worker);
  while (gang->tasks[0].worker == NULL && scene.now_ms < due_ms + 9000)
    hold_timed_round (&scene);
  CU_ASSERT_TRUE (scene.now_ms - due_ms < STANDING_MAX_MS);
  tear_down (&scene);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "a backlog of another service uses up the looks",
      test_backlog_of_another_service_uses_up_the_looks },
    { "rounds of urgent work use up the sweeps",
      test_rounds_of_urgent_work_use_up_the_sweeps },
    { "room on one worker counts once", test_room_on_one_worker_counts_once },
    { "workers out of touch count as use",
      test_workers_out_of_touch_count_as_use },
    { "room is kept for a task beyond the limit per worker",
      test_room_is_kept_for_a_task_beyond_the_limit_per_worker },
    { "work is stopped for a task beyond the limit per worker",
      test_work_is_stopped_for_a_task_beyond_the_limit_per_worker },
    { "a lasting task that starts begins the wait of others anew",
      test_lasting_task_that_starts_begins_the_wait_of_others_anew },
    { "a poll of a lasting task begins the wait of others anew",
      test_poll_of_a_lasting_task_begins_the_wait_of_others_anew },
    { "a refused start of a lasting task begins its wait anew",
      test_refused_start_of_a_lasting_task_begins_its_wait_anew },
    { "a lasting task waits for avoided workers while much is used",
      test_lasting_task_waits_for_avoided_workers_while_much_is_used },
    { "a takeover begins the wait anew", test_takeover_begins_the_wait_anew },
    { "a gang loses its rack by an earlier takeover",
      test_gang_loses_its_rack_by_an_earlier_takeover },
  };

  return check_run ("hostd standing, more", tests, G_N_ELEMENTS (tests));
}
