/* Room kept free for a gang that does not fit yet.  Load pattern: gangs of
   large tasks among a steady stream of small work that takes each piece of
   room as it comes free; without a reservation such a gang waits until the
   stream ends.  Urgent work takes reserved room only where it fits nowhere
   else.  */

#include <stdlib.h>
#include <string.h>

#include "sched/private.h"

enum
{
  /* A task that has run past what was expected of it ends at some time: so
     much more is expected of it.  */
  OVERRUN_MS = 1000,
  /* Below this percent a rate is too rough to go by.  */
  RATE_FROM_PERCENT = 10,
  TASKS_MAX = 64, /* looked at on one worker */
  /* New reservations looked for in one round: with 3,300 workers each takes
     about 2 ms.  */
  TRIES_MAX = 4,
  /* With less than this of each kind of room in use, work that waits takes
     reserved room too: the platform asks that work starts within 3 s while
     less than half is in use.  */
  ROOMY_PERCENT = 60
};

struct sd_reservation
{
  GPtrArray *workers; /* struct sd_worker, one for each task */
  bool wanted;        /* its gang still waits, as of this round */
};

void
sd_reservation_free (void *data)
{
  struct sd_reservation *reservation = data;

  g_ptr_array_unref (reservation->workers);
  g_free (reservation);
}

static void
enter (struct sd_sched *sched, const struct sd_reservation *reservation,
       const struct jb_step *step)
{
  guint i;

  sched->reserved_count += reservation->workers->len;
  for (i = 0; i < reservation->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (reservation->workers, i);

      sd_room_add (&worker->reserved, &step->spec->room);
    }
}

static void
leave (struct sd_sched *sched, const struct sd_reservation *reservation,
       const struct jb_step *step)
{
  guint i;

  sched->reserved_count -= reservation->workers->len;
  for (i = 0; i < reservation->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (reservation->workers, i);

      sd_room_take (&worker->reserved, &step->spec->room);
    }
}

/* --- Around a round --- */

static bool
is_idle (int64_t used, int64_t whole)
{
  return used * 100 < whole * ROOMY_PERCENT;
}

/* Whether much of each kind of room on the workers in touch is idle.  */
static bool
is_roomy (const struct sd_sched *sched)
{
  struct jb_room used = { 0 };
  struct jb_room whole = { 0 };
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (!worker->listed || worker->contact != SD_CONTACT_GOOD)
        continue;
      sd_room_add (&used, &worker->used);
      sd_room_add (&whole, &worker->report.room);
    }
  return is_idle (used.cpus_milli, whole.cpus_milli)
         && is_idle (used.memory_mib, whole.memory_mib)
         && is_idle (used.accelerators, whole.accelerators);
}

void
sd_reservations_begin (struct sd_sched *sched)
{
  GHashTableIter iter;
  void *step;
  void *value;
  guint i;

  sched->reserved_count = 0;
  sched->reserve_tries = 0;
  sched->roomy = is_roomy (sched);
  for (i = 0; i < sched->workers->len; i++)
    ((struct sd_worker *)g_ptr_array_index (sched->workers, i))->reserved
        = (struct jb_room){ 0 };
  g_hash_table_iter_init (&iter, sched->reservations);
  while (g_hash_table_iter_next (&iter, &step, &value))
    {
      struct sd_reservation *reservation = value;

      reservation->wanted = false;
      enter (sched, reservation, step);
    }
}

static gboolean
is_not_wanted (void *step, void *value, void *ctx)
{
  (void)step;
  (void)ctx;
  return !((struct sd_reservation *)value)->wanted;
}

void
sd_reservations_end (struct sd_sched *sched)
{
  g_hash_table_foreach_remove (sched->reservations, is_not_wanted, NULL);
}

/* --- When there will be room --- */

static int64_t
remaining_ms (const struct sd_sched *sched, const struct jb_task *task,
              int64_t now_ms)
{
  int64_t expected_ms = es_expect_ms (sched->estimates, task->job->queue,
                                      task->step->spec->estimate_ms);
  int64_t seen_ms
      = task->progress_ms > 0 ? task->progress_ms : task->started_ms;
  int64_t left_ms;

  if (task->state == JB_TASK_STOPPING)
    return sched->params.stop_ms;
  if (task->started_ms == 0)
    return expected_ms;
  if (task->percent >= RATE_FROM_PERCENT && task->checkpoint == NULL)
    left_ms = (task->progress_ms - task->started_ms) * (100 - task->percent)
              / task->percent;
  else
    left_ms = expected_ms * (100 - task->percent) / 100;
  return MAX (left_ms - (now_ms - seen_ms), OVERRUN_MS);
}

/* A task that will leave its worker.  */
struct leaver
{
  int64_t in_ms;
  const struct jb_room *room;
};

static int
compare_leavers (const void *a, const void *b)
{
  const struct leaver *left = a;
  const struct leaver *right = b;

  return (left->in_ms > right->in_ms) - (left->in_ms < right->in_ms);
}

static size_t
collect_leavers (const struct sd_sched *sched, const struct sd_worker *worker,
                 int64_t now_ms, struct leaver *leavers)
{
  size_t count = MIN (worker->tasks->len, TASKS_MAX);
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      leavers[i]
          = (struct leaver){ .in_ms = remaining_ms (sched, task, now_ms),
                             .room = &task->step->spec->room };
    }
  qsort (leavers, count, sizeof leavers[0], compare_leavers);
  return count;
}

