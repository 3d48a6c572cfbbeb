/* Reference model for the random runs: the workers, teams and jobs that a
   caller of the placement core knows, and the rules of placement, implemented
   independently of the core.  A command that breaks a rule sets the error of
   the model.  Prefix: pm_.  */

#ifndef FT_PLACE_MODEL_H
#define FT_PLACE_MODEL_H

#include <glib.h>
#include <stdarg.h>
#include <string.h>

#include "place/place.h"

enum
{
  PM_CENTRES = 2,
  PM_RACKS_PER_CENTRE = 3,
  PM_WORKERS_PER_RACK = 3,
  PM_ALL_WORKERS = PM_CENTRES * PM_RACKS_PER_CENTRE * PM_WORKERS_PER_RACK,
  PM_TEAMS = 4,
  PM_GUARANTEES_PER_TEAM = 3,
  PM_TEXT_SIZE_BYTES = 512
};

struct pm_worker
{
  char name[16];
  char rack[16];
  char centre[16];
  int rack_number;
  int centre_number;
  struct place_resources capacity;
  bool up;
  bool quarantined;
  bool fails_tasks;           /* every task on it */
  uint64_t busy_accelerators; /* bit i: accelerator i */
  uint64_t used_cpus_milli;
  uint64_t used_memory_mb;
};

struct pm_team
{
  char name[16];
  struct place_team spec;
  struct place_guarantee guarantees[PM_GUARANTEES_PER_TEAM];
};

enum pm_state
{
  PM_QUEUED,
  PM_RUNNING,
  PM_EVICTING
};

struct pm_job
{
  char id[16];
  struct place_job spec;
  int team;
  enum pm_state state;
  bool started;
  bool cancelled;
  bool fails_everywhere;
  int64_t started_ms;
  int workers[PLACE_TASK_LIMIT]; /* index of the worker of each task */
  uint64_t accelerator_masks[PLACE_TASK_LIMIT]; /* of each task */
};

struct pm_model
{
  struct pm_worker workers[PM_ALL_WORKERS];
  struct pm_team teams[PM_TEAMS];
  GPtrArray *jobs; /* of struct pm_job, in order of submission */
  GHashTable *jobs_by_id;
  char error[PM_TEXT_SIZE_BYTES]; /* the first broken rule; empty: none */
};

