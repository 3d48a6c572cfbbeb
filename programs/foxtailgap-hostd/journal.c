/* Reads the topics of jobs and of the operator.  */

#include "journal.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "journal_private.h"

static const char PART[] = "journal";

enum
{
  /* Long poll on the operator's topic: short, so that a dead connection and an
     unreachable store are noticed.  */
  OPERATOR_LONG_POLL_MS = 900,
  /* Longer than the interval of the planner's heartbeat, 200 ms, plus the time
     of an answer.  */
  JOBS_LONG_POLL_MS = 350,
  /* Once the planner has been silent for a whole long poll, until this time
     has passed: hosts see a new term soon, and do not all end their long
     polls, and try to acquire the term, at one moment.  */
  SILENCE_LONG_POLL_MS = 50,
  SILENCE_POLLED_UNTIL_MS = 2500,
  READ_TIMEOUT_MARGIN_MS = 700, /* more than a slow store takes to answer */
  NEWEST_TIMEOUT_MS = 1500,
  /* The store is unreachable after this time without an answer; the jobs'
     topic is read about twice a second.  */
  STORE_UNREACHABLE_AFTER_MS = 1000,
  READ_RETRY_MS = 150, /* after a failed read */
  /* With more hosts than this the pause may grow in proportion to them.  */
  READ_RETRY_HOSTS = 30,
  READ_RETRY_MAX_MS = 900,
  READ_BACKOFF_STEPS_MAX = 4,
  READ_MARGIN_STEPS_MAX = 2,
  ANNOUNCE_TIMEOUT_MS = 30 * 1000, /* a host works without its record, too */
  /* Time from one read of the jobs' topic to the next.  Records are read
     in batches because the platform charges for each call to the store;
     callers see a change later by up to this time.  */
  READ_PAUSE_MS = 100,
  /* With up to this many hosts the pause is READ_PAUSE_MS; with more it grows
     in proportion to their number.  */
  READ_PAUSE_HOSTS = 7,
  READ_PAUSE_MAX_MS = 400,
  /* On hosts much weaker than others, which become the planner only if no
     other host is left.  Below the time after which the store is unreachable.
   */
  READ_PAUSE_WEAK_MAX_MS = 700,
  PLANNER_READ_PAUSE_MS = 8,
  /* Short, since the planner must soon know the store's latency.  */
  PLANNER_LONG_POLL_MS = 100,
  APPEND_LOST_AFTER_MS = 120, /* many times the latency under normal load */
  SLOW_ANSWER_MS = 60         /* normal latency is 4 to 10 ms */
};

static void read_next (struct topic_reader *reader);

/* --- Hosts --- */

void
jr_announce_host (struct journal *journal, const char *name,
                  const struct jb_host_record *host)
{
  journal->own_strength = host->strength;
  jr_write (journal, 'h', name, jb_encode_host (host), ANNOUNCE_TIMEOUT_MS);
}

uint32_t
jr_host_strength (const struct journal *journal, const char *name)
{
  const struct jb_host_record *host
      = g_hash_table_lookup (journal->hosts, name);

  return host == NULL ? 0 : host->strength;
}

uint32_t
jr_max_host_strength (const struct journal *journal)
{
  GHashTableIter iter;
  void *value;
  uint32_t strongest = 0;

  g_hash_table_iter_init (&iter, journal->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    strongest
        = MAX (strongest, ((const struct jb_host_record *)value)->strength);
  return strongest;
}

uint32_t
jr_host_count (const struct journal *journal)
{
  return g_hash_table_size (journal->hosts);
}

/* A number that orders the hosts differently for each term.  */
static uint32_t
host_order (const char *name, uint64_t term)
{
  char *text = g_strdup_printf ("%s %" G_GUINT64_FORMAT, name, term);
  uint32_t order = g_str_hash (text) * 2654435761U; /* spreads similar texts */

  g_free (text);
  return order;
}

uint32_t
jr_host_rank (const struct journal *journal, const char *name,
              uint32_t strength)
{
  uint32_t own = host_order (name, journal->term.term);
  uint32_t rank = 0;
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, journal->hosts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((const struct jb_host_record *)value)->strength == strength
        && strcmp (key, name) != 0 && strcmp (key, journal->term.host) != 0
        && host_order (key, journal->term.term) < own)
      rank++;
  return rank;
}

