/* Tests of the scheduling core: order, placement, preemption, health.  Loads
   on which a benchmark run showed a fault are replayed at a small size.  */

#include "check.h"
#include "hostd_fixture.h"
#include "jobs/records.h"

enum
{
  FAR_FACTOR = 3,
  STOP_MS = 200,
  RANDOM_EVENTS = 6000
};

struct setup
{
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
};

static void
set_up (struct setup *setup)
{
  struct sd_params params
      = { .remote_slowdown_factor = FAR_FACTOR, .stop_max_ms = STOP_MS };

  setup->table = jb_table_create ();
  setup->sched = sd_create (&params, setup->table);
  setup->catalog = fixture_catalog ();
  sd_set_catalog (setup->sched, setup->catalog);
}

static void
tear_down (struct setup *setup)
{
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
}

static struct jb_job *
add_job (struct setup *setup, const char *id, const char *queue,
         const struct fixture_step *step, int64_t now_ms)
{
  struct jb_job *job = jb_table_add (
      setup->table, id, fixture_spec (queue, "clinic", step), now_ms);

  sd_job_added (setup->sched, job);
  return job;
}

static void
start_placed_tasks (struct setup *setup, struct jb_job *job, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < job->task_total; i++)
    if (job->tasks[i].state == JB_TASK_PLACED)
      sd_task_running (setup->sched, &job->tasks[i], now_ms);
}

static uint32_t
count_in (const struct jb_job *job, uint32_t state)
{
  uint32_t count = 0;
  size_t i;

  for (i = 0; i < job->task_total; i++)
    if (job->tasks[i].state == state)
      count++;
  return count;
}

/* --- Slow workers --- */

/* A gang of three tasks on three workers.  After two seconds the last task has
   reported PERCENT, the others 60 percent.  */
static struct jb_job *
add_slow_gang (struct setup *setup, int64_t percent)
{
  struct fixture_step step = { .count = 3, .accelerators = 8, .gang = true };
  struct jb_job *job;

  fixture_worker (setup->sched, "w1", "r1", 8);
  fixture_worker (setup->sched, "w2", "r1", 8);
  fixture_worker (setup->sched, "w3", "r1", 8);
  job = add_job (setup, "00000000000000e1", "urgent", &step, 0);
  fixture_run_round (setup->sched, 0);
  start_placed_tasks (setup, job, 1);
  sd_task_progress (setup->sched, &job->tasks[0], 60, 2000);
  sd_task_progress (setup->sched, &job->tasks[1], 60, 2000);
  sd_task_progress (setup->sched, &job->tasks[2], percent, 2000);
  return job;
}

/* Guards against gangs that stay on a slow worker: in a benchmark with the
   fault srv_slow alone a sixth of the workers were 6.5 times slower for 7 s,
   and a gang with one member there took 10 s instead of 2.5 s.  */
static void
test_gang_leaves_a_slow_worker (void)
{
  struct setup setup;
  struct jb_job *job;
  const char *slow;

  set_up (&setup);
  job = add_slow_gang (&setup, 9);
  slow = job->tasks[2].worker;
  CU_ASSERT_EQUAL (count_in (job, JB_TASK_STOPPING), 3);
  CU_ASSERT_TRUE (sd_worker_find (setup.sched, slow)->avoid_until_ms > 2000);
  tear_down (&setup);
}

static void
test_uneven_gang_is_not_stopped (void)
{
  struct setup setup;
  struct jb_job *job;

  set_up (&setup);
  job = add_slow_gang (&setup, 30);
  CU_ASSERT_EQUAL (count_in (job, JB_TASK_STOPPING), 0);
  CU_ASSERT_EQUAL (
      sd_worker_find (setup.sched, job->tasks[2].worker)->avoid_until_ms, 0);
  tear_down (&setup);
}

/* A slow gang that is nearly done is not stopped; its slow worker is avoided.
 */
static void
test_nearly_done_gang_is_not_stopped (void)
{
  struct setup setup;
  struct jb_job *job;

  set_up (&setup);
  job = add_slow_gang (&setup, 30);
  sd_task_progress (setup.sched, &job->tasks[0], 99, 2500);
  sd_task_progress (setup.sched, &job->tasks[1], 99, 2500);
  sd_task_progress (setup.sched, &job->tasks[2], 80, 7000);
  CU_ASSERT_EQUAL (count_in (job, JB_TASK_STOPPING), 0);
  CU_ASSERT_TRUE (
      sd_worker_find (setup.sched, job->tasks[2].worker)->avoid_until_ms > 0);
  tear_down (&setup);
}

