/* Guaranteed shapes.  Each shape of a team is a unit; each unit is bound to
   workers that have room for it beside everything that cannot be evicted.
   As long as every unit is bound, all unused shapes can be placed together
   by evicting only borrowed work.  */

#include <string.h>

#include "place/place_inner.h"

enum
{
  REPACK_WORK = 4096, /* units placed in the orders that are tried */
  REPACK_TRIES_LEAST = 4,
  REPACK_TRIES_MOST = 16
};

/* ===== Binding ================================================ */

/* The data centre in which a job waits for a unit, or NULL.  */
static struct place_centre *
wanted_centre (const struct place_unit *unit)
{
  if (unit->waiter == NULL || unit->jobs > 0)
    return NULL;
  return unit->waiter->centre;
}

/* The hardest to place come first.  */
static int
compare_units (const void *a, const void *b)
{
  const struct place_unit *left = *(struct place_unit *const *)a;
  const struct place_unit *right = *(struct place_unit *const *)b;
  int64_t l = left->each.accelerators * left->shape.tasks;
  int64_t r = right->each.accelerators * right->shape.tasks;
  bool tight_left = left->shape.span >= PLACE_SPAN_RACK;
  bool tight_right = right->shape.span >= PLACE_SPAN_RACK;

  if ((wanted_centre (left) != NULL) != (wanted_centre (right) != NULL))
    return wanted_centre (left) != NULL ? -1 : 1;
  if (tight_left != tight_right)
    return tight_left ? -1 : 1;
  if (l != r)
    return l > r ? -1 : 1;
  if (left->each.accelerators != right->each.accelerators)
    return left->each.accelerators > right->each.accelerators ? -1 : 1;
  l = left->each.cpus_milli * left->shape.tasks;
  r = right->each.cpus_milli * right->shape.tasks;
  return (l < r) - (l > r);
}

static bool
unit_place_in (struct place *place, struct place_unit *unit,
               struct place_centre *centre, enum place_view view)
{
  struct place_spot spots[PLACE_TASK_LIMIT];
  struct place_search search = place_unit_search (unit, view);

  search.centre = centre;
  if (!place_fit (place, &search, spots))
    return false;
  place_unit_bind (unit, spots);
  return true;
}

static bool
unit_place (struct place *place, struct place_unit *unit)
{
  struct place_centre *centre = wanted_centre (unit);

  if (centre != NULL
      && (unit_place_in (place, unit, centre, PLACE_VIEW_BOTH)
          || unit_place_in (place, unit, centre, PLACE_VIEW_FIRM)))
    return true;
  return unit_place_in (place, unit, NULL, PLACE_VIEW_BOTH)
         || unit_place_in (place, unit, NULL, PLACE_VIEW_FIRM);
}

/* Unbinds the free slots of a used unit that are on unusable workers, and
   binds them near the others again.  */
static void
unit_mend (struct place *place, struct place_unit *unit)
{
  struct place_spot spots[PLACE_TASK_LIMIT];
  struct place_search search = place_unit_search (unit, PLACE_VIEW_FIRM);
  uint32_t next = 0;
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      struct place_slot *slot = &unit->slots[i];

      if (slot->jobs > 0)
        search.anchor = slot->worker;
      else if (slot->worker != NULL && !place_keeps_promises (slot->worker))
        place_slot_unbind (slot);
    }
  if (unit->missing == 0)
    return;
  search.tasks = unit->missing;
  if (!place_fit (place, &search, spots))
    return;
  for (i = 0; i < unit->shape.tasks; i++)
    if (unit->slots[i].worker == NULL)
      place_slot_bind (&unit->slots[i], spots[next++].worker);
}

static void
add_units (struct place *place, GPtrArray *list)
{
  guint t;
  guint u;

  for (t = 0; t < place->team_list->len; t++)
    {
      struct place_team_state *team = place->team_list->pdata[t];

      for (u = 0; u < team->units->len; u++)
        g_ptr_array_add (list, team->units->pdata[u]);
    }
}

/* Unbinds what stands on unusable workers.  */
static void
units_release_lost (struct place *place, GPtrArray *units)
{
  guint i;

  for (i = 0; i < units->len; i++)
    {
      struct place_unit *unit = units->pdata[i];

      if (place_unit_whole (unit))
        continue;
      if (unit->jobs == 0)
        place_unit_unbind (unit);
      else
        unit_mend (place, unit);
    }
}

/* Returns how many units have no place.  */
static guint
units_place (struct place *place, GPtrArray *units)
{
  guint unplaced = 0;
  guint i;

  for (i = 0; i < units->len; i++)
    {
      struct place_unit *unit = units->pdata[i];

      if (unit->jobs == 0 && unit->missing > 0 && !unit_place (place, unit))
        unplaced++;
      else if (unit->jobs > 0 && unit->missing > 0)
        unit_mend (place, unit);
    }
  return unplaced;
}

/* What units without a place would take, in accelerators and, to break
   ties, in units.  */
static int64_t
unplaced_size (const GPtrArray *units)
{
  int64_t size = 0;
  guint i;

  for (i = 0; i < units->len; i++)
    {
      const struct place_unit *unit = units->pdata[i];

      if (unit->missing > 0)
        size += unit->each.accelerators * unit->shape.tasks * PLACE_TASK_LIMIT
                + 1;
    }
  return size;
}

static void
units_place_anew (struct place *place, GPtrArray *order)
{
  guint i;

  for (i = 0; i < order->len; i++)
    if (((struct place_unit *)order->pdata[i])->jobs == 0)
      place_unit_unbind (order->pdata[i]);
  units_place (place, order);
}

