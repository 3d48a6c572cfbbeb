/* Settles whether runs that were lost with an unreachable worker were lost by
   a crash.  Made for this load: workers crash, are cut off, and leave one
   after the other as they have announced; and of a worker that is out of touch
   only its return shows which of these it was.

   Until then a loss is undecided.  It does not count against the task, but the
   task waits if it would have had too many crashes by counting all of them. */

#include <string.h>

#include "sched/private.h"

void
sd_loss_add (struct sd_worker *worker, struct jb_task *task, int64_t now_ms)
{
  struct jb_loss *loss
      = jb_task_add_loss (task, worker->report.id, task->worker_started_ms);

  loss->lost_ms = now_ms;
  worker->undecided_losses++;
}

void
sd_losses_begin_term (struct sd_sched *sched, struct jb_job *job,
                      int64_t now_ms)
{
  size_t i;
  guint k;

  for (i = 0; job->has_undecided_losses && i < job->task_total; i++)
    for (k = 0; job->tasks[i].undecided_losses != NULL
                && k < job->tasks[i].undecided_losses->len;
         k++)
      {
        struct jb_loss *loss = &g_array_index (job->tasks[i].undecided_losses,
                                               struct jb_loss, k);

        loss->lost_ms = now_ms;
        loss->counted = false;
        sd_find_or_add_worker (sched, loss->worker)->undecided_losses++;
      }
}

void
sd_losses_end_job (struct sd_sched *sched, struct jb_job *job)
{
  size_t i;
  guint k;

  for (i = 0; job->has_undecided_losses && i < job->task_total; i++)
    {
      struct jb_task *task = &job->tasks[i];

      for (k = 0;
           task->undecided_losses != NULL && k < task->undecided_losses->len;
           k++)
        sd_find_or_add_worker (
            sched,
            g_array_index (task->undecided_losses, struct jb_loss, k).worker)
            ->undecided_losses--;
      jb_task_forget_losses (task);
    }
  job->has_undecided_losses = false;
}

void
sd_loss_worker_leaves (struct sd_sched *sched, struct sd_worker *worker)
{
  int64_t started_ms = worker->report.process_started_ms;
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      if (task->worker_leaving
          || (started_ms != 0 && task->worker_started_ms != 0
              && task->worker_started_ms != started_ms))
        continue;
      /* Stored, for the next planner may not see the worker's report.  */
      task->worker_leaving = true;
      sd_mark_changed (sched, task->job);
    }
}

/* --- Settling --- */

/* What has been seen of a worker; see sd_settle_losses ().  */
struct evidence
{
  struct sd_worker *worker;
  enum sd_sighting sighting;
  int64_t started_ms;
  int64_t seen_ms;
};

enum verdict
{
  VERDICT_NONE,
  VERDICT_NO_CRASH,
  VERDICT_CRASH,
  VERDICT_GONE,
};

static enum verdict
judge (const struct jb_loss *loss, const struct evidence *evidence)
{
  bool same_process = evidence->started_ms == 0 || loss->worker_started_ms == 0
                      || evidence->started_ms == loss->worker_started_ms;

  switch (evidence->sighting)
    {
    case SD_SEEN_LEAVING:
      return same_process ? VERDICT_NO_CRASH : VERDICT_NONE;
    case SD_SEEN_REPLACED:
      return VERDICT_CRASH;
    case SD_SEEN_NOTHING:
      return VERDICT_GONE;
    case SD_SEEN_PROCESS:
      if (evidence->seen_ms < loss->lost_ms)
        return VERDICT_NONE;
      return same_process ? VERDICT_NO_CRASH : VERDICT_CRASH;
    }
  return VERDICT_NONE;
}

/* @return : whether anything is decided.  */
static bool
settle_task (struct jb_task *task, const struct evidence *evidence)
{
  bool settled = false;
  guint i;

  for (i = task->undecided_losses == NULL ? 0 : task->undecided_losses->len;
       i-- > 0;)
    {
      struct jb_loss *loss
          = &g_array_index (task->undecided_losses, struct jb_loss, i);
      enum verdict verdict = VERDICT_NONE;

      if (strcmp (loss->worker, evidence->worker->report.id) == 0)
        verdict = judge (loss, evidence);
      if (verdict == VERDICT_NONE)
        continue;
      settled = true;
      if (verdict == VERDICT_GONE)
        {
          loss->counted = true;
          continue;
        }
      task->lost_runs += verdict == VERDICT_CRASH;
      g_array_remove_index (task->undecided_losses, i);
      evidence->worker->undecided_losses--;
    }
  return settled;
}

static void
settle_job (struct sd_sched *sched, struct jb_job *job,
            const struct evidence *evidence, int64_t now_unix_ms,
            GPtrArray *given_up)
{
  bool fails = false;
  size_t i;

  for (i = 0; i < job->task_total; i++)
    {
      struct jb_task *task = &job->tasks[i];

      if (!settle_task (task, evidence))
        continue;
      sd_mark_changed (sched, job);
      if (!task->step->spec->long_lived
          && sd_crash_is_too_much (sd_crash_evidence (task)))
        {
          fails = true;
          g_ptr_array_add (given_up, task);
        }
    }
  if (fails)
    sd_finish_job (sched, job, JB_FAILED, now_unix_ms);
}

void
sd_settle_losses (struct sd_sched *sched, struct sd_worker *worker,
                  enum sd_sighting sighting, int64_t started_ms,
                  int64_t seen_ms, int64_t now_unix_ms, GPtrArray *given_up)
{
  struct evidence evidence = { .worker = worker,
                               .sighting = sighting,
                               .started_ms = started_ms,
                               .seen_ms = seen_ms };
  guint i;

  for (i = sched->active_jobs->len; worker->undecided_losses > 0 && i-- > 0;)
    {
      struct jb_job *job = g_ptr_array_index (sched->active_jobs, i);

      if (job->has_undecided_losses)
        settle_job (sched, job, &evidence, now_unix_ms, given_up);
    }
}
