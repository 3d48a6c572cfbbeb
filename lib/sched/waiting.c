/* Why work stands: for each step of which nothing runs, the one condition that
   keeps it from starting.  Made for the question of an engineer who has only
   the id of a job: what did it wait for?

   A step that may start is tried again with one condition lifted after the
   other, by the free resources that the last round has left.  That takes a few
   choices of workers each, so only some steps are examined in a survey.  */

#include <string.h>

#include "sched/private.h"

static const char *const wait_names[] = {
  [SD_WAIT_UNKNOWN] = "unknown",
  [SD_WAIT_NO_QUEUE] = "no-queue",
  [SD_WAIT_NOT_DUE] = "not-due",
  [SD_WAIT_EARLIER_STEP] = "earlier-step",
  [SD_WAIT_UNDECIDED] = "undecided-losses",
  [SD_WAIT_MEMBER_STOPPING] = "member-stopping",
  [SD_WAIT_MEMBER_PLACED] = "member-placed",
  [SD_WAIT_START] = "start",
  [SD_WAIT_START_UNSTORED] = "start-unstored",
  [SD_WAIT_START_UNSENT] = "start-unsent",
  [SD_WAIT_START_UNANSWERED] = "start-unanswered",
  [SD_WAIT_NEXT_ROUND] = "next-round",
  [SD_WAIT_NO_ROUNDS] = "no-rounds",
  [SD_WAIT_START_BACKLOG] = "start-backlog",
  [SD_WAIT_ROUND_ENDED] = "round-ended",
  [SD_WAIT_TOO_FEW_WORKERS] = "too-few-workers",
  [SD_WAIT_RESERVED] = "reserved",
  [SD_WAIT_ONE_RACK] = "one-rack",
  [SD_WAIT_PREEMPTING] = "preempting",
  [SD_WAIT_UNASSIGNED] = "unassigned-runs",
  [SD_WAIT_BACKOFF] = "backoff",
  [SD_WAIT_EXCLUSIVE] = "exclusive",
  [SD_WAIT_ALONE] = "alone",
  [SD_WAIT_ADVISOR] = "advisor",
  [SD_WAIT_SUSPECT] = "suspect",
  [SD_WAIT_AVOIDED] = "avoided",
  [SD_WAIT_OLD_REPORT] = "old-report",
  [SD_WAIT_UNSEEN] = "unseen",
  [SD_WAIT_UNREACHABLE] = "unreachable",
  [SD_WAIT_CLOSED] = "closed-data-centre",
  [SD_WAIT_NO_CPUS] = "no-cpus",
  [SD_WAIT_NO_MEMORY] = "no-memory",
  [SD_WAIT_NO_ACCELERATORS] = "no-accelerators",
  [SD_WAIT_NO_ROOM] = "no-room",
};

G_STATIC_ASSERT (G_N_ELEMENTS (wait_names) == SD_WAIT_COUNT);

const char *
sd_wait_name (enum sd_wait why)
{
  return (unsigned int)why < SD_WAIT_COUNT ? wait_names[why] : "unknown";
}

static void set_wait (struct sd_waiting *waiting, enum sd_wait why,
                      const char *format, ...) G_GNUC_PRINTF (3, 4);

static void
set_wait (struct sd_waiting *waiting, enum sd_wait why, const char *format,
          ...)
{
  va_list args;

  waiting->why = why;
  va_start (args, format);
  g_vsnprintf (waiting->detail, sizeof waiting->detail, format, args);
  va_end (args);
}

/* --- Steps that may not be placed now --- */

static bool
is_running (const struct jb_task *task)
{
  return task->state == JB_TASK_PLACED && task->confirmed;
}

static const struct jb_task *
find_task (const struct jb_step *step, enum jb_task_state state,
           bool unconfirmed_only)
{
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    if (step->tasks[i].state == state
        && !(unconfirmed_only && step->tasks[i].confirmed))
      return &step->tasks[i];
  return NULL;
}

