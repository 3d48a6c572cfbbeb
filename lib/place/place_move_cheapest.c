/* Moves an unused unit before evictions for it: of all workers to which it
   could be bound, to those where the evictions lose the least.  */

#include <math.h>

#include "place/place_internal.h"

enum
{
  /* Workers examined for one unit.  The last rack is examined whole.  */
  EXAMINED_WORKER_LIMIT = 512
};

/* A worker on which FIT_COUNT slots of the unit fit.  */
struct worker_option
{
  struct place_worker_state *worker;
  uint32_t fit_count;
  double loss; /* by evictions, for each slot */
};

/* Workers to which a unit could be bound, and the loss by the evictions that
   this needs.  */
struct unit_option
{
  struct place_location locations[PLACE_TASK_LIMIT];
  double loss;
};

/* The loss by evictions for SLOTS slots on a worker, or negative if evictions
   cannot free enough.  */
static double
worker_loss (struct place *place, struct place_worker_state *worker,
             const struct place_unit *unit, uint32_t slots)
{
  struct place_resource_vector need
      = place_resources_multiply (&unit->per_task, slots);

  return place_worker_eviction_loss (place, worker, &need);
}

/* The loss by evictions if the unit is bound to LOCATIONS; infinite if JOB may
   not run there or if evictions cannot free enough.  */
static double
locations_loss (struct place *place, const struct place_unit *unit,
                const struct place_job_state *job,
                const struct place_location *locations)
{
  double loss = 0;
  uint32_t i;
  uint32_t same_worker_count;

  for (i = 0; i < unit->shape.tasks; i += same_worker_count)
    {
      double one;

      if (place_worker_excluded (job, locations[i].worker))
        return INFINITY;
      for (same_worker_count = 1;
           i + same_worker_count < unit->shape.tasks
           && locations[i + same_worker_count].worker == locations[i].worker;)
        same_worker_count++;
      one = worker_loss (place, locations[i].worker, unit, same_worker_count);
      if (one < 0)
        return INFINITY;
      loss += one;
    }
  return loss;
}

static int
compare_options (const void *a, const void *b)
{
  const struct worker_option *left = a;
  const struct worker_option *right = b;

  if (left->loss != right->loss)
    return left->loss < right->loss ? -1 : 1;
  return left->worker->number < right->worker->number ? -1 : 1;
}

static void
add_option (struct place *place, const struct place_unit *unit,
            const struct place_job_state *job,
            struct place_worker_state *worker, GArray *options)
{
  struct place_search search
      = place_unit_search (unit, PLACE_FREE_UNGUARANTEED);
  struct worker_option option = { .worker = worker };

  if (place_worker_excluded (job, worker))
    return;
  option.fit_count = place_worker_fit_count (place, &search, worker);
  if (option.fit_count == 0)
    return;
  option.loss = worker_loss (place, worker, unit, option.fit_count);
  if (option.loss < 0)
    return;
  option.loss /= option.fit_count;
  g_array_append_val (options, option);
}

/* Places the unit on the cheapest options, and keeps the result as BEST if it
   loses less.  */
static void
keep_cheapest (const struct place_unit *unit, GArray *options,
               struct unit_option *best)
{
  const struct worker_option *list
      = (const struct worker_option *)options->data;
  struct place_location locations[PLACE_TASK_LIMIT];
  uint32_t done = 0;
  double loss = 0;
  uint32_t i;
  guint b;

  g_array_sort (options, compare_options);
  for (b = 0; b < options->len && done < unit->shape.tasks; b++)
    for (i = 0; i < list[b].fit_count && done < unit->shape.tasks; i++)
      {
        locations[done++]
            = (struct place_location){ .worker = list[b].worker };
        loss += list[b].loss;
      }
  if (done < unit->shape.tasks || loss >= best->loss)
    return;
  for (i = 0; i < done; i++)
    best->locations[i] = locations[i];
  best->loss = loss;
}

/* Considers the workers of a rack: each alone if the span is one worker, else
   together.  */
static void
consider_rack (struct place *place, const struct place_unit *unit,
               const struct place_job_state *job,
               const struct place_rack *rack, GArray *options,
               struct unit_option *best)
{
  guint i;

  g_array_set_size (options, 0);
  for (i = 0; i < rack->workers->len; i++)
    {
      add_option (place, unit, job, rack->workers->pdata[i], options);
      if (unit->shape.span != PLACE_SPAN_WORKER)
        continue;
      keep_cheapest (unit, options, best);
      g_array_set_size (options, 0);
    }
  if (options->len > 0)
    keep_cheapest (unit, options, best);
}

void
place_unit_move_cheapest (struct place *place, struct place_unit *unit,
                          const struct place_job_state *job)
{
  g_autoptr (GArray) options = NULL;
  struct unit_option best = { .loss = INFINITY };
  guint examined_workers = 0;
  uint32_t i;
  guint r;

  if (unit->shape.span < PLACE_SPAN_RACK)
    return;
  options = g_array_new (FALSE, FALSE, sizeof (struct worker_option));
  for (i = 0; i < unit->shape.tasks; i++)
    best.locations[i].worker = unit->slots[i].worker;
  place_unit_unbind (unit);
  best.loss = locations_loss (place, unit, job, best.locations);
  for (r = 0;
       r < place->racks->len && examined_workers < EXAMINED_WORKER_LIMIT; r++)
    {
      const struct place_rack *rack = place->racks->pdata[r];

      if (job->data_centre != NULL && rack->data_centre != job->data_centre)
        continue;
      examined_workers += rack->workers->len;
      consider_rack (place, unit, job, rack, options, &best);
    }
  place_unit_bind (unit, best.locations);
}
