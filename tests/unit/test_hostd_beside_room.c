/* Work that stands beside room for it, and what is done for it: directed
   cases of lib/sched/standing.c on workers of 8 accelerators.  */

#include "check.h"
#include "jobs/records.h"
#include "room_fixture.h"

/* Fills WORKERS of the workers, one task each.  */
static void
fill (struct scene *scene, uint32_t workers)
{
  uint32_t i;

  for (i = 0; i < workers; i++)
    add_job (scene, make_spec (&(struct fixture_step){ .count = 1,
                                                       .accelerators = 8 },
                               100000));
  hold_round (scene);
}

/* @return : after how many ms a task of the job has been placed; LIMIT_MS: it
   was not.  */
static int64_t
wait_for (struct scene *scene, const struct jb_job *job, int64_t limit_ms)
{
  int64_t start_ms = scene->now_ms;

  while (job->tasks[0].worker == NULL && scene->now_ms - start_ms < limit_ms)
    hold_round (scene);
  return scene->now_ms - start_ms;
}

/* The platform's rule holds for long-lived tasks however full the service
   is.  */
static void
test_long_lived_task_waits_beside_reserved_workers (void)
{
  struct scene scene;
  struct jb_spec *spec = make_spec (
      &(struct fixture_step){ .count = 1, .accelerators = 1 }, 4000);
  struct jb_job *waiting;
  struct jb_job *lasting;

  set_up (&scene, 20, 5);
  fill (&scene, 14);
  waiting
      = add_job (&scene, make_spec (&(struct fixture_step){ .count = 8,
                                                            .accelerators = 8,
                                                            .gang = true },
                                    100000));
  hold_round (&scene);
  spec->steps[0].long_lived = true;
  lasting = add_job (&scene, spec);
  CU_ASSERT_TRUE (wait_for (&scene, lasting, 9000) < STANDING_MAX_MS);
  CU_ASSERT_PTR_NULL (waiting->tasks[0].worker);
  tear_down (&scene);
}

/* Ends runs that are due: on the first FAILING workers as failed after 100 ms,
   elsewhere as done after RUN_MS.  */
static void
end_runs (struct scene *scene, struct jb_job **jobs, uint32_t count,
          uint32_t failing, int64_t run_ms)
{
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      struct jb_task *task = &jobs[i]->tasks[0];
      int64_t ran_ms = scene->now_ms - task->started_ms;

      if (task->worker == NULL)
        continue;
      if (strtoul (task->worker + 1, NULL, 10) < failing)
        {
          if (ran_ms >= 100)
            sd_task_ended (scene->sched, task, SD_OUTCOME_FAILED, "",
                           scene->now_ms, 0);
        }
      else if (ran_ms >= run_ms)
        sd_task_ended (scene->sched, task, SD_OUTCOME_DONE, "", scene->now_ms,
                       0);
      else if (scene->now_ms % POLL_MS == 0)
        sd_task_progress (scene->sched, task, ran_ms * 100 / run_ms,
                          scene->now_ms);
    }
}

/* Sound workers are only busy, with most of their accelerators in use.  */
static void
check_no_job_fails (const struct fixture_step *step, int64_t cpus_milli)
{
  enum
  {
    JOBS = 120,
    FAILING = 3
  };
  struct scene scene;
  struct jb_job *jobs[JOBS];
  uint32_t failed = 0;
  uint32_t i;

  set_up (&scene, 20, 5);
  for (i = 0; i < JOBS; i++)
    jobs[i] = add_job (&scene, make_spec (step, cpus_milli));
  while (scene.now_ms < 120000)
    {
      end_runs (&scene, jobs, JOBS, FAILING, 8000);
      hold_round (&scene);
    }
  for (i = 0; i < JOBS; i++)
    failed += jobs[i]->state == JB_FAILED;
  CU_ASSERT_EQUAL (failed, 0);
  tear_down (&scene);
}

static void
test_job_fails_on_failing_workers_while_sound_ones_are_busy (void)
{
  check_no_job_fails (&(struct fixture_step){ .count = 1, .accelerators = 4 },
                      8000);
}

static void
test_job_fails_while_processors_are_busy (void)
{
  check_no_job_fails (&(struct fixture_step){ .count = 1 }, 64000);
}

