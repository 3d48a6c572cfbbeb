/* Tests of the calls to a worker whose open connections have gone silent. */

#include <unistd.h>

#include "../../programs/foxtailgap-hostd/workers.h"
#include "check.h"
#include "hostd_fixture.h"

static const char JOB[] = "00000000000000aa";

enum
{
  LEASE_MS = 6000,
  IDLE_MS = 2700,    /* longer than a poll takes */
  CLOCK_MS = 60000,  /* of the worker */
  STARTED_MS = 1000, /* of the worker's process, any number */
  SHORT_MS = 400     /* a run lasts no longer than a start is valid, 1.2 s, if
                        its worker's lease is not renewed */
};

struct setup
{
  struct fake_port port;
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct mt_registry *metrics;
  struct worker_calls *workers;
  struct sd_worker *worker;
  struct jb_task *task;
};

static void
on_event (void *ctx)
{
  (void)ctx;
}

static void
answer_poll (struct setup *setup, enum wp_result result, bool reused)
{
  fake_answer (fake_oldest_open_call (&setup->port, 'h'),
               &(struct wp_answer){ .result = result,
                                    .reused_connection = reused,
                                    .worker_clock_ms
                                    = result == WP_DONE ? CLOCK_MS : -1,
                                    .worker_started_ms = STARTED_MS });
}

/* A worker that has been idle, and a job of one task that is placed there and
   whose start is sent or waits to be sent.  */
static void
set_up (struct setup *setup, uint32_t idle_ms)
{
  struct sd_params sched = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct wk_params workers = {
    .port = fake_wp_port (&setup->port),
    .lease_ttl_ms = LEASE_MS,
    .lease_limit_ms = LEASE_MS,
    .stop_max_ms = 200,
    .ctx = setup,
    .changed = on_event,
    .fenced = on_event,
  };
  struct jb_job *job;

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
  setup->worker = fixture_worker (setup->sched, "w1", "r1", 8);
  sd_worker_set_reachability (setup->worker, SD_WORKER_UNSEEN);
  wk_begin_term (setup->workers, 1, NULL);
  wk_send_waiting (setup->workers);
  answer_poll (setup, WP_DONE, false);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup->port, 'h'));
  usleep (1000 * idle_ms);
  job = jb_table_add (setup->table, JOB,
                      fixture_spec ("batch", "clinic", &step), 0);
  sd_job_added (setup->sched, job);
  setup->task = &job->tasks[0];
  CU_ASSERT_EQUAL (fixture_run_round (setup->sched, clk_monotonic_ms (NULL)),
                   1);
  wk_start (setup->workers, setup->task);
  wk_send_waiting (setup->workers);
}

static void
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

/* Guards against a run that is killed after 1.2 s: its start arrived on a new
   connection, and the long poll that was to renew the lease was sent on a
   silent one, which showed only after 2.6 s.  */
static void
test_first_poll_after_idle_time_is_short (void)
{
  struct setup setup;

  set_up (&setup, IDLE_MS);
  CU_ASSERT_EQUAL (fake_oldest_open_call (&setup.port, 'h')->wait_ms, 0);
  CU_ASSERT_TRUE (fake_oldest_open_call (&setup.port, 'h')->timeout_ms
                  <= SHORT_MS);
  answer_poll (&setup, WP_DONE, true);
  wk_send_waiting (setup.workers);
  CU_ASSERT_TRUE (fake_oldest_open_call (&setup.port, 'h')->wait_ms
                  > SHORT_MS);
  tear_down (&setup);
}

/* Guards against a start that is not sent again, and waited for until it has
   expired: its worker counted as out of touch.  */
static void
test_silent_connection_does_not_put_worker_out_of_touch (void)
{
  struct setup setup;
  struct fake_call *second;

  set_up (&setup, IDLE_MS);
  answer_poll (&setup, WP_NO_ANSWER, true);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_REACHABLE);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_NO_ANSWER,
                                    .reused_connection = true,
                                    .worker_clock_ms = -1 });
  CU_ASSERT_PTR_NOT_NULL (fake_oldest_open_call (&setup.port, 's'));
  second = fake_oldest_open_call (&setup.port, 'h');
  CU_ASSERT_PTR_NOT_NULL_FATAL (second);
  if (second == NULL)
    return;
  CU_ASSERT_EQUAL (second->wait_ms, 0);
  CU_ASSERT_TRUE (second->timeout_ms <= SHORT_MS);
  CU_ASSERT_TRUE (second->deadline_ms < 0); /* it renews no lease */
  answer_poll (&setup, WP_DONE, false);
  wk_send_waiting (setup.workers);
  CU_ASSERT_TRUE (fake_oldest_open_call (&setup.port, 'h')->deadline_ms > 0);
  tear_down (&setup);
}

/* A worker that answers on no connection is out of touch after two polls.  */
static void
test_second_poll_decides (void)
{
  struct setup setup;

  set_up (&setup, IDLE_MS);
  answer_poll (&setup, WP_NO_ANSWER, true);
  answer_poll (&setup, WP_NO_ANSWER, true);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_UNREACHABLE);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 'h'));
  tear_down (&setup);
}

/* A connection that was new is not at fault.  */
static void
test_poll_on_new_connection_decides (void)
{
  struct setup setup;

  set_up (&setup, 0);
  answer_poll (&setup, WP_NO_ANSWER, false);
  CU_ASSERT_EQUAL (setup.worker->reachability, SD_WORKER_UNREACHABLE);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 'h'));
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "the first poll after idle time is short",
      test_first_poll_after_idle_time_is_short },
    { "a silent connection does not put a worker out of touch",
      test_silent_connection_does_not_put_worker_out_of_touch },
    { "the second poll decides", test_second_poll_decides },
    { "a poll on a new connection decides",
      test_poll_on_new_connection_decides },
  };

  return check_run ("hostd silent", tests, G_N_ELEMENTS (tests));
}
