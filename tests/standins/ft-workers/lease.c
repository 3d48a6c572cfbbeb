/* The lease of one attempt on a worker.  */

#include "lease.h"

#include "standins/common/json_answer.h"

enum
{
  MS_PER_S = 1000
};

static bool
parse_task (struct le_task *task, const json_t *object)
{
  const json_t *number = json_object_get (object, "task");

  if (!json_is_integer (number) || json_integer_value (number) < 0)
    return false;
  task->task.number = (uint32_t)json_integer_value (number);
  task->task.cpus_milli = (uint32_t)ja_number (object, "cpus_milli", 0);
  task->task.memory_mb = (uint32_t)ja_number (object, "memory_mb", 0);
  task->task.accelerator_mask = ja_number (object, "accelerators", 0);
  task->task.state = TK_LEASED;
  return true;
}

/* @return : whether a task of the lease has the number or an accelerator of
   ADDED.  */
static bool
conflicts (const struct le_lease *lease, const struct le_task *added)
{
  const struct le_task *other;
  guint i;

  for (i = 0; i < lease->tasks->len; i++)
    {
      other = g_ptr_array_index (lease->tasks, i);
      if (other->task.number == added->task.number
          || (other->task.accelerator_mask & added->task.accelerator_mask)
                 != 0)
        return true;
    }
  return false;
}

static bool
parse_tasks (struct le_lease *lease, const json_t *tasks)
{
  struct le_task *task;
  size_t i;

  for (i = 0; i < json_array_size (tasks); i++)
    {
      task = g_new0 (struct le_task, 1);
      task->lease = lease;
      task->task.loop = lease->loop;
      if (!parse_task (task, json_array_get (tasks, i))
          || conflicts (lease, task))
        {
          g_free (task);
          return false;
        }
      g_ptr_array_add (lease->tasks, task);
    }
  return lease->tasks->len > 0;
}

struct le_lease *
le_create (struct ev_loop *loop, const char *job, uint32_t attempt,
           const json_t *tasks)
{
  struct le_lease *lease = g_new0 (struct le_lease, 1);

  lease->loop = loop;
  lease->job = g_strdup (job);
  lease->attempt = attempt;
  lease->tasks = g_ptr_array_new_with_free_func (g_free);
  if (parse_tasks (lease, tasks))
    return lease;
  le_free (lease);
  return NULL;
}

void
le_free (struct le_lease *lease)
{
  struct le_task *task;
  guint i;

  if (lease == NULL)
    return;
  ev_timer_stop (lease->loop, &lease->lapse_timer);
  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      tk_stop (&task->task);
    }
  g_ptr_array_free (lease->tasks, TRUE);
  tk_payload_clear (&lease->payload);
  g_free (lease->job);
  g_free (lease->host);
  g_free (lease);
}

static bool
has_same_task (const struct le_lease *lease, const struct tk_task *wanted)
{
  const struct le_task *task;
  guint i;

  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      if (task->task.number == wanted->number)
        return task->task.accelerator_mask == wanted->accelerator_mask
               && task->task.cpus_milli == wanted->cpus_milli
               && task->task.memory_mb == wanted->memory_mb;
    }
  return false;
}

bool
le_has_same_tasks (const struct le_lease *a, const struct le_lease *b)
{
  const struct le_task *task;
  guint i;

  if (a->tasks->len != b->tasks->len)
    return false;
  for (i = 0; i < b->tasks->len; i++)
    {
      task = g_ptr_array_index (b->tasks, i);
      if (!has_same_task (a, &task->task))
        return false;
    }
  return true;
}

void
le_add_held_resources (const struct le_lease *lease, struct le_resources *sum)
{
  const struct le_task *task;
  guint i;

  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      if (task->task.state == TK_ENDED)
        continue;
      sum->cpus_milli += task->task.cpus_milli;
      sum->memory_mb += task->task.memory_mb;
      sum->accelerator_mask |= task->task.accelerator_mask;
    }
}

void
le_set_ttl (struct le_lease *lease, uint32_t ttl_ms)
{
  lease->lapse_at_ms = tk_now_ms (lease->loop) + ttl_ms;
  ev_timer_stop (lease->loop, &lease->lapse_timer);
  ev_timer_set (&lease->lapse_timer, (ev_tstamp)ttl_ms / MS_PER_S, 0.0);
  ev_timer_start (lease->loop, &lease->lapse_timer);
}

bool
le_all_ended (const struct le_lease *lease)
{
  const struct le_task *task;
  guint i;

  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      if (task->task.state != TK_ENDED)
        return false;
    }
  return true;
}

uint64_t
le_progress_ms (const struct le_lease *lease)
{
  int64_t now_ms = tk_now_ms (lease->loop);
  uint64_t least_ms = UINT64_MAX;
  const struct le_task *task;
  uint64_t progress_ms;
  guint i;

  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      progress_ms = tk_progress_ms (&task->task, now_ms);
      least_ms = MIN (least_ms, progress_ms);
    }
  return least_ms;
}

static json_t *
task_json (const struct tk_task *task)
{
  static const char *const states[] = { "held", "running", "ended" };

  return json_pack ("{s:I,s:s,s:I,s:I,s:I,s:I}", "task",
                    (json_int_t)task->number, "state", states[task->state],
                    "cpus_milli", (json_int_t)task->cpus_milli, "memory_mb",
                    (json_int_t)task->memory_mb, "accelerators",
                    (json_int_t)task->accelerator_mask, "progress_ms",
                    (json_int_t)tk_progress_ms (task, tk_now_ms (task->loop)));
}

json_t *
le_json (const struct le_lease *lease)
{
  json_t *tasks = json_array ();
  const struct le_task *task;
  guint i;

  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      json_array_append_new (tasks, task_json (&task->task));
    }
  return json_pack ("{s:s,s:I,s:s?,s:I,s:b,s:I,s:o}", "job", lease->job,
                    "attempt", (json_int_t)lease->attempt, "host", lease->host,
                    "term", (json_int_t)lease->term, "started",
                    (int)lease->started, "ttl_ms",
                    (json_int_t)(lease->lapse_at_ms - tk_now_ms (lease->loop)),
                    "tasks", tasks);
}