const char *
jr_random_peer_address (const struct journal *journal, const char *name,
                        const char *excluded)
{
  const char *picked = NULL;
  GHashTableIter iter;
  void *key;
  void *value;
  gint32 seen = 0;

  g_hash_table_iter_init (&iter, journal->hosts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct jb_host_record *host = value;

      if (strcmp (key, name) == 0 || host->address[0] == '\0'
          || g_strcmp0 (host->address, excluded) == 0)
        continue;
      if (g_random_int_range (0, ++seen) == 0)
        picked = host->address;
    }
  return picked;
}

const char *
jr_planner_address (const struct journal *journal, const char *name)
{
  const struct jb_host_record *host;

  if (strcmp (journal->term.host, name) == 0)
    return NULL;
  host = g_hash_table_lookup (journal->hosts, journal->term.host);
  return host == NULL || host->address[0] == '\0' ? NULL : host->address;
}

/* --- Reading --- */

static void
schedule_read (struct topic_reader *reader, uint32_t delay_ms)
{
  struct ev_loop *loop = reader->journal->params.loop;

  ev_timer_stop (loop, &reader->read_timer);
  ev_timer_set (&reader->read_timer, delay_ms / 1000.0, 0.0);
  ev_timer_start (loop, &reader->read_timer);
}

static void
count_store_call (struct journal *journal, const char *call,
                  enum so_result result)
{
  char name[128];

  g_snprintf (name, sizeof name,
              "foxtailgap_store_calls_total{call=\"%s\",result=\"%s\"}", call,
              so_result_name (result));
  mt_add (journal->params.metrics, name, 1);
}

/* Logs when reads of a topic begin to fail, and when they succeed again.  */
static void
note_read_result (struct topic_reader *reader, enum so_result result)
{
  int64_t now_ms = clk_monotonic_ms (NULL);
  bool failed = result != SO_DONE && result != SO_EXPIRED;

  if (failed && reader->failures == 0)
    {
      reader->failing_since_ms = now_ms;
      lg_warning (PART, "A topic cannot be read; it is tried again.", "topic",
                  reader->topic, "result", so_result_name (result), "took_ms",
                  lg_number (now_ms - reader->read_sent_ms), NULL);
    }
  else if (!failed && reader->failures > 0)
    lg_info (PART, "A topic is read again.", "topic", reader->topic,
             "after_ms", lg_number (now_ms - reader->failing_since_ms), NULL);
  reader->failures = failed ? reader->failures + 1 : 0;
}

/* The pause after a failed read.  It doubles with each failure: many hosts
   that read again at once, and give up before their answers have come, can
   keep the store overloaded by themselves.  */
static uint32_t
retry_pause_ms (const struct topic_reader *reader)
{
  uint32_t hosts = jr_host_count (reader->journal);
  uint32_t limit_ms = CLAMP (READ_RETRY_MS * hosts / READ_RETRY_HOSTS,
                             READ_RETRY_MS, READ_RETRY_MAX_MS);
  uint32_t pause_ms = READ_RETRY_MS
                      << MIN (reader->failures, READ_BACKOFF_STEPS_MAX);

  pause_ms = MIN (pause_ms, limit_ms);
  return (uint32_t)g_random_int_range ((gint32)pause_ms / 2,
                                       (gint32)pause_ms * 3 / 2);
}

/* How long an answer may take, in addition to the wait: longer after failures,
   so that a store that is slow for all its readers can answer some, and longer
   for the operator's records, which may be large: one of 370 KB needs 1.5 s of
   a link of 2 Mbit/s.  */
static uint32_t
read_timeout_margin_ms (const struct topic_reader *reader)
{
  uint32_t steps_min = reader == &reader->journal->operator_reader ? 1 : 0;

  return READ_TIMEOUT_MARGIN_MS
         << CLAMP (reader->failures, steps_min, READ_MARGIN_STEPS_MAX);
}

static uint32_t
pause_before_next_read_ms (const struct topic_reader *reader)
{
  const struct journal *journal = reader->journal;
  int64_t took_ms = clk_monotonic_ms (NULL) - reader->read_sent_ms;
  int64_t pause_ms;

  if (reader != &journal->jobs_reader
      || clk_monotonic_ms (NULL) < journal->fast_poll_until_ms)
    return 0;
  if (journal->own_term != 0)
    return PLANNER_READ_PAUSE_MS;
  pause_ms = CLAMP (READ_PAUSE_MS * jr_host_count (journal) / READ_PAUSE_HOSTS,
                    READ_PAUSE_MS,
                    journal->own_strength * 2 < jr_max_host_strength (journal)
                        ? READ_PAUSE_WEAK_MAX_MS
                        : READ_PAUSE_MAX_MS);
  return (uint32_t)MAX (pause_ms - took_ms, 0);
}

