/* Units: a guarantee of COUNT equal shapes is COUNT units.  A unit has one
   slot for each task of the shape, and each slot is bound to a worker.  Units
   are created and removed when the teams are configured.  */

#include <string.h>

#include "place/place_internal.h"

enum
{
  UNIT_LIMIT = 65536 /* units of one team */
};

/* ===== Units ================================================== */

void
place_unit_free (void *data)
{
  struct place_unit *unit = data;

  g_free (unit->slots);
  g_free (unit);
}

static struct place_unit *
unit_new (struct place_team_state *team, const struct place_shape *shape)
{
  struct place_unit *unit = g_new0 (struct place_unit, 1);
  uint32_t i;

  unit->team = team;
  unit->shape = *shape;
  unit->per_task = place_resources_convert (&shape->task);
  unit->slots = g_new0 (struct place_slot, shape->tasks);
  unit->unbound_slot_count = shape->tasks;
  for (i = 0; i < shape->tasks; i++)
    {
      unit->slots[i].unit = unit;
      unit->slots[i].unused = unit->per_task;
    }
  return unit;
}

void
place_slot_bind (struct place_slot *slot, struct place_worker_state *worker)
{
  g_assert (slot->worker == NULL && slot->task_count == 0);
  slot->worker = worker;
  slot->unit->unbound_slot_count--;
  worker->bound_slot_count++;
  place_resources_add (&worker->unused_guaranteed, &slot->unused);
}

void
place_slot_unbind (struct place_slot *slot)
{
  if (slot->worker == NULL)
    return;
  g_assert (slot->task_count == 0);
  place_resources_subtract (&slot->worker->unused_guaranteed, &slot->unused);
  slot->worker->bound_slot_count--;
  slot->worker = NULL;
  slot->unit->unbound_slot_count++;
}

void
place_unit_bind (struct place_unit *unit,
                 const struct place_location *locations)
{
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    place_slot_bind (&unit->slots[i], locations[i].worker);
}

void
place_unit_unbind (struct place_unit *unit)
{
  uint32_t i;

  g_assert (unit->task_count == 0);
  for (i = 0; i < unit->shape.tasks; i++)
    place_slot_unbind (&unit->slots[i]);
}

struct place_search
place_unit_search (const struct place_unit *unit,
                   enum place_free_rule free_rule)
{
  struct place_search search = { .tasks = unit->shape.tasks,
                                 .per_task = unit->per_task,
                                 .span = unit->shape.span,
                                 .free_rule = free_rule };

  return search;
}

/* Whether a worker is usable and has the capacity for all that is guaranteed
   on it.  */
bool
place_worker_meets_guarantees (const struct place_worker_state *worker)
{
  struct place_resource_vector left
      = place_available_resources (worker, PLACE_FREE_UNGUARANTEED);
  struct place_resource_vector none = { 0 };

  return place_worker_usable (worker) && place_resources_cover (&left, &none);
}

bool
place_unit_meets_guarantee (const struct place_unit *unit)
{
  uint32_t i;

  if (unit->unbound_slot_count > 0)
    return false;
  for (i = 0; i < unit->shape.tasks; i++)
    if (!place_worker_meets_guarantees (unit->slots[i].worker))
      return false;
  return true;
}

void
place_units_stop_keeping (struct place_job_state *job)
{
  guint i;

  if (!job->has_kept_units)
    return;
  job->has_kept_units = false;
  for (i = 0; i < job->team->units->len; i++)
    {
      struct place_unit *unit = job->team->units->pdata[i];

      if (unit->kept_for == job)
        unit->kept_for = NULL;
    }
}

