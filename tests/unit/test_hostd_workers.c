/* Tests of the task of workers: what follows from answers of workers that are
   lost, late or refusals, and the record of leases.  */

#include <unistd.h>

#include "../../programs/foxtailgap-hostd/workers.h"
#include "check.h"
#include "hostd_fixture.h"
#include "jobs/records.h"

static const char JOB[] = "00000000000000aa";

struct setup
{
  struct fake_port port;
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct mt_registry *metrics;
  struct worker_calls *workers;
  struct jb_job *job;
  int fenced;
  bool paused; /* the process was, so that the term may not hold any more */
};

/* Of the next set_up (); 0: no limit.  */
static uint32_t link_bytes_per_s;

/* Has the workers polled that need it, all of which answer.  */
static void
answer_first_polls (struct setup *setup)
{
  struct fake_call *poll;

  for (;;)
    {
      wk_send_waiting (setup->workers);
      poll = fake_oldest_open_call (&setup->port, 'h');
      if (poll == NULL)
        return;
      while ((poll = fake_oldest_open_call (&setup->port, 'h')) != NULL)
        fake_answer (poll, &(struct wp_answer){ .result = WP_DONE });
    }
}

static void
on_changed (void *ctx)
{
  (void)ctx;
}

static void
on_fenced (void *ctx)
{
  struct setup *setup = ctx;

  setup->fenced++;
}

static bool
may_command (void *ctx)
{
  const struct setup *setup = ctx;

  return !setup->paused;
}

static void
set_up (struct setup *setup, uint32_t lease_ttl_ms)
{
  struct sd_params sched = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct wk_params workers = {
    .port = fake_wp_port (&setup->port),
    .lease_ttl_ms = lease_ttl_ms,
    .lease_limit_ms = lease_ttl_ms,
    .stop_max_ms = 200,
    .link_bytes_per_s = link_bytes_per_s,
    .ctx = setup,
    .changed = on_changed,
    .fenced = on_fenced,
    .may_command = may_command,
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
  setup->job = jb_table_add (setup->table, JOB,
                             fixture_spec ("batch", "clinic", &step), 0);
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

/* Adds a reachable worker and has the job's task placed there.  */
static struct jb_task *
place_task_on_reachable_worker (struct setup *setup)
{
  fixture_worker (setup->sched, "w1", "r1", 8);
  wk_begin_term (setup->workers, 1, NULL);
  wk_send_waiting (setup->workers);
  sd_job_added (setup->sched, setup->job);
  CU_ASSERT_EQUAL (fixture_run_round (setup->sched, clk_monotonic_ms (NULL)),
                   1);
  wk_send_waiting (setup->workers);
  fake_answer (fake_oldest_open_call (&setup->port, 'h'),
               &(struct wp_answer){ .result = WP_DONE });
  return &setup->job->tasks[0];
}

static void
place_second_job (struct setup *setup)
{
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct jb_job *job
      = jb_table_add (setup->table, "00000000000000ab",
                      fixture_spec ("batch", "clinic", &step), 0);

  sd_job_added (setup->sched, job);
  CU_ASSERT_EQUAL (fixture_run_round (setup->sched, clk_monotonic_ms (NULL)),
                   1);
}

/* Guards against a task that runs twice: a start without an answer is sent
   again, the second try arrives late and is refused, and the task is started
   on another worker while the first try runs (day trouble-3 of the grown bofl
   site).  */
static void
test_refusal_after_unanswered_try_is_not_final (void)
{
  struct setup setup;
  struct jb_task *task;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_NO_ANSWER });
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DEADLINE_PASSED });
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  CU_ASSERT_EQUAL (task->run, 1);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  tear_down (&setup);
}

/* Guards against a task that waits for 6.4 s, until a lease of the longest
   kind is over: its worker had crashed while it was idle, which shows only
   when the start and the poll find no connection.  */
static void
test_start_without_connection_is_given_up_at_once (void)
{
  struct setup setup;
  struct jb_task *task;
  struct wp_answer unsent = { .result = WP_NOT_SENT, .worker_clock_ms = -1 };

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  fixture_worker (setup.sched, "w2", "r1", 8);
  wk_start (setup.workers, task);
  wk_send_waiting (setup.workers);
  /* The worker is still in touch, and one try may fail for another reason.  */
  fake_answer (fake_oldest_open_call (&setup.port, 's'), &unsent);
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'), &unsent);
  fake_answer (fake_oldest_open_call (&setup.port, 's'), &unsent);
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  CU_ASSERT_STRING_EQUAL (task->worker, "w2");
  tear_down (&setup);
}

/* Guards against some forty tries of a start within 0.85 s, each with a line
   in the log: nobody listens at the worker's address, and its last poll has no
   answer yet.  */
static void
test_start_without_connection_is_tried_three_times (void)
{
  struct setup setup;
  struct jb_task *task;
  struct wp_answer unsent = { .result = WP_NOT_SENT, .worker_clock_ms = -1 };
  int tries = 0;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  while (fake_oldest_open_call (&setup.port, 's') != NULL && tries < 40)
    {
      fake_answer (fake_oldest_open_call (&setup.port, 's'), &unsent);
      tries++;
    }
  CU_ASSERT_EQUAL (tries, 3);
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* A start to a worker that polls find out of touch while the
   placement is being stored.  */
static void
test_start_is_not_sent_to_worker_out_of_touch (void)
{
  struct setup setup;
  struct jb_task *task;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  fixture_worker (setup.sched, "w2", "r1", 8);
  wk_send_waiting (setup.workers);
  fake_answer (
      fake_oldest_open_call (&setup.port, 'h'),
      &(struct wp_answer){ .result = WP_NO_ANSWER, .worker_clock_ms = -1 });
  wk_start (setup.workers, task);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 's'));
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  CU_ASSERT_STRING_EQUAL (task->worker, "w2");
  tear_down (&setup);
}

/* Guards against runs that are waited for 1.5 s longer than needed: a worker
   has crashed, and renewals that find no connection were taken to extend its
   lease.  */
