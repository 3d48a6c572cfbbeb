/* Internal header of the front task, which serves callers and operators over
   HTTP.  An endpoint answers a request at once, or creates a struct fr_call
   and answers when another task has replied.  Prefix: fr_.  */

#ifndef FT_FRONT_H
#define FT_FRONT_H

#include <glib.h>
#include <jansson.h>

#include "burn/burn.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "messages.h"
#include "tasks.h"

enum
{
  FR_ID_SIZE_BYTES = 33,     /* 16 random bytes in hexadecimal, and a zero */
  FR_NAME_LIMIT_BYTES = 128, /* of the names of teams, services, keys, kinds */
  FR_WAIT_LIMIT_MS = 3600 * 1000, /* longest wait for a job's end */
  FR_LOG_RETRY_AFTER_MS = 5000    /* told to callers while the log is down */
};

/* Value of the log key "part" in this task's log lines.  */
extern const char FR_PART[];

struct fr_call;

/* Continues a call whose append has a result.  It answers the HTTP
   request and frees the call, or leaves the call to wait.  */
typedef void (*fr_appended_handler) (struct fr_call *call,
                                     const struct msg_appended *appended);

/* One HTTP request to this host that is answered later.  */
struct fr_call
{
  struct front_task *task;
  struct hs_request *http;
  uint64_t token; /* names the call in messages to other tasks */
  fr_appended_handler append_handler; /* of the call's newest append */
  char *id;                           /* of the service request or the job */
  char *digest;        /* of the document to apply; for a submission of a job a
                          text that is not NULL, whose presence alone makes the
                          answer's status 201 instead of 200; else NULL */
  ev_timer wait_timer; /* ends the wait for a job's change */
  struct hc_call *forwarded_call; /* to the planner's host; NULL: none */
  char *team;                     /* of a service request; else NULL */
  char *service;                  /* of a service request; else NULL */
  int64_t started_ms;             /* of a service request; monotonic */
  bool sent_to_upstream;          /* MSG_SERVICE_REQUEST was sent */
  bool wait_for_end;   /* answer at the job's end, not at its submission */
  bool is_waiting;     /* listed in task->waiting_calls */
  int64_t deadline_ms; /* moment of the monotonic clock at which the wait
                          for a job's change ends */
};

struct front_task
{
  struct daemon *daemon;
  struct hs_server *server;
  struct mb_box *box;
  struct hc_client *http; /* to the planner's host */
  GHashTable *calls;  /* token -> struct fr_call, freed by fr_call_free () */
  GHashTable *jobs;   /* id -> struct st_job, one reference */
  GHashTable *claims; /* key -> struct st_claim, one reference */
  GHashTable *waiting_calls;   /* job id -> GPtrArray of struct fr_call */
  struct msg_config *config;   /* in force; NULL: none */
  struct hl_list *hosts;       /* one reference; NULL before the first list */
  struct msg_members *members; /* owned; NULL before the first message */
  struct place *feasibility_model; /* holds teams and workers but no jobs; a
                                      job that it finds infeasible is refused
                                      at submission */
  struct bn_meters *request_burn;  /* of requests answered by this host */
  struct bn_meters *job_burn;      /* of all jobs, from the folded state */
  uint64_t term;                   /* newest planner term */
  char *planner_host;              /* that holds the term; NULL: not known */
  struct msg_log_status log;       /* newest state of the platform's log */
  uint64_t last_token;             /* given to the newest call */
  bool stopping;                   /* the shutdown has begun */
};

/* --- front_answer.c --- */

/*! fr_respond_json () :
 *  Answers with a JSON value and a newline.
 *  @value : one reference, which the function takes. */
void fr_respond_json (struct hs_request *http, unsigned int status,
                      json_t *value);

/*! fr_respond_error () :
 *  Answers with an error as JSON.
 *  @code : one word for programs.
 *  @message : one sentence for people.
 *  @state : field "state" of the error: "refused" or "unknown"; NULL: no
 *           such field.
 *  @retry_after_ms : when to retry, from now; 0: no advice. */
void fr_respond_error (struct hs_request *http, unsigned int status,
                       const char *code, const char *message,
                       const char *state, uint32_t retry_after_ms);

/* --- front_task.c --- */

/*! fr_call_create () :
 *  Keeps an HTTP request for a later answer, under a new token.
 *  @return : in task->calls until it is freed by fr_call_free (). */
struct fr_call *fr_call_create (struct front_task *task,
                                struct hs_request *http);

/*! fr_call_free () :
 *  Frees a call whose HTTP request was answered or whose caller has left.  A
 *  reply that comes for its token later is ignored. */
void fr_call_free (struct fr_call *call);

