/* Resource accounting: which tasks are placed on which worker, and the
   resources that they use there.  */

#include <assert.h>
#include <string.h>

#include "sched/private.h"

bool
sd_resources_fit (const struct jb_resources *need,
                  const struct jb_resources *resources)
{
  return need->cpus_milli <= resources->cpus_milli
         && need->memory_mib <= resources->memory_mib
         && need->accelerators <= resources->accelerators;
}

void
sd_resources_add (struct jb_resources *resources,
                  const struct jb_resources *more)
{
  resources->cpus_milli += more->cpus_milli;
  resources->memory_mib += more->memory_mib;
  resources->accelerators += more->accelerators;
}

void
sd_resources_subtract (struct jb_resources *resources,
                       const struct jb_resources *less)
{
  resources->cpus_milli -= less->cpus_milli;
  resources->memory_mib -= less->memory_mib;
  resources->accelerators -= less->accelerators;
}

static uint32_t
copies_of (int64_t need, int64_t have, uint32_t limit)
{
  if (need <= 0)
    return limit;
  if (have < need)
    return 0;
  return (uint32_t)MIN (have / need, (int64_t)limit);
}

uint32_t
sd_resources_copies (const struct jb_resources *need,
                     const struct jb_resources *resources, uint32_t limit)
{
  limit = copies_of (need->cpus_milli, resources->cpus_milli, limit);
  limit = copies_of (need->memory_mib, resources->memory_mib, limit);
  return copies_of (need->accelerators, resources->accelerators, limit);
}

int64_t
sd_oldest_report_ms (const struct sd_sched *sched, const char *service,
                     int64_t now_ms)
{
  return ct_enforces_capacity (sched->catalog, service)
             ? INT64_MIN
             : now_ms - sched->params.report_valid_ms;
}

/* Whether what is used of one resource, with the NEED of a placed task, is
   within the worker's capacity.  */
static bool
is_within (int64_t need, int64_t used, int64_t unassigned, int64_t capacity)
{
  return need <= 0 || used + unassigned <= capacity;
}

bool
sd_start_is_safe (const struct sd_sched *sched, const struct jb_task *task,
                  int64_t now_ms)
{
  const struct sd_worker *worker = sd_worker_find (sched, task->worker);
  const struct jb_resources *need = &task->step->spec->resources;

  if (worker == NULL || sched->catalog == NULL)
    return false;
  return worker->report_is_current
         && worker->reported_ms
                >= sd_oldest_report_ms (sched, worker->report.service, now_ms)
         && is_within (need->cpus_milli, worker->used_resources.cpus_milli,
                       worker->unassigned_resources.cpus_milli,
                       worker->report.resources.cpus_milli)
         && is_within (need->memory_mib, worker->used_resources.memory_mib,
                       worker->unassigned_resources.memory_mib,
                       worker->report.resources.memory_mib)
         && is_within (need->accelerators, worker->used_resources.accelerators,
                       worker->unassigned_resources.accelerators,
                       worker->report.resources.accelerators);
}

void
sd_worker_unassigned_runs (struct sd_worker *worker, const GPtrArray *tasks,
                           bool unknown)
{
  guint i;

  worker->unassigned_resources = (struct jb_resources){ 0 };
  if (unknown)
    {
      worker->unassigned_resources = worker->report.resources;
      return;
    }
  for (i = 0; i < tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (tasks, i);

      sd_resources_add (&worker->unassigned_resources,
                        &task->step->spec->resources);
    }
}

void
sd_service_uses_begin_round (struct sd_sched *sched)
{
  guint i;

  g_array_set_size (sched->service_uses, 0);
  g_array_set_size (sched->service_uses,
                    g_hash_table_size (sched->service_indexes) + 1);
  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);
      struct sd_service_use *use = &g_array_index (
          sched->service_uses, struct sd_service_use, worker->service_index);

      if (!worker->listed || worker->reachability == SD_WORKER_UNREACHABLE)
        continue;
      sd_resources_add (&use->used, &worker->used_resources);
      sd_resources_add (&use->capacity, &worker->report.resources);
    }
}

const struct sd_service_use *
sd_service_use (const struct sd_sched *sched, uint32_t service_index)
{
  static const struct sd_service_use nothing = { .used = { 0 } };

  return service_index < sched->service_uses->len
             ? &g_array_index (sched->service_uses, struct sd_service_use,
                               service_index)
             : &nothing; /* no worker has had it yet */
}

void
sd_mark_changed (struct sd_sched *sched, struct jb_job *job)
{
  if (job->progress_changed)
    return;
  job->progress_changed = true;
  g_ptr_array_add (sched->changed_jobs, job);
}

void
sd_place_task (struct sd_sched *sched, struct jb_task *task,
               struct sd_worker *worker, uint32_t run, int64_t now_ms)
{
  assert (task->state == JB_TASK_WAITING);
  jb_task_reset (task);
  task->state = JB_TASK_PLACED;
  task->run = run;
  task->worker = g_strdup (worker->report.id);
  task->worker_started_ms = worker->process_started_ms;
  task->start_unsent = true;
  task->placed_ms = now_ms;
  task->step->waiting_since_ms = 0;
  task->poll_conclusive_from_ms = INT64_MAX;
  g_ptr_array_add (worker->tasks, task);
  sd_resources_add (&worker->used_resources, &task->step->spec->resources);
  sd_mark_changed (sched, task->job);
}

void
sd_release_task (struct sd_sched *sched, struct jb_task *task)
{
  struct sd_worker *worker;

  if (task->worker != NULL)
    {
      worker = sd_worker_find (sched, task->worker);
      if (worker != NULL && g_ptr_array_remove_fast (worker->tasks, task))
        sd_resources_subtract (&worker->used_resources,
                               &task->step->spec->resources);
    }
  g_ptr_array_remove (sched->pending_stops, task);
  itf_forget (sched->interference, GPOINTER_TO_SIZE (task));
  jb_task_reset (task);
  sd_mark_changed (sched, task->job);
}

void
sd_stop_task (struct sd_sched *sched, struct jb_task *task, const char *reason)
{
  if (task->state != JB_TASK_PLACED)
    return;
  task->state = JB_TASK_STOPPING;
  task->stop_reason = reason;
  g_ptr_array_add (sched->pending_stops, task);
  sd_mark_changed (sched, task->job);
}

void
sd_stop_step (struct sd_sched *sched, struct jb_step *step, const char *reason)
{
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    sd_stop_task (sched, &step->tasks[i], reason);
}
