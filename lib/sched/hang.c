/* Tasks that hang from their start.  Made for this load: one worker in ten
   answers calls and takes starts for some seconds while nothing on it goes on,
   and among the starts are members of gangs, whose other members wait for
   them.  A single task may be long in starting; so the limit of stalled tasks
   is long at 0 percent.  What the other tasks of its step have done, or what
   else hangs on its worker, shows it at the first poll.  */

#include <string.h>

#include "sched/private.h"

enum
{
  /* A task that others of its step show to be this far by now hangs if it has
     not begun.  Sound workers differ by a factor of 3 and remote tasks take 3
     times as long.  */
  EXPECTED_PERCENT = 12,
  OTHERS_MIN = 2, /* that show it */
  /* After this time a start is past what starting and restoring take, if other
     work on its worker hangs.  */
  START_MAX_MS = 1000,
  OTHERS_EXAMINED_MAX = 64
};

/* Whether OTHER has been so fast that TASK would be at EXPECTED_PERCENT.  */
static bool
shows_hang (const struct jb_task *other, const struct jb_task *task,
            int64_t ran_ms)
{
  return other != task
         && (other->state == JB_TASK_PLACED
             || other->state == JB_TASK_STOPPING)
         && other->confirmed && other->started_ms > 0 && other->percent > 0
         && strcmp (other->worker, task->worker) != 0
         && other->percent * ran_ms
                >= EXPECTED_PERCENT
                       * (other->progress_changed_ms - other->started_ms);
}

bool
sd_hang_is_behind (const struct jb_task *task, int64_t now_ms)
{
  const struct jb_step *step = task->step;
  uint32_t examined = MIN (step->spec->count, OTHERS_EXAMINED_MAX);
  uint32_t reported = 0;
  uint32_t faster = 0;
  uint32_t i;

  if (task->state != JB_TASK_PLACED || !task->confirmed
      || task->started_ms == 0 || task->percent > 0 || step->spec->long_lived)
    return false;
  for (i = 0; i < examined; i++)
    {
      const struct jb_task *other = &step->tasks[i];

      reported += other != task && other->percent > 0;
      faster += shows_hang (other, task, now_ms - task->started_ms);
    }
  return faster >= OTHERS_MIN && faster * 2 > reported;
}

void
sd_hang_found (struct sd_sched *sched, struct sd_worker *worker,
               int64_t now_ms)
{
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      if (task->state != JB_TASK_PLACED || !task->confirmed
          || task->started_ms == 0 || task->percent > 0
          || task->step->spec->long_lived
          || now_ms - task->started_ms < START_MAX_MS)
        continue;
      sd_stop_task (sched, task, "hangs");
      if (task->step->spec->gang)
        sd_stop_step (sched, task->step, "a member hangs");
    }
}
