/* ft-upstreams: stand-in for the instances of one service.  */

#include <glib.h>
#include <stdio.h>

#include "standins/common/fleet.h"
#include "standins/common/json_answer.h"
#include "standins/common/standin.h"
#include "upstream.h"

enum
{
  DEFAULT_COUNT = 50,
  DEFAULT_SLOTS = 8,
  DEFAULT_CONNECTIONS = 64,
  DEFAULT_RUN_MS = 20,
  BODY_LIMIT_BYTES = 1024 * 1024
};

struct options
{
  struct sn_args args;
  struct arg_str *service;
  struct arg_str *prefix;
  struct arg_int *count;
  struct arg_int *slots;
  struct arg_int *connections;
  struct arg_int *run_ms;
  struct arg_int *spread_percent;
  struct arg_str *data_centres;
  struct arg_str *hosts_url;
  struct arg_str *history;
  struct arg_int *seed;
};

static void
show_state (const struct up_instance *upstream, struct hs_request *request)
{
  ja_respond (request, 200,
              json_pack ("{s:b,s:b,s:I,s:I}", "leaving",
                         (int)up_is_leaving (upstream), "fail_all",
                         (int)up_fails_all (upstream), "run_ms",
                         (json_int_t)up_run_ms (upstream), "slots_used",
                         (json_int_t)up_slots_used (upstream)));
}

static void
handle_request (void *ctx, struct fl_instance *instance,
                struct hs_request *request)
{
  struct up_instance *upstream = fl_data (instance);

  (void)ctx;
  if (ja_is_call (request, "POST", "/work"))
    up_start_work (upstream, request);
  else if (ja_is_call (request, "GET", "/state"))
    show_state (upstream, request);
  else
    ja_respond_error (request, 404, "not_found", "There is no such call.");
}

static void
apply_command (void *ctx, struct fl_instance *instance, const json_t *command)
{
  struct up_instance *upstream = fl_data (instance);
  bool leaving = ja_flag (command, "leaving", up_is_leaving (upstream));

  (void)ctx;
  up_set_fail_all (upstream,
                   ja_flag (command, "fail_all", up_fails_all (upstream)));
  up_set_run_ms (
      upstream, (uint32_t)ja_number (command, "run_ms", up_run_ms (upstream)));
  if (leaving == up_is_leaving (upstream))
    return;
  up_set_leaving (upstream, leaving);
  fl_set_state (instance, leaving ? "leaving" : "live",
                ja_flag (command, "listed", true));
}

static void
on_stopped (void *ctx, struct fl_instance *instance)
{
  (void)ctx;
  up_drop_all (fl_data (instance));
}

static void
on_restarted (void *ctx, struct fl_instance *instance)
{
  (void)ctx;
  (void)instance;
}

/* @return : PREFIX and the number, or SERVICE-NN without a prefix.  The
   service in the name keeps names of several services apart.  */
static char *
instance_name (const struct options *options, uint32_t number, uint32_t count)
{
  char *prefix = options->prefix->count > 0
                     ? g_strdup (options->prefix->sval[0])
                     : g_strdup_printf ("%s-", options->service->sval[0]);
  char *name = fl_numbered_name (prefix, number, count);

  g_free (prefix);
  return name;
}

static int
add_all (struct fl_fleet *fleet, GPtrArray *upstreams,
         const struct options *options, struct up_params *params)
{
  gchar **data_centres = g_strsplit (options->data_centres->sval[0], ",", 0);
  uint32_t data_centre_count = MAX (g_strv_length (data_centres), 1);
  uint32_t count = sn_option_number (options->count);
  struct up_instance *upstream;
  int error = FL_OK;
  json_t *host;
  uint32_t i;

  for (i = 0; i < count && error == FL_OK; i++)
    {
      char *name = instance_name (options, i + 1, count);
      params->name = name;
      upstream = up_create (params);
      g_ptr_array_add (upstreams, upstream);
      host = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I}", "name",
                        params->name, "kind", "upstream", "state", "live",
                        "data_centre", data_centres[i % data_centre_count],
                        "rack", "", "service", options->service->sval[0],
                        "slots", (json_int_t)params->slots, "connections",
                        (json_int_t)sn_option_number (options->connections));
      error = fl_add (fleet, host, upstream);
      g_free (name);
    }
  g_strfreev (data_centres);
  return error;
}

static void
upstream_free (gpointer upstream)
{
  up_free (upstream);
}

static int
serve (const struct options *options, struct up_params *upstream)
{
  GPtrArray *upstreams = g_ptr_array_new_with_free_func (upstream_free);
  struct fl_params params
      = { .loop = upstream->loop,
          .address = options->args.address->sval[0],
          .port = (uint16_t)sn_option_number (options->args.port),
          .hosts_url = options->hosts_url->sval[0],
          .name_member = "instance",
          .connection_limit = sn_option_number (options->connections),
          .body_limit_bytes = BODY_LIMIT_BYTES,
          .handle_request = handle_request,
          .apply_command = apply_command,
          .on_stopped = on_stopped,
          .on_restarted = on_restarted };
  struct fl_fleet *fleet = NULL;
  int status = 1;

  if (fl_create (&fleet, &params) == FL_OK
      && add_all (fleet, upstreams, options, upstream) == FL_OK)
    status = fl_run (fleet);
  else
    fprintf (stderr, "ft-upstreams: cannot listen\n");
  fl_free (fleet);
  g_ptr_array_free (upstreams, TRUE);
  return status;
}

int
main (int argc, char **argv)
{
  struct options options = {
    .service = sn_text_option ("service", "rounds", "name of the service"),
    .prefix = sn_text_option ("name-prefix", "", "of the instances' names"),
    .count = sn_int_option ("count", DEFAULT_COUNT, "instances"),
    .slots = sn_int_option ("slots", DEFAULT_SLOTS, "requests at once"),
    .connections
    = sn_int_option ("connections", DEFAULT_CONNECTIONS, "at once"),
    .run_ms = sn_int_option ("run-ms", DEFAULT_RUN_MS, "time that work takes"),
    .spread_percent
    = sn_int_option ("run-spread-percent", 0, "run times differ by that much"),
    .data_centres
    = sn_text_option ("data-centres", "local", "names, by commas"),
    .hosts_url
    = sn_text_option ("hosts-url", NULL, "host list to register at"),
    .history = sn_history_option (),
    .seed = sn_seed_option ()
  };
  struct up_params params = { .loop = EV_DEFAULT };
  int status;

  sn_args_init (&options.args);
  void *table[]
      = { options.service,        options.prefix,       options.count,
          options.slots,          options.connections,  options.run_ms,
          options.spread_percent, options.data_centres, options.hosts_url,
          options.args.address,   options.args.port,    options.history,
          options.seed,           options.args.help,    options.args.end };
  status = sn_args_parse (argc, argv, table, &options.args);
  if (status >= 0)
    goto done;
  status = 1;
  params.history = hf_open (options.history->sval[0]);
  if (params.history == NULL)
    goto done;
  params.slots = sn_option_number (options.slots);
  params.run_ms = sn_option_number (options.run_ms);
  params.spread_percent = MIN (sn_option_number (options.spread_percent), 100);
  params.random = g_rand_new_with_seed (sn_option_number (options.seed));
  status = serve (&options, &params);
  g_rand_free (params.random);

done:
  hf_close (params.history);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
