/* Tests of the calls to workers over a link that other traffic fills for some
   seconds.  Time is the test's own.  */

#include "../../programs/foxtailgap-hostd/workers.h"
#include "check.h"
#include "hostd_fixture.h"

static const char JOB[] = "00000000000000aa";

enum
{
  TASKS_PER_WORKER = 3,
  JOB_TEXT_BYTES = 900,
  CALL_BYTES = 500, /* besides the text */
  ANSWER_MS = 4,
  LEASE_MS = 6000,
  FULL_MS = 3000,    /* for as long other traffic fills the link, */
  QUEUE_MS = 450,    /* and calls wait this long in it */
  RESUMED_MS = 1000, /* after that */
  /* The starts need 2.0 s of the whole link.  */
  ALL_STARTED_MS = 8000,
  PASS_MS = 10,
  DROPPED_MS = 20, /* two passes */
  MS_PER_S = 1000
};

static int64_t now_ms;

int64_t __wrap_clk_monotonic_ms (void *ctx);

int64_t
__wrap_clk_monotonic_ms (void *ctx)
{
  (void)ctx;
  return now_ms;
}

struct link_call
{
  bool is_start;
  bool is_poll;
  char *worker;
  char *task;
  uint32_t run;
  int64_t ends_ms; /* when it is answered or times out */
  bool answered;
  wp_callback callback;
  void *ctx;
};

struct setup
{
  uint32_t link_bytes_per_s;
  uint32_t worker_count;
  double link_free_ms; /* when the link has sent all that was given to it */
  GPtrArray *calls;    /* struct link_call: open */
  GHashTable *runs;    /* id of the worker -> GArray of struct wp_run */
  uint32_t polls_lost; /* polls that timed out */
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct mt_registry *metrics;
  struct worker_calls *workers;
};

/* --- The link --- */

static struct link_call *
add_call (struct setup *setup, const struct wp_target *target, uint32_t bytes,
          uint32_t wait_ms, uint32_t timeout_ms)
{
  struct link_call *call = g_new0 (struct link_call, 1);
  int64_t answered_ms;

  setup->link_free_ms = MAX (setup->link_free_ms, (double)now_ms)
                        + (double)bytes * MS_PER_S / setup->link_bytes_per_s;
  answered_ms = (int64_t)setup->link_free_ms + wait_ms + ANSWER_MS;
  call->answered = answered_ms - now_ms < timeout_ms;
  call->ends_ms = call->answered ? answered_ms : now_ms + timeout_ms;
  call->worker = g_strdup (target->worker);
  g_ptr_array_add (setup->calls, call);
  return call;
}

static void
on_start (void *ctx, const struct wp_target *target,
          const struct wp_start *start, uint32_t timeout_ms,
          wp_callback callback, void *callback_ctx)
{
  struct link_call *call
      = add_call (ctx, target, CALL_BYTES + (uint32_t)strlen (start->job_text),
                  0, timeout_ms);

  call->is_start = true;
  call->task = g_strdup (start->task);
  call->run = start->run;
  call->callback = callback;
  call->ctx = callback_ctx;
}

static void
on_stop (void *ctx, const struct wp_target *target, const struct wp_stop *stop,
         uint32_t timeout_ms, wp_callback callback, void *callback_ctx)
{
  struct link_call *call = add_call (ctx, target, CALL_BYTES, 0, timeout_ms);

  (void)stop;
  call->callback = callback;
  call->ctx = callback_ctx;
}

/* How long WORKER delays the answer to a poll: runs end there at moments of
   its own, so that the polls of all workers are spread evenly.  */
static uint32_t
answer_delay_ms (const struct setup *setup, const char *worker,
                 uint32_t wait_ms)
{
  int64_t index = g_ascii_strtoll (worker + 1, NULL, 10);
  int64_t phase_ms = (int64_t)wait_ms * index / setup->worker_count;

  return wait_ms == 0
             ? 0
             : wait_ms - (uint32_t)((now_ms + wait_ms - phase_ms) % wait_ms);
}

