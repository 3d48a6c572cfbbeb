/* Router of one service.  */

#include "route/route.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "route/health.h"
#include "route/retry_budget.h"
#include "route/slots.h"

enum
{
  TRY_LIMIT = 4,      /* tries of one request */
  BUSY_PAUSE_MS = 20, /* before a busy instance is tried again */
  RETRY_AFTER_LEAST_MS = 1000,
  RETRY_AFTER_LIMIT_MS = 30000,
  SERVICE_TIME_FIRST_MS = 50, /* assumed before the first answer */
  SERVICE_TIME_SHARE = 8      /* newest answer counts one of this many */
};

struct instance
{
  char *name;
  uint32_t slots;
  uint32_t own_slots;
  uint32_t in_flight;
  bool listed;
  bool leaving;
  bool near;
  int64_t busy_until_ms;
  uint64_t last_send; /* number of the router's newest try sent here */
  struct he_health health;
};

struct team
{
  char *name;
  uint32_t weight;
  uint32_t guaranteed_slots;
  uint32_t in_flight;
  GQueue queue; /* of struct request, in order of arrival */
};

struct request
{
  uint64_t token;
  int64_t deadline_ms;
  int64_t submitted_ms;
  int64_t sent_ms;
  struct team *team;
  struct instance *instance; /* NULL while queued */
  uint32_t tries;
};

struct rt_router
{
  char *host;
  int64_t (*now_ms) (void *ctx);
  void *ctx;
  GHashTable *teams;     /* name -> struct team */
  GHashTable *instances; /* name -> struct instance */
  GHashTable *requests;  /* token -> struct request */
  GPtrArray *hosts;      /* names */
  size_t self;
  uint32_t queue_limit;
  uint32_t queued;
  uint32_t in_flight;
  uint32_t own_slots;
  uint64_t sends;
  double service_time_ms; /* moving mean of a try */
  struct rb_budget budget;
};

/* --- Life cycle --- */

static void
free_team (gpointer data)
{
  struct team *team = data;

  g_queue_clear (&team->queue);
  g_free (team->name);
  g_free (team);
}

static void
free_instance (gpointer data)
{
  struct instance *instance = data;

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
  router->service_time_ms = SERVICE_TIME_FIRST_MS;
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

/* --- Configuration and membership --- */

static void
count_own_slots (struct rt_router *router)
{
  GHashTableIter iter;
  gpointer value;

  router->own_slots = 0;
  g_hash_table_iter_init (&iter, router->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (instance->listed && !instance->leaving)
        router->own_slots += instance->own_slots;
    }
}

/* Shares the slots of the listed instances among the live hosts.  What an
   instance says of itself is left out: the hosts learn it at different
   times.  */
static void
share_slots (struct rt_router *router)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (struct sl_item));
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, router->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;
      struct sl_item item
          = { .instance = instance->name, .slots = instance->slots };

      instance->own_slots = 0;
      if (instance->listed)
        g_array_append_val (items, item);
    }
  sl_share ((const char *const *)router->hosts->pdata, router->hosts->len,
            router->self, (struct sl_item *)items->data, items->len);
  for (i = 0; i < items->len; i++)
    {
      const struct sl_item *item = &g_array_index (items, struct sl_item, i);
      struct instance *instance
          = g_hash_table_lookup (router->instances, item->instance);

      instance->own_slots = item->owned;
    }
  g_array_free (items, TRUE);
  count_own_slots (router);
}

static void
configure_team (struct rt_router *router, const struct rt_team *from)
{
  struct team *team = g_hash_table_lookup (router->teams, from->name);

  if (team == NULL)
    {
      team = g_new0 (struct team, 1);
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
      struct team *team = value;

      team->weight = 0;
      team->guaranteed_slots = 0;
    }
  for (i = 0; i < team_count; i++)
    configure_team (router, &teams[i]);
  router->queue_limit = limits->queue_limit;
  router->budget.percent = limits->retry_percent;
}

static void
list_instance (struct rt_router *router, const struct rt_instance *from)
{
  struct instance *instance
      = g_hash_table_lookup (router->instances, from->name);

  if (instance == NULL)
    {
      instance = g_new0 (struct instance, 1);
      instance->name = g_strdup (from->name);
      instance->health.allowed = 1;
      g_hash_table_insert (router->instances, instance->name, instance);
    }
  instance->listed = true;
  instance->leaving = instance->leaving || from->leaving;
  instance->near = from->near;
  instance->slots = MIN (from->slots, RT_SLOT_LIMIT);
}

static gboolean
unlisted_and_idle (gpointer key, gpointer value, gpointer ctx)
{
  const struct instance *instance = value;

  (void)key;
  (void)ctx;
  return !instance->listed && instance->in_flight == 0;
}

