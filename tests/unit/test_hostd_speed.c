/* Tests of learned speeds, and of placing by them.  The load: workers at 0.7,
   0.7 and 1.7 of the nominal speed, which nothing reports; tasks of a step
   differ by 15 percent, estimates by far more, and a few tasks take seven
   times as long.  */

#include <math.h>

#include "check.h"
#include "hostd_fixture.h"
#include "sched/speed.h"

enum
{
  WORKERS = 60,
  GANG = 6,
  POLL_MS = 1900,
  WORK_MS = 4000,
  DAY_MS = 20000
};

static const double three_speeds[] = { 0.7, 0.7, 1.7 };
static const double one_speed[] = { 1.0, 1.0, 1.0 };

/* --- The model --- */

struct stream
{
  struct sp_table *table;
  const double *speeds; /* of three workers in turn */
  GRand *random;
  double tail_share;
  uint64_t works;
  int64_t now_ms;
};

static void
open_stream (struct stream *stream, const double *speeds, double tail_share)
{
  *stream = (struct stream){ .table = sp_create (NULL, NULL),
                             .speeds = speeds,
                             .random = g_rand_new_with_seed (7),
                             .tail_share = tail_share,
                             .now_ms = 1 };
}

static void
close_stream (struct stream *stream)
{
  sp_free (stream->table);
  g_rand_free (stream->random);
}

/* A gang on GANG workers, of which each is polled once after POLL_MS.  */
static void
poll_gang (struct stream *stream)
{
  double work_ms = WORK_MS * exp (g_rand_double_range (stream->random, -1, 1));
  uint32_t i;

  stream->works++;
  for (i = 0; i < GANG; i++)
    {
      uint32_t worker
          = (uint32_t)g_rand_int_range (stream->random, 0, WORKERS);
      double rate = stream->speeds[worker % 3]
                    * exp (g_rand_double_range (stream->random, -0.15, 0.15));
      struct sp_observation seen = { .worker = worker,
                                     .work = stream->works,
                                     .task = stream->works * GANG + i,
                                     .expected_ms = WORK_MS,
                                     .over_ms = POLL_MS };

      if (g_rand_double (stream->random) < stream->tail_share)
        rate /= 7;
      seen.percents = (int64_t)(100.0 * rate * POLL_MS / work_ms);
      seen.at_least = seen.percents >= 100;
      seen.percents = MIN (seen.percents, 100);
      sp_observe (stream->table, &seen);
    }
  stream->now_ms += 100;
  sp_learn (stream->table, stream->now_ms);
}

static void
poll_gangs (struct stream *stream, uint32_t count)
{
  while (count-- > 0)
    poll_gang (stream);
}

/* @return : workers whose level is on the wrong side.  */
static uint32_t
count_wrong (const struct stream *stream)
{
  uint32_t wrong = 0;
  uint32_t i;

  for (i = 0; i < WORKERS; i++)
    wrong += (sp_level (stream->table, i) > 0) != (i % 3 == 2);
  return wrong;
}

static void
test_three_speeds_are_learned (void)
{
  struct stream stream;

  open_stream (&stream, three_speeds, 0);
  poll_gangs (&stream, 30); /* each worker is seen three times */
  CU_ASSERT_TRUE (sp_summary (stream.table).uneven);
  CU_ASSERT_TRUE (count_wrong (&stream) <= WORKERS / 10);
  poll_gangs (&stream, 70);
  CU_ASSERT_TRUE (count_wrong (&stream) <= 1);
  CU_ASSERT_DOUBLE_EQUAL (
      log (sp_speed (stream.table, 2) / sp_speed (stream.table, 1)),
      log (1.7 / 0.7), 0.25);
  close_stream (&stream);
}

static void
test_tails_are_not_taken_for_speed (void)
{
  struct stream stream;
  uint32_t i;

  open_stream (&stream, three_speeds, 0.03);
  poll_gangs (&stream, 100);
  CU_ASSERT_TRUE (count_wrong (&stream) <= WORKERS / 20);
  close_stream (&stream);
  open_stream (&stream, one_speed, 0.03);
  for (i = 0; i < 300; i++)
    {
      poll_gang (&stream);
      CU_ASSERT_FALSE (sp_summary (stream.table).uneven);
    }
  CU_ASSERT_EQUAL (sp_level (stream.table, 0), 0);
  CU_ASSERT_EQUAL (sp_speed (stream.table, 0), 1.0);
  close_stream (&stream);
}

