/* Runs that are gone without an outcome: the worker does not list them, has
   restarted, or is unreachable and its lease is over.  */

#include "common/logging.h"
#include "workers_private.h"

static const char PART[] = "workers";

/* Gives up the last recorded run of TASK.
   WHY: a constant word, for the log and the metrics.  */
static void
give_up_run (struct worker_io *io, struct jb_task *task, const char *why,
             int64_t now_ms)
{
  char name[96];

  lg_info (PART, "A run is gone without an end.", "job", task->job->id, "step",
           lg_number (task->step->index), "index", lg_number (task->index),
           "run", lg_number (task->run), "worker", io->worker->report.id,
           "why", why, "confirmed", task->confirmed ? "yes" : "no",
           "placed_for_ms", lg_number (now_ms - task->placed_ms), NULL);
  g_snprintf (name, sizeof name, "foxtailgap_lost_runs_total{why=\"%s\"}",
              why);
  mt_add (io->workers->params.metrics, name, 1);
  sd_task_lost (io->workers->params.sched, task, now_ms);
}

/* Whether the run of a task that the worker does not list is not there and can
   never start there.  A run that is being stopped, or whose gang has lost a
   member, may be in neither list for a while before its outcome is listed, so
   one missing from both counts as gone only after that time; if the worker has
   restarted, at once.  */
static bool
run_is_gone (struct worker_io *io, struct jb_task *task, bool restarted,
             int64_t now_ms)
{
  if (io->renewal_sent_ms <= task->poll_conclusive_from_ms)
    return false;
  if (restarted)
    return true;
  if (task->missing_since_ms == 0)
    task->missing_since_ms = now_ms;
  if (io->renewal_sent_ms > task->missing_since_ms
                                + io->workers->params.stop_max_ms
                                + WK_OUTCOME_LISTING_MS)
    return true;
  if (now_ms > task->missing_since_ms)
    io->poll_at_once = true;
  else
    io->poll_soon = true;
  return false;
}

void
wk_drop_missing_runs (struct worker_io *io, GHashTable *reported_tasks,
                      bool restarted, int64_t now_ms)
{
  GPtrArray *lost = g_ptr_array_new ();
  guint i;

  for (i = 0; i < io->worker->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (io->worker->tasks, i);

      if (g_hash_table_contains (reported_tasks, task))
        task->missing_since_ms = 0;
      else if (run_is_gone (io, task, restarted, now_ms))
        g_ptr_array_add (lost, task);
    }
  for (i = 0; i < lost->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (lost, i);

      if (task->state != JB_TASK_PLACED && task->state != JB_TASK_STOPPING)
        continue; /* it was given up with another member of its gang */
      give_up_run (io, task, restarted ? "restarted" : "missing", now_ms);
    }
  g_ptr_array_free (lost, TRUE);
}

void
wk_drop_runs_of_lapsed_lease (struct worker_io *io, int64_t now_ms)
{
  struct sd_worker *worker = io->worker;

  lg_info (PART, "The lease of a worker is over.", "worker", worker->report.id,
           "tasks", lg_number (worker->tasks->len), NULL);
  while (worker->tasks->len > 0)
    give_up_run (io, g_ptr_array_index (worker->tasks, 0), "lease", now_ms);
  io->workers->params.changed (io->workers->params.ctx);
}