void
rt_set_instances (struct rt_router *router,
                  const struct rt_instance *instances, size_t count)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;

  g_hash_table_iter_init (&iter, router->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct instance *)value)->listed = false;
  for (i = 0; i < count; i++)
    list_instance (router, &instances[i]);
  g_hash_table_foreach_remove (router->instances, unlisted_and_idle, NULL);
  share_slots (router);
}

void
rt_set_hosts (struct rt_router *router, const char *const *hosts, size_t count)
{
  size_t i;

  g_ptr_array_set_size (router->hosts, 0);
  router->self = count;
  for (i = 0; i < count; i++)
    {
      if (strcmp (hosts[i], router->host) == 0)
        router->self = i;
      g_ptr_array_add (router->hosts, g_strdup (hosts[i]));
    }
  if (router->self == count)
    g_ptr_array_add (router->hosts, g_strdup (router->host));
  share_slots (router);
}

void
rt_instance_leaving (struct rt_router *router, const char *name)
{
  struct instance *instance = g_hash_table_lookup (router->instances, name);

  if (instance == NULL)
    return;
  instance->leaving = true;
  count_own_slots (router);
}

/* --- Admission --- */

/* Time until a request that is queued now would be answered.  */
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

  if (wait_ms < RETRY_AFTER_LEAST_MS)
    return RETRY_AFTER_LEAST_MS;
  if (wait_ms > RETRY_AFTER_LIMIT_MS)
    return RETRY_AFTER_LIMIT_MS;
  return (uint32_t)wait_ms;
}

/* A team that uses less than its guarantee is not shed for others' load.  */
static bool
within_guarantee (const struct rt_router *router, const struct team *team)
{
  uint64_t share = ((uint64_t)team->guaranteed_slots + router->hosts->len - 1)
                   / router->hosts->len;

  return team->in_flight + team->queue.length < share;
}

int
rt_admit (const struct rt_router *router, const char *team_name,
          int64_t deadline_ms, uint32_t *retry_ms)
{
  const struct team *team = g_hash_table_lookup (router->teams, team_name);
  int64_t now_ms = router->now_ms (router->ctx);

  *retry_ms = retry_after_ms (router);
  if (team == NULL || team->weight == 0)
    return RT_ERR_TEAM;
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
  struct request *request;
  int error = rt_admit (router, team, deadline_ms, retry_ms);

  if (error != RT_OK)
    return error;
  request = g_new0 (struct request, 1);
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

/* --- Dispatch --- */

static bool
may_send (const struct instance *instance, int64_t now_ms)
{
  uint32_t limit = he_limit (&instance->health, instance->own_slots);

  return instance->listed && !instance->leaving && instance->in_flight < limit
         && now_ms >= instance->busy_until_ms;
}

/* The nearer, then the less used of two instances, then the one that was
   used longer ago.  */
static bool
better (const struct instance *a, const struct instance *b)
{
  uint64_t use_of_a = (uint64_t)a->in_flight * b->own_slots;
  uint64_t use_of_b = (uint64_t)b->in_flight * a->own_slots;

  if (a->near != b->near)
    return a->near;
  if (use_of_a != use_of_b)
    return use_of_a < use_of_b;
  return a->last_send < b->last_send;
}

/* An ejected instance is used only when every other one is ejected too, so
   that one bad minute does not empty the whole pool.  */
static struct instance *
pick_instance (struct rt_router *router, int64_t now_ms)
{
  struct instance *best = NULL;
  struct instance *best_ejected = NULL;
  bool any_healthy = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;
      bool ejected = he_ejected (&instance->health, now_ms);

      if (instance->listed && !instance->leaving && !ejected
          && instance->own_slots > 0)
        any_healthy = true;
      if (!may_send (instance, now_ms))
        continue;
      if (ejected)
        {
          if (best_ejected == NULL || better (instance, best_ejected))
            best_ejected = instance;
        }
      else if (best == NULL || better (instance, best))
        best = instance;
    }
  return any_healthy ? best : best_ejected;
}

/* Teams below their guarantee first, then the least use for its weight.  */
static bool
team_before (const struct rt_router *router, const struct team *a,
             const struct team *b)
{
  uint32_t hosts = router->hosts->len;
  bool a_guaranteed = (uint64_t)a->in_flight * hosts < a->guaranteed_slots;
  bool b_guaranteed = (uint64_t)b->in_flight * hosts < b->guaranteed_slots;

  if (a_guaranteed != b_guaranteed)
    return a_guaranteed;
  return (uint64_t)a->in_flight * MAX (b->weight, 1)
         < (uint64_t)b->in_flight * MAX (a->weight, 1);
}

static struct team *
pick_team (struct rt_router *router)
{
  struct team *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct team *team = value;

      if (g_queue_is_empty (&team->queue))
        continue;
      if (best == NULL || team_before (router, team, best))
        best = team;
    }
  return best;
}

