/* Search for workers: the group (worker, rack, data centre) that is left
   with the least, and in it the workers that are broken into already.  */

#include "place/place_inner.h"

/* A worker that takes some of the tasks.  */
struct option
{
  struct place_worker_state *worker;
  uint32_t room;
  int64_t left_accelerators;
  int64_t left_cpus_milli;
};

/* Sums up the options of one group.  */
struct group
{
  struct place_rack **racks;
  guint rack_count;
  struct place_worker_state *only; /* the group is this worker */
  uint64_t room;
};

GArray *
place_options_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (struct option));
}

static bool
failed_there (const struct place_job_state *job,
              const struct place_worker_state *worker)
{
  uint32_t i;

  if (job == NULL)
    return false;
  for (i = 0; i < job->failed_count; i++)
    if (job->failed[i] == worker)
      return true;
  return false;
}

/* Whether a worker that is kept for another job may be used meanwhile.  */
static bool
kept_for_other (const struct place_search *search,
                const struct place_worker_state *worker)
{
  const struct place_job_state *owner = worker->reservation;

  if (owner == NULL || owner == search->job)
    return false;
  return search->end_ms > owner->reservation->start_ms;
}

static bool
excluded (const struct place_search *search,
          const struct place_worker_state *worker)
{
  if (search->view == PLACE_VIEW_CAPACITY)
    return false;
  if (!place_usable (worker))
    {
      /* A probe: one job at a time, and nothing guaranteed.  */
      if (!worker->up || worker->health != PLACE_PROBING
          || search->view != PLACE_VIEW_FREE || worker->jobs->len > 0
          || worker->holds > 0)
        return true;
    }
  if (failed_there (search->job, worker))
    return true;
  return search->view == PLACE_VIEW_FREE && kept_for_other (search, worker);
}

uint32_t
place_room (const struct place *place, const struct place_search *search,
            const struct place_worker_state *worker)
{
  struct place_amount amount;

  (void)place;
  if (excluded (search, worker))
    return 0;
  amount = place_view_of (worker, search->view);
  return place_goes_into (&amount, &search->each, search->tasks);
}

/* Whether the rack's summary shows that no task fits on it.  */
static bool
rack_too_full (const struct place_search *search,
               const struct place_rack *rack)
{
  if (search->view != PLACE_VIEW_FREE && search->view != PLACE_VIEW_BOTH)
    return false;
  return !place_covers (&rack->widest, &search->each);
}

/* Whether RACKS together have too little free for all tasks.  */
static bool
racks_too_full (const struct place_search *search, struct place_rack **racks,
                guint count)
{
  struct place_amount need = place_times (&search->each, search->tasks);
  struct place_amount have = { 0 };
  guint i;

  if (search->view != PLACE_VIEW_FREE && search->view != PLACE_VIEW_BOTH)
    return false;
  for (i = 0; i < count; i++)
    {
      place_add (&have, &racks[i]->total);
      if (place_covers (&have, &need))
        return false;
    }
  return true;
}

static uint64_t
room_of_rack (const struct place *place, const struct place_search *search,
              const struct place_rack *rack)
{
  uint64_t room = 0;
  guint i;

  if (rack_too_full (search, rack))
    return 0;
  for (i = 0; i < rack->workers->len; i++)
    room += place_room (place, search, rack->workers->pdata[i]);
  return room;
}

/* Keeps GROUP if all tasks fit and it is left with less than BEST.  */
static void
consider (const struct place_search *search, const struct group *group,
          struct group *best)
{
  if (group->room < search->tasks)
    return;
  if (best->room == 0 || group->room < best->room)
    *best = *group;
}

static void
consider_racks (const struct place *place, const struct place_search *search,
                GPtrArray *racks, struct group *best)
{
  struct group group;
  guint i;

  for (i = 0; i < racks->len; i++)
    {
      group = (struct group){ .racks = (struct place_rack **)&racks->pdata[i],
                              .rack_count = 1 };
      group.room = room_of_rack (place, search, racks->pdata[i]);
      consider (search, &group, best);
    }
}

static void
consider_together (const struct place *place,
                   const struct place_search *search, GPtrArray *racks,
                   struct group *best)
{
  struct group group = { .racks = (struct place_rack **)racks->pdata,
                         .rack_count = racks->len };
  guint i;

  for (i = 0; i < racks->len; i++)
    group.room += room_of_rack (place, search, racks->pdata[i]);
  consider (search, &group, best);
}

static bool
option_better (const struct option *a, const struct option *b)
{
  if (a->left_accelerators != b->left_accelerators)
    return a->left_accelerators < b->left_accelerators;
  return a->left_cpus_milli < b->left_cpus_milli;
}

/* What a worker has left after TASKS of the search.  */
static struct option
option_of (const struct place_search *search,
           struct place_worker_state *worker, uint32_t room, uint32_t tasks)
{
  struct place_amount left = place_view_of (worker, search->view);
  struct place_amount taken = place_times (&search->each, MIN (room, tasks));
  struct option option = { .worker = worker, .room = room };

  place_subtract (&left, &taken);
  option.left_accelerators = left.accelerators;
  option.left_cpus_milli = left.cpus_milli;
  return option;
}

static void
consider_worker (const struct place *place, const struct place_search *search,
                 struct place_worker_state *worker, struct option *best)
{
  uint32_t room = place_room (place, search, worker);
  struct option option;

  if (room < search->tasks)
    return;
  option = option_of (search, worker, room, search->tasks);
  if (best->worker == NULL || option_better (&option, best))
    *best = option;
}

