/* The planner's term.  A host acquires the term by a record in the jobs' topic
   under a new epoch; from then on the store refuses the appends of the
   previous planner.  The host is the planner once it has read its own record,
   for then it has read all records that the previous planner stored.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "planner_private.h"

static const char PART[] = "planner";
static const char WRITER[] = "planner";

enum
{
  /* How long the planner may write nothing before another host acquires the
     term: two heartbeats and 100 ms for a host that is slow, and three times
     the store's answer time: for the planner's append, for its reading, and
     once more as a margin.  */
  TERM_TIMEOUT_MS = 500,
  TERM_TIMEOUT_STORE_CALLS = 3,
  /* Before the first term of a new topic all hosts should have announced
     themselves; they start within 300 ms of each other.  */
  FIRST_TERM_DELAY_MS = 400,
  /* More for a host without any strength, for it may not have read yet of the
     stronger ones: on a busy machine some start later than that.  */
  FIRST_TERM_WEAK_DELAY_MS = 2000,
  /* Between the tries of two hosts of the same strength: longer than it takes
     until the record of the first is read.  */
  RANK_DELAY_MS = 80,
  RANK_DELAY_MAX_MS = 480,
  ACQUIRE_JITTER_MS = 30, /* for hosts of the same delay */
  /* Longer than the others, so that the strongest host is first.  */
  WEAK_HOST_DELAY_MS = 700,
  ACQUIRE_APPEND_TIMEOUT_MS = 800,
  /* A host of at least this many times the planner's strength claims its term,
     if it has lasted so long: by then the strong hosts that were to claim it
     have done so, or could not.  */
  WEAK_PLANNER_FACTOR = 4,
  WEAK_PLANNER_MS = 2000,
  FULL_STRENGTH_LINK_MBPS = 50, /* a planner of 350 workers sends 3 Mbit/s */
  STRENGTH_SCALE = 1000,
  ACQUIRE_RETRY_MS = 1500, /* a record not read by then has failed */
};

uint32_t
pl_strength (const struct hostd_settings *settings)
{
  double link = MIN (settings->link_mbps / FULL_STRENGTH_LINK_MBPS, 1.0);

  return (uint32_t)(settings->cpu_share * link * STRENGTH_SCALE);
}

static int64_t
random_jitter_ms (int64_t limit_ms)
{
  return g_random_int_range (0, (gint32)limit_ms);
}

void
pl_term_init (struct planner *planner)
{
  planner->acquire_jitter_ms = random_jitter_ms (ACQUIRE_JITTER_MS);
}

