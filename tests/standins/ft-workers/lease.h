/* The lease of one attempt on a worker, with its tasks.  Prefix: le_.  */

#ifndef FT_LEASE_H
#define FT_LEASE_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "task.h"

struct le_lease;

/* Sum of the resources of tasks.  */
struct le_resources
{
  uint64_t cpus_milli;
  uint64_t memory_mb;
  uint64_t accelerator_mask; /* one bit for each accelerator */
};

struct le_task
{
  struct tk_task task;
  struct le_lease *lease;
};

struct le_lease
{
  char *job;
  uint32_t attempt;
  char *host;    /* the scheduler host that granted it last; NULL: none yet */
  uint64_t term; /* planner term of the last grant */
  struct ev_loop *loop;
  ev_timer lapse_timer;
  int64_t lapse_at_ms; /* time of tk_now_ms () at which the lease lapses */
  GPtrArray *tasks;    /* struct le_task * */
  bool started;        /* its tasks were started under this lease */
  struct tk_payload payload; /* set when started */
  void *owner;               /* the worker */
};

/*! le_create () :
 *  @tasks : JSON array of objects with task, cpus_milli, memory_mb and
 *  accelerators.
 *  @return : to be freed by le_free (); NULL if TASKS is empty or not valid,
 *  or two of its tasks have the same number or share an accelerator. */
struct le_lease *le_create (struct ev_loop *loop, const char *job,
                            uint32_t attempt, const json_t *tasks);

/*! le_free () :
 *  Stops the tasks of the lease.  Accepts NULL. */
void le_free (struct le_lease *lease);

/*! le_has_same_tasks () :
 *  @return : whether both leases have the same tasks with equal resources. */
bool le_has_same_tasks (const struct le_lease *a, const struct le_lease *b);

/*! le_add_held_resources () :
 *  Adds the resources of the tasks that have not ended to SUM. */
void le_add_held_resources (const struct le_lease *lease,
                            struct le_resources *sum);

/*! le_set_ttl () :
 *  Makes the lease lapse TTL_MS from now. */
void le_set_ttl (struct le_lease *lease, uint32_t ttl_ms);

/*! le_all_ended () :
 *  @return : whether all tasks of the lease have ended. */
bool le_all_ended (const struct le_lease *lease);

/*! le_progress_ms () :
 *  @return : the progress of the task with the least progress. */
uint64_t le_progress_ms (const struct le_lease *lease);

/*! le_json () :
 *  @return : the lease as GET /state shows it; owned by the caller. */
json_t *le_json (const struct le_lease *lease);

#endif
