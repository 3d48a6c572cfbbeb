/* workers: lists the workers and their state.  */

#include "ctl.h"
#include "list.h"
#include "print.h"

static void
print_workers (const json_t *json)
{
  pr_rows (json_object_get (json, "workers"));
}

int
cmd_workers (const struct ctl_command *command, int argc, char **argv)
{
  static const struct list_page page
      = { .path = "/v1/workers", .print = print_workers };

  return list_run (command, argc, argv, &page);
}