struct so_record *
pl_create_term_record (const struct planner *planner, bool release)
{
  struct jb_term_record term
      = { .term = planner->term, .nonce = planner->nonce };
  GByteArray *bytes;
  struct so_record *record;

  if (!release)
    g_strlcpy (term.host, planner->params.settings->host, sizeof term.host);
  bytes = jb_encode_term (&term);
  record = so_record_create ("t", bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
  return record;
}

/* How much later than the first host this host tries to acquire the term: a
   delay that grows with the gap in strength to the strongest host, and with
   the number of hosts of the same strength that are before this one.  Their
   order is another one for each term, and the same on all hosts.  */
static int64_t
acquire_delay_ms (const struct planner *planner)
{
  const struct journal *journal = planner->params.journal;
  uint32_t strongest = jr_max_host_strength (journal);
  uint32_t own = pl_strength (planner->params.settings);
  int64_t delay_ms
      = MIN ((int64_t)RANK_DELAY_MS
                 * jr_host_rank (journal, planner->params.settings->host, own),
             RANK_DELAY_MAX_MS);

  if (strongest > own)
    delay_ms += (int64_t)WEAK_HOST_DELAY_MS * (strongest - own) / strongest;
  return delay_ms + planner->acquire_jitter_ms;
}

/* The same before the first term.  */
static int64_t
first_term_delay_ms (const struct planner *planner)
{
  uint32_t own
      = MIN (pl_strength (planner->params.settings), (uint32_t)STRENGTH_SCALE);

  return FIRST_TERM_DELAY_MS + acquire_delay_ms (planner)
         + (int64_t)FIRST_TERM_WEAK_DELAY_MS * (STRENGTH_SCALE - own)
               / STRENGTH_SCALE;
}

/* --- Acquiring the term --- */

static void
on_term_appended (void *ctx, const struct so_append_answer *answer)
{
  struct planner *planner = ctx;

  /* Whether this host holds the term is known once the record is read.  */
  if (answer->result == SO_DONE)
    return;
  lg_info (PART, "The append that acquires the term did not succeed.", "term",
           lg_number ((long long)planner->term), "result",
           so_result_name (answer->result), NULL);
  if (planner->role == PL_ACQUIRING && answer->result != SO_UNKNOWN)
    planner->role = PL_FOLLOWER;
}

/* It is the first append of its epoch, so the store holds it once at most,
   however often it is sent.  */
static void
append_term (struct planner *planner)
{
  const struct so_port *store = &planner->params.store_port;
  GPtrArray *records = so_records_create ();
  struct so_writer writer = { .name = WRITER, .epoch = planner->term };

  planner->acquire_sent_ms = clk_monotonic_ms (NULL);
  g_ptr_array_add (records, pl_create_term_record (planner, false));
  store->append (store->ctx, planner->params.jobs_topic, records, &writer,
                 ACQUIRE_APPEND_TIMEOUT_MS, on_term_appended, planner);
  g_ptr_array_free (records, TRUE);
}

static void
acquire_term (struct planner *planner, const char *why)
{
  planner->role = PL_ACQUIRING;
  planner->term = jr_term (planner->params.journal)->term + 1;
  planner->nonce = ((uint64_t)g_random_int () << 32) | g_random_int ();
  planner->acquire_started_ms = clk_monotonic_ms (NULL);
  jr_poll_fast (planner->params.journal, ACQUIRE_RETRY_MS);
  planner->acquire_jitter_ms = random_jitter_ms (ACQUIRE_JITTER_MS);
  lg_info (PART, "The term is claimed.", "term",
           lg_number ((long long)planner->term), "why", why, NULL);
  append_term (planner);
}

/* Whether the planner's host is much weaker than this one.  Which hosts live
   is not known, so the stronger host claims the term, and the weaker one does
   not release it.  */
static bool
must_relieve_planner (struct planner *planner, int64_t now_ms)
{
  const struct jb_term_record *term = jr_term (planner->params.journal);
  uint32_t strength = jr_host_strength (planner->params.journal, term->host);

  if (strcmp (planner->seen_planner, term->host) != 0)
    {
      g_strlcpy (planner->seen_planner, term->host,
                 sizeof planner->seen_planner);
      planner->seen_planner_since_ms = now_ms;
    }
  return strength > 0
         && pl_strength (planner->params.settings)
                >= WEAK_PLANNER_FACTOR * strength
         && now_ms - planner->seen_planner_since_ms
                >= WEAK_PLANNER_MS + acquire_delay_ms (planner);
}

void
pl_acquire_term_if_due (struct planner *planner)
{
  struct journal *journal = planner->params.journal;
  const struct jb_term_record *term = jr_term (journal);
  int64_t now_ms = clk_monotonic_ms (NULL);
  int64_t planner_silent_ms = now_ms - jr_last_planner_record_ms (journal);

  if (planner->role == PL_ACQUIRING
      && now_ms - planner->acquire_started_ms > ACQUIRE_RETRY_MS)
    planner->role = PL_FOLLOWER;
  if (planner->role == PL_ACQUIRING
      && jr_append_is_lost (journal, planner->acquire_sent_ms))
    append_term (planner);
  if (planner->role != PL_FOLLOWER || !jr_is_loaded (journal))
    return;
  if (term->term == 0)
    {
      if (planner->no_term_since_ms == 0)
        planner->no_term_since_ms = now_ms;
      if (now_ms - planner->no_term_since_ms >= first_term_delay_ms (planner))
        acquire_term (planner, "no term yet");
    }
  else if (strcmp (term->host, planner->params.settings->host) == 0)
    acquire_term (planner, "an earlier life of this host held it");
  else if (term->host[0] == '\0'
           && planner_silent_ms >= acquire_delay_ms (planner))
    acquire_term (planner, "released");
  else if (planner_silent_ms > TERM_TIMEOUT_MS
           && planner_silent_ms > TERM_TIMEOUT_MS
                                      + TERM_TIMEOUT_STORE_CALLS
                                            * jr_store_latency_ms (journal)
                                      + acquire_delay_ms (planner))
    acquire_term (planner, "silence");
  else if (must_relieve_planner (planner, now_ms))
    acquire_term (planner, "the planner is weak");
}

/* --- Records of terms --- */

void
pl_end_term (struct planner *planner, const char *why)
{
  if (planner->role != PL_PLANNER)
    return;
  lg_warning (PART, "The term is over.", "term",
              lg_number ((long long)planner->term), "why", why, NULL);
  planner->role = PL_FOLLOWER;
  planner->nonce = 0; /* records of this term may still be read */
  pl_drop_batch (planner);
  planner->appends_in_flight = 0;
  wk_end_term (planner->workers);
  pl_forget_waiting (planner);
  av_drop_queries (planner->advisor);
  jr_set_own_term (planner->params.journal, 0);
  jr_reload (planner->params.journal);
  g_array_set_size (planner->starts, 0);
  pl_reset_worker_list (planner);
  ev_timer_stop (planner->params.loop, &planner->round_timer);
  ev_timer_stop (planner->params.loop, &planner->write_timer);
}

void
pl_handle_term_record (struct planner *planner,
                       const struct jb_term_record *term)
{
  bool own = term->nonce == planner->nonce && planner->nonce != 0;

  if (planner->role == PL_PLANNER)
    {
      if (!own)
        pl_end_term (planner, "another host has claimed it");
      else
        jr_set_own_term (planner->params.journal, term->term); /* raised */
      return;
    }
  if (planner->role == PL_ACQUIRING && !own && term->term >= planner->term)
    planner->role = PL_FOLLOWER;
  if (!own || term->host[0] == '\0' || planner->role == PL_RELEASED)
    return;
  if (term->term != planner->term)
    return;
  planner->role = PL_PLANNER;
  pl_begin_term (planner);
}
