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
  /* Time from the end of a stop until the worker has listed its outcome and
     the next round has been held.  If no plan was found, the next one is
     sought after the longest time of a stop plus this time.  */
  STOP_LISTED_MS = 150
};

/* One way to free resources for a unit: the workers for its tasks, and the
   victims to be stopped.  */
struct preemption_plan
{
  GHashTable *victims; /* struct jb_task, as a set */
  GPtrArray *workers;  /* struct sd_worker, one for each waiting task */
  struct jb_resources *free_resources; /* by sd_worker.index: including those
                                     of victims and stopping tasks */
  struct jb_resources *preemptible; /* by sd_worker.index: used by tasks that
                               may still become victims */
  double loss; /* work lost, in core seconds; see stop_loss () */
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

static struct preemption_plan *
plan_create (const struct sd_sched *sched, const struct sd_unit *unit)
{
  struct preemption_plan *plan = g_new0 (struct preemption_plan, 1);
  guint i;
  guint k;

  plan->victims = g_hash_table_new (NULL, NULL);
  plan->workers = g_ptr_array_new ();
  plan->free_resources = g_new0 (struct jb_resources, sched->workers->len);
  plan->preemptible = g_new0 (struct jb_resources, sched->workers->len);
  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      plan->free_resources[i] = worker->round_free_resources;
      for (k = 0; k < worker->tasks->len; k++)
        {
          const struct jb_task *task = g_ptr_array_index (worker->tasks, k);

          if (task->state == JB_TASK_STOPPING)
            sd_resources_add (&plan->free_resources[i],
                              &task->step->spec->resources);
          else if (is_preemptible (unit, task, plan->victims))
            sd_resources_add (&plan->preemptible[i],
                              &task->step->spec->resources);
        }
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
  g_free (plan->free_resources);
  g_free (plan->preemptible);
  g_free (plan);
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
      struct sd_worker *worker;

      if (!step->spec->gang && other != task)
        continue;
      if (other->state != JB_TASK_PLACED
          || !g_hash_table_add (plan->victims, other))
        continue;
      worker = sd_worker_find (sched, other->worker);
      if (worker == NULL)
        continue;
      sd_resources_add (&plan->free_resources[worker->index],
                        &step->spec->resources);
      sd_resources_subtract (&plan->preemptible[worker->index],
                             &step->spec->resources);
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

/* Finds the victims on WORKER for one more task of the unit there.
   @return : whether the task fits once they are stopped.  */
static bool
find_victims (const struct sd_unit *unit, const struct preemption_plan *plan,
              const struct sd_worker *worker, int64_t now_ms,
              struct worker_victims *victims)
{
  struct jb_resources available = plan->free_resources[worker->index];
  struct jb_resources reclaimable = available;
  const struct jb_resources *need = &unit->step->spec->resources;

  victims->count = 0;
  victims->loss = 0;
  sd_resources_add (&reclaimable, &plan->preemptible[worker->index]);
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

/* Adds the worker on which one more task of the unit loses the least work, and
   its victims.
   @return : whether there is one.  */
static bool
plan_add_worker (const struct sd_sched *sched, const struct sd_unit *unit,
                 struct preemption_plan *plan, const char *rack,
                 int64_t now_ms)
{
  const struct jb_step_spec *spec = unit->step->spec;
  struct sd_worker *best = NULL;
  struct worker_victims best_victims = { .count = 0 };
  struct worker_victims victims;
  uint32_t k;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (!sd_worker_is_available (worker, unit, now_ms)
          || (rack != NULL && g_strcmp0 (worker->report.rack, rack) != 0))
        continue;
      if (spec->tasks_per_worker_limit > 0
          && count_planned_on (plan, worker) >= spec->tasks_per_worker_limit)
        continue;
      if (!find_victims (unit, plan, worker, now_ms, &victims)
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
    plan_add_victim (sched, plan, best_victims.tasks[k]);
  sd_resources_subtract (&plan->free_resources[best->index], &spec->resources);
  g_ptr_array_add (plan->workers, best);
  plan->loss += best_victims.loss;
  return true;
}

/* RACK: only workers of this rack; NULL: of any.
   @return : NULL if not all waiting tasks of the unit can be placed.  */
static struct preemption_plan *
make_plan (const struct sd_sched *sched, const struct sd_unit *unit,
           const char *rack, int64_t now_ms)
{
  struct preemption_plan *plan = plan_create (sched, unit);

  while (plan->workers->len < unit->waiting_count)
    if (!plan_add_worker (sched, unit, plan, rack, now_ms))
      {
        plan_free (plan);
        return NULL;
      }
  return plan;
}

static struct preemption_plan *
cheapest_rack_plan (const struct sd_sched *sched, const struct sd_unit *unit,
                    int64_t now_ms)
{
  GHashTable *tried = g_hash_table_new (g_str_hash, g_str_equal);
  struct preemption_plan *best = NULL;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);
      struct preemption_plan *plan;

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
  return make_plan (sched, unit, NULL, now_ms);
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
