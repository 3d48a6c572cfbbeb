/* Attaches running jobs to unused guarantees of their team without moving
   them: after a restart, after a change of guarantees, or so that they no
   longer count as borrowing.  */

#include "place/place_internal.h"

/* COUNT locations of a job, from index FIRST on.  */
struct location_range
{
  struct place_job_state *job;
  uint32_t first;
  uint32_t count;
};

/* A slot of UNIT on WORKER in which one more task of size EACH fits, or
   NULL.  */
static struct place_slot *
find_slot_on (struct place_unit *unit, const struct place_worker_state *worker,
              const struct place_resource_vector *each)
{
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      struct place_slot *slot = &unit->slots[i];

      if (slot->worker == worker
          && place_resources_cover (&slot->unused, each))
        return slot;
    }
  return NULL;
}

/* Removes the slots from the locations and adds their resources back to the
   unused ones of the slots.  */
static void
clear_slots (struct location_range *range)
{
  uint32_t i;

  for (i = 0; i < range->count; i++)
    {
      struct place_location *location
          = &range->job->locations[range->first + i];

      if (location->slot != NULL)
        place_resources_add (&location->slot->unused, &range->job->per_task);
      location->slot = NULL;
    }
}

/* Picks slots of a bound unit for all locations.  The unused resources
   of the slots are reduced only during the search; place_occupy_slots ()
   reduces them permanently.  */
static bool
pick_slots (struct place_unit *unit, struct location_range *range)
{
  bool found = true;
  uint32_t i;

  for (i = 0; i < range->count && found; i++)
    {
      struct place_location *location
          = &range->job->locations[range->first + i];

      location->slot
          = find_slot_on (unit, location->worker, &range->job->per_task);
      if (location->slot != NULL)
        place_resources_subtract (&location->slot->unused,
                                  &range->job->per_task);
      found = location->slot != NULL;
    }
  if (!found)
    {
      clear_slots (range);
      return false;
    }
  for (i = 0; i < range->count; i++)
    place_resources_add (&range->job->locations[range->first + i].slot->unused,
                         &range->job->per_task);
  return true;
}

/* Writes to OUT the worker of each slot that UNIT needs to cover the
   locations. Returns the number of slots, or 0 if UNIT cannot cover the
   locations.  */
static uint32_t
list_slot_workers (const struct place_unit *unit,
                   const struct location_range *range,
                   struct place_location *out)
{
  const struct place_job_state *job = range->job;
  uint32_t per_slot = place_resources_fit_count (
      &unit->per_task, &job->per_task, PLACE_TASK_LIMIT);
  uint32_t slots = 0;
  uint32_t tasks_in_slot = 0;
  uint32_t i;

  if (per_slot == 0)
    return 0;
  for (i = 0; i < range->count; i++)
    {
      const struct place_location *location
          = &job->locations[range->first + i];

      if (i == 0 || location->worker != location[-1].worker
          || tasks_in_slot == per_slot)
        {
          if (slots == unit->shape.tasks)
            return 0;
          out[slots++].worker = location->worker;
          tasks_in_slot = 0;
        }
      tasks_in_slot++;
    }
  return slots;
}

/* Whether COUNT slots of a unit fit on the workers of the job.  Resources that
   the job itself uses count as available.  */
static bool
slots_fit (const struct place_unit *unit, const struct location_range *range,
           const struct place_location *slots, uint32_t count)
{
  const struct place_job_state *job = range->job;
  uint32_t i;
  uint32_t j;

  for (i = 0; i < count; i++)
    {
      struct place_worker_state *worker = slots[i].worker;
      struct place_resource_vector available
          = place_available_resources (worker, PLACE_FREE_UNGUARANTEED);
      int64_t wanted = 0;

      if (!place_worker_usable (worker))
        return false;
      for (j = 0; j < count; j++)
        wanted += slots[j].worker == worker;
      for (j = 0; j < range->count && !job->borrows; j++)
        if (job->locations[range->first + j].worker == worker)
          place_resources_add (&available, &job->per_task);
      if (place_resources_fit_count (&available, &unit->per_task,
                                     (uint32_t)wanted)
          < wanted)
        return false;
    }
  return true;
}

