/* The data model of jobs.  */

#include "jobs/model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jobs/catalog.h"

void
jb_spec_free (struct jb_spec *spec)
{
  size_t i;

  if (spec == NULL)
    return;
  for (i = 0; i < spec->step_count; i++)
    {
      g_free (spec->steps[i].depends_on);
      g_free (spec->steps[i].label);
      g_free (spec->steps[i].data_rack);
      g_free (spec->steps[i].image);
    }
  g_free (spec->steps);
  g_free (spec->queue);
  ct_queue_free (spec->queue_config);
  g_free (spec->team);
  g_free (spec->text);
  g_free (spec);
}

static const char *
check_step (const struct jb_spec *spec, size_t number)
{
  const struct jb_step_spec *step = &spec->steps[number];
  size_t i;

  if (step->count == 0)
    return "a step has no tasks";
  if (step->resources.cpus_milli < 0 || step->resources.memory_mib < 0
      || step->resources.accelerators < 0)
    return "a step asks for less than nothing";
  for (i = 0; i < step->depends_on_count; i++)
    if (step->depends_on[i] >= number)
      return "a step depends on a later one";
  return NULL;
}

static bool
text_fits (const char *text)
{
  return text == NULL || strlen (text) <= JB_TEXT_MAX_BYTES;
}

bool
jb_spec_texts_fit (const struct jb_spec *spec)
{
  const struct jb_step_spec *step;
  size_t i;

  for (i = 0; i < spec->step_count; i++)
    {
      step = &spec->steps[i];
      if (!text_fits (step->label) || !text_fits (step->data_rack)
          || !text_fits (step->image))
        return false;
    }
  return text_fits (spec->text);
}

const char *
jb_spec_check (const struct jb_spec *spec)
{
  uint64_t tasks = 0;
  const char *error;
  size_t i;

  if (spec->step_count == 0)
    return "the job has no steps";
  if (spec->step_count > JB_STEPS_MAX)
    return "the job has too many steps";
  if (spec->occurrence_count == 0
      || spec->occurrence_count > JB_OCCURRENCES_MAX)
    return "the job has too many occurrences";
  if (spec->occurrence_interval_ms < 0)
    return "the interval is negative";
  for (i = 0; i < spec->step_count; i++)
    {
      error = check_step (spec, i);
      if (error != NULL)
        return error;
      tasks += spec->steps[i].count;
    }
  if (tasks * spec->occurrence_count > JB_TASKS_MAX)
    return "the job has too many tasks";
  return NULL;
}

bool
jb_state_is_final (enum jb_state state)
{
  return state >= JB_COMPLETED;
}

const char *
jb_state_name (enum jb_state state)
{
  static const char *const names[]
      = { "queued", "running", "completed", "failed", "cancelled" };

  return names[state];
}

char *
jb_task_name (const struct jb_task *task)
{
  return g_strdup_printf ("%s.%u.%u.%u", task->job->id, task->step->occurrence,
                          task->step->index, task->index);
}

int64_t
jb_step_due_unix_ms (const struct jb_step *step)
{
  const struct jb_spec *spec = step->job->spec;

  if (!spec->has_due_time)
    return 0;
  return spec->first_due_unix_ms
         + step->occurrence * spec->occurrence_interval_ms;
}

void
jb_task_reset (struct jb_task *task)
{
  task->state = JB_TASK_WAITING;
  g_clear_pointer (&task->worker, g_free);
  task->worker_started_ms = 0;
  task->worker_leaving = false;
  task->confirmed = false;
  task->start_unsent = false;
  task->started_ms = 0;
  task->poll_conclusive_from_ms = 0;
  task->stop_reason = NULL;
  task->stop_sent_ms = 0;
  task->missing_since_ms = 0;
  task->percent = 0;
  task->progress_changed_ms = 0;
  task->percent_ms = 0;
  task->rate_from_ms = 0;
  task->rate_from_percent = 0;
  task->rates_seen = 0;
  task->reported_load = 0;
  task->pace = JB_PACE_FULL_PERCENT;
  task->pace_sent_ms = 0;
}

