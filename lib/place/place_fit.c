/* Search for workers (best fit): of the groups that the span allows (worker,
   rack, data centre), the one in which the fewest tasks fit, and in it the
   workers that have the least free after placing, most of which are partly
   used already.  Unused workers and racks stay whole for large jobs.  */

#include "place/place_internal.h"

/* A worker on which some of the tasks fit.  */
struct option
{
  struct place_worker_state *worker;
  uint32_t fit_count;         /* tasks of the search that fit */
  int64_t accelerators_after; /* free once these tasks are placed */
  int64_t cpus_milli_after;
};

/* A set of racks on whose workers all tasks may be placed together.  */
struct group
{
  struct place_rack **racks;
  guint rack_count;
  struct place_worker_state *only; /* the group is this worker */
  uint64_t fit_count;              /* tasks of the search that fit */
};

GArray *
place_options_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (struct option));
}

static bool
failed_on_worker (const struct place_job_state *job,
                  const struct place_worker_state *worker)
{
  uint32_t i;

  if (job == NULL)
    return false;
  for (i = 0; i < job->avoided_worker_count; i++)
    if (job->avoided_workers[i] == worker)
      return true;
  return false;
}

/* Whether the worker is reserved for another job and the job of the search is
   expected to end after that reservation starts.  */
static bool
reserved_before_end (const struct place_search *search,
                     const struct place_worker_state *worker)
{
  const struct place_job_state *owner = worker->reserved_for;

  if (owner == NULL || owner == search->job)
    return false;
  return search->end_ms > owner->reservation->expected_start_ms;
}

static bool
worker_excluded (const struct place_search *search,
                 const struct place_worker_state *worker)
{
  if (search->free_rule == PLACE_FREE_WHOLE_CAPACITY)
    return false;
  if (!place_worker_usable (worker))
    {
      /* A worker under probe gets one job at a time, and no guarantee is
         bound to it.  */
      if (!worker->up || worker->health != PLACE_PROBING
          || search->free_rule != PLACE_FREE_NOW || worker->jobs->len > 0
          || worker->claimed_task_count > 0)
        return true;
    }
  if (failed_on_worker (search->job, worker))
    return true;
  return search->free_rule == PLACE_FREE_NOW
         && reserved_before_end (search, worker);
}

uint32_t
place_worker_fit_count (const struct place *place,
                        const struct place_search *search,
                        const struct place_worker_state *worker)
{
  struct place_resource_vector amount;

  (void)place;
  if (worker_excluded (search, worker))
    return 0;
  amount = place_available_resources (worker, search->free_rule);
  return place_resources_fit_count (&amount, &search->per_task, search->tasks);
}

/* Whether no task of the search fits on any worker of the rack, judged by the
   rack's summary of free resources.  */
static bool
rack_lacks_resources (const struct place_search *search,
                      const struct place_rack *rack)
{
  if (search->free_rule != PLACE_FREE_NOW
      && search->free_rule != PLACE_FREE_NOW_UNGUARANTEED)
    return false;
  return !place_resources_cover (&rack->free_max, &search->per_task);
}

/* Whether RACKS together have too few free resources for all tasks.  */
static bool
racks_lack_resources (const struct place_search *search,
                      struct place_rack **racks, guint count)
{
  struct place_resource_vector need
      = place_resources_multiply (&search->per_task, search->tasks);
  struct place_resource_vector have = { 0 };
  guint i;

  if (search->free_rule != PLACE_FREE_NOW
      && search->free_rule != PLACE_FREE_NOW_UNGUARANTEED)
    return false;
  for (i = 0; i < count; i++)
    {
      place_resources_add (&have, &racks[i]->free_total);
      if (place_resources_cover (&have, &need))
        return false;
    }
  return true;
}

static uint64_t
rack_fit_count (const struct place *place, const struct place_search *search,
                const struct place_rack *rack)
{
  uint64_t fit_count = 0;
  guint i;

  if (rack_lacks_resources (search, rack))
    return 0;
  for (i = 0; i < rack->workers->len; i++)
    fit_count
        += place_worker_fit_count (place, search, rack->workers->pdata[i]);
  return fit_count;
}

/* Keeps GROUP as BEST if all tasks fit into it and fewer tasks fit into it
   than into BEST.  */
static void
keep_if_tighter (const struct place_search *search, const struct group *group,
                 struct group *best)
{
  if (group->fit_count < search->tasks)
    return;
  if (best->fit_count == 0 || group->fit_count < best->fit_count)
    *best = *group;
}

