/* The events of history files.  */

#include "events.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/types.h>

#include "standins/common/json_answer.h"

static void
event_free (gpointer data)
{
  struct hi_event *event = data;

  json_decref (event->line);
  g_free (event);
}

struct hi_history *
hi_create (void)
{
  struct hi_history *history = g_new0 (struct hi_history, 1);

  history->events = g_ptr_array_new_with_free_func (event_free);
  return history;
}

void
hi_free (struct hi_history *history)
{
  g_ptr_array_free (history->events, TRUE);
  g_free (history);
}

static void
add_line (struct hi_history *history, const char *text, size_t size_bytes)
{
  json_t *line = json_loadb (text, size_bytes, 0, NULL);
  struct hi_event *event;

  if (ja_text (line, "what", NULL) == NULL
      || ja_text (line, "who", NULL) == NULL
      || !json_is_integer (json_object_get (line, "t_ms")))
    {
      history->malformed++;
      json_decref (line);
      return;
    }
  event = g_new0 (struct hi_event, 1);
  event->line = line;
  event->what = ja_text (line, "what", NULL);
  event->who = ja_text (line, "who", NULL);
  event->t_ms = json_integer_value (json_object_get (line, "t_ms"));
  history->end_ms = MAX (history->end_ms, event->t_ms);
  g_ptr_array_add (history->events, event);
}

int
hi_read (struct hi_history *history, const char *path)
{
  FILE *file = fopen (path, "r");
  char *text = NULL;
  size_t capacity = 0;
  ssize_t size_bytes;

  if (file == NULL)
    {
      perror (path);
      return HI_ERR_OPEN;
    }
  size_bytes = getline (&text, &capacity, file);
  while (size_bytes >= 0)
    {
      add_line (history, text, (size_t)size_bytes);
      size_bytes = getline (&text, &capacity, file);
    }
  free (text);
  fclose (file);
  return HI_OK;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const struct hi_event *first = *(struct hi_event *const *)a;
  const struct hi_event *second = *(struct hi_event *const *)b;

  return (first->t_ms > second->t_ms) - (first->t_ms < second->t_ms);
}

/* The order of simultaneous events is kept because g_ptr_array_sort () is
   stable.  */
void
hi_sort (struct hi_history *history)
{
  g_ptr_array_sort (history->events, compare_times);
}

const struct hi_event *
hi_get (const struct hi_history *history, guint index)
{
  return g_ptr_array_index (history->events, index);
}

const char *
hi_text (const struct hi_event *event, const char *name)
{
  return ja_text (event->line, name, NULL);
}

int64_t
hi_number (const struct hi_event *event, const char *name)
{
  const json_t *value = json_object_get (event->line, name);

  return json_is_integer (value) ? json_integer_value (value) : -1;
}
