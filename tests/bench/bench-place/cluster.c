/* Fills a placement core to a size, and measures its rounds.  */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench.h"

enum
{
  RACK_WORKERS = 16,
  CENTRE_RACKS = 8,
  WORKER_ACCELERATORS = 8,
  WORKER_CPUS_MILLI = 64000,
  WORKER_MEMORY_MB = 128000,
  ROUNDS = 1500,
  RECLAIMS = 200,
  LOSSES = 100,
  MASS_CANCELLATION_JOBS = 1000,
  GUARANTEE_SETS = 320, /* of all teams together */
  GRACE_MS = 5000
};

struct job
{
  char id[24];
  char team[16];
  struct place_job spec;
  struct place_assignment *assignments; /* NULL: not running */
  size_t assignment_count;
};

struct bp_cluster
{
  struct bp_size size;
  struct place *place;
  GPtrArray *jobs; /* of struct job */
  GHashTable *by_id;
  GPtrArray *running;
  uint64_t seed;
  int64_t now_ms;
  uint32_t next_id;
  uint32_t tasks;
  size_t heap_before;
};

uint32_t
bp_random (uint64_t *seed, uint32_t limit)
{
  *seed = *seed * UINT64_C (6364136223846793005) + 1442695040888963407;
  return (uint32_t)((*seed >> 33) % limit);
}

double
bp_cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

struct bp_times
bp_times_from_samples (GArray *samples)
{
  struct bp_times times = { 0 };
  const double *list = (const double *)samples->data;

  if (samples->len == 0)
    return times;
  qsort (samples->data, samples->len, sizeof (double), compare_doubles);
  times.p50_us = list[samples->len / 2];
  times.p99_us = list[samples->len * 99 / 100];
  times.max_us = list[samples->len - 1];
  return times;
}

static int64_t
cluster_now (void *ctx)
{
  return ((struct bp_cluster *)ctx)->now_ms;
}

static size_t
heap_bytes (void)
{
  return mallinfo2 ().uordblks;
}

/* ===== Filling ================================================ */

static void
add_worker (struct bp_cluster *c, uint32_t i, bool up)
{
  char name[16];
  char rack[16];
  char centre[16];
  uint32_t workers_with_accelerators
      = c->size.accelerators / WORKER_ACCELERATORS;
  struct place_worker worker
      = { .name = name,
          .rack = rack,
          .data_centre = centre,
          .capacity
          = { .cpus_milli = WORKER_CPUS_MILLI,
              .memory_mb = WORKER_MEMORY_MB,
              .accelerators
              = i < workers_with_accelerators ? WORKER_ACCELERATORS : 0 } };

  snprintf (name, sizeof name, "w%u", i);
  snprintf (rack, sizeof rack, "r%u", i / RACK_WORKERS);
  snprintf (centre, sizeof centre, "c%u", i / RACK_WORKERS / CENTRE_RACKS);
  if (up)
    place_worker_up (c->place, &worker);
  else
    place_worker_down (c->place, name);
}

/* Each team has guarantees for pairs of workers in a rack or for single
   workers, and one for processors only.  The number of guarantees of all teams
   together does not depend on the number of teams.  */
static void
add_teams (struct bp_cluster *c)
{
  uint32_t count = GUARANTEE_SETS / c->size.teams;
  struct place_guarantee pair[2]
      = { { .shape = { .tasks = 2,
                       .task = { .accelerators = 8 },
                       .span = PLACE_SPAN_RACK } },
          { .shape = { .tasks = 16, .task = { 4000, 4000, 0 } } } };
  struct place_guarantee single[2]
      = { { .shape = { .tasks = 1, .task = { .accelerators = 8 } } },
          { .shape = { .tasks = 16, .task = { 4000, 4000, 0 } } } };
  struct place_team *teams = g_new0 (struct place_team, c->size.teams);
  char (*names)[16] = g_malloc0 (c->size.teams * sizeof *names);
  uint32_t i;

  for (i = 0; i < 2; i++)
    pair[i].count = single[i].count = count * (i + 1);
  for (i = 0; i < c->size.teams; i++)
    {
      snprintf (names[i], sizeof names[i], "t%u", i);
      teams[i] = (struct place_team){ .name = names[i],
                                      .weight = 1 + i % 3,
                                      .may_borrow = true,
                                      .guarantees = i % 2 ? pair : single,
                                      .guarantee_count = 2 };
    }
  place_configure (c->place, teams, c->size.teams);
  g_free (teams);
  g_free (names);
}

