/* explain: reconstructs the history of a job from the logs of hosts.  */

#include <glib.h>
#include <stdio.h>

#include "cli.h"
#include "ctl.h"
#include "explain.h"
#include "print.h"

enum
{
  LOG_FILE_LIMIT = 256,
  LOG_LIMIT_BYTES = 1024 * 1024 * 1024
};

static bool
load_logs (GPtrArray *files, const struct arg_file *paths)
{
  int i;

  for (i = 0; i < paths->count; i++)
    {
      char *text = NULL;
      size_t size_bytes;

      if (!cli_read_file (paths->filename[i], LOG_LIMIT_BYTES, &text,
                          &size_bytes))
        return false;
      g_ptr_array_add (files, lf_parse (paths->filename[i], text));
      g_free (text);
    }
  lf_align_clocks (files);
  return true;
}

static void
warn_unaligned_clocks (const GPtrArray *files)
{
  guint i;

  for (i = 0; i < files->len; i++)
    {
      const struct lf_file *file = g_ptr_array_index (files, i);

      if (!file->clock_aligned)
        fprintf (stderr,
                 "%s: shares no configuration or planner term with the "
                 "first log; its times are not aligned\n",
                 file->host);
    }
}

static int
print_explanation (GPtrArray *files, const char *id, bool json)
{
  struct ex_report *report = ex_explain (files, id);
  int code = report->outcome == EX_OUTCOME_UNSEEN ? CTL_FAILED : CTL_DONE;
  json_t *value;

  if (json)
    {
      value = ex_json (report, id);
      pr_json (value);
      json_decref (value);
    }
  else
    ex_print (report, id);
  ex_free (report);
  return code;
}

int
cmd_explain (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "of the job");
  struct arg_file *paths
      = arg_filen (NULL, NULL, "FILE", 1, LOG_FILE_LIMIT, "logs of the hosts");
  struct cli_common common = cli_common ();
  void *table[]
      = { id, paths, common.json, common.help, common.version, common.end };
  GPtrArray *files = g_ptr_array_new_with_free_func (lf_free);
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE && !load_logs (files, paths))
    code = CTL_USAGE;
  if (code == CLI_CONTINUE)
    {
      warn_unaligned_clocks (files);
      code = print_explanation (files, id->sval[0], common.json->count > 0);
    }
  g_ptr_array_free (files, TRUE);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
