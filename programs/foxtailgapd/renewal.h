/* Internal header of the renewal task, which renews the leases of this host's
   share of the workers and records the events that they report.  Public
   functions are in tasks.h.  Prefix: renewal_.  */

#ifndef FT_RENEWAL_H
#define FT_RENEWAL_H

#include <glib.h>

#include "http/http_client.h"
#include "lease/lease.h"
#include "messages.h"
#include "tasks.h"

#define RENEWAL_PART "renewal"

enum
{
  RENEWAL_TICK_MS = 50,
  RENEWAL_CALL_TIMEOUT_MS = 2000,
  RENEWAL_APPEND_DEADLINE_MS = 5000,
  RENEWAL_LOST_MIN_FAILURES = 3, /* consecutive; a worker counts as
                                    lost after these and the time of
                                    lost_after_ms () */
  /* Multiplies the time after which a worker counts as lost, if none of
     several workers answers: this host is then probably cut off itself.  */
  RENEWAL_CUT_OFF_FACTOR = 3,
  RENEWAL_IDLE_CONNECTIONS = 64
};

/* Whether an event is recorded in the log.  */
enum renewal_event_state
{
  RENEWAL_EVENT_UNRECORDED = 0, /* no record of it is in flight */
  RENEWAL_EVENT_APPEND_PENDING, /* sent to the state task, result awaited */
  RENEWAL_EVENT_FOLDED /* in the log; may be acknowledged to the worker */
};

/* An event that the worker keeps until it is acknowledged.  */
struct renewal_event
{
  uint64_t seq; /* the worker's event number */
  enum renewal_event_state state;
};

/* A worker with leases or with events to be acknowledged.  */
struct renewal_worker
{
  struct renewal_task *task;
  char *name;
  GHashTable *jobs;           /* set of job ids with leases to renew there */
  GArray *events;             /* struct renewal_event, by ascending seq */
  GHashTable *pending_losses; /* set of "JOB/ATTEMPT/TASK" being recorded */
  struct ls_call *call;       /* renewal in flight, or NULL */
  /* Boot number of the worker in its last answer; 0: not known.  Events have
     new numbers after each boot.  */
  uint64_t boot;
  uint64_t recorded_seq;   /* events up to this one are in the log */
  uint64_t acked_seq_sent; /* as acknowledged in the newest request, answered
                              or not */
  uint64_t acked_seq_delivered; /* as acknowledged in the newest request that
                                   was answered */
  int64_t next_ms;              /* monotonic; when the next renewal is due */
  uint32_t failures;            /* consecutive */
  int64_t failing_since_ms;     /* monotonic */
};

/* A record that was sent to the state task and whose result is awaited.  */
struct renewal_append
{
  char *worker;
  uint64_t boot;
  uint64_t seq;   /* of the recorded event; 0: the record of a loss */
  char *loss_key; /* key in pending_losses, or NULL */
};

/* State of the renewal task.  */
struct renewal_task
{
  struct daemon *daemon;
  struct mb_box *box;
  struct hc_client *http;
  ev_timer tick_timer;
  bool subscribed; /* to the state task's messages */

  struct msg_members *members;
  struct hl_list *hosts;
  GHashTable *addresses; /* worker name -> struct hl_host, of hosts */
  GHashTable *jobs;      /* job id -> struct st_job with leases to renew */
  GHashTable *workers;   /* worker name -> struct renewal_worker */
  GHashTable *appends;   /* uint64_t token -> struct renewal_append */
  uint64_t next_token;
  uint64_t term;           /* newest planner term in the log */
  bool holds_planner_term; /* this process does */
  int64_t last_tick_ms;    /* monotonic; to detect pauses of the process */
  int64_t resume_ms;       /* monotonic; no renewals before, after a pause */
  int64_t last_answer_ms;  /* monotonic; from any worker */
  struct ls_call *probe;   /* in flight, see renewal_calls.c; or NULL */
};

int64_t renewal_now_ms (void); /* monotonic clock */

/* ===== renewal_jobs.c ========================================= */

/* A job has changed in the log: updates the leases to renew on its workers.
   Takes a reference of its own.  */
void renewal_on_job (struct renewal_task *task, struct st_job *job);
void renewal_on_job_dropped (struct renewal_task *task, const char *id);

/* Returns the entry of a worker and creates it if there is none.  */
struct renewal_worker *renewal_get_worker (struct renewal_task *task,
                                           const char *name);
void renewal_worker_free (void *worker);

/* Whether the worker has leases to renew, events that are not recorded yet, or
   events to acknowledge.  */
bool renewal_is_wanted (const struct renewal_worker *worker);

/* ===== renewal_calls.c ======================================== */

/* Sends the renewals that are due, one request for each worker.  Removes
   workers that need none.  */
void renewal_send_due (struct renewal_task *task, int64_t now_ms);

/* ===== renewal_events.c ======================================= */

/* Records the task ends that the worker reports, and acknowledges those that
   are in the log.  */
void renewal_on_events (struct renewal_worker *worker,
                        const struct ls_answer *answer);

/* Forgets the events of a worker that has restarted or that another host
   renews now.  */
void renewal_forget_events (struct renewal_worker *worker);

/* The worker has answered that it has no lease of this attempt: records the
   loss of the attempt's tasks there.  */
void renewal_on_unknown_attempt (struct renewal_worker *worker,
                                 const struct ls_attempt *attempt);

/* Records the loss of all tasks on an unreachable worker.  */
void renewal_on_worker_lost (struct renewal_worker *worker);

/* Result of a record.  */
void renewal_on_appended (struct renewal_task *task,
                          const struct msg_appended *answer);
void renewal_append_free (void *append);

#endif
