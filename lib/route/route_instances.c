/* Router of one service: its instances, their slots, and the choice of the
   next instance.  */

#include <string.h>

#include "route/route_internal.h"
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

/* Shares the slots of the listed instances among the live hosts.  An instance
   that is leaving takes part: the hosts learn of that at different times, and
   would then compute different owners.  */
static void
share_slots (struct rt_router *router)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (struct sl_instance));
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, router->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct rt_instance_state *instance = value;
      struct sl_instance item
          = { .instance = instance->name, .slots = instance->slots };

      instance->own_slots = 0;
      if (instance->listed)
        g_array_append_val (items, item);
    }
  sl_share_slots ((const char *const *)router->hosts->pdata,
                  router->hosts->len, router->self,
                  (struct sl_instance *)items->data, items->len);
  for (i = 0; i < items->len; i++)
    {
      const struct sl_instance *item
          = &g_array_index (items, struct sl_instance, i);
      struct rt_instance_state *instance
          = g_hash_table_lookup (router->instances, item->instance);

      instance->own_slots = item->owned;
    }
  g_array_free (items, TRUE);
  count_own_slots (router);
}

static void
add_or_update_instance (struct rt_router *router,
                        const struct rt_instance *from)
{
  struct rt_instance_state *instance
      = g_hash_table_lookup (router->instances, from->name);

  if (instance == NULL)
    {
      instance = g_new0 (struct rt_instance_state, 1);
      instance->name = g_strdup (from->name);
      instance->health.slow_start_limit = 1;
      g_hash_table_insert (router->instances, instance->name, instance);
    }
  instance->listed = true;
  instance->leaving = instance->leaving || from->leaving;
  instance->same_data_centre = from->same_data_centre;
  instance->slots = MIN (from->slots, RT_SLOT_LIMIT);
}

bool
rt_is_removable (const struct rt_instance_state *instance)
{
  return !instance->listed && instance->in_flight == 0;
}

static gboolean
is_removable (gpointer key, gpointer value, gpointer ctx)
{
  (void)key;
  (void)ctx;
  return rt_is_removable (value);
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
    add_or_update_instance (router, &instances[i]);
  g_hash_table_foreach_remove (router->instances, is_removable, NULL);
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
  uint32_t limit
      = he_concurrency_limit (&instance->health, instance->own_slots);

  return instance->listed && !instance->leaving && instance->in_flight < limit
         && now_ms >= instance->busy_until_ms;
}

/* Whether A is preferred to B: one in this data centre comes first, then the
   one with the lower utilization of own slots, then the least recently
   used.  */
static bool
is_better_instance (const struct rt_instance_state *a,
                    const struct rt_instance_state *b)
{
  uint64_t use_of_a = (uint64_t)a->in_flight * b->own_slots;
  uint64_t use_of_b = (uint64_t)b->in_flight * a->own_slots;

  if (a->same_data_centre != b->same_data_centre)
    return a->same_data_centre;
  if (use_of_a != use_of_b)
    return use_of_a < use_of_b;
  return a->last_send_number < b->last_send_number;
}

/* An ejected instance is used only if every other one is ejected too, so that
   a short failure of all instances does not leave the service with none.  */
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
      bool ejected = he_is_ejected (&instance->health, now_ms);

      if (instance->listed && !instance->leaving && !ejected
          && instance->own_slots > 0)
        any_healthy = true;
      if (!may_send (instance, now_ms))
        continue;
      if (ejected)
        {
          if (best_ejected == NULL
              || is_better_instance (instance, best_ejected))
            best_ejected = instance;
        }
      else if (best == NULL || is_better_instance (instance, best))
        best = instance;
    }
  return any_healthy ? best : best_ejected;
}
