/* Internal header of the planner task: its state and the functions that its
   sources call in each other.  The planner decides which job runs on which
   workers, while this host holds the planner term.  Public functions are in
   tasks.h.  Prefix: planner_.  */

#ifndef FT_PLANNER_H
#define FT_PLANNER_H

#include <glib.h>

#include "http/http_client.h"
#include "lease/gang.h"
#include "lease/lease.h"
#include "messages.h"
#include "place/place.h"
#include "tasks.h"

#define PLANNER_PART "planner"

enum
{
  PLANNER_TICK_MS = 100,          /* checks of term, retries, deadlines */
  PLANNER_ROUND_DELAY_MS = 10,    /* so that one planning round handles
                                     several events */
  PLANNER_CALL_TIMEOUT_MS = 2000, /* of one request to a worker */
  PLANNER_APPEND_DEADLINE_MS = 5000,
  PLANNER_ACQUIRE_INTERVAL_MS = 500, /* between tries to get the term */
  PLANNER_REFUSAL_RETRY_MS = 1000,
  /* A host that sees fewer than half of the entry hosts waits this many times
     planner_timeout_ms before it tries to acquire the term.  */
  PLANNER_MINORITY_FACTOR = 3,
  PLANNER_WORKER_CONNECTIONS = 4, /* concurrent, per worker */
  PLANNER_IDLE_CONNECTIONS = 64
};

/* A job that is queued, placed or running.  */
struct planner_job
{
  struct st_job *job;       /* newest folded state; owns one reference */
  uint32_t highest_attempt; /* highest attempt for which a gang was created */
  char *refusal_reason;     /* NULL: the job is not refused */
  bool refusal_pending;     /* the record of the refusal is in flight */
  int64_t refusal_retry_ms; /* monotonic; earliest time to send that
                               record again */
};

/* One attempt of a job that this planner leases, starts and stops.  */
struct planner_gang
{
  struct planner_task *task;
  struct gang *gang;
  struct st_job *job; /* newest folded state; owns one reference */
  uint32_t attempt;
  /* Monotonic.  Time of creation; for a resumed gang, time of the job's last
     change in the log.  */
  int64_t begin_ms;
  bool stop_failure_logged; /* later stop failures are logged at debug level */
  GHashTable *calls;        /* set of struct planner_call in flight */
};

/* What an appended record is about, and so who handles the result.  */
enum planner_append_kind
{
  PLANNER_APPEND_TERM = 1, /* acquires the planner term */
  PLANNER_APPEND_GANG,     /* placement, start, loss or stop of a gang */
  PLANNER_APPEND_REFUSAL   /* refuses a job */
};

/* A record that was sent to the state task and whose result is awaited.  */
struct planner_append
{
  enum planner_append_kind kind;
  char *job;                    /* NULL for PLANNER_APPEND_TERM */
  uint32_t attempt;             /* for PLANNER_APPEND_GANG */
  enum gang_record record_kind; /* for PLANNER_APPEND_GANG */
};

/* A gang that is over and has not been reported to the placement core yet.  */
struct planner_ended_gang
{
  char *job;
  char *worker;
  struct place_ended ended; /* its own pointers job and worker are set only
                               when it is reported */
};

/* A request to a worker that could not be sent.  The next tick reports it to
   its gang.  */
struct planner_unsent_request
{
  char *job;
  uint32_t attempt;
  struct gang_event event;
};

/* State of the planner task.  */
struct planner_task
{
  struct daemon *daemon;
  struct mb_box *box;
  struct hc_client *http;
  ev_timer tick_timer;
  ev_timer round_timer;
  bool subscribed; /* to the state task's messages */

  /* Kept up to date whether or not this host holds the term.  */
  struct msg_config *config;
  struct msg_members *members;
  struct hl_list *hosts; /* entry hosts and workers; one reference */
  GHashTable *workers;   /* name -> struct hl_host, borrowed from hosts */
  GHashTable *jobs;      /* job id -> struct planner_job */
  bool log_up;
  bool caught_up;