void
place_units_keep_for (struct place *place, struct place_job_state *job)
{
  GPtrArray *units = job->team->units;
  uint32_t kept_tasks = 0;
  guint i;

  if (job->has_kept_units)
    return;
  job->has_kept_units = true;
  for (i = 0; i < units->len && kept_tasks < job->shape.tasks; i++)
    {
      struct place_unit *unit = units->pdata[i];
      uint32_t fit_count
          = place_resources_fit_count (&unit->per_task, &job->per_task,
                                       PLACE_TASK_LIMIT)
            * unit->shape.tasks;

      if (unit->kept_for != NULL || unit->unbound_slot_count > 0
          || fit_count == 0)
        continue;
      if (job->shape.span > unit->shape.span
          || (job->shape.span != PLACE_SPAN_ANY
              && fit_count < job->shape.tasks))
        continue;
      unit->kept_for = job;
      kept_tasks += fit_count;
    }
  if (kept_tasks < job->shape.tasks)
    place_units_stop_keeping (job);
  else if (job->data_centre != NULL)
    {
      /* place_bind_guarantees () then tries to bind the units in this data
       * centre.  */
      place->units_need_binding = true;
      place->unit_move_wanted = true;
    }
}

/* ===== Change of guarantees =================================== */

static bool
job_in_unit (const struct place_job_state *job, const struct place_unit *unit)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    if (job->locations[i].slot != NULL && job->locations[i].slot->unit == unit)
      return true;
  return false;
}

/* Takes all jobs out of a unit that is about to be removed.  Those that wait
   for evictions are queued again; the others go on outside the guarantee.  */
static void
detach_unit_jobs (struct place *place, struct place_unit *unit)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, place->jobs);
  while (unit->task_count > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct place_job_state *job = value;

      if (!job_in_unit (job, unit))
        continue;
      if (job->phase == PLACE_JOB_CLAIMING)
        {
          place_cancel_claim (place, job);
          place_queue_insert (job);
          continue;
        }
      place_release_slots (job);
      place_set_borrows (job, place_may_borrow (job));
      job->attach_pending = true;
    }
  g_assert (unit->task_count == 0);
}

/* How many units of SHAPE the guarantees ask for.  */
static uint32_t
wanted_unit_count (const struct place_guarantee *guarantees, size_t count,
                   const struct place_shape *shape)
{
  uint32_t wanted = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      struct place_shape given = guarantees[i].shape;

      place_shape_normalise (&given, true);
      if (place_shape_equal (&given, shape))
        wanted += MIN (guarantees[i].count, UNIT_LIMIT);
    }
  return wanted;
}

/* How many units of SHAPE the team has.  */
static uint32_t
unit_count (const struct place_team_state *team,
            const struct place_shape *shape)
{
  uint32_t have = 0;
  guint i;

  for (i = 0; i < team->units->len; i++)
    {
      const struct place_unit *unit = team->units->pdata[i];

      if (place_shape_equal (&unit->shape, shape))
        have++;
    }
  return have;
}

static void
remove_unit (struct place *place, struct place_team_state *team, guint at)
{
  struct place_unit *unit = team->units->pdata[at];

  detach_unit_jobs (place, unit);
  if (unit->kept_for != NULL)
    place_units_stop_keeping (unit->kept_for);
  place_unit_unbind (unit);
  g_ptr_array_remove_index (team->units, at);
}

/* Removes units that the guarantees no longer ask for: unused ones first.  */
static void
remove_surplus_units (struct place *place, struct place_team_state *team,
                      const struct place_guarantee *guarantees, size_t count)
{
  bool used;
  guint i;

  for (used = false;; used = true)
    {
      for (i = team->units->len; i-- > 0;)
        {
          struct place_unit *unit = team->units->pdata[i];

          if (unit->task_count > 0 && !used)
            continue;
          if (unit_count (team, &unit->shape)
              > wanted_unit_count (guarantees, count, &unit->shape))
            remove_unit (place, team, i);
        }
      if (used)
        break;
    }
}

void
place_units_replace (struct place *place, struct place_team_state *team,
                     const struct place_guarantee *guarantees, size_t count)
{
  size_t i;

  if (!place->params.policy->has_guarantees)
    return;
  remove_surplus_units (place, team, guarantees, count);
  for (i = 0; i < count; i++)
    {
      struct place_shape shape = guarantees[i].shape;
      uint32_t wanted;
      uint32_t have;

      place_shape_normalise (&shape, true);
      wanted = wanted_unit_count (guarantees, count, &shape);
      for (have = unit_count (team, &shape); have < wanted; have++)
        g_ptr_array_add (team->units, unit_new (team, &shape));
    }
}
