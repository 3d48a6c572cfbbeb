/* Expiry, by the log's time, of folded record ids, ended jobs and claims.  */

#include <string.h>

#include "state/state_private.h"

/* ===== Record ids ============================================= */

/* Ids are random, so their first bytes are a good hash.  */
static guint
id_hash (gconstpointer key)
{
  const struct st_recent_id *entry = key;
  guint hash;

  memcpy (&hash, entry->id, sizeof hash);
  return hash;
}

static gboolean
id_equal (gconstpointer left, gconstpointer right)
{
  const struct st_recent_id *a = left;
  const struct st_recent_id *b = right;

  return memcmp (a->id, b->id, ST_ID_SIZE_BYTES) == 0;
}

void
st_recent_ids_init (struct st_state *state)
{
  g_queue_init (&state->recent_order);
  state->recent_ids = g_hash_table_new (id_hash, id_equal);
}

static void
drop_oldest_recent_id (struct st_state *state)
{
  GList *link = g_queue_pop_head_link (&state->recent_order);

  g_hash_table_remove (state->recent_ids, link->data);
  g_free (link->data);
}

void
st_recent_ids_clear (struct st_state *state)
{
  while (!g_queue_is_empty (&state->recent_order))
    drop_oldest_recent_id (state);
}

void
st_recent_id_add (struct st_state *state, const uint8_t *id, int64_t time_ms,
                  enum st_verdict verdict)
{
  struct st_recent_id *entry = g_new0 (struct st_recent_id, 1);

  memcpy (entry->id, id, ST_ID_SIZE_BYTES);
  entry->time_ms = time_ms;
  entry->verdict = verdict;
  entry->link.data = entry;
  g_queue_push_tail_link (&state->recent_order, &entry->link);
  g_hash_table_add (state->recent_ids, entry);
  if (state->recent_order.length > ST_RECENT_ID_LIMIT)
    drop_oldest_recent_id (state);
}

const struct st_recent_id *
st_recent_id_find (const struct st_state *state, const uint8_t *id)
{
  struct st_recent_id wanted;

  memcpy (wanted.id, id, ST_ID_SIZE_BYTES);
  return g_hash_table_lookup (state->recent_ids, &wanted);
}

static void
drop_expired_ids (struct st_state *state)
{
  const struct st_recent_id *oldest;

  while ((oldest = g_queue_peek_head (&state->recent_order)) != NULL
         && state->time_ms - oldest->time_ms >= ST_RECENT_ID_WINDOW_MS)
    drop_oldest_recent_id (state);
}

/* ===== Ended jobs and claims ================================== */

void
st_expiry_add (struct st_state *state, bool is_claim, const char *name,
               int64_t changed_ms)
{
  struct st_expiry *expiry = g_new (struct st_expiry, 1);

  expiry->changed_ms = changed_ms;
  expiry->is_claim = is_claim;
  expiry->name = st_text_share ((char *)name);
  g_queue_push_tail (&state->expiries, expiry);
}

void
st_expiry_free (struct st_expiry *expiry)
{
  st_text_release (expiry->name);
  g_free (expiry);
}

static void
drop_expired_job (struct st_state *state, const struct st_expiry *expiry)
{
  GList *link = g_hash_table_lookup (state->jobs, expiry->name);
  struct st_job *job;

  if (link == NULL)
    return;
  job = &((struct st_stored_job *)link->data)->job;
  if (!st_job_has_ended (job) || job->changed_ms != expiry->changed_ms)
    return;
  g_hash_table_remove (state->jobs, expiry->name);
  g_queue_delete_link (&state->job_order, link);
  st_job_unref (job);
  if (state->observer.on_job_dropped != NULL)
    state->observer.on_job_dropped (state->observer.ctx, expiry->name);
}

static void
drop_expired_claim (struct st_state *state, const struct st_expiry *expiry)
{
  GList *link = g_hash_table_lookup (state->claims, expiry->name);
  struct st_claim *claim;

  if (link == NULL)
    return;
  claim = &((struct st_stored_claim *)link->data)->claim;
  if (claim->changed_ms != expiry->changed_ms)
    return;
  g_hash_table_remove (state->claims, expiry->name);
  g_queue_delete_link (&state->claim_order, link);
  st_claim_unref (claim);
  if (state->observer.on_claim_dropped != NULL)
    state->observer.on_claim_dropped (state->observer.ctx, expiry->name);
}

void
st_expire (struct st_state *state)
{
  struct st_expiry *oldest;

  drop_expired_ids (state);
  while ((oldest = g_queue_peek_head (&state->expiries)) != NULL
         && state->time_ms - oldest->changed_ms >= state->outcome_window_ms)
    {
      g_queue_pop_head (&state->expiries);
      if (oldest->is_claim)
        drop_expired_claim (state, oldest);
      else
        drop_expired_job (state, oldest);
      st_expiry_free (oldest);
    }
}