bool
jb_task_has_failed_run (const struct jb_task *task, uint32_t run)
{
  guint i;

  for (i = 0; task->failed_runs != NULL && i < task->failed_runs->len; i++)
    if (g_array_index (task->failed_runs, uint32_t, i) == run)
      return true;
  return false;
}

void
jb_task_add_failed_run (struct jb_task *task, uint32_t run)
{
  task->failures++;
  if (task->step->spec->long_lived)
    return;
  if (task->failed_runs == NULL)
    task->failed_runs = g_array_new (FALSE, FALSE, sizeof run);
  g_array_append_val (task->failed_runs, run);
}

void
jb_task_forget_failed_runs (struct jb_task *task)
{
  task->failures = 0;
  if (task->failed_runs != NULL)
    g_array_free (task->failed_runs, TRUE);
  task->failed_runs = NULL;
}

static void
loss_clear (void *data)
{
  g_free (((struct jb_loss *)data)->worker);
}

struct jb_loss *
jb_task_add_loss (struct jb_task *task, const char *worker,
                  int64_t worker_started_ms)
{
  struct jb_loss loss = { .worker = g_strdup (worker),
                          .worker_started_ms = worker_started_ms };

  if (task->undecided_losses == NULL)
    {
      task->undecided_losses
          = g_array_new (FALSE, FALSE, sizeof (struct jb_loss));
      g_array_set_clear_func (task->undecided_losses, loss_clear);
    }
  g_array_append_val (task->undecided_losses, loss);
  task->job->has_undecided_losses = true;
  return &g_array_index (task->undecided_losses, struct jb_loss,
                         task->undecided_losses->len - 1);
}

void
jb_task_forget_losses (struct jb_task *task)
{
  if (task->undecided_losses != NULL)
    g_array_free (task->undecided_losses, TRUE);
  task->undecided_losses = NULL;
}

bool
jb_job_has_no_runs (const struct jb_job *job)
{
  size_t i;

  for (i = 0; i < job->task_total; i++)
    if (job->tasks[i].state == JB_TASK_PLACED
        || job->tasks[i].state == JB_TASK_STOPPING)
      return false;
  return true;
}

void
jb_job_reset_progress (struct jb_job *job)
{
  size_t i;

  for (i = 0; i < job->task_total; i++)
    {
      jb_task_reset (&job->tasks[i]);
      g_clear_pointer (&job->tasks[i].checkpoint, g_free);
      job->tasks[i].run = 0;
      jb_task_forget_failed_runs (&job->tasks[i]);
      job->tasks[i].crashes = 0;
      job->tasks[i].lost_runs = 0;
      job->tasks[i].stalls = 0;
      jb_task_forget_losses (&job->tasks[i]);
      job->tasks[i].done_before = false;
    }
  job->has_done_before = false;
  job->has_undecided_losses = false;
  for (i = 0; i < job->step_total; i++)
    {
      job->steps[i].done_count = 0;
      job->steps[i].beside_room_since_ms = 0;
    }
  job->state = job->cancel_requested ? JB_CANCELLED : JB_QUEUED;
  job->progress_changed = false;
}

void
jb_job_forget_written (struct jb_job *job)
{
  size_t i;

  for (i = 0; job->written_blocks != NULL && i < job->task_total; i++)
    if (job->written_blocks[i] != NULL)
      g_byte_array_free (job->written_blocks[i], TRUE);
  g_clear_pointer (&job->written_blocks, g_free);
}

/* --- The table --- */

static void
job_free (void *data)
{
  struct jb_job *job = data;
  size_t i;

  jb_job_forget_written (job);
  for (i = 0; i < job->task_total; i++)
    {
      g_free (job->tasks[i].worker);
      g_free (job->tasks[i].checkpoint);
      jb_task_forget_failed_runs (&job->tasks[i]);
      jb_task_forget_losses (&job->tasks[i]);
    }
  g_free (job->tasks);
  g_free (job->steps);
  g_free (job->queue);
  ct_queue_free (job->queue_config);
  jb_spec_free (job->spec);
  g_free (job);
}

