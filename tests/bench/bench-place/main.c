/* bench-place: measures the placement core; prints a table, then one line of
   JSON.  With --fast: only the planned size.  */

#include <stdio.h>
#include <string.h>

#include "bench.h"

enum
{
  WORKERS = 3300,
  ACCELERATORS = 6200,
  TASKS = 45000,
  TEAMS = 320,
  FEW_TEAMS = 4,
  QUEUED = 500
};

static const struct bp_size FULL
    = { WORKERS, ACCELERATORS, TASKS, TEAMS, QUEUED };

static void
print_result (const char *what, const struct bp_result *r, GString *json)
{
  g_print ("%-9s %5u %5u %6u %4u %5u  %7.2f  %6.0f %6.0f %7.0f  %6.0f %7.0f"
           "  %7.0f %7.0f\n",
           what, r->size.workers, r->size.accelerators, r->running_tasks,
           r->size.teams, r->size.queued, (double)r->state_bytes / 1e6,
           r->placement.p50_us, r->placement.p99_us, r->placement.max_us,
           r->reclaim.p99_us, r->loss.p99_us, r->mass_cancellation_us,
           r->takeover_us);
  g_string_append_printf (
      json,
      "%s{\"what\":\"%s\",\"workers\":%u,\"accelerators\":%u,\"tasks\":%u,"
      "\"teams\":%u,\"queued\":%u,\"state_bytes\":%" G_GUINT64_FORMAT
      ",\"placement_p50_us\":%.1f,\"placement_p99_us\":%.1f,"
      "\"placement_max_us\":%.1f,\"reclaim_p99_us\":%.1f,"
      "\"loss_p99_us\":%.1f,\"wave_us\":%.1f,\"takeover_us\":%.1f}",
      json->str[json->len - 1] == '[' ? "" : ",", what, r->size.workers,
      r->size.accelerators, r->running_tasks, r->size.teams, r->size.queued,
      r->state_bytes, r->placement.p50_us, r->placement.p99_us,
      r->placement.max_us, r->reclaim.p99_us, r->loss.p99_us,
      r->mass_cancellation_us, r->takeover_us);
}

static struct bp_result
measure (const char *what, const struct bp_size *size, GString *json)
{
  struct bp_cluster *cluster = bp_cluster_new (size, 42);
  struct bp_result result;

  bp_measure (cluster, &result);
  bp_cluster_free (cluster);
  print_result (what, &result, json);
  return result;
}

static void
print_slope (const char *per, double units, const struct bp_result *small,
             const struct bp_result *full, GString *json)
{
  double bytes
      = ((double)full->state_bytes - (double)small->state_bytes) / units;
  double us = (full->placement.p99_us - small->placement.p99_us) / units;

  g_print ("per %-6s  %8.1f bytes  %8.4f us of placement p99\n", per, bytes,
           us);
  g_string_append_printf (
      json, "%s{\"per\":\"%s\",\"bytes\":%.2f,\"placement_p99_us\":%.5f}",
      json->str[json->len - 1] == '[' ? "" : ",", per, bytes, us);
}

static void
measure_slopes (const struct bp_result *full, GString *json, GString *slopes)
{
  struct bp_size size = FULL;
  struct bp_result workers;
  struct bp_result tasks;
  struct bp_result teams;

  size.tasks = TASKS / 4;
  tasks = measure ("tasks/4", &size, json);
  size.workers = WORKERS / 2;
  workers = measure ("workers/2", &size, json);
  size = FULL;
  size.teams = FEW_TEAMS;
  teams = measure ("few teams", &size, json);
  size.queued = 0;
  measure ("no queue", &size, json);
  print_slope ("task", (double)full->running_tasks - tasks.running_tasks,
               &tasks, full, slopes);
  print_slope ("worker", WORKERS - WORKERS / 2.0, &workers, &tasks, slopes);
  print_slope ("team", TEAMS - FEW_TEAMS, &teams, full, slopes);
}

int
main (int argc, char **argv)
{
  g_autoptr (GString) json = g_string_new ("{\"sizes\":[");
  g_autoptr (GString) slopes = g_string_new ("],\"slopes\":[");
  g_autoptr (GString) packing = g_string_new ("],\"packing\":[");
  bool fast = argc > 1 && strcmp (argv[1], "--fast") == 0;
  struct bp_result full;

  g_print ("what      workers accel tasks teams queue  state MB  place "
           "p50/p99/max us  reclaim p99  loss p99  wave  takeover us\n");
  full = measure ("full", &FULL, json);
  if (!fast)
    {
      measure_slopes (&full, json, slopes);
      bp_compare_packing (packing);
    }
  g_print ("%s%s%s]}\n", json->str, slopes->str, packing->str);
  return 0;
}
