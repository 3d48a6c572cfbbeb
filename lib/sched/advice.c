/* Which workers an advisor allows for a step.  Load pattern: a policy lets
   only some workers run a step, only the advisor knows which, and it looks at
   one call after the other: each worker named costs the work that waits some
   milliseconds.  So it is asked about as many as the step will need by what it
   has allowed so far, and about those with room first.  */

#include <string.h>

#include "sched/private.h"

enum
{
  /* What objectives allow for: one call on 30 workers a step.  */
  WORKERS_MAX = 30,
  WORKERS_MIN = 4, /* an answer may allow none of fewer */
  /* Until it has been asked about this many, half is taken to be allowed.  */
  PRIOR_ASKED = 10,
  PRIOR_ALLOWED = 5,
  MARGIN_PERCENT = 130, /* above what is needed on average */
  SPARE = 2, /* allowed room is enough at this many times what waits */
  /* A start may be sent again for 1.2 s and needs its ticket until then.  */
  TICKET_LEFT_MS = 1300,
  /* After a call without an answer, and between calls on one step.  */
  PAUSE_MS = 300
};

/* What is known of one worker for a step.  */
struct word
{
  char *ticket; /* NULL: not allowed */
  int64_t valid_until_ms;
};

struct sd_advice
{
  GHashTable *words; /* id of a worker -> struct word */
  bool asking;
  int64_t asked_ms;
};

static void
word_free (void *data)
{
  struct word *word = data;

  g_free (word->ticket);
  g_free (word);
}

void
sd_advice_free (void *data)
{
  struct sd_advice *advice = data;

  g_hash_table_destroy (advice->words);
  g_free (advice);
}

struct sd_advice *
sd_advice_of (struct sd_sched *sched, struct jb_step *step)
{
  struct sd_advice *advice = g_hash_table_lookup (sched->advice, step);

  if (advice != NULL)
    return advice;
  advice = g_new0 (struct sd_advice, 1);
  advice->words
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, word_free);
  advice->asked_ms = INT64_MIN / 2;
  g_hash_table_insert (sched->advice, step, advice);
  return advice;
}

/* --- What is known --- */

bool
sd_advice_refuses (const struct sd_advice *advice, const char *worker)
{
  const struct word *word
      = advice == NULL ? NULL : g_hash_table_lookup (advice->words, worker);

  return word != NULL && word->ticket == NULL;
}

bool
sd_advice_allows (const struct sd_advice *advice, const char *worker)
{
  const struct word *word;

  if (advice == NULL)
    return true;
  word = g_hash_table_lookup (advice->words, worker);
  return word != NULL && word->ticket != NULL;
}

bool
sd_advice_has_ticket (const struct sd_advice *advice, const char *worker,
                      int64_t now_ms)
{
  const struct word *word;

  if (advice == NULL)
    return true;
  word = g_hash_table_lookup (advice->words, worker);
  return word != NULL && word->ticket != NULL
         && word->valid_until_ms >= now_ms + TICKET_LEFT_MS;
}

const char *
sd_ticket (const struct sd_sched *sched, const struct jb_task *task)
{
  const struct sd_advice *advice
      = g_hash_table_lookup (sched->advice, task->step);
  const struct word *word
      = advice == NULL || task->worker == NULL
            ? NULL
            : g_hash_table_lookup (advice->words, task->worker);

  return word == NULL ? NULL : word->ticket;
}

void
sd_advice_forget (struct sd_sched *sched, const struct jb_task *task)
{
  struct sd_advice *advice = g_hash_table_lookup (sched->advice, task->step);

  if (advice != NULL && task->worker != NULL)
    g_hash_table_remove (advice->words, task->worker);
}

/* --- Whom to ask about --- */

/* A worker that could be asked about.  */
struct asked
{
  const struct sd_worker *worker;
  bool fits;  /* has room now */
  bool known; /* was allowed; only its ticket is old */
};

static int
compare_asked (const void *a, const void *b)
{
  const struct asked *left = a;
  const struct asked *right = b;
  int64_t left_free = left->worker->round_free.accelerators;
  int64_t right_free = right->worker->round_free.accelerators;

  if (left->fits != right->fits)
    return left->fits ? -1 : 1;
  if (left->known != right->known)
    return left->known ? -1 : 1;
  if (left_free != right_free)
    return left_free > right_free ? -1 : 1;
  return strcmp (left->worker->report.id, right->worker->report.id);
}

/* Whether the workers that are allowed could hold the unit when they are
   empty; then others are of use only with room now.  */
