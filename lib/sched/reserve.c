/* Reservations: resources kept free for a gang that does not fit yet.  Made
   for this load: gangs of large tasks among a steady stream of small work that
   uses all resources as they become free; without a reservation such a gang
   waits until the stream ends.  Urgent work uses reserved resources only if it
   fits nowhere else; other work does not use them, unless utilization is
   low.  */

#include <stdlib.h>
#include <string.h>

#include "sched/private.h"

enum
{
  /* The remaining time that is assumed for a task that has run for longer than
     expected.  */
  OVERRUN_REMAINING_MS = 1000,
  /* Below this percentage the rate of a task is too rough to predict its
     remaining time.  */
  RATE_MIN_PERCENT = 10,
  TASKS_EXAMINED_MAX = 64, /* on one worker */
  /* A limit, since each search for a new reservation takes about 2 ms with
     3,300 workers.  */
  SEARCHES_PER_ROUND_MAX = 4,
  /* While less than this share of each kind of resource is in use, all waiting
     work may use reserved resources too.  Above one half, since the platform
     requires that work starts within 3 s while less than half is in use.  */
  LOW_UTILIZATION_PERCENT = 60
};

struct sd_reservation
{
  GPtrArray *workers; /* struct sd_worker, one for each task */
  bool seen_waiting;  /* this round has found its gang still waiting */
};

void
sd_reservation_free (void *data)
{
  struct sd_reservation *reservation = data;

  g_ptr_array_unref (reservation->workers);
  g_free (reservation);
}

static void
add_reserved (struct sd_sched *sched, const struct sd_reservation *reservation,
              const struct jb_step *step)
{
  guint i;

  sched->reserved_task_count += reservation->workers->len;
  for (i = 0; i < reservation->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (reservation->workers, i);

      sd_resources_add (&worker->round_reserved_resources,
                        &step->spec->resources);
    }
}

static void
subtract_reserved (struct sd_sched *sched,
                   const struct sd_reservation *reservation,
                   const struct jb_step *step)
{
  guint i;

  sched->reserved_task_count -= reservation->workers->len;
  for (i = 0; i < reservation->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (reservation->workers, i);

      sd_resources_subtract (&worker->round_reserved_resources,
                             &step->spec->resources);
    }
}

/* --- Around a round --- */

static bool
is_below_low_utilization (int64_t used, int64_t capacity)
{
  return capacity == 0 || used * 100 < capacity * LOW_UTILIZATION_PERCENT;
}

bool
sd_is_utilization_low (const struct sd_sched *sched, uint32_t service_index)
{
  const struct sd_service_use *use = sd_service_use (sched, service_index);

  return is_below_low_utilization (use->used.cpus_milli,
                                   use->capacity.cpus_milli)
         && is_below_low_utilization (use->used.memory_mib,
                                      use->capacity.memory_mib)
         && is_below_low_utilization (use->used.accelerators,
                                      use->capacity.accelerators);
}

void
sd_reservations_begin_round (struct sd_sched *sched)
{
  GHashTableIter iter;
  void *step;
  void *value;
  guint i;

  sched->reserved_task_count = 0;
  sched->reservation_searches = 0;
  for (i = 0; i < sched->workers->len; i++)
    ((struct sd_worker *)g_ptr_array_index (sched->workers, i))
        ->round_reserved_resources
        = (struct jb_resources){ 0 };
  g_hash_table_iter_init (&iter, sched->reservations);
  while (g_hash_table_iter_next (&iter, &step, &value))
    {
      struct sd_reservation *reservation = value;

      reservation->seen_waiting = false;
      add_reserved (sched, reservation, step);
    }
}

static gboolean
gang_no_longer_waits (void *step, void *value, void *ctx)
{
  (void)step;
  (void)ctx;
  return !((struct sd_reservation *)value)->seen_waiting;
}

void
sd_reservations_end_round (struct sd_sched *sched)
{
  g_hash_table_foreach_remove (sched->reservations, gang_no_longer_waits,
                               NULL);
}

/* --- When resources will be free --- */

