/* Slopes of the placement core: processor time of a round and memory, by
   workers, running tasks, queued jobs and teams.  */

#include "place/place.h"
#include "slopes.h"

enum
{
  RACK_SIZE = 8,
  NAME_SIZE_BYTES = 40,
  POINT_SIZE_BYTES = 64,
  ROUNDS = 30,
  GANG_TASKS = 64,
  DEFAULT_WORKERS = 400,
  DEFAULT_TEAMS = 40,
  PLANNED_TEAMS = 320,
  PLANNED_WORKERS = 3300,
  PLANNED_GANGS = 704, /* 45,056 tasks */
  PLANNED_QUEUED_JOBS = 100
};

static const double SERIES_COST_LIMIT_US = 8e6; /* ends a series of points */

struct size
{
  unsigned int workers;
  unsigned int gangs;  /* running, of GANG_TASKS tasks */
  unsigned int queued; /* jobs that cannot start */
  unsigned int teams;
};

struct bench
{
  struct place *place;
  int64_t now_ms;
};

static int64_t
now_ms (void *ctx)
{
  return ((struct bench *)ctx)->now_ms;
}

static void
configure_teams (struct bench *bench, unsigned int teams)
{
  static char names[PLANNED_TEAMS][NAME_SIZE_BYTES];
  static struct place_team list[PLANNED_TEAMS];
  static const struct place_guarantee guarantee = {
    .shape
    = { .tasks = 1, .task = { 30000, 55000, 4 }, .span = PLACE_SPAN_WORKER },
    .count = 1
  };
  unsigned int i;

  for (i = 0; i < teams; i++)
    {
      g_snprintf (names[i], NAME_SIZE_BYTES, "team-%04u", i);
      list[i] = (struct place_team){ .name = names[i],
                                     .weight = 1,
                                     .may_borrow = true,
                                     .guarantees = &guarantee,
                                     .guarantee_count = 1 };
    }
  g_assert (place_configure (bench->place, list, teams) == PLACE_OK);
}

static void
add_workers (struct bench *bench, unsigned int workers)
{
  char name[NAME_SIZE_BYTES];
  char rack[NAME_SIZE_BYTES];
  struct place_worker worker = { .name = name,
                                 .rack = rack,
                                 .data_centre = "bole",
                                 .capacity = { 128000, 262144, 8 } };
  unsigned int i;

  for (i = 0; i < workers; i++)
    {
      g_snprintf (name, sizeof name, "worker-%04u", i);
      g_snprintf (rack, sizeof rack, "rack-%03u", i / RACK_SIZE);
      g_assert (place_worker_up (bench->place, &worker) == PLACE_OK);
    }
}

static void
submit_job (struct bench *bench, const char *kind, unsigned int number,
            unsigned int tasks, struct place_resources task)
{
  char id[NAME_SIZE_BYTES];
  char text[PLACE_TEXT_SIZE_BYTES];
  struct place_job job = { .id = id,
                           .team = "team-0000",
                           .kind = kind,
                           .shape = { .tasks = tasks, .task = task },
                           .declared_run_ms = 3600000,
                           .submitted_ms = bench->now_ms,
                           .checkpointable = true,
                           .repeatable = true };

  g_snprintf (id, sizeof id, "%s-%027u", kind, number);
  g_assert (place_submit (bench->place, &job, text) == PLACE_OK);
}

static void
open_bench (struct bench *bench, const struct size *size)
{
  struct place_params params = { .policy = &place_policy_guarantee,
                                 .checkpoint_grace_ms = 5000,
                                 .attempt_limit = 3,
                                 .quarantine_failures = 3,
                                 .quarantine_ms = 60000,
                                 .now_ms = now_ms,
                                 .ctx = bench };
  const struct place_command *commands;
  unsigned int i;

  bench->now_ms = 1000;
  g_assert (place_create (&bench->place, &params) == PLACE_OK);
  add_workers (bench, size->workers);
  configure_teams (bench, size->teams);
  place_decide (bench->place, &commands);
  for (i = 0; i < size->gangs; i++)
    submit_job (bench, "gang", i, GANG_TASKS,
                (struct place_resources){ 100, 64, 0 });
  place_decide (bench->place, &commands);
  for (i = 0; i < size->queued; i++)
    submit_job (bench, "wait", i, PLACE_TASK_LIMIT,
                (struct place_resources){ 1000, 1024, 8 });
  place_decide (bench->place, &commands);
}

