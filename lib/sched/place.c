/* Where work goes.  Load pattern: gangs of large tasks among many small
   ones; small tasks fill workers that are in use already, so that whole
   workers and racks stay free, and a gang goes into the fullest rack that
   still takes it.  */

#include <string.h>

#include "sched/private.h"

/* One worker that could take tasks of a unit.  */
struct candidate
{
  struct sd_worker *worker;
  uint32_t copies;
  uint32_t penalty; /* higher: less wanted */
};

static bool
has_label (const struct sd_worker *worker, const char *label)
{
  return label == NULL
         || (worker->report.labels != NULL
             && g_strv_contains ((const char *const *)worker->report.labels,
                                 label));
}

bool
sd_suits (const struct sd_worker *worker, const struct sd_unit *unit)
{
  return worker->listed && !worker->report.draining
         && g_strcmp0 (worker->report.service, unit->service) == 0
         && has_label (worker, unit->step->spec->label)
         && !sd_advice_refuses (unit->advice, worker->report.id);
}

bool
sd_usable (const struct sd_worker *worker, const struct sd_unit *unit,
           int64_t now_ms)
{
  return sd_suits (worker, unit) && worker->contact == SD_CONTACT_GOOD
         && !sd_health_avoided (worker, now_ms)
         && sd_advice_allows (unit->advice, worker->report.id);
}

static bool
may_take (const struct sd_worker *worker, const struct sd_unit *unit,
          int64_t now_ms)
{
  return sd_usable (worker, unit, now_ms)
         && worker->room_shut_until_ms <= now_ms
         && sd_advice_has_ticket (unit->advice, worker->report.id, now_ms);
}

static uint32_t
tasks_of_step (const struct sd_worker *worker, const struct jb_step *step)
{
  uint32_t count = 0;
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    if (((struct jb_task *)g_ptr_array_index (worker->tasks, i))->step == step)
      count++;
  return count;
}

static uint32_t
copies_on (const struct sd_worker *worker, const struct sd_unit *unit,
           const struct jb_room *room)
{
  const struct jb_step_spec *spec = unit->step->spec;
  uint32_t limit = unit->waiting;
  uint32_t there;

  if (spec->worker_limit > 0)
    {
      there = tasks_of_step (worker, unit->step);
      if (there >= spec->worker_limit)
        return 0;
      limit = MIN (limit, spec->worker_limit - there);
    }
  return sd_room_copies (&spec->room, room, limit);
}

static bool
is_away (const struct sd_worker *worker, const struct jb_step_spec *spec)
{
  return spec->data_rack != NULL
         && g_strcmp0 (worker->report.rack, spec->data_rack) != 0;
}

/* Whether tasks that fill and tasks that serve would share the worker.  */
static bool
would_disturb (const struct sd_worker *worker, const struct jb_step_spec *spec)
{
  guint i;

  if (!spec->fills && spec->target_ms == 0)
    return false;
  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_step_spec *other
          = ((struct jb_task *)g_ptr_array_index (worker->tasks, i))
                ->step->spec;

      if (spec->fills ? other->target_ms > 0 : other->fills)
        return true;
    }
  return false;
}

/* Work that has failed before goes to workers that have shown that they
   finish work.  */
static uint32_t
penalty_of (const struct sd_worker *worker, const struct sd_unit *unit)
{
  uint32_t penalty = 0;

  if (is_away (worker, unit->step->spec))
    penalty += 4;
  if (would_disturb (worker, unit->step->spec))
    penalty += 2;
  if (worker->failure_streak > 0)
    penalty += 2;
  if (unit->step->tasks[0].failures > 0 && worker->last_done_ms == 0)
    penalty += 1;
  return penalty;
}

static int
compare_candidates (const void *a, const void *b)
{
  const struct candidate *left = a;
  const struct candidate *right = b;
  const struct jb_room *left_room = &left->worker->round_free;
  const struct jb_room *right_room = &right->worker->round_free;

  if (left->penalty != right->penalty)
    return left->penalty < right->penalty ? -1 : 1;
  if (left_room->accelerators != right_room->accelerators)
    return left_room->accelerators < right_room->accelerators ? -1 : 1;
  if (left_room->memory_mib != right_room->memory_mib)
    return left_room->memory_mib < right_room->memory_mib ? -1 : 1;
  return strcmp (left->worker->report.id, right->worker->report.id);
}

static GArray *
collect_candidates (const struct sd_sched *sched, const struct sd_unit *unit,
                    bool use_reserved, int64_t now_ms)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);
      struct candidate candidate = { .worker = worker };
      struct jb_room room;

      if (!may_take (worker, unit, now_ms))
        continue;
      room = worker->round_free;
      if (!use_reserved)
        sd_room_take (&room, &worker->reserved);
      candidate.copies = copies_on (worker, unit, &room);
      candidate.penalty = penalty_of (worker, unit);
      if (candidate.copies > 0)
        g_array_append_val (found, candidate);
    }
  g_array_sort (found, compare_candidates);
  return found;
}

/* --- Racks --- */

static uint32_t
copies_in_rack (const GArray *candidates, const char *rack, uint32_t limit)
{
  uint64_t copies = 0;
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      if (rack == NULL
          || g_strcmp0 (candidate->worker->report.rack, rack) == 0)
        copies += candidate->copies;
    }
  return (uint32_t)MIN (copies, limit);
}

