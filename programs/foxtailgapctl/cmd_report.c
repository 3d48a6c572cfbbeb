/* report: shows how fast the objectives use their error budgets.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "api.h"
#include "burn_report.h"
#include "cli.h"
#include "ctl.h"
#include "print.h"

/* Queries every entry host that is given.  A host that does not answer is
   named on standard error, because its requests are missing from the
   report.  */
static int
collect_answers (struct api *api, struct br_report *report)
{
  char **hosts = api_hosts (api);
  struct api_answer answer;
  int reached = 0;
  int code = CLI_CONTINUE;
  int host_code;
  int i;

  for (i = 0; hosts[i] != NULL; i++)
    {
      api_select_host (api, i);
      host_code = api_get (api, "/v1/burn", 0, &answer);
      if (host_code != CLI_CONTINUE)
        {
          fprintf (stderr, "entry host %s: not in this report\n", hosts[i]);
          code = host_code;
          continue;
        }
      if (br_add_answer (report, answer.json))
        reached++;
      api_answer_clear (&answer);
    }
  api_select_host (api, -1);
  return reached > 0 ? CLI_CONTINUE : code;
}

static int
write_plot (const struct br_report *report, const char *path)
{
  char *svg = br_svg (report);
  GError *error = NULL;
  int code = CTL_DONE;

  if (!g_file_set_contents (path, svg, -1, &error))
    {
      fprintf (stderr, "foxtailgapctl: %s\n", error->message);
      g_error_free (error);
      code = CTL_USAGE;
    }
  g_free (svg);
  return code;
}

static int
print_report (const struct br_report *report, bool json, const char *plot)
{
  json_t *value;

  if (json)
    {
      value = br_json (report);
      pr_json (value);
      json_decref (value);
    }
  else
    br_print (report);
  return plot == NULL ? CTL_DONE : write_plot (report, plot);
}

static bool
is_known_report (const char *name)
{
  if (strcmp (name, "burn") == 0)
    return true;
  fprintf (stderr, "foxtailgapctl: REPORT must be burn\n");
  return false;
}

int
cmd_report (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_str *name = arg_str1 (NULL, NULL, "REPORT", "burn");
  struct arg_str *plot
      = arg_str0 (NULL, "plot", "FILE", "also writes a plot (SVG)");
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { name,        plot,        hosts.hosts,    hosts.timeout_ms,
                    common.json, common.help, common.version, common.end };
  struct br_report *report = br_create ();
  struct api *api = NULL;
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE && !is_known_report (name->sval[0]))
    code = CTL_USAGE;
  if (code == CLI_CONTINUE)
    code = api_open_args (&api, &hosts);
  if (code == CLI_CONTINUE)
    code = collect_answers (api, report);
  if (code == CLI_CONTINUE)
    code
        = print_report (report, common.json->count > 0, cli_text (plot, NULL));
  api_close (api);
  br_free (report);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
