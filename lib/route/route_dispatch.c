/* Router of one service: choice of the next request, and its outcome.  */

#include <assert.h>

#include "route/route_internal.h"

enum
{
  TRY_LIMIT = 4,                /* tries of one request */
  BUSY_PAUSE_MS = 20,           /* before a busy instance is tried again */
  SERVICE_TIME_EWMA_DIVISOR = 8 /* the newest answer weighs 1/8 */
};

/* --- Dispatch --- */

/* Whether team A is served before B.  Teams below their guarantee come first,
   then the team with the fewest requests in flight relative to its weight.  */
static bool
team_before (const struct rt_router *router, const struct rt_team_state *a,
             const struct rt_team_state *b)
{
  uint32_t hosts = router->hosts->len;
  bool a_guaranteed = (uint64_t)a->in_flight * hosts < a->guaranteed_slots;
  bool b_guaranteed = (uint64_t)b->in_flight * hosts < b->guaranteed_slots;

  if (a_guaranteed != b_guaranteed)
    return a_guaranteed;
  return (uint64_t)a->in_flight * MAX (b->weight, 1)
         < (uint64_t)b->in_flight * MAX (a->weight, 1);
}

static struct rt_team_state *
pick_team (struct rt_router *router)
{
  struct rt_team_state *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rt_team_state *team = value;

      if (g_queue_is_empty (&team->queue))
        continue;
      if (best == NULL || team_before (router, team, best))
        best = team;
    }
  return best;
}

/* Whether a queued request would miss its deadline.  A request that has waited
   less than the time to its deadline is sent even if the average says that it
   would be late: the average may be out of date, and would stay so if nothing
   were sent.  */
static bool
would_miss_deadline (const struct rt_router *router,
                     const struct rt_request_state *request, int64_t now_ms)
{
  int64_t remaining_ms = request->deadline_ms - now_ms;

  return remaining_ms <= 0
         || (request->tries == 0
             && (double)remaining_ms < router->service_time_ms
             && now_ms - request->submitted_ms > remaining_ms);
}

/* Returns any queued request that would miss its deadline, or NULL.  */
static struct rt_request_state *
find_expired (struct rt_router *router, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  GList *link;

  g_hash_table_iter_init (&iter, router->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (link = ((struct rt_team_state *)value)->queue.head; link != NULL;
         link = link->next)
      if (would_miss_deadline (router, link->data, now_ms))
        return link->data;
  return NULL;
}

static void
dequeue_request (struct rt_router *router, struct rt_request_state *request)
{
  g_queue_remove (&request->team->queue, request);
  router->queued--;
}

static void
forget_request (struct rt_router *router,
                const struct rt_request_state *request)
{
  g_hash_table_remove (router->requests, &request->token);
}

bool
rt_dispatch (struct rt_router *router, struct rt_command *command)
{
  int64_t now_ms = router->now_ms (router->ctx);
  struct rt_request_state *request = find_expired (router, now_ms);
  struct rt_instance_state *instance;
  struct rt_team_state *team;

  if (request != NULL)
    {
      command->kind = RT_TOO_LATE;
      command->token = request->token;
      command->instance = NULL;
      dequeue_request (router, request);
      forget_request (router, request);
      return true;
    }
  team = pick_team (router);
  instance = team == NULL ? NULL : rt_pick_instance (router, now_ms);
  if (instance == NULL)
    return false;
  request = g_queue_peek_head (&team->queue);
  dequeue_request (router, request);
  request->instance = instance;
  request->sent_ms = now_ms;
  request->tries++;
  instance->last_send_number = ++router->send_count;
  instance->in_flight++;
  team->in_flight++;
  router->in_flight++;
  command->kind = RT_SEND;
  command->token = request->token;
  command->instance = instance->name;
  return true;
}

/* --- Outcomes --- */

static void
apply_outcome (struct rt_router *router,
               const struct rt_request_state *request, enum rt_outcome outcome,
               int64_t now_ms)
{
  struct rt_instance_state *instance = request->instance;
  double ran_ms = (double)(now_ms - request->sent_ms);

  switch (outcome)
    {
    case RT_ANSWERED:
      he_success (&instance->health);
      router->service_time_ms
          += (ran_ms - router->service_time_ms) / SERVICE_TIME_EWMA_DIVISOR;
      break;
    case RT_BUSY:
      instance->busy_until_ms = now_ms + BUSY_PAUSE_MS;
      break;
    case RT_NOT_SENT:
    case RT_SERVER_ERROR:
    case RT_NO_ANSWER:
      he_failure (&instance->health, now_ms);
      break;
    case RT_ABANDONED:
      break;
    }
}

/* Whether to try a request again; consumes a token of the retry budget where
   one is needed.  A try that has not run may be repeated whatever the request
   is; one that may have run only if the request is repeatable and the budget
   allows it.  */
static bool
try_consume_retry (struct rt_router *router,
                   const struct rt_request_state *request,
                   enum rt_outcome outcome, bool repeatable, int64_t now_ms)
{
  if (request->deadline_ms <= now_ms)
    return false;
  switch (outcome)
    {
    case RT_BUSY:
      return true;
    case RT_NOT_SENT:
      return request->tries < TRY_LIMIT;
    case RT_SERVER_ERROR:
    case RT_NO_ANSWER:
      return repeatable && request->tries < TRY_LIMIT
             && rb_try_consume (&router->budget);
    case RT_ANSWERED:
    case RT_ABANDONED:
      return false;
    }
  return false;
}

bool
rt_outcome (struct rt_router *router, uint64_t token, enum rt_outcome outcome,
            bool repeatable)
{
  struct rt_request_state *request
      = g_hash_table_lookup (router->requests, &token);
  int64_t now_ms = router->now_ms (router->ctx);

  assert (request != NULL && request->instance != NULL);
  apply_outcome (router, request, outcome, now_ms);
  request->instance->in_flight--;
  request->team->in_flight--;
  router->in_flight--;
  if (rt_is_removable (request->instance))
    g_hash_table_remove (router->instances, request->instance->name);
  request->instance = NULL;
  if (!try_consume_retry (router, request, outcome, repeatable, now_ms))
    {
      forget_request (router, request);
      return false;
    }
  g_queue_push_head (&request->team->queue, request);
  router->queued++;
  return true;
}

bool
rt_cancel (struct rt_router *router, uint64_t token)
{
  struct rt_request_state *request
      = g_hash_table_lookup (router->requests, &token);

  if (request == NULL || request->instance != NULL)
    return false;
  dequeue_request (router, request);
  forget_request (router, request);
  return true;
}

int64_t
rt_next_dispatch_ms (const struct rt_router *router)
{
  int64_t now_ms = router->now_ms (router->ctx);
  int64_t next_ms = INT64_MAX;
  GHashTableIter iter;
  gpointer value;
  GList *link;

  if (router->queued == 0)
    return INT64_MAX;
  g_hash_table_iter_init (&iter, router->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (link = ((struct rt_team_state *)value)->queue.head; link != NULL;
         link = link->next)
      next_ms = MIN (next_ms,
                     ((struct rt_request_state *)link->data)->deadline_ms);
  g_hash_table_iter_init (&iter, router->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rt_instance_state *instance = value;

      if (instance->busy_until_ms > now_ms)
        next_ms = MIN (next_ms, instance->busy_until_ms);
      if (instance->health.ejected_until_ms > now_ms)
        next_ms = MIN (next_ms, instance->health.ejected_until_ms);
    }
  return next_ms;
}
