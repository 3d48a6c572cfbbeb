/* Checks of the invariants.  The resources in use are summed up again from the
   jobs and units alone and compared with the running totals of each worker. */

#include <stdarg.h>
#include <string.h>

#include "place/place_internal.h"

/* Resources of one worker, summed up from jobs and units; the fields are those
   of struct place_worker_state.  */
struct worker_sums
{
  struct place_resource_vector used;
  struct place_resource_vector guaranteed;
  struct place_resource_vector unused_guaranteed;
  struct place_resource_vector claimed;
  struct place_resource_vector evicting;
  uint64_t busy_accelerators;
};

struct invariant_check
{
  const struct place *place;
  /* struct place_worker_state -> struct worker_sums */
  GHashTable *sums_by_worker;
  char *text;
  int error;
};

static void report_violation (struct invariant_check *check,
                              const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
report_violation (struct invariant_check *check, const char *format, ...)
{
  va_list args;

  if (check->error != PLACE_OK)
    return;
  check->error = PLACE_ERR_INVALID;
  va_start (args, format);
  g_vsnprintf (check->text, PLACE_TEXT_SIZE_BYTES, format, args);
  va_end (args);
}

static struct worker_sums *
sums_of (struct invariant_check *check, struct place_worker_state *worker)
{
  struct worker_sums *sums
      = g_hash_table_lookup (check->sums_by_worker, worker);

  if (sums == NULL)
    {
      sums = g_new0 (struct worker_sums, 1);
      g_hash_table_insert (check->sums_by_worker, worker, sums);
    }
  return sums;
}

/* ===== Jobs =================================================== */

static void
check_span (struct invariant_check *check, const struct place_job_state *job)
{
  const struct place_worker_state *first = job->locations[0].worker;
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    {
      const struct place_worker_state *worker = job->locations[i].worker;

      if (worker->rack == NULL) /* restored before its worker came up */
        return;
      if (job->shape.span >= PLACE_SPAN_DATA_CENTRE
          && worker->rack->data_centre != first->rack->data_centre)
        report_violation (check, "%.60s is in two data centres", job->id);
      if (job->shape.span >= PLACE_SPAN_RACK && worker->rack != first->rack)
        report_violation (check, "%.60s is in two racks", job->id);
      if (job->shape.span >= PLACE_SPAN_WORKER && worker != first)
        report_violation (check, "%.60s is on two workers", job->id);
      if (job->data_centre != NULL
          && worker->rack->data_centre != job->data_centre)
        report_violation (check, "%.60s is in another data centre", job->id);
    }
}

static void
check_location (struct invariant_check *check,
                const struct place_job_state *job,
                const struct place_location *location)
{
  struct worker_sums *sums = sums_of (check, location->worker);
  uint32_t bits = (uint32_t)__builtin_popcountll (location->accelerators);

  if (bits != job->per_task.accelerators)
    report_violation (
        check,
        "%.60s: a task has %u accelerators, which is not what it asks for",
        job->id, bits);
  if ((sums->busy_accelerators & location->accelerators) != 0)
    report_violation (check, "an accelerator of %.60s is used twice",
                      location->worker->name);
  sums->busy_accelerators |= location->accelerators;
  place_resources_add (&sums->used, &job->per_task);
}

static void
check_job (struct invariant_check *check, const struct place_job_state *job)
{
  bool runs
      = job->phase == PLACE_JOB_RUNNING || job->phase == PLACE_JOB_STOPPING;
  uint32_t i;

  if (job->phase == PLACE_JOB_QUEUED)
    {
      if (job->location_count != 0)
        report_violation (check, "%.60s is queued but has workers", job->id);
      return;
    }
  if (job->location_count != job->shape.tasks)
    report_violation (check, "%.60s has workers for %u of its %u tasks only",
                      job->id, job->location_count, job->shape.tasks);
  for (i = 0; i < job->location_count; i++)
    {
      struct worker_sums *sums = sums_of (check, job->locations[i].worker);

      if (runs)
        check_location (check, job, &job->locations[i]);
      else
        place_resources_add (&sums->claimed, &job->per_task);
      if (job->phase == PLACE_JOB_STOPPING)
        place_resources_add (&sums->evicting, &job->per_task);
      if (!job->borrows)
        place_resources_add (&sums->guaranteed, &job->per_task);
    }
  check_span (check, job);
  if (job->borrows && (!job->checkpointable || !job->repeatable))
    report_violation (check, "%.60s is borrowed but cannot be evicted",
                      job->id);
}

/* ===== Guarantees ============================================= */

/* The workers of a unit must be within the span of its shape.  */
static void
check_unit_span (struct invariant_check *check, const struct place_unit *unit)
{
  const struct place_worker_state *first = unit->slots[0].worker;
  uint32_t i;

  for (i = 1; i < unit->shape.tasks; i++)
    {
      const struct place_worker_state *worker = unit->slots[i].worker;

      if (worker == NULL || first == NULL)
        continue;
      if ((unit->shape.span == PLACE_SPAN_WORKER && worker != first)
          || (unit->shape.span == PLACE_SPAN_RACK
              && worker->rack != first->rack)
          || (unit->shape.span == PLACE_SPAN_DATA_CENTRE
              && worker->rack->data_centre != first->rack->data_centre))
        report_violation (
            check,
            "a guarantee of team %.60s is bound to workers outside its span",
            unit->team->name);
    }
}

static void
check_unit (struct invariant_check *check, const struct place_unit *unit)
{
  uint32_t missing = 0;
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      const struct place_slot *slot = &unit->slots[i];

      if (slot->worker == NULL)
        {
          missing++;
          continue;
        }
      if (!place_worker_usable (slot->worker) && slot->task_count == 0)
        report_violation (
            check,
            "a guarantee of team %.60s is bound to worker %.60s, which is "
            "not usable",
            unit->team->name, slot->worker->name);
      place_resources_add (&sums_of (check, slot->worker)->unused_guaranteed,
                           &slot->unused);
    }
  if (missing != unit->unbound_slot_count
      || (missing > 0 && !unit->reported_unmet))
    report_violation (
        check,
        "a guarantee of team %.60s is not fully bound, but that is not "
        "reported, or its unbound slots are miscounted",
        unit->team->name);
  check_unit_span (check, unit);
}

