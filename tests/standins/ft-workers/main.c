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
  COUNT = 50,
  RACK_SIZE = 8,
  CPUS = 128,
  MEMORY_MB = 256 * 1024,
  ACCELERATORS = 8,
  ACCELERATOR_LIMIT = 63, /* bits of a mask */
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
handle (void *ctx, struct fl_instance *instance, struct hs_request *request)
{
  (void)ctx;
  wc_handle (fl_data (instance), request);
}

static void
control (void *ctx, struct fl_instance *instance, const json_t *command)
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
down (void *ctx, struct fl_instance *instance)
{
  struct wc_calls *calls = fl_data (instance);

  (void)ctx;
  wc_drop_all (calls);
  wk_down (wc_worker (calls));
}

static void
up (void *ctx, struct fl_instance *instance)
{
  (void)ctx;
  wk_up (wc_worker (fl_data (instance)));
}

/* Racks are numbered through all data centres, and dealt out to them.  */
static json_t *
host_json (const struct options *options, const struct wk_params *worker,
           uint32_t index, char **data_centres)
{
  uint32_t data_centre_count = MAX (g_strv_length (data_centres), 1);
  uint32_t rack_size = MAX (sn_number (options->rack_size), 1);
  uint32_t last = (sn_number (options->count) - 1) / rack_size + 1;
  uint32_t rack = index / rack_size;
  char *rack_name = fl_label ("r", rack + 1, last);
  json_t *host
      = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I}", "name", worker->name,
                   "kind", "worker", "state", "live", "data_centre",
                   data_centres[rack % data_centre_count], "rack", rack_name,
                   "cpus_milli", (json_int_t)worker->cpus_milli, "memory_mb",
                   (json_int_t)worker->memory_mb, "accelerators",
                   (json_int_t)worker->accelerators);

  g_free (rack_name);
  return host;
}

static int
add_all (struct fl_fleet *fleet, GPtrArray *workers,
         const struct options *options, struct wk_params *params)
{
  gchar **data_centres = g_strsplit (options->data_centres->sval[0], ",", 0);
  uint32_t count = sn_number (options->count);
  int error = FL_OK;
  struct wc_calls *calls;
  char *name;
  uint32_t i;

  for (i = 0; i < count && error == FL_OK; i++)
    {
      name = fl_label (options->prefix->sval[0], i + 1, count);
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
free_worker (gpointer data)
{
  struct wc_calls *calls = data;
  struct wk_worker *worker = wc_worker (calls);

  wc_free (calls);
  wk_free (worker);
}

static int
run (const struct options *options, struct wk_params *worker)
{
  GPtrArray *workers = g_ptr_array_new_with_free_func (free_worker);
  struct fl_params params = { .loop = worker->loop,
                              .address = options->args.address->sval[0],
                              .port = (uint16_t)sn_number (options->args.port),
                              .hosts_url = options->hosts_url->sval[0],
                              .label = "worker",
                              .connection_limit = CONNECTION_LIMIT,
                              .body_limit_bytes = BODY_LIMIT_BYTES,
                              .handle = handle,
                              .control = control,
                              .down = down,
                              .up = up };
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
  struct options options
      = { .count = sn_int ("count", COUNT, "workers"),
          .prefix = sn_str ("name-prefix", "w", "of the workers' names"),
          .rack_size = sn_int ("rack-size", RACK_SIZE, "workers of a rack"),
          .data_centres = sn_str ("data-centres", "local", "names, by commas"),
          .cpus = sn_int ("cpus", CPUS, "processors of a worker"),
          .memory_mb = sn_int ("memory-mb", MEMORY_MB, "of a worker"),
          .accelerators = sn_int ("accelerators", ACCELERATORS, "of a worker"),
          .usage_lag_ms = sn_int ("usage-lag-ms", 0, "age of usage reports"),
          .hosts_url = sn_str ("hosts-url", NULL, "host list to register at"),
          .history = sn_history (),
          .seed = sn_seed () };
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
  params.cpus_milli = sn_number (options.cpus) * CPU_MILLI;
  params.memory_mb = sn_number (options.memory_mb);
  params.accelerators
      = MIN (sn_number (options.accelerators), ACCELERATOR_LIMIT);
  params.usage_lag_ms = sn_number (options.usage_lag_ms);
  params.random = g_rand_new_with_seed (sn_number (options.seed));
  status = run (&options, &params);
  g_rand_free (params.random);

done:
  hf_close (params.history);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
