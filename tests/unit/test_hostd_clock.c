/* Tests of deadlines on the clocks of workers, which may be 2% slow: nothing
   that the planner takes as over can still happen, however long ago it has
   read a worker's clock.  Time is the test's own.  */

#include "../../programs/foxtailgap-hostd/workers.h"
#include "check.h"
#include "hostd_fixture.h"
#include "worker/term_proof.h"
#include "worker/worker_clock.h"

static const char JOB[] = "00000000000000aa";

enum
{
  WORKERS = 2,
  LEASE_MS = 6000,
  LEASE_LIMIT_MS = 10000, /* of the workers */
  STOP_MS = 200,
  STEP_MS = 2,            /* between two turns of the event loop */
  IDLE_STEP_MS = 50,      /* the same while there is no work */
  STORE_SILENT_MS = 1100, /* long enough for the workers to be polled */
  STORE_MS = 6,           /* from a round until its records are stored */
  TRIP_MS = 2,            /* of a call and of its answer */
  ROUND_TRIP_MS = 4,
  MOMENT_MS = 8,       /* a few turns */
  FIRST_START_MS = 12, /* the records are stored, and the start arrives */
  FIRST_POLLS_MS = 40, /* some polls are answered */
  BORN_MS = 500000,    /* on the test's clock: when the workers started */
  IDLE_MS = 90000,     /* as in case 4 of the review */
  WORK_MS = 4000,      /* of a run */
  GIVEN_UP_MS = 5000,  /* a start without an answer is given up by then */
  LEASE_OVER_MS = 20000,
  /* A call without an answer may be executed this late.  */
  LATE_MIN_MS = 2000,
  LATE_MAX_MS = 12000,
  PENDING_MAX = 256,
  SCENARIOS = 400,
  CLOCK_POLL_MS = 400, /* a poll that starts wait for has failed by then */
  READINGS = 100000,
  US_PER_MS = 1000
};

/* --- The clock --- */

static int64_t now_ms;

int64_t __wrap_clk_monotonic_ms (void *ctx);

int64_t
__wrap_clk_monotonic_ms (void *ctx)
{
  (void)ctx;
  return now_ms;
}

/* --- Workers --- */

/* A worker with room for one run.  */
struct worker
{
  char id[8];
  uint32_t clock_percent; /* of the speed of a right clock */
  uint64_t term;          /* highest of its calls */
  bool unreachable;
  int64_t lease_end_ms; /* on its own clock */
  bool running;
  uint32_t run;
  int64_t ends_ms; /* of the run's work */
  uint32_t highest_run;
  uint32_t outcome_count;
  struct wp_outcome outcome; /* the last one, until it is acknowledged */
  bool lapsed_since;         /* the lease has, since that outcome */
  uint32_t late_refusals;
  uint32_t polls;
  uint32_t starts; /* calls, whatever their result */
};

/* A call that is executed later, without an answer.  */
struct pending_call
{
  struct fake_call call;
  int64_t due_ms; /* 0: this element is free */
};

struct setup
{
  struct fake_port port;
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct mt_registry *metrics;
  struct worker_calls *workers;
  struct jb_task *task;
  uint64_t term;
  int64_t placed_ms;    /* when the last round has placed the task */
  uint32_t started_run; /* the last run whose start was ordered */
  int32_t late_min_ms;  /* of late calls */
  struct worker peers[WORKERS];
  struct pending_call pending[PENDING_MAX];
  int64_t open_since_ms[FAKE_CALLS_MAX];  /* 0: the call is not open */
  bool executed[FAKE_CALLS_MAX];          /* it is, */
  enum wp_result results[FAKE_CALLS_MAX]; /* with this result */
  GRand *rng;                             /* NULL: no faults */
  uint32_t late_share; /* percent of the starts and stops that are late */
  bool polls_at_once;  /* they are answered without their wait */
  int64_t stored_ms;   /* of the last stored append; 0: always now */
  bool done_acked;
  uint32_t violations; /* a run beside another one, or after the last one */
  int64_t start_deadline_ms; /* newest of a start, on its worker's clock */
};