/* The median counts, whatever the fastest task does.  */
static void
test_one_fast_task_does_not_make_others_slow (void)
{
  struct fixture_step step = { .count = 5, .accelerators = 8, .gang = true };
  struct setup setup;
  struct jb_job *job;
  size_t i;

  set_up (&setup);
  for (i = 0; i < 5; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "w%zu", i);
      fixture_worker (setup.sched, id, "r1", 8);
    }
  job = add_job (&setup, "00000000000000e1", "urgent", &step, 0);
  fixture_run_round (setup.sched, 0);
  start_placed_tasks (&setup, job, 1);
  for (i = 1; i < 5; i++)
    sd_task_progress (setup.sched, &job->tasks[i], 20, 2000);
  sd_task_progress (setup.sched, &job->tasks[0], 90, 2000);
  for (i = 1; i < 5; i++)
    sd_task_progress (setup.sched, &job->tasks[i], 21, 2050);
  CU_ASSERT_EQUAL (count_in (job, JB_TASK_STOPPING), 0);
  for (i = 1; i < 4; i++)
    sd_task_progress (setup.sched, &job->tasks[i], 90, 2100);
  sd_task_progress (setup.sched, &job->tasks[4], 22, 2100);
  CU_ASSERT_EQUAL (count_in (job, JB_TASK_STOPPING), 5);
  tear_down (&setup);
}

/* --- Queues that are not configured --- */

/* Guards against a job that is shown as failed after one failure, though its
   queue allowed two: the operator had removed the queue meanwhile.  */
static void
test_removed_queue_does_not_lower_the_attempt_limit (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct ct_catalog *without = fixture_catalog_without_batch ();
  struct jb_job *job;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  job = add_job (&setup, "0000000000000001", "batch", &one, 0);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 0), 1);
  sd_set_catalog (setup.sched, without);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1), 0);
  sd_task_ended (setup.sched, &job->tasks[0], SD_OUTCOME_FAILED, "", 2, 2);
  CU_ASSERT_NOT_EQUAL_FATAL (job->state, JB_FAILED);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 18000), 1);
  sd_task_ended (setup.sched, &job->tasks[0], SD_OUTCOME_FAILED, "", 18001,
                 18001);
  CU_ASSERT_EQUAL (job->state, JB_FAILED);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 27000), 0);
  tear_down (&setup);
  ct_catalog_free (without);
}

/* --- Absence limits of long-lived steps --- */

/* A long-lived step of three tasks that are up, each on a worker of its own.
 */
static struct jb_job *
add_long_lived_job (struct setup *setup, uint32_t absence_limit)
{
  struct fixture_step step = { .count = 3, .accelerators = 8 };
  struct jb_job *job;
  size_t i;

  fixture_worker (setup->sched, "w1", "r1", 8);
  fixture_worker (setup->sched, "w2", "r1", 8);
  fixture_worker (setup->sched, "w3", "r1", 8);
  job = add_job (setup, "00000000000000d1", "batch", &step, 0);
  job->spec->steps[0].long_lived = true;
  job->spec->steps[0].absence_limit = absence_limit;
  fixture_run_round (setup->sched, 0);
  start_placed_tasks (setup, job, 1);
  for (i = 0; i < job->task_total; i++)
    sd_task_progress (setup->sched, &job->tasks[i], 100, 2);
  return job;
}

static void
test_preemption_respects_absence_limit (void)
{
  struct setup setup;
  struct fixture_step urgent = { .count = 2, .accelerators = 8 };
  struct jb_job *job;

  set_up (&setup);
  job = add_long_lived_job (&setup, 1);
  add_job (&setup, "00000000000000d2", "urgent", &urgent, 10);
  fixture_run_round (setup.sched, 10);
  /* Stopping two tasks would exceed the limit of one.  */
  CU_ASSERT_EQUAL (count_in (job, JB_TASK_STOPPING), 0);
  tear_down (&setup);
  set_up (&setup);
  job = add_long_lived_job (&setup, 2);
  add_job (&setup, "00000000000000d2", "urgent", &urgent, 10);
  fixture_run_round (setup.sched, 10);
  CU_ASSERT_EQUAL (count_in (job, JB_TASK_STOPPING), 2);
  tear_down (&setup);
}

static void
test_preemption_counts_absent_tasks (void)
{
  struct setup setup;
  struct fixture_step urgent = { .count = 1, .accelerators = 8 };
  struct jb_job *job;

  set_up (&setup);
  job = add_long_lived_job (&setup, 1);
  job->tasks[0].percent = 40; /* restarted, and not up yet */
  add_job (&setup, "00000000000000d2", "urgent", &urgent, 10);
  fixture_run_round (setup.sched, 10);
  CU_ASSERT_EQUAL (job->tasks[1].state, JB_TASK_PLACED);
  CU_ASSERT_EQUAL (job->tasks[2].state, JB_TASK_PLACED);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_STOPPING);
  tear_down (&setup);
}

/* --- Gangs --- */