static void
test_renewal_that_is_not_sent_extends_no_lease (void)
{
  struct setup setup;
  struct jb_task *task;
  int64_t sent_ms;

  set_up (&setup, 1000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE });
  usleep (1000 * 3);
  wk_send_waiting (setup.workers);
  sent_ms = clk_monotonic_ms (NULL); /* of a renewal that may have arrived */
  fake_answer (
      fake_oldest_open_call (&setup.port, 'h'),
      &(struct wp_answer){ .result = WP_NO_ANSWER, .worker_clock_ms = -1 });
  while (task->state != JB_TASK_WAITING
         && clk_monotonic_ms (NULL) - sent_ms < 4000)
    {
      wk_send_waiting (setup.workers);
      if (fake_oldest_open_call (&setup.port, 'h') != NULL)
        fake_answer (fake_oldest_open_call (&setup.port, 'h'),
                     &(struct wp_answer){ .result = WP_NOT_SENT,
                                          .worker_clock_ms = -1 });
      usleep (1000 * 5);
    }
  /* The lease of 1000 ms, 3% of it and 300 ms, and not before that.  */
  CU_ASSERT_TRUE (clk_monotonic_ms (NULL) - sent_ms >= 1250);
  CU_ASSERT_TRUE (clk_monotonic_ms (NULL) - sent_ms < 1600);
  tear_down (&setup);
}

/* As above, where a start is what found no connection.  */
static void
test_start_that_is_not_sent_extends_no_lease (void)
{
  struct setup setup;
  struct wp_answer unsent = { .result = WP_NOT_SENT, .worker_clock_ms = -1 };
  struct jb_task *task;
  struct jb_task *second;
  int64_t sent_ms;

  set_up (&setup, 1000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE });
  usleep (1000 * 3);
  wk_send_waiting (setup.workers);
  sent_ms = clk_monotonic_ms (NULL); /* of a renewal that may have arrived */
  usleep (1000 * 500);
  place_second_job (&setup);
  second = jb_table_find_task (setup.table, "00000000000000ab.0.0.0");
  wk_start (setup.workers, second);
  while (fake_oldest_open_call (&setup.port, 's') != NULL)
    fake_answer (fake_oldest_open_call (&setup.port, 's'), &unsent);
  CU_ASSERT_EQUAL (second->state, JB_TASK_WAITING);
  fake_answer (
      fake_oldest_open_call (&setup.port, 'h'),
      &(struct wp_answer){ .result = WP_NO_ANSWER, .worker_clock_ms = -1 });
  while (task->state != JB_TASK_WAITING
         && clk_monotonic_ms (NULL) - sent_ms < 4000)
    {
      wk_send_waiting (setup.workers);
      if (fake_oldest_open_call (&setup.port, 'h') != NULL)
        fake_answer (fake_oldest_open_call (&setup.port, 'h'), &unsent);
      usleep (1000 * 5);
    }
  CU_ASSERT_TRUE (clk_monotonic_ms (NULL) - sent_ms >= 1250);
  CU_ASSERT_TRUE (clk_monotonic_ms (NULL) - sent_ms < 1600);
  tear_down (&setup);
}

/* Guards against a task that runs twice: an earlier try may have arrived.  */
static void
test_start_unsent_after_unanswered_try_may_be_there (void)
{
  struct setup setup;
  struct jb_task *task;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  fake_answer (
      fake_oldest_open_call (&setup.port, 's'),
      &(struct wp_answer){ .result = WP_NO_ANSWER, .worker_clock_ms = -1 });
  usleep (1000 * 870); /* as long as the tries */
  fake_answer (
      fake_oldest_open_call (&setup.port, 's'),
      &(struct wp_answer){ .result = WP_NOT_SENT, .worker_clock_ms = -1 });
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 's'));
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  tear_down (&setup);
}

static void
test_refusal_of_first_try_is_final (void)
{
  struct setup setup;
  struct jb_task *task;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_NO_RESOURCES });
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* Guards against tasks that are never started again: the worker was lost
   before a takeover and is not in the store's list, so the new planner never
   polls it (day scale-2 of anla-rounds).  */
static void
test_runs_known_from_records_end_with_lease (void)
{
  struct setup setup;
  struct jb_task *task;

  set_up (&setup, 500);
  task = &setup.job->tasks[0];
  task->state = JB_TASK_PLACED;
  task->run = 1;
  task->worker = g_strdup ("gone");
  sd_begin_term (setup.sched, clk_monotonic_ms (NULL));
  wk_begin_term (setup.workers, 2, NULL);
  wk_worker_list_read (setup.workers);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  usleep (1000 * 900); /* the lease of 500 ms, 3% and 300 ms */
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* Guards against waiting for a whole lease after a takeover: six workers
   crashed, all hosts lost power 5 s later, and the tasks of these workers were
   started again only 9 s after that (day trouble-1 of anla-rounds, seed
   1).  */
static void
test_recorded_lease_is_not_extended_by_takeover (void)
{
  struct setup setup;
  struct jb_task *task;
  GHashTable *leases = g_hash_table_new (g_str_hash, g_str_equal);

  set_up (&setup, 6000);
  task = &setup.job->tasks[0];
  task->state = JB_TASK_PLACED;
  task->run = 1;
  task->worker = g_strdup ("gone");
  g_hash_table_insert (leases, (char *)"gone", GUINT_TO_POINTER (100));
  sd_begin_term (setup.sched, clk_monotonic_ms (NULL));
  wk_begin_term (setup.workers, 2, leases);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  usleep (1000 * 130);
  wk_send_waiting (setup.workers);
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  g_hash_table_destroy (leases);
  tear_down (&setup);
}

/* Guards against long leases on draining workers: one stopped after it had
   announced that it drains, and its tasks waited for 11 s until its lease of
   10 s was over (mix of bofl-sched, seed 831990988574).  */
static void
test_leases_are_no_longer_than_needed (void)
{
  struct setup setup;
  struct wp_answer good = { .result = WP_DONE, .worker_clock_ms = 1000 };
  int64_t deadline_ms;

  set_up (&setup, 10000);
  place_task_on_reachable_worker (&setup);
  wk_send_waiting (setup.workers);
  deadline_ms = fake_oldest_open_call (&setup.port, 'h')->deadline_ms;
  CU_ASSERT_TRUE (deadline_ms > 6500 && deadline_ms <= 7100);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'), &good);
  sd_worker_find (setup.sched, "w1")->report.draining = true;
  wk_send_waiting (setup.workers);
  deadline_ms = fake_oldest_open_call (&setup.port, 'h')->deadline_ms;
  CU_ASSERT_TRUE (deadline_ms > 4500 && deadline_ms <= 5100);
  tear_down (&setup);
}

static void
poll_without_answer (struct setup *setup)
{
  wk_send_waiting (setup->workers);
  fake_answer (fake_oldest_open_call (&setup->port, 'h'),
               &(struct wp_answer){ .result = WP_NO_ANSWER });
}

/* A worker in the stored record of leases gets no lease renewal and no start,
   for else its lease would end later than recorded.  */
static void
test_recorded_worker_is_renewed_once_removal_is_stored (void)
{
  struct setup setup;
  struct jb_task *task;
  struct wp_answer good = { .result = WP_DONE, .worker_clock_ms = 1000 };
  GHashTable *list;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  wk_send_waiting (setup.workers);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'), &good);
  CU_ASSERT_FALSE (wk_lease_record_is_due (setup.workers));
  usleep (1000 * 1520);
  poll_without_answer (&setup);
  CU_ASSERT_TRUE (wk_lease_record_is_due (setup.workers));
  list = wk_collect_leases (setup.workers);
  CU_ASSERT_EQUAL (g_hash_table_size (list), 1);
  wk_leases_stored (setup.workers, list);
  usleep (1000 * 260);
  wk_send_waiting (setup.workers);
  CU_ASSERT_TRUE (fake_oldest_open_call (&setup.port, 'h')->deadline_ms < 0);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'),
               &good); /* reachable again */
  usleep (1000 * 60);
  wk_send_waiting (setup.workers);
  CU_ASSERT_TRUE (fake_oldest_open_call (&setup.port, 'h')->deadline_ms < 0);
  wk_start (setup.workers, task); /* placed when the worker was reachable */
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 's'));
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  CU_ASSERT_TRUE (wk_lease_record_is_due (setup.workers));
  list = wk_collect_leases (setup.workers);
  CU_ASSERT_EQUAL (g_hash_table_size (list), 0);
  wk_leases_stored (setup.workers, list);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'), &good);
  wk_send_waiting (setup.workers);
  CU_ASSERT_TRUE (fake_oldest_open_call (&setup.port, 'h')->deadline_ms > 0);
  tear_down (&setup);
}

