/* Shared by the tests of the host daemon and of lib/sched: jobs, a
   configuration, workers, and a fake port for calls to workers.  */

#ifndef FT_HOSTD_FIXTURE_H
#define FT_HOSTD_FIXTURE_H

#include <CUnit/CUnit.h>
#include <string.h>

#include "common/clock.h"
#include "jobs/catalog.h"
#include "jobs/model.h"
#include "sched/sched.h"
#include "worker/worker_port.h"

/* --- Queues --- */

enum
{
  FIXTURE_QUEUES = 2
};

/* `urgent`, or `batch`, of less priority; to be freed by ct_queue_free ().  */
static inline struct ct_queue *
fixture_queue (uint32_t index)
{
  const struct ct_queue queue
      = { .name = (char *)(index == 0 ? "urgent" : "batch"),
          .host_header = (char *)"h",
          .path_prefix = (char *)(index == 0 ? "/q/" : "/batch/"),
          .service = (char *)"desk",
          .priority = index,
          .attempt_limit = 2,
          .slack_factor = 3.0,
          .target_ms = 1000 };

  return ct_queue_copy (&queue);
}

/* @return : the queue of this name, as a job is stored with it; NULL: there is
   none.  */
static inline struct ct_queue *
fixture_queue_config (const char *name)
{
  uint32_t i;

  for (i = 0; i < FIXTURE_QUEUES; i++)
    {
      struct ct_queue *queue = fixture_queue (i);

      if (strcmp (queue->name, name) == 0)
        return queue;
      ct_queue_free (queue);
    }
  return NULL;
}

/* --- Jobs --- */

/* The one step of a job; each task needs 1 processor and 1000 MiB.  */
struct fixture_step
{
  uint32_t count;
  int64_t accelerators;
  bool gang;
  bool one_rack;
};

static inline struct jb_spec *
fixture_spec (const char *queue, const char *team,
              const struct fixture_step *step)
{
  struct jb_spec *spec = g_new0 (struct jb_spec, 1);

  spec->queue = g_strdup (queue);
  spec->queue_config = fixture_queue_config (queue);
  spec->team = g_strdup (team);
  spec->text = g_strdup ("work");
  spec->occurrence_count = 1;
  spec->step_count = 1;
  spec->steps = g_new0 (struct jb_step_spec, 1);
  spec->steps[0].count = step->count;
  spec->steps[0].resources = (struct jb_resources){
    .cpus_milli = 1000, .memory_mib = 1000, .accelerators = step->accelerators
  };
  spec->steps[0].estimate_ms = 1000;
  spec->steps[0].gang = step->gang;
  spec->steps[0].one_rack = step->one_rack;
  return spec;
}

/* Makes SPEC one of a job of another queue.  */
static inline void
fixture_set_queue (struct jb_spec *spec, const char *queue)
{
  g_free (spec->queue);
  ct_queue_free (spec->queue_config);
  spec->queue = g_strdup (queue);
  spec->queue_config = fixture_queue_config (queue);
}

/* --- Configuration --- */

/* Two queues, `urgent` before `batch`, one team with a guarantee, and a
   service whose workers refuse what does not fit.
   @return : to be freed by ct_catalog_free ().  */
static inline struct ct_catalog *
fixture_catalog (void)
{
  struct ct_catalog *catalog = g_new0 (struct ct_catalog, 1);
  size_t i;

  catalog->version = 1;
  catalog->queue_count = FIXTURE_QUEUES;
  catalog->queues = g_new0 (struct ct_queue, FIXTURE_QUEUES);
  for (i = 0; i < FIXTURE_QUEUES; i++)
    {
      struct ct_queue *queue = fixture_queue ((uint32_t)i);

      catalog->queues[i] = *queue;
      g_free (queue);
    }
  catalog->team_count = 1;
  catalog->teams = g_new0 (struct ct_team, 1);
  catalog->teams[0] = (struct ct_team){ .name = g_strdup ("clinic"),
                                        .keys = g_new0 (char *, 1),
                                        .guaranteed_accelerators = 64 };
  catalog->service_count = 1;
  catalog->services = g_new0 (struct ct_service, 1);
  catalog->services[0] = (struct ct_service){ .name = g_strdup ("desk"),
                                              .enforces_capacity = true };
  ct_index_queues (catalog);
  return catalog;
}

/* The next version of fixture_catalog (), in which the operator has removed
   `batch`.  */
static inline struct ct_catalog *
fixture_catalog_without_batch (void)
{
  struct ct_catalog *catalog = fixture_catalog ();

  catalog->version = 2;
  g_hash_table_remove (catalog->queues_by_name, "batch");
  g_hash_table_remove (catalog->queues_by_address, &catalog->queues[1]);
  return catalog;
}

/* --- Workers --- */

/* Adds a worker that is listed and reachable.  */
static inline struct sd_worker *
fixture_worker (struct sd_sched *sched, const char *id, const char *rack,
                int64_t accelerators)
{
  struct sd_worker_report report = {
    .id = g_strdup (id),
    .address = g_strdup ("127.0.0.1:1"),
    .service = g_strdup ("desk"),
    .data_centre = g_strdup ("dc"),
    .rack = g_strdup (rack),
    .labels = g_new0 (char *, 1),
    .resources = { .cpus_milli = 64000,
                   .memory_mib = 64000,
                   .accelerators = accelerators },
  };
  struct sd_worker *worker = sd_worker_listed (sched, &report, 0);

  sd_worker_set_reachability (worker, SD_WORKER_REACHABLE);
  return worker;
}

