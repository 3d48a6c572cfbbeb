/* Inside the front: requests in front.c, jobs in front_jobs.c, answers in
   front_answer.c, requests that come too early in front_start.c.  */

#ifndef FT_HOSTD_FRONT_PRIVATE_H
#define FT_HOSTD_FRONT_PRIVATE_H

#include "front.h"
#include "http/http_server.h"
#include "relay.h"

struct front
{
  struct fr_params params;
  struct hs_server *callers;
  struct hs_server *readiness;
  struct hs_server *metrics;
  struct relay *relay;
  bool ready_for_callers;
  /* The newest configuration that an answer handed on from another host was
     made of: this host may not go back to an older one.  */
  int64_t version_floor;
  bool configuration_known; /* the configuration has been known and current
                               once */
  GQueue early_requests;    /* struct early_request, oldest first */
  ev_timer early_timer;     /* while requests wait for the configuration */
};

/* --- front_answer.c --- */

/*! fr_answer (), fr_answer_error (), fr_answer_retry_later () :
 *  Answer, count and log; WHAT names the call.  The last tells when to come
 *  back: the request has not run. */
void fr_answer (struct front *front, struct hs_request *request,
                const char *what, unsigned int status, const char *body);
void fr_answer_error (struct front *front, struct hs_request *request,
                      const char *what, unsigned int status, const char *text);
void fr_answer_retry_later (struct front *front, struct hs_request *request,
                            const char *what, unsigned int status,
                            uint32_t after_s, const char *text);

/*! fr_answer_relayed () :
 *  Hands on the answer of another host. */
void fr_answer_relayed (void *ctx, struct hs_request *request,
                        const struct rl_answer *answer);

/*! fr_relay_to_any_host () :
 *  This host cannot serve the request now: another host may. */
void fr_relay_to_any_host (struct front *front, struct hs_request *request,
                           const char *what);

/* --- front.c --- */

/*! fr_dispatch () :
 *  Serves a request with the configuration that is known. */
void fr_dispatch (struct front *front, struct hs_request *request);

/*! fr_catalog_is_current () :
 *  @return : whether this host may answer by the configuration it knows. */
bool fr_catalog_is_current (const struct front *front,
                            struct hs_request *request);

/*! fr_catalog_age_max_ms () :
 *  @return : with a configuration older than this no key is trusted. */
int64_t fr_catalog_age_max_ms (const struct front *front);

/* --- front_start.c --- */

void fr_start_init (struct front *front);
void fr_start_clear (struct front *front);

/*! fr_configuration_known () :
 *  @return : whether the configuration has been known and current once. */
bool fr_configuration_known (struct front *front);

/*! fr_defer_until_configured () :
 *  Serves the request as soon as that is so, or refuses it after a while. */
void fr_defer_until_configured (struct front *front,
                                struct hs_request *request);

/* --- front_jobs.c --- */

void fr_submit (struct front *front, struct hs_request *request,
                const struct ct_queue *queue, const struct ct_team *team,
                const char *id);
void fr_cancel (struct front *front, struct hs_request *request,
                const char *id);
void fr_answer_state (struct front *front, struct hs_request *request,
                      const char *id);
void fr_answer_queue_length (struct front *front, struct hs_request *request,
                             const struct ct_queue *queue);

#endif
