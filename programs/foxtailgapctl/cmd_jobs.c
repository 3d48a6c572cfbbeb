/* jobs: lists jobs, all or those of a team or state.  */

#include <glib.h>
#include <stdio.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "print.h"

static int
show_jobs (struct api *api, const char *team, const char *state, bool json)
{
  static const struct pr_column columns[] = {
    { "JOB", "job" },     { "TEAM", "team" },       { "KIND", "kind" },
    { "STATE", "state" }, { "ATTEMPT", "attempt" }, { "REASON", "reason" },
  };
  struct api_answer answer;
  char *escaped_team = g_uri_escape_string (team, NULL, FALSE);
  char *escaped_state = g_uri_escape_string (state, NULL, FALSE);
  char *path = g_strdup_printf ("/v1/jobs?team=%s&state=%s", escaped_team,
                                escaped_state);
  int code = api_get (api, path, 0, &answer);

  g_free (path);
  g_free (escaped_state);
  g_free (escaped_team);
  if (code != CLI_CONTINUE)
    return code;
  if (json)
    pr_json (answer.json);
  else
    pr_table (json_object_get (answer.json, "jobs"), columns,
              G_N_ELEMENTS (columns));
  api_answer_clear (&answer);
  return CTL_DONE;
}

int
cmd_jobs (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_str *team = arg_str0 (NULL, "team", "NAME", "only this team's");
  struct arg_str *state
      = arg_str0 (NULL, "state", "STATE",
                  "only those queued, placed, running, finished, failed, "
                  "cancelled or refused");
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { team,        state,       hosts.hosts,    hosts.timeout_ms,
                    common.json, common.help, common.version, common.end };
  struct api *api = NULL;
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE)
    code = api_open_args (&api, &hosts);
  if (code == CLI_CONTINUE)
    code = show_jobs (api, cli_text (team, ""), cli_text (state, ""),
                      common.json->count > 0);
  api_close (api);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
