/* Simulated days of the scheduling core: no job waits for long beside free
   workers.  The platform requires that work whose turn has come starts within
   STANDING_MAX_MS while there is room for it twice over and less than half of
   the capacity is in use.  The days are drawn from a seed; with an argument,
   only the day of that seed is simulated.  */

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "check.h"
#include "hostd_fixture.h"

enum
{
  DAYS = 300,
  WORKERS = 48,
  WORKERS_PER_RACK = 8,
  ONE_RACK_TASKS_MAX = WORKERS_PER_RACK, /* of a gang that asks for one */
  WORKER_ACCELERATORS = 8,
  WORKER_CPUS_MILLI = 128000,
  WORKER_MEMORY_MIB = 262144,
  STEP_MS = 50,
  POLL_MS = 500, /* between reports of progress */
  TRAFFIC_END_MS = 25000,
  DAY_END_MS = 60000,
  /* The platform's time, less the time in which a start is recorded, sent and
     answered.  */
  STANDING_MAX_MS = 2500,
  REMOTE_FACTOR = 3,
  KINDS = 3,
  LOST_MIN_MS = 5000, /* of a worker that cannot be reached */
  LOST_MAX_MS = 60000
};

/* Kinds of jobs, with figures as in the platform's example deployment.  */
struct kind
{
  const char *queue;
  double per_s;
  uint32_t width_mean;
  uint32_t width_max;
  int64_t run_ms;
  struct jb_resources resources; /* accelerators: drawn, at most these */
  bool gang;
  uint32_t one_rack_percent;
};

static const struct kind kinds[KINDS] = {
  { .queue = "batch",
    .per_s = 0.63,
    .width_mean = 5,
    .width_max = 24,
    .run_ms = 8500,
    .resources
    = { .cpus_milli = 52000, .memory_mib = 140000, .accelerators = 8 },
    .gang = true,
    .one_rack_percent = 60 },
  { .queue = "urgent",
    .per_s = 1.91,
    .width_mean = 4,
    .width_max = 24,
    .run_ms = 2500,
    .resources
    = { .cpus_milli = 15000, .memory_mib = 31000, .accelerators = 8 },
    .gang = true,
    .one_rack_percent = 80 },
  { .queue = "batch",
    .per_s = 0.74,
    .width_mean = 16,
    .width_max = 94,
    .run_ms = 6100,
    .resources
    = { .cpus_milli = 11000, .memory_mib = 16000, .accelerators = 1 } },
};

/* A worker of the simulation, beside the core's own.  */
struct sim_worker
{
  struct sd_worker *worker;
  double speed;
  bool failing;         /* all runs end as failed */
  int64_t lost_from_ms; /* not reachable, and its runs are lost */
  int64_t lost_until_ms;
};

struct sim_job
{
  struct jb_job *job;
  int64_t run_ms;
  int64_t standing_since_ms; /* -1: does not stand */
};

struct day
{
  GRand *rand;
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct sim_worker workers[WORKERS];
  GArray *jobs; /* struct sim_job */
  int64_t now_ms;
  uint32_t faults; /* workers that have them */
  uint32_t violations;
  bool verbose;
};

/* --- The jobs --- */

static uint32_t
draw_width (struct day *day, const struct kind *kind)
{
  double width = -(double)kind->width_mean
                 * log1p (-g_rand_double_range (day->rand, 0.0, 0.999));

  return CLAMP ((uint32_t)width, 1, kind->width_max);
}

static void
add_job (struct day *day, const struct kind *kind)
{
  static const int64_t accelerators[] = { 1, 2, 4, 8, 8 };
  struct fixture_step step
      = { .count = draw_width (day, kind), .gang = kind->gang };
  char id[JB_ID_DIGITS + 1];
  struct sim_job added = { .standing_since_ms = -1 };
  struct jb_spec *spec;

  step.accelerators = accelerators[g_rand_int_range (
      day->rand, 0, G_N_ELEMENTS (accelerators))];
  step.accelerators = MIN (step.accelerators, kind->resources.accelerators);
  step.one_rack = kind->gang && step.count <= ONE_RACK_TASKS_MAX
                  && (uint32_t)g_rand_int_range (day->rand, 0, 100)
                         < kind->one_rack_percent;
  g_snprintf (id, sizeof id, "%016x", day->jobs->len + 1);
  spec = fixture_spec (kind->queue, "clinic", &step);
  spec->steps[0].resources = kind->resources;
  spec->steps[0].resources.accelerators = step.accelerators;
  added.run_ms = (int64_t)(g_rand_double_range (day->rand, 0.6, 1.5)
                           * (double)kind->run_ms);
  spec->steps[0].estimate_ms = (uint32_t)added.run_ms;
  added.job = jb_table_add (day->table, id, spec, day->now_ms);
  sd_job_added (day->sched, added.job);
  g_array_append_val (day->jobs, added);
}

