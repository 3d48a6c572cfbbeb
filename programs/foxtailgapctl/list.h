/* Subcommands that read one page of the interface and print it.
   Prefix: list_.  */

#ifndef FT_LIST_H
#define FT_LIST_H

#include <jansson.h>

#include "ctl.h"

struct list_page
{
  const char *path;
  void (*print) (const json_t *json); /* for people */
};

/*! list_run () :
 *  A whole subcommand without arguments of its own.
 *  @return : the exit code. */
int list_run (const struct ctl_command *command, int argc, char **argv,
              const struct list_page *page);

#endif
