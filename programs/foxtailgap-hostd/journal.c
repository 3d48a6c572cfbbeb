/* Follows the topics of jobs and of the operator.  */

#include "journal.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "journal_private.h"

static const char PART[] = "journal";

enum
{
  /* A read waits this long for a record; short, so that a connection that has
     gone silent and a store that is away are noticed.  */
  READ_WAIT_MS = 900,
  JOBS_WAIT_MS = 350,  /* the planner's heartbeat and an answer */
  READ_SLACK_MS = 700, /* above the slowest answer of a slow store */
  NEWEST_TIMEOUT_MS = 1500,
  /* Without any answer for this long the store is away: the jobs' topic is
     read about twice a second.  */
  AWAY_MS = 1000,
  RETRY_MS = 150,                  /* after a failed read */
  ANNOUNCE_TIMEOUT_MS = 30 * 1000, /* a host is of use without it */
  /* Records are read in lots: each call to the store is priced, and callers
     see a change this much later.  From one call to the next.  */
  PAUSE_MS = 100,
  PAUSE_HOSTS = 7, /* with more hosts each reads more seldom */
  PAUSE_MAX_MS = 400,
  PLANNER_PAUSE_MS = 8,
  PLANNER_WAIT_MS = 100, /* it must learn soon whether the store is quick */
  LOST_MS = 120,         /* many times an append's answer on a calm day */
  SLOW_MS = 60           /* an answer takes 4 to 10 ms on a calm day */
};

static void read_on (struct follower *follower);

/* --- Hosts --- */

void
jr_announce (struct journal *journal, const char *name,
             const struct jb_host *host)
{
  jr_write (journal, 'h', name, jb_encode_host (host), ANNOUNCE_TIMEOUT_MS);
}

