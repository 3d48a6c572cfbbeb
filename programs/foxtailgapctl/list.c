/* Subcommands that send one GET request and print the answer.  */

#include "list.h"

#include <glib.h>

#include "api.h"
#include "cli.h"
#include "print.h"

static int
print_page (struct api *api, const struct list_page *page, bool json)
{
  struct api_answer answer;
  int code = api_get (api, page->path, 0, &answer);

  if (code != CLI_CONTINUE)
    return code;
  if (json)
    pr_json (answer.json);
  else
    page->print (answer.json);
  api_answer_clear (&answer);
  return CTL_DONE;
}

int
list_run (const struct ctl_command *command, int argc, char **argv,
          const struct list_page *page)
{
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { hosts.hosts, hosts.timeout_ms, common.json,
                    common.help, common.version,   common.end };
  struct api *api = NULL;
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE)
    code = api_open_args (&api, &hosts);
  if (code == CLI_CONTINUE)
    code = print_page (api, page, common.json->count > 0);
  api_close (api);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
