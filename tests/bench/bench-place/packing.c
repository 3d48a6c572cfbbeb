/* Random sets of guarantees that fit by their sums: how many buddy cells
   accept, how many the joint packing test does, and how many an exhaustive
   search proves to fit or not to fit.  */

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
  LEVELS = 8           /* cells of 1, 2, 4, 8 accelerators, 2, 4, 8 workers */
};

/* A set of shapes that takes a part of all accelerators.  */
struct set
{
  struct place_guarantee shapes[64];
  size_t count;
};

/* SKEWED: also shapes that are no power of two.  */
static void
draw_set (uint64_t *seed, bool skewed, uint32_t percent, struct set *set)
{
  static const uint32_t EVEN[] = { 1, 2, 4, 8 };
  static const uint32_t SKEWED[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
  uint32_t limit = WORKERS * ACCELERATORS * percent / 100;
  uint32_t total = 0;

  set->count = 0;
  while (set->count < G_N_ELEMENTS (set->shapes))
    {
      struct place_guarantee *one = &set->shapes[set->count];
      uint32_t tasks = bp_draw (seed, 3) > 0 ? 1 : 1 + bp_draw (seed, 4);
      uint32_t each
          = skewed ? SKEWED[bp_draw (seed, 8)] : EVEN[bp_draw (seed, 4)];

      if (!skewed && tasks == 3)
        tasks = 4;
      if (total + tasks * each > limit)
        break;
      total += tasks * each;
      *one = (struct place_guarantee){
        .shape = { .tasks = tasks,
                   .task = { .accelerators = each },
                   .span = tasks > 1 ? PLACE_SPAN_RACK : PLACE_SPAN_WORKER },
        .count = 1
      };
      set->count++;
    }
}

static bool
joint_accepts (const struct set *set, double *took_us)
{
  struct place_worker workers[WORKERS];
  char names[WORKERS][8];
  char text[PLACE_TEXT_SIZE_BYTES];
  struct place_team team = { .name = "team",
                             .weight = 1,
                             .guarantees = set->shapes,
                             .guarantee_count = set->count };
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
  started_us = bp_now_us ();
  error = place_check_guarantees (&team, 1, workers, WORKERS, text);
  *took_us += bp_now_us () - started_us;
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

/* Buddy cells: free cells of each level are split as needed, the largest
   shapes first.  */
static bool
buddy_accepts (const struct set *set)
{
  uint32_t free[LEVELS] = { 0 };
  int level;
  size_t i;

  free[6] = WORKERS / RACK_WORKERS; /* 64 accelerators: a rack */
  for (level = 6; level >= 0; level--)
    for (i = 0; i < set->count; i++)
      {
        int from = level;

        if (cell_level (&set->shapes[i].shape) != level)
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

struct exact
{
  const struct place_guarantee *shapes[64];
  size_t count;
  uint32_t free[WORKERS];
  uint32_t nodes;
};

static bool exact_shape (struct exact *e, size_t at);

/* Places the tasks that are left of a shape, each on a worker no earlier
   than the one before.  */
static bool
exact_task (struct exact *e, size_t at, uint32_t left, int from, int end)
{
  uint32_t each = e->shapes[at]->shape.task.accelerators;
  uint32_t tried = 0; /* amounts free that were tried, as bits */
  int w;

  if (left == 0)
    return exact_shape (e, at + 1);
  for (w = from; w < end; w++)
    {
      bool again = left == e->shapes[at]->shape.tasks
                   && (tried >> e->free[w] & 1) != 0;

      if (e->free[w] < each || again || e->nodes++ > NODE_LIMIT)
        continue;
      tried |= UINT32_C (1) << e->free[w];
      e->free[w] -= each;
      if (exact_task (e, at, left - 1, w, end))
        return true;
      e->free[w] += each;
    }
  return false;
}

static bool
exact_shape (struct exact *e, size_t at)
{
  uint32_t tasks;
  int rack;

  if (at == e->count)
    return true;
  tasks = e->shapes[at]->shape.tasks;
  if (tasks == 1)
    return exact_task (e, at, 1, 0, WORKERS);
  for (rack = 0; rack < WORKERS; rack += RACK_WORKERS)
    if (exact_task (e, at, tasks, rack, rack + RACK_WORKERS))
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

/* 1: fits; 0: does not; -1: not known within the limit.  */
static int
exact_accepts (const struct set *set)
{
  struct exact e = { .count = set->count };
  size_t i;

  for (i = 0; i < WORKERS; i++)
    e.free[i] = ACCELERATORS;
  for (i = 0; i < set->count; i++)
    e.shapes[i] = &set->shapes[i];
  qsort (e.shapes, e.count, sizeof (void *), compare_shapes);
  if (exact_shape (&e, 0))
    return 1;
  return e.nodes > NODE_LIMIT ? -1 : 0;
}

static void
compare_on (bool skewed, uint32_t percent, GString *json)
{
  uint64_t seed = 17;
  uint32_t joint = 0;
  uint32_t buddy = 0;
  uint32_t only_buddy = 0;
  uint32_t fits = 0;
  uint32_t unknown = 0;
  double took_us = 0;
  int i;

  for (i = 0; i < SETS; i++)
    {
      struct set set;
      bool by_joint;
      bool by_buddy;

      draw_set (&seed, skewed, percent, &set);
      by_joint = joint_accepts (&set, &took_us);
      by_buddy = buddy_accepts (&set);
      joint += by_joint;
      buddy += by_buddy;
      only_buddy += by_buddy && !by_joint;
      if (by_joint)
        {
          fits++;
          continue;
        }
      fits += exact_accepts (&set) == 1;
      unknown += exact_accepts (&set) < 0;
    }
  g_print ("%-14s %3u%%  %5.1f%%  %5.1f%%  %5.1f%%  %5.1f%%  %8u  %8.0f\n",
           skewed ? "any size" : "powers of two", percent,
           100.0 * buddy / SETS, 100.0 * joint / SETS, 100.0 * fits / SETS,
           100.0 * unknown / SETS, only_buddy, took_us / SETS);
  g_string_append_printf (
      json,
      "%s{\"shapes\":\"%s\",\"percent\":%u,\"sets\":%d,\"buddy\":%u,"
      "\"joint\":%u,\"fits\":%u,\"unknown\":%u,\"buddy_only\":%u,\"joint_us\":"
      "%.1f}",
      json->str[json->len - 1] == '[' ? "" : ",", skewed ? "any" : "even",
      percent, SETS, buddy, joint, fits, unknown, only_buddy, took_us / SETS);
}

void
bp_packing (GString *json)
{
  static const uint32_t PERCENTS[] = { 60, 80, 90, 100 };
  size_t i;

  g_print ("guarantees    asked   buddy   joint    fits unknown  only buddy  "
           "joint us\n");
  for (i = 0; i < G_N_ELEMENTS (PERCENTS); i++)
    compare_on (false, PERCENTS[i], json);
  for (i = 0; i < G_N_ELEMENTS (PERCENTS); i++)
    compare_on (true, PERCENTS[i], json);
}
