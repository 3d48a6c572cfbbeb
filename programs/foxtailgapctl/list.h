/* Subcommands that send one GET request to an entry host and print the
   answer.  Prefix: list_.  */

#ifndef FT_LIST_H
#define FT_LIST_H

#include <jansson.h>

#include "ctl.h"

struct list_page
{
  const char *path;                   /* of the GET request */
  void (*print) (const json_t *json); /* prints the answer for people */
};

/*! list_run () :
 *  Runs a subcommand that has no arguments of its own.
 *  @return : the exit code. */
int list_run (const struct ctl_command *command, int argc, char **argv,
              const struct list_page *page);

#endif
