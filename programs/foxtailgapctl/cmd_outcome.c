/* outcome: shows the outcome of a request that runs at most once, found by
   its idempotency key.  */

#include <glib.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "print.h"

static int
show_outcome (struct api *api, const char *key, bool json)
{
  static const struct pr_column fields[] = {
    { "key", "key" },         { "request", "request_id" },
    { "team", "team" },       { "service", "service" },
    { "state", "state" },     { "status", "status" },
    { "message", "message" }, { "answer", "answer" },
  };
  struct api_answer answer;
  char *escaped = g_uri_escape_string (key, NULL, FALSE);
  char *path = g_strdup_printf ("/v1/requests/%s", escaped);
  int code = api_get (api, path, 0, &answer);

  g_free (path);
  g_free (escaped);
  if (code != CLI_CONTINUE)
    return code;
  if (json)
    pr_json (answer.json);
  else
    pr_fields (answer.json, fields, G_N_ELEMENTS (fields));
  api_answer_clear (&answer);
  return CTL_DONE;
}

int
cmd_outcome (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_str *key = arg_str1 (NULL, NULL, "KEY", "idempotency key");
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { key,         hosts.hosts,    hosts.timeout_ms, common.json,
                    common.help, common.version, common.end };
  struct api *api = NULL;
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE)
    code = api_open_args (&api, &hosts);
  if (code == CLI_CONTINUE)
    code = show_outcome (api, key->sval[0], common.json->count > 0);
  api_close (api);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
