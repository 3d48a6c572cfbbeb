/* log-level: sets the log level of each entry host that is given.  */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "print.h"

enum
{
  STATUS_OK_FIRST = 200,
  STATUS_OK_END = 300
};

static int
set_level (struct api *api, const char *host, const char *body, size_t size)
{
  struct api_request request = { .method = "PUT",
                                 .path = "/v1/log-level",
                                 .body = body,
                                 .body_size_bytes = size,
                                 .retry_safety = API_REPEATABLE };
  struct api_answer answer = { 0 };
  int error = api_call (api, &request, &answer);
  int code = CTL_DONE;

  if (error != API_OK)
    return api_report_error (error);
  if (answer.status < STATUS_OK_FIRST || answer.status >= STATUS_OK_END)
    code = api_report_refusal (&answer);
  else
    fprintf (stderr, "entry host %s: set\n", host);
  api_answer_clear (&answer);
  return code;
}

static int
set_level_on_hosts (struct api *api, const char *level, bool json)
{
  char **hosts = api_hosts (api);
  char *body = g_strdup_printf ("{\"level\":\"%s\"}", level);
  json_t *set = json_array ();
  json_t *object;
  int result = CTL_DONE;
  int code;

  for (int i = 0; hosts[i] != NULL; i++)
    {
      api_select_host (api, i);
      code = set_level (api, hosts[i], body, strlen (body));
      if (code == CTL_DONE)
        json_array_append_new (set, json_string (hosts[i]));
      else
        result = code;
    }
  api_select_host (api, -1);
  object = json_pack ("{s:s, s:o}", "level", level, "hosts", set);
  if (json)
    pr_json (object);
  json_decref (object);
  g_free (body);
  return result;
}

static bool
is_level_valid (const char *level)
{
  static const char *const levels[]
      = { "debug", "info", "warning", "error", NULL };

  if (g_strv_contains (levels, level))
    return true;
  fprintf (stderr, "foxtailgapctl: LEVEL must be debug, info, warning or "
                   "error\n");
  return false;
}

int
cmd_log_level (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_str *level
      = arg_str1 (NULL, NULL, "LEVEL", "debug, info, warning or error");
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { level,       hosts.hosts,    hosts.timeout_ms, common.json,
                    common.help, common.version, common.end };
  struct api *api = NULL;
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE && !is_level_valid (level->sval[0]))
    code = CTL_USAGE;
  if (code == CLI_CONTINUE)
    code = api_open_args (&api, &hosts);
  if (code == CLI_CONTINUE)
    code = set_level_on_hosts (api, level->sval[0], common.json->count > 0);
  api_close (api);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