static void
test_a_speed_that_changes (void)
{
  struct stream stream;
  struct sp_observation seen
      = { .worker = 2, .expected_ms = WORK_MS, .over_ms = POLL_MS };
  uint32_t i;

  open_stream (&stream, three_speeds, 0);
  poll_gangs (&stream, 100);
  CU_ASSERT_TRUE (sp_level (stream.table, 2) > 0);
  for (i = 0; i < 3; i++)
    {
      seen.task = seen.work = 1000000 + i;
      seen.percents = 100 * POLL_MS / WORK_MS / 5;
      sp_observe (stream.table, &seen);
      stream.now_ms += 500;
      sp_learn (stream.table, stream.now_ms);
    }
  CU_ASSERT_TRUE (sp_level (stream.table, 2) < 0);
  close_stream (&stream);
}

static void
count_residual (void *ctx, const struct sp_observation *observation,
                double residual_ln, double variance)
{
  double *sum = ctx;

  CU_ASSERT_TRUE (variance > 0 && observation->over_ms == POLL_MS);
  *sum += residual_ln;
}

static void
test_what_neighbours_take_is_not_speed (void)
{
  double sum = 0;
  struct sp_table *table = sp_create (count_residual, &sum);
  struct sp_observation seen = { .worker = 1,
                                 .work = 1,
                                 .task = 1,
                                 .expected_ms = WORK_MS,
                                 .percents = 100 * POLL_MS / WORK_MS / 2,
                                 .over_ms = POLL_MS,
                                 .neighbours_ln = log (0.5) };

  sp_observe (table, &seen);
  CU_ASSERT_TRUE (sp_learn (table, 1));
  CU_ASSERT_DOUBLE_EQUAL (sum, 0, 0.1);
  sp_free (table);
}

/* --- Decisions --- */

struct setup
{
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  const double *speeds;
  uint32_t jobs;
  int64_t now_ms;
};

static void
set_up (struct setup *setup, const double *speeds, uint32_t workers)
{
  struct sd_params params
      = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };
  uint32_t i;

  *setup = (struct setup){ .table = jb_table_create (),
                           .catalog = fixture_catalog (),
                           .speeds = speeds,
                           .now_ms = 1000 };
  setup->sched = sd_create (&params, setup->table);
  sd_set_catalog (setup->sched, setup->catalog);
  for (i = 0; i < workers; i++)
    {
      char id[8];
      char rack[8];

      g_snprintf (id, sizeof id, "w%02u", i);
      g_snprintf (rack, sizeof rack, "r%u", i / 20);
      fixture_worker (setup->sched, id, rack, 8);
    }
}

static void
tear_down (struct setup *setup)
{
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
}

static struct jb_job *
place_job (struct setup *setup, const char *queue,
           const struct fixture_step *step)
{
  char id[JB_ID_DIGITS + 1];
  struct jb_spec *spec = fixture_spec (queue, "clinic", step);
  struct jb_job *job;
  size_t i;

  spec->steps[0].estimate_ms = WORK_MS;
  g_snprintf (id, sizeof id, "%016x", ++setup->jobs);
  job = jb_table_add (setup->table, id, spec, setup->now_ms);
  sd_job_added (setup->sched, job);
  fixture_run_round (setup->sched, setup->now_ms);
  for (i = 0; i < job->task_total; i++)
    if (job->tasks[i].state == JB_TASK_PLACED)
      sd_task_running (setup->sched, &job->tasks[i], setup->now_ms);
  return job;
}

static size_t
index_of (const struct setup *setup, const struct jb_task *task)
{
  return sd_worker_find (setup->sched, task->worker)->index;
}

static void
report_progress (struct setup *setup, struct jb_job *job)
{
  size_t i;

  for (i = 0; i < job->task_total; i++)
    {
      struct jb_task *task = &job->tasks[i];
      double ran_ms = (double)(setup->now_ms - task->started_ms);

      if (task->state == JB_TASK_PLACED)
        sd_task_progress (setup->sched, task,
                          (int64_t)(ran_ms * 100.0 / WORK_MS
                                    * setup->speeds[index_of (setup, task) % 3]
                                    * (i % 2 == 0 ? 0.95 : 1.05)),
                          setup->now_ms);
    }
}