static void
on_renew (void *ctx, const struct wp_target *target,
          const struct wp_renew *renewal, uint32_t timeout_ms,
          wp_callback callback, void *callback_ctx)
{
  struct link_call *call = add_call (
      ctx, target, CALL_BYTES,
      answer_delay_ms (ctx, target->worker, renewal->wait_ms), timeout_ms);

  call->is_poll = true;
  call->callback = callback;
  call->ctx = callback_ctx;
}

static GArray *
runs_of_worker (struct setup *setup, const char *worker)
{
  GArray *runs = g_hash_table_lookup (setup->runs, worker);

  if (runs == NULL)
    {
      runs = g_array_new (FALSE, FALSE, sizeof (struct wp_run));
      g_hash_table_insert (setup->runs, g_strdup (worker), runs);
    }
  return runs;
}

static void
free_runs (void *value)
{
  GArray *runs = value;
  guint i;

  for (i = 0; i < runs->len; i++)
    g_free (g_array_index (runs, struct wp_run, i).task);
  g_array_free (runs, TRUE);
}

/* A start that arrives takes effect, also if its answer came too late.  */
static void
end_call (struct setup *setup, struct link_call *call)
{
  GArray *runs = runs_of_worker (setup, call->worker);
  GArray *none = g_array_new (FALSE, FALSE, sizeof (struct wp_outcome));
  struct wp_answer answer
      = { .result = call->answered ? WP_DONE : WP_NO_ANSWER,
          .worker_clock_ms = call->answered ? now_ms : -1,
          .runs = runs,
          .outcomes = none };
  guint i;
  bool is_there = false;

  for (i = 0; call->is_start && i < runs->len; i++)
    is_there |= g_str_equal (g_array_index (runs, struct wp_run, i).task,
                             call->task);
  if (call->is_start && !is_there)
    {
      struct wp_run run = { .task = g_strdup (call->task),
                            .run = call->run,
                            .checkpoint = (char *)"" };

      g_array_append_val (runs, run);
    }
  if (call->is_poll && !call->answered)
    setup->polls_lost++;
  call->callback (call->ctx, &answer);
  g_array_free (none, TRUE);
  g_free (call->worker);
  g_free (call->task);
  g_free (call);
}

/* Lets time pass; until FULL_UNTIL_MS other traffic fills the link.  */
static void
pass_time (struct setup *setup, int64_t until_ms, int64_t full_until_ms)
{
  for (; now_ms < until_ms; now_ms++)
    {
      guint i = 0;

      if (now_ms < full_until_ms)
        setup->link_free_ms = (double)now_ms + QUEUE_MS;
      while (i < setup->calls->len)
        {
          struct link_call *call = g_ptr_array_index (setup->calls, i);

          if (call->ends_ms <= now_ms)
            {
              g_ptr_array_remove_index_fast (setup->calls, i);
              end_call (setup, call);
            }
          else
            i++;
        }
      if (now_ms % PASS_MS == 0)
        wk_send_waiting (setup->workers);
    }
}

/* --- The fleet --- */

static void
on_changed (void *ctx)
{
  (void)ctx;
}

static void
set_up (struct setup *setup, uint32_t link_bytes_per_s, uint32_t worker_count)
{
  struct sd_params sched = { .remote_slowdown_factor = 3, .stop_max_ms = 200 };
  struct wk_params workers = {
    .port
    = { .ctx = setup, .start = on_start, .stop = on_stop, .renew = on_renew },
    .lease_ttl_ms = LEASE_MS,
    .lease_limit_ms = LEASE_MS,
    .stop_max_ms = 200,
    .link_bytes_per_s = link_bytes_per_s,
    .ctx = setup,
    .changed = on_changed,
    .fenced = on_changed,
  };
  char id[16];
  uint32_t i;

  memset (setup, 0, sizeof *setup);
  now_ms = MS_PER_S;
  setup->link_bytes_per_s = link_bytes_per_s;
  setup->worker_count = worker_count;
  setup->calls = g_ptr_array_new ();
  setup->runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_runs);
  setup->table = jb_table_create ();
  setup->sched = sd_create (&sched, setup->table);
  setup->catalog = fixture_catalog ();
  sd_set_catalog (setup->sched, setup->catalog);
  setup->metrics = mt_create ();
  workers.sched = setup->sched;
  workers.table = setup->table;
  workers.metrics = setup->metrics;
  setup->workers = wk_create (&workers);
  for (i = 0; i < worker_count; i++)
    {
      g_snprintf (id, sizeof id, "w%u", i);
      sd_worker_set_reachability (
          fixture_worker (setup->sched, id, "r1", TASKS_PER_WORKER),
          SD_WORKER_UNSEEN);
    }
  wk_begin_term (setup->workers, 1, NULL);
  wk_worker_list_read (setup->workers);
  pass_time (setup, now_ms + MS_PER_S, 0);
}

