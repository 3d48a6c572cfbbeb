/* Reconstructs the history of a job from log lines.  */

#include "explain.h"

#include <stdlib.h>
#include <string.h>

/* Log messages of the daemon foxtailgap-hostd (not of foxtailgapd), matched
   letter for letter.  */
static const char LINE_WRITE_OUTCOME[] = "A caller's write has an outcome.";
static const char LINE_RECEIVED_BY_PLANNER[] = "A job is taken in.";
static const char LINE_TASKS_PLACED[] = "Tasks are placed.";
static const char LINE_JOB_WAITS[] = "A job waits.";
static const char LINE_RUN_ENDED[] = "A run has ended.";
static const char LINE_RUN_LOST[] = "A run is gone without an end.";
static const char LINE_TASK_GIVEN_UP[]
    = "A job has failed: its task was lost with its workers.";
static const char LINE_JOB_STATE_STORED[] = "A job's state is stored.";
static const char LINE_CALL_REFUSED[] = "A call is refused.";
static const char LINE_WORKER_UNREACHABLE[] = "A worker is out of touch.";
static const char LINE_LEASE_EXPIRED[] = "The lease of a worker is over.";
static const char LINE_HOST_IS_PLANNER[] = "This host is the planner.";

enum
{
  TASKS_PER_LINE_MAX = 4096 /* of a job; a line that names more is damaged */
};

/* --- Which lines --- */

static bool
mentions_job (const struct lf_line *line, const char *id)
{
  const char *path = lf_field (line, "path");

  return strcmp (lf_field (line, "job"), id) == 0
         || g_str_has_prefix (lf_field (line, "task"), id)
         || (path[0] != '\0' && g_str_has_suffix (path, id));
}

static int
compare_lines (const void *a, const void *b)
{
  const struct lf_line *left = *(struct lf_line *const *)a;
  const struct lf_line *right = *(struct lf_line *const *)b;

  if (left->aligned_ms != right->aligned_ms)
    return left->aligned_ms < right->aligned_ms ? -1 : 1;
  if (left->file != right->file)
    return left->file < right->file ? -1 : 1;
  return (left->number > right->number) - (left->number < right->number);
}

static const struct lf_line *
find_first_message (const GPtrArray *lines, const char *message)
{
  guint i;

  for (i = 0; i < lines->len; i++)
    if (lf_has_message (g_ptr_array_index (lines, i), message))
      return g_ptr_array_index (lines, i);
  return NULL;
}

/* A planner receives a job only after the job was stored.  If the aligned
   times contradict this, the job's lines of the host that stored it are
   shifted earlier by the difference.  */
static void
shift_clock_for_causality (GPtrArray *lines)
{
  const struct lf_line *received
      = find_first_message (lines, LINE_RECEIVED_BY_PLANNER);
  const struct lf_line *stored = NULL;
  int64_t excess_ms;
  guint i;

  for (i = 0; i < lines->len && stored == NULL; i++)
    {
      const struct lf_line *line = g_ptr_array_index (lines, i);

      if (lf_has_message (line, LINE_WRITE_OUTCOME)
          && strcmp (lf_field (line, "outcome"), "stored") == 0)
        stored = line;
    }
  if (received == NULL || stored == NULL || received->file == stored->file
      || stored->aligned_ms <= received->aligned_ms)
    return;
  excess_ms = stored->aligned_ms - received->aligned_ms;
  for (i = 0; i < lines->len; i++)
    {
      struct lf_line *line = g_ptr_array_index (lines, i);

      if (line->file == stored->file)
        line->aligned_ms -= excess_ms;
    }
}

/* LIST: ids, separated by commas.  */
static void
add_workers (GHashTable *workers, const char *list)
{
  char **ids = g_strsplit (list, ",", -1);
  size_t i;

  for (i = 0; ids[i] != NULL; i++)
    g_hash_table_add (workers, g_strdup (ids[i]));
  g_strfreev (ids);
}

static GHashTable *
collect_workers (const GPtrArray *lines)
{
  GHashTable *workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint i;

  for (i = 0; i < lines->len; i++)
    {
      const struct lf_line *line = g_ptr_array_index (lines, i);

      if (lf_has_message (line, LINE_TASKS_PLACED))
        add_workers (workers, lf_field (line, "workers"));
    }
  return workers;
}

