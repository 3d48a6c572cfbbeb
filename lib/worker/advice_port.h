/* The port to a placement advisor, which decides which workers may run a step.
   A deployment's adapter implements it.  Prefix: ap_.  */

#ifndef FT_WORKER_ADVICE_PORT_H
#define FT_WORKER_ADVICE_PORT_H

#include <stddef.h>
#include <stdint.h>

/* The result of a query.  */
enum ap_result
{
  AP_DONE = 0,
  AP_BUSY = -1,      /* refused, too many queries wait there: not evaluated */
  AP_NO_ANSWER = -2, /* no answer, or one that cannot be read */
};

/* A worker that the advisor allows to run the step.  */
struct ap_allowed_worker
{
  const char *worker; /* id */
  const char *ticket; /* each start of the step on that worker carries it */
};

/* The answer to a query, valid during the callback.  */
struct ap_answer
{
  enum ap_result result;
  const struct ap_allowed_worker
      *allowed; /* the allowed ones of the workers named */
  size_t allowed_count;
  uint32_t validity_ms; /* of the tickets, from the receipt of the answer */
};

typedef void (*ap_callback) (void *ctx, const struct ap_answer *answer);

struct ap_port
{
  void *ctx;

  /*! query () :
   *  Asks which of WORKERS may run STEP; CALLBACK is called once.
   *  @step : ID.K.STEP.
   *  @workers : ids, NULL at the end, at most 100. */
  void (*query) (void *ctx, const char *step, const char *const *workers,
                 uint32_t timeout_ms, ap_callback callback,
                 void *callback_ctx);
};

#endif