/* Mean processor time of a round with the event before it, over ROUNDS.  */
static double
mean_round_us (struct bench *bench,
               void (*event) (struct bench *, unsigned int))
{
  const struct place_command *commands;
  double start_us = sl_cpu_us ();
  unsigned int i;

  for (i = 0; i < ROUNDS; i++)
    {
      bench->now_ms++;
      event (bench, i);
      g_assert (place_decide (bench->place, &commands) >= 0);
    }
  return (sl_cpu_us () - start_us) / ROUNDS;
}

static void
submit_small_job (struct bench *bench, unsigned int number)
{
  submit_job (bench, "task", number, 1,
              (struct place_resources){ 100, 64, 1 });
}

static void
lose_worker (struct bench *bench, unsigned int number)
{
  char name[NAME_SIZE_BYTES];

  g_snprintf (name, sizeof name, "worker-%04u", number);
  g_assert (place_worker_down (bench->place, name) == PLACE_OK);
}

static void
print_place_point (const char *what, const char *by, double x, double y)
{
  char name[POINT_SIZE_BYTES];

  g_snprintf (name, sizeof name, "place.%s_by_%s", what, by);
  sl_point (name, x, y);
}

/* Measures the heap, rounds that start one small job each, and rounds after
   the loss of one worker each.  */
static void
measure (const char *by, const struct size *size, double x)
{
  double heap_bytes = sl_heap_bytes ();
  struct bench bench;

  open_bench (&bench, size);
  print_place_point ("heap_bytes", by, x, sl_heap_bytes () - heap_bytes);
  print_place_point ("round_cpu_us", by, x,
                     mean_round_us (&bench, submit_small_job));
  print_place_point ("loss_round_cpu_us", by, x,
                     mean_round_us (&bench, lose_worker));
  place_free (bench.place);
}

static bool
over_cost_limit (double start_us)
{
  return sl_cpu_us () - start_us > SERIES_COST_LIMIT_US;
}

static void
measure_by_workers (void)
{
  static const unsigned int counts[] = { 100, 400, 800, 1600, 3300 };
  double start_us = sl_cpu_us ();
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (counts) && !over_cost_limit (start_us); i++)
    measure ("workers",
             &(struct size){ .workers = counts[i], .teams = DEFAULT_TEAMS },
             counts[i]);
}

static void
measure_by_tasks (void)
{
  static const unsigned int gangs[] = { 0, 50, 100, 200, 400 };
  double start_us = sl_cpu_us ();
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (gangs) && !over_cost_limit (start_us); i++)
    measure ("running_tasks",
             &(struct size){ .workers = DEFAULT_WORKERS,
                             .gangs = gangs[i],
                             .teams = DEFAULT_TEAMS },
             (double)gangs[i] * GANG_TASKS);
}

static void
measure_by_queued_jobs (void)
{
  static const unsigned int queued[] = { 0, 25, 50, 100, 200 };
  double start_us = sl_cpu_us ();
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (queued) && !over_cost_limit (start_us); i++)
    measure ("queued_jobs",
             &(struct size){ .workers = DEFAULT_WORKERS,
                             .queued = queued[i],
                             .teams = DEFAULT_TEAMS },
             queued[i]);
}

static void
measure_by_teams (void)
{
  static const unsigned int teams[] = { 4, 40, 80, 160, 320 };
  double start_us = sl_cpu_us ();
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (teams) && !over_cost_limit (start_us); i++)
    measure ("teams",
             &(struct size){ .workers = DEFAULT_WORKERS, .teams = teams[i] },
             teams[i]);
}

/* The planned size of all regions in one placement core.  */
static void
measure_planned_size (void)
{
  measure ("workers_at_whole_size",
           &(struct size){ .workers = PLANNED_WORKERS,
                           .gangs = PLANNED_GANGS,
                           .queued = PLANNED_QUEUED_JOBS,
                           .teams = PLANNED_TEAMS },
           PLANNED_WORKERS);
}

void
sl_place (void)
{
  measure_by_workers ();
  measure_by_tasks ();
  measure_by_queued_jobs ();
  measure_by_teams ();
  measure_planned_size ();
}