/* Whether a line that does not name the job is about something that affects
   it: a change of planner, or a fault of one of its workers.  */
static bool
is_related_host_event (const struct lf_line *line, GHashTable *workers)
{
  if (lf_has_message (line, LINE_HOST_IS_PLANNER))
    return true;
  return (lf_has_message (line, LINE_WORKER_UNREACHABLE)
          || lf_has_message (line, LINE_LEASE_EXPIRED))
         && g_hash_table_contains (workers, lf_field (line, "worker"));
}

static void
add_host_events (GPtrArray *lines, GPtrArray *files)
{
  GHashTable *workers = collect_workers (lines);
  int64_t from_ms
      = ((struct lf_line *)g_ptr_array_index (lines, 0))->aligned_ms;
  int64_t to_ms = ((struct lf_line *)g_ptr_array_index (lines, lines->len - 1))
                      ->aligned_ms;
  guint i;
  guint k;

  for (i = 0; i < files->len; i++)
    {
      const struct lf_file *file = g_ptr_array_index (files, i);

      for (k = 0; k < file->lines->len; k++)
        {
          struct lf_line *line = g_ptr_array_index (file->lines, k);

          if (line->aligned_ms >= from_ms && line->aligned_ms <= to_ms
              && is_related_host_event (line, workers))
            g_ptr_array_add (lines, line);
        }
    }
  g_hash_table_destroy (workers);
  g_ptr_array_sort (lines, compare_lines);
}

static GPtrArray *
collect_lines (GPtrArray *files, const char *id)
{
  GPtrArray *lines = g_ptr_array_new ();
  guint i;
  guint k;

  for (i = 0; i < files->len; i++)
    {
      const struct lf_file *file = g_ptr_array_index (files, i);

      for (k = 0; k < file->lines->len; k++)
        if (mentions_job (g_ptr_array_index (file->lines, k), id))
          g_ptr_array_add (lines, g_ptr_array_index (file->lines, k));
    }
  g_ptr_array_sort (lines, compare_lines);
  shift_clock_for_causality (lines);
  g_ptr_array_sort (lines, compare_lines);
  if (lines->len > 0)
    add_host_events (lines, files);
  return lines;
}

/* --- Where its time went --- */

/* State of the scan over the lines of the job.  */
struct scan
{
  struct ex_report *report;
  int64_t stored_ms;           /* 0: not seen yet */
  int64_t planner_received_ms; /* 0: not seen yet */
  int64_t idle_since_ms;       /* 0: a task is running, or no planner has
                                  received the job yet */
  GHashTable *runs;            /* task_key () of a task -> int64_t placed_ms */
  GHashTable *event_counts;    /* outcome of a run, or message -> number */
  struct ew_waits *waits;
  const char *last_refusal_reason;
  /* LINE_TASK_GIVEN_UP; NULL: not seen; owned by the report.  */
  const struct lf_line *given_up;
  bool gang;
  guint refusal_count;
};

static void
count_event (struct scan *scan, const char *event)
{
  guint count_before
      = GPOINTER_TO_UINT (g_hash_table_lookup (scan->event_counts, event));

  g_hash_table_insert (scan->event_counts, g_strdup (event),
                       GUINT_TO_POINTER (count_before + 1));
}

static guint
event_count (const struct scan *scan, const char *event)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (scan->event_counts, event));
}

/* Returns "STEP.INDEX".  The log field "task" is JOB.OCCURRENCE.STEP.INDEX.
 */
static char *
task_key (const struct lf_line *line)
{
  char **parts;
  char *key;

  if (lf_field (line, "task")[0] == '\0')
    return g_strdup_printf ("%s.%s", lf_field (line, "step"),
                            lf_field (line, "index"));
  parts = g_strsplit (lf_field (line, "task"), ".", -1);
  key = g_strv_length (parts) == 4
            ? g_strdup_printf ("%s.%s", parts[2], parts[3])
            : g_strdup ("");
  g_strfreev (parts);
  return key;
}

