/* The record of unreachable workers' leases, for the next planner.  It guards
   against this case: workers crash, and before their leases are over the
   planner's host loses power too.  Without the record the next planner does
   not know when these leases were last renewed, and the tasks of these workers
   would wait for one more whole lease.  */

#include "common/clock.h"
#include "workers_private.h"

enum
{
  /* The next planner may wait this much too long for the end of a lease.  */
  LEASE_RECORD_INTERVAL_MS = 500,
  /* A start that was sent before the worker's lease was recorded may be sent
     again for 1.2 s, and allows its run to go on for as long.  */
  RECENT_START_LEASE_MS = 1700
};

static bool
may_have_runs (const struct worker_io *io, int64_t now_ms)
{
  return io->worker->tasks->len > 0 && now_ms <= wk_lease_end_ms (io);
}

/* Whether the lease of a worker is needed in the record: the worker may have
   runs, and is unreachable or known from stored records only.  A worker that
   is in the record stays there until it is reachable again.  */
static bool
must_record_lease (const struct worker_io *io, int64_t now_ms)
{
  bool unknown = io->worker->reachability == SD_WORKER_UNSEEN
                 && io->worker->report.address == NULL;

  if (io->worker->reachability == SD_WORKER_REACHABLE)
    return false;
  /* While leases are not counted, when this one ends is not known.  */
  if (!may_have_runs (io, now_ms) || wk_lease_is_uncounted (io))
    return false;
  return unknown || wk_renewal_is_suspended (io, now_ms) || io->lease_recorded;
}

bool
wk_lease_record_is_due (const struct worker_calls *workers)
{
  int64_t now_ms = clk_monotonic_ms (NULL);
  bool again
      = now_ms - workers->leases_collected_ms >= LEASE_RECORD_INTERVAL_MS;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, workers->ios);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct worker_io *io = value;
      bool wanted = must_record_lease (io, now_ms);

      if (wanted != io->lease_recorded || (wanted && again))
        return true;
    }
  return false;
}

static uint32_t
remaining_lease_ms (const struct worker_io *io, int64_t now_ms)
{
  int64_t left = wk_lease_end_ms (io) - now_ms;

  if (now_ms - io->lease_recorded_ms < RECENT_START_LEASE_MS)
    left = MAX (left, RECENT_START_LEASE_MS);
  return (uint32_t)MAX (left, 0);
}

GHashTable *
wk_collect_leases (struct worker_calls *workers)
{
  GHashTable *list
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  int64_t now_ms = clk_monotonic_ms (NULL);
  GHashTableIter iter;
  void *value;

  workers->leases_collected_ms = now_ms;
  g_hash_table_iter_init (&iter, workers->ios);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct worker_io *io = value;

      if (!must_record_lease (io, now_ms))
        continue;
      if (!io->lease_recorded)
        io->lease_recorded_ms = now_ms;
      io->lease_recorded = true;
      g_hash_table_insert (list, g_strdup (io->worker->report.id),
                           GUINT_TO_POINTER (remaining_lease_ms (io, now_ms)));
    }
  return list;
}

void
wk_leases_stored (struct worker_calls *workers, GHashTable *list)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, workers->ios);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct worker_io *io = value;

      if (!g_hash_table_contains (list, io->worker->report.id))
        io->lease_recorded = false;
    }
  g_hash_table_destroy (list);
}

void
wk_adopt_recorded_lease (struct worker_io *io, GHashTable *leases,
                         int64_t now_ms)
{
  void *left = NULL;

  if (leases == NULL
      || !g_hash_table_lookup_extended (leases, io->worker->report.id, NULL,
                                        &left))
    return;
  /* Nobody has renewed the lease since that record, and the record is some
     time old, so the lease ends no later than this.  */
  io->lease_end_ms = now_ms + GPOINTER_TO_UINT (left);
  io->lease_adopted = true;
  io->lease_recorded = true;
  io->lease_recorded_ms = now_ms;
}
