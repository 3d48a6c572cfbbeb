/* Starts jobs within the guarantee of their team: in a unit on the workers to
   which it is bound, else in a unit moved to free workers, else by evicting
   the borrowed work that loses the least.  */

#include <math.h>

#include "place/place_internal.h"

enum
{
  UNIT_MOVE_LIMIT = 16,   /* units that are moved for one job */
  RECLAIM_UNIT_LIMIT = 64 /* units whose losses are compared for one job */
};

/* Slots selected for the tasks of a job so far.  Until undo_selection (),
   their resources are taken off slot.unused and added to worker.claimed.  */
struct selection
{
  struct place_job_state *job;
  struct place_location locations[PLACE_TASK_LIMIT];
  uint32_t count;
  bool evict;  /* evictions may free resources */
  bool spread; /* tasks may be in several units */
};

static bool
unit_allows (const struct place_unit *unit, const struct place_job_state *job)
{
  return unit->shape.span >= job->shape.span
         && (unit->kept_for == NULL || unit->kept_for == job);
}

/* Undoes select_from_unit () for all but the first COUNT locations.  */
static void
undo_selection (struct selection *selection, uint32_t count)
{
  while (selection->count > count)
    {
      struct place_location *location
          = &selection->locations[--selection->count];

      place_resources_add (&location->slot->unused, &selection->job->per_task);
      place_resources_subtract (&location->worker->claimed,
                                &selection->job->per_task);
    }
}

static bool
worker_has_resources (struct place *place, const struct selection *selection,
                      struct place_worker_state *worker)
{
  struct place_resource_vector free
      = place_available_resources (worker, PLACE_FREE_NOW);

  if (place_resources_cover (&free, &selection->job->per_task))
    return true;
  return selection->evict
         && place_worker_eviction_loss (place, worker,
                                        &selection->job->per_task)
                >= 0;
}

/* Selects slots of the unit for as many tasks as fit.  The
   resources of these tasks are taken off slot.unused and added to
   worker.claimed until undo_selection ().  */
static void
select_from_unit (struct place *place, struct selection *selection,
                  struct place_unit *unit)
{
  const struct place_job_state *job = selection->job;
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      struct place_slot *slot = &unit->slots[i];

      if (slot->worker == NULL || place_worker_excluded (job, slot->worker))
        continue;
      while (selection->count < job->shape.tasks
             && place_resources_cover (&slot->unused, &job->per_task)
             && worker_has_resources (place, selection, slot->worker))
        {
          place_resources_subtract (&slot->unused, &job->per_task);
          place_resources_add (&slot->worker->claimed, &job->per_task);
          selection->locations[selection->count++]
              = (struct place_location){ .worker = slot->worker,
                                         .slot = slot };
        }
    }
}

static bool
unit_is_unused_and_matches (const struct place_unit *unit,
                            const struct place_job_state *job)
{
  return unit->task_count == 0 && unit->shape.tasks == job->shape.tasks
         && place_resources_cover (&job->per_task, &unit->per_task);
}

/* Makes units of equal shape neighbours when sorted, as collect_alike ()
   expects.  */
static int
compare_shapes (const struct place_shape *a, const struct place_shape *b)
{
  if (a->tasks != b->tasks)
    return a->tasks < b->tasks ? -1 : 1;
  if (a->task.memory_mb != b->task.memory_mb)
    return a->task.memory_mb < b->task.memory_mb ? -1 : 1;
  return (a->span > b->span) - (a->span < b->span);
}

/* Sorts units in the order of use: first unused units of exactly the shape of
   the job; then units that are partly used, so that unused units stay whole;
   then the smallest.  */
static int
compare_for_use (const void *a, const void *b, void *ctx)
{
  const struct place_unit *left = *(struct place_unit *const *)a;
  const struct place_unit *right = *(struct place_unit *const *)b;
  const struct place_job_state *job = ctx;
  int64_t l = left->per_task.accelerators * left->shape.tasks;
  int64_t r = right->per_task.accelerators * right->shape.tasks;

  if (unit_is_unused_and_matches (left, job)
      != unit_is_unused_and_matches (right, job))
    return unit_is_unused_and_matches (left, job) ? -1 : 1;
  if ((left->task_count > 0) != (right->task_count > 0))
    return left->task_count > 0 ? -1 : 1;
  if (l != r)
    return l < r ? -1 : 1;
  l = left->per_task.cpus_milli * left->shape.tasks;
  r = right->per_task.cpus_milli * right->shape.tasks;
  if (l != r)
    return l < r ? -1 : 1;
  return compare_shapes (&left->shape, &right->shape);
}

/* Selects slots for all tasks: in one unit, or in several if the tasks may be
   spread.  On success the selection stays until undo_selection ().  */