static int64_t
clock_of (const struct worker *worker)
{
  return (now_ms - BORN_MS) * worker->clock_percent / 100;
}

static void
end_run (struct worker *worker, enum sd_outcome outcome)
{
  worker->running = false;
  worker->outcome_count++;
  worker->outcome = (struct wp_outcome){ .number = worker->outcome_count,
                                         .run = worker->run,
                                         .outcome = outcome,
                                         .checkpoint = "" };
  worker->lapsed_since = outcome == SD_OUTCOME_LEASE_EXPIRED;
}

static void
end_due_run (struct worker *worker)
{
  worker->lapsed_since |= clock_of (worker) > worker->lease_end_ms;
  if (worker->running && clock_of (worker) > worker->lease_end_ms)
    end_run (worker, SD_OUTCOME_LEASE_EXPIRED);
  else if (worker->running && now_ms >= worker->ends_ms)
    end_run (worker, SD_OUTCOME_DONE);
}

static void
extend_lease (struct worker *worker, int64_t deadline_ms)
{
  worker->lease_end_ms
      = MAX (worker->lease_end_ms,
             MIN (deadline_ms, clock_of (worker) + LEASE_LIMIT_MS));
}

static enum wp_result
execute_start (struct setup *setup, struct worker *worker,
               const struct fake_call *call)
{
  size_t i;

  if (worker->running && worker->run == call->run)
    {
      extend_lease (worker, call->deadline_ms);
      return WP_DONE;
    }
  if (call->run <= worker->highest_run)
    return WP_STALE_RUN;
  if (call->deadline_ms < clock_of (worker))
    {
      worker->late_refusals++;
      return WP_DEADLINE_PASSED;
    }
  if (worker->running)
    return WP_NO_RESOURCES;
  for (i = 0; i < WORKERS; i++)
    {
      end_due_run (&setup->peers[i]);
      setup->violations += setup->peers[i].running;
    }
  setup->violations += setup->done_acked;
  extend_lease (worker, call->deadline_ms);
  worker->highest_run = call->run;
  worker->running = true;
  worker->run = call->run;
  worker->ends_ms = now_ms + WORK_MS;
  return WP_DONE;
}

static enum wp_result
execute (struct setup *setup, struct worker *worker,
         const struct fake_call *call)
{
  end_due_run (worker);
  if (call->term < worker->term)
    return WP_FENCED;
  worker->term = call->term;
  switch (call->kind)
    {
    case 's':
      return execute_start (setup, worker, call);
    case 'x':
      worker->highest_run = MAX (worker->highest_run, call->run);
      if (worker->running && worker->run <= call->run)
        end_run (worker, SD_OUTCOME_STOPPED);
      return WP_DONE;
    default:
      if (call->deadline_ms >= 0)
        extend_lease (worker, call->deadline_ms);
      if (worker->outcome_count > 0 && !worker->lapsed_since
          && call->seen >= (int64_t)worker->outcome_count)
        setup->done_acked |= worker->outcome.outcome == SD_OUTCOME_DONE;
      return WP_DONE;
    }
}

static void
answer (struct setup *setup, struct worker *worker, struct fake_call *call,
        enum wp_result result)
{
  char *task = jb_task_name (setup->task);
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (struct wp_run));
  GArray *outcomes = g_array_new (FALSE, FALSE, sizeof (struct wp_outcome));
  struct wp_answer whole
      = { .result = result, .worker_clock_ms = clock_of (worker) };

  if (call->kind == 'h' && result == WP_DONE)
    {
      struct wp_run run
          = { .task = task,
              .run = worker->run,
              .checkpoint = "",
              .percent = 100 - (worker->ends_ms - now_ms) * 100 / WORK_MS };

      whole.worker_started_ms = 1;
      whole.runs = runs;
      whole.outcomes = outcomes;
      if (worker->running)
        g_array_append_val (runs, run);
      worker->outcome.task = task;
      if (worker->outcome_count > 0
          && call->seen < (int64_t)worker->outcome_count)
        g_array_append_val (outcomes, worker->outcome);
      worker->polls++;
    }
  worker->starts += call->kind == 's';
  fake_answer (call, &whole);
  g_array_free (runs, TRUE);
  g_array_free (outcomes, TRUE);
  g_free (task);
}

