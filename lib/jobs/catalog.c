/* The catalog: the operator's configuration as the scheduler uses it.  */

#include "jobs/catalog.h"

#include <string.h>

void
ct_catalog_free (struct ct_catalog *catalog)
{
  size_t i;

  if (catalog == NULL)
    return;
  for (i = 0; i < catalog->queue_count; i++)
    {
      g_free (catalog->queues[i].name);
      g_free (catalog->queues[i].host_header);
      g_free (catalog->queues[i].path_prefix);
      g_free (catalog->queues[i].service);
    }
  for (i = 0; i < catalog->team_count; i++)
    {
      g_free (catalog->teams[i].name);
      g_strfreev (catalog->teams[i].keys);
    }
  for (i = 0; i < catalog->service_count; i++)
    g_free (catalog->services[i].name);
  if (catalog->queues_by_name != NULL)
    g_hash_table_destroy (catalog->queues_by_name);
  g_free (catalog->queues);
  g_free (catalog->teams);
  g_free (catalog->services);
  g_free (catalog);
}

void
ct_index_queues (struct ct_catalog *catalog)
{
  size_t i;

  catalog->queues_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  for (i = 0; i < catalog->queue_count; i++)
    g_hash_table_insert (catalog->queues_by_name, catalog->queues[i].name,
                         &catalog->queues[i]);
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
