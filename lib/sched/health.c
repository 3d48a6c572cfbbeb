/* Distinguishes unhealthy workers from faulty jobs.  Made for these loads:
   some workers fail all tasks that they start while their reports show no
   fault, and the worker that fails fastest would get the most work; on some
   workers tasks are stalled, or run several times slower than tasks of the
   same step elsewhere, and a gang with one such member is delayed as a
   whole.  */

#include <stdlib.h>
#include <string.h>

#include "sched/private.h"

enum
{
  /* A task is slow if its rate is this many times below the median of its
     step.  Normal workers differ by a factor of 1.6 and tasks of a step by 1.3
     either way; workers with a fault are 4 to 8 times slower.  */
  SLOW_FACTOR = 3,
  RATE_MIN_RUN_MS = 700,     /* a rate over a shorter time is too rough */
  SIBLINGS_EXAMINED_MAX = 64 /* of the other tasks of a step */
};

/* A task is restarted elsewhere if it would be done faster by this factor,
   since a restart loses its work and has to wait for free resources.  */
#define RESTART_MIN_GAIN 1.5

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
                  bool first_failed_run, int64_t now_ms)
{
  if (strcmp (worker->last_failed_job, job->id) == 0)
    return;
  g_strlcpy (worker->last_failed_job, job->id, sizeof worker->last_failed_job);
  worker->failure_streak++;
  worker->last_failed_ms = now_ms;
  if (worker->failure_streak >= SD_FAILURE_STREAK_LIMIT)
    worker->avoid_until_ms = now_ms + SD_AVOID_MS;
  else if (first_failed_run)
    worker->suspect_until_ms = now_ms + SD_SUSPECT_MS;
}

void
sd_health_refused (struct sd_worker *worker, int64_t now_ms)
{
  worker->refusal_streak++;
  worker->avoid_until_ms
      = MAX (worker->avoid_until_ms,
             now_ms
                 + (worker->refusal_streak > 1 ? SD_AVOID_MS
                                               : SD_REFUSAL_BACKOFF_MS));
}

void
sd_health_avoid (struct sd_worker *worker, int64_t now_ms)
{
  worker->avoid_until_ms = MAX (worker->avoid_until_ms, now_ms + SD_AVOID_MS);
}

void
sd_health_progressed (struct jb_task *task, int64_t percent, int64_t now_ms)
{
  /* At 0 percent it may wait for its gang, or restore its checkpoint.  */
  if (task->percent > 0 && percent > task->percent)
    task->percent_ms
        = (now_ms - task->progress_changed_ms) / (percent - task->percent);
  task->percent = percent;
  task->progress_changed_ms = now_ms;
}

static uint32_t *
stalls_of (const struct jb_task *task)
{
  return &(task->step->spec->gang ? task->step->tasks
                                  : &task->step->tasks[task->index])
              ->stalls;
}

void
sd_health_stalled (struct jb_task *task)
{
  (*stalls_of (task))++;
}

/* How long a percent of the task's work takes, as expected, or as it has taken
   last if that was much longer.  Reports are up to 1.9 s apart, so that what
   it has taken is a rough figure.  */
static int64_t
percent_ms (const struct sd_sched *sched, const struct jb_task *task)
{
  int64_t expected_ms = es_expect_ms (sched->estimates, task->job->queue,
                                      task->step->spec->estimate_ms)
                        / 100;

  return task->percent_ms > 2 * expected_ms ? task->percent_ms : expected_ms;
}

bool
sd_health_is_stalled (const struct sd_sched *sched, const struct jb_task *task,
                      int64_t now_ms)
{
  int64_t limit_ms = task->percent == 0
                         ? SD_FIRST_PROGRESS_TIMEOUT_MS
                         : (int64_t)SD_STALL_TIMEOUT_MS
                               * sched->params.remote_slowdown_factor;

  if (task->progress_changed_ms <= 0 || task->percent >= 99
      || now_ms - task->progress_changed_ms <= limit_ms)
    return false;
  limit_ms = MAX (limit_ms, SD_STALL_PERCENTS * percent_ms (sched, task));
  limit_ms <<= MIN (*stalls_of (task), SD_STALL_DOUBLINGS_MAX);
  return now_ms - task->progress_changed_ms > limit_ms;
}

