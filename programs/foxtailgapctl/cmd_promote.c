/* promote: puts the document that is in force in a trial environment in
   force in production.  Without --base and --digest it only shows the plan
   and writes nothing.  */

#include <glib.h>
#include <stdio.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "live.h"
#include "plan.h"
#include "print.h"

struct arguments
{
  const char *trial_hosts;
  const char *production_hosts;
  struct plan_args plan;
  struct plan_approval approval;
  struct arg_str *timeout_ms;
  bool json;
};

static void
print_trial (const struct live_revision *trial)
{
  char *time = pr_time (trial->time_ms);

  printf ("trial: revision %" G_GUINT64_FORMAT " (by %s, in force since %s)\n",
          trial->revision, trial->author, time);
  g_free (time);
}

static int
show_or_apply (struct api *production, const struct arguments *arguments,
               const struct live_revision *trial)
{
  struct plan_document next = { .name = "the trial's document",
                                .text = trial->text,
                                .size_bytes = trial->size_bytes,
                                .digest = trial->digest,
                                .document = trial->document };
  struct live_revision live;
  char *apply_command;
  int code;

  if (arguments->approval.given)
    return plan_apply (production, &next, &arguments->plan,
                       &arguments->approval, arguments->json);
  code = live_get (production, &live);
  if (code != CLI_CONTINUE)
    return code;
  if (!arguments->json)
    print_trial (trial);
  apply_command
      = g_strdup_printf ("foxtailgapctl promote %s %s", arguments->trial_hosts,
                         arguments->production_hosts);
  plan_show (production, &live, &next, apply_command, arguments->json);
  g_free (apply_command);
  live_clear (&live);
  return CTL_DONE;
}

static int
promote (const struct arguments *arguments)
{
  struct api *trial_api = NULL;
  struct api *production = NULL;
  struct live_revision trial = { 0 };
  uint64_t timeout_ms;
  int error;
  int code = CTL_USAGE;

  if (!cli_number (arguments->timeout_ms, 1, CLI_TIMEOUT_MAX_MS,
                   CLI_TIMEOUT_DEFAULT_MS, &timeout_ms))
    return CTL_USAGE;
  error = api_open (&trial_api, arguments->trial_hosts, (uint32_t)timeout_ms);
  if (error == API_OK)
    error = api_open (&production, arguments->production_hosts,
                      (uint32_t)timeout_ms);
  if (error != API_OK)
    {
      code = api_report_error (error);
      goto out;
    }
  code = live_get (trial_api, &trial);
  if (code != CLI_CONTINUE)
    goto out;
  if (trial.document == NULL)
    {
      fprintf (stderr, "refused: the trial has no configuration in force\n");
      code = CTL_REFUSED;
      goto out;
    }
  code = show_or_apply (production, arguments, &trial);
out:
  live_clear (&trial);
  api_close (trial_api);
  api_close (production);
  return code;
}

int
cmd_promote (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_str *from = arg_str1 (NULL, NULL, "TRIAL-HOSTS",
                                   "entry hosts of the trial, IP:PORT,...");
  struct arg_str *to = arg_str1 (NULL, NULL, "PRODUCTION-HOSTS",
                                 "entry hosts of production, IP:PORT,...");
  struct arguments arguments
      = { .plan = plan_args (false), .timeout_ms = cli_timeout_argument () };
  struct plan_args *plan = &arguments.plan;
  struct cli_common common = cli_common ();
  void *table[] = { from,
                    to,
                    plan->base,
                    plan->digest,
                    plan->author,
                    plan->note,
                    plan->wait,
                    plan->wait_limit_ms,
                    arguments.timeout_ms,
                    common.json,
                    common.help,
                    common.version,
                    common.end };
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE)
    {
      arguments.trial_hosts = from->sval[0];
      arguments.production_hosts = to->sval[0];
      arguments.json = common.json->count > 0;
      code = plan_approval (plan, &arguments.approval) ? promote (&arguments)
                                                       : CTL_USAGE;
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
