/* What foxtailgap asks of a worker: start, stop, hold and look.  A
   deployment's adapter implements the port.  Prefix: wp_.  */

#ifndef FT_WORKER_PORT_H
#define FT_WORKER_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "sched/sched.h"

enum wp_result
{
  WP_DONE = 0,
  WP_SILENT = -1,  /* no answer: it may have been done, or be done later */
  WP_FENCED = -2,  /* a higher term has been there */
  WP_OLD = -3,     /* the run is not higher than one known there */
  WP_LATE = -4,    /* the order's deadline has passed */
  WP_ROOM = -5,    /* it does not fit */
  WP_UNWELL = -6,  /* the worker does nothing now */
  WP_OTHER = -7,   /* another worker lives at the address */
  WP_INVALID = -8, /* the worker does not understand the order */
  WP_TICKET = -9,  /* the advisor's ticket does not hold there */
};

/*! wp_result_name () :
 *  @return : a word for logs and metrics. */
const char *wp_result_name (enum wp_result result);

/* Where an order goes.  */
struct wp_target
{
  const char *address; /* IP:PORT */
  const char *worker;  /* id */
};

struct wp_run
{
  char *task;
  uint32_t run;
  char *checkpoint; /* may be empty */
  int64_t percent;  /* of its work */
  int64_t figure;   /* of the last half second: of a task that serves the tail
                       in ms, of others the processors used */
};

struct wp_end
{
  int64_t number;
  char *task;
  uint32_t run;
  enum sd_end how;
  char *checkpoint;
};

struct wp_answer
{
  enum wp_result result;
  bool maybe_sent;
  int64_t clock_ms;   /* of the worker; -1: not told */
  int64_t born_ms;    /* start of this life of the worker; 0: not told */
  const GArray *runs; /* struct wp_run, of a hold */
  const GArray *ends; /* struct wp_end, of a hold */
};

typedef void (*wp_callback) (void *ctx, const struct wp_answer *answer);

struct wp_start
{
  const char *task;
  uint32_t run;
  const char *text;
  int64_t deadline_ms; /* on the worker's clock */
  uint64_t term;
  const char *checkpoint; /* NULL: none */
  const char *ticket;     /* NULL: none */
};

struct wp_stop
{
  const char *task;
  uint32_t run;
  uint64_t term;
};

struct wp_pace
{
  const char *task;
  uint32_t run;
  uint32_t percent; /* of its speed */
  uint64_t term;
};

struct wp_hold
{
  uint64_t term;
  int64_t seen;        /* ends up to this number may be forgotten */
  int64_t deadline_ms; /* on the worker's clock; negative: only look */
  uint32_t wait_ms;    /* wait at most this for an end */
};

struct wp_port
{
  void *ctx;
  void (*start) (void *ctx, const struct wp_target *target,
                 const struct wp_start *start, uint32_t timeout_ms,
                 wp_callback callback, void *callback_ctx);
  void (*stop) (void *ctx, const struct wp_target *target,
                const struct wp_stop *stop, uint32_t timeout_ms,
                wp_callback callback, void *callback_ctx);
  void (*pace) (void *ctx, const struct wp_target *target,
                const struct wp_pace *pace, uint32_t timeout_ms,
                wp_callback callback, void *callback_ctx);
  void (*hold) (void *ctx, const struct wp_target *target,
                const struct wp_hold *hold, uint32_t timeout_ms,
                wp_callback callback, void *callback_ctx);
};

#endif
