/* Room taken back for guaranteed work.  Load pattern: a team whose
   accelerators others have borrowed hands in urgent work within its
   guarantee; the tasks whose stop loses least work make room.  */

#include <string.h>

#include "sched/private.h"

enum
{
  ACCELERATOR_AS_CORES = 8, /* the platform's price of lost work */
  AT_WORK_PERCENT = 100,    /* of a lasting task: it has started up */
  VICTIMS_MAX = 32,         /* tasks stopped on one worker for one task */
  /* From the end of a stop to its listing, and to the next round.  A plan that
     cannot be made is tried again after as long as a stop and this.  */
  CLAIM_LISTED_MS = 150
};

/* One way to make room: on which workers, and whom it stops.  */
struct plan
{
  GHashTable *victims;      /* struct jb_task, as a set */
  GPtrArray *places;        /* struct sd_worker, one for each waiting task */
  struct jb_room *room;     /* by index of worker */
  struct jb_room *borrowed; /* held there by tasks that may be stopped */
  double loss;
};

static double
work_lost (const struct jb_task *task, int64_t now_ms)
{
  const struct jb_room *room = &task->step->spec->room;
  double cores = (double)room->cpus_milli / 1000.0
                 + ACCELERATOR_AS_CORES * (double)room->accelerators;
  double seconds = 1.0;

  if (task->started_ms > 0 && !task->step->spec->checkpoints)
    seconds += (double)(now_ms - task->started_ms) / 1000.0;
  return cores * seconds;
}

/* What stopping TASK loses: all of its gang.  */
static double
loss_of (const struct jb_task *task, int64_t now_ms)
{
  const struct jb_step *step = task->step;
  double loss = 0;
  uint32_t i;

  if (!step->spec->gang)
    return work_lost (task, now_ms);
  for (i = 0; i < step->spec->count; i++)
    loss += work_lost (&step->tasks[i], now_ms);
  return loss;
}

/* Tasks of a lasting step that are not at work, or will not be.  */
static uint32_t
count_absent (const struct jb_step *step, GHashTable *victims)
{
  uint32_t absent = 0;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      const struct jb_task *task = &step->tasks[i];

      if (task->state != JB_TASK_PLACED || task->percent < AT_WORK_PERCENT
          || g_hash_table_contains (victims, task))
        absent++;
    }
  return absent;
}

/* Whether the users of a lasting step would miss more of it than they bear if
   TASK were stopped too.  */
static bool
is_missed (const struct jb_task *task, GHashTable *victims)
{
  const struct jb_step_spec *spec = task->step->spec;

  if (!spec->lasting || spec->absence_limit == 0
      || task->percent < AT_WORK_PERCENT)
    return false;
  return (spec->gang && spec->count > spec->absence_limit)
         || count_absent (task->step, victims) >= spec->absence_limit;
}

static bool
may_stop (const struct sd_unit *unit, const struct jb_task *task,
          GHashTable *victims)
{
  return task->state == JB_TASK_PLACED && task->job->priority > unit->priority
         && !is_missed (task, victims);
}

static struct plan *
plan_create (const struct sd_sched *sched, const struct sd_unit *unit)
{
  struct plan *plan = g_new0 (struct plan, 1);
  guint i;
  guint k;

  plan->victims = g_hash_table_new (NULL, NULL);
  plan->places = g_ptr_array_new ();
  plan->room = g_new0 (struct jb_room, sched->workers->len);
  plan->borrowed = g_new0 (struct jb_room, sched->workers->len);
  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      plan->room[i] = worker->round_free;
      for (k = 0; k < worker->tasks->len; k++)
        {
          const struct jb_task *task = g_ptr_array_index (worker->tasks, k);

          if (task->state == JB_TASK_STOPPING)
            sd_room_add (&plan->room[i], &task->step->spec->room);
          else if (may_stop (unit, task, plan->victims))
            sd_room_add (&plan->borrowed[i], &task->step->spec->room);
        }
    }
  return plan;
}

static void
plan_free (struct plan *plan)
{
  if (plan == NULL)
    return;
  g_hash_table_destroy (plan->victims);
  g_ptr_array_unref (plan->places);
  g_free (plan->room);
  g_free (plan->borrowed);
  g_free (plan);
}

