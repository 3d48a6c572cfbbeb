/* bench-log: measures the log client and the folded state.  Only "slopes"
   works without the URL of a log.  Prints one line of JSON, then a table.  */

#include <argtable2.h>
#include <stdio.h>

#include "bench.h"

enum
{
  DEFAULT_RATE_PER_S = 1000,
  DEFAULT_HOSTS = 7,
  DEFAULT_SECONDS = 10,
  DEFAULT_RECORDS = 100000,
  DEFAULT_WINDOW_MS = 3600 * 1000
};

static void
print_table (const char *prefix, const json_t *object)
{
  const char *key;
  json_t *value;
  char name[128];

  json_object_foreach ((json_t *)object, key, value)
  {
    g_snprintf (name, sizeof name, "%s%s%s", prefix,
                prefix[0] == '\0' ? "" : " ", key);
    if (json_is_object (value))
      print_table (name, value);
    else
      printf ("%-52s %14.2f\n", name, json_number_value (value));
  }
}

static uint32_t
option_or_default (const struct arg_int *option, uint32_t fallback)
{
  return option->count > 0 ? (uint32_t)option->ival[0] : fallback;
}

static void
run_measurement (json_t *results, const char *kind, const struct be_run *run)
{
  if (g_strcmp0 (kind, "slopes") == 0)
    json_object_set_new (results, "slopes", be_measure_slopes ());
  else if (g_strcmp0 (kind, "submits") == 0)
    json_object_set_new (results, "submits", be_measure_submits (run));
  else
    json_object_set_new (results, "start", be_measure_start (run));
}

int
main (int argc, char **argv)
{
  struct arg_str *kind
      = arg_str1 (NULL, NULL, "slopes|submits|start", "what to measure");
  struct arg_str *url = arg_str0 (NULL, "log", "URL", "http://IP:PORT");
  struct arg_int *rate = arg_int0 (NULL, "rate", "N", "submits a second");
  struct arg_int *hosts = arg_int0 (NULL, "hosts", "N", NULL);
  struct arg_int *seconds = arg_int0 (NULL, "seconds", "N", NULL);
  struct arg_int *records = arg_int0 (NULL, "records", "N", "of the log");
  struct arg_int *window = arg_int0 (NULL, "window-ms", "N", "of outcomes");
  struct arg_end *end = arg_end (5);
  void *table[] = { kind, url, rate, hosts, seconds, records, window, end };
  struct be_run run = { .loop = EV_DEFAULT };
  struct hc_params http = { .loop = EV_DEFAULT };
  json_t *results = json_object ();
  int status = 1;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "bench-log");
      goto done;
    }
  if (hc_create (&run.http, &http) != HC_OK)
    goto done;
  run.url = url->count > 0 ? url->sval[0] : NULL;
  run.rate_per_s = option_or_default (rate, DEFAULT_RATE_PER_S);
  run.hosts = option_or_default (hosts, DEFAULT_HOSTS);
  run.seconds = option_or_default (seconds, DEFAULT_SECONDS);
  run.records = option_or_default (records, DEFAULT_RECORDS);
  run.outcome_window_ms = option_or_default (window, DEFAULT_WINDOW_MS);
  run_measurement (results, kind->sval[0], &run);
  json_dumpf (results, stdout, JSON_COMPACT | JSON_REAL_PRECISION (6));
  printf ("\n");
  print_table ("", results);
  status = 0;

done:
  if (run.http != NULL)
    hc_free (run.http);
  json_decref (results);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
