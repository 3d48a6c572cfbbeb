/* ft-workers: stand-in for workers with accelerators, in racks.  */

#include <glib.h>
#include <stdio.h>

#include "standins/common/fleet.h"
#include "standins/common/json_answer.h"
#include "standins/common/standin.h"
#include "worker.h"
#include "worker_calls.h"

enum
{
  DEFAULT_COUNT = 50,
  DEFAULT_RACK_SIZE = 8,
  DEFAULT_CPUS = 128,
  DEFAULT_MEMORY_MB = 256 * 1024,
  DEFAULT_ACCELERATORS = 8,
  ACCELERATOR_LIMIT = 63, /* a JSON integer holds 63 bits of a mask */
  CPU_MILLI = 1000,
  CONNECTION_LIMIT = 512,
  BODY_LIMIT_BYTES = 2 * 1024 * 1024
};

struct options
{
  struct sn_args args;
  struct arg_int *count;
  struct arg_str *prefix;
  struct arg_int *rack_size;
  struct arg_str *data_centres;
  struct arg_int *cpus;
  struct arg_int *memory_mb;
  struct arg_int *accelerators;
  struct arg_int *usage_lag_ms;
  struct arg_str *hosts_url;
  struct arg_str *history;
  struct arg_int *seed;
};

static void
handle_request (void *ctx, struct fl_instance *instance,
                struct hs_request *request)
{
  (void)ctx;
  wc_handle (fl_data (instance), request);
}

static void
apply_command (void *ctx, struct fl_instance *instance, const json_t *command)
{
  struct wk_faults *faults = wk_faults (wc_worker (fl_data (instance)));

  (void)ctx;
  faults->fail_all = ja_flag (command, "fail_all", faults->fail_all);
  faults->refuse_start
      = ja_flag (command, "refuse_start", faults->refuse_start);
  faults->fail_percent
      = (uint32_t)ja_number (command, "fail_percent", faults->fail_percent);
}

static void
on_stopped (void *ctx, struct fl_instance *instance)
{
  struct wc_calls *calls = fl_data (instance);

  (void)ctx;
  wc_drop_all (calls);
  wk_down (wc_worker (calls));
}

static void
on_restarted (void *ctx, struct fl_instance *instance)
{
  (void)ctx;
  wk_up (wc_worker (fl_data (instance)));
}

/* @return : the host list's entry of a worker.  Racks are numbered across all
   data centres and assigned to them in turn.  */
static json_t *
host_json (const struct options *options, const struct wk_params *worker,
           uint32_t index, char **data_centres)
{
  uint32_t data_centre_count = MAX (g_strv_length (data_centres), 1);
  uint32_t rack_size = MAX (sn_option_number (options->rack_size), 1);
  uint32_t last = (sn_option_number (options->count) - 1) / rack_size + 1;
  uint32_t rack = index / rack_size;
  char *rack_name = fl_numbered_name ("r", rack + 1, last);
  json_t *host
      = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I}", "name", worker->name,
                   "kind", "worker", "state", "live", "data_centre",
                   data_centres[rack % data_centre_count], "rack", rack_name,
                   "cpus_milli", (json_int_t)worker->cpus_milli, "memory_mb",
                   (json_int_t)worker->memory_mb, "accelerators",
                   (json_int_t)worker->accelerator_count);

  g_free (rack_name);
  return host;
}

static int
add_all (struct fl_fleet *fleet, GPtrArray *workers,
         const struct options *options, struct wk_params *params)
{
  gchar **data_centres = g_strsplit (options->data_centres->sval[0], ",", 0);
  uint32_t count = sn_option_number (options->count);
  int error = FL_OK;
  struct wc_calls *calls;
  char *name;
  uint32_t i;

  for (i = 0; i < count && error == FL_OK; i++)
    {
      name = fl_numbered_name (options->prefix->sval[0], i + 1, count);
      params->name = name;
      calls = wc_create (params->loop, wk_create (params));
      g_ptr_array_add (workers, calls);
      error = fl_add (fleet, host_json (options, params, i, data_centres),
                      calls);
      g_free (name);
    }
  g_strfreev (data_centres);
  return error;
}

static void
worker_free (gpointer data)
{
  struct wc_calls *calls = data;
  struct wk_worker *worker = wc_worker (calls);

  wc_free (calls);
  wk_free (worker);
}

static int
serve (const struct options *options, struct wk_params *worker)
{
  GPtrArray *workers = g_ptr_array_new_with_free_func (worker_free);
  struct fl_params params
      = { .loop = worker->loop,
          .address = options->args.address->sval[0],
          .port = (uint16_t)sn_option_number (options->args.port),
          .hosts_url = options->hosts_url->sval[0],
          .name_member = "worker",
          .connection_limit = CONNECTION_LIMIT,
          .body_limit_bytes = BODY_LIMIT_BYTES,
          .handle_request = handle_request,
          .apply_command = apply_command,
          .on_stopped = on_stopped,
          .on_restarted = on_restarted };
  struct fl_fleet *fleet = NULL;
  int status = 1;

  if (fl_create (&fleet, &params) == FL_OK
      && add_all (fleet, workers, options, worker) == FL_OK)
    status = fl_run (fleet);
  else
    fprintf (stderr, "ft-workers: cannot listen\n");
  fl_free (fleet);
  g_ptr_array_free (workers, TRUE);
  return status;
}

int
main (int argc, char **argv)
{
  struct options options = {
    .count = sn_int_option ("count", DEFAULT_COUNT, "workers"),
    .prefix = sn_text_option ("name-prefix", "w", "of the workers' names"),
    .rack_size
    = sn_int_option ("rack-size", DEFAULT_RACK_SIZE, "workers of a rack"),
    .data_centres
    = sn_text_option ("data-centres", "local", "names, by commas"),
    .cpus = sn_int_option ("cpus", DEFAULT_CPUS, "processors of a worker"),
    .memory_mb = sn_int_option ("memory-mb", DEFAULT_MEMORY_MB, "of a worker"),
    .accelerators
    = sn_int_option ("accelerators", DEFAULT_ACCELERATORS, "of a worker"),
    .usage_lag_ms = sn_int_option ("usage-lag-ms", 0, "age of usage reports"),
    .hosts_url
    = sn_text_option ("hosts-url", NULL, "host list to register at"),
    .history = sn_history_option (),
    .seed = sn_seed_option ()
  };
  struct wk_params params = { .loop = EV_DEFAULT };
  int status;

  sn_args_init (&options.args);
  void *table[]
      = { options.count,        options.prefix,       options.rack_size,
          options.data_centres, options.cpus,         options.memory_mb,
          options.accelerators, options.usage_lag_ms, options.hosts_url,
          options.args.address, options.args.port,    options.history,
          options.seed,         options.args.help,    options.args.end };
  status = sn_args_parse (argc, argv, table, &options.args);
  if (status >= 0)
    goto done;
  status = 1;
  params.history = hf_open (options.history->sval[0]);
  if (params.history == NULL)
    goto done;
  params.cpus_milli = sn_option_number (options.cpus) * CPU_MILLI;
  params.memory_mb = sn_option_number (options.memory_mb);
  params.accelerator_count
      = MIN (sn_option_number (options.accelerators), ACCELERATOR_LIMIT);
  params.usage_lag_ms = sn_option_number (options.usage_lag_ms);
  params.random = g_rand_new_with_seed (sn_option_number (options.seed));
  status = serve (&options, &params);
  g_rand_free (params.random);

done:
  hf_close (params.history);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