/* The line is about TASKS tasks of a step, from index FIRST on.  */
static void
scan_placed (struct scan *scan, const struct lf_line *line)
{
  const char *step = lf_field (line, "step");
  uint64_t first = g_ascii_strtoull (lf_field (line, "first"), NULL, 10);
  uint64_t tasks = g_ascii_strtoull (lf_field (line, "tasks"), NULL, 10);
  uint64_t i;

  if (scan->idle_since_ms > 0)
    scan->report->phases_ms[EX_PHASE_NOT_RUNNING]
        += line->aligned_ms - scan->idle_since_ms;
  scan->idle_since_ms = 0;
  for (i = 0; i < MIN (tasks, TASKS_PER_LINE_MAX); i++)
    {
      int64_t *placed_ms = g_new (int64_t, 1);

      *placed_ms = line->aligned_ms;
      g_hash_table_replace (
          scan->runs,
          g_strdup_printf ("%s.%" G_GUINT64_FORMAT, step, first + i),
          placed_ms);
    }
}

static gboolean
is_key_of_step (void *key, void *value, void *ctx)
{
  const struct lf_line *line = ctx;
  char *line_key = task_key (line);
  size_t step_bytes = strcspn (line_key, ".") + 1;
  bool same = strncmp (key, line_key, step_bytes) == 0;

  (void)value;
  g_free (line_key);
  return same;
}

/* @event : outcome of the run, as in the log field "how"; or "gone".
   The time of tasks that run in parallel counts once: when no task runs any
   more, the run time of the last one to end is added, to the phase of that
   task's outcome.  For a gang, one run that ended `done` counts
   as the end of all tasks of its step.  */
static void
scan_ended (struct scan *scan, const struct lf_line *line, const char *event)
{
  char *key = task_key (line);
  const int64_t *placed_ms = g_hash_table_lookup (scan->runs, key);
  bool done = strcmp (event, "done") == 0;

  count_event (scan, event);
  if (placed_ms != NULL)
    {
      int64_t ran_ms = line->aligned_ms - *placed_ms;

      g_hash_table_remove (scan->runs, key);
      if (done && scan->gang)
        g_hash_table_foreach_remove (scan->runs, is_key_of_step, (void *)line);
      if (g_hash_table_size (scan->runs) == 0)
        {
          scan->report->phases_ms[done ? EX_PHASE_SUCCESSFUL_RUNS
                                       : EX_PHASE_UNSUCCESSFUL_RUNS]
              += ran_ms;
          scan->idle_since_ms = line->aligned_ms;
        }
    }
  g_free (key);
}

static void
scan_write_outcome (struct scan *scan, const struct lf_line *line)
{
  const char *outcome = lf_field (line, "outcome");
  int64_t took_ms = g_ascii_strtoll (lf_field (line, "took_ms"), NULL, 10);
  struct ex_report *report = scan->report;

  if (strcmp (lf_field (line, "what"), "submit") != 0)
    return;
  report->start_ms = MIN (report->start_ms, line->aligned_ms - took_ms);
  if (strcmp (outcome, "stored") == 0 && scan->stored_ms == 0)
    scan->stored_ms = line->aligned_ms;
  else if (strcmp (outcome, "unknown") == 0
           && report->outcome == EX_OUTCOME_UNSEEN)
    report->outcome = EX_OUTCOME_UNKNOWN;
}

static void
scan_job_state (struct scan *scan, const struct lf_line *line)
{
  const char *state = lf_field (line, "state");
  struct ex_report *report = scan->report;

  if (report->outcome == EX_OUTCOME_CANCELLED)
    return;
  if (strcmp (state, "completed") == 0)
    report->outcome = EX_OUTCOME_COMPLETED;
  else if (strcmp (state, "failed") == 0)
    report->outcome = EX_OUTCOME_FAILED;
  else
    return;
  report->end_ms = line->aligned_ms;
}