/* --- The network --- */

static bool
is_lucky (struct setup *setup, uint32_t percent)
{
  return setup->rng != NULL
         && (uint32_t)g_rand_int_range (setup->rng, 0, 100) < percent;
}

static void
delay_call (struct setup *setup, const struct fake_call *call)
{
  size_t i;

  for (i = 0; i < PENDING_MAX; i++)
    if (setup->pending[i].due_ms == 0)
      {
        setup->pending[i] = (struct pending_call){
          .call = *call,
          .due_ms = now_ms
                    + g_rand_int_range (setup->rng, setup->late_min_ms,
                                        LATE_MAX_MS + 1)
        };
        return;
      }
  CU_FAIL_FATAL ("too many late calls");
}

static struct worker *
worker_of (struct setup *setup, const struct fake_call *call)
{
  return &setup->peers[call->worker[1] - '0'];
}

static void
execute_late_calls (struct setup *setup)
{
  size_t i;

  for (i = 0; i < PENDING_MAX; i++)
    if (setup->pending[i].due_ms != 0 && setup->pending[i].due_ms <= now_ms)
      {
        setup->pending[i].due_ms = 0;
        execute (setup, worker_of (setup, &setup->pending[i].call),
                 &setup->pending[i].call);
      }
}

/* Executes calls after a trip, and answers them after another one, polls once
   there is an outcome or their wait is over.  */
static void
handle_call (struct setup *setup, size_t i)
{
  static const struct wp_answer silence
      = { .result = WP_NO_ANSWER, .worker_clock_ms = -1 };
  struct fake_call *call = &setup->port.calls[i];
  struct worker *worker = worker_of (setup, call);
  int64_t open_ms;

  if (setup->open_since_ms[i] == 0)
    {
      setup->open_since_ms[i] = now_ms;
      setup->executed[i] = false;
      if (call->kind == 's')
        setup->start_deadline_ms
            = MAX (setup->start_deadline_ms, call->deadline_ms);
      if (call->kind != 'h' && !worker->unreachable
          && is_lucky (setup, setup->late_share))
        {
          delay_call (setup, call);
          call->kind = 'l'; /* it gets no answer */
        }
    }
  open_ms = now_ms - setup->open_since_ms[i];
  end_due_run (worker);
  if (call->kind != 'l' && !worker->unreachable && !setup->executed[i]
      && open_ms >= TRIP_MS)
    {
      setup->executed[i] = true;
      setup->results[i] = execute (setup, worker, call);
    }
  if (open_ms >= call->timeout_ms)
    fake_answer (call, &silence);
  else if (setup->executed[i] && !worker->unreachable
           && open_ms >= ROUND_TRIP_MS
           && (setup->polls_at_once || open_ms >= call->wait_ms
               || (int64_t)worker->outcome_count > call->seen))
    answer (setup, worker, call, setup->results[i]);
  if (!call->open)
    setup->open_since_ms[i] = 0;
}

static void
handle_calls (struct setup *setup)
{
  size_t i;

  execute_late_calls (setup);
  for (i = 0; i < setup->port.count && i < FAKE_CALLS_MAX; i++)
    if (setup->port.calls[i].open)
      handle_call (setup, i);
}

/* --- The planner --- */

static void
on_event (void *ctx)
{
  (void)ctx;
}

static int64_t
term_stored_ms (void *ctx)
{
  const struct setup *setup = ctx;

  return setup->stored_ms == 0 ? now_ms : setup->stored_ms;
}

