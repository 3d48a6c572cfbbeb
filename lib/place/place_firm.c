/* Starts of jobs within their team's guarantee: in its units where they
   are, else in units moved to free workers, else by evicting borrowed work
   at the least loss.  */

#include <math.h>

#include "place/place_inner.h"

enum
{
  MOVE_LIMIT = 16,   /* units moved for one job */
  RECLAIM_LIMIT = 64 /* units whose evictions are weighed for one job */
};

/* Spots found so far.  */
struct take
{
  struct place_job_state *job;
  struct place_spot spots[PLACE_TASK_LIMIT];
  uint32_t count;
  bool evict;  /* room may come from evictions */
  bool spread; /* tasks may be in several units */
};

static bool
unit_serves (const struct place_unit *unit, const struct place_job_state *job)
{
  return unit->shape.span >= job->shape.span
         && (unit->waiter == NULL || unit->waiter == job);
}

/* Takes back what take_from () has noted since COUNT.  */
static void
take_back (struct take *take, uint32_t count)
{
  while (take->count > count)
    {
      struct place_spot *spot = &take->spots[--take->count];

      place_add (&spot->slot->left, &take->job->each);
      place_subtract (&spot->worker->held, &take->job->each);
    }
}

static bool
has_room (struct place *place, const struct take *take,
          struct place_worker_state *worker)
{
  struct place_amount free = place_view_of (worker, PLACE_VIEW_FREE);

  if (place_covers (&free, &take->job->each))
    return true;
  return take->evict
         && place_evict_loss (place, worker, &take->job->each) >= 0;
}

/* Notes as many tasks as go into the unit.  Slots and workers count them
   until take_back ().  */
static void
take_from (struct place *place, struct take *take, struct place_unit *unit)
{
  const struct place_job_state *job = take->job;
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      struct place_slot *slot = &unit->slots[i];

      if (slot->worker == NULL || place_barred (job, slot->worker))
        continue;
      while (take->count < job->shape.tasks
             && place_covers (&slot->left, &job->each)
             && has_room (place, take, slot->worker))
        {
          place_subtract (&slot->left, &job->each);
          place_add (&slot->worker->held, &job->each);
          take->spots[take->count++]
              = (struct place_spot){ .worker = slot->worker, .slot = slot };
        }
    }
}

static bool
shape_exact (const struct place_unit *unit, const struct place_job_state *job)
{
  return unit->jobs == 0 && unit->shape.tasks == job->shape.tasks
         && place_covers (&job->each, &unit->each);
}

/* Brings equal shapes together.  */
static int
compare_shapes (const struct place_shape *a, const struct place_shape *b)
{
  if (a->tasks != b->tasks)
    return a->tasks < b->tasks ? -1 : 1;
  if (a->task.memory_mb != b->task.memory_mb)
    return a->task.memory_mb < b->task.memory_mb ? -1 : 1;
  return (a->span > b->span) - (a->span < b->span);
}

/* The order in which units are used: the exact shape; then used ones, so
   that whole ones stay whole; then the smallest.  */
static int
compare_for_use (const void *a, const void *b, void *ctx)
{
  const struct place_unit *left = *(struct place_unit *const *)a;
  const struct place_unit *right = *(struct place_unit *const *)b;
  const struct place_job_state *job = ctx;
  int64_t l = left->each.accelerators * left->shape.tasks;
  int64_t r = right->each.accelerators * right->shape.tasks;

  if (shape_exact (left, job) != shape_exact (right, job))
    return shape_exact (left, job) ? -1 : 1;
  if ((left->jobs > 0) != (right->jobs > 0))
    return left->jobs > 0 ? -1 : 1;
  if (l != r)
    return l < r ? -1 : 1;
  l = left->each.cpus_milli * left->shape.tasks;
  r = right->each.cpus_milli * right->shape.tasks;
  if (l != r)
    return l < r ? -1 : 1;
  return compare_shapes (&left->shape, &right->shape);
}

