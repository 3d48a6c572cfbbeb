/* rollback: puts the document of an earlier revision in force as a new
   revision.  Without --base and --digest it only shows the plan and writes
   nothing.  */

#include <glib.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "live.h"
#include "plan.h"

static int
show_plan (struct api *api, const struct plan_document *next,
           uint64_t revision, bool json)
{
  struct live_revision live;
  char *apply_command;
  int code = live_get (api, &live);

  if (code != CLI_CONTINUE)
    return code;
  apply_command = g_strdup_printf ("foxtailgapctl rollback %" G_GUINT64_FORMAT,
                                   revision);
  plan_show (api, &live, next, apply_command, json);
  g_free (apply_command);
  live_clear (&live);
  return CTL_DONE;
}

static int
roll_back (struct api *api, uint64_t revision, const struct plan_args *plan,
           const struct plan_approval *approval, bool json)
{
  struct plan_document next = { 0 };
  struct live_revision old;
  char *name;
  int code = live_get_revision (api, revision, &old);

  if (code != CLI_CONTINUE)
    return code;
  name = g_strdup_printf ("revision %" G_GUINT64_FORMAT, revision);
  next = (struct plan_document){ .name = name,
                                 .text = old.text,
                                 .size_bytes = old.size_bytes,
                                 .digest = old.digest,
                                 .document = old.document };
  if (approval->given)
    code = plan_apply (api, &next, plan, approval, json);
  else
    code = show_plan (api, &next, revision, json);
  g_free (name);
  live_clear (&old);
  return code;
}

int
cmd_rollback (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_str *to
      = arg_str1 (NULL, NULL, "REV", "revision to take the document of");
  struct plan_args plan = plan_args (false);
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { to,
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
  struct plan_approval approval;
  struct api *api = NULL;
  uint64_t revision = 0;
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE
      && (!cli_number (to, 1, INT64_MAX, 0, &revision)
          || !plan_approval (&plan, &approval)))
    code = CTL_USAGE;
  if (code == CLI_CONTINUE)
    code = api_open_args (&api, &hosts);
  if (code == CLI_CONTINUE)
    code = roll_back (api, revision, &plan, &approval, common.json->count > 0);
  api_close (api);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