static void
add_arrivals (struct day *day)
{
  size_t i;

  for (i = 0; i < KINDS; i++)
    if (g_rand_double (day->rand) < kinds[i].per_s * STEP_MS / 1000.0)
      add_job (day, &kinds[i]);
}

/* --- The workers --- */

static const struct sim_worker *
worker_of (const struct day *day, const struct jb_task *task)
{
  return &day->workers[sd_worker_find (day->sched, task->worker)->index];
}

/* How long a run of the task takes, by the slowest member of its gang.  */
static int64_t
run_time_ms (const struct day *day, const struct sim_job *sim,
             const struct jb_task *task)
{
  const struct jb_step *step = task->step;
  double slowest = worker_of (day, task)->speed;
  const char *rack = worker_of (day, task)->worker->report.rack;
  bool spread = false;
  uint32_t i;

  for (i = 0; step->spec->gang && i < step->spec->count; i++)
    {
      if (step->tasks[i].worker == NULL)
        continue;
      slowest = MIN (slowest, worker_of (day, &step->tasks[i])->speed);
      spread
          = spread
            || strcmp (worker_of (day, &step->tasks[i])->worker->report.rack,
                       rack)
                   != 0;
    }
  return (int64_t)((double)sim->run_ms / slowest)
         * (spread && step->spec->one_rack ? REMOTE_FACTOR : 1);
}

static void
advance_task (struct day *day, const struct sim_job *sim, struct jb_task *task)
{
  int64_t ran_ms = day->now_ms - task->started_ms;
  int64_t needs_ms;

  if (task->state == JB_TASK_STOPPING)
    {
      sd_task_ended (day->sched, task, SD_OUTCOME_STOPPED, "", day->now_ms, 0);
      return;
    }
  needs_ms = run_time_ms (day, sim, task);
  if (worker_of (day, task)->failing && ran_ms >= STEP_MS)
    sd_task_ended (day->sched, task, SD_OUTCOME_FAILED, "", day->now_ms, 0);
  else if (ran_ms >= needs_ms)
    sd_task_ended (day->sched, task, SD_OUTCOME_DONE, "", day->now_ms, 0);
  else if (day->now_ms % POLL_MS == 0)
    sd_task_progress (day->sched, task, ran_ms * 100 / needs_ms, day->now_ms);
}

static void
advance_job (struct day *day, const struct sim_job *sim)
{
  size_t i;

  for (i = 0; i < sim->job->task_total; i++)
    if (sim->job->tasks[i].worker != NULL)
      advance_task (day, sim, &sim->job->tasks[i]);
}

static void
lose_worker (struct day *day, struct sim_worker *sim)
{
  while (sim->worker->tasks->len > 0)
    sd_task_lost (day->sched, g_ptr_array_index (sim->worker->tasks, 0),
                  day->now_ms);
}

static void
change_workers (struct day *day)
{
  size_t i;

  for (i = 0; i < WORKERS; i++)
    {
      struct sim_worker *sim = &day->workers[i];
      bool lost = day->now_ms >= sim->lost_from_ms
                  && day->now_ms < sim->lost_until_ms;

      if (day->now_ms == TRAFFIC_END_MS)
        {
          sim->failing = false;
          sim->speed = MAX (sim->speed, 0.8);
        }
      if (lost)
        lose_worker (day, sim);
      sd_worker_set_reachability (sim->worker, lost ? SD_WORKER_UNREACHABLE
                                                    : SD_WORKER_REACHABLE);
    }
}

/* --- The rule --- */

static bool
is_under_half (const struct day *day)
{
  int64_t used = 0;
  int64_t capacity = 0;
  size_t i;

  for (i = 0; i < WORKERS; i++)
    {
      const struct sd_worker *worker = day->workers[i].worker;

      if (worker->reachability != SD_WORKER_REACHABLE)
        continue;
      used += worker->used_resources.accelerators;
      capacity += worker->report.resources.accelerators;
    }
  return used * 2 < capacity;
}

/* How many tasks like those of STEP fit on workers that are reachable.  */
static uint32_t
count_room (const struct day *day, const struct jb_step *step)
{
  const struct jb_resources *need = &step->spec->resources;
  uint32_t room = 0;
  size_t i;

  for (i = 0; i < WORKERS; i++)
    {
      const struct sd_worker *worker = day->workers[i].worker;
      struct jb_resources left = worker->report.resources;

      left.cpus_milli -= worker->used_resources.cpus_milli;
      left.memory_mib -= worker->used_resources.memory_mib;
      left.accelerators -= worker->used_resources.accelerators;
      if (worker->reachability == SD_WORKER_REACHABLE)
        room += (uint32_t)MAX (
            MIN (left.cpus_milli / need->cpus_milli,
                 MIN (left.memory_mib / need->memory_mib,
                      left.accelerators / need->accelerators)),
            0);
    }
  return room;
}

