/* Measures the rounds of lib/sched under load: a fleet that is full, and many
   jobs that wait, as in a burst.  Each round one percent of what runs ends,
   and as many new jobs arrive.

   Usage: bench-rounds WORKERS JOBS ROUNDS [EXAMINED [uneven]]
   With EXAMINED above 0 also surveys of what waits that examine as many steps.
   With `uneven` each third worker is faster, which the rounds learn.  */

#include <assert.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "sched/sched.h"

enum
{
  RACK_WORKERS = 20,
  QUEUES = 3,
  ROUND_MS = 20,
  POLL_ROUNDS = 50
};

/* Of a queue's jobs; sizes of the large Association's deployment.  */
struct shape
{
  const char *queue;
  uint32_t priority;
  uint32_t tasks;
  int64_t cpus_milli;
  int64_t accelerators;
  bool gang;
  uint32_t work_ms;
};

static const struct shape shapes[QUEUES]
    = { { "match", 0, 8, 15000, 2, true, 2500 },
        { "plan", 1, 26, 52000, 4, true, 6800 },
        { "settle", 2, 78, 11000, 1, false, 9500 } };

struct bench
{
  struct sd_sched *sched;
  struct jb_table *table;
  struct ct_catalog *catalog;
  uint32_t jobs;
  bool uneven;
  int64_t now_ms;
};

static void
create_catalog (struct bench *bench)
{
  struct ct_catalog *catalog = g_new0 (struct ct_catalog, 1);
  size_t i;

  catalog->version = 1;
  catalog->queue_count = QUEUES;
  catalog->queues = g_new0 (struct ct_queue, QUEUES);
  for (i = 0; i < QUEUES; i++)
    catalog->queues[i] = (struct ct_queue){ .name = g_strdup (shapes[i].queue),
                                            .host_header = g_strdup ("h"),
                                            .path_prefix = g_strdup ("/q/"),
                                            .service = g_strdup ("desk"),
                                            .priority = shapes[i].priority,
                                            .attempt_limit = 3,
                                            .slack_factor = 2.0,
                                            .target_ms = 1000 };
  catalog->team_count = 1;
  catalog->teams = g_new0 (struct ct_team, 1);
  catalog->teams[0] = (struct ct_team){ .name = g_strdup ("team"),
                                        .keys = g_new0 (char *, 1),
                                        .guaranteed_accelerators = 400 };
  /* Else only workers with recent reports would get starts.  */
  catalog->service_count = 1;
  catalog->services = g_new0 (struct ct_service, 1);
  catalog->services[0] = (struct ct_service){ .name = g_strdup ("desk"),
                                              .enforces_capacity = true };
  ct_index_queues (catalog);
  bench->catalog = catalog;
  sd_set_catalog (bench->sched, catalog);
}

static void
add_worker (struct bench *bench, uint32_t number)
{
  struct sd_worker_report report = {
    .id = g_strdup_printf ("i-%08x", number * 2654435761U),
    .address = g_strdup ("127.0.0.1:1"),
    .service = g_strdup ("desk"),
    .data_centre = g_strdup ("dc"),
    .rack = g_strdup_printf ("r%u", number / RACK_WORKERS),
    .labels = g_new0 (char *, 1),
    .resources
    = { .cpus_milli = 128000, .memory_mib = 524288, .accelerators = 8 }
  };

  sd_worker_set_reachability (sd_worker_listed (bench->sched, &report, 0),
                              SD_WORKER_REACHABLE);
}

static void
add_job_of (struct bench *bench, const struct shape *shape)
{
  struct jb_spec *spec = g_new0 (struct jb_spec, 1);
  char id[JB_ID_DIGITS + 1];

  g_snprintf (id, sizeof id, "%016x", bench->jobs++);
  spec->queue = g_strdup (shape->queue);
  spec->team = g_strdup ("team");
  spec->text = g_strdup ("work");
  spec->occurrence_count = 1;
  spec->step_count = 1;
  spec->steps = g_new0 (struct jb_step_spec, 1);
  spec->steps[0].count = shape->tasks;
  spec->steps[0].resources
      = (struct jb_resources){ .cpus_milli = shape->cpus_milli,
                               .memory_mib = 1000,
                               .accelerators = shape->accelerators };
  spec->steps[0].estimate_ms = shape->work_ms;
  spec->steps[0].gang = shape->gang;
  spec->steps[0].one_rack = shape->gang && bench->jobs % 2 == 0;
  sd_job_added (bench->sched,
                jb_table_add (bench->table, id, spec, bench->now_ms));
}

static void
add_job (struct bench *bench)
{
  add_job_of (bench, &shapes[bench->jobs % QUEUES]);
}

static uint32_t
hold_round (struct bench *bench)
{
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  uint32_t starts;
  guint i;

  sd_round (bench->sched, bench->now_ms, 0, &commands);
  for (i = 0; i < commands.starts->len; i++)
    sd_task_running (bench->sched, g_ptr_array_index (commands.starts, i),
                     bench->now_ms);
  for (i = 0; i < commands.stops->len; i++)
    sd_task_ended (bench->sched, g_ptr_array_index (commands.stops, i),
                   SD_OUTCOME_STOPPED, "", bench->now_ms, 0);
  starts = commands.starts->len;
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  return starts;
}

