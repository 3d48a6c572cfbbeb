/* Puts running jobs under unused guarantees of their team, where they are:
   after a restart, after a change of guarantees, or to end borrowing.  */

#include "place/place_inner.h"

/* Some spots of a job, from FIRST on.  */
struct range
{
  struct place_job_state *job;
  uint32_t first;
  uint32_t count;
};

/* A slot of UNIT on WORKER with room for one more task, or NULL.  */
static struct place_slot *
slot_on (struct place_unit *unit, const struct place_worker_state *worker,
         const struct place_amount *each)
{
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      struct place_slot *slot = &unit->slots[i];

      if (slot->worker == worker && place_covers (&slot->left, each))
        return slot;
    }
  return NULL;
}

static void
undo_slots (struct range *range)
{
  uint32_t i;

  for (i = 0; i < range->count; i++)
    {
      struct place_spot *spot = &range->job->spots[range->first + i];

      if (spot->slot != NULL)
        place_add (&spot->slot->left, &range->job->each);
      spot->slot = NULL;
    }
}

/* Picks slots of a bound unit for all spots.  LEFT of a slot is lowered only
   while this looks; place_take_slots () does it for good.  */
static bool
pick_slots (struct place_unit *unit, struct range *range)
{
  bool found = true;
  uint32_t i;

  for (i = 0; i < range->count && found; i++)
    {
      struct place_spot *spot = &range->job->spots[range->first + i];

      spot->slot = slot_on (unit, spot->worker, &range->job->each);
      if (spot->slot != NULL)
        place_subtract (&spot->slot->left, &range->job->each);
      found = spot->slot != NULL;
    }
  if (!found)
    {
      undo_slots (range);
      return false;
    }
  for (i = 0; i < range->count; i++)
    place_add (&range->job->spots[range->first + i].slot->left,
               &range->job->each);
  return true;
}

/* Adds what UNIT needs on each worker of the spots; returns the number of
   slots, or 0 if the spots do not go into it.  */
static uint32_t
slots_for (const struct place_unit *unit, const struct range *range,
           struct place_spot *out)
{
  const struct place_job_state *job = range->job;
  uint32_t per_slot
      = place_goes_into (&unit->each, &job->each, PLACE_TASK_LIMIT);
  uint32_t slots = 0;
  uint32_t inside = 0;
  uint32_t i;

  if (per_slot == 0)
    return 0;
  for (i = 0; i < range->count; i++)
    {
      const struct place_spot *spot = &job->spots[range->first + i];

      if (i == 0 || spot->worker != spot[-1].worker || inside == per_slot)
        {
          if (slots == unit->shape.tasks)
            return 0;
          out[slots++].worker = spot->worker;
          inside = 0;
        }
      inside++;
    }
  return slots;
}

/* Whether SLOTS of a unit have room where the job runs, the job itself
   counting as room.  */
static bool
room_for_slots (const struct place_unit *unit, const struct range *range,
                const struct place_spot *slots, uint32_t count)
{
  const struct place_job_state *job = range->job;
  uint32_t i;
  uint32_t j;

  for (i = 0; i < count; i++)
    {
      struct place_worker_state *worker = slots[i].worker;
      struct place_amount room = place_view_of (worker, PLACE_VIEW_FIRM);
      int64_t wanted = 0;

      if (!place_usable (worker))
        return false;
      for (j = 0; j < count; j++)
        wanted += slots[j].worker == worker;
      for (j = 0; j < range->count && !job->borrowed; j++)
        if (job->spots[range->first + j].worker == worker)
          place_add (&room, &job->each);
      if (place_goes_into (&room, &unit->each, (uint32_t)wanted) < wanted)
        return false;
    }
  return true;
}

/* Finds workers for the slots of a unit that the job does not use.  */
static bool
place_rest (struct place *place, const struct place_unit *unit,
            struct place_spot *spots, uint32_t done)
{
  struct place_search search = place_unit_search (unit, PLACE_VIEW_FIRM);
  uint32_t i;

  if (done == unit->shape.tasks)
    return true;
  /* What the job takes is not yet promised: hold it for the search.  */
  for (i = 0; i < done; i++)
    place_add (&spots[i].worker->reserved, &unit->each);
  search.tasks = unit->shape.tasks - done;
  search.anchor = spots[0].worker;
  search.centre = NULL;
  i = place_fit (place, &search, spots + done) ? 1 : 0;
  while (done-- > 0)
    place_subtract (&spots[done].worker->reserved, &unit->each);
  return i == 1;
}

static bool
spots_within (const struct range *range, enum place_span span)
{
  const struct place_spot *spots = range->job->spots + range->first;
  uint32_t i;

  for (i = 0; i < range->count; i++)
    if (spots[i].worker->rack == NULL) /* it is not known yet */
      return false;
  for (i = 1; i < range->count; i++)
    {
      if (span == PLACE_SPAN_WORKER && spots[i].worker != spots[0].worker)
        return false;
      if (span == PLACE_SPAN_RACK
          && spots[i].worker->rack != spots[0].worker->rack)
        return false;
      if (span == PLACE_SPAN_DATA_CENTRE
          && spots[i].worker->rack->centre != spots[0].worker->rack->centre)
        return false;
    }
  return true;
}

/* Binds an unused unit so that it covers the spots.  */
static bool
move_under (struct place *place, struct place_unit *unit, struct range *range)
{
  struct place_spot spots[PLACE_TASK_LIMIT] = { 0 };
  struct place_spot before[PLACE_TASK_LIMIT] = { 0 };
  bool was_bound = unit->missing == 0;
  uint32_t slots;
  uint32_t i;

  if (unit->jobs > 0 || !spots_within (range, unit->shape.span))
    return false;
  slots = slots_for (unit, range, spots);
  if (slots == 0)
    return false;
  for (i = 0; i < unit->shape.tasks; i++)
    before[i].worker = unit->slots[i].worker;
  place_unit_unbind (unit);
  if (room_for_slots (unit, range, spots, slots)
      && place_rest (place, unit, spots, slots))
    {
      place_unit_bind (unit, spots);
      if (pick_slots (unit, range))
        return true;
      place_unit_unbind (unit);
    }
  if (was_bound)
    place_unit_bind (unit, before);
  return false;
}

static bool
attach_range (struct place *place, struct range *range)
{
  g_autoptr (GPtrArray) units = place_units_for (range->job);
  guint i;

  for (i = 0; i < units->len; i++)
    if (pick_slots (units->pdata[i], range))
      return true;
  for (i = 0; i < units->len; i++)
    if (move_under (place, units->pdata[i], range))
      return true;
  return false;
}

bool
place_attach (struct place *place, struct place_job_state *job)
{
  struct range whole = { .job = job, .first = 0, .count = job->spot_count };

  g_assert (job->spots[0].slot == NULL);
  if (!attach_range (place, &whole))
    return false;
  place_set_borrowed (job, false);
  place_take_slots (job);
  return true;
}