/* Those without a place first, the rest in the same order.  */
static GPtrArray *
unplaced_first (const GPtrArray *units)
{
  GPtrArray *order = g_ptr_array_new ();
  guint i;

  for (i = 0; i < units->len; i++)
    if (((struct place_unit *)units->pdata[i])->missing > 0)
      g_ptr_array_add (order, units->pdata[i]);
  for (i = 0; i < units->len; i++)
    if (((struct place_unit *)units->pdata[i])->missing == 0)
      g_ptr_array_add (order, units->pdata[i]);
  return order;
}

/* Binds all unused units anew: the hardest first, then some times with those
   in front that had found no place.  The best of these orders stays.  */
static void
units_repack (struct place *place, GPtrArray *units)
{
  guint tries = CLAMP (REPACK_WORK / MAX (units->len, 1), REPACK_TRIES_LEAST,
                       REPACK_TRIES_MOST);
  GPtrArray *order = g_ptr_array_copy (units, NULL, NULL);
  GPtrArray *best = NULL;
  int64_t best_size = INT64_MAX;
  int64_t size = 0;
  guint n;

  for (n = 0; n < tries; n++)
    {
      GPtrArray *next;

      units_place_anew (place, order);
      size = unplaced_size (order);
      next = unplaced_first (order);
      if (size < best_size)
        {
          GPtrArray *worse = best;

          best = order;
          order = worse;
          best_size = size;
        }
      if (order != NULL)
        g_ptr_array_unref (order);
      order = next;
      if (size == 0)
        break;
    }
  if (size > best_size)
    units_place_anew (place, best);
  g_ptr_array_unref (order);
  g_ptr_array_unref (best);
}

/* ===== What cannot be met ===================================== */

static const char *
span_text (enum place_span span)
{
  switch (span)
    {
    case PLACE_SPAN_WORKER:
      return " on one worker";
    case PLACE_SPAN_RACK:
      return " in one rack";
    case PLACE_SPAN_DATA_CENTRE:
      return " in one data centre";
    case PLACE_SPAN_ANY:
      break;
    }
  return "";
}

void
place_shape_text (const struct place_shape *shape, char *text,
                  size_t size_bytes)
{
  g_snprintf (text, size_bytes, "%u x (%u accelerators, %.1f cpus, %u MB)%s",
              shape->tasks, shape->task.accelerators,
              shape->task.cpus_milli / 1000.0, shape->task.memory_mb,
              shape->tasks > 1 ? span_text (shape->span) : "");
}

/* Whether jobs hold a unit on a worker that came back smaller.  */
static bool
on_shrunk_worker (const struct place_unit *unit)
{
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      const struct place_worker_state *worker = unit->slots[i].worker;

      if (worker != NULL && place_usable (worker)
          && !place_keeps_promises (worker))
        return true;
    }
  return false;
}

static void
unit_tell (struct place *place, struct place_unit *unit)
{
  bool unmet = unit->missing > 0 || on_shrunk_worker (unit);
  struct place_command *command;
  char shape[PLACE_TEXT_SIZE_BYTES];
  char text[PLACE_TEXT_SIZE_BYTES];

  if (unmet)
    place->short_of = true;
  if (unit->told_unmet == unmet)
    return;
  unit->told_unmet = unmet;
  place_shape_text (&unit->shape, shape, sizeof shape);
  g_snprintf (text, sizeof text, "guarantee of %.180s %s", shape,
              unmet ? "has no room on the workers in use"
                    : "can be met again");
  command = place_emit (place, unmet ? PLACE_UNMET : PLACE_MET);
  command->team = place_text (place, unit->team->name);
  command->reason = place_text (place, text);
}

static bool
on_usable_workers (const struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->spot_count; i++)
    if (!place_usable (job->spots[i].worker))
      return false;
  return true;
}

/* Jobs that were restored, or whose guarantee was taken back, are put under
   a guarantee where there is one for them.  */
static void
attach_some (struct place *place, bool borrowed)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, place->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct place_job_state *job = value;

      if (job->phase != PLACE_RUNNING || job->spots[0].slot != NULL
          || job->borrowed != borrowed || (borrowed && !job->detached))
        continue;
      job->detached = !on_usable_workers (job);
      place_attach (place, job);
    }
}

/* Those that cannot be stopped come first.  */
static void
attach_all (struct place *place)
{
  attach_some (place, false);
  attach_some (place, true);
}

static bool
wishes_left (const GPtrArray *units)
{
  guint i;

  for (i = 0; i < units->len; i++)
    {
      const struct place_unit *unit = units->pdata[i];
      const struct place_centre *centre
          = unit->waiter == NULL ? NULL : unit->waiter->centre;
      uint32_t s;

      for (s = 0; centre != NULL && s < unit->shape.tasks; s++)
        if (unit->slots[s].worker == NULL
            || unit->slots[s].worker->rack->centre != centre)
          return true;
    }
  return false;
}

void
place_settle (struct place *place)
{
  g_autoptr (GPtrArray) units = NULL;
  guint i;

  if (!place->dirty || !place->params.policy->guarantees)
    return;
  place->dirty = false;
  place->short_of = false;
  units = g_ptr_array_new ();
  add_units (place, units);
  units_release_lost (place, units);
  attach_all (place);
  g_ptr_array_sort (units, compare_units);
  if (units_place (place, units) > 0 || place->wishes)
    units_repack (place, units);
  place->wishes = wishes_left (units);
  for (i = 0; i < units->len; i++)
    unit_tell (place, units->pdata[i]);
}