static void
consider_each_rack (const struct place *place,
                    const struct place_search *search, GPtrArray *racks,
                    struct group *best)
{
  struct group group;
  guint i;

  for (i = 0; i < racks->len; i++)
    {
      group = (struct group){ .racks = (struct place_rack **)&racks->pdata[i],
                              .rack_count = 1 };
      group.fit_count = rack_fit_count (place, search, racks->pdata[i]);
      keep_if_tighter (search, &group, best);
    }
}

static void
consider_racks_together (const struct place *place,
                         const struct place_search *search, GPtrArray *racks,
                         struct group *best)
{
  struct group group = { .racks = (struct place_rack **)racks->pdata,
                         .rack_count = racks->len };
  guint i;

  for (i = 0; i < racks->len; i++)
    group.fit_count += rack_fit_count (place, search, racks->pdata[i]);
  keep_if_tighter (search, &group, best);
}

static bool
leaves_less (const struct option *a, const struct option *b)
{
  if (a->accelerators_after != b->accelerators_after)
    return a->accelerators_after < b->accelerators_after;
  return a->cpus_milli_after < b->cpus_milli_after;
}

/* The free resources of a worker after at most TASKS tasks of the search are
   placed on it.  */
static struct option
option_after_placing (const struct place_search *search,
                      struct place_worker_state *worker, uint32_t fit_count,
                      uint32_t tasks)
{
  struct place_resource_vector left
      = place_available_resources (worker, search->free_rule);
  struct place_resource_vector taken
      = place_resources_multiply (&search->per_task, MIN (fit_count, tasks));
  struct option option = { .worker = worker, .fit_count = fit_count };

  place_resources_subtract (&left, &taken);
  option.accelerators_after = left.accelerators;
  option.cpus_milli_after = left.cpus_milli;
  return option;
}

static void
consider_worker (const struct place *place, const struct place_search *search,
                 struct place_worker_state *worker, struct option *best)
{
  uint32_t fit_count = place_worker_fit_count (place, search, worker);
  struct option option;

  if (fit_count < search->tasks)
    return;
  option = option_after_placing (search, worker, fit_count, search->tasks);
  if (best->worker == NULL || leaves_less (&option, best))
    *best = option;
}

/* Places all tasks on one worker.  */
static bool
fit_one_worker (struct place *place, const struct place_search *search,
                GPtrArray *racks, struct place_location *locations)
{
  struct option best = { 0 };
  guint r;
  guint w;
  uint32_t i;

  for (r = 0; r < racks->len; r++)
    {
      struct place_rack *rack = racks->pdata[r];

      if (rack_lacks_resources (search, rack))
        continue;
      for (w = 0; w < rack->workers->len; w++)
        consider_worker (place, search, rack->workers->pdata[w], &best);
    }
  if (best.worker == NULL)
    return false;
  for (i = 0; i < search->tasks; i++)
    locations[i] = (struct place_location){ .worker = best.worker };
  return true;
}

static bool
option_precedes (const struct option *a, const struct option *b)
{
  if (leaves_less (a, b) || leaves_less (b, a))
    return leaves_less (a, b);
  if (a->fit_count != b->fit_count)
    return a->fit_count > b->fit_count;
  return a->worker->number < b->worker->number;
}

/* Moves the option at index AT down until it precedes both of its children.
   Only the first few of many options are needed, so a heap costs less than a
   sort.  */
static void
heap_sift_down (struct option *heap, guint len, guint at)
{
  struct option moved = heap[at];

  for (;;)
    {
      guint below = 2 * at + 1;

      if (below >= len)
        break;
      if (below + 1 < len && option_precedes (&heap[below + 1], &heap[below]))
        below++;
      if (!option_precedes (&heap[below], &moved))
        break;
      heap[at] = heap[below];
      at = below;
    }
  heap[at] = moved;
}

static void
heap_build (GArray *options)
{
  struct option *heap = (struct option *)options->data;
  guint at;

  for (at = options->len / 2; at-- > 0;)
    heap_sift_down (heap, options->len, at);
}

static struct option
heap_pop (GArray *options)
{
  struct option *heap = (struct option *)options->data;
  struct option first = heap[0];

  heap[0] = heap[options->len - 1];
  g_array_set_size (options, options->len - 1);
  if (options->len > 0)
    heap_sift_down (heap, options->len, 0);
  return first;
}

