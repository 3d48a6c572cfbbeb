/* Distinguishes tasks that crash their workers from tasks that were there when
   a worker crashed.  Made for this load: a task crashes each worker that
   starts it, within milliseconds, while some five tasks of other jobs run or
   start there; and at the same time workers crash or are cut off for other
   reasons.

   A crash counts for all tasks that had just started.  These are suspects from
   then on: a suspect is started where nothing else is just starting, so that
   its next run shows whether it crashes the worker.

   Workers without any run that had just started show, if they are lost at the
   same time, that there is another cause.  Crashes beside such losses are weak
   evidence, so that more of them are needed.

   Only crashes count.  A run that is lost with a worker which had announced
   that it leaves does not, and where a worker may only have been out of touch,
   loss.c decides later.  */

#include "sched/private.h"

enum
{
  /* The platform lets a job fail after two crashes, */
  CRASH_LIMIT = 2,
  /* and forbids the third start after three.  Of crashes and lost runs
     together: each crash adds two, beside other losses one.  */
  EVIDENCE_LIMIT = 4,
  /* The same if it is not shown that the last worker was lost by the task: in
     each of these runs its worker has crashed.  */
  LOSS_LIMIT = 5
};

/* Whether the run had just started when the worker crashed.  */
static bool
is_suspect (const struct sd_worker_loss *loss, const struct jb_task *task)
{
  return task->confirmed && !task->worker_leaving
         && task->started_ms + SD_TASK_START_MS > loss->last_answer_ms;
}

/* The same of a run whose start was sent and perhaps not answered.  */
static bool
may_be_suspect (const struct sd_worker_loss *loss, const struct jb_task *task)
{
  return is_suspect (loss, task)
         || (!task->confirmed && !task->start_unsent && !task->worker_leaving);
}

/* The job of all runs that had just started; NULL: there are none, or of
   several jobs.  */
static const struct jb_job *
find_suspect_job (const struct sd_worker_loss *loss)
{
  const struct jb_job *job = NULL;
  guint i;

  for (i = 0; i < loss->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (loss->tasks, i);

      if (!is_suspect (loss, task) || task->job == job)
        continue;
      if (job != NULL)
        return NULL;
      job = task->job;
    }
  return job;
}

bool
sd_crash_had_starting_run (const struct sd_worker_loss *loss)
{
  guint i;

  for (i = 0; i < loss->tasks->len; i++)
    if (may_be_suspect (loss, g_ptr_array_index (loss->tasks, i)))
      return true;
  return false;
}

/* Whether nothing but TASK explains the loss of the worker; SUSPECT_JOB: of
   find_suspect_job ().  */
static bool
may_have_lost_worker (const struct sd_worker_loss *loss,
                      const struct jb_task *task,
                      const struct jb_job *suspect_job)
{
  if (task->start_unsent || task->worker_leaving)
    return false;
  if (loss->others_lost && !loss->crashed)
    return task->job == suspect_job && is_suspect (loss, task);
  if (loss->others_lost && is_suspect (loss, task))
    return false; /* it counts as a crash */
  return may_be_suspect (loss, task) || !sd_crash_had_starting_run (loss);
}

/* SUSPECT_JOB: of find_suspect_job ().  */
static void
count_loss (const struct sd_worker_loss *loss,
            const struct jb_job *suspect_job, int64_t now_ms)
{
  guint i;

  for (i = 0; i < loss->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (loss->tasks, i);

      if (loss->crashed && is_suspect (loss, task))
        task->crashes++;
      if (!may_have_lost_worker (loss, task, suspect_job))
        continue;
      if (loss->crashed)
        task->lost_runs++;
      else if (!jb_state_is_final (task->job->state)
               && !task->step->spec->long_lived) /* it is never given up */
        sd_loss_add (loss->worker, task, now_ms);
    }
}

uint32_t
sd_crash_evidence (const struct jb_task *task)
{
  uint32_t evidence = task->crashes + task->lost_runs;
  guint i;

  for (i = 0;
       task->undecided_losses != NULL && i < task->undecided_losses->len; i++)
    evidence
        += g_array_index (task->undecided_losses, struct jb_loss, i).counted;
  return evidence;
}

bool
sd_crash_is_too_much (uint32_t evidence)
{
  return evidence >= LOSS_LIMIT;
}

bool
sd_crash_must_wait (const struct jb_task *task)
{
  return task->undecided_losses != NULL && task->undecided_losses->len > 0
         && !task->step->spec->long_lived
         && sd_crash_is_too_much (task->crashes + task->lost_runs
                                  + task->undecided_losses->len);
}

/* Tasks that last are restarted however their runs end.
   SUSPECT_JOB: of find_suspect_job ().  */
static bool
must_be_given_up (const struct sd_worker_loss *loss,
                  const struct jb_task *task, const struct jb_job *suspect_job)
{
  bool crashed_alone
      = loss->crashed && task->job == suspect_job && is_suspect (loss, task);
  uint32_t evidence = sd_crash_evidence (task);

  if (task->step->spec->long_lived)
    return false;
  return sd_crash_is_too_much (evidence)
         || (crashed_alone && task->crashes >= CRASH_LIMIT
             && evidence >= EVIDENCE_LIMIT);
}

void
sd_runs_lost (struct sd_sched *sched, const struct sd_worker_loss *loss,
              int64_t now_ms, int64_t now_unix_ms, GPtrArray *given_up)
{
  const struct jb_job *suspect_job = find_suspect_job (loss);
  guint i;

  count_loss (loss, suspect_job, now_ms);
  for (i = 0; i < loss->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (loss->tasks, i);

      if (must_be_given_up (loss, task, suspect_job)
          && !jb_state_is_final (task->job->state))
        g_ptr_array_add (given_up, task);
      sd_task_lost (sched, task, now_ms);
    }
  for (i = 0; i < given_up->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (given_up, i);

      if (!jb_state_is_final (task->job->state))
        sd_finish_job (sched, task->job, JB_FAILED, now_unix_ms);
    }
}

bool
sd_crash_is_suspect (const struct jb_task *task)
{
  return task->crashes > 0;
}

bool
sd_crash_prefers_idle (const struct jb_task *task)
{
  return task->step->spec->long_lived && task->crashes >= CRASH_LIMIT;
}

bool
sd_crash_has_starting_run (const struct sd_worker *worker, int64_t now_ms)
{
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      if (MAX (task->placed_ms, task->started_ms) + SD_TASK_START_MS > now_ms)
        return true;
    }
  return false;
}

void
sd_crash_suspect_placed (struct sd_worker *worker, int64_t now_ms)
{
  worker->exclusive_until_ms = now_ms + SD_SUSPECT_EXCLUSIVE_MS;
}

void
sd_crash_absolve (struct sd_sched *sched, struct jb_task *task)
{
  if (task->crashes == 0 && task->lost_runs == 0)
    return;
  task->crashes = 0;
  task->lost_runs = 0;
  sd_mark_changed (sched, task->job);
}
