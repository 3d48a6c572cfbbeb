/* Tests of the pace of best-effort tasks that run beside a serving task, on a
   simulated worker whose tail of response times grows with their pace.  */

#include "check.h"
#include "hostd_fixture.h"

enum
{
  TARGET_MS = 100,
  OVER_TARGET_TAIL_MS = 200,
  POLL_INTERVAL_MS = 500,
  PACING_MS = 100, /* until a pace command takes effect */
  /* The platform's bound for how long best-effort tasks may keep a tail over
     its target.  */
  OVER_TARGET_MAX_MS = 4000,
  RUN_MS = 60000 /* simulated time */
};

struct setup
{
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct sd_worker *worker;
  struct jb_task *serving_task;
  struct jb_task *best_effort_task;
};

static struct jb_task *
add_task (struct setup *setup, const char *id, const char *queue, bool fills)
{
  struct fixture_step step = { .count = 1 };
  struct jb_spec *spec = fixture_spec (queue, "clinic", &step);
  struct jb_job *job;

  spec->steps[0].best_effort = fills;
  spec->steps[0].tail_target_ms = fills ? 0 : TARGET_MS;
  spec->steps[0].long_lived = !fills;
  spec->steps[0].resources.cpus_milli = 64000;
  job = jb_table_add (setup->table, id, spec, 0);
  sd_job_added (setup->sched, job);
  return &job->tasks[0];
}

static void
set_up (struct setup *setup)
{
  struct sd_params params
      = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };

  memset (setup, 0, sizeof *setup);
  setup->table = jb_table_create ();
  setup->sched = sd_create (&params, setup->table);
  setup->catalog = fixture_catalog ();
  sd_set_catalog (setup->sched, setup->catalog);
  setup->worker = fixture_worker (setup->sched, "w1", "r1", 8);
  setup->serving_task = add_task (setup, "00000000000000a1", "urgent", false);
  setup->best_effort_task
      = add_task (setup, "00000000000000a2", "batch", true);
  /* The serving task takes all processors; jb_table_add () counts none for a
     best-effort task.  */
  CU_ASSERT_EQUAL (fixture_run_round (setup->sched, 0), 2);
  sd_task_running (setup->sched, setup->serving_task, 0);
  sd_task_running (setup->sched, setup->best_effort_task, 0);
}

static void
tear_down (struct setup *setup)
{
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
}

/* One status poll that reports TAIL_MS; the pace commands that follow are
   carried out unless LOST.
   @return : how many commands there were.  */
static guint
poll_worker (struct setup *setup, int64_t now_ms, int64_t tail_ms, bool lost)
{
  GArray *commands
      = g_array_new (FALSE, FALSE, sizeof (struct sd_pace_command));
  guint count;
  guint i;

  setup->serving_task->reported_load = tail_ms;
  sd_pace_worker (setup->worker, now_ms, commands);
  count = commands->len;
  for (i = 0; i < commands->len && !lost; i++)
    {
      struct sd_pace_command *command
          = &g_array_index (commands, struct sd_pace_command, i);

      sd_task_paced (command->task, command->percent);
    }
  g_array_free (commands, TRUE);
  return count;
}

/* Simulates RUN_MS.  The tail is 60 ms without the best-effort task; at its
   full pace it grows by SLOWDOWN_MS, of which there is one value for every
   15 s.  Sets WORKED_MS to the time that the best-effort task would have taken
   for its work at full speed.
   @return : the longest time in ms over the target.  */
static int64_t
simulate (struct setup *setup, const int64_t *slowdown_ms, int64_t *worked_ms)
{
  int64_t over_since_ms = -1;
  int64_t longest_ms = 0;
  int64_t now_ms;

  *worked_ms = 0;
  for (now_ms = POLL_INTERVAL_MS; now_ms < RUN_MS; now_ms += POLL_INTERVAL_MS)
    {
      int64_t full_slowdown_ms = slowdown_ms[now_ms / 15000];
      int64_t tail_ms
          = 60
            + full_slowdown_ms * (int64_t)setup->best_effort_task->pace / 100;

      if (tail_ms <= TARGET_MS)
        over_since_ms = -1;
      else if (over_since_ms < 0)
        over_since_ms = now_ms;
      if (over_since_ms >= 0)
        longest_ms
            = MAX (longest_ms, now_ms - over_since_ms + POLL_INTERVAL_MS);
      *worked_ms += setup->best_effort_task->pace * POLL_INTERVAL_MS / 100;
      poll_worker (setup, now_ms, tail_ms, false);
    }
  return longest_ms;
}