static void
scan_line (struct scan *scan, const struct lf_line *line)
{
  struct ex_report *report = scan->report;

  if (lf_has_message (line, LINE_WRITE_OUTCOME))
    scan_write_outcome (scan, line);
  /* Refused reads of the job's state ("state") do not count.  */
  else if (lf_has_message (line, LINE_CALL_REFUSED)
           && strcmp (lf_field (line, "what"), "state") != 0)
    {
      scan->last_refusal_reason = lf_field (line, "reason");
      scan->refusal_count++;
    }
  else if (lf_has_message (line, LINE_RECEIVED_BY_PLANNER)
           && scan->planner_received_ms == 0)
    {
      scan->planner_received_ms = scan->idle_since_ms = line->aligned_ms;
      scan->gang = strcmp (lf_field (line, "gang"), "yes") == 0;
    }
  else if (lf_has_message (line, LINE_JOB_WAITS))
    ew_add_line (scan->waits, line);
  else if (lf_has_message (line, LINE_TASKS_PLACED))
    {
      ew_step_placed (scan->waits, line);
      scan_placed (scan, line);
    }
  else if (lf_has_message (line, LINE_RUN_ENDED)
           && strcmp (lf_field (line, "current"), "no") != 0)
    scan_ended (scan, line, lf_field (line, "how"));
  else if (lf_has_message (line, LINE_RUN_LOST))
    scan_ended (scan, line, "gone");
  else if (lf_has_message (line, LINE_TASK_GIVEN_UP))
    scan->given_up = line;
  else if (lf_has_message (line, LINE_JOB_STATE_STORED))
    scan_job_state (scan, line);
  else if (lf_has_message (line, "A job is cancelled.")
           && report->outcome != EX_OUTCOME_CANCELLED
           && report->outcome != EX_OUTCOME_COMPLETED
           && report->outcome != EX_OUTCOME_FAILED)
    {
      report->outcome = EX_OUTCOME_CANCELLED;
      report->end_ms = line->aligned_ms;
    }
  else if (lf_has_message (line, LINE_WORKER_UNREACHABLE)
           || lf_has_message (line, LINE_LEASE_EXPIRED)
           || lf_has_message (line, LINE_HOST_IS_PLANNER))
    count_event (scan, lf_field (line, "msg"));
}

/* --- The cause --- */

static char *
describe_unsuccessful_runs (const struct scan *scan)
{
  if (event_count (scan, LINE_WORKER_UNREACHABLE) > 0
      || event_count (scan, "gone") > 0
      || event_count (scan, LINE_LEASE_EXPIRED) > 0)
    return g_strdup_printf (
        "it lost workers (%u went out of touch) and was started again",
        event_count (scan, LINE_WORKER_UNREACHABLE));
  if (event_count (scan, "stopped") >= MAX (event_count (scan, "failed"), 1))
    return g_strdup_printf ("%u of its runs were stopped: their room was "
                            "taken back, or they stood still",
                            event_count (scan, "stopped"));
  return g_strdup_printf ("%u of its runs failed",
                          event_count (scan, "failed"));
}

static char *
describe_wait (const struct scan *scan)
{
  const GPtrArray *waits = scan->report->waits;
  const struct ex_wait *longest;

  if (waits->len > 0)
    {
      longest = g_ptr_array_index (waits, 0);
      return g_strdup_printf ("most of its time it waited: %s",
                              ew_meaning (longest->why));
    }
  return event_count (scan, LINE_HOST_IS_PLANNER) > 0
             ? g_strdup ("most of its time nothing of it ran; a planner "
                         "took over meanwhile")
             : g_strdup ("most of its time it waited for room");
}

static char *
describe_longest_phase (const struct scan *scan)
{
  const int64_t *phases_ms = scan->report->phases_ms;
  enum ex_phase longest = EX_PHASE_SUCCESSFUL_RUNS;
  int i;

  for (i = 0; i < EX_PHASE_SUCCESSFUL_RUNS; i++)
    if (phases_ms[i] > phases_ms[longest])
      longest = (enum ex_phase)i;
  switch (longest)
    {
    case EX_PHASE_ACCEPTING:
      return g_strdup ("most of its time passed before it was stored");
    case EX_PHASE_PLANNER:
      return g_strdup ("most of its time passed before a planner knew of it");
    case EX_PHASE_NOT_RUNNING:
      return describe_wait (scan);
    case EX_PHASE_UNSUCCESSFUL_RUNS:
      return describe_unsuccessful_runs (scan);
    case EX_PHASE_SUCCESSFUL_RUNS:
    case EX_PHASE_COUNT:
      break;
    }
  return g_strdup ("most of its time it worked");
}

