/* The pace of best-effort tasks beside serving tasks.  Made for this load:
   both share a worker's processors, caches and links.  How much best-effort
   tasks slow down serving tasks differs by image and changes within seconds,
   and so does the load of the serving tasks.  So the tail of the response
   times decides: above its target the best-effort tasks are paused at once,
   below it their pace is raised step by step, and the pace at which the tail
   went over its target last is not used again for a while.  */

#include "sched/private.h"

enum
{
  PACE_STEP_PERCENT = 20,
  /* Tails in percent of their target: above the first the pace is lowered,
     below the second it is raised.  There is a margin between them and the
     target because a reported tail covers only half a second.  */
  TAIL_NEAR_PERCENT = 85,
  TAIL_LOW_PERCENT = 70,
  CHANGE_INTERVAL_MS = 1000, /* two polls, and a tail under the new pace */
  /* A level that led to a tail over its target is not reached again for this
     time.  */
  CEILING_MS = 8000,
  COMMAND_RETRY_MS = 300 /* after a command without an answer */
};

static bool
is_serving (const struct jb_task *task)
{
  return task->state == JB_TASK_PLACED && task->confirmed
         && task->step->spec->tail_target_ms > 0;
}

static bool
is_best_effort (const struct jb_task *task)
{
  return task->state == JB_TASK_PLACED && task->confirmed
         && task->step->spec->best_effort;
}

bool
sd_worker_is_shared (const struct sd_worker *worker)
{
  bool serving = false;
  bool best_effort = false;
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      serving = serving || is_serving (task);
      best_effort = best_effort || is_best_effort (task);
    }
  return serving && best_effort;
}

/* The worst tail of a serving task on the worker, in percent of its target. */
static int64_t
worst_tail_percent (const struct sd_worker *worker)
{
  int64_t worst = 0;
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      if (is_serving (task))
        worst = MAX (worst, task->reported_load * 100
                                / (int64_t)task->step->spec->tail_target_ms);
    }
  return worst;
}

static void
update_pace_level (struct sd_worker *worker, int64_t now_ms)
{
  int64_t tail = worst_tail_percent (worker);

  if (tail > 100)
    {
      if (worker->pace_level > 0)
        {
          worker->pace_ceiling = MAX (worker->pace_level, PACE_STEP_PERCENT)
                                 - PACE_STEP_PERCENT;
          worker->pace_ceiling_until_ms = now_ms + CEILING_MS;
        }
      worker->pace_level = 0;
      worker->pace_changed_ms = now_ms;
      return;
    }
  if (worker->pace_ceiling_until_ms <= now_ms)
    worker->pace_ceiling = JB_PACE_FULL_PERCENT;
  if (tail > TAIL_NEAR_PERCENT && worker->pace_level > 0
      && now_ms - worker->pace_changed_ms >= CHANGE_INTERVAL_MS)
    {
      worker->pace_level -= MIN (worker->pace_level, PACE_STEP_PERCENT);
      worker->pace_changed_ms = now_ms;
    }
  else if (tail < TAIL_LOW_PERCENT
           && now_ms - worker->pace_changed_ms >= CHANGE_INTERVAL_MS
           && worker->pace_level < worker->pace_ceiling)
    {
      worker->pace_level
          = MIN (worker->pace_level + PACE_STEP_PERCENT, worker->pace_ceiling);
      worker->pace_changed_ms = now_ms;
    }
}

void
sd_pace_worker (struct sd_worker *worker, int64_t now_ms, GArray *commands)
{
  bool shared = sd_worker_is_shared (worker);
  guint i;

  if (!shared)
    worker->pace_level = JB_PACE_FULL_PERCENT;
  else
    update_pace_level (worker, now_ms);
  for (i = 0; i < worker->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (worker->tasks, i);
      struct sd_pace_command command
          = { .task = task, .percent = worker->pace_level };

      if (!is_best_effort (task) || task->pace == command.percent
          || now_ms - task->pace_sent_ms < COMMAND_RETRY_MS)
        continue;
      task->pace_sent_ms = now_ms;
      g_array_append_val (commands, command);
    }
}

void
sd_task_paced (struct jb_task *task, uint32_t percent)
{
  task->pace = percent;
}
