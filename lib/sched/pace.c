/* How fast tasks that fill may work beside tasks that serve.  Load pattern:
   both share a worker's processors, caches and links; how much the one
   disturbs the other differs by image and changes within seconds, and so does
   the load of those that serve.  So the tail of response times decides: over
   its target the fillers stop at once, below it they come back step by step,
   and the step at which it went wrong last is left alone for a while.  */

#include "sched/private.h"

enum
{
  PACE_STEP_PERCENT = 20,
  /* Tails in percent of their target: above the first the fillers stay as they
     are, below the second they may work more.  The figure is a rough one of
     half a second.  */
  TAIL_NEAR_PERCENT = 85,
  TAIL_EASY_PERCENT = 70,
  RAISE_MS = 1000,   /* two looks and a figure that is made of the new pace */
  CEILING_MS = 8000, /* a level that did harm is not tried again before */
  AGAIN_MS = 300     /* an order without an answer */
};

static bool
serves (const struct jb_task *task)
{
  return task->state == JB_TASK_PLACED && task->confirmed
         && task->step->spec->target_ms > 0;
}

static bool
fills (const struct jb_task *task)
{
  return task->state == JB_TASK_PLACED && task->confirmed
         && task->step->spec->fills;
}

bool
sd_worker_is_shared (const struct sd_worker *worker)
{
  bool server = false;
  bool filler = false;
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      server = server || serves (task);
      filler = filler || fills (task);
    }
  return server && filler;
}

/* The worst tail on the worker, in percent of its target.  */
static int64_t
worst_tail_percent (const struct sd_worker *worker)
{
  int64_t worst = 0;
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      if (serves (task))
        worst = MAX (worst, task->figure * 100
                                / (int64_t)task->step->spec->target_ms);
    }
  return worst;
}

static void
choose_level (struct sd_worker *worker, int64_t now_ms)
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
    worker->pace_ceiling = JB_PACE_FULL;
  if (tail > TAIL_NEAR_PERCENT && worker->pace_level > 0
      && now_ms - worker->pace_changed_ms >= RAISE_MS)
    {
      worker->pace_level -= MIN (worker->pace_level, PACE_STEP_PERCENT);
      worker->pace_changed_ms = now_ms;
    }
  else if (tail < TAIL_EASY_PERCENT
           && now_ms - worker->pace_changed_ms >= RAISE_MS
           && worker->pace_level < worker->pace_ceiling)
    {
      worker->pace_level
          = MIN (worker->pace_level + PACE_STEP_PERCENT, worker->pace_ceiling);
      worker->pace_changed_ms = now_ms;
    }
}

void
sd_pace (struct sd_worker *worker, int64_t now_ms, GArray *orders)
{
  bool shared = sd_worker_is_shared (worker);
  guint i;

  if (!shared)
    worker->pace_level = JB_PACE_FULL;
  else
    choose_level (worker, now_ms);
  for (i = 0; i < worker->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (worker->tasks, i);
      struct sd_pace_order order
          = { .task = task, .percent = worker->pace_level };

      if (!fills (task) || task->pace == order.percent
          || now_ms - task->pace_sent_ms < AGAIN_MS)
        continue;
      task->pace_sent_ms = now_ms;
      g_array_append_val (orders, order);
    }
}

void
sd_task_paced (struct jb_task *task, uint32_t percent)
{
  task->pace = percent;
}