static bool
select_slots (struct place *place, struct selection *selection,
              GPtrArray *units)
{
  const struct place_job_state *job = selection->job;
  guint i;

  for (i = 0; i < units->len; i++)
    {
      select_from_unit (place, selection, units->pdata[i]);
      if (selection->count == job->shape.tasks)
        return true;
      undo_selection (selection, 0);
    }
  if (!selection->spread)
    return false;
  for (i = 0; i < units->len && selection->count < job->shape.tasks; i++)
    select_from_unit (place, selection, units->pdata[i]);
  if (selection->count == job->shape.tasks)
    return true;
  undo_selection (selection, 0);
  return false;
}

GPtrArray *
place_units_for (struct place_job_state *job)
{
  GPtrArray *units = g_ptr_array_new ();
  guint i;

  for (i = 0; i < job->team->units->len; i++)
    {
      struct place_unit *unit = job->team->units->pdata[i];

      if (unit_allows (unit, job)
          && place_resources_fit_count (&unit->per_task, &job->per_task, 1)
                 > 0)
        g_ptr_array_add (units, unit);
    }
  g_ptr_array_sort_with_data (units, compare_for_use, job);
  return units;
}

/* Starts the job on the selected slots.  */
static void
start_on_selection (struct place *place, struct selection *selection)
{
  struct place_location locations[PLACE_TASK_LIMIT];
  uint32_t i;

  for (i = 0; i < selection->count; i++)
    locations[i] = selection->locations[i];
  undo_selection (selection, 0);
  selection->job->borrows = false;
  place_locations_set (selection->job, locations);
  place_start_job (place, selection->job);
}

/* ===== Moving units to free workers =========================== */

/* Moves unused units to free workers until the job fits.  */
static bool
move_units_and_select (struct place *place, struct selection *selection,
                       GPtrArray *units)
{
  int moves = 0;
  guint i;

  for (i = 0; i < units->len && moves < UNIT_MOVE_LIMIT; i++)
    {
      struct place_unit *unit = units->pdata[i];

      if (unit->task_count > 0 || unit->unbound_slot_count > 0
          || place_unit_free_for (unit, selection->job))
        continue;
      moves++;
      if (place_unit_move_to_free (place, unit, selection->job)
          && select_slots (place, selection, units))
        return true;
    }
  return false;
}

/* ===== Reclaim: evictions within a guarantee ================== */

/* The loss by the evictions that the selected tasks need, or -1 if evictions
   cannot free enough.  */
static double
selection_loss (struct place *place, const struct selection *selection)
{
  struct place_resource_vector none = { 0 };
  double loss = 0;
  uint32_t i;

  for (i = 0; i < selection->count; i++)
    {
      double one;

      if (i > 0
          && selection->locations[i].worker
                 == selection->locations[i - 1].worker)
        continue;
      one = place_worker_eviction_loss (place, selection->locations[i].worker,
                                        &none);
      if (one < 0)
        return -1;
      loss += one;
    }
  return loss;
}

/* Moves the unit whose evictions lose the least to the front.  */
static void
move_cheapest_to_front (struct place *place, struct selection *selection,
                        GPtrArray *units)
{
  double best = INFINITY;
  guint best_at = 0;
  gpointer unit;
  guint i;

  for (i = 0; i < MIN (units->len, RECLAIM_UNIT_LIMIT); i++)
    {
      double loss;

      select_from_unit (place, selection, units->pdata[i]);
      loss = selection->count == selection->job->shape.tasks
                 ? selection_loss (place, selection)
                 : -1;
      undo_selection (selection, 0);
      if (loss < 0 || loss >= best)
        continue;
      best = loss;
      best_at = i;
    }
  if (best_at == 0)
    return;
  unit = units->pdata[best_at];
  g_ptr_array_remove_index (units, best_at);
  g_ptr_array_insert (units, 0, unit);
}

/* Moves the first unused unit to the workers where evictions lose the
   least.  */
static void
move_first_unused_unit (struct place *place, const struct place_job_state *job,
                        const GPtrArray *units)
{
  guint i;

  for (i = 0; i < units->len; i++)
    {
      struct place_unit *unit = units->pdata[i];

      if (unit->task_count > 0 || unit->unbound_slot_count > 0)
        continue;
      place_unit_move_cheapest (place, unit, job);
      return;
    }
}

/* Selects slots whose resources evictions can free, claims them for the job
   and evicts the borrowed work there.  */
static bool
reclaim_slots (struct place *place, struct selection *selection,
               GPtrArray *units)
{
  struct place_location locations[PLACE_TASK_LIMIT];
  struct place_job_state *job = selection->job;
  uint32_t i;

  selection->evict = true;
  move_first_unused_unit (place, selection->job, units);
  move_cheapest_to_front (place, selection, units);
  if (!select_slots (place, selection, units))
    return false;
  for (i = 0; i < selection->count; i++)
    locations[i] = selection->locations[i];
  undo_selection (selection, 0);
  job->borrows = false;
  place_locations_set (job, locations);
  place_queue_remove (job);
  place_reservation_drop (place, job);
  place_units_stop_keeping (job);
  place_claim_workers (place, job);
  for (i = 0; i < job->location_count; i++)
    place_evict_from_worker (place, job->locations[i].worker, job);
  job->wait_reason
      = "waits until borrowed work has left its guaranteed workers";
  return true;
}

