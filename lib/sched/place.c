/* Choice of workers for waiting tasks.  Made for this load: gangs of large
   tasks among many small ones.  Small tasks are packed onto workers that are
   in use already, so that whole workers and racks stay free, and a gang is
   placed in the fullest rack that it still fits into.  */

#include <string.h>

#include "sched/private.h"

/* A worker that could take tasks of a unit.  */
struct candidate
{
  struct sd_worker *worker;
  uint32_t copies;            /* tasks of the unit that fit there */
  uint32_t penalty;           /* workers with a lower one are chosen first */
  uint32_t neighbour_penalty; /* of sd_neighbour_penalty () */
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
sd_worker_is_eligible (const struct sd_worker *worker,
                       const struct sd_unit *unit)
{
  return worker->listed && !worker->report.draining
         && worker->service_index == unit->service_index
         && has_label (worker, unit->step->spec->label)
         && !sd_advice_refuses (unit->advice, worker->report.id);
}

/* Whether recent failures there keep the unit from the worker.  */
static bool
has_failed_lately (const struct sd_worker *worker, const struct sd_unit *unit,
                   int64_t now_ms)
{
  return sd_health_is_avoided (worker, now_ms)
         || (unit->avoids_suspects
             && sd_health_is_suspect (worker, unit->last_attempt, now_ms));
}

bool
sd_worker_is_available (const struct sd_worker *worker,
                        const struct sd_unit *unit, int64_t now_ms)
{
  return sd_worker_is_eligible (worker, unit)
         && worker->reachability == SD_WORKER_REACHABLE
         && worker->reported_ms >= unit->oldest_report_ms
         && (unit->takes_avoided || !has_failed_lately (worker, unit, now_ms))
         && sd_advice_allows (unit->advice, worker->report.id);
}

static bool
can_start_now (const struct sd_worker *worker, const struct sd_unit *unit,
               int64_t now_ms)
{
  return sd_worker_is_available (worker, unit, now_ms)
         && worker->start_backoff_until_ms <= now_ms
         && worker->exclusive_until_ms <= now_ms
         && !(unit->starts_alone && sd_crash_has_starting_run (worker, now_ms))
         && sd_advice_has_ticket (unit->advice, worker->report.id, now_ms);
}

uint32_t
sd_tasks_of_step_on (const struct sd_worker *worker,
                     const struct jb_step *step)
{
  uint32_t count = 0;
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    if (((struct jb_task *)g_ptr_array_index (worker->tasks, i))->step == step)
      count++;
  return count;
}

/* How many waiting tasks of the unit fit into RESOURCES on the worker.  */
static uint32_t
copies_on (const struct sd_worker *worker, const struct sd_unit *unit,
           const struct jb_resources *resources)
{
  const struct jb_step_spec *spec = unit->step->spec;
  uint32_t limit = unit->waiting_count;
  uint32_t there;

  if (spec->tasks_per_worker_limit > 0)
    {
      there = sd_tasks_of_step_on (worker, unit->step);
      if (there >= spec->tasks_per_worker_limit)
        return 0;
      limit = MIN (limit, spec->tasks_per_worker_limit - there);
    }
  return sd_resources_copies (&spec->resources, resources, limit);
}

uint32_t
sd_copies_without_preferences (const struct sd_worker *worker,
                               const struct sd_unit *unit, uint32_t limit,
                               int64_t now_ms)
{
  struct sd_unit any = *unit;

  any.takes_avoided = true;
  any.waiting_count = limit;
  if (!sd_worker_is_available (worker, &any, now_ms))
    return 0;
  return copies_on (worker, &any, &worker->round_free_resources);
}

static bool
is_remote (const struct sd_worker *worker, const struct jb_step_spec *spec)
{
  return spec->data_rack != NULL
         && g_strcmp0 (worker->report.rack, spec->data_rack) != 0;
}

/* Whether best-effort and serving tasks would share the worker.  */
static bool
would_interfere (const struct sd_worker *worker,
                 const struct jb_step_spec *spec)
{
  guint i;

  if (!spec->best_effort && spec->tail_target_ms == 0)
    return false;
  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_step_spec *other
          = ((struct jb_task *)g_ptr_array_index (worker->tasks, i))
                ->step->spec;

      if (spec->best_effort ? other->tail_target_ms > 0 : other->best_effort)
        return true;
    }
  return false;
}

/* Workers with other runs come last for a step that may crash them; then
   remote workers; then those where best-effort and serving tasks would share
   the worker, or tasks that are known to slow each other down, or with recent
   failures.  A step that has failed before prefers
   workers that have finished a run.  */
