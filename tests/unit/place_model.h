/* What a caller of the placement core knows: workers, teams, jobs, and the
   rules, told in its own words.  Used by the random run.  Prefix: pm_.  */

#ifndef FT_PLACE_MODEL_H
#define FT_PLACE_MODEL_H

#include <glib.h>
#include <stdarg.h>
#include <string.h>

#include "place/place.h"

enum
{
  PM_CENTRES = 2,
  PM_RACKS = 3,   /* in each data centre */
  PM_WORKERS = 3, /* in each rack */
  PM_ALL_WORKERS = PM_CENTRES * PM_RACKS * PM_WORKERS,
  PM_TEAMS = 4,
  PM_GUARANTEES = 3,
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
  bool bad; /* fails every task */
  uint64_t busy;
  uint64_t cpus_milli;
  uint64_t memory_mb;
};

struct pm_team
{
  char name[16];
  struct place_team given;
  struct place_guarantee guarantees[PM_GUARANTEES];
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
  struct place_job given;
  int team;
  enum pm_state state;
  bool started;
  bool cancelled;
  bool bad; /* fails wherever it runs */
  int64_t started_ms;
  int workers[PLACE_TASK_LIMIT];
  uint64_t bits[PLACE_TASK_LIMIT];
};

struct pm
{
  struct pm_worker workers[PM_ALL_WORKERS];
  struct pm_team teams[PM_TEAMS];
  GPtrArray *jobs; /* of struct pm_job, in order of submission */
  GHashTable *by_id;
  char error[PM_TEXT_SIZE_BYTES]; /* empty: all is well */
};

