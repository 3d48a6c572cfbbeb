/* Check whether all guarantees of a document fit a pool of equal workers.  */

#include "feasibility.h"

#include <glib.h>
#include <stdio.h>

#include "place/place.h"

enum
{
  WORKER_LIMIT = 100000,
  RACK_SIZE_DEFAULT = 8
};

struct fs_args
fs_args (void)
{
  return (struct fs_args){
    .workers = arg_str0 (NULL, "workers", "COUNT",
                         "also checks that all guarantees fit these workers"),
    .rack_size
    = arg_str0 (NULL, "rack-size", "N", "workers of one rack (default 8)"),
    .cpus_milli = arg_str0 (NULL, "cpus-milli", "N", "of each worker"),
    .memory_mb = arg_str0 (NULL, "memory-mb", "N", "of each worker"),
    .accelerators = arg_str0 (NULL, "accelerators", "N", "of each worker"),
  };
}

bool
fs_worker_pool (const struct fs_args *arguments, struct fs_worker_pool *out)
{
  int given = arguments->cpus_milli->count + arguments->memory_mb->count
              + arguments->accelerators->count;

  if (!cli_number (arguments->workers, 1, WORKER_LIMIT, 0, &out->workers)
      || !cli_number (arguments->rack_size, 1, WORKER_LIMIT, RACK_SIZE_DEFAULT,
                      &out->rack_size)
      || !cli_number (arguments->cpus_milli, 1, UINT32_MAX, 0,
                      &out->cpus_milli)
      || !cli_number (arguments->memory_mb, 1, UINT32_MAX, 0, &out->memory_mb)
      || !cli_number (arguments->accelerators, 0, PLACE_ACCELERATOR_LIMIT, 0,
                      &out->accelerators))
    return false;
  if (given == 3 * arguments->workers->count
      && arguments->rack_size->count <= arguments->workers->count)
    return true;
  fprintf (stderr, "foxtailgapctl: --workers, --cpus-milli, --memory-mb and "
                   "--accelerators go together\n");
  return false;
}

static struct place_worker *
make_workers (const struct fs_worker_pool *pool, GStringChunk *names)
{
  struct place_worker *workers = g_new0 (struct place_worker, pool->workers);
  char text[32];

  for (uint64_t i = 0; i < pool->workers; i++)
    {
      g_snprintf (text, sizeof text, "worker-%" G_GUINT64_FORMAT, i + 1);
      workers[i].name = g_string_chunk_insert (names, text);
      g_snprintf (text, sizeof text, "rack-%" G_GUINT64_FORMAT,
                  i / pool->rack_size + 1);
      workers[i].rack = g_string_chunk_insert_const (names, text);
      workers[i].data_centre = "one";
      workers[i].capacity = (struct place_resources){
        .cpus_milli = (uint32_t)pool->cpus_milli,
        .memory_mb = (uint32_t)pool->memory_mb,
        .accelerators = (uint32_t)pool->accelerators,
      };
    }
  return workers;
}

bool
fs_check (const struct env_document *document,
          const struct fs_worker_pool *pool, char text[PLACE_TEXT_SIZE_BYTES])
{
  GStringChunk *names = g_string_chunk_new (4096);
  struct place_worker *workers = make_workers (pool, names);
  struct place_team *teams = env_to_place_teams (document);
  int error = PLACE_ERR_MEMORY;

  text[0] = '\0';
  if (teams != NULL)
    error = place_check_guarantees (teams, document->teams_count, workers,
                                    pool->workers, text);
  if (error != PLACE_OK && text[0] == '\0')
    g_strlcpy (text, place_strerror (error), PLACE_TEXT_SIZE_BYTES);
  env_free_place_teams (teams, document->teams_count);
  g_free (workers);
  g_string_chunk_free (names);
  return error == PLACE_OK;
}
