/* job: shows a job's state and the output of its tasks, or why it waits.  */

#include <glib.h>
#include <stdio.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "job_view.h"
#include "print.h"

static int
show_why (struct api *api, const char *id, bool json)
{
  struct api_answer answer;
  char *path = jv_path ("/v1/explain/", id);
  int code = api_get (api, path, 0, &answer);
  char *text;

  g_free (path);
  if (code != CLI_CONTINUE)
    return code;
  if (json)
    pr_json (answer.json);
  else
    {
      text = pr_text (json_object_get (answer.json, "text"));
      printf ("%s\n", text);
      g_free (text);
    }
  api_answer_clear (&answer);
  return CTL_DONE;
}

int
cmd_job (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "of the job");
  struct arg_lit *why
      = arg_lit0 (NULL, "why", "explains why it waits, or where it runs");
  struct arg_lit *wait = arg_lit0 (NULL, "wait", "waits until it has ended");
  struct arg_str *limit
      = arg_str0 (NULL, "wait-limit-ms", "N", "at most (default 3600000)");
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { id,          why,         wait,
                    limit,       hosts.hosts, hosts.timeout_ms,
                    common.json, common.help, common.version,
                    common.end };
  struct api *api = NULL;
  uint64_t limit_ms = 0;
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE
      && !cli_number (limit, 1, CLI_TIMEOUT_MAX_MS, CLI_WAIT_LIMIT_DEFAULT_MS,
                      &limit_ms))
    code = CTL_USAGE;
  if (code == CLI_CONTINUE)
    code = api_open_args (&api, &hosts);
  if (code == CLI_CONTINUE && why->count > 0)
    code = show_why (api, id->sval[0], common.json->count > 0);
  else if (code == CLI_CONTINUE && wait->count > 0)
    code = jv_wait (api, id->sval[0], limit_ms, false, common.json->count > 0);
  else if (code == CLI_CONTINUE)
    code = jv_show (api, id->sval[0], common.json->count > 0);
  api_close (api);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