/* A gang's reservation is of use also where the small work that it guards
   against was handed in before.  */
static void
check_gang_is_placed_before_backlog (const struct fixture_step *step,
                                     int64_t cpus_milli,
                                     int64_t gang_cpus_milli)
{
  enum
  {
    JOBS = 600
  };
  struct scene scene;
  const struct fixture_step large
      = { .count = 16, .accelerators = 8, .gang = true };
  struct jb_job *jobs[JOBS];
  struct jb_job *waiting;
  uint32_t i;

  set_up (&scene, 40, 8);
  for (i = 0; i < JOBS / 2; i++)
    jobs[i] = add_job (&scene, make_spec (step, cpus_milli));
  hold_round (&scene);
  waiting = add_job (&scene, make_spec (&large, gang_cpus_milli));
  waiting->spec->steps[0].estimate_ms = 30000;
  for (; i < JOBS; i++)
    jobs[i] = add_job (&scene, make_spec (step, cpus_milli));
  while (waiting->tasks[0].worker == NULL && scene.now_ms < 60000)
    {
      for (i = 0; i < JOBS; i++)
        if (jobs[i]->tasks[0].worker != NULL
            && scene.now_ms - jobs[i]->tasks[0].started_ms
                   >= 6000 + i * 7919 % 6000)
          sd_task_ended (scene.sched, &jobs[i]->tasks[0], SD_OUTCOME_DONE, "",
                         scene.now_ms, 0);
      hold_round (&scene);
    }
  CU_ASSERT_TRUE (scene.now_ms < 20000); /* each small run ends in 12 s */
  tear_down (&scene);
}

static void
test_gang_waits_for_the_whole_backlog_of_small_jobs (void)
{
  check_gang_is_placed_before_backlog (
      &(struct fixture_step){ .count = 1, .accelerators = 2 }, 4000, 52000);
}

static void
test_gang_waits_for_a_backlog_that_needs_processors (void)
{
  check_gang_is_placed_before_backlog (&(struct fixture_step){ .count = 1 },
                                       32000, 100000);
}

/* A start that is refused does not begin the time anew, for nothing ran.  */
static void
test_refused_start_begins_the_wait_anew (void)
{
  struct scene scene;
  struct jb_job *waiting;
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  int64_t start_ms;
  uint32_t i;

  /* No rack has room for the gang; there is room for it twice over.  */
  set_up (&scene, 40, 8);
  for (i = 0; i < 40; i += 8)
    {
      uint32_t k;

      for (k = 0; k < 3; k++)
        {
          char *id = g_strdup_printf ("w%02u", i + k);

          sd_worker_find (scene.sched, id)->report.resources.cpus_milli = 1000;
          g_free (id);
        }
    }
  waiting
      = add_job (&scene, make_spec (&(struct fixture_step){ .count = 6,
                                                            .accelerators = 8,
                                                            .gang = true,
                                                            .one_rack = true },
                                    1001));
  for (i = 0; i < 40; i += 8)
    {
      uint32_t k;

      for (k = 0; k < 3; k++)
        {
          char *id = g_strdup_printf ("w%02u", i + k);
          struct sd_worker *worker = sd_worker_find (scene.sched, id);

          worker->report.resources.cpus_milli = CPUS_MILLI;
          worker->used_resources.cpus_milli = CPUS_MILLI;
          g_free (id);
        }
    }
  start_ms = scene.now_ms;
  while (commands.starts->len == 0 && scene.now_ms - start_ms < 9000)
    {
      sd_round (scene.sched, scene.now_ms, 0, &commands);
      scene.now_ms += STEP_MS;
    }
  CU_ASSERT_EQUAL (commands.starts->len, 6);
  for (i = 0; i < commands.starts->len; i++)
    sd_task_refused (scene.sched, g_ptr_array_index (commands.starts, i),
                     SD_REFUSED_OTHER, scene.now_ms);
  wait_for (&scene, waiting, 9000);
  CU_ASSERT_TRUE (scene.now_ms - start_ms < STANDING_MAX_MS);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  tear_down (&scene);
}