/* All tasks on one worker.  */
static bool
fit_one_worker (struct place *place, const struct place_search *search,
                GPtrArray *racks, struct place_spot *spots)
{
  struct option best = { 0 };
  guint r;
  guint w;
  uint32_t i;

  for (r = 0; r < racks->len; r++)
    {
      struct place_rack *rack = racks->pdata[r];

      if (rack_too_full (search, rack))
        continue;
      for (w = 0; w < rack->workers->len; w++)
        consider_worker (place, search, rack->workers->pdata[w], &best);
    }
  if (best.worker == NULL)
    return false;
  for (i = 0; i < search->tasks; i++)
    spots[i] = (struct place_spot){ .worker = best.worker };
  return true;
}

static bool
option_ahead (const struct option *a, const struct option *b)
{
  if (option_better (a, b) || option_better (b, a))
    return option_better (a, b);
  if (a->room != b->room)
    return a->room > b->room;
  return a->worker->number < b->worker->number;
}

/* Moves the option at AT down until it is ahead of both below it.  Only the
   first few of many options are needed, so that a heap beats a sort.  */
static void
heap_sink (struct option *heap, guint len, guint at)
{
  struct option moved = heap[at];

  for (;;)
    {
      guint below = 2 * at + 1;

      if (below >= len)
        break;
      if (below + 1 < len && option_ahead (&heap[below + 1], &heap[below]))
        below++;
      if (!option_ahead (&heap[below], &moved))
        break;
      heap[at] = heap[below];
      at = below;
    }
  heap[at] = moved;
}

static void
heap_make (GArray *options)
{
  struct option *heap = (struct option *)options->data;
  guint at;

  for (at = options->len / 2; at-- > 0;)
    heap_sink (heap, options->len, at);
}

static struct option
heap_pop (GArray *options)
{
  struct option *heap = (struct option *)options->data;
  struct option first = heap[0];

  heap[0] = heap[options->len - 1];
  g_array_set_size (options, options->len - 1);
  if (options->len > 0)
    heap_sink (heap, options->len, 0);
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

      if (rack_too_full (search, rack))
        continue;
      for (w = 0; w < rack->workers->len; w++)
        {
          struct place_worker_state *worker = rack->workers->pdata[w];
          uint32_t room = place_room (place, search, worker);
          struct option option;

          if (room == 0)
            continue;
          option = option_of (search, worker, room, search->tasks);
          g_array_append_val (place->options, option);
        }
    }
}

/* The tightest option that takes all TASKS that are left; FIRST does.  */
static struct option
last_option (struct place *place, const struct place_search *search,
             const struct option *first, uint32_t tasks)
{
  const struct option *list = (const struct option *)place->options->data;
  struct option best = *first;
  struct option best_left = option_of (search, first->worker, tasks, tasks);
  guint i;

  for (i = 0; i < place->options->len; i++)
    {
      struct option left;

      if (list[i].room < tasks)
        continue;
      left = option_of (search, list[i].worker, tasks, tasks);
      if (!option_better (&left, &best_left))
        continue;
      best = list[i];
      best_left = left;
    }
  return best;
}

/* Returns whether the group takes all tasks.  */
static bool
fill_group (struct place *place, const struct place_search *search,
            const struct group *group, struct place_spot *spots)
{
  uint32_t done = 0;

  if (racks_too_full (search, group->racks, group->rack_count))
    return false;
  collect_options (place, search, group);
  heap_make (place->options);
  while (done < search->tasks && place->options->len > 0)
    {
      struct option option = heap_pop (place->options);
      uint32_t left = search->tasks - done;
      uint32_t taken;

      if (option.room >= left)
        option = last_option (place, search, &option, left);
      taken = MIN (option.room, left);
      while (taken-- > 0)
        spots[done++] = (struct place_spot){ .worker = option.worker };
    }
  return done == search->tasks;
}

/* The racks to look at: all, those of a data centre, or the anchor's.  */
static GPtrArray *
racks_of (struct place *place, const struct place_search *search)
{
  if (search->anchor != NULL && search->span >= PLACE_SPAN_DATA_CENTRE)
    return search->anchor->rack->centre->racks;
  if (search->centre != NULL)
    return search->centre->racks;
  return place->racks;
}

static bool
fit_at_anchor (struct place *place, const struct place_search *search,
               struct place_spot *spots)
{
  struct place_worker_state *worker = search->anchor;
  struct group group = { .racks = &worker->rack, .rack_count = 1 };
  uint32_t i;

  if (search->span == PLACE_SPAN_WORKER)
    {
      if (place_room (place, search, worker) < search->tasks)
        return false;
      for (i = 0; i < search->tasks; i++)
        spots[i] = (struct place_spot){ .worker = worker };
      return true;
    }
  return fill_group (place, search, &group, spots);
}

bool
place_fit (struct place *place, const struct place_search *search,
           struct place_spot *spots)
{
  GPtrArray *racks = racks_of (place, search);
  struct group best = { 0 };
  guint i;

  if (search->anchor != NULL && search->span >= PLACE_SPAN_RACK)
    return fit_at_anchor (place, search, spots);
  if (search->span == PLACE_SPAN_WORKER || search->tasks == 1)
    return fit_one_worker (place, search, racks, spots);
  if (search->span == PLACE_SPAN_RACK)
    consider_racks (place, search, racks, &best);
  else if (search->span == PLACE_SPAN_ANY || racks != place->racks)
    {
      best.racks = (struct place_rack **)racks->pdata;
      best.rack_count = racks->len;
      return fill_group (place, search, &best, spots);
    }
  else
    for (i = 0; i < place->centre_list->len; i++)
      {
        struct place_centre *centre = place->centre_list->pdata[i];

        consider_together (place, search, centre->racks, &best);
      }
  if (best.room == 0)
    return false;
  return fill_group (place, search, &best, spots);
}
