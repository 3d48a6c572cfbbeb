/* Writes of callers: grouped into few appends, and sent again until their
   outcome is known.  A write that is sent twice is harmless: the first record
   of a job counts.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "journal_private.h"

static const char PART[] = "journal";

enum
{
  APPENDS_OPEN_MAX = 3, /* an answer that is lost must not hold up others */
  /* A slow store takes the appends of all hosts one at a time.  */
  SLOW_APPENDS_OPEN_MAX = 1,
  APPEND_TIMEOUT_MS = 700, /* many times the answer on a calm day */
  /* The store refuses an append that would have to wait for over 2 s.  */
  SLOW_APPEND_TIMEOUT_MS = 2600,
  REFUSED_FOR_MS = 250, /* a caller is told so once refusals last this long */
  SWEEP_MS = 50,
  LOST_AGAIN_MS
  = 60, /* with a third of the answers lost, five in a row are rare */
  LOST_AGAIN_MAX = 10,
  LOT_MAX_BYTES = 1024 * 1024 /* half of the platform's limit of a call */
};

struct jr_write
{
  GList link; /* in journal->writes */
  uint64_t ticket;
  struct so_record *record;
  int64_t made_ms;
  int64_t until_ms;
  bool in_flight;
  bool maybe_stored;           /* an append without an answer carried it */
  jr_stored_callback callback; /* NULL: nobody waits any more */
  void *ctx;
};

/* The writes that one append carries, by their tickets.  */
struct jr_lot
{
  GList link; /* in journal->lots, while it is an append of its own */
  struct journal *journal;
  bool lost; /* given up: its writes are sent again */
  int64_t sent_ms;
  GArray *tickets; /* uint64_t */
};

static void send_lots (struct journal *journal);

uint32_t
jr_append_timeout_ms (const struct journal *journal)
{
  return jr_is_slow (journal) ? SLOW_APPEND_TIMEOUT_MS : APPEND_TIMEOUT_MS;
}

static struct jr_write *
find_write (const struct journal *journal, uint64_t ticket)
{
  GList *link;

  for (link = journal->writes.head; link != NULL; link = link->next)
    if (((struct jr_write *)link->data)->ticket == ticket)
      return link->data;
  return NULL;
}

static void
end_write (struct journal *journal, struct jr_write *write,
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

/* What RESULT says of the writes of a lot.  */
static void
tell_writes (struct jr_lot *lot, enum so_result result)
{
  struct journal *journal = lot->journal;
  guint i;

  for (i = 0; i < lot->tickets->len; i++)
    {
      struct jr_write *write
          = find_write (journal, g_array_index (lot->tickets, uint64_t, i));

      if (write == NULL)
        continue;
      write->in_flight = false;
      if (result == SO_DONE)
        {
          jr_apply_stored (journal, write->record);
          end_write (journal, write, JR_STORED);
        }
      else if (result == SO_UNKNOWN)
        write->maybe_stored = true;
      else if (!write->maybe_stored && write->callback != NULL
               && clk_monotonic_ms (NULL) - write->made_ms > REFUSED_FOR_MS)
        end_write (journal, write, JR_NOT_STORED);
    }
  if (result != SO_DONE)
    lg_info (PART, "An append of callers' writes failed.", "result",
             so_result_name (result), "writes", lg_number (lot->tickets->len),
             NULL);
}

static void
end_lot (struct jr_lot *lot, enum so_result result)
{
  if (!lot->lost || result == SO_DONE)
    tell_writes (lot, result);
  g_array_free (lot->tickets, TRUE);
  g_free (lot);
}

/* Where one append after the other gets no answer they are given up later and
   later.  */
static int64_t
pause_ms (const struct journal *journal)
{
  return (int64_t)LOST_AGAIN_MS * MIN (journal->lost_in_row, LOST_AGAIN_MAX);
}

/* An append whose answer is lost must not hold its writes up: they are sent
   again, which is harmless.  */
static void
give_up_lost (struct journal *journal)
{
  GList *link = journal->lots.head;

  while (link != NULL)
    {
      struct jr_lot *lot = link->data;

      link = link->next;
      if (!jr_is_lost (journal, lot->sent_ms + pause_ms (journal)))
        continue;
      lot->lost = true;
      journal->lost_in_row++;
      g_queue_unlink (&journal->lots, &lot->link);
      journal->appends_open--;
      tell_writes (lot, SO_UNKNOWN);
    }
}

static void
on_appended (void *ctx, const struct so_append_answer *answer)
{
  struct jr_lot *lot = ctx;
  struct journal *journal = lot->journal;
  int64_t took_ms = clk_monotonic_ms (NULL) - lot->sent_ms;

  if (!lot->lost)
    {
      g_queue_unlink (&journal->lots, &lot->link);
      journal->appends_open--;
    }
  if (answer->result == SO_DONE)
    {
      journal->answered_ms = clk_monotonic_ms (NULL);
      journal->answer_ms = took_ms;
      journal->lost_in_row = 0;
    }
  else if (answer->result == SO_UNKNOWN && !lot->lost)
    journal->answer_ms = MAX (journal->answer_ms, took_ms);
  end_lot (lot, answer->result);
  if (answer->result == SO_DONE || answer->result == SO_UNKNOWN)
    send_lots (journal);
}

/* The writes that are in no append, up to about MAX_BYTES.  */
static struct jr_lot *
fill_lot (struct journal *journal, size_t max_bytes, GPtrArray *records)
{
  struct jr_lot *lot = g_new0 (struct jr_lot, 1);
  size_t size_bytes = 0;
  GList *link;

  lot->journal = journal;
  lot->sent_ms = clk_monotonic_ms (NULL);
  lot->tickets = g_array_new (FALSE, FALSE, sizeof (uint64_t));
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
      g_array_append_val (lot->tickets, write->ticket);
    }
  return lot;
}

