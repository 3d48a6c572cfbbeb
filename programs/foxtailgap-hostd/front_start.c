/* Defers requests that arrive before this host has read the catalog, from the
   operator's configuration.  When all hosts restart after a power loss,
   callers return at once; the catalog is read some 50 ms later, while a caller
   that gets a 503 retries only after a second.  */

#include "common/clock.h"
#include "front_private.h"

enum
{
  /* A read of the store normally takes 4 to 10 ms.  */
  EARLY_CHECK_INTERVAL_MS = 10,
  /* Enough to load two topics and read them to their ends.  An unreachable
     store is detected after the same time.  */
  EARLY_WAIT_MAX_MS = 1000,
  /* Of a request that another host has relayed here.  That host counts it as
     one that may have been served unless it is answered within 900 ms.  */
  RELAYED_EARLY_WAIT_MAX_MS = 300,
  RETRY_AFTER_S = 1
};

/* A request that waits for the catalog.  */
struct early_request
{
  struct hs_request *request; /* NULL: the caller has disconnected */
  int64_t deadline_ms;
};

static bool
catalog_is_known_and_current (struct front *front)
{
  struct journal *journal = front->params.journal;

  return jr_ever_loaded (journal)
         && jr_catalog_age_ms (journal) <= fr_catalog_age_max_ms (front);
}

static void
on_caller_gone (void *ctx)
{
  ((struct early_request *)ctx)->request = NULL;
}

static void
refuse (struct front *front, struct hs_request *request)
{
  fr_answer_retry_later (front, request, "any", 503, RETRY_AFTER_S,
                         "no configuration yet");
}

static void
finish_early_request (struct front *front, struct early_request *early)
{
  struct hs_request *request = early->request;

  g_free (early);
  if (request == NULL)
    return;
  hs_on_disconnect (request, NULL, NULL);
  if (front->catalog_known)
    fr_dispatch (front, request);
  else
    refuse (front, request);
}

static void
on_early_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct front *front = watcher->data;
  int64_t now_ms = clk_monotonic_ms (NULL);
  GList *link = front->early_requests.head;

  (void)events;
  front->catalog_known = catalog_is_known_and_current (front);
  while (link != NULL)
    {
      struct early_request *early = link->data;
      GList *next = link->next;

      if (front->catalog_known || early->deadline_ms <= now_ms)
        {
          g_queue_delete_link (&front->early_requests, link);
          finish_early_request (front, early);
        }
      link = next;
    }
  if (g_queue_is_empty (&front->early_requests))
    ev_timer_stop (loop, watcher);
}

bool
fr_catalog_is_known (struct front *front)
{
  if (!front->catalog_known)
    front->catalog_known = catalog_is_known_and_current (front);
  return front->catalog_known;
}

void
fr_defer_until_catalog_known (struct front *front, struct hs_request *request)
{
  struct early_request *early;

  /* It is known by now that the configuration cannot be read soon.  */
  if (jr_store_unreachable_ms (front->params.journal) > 0)
    {
      refuse (front, request);
      return;
    }
  early = g_new0 (struct early_request, 1);
  early->request = request;
  early->deadline_ms = clk_monotonic_ms (NULL)
                       + (rl_is_relayed (request) ? RELAYED_EARLY_WAIT_MAX_MS
                                                  : EARLY_WAIT_MAX_MS);
  g_queue_push_tail (&front->early_requests, early);
  hs_on_disconnect (request, on_caller_gone, early);
  ev_timer_start (front->params.loop, &front->early_timer);
}

void
fr_early_requests_init (struct front *front)
{
  g_queue_init (&front->early_requests);
  ev_timer_init (&front->early_timer, on_early_check,
                 EARLY_CHECK_INTERVAL_MS / 1000.0,
                 EARLY_CHECK_INTERVAL_MS / 1000.0);
  front->early_timer.data = front;
}

void
fr_early_requests_clear (struct front *front)
{
  ev_timer_stop (front->params.loop, &front->early_timer);
  g_queue_clear_full (&front->early_requests, g_free);
}