static void
collect_options (struct place *place, const struct place_search *search,
                 const struct group *group)
{
  guint r;
  guint w;

  g_array_set_size (place->options, 0);
  for (r = 0; r < group->rack_count; r++)
    {
      struct place_rack *rack = group->racks[r];

      if (rack_lacks_resources (search, rack))
        continue;
      for (w = 0; w < rack->workers->len; w++)
        {
          struct place_worker_state *worker = rack->workers->pdata[w];
          uint32_t fit_count = place_worker_fit_count (place, search, worker);
          struct option option;

          if (fit_count == 0)
            continue;
          option = option_after_placing (search, worker, fit_count,
                                         search->tasks);
          g_array_append_val (place->options, option);
        }
    }
}

/* Of the options that take all TASKS remaining tasks, the one that has the
   least free afterwards.  FIRST has to be such an option.  */
static struct option
tightest_option (struct place *place, const struct place_search *search,
                 const struct option *first, uint32_t tasks)
{
  const struct option *list = (const struct option *)place->options->data;
  struct option best = *first;
  struct option best_left
      = option_after_placing (search, first->worker, tasks, tasks);
  guint i;

  for (i = 0; i < place->options->len; i++)
    {
      struct option left;

      if (list[i].fit_count < tasks)
        continue;
      left = option_after_placing (search, list[i].worker, tasks, tasks);
      if (!leaves_less (&left, &best_left))
        continue;
      best = list[i];
      best_left = left;
    }
  return best;
}

/* Places tasks on the workers of GROUP.  Returns whether all tasks are
   placed.  */
static bool
fill_group (struct place *place, const struct place_search *search,
            const struct group *group, struct place_location *locations)
{
  uint32_t done = 0;

  if (racks_lack_resources (search, group->racks, group->rack_count))
    return false;
  collect_options (place, search, group);
  heap_build (place->options);
  while (done < search->tasks && place->options->len > 0)
    {
      struct option option = heap_pop (place->options);
      uint32_t left = search->tasks - done;
      uint32_t taken;

      if (option.fit_count >= left)
        option = tightest_option (place, search, &option, left);
      taken = MIN (option.fit_count, left);
      while (taken-- > 0)
        locations[done++] = (struct place_location){ .worker = option.worker };
    }
  return done == search->tasks;
}

/* The racks to search: those of the anchor's data centre, those of the data
   centre that the search names, or all.  */
static GPtrArray *
racks_to_search (struct place *place, const struct place_search *search)
{
  if (search->anchor != NULL && search->span >= PLACE_SPAN_DATA_CENTRE)
    return search->anchor->rack->data_centre->racks;
  if (search->data_centre != NULL)
    return search->data_centre->racks;
  return place->racks;
}

static bool
fit_at_anchor (struct place *place, const struct place_search *search,
               struct place_location *locations)
{
  struct place_worker_state *worker = search->anchor;
  struct group group = { .racks = &worker->rack, .rack_count = 1 };
  uint32_t i;

  if (search->span == PLACE_SPAN_WORKER)
    {
      if (place_worker_fit_count (place, search, worker) < search->tasks)
        return false;
      for (i = 0; i < search->tasks; i++)
        locations[i] = (struct place_location){ .worker = worker };
      return true;
    }
  return fill_group (place, search, &group, locations);
}

bool
place_fit (struct place *place, const struct place_search *search,
           struct place_location *locations)
{
  GPtrArray *racks = racks_to_search (place, search);
  struct group best = { 0 };
  guint i;

  if (search->anchor != NULL && search->span >= PLACE_SPAN_RACK)
    return fit_at_anchor (place, search, locations);
  if (search->span == PLACE_SPAN_WORKER || search->tasks == 1)
    return fit_one_worker (place, search, racks, locations);
  if (search->span == PLACE_SPAN_RACK)
    consider_each_rack (place, search, racks, &best);
  else if (search->span == PLACE_SPAN_ANY || racks != place->racks)
    {
      best.racks = (struct place_rack **)racks->pdata;
      best.rack_count = racks->len;
      return fill_group (place, search, &best, locations);
    }
  else
    for (i = 0; i < place->data_centre_list->len; i++)
      {
        struct place_data_centre *centre = place->data_centre_list->pdata[i];

        consider_racks_together (place, search, centre->racks, &best);
      }
  if (best.fit_count == 0)
    return false;
  return fill_group (place, search, &best, locations);
}
