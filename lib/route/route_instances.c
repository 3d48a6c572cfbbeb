/* Router of one service: its instances, their slots, and which is next.  */

#include <string.h>

#include "route/route_private.h"
#include "route/slots.h"

static void
count_own_slots (struct rt_router *router)
{
  GHashTableIter iter;
  gpointer value;

  router->own_slots = 0;
  g_hash_table_iter_init (&iter, router->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rt_instance_state *instance = value;

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
      struct rt_instance_state *instance = value;
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
      struct rt_instance_state *instance
          = g_hash_table_lookup (router->instances, item->instance);

      instance->own_slots = item->owned;
    }
  g_array_free (items, TRUE);
  count_own_slots (router);
}

static void
list_instance (struct rt_router *router, const struct rt_instance *from)
{
  struct rt_instance_state *instance
      = g_hash_table_lookup (router->instances, from->name);

  if (instance == NULL)
    {
      instance = g_new0 (struct rt_instance_state, 1);
      instance->name = g_strdup (from->name);
      instance->health.allowed = 1;
      g_hash_table_insert (router->instances, instance->name, instance);
    }
  instance->listed = true;
  instance->leaving = instance->leaving || from->leaving;
  instance->near = from->near;
  instance->slots = MIN (from->slots, RT_SLOT_LIMIT);
}

bool
rt_is_idle (const struct rt_instance_state *instance)
{
  return !instance->listed && instance->in_flight == 0;
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer ctx)
{
  (void)key;
  (void)ctx;
  return rt_is_idle (value);
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
    ((struct rt_instance_state *)value)->listed = false;
  for (i = 0; i < count; i++)
    list_instance (router, &instances[i]);
  g_hash_table_foreach_remove (router->instances, is_idle, NULL);
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
  struct rt_instance_state *instance
      = g_hash_table_lookup (router->instances, name);

  if (instance == NULL)
    return;
  instance->leaving = true;
  count_own_slots (router);
}

/* --- Choice --- */

static bool
may_send (const struct rt_instance_state *instance, int64_t now_ms)
{
  uint32_t limit = he_limit (&instance->health, instance->own_slots);

  return instance->listed && !instance->leaving && instance->in_flight < limit
         && now_ms >= instance->busy_until_ms;
}

/* The nearer, then the less used of two instances, then the one that was
   used longer ago.  */
static bool
better (const struct rt_instance_state *a, const struct rt_instance_state *b)
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
struct rt_instance_state *
rt_pick_instance (struct rt_router *router, int64_t now_ms)
{
  struct rt_instance_state *best = NULL;
  struct rt_instance_state *best_ejected = NULL;
  bool any_healthy = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rt_instance_state *instance = value;
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