static void
test_gang_is_placed_whole_or_not_at_all (void)
{
  struct setup setup;
  struct fixture_step gang = { .count = 3, .accelerators = 8, .gang = true };
  struct jb_job *job;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  fixture_worker (setup.sched, "w2", "r1", 8);
  job = add_job (&setup, "00000000000000a1", "batch", &gang, 0);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 0), 0);
  fixture_worker (setup.sched, "w3", "r2", 8);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1), 3);
  CU_ASSERT_EQUAL (count_in (job, JB_TASK_PLACED), 3);
  tear_down (&setup);
}

static void
test_gang_of_one_rack_waits_for_a_rack (void)
{
  struct setup setup;
  struct fixture_step gang
      = { .count = 2, .accelerators = 8, .gang = true, .one_rack = true };
  struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct jb_job *holder;
  struct jb_job *job;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  fixture_worker (setup.sched, "w2", "r1", 8);
  holder = add_job (&setup, "00000000000000b1", "batch", &one, 0);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 0), 1);
  fixture_worker (setup.sched, "w3", "r2", 8);
  job = add_job (&setup, "00000000000000b2", "batch", &one, 1);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1), 1);
  (void)job;
  job = add_job (&setup, "00000000000000b3", "batch", &gang, 2);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 2), 0);
  start_placed_tasks (&setup, holder, 3);
  sd_task_ended (setup.sched, &holder->tasks[0], SD_OUTCOME_DONE, "", 4, 4);
  fixture_run_round (setup.sched, 5);
  CU_ASSERT_EQUAL (
      count_in (job, JB_TASK_PLACED) + count_in (job, JB_TASK_WAITING), 2);
  tear_down (&setup);
}

/* Guards against a gang that waits beside idle workers: a gang that no rack
   can ever hold may use several racks, but one that one rack will hold once it
   is free has to wait, and was taken to show that no larger one fits.  */
static void
test_gang_that_waits_for_a_rack_does_not_hold_up_a_larger_one (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct fixture_step small
      = { .count = 3, .accelerators = 8, .gang = true, .one_rack = true };
  struct fixture_step large
      = { .count = 4, .accelerators = 8, .gang = true, .one_rack = true };
  struct jb_job *waiting;
  struct jb_job *job;
  char id[8];
  int i;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  add_job (&setup, "00000000000000b1", "batch", &one, 0);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 0), 1);
  fixture_worker (setup.sched, "w2", "r2", 8);
  add_job (&setup, "00000000000000b2", "batch", &one, 1);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1), 1);
  for (i = 3; i <= 6; i++)
    {
      g_snprintf (id, sizeof id, "w%d", i);
      fixture_worker (setup.sched, id, i <= 4 ? "r1" : "r2", 8);
    }
  waiting = add_job (&setup, "00000000000000b3", "batch", &small, 2);
  job = add_job (&setup, "00000000000000b4", "batch", &large, 3);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 4), 4);
  CU_ASSERT_EQUAL (count_in (waiting, JB_TASK_WAITING), 3);
  CU_ASSERT_EQUAL (count_in (job, JB_TASK_PLACED), 4);
  tear_down (&setup);
}

static void
test_gang_is_done_when_one_member_is (void)
{
  struct setup setup;
  struct fixture_step gang = { .count = 4, .accelerators = 2, .gang = true };
  struct jb_job *job;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  job = add_job (&setup, "00000000000000c1", "batch", &gang, 0);
  fixture_run_round (setup.sched, 0);
  start_placed_tasks (&setup, job, 1);
  sd_task_ended (setup.sched, &job->tasks[2], SD_OUTCOME_DONE, "", 2, 2);
  CU_ASSERT_EQUAL (job->state, JB_COMPLETED);
  CU_ASSERT_EQUAL (
      sd_worker_find (setup.sched, "w1")->used_resources.accelerators, 0);
  tear_down (&setup);
}

static void
test_gang_counts_a_failure_once (void)
{
  struct setup setup;
  struct fixture_step gang = { .count = 2, .accelerators = 2, .gang = true };
  struct jb_job *job;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  job = add_job (&setup, "00000000000000d1", "batch", &gang, 0);
  fixture_run_round (setup.sched, 0);
  start_placed_tasks (&setup, job, 1);
  sd_task_ended (setup.sched, &job->tasks[0], SD_OUTCOME_FAILED, "", 2, 2);
  CU_ASSERT_EQUAL (job->tasks[1].state, JB_TASK_STOPPING);
  /* The other member is still on the worker.  */
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 3), 0);
  sd_task_ended (setup.sched, &job->tasks[1], SD_OUTCOME_GANG_MEMBER_LOST, "",
                 4, 4);
  CU_ASSERT_EQUAL (job->state, JB_RUNNING);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 5), 2);
  CU_ASSERT_EQUAL (job->tasks[0].run, 2);
  CU_ASSERT_EQUAL (job->tasks[1].run, 2);
  sd_task_ended (setup.sched, &job->tasks[1], SD_OUTCOME_FAILED, "", 6, 6);
  CU_ASSERT_EQUAL (job->state, JB_FAILED);
  tear_down (&setup);
}

