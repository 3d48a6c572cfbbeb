/* Finds jobs that can never run, with the reason and the nearest shape that
   could run.  */

#include <string.h>

#include "place/place_internal.h"

static bool
fits_idle_workers (struct place *place, const struct place_job_state *job,
                   uint32_t tasks)
{
  struct place_location locations[PLACE_TASK_LIMIT];
  struct place_search search = { .tasks = tasks,
                                 .per_task = job->per_task,
                                 .span = job->shape.span,
                                 .data_centre = job->data_centre,
                                 .free_rule = PLACE_FREE_WHOLE_CAPACITY };

  return place_fit (place, &search, locations);
}

/* The largest number of the job's tasks that fit on the idle workers.  */
static uint32_t
max_tasks_on_workers (struct place *place, const struct place_job_state *job)
{
  uint32_t low = 0;
  uint32_t high = MIN (job->shape.tasks, PLACE_TASK_LIMIT);

  while (low < high)
    {
      uint32_t middle = low + (high - low + 1) / 2;

      if (fits_idle_workers (place, job, middle))
        low = middle;
      else
        high = middle - 1;
    }
  return low;
}

static double
satisfied_fraction (int64_t have, int64_t want)
{
  if (want <= 0 || have >= want)
    return 1;
  return (double)have / (double)want;
}

/* The task closest to the job's that fits on one idle worker.  Closest: the
   product of the satisfied fractions of all resources is the greatest.  */
static struct place_resources
nearest_feasible_task (const struct place *place,
                       const struct place_job_state *job)
{
  struct place_resources best = { 0 };
  double best_fraction = -1;
  guint i;

  for (i = 0; i < place->worker_list->len; i++)
    {
      const struct place_worker_state *worker = place->worker_list->pdata[i];
      const struct place_resource_vector *have = &worker->capacity;
      double fraction;

      if (worker->rack == NULL
          || (job->data_centre != NULL
              && worker->rack->data_centre != job->data_centre))
        continue;
      fraction
          = satisfied_fraction (have->accelerators, job->per_task.accelerators)
            * satisfied_fraction (have->cpus_milli, job->per_task.cpus_milli)
            * satisfied_fraction (have->memory_mb, job->per_task.memory_mb);
      if (fraction <= best_fraction)
        continue;
      best_fraction = fraction;
      best.accelerators
          = (uint32_t)MIN (have->accelerators, job->per_task.accelerators);
      best.cpus_milli
          = (uint32_t)MIN (have->cpus_milli, job->per_task.cpus_milli);
      best.memory_mb
          = (uint32_t)MIN (have->memory_mb, job->per_task.memory_mb);
    }
  return best;
}

static int
check_workers (struct place *place, const struct place_job_state *job,
               char text[PLACE_TEXT_SIZE_BYTES])
{
  struct place_shape nearest = job->shape;
  char shape[PLACE_TEXT_SIZE_BYTES];
  const char *reason = "no permitted workers are enough together";

  if (job->shape.tasks > PLACE_TASK_LIMIT)
    reason = "a gang is that large at most";
  else if (place->racks->len == 0
           || fits_idle_workers (place, job, job->shape.tasks))
    return PLACE_OK;
  nearest.tasks = max_tasks_on_workers (place, job);
  if (place->racks->len == 0)
    nearest.tasks = PLACE_TASK_LIMIT;
  if (nearest.tasks == 0)
    {
      nearest.tasks = 1;
      nearest.task = nearest_feasible_task (place, job);
      reason = "no permitted worker is large enough for one task";
    }
  place_shape_text (&nearest, shape, sizeof shape);
  g_snprintf (text, PLACE_TEXT_SIZE_BYTES,
              "%s; the nearest that could run: %.150s", reason, shape);
  return PLACE_ERR_INFEASIBLE;
}

/* ===== Quota ================================================== */

static uint32_t
tasks_in_quota (const struct place_job_state *job)
{
  struct place_resource_vector quota = job->team->quota;

  if (quota.cpus_milli == 0)
    quota.cpus_milli = INT64_MAX;
  if (quota.memory_mb == 0)
    quota.memory_mb = INT64_MAX;
  if (quota.accelerators == 0)
    quota.accelerators = INT64_MAX;
  return place_resources_fit_count (&quota, &job->per_task, job->shape.tasks);
}

