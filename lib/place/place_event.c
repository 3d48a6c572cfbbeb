/* Events.  They change the state; the next place_decide () acts on the
   changes.  */

#include <string.h>

#include "place/place_internal.h"

enum
{
  /* A job is given up after this many times the attempt limit if its attempts
     are lost or do not start, which does not count as its failure.  */
  ATTEMPTS_PER_FAILURE = 4
};

/* ===== Submission ============================================= */

static bool
shape_valid (const struct place_shape *shape)
{
  return shape->tasks > 0 && shape->span <= PLACE_SPAN_WORKER;
}

static struct place_job_state *
job_new (struct place *place, struct place_team_state *team,
         const struct place_job *given)
{
  struct place_job_state *job = g_new0 (struct place_job_state, 1);

  job->id = g_strdup (given->id);
  job->id_hash = g_str_hash (given->id);
  job->team = team;
  job->kind = place_kind_get (team, given->kind);
  job->shape = given->shape;
  place_shape_normalise (&job->shape, false);
  job->per_task = place_resources_convert (&given->shape.task);
  if (given->data_centre != NULL && *given->data_centre != '\0')
    job->data_centre = place_data_centre_get (place, given->data_centre);
  job->declared_run_ms = given->declared_run_ms;
  job->submitted_ms = given->submitted_ms;
  job->progress_ms = given->progress_ms;
  job->attempt = given->attempt;
  job->urgent = given->urgent;
  job->checkpointable = given->checkpointable;
  job->repeatable = given->repeatable;
  job->sequence = place->next_sequence++;
  return job;
}

static void
job_add (struct place *place, struct place_job_state *job)
{
  g_hash_table_insert (place->jobs, job->id, job);
  job->team->job_count++;
  place->event_pending = true;
}

int
place_submit (struct place *place, const struct place_job *job,
              char text[PLACE_TEXT_SIZE_BYTES])
{
  struct place_team_state *team;
  struct place_job_state *state;
  int error;

  text[0] = '\0';
  if (job->id == NULL || job->team == NULL || !shape_valid (&job->shape))
    return PLACE_ERR_INVALID;
  team = g_hash_table_lookup (place->teams, job->team);
  if (team == NULL || team->not_configured)
    {
      g_snprintf (text, PLACE_TEXT_SIZE_BYTES, "there is no team %s",
                  job->team);
      return PLACE_ERR_UNKNOWN;
    }
  if (g_hash_table_contains (place->jobs, job->id))
    return PLACE_ERR_EXISTS;
  if (place_data_centre_unknown (place, job->data_centre))
    {
      g_snprintf (text, PLACE_TEXT_SIZE_BYTES, "there is no data centre %s",
                  job->data_centre);
      return PLACE_ERR_INFEASIBLE;
    }
  state = job_new (place, team, job);
  error = place_check_feasible (place, state, text);
  if (error != PLACE_OK)
    {
      place_job_free (state);
      return error;
    }
  job_add (place, state);
  place_queue_insert (state);
  return PLACE_OK;
}

/* ===== Restore ================================================ */

/* Fills LOCATIONS from ASSIGNMENTS.  PLACE_ERR_INVALID if a task has another
   number of accelerators than its shape, or one that is in use already.  */
static int
locations_from_assignments (struct place *place, const struct place_job *job,
                            const struct place_assignment *assignments,
                            size_t count, struct place_location *locations)
{
  size_t i;

  if (count != job->shape.tasks || count > PLACE_TASK_LIMIT)
    return PLACE_ERR_INVALID;
  for (i = 0; i < count; i++)
    {
      struct place_worker_state *worker;
      uint64_t bits = assignments[i].accelerators;
      size_t j;

      if (assignments[i].worker == NULL
          || (uint32_t)__builtin_popcountll (bits)
                 != job->shape.task.accelerators)
        return PLACE_ERR_INVALID;
      worker = place_worker_get (place, assignments[i].worker);
      if ((worker->busy_accelerators & bits) != 0)
        return PLACE_ERR_INVALID;
      for (j = 0; j < i; j++)
        if (locations[j].worker == worker
            && (locations[j].accelerators & bits) != 0)
          return PLACE_ERR_INVALID;
      locations[i]
          = (struct place_location){ .worker = worker, .accelerators = bits };
    }
  return PLACE_OK;
}

int
place_restore (struct place *place, const struct place_job *job,
               const struct place_assignment *assignments,
               size_t assignment_count, int64_t started_ms)
{
  struct place_location locations[PLACE_TASK_LIMIT];
  struct place_team_state *team;
  struct place_job_state *state;
  int error;

  if (job->id == NULL || job->team == NULL || !shape_valid (&job->shape))
    return PLACE_ERR_INVALID;
  team = place_team_get (place, job->team);
  if (g_hash_table_contains (place->jobs, job->id))
    return PLACE_ERR_EXISTS;
  error = locations_from_assignments (place, job, assignments,
                                      assignment_count, locations);
  if (error != PLACE_OK)
    return error;
  state = job_new (place, team, job);
  state->start_progress_ms = state->progress_ms;
  state->started_ms = started_ms;
  state->expected_run_ms = place_expected_run_ms (state);
  state->borrows
      = place->params.policy->has_guarantees && place_may_borrow (state);
  state->attach_pending = true;
  place_locations_set (state, locations);
  job_add (place, state);
  place_occupy (place, state);
  place->units_need_binding = true;
  return PLACE_OK;
}