/* --- Preemption --- */

/* Replays the bursts of route-match on scale-1: other work has borrowed all
   resources when an urgent gang arrives.  The youngest work is stopped, and
   only as much of it as needed.  */
static void
test_urgent_gang_preempts_youngest_work (void)
{
  struct setup setup;
  struct fixture_step small = { .count = 1, .accelerators = 8 };
  struct fixture_step gang
      = { .count = 1, .accelerators = 8, .gang = true, .one_rack = true };
  struct jb_job *old;
  struct jb_job *young;
  struct jb_job *urgent;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  fixture_worker (setup.sched, "w2", "r1", 8);
  old = add_job (&setup, "00000000000000e1", "batch", &small, 100);
  fixture_run_round (setup.sched, 100);
  start_placed_tasks (&setup, old, 100);
  young = add_job (&setup, "00000000000000e2", "batch", &small, 5000);
  fixture_run_round (setup.sched, 5000);
  start_placed_tasks (&setup, young, 5000);
  urgent = add_job (&setup, "00000000000000e3", "urgent", &gang, 6000);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 6000), 0);
  CU_ASSERT_EQUAL (young->tasks[0].state, JB_TASK_STOPPING);
  CU_ASSERT_EQUAL (old->tasks[0].state, JB_TASK_PLACED);
  sd_task_ended (setup.sched, &young->tasks[0], SD_OUTCOME_STOPPED, "", 6200,
                 0);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 6201), 1);
  CU_ASSERT_EQUAL (urgent->tasks[0].state, JB_TASK_PLACED);
  CU_ASSERT_EQUAL (young->tasks[0].state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* Guards against lost preemptions: on the grown site the resources that the
   victims of one unit had freed went to another unit, earlier in the order. */
static void
test_resources_of_pending_preemption_are_kept (void)
{
  struct setup setup;
  struct fixture_step small = { .count = 1, .accelerators = 8 };
  struct jb_job *borrower;
  struct jb_job *first;
  struct jb_job *second;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  borrower = add_job (&setup, "00000000000000f1", "batch", &small, 0);
  fixture_run_round (setup.sched, 0);
  start_placed_tasks (&setup, borrower, 0);
  first = add_job (&setup, "00000000000000f2", "urgent", &small, 100);
  fixture_run_round (setup.sched, 100);
  CU_ASSERT_EQUAL (borrower->tasks[0].state, JB_TASK_STOPPING);
  second = add_job (&setup, "00000000000000f0", "urgent", &small, 100);
  sd_task_ended (setup.sched, &borrower->tasks[0], SD_OUTCOME_STOPPED, "", 300,
                 0);
  fixture_run_round (setup.sched, 301);
  CU_ASSERT_EQUAL (first->tasks[0].state, JB_TASK_PLACED);
  CU_ASSERT_EQUAL (second->tasks[0].state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* --- Health --- */

static void
fail_one_job (struct setup *setup, const char *id, int64_t now_ms)
{
  struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct jb_job *job = add_job (setup, id, "batch", &one, now_ms);

  fixture_run_round (setup->sched, now_ms);
  if (job->tasks[0].state == JB_TASK_PLACED)
    sd_task_ended (setup->sched, &job->tasks[0], SD_OUTCOME_FAILED, "", now_ms,
                   now_ms);
  sd_job_cancelled (setup->sched, job, now_ms);
}

/* Replays the fault srv_grey (errors): all runs on a worker fail, here those
   of two jobs in a row.  */
static void
test_worker_that_fails_two_jobs_is_avoided (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct jb_job *job;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  fail_one_job (&setup, "0000000000000001", 0);
  fail_one_job (&setup, "0000000000000002", 10);
  job = add_job (&setup, "0000000000000003", "batch", &one, 20);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 20), 0);
  /* After SD_AVOID_MS the worker is tried again.  */
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 7000), 1);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_PLACED);
  tear_down (&setup);
}

/* Adds workers w1 to w8 of one rack, each with 8 accelerators.  */
static void
add_eight_workers (struct setup *setup)
{
  char id[8];
  int i;

  for (i = 1; i <= 8; i++)
    {
      g_snprintf (id, sizeof id, "w%d", i);
      fixture_worker (setup->sched, id, "r1", 8);
    }
}

/* Replays a fleet where one worker in eight fails all that it starts and looks
   well (srv_grey): the jobs that fail there must not meet it again, for their
   next failure there would fail them.  */
