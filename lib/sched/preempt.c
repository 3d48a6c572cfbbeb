/* Preemption for urgent work.  Made for this load: a team whose accelerators
   others have borrowed submits urgent work within its guarantee.  The victims
   are the tasks whose stop loses the least work.  */

#include <string.h>

#include "sched/private.h"

enum
{
  ACCELERATOR_CPU_EQUIVALENT = 8, /* in the platform's price of lost work one
                                     accelerator counts as 8 processor cores */
  STARTED_UP_PERCENT = 100,       /* a long-lived task at this percentage
                                     is up and serving */
  VICTIMS_MAX = 32,               /* on one worker, for one task */
  /* A limit, since each search for a plan takes up to some ms with 1,100
     workers; further units are served in the next rounds.  */
  SEARCHES_PER_ROUND_MAX = 8,
  /* Time from the end of a stop until the worker has listed its outcome and
     the next round has been held.  If no plan was found, the next one is
     sought after the longest time of a stop plus this time.  */
  STOP_LISTED_MS = 150
};

/* What a plan has found out about a worker.  */
struct plan_worker
{
  struct sd_worker *worker;
  struct jb_resources free_resources; /* including those of victims and
                                         stopping tasks */
  struct jb_resources preemptible;    /* used by tasks that may still become
                                         victims */
  bool judged;                        /* the following two are up to date */
  bool fits;   /* one more task fits once some victims are stopped, */
  double loss; /* which loses this much work */
};

/* One way to free resources for a unit: the workers for its tasks, and the
   victims to be stopped.  */
struct preemption_plan
{
  uint32_t rack_index;         /* only workers of this rack; 0: of any */
  GArray *candidates;          /* struct plan_worker */
  GHashTable *candidate_index; /* struct sd_worker -> index in it, plus 1 */
  GHashTable *victims;         /* struct jb_task, as a set */
  GPtrArray *workers; /* struct sd_worker, one for each waiting task */
  double loss;        /* work lost, in core seconds; see stop_loss () */
};

/* The work that is lost if TASK alone is stopped, in core seconds.  It loses
   one second and, if it cannot resume from a checkpoint, all of its run
   time.  */
static double
task_loss (const struct jb_task *task, int64_t now_ms)
{
  const struct jb_resources *need = &task->step->spec->resources;
  double cores = (double)need->cpus_milli / 1000.0
                 + ACCELERATOR_CPU_EQUIVALENT * (double)need->accelerators;
  double seconds = 1.0;

  if (task->started_ms > 0 && !task->step->spec->can_checkpoint)
    seconds += (double)(now_ms - task->started_ms) / 1000.0;
  return cores * seconds;
}

/* The work that is lost if TASK is stopped, which stops its whole gang.  */
static double
stop_loss (const struct jb_task *task, int64_t now_ms)
{
  const struct jb_step *step = task->step;
  double loss = 0;
  uint32_t i;

  if (!step->spec->gang)
    return task_loss (task, now_ms);
  for (i = 0; i < step->spec->count; i++)
    loss += task_loss (&step->tasks[i], now_ms);
  return loss;
}

/* The tasks of a long-lived step that are not up, or will be stopped.  */
static uint32_t
count_absent (const struct jb_step *step, GHashTable *victims)
{
  uint32_t absent = 0;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      const struct jb_task *task = &step->tasks[i];

      if (task->state != JB_TASK_PLACED || task->percent < STARTED_UP_PERCENT
          || g_hash_table_contains (victims, task))
        absent++;
    }
  return absent;
}

/* Whether the long-lived step of TASK would have more absent tasks than its
   absence limit if TASK were stopped too.  Of a gang all tasks are stopped, so
   all of them would be absent.  */
static bool
exceeds_absence_limit (const struct jb_task *task, GHashTable *victims)
{
  const struct jb_step_spec *spec = task->step->spec;

  if (!spec->long_lived || spec->absence_limit == 0
      || task->percent < STARTED_UP_PERCENT)
    return false;
  return (spec->gang && spec->count > spec->absence_limit)
         || count_absent (task->step, victims) >= spec->absence_limit;
}

/* VICTIMS: those that the plan has chosen so far.  */
static bool
is_preemptible (const struct sd_unit *unit, const struct jb_task *task,
                GHashTable *victims)
{
  return task->state == JB_TASK_PLACED && task->job->priority > unit->priority
         && !exceeds_absence_limit (task, victims);
}