static void
test_leases_are_encoded_and_decoded (void)
{
  GHashTable *leases = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *read = NULL;
  GByteArray *bytes;

  g_hash_table_insert (leases, (char *)"w1", GUINT_TO_POINTER (4321));
  bytes = jb_encode_leases (leases);
  CU_ASSERT_EQUAL (jb_decode_leases (&read, bytes->data, bytes->len), JB_OK);
  CU_ASSERT_EQUAL (GPOINTER_TO_UINT (g_hash_table_lookup (read, "w1")), 4321);
  CU_ASSERT_EQUAL (jb_decode_leases (&leases, (const uint8_t *)"\xff\xff", 2),
                   JB_ERR_FORMAT);
  g_byte_array_free (bytes, TRUE);
  g_hash_table_destroy (read);
  g_hash_table_destroy (leases);
}

static void
poll_worker (struct setup *setup)
{
  wk_send_waiting (setup->workers);
  fake_answer (fake_oldest_open_call (&setup->port, 'h'),
               &(struct wp_answer){ .result = WP_DONE });
}

/* Guards against a gang that runs twice: after a gang had lost a member,
   another member was in neither list of its worker while it was stopping; it
   was taken as gone, and the gang was started again while that member still
   ran (day trouble-3 of anla-rounds, seed 1).  */
static void
test_unlisted_run_is_gone_after_stop_time (void)
{
  struct setup setup;
  struct jb_task *task;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE });
  CU_ASSERT_TRUE (task->confirmed);
  usleep (1000 * 3);
  poll_worker (&setup);
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  poll_worker (&setup);
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  /* The 200 ms of a stop, and 60 ms until the outcome is listed.  */
  usleep (1000 * 280);
  poll_worker (&setup);
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* Plays a worker that lists nothing, and answers each poll once its wait is
   over, until TASK waits again.
   @return : after how many ms it did; LIMIT_MS: it did not.  */
static int64_t
list_nothing_until_given_up (struct setup *setup, const struct jb_task *task,
                             int64_t limit_ms)
{
  int64_t start_ms = clk_monotonic_ms (NULL);
  int64_t poll_due_ms = 0;

  while (task->state != JB_TASK_WAITING
         && clk_monotonic_ms (NULL) - start_ms < limit_ms)
    {
      const struct fake_call *poll;

      wk_send_waiting (setup->workers);
      poll = fake_oldest_open_call (&setup->port, 'h');
      if (poll != NULL && poll_due_ms == 0)
        poll_due_ms = clk_monotonic_ms (NULL) + 2 + (int64_t)poll->wait_ms;
      if (poll != NULL && clk_monotonic_ms (NULL) >= poll_due_ms)
        {
          poll_worker (setup);
          poll_due_ms = 0;
        }
      usleep (1000);
    }
  return clk_monotonic_ms (NULL) - start_ms;
}

/* Guards against a task that waits for seconds although its worker is in
   touch: no try of its start arrived, and the polls that could show that its
   run is not there were answered after their whole wait.  */
static void
test_start_that_did_not_arrive_is_given_up_soon (void)
{
  struct setup setup;
  struct jb_task *task;
  int64_t placed_ms;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  placed_ms = clk_monotonic_ms (NULL);
  wk_start (setup.workers, task);
  wk_send_waiting (setup.workers); /* a poll with the whole wait */
  CU_ASSERT_TRUE (fake_oldest_open_call (&setup.port, 'h')->wait_ms > 1500);
  usleep (1000 * 870); /* as long as the tries */
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_NO_ANSWER });
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 's'));
  usleep (1000 * 1030); /* until that poll is answered */
  poll_worker (&setup);
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  list_nothing_until_given_up (&setup, task, 4000);
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  CU_ASSERT_TRUE (clk_monotonic_ms (NULL) - placed_ms < 2500);
  tear_down (&setup);
}

