/* check: validates an environment document, without calling any host.  */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "cli.h"
#include "config/environment_diff.h"
#include "config/messages.h"
#include "ctl.h"
#include "feasibility.h"
#include "print.h"

/* Result of checking one document.  */
struct result
{
  const char *path;
  char digest[ENV_DIGEST_SIZE_BYTES];
  struct env_document *document; /* NULL: the document is not valid */
  struct env_messages messages;
};

static json_t *
messages_json (const struct env_messages *messages)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < messages->count; i++)
    json_array_append_new (array, json_pack ("{s:i, s:s}", "line",
                                             (int)messages->items[i].line,
                                             "text", messages->items[i].text));
  return array;
}

static json_t *
teams_json (const struct env_document *document)
{
  json_t *array = json_array ();
  const struct env_team *team;
  struct ed_totals totals;

  for (uint32_t i = 0; document != NULL && i < document->teams_count; i++)
    {
      team = &document->teams[i];
      totals = ed_totals (team);
      json_array_append_new (
          array, json_pack ("{s:s, s:i, s:b, s:i, s:I, s:I, s:I}", "team",
                            team->name, "weight", (int)team->weight,
                            "may_borrow", team->may_borrow, "request_slots",
                            (int)team->request_slots, "accelerators",
                            (json_int_t)totals.accelerators, "cpus_milli",
                            (json_int_t)totals.cpus_milli, "memory_mb",
                            (json_int_t)totals.memory_mb));
    }
  return array;
}

static void
print_json (const struct result *result)
{
  json_t *json
      = json_pack ("{s:s, s:b, s:s, s:o, s:o}", "file", result->path, "good",
                   result->document != NULL, "digest", result->digest,
                   "messages", messages_json (&result->messages), "teams",
                   teams_json (result->document));

  pr_json (json);
  json_decref (json);
}

static void
print_text (const struct result *result)
{
  static const struct pr_column columns[] = {
    { "TEAM", "team" },
    { "WEIGHT", "weight" },
    { "BORROWS", "may_borrow" },
    { "REQUEST-SLOTS", "request_slots" },
    { "ACCELERATORS", "accelerators" },
    { "CPUS-MILLI", "cpus_milli" },
    { "MEMORY-MB", "memory_mb" },
  };
  const struct env_document *document = result->document;
  json_t *teams;

  if (document == NULL)
    {
      cli_print_messages (result->path, &result->messages);
      return;
    }
  teams = teams_json (document);
  printf ("%s: good\n", result->path);
  printf ("environment %s: teams %u, services %u, objectives %u\n",
          document->environment, document->teams_count,
          document->services_count, document->objectives_count);
  printf ("digest: %s\n\nGuaranteed in whole:\n", result->digest);
  pr_table (teams, columns, G_N_ELEMENTS (columns));
  json_decref (teams);
}

/* If workers were given on the command line and the guarantees do not fit
   them, adds a message and drops the document.  */
static void
check_guarantees_fit (struct result *result, const struct fs_worker_pool *pool)
{
  char text[PLACE_TEXT_SIZE_BYTES];

  if (result->document == NULL || pool->workers == 0
      || fs_check (result->document, pool, text))
    return;
  em_add (&result->messages, 0, "%s", text);
  env_free (result->document);
  result->document = NULL;
}

static int
check_file (const char *path, const struct fs_worker_pool *pool, bool json)
{
  struct result result = { .path = path };
  char *text = NULL;
  size_t size_bytes;
  int code;

  if (!cli_read_file (path, ENV_DOCUMENT_LIMIT_BYTES, &text, &size_bytes))
    return CTL_USAGE;
  env_digest (text, size_bytes, result.digest);
  env_parse (&result.document, text, size_bytes, &result.messages);
  check_guarantees_fit (&result, pool);
  if (json)
    print_json (&result);
  else
    print_text (&result);
  code = result.document != NULL ? CTL_DONE : CTL_USAGE;
  env_messages_clear (&result.messages);
  env_free (result.document);
  g_free (text);
  return code;
}

int
cmd_check (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE",
                                     "environment document, - for standard "
                                     "input");
  struct fs_args pool_args = fs_args ();
  struct cli_common common = cli_common ();
  void *table[] = { file,
                    pool_args.workers,
                    pool_args.rack_size,
                    pool_args.cpus_milli,
                    pool_args.memory_mb,
                    pool_args.accelerators,
                    common.json,
                    common.help,
                    common.version,
                    common.end };
  struct fs_worker_pool pool;
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE && !fs_worker_pool (&pool_args, &pool))
    code = CTL_USAGE;
  if (code == CLI_CONTINUE)
    code = check_file (file->filename[0], &pool, common.json->count > 0);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
