/* Arithmetic on resources (processors, memory, accelerators) and comparison
   of shapes.  */

#include "place/place_internal.h"

struct place_resource_vector
place_resources_convert (const struct place_resources *from)
{
  struct place_resource_vector amount = { .cpus_milli = from->cpus_milli,
                                          .memory_mb = from->memory_mb,
                                          .accelerators = from->accelerators };

  return amount;
}

void
place_resources_add (struct place_resource_vector *to,
                     const struct place_resource_vector *what)
{
  to->cpus_milli += what->cpus_milli;
  to->memory_mb += what->memory_mb;
  to->accelerators += what->accelerators;
}

void
place_resources_subtract (struct place_resource_vector *to,
                          const struct place_resource_vector *what)
{
  to->cpus_milli -= what->cpus_milli;
  to->memory_mb -= what->memory_mb;
  to->accelerators -= what->accelerators;
}

struct place_resource_vector
place_resources_multiply (const struct place_resource_vector *what, int64_t n)
{
  struct place_resource_vector amount
      = { .cpus_milli = what->cpus_milli * n,
          .memory_mb = what->memory_mb * n,
          .accelerators = what->accelerators * n };

  return amount;
}

bool
place_resources_cover (const struct place_resource_vector *have,
                       const struct place_resource_vector *need)
{
  return have->cpus_milli >= need->cpus_milli
         && have->memory_mb >= need->memory_mb
         && have->accelerators >= need->accelerators;
}

/* How many times EACH fits into HAVE, at most LIMIT.  A resource that is not
   needed sets no bound.  */
static int64_t
fit_count_of (int64_t have, int64_t each, int64_t limit)
{
  if (each <= 0)
    return limit;
  if (have < each)
    return 0;
  return MIN (have / each, limit);
}

uint32_t
place_resources_fit_count (const struct place_resource_vector *have,
                           const struct place_resource_vector *each,
                           uint32_t limit)
{
  int64_t n = fit_count_of (have->accelerators, each->accelerators, limit);

  if (n > 0)
    n = fit_count_of (have->cpus_milli, each->cpus_milli, n);
  if (n > 0)
    n = fit_count_of (have->memory_mb, each->memory_mb, n);
  return (uint32_t)n;
}

struct place_resource_vector
place_resources_min (const struct place_resource_vector *a,
                     const struct place_resource_vector *b)
{
  struct place_resource_vector amount
      = { .cpus_milli = MIN (a->cpus_milli, b->cpus_milli),
          .memory_mb = MIN (a->memory_mb, b->memory_mb),
          .accelerators = MIN (a->accelerators, b->accelerators) };

  return amount;
}

/* A single task is always on one worker.  A job of one task therefore needs
   no span, and a guarantee of one task satisfies the narrowest span.  */
void
place_shape_normalise (struct place_shape *shape, bool guarantee)
{
  if (shape->tasks == 1)
    shape->span = guarantee ? PLACE_SPAN_WORKER : PLACE_SPAN_ANY;
}

bool
place_shape_equal (const struct place_shape *a, const struct place_shape *b)
{
  return a->tasks == b->tasks && a->span == b->span
         && a->task.cpus_milli == b->task.cpus_milli
         && a->task.memory_mb == b->task.memory_mb
         && a->task.accelerators == b->task.accelerators;
}
