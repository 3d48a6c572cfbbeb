/* Transfer of the folded state between entry hosts.  */

#include "peers_snapshot.h"

#include <glib.h>
#include <string.h>

#include "common/logging.h"

enum
{
  PART_SIZE_BYTES = 256 * 1024,
  PART_LIMIT = 256,
  REQUEST_INTERVAL_MS = 1000,
  SNAPSHOT_ID_SIZE_BYTES = 8
};

static const char PART[] = "peers";

struct ps_exchange
{
  struct daemon *daemon;
  struct mb_box *box;
  GHashTable *waiting; /* token -> struct fm_connection that a state was
                          requested over */
  uint64_t last_token;
  int64_t last_request_ms;
  GByteArray *received; /* the first NEXT_PART parts of one state */
  uint8_t received_id[SNAPSHOT_ID_SIZE_BYTES];
  uint32_t next_part;
};

struct ps_exchange *
ps_create (struct daemon *daemon, struct mb_box *box)
{
  struct ps_exchange *exchange = g_new0 (struct ps_exchange, 1);

  exchange->daemon = daemon;
  exchange->box = box;
  exchange->waiting
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  exchange->received = g_byte_array_new ();
  exchange->last_request_ms = -REQUEST_INTERVAL_MS;
  return exchange;
}

void
ps_free (struct ps_exchange *exchange)
{
  g_hash_table_destroy (exchange->waiting);
  g_byte_array_free (exchange->received, TRUE);
  g_free (exchange);
}

/* --- Sending --- */

static void
send_frame (struct fm_connection *connection, const Ft__PeerFrame *frame)
{
  size_t size_bytes = ft__peer_frame__get_packed_size (frame);
  uint8_t *packed = g_malloc (size_bytes);

  ft__peer_frame__pack (frame, packed);
  fm_send (connection, packed, size_bytes);
  g_free (packed);
}

bool
ps_mark_request_if_due (struct ps_exchange *exchange,
                        const struct msg_log_status *log, int64_t now_ms)
{
  if ((log->up && log->caught_up)
      || now_ms - exchange->last_request_ms < REQUEST_INTERVAL_MS)
    return false;
  exchange->last_request_ms = now_ms;
  return true;
}

void
ps_send_request (struct ps_exchange *exchange,
                 struct fm_connection *connection, uint64_t offset)
{
  Ft__SnapshotWanted wanted = FT__SNAPSHOT_WANTED__INIT;
  Ft__PeerFrame frame = FT__PEER_FRAME__INIT;

  wanted.offset = offset;
  frame.body_case = FT__PEER_FRAME__BODY_SNAPSHOT_WANTED;
  frame.snapshot_wanted = &wanted;
  send_frame (connection, &frame);
  mt_add (exchange->daemon->metrics, "foxtailgap_snapshots_asked_total", 1);
}

void
ps_on_request (struct ps_exchange *exchange, struct fm_connection *connection)
{
  struct msg_snapshot_wanted *wanted = g_new0 (struct msg_snapshot_wanted, 1);
  uint64_t *token = g_new (uint64_t, 1);

  *token = ++exchange->last_token;
  g_hash_table_insert (exchange->waiting, token, connection);
  wanted->reply = exchange->box;
  wanted->token = *token;
  mb_post (exchange->daemon->state, MSG_SNAPSHOT_WANTED, wanted);
}

void
ps_send_snapshot (struct ps_exchange *exchange,
                  const struct msg_snapshot *snapshot)
{
  struct fm_connection *connection
      = g_hash_table_lookup (exchange->waiting, &snapshot->token);
  Ft__SnapshotPart part = FT__SNAPSHOT_PART__INIT;
  Ft__PeerFrame frame = FT__PEER_FRAME__INIT;
  uint64_t id = (uint64_t)g_random_int () << 32 | g_random_int ();
  size_t sent_bytes;

  if (connection == NULL)
    return;
  g_hash_table_remove (exchange->waiting, &snapshot->token);
  part.id.data = (uint8_t *)&id;
  part.id.len = sizeof id;
  part.offset = snapshot->next_offset;
  part.parts = (uint32_t)(snapshot->size_bytes + PART_SIZE_BYTES - 1)
               / PART_SIZE_BYTES;
  frame.body_case = FT__PEER_FRAME__BODY_SNAPSHOT_PART;
  frame.snapshot_part = &part;
  for (sent_bytes = 0; sent_bytes < snapshot->size_bytes;
       sent_bytes += part.data.len)
    {
      part.data.data = snapshot->data + sent_bytes;
      part.data.len
          = MIN (snapshot->size_bytes - sent_bytes, (size_t)PART_SIZE_BYTES);
      send_frame (connection, &frame);
      part.part++;
    }
}

void
ps_on_closed (struct ps_exchange *exchange,
              const struct fm_connection *connection)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, exchange->waiting);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value == connection)
      g_hash_table_iter_remove (&iter);
}

/* --- Receiving --- */

static void
start_snapshot (struct ps_exchange *exchange, const Ft__SnapshotPart *part)
{
  g_byte_array_set_size (exchange->received, 0);
  exchange->next_part = 0;
  memcpy (exchange->received_id, part->id.data, SNAPSHOT_ID_SIZE_BYTES);
}

static void
deliver_snapshot (struct ps_exchange *exchange, uint64_t offset)
{
  struct msg_snapshot *snapshot = g_new0 (struct msg_snapshot, 1);

  lg_info (PART, "The state was received from another entry host.", "offset",
           lg_number ((long long)offset), "size_bytes",
           lg_number (exchange->received->len), NULL);
  snapshot->next_offset = offset;
  snapshot->size_bytes = exchange->received->len;
  snapshot->data
      = g_memdup2 (exchange->received->data, exchange->received->len);
  mb_post (exchange->daemon->state, MSG_SNAPSHOT, snapshot);
  g_byte_array_set_size (exchange->received, 0);
  exchange->next_part = 0;
}

void
ps_on_part (struct ps_exchange *exchange, const Ft__SnapshotPart *part)
{
  if (part->id.len != SNAPSHOT_ID_SIZE_BYTES || part->parts > PART_LIMIT
      || part->data.len > PART_SIZE_BYTES)
    return;
  if (part->part == 0)
    start_snapshot (exchange, part);
  if (memcmp (exchange->received_id, part->id.data, SNAPSHOT_ID_SIZE_BYTES)
          != 0
      || part->part != exchange->next_part)
    return; /* of a transfer that a newer one has replaced */
  g_byte_array_append (exchange->received, part->data.data,
                       (guint)part->data.len);
  exchange->next_part++;
  if (exchange->next_part == part->parts)
    deliver_snapshot (exchange, part->offset);
}
