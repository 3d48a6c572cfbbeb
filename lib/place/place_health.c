/* Health of workers, and jobs that fail wherever they run.  A worker on which
   different jobs fail, and none succeeds between, is quarantined; after a time
   that doubles with each further quarantine it is probed with one job at a
   time.  A job that fails on different healthy workers is at fault itself: its
   failures then count against no worker any more.  */

#include <string.h>

#include "place/place_internal.h"

enum
{
  QUARANTINE_FAILURES_LIMIT = 3,
  /* Workers against which the failures of one job count, so that one bad job
     cannot quarantine many workers.  */
  COUNTED_WORKERS_LIMIT = 2
};

static uint32_t
quarantine_threshold (const struct place *place)
{
  uint32_t failures = place->params.quarantine_failures;

  return CLAMP (failures, 1, QUARANTINE_FAILURES_LIMIT);
}

static bool
job_counted (const struct place_worker_state *worker, uint32_t hash)
{
  uint32_t i;

  for (i = 0; i < worker->failed_job_count; i++)
    if (worker->failed_job_hashes[i] == hash)
      return true;
  return false;
}

static void
start_quarantine (struct place *place, struct place_worker_state *worker)
{
  int64_t wait_ms = (int64_t)place->params.quarantine_ms
                    << worker->quarantine_doublings;

  worker->health = PLACE_QUARANTINED;
  worker->health_until_ms = place_now (place) + wait_ms;
  worker->quarantine_doublings = MIN (worker->quarantine_doublings + 1,
                                      PLACE_QUARANTINE_DOUBLINGS_LIMIT);
  worker->health_changed = true;
  place->units_need_binding = true;
  place_update_rack_summary (worker);
}

/* Whether WORKER is among the workers on which JOB failed.  */
static bool
avoids_worker (const struct place_job_state *job,
               const struct place_worker_state *worker)
{
  uint32_t i;

  for (i = 0; i < job->avoided_worker_count; i++)
    if (job->avoided_workers[i] == worker)
      return true;
  return false;
}

static void
avoid_worker (struct place_job_state *job, struct place_worker_state *worker)
{
  uint32_t i;

  if (avoids_worker (job, worker))
    return;
  if (job->avoided_worker_count == PLACE_AVOIDED_WORKER_LIMIT)
    {
      for (i = 1; i < job->avoided_worker_count; i++)
        job->avoided_workers[i - 1] = job->avoided_workers[i];
      job->avoided_worker_count--;
    }
  job->avoided_workers[job->avoided_worker_count++] = worker;
}

/* Once a worker is quarantined, failures there count against the worker and
   not against the jobs that failed.  */
static void
uncount_job_failures (struct place *place,
                      const struct place_worker_state *worker)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, place->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct place_job_state *job = value;

      if (job->failures > 0 && avoids_worker (job, worker))
        job->failures--;
    }
}

void
place_health_failed (struct place *place, struct place_job_state *job,
                     struct place_worker_state *worker, bool ran)
{
  if (worker->health == PLACE_QUARANTINED)
    return;
  if (worker->health == PLACE_PROBING)
    {
      worker->failed_probe = true;
      start_quarantine (place, worker);
      return;
    }
  if (ran && !avoids_worker (job, worker))
    job->failures++;
  avoid_worker (job, worker);
  job->avoid_until_ms
      = place_now (place) + (int64_t)place->params.quarantine_ms;
  place->avoid_until_ms = MAX (place->avoid_until_ms, job->avoid_until_ms);
  if (job_counted (worker, job->id_hash)
      || job->counted_worker_count >= COUNTED_WORKERS_LIMIT)
    return;
  job->counted_worker_count++;
  worker->failed_job_hashes[worker->failed_job_count++] = job->id_hash;
  if (worker->failed_job_count < quarantine_threshold (place))
    return;
  start_quarantine (place, worker);
  uncount_job_failures (place, worker);
}

static void
declare_healthy (struct place *place, struct place_worker_state *worker)
{
  worker->health = PLACE_HEALTHY;
  worker->failed_probe = false;
  worker->health_changed = true;
  place->units_need_binding = true;
  place_update_rack_summary (worker);
}

void
place_health_clear_job (struct place *place, const struct place_job_state *job)
{
  guint i;

  for (i = 0; i < place->worker_list->len; i++)
    {
      struct place_worker_state *worker = place->worker_list->pdata[i];
      uint32_t b;

      for (b = 0; b < worker->failed_job_count; b++)
        if (worker->failed_job_hashes[b] == job->id_hash)
          worker->failed_job_hashes[b--]
              = worker->failed_job_hashes[--worker->failed_job_count];
      if (worker->health != PLACE_HEALTHY && !worker->failed_probe
          && worker->failed_job_count < quarantine_threshold (place))
        {
          worker->quarantine_doublings = 0;
          declare_healthy (place, worker);
        }
    }
}

void
place_health_succeeded (struct place *place, struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    {
      struct place_worker_state *worker = job->locations[i].worker;

      worker->failed_job_count = 0;
      if (worker->health != PLACE_PROBING)
        continue;
      worker->quarantine_doublings = 0;
      declare_healthy (place, worker);
    }
}

/* Begins the probing of a quarantined worker, or ends it if no job has come to
   the worker in the meantime.  */
static void
advance_quarantine (struct place *place, struct place_worker_state *worker,
                    int64_t now)
{
  if (worker->health == PLACE_QUARANTINED)
    {
      worker->health = PLACE_PROBING;
      worker->health_changed = true;
      worker->health_until_ms = now + place->params.quarantine_ms;
      place_update_rack_summary (worker);
      return;
    }
  if (worker->jobs->len > 0)
    {
      worker->health_until_ms = now + place->params.quarantine_ms;
      return;
    }
  /* No probe has succeeded: one more failure quarantines the worker again.  */
  worker->failed_job_count = quarantine_threshold (place) - 1;
  memset (worker->failed_job_hashes, 0, sizeof worker->failed_job_hashes);
  declare_healthy (place, worker);
}

static void
emit_health_command (struct place *place, struct place_worker_state *worker)
{
  struct place_command *command;
  bool quarantined = worker->health == PLACE_QUARANTINED;

  worker->health_changed = false;
  command = place_add_command (place, quarantined ? PLACE_QUARANTINE
                                                  : PLACE_LIFT_QUARANTINE);
  command->worker = place_copy_text (place, worker->name);
  if (quarantined)
    command->reason = "different jobs failed on it and none succeeded";
  else if (worker->health == PLACE_PROBING)
    command->reason = "is probed with one job at a time";
  else
    command->reason = "is trusted again";
}

void
place_health_round (struct place *place)
{
  int64_t now = place_now (place);
  guint i;

  for (i = 0; i < place->worker_list->len; i++)
    {
      struct place_worker_state *worker = place->worker_list->pdata[i];

      if (worker->health != PLACE_HEALTHY && now >= worker->health_until_ms)
        advance_quarantine (place, worker, now);
      if (worker->health_changed)
        emit_health_command (place, worker);
    }
}

int64_t
place_health_next_ms (const struct place *place)
{
  int64_t next = INT64_MAX;
  guint i;

  for (i = 0; i < place->worker_list->len; i++)
    {
      const struct place_worker_state *worker = place->worker_list->pdata[i];

      if (worker->health != PLACE_HEALTHY)
        next = MIN (next, worker->health_until_ms);
    }
  return next;
}
