/* The story of a job, for people and as JSON.  */

#include <stdio.h>
#include <string.h>

#include "explain.h"

static const char *const fates[]
    = { "unseen",    "refused", "unknown",  "accepted",
        "completed", "failed",  "cancelled" };
static const char *const spans[]
    = { "until it was stored", "until a planner knew of it",
        "with nothing running", "in runs that were in vain", "in work" };

/* The fields that tell what a line of its kind decides.  */
static char *
details (const struct lf_line *line)
{
  static const char *const keys[]
      = { "what",  "outcome", "status", "reason",      "to",     "result",
          "queue", "team",    "tasks",  "estimate_ms", "step",   "run",
          "how",   "worker",  "state",  "after_s",     "took_ms" };
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

/* Whether two lines tell the same of two tasks.  */
static bool
are_alike (const struct lf_line *left, const struct lf_line *right)
{
  static const char *const keys[] = { "msg", "run", "how", "step", "status" };
  size_t i;

  if (left->file != right->file)
    return false;
  for (i = 0; i < G_N_ELEMENTS (keys); i++)
    if (strcmp (lf_field (left, keys[i]), lf_field (right, keys[i])) != 0)
      return false;
  return true;
}

/* @return : how many lines from FIRST on tell the same.  */
static guint
count_alike (const GPtrArray *lines, guint first)
{
  guint next = first + 1;

  while (next < lines->len
         && are_alike (g_ptr_array_index (lines, first),
                       g_ptr_array_index (lines, next)))
    next++;
  return next - first;
}

static double
seconds (int64_t time_ms)
{
  return (double)time_ms / 1000.0;
}

void
ex_print (const struct ex_story *story, const char *id)
{
  guint alike;
  guint i;

  printf ("job %s: %s", id, fates[story->fate]);
  if (story->lines->len > 0)
    printf (", %.3f s", seconds (story->ended_ms - story->began_ms));
  printf ("\ncause: %s\n", story->cause);
  if (story->lines->len > 0)
    printf ("\n");
  for (i = 0; i < story->lines->len; i += alike)
    {
      const struct lf_line *line = g_ptr_array_index (story->lines, i);
      char *text = details (line);

      alike = count_alike (story->lines, i);
      printf ("%+9.3f %s: %s", seconds (line->common_ms - story->began_ms),
              line->file->host, lf_field (line, "msg"));
      if (alike > 1)
        printf (" (%u times)", alike);
      printf ("%s\n", text);
      g_free (text);
    }
  if (story->fate != EX_COMPLETED && story->fate != EX_ACCEPTED)
    return;
  printf ("\nwhere its time went:\n");
  for (i = 0; i < EX_SPANS; i++)
    printf ("%9.3f s %s\n", seconds (story->spans_ms[i]), spans[i]);
}

static json_t *
line_json (const struct ex_story *story, const struct lf_line *line)
{
  json_t *row = json_object ();
  json_t *fields = json_object ();
  GHashTableIter iter;
  void *key;
  void *value;

  json_object_set_new (row, "after_ms",
                       json_integer (line->common_ms - story->began_ms));
  json_object_set_new (row, "host", json_string (line->file->host));
  json_object_set_new (row, "line", json_integer ((json_int_t)line->number));
  g_hash_table_iter_init (&iter, line->fields);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (fields, key, json_string (value));
  json_object_set_new (row, "fields", fields);
  return row;
}

json_t *
ex_json (const struct ex_story *story, const char *id)
{
  static const char *const names[]
      = { "accepting_ms", "planner_ms", "room_ms", "wasted_ms", "work_ms" };
  json_t *root = json_object ();
  json_t *times = json_object ();
  json_t *rows = json_array ();
  guint i;

  for (i = 0; i < EX_SPANS; i++)
    json_object_set_new (times, names[i], json_integer (story->spans_ms[i]));
  for (i = 0; i < story->lines->len; i++)
    json_array_append_new (
        rows, line_json (story, g_ptr_array_index (story->lines, i)));
  json_object_set_new (root, "job", json_string (id));
  json_object_set_new (root, "fate", json_string (fates[story->fate]));
  json_object_set_new (root, "cause", json_string (story->cause));
  json_object_set_new (root, "times", times);
  json_object_set_new (root, "lines", rows);
  return root;
}
