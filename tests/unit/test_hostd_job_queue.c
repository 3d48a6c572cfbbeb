/* Tests of jobs whose queue the operator renames or removes.  LOST (review/9):
   the next step of an accepted job never started after a version of the
   configuration had given its route another name.  */

#include "check.h"
#include "hostd_fixture.h"
#include "jobs/job_queue.h"
#include "jobs/records.h"

static const char JOB[] = "00000000000000aa";

struct setup
{
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog; /* in force */
  int64_t now_ms;
};

static void
set_up (struct setup *setup)
{
  struct sd_params params
      = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };
  uint32_t i;

  memset (setup, 0, sizeof *setup);
  setup->table = jb_table_create ();
  setup->sched = sd_create (&params, setup->table);
  setup->catalog = fixture_catalog ();
  sd_set_catalog (setup->sched, setup->catalog);
  for (i = 0; i < 2; i++)
    fixture_worker (setup->sched, i == 0 ? "w1" : "w2", "r1", 1);
}

static void
tear_down (struct setup *setup)
{
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
}

/* A job of the queue `batch` of two steps, one after the other.  */
static struct jb_spec *
two_steps (void)
{
  const struct fixture_step step = { .count = 2, .accelerators = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);

  spec->steps = g_renew (struct jb_step_spec, spec->steps, 2);
  spec->steps[1] = spec->steps[0];
  spec->steps[1].depends_on = g_new0 (uint32_t, 1);
  spec->steps[1].depends_on_count = 1;
  spec->step_count = 2;
  return spec;
}

static struct jb_job *
add_job (struct setup *setup, struct jb_spec *spec)
{
  struct jb_job *job = jb_table_add (setup->table, JOB, spec, setup->now_ms);

  sd_job_added (setup->sched, job);
  return job;
}

/* A version of the configuration comes into force.  */
static void
configure (struct setup *setup, struct ct_catalog *catalog)
{
  sd_set_catalog (setup->sched, catalog);
  ct_catalog_free (setup->catalog);
  setup->catalog = catalog;
}

/* `batch` has another name, and all else as before.  */
static struct ct_catalog *
catalog_with_batch_renamed (void)
{
  struct ct_catalog *catalog = fixture_catalog ();

  g_hash_table_destroy (catalog->queues_by_name);
  g_hash_table_destroy (catalog->queues_by_address);
  g_free (catalog->queues[1].name);
  catalog->queues[1].name = g_strdup ("batch-b");
  ct_index_queues (catalog);
  return catalog;
}

/* `batch` is the name of a queue of another address and service, and the
   former queue of that name is gone.  */
static struct ct_catalog *
catalog_with_another_batch (void)
{
  struct ct_catalog *catalog = fixture_catalog_without_batch ();
  struct ct_queue *queue = &catalog->queues[1];

  g_hash_table_destroy (catalog->queues_by_name);
  g_hash_table_destroy (catalog->queues_by_address);
  g_free (queue->path_prefix);
  g_free (queue->service);
  queue->path_prefix = g_strdup ("/other/");
  queue->service = g_strdup ("office");
  ct_index_queues (catalog);
  return catalog;
}

static uint32_t
run_round (struct setup *setup)
{
  setup->now_ms += 100;
  return fixture_run_round (setup->sched, setup->now_ms);
}

static void
end_step (struct setup *setup, struct jb_job *job, size_t step,
          enum sd_outcome outcome)
{
  uint32_t i;

  setup->now_ms += 1000;
  for (i = 0; i < job->steps[step].spec->count; i++)
    if (job->steps[step].tasks[i].state == JB_TASK_PLACED)
      sd_task_ended (setup->sched, &job->steps[step].tasks[i], outcome, "",
                     setup->now_ms, 0);
}

/* Another host becomes the planner: it knows the records of the job, and
   nothing else.
   @return : the job there.  */