/* The same where the poll is answered before the start has expired.  */
static void
test_poll_waits_until_a_start_has_expired (void)
{
  struct setup setup;
  struct jb_task *task;
  int64_t placed_ms;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  placed_ms = clk_monotonic_ms (NULL);
  wk_start (setup.workers, task);
  usleep (1000 * 870);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_NO_ANSWER });
  list_nothing_until_given_up (&setup, task, 4000);
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  CU_ASSERT_TRUE (clk_monotonic_ms (NULL) - placed_ms < 2000);
  tear_down (&setup);
}

/* Guards against a task that waits for seconds at a worker that has restarted:
   its run counts as possible until a stop has been carried out and a later
   poll does not list it, and that poll was sent after a whole wait.  */
static void
test_run_of_former_process_is_given_up_soon (void)
{
  struct setup setup;
  struct sd_worker *worker;
  struct jb_task *task;
  struct wp_answer life = { .result = WP_DONE, .worker_started_ms = 1 };
  int64_t seen_ms;

  set_up (&setup, 6000);
  worker = fixture_worker (setup.sched, "w1", "r1", 8);
  sd_worker_set_reachability (worker, SD_WORKER_UNSEEN);
  wk_begin_term (setup.workers, 1, NULL);
  wk_send_waiting (setup.workers);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'), &life);
  sd_job_added (setup.sched, setup.job);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  task = &setup.job->tasks[0];
  wk_start (setup.workers, task);
  usleep (1000 * 870); /* as long as the tries */
  fake_answer_all_unresponsive (&setup.port);
  usleep (1000 * 260);
  poll_without_answer (&setup);
  usleep (1000 * 260);
  life.worker_started_ms = 2;
  wk_send_waiting (setup.workers);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'), &life);
  seen_ms = clk_monotonic_ms (NULL);
  wk_send_waiting (setup.workers);
  fake_answer (fake_oldest_open_call (&setup.port, 'x'),
               &(struct wp_answer){ .result = WP_DONE });
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  list_nothing_until_given_up (&setup, task, 4000);
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  CU_ASSERT_TRUE (clk_monotonic_ms (NULL) - seen_ms < 1000);
  tear_down (&setup);
}

/* Guards against tasks that run again after their end: more than 500 runs had
   ended on one worker while the store was down, and those that the answers had
   no room for were taken as gone (review, case 2).  */
static void
test_run_beyond_a_full_list_of_outcomes_is_not_gone (void)
{
  struct setup setup;
  struct jb_task *task;
  struct wp_answer limited = { .result = WP_DONE, .outcomes_limited = true };

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE });
  usleep (1000 * 3);
  wk_send_waiting (setup.workers); /* sent before the start */
  fake_answer (fake_oldest_open_call (&setup.port, 'h'), &limited);
  wk_send_waiting (setup.workers);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'), &limited);
  usleep (1000 * 280);
  wk_send_waiting (setup.workers);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'), &limited);
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  /* Once the list is whole the run counts as any other that is missing.  */
  poll_worker (&setup);
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  usleep (1000 * 280);
  poll_worker (&setup);
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  tear_down (&setup);
}

/* Has the worker list that a run of the first job's task has ended.
   @return : the number of acknowledged outcomes that the poll carried.  */
static int64_t
list_outcome (struct setup *setup, uint32_t run, int64_t number,
              enum sd_outcome outcome)
{
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (struct wp_outcome));
  struct wp_outcome end = { .number = number,
                            .task = (char *)"00000000000000aa.0.0.0",
                            .run = run,
                            .outcome = outcome,
                            .checkpoint = (char *)"" };
  struct fake_call *poll;
  int64_t seen = -1;

  g_array_append_val (ends, end);
  wk_send_waiting (setup->workers);
  poll = fake_oldest_open_call (&setup->port, 'h');
  CU_ASSERT_PTR_NOT_NULL (poll);
  if (poll != NULL)
    {
      seen = poll->seen;
      fake_answer (poll,
                   &(struct wp_answer){ .result = WP_DONE, .outcomes = ends });
    }
  g_array_free (ends, TRUE);
  return seen;
}

/* Starts the first job's task; then its worker is out of reach until its lease
   is over, so that the run is given up.  */
static struct jb_task *
give_up_run (struct setup *setup)
{
  struct jb_task *task;

  set_up (setup, 300);
  task = place_task_on_reachable_worker (setup);
  wk_start (setup->workers, task);
  fake_answer (fake_oldest_open_call (&setup->port, 's'),
               &(struct wp_answer){ .result = WP_DONE });
  wk_send_waiting (setup->workers);
  fake_answer_all_unresponsive (&setup->port);
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  /* The lease of 300 ms and its margins.  */
  usleep (1000 * 700);
  wk_send_waiting (setup->workers);
  fake_answer_all_unresponsive (&setup->port);
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  usleep (1000 * 300); /* until the next poll */
  return task;
}

/* Guards against a task that runs again after its end: its run had ended on a
   worker out of reach and was given up; while the task waited for resources
   the worker listed the outcome, which was acknowledged and forgotten.  */
static void
test_run_given_up_that_was_done_is_not_started_again (void)
{
  struct setup setup;
  struct jb_task *task = give_up_run (&setup);

  list_outcome (&setup, 1, 1, SD_OUTCOME_DONE);
  CU_ASSERT_EQUAL (task->state, JB_TASK_DONE);
  CU_ASSERT_EQUAL (setup.job->state, JB_COMPLETED);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  tear_down (&setup);
}

/* The same while the next run is placed and its start is not sent yet.  */
static void
test_unsent_start_is_dropped_if_the_run_before_was_done (void)
{
  struct setup setup;
  struct jb_task *task = give_up_run (&setup);

  fixture_worker (setup.sched, "w2", "r1", 8);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  CU_ASSERT_EQUAL (task->run, 2);
  setup.paused = true; /* so that the start waits */
  wk_start (setup.workers, task);
  list_outcome (&setup, 1, 1, SD_OUTCOME_DONE);
  CU_ASSERT_EQUAL (task->state, JB_TASK_DONE);
  setup.paused = false;
  wk_send_waiting (setup.workers);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 's'));
  tear_down (&setup);
}

