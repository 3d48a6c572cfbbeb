/* Writes of callers are grouped into few appends and retried until their
   outcome is known.  A retry that stores a record twice is harmless, because
   the first record of a job counts.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "journal_private.h"

static const char PART[] = "journal";

enum
{
  APPENDS_OPEN_MAX = 3, /* a lost answer must not delay other writes */
  /* A slow store handles the appends of all hosts one at a time.  */
  SLOW_APPENDS_OPEN_MAX = 1,
  APPEND_TIMEOUT_MS = 700, /* many times the latency under normal load */
  /* A slow store refuses an append that would wait for more than 2 s.  */
  SLOW_APPEND_TIMEOUT_MS = 2600,
  REPORT_REFUSAL_AFTER_MS = 250, /* refused writes are retried until then */
  SWEEP_INTERVAL_MS = 50,
  /* Added to the wait for an answer for each append lost in a row; with a
     third of the answers lost, five in a row are rare.  */
  LOST_APPEND_BACKOFF_MS = 60,
  LOST_APPEND_BACKOFF_STEPS_MAX = 10,
  BATCH_MAX_BYTES = 1024 * 1024 /* half of the platform's limit for a call */
};

struct jr_write
{
  GList link; /* in journal->writes */
  uint64_t id;
  struct so_record *record;
  int64_t created_ms;
  int64_t deadline_ms;
  bool in_flight;
  bool maybe_stored;           /* was in an append that got no answer */
  jr_stored_callback callback; /* NULL: the outcome is not reported */
  void *ctx;
};

/* The writes that one append contains.  */
struct jr_batch
{
  GList link; /* in journal->open_batches, unless in the planner's append */
  struct journal *journal;
  bool lost; /* given up: its writes are retried */
  int64_t sent_ms;
  GArray *write_ids; /* uint64_t: jr_write.id */
};

static void send_waiting_writes (struct journal *journal);

uint32_t
jr_append_timeout_ms (const struct journal *journal)
{
  return jr_store_is_slow (journal) ? SLOW_APPEND_TIMEOUT_MS
                                    : APPEND_TIMEOUT_MS;
}

static struct jr_write *
find_write (const struct journal *journal, uint64_t id)
{
  GList *link;

  for (link = journal->writes.head; link != NULL; link = link->next)
    if (((struct jr_write *)link->data)->id == id)
      return link->data;
  return NULL;
}

static void
finish_write (struct journal *journal, struct jr_write *write,
              enum jr_outcome outcome)
{
  jr_stored_callback callback = write->callback;
  void *ctx = write->ctx;

  g_queue_unlink (&journal->writes, &write->link);
  so_record_free (write->record);
  g_free (write);
  if (callback != NULL)
    callback (ctx, outcome);
}

/* Applies the result of an append to the writes that it contained.  */
static void
apply_append_result (struct jr_batch *batch, enum so_result result)
{
  struct journal *journal = batch->journal;
  guint i;

  for (i = 0; i < batch->write_ids->len; i++)
    {
      struct jr_write *write = find_write (
          journal, g_array_index (batch->write_ids, uint64_t, i));

      if (write == NULL)
        continue;
      write->in_flight = false;
      if (result == SO_DONE)
        {
          jr_apply_stored_record (journal, write->record);
          finish_write (journal, write, JR_STORED);
        }
      else if (result == SO_UNKNOWN)
        write->maybe_stored = true;
      else if (!write->maybe_stored && write->callback != NULL
               && clk_monotonic_ms (NULL) - write->created_ms
                      > REPORT_REFUSAL_AFTER_MS)
        finish_write (journal, write, JR_NOT_STORED);
    }
  if (result != SO_DONE)
    lg_info (PART, "An append of callers' writes failed.", "result",
             so_result_name (result), "writes",
             lg_number (batch->write_ids->len), NULL);
}

static void
finish_batch (struct jr_batch *batch, enum so_result result)
{
  if (!batch->lost || result == SO_DONE)
    apply_append_result (batch, result);
  g_array_free (batch->write_ids, TRUE);
  g_free (batch);
}

/* The more appends in a row get no answer, the longer each of them is waited
   for before it is given up.  */
static int64_t
lost_append_backoff_ms (const struct journal *journal)
{
  return (int64_t)LOST_APPEND_BACKOFF_MS
         * MIN (journal->consecutive_lost_appends,
                LOST_APPEND_BACKOFF_STEPS_MAX);
}

/* Gives up appends whose answers are lost, so that their writes are retried at
   once instead of after the timeout.  */
static void
give_up_lost_appends (struct journal *journal)
{
  GList *link = journal->open_batches.head;

  while (link != NULL)
    {
      struct jr_batch *batch = link->data;

      link = link->next;
      if (!jr_append_is_lost (journal, batch->sent_ms
                                           + lost_append_backoff_ms (journal)))
        continue;
      batch->lost = true;
      journal->consecutive_lost_appends++;
      g_queue_unlink (&journal->open_batches, &batch->link);
      journal->appends_open--;
      apply_append_result (batch, SO_UNKNOWN);
    }
}

