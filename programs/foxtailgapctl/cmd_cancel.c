/* cancel: ends a job, queued or running.  */

#include <glib.h>
#include <stdio.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "job_view.h"
#include "print.h"

enum
{
  STATUS_OK = 200,
  STATUS_ACCEPTED = 202
};

static int
cancel (struct api *api, const char *id, bool json)
{
  char *path = jv_path ("/v1/jobs/", id);
  struct api_request request
      = { .method = "DELETE", .path = path, .retry_safety = API_REPEATABLE };
  struct api_answer answer = { 0 };
  int error = api_call (api, &request, &answer);
  int code = CTL_DONE;

  g_free (path);
  if (error != API_OK)
    return api_report_error (error);
  if (answer.status != STATUS_OK && answer.status != STATUS_ACCEPTED)
    code = api_report_refusal (&answer);
  else if (json && answer.json != NULL)
    pr_json (answer.json);
  else
    printf ("job %s: %s\n", id,
            answer.status == STATUS_OK ? "cancelled" : "being cancelled");
  api_answer_clear (&answer);
  return code;
}

int
cmd_cancel (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "of the job");
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { id,          hosts.hosts,    hosts.timeout_ms, common.json,
                    common.help, common.version, common.end };
  struct api *api = NULL;
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE)
    code = api_open_args (&api, &hosts);
  if (code == CLI_CONTINUE)
    code = cancel (api, id->sval[0], common.json->count > 0);
  api_close (api);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