static struct jb_job *
take_over (struct setup *setup, struct jb_job *job, GByteArray *record)
{
  GByteArray *progress = jb_encode_progress (job, 1);
  GByteArray *block = jb_encode_block (job, 0);
  struct jb_spec *spec = NULL;
  uint64_t term = 0;

  CU_ASSERT_EQUAL_FATAL (jb_decode_spec (&spec, record->data, record->len),
                         JB_OK);
  jb_table_remove (setup->table, JOB);
  job = jb_table_add (setup->table, JOB, spec, setup->now_ms);
  jb_apply_progress (job, &term, progress->data, progress->len);
  jb_apply_block (job, 0, block->data, block->len);
  sd_begin_term (setup->sched, setup->now_ms);
  sd_worker_set_reachability (sd_worker_find (setup->sched, "w1"),
                              SD_WORKER_REACHABLE);
  sd_worker_set_reachability (sd_worker_find (setup->sched, "w2"),
                              SD_WORKER_REACHABLE);
  g_byte_array_free (progress, TRUE);
  g_byte_array_free (block, TRUE);
  return job;
}

enum change
{
  RENAMED,
  REMOVED,
  NAME_GIVEN_TO_ANOTHER,
  CHANGES
};

static struct ct_catalog *
catalog_after (enum change change)
{
  switch (change)
    {
    case RENAMED:
      return catalog_with_batch_renamed ();
    case REMOVED:
      return fixture_catalog_without_batch ();
    default:
      return catalog_with_another_batch ();
    }
}

static void
test_next_step_starts_after_a_change_of_the_queue (void)
{
  struct setup setup;
  struct jb_job *job;
  enum change change;

  for (change = RENAMED; change < CHANGES; change++)
    {
      set_up (&setup);
      job = add_job (&setup, two_steps ());
      CU_ASSERT_EQUAL (run_round (&setup), 2);
      configure (&setup, catalog_after (change));
      CU_ASSERT_EQUAL (run_round (&setup), 0);
      end_step (&setup, job, 0, SD_OUTCOME_DONE);
      CU_ASSERT_EQUAL (run_round (&setup), 2);
      CU_ASSERT_EQUAL (job->priority, 1);
      end_step (&setup, job, 1, SD_OUTCOME_DONE);
      CU_ASSERT_EQUAL (job->state, JB_COMPLETED);
      tear_down (&setup);
    }
}

/* The next planner has never seen the queue.  EARLIER_VERSION: the record of
   the job was stored by a version that did not store its queue's
   configuration, and a planner of this one has seen the queue.  */
static void
start_after_takeover (bool earlier_version)
{
  struct setup setup;
  struct jb_job *job;
  struct jb_spec *spec;
  GByteArray *record;
  enum change change;

  for (change = RENAMED; change < CHANGES; change++)
    {
      set_up (&setup);
      spec = two_steps ();
      if (earlier_version)
        {
          ct_queue_free (spec->queue_config);
          spec->queue_config = NULL;
        }
      record = jb_encode_spec (spec);
      job = add_job (&setup, spec);
      CU_ASSERT_EQUAL (run_round (&setup), 2);
      configure (&setup, catalog_after (change));
      job = take_over (&setup, job, record);
      end_step (&setup, job, 0, SD_OUTCOME_DONE);
      CU_ASSERT_EQUAL (run_round (&setup), 2);
      CU_ASSERT_EQUAL (job->priority, 1);
      tear_down (&setup);
      g_byte_array_free (record, TRUE);
    }
}

static void
test_next_step_starts_after_a_takeover (void)
{
  start_after_takeover (false);
}

static void
test_job_of_an_earlier_version_goes_on (void)
{
  start_after_takeover (true);
}

/* A run that fails is tried again, up to the limit of the queue that the job
   came by.  */
static void
test_failed_run_is_tried_again_without_the_queue (void)
{
  struct setup setup;
  struct jb_spec *spec = two_steps ();
  GByteArray *record = jb_encode_spec (spec);
  struct jb_job *job;

  set_up (&setup);
  job = add_job (&setup, spec);
  CU_ASSERT_EQUAL (run_round (&setup), 2);
  configure (&setup, fixture_catalog_without_batch ());
  job = take_over (&setup, job, record);
  end_step (&setup, job, 0, SD_OUTCOME_FAILED);
  CU_ASSERT_FALSE (jb_state_is_final (job->state));
  CU_ASSERT_EQUAL (run_round (&setup), 2);
  end_step (&setup, job, 0, SD_OUTCOME_FAILED);
  CU_ASSERT_EQUAL (job->state, JB_FAILED);
  tear_down (&setup);
  g_byte_array_free (record, TRUE);
}