static bool
knows_enough (const struct sd_sched *sched, const struct sd_unit *unit)
{
  uint64_t copies = 0;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (sd_suits (worker, unit)
          && sd_advice_allows (unit->advice, worker->report.id))
        copies += sd_room_copies (&unit->step->spec->room,
                                  &worker->report.room, unit->waiting);
    }
  return copies >= (uint64_t)unit->waiting * SPARE;
}

static GArray *
collect_asked (const struct sd_sched *sched, const struct sd_unit *unit,
               int64_t now_ms)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct asked));
  bool enough = knows_enough (sched, unit);
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);
      const char *id = worker->report.id;
      struct asked row = { .worker = worker };

      if (!sd_suits (worker, unit) || worker->contact != SD_CONTACT_GOOD
          || sd_health_avoided (worker, now_ms)
          || sd_advice_has_ticket (unit->advice, id, now_ms))
        continue;
      row.fits = sd_room_fits (&unit->step->spec->room, &worker->round_free);
      row.known = sd_advice_allows (unit->advice, id);
      if (row.fits || (!row.known && !enough))
        g_array_append_val (found, row);
    }
  g_array_sort (found, compare_asked);
  return found;
}

static uint32_t
wanted_count (const struct sd_sched *sched, const struct sd_unit *unit)
{
  uint64_t asked = sched->advice_asked + PRIOR_ASKED;
  uint64_t allowed = MAX (sched->advice_allowed + PRIOR_ALLOWED, 1);
  uint64_t wanted = unit->waiting * asked * MARGIN_PERCENT / 100 / allowed;

  return (uint32_t)CLAMP (wanted, WORKERS_MIN, WORKERS_MAX);
}

void
sd_ask_free (void *data)
{
  struct sd_ask *ask = data;

  g_free (ask->step);
  g_strfreev (ask->workers);
  g_free (ask);
}

GPtrArray *
sd_asks_create (void)
{
  return g_ptr_array_new_with_free_func (sd_ask_free);
}

static char *
step_name (const struct jb_step *step)
{
  return g_strdup_printf ("%s.%u.%u", step->job->id, step->occurrence,
                          step->number);
}

void
sd_want_advice (struct sd_sched *sched, const struct sd_unit *unit,
                int64_t now_ms, GPtrArray *asks)
{
  struct sd_advice *advice = unit->advice;
  GArray *found;
  struct sd_ask *ask;
  guint count;
  guint i;

  if (advice == NULL || advice->asking || now_ms - advice->asked_ms < PAUSE_MS)
    return;
  found = collect_asked (sched, unit, now_ms);
  count = MIN (found->len, wanted_count (sched, unit));
  if (count > 0)
    {
      ask = g_new0 (struct sd_ask, 1);
      ask->step = step_name (unit->step);
      ask->workers = g_new0 (char *, count + 1);
      ask->first_ms = unit->queue->advice_first_ms;
      ask->each_ms = unit->queue->advice_each_ms;
      for (i = 0; i < count; i++)
        ask->workers[i] = g_strdup (
            g_array_index (found, struct asked, i).worker->report.id);
      g_ptr_array_add (asks, ask);
      advice->asking = true;
      advice->asked_ms = now_ms;
    }
  g_array_free (found, TRUE);
}

/* --- Answers --- */

static struct sd_advice *
advice_by_name (struct sd_sched *sched, const char *step)
{
  char *name = g_strdup_printf ("%s.0", step); /* its first task */
  struct jb_task *task = jb_table_find_task (sched->table, name);

  g_free (name);
  return task == NULL ? NULL : g_hash_table_lookup (sched->advice, task->step);
}

void
sd_advised (struct sd_sched *sched, const struct sd_ask *ask,
            const struct ap_answer *answer, int64_t now_ms)
{
  struct sd_advice *advice = advice_by_name (sched, ask->step);
  struct word *word;
  size_t i;

  if (advice == NULL)
    return;
  advice->asking = false;
  if (answer->result != AP_DONE)
    {
      advice->asked_ms = now_ms;
      return;
    }
  advice->asked_ms = INT64_MIN / 2;
  for (i = 0; ask->workers[i] != NULL; i++)
    g_hash_table_replace (advice->words, g_strdup (ask->workers[i]),
                          g_new0 (struct word, 1));
  sched->advice_asked += i;
  sched->advice_allowed += answer->row_count;
  for (i = 0; i < answer->row_count; i++)
    {
      word = g_hash_table_lookup (advice->words, answer->rows[i].worker);
      if (word == NULL || word->ticket != NULL)
        continue; /* not asked about */
      word->ticket = g_strdup (answer->rows[i].ticket);
      word->valid_until_ms = now_ms + answer->validity_ms;
    }
}