static void
test_last_attempt_avoids_a_worker_that_failed (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct fixture_step rest = { .count = 7, .accelerators = 8 };
  struct jb_job *victim;
  struct jb_job *other;
  char *bad;
  int64_t now_ms;

  set_up (&setup);
  add_eight_workers (&setup);
  victim = add_job (&setup, "0000000000000001", "batch", &one, 0);
  fixture_run_round (setup.sched, 0);
  bad = g_strdup (victim->tasks[0].worker);
  other = add_job (&setup, "0000000000000002", "batch", &rest, 1);
  fixture_run_round (setup.sched, 1); /* takes all other workers */
  sd_task_ended (setup.sched, &victim->tasks[0], SD_OUTCOME_FAILED, "", 2, 2);
  for (now_ms = 10; now_ms < 9000; now_ms += 1000)
    CU_ASSERT_EQUAL (fixture_run_round (setup.sched, now_ms), 0);
  sd_task_ended (setup.sched, &other->tasks[0], SD_OUTCOME_DONE, "", 9001,
                 9001);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 9002), 1);
  CU_ASSERT_STRING_NOT_EQUAL (victim->tasks[0].worker, bad);
  g_free (bad);
  tear_down (&setup);
}

/* Guards against jobs that wait beside an idle worker: a job on its last
   attempt does not use a worker that has failed lately, for 10 s, and for as
   long no other job of its size was placed there either.  */
static void
test_last_attempt_does_not_hold_up_other_jobs (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct fixture_step rest = { .count = 7, .accelerators = 8 };
  struct jb_job *victim;
  struct jb_job *later;

  set_up (&setup);
  add_eight_workers (&setup);
  victim = add_job (&setup, "0000000000000001", "batch", &one, 0);
  fixture_run_round (setup.sched, 0);
  add_job (&setup, "0000000000000002", "batch", &rest, 1);
  fixture_run_round (setup.sched, 1); /* takes all other workers */
  sd_task_ended (setup.sched, &victim->tasks[0], SD_OUTCOME_FAILED, "", 2, 2);
  later = add_job (&setup, "0000000000000003", "batch", &one, 10);
  /* The worker is suspect for all jobs for 1.5 s.  */
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1000), 0);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 2000), 1);
  CU_ASSERT_EQUAL (later->tasks[0].state, JB_TASK_PLACED);
  CU_ASSERT_EQUAL (victim->tasks[0].state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* One failure may be the job's own fault.  */
static void
test_suspect_worker_is_avoided_for_a_short_time (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct fixture_step rest = { .count = 7, .accelerators = 8 };
  struct jb_job *job;

  set_up (&setup);
  add_eight_workers (&setup);
  job = add_job (&setup, "0000000000000001", "batch", &one, 0);
  fixture_run_round (setup.sched, 0);
  add_job (&setup, "0000000000000002", "batch", &rest, 1);
  fixture_run_round (setup.sched, 1);
  sd_task_ended (setup.sched, &job->tasks[0], SD_OUTCOME_FAILED, "", 2, 2);
  sd_job_cancelled (setup.sched, job, 3);
  add_job (&setup, "0000000000000003", "batch", &one, 4);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 5), 0);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1600), 1);
  tear_down (&setup);
}

static void
test_job_that_fails_twice_is_not_the_worker_s_fault (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 4 };
  struct jb_job *job;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  job = add_job (&setup, "0000000000000011", "batch", &one, 0);
  fixture_run_round (setup.sched, 0);
  sd_task_ended (setup.sched, &job->tasks[0], SD_OUTCOME_FAILED, "", 1, 1);
  fixture_run_round (setup.sched, 2);
  sd_task_ended (setup.sched, &job->tasks[0], SD_OUTCOME_FAILED, "", 3, 3);
  CU_ASSERT_EQUAL (job->state, JB_FAILED);
  add_job (&setup, "0000000000000012", "batch", &one, 4);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 4), 1);
  tear_down (&setup);
}

/* Replays the fault srv_grey (hang): the percentage of a task no longer
   changes.  */
static void
test_stalled_task_is_moved (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 8 };
  struct jb_job *job;
  char *before;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  fixture_worker (setup.sched, "w2", "r1", 8);
  job = add_job (&setup, "0000000000000021", "batch", &one, 0);
  fixture_run_round (setup.sched, 0);
  before = g_strdup (job->tasks[0].worker);
  start_placed_tasks (&setup, job, 10);
  sd_task_progress (setup.sched, &job->tasks[0], 20, 1000);
  sd_task_progress (setup.sched, &job->tasks[0], 20, 2000);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_PLACED);
  sd_task_progress (setup.sched, &job->tasks[0], 20, 2900);
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_STOPPING);
  sd_task_ended (setup.sched, &job->tasks[0], SD_OUTCOME_STOPPED, "c1", 3000,
                 0);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 3001), 1);
  CU_ASSERT_STRING_NOT_EQUAL (job->tasks[0].worker, before);
  CU_ASSERT_STRING_EQUAL (job->tasks[0].checkpoint, "c1");
  CU_ASSERT_EQUAL (job->tasks[0].failures, 0);
  g_free (before);
  tear_down (&setup);
}