/* Finds slots for all tasks: in one unit, or in several if the tasks may be
   spread.  On success the notes stay until take_back ().  */
static bool
take_slots (struct place *place, struct take *take, GPtrArray *units)
{
  const struct place_job_state *job = take->job;
  guint i;

  for (i = 0; i < units->len; i++)
    {
      take_from (place, take, units->pdata[i]);
      if (take->count == job->shape.tasks)
        return true;
      take_back (take, 0);
    }
  if (!take->spread)
    return false;
  for (i = 0; i < units->len && take->count < job->shape.tasks; i++)
    take_from (place, take, units->pdata[i]);
  if (take->count == job->shape.tasks)
    return true;
  take_back (take, 0);
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

      if (unit_serves (unit, job)
          && place_goes_into (&unit->each, &job->each, 1) > 0)
        g_ptr_array_add (units, unit);
    }
  g_ptr_array_sort_with_data (units, compare_for_use, job);
  return units;
}

static void
start_taken (struct place *place, struct take *take)
{
  struct place_spot spots[PLACE_TASK_LIMIT];
  uint32_t i;

  for (i = 0; i < take->count; i++)
    spots[i] = take->spots[i];
  take_back (take, 0);
  take->job->borrowed = false;
  place_spots_set (take->job, spots);
  place_start (place, take->job);
}

/* ===== Moving units to free workers =========================== */

static bool
move_and_take (struct place *place, struct take *take, GPtrArray *units)
{
  int moves = 0;
  guint i;

  for (i = 0; i < units->len && moves < MOVE_LIMIT; i++)
    {
      struct place_unit *unit = units->pdata[i];

      if (unit->jobs > 0 || unit->missing > 0
          || place_unit_ready (unit, take->job))
        continue;
      moves++;
      if (place_unit_move (place, unit, take->job)
          && take_slots (place, take, units))
        return true;
    }
  return false;
}

/* ===== Reclaim ================================================ */

/* What evictions would lose if the tasks noted in TAKE started.  */
static double
loss_of (struct place *place, const struct take *take)
{
  struct place_amount none = { 0 };
  double loss = 0;
  uint32_t i;

  for (i = 0; i < take->count; i++)
    {
      double one;

      if (i > 0 && take->spots[i].worker == take->spots[i - 1].worker)
        continue;
      one = place_evict_loss (place, take->spots[i].worker, &none);
      if (one < 0)
        return -1;
      loss += one;
    }
  return loss;
}