/* Starts are ordered STORE_MS after the round that has placed them.  */
static void
run_round (struct setup *setup)
{
  if (fixture_run_round (setup->sched, now_ms) > 0)
    setup->placed_ms = now_ms;
  wk_send_waiting (setup->workers);
  if (setup->task->state == JB_TASK_PLACED
      && setup->task->run != setup->started_run
      && now_ms >= setup->placed_ms + STORE_MS)
    {
      setup->started_run = setup->task->run;
      wk_start (setup->workers, setup->task);
    }
  wk_outcomes_stored (setup->workers, wk_mark_outcomes (setup->workers));
}

/* Whether TIME_MS pass without the task being in STATE.  */
static bool
pass (struct setup *setup, int64_t time_ms, enum jb_task_state until)
{
  int64_t until_ms = now_ms + time_ms;

  while (now_ms < until_ms)
    {
      now_ms += STEP_MS;
      handle_calls (setup);
      if (setup->task->state == until)
        return false;
      run_round (setup);
    }
  return true;
}

/* LEASES: see wk_begin_term ().  */
static void
begin_term (struct setup *setup, GHashTable *leases)
{
  sd_begin_term (setup->sched, now_ms);
  wk_begin_term (setup->workers, ++setup->term, leases);
  wk_worker_list_read (setup->workers);
}

/* Another planner takes over, with the record of leases, or with an older one
   that has no worker.  */
static void
take_over (struct setup *setup, bool records_leases)
{
  GHashTable *leases
      = records_leases ? wk_collect_leases (setup->workers) : NULL;

  begin_term (setup, leases);
  if (leases != NULL)
    g_hash_table_destroy (leases);
}

static void
set_up (struct setup *setup, uint32_t clock_percent)
{
  struct sd_params sched
      = { .remote_slowdown_factor = 3, .stop_max_ms = STOP_MS };
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct wk_params workers = {
    .port = fake_wp_port (&setup->port),
    .lease_ttl_ms = LEASE_MS,
    .lease_limit_ms = LEASE_LIMIT_MS,
    .stop_max_ms = STOP_MS,
    .ctx = setup,
    .changed = on_event,
    .fenced = on_event,
    .term_stored_ms = term_stored_ms,
  };
  size_t i;

  now_ms = BORN_MS + 1000;
  memset (setup, 0, sizeof *setup);
  setup->late_min_ms = LATE_MIN_MS;
  setup->table = jb_table_create ();
  setup->sched = sd_create (&sched, setup->table);
  setup->catalog = fixture_catalog ();
  sd_set_catalog (setup->sched, setup->catalog);
  setup->metrics = mt_create ();
  workers.sched = setup->sched;
  workers.table = setup->table;
  workers.metrics = setup->metrics;
  setup->workers = wk_create (&workers);
  for (i = 0; i < WORKERS; i++)
    {
      g_snprintf (setup->peers[i].id, sizeof setup->peers[i].id, "w%u",
                  (unsigned)i);
      setup->peers[i].clock_percent = clock_percent;
      sd_worker_set_reachability (
          fixture_worker (setup->sched, setup->peers[i].id, "r1", 1),
          SD_WORKER_UNSEEN);
    }
  begin_term (setup, NULL);
  setup->task = jb_table_add (setup->table, JOB,
                              fixture_spec ("batch", "clinic", &step), 0)
                    ->tasks;
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
  if (setup->rng != NULL)
    g_rand_free (setup->rng);
}

/* Polls the workers once, and lets IDLE_MS pass until the job comes.  */
static void
hand_in_job_after (struct setup *setup, int64_t idle_ms)
{
  int64_t idle_until_ms = now_ms + idle_ms;

  while (now_ms < idle_until_ms)
    {
      now_ms += IDLE_STEP_MS;
      handle_calls (setup);
      wk_send_waiting (setup->workers);
    }
  sd_job_added (setup->sched, setup->task->job);
}