static uint32_t
placement_penalty (const struct sd_worker *worker, const struct sd_unit *unit,
                   uint32_t neighbour_penalty)
{
  uint32_t penalty = 0;

  if (unit->prefers_idle && worker->tasks->len > 0)
    penalty += 16;
  if (is_remote (worker, unit->step->spec))
    penalty += 4;
  if (would_interfere (worker, unit->step->spec))
    neighbour_penalty = MAX (neighbour_penalty, 2);
  penalty += neighbour_penalty;
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
  const struct jb_resources *left_free = &left->worker->round_free_resources;
  const struct jb_resources *right_free = &right->worker->round_free_resources;

  if (left->penalty != right->penalty)
    return left->penalty < right->penalty ? -1 : 1;
  if (left_free->accelerators != right_free->accelerators)
    return left_free->accelerators < right_free->accelerators ? -1 : 1;
  if (left_free->memory_mib != right_free->memory_mib)
    return left_free->memory_mib < right_free->memory_mib ? -1 : 1;
  return strcmp (left->worker->report.id, right->worker->report.id);
}

/* Whether RESOURCES hold one task; the same as sd_resources_copies () above
   0, without its divisions.  */
static bool
hold_one (const struct jb_resources *need,
          const struct jb_resources *resources)
{
  return (need->accelerators <= 0
          || need->accelerators <= resources->accelerators)
         && (need->cpus_milli <= 0
             || need->cpus_milli <= resources->cpus_milli)
         && (need->memory_mib <= 0
             || need->memory_mib <= resources->memory_mib);
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
      struct jb_resources resources;

      /* While more work waits than fits, most workers have no room.  */
      if (!hold_one (&unit->step->spec->resources,
                     &worker->round_free_resources)
          || !can_start_now (worker, unit, now_ms))
        continue;
      resources = worker->round_free_resources;
      if (!use_reserved)
        sd_resources_subtract (&resources, &worker->round_reserved_resources);
      candidate.copies = copies_on (worker, unit, &resources);
      candidate.neighbour_penalty
          = sd_neighbour_penalty (sched, worker, unit->step);
      candidate.penalty
          = placement_penalty (worker, unit, candidate.neighbour_penalty);
      if (candidate.copies > 0)
        g_array_append_val (found, candidate);
    }
  g_array_sort (found, compare_candidates);
  return found;
}

/* --- Racks --- */

/* What a rack has for a unit.  */
struct rack_room
{
  uint64_t copies;           /* tasks of the unit that fit there */
  int64_t free_accelerators; /* on all its workers */
};

/* @return : struct rack_room, by sd_worker.rack_index; to be freed by the
   caller.  */
static struct rack_room *
count_room_of_racks (const struct sd_sched *sched, const GArray *candidates)
{
  struct rack_room *rooms
      = g_new0 (struct rack_room, g_hash_table_size (sched->rack_indexes) + 1);
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      rooms[candidate->worker->rack_index].copies += candidate->copies;
    }
  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      rooms[worker->rack_index].free_accelerators
          += MAX (worker->round_free_resources.accelerators, 0);
    }
  return rooms;
}

static uint32_t
count_copies (const GArray *candidates, uint32_t limit)
{
  uint64_t copies = 0;
  guint i;

  for (i = 0; i < candidates->len; i++)
    copies += g_array_index (candidates, struct candidate, i).copies;
  return (uint32_t)MIN (copies, limit);
}

/* The rack of the step's data if all waiting tasks fit there, else the fullest
   rack that they fit into; 0: none.  */
static uint32_t
choose_rack (const struct sd_sched *sched, const struct sd_unit *unit,
             const GArray *candidates)
{
  struct rack_room *rooms = count_room_of_racks (sched, candidates);
  const char *data_rack = unit->step->spec->data_rack;
  uint32_t best = 0;
  guint i;

  if (data_rack != NULL)
    best = GPOINTER_TO_UINT (
        g_hash_table_lookup (sched->rack_indexes, data_rack));
  if (best != 0 && rooms[best].copies >= unit->waiting_count)
    goto done;
  best = 0;
  for (i = 0; i < candidates->len; i++)
    {
      uint32_t rack
          = g_array_index (candidates, struct candidate, i).worker->rack_index;

      if (rack != 0 && rooms[rack].copies >= unit->waiting_count
          && (best == 0
              || rooms[rack].free_accelerators
                     < rooms[best].free_accelerators))
        best = rack;
    }

done:
  g_free (rooms);
  return best;
}

static uint32_t
limit_per_worker (const struct sd_unit *unit)
{
  uint32_t limit = unit->step->spec->tasks_per_worker_limit;

  return limit > 0 ? MIN (limit, unit->waiting_count) : unit->waiting_count;
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

      if (!sd_worker_is_eligible (worker, unit))
        continue;
      copies = sd_resources_copies (&unit->step->spec->resources,
                                    &worker->report.resources,
                                    limit_per_worker (unit));
      copies += GPOINTER_TO_UINT (g_hash_table_lookup (racks, key));
      g_hash_table_insert (racks, key, GUINT_TO_POINTER (copies));
      most = MAX (most, copies);
    }
  g_hash_table_destroy (racks);
  return most >= unit->waiting_count;
}

/* --- Units that did not fit --- */

/* Whether UNIT cannot fit where UNPLACEABLE, a unit that came earlier in the
   round, did not.  On its last attempt a unit uses fewer workers; one that has
   to wait for a rack says nothing of one that no rack will ever hold.  */
