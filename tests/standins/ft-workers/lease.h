/* The lease of one attempt on a worker, with its tasks.  Prefix: le_.  */

#ifndef FT_LEASE_H
#define FT_LEASE_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "task.h"

struct le_lease;

/* What a lease holds at present.  */
struct le_resources
{
  uint64_t cpus_milli;
  uint64_t memory_mb;
  uint64_t accelerators; /* mask */
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
  char *host; /* that asked for it last */
  uint64_t term;
  struct ev_loop *loop;
  ev_timer lapse_timer;
  int64_t lapse_ms; /* when it is due */
  GPtrArray *tasks; /* struct le_task * */
  bool started;
  struct tk_payload payload;
  void *owner; /* the worker */
};

/*! le_create () :
 *  @tasks : JSON array; @return : NULL if it is not valid. */
struct le_lease *le_create (struct ev_loop *loop, const char *job,
                            uint32_t attempt, const json_t *tasks);

/*! le_free () :
 *  Ends its tasks.  Accepts NULL. */
void le_free (struct le_lease *lease);

/*! le_same_tasks () :
 *  @return : whether both hold the same for the same tasks. */
bool le_same_tasks (const struct le_lease *a, const struct le_lease *b);

/*! le_add_held () :
 *  Adds what tasks hold that have not ended. */
void le_add_held (const struct le_lease *lease, struct le_resources *sum);

/*! le_set_ttl () :
 *  The lease lapses that long from now. */
void le_set_ttl (struct le_lease *lease, uint32_t ttl_ms);

bool le_all_ended (const struct le_lease *lease);
uint64_t le_progress_ms (const struct le_lease *lease);

/*! le_json () :
 *  @return : the lease for the state that tests see. */
json_t *le_json (const struct le_lease *lease);

#endif
