/* What became of a job: the lines that tell of it, and the cause.  */

#include "explain.h"

#include <stdlib.h>
#include <string.h>

static const char STORED[] = "A caller's write has an outcome.";
static const char TAKEN_IN[] = "A job is taken in.";
static const char PLACED[] = "A task is placed.";
static const char ENDED[] = "A run has ended.";
static const char GONE[] = "A run is gone without an end.";
static const char STATE[] = "A job's state is stored.";
static const char REFUSED[] = "A call is refused.";
static const char OUT_OF_TOUCH[] = "A worker is out of touch.";
static const char LEASE_OVER[] = "The lease of a worker is over.";
static const char TERM[] = "This host is the planner.";

/* --- Which lines --- */

static bool
names_job (const struct lf_line *line, const char *id)
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

  if (left->common_ms != right->common_ms)
    return left->common_ms < right->common_ms ? -1 : 1;
  if (left->file != right->file)
    return left->file < right->file ? -1 : 1;
  return (left->number > right->number) - (left->number < right->number);
}

static const struct lf_line *
first_with (const GPtrArray *lines, const char *message)
{
  guint i;

  for (i = 0; i < lines->len; i++)
    if (lf_is (g_ptr_array_index (lines, i), message))
      return g_ptr_array_index (lines, i);
  return NULL;
}

/* A job is taken in after it was stored, whatever the clocks say.  */
static void
order_by_cause (GPtrArray *lines)
{
  const struct lf_line *taken = first_with (lines, TAKEN_IN);
  const struct lf_line *stored = NULL;
  int64_t late_ms;
  guint i;

  for (i = 0; i < lines->len && stored == NULL; i++)
    {
      const struct lf_line *line = g_ptr_array_index (lines, i);

      if (lf_is (line, STORED)
          && strcmp (lf_field (line, "outcome"), "stored") == 0)
        stored = line;
    }
  if (taken == NULL || stored == NULL || taken->file == stored->file
      || stored->common_ms <= taken->common_ms)
    return;
  late_ms = stored->common_ms - taken->common_ms;
  for (i = 0; i < lines->len; i++)
    {
      struct lf_line *line = g_ptr_array_index (lines, i);

      if (line->file == stored->file)
        line->common_ms -= late_ms;
    }
}

static GHashTable *
workers_of (const GPtrArray *lines)
{
  GHashTable *workers = g_hash_table_new (g_str_hash, g_str_equal);
  guint i;

  for (i = 0; i < lines->len; i++)
    {
      const struct lf_line *line = g_ptr_array_index (lines, i);

      if (lf_is (line, PLACED))
        g_hash_table_add (workers, (char *)lf_field (line, "worker"));
    }
  return workers;
}

/* Whether a line of the whole host bears on the job.  */
static bool
bears_on (const struct lf_line *line, GHashTable *workers)
{
  if (lf_is (line, TERM))
    return true;
  return (lf_is (line, OUT_OF_TOUCH) || lf_is (line, LEASE_OVER))
         && g_hash_table_contains (workers, lf_field (line, "worker"));
}

static void
add_circumstances (GPtrArray *lines, GPtrArray *files)
{
  GHashTable *workers = workers_of (lines);
  int64_t from_ms
      = ((struct lf_line *)g_ptr_array_index (lines, 0))->common_ms;
  int64_t to_ms = ((struct lf_line *)g_ptr_array_index (lines, lines->len - 1))
                      ->common_ms;
  guint i;
  guint k;

  for (i = 0; i < files->len; i++)
    {
      const struct lf_file *file = g_ptr_array_index (files, i);

      for (k = 0; k < file->lines->len; k++)
        {
          struct lf_line *line = g_ptr_array_index (file->lines, k);

          if (line->common_ms >= from_ms && line->common_ms <= to_ms
              && bears_on (line, workers))
            g_ptr_array_add (lines, line);
        }
    }
  g_hash_table_destroy (workers);
  g_ptr_array_sort (lines, compare_lines);
}

static GPtrArray *
collect (GPtrArray *files, const char *id)
{
  GPtrArray *lines = g_ptr_array_new ();
  guint i;
  guint k;

  for (i = 0; i < files->len; i++)
    {
      const struct lf_file *file = g_ptr_array_index (files, i);

      for (k = 0; k < file->lines->len; k++)
        if (names_job (g_ptr_array_index (file->lines, k), id))
          g_ptr_array_add (lines, g_ptr_array_index (file->lines, k));
    }
  g_ptr_array_sort (lines, compare_lines);
  order_by_cause (lines);
  g_ptr_array_sort (lines, compare_lines);
  if (lines->len > 0)
    add_circumstances (lines, files);
  return lines;
}

/* --- Where its time went --- */