static void
set_store_latency (struct topic_reader *reader, int64_t took_ms)
{
  reader->journal->store_latency_ms = MAX (took_ms, 0);
}

/* A read that does not reach the end of the topic does not show how much is
   still missing, so the state counts as no fresher after it.  */
static void
update_freshness (struct topic_reader *reader,
                  const struct so_read_answer *answer)
{
  int64_t complete_until_ms = reader->read_sent_ms;

  if (!answer->at_end)
    return;
  if (answer->wait_expired)
    {
      /* The time beyond the requested wait is the store's latency.  */
      set_store_latency (reader, clk_monotonic_ms (NULL) - reader->read_sent_ms
                                     - reader->requested_wait_ms);
      complete_until_ms += reader->requested_wait_ms;
    }
  reader->caught_up = true;
  reader->complete_until_ms = MIN (complete_until_ms, clk_monotonic_ms (NULL));
  if (reader == &reader->journal->jobs_reader)
    jr_finish_fresh_waiters (reader->journal);
}

static void
record_answer_time (struct topic_reader *reader,
                    const struct so_read_answer *answer)
{
  struct journal *journal = reader->journal;
  int64_t now_ms = clk_monotonic_ms (NULL);
  int64_t took_ms = now_ms - reader->read_sent_ms;

  journal->last_answer_ms = now_ms;
  if (answer->wait_expired)
    took_ms -= reader->requested_wait_ms;
  /* Only the jobs' topic counts, since the store may answer quickly for the
     operator's topic while the partition of the jobs is slow.  */
  if (reader == &journal->jobs_reader && took_ms < SLOW_ANSWER_MS)
    journal->last_fast_answer_ms = now_ms;
}

static void
on_read (void *ctx, const struct so_read_answer *answer)
{
  struct topic_read *read = ctx;
  struct topic_reader *reader = read->reader;
  struct journal *journal = reader->journal;
  uint32_t delay_ms = 0;
  guint i;

  read->open = false;
  if (read->abandoned)
    return;
  reader->read_pending = false;
  count_store_call (journal, "read", answer->result);
  note_read_result (reader, answer->result);
  if (answer->result == SO_DONE)
    record_answer_time (reader, answer);
  if (answer->result == SO_EXPIRED)
    {
      lg_warning (
          PART,
          "Records expired before they were read; loading the topic again.",
          "topic", reader->topic, NULL);
      reader->loaded = false;
    }
  else if (answer->result != SO_DONE)
    delay_ms = retry_pause_ms (reader);
  else
    {
      for (i = 0; i < answer->records->len; i++)
        reader->apply_record (journal, g_ptr_array_index (answer->records, i));
      reader->next_offset = answer->next_offset;
      reader->hurried = false;
      update_freshness (reader, answer);
      if (answer->at_end && !answer->wait_expired)
        delay_ms = pause_before_next_read_ms (reader);
    }
  schedule_read (reader, delay_ms);
  if (reader == &journal->jobs_reader && answer->result == SO_DONE
      && journal->observer.jobs_read != NULL)
    journal->observer.jobs_read (journal->observer.ctx);
}

static void
on_newest (void *ctx, const struct so_read_answer *answer)
{
  struct topic_reader *reader = ctx;
  struct so_record *record;
  guint i;

  reader->read_pending = false;
  count_store_call (reader->journal, "newest", answer->result);
  note_read_result (reader, answer->result);
  if (answer->result == SO_DONE)
    reader->journal->last_answer_ms = clk_monotonic_ms (NULL);
  /* More keys after none: there is no key to go on from.  */
  if (answer->result != SO_DONE
      || (answer->more_keys && answer->records->len == 0))
    {
      g_ptr_array_set_size (reader->newest_records, 0);
      schedule_read (reader, retry_pause_ms (reader));
      return;
    }
  if (reader->newest_records->len == 0)
    reader->first_page_end_offset = answer->next_offset;
  for (i = 0; i < answer->records->len; i++)
    {
      const struct so_record *found = g_ptr_array_index (answer->records, i);

      record = so_record_create (found->key, found->value, found->size_bytes);
      record->offset = found->offset;
      g_ptr_array_add (reader->newest_records, record);
    }
  if (!answer->more_keys)
    jr_apply_newest_records (reader);
  read_next (reader);
}