static void
test_tails_return_below_target_in_time (void)
{
  static const int64_t slowdown_ms[] = { 20, 300, 80, 500 };
  struct setup setup;
  int64_t worked_ms;

  set_up (&setup);
  CU_ASSERT_TRUE (simulate (&setup, slowdown_ms, &worked_ms)
                  <= OVER_TARGET_MAX_MS / 2 - PACING_MS);
  /* The best-effort task does make progress.  */
  CU_ASSERT_TRUE (worked_ms > RUN_MS / 5);
  tear_down (&setup);
}

static void
test_tasks_without_effect_run_at_full_speed (void)
{
  static const int64_t slowdown_ms[] = { 5, 5, 5, 5 };
  struct setup setup;
  int64_t worked_ms;

  set_up (&setup);
  CU_ASSERT_EQUAL (simulate (&setup, slowdown_ms, &worked_ms), 0);
  CU_ASSERT_TRUE (worked_ms > RUN_MS * 9 / 10);
  tear_down (&setup);
}

static void
test_lost_pace_command_is_resent (void)
{
  struct setup setup;

  set_up (&setup);
  CU_ASSERT_EQUAL (poll_worker (&setup, 1000, OVER_TARGET_TAIL_MS, true), 1);
  CU_ASSERT_EQUAL (poll_worker (&setup, 1100, OVER_TARGET_TAIL_MS, true), 0);
  CU_ASSERT_EQUAL (poll_worker (&setup, 1500, OVER_TARGET_TAIL_MS, false), 1);
  CU_ASSERT_EQUAL (setup.best_effort_task->pace, 0);
  CU_ASSERT_EQUAL (poll_worker (&setup, 2000, OVER_TARGET_TAIL_MS, false), 0);
  tear_down (&setup);
}

static void
test_unshared_task_runs_at_full_speed (void)
{
  struct setup setup;

  set_up (&setup);
  poll_worker (&setup, 1000, OVER_TARGET_TAIL_MS, false);
  CU_ASSERT_EQUAL (setup.best_effort_task->pace, 0);
  sd_task_ended (setup.sched, setup.serving_task, SD_OUTCOME_STOPPED, "", 1500,
                 0);
  CU_ASSERT_FALSE (sd_worker_is_shared (setup.worker));
  poll_worker (&setup, 2000, 0, false);
  CU_ASSERT_EQUAL (setup.best_effort_task->pace, 100);
  tear_down (&setup);
}

/* A planner that takes the term over does not know which pace its predecessor
   commanded, so it starts with paused best-effort tasks.  */
static void
test_new_term_starts_with_paused_tasks (void)
{
  struct setup setup;

  set_up (&setup);
  sd_begin_term (setup.sched, 1000);
  sd_task_running (setup.sched, setup.serving_task, 1000);
  sd_task_running (setup.sched, setup.best_effort_task, 1000);
  CU_ASSERT_EQUAL (poll_worker (&setup, 1100, 90, false), 1);
  CU_ASSERT_EQUAL (setup.best_effort_task->pace, 0);
  tear_down (&setup);
}

static void
test_best_effort_tasks_avoid_serving_workers (void)
{
  struct setup setup;
  struct jb_task *other;

  set_up (&setup);
  fixture_worker (setup.sched, "w0", "r1", 8);
  fixture_worker (setup.sched, "w2", "r1", 8);
  other = add_task (&setup, "00000000000000a3", "batch", true);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, 10), 1);
  CU_ASSERT_STRING_NOT_EQUAL (other->worker, "w1");
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "tails return below their target in time",
      test_tails_return_below_target_in_time },
    { "best-effort tasks without effect on tails run at full speed",
      test_tasks_without_effect_run_at_full_speed },
    { "a lost pace command is resent", test_lost_pace_command_is_resent },
    { "a best-effort task without a serving one runs at full speed",
      test_unshared_task_runs_at_full_speed },
    { "a new term starts with paused tasks",
      test_new_term_starts_with_paused_tasks },
    { "best-effort tasks avoid workers with serving tasks",
      test_best_effort_tasks_avoid_serving_workers },
  };

  return check_run ("hostd pace", tests, G_N_ELEMENTS (tests));
}