/* Moves the unit that is cheapest to clear to the front.  */
static void
cheapest_first (struct place *place, struct take *take, GPtrArray *units)
{
  double best = INFINITY;
  guint best_at = 0;
  gpointer unit;
  guint i;

  for (i = 0; i < MIN (units->len, RECLAIM_LIMIT); i++)
    {
      double loss;

      take_from (place, take, units->pdata[i]);
      loss
          = take->count == take->job->shape.tasks ? loss_of (place, take) : -1;
      take_back (take, 0);
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

/* Moves the first unused unit to where a reclaim loses the least.  */
static void
move_one_cheapest (struct place *place, const struct place_job_state *job,
                   const GPtrArray *units)
{
  guint i;

  for (i = 0; i < units->len; i++)
    {
      struct place_unit *unit = units->pdata[i];

      if (unit->jobs > 0 || unit->missing > 0)
        continue;
      place_unit_move_cheapest (place, unit, job);
      return;
    }
}

static bool
reclaim (struct place *place, struct take *take, GPtrArray *units)
{
  struct place_spot spots[PLACE_TASK_LIMIT];
  struct place_job_state *job = take->job;
  uint32_t i;

  take->evict = true;
  move_one_cheapest (place, take->job, units);
  cheapest_first (place, take, units);
  if (!take_slots (place, take, units))
    return false;
  for (i = 0; i < take->count; i++)
    spots[i] = take->spots[i];
  take_back (take, 0);
  job->borrowed = false;
  place_spots_set (job, spots);
  place_queue_remove (job);
  place_reservation_drop (place, job);
  place_unit_waiter_drop (job);
  place_claim (place, job);
  for (i = 0; i < job->spot_count; i++)
    place_evict_for (place, job->spots[i].worker, job);
  job->wait = "waits until borrowed work has left its guaranteed workers";
  return true;
}

/* Ends claims of borrowed work, which give way like the work itself.  */
static bool
undo_claims (struct place *place)
{
  bool any = false;
  guint i;

  for (i = place->claims->len; i-- > 0;)
    {
      struct place_job_state *job = place->claims->pdata[i];

      if (!job->borrowed)
        continue;
      place_unclaim (place, job);
      place_queue_insert (job);
      job->wait = "waits again: the owner of its workers came first";
      any = true;
      place->changed = true; /* its team may have had no job waiting */
    }
  return any;
}

static bool
use_units (struct place *place, struct take *take, GPtrArray *units)
{
  if (take_slots (place, take, units) || move_and_take (place, take, units))
    {
      start_taken (place, take);
      return true;
    }
  if (reclaim (place, take, units))
    return true;
  if (undo_claims (place) && reclaim (place, take, units))
    return true;
  take->evict = false;
  return false;
}

/* Whether two units are used alike: both by jobs, or neither and of one
   shape.  */
static bool
same_class (const struct place_unit *a, const struct place_unit *b)
{
  if (a->jobs > 0 || b->jobs > 0)
    return a->jobs > 0 && b->jobs > 0;
  return place_same_shape (&a->shape, &b->shape);
}

/* The units from AT on that are alike; they stand together.  */
static GPtrArray *
class_of (const GPtrArray *units, guint at)
{
  GPtrArray *alike = g_ptr_array_new ();
  guint i;

  for (i = at; i < units->len; i++)
    {
      if (!same_class (units->pdata[at], units->pdata[i]))
        break;
      g_ptr_array_add (alike, units->pdata[i]);
    }
  return alike;
}

/* Whether the team has looked for no more in this round, and in vain.  */
static bool
failed_before (const struct place_job_state *job)
{
  const struct place_team_state *team = job->team;
  uint32_t i;

  if (job->waits_for_unit) /* others failed because it is kept for this job */
    return false;
  for (i = 0; i < team->failed_count; i++)
    if (team->failed[i].tasks <= job->shape.tasks
        && team->failed[i].span <= job->shape.span
        && place_covers (&job->each, &team->failed[i].each))
      return true;
  return false;
}

static void
note_failed (struct place_job_state *job)
{
  struct place_team_state *team = job->team;

  if (job->failed_count > 0 || job->centre != NULL
      || team->failed_count == PLACE_FAILED_SEARCH_LIMIT)
    return;
  team->failed[team->failed_count++] = (struct place_failed_search){
    .tasks = job->shape.tasks, .span = job->shape.span, .each = job->each
  };
}

/* A larger unit is broken into only when no smaller one serves, even if that
   takes an eviction: otherwise the team would lose its larger shape.  */
static bool
try_units (struct place *place, struct place_job_state *job)
{
  g_autoptr (GPtrArray) units = place_units_for (job);
  struct take take = { .job = job };
  guint at = 0;

  while (at < units->len)
    {
      g_autoptr (GPtrArray) alike = class_of (units, at);

      if (use_units (place, &take, alike))
        return true;
      at += alike->len;
    }
  take.spread = job->shape.tasks > 1 && job->shape.span == PLACE_SPAN_ANY
                && job->centre == NULL;
  return units->len > 1 && take.spread && use_units (place, &take, units);
}

bool
place_firm_try (struct place *place, struct place_job_state *job)
{
  if (job->team->units->len == 0 || failed_before (job))
    return false;
  if (try_units (place, job))
    return true;
  note_failed (job);
  return false;
}
