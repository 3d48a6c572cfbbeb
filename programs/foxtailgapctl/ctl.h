/* foxtailgapctl: the command-line tool of operators and callers.  Each
   subcommand has its own file, cmd_NAME.c, and an entry in the table of
   main.c.  Prefix: ctl_.  */

#ifndef FT_CTL_H
#define FT_CTL_H

/* Exit codes; see docs/operators/foxtailgapctl.md.  */
enum ctl_exit
{
  CTL_DONE = 0,
  CTL_REFUSED = 1,     /* an entry host refused the call; nothing was done */
  CTL_USAGE = 2,       /* wrong arguments or a faulty input file */
  CTL_UNREACHABLE = 3, /* no entry host answered; nothing was done */
  CTL_OUTCOME_UNKNOWN = 4, /* the call may or may not have taken effect */
  CTL_FAILED = 5 /* the job or request failed; or the job was cancelled;
                     or explain found no log line about the job */
};

struct ctl_command
{
  const char *name;
  const char *summary; /* completes "foxtailgapctl NAME ..." in the help */
  /* Runs the subcommand; argv[0] is its name.  Returns an exit code.  */
  int (*run) (const struct ctl_command *command, int argc, char **argv);
};

int cmd_check (const struct ctl_command *command, int argc, char **argv);
int cmd_status (const struct ctl_command *command, int argc, char **argv);
int cmd_apply (const struct ctl_command *command, int argc, char **argv);
int cmd_digest (const struct ctl_command *command, int argc, char **argv);
int cmd_diff (const struct ctl_command *command, int argc, char **argv);
int cmd_history (const struct ctl_command *command, int argc, char **argv);
int cmd_request (const struct ctl_command *command, int argc, char **argv);
int cmd_outcome (const struct ctl_command *command, int argc, char **argv);
int cmd_submit (const struct ctl_command *command, int argc, char **argv);
int cmd_job (const struct ctl_command *command, int argc, char **argv);
int cmd_jobs (const struct ctl_command *command, int argc, char **argv);
int cmd_cancel (const struct ctl_command *command, int argc, char **argv);
int cmd_workers (const struct ctl_command *command, int argc, char **argv);
int cmd_plan (const struct ctl_command *command, int argc, char **argv);
int cmd_promote (const struct ctl_command *command, int argc, char **argv);
int cmd_rollback (const struct ctl_command *command, int argc, char **argv);
int cmd_report (const struct ctl_command *command, int argc, char **argv);
int cmd_explain (const struct ctl_command *command, int argc, char **argv);
int cmd_log_level (const struct ctl_command *command, int argc, char **argv);

#endif