static struct job *
new_job (struct bp_cluster *c, uint32_t tasks, uint32_t accelerators)
{
  static const char *const KINDS[] = { "fit", "check", "batch" };
  struct job *job = g_new0 (struct job, 1);

  snprintf (job->id, sizeof job->id, "job-%u", c->next_id++);
  snprintf (job->team, sizeof job->team, "t%u",
            bp_random (&c->seed, c->size.teams));
  job->spec = (struct place_job){
    .id = job->id,
    .team = job->team,
    .kind = KINDS[bp_random (&c->seed, 3)],
    .shape
    = { .tasks = tasks,
        .task = { 1000 + 1000 * bp_random (&c->seed, 4),
                  1000 + 1000 * bp_random (&c->seed, 4), accelerators } },
    .declared_run_ms = 60000 * (uint64_t)(1 + bp_random (&c->seed, 600)),
    .submitted_ms = c->now_ms,
    .checkpointable = true,
    .repeatable = true,
  };
  if (tasks <= 8 && accelerators > 0)
    job->spec.shape.span = bp_random (&c->seed, 3);
  return job;
}

/* A gang of 1 to 256 tasks, large ones less often.  One job in three has
   accelerators and at most 16 tasks, so that one task in eight has
   accelerators.  */
static struct job *
random_job (struct bp_cluster *c)
{
  static const uint32_t TASKS[] = { 1, 1, 2, 4, 8, 8, 16, 32, 64, 256 };
  static const uint32_t ACCELERATORS[] = { 1, 1, 2, 4, 8 };
  uint32_t tasks = TASKS[bp_random (&c->seed, 10)];

  if (bp_random (&c->seed, 3) == 0)
    return new_job (c, MIN (tasks, 16), ACCELERATORS[bp_random (&c->seed, 5)]);
  return new_job (c, tasks, 0);
}

static void
job_free (void *data)
{
  struct job *job = data;

  g_free (job->assignments);
  g_free (job);
}

static bool
submit (struct bp_cluster *c, struct job *job)
{
  char text[PLACE_TEXT_SIZE_BYTES];

  if (place_submit (c->place, &job->spec, text) != PLACE_OK)
    {
      job_free (job);
      return false;
    }
  g_hash_table_insert (c->by_id, job->id, job);
  g_ptr_array_add (c->jobs, job);
  return true;
}

static void
remove_job (struct bp_cluster *c, struct job *job)
{
  if (job->assignments != NULL)
    {
      c->tasks -= job->spec.shape.tasks;
      g_ptr_array_remove_fast (c->running, job);
    }
  g_hash_table_remove (c->by_id, job->id);
  g_ptr_array_remove_fast (c->jobs, job);
}

static void
end_job (struct bp_cluster *c, struct job *job, enum place_outcome how)
{
  struct place_ended ended = { .job = job->id,
                               .outcome = how,
                               .ran_ms = 60000,
                               .requeue = how == PLACE_OUTCOME_EVICTED };

  place_ended (c->place, &ended);
  if (!ended.requeue)
    {
      remove_job (c, job);
      return;
    }
  c->tasks -= job->spec.shape.tasks;
  g_ptr_array_remove_fast (c->running, job);
  g_free (job->assignments);
  job->assignments = NULL;
}

static void
record_start (struct bp_cluster *c, const struct place_command *command)
{
  struct job *job = g_hash_table_lookup (c->by_id, command->job);
  size_t i;

  job->assignment_count = command->assignment_count;
  job->assignments = g_new (struct place_assignment, job->assignment_count);
  for (i = 0; i < job->assignment_count; i++)
    {
      job->assignments[i] = command->assignments[i];
      job->assignments[i].worker
          = g_intern_string (command->assignments[i].worker);
    }
  g_ptr_array_add (c->running, job);
  c->tasks += job->spec.shape.tasks;
}