static bool
is_done (const struct jb_step *step)
{
  return step->done_count >= step->spec->count;
}

static const struct jb_step *
find_earlier_step (const struct jb_step *step)
{
  const struct jb_step *first = step - step->index;
  size_t i;

  for (i = 0; i < step->spec->depends_on_count; i++)
    if (!is_done (&first[step->spec->depends_on[i]]))
      return &first[step->spec->depends_on[i]];
  return NULL;
}

static const char *
worker_state (const struct sd_worker *worker)
{
  if (worker == NULL)
    return "unknown";
  if (!worker->listed)
    return "unlisted";
  if (worker->reachability == SD_WORKER_UNSEEN)
    return "unseen";
  if (worker->reachability == SD_WORKER_UNREACHABLE)
    return "unreachable";
  if (worker->closed)
    return "closed";
  return worker->report.draining ? "draining" : "reachable";
}

static void
set_task_wait (const struct sd_sched *sched, struct sd_waiting *waiting,
               enum sd_wait why, const struct jb_task *task, int64_t now_ms)
{
  const struct sd_worker *worker
      = task->worker == NULL ? NULL : sd_worker_find (sched, task->worker);

  waiting->task = task;
  set_wait (
      waiting, why,
      "task %u, run %u, on %.32s (%s), placed for %" G_GINT64_FORMAT " ms, %s",
      task->index, task->run, task->worker == NULL ? "" : task->worker,
      worker_state (worker), now_ms - task->placed_ms,
      task->state == JB_TASK_STOPPING
          ? (task->stop_reason == NULL ? "stop adopted" : task->stop_reason)
      : task->confirmed ? "confirmed"
                        : "not confirmed");
}

/* The tasks that wait of a step whose tasks last are looked at by their
   unit.  */
static bool
explain_placed (const struct sd_sched *sched, const struct jb_step *step,
                int64_t now_ms, struct sd_waiting *waiting)
{
  const struct jb_task *waits = find_task (step, JB_TASK_WAITING, false);
  const struct jb_task *stopping = find_task (step, JB_TASK_STOPPING, false);
  const struct jb_task *placed = find_task (step, JB_TASK_PLACED, false);
  const struct jb_task *unconfirmed = find_task (step, JB_TASK_PLACED, true);

  if (waits != NULL && step->spec->long_lived && !step->spec->gang)
    return false;
  if (stopping != NULL)
    set_task_wait (sched, waiting, SD_WAIT_MEMBER_STOPPING, stopping, now_ms);
  else if (placed != NULL && waits != NULL && step->spec->gang)
    set_task_wait (sched, waiting, SD_WAIT_MEMBER_PLACED, placed, now_ms);
  else if (unconfirmed != NULL)
    set_task_wait (sched, waiting, SD_WAIT_START, unconfirmed, now_ms);
  else
    return false;
  return true;
}

/* A task of the step that must wait for its losses to be decided, unless
   another task of the step need not; NULL: there is none.  */
static const struct jb_task *
find_undecided (const struct jb_step *step)
{
  const struct jb_task *undecided = NULL;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      const struct jb_task *task = &step->tasks[i];

      if (task->state != JB_TASK_WAITING)
        continue;
      if (sd_crash_must_wait (task))
        undecided = task;
      else if (!step->spec->gang)
        return NULL;
    }
  return undecided;
}

/* @return : whether the reason is found without a choice of workers.  */
static bool
explain_cheaply (const struct sd_sched *sched, const struct jb_step *step,
                 int64_t now_ms, int64_t now_unix_ms,
                 struct sd_waiting *waiting)
{
  int64_t due_unix_ms = jb_step_due_unix_ms (step);
  const struct jb_step *earlier = find_earlier_step (step);
  const struct jb_task *undecided = find_undecided (step);