static void
plan_add_candidate (struct preemption_plan *plan, const struct sd_unit *unit,
                    struct sd_worker *worker)
{
  struct plan_worker candidate
      = { .worker = worker, .free_resources = worker->round_free_resources };
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      if (task->state == JB_TASK_STOPPING)
        sd_resources_add (&candidate.free_resources,
                          &task->step->spec->resources);
      else if (is_preemptible (unit, task, plan->victims))
        sd_resources_add (&candidate.preemptible,
                          &task->step->spec->resources);
    }
  g_array_append_val (plan->candidates, candidate);
  g_hash_table_insert (plan->candidate_index, worker,
                       GUINT_TO_POINTER (plan->candidates->len));
}

static struct preemption_plan *
plan_create (const struct sd_sched *sched, const struct sd_unit *unit,
             uint32_t rack_index, int64_t now_ms)
{
  struct preemption_plan *plan = g_new0 (struct preemption_plan, 1);
  guint i;

  plan->rack_index = rack_index;
  plan->victims = g_hash_table_new (NULL, NULL);
  plan->workers = g_ptr_array_new ();
  plan->candidates = g_array_new (FALSE, FALSE, sizeof (struct plan_worker));
  plan->candidate_index = g_hash_table_new (NULL, NULL);
  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if ((rack_index == 0 || worker->rack_index == rack_index)
          && sd_worker_is_available (worker, unit, now_ms))
        plan_add_candidate (plan, unit, worker);
    }
  return plan;
}

static void
plan_free (struct preemption_plan *plan)
{
  if (plan == NULL)
    return;
  g_hash_table_destroy (plan->victims);
  g_ptr_array_unref (plan->workers);
  g_array_free (plan->candidates, TRUE);
  g_hash_table_destroy (plan->candidate_index);
  g_free (plan);
}

static struct plan_worker *
find_candidate (const struct preemption_plan *plan,
                const struct sd_worker *worker)
{
  guint index
      = GPOINTER_TO_UINT (g_hash_table_lookup (plan->candidate_index, worker));

  return index == 0 ? NULL
                    : &g_array_index (plan->candidates, struct plan_worker,
                                      index - 1);
}

/* Adds TASK, or its whole gang, to the victims of the plan.  */
static void
plan_add_victim (const struct sd_sched *sched, struct preemption_plan *plan,
                 struct jb_task *task)
{
  struct jb_step *step = task->step;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    {
      struct jb_task *other = &step->tasks[i];
      struct plan_worker *candidate;

      if (!step->spec->gang && other != task)
        continue;
      if (other->state != JB_TASK_PLACED
          || !g_hash_table_add (plan->victims, other))
        continue;
      candidate = find_candidate (plan, sd_worker_find (sched, other->worker));
      if (candidate == NULL)
        continue;
      sd_resources_add (&candidate->free_resources, &step->spec->resources);
      sd_resources_subtract (&candidate->preemptible, &step->spec->resources);
      candidate->judged = false;
    }
}

/* The victims on one worker whose stop frees resources for one more task
   there.  */
struct worker_victims
{
  struct jb_task *tasks[VICTIMS_MAX];
  uint32_t count;
  double loss;
};

static bool
victims_contain (const struct worker_victims *victims,
                 const struct jb_task *task)
{
  uint32_t i;

  for (i = 0; i < victims->count; i++)
    if (victims->tasks[i] == task)
      return true;
  return false;
}

/* Whether TASK belongs to a long-lived step with an absence limit, and another
   task of that step is among the tentative victims already.
   exceeds_absence_limit () does not count tentative victims, so at most one
   task of such a step may be among them at a time.  */
static bool
shares_step_with_tentative (const struct jb_task *task,
                            const struct worker_victims *tentative)
{
  uint32_t i;

  if (!task->step->spec->long_lived || task->step->spec->absence_limit == 0)
    return false;
  for (i = 0; i < tentative->count; i++)
    if (tentative->tasks[i]->step == task->step)
      return true;
  return false;
}

/* The task on WORKER whose stop loses the least work; NULL: none may be
   stopped.  Sets LOSS.  */
static struct jb_task *
cheapest_victim (const struct sd_unit *unit,
                 const struct preemption_plan *plan,
                 const struct sd_worker *worker,
                 const struct worker_victims *tentative, int64_t now_ms,
                 double *loss)
{
  struct jb_task *best = NULL;
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (worker->tasks, i);
      double lost;

      if (g_hash_table_contains (plan->victims, task)
          || victims_contain (tentative, task)
          || !is_preemptible (unit, task, plan->victims)
          || shares_step_with_tentative (task, tentative))
        continue;
      lost = stop_loss (task, now_ms);
      if (best != NULL && lost >= *loss)
        continue;
      best = task;
      *loss = lost;
    }
  return best;
}

