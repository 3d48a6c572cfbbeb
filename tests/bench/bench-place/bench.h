/* bench-place: processor time of a planning round and memory of the placement
   core, by the numbers of workers, tasks and teams.  Prefix: bp_.  */

#ifndef FT_BENCH_PLACE_H
#define FT_BENCH_PLACE_H

#include <glib.h>

#include "place/place.h"

/* Size of one measured placement core.  */
struct bp_size
{
  uint32_t workers;
  uint32_t accelerators; /* of all workers together */
  uint32_t tasks;        /* that are to run; see running_tasks */
  uint32_t teams;
  uint32_t queued; /* jobs */
};

/* Distribution of processor times.  */
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
  uint32_t running_tasks;    /* reached; less than size.tasks if no more fit */
  struct bp_times placement; /* a round after one job ended and another was
                                submitted */
  struct bp_times reclaim;   /* a round in which a guaranteed job evicts
                                other jobs */
  struct bp_times loss;      /* a round after a worker is lost or returns */
  double mass_cancellation_us; /* 1,000 cancellations and their round */
  double takeover_us;          /* restoring all jobs, and the first round */
};

/* A placement core with workers, teams, running and queued jobs.  */
struct bp_cluster;

struct bp_cluster *bp_cluster_new (const struct bp_size *size, uint64_t seed);
void bp_cluster_free (struct bp_cluster *cluster);
void bp_measure (struct bp_cluster *cluster, struct bp_result *result);

/* Prints how many random sets of guarantees are accepted by buddy cells and by
   the joint packing test, and appends the figures to JSON.  */
void bp_compare_packing (GString *json);

/* A pseudo-random number below LIMIT; advances the seed.  */
uint32_t bp_random (uint64_t *seed, uint32_t limit);
/* Processor time of this thread so far.  */
double bp_cpu_us (void);
/* SAMPLES: double, in us; sorted by this call.  */
struct bp_times bp_times_from_samples (GArray *samples);

#endif