struct jb_table *
jb_table_create (void)
{
  struct jb_table *table = g_new0 (struct jb_table, 1);

  table->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_free);
  return table;
}

void
jb_table_free (struct jb_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->jobs);
  g_free (table);
}

struct jb_job *
jb_table_find (const struct jb_table *table, const char *id)
{
  return g_hash_table_lookup (table->jobs, id);
}

static void
create_steps_and_tasks (struct jb_job *job)
{
  const struct jb_spec *spec = job->spec;
  size_t tasks_per_occurrence = 0;
  struct jb_task *task;
  size_t i;
  uint32_t k;

  for (i = 0; i < spec->step_count; i++)
    tasks_per_occurrence += spec->steps[i].count;
  job->step_total = spec->step_count * spec->occurrence_count;
  job->task_total = tasks_per_occurrence * spec->occurrence_count;
  job->steps = g_new0 (struct jb_step, job->step_total);
  job->tasks = g_new0 (struct jb_task, job->task_total);
  task = job->tasks;
  for (i = 0; i < job->step_total; i++)
    {
      struct jb_step *step = &job->steps[i];

      step->job = job;
      step->index = (uint32_t)(i % spec->step_count);
      step->occurrence = (uint32_t)(i / spec->step_count);
      step->spec = &spec->steps[step->index];
      step->tasks = task;
      for (k = 0; k < step->spec->count; k++, task++)
        {
          task->job = job;
          task->step = step;
          task->index = k;
        }
    }
}

struct jb_job *
jb_table_add (struct jb_table *table, const char *id, struct jb_spec *spec,
              int64_t now_ms)
{
  struct jb_job *job = jb_table_find (table, id);
  size_t i;

  if (job == NULL)
    {
      job = g_new0 (struct jb_job, 1);
      g_strlcpy (job->id, id, sizeof job->id);
      job->added_ms = now_ms;
      g_hash_table_insert (table->jobs, job->id, job);
    }
  if (job->spec != NULL)
    {
      jb_spec_free (spec);
      return job;
    }
  for (i = 0; i < spec->step_count; i++)
    if (spec->steps[i].best_effort)
      spec->steps[i].resources.cpus_milli
          = 0; /* uses what other tasks leave */
  job->spec = spec;
  job->queue = g_strdup (spec->queue);
  job->queue_config = g_steal_pointer (&spec->queue_config);
  create_steps_and_tasks (job);
  return job;
}

void
jb_table_remove (struct jb_table *table, const char *id)
{
  g_hash_table_remove (table->jobs, id);
}

struct jb_task *
jb_table_find_task (const struct jb_table *table, const char *name)
{
  char id[JB_ID_DIGITS + 1];
  unsigned int occurrence;
  unsigned int number;
  unsigned int index;
  struct jb_job *job;
  struct jb_step *step;
  size_t at;

  if (strlen (name) < JB_ID_DIGITS || name[JB_ID_DIGITS] != '.')
    return NULL;
  g_strlcpy (id, name, sizeof id);
  // NOLINTNEXTLINE(cert-err34-c)
  if (sscanf (name + JB_ID_DIGITS + 1, "%u.%u.%u", &occurrence, &number,
              &index)
      != 3)
    return NULL;
  job = jb_table_find (table, id);
  if (job == NULL || job->spec == NULL || number >= job->spec->step_count
      || occurrence >= job->spec->occurrence_count)
    return NULL;
  at = (size_t)occurrence * job->spec->step_count + number;
  step = &job->steps[at];
  return index < step->spec->count ? &step->tasks[index] : NULL;
}

bool
jb_id_valid (const char *text)
{
  size_t i;

  for (i = 0; i < JB_ID_DIGITS; i++)
    if (!g_ascii_isxdigit (text[i]))
      return false;
  return text[JB_ID_DIGITS] == '\0';
}
