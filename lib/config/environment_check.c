/* Checks of the environment document that the schema cannot express.  */

#include "config/environment_check.h"

#include <glib.h>
#include <stdio.h>

#include "config/environment_diff.h"
#include "config/environment_schema.h"
#include "config/messages.h"

struct checker
{
  struct env_document *document;
  const struct yi_index *index;
  struct env_messages *messages;
};

static struct sc_mapping
mapping_at (const struct checker *checker, const char *path, void *target)
{
  return (struct sc_mapping){ .index = checker->index,
                              .path = path,
                              .target = target,
                              .messages = checker->messages };
}

/* Takes ownership of KEY and adds it to SEEN, which maps keys to the lines of
   their first use; adds a message if it is there already.  SHOWN is the key as
   the message shows it.  */
static void
check_unique (const struct checker *checker, GHashTable *seen, char *key,
              const char *path, const char *shown)
{
  uint32_t line = yi_line (checker->index, path);
  uint32_t first = GPOINTER_TO_UINT (g_hash_table_lookup (seen, key));

  if (first == 0)
    {
      g_hash_table_insert (seen, key, GUINT_TO_POINTER (line));
      return;
    }
  em_add (checker->messages, line, "%s: '%s' is given already at line %u",
          path, shown, first);
  g_free (key);
}

static GHashTable *
create_seen_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* --- Teams --- */

static void
check_worker_span (const struct checker *checker, const char *path,
                   const struct env_guarantee *guarantee)
{
  uint64_t accelerators = (uint64_t)guarantee->tasks * guarantee->accelerators;

  if (guarantee->span != PLACE_SPAN_WORKER
      || accelerators <= PLACE_ACCELERATOR_LIMIT)
    return;
  em_add (checker->messages, yi_line (checker->index, path),
          "%s: %" G_GUINT64_FORMAT " accelerators in one worker, which has "
          "%d at most",
          path, accelerators, PLACE_ACCELERATOR_LIMIT);
}

static void
check_quota (const struct checker *checker, const char *team_path,
             const char *field, uint64_t guaranteed, uint32_t quota)
{
  char path[YI_PATH_SIZE_BYTES];

  if (quota == 0 || guaranteed <= quota)
    return;
  snprintf (path, sizeof path, "%.200s.quota.%s", team_path, field);
  em_add (checker->messages, yi_line (checker->index, path),
          "%s: %u is less than the %" G_GUINT64_FORMAT
          " that the team's guarantees add up to",
          path, quota, guaranteed);
}

static void
check_guarantees (const struct checker *checker, const char *team_path,
                  const struct env_team *team)
{
  char path[YI_PATH_SIZE_BYTES];
  struct ed_totals totals;
  struct sc_mapping mapping;

  for (uint32_t i = 0; i < team->guarantees_count; i++)
    {
      snprintf (path, sizeof path, "%.200s.guarantees[%u]", team_path, i);
      mapping = mapping_at (checker, path, &team->guarantees[i]);
      env_check_guarantee (&mapping);
      check_worker_span (checker, path, &team->guarantees[i]);
    }
  totals = ed_totals (team);
  check_quota (checker, team_path, "accelerators", totals.accelerators,
               team->quota.accelerators);
  check_quota (checker, team_path, "cpus_milli", totals.cpus_milli,
               team->quota.cpus_milli);
  check_quota (checker, team_path, "memory_mb", totals.memory_mb,
               team->quota.memory_mb);
}

static void
check_teams (const struct checker *checker)
{
  struct env_document *document = checker->document;
  char path[YI_PATH_SIZE_BYTES];
  char name_path[YI_PATH_SIZE_BYTES];
  struct sc_mapping mapping;
  GHashTable *seen = create_seen_table ();

  for (uint32_t i = 0; i < document->teams_count; i++)
    {
      snprintf (path, sizeof path, "teams[%u]", i);
      mapping = mapping_at (checker, path, &document->teams[i]);
      env_check_team (&mapping);
      check_unique (checker, seen, g_strdup (document->teams[i].name),
                    yi_join (name_path, path, "name"),
                    document->teams[i].name);
      check_guarantees (checker, path, &document->teams[i]);
    }
  g_hash_table_destroy (seen);
}

/* --- Services --- */

static void
check_service (const struct checker *checker, const char *path,
               const struct env_service *service)
{
  char field[YI_PATH_SIZE_BYTES];

  if (service->deadline_ms > service->deadline_max_ms)
    em_add (checker->messages,
            yi_line (checker->index, yi_join (field, path, "deadline_ms")),
            "%s: %u is more than deadline_max_ms, %u", field,
            service->deadline_ms, service->deadline_max_ms);
  if (service->connections < service->slots)
    em_add (checker->messages,
            yi_line (checker->index, yi_join (field, path, "connections")),
            "%s: %u connections cannot fill %u slots", field,
            service->connections, service->slots);
}

static void
check_services (const struct checker *checker)
{
  struct env_document *document = checker->document;
  char path[YI_PATH_SIZE_BYTES];
  char name_path[YI_PATH_SIZE_BYTES];
  struct sc_mapping mapping;
  GHashTable *seen = create_seen_table ();

  for (uint32_t i = 0; i < document->services_count; i++)
    {
      snprintf (path, sizeof path, "services[%u]", i);
      mapping = mapping_at (checker, path, &document->services[i]);
      env_check_service (&mapping);
      check_service (checker, path, &document->services[i]);
      check_unique (checker, seen, g_strdup (document->services[i].name),
                    yi_join (name_path, path, "name"),
                    document->services[i].name);
    }
  g_hash_table_destroy (seen);
}

/* --- Objectives --- */

static void
check_objective_team (const struct checker *checker, const char *parent,
                      const struct env_objective *objective)
{
  char path[YI_PATH_SIZE_BYTES];

  if (env_team (checker->document, objective->team) != NULL)
    return;
  yi_join (path, parent, "team");
  em_add (checker->messages, yi_line (checker->index, path),
          "%s: there is no team '%.63s'", path, objective->team);
}

static void
check_objectives (const struct checker *checker)
{
  struct env_document *document = checker->document;
  const struct env_objective *objective;
  char path[YI_PATH_SIZE_BYTES];
  char *shown;
  struct sc_mapping mapping;
  GHashTable *seen = create_seen_table ();

  for (uint32_t i = 0; i < document->objectives_count; i++)
    {
      objective = &document->objectives[i];
      snprintf (path, sizeof path, "objectives[%u]", i);
      mapping = mapping_at (checker, path, &document->objectives[i]);
      env_check_objective (&mapping);
      check_objective_team (checker, path, objective);
      shown = g_strdup_printf ("%s, %s", objective->team, objective->kind);
      check_unique (checker, seen, g_strdup (shown), path, shown);
      g_free (shown);
    }
  g_hash_table_destroy (seen);
}

void
ec_check_document (struct env_document *document, const struct yi_index *index,
                   struct env_messages *messages)
{
  struct checker checker
      = { .document = document, .index = index, .messages = messages };
  struct sc_mapping whole = mapping_at (&checker, "", document);

  env_check_document (&whole);
  check_teams (&checker);
  check_services (&checker);
  check_objectives (&checker);
}
