/* One worker: its resources, the leases on them, the tasks that run under the
   leases, and the events of tasks that have ended.  Prefix: wk_.  */

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
  WK_ERR_STALE_TERM = -1, /* a call of a higher term was received */
  /* Not enough free resources, or the attempt has a lease with other tasks. */
  WK_ERR_BUSY = -2,
  WK_ERR_NO_LEASE = -3, /* the attempt has no lease here */
  WK_ERR_ENDED = -4,    /* the attempt is over on this worker */
  WK_ERR_REFUSED = -5,  /* the fault refuse_start is set */
  WK_ERR_INVALID = -6,  /* a member of the call is missing or not valid */
};

struct wk_worker;

struct wk_params
{
  struct ev_loop *loop;
  const char *name; /* copied */
  uint32_t cpus_milli;
  uint32_t memory_mb;
  uint32_t accelerator_count;
  uint32_t usage_lag_ms; /* reported usage is that of so long ago */
  GRand *random;         /* chooses the tasks that fail by fail_percent */
  struct hf_file *history;
};

/* Faults of the worker, which stay in force over a restart.  */
struct wk_faults
{
  bool fail_all;         /* each task fails right after its start */
  bool refuse_start;     /* start calls are refused */
  uint32_t fail_percent; /* share of tasks that fail at their end, at random */
};

/* Names one attempt of a job in a call.  */
struct wk_attempt_id
{
  const char *job;
  uint32_t attempt;
};

/* Answer to a stop call.  */
struct wk_stop_result
{
  bool started;         /* the attempt was ever started on this worker */
  uint64_t progress_ms; /* of the task with the least progress; 0: no lease */
};

struct wk_worker *wk_create (const struct wk_params *params);
void wk_free (struct wk_worker *worker); /* accepts NULL */

/*! wk_check_term () :
 *  Checks the term of a call, and remembers it if it is not stale.
 *  @return : WK_OK; WK_ERR_STALE_TERM if a call of a higher term has been
 *  received. */
int wk_check_term (struct wk_worker *worker, uint64_t term);

/*! wk_record_term () :
 *  Remembers the term of a renewal, the only call that is accepted under any
 *  term. */
void wk_record_term (struct wk_worker *worker, uint64_t term);

/*! wk_term (), wk_boot () :
 *  @return : the highest term since the boot, 0 if there was none; the number
 *  of the boot, which grows with each restart. */
uint64_t wk_term (const struct wk_worker *worker);
uint64_t wk_boot (const struct wk_worker *worker);

/*! wk_lease () :
 *  Grants a lease to the attempt, or extends it if the attempt already has a
 *  lease with the same tasks.
 *  @host : the scheduler host that makes the call.
 *  @tasks : JSON array of objects with task, cpus_milli, memory_mb and
 *  accelerators.
 *  @return : WK_OK or a wk_error. */
int wk_lease (struct wk_worker *worker, const struct wk_attempt_id *id,
              const char *host, uint32_t ttl_ms, const json_t *tasks);

/*! wk_start () :
 *  Starts all tasks of the attempt's lease.
 *  @payload : its contents are moved to the lease, which then owns them.
 *  @return : WK_OK, also if the attempt already runs or has run to its end; or
 *  a wk_error. */
int wk_start (struct wk_worker *worker, const struct wk_attempt_id *id,
              struct tk_payload *payload);

/*! wk_renew () :
 *  Makes the attempt's lease lapse TTL_MS from now.
 *  @return : false if the attempt has no lease. */
bool wk_renew (struct wk_worker *worker, const struct wk_attempt_id *id,
               uint32_t ttl_ms);

/*! wk_checkpoint () :
 *  @progress_ms : set to the progress of the task with the least progress.
 *  @return : WK_OK or WK_ERR_NO_LEASE. */
int wk_checkpoint (const struct wk_worker *worker,
                   const struct wk_attempt_id *id, uint64_t *progress_ms);

/*! wk_throttle () :
 *  Sets the speed of the attempt's running tasks, in percent of full speed.
 *  @return : WK_OK or WK_ERR_NO_LEASE. */
int wk_throttle (struct wk_worker *worker, const struct wk_attempt_id *id,
                 uint32_t percent);

/*! wk_stop () :
 *  Stops the attempt and ends its lease.  Until the worker restarts, the
 *  attempt gets no lease here again.  An attempt without a lease may be
 *  stopped, too.
 *  @stopped : set to the result. */
void wk_stop (struct wk_worker *worker, const struct wk_attempt_id *id,
              struct wk_stop_result *stopped);

/*! wk_payload () :
 *  @return : the payload of a started attempt, owned by its lease; NULL if the
 *  attempt has no lease or is not started. */
const struct tk_payload *wk_payload (const struct wk_worker *worker,
                                     const struct wk_attempt_id *id);

/*! wk_down (), wk_up () :
 *  wk_down () ends all tasks and clears leases, ended attempts, events and the
 *  term, as a crash of the machine does.  wk_up () begins a new boot. */
void wk_down (struct wk_worker *worker);
void wk_up (struct wk_worker *worker);

/*! wk_faults () :
 *  @return : the faults in force, owned by the worker; the caller may change
 *  them. */
struct wk_faults *wk_faults (struct wk_worker *worker);

/*! wk_record_refusal () :
 *  Writes a refused call to the history file.
 *  @call : name of the call.
 *  @why : error code of the refusal. */
void wk_record_refusal (const struct wk_worker *worker,
                        const struct wk_attempt_id *id, const char *call,
                        const char *why);

/*! wk_events () :
 *  @return : the events that are not acknowledged yet, owned by the worker. */
struct el_list *wk_events (struct wk_worker *worker);

const struct wk_params *wk_params (const struct wk_worker *worker);

/*! wk_for_each_lease () :
 *  Calls VISIT for each lease in force, in no particular order. */
typedef void (*wk_visit) (void *ctx, const struct le_lease *lease);
void wk_for_each_lease (const struct wk_worker *worker, wk_visit visit,
                        void *ctx);

#endif