  if (sched->catalog == NULL || jq_of_job (sched->catalog, step->job) == NULL)
    set_wait (waiting, SD_WAIT_NO_QUEUE, "queue %.100s%s", step->job->queue,
              sched->catalog == NULL ? ", no configuration" : "");
  else if (due_unix_ms > now_unix_ms)
    set_wait (waiting, SD_WAIT_NOT_DUE,
              "due at %" G_GINT64_FORMAT " ms, the time of day here is "
              "%" G_GINT64_FORMAT " ms",
              due_unix_ms, now_unix_ms);
  else if (earlier != NULL)
    set_wait (waiting, SD_WAIT_EARLIER_STEP, "step %u, %u of %u tasks done",
              earlier->index, earlier->done_count, earlier->spec->count);
  else if (undecided != NULL)
    set_wait (waiting, SD_WAIT_UNDECIDED, "task %u, %u losses",
              undecided->index, undecided->undecided_losses->len);
  else
    return explain_placed (sched, step, now_ms, waiting);
  return true;
}

/* --- Steps that may be placed --- */

/* What the workers have for a unit, by the first condition that keeps a worker
   from getting a start of it.  */
struct room
{
  uint32_t needed;   /* tasks that must fit at least */
  uint32_t eligible; /* workers */
  uint32_t closed;   /* of them, those in closed data centres */
  uint32_t open;     /* of them, those that nothing keeps from a start */
  /* Tasks that fit, by enum sd_wait: on the workers that this condition keeps
     from a start; [SD_WAIT_NEXT_ROUND]: on those that are open.  */
  uint64_t copies[SD_WAIT_COUNT];
  /* On the open ones, if the room of pending preemptions, or of runs that are
     not assigned, were free too; and by one kind of resource alone.  */
  uint64_t with_preempted;
  uint64_t with_unassigned;
  uint64_t by_cpus;
  uint64_t by_memory;
  uint64_t by_accelerators;
};

/* SD_WAIT_NEXT_ROUND: nothing keeps the worker from a start of the unit.  */
static enum sd_wait
find_obstacle (const struct sd_worker *worker, const struct sd_unit *unit,
               int64_t now_ms)
{
  if (!sd_worker_is_available (worker, unit, now_ms))
    {
      if (worker->closed)
        return SD_WAIT_CLOSED;
      if (worker->reachability == SD_WORKER_UNSEEN)
        return SD_WAIT_UNSEEN;
      if (worker->reachability != SD_WORKER_REACHABLE)
        return SD_WAIT_UNREACHABLE;
      if (worker->reported_ms < unit->oldest_report_ms)
        return SD_WAIT_OLD_REPORT;
      if (sd_health_is_avoided (worker, now_ms))
        return SD_WAIT_AVOIDED;
      if (!sd_advice_allows (unit->advice, worker->report.id))
        return SD_WAIT_ADVISOR;
      return SD_WAIT_SUSPECT;
    }
  if (!sd_advice_has_ticket (unit->advice, worker->report.id, now_ms))
    return SD_WAIT_ADVISOR;
  if (worker->start_backoff_until_ms > now_ms)
    return SD_WAIT_BACKOFF;
  if (worker->exclusive_until_ms > now_ms)
    return SD_WAIT_EXCLUSIVE;
  if (unit->starts_alone && sd_crash_has_starting_run (worker, now_ms))
    return SD_WAIT_ALONE;
  return SD_WAIT_NEXT_ROUND;
}

static uint32_t
limit_on (const struct sd_worker *worker, const struct sd_unit *unit)
{
  uint32_t limit = unit->step->spec->tasks_per_worker_limit;
  uint32_t there = 0;
  guint i;

  if (limit == 0)
    return unit->waiting_count;
  for (i = 0; i < worker->tasks->len; i++)
    there += ((struct jb_task *)g_ptr_array_index (worker->tasks, i))->step
             == unit->step;
  return limit > there ? MIN (limit - there, unit->waiting_count) : 0;
}

