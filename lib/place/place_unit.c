/* Units: a guarantee of COUNT equal shapes is COUNT units.  A unit has one
   slot for each task of the shape, and each slot is bound to a worker.  Units
   are created and removed when the teams are configured.  */

#include <string.h>

#include "place/place_inner.h"

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
  unit->each = place_amount_of (&shape->task);
  unit->slots = g_new0 (struct place_slot, shape->tasks);
  unit->missing = shape->tasks;
  for (i = 0; i < shape->tasks; i++)
    {
      unit->slots[i].unit = unit;
      unit->slots[i].left = unit->each;
    }
  return unit;
}

void
place_slot_bind (struct place_slot *slot, struct place_worker_state *worker)
{
  g_assert (slot->worker == NULL && slot->jobs == 0);
  slot->worker = worker;
  slot->unit->missing--;
  worker->reserved_slots++;
  place_add (&worker->reserved, &slot->left);
}

void
place_slot_unbind (struct place_slot *slot)
{
  if (slot->worker == NULL)
    return;
  g_assert (slot->jobs == 0);
  place_subtract (&slot->worker->reserved, &slot->left);
  slot->worker->reserved_slots--;
  slot->worker = NULL;
  slot->unit->missing++;
}

void
place_unit_bind (struct place_unit *unit, const struct place_spot *spots)
{
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    place_slot_bind (&unit->slots[i], spots[i].worker);
}

void
place_unit_unbind (struct place_unit *unit)
{
  uint32_t i;

  g_assert (unit->jobs == 0);
  for (i = 0; i < unit->shape.tasks; i++)
    place_slot_unbind (&unit->slots[i]);
}

struct place_search
place_unit_search (const struct place_unit *unit, enum place_view view)
{
  struct place_search search = { .tasks = unit->shape.tasks,
                                 .each = unit->each,
                                 .span = unit->shape.span,
                                 .view = view };

  return search;
}

/* Whether a worker is usable and has the capacity for all that is guaranteed
   on it.  */
bool
place_keeps_promises (const struct place_worker_state *worker)
{
  struct place_amount left = place_view_of (worker, PLACE_VIEW_FIRM);
  struct place_amount none = { 0 };

  return place_usable (worker) && place_covers (&left, &none);
}

bool
place_unit_whole (const struct place_unit *unit)
{
  uint32_t i;

  if (unit->missing > 0)
    return false;
  for (i = 0; i < unit->shape.tasks; i++)
    if (!place_keeps_promises (unit->slots[i].worker))
      return false;
  return true;
}

void
place_unit_waiter_drop (struct place_job_state *job)
{
  guint i;

  if (!job->waits_for_unit)
    return;
  job->waits_for_unit = false;
  for (i = 0; i < job->team->units->len; i++)
    {
      struct place_unit *unit = job->team->units->pdata[i];

      if (unit->waiter == job)
        unit->waiter = NULL;
    }
}

void
place_unit_wait (struct place *place, struct place_job_state *job)
{
  GPtrArray *units = job->team->units;
  uint32_t kept_tasks = 0;
  guint i;

  if (job->waits_for_unit)
    return;
  job->waits_for_unit = true;
  for (i = 0; i < units->len && kept_tasks < job->shape.tasks; i++)
    {
      struct place_unit *unit = units->pdata[i];
      uint32_t fit_count
          = place_goes_into (&unit->each, &job->each, PLACE_TASK_LIMIT)
            * unit->shape.tasks;

      if (unit->waiter != NULL || unit->missing > 0 || fit_count == 0)
        continue;
      if (job->shape.span > unit->shape.span
          || (job->shape.span != PLACE_SPAN_ANY
              && fit_count < job->shape.tasks))
        continue;
      unit->waiter = job;
      kept_tasks += fit_count;
    }
  if (kept_tasks < job->shape.tasks)
    place_unit_waiter_drop (job);
  else if (job->centre != NULL)
    {
      /* place_settle () then tries to bind the units in this data centre.  */
      place->dirty = true;
      place->wishes = true;
    }
}

/* ===== Change of guarantees =================================== */

static bool
job_in_unit (const struct place_job_state *job, const struct place_unit *unit)
{
  uint32_t i;

  for (i = 0; i < job->spot_count; i++)
    if (job->spots[i].slot != NULL && job->spots[i].slot->unit == unit)
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
  while (unit->jobs > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct place_job_state *job = value;

      if (!job_in_unit (job, unit))
        continue;
      if (job->phase == PLACE_CLAIMING)
        {
          place_unclaim (place, job);
          place_queue_insert (job);
          continue;
        }
      place_release_slots (job);
      place_set_borrowed (job, place_may_borrow (job));
      job->detached = true;
    }
  g_assert (unit->jobs == 0);
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

      place_normalise (&given, true);
      if (place_same_shape (&given, shape))
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

      if (place_same_shape (&unit->shape, shape))
        have++;
    }
  return have;
}

static void
remove_unit (struct place *place, struct place_team_state *team, guint at)
{
  struct place_unit *unit = team->units->pdata[at];

  detach_unit_jobs (place, unit);
  if (unit->waiter != NULL)
    place_unit_waiter_drop (unit->waiter);
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

          if (unit->jobs > 0 && !used)
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

  if (!place->params.policy->guarantees)
    return;
  remove_surplus_units (place, team, guarantees, count);
  for (i = 0; i < count; i++)
    {
      struct place_shape shape = guarantees[i].shape;
      uint32_t wanted;
      uint32_t have;

      place_normalise (&shape, true);
      wanted = wanted_unit_count (guarantees, count, &shape);
      for (have = unit_count (team, &shape); have < wanted; have++)
        g_ptr_array_add (team->units, unit_new (team, &shape));
    }
}