/* The worker that the task is placed on, or was until just now.  */
static struct worker *
worker_with_starts (struct setup *setup)
{
  return setup->peers[0].starts >= setup->peers[1].starts ? &setup->peers[0]
                                                          : &setup->peers[1];
}

/* --- Tests --- */

/* Guards against a task that runs twice: a start at a worker that was idle for
   90 s was carried out after the planner had given it up (review, case 4).  */
static void
test_start_given_up_after_an_idle_time_can_not_happen (void)
{
  struct setup setup;

  set_up (&setup, 98);
  hand_in_job_after (&setup, IDLE_MS);
  setup.rng = g_rand_new_with_seed (1);
  setup.late_min_ms = LATE_MAX_MS;
  setup.late_share = 100;
  CU_ASSERT_FALSE (pass (&setup, GIVEN_UP_MS, JB_TASK_PLACED));
  pass (&setup, FIRST_START_MS, JB_TASK_DONE);
  CU_ASSERT (setup.start_deadline_ms > 0);
  setup.polls_at_once = true;
  CU_ASSERT_FALSE (pass (&setup, GIVEN_UP_MS, JB_TASK_WAITING));
  CU_ASSERT (setup.start_deadline_ms < clock_of (&setup.peers[0]));
  setup.late_share = 0;
  CU_ASSERT_FALSE (pass (&setup, LATE_MAX_MS + LEASE_OVER_MS, JB_TASK_DONE));
  CU_ASSERT_EQUAL (setup.violations, 0);
  tear_down (&setup);
}

/* The same of the lease that the first renewal grants: it lasted after the
   planner had given up the runs of the unreachable worker.  */
static void
test_lease_given_up_after_an_idle_time_is_over (void)
{
  struct setup setup;
  struct worker *worker;

  set_up (&setup, 98);
  hand_in_job_after (&setup, (int64_t)IDLE_MS * 5);
  setup.polls_at_once = true;
  CU_ASSERT_FALSE (pass (&setup, GIVEN_UP_MS, JB_TASK_PLACED));
  pass (&setup, FIRST_POLLS_MS, JB_TASK_DONE);
  worker = worker_with_starts (&setup);
  CU_ASSERT_TRUE (worker->running);
  worker->unreachable = true;
  CU_ASSERT_FALSE (pass (&setup, LEASE_OVER_MS, JB_TASK_WAITING));
  CU_ASSERT (worker->lease_end_ms < clock_of (worker));
  tear_down (&setup);
}

/* Neither a right clock nor a slow one makes a worker refuse the first start
   after minutes as late; the clock is read while the placement is stored, so
   that the start does not wait; and no worker is polled while it is idle.  */
static void
test_first_start_after_minutes_is_in_time (void)
{
  static const uint32_t clocks[] = { 100, 99, 98 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (clocks); i++)
    {
      struct setup setup;

      set_up (&setup, clocks[i]);
      hand_in_job_after (&setup, (int64_t)IDLE_MS * 5);
      CU_ASSERT_EQUAL (setup.peers[0].polls + setup.peers[1].polls, WORKERS);
      CU_ASSERT_FALSE (pass (&setup, GIVEN_UP_MS, JB_TASK_PLACED));
      pass (&setup, FIRST_START_MS, JB_TASK_DONE);
      CU_ASSERT_TRUE (worker_with_starts (&setup)->running);
      CU_ASSERT_EQUAL (worker_with_starts (&setup)->late_refusals, 0);
      CU_ASSERT_EQUAL (worker_with_starts (&setup)->starts, 1);
      tear_down (&setup);
    }
}

/* A start to a worker that has gone while it was idle is not sent, so that the
   task can be placed elsewhere at once.  */