/* Runs one planning round and returns its processor time.  Jobs that it evicts
   end before the next round.  */
static double
round_us (struct bp_cluster *c)
{
  const struct place_command *commands;
  double started_us = bp_cpu_us ();
  int count = place_decide (c->place, &commands);
  double took_us = bp_cpu_us () - started_us;
  int i;

  for (i = 0; i < count; i++)
    if (commands[i].kind == PLACE_START)
      record_start (c, &commands[i]);
  for (i = 0; i < count; i++)
    if (commands[i].kind == PLACE_EVICT)
      end_job (c, g_hash_table_lookup (c->by_id, commands[i].job),
               PLACE_OUTCOME_EVICTED);
  return took_us;
}

static void
fill_cluster (struct bp_cluster *c)
{
  uint32_t rounds_without_start = 0;

  while (c->tasks < c->size.tasks && rounds_without_start < 200)
    {
      uint32_t before = c->tasks;
      int i;

      for (i = 0; i < 20; i++)
        submit (c, random_job (c));
      round_us (c);
      rounds_without_start = c->tasks > before ? 0 : rounds_without_start + 1;
    }
  while (c->jobs->len - c->running->len < c->size.queued)
    submit (c, new_job (c, 256, 1 + bp_random (&c->seed, 8)));
  round_us (c);
}

struct bp_cluster *
bp_cluster_new (const struct bp_size *size, uint64_t seed)
{
  struct bp_cluster *c = g_new0 (struct bp_cluster, 1);
  struct place_params params = { .policy = &place_policy_guarantee,
                                 .checkpoint_grace_ms = GRACE_MS,
                                 .attempt_limit = 3,
                                 .quarantine_failures = 3,
                                 .quarantine_ms = 60000,
                                 .now_ms = cluster_now,
                                 .ctx = c };
  uint32_t i;

  c->size = *size;
  c->seed = seed;
  c->jobs = g_ptr_array_new_with_free_func (job_free);
  c->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  c->running = g_ptr_array_new ();
  place_create (&c->place, &params);
  for (i = 0; i < size->workers; i++)
    add_worker (c, i, true);
  add_teams (c);
  fill_cluster (c);
  return c;
}

void
bp_cluster_free (struct bp_cluster *c)
{
  place_free (c->place);
  g_hash_table_destroy (c->by_id);
  g_ptr_array_free (c->running, TRUE);
  g_ptr_array_free (c->jobs, TRUE);
  g_free (c);
}

/* ===== Measurements =========================================== */

static void
measure_placement (struct bp_cluster *c, struct bp_times *out)
{
  g_autoptr (GArray) samples = g_array_new (FALSE, FALSE, sizeof (double));
  int i;

  for (i = 0; i < ROUNDS; i++)
    {
      struct job *job
          = c->running->pdata[bp_random (&c->seed, c->running->len)];
      double us;

      c->now_ms += 1000;
      end_job (c, job, PLACE_OUTCOME_SUCCEEDED);
      if (c->jobs->len - c->running->len < c->size.queued + 100)
        submit (c, random_job (c));
      us = round_us (c);
      g_array_append_val (samples, us);
    }
  *out = bp_times_from_samples (samples);
}

static void
measure_reclaim (struct bp_cluster *c, struct bp_times *out)
{
  g_autoptr (GArray) samples = g_array_new (FALSE, FALSE, sizeof (double));
  int i;

  for (i = 0; i < RECLAIMS; i++)
    {
      struct job *job = new_job (c, 1, 8);
      double us;

      c->now_ms += 1000;
      job->spec.urgent = true;
      job->spec.checkpointable = false;
      job->spec.shape.task.cpus_milli = 0;
      job->spec.shape.task.memory_mb = 0;
      if (!submit (c, job))
        continue;
      us = round_us (c);
      g_array_append_val (samples, us);
      round_us (c);
      if (job->assignments != NULL)
        end_job (c, job, PLACE_OUTCOME_SUCCEEDED);
    }
  *out = bp_times_from_samples (samples);
}