/* A later run that may have started goes on, and its outcome counts.  */
static void
test_run_given_up_that_was_done_does_not_end_a_later_run (void)
{
  struct setup setup;
  struct jb_task *task = give_up_run (&setup);

  fixture_worker (setup.sched, "w2", "r1", 8);
  answer_first_polls (&setup);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  wk_start (setup.workers, task);
  CU_ASSERT_PTR_NOT_NULL (fake_oldest_open_call (&setup.port, 's'));
  CU_ASSERT_FALSE (sd_given_up_run_done (setup.sched, task, 1, 1));
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  tear_down (&setup);
}

/* Guards against more failed runs than the limit: the outcome of a run that
   had been given up was acknowledged and not counted.  */
static void
test_run_given_up_that_failed_counts_once (void)
{
  struct setup setup;
  struct jb_task *task = give_up_run (&setup);

  list_outcome (&setup, 1, 1, SD_OUTCOME_FAILED);
  CU_ASSERT_EQUAL (task->failures, 1);
  sd_begin_term (setup.sched, clk_monotonic_ms (NULL));
  wk_begin_term (setup.workers, 2, NULL);
  list_outcome (&setup, 1, 1, SD_OUTCOME_FAILED);
  CU_ASSERT_EQUAL (task->failures, 1);
  tear_down (&setup);
}

/* The same if the next run was dropped before its start was sent.  */
static void
test_unsent_run_does_not_hide_that_the_run_before_failed (void)
{
  struct setup setup;
  struct jb_task *task = give_up_run (&setup);

  fixture_worker (setup.sched, "w2", "r1", 8);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  wk_drop_unsent_run (setup.workers, task);
  list_outcome (&setup, 1, 1, SD_OUTCOME_FAILED);
  CU_ASSERT_EQUAL (task->failures, 1);
  tear_down (&setup);
}

/* Guards against a task that runs again after its end: the outcome was listed
   while the start of the next run was under way, and that start was refused.
 */
static void
test_refused_start_does_not_hide_that_the_run_before_was_done (void)
{
  struct setup setup;
  struct jb_task *task = give_up_run (&setup);
  GByteArray *block;

  fixture_worker (setup.sched, "w2", "r1", 8);
  answer_first_polls (&setup);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  wk_start (setup.workers, task);
  CU_ASSERT_FALSE (sd_given_up_run_done (setup.sched, task, 1, 1));
  /* The next planner knows it from the record.  */
  block = jb_encode_block (setup.job, 0);
  task->done_before = false;
  setup.job->has_done_before = false;
  CU_ASSERT_EQUAL (jb_apply_block (setup.job, 0, block->data, block->len), 0);
  CU_ASSERT_TRUE (task->done_before && setup.job->has_done_before);
  g_byte_array_free (block, TRUE);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_NO_RESOURCES });
  CU_ASSERT_EQUAL (
      fixture_run_round (setup.sched, clk_monotonic_ms (NULL) + 5000), 0);
  CU_ASSERT_EQUAL (task->state, JB_TASK_DONE);
  CU_ASSERT_EQUAL (setup.job->state, JB_COMPLETED);
  tear_down (&setup);
}

static void
test_outcome_is_acknowledged_once_stored (void)
{
  struct setup setup;
  struct jb_task *task;
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (struct wp_outcome));
  struct wp_outcome end = { .number = 1,
                            .task = (char *)"00000000000000aa.0.0.0",
                            .run = 1,
                            .outcome = SD_OUTCOME_DONE,
                            .checkpoint = (char *)"" };
  struct fake_call *hold;
  GArray *mark;

  g_array_append_val (ends, end);
  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE });
  wk_send_waiting (setup.workers);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'),
               &(struct wp_answer){ .result = WP_DONE, .outcomes = ends });
  CU_ASSERT_EQUAL (task->state, JB_TASK_DONE);
  CU_ASSERT_EQUAL (setup.job->state, JB_COMPLETED);
  mark = wk_mark_outcomes (setup.workers);
  wk_send_waiting (setup.workers);
  CU_ASSERT_PTR_NULL (
      fake_oldest_open_call (&setup.port, 'h')); /* not stored yet */
  wk_outcomes_stored (setup.workers, mark);
  place_second_job (&setup);
  wk_send_waiting (setup.workers);
  hold = fake_oldest_open_call (&setup.port, 'h');
  CU_ASSERT_PTR_NOT_NULL (hold);
  if (hold != NULL)
    CU_ASSERT_EQUAL (hold->seen, 1);
  g_array_free (ends, TRUE);
  tear_down (&setup);
}

static void
test_fenced_call_ends_the_term (void)
{
  struct setup setup;

  set_up (&setup, 6000);
  place_task_on_reachable_worker (&setup);
  wk_send_waiting (setup.workers);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'),
               &(struct wp_answer){ .result = WP_FENCED });
  CU_ASSERT_EQUAL (setup.fenced, 1);
  tear_down (&setup);
}

/* --- The window of calls --- */

enum
{
  WAVE_TASKS = 300,
  WINDOW_CALLS = 128, /* of workers.c */
  LINK_FREE_MS = 1000 /* after the polls of the wave's workers */
};

static uint32_t
count_open_calls (const struct setup *setup, char kind)
{
  uint32_t count = 0;
  size_t i;

  for (i = 0; i < setup->port.count; i++)
    count += setup->port.calls[i].open && setup->port.calls[i].kind == kind;
  return count;
}

/* Places a job of WAVE_TASKS tasks, TASKS_PER_WORKER on each worker, and gives
   the order to start them all, IDLE_MS after the workers were polled.  */
static void
start_wave_after (struct setup *setup, uint32_t tasks_per_worker,
                  uint32_t idle_ms)
{
  struct fixture_step step = { .count = WAVE_TASKS, .accelerators = 8 };
  struct jb_job *job
      = jb_table_add (setup->table, "00000000000000ac",
                      fixture_spec ("batch", "clinic", &step), 0);
  char id[16];
  uint32_t i;

  for (i = 0; i < WAVE_TASKS / tasks_per_worker; i++)
    {
      g_snprintf (id, sizeof id, "w%u", i);
      sd_worker_set_reachability (
          fixture_worker (setup->sched, id, "r1",
                          8 * (int64_t)tasks_per_worker),
          SD_WORKER_UNSEEN);
    }
  wk_begin_term (setup->workers, 1, NULL);
  answer_first_polls (setup);
  usleep (1000 * idle_ms);
  sd_job_added (setup->sched, job);
  CU_ASSERT_EQUAL (fixture_run_round (setup->sched, clk_monotonic_ms (NULL)),
                   WAVE_TASKS);
  for (i = 0; i < WAVE_TASKS; i++)
    wk_start (setup->workers, &job->tasks[i]);
}

