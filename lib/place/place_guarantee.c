/* Binding of guarantees to workers.  Each guaranteed shape of a team is a
   unit.  Each unit is bound to workers on which it fits beside everything
   that cannot be evicted.  As long as every unit is bound, all unused
   guarantees can be met at the same time by evicting only borrowed work.  */

#include <string.h>

#include "place/place_internal.h"

enum
{
  /* Units bound in all orders together; bounds the CPU time.  */
  REPACK_UNIT_BUDGET = 4096,
  REPACK_TRIES_MIN = 4,
  REPACK_TRIES_MAX = 16
};

/* ===== Binding ================================================ */

/* The data centre that the job waiting for this unit asks for, or NULL.  */
static struct place_data_centre *
wanted_centre (const struct place_unit *unit)
{
  if (unit->kept_for == NULL || unit->task_count > 0)
    return NULL;
  return unit->kept_for->data_centre;
}

/* Sorts units that are hard to place first: those that a waiting job wants in
   one data centre, then those of a narrow span, then the largest.  */
static int
compare_by_difficulty (const void *a, const void *b)
{
  const struct place_unit *left = *(struct place_unit *const *)a;
  const struct place_unit *right = *(struct place_unit *const *)b;
  int64_t l = left->per_task.accelerators * left->shape.tasks;
  int64_t r = right->per_task.accelerators * right->shape.tasks;
  bool rack_bound_left = left->shape.span >= PLACE_SPAN_RACK;
  bool rack_bound_right = right->shape.span >= PLACE_SPAN_RACK;

  if ((wanted_centre (left) != NULL) != (wanted_centre (right) != NULL))
    return wanted_centre (left) != NULL ? -1 : 1;
  if (rack_bound_left != rack_bound_right)
    return rack_bound_left ? -1 : 1;
  if (l != r)
    return l > r ? -1 : 1;
  if (left->per_task.accelerators != right->per_task.accelerators)
    return left->per_task.accelerators > right->per_task.accelerators ? -1 : 1;
  l = left->per_task.cpus_milli * left->shape.tasks;
  r = right->per_task.cpus_milli * right->shape.tasks;
  return (l < r) - (l > r);
}

static bool
bind_unit_in (struct place *place, struct place_unit *unit,
              struct place_data_centre *centre, enum place_free_rule free_rule)
{
  struct place_location locations[PLACE_TASK_LIMIT];
  struct place_search search = place_unit_search (unit, free_rule);

  search.data_centre = centre;
  if (!place_fit (place, &search, locations))
    return false;
  place_unit_bind (unit, locations);
  return true;
}

/* The wanted data centre is tried first; in it and elsewhere, workers that are
   free now come before those where jobs would have to be evicted.  */
static bool
bind_unit (struct place *place, struct place_unit *unit)
{
  struct place_data_centre *centre = wanted_centre (unit);

  if (centre != NULL
      && (bind_unit_in (place, unit, centre, PLACE_FREE_NOW_UNGUARANTEED)
          || bind_unit_in (place, unit, centre, PLACE_FREE_UNGUARANTEED)))
    return true;
  return bind_unit_in (place, unit, NULL, PLACE_FREE_NOW_UNGUARANTEED)
         || bind_unit_in (place, unit, NULL, PLACE_FREE_UNGUARANTEED);
}

/* Unbinds the unused slots of a used unit that are on unusable workers, and
   binds them to other workers within the span of the used slots.  */
static void
repair_used_unit (struct place *place, struct place_unit *unit)
{
  struct place_location locations[PLACE_TASK_LIMIT];
  struct place_search search
      = place_unit_search (unit, PLACE_FREE_UNGUARANTEED);
  uint32_t next = 0;
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      struct place_slot *slot = &unit->slots[i];

      if (slot->task_count > 0)
        search.anchor = slot->worker;
      else if (slot->worker != NULL
               && !place_worker_meets_guarantees (slot->worker))
        place_slot_unbind (slot);
    }
  if (unit->unbound_slot_count == 0)
    return;
  search.tasks = unit->unbound_slot_count;
  if (!place_fit (place, &search, locations))
    return;
  for (i = 0; i < unit->shape.tasks; i++)
    if (unit->slots[i].worker == NULL)
      place_slot_bind (&unit->slots[i], locations[next++].worker);
}

static void
collect_units (struct place *place, GPtrArray *list)
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

/* Unbinds unused units and unused slots from workers that are unusable or
   became too small.  */
static void
release_unusable_workers (struct place *place, GPtrArray *units)
{
  guint i;

  for (i = 0; i < units->len; i++)
    {
      struct place_unit *unit = units->pdata[i];

      if (place_unit_meets_guarantee (unit))
        continue;
      if (unit->task_count == 0)
        place_unit_unbind (unit);
      else
        repair_used_unit (place, unit);
    }
}

/* Binds the units that are not bound, in this order.  Returns how many unused
   units fit on no workers.  */
static guint
bind_units (struct place *place, GPtrArray *units)
{
  guint unbound = 0;
  guint i;

  for (i = 0; i < units->len; i++)
    {
      struct place_unit *unit = units->pdata[i];

      if (unit->task_count == 0 && unit->unbound_slot_count > 0
          && !bind_unit (place, unit))
        unbound++;
      else if (unit->task_count > 0 && unit->unbound_slot_count > 0)
        repair_used_unit (place, unit);
    }
  return unbound;
}

/* The size of all units that are not fully bound: their accelerators, and to
   break ties their number.  */
static int64_t
unbound_size (const GPtrArray *units)
{
  int64_t size = 0;
  guint i;

  for (i = 0; i < units->len; i++)
    {
      const struct place_unit *unit = units->pdata[i];

      if (unit->unbound_slot_count > 0)
        size += unit->per_task.accelerators * unit->shape.tasks
                    * PLACE_TASK_LIMIT
                + 1;
    }
  return size;
}

