/* Output of the history of a job, for people and as JSON.  */

#include <stdio.h>
#include <string.h>

#include "explain.h"

static const char *const outcome_names[]
    = { "unseen",    "refused", "unknown",  "accepted",
        "completed", "failed",  "cancelled" };
static const char *const phase_titles[]
    = { "until it was stored", "until a planner knew of it",
        "with nothing running", "in runs that were in vain", "in work" };

/* The fields of a line that are worth showing, as " key=value" texts.  The
   caller frees the result by g_free ().  */
static char *
format_details (const struct lf_line *line)
{
  static const char *const keys[]
      = { "what",  "outcome", "status",   "reason",      "to",      "result",
          "queue", "team",    "tasks",    "estimate_ms", "step",    "run",
          "how",   "worker",  "workers",  "state",       "after_s", "took_ms",
          "why",   "detail",  "waited_ms" };
  GString *text = g_string_new (NULL);
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      const char *value = lf_field (line, keys[i]);

      if (value[0] != '\0')
        g_string_append_printf (text, " %s=%s", keys[i], value);
    }
  return g_string_free (text, FALSE);
}

/* Whether two lines of one host report the same event for two tasks.  */
static bool
is_same_event (const struct lf_line *left, const struct lf_line *right)
{
  static const char *const keys[]
      = { "msg", "run", "how", "step", "status", "why" };
  size_t i;

  if (left->file != right->file)
    return false;
  for (i = 0; i < G_N_ELEMENTS (keys); i++)
    if (strcmp (lf_field (left, keys[i]), lf_field (right, keys[i])) != 0)
      return false;
  return true;
}

/* @return : the number of successive lines from FIRST on that report the
   same event, at least 1.  */
static guint
count_repeats (const GPtrArray *lines, guint first)
{
  guint next = first + 1;

  while (next < lines->len
         && is_same_event (g_ptr_array_index (lines, first),
                           g_ptr_array_index (lines, next)))
    next++;
  return next - first;
}

static double
seconds (int64_t time_ms)
{
  return (double)time_ms / 1000.0;
}

static void
print_waits (const struct ex_report *report)
{
  guint i;

  if (report->waits->len == 0)
    return;
  printf ("\nwhat it waited for:\n");
  for (i = 0; i < report->waits->len; i++)
    {
      const struct ex_wait *wait = g_ptr_array_index (report->waits, i);

      printf ("%9.3f s %s: %s", seconds (wait->time_ms), wait->why,
              ew_meaning (wait->why));
      if (wait->detail[0] != '\0')
        printf (" (%s)", wait->detail);
      printf ("\n");
    }
}

void
ex_print (const struct ex_report *report, const char *id)
{
  guint repeats;
  guint i;

  printf ("job %s: %s", id, outcome_names[report->outcome]);
  if (report->lines->len > 0)
    printf (", %.3f s", seconds (report->end_ms - report->start_ms));
  printf ("\ncause: %s\n", report->cause);
  if (report->lines->len > 0)
    printf ("\n");
  for (i = 0; i < report->lines->len; i += repeats)
    {
      const struct lf_line *line = g_ptr_array_index (report->lines, i);
      char *text = format_details (line);

      repeats = count_repeats (report->lines, i);
      printf ("%+9.3f %s: %s", seconds (line->aligned_ms - report->start_ms),
              line->file->host, lf_field (line, "msg"));
      if (repeats > 1)
        printf (" (%u times)", repeats);
      printf ("%s\n", text);
      g_free (text);
    }
  print_waits (report);
  if (report->outcome != EX_OUTCOME_COMPLETED
      && report->outcome != EX_OUTCOME_ACCEPTED)
    return;
  printf ("\nwhere its time went:\n");
  for (i = 0; i < EX_PHASE_COUNT; i++)
    printf ("%9.3f s %s\n", seconds (report->phases_ms[i]), phase_titles[i]);
}

static json_t *
line_json (const struct ex_report *report, const struct lf_line *line)
{
  json_t *row = json_object ();
  json_t *fields = json_object ();
  GHashTableIter iter;
  void *key;
  void *value;

  json_object_set_new (row, "after_ms",
                       json_integer (line->aligned_ms - report->start_ms));
  json_object_set_new (row, "host", json_string (line->file->host));
  json_object_set_new (row, "line", json_integer ((json_int_t)line->number));
  g_hash_table_iter_init (&iter, line->fields);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (fields, key, json_string (value));
  json_object_set_new (row, "fields", fields);
  return row;
}

static json_t *
waits_json (const struct ex_report *report)
{
  json_t *rows = json_array ();
  guint i;

  for (i = 0; i < report->waits->len; i++)
    {
      const struct ex_wait *wait = g_ptr_array_index (report->waits, i);
      json_t *row = json_object ();

      json_object_set_new (row, "why", json_string (wait->why));
      json_object_set_new (row, "time_ms", json_integer (wait->time_ms));
      json_object_set_new (row, "detail", json_string (wait->detail));
      json_array_append_new (rows, row);
    }
  return rows;
}

json_t *
ex_json (const struct ex_report *report, const char *id)
{
  static const char *const phase_json_keys[]
      = { "accepting_ms", "planner_ms", "room_ms", "wasted_ms", "work_ms" };
  json_t *root = json_object ();
  json_t *times = json_object ();
  json_t *rows = json_array ();
  guint i;

  for (i = 0; i < EX_PHASE_COUNT; i++)
    json_object_set_new (times, phase_json_keys[i],
                         json_integer (report->phases_ms[i]));
  for (i = 0; i < report->lines->len; i++)
    json_array_append_new (
        rows, line_json (report, g_ptr_array_index (report->lines, i)));
  json_object_set_new (root, "job", json_string (id));
  json_object_set_new (root, "fate",
                       json_string (outcome_names[report->outcome]));
  json_object_set_new (root, "cause", json_string (report->cause));
  json_object_set_new (root, "times", times);
  json_object_set_new (root, "waits", waits_json (report));
  json_object_set_new (root, "lines", rows);
  return root;
}