uint32_t
jr_strongest (const struct journal *journal)
{
  GHashTableIter iter;
  void *value;
  uint32_t strongest = 0;

  g_hash_table_iter_init (&iter, journal->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    strongest = MAX (strongest, ((const struct jb_host *)value)->strength);
  return strongest;
}

uint32_t
jr_host_count (const struct journal *journal)
{
  return g_hash_table_size (journal->hosts);
}

const char *
jr_pick_peer (const struct journal *journal, const char *name,
              const char *besides)
{
  const char *picked = NULL;
  GHashTableIter iter;
  void *key;
  void *value;
  gint32 seen = 0;

  g_hash_table_iter_init (&iter, journal->hosts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct jb_host *host = value;

      if (strcmp (key, name) == 0 || host->address[0] == '\0'
          || g_strcmp0 (host->address, besides) == 0)
        continue;
      if (g_random_int_range (0, ++seen) == 0)
        picked = host->address;
    }
  return picked;
}

const char *
jr_planner_address (const struct journal *journal, const char *name)
{
  const struct jb_host *host;

  if (strcmp (journal->term.host, name) == 0)
    return NULL;
  host = g_hash_table_lookup (journal->hosts, journal->term.host);
  return host == NULL || host->address[0] == '\0' ? NULL : host->address;
}

/* --- Following --- */

static void
schedule (struct follower *follower, uint32_t delay_ms)
{
  struct ev_loop *loop = follower->journal->params.loop;

  ev_timer_stop (loop, &follower->pause);
  ev_timer_set (&follower->pause, delay_ms / 1000.0, 0.0);
  ev_timer_start (loop, &follower->pause);
}

static void
count_answer (struct journal *journal, const char *call, enum so_result result)
{
  char name[128];

  g_snprintf (name, sizeof name,
              "foxtailgap_store_calls_total{call=\"%s\",result=\"%s\"}", call,
              so_result_name (result));
  mt_add (journal->params.metrics, name, 1);
}

static uint32_t
pause_ms (const struct follower *follower)
{
  const struct journal *journal = follower->journal;
  int64_t took_ms = clk_monotonic_ms (NULL) - follower->sent_ms;
  int64_t pause_ms;

  if (follower != &journal->jobs
      || clk_monotonic_ms (NULL) < journal->hurry_until_ms)
    return 0;
  if (journal->own_term != 0)
    return PLANNER_PAUSE_MS;
  pause_ms = CLAMP (PAUSE_MS * jr_host_count (journal) / PAUSE_HOSTS, PAUSE_MS,
                    PAUSE_MAX_MS);
  return (uint32_t)MAX (pause_ms - took_ms, 0);
}

static void
journal_took (struct follower *follower, int64_t took_ms)
{
  follower->journal->answer_ms = MAX (took_ms, 0);
}

/* A lot that does not reach the end says nothing of what is missing.  */
static void
take_freshness (struct follower *follower, const struct so_read_answer *answer)
{
  int64_t fresh_ms = follower->sent_ms;

  if (!answer->at_end)
    return;
  if (answer->waited)
    {
      /* What is above the wait is the store's own time.  */
      journal_took (follower, clk_monotonic_ms (NULL) - follower->sent_ms
                                  - follower->asked_wait_ms);
      fresh_ms += follower->asked_wait_ms;
    }
  follower->caught_up = true;
  follower->fresh_ms = MIN (fresh_ms, clk_monotonic_ms (NULL));
  if (follower == &follower->journal->jobs)
    jr_waiters_told (follower->journal);
}

static void
note_answer (struct follower *follower, const struct so_read_answer *answer)
{
  struct journal *journal = follower->journal;
  int64_t now_ms = clk_monotonic_ms (NULL);
  int64_t took_ms = now_ms - follower->sent_ms;

  journal->answered_ms = now_ms;
  if (answer->waited)
    took_ms -= follower->asked_wait_ms;
  /* The other topic may be quick while this one's partition is not.  */
  if (follower == &journal->jobs && took_ms < SLOW_MS)
    journal->quick_ms = now_ms;
}

static void
on_read (void *ctx, const struct so_read_answer *answer)
{
  struct follower *follower = ctx;
  struct journal *journal = follower->journal;
  uint32_t delay_ms = 0;
  guint i;

  follower->reading = false;
  count_answer (journal, "read", answer->result);
  if (answer->result == SO_DONE)
    note_answer (follower, answer);
  if (answer->result == SO_EXPIRED)
    {
      lg_warning (PART, "Records have expired; the newest are read anew.",
                  "topic", follower->topic, NULL);
      follower->loaded = false;
    }
  else if (answer->result != SO_DONE)
    delay_ms = RETRY_MS;
  else
    {
      for (i = 0; i < answer->records->len; i++)
        follower->apply (journal, g_ptr_array_index (answer->records, i));
      follower->next = answer->next;
      take_freshness (follower, answer);
      if (answer->at_end && !answer->waited)
        delay_ms = pause_ms (follower);
    }
  schedule (follower, delay_ms);
  if (follower == &journal->jobs && answer->result == SO_DONE
      && journal->observer.read_done != NULL)
    journal->observer.read_done (journal->observer.ctx);
}

/* Jobs before what refers to them, and the term last: who finds its own claim
   there begins with all that came before it.  */
static int
compare_pages (const void *a, const void *b)
{
  static const char order[] = "hjcpwt";
  const struct so_record *left = *(struct so_record *const *)a;
  const struct so_record *right = *(struct so_record *const *)b;
  const char *left_rank = strchr (order, left->key[0]);
  const char *right_rank = strchr (order, right->key[0]);

  if (left_rank != right_rank)
    return left_rank < right_rank ? -1 : 1;
  return left->offset < right->offset ? -1 : left->offset > right->offset;
}

static void
apply_pages (struct follower *follower)
{
  guint i;

  g_ptr_array_sort (follower->pages, compare_pages);
  for (i = 0; i < follower->pages->len; i++)
    {
      const struct so_record *record = g_ptr_array_index (follower->pages, i);

      /* What came while the pages were read is read again in order.  */
      if (record->offset < follower->first_end)
        follower->apply (follower->journal, record);
    }
  g_ptr_array_set_size (follower->pages, 0);
  follower->next = follower->first_end;
  follower->loaded = true;
  follower->caught_up = false;
  follower->ever_loaded = true;
  lg_info (PART, "A topic has been read.", "topic", follower->topic, "next",
           lg_number (follower->next), NULL);
}

static void
on_newest (void *ctx, const struct so_read_answer *answer)
{
  struct follower *follower = ctx;
  struct so_record *record;
  guint i;

  follower->reading = false;
  count_answer (follower->journal, "newest", answer->result);
  if (answer->result == SO_DONE)
    follower->journal->answered_ms = clk_monotonic_ms (NULL);
  if (answer->result != SO_DONE)
    {
      g_ptr_array_set_size (follower->pages, 0);
      schedule (follower, RETRY_MS);
      return;
    }
  if (follower->pages->len == 0)
    follower->first_end = answer->next;
  for (i = 0; i < answer->records->len; i++)
    {
      const struct so_record *found = g_ptr_array_index (answer->records, i);

      record = so_record_create (found->key, found->value, found->size_bytes);
      record->offset = found->offset;
      g_ptr_array_add (follower->pages, record);
    }
  if (!answer->more || answer->records->len == 0)
    apply_pages (follower);
  read_on (follower);
}

static uint32_t
wait_ms (const struct follower *follower)
{
  const struct journal *journal = follower->journal;

  if (!follower->caught_up)
    return 0;
  return follower == &journal->jobs && journal->own_term != 0
             ? PLANNER_WAIT_MS
             : follower->wait_ms;
}

static void
read_on (struct follower *follower)
{
  struct journal *journal = follower->journal;
  const struct so_port *store = &journal->params.store;
  const struct so_record *last;

  if (follower->reading)
    return;
  follower->reading = true;
  if (follower->loaded)
    {
      follower->sent_ms = clk_monotonic_ms (NULL);
      /* What changed while the newest were read is wanted at once.  */
      follower->asked_wait_ms = wait_ms (follower);
      store->read (store->ctx, follower->topic, follower->next,
                   follower->asked_wait_ms,
                   follower->asked_wait_ms + READ_SLACK_MS, on_read, follower);
      return;
    }
  if (follower->pages->len == 0)
    follower->sent_ms = clk_monotonic_ms (NULL);
  last = follower->pages->len == 0
             ? NULL
             : g_ptr_array_index (follower->pages, follower->pages->len - 1);
  store->newest (store->ctx, follower->topic, last == NULL ? NULL : last->key,
                 NEWEST_TIMEOUT_MS, on_newest, follower);
}

static void
on_pause_over (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  read_on (watcher->data);
}

static void
follower_init (struct follower *follower, struct journal *journal,
               const char *topic, uint32_t wait_ms)
{
  follower->journal = journal;
  follower->topic = topic;
  follower->wait_ms = wait_ms;
  follower->pages = so_records_create ();
  ev_init (&follower->pause, on_pause_over);
  follower->pause.data = follower;
  schedule (follower, 0);
}

static void
follower_clear (struct follower *follower)
{
  ev_timer_stop (follower->journal->params.loop, &follower->pause);
  g_ptr_array_free (follower->pages, TRUE);
}

/* --- The journal --- */

struct journal *
jr_create (const struct jr_params *params)
{
  struct journal *journal = g_new0 (struct journal, 1);

  journal->params = *params;
  journal->answered_ms = clk_monotonic_ms (NULL);
  journal->table = jb_table_create ();
  journal->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  journal->jobs.apply = jr_fold_jobs_record;
  journal->operators.apply = jr_fold_operator_record;
  follower_init (&journal->jobs, journal, params->jobs_topic, JOBS_WAIT_MS);
  follower_init (&journal->operators, journal, params->operator_topic,
                 READ_WAIT_MS);
  jr_writes_init (journal);
  return journal;
}

void
jr_free (struct journal *journal)
{
  if (journal == NULL)
    return;
  jr_writes_clear (journal);
  follower_clear (&journal->jobs);
  follower_clear (&journal->operators);
  jb_table_free (journal->table);
  g_hash_table_destroy (journal->hosts);
  ct_free (journal->catalog);
  if (journal->leases != NULL)
    g_hash_table_destroy (journal->leases);
  g_free (journal);
}

void
jr_observe (struct journal *journal, const struct jr_observer *observer)
{
  journal->observer = *observer;
}

struct jb_table *
jr_table (struct journal *journal)
{
  return journal->table;
}

const struct ct_catalog *
jr_catalog (const struct journal *journal)
{
  return journal->catalog;
}

bool
jr_loaded (const struct journal *journal)
{
  return journal->jobs.ever_loaded && journal->catalog != NULL;
}

bool
jr_following (const struct journal *journal)
{
  return journal->jobs.loaded && journal->catalog != NULL;
}

void
jr_reload (struct journal *journal)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, journal->table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    jb_job_forget_progress (value);
  journal->jobs.loaded = false;
}