/* Cancels the claims of jobs that borrow and wait for evictions: a guaranteed
   job has precedence over them as over running jobs that borrow.  */
static bool
cancel_borrowed_claims (struct place *place)
{
  bool any = false;
  guint i;

  for (i = place->claims->len; i-- > 0;)
    {
      struct place_job_state *job = place->claims->pdata[i];

      if (!job->borrows)
        continue;
      place_cancel_claim (place, job);
      place_queue_insert (job);
      job->wait_reason = "waits again: the owner of its workers came first";
      any = true;
      /* The team of this job may have had no other queued job, and would then
         not be among the active teams of this round.  */
      place->event_pending = true;
    }
  return any;
}

/* Starts the job in UNITS, or claims slots of them for it and evicts borrowed
   work there.  */
static bool
start_or_reclaim (struct place *place, struct selection *selection,
                  GPtrArray *units)
{
  if (select_slots (place, selection, units)
      || move_units_and_select (place, selection, units))
    {
      start_on_selection (place, selection);
      return true;
    }
  if (reclaim_slots (place, selection, units))
    return true;
  if (cancel_borrowed_claims (place)
      && reclaim_slots (place, selection, units))
    return true;
  selection->evict = false;
  return false;
}

/* Whether two units are equally good for a job: both partly used, or both
   unused and of the same shape.  */
static bool
units_alike (const struct place_unit *a, const struct place_unit *b)
{
  if (a->task_count > 0 || b->task_count > 0)
    return a->task_count > 0 && b->task_count > 0;
  return place_shape_equal (&a->shape, &b->shape);
}

/* The units from index AT on that are alike.  Alike units are neighbours,
   because the list is sorted by compare_for_use ().  */
static GPtrArray *
collect_alike (const GPtrArray *units, guint at)
{
  GPtrArray *alike = g_ptr_array_new ();
  guint i;

  for (i = at; i < units->len; i++)
    {
      if (!units_alike (units->pdata[at], units->pdata[i]))
        break;
      g_ptr_array_add (alike, units->pdata[i]);
    }
  return alike;
}

/* Whether a search of the team that asked for no more than JOB has failed in
   this round.  */
static bool
failed_this_round (const struct place_job_state *job)
{
  const struct place_team_state *team = job->team;
  uint32_t i;

  /* No other job may use a unit that is kept for this job, so the failures of
     others say nothing about this job.  */
  if (job->has_kept_units)
    return false;
  for (i = 0; i < team->failed_slot_search_count; i++)
    if (team->failed_slot_searches[i].tasks <= job->shape.tasks
        && team->failed_slot_searches[i].span <= job->shape.span
        && place_resources_cover (&job->per_task,
                                  &team->failed_slot_searches[i].per_task))
      return true;
  return false;
}

static void
remember_failed (struct place_job_state *job)
{
  struct place_team_state *team = job->team;

  /* A job that has to avoid workers or is bound to a data centre may fail
     where others fit.  */
  if (job->avoided_worker_count > 0 || job->data_centre != NULL
      || team->failed_slot_search_count == PLACE_FAILED_SEARCH_LIMIT)
    return;
  team->failed_slot_searches[team->failed_slot_search_count++]
      = (struct place_failed_slot_search){ .tasks = job->shape.tasks,
                                           .span = job->shape.span,
                                           .per_task = job->per_task };
}

/* Tries units that are alike together, in the order of compare_for_use ().  A
   larger unit is used only if no smaller one serves, even if the smaller one
   needs an eviction: otherwise the team could no longer use its larger
   guarantee as a whole.  */
static bool
try_units_in_order (struct place *place, struct place_job_state *job)
{
  g_autoptr (GPtrArray) units = place_units_for (job);
  struct selection selection = { .job = job };
  guint at = 0;

  while (at < units->len)
    {
      g_autoptr (GPtrArray) alike = collect_alike (units, at);

      if (start_or_reclaim (place, &selection, alike))
        return true;
      at += alike->len;
    }
  selection.spread = job->shape.tasks > 1 && job->shape.span == PLACE_SPAN_ANY
                     && job->data_centre == NULL;
  return units->len > 1 && selection.spread
         && start_or_reclaim (place, &selection, units);
}

bool
place_try_guaranteed (struct place *place, struct place_job_state *job)
{
  if (job->team->units->len == 0 || failed_this_round (job))
    return false;
  if (try_units_in_order (place, job))
    return true;
  remember_failed (job);
  return false;
}
