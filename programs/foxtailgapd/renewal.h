/* Shared by the sources of the renewal task.  Prefix: renewal_.  */

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
  RENEWAL_LOST_MIN_FAILURES
  = 3,                        /* in a row, before a worker may count as lost */
  RENEWAL_CUT_OFF_FACTOR = 3, /* longer, if none of several answers */
  RENEWAL_IDLE_CONNECTIONS = 64
};

enum renewal_event_state
{
  RENEWAL_EVENT_UNRECORDED = 0, /* to be recorded */
  RENEWAL_EVENT_APPENDED,       /* the record's verdict is awaited */
  RENEWAL_EVENT_FOLDED          /* in the log; the worker may forget it */
};

/* An event that the worker keeps.  */
struct renewal_event
{
  uint64_t seq;
  enum renewal_event_state state;
};

/* A worker with leases or with events to be acknowledged.  */
struct renewal_worker
{
  struct renewal_task *task;
  char *name;
  GHashTable *jobs; /* set of the ids of jobs to be renewed there */
  GArray *events;   /* struct renewal_event, by number */
  GHashTable
      *pending_losses;  /* set of "JOB/ATTEMPT/TASK": loss being recorded */
  struct ls_call *call; /* under way, or NULL */
  uint64_t boot;
  uint64_t acked_seq;           /* acknowledged so far */
  uint64_t acked_seq_in_flight; /* in the last request */
  uint64_t acked_seq_delivered; /* in the last request that was answered */
  int64_t next_ms;              /* when the next renewal is due */
  uint32_t failures;            /* in a row */
  int64_t failing_since_ms;
};

/* A record whose verdict is awaited.  */
struct renewal_append
{
  char *worker;
  uint64_t boot;
  uint64_t seq;   /* of the event; 0: a loss */
  char *loss_key; /* key in LOST, or NULL */
};

struct renewal_task
{
  struct daemon *daemon;
  struct mb_box *box;
  struct hc_client *http;
  ev_timer tick_timer;
  bool subscribed;

  struct msg_members *members;
  struct hl_list *hosts;
  GHashTable *addresses; /* name -> struct hl_host, of HOSTS */
  GHashTable *jobs;      /* id -> struct st_job that holds workers */
  GHashTable *workers;   /* name -> struct renewal_worker */
  GHashTable *appends;   /* token -> struct renewal_append */
  uint64_t next_token;
  uint64_t term;
  bool holds_planner_term; /* this host holds the planner's term */
  int64_t last_tick_ms;    /* to notice pauses */
  int64_t resume_ms;       /* no renewals before, after a pause */
  int64_t last_answer_ms;  /* any worker answered */
};

int64_t renewal_now_ms (void); /* monotonic */

/* ===== renewal_jobs.c ========================================= */

/* Takes a job as the log shows it.  */
void renewal_on_job (struct renewal_task *task, struct st_job *job);
void renewal_on_job_dropped (struct renewal_task *task, const char *id);

struct renewal_worker *renewal_get_worker (struct renewal_task *task,
                                           const char *name);
void renewal_worker_free (void *worker);

/* Whether there is anything to ask of the worker.  */
bool renewal_is_wanted (const struct renewal_worker *worker);

/* ===== renewal_calls.c ======================================== */

/* Sends the renewals that are due.  */
void renewal_send_due (struct renewal_task *task, int64_t now_ms);

/* ===== renewal_events.c ======================================= */

/* Records what the worker says has ended.  */
void renewal_on_events (struct renewal_worker *worker,
                        const struct ls_answer *answer);

/* What the worker kept is another host's, or gone.  */
void renewal_forget_events (struct renewal_worker *worker);

/* Records the loss of the tasks of an attempt that the worker does not know.
 */
void renewal_on_unknown_attempt (struct renewal_worker *worker,
                                 const struct ls_attempt *attempt);

/* Records the loss of all tasks on a worker that cannot be reached.  */
void renewal_on_worker_lost (struct renewal_worker *worker);

void renewal_on_appended (struct renewal_task *task,
                          const struct msg_appended *answer);
void renewal_append_free (void *append);

#endif
