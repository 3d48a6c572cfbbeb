/* Random sets of guarantees whose sums fit the workers: how many are accepted
   by buddy cells and by the joint packing test, and how many an exhaustive
   search proves to fit.  */

#include <stdlib.h>
#include <string.h>

#include "bench.h"

enum
{
  SETS = 400,
  WORKERS = 16, /* two racks of eight */
  RACK_WORKERS = 8,
  ACCELERATORS = 8,
  NODE_LIMIT = 200000, /* of one exhaustive search */
  /* Cells of 1, 2, 4 and 8 accelerators, and of 2, 4 and 8 workers; no cell
     is of the eighth level.  */
  LEVELS = 8
};

/* Guarantees that together ask for a part of all accelerators.  */
struct guarantee_set
{
  struct place_guarantee shapes[64];
  size_t count;
};

/* Draws a set that asks for at most PERCENT of all accelerators.  ANY_SIZE:
   a task has 1 to 8 accelerators and a guarantee 1 to 4 tasks; otherwise both
   are powers of two.  */
static void
draw_set (uint64_t *seed, bool any_size, uint32_t percent,
          struct guarantee_set *guarantee_set)
{
  static const uint32_t POWERS_OF_TWO[] = { 1, 2, 4, 8 };
  static const uint32_t ALL_SIZES[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
  uint32_t limit = WORKERS * ACCELERATORS * percent / 100;
  uint32_t total = 0;

  guarantee_set->count = 0;
  while (guarantee_set->count < G_N_ELEMENTS (guarantee_set->shapes))
    {
      struct place_guarantee *one
          = &guarantee_set->shapes[guarantee_set->count];
      uint32_t tasks = bp_random (seed, 3) > 0 ? 1 : 1 + bp_random (seed, 4);
      uint32_t accelerators_per_task
          = any_size ? ALL_SIZES[bp_random (seed, 8)]
                     : POWERS_OF_TWO[bp_random (seed, 4)];

      if (!any_size && tasks == 3)
        tasks = 4;
      if (total + tasks * accelerators_per_task > limit)
        break;
      total += tasks * accelerators_per_task;
      *one = (struct place_guarantee){
        .shape = { .tasks = tasks,
                   .task = { .accelerators = accelerators_per_task },
                   .span = tasks > 1 ? PLACE_SPAN_RACK : PLACE_SPAN_WORKER },
        .count = 1
      };
      guarantee_set->count++;
    }
}

static bool
joint_accepts (const struct guarantee_set *guarantee_set, double *took_us)
{
  struct place_worker workers[WORKERS];
  char names[WORKERS][8];
  char text[PLACE_TEXT_SIZE_BYTES];
  struct place_team team = { .name = "team",
                             .weight = 1,
                             .guarantees = guarantee_set->shapes,
                             .guarantee_count = guarantee_set->count };
  double started_us;
  int error;
  int i;

  for (i = 0; i < WORKERS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "w%d", i);
      workers[i]
          = (struct place_worker){ .name = names[i],
                                   .rack = i < RACK_WORKERS ? "r0" : "r1",
                                   .data_centre = "c0",
                                   .capacity = { 0, 0, ACCELERATORS } };
    }
  started_us = bp_cpu_us ();
  error = place_check_guarantees (&team, 1, workers, WORKERS, text);
  *took_us += bp_cpu_us () - started_us;
  return error == PLACE_OK;
}

/* The level of the smallest cell that holds a shape.  */
static int
cell_level (const struct place_shape *shape)
{
  uint32_t size = shape->task.accelerators;
  uint32_t cell = 1;
  uint32_t tasks = 1;
  int level = 0;

  while (cell < size)
    {
      cell *= 2;
      level++;
    }
  while (tasks < shape->tasks)
    {
      tasks *= 2;
      level++;
    }
  return level;
}

/* Whether buddy cells hold the set: a free cell is split in halves as needed,
   for the largest shapes first.  */
static bool
buddy_accepts (const struct guarantee_set *guarantee_set)
{
  uint32_t free[LEVELS] = { 0 };
  int level;
  size_t i;

  free[6] = WORKERS / RACK_WORKERS; /* 64 accelerators: a rack */
  for (level = 6; level >= 0; level--)
    for (i = 0; i < guarantee_set->count; i++)
      {
        int from = level;

        if (cell_level (&guarantee_set->shapes[i].shape) != level)
          continue;
        while (from < LEVELS && free[from] == 0)
          from++;
        if (from == LEVELS)
          return false;
        for (; from > level; from--)
          {
            free[from]--;
            free[from - 1] += 2;
          }
        free[level]--;
      }
  return true;
}

/* ===== Exhaustive search ====================================== */

struct packing_search
{
  const struct place_guarantee *shapes[64];
  size_t count;
  uint32_t free[WORKERS];
  uint32_t nodes;
};

static bool search_shape (struct packing_search *e, size_t at);

