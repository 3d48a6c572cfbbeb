/* status: shows the entry hosts, the planner and the revisions in force.  */

#include <glib.h>
#include <stdio.h>

#include "ctl.h"
#include "list.h"
#include "print.h"

static void
print_status (const json_t *json)
{
  static const struct pr_column fields[] = {
    { "entry host", "host" },     { "revision", "revision" },
    { "digest", "digest" },       { "planner", "planner" },
    { "term", "term" },           { "log reachable", "log_up" },
    { "folded up to", "offset" },
  };
  static const struct pr_column columns[] = {
    { "HOST", "host" },
    { "REVISION", "revision" },
    { "OFFSET", "offset" },
  };

  pr_fields (json, fields, G_N_ELEMENTS (fields));
  printf ("\n");
  pr_table (json_object_get (json, "hosts"), columns, G_N_ELEMENTS (columns));
}

int
cmd_status (const struct ctl_command *command, int argc, char **argv)
{
  static const struct list_page page
      = { .path = "/v1/status", .print = print_status };

  return list_run (command, argc, argv, &page);
}