/* ===== Changes of a job ======================================= */

int
place_cancel (struct place *place, const char *job)
{
  struct place_job_state *state = g_hash_table_lookup (place->jobs, job);

  if (state == NULL)
    return PLACE_ERR_UNKNOWN;
  place->event_pending = true;
  switch (state->phase)
    {
    case PLACE_JOB_QUEUED:
      place_queue_remove (state);
      place_job_remove (place, state);
      break;
    case PLACE_JOB_CLAIMING:
      place_cancel_claim (place, state);
      place_job_remove (place, state);
      break;
    case PLACE_JOB_RUNNING: /* the caller stops it */
      place_begin_eviction (state);
      state->cancelled = true;
      break;
    case PLACE_JOB_STOPPING:
      state->cancelled = true;
      break;
    }
  return PLACE_OK;
}

int
place_usage (struct place *place, const char *job, uint64_t ran_ms,
             uint64_t progress_ms)
{
  struct place_job_state *state = g_hash_table_lookup (place->jobs, job);

  if (state == NULL)
    return PLACE_ERR_UNKNOWN;
  if (state->phase != PLACE_JOB_RUNNING && state->phase != PLACE_JOB_STOPPING)
    return PLACE_ERR_INVALID;
  state->ran_ms = MAX (state->ran_ms, ran_ms);
  state->progress_ms = MAX (state->progress_ms, progress_ms);
  return PLACE_OK;
}

/* ===== The end of an attempt ================================== */

/* The reason not to queue a job again although the caller asks for it; NULL
   if there is none.  */
static const char *
give_up_reason (const struct place *place, const struct place_job_state *job)
{
  uint32_t limit = place->params.attempt_limit;

  if (!job->repeatable)
    return "it was started once and is not repeatable";
  if (limit > 0 && job->failures >= limit)
    return "it failed on different workers that are good";
  if (limit > 0 && job->attempt >= limit * ATTEMPTS_PER_FAILURE)
    return "it was tried too many times";
  return NULL;
}

static void
record_failure (struct place *place, struct place_job_state *job,
                const struct place_ended *ended)
{
  struct place_worker_state *worker = NULL;

  job->attempt++;
  if (ended->failed_worker != NULL)
    worker = g_hash_table_lookup (place->workers, ended->failed_worker);
  if (ended->outcome == PLACE_OUTCOME_LOST)
    return;
  if (worker != NULL)
    place_health_failed (place, job, worker,
                         ended->outcome == PLACE_OUTCOME_FAILED);
  else if (ended->outcome == PLACE_OUTCOME_FAILED)
    job->failures++;
}

static void
requeue_or_give_up (struct place *place, struct place_job_state *job)
{
  const char *reason = give_up_reason (place, job);
  char text[PLACE_TEXT_SIZE_BYTES];

  if (reason != NULL)
    {
      if (job->failures > 1)
        place_health_clear_job (place, job);
      place_add_notice (place, PLACE_GIVE_UP, job, reason);
      place_job_remove (place, job);
      return;
    }
  job->ran_ms = 0;
  job->borrows = false;
  job->backfill = false;
  job->wait_reason = "is queued again";
  place_queue_insert (job);
  if (job->team->not_configured
      || place_check_feasible (place, job, text) != PLACE_OK)
    {
      place->queues_need_check = true;
      place->capacity_lost = true;
    }
}

int
place_ended (struct place *place, const struct place_ended *ended)
{
  struct place_job_state *job = g_hash_table_lookup (place->jobs, ended->job);
  bool cancelled;

  if (job == NULL)
    return PLACE_ERR_UNKNOWN;
  if (job->phase != PLACE_JOB_RUNNING && job->phase != PLACE_JOB_STOPPING)
    return PLACE_ERR_INVALID;
  place->event_pending = true;
  cancelled = job->cancelled || ended->outcome == PLACE_OUTCOME_CANCELLED;
  if (ended->outcome == PLACE_OUTCOME_SUCCEEDED)
    {
      place_kind_add_run (job, job->start_progress_ms + ended->ran_ms);
      place_health_succeeded (place, job);
    }
  place_vacate (place, job);
  job->progress_ms = MAX (job->progress_ms, ended->progress_ms);
  if (ended->outcome == PLACE_OUTCOME_FAILED
      || ended->outcome == PLACE_OUTCOME_LOST
      || ended->outcome == PLACE_OUTCOME_NOT_STARTED)
    record_failure (place, job, ended);
  if (ended->outcome == PLACE_OUTCOME_SUCCEEDED || cancelled
      || !ended->requeue)
    place_job_remove (place, job);
  else
    requeue_or_give_up (place, job);
  return PLACE_OK;
}