/* --- Steps, times, labels --- */

static void
test_step_waits_for_those_before_it (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 2, .accelerators = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &one);
  struct jb_job *job;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  spec->steps = g_renew (struct jb_step_spec, spec->steps, 2);
  spec->step_count = 2;
  spec->steps[1] = spec->steps[0];
  spec->steps[1].depends_on = g_new0 (uint32_t, 1);
  spec->steps[1].depends_on_count = 1;
  job = jb_table_add (setup.table, "0000000000000031", spec, 0);
  sd_job_added (setup.sched, job);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 0), 2);
  sd_task_ended (setup.sched, &job->tasks[0], SD_OUTCOME_DONE, "", 1, 1);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 1), 0);
  sd_task_ended (setup.sched, &job->tasks[1], SD_OUTCOME_DONE, "", 2, 2);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 2), 2);
  CU_ASSERT_EQUAL (job->state, JB_RUNNING);
  tear_down (&setup);
}

static void
test_occurrence_waits_for_its_time (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &one);
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  struct jb_job *job;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  spec->has_due_time = true;
  spec->occurrence_count = 2;
  spec->first_due_unix_ms = 1000;
  spec->occurrence_interval_ms = 500;
  job = jb_table_add (setup.table, "0000000000000041", spec, 0);
  sd_job_added (setup.sched, job);
  sd_round (setup.sched, 0, 999, &commands);
  CU_ASSERT_EQUAL (commands.starts->len, 0);
  sd_round (setup.sched, 0, 1000, &commands);
  CU_ASSERT_EQUAL (commands.starts->len, 1);
  sd_round (setup.sched, 0, 1500, &commands);
  CU_ASSERT_EQUAL (commands.starts->len, 2);
  CU_ASSERT_EQUAL (job->steps[1].tasks[0].state, JB_TASK_PLACED);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  tear_down (&setup);
}

static void
test_label_and_limit_per_worker (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 4, .accelerators = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &one);
  struct jb_job *job;
  struct sd_worker *worker;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  worker = fixture_worker (setup.sched, "w2", "r1", 8);
  g_strfreev (worker->report.labels);
  worker->report.labels = g_strsplit ("big,r1", ",", -1);
  spec->steps[0].label = g_strdup ("big");
  spec->steps[0].tasks_per_worker_limit = 3;
  job = jb_table_add (setup.table, "0000000000000051", spec, 0);
  sd_job_added (setup.sched, job);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 0), 3);
  CU_ASSERT_STRING_EQUAL (job->tasks[0].worker, "w2");
  tear_down (&setup);
}

static void
test_long_lived_task_is_restarted (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &one);
  struct jb_job *job;
  int64_t now_ms;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  spec->steps[0].long_lived = true;
  job = jb_table_add (setup.table, "0000000000000061", spec, 0);
  sd_job_added (setup.sched, job);
  for (now_ms = 0; now_ms < 5; now_ms++)
    {
      CU_ASSERT_EQUAL (fixture_run_round (setup.sched, now_ms), 1);
      sd_task_ended (setup.sched, &job->tasks[0],
                     now_ms % 2 == 0 ? SD_OUTCOME_FAILED : SD_OUTCOME_DONE, "",
                     now_ms, now_ms);
    }
  CU_ASSERT_EQUAL (job->state, JB_RUNNING);
  sd_job_cancelled (setup.sched, job, 10);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 11), 0);
  tear_down (&setup);
}

static void
test_draining_worker_gets_no_new_task (void)
{
  struct setup setup;
  struct fixture_step one = { .count = 1, .accelerators = 1 };
  struct sd_worker *worker;

  set_up (&setup);
  worker = fixture_worker (setup.sched, "w1", "r1", 8);
  worker->report.draining = true;
  add_job (&setup, "0000000000000071", "urgent", &one, 0);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 0), 0);
  tear_down (&setup);
}

/* --- Random events --- */

/* Resources in use match the placed tasks and fit; no gang is placed in part;
   no task of an ended job is placed.  */
static void
check_invariants (const struct setup *setup)
{
  const GPtrArray *workers = sd_workers (setup->sched);
  GHashTableIter iter;
  void *value;
  guint i;
  size_t k;
  uint32_t n;

  for (i = 0; i < workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (workers, i);
      struct jb_resources sum = { 0 };

      for (n = 0; n < worker->tasks->len; n++)
        {
          const struct jb_task *task = g_ptr_array_index (worker->tasks, n);

          sum.accelerators += task->step->spec->resources.accelerators;
        }
      CU_ASSERT_EQUAL (sum.accelerators, worker->used_resources.accelerators);
      CU_ASSERT_TRUE (sum.accelerators
                      <= worker->report.resources.accelerators);
    }
  g_hash_table_iter_init (&iter, setup->table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_job *job = value;

      for (k = 0; k < job->step_total; k++)
        {
          const struct jb_step *step = &job->steps[k];
          uint32_t placed = 0;
          uint32_t stopping = 0;

          for (n = 0; n < step->spec->count; n++)
            {
              placed += step->tasks[n].state == JB_TASK_PLACED;
              stopping += step->tasks[n].state == JB_TASK_STOPPING;
            }
          /* All of a gang is placed, or none of it.  */
          if (step->spec->gang)
            CU_ASSERT_TRUE (placed == 0 || placed == step->spec->count);
          if (jb_state_is_final (job->state))
            CU_ASSERT_EQUAL (placed, 0);
          (void)stopping;
        }
    }
}

