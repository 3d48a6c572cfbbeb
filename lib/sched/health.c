/* Bad workers told from bad jobs.  Load patterns: some workers fail all that
   they start while their entries look well, and the one that fails fastest
   would draw the most work; on some workers tasks stand still, and a gang
   with one such member would stand still as a whole.  */

#include <string.h>

#include "sched/private.h"

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

bool
sd_health_avoided (const struct sd_worker *worker, int64_t now_ms)
{
  return worker->avoid_until_ms > now_ms;
}