/*! fr_append () :
 *  Appends a record to the platform's log on behalf of a call.
 *  @record : copied; its submessages become the state task's.
 *  @timeout_ms : from now; later the outcome of the append is unknown.
 *  @handler : called once, unless the call is freed before. */
void fr_append (struct fr_call *call, const Ft__Record *record,
                uint32_t timeout_ms, fr_appended_handler handler);

/*! fr_new_id () :
 *  Makes a random id of a service request or a job.
 *  @id : set to 32 hexadecimal digits and a zero byte. */
void fr_new_id (char id[FR_ID_SIZE_BYTES]);

/*! fr_parse_number () :
 *  Reads a whole decimal number from a header or a query.
 *  @return : false, with *value unchanged, if TEXT is no number from 0 to
 *            LIMIT. */
bool fr_parse_number (const char *text, uint64_t limit, uint64_t *value);

/*! fr_name_valid () :
 *  @return : whether NAME has 1 to FR_NAME_LIMIT_BYTES printable ASCII
 *            characters, none of them a space or '/'. */
bool fr_name_valid (const char *name);

/* --- Endpoints --- */

/* Each function that takes HTTP answers that request, now or later.  REST is
   the request's path after the path of the endpoint, "" if there is none.  */

/* front_requests.c */
void fr_post_request (struct front_task *task, struct hs_request *http,
                      const char *rest);
void fr_get_request (struct front_task *task, struct hs_request *http,
                     const char *rest);

/*! fr_on_answer () :
 *  Answers the caller of a service request with the reply of the upstream
 *  task. */
void fr_on_answer (struct front_task *task,
                   const struct msg_service_answer *answer);

/* front_jobs.c */
void fr_post_job (struct front_task *task, struct hs_request *http,
                  const char *rest);
void fr_get_job (struct front_task *task, struct hs_request *http,
                 const char *rest);
void fr_list_jobs (struct front_task *task, struct hs_request *http,
                   const char *rest);
void fr_delete_job (struct front_task *task, struct hs_request *http,
                    const char *rest);

/*! fr_job_has_ended () :
 *  @return : whether the job will not change any more. */
bool fr_job_has_ended (const struct st_job *job);

/*! fr_on_job_changed () :
 *  Answers the calls that wait for this change of the job. */
void fr_on_job_changed (struct front_task *task, const struct st_job *job);

/* front_job_parse.c */

/*! fr_parse_job () :
 *  Reads a job's submission.
 *  @message : set to a static sentence about the first error.
 *  @return : the specification, to be freed by ft__job_spec__free_unpacked;
 *            NULL with *message set. */
Ft__JobSpec *fr_parse_job (const char *body, size_t size_bytes,
                           const char **message);

/* front_config.c */
void fr_get_config (struct front_task *task, struct hs_request *http,
                    const char *rest);
void fr_get_history (struct front_task *task, struct hs_request *http,
                     const char *rest);

/*! fr_on_history () :
 *  Answers the caller who asked for revisions with the reply of the state
 *  task. */
void fr_on_history (struct front_task *task,
                    const struct msg_config_history *history);

void fr_post_config (struct front_task *task, struct hs_request *http,
                     const char *rest);

/* front_status.c */
void fr_get_status (struct front_task *task, struct hs_request *http,
                    const char *rest);
void fr_get_workers (struct front_task *task, struct hs_request *http,
                     const char *rest);
void fr_get_metrics (struct front_task *task, struct hs_request *http,
                     const char *rest);
void fr_get_health (struct front_task *task, struct hs_request *http,
                    const char *rest);
void fr_get_ready (struct front_task *task, struct hs_request *http,
                   const char *rest);
void fr_put_log_level (struct front_task *task, struct hs_request *http,
                       const char *rest);

/* front_planner.c */
void fr_get_explain (struct front_task *task, struct hs_request *http,
                     const char *rest);
void fr_get_placement (struct front_task *task, struct hs_request *http,
                       const char *rest);

/*! fr_on_planner_answer () :
 *  Answers a query to the planner, or forwards it to the planner's host if
 *  this host does not hold the term. */
void fr_on_planner_answer (struct front_task *task,
                           const struct msg_planner_query *query);

/* front_burn.c: how much of their error budgets the objectives have used */

/*! fr_burn_configure () :
 *  Takes over the objectives of the configuration in force. */
void fr_burn_configure (struct front_task *task);

/*! fr_burn_count_request () :
 *  Counts a service request that is being answered. */
void fr_burn_count_request (struct fr_call *call,
                            const struct msg_service_answer *answer);

/*! fr_burn_count_job () :
 *  Counts a job that has finished or failed; ignores one in another state. */
void fr_burn_count_job (struct front_task *task, const struct st_job *job);

void fr_get_burn (struct front_task *task, struct hs_request *http,
                  const char *rest);

#endif
