/* Which workers the placement advisor allows for a step.  Made for this load:
   a policy lets only some workers run a step, only the advisor knows which,
   and it handles one query after the other, so that each worker named delays
   the waiting work by some milliseconds.  So a query names only the number of
   workers that the step should need by the share allowed so far, those with
   enough free resources first.  */

#include <string.h>

#include "sched/private.h"

enum
{
  /* The queues' objectives leave time for one query about 30 workers per
     step.  */
  QUERY_WORKERS_MAX = 30,
  QUERY_WORKERS_MIN = 4, /* of fewer, often none is allowed */
  /* The share of allowed workers starts as if this number had been named in
     queries, and half of them allowed.  */
  PRIOR_QUERIED = 10,
  PRIOR_ALLOWED = 5,
  QUERY_MARGIN_PERCENT = 130, /* of the workers needed on average */
  /* The allowed workers suffice if they take, when empty, this many times the
     waiting tasks.  */
  ALLOWED_CAPACITY_FACTOR = 2,
  /* A start may be resent for 1.2 s and needs a valid ticket until then.  */
  TICKET_VALIDITY_MIN_MS = 1300,
  /* After a failed query, the next one about the same step waits for this.  */
  QUERY_INTERVAL_MS = 300
};

/* The advisor's answer about one worker for a step.  */
struct worker_advice
{
  char *ticket;           /* NULL: not allowed */
  int64_t valid_until_ms; /* of the ticket */
};

struct sd_advice
{
  GHashTable *by_worker; /* id of a worker -> struct worker_advice */
  bool query_pending;
  /* When the pending query was added or the last one failed; INT64_MIN / 2:
     the last one was answered, or there was none.  */
  int64_t last_query_ms;
};

static void
worker_advice_free (void *data)
{
  struct worker_advice *worker_advice = data;

  g_free (worker_advice->ticket);
  g_free (worker_advice);
}

void
sd_advice_free (void *data)
{
  struct sd_advice *advice = data;

  g_hash_table_destroy (advice->by_worker);
  g_free (advice);
}

struct sd_advice *
sd_advice_get (struct sd_sched *sched, struct jb_step *step)
{
  struct sd_advice *advice = g_hash_table_lookup (sched->advice, step);

  if (advice != NULL)
    return advice;
  advice = g_new0 (struct sd_advice, 1);
  advice->by_worker = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             worker_advice_free);
  advice->last_query_ms = INT64_MIN / 2;
  g_hash_table_insert (sched->advice, step, advice);
  return advice;
}

/* --- Stored answers --- */

bool
sd_advice_refuses (const struct sd_advice *advice, const char *worker)
{
  const struct worker_advice *worker_advice
      = advice == NULL ? NULL
                       : g_hash_table_lookup (advice->by_worker, worker);

  return worker_advice != NULL && worker_advice->ticket == NULL;
}

bool
sd_advice_allows (const struct sd_advice *advice, const char *worker)
{
  const struct worker_advice *worker_advice;

  if (advice == NULL)
    return true;
  worker_advice = g_hash_table_lookup (advice->by_worker, worker);
  return worker_advice != NULL && worker_advice->ticket != NULL;
}

bool
sd_advice_has_ticket (const struct sd_advice *advice, const char *worker,
                      int64_t now_ms)
{
  const struct worker_advice *worker_advice;

  if (advice == NULL)
    return true;
  worker_advice = g_hash_table_lookup (advice->by_worker, worker);
  return worker_advice != NULL && worker_advice->ticket != NULL
         && worker_advice->valid_until_ms >= now_ms + TICKET_VALIDITY_MIN_MS;
}

const char *
sd_task_ticket (const struct sd_sched *sched, const struct jb_task *task)
{
  const struct sd_advice *advice
      = g_hash_table_lookup (sched->advice, task->step);
  const struct worker_advice *worker_advice
      = advice == NULL || task->worker == NULL
            ? NULL
            : g_hash_table_lookup (advice->by_worker, task->worker);

  return worker_advice == NULL ? NULL : worker_advice->ticket;
}

void
sd_advice_drop_ticket (struct sd_sched *sched, const struct jb_task *task)
{
  struct sd_advice *advice = g_hash_table_lookup (sched->advice, task->step);

  if (advice != NULL && task->worker != NULL)
    g_hash_table_remove (advice->by_worker, task->worker);
}

/* --- Queries --- */

/* A worker that a query could name.  */
struct query_candidate
{
  const struct sd_worker *worker;
  bool fits;        /* has resources free for a task now */
  bool was_allowed; /* allowed, but its ticket expires soon or has expired */
};

static int
compare_query_candidates (const void *a, const void *b)
{
  const struct query_candidate *left = a;
  const struct query_candidate *right = b;
  int64_t left_free = left->worker->round_free_resources.accelerators;
  int64_t right_free = right->worker->round_free_resources.accelerators;

  if (left->fits != right->fits)
    return left->fits ? -1 : 1;
  if (left->was_allowed != right->was_allowed)
    return left->was_allowed ? -1 : 1;
  if (left_free != right_free)
    return left_free > right_free ? -1 : 1;
  return strcmp (left->worker->report.id, right->worker->report.id);
}

/* Whether the allowed workers, when empty, could take the unit several times.
   Then other workers are of use only if a task fits there now.  */
