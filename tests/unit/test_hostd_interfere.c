/* Tests of tasks that slow each other down on one worker: streams of short
   tasks on simulated workers, where a task beside one of another kind is
   slower by a factor.  Nothing but progress and tails is shown to the code. */

#include <math.h>

#include "check.h"
#include "hostd_fixture.h"
#include "sched/private.h"

enum
{
  WORKERS = 8,
  POLL_MS = 500,
  TASK_MS = 4000, /* of its work at full speed */
  KINDS = 4
};

/* --- A fleet of workers with a slot for each of two tasks --- */

struct run
{
  uint64_t task; /* 0: none */
  uint32_t kind; /* index of `names` */
  double done;   /* 0 to 1 */
};

static const char *const names[KINDS] = { "fit", "scan", "sort", "mail" };

struct fleet
{
  struct itf_table *table;
  struct run runs[WORKERS][2];
  double speed[WORKERS];
  double slowdown[KINDS][KINDS]; /* of the first beside the second */
  uint64_t last_task;
  uint32_t seed;
  int64_t now_ms;
};

/* The same numbers each time.  */
static uint32_t
draw (struct fleet *fleet, uint32_t below)
{
  fleet->seed = fleet->seed * 1664525 + 1013904223;
  return (fleet->seed >> 16) % below;
}

static uint64_t
kind (uint32_t index)
{
  return itf_kind (true, names[index]);
}

static void
set_up (struct fleet *fleet)
{
  uint32_t i;
  uint32_t k;

  memset (fleet, 0, sizeof *fleet);
  fleet->table = itf_create ();
  fleet->seed = 7;
  fleet->now_ms = 1000;
  for (i = 0; i < KINDS; i++)
    {
      itf_name_kind (fleet->table, kind (i), names[i]);
      for (k = 0; k < KINDS; k++)
        fleet->slowdown[i][k] = 1.0;
    }
  for (i = 0; i < WORKERS; i++)
    fleet->speed[i] = 1.0;
}

static void
look (struct fleet *fleet, size_t worker, uint32_t slot)
{
  const struct run *run = &fleet->runs[worker][slot];
  const struct run *other = &fleet->runs[worker][1 - slot];
  struct itf_look seen = { .task = run->task,
                           .work = run->kind + 1,
                           .subject = kind (run->kind),
                           .worker = worker,
                           .worker_speed = 1.0,
                           .percent = (int64_t)(run->done * 100) };

  if (other->task != 0)
    seen.neighbours[seen.neighbour_count++] = (struct itf_neighbour){
      .kind = kind (other->kind), .count = 1, .share = 1.0
    };
  itf_observe (fleet->table, &seen, fleet->now_ms);
}

static void
work (struct fleet *fleet, size_t worker, uint32_t slot)
{
  struct run *run = &fleet->runs[worker][slot];
  const struct run *other = &fleet->runs[worker][1 - slot];
  double noise = 0.95 + draw (fleet, 100) / 1000.0;
  double slowdown
      = other->task == 0 ? 1.0 : fleet->slowdown[run->kind][other->kind];

  run->done += noise * fleet->speed[worker] / slowdown * POLL_MS / TASK_MS;
  run->done = MIN (run->done, 1.0);
}

/* Starts tasks of kinds below KIND_COUNT in free slots, with pauses.  */
static void
start (struct fleet *fleet, size_t worker, uint32_t slot, uint32_t kind_count)
{
  struct run *run = &fleet->runs[worker][slot];

  if (run->task != 0 && run->done >= 1.0)
    {
      itf_forget (fleet->table, run->task);
      run->task = 0;
    }
  else if (run->task == 0 && draw (fleet, 3) == 0)
    *run = (struct run){ .task = ++fleet->last_task,
                         .kind = draw (fleet, kind_count) };
}

static void
play (struct fleet *fleet, int64_t for_ms, uint32_t kind_count)
{
  int64_t until_ms = fleet->now_ms + for_ms;
  size_t worker;
  uint32_t slot;

  for (; fleet->now_ms < until_ms; fleet->now_ms += POLL_MS)
    {
      for (worker = 0; worker < WORKERS; worker++)
        for (slot = 0; slot < 2; slot++)
          if (fleet->runs[worker][slot].task != 0)
            work (fleet, worker, slot);
      for (worker = 0; worker < WORKERS; worker++)
        for (slot = 0; slot < 2; slot++)
          if (fleet->runs[worker][slot].task != 0)
            look (fleet, worker, slot);
      for (worker = 0; worker < WORKERS; worker++)
        for (slot = 0; slot < 2; slot++)
          start (fleet, worker, slot, kind_count);
      itf_update (fleet->table, fleet->now_ms);
    }
}