static void
on_appended (void *ctx, const struct so_append_answer *answer)
{
  struct jr_batch *batch = ctx;
  struct journal *journal = batch->journal;
  int64_t took_ms = clk_monotonic_ms (NULL) - batch->sent_ms;

  if (!batch->lost)
    {
      g_queue_unlink (&journal->open_batches, &batch->link);
      journal->appends_open--;
    }
  if (answer->result == SO_DONE)
    {
      journal->last_answer_ms = clk_monotonic_ms (NULL);
      journal->store_latency_ms = took_ms;
      journal->consecutive_lost_appends = 0;
    }
  else if (answer->result == SO_UNKNOWN && !batch->lost)
    journal->store_latency_ms = MAX (journal->store_latency_ms, took_ms);
  finish_batch (batch, answer->result);
  if (answer->result == SO_DONE || answer->result == SO_UNKNOWN)
    send_waiting_writes (journal);
}

/* Takes the writes that are in no open append, oldest first and up to about
   MAX_BYTES, and adds their records to RECORDS, which does not own them.  */
static struct jr_batch *
create_batch (struct journal *journal, size_t max_bytes, GPtrArray *records)
{
  struct jr_batch *batch = g_new0 (struct jr_batch, 1);
  size_t size_bytes = 0;
  GList *link;

  batch->journal = journal;
  batch->sent_ms = clk_monotonic_ms (NULL);
  batch->write_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (link = journal->writes.head; link != NULL; link = link->next)
    {
      struct jr_write *write = link->data;

      if (write->in_flight)
        continue;
      if (size_bytes + write->record->size_bytes > max_bytes
          && records->len > 0)
        break;
      size_bytes += write->record->size_bytes;
      write->in_flight = true;
      g_ptr_array_add (records, write->record);
      g_array_append_val (batch->write_ids, write->id);
    }
  return batch;
}

static void
send_batch (struct journal *journal)
{
  const struct so_port *store = &journal->params.store;
  GPtrArray *records = g_ptr_array_new ();
  struct jr_batch *batch = create_batch (journal, BATCH_MAX_BYTES, records);

  journal->appends_open++;
  batch->link.data = batch;
  g_queue_push_tail_link (&journal->open_batches, &batch->link);
  store->append (store->ctx, journal->params.jobs_topic, records, NULL,
                 jr_append_timeout_ms (journal), on_appended, batch);
  g_ptr_array_free (records, TRUE);
}

static bool
has_unsent_write (const struct journal *journal)
{
  GList *link;

  for (link = journal->writes.head; link != NULL; link = link->next)
    if (!((struct jr_write *)link->data)->in_flight)
      return true;
  return false;
}

static void
send_waiting_writes (struct journal *journal)
{
  uint32_t open_max
      = jr_store_is_slow (journal) ? SLOW_APPENDS_OPEN_MAX : APPENDS_OPEN_MAX;

  if (jr_writes_wait_for_planner (journal))
    {
      if (journal->observer.writes_waiting != NULL)
        journal->observer.writes_waiting (journal->observer.ctx);
    }
  else if (journal->appends_open < open_max && has_unsent_write (journal))
    send_batch (journal);
}

/* --- Writes in the planner's append --- */

bool
jr_writes_wait_for_planner (const struct journal *journal)
{
  return journal->own_term != 0 && jr_store_is_slow (journal)
         && has_unsent_write (journal);
}

struct jr_batch *
jr_add_writes_to_append (struct journal *journal, GPtrArray *records,
                         size_t max_bytes)
{
  GPtrArray *found;
  struct jr_batch *batch;
  guint i;

  if (!jr_writes_wait_for_planner (journal))
    return NULL;
  found = g_ptr_array_new ();
  batch = create_batch (journal, max_bytes, found);
  for (i = 0; i < found->len; i++)
    {
      const struct so_record *record = g_ptr_array_index (found, i);

      g_ptr_array_add (records, so_record_create (record->key, record->value,
                                                  record->size_bytes));
    }
  g_ptr_array_free (found, TRUE);
  return batch;
}

void
jr_added_writes_done (struct jr_batch *batch, enum so_result result)
{
  finish_batch (batch, result);
}

/* --- Waiting until the jobs' topic has been read --- */

struct jr_waiter
{
  int64_t since_ms;
  int64_t deadline_ms;
  jr_fresh_callback callback;
  void *ctx;
};

static void
finish_waiter (struct journal *journal, GList *link, bool fresh)
{
  struct jr_waiter *waiter = link->data;

  g_queue_delete_link (&journal->waiters, link);
  waiter->callback (waiter->ctx, fresh);
  g_free (waiter);
}

void
jr_when_fresh (struct journal *journal, uint32_t timeout_ms,
               jr_fresh_callback callback, void *ctx)
{
  struct jr_waiter *waiter = g_new0 (struct jr_waiter, 1);

  waiter->since_ms = clk_monotonic_ms (NULL);
  waiter->deadline_ms = waiter->since_ms + timeout_ms;
  waiter->callback = callback;
  waiter->ctx = ctx;
  g_queue_push_tail (&journal->waiters, waiter);
  jr_read_now (journal);
}

