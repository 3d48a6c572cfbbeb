/* Task: the calls to workers while this host holds the planner's term: it
   starts and stops tasks, sets their pace, renews the leases of what runs and
   polls the workers' status.  It passes what the workers answer on to the
   scheduling core (lib/sched).  Prefix: wk_.

   One call both renews a worker's lease and polls its status; the answer lists
   the runs there and the outcomes of runs that have ended.  Outcomes of a
   worker are numbered in order.  The worker lists an outcome until it is
   acknowledged, which happens only once its effects are stored.

   What a worker runs ends by itself once its lease is over.  A worker that
   does not answer is waited for until then, before its tasks are started
   elsewhere.  */

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
  uint32_t lease_ttl_ms; /* upper limit of a lease */
  /* A stop takes at most this long, and meanwhile the run may be listed
     neither as running nor as ended.  */
  uint32_t stop_ms;
  void *ctx;
  void (*changed) (void *ctx); /* there is something to decide or store */
  void (*fenced) (void *ctx);  /* a worker has received a higher term */
};

struct workers *wk_create (const struct wk_params *params);

/*! wk_free () :
 *  Answers that come in later are ignored.  Accepts NULL. */
void wk_free (struct workers *workers);

/*! wk_begin_term (), wk_end_term () :
 *  Starts sending commands, under TERM; or stops sending any.  Answers to
 *  calls of an earlier term are ignored.
 *  @leases : the remaining leases of unreachable workers, as recorded by the
 *            previous planner; see jb_decode_leases ().  NULL: none. */
void wk_begin_term (struct workers *workers, uint64_t term,
                    GHashTable *leases);
void wk_end_term (struct workers *workers);

/*! wk_start () :
 *  Sends the start of a task that is stored as placed, and again for a while
 *  if the worker does not answer.  The scheduling core is told how it ended.
 */
void wk_start (struct workers *workers, struct jb_task *task);

/*! wk_stop () :
 *  Sends the stop of a task.  The stop is sent again as long as a later poll
 *  shows the run. */
void wk_stop (struct workers *workers, struct jb_task *task);

/*! wk_send_due_renewals () :
 *  Sends each worker the lease renewal and status poll that is due, and gives
 *  up the runs of unreachable workers whose lease is over. */
void wk_send_due_renewals (struct workers *workers);

/*! wk_count_unpolled () :
 *  @return : how many workers of the store's list have neither answered a poll
 *            under this term nor failed to. */
uint32_t wk_count_unpolled (const struct workers *workers);

/*! wk_lease_record_is_due () :
 *  @return : whether the record of unreachable workers' leases is out of date
 *            and should be stored again. */
bool wk_lease_record_is_due (const struct workers *workers);

/*! wk_collect_leases () :
 *  Collects the unreachable workers and the remaining time of their leases, to
 *  be stored for the next planner.  From now on a collected worker gets no
 *  lease renewal and no start, until a collection without it is stored: so
 *  the stored remaining time is never too short.
 *  @return : as of jb_decode_leases (), owned by the caller. */
GHashTable *wk_collect_leases (struct workers *workers);

/*! wk_leases_stored () :
 *  LIST of wk_collect_leases () has been stored.  Takes ownership of LIST. */
void wk_leases_stored (struct workers *workers, GHashTable *list);

/*! wk_mark_outcomes () :
 *  @return : up to which outcome each worker's outcomes have been processed,
 *            for workers that have outcomes to acknowledge.  To be given to
 *            wk_outcomes_stored (), or freed by the caller. */
GArray *wk_mark_outcomes (const struct workers *workers);

/*! wk_outcomes_stored () :
 *  What the outcomes up to MARK changed has been stored, so they may be
 *  acknowledged to the workers.  Takes ownership of MARK. */
void wk_outcomes_stored (struct workers *workers, GArray *mark);

#endif