static double
known_slowdown (const struct fleet *fleet, uint32_t subject,
                uint32_t neighbour)
{
  return exp (
      itf_slowdown_ln (fleet->table, kind (subject), kind (neighbour)));
}

/* --- What is learned --- */

static void
test_two_disturb_two_do_not (void)
{
  struct fleet fleet;
  struct itf_change change;
  uint32_t i;
  uint32_t k;

  set_up (&fleet);
  fleet.slowdown[0][1] = 2.0;
  play (&fleet, 60000, 4);
  CU_ASSERT_DOUBLE_EQUAL (known_slowdown (&fleet, 0, 1), 2.0, 0.5);
  for (i = 0; i < KINDS; i++)
    for (k = 0; k < KINDS; k++)
      if (i != 0 || k != 1)
        CU_ASSERT_DOUBLE_EQUAL (known_slowdown (&fleet, i, k), 1.0, 1e-9);
  CU_ASSERT_EQUAL (itf_known_count (fleet.table), 1);
  CU_ASSERT_TRUE_FATAL (itf_take_change (fleet.table, &change));
  CU_ASSERT_STRING_EQUAL (change.subject, "fit");
  CU_ASSERT_STRING_EQUAL (change.neighbour, "scan");
  CU_ASSERT_TRUE (change.known);
  itf_free (fleet.table);
}

/* Workers of all speeds, and one that becomes slow while tasks run there.  */
static void
test_slow_workers_are_no_neighbours (void)
{
  struct fleet fleet;
  struct itf_change change;
  uint32_t i;

  set_up (&fleet);
  for (i = 0; i < WORKERS; i++)
    fleet.speed[i] = i % 3 == 0 ? 1.7 : 0.7;
  for (i = 0; i < 8; i++)
    {
      play (&fleet, 15000, 2);
      fleet.speed[2] = i % 2 == 0 ? 0.1 : 0.7;
    }
  CU_ASSERT_FALSE (itf_take_change (fleet.table, &change));
  itf_free (fleet.table);
}

static void
test_amount_changes_within_seconds (void)
{
  struct fleet fleet;
  int64_t changed_ms;

  set_up (&fleet);
  fleet.slowdown[0][1] = 2.5;
  play (&fleet, 40000, 2);
  CU_ASSERT_TRUE (known_slowdown (&fleet, 0, 1) > 1.5);
  fleet.slowdown[0][1] = 1.0;
  changed_ms = fleet.now_ms;
  while (itf_known_count (fleet.table) > 0
         && fleet.now_ms - changed_ms < 60000)
    play (&fleet, POLL_MS, 2);
  CU_ASSERT_TRUE (fleet.now_ms - changed_ms <= 20000);
  fleet.slowdown[0][1] = 2.5;
  changed_ms = fleet.now_ms;
  while (itf_known_count (fleet.table) == 0
         && fleet.now_ms - changed_ms < 60000)
    play (&fleet, POLL_MS, 2);
  CU_ASSERT_TRUE (fleet.now_ms - changed_ms <= 20000);
  itf_free (fleet.table);
}

static void
test_fades_without_evidence (void)
{
  struct fleet fleet;

  set_up (&fleet);
  fleet.slowdown[0][1] = 2.0;
  play (&fleet, 40000, 2);
  CU_ASSERT_EQUAL (itf_known_count (fleet.table), 1);
  itf_update (fleet.table, fleet.now_ms + 120000);
  CU_ASSERT_EQUAL (itf_known_count (fleet.table), 0);
  itf_free (fleet.table);
}

/* A serving task whose own load moves its tail up and down, beside a neighbour
   that comes and goes.  The tail rises by FACTOR with the neighbour.  */
