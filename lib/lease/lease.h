/* Client of a worker's HTTP interface: lease, start, renew, stop, checkpoint.
   Requests and answers are typed; each request has one answer.
   Prefix: ls_.  */

#ifndef FT_LEASE_H
#define FT_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http/http_client.h"

/* Errors of this layer.  */
enum ls_error
{
  LS_OK = 0,
  LS_ERR_MEMORY = -1,
  LS_ERR_NOT_SENT = -2,         /* no part of the request reached the worker */
  LS_ERR_UNKNOWN = -3,          /* no complete answer, or a server error: the
                                    request may have taken effect */
  LS_ERR_MALFORMED_ANSWER = -4, /* the request may have taken effect */
  LS_ERR_STALE_TERM = -5,       /* the worker has seen a higher planner term */
  LS_ERR_BUSY = -6,             /* another lease holds the resources */
  LS_ERR_NO_LEASE = -7,         /* the worker has no such lease */
  LS_ERR_ATTEMPT_OVER = -8, /* the attempt was on this worker and is over */
  LS_ERR_REFUSED = -9,      /* refused for another reason, without effect */
};

/* Kinds of requests, and of their answers.  */
enum ls_kind
{
  LS_LEASE = 1,
  LS_START,
  LS_RENEW,
  LS_STOP,
  LS_CHECKPOINT
};

/* One attempt of a job.  */
struct ls_attempt
{
  const char *job;
  uint32_t attempt;
};

/* The resources that a lease holds for one task.  */
struct ls_task
{
  uint32_t task;
  uint32_t cpus_milli;
  uint32_t memory_mb;
  uint64_t accelerators; /* bit i: accelerator i of the worker */
};

/* The comment at each field names the kinds that use it; for the other kinds
   it is ignored.  TERM is used by all.  */
struct ls_request
{
  enum ls_kind kind;
  uint64_t term;               /* the planner term, as a fencing token */
  struct ls_attempt attempt;   /* all but LS_RENEW */
  const char *host;            /* LS_LEASE, LS_RENEW: the sending host */
  uint32_t ttl_ms;             /* LS_LEASE, LS_RENEW */
  const struct ls_task *tasks; /* LS_LEASE */
  size_t task_count;
  const void *payload; /* LS_START: a JSON object; NULL: an empty one */
  size_t payload_size_bytes;
  uint64_t start_progress_ms; /* LS_START: checkpointed progress */
  uint32_t grace_ms;          /* LS_STOP */
  uint64_t acknowledged_seq;  /* LS_RENEW: events up to this sequence
                     number are acknowledged */
  const struct ls_attempt
      *renewed_attempts; /* LS_RENEW: attempts to be renewed */
  size_t renewed_attempt_count;
};

/* The end of a task on the worker.  */
struct ls_task_end
{
  uint64_t seq;
  struct ls_attempt attempt;
  uint32_t task;
  bool ok;
  bool lapsed; /* the task ended because its lease ran out */
  const char *detail;
  const char *output;
};

/* Resources that one task uses, and its progress.  */
struct ls_usage
{
  struct ls_attempt attempt;
  uint32_t task;
  uint32_t cpus_milli;
  uint32_t memory_mb;
  uint64_t progress_ms;
};

/* Everything pointed to is owned by the answer.  */
struct ls_answer
{
  enum ls_kind kind;
  int error;               /* LS_OK or an ls_error */
  uint64_t term;           /* the highest term that the worker has seen; 0 if
                                it does not say */
  uint64_t worker_boot_id; /* identifies the start of the worker's process:
                      LS_LEASE, LS_RENEW; LS_STOP where given; else
                      0 */
  bool started;            /* LS_STOP: a task of the attempt has run on the
                                worker */
  uint64_t progress_ms;    /* LS_STOP, LS_CHECKPOINT */
  struct ls_attempt *unknown; /* LS_RENEW: attempts of the request
                                 for which the worker has no lease */
  size_t unknown_count;
  struct ls_task_end *events;
  size_t event_count;
  struct ls_usage *usage;
  size_t usage_count;
  void *json; /* private: parsed body (json_t), which owns the texts */
};

/* Where a worker is reached.  */
struct ls_target
{
  const char *address; /* IP address in text form */
  uint16_t port;
};

/* Called exactly once for each call that was not cancelled.  The answer is
   valid during the callback only.  */
typedef void (*ls_callback) (void *ctx, const struct ls_answer *answer);

struct ls_call;

/*! ls_send () :
 *  Starts a call.  The callback is never called before ls_send () returns.
 *  @return : LS_OK with *out set to the call, valid until its callback; or an
 *            ls_error (then the callback is not called and nothing was sent).
 */
int ls_send (struct hc_client *http, const struct ls_target *target,
             const struct ls_request *request, uint32_t timeout_ms,
             ls_callback callback, void *ctx, struct ls_call **out);

/*! ls_cancel () :
 *  Ends a call without its callback. */
void ls_cancel (struct ls_call *call);

/*! ls_may_have_taken_effect () :
 *  @return : whether a request that ended with ERROR may have taken effect. */
bool ls_may_have_taken_effect (int error);

/*! ls_strerror () :
 *  @return : a short text for an ls_error. */
const char *ls_strerror (int error);

/* ===== Encoding, apart from the transport ===================== */

/*! ls_path () :
 *  @return : the path of the call, such as "/lease". */
const char *ls_path (enum ls_kind kind);

/*! ls_encode () :
 *  @return : the request's body, to be freed by free (); NULL if the payload
 *            is no JSON object. */
char *ls_encode (const struct ls_request *request);

/*! ls_decode () :
 *  Reads the answer to a request of KIND.  Never fails: an answer that is not
 *  understood gives LS_ERR_MALFORMED_ANSWER.
 *  @answer : to be cleared by ls_answer_clear (). */
void ls_decode (struct ls_answer *answer, enum ls_kind kind, long status,
                const char *body, size_t size_bytes);
void ls_answer_clear (struct ls_answer *answer);

#endif
