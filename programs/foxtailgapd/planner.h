/* Shared by the sources of the planner task.  Prefix: planner_.  */

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
  PLANNER_TICK_MS = 100,          /* term, retries and deadlines */
  PLANNER_ROUND_DELAY_MS = 10,    /* events gathered for one round */
  PLANNER_CALL_TIMEOUT_MS = 2000, /* of one request to a worker */
  PLANNER_APPEND_DEADLINE_MS = 5000,
  PLANNER_ACQUIRE_INTERVAL_MS = 500, /* between two claims of the term */
  PLANNER_REFUSAL_RETRY_MS = 1000,
  PLANNER_MINORITY_FACTOR = 3,    /* longer before a cut off host claims */
  PLANNER_WORKER_CONNECTIONS = 4, /* to one worker at once */
  PLANNER_IDLE_CONNECTIONS = 64
};

/* A job that is not over.  */
struct planner_job
{
  struct st_job *job;       /* as the log shows it; one reference */
  uint32_t highest_attempt; /* highest attempt of which a gang was made */
  char *refusal_reason;     /* why it is refused; NULL: it is not */
  bool refusal_pending;     /* the record of that is under way */
  int64_t refusal_retry_ms;
};

/* A gang of which this planner takes care.  */
struct planner_gang
{
  struct planner_task *task;
  struct gang *gang;
  struct st_job *job; /* one reference */
  uint32_t attempt;
  int64_t begin_ms;
  bool stop_failure_logged; /* a stop was not answered */
  GHashTable *calls;        /* set of struct planner_call, under way */
};

enum planner_append_kind
{
  PLANNER_APPEND_TERM = 1,
  PLANNER_APPEND_GANG,
  PLANNER_APPEND_REFUSAL
};

/* A record whose answer is awaited.  */
struct planner_append
{
  enum planner_append_kind kind;
  char *job;
  uint32_t attempt;
  enum gang_record record;
};

/* A gang that is over, to be told to the placement core.  */
struct planner_ended_gang
{
  char *job;
  char *worker;
  struct place_ended ended; /* JOB and WORKER are set from the above */
};

/* A request that could not be sent; told to its gang by the next tick.  */
struct planner_unsent_request
{
  char *job;
  uint32_t attempt;
  struct gang_event event;
};

struct planner_task
{
  struct daemon *daemon;
  struct mb_box *box;
  struct hc_client *http;
  ev_timer tick_timer;
  ev_timer round_timer;
  bool subscribed;

  /* What is known, whoever holds the term.  */
  struct msg_config *config;
  struct msg_members *members;
  struct hl_list *hosts;
  GHashTable *workers; /* name -> struct hl_host, of HOSTS */
  GHashTable *jobs;    /* id -> struct planner_job */
  bool log_up;
  bool caught_up;

  /* The term.  */
  uint64_t term;
  char *holder;
  uint64_t acquiring_term; /* term claimed and not decided; 0: none */
  uint64_t own_term;       /* term under which this process acts; 0: none */
  int64_t acquire_sent_ms;
  int64_t holder_absent_since_ms; /* of the holder; 0: it is live */
  int64_t last_loop_pass_ms;      /* of the loop */
  bool resigned;

  /* While acting.  */
  struct place *place;
  struct env_rules rules;     /* under which PLACE was made */
  GHashTable *gangs;          /* job id -> struct planner_gang */
  GHashTable *usable_workers; /* set of the names of usable workers */
  GHashTable *
      unresponsive_until_ms; /* worker -> int64_t, until when it is not used */
  GHashTable *appends;       /* token -> struct planner_append */
  GQueue unsent_requests;    /* struct planner_unsent_request */
  GQueue ended_gangs;        /* struct planner_ended_gang */
  bool in_round;             /* commands of PLACE are in use */
  uint64_t next_token;
};

int64_t planner_now_ms (void); /* monotonic */

/* From the log's time to the monotonic clock of this host.  */
int64_t planner_from_log_ms (int64_t time_ms);

/* ===== planner_term.c ========================================= */

/* Notes one pass of the loop.  Returns whether this process may act: after
   a pause it may not before it has won a new term.  */
bool planner_check_pause (struct planner_task *task);

/* Whether no pause has happened since the last pass.  Asked before each
   action.  */
bool planner_may_act (const struct planner_task *task);

/* Stops acting until a new term is won.  */
void planner_suspend (struct planner_task *task, const char *why);

