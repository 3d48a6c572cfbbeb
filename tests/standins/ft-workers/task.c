/* One task on a worker.  */

#include "task.h"

#include <glib.h>
#include <string.h>

#include "standins/common/json_answer.h"

enum
{
  MS_PER_S = 1000,
  PERCENT = 100,
  OUTPUT_LIMIT_BYTES = 64 * 1024,
  FAIL_AT_ONCE_MS = 10
};

int64_t
tk_now_ms (struct ev_loop *loop)
{
  return (int64_t)(ev_now (loop) * MS_PER_S);
}

void
tk_payload_parse (struct tk_payload *payload, const json_t *object)
{
  const char *output = ja_text (object, "output", NULL);

  payload->run_ms = ja_number (object, "run_ms", 0);
  payload->initial_progress_ms = ja_number (object, "start_at_ms", 0);
  payload->stop_duration_ms = ja_number (object, "stop_ms", 0);
  payload->checkpoint_duration_ms = ja_number (object, "checkpoint_ms", 0);
  payload->use_percent = (uint32_t)ja_number (object, "use_percent", PERCENT);
  payload->fail = ja_flag (object, "fail", false);
  payload->fail_task = -1;
  if (ja_has (object, "fail_task"))
    payload->fail_task = (int64_t)ja_number (object, "fail_task", 0);
  payload->output
      = output == NULL ? NULL : g_strndup (output, OUTPUT_LIMIT_BYTES);
}

void
tk_payload_clear (struct tk_payload *payload)
{
  g_free (payload->output);
  payload->output = NULL;
}

/* TIME_MS may be before the last change of speed, since usage is reported with
   a lag.  The speed of that time is then the previous one.  */
static double
progress_at (const struct tk_task *task, int64_t time_ms)
{
  int64_t since_ms = time_ms - task->speed_changed_ms;
  uint32_t percent
      = since_ms >= 0 ? task->speed_percent : task->previous_speed_percent;
  double progress_ms
      = task->progress_at_change_ms + (double)since_ms * percent / PERCENT;

  return CLAMP (progress_ms, 0.0, (double)task->run_ms);
}

static void
on_end (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct tk_task *task = watcher->data;

  (void)events;
  task->progress_at_change_ms = progress_at (task, tk_now_ms (loop));
  if (!task->fails)
    task->progress_at_change_ms = (double)task->run_ms;
  task->speed_changed_ms = tk_now_ms (loop);
  task->state = TK_ENDED;
  task->on_ended (task->ctx, !task->fails);
}

static void
schedule_end (struct tk_task *task, double remaining_ms)
{
  ev_timer_stop (task->loop, &task->end_timer);
  ev_timer_set (&task->end_timer, remaining_ms / MS_PER_S, 0.0);
  ev_timer_start (task->loop, &task->end_timer);
}

void
tk_start (struct tk_task *task, const struct tk_payload *payload,
          bool fail_at_once)
{
  task->state = TK_RUNNING;
  task->run_ms = payload->run_ms;
  task->use_percent = payload->use_percent;
  task->fails = task->fails || fail_at_once || payload->fail
                || payload->fail_task == (int64_t)task->number;
  task->started_ms = tk_now_ms (task->loop);
  task->speed_changed_ms = task->started_ms;
  task->progress_at_change_ms
      = (double)MIN (payload->initial_progress_ms, payload->run_ms);
  task->speed_percent = PERCENT;
  task->previous_speed_percent = PERCENT;
  ev_init (&task->end_timer, on_end);
  task->end_timer.data = task;
  if (fail_at_once)
    schedule_end (task, FAIL_AT_ONCE_MS);
  else
    schedule_end (task, (double)task->run_ms - task->progress_at_change_ms);
}

void
tk_stop (struct tk_task *task)
{
  if (task->state == TK_RUNNING)
    {
      ev_timer_stop (task->loop, &task->end_timer);
      task->progress_at_change_ms = progress_at (task, tk_now_ms (task->loop));
      task->speed_changed_ms = tk_now_ms (task->loop);
    }
  task->state = TK_ENDED;
}

void
tk_throttle (struct tk_task *task, uint32_t percent)
{
  int64_t now_ms = tk_now_ms (task->loop);

  if (task->state != TK_RUNNING)
    return;
  task->progress_at_change_ms = progress_at (task, now_ms);
  task->speed_changed_ms = now_ms;
  task->previous_speed_percent = task->speed_percent;
  task->speed_percent = MIN (percent, PERCENT);
  if (task->speed_percent == 0)
    ev_timer_stop (task->loop, &task->end_timer);
  else
    schedule_end (task, ((double)task->run_ms - task->progress_at_change_ms)
                            * PERCENT / task->speed_percent);
}

uint64_t
tk_progress_ms (const struct tk_task *task, int64_t time_ms)
{
  if (task->state == TK_LEASED)
    return 0;
  if (task->state == TK_ENDED)
    return (uint64_t)task->progress_at_change_ms;
  return (uint64_t)progress_at (task, time_ms);
}

json_t *
tk_usage (const struct tk_task *task, int64_t time_ms)
{
  uint64_t used;

  if (task->state != TK_RUNNING || time_ms < task->started_ms)
    return NULL;
  used = (uint64_t)task->cpus_milli * task->use_percent / PERCENT;
  used = used * task->speed_percent / PERCENT;
  return json_pack (
      "{s:I,s:I,s:I}", "cpus_milli", (json_int_t)used, "memory_mb",
      (json_int_t)((uint64_t)task->memory_mb * task->use_percent / PERCENT),
      "progress_ms", (json_int_t)tk_progress_ms (task, time_ms));
}
