/* Information for operators: the state of a job, statistics, error texts.  */

#include <string.h>

#include "place/place_internal.h"

static uint32_t
queue_position (const struct place_job_state *job)
{
  GPtrArray *queue = job->urgent ? job->team->urgent_queue : job->team->queue;
  guint at = 0;

  if (!g_ptr_array_find (queue, job, &at))
    return 0;
  return at + 1;
}

static void
explain_queued (const struct place *place, const struct place_job_state *job,
                char text[PLACE_TEXT_SIZE_BYTES])
{
  const char *reason = job->wait_reason == NULL ? "waits for the next round"
                                                : job->wait_reason;

  if (job->reservation == NULL)
    {
      g_snprintf (text, PLACE_TEXT_SIZE_BYTES,
                  "%s; number %u of its team's%s queue", reason,
                  queue_position (job), job->urgent ? " urgent" : "");
      return;
    }
  g_snprintf (text, PLACE_TEXT_SIZE_BYTES,
              "%s: %u workers, expected to be free in %" G_GINT64_FORMAT " s",
              reason, job->reservation->workers->len,
              MAX (job->reservation->expected_start_ms - place_now (place), 0)
                  / 1000);
}

static const char *
guarantee_note (const struct place *place, const struct place_job_state *job)
{
  if (!place->params.policy->has_guarantees)
    return "";
  if (job->borrows)
    return ", borrowed: may be evicted";
  if (job->locations[0].slot == NULL)
    return ", beyond a guarantee that was taken back";
  return ", within its team's guarantee";
}

static void
explain_placed (const struct place *place, const struct place_job_state *job,
                char text[PLACE_TEXT_SIZE_BYTES])
{
  const char *state = "runs";
  uint32_t workers = 0;
  uint32_t i;

  for (i = 0; i < job->location_count; i++)
    workers
        += i == 0 || job->locations[i].worker != job->locations[i - 1].worker;
  if (job->phase == PLACE_JOB_STOPPING)
    state = "is being stopped for the owner of its workers; ran";
  g_snprintf (text, PLACE_TEXT_SIZE_BYTES, "%s on %u workers (%.80s%s)%s",
              state, workers, job->locations[0].worker->name,
              workers > 1 ? ", ..." : "", guarantee_note (place, job));
}

int
place_explain (const struct place *place, const char *job,
               char text[PLACE_TEXT_SIZE_BYTES])
{
  const struct place_job_state *state = g_hash_table_lookup (place->jobs, job);

  if (state == NULL)
    return PLACE_ERR_UNKNOWN;
  switch (state->phase)
    {
    case PLACE_JOB_QUEUED:
      explain_queued (place, state, text);
      break;
    case PLACE_JOB_CLAIMING:
      g_snprintf (text, PLACE_TEXT_SIZE_BYTES, "%s", state->wait_reason);
      break;
    case PLACE_JOB_RUNNING:
    case PLACE_JOB_STOPPING:
      explain_placed (place, state, text);
      break;
    }
  return PLACE_OK;
}

/* ===== Statistics ============================================= */

static void
add_rack_stats (const struct place_rack *rack, struct place_stats *stats,
                uint32_t *whole_free)
{
  uint32_t block = 0;
  guint i;

  for (i = 0; i < rack->workers->len; i++)
    {
      const struct place_worker_state *worker = rack->workers->pdata[i];
      int64_t have = worker->capacity.accelerators;
      int64_t free = have - worker->used.accelerators;

      if (!worker->up)
        continue;
      stats->accelerators += (uint32_t)have;
      if (!place_worker_usable (worker) || free <= 0)
        continue;
      stats->accelerators_free += (uint32_t)free;
      if (free == have)
        block += (uint32_t)free;
    }
  *whole_free += block;
  stats->largest_block = MAX (stats->largest_block, block);
}

void
place_stats (const struct place *place, struct place_stats *stats)
{
  uint32_t whole_free = 0;
  GHashTableIter iter;
  gpointer value;
  guint i;

  memset (stats, 0, sizeof *stats);
  for (i = 0; i < place->racks->len; i++)
    add_rack_stats (place->racks->pdata[i], stats, &whole_free);
  g_hash_table_iter_init (&iter, place->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct place_job_state *job = value;

      if (job->borrows && job->phase >= PLACE_JOB_RUNNING)
        stats->accelerators_borrowed
            += (uint32_t)job->per_task.accelerators * job->shape.tasks;
    }
  stats->running = place->running_count;
  stats->queued = g_hash_table_size (place->jobs) - place->running_count;
  if (stats->accelerators_free > 0)
    stats->fragmentation = 1.0 - (double)whole_free / stats->accelerators_free;
}

const char *
place_strerror (int error)
{
  switch ((enum place_error)error)
    {
    case PLACE_OK:
      return "no error";
    case PLACE_ERR_MEMORY:
      return "out of memory";
    case PLACE_ERR_UNKNOWN:
      return "no such job, team or worker";
    case PLACE_ERR_EXISTS:
      return "the job is known already";
    case PLACE_ERR_INFEASIBLE:
      return "the job can never run";
    case PLACE_ERR_CONFLICT:
      return "guarantees cannot all be met together";
    case PLACE_ERR_INVALID:
      return "a value is out of its bounds";
    }
  return "unknown error";
}
