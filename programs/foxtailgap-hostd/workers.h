/* Makes the calls to workers while this host holds the planner's term: starts
   and stops tasks, sets their pace, renews the leases of what runs and polls
   the workers' status.  Passes what the workers answer on to the scheduling
   core (lib/sched).  Prefix: wk_.

   One call both renews a worker's lease and polls its status; the answer lists
   the runs there and the outcomes of runs that have ended.  Outcomes of a
   worker are numbered in order.  The worker lists an outcome until it is
   acknowledged, which happens only once its effects are stored.

   What a worker runs ends by itself once its lease is over.  The tasks of a
   worker that does not answer are started elsewhere only after that.  */

#ifndef FT_HOSTD_WORKERS_H
#define FT_HOSTD_WORKERS_H

#include <ev.h>

#include "common/metrics.h"
#include "sched/sched.h"
#include "worker/worker_port.h"

struct worker_calls;

enum
{
  /* A start takes effect within this time or never.  */
  WK_START_EXPIRY_MS = 1260
};

struct wk_params
{
  struct ev_loop *loop;
  struct wp_port port;
  struct sd_sched *sched;
  struct jb_table *table;
  struct mt_registry *metrics;
  uint32_t lease_ttl_ms; /* leases are not renewed for longer */
  /* Workers shorten a longer lease to this.  */
  uint32_t lease_limit_ms;
  /* The time of a stop: it takes at most this long, and meanwhile the run may
     be listed neither as running nor as ended.  */
  uint32_t stop_max_ms;
  /* After this time a worker that neither answers nor is in the store's list
     is taken for crashed.  */
  uint32_t absence_max_ms;
  /* Of the host's network link, for calls to workers; 0: no limit.  */
  uint32_t link_bytes_per_s;
  void *ctx;
  void (*changed) (void *ctx); /* there is something to decide or store */
  void (*fenced) (void *ctx);  /* a worker has received a higher term */
  /* A worker has restarted, and the report of its new process has not been
     read.  NULL: not called.  */
  void (*report_needed) (void *ctx);
  /* Whether the term is known to hold.  While it is not, for the process has
     been paused, no start or stop is sent and no lease is renewed.  NULL:
     always.  */
  bool (*may_command) (void *ctx);
  /* Whether it is known recently enough which data centres are closed for new
     work.  While it is not, no start is sent.  NULL: always.  */
  bool (*knows_closed) (void *ctx);
  /* When the last append under this term that is stored was sent.  NULL:
     always now.  */
  int64_t (*term_stored_ms) (void *ctx);
};

struct worker_calls *wk_create (const struct wk_params *params);

/*! wk_free () :
 *  Answers that come in later are ignored.  Accepts NULL. */
void wk_free (struct worker_calls *workers);

/*! wk_begin_term (), wk_end_term () :
 *  Starts sending commands, under TERM; or stops sending any.  Answers to
 *  calls of an earlier term are ignored.  wk_begin_term () is to be called
 *  after sd_begin_term ().
 *  @leases : the remaining leases of unreachable workers, as recorded by the
 *            previous planner; see jb_decode_leases ().  NULL: none. */
void wk_begin_term (struct worker_calls *workers, uint64_t term,
                    GHashTable *leases);
void wk_end_term (struct worker_calls *workers);

/*! wk_needs_higher_term () :
 *  @return : whether a worker waits for a higher term, so that it refuses
 * calls that were sent to its former process. */
bool wk_needs_higher_term (const struct worker_calls *workers);

/*! wk_term_raised () :
 *  This planner holds TERM now, higher than before; what it has sent under the
 *  former term still counts. */
void wk_term_raised (struct worker_calls *workers, uint64_t term);

/*! wk_worker_reported () :
 *  The report of WORKER has been read from the store's list.  If its process
 *  has restarted, it gets no start until it has answered a poll. */
void wk_worker_reported (struct worker_calls *workers,
                         struct sd_worker *worker);

/*! wk_worker_list_read () :
 *  The store's list of workers has been read as a whole under this term. */
void wk_worker_list_read (struct worker_calls *workers);

/*! wk_start () :
 *  Sends the start of a task that is stored as placed, once the window of
 *  calls has room and the worker's clock has been read recently, and again for
 *  a while if the worker does not answer.  The scheduling core is told how it
 *  ended. */
