/* Shared by the tests of runs that are lost with their workers: a planner's
   calls to workers, and workers that are lost or come back.  */

#ifndef FT_LOSSES_FIXTURE_H
#define FT_LOSSES_FIXTURE_H

#include <unistd.h>

#include "../../programs/foxtailgap-hostd/workers.h"
#include "hostd_fixture.h"
#include "jobs/records.h"

enum
{
  LEASE_MS = 300,
  /* That of a start, which is valid for 1260 ms, and 300 ms.  */
  LEASE_IS_OVER_MS = 1580,
  POLL_AGAIN_MS = 260, /* of an unreachable worker */
  CLOCK_MS = 1000      /* what the workers' clocks show, always */
};

struct setup
{
  struct fake_port port;
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct mt_registry *metrics;
  struct worker_calls *workers;
  uint64_t term;
  uint32_t workers_added;
};

static inline void
on_event (void *ctx)
{
  (void)ctx;
}

/* ABSENCE_MAX_MS: as in wk_params.  */
static inline void
set_up_for_absence (struct setup *setup, uint32_t absence_max_ms)
{
  struct sd_params sched = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };
  struct wk_params workers = {
    .port = fake_wp_port (&setup->port),
    .lease_ttl_ms = LEASE_MS,
    .lease_limit_ms = LEASE_MS,
    .stop_max_ms = 200,
    .absence_max_ms = absence_max_ms,
    .ctx = setup,
    .changed = on_event,
    .fenced = on_event,
  };

  memset (setup, 0, sizeof *setup);
  setup->table = jb_table_create ();
  setup->sched = sd_create (&sched, setup->table);
  setup->catalog = fixture_catalog ();
  sd_set_catalog (setup->sched, setup->catalog);
  setup->metrics = mt_create ();
  workers.sched = setup->sched;
  workers.table = setup->table;
  workers.metrics = setup->metrics;
  setup->workers = wk_create (&workers);
  setup->term = 1;
  wk_begin_term (setup->workers, setup->term, NULL);
  wk_worker_list_read (setup->workers);
}

/* Workers that are not listed any more count as crashed at once.  */
static inline void
set_up (struct setup *setup)
{
  set_up_for_absence (setup, 0);
}

static inline void
tear_down (struct setup *setup)
{
  wk_end_term (setup->workers);
  fake_answer_all_unresponsive (&setup->port);
  wk_free (setup->workers);
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
  mt_free (setup->metrics);
}

static inline struct jb_job *
add_job (struct setup *setup, const char *id, bool gang)
{
  struct fixture_step step
      = { .count = gang ? 2 : 1, .accelerators = 1, .gang = gang };
  struct jb_job *job = jb_table_add (
      setup->table, id, fixture_spec ("batch", "clinic", &step), 0);

  sd_job_added (setup->sched, job);
  return job;
}

static inline struct sd_worker *
worker_of (struct setup *setup, const struct jb_task *task)
{
  return sd_worker_find (setup->sched, task->worker);
}

static inline uint32_t
run_round (struct setup *setup)
{
  return fixture_run_round (setup->sched, clk_monotonic_ms (NULL));
}

/* Sends the start of a placed task, which the worker confirms.  */
static inline void
start_task (struct setup *setup, struct jb_task *task)
{
  wk_start (setup->workers, task);
  fake_answer (fake_oldest_open_call (&setup->port, 's'),
               &(struct wp_answer){ .result = WP_DONE });
}

/* Answers the polls of one worker; those of others stay open.
   STARTED_MS: of the process that answers; 0: not given.  */
static inline void
answer_polls_as (struct setup *setup, const char *worker,
                 enum wp_result result, int64_t started_ms)
{
  struct wp_answer answer
      = { .result = result,
          .worker_started_ms = started_ms,
          .worker_clock_ms = result == WP_DONE ? CLOCK_MS : -1 };
  size_t i;

  wk_send_waiting (setup->workers);
  for (i = 0; i < setup->port.count; i++)
    if (setup->port.calls[i].open && setup->port.calls[i].kind == 'h'
        && strcmp (setup->port.calls[i].worker, worker) == 0)
      fake_answer (&setup->port.calls[i], &answer);
}

static inline void
answer_polls (struct setup *setup, const char *worker, enum wp_result result)
{
  answer_polls_as (setup, worker, result, 0);
}

/* Adds a worker that nothing runs on, and that has answered a poll.  */
static inline struct sd_worker *
add_worker (struct setup *setup)
{
  struct sd_worker *worker;
  char id[16];

  g_snprintf (id, sizeof id, "w%u", setup->workers_added++);
  worker = fixture_worker (setup->sched, id, "r1", 8);
  sd_worker_set_reachability (worker, SD_WORKER_UNSEEN);
  answer_polls (setup, id, WP_DONE);
  return worker;
}

/* WORKER stops answering, and the store's list drops it.  */
static inline void
lose_worker (struct setup *setup, const struct sd_worker *worker)
{
  answer_polls (setup, worker->report.id, WP_NO_ANSWER);
  sd_worker_unlisted (setup->sched, worker->report.id);
}

/* Another process answers at the address of a lost worker.  */
static inline void
answer_by_another_process (struct setup *setup, const struct sd_worker *worker)
{
  usleep (1000 * POLL_AGAIN_MS);
  answer_polls (setup, worker->report.id, WP_WRONG_WORKER);
}

static inline void
wait_for_lease (struct setup *setup)
{
  usleep (1000 * LEASE_IS_OVER_MS);
  wk_send_waiting (setup->workers);
}

/* As a new planner does: the jobs are as their records say.  */
static inline void
take_over (struct setup *setup, struct jb_job *job)
{
  GByteArray *block = jb_encode_block (job, 0);

  fake_answer_all_unresponsive (&setup->port);
  jb_job_reset_progress (job);
  CU_ASSERT_EQUAL (jb_apply_block (job, 0, block->data, block->len), JB_OK);
  g_byte_array_free (block, TRUE);
  sd_begin_term (setup->sched, clk_monotonic_ms (NULL));
  wk_begin_term (setup->workers, ++setup->term, NULL);
  wk_worker_list_read (setup->workers);
}

#endif
