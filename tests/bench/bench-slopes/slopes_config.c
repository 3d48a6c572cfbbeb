/* Slopes of the environment document by the number of its teams.  */

#include <string.h>

#include "config/environment.h"
#include "slopes.h"

enum
{
  REPEATS = 5,
  WORKERS = 800,
  RACK_SIZE = 8,
  NAME_SIZE_BYTES = 32
};

static void
measure_parse (unsigned int teams)
{
  char *text = sl_document (teams);
  double heap_bytes = sl_heap_bytes ();
  struct env_document *document = NULL;
  struct env_messages messages = { 0 };
  double start_us = sl_cpu_us ();
  int i;

  for (i = 0; i < REPEATS; i++)
    {
      env_free (document);
      env_messages_clear (&messages);
      g_assert (env_parse (&document, text, strlen (text), &messages)
                == ENV_OK);
    }
  sl_point ("config.parse_cpu_us_by_teams", teams,
            (sl_cpu_us () - start_us) / REPEATS);
  sl_point ("config.heap_bytes_by_teams", teams,
            sl_heap_bytes () - heap_bytes);
  sl_point ("config.document_bytes_by_teams", teams, (double)strlen (text));
  env_messages_clear (&messages);
  env_free (document);
  g_free (text);
}

/* The joint packing test of all guarantees, on more workers than they need. */
static void
measure_check (unsigned int teams)
{
  static char names[WORKERS][NAME_SIZE_BYTES];
  static char racks[WORKERS][NAME_SIZE_BYTES];
  struct place_worker workers[WORKERS];
  char *text = sl_document (teams);
  char conflict[PLACE_TEXT_SIZE_BYTES];
  struct env_document *document = NULL;
  struct env_messages messages = { 0 };
  struct place_team *place_teams;
  double start_us;
  int i;

  for (i = 0; i < WORKERS; i++)
    {
      g_snprintf (names[i], NAME_SIZE_BYTES, "worker-%04d", i);
      g_snprintf (racks[i], NAME_SIZE_BYTES, "rack-%03d", i / RACK_SIZE);
      workers[i] = (struct place_worker){ .name = names[i],
                                          .rack = racks[i],
                                          .data_centre = "bole",
                                          .capacity = { 128000, 262144, 8 } };
    }
  g_assert (env_parse (&document, text, strlen (text), &messages) == ENV_OK);
  place_teams = env_to_place_teams (document);
  start_us = sl_cpu_us ();
  g_assert (place_check_guarantees (place_teams, document->teams_count,
                                    workers, WORKERS, conflict)
            == PLACE_OK);
  sl_point ("config.check_cpu_us_by_teams_on_800_workers", teams,
            sl_cpu_us () - start_us);
  env_free_place_teams (place_teams, document->teams_count);
  env_messages_clear (&messages);
  env_free (document);
  g_free (text);
}

void
sl_config (void)
{
  static const unsigned int teams[] = { 4, 40, 80, 160, 320 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (teams); i++)
    measure_parse (teams[i]);
  for (i = 0; i < G_N_ELEMENTS (teams); i++)
    measure_check (teams[i]);
}
