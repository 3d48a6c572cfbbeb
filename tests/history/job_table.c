/* Jobs, attempts and tasks as a history records them.  */

#include "job_table.h"

#include <string.h>

#include "standins/common/json_answer.h"

struct reader
{
  struct jt_table *table;
  struct re_report *report;
};

/* --- The tables --- */

static void
task_free (gpointer data)
{
  struct jt_task *task = data;

  g_free (task->worker);
  g_free (task->output);
  g_free (task);
}

static void
attempt_free (gpointer data)
{
  struct jt_attempt *attempt = data;

  g_hash_table_destroy (attempt->tasks);
  g_free (attempt);
}

static void
job_free (gpointer data)
{
  struct jt_job *job = data;

  g_hash_table_destroy (job->attempts);
  g_ptr_array_free (job->reported_outputs, TRUE);
  g_free (job->name);
  g_free (job);
}

static struct jt_job *
find_or_add_job (const struct reader *reader, const char *name)
{
  struct jt_job *job = g_hash_table_lookup (reader->table->jobs, name);

  if (job != NULL)
    return job;
  job = g_new0 (struct jt_job, 1);
  job->name = g_strdup (name);
  job->reported_outputs = g_ptr_array_new ();
  job->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         attempt_free);
  g_hash_table_insert (reader->table->jobs, g_strdup (name), job);
  return job;
}

static gpointer
number_key (int64_t number)
{
  int64_t *key = g_new (int64_t, 1);

  *key = number;
  return key;
}

static struct jt_attempt *
find_or_add_attempt (struct jt_job *job, int64_t number)
{
  struct jt_attempt *attempt = g_hash_table_lookup (job->attempts, &number);

  if (attempt != NULL)
    return attempt;
  attempt = g_new0 (struct jt_attempt, 1);
  attempt->job = job;
  attempt->number = number;
  attempt->tasks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, task_free);
  g_hash_table_insert (job->attempts, number_key (number), attempt);
  return attempt;
}

static struct jt_task *
find_or_add_task (const struct jt_attempt *attempt, int64_t number)
{
  struct jt_task *task = g_hash_table_lookup (attempt->tasks, &number);

  if (task != NULL)
    return task;
  task = g_new0 (struct jt_task, 1);
  task->started_ms = JT_NEVER_MS;
  task->ended_ms = JT_NEVER_MS;
  g_hash_table_insert (attempt->tasks, number_key (number), task);
  return task;
}

/* --- Reading --- */

static void
add_test_event (struct jt_job *job, const struct hi_event *event)
{
  const char *state = hi_text (event, "state");
  json_t *outputs;

  if (strcmp (event->what, "sent") == 0)
    {
      job->task_count = MAX (job->task_count, hi_number (event, "tasks"));
      if (!ja_flag (event->line, "repeatable", true))
        job->not_repeatable = true;
    }
  else if (g_strcmp0 (state, "not_run") == 0)
    job->reported_not_run = true;
  else if (g_strcmp0 (state, "finished") == 0)
    {
      job->reported_finished = true;
      outputs = json_object_get (event->line, "outputs");
      if (json_is_array (outputs))
        g_ptr_array_add (job->reported_outputs, outputs);
    }
}

static void
end_task (struct jt_task *task, int64_t time_ms, bool ok)
{
  if (task->ended_ms != JT_NEVER_MS)
    return;
  task->ended_ms = time_ms;
  task->succeeded = ok;
}

/* The next planner may lease a task that has not started to another worker,
   under the same number.  The end of the earlier lease is then not the end of
   the task, so that an end that was recorded for it is cleared.  */
static void
set_worker (struct jt_task *task, const char *worker)
{
  if (g_strcmp0 (task->worker, worker) == 0)
    return;
  g_free (task->worker);
  task->worker = g_strdup (worker);
  task->ended_ms = JT_NEVER_MS;
}

static bool
is_on_other_worker (const struct jt_task *task, const struct hi_event *event)
{
  return task->worker != NULL && strcmp (task->worker, event->who) != 0;
}

