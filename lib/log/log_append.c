/* Appends by group commit: records gather while an append is in flight, and
   one append carries all that wait.  A record that may have been taken is
   sent again under the same id, which the fold drops the second time.  */

#include <string.h>

#include "common/logging.h"
#include "log/log_private.h"

enum
{
  HTTP_CREATED = 201,
  HTTP_TOO_MANY_REQUESTS = 429,
  HTTP_SERVICE_UNAVAILABLE = 503,
  MS_PER_S = 1000
};

/* Appends a second of one client, when the log refuses some for their rate. */
static const double RATE_MIN_PER_S = 1.0;
static const double RATE_INCREASE_PER_S = 10.0; /* in each second */
static const double RATE_DECREASE = 0.7;        /* by each refusal */

/* ===== Entries ================================================ */

/* Ids are random, so that any of their bytes make a hash.  */
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
  return memcmp (left, right, LOG_ID_SIZE_BYTES) == 0;
}

static gint
compare_deadlines (gconstpointer left, gconstpointer right, gpointer ctx)
{
  const struct log_entry *a = left;
  const struct log_entry *b = right;

  (void)ctx;
  return (a->deadline_ms > b->deadline_ms) - (a->deadline_ms < b->deadline_ms);
}

static void
entry_free (struct log_entry *entry)
{
  g_free (entry->batch);
  g_free (entry);
}

/* Forgets an entry; one in flight is freed after the call.  */
static void
entry_remove (struct log_client *client, struct log_entry *entry)
{
  g_hash_table_remove (client->entries, entry->id);
  g_sequence_remove (entry->deadline);
  if (entry->is_waiting)
    g_queue_unlink (&client->waiting, &entry->link);
  entry->is_waiting = false;
  if (entry->in_flight)
    entry->done = true;
  else
    entry_free (entry);
}

static void
entry_wait (struct log_client *client, struct log_entry *entry, bool first)
{
  entry->is_waiting = true;
  if (first)
    g_queue_push_head_link (&client->waiting, &entry->link);
  else
    g_queue_push_tail_link (&client->waiting, &entry->link);
}

/* ===== Deadlines ============================================== */

static void
arm_deadline (struct log_client *client)
{
  const struct log_entry *entry;
  GSequenceIter *begin = g_sequence_get_begin_iter (client->deadlines);

  if (g_sequence_iter_is_end (begin))
    {
      ev_timer_stop (client->params.loop, &client->deadline);
      return;
    }
  entry = g_sequence_get (begin);
  log_timer_start (client, &client->deadline,
                   entry->deadline_ms - log_now_ms ());
}

static void
give_up (struct log_client *client, struct log_entry *entry)
{
  bool unknown = entry->in_flight || entry->maybe_taken;
  uint8_t id[LOG_ID_SIZE_BYTES];
  void (*failed) (void *, const uint8_t *, int) = entry->failed;
  void *ctx = entry->ctx;

  memcpy (id, entry->id, sizeof id);
  entry_remove (client, entry);
  if (failed != NULL)
    failed (ctx, id, unknown ? LOG_ERR_UNKNOWN : LOG_ERR_DOWN);
}

static void
on_deadline (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct log_client *client = watcher->data;
  GSequenceIter *begin;
  struct log_entry *entry;

  (void)loop;
  (void)events;
  for (;;)
    {
      begin = g_sequence_get_begin_iter (client->deadlines);
      if (g_sequence_iter_is_end (begin))
        break;
      entry = g_sequence_get (begin);
      if (entry->deadline_ms > log_now_ms ())
        break;
      give_up (client, entry);
    }
  arm_deadline (client);
}

/* ===== Calls ================================================== */

/* Records gather for the commit time at least, and until the append before
   has been answered and its pace allows another.  */
static void
schedule (struct log_client *client)
{
  int64_t wait_ms = client->send_after_ms - log_now_ms ();

  if (client->append_call != NULL || g_queue_is_empty (&client->waiting)
      || ev_is_active (&client->commit))
    return;
  log_timer_start (client, &client->commit,
                   MAX (wait_ms, (int64_t)client->params.commit_ms));
}

