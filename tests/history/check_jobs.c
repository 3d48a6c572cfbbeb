/* Checks of jobs and their gangs.  */

#include "checks.h"

#include <stdbool.h>
#include <string.h>

#include "standins/common/json_answer.h"

static const int64_t never_ms = INT64_MAX;

struct task
{
  char *worker;
  int64_t started_ms; /* never_ms: not */
  int64_t ended_ms;   /* never_ms: not */
  bool ok;            /* ended by itself, and well */
};

struct attempt
{
  struct job *job;
  int64_t number;
  GHashTable *tasks; /* number to struct task * */
};

struct job
{
  char *name;
  int64_t task_count; /* as sent; 0: not known */
  bool not_repeatable;
  bool told_not_run;
  bool told_finished;
  GHashTable *attempts; /* number to struct attempt * */
};

struct checker
{
  const struct hi_history *history;
  struct re_report *report;
  int64_t bound_ms;
  GHashTable *jobs; /* char * to struct job * */
};

/* --- The tables --- */

static void
task_free (gpointer data)
{
  struct task *task = data;

  g_free (task->worker);
  g_free (task);
}

static void
attempt_free (gpointer data)
{
  struct attempt *attempt = data;

  g_hash_table_destroy (attempt->tasks);
  g_free (attempt);
}

static void
job_free (gpointer data)
{
  struct job *job = data;

  g_hash_table_destroy (job->attempts);
  g_free (job->name);
  g_free (job);
}

static struct job *
job_of (const struct checker *checker, const char *name)
{
  struct job *job = g_hash_table_lookup (checker->jobs, name);

  if (job != NULL)
    return job;
  job = g_new0 (struct job, 1);
  job->name = g_strdup (name);
  job->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         attempt_free);
  g_hash_table_insert (checker->jobs, g_strdup (name), job);
  return job;
}

static gpointer
number_key (int64_t number)
{
  int64_t *key = g_new (int64_t, 1);

  *key = number;
  return key;
}

static struct attempt *
attempt_of (struct job *job, int64_t number)
{
  struct attempt *attempt = g_hash_table_lookup (job->attempts, &number);

  if (attempt != NULL)
    return attempt;
  attempt = g_new0 (struct attempt, 1);
  attempt->job = job;
  attempt->number = number;
  attempt->tasks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, task_free);
  g_hash_table_insert (job->attempts, number_key (number), attempt);
  return attempt;
}

static struct task *
task_of (const struct attempt *attempt, int64_t number)
{
  struct task *task = g_hash_table_lookup (attempt->tasks, &number);

  if (task != NULL)
    return task;
  task = g_new0 (struct task, 1);
  task->started_ms = never_ms;
  task->ended_ms = never_ms;
  g_hash_table_insert (attempt->tasks, number_key (number), task);
  return task;
}

/* --- Reading --- */

static void
add_test_line (struct job *job, const struct hi_event *event)
{
  const char *state = hi_text (event, "state");

  if (strcmp (event->what, "sent") == 0)
    {
      job->task_count = MAX (job->task_count, hi_number (event, "tasks"));
      if (!ja_flag (event->line, "repeatable", true))
        job->not_repeatable = true;
    }
  else if (g_strcmp0 (state, "not_run") == 0)
    job->told_not_run = true;
  else if (g_strcmp0 (state, "finished") == 0)
    job->told_finished = true;
}

static void
end_task (struct task *task, int64_t time_ms, bool ok)
{
  if (task->ended_ms != never_ms)
    return;
  task->ended_ms = time_ms;
  task->ok = ok;
}

static void
add_start (const struct checker *checker, const struct attempt *attempt,
           struct task *task, const struct hi_event *event)
{
  if (task->started_ms != never_ms)
    re_violation (checker->report, RE_GANGS,
                  "task %" G_GINT64_FORMAT
                  " of job %s, attempt %" G_GINT64_FORMAT
                  ", was started on %s and on %s",
                  hi_number (event, "task"), attempt->job->name,
                  attempt->number, task->worker, event->who);
  task->started_ms = MIN (task->started_ms, event->t_ms);
}

