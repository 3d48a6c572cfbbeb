/* The order in which waiting work is placed.  Made for this load: more work
   waits than fits, of several priorities and teams.  Within a priority,
   guaranteed work is placed first, then work with the earliest due time.  */

#include <string.h>

#include "sched/private.h"

/* The expected run time of the longest chain of dependent steps.  */
static int64_t
critical_path_ms (const struct sd_sched *sched, const struct jb_job *job)
{
  const struct jb_spec *spec = job->spec;
  int64_t finish_ms[JB_STEPS_MAX];
  int64_t critical_ms = 0;
  size_t i;
  size_t k;

  for (i = 0; i < spec->step_count; i++)
    {
      int64_t earlier = 0;

      for (k = 0; k < spec->steps[i].depends_on_count; k++)
        earlier = MAX (earlier, finish_ms[spec->steps[i].depends_on[k]]);
      finish_ms[i] = earlier
                     + es_expect_ms (sched->estimates, job->queue,
                                     spec->steps[i].estimate_ms);
      critical_ms = MAX (critical_ms, finish_ms[i]);
    }
  return critical_ms;
}

/* The expected run time of the longest chain of dependent steps that begins
   with STEP.  */
static int64_t
remaining_path_ms (const struct sd_sched *sched, const struct jb_step *step)
{
  const struct jb_spec *spec = step->job->spec;
  size_t first = (size_t)(step->spec - spec->steps);
  int64_t finish_ms[JB_STEPS_MAX] = { 0 };
  int64_t longest_ms = 0;
  size_t i;
  size_t k;

  for (i = first; i < spec->step_count; i++)
    {
      int64_t earlier_ms = 0;

      for (k = 0; k < spec->steps[i].depends_on_count; k++)
        earlier_ms = MAX (earlier_ms, finish_ms[spec->steps[i].depends_on[k]]);
      if (i != first && earlier_ms == 0)
        continue; /* it does not depend on STEP */
      finish_ms[i] = earlier_ms
                     + es_expect_ms (sched->estimates, step->job->queue,
                                     spec->steps[i].estimate_ms);
      longest_ms = MAX (longest_ms, finish_ms[i]);
    }
  return longest_ms;
}

/* The accelerators of the step that needs most.  */
static int64_t
peak_step_accelerators (const struct jb_job *job)
{
  int64_t peak = 0;
  size_t i;

  for (i = 0; i < job->spec->step_count; i++)
    peak = MAX (peak, job->spec->steps[i].count
                          * job->spec->steps[i].resources.accelerators);
  return peak;
}

static bool
step_ready (const struct jb_step *step, int64_t now_unix_ms)
{
  const struct jb_step *first = step - step->index;
  size_t i;

  if (jb_step_due_unix_ms (step) > now_unix_ms)
    return false;
  for (i = 0; i < step->spec->depends_on_count; i++)
    {
      const struct jb_step *earlier = &first[step->spec->depends_on[i]];

      if (earlier->done_count < earlier->spec->count)
        return false;
    }
  return true;
}

/* The tasks of the step that may be placed now; of a gang all or none.  */
static uint32_t
count_waiting (const struct jb_step *step)
{
  uint32_t waiting = 0;
  uint32_t i;

  if (step->done_count == step->spec->count)
    return 0;
  for (i = 0; i < step->spec->count; i++)
    {
      if (step->tasks[i].state == JB_TASK_WAITING
          && !sd_crash_must_wait (&step->tasks[i]))
        waiting++;
      else if (step->spec->gang)
        return 0; /* a member is placed or stopping, or must wait */
    }
  return waiting;
}

/* Whether one more failure of a waiting task would fail the job.  */
static bool
is_last_attempt (const struct jb_step *step, const struct ct_queue *queue)
{
  uint32_t i;

  if (queue->attempt_limit <= 1 || step->spec->long_lived
      || step->tasks[0].job->failed_runs == 0)
    return false;
  for (i = 0; i < step->spec->count; i++)
    if (step->tasks[i].state == JB_TASK_WAITING
        && step->tasks[i].failures + 1 >= queue->attempt_limit)
      return true;
  return false;
}

/* A gang starts on many workers at once, which seldom all have no run that is
   starting.  */
static bool
must_start_alone (const struct jb_step *step)
{
  uint32_t i;

  if (step->spec->gang)
    return false;
  for (i = 0; i < step->spec->count; i++)
    if (step->tasks[i].state == JB_TASK_WAITING
        && sd_crash_is_suspect (&step->tasks[i]))
      return true;
  return false;
}

static bool
prefers_idle (const struct jb_step *step)
{
  uint32_t i;

  if (!step->spec->long_lived)
    return false;
  for (i = 0; i < step->spec->count; i++)
    if (step->tasks[i].state == JB_TASK_WAITING
        && sd_crash_prefers_idle (&step->tasks[i]))
      return true;
  return false;
}