static void
count_open_worker (const struct sd_worker *worker, const struct sd_unit *unit,
                   uint32_t limit, struct room *room)
{
  const struct jb_resources *need = &unit->step->spec->resources;
  const struct jb_resources *free_now = &worker->round_free_resources;
  const struct jb_resources cpus = { .cpus_milli = need->cpus_milli };
  const struct jb_resources memory = { .memory_mib = need->memory_mib };
  const struct jb_resources accelerators
      = { .accelerators = need->accelerators };
  struct jb_resources more = worker->report.resources;

  room->open++;
  room->by_cpus += sd_resources_copies (&cpus, free_now, limit);
  room->by_memory += sd_resources_copies (&memory, free_now, limit);
  room->by_accelerators
      += sd_resources_copies (&accelerators, free_now, limit);
  sd_resources_subtract (&more, &worker->used_resources);
  room->with_unassigned += sd_resources_copies (need, &more, limit);
  sd_resources_subtract (&more, &worker->unassigned_resources);
  room->with_preempted += sd_resources_copies (need, &more, limit);
}

static struct room
survey_room (const struct sd_sched *sched, const struct sd_unit *unit,
             int64_t now_ms)
{
  struct room room
      = { .needed = unit->step->spec->gang ? unit->waiting_count : 1 };
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);
      enum sd_wait obstacle;
      uint32_t limit;

      if (!sd_worker_is_eligible (worker, unit))
        continue;
      room.eligible++;
      room.closed += worker->closed;
      limit = limit_on (worker, unit);
      obstacle = find_obstacle (worker, unit, now_ms);
      room.copies[obstacle] += sd_resources_copies (
          &unit->step->spec->resources, &worker->round_free_resources, limit);
      if (obstacle == SD_WAIT_NEXT_ROUND)
        count_open_worker (worker, unit, limit, &room);
    }
  return room;
}

static bool
would_start (const struct sd_sched *sched, const struct sd_unit *unit,
             int64_t now_ms)
{
  struct sd_placement placement
      = { .tasks = g_ptr_array_new (), .workers = g_ptr_array_new () };
  bool complete = sd_choose_workers (sched, unit, now_ms, &placement);
  bool some = placement.tasks->len > 0;

  g_ptr_array_free (placement.tasks, TRUE);
  g_ptr_array_free (placement.workers, TRUE);
  return complete || (some && !unit->step->spec->gang);
}

static bool
would_start_if (const struct sd_sched *sched, const struct sd_unit *unit,
                bool use_reserved, bool any_rack, int64_t now_ms)
{
  struct sd_unit other = *unit;
  struct jb_step step = *unit->step;
  struct jb_step_spec spec = *unit->step->spec;

  other.uses_reserved = unit->uses_reserved || use_reserved;
  if (any_rack)
    {
      spec.one_rack = false;
      step.spec = &spec;
      other.step = &step;
    }
  return would_start (sched, &other, now_ms);
}

/* The step for which most tasks are reserved on workers that have room for the
   unit.  */
static const struct jb_step *
find_reservation_holder (const struct sd_sched *sched,
                         const struct sd_unit *unit, uint32_t *tasks)
{
  const struct jb_step *holder = NULL;
  GHashTableIter iter;
  void *key;
  void *value;

  *tasks = 0;
  g_hash_table_iter_init (&iter, sched->reservations);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const GPtrArray *workers = sd_reserved_workers (value);
      uint32_t count = 0;
      guint i;

      if (key == unit->step)
        continue;
      for (i = 0; i < workers->len; i++)
        count += sd_resources_fit (
            &unit->step->spec->resources,
            &((struct sd_worker *)g_ptr_array_index (workers, i))
                 ->round_free_resources);
      if (holder == NULL || count > *tasks
          || (count == *tasks
              && strcmp (((const struct jb_step *)key)->job->id,
                         holder->job->id)
                     < 0))
        {
          holder = key;
          *tasks = count;
        }
    }
  return holder;
}