/* Ends one task on each hundredth worker, with its gang.  */
static void
end_some_tasks (struct bench *bench, uint32_t round)
{
  const GPtrArray *workers = sd_workers (bench->sched);
  guint i;

  for (i = round % 100; i < workers->len; i += 100)
    {
      struct sd_worker *worker = g_ptr_array_index (workers, i);

      if (worker->tasks->len > 0)
        sd_task_ended (bench->sched, g_ptr_array_index (worker->tasks, 0),
                       SD_OUTCOME_DONE, "", bench->now_ms, 0);
    }
}

/* Reports the progress of all that runs, by the speeds of the workers.  */
static void
report_progress (struct bench *bench)
{
  const GPtrArray *workers = sd_workers (bench->sched);
  guint i;
  guint k;

  for (i = 0; i < workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (workers, i);

      for (k = 0; k < worker->tasks->len; k++)
        {
          struct jb_task *task = g_ptr_array_index (worker->tasks, k);
          int64_t percent = (bench->now_ms - task->started_ms)
                            * (i % 3 == 2 ? 17 : 7) * 10
                            / task->step->spec->estimate_ms;

          sd_task_progress (bench->sched, task, MIN (percent, 99),
                            bench->now_ms);
        }
    }
}

/* Holds rounds and prints how long they took.  */
static void
measure (struct bench *bench, const char *name, uint32_t rounds)
{
  int64_t longest_us = 0;
  int64_t total_us = 0;
  uint32_t starts = 0;
  uint32_t i;

  assert (rounds > 0);
  for (i = 0; i < rounds; i++)
    {
      int64_t before_us;
      int64_t took_us;

      if (bench->uneven && i % POLL_ROUNDS == 0)
        report_progress (bench);
      before_us = g_get_monotonic_time ();
      starts += hold_round (bench);
      took_us = g_get_monotonic_time () - before_us;
      total_us += took_us;
      longest_us = MAX (longest_us, took_us);
      end_some_tasks (bench, i);
      bench->now_ms += ROUND_MS;
      if (i % 4 == 0)
        add_job (bench);
    }
  printf ("%s workers=%u known_speeds=%u%s jobs=%u rounds=%u starts=%u "
          "mean_us=%" G_GINT64_FORMAT " longest_us=%" G_GINT64_FORMAT "\n",
          name, sd_workers (bench->sched)->len, sd_speeds (bench->sched).known,
          sd_speeds (bench->sched).uneven ? " (uneven)" : "", bench->jobs,
          rounds, starts, total_us / rounds, longest_us);
}

/* Surveys what waits, as the planner does each second, and prints how long
   that took.  */
static void
measure_waiting (struct bench *bench, uint32_t examined_max)
{
  int64_t longest_us = 0;
  int64_t total_us = 0;
  uint32_t surveys = 20;
  uint32_t listed = 0;
  uint32_t i;

  for (i = 0; i < surveys; i++)
    {
      int64_t before_us;
      int64_t took_us;
      GArray *found;

      bench->now_ms += SD_WAITING_MIN_MS;
      hold_round (bench);
      before_us = g_get_monotonic_time ();
      found = sd_survey_waiting (bench->sched, examined_max, bench->now_ms, 0);
      took_us = g_get_monotonic_time () - before_us;
      listed = found->len;
      g_array_free (found, TRUE);
      total_us += took_us;
      longest_us = MAX (longest_us, took_us);
    }
  printf (
      "waiting examined_max=%u listed=%u surveys=%u mean_us=%" G_GINT64_FORMAT
      " longest_us=%" G_GINT64_FORMAT "\n",
      examined_max, listed, surveys, total_us / surveys, longest_us);
}

int
main (int argc, char **argv)
{
  uint32_t workers = argc > 1 ? (uint32_t)atoi (argv[1]) : 1100;
  uint32_t jobs = argc > 2 ? (uint32_t)atoi (argv[2]) : 400;
  uint32_t rounds = MAX (argc > 3 ? atoi (argv[3]) : 100, 1);
  uint32_t examined_max = argc > 4 ? (uint32_t)atoi (argv[4]) : 0;
  struct sd_params params = { .remote_slowdown_factor = 3,
                              .stop_max_ms = 200,
                              .reserved_tasks_per_100_workers = 50,
                              .starts_per_round = 256 };
  struct bench bench = { .table = jb_table_create (), .now_ms = ROUND_MS };
  uint32_t i;

  bench.uneven = argc > 5 && strcmp (argv[5], "uneven") == 0;
  bench.sched = sd_create (&params, bench.table);
  create_catalog (&bench);
  for (i = 0; i < workers; i++)
    add_worker (&bench, i);
  for (i = 0; i < jobs; i++)
    add_job (&bench);
  measure (&bench, "mixed", rounds);
  for (i = 0; i < jobs / 2; i++)
    add_job_of (&bench, &shapes[0]);
  measure (&bench, "burst", rounds);
  if (examined_max > 0)
    measure_waiting (&bench, examined_max);
  sd_free (bench.sched);
  jb_table_free (bench.table);
  ct_catalog_free (bench.catalog);
  return 0;
}
