/* apply: puts a document in force if it is the reviewed one; else does
   nothing.  */

#include <glib.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "plan.h"

static int
apply_file (const char *path, const struct cli_hosts *hosts,
            const struct plan_args *arguments, bool json)
{
  struct cli_document file = { 0 };
  struct plan_document next = { .name = path };
  struct plan_approval approval;
  struct api *api = NULL;
  int code = CTL_USAGE;

  if (!plan_approval (arguments, &approval)
      || !cli_load_document (path, &file))
    return CTL_USAGE;
  next.text = file.text;
  next.size_bytes = file.size_bytes;
  next.digest = file.digest;
  next.document = file.document;
  code = api_open_args (&api, hosts);
  if (code == CLI_CONTINUE)
    code = plan_apply (api, &next, arguments, &approval, json);
  api_close (api);
  cli_clear_document (&file);
  return code;
}

int
cmd_apply (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_file *file
      = arg_file1 (NULL, NULL, "FILE", "environment document");
  struct plan_args plan = plan_args (true);
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { file,
                    plan.base,
                    plan.digest,
                    plan.author,
                    plan.note,
                    plan.wait,
                    plan.wait_limit_ms,
                    hosts.hosts,
                    hosts.timeout_ms,
                    common.json,
                    common.help,
                    common.version,
                    common.end };
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE)
    code = apply_file (file->filename[0], &hosts, &plan,
                       common.json->count > 0);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