/* Finds the victims on a worker for one more task of the unit there.
   @return : whether the task fits once they are stopped.  */
static bool
find_victims (const struct sd_unit *unit, const struct preemption_plan *plan,
              const struct plan_worker *candidate, int64_t now_ms,
              struct worker_victims *victims)
{
  const struct sd_worker *worker = candidate->worker;
  struct jb_resources available = candidate->free_resources;
  struct jb_resources reclaimable = available;
  const struct jb_resources *need = &unit->step->spec->resources;

  victims->count = 0;
  victims->loss = 0;
  sd_resources_add (&reclaimable, &candidate->preemptible);
  if (!sd_resources_fit (need, &reclaimable))
    return false;
  while (!sd_resources_fit (need, &available))
    {
      double loss = 0;
      struct jb_task *task
          = cheapest_victim (unit, plan, worker, victims, now_ms, &loss);

      if (task == NULL || victims->count == VICTIMS_MAX)
        return false;
      victims->tasks[victims->count++] = task;
      sd_resources_add (&available, &task->step->spec->resources);
      victims->loss += loss;
    }
  return true;
}

static uint32_t
count_planned_on (const struct preemption_plan *plan,
                  const struct sd_worker *worker)
{
  uint32_t count = 0;
  guint i;

  for (i = 0; i < plan->workers->len; i++)
    if (g_ptr_array_index (plan->workers, i) == worker)
      count++;
  return count;
}

/* Finds out whether one more task fits there, and how much work that loses. */
static void
judge_candidate (const struct sd_unit *unit,
                 const struct preemption_plan *plan,
                 struct plan_worker *candidate, int64_t now_ms)
{
  struct worker_victims victims;
  uint32_t limit = unit->step->spec->tasks_per_worker_limit;

  candidate->judged = true;
  candidate->fits
      = (limit == 0
         || count_planned_on (plan, candidate->worker)
                    + sd_tasks_of_step_on (candidate->worker, unit->step)
                < limit)
        && find_victims (unit, plan, candidate, now_ms, &victims);
  candidate->loss = candidate->fits ? victims.loss : 0;
}

static struct plan_worker *
cheapest_candidate (const struct sd_unit *unit,
                    const struct preemption_plan *plan, int64_t now_ms)
{
  struct plan_worker *best = NULL;
  guint i;

  for (i = 0; i < plan->candidates->len; i++)
    {
      struct plan_worker *candidate
          = &g_array_index (plan->candidates, struct plan_worker, i);

      if (!candidate->judged)
        judge_candidate (unit, plan, candidate, now_ms);
      if (!candidate->fits || (best != NULL && candidate->loss >= best->loss))
        continue;
      best = candidate;
      if (best->loss <= 0)
        break;
    }
  return best;
}

/* Adds the worker on which one more task of the unit loses the least work, and
   its victims.
   @return : whether there is one.  */
static bool
plan_add_worker (const struct sd_sched *sched, const struct sd_unit *unit,
                 struct preemption_plan *plan, int64_t now_ms)
{
  struct plan_worker *best;
  struct worker_victims victims;
  uint32_t k;

  /* Victims elsewhere may have used up the absence limit of a step since the
     candidate was judged; then it is judged again.  */
  do
    {
      best = cheapest_candidate (unit, plan, now_ms);
      if (best == NULL)
        return false;
      best->judged = false;
    }
  while (!find_victims (unit, plan, best, now_ms, &victims));
  for (k = 0; k < victims.count; k++)
    plan_add_victim (sched, plan, victims.tasks[k]);
  sd_resources_subtract (&best->free_resources, &unit->step->spec->resources);
  g_ptr_array_add (plan->workers, best->worker);
  plan->loss += victims.loss;
  return true;
}

/* RACK_INDEX: only workers of this rack; 0: of any.
   @return : NULL if not all waiting tasks of the unit can be placed.  */
static struct preemption_plan *
make_plan (const struct sd_sched *sched, const struct sd_unit *unit,
           uint32_t rack_index, int64_t now_ms)
{
  struct preemption_plan *plan = plan_create (sched, unit, rack_index, now_ms);

  while (plan->workers->len < unit->waiting_count)
    if (!plan_add_worker (sched, unit, plan, now_ms))
      {
        plan_free (plan);
        return NULL;
      }
  return plan;
}

/* How many tasks of the unit would fit in each rack if all that may be stopped
   were.
   @return : by sd_worker.rack_index; to be freed by the caller.  */