/* Runs one round.  The starts count as stored, and are not sent.
   @return : how many tasks the round starts.  */
static inline uint32_t
fixture_run_round (struct sd_sched *sched, int64_t now_ms)
{
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  uint32_t starts;

  sd_round (sched, now_ms, 0, &commands);
  starts = commands.starts->len;
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  return starts;
}

/* --- A fake worker port: calls are kept until the test answers them --- */

enum
{
  FAKE_CALLS_MAX = 2048
};

struct fake_call
{
  /* 's' start, 'x' stop, 'p' pace, 'h' lease renewal, which is also the status
     poll */
  char kind;
  bool open;
  char worker[32];
  char task[64];
  uint32_t run;
  int64_t seen;        /* of a renewal: acked_outcome_number */
  int64_t deadline_ms; /* of a start or renewal; negative: poll only */
  uint32_t wait_ms;    /* of a renewal */
  uint64_t term;       /* of a start, stop or renewal */
  uint32_t timeout_ms;
  uint32_t percent;
  wp_callback callback;
  void *ctx;
};

struct fake_port
{
  struct fake_call calls[FAKE_CALLS_MAX];
  size_t count;
};

static inline struct fake_call *
fake_add (struct fake_port *port, char kind, const struct wp_target *target,
          wp_callback callback, void *ctx)
{
  struct fake_call *call = &port->calls[port->count++ % FAKE_CALLS_MAX];

  *call = (struct fake_call){
    .kind = kind, .open = true, .callback = callback, .ctx = ctx
  };
  g_strlcpy (call->worker, target->worker, sizeof call->worker);
  return call;
}

static inline void
fake_start (void *ctx, const struct wp_target *target,
            const struct wp_start *start, uint32_t timeout_ms,
            wp_callback callback, void *callback_ctx)
{
  struct fake_call *call = fake_add (ctx, 's', target, callback, callback_ctx);

  call->timeout_ms = timeout_ms;
  g_strlcpy (call->task, start->task, sizeof call->task);
  call->run = start->run;
  call->deadline_ms = start->deadline_ms;
  call->term = start->term;
}

static inline void
fake_stop (void *ctx, const struct wp_target *target,
           const struct wp_stop *stop, uint32_t timeout_ms,
           wp_callback callback, void *callback_ctx)
{
  struct fake_call *call = fake_add (ctx, 'x', target, callback, callback_ctx);

  call->timeout_ms = timeout_ms;
  g_strlcpy (call->task, stop->task, sizeof call->task);
  call->run = stop->run;
  call->term = stop->term;
}

static inline void
fake_pace (void *ctx, const struct wp_target *target,
           const struct wp_pace *pace, uint32_t timeout_ms,
           wp_callback callback, void *callback_ctx)
{
  struct fake_call *call = fake_add (ctx, 'p', target, callback, callback_ctx);

  call->timeout_ms = timeout_ms;
  g_strlcpy (call->task, pace->task, sizeof call->task);
  call->percent = pace->percent;
}

static inline void
fake_renew (void *ctx, const struct wp_target *target,
            const struct wp_renew *renewal, uint32_t timeout_ms,
            wp_callback callback, void *callback_ctx)
{
  struct fake_call *call = fake_add (ctx, 'h', target, callback, callback_ctx);

  call->timeout_ms = timeout_ms;
  call->wait_ms = renewal->wait_ms;
  call->seen = renewal->acked_outcome_number;
  call->deadline_ms = renewal->lease_deadline_ms;
  call->term = renewal->term;
}

/* The first open call of a kind in the ring of the last FAKE_CALLS_MAX calls;
   NULL if there is none.  It is the oldest one until the ring wraps, after
   which new calls overwrite old slots, also open ones.  */
static inline struct fake_call *
fake_oldest_open_call (struct fake_port *port, char kind)
{
  size_t i;

  for (i = 0; i < port->count && i < FAKE_CALLS_MAX; i++)
    if (port->calls[i].open && port->calls[i].kind == kind)
      return &port->calls[i];
  return NULL;
}

/* Answers CALL.  Lists that ANSWER does not have are empty, and a clock that
   it does not have shows 1000 ms.  */
static inline void
fake_answer (struct fake_call *call, const struct wp_answer *answer)
{
  GArray *none = g_array_new (FALSE, FALSE, sizeof (struct wp_run));
  struct wp_answer whole = *answer;

  CU_ASSERT_PTR_NOT_NULL_FATAL (call);
  if (call == NULL)
    return;
  if (whole.runs == NULL)
    whole.runs = none;
  if (whole.outcomes == NULL)
    whole.outcomes = none;
  if (whole.worker_clock_ms == 0)
    whole.worker_clock_ms = 1000;
  call->open = false;
  call->callback (call->ctx, &whole);
  g_array_free (none, TRUE);
}

/* Answers all open calls as the port does when a worker does not answer.  */
static inline void
fake_answer_all_unresponsive (struct fake_port *port)
{
  struct wp_answer silent = { .result = WP_NO_ANSWER, .worker_clock_ms = -1 };
  size_t i;

  for (i = 0; i < port->count && i < FAKE_CALLS_MAX; i++)
    if (port->calls[i].open)
      fake_answer (&port->calls[i], &silent);
}

static inline struct wp_port
fake_wp_port (struct fake_port *port)
{
  return (struct wp_port){
    .ctx = port,
    .start = fake_start,
    .stop = fake_stop,
    .pace = fake_pace,
    .renew = fake_renew,
  };
}

#endif