static inline void pm_fail (struct pm_model *m, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static inline void
pm_fail (struct pm_model *m, const char *format, ...)
{
  va_list args;

  if (m->error[0] != '\0')
    return;
  va_start (args, format);
  g_vsnprintf (m->error, sizeof m->error, format, args);
  va_end (args);
}

/* ===== Feasibility of a job =================================== */

static inline uint64_t
pm_fit_count_of (uint64_t have, uint64_t each)
{
  return each == 0 ? PLACE_TASK_LIMIT : have / each;
}

static inline uint64_t
pm_fit_count (const struct place_resources *have,
              const struct place_resources *each)
{
  uint64_t n = pm_fit_count_of (have->accelerators, each->accelerators);

  n = MIN (n, pm_fit_count_of (have->cpus_milli, each->cpus_milli));
  return MIN (n, pm_fit_count_of (have->memory_mb, each->memory_mb));
}

/* Number of the group that WORKER belongs to under SPAN: its own number, that
   of its rack or that of its data centre; 0 under PLACE_SPAN_ANY.  All tasks
   of a job with that span must be in one group.  */
static inline int
pm_span_group (const struct pm_model *m, int worker, enum place_span span)
{
  if (span == PLACE_SPAN_WORKER)
    return worker;
  if (span == PLACE_SPAN_RACK)
    return m->workers[worker].rack_number;
  if (span == PLACE_SPAN_DATA_CENTRE)
    return m->workers[worker].centre_number;
  return 0;
}

/* Whether the job fits on all workers, up or down, if nothing else runs.  */
static inline bool
pm_fits_empty_cluster (const struct pm_model *m, const struct place_job *job)
{
  uint64_t fit_count[PM_ALL_WORKERS] = { 0 };
  int i;

  for (i = 0; i < PM_ALL_WORKERS; i++)
    {
      const struct pm_worker *worker = &m->workers[i];
      int group = pm_span_group (m, i, job->shape.span);

      if (job->data_centre != NULL
          && strcmp (job->data_centre, worker->centre) != 0)
        continue;
      fit_count[group] += pm_fit_count (&worker->capacity, &job->shape.task);
      if (fit_count[group] >= job->shape.tasks)
        return true;
    }
  return false;
}

static inline bool
pm_fits_quota (const struct pm_team *team, const struct place_job *job)
{
  const struct place_resources *quota = &team->spec.quota;
  uint64_t tasks = job->shape.tasks;

  return (quota->accelerators == 0
          || tasks * job->shape.task.accelerators <= quota->accelerators)
         && (quota->cpus_milli == 0
             || tasks * job->shape.task.cpus_milli <= quota->cpus_milli)
         && (quota->memory_mb == 0
             || tasks * job->shape.task.memory_mb <= quota->memory_mb);
}

/* Whether the job fits into the guarantees of its team.  A job of one task
   needs no span, and a guarantee of one task satisfies the narrowest span,
   that of a worker.  A greater enum place_span is narrower.  */
static inline bool
pm_fits_guarantees (const struct pm_model *m, const struct pm_team *team,
                    const struct place_job *job)
{
  bool any_span = job->shape.span == PLACE_SPAN_ANY || job->shape.tasks == 1;
  struct place_job guarantee_job = { .data_centre = job->data_centre };
  uint64_t total_fit_count = 0;
  size_t i;

  for (i = 0; i < team->spec.guarantee_count; i++)
    {
      const struct place_guarantee *guarantee = &team->guarantees[i];
      uint64_t fit_count
          = pm_fit_count (&guarantee->shape.task, &job->shape.task)
            * guarantee->shape.tasks;

      if (!any_span && guarantee->shape.tasks > 1
          && guarantee->shape.span < job->shape.span)
        continue;
      guarantee_job.shape = guarantee->shape;
      if (guarantee->shape.tasks == 1)
        guarantee_job.shape.span = PLACE_SPAN_WORKER;
      if (job->data_centre != NULL
          && !pm_fits_empty_cluster (m, &guarantee_job))
        continue;
      if (guarantee->count > 0 && fit_count >= job->shape.tasks)
        return true;
      total_fit_count += fit_count * guarantee->count;
    }
  return any_span && job->data_centre == NULL
         && total_fit_count >= job->shape.tasks;
}

static inline bool
pm_may_borrow (const struct pm_team *team, const struct place_job *job)
{
  return team->spec.may_borrow && job->checkpointable && job->repeatable;
}

/* Whether the job can ever run under a policy without guarantees.  */
static inline bool
pm_can_run_without_guarantees (const struct pm_model *m, int team,
                               const struct place_job *job)
{
  return job->shape.tasks <= PLACE_TASK_LIMIT && pm_fits_empty_cluster (m, job)
         && pm_fits_quota (&m->teams[team], job);
}

static inline bool
pm_can_ever_run (const struct pm_model *m, int team,
                 const struct place_job *job)
{
  return pm_can_run_without_guarantees (m, team, job)
         && (pm_may_borrow (&m->teams[team], job)
             || pm_fits_guarantees (m, &m->teams[team], job));
}

/* ===== Running jobs =========================================== */

static inline int
pm_worker_index (const struct pm_model *m, const char *name)
{
  int i;

  for (i = 0; i < PM_ALL_WORKERS; i++)
    if (strcmp (m->workers[i].name, name) == 0)
      return i;
  return -1;
}

static inline void
pm_occupy (struct pm_model *m, struct pm_job *job, uint32_t task)
{
  struct pm_worker *worker = &m->workers[job->workers[task]];
  const struct place_resources *each = &job->spec.shape.task;

  if ((worker->busy_accelerators & job->accelerator_masks[task]) != 0)
    pm_fail (m, "%s: an accelerator of %s is used twice", job->id,
             worker->name);
  worker->busy_accelerators |= job->accelerator_masks[task];
  worker->used_cpus_milli += each->cpus_milli;
  worker->used_memory_mb += each->memory_mb;
  if (worker->used_cpus_milli > worker->capacity.cpus_milli
      || worker->used_memory_mb > worker->capacity.memory_mb)
    pm_fail (m, "%s: %s has too few cpus or too little memory", job->id,
             worker->name);
  if (job->accelerator_masks[task] >> worker->capacity.accelerators != 0)
    pm_fail (m, "%s: %s has no such accelerator", job->id, worker->name);
  if ((uint32_t)__builtin_popcountll (job->accelerator_masks[task])
      != each->accelerators)
    pm_fail (m, "%s: a task has a wrong number of accelerators", job->id);
}

static inline void
pm_vacate (struct pm_model *m, const struct pm_job *job)
{
  uint32_t i;

  for (i = 0; i < job->spec.shape.tasks; i++)
    {
      struct pm_worker *worker = &m->workers[job->workers[i]];

      worker->busy_accelerators &= ~job->accelerator_masks[i];
      worker->used_cpus_milli -= job->spec.shape.task.cpus_milli;
      worker->used_memory_mb -= job->spec.shape.task.memory_mb;
    }
}

static inline void
pm_check_quota (struct pm_model *m, int team)
{
  const struct place_resources *quota = &m->teams[team].spec.quota;
  uint64_t accelerators = 0;
  guint i;

  for (i = 0; i < m->jobs->len; i++)
    {
      const struct pm_job *job = m->jobs->pdata[i];

      if (job->team == team && job->state != PM_QUEUED)
        accelerators += (uint64_t)job->spec.shape.tasks
                        * job->spec.shape.task.accelerators;
    }
  if (quota->accelerators > 0 && accelerators > quota->accelerators)
    pm_fail (m, "team %s is above its quota", m->teams[team].name);
}

static inline void
pm_apply_start (struct pm_model *m, const struct place_command *command,
                int64_t now_ms)
{
  struct pm_job *job = g_hash_table_lookup (m->jobs_by_id, command->job);
  bool seen[PLACE_TASK_LIMIT] = { false };
  size_t i;

  if (job == NULL || job->state != PM_QUEUED)
    {
      pm_fail (m, "%s was started but is not queued", command->job);
      return;
    }
  if (job->started && !job->spec.repeatable)
    pm_fail (m, "%s is not repeatable and was started twice", job->id);
  if (command->assignment_count != job->spec.shape.tasks)
    {
      pm_fail (m, "%s was started with a wrong number of tasks", job->id);
      return;
    }
  for (i = 0; i < command->assignment_count; i++)
    {
      const struct place_assignment *one = &command->assignments[i];
      int worker = pm_worker_index (m, one->worker);

      if (one->task >= job->spec.shape.tasks || seen[one->task])
        {
          pm_fail (m, "%s: a task number is repeated or out of range",
                   job->id);
          return;
        }
      seen[one->task] = true;
      job->workers[one->task] = worker;
      job->accelerator_masks[one->task] = one->accelerators;
      if (!m->workers[worker].up || m->workers[worker].quarantined)
        pm_fail (m, "%s was started on %s, which is down or quarantined",
                 job->id, one->worker);
      if (pm_span_group (m, worker, job->spec.shape.span)
          != pm_span_group (m, job->workers[command->assignments[0].task],
                            job->spec.shape.span))
        pm_fail (m, "%s: its tasks are not within its span", job->id);
      if (job->spec.data_centre != NULL
          && strcmp (job->spec.data_centre, m->workers[worker].centre) != 0)
        pm_fail (m, "%s is in another data centre", job->id);
      pm_occupy (m, job, one->task);
    }
  job->state = PM_RUNNING;
  job->started = true;
  job->started_ms = now_ms;
  pm_check_quota (m, job->team);
}

static inline void
pm_apply_evict (struct pm_model *m, const struct place_command *command)
{
  struct pm_job *job = g_hash_table_lookup (m->jobs_by_id, command->job);

  if (job == NULL || job->state != PM_RUNNING)
    pm_fail (m, "%s was evicted but is not running", command->job);
  else if (!job->spec.checkpointable || !job->spec.repeatable)
    pm_fail (m, "%s was evicted but may not be evicted", command->job);
  else
    job->state = PM_EVICTING;
}

static inline void
pm_remove_job (struct pm_model *m, struct pm_job *job)
{
  g_hash_table_remove (m->jobs_by_id, job->id);
  g_ptr_array_remove (m->jobs, job);
}

static inline void
pm_apply_refuse (struct pm_model *m, const struct place_command *command)
{
  struct pm_job *job = g_hash_table_lookup (m->jobs_by_id, command->job);

  if (job == NULL || job->state != PM_QUEUED)
    pm_fail (m, "%s was refused but is not queued", command->job);
  else if (pm_can_ever_run (m, job->team, &job->spec))
    pm_fail (m, "%s was refused but could run: %s", command->job,
             command->reason);
  else
    pm_remove_job (m, job);
}

/* Checks the commands of one round and applies them to the model.  */
static inline void
pm_apply_commands (struct pm_model *m, const struct place_command *commands,
                   int count, int64_t now_ms)
{
  struct pm_job *job;
  int i;

  for (i = 0; i < count && m->error[0] == '\0'; i++)
    switch (commands[i].kind)
      {
      case PLACE_START:
        pm_apply_start (m, &commands[i], now_ms);
        break;
      case PLACE_EVICT:
        pm_apply_evict (m, &commands[i]);
        break;
      case PLACE_REFUSE:
        pm_apply_refuse (m, &commands[i]);
        break;
      case PLACE_GIVE_UP:
        job = g_hash_table_lookup (m->jobs_by_id, commands[i].job);
        if (job != NULL)
          pm_remove_job (m, job);
        break;
      case PLACE_QUARANTINE:
      case PLACE_LIFT_QUARANTINE:
        m->workers[pm_worker_index (m, commands[i].worker)].quarantined
            = commands[i].kind == PLACE_QUARANTINE;
        break;
      case PLACE_GUARANTEE_UNMET:
      case PLACE_GUARANTEE_MET:
        break;
      }
}

#endif