/* The rate of a running task by its last reported progress, as it would be on
   a worker of the nominal speed; 0: not enough progress yet.  */
static double
percent_per_s (const struct sd_sched *sched, const struct jb_task *task)
{
  const struct sd_worker *worker;
  int64_t ran_ms = task->progress_changed_ms - task->started_ms;

  if (task->state != JB_TASK_PLACED || !task->confirmed || task->percent <= 0
      || task->started_ms == 0 || ran_ms < RATE_MIN_RUN_MS)
    return 0;
  worker = sd_worker_find (sched, task->worker);
  return (double)task->percent * 1000.0 / (double)ran_ms
         / sd_speed_if_normal (sched, worker);
}

static int
compare_rates (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

/* The median rate of the other tasks of its step that run on other workers,
   if it is above LIMIT; else 0, also if there are none.  It seldom is, so that
   few have to be sorted.  */
static double
median_sibling_rate_above (const struct sd_sched *sched,
                           const struct jb_task *task, double limit)
{
  const struct jb_step *step = task->step;
  double rates[SIBLINGS_EXAMINED_MAX];
  size_t count = 0;
  size_t above = 0;
  uint32_t i;

  for (i = 0; i < step->spec->count && count < SIBLINGS_EXAMINED_MAX; i++)
    {
      const struct jb_task *other = &step->tasks[i];
      double rate = other == task ? 0 : percent_per_s (sched, other);

      if (rate > 0 && strcmp (other->worker, task->worker) != 0)
        {
          rates[count++] = rate;
          above += rate > limit;
        }
    }
  if (above < count - count / 2 || count == 0)
    return 0;
  qsort (rates, count, sizeof rates[0], compare_rates);
  return rates[count / 2];
}

enum sd_progress_verdict
sd_health_judge_progress (const struct sd_sched *sched,
                          const struct jb_task *task)
{
  double own_rate = percent_per_s (sched, task);
  double median_rate;

  if (own_rate <= 0)
    return SD_PROGRESS_NORMAL;
  task->step->fastest_rate = MAX (task->step->fastest_rate, own_rate);
  /* Most progress is judged here, without a look at the other tasks.  */
  if (own_rate * SLOW_FACTOR >= task->step->fastest_rate)
    return SD_PROGRESS_NORMAL;
  median_rate
      = median_sibling_rate_above (sched, task, own_rate * SLOW_FACTOR);
  if (median_rate <= 0)
    return SD_PROGRESS_NORMAL;
  /* The time for the remaining work here against the time for all of the work
     elsewhere.  */
  if ((100.0 - (double)task->percent) / own_rate
      > 100.0 / median_rate * RESTART_MIN_GAIN)
    return SD_PROGRESS_RESTART;
  return SD_PROGRESS_SLOW;
}

bool
sd_health_is_avoided (const struct sd_worker *worker, int64_t now_ms)
{
  return worker->avoid_until_ms > now_ms;
}

bool
sd_health_is_suspect (const struct sd_worker *worker, bool last_attempt,
                      int64_t now_ms)
{
  if (worker->failure_streak == 0)
    return false;
  return last_attempt
             ? now_ms - worker->last_failed_ms < SD_SUSPECT_LAST_ATTEMPT_MS
             : worker->suspect_until_ms > now_ms;
}

bool
sd_health_suspects_are_few (const struct sd_sched *sched, int64_t now_ms)
{
  guint suspects = 0;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    if (sd_health_is_suspect (g_ptr_array_index (sched->workers, i), true,
                              now_ms))
      suspects++;
  return suspects * SD_SUSPECTS_PER_WORKERS < sched->workers->len;
}