static int
check_quota (const struct place_job_state *job,
             char text[PLACE_TEXT_SIZE_BYTES])
{
  struct place_shape nearest = job->shape;
  const struct place_resource_vector *quota = &job->team->quota;
  uint32_t tasks = tasks_in_quota (job);
  char shape[PLACE_TEXT_SIZE_BYTES];

  if (tasks >= job->shape.tasks)
    return PLACE_OK;
  nearest.tasks = MAX (tasks, 1);
  if (tasks == 0 && quota->accelerators > 0)
    nearest.task.accelerators
        = MIN (nearest.task.accelerators, (uint32_t)quota->accelerators);
  if (tasks == 0 && quota->cpus_milli > 0)
    nearest.task.cpus_milli
        = MIN (nearest.task.cpus_milli, (uint32_t)quota->cpus_milli);
  if (tasks == 0 && quota->memory_mb > 0)
    nearest.task.memory_mb
        = MIN (nearest.task.memory_mb, (uint32_t)quota->memory_mb);
  place_shape_text (&nearest, shape, sizeof shape);
  g_snprintf (text, PLACE_TEXT_SIZE_BYTES,
              "it is above the quota of team %.60s; the nearest that could "
              "run: %.120s",
              job->team->name, shape);
  return PLACE_ERR_INFEASIBLE;
}

/* ===== Guarantees ============================================= */

/* Whether a unit could be bound in the data centre that the job names.  */
static bool
unit_fits_centre (struct place *place, const struct place_unit *unit,
                  const struct place_job_state *job)
{
  struct place_location locations[PLACE_TASK_LIMIT];
  struct place_search search
      = place_unit_search (unit, PLACE_FREE_WHOLE_CAPACITY);

  if (job->data_centre == NULL || place->racks->len == 0)
    return true;
  search.data_centre = job->data_centre;
  return place_fit (place, &search, locations);
}

static uint32_t
tasks_in_unit (struct place *place, const struct place_unit *unit,
               const struct place_job_state *job)
{
  if (unit->shape.span < job->shape.span
      || !unit_fits_centre (place, unit, job))
    return 0;
  return place_resources_fit_count (&unit->per_task, &job->per_task,
                                    PLACE_TASK_LIMIT)
         * unit->shape.tasks;
}

/* Whether the units of its team could hold a job that may not borrow.  */
static int
check_guarantees (struct place *place, const struct place_job_state *job,
                  char text[PLACE_TEXT_SIZE_BYTES])
{
  GPtrArray *units = job->team->units;
  struct place_shape nearest = job->shape;
  char shape[PLACE_TEXT_SIZE_BYTES] = "none: the team has no guarantee";
  uint32_t together = 0;
  uint32_t most = 0;
  guint i;

  for (i = 0; i < units->len; i++)
    {
      uint32_t tasks = tasks_in_unit (place, units->pdata[i], job);

      together += MIN (tasks, PLACE_TASK_LIMIT);
      most = MAX (most, tasks);
    }
  if (job->shape.span == PLACE_SPAN_ANY && job->data_centre == NULL)
    most = MAX (most, together);
  if (most >= job->shape.tasks)
    return PLACE_OK;
  nearest.tasks = most;
  if (most == 0 && units->len > 0)
    nearest = ((struct place_unit *)units->pdata[0])->shape;
  if (units->len > 0)
    place_shape_text (&nearest, shape, sizeof shape);
  g_snprintf (text, PLACE_TEXT_SIZE_BYTES,
              "it may not borrow and no guarantee of its team holds it; the "
              "nearest that could run: %.120s",
              shape);
  return PLACE_ERR_INFEASIBLE;
}

int
place_check_feasible_in_team (struct place *place,
                              const struct place_job_state *job,
                              char text[PLACE_TEXT_SIZE_BYTES])
{
  int error = check_quota (job, text);

  if (error == PLACE_OK && place->params.policy->has_guarantees
      && !place_may_borrow (job))
    error = check_guarantees (place, job, text);
  return error;
}

int
place_check_feasible (struct place *place, const struct place_job_state *job,
                      char text[PLACE_TEXT_SIZE_BYTES])
{
  int error = check_workers (place, job, text);

  return error == PLACE_OK ? place_check_feasible_in_team (place, job, text)
                           : error;
}