/* What has been found so far.  */
struct scan
{
  struct ex_story *story;
  int64_t stored_ms; /* 0: not yet */
  int64_t taken_ms;
  int64_t idle_since_ms; /* nothing of it runs since; 0: something does */
  GHashTable *runs;      /* STEP.INDEX of a task -> when it was placed */
  GHashTable *counts;    /* how a run ended -> number */
  const char *refusal;   /* reason of the last one */
  bool gang;
  guint refusals;
};

static void
count (struct scan *scan, const char *how)
{
  guint seen = GPOINTER_TO_UINT (g_hash_table_lookup (scan->counts, how));

  g_hash_table_insert (scan->counts, g_strdup (how),
                       GUINT_TO_POINTER (seen + 1));
}

static guint
counted (const struct scan *scan, const char *how)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (scan->counts, how));
}

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

static void
scan_placed (struct scan *scan, const struct lf_line *line)
{
  int64_t *placed_ms = g_new (int64_t, 1);

  *placed_ms = line->common_ms;
  if (scan->idle_since_ms > 0)
    scan->story->spans_ms[EX_ROOM] += line->common_ms - scan->idle_since_ms;
  scan->idle_since_ms = 0;
  g_hash_table_replace (scan->runs, task_key (line), placed_ms);
}

static gboolean
is_of_step (void *key, void *value, void *ctx)
{
  const struct lf_line *line = ctx;
  char *own = task_key (line);
  size_t step_bytes = strcspn (own, ".") + 1;
  bool same = strncmp (key, own, step_bytes) == 0;

  (void)value;
  g_free (own);
  return same;
}

/* HOW: of its end, or "gone".  The time of tasks side by side counts once: as
   that of the last of them; one end `done` stands for a whole gang.  */
static void
scan_ended (struct scan *scan, const struct lf_line *line, const char *how)
{
  char *key = task_key (line);
  const int64_t *placed_ms = g_hash_table_lookup (scan->runs, key);
  bool done = strcmp (how, "done") == 0;

  count (scan, how);
  if (placed_ms != NULL)
    {
      int64_t ran_ms = line->common_ms - *placed_ms;

      g_hash_table_remove (scan->runs, key);
      if (done && scan->gang)
        g_hash_table_foreach_remove (scan->runs, is_of_step, (void *)line);
      if (g_hash_table_size (scan->runs) == 0)
        {
          scan->story->spans_ms[done ? EX_WORK : EX_WASTED] += ran_ms;
          scan->idle_since_ms = line->common_ms;
        }
    }
  g_free (key);
}

static void
scan_write (struct scan *scan, const struct lf_line *line)
{
  const char *outcome = lf_field (line, "outcome");
  int64_t took_ms = g_ascii_strtoll (lf_field (line, "took_ms"), NULL, 10);
  struct ex_story *story = scan->story;

  if (strcmp (lf_field (line, "what"), "submit") != 0)
    return;
  story->began_ms = MIN (story->began_ms, line->common_ms - took_ms);
  if (strcmp (outcome, "stored") == 0 && scan->stored_ms == 0)
    scan->stored_ms = line->common_ms;
  else if (strcmp (outcome, "unknown") == 0 && story->fate == EX_UNSEEN)
    story->fate = EX_UNKNOWN;
}

static void
scan_state (struct scan *scan, const struct lf_line *line)
{
  const char *state = lf_field (line, "state");
  struct ex_story *story = scan->story;

  if (story->fate == EX_CANCELLED)
    return;
  if (strcmp (state, "completed") == 0)
    story->fate = EX_COMPLETED;
  else if (strcmp (state, "failed") == 0)
    story->fate = EX_FAILED;
  else
    return;
  story->ended_ms = line->common_ms;
}

static void
scan_line (struct scan *scan, const struct lf_line *line)
{
  struct ex_story *story = scan->story;

  if (lf_is (line, STORED))
    scan_write (scan, line);
  else if (lf_is (line, REFUSED)
           && strcmp (lf_field (line, "what"), "state") != 0)
    {
      scan->refusal = lf_field (line, "reason");
      scan->refusals++;
    }
  else if (lf_is (line, TAKEN_IN) && scan->taken_ms == 0)
    {
      scan->taken_ms = scan->idle_since_ms = line->common_ms;
      scan->gang = strcmp (lf_field (line, "gang"), "yes") == 0;
    }
  else if (lf_is (line, PLACED))
    scan_placed (scan, line);
  else if (lf_is (line, ENDED)
           && strcmp (lf_field (line, "current"), "no") != 0)
    scan_ended (scan, line, lf_field (line, "how"));
  else if (lf_is (line, GONE))
    scan_ended (scan, line, "gone");
  else if (lf_is (line, STATE))
    scan_state (scan, line);
  else if (lf_is (line, "A job is cancelled.") && story->fate != EX_CANCELLED
           && story->fate != EX_COMPLETED && story->fate != EX_FAILED)
    {
      story->fate = EX_CANCELLED;
      story->ended_ms = line->common_ms;
    }
  else if (lf_is (line, OUT_OF_TOUCH) || lf_is (line, LEASE_OVER)
           || lf_is (line, TERM))
    count (scan, lf_field (line, "msg"));
}