/* Room for one more task of the gang.  */
struct opening
{
  struct sd_worker *worker;
  int64_t in_ms;
};

static int
compare_openings (const void *a, const void *b)
{
  const struct opening *left = a;
  const struct opening *right = b;

  if (left->in_ms != right->in_ms)
    return left->in_ms < right->in_ms ? -1 : 1;
  return strcmp (left->worker->report.id, right->worker->report.id);
}

static void
add_openings (const struct sd_sched *sched, const struct sd_unit *unit,
              struct sd_worker *worker, int64_t now_ms, GArray *openings)
{
  const struct jb_step_spec *spec = unit->step->spec;
  struct leaver leavers[TASKS_MAX] = { { .in_ms = 0 } };
  size_t count = collect_leavers (sched, worker, now_ms, leavers);
  uint32_t limit = spec->worker_limit > 0
                       ? MIN (spec->worker_limit, unit->waiting)
                       : unit->waiting;
  struct jb_room room = worker->round_free;
  struct opening opening = { .worker = worker };
  size_t next = 0;

  sd_room_take (&room, &worker->reserved);
  while (limit > 0)
    if (sd_room_fits (&spec->room, &room))
      {
        g_array_append_val (openings, opening);
        sd_room_take (&room, &spec->room);
        limit--;
      }
    else if (next < count)
      {
        opening.in_ms = leavers[next].in_ms;
        sd_room_add (&room, leavers[next].room);
        next++;
      }
    else
      return;
}

static GArray *
collect_openings (const struct sd_sched *sched, const struct sd_unit *unit,
                  int64_t now_ms)
{
  GArray *openings = g_array_new (FALSE, FALSE, sizeof (struct opening));
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (sd_usable (worker, unit, now_ms))
        add_openings (sched, unit, worker, now_ms, openings);
    }
  g_array_sort (openings, compare_openings);
  return openings;
}

/* The rack that has room for the whole gang first; NULL: none ever.  */
static const char *
soonest_rack (const GArray *openings, uint32_t waiting)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  const char *found = NULL;
  guint i;

  for (i = 0; i < openings->len && found == NULL; i++)
    {
      char *rack
          = g_array_index (openings, struct opening, i).worker->report.rack;
      guint count;

      if (rack == NULL)
        continue;
      count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, rack)) + 1;
      g_hash_table_insert (counts, rack, GUINT_TO_POINTER (count));
      if (count == waiting)
        found = rack;
    }
  g_hash_table_destroy (counts);
  return found;
}

/* Workers that have room for the gang soonest, one for each task; NULL if it
   will not fit.  */
static GPtrArray *
choose_workers (const struct sd_sched *sched, const struct sd_unit *unit,
                int64_t now_ms)
{
  GArray *openings = collect_openings (sched, unit, now_ms);
  GPtrArray *workers = g_ptr_array_new ();
  bool one_rack
      = unit->step->spec->one_rack && sd_could_ever_fit (sched, unit, true);
  const char *rack = one_rack ? soonest_rack (openings, unit->waiting) : NULL;
  guint i;

  for (i = 0; i < openings->len && workers->len < unit->waiting; i++)
    {
      struct sd_worker *worker
          = g_array_index (openings, struct opening, i).worker;

      if (!one_rack || g_strcmp0 (worker->report.rack, rack) == 0)
        g_ptr_array_add (workers, worker);
    }
  g_array_free (openings, TRUE);
  if (workers->len == unit->waiting)
    return workers;
  g_ptr_array_unref (workers);
  return NULL;
}

/* --- Reservations --- */

static bool
is_still_good (const struct sd_reservation *reservation,
               const struct sd_unit *unit, int64_t now_ms)
{
  guint i;

  if (reservation->workers->len != unit->waiting)
    return false;
  for (i = 0; i < reservation->workers->len; i++)
    if (!sd_usable (g_ptr_array_index (reservation->workers, i), unit, now_ms))
      return false;
  return true;
}

bool
sd_reservation_give_back (struct sd_sched *sched, const struct sd_unit *unit)
{
  const struct sd_reservation *reservation
      = g_hash_table_lookup (sched->reservations, unit->step);

  if (reservation == NULL)
    return false;
  leave (sched, reservation, unit->step);
  return true;
}

void
sd_reservation_end (struct sd_sched *sched, const struct sd_unit *unit)
{
  g_hash_table_remove (sched->reservations, unit->step);
}

static bool
may_reserve_more (const struct sd_sched *sched, const struct sd_unit *unit)
{
  return sched->reserve_tries < TRIES_MAX
         && (sched->reserved_count + unit->waiting) * 100
                <= sched->workers->len * sched->params.reserve_percent;
}

void
sd_reserve_room (struct sd_sched *sched, const struct sd_unit *unit,
                 int64_t now_ms)
{
  struct sd_reservation *reservation
      = g_hash_table_lookup (sched->reservations, unit->step);
  GPtrArray *workers = NULL;

  if (reservation != NULL && is_still_good (reservation, unit, now_ms))
    {
      reservation->wanted = true;
      enter (sched, reservation, unit->step);
      return;
    }
  sd_reservation_end (sched, unit);
  if (may_reserve_more (sched, unit))
    {
      sched->reserve_tries++;
      workers = choose_workers (sched, unit, now_ms);
    }
  if (workers == NULL)
    return;
  reservation = g_new0 (struct sd_reservation, 1);
  reservation->workers = workers;
  reservation->wanted = true;
  g_hash_table_insert (sched->reservations, unit->step, reservation);
  enter (sched, reservation, unit->step);
}