/* A task that lasts is started again, and a task that waits for its due time
   starts, also if the queue was removed before their job was seen.  */
static void
test_lasting_and_due_tasks_start_without_the_queue (void)
{
  const struct fixture_step one = { .count = 1, .accelerators = 1 };
  struct setup setup;
  struct jb_spec *spec;
  struct jb_job *job;
  bool lasts;
  int i;

  for (i = 0; i < 2; i++)
    {
      lasts = i == 0;
      set_up (&setup);
      configure (&setup, fixture_catalog_without_batch ());
      spec = fixture_spec ("batch", "clinic", &one);
      spec->steps[0].long_lived = lasts;
      spec->has_due_time = !lasts;
      spec->first_due_unix_ms = lasts ? 0 : -1;
      job = add_job (&setup, spec);
      CU_ASSERT_EQUAL (run_round (&setup), 1);
      end_step (&setup, job, 0, SD_OUTCOME_STOPPED);
      CU_ASSERT_EQUAL (run_round (&setup), 1);
      tear_down (&setup);
    }
}

/* The queue is configured otherwise while the job runs, and then removed: what
   was configured last holds, also for the next planner.  */
static void
test_last_configuration_holds (void)
{
  struct setup setup;
  struct jb_spec *spec = two_steps ();
  GByteArray *record = jb_encode_spec (spec);
  struct jb_job *job;

  set_up (&setup);
  job = add_job (&setup, spec);
  CU_ASSERT_EQUAL (run_round (&setup), 2);
  g_ptr_array_free (sd_take_changed (setup.sched), TRUE);
  run_round (&setup);
  CU_ASSERT_FALSE (sd_has_changed (setup.sched));
  setup.catalog->queues[1].priority = 3;
  run_round (&setup);
  CU_ASSERT_TRUE (sd_has_changed (setup.sched));
  configure (&setup, fixture_catalog_without_batch ());
  job = take_over (&setup, job, record);
  run_round (&setup);
  CU_ASSERT_EQUAL (job->priority, 3);
  tear_down (&setup);
  g_byte_array_free (record, TRUE);
}

/* MIXED: GET of the queue counts the jobs that came by its former name, and
   not those of another queue that had this name.  */
static void
test_renamed_queue_has_its_jobs (void)
{
  struct setup setup;
  struct ct_catalog *renamed = catalog_with_batch_renamed ();
  struct ct_catalog *other = catalog_with_another_batch ();
  struct jb_job *job;

  set_up (&setup);
  job = add_job (&setup, two_steps ());
  CU_ASSERT_TRUE (jq_is_of (job, &setup.catalog->queues[1]));
  CU_ASSERT_TRUE (jq_is_of (job, &renamed->queues[1]));
  CU_ASSERT_FALSE (jq_is_of (job, &renamed->queues[0]));
  CU_ASSERT_FALSE (jq_is_of (job, &other->queues[1]));
  ct_queue_free (job->queue_config);
  job->queue_config = NULL; /* stored by an earlier version */
  CU_ASSERT_TRUE (jq_is_of (job, &setup.catalog->queues[1]));
  CU_ASSERT_FALSE (jq_is_of (job, &renamed->queues[1]));
  tear_down (&setup);
  ct_catalog_free (renamed);
  ct_catalog_free (other);
}

/* @return : a catalog of this version in which `batch` has this service and
   limit of attempts.  */
static struct ct_catalog *
catalog_of_version (int64_t version, const char *service, uint32_t limit)
{
  struct ct_catalog *catalog = fixture_catalog ();

  g_hash_table_destroy (catalog->queues_by_name);
  g_hash_table_destroy (catalog->queues_by_address);
  catalog->version = version;
  g_free (catalog->queues[1].service);
  catalog->queues[1].service = g_strdup (service);
  catalog->queues[1].attempt_limit = limit;
  ct_index_queues (catalog);
  return catalog;
}

/* @return : a job accepted by that catalog.  */
static struct jb_spec *
spec_accepted_by (const struct ct_catalog *catalog)
{
  struct jb_spec *spec = two_steps ();

  ct_queue_free (spec->queue_config);
  spec->queue_config = ct_queue_copy (&catalog->queues[1]);
  return spec;
}

/* A planner that had not read the configuration by which another host had
   accepted a job started its tasks on the workers of the former service.  */
