/* Events of a worker that the scheduler has not acknowledged yet.  */

#include "event_list.h"

#include <glib.h>
#include <string.h>

#include "standins/common/json_answer.h"

enum
{
  ANSWER_LIMIT_BYTES = 256 * 1024
};

struct el_list
{
  GQueue events; /* json_t *, oldest first */
  uint64_t last_seq;
};

struct el_list *
el_create (void)
{
  struct el_list *list = g_new0 (struct el_list, 1);

  g_queue_init (&list->events);
  return list;
}

void
el_free (struct el_list *list)
{
  if (list == NULL)
    return;
  el_remove_through (list, UINT64_MAX);
  g_free (list);
}

void
el_add (struct el_list *list, const struct el_event *event)
{
  json_t *object;

  list->last_seq++;
  object = json_pack ("{s:I,s:s,s:I,s:I,s:s,s:b,s:b,s:s,s:s}", "seq",
                      (json_int_t)list->last_seq, "job", event->job, "attempt",
                      (json_int_t)event->attempt, "task",
                      (json_int_t)event->task, "kind", "ended", "ok",
                      (int)event->ok, "lapsed", (int)event->lapsed, "detail",
                      event->detail, "output", event->output);
  if (object != NULL)
    g_queue_push_tail (&list->events, object);
}

void
el_raise_last_seq (struct el_list *list, uint64_t seq)
{
  list->last_seq = MAX (list->last_seq, seq);
}

void
el_remove_through (struct el_list *list, uint64_t seq)
{
  json_t *event = g_queue_peek_head (&list->events);

  while (event != NULL && ja_number (event, "seq", 0) <= seq)
    {
      json_decref (g_queue_pop_head (&list->events));
      event = g_queue_peek_head (&list->events);
    }
}

bool
el_has_event (const struct el_list *list, const char *job, uint32_t attempt)
{
  const GList *link;

  for (link = list->events.head; link != NULL; link = link->next)
    if (ja_number (link->data, "attempt", 0) == attempt
        && strcmp (ja_text (link->data, "job", ""), job) == 0)
      return true;
  return false;
}

json_t *
el_json (const struct el_list *list)
{
  json_t *events = json_array ();
  size_t size_bytes = 0;
  const GList *link;

  for (link = list->events.head; link != NULL; link = link->next)
    {
      size_bytes += strlen (ja_text (link->data, "output", ""));
      if (size_bytes > ANSWER_LIMIT_BYTES && json_array_size (events) > 0)
        break;
      json_array_append (events, link->data);
    }
  return events;
}