void
jr_finish_fresh_waiters (struct journal *journal)
{
  GList *link = journal->waiters.head;

  while (link != NULL
         && ((struct jr_waiter *)link->data)->since_ms
                <= journal->jobs_reader.complete_until_ms)
    {
      finish_waiter (journal, link, true);
      link = journal->waiters.head;
    }
}

static void
expire_waiters (struct journal *journal, int64_t now_ms)
{
  GList *link = journal->waiters.head;

  while (link != NULL
         && ((struct jr_waiter *)link->data)->deadline_ms <= now_ms)
    {
      finish_waiter (journal, link, false);
      link = journal->waiters.head;
    }
}

/* While the store is unreachable, a write is ended once an append would have
   timed out, so that the caller can try again before its own deadline.  */
static bool
must_report_unreachable (const struct journal *journal,
                         const struct jr_write *write, int64_t now_ms)
{
  return write->callback != NULL && jr_store_unreachable_ms (journal) > 0
         && now_ms - write->created_ms > APPEND_TIMEOUT_MS;
}

/* Ends writes that are past their deadline, and retries refused and lost ones.
   A write in an open append ends with an unknown outcome.  */
static void
on_sweep (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct journal *journal = watcher->data;
  int64_t now_ms = clk_monotonic_ms (NULL);
  GList *link = journal->writes.head;

  (void)loop;
  (void)events;
  while (link != NULL)
    {
      struct jr_write *write = link->data;

      link = link->next;
      if (write->deadline_ms > now_ms
          && !must_report_unreachable (journal, write, now_ms))
        continue;
      finish_write (journal, write,
                    write->in_flight || write->maybe_stored
                        ? JR_OUTCOME_UNKNOWN
                        : JR_NOT_STORED);
      link
          = journal->writes.head; /* the callback may have changed the queue */
    }
  expire_waiters (journal, now_ms);
  give_up_lost_appends (journal);
  send_waiting_writes (journal);
}

static void
add_write (struct journal *journal, char kind, const char *id,
           GByteArray *value, uint32_t timeout_ms, jr_stored_callback callback,
           void *ctx)
{
  struct jr_write *write = g_new0 (struct jr_write, 1);
  char *key = g_strdup_printf ("%c/%s", kind, id);

  write->record = so_record_create (key, value->data, value->len);
  g_free (key);
  write->id = ++journal->last_write_id;
  write->created_ms = clk_monotonic_ms (NULL);
  write->deadline_ms = write->created_ms + timeout_ms;
  write->callback = callback;
  write->ctx = ctx;
  write->link.data = write;
  g_queue_push_tail_link (&journal->writes, &write->link);
  g_byte_array_free (value, TRUE);
  if (callback != NULL && jr_store_unreachable_ms (journal) > 0)
    finish_write (journal, write, JR_NOT_STORED);
  else
    send_waiting_writes (journal);
}

void
jr_write (struct journal *journal, char kind, const char *name,
          GByteArray *value, uint32_t timeout_ms)
{
  add_write (journal, kind, name, value, timeout_ms, NULL, NULL);
}

void
jr_submit (struct journal *journal, const char *id, const struct jb_spec *spec,
           uint32_t timeout_ms, jr_stored_callback callback, void *ctx)
{
  add_write (journal, 'j', id, jb_encode_spec (spec), timeout_ms, callback,
             ctx);
}

void
jr_cancel (struct journal *journal, const char *id, uint32_t timeout_ms,
           jr_stored_callback callback, void *ctx)
{
  add_write (journal, 'c', id, jb_encode_cancel (clk_unix_ms ()), timeout_ms,
             callback, ctx);
}

void
jr_finish_writes_of_key (struct journal *journal, const char *key)
{
  GList *link = journal->writes.head;

  while (link != NULL)
    {
      struct jr_write *write = link->data;

      link = link->next;
      if (strcmp (write->record->key, key) != 0)
        continue;
      finish_write (journal, write, JR_STORED);
      link = journal->writes.head;
    }
}

uint32_t
jr_open_writes (const struct journal *journal)
{
  return g_queue_get_length ((GQueue *)&journal->writes);
}

void
jr_writes_init (struct journal *journal)
{
  g_queue_init (&journal->writes);
  g_queue_init (&journal->waiters);
  g_queue_init (&journal->open_batches);
  ev_timer_init (&journal->sweep_timer, on_sweep, SWEEP_INTERVAL_MS / 1000.0,
                 SWEEP_INTERVAL_MS / 1000.0);
  journal->sweep_timer.data = journal;
  ev_timer_start (journal->params.loop, &journal->sweep_timer);
}

void
jr_end_calls (struct journal *journal)
{
  struct jr_write *write;

  ev_timer_stop (journal->params.loop, &journal->sweep_timer);
  while ((write = g_queue_peek_head (&journal->writes)) != NULL)
    finish_write (journal, write, JR_OUTCOME_UNKNOWN);
  while (journal->waiters.head != NULL)
    finish_waiter (journal, journal->waiters.head, false);
}