/* ===== Workers ================================================ */

static bool
resources_equal (const struct place_resource_vector *a,
                 const struct place_resource_vector *b)
{
  return a->cpus_milli == b->cpus_milli && a->memory_mb == b->memory_mb
         && a->accelerators == b->accelerators;
}

static void
check_worker (struct invariant_check *check, struct place_worker_state *worker)
{
  const struct worker_sums *sums = sums_of (check, worker);
  struct place_resource_vector total_guaranteed = sums->guaranteed;

  if (!resources_equal (&sums->used, &worker->used)
      || sums->busy_accelerators != worker->busy_accelerators)
    report_violation (check,
                      "the resources in use on %.60s do not match its jobs",
                      worker->name);
  if (!resources_equal (&sums->claimed, &worker->claimed)
      || !resources_equal (&sums->evicting, &worker->evicting))
    report_violation (
        check,
        "the claimed or evicting resources of %.60s do not match its jobs",
        worker->name);
  if (!resources_equal (&sums->guaranteed, &worker->guaranteed)
      || !resources_equal (&sums->unused_guaranteed,
                           &worker->unused_guaranteed))
    report_violation (
        check,
        "the guaranteed resources of %.60s do not match its jobs and units",
        worker->name);
  if (!place_worker_usable (worker) || worker->shrunk)
    return;
  if (!place_resources_cover (&worker->capacity, &sums->used))
    report_violation (check, "the jobs on %.60s use more than its capacity",
                      worker->name);
  place_resources_add (&total_guaranteed, &sums->unused_guaranteed);
  if (check->place->params.policy->has_guarantees
      && !place_resources_cover (&worker->capacity, &total_guaranteed))
    report_violation (check,
                      "the guarantees on %.60s are more than its capacity",
                      worker->name);
}

int
place_check (const struct place *place, char text[PLACE_TEXT_SIZE_BYTES])
{
  struct invariant_check check = { .place = place, .text = text };
  GHashTableIter iter;
  gpointer value;
  guint t;
  guint u;

  check.sums_by_worker
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  g_hash_table_iter_init (&iter, place->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_job (&check, value);
  for (t = 0; t < place->team_list->len && !place->units_need_binding; t++)
    {
      const struct place_team_state *team = place->team_list->pdata[t];

      for (u = 0; u < team->units->len; u++)
        check_unit (&check, team->units->pdata[u]);
    }
  for (u = 0; u < place->worker_list->len && !place->units_need_binding; u++)
    check_worker (&check, place->worker_list->pdata[u]);
  g_hash_table_destroy (check.sums_by_worker);
  return check.error;
}
