/* Shows what putting a document in force would change.  */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "config/environment_diff.h"
#include "plan.h"
#include "print.h"

/* Compares with an empty document if no document is in force yet.  */
static struct ed_changes
changes_of (const struct env_document *before,
            const struct env_document *after)
{
  struct env_document empty
      = { .environment = after->environment, .rules = after->rules };

  return ed_diff (before != NULL ? before : &empty, after);
}

/* --- Guarantees before and after --- */

static json_t *
totals_json (const struct env_team *team)
{
  struct ed_totals totals = ed_totals (team);

  return json_pack ("{s:I, s:I, s:I}", "accelerators",
                    (json_int_t)totals.accelerators, "cpus_milli",
                    (json_int_t)totals.cpus_milli, "memory_mb",
                    (json_int_t)totals.memory_mb);
}

static const struct env_team *
find_team (const struct env_document *document, const char *name)
{
  return document != NULL ? env_team (document, name) : NULL;
}

static json_t *
guarantee_json (const char *name, const struct env_team *before,
                const struct env_team *after)
{
  return json_pack ("{s:s, s:o, s:o}", "team", name, "before",
                    totals_json (before), "after", totals_json (after));
}

static json_t *
guarantees_json (const struct env_document *before,
                 const struct env_document *after)
{
  json_t *array = json_array ();
  const char *name;

  for (uint32_t i = 0; i < after->teams_count; i++)
    {
      name = after->teams[i].name;
      json_array_append_new (
          array,
          guarantee_json (name, find_team (before, name), &after->teams[i]));
    }
  for (uint32_t i = 0; before != NULL && i < before->teams_count; i++)
    {
      name = before->teams[i].name;
      if (env_team (after, name) == NULL)
        json_array_append_new (array,
                               guarantee_json (name, &before->teams[i], NULL));
    }
  return array;
}

static json_t *
format_before_after (const json_t *row, const char *key)
{
  json_int_t before = 0;
  json_int_t after = 0;

  json_unpack ((json_t *)row, "{s:{s:I}, s:{s:I}}", "before", key, &before,
               "after", key, &after);
  if (before == after)
    return json_sprintf ("%" JSON_INTEGER_FORMAT, after);
  return json_sprintf ("%" JSON_INTEGER_FORMAT " -> %" JSON_INTEGER_FORMAT,
                       before, after);
}

static void
print_guarantees (const json_t *guarantees)
{
  static const struct pr_column columns[] = {
    { "TEAM", "team" },
    { "ACCELERATORS", "accelerators" },
    { "CPUS-MILLI", "cpus_milli" },
    { "MEMORY-MB", "memory_mb" },
  };
  json_t *rows = json_array ();
  json_t *row;
  json_t *shown;
  size_t i;

  json_array_foreach (guarantees, i, row)
  {
    shown = json_object ();
    json_object_set (shown, "team", json_object_get (row, "team"));
    for (size_t column = 1; column < G_N_ELEMENTS (columns); column++)
      json_object_set_new (shown, columns[column].key,
                           format_before_after (row, columns[column].key));
    json_array_append_new (rows, shown);
  }
  printf ("\nGuaranteed in whole:\n");
  pr_table (rows, columns, G_N_ELEMENTS (columns));
  json_decref (rows);
}

/* --- Hosts --- */

/* The hosts and their revisions; empty if no host answers.  */
static json_t *
hosts_json (struct api *api)
{
  struct api_answer answer = { 0 };
  json_t *hosts = NULL;

  if (api_get (api, "/v1/status", 0, &answer) == CLI_CONTINUE)
    hosts = json_incref (json_object_get (answer.json, "hosts"));
  api_answer_clear (&answer);
  return hosts != NULL ? hosts : json_array ();
}

static void
print_hosts (const json_t *hosts)
{
  static const struct pr_column columns[]
      = { { "HOST", "host" }, { "REVISION", "revision" } };

  printf ("\nIn force now:\n");
  pr_table (hosts, columns, G_N_ELEMENTS (columns));
}

/* --- Whole plan --- */

static void
print_base (const struct live_revision *live)
{
  char *time;

  if (live->revision == 0)
    {
      printf ("base: 0 (no configuration is in force)\n");
      return;
    }
  time = pr_time (live->time_ms);
  printf ("base: %" G_GUINT64_FORMAT " (by %s, %s, digest %s)\n",
          live->revision, live->author, time, live->digest);
  g_free (time);
}

static void
print_plan (const struct live_revision *live, const struct plan_document *next,
            const struct ed_changes *changes, const json_t *guarantees,
            const json_t *hosts, const char *apply_command)
{
  print_base (live);
  printf ("document: %s (digest %s)\n\nChanges:\n", next->name, next->digest);
  pr_changes (changes);
  print_guarantees (guarantees);
  print_hosts (hosts);
  printf ("\nNothing was written.  To put just this in force:\n"
          "  %s --base %" G_GUINT64_FORMAT " --digest %s\n",
          apply_command, live->revision, next->digest);
}

void
plan_show (struct api *api, const struct live_revision *live,
           const struct plan_document *next, const char *apply_command,
           bool json)
{
  struct ed_changes changes = changes_of (live->document, next->document);
  json_t *guarantees = guarantees_json (live->document, next->document);
  json_t *hosts = hosts_json (api);
  json_t *root;

  if (json)
    {
      root = json_pack ("{s:I, s:s, s:s, s:o, s:O, s:O}", "base",
                        (json_int_t)live->revision, "base_digest",
                        live->digest, "digest", next->digest, "changes",
                        pr_changes_json (&changes), "guarantees", guarantees,
                        "hosts", hosts);
      pr_json (root);
      json_decref (root);
    }
  else
    print_plan (live, next, &changes, guarantees, hosts, apply_command);
  json_decref (hosts);
  json_decref (guarantees);
  ed_clear (&changes);
}
