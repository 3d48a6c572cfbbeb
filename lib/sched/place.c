/* Choice of workers for waiting tasks.  Made for this load: gangs of large
   tasks among many small ones.  Small tasks are packed onto workers that are
   in use already, so that whole workers and racks stay free, and a gang is
   placed in the fullest rack that it still fits into.  Where workers are known
   to run at uneven speeds: urgent work goes to the fastest that have room for
   all of it, other work to the slowest that are fast enough, so that the fast
   ones stay free; a gang runs at the speed of its slowest member, so that its
   other members need no faster workers.  */

#include <string.h>

#include "sched/private.h"

enum
{
  REMOTE_PENALTY = 4,
  SPEED_LEVEL_MAX = 8,
  SPEED_LEVELS = 2 * SPEED_LEVEL_MAX + 1
};

/* Work counts as done in time on a worker if this much more would be, for the
   tasks of a step differ by as much.  */
#define IN_TIME_MARGIN 1.3

/* A worker that could take tasks of a unit.  */
struct candidate
{
  struct sd_worker *worker;
  uint32_t copies;            /* tasks of the unit that fit there */
  uint32_t penalty;           /* workers with a lower one are chosen first */
  uint32_t neighbour_penalty; /* of sd_neighbour_penalty () */
  int32_t level;  /* of its speed for the unit, in steps of sp_level () */
  uint32_t order; /* by speed, after `penalty`; 0: it does not matter */
  bool doubtful;  /* see is_doubtful () */
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
  return worker->listed && worker->report_is_current
         && !worker->report.draining
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
  return sd_worker_is_eligible (worker, unit) && !worker->closed
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
    penalty += REMOTE_PENALTY;
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

static int
compare_orders (const void *a, const void *b)
{
  const struct candidate *left = a;
  const struct candidate *right = b;

  if (left->penalty != right->penalty)
    return left->penalty < right->penalty ? -1 : 1;
  return (left->order > right->order) - (left->order < right->order);
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

/* Away from its data a task is slower as if its worker was.  */
static int32_t
speed_level (const struct sd_sched *sched, const struct sd_worker *worker,
             const struct sd_unit *unit)
{
  int32_t level = worker->speed_level;

  if (sd_speeds (sched).uneven && is_remote (worker, unit->step->spec))
    level -= sp_levels_between (sched->speeds,
                                sched->params.remote_slowdown_factor);
  return CLAMP (level, -SPEED_LEVEL_MAX, SPEED_LEVEL_MAX);
}

/* Whether the worker comes after those of all speeds: it has a penalty for
   more than remote data, which its level accounts for, and a small loss by
   neighbours, which is less than that of a slower worker.  */
static bool
is_doubtful (const struct candidate *candidate, const struct sd_unit *unit)
{
  uint32_t accounted
      = is_remote (candidate->worker, unit->step->spec) ? REMOTE_PENALTY : 0;

  if (candidate->neighbour_penalty == 1)
    accounted++;
  return candidate->penalty > accounted;
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
      candidate.level = speed_level (sched, worker, unit);
      candidate.doubtful = is_doubtful (&candidate, unit);
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

      if (!sd_worker_is_eligible (worker, unit)
          || (worker->closed && !unit->counts_closed))
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

/* --- Speeds --- */

/* Speeds of workers, from the slowest to the fastest, both included.  */
struct speed_band
{
  int32_t slowest;
  int32_t fastest;
  bool doubtful; /* also doubtful candidates */
};

static bool
is_usable (const struct candidate *candidate, bool doubtful)
{
  return doubtful || !candidate->doubtful;
}

/* The slowest level at which the unit is done in time; SPEED_LEVEL_MAX + 1:
   there is none, or it is urgent and runs as fast as it can.  What is late at
   any speed leaves the fast workers to others.  */
static int32_t
slowest_in_time (const struct sd_sched *sched, const struct sd_unit *unit,
                 int64_t now_ms)
{
  double path_ms = (double)sd_unit_path_ms (sched, unit) * IN_TIME_MARGIN;
  double left_ms = (double)(unit->due_ms - now_ms);
  int32_t level = -SPEED_LEVEL_MAX;

  if (unit->priority == 0)
    return SPEED_LEVEL_MAX + 1;
  while (level <= SPEED_LEVEL_MAX
         && path_ms > left_ms * sp_level_speed (sched->speeds, level))
    level++;
  return level <= SPEED_LEVEL_MAX ? level : -SPEED_LEVEL_MAX;
}

/* Keeps the candidates of BAND.  */
static GArray *
candidates_in (const GArray *candidates, const struct speed_band *band)
{
  GArray *kept = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      struct candidate candidate
          = g_array_index (candidates, struct candidate, i);

      if (candidate.level < band->slowest || candidate.level > band->fastest
          || !is_usable (&candidate, band->doubtful))
        continue;
      candidate.order = (uint32_t)(candidate.level - band->slowest);
      g_array_append_val (kept, candidate);
    }
  g_array_sort (kept, compare_orders);
  return kept;
}

/* Whether the unit, for which BAND has room, fits into one rack of it, if it
   has to.
   @return : the candidates there; NULL: it does not fit.  */
static GArray *
fit_into_band (const struct sd_sched *sched, const struct sd_unit *unit,
               const GArray *candidates, const struct speed_band *band,
               bool one_rack)
{
  GArray *kept = candidates_in (candidates, band);

  if (!one_rack || choose_rack (sched, unit, kept) != 0)
    return kept;
  g_array_free (kept, TRUE);
  return NULL;
}

/* What a unit may be given in a choice of its speed.  */
struct speed_choice
{
  const GArray *candidates;
  bool one_rack;                 /* it has to fit into one */
  bool doubtful;                 /* doubtful candidates may be used */
  uint64_t copies[SPEED_LEVELS]; /* of the usable candidates */
};

/* Tries the bands that begin with level SLOWEST, the narrowest first.  */
static GArray *
fit_from_level (const struct sd_sched *sched, const struct sd_unit *unit,
                const struct speed_choice *choice, int32_t slowest)
{
  struct speed_band band
      = { .slowest = slowest, .doubtful = choice->doubtful };
  uint64_t enough = 0;
  GArray *kept = NULL;

  if (choice->copies[slowest + SPEED_LEVEL_MAX] == 0)
    return NULL;
  for (band.fastest = slowest; kept == NULL && band.fastest <= SPEED_LEVEL_MAX;
       band.fastest++)
    {
      uint64_t more = choice->copies[band.fastest + SPEED_LEVEL_MAX];

      enough += more;
      if (more > 0 && enough >= unit->waiting_count)
        kept = fit_into_band (sched, unit, choice->candidates, &band,
                              choice->one_rack);
    }
  return kept;
}

/* Chooses the speed at which the unit will run.
   @return : the candidates of that speed, of which some may be faster; NULL:
             it does not fit at any speed.  */
static GArray *
fit_at_speed (const struct sd_sched *sched, const struct sd_unit *unit,
              struct speed_choice choice, int64_t now_ms)
{
  int32_t in_time = slowest_in_time (sched, unit, now_ms);
  GArray *kept = NULL;
  int32_t level;
  guint i;

  for (i = 0; i < choice.candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (choice.candidates, struct candidate, i);

      if (is_usable (candidate, choice.doubtful))
        choice.copies[candidate->level + SPEED_LEVEL_MAX] += candidate->copies;
    }
  for (level = in_time; kept == NULL && level <= SPEED_LEVEL_MAX; level++)
    kept = fit_from_level (sched, unit, &choice, level);
  for (level = MIN (in_time, SPEED_LEVEL_MAX + 1) - 1;
       kept == NULL && level >= -SPEED_LEVEL_MAX; level--)
    kept = fit_from_level (sched, unit, &choice, level);
  return kept;
}

/* For tasks of which not all fit: those that are fast enough first, then the
   faster ones of the others.  */
static void
order_by_speed (const struct sd_sched *sched, const struct sd_unit *unit,
                GArray *candidates, int64_t now_ms)
{
  int32_t in_time = slowest_in_time (sched, unit, now_ms);
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      candidate->order
          = candidate->level >= in_time
                ? (uint32_t)(candidate->level - in_time)
                : (uint32_t)(SPEED_LEVELS + in_time - candidate->level);
    }
  g_array_sort (candidates, compare_orders);
}

/* Orders CANDIDATES by speed, and leaves out those of other speeds than the
   unit is to run at.
   @return : CANDIDATES, or what replaces them.  */
static GArray *
choose_speed (const struct sd_sched *sched, const struct sd_unit *unit,
              GArray *candidates, bool one_rack, int64_t now_ms)
{
  struct speed_choice choice
      = { .candidates = candidates, .one_rack = one_rack };
  GArray *kept;

  if (!sd_speeds (sched).uneven || unit->step->spec->long_lived)
    return candidates;
  kept = fit_at_speed (sched, unit, choice, now_ms);
  choice.doubtful = true;
  if (kept == NULL)
    kept = fit_at_speed (sched, unit, choice, now_ms);
  choice.one_rack = false;
  if (kept == NULL && one_rack && !sd_could_ever_fit (sched, unit, true))
    kept = fit_at_speed (sched, unit, choice, now_ms);
  if (kept == NULL)
    {
      order_by_speed (sched, unit, candidates, now_ms);
      return candidates;
    }
  g_array_free (candidates, TRUE);
  return kept;
}

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
  if (spec->gang
      && count_copies (candidates, unit->waiting_count) < unit->waiting_count)
    goto done;
  candidates
      = choose_speed (sched, &allowed, candidates,
                      spec->gang && spec->one_rack && !freedom->racks, now_ms);
  if (spec->gang)
    {
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
