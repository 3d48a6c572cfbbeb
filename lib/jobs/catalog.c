/* The catalog: the operator's configuration as the scheduler uses it.  */

#include "jobs/catalog.h"

#include <string.h>

static void
queue_clear (struct ct_queue *queue)
{
  g_free (queue->name);
  g_free (queue->host_header);
  g_free (queue->path_prefix);
  g_free (queue->service);
}

struct ct_queue *
ct_queue_copy (const struct ct_queue *queue)
{
  struct ct_queue *copy = g_new (struct ct_queue, 1);

  *copy = *queue;
  copy->name = g_strdup (queue->name);
  copy->host_header = g_strdup (queue->host_header);
  copy->path_prefix = g_strdup (queue->path_prefix);
  copy->service = g_strdup (queue->service);
  return copy;
}

void
ct_queue_free (struct ct_queue *queue)
{
  if (queue != NULL)
    queue_clear (queue);
  g_free (queue);
}

bool
ct_same_address (const struct ct_queue *a, const struct ct_queue *b)
{
  return strcmp (a->path_prefix, b->path_prefix) == 0
         && g_ascii_strcasecmp (a->host_header, b->host_header) == 0;
}

bool
ct_queue_equal (const struct ct_queue *a, const struct ct_queue *b)
{
  if (a == NULL || b == NULL)
    return a == b;
  /* Stored as a float.  */
  return (float)a->slack_factor == (float)b->slack_factor
         && a->priority == b->priority && a->attempt_limit == b->attempt_limit
         && a->target_ms == b->target_ms && a->uses_advisor == b->uses_advisor
         && a->advice_call_ms == b->advice_call_ms
         && a->advice_per_worker_ms == b->advice_per_worker_ms
         && strcmp (a->service, b->service) == 0 && ct_same_address (a, b);
}

void
ct_catalog_free (struct ct_catalog *catalog)
{
  size_t i;

  if (catalog == NULL)
    return;
  for (i = 0; i < catalog->queue_count; i++)
    queue_clear (&catalog->queues[i]);
  for (i = 0; i < catalog->team_count; i++)
    {
      g_free (catalog->teams[i].name);
      g_strfreev (catalog->teams[i].keys);
    }
  for (i = 0; i < catalog->service_count; i++)
    g_free (catalog->services[i].name);
  if (catalog->queues_by_name != NULL)
    g_hash_table_destroy (catalog->queues_by_name);
  if (catalog->queues_by_address != NULL)
    g_hash_table_destroy (catalog->queues_by_address);
  g_free (catalog->queues);
  g_free (catalog->teams);
  g_free (catalog->services);
  g_free (catalog);
}

/* By the path prefix alone, for the case of a host's letters does not
   matter.  */
static guint
address_hash (const void *queue)
{
  return g_str_hash (((const struct ct_queue *)queue)->path_prefix);
}

static gboolean
address_equal (const void *a, const void *b)
{
  return ct_same_address (a, b);
}

void
ct_index_queues (struct ct_catalog *catalog)
{
  size_t i;

  catalog->queues_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  catalog->queues_by_address = g_hash_table_new (address_hash, address_equal);
  for (i = 0; i < catalog->queue_count; i++)
    {
      catalog->queues[i].version = catalog->version;
      g_hash_table_insert (catalog->queues_by_name, catalog->queues[i].name,
                           &catalog->queues[i]);
      g_hash_table_add (catalog->queues_by_address, &catalog->queues[i]);
    }
}

static bool
host_matches (const char *wanted, const char *host)
{
  size_t length = strcspn (host, ":");

  return strlen (wanted) == length
         && g_ascii_strncasecmp (wanted, host, length) == 0;
}

const struct ct_queue *
ct_route_request (const struct ct_catalog *catalog, const char *host,
                  const char *path, const char **rest)
{
  const struct ct_queue *best = NULL;
  size_t best_length = 0;
  size_t i;

  for (i = 0; i < catalog->queue_count; i++)
    {
      const struct ct_queue *queue = &catalog->queues[i];
      size_t length = strlen (queue->path_prefix);

      if (best != NULL && length <= best_length)
        continue;
      if (!g_str_has_prefix (path, queue->path_prefix)
          || !host_matches (queue->host_header, host))
        continue;
      best = queue;
      best_length = length;
    }
  if (best != NULL)
    {
      *rest = path + best_length;
      if (**rest == '/')
        (*rest)++;
    }
  return best;
}

const struct ct_queue *
ct_find_queue_like (const struct ct_catalog *catalog,
                    const struct ct_queue *queue)
{
  return g_hash_table_lookup (catalog->queues_by_address, queue);
}

const struct ct_queue *
ct_find_queue (const struct ct_catalog *catalog, const char *name)
{
  return g_hash_table_lookup (catalog->queues_by_name, name);
}

const struct ct_team *
ct_find_team (const struct ct_catalog *catalog, const char *name)
{
  size_t i;

  for (i = 0; name != NULL && i < catalog->team_count; i++)
    if (strcmp (catalog->teams[i].name, name) == 0)
      return &catalog->teams[i];
  return NULL;
}

bool
ct_enforces_capacity (const struct ct_catalog *catalog, const char *service)
{
  size_t i;

  for (i = 0; i < catalog->service_count; i++)
    if (g_strcmp0 (catalog->services[i].name, service) == 0)
      return catalog->services[i].enforces_capacity;
  return false;
}

const struct ct_team *
ct_team_of_key (const struct ct_catalog *catalog, const char *key)
{
  size_t i;

  for (i = 0; i < catalog->team_count; i++)
    if (g_strv_contains ((const char *const *)catalog->teams[i].keys, key))
      return &catalog->teams[i];
  return NULL;
}
