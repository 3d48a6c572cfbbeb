#include "sched/estimate.h"

#include <glib.h>
#include <math.h>

/* The caller's estimate weighs as much as this number of finished runs, so
   that a first outlier changes little.  */
#define ES_PRIOR_RUNS 3.0
/* Old runs decay: about this number of the last ones counts, to follow a queue
   whose work changes within minutes.  */
#define ES_WINDOW_RUNS 100.0

/* A linear regression of ln (run time in ms) on ln (estimate in ms) over the
   runs of a queue; logarithms since run times differ by factors.  */
struct es_queue_stats
{
  double weight; /* number of runs, decayed */
  double mean_ln_estimate;
  double mean_ln_took;
  double weighted_variance;   /* of ln (estimate), times weight */
  double weighted_covariance; /* times weight */
};

struct es_table
{
  GHashTable *queues; /* name -> struct es_queue_stats */
};

struct es_table *
es_create (void)
{
  struct es_table *table = g_new0 (struct es_table, 1);

  table->queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return table;
}

void
es_free (struct es_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->queues);
  g_free (table);
}

static double
ln_ms (int64_t time_ms)
{
  return log ((double)MAX (time_ms, 1));
}

void
es_learn (struct es_table *table, const char *queue, int64_t estimate_ms,
          int64_t took_ms)
{
  struct es_queue_stats *stats = g_hash_table_lookup (table->queues, queue);
  double decay;
  double estimate_deviation;
  double took_deviation;

  if (stats == NULL)
    {
      stats = g_new0 (struct es_queue_stats, 1);
      g_hash_table_insert (table->queues, g_strdup (queue), stats);
    }
  decay = stats->weight < ES_WINDOW_RUNS ? 1.0 : 1.0 - 1.0 / ES_WINDOW_RUNS;
  stats->weight = stats->weight * decay + 1.0;
  estimate_deviation = ln_ms (estimate_ms) - stats->mean_ln_estimate;
  took_deviation = ln_ms (took_ms) - stats->mean_ln_took;
  stats->mean_ln_estimate += estimate_deviation / stats->weight;
  stats->mean_ln_took += took_deviation / stats->weight;
  stats->weighted_variance
      = stats->weighted_variance * decay
        + estimate_deviation * (ln_ms (estimate_ms) - stats->mean_ln_estimate);
  stats->weighted_covariance
      = stats->weighted_covariance * decay
        + estimate_deviation * (ln_ms (took_ms) - stats->mean_ln_took);
}

int64_t
es_expect_ms (const struct es_table *table, const char *queue,
              int64_t estimate_ms)
{
  const struct es_queue_stats *stats
      = g_hash_table_lookup (table->queues, queue);
  double slope;
  double learned;
  double trust;

  if (stats == NULL)
    return estimate_ms;
  slope = stats->weighted_variance > 0
              ? stats->weighted_covariance / stats->weighted_variance
              : 0;
  slope = CLAMP (slope, 0.0, 1.0);
  learned = stats->mean_ln_took
            + slope * (ln_ms (estimate_ms) - stats->mean_ln_estimate);
  trust = stats->weight / (stats->weight + ES_PRIOR_RUNS);
  return (int64_t)exp (trust * learned + (1.0 - trust) * ln_ms (estimate_ms));
}