static bool
planner_is_silent (const struct journal *journal)
{
  int64_t silent_ms
      = clk_monotonic_ms (NULL) - journal->last_planner_record_ms;

  return silent_ms >= JOBS_LONG_POLL_MS && silent_ms < SILENCE_POLLED_UNTIL_MS;
}

static uint32_t
long_poll_wait_ms (const struct topic_reader *reader)
{
  const struct journal *journal = reader->journal;

  if (!reader->caught_up || reader->hurried)
    return 0;
  if (reader == &journal->jobs_reader && planner_is_silent (journal))
    return SILENCE_LONG_POLL_MS;
  return reader == &journal->jobs_reader && journal->own_term != 0
             ? PLANNER_LONG_POLL_MS
             : reader->long_poll_ms;
}

static void
read_next (struct topic_reader *reader)
{
  struct journal *journal = reader->journal;
  const struct so_port *store = &journal->params.store;
  const struct so_record *last;

  if (reader->read_pending)
    return;
  reader->read_pending = true;
  if (reader->loaded)
    {
      struct topic_read *read = &reader->reads[reader->reads[0].open ? 1 : 0];

      *read = (struct topic_read){ .reader = reader, .open = true };
      reader->read_sent_ms = clk_monotonic_ms (NULL);
      /* Before the end has been reached the wait is 0, so that changes made
         during loading are read at once.  */
      reader->requested_wait_ms = long_poll_wait_ms (reader);
      store->read (store->ctx, reader->topic, reader->next_offset,
                   reader->requested_wait_ms,
                   reader->requested_wait_ms + read_timeout_margin_ms (reader),
                   on_read, read);
      return;
    }
  if (reader->newest_records->len == 0)
    {
      reader->read_sent_ms = clk_monotonic_ms (NULL);
      jr_begin_load (reader);
    }
  last = reader->newest_records->len == 0
             ? NULL
             : g_ptr_array_index (reader->newest_records,
                                  reader->newest_records->len - 1);
  store->read_newest (store->ctx, reader->topic,
                      last == NULL ? NULL : last->key, NEWEST_TIMEOUT_MS,
                      on_newest, reader);
}

void
jr_hurry_operator (struct journal *journal)
{
  struct topic_reader *reader = &journal->operator_reader;
  guint i;

  /* A jobs' read that was sent later has been answered: the store is back.  */
  if (!reader->loaded || !reader->read_pending || reader->hurried
      || (reader->reads[0].open && reader->reads[1].open)
      || journal->last_fast_answer_ms < reader->read_sent_ms + SLOW_ANSWER_MS)
    return;
  lg_info (PART, "A read of a topic is given up; it is sent again.", "topic",
           reader->topic, "sent_ms_ago",
           lg_number (clk_monotonic_ms (NULL) - reader->read_sent_ms), NULL);
  for (i = 0; i < G_N_ELEMENTS (reader->reads); i++)
    reader->reads[i].abandoned = true;
  reader->hurried = true;
  reader->read_pending = false;
  read_next (reader);
}

static void
on_read_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  read_next (watcher->data);
}

static void
reader_init (struct topic_reader *reader, struct journal *journal,
             const char *topic, uint32_t long_poll_ms)
{
  reader->journal = journal;
  reader->topic = topic;
  reader->long_poll_ms = long_poll_ms;
  reader->newest_records = so_records_create ();
  ev_init (&reader->read_timer, on_read_timer);
  reader->read_timer.data = reader;
  schedule_read (reader, 0);
}

static void
reader_clear (struct topic_reader *reader)
{
  ev_timer_stop (reader->journal->params.loop, &reader->read_timer);
  g_ptr_array_free (reader->newest_records, TRUE);
}

/* --- The journal --- */

struct journal *
jr_create (const struct jr_params *params)
{
  struct journal *journal = g_new0 (struct journal, 1);

  journal->params = *params;
  journal->last_answer_ms = clk_monotonic_ms (NULL);
  journal->table = jb_table_create ();
  journal->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  journal->closed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  journal->jobs_before_load
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  journal->jobs_reader.apply_record = jr_fold_jobs_record;
  journal->operator_reader.apply_record = jr_fold_operator_record;
  reader_init (&journal->jobs_reader, journal, params->jobs_topic,
               JOBS_LONG_POLL_MS);
  reader_init (&journal->operator_reader, journal, params->operator_topic,
               OPERATOR_LONG_POLL_MS);
  jr_writes_init (journal);
  return journal;
}

