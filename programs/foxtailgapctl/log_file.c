/* Log files of hosts.  */

#include "log_file.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* A host that was cut off reads many configurations late and at once: the
     middle of this many moments is not moved by that.  */
  MARKS_NEAR = 5
};

/* --- Lines --- */

static void
line_free (void *data)
{
  struct lf_line *line = data;

  g_hash_table_destroy (line->fields);
  g_free (line);
}

/* Reads one value, with or without quotes.
   @return : what follows it.  */
static const char *
read_value (const char *text, GString *value)
{
  g_string_truncate (value, 0);
  if (*text != '"')
    {
      while (*text != '\0' && *text != ' ')
        g_string_append_c (value, *text++);
      return text;
    }
  for (text++; *text != '\0' && *text != '"'; text++)
    {
      if (*text == '\\' && text[1] != '\0')
        text++;
      g_string_append_c (value, *text);
    }
  return *text == '"' ? text + 1 : text;
}

static GHashTable *
read_fields (const char *text)
{
  GHashTable *fields
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GString *value = g_string_new (NULL);

  while (*text != '\0')
    {
      const char *equals = strchr (text, '=');
      char *key;

      if (equals == NULL)
        break;
      key = g_strstrip (g_strndup (text, (gsize)(equals - text)));
      text = read_value (equals + 1, value);
      g_hash_table_replace (fields, key, g_strdup (value->str));
      while (*text == ' ')
        text++;
    }
  g_string_free (value, TRUE);
  return fields;
}

static struct lf_line *
read_line (const char *text)
{
  /* Collectors may write something of their own before the line.  */
  const char *begin = strstr (text, "time=");
  GDateTime *time;
  struct lf_line *line;
  GHashTable *fields;
  const char *told;

  if (begin == NULL)
    return NULL;
  fields = read_fields (begin);
  told = g_hash_table_lookup (fields, "time");
  time = g_date_time_new_from_iso8601 (told, NULL);
  if (time == NULL || !g_hash_table_contains (fields, "msg"))
    {
      g_hash_table_destroy (fields);
      if (time != NULL)
        g_date_time_unref (time);
      return NULL;
    }
  line = g_new0 (struct lf_line, 1);
  line->fields = fields;
  line->time_ms = g_date_time_to_unix (time) * 1000
                  + g_date_time_get_microsecond (time) / 1000;
  g_date_time_unref (time);
  return line;
}

const char *
lf_field (const struct lf_line *line, const char *key)
{
  const char *value = g_hash_table_lookup (line->fields, key);

  return value == NULL ? "" : value;
}

bool
lf_is (const struct lf_line *line, const char *message)
{
  return strcmp (lf_field (line, "msg"), message) == 0;
}

/* --- Files --- */

struct lf_file *
lf_parse (const char *name, const char *text)
{
  struct lf_file *file = g_new0 (struct lf_file, 1);
  char **rows = g_strsplit (text, "\n", -1);
  size_t i;

  file->host = g_path_get_basename (name);
  file->lines = g_ptr_array_new_with_free_func (line_free);
  for (i = 0; rows[i] != NULL; i++)
    {
      struct lf_line *line = read_line (rows[i]);

      if (line == NULL)
        continue;
      line->file = file;
      line->number = i + 1;
      g_ptr_array_add (file->lines, line);
      if (lf_is (line, "The daemon serves."))
        {
          g_free (file->host);
          file->host = g_strdup (lf_field (line, "host"));
        }
    }
  g_strfreev (rows);
  return file;
}

void
lf_free (void *data)
{
  struct lf_file *file = data;

  g_ptr_array_free (file->lines, TRUE);
  g_free (file->host);
  g_free (file);
}

/* --- One clock --- */

/* A moment that other hosts have seen too.
   @return : a name for it, to be freed; NULL: the line is none.  */
static char *
mark_name (const struct lf_line *line)
{
  if (lf_is (line, "A configuration is in force."))
    return g_strdup_printf ("configuration %s", lf_field (line, "version"));
  if (lf_is (line, "The planner's term."))
    return g_strdup_printf ("term %s", lf_field (line, "term"));
  return NULL;
}

/* @return : name -> line, of the first time that each was seen.  */
static GHashTable *
collect_marks (const struct lf_file *file)
{
  GHashTable *marks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint i;

  for (i = 0; i < file->lines->len; i++)
    {
      struct lf_line *line = g_ptr_array_index (file->lines, i);
      char *name = mark_name (line);

      if (name == NULL)
        continue;
      if (g_hash_table_contains (marks, name))
        g_free (name);
      else
        g_hash_table_insert (marks, name, line);
    }
  return marks;
}

/* What a clock was ahead of the first file's at one moment.  */
struct mark
{
  int64_t time_ms;
  int64_t ahead_ms;
};

static GArray *
compare_marks (GHashTable *reference, const struct lf_file *file)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct mark));
  GHashTable *own = collect_marks (file);
  GHashTableIter iter;
  void *name;
  void *value;

  g_hash_table_iter_init (&iter, own);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct lf_line *line = value;
      const struct lf_line *other = g_hash_table_lookup (reference, name);

      if (other != NULL)
        {
          struct mark mark = { .time_ms = line->time_ms,
                               .ahead_ms = line->time_ms - other->time_ms };

          g_array_append_val (found, mark);
        }
    }
  g_hash_table_destroy (own);
  return found;
}

static int
compare_ahead (const void *a, const void *b)
{
  const struct mark *left = a;
  const struct mark *right = b;

  return (left->ahead_ms > right->ahead_ms)
         - (left->ahead_ms < right->ahead_ms);
}

static int
compare_nearness (const void *a, const void *b, void *ctx)
{
  int64_t time_ms = *(const int64_t *)ctx;
  int64_t left = ABS (((const struct mark *)a)->time_ms - time_ms);
  int64_t right = ABS (((const struct mark *)b)->time_ms - time_ms);

  return (left > right) - (left < right);
}

static int64_t
ahead_at (GArray *marks, int64_t time_ms)
{
  struct mark near[MARKS_NEAR];
  guint count = MIN (marks->len, MARKS_NEAR);

  g_array_sort_with_data (marks, compare_nearness, &time_ms);
  memcpy (near, marks->data, count * sizeof near[0]);
  qsort (near, count, sizeof near[0], compare_ahead);
  return near[count / 2].ahead_ms;
}

static void
align (struct lf_file *file, GHashTable *reference)
{
  GArray *marks = compare_marks (reference, file);
  guint i;

  file->aligned = marks->len > 0;
  for (i = 0; i < file->lines->len; i++)
    {
      struct lf_line *line = g_ptr_array_index (file->lines, i);

      line->common_ms = line->time_ms;
      if (file->aligned)
        line->common_ms -= ahead_at (marks, line->time_ms);
    }
  g_array_free (marks, TRUE);
}

void
lf_align (GPtrArray *files)
{
  GHashTable *reference;
  guint i;

  if (files->len == 0)
    return;
  reference = collect_marks (g_ptr_array_index (files, 0));
  for (i = 0; i < files->len; i++)
    align (g_ptr_array_index (files, i), reference);
  ((struct lf_file *)g_ptr_array_index (files, 0))->aligned = true;
  g_hash_table_destroy (reference);
}