static void
random_event (struct setup *setup, GRand *generator, int64_t now_ms,
              uint32_t number)
{
  static const enum sd_outcome ends[]
      = { SD_OUTCOME_DONE,           SD_OUTCOME_DONE,
          SD_OUTCOME_FAILED,         SD_OUTCOME_STOPPED,
          SD_OUTCOME_LEASE_EXPIRED,  SD_OUTCOME_GANG_MEMBER_LOST,
          SD_OUTCOME_GANG_INCOMPLETE };
  const GPtrArray *workers = sd_workers (setup->sched);
  struct sd_worker *worker = g_ptr_array_index (
      workers, (guint)g_rand_int_range (generator, 0, (gint32)workers->len));
  struct jb_task *task;
  char id[JB_ID_DIGITS + 1];

  if (g_rand_int_range (generator, 0, 3) == 0)
    {
      struct fixture_step step
          = { .count = (uint32_t)g_rand_int_range (generator, 1, 7),
              .accelerators = 1 << g_rand_int_range (generator, 0, 4),
              .gang = g_rand_boolean (generator),
              .one_rack = g_rand_boolean (generator) };

      g_snprintf (id, sizeof id, "%016x", number);
      add_job (setup, id, g_rand_boolean (generator) ? "urgent" : "batch",
               &step, now_ms);
      return;
    }
  if (worker->tasks->len == 0)
    return;
  task = g_ptr_array_index (
      worker->tasks,
      (guint)g_rand_int_range (generator, 0, (gint32)worker->tasks->len));
  switch (g_rand_int_range (generator, 0, 10))
    {
    case 0:
      sd_job_cancelled (setup->sched, task->job, now_ms);
      break;
    case 1:
      sd_task_lost (setup->sched, task, now_ms);
      break;
    case 2:
      if (task->state == JB_TASK_PLACED)
        sd_task_refused (setup->sched, task, SD_REFUSED_NO_RESOURCES, now_ms);
      break;
    default:
      sd_task_ended (
          setup->sched, task,
          ends[g_rand_int_range (generator, 0, G_N_ELEMENTS (ends))], "",
          now_ms, now_ms);
      break;
    }
}

static void
test_random_events (void)
{
  struct setup setup;
  GRand *generator = g_rand_new_with_seed (20261204);
  char id[8];
  char rack[8];
  uint32_t i;

  set_up (&setup);
  for (i = 0; i < 12; i++)
    {
      g_snprintf (id, sizeof id, "w%u", i);
      g_snprintf (rack, sizeof rack, "r%u", i / 4);
      fixture_worker (setup.sched, id, rack, 8);
    }
  for (i = 0; i < RANDOM_EVENTS; i++)
    {
      random_event (&setup, generator, (int64_t)i * 20, i);
      if (i % 3 == 0)
        fixture_run_round (setup.sched, (int64_t)i * 20);
      if (i % 50 == 0)
        check_invariants (&setup);
    }
  check_invariants (&setup);
  g_rand_free (generator);
  tear_down (&setup);
}

/* A host that takes the term over continues from the progress that its
   predecessor recorded.  */
/* While earlier starts wait to be sent.  */
static void
test_round_places_only_what_it_may (void)
{
  struct setup setup;
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  struct jb_job *batch;
  struct jb_job *urgent;

  set_up (&setup);
  fixture_worker (setup.sched, "w1", "r1", 8);
  batch = add_job (&setup, "00000000000000aa", "batch", &step, 0);
  urgent = add_job (&setup, "00000000000000bb", "urgent", &step, 0);
  commands.placing = SD_PLACE_NONE;
  sd_round (setup.sched, 10, 10, &commands);
  CU_ASSERT_EQUAL (commands.starts->len, 0);
  commands.placing = SD_PLACE_URGENT;
  sd_round (setup.sched, 20, 20, &commands);
  CU_ASSERT_EQUAL (commands.starts->len, 1);
  CU_ASSERT_EQUAL (urgent->tasks[0].state, JB_TASK_PLACED);
  CU_ASSERT_TRUE (commands.more);
  sd_job_cancelled (setup.sched, urgent, 30);
  commands.placing = SD_PLACE_NONE;
  sd_round (setup.sched, 30, 30, &commands);
  CU_ASSERT_EQUAL (commands.stops->len, 1);
  commands.placing = SD_PLACE_ALL;
  sd_round (setup.sched, 40, 40, &commands);
  CU_ASSERT_EQUAL (batch->tasks[0].state, JB_TASK_PLACED);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  tear_down (&setup);
}