/* Finds workers for the slots of a unit after the first DONE, which the job
   uses.  */
static bool
place_other_slots (struct place *place, const struct place_unit *unit,
                   struct place_location *locations, uint32_t done)
{
  struct place_search search
      = place_unit_search (unit, PLACE_FREE_UNGUARANTEED);
  uint32_t i;

  if (done == unit->shape.tasks)
    return true;
  /* The slots of the job are not bound yet: count them as reserved during the
     search.  */
  for (i = 0; i < done; i++)
    place_resources_add (&locations[i].worker->unused_guaranteed,
                         &unit->per_task);
  search.tasks = unit->shape.tasks - done;
  search.anchor = locations[0].worker;
  search.data_centre = NULL;
  i = place_fit (place, &search, locations + done) ? 1 : 0;
  while (done-- > 0)
    place_resources_subtract (&locations[done].worker->unused_guaranteed,
                              &unit->per_task);
  return i == 1;
}

static bool
range_within_span (const struct location_range *range, enum place_span span)
{
  const struct place_location *locations
      = range->job->locations + range->first;
  uint32_t i;

  for (i = 0; i < range->count; i++)
    if (locations[i].worker->rack == NULL) /* worker not reported yet */
      return false;
  for (i = 1; i < range->count; i++)
    {
      if (span == PLACE_SPAN_WORKER
          && locations[i].worker != locations[0].worker)
        return false;
      if (span == PLACE_SPAN_RACK
          && locations[i].worker->rack != locations[0].worker->rack)
        return false;
      if (span == PLACE_SPAN_DATA_CENTRE
          && locations[i].worker->rack->data_centre
                 != locations[0].worker->rack->data_centre)
        return false;
    }
  return true;
}

/* Rebinds an unused unit so that it covers the locations.  If that fails, a
   unit that was fully bound gets its old binding back.  */
static bool
move_unit_under (struct place *place, struct place_unit *unit,
                 struct location_range *range)
{
  struct place_location locations[PLACE_TASK_LIMIT] = { 0 };
  struct place_location before[PLACE_TASK_LIMIT] = { 0 };
  bool was_bound = unit->unbound_slot_count == 0;
  uint32_t slots;
  uint32_t i;

  if (unit->task_count > 0 || !range_within_span (range, unit->shape.span))
    return false;
  slots = list_slot_workers (unit, range, locations);
  if (slots == 0)
    return false;
  for (i = 0; i < unit->shape.tasks; i++)
    before[i].worker = unit->slots[i].worker;
  place_unit_unbind (unit);
  if (slots_fit (unit, range, locations, slots)
      && place_other_slots (place, unit, locations, slots))
    {
      place_unit_bind (unit, locations);
      if (pick_slots (unit, range))
        return true;
      place_unit_unbind (unit);
    }
  if (was_bound)
    place_unit_bind (unit, before);
  return false;
}

static bool
attach_range (struct place *place, struct location_range *range)
{
  g_autoptr (GPtrArray) units = place_units_for (range->job);
  guint i;

  for (i = 0; i < units->len; i++)
    if (pick_slots (units->pdata[i], range))
      return true;
  for (i = 0; i < units->len; i++)
    if (move_unit_under (place, units->pdata[i], range))
      return true;
  return false;
}

bool
place_attach_guarantee (struct place *place, struct place_job_state *job)
{
  struct location_range whole
      = { .job = job, .first = 0, .count = job->location_count };

  g_assert (job->locations[0].slot == NULL);
  if (!attach_range (place, &whole))
    return false;
  place_set_borrows (job, false);
  place_occupy_slots (job);
  return true;
}