static uint64_t *
count_reclaimable_copies (const struct sd_sched *sched,
                          const struct sd_unit *unit, int64_t now_ms)
{
  struct preemption_plan *all = plan_create (sched, unit, 0, now_ms);
  uint64_t *copies
      = g_new0 (uint64_t, g_hash_table_size (sched->rack_indexes) + 1);
  guint i;

  for (i = 0; i < all->candidates->len; i++)
    {
      const struct plan_worker *candidate
          = &g_array_index (all->candidates, struct plan_worker, i);
      struct jb_resources reclaimable = candidate->free_resources;

      sd_resources_add (&reclaimable, &candidate->preemptible);
      copies[candidate->worker->rack_index] += sd_resources_copies (
          &unit->step->spec->resources, &reclaimable, unit->waiting_count);
    }
  plan_free (all);
  return copies;
}

static struct preemption_plan *
cheapest_rack_plan (const struct sd_sched *sched, const struct sd_unit *unit,
                    int64_t now_ms)
{
  uint64_t *copies = count_reclaimable_copies (sched, unit, now_ms);
  struct preemption_plan *best = NULL;
  guint rack;

  for (rack = 1; rack <= g_hash_table_size (sched->rack_indexes); rack++)
    {
      struct preemption_plan *plan;

      if (copies[rack] < unit->waiting_count)
        continue;
      plan = make_plan (sched, unit, rack, now_ms);
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
  g_free (copies);
  return best;
}

static void
subtract_preempted (const struct jb_step *step,
                    const struct sd_preemption *preemption)
{
  guint i;

  for (i = 0; i < preemption->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (preemption->workers, i);

      sd_resources_subtract (&worker->round_free_resources,
                             &step->spec->resources);
    }
}

void
sd_preemptions_begin_round (struct sd_sched *sched, int64_t now_ms)
{
  GHashTableIter iter;
  void *step;
  void *value;

  sched->preemption_searches = 0;
  g_hash_table_iter_init (&iter, sched->preemptions);
  while (g_hash_table_iter_next (&iter, &step, &value))
    {
      const struct sd_preemption *preemption = value;

      if (preemption->until_ms <= now_ms)
        g_hash_table_iter_remove (&iter);
      else
        subtract_preempted (step, preemption);
    }
}

bool
sd_preemption_suspend (struct sd_sched *sched, const struct sd_unit *unit,
                       int64_t now_ms)
{
  struct sd_preemption *preemption
      = g_hash_table_lookup (sched->preemptions, unit->step);
  guint i;

  if (preemption == NULL || preemption->until_ms <= now_ms)
    return false;
  for (i = 0; i < preemption->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (preemption->workers, i);

      sd_resources_add (&worker->round_free_resources,
                        &unit->step->spec->resources);
    }
  return true;
}

void
sd_preemption_remove (struct sd_sched *sched, const struct sd_unit *unit)
{
  g_hash_table_remove (sched->preemptions, unit->step);
}

void
sd_preemption_free (void *data)
{
  struct sd_preemption *preemption = data;

  g_ptr_array_unref (preemption->workers);
  g_free (preemption);
}

static struct preemption_plan *
find_plan (const struct sd_sched *sched, const struct sd_unit *unit,
           int64_t now_ms)
{
  const struct jb_step_spec *spec = unit->step->spec;

  if (spec->gang && spec->one_rack && sd_could_ever_fit (sched, unit, true))
    return cheapest_rack_plan (sched, unit, now_ms);
  return make_plan (sched, unit, 0, now_ms);
}

void
sd_preempt (struct sd_sched *sched, const struct sd_unit *unit, int64_t now_ms)
{
  struct sd_preemption *preemption
      = g_hash_table_lookup (sched->preemptions, unit->step);
  struct preemption_plan *plan;
  GHashTableIter iter;
  void *victim;

  if (preemption != NULL && preemption->until_ms > now_ms)
    {
      subtract_preempted (unit->step, preemption);
      return;
    }
  if (sched->preemption_searches >= SEARCHES_PER_ROUND_MAX)
    return;
  sched->preemption_searches++;
  plan = find_plan (sched, unit, now_ms);
  preemption = g_new0 (struct sd_preemption, 1);
  preemption->until_ms = now_ms + sched->params.stop_max_ms + STOP_LISTED_MS;
  preemption->workers = g_ptr_array_new ();
  g_hash_table_insert (sched->preemptions, unit->step, preemption);
  if (plan == NULL)
    return;
  g_hash_table_iter_init (&iter, plan->victims);
  while (g_hash_table_iter_next (&iter, &victim, NULL))
    sd_stop_task (sched, victim, "preempted");
  g_ptr_array_unref (preemption->workers);
  preemption->workers = g_ptr_array_ref (plan->workers);
  subtract_preempted (unit->step, preemption);
  plan_free (plan);
}
