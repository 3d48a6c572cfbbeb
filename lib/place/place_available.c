/* Resources of a worker that are available for different purposes, and the
   choice of its accelerators for a task.  */

#include "place/place_internal.h"

/* Capacity that no running job uses and that is not held for a job that waits
   for evictions.  May be negative if the worker shrank.  */
static struct place_resource_vector
free_now (const struct place_worker_state *worker)
{
  struct place_resource_vector free = worker->capacity;

  place_resources_subtract (&free, &worker->used);
  place_resources_subtract (&free, &worker->claimed);
  return free;
}

/* Capacity outside all guarantees, both those used by jobs and those unused.
   Borrowed work counts as available, because it can be evicted.  */
static struct place_resource_vector
not_guaranteed (const struct place_worker_state *worker)
{
  struct place_resource_vector left = worker->capacity;

  place_resources_subtract (&left, &worker->guaranteed);
  place_resources_subtract (&left, &worker->unused_guaranteed);
  return left;
}

struct place_resource_vector
place_available_resources (const struct place_worker_state *worker,
                           enum place_free_rule free_rule)
{
  struct place_resource_vector free;
  struct place_resource_vector left;

  switch (free_rule)
    {
    case PLACE_FREE_NOW:
      return free_now (worker);
    case PLACE_FREE_UNGUARANTEED:
      return not_guaranteed (worker);
    case PLACE_FREE_WHOLE_CAPACITY:
      return worker->capacity;
    case PLACE_FREE_NOW_UNGUARANTEED:
      break;
    }
  free = free_now (worker);
  left = not_guaranteed (worker);
  return place_resources_min (&free, &left);
}

/* Returns a mask of COUNT adjacent bits that are set in FREE and start at a
   multiple of STEP, or 0 if there are none.  */
static uint64_t
find_adjacent (uint64_t free, uint32_t count, uint32_t step)
{
  uint64_t block = count >= 64 ? UINT64_MAX : (UINT64_C (1) << count) - 1;
  uint32_t at;

  for (at = 0; at + count <= PLACE_ACCELERATOR_LIMIT; at += step)
    if (((free >> at) & block) == block)
      return block << at;
  return 0;
}

uint64_t
place_pick_accelerators (const struct place_worker_state *worker,
                         uint32_t count)
{
  uint32_t have = (uint32_t)worker->capacity.accelerators;
  uint64_t all = have >= 64 ? UINT64_MAX : (UINT64_C (1) << have) - 1;
  uint64_t free = all & ~worker->busy_accelerators;
  uint64_t picked;

  if (count == 0)
    return 0;
  picked = find_adjacent (free, count, count);
  if (picked == 0)
    picked = find_adjacent (free, count, 1);
  while (picked == 0 || (uint32_t)__builtin_popcountll (picked) < count)
    {
      uint64_t bit = free & ~picked;

      g_assert (bit != 0);
      picked |= bit & (~bit + 1);
    }
  return picked;
}