static void
add_start (const struct reader *reader, const struct jt_attempt *attempt,
           struct jt_task *task, const struct hi_event *event)
{
  if (task->started_ms != JT_NEVER_MS)
    re_add_violation (reader->report, RE_CHECK_GANGS,
                      "task %" G_GINT64_FORMAT
                      " of job %s, attempt %" G_GINT64_FORMAT
                      ", was started on %s and on %s",
                      hi_number (event, "task"), attempt->job->name,
                      attempt->number, task->worker, event->who);
  else
    set_worker (task, event->who);
  task->started_ms = MIN (task->started_ms, event->t_ms);
}

static void
add_worker_event (const struct reader *reader, struct jt_job *job,
                  const struct hi_event *event)
{
  struct jt_attempt *attempt
      = find_or_add_attempt (job, hi_number (event, "attempt"));
  struct jt_task *task = find_or_add_task (attempt, hi_number (event, "task"));

  if (strcmp (event->what, "start") == 0)
    add_start (reader, attempt, task, event);
  else if (strcmp (event->what, "lease") == 0)
    {
      if (task->started_ms == JT_NEVER_MS)
        set_worker (task, event->who);
    }
  else if (is_on_other_worker (task, event))
    return;
  else if (strcmp (event->what, "end") == 0)
    {
      end_task (task, event->t_ms, ja_flag (event->line, "ok", false));
      g_free (task->output);
      task->output = g_strdup (hi_text (event, "output"));
    }
  else
    end_task (task, event->t_ms, false);
}

static void
end_tasks_on (const struct jt_attempt *attempt, const struct hi_event *event)
{
  GHashTableIter tasks;
  struct jt_task *task;
  gpointer data;

  g_hash_table_iter_init (&tasks, attempt->tasks);
  while (g_hash_table_iter_next (&tasks, NULL, &data))
    {
      task = data;
      if (g_strcmp0 (task->worker, event->who) == 0)
        end_task (task, event->t_ms, false);
    }
}

/* Ends all tasks of a worker that has gone down or has come up again: no task
   outlives a restart of its worker.  */
static void
end_tasks_on_worker (const struct reader *reader, const struct hi_event *event)
{
  GHashTableIter jobs;
  GHashTableIter attempts;
  const struct jt_job *job;
  gpointer data;

  g_hash_table_iter_init (&jobs, reader->table->jobs);
  while (g_hash_table_iter_next (&jobs, NULL, &data))
    {
      job = data;
      g_hash_table_iter_init (&attempts, job->attempts);
      while (g_hash_table_iter_next (&attempts, NULL, &data))
        end_tasks_on (data, event);
    }
}

static void
add_event (const struct reader *reader, const struct hi_event *event)
{
  static const char *const test_kinds[] = { "sent", "told", NULL };
  static const char *const worker_kinds[]
      = { "lease", "start", "stop", "lapse", "end", NULL };
  const char *name = hi_text (event, "job");

  if (strcmp (event->what, "down") == 0 || strcmp (event->what, "up") == 0)
    end_tasks_on_worker (reader, event);
  else if (name == NULL)
    return;
  else if (g_strv_contains (test_kinds, event->what))
    add_test_event (find_or_add_job (reader, name), event);
  else if (g_strv_contains (worker_kinds, event->what))
    add_worker_event (reader, find_or_add_job (reader, name), event);
}

struct jt_table *
jt_create (const struct hi_history *history, struct re_report *report)
{
  struct jt_table *table = g_new0 (struct jt_table, 1);
  struct reader reader = { .table = table, .report = report };
  guint i;

  table->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, job_free);
  for (i = 0; i < history->events->len; i++)
    add_event (&reader, hi_get (history, i));
  return table;
}

void
jt_free (struct jt_table *table)
{
  g_hash_table_destroy (table->jobs);
  g_free (table);
}

int64_t
jt_expected_task_count (const struct jt_attempt *attempt)
{
  int64_t known = (int64_t)g_hash_table_size (attempt->tasks);

  return MAX (known, attempt->job->task_count);
}
