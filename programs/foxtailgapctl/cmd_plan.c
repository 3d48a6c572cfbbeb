/* plan: shows what a document would change in the configuration in force.  */

#include <glib.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "live.h"
#include "plan.h"

static int
plan_file (struct api *api, const char *path, bool json)
{
  struct cli_document file = { 0 };
  struct plan_document next = { .name = path };
  struct live_revision live;
  char *apply_command;
  int code;

  if (!cli_load_document (path, &file))
    return CTL_USAGE;
  next.text = file.text;
  next.size_bytes = file.size_bytes;
  next.digest = file.digest;
  next.document = file.document;
  code = live_get (api, &live);
  if (code == CLI_CONTINUE)
    {
      apply_command = g_strdup_printf ("foxtailgapctl apply %s", path);
      plan_show (api, &live, &next, apply_command, json);
      g_free (apply_command);
      live_clear (&live);
      code = CTL_DONE;
    }
  cli_clear_document (&file);
  return code;
}

int
cmd_plan (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_file *file
      = arg_file1 (NULL, NULL, "FILE", "environment document");
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { file,        hosts.hosts,    hosts.timeout_ms, common.json,
                    common.help, common.version, common.end };
  struct api *api = NULL;
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE)
    code = api_open_args (&api, &hosts);
  if (code == CLI_CONTINUE)
    code = plan_file (api, file->filename[0], common.json->count > 0);
  api_close (api);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