/* No rack will ever hold it: a worker takes one task of the step.  */
static void
test_gang_with_limit_per_worker_waits_for_a_rack_that_cannot_hold_it (void)
{
  struct scene scene;
  struct jb_spec *spec = make_spec (
      &(struct fixture_step){
          .count = 6, .accelerators = 1, .gang = true, .one_rack = true },
      4000);
  struct jb_job *waiting;

  set_up (&scene, 20, 5);
  fill (&scene, 14);
  spec->steps[0].tasks_per_worker_limit = 1;
  waiting = add_job (&scene, spec);
  CU_ASSERT_TRUE (wait_for (&scene, waiting, 30000) < STANDING_MAX_MS);
  tear_down (&scene);
}

/* One poll without an answer now and then.  */
static void
test_worker_out_of_touch_for_a_moment_begins_the_wait_anew (void)
{
  struct scene scene;
  struct sd_worker *worker;
  struct jb_job *waiting;
  int64_t start_ms;
  uint32_t i;

  set_up (&scene, 9, 3);
  for (i = 0; i < 9; i += 3)
    {
      char *id = g_strdup_printf ("w%02u", i);

      worker = sd_worker_find (scene.sched, id);
      worker->used_resources = worker->report.resources;
      g_free (id);
    }
  worker = sd_worker_find (scene.sched, "w01");
  waiting
      = add_job (&scene, make_spec (&(struct fixture_step){ .count = 3,
                                                            .accelerators = 8,
                                                            .gang = true,
                                                            .one_rack = true },
                                    52000));
  start_ms = scene.now_ms;
  while (waiting->tasks[0].worker == NULL && scene.now_ms - start_ms < 30000)
    {
      sd_worker_set_reachability (worker,
                                  (scene.now_ms - start_ms) % 1500 < 1250
                                      ? SD_WORKER_REACHABLE
                                      : SD_WORKER_UNREACHABLE);
      hold_round (&scene);
    }
  CU_ASSERT_TRUE (scene.now_ms - start_ms < STANDING_MAX_MS);
  tear_down (&scene);
}

/* A service without accelerators has none of them in use.  */
static void
test_nothing_is_little_used_without_accelerators (void)
{
  struct scene scene;
  struct jb_job *waiting;
  int64_t start_ms;
  uint32_t i;

  set_up (&scene, 20, 5);
  for (i = 0; i < 20; i++)
    {
      struct sd_worker *worker
          = g_ptr_array_index (sd_workers (scene.sched), i);

      worker->report.resources.accelerators = 0;
      if (i % 5 < 2)
        worker->used_resources = worker->report.resources;
    }
  waiting
      = add_job (&scene, make_spec (&(struct fixture_step){ .count = 4,
                                                            .gang = true,
                                                            .one_rack = true },
                                    100000));
  start_ms = scene.now_ms;
  while (waiting->tasks[0].worker == NULL && scene.now_ms - start_ms < 30000)
    {
      if (scene.now_ms % 5000 == 0)
        add_job (&scene,
                 make_spec (&(struct fixture_step){ .count = 1 }, 100));
      hold_round (&scene);
    }
  CU_ASSERT_TRUE (scene.now_ms - start_ms < STANDING_MAX_MS);
  tear_down (&scene);
}

/* Adds workers of another service, without accelerators, which `batch` then
   uses.  */
static void
add_office_workers (struct scene *scene, uint32_t workers)
{
  struct ct_catalog *catalog = scene->catalog;
  uint32_t i;

  g_free (catalog->queues[1].service);
  catalog->queues[1].service = g_strdup ("office");
  g_free (catalog->services[0].name);
  catalog->services[0].name = g_strdup ("office");
  for (i = 0; i < workers; i++)
    {
      struct sd_worker_report report
          = { .id = g_strdup_printf ("x%02u", i),
              .address = g_strdup ("127.0.0.1:1"),
              .service = g_strdup ("office"),
              .data_centre = g_strdup ("dc"),
              .rack = g_strdup_printf ("q%u", i / 5),
              .labels = g_new0 (char *, 1),
              .resources
              = { .cpus_milli = CPUS_MILLI, .memory_mib = MEMORY_MIB } };

      sd_worker_set_reachability (sd_worker_listed (scene->sched, &report, 0),
                                  SD_WORKER_REACHABLE);
    }
}

