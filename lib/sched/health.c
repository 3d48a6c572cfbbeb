/* Bad workers told from bad jobs.  Load patterns: some workers fail all that
   they start while their entries look well, and the one that fails fastest
   would draw the most work; on some workers tasks stand still, or go on
   several times slower than those of the same step elsewhere, and a gang with
   one such member is held up as a whole.  */

#include <stdlib.h>
#include <string.h>

#include "sched/private.h"

enum
{
  /* Workers differ by a factor of 1.6 and tasks of a step by 1.3 either way;
     slowed ones are 4 to 8 times slower.  */
  SLOW_FACTOR = 3,
  SLOW_FROM_MS = 700, /* shorter times give no rate */
  SIBLINGS_MAX = 64   /* looked at */
};

/* A task is moved if that is faster by this much: it loses what it did, and
   waits for room.  */
#define MOVE_GAIN 1.5

void
sd_health_done (struct sd_worker *worker, int64_t now_ms)
{
  worker->failure_streak = 0;
  worker->refusal_streak = 0;
  worker->last_failed_job[0] = '\0';
  worker->last_done_ms = now_ms;
  worker->avoid_until_ms = 0;
}

void
sd_health_failed (struct sd_worker *worker, const struct jb_job *job,
                  int64_t now_ms)
{
  if (strcmp (worker->last_failed_job, job->id) == 0)
    return;
  g_strlcpy (worker->last_failed_job, job->id, sizeof worker->last_failed_job);
  worker->failure_streak++;
  if (worker->failure_streak >= SD_BAD_STREAK)
    worker->avoid_until_ms = now_ms + SD_AVOID_MS;
}

void
sd_health_refused (struct sd_worker *worker, int64_t now_ms)
{
  worker->refusal_streak++;
  worker->avoid_until_ms = MAX (
      worker->avoid_until_ms,
      now_ms + (worker->refusal_streak > 1 ? SD_AVOID_MS : SD_ROOM_SHUT_MS));
}

void
sd_health_suspect (struct sd_worker *worker, int64_t now_ms)
{
  worker->avoid_until_ms = MAX (worker->avoid_until_ms, now_ms + SD_AVOID_MS);
}

bool
sd_health_stalled (const struct sd_sched *sched, const struct jb_task *task,
                   int64_t now_ms)
{
  int64_t limit_ms = task->percent == 0
                         ? SD_STALL_FIRST_MS
                         : (int64_t)SD_STALL_MS * sched->params.far_factor;

  return task->progress_ms > 0 && task->percent < 99
         && now_ms - task->progress_ms > limit_ms;
}

/* Percent a second, as shown last; 0: too early to tell.  */
static double
rate_of (const struct jb_task *task)
{
  int64_t ran_ms = task->progress_ms - task->started_ms;

  if (task->state != JB_TASK_PLACED || !task->confirmed || task->percent <= 0
      || task->started_ms == 0 || ran_ms < SLOW_FROM_MS)
    return 0;
  return (double)task->percent * 1000.0 / (double)ran_ms;
}

static int
compare_rates (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

/* The middle rate of the other tasks of its step on other workers; 0: none. */
static double
usual_rate (const struct jb_task *task)
{
  const struct jb_step *step = task->step;
  double rates[SIBLINGS_MAX];
  size_t count = 0;
  uint32_t i;

  for (i = 0; i < step->spec->count && count < SIBLINGS_MAX; i++)
    {
      const struct jb_task *other = &step->tasks[i];
      double rate = other == task ? 0 : rate_of (other);

      if (rate > 0 && strcmp (other->worker, task->worker) != 0)
        rates[count++] = rate;
    }
  if (count == 0)
    return 0;
  qsort (rates, count, sizeof rates[0], compare_rates);
  return rates[count / 2];
}

enum sd_pace_of_work
sd_health_pace (const struct jb_task *task)
{
  double own = rate_of (task);
  double usual = usual_rate (task);

  if (own <= 0 || usual <= 0 || own * SLOW_FACTOR >= usual)
    return SD_WORK_USUAL;
  /* What is left here against all of it elsewhere.  */
  if ((100.0 - (double)task->percent) / own > 100.0 / usual * MOVE_GAIN)
    return SD_WORK_BETTER_MOVED;
  return SD_WORK_SLOW;
}

bool
sd_health_avoided (const struct sd_worker *worker, int64_t now_ms)
{
  return worker->avoid_until_ms > now_ms;
}