static void
end_job (struct setup *setup, struct jb_job *job)
{
  size_t i;

  for (i = 0; i < job->task_total; i++)
    if (job->tasks[i].state == JB_TASK_PLACED)
      sd_task_ended (setup->sched, &job->tasks[i], SD_OUTCOME_DONE, "",
                     setup->now_ms, 0);
}

/* Has a gang run on each worker until all are known.  */
static void
teach (struct setup *setup, uint32_t workers)
{
  const struct fixture_step step
      = { .count = workers, .accelerators = 8, .gang = true };
  struct jb_job *job = place_job (setup, "batch", &step);

  setup->now_ms += 1000;
  report_progress (setup, job);
  sd_speeds (setup->sched);
  setup->now_ms += 1000;
  report_progress (setup, job);
  setup->now_ms += 1000;
  end_job (setup, job);
}

static uint32_t
count_fast (const struct setup *setup, const struct jb_job *job)
{
  uint32_t fast = 0;
  size_t i;

  for (i = 0; i < job->task_total; i++)
    if (job->tasks[i].state == JB_TASK_PLACED)
      fast += index_of (setup, &job->tasks[i]) % 3 == 2;
  return fast;
}

static void
test_equal_workers_are_used_as_before (void)
{
  const struct fixture_step steps[]
      = { { .count = 5, .accelerators = 2, .gang = true },
          { .count = 9, .accelerators = 1 },
          { .count = 7, .accelerators = 4, .gang = true, .one_rack = true } };
  struct setup polled;
  struct setup unpolled;
  uint32_t k;
  size_t i;

  set_up (&polled, one_speed, WORKERS);
  set_up (&unpolled, one_speed, WORKERS);
  teach (&polled, WORKERS);
  unpolled.now_ms = polled.now_ms;
  for (k = 0; k < 30; k++)
    {
      const char *queue = k % 2 == 0 ? "batch" : "urgent";
      struct jb_job *left = place_job (&polled, queue, &steps[k % 3]);
      struct jb_job *right = place_job (&unpolled, queue, &steps[k % 3]);

      for (i = 0; i < left->task_total; i++)
        CU_ASSERT_STRING_EQUAL (left->tasks[i].worker, right->tasks[i].worker);
      polled.now_ms += 1000;
      unpolled.now_ms += 1000;
      report_progress (&polled, left);
      if (k % 4 == 0)
        {
          end_job (&polled, left);
          end_job (&unpolled, right);
        }
    }
  CU_ASSERT_FALSE (sd_speeds (polled.sched).uneven);
  tear_down (&polled);
  tear_down (&unpolled);
}

static void
test_urgent_gangs_take_fast_workers (void)
{
  const struct fixture_step gang
      = { .count = 5, .accelerators = 8, .gang = true };
  struct setup setup;

  set_up (&setup, three_speeds, WORKERS);
  teach (&setup, WORKERS);
  CU_ASSERT_EQUAL (count_fast (&setup, place_job (&setup, "batch", &gang)), 0);
  CU_ASSERT_EQUAL (count_fast (&setup, place_job (&setup, "urgent", &gang)),
                   5);
  CU_ASSERT_TRUE (sd_speeds (setup.sched).uneven);
  tear_down (&setup);
}

/* The fast workers are no help for a gang that needs more than these.  */
static void
test_a_gang_is_of_one_speed (void)
{
  const struct fixture_step gang
      = { .count = 5, .accelerators = 8, .gang = true };
  struct setup setup;

  set_up (&setup, three_speeds, 12);
  teach (&setup, 12); /* 4 of 12 are fast */
  CU_ASSERT_EQUAL (count_fast (&setup, place_job (&setup, "urgent", &gang)),
                   0);
  tear_down (&setup);
}

/* Of a gang that prefers one rack, the rack counts first.  */
static void
test_a_gang_of_one_rack (void)
{
  const struct fixture_step gang
      = { .count = 7, .accelerators = 8, .gang = true, .one_rack = true };
  struct setup setup;
  struct jb_job *job;
  size_t i;

  set_up (&setup, three_speeds, WORKERS);
  teach (&setup, WORKERS);
  job = place_job (&setup, "urgent", &gang);
  for (i = 1; i < job->task_total; i++)
    CU_ASSERT_EQUAL (index_of (&setup, &job->tasks[i]) / 20,
                     index_of (&setup, &job->tasks[0]) / 20);
  tear_down (&setup);
}