static double
learn_from_tails (double factor, bool paced)
{
  static const double loads[] = { 1.0, 1.1, 1.4, 1.6, 1.3, 1.0, 0.8, 0.9 };
  struct itf_table *table = itf_create ();
  struct itf_look seen
      = { .subject = kind (0), .worker_speed = 1.0, .percent = 100 };
  double slowdown_ln;
  uint32_t i;
  size_t worker;

  for (i = 1; i < 120; i++)
    for (worker = 0; worker < 4; worker++)
      {
        bool beside = (i / 5 + worker) % 2 == 0;
        double load = loads[(i + 2 * worker) % 8];

        seen.task = seen.work = worker + 1;
        seen.worker = worker;
        seen.neighbours[0] = (struct itf_neighbour){ .kind = kind (1),
                                                     .count = 1,
                                                     .share = 1.0 };
        seen.neighbour_count = beside ? 1 : 0;
        /* Paced by its own load, as pace.c does.  */
        if (paced)
          {
            seen.neighbour_count = 1;
            seen.neighbours[0].share = load > 1.2 ? 0.0 : 1.0;
          }
        seen.tail_ms
            = (int64_t)(50 * load * (beside && !paced ? factor : 1.0));
        itf_observe (table, &seen, (int64_t)i * POLL_MS);
        itf_update (table, (int64_t)i * POLL_MS);
      }
  slowdown_ln = itf_slowdown_ln (table, kind (0), kind (1));
  itf_free (table);
  return exp (slowdown_ln);
}

static void
test_tails_of_serving_tasks (void)
{
  CU_ASSERT_DOUBLE_EQUAL (learn_from_tails (2.0, false), 2.0, 0.5);
  CU_ASSERT_DOUBLE_EQUAL (learn_from_tails (1.0, false), 1.0, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (learn_from_tails (1.0, true), 1.0, 1e-9);
}

/* Two looks at a task of a new kind, between which its neighbour, of a new
   kind, has left.  */
static void
show_new_kinds (struct fleet *fleet)
{
  struct itf_look seen = { .task = ++fleet->last_task,
                           .work = fleet->last_task,
                           .subject = fleet->last_task << 32,
                           .worker = draw (fleet, WORKERS),
                           .worker_speed = 1.0,
                           .percent = 1,
                           .neighbour_count = 1 };
  uint32_t i;

  seen.neighbours[0] = (struct itf_neighbour){ .kind = ~fleet->last_task,
                                               .count = 1,
                                               .share = 1.0 };
  for (i = 0; i < 5; i++, seen.percent += 20)
    {
      if (i == 3)
        seen.neighbour_count = 0;
      itf_observe (fleet->table, &seen, fleet->now_ms + (int64_t)i * POLL_MS);
    }
}

static void
test_many_kinds (void)
{
  struct fleet fleet;
  uint32_t i;
  uint32_t k;

  set_up (&fleet);
  fleet.slowdown[0][1] = 2.0;
  for (i = 0; i < 120; i++)
    {
      play (&fleet, POLL_MS, 2);
      for (k = 0; k < 100; k++)
        show_new_kinds (&fleet);
    }
  CU_ASSERT_EQUAL (itf_pair_count (fleet.table), ITF_PAIRS_MAX);
  CU_ASSERT_DOUBLE_EQUAL (known_slowdown (&fleet, 0, 1), 2.0, 0.5);
  itf_free (fleet.table);
}

/* --- What is decided --- */

enum
{
  FLEET = 6,
  DAY_JOBS = 400,
  JOB_TASKS = 4
};

/* Jobs of two images, `fit` and `scan`; two tasks fill a worker.  */
struct day
{
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct jb_job *jobs[DAY_JOBS];
  double *done; /* of each task, in order of jobs */
  uint32_t job_count;
  double slowdown; /* of `fit` beside `scan` */
  bool shows_polls;
  int64_t now_ms;
  GString *starts; /* which task was placed where */
  uint32_t beside; /* sum over rounds: tasks of `fit` beside `scan` */
  uint32_t running;
};

static void
day_set_up (struct day *day, double slowdown)
{
  struct sd_params params
      = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };
  char id[8];
  uint32_t i;

  memset (day, 0, sizeof *day);
  day->table = jb_table_create ();
  day->sched = sd_create (&params, day->table);
  day->catalog = fixture_catalog ();
  sd_set_catalog (day->sched, day->catalog);
  day->done = g_new0 (double, (size_t)DAY_JOBS *JOB_TASKS);
  day->slowdown = slowdown;
  day->shows_polls = true;
  day->starts = g_string_new (NULL);
  for (i = 0; i < FLEET; i++)
    {
      g_snprintf (id, sizeof id, "w%u", i);
      fixture_worker (day->sched, id, "r1", 8);
    }
}

