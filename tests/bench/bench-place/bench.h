/* Measurements of the placement core: what a planning round costs and what
   its state takes, against workers, tasks and teams.  Prefix: bp_.  */

#ifndef FT_BENCH_PLACE_H
#define FT_BENCH_PLACE_H

#include <glib.h>

#include "place/place.h"

/* The size of one measured state.  */
struct bp_size
{
  uint32_t workers;
  uint32_t accelerators;
  uint32_t tasks;
  uint32_t teams;
  uint32_t queued;
};

/* Times in microseconds.  */
struct bp_times
{
  double p50_us;
  double p99_us;
  double max_us;
};

struct bp_result
{
  struct bp_size size;
  uint64_t state_bytes;
  uint32_t running_tasks;
  struct bp_times placement; /* one job ended, one submitted, one round */
  struct bp_times reclaim;   /* a guaranteed job that evicts */
  struct bp_times loss;      /* a worker lost, and back */
  double wave_us;            /* 1,000 cancellations and their round */
  double takeover_us;        /* all jobs restored, first round */
};

/* A placement core filled to a size.  */
struct bp_cluster;

struct bp_cluster *bp_cluster_new (const struct bp_size *size, uint64_t seed);
void bp_cluster_free (struct bp_cluster *cluster);
void bp_measure (struct bp_cluster *cluster, struct bp_result *result);

/* Prints how many sets of guarantees buddy cells and the joint packing test
   accept.  */
void bp_packing (GString *json);

uint32_t bp_draw (uint64_t *seed, uint32_t limit);
/* Processor time of this thread.  */
double bp_now_us (void);
struct bp_times bp_times_of (GArray *samples);

#endif