int64_t
sd_remaining_ms (const struct sd_sched *sched, const struct jb_task *task,
                 int64_t now_ms, int64_t overrun_ms, bool *measured)
{
  int64_t expected_ms = es_expect_ms (sched->estimates, task->job->queue,
                                      task->step->spec->estimate_ms);
  int64_t last_change_ms = task->progress_changed_ms > 0
                               ? task->progress_changed_ms
                               : task->started_ms;
  int64_t left_ms;

  *measured = task->percent >= RATE_MIN_PERCENT && task->checkpoint == NULL;
  if (task->state == JB_TASK_STOPPING)
    return sched->params.stop_max_ms;
  if (task->started_ms == 0)
    return expected_ms;
  if (*measured)
    left_ms = (task->progress_changed_ms - task->started_ms)
              * (100 - task->percent) / task->percent;
  else
    left_ms = expected_ms * (100 - task->percent) / 100;
  return MAX (left_ms - (now_ms - last_change_ms), overrun_ms);
}

/* The expected end of a task on its worker, and the resources that it
   frees.  */
struct task_end
{
  int64_t after_ms;
  const struct jb_resources *resources;
};

static int
compare_task_ends (const void *a, const void *b)
{
  const struct task_end *left = a;
  const struct task_end *right = b;

  return (left->after_ms > right->after_ms)
         - (left->after_ms < right->after_ms);
}

static size_t
collect_task_ends (const struct sd_sched *sched,
                   const struct sd_worker *worker, int64_t now_ms,
                   struct task_end *task_ends)
{
  size_t count = MIN (worker->tasks->len, TASKS_EXAMINED_MAX);
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);
      bool measured;

      task_ends[i] = (struct task_end){
        .after_ms = sd_remaining_ms (sched, task, now_ms, OVERRUN_REMAINING_MS,
                                     &measured),
        .resources = &task->step->spec->resources
      };
    }
  qsort (task_ends, count, sizeof task_ends[0], compare_task_ends);
  return count;
}

/* A place for one task of the gang.  */
struct future_slot
{
  struct sd_worker *worker;
  int64_t after_ms; /* from now until it is free; 0: free now */
};

static int
compare_future_slots (const void *a, const void *b)
{
  const struct future_slot *left = a;
  const struct future_slot *right = b;

  if (left->after_ms != right->after_ms)
    return left->after_ms < right->after_ms ? -1 : 1;
  return strcmp (left->worker->report.id, right->worker->report.id);
}

static void
add_future_slots (const struct sd_sched *sched, const struct sd_unit *unit,
                  struct sd_worker *worker, int64_t now_ms,
                  GArray *future_slots)
{
  const struct jb_step_spec *spec = unit->step->spec;
  struct task_end task_ends[TASKS_EXAMINED_MAX] = { { .after_ms = 0 } };
  size_t count = collect_task_ends (sched, worker, now_ms, task_ends);
  uint32_t limit
      = spec->tasks_per_worker_limit > 0
            ? MIN (spec->tasks_per_worker_limit, unit->waiting_count)
            : unit->waiting_count;
  struct jb_resources available = worker->round_free_resources;
  struct future_slot future_slot = { .worker = worker };
  size_t next = 0;

  sd_resources_subtract (&available, &worker->round_reserved_resources);
  while (limit > 0)
    if (sd_resources_fit (&spec->resources, &available))
      {
        g_array_append_val (future_slots, future_slot);
        sd_resources_subtract (&available, &spec->resources);
        limit--;
      }
    else if (next < count)
      {
        future_slot.after_ms = task_ends[next].after_ms;
        sd_resources_add (&available, task_ends[next].resources);
        next++;
      }
    else
      return;
}

static GArray *
collect_future_slots (const struct sd_sched *sched, const struct sd_unit *unit,
                      int64_t now_ms)
{
  GArray *future_slots
      = g_array_new (FALSE, FALSE, sizeof (struct future_slot));
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (sd_worker_is_available (worker, unit, now_ms))
        add_future_slots (sched, unit, worker, now_ms, future_slots);
    }
  g_array_sort (future_slots, compare_future_slots);
  return future_slots;
}

