/* The window of calls to workers.  */

#include "worker/call_window.h"

#include <assert.h>
#include <glib.h>

enum
{
  BULK_NUMERATOR = 3, /* the share of the window that bulk calls may use */
  BULK_DENOMINATOR = 4,
  GROWTH = 4 /* calls, for each observation of a loop that is in time */
};

struct cw_ticket
{
  GList link;
  int64_t sent_ms;
  bool counted; /* in the queue of the window */
};

struct cw_window
{
  struct cw_params params;
  uint32_t size;
  GQueue counted;      /* struct cw_ticket, oldest first */
  GHashTable *tickets; /* all struct cw_ticket that are not closed */
};

struct cw_window *
cw_create (const struct cw_params *params)
{
  struct cw_window *window = g_new0 (struct cw_window, 1);

  assert (params->open_min > 0 && params->open_min <= params->open_max);
  window->params = *params;
  window->size = params->open_max;
  g_queue_init (&window->counted);
  window->tickets = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  return window;
}

void
cw_free (struct cw_window *window)
{
  if (window == NULL)
    return;
  g_hash_table_destroy (window->tickets);
  g_free (window);
}

static void
stop_counting (struct cw_window *window, struct cw_ticket *ticket)
{
  if (!ticket->counted)
    return;
  ticket->counted = false;
  g_queue_unlink (&window->counted, &ticket->link);
}

static void
expire_tickets (struct cw_window *window, int64_t now_ms)
{
  struct cw_ticket *oldest;

  while ((oldest = g_queue_peek_head (&window->counted)) != NULL
         && now_ms - oldest->sent_ms >= window->params.expiry_ms)
    stop_counting (window, oldest);
}

bool
cw_has_room (struct cw_window *window, enum cw_class class, int64_t now_ms)
{
  uint32_t limit = window->size;

  if (class == CW_BULK)
    limit = MAX (limit * BULK_NUMERATOR / BULK_DENOMINATOR, 1);
  expire_tickets (window, now_ms);
  return g_queue_get_length (&window->counted) < limit;
}

struct cw_ticket *
cw_open (struct cw_window *window, int64_t now_ms)
{
  struct cw_ticket *ticket = g_new0 (struct cw_ticket, 1);

  ticket->link.data = ticket;
  ticket->sent_ms = now_ms;
  ticket->counted = true;
  g_queue_push_tail_link (&window->counted, &ticket->link);
  g_hash_table_add (window->tickets, ticket);
  return ticket;
}

void
cw_close (struct cw_window *window, struct cw_ticket *ticket)
{
  if (ticket == NULL)
    return;
  stop_counting (window, ticket);
  g_hash_table_remove (window->tickets, ticket);
}

void
cw_observe_lag (struct cw_window *window, int64_t lag_ms)
{
  const struct cw_params *params = &window->params;

  if (lag_ms >= params->lag_high_ms)
    window->size = window->size * BULK_NUMERATOR / BULK_DENOMINATOR;
  else if (lag_ms < params->lag_high_ms / 4)
    window->size += GROWTH;
  window->size = CLAMP (window->size, params->open_min, params->open_max);
}

uint32_t
cw_size (const struct cw_window *window)
{
  return window->size;
}