/* Ends the jobs with a task on a lost worker.  */
static void
end_lost (struct bp_cluster *c, const char *worker)
{
  guint i;
  size_t t;

  for (i = c->running->len; i-- > 0;)
    {
      struct job *job = c->running->pdata[i];

      for (t = 0; t < job->assignment_count; t++)
        if (strcmp (job->assignments[t].worker, worker) == 0)
          break;
      if (t < job->assignment_count)
        end_job (c, job, PLACE_OUTCOME_EVICTED);
    }
}

static void
measure_loss (struct bp_cluster *c, struct bp_times *out)
{
  g_autoptr (GArray) samples = g_array_new (FALSE, FALSE, sizeof (double));
  char name[16];
  int i;

  for (i = 0; i < LOSSES; i++)
    {
      uint32_t lost = bp_random (&c->seed, c->size.workers);
      double us;

      c->now_ms += 1000;
      snprintf (name, sizeof name, "w%u", lost);
      add_worker (c, lost, false);
      end_lost (c, name);
      us = round_us (c);
      g_array_append_val (samples, us);
      add_worker (c, lost, true);
      us = round_us (c);
      g_array_append_val (samples, us);
    }
  *out = bp_times_from_samples (samples);
}

static double
measure_mass_cancellation (struct bp_cluster *c)
{
  g_autoptr (GPtrArray) cancelled_jobs = g_ptr_array_new ();
  double started_us;
  guint i;

  for (i = 0; i < MASS_CANCELLATION_JOBS; i++)
    {
      struct job *job = new_job (c, 256, 8);

      if (submit (c, job))
        g_ptr_array_add (cancelled_jobs, job);
    }
  round_us (c);
  started_us = bp_cpu_us ();
  for (i = 0; i < cancelled_jobs->len; i++)
    place_cancel (c->place, ((struct job *)cancelled_jobs->pdata[i])->id);
  round_us (c);
  started_us = bp_cpu_us () - started_us;
  for (i = 0; i < cancelled_jobs->len; i++)
    remove_job (c, cancelled_jobs->pdata[i]);
  return started_us;
}

/* Restores all workers, teams and jobs in a new placement core, as the next
   planner does.  */
static double
measure_takeover (struct bp_cluster *c, uint64_t *state_bytes)
{
  struct place_params params = { .policy = &place_policy_guarantee,
                                 .checkpoint_grace_ms = GRACE_MS,
                                 .attempt_limit = 3,
                                 .quarantine_failures = 3,
                                 .quarantine_ms = 60000,
                                 .now_ms = cluster_now,
                                 .ctx = c };
  char text[PLACE_TEXT_SIZE_BYTES];
  size_t before;
  double started_us;
  double us;
  uint32_t i;

  place_free (c->place);
  before = heap_bytes ();
  started_us = bp_cpu_us ();
  place_create (&c->place, &params);
  for (i = 0; i < c->size.workers; i++)
    add_worker (c, i, true);
  add_teams (c);
  for (i = 0; i < c->jobs->len; i++)
    {
      struct job *job = c->jobs->pdata[i];

      if (job->assignments == NULL)
        place_submit (c->place, &job->spec, text);
      else
        place_restore (c->place, &job->spec, job->assignments,
                       job->assignment_count, 0);
    }
  us = bp_cpu_us () - started_us;
  us += round_us (c);
  *state_bytes = heap_bytes () - before;
  return us;
}

void
bp_measure (struct bp_cluster *c, struct bp_result *result)
{
  memset (result, 0, sizeof *result);
  result->size = c->size;
  result->running_tasks = c->tasks;
  measure_placement (c, &result->placement);
  measure_reclaim (c, &result->reclaim);
  measure_loss (c, &result->loss);
  result->mass_cancellation_us = measure_mass_cancellation (c);
  result->takeover_us = measure_takeover (c, &result->state_bytes);
}
