/* What tasks on one worker do to each other: what lib/sched/interfere.h is
   shown of them, and which workers are avoided by it.  Made for this load:
   some kinds of tasks slow each other down on one worker while there is room
   to keep them apart.  */

#include <math.h>

#include "sched/private.h"

enum
{
  TASKS_MAX = 64 /* on a worker; with more it is not looked at */
};

/* Loss by neighbours, in tasks that stand still, from which a worker comes
   later.  The largest penalty is below that of a remote worker.  */
#define LOSS_SMALL 0.1
#define LOSS_MEDIUM 0.25
#define LOSS_LARGE 0.5

static const char *
kind_name (const struct jb_step *step)
{
  return step->spec->image != NULL ? step->spec->image : step->job->queue;
}

static uint64_t
kind_of (struct jb_step *step)
{
  if (step->kind == 0)
    step->kind = itf_kind (step->spec->image != NULL, kind_name (step));
  return step->kind;
}

/* The kinds that run on a worker.  */
struct crowd
{
  struct itf_neighbour kinds[ITF_NEIGHBOURS_MAX];
  uint32_t count;
};

static double
share_of (const struct jb_task *task)
{
  return MIN (task->pace, JB_PACE_FULL_PERCENT) / (double)JB_PACE_FULL_PERCENT;
}

/* @return : false if there are too many kinds.  */
static bool
add_to_crowd (struct crowd *crowd, uint64_t kind, double share)
{
  uint32_t i;

  for (i = 0; i < crowd->count && crowd->kinds[i].kind != kind; i++)
    ;
  if (i == ITF_NEIGHBOURS_MAX)
    return false;
  if (i == crowd->count)
    crowd->kinds[crowd->count++] = (struct itf_neighbour){ .kind = kind };
  crowd->kinds[i].count++;
  crowd->kinds[i].share += share;
  return true;
}

static bool
collect_crowd (const struct sd_worker *worker, struct crowd *crowd)
{
  guint i;

  crowd->count = 0;
  if (worker->tasks->len > TASKS_MAX)
    return false;
  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      if (task->confirmed
          && !add_to_crowd (crowd, kind_of (task->step), share_of (task)))
        return false;
    }
  return true;
}

/* The members of a gang run as fast as the slowest of them, so that what a
   member shows is not of its own neighbours.  */
static bool
teaches (const struct jb_task *task)
{
  return task->state == JB_TASK_PLACED && task->confirmed
         && !(task->step->spec->gang && task->step->spec->count > 1);
}

static void
observe (struct sd_sched *sched, const struct sd_worker *worker,
         const struct jb_task *task, const struct crowd *crowd, bool is_over,
         int64_t now_ms)
{
  struct itf_look look = { .task = GPOINTER_TO_SIZE (task),
                           .work = GPOINTER_TO_SIZE (task->step),
                           .subject = kind_of (task->step),
                           .is_paced = share_of (task) < 1.0,
                           .worker = worker->index,
                           .worker_speed = sd_worker_speed (sched, worker),
                           .percent = is_over ? 100 : task->percent,
                           .is_over = is_over };
  uint32_t i;

  if (task->step->spec->tail_target_ms > 0)
    look.tail_ms = task->reported_load;
  for (i = 0; i < crowd->count; i++)
    {
      struct itf_neighbour neighbour = crowd->kinds[i];

      if (neighbour.kind == look.subject)
        {
          neighbour.count--;
          neighbour.share -= share_of (task);
        }
      if (neighbour.count > 0)
        look.neighbours[look.neighbour_count++] = neighbour;
    }
  itf_observe (sched->interference, &look, now_ms);
}

void
sd_worker_polled (struct sd_sched *sched, const struct sd_worker *worker,
                  int64_t now_ms)
{
  struct crowd crowd;
  guint i;

  if (!collect_crowd (worker, &crowd))
    return;
  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);

      itf_name_kind (sched->interference, kind_of (task->step),
                     kind_name (task->step));
      if (teaches (task))
        observe (sched, worker, task, &crowd, false, now_ms);
    }
}

void
sd_neighbours_task_done (struct sd_sched *sched,
                         const struct sd_worker *worker,
                         const struct jb_task *task, int64_t now_ms)
{
  struct crowd crowd;

  if (teaches (task) && collect_crowd (worker, &crowd))
    observe (sched, worker, task, &crowd, true, now_ms);
}

/* --- Placement --- */

/* What a task would lose if SLOWDOWN_LN more came beside it; one that serves
   loses nothing while its tail stays below its target.  */
static double
loss_of (const struct jb_task *task, double slowdown_ln)
{
  double slowdown = exp (slowdown_ln);
  double target_ms = task->step->spec->tail_target_ms;

  if (target_ms > 0 && (double)task->reported_load * slowdown <= target_ms)
    return 0;
  return 1.0 - 1.0 / slowdown;
}

uint32_t
sd_neighbour_penalty (const struct sd_sched *sched,
                      const struct sd_worker *worker, struct jb_step *step)
{
  const struct itf_table *table = sched->interference;
  double own_ln = 0;
  double loss = 0;
  guint i;

  if (!itf_is_in_known (table, kind_of (step)))
    return 0;
  for (i = 0; i < worker->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (worker->tasks, i);
      uint64_t kind = kind_of (task->step);
      double theirs_ln = itf_slowdown_ln (table, kind, kind_of (step));

      own_ln += itf_slowdown_ln (table, kind_of (step), kind);
      if (theirs_ln > 0)
        loss += loss_of (task, theirs_ln);
    }
  loss += 1.0 - exp (-own_ln);
  if (loss >= LOSS_LARGE)
    return 3;
  if (loss >= LOSS_MEDIUM)
    return 2;
  return loss >= LOSS_SMALL ? 1 : 0;
}

struct sd_neighbours
sd_neighbours (const struct sd_sched *sched)
{
  return (struct sd_neighbours){ .known_pairs
                                 = itf_known_count (sched->interference),
                                 .kept_apart = sched->kept_apart };
}

bool
sd_take_neighbour_change (struct sd_sched *sched, struct itf_change *change)
{
  return itf_take_change (sched->interference, change);
}