static void
add_worker_line (const struct checker *checker, struct job *job,
                 const struct hi_event *event)
{
  struct attempt *attempt = attempt_of (job, hi_number (event, "attempt"));
  struct task *task = task_of (attempt, hi_number (event, "task"));

  if (strcmp (event->what, "start") == 0)
    add_start (checker, attempt, task, event);
  else if (strcmp (event->what, "end") == 0)
    end_task (task, event->t_ms, ja_flag (event->line, "ok", false));
  else if (strcmp (event->what, "lease") != 0)
    end_task (task, event->t_ms, false);
  if (task->worker == NULL || strcmp (event->what, "lease") == 0)
    {
      g_free (task->worker);
      task->worker = g_strdup (event->who);
    }
}

/* All tasks of a worker that is down, or that is up again, have ended.  */
static void
add_down (const struct checker *checker, const struct hi_event *event)
{
  GHashTableIter jobs;
  GHashTableIter attempts;
  GHashTableIter tasks;
  gpointer job;
  gpointer attempt;
  gpointer data;
  struct task *task;

  g_hash_table_iter_init (&jobs, checker->jobs);
  while (g_hash_table_iter_next (&jobs, NULL, &job))
    {
      g_hash_table_iter_init (&attempts, ((struct job *)job)->attempts);
      while (g_hash_table_iter_next (&attempts, NULL, &attempt))
        {
          g_hash_table_iter_init (&tasks, ((struct attempt *)attempt)->tasks);
          while (g_hash_table_iter_next (&tasks, NULL, &data))
            {
              task = data;
              if (g_strcmp0 (task->worker, event->who) == 0)
                end_task (task, event->t_ms, false);
            }
        }
    }
}

static void
add_event (const struct checker *checker, const struct hi_event *event)
{
  static const char *const of_tests[] = { "sent", "told", NULL };
  static const char *const of_workers[]
      = { "lease", "start", "stop", "lapse", "end", NULL };
  const char *name = hi_text (event, "job");

  if (strcmp (event->what, "down") == 0 || strcmp (event->what, "up") == 0)
    add_down (checker, event);
  else if (name == NULL)
    return;
  else if (g_strv_contains (of_tests, event->what))
    add_test_line (job_of (checker, name), event);
  else if (g_strv_contains (of_workers, event->what))
    add_worker_line (checker, job_of (checker, name), event);
}

/* --- Gangs --- */

/* Times of an attempt's tasks that started.  */
struct span
{
  int64_t started; /* how many */
  int64_t ok;      /* ended well */
  int64_t first_start_ms;
  int64_t last_start_ms;
  int64_t last_end_ms;
  int64_t first_loss_ms; /* of a task that did not end well */
};

static struct span
span_of (const struct attempt *attempt)
{
  struct span span = { .first_start_ms = never_ms, .first_loss_ms = never_ms };
  const struct task *task;
  GHashTableIter tasks;
  gpointer data;

  g_hash_table_iter_init (&tasks, attempt->tasks);
  while (g_hash_table_iter_next (&tasks, NULL, &data))
    {
      task = data;
      if (task->ended_ms != never_ms && !task->ok)
        span.first_loss_ms = MIN (span.first_loss_ms, task->ended_ms);
      if (task->started_ms == never_ms)
        continue;
      span.started++;
      span.ok += task->ok ? 1 : 0;
      span.first_start_ms = MIN (span.first_start_ms, task->started_ms);
      span.last_start_ms = MAX (span.last_start_ms, task->started_ms);
      span.last_end_ms = MAX (span.last_end_ms, task->ended_ms);
    }
  return span;
}

static int64_t
expected_tasks (const struct attempt *attempt)
{
  int64_t known = (int64_t)g_hash_table_size (attempt->tasks);

  return MAX (known, attempt->job->task_count);
}

/* Part of the gang runs from its first start until all have started, or until
   those that have started are over.  */