/* Less than half of the service is in use, all of the rest is reserved.  */
static void
test_job_waits_beside_reserved_workers_without_accelerators (void)
{
  struct scene scene;
  struct jb_job *small;
  uint32_t i;

  set_up (&scene, 20, 5);
  add_office_workers (&scene, 20);
  for (i = 0; i < 8; i++)
    add_job (&scene, make_spec (&(struct fixture_step){ .count = 1 }, 100000));
  hold_round (&scene);
  add_job (
      &scene,
      make_spec (&(struct fixture_step){ .count = 14, .gang = true }, 100000));
  hold_round (&scene);
  small = add_job (&scene,
                   make_spec (&(struct fixture_step){ .count = 1 }, 60000));
  CU_ASSERT_TRUE (wait_for (&scene, small, 30000) < STANDING_MAX_MS);
  tear_down (&scene);
}

/* Another host that begins a term with the records of JOB.
   @return : its job.  */
static struct jb_job *
take_over (struct scene *next, const struct jb_job *job,
           const struct ct_catalog *catalog)
{
  const struct fixture_step one = { .count = 1, .accelerators = 1 };
  GByteArray *bytes = jb_encode_progress (job, 1);
  uint64_t term;
  struct jb_job *copy;

  set_up (next, 1, 1);
  copy = jb_table_add (next->table, job->id, make_spec (&one, 4000), STEP_MS);
  CU_ASSERT_EQUAL (jb_apply_progress (copy, &term, bytes->data, bytes->len),
                   JB_OK);
  g_byte_array_free (bytes, TRUE);
  bytes = jb_encode_block (job, 0);
  CU_ASSERT_EQUAL (jb_apply_block (copy, 0, bytes->data, bytes->len), JB_OK);
  g_byte_array_free (bytes, TRUE);
  sd_set_catalog (next->sched, catalog);
  sd_begin_term (next->sched, next->now_ms);
  return copy;
}

/* The queue is removed before the takeover.  */
static void
test_takeover_lowers_the_attempt_limit_of_a_removed_queue (void)
{
  const struct fixture_step one = { .count = 1, .accelerators = 1 };
  struct ct_catalog *without = fixture_catalog_without_batch ();
  struct scene scene;
  struct scene next;
  struct jb_job *job;

  set_up (&scene, 1, 1);
  job = add_job (&scene, make_spec (&one, 4000));
  hold_round (&scene);
  job = take_over (&next, job, without);
  sd_task_ended (next.sched, &job->tasks[0], SD_OUTCOME_FAILED, "",
                 next.now_ms, 0);
  CU_ASSERT_NOT_EQUAL (job->state, JB_FAILED);
  tear_down (&next);
  tear_down (&scene);
  ct_catalog_free (without);
}

/* The limit is raised while the job runs.  */
static void
test_raised_attempt_limit_of_a_removed_queue_is_not_stored (void)
{
  const struct fixture_step one = { .count = 1, .accelerators = 1 };
  struct ct_catalog *without = fixture_catalog_without_batch ();
  struct scene scene;
  struct scene next;
  struct jb_job *job;

  set_up (&scene, 1, 1);
  scene.catalog->queues[1].attempt_limit = 1;
  job = add_job (&scene, make_spec (&one, 4000));
  hold_round (&scene);
  hold_round (&scene);
  g_ptr_array_free (sd_take_changed (scene.sched), TRUE);
  hold_round (&scene);
  CU_ASSERT_FALSE (sd_has_changed (scene.sched));
  scene.catalog->queues[1].attempt_limit = 3;
  hold_round (&scene);
  CU_ASSERT_TRUE (sd_has_changed (scene.sched));
  job = take_over (&next, job, without);
  sd_task_ended (next.sched, &job->tasks[0], SD_OUTCOME_FAILED, "",
                 next.now_ms, 0);
  CU_ASSERT_NOT_EQUAL (job->state, JB_FAILED);
  tear_down (&next);
  tear_down (&scene);
  ct_catalog_free (without);
}

/* Answers the queries, all workers being allowed, 100 ms after they were
   made.  */