/* --- The cause --- */

static char *
cause_of_waste (const struct scan *scan)
{
  if (counted (scan, OUT_OF_TOUCH) > 0 || counted (scan, "gone") > 0
      || counted (scan, LEASE_OVER) > 0)
    return g_strdup_printf (
        "it lost workers (%u went out of touch) and was started again",
        counted (scan, OUT_OF_TOUCH));
  if (counted (scan, "stopped") >= MAX (counted (scan, "failed"), 1))
    return g_strdup_printf ("%u of its runs were stopped: their room was "
                            "taken back, or they stood still",
                            counted (scan, "stopped"));
  return g_strdup_printf ("%u of its runs failed", counted (scan, "failed"));
}

static char *
cause_of_time (const struct scan *scan)
{
  const int64_t *spans_ms = scan->story->spans_ms;
  enum ex_span longest = EX_WORK;
  int i;

  for (i = 0; i < EX_WORK; i++)
    if (spans_ms[i] > spans_ms[longest])
      longest = (enum ex_span)i;
  switch (longest)
    {
    case EX_ACCEPTING:
      return g_strdup ("most of its time passed before it was stored");
    case EX_PLANNER:
      return g_strdup ("most of its time passed before a planner knew of it");
    case EX_ROOM:
      return counted (scan, TERM) > 0
                 ? g_strdup ("most of its time nothing of it ran; a planner "
                             "took over meanwhile")
                 : g_strdup ("most of its time it waited for room");
    case EX_WASTED:
      return cause_of_waste (scan);
    case EX_WORK:
    case EX_SPANS:
      break;
    }
  return g_strdup ("most of its time it worked");
}

static char *
cause_of (const struct scan *scan)
{
  const struct ex_story *story = scan->story;

  switch (story->fate)
    {
    case EX_UNSEEN:
      return g_strdup ("no line of these logs tells of it");
    case EX_REFUSED:
      return g_strdup_printf ("it was not accepted (%u refusals, the last: "
                              "%s); it did not run",
                              scan->refusals, scan->refusal);
    case EX_UNKNOWN:
      return g_strdup ("the store did not answer; whether it was stored is "
                       "not told here");
    case EX_FAILED:
      return g_strdup_printf ("%u of its runs failed, as many as its queue "
                              "allows",
                              counted (scan, "failed"));
    case EX_CANCELLED:
      return g_strdup ("its caller cancelled it");
    case EX_ACCEPTED:
    case EX_COMPLETED:
      break;
    }
  return cause_of_time (scan);
}

static void
close_spans (struct scan *scan)
{
  struct ex_story *story = scan->story;

  if (scan->stored_ms > 0)
    story->spans_ms[EX_ACCEPTING] = scan->stored_ms - story->began_ms;
  if (scan->stored_ms > 0 && scan->taken_ms > 0)
    story->spans_ms[EX_PLANNER] = scan->taken_ms - scan->stored_ms;
  if (scan->idle_since_ms > 0 && story->fate != EX_COMPLETED)
    story->spans_ms[EX_ROOM] += MAX (story->ended_ms - scan->idle_since_ms, 0);
  if (story->fate == EX_UNSEEN || story->fate == EX_UNKNOWN)
    {
      if (scan->stored_ms > 0 || scan->taken_ms > 0)
        story->fate = EX_ACCEPTED;
      else if (story->fate == EX_UNSEEN && scan->refusals > 0)
        story->fate = EX_REFUSED;
    }
}

struct ex_story *
ex_tell (GPtrArray *files, const char *id)
{
  struct ex_story *story = g_new0 (struct ex_story, 1);
  struct scan scan = {
    .story = story,
    .runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
    .counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
  };
  guint i;

  story->lines = collect (files, id);
  if (story->lines->len > 0)
    {
      const GPtrArray *lines = story->lines;

      story->began_ms
          = ((struct lf_line *)g_ptr_array_index (lines, 0))->common_ms;
      story->ended_ms
          = ((struct lf_line *)g_ptr_array_index (lines, lines->len - 1))
                ->common_ms;
    }
  for (i = 0; i < story->lines->len; i++)
    scan_line (&scan, g_ptr_array_index (story->lines, i));
  close_spans (&scan);
  story->cause = cause_of (&scan);
  g_hash_table_destroy (scan.runs);
  g_hash_table_destroy (scan.counts);
  return story;
}

void
ex_free (struct ex_story *story)
{
  if (story == NULL)
    return;
  g_ptr_array_free (story->lines, TRUE);
  g_free (story->cause);
  g_free (story);
}
