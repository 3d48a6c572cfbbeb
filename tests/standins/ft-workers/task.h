/* One task on a worker: what it holds, how far it has come.  Prefix: tk_.  */

#ifndef FT_TASK_H
#define FT_TASK_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum tk_state
{
  TK_HELD, /* leased, not started */
  TK_RUNNING,
  TK_ENDED
};

/* What tasks are told at their start.  */
struct tk_payload
{
  uint64_t run_ms;
  uint64_t start_at_ms;   /* progress of an earlier attempt */
  uint64_t stop_ms;       /* time that it takes to stop */
  uint64_t checkpoint_ms; /* time that a checkpoint takes */
  uint32_t use_percent;   /* share of the leased processors and memory */
  bool fail;
  int64_t fail_task; /* only this one fails; -1: none */
  char *output;      /* NULL: a text that names task and worker */
};

/* The task has run to its end.  */
typedef void (*tk_ended) (void *ctx, bool ok);

struct tk_task
{
  uint32_t number;
  uint32_t cpus_milli;
  uint32_t memory_mb;
  uint64_t accelerators; /* mask */
  enum tk_state state;
  struct ev_loop *loop;
  ev_timer timer;
  bool fails; /* may be set before the start */
  uint64_t run_ms;
  uint32_t use_percent;
  /* Progress is linear from the last change of speed on.  */
  int64_t started_ms;
  int64_t changed_ms;
  double changed_progress_ms;
  uint32_t percent;
  uint32_t previous_percent;
  tk_ended ended;
  void *ctx;
};

/*! tk_payload_parse () :
 *  Absent members get their defaults; the output is cut to 64 KiB.
 *  To be cleared by tk_payload_clear (). */
void tk_payload_parse (struct tk_payload *payload, const json_t *object);
void tk_payload_clear (struct tk_payload *payload);

/*! tk_start () :
 *  @fail_at_once : the worker fails whatever it starts. */
void tk_start (struct tk_task *task, const struct tk_payload *payload,
               bool fail_at_once);

/*! tk_stop () :
 *  Ends the task without its callback. */
void tk_stop (struct tk_task *task);

/*! tk_throttle () :
 *  @percent : speed from now on; 0: it stands still. */
void tk_throttle (struct tk_task *task, uint32_t percent);

/*! tk_progress_ms () :
 *  @return : how far the task had come at a time since its start. */
uint64_t tk_progress_ms (const struct tk_task *task, int64_t time_ms);

/*! tk_now_ms () :
 *  @return : the loop's time, of which all times here are. */
int64_t tk_now_ms (struct ev_loop *loop);

/*! tk_usage () :
 *  @return : cpus_milli, memory_mb and progress_ms at that time, owned by the
 *  caller; NULL if it was not running. */
json_t *tk_usage (const struct tk_task *task, int64_t time_ms);

#endif