/* Places the remaining tasks of shape AT on the workers FROM to END - 1, each
   on a worker no earlier than the one before, and then the other shapes.  */
static bool
search_task (struct packing_search *e, size_t at, uint32_t remaining_tasks,
             int from, int end)
{
  uint32_t accelerators_per_task = e->shapes[at]->shape.task.accelerators;
  uint32_t tried = 0; /* bit N: a worker with N free was tried */
  int w;

  if (remaining_tasks == 0)
    return search_shape (e, at + 1);
  for (w = from; w < end; w++)
    {
      bool same_free_tried = remaining_tasks == e->shapes[at]->shape.tasks
                             && (tried >> e->free[w] & 1) != 0;

      if (e->free[w] < accelerators_per_task || same_free_tried
          || e->nodes++ > NODE_LIMIT)
        continue;
      tried |= UINT32_C (1) << e->free[w];
      e->free[w] -= accelerators_per_task;
      if (search_task (e, at, remaining_tasks - 1, w, end))
        return true;
      e->free[w] += accelerators_per_task;
    }
  return false;
}

static bool
search_shape (struct packing_search *e, size_t at)
{
  uint32_t tasks;
  int rack;

  if (at == e->count)
    return true;
  tasks = e->shapes[at]->shape.tasks;
  if (tasks == 1)
    return search_task (e, at, 1, 0, WORKERS);
  for (rack = 0; rack < WORKERS; rack += RACK_WORKERS)
    if (search_task (e, at, tasks, rack, rack + RACK_WORKERS))
      return true;
  return false;
}

static int
compare_shapes (const void *a, const void *b)
{
  const struct place_shape *left
      = &(*(const struct place_guarantee *const *)a)->shape;
  const struct place_shape *right
      = &(*(const struct place_guarantee *const *)b)->shape;
  uint32_t l = left->tasks * left->task.accelerators;
  uint32_t r = right->tasks * right->task.accelerators;

  return (l < r) - (l > r);
}

/* Returns 1 if the set fits, 0 if it does not, -1 if NODE_LIMIT was reached
   first.  */
static int
search_accepts (const struct guarantee_set *guarantee_set)
{
  struct packing_search e = { .count = guarantee_set->count };
  size_t i;

  for (i = 0; i < WORKERS; i++)
    e.free[i] = ACCELERATORS;
  for (i = 0; i < guarantee_set->count; i++)
    e.shapes[i] = &guarantee_set->shapes[i];
  qsort (e.shapes, e.count, sizeof (void *), compare_shapes);
  if (search_shape (&e, 0))
    return 1;
  return e.nodes > NODE_LIMIT ? -1 : 0;
}

static void
compare_packing (bool any_size, uint32_t percent, GString *json)
{
  uint64_t seed = 17;
  uint32_t joint = 0;
  uint32_t buddy = 0;
  uint32_t buddy_only = 0;
  uint32_t fits = 0;
  uint32_t unknown = 0;
  double took_us = 0;
  int i;

  for (i = 0; i < SETS; i++)
    {
      struct guarantee_set guarantee_set;
      bool by_joint;
      bool by_buddy;

      draw_set (&seed, any_size, percent, &guarantee_set);
      by_joint = joint_accepts (&guarantee_set, &took_us);
      by_buddy = buddy_accepts (&guarantee_set);
      joint += by_joint;
      buddy += by_buddy;
      buddy_only += by_buddy && !by_joint;
      if (by_joint)
        {
          fits++;
          continue;
        }
      fits += search_accepts (&guarantee_set) == 1;
      unknown += search_accepts (&guarantee_set) < 0;
    }
  g_print ("%-14s %3u%%  %5.1f%%  %5.1f%%  %5.1f%%  %5.1f%%  %8u  %8.0f\n",
           any_size ? "any size" : "powers of two", percent,
           100.0 * buddy / SETS, 100.0 * joint / SETS, 100.0 * fits / SETS,
           100.0 * unknown / SETS, buddy_only, took_us / SETS);
  g_string_append_printf (
      json,
      "%s{\"shapes\":\"%s\",\"percent\":%u,\"sets\":%d,\"buddy\":%u,"
      "\"joint\":%u,\"fits\":%u,\"unknown\":%u,\"buddy_only\":%u,\"joint_us\":"
      "%.1f}",
      json->str[json->len - 1] == '[' ? "" : ",", any_size ? "any" : "even",
      percent, SETS, buddy, joint, fits, unknown, buddy_only, took_us / SETS);
}

void
bp_compare_packing (GString *json)
{
  static const uint32_t PERCENTS[] = { 60, 80, 90, 100 };
  size_t i;

  g_print ("guarantees    asked   buddy   joint    fits unknown  only buddy  "
           "joint us\n");
  for (i = 0; i < G_N_ELEMENTS (PERCENTS); i++)
    compare_packing (false, PERCENTS[i], json);
  for (i = 0; i < G_N_ELEMENTS (PERCENTS); i++)
    compare_packing (true, PERCENTS[i], json);
}
