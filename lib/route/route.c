/* Router of one service: life cycle, configuration, admission.  */

#include "route/route.h"

#include "route/route_internal.h"

enum
{
  RETRY_AFTER_MIN_MS = 1000,
  RETRY_AFTER_MAX_MS = 30000,
  SERVICE_TIME_INITIAL_MS = 50 /* assumed before the first answer */
};

/* --- Life cycle --- */

static void
free_team (gpointer data)
{
  struct rt_team_state *team = data;

  g_queue_clear (&team->queue);
  g_free (team->name);
  g_free (team);
}

static void
free_instance (gpointer data)
{
  struct rt_instance_state *instance = data;

  g_free (instance->name);
  g_free (instance);
}

int
rt_create (struct rt_router **out, const struct rt_params *params)
{
  struct rt_router *router = g_new0 (struct rt_router, 1);

  router->host = g_strdup (params->host);
  router->now_ms = params->now_ms;
  router->ctx = params->ctx;
  router->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_team);
  router->instances
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_instance);
  router->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  router->hosts = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (router->hosts, g_strdup (params->host));
  router->service_time_ms = SERVICE_TIME_INITIAL_MS;
  rb_init (&router->budget, 0);
  *out = router;
  return RT_OK;
}

void
rt_free (struct rt_router *router)
{
  if (router == NULL)
    return;
  g_hash_table_destroy (router->requests);
  g_hash_table_destroy (router->teams);
  g_hash_table_destroy (router->instances);
  g_ptr_array_free (router->hosts, TRUE);
  g_free (router->host);
  g_free (router);
}

/* --- Configuration --- */

static void
configure_team (struct rt_router *router, const struct rt_team *from)
{
  struct rt_team_state *team = g_hash_table_lookup (router->teams, from->name);

  if (team == NULL)
    {
      team = g_new0 (struct rt_team_state, 1);
      team->name = g_strdup (from->name);
      g_queue_init (&team->queue);
      g_hash_table_insert (router->teams, team->name, team);
    }
  team->weight = from->weight == 0 ? 1 : from->weight;
  team->guaranteed_slots = from->guaranteed_slots;
}

void
rt_configure (struct rt_router *router, const struct rt_team *teams,
              size_t team_count, const struct rt_limits *limits)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;

  g_hash_table_iter_init (&iter, router->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rt_team_state *team = value;

      team->weight = 0;
      team->guaranteed_slots = 0;
    }
  for (i = 0; i < team_count; i++)
    configure_team (router, &teams[i]);
  router->queue_limit = limits->queue_limit;
  router->budget.deposit_percent = limits->retry_percent;
}

/* --- Admission --- */

/* Estimates how long a request that is queued now would wait before it is
   sent.  */
static double
expected_wait_ms (const struct rt_router *router)
{
  double rounds;

  if (router->own_slots == 0)
    return 0.0;
  rounds = (double)router->queued / router->own_slots;
  if (router->in_flight >= router->own_slots)
    rounds += 1.0;
  return rounds * router->service_time_ms;
}

static uint32_t
retry_after_ms (const struct rt_router *router)
{
  double wait_ms = expected_wait_ms (router);

  if (wait_ms < RETRY_AFTER_MIN_MS)
    return RETRY_AFTER_MIN_MS;
  if (wait_ms > RETRY_AFTER_MAX_MS)
    return RETRY_AFTER_MAX_MS;
  return (uint32_t)wait_ms;
}

/* Whether a team uses less than this host's share of its guarantee.  Such a
   team is not shed for the load of others.  */
static bool
within_guarantee (const struct rt_router *router,
                  const struct rt_team_state *team)
{
  uint64_t share = ((uint64_t)team->guaranteed_slots + router->hosts->len - 1)
                   / router->hosts->len;

  return team->in_flight + team->queue.length < share;
}

int
rt_would_admit (const struct rt_router *router, const char *team_name,
                int64_t deadline_ms, uint32_t *retry_ms)
{
  const struct rt_team_state *team
      = g_hash_table_lookup (router->teams, team_name);
  int64_t now_ms = router->now_ms (router->ctx);

  *retry_ms = retry_after_ms (router);
  if (team == NULL || team->weight == 0)
    return RT_ERR_UNKNOWN_TEAM;
  if (router->own_slots == 0)
    return RT_ERR_NO_INSTANCE;
  if (within_guarantee (router, team))
    return RT_OK;
  if (router->queued >= router->queue_limit)
    return RT_ERR_QUEUE_FULL;
  if ((double)now_ms + expected_wait_ms (router) + router->service_time_ms
      > (double)deadline_ms)
    return RT_ERR_OVERLOADED;
  return RT_OK;
}

int
rt_submit (struct rt_router *router, uint64_t token, const char *team,
           int64_t deadline_ms, uint32_t *retry_ms)
{
  struct rt_request_state *request;
  int error = rt_would_admit (router, team, deadline_ms, retry_ms);

  if (error != RT_OK)
    return error;
  request = g_new0 (struct rt_request_state, 1);
  request->token = token;
  request->deadline_ms = deadline_ms;
  request->submitted_ms = router->now_ms (router->ctx);
  request->team = g_hash_table_lookup (router->teams, team);
  g_hash_table_insert (router->requests, &request->token, request);
  g_queue_push_tail (&request->team->queue, request);
  router->queued++;
  rb_first_try (&router->budget);
  return RT_OK;
}

/* --- Accessors --- */

uint32_t
rt_service_time_ms (const struct rt_router *router)
{
  return (uint32_t)router->service_time_ms;
}

uint32_t
rt_in_flight (const struct rt_router *router)
{
  return router->in_flight;
}

uint32_t
rt_queued (const struct rt_router *router)
{
  return router->queued;
}

uint32_t
rt_own_slots (const struct rt_router *router)
{
  return router->own_slots;
}

const char *
rt_strerror (int error)
{
  switch (error)
    {
    case RT_OK:
      return "no error";
    case RT_ERR_MEMORY:
      return "out of memory";
    case RT_ERR_UNKNOWN_TEAM:
      return "there is no such team";
    case RT_ERR_OVERLOADED:
      return "the request could not be answered before its deadline";
    case RT_ERR_QUEUE_FULL:
      return "the queue is full";
    case RT_ERR_NO_INSTANCE:
      return "this host owns no slot of an upstream instance";
    default:
      return "unknown error";
    }
}