static void
day_tear_down (struct day *day)
{
  g_string_free (day->starts, TRUE);
  g_free (day->done);
  sd_free (day->sched);
  jb_table_free (day->table);
  ct_catalog_free (day->catalog);
}

static void
submit (struct day *day, const char *image, uint32_t tasks)
{
  struct fixture_step step = { .count = tasks, .accelerators = 4 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);
  char id[JB_ID_DIGITS + 1];

  spec->steps[0].image = g_strdup (image);
  spec->steps[0].estimate_ms = TASK_MS;
  g_snprintf (id, sizeof id, "%016x", day->job_count);
  day->jobs[day->job_count] = jb_table_add (day->table, id, spec, day->now_ms);
  sd_job_added (day->sched, day->jobs[day->job_count++]);
}

static bool
is_fit (const struct jb_task *task)
{
  return strcmp (task->step->spec->image, "fit") == 0;
}

static bool
is_beside_scan (const struct day *day, const struct jb_task *task)
{
  const struct sd_worker *worker = sd_worker_find (day->sched, task->worker);
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    if (!is_fit (g_ptr_array_index (worker->tasks, i)))
      return true;
  return false;
}

/* One poll of all workers.  */
static void
day_poll (struct day *day)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < day->job_count; i++)
    for (k = 0; k < day->jobs[i]->steps[0].spec->count; k++)
      {
        struct jb_task *task = &day->jobs[i]->tasks[k];
        double *done = &day->done[i * JOB_TASKS + k];
        bool slowed;

        if (task->state != JB_TASK_PLACED)
          continue;
        slowed = is_fit (task) && is_beside_scan (day, task);
        day->beside += slowed;
        day->running++;
        *done += (double)POLL_MS / TASK_MS / (slowed ? day->slowdown : 1.0);
        sd_task_running (day->sched, task, day->now_ms);
        sd_task_progress (day->sched, task, (int64_t)(MIN (*done, 1.0) * 100),
                          day->now_ms);
      }
  for (i = 0; day->shows_polls && i < FLEET; i++)
    sd_worker_polled (day->sched,
                      g_ptr_array_index (sd_workers (day->sched), i),
                      day->now_ms);
  for (i = 0; i < day->job_count; i++)
    for (k = 0; k < day->jobs[i]->steps[0].spec->count; k++)
      if (day->jobs[i]->tasks[k].state == JB_TASK_PLACED
          && day->done[i * JOB_TASKS + k] >= 1.0)
        sd_task_ended (day->sched, &day->jobs[i]->tasks[k], SD_OUTCOME_DONE,
                       "", day->now_ms, 0);
}

static void
day_round (struct day *day)
{
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  guint i;

  sd_round (day->sched, day->now_ms, 0, &commands);
  for (i = 0; i < commands.starts->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (commands.starts, i);

      g_string_append_printf (day->starts, "%s.%u %s\n", task->job->id,
                              task->index, task->worker);
    }
  CU_ASSERT_EQUAL (commands.stops->len, 0);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
}

/* A job of each image in turn, each EVERY_MS.  */
static void
day_play (struct day *day, int64_t for_ms, int64_t every_ms)
{
  int64_t until_ms = day->now_ms + for_ms;

  for (; day->now_ms < until_ms; day->now_ms += POLL_MS)
    {
      if (day->now_ms % every_ms == 0)
        submit (day, day->job_count % 2 == 0 ? "fit" : "scan",
                1 + day->job_count % JOB_TASKS);
      day_round (day);
      day_poll (day);
    }
}

/* Once the pair is known, tasks are beside each other less than half as often
   as while it was not, at the same load.  */
static void
test_disturbing_tasks_are_kept_apart (void)
{
  struct day learns;
  struct day blind;

  day_set_up (&learns, 2.0);
  day_set_up (&blind, 2.0);
  blind.shows_polls = false;
  day_play (&learns, 30000, 1500);
  day_play (&blind, 30000, 1500);
  learns.beside = blind.beside = 0;
  day_play (&learns, 60000, 1500);
  day_play (&blind, 60000, 1500);
  CU_ASSERT_TRUE (blind.beside > 0);
  CU_ASSERT_TRUE (learns.beside * 2 < blind.beside);
  CU_ASSERT_TRUE (sd_neighbours (learns.sched).kept_apart > 0);
  CU_ASSERT_EQUAL (sd_neighbours (blind.sched).kept_apart, 0);
  day_tear_down (&learns);
  day_tear_down (&blind);
}

