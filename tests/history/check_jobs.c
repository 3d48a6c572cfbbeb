/* Checks of jobs and of their gangs.  */

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

/* Counts and times of the tasks of an attempt.  */
struct attempt_summary
{
  int64_t started_count;
  int64_t succeeded_count;
  int64_t first_start_ms;
  int64_t last_start_ms;
  int64_t last_end_ms;
  int64_t first_failure_ms; /* earliest end of a task without success */
};

static struct attempt_summary
summarize_attempt (const struct jt_attempt *attempt)
{
  struct attempt_summary summary
      = { .first_start_ms = JT_NEVER_MS, .first_failure_ms = JT_NEVER_MS };
  const struct jt_task *task;
  GHashTableIter tasks;
  gpointer data;

  g_hash_table_iter_init (&tasks, attempt->tasks);
  while (g_hash_table_iter_next (&tasks, NULL, &data))
    {
      task = data;
      if (task->ended_ms != JT_NEVER_MS && !task->succeeded)
        summary.first_failure_ms
            = MIN (summary.first_failure_ms, task->ended_ms);
      if (task->started_ms == JT_NEVER_MS)
        continue;
      summary.started_count++;
      summary.succeeded_count += task->succeeded ? 1 : 0;
      summary.first_start_ms = MIN (summary.first_start_ms, task->started_ms);
      summary.last_start_ms = MAX (summary.last_start_ms, task->started_ms);
      summary.last_end_ms = MAX (summary.last_end_ms, task->ended_ms);
    }
  return summary;
}

/* Checks the time in which only part of the gang runs: from the first start
   until all tasks have started or, if some never start, until the last end of
   the others.  */
static void
check_partial_gang (const struct checker *checker,
                    const struct jt_attempt *attempt,
                    const struct attempt_summary *summary)
{
  int64_t expected = jt_expected_task_count (attempt);
  int64_t until_ms = summary->last_end_ms;

  if (summary->started_count == expected)
    until_ms = MIN (until_ms, summary->last_start_ms);
  until_ms = MIN (until_ms, checker->history->end_ms);
  if (until_ms - summary->first_start_ms > checker->bound_ms)
    re_add_violation (
        checker->report, RE_CHECK_GANGS,
        "job %s, attempt %" G_GINT64_FORMAT ": %" G_GINT64_FORMAT
        " of %" G_GINT64_FORMAT
        " tasks were started, and part of the gang ran for %" G_GINT64_FORMAT
        " ms",
        attempt->job->name, attempt->number, summary->started_count, expected,
        until_ms - summary->first_start_ms);
}

/* Checks that the other tasks stop after one has ended without success, by a
   failure or by the loss of its worker.  */
static void
check_tasks_after_failure (const struct checker *checker,
                           const struct jt_attempt *attempt,
                           const struct attempt_summary *summary)
{
  const struct jt_task *task;
  GHashTableIter tasks;
  gpointer number;
  gpointer data;
  int64_t from_ms;
  int64_t until_ms;

  if (summary->first_failure_ms == JT_NEVER_MS)
    return;
  g_hash_table_iter_init (&tasks, attempt->tasks);
  while (g_hash_table_iter_next (&tasks, &number, &data))
    {
      task = data;
      if (task->started_ms == JT_NEVER_MS)
        continue;
      from_ms = MAX (summary->first_failure_ms, task->started_ms);
      until_ms = MIN (task->ended_ms, checker->history->end_ms);
      if (until_ms - from_ms > checker->bound_ms)
        re_add_violation (
            checker->report, RE_CHECK_GANGS,
            "job %s, attempt %" G_GINT64_FORMAT ": task %" G_GINT64_FORMAT
            " ran on for %" G_GINT64_FORMAT " ms after a task was lost",
            attempt->job->name, attempt->number, *(int64_t *)number,
            until_ms - from_ms);
    }
}

/* --- Jobs --- */

static void
check_reported_outcome (const struct checker *checker,
                        const struct jt_job *job, int64_t started_attempts,
                        bool has_complete_attempt)
{
  if (job->not_repeatable)
    {
      re_count_checked (checker->report, RE_CHECK_AT_MOST_ONCE);
      if (started_attempts > 1)
        re_add_violation (checker->report, RE_CHECK_AT_MOST_ONCE,
                          "job %s was started in %" G_GINT64_FORMAT
                          " attempts",
                          job->name, started_attempts);
    }
  if (job->reported_not_run)
    {
      re_count_checked (checker->report, RE_CHECK_NOT_RUN);
      if (started_attempts > 0)
        re_add_violation (checker->report, RE_CHECK_NOT_RUN,
                          "job %s was told not to have run, and was started",
                          job->name);
    }
  if (job->reported_finished)
    {
      re_count_checked (checker->report, RE_CHECK_JOBS);
      if (!has_complete_attempt)
        re_add_violation (
            checker->report, RE_CHECK_JOBS,
            "job %s was told to have finished, and no attempt has "
            "ended whole",
            job->name);
    }
}

/* @return : whether all tasks of the attempt succeeded with these outputs.  */
static bool
attempt_has_outputs (const struct jt_attempt *attempt, const json_t *outputs)
{
  int64_t expected = jt_expected_task_count (attempt);
  const struct jt_task *task;
  const char *output;
  int64_t i;

  if ((int64_t)json_array_size (outputs) != expected)
    return false;
  for (i = 0; i < expected; i++)
    {
      task = g_hash_table_lookup (attempt->tasks, &i);
      output = json_string_value (json_array_get (outputs, (size_t)i));
      if (task == NULL || !task->succeeded
          || g_strcmp0 (task->output, output) != 0)
        return false;
    }
  return true;
}

static bool
any_attempt_has_outputs (const struct jt_job *job, const json_t *outputs)
{
  GHashTableIter attempts;
  gpointer attempt;

  g_hash_table_iter_init (&attempts, job->attempts);
  while (g_hash_table_iter_next (&attempts, NULL, &attempt))
    if (attempt_has_outputs (attempt, outputs))
      return true;
  return false;
}

static void
check_outputs (const struct checker *checker, const struct jt_job *job)
{
  guint i;

  for (i = 0; i < job->reported_outputs->len; i++)
    {
      re_count_checked (checker->report, RE_CHECK_ANSWERS);
      if (!any_attempt_has_outputs (
              job, g_ptr_array_index (job->reported_outputs, i)))
        re_add_violation (
            checker->report, RE_CHECK_ANSWERS,
            "job %s was told outputs that none of its attempts gave",
            job->name);
    }
}

static void
check_job (const struct checker *checker, const struct jt_job *job)
{
  int64_t started_attempts = 0;
  bool has_complete_attempt = false;
  const struct jt_attempt *attempt;
  struct attempt_summary summary;
  GHashTableIter attempts;
  gpointer data;

  g_hash_table_iter_init (&attempts, job->attempts);
  while (g_hash_table_iter_next (&attempts, NULL, &data))
    {
      attempt = data;
      summary = summarize_attempt (attempt);
      if (summary.started_count == 0)
        continue;
      started_attempts++;
      has_complete_attempt
          = has_complete_attempt
            || summary.succeeded_count == jt_expected_task_count (attempt);
      re_count_checked (checker->report, RE_CHECK_GANGS);
      check_partial_gang (checker, attempt, &summary);
      check_tasks_after_failure (checker, attempt, &summary);
    }
  check_reported_outcome (checker, job, started_attempts,
                          has_complete_attempt);
  check_outputs (checker, job);
}

void
ch_check_jobs (const struct hi_history *history, struct re_report *report,
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