/* Whether a queued request would miss its deadline.  One that has not waited
   long is sent all the same: the mean may be out of date, and would stay so if
   nothing were sent.  */
static bool
is_late (const struct rt_router *router, const struct request *request,
         int64_t now_ms)
{
  int64_t left_ms = request->deadline_ms - now_ms;

  return left_ms <= 0
         || (request->tries == 0 && (double)left_ms < router->service_time_ms
             && now_ms - request->submitted_ms > left_ms);
}

/* The first queued request that would miss its deadline.  */
static struct request *
find_expired (struct rt_router *router, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  GList *link;

  g_hash_table_iter_init (&iter, router->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (link = ((struct team *)value)->queue.head; link != NULL;
         link = link->next)
      if (is_late (router, link->data, now_ms))
        return link->data;
  return NULL;
}

static void
unqueue (struct rt_router *router, struct request *request)
{
  g_queue_remove (&request->team->queue, request);
  router->queued--;
}

static void
forget (struct rt_router *router, const struct request *request)
{
  g_hash_table_remove (router->requests, &request->token);
}

bool
rt_dispatch (struct rt_router *router, struct rt_command *command)
{
  int64_t now_ms = router->now_ms (router->ctx);
  struct request *request = find_expired (router, now_ms);
  struct instance *instance;
  struct team *team;

  if (request != NULL)
    {
      command->kind = RT_EXPIRED;
      command->token = request->token;
      command->instance = NULL;
      unqueue (router, request);
      forget (router, request);
      return true;
    }
  team = pick_team (router);
  instance = team == NULL ? NULL : pick_instance (router, now_ms);
  if (instance == NULL)
    return false;
  request = g_queue_peek_head (&team->queue);
  unqueue (router, request);
  request->instance = instance;
  request->sent_ms = now_ms;
  request->tries++;
  instance->last_send = ++router->sends;
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
judge (struct rt_router *router, const struct request *request,
       enum rt_outcome outcome, int64_t now_ms)
{
  struct instance *instance = request->instance;
  double ran_ms = (double)(now_ms - request->sent_ms);

  switch (outcome)
    {
    case RT_ANSWERED:
      he_success (&instance->health);
      router->service_time_ms
          += (ran_ms - router->service_time_ms) / SERVICE_TIME_SHARE;
      break;
    case RT_BUSY:
      instance->busy_until_ms = now_ms + BUSY_PAUSE_MS;
      break;
    case RT_NOT_SENT:
    case RT_FAILED:
    case RT_BROKEN:
      he_failure (&instance->health, now_ms);
      break;
    case RT_ABANDONED:
      break;
    }
}

/* A try that has not run may be repeated by anyone; one that may have run
   only if it is repeatable and the budget allows it.  */
static bool
try_again (struct rt_router *router, const struct request *request,
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
    case RT_FAILED:
    case RT_BROKEN:
      return repeatable && request->tries < TRY_LIMIT
             && rb_take (&router->budget);
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
  struct request *request = g_hash_table_lookup (router->requests, &token);
  int64_t now_ms = router->now_ms (router->ctx);

  assert (request != NULL && request->instance != NULL);
  judge (router, request, outcome, now_ms);
  request->instance->in_flight--;
  request->team->in_flight--;
  router->in_flight--;
  if (unlisted_and_idle (NULL, request->instance, NULL))
    g_hash_table_remove (router->instances, request->instance->name);
  request->instance = NULL;
  if (!try_again (router, request, outcome, repeatable, now_ms))
    {
      forget (router, request);
      return false;
    }
  g_queue_push_head (&request->team->queue, request);
  router->queued++;
  return true;
}

bool
rt_cancel (struct rt_router *router, uint64_t token)
{
  struct request *request = g_hash_table_lookup (router->requests, &token);

  if (request == NULL || request->instance != NULL)
    return false;
  unqueue (router, request);
  forget (router, request);
  return true;
}

int64_t
rt_next_ms (const struct rt_router *router)
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
    for (link = ((struct team *)value)->queue.head; link != NULL;
         link = link->next)
      next_ms = MIN (next_ms, ((struct request *)link->data)->deadline_ms);
  g_hash_table_iter_init (&iter, router->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct instance *instance = value;

      if (instance->busy_until_ms > now_ms)
        next_ms = MIN (next_ms, instance->busy_until_ms);
      if (instance->health.ejected_until_ms > now_ms)
        next_ms = MIN (next_ms, instance->health.ejected_until_ms);
    }
  return next_ms;
}

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
    case RT_ERR_TEAM:
      return "the team is not known";
    case RT_ERR_OVERLOADED:
      return "the request could not be answered before its deadline";
    case RT_ERR_QUEUE_FULL:
      return "the queue is full";
    case RT_ERR_NO_INSTANCE:
      return "no upstream instance is available";
    default:
      return "unknown error";
    }
}