  /* The planner term.  */
  uint64_t term;           /* newest in the log */
  char *holder;            /* host that holds it; empty: none yet */
  uint64_t acquiring_term; /* result not known yet; 0: none */
  uint64_t own_term;       /* this process plans under it; 0: does not plan */
  int64_t acquire_sent_ms; /* monotonic */
  int64_t holder_absent_since_ms; /* monotonic; 0: the holder is live */
  int64_t last_pause_check_ms;    /* of the newest planner_check_pause () */
  bool resigned; /* shutting down; does not acquire the term again */

  /* Used while own_term is not 0.  */
  struct place *place;        /* placement core; NULL while not planning */
  struct env_rules rules;     /* with which the placement core was created */
  GHashTable *gangs;          /* job id -> struct planner_gang */
  GHashTable *usable_workers; /* set of names given to the placement core */
  /* Worker name -> int64_t, monotonic; until then the worker gets no new work.
   */
  GHashTable *unresponsive_until_ms;
  GHashTable *appends;    /* uint64_t token -> struct planner_append */
  GQueue unsent_requests; /* struct planner_unsent_request */
  GQueue ended_gangs;     /* struct planner_ended_gang */
  /* True while a planning round carries out the commands of the placement
     core.  Ended gangs are reported to the core after the round.  */
  bool in_round;
  uint64_t next_token;
};

int64_t planner_now_ms (void); /* monotonic clock */

/*! planner_from_log_ms () :
 *  Converts a time of the log to the monotonic clock of this host.
 *  @time_ms : wall clock, ms since the epoch; a time in the future counts as
 *             now. */
int64_t planner_from_log_ms (int64_t time_ms);

/* ===== planner_term.c ========================================= */

/*! planner_check_pause () :
 *  Notes that the event loop runs.  If the process was paused for more than
 *  half of planner_timeout_ms, another host may have acquired the term in the
 *  meantime, so planning is suspended until a new term is acquired.
 *  @return : whether this process may plan. */
bool planner_check_pause (struct planner_task *task);

/*! planner_may_act () :
 *  To be checked before each action, as a pause may happen at any time.
 *  @return : whether this process holds the term and has not been paused
 *            since the last planner_check_pause (). */
bool planner_may_act (const struct planner_task *task);

/*! planner_suspend () :
 *  Gives up the present term, and so stops planning until this host acquires
 *  a new term.
 *  @why : for the log. */
void planner_suspend (struct planner_task *task, const char *why);

/* The log has a new term.  */
void planner_on_term (struct planner_task *task, const struct msg_term *term);

/* Result of the record that was to acquire the term.  */
void planner_on_term_appended (struct planner_task *task,
                               const struct msg_appended *answer);

/* Tries to acquire the term if its holder has been absent for long enough.  */
void planner_tick_term (struct planner_task *task, int64_t now_ms);

/* Hands the term over to the next live host, before a shutdown; this process
   never plans again.  */
void planner_resign (struct planner_task *task);

/* ===== planner_jobs.c ========================================= */

/* Creates the placement core from the state in the log.  No effect if this
   host does not hold the term, or has no configuration or host list yet.  */
void planner_start_planning (struct planner_task *task);

/* Frees the placement core, the gangs and all else that belongs to the term.
   Called after own_term has been set to 0, and when the task is freed.  */
void planner_stop_planning (struct planner_task *task);

/* The configuration in planner_task has been replaced.  */
void planner_on_config (struct planner_task *task);

/* A job has changed in the log.  */
void planner_on_job (struct planner_task *task, struct st_job *job);

/* The log does not keep the job any more.  */
void planner_on_job_dropped (struct planner_task *task, const char *id);

/* Queues a job in the placement core; refuses it if it can never run.  */
void planner_submit (struct planner_task *task, struct planner_job *entry);

/* Refuses a job, for example because it can never run.  The record is sent
   again until the log has it.  */
void planner_refuse (struct planner_task *task, const char *id,
                     const char *reason);

/* Result of the record of a refusal.  */
void planner_on_refusal_appended (struct planner_task *task, const char *id,
                                  const struct msg_appended *answer);

/* Sends the records of refusals again that are due.  */
void planner_tick_refusals (struct planner_task *task, int64_t now_ms);

void planner_job_free (void *entry);

/* ===== planner_workers.c ====================================== */

/* Replaces the host list.  Takes ownership of HOSTS.  */
void planner_on_hosts (struct planner_task *task, struct hl_list *hosts);

