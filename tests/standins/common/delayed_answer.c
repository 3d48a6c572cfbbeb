/* Requests that are answered after a delay, or never.  */

#include "standins/common/delayed_answer.h"

#include <glib.h>

#include "standins/common/json_answer.h"

enum
{
  MS_PER_S = 1000,
  UNANSWERED_LIMIT_MS = 60000
};

struct da_queue
{
  struct ev_loop *loop;
  GQueue entries;
};

struct entry
{
  GList link; /* in queue->entries */
  struct da_queue *queue;
  struct hs_request *request;
  ev_timer timer;
  unsigned int status;
  json_t *value; /* NULL: the connection is closed without an answer */
};

static void
entry_free (struct entry *entry)
{
  ev_timer_stop (entry->queue->loop, &entry->timer);
  g_queue_unlink (&entry->queue->entries, &entry->link);
  json_decref (entry->value);
  g_free (entry);
}

static void
on_gone (void *ctx)
{
  entry_free (ctx);
}

static void
on_due (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct entry *entry = watcher->data;

  (void)loop;
  (void)events;
  if (entry->value == NULL)
    hs_close_without_response (entry->request);
  else
    ja_respond (entry->request, entry->status, json_incref (entry->value));
  entry_free (entry);
}

static struct entry *
entry_create (struct da_queue *queue, struct hs_request *request,
              uint32_t delay_ms)
{
  struct entry *entry = g_new0 (struct entry, 1);

  entry->queue = queue;
  entry->request = request;
  entry->link.data = entry;
  ev_timer_init (&entry->timer, on_due, (ev_tstamp)delay_ms / MS_PER_S, 0.0);
  entry->timer.data = entry;
  ev_timer_start (queue->loop, &entry->timer);
  g_queue_push_tail_link (&queue->entries, &entry->link);
  hs_on_disconnect (request, on_gone, entry);
  return entry;
}

struct da_queue *
da_create (struct ev_loop *loop)
{
  struct da_queue *queue = g_new0 (struct da_queue, 1);

  queue->loop = loop;
  g_queue_init (&queue->entries);
  return queue;
}

void
da_free (struct da_queue *queue)
{
  if (queue == NULL)
    return;
  da_drop_all (queue);
  g_free (queue);
}

void
da_respond (struct da_queue *queue, uint32_t delay_ms,
            struct hs_request *request, unsigned int status, json_t *value)
{
  struct entry *entry;

  if (delay_ms == 0)
    {
      ja_respond (request, status, value);
      return;
    }
  entry = entry_create (queue, request, delay_ms);
  entry->status = status;
  entry->value = value;
}

void
da_keep_unanswered (struct da_queue *queue, struct hs_request *request)
{
  entry_create (queue, request, UNANSWERED_LIMIT_MS);
}

void
da_drop_all (struct da_queue *queue)
{
  struct entry *entry;

  while (!g_queue_is_empty (&queue->entries))
    {
      entry = g_queue_peek_head (&queue->entries);
      hs_close_without_response (entry->request);
      entry_free (entry);
    }
}
