#include "sched/speed.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

enum
{
  LEARN_INTERVAL_MS = 100,
  PENDING_MAX = 50000,  /* observations, while no round is held */
  WORK_KEPT_MS = 30000, /* after its last observation */
  KNOWN_MIN = 6,        /* known workers, to call a fleet uneven */
  SLOWER_PERCENT = 15,  /* the quantiles that are compared for the spread */
  FASTER_PERCENT = 85,
  /* Tasks in a row that disagree with what is known of their worker; one may
     only have more work than the others.  */
  SURPRISES_MAX = 2,
  EARLIER_MAX = 4 /* observations of a task, to count for still less */
};

/* Of a worker of which nothing is known: speeds of normal workers differ by a
   factor of 1.6 either way.  */
#define PRIOR_VARIANCE 0.2
#define KNOWN_VARIANCE 0.06
#define RECALLED_VARIANCE 0.02
#define VARIANCE_MIN 0.003
#define VARIANCE_PER_MS 3e-7
/* Of the tasks of a step among each other, and of the expected run time.  */
#define TASK_VARIANCE 0.05
#define WORK_PRIOR_VARIANCE 0.36
#define ROUNDING_PERCENTS 0.4 /* of a progress in whole percents */
/* An observation that is this many standard deviations off counts less.  */
#define SURPRISE_DEVIATIONS 2.5
#define CENTER_RANGE 1.0
#define LEVEL_LN_MIN 0.15
#define UNEVEN_LN 0.12
/* Between the two quantiles of normally distributed errors, in standard
   deviations.  */
#define QUANTILES_APART 2.07

struct worker_speed
{
  double ln; /* of its speed */
  double variance;
  int64_t changed_ms;
  uint64_t surprising_task;
  uint32_t surprises; /* in a row */
  bool surprised_up;
  bool seen;
};

/* Of the tasks of a step: ln of the percents done in a millisecond.  */
struct work_rate
{
  double ln;
  double precision; /* 1 / variance */
  int64_t used_ms;
};

struct sp_table
{
  GArray *workers;   /* struct worker_speed */
  GArray *pending;   /* struct sp_observation */
  GHashTable *works; /* uint64_t -> struct work_rate */
  GArray *sorted;    /* double: scratch, the known speeds */
  struct sp_summary summary;
  double slower_ln; /* the speed of the slower workers: a level, */
  double level_ln;  /* and its distance to the next */
  bool recalled;    /* speeds, since the last sp_learn () */
  int64_t learned_ms;
  int64_t swept_ms;
  sp_residual_fn on_residual;
  void *ctx;
};

struct sp_table *
sp_create (sp_residual_fn on_residual, void *ctx)
{
  struct sp_table *table = g_new0 (struct sp_table, 1);

  table->workers = g_array_new (FALSE, TRUE, sizeof (struct worker_speed));
  table->pending = g_array_new (FALSE, FALSE, sizeof (struct sp_observation));
  table->sorted = g_array_new (FALSE, FALSE, sizeof (double));
  table->works
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  table->level_ln = LEVEL_LN_MIN;
  table->on_residual = on_residual;
  table->ctx = ctx;
  return table;
}

void
sp_free (struct sp_table *table)
{
  if (table == NULL)
    return;
  g_array_free (table->workers, TRUE);
  g_array_free (table->pending, TRUE);
  g_array_free (table->sorted, TRUE);
  g_hash_table_destroy (table->works);
  g_free (table);
}

void
sp_observe (struct sp_table *table, const struct sp_observation *observation)
{
  if (table->pending->len < PENDING_MAX && observation->percents > 0
      && observation->over_ms > 0 && observation->expected_ms > 0)
    g_array_append_val (table->pending, *observation);
}

/* --- Learning --- */

static struct worker_speed *
worker_at (struct sp_table *table, size_t index, int64_t now_ms)
{
  struct worker_speed *worker;

  if (index >= table->workers->len)
    g_array_set_size (table->workers, (guint)index + 1);
  worker = &g_array_index (table->workers, struct worker_speed, index);
  if (!worker->seen)
    *worker = (struct worker_speed){ .variance = PRIOR_VARIANCE,
                                     .changed_ms = now_ms,
                                     .seen = true };
  return worker;
}

/* What was known of a worker is less certain after some time.  */
static void
age_worker (struct worker_speed *worker, int64_t now_ms)
{
  worker->variance
      = MIN (worker->variance
                 + VARIANCE_PER_MS * (double)(now_ms - worker->changed_ms),
             PRIOR_VARIANCE);
  worker->changed_ms = now_ms;
}

