/* One planning round: emits the commands that events have caused, binds
   guarantees to workers again, then tries queued jobs in the order of the
   policy.  */

#include <string.h>

#include "place/place_internal.h"

const char *
place_copy_text (struct place *place, const char *text)
{
  return g_string_chunk_insert (place->texts, text);
}

struct place_command *
place_add_command (struct place *place, enum place_command_kind kind)
{
  struct place_command command = { .kind = kind };

  g_array_append_val (place->commands, command);
  return &g_array_index (place->commands, struct place_command,
                         place->commands->len - 1);
}

/* ===== Whether a team may start more ========================== */

bool
place_job_paused (const struct place *place, const struct place_job_state *job)
{
  return place->paused || job->team->paused;
}

static bool
exceeds_quota (const struct place_resource_vector *used,
               const struct place_resource_vector *quota)
{
  return (quota->cpus_milli > 0 && used->cpus_milli > quota->cpus_milli)
         || (quota->memory_mb > 0 && used->memory_mb > quota->memory_mb)
         || (quota->accelerators > 0
             && used->accelerators > quota->accelerators);
}

bool
place_exceeds_quota (const struct place_job_state *job)
{
  struct place_resource_vector used
      = place_resources_multiply (&job->per_task, job->shape.tasks);

  place_resources_add (&used, &job->team->used);
  return exceeds_quota (&used, &job->team->quota);
}

/* ===== Starts ================================================= */

static struct place_assignment *
make_assignments (struct place *place, const struct place_job_state *job)
{
  struct place_assignment *assignments
      = g_new0 (struct place_assignment, job->location_count);
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    {
      assignments[i].task = i;
      assignments[i].worker
          = place_copy_text (place, job->locations[i].worker->name);
      assignments[i].accelerators = job->locations[i].accelerators;
    }
  g_ptr_array_add (place->assignment_arrays, assignments);
  return assignments;
}

static void
emit_start (struct place *place, const struct place_job_state *job)
{
  const struct place_assignment *assignments = make_assignments (place, job);
  struct place_command *command = place_add_command (place, PLACE_START);

  command->job = place_copy_text (place, job->id);
  command->team = place_copy_text (place, job->team->name);
  command->assignments = assignments;
  command->assignment_count = job->location_count;
}

static bool
uses_worker_reserved_for_other (const struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    if (job->locations[i].worker->reserved_for != NULL
        && job->locations[i].worker->reserved_for != job)
      return true;
  return false;
}

static void
begin_attempt (struct place *place, struct place_job_state *job)
{
  job->started_ms = place_now (place);
  job->start_progress_ms = job->progress_ms;
  job->ran_ms = 0;
  job->expected_run_ms = place_expected_run_ms (job);
  job->backfill = uses_worker_reserved_for_other (job);
  emit_start (place, job);
}

void
place_start_job (struct place *place, struct place_job_state *job)
{
  place_queue_remove (job);
  place_reservation_drop (place, job);
  place_units_stop_keeping (job);
  place_occupy (place, job);
  begin_attempt (place, job);
}

/* ===== Claims ================================================= */

/* Whether all resources that JOB claims are free now.  */
static bool
claim_ready (const struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    {
      struct place_worker_state *worker = job->locations[i].worker;
      struct place_resource_vector free = worker->capacity;
      uint32_t tasks = 0;
      uint32_t j;

      for (j = 0; j < job->location_count; j++)
        tasks += job->locations[j].worker == worker;
      place_resources_subtract (&free, &worker->used);
      if (place_resources_fit_count (&free, &job->per_task, tasks) < tasks)
        return false;
    }
  return true;
}

/* Whether the claim must end: a worker is not usable any more, the team is
   not configured any more or above its quota, or JOB may not borrow any
   more.  */
static bool
claim_invalid (const struct place_job_state *job)
{
  uint32_t i;

  if (job->team->not_configured
      || exceeds_quota (&job->team->used, &job->team->quota)
      || (job->borrows && !place_may_borrow (job)))
    return true;

  for (i = 0; i < job->location_count; i++)
    if (!place_worker_usable (job->locations[i].worker))
      return true;
  return false;
}

/* Whether running evictions, and for a job within its guarantee new ones, will
   free all resources that JOB claims.  */
static bool
claim_still_reachable (struct place *place, const struct place_job_state *job)
{
  struct place_resource_vector none = { 0 };
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    {
      struct place_worker_state *worker = job->locations[i].worker;
      struct place_resource_vector free;

      if (!job->borrows)
        place_evict_from_worker (place, worker, job);
      free = place_available_resources (worker, PLACE_FREE_NOW);
      place_resources_add (&free, &worker->evicting);
      if (!place_resources_cover (&free, &none))
        return false;
    }
  return true;
}

static void
claim_cancel (struct place *place, struct place_job_state *job)
{
  place_cancel_claim (place, job);
  place_queue_insert (job);
  place->queues_need_check = true;
  job->wait_reason = "waits again: what was held for it was lost";
}

static void
advance_claims (struct place *place)
{
  guint i;

  for (i = 0; i < place->claims->len; i++)
    {
      struct place_job_state *job = place->claims->pdata[i];

      if (claim_invalid (job))
        {
          claim_cancel (place, job);
          place->units_need_binding = true;
          i--;
        }
      else if (claim_ready (job) && !place_job_paused (place, job))
        {
          place_start_claimed (place, job);
          begin_attempt (place, job);
          i--;
        }
      else if (!claim_still_reachable (place, job))
        {
          claim_cancel (place, job);
          i--;
        }
    }
}

/* ===== Queued jobs ============================================ */

