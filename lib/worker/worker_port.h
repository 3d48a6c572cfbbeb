/* The port to workers: commands that start, stop and pace tasks, lease
   renewals and status polls.  A deployment's adapter implements it.
   Prefix: wp_.  */

#ifndef FT_WORKER_PORT_H
#define FT_WORKER_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "sched/sched.h"

/* The result of a call to a worker.  */
enum wp_result
{
  WP_DONE = 0,
  WP_NO_ANSWER = -1, /* no answer: it may have been done, or be done later */
  WP_FENCED = -2,    /* the worker has seen a higher term */
  WP_STALE_RUN = -3, /* the run number is not higher than one known there */
  WP_DEADLINE_PASSED = -4, /* the deadline of the command had passed */
  WP_NO_RESOURCES = -5,    /* the task does not fit in its free resources */
  WP_UNHEALTHY = -6, /* the worker is unhealthy and executes no commands now */
  WP_WRONG_WORKER = -7,      /* the address belongs to another worker now */
  WP_MALFORMED_COMMAND = -8, /* the worker cannot read the command */
  WP_TICKET_INVALID = -9,    /* the advisor's ticket is not valid there */
  WP_NOT_SENT = -10,  /* no connection: nothing of the call has reached it */
  WP_SEND_LATE = -11, /* not sent, for wp_renew.send_within_ms had passed */
};

/*! wp_result_name () :
 *  @return : one word for logs and metrics; static. */
const char *wp_result_name (enum wp_result result);

/* The worker that a call goes to.  */
struct wp_target
{
  const char *address; /* IP:PORT */
  const char *worker;  /* id */
};

/* A run that is on the worker.  */
struct wp_run
{
  char *task;       /* name */
  uint32_t run;     /* number */
  char *checkpoint; /* newest; may be empty */
  int64_t
      percent; /* done of its work, or of the start-up of a long-lived task */
  int64_t reported_load; /* over the last half second: of a serving task the
                            tail of its response times in ms; of others the
                            processors used, which no code reads */
};

/* A run that has ended on the worker.  */
struct wp_outcome
{
  int64_t number; /* of this entry in the worker's list; see wp_renew */
  char *task;     /* name */
  uint32_t run;   /* number */
  enum sd_outcome outcome;
  char *checkpoint; /* newest; may be empty */
};

/* The answer to a call, valid during the callback.  */
struct wp_answer
{
  enum wp_result result;
  int64_t worker_clock_ms;   /* -1: not reported */
  int64_t worker_started_ms; /* start of the worker's process, by a clock of
                                its own: only compared for equality, to detect
                                a restart; 0: not reported */
  const GArray *runs; /* struct wp_run; of a lease renewal or status poll */
  const GArray
      *outcomes; /* struct wp_outcome; of a lease renewal or status poll */
  /* Without an answer: the connection was used by earlier calls, and may be at
     fault; the next call is sent on another.  */
  bool reused_connection;
  bool outcomes_limited; /* the worker may have more outcomes than one answer
                            lists, so a run in neither list may have ended */
};

typedef void (*wp_callback) (void *ctx, const struct wp_answer *answer);

/* The command to start a run.  */
struct wp_start
{
  const char *task;       /* name */
  uint32_t run;           /* number */
  const char *job_text;   /* jb_spec.text, passed on unchanged */
  int64_t deadline_ms;    /* on the worker's clock; not executed after it */
  uint64_t term;          /* of the planner: the fencing token */
  const char *checkpoint; /* to resume from; NULL: none */
  const char *ticket;     /* NULL: none */
};

/* The command to stop a run.  */
struct wp_stop
{
  const char *task;
  uint32_t run;
  uint64_t term;
};

/* The command to run a best-effort task at a share of its speed.  */
struct wp_pace
{
  const char *task;
  uint32_t run;
  uint32_t percent; /* of its speed */
  uint64_t term;
};

/* A lease renewal or, with a negative lease_deadline_ms, only a status poll.
   The answers to both report what runs on the worker and what has ended
   there.  */
struct wp_renew
{
  uint64_t term;                /* of the planner: the fencing token */
  int64_t acked_outcome_number; /* the worker may forget wp_outcome up to this
                                   number */
  uint32_t send_within_ms;   /* with such a number: it is not sent later; 0: no
                                limit */
  int64_t lease_deadline_ms; /* of the lease, on the worker's clock; negative:
                          the lease is not renewed */
  uint32_t wait_ms; /* the worker may delay its answer by this until a run
                       ends; 0: no delay */
};

/* Each call ends with one call of CALLBACK; the arguments are copied.  */
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
  void (*renew) (void *ctx, const struct wp_target *target,
                 const struct wp_renew *renewal, uint32_t timeout_ms,
                 wp_callback callback, void *callback_ctx);
};

#endif
