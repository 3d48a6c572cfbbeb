/* Shared by the tests of work that waits beside room for it: workers of 8
   accelerators, and rounds on them.  */

#ifndef FT_ROOM_FIXTURE_H
#define FT_ROOM_FIXTURE_H

#include "hostd_fixture.h"

enum
{
  STEP_MS = 50,
  ACCELERATORS = 8,
  CPUS_MILLI = 128000,
  MEMORY_MIB = 262144,
  POLL_MS = 500,
  STANDING_MAX_MS = 3000 /* the platform's */
};

struct scene
{
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  int64_t now_ms;
  uint32_t jobs;
};

static inline void
set_up (struct scene *scene, uint32_t workers, uint32_t workers_per_rack)
{
  struct sd_params params = { .remote_slowdown_factor = 3,
                              .stop_max_ms = 200,
                              .reserved_tasks_per_100_workers = 50,
                              .starts_per_round = 256 };
  uint32_t i;

  *scene = (struct scene){ .table = jb_table_create (),
                           .catalog = fixture_catalog (),
                           .now_ms = STEP_MS };
  scene->catalog->queues[1].attempt_limit = 3;
  scene->sched = sd_create (&params, scene->table);
  sd_set_catalog (scene->sched, scene->catalog);
  for (i = 0; i < workers; i++)
    {
      char *id = g_strdup_printf ("w%02u", i);
      char *rack = g_strdup_printf ("r%u", i / workers_per_rack);

      fixture_worker (scene->sched, id, rack, ACCELERATORS)->report.resources
          = (struct jb_resources){ .cpus_milli = CPUS_MILLI,
                                   .memory_mib = MEMORY_MIB,
                                   .accelerators = ACCELERATORS };
      g_free (rack);
      g_free (id);
    }
}

static inline void
tear_down (struct scene *scene)
{
  sd_free (scene->sched);
  jb_table_free (scene->table);
  ct_catalog_free (scene->catalog);
}

static inline struct jb_spec *
make_spec (const struct fixture_step *step, int64_t cpus_milli)
{
  struct jb_spec *spec = fixture_spec ("batch", "clinic", step);

  spec->steps[0].resources.cpus_milli = cpus_milli;
  spec->steps[0].resources.memory_mib = 2 * cpus_milli;
  spec->steps[0].estimate_ms = 5000;
  return spec;
}

static inline struct jb_job *
add_job (struct scene *scene, struct jb_spec *spec)
{
  char id[JB_ID_DIGITS + 1];
  struct jb_job *job;

  g_snprintf (id, sizeof id, "%016x", ++scene->jobs);
  job = jb_table_add (scene->table, id, spec, scene->now_ms);
  sd_job_added (scene->sched, job);
  return job;
}

static inline void
hold_round (struct scene *scene)
{
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  guint i;

  sd_round (scene->sched, scene->now_ms, 0, &commands);
  for (i = 0; i < commands.starts->len; i++)
    sd_task_running (scene->sched, g_ptr_array_index (commands.starts, i),
                     scene->now_ms);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  scene->now_ms += STEP_MS;
}

#endif