static struct work_rate *
work_of (struct sp_table *table, const struct sp_observation *observation,
         int64_t now_ms)
{
  struct work_rate *work
      = g_hash_table_lookup (table->works, &observation->work);

  if (work == NULL)
    {
      work = g_new0 (struct work_rate, 1);
      work->ln = log (100.0 / (double)observation->expected_ms);
      work->precision = 1.0 / WORK_PRIOR_VARIANCE;
      g_hash_table_insert (table->works,
                           g_memdup2 (&observation->work, sizeof (uint64_t)),
                           work);
    }
  work->used_ms = now_ms;
  return work;
}

static double
observed_ln (const struct sp_observation *observation)
{
  return log ((double)observation->percents / (double)observation->over_ms)
         - observation->neighbours_ln;
}

static double
error_variance (const struct sp_observation *observation)
{
  double rounding = ROUNDING_PERCENTS / (double)observation->percents;
  double looks = 1.0 + MIN (observation->earlier, EARLIER_MAX);

  /* The sum of 1 / looks^2 is bounded, as what a task can show is.  */
  return TASK_VARIANCE * looks * looks + rounding * rounding;
}

/* How much an observation counts that is OFF by so much.  Tasks in a row that
   are off the same way show that the speed itself has changed.  */
static double
judge_surprise (struct worker_speed *worker, uint64_t task, double off,
                double variance)
{
  double deviations = fabs (off) / sqrt (variance);

  if (deviations <= SURPRISE_DEVIATIONS)
    {
      worker->surprises = 0;
      return 1.0;
    }
  if (worker->surprises > 0 && worker->surprised_up != (off > 0))
    worker->surprises = 0;
  if (worker->surprises == 0 || worker->surprising_task != task)
    worker->surprises++;
  worker->surprising_task = task;
  worker->surprised_up = off > 0;
  if (worker->surprises >= SURPRISES_MAX)
    {
      worker->surprises = 0;
      worker->variance = PRIOR_VARIANCE;
      return 1.0;
    }
  return SURPRISE_DEVIATIONS * SURPRISE_DEVIATIONS / (deviations * deviations);
}

/* @work_ln, work_variance : as the other observations show the work.  */
static void
learn_worker (struct sp_table *table, const struct sp_observation *observation,
              double work_ln, double work_variance, int64_t now_ms)
{
  struct worker_speed *worker = worker_at (table, observation->worker, now_ms);
  double error = error_variance (observation) + work_variance;
  double off = observed_ln (observation) - work_ln - worker->ln;
  double counts;
  double gain;

  if (observation->at_least && off <= 0)
    return;
  counts = judge_surprise (worker, observation->task, off,
                           worker->variance + error);
  gain = worker->variance / (worker->variance + error / counts);
  if (table->on_residual != NULL)
    table->on_residual (table->ctx, observation, off,
                        worker->variance + error);
  worker->ln += gain * off;
  worker->variance = MAX ((1.0 - gain) * worker->variance, VARIANCE_MIN);
}

/* Learns from COUNT observations of the same work.  Each worker is compared
   with what the others show of the work.  */
static void
learn_work (struct sp_table *table, const struct sp_observation *first,
            guint count, int64_t now_ms)
{
  struct work_rate *work = work_of (table, first, now_ms);
  double precision = work->precision;
  double weighted = work->ln * work->precision;
  double *precisions = g_new (double, count);
  double *shown = g_new (double, count);
  guint i;

  for (i = 0; i < count; i++)
    {
      struct worker_speed *worker = worker_at (table, first[i].worker, now_ms);

      age_worker (worker, now_ms);
      precisions[i]
          = first[i].at_least
                ? 0
                : 1.0 / (worker->variance + error_variance (&first[i]));
      shown[i] = observed_ln (&first[i]) - worker->ln;
      precision += precisions[i];
      weighted += shown[i] * precisions[i];
    }
  for (i = 0; i < count; i++)
    {
      double others = precision - precisions[i];

      learn_worker (table, &first[i],
                    (weighted - shown[i] * precisions[i]) / others,
                    1.0 / others, now_ms);
    }
  work->ln = weighted / precision;
  work->precision = precision;
  g_free (precisions);
  g_free (shown);
}

static int
compare_works (const void *a, const void *b)
{
  const struct sp_observation *left = a;
  const struct sp_observation *right = b;

  if (left->work != right->work)
    return left->work < right->work ? -1 : 1;
  return (left->task > right->task) - (left->task < right->task);
}

static gboolean
work_is_old (void *key, void *value, void *ctx)
{
  const struct work_rate *work = value;
  const int64_t *now_ms = ctx;

  (void)key;
  return *now_ms - work->used_ms > WORK_KEPT_MS;
}

/* --- All workers --- */

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static double
quantile (const GArray *sorted, guint percent)
{
  return g_array_index (sorted, double, (sorted->len - 1) * percent / 100);
}

/* Moves all speeds so that the mean of the known ones is 1.  Some that are far
   off, as of workers with a fault, do not move it.  */