/* Starts a job on free resources; under a policy with guarantees it then
   counts as borrowing.  */
static bool
start_on_free_workers (struct place *place, struct place_job_state *job)
{
  struct place_location locations[PLACE_TASK_LIMIT];
  struct place_search search = {
    .tasks = job->shape.tasks,
    .per_task = job->per_task,
    .span = job->shape.span,
    .data_centre = job->data_centre,
    .job = job,
    .free_rule = PLACE_FREE_NOW,
    .end_ms = place_now (place) + (int64_t)place_expected_run_ms (job),
  };

  if (!place_fit_cached (place, &search, locations))
    return false;
  job->borrows = place->params.policy->has_guarantees;
  place_locations_set (job, locations);
  place_start_job (place, job);
  return true;
}

/* Returns whether the job has left the queue.  */
static bool
try_job (struct place *place, struct place_job_state *job)
{
  const struct place_policy *policy = place->params.policy;

  if (place_now (place) >= job->avoid_until_ms)
    job->avoided_worker_count = 0;
  if (place_job_paused (place, job))
    {
      job->wait_reason = "waits because starts are paused";
      return false;
    }
  if (place_exceeds_quota (job))
    {
      job->wait_reason = "waits because its team is at its quota";
      return false;
    }
  if (policy->has_guarantees && place_try_guaranteed (place, job))
    return true;
  if (policy->has_guarantees && !place_may_borrow (job))
    {
      job->wait_reason
          = "waits for a guarantee of its team; it may not borrow";
      place_units_keep_for (place, job);
      return false;
    }
  if (start_on_free_workers (place, job))
    return true;
  job->wait_reason = "waits for room";
  if (policy->has_reservations)
    place_reservation_make (place, job);
  return false;
}

static void
try_queued_jobs (struct place *place)
{
  struct place_job_state *job;
  bool left_queue;

  place_picks_begin (place);
  while ((job = place_pick_job (place)) != NULL)
    {
      left_queue = try_job (place, job);
      place_pick_done (place, job, left_queue);
      if (!left_queue && place->params.policy->strict_order)
        return;
    }
}

/* ===== Jobs that have become infeasible ======================= */

static int
now_infeasible (struct place *place, const struct place_job_state *job,
                char text[PLACE_TEXT_SIZE_BYTES])
{
  if (place->capacity_lost)
    return place_check_feasible (place, job, text);
  return place_check_feasible_in_team (place, job, text);
}

static void
refuse_infeasible_jobs (struct place *place, GPtrArray *queue)
{
  char text[PLACE_TEXT_SIZE_BYTES];
  guint i;

  for (i = queue->len; i-- > 0;)
    {
      struct place_job_state *job = queue->pdata[i];

      if (job->team->not_configured)
        g_snprintf (text, sizeof text, "there is no team %s any more",
                    job->team->name);
      else if (now_infeasible (place, job, text) == PLACE_OK)
        continue;
      place_add_notice (place, PLACE_REFUSE, job, text);
      place_queue_remove (job);
      place_job_remove (place, job);
    }
}

static void
recheck_queues (struct place *place)
{
  guint i;

  if (!place->queues_need_check)
    return;
  place->queues_need_check = false;
  for (i = 0; i < place->team_list->len; i++)
    {
      struct place_team_state *team = place->team_list->pdata[i];

      refuse_infeasible_jobs (place, team->queue);
      refuse_infeasible_jobs (place, team->urgent_queue);
    }
  place->capacity_lost = false;
}

static void
emit_notices (struct place *place)
{
  guint i;

  for (i = 0; i < place->notices->len; i++)
    {
      const struct place_notice *notice = place->notices->pdata[i];
      struct place_command *command = place_add_command (place, notice->kind);

      command->job = place_copy_text (place, notice->job);
      command->team = place_copy_text (place, notice->team);
      command->reason = place_copy_text (place, notice->reason);
    }
  g_ptr_array_set_size (place->notices, 0);
}

static void
sum_up_capacity (struct place *place)
{
  guint i;

  place->total_capacity = (struct place_resource_vector){ 0 };
  for (i = 0; i < place->worker_list->len; i++)
    {
      const struct place_worker_state *worker = place->worker_list->pdata[i];

      if (worker->up)
        place_resources_add (&place->total_capacity, &worker->capacity);
    }
}

static void
begin_round (struct place *place)
{
  sum_up_capacity (place);
  g_array_set_size (place->commands, 0);
  g_array_set_size (place->failed_worker_searches, 0);
  g_ptr_array_set_size (place->assignment_arrays, 0);
  g_string_chunk_clear (place->texts);
}

int
place_decide (struct place *place, const struct place_command **commands)
{
  begin_round (place);
  place->event_pending = false;
  place->reservation_examined = false;
  place_remove_expired_workers (place);
  recheck_queues (place);
  place_health_round (place);
  place_bind_guarantees (place);
  place_reservations_update (place);
  advance_claims (place);
  recheck_queues (place);
  place_bind_guarantees (place);
  try_queued_jobs (place);
  emit_notices (place);
  place_remove_unused_teams (place);
  *commands = (const struct place_command *)place->commands->data;
  return (int)place->commands->len;
}

int64_t
place_next_ms (const struct place *place)
{
  int64_t next = place_health_next_ms (place);

  if (place->event_pending || place->units_need_binding
      || place->queues_need_check || place->notices->len > 0)
    return place_now (place);
  if (place->avoid_until_ms > place_now (place))
    next = MIN (next, place->avoid_until_ms);
  return MIN (next, place_reservations_next_ms (place));
}
