/* Checks of the invariants, from the jobs and guarantees alone: it sums up
   anew what the decisions keep as running totals.  */

#include <stdarg.h>
#include <string.h>

#include "place/place_inner.h"

/* Sums of one worker.  */
struct tally
{
  struct place_amount used;
  struct place_amount firm;
  struct place_amount reserved;
  struct place_amount held;
  struct place_amount evicting;
  uint64_t busy;
};

struct check
{
  const struct place *place;
  GHashTable *tallies; /* struct place_worker_state -> struct tally */
  char *text;
  int error;
};

static void fail (struct check *check, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
fail (struct check *check, const char *format, ...)
{
  va_list args;

  if (check->error != PLACE_OK)
    return;
  check->error = PLACE_ERR_INVALID;
  va_start (args, format);
  g_vsnprintf (check->text, PLACE_TEXT_SIZE_BYTES, format, args);
  va_end (args);
}

static struct tally *
tally_of (struct check *check, struct place_worker_state *worker)
{
  struct tally *tally = g_hash_table_lookup (check->tallies, worker);

  if (tally == NULL)
    {
      tally = g_new0 (struct tally, 1);
      g_hash_table_insert (check->tallies, worker, tally);
    }
  return tally;
}

/* ===== Jobs =================================================== */

static void
check_span (struct check *check, const struct place_job_state *job)
{
  const struct place_worker_state *first = job->spots[0].worker;
  uint32_t i;

  for (i = 0; i < job->spot_count; i++)
    {
      const struct place_worker_state *worker = job->spots[i].worker;

      if (worker->rack == NULL) /* restored before its worker was known */
        return;
      if (job->shape.span >= PLACE_SPAN_DATA_CENTRE
          && worker->rack->centre != first->rack->centre)
        fail (check, "%.60s is in two data centres", job->id);
      if (job->shape.span >= PLACE_SPAN_RACK && worker->rack != first->rack)
        fail (check, "%.60s is in two racks", job->id);
      if (job->shape.span >= PLACE_SPAN_WORKER && worker != first)
        fail (check, "%.60s is on two workers", job->id);
      if (job->centre != NULL && worker->rack->centre != job->centre)
        fail (check, "%.60s is in another data centre", job->id);
    }
}

static void
check_spot (struct check *check, const struct place_job_state *job,
            const struct place_spot *spot)
{
  struct tally *tally = tally_of (check, spot->worker);
  uint32_t bits = (uint32_t)__builtin_popcountll (spot->accelerators);

  if (bits != job->each.accelerators)
    fail (check, "%.60s has %u accelerators for a task", job->id, bits);
  if ((tally->busy & spot->accelerators) != 0)
    fail (check, "an accelerator of %.60s is used twice", spot->worker->name);
  tally->busy |= spot->accelerators;
  place_add (&tally->used, &job->each);
}

static void
check_job (struct check *check, const struct place_job_state *job)
{
  bool runs = job->phase == PLACE_RUNNING || job->phase == PLACE_EVICTING;
  uint32_t i;

  if (job->phase == PLACE_QUEUED)
    {
      if (job->spot_count != 0)
        fail (check, "%.60s waits but holds workers", job->id);
      return;
    }
  if (job->spot_count != job->shape.tasks)
    fail (check, "a part of %.60s is alone: %u of %u tasks", job->id,
          job->spot_count, job->shape.tasks);
  for (i = 0; i < job->spot_count; i++)
    {
      struct tally *tally = tally_of (check, job->spots[i].worker);

      if (runs)
        check_spot (check, job, &job->spots[i]);
      else
        place_add (&tally->held, &job->each);
      if (job->phase == PLACE_EVICTING)
        place_add (&tally->evicting, &job->each);
      if (!job->borrowed)
        place_add (&tally->firm, &job->each);
    }
  check_span (check, job);
  if (job->borrowed && (!job->checkpointable || !job->repeatable))
    fail (check, "%.60s borrows but cannot be stopped", job->id);
}

/* ===== Guarantees ============================================= */

/* The workers of a unit are as near each other as its shape asks.  */
static void
check_unit_span (struct check *check, const struct place_unit *unit)
{
  const struct place_worker_state *first = unit->slots[0].worker;
  uint32_t i;

  for (i = 1; i < unit->shape.tasks; i++)
    {
      const struct place_worker_state *worker = unit->slots[i].worker;

      if (worker == NULL || first == NULL)
        continue;
      if ((unit->shape.span == PLACE_SPAN_WORKER && worker != first)
          || (unit->shape.span == PLACE_SPAN_RACK
              && worker->rack != first->rack)
          || (unit->shape.span == PLACE_SPAN_DATA_CENTRE
              && worker->rack->centre != first->rack->centre))
        fail (check, "a guarantee of %.60s is torn apart", unit->team->name);
    }
}

static void
check_unit (struct check *check, const struct place_unit *unit)
{
  uint32_t missing = 0;
  uint32_t i;

  for (i = 0; i < unit->shape.tasks; i++)
    {
      const struct place_slot *slot = &unit->slots[i];

      if (slot->worker == NULL)
        {
          missing++;
          continue;
        }
      if (!place_usable (slot->worker) && slot->jobs == 0)
        fail (check, "a guarantee of %.60s is on the lost worker %.60s",
              unit->team->name, slot->worker->name);
      place_add (&tally_of (check, slot->worker)->reserved, &slot->left);
    }
  if (missing != unit->missing || (missing > 0 && !unit->told_unmet))
    fail (check, "a guarantee of %.60s is unmet and that is not told",
          unit->team->name);
  check_unit_span (check, unit);
}

/* ===== Workers ================================================ */

static bool
same (const struct place_amount *a, const struct place_amount *b)
{
  return a->cpus_milli == b->cpus_milli && a->memory_mb == b->memory_mb
         && a->accelerators == b->accelerators;
}

static void
check_worker (struct check *check, struct place_worker_state *worker)
{
  const struct tally *tally = tally_of (check, worker);
  struct place_amount promised = tally->firm;

  if (!same (&tally->used, &worker->used) || tally->busy != worker->busy)
    fail (check, "the sums of %.60s are wrong", worker->name);
  if (!same (&tally->held, &worker->held)
      || !same (&tally->evicting, &worker->evicting))
    fail (check, "what is held on %.60s is wrong", worker->name);
  if (!same (&tally->firm, &worker->firm)
      || !same (&tally->reserved, &worker->reserved))
    fail (check, "the promises of %.60s are wrong", worker->name);
  if (!place_usable (worker) || worker->shrunk)
    return;
  if (!place_covers (&worker->capacity, &tally->used))
    fail (check, "%.60s runs more than it has", worker->name);
  place_add (&promised, &tally->reserved);
  if (check->place->params.policy->guarantees
      && !place_covers (&worker->capacity, &promised))
    fail (check, "%.60s is promised more than it has", worker->name);
}

int
place_check (const struct place *place, char text[PLACE_TEXT_SIZE_BYTES])
{
  struct check check = { .place = place, .text = text };
  GHashTableIter iter;
  gpointer value;
  guint t;
  guint u;

  check.tallies
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  g_hash_table_iter_init (&iter, place->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_job (&check, value);
  for (t = 0; t < place->team_list->len && !place->dirty; t++)
    {
      const struct place_team_state *team = place->team_list->pdata[t];

      for (u = 0; u < team->units->len; u++)
        check_unit (&check, team->units->pdata[u]);
    }
  for (u = 0; u < place->worker_list->len && !place->dirty; u++)
    check_worker (&check, place->worker_list->pdata[u]);
  g_hash_table_destroy (check.tallies);
  return check.error;
}