static void
test_slow_workers_are_used_when_others_are_full (void)
{
  const struct fixture_step wide = { .count = 18, .accelerators = 8 };
  const struct fixture_step gang
      = { .count = 4, .accelerators = 8, .gang = true };
  struct setup setup;
  struct jb_job *job;

  set_up (&setup, three_speeds, 30);
  teach (&setup, 30); /* 10 of 30 are fast */
  job = place_job (&setup, "urgent", &gang);
  CU_ASSERT_EQUAL (count_fast (&setup, job), 4);
  job = place_job (&setup, "urgent", &wide);
  CU_ASSERT_EQUAL (jb_job_has_no_runs (job), false);
  CU_ASSERT_EQUAL (count_fast (&setup, job), 0);
  job = place_job (&setup, "batch", &gang);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_PLACED);
  tear_down (&setup);
}

/* A worker that has failed is not used for its speed.  */
static void
test_doubtful_workers_come_last (void)
{
  const struct fixture_step gang
      = { .count = 4, .accelerators = 8, .gang = true };
  struct setup setup;
  uint32_t i;

  set_up (&setup, three_speeds, 30);
  teach (&setup, 30);
  for (i = 2; i < 30; i += 3)
    ((struct sd_worker *)g_ptr_array_index (sd_workers (setup.sched), i))
        ->failure_streak
        = 1;
  CU_ASSERT_EQUAL (count_fast (&setup, place_job (&setup, "urgent", &gang)),
                   0);
  tear_down (&setup);
}

/* A worker that has just joined counts as neither slow nor fast.  */
static void
test_unknown_workers (void)
{
  const struct fixture_step gang
      = { .count = 6, .accelerators = 8, .gang = true };
  const struct fixture_step more
      = { .count = 8, .accelerators = 8, .gang = true };
  struct setup setup;
  struct jb_job *job;
  uint32_t unknown = 0;
  size_t i;

  set_up (&setup, three_speeds, 21);
  teach (&setup, 21); /* 7 of 21 are fast */
  for (i = 0; i < 8; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "new%zu", i);
      fixture_worker (setup.sched, id, "r9", 8);
    }
  job = place_job (&setup, "urgent", &gang);
  CU_ASSERT_EQUAL (count_fast (&setup, job), 6);
  job = place_job (&setup, "urgent", &more);
  for (i = 0; i < job->task_total; i++)
    unknown += index_of (&setup, &job->tasks[i]) >= 21;
  CU_ASSERT_EQUAL (unknown, 8);
  tear_down (&setup);
}

/* Progress that was made before this planner's term says nothing of the
   rate.  */
static void
test_a_takeover (void)
{
  const struct fixture_step step
      = { .count = 30, .accelerators = 8, .gang = true };
  struct setup setup;
  struct jb_job *job;
  uint32_t i;

  set_up (&setup, three_speeds, 30);
  job = place_job (&setup, "batch", &step);
  setup.now_ms += 1000;
  sd_begin_term (setup.sched, setup.now_ms);
  for (i = 0; i < 30; i++)
    {
      sd_worker_set_reachability (
          g_ptr_array_index (sd_workers (setup.sched), i),
          SD_WORKER_REACHABLE);
      job->tasks[i].confirmed = false;
      job->tasks[i].started_ms = 0;
      sd_task_running (setup.sched, &job->tasks[i], setup.now_ms);
      sd_task_progress (setup.sched, &job->tasks[i], 10 + i % 3, setup.now_ms);
    }
  setup.now_ms += 1000;
  for (i = 0; i < 30; i++)
    sd_task_progress (
        setup.sched, &job->tasks[i],
        10 + i % 3
            + (int64_t)(25
                        * three_speeds[index_of (&setup, &job->tasks[i]) % 3]),
        setup.now_ms);
  fixture_run_round (setup.sched, setup.now_ms);
  CU_ASSERT_TRUE (sd_speeds (setup.sched).uneven);
  CU_ASSERT_TRUE (
      sd_worker_speed (setup.sched,
                       g_ptr_array_index (sd_workers (setup.sched), 2))
      > 1.4);
  tear_down (&setup);
}

