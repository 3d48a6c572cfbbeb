/* Appends by group commit: while an append is in flight, new records are
   queued, and the next append carries as many of them as fit.  A record that
   may have been written is sent again under the same id; the fold of the state
   drops the duplicate.  */

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

/* Limit of the appends that one client sends per second.  It falls when the
   log refuses an append because of its rate (HTTP 429).  */
static const double RATE_MIN_PER_S = 1.0;
static const double RATE_INCREASE_PER_S = 10.0; /* added per second */
static const double RATE_DECREASE = 0.7;        /* factor, for each HTTP 429 */

/* ===== Entries ================================================ */

/* Ids are random, so their first bytes are a good hash.  */
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
  g_free (entry->packed);
  g_free (entry);
}

/* Removes an entry and frees it.  An entry in flight is freed when its append
   has been answered, because the batch in flight still refers to it.  */
static void
entry_remove (struct log_client *client, struct log_entry *entry)
{
  g_hash_table_remove (client->entries, entry->id);
  g_sequence_remove (entry->deadline_iter);
  if (entry->is_waiting)
    g_queue_unlink (&client->waiting, &entry->link);
  entry->is_waiting = false;
  if (entry->in_flight)
    entry->removed_in_flight = true;
  else
    entry_free (entry);
}

static void
entry_enqueue (struct log_client *client, struct log_entry *entry, bool first)
{
  entry->is_waiting = true;
  if (first)
    g_queue_push_head_link (&client->waiting, &entry->link);
  else
    g_queue_push_tail_link (&client->waiting, &entry->link);
}

/* ===== Deadlines ============================================== */

static void
arm_deadline_timer (struct log_client *client)
{
  const struct log_entry *entry;
  GSequenceIter *begin = g_sequence_get_begin_iter (client->deadlines);

  if (g_sequence_iter_is_end (begin))
    {
      ev_timer_stop (client->params.loop, &client->deadline_timer);
      return;
    }
  entry = g_sequence_get (begin);
  log_timer_start (client, &client->deadline_timer,
                   entry->deadline_ms - log_now_ms ());
}

static void
fail_entry (struct log_client *client, struct log_entry *entry)
{
  bool unknown = entry->in_flight || entry->maybe_written;
  uint8_t id[LOG_ID_SIZE_BYTES];
  void (*failed) (void *, const uint8_t *, int) = entry->on_failed;
  void *ctx = entry->ctx;

  memcpy (id, entry->id, sizeof id);
  entry_remove (client, entry);
  if (failed != NULL)
    failed (ctx, id, unknown ? LOG_ERR_OUTCOME_UNKNOWN : LOG_ERR_NOT_WRITTEN);
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
      fail_entry (client, entry);
    }
  arm_deadline_timer (client);
}

/* ===== Sending ================================================ */

/* Starts the timer of the next append.  It waits for the commit time at least,
   so that records are collected, and until send_after_ms, which keeps to the
   rate limit and to the delay after failures.  While an append is in flight
   nothing is scheduled.  */
static void
schedule_append (struct log_client *client)
{
  int64_t wait_ms = client->send_after_ms - log_now_ms ();

  if (client->append_call != NULL || g_queue_is_empty (&client->waiting)
      || ev_is_active (&client->commit_timer))
    return;
  log_timer_start (client, &client->commit_timer,
                   MAX (wait_ms, (int64_t)client->params.commit_delay_ms));
}

/* Moves the waiting entries that fit into one append to the batch in flight.
   The first entry is always moved, also if it is larger than the usual size of
   a batch.
   Returns the packed batch.  */
static GByteArray *
collect_batch (struct log_client *client)
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
      g_byte_array_append (bytes, entry->packed, (guint)entry->size_bytes);
      g_ptr_array_add (client->in_flight_batch, entry);
    }
  return bytes;
}

/* What the answer to an append says about its outcome.  */
enum append_outcome
{
  APPEND_WRITTEN,
  APPEND_NOT_WRITTEN, /* nothing was written: not connected, 429 or 503 */
  APPEND_UNKNOWN
};

static enum append_outcome
append_outcome_of (const struct hc_response *response)
{
  if (response->error != HC_OK)
    return response->maybe_sent ? APPEND_UNKNOWN : APPEND_NOT_WRITTEN;
  switch (response->status)
    {
    case HTTP_CREATED:
      return APPEND_WRITTEN;
    case HTTP_TOO_MANY_REQUESTS:
    case HTTP_SERVICE_UNAVAILABLE:
      return APPEND_NOT_WRITTEN;
    default:
      return APPEND_UNKNOWN;
    }
}

/* Ends the append in flight.  Entries that are to be sent again go to the head
   of the queue; they are visited backwards, so that they keep their order.  */
static void
finish_batch (struct log_client *client, enum append_outcome outcome)
{
  struct log_entry *entry;

  while (client->in_flight_batch->len > 0)
    {
      entry = g_ptr_array_steal_index (client->in_flight_batch,
                                       client->in_flight_batch->len - 1);
      entry->in_flight = false;
      if (entry->removed_in_flight)
        {
          entry_free (entry);
          continue;
        }
      if (outcome != APPEND_NOT_WRITTEN)
        entry->maybe_written = true;
      if (outcome != APPEND_WRITTEN)
        entry_enqueue (client, entry, true);
    }
}

