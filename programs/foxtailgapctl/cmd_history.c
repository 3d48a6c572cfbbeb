/* history: lists the revisions of the configuration and their authors.  */

#include <glib.h>

#include "ctl.h"
#include "list.h"
#include "print.h"

static void
print_history (const json_t *json)
{
  static const struct pr_column columns[] = {
    { "REVISION", "revision" }, { "TIME", "time_ms" }, { "AUTHOR", "author" },
    { "DIGEST", "digest" },     { "NOTE", "note" },
  };

  pr_table (json_object_get (json, "revisions"), columns,
            G_N_ELEMENTS (columns));
}

int
cmd_history (const struct ctl_command *command, int argc, char **argv)
{
  static const struct list_page page
      = { .path = "/v1/config/history", .print = print_history };

  return list_run (command, argc, argv, &page);
}
