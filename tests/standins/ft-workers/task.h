/* One task on a worker: its resources and its progress.  Prefix: tk_.

   Progress is the time that the task would have run at full speed, in
   milliseconds.  */

#ifndef FT_TASK_H
#define FT_TASK_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum tk_state
{
  TK_LEASED, /* not started yet */
  TK_RUNNING,
  TK_ENDED
};

/* Payload of a start call: how the tasks of the attempt behave.  */
struct tk_payload
{
  uint64_t run_ms;                 /* progress at which the task ends */
  uint64_t initial_progress_ms;    /* reached by an earlier attempt */
  uint64_t stop_duration_ms;       /* time until a stop call is answered */
  uint64_t checkpoint_duration_ms; /* time until a checkpoint is answered */
  uint32_t use_percent; /* reported usage of leased processors and memory */
  bool fail;            /* all tasks fail at their end */
  int64_t fail_task;    /* number of a task that fails; -1: none */
  char *output; /* of each task; NULL: a text that names task and worker */
};

/* Called when a task has run to its end.  OK: it succeeded.  */
typedef void (*tk_ended) (void *ctx, bool ok);

struct tk_task
{
  uint32_t number;
  uint32_t cpus_milli;
  uint32_t memory_mb;
  uint64_t accelerator_mask; /* one bit for each accelerator */
  enum tk_state state;
  struct ev_loop *loop;
  ev_timer end_timer;
  bool fails; /* fails at its end; may be set before the start */
  uint64_t run_ms;
  uint32_t use_percent;
  /* Progress is linear in time since the last change of speed.  */
  int64_t started_ms;
  int64_t speed_changed_ms;
  double progress_at_change_ms;
  uint32_t speed_percent;          /* since speed_changed_ms */
  uint32_t previous_speed_percent; /* before speed_changed_ms */
  tk_ended on_ended;
  void *ctx;
};

/*! tk_payload_parse () :
 *  Absent members get their defaults; the output is truncated to 64 KiB.
 *  The payload must be cleared by tk_payload_clear (). */
void tk_payload_parse (struct tk_payload *payload, const json_t *object);
void tk_payload_clear (struct tk_payload *payload);

/*! tk_start () :
 *  Starts the task.  Its callback on_ended is called at its end.
 *  @fail_at_once : the task fails 10 ms after its start. */
void tk_start (struct tk_task *task, const struct tk_payload *payload,
               bool fail_at_once);

/*! tk_stop () :
 *  Ends the task without a call of on_ended. */
void tk_stop (struct tk_task *task);

/*! tk_throttle () :
 *  Sets the speed of a running task.
 *  @percent : of full speed; 0: the task is suspended; above 100: 100. */
void tk_throttle (struct tk_task *task, uint32_t percent);

/*! tk_progress_ms () :
 *  @time_ms : a time of tk_now_ms () since the task's start.
 *  @return : the task's progress at that time; if the task has ended, at its
 *  end; 0 if it was not started. */
uint64_t tk_progress_ms (const struct tk_task *task, int64_t time_ms);

/*! tk_now_ms () :
 *  @return : the time of the event loop in milliseconds, which all times of a
 *  task refer to. */
int64_t tk_now_ms (struct ev_loop *loop);

/*! tk_usage () :
 *  @return : JSON object with the task's cpus_milli, memory_mb and progress_ms
 *  at that time, owned by the caller; NULL if the task does not run now or had
 *  not started at that time. */
json_t *tk_usage (const struct tk_task *task, int64_t time_ms);

#endif
