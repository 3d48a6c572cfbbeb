/* Human-readable and JSON output.  */

#include "print.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INDENT_SPACES = 2,
  COLUMN_GAP_SPACES = 2
};

void
pr_json (const json_t *json)
{
  json_dumpf (json, stdout, JSON_INDENT (INDENT_SPACES));
  printf ("\n");
}

char *
pr_time (int64_t time_ms)
{
  GDateTime *time = g_date_time_new_from_unix_utc (time_ms / 1000);
  char *text;

  if (time == NULL)
    return g_strdup ("-");
  text = g_date_time_format (time, "%Y-%m-%d %H:%M:%SZ");
  g_date_time_unref (time);
  return text != NULL ? text : g_strdup ("-");
}

/* Control characters in text from other systems could send commands to the
   operator's terminal, so they are replaced by spaces.  */
static char *
replace_control_characters (const char *text)
{
  char *copy = g_strdup (text);

  for (char *at = copy; *at != '\0'; at++)
    if (g_ascii_iscntrl (*at))
      *at = ' ';
  return copy;
}

char *
pr_text (const json_t *value)
{
  char *dumped;
  char *text;

  if (value == NULL || json_is_null (value))
    return g_strdup ("-");
  if (json_is_string (value))
    return replace_control_characters (json_string_value (value));
  if (json_is_boolean (value))
    return g_strdup (json_is_true (value) ? "yes" : "no");
  dumped = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  text = g_strdup (dumped != NULL ? dumped : "-");
  free (dumped);
  return text;
}

/* Shows a member named time_ms as date and time.  */
static char *
field_text (const json_t *object, const char *key)
{
  const json_t *value = json_object_get (object, key);

  if (strcmp (key, "time_ms") == 0 && json_is_integer (value))
    return pr_time (json_integer_value (value));
  return pr_text (value);
}

/* --- Tables --- */

static void
print_cell (const char *text, size_t width, bool last)
{
  if (last)
    printf ("%s\n", text);
  else
    printf ("%-*s", (int)(width + COLUMN_GAP_SPACES), text);
}

void
pr_table (const json_t *rows, const struct pr_column *columns,
          size_t column_count)
{
  size_t row_count = json_array_size (rows);
  size_t cell_count
      = (row_count + 1) * column_count; /* including the row of titles */
  char **cells = g_new0 (char *, cell_count);
  size_t *widths = g_new0 (size_t, column_count);
  size_t column;

  for (size_t i = 0; i < cell_count; i++)
    {
      column = i % column_count;
      if (i < column_count)
        cells[i] = g_strdup (columns[column].title);
      else
        cells[i] = field_text (json_array_get (rows, i / column_count - 1),
                               columns[column].key);
      widths[column] = MAX (widths[column], strlen (cells[i]));
    }
  for (size_t i = 0; i < cell_count; i++)
    {
      column = i % column_count;
      print_cell (cells[i], widths[column], column == column_count - 1);
      g_free (cells[i]);
    }
  g_free (widths);
  g_free (cells);
}

void
pr_rows (const json_t *rows)
{
  json_t *first = json_array_get (rows, 0);
  size_t column_count = json_object_size (first);
  struct pr_column *columns = g_new0 (struct pr_column, column_count + 1);
  char **titles = g_new0 (char *, column_count + 1);
  const char *key;
  json_t *value;
  size_t i = 0;

  json_object_foreach (first, key, value)
  {
    titles[i] = g_ascii_strup (key, -1);
    g_strdelimit (titles[i], "_", '-');
    columns[i].title = titles[i];
    columns[i].key = key;
    i++;
  }
  pr_table (rows, columns, i);
  g_strfreev (titles);
  g_free (columns);
}

void
pr_fields (const json_t *object, const struct pr_column *fields,
           size_t field_count)
{
  char *text;

  for (size_t i = 0; i < field_count; i++)
    {
      if (json_object_get (object, fields[i].key) == NULL)
        continue;
      text = field_text (object, fields[i].key);
      printf ("%s: %s\n", fields[i].title, text);
      g_free (text);
    }
}

/* --- Differences --- */

static void
print_change (const struct ed_change *change)
{
  if (change->field != NULL)
    printf ("%s: %s: %s -> %s\n", change->item, change->field, change->before,
            change->after);
  else if (change->before == NULL)
    printf ("%s: added (%s)\n", change->item, change->after);
  else
    printf ("%s: removed (%s)\n", change->item, change->before);
}

void
pr_changes (const struct ed_changes *changes)
{
  if (changes->count == 0)
    printf ("no difference\n");
  for (size_t i = 0; i < changes->count; i++)
    print_change (&changes->items[i]);
}

json_t *
pr_changes_json (const struct ed_changes *changes)
{
  json_t *array = json_array ();
  const struct ed_change *change;

  for (size_t i = 0; i < changes->count; i++)
    {
      change = &changes->items[i];
      json_array_append_new (
          array, json_pack ("{s:s, s:s?, s:s?, s:s?}", "item", change->item,
                            "field", change->field, "before", change->before,
                            "after", change->after));
    }
  return array;
}