/* Reports the usable workers to the placement core.  */
void planner_apply_hosts (struct planner_task *task);

/* A request to a worker got no connection or no complete answer.  The worker
   gets no new work for lease_ttl_ms.  */
void planner_on_worker_unresponsive (struct planner_task *task,
                                     const char *name);

/* Uses workers again whose time without new work is over.  */
void planner_tick_workers (struct planner_task *task, int64_t now_ms);

/* Returns NULL if the worker is not on the host list.  */
const struct hl_host *planner_find_worker (const struct planner_task *task,
                                           const char *name);

/* ===== planner_rounds.c ======================================= */

/* Schedules a planning round after PLANNER_ROUND_DELAY_MS, unless one is
   scheduled already.  */
void planner_schedule_round (struct planner_task *task);

/* Runs one planning round: lets the placement core decide and carries out its
   commands.  */
void planner_run_round (struct planner_task *task);

/* ===== planner_gangs.c ======================================== */

/* Creates the gang of a new attempt and starts to lease its workers.  */
void planner_gang_begin (struct planner_task *task, struct planner_job *entry,
                         const struct place_assignment *assignments,
                         size_t count);

/* Creates the gang of an attempt that the log shows as placed or running, for
   example one of an earlier planner.  */
void planner_gang_resume (struct planner_task *task,
                          struct planner_job *entry);

/* Returns NULL if the job has no gang.  */
struct planner_gang *planner_find_gang (const struct planner_task *task,
                                        const char *job);

/*! planner_gang_handle_event () :
 *  Gives the event to the gang and carries out the resulting commands.
 *  @return : false if the gang is over; it has been freed then. */
bool planner_gang_handle_event (struct planner_gang *pg,
                                const struct gang_event *event);

/* The gang's job has changed in the log.  May free PG.  */
void planner_gang_on_job (struct planner_gang *pg, struct st_job *job);

/* Result of a record of a gang.  */
void planner_gang_on_appended (struct planner_task *task,
                               const struct planner_append *append,
                               const struct msg_appended *answer);

/* Notifies the gangs of unsent requests and of the time.  */
void planner_tick_gangs (struct planner_task *task, int64_t now_ms);

/* Reports the gangs in ended_gangs to the placement core.  */
void planner_report_ended_gangs (struct planner_task *task);
void planner_ended_gang_free (void *ended);
void planner_gang_free (void *gang);

/* ===== planner_calls.c ======================================== */

/* Sends the request of COMMAND to a member of the gang, one of its workers.
   If it cannot be sent, the gang is notified by the next tick.  */
void planner_send_to_gang_member (struct planner_gang *pg,
                                  const struct gang_command *command);

/* Drops all requests in flight of a gang; their answers are ignored.  */
void planner_cancel_calls (struct planner_gang *pg);
void planner_unsent_request_free (void *request);

/* ===== planner_records.c ====================================== */

/* Each returns a new message for planner_append (), owned by the caller.  */
struct msg_append *planner_record_term (uint64_t term, const char *host);
struct msg_append *planner_record_place (const struct planner_gang *pg);
struct msg_append *planner_record_start (const struct planner_gang *pg);
/* MEMBER: index of the gang's member that is lost.  */
struct msg_append *planner_record_lost (const struct planner_gang *pg,
                                        size_t member);
struct msg_append *planner_record_stop (const struct planner_gang *pg,
                                        const struct gang_command *command);
struct msg_append *planner_record_refuse (const char *job, const char *reason);

/*! planner_append () :
 *  Sends a record to the state task.  Takes ownership of MESSAGE and APPEND.
 *  @term : planner term that the record carries; 0: none.
 *  @append : given to the handler of the result. */
void planner_append (struct planner_task *task, struct msg_append *message,
                     uint64_t term, struct planner_append *append);
void planner_append_free (void *append);

/* ===== planner_queries.c ==================================== */

/*! planner_on_query () :
 *  Answers a query of the front task about a job or about all placements,
 *  and sends it back; without an answer if this host does not plan.  Takes
 *  ownership of QUERY. */
void planner_on_query (struct planner_task *task,
                       struct msg_planner_query *query);

#endif