int64_t
jr_jobs_age_ms (const struct journal *journal)
{
  return clk_monotonic_ms (NULL) - journal->jobs.fresh_ms;
}

int64_t
jr_catalog_age_ms (const struct journal *journal)
{
  return clk_monotonic_ms (NULL) - journal->operators.fresh_ms;
}

int64_t
jr_store_away_ms (const struct journal *journal)
{
  int64_t silent_ms = clk_monotonic_ms (NULL) - journal->answered_ms;

  return silent_ms > AWAY_MS ? silent_ms : 0;
}

void
jr_hurry (struct journal *journal, uint32_t for_ms)
{
  journal->hurry_until_ms = clk_monotonic_ms (NULL) + for_ms;
  if (!journal->jobs.reading)
    schedule (&journal->jobs, 0);
}

int64_t
jr_answer_ms (const struct journal *journal)
{
  return journal->answer_ms;
}

bool
jr_is_slow (const struct journal *journal)
{
  return journal->answer_ms >= SLOW_MS;
}

bool
jr_is_lost (const struct journal *journal, int64_t sent_ms)
{
  /* A read that was answered this much later, in less, was sent later.  */
  return clk_monotonic_ms (NULL) - sent_ms >= LOST_MS
         && journal->quick_ms >= sent_ms + SLOW_MS;
}

int64_t
jr_planner_seen_ms (const struct journal *journal)
{
  return journal->planner_seen_ms;
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

const struct jb_term *
jr_term (const struct journal *journal)
{
  return &journal->term;
}
