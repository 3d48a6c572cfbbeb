/* What the speeds of workers are learned from: the progress of running tasks,
   and the ends of tasks that are not of a gang.  Made for this load: tasks of
   two seconds, of which a worker is polled once or twice.  The members of a
   gang show their own rates until they have done their work; then they wait
   for the others, so that the end of a gang only shows its slowest member.  */

#include "sched/private.h"

enum
{
  RATE_MIN_MS = 600,     /* a rate over a shorter time, */
  RATE_MIN_PERCENTS = 3, /* or less progress, is too rough, */
  RATE_MAX_MS = 3000     /* until this time is over */
};

/* Speeds of workers without a fault, as the restarts of slow tasks take
   them.  */
#define NORMAL_SPEED_MIN 0.7
#define NORMAL_SPEED_MAX (1 / NORMAL_SPEED_MIN)

static uint64_t
key_of_step (const struct jb_step *step)
{
  return g_ascii_strtoull (step->job->id, NULL, 16)
         + (step->occurrence * JB_STEPS_MAX + step->index);
}

static bool
is_work (const struct jb_task *task)
{
  return !task->step->spec->long_lived && !task->step->spec->best_effort;
}

/* Learns from what TASK has done since rate_from_ms.
   @at_least: it may have done it in less time.  */
static void
observe (struct sd_sched *sched, struct jb_task *task,
         const struct sd_worker *worker, int64_t percent, bool at_least,
         int64_t now_ms)
{
  const struct sp_observation observation = {
    .worker = worker->index,
    .work = key_of_step (task->step),
    .task = key_of_step (task->step) * JB_TASKS_MAX + task->index,
    .expected_ms = es_expect_ms (sched->estimates, task->job->queue,
                                 task->step->spec->estimate_ms),
    .percents = percent - task->rate_from_percent,
    .over_ms = now_ms - task->rate_from_ms,
    .at_least = at_least,
    .earlier = task->rates_seen++,
  };

  sp_observe (sched->speeds, &observation);
}

static bool
is_rough (const struct jb_task *task, int64_t percent, int64_t now_ms)
{
  int64_t over_ms = now_ms - task->rate_from_ms;

  return over_ms < RATE_MIN_MS
         || (percent - task->rate_from_percent < RATE_MIN_PERCENTS
             && over_ms < RATE_MAX_MS);
}

void
sd_speed_progressed (struct sd_sched *sched, struct jb_task *task,
                     const struct sd_worker *worker, int64_t percent,
                     int64_t now_ms)
{
  const struct jb_task *representative
      = task->step->spec->gang ? task->step->tasks : task;
  bool resumed = representative->checkpoint != NULL;

  if (worker == NULL || task->state != JB_TASK_PLACED || !is_work (task))
    return;
  /* What an earlier planner has started has run for longer.  */
  if (task->rate_from_ms == 0 && percent > 0 && !resumed
      && now_ms - task->started_ms >= RATE_MIN_MS)
    task->rate_from_ms = task->started_ms;
  if (task->rate_from_ms > 0 && percent > task->rate_from_percent)
    {
      if (is_rough (task, percent, now_ms))
        return;
      observe (sched, task, worker, percent, percent >= 100, now_ms);
    }
  else if (percent > 0 && task->rate_from_ms > 0)
    return; /* no progress yet */
  task->rate_from_ms = percent > 0 || !resumed ? now_ms : 0;
  task->rate_from_percent = percent;
}

/* The speed at which TASK has run: a gang runs at that of its slowest
   member.  */
static double
speed_of_run (const struct sd_sched *sched, const struct jb_task *task,
              const struct sd_worker *worker)
{
  const struct jb_step *step = task->step;
  double slowest = worker == NULL ? 1.0 : sd_worker_speed (sched, worker);
  uint32_t i;

  if (!step->spec->gang || !sp_summary (sched->speeds).uneven)
    return slowest;
  for (i = 0; i < step->spec->count; i++)
    {
      const struct sd_worker *other
          = step->tasks[i].worker == NULL
                ? NULL
                : sd_worker_find (sched, step->tasks[i].worker);

      if (other != NULL)
        slowest = MIN (slowest, sd_worker_speed (sched, other));
    }
  return slowest;
}

int64_t
sd_speed_done (struct sd_sched *sched, struct jb_task *task,
               const struct sd_worker *worker, int64_t now_ms)
{
  int64_t took_ms = now_ms - task->started_ms;

  if (worker != NULL && is_work (task) && !task->step->spec->gang
      && task->started_ms > 0)
    {
      if (task->rate_from_ms == 0 && task->checkpoint == NULL)
        task->rate_from_ms = task->started_ms;
      if (task->rate_from_ms > 0 && !is_rough (task, 100, now_ms))
        observe (sched, task, worker, 100, false, now_ms);
    }
  return (int64_t)((double)took_ms * speed_of_run (sched, task, worker));
}

/* --- For decisions --- */

void
sd_speed_begin_round (struct sd_sched *sched, int64_t now_ms)
{
  guint i;

  if (!sp_learn (sched->speeds, now_ms))
    return;
  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      worker->speed_level = sp_level (sched->speeds, worker->index);
    }
}

struct sp_summary
sd_speeds (const struct sd_sched *sched)
{
  return sp_summary (sched->speeds);
}

double
sd_worker_speed (const struct sd_sched *sched, const struct sd_worker *worker)
{
  return sp_speed (sched->speeds, worker->index);
}

double
sd_speed_if_normal (const struct sd_sched *sched,
                    const struct sd_worker *worker)
{
  if (worker == NULL)
    return 1.0;
  return CLAMP (sd_worker_speed (sched, worker), NORMAL_SPEED_MIN,
                NORMAL_SPEED_MAX);
}