static void
start_wave (struct setup *setup)
{
  start_wave_after (setup, 1, 0);
}

/* Guards against a planner that sends thousands of starts at once and reads
   the answers only after the starts have timed out; meanwhile it lost its term
   (day quiet-1 of the large anla-rounds).  */
static void
test_wave_of_starts_is_sent_in_parts (void)
{
  struct setup setup;
  struct wp_answer done = { .result = WP_DONE };
  uint32_t sent = 0;

  set_up (&setup, 6000);
  start_wave (&setup);
  CU_ASSERT_TRUE (count_open_calls (&setup, 's') > 0);
  CU_ASSERT_TRUE (count_open_calls (&setup, 's') <= WINDOW_CALLS);
  while (sent < WAVE_TASKS && fake_oldest_open_call (&setup.port, 's') != NULL)
    {
      fake_answer (fake_oldest_open_call (&setup.port, 's'), &done);
      sent++;
      CU_ASSERT_TRUE (count_open_calls (&setup, 's') <= WINDOW_CALLS);
    }
  CU_ASSERT_EQUAL (sent, WAVE_TASKS);
  tear_down (&setup);
}

/* Leases must be renewed, and urgent jobs started, while a wave waits.  */
static void
test_wave_delays_neither_renewals_nor_urgent_starts (void)
{
  struct setup setup;
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct jb_job *urgent;

  set_up (&setup, 6000);
  start_wave (&setup);
  wk_send_waiting (setup.workers);
  CU_ASSERT_TRUE (count_open_calls (&setup, 'h') > 0);
  fixture_worker (setup.sched, "free", "r1", 8);
  urgent = jb_table_add (setup.table, "00000000000000ad",
                         fixture_spec ("urgent", "clinic", &step), 0);
  sd_job_added (setup.sched, urgent);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  wk_start (setup.workers, &urgent->tasks[0]);
  CU_ASSERT_STRING_EQUAL (setup.port.calls[setup.port.count - 1].worker,
                          "free");
  tear_down (&setup);
}

/* Guards against a worker out of reach that is not polled again for many
   seconds, because starts use each place in the window at once.  */
static void
test_overdue_poll_is_sent_while_starts_fill_the_window (void)
{
  struct setup setup;
  struct sd_worker *cut;
  uint32_t polls = 0;
  size_t i;

  set_up (&setup, 6000);
  cut = fixture_worker (setup.sched, "cut", "r1", 8);
  sd_worker_set_reachability (cut, SD_WORKER_UNSEEN);
  start_wave (&setup);
  sd_worker_set_reachability (cut, SD_WORKER_UNREACHABLE);
  usleep (1000 * 1100);
  for (i = 0; i < WAVE_TASKS / 32; i++)
    wk_send_waiting (setup.workers);
  CU_ASSERT_TRUE (wk_waiting_starts (setup.workers) > 0);
  for (i = 0; i < setup.port.count && i < FAKE_CALLS_MAX; i++)
    if (setup.port.calls[i].open && setup.port.calls[i].kind == 'h'
        && strcmp (setup.port.calls[i].worker, "cut") == 0)
      polls++;
  CU_ASSERT_EQUAL (polls, 1);
  tear_down (&setup);
}

/* Guards against starts that are not sent at all: with a small window the
   polls of many workers out of reach, none of which answers, use all of it. */
static void
test_overdue_polls_leave_the_window_to_starts (void)
{
  struct setup setup;
  struct wp_answer done = { .result = WP_DONE };
  char id[16];
  size_t known;
  uint32_t waiting;
  uint32_t i;

  set_up (&setup, 6000);
  start_wave (&setup);
  waiting = wk_waiting_starts (setup.workers);
  for (i = 0; i < 100; i++)
    wk_observe_lag (setup.workers, 1000);
  for (i = 0; i < WAVE_TASKS; i++)
    {
      g_snprintf (id, sizeof id, "cut%u", i);
      sd_worker_set_reachability (fixture_worker (setup.sched, id, "r1", 8),
                                  SD_WORKER_UNREACHABLE);
    }
  for (i = 0; i < 40; i++)
    {
      wk_send_waiting (setup.workers);
      for (known = setup.port.count; known-- > 0;)
        if (setup.port.calls[known].open
            && setup.port.calls[known].kind == 's')
          fake_answer (&setup.port.calls[known], &done);
      usleep (1000 * 10);
    }
  CU_ASSERT_TRUE (waiting > 100);
  CU_ASSERT_EQUAL (wk_waiting_starts (setup.workers), 0);
  tear_down (&setup);
}

/* On a link of 80,000 bytes a second the starts wait in the queue; of those
   that wait, urgent ones go first.  */
static void
test_wave_waits_for_the_link (void)
{
  struct setup setup;
  uint32_t sent;
  int64_t backlog_ms;

  link_bytes_per_s = 80000;
  set_up (&setup, 6000);
  link_bytes_per_s = 0;
  start_wave_after (&setup, 4, LINK_FREE_MS);
  sent = count_open_calls (&setup, 's');
  CU_ASSERT_TRUE (sent > 0 && sent < 10);
  backlog_ms = wk_backlog_ms (setup.workers, false);
  CU_ASSERT_TRUE (backlog_ms > 1000);
  CU_ASSERT_EQUAL (wk_backlog_ms (setup.workers, true), 0);
  usleep (1000 * 200);
  wk_send_waiting (setup.workers);
  CU_ASSERT_TRUE (count_open_calls (&setup, 's') > sent);
  CU_ASSERT_TRUE (count_open_calls (&setup, 's') < 50);
  CU_ASSERT_TRUE (wk_backlog_ms (setup.workers, false) < backlog_ms);
  wk_end_term (setup.workers);
  CU_ASSERT_EQUAL (wk_backlog_ms (setup.workers, false), 0);
  tear_down (&setup);
}

