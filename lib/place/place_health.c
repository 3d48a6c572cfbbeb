/* Bad workers and bad jobs.  A worker on which different jobs fail, and none
   succeeds between, is quarantined and probed after a time that doubles.  A
   job that fails on different good workers takes its blame with it.  */

#include <string.h>

#include "place/place_inner.h"

enum
{
  QUARANTINE_FAILURES_LIMIT = 3,
  TESTIMONY_LIMIT = 2 /* workers that one job may accuse */
};

static uint32_t
threshold (const struct place *place)
{
  uint32_t failures = place->params.quarantine_failures;

  return CLAMP (failures, 1, QUARANTINE_FAILURES_LIMIT);
}

static bool
blamed_by (const struct place_worker_state *worker, uint32_t hash)
{
  uint32_t i;

  for (i = 0; i < worker->blame_count; i++)
    if (worker->blame[i] == hash)
      return true;
  return false;
}

static void
quarantine (struct place *place, struct place_worker_state *worker)
{
  int64_t wait_ms = (int64_t)place->params.quarantine_ms << worker->backoff;

  worker->health = PLACE_QUARANTINED;
  worker->quarantine_until_ms = place_now (place) + wait_ms;
  worker->backoff = MIN (worker->backoff + 1, PLACE_BACKOFF_LIMIT);
  worker->announce = true;
  place->dirty = true;
  place_touch (worker);
}

/* Whether JOB is known to have failed on WORKER already.  */
static bool
remembered (const struct place_job_state *job,
            const struct place_worker_state *worker)
{
  uint32_t i;

  for (i = 0; i < job->failed_count; i++)
    if (job->failed[i] == worker)
      return true;
  return false;
}

static void
remember (struct place_job_state *job, struct place_worker_state *worker)
{
  uint32_t i;

  if (remembered (job, worker))
    return;
  if (job->failed_count == PLACE_FAILED_WORKER_LIMIT)
    {
      for (i = 1; i < job->failed_count; i++)
        job->failed[i - 1] = job->failed[i];
      job->failed_count--;
    }
  job->failed[job->failed_count++] = worker;
}

/* A failure on a worker that was then found bad says nothing of the job.  */
static void
clear_jobs (struct place *place, const struct place_worker_state *worker)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, place->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct place_job_state *job = value;

      if (job->failures > 0 && remembered (job, worker))
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
      worker->proven = true;
      quarantine (place, worker);
      return;
    }
  if (ran && !remembered (job, worker))
    job->failures++;
  remember (job, worker);
  job->failed_until_ms
      = place_now (place) + (int64_t)place->params.quarantine_ms;
  place->unbar_ms = MAX (place->unbar_ms, job->failed_until_ms);
  if (blamed_by (worker, job->hash) || job->accused >= TESTIMONY_LIMIT)
    return;
  job->accused++;
  worker->blame[worker->blame_count++] = job->hash;
  if (worker->blame_count < threshold (place))
    return;
  quarantine (place, worker);
  clear_jobs (place, worker);
}

static void
trust (struct place *place, struct place_worker_state *worker)
{
  worker->health = PLACE_HEALTHY;
  worker->proven = false;
  worker->announce = true;
  place->dirty = true;
  place_touch (worker);
}

void
place_health_absolve (struct place *place, const struct place_job_state *job)
{
  guint i;

  for (i = 0; i < place->worker_list->len; i++)
    {
      struct place_worker_state *worker = place->worker_list->pdata[i];
      uint32_t b;

      for (b = 0; b < worker->blame_count; b++)
        if (worker->blame[b] == job->hash)
          worker->blame[b--] = worker->blame[--worker->blame_count];
      if (worker->health != PLACE_HEALTHY && !worker->proven
          && worker->blame_count < threshold (place))
        {
          worker->backoff = 0;
          trust (place, worker);
        }
    }
}

void
place_health_succeeded (struct place *place, struct place_job_state *job)
{
  uint32_t i;

  for (i = 0; i < job->spot_count; i++)
    {
      struct place_worker_state *worker = job->spots[i].worker;

      worker->blame_count = 0;
      if (worker->health != PLACE_PROBING)
        continue;
      worker->backoff = 0;
      trust (place, worker);
    }
}

/* Begins a probe, or ends one that nothing came to.  */
static void
advance (struct place *place, struct place_worker_state *worker, int64_t now)
{
  if (worker->health == PLACE_QUARANTINED)
    {
      worker->health = PLACE_PROBING;
      worker->announce = true;
      worker->quarantine_until_ms = now + place->params.quarantine_ms;
      place_touch (worker);
      return;
    }
  if (worker->jobs->len > 0)
    {
      worker->quarantine_until_ms = now + place->params.quarantine_ms;
      return;
    }
  /* One more failure is enough to quarantine it again.  */
  worker->blame_count = threshold (place) - 1;
  memset (worker->blame, 0, sizeof worker->blame);
  trust (place, worker);
}

static void
announce (struct place *place, struct place_worker_state *worker)
{
  struct place_command *command;
  bool bad = worker->health == PLACE_QUARANTINED;

  worker->announce = false;
  command = place_emit (place, bad ? PLACE_QUARANTINE : PLACE_RELEASE);
  command->worker = place_text (place, worker->name);
  if (bad)
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

      if (worker->health != PLACE_HEALTHY
          && now >= worker->quarantine_until_ms)
        advance (place, worker, now);
      if (worker->announce)
        announce (place, worker);
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
        next = MIN (next, worker->quarantine_until_ms);
    }
  return next;
}
