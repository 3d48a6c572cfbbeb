/* Inner header of the upstream task: one request on its way from admission
   to its answer.  Prefix: up_.  */

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
  UP_KEPT_ANSWER_LIMIT_BYTES = 256 * 1024 /* in the log, for a key */
};

extern const char UP_PART[];

struct up_service
{
  char *name;
  struct rt_router *router;
  struct upstream_task *task;
};

enum up_stage
{
  UP_CLAIMING = 1,  /* waits for its claim to be folded */
  UP_WAITING_CLAIM, /* another request holds the key */
  UP_QUEUED,
  UP_SENT
};

struct up_request
{
  struct msg_request *message; /* owned */
  struct upstream_task *task;
  struct up_service *service;
  enum up_stage stage;
  char *instance; /* of the newest try */
  bool maybe_ran; /* an earlier or the present try may have run */
  bool claimed;   /* holds the claim of its key */
  bool gone;      /* nobody waits for the answer */
  int64_t started_ms;
  ev_timer deadline; /* while claiming or waiting */
};

struct upstream_task
{
  struct daemon *daemon;
  struct mb_box *box;
  struct hc_client *http;
  GHashTable *services; /* name -> struct up_service */
  GHashTable *requests; /* token -> struct up_request */
  GHashTable *claims;   /* key -> struct st_claim, one reference */
  GHashTable *appends;  /* append token -> struct up_request, or absent */
  GHashTable *disowned; /* request id: its claim must be ended as not run */
  struct hl_list *hosts;
  struct msg_config *config;
  struct msg_members *members;
  ev_timer timer;
  GHashTable *orphans; /* request id -> since when its host is no member */
  ev_timer settle;     /* runs: some are to be judged */
  uint64_t next_append;
  bool log_up;
};

/* --- upstream_task.c --- */

/*! up_answer () :
 *  Answers the caller and forgets the request. */
void up_answer (struct up_request *request, enum msg_answer_state state,
                const char *code, const char *message,
                uint32_t retry_after_ms);

/*! up_answer_body () :
 *  The same with an upstream's answer, which is copied. */
void up_answer_body (struct up_request *request, uint32_t status,
                     const void *body, size_t size_bytes);

/*! up_give_up () :
 *  Ends a request that got no whole answer and will not be tried again: its
 *  outcome is unknown if a try may have run; else it is refused, with CODE
 *  and MESSAGE. */
void up_give_up (struct up_request *request, const char *code,
                 const char *message);

/*! up_queue () :
 *  Hands a request to the router of its service. */
void up_queue (struct up_request *request);

/*! up_dispatch () :
 *  Sends what the router of one service lets go. */
void up_dispatch (struct up_service *service);

/* --- upstream_claims.c --- */

/*! up_claim () :
 *  Starts the claim of a non-repeatable request. */
void up_claim (struct up_request *request);

/*! up_claim_appended (), up_claim_changed () :
 *  The answer to an append; a claim as folded (one reference, taken). */
void up_claim_appended (struct upstream_task *task,
                        const struct msg_appended *appended);
void up_claim_changed (struct upstream_task *task, struct st_claim *claim);

/*! up_claim_end () :
 *  Records the outcome of a claimed request. */
void up_claim_end (struct up_request *request, enum st_claim_state state,
                   uint32_t status, const void *answer, size_t size_bytes);

/*! up_claim_unknown () :
 *  Records that nobody can tell the outcome of a claim. */
void up_claim_unknown (struct upstream_task *task,
                       const struct st_claim *claim);

/*! up_claim_forget () :
 *  The request is freed: no append may refer to it. */
void up_claim_forget (struct up_request *request);

/* --- upstream_orphans.c --- */

void up_orphans_init (struct upstream_task *task);
void up_orphans_free (struct upstream_task *task);

/*! up_orphans_settle () :
 *  The members have changed, or may change: claims are judged when they have
 *  not done so for a while. */
void up_orphans_settle (struct upstream_task *task);

/*! up_orphans_claimed () :
 *  A claim has been folded. */
void up_orphans_claimed (struct upstream_task *task,
                         const struct st_claim *claim);

/*! up_orphans_dropped () :
 *  The claim of that key, which is known still, will be forgotten. */
void up_orphans_dropped (struct upstream_task *task, const char *key);

/* --- upstream_send.c --- */

/*! up_send () :
 *  Sends one try to an instance. */
void up_send (struct up_request *request, const char *instance);

#endif
