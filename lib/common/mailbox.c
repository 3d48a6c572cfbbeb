/* Mailboxes on a libev loop.  */

#include "common/mailbox.h"

#include <glib.h>
#include <stdlib.h>

struct message
{
  int kind;
  void *body;
};

struct mb_box
{
  struct ev_loop *loop;
  ev_timer delivery_watcher; /* not started: ev_feed_event () triggers it */
  GQueue messages;
  mb_handler handler;
  mb_discard discard;
  void *ctx;
};

/* Delivers one message and triggers the watcher again if more are queued, so
   that mailboxes take turns.  */
static void
deliver_next_message (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct mb_box *box = watcher->data;
  struct message *message = g_queue_pop_head (&box->messages);
  int kind;
  void *body;

  (void)events;
  if (message == NULL)
    return;
  kind = message->kind;
  body = message->body;
  g_free (message);
  if (!g_queue_is_empty (&box->messages))
    ev_feed_event (loop, &box->delivery_watcher, EV_CUSTOM);
  box->handler (box->ctx, kind, body);
}

struct mb_box *
mb_create (struct ev_loop *loop, mb_handler handler, mb_discard discard,
           void *ctx)
{
  struct mb_box *box = calloc (1, sizeof *box);

  if (box == NULL)
    return NULL;
  box->loop = loop;
  box->handler = handler;
  box->discard = discard;
  box->ctx = ctx;
  g_queue_init (&box->messages);
  ev_init (&box->delivery_watcher, deliver_next_message);
  box->delivery_watcher.data = box;
  return box;
}

void
mb_free (struct mb_box *box)
{
  struct message *message;

  if (box == NULL)
    return;
  ev_clear_pending (box->loop, &box->delivery_watcher);
  while ((message = g_queue_pop_head (&box->messages)) != NULL)
    {
      box->discard (message->kind, message->body);
      g_free (message);
    }
  free (box);
}

void
mb_post (struct mb_box *box, int kind, void *body)
{
  struct message *message = g_new (struct message, 1);

  message->kind = kind;
  message->body = body;
  g_queue_push_tail (&box->messages, message);
  ev_feed_event (box->loop, &box->delivery_watcher, EV_CUSTOM);
}

size_t
mb_pending (const struct mb_box *box)
{
  return g_queue_get_length ((GQueue *)&box->messages);
}