static inline void pm_fail (struct pm *m, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static inline void
pm_fail (struct pm *m, const char *format, ...)
{
  va_list args;

  if (m->error[0] != '\0')
    return;
  va_start (args, format);
  g_vsnprintf (m->error, sizeof m->error, format, args);
  va_end (args);
}

/* ===== What can ever run ====================================== */

static inline uint64_t
pm_times (uint64_t have, uint64_t each)
{
  return each == 0 ? PLACE_TASK_LIMIT : have / each;
}

static inline uint64_t
pm_tasks_in (const struct place_resources *have,
             const struct place_resources *each)
{
  uint64_t n = pm_times (have->accelerators, each->accelerators);

  n = MIN (n, pm_times (have->cpus_milli, each->cpus_milli));
  return MIN (n, pm_times (have->memory_mb, each->memory_mb));
}

/* The group that a worker counts for under a span.  */
static inline int
pm_group (const struct pm *m, int worker, enum place_span span)
{
  if (span == PLACE_SPAN_WORKER)
    return worker;
  if (span == PLACE_SPAN_RACK)
    return m->workers[worker].rack_number;
  if (span == PLACE_SPAN_DATA_CENTRE)
    return m->workers[worker].centre_number;
  return 0;
}

static inline bool
pm_fits_empty (const struct pm *m, const struct place_job *job)
{
  uint64_t room[PM_ALL_WORKERS] = { 0 };
  int i;

  for (i = 0; i < PM_ALL_WORKERS; i++)
    {
      const struct pm_worker *worker = &m->workers[i];
      int group = pm_group (m, i, job->shape.span);

      if (job->data_centre != NULL
          && strcmp (job->data_centre, worker->centre) != 0)
        continue;
      room[group] += pm_tasks_in (&worker->capacity, &job->shape.task);
      if (room[group] >= job->shape.tasks)
        return true;
    }
  return false;
}

static inline bool
pm_fits_quota (const struct pm_team *team, const struct place_job *job)
{
  const struct place_resources *quota = &team->given.quota;
  uint64_t tasks = job->shape.tasks;

  return (quota->accelerators == 0
          || tasks * job->shape.task.accelerators <= quota->accelerators)
         && (quota->cpus_milli == 0
             || tasks * job->shape.task.cpus_milli <= quota->cpus_milli)
         && (quota->memory_mb == 0
             || tasks * job->shape.task.memory_mb <= quota->memory_mb);
}

/* One task has no span to ask for, and gives the narrowest.  */
static inline bool
pm_fits_guarantees (const struct pm *m, const struct pm_team *team,
                    const struct place_job *job)
{
  bool any = job->shape.span == PLACE_SPAN_ANY || job->shape.tasks == 1;
  struct place_job place = { .data_centre = job->data_centre };
  uint64_t together = 0;
  size_t i;

  for (i = 0; i < team->given.guarantee_count; i++)
    {
      const struct place_guarantee *guarantee = &team->guarantees[i];
      uint64_t room = pm_tasks_in (&guarantee->shape.task, &job->shape.task)
                      * guarantee->shape.tasks;

      if (!any && guarantee->shape.tasks > 1
          && guarantee->shape.span < job->shape.span)
        continue;
      place.shape = guarantee->shape;
      if (guarantee->shape.tasks == 1)
        place.shape.span = PLACE_SPAN_WORKER;
      if (job->data_centre != NULL && !pm_fits_empty (m, &place))
        continue;
      if (guarantee->count > 0 && room >= job->shape.tasks)
        return true;
      together += room * guarantee->count;
    }
  return any && job->data_centre == NULL && together >= job->shape.tasks;
}

static inline bool
pm_may_borrow (const struct pm_team *team, const struct place_job *job)
{
  return team->given.may_borrow && job->checkpointable && job->repeatable;
}

/* Under a policy that keeps no guarantees.  */
static inline bool
pm_can_run_unguarded (const struct pm *m, int team,
                      const struct place_job *job)
{
  return job->shape.tasks <= PLACE_TASK_LIMIT && pm_fits_empty (m, job)
         && pm_fits_quota (&m->teams[team], job);
}

static inline bool
pm_can_ever_run (const struct pm *m, int team, const struct place_job *job)
{
  return pm_can_run_unguarded (m, team, job)
         && (pm_may_borrow (&m->teams[team], job)
             || pm_fits_guarantees (m, &m->teams[team], job));
}

/* ===== What runs ============================================== */

static inline int
pm_worker_number (const struct pm *m, const char *name)
{
  int i;

  for (i = 0; i < PM_ALL_WORKERS; i++)
    if (strcmp (m->workers[i].name, name) == 0)
      return i;
  return -1;
}

static inline void
pm_take (struct pm *m, struct pm_job *job, uint32_t task)
{
  struct pm_worker *worker = &m->workers[job->workers[task]];
  const struct place_resources *each = &job->given.shape.task;

  if ((worker->busy & job->bits[task]) != 0)
    pm_fail (m, "%s: an accelerator of %s is used twice", job->id,
             worker->name);
  worker->busy |= job->bits[task];
  worker->cpus_milli += each->cpus_milli;
  worker->memory_mb += each->memory_mb;
  if (worker->cpus_milli > worker->capacity.cpus_milli
      || worker->memory_mb > worker->capacity.memory_mb)
    pm_fail (m, "%s: %s has not that many cpus or memory", job->id,
             worker->name);
  if (job->bits[task] >> worker->capacity.accelerators != 0)
    pm_fail (m, "%s: %s has no such accelerator", job->id, worker->name);
  if ((uint32_t)__builtin_popcountll (job->bits[task]) != each->accelerators)
    pm_fail (m, "%s: a wrong number of accelerators", job->id);
}

static inline void
pm_give (struct pm *m, const struct pm_job *job)
{
  uint32_t i;

  for (i = 0; i < job->given.shape.tasks; i++)
    {
      struct pm_worker *worker = &m->workers[job->workers[i]];

      worker->busy &= ~job->bits[i];
      worker->cpus_milli -= job->given.shape.task.cpus_milli;
      worker->memory_mb -= job->given.shape.task.memory_mb;
    }
}

static inline void
pm_check_quota (struct pm *m, int team)
{
  const struct place_resources *quota = &m->teams[team].given.quota;
  uint64_t accelerators = 0;
  guint i;

  for (i = 0; i < m->jobs->len; i++)
    {
      const struct pm_job *job = m->jobs->pdata[i];

      if (job->team == team && job->state != PM_QUEUED)
        accelerators += (uint64_t)job->given.shape.tasks
                        * job->given.shape.task.accelerators;
    }
  if (quota->accelerators > 0 && accelerators > quota->accelerators)
    pm_fail (m, "team %s is above its quota", m->teams[team].name);
}

static inline void
pm_start (struct pm *m, const struct place_command *command, int64_t now_ms)
{
  struct pm_job *job = g_hash_table_lookup (m->by_id, command->job);
  bool seen[PLACE_TASK_LIMIT] = { false };
  size_t i;

  if (job == NULL || job->state != PM_QUEUED)
    {
      pm_fail (m, "%s was started but does not wait", command->job);
      return;
    }
  if (job->started && !job->given.repeatable)
    pm_fail (m, "%s is not repeatable and was started twice", job->id);
  if (command->assignment_count != job->given.shape.tasks)
    {
      pm_fail (m, "%s: a part of the gang was started alone", job->id);
      return;
    }
  for (i = 0; i < command->assignment_count; i++)
    {
      const struct place_assignment *one = &command->assignments[i];
      int worker = pm_worker_number (m, one->worker);

      if (one->task >= job->given.shape.tasks || seen[one->task])
        {
          pm_fail (m, "%s: a task stands twice", job->id);
          return;
        }
      seen[one->task] = true;
      job->workers[one->task] = worker;
      job->bits[one->task] = one->accelerators;
      if (!m->workers[worker].up || m->workers[worker].quarantined)
        pm_fail (m, "%s was started on %s, which is not in use", job->id,
                 one->worker);
      if (pm_group (m, worker, job->given.shape.span)
          != pm_group (m, job->workers[command->assignments[0].task],
                       job->given.shape.span))
        pm_fail (m, "%s: its tasks are too far apart", job->id);
      if (job->given.data_centre != NULL
          && strcmp (job->given.data_centre, m->workers[worker].centre) != 0)
        pm_fail (m, "%s is in another data centre", job->id);
      pm_take (m, job, one->task);
    }
  job->state = PM_RUNNING;
  job->started = true;
  job->started_ms = now_ms;
  pm_check_quota (m, job->team);
}

static inline void
pm_evict (struct pm *m, const struct place_command *command)
{
  struct pm_job *job = g_hash_table_lookup (m->by_id, command->job);

  if (job == NULL || job->state != PM_RUNNING)
    pm_fail (m, "%s was evicted but does not run", command->job);
  else if (!job->given.checkpointable || !job->given.repeatable)
    pm_fail (m, "%s was evicted but cannot be stopped", command->job);
  else
    job->state = PM_EVICTING;
}

static inline void
pm_forget (struct pm *m, struct pm_job *job)
{
  g_hash_table_remove (m->by_id, job->id);
  g_ptr_array_remove (m->jobs, job);
}

static inline void
pm_refuse (struct pm *m, const struct place_command *command)
{
  struct pm_job *job = g_hash_table_lookup (m->by_id, command->job);

  if (job == NULL || job->state != PM_QUEUED)
    pm_fail (m, "%s was refused but does not wait", command->job);
  else if (pm_can_ever_run (m, job->team, &job->given))
    pm_fail (m, "%s was refused but fits: %s", command->job, command->reason);
  else
    pm_forget (m, job);
}

/* Takes in the commands of one round.  */
static inline void
pm_follow (struct pm *m, const struct place_command *commands, int count,
           int64_t now_ms)
{
  struct pm_job *job;
  int i;

  for (i = 0; i < count && m->error[0] == '\0'; i++)
    switch (commands[i].kind)
      {
      case PLACE_START:
        pm_start (m, &commands[i], now_ms);
        break;
      case PLACE_EVICT:
        pm_evict (m, &commands[i]);
        break;
      case PLACE_REFUSE:
        pm_refuse (m, &commands[i]);
        break;
      case PLACE_GIVE_UP:
        job = g_hash_table_lookup (m->by_id, commands[i].job);
        if (job != NULL)
          pm_forget (m, job);
        break;
      case PLACE_QUARANTINE:
      case PLACE_RELEASE:
        m->workers[pm_worker_number (m, commands[i].worker)].quarantined
            = commands[i].kind == PLACE_QUARANTINE;
        break;
      case PLACE_UNMET:
      case PLACE_MET:
        break;
      }
}

#endif
