/* Runs on workers that have announced that they leave.  Made for this load:
   one worker in fifteen is emptied at a few seconds' notice, and most of them
   run a member of a gang.  A gang that is not done by then loses the work of
   all its members, on workers that stay, too; the sooner it is stopped, the
   less that is, and the sooner it is done elsewhere.  */

#include "sched/private.h"

enum
{
  /* A step that checkpoints is stopped this long before its worker leaves,
     besides the time of a stop: a stop makes a checkpoint, its end has to be
     read from the worker, and rounds are held a few times a second.  */
  LAST_CHECKPOINT_MS = 500,
  /* The time that a run still needs lies between these percentages of the
     expected one: by its own progress, and without any.  */
  MEASURED_LEAST_PERCENT = 90,
  MEASURED_MOST_PERCENT = 110,
  GUESSED_LEAST_PERCENT = 50,
  GUESSED_MOST_PERCENT = 200
};

/* The chance that the run is done before its worker leaves.  */
static double
chance_of_end (const struct sd_leaving_run *run)
{
  double least
      = (double)run->expected_ms / 100.0
        * (run->measured ? MEASURED_LEAST_PERCENT : GUESSED_LEAST_PERCENT);
  double most
      = (double)run->expected_ms / 100.0
        * (run->measured ? MEASURED_MOST_PERCENT : GUESSED_MOST_PERCENT);

  if (most <= least)
    return 1.0;
  return CLAMP (((double)run->stays_ms - least) / (most - least), 0.0, 1.0);
}

bool
sd_leave_should_stop (const struct sd_leaving_run *run)
{
  double chance = chance_of_end (run);

  if (run->checkpoints)
    return chance < 1.0 && run->stays_ms <= run->stop_ms + LAST_CHECKPOINT_MS;
  /* A stop loses what has been done; otherwise that and what is done until the
     worker leaves is lost, unless the run is done by then.  */
  return (1.0 - chance) * (double)(run->ran_ms + run->stays_ms)
         > (double)run->ran_ms;
}

static void
consider_task (struct sd_sched *sched, struct jb_task *task, int64_t stays_ms,
               int64_t now_ms)
{
  const struct jb_step_spec *spec = task->step->spec;
  struct sd_leaving_run run = {
    .checkpoints = spec->can_checkpoint,
    .ran_ms = task->started_ms > 0 ? now_ms - task->started_ms : 0,
    .stays_ms = stays_ms,
    .stop_ms = sched->params.stop_max_ms,
  };

  if (task->state != JB_TASK_PLACED || spec->long_lived)
    return;
  run.expected_ms = sd_remaining_ms (sched, task, now_ms, 0, &run.measured);
  if (!sd_leave_should_stop (&run))
    return;
  sd_stop_task (sched, task, "its worker leaves");
  if (spec->gang)
    sd_stop_step (sched, task->step, "a member's worker leaves");
}

void
sd_leave_consider (struct sd_sched *sched, const struct sd_worker *worker,
                   int64_t now_ms)
{
  guint i;

  if (!worker->report.draining || worker->report.min_remaining_ms <= 0
      || worker->reported_ms <= 0)
    return;
  for (i = 0; i < worker->tasks->len; i++)
    consider_task (
        sched, g_ptr_array_index (worker->tasks, i),
        MAX (worker->reported_ms + worker->report.min_remaining_ms - now_ms,
             0),
        now_ms);
}
