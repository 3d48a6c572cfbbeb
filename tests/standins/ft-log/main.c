/* ft-log: stand-in for the platform's append-only log.  */

#include <glib.h>
#include <stdio.h>

#include "log_service.h"
#include "standins/common/standin.h"

enum
{
  DEFAULT_APPENDS_PER_S = 300
};

static int
serve (const struct lo_params *params)
{
  struct lo_service *service;

  if (lo_create (&service, params) != 0)
    {
      fprintf (stderr, "ft-log: cannot listen\n");
      return 1;
    }
  sn_print_listening (lo_port (service));
  sn_run_until_signal (params->loop);
  lo_free (service);
  return 0;
}

int
main (int argc, char **argv)
{
  struct sn_args args;
  struct arg_int *rate = sn_int_option ("appends-per-second",
                                        DEFAULT_APPENDS_PER_S, "0: no limit");
  struct arg_int *retention_ms = sn_int_option (
      "retention-ms", 0, "age at which records expire; 0: never");
  struct arg_int *retention_records = sn_int_option (
      "retention-records", 0, "records kept of a stream; 0: all");
  struct arg_str *history = sn_history_option ();
  struct arg_int *seed = sn_seed_option ();
  struct lo_params params = { .loop = EV_DEFAULT };
  int status;

  sn_args_init (&args);
  void *table[]
      = { args.address, args.port, rate,      retention_ms, retention_records,
          history,      seed,      args.help, args.end };
  status = sn_args_parse (argc, argv, table, &args);
  if (status >= 0)
    goto done;
  status = 1;
  params.history = hf_open (history->sval[0]);
  if (params.history == NULL)
    goto done;
  params.address = args.address->sval[0];
  params.port = (uint16_t)sn_option_number (args.port);
  params.appends_per_s = sn_option_number (rate);
  params.retention.age_limit_ms = sn_option_number (retention_ms);
  params.retention.record_limit = sn_option_number (retention_records);
  params.random = g_rand_new_with_seed (sn_option_number (seed));
  status = serve (&params);
  g_rand_free (params.random);

done:
  hf_close (params.history);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
