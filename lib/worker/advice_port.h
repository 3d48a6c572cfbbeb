/* What foxtailgap asks of a placement advisor: which workers may run a step.
   A deployment's adapter implements the port.  Prefix: ap_.  */

#ifndef FT_WORKER_ADVICE_PORT_H
#define FT_WORKER_ADVICE_PORT_H

#include <stddef.h>
#include <stdint.h>

enum ap_result
{
  AP_DONE = 0,
  AP_BUSY = -1,   /* too many calls wait there: it has not been looked at */
  AP_SILENT = -2, /* no answer, or one that cannot be read */
};

/* A worker that may run the step.  */
struct ap_row
{
  const char *worker;
  const char *ticket; /* to be shown to that worker with a start */
};

struct ap_answer
{
  enum ap_result result;
  const struct ap_row *rows;
  size_t row_count;
  uint32_t validity_ms; /* of the tickets, from the answer on */
};

typedef void (*ap_callback) (void *ctx, const struct ap_answer *answer);

struct ap_port
{
  void *ctx;

  /*! ask () :
   *  @step : ID.K.STEP.
   *  @workers : ids, NULL at the end, at most 100. */
  void (*ask) (void *ctx, const char *step, const char *const *workers,
               uint32_t timeout_ms, ap_callback callback, void *callback_ctx);
};

#endif
