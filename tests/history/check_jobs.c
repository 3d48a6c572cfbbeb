/* Checks of jobs and their gangs.  */

#include "checks.h"

#include <stdbool.h>

#include "job_table.h"

struct checker
{
  const struct hi_history *history;
  struct re_report *report;
  int64_t bound_ms;
};

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
span_of (const struct jt_attempt *attempt)
{
  struct span span
      = { .first_start_ms = JT_NEVER_MS, .first_loss_ms = JT_NEVER_MS };
  const struct jt_task *task;
  GHashTableIter tasks;
  gpointer data;

  g_hash_table_iter_init (&tasks, attempt->tasks);
  while (g_hash_table_iter_next (&tasks, NULL, &data))
    {
      task = data;
      if (task->ended_ms != JT_NEVER_MS && !task->ok)
        span.first_loss_ms = MIN (span.first_loss_ms, task->ended_ms);
      if (task->started_ms == JT_NEVER_MS)
        continue;
      span.started++;
      span.ok += task->ok ? 1 : 0;
      span.first_start_ms = MIN (span.first_start_ms, task->started_ms);
      span.last_start_ms = MAX (span.last_start_ms, task->started_ms);
      span.last_end_ms = MAX (span.last_end_ms, task->ended_ms);
    }
  return span;
}

/* Part of the gang runs from its first start until all have started, or until
   those that have started are over.  */
static void
check_start (const struct checker *checker, const struct jt_attempt *attempt,
             const struct span *span)
{
  int64_t expected = jt_expected_tasks (attempt);
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
check_loss (const struct checker *checker, const struct jt_attempt *attempt,
            const struct span *span)
{
  const struct jt_task *task;
  GHashTableIter tasks;
  gpointer number;
  gpointer data;
  int64_t from_ms;
  int64_t until_ms;

  if (span->first_loss_ms == JT_NEVER_MS)
    return;
  g_hash_table_iter_init (&tasks, attempt->tasks);
  while (g_hash_table_iter_next (&tasks, &number, &data))
    {
      task = data;
      if (task->started_ms == JT_NEVER_MS)
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
check_told (const struct checker *checker, const struct jt_job *job,
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

/* @return : whether the attempt ended whole, with these outputs.  */
static bool
has_outputs (const struct jt_attempt *attempt, const json_t *outputs)
{
  int64_t expected = jt_expected_tasks (attempt);
  const struct jt_task *task;
  const char *output;
  int64_t i;

  if ((int64_t)json_array_size (outputs) != expected)
    return false;
  for (i = 0; i < expected; i++)
    {
      task = g_hash_table_lookup (attempt->tasks, &i);
      output = json_string_value (json_array_get (outputs, (size_t)i));
      if (task == NULL || !task->ok || g_strcmp0 (task->output, output) != 0)
        return false;
    }
  return true;
}

static bool
gave_outputs (const struct jt_job *job, const json_t *outputs)
{
  GHashTableIter attempts;
  gpointer attempt;

  g_hash_table_iter_init (&attempts, job->attempts);
  while (g_hash_table_iter_next (&attempts, NULL, &attempt))
    if (has_outputs (attempt, outputs))
      return true;
  return false;
}

static void
check_outputs (const struct checker *checker, const struct jt_job *job)
{
  guint i;

  for (i = 0; i < job->told_outputs->len; i++)
    {
      re_checked (checker->report, RE_ANSWERS);
      if (!gave_outputs (job, g_ptr_array_index (job->told_outputs, i)))
        re_violation (checker->report, RE_ANSWERS,
                      "job %s was told outputs that none of its attempts gave",
                      job->name);
    }
}

static void
check_job (const struct checker *checker, const struct jt_job *job)
{
  int64_t started_attempts = 0;
  bool whole = false;
  const struct jt_attempt *attempt;
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
      whole = whole || span.ok == jt_expected_tasks (attempt);
      re_checked (checker->report, RE_GANGS);
      check_start (checker, attempt, &span);
      check_loss (checker, attempt, &span);
    }
  check_told (checker, job, started_attempts, whole);
  check_outputs (checker, job);
}

void
ch_jobs (const struct hi_history *history, struct re_report *report,
         uint32_t bound_ms)
{
  struct checker checker
      = { .history = history, .report = report, .bound_ms = bound_ms };
  struct jt_table *table = jt_create (history, report);
  GHashTableIter jobs;
  gpointer job;

  g_hash_table_iter_init (&jobs, table->jobs);
  while (g_hash_table_iter_next (&jobs, NULL, &job))
    check_job (&checker, job);
  jt_free (table);
}
