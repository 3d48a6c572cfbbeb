/* Jobs: the queues in order of arrival, and the accounting of the resources
   that a job takes on its workers, in its slots and of its team.  */

#include <stdlib.h>

#include "place/place_internal.h"

void
place_job_free (void *data)
{
  struct place_job_state *job = data;

  g_assert (job->reservation == NULL);
  g_free (job->locations);
  g_free (job->id);
  g_free (job);
}

bool
place_may_borrow (const struct place_job_state *job)
{
  return job->team->may_borrow && job->checkpointable && job->repeatable;
}

/* ===== Queues ================================================= */

static int
compare_arrival (const struct place_job_state *a,
                 const struct place_job_state *b)
{
  if (a->submitted_ms != b->submitted_ms)
    return a->submitted_ms < b->submitted_ms ? -1 : 1;
  if (a->sequence == b->sequence)
    return 0;
  return a->sequence < b->sequence ? -1 : 1;
}

static GPtrArray *
queue_of (struct place_job_state *job)
{
  return job->urgent ? job->team->urgent_queue : job->team->queue;
}

static guint *
cursor_of (struct place_job_state *job)
{
  return job->urgent ? &job->team->urgent_cursor : &job->team->queue_cursor;
}

/* The first index whose job arrived no earlier than JOB.  */
static guint
queue_lower_bound (GPtrArray *queue, const struct place_job_state *job)
{
  guint low = 0;
  guint high = queue->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if (compare_arrival (queue->pdata[middle], job) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

void
place_queue_insert (struct place_job_state *job)
{
  GPtrArray *queue = queue_of (job);

  guint *cursor = cursor_of (job);
  guint at = queue_lower_bound (queue, job);

  g_ptr_array_insert (queue, (gint)at, job);
  if (at < *cursor)
    (*cursor)++;
  job->phase = PLACE_JOB_QUEUED;
}

void
place_queue_remove (struct place_job_state *job)
{
  GPtrArray *queue = queue_of (job);
  guint *cursor = cursor_of (job);
  guint at = queue_lower_bound (queue, job);

  g_assert (at < queue->len && queue->pdata[at] == job);
  g_ptr_array_remove_index (queue, at);
  if (at < *cursor)
    (*cursor)--;
}

/* ===== Accounting ============================================= */

static void
occupy_slot (struct place_job_state *job, struct place_location *location)
{
  struct place_slot *slot = location->slot;

  if (slot == NULL)
    return;
  g_assert (slot->worker == location->worker);
  place_resources_subtract (&slot->unused, &job->per_task);
  place_resources_subtract (&slot->worker->unused_guaranteed, &job->per_task);
  slot->task_count++;
  slot->unit->task_count++;
}

static void
release_slot (struct place_job_state *job, struct place_location *location)
{
  struct place_slot *slot = location->slot;

  if (slot == NULL)
    return;
  place_resources_add (&slot->unused, &job->per_task);
  place_resources_add (&slot->worker->unused_guaranteed, &job->per_task);
  slot->task_count--;
  slot->unit->task_count--;
  location->slot = NULL;
}

/* Guaranteed resources and slots are accounted for once in a job's life: when
   it claims its workers, or when it starts without a claim.  */
static void
occupy_guaranteed (struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    {
      struct place_location *location = &job->locations[i];

      if (!job->borrows)
        place_resources_add (&location->worker->guaranteed, &job->per_task);
      occupy_slot (job, location);
    }
}

static void
release_guaranteed (struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    {
      struct place_location *location = &job->locations[i];

      if (!job->borrows)
        place_resources_subtract (&location->worker->guaranteed,
                                  &job->per_task);
      release_slot (job, location);
    }
}

void
place_release_slots (struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    release_slot (job, &job->locations[i]);
}

void
place_occupy_slots (struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    occupy_slot (job, &job->locations[i]);
}

void
place_set_borrows (struct place_job_state *job, bool borrows)
{
  uint32_t i;

  if (job->borrows == borrows)
    return;
  for (i = 0; i < job->location_count; i++)
    {
      if (borrows)
        place_resources_subtract (&job->locations[i].worker->guaranteed,
                                  &job->per_task);
      else
        place_resources_add (&job->locations[i].worker->guaranteed,
                             &job->per_task);
    }
  job->borrows = borrows;
}

/* Whether location I is the first one on its worker.  Spots are sorted by
   worker, so that a loop over them can visit each worker once.  */
static bool
first_on_worker (const struct place_job_state *job, uint32_t i)
{
  return i == 0 || job->locations[i].worker != job->locations[i - 1].worker;
}

/* The first location whose worker's number is not below NUMBER.  */
static uint32_t
first_location (const struct place_job_state *job, uint32_t number)
{
  uint32_t low = 0;
  uint32_t high = job->location_count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;

      if (job->locations[middle].worker->number < number)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

struct place_resource_vector
place_job_resources_on (const struct place_job_state *job,
                        const struct place_worker_state *worker)
{
  uint32_t at = first_location (job, worker->number);
  int64_t tasks = 0;

  for (; at < job->location_count && job->locations[at].worker == worker; at++)
    tasks++;
  return place_resources_multiply (&job->per_task, tasks);
}

static void
occupy_worker (struct place_job_state *job, struct place_location *location,
               bool first)
{
  struct place_worker_state *worker = location->worker;
  uint32_t accelerators = (uint32_t)job->per_task.accelerators;

  if (location->accelerators == 0)
    location->accelerators = place_pick_accelerators (worker, accelerators);
  worker->busy_accelerators |= location->accelerators;
  place_resources_add (&worker->used, &job->per_task);
  if (first)
    g_ptr_array_add (worker->jobs, job);
}

static int
compare_locations (const void *a, const void *b)
{
  const struct place_location *left = a;
  const struct place_location *right = b;

  return (left->worker->number > right->worker->number)
         - (left->worker->number < right->worker->number);
}

static struct place_resource_vector
job_total (const struct place_job_state *job)
{
  return place_resources_multiply (&job->per_task, job->shape.tasks);
}

static void
add_to_team_usage (struct place_job_state *job)
{
  struct place_resource_vector amount = job_total (job);

  place_resources_add (&job->team->used, &amount);
}

static void
subtract_from_team_usage (struct place_job_state *job)
{
  struct place_resource_vector amount = job_total (job);

  place_resources_subtract (&job->team->used, &amount);
}

static void
update_rack_summaries (struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    if (first_on_worker (job, i))
      place_update_rack_summary (job->locations[i].worker);
}

static void
occupy_workers (struct place *place, struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    occupy_worker (job, &job->locations[i], first_on_worker (job, i));
  update_rack_summaries (job);
  job->phase = PLACE_JOB_RUNNING;
  place->running_count++;
}

void
place_locations_set (struct place_job_state *job,
                     const struct place_location *locations)
{
  g_free (job->locations);
  job->location_count = job->shape.tasks;
  job->locations
      = g_memdup2 (locations, job->location_count * sizeof *locations);
  qsort (job->locations, job->location_count, sizeof *job->locations,
         compare_locations);
}

void
place_occupy (struct place *place, struct place_job_state *job)
{
  occupy_guaranteed (job);
  add_to_team_usage (job);
  occupy_workers (place, job);
}

void
place_vacate (struct place *place, struct place_job_state *job)
{
  uint32_t i;

  if (job->phase == PLACE_JOB_STOPPING)
    place_end_eviction (job);
  for (i = 0; i < job->location_count; i++)
    {
      struct place_location *location = &job->locations[i];

      if (!place_worker_usable (location->worker) && location->slot != NULL)
        place->units_need_binding = true;
      location->worker->busy_accelerators &= ~location->accelerators;
      place_resources_subtract (&location->worker->used, &job->per_task);
      if (first_on_worker (job, i))
        g_ptr_array_remove_fast (location->worker->jobs, job);
    }
  if ((place->guarantee_unmet || place->unit_move_wanted) && !job->borrows)
    place->units_need_binding = true;
  release_guaranteed (job);
  subtract_from_team_usage (job);
  update_rack_summaries (job);
  place->running_count--;
  job->location_count = 0;
  g_free (job->locations);
  job->locations = NULL;
}

static void
count_claimed (struct place_job_state *job, bool held)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    {
      struct place_worker_state *worker = job->locations[i].worker;

      if (held)
        place_resources_add (&worker->claimed, &job->per_task);
      else
        place_resources_subtract (&worker->claimed, &job->per_task);
      worker->claimed_task_count += held ? 1 : -1;
    }
  update_rack_summaries (job);
}

void
place_claim_workers (struct place *place, struct place_job_state *job)
{
  occupy_guaranteed (job);
  add_to_team_usage (job);
  count_claimed (job, true);
  job->phase = PLACE_JOB_CLAIMING;
  g_ptr_array_add (place->claims, job);
}

void
place_start_claimed (struct place *place, struct place_job_state *job)
{
  g_ptr_array_remove (place->claims, job);
  count_claimed (job, false);
  occupy_workers (place, job);
}

void
place_cancel_claim (struct place *place, struct place_job_state *job)
{
  g_ptr_array_remove (place->claims, job);
  count_claimed (job, false);
  release_guaranteed (job);
  subtract_from_team_usage (job);
  job->location_count = 0;
  g_free (job->locations);
  job->locations = NULL;
}

/* ===== Evictions ============================================== */

void
place_begin_eviction (struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    place_resources_add (&job->locations[i].worker->evicting, &job->per_task);
  job->phase = PLACE_JOB_STOPPING;
}

void
place_end_eviction (struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    place_resources_subtract (&job->locations[i].worker->evicting,
                              &job->per_task);
}

/* ===== The end of a job ======================================= */

void
place_notice_free (void *data)
{
  struct place_notice *notice = data;

  g_free (notice->job);
  g_free (notice->team);
  g_free (notice->reason);
  g_free (notice);
}

void
place_add_notice (struct place *place, enum place_command_kind kind,
                  const struct place_job_state *job, const char *reason)
{
  struct place_notice *notice = g_new0 (struct place_notice, 1);

  notice->kind = kind;
  notice->job = g_strdup (job->id);
  notice->team = g_strdup (job->team->name);
  notice->reason = g_strdup (reason);
  g_ptr_array_add (place->notices, notice);
}

void
place_job_remove (struct place *place, struct place_job_state *job)
{
  place_reservation_drop (place, job);
  place_units_stop_keeping (job);
  job->team->job_count--;
  g_hash_table_remove (place->jobs, job->id);
}