/* Moves what fits into one append from the waiting entries to the batch.  */
static GByteArray *
take_batch (struct log_client *client)
{
  GByteArray *bytes = g_byte_array_new ();
  struct log_entry *entry;

  while ((entry = g_queue_peek_head (&client->waiting)) != NULL)
    {
      if (bytes->len > 0
          && bytes->len + entry->size_bytes > LOG_BATCH_SIZE_BYTES)
        break;
      g_queue_unlink (&client->waiting, &entry->link);
      entry->is_waiting = false;
      entry->in_flight = true;
      g_byte_array_append (bytes, entry->batch, (guint)entry->size_bytes);
      g_ptr_array_add (client->batch, entry);
    }
  return bytes;
}

/* What one answer says of the append.  */
enum append_fate
{
  FATE_TAKEN,
  FATE_REFUSED, /* nothing was written */
  FATE_UNKNOWN
};

static enum append_fate
fate_of (const struct hc_response *response)
{
  if (response->error != HC_OK)
    return response->maybe_sent ? FATE_UNKNOWN : FATE_REFUSED;
  switch (response->status)
    {
    case HTTP_CREATED:
      return FATE_TAKEN;
    case HTTP_TOO_MANY_REQUESTS:
    case HTTP_SERVICE_UNAVAILABLE:
      return FATE_REFUSED;
    default:
      return FATE_UNKNOWN;
    }
}

/* Backwards, so that what is to be sent again keeps its order.  */
static void
settle_batch (struct log_client *client, enum append_fate fate)
{
  struct log_entry *entry;

  while (client->batch->len > 0)
    {
      entry = g_ptr_array_steal_index (client->batch, client->batch->len - 1);
      entry->in_flight = false;
      if (entry->done)
        {
          entry_free (entry);
          continue;
        }
      if (fate != FATE_REFUSED)
        entry->maybe_taken = true;
      if (fate != FATE_TAKEN)
        entry_wait (client, entry, true);
    }
}

/* Additive increase by time, multiplicative decrease by refusals: the hosts
   that share the log come to equal shares.  */
static void
adapt_rate (struct log_client *client, bool refused)
{
  double limit_per_s = (double)MS_PER_S / MAX (client->params.commit_ms, 1);
  int64_t now_ms = log_now_ms ();
  double elapsed_s = (double)(now_ms - client->rate_ms) / MS_PER_S;

  client->rate_ms = now_ms;
  if (refused)
    client->rate_per_s *= RATE_DECREASE;
  else
    client->rate_per_s += RATE_INCREASE_PER_S * MIN (elapsed_s, 1.0);
  client->rate_per_s = CLAMP (client->rate_per_s, RATE_MIN_PER_S, limit_per_s);
}

static uint32_t
next_delay_ms (struct log_client *client, const struct hc_response *response,
               enum append_fate fate)
{
  bool overloaded = response->status == HTTP_TOO_MANY_REQUESTS;
  double pace_ms;

  if (fate != FATE_TAKEN && !overloaded)
    return log_retry_ms (++client->append_failures);
  client->append_failures = 0;
  adapt_rate (client, overloaded);
  pace_ms = MS_PER_S / client->rate_per_s;
  if (overloaded)
    pace_ms *= g_random_double_range (0.5, 1.0);
  return (uint32_t)pace_ms;
}

static void
on_appended (void *ctx, const struct hc_response *response)
{
  struct log_client *client = ctx;
  enum append_fate fate = fate_of (response);
  bool overloaded = response->status == HTTP_TOO_MANY_REQUESTS;

  client->append_call = NULL;
  client->stats.refused += fate == FATE_REFUSED;
  client->stats.unknown += fate == FATE_UNKNOWN;
  settle_batch (client, fate);
  client->send_after_ms
      = log_now_ms () + next_delay_ms (client, response, fate);
  schedule (client);
  if (fate == FATE_TAKEN || overloaded)
    log_call_succeeded (client, client->append_number);
  else
    log_call_failed (client, "append",
                     response->error != HC_OK ? hc_strerror (response->error)
                                              : lg_number (response->status));
}

