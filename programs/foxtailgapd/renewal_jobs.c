/* Keeps track of the jobs whose leases are renewed on each worker.  */

#include "renewal.h"

void
renewal_worker_free (void *worker)
{
  struct renewal_worker *item = worker;

  if (item->call != NULL)
    ls_cancel (item->call);
  g_hash_table_destroy (item->jobs);
  g_hash_table_destroy (item->pending_losses);
  g_array_free (item->events, TRUE);
  g_free (item->name);
  g_free (item);
}

/* Spreads the workers' renewals over the period by a hash of the name.  */
static int64_t
first_renewal_ms (const struct renewal_task *task, const char *name)
{
  uint32_t period_ms = task->daemon->settings->lease_renew_ms;

  return renewal_now_ms () + (g_str_hash (name) % period_ms);
}

struct renewal_worker *
renewal_get_worker (struct renewal_task *task, const char *name)
{
  struct renewal_worker *worker = g_hash_table_lookup (task->workers, name);

  if (worker != NULL)
    return worker;
  worker = g_new0 (struct renewal_worker, 1);
  worker->task = task;
  worker->name = g_strdup (name);
  worker->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->pending_losses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->events = g_array_new (FALSE, FALSE, sizeof (struct renewal_event));
  worker->next_ms = first_renewal_ms (task, name);
  g_hash_table_insert (task->workers, worker->name, worker);
  return worker;
}

bool
renewal_is_wanted (const struct renewal_worker *worker)
{
  return g_hash_table_size (worker->jobs) > 0 || worker->events->len > 0
         || worker->recorded_seq != worker->acked_seq_delivered;
}

/* No host renews an attempt that must stop, so that its leases lapse even on
   workers that the planner cannot reach.  */
static bool
needs_renewal (const struct st_job *job)
{
  size_t i;

  if (job->cancelling
      || (job->state != ST_JOB_PLACED && job->state != ST_JOB_RUNNING))
    return false;
  for (i = 0; i < job->task_count; i++)
    if (job->tasks[i].ended && !job->tasks[i].ok)
      return false;
  return true;
}

static void
forget_job (struct renewal_task *task, const char *id)
{
  const struct st_job *job = g_hash_table_lookup (task->jobs, id);
  struct renewal_worker *worker;
  size_t i;

  if (job == NULL)
    return;
  for (i = 0; i < job->task_count; i++)
    {
      worker = g_hash_table_lookup (task->workers,
                                    job->tasks[i].assignment.worker);
      if (worker != NULL)
        g_hash_table_remove (worker->jobs, id);
    }
  g_hash_table_remove (task->jobs, id);
}

void
renewal_on_job (struct renewal_task *task, struct st_job *job)
{
  struct renewal_worker *worker;
  size_t i;

  forget_job (task, job->id);
  if (!needs_renewal (job))
    return;
  g_hash_table_insert (task->jobs, g_strdup (job->id), st_job_ref (job));
  for (i = 0; i < job->task_count; i++)
    {
      if (job->tasks[i].ended)
        continue;
      worker = renewal_get_worker (task, job->tasks[i].assignment.worker);
      g_hash_table_add (worker->jobs, g_strdup (job->id));
    }
}

void
renewal_on_job_dropped (struct renewal_task *task, const char *id)
{
  forget_job (task, id);
}