/* The next planner has no workers yet when it reads the record.  */
static void
test_a_record_for_the_next_planner (void)
{
  static const uint8_t odd[] = { 1, 2, 3 };
  static const uint8_t unknown[] = { 9, 1, 2, 3 };
  const struct fixture_step gang
      = { .count = 5, .accelerators = 8, .gang = true };
  struct setup former;
  struct setup next;
  GByteArray *record;
  uint32_t i;

  set_up (&former, three_speeds, WORKERS);
  CU_ASSERT_PTR_NULL (sd_speeds_record (former.sched, 100000));
  teach (&former, WORKERS);
  fixture_run_round (former.sched, former.now_ms);
  record = sd_speeds_record (former.sched, 200000);
  CU_ASSERT_PTR_NOT_NULL_FATAL (record);
  if (record == NULL)
    return;
  CU_ASSERT_EQUAL (record->len, 1 + 3 * WORKERS);
  CU_ASSERT_PTR_NULL (sd_speeds_record (former.sched, 300000));
  set_up (&next, three_speeds, 0);
  next.now_ms = 1000000;
  CU_ASSERT_FALSE (sd_speeds_restore (next.sched, odd, sizeof odd, 0));
  CU_ASSERT_FALSE (sd_speeds_restore (next.sched, unknown, sizeof unknown, 0));
  CU_ASSERT_FALSE (sd_speeds_restore (next.sched, odd, 0, 0));
  CU_ASSERT_TRUE (
      sd_speeds_restore (next.sched, record->data, record->len, next.now_ms));
  g_byte_array_free (record, TRUE);
  for (i = 0; i < WORKERS; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "w%02u", i);
      fixture_worker (next.sched, id, "r0", 8);
    }
  CU_ASSERT_EQUAL (count_fast (&next, place_job (&next, "urgent", &gang)), 5);
  CU_ASSERT_PTR_NULL (sd_speeds_record (next.sched, 2000000));
  tear_down (&former);
  tear_down (&next);
}

/* Members that are slower by no more than their workers are not restarted;
   SLOW_FACTOR would be reached without the speeds, since tasks differ too.  */
static void
test_a_mixed_gang_is_not_stopped (void)
{
  const struct fixture_step gang
      = { .count = 12, .accelerators = 8, .gang = true };
  struct setup setup;
  struct jb_job *job;
  size_t i;

  set_up (&setup, three_speeds, 12);
  teach (&setup, 12);
  job = place_job (&setup, "urgent", &gang);
  setup.now_ms += 2000;
  for (i = 0; i < 12; i++)
    sd_task_progress (setup.sched, &job->tasks[i],
                      index_of (&setup, &job->tasks[i]) % 3 == 2 ? 60 : 18,
                      setup.now_ms);
  for (i = 0; i < 12; i++)
    CU_ASSERT_EQUAL (job->tasks[i].state, JB_TASK_PLACED);
  tear_down (&setup);
}

/* The run time that is learned for a queue is free of the workers' speed.  */
static void
test_run_times_are_free_of_speed (void)
{
  const struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct setup setup;
  uint32_t i;

  set_up (&setup, three_speeds, 12);
  teach (&setup, 12);
  for (i = 0; i < 40; i++)
    {
      struct jb_job *job = place_job (&setup, "urgent", &one);
      size_t worker = index_of (&setup, &job->tasks[0]);

      setup.now_ms += (int64_t)(WORK_MS / three_speeds[worker % 3]);
      end_job (&setup, job);
    }
  /* All have run on fast workers, and yet a slow one is known to be in time
     for patient work.  */
  CU_ASSERT_EQUAL (count_fast (&setup, place_job (&setup, "batch", &one)), 0);
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "three speeds are learned", test_three_speeds_are_learned },
    { "tails are not taken for speed", test_tails_are_not_taken_for_speed },
    { "a speed that changes", test_a_speed_that_changes },
    { "what neighbours take is not speed",
      test_what_neighbours_take_is_not_speed },
    { "equal workers are used as before",
      test_equal_workers_are_used_as_before },
    { "urgent gangs take fast workers", test_urgent_gangs_take_fast_workers },
    { "a gang is of one speed", test_a_gang_is_of_one_speed },
    { "a gang of one rack", test_a_gang_of_one_rack },
    { "slow workers are used when others are full",
      test_slow_workers_are_used_when_others_are_full },
    { "doubtful workers come last", test_doubtful_workers_come_last },
    { "unknown workers", test_unknown_workers },
    { "a takeover", test_a_takeover },
    { "a record for the next planner", test_a_record_for_the_next_planner },
    { "a mixed gang is not stopped", test_a_mixed_gang_is_not_stopped },
    { "run times are free of speed", test_run_times_are_free_of_speed },
  };

  return check_run ("hostd speed", tests, G_N_ELEMENTS (tests));
}