static void
send_lot (struct journal *journal)
{
  const struct so_port *store = &journal->params.store;
  GPtrArray *records = g_ptr_array_new ();
  struct jr_lot *lot = fill_lot (journal, LOT_MAX_BYTES, records);

  journal->appends_open++;
  lot->link.data = lot;
  g_queue_push_tail_link (&journal->lots, &lot->link);
  store->append (store->ctx, journal->params.jobs_topic, records, NULL,
                 jr_append_timeout_ms (journal), on_appended, lot);
  g_ptr_array_free (records, TRUE);
}

static bool
any_idle_write (const struct journal *journal)
{
  GList *link;

  for (link = journal->writes.head; link != NULL; link = link->next)
    if (!((struct jr_write *)link->data)->in_flight)
      return true;
  return false;
}

static void
send_lots (struct journal *journal)
{
  uint32_t open_max
      = jr_is_slow (journal) ? SLOW_APPENDS_OPEN_MAX : APPENDS_OPEN_MAX;

  if (jr_wants_carrier (journal))
    {
      if (journal->observer.writes_wait != NULL)
        journal->observer.writes_wait (journal->observer.ctx);
    }
  else if (journal->appends_open < open_max && any_idle_write (journal))
    send_lot (journal);
}

/* --- Carried by the planner's append --- */

bool
jr_wants_carrier (const struct journal *journal)
{
  return journal->own_term != 0 && jr_is_slow (journal)
         && any_idle_write (journal);
}

struct jr_lot *
jr_carry (struct journal *journal, GPtrArray *records, size_t max_bytes)
{
  GPtrArray *found;
  struct jr_lot *lot;
  guint i;

  if (!jr_wants_carrier (journal))
    return NULL;
  found = g_ptr_array_new ();
  lot = fill_lot (journal, max_bytes, found);
  for (i = 0; i < found->len; i++)
    {
      const struct so_record *record = g_ptr_array_index (found, i);

      g_ptr_array_add (records, so_record_create (record->key, record->value,
                                                  record->size_bytes));
    }
  g_ptr_array_free (found, TRUE);
  return lot;
}

void
jr_carried (struct jr_lot *lot, enum so_result result)
{
  end_lot (lot, result);
}

/* --- Who waits for a fresh view --- */

struct jr_waiter
{
  int64_t since_ms;
  int64_t until_ms;
  jr_fresh_callback callback;
  void *ctx;
};

static void
end_waiter (struct journal *journal, GList *link, bool fresh)
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
  waiter->until_ms = waiter->since_ms + timeout_ms;
  waiter->callback = callback;
  waiter->ctx = ctx;
  g_queue_push_tail (&journal->waiters, waiter);
}

void
jr_waiters_told (struct journal *journal)
{
  GList *link = journal->waiters.head;

  while (link != NULL
         && ((struct jr_waiter *)link->data)->since_ms
                <= journal->jobs.fresh_ms)
    {
      end_waiter (journal, link, true);
      link = journal->waiters.head;
    }
}

static void
end_late_waiters (struct journal *journal, int64_t now_ms)
{
  GList *link = journal->waiters.head;

  while (link != NULL && ((struct jr_waiter *)link->data)->until_ms <= now_ms)
    {
      end_waiter (journal, link, false);
      link = journal->waiters.head;
    }
}

/* While the store is away, a caller is told so once its write has been sent in
   vain, so that it can come back before its own time is over.  */
static bool
is_given_up (const struct journal *journal, const struct jr_write *write,
             int64_t now_ms)
{
  return write->callback != NULL && jr_store_away_ms (journal) > 0
         && now_ms - write->made_ms > APPEND_TIMEOUT_MS;
}

/* Ends writes whose time is over, and sends again what was refused.  A write
   in flight has no known outcome.  */
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
      if (write->until_ms > now_ms && !is_given_up (journal, write, now_ms))
        continue;
      end_write (journal, write,
                 write->in_flight || write->maybe_stored ? JR_UNKNOWN
                                                         : JR_NOT_STORED);
      link = journal->writes.head; /* the callback may have changed it */
    }
  end_late_waiters (journal, now_ms);
  give_up_lost (journal);
  send_lots (journal);
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
  write->ticket = ++journal->next_ticket;
  write->made_ms = clk_monotonic_ms (NULL);
  write->until_ms = write->made_ms + timeout_ms;
  write->callback = callback;
  write->ctx = ctx;
  write->link.data = write;
  g_queue_push_tail_link (&journal->writes, &write->link);
  g_byte_array_free (value, TRUE);
  if (callback != NULL && jr_store_away_ms (journal) > 0)
    end_write (journal, write, JR_NOT_STORED);
  else
    send_lots (journal);
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
jr_writes_seen (struct journal *journal, const char *key)
{
  GList *link = journal->writes.head;

  while (link != NULL)
    {
      struct jr_write *write = link->data;

      link = link->next;
      if (strcmp (write->record->key, key) != 0)
        continue;
      end_write (journal, write, JR_STORED);
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
  g_queue_init (&journal->lots);
  ev_timer_init (&journal->write_timer, on_sweep, SWEEP_MS / 1000.0,
                 SWEEP_MS / 1000.0);
  journal->write_timer.data = journal;
  ev_timer_start (journal->params.loop, &journal->write_timer);
}

void
jr_writes_clear (struct journal *journal)
{
  struct jr_write *write;

  ev_timer_stop (journal->params.loop, &journal->write_timer);
  while ((write = g_queue_peek_head (&journal->writes)) != NULL)
    end_write (journal, write, JR_UNKNOWN);
  while (journal->waiters.head != NULL)
    end_waiter (journal, journal->waiters.head, false);
}