static void
center_speeds (struct sp_table *table)
{
  double median = quantile (table->sorted, 50);
  double sum = 0;
  double center;
  GHashTableIter iter;
  void *value;
  guint i;

  for (i = 0; i < table->sorted->len; i++)
    sum += CLAMP (g_array_index (table->sorted, double, i),
                  median - CENTER_RANGE, median + CENTER_RANGE);
  center = sum / table->sorted->len;
  table->slower_ln = quantile (table->sorted, SLOWER_PERCENT) - center;
  for (i = 0; i < table->workers->len; i++)
    g_array_index (table->workers, struct worker_speed, i).ln -= center;
  g_hash_table_iter_init (&iter, table->works);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct work_rate *)value)->ln += center;
}

static bool
is_known (const struct worker_speed *worker)
{
  return worker->seen && worker->variance < KNOWN_VARIANCE;
}

static void
summarize (struct sp_table *table)
{
  double variance = 0;
  double apart;
  double by_error;
  guint i;

  g_array_set_size (table->sorted, 0);
  for (i = 0; i < table->workers->len; i++)
    {
      const struct worker_speed *worker
          = &g_array_index (table->workers, struct worker_speed, i);

      if (!is_known (worker))
        continue;
      g_array_append_val (table->sorted, worker->ln);
      variance += worker->variance;
    }
  table->summary = (struct sp_summary){ .known = table->sorted->len };
  if (table->sorted->len < KNOWN_MIN)
    return;
  g_array_sort (table->sorted, compare_doubles);
  apart = quantile (table->sorted, FASTER_PERCENT)
          - quantile (table->sorted, SLOWER_PERCENT);
  by_error = QUANTILES_APART * sqrt (variance / table->sorted->len);
  table->summary.spread_ln = MAX (apart - by_error, 0);
  table->summary.uneven = table->summary.spread_ln > UNEVEN_LN;
  table->level_ln = MAX (apart / 2, LEVEL_LN_MIN);
  center_speeds (table);
}

/* Counted from the slower workers.  */
static int32_t
level_of (const struct sp_table *table, double ln)
{
  return (int32_t)lround ((ln - table->slower_ln) / table->level_ln);
}

bool
sp_learn (struct sp_table *table, int64_t now_ms)
{
  const struct sp_observation *pending;
  guint first;
  guint next;

  if (!table->recalled
      && (table->pending->len == 0
          || (table->learned_ms != 0
              && now_ms - table->learned_ms < LEARN_INTERVAL_MS)))
    return false;
  table->recalled = false;
  table->learned_ms = now_ms;
  g_array_sort (table->pending, compare_works);
  pending = (const struct sp_observation *)(const void *)table->pending->data;
  for (first = 0; first < table->pending->len; first = next)
    {
      for (next = first + 1; next < table->pending->len
                             && pending[next].work == pending[first].work;)
        next++;
      learn_work (table, &pending[first], next - first, now_ms);
    }
  g_array_set_size (table->pending, 0);
  if (now_ms - table->swept_ms > WORK_KEPT_MS)
    {
      g_hash_table_foreach_remove (table->works, work_is_old, &now_ms);
      table->swept_ms = now_ms;
    }
  summarize (table);
  return true;
}

bool
sp_known_ln (const struct sp_table *table, size_t worker, double *ln)
{
  const struct worker_speed *found;

  if (worker >= table->workers->len)
    return false;
  found = &g_array_index (table->workers, struct worker_speed, worker);
  *ln = found->ln;
  return is_known (found);
}

void
sp_recall (struct sp_table *table, size_t worker, double ln, int64_t now_ms)
{
  struct worker_speed *found = worker_at (table, worker, now_ms);

  *found = (struct worker_speed){
    .ln = ln, .variance = RECALLED_VARIANCE, .changed_ms = now_ms, .seen = true
  };
  table->recalled = true;
}

struct sp_summary
sp_summary (const struct sp_table *table)
{
  return table->summary;
}

static const struct worker_speed *
find_worker (const struct sp_table *table, size_t index)
{
  const struct worker_speed *worker;

  if (!table->summary.uneven || index >= table->workers->len)
    return NULL;
  worker = &g_array_index (table->workers, struct worker_speed, index);
  return worker->seen ? worker : NULL;
}

double
sp_speed (const struct sp_table *table, size_t worker)
{
  const struct worker_speed *found = find_worker (table, worker);

  return found == NULL ? 1.0 : exp (found->ln);
}

int32_t
sp_level (const struct sp_table *table, size_t worker)
{
  const struct worker_speed *found = find_worker (table, worker);

  return found == NULL ? 0 : level_of (table, found->ln) - level_of (table, 0);
}

double
sp_level_speed (const struct sp_table *table, int32_t level)
{
  return exp (table->slower_ln
              + (level + level_of (table, 0)) * table->level_ln);
}

int32_t
sp_levels_between (const struct sp_table *table, double factor)
{
  return (int32_t)lround (log (factor) / table->level_ln);
}