void planner_on_term (struct planner_task *task, const struct msg_term *term);
void planner_on_term_appended (struct planner_task *task,
                               const struct msg_appended *answer);
void planner_tick_term (struct planner_task *task, int64_t now_ms);
void planner_resign (struct planner_task *task);

/* ===== planner_jobs.c ========================================= */

/* Makes the placement core anew from what the log says, if all that is
   needed is known.  */
void planner_start_planning (struct planner_task *task);

/* Ends all that belongs to the term.  */
void planner_stop_planning (struct planner_task *task);

void planner_on_config (struct planner_task *task);
void planner_on_job (struct planner_task *task, struct st_job *job);
void planner_on_job_dropped (struct planner_task *task, const char *id);

/* Queues a job of the table in the placement core.  */
void planner_submit (struct planner_task *task, struct planner_job *entry);

/* Refuses a job that can never run.  */
void planner_refuse (struct planner_task *task, const char *id,
                     const char *reason);
void planner_on_refusal_appended (struct planner_task *task, const char *id,
                                  const struct msg_appended *answer);
void planner_tick_refusals (struct planner_task *task, int64_t now_ms);

void planner_job_free (void *entry);

/* ===== planner_workers.c ====================================== */

/* Takes a new list; HOSTS is taken over.  */
void planner_on_hosts (struct planner_task *task, struct hl_list *hosts);

/* Tells the placement core which workers may be used.  */
void planner_apply_hosts (struct planner_task *task);

/* A request to a worker found no connection or no whole answer.  The worker
   gets nothing new for the time to live of a lease.  */
void planner_on_worker_unresponsive (struct planner_task *task,
                                     const char *name);
void planner_tick_workers (struct planner_task *task, int64_t now_ms);
const struct hl_host *planner_find_worker (const struct planner_task *task,
                                           const char *name);

/* ===== planner_rounds.c ======================================= */

/* Asks for a planning round soon.  */
void planner_schedule_round (struct planner_task *task);
void planner_run_round (struct planner_task *task);

/* ===== planner_gangs.c ======================================== */

/* Starts the life of a new gang.  */
void planner_gang_begin (struct planner_task *task, struct planner_job *entry,
                         const struct place_assignment *assignments,
                         size_t count);

/* Takes on a gang that the log says is placed or running.  */
void planner_gang_resume (struct planner_task *task,
                          struct planner_job *entry);

struct planner_gang *planner_find_gang (const struct planner_task *task,
                                        const char *job);
/* Takes one event.  The gang is freed if it is over; then returns false.  */
bool planner_gang_handle_event (struct planner_gang *pg,
                                const struct gang_event *event);

/* Tells a gang what the log says of its job.  */
void planner_gang_on_job (struct planner_gang *pg, struct st_job *job);
void planner_gang_on_appended (struct planner_task *task,
                               const struct planner_append *append,
                               const struct msg_appended *answer);
void planner_tick_gangs (struct planner_task *task, int64_t now_ms);

/* Tells the placement core which gangs are over.  */
void planner_report_ended_gangs (struct planner_task *task);
void planner_ended_gang_free (void *ended);
void planner_gang_free (void *gang);

/* ===== planner_calls.c ======================================== */

/* Sends a gang's request to one of its workers.  */
void planner_send_to_member (struct planner_gang *pg,
                             const struct gang_command *command);
void planner_cancel_calls (struct planner_gang *pg);
void planner_unsent_request_free (void *failure);

/* ===== planner_records.c ====================================== */

/* Each makes a message for the state task.  */
struct msg_append *planner_record_term (uint64_t term, const char *host);
struct msg_append *planner_record_place (const struct planner_gang *pg);
struct msg_append *planner_record_start (const struct planner_gang *pg);
struct msg_append *planner_record_lost (const struct planner_gang *pg,
                                        size_t member);
struct msg_append *planner_record_stop (const struct planner_gang *pg,
                                        const struct gang_command *command);
struct msg_append *planner_record_refuse (const char *job, const char *reason);

/* Sends a record under TERM; APPEND is taken over.  */
void planner_append (struct planner_task *task, struct msg_append *message,
                     uint64_t term, struct planner_append *append);
void planner_append_free (void *append);

/* ===== planner_questions.c ==================================== */

/*! planner_on_question () :
 *  Sends the question back with its answer.  Takes QUESTION. */
void planner_on_question (struct planner_task *task,
                          struct msg_question *question);

#endif