static void
test_start_at_a_lost_idle_worker_is_not_sent (void)
{
  struct setup setup;
  size_t i;

  set_up (&setup, 100);
  hand_in_job_after (&setup, IDLE_MS);
  for (i = 0; i < WORKERS; i++)
    setup.peers[i].unreachable = true;
  CU_ASSERT_FALSE (pass (&setup, MOMENT_MS, JB_TASK_PLACED));
  CU_ASSERT_FALSE (pass (&setup, CLOCK_POLL_MS, JB_TASK_WAITING));
  CU_ASSERT_EQUAL (setup.start_deadline_ms, 0);
  tear_down (&setup);
}

/* While the store is silent all idle workers are polled: a busy planner must
   not take them as out of reach after the time that a start waits.  */
static void
test_idle_worker_has_its_time_to_prove_the_term (void)
{
  struct setup setup;
  struct fake_call *poll;

  set_up (&setup, 100);
  hand_in_job_after (&setup, IDLE_MS);
  setup.stored_ms = now_ms - STORE_SILENT_MS;
  wk_send_waiting (setup.workers);
  poll = fake_oldest_open_call (&setup.port, 'h');
  CU_ASSERT_PTR_NOT_NULL_FATAL (poll);
  CU_ASSERT (poll != NULL && poll->timeout_ms > CLOCK_POLL_MS);
  tear_down (&setup);
}

/* The next planner reaches no worker: the former one may extend leases without
   the store for a time that it measures on a clock of its own.  */
static void
test_leases_by_a_slower_host_are_waited_for (void)
{
  struct setup setup;
  int64_t former_ms = TP_WITHOUT_STORE_MAX_MS + LEASE_LIMIT_MS;
  size_t i;

  set_up (&setup, 100);
  hand_in_job_after (&setup, IDLE_MS);
  CU_ASSERT_FALSE (pass (&setup, GIVEN_UP_MS, JB_TASK_PLACED));
  pass (&setup, FIRST_START_MS, JB_TASK_DONE);
  for (i = 0; i < WORKERS; i++)
    setup.peers[i].unreachable = true;
  take_over (&setup, false);
  CU_ASSERT_TRUE (pass (&setup, wc_longest_ms (former_ms), JB_TASK_WAITING));
  CU_ASSERT_FALSE (pass (&setup, GIVEN_UP_MS, JB_TASK_WAITING));
  tear_down (&setup);
}

/* Whole milliseconds of an exact time.  */
static int64_t
whole_ms (int64_t us)
{
  return us / US_PER_MS;
}

/* A deadline is over in time whatever the age of the reading, the speed of the
   clock and the fractions of milliseconds that are cut off.  */
static void
test_deadline_is_over_in_time (void)
{
  GRand *rng = g_rand_new_with_seed (1);
  uint32_t late = 0;
  uint32_t early = 0;
  uint32_t i;

  for (i = 0; i < READINGS; i++)
    {
      int64_t percent = g_rand_int_range (rng, 98, 101);
      int64_t born_us = g_rand_int_range (rng, 0, 1000000);
      int64_t shown_us = born_us + g_rand_int_range (rng, 0, 1000000000);
      int64_t read_us = shown_us + g_rand_int_range (rng, 0, 5000000);
      int64_t until_us = read_us + g_rand_int_range (rng, 0, 600000000);
      struct wc_reading reading = {
        .clock_ms = whole_ms ((shown_us - born_us) * percent / 100),
        .read_ms = whole_ms (read_us),
      };
      int64_t deadline_ms = wc_deadline_ms (&reading, whole_ms (until_us));
      int64_t clock_ms = whole_ms ((until_us - born_us) * percent / 100);
      int64_t lost_ms = whole_ms (until_us - read_us) * WC_SLOW_PERCENT / 100
                        + whole_ms (read_us - shown_us);

      late += deadline_ms >= clock_ms;
      early += deadline_ms < clock_ms - lost_ms - 5;
    }
  CU_ASSERT_EQUAL (late, 0);
  CU_ASSERT_EQUAL (early, 0);
  g_rand_free (rng);
}

