/* diff: compares two documents by their content, not line by line.  */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "cli.h"
#include "config/environment_diff.h"
#include "ctl.h"
#include "print.h"

static void
show_changes (const struct ed_changes *changes, bool json)
{
  json_t *object;

  if (!json)
    {
      pr_changes (changes);
      return;
    }
  object = json_pack ("{s:o}", "changes", pr_changes_json (changes));
  pr_json (object);
  json_decref (object);
}

static int
diff_files (const char *before_path, const char *after_path, bool json)
{
  struct cli_document before = { 0 };
  struct cli_document after = { 0 };
  struct ed_changes changes;
  int code = CTL_USAGE;

  /* & rather than &&: both files are read, so that the errors of both are
     reported.  */
  if (cli_load_document (before_path, &before)
      & cli_load_document (after_path, &after))
    {
      changes = ed_diff (before.document, after.document);
      show_changes (&changes, json);
      ed_clear (&changes);
      code = CTL_DONE;
    }
  cli_clear_document (&before);
  cli_clear_document (&after);
  return code;
}

int
cmd_diff (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_file *before
      = arg_file1 (NULL, NULL, "BEFORE", "environment document");
  struct arg_file *after
      = arg_file1 (NULL, NULL, "AFTER", "environment document");
  struct cli_common common = cli_common ();
  void *table[] = { before,      after,          common.json,
                    common.help, common.version, common.end };
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE)
    code = diff_files (before->filename[0], after->filename[0],
                       common.json->count > 0);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
