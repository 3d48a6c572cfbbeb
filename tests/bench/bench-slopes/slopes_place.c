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
  WHOLE_TEAMS_LIMIT = 320,
  WHOLE_WORKERS = 3300,
  WHOLE_GANGS = 704, /* 45,056 tasks */
  WHOLE_QUEUED = 100
};

static const double COST_LIMIT_US = 8e6; /* of one series of points */

struct size
{
  unsigned int workers;
  unsigned int gangs;  /* running, of GANG_TASKS tasks */
  unsigned int queued; /* jobs that cannot start yet */
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
configure (struct bench *bench, unsigned int teams)
{
  static char names[WHOLE_TEAMS_LIMIT][NAME_SIZE_BYTES];
  static struct place_team list[WHOLE_TEAMS_LIMIT];
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
submit (struct bench *bench, const char *kind, unsigned int number,
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
  configure (bench, size->teams);
  place_decide (bench->place, &commands);
  for (i = 0; i < size->gangs; i++)
    submit (bench, "gang", i, GANG_TASKS,
            (struct place_resources){ 100, 64, 0 });
  place_decide (bench->place, &commands);
  for (i = 0; i < size->queued; i++)
    submit (bench, "wait", i, PLACE_TASK_LIMIT,
            (struct place_resources){ 1000, 1024, 8 });
  place_decide (bench->place, &commands);
}

/* Processor time of one round after each of ROUNDS events.  */
static double
rounds_us (struct bench *bench, void (*event) (struct bench *, unsigned int))
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
submit_one (struct bench *bench, unsigned int number)
{
  submit (bench, "task", number, 1, (struct place_resources){ 100, 64, 1 });
}

static void
lose_worker (struct bench *bench, unsigned int number)
{
  char name[NAME_SIZE_BYTES];

  g_snprintf (name, sizeof name, "worker-%04u", number);
  g_assert (place_worker_down (bench->place, name) == PLACE_OK);
}

static void
point (const char *what, const char *by, double x, double y)
{
  char name[POINT_SIZE_BYTES];

  g_snprintf (name, sizeof name, "place.%s_by_%s", what, by);
  sl_point (name, x, y);
}

/* Rounds that start one small job each, and rounds after the loss of one
   worker each.  */
static void
measure (const char *by, const struct size *size, double x)
{
  double heap_bytes = sl_heap_bytes ();
  struct bench bench;

  open_bench (&bench, size);
  point ("heap_bytes", by, x, sl_heap_bytes () - heap_bytes);
  point ("round_cpu_us", by, x, rounds_us (&bench, submit_one));
  point ("loss_round_cpu_us", by, x, rounds_us (&bench, lose_worker));
  place_free (bench.place);
}

static bool
too_long (double start_us)
{
  return sl_cpu_us () - start_us > COST_LIMIT_US;
}

static void
by_workers (void)
{
  static const unsigned int counts[] = { 100, 400, 800, 1600, 3300 };
  double start_us = sl_cpu_us ();
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (counts) && !too_long (start_us); i++)
    measure ("workers",
             &(struct size){ .workers = counts[i], .teams = DEFAULT_TEAMS },
             counts[i]);
}

static void
by_tasks (void)
{
  static const unsigned int gangs[] = { 0, 50, 100, 200, 400 };
  double start_us = sl_cpu_us ();
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (gangs) && !too_long (start_us); i++)
    measure ("running_tasks",
             &(struct size){ .workers = DEFAULT_WORKERS,
                             .gangs = gangs[i],
                             .teams = DEFAULT_TEAMS },
             (double)gangs[i] * GANG_TASKS);
}

static void
by_queued (void)
{
  static const unsigned int queued[] = { 0, 25, 50, 100, 200 };
  double start_us = sl_cpu_us ();
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (queued) && !too_long (start_us); i++)
    measure ("queued_jobs",
             &(struct size){ .workers = DEFAULT_WORKERS,
                             .queued = queued[i],
                             .teams = DEFAULT_TEAMS },
             queued[i]);
}

static void
by_teams (void)
{
  static const unsigned int teams[] = { 4, 40, 80, 160, 320 };
  double start_us = sl_cpu_us ();
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (teams) && !too_long (start_us); i++)
    measure ("teams",
             &(struct size){ .workers = DEFAULT_WORKERS, .teams = teams[i] },
             teams[i]);
}

/* The whole size to come in one placement core.  */
static void
at_whole_size (void)
{
  measure ("workers_at_whole_size",
           &(struct size){ .workers = WHOLE_WORKERS,
                           .gangs = WHOLE_GANGS,
                           .queued = WHOLE_QUEUED,
                           .teams = WHOLE_TEAMS_LIMIT },
           WHOLE_WORKERS);
}

void
sl_place (void)
{
  by_workers ();
  by_tasks ();
  by_queued ();
  by_teams ();
  at_whole_size ();
}
