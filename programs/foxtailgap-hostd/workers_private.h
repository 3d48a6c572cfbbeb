/* Inside the task of workers: holds in workers.c, orders in worker_orders.c.
 */

#ifndef FT_HOSTD_WORKERS_PRIVATE_H
#define FT_HOSTD_WORKERS_PRIVATE_H

#include "workers.h"

/* What is known of the path to one worker.  */
struct worker_io
{
  struct workers *workers;
  struct sd_worker *worker;
  /* clock of the worker */
  int64_t clock_ms; /* as told last; negative: never */
  int64_t clock_read_ms;
  int64_t created_ms;
  /* ends */
  int64_t outcome_processed;  /* the highest number processed */
  int64_t outcome_stored; /* the highest number whose effects are stored */
  /* holds */
  bool renewal_in_flight;
  bool poll_at_once; /* the next hold does not wait */
  bool poll_soon;    /* the next hold waits for as long as a stop takes */
  int64_t renewal_sent_ms;
  int64_t answered_renewal_sent_ms; /* sending time of the last hold that was answered */
  int64_t renewal_tried_ms;
  int64_t lease_end_ms; /* nothing runs there after this without a new hold */
  bool lease_recorded; /* a list of leases that holds it is or may be stored */
  int64_t lease_recorded_ms; /* since when */
};

struct workers
{
  struct wk_params params;
  uint64_t term;            /* 0: none */
  uint64_t generation;      /* of calls: those of earlier terms are dropped */
  GHashTable *ios;          /* id -> struct worker_io */
  int64_t leases_collected_ms; /* when the last list was made */
  GHashTable *calls; /* open calls, so that their answers find us gone */
};

/* One order of a task.  */
struct wk_call
{
  struct workers *workers;
  uint64_t generation;
  char *worker;
  char *task;
  uint32_t run;
  int64_t first_sent_ms;
  int64_t sent_ms;
  uint32_t percent; /* of an order of pace */
  bool earlier_try_unanswered;      /* an earlier try had no answer: it may take effect yet */
};

struct worker_io *wk_io (struct workers *workers, struct sd_worker *worker);

/*! wk_clock_ms () :
 *  @return : the worker's clock now, as far as is known. */
int64_t wk_clock_ms (const struct worker_io *io, int64_t now_ms);

void wk_update_clock (struct worker_io *io, const struct wp_answer *answer,
                    int64_t now_ms);

/*! wk_lease_granted () :
 *  An order has been sent that lets things run there for TTL_MS. */
void wk_lease_granted (struct worker_io *io, int64_t now_ms, uint32_t ttl_ms);

/*! wk_adopt_recorded_lease () :
 *  Takes over what the planner before has recorded. */
void wk_adopt_recorded_lease (struct worker_io *io, GHashTable *leases,
                      int64_t now_ms);

/*! wk_is_unreachable () :
 *  @return : whether the worker has not answered for so long that it is only
 *            looked at. */
bool wk_is_unreachable (const struct worker_io *io, int64_t now_ms);

/*! wk_update_pace () :
 *  Tells the tasks that fill on a worker how fast they may work. */
void wk_update_pace (struct workers *workers, struct sd_worker *worker);

/*! wk_stop_run () :
 *  Stops a run that nobody wants, maybe of a task that is not known. */
void wk_stop_run (struct workers *workers, struct sd_worker *worker,
                  const char *task, uint32_t run);

struct wp_target wk_target (const struct sd_worker *worker);

struct wk_call *wk_call_create (struct workers *workers,
                                const struct sd_worker *worker,
                                const char *task, uint32_t run);
/*! wk_call_is_current () :
 *  @return : whether its answer still counts. */
bool wk_call_is_current (struct wk_call *call);
void wk_call_free (struct wk_call *call);

#endif