static void
set_reserved_wait (const struct sd_sched *sched, const struct sd_unit *unit,
                   const struct room *room, struct sd_waiting *waiting)
{
  uint32_t tasks;
  const struct jb_step *holder = find_reservation_holder (sched, unit, &tasks);

  if (holder == NULL)
    set_wait (waiting, SD_WAIT_RESERVED, "for no gang that waits");
  else
    set_wait (waiting, SD_WAIT_RESERVED,
              "%u gangs have reservations, most for job %s, step %u: %u tasks "
              "where %" G_GUINT64_FORMAT " would fit",
              g_hash_table_size (sched->reservations), holder->job->id,
              holder->index, tasks, room->copies[SD_WAIT_NEXT_ROUND]);
}

/* The condition that alone keeps the unit from a start, the shortest ones
   first; if only all of them together do, the one with most room.  */
static enum sd_wait
choose_obstacle (const struct room *room)
{
  static const enum sd_wait order[]
      = { SD_WAIT_BACKOFF,    SD_WAIT_EXCLUSIVE, SD_WAIT_ALONE,
          SD_WAIT_ADVISOR,    SD_WAIT_SUSPECT,   SD_WAIT_AVOIDED,
          SD_WAIT_OLD_REPORT, SD_WAIT_UNSEEN,    SD_WAIT_UNREACHABLE,
          SD_WAIT_CLOSED };
  enum sd_wait most = SD_WAIT_UNKNOWN;
  uint64_t open = room->copies[SD_WAIT_NEXT_ROUND];
  uint64_t all = open;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (order); i++)
    {
      if (room->copies[order[i]] > 0
          && open + room->copies[order[i]] >= room->needed)
        return order[i];
      all += room->copies[order[i]];
      if (room->copies[order[i]] > room->copies[most])
        most = order[i];
    }
  return all >= room->needed ? most : SD_WAIT_UNKNOWN;
}

static enum sd_wait
choose_short_kind (const struct room *room)
{
  bool cpus = room->by_cpus < room->needed;
  bool memory = room->by_memory < room->needed;
  bool accelerators = room->by_accelerators < room->needed;

  if (cpus + memory + accelerators != 1)
    return SD_WAIT_NO_ROOM;
  if (cpus)
    return SD_WAIT_NO_CPUS;
  return memory ? SD_WAIT_NO_MEMORY : SD_WAIT_NO_ACCELERATORS;
}

static bool
fits_with_closed (const struct sd_sched *sched, const struct sd_unit *unit)
{
  struct sd_unit any = *unit;

  any.counts_closed = true;
  return sd_could_ever_fit (sched, &any, false);
}

static void
explain_unit (const struct sd_sched *sched, const struct sd_unit *unit,
              int64_t now_ms, struct sd_waiting *waiting)
{
  struct room room = survey_room (sched, unit, now_ms);
  struct sd_unit least = *unit;
  char closed[48] = "";
  enum sd_wait why;

  least.waiting_count = room.needed;
  if (room.copies[SD_WAIT_NEXT_ROUND] >= room.needed
      && would_start (sched, unit, now_ms))
    why = SD_WAIT_NEXT_ROUND;
  else if (!sd_could_ever_fit (sched, &least, false))
    why = fits_with_closed (sched, &least) ? SD_WAIT_CLOSED
                                           : SD_WAIT_TOO_FEW_WORKERS;
  else if (room.copies[SD_WAIT_NEXT_ROUND] >= room.needed)
    {
      /* Room on open workers, so that only their order of use is left.  */
      if (would_start_if (sched, unit, true, false, now_ms))
        {
          set_reserved_wait (sched, unit, &room, waiting);
          return;
        }
      why = would_start_if (sched, unit, true, true, now_ms) ? SD_WAIT_ONE_RACK
                                                             : SD_WAIT_NO_ROOM;
    }
  else if ((why = choose_obstacle (&room)) == SD_WAIT_UNKNOWN)
    {
      if (g_hash_table_size (sched->preemptions) > 0
          && room.with_preempted >= room.needed)
        why = SD_WAIT_PREEMPTING;
      else if (room.with_unassigned >= room.needed)
        why = SD_WAIT_UNASSIGNED;
      else
        why = choose_short_kind (&room);
    }
  if (room.closed > 0)
    g_snprintf (closed, sizeof closed, "; %u in closed data centres",
                room.closed);
  set_wait (waiting, why,
            "%" G_GUINT64_FORMAT " of %u tasks fit now on %u of %u eligible "
            "workers; by cpus %" G_GUINT64_FORMAT ", memory %" G_GUINT64_FORMAT
            ", accelerators %" G_GUINT64_FORMAT "%s",
            room.copies[SD_WAIT_NEXT_ROUND], room.needed, room.open,
            room.eligible, room.by_cpus, room.by_memory, room.by_accelerators,
            closed);
}

