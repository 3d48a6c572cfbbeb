/* Internal header of the front.  front.c routes requests, front_jobs.c serves
   jobs, front_answer.c answers or relays, front_relayed.c keeps what other
   hosts have answered, front_start.c defers requests until the catalog is
   known.  */

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
  bool reports_ready; /* false: the shutdown has begun, so readiness checks
                         fail although callers are still served */
  /* Newest catalog version in an answer relayed from another host; -1: none.
     See fr_known_catalog_version ().  */
  int64_t relayed_catalog_version;
  GHashTable *relayed_jobs; /* see front_relayed.c */
  int64_t relayed_until_ms; /* the table has what was told until then */
  struct hb_budget budget;  /* of callers, also at readiness and metrics */
  int64_t shed_log_ms;   /* when a line about shed callers was last written */
  bool catalog_known;    /* a current catalog has been read once */
  GQueue early_requests; /* struct early_request, oldest first */
  ev_timer early_timer;  /* runs while there are early requests */
};

/* --- front_answer.c --- */

/*! fr_answer (), fr_answer_error (), fr_answer_retry_later () :
 *  Answer a request, count the answer and log refusals.  The last one is for
 *  requests that have not run, and adds a Retry-After header; a submission of
 *  a job that is stored gets 504 instead, which says neither that it is
 *  accepted nor that it is not.
 *  @what : name of the call in metrics and logs.
 *  @text : of the error; without characters that JSON escapes. */
void fr_answer (struct front *front, struct hs_request *request,
                const char *what, unsigned int status, const char *body);
void fr_answer_error (struct front *front, struct hs_request *request,
                      const char *what, unsigned int status, const char *text);
void fr_answer_retry_later (struct front *front, struct hs_request *request,
                            const char *what, unsigned int status,
                            uint32_t after_s, const char *text);

/*! fr_answer_relayed () :
 *  Answers the request with the answer of another host; an rl_callback. */
void fr_answer_relayed (void *ctx, struct hs_request *request,
                        const struct rl_answer *answer);

/*! fr_relay () :
 *  Relays the request to another host, which may answer it only by a catalog
 *  that is at least as new as fr_known_catalog_version ().
 *  @address : IP:PORT of the only host to try; NULL: random hosts.
 *  @return : as rl_relay (). */
bool fr_relay (struct front *front, struct hs_request *request,
               const char *address, rl_callback callback);

/*! fr_is_outdated_refusal () :
 *  @return : whether another host has refused a request, without having done
 *            anything, by an older catalog than the newest one known here, or
 *            without a catalog. */
bool fr_is_outdated_refusal (const struct front *front,
                             const struct rl_answer *answer);

/*! fr_relay_to_any_host () :
 *  Relays a request that this host cannot serve now to another host; answers
 *  503 if there is none to try. */
void fr_relay_to_any_host (struct front *front, struct hs_request *request,
                           const char *what);

/* --- front.c --- */

/*! fr_route () :
 *  Finds the queue of a request by the catalog of this host.
 *  @rest : set to what follows the queue's path prefix, unless NULL is
 *          returned.
 *  @return : NULL if there is no such queue, or no catalog. */
const struct ct_queue *fr_route (const struct front *front,
                                 const struct hs_request *request,
                                 const char **rest);

/*! fr_job_id () :
 *  @return : the id at the end of the request's path, whether or not the
 *            catalog of this host has its queue; NULL: there is none. */
const char *fr_job_id (const struct hs_request *request);

/*! fr_dispatch () :
 *  Serves a request by the catalog of this host, which must have one. */
void fr_dispatch (struct front *front, struct hs_request *request);

/*! fr_submits () :
 *  @return : whether the request submits a job. */
bool fr_submits (const struct hs_request *request);

/*! fr_known_catalog_version () :
 *  The newest catalog that is known to be in use: here or, by its answers and
 *  by the records of jobs, at another host.  Callers must not be answered by
 *  an older one, lest they see the configuration revert.
 *  @return : its version; -1: none is known. */
int64_t fr_known_catalog_version (const struct front *front);

/*! fr_catalog_is_current () :
 *  @return : whether this host may answer the request by its catalog, which is
 *            neither too old nor older than a version it has to respect. */
bool fr_catalog_is_current (const struct front *front,
                            struct hs_request *request);

/*! fr_catalog_age_max_ms () :
 *  @return : age above which the catalog is not used, because it may still
 *            hold a key that must be refused by now. */
int64_t fr_catalog_age_max_ms (const struct front *front);

/* --- front_start.c --- */

/*! fr_early_requests_init (), fr_early_requests_clear () :
 *  Set up and free the requests that wait for the first catalog. */
void fr_early_requests_init (struct front *front);
void fr_early_requests_clear (struct front *front);

/*! fr_catalog_is_known () :
 *  @return : whether a current catalog has been read once. */
bool fr_catalog_is_known (struct front *front);

/*! fr_defer_until_catalog_known () :
 *  Serves the request once a current catalog has been read, or answers 503 if
 *  that takes too long, at once if the store is out of reach. */
void fr_defer_until_catalog_known (struct front *front,
                                   struct hs_request *request);

/* --- front_jobs.c --- */

/*! fr_submit (), fr_cancel (), fr_answer_state (), fr_answer_queue_length () :
 *  Serve one kind of call.
 *  @team : that the job counts for; NULL: none, in a queue without keys.
 *  @id : of the job, valid by jb_id_valid (). */
void fr_submit (struct front *front, struct hs_request *request,
                const struct ct_queue *queue, const struct ct_team *team,
                const char *id);
void fr_cancel (struct front *front, struct hs_request *request,
                const char *id);
void fr_answer_state (struct front *front, struct hs_request *request,
                      const char *id);
void fr_answer_queue_length (struct front *front, struct hs_request *request,
                             const struct ct_queue *queue);

/*! fr_is_stored () :
 *  @return : whether the job is known to be accepted: this host has read its
 *            record, or another host has said so. */
bool fr_is_stored (struct front *front, const char *id);

/*! fr_is_decided () :
 *  @return : whether what this host knows of the job is all that the answer
 *            takes, whatever another host knows: a repeated submission, or a
 *            query or cancellation of a job in a final state. */
bool fr_is_decided (struct front *front, const struct hs_request *request,
                    const char *id);

/*! fr_answer_newer_state () :
 *  Compares another host's answer to a request with what this host knows of
 *  the job.  If the request is a GET and this host knows more (that there is
 *  the job, or a later state), answers it; else keeps what the answer says of
 *  the job.
 *  @return : whether it has answered. */
bool fr_answer_newer_state (struct front *front, struct hs_request *request,
                            const struct rl_answer *answer);

/* --- front_relayed.c --- */

/*! fr_relayed_jobs_create (), fr_relayed_jobs_free () :
 *  Of what other hosts have answered callers of this host about jobs. */
GHashTable *fr_relayed_jobs_create (void);
void fr_relayed_jobs_free (GHashTable *jobs);

/*! fr_note_relayed_job () :
 *  Another host has told a caller of this one that the job is in STATE. */
void fr_note_relayed_job (struct front *front, const char *id,
                          enum jb_state state);

/*! fr_relayed_state () :
 *  @out : set to the newest state that another host has told callers of this
 *         one, unless this host has read it itself since.
 *  @return : whether *out has been set. */
bool fr_relayed_state (struct front *front, const char *id,
                       enum jb_state *out);

#endif