/* Enters that TASK, or its whole gang, is stopped.  */
static void
plan_stop (const struct sd_sched *sched, struct plan *plan,
           struct jb_task *task)
{
  struct jb_step *step = task->step;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      struct jb_task *other = &step->tasks[i];
      struct sd_worker *worker;

      if (!step->spec->gang && other != task)
        continue;
      if (other->state != JB_TASK_PLACED
          || !g_hash_table_add (plan->victims, other))
        continue;
      worker = sd_worker_find (sched, other->worker);
      if (worker == NULL)
        continue;
      sd_room_add (&plan->room[worker->index], &step->spec->room);
      sd_room_take (&plan->borrowed[worker->index], &step->spec->room);
    }
}

/* The tasks to stop on one worker for one more task.  */
struct victims
{
  struct jb_task *tasks[VICTIMS_MAX];
  uint32_t count;
  double loss;
};

static bool
is_among (const struct victims *victims, const struct jb_task *task)
{
  uint32_t i;

  for (i = 0; i < victims->count; i++)
    if (victims->tasks[i] == task)
      return true;
  return false;
}

/* The same, for victims that are only being tried.  */
static bool
is_missed_beside (const struct jb_task *task, const struct victims *besides)
{
  uint32_t i;

  if (!task->step->spec->lasting || task->step->spec->absence_limit == 0)
    return false;
  for (i = 0; i < besides->count; i++)
    if (besides->tasks[i]->step == task->step)
      return true; /* one of a step at a time is enough to try */
  return false;
}

static struct jb_task *
cheapest_victim (const struct sd_unit *unit, const struct plan *plan,
                 const struct sd_worker *worker, const struct victims *besides,
                 int64_t now_ms, double *loss)
{
  struct jb_task *best = NULL;
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (worker->tasks, i);
      double lost;

      if (g_hash_table_contains (plan->victims, task)
          || is_among (besides, task) || !may_stop (unit, task, plan->victims)
          || is_missed_beside (task, besides))
        continue;
      lost = loss_of (task, now_ms);
      if (best != NULL && lost >= *loss)
        continue;
      best = task;
      *loss = lost;
    }
  return best;
}

/* Finds whom to stop for one more task on WORKER.
   @return : whether it can be done.  */
static bool
make_room (const struct sd_unit *unit, const struct plan *plan,
           const struct sd_worker *worker, int64_t now_ms,
           struct victims *victims)
{
  struct jb_room room = plan->room[worker->index];
  struct jb_room most = room;
  const struct jb_room *need = &unit->step->spec->room;

  victims->count = 0;
  victims->loss = 0;
  sd_room_add (&most, &plan->borrowed[worker->index]);
  if (!sd_room_fits (need, &most))
    return false;
  while (!sd_room_fits (need, &room))
    {
      double loss = 0;
      struct jb_task *task
          = cheapest_victim (unit, plan, worker, victims, now_ms, &loss);

      if (task == NULL || victims->count == VICTIMS_MAX)
        return false;
      victims->tasks[victims->count++] = task;
      sd_room_add (&room, &task->step->spec->room);
      victims->loss += loss;
    }
  return true;
}

static uint32_t
planned_there (const struct plan *plan, const struct sd_worker *worker)
{
  uint32_t count = 0;
  guint i;

  for (i = 0; i < plan->places->len; i++)
    if (g_ptr_array_index (plan->places, i) == worker)
      count++;
  return count;
}

/* Adds the worker on which one more task costs least.  */
static bool
plan_add_place (const struct sd_sched *sched, const struct sd_unit *unit,
                struct plan *plan, const char *rack, int64_t now_ms)
{
  const struct jb_step_spec *spec = unit->step->spec;
  struct sd_worker *best = NULL;
  struct victims best_victims = { .count = 0 };
  struct victims victims;
  uint32_t k;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (!sd_usable (worker, unit, now_ms)
          || (rack != NULL && g_strcmp0 (worker->report.rack, rack) != 0))
        continue;
      if (spec->worker_limit > 0
          && planned_there (plan, worker) >= spec->worker_limit)
        continue;
      if (!make_room (unit, plan, worker, now_ms, &victims)
          || (best != NULL && victims.loss >= best_victims.loss))
        continue;
      best = worker;
      best_victims = victims;
      if (victims.loss <= 0)
        break;
    }
  if (best == NULL)
    return false;
  for (k = 0; k < best_victims.count; k++)
    plan_stop (sched, plan, best_victims.tasks[k]);
  sd_room_take (&plan->room[best->index], &spec->room);
  g_ptr_array_add (plan->places, best);
  plan->loss += best_victims.loss;
  return true;
}