static bool
stands (const struct day *day, const struct jb_job *job)
{
  const struct jb_step *step = &job->steps[0];
  uint32_t needed = step->spec->gang ? step->spec->count : 1;
  size_t i;

  if (jb_state_is_final (job->state))
    return false;
  for (i = 0; i < job->task_total; i++)
    if (job->tasks[i].worker != NULL)
      return false;
  return is_under_half (day) && count_room (day, step) >= 2 * needed;
}

static void
check_job (struct day *day, struct sim_job *sim)
{
  const struct jb_step_spec *spec = sim->job->steps[0].spec;

  if (!stands (day, sim->job))
    sim->standing_since_ms = -1;
  else if (sim->standing_since_ms < 0)
    sim->standing_since_ms = day->now_ms;
  else if (day->now_ms - sim->standing_since_ms == STANDING_MAX_MS)
    {
      day->violations++;
      if (day->verbose)
        printf ("%6" PRId64 " ms: job %s stands: %u tasks of %" PRId64
                " accelerators%s%s, room for %u\n",
                day->now_ms, sim->job->id, spec->count,
                spec->resources.accelerators, spec->gang ? ", a gang" : "",
                spec->one_rack ? ", one rack" : "",
                count_room (day, &sim->job->steps[0]));
    }
}

/* --- A day --- */

static void
set_up (struct day *day, uint32_t seed)
{
  static const double speeds[] = { 0.8, 1.0, 1.25 };
  struct sd_params params = { .remote_slowdown_factor = REMOTE_FACTOR,
                              .stop_max_ms = 200,
                              .reserved_tasks_per_100_workers = 50,
                              .starts_per_round = 256 };
  size_t i;

  *day = (struct day){ .rand = g_rand_new_with_seed (seed),
                       .table = jb_table_create (),
                       .catalog = fixture_catalog (),
                       .jobs
                       = g_array_new (FALSE, FALSE, sizeof (struct sim_job)) };
  day->catalog->queues[0].attempt_limit = 50;
  day->catalog->queues[1].attempt_limit = 50;
  day->sched = sd_create (&params, day->table);
  sd_set_catalog (day->sched, day->catalog);
  for (i = 0; i < WORKERS; i++)
    {
      struct sim_worker *sim = &day->workers[i];
      char *id = g_strdup_printf ("w%02zu", i);
      char *rack = g_strdup_printf ("r%zu", i / WORKERS_PER_RACK);
      double fault = g_rand_double (day->rand);

      sim->worker = fixture_worker (day->sched, id, rack, WORKER_ACCELERATORS);
      sim->worker->report.resources
          = (struct jb_resources){ .cpus_milli = WORKER_CPUS_MILLI,
                                   .memory_mib = WORKER_MEMORY_MIB,
                                   .accelerators = WORKER_ACCELERATORS };
      sim->speed = speeds[g_rand_int_range (day->rand, 0, 3)];
      sim->failing = fault < 0.04;
      if (fault > 0.9)
        sim->speed /= 5.0;
      else if (fault > 0.8)
        {
          sim->lost_from_ms = g_rand_int_range (day->rand, 0, TRAFFIC_END_MS);
          sim->lost_until_ms
              = sim->lost_from_ms
                + g_rand_int_range (day->rand, LOST_MIN_MS, LOST_MAX_MS);
        }
      g_free (rack);
      g_free (id);
    }
}

static void
tear_down (struct day *day)
{
  sd_free (day->sched);
  jb_table_free (day->table);
  ct_catalog_free (day->catalog);
  g_array_free (day->jobs, TRUE);
  g_rand_free (day->rand);
}

static void
run_round (struct day *day)
{
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  guint i;

  sd_round (day->sched, day->now_ms, 0, &commands);
  for (i = 0; i < commands.starts->len; i++)
    sd_task_running (day->sched, g_ptr_array_index (commands.starts, i),
                     day->now_ms);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
}

/* @return : how often a job has stood too long.  */
static uint32_t
simulate_day (uint32_t seed, bool verbose)
{
  struct day day;
  guint i;

  set_up (&day, seed);
  day.verbose = verbose;
  for (day.now_ms = STEP_MS; day.now_ms < DAY_END_MS; day.now_ms += STEP_MS)
    {
      change_workers (&day);
      if (day.now_ms < TRAFFIC_END_MS)
        add_arrivals (&day);
      for (i = 0; i < day.jobs->len; i++)
        advance_job (&day, &g_array_index (day.jobs, struct sim_job, i));
      run_round (&day);
      for (i = 0; day.now_ms > TRAFFIC_END_MS && i < day.jobs->len; i++)
        check_job (&day, &g_array_index (day.jobs, struct sim_job, i));
    }
  tear_down (&day);
  return day.violations;
}