static void
rebind_unused_units (struct place *place, GPtrArray *order)
{
  guint i;

  for (i = 0; i < order->len; i++)
    if (((struct place_unit *)order->pdata[i])->task_count == 0)
      place_unit_unbind (order->pdata[i]);
  bind_units (place, order);
}

/* The same units with those that are not fully bound moved to the front.  */
static GPtrArray *
unbound_first (const GPtrArray *units)
{
  GPtrArray *order = g_ptr_array_new ();
  guint i;

  for (i = 0; i < units->len; i++)
    if (((struct place_unit *)units->pdata[i])->unbound_slot_count > 0)
      g_ptr_array_add (order, units->pdata[i]);
  for (i = 0; i < units->len; i++)
    if (((struct place_unit *)units->pdata[i])->unbound_slot_count == 0)
      g_ptr_array_add (order, units->pdata[i]);
  return order;
}

/* Rebinds all unused units in several orders and keeps the binding that leaves
   the least unbound.  The first order is the given one; each further order has
   those in front that the one before could not bind.  */
static void
repack_unused_units (struct place *place, GPtrArray *units)
{
  guint tries = CLAMP (REPACK_UNIT_BUDGET / MAX (units->len, 1),
                       REPACK_TRIES_MIN, REPACK_TRIES_MAX);
  GPtrArray *order = g_ptr_array_copy (units, NULL, NULL);
  GPtrArray *best = NULL;
  int64_t best_size = INT64_MAX;
  int64_t size = 0;
  guint n;

  for (n = 0; n < tries; n++)
    {
      GPtrArray *next;

      rebind_unused_units (place, order);
      size = unbound_size (order);
      next = unbound_first (order);
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
    rebind_unused_units (place, best);
  g_ptr_array_unref (order);
  g_ptr_array_unref (best);
}

/* ===== Guarantees that cannot be met ========================== */

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

/* Whether the unit is bound to a worker that came back with less capacity
   than is guaranteed on it.  */
static bool
unit_on_shrunk_worker (const struct place_unit *unit)
{
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      const struct place_worker_state *worker = unit->slots[i].worker;

      if (worker != NULL && place_worker_usable (worker)
          && !place_worker_meets_guarantees (worker))
        return true;
    }
  return false;
}

/* Emits PLACE_GUARANTEE_UNMET or PLACE_GUARANTEE_MET if that is not what was
 * reported last.  */
static void
report_unit (struct place *place, struct place_unit *unit)
{
  bool unmet = unit->unbound_slot_count > 0 || unit_on_shrunk_worker (unit);
  struct place_command *command;
  char shape[PLACE_TEXT_SIZE_BYTES];
  char text[PLACE_TEXT_SIZE_BYTES];

  if (unmet)
    place->guarantee_unmet = true;
  if (unit->reported_unmet == unmet)
    return;
  unit->reported_unmet = unmet;
  place_shape_text (&unit->shape, shape, sizeof shape);
  g_snprintf (text, sizeof text, "guarantee of %.180s %s", shape,
              unmet ? "has no room on the workers in use"
                    : "can be met again");
  command = place_add_command (place, unmet ? PLACE_GUARANTEE_UNMET
                                            : PLACE_GUARANTEE_MET);
  command->team = place_copy_text (place, unit->team->name);
  command->reason = place_copy_text (place, text);
}

static bool
job_on_usable_workers (const struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    if (!place_worker_usable (job->locations[i].worker))
      return false;
  return true;
}

/* Attaches running jobs outside a guarantee to a guarantee of their team where
   one covers them: of those that borrow only those that were restored or that
   lost their guarantee.  */
static void
attach_running_jobs (struct place *place, bool borrows)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, place->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct place_job_state *job = value;

      if (job->phase != PLACE_JOB_RUNNING || job->locations[0].slot != NULL
          || job->borrows != borrows || (borrows && !job->attach_pending))
        continue;
      job->attach_pending = !job_on_usable_workers (job);
      place_attach_guarantee (place, job);
    }
}

/* Jobs that do not borrow come first: they cannot be evicted, so they need
   the guarantees more.  */
static void
attach_all_running_jobs (struct place *place)
{
  attach_running_jobs (place, false);
  attach_running_jobs (place, true);
}

/* Whether a unit that a job waits for in a data centre is not bound there.  */
static bool
wanted_centre_missing (const GPtrArray *units)
{
  guint i;

  for (i = 0; i < units->len; i++)
    {
      const struct place_unit *unit = units->pdata[i];
      const struct place_data_centre *centre
          = unit->kept_for == NULL ? NULL : unit->kept_for->data_centre;
      uint32_t s;

      for (s = 0; centre != NULL && s < unit->shape.tasks; s++)
        if (unit->slots[s].worker == NULL
            || unit->slots[s].worker->rack->data_centre != centre)
          return true;
    }
  return false;
}

void
place_bind_guarantees (struct place *place)
{
  g_autoptr (GPtrArray) units = NULL;
  guint i;

  if (!place->units_need_binding || !place->params.policy->has_guarantees)
    return;
  place->units_need_binding = false;
  place->guarantee_unmet = false;
  units = g_ptr_array_new ();
  collect_units (place, units);
  release_unusable_workers (place, units);
  attach_all_running_jobs (place);
  g_ptr_array_sort (units, compare_by_difficulty);
  if (bind_units (place, units) > 0 || place->unit_move_wanted)
    repack_unused_units (place, units);
  place->unit_move_wanted = wanted_centre_missing (units);
  for (i = 0; i < units->len; i++)
    report_unit (place, units->pdata[i]);
}
