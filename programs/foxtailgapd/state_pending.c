/* Table of appended records without an outcome, by record id.  */

#include "state_pending.h"

#include <glib.h>
#include <string.h>

struct pending
{
  uint8_t id[ST_ID_SIZE_BYTES];
  struct mb_box *reply;
  uint64_t token;
  int64_t started_us;
};

struct pend_table
{
  GHashTable *by_id;
  struct mt_registry *metrics;
};

enum
{
  US_PER_MS = 1000
};

static guint
id_hash (gconstpointer id)
{
  guint hash;

  memcpy (&hash, id, sizeof hash);
  return hash;
}

static gboolean
id_equal (gconstpointer left, gconstpointer right)
{
  return memcmp (left, right, ST_ID_SIZE_BYTES) == 0;
}

struct pend_table *
pend_create (struct mt_registry *metrics)
{
  struct pend_table *table = g_new0 (struct pend_table, 1);

  table->metrics = metrics;
  table->by_id = g_hash_table_new_full (id_hash, id_equal, NULL, g_free);
  return table;
}

void
pend_free (struct pend_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->by_id);
  g_free (table);
}

void
pend_add (struct pend_table *table, const uint8_t id[ST_ID_SIZE_BYTES],
          struct mb_box *reply, uint64_t token)
{
  struct pending *pending = g_new (struct pending, 1);

  memcpy (pending->id, id, ST_ID_SIZE_BYTES);
  pending->reply = reply;
  pending->token = token;
  pending->started_us = g_get_monotonic_time ();
  g_hash_table_replace (table->by_id, pending->id, pending);
}

uint32_t
pend_size (const struct pend_table *table)
{
  return g_hash_table_size (table->by_id);
}

static void
count_result (const struct pend_table *table, const struct pending *pending,
              enum msg_append_result result)
{
  static const char *const names[]
      = { [MSG_APPEND_FOLDED] = "foxtailgap_appends{result=\"folded\"}",
          [MSG_APPEND_REJECTED] = "foxtailgap_appends{result=\"not_taken\"}",
          [MSG_APPEND_UNKNOWN] = "foxtailgap_appends{result=\"unknown\"}" };
  int64_t took_us = g_get_monotonic_time () - pending->started_us;

  mt_add (table->metrics, names[result], 1);
  if (result == MSG_APPEND_FOLDED)
    mt_observe (table->metrics, "foxtailgap_append_ms",
                (uint32_t)(took_us / US_PER_MS));
}

bool
pend_answer (struct pend_table *table, const uint8_t id[ST_ID_SIZE_BYTES],
             enum msg_append_result result, enum st_verdict verdict)
{
  const struct pending *pending = g_hash_table_lookup (table->by_id, id);
  struct msg_appended *appended;

  if (pending == NULL)
    return false;
  count_result (table, pending, result);
  if (pending->reply != NULL)
    {
      appended = g_new0 (struct msg_appended, 1);
      appended->token = pending->token;
      appended->result = result;
      appended->verdict = verdict;
      mb_post (pending->reply, MSG_APPENDED, appended);
    }
  g_hash_table_remove (table->by_id, id);
  return true;
}

void
pend_answer_folded (struct pend_table *table, const struct st_state *state,
                    void (*answered) (void *ctx, const uint8_t *id), void *ctx)
{
  GList *all = g_hash_table_get_values (table->by_id);
  const struct pending *pending;
  enum st_verdict verdict;
  uint8_t id[ST_ID_SIZE_BYTES];
  GList *link;

  for (link = all; link != NULL; link = link->next)
    {
      pending = link->data;
      if (!st_recent_verdict (state, pending->id, &verdict))
        continue;
      memcpy (id, pending->id, sizeof id);
      pend_answer (table, id, MSG_APPEND_FOLDED, verdict);
      if (answered != NULL)
        answered (ctx, id);
    }
  g_list_free (all);
}
