/* foxtailgapctl: the command-line tool of operators and callers.  Each
   subcommand is one file with one entry of the table in main.c.
   Prefix: ctl_.  */

#ifndef FT_CTL_H
#define FT_CTL_H

/* Exit codes; see docs/operators/foxtailgapctl.md.  */
enum ctl_exit
{
  CTL_DONE = 0,
  CTL_REFUSED = 1,   /* by the system; nothing was done */
  CTL_USAGE = 2,     /* wrong arguments or a faulty input file */
  CTL_UNREACHED = 3, /* no entry host answered; nothing was done */
  CTL_UNKNOWN = 4,   /* it may or may not have been done */
  CTL_FAILED = 5     /* it ran to its end and failed, or was cancelled */
};

struct ctl_command
{
  const char *name;
  const char *summary;
  /* argv[0] is the subcommand's name.  */
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