/* The rack that has free places for the whole gang soonest; NULL: none.  */
static const char *
soonest_rack (const GArray *future_slots, uint32_t waiting)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  const char *found = NULL;
  guint i;

  for (i = 0; i < future_slots->len && found == NULL; i++)
    {
      char *rack = g_array_index (future_slots, struct future_slot, i)
                       .worker->report.rack;
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

/* The workers that have free places for the gang soonest, one for each task;
   NULL: the gang will not fit.  */
static GPtrArray *
choose_soonest_workers (const struct sd_sched *sched,
                        const struct sd_unit *unit, int64_t now_ms)
{
  GArray *future_slots = collect_future_slots (sched, unit, now_ms);
  GPtrArray *workers = g_ptr_array_new ();
  bool one_rack
      = unit->step->spec->one_rack && sd_could_ever_fit (sched, unit, true);
  const char *rack
      = one_rack ? soonest_rack (future_slots, unit->waiting_count) : NULL;
  guint i;

  for (i = 0; i < future_slots->len && workers->len < unit->waiting_count; i++)
    {
      struct sd_worker *worker
          = g_array_index (future_slots, struct future_slot, i).worker;

      if (!one_rack || g_strcmp0 (worker->report.rack, rack) == 0)
        g_ptr_array_add (workers, worker);
    }
  g_array_free (future_slots, TRUE);
  if (workers->len == unit->waiting_count)
    return workers;
  g_ptr_array_unref (workers);
  return NULL;
}

/* --- Reservations --- */

static bool
is_still_usable (const struct sd_reservation *reservation,
                 const struct sd_unit *unit, int64_t now_ms)
{
  guint i;

  if (reservation->workers->len != unit->waiting_count)
    return false;
  for (i = 0; i < reservation->workers->len; i++)
    if (!sd_worker_is_available (g_ptr_array_index (reservation->workers, i),
                                 unit, now_ms))
      return false;
  return true;
}

bool
sd_reservation_suspend (struct sd_sched *sched, const struct sd_unit *unit)
{
  const struct sd_reservation *reservation
      = g_hash_table_lookup (sched->reservations, unit->step);

  if (reservation == NULL)
    return false;
  subtract_reserved (sched, reservation, unit->step);
  return true;
}

void
sd_reservation_remove (struct sd_sched *sched, const struct sd_unit *unit)
{
  g_hash_table_remove (sched->reservations, unit->step);
}

/* Also bounds the searches, which take time even if they find nothing.  */
static bool
may_make_reservation (const struct sd_sched *sched, const struct sd_unit *unit)
{
  return sched->reservation_searches < SEARCHES_PER_ROUND_MAX
         && (sched->reserved_task_count + unit->waiting_count) * 100
                <= sched->workers->len
                       * sched->params.reserved_tasks_per_100_workers;
}

void
sd_reserve_resources (struct sd_sched *sched, const struct sd_unit *unit,
                      int64_t now_ms)
{
  struct sd_reservation *reservation
      = g_hash_table_lookup (sched->reservations, unit->step);
  GPtrArray *workers = NULL;

  if (reservation != NULL && is_still_usable (reservation, unit, now_ms))
    {
      reservation->seen_waiting = true;
      add_reserved (sched, reservation, unit->step);
      return;
    }
  sd_reservation_remove (sched, unit);
  if (may_make_reservation (sched, unit))
    {
      sched->reservation_searches++;
      workers = choose_soonest_workers (sched, unit, now_ms);
    }
  if (workers == NULL)
    return;
  reservation = g_new0 (struct sd_reservation, 1);
  reservation->workers = workers;
  reservation->seen_waiting = true;
  g_hash_table_insert (sched->reservations, unit->step, reservation);
  add_reserved (sched, reservation, unit->step);
}

const GPtrArray *
sd_reserved_workers (const struct sd_reservation *reservation)
{
  return reservation->workers;
}