static bool
needs_at_least (const struct sd_sched *sched, const struct sd_unit *unit,
                const struct sd_unit *unplaceable)
{
  const struct jb_step_spec *spec = unit->step->spec;
  const struct jb_step_spec *other = unplaceable->step->spec;

  return (unit->last_attempt || !unplaceable->last_attempt)
         && unit->advice == NULL && unplaceable->advice == NULL
         && sd_resources_fit (&other->resources, &spec->resources)
         && spec->gang >= other->gang && spec->one_rack >= other->one_rack
         && (!other->gang || unit->waiting_count >= unplaceable->waiting_count)
         && g_strcmp0 (unit->service, unplaceable->service) == 0
         && (other->label == NULL
             || g_strcmp0 (spec->label, other->label) == 0)
         && other->tasks_per_worker_limit == 0
         && unit->priority >= unplaceable->priority
         && (!other->gang || !other->one_rack
             || sd_could_ever_fit (sched, unit, true));
}

bool
sd_is_known_unplaceable (const struct sd_sched *sched,
                         const struct sd_unit *unit)
{
  guint i;

  for (i = 0; i < sched->unplaceable_units->len; i++)
    if (needs_at_least (
            sched, unit,
            &g_array_index (sched->unplaceable_units, struct sd_unit, i)))
      return true;
  return false;
}

/* --- Choice --- */

/* Whether a candidate with room has neighbours that the unit is kept from.  */
static bool
leaves_neighbours (const GArray *candidates, uint32_t rack)
{
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      if (candidate->neighbour_penalty > 0 && candidate->copies > 0
          && (rack == 0 || candidate->worker->rack_index == rack))
        return true;
    }
  return false;
}

/* Gives waiting tasks of the unit to the candidates in their order; RACK 0:
   to candidates of any rack.  */
static void
assign_tasks (const struct sd_unit *unit, GArray *candidates, uint32_t rack,
              struct sd_placement *placement)
{
  uint32_t next = 0;
  uint32_t apart = 0;
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      if (rack != 0 && candidate->worker->rack_index != rack)
        continue;
      for (; candidate->copies > 0 && next < unit->step->spec->count; next++)
        {
          struct jb_task *task = &unit->step->tasks[next];

          if (task->state != JB_TASK_WAITING || sd_crash_must_wait (task))
            continue;
          candidate->copies--;
          apart += candidate->neighbour_penalty == 0;
          g_ptr_array_add (placement->tasks, task);
          g_ptr_array_add (placement->workers, candidate->worker);
        }
    }
  placement->kept_apart = leaves_neighbours (candidates, rack) ? apart : 0;
}

/* What a choice may use.  */
struct freedom
{
  bool reserved; /* resources that are reserved for gangs */
  bool racks;    /* several racks, for a gang that prefers one */
  bool avoided;  /* avoided and suspect workers */
};

static bool
choose_with (const struct sd_sched *sched, const struct sd_unit *unit,
             const struct freedom *freedom, int64_t now_ms,
             struct sd_placement *placement)
{
  const struct jb_step_spec *spec = unit->step->spec;
  struct sd_unit allowed = *unit;
  GArray *candidates;
  uint32_t rack = 0;

  allowed.takes_avoided = freedom->avoided;
  g_ptr_array_set_size (placement->tasks, 0);
  g_ptr_array_set_size (placement->workers, 0);
  placement->kept_apart = 0;
  candidates = collect_candidates (sched, &allowed, freedom->reserved, now_ms);
  if (spec->gang)
    {
      if (count_copies (candidates, unit->waiting_count) < unit->waiting_count)
        goto done;
      rack = choose_rack (sched, unit, candidates);
      if (rack == 0 && spec->one_rack && !freedom->racks
          && sd_could_ever_fit (sched, unit, true))
        goto done;
    }
  assign_tasks (unit, candidates, rack, placement);

done:
  g_array_free (candidates, TRUE);
  return placement->tasks->len == unit->waiting_count;
}

/* How many of the tries below the unit is given.  */
static size_t
count_tries (const struct sd_unit *unit, size_t all)
{
  if (unit->has_stood_too_long)
    return unit->may_use_avoided ? all : all - 1;
  return unit->uses_reserved ? 2 : 1;
}

bool
sd_choose_workers (const struct sd_sched *sched, const struct sd_unit *unit,
                   int64_t now_ms, struct sd_placement *placement)
{
  static const struct freedom tries[] = {
    { .reserved = false },
    { .reserved = true },
    { .reserved = true, .racks = true },
    { .reserved = true, .racks = true, .avoided = true },
  };
  size_t count = count_tries (unit, G_N_ELEMENTS (tries));
  bool complete = false;
  size_t i;

  for (i = 0; i < count && !complete; i++)
    {
      complete = choose_with (sched, unit, &tries[i], now_ms, placement);
      /* One task that starts is enough for work that has stood.  */
      if (unit->has_stood_too_long && !unit->step->spec->gang
          && placement->tasks->len > 0)
        break;
    }
  return complete;
}