static struct plan *
make_plan (const struct sd_sched *sched, const struct sd_unit *unit,
           const char *rack, int64_t now_ms)
{
  struct plan *plan = plan_create (sched, unit);

  while (plan->places->len < unit->waiting)
    if (!plan_add_place (sched, unit, plan, rack, now_ms))
      {
        plan_free (plan);
        return NULL;
      }
  return plan;
}

static struct plan *
cheapest_rack_plan (const struct sd_sched *sched, const struct sd_unit *unit,
                    int64_t now_ms)
{
  GHashTable *tried = g_hash_table_new (g_str_hash, g_str_equal);
  struct plan *best = NULL;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);
      struct plan *plan;

      if (worker->report.rack == NULL
          || !g_hash_table_add (tried, worker->report.rack))
        continue;
      plan = make_plan (sched, unit, worker->report.rack, now_ms);
      if (plan == NULL)
        continue;
      if (best != NULL && plan->loss >= best->loss)
        {
          plan_free (plan);
          continue;
        }
      plan_free (best);
      best = plan;
    }
  g_hash_table_destroy (tried);
  return best;
}

static void
take_claimed_room (const struct jb_step *step, const struct sd_claim *claim)
{
  guint i;

  for (i = 0; i < claim->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (claim->workers, i);

      sd_room_take (&worker->round_free, &step->spec->room);
    }
}

void
sd_claims_take (struct sd_sched *sched, int64_t now_ms)
{
  GHashTableIter iter;
  void *step;
  void *value;

  g_hash_table_iter_init (&iter, sched->claims);
  while (g_hash_table_iter_next (&iter, &step, &value))
    {
      const struct sd_claim *claim = value;

      if (claim->until_ms <= now_ms)
        g_hash_table_iter_remove (&iter);
      else
        take_claimed_room (step, claim);
    }
}

bool
sd_claim_give_back (struct sd_sched *sched, const struct sd_unit *unit,
                    int64_t now_ms)
{
  struct sd_claim *claim = g_hash_table_lookup (sched->claims, unit->step);
  guint i;

  if (claim == NULL || claim->until_ms <= now_ms)
    return false;
  for (i = 0; i < claim->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (claim->workers, i);

      sd_room_add (&worker->round_free, &unit->step->spec->room);
    }
  return true;
}

void
sd_claim_end (struct sd_sched *sched, const struct sd_unit *unit)
{
  g_hash_table_remove (sched->claims, unit->step);
}

void
sd_claim_free (void *data)
{
  struct sd_claim *claim = data;

  g_ptr_array_unref (claim->workers);
  g_free (claim);
}

static struct plan *
find_plan (const struct sd_sched *sched, const struct sd_unit *unit,
           int64_t now_ms)
{
  const struct jb_step_spec *spec = unit->step->spec;

  if (spec->gang && spec->one_rack && sd_could_ever_fit (sched, unit, true))
    return cheapest_rack_plan (sched, unit, now_ms);
  return make_plan (sched, unit, NULL, now_ms);
}

void
sd_preempt (struct sd_sched *sched, const struct sd_unit *unit, int64_t now_ms)
{
  struct sd_claim *claim = g_hash_table_lookup (sched->claims, unit->step);
  struct plan *plan;
  GHashTableIter iter;
  void *victim;

  if (claim != NULL && claim->until_ms > now_ms)
    {
      take_claimed_room (unit->step, claim);
      return;
    }
  plan = find_plan (sched, unit, now_ms);
  claim = g_new0 (struct sd_claim, 1);
  claim->until_ms = now_ms + sched->params.stop_ms + CLAIM_LISTED_MS;
  claim->workers = g_ptr_array_new ();
  g_hash_table_insert (sched->claims, unit->step, claim);
  if (plan == NULL)
    return;
  g_hash_table_iter_init (&iter, plan->victims);
  while (g_hash_table_iter_next (&iter, &victim, NULL))
    sd_stop_task (sched, victim);
  g_ptr_array_unref (claim->workers);
  claim->workers = g_ptr_array_ref (plan->places);
  take_claimed_room (unit->step, claim);
  plan_free (plan);
}
