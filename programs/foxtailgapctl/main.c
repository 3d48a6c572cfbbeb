/* foxtailgapctl: finds and runs the subcommand.  */

#include <stdio.h>
#include <string.h>

#include "common/version.h"
#include "ctl.h"

static const struct ctl_command commands[] = {
  { "check", "checks an environment document", cmd_check },
  { "digest", "shows the digest of a file", cmd_digest },
  { "diff", "shows what differs between two documents", cmd_diff },
  { "plan", "shows what a document would change", cmd_plan },
  { "apply", "puts a reviewed document in force", cmd_apply },
  { "promote", "takes a trial environment's document to production",
    cmd_promote },
  { "rollback", "puts an earlier document in force, as a new revision",
    cmd_rollback },
  { "history", "lists the revisions of the configuration", cmd_history },
  { "status", "shows the entry hosts and their revisions", cmd_status },
  { "request", "sends one request to a service", cmd_request },
  { "outcome", "shows what became of a request", cmd_outcome },
  { "submit", "submits a job", cmd_submit },
  { "job", "shows one job", cmd_job },
  { "jobs", "lists jobs", cmd_jobs },
  { "cancel", "cancels a job", cmd_cancel },
  { "workers", "lists the workers", cmd_workers },
  { "report", "shows what objectives have used of their error budgets",
    cmd_report },
  { "explain", "tells what became of a job, by logs of hosts", cmd_explain },
  { "log-level", "sets the log level of the entry hosts", cmd_log_level },
};

enum
{
  COMMAND_COUNT = sizeof commands / sizeof *commands
};

static void
print_help (void)
{
  printf ("Usage: foxtailgapctl SUBCOMMAND [ARGUMENTS]\n"
          "       foxtailgapctl SUBCOMMAND --help\n"
          "       foxtailgapctl --help | --version\n"
          "\n"
          "Subcommands:\n");
  for (int i = 0; i < COMMAND_COUNT; i++)
    printf ("  %-10s %s\n", commands[i].name, commands[i].summary);
  printf ("\n"
          "Entry hosts are given by --hosts IP:PORT[,IP:PORT...] or by the\n"
          "environment variable FOXTAILGAP_HOSTS.\n"
          "\n"
          "Exit codes: 0 done, 1 refused by the system, 2 wrong arguments or\n"
          "input file, 3 no entry host answered, 4 outcome not known, 5 ran\n"
          "and failed.\n");
}

static const struct ctl_command *
find_command (const char *name)
{
  for (int i = 0; i < COMMAND_COUNT; i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

int
main (int argc, char **argv)
{
  const struct ctl_command *command;

  if (argc < 2)
    {
      fprintf (stderr, "foxtailgapctl: a subcommand is missing; see "
                       "foxtailgapctl --help\n");
      return CTL_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      print_help ();
      return CTL_DONE;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      printf ("foxtailgapctl %s\n", FT_VERSION);
      return CTL_DONE;
    }
  command = find_command (argv[1]);
  if (command == NULL)
    {
      fprintf (stderr,
               "foxtailgapctl: there is no subcommand '%s'; see "
               "foxtailgapctl --help\n",
               argv[1]);
      return CTL_USAGE;
    }
  return command->run (command, argc - 1, argv + 1);
}
