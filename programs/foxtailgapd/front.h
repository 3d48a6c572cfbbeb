/* Inner header of the front task: the interface to callers and operators.
   Prefix: fr_.  */

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
  FR_ID_SIZE_BYTES = 33,     /* 16 random bytes in hexadecimal */
  FR_NAME_LIMIT_BYTES = 128, /* of teams, services, keys, kinds */
  FR_WAIT_LIMIT_MS = 3600 * 1000,
  FR_LOG_RETRY_AFTER_MS = 5000
};

extern const char FR_PART[];

struct fr_call;

/* Continues a held call; the call is freed by its answer.  */
typedef void (*fr_appended_handler) (struct fr_call *call,
                                     const struct msg_appended *appended);

/* One HTTP request that is answered later.  */
struct fr_call
{
  struct front_task *task;
  struct hs_request *http; /* NULL once the caller has left */
  uint64_t token;
  fr_appended_handler appended; /* waits for an append */
  char *id;                     /* of the request or job */
  char *digest;                 /* of an applied document */
  ev_timer timer;
  struct hc_call *forward; /* passed on to the planner's host */
  char *team;              /* of a request to a service */
  char *service;           /* of a request to a service */
  int64_t started_ms;
  bool forwarded; /* MSG_REQUEST was sent */
  bool wait_end;  /* answer at the job's end, not at its submission */
  bool waiting;   /* in task->waiting, for a job's change */
  int64_t deadline_ms;
};

struct front_task
{
  struct daemon *daemon;
  struct hs_server *server;
  struct mb_box *box;
  struct hc_client *http;    /* to the planner's host */
  GHashTable *calls;         /* token -> struct fr_call */
  GHashTable *jobs;          /* id -> struct st_job, one reference */
  GHashTable *claims;        /* key -> struct st_claim, one reference */
  GHashTable *waiting;       /* job id -> GPtrArray of struct fr_call */
  struct msg_config *config; /* in force; NULL for none */
  struct hl_list *hosts;
  struct msg_members *members;
  struct place *shadow; /* teams and workers only, to refuse what can never
                           run */
  struct bn_meters *request_burn; /* of requests answered here */
  struct bn_meters *job_burn;     /* of all jobs, from the folded state */
  uint64_t term;
  char *planner;
  struct msg_log log;
  uint64_t next_token;
  bool stopping;
};

/* --- front_answer.c --- */

/*! fr_json () :
 *  Answers with a JSON value, which is taken. */
void fr_json (struct hs_request *http, unsigned int status, json_t *value);

/*! fr_error () :
 *  Answers with an error.
 *  @state : "refused" or "unknown", or NULL where nothing was to run.
 *  @retry_after_ms : 0 for none. */
void fr_error (struct hs_request *http, unsigned int status, const char *code,
               const char *message, const char *state,
               uint32_t retry_after_ms);

/* --- front_task.c --- */

/*! fr_call_create () :
 *  Holds an HTTP request for a later answer. */
struct fr_call *fr_call_create (struct front_task *task,
                                struct hs_request *http);

/*! fr_call_free () :
 *  Forgets the call; its HTTP request must have been answered. */
void fr_call_free (struct fr_call *call);

/*! fr_append () :
 *  Appends a record on behalf of a call. */
void fr_append (struct fr_call *call, const Ft__Record *record,
                uint32_t deadline_ms, fr_appended_handler handler);

/*! fr_new_id () : */
void fr_new_id (char id[FR_ID_SIZE_BYTES]);

/*! fr_number () :
 *  Reads a whole decimal number from a header or a query.
 *  @return : false if TEXT is no number from 0 to LIMIT. */
bool fr_number (const char *text, uint64_t limit, uint64_t *value);

/*! fr_name_valid () :
 *  Names are 1 to FR_NAME_LIMIT_BYTES printable characters without '/'. */
bool fr_name_valid (const char *name);

/* --- Endpoints: REST is the path after the endpoint's own --- */

/* front_requests.c */
void fr_post_request (struct front_task *task, struct hs_request *http,
                      const char *rest);
void fr_get_request (struct front_task *task, struct hs_request *http,
                     const char *rest);
void fr_answered (struct front_task *task, const struct msg_answer *answer);

/* front_jobs.c */
void fr_post_job (struct front_task *task, struct hs_request *http,
                  const char *rest);
void fr_get_job (struct front_task *task, struct hs_request *http,
                 const char *rest);
void fr_list_jobs (struct front_task *task, struct hs_request *http,
                   const char *rest);
void fr_delete_job (struct front_task *task, struct hs_request *http,
                    const char *rest);

/*! fr_has_ended () :
 *  @return : whether the job will not change any more. */
bool fr_has_ended (const struct st_job *job);

/*! fr_job_changed () :
 *  Answers the calls that wait for a job's end. */
void fr_job_changed (struct front_task *task, const struct st_job *job);

/* front_job_parse.c */

/*! fr_parse_job () :
 *  Reads a submission.
 *  @return : the specification, to be freed by ft__job_spec__free_unpacked;
 *            NULL with *message set. */
Ft__JobSpec *fr_parse_job (const char *body, size_t size_bytes,
                           const char **message);

/* front_config.c */
void fr_get_config (struct front_task *task, struct hs_request *http,
                    const char *rest);
void fr_get_history (struct front_task *task, struct hs_request *http,
                     const char *rest);
void fr_history (struct front_task *task, const struct msg_history *history);
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
void fr_planner_answered (struct front_task *task,
                          const struct msg_question *question);

/* front_burn.c */
void fr_burn_configure (struct front_task *task);
void fr_burn_request (struct fr_call *call, const struct msg_answer *answer);
void fr_burn_job (struct front_task *task, const struct st_job *job);
void fr_get_burn (struct front_task *task, struct hs_request *http,
                  const char *rest);

#endif