static void
check_start (const struct checker *checker, const struct attempt *attempt,
             const struct span *span)
{
  int64_t expected = expected_tasks (attempt);
  int64_t until_ms = span->last_end_ms;

  if (span->started == expected)
    until_ms = MIN (until_ms, span->last_start_ms);
  until_ms = MIN (until_ms, checker->history->end_ms);
  if (until_ms - span->first_start_ms > checker->bound_ms)
    re_violation (
        checker->report, RE_GANGS,
        "job %s, attempt %" G_GINT64_FORMAT ": %" G_GINT64_FORMAT
        " of %" G_GINT64_FORMAT
        " tasks were started, and part of the gang ran for %" G_GINT64_FORMAT
        " ms",
        attempt->job->name, attempt->number, span->started, expected,
        until_ms - span->first_start_ms);
}

/* After the loss of a task, the others stop.  */
static void
check_loss (const struct checker *checker, const struct attempt *attempt,
            const struct span *span)
{
  const struct task *task;
  GHashTableIter tasks;
  gpointer number;
  gpointer data;
  int64_t from_ms;
  int64_t until_ms;

  if (span->first_loss_ms == never_ms)
    return;
  g_hash_table_iter_init (&tasks, attempt->tasks);
  while (g_hash_table_iter_next (&tasks, &number, &data))
    {
      task = data;
      if (task->started_ms == never_ms)
        continue;
      from_ms = MAX (span->first_loss_ms, task->started_ms);
      until_ms = MIN (task->ended_ms, checker->history->end_ms);
      if (until_ms - from_ms > checker->bound_ms)
        re_violation (
            checker->report, RE_GANGS,
            "job %s, attempt %" G_GINT64_FORMAT ": task %" G_GINT64_FORMAT
            " ran on for %" G_GINT64_FORMAT " ms after a task was lost",
            attempt->job->name, attempt->number, *(int64_t *)number,
            until_ms - from_ms);
    }
}

/* --- Jobs --- */

static void
check_told (const struct checker *checker, const struct job *job,
            int64_t started_attempts, bool whole)
{
  if (job->not_repeatable)
    {
      re_checked (checker->report, RE_AT_MOST_ONCE);
      if (started_attempts > 1)
        re_violation (checker->report, RE_AT_MOST_ONCE,
                      "job %s was started in %" G_GINT64_FORMAT " attempts",
                      job->name, started_attempts);
    }
  if (job->told_not_run)
    {
      re_checked (checker->report, RE_NOT_RUN);
      if (started_attempts > 0)
        re_violation (checker->report, RE_NOT_RUN,
                      "job %s was told not to have run, and was started",
                      job->name);
    }
  if (job->told_finished)
    {
      re_checked (checker->report, RE_JOBS);
      if (!whole)
        re_violation (checker->report, RE_JOBS,
                      "job %s was told to have finished, and no attempt has "
                      "ended whole",
                      job->name);
    }
}

static void
check_job (const struct checker *checker, const struct job *job)
{
  int64_t started_attempts = 0;
  bool whole = false;
  const struct attempt *attempt;
  struct span span;
  GHashTableIter attempts;
  gpointer data;

  g_hash_table_iter_init (&attempts, job->attempts);
  while (g_hash_table_iter_next (&attempts, NULL, &data))
    {
      attempt = data;
      span = span_of (attempt);
      if (span.started == 0)
        continue;
      started_attempts++;
      whole = whole || span.ok == expected_tasks (attempt);
      re_checked (checker->report, RE_GANGS);
      check_start (checker, attempt, &span);
      check_loss (checker, attempt, &span);
    }
  check_told (checker, job, started_attempts, whole);
}

void
ch_jobs (const struct hi_history *history, struct re_report *report,
         uint32_t bound_ms)
{
  struct checker checker
      = { .history = history, .report = report, .bound_ms = bound_ms };
  GHashTableIter jobs;
  gpointer job;
  guint i;

  checker.jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, job_free);
  for (i = 0; i < history->events->len; i++)
    add_event (&checker, hi_get (history, i));
  g_hash_table_iter_init (&jobs, checker.jobs);
  while (g_hash_table_iter_next (&jobs, NULL, &job))
    check_job (&checker, job);
  g_hash_table_destroy (checker.jobs);
}
