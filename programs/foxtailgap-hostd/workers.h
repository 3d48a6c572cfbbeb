/* Task: the calls to workers while this host holds the planner's term: holds
   what runs, looks, starts, stops.  Tells the scheduling core what it hears.
   Prefix: wk_.  */

#ifndef FT_HOSTD_WORKERS_H
#define FT_HOSTD_WORKERS_H

#include <ev.h>

#include "common/metrics.h"
#include "sched/sched.h"
#include "worker/worker_port.h"

struct workers;

struct wk_params
{
  struct ev_loop *loop;
  struct wp_port port;
  struct sd_sched *sched;
  struct jb_table *table;
  struct mt_registry *metrics;
  uint32_t lease_ttl_ms;
  uint32_t stop_ms; /* a run that ends may be in no list for this long */
  void *ctx;
  void (*changed) (void *ctx); /* something is to be decided or recorded */
  void (*fenced) (void *ctx);  /* a worker has seen a higher term */
};

struct workers *wk_create (const struct wk_params *params);

/*! wk_free () :
 *  Answers that are still to come are dropped. */
void wk_free (struct workers *workers);

/*! wk_begin_term (), wk_end_term () :
 *  Orders carry TERM from now on; or no orders are sent.
 *  @leases : what the planner before has recorded of workers that were out of
 *            touch, see jb_decode_leases (); NULL: nothing. */
void wk_begin_term (struct workers *workers, uint64_t term,
                    GHashTable *leases);
void wk_end_term (struct workers *workers);

/*! wk_start () :
 *  Sends the start of a task that is recorded as placed. */
void wk_start (struct workers *workers, struct jb_task *task);

/*! wk_stop () :
 *  Sends the stop of a task, and again until it is known to be gone. */
void wk_stop (struct workers *workers, struct jb_task *task);

/*! wk_send_due_renewals () :
 *  Sends the holds that are due. */
void wk_send_due_renewals (struct workers *workers);

/*! wk_count_unpolled () :
 *  @return : listed workers that have not been asked yet under this term. */
uint32_t wk_count_unpolled (const struct workers *workers);

/*! wk_lease_record_is_due () :
 *  @return : whether the workers that are out of touch should be recorded
 *            restarted. */
bool wk_lease_record_is_due (const struct workers *workers);

/*! wk_collect_leases () :
 *  Takes down the workers that are out of touch and what is left of their
 *  leases, for the next planner.  A worker on the list is not held again and
 *  starts nothing until a list without it is stored, so that the list stays
 *  true whatever this host does.
 *  @return : as of jb_decode_leases (), the caller's. */
GHashTable *wk_collect_leases (struct workers *workers);

/*! wk_leases_stored () :
 *  That list is stored. */
void wk_leases_stored (struct workers *workers, GHashTable *list);

/*! wk_mark_outcomes () :
 *  Takes down which ends have been heard of so far.  Returned to
 *  wk_outcomes_stored () once what they changed is stored. */
GArray *wk_mark_outcomes (const struct workers *workers);
void wk_outcomes_stored (struct workers *workers, GArray *mark);

#endif