static void
test_new_term_continues_from_recorded_progress (void)
{
  struct setup setup;
  struct setup other;
  struct fixture_step gang = { .count = 3, .accelerators = 2, .gang = true };
  struct jb_job *job;
  struct jb_job *copy;
  GByteArray *bytes;
  uint64_t term = 0;

  set_up (&setup);
  set_up (&other);
  fixture_worker (setup.sched, "w1", "r1", 8);
  job = add_job (&setup, "0000000000000081", "batch", &gang, 0);
  fixture_run_round (setup.sched, 0);
  start_placed_tasks (&setup, job, 1);
  bytes = jb_encode_progress (job, 7);
  copy = jb_table_add (other.table, "0000000000000081",
                       fixture_spec ("batch", "clinic", &gang), 0);
  CU_ASSERT_EQUAL (jb_apply_progress (copy, &term, bytes->data, bytes->len),
                   JB_OK);
  g_byte_array_free (bytes, TRUE);
  CU_ASSERT_EQUAL (jb_block_count (job), 1);
  bytes = jb_encode_block (job, 0);
  CU_ASSERT_EQUAL (jb_apply_block (copy, 0, bytes->data, bytes->len), JB_OK);
  CU_ASSERT_EQUAL (term, 7);
  sd_begin_term (other.sched, 10);
  CU_ASSERT_EQUAL (count_in (copy, JB_TASK_PLACED), 3);
  CU_ASSERT_EQUAL (copy->state, JB_RUNNING);
  CU_ASSERT_EQUAL (
      sd_worker_find (other.sched, "w1")->used_resources.accelerators, 6);
  CU_ASSERT_EQUAL (fixture_run_round (other.sched, 11), 0);
  g_byte_array_free (bytes, TRUE);
  tear_down (&other);
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "a round places only what it may", test_round_places_only_what_it_may },
    { "a removed queue does not lower the attempt limit",
      test_removed_queue_does_not_lower_the_attempt_limit },
    { "a gang leaves a slow worker", test_gang_leaves_a_slow_worker },
    { "an uneven gang is not stopped", test_uneven_gang_is_not_stopped },
    { "a gang that is nearly done is not stopped",
      test_nearly_done_gang_is_not_stopped },
    { "one fast task does not make others slow",
      test_one_fast_task_does_not_make_others_slow },
    { "preemption respects the absence limit",
      test_preemption_respects_absence_limit },
    { "preemption counts tasks that are absent already",
      test_preemption_counts_absent_tasks },
    { "a gang is placed as a whole or not at all",
      test_gang_is_placed_whole_or_not_at_all },
    { "a gang of one rack waits for a rack",
      test_gang_of_one_rack_waits_for_a_rack },
    { "a gang that waits for a rack does not hold up a larger one",
      test_gang_that_waits_for_a_rack_does_not_hold_up_a_larger_one },
    { "a gang is done when one member is done",
      test_gang_is_done_when_one_member_is },
    { "a gang counts a failure once", test_gang_counts_a_failure_once },
    { "an urgent gang preempts the youngest work",
      test_urgent_gang_preempts_youngest_work },
    { "resources of a pending preemption are kept",
      test_resources_of_pending_preemption_are_kept },
    { "a last attempt avoids a worker that failed",
      test_last_attempt_avoids_a_worker_that_failed },
    { "a last attempt does not hold up other jobs",
      test_last_attempt_does_not_hold_up_other_jobs },
    { "a suspect worker is avoided for a short time",
      test_suspect_worker_is_avoided_for_a_short_time },
    { "a worker that fails two jobs is avoided",
      test_worker_that_fails_two_jobs_is_avoided },
    { "a job that fails twice is not the worker's fault",
      test_job_that_fails_twice_is_not_the_worker_s_fault },
    { "a stalled task is moved to another worker",
      test_stalled_task_is_moved },
    { "a step waits for those before it",
      test_step_waits_for_those_before_it },
    { "an occurrence waits for its time", test_occurrence_waits_for_its_time },
    { "label and limit per worker", test_label_and_limit_per_worker },
    { "a long-lived task is restarted", test_long_lived_task_is_restarted },
    { "a draining worker gets no new task",
      test_draining_worker_gets_no_new_task },
    { "a new term continues from recorded progress",
      test_new_term_continues_from_recorded_progress },
    { "random events", test_random_events },
  };

  return check_run ("hostd sched", tests, G_N_ELEMENTS (tests));
}