static uint32_t
count_tasks_in (const struct jb_job *job, uint32_t state)
{
  uint32_t count = 0;
  size_t i;

  for (i = 0; i < job->task_total; i++)
    count += job->tasks[i].state == state;
  return count;
}

/* A start that is still waiting when its job is cancelled is never sent.
   Guards against runs that never started and yet hold the room of others until
   the long poll of their worker is over, which takes up to 2 s.  */
static void
test_waiting_start_of_stopped_task_is_dropped (void)
{
  struct setup setup;
  struct wp_answer done = { .result = WP_DONE };
  struct jb_job *job;
  uint32_t sent = 0;

  set_up (&setup, 6000);
  start_wave (&setup);
  job = jb_table_find (setup.table, "00000000000000ac");
  sd_job_cancelled (setup.sched, job, clk_monotonic_ms (NULL));
  while (fake_oldest_open_call (&setup.port, 's') != NULL)
    {
      fake_answer (fake_oldest_open_call (&setup.port, 's'), &done);
      sent++;
    }
  CU_ASSERT_TRUE (sent <= WINDOW_CALLS);
  CU_ASSERT_EQUAL (wk_waiting_starts (setup.workers), 0);
  /* No poll has been answered meanwhile.  */
  CU_ASSERT_EQUAL (count_tasks_in (job, JB_TASK_STOPPING), sent);
  CU_ASSERT_EQUAL (count_tasks_in (job, JB_TASK_PLACED), 0);
  tear_down (&setup);
}

/* Hundreds of workers that are down must not take the planner's time: one
   without runs is polled less often after a while, and one with runs is
   not.  */
static void
test_idle_unreachable_worker_is_polled_less_often (void)
{
  struct setup setup;
  int64_t until_ms = clk_monotonic_ms (NULL) + 5000;
  uint32_t polls[2] = { 0 };

  set_up (&setup, 20000);
  place_task_on_reachable_worker (&setup);
  sd_worker_set_reachability (fixture_worker (setup.sched, "idle", "r1", 8),
                              SD_WORKER_UNSEEN);
  while (clk_monotonic_ms (NULL) < until_ms)
    {
      struct fake_call *poll;

      wk_send_waiting (setup.workers);
      while ((poll = fake_oldest_open_call (&setup.port, 'h')) != NULL)
        {
          polls[strcmp (poll->worker, "idle") == 0]++;
          fake_answer (poll, &(struct wp_answer){ .result = WP_NO_ANSWER,
                                                  .worker_clock_ms = -1 });
        }
      usleep (1000 * 10);
    }
  CU_ASSERT_TRUE (polls[0] >= 15); /* at intervals of 250 ms */
  CU_ASSERT_TRUE (polls[1] >= 8 && polls[1] <= 13);
  tear_down (&setup);
}

/* --- Capacity --- */

/* Adds a worker that has not been polled yet, and sends its poll.  */
static void
poll_new_worker (struct setup *setup)
{
  struct sd_worker *worker = fixture_worker (setup->sched, "w1", "r1", 8);

  sd_worker_set_reachability (worker, SD_WORKER_UNSEEN);
  wk_begin_term (setup->workers, 1, NULL);
  wk_send_waiting (setup->workers);
}

/* A worker that does not guard its capacity: the run of an earlier planner,
   which is being stopped, still uses resources there.  */
static void
test_unassigned_run_uses_resources (void)
{
  struct setup setup;
  struct fixture_step step = { .count = 1, .accelerators = 8 };
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (struct wp_run));
  struct wp_run run = { .task = (char *)"00000000000000ab.0.0.0",
                        .run = 1,
                        .checkpoint = (char *)"" };
  struct fake_call *poll;

  g_array_append_val (runs, run);
  set_up (&setup, 6000);
  jb_table_add (setup.table, "00000000000000ab",
                fixture_spec ("batch", "clinic", &step), 0);
  poll_new_worker (&setup);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'),
               &(struct wp_answer){ .result = WP_DONE, .runs = runs });
  CU_ASSERT_PTR_NOT_NULL (fake_oldest_open_call (&setup.port, 'x'));
  sd_job_added (setup.sched, setup.job);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  wk_send_waiting (setup.workers);
  poll = fake_oldest_open_call (&setup.port, 'h');
  CU_ASSERT_PTR_NOT_NULL (poll);
  if (poll != NULL)
    fake_answer (poll, &(struct wp_answer){ .result = WP_DONE });
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  g_array_free (runs, TRUE);
  tear_down (&setup);
}

/* A start waits until its placement is stored, which takes seconds while the
   store is slow; meanwhile the worker's capacity may shrink.  */
static void
test_start_is_not_sent_to_shrunk_worker (void)
{
  struct setup setup;
  struct jb_task *task;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  fixture_worker (setup.sched, "w1", "r1", 0);
  wk_start (setup.workers, task);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 's'));
  CU_ASSERT_EQUAL (task->state, JB_TASK_WAITING);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  tear_down (&setup);
}

/* What runs may stay when the capacity shrinks; what is being stopped counts
   until its end is listed.  */
static void
test_shrunk_worker_gets_nothing_until_it_has_room (void)
{
  struct setup setup;
  struct jb_task *task;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE });
  fixture_worker (setup.sched, "w1", "r1", 1);
  sd_job_cancelled (setup.sched, setup.job, clk_monotonic_ms (NULL));
  sd_job_added (
      setup.sched,
      jb_table_add (setup.table, "00000000000000ab",
                    fixture_spec ("batch", "clinic",
                                  &(struct fixture_step){ .count = 1,
                                                          .accelerators = 1 }),
                    0));
  CU_ASSERT_EQUAL (task->state, JB_TASK_STOPPING);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   0);
  sd_task_ended (setup.sched, task, SD_OUTCOME_STOPPED, "",
                 clk_monotonic_ms (NULL), 0);
  CU_ASSERT_EQUAL (fixture_run_round (setup.sched, clk_monotonic_ms (NULL)),
                   1);
  tear_down (&setup);
}

/* --- Permission --- */

/* After a pause another host may be the planner: a start without an answer was
   sent again at once, on a permission that might have run out.  */