/* The resources of a worker within a round, which suspending what the unit
   itself reserves changes.  */
struct round_resources
{
  struct jb_resources free_resources;
  struct jb_resources reserved_resources;
};

static struct round_resources *
save_round (const struct sd_sched *sched)
{
  struct round_resources *saved
      = g_new (struct round_resources, sched->workers->len);
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      saved[i] = (struct round_resources){ worker->round_free_resources,
                                           worker->round_reserved_resources };
    }
  return saved;
}

static void
restore_round (const struct sd_sched *sched,
               const struct round_resources *saved)
{
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      worker->round_free_resources = saved[i].free_resources;
      worker->round_reserved_resources = saved[i].reserved_resources;
    }
}

void
sd_explain_step (struct sd_sched *sched, struct jb_step *step,
                 const struct sd_unit *unit, int64_t now_ms,
                 int64_t now_unix_ms, struct sd_waiting *waiting)
{
  struct round_resources *saved;
  uint32_t reserved_task_count = sched->reserved_task_count;

  waiting->examined = true;
  if (!explain_cheaply (sched, step, now_ms, now_unix_ms, waiting))
    {
      if (unit == NULL)
        set_wait (waiting, SD_WAIT_UNKNOWN, "%u of %u tasks done",
                  step->done_count, step->spec->count);
      else
        {
          saved = save_round (sched);
          sd_preemption_suspend (sched, unit, now_ms);
          sd_reservation_suspend (sched, unit);
          explain_unit (sched, unit, now_ms, waiting);
          restore_round (sched, saved);
          sched->reserved_task_count = reserved_task_count;
          g_free (saved);
        }
    }
  step->wait.why = waiting->why;
  step->wait.examined_ms = now_ms;
}

/* --- All steps that stand --- */

static bool
step_runs (const struct jb_step *step)
{
  bool some = false;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      if (is_running (&step->tasks[i]))
        some = true;
      else if (step->spec->gang && step->tasks[i].state != JB_TASK_DONE)
        return false; /* a gang runs as a whole */
      if (some && !step->spec->gang)
        return true;
    }
  return some;
}

static bool
job_runs (const struct jb_job *job)
{
  size_t i;

  for (i = 0; i < job->step_total; i++)
    if (step_runs (&job->steps[i]))
      return true;
  return false;
}

static bool
step_stands (const struct jb_step *step, bool runs)
{
  if (is_done (step))
    return false;
  return !runs
         || (step->spec->long_lived
             && find_task (step, JB_TASK_WAITING, false) != NULL
             && find_earlier_step (step) == NULL);
}

/* Of a job all of whose steps must wait, the first one; of others none that
   must.  */
static bool
is_worth_showing (const struct sd_waiting *waiting, bool first)
{
  return first
         || (waiting->why != SD_WAIT_EARLIER_STEP
             && waiting->why != SD_WAIT_NOT_DUE
             && waiting->why != SD_WAIT_NO_QUEUE);
}

