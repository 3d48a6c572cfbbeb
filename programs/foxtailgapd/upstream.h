/* Internal header of the upstream task, which takes a service request from its
   admission to its answer.  Prefix: up_.  */

#ifndef FT_UPSTREAM_H
#define FT_UPSTREAM_H

#include <glib.h>

#include "http/http_client.h"
#include "messages.h"
#include "route/route.h"
#include "tasks.h"

enum
{
  UP_ANSWER_LIMIT_BYTES = 16 * 1024 * 1024,
  /* Largest answer that the log keeps for later requests with its key; a
     larger one is answered once, and its key keeps only the status.  */
  UP_STORED_ANSWER_LIMIT_BYTES = 256 * 1024
};

/* Value of the log key "part" in this task's log lines.  */
extern const char UP_PART[];

/* One service of the configuration.  */
struct up_service
{
  char *name;
  struct rt_router *router;
  struct upstream_task *task;
};

enum up_stage
{
  UP_STAGE_CLAIM_PENDING = 1, /* its claim is being appended to the log */
  UP_STAGE_WAITING_FOR_KEY, /* another request has claimed the key: waits for a
                               change of that claim, or for the deadline */
  UP_STAGE_QUEUED,          /* in the router, first or for a retry */
  UP_STAGE_SENT /* sent to an instance of the service, no outcome yet */
};

/* One service request without an outcome.  */
struct up_request
{
  struct msg_service_request *message; /* owned */
  struct upstream_task *task;
  struct up_service *service; /* NULL: not in the configuration */
  enum up_stage stage;
  char *instance;       /* of the newest try; see route/route.h */
  bool may_have_run;    /* a try was sent and got no whole answer, or failed */
  bool claimed;         /* holds the claim of its key, which must be ended */
  bool caller_gone;     /* nobody waits for the answer */
  int64_t started_ms;   /* monotonic */
  ev_timer claim_timer; /* the request's deadline, in the first two stages */
};

struct upstream_task
{
  struct daemon *daemon;
  struct mb_box *box;
  struct hc_client *http;
  GHashTable *services;  /* name -> struct up_service */
  GHashTable *requests;  /* token -> struct up_request */
  GHashTable *claims;    /* key -> struct st_claim, one reference */
  GHashTable *appends;   /* append token -> struct up_request, which is not
                            freed before it is removed here */
  GHashTable *abandoned; /* set of request ids: refused while the append of the
                            claim was open; should the claim take effect, it
                            is ended as not run */
  struct hl_list *hosts;
  struct msg_config *config;
  struct msg_members *members;
  ev_timer dispatch_timer;       /* next time that a router has work */
  GHashTable *orphaned_since_ms; /* request id of an open claim -> monotonic
                                    time since when its host is no member */
  ev_timer orphan_end_timer; /* to end orphaned claims; runs while there may be
                                some */
  uint64_t last_append_token;
  bool log_up; /* the platform's log can be reached */
};

/* --- upstream_task.c --- */

/*! up_answer () :
 *  Answers the caller and frees the request.
 *  @code, @message : static texts.
 *  @retry_after_ms : 0: no advice. */
void up_answer (struct up_request *request, enum msg_answer_state state,
                const char *code, const char *message,
                uint32_t retry_after_ms);

/*! up_answer_with_response () :
 *  Answers the caller with an upstream's answer and frees the request.
 *  @body : copied. */
void up_answer_with_response (struct up_request *request, uint32_t status,
                              const void *body, size_t size_bytes);

/*! up_give_up () :
 *  Ends a request that got no whole answer and will not be retried, and frees
 *  it.  Its outcome is unknown if a try may have run; else it is refused, with
 *  CODE and MESSAGE. */
void up_give_up (struct up_request *request, const char *code,
                 const char *message);

/*! up_queue () :
 *  Queues a request at the router of its service; answers and frees it if the
 *  router refuses it. */
void up_queue (struct up_request *request);

/*! up_dispatch () :
 *  Sends the requests that the router of one service releases, and gives up
 *  those whose deadline has passed in its queue. */
void up_dispatch (struct up_service *service);

/* --- upstream_claims.c --- */

/*! up_start_claim () :
 *  Claims the key of a non-repeatable request, or answers the request from the
 *  claim that another request has made. */
void up_start_claim (struct up_request *request);

/*! up_on_claim_appended () :
 *  Continues a request whose claim was folded, or refuses it. */
void up_on_claim_appended (struct upstream_task *task,
                           const struct msg_appended *appended);

/*! up_on_claim_changed () :
 *  Continues the requests that wait for a key.
 *  @claim : as folded; one reference, which the function takes. */
void up_on_claim_changed (struct upstream_task *task, struct st_claim *claim);

/*! up_end_claim () :
 *  Records the outcome of a claimed request in the log.
 *  @status, @answer : of the upstream; 0 and NULL without an answer. */
void up_end_claim (struct up_request *request, enum st_claim_state state,
                   uint32_t status, const void *answer, size_t size_bytes);

/*! up_end_claim_as_unknown () :
 *  Records that the outcome of a claim is unknown. */
void up_end_claim_as_unknown (struct upstream_task *task,
                              const struct st_claim *claim);

/*! up_detach_claim () :
 *  Stops the claim's timer and makes the task ignore the reply to its append;
 *  called before a request is freed. */
void up_detach_claim (struct up_request *request);

/* --- upstream_orphans.c --- */

/* Open claims whose host is gone; upstream_orphans.c explains them.  */

void up_orphans_init (struct upstream_task *task);
void up_orphans_free (struct upstream_task *task);

/*! up_orphans_recheck () :
 *  Checks all claims against new members, and restarts the delay after which
 *  orphaned claims are ended. */
void up_orphans_recheck (struct upstream_task *task);

/*! up_orphans_on_claim () :
 *  Checks one claim that has been folded. */
void up_orphans_on_claim (struct upstream_task *task,
                          const struct st_claim *claim);

/*! up_orphans_on_claim_dropped () :
 *  Stops tracking the claim of a key; called while the task still has it. */
void up_orphans_on_claim_dropped (struct upstream_task *task, const char *key);

/* --- upstream_send.c --- */

/*! up_send () :
 *  Sends a request to an instance of its service: one try of several that a
 *  request may have. */
void up_send (struct up_request *request, const char *instance);

#endif