static void
send_batch (struct log_client *client)
{
  GByteArray *bytes = take_batch (client);
  struct hc_request request
      = { .method = "POST",
          .url = client->url,
          .body = bytes->data,
          .body_size_bytes = bytes->len,
          .timeout_ms = client->params.timeout_ms,
          .connect_timeout_ms
          = MIN (client->params.timeout_ms, LOG_CONNECT_TIMEOUT_MS),
          .response_limit_bytes = LOG_ANSWER_LIMIT_BYTES,
          .callback = on_appended,
          .ctx = client };

  client->append_number = log_call_started (client);
  client->stats.appends++;
  client->stats.records += client->batch->len;
  client->stats.write_bytes += bytes->len;
  if (hc_send (client->params.http, &request, &client->append_call) != HC_OK)
    {
      client->append_call = NULL;
      settle_batch (client, FATE_REFUSED);
      client->send_after_ms
          = log_now_ms () + log_retry_ms (++client->append_failures);
      schedule (client);
    }
  g_byte_array_free (bytes, TRUE);
}

static void
on_commit (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct log_client *client = watcher->data;

  (void)loop;
  (void)events;
  if (client->append_call == NULL && !g_queue_is_empty (&client->waiting))
    send_batch (client);
}

/* ===== Interface ============================================== */

int
log_append (struct log_client *client, const Ft__Record *record,
            uint32_t deadline_ms,
            void (*failed) (void *ctx, const uint8_t id[16], int error),
            void *ctx)
{
  Ft__Record *records[1] = { (Ft__Record *)record };
  Ft__Batch batch = FT__BATCH__INIT;
  struct log_entry *entry;

  batch.n_records = 1;
  batch.records = records;
  if (record->id.len != LOG_ID_SIZE_BYTES)
    return LOG_ERR_INVALID;
  if (ft__batch__get_packed_size (&batch) > LOG_RECORD_LIMIT_BYTES)
    return LOG_ERR_TOO_LARGE;
  entry = g_new0 (struct log_entry, 1);
  memcpy (entry->id, record->id.data, LOG_ID_SIZE_BYTES);
  entry->size_bytes = ft__batch__get_packed_size (&batch);
  entry->batch = g_malloc (entry->size_bytes);
  ft__batch__pack (&batch, entry->batch);
  entry->deadline_ms = log_now_ms () + deadline_ms;
  entry->failed = failed;
  entry->ctx = ctx;
  entry->link.data = entry;
  g_hash_table_insert (client->entries, entry->id, entry);
  entry->deadline = g_sequence_insert_sorted (client->deadlines, entry,
                                              compare_deadlines, NULL);
  entry_wait (client, entry, false);
  schedule (client);
  if (g_sequence_iter_is_begin (entry->deadline))
    arm_deadline (client);
  return LOG_OK;
}

void
log_settle (struct log_client *client, const uint8_t id[16])
{
  struct log_entry *entry = g_hash_table_lookup (client->entries, id);

  if (entry != NULL)
    entry_remove (client, entry);
}

void
log_flush (struct log_client *client)
{
  if (client->append_call != NULL || g_queue_is_empty (&client->waiting))
    return;
  ev_timer_stop (client->params.loop, &client->commit);
  send_batch (client);
}

void
log_appends_init (struct log_client *client)
{
  client->entries = g_hash_table_new (id_hash, id_equal);
  client->deadlines = g_sequence_new (NULL);
  client->batch = g_ptr_array_new ();
  client->rate_per_s = (double)MS_PER_S / MAX (client->params.commit_ms, 1);
  client->rate_ms = log_now_ms ();
  g_queue_init (&client->waiting);
  ev_init (&client->commit, on_commit);
  client->commit.data = client;
  ev_init (&client->deadline, on_deadline);
  client->deadline.data = client;
}

void
log_appends_clear (struct log_client *client)
{
  GHashTableIter iter;
  gpointer entry;

  if (client->append_call != NULL)
    hc_cancel (client->append_call);
  client->append_call = NULL;
  ev_timer_stop (client->params.loop, &client->commit);
  ev_timer_stop (client->params.loop, &client->deadline);
  settle_batch (client, FATE_REFUSED);
  g_hash_table_iter_init (&iter, client->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    entry_free (entry);
  g_hash_table_destroy (client->entries);
  g_sequence_free (client->deadlines);
  g_ptr_array_free (client->batch, TRUE);
}
