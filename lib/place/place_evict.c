/* Eviction of borrowed work: the loss that it causes, and the choice of
   victims.  */

#include <math.h>

#include "place/place_internal.h"

enum
{
  RESTART_LOSS_MS = 10000,  /* lost by every eviction */
  URGENT_LOSS_FACTOR = 4,   /* multiplies the loss of an urgent job */
  CPUS_PER_ACCELERATOR = 16 /* cpus that weigh as much as an accelerator */
};

/* The size of a job in accelerators, processors counted as parts of one.  */
static double
job_size (const struct place_job_state *job)
{
  double each
      = (double)job->per_task.accelerators
        + (double)job->per_task.cpus_milli / 1000.0 / CPUS_PER_ACCELERATOR;

  return each * job->shape.tasks;
}

double
place_eviction_loss (const struct place *place,
                     const struct place_job_state *job)
{
  int64_t now = place_now (place);
  double ran = (double)MAX (now - job->started_ms, 0);
  double saved = (double)(job->progress_ms - job->start_progress_ms);
  double left = (double)(place_expected_end_ms (place, job) - now);
  double lost = MAX (ran - saved, 0) + RESTART_LOSS_MS;

  /* A job that ends within the grace period would free its resources hardly
     sooner when evicted.  */
  if (left < place->params.checkpoint_grace_ms)
    lost += place->params.checkpoint_grace_ms;
  if (job->urgent)
    lost *= URGENT_LOSS_FACTOR;
  return lost * job_size (job);
}

void
place_evict (struct place *place, struct place_job_state *victim,
             const struct place_job_state *job)
{
  struct place_command *command = place_add_command (place, PLACE_EVICT);

  g_assert (victim->phase == PLACE_JOB_RUNNING && victim->borrows);
  place_begin_eviction (victim);
  command->job = place_copy_text (place, victim->id);
  command->team = place_copy_text (place, victim->team->name);
  command->grace_ms = place->params.checkpoint_grace_ms;
  if (job != NULL)
    command->for_job = place_copy_text (place, job->id);
  command->reason = "its workers are needed by their owner";
}

/* The free resources of a worker once all jobs that are being evicted have
   stopped.  */
static struct place_resource_vector
free_after_evictions (const struct place_worker_state *worker)
{
  struct place_resource_vector free
      = place_available_resources (worker, PLACE_FREE_NOW);

  place_resources_add (&free, &worker->evicting);
  return free;
}

/* Whether AMOUNT provides any resource of which FREE has less than NEED.  */
static bool
reduces_shortage (const struct place_resource_vector *free,
                  const struct place_resource_vector *need,
                  const struct place_resource_vector *amount)
{
  return (free->accelerators < need->accelerators && amount->accelerators > 0)
         || (free->cpus_milli < need->cpus_milli && amount->cpus_milli > 0)
         || (free->memory_mb < need->memory_mb && amount->memory_mb > 0);
}

/* Returns the victim of the least loss that alone frees enough for NEED; if
   there is none, the one of the least loss for the resources that it frees.
   CHOSEN: victims to leave out, or NULL.  */
static struct place_job_state *
pick_victim (const struct place *place,
             const struct place_worker_state *worker,
             const struct place_resource_vector *free,
             const struct place_resource_vector *need, GPtrArray *chosen)
{
  struct place_job_state *best = NULL;
  double best_cost = INFINITY;
  bool best_enough = false;
  guint i;

  for (i = 0; i < worker->jobs->len; i++)
    {
      struct place_job_state *job = worker->jobs->pdata[i];
      struct place_resource_vector amount;
      struct place_resource_vector after = *free;
      double cost;
      bool enough;

      if (job->phase != PLACE_JOB_RUNNING || !job->borrows
          || (chosen != NULL && g_ptr_array_find (chosen, job, NULL)))
        continue;
      amount = place_job_resources_on (job, worker);
      if (!reduces_shortage (free, need, &amount))
        continue;
      place_resources_add (&after, &amount);
      enough = place_resources_cover (&after, need);
      cost = place_eviction_loss (place, job);
      if (!enough)
        cost /= (double)(amount.accelerators * 1000 + amount.cpus_milli + 1);
      if (best != NULL
          && (best_enough > enough
              || (best_enough == enough && best_cost <= cost)))
        continue;
      best = job;
      best_cost = cost;
      best_enough = enough;
    }
  return best;
}

double
place_worker_eviction_loss (struct place *place,
                            struct place_worker_state *worker,
                            const struct place_resource_vector *need)
{
  struct place_resource_vector free = free_after_evictions (worker);
  g_autoptr (GPtrArray) chosen = g_ptr_array_new ();
  double loss = 0;

  while (!place_resources_cover (&free, need))
    {
      struct place_job_state *victim
          = pick_victim (place, worker, &free, need, chosen);
      struct place_resource_vector amount;

      if (victim == NULL)
        return -1;
      amount = place_job_resources_on (victim, worker);
      place_resources_add (&free, &amount);
      g_ptr_array_add (chosen, victim);
      loss += place_eviction_loss (place, victim);
    }
  return loss;
}

void
place_evict_from_worker (struct place *place,
                         struct place_worker_state *worker,
                         const struct place_job_state *job)
{
  struct place_resource_vector none = { 0 };

  for (;;)
    {
      struct place_resource_vector free = free_after_evictions (worker);
      struct place_job_state *victim;

      if (place_resources_cover (&free, &none))
        return;
      victim = pick_victim (place, worker, &free, &none, NULL);
      if (victim == NULL)
        return;
      place_evict (place, victim, job);
    }
}