static void
test_planner_does_not_run_a_job_by_an_older_configuration (void)
{
  struct setup setup;
  struct ct_catalog *newer = catalog_of_version (2, "office", 5);
  struct jb_job *job;

  set_up (&setup); /* version 1; all workers are of the service `desk` */
  job = add_job (&setup, spec_accepted_by (newer));
  CU_ASSERT_EQUAL (run_round (&setup), 0);
  CU_ASSERT_EQUAL (jq_of_job (setup.catalog, job)->attempt_limit, 5);
  CU_ASSERT_FALSE (job->queue_config_changed);
  configure (&setup, newer);
  CU_ASSERT_EQUAL (run_round (&setup), 0);
  configure (&setup, catalog_of_version (3, "desk", 4));
  CU_ASSERT_EQUAL (run_round (&setup), 2);
  CU_ASSERT_EQUAL (jq_of_job (setup.catalog, job)->attempt_limit, 4);
  tear_down (&setup);
}

/* The same for a configuration that came into force after the acceptance: the
   next planner may have an older one than the planner before.  */
static void
test_next_planner_does_not_run_a_job_by_an_older_configuration (void)
{
  struct setup setup;
  struct jb_spec *spec = two_steps ();
  GByteArray *record;
  struct jb_job *job;

  set_up (&setup);
  spec->queue_config->version = 1;
  record = jb_encode_spec (spec);
  job = add_job (&setup, spec);
  configure (&setup, catalog_of_version (2, "office", 5));
  CU_ASSERT_EQUAL (run_round (&setup), 0);
  configure (&setup, fixture_catalog ());
  job = take_over (&setup, job, record);
  CU_ASSERT_EQUAL (run_round (&setup), 0);
  CU_ASSERT_EQUAL (jq_of_job (setup.catalog, job)->attempt_limit, 5);
  tear_down (&setup);
  g_byte_array_free (record, TRUE);
}

static void
test_queue_is_stored_with_the_job (void)
{
  struct jb_spec *spec = two_steps ();
  struct jb_spec *decoded = NULL;
  GByteArray *with;
  GByteArray *without;

  spec->queue_config->uses_advisor = true;
  spec->queue_config->advice_call_ms = 20;
  spec->queue_config->advice_per_worker_ms = 3;
  spec->queue_config->version = 7;
  with = jb_encode_spec (spec);
  CU_ASSERT_EQUAL_FATAL (jb_decode_spec (&decoded, with->data, with->len),
                         JB_OK);
  CU_ASSERT_TRUE (ct_queue_equal (decoded->queue_config, spec->queue_config));
  CU_ASSERT_EQUAL (decoded->queue_config->version, 7);
  jb_spec_free (decoded);
  ct_queue_free (spec->queue_config);
  spec->queue_config = NULL;
  without = jb_encode_spec (spec);
  CU_ASSERT_EQUAL_FATAL (
      jb_decode_spec (&decoded, without->data, without->len), JB_OK);
  CU_ASSERT_PTR_NULL (decoded->queue_config);
  jb_spec_free (decoded);
  jb_spec_free (spec);
  g_byte_array_free (with, TRUE);
  g_byte_array_free (without, TRUE);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "the next step starts after a change of the queue",
      test_next_step_starts_after_a_change_of_the_queue },
    { "the next step starts after a takeover",
      test_next_step_starts_after_a_takeover },
    { "a job of an earlier version goes on",
      test_job_of_an_earlier_version_goes_on },
    { "a failed run is tried again without the queue",
      test_failed_run_is_tried_again_without_the_queue },
    { "lasting and due tasks start without the queue",
      test_lasting_and_due_tasks_start_without_the_queue },
    { "the last configuration holds", test_last_configuration_holds },
    { "a renamed queue has its jobs", test_renamed_queue_has_its_jobs },
    { "a planner does not run a job by an older configuration",
      test_planner_does_not_run_a_job_by_an_older_configuration },
    { "the next planner does not run a job by an older configuration",
      test_next_planner_does_not_run_a_job_by_an_older_configuration },
    { "a queue is stored with the job", test_queue_is_stored_with_the_job },
  };

  return check_run ("hostd job queue", tests, G_N_ELEMENTS (tests));
}