/* Increases the rate limit additively with time, and decreases it by a factor
   each time the log answers 429 (AIMD).  By this the hosts that share the log
   converge to equal shares.  */
static void
adapt_rate (struct log_client *client, bool throttled)
{
  double limit_per_s
      = (double)MS_PER_S / MAX (client->params.commit_delay_ms, 1);
  int64_t now_ms = log_now_ms ();
  double elapsed_s = (double)(now_ms - client->rate_changed_ms) / MS_PER_S;

  client->rate_changed_ms = now_ms;
  if (throttled)
    client->rate_per_s *= RATE_DECREASE;
  else
    client->rate_per_s += RATE_INCREASE_PER_S * MIN (elapsed_s, 1.0);
  client->rate_per_s = CLAMP (client->rate_per_s, RATE_MIN_PER_S, limit_per_s);
}

static uint32_t
next_append_delay_ms (struct log_client *client,
                      const struct hc_response *response,
                      enum append_outcome outcome)
{
  bool overloaded = response->status == HTTP_TOO_MANY_REQUESTS;
  double interval_ms;

  if (outcome != APPEND_WRITTEN && !overloaded)
    return log_retry_ms (++client->append_failures);
  client->append_failures = 0;
  adapt_rate (client, overloaded);
  interval_ms = MS_PER_S / client->rate_per_s;
  if (overloaded)
    interval_ms *= g_random_double_range (0.5, 1.0);
  return (uint32_t)interval_ms;
}

static void
on_appended (void *ctx, const struct hc_response *response)
{
  struct log_client *client = ctx;
  enum append_outcome outcome = append_outcome_of (response);
  bool overloaded = response->status == HTTP_TOO_MANY_REQUESTS;

  client->append_call = NULL;
  client->stats.refused += outcome == APPEND_NOT_WRITTEN;
  client->stats.unknown += outcome == APPEND_UNKNOWN;
  finish_batch (client, outcome);
  client->send_after_ms
      = log_now_ms () + next_append_delay_ms (client, response, outcome);
  schedule_append (client);
  if (outcome == APPEND_WRITTEN || overloaded)
    log_call_succeeded (client, client->append_call_number);
  else
    log_call_failed (client, "append",
                     response->error != HC_OK ? hc_strerror (response->error)
                                              : lg_number (response->status));
}

static void
send_batch (struct log_client *client)
{
  GByteArray *bytes = collect_batch (client);
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

  client->append_call_number = log_call_started (client);
  client->stats.appends++;
  client->stats.records += client->in_flight_batch->len;
  client->stats.write_bytes += bytes->len;
  if (hc_send (client->params.http, &request, &client->append_call) != HC_OK)
    {
      client->append_call = NULL;
      finish_batch (client, APPEND_NOT_WRITTEN);
      client->send_after_ms
          = log_now_ms () + log_retry_ms (++client->append_failures);
      schedule_append (client);
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
  entry->packed = g_malloc (entry->size_bytes);
  ft__batch__pack (&batch, entry->packed);
  entry->deadline_ms = log_now_ms () + deadline_ms;
  entry->on_failed = failed;
  entry->ctx = ctx;
  entry->link.data = entry;
  g_hash_table_insert (client->entries, entry->id, entry);
  entry->deadline_iter = g_sequence_insert_sorted (client->deadlines, entry,
                                                   compare_deadlines, NULL);
  entry_enqueue (client, entry, false);
  schedule_append (client);
  if (g_sequence_iter_is_begin (entry->deadline_iter))
    arm_deadline_timer (client);
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
  ev_timer_stop (client->params.loop, &client->commit_timer);
  send_batch (client);
}

void
log_appends_init (struct log_client *client)
{
  client->entries = g_hash_table_new (id_hash, id_equal);
  client->deadlines = g_sequence_new (NULL);
  client->in_flight_batch = g_ptr_array_new ();
  client->rate_per_s
      = (double)MS_PER_S / MAX (client->params.commit_delay_ms, 1);
  client->rate_changed_ms = log_now_ms ();
  g_queue_init (&client->waiting);
  ev_init (&client->commit_timer, on_commit);
  client->commit_timer.data = client;
  ev_init (&client->deadline_timer, on_deadline);
  client->deadline_timer.data = client;
}

void
log_appends_clear (struct log_client *client)
{
  GHashTableIter iter;
  gpointer entry;

  if (client->append_call != NULL)
    hc_cancel (client->append_call);
  client->append_call = NULL;
  ev_timer_stop (client->params.loop, &client->commit_timer);
  ev_timer_stop (client->params.loop, &client->deadline_timer);
  finish_batch (client, APPEND_NOT_WRITTEN);
  g_hash_table_iter_init (&iter, client->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    entry_free (entry);
  g_hash_table_destroy (client->entries);
  g_sequence_free (client->deadlines);
  g_ptr_array_free (client->in_flight_batch, TRUE);
}