static void
answer_queries (struct scene *scene, GPtrArray *queries)
{
  guint i;

  scene->now_ms += 100;
  for (i = 0; i < queries->len; i++)
    {
      const struct sd_advisor_query *query = g_ptr_array_index (queries, i);
      size_t count = g_strv_length (query->workers);
      struct ap_allowed_worker *allowed
          = g_new0 (struct ap_allowed_worker, count);
      struct ap_answer answer = { .result = AP_DONE,
                                  .allowed = allowed,
                                  .allowed_count = count,
                                  .validity_ms = 30000 };
      size_t k;

      for (k = 0; k < count; k++)
        allowed[k] = (struct ap_allowed_worker){ .worker = query->workers[k],
                                                 .ticket = "t" };
      sd_advisor_answered (scene->sched, query, &answer, scene->now_ms);
      g_free (allowed);
    }
  g_ptr_array_set_size (queries, 0);
}

/* All workers are avoided, and BUSY accelerators of each are in use.
   @return : after how many ms a job of an advisor's queue is placed; LIMIT_MS:
             it is not.  */
static int64_t
wait_for_advice_on_avoided_workers (int64_t busy, int64_t limit_ms)
{
  struct scene scene;
  struct sd_commands commands
      = { .starts = g_ptr_array_new (),
          .stops = g_ptr_array_new (),
          .advisor_queries = sd_advisor_queries_create () };
  int64_t start_ms;
  int64_t waited_ms;
  uint32_t i;

  set_up (&scene, 4, 4);
  scene.catalog->queues[1].uses_advisor = true;
  for (i = 0; i < 4; i++)
    {
      struct sd_worker *worker
          = g_ptr_array_index (sd_workers (scene.sched), i);

      worker->avoid_until_ms = 60000;
      worker->used_resources.accelerators = busy;
    }
  add_job (&scene,
           make_spec (&(struct fixture_step){ .count = 1, .accelerators = 1 },
                      4000));
  start_ms = scene.now_ms;
  while (commands.starts->len == 0 && scene.now_ms - start_ms < limit_ms)
    {
      sd_round (scene.sched, scene.now_ms, 0, &commands);
      scene.now_ms += STEP_MS;
      if (commands.advisor_queries->len > 0)
        answer_queries (&scene, commands.advisor_queries);
    }
  waited_ms = scene.now_ms - start_ms;
  g_ptr_array_free (commands.advisor_queries, TRUE);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  tear_down (&scene);
  return waited_ms;
}

/* Else they never count as room.  */
static void
test_advisor_is_not_asked_about_avoided_workers (void)
{
  CU_ASSERT_TRUE (wait_for_advice_on_avoided_workers (2, 9000)
                  < STANDING_MAX_MS);
  CU_ASSERT_EQUAL (wait_for_advice_on_avoided_workers (6, 9000), 9000);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "a long-lived task waits beside reserved workers",
      test_long_lived_task_waits_beside_reserved_workers },
    { "a job fails on failing workers while sound ones are busy",
      test_job_fails_on_failing_workers_while_sound_ones_are_busy },
    { "a gang waits for the whole backlog of small jobs",
      test_gang_waits_for_the_whole_backlog_of_small_jobs },
    { "a job fails on failing workers while processors are busy",
      test_job_fails_while_processors_are_busy },
    { "a gang waits for a backlog that needs processors",
      test_gang_waits_for_a_backlog_that_needs_processors },
    { "a refused start begins the wait anew",
      test_refused_start_begins_the_wait_anew },
    { "a gang with a limit per worker waits for a rack that cannot hold it",
      test_gang_with_limit_per_worker_waits_for_a_rack_that_cannot_hold_it },
    { "a worker out of touch for a moment begins the wait anew",
      test_worker_out_of_touch_for_a_moment_begins_the_wait_anew },
    { "nothing is little used without accelerators",
      test_nothing_is_little_used_without_accelerators },
    { "a job waits beside reserved workers without accelerators",
      test_job_waits_beside_reserved_workers_without_accelerators },
    { "the advisor is not asked about avoided workers",
      test_advisor_is_not_asked_about_avoided_workers },
    { "a takeover lowers the attempt limit of a removed queue",
      test_takeover_lowers_the_attempt_limit_of_a_removed_queue },
    { "a raised attempt limit of a removed queue is not stored",
      test_raised_attempt_limit_of_a_removed_queue_is_not_stored },
  };

  return check_run ("hostd beside room", tests, G_N_ELEMENTS (tests));
}