static int64_t
free_in_rack (const struct sd_sched *sched, const char *rack)
{
  int64_t accelerators = 0;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (g_strcmp0 (worker->report.rack, rack) == 0)
        accelerators += MAX (worker->round_free.accelerators, 0);
    }
  return accelerators;
}

/* The fullest rack that takes all waiting tasks, the data's rack first.
   NULL if none does.  */
static const char *
choose_rack (const struct sd_sched *sched, const struct sd_unit *unit,
             const GArray *candidates)
{
  const char *data_rack = unit->step->spec->data_rack;
  const char *best = NULL;
  int64_t best_free = 0;
  guint i;

  if (data_rack != NULL
      && copies_in_rack (candidates, data_rack, unit->waiting)
             == unit->waiting)
    return data_rack;
  for (i = 0; i < candidates->len; i++)
    {
      const char *rack = g_array_index (candidates, struct candidate, i)
                             .worker->report.rack;
      int64_t room;

      if (rack == NULL || (best != NULL && strcmp (rack, best) == 0))
        continue;
      room = free_in_rack (sched, rack);
      if (best != NULL && room >= best_free)
        continue;
      if (copies_in_rack (candidates, rack, unit->waiting) < unit->waiting)
        continue;
      best = rack;
      best_free = room;
    }
  return best;
}

bool
sd_could_ever_fit (const struct sd_sched *sched, const struct sd_unit *unit,
                   bool one_rack)
{
  GHashTable *racks = g_hash_table_new (g_str_hash, g_str_equal);
  uint32_t most = 0;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);
      char *key = one_rack && worker->report.rack != NULL ? worker->report.rack
                                                          : (char *)"";
      uint32_t copies;

      if (!sd_suits (worker, unit))
        continue;
      copies = sd_room_copies (&unit->step->spec->room, &worker->report.room,
                               unit->waiting);
      copies += GPOINTER_TO_UINT (g_hash_table_lookup (racks, key));
      g_hash_table_insert (racks, key, GUINT_TO_POINTER (copies));
      most = MAX (most, copies);
    }
  g_hash_table_destroy (racks);
  return most >= unit->waiting;
}

/* --- Misfits --- */

static bool
asks_no_less (const struct sd_unit *unit, const struct sd_unit *misfit)
{
  const struct jb_step_spec *spec = unit->step->spec;
  const struct jb_step_spec *other = misfit->step->spec;

  return unit->advice == NULL && misfit->advice == NULL
         && sd_room_fits (&other->room, &spec->room)
         && spec->gang >= other->gang && spec->one_rack >= other->one_rack
         && (!other->gang || unit->waiting >= misfit->waiting)
         && g_strcmp0 (unit->service, misfit->service) == 0
         && (other->label == NULL
             || g_strcmp0 (spec->label, other->label) == 0)
         && other->worker_limit == 0 && unit->priority >= misfit->priority;
}

bool
sd_known_misfit (const struct sd_sched *sched, const struct sd_unit *unit)
{
  guint i;

  for (i = 0; i < sched->misfits->len; i++)
    if (asks_no_less (unit,
                      &g_array_index (sched->misfits, struct sd_unit, i)))
      return true;
  return false;
}

/* --- Choice --- */

static void
choose_from (const struct sd_unit *unit, GArray *candidates, const char *rack,
             struct sd_choice *choice)
{
  uint32_t next = 0;
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      if (rack != NULL
          && g_strcmp0 (candidate->worker->report.rack, rack) != 0)
        continue;
      for (; candidate->copies > 0 && next < unit->step->spec->count; next++)
        {
          struct jb_task *task = &unit->step->tasks[next];

          if (task->state != JB_TASK_WAITING)
            continue;
          candidate->copies--;
          g_ptr_array_add (choice->tasks, task);
          g_ptr_array_add (choice->workers, candidate->worker);
        }
    }
}

static bool
choose (const struct sd_sched *sched, const struct sd_unit *unit,
        bool use_reserved, int64_t now_ms, struct sd_choice *choice)
{
  const struct jb_step_spec *spec = unit->step->spec;
  GArray *candidates = collect_candidates (sched, unit, use_reserved, now_ms);
  const char *rack = NULL;

  if (spec->gang)
    {
      if (copies_in_rack (candidates, NULL, unit->waiting) < unit->waiting)
        goto done;
      rack = choose_rack (sched, unit, candidates);
      if (rack == NULL && spec->one_rack
          && sd_could_ever_fit (sched, unit, true))
        goto done;
    }
  choose_from (unit, candidates, rack, choice);

done:
  g_array_free (candidates, TRUE);
  return choice->tasks->len == unit->waiting;
}

bool
sd_choose (const struct sd_sched *sched, const struct sd_unit *unit,
           int64_t now_ms, struct sd_choice *choice)
{
  if (choose (sched, unit, false, now_ms, choice))
    return true;
  if (unit->priority > 0 && !sched->roomy)
    return false;
  g_ptr_array_set_size (choice->tasks, 0);
  g_ptr_array_set_size (choice->workers, 0);
  return choose (sched, unit, true, now_ms, choice);
}
