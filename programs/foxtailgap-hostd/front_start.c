/* Requests that come before this host knows the operator's configuration.
   Load pattern: all hosts lose power and start again, callers return at once;
   the configuration is there some 50 ms later, and a caller that is sent away
   comes back only after a second.  */

#include "common/clock.h"
#include "front_private.h"

enum
{
  LOOK_MS = 10, /* a read of the store takes 4 to 10 ms on a calm day */
  /* For the newest records and the tail of two topics; a store that is away is
     known after as long.  */
  PATIENCE_MS = 1000,
  RETRY_AFTER_S = 1
};

/* A request that waits for the configuration.  */
struct early
{
  struct hs_request *request; /* NULL: the caller has left */
  int64_t until_ms;
};

static bool
is_informed (struct front *front)
{
  struct journal *journal = front->params.journal;

  return jr_loaded (journal)
         && jr_catalog_age_ms (journal) <= fr_key_age_max_ms (front);
}

static void
on_caller_gone (void *ctx)
{
  ((struct early *)ctx)->request = NULL;
}

static void
end_wait (struct front *front, struct early *early)
{
  struct hs_request *request = early->request;

  g_free (early);
  if (request == NULL)
    return;
  hs_on_gone (request, NULL, NULL);
  if (front->informed)
    fr_dispatch (front, request);
  else
    fr_answer_later (front, request, "any", 503, RETRY_AFTER_S,
                     "no configuration yet");
}

static void
on_look (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct front *front = watcher->data;
  const struct early *first;

  (void)events;
  front->informed = is_informed (front);
  while ((first = g_queue_peek_head (&front->early)) != NULL
         && (front->informed || first->until_ms <= clk_monotonic_ms (NULL)))
    end_wait (front, g_queue_pop_head (&front->early));
  if (first == NULL)
    ev_timer_stop (loop, watcher);
}

bool
fr_knows_enough (struct front *front)
{
  if (!front->informed)
    front->informed = is_informed (front);
  return front->informed;
}

void
fr_wait_for_start (struct front *front, struct hs_request *request)
{
  struct early *early = g_new0 (struct early, 1);

  early->request = request;
  early->until_ms = clk_monotonic_ms (NULL) + PATIENCE_MS;
  g_queue_push_tail (&front->early, early);
  hs_on_gone (request, on_caller_gone, early);
  ev_timer_start (front->params.loop, &front->look);
}

void
fr_start_init (struct front *front)
{
  g_queue_init (&front->early);
  ev_timer_init (&front->look, on_look, LOOK_MS / 1000.0, LOOK_MS / 1000.0);
  front->look.data = front;
}

void
fr_start_clear (struct front *front)
{
  ev_timer_stop (front->params.loop, &front->look);
  g_queue_clear_full (&front->early, g_free);
}
