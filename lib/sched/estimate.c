#include "sched/estimate.h"

#include <glib.h>
#include <math.h>

/* What an estimate counts for until ends have been seen: as much as this many
   of them, so that a first odd one changes little.  */
#define ES_PRIOR_ENDS 3.0
/* Old ends fade: about the last this many count, to follow a queue whose work
   changes within minutes.  */
#define ES_MEMORY_ENDS 100.0

/* Moments of the logarithms: times are spread by factors.  */
struct es_queue
{
  double weight;
  double estimate;     /* mean of ln (estimate) */
  double took;         /* mean of ln (took) */
  double estimate_var; /* weight times variance */
  double covariance;   /* weight times covariance */
};

struct es_table
{
  GHashTable *queues; /* name -> struct es_queue */
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
log_ms (int64_t time_ms)
{
  return log ((double)MAX (time_ms, 1));
}

void
es_learn (struct es_table *table, const char *queue, int64_t estimate_ms,
          int64_t took_ms)
{
  struct es_queue *known = g_hash_table_lookup (table->queues, queue);
  double fade;
  double estimate_off;
  double took_off;

  if (known == NULL)
    {
      known = g_new0 (struct es_queue, 1);
      g_hash_table_insert (table->queues, g_strdup (queue), known);
    }
  fade = known->weight < ES_MEMORY_ENDS ? 1.0 : 1.0 - 1.0 / ES_MEMORY_ENDS;
  known->weight = known->weight * fade + 1.0;
  estimate_off = log_ms (estimate_ms) - known->estimate;
  took_off = log_ms (took_ms) - known->took;
  known->estimate += estimate_off / known->weight;
  known->took += took_off / known->weight;
  known->estimate_var
      = known->estimate_var * fade
        + estimate_off * (log_ms (estimate_ms) - known->estimate);
  known->covariance = known->covariance * fade
                      + estimate_off * (log_ms (took_ms) - known->took);
}

int64_t
es_expect_ms (const struct es_table *table, const char *queue,
              int64_t estimate_ms)
{
  const struct es_queue *known = g_hash_table_lookup (table->queues, queue);
  double slope;
  double learned;
  double trust;

  if (known == NULL)
    return estimate_ms;
  slope
      = known->estimate_var > 0 ? known->covariance / known->estimate_var : 0;
  slope = CLAMP (slope, 0.0, 1.0);
  learned = known->took + slope * (log_ms (estimate_ms) - known->estimate);
  trust = known->weight / (known->weight + ES_PRIOR_ENDS);
  return (int64_t)exp (trust * learned + (1.0 - trust) * log_ms (estimate_ms));
}