/* Fills the fleet with the tasks of one job, to be started now.  */
static void
start_wave (struct setup *setup)
{
  struct fixture_step step
      = { .count = setup->worker_count * TASKS_PER_WORKER, .accelerators = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);
  struct jb_job *job;
  uint32_t i;

  g_free (spec->text);
  spec->text = g_strnfill (JOB_TEXT_BYTES, 'x');
  job = jb_table_add (setup->table, JOB, spec, 0);
  sd_job_added (setup->sched, job);
  CU_ASSERT_EQUAL (fixture_run_round (setup->sched, now_ms), step.count);
  for (i = 0; i < step.count; i++)
    wk_start (setup->workers, &job->tasks[i]);
}

static void
tear_down (struct setup *setup)
{
  wk_end_term (setup->workers);
  while (setup->calls->len > 0)
    end_call (setup, g_ptr_array_steal_index_fast (setup->calls, 0));
  wk_free (setup->workers);
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
  mt_free (setup->metrics);
  g_hash_table_destroy (setup->runs);
  g_ptr_array_free (setup->calls, TRUE);
}

static void
check_starts_go_on (uint32_t link_bytes_per_s, uint32_t worker_count)
{
  struct setup setup;
  int64_t full_until_ms;
  uint32_t waiting;

  set_up (&setup, link_bytes_per_s, worker_count);
  full_until_ms = now_ms + FULL_MS;
  setup.link_free_ms = (double)now_ms + QUEUE_MS;
  start_wave (&setup);
  pass_time (&setup, full_until_ms, full_until_ms);
  CU_ASSERT_EQUAL (wk_link_state (setup.workers).bytes_per_s,
                   link_bytes_per_s / 10);
  CU_ASSERT_TRUE (wk_waiting_starts (setup.workers) > worker_count);
  waiting = wk_waiting_starts (setup.workers);
  pass_time (&setup, full_until_ms + RESUMED_MS, 0);
  CU_ASSERT_TRUE (wk_waiting_starts (setup.workers) < waiting);
  setup.polls_lost = 0;
  pass_time (&setup, full_until_ms + ALL_STARTED_MS, 0);
  CU_ASSERT_EQUAL (wk_waiting_starts (setup.workers), 0);
  CU_ASSERT_EQUAL (setup.polls_lost, 0);
  tear_down (&setup);
}

/* Guards against a planner that starts nothing any more: the link was full
   for some seconds, the budget fell to its least, and status polls alone used
   more than that (scale-2 of the small twin of large, seed 91005).  */
static void
test_starts_go_on_after_a_full_link (void)
{
  check_starts_go_on (250000, 120);
}

static void
test_starts_go_on_on_a_larger_fleet (void)
{
  check_starts_go_on (2500000, 1100);
}

/* Nothing is placed while many starts wait, so the starts of tasks that are
   gone must not count for long.  */
static void
test_starts_of_a_cancelled_job_leave_the_backlog (void)
{
  struct setup setup;

  set_up (&setup, 250000, 120);
  start_wave (&setup);
  CU_ASSERT_TRUE (wk_backlog_ms (setup.workers, false) > MS_PER_S);
  sd_job_cancelled (setup.sched, jb_table_find (setup.table, JOB), now_ms);
  pass_time (&setup, now_ms + DROPPED_MS, 0);
  CU_ASSERT_EQUAL (wk_backlog_ms (setup.workers, false), 0);
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "starts go on after a full link", test_starts_go_on_after_a_full_link },
    { "starts go on on a larger fleet", test_starts_go_on_on_a_larger_fleet },
    { "the starts of a cancelled job leave the backlog",
      test_starts_of_a_cancelled_job_leave_the_backlog },
  };

  return check_run ("hostd full link", tests, G_N_ELEMENTS (tests));
}