static void
test_readings (void)
{
  struct wc_reading none = { .clock_ms = -1 };
  struct wc_reading reading = { .clock_ms = 10000, .read_ms = 500 };

  CU_ASSERT_FALSE (wc_is_recent (&none, 0));
  CU_ASSERT_TRUE (wc_deadline_ms (&none, 1000) < 0);
  CU_ASSERT_TRUE (wc_is_recent (&reading, 500 + WC_RECENT_MS));
  CU_ASSERT_FALSE (wc_is_recent (&reading, 501 + WC_RECENT_MS));
  CU_ASSERT_EQUAL (wc_deadline_ms (&reading, 500), 9998);
  CU_ASSERT_EQUAL (wc_deadline_ms (&reading, 1500), 10978);
  CU_ASSERT_EQUAL (wc_deadline_ms (&reading, 400), 9898);
  CU_ASSERT_EQUAL (wc_longest_ms (980), 1000);
  CU_ASSERT_EQUAL (wc_longest_ms (981), 1002);
}

static void
play_scenario (uint32_t seed)
{
  struct setup setup;
  size_t i;

  set_up (&setup, 98);
  setup.rng = g_rand_new_with_seed (seed);
  for (i = 0; i < WORKERS; i++)
    setup.peers[i].clock_percent
        = (uint32_t)g_rand_int_range (setup.rng, 98, 101);
  hand_in_job_after (&setup, g_rand_int_range (setup.rng, 1000, 600000));
  for (i = 0; i < 20 && setup.task->state != JB_TASK_DONE; i++)
    {
      struct worker *worker
          = &setup.peers[g_rand_int_range (setup.rng, 0, WORKERS)];

      setup.late_share = (uint32_t)g_rand_int_range (setup.rng, 0, 101);
      worker->unreachable = is_lucky (&setup, 40);
      if (is_lucky (&setup, 20))
        now_ms += g_rand_int_range (setup.rng, 100, 8000); /* a pause */
      if (is_lucky (&setup, 20))
        take_over (&setup, is_lucky (&setup, 50));
      pass (&setup, g_rand_int_range (setup.rng, 100, 4000), JB_TASK_DONE);
    }
  setup.late_share = 0;
  for (i = 0; i < WORKERS; i++)
    setup.peers[i].unreachable = false;
  pass (&setup, LATE_MAX_MS + LEASE_OVER_MS, JB_TASK_DONE);
  pass (&setup, LATE_MAX_MS, JB_TASK_STOPPING);
  if (setup.violations != 0)
    printf ("seed %u: %u violations\n", seed, setup.violations);
  CU_ASSERT_EQUAL (setup.violations, 0);
  tear_down (&setup);
}

/* Late calls, workers out of reach, pauses of the process and takeovers, at
   random, after idle times of up to ten minutes: the task never runs twice at
   once, nor after an end that is acknowledged.  */
static void
test_random_faults_after_idle_times (void)
{
  uint32_t seed;

  for (seed = 1; seed <= SCENARIOS; seed++)
    play_scenario (seed);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "a start given up after an idle time can not happen",
      test_start_given_up_after_an_idle_time_can_not_happen },
    { "a lease given up after an idle time is over",
      test_lease_given_up_after_an_idle_time_is_over },
    { "the first start after minutes is in time",
      test_first_start_after_minutes_is_in_time },
    { "a start at a lost idle worker is not sent",
      test_start_at_a_lost_idle_worker_is_not_sent },
    { "an idle worker has its time to prove the term",
      test_idle_worker_has_its_time_to_prove_the_term },
    { "leases by a slower host are waited for",
      test_leases_by_a_slower_host_are_waited_for },
    { "a deadline is over in time", test_deadline_is_over_in_time },
    { "readings of a clock", test_readings },
    { "random faults after idle times", test_random_faults_after_idle_times },
  };

  return check_run ("hostd clock", tests, G_N_ELEMENTS (tests));
}