/* A step that was not due does not stand before it is.  */
static void
note_standing (struct jb_step *step, int64_t now_ms, int64_t now_unix_ms)
{
  int64_t due_unix_ms = jb_step_due_unix_ms (step);
  struct jb_wait *standing = &step->wait;

  if (standing->since_ms == 0)
    standing->since_ms = step->waiting_since_ms > 0
                             ? MIN (step->waiting_since_ms, now_ms)
                             : now_ms;
  if (due_unix_ms > 0 && due_unix_ms <= now_unix_ms)
    standing->since_ms
        = MAX (standing->since_ms, now_ms - (now_unix_ms - due_unix_ms));
}

static uint32_t
count_not_done (const struct jb_step *step)
{
  return step->spec->count - MIN (step->done_count, step->spec->count);
}

static void
survey_job (struct sd_sched *sched, const struct jb_job *job, int64_t now_ms,
            int64_t now_unix_ms, GArray *found)
{
  bool runs = job_runs (job);
  guint first = found->len;
  size_t i;

  for (i = 0; i < job->step_total; i++)
    {
      struct jb_step *step = &job->steps[i];
      struct sd_waiting waiting
          = { .step = step, .tasks = count_not_done (step) };

      if (!step_stands (step, runs))
        {
          step->wait = (struct jb_wait){ 0 };
          continue;
        }
      note_standing (step, now_ms, now_unix_ms);
      if (now_ms - step->wait.since_ms < SD_WAITING_MIN_MS)
        continue;
      if (explain_cheaply (sched, step, now_ms, now_unix_ms, &waiting))
        {
          if (!is_worth_showing (&waiting, found->len == first))
            continue;
          waiting.examined = true;
          step->wait.why = waiting.why;
          step->wait.examined_ms = now_ms;
        }
      else
        waiting.why = step->wait.why;
      g_array_append_val (found, waiting);
    }
}

static int
compare_examined (const void *a, const void *b)
{
  const struct jb_wait *left = &(*(struct sd_waiting *const *)a)->step->wait;
  const struct jb_wait *right = &(*(struct sd_waiting *const *)b)->step->wait;

  if (left->examined_ms != right->examined_ms)
    return left->examined_ms < right->examined_ms ? -1 : 1;
  return (left->since_ms > right->since_ms)
         - (left->since_ms < right->since_ms);
}

static void
examine_some (struct sd_sched *sched, GPtrArray *open, uint32_t examined_max,
              int64_t now_ms, int64_t now_unix_ms)
{
  GArray *units = sd_collect_units (sched, now_ms, now_unix_ms);
  GHashTable *units_by_step = g_hash_table_new (NULL, NULL);
  guint i;

  for (i = 0; i < units->len; i++)
    {
      struct sd_unit *unit = &g_array_index (units, struct sd_unit, i);

      g_hash_table_insert (units_by_step, unit->step, unit);
    }
  g_ptr_array_sort (open, compare_examined);
  for (i = 0; i < open->len && i < examined_max; i++)
    {
      struct sd_waiting *waiting = g_ptr_array_index (open, i);

      sd_explain_step (sched, waiting->step,
                       g_hash_table_lookup (units_by_step, waiting->step),
                       now_ms, now_unix_ms, waiting);
    }
  g_hash_table_destroy (units_by_step);
  g_array_free (units, TRUE);
}

GArray *
sd_survey_waiting (struct sd_sched *sched, uint32_t examined_max,
                   int64_t now_ms, int64_t now_unix_ms)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct sd_waiting));
  GPtrArray *open = g_ptr_array_new ();
  guint i;

  for (i = 0; i < sched->active_jobs->len; i++)
    survey_job (sched, g_ptr_array_index (sched->active_jobs, i), now_ms,
                now_unix_ms, found);
  for (i = 0; i < found->len; i++)
    {
      struct sd_waiting *waiting
          = &g_array_index (found, struct sd_waiting, i);

      if (!waiting->examined)
        g_ptr_array_add (open, waiting);
    }
  if (open->len > 0 && sched->catalog != NULL)
    examine_some (sched, open, examined_max, now_ms, now_unix_ms);
  g_ptr_array_free (open, TRUE);
  return found;
}
