/* How fast each worker runs.  Made for this load: workers of one service run
   at 0.7 to 1.7 of the nominal speed and no report says which; a gang is done
   when its slowest member is, and a gang of urgent work on a slow worker is
   late however soon it was placed.

   The model: an observed rate = the rate of the work at the nominal speed x
   the speed of the worker x what its neighbours there leave x an error.  Work
   is shared by tasks of one step, so that tasks of a step on several workers
   compare these.  All is kept as logarithms, with a variance.  Pure.
   Prefix: sp_.  */

#ifndef FT_SCHED_SPEED_H
#define FT_SCHED_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct sp_table;

/* Progress of a task between two looks at it.  */
struct sp_observation
{
  size_t worker;       /* an index; the same for all of its observations */
  uint64_t work;       /* the same for tasks that have the same work to do */
  uint64_t task;       /* the same for all observations of a task */
  int64_t expected_ms; /* for all of the work, at the nominal speed */
  int64_t percents;    /* that it has done, above 0 */
  int64_t over_ms;     /* in this time, above 0 */
  bool at_least;       /* or in less: it has done all of its work */
  /* Earlier observations of the task in this run: they show the same part of
     the rate that is the task's own.  */
  uint32_t earlier;
  /* ln of the factor by which other tasks on the worker slowed it down; 0: not
     at all, or not known.  */
  double neighbours_ln;
};

/*! sp_residual_fn () :
 *  @residual_ln : ln of the part of the observed rate that neither the work
 *                 nor the worker nor `neighbours_ln` accounts for.
 *  @variance : of it. */
typedef void (*sp_residual_fn) (void *ctx,
                                const struct sp_observation *observation,
                                double residual_ln, double variance);

/*! sp_create () :
 *  @on_residual : called for each observation that is learned; NULL: not
 *                 wanted.
 *  @return : to be freed by sp_free (), which accepts NULL. */
struct sp_table *sp_create (sp_residual_fn on_residual, void *ctx);
void sp_free (struct sp_table *table);

/*! sp_observe () :
 *  Keeps OBSERVATION until the next sp_learn (), so that the tasks of a step
 *  that were looked at together are compared. */
void sp_observe (struct sp_table *table,
                 const struct sp_observation *observation);

/*! sp_learn () :
 *  Learns from what was observed since the last call, if that was some time
 *  ago.
 *  @now_ms : steady clock.
 *  @return : whether speeds may have changed. */
bool sp_learn (struct sp_table *table, int64_t now_ms);

/*! sp_known_ln () :
 *  @return : whether the speed of a worker is known; *ln is then set to the
 *            logarithm of it. */
bool sp_known_ln (const struct sp_table *table, size_t worker, double *ln);

/*! sp_recall () :
 *  The speed of a worker was known to be exp (LN) by an earlier planner. */
void sp_recall (struct sp_table *table, size_t worker, double ln,
                int64_t now_ms);

/* What is known of all workers.  */
struct sp_summary
{
  uint32_t known; /* workers of which the speed is known */
  /* How far the speeds of the faster and the slower workers are apart: ln of
     their ratio, less what the errors account for; 0: not at all.  */
  double spread_ln;
  bool uneven; /* that is enough to be decided by */
};

struct sp_summary sp_summary (const struct sp_table *table);

/*! sp_speed () :
 *  @return : the speed of a worker, where 1 is the mean; 1 also while it is
 *            not known, or while the workers are not uneven. */
double sp_speed (const struct sp_table *table, size_t worker);

/*! sp_level () :
 *  @return : the speed of a worker as a level, so that workers of one kind
 *            have the same one: the slower and the faster workers of the
 *            summary are at most two levels apart; 0 is the level of the mean,
 *            and of a worker that is not known. */
int32_t sp_level (const struct sp_table *table, size_t worker);

/*! sp_level_speed () :
 *  @return : the speed in the middle of a level, where 1 is the mean. */
double sp_level_speed (const struct sp_table *table, int32_t level);

/*! sp_levels_between () :
 *  @return : by how many levels a worker is slower that is slower by
 *            FACTOR. */
int32_t sp_levels_between (const struct sp_table *table, double factor);

#endif