void wk_start (struct worker_calls *workers, struct jb_task *task);

/*! wk_drop_unsent_run () :
 *  The run of TASK is being stopped, and its start has not been sent and never
 *  will be: it is on no worker, whatever a poll would say.  The scheduling
 * core is told that it is gone. */
void wk_drop_unsent_run (struct worker_calls *workers, struct jb_task *task);

/*! wk_stop () :
 *  Sends the stop of a task, if orders may be given now.  The stop is sent
 *  again as long as a later poll shows the run. */
void wk_stop (struct worker_calls *workers, struct jb_task *task);

/*! wk_send_waiting () :
 *  Sends the starts that wait and the lease renewals and status polls that are
 *  due, as many as the window of calls has room for, and gives up the runs of
 *  workers that are not reachable and whose lease is over.  To be called every
 *  few tens of milliseconds at least. */
void wk_send_waiting (struct worker_calls *workers);

/*! wk_observe_lag () :
 *  The event loop was late by lag_ms; see cw_observe_lag (). */
void wk_observe_lag (struct worker_calls *workers, int64_t lag_ms);

/*! wk_window (), wk_waiting_starts () :
 *  How many calls may be open now, see cw_size (), and how many starts wait to
 *  be sent. */
uint32_t wk_window (const struct worker_calls *workers);
uint32_t wk_waiting_starts (const struct worker_calls *workers);

/* The budget of the host's link, for the log.  */
struct wk_link_state
{
  uint32_t bytes_per_s;
  int64_t level_bytes; /* left; negative: none is left until it is repaid */
};

/*! wk_link_state () :
 *  @return : as it is now. */
struct wk_link_state wk_link_state (struct worker_calls *workers);

/*! wk_why_unsent () :
 *  Looks through all starts that wait, so it is not for every task.
 *  @return : what the start of TASK waits for, which is stored and not sent; a
 *            constant text. */
const char *wk_why_unsent (struct worker_calls *workers,
                           const struct jb_task *task);

/*! wk_backlog_ms () :
 *  @urgent_only : whether to count the starts of urgent jobs only.
 *  @return : for how long the starts that wait will keep the host's link
 *            busy. */
int64_t wk_backlog_ms (const struct worker_calls *workers, bool urgent_only);

/*! wk_count_unpolled () :
 *  @return : how many workers of the store's list have had no poll under this
 *            term that has ended, with or without an answer. */
uint32_t wk_count_unpolled (const struct worker_calls *workers);

/*! wk_lease_record_is_due () :
 *  @return : whether the record of unreachable workers' leases (see
 *            wk_collect_leases ()) is out of date and should be stored
 *            again. */
bool wk_lease_record_is_due (const struct worker_calls *workers);

/*! wk_collect_leases () :
 *  Collects the workers that may have runs and whose leases are not renewed,
 *  because they do not answer or are known from stored records only, with the
 *  remaining time of these leases, to be stored for the next planner.  From
 *  now on, and until a collection without it has been stored, a collected
 *  worker gets no lease renewal and no start.  So no lease ever lasts longer
 *  than the stored record says.
 *  @return : as of jb_decode_leases (), owned by the caller. */
GHashTable *wk_collect_leases (struct worker_calls *workers);

/*! wk_leases_stored () :
 *  LIST of wk_collect_leases () has been stored.  Takes ownership of LIST. */
void wk_leases_stored (struct worker_calls *workers, GHashTable *list);

/*! wk_mark_outcomes () :
 *  @return : up to which outcome each worker's outcomes have been processed,
 *            for workers that have outcomes to acknowledge.  To be given to
 *            wk_outcomes_stored (), or freed by the caller. */
GArray *wk_mark_outcomes (const struct worker_calls *workers);

/*! wk_no_outcome_marks () :
 *  @return : the same of no worker. */
GArray *wk_no_outcome_marks (void);

/*! wk_outcomes_stored () :
 *  MARKS is a result of wk_mark_outcomes (): what the outcomes up to them
 *  changed has been stored, so they may be acknowledged to the workers.  Takes
 *  ownership of MARKS. */
void wk_outcomes_stored (struct worker_calls *workers, GArray *marks);

#endif