static void
test_without_disturbance_decisions_stay (void)
{
  struct day learns;
  struct day blind;

  day_set_up (&learns, 1.0);
  day_set_up (&blind, 1.0);
  blind.shows_polls = false;
  day_play (&learns, 90000, 1500);
  day_play (&blind, 90000, 1500);
  CU_ASSERT_EQUAL (sd_neighbours (learns.sched).known_pairs, 0);
  CU_ASSERT_STRING_EQUAL (learns.starts->str, blind.starts->str);
  day_tear_down (&learns);
  day_tear_down (&blind);
}

/* More waits than fits: no worker is left idle for what is known.  */
static void
test_full_fleet_stays_full (void)
{
  struct day day;
  uint32_t i;

  day_set_up (&day, 2.0);
  day_play (&day, 40000, 1500);
  CU_ASSERT_TRUE (sd_neighbours (day.sched).known_pairs > 0);
  for (i = 0; i < 20; i++)
    submit (&day, i % 2 == 0 ? "fit" : "scan", JOB_TASKS);
  day.running = 0;
  for (i = 0; i < 8; i++, day.now_ms += POLL_MS)
    {
      day_round (&day);
      day_poll (&day);
    }
  CU_ASSERT_EQUAL (day.running, 8 * FLEET * 2);
  day_tear_down (&day);
}

/* A serving task loses by a neighbour only if its tail would pass its target.
 */
static void
test_tail_below_target_loses_nothing (void)
{
  struct day day;
  struct jb_job *serving;
  struct jb_job *waiting;
  struct sd_worker *worker;
  uint32_t i;

  day_set_up (&day, 2.0);
  day_play (&day, 20000, 1500);
  for (i = 0; i < day.job_count; i++)
    sd_job_cancelled (day.sched, day.jobs[i], day.now_ms);
  submit (&day, "fit", 1);
  serving = day.jobs[day.job_count - 1];
  serving->spec->steps[0].tail_target_ms = 100;
  submit (&day, "scan", 1);
  waiting = day.jobs[day.job_count - 1];
  worker = g_ptr_array_index (sd_workers (day.sched), 0);
  g_ptr_array_add (worker->tasks, &serving->tasks[0]);
  serving->tasks[0].reported_load = 40;
  CU_ASSERT_EQUAL (
      sd_neighbour_penalty (day.sched, worker, &waiting->steps[0]), 0);
  serving->tasks[0].reported_load = 80;
  CU_ASSERT_TRUE (sd_neighbour_penalty (day.sched, worker, &waiting->steps[0])
                  > 0);
  g_ptr_array_remove (worker->tasks, &serving->tasks[0]);
  day_tear_down (&day);
}

/* Another term of this host: its runs are followed anew, and what is known of
   their kinds stays.  */
static void
test_new_term_keeps_what_is_known (void)
{
  struct day day;
  guint i;

  day_set_up (&day, 2.0);
  day_play (&day, 20000, 1500);
  sd_begin_term (day.sched, day.now_ms);
  for (i = 0; i < FLEET; i++)
    sd_worker_set_reachability (g_ptr_array_index (sd_workers (day.sched), i),
                                SD_WORKER_REACHABLE);
  day_play (&day, 5000, 1500);
  CU_ASSERT_TRUE (sd_neighbours (day.sched).known_pairs > 0);
  day_tear_down (&day);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "two kinds that disturb each other, and two that do not",
      test_two_disturb_two_do_not },
    { "workers that are slow by themselves are no bad neighbours",
      test_slow_workers_are_no_neighbours },
    { "an amount that changes within seconds is followed",
      test_amount_changes_within_seconds },
    { "what is not confirmed fades", test_fades_without_evidence },
    { "tails rise by neighbours, by the own load, by its pacing",
      test_tails_of_serving_tasks },
    { "many kinds take bounded memory", test_many_kinds },
    { "tasks that disturb each other are kept apart",
      test_disturbing_tasks_are_kept_apart },
    { "without disturbance decisions stay as they were",
      test_without_disturbance_decisions_stay },
    { "a full fleet stays full", test_full_fleet_stays_full },
    { "a tail below its target loses nothing",
      test_tail_below_target_loses_nothing },
    { "a new term keeps what is known", test_new_term_keeps_what_is_known },
  };

  return check_run ("hostd interfere", tests, G_N_ELEMENTS (tests));
}