void
jr_free (struct journal *journal)
{
  if (journal == NULL)
    return;
  jr_end_calls (journal);
  reader_clear (&journal->jobs_reader);
  reader_clear (&journal->operator_reader);
  jb_table_free (journal->table);
  g_hash_table_destroy (journal->hosts);
  g_hash_table_destroy (journal->jobs_before_load);
  g_hash_table_destroy (journal->closed);
  ct_catalog_free (journal->catalog);
  if (journal->leases != NULL)
    g_hash_table_destroy (journal->leases);
  if (journal->speeds != NULL)
    g_bytes_unref (journal->speeds);
  g_free (journal);
}

void
jr_set_observer (struct journal *journal, const struct jr_observer *observer)
{
  journal->observer = *observer;
}

struct jb_table *
jr_job_table (struct journal *journal)
{
  return journal->table;
}

const struct ct_catalog *
jr_catalog (const struct journal *journal)
{
  return journal->catalog;
}

int64_t
jr_newest_catalog_version (const struct journal *journal)
{
  if (journal->catalog == NULL)
    return -1;
  return journal->job_catalog_found_ms
                 > journal->operator_reader.complete_until_ms
             ? MAX (journal->job_catalog_version, journal->catalog->version)
             : journal->catalog->version;
}

GHashTable *
jr_closed_data_centres (const struct journal *journal)
{
  return journal->closed;
}

bool
jr_ever_loaded (const struct journal *journal)
{
  return journal->jobs_reader.ever_loaded && journal->catalog != NULL;
}

bool
jr_is_loaded (const struct journal *journal)
{
  return journal->jobs_reader.loaded && journal->catalog != NULL;
}

void
jr_reload (struct journal *journal)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, journal->table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    jb_job_reset_progress (value);
  journal->jobs_reader.loaded = false;
}

int64_t
jr_jobs_age_ms (const struct journal *journal)
{
  return clk_monotonic_ms (NULL) - journal->jobs_reader.complete_until_ms;
}

int64_t
jr_catalog_age_ms (const struct journal *journal)
{
  return clk_monotonic_ms (NULL) - journal->operator_reader.complete_until_ms;
}

int64_t
jr_store_unreachable_ms (const struct journal *journal)
{
  int64_t silent_ms = clk_monotonic_ms (NULL) - journal->last_answer_ms;

  return silent_ms > STORE_UNREACHABLE_AFTER_MS ? silent_ms : 0;
}

void
jr_poll_fast (struct journal *journal, uint32_t for_ms)
{
  journal->fast_poll_until_ms = clk_monotonic_ms (NULL) + for_ms;
  if (!journal->jobs_reader.read_pending)
    schedule_read (&journal->jobs_reader, 0);
}

bool
jr_reading_is_paused (const struct journal *journal)
{
  return !journal->jobs_reader.read_pending;
}

void
jr_read_now (struct journal *journal)
{
  if (jr_reading_is_paused (journal) && journal->jobs_reader.failures == 0)
    schedule_read (&journal->jobs_reader, 0);
}

int64_t
jr_store_latency_ms (const struct journal *journal)
{
  return journal->store_latency_ms;
}

bool
jr_store_is_slow (const struct journal *journal)
{
  return journal->store_latency_ms >= SLOW_ANSWER_MS;
}

bool
jr_append_is_lost (const struct journal *journal, int64_t sent_ms)
{
  /* A read answered at least SLOW_ANSWER_MS after sent_ms, in less than
     SLOW_ANSWER_MS, was sent after the append.  */
  return clk_monotonic_ms (NULL) - sent_ms >= APPEND_LOST_AFTER_MS
         && journal->last_fast_answer_ms >= sent_ms + SLOW_ANSWER_MS;
}

int64_t
jr_last_planner_record_ms (const struct journal *journal)
{
  return journal->last_planner_record_ms;
}

void
jr_set_own_term (struct journal *journal, uint64_t term)
{
  journal->own_term = term;
}

GHashTable *
jr_leases (const struct journal *journal)
{
  return journal->leases;
}

GBytes *
jr_speeds (const struct journal *journal)
{
  return journal->speeds;
}

const struct jb_term_record *
jr_term (const struct journal *journal)
{
  return &journal->term;
}