static int
compare_units (const void *a, const void *b)
{
  const struct sd_unit *left = a;
  const struct sd_unit *right = b;

  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  if (left->guaranteed != right->guaranteed)
    return left->guaranteed ? -1 : 1;
  if (left->due_ms != right->due_ms)
    return left->due_ms < right->due_ms ? -1 : 1;
  return strcmp (left->step->job->id, right->step->job->id);
}

/* Whether this job and the earlier jobs of its team at priority 0 together
   need no more accelerators than the team's guarantee.  Called in order of
   arrival; counts the job if so.
   REQUESTED_BY_TEAM: name of a team -> int64_t, accelerators counted so
   far.  */
static bool
within_guarantee (const struct sd_sched *sched, GHashTable *requested_by_team,
                  const struct jb_job *job)
{
  const struct ct_team *team = ct_find_team (sched->catalog, job->spec->team);
  int64_t *requested;

  if (team == NULL || team->guaranteed_accelerators <= 0)
    return false;
  requested = g_hash_table_lookup (requested_by_team, team->name);
  if (requested == NULL)
    {
      requested = g_new0 (int64_t, 1);
      g_hash_table_insert (requested_by_team, team->name, requested);
    }
  if (*requested + peak_step_accelerators (job)
      > team->guaranteed_accelerators)
    return false;
  *requested += peak_step_accelerators (job);
  return true;
}

int64_t
sd_unit_path_ms (const struct sd_sched *sched, const struct sd_unit *unit)
{
  return remaining_path_ms (sched, unit->step);
}

bool
sd_unit_is_late (const struct sd_sched *sched, const struct sd_unit *unit,
                 int64_t now_ms)
{
  return !unit->step->spec->long_lived
         && now_ms + remaining_path_ms (sched, unit->step) > unit->due_ms;
}

static void
collect_job (struct sd_sched *sched, GArray *units, struct jb_job *job,
             const struct ct_queue *queue, bool guaranteed, int64_t now_ms,
             int64_t now_unix_ms)
{
  int64_t objective_ms
      = (int64_t)(queue->slack_factor * (double)critical_path_ms (sched, job))
        + queue->target_ms;
  int64_t oldest_report_ms
      = sd_oldest_report_ms (sched, queue->service, now_ms);
  size_t i;

  for (i = 0; i < job->step_total; i++)
    {
      struct jb_step *step = &job->steps[i];
      struct sd_unit unit = { .step = step,
                              .queue = queue,
                              .service = queue->service,
                              .service_index = sd_index_of (
                                  sched->service_indexes, queue->service),
                              .priority = queue->priority,
                              .guaranteed = guaranteed,
                              .oldest_report_ms = oldest_report_ms,
                              .due_ms = job->added_ms + objective_ms };

      unit.waiting_count = count_waiting (step);
      if (!step_ready (step, now_unix_ms))
        {
          step->waiting_since_ms = 0;
          step->beside_room_since_ms = 0;
          continue;
        }
      if (unit.waiting_count == 0)
        {
          step->waiting_since_ms = 0;
          continue;
        }
      if (unit.waiting_count < step->spec->count)
        step->waiting_since_ms = 0;
      else if (step->waiting_since_ms == 0)
        step->waiting_since_ms = now_ms;
      unit.last_attempt = is_last_attempt (step, queue);
      unit.avoids_suspects = sched->suspects_are_few;
      unit.starts_alone = must_start_alone (step);
      unit.prefers_idle = prefers_idle (step);
      unit.uses_reserved
          = unit.priority == 0
            || sd_is_utilization_low (sched, unit.service_index);
      if (queue->uses_advisor)
        unit.advice = sd_advice_get (sched, step);
      g_array_append_val (units, unit);
    }
}

/* The configuration of the job's queue is stored when it has changed, for it
   may be gone when the next planner begins its term.  */
static void
note_queue (struct sd_sched *sched, struct jb_job *job,
            const struct ct_queue *queue)
{
  if (jq_note (job, queue))
    sd_mark_changed (sched, job);
}

GArray *
sd_collect_units (struct sd_sched *sched, int64_t now_ms, int64_t now_unix_ms)
{
  GArray *units = g_array_new (FALSE, FALSE, sizeof (struct sd_unit));
  GHashTable *requested_by_team
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  guint i;

  for (i = 0; i < sched->active_jobs->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (sched->active_jobs, i);
      const struct ct_queue *queue = jq_of_job (sched->catalog, job);
      bool guaranteed;

      job->priority = queue == NULL ? UINT32_MAX : queue->priority;
      if (queue == NULL)
        continue; /* nothing is known of it any more: the job waits */
      note_queue (sched, job, queue);
      guaranteed = queue->priority == 0
                   && within_guarantee (sched, requested_by_team, job);
      collect_job (sched, units, job, queue, guaranteed, now_ms, now_unix_ms);
    }
  g_hash_table_destroy (requested_by_team);
  g_array_sort (units, compare_units);
  return units;
}
