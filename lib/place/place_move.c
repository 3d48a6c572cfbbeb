/* Binds unused units to workers that are free now, either to workers that no
   unit is bound to or in exchange with another unit of the same shape.  */

#include "place/place_internal.h"

enum
{
  EXCHANGE_LIMIT = 512 /* units examined for one exchange */
};

bool
place_worker_excluded (const struct place_job_state *job,
                       const struct place_worker_state *worker)
{
  uint32_t i;

  if (!place_worker_usable (worker))
    return true;
  if (job->data_centre != NULL
      && worker->rack->data_centre != job->data_centre)
    return true;
  for (i = 0; i < job->avoided_worker_count; i++)
    if (job->avoided_workers[i] == worker)
      return true;
  return false;
}

bool
place_unit_free_for (const struct place_unit *unit,
                     const struct place_job_state *job)
{
  struct place_resource_vector free;
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      if (unit->slots[i].worker == NULL
          || place_worker_excluded (job, unit->slots[i].worker))
        return false;
      free = place_available_resources (unit->slots[i].worker, PLACE_FREE_NOW);
      if (!place_resources_cover (&free, &unit->per_task))
        return false;
    }
  return true;
}

static void
swap_workers (struct place_unit *a, struct place_unit *b)
{
  struct place_location locations_a[PLACE_TASK_LIMIT] = { 0 };
  struct place_location locations_b[PLACE_TASK_LIMIT] = { 0 };
  uint32_t i;

  for (i = 0; i < a->shape.tasks; i++)
    {
      locations_a[i].worker = a->slots[i].worker;
      locations_b[i].worker = b->slots[i].worker;
    }
  place_unit_unbind (a);
  place_unit_unbind (b);
  place_unit_bind (a, locations_b);
  place_unit_bind (b, locations_a);
}

/* Exchanges the workers of an unused unit with those of another unused unit of
   the same shape, if that one's workers are free and JOB may use them.  */
static bool
exchange_unit (struct place *place, struct place_unit *unit,
               const struct place_job_state *job)
{
  int examined = 0;
  guint t;
  guint u;

  for (t = 0; t < place->team_list->len; t++)
    {
      struct place_team_state *team = place->team_list->pdata[t];

      for (u = 0; u < team->units->len; u++)
        {
          struct place_unit *other = team->units->pdata[u];

          if (other == unit || other->task_count > 0
              || other->unbound_slot_count > 0
              || !place_shape_equal (&other->shape, &unit->shape))
            continue;
          if (examined++ >= EXCHANGE_LIMIT)
            return false;
          if (!place_unit_free_for (other, job))
            continue;
          swap_workers (unit, other);
          return true;
        }
    }
  return false;
}

bool
place_unit_move_to_free (struct place *place, struct place_unit *unit,
                         const struct place_job_state *job)
{
  struct place_search search
      = place_unit_search (unit, PLACE_FREE_NOW_UNGUARANTEED);
  struct place_location before[PLACE_TASK_LIMIT] = { 0 };
  struct place_location locations[PLACE_TASK_LIMIT];
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    before[i].worker = unit->slots[i].worker;
  place_unit_unbind (unit);
  search.data_centre = job->data_centre;
  search.job = job;
  if (place_fit (place, &search, locations))
    {
      place_unit_bind (unit, locations);
      return true;
    }
  place_unit_bind (unit, before);
  return exchange_unit (place, unit, job);
}