static void
test_no_job_waits_beside_free_workers (void)
{
  uint32_t seed;

  for (seed = 1; seed <= DAYS; seed++)
    {
      uint32_t violations = simulate_day (seed, false);

      if (violations > 0)
        printf ("day %u: %u\n", seed, violations);
      CU_ASSERT_EQUAL (violations, 0);
    }
}

/* --- Single cases --- */

/* USED is in use on two thirds of the workers.  */
static void
use_most_workers (struct day *day, const struct jb_resources *used)
{
  size_t i;

  for (i = 0; i < WORKERS; i++)
    {
      struct sd_worker *worker = day->workers[i].worker;

      sd_worker_set_reachability (worker, SD_WORKER_REACHABLE);
      if (i < WORKERS * 2 / 3)
        worker->used_resources = *used;
    }
}

static struct jb_job *
add_fixture_job (struct day *day, uint32_t number,
                 const struct fixture_step *step, int64_t memory_mib)
{
  char id[JB_ID_DIGITS + 1];
  struct jb_spec *spec = fixture_spec ("batch", "clinic", step);
  struct jb_job *job;

  g_snprintf (id, sizeof id, "%016x", number);
  spec->steps[0].resources.memory_mib = memory_mib;
  job = jb_table_add (day->table, id, spec, day->now_ms);
  sd_job_added (day->sched, job);
  return job;
}

/* @return : whether the job has started within STANDING_MAX_MS.  */
static bool
starts_in_time (struct day *day, const struct jb_job *job)
{
  int64_t end_ms = day->now_ms + STANDING_MAX_MS;

  while (!job->started && day->now_ms < end_ms)
    {
      day->now_ms += STEP_MS;
      run_round (day);
    }
  return job->started;
}

/* On the workers where nothing is in use, a gang that needs all of them waits
   for a single task, and a job of one task, which fits nowhere else, waits
   since it was added.
   @return : that job.  */
static struct jb_job *
set_up_reserved_workers (struct day *day, const struct jb_resources *used)
{
  const struct fixture_step single
      = { .count = 1, .accelerators = WORKER_ACCELERATORS };
  const struct fixture_step gang = { .count = WORKERS / 3,
                                     .accelerators = WORKER_ACCELERATORS,
                                     .gang = true };
  const struct fixture_step small = { .count = 1, .accelerators = 1 };
  const struct jb_job *waiting;

  set_up (day, 1);
  day->now_ms = STEP_MS;
  use_most_workers (day, used);
  add_fixture_job (day, 1, &single, 1000);
  run_round (day);
  waiting = add_fixture_job (day, 2, &gang, 1000);
  run_round (day);
  CU_ASSERT_FALSE (waiting->started);
  return add_fixture_job (day, 3, &small, 16000);
}

/* Guards against a task that waits for as long as a gang does, beside 15 idle
   workers, since more than 60% of the memory is in use.  */
static void
test_memory_in_use_does_not_keep_reserved_workers_idle (void)
{
  const struct jb_resources used = { .memory_mib = 250000, .accelerators = 2 };
  struct day day;
  const struct jb_job *job = set_up_reserved_workers (&day, &used);

  CU_ASSERT_TRUE (starts_in_time (&day, job));
  tear_down (&day);
}

/* Guards against such a wait that begins anew with a takeover, to which all
   jobs seemed new.  */
static void
test_jobs_of_earlier_terms_are_no_stream (void)
{
  const struct jb_resources used = { .accelerators = WORKER_ACCELERATORS };
  struct day day;
  const struct jb_job *job = set_up_reserved_workers (&day, &used);

  CU_ASSERT_FALSE (starts_in_time (&day, job)); /* a stream may go on */
  sd_begin_term (day.sched, day.now_ms);
  use_most_workers (&day, &used);
  CU_ASSERT_TRUE (starts_in_time (&day, job));
  tear_down (&day);
}

int
main (int argc, char **argv)
{
  static const struct check_test tests[] = {
    { "no job waits beside free workers",
      test_no_job_waits_beside_free_workers },
    { "memory in use does not keep reserved workers idle",
      test_memory_in_use_does_not_keep_reserved_workers_idle },
    { "jobs of earlier terms are no stream",
      test_jobs_of_earlier_terms_are_no_stream },
  };

  if (argc > 1)
    return simulate_day ((uint32_t)strtoul (argv[1], NULL, 10), true) > 0;
  return check_run ("hostd standing", tests, G_N_ELEMENTS (tests));
}