static void
test_start_is_not_repeated_without_permission (void)
{
  struct setup setup;
  struct jb_task *task;

  set_up (&setup, 6000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  setup.paused = true;
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_NO_ANSWER });
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 's'));
  CU_ASSERT_EQUAL (task->state, JB_TASK_PLACED);
  CU_ASSERT_TRUE (task->poll_conclusive_from_ms < INT64_MAX);
  tear_down (&setup);
}

/* The same for a stop of a run that is not assigned to its worker: the next
   planner may have adopted it.  */
static void
test_nothing_is_stopped_without_permission (void)
{
  struct setup setup;
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (struct wp_run));
  struct wp_run run = { .task = (char *)"00000000000000ab.0.0.0",
                        .run = 1,
                        .checkpoint = (char *)"" };

  g_array_append_val (runs, run);
  set_up (&setup, 6000);
  poll_new_worker (&setup);
  setup.paused = true;
  fake_answer (fake_oldest_open_call (&setup.port, 'h'),
               &(struct wp_answer){ .result = WP_DONE, .runs = runs });
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 'x'));
  setup.paused = false;
  wk_send_waiting (setup.workers);
  fake_answer (fake_oldest_open_call (&setup.port, 'h'),
               &(struct wp_answer){ .result = WP_DONE, .runs = runs });
  CU_ASSERT_PTR_NOT_NULL (fake_oldest_open_call (&setup.port, 'x'));
  g_array_free (runs, TRUE);
  tear_down (&setup);
}

/* Guards against a planner that looks through all workers after each answer to
   a start: they are looked through by the passes of wk_send_waiting ().  */
static void
test_answer_to_start_leaves_renewals_to_next_pass (void)
{
  struct setup setup;
  struct jb_task *task;

  set_up (&setup, 3000);
  task = place_task_on_reachable_worker (&setup);
  wk_start (setup.workers, task);
  fake_answer (fake_oldest_open_call (&setup.port, 's'),
               &(struct wp_answer){ .result = WP_DONE });
  CU_ASSERT_TRUE (task->confirmed);
  CU_ASSERT_PTR_NULL (fake_oldest_open_call (&setup.port, 'h'));
  wk_send_waiting (setup.workers);
  CU_ASSERT_PTR_NOT_NULL (fake_oldest_open_call (&setup.port, 'h'));
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "the answer to a start leaves renewals to the next pass",
      test_answer_to_start_leaves_renewals_to_next_pass },
    { "a refusal after a try without an answer is not final",
      test_refusal_after_unanswered_try_is_not_final },
    { "a start without a connection is given up at once",
      test_start_without_connection_is_given_up_at_once },
    { "a start without a connection is tried three times",
      test_start_without_connection_is_tried_three_times },
    { "a start is not sent to a worker out of touch",
      test_start_is_not_sent_to_worker_out_of_touch },
    { "a renewal that is not sent extends no lease",
      test_renewal_that_is_not_sent_extends_no_lease },
    { "a start that is not sent extends no lease",
      test_start_that_is_not_sent_extends_no_lease },
    { "a start that is not sent after a try without an answer may be there",
      test_start_unsent_after_unanswered_try_may_be_there },
    { "a refusal of the first try is final",
      test_refusal_of_first_try_is_final },
    { "runs of a worker known from records only end with its lease",
      test_runs_known_from_records_end_with_lease },
    { "a recorded lease is not extended by a takeover",
      test_recorded_lease_is_not_extended_by_takeover },
    { "a worker in the record of leases is renewed once a record without it "
      "is stored",
      test_recorded_worker_is_renewed_once_removal_is_stored },
    { "leases are encoded and decoded", test_leases_are_encoded_and_decoded },
    { "leases are no longer than needed",
      test_leases_are_no_longer_than_needed },
    { "a run that is not listed is gone after the time of a stop",
      test_unlisted_run_is_gone_after_stop_time },
    { "a start that did not arrive is given up soon",
      test_start_that_did_not_arrive_is_given_up_soon },
    { "a poll waits until a start has expired",
      test_poll_waits_until_a_start_has_expired },
    { "a run of a former process is given up soon",
      test_run_of_former_process_is_given_up_soon },
    { "a run beyond a full list of outcomes is not gone",
      test_run_beyond_a_full_list_of_outcomes_is_not_gone },
    { "an outcome is acknowledged once stored",
      test_outcome_is_acknowledged_once_stored },
    { "a run given up that was done is not started again",
      test_run_given_up_that_was_done_is_not_started_again },
    { "an unsent start is dropped if the run before was done",
      test_unsent_start_is_dropped_if_the_run_before_was_done },
    { "a run given up that was done does not end a later run",
      test_run_given_up_that_was_done_does_not_end_a_later_run },
    { "a run given up that failed counts once",
      test_run_given_up_that_failed_counts_once },
    { "an unsent run does not hide that the run before failed",
      test_unsent_run_does_not_hide_that_the_run_before_failed },
    { "a refused start does not hide that the run before was done",
      test_refused_start_does_not_hide_that_the_run_before_was_done },
    { "a wave of starts is sent in parts",
      test_wave_of_starts_is_sent_in_parts },
    { "a wave delays neither renewals nor urgent starts",
      test_wave_delays_neither_renewals_nor_urgent_starts },
    { "an overdue poll is sent while starts fill the window",
      test_overdue_poll_is_sent_while_starts_fill_the_window },
    { "overdue polls leave the window to starts",
      test_overdue_polls_leave_the_window_to_starts },
    { "a wave waits for the link", test_wave_waits_for_the_link },
    { "an idle worker out of reach is polled less often",
      test_idle_unreachable_worker_is_polled_less_often },
    { "a waiting start of a stopped task is dropped",
      test_waiting_start_of_stopped_task_is_dropped },
    { "a fenced call ends the term", test_fenced_call_ends_the_term },
    { "a run that is not assigned uses resources",
      test_unassigned_run_uses_resources },
    { "a start is not sent to a worker that has shrunk",
      test_start_is_not_sent_to_shrunk_worker },
    { "a worker that has shrunk gets nothing until it has room",
      test_shrunk_worker_gets_nothing_until_it_has_room },
    { "a start is not repeated without permission",
      test_start_is_not_repeated_without_permission },
    { "nothing is stopped without permission",
      test_nothing_is_stopped_without_permission },
  };

  return check_run ("hostd workers", tests, G_N_ELEMENTS (tests));
}