static bool
allowed_workers_suffice (const struct sd_sched *sched,
                         const struct sd_unit *unit)
{
  uint64_t copies = 0;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (sd_worker_is_eligible (worker, unit) && !worker->closed
          && sd_advice_allows (unit->advice, worker->report.id))
        copies += sd_resources_copies (&unit->step->spec->resources,
                                       &worker->report.resources,
                                       unit->waiting_count);
    }
  return copies >= (uint64_t)unit->waiting_count * ALLOWED_CAPACITY_FACTOR;
}

/* AVOIDED: of the avoided workers, else of the others.  */
static GArray *
collect_query_candidates (const struct sd_sched *sched,
                          const struct sd_unit *unit, bool avoided,
                          int64_t now_ms)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct query_candidate));
  bool enough = allowed_workers_suffice (sched, unit);
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);
      const char *id = worker->report.id;
      struct query_candidate candidate = { .worker = worker };

      if (!sd_worker_is_eligible (worker, unit) || worker->closed
          || worker->reachability != SD_WORKER_REACHABLE
          || sd_health_is_avoided (worker, now_ms) != avoided
          || sd_advice_has_ticket (unit->advice, id, now_ms))
        continue;
      candidate.fits = sd_resources_fit (&unit->step->spec->resources,
                                         &worker->round_free_resources);
      candidate.was_allowed = sd_advice_allows (unit->advice, id);
      if (candidate.fits || (!candidate.was_allowed && !enough))
        g_array_append_val (found, candidate);
    }
  g_array_sort (found, compare_query_candidates);
  return found;
}

static uint32_t
query_worker_count (const struct sd_sched *sched, const struct sd_unit *unit)
{
  uint64_t queried = sched->advised_worker_count + PRIOR_QUERIED;
  uint64_t allowed = MAX (sched->allowed_worker_count + PRIOR_ALLOWED, 1);
  uint64_t wanted
      = unit->waiting_count * queried * QUERY_MARGIN_PERCENT / 100 / allowed;

  return (uint32_t)CLAMP (wanted, QUERY_WORKERS_MIN, QUERY_WORKERS_MAX);
}

void
sd_advisor_query_free (void *data)
{
  struct sd_advisor_query *query = data;

  g_free (query->step);
  g_strfreev (query->workers);
  g_free (query);
}

GPtrArray *
sd_advisor_queries_create (void)
{
  return g_ptr_array_new_with_free_func (sd_advisor_query_free);
}

static char *
step_name (const struct jb_step *step)
{
  return g_strdup_printf ("%s.%u.%u", step->job->id, step->occurrence,
                          step->index);
}

void
sd_query_advice (struct sd_sched *sched, const struct sd_unit *unit,
                 int64_t now_ms, GPtrArray *queries)
{
  struct sd_advice *advice = unit->advice;
  GArray *found;
  struct sd_advisor_query *query;
  guint count;
  guint i;

  if (advice == NULL || advice->query_pending
      || now_ms - advice->last_query_ms < QUERY_INTERVAL_MS)
    return;
  found = collect_query_candidates (sched, unit, false, now_ms);
  if (found->len == 0 && sd_may_stand (sched, unit))
    {
      g_array_free (found, TRUE);
      found = collect_query_candidates (sched, unit, true, now_ms);
    }
  count = MIN (found->len, query_worker_count (sched, unit));
  if (count > 0)
    {
      query = g_new0 (struct sd_advisor_query, 1);
      query->step = step_name (unit->step);
      query->workers = g_new0 (char *, count + 1);
      query->advice_call_ms = unit->queue->advice_call_ms;
      query->advice_per_worker_ms = unit->queue->advice_per_worker_ms;
      for (i = 0; i < count; i++)
        query->workers[i]
            = g_strdup (g_array_index (found, struct query_candidate, i)
                            .worker->report.id);
      g_ptr_array_add (queries, query);
      advice->query_pending = true;
      advice->last_query_ms = now_ms;
    }
  g_array_free (found, TRUE);
}

/* --- Answers --- */

static struct sd_advice *
find_advice_by_step_name (struct sd_sched *sched, const char *step)
{
  char *name = g_strdup_printf ("%s.0", step); /* its first task */
  struct jb_task *task = jb_table_find_task (sched->table, name);

  g_free (name);
  return task == NULL ? NULL : g_hash_table_lookup (sched->advice, task->step);
}

void
sd_advisor_answered (struct sd_sched *sched,
                     const struct sd_advisor_query *query,
                     const struct ap_answer *answer, int64_t now_ms)
{
  struct sd_advice *advice = find_advice_by_step_name (sched, query->step);
  struct worker_advice *worker_advice;
  size_t i;

  if (advice == NULL)
    return;
  advice->query_pending = false;
  if (answer->result != AP_DONE)
    {
      advice->last_query_ms = now_ms;
      return;
    }
  advice->last_query_ms = INT64_MIN / 2;
  for (i = 0; query->workers[i] != NULL; i++)
    g_hash_table_replace (advice->by_worker, g_strdup (query->workers[i]),
                          g_new0 (struct worker_advice, 1));
  sched->advised_worker_count += i;
  sched->allowed_worker_count += answer->allowed_count;
  for (i = 0; i < answer->allowed_count; i++)
    {
      worker_advice
          = g_hash_table_lookup (advice->by_worker, answer->allowed[i].worker);
      if (worker_advice == NULL || worker_advice->ticket != NULL)
        continue; /* not named in the query, or a duplicate */
      worker_advice->ticket = g_strdup (answer->allowed[i].ticket);
      worker_advice->valid_until_ms = now_ms + answer->validity_ms;
    }
}
