/* Parser of the hosts' log files, and alignment of the hosts' clocks.  */

#include "log_file.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* The clock offset at a line is the median of this many nearest offsets.
     A host that was cut off from the others logs many configurations late
     and at once; the median is not distorted by these outliers.  */
  NEAREST_OFFSET_COUNT = 5
};

/* --- Lines --- */

static void
line_free (void *data)
{
  struct lf_line *line = data;

  g_hash_table_destroy (line->fields);
  g_free (line);
}

/* Parses one value, with or without quotes.
   @return : the text after the value.  */
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
  /* Log collectors may put a prefix of their own before the line.  */
  const char *begin = strstr (text, "time=");
  GDateTime *time;
  struct lf_line *line;
  GHashTable *fields;
  const char *time_text;

  if (begin == NULL)
    return NULL;
  fields = read_fields (begin);
  time_text = g_hash_table_lookup (fields, "time");
  time = g_date_time_new_from_iso8601 (time_text, NULL);
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
lf_has_message (const struct lf_line *line, const char *message)
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
      if (lf_has_message (line, "The daemon serves."))
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

/* --- Alignment of clocks --- */

/* @return : a key of an event that all hosts log at nearly the same moment,
   to be freed by g_free (); NULL if the line is no such event.  */
static char *
shared_event_key (const struct lf_line *line)
{
  if (lf_has_message (line, "A configuration is in force."))
    return g_strdup_printf ("configuration %s", lf_field (line, "version"));
  if (lf_has_message (line, "The planner's term."))
    return g_strdup_printf ("term %s", lf_field (line, "term"));
  return NULL;
}

/* @return : key of a shared event -> the first line that reports it.  */
static GHashTable *
collect_shared_events (const struct lf_file *file)
{
  GHashTable *events
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint i;

  for (i = 0; i < file->lines->len; i++)
    {
      struct lf_line *line = g_ptr_array_index (file->lines, i);
      char *name = shared_event_key (line);

      if (name == NULL)
        continue;
      if (g_hash_table_contains (events, name))
        g_free (name);
      else
        g_hash_table_insert (events, name, line);
    }
  return events;
}

/* How far a host's clock was ahead of the first file's at one shared
   event.  */
struct clock_offset
{
  int64_t host_time_ms;
  int64_t ahead_ms;
};

static GArray *
measure_offsets (GHashTable *reference_events, const struct lf_file *file)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct clock_offset));
  GHashTable *own_events = collect_shared_events (file);
  GHashTableIter iter;
  void *name;
  void *value;

  g_hash_table_iter_init (&iter, own_events);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct lf_line *line = value;
      const struct lf_line *reference_line
          = g_hash_table_lookup (reference_events, name);

      if (reference_line != NULL)
        {
          struct clock_offset clock_offset
              = { .host_time_ms = line->time_ms,
                  .ahead_ms = line->time_ms - reference_line->time_ms };

          g_array_append_val (found, clock_offset);
        }
    }
  g_hash_table_destroy (own_events);
  return found;
}

static int
compare_ahead_ms (const void *a, const void *b)
{
  const struct clock_offset *left = a;
  const struct clock_offset *right = b;

  return (left->ahead_ms > right->ahead_ms)
         - (left->ahead_ms < right->ahead_ms);
}

static int
compare_distance (const void *a, const void *b, void *ctx)
{
  int64_t time_ms = *(const int64_t *)ctx;
  int64_t left
      = ABS (((const struct clock_offset *)a)->host_time_ms - time_ms);
  int64_t right
      = ABS (((const struct clock_offset *)b)->host_time_ms - time_ms);

  return (left > right) - (left < right);
}

static int64_t
median_ahead_ms (GArray *offsets, int64_t time_ms)
{
  struct clock_offset nearest[NEAREST_OFFSET_COUNT];
  guint count = MIN (offsets->len, NEAREST_OFFSET_COUNT);

  g_array_sort_with_data (offsets, compare_distance, &time_ms);
  memcpy (nearest, offsets->data, count * sizeof nearest[0]);
  qsort (nearest, count, sizeof nearest[0], compare_ahead_ms);
  return nearest[count / 2].ahead_ms;
}

static void
align_file (struct lf_file *file, GHashTable *reference_events)
{
  GArray *offsets = measure_offsets (reference_events, file);
  guint i;

  file->clock_aligned = offsets->len > 0;
  for (i = 0; i < file->lines->len; i++)
    {
      struct lf_line *line = g_ptr_array_index (file->lines, i);

      line->aligned_ms = line->time_ms;
      if (file->clock_aligned)
        line->aligned_ms -= median_ahead_ms (offsets, line->time_ms);
    }
  g_array_free (offsets, TRUE);
}

void
lf_align_clocks (GPtrArray *files)
{
  GHashTable *reference_events;
  guint i;

  if (files->len == 0)
    return;
  reference_events = collect_shared_events (g_ptr_array_index (files, 0));
  for (i = 0; i < files->len; i++)
    align_file (g_ptr_array_index (files, i), reference_events);
  ((struct lf_file *)g_ptr_array_index (files, 0))->clock_aligned = true;
  g_hash_table_destroy (reference_events);
}
