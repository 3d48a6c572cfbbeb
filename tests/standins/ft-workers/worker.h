/* One worker: its resources, the leases on them, the tasks that run under
   leases, and the events of their ends.  Prefix: wk_.  */

#ifndef FT_WORKER_H
#define FT_WORKER_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "event_list.h"
#include "lease.h"
#include "standins/common/history_file.h"
#include "task.h"

enum wk_error
{
  WK_OK = 0,
  WK_ERR_STALE_TERM = -1,
  WK_ERR_BUSY = -2,     /* the resources are held by others */
  WK_ERR_NO_LEASE = -3, /* of this attempt */
  WK_ERR_ENDED = -4,    /* the attempt was here and is over */
  WK_ERR_REFUSED = -5,  /* told to refuse starts */
  WK_ERR_INVALID = -6,
};

struct wk_worker;

struct wk_params
{
  struct ev_loop *loop;
  const char *name;
  uint32_t cpus_milli;
  uint32_t memory_mb;
  uint32_t accelerators;
  uint32_t usage_lag_ms;
  GRand *random; /* chooses the tasks that fail */
  struct hf_file *history;
};

/* How the worker fails; it outlasts a restart.  */
struct wk_faults
{
  bool fail_all;         /* all tasks fail at once */
  bool refuse_start;     /* no task is started */
  uint32_t fail_percent; /* of the tasks fail at their end, at random */
};

/* One attempt of a job, as it is named in a call.  */
struct wk_attempt
{
  const char *job;
  uint32_t attempt;
};

struct wk_stopped
{
  bool started; /* whether the attempt ever ran here */
  uint64_t progress_ms;
};

struct wk_worker *wk_create (const struct wk_params *params);
void wk_free (struct wk_worker *worker); /* accepts NULL */

/*! wk_fence () :
 *  Notes a term.
 *  @return : WK_ERR_STALE_TERM if a higher one has been seen. */
int wk_fence (struct wk_worker *worker, uint64_t term);

/*! wk_note_term () :
 *  Notes a term that fences nothing. */
void wk_note_term (struct wk_worker *worker, uint64_t term);

uint64_t wk_term (const struct wk_worker *worker);
uint64_t wk_boot (const struct wk_worker *worker);

/*! wk_lease () :
 *  @tasks : JSON array of task, cpus_milli, memory_mb, accelerators.
 *  @return : WK_OK also if the attempt has this very lease. */
int wk_lease (struct wk_worker *worker, const struct wk_attempt *id,
              const char *host, uint32_t ttl_ms, const json_t *tasks);

/*! wk_start () :
 *  Takes over the payload's contents.
 *  @return : WK_OK also if the attempt runs, or ran to its end. */
int wk_start (struct wk_worker *worker, const struct wk_attempt *id,
              struct tk_payload *payload);

/*! wk_renew () :
 *  @return : false if the worker holds no such lease. */
bool wk_renew (struct wk_worker *worker, const struct wk_attempt *id,
               uint32_t ttl_ms);

/*! wk_checkpoint () :
 *  @progress_ms : of the task that is least far. */
int wk_checkpoint (const struct wk_worker *worker, const struct wk_attempt *id,
                   uint64_t *progress_ms);

int wk_throttle (struct wk_worker *worker, const struct wk_attempt *id,
                 uint32_t percent);

/*! wk_stop () :
 *  Stops the attempt, which is never leased or started here again. */
void wk_stop (struct wk_worker *worker, const struct wk_attempt *id,
              struct wk_stopped *stopped);

/*! wk_payload () :
 *  @return : that of a started attempt; NULL if there is none. */
const struct tk_payload *wk_payload (const struct wk_worker *worker,
                                     const struct wk_attempt *id);

/*! wk_down (), wk_up () :
 *  All tasks end and all is forgotten; then a new boot begins. */
void wk_down (struct wk_worker *worker);
void wk_up (struct wk_worker *worker);

/*! wk_faults () :
 *  @return : the faults in force, which may be changed. */
struct wk_faults *wk_faults (struct wk_worker *worker);

/*! wk_refused () :
 *  Writes a refused call to the history. */
void wk_refused (const struct wk_worker *worker, const struct wk_attempt *id,
                 const char *call, const char *why);

/*! wk_events () :
 *  @return : the events that are kept, owned by the worker. */
struct el_list *wk_events (struct wk_worker *worker);

const struct wk_params *wk_params (const struct wk_worker *worker);

/*! wk_each_lease () :
 *  Calls VISIT for each lease that is held, in no order. */
typedef void (*wk_visit) (void *ctx, const struct le_lease *lease);
void wk_each_lease (const struct wk_worker *worker, wk_visit visit, void *ctx);

#endif
