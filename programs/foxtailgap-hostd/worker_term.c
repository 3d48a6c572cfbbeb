/* How long the term is known to hold while the store does not answer, and
   from when on the leases of an earlier planner are counted; the decisions are
   in lib/worker/term_proof.h.  */

#include "worker/term_proof.h"

#include "common/clock.h"
#include "common/logging.h"
#include "workers_private.h"

static const char PART[] = "workers";

enum
{
  /* Several heartbeats of the planner.  From then on also idle workers are
     polled, for their answers are needed as a proof.  */
  STORE_SILENT_MS = 1000,
  PROOF_INTERVAL_MS = 50, /* between two computations */
  /* A lease is extended by a proof that is up to two polls old, and must last
     until the next poll is sent.  */
  POLLS_PER_LEASE = 5
};

static int64_t
stored_ms (const struct worker_calls *workers, int64_t now_ms)
{
  return workers->params.term_stored_ms == NULL
             ? now_ms
             : workers->params.term_stored_ms (workers->params.ctx);
}

bool
wk_needs_proof (const struct worker_calls *workers, int64_t now_ms)
{
  return now_ms - stored_ms (workers, now_ms) > STORE_SILENT_MS;
}

uint32_t
wk_proof_wait_ms (const struct worker_calls *workers)
{
  return workers->params.lease_limit_ms / POLLS_PER_LEASE;
}

/* A process that has started since then may have forgotten the next planner's
   calls.  */
static bool
is_witness (const struct worker_io *io, int64_t since_ms)
{
  return io != NULL && io->answered_renewal_sent_ms > 0
         && io->process_seen_ms <= since_ms;
}

static int64_t
compute_proved_ms (const struct worker_calls *workers, int64_t now_ms)
{
  const GPtrArray *all = sd_workers (workers->params.sched);
  int64_t since_ms = stored_ms (workers, now_ms);
  int64_t *answered_ms = g_new (int64_t, all->len);
  size_t answered = 0;
  size_t listed = 0;
  int64_t proved_ms;
  guint i;

  for (i = 0; i < all->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (all, i);
      const struct worker_io *io = worker->driver_data;

      if (!worker->listed)
        continue;
      listed++;
      if (is_witness (io, since_ms))
        answered_ms[answered++] = io->answered_renewal_sent_ms;
    }
  proved_ms = tp_proved_ms (since_ms, answered_ms, answered, listed);
  g_free (answered_ms);
  return proved_ms;
}

int64_t
wk_lease_allowance_ms (struct worker_calls *workers, int64_t now_ms)
{
  int64_t proved_ms = stored_ms (workers, now_ms);
  int64_t left_ms;

  if (wk_needs_proof (workers, now_ms))
    {
      if (now_ms - workers->proof_computed_ms >= PROOF_INTERVAL_MS)
        {
          workers->proved_ms = compute_proved_ms (workers, now_ms);
          workers->proof_computed_ms = now_ms;
        }
      proved_ms = MAX (proved_ms, workers->proved_ms);
    }
  left_ms = proved_ms + workers->params.lease_limit_ms - now_ms;
  if ((left_ms > 0) != workers->may_extend_leases)
    {
      workers->may_extend_leases = left_ms > 0;
      lg_warning (PART,
                  left_ms > 0
                      ? "The term is known to hold again; leases are renewed."
                      : "The term may be over; no lease is renewed.",
                  "proved_ms_ago", lg_number (now_ms - proved_ms), NULL);
    }
  return MAX (left_ms, 0);
}

/* --- Leases of an earlier planner --- */

void
wk_begin_counting_leases (struct worker_calls *workers, int64_t now_ms)
{
  workers->term_began_ms = now_ms;
  workers->leases_counted = false;
  workers->list_read = false;
  workers->may_extend_leases = true;
  workers->proved_ms = 0;
  workers->proof_computed_ms = 0;
}

bool
wk_lease_is_uncounted (const struct worker_io *io)
{
  return !io->workers->leases_counted && io->answered_renewal_sent_ms == 0
         && !io->lease_adopted;
}

int64_t
wk_uncounted_lease_start_ms (const struct worker_calls *workers)
{
  return workers->term_began_ms + TP_WITHOUT_STORE_WAIT_MS;
}

void
wk_worker_list_read (struct worker_calls *workers)
{
  const GPtrArray *all = sd_workers (workers->params.sched);
  guint i;

  if (workers->list_read)
    return;
  workers->list_read = true;
  for (i = 0; i < all->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (all, i);

      wk_io (workers, worker)->in_first_list = worker->listed;
    }
  wk_count_leases_if_due (workers, clk_monotonic_ms (NULL));
}

static void
count_leases (struct worker_calls *workers, int64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, workers->ios);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct worker_io *io = value;

      if (wk_lease_is_uncounted (io))
        wk_extend_lease_to_limit (io, now_ms);
    }
  workers->leases_counted = true;
}

void
wk_count_leases_if_due (struct worker_calls *workers, int64_t now_ms)
{
  size_t listed = 0;
  size_t reached = 0;
  GHashTableIter iter;
  void *value;

  if (workers->leases_counted || !workers->list_read)
    return;
  g_hash_table_iter_init (&iter, workers->ios);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct worker_io *io = value;

      listed += io->in_first_list;
      reached += io->in_first_list && io->answered_renewal_sent_ms > 0;
    }
  if (!tp_has_reached_enough (reached, listed))
    return;
  count_leases (workers, now_ms);
  lg_info (PART, "Leases of an earlier planner are counted from now on.",
           "reached", lg_number ((long long)reached), "listed",
           lg_number ((long long)listed), NULL);
}