static char *
describe_cause (const struct scan *scan)
{
  const struct ex_report *report = scan->report;

  switch (report->outcome)
    {
    case EX_OUTCOME_UNSEEN:
      return g_strdup ("no line of these logs tells of it");
    case EX_OUTCOME_REFUSED:
      return g_strdup_printf ("it was not accepted (%u refusals, the last: "
                              "%s); it did not run",
                              scan->refusal_count, scan->last_refusal_reason);
    case EX_OUTCOME_UNKNOWN:
      return g_strdup ("the store did not answer; whether it was stored is "
                       "not told here");
    case EX_OUTCOME_FAILED:
      if (scan->given_up != NULL)
        return g_strdup_printf (
            "%s workers crashed when its task had just started there, %s of "
            "its runs were lost with no other cause in sight; it was given "
            "up",
            lf_field (scan->given_up, "crashes"),
            lf_field (scan->given_up, "lost_runs"));
      return g_strdup_printf ("%u of its runs failed, as many as its queue "
                              "allows",
                              event_count (scan, "failed"));
    case EX_OUTCOME_CANCELLED:
      return g_strdup ("its caller cancelled it");
    case EX_OUTCOME_ACCEPTED:
    case EX_OUTCOME_COMPLETED:
      break;
    }
  return describe_longest_phase (scan);
}

static void
finish_phases (struct scan *scan)
{
  struct ex_report *report = scan->report;

  if (scan->stored_ms > 0)
    report->phases_ms[EX_PHASE_ACCEPTING] = scan->stored_ms - report->start_ms;
  if (scan->stored_ms > 0 && scan->planner_received_ms > 0)
    report->phases_ms[EX_PHASE_PLANNER]
        = scan->planner_received_ms - scan->stored_ms;
  if (scan->idle_since_ms > 0 && report->outcome != EX_OUTCOME_COMPLETED)
    report->phases_ms[EX_PHASE_NOT_RUNNING]
        += MAX (report->end_ms - scan->idle_since_ms, 0);
  if (report->outcome == EX_OUTCOME_UNSEEN
      || report->outcome == EX_OUTCOME_UNKNOWN)
    {
      if (scan->stored_ms > 0 || scan->planner_received_ms > 0)
        report->outcome = EX_OUTCOME_ACCEPTED;
      else if (report->outcome == EX_OUTCOME_UNSEEN && scan->refusal_count > 0)
        report->outcome = EX_OUTCOME_REFUSED;
    }
}

struct ex_report *
ex_explain (GPtrArray *files, const char *id)
{
  struct ex_report *report = g_new0 (struct ex_report, 1);
  struct scan scan = {
    .report = report,
    .runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
    .event_counts
    = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .waits = ew_create (),
  };
  guint i;

  report->lines = collect_lines (files, id);
  if (report->lines->len > 0)
    {
      const GPtrArray *lines = report->lines;

      report->start_ms
          = ((struct lf_line *)g_ptr_array_index (lines, 0))->aligned_ms;
      report->end_ms
          = ((struct lf_line *)g_ptr_array_index (lines, lines->len - 1))
                ->aligned_ms;
    }
  for (i = 0; i < report->lines->len; i++)
    scan_line (&scan, g_ptr_array_index (report->lines, i));
  finish_phases (&scan);
  report->waits = ew_finish (scan.waits, report->end_ms);
  report->cause = describe_cause (&scan);
  ew_free (scan.waits);
  g_hash_table_destroy (scan.runs);
  g_hash_table_destroy (scan.event_counts);
  return report;
}

void
ex_free (struct ex_report *report)
{
  if (report == NULL)
    return;
  g_ptr_array_free (report->lines, TRUE);
  g_ptr_array_free (report->waits, TRUE);
  g_free (report->cause);
  g_free (report);
}
