/* Tests of the planner's log and counters of what waits: the reasons that only
   the planner knows, and the limits of lines.  */

#include <fcntl.h>
#include <unistd.h>

#include "../../programs/foxtailgap-hostd/planner_private.h"
#include "check.h"
#include "common/logging.h"
#include "hostd_fixture.h"

enum
{
  WORKERS = 8,
  WORKER_ACCELERATORS = 8,
  GANGS = 100,
  STEP_MS = 1000,
  LINES_MAX = 8, /* in a second */
  PIPE_BYTES = 65536,
  LOG_LINES_PER_S = 100000
};

static const char LINE[] = "msg=\"A job waits.\"";
static const char MORE_LINE[] = "msg=\"More jobs wait than are logged.\"";

static int reader;

struct setup
{
  struct jb_table *table;
  struct ct_catalog *catalog;
  struct fake_port port;
  struct planner planner;
  int64_t now_ms;
  uint32_t jobs;
};

static void
set_up (struct setup *setup)
{
  struct sd_params params = { .remote_slowdown_factor = 3,
                              .stop_max_ms = 200,
                              .reserved_tasks_per_100_workers = 50 };
  struct wk_params workers = { .lease_ttl_ms = 6000, .lease_limit_ms = 6000 };
  uint32_t i;

  memset (setup, 0, sizeof *setup);
  setup->now_ms = 100000;
  setup->table = jb_table_create ();
  setup->catalog = fixture_catalog ();
  setup->planner.role = PL_PLANNER;
  setup->planner.sched = sd_create (&params, setup->table);
  setup->planner.params.metrics = mt_create ();
  setup->planner.params.loop = ev_loop_new (EVFLAG_AUTO);
  setup->planner.load = ll_create (setup->planner.params.loop);
  setup->planner.starts
      = g_array_new (FALSE, FALSE, sizeof (struct pl_pending_start));
  workers.loop = setup->planner.params.loop;
  workers.port = fake_wp_port (&setup->port);
  workers.sched = setup->planner.sched;
  workers.table = setup->table;
  workers.metrics = setup->planner.params.metrics;
  setup->planner.workers = wk_create (&workers);
  sd_set_catalog (setup->planner.sched, setup->catalog);
  for (i = 0; i < WORKERS; i++)
    {
      char *id = g_strdup_printf ("w%u", i);

      fixture_worker (setup->planner.sched, id, "r1", WORKER_ACCELERATORS);
      g_free (id);
    }
}

static void
tear_down (struct setup *setup)
{
  wk_free (setup->planner.workers);
  ll_free (setup->planner.load);
  g_array_free (setup->planner.starts, TRUE);
  mt_free (setup->planner.params.metrics);
  sd_free (setup->planner.sched);
  jb_table_free (setup->table);
  ct_catalog_free (setup->catalog);
  ev_loop_destroy (setup->planner.params.loop);
}

static struct jb_job *
add_gang (struct setup *setup, uint32_t count)
{
  struct fixture_step step
      = { .count = count, .accelerators = WORKER_ACCELERATORS, .gang = true };
  char id[JB_ID_DIGITS + 1];
  struct jb_job *job;

  g_snprintf (id, sizeof id, "%016x", ++setup->jobs);
  job = jb_table_add (setup->table, id,
                      fixture_spec ("batch", "clinic", &step), setup->now_ms);
  sd_job_added (setup->planner.sched, job);
  return job;
}

/* A gang that runs takes all workers.  */
static void
fill_workers (struct setup *setup)
{
  struct jb_job *job = add_gang (setup, WORKERS);
  uint32_t i;

  CU_ASSERT_EQUAL (fixture_run_round (setup->planner.sched, setup->now_ms),
                   WORKERS);
  for (i = 0; i < WORKERS; i++)
    sd_task_running (setup->planner.sched, &job->tasks[i], setup->now_ms);
}

/* Lets a second pass with a round at its end, and a survey.
   @return : what that has logged, to be freed by g_free ().  */
static char *
survey (struct setup *setup)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  ssize_t got;

  setup->now_ms += STEP_MS;
  fixture_run_round (setup->planner.sched, setup->now_ms);
  if (setup->planner.no_round_why == NULL)
    setup->planner.round_held_ms = setup->now_ms;
  pl_survey_waiting (&setup->planner, setup->now_ms);
  while ((got = read (reader, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, got);
  return g_string_free (text, FALSE);
}

static uint32_t
count_matches (const char *text, const char *part)
{
  uint32_t found = 0;

  for (text = strstr (text, part); text != NULL;
       text = strstr (text + 1, part))
    found++;
  return found;
}

/* Surveys until the job of the setup has stood for two seconds, and looks for
   a line with both texts.  */
static void
check_line (struct setup *setup, const char *why, const char *detail)
{
  char *text = NULL;
  int i;

  for (i = 0; i < 4 && (text == NULL || strstr (text, LINE) == NULL); i++)
    {
      g_free (text);
      text = survey (setup);
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (text, LINE));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, why));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, detail));
  if (strstr (text, why) == NULL || strstr (text, detail) == NULL)
    printf ("\n  no %s or %s in: %s\n", why, detail, text);
  g_free (text);
}

/* --- Lines --- */

static void
test_waiting_gangs_are_all_named_within_the_limit (void)
{
  struct setup setup;
  GHashTable *named
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bool told_of_more = false;
  uint32_t i;

  set_up (&setup);
  fill_workers (&setup);
  for (i = 0; i < GANGS; i++)
    add_gang (&setup, 2);
  for (i = 0; i < 20; i++)
    {
      char *text = survey (&setup);
      const char *at;

      CU_ASSERT_TRUE (count_matches (text, LINE) <= LINES_MAX);
      CU_ASSERT_TRUE (count_matches (text, MORE_LINE) <= 1);
      told_of_more = told_of_more || strstr (text, MORE_LINE) != NULL;
      for (at = strstr (text, " job="); at != NULL;
           at = strstr (at + 1, " job="))
        g_hash_table_add (named, g_strndup (at + 5, JB_ID_DIGITS));
      g_free (text);
    }
  CU_ASSERT_TRUE (told_of_more);
  CU_ASSERT_EQUAL (g_hash_table_size (named), GANGS);
  CU_ASSERT_EQUAL (
      mt_value (setup.planner.params.metrics,
                "foxtailgap_waiting_jobs{why=\"no-accelerators\"}"),
      GANGS);
  CU_ASSERT_TRUE (
      mt_value (setup.planner.params.metrics,
                "foxtailgap_wait_ms_total{why=\"no-accelerators\"}")
      > (int64_t)GANGS * STEP_MS);
  pl_forget_waiting (&setup.planner);
  CU_ASSERT_EQUAL (
      mt_value (setup.planner.params.metrics,
                "foxtailgap_waiting_jobs{why=\"no-accelerators\"}"),
      0);
  g_hash_table_destroy (named);
  tear_down (&setup);
}

static void
test_line_is_repeated_after_5_s_or_with_a_new_reason (void)
{
  struct setup setup;
  uint32_t lines = 0;
  char *text;
  int i;

  set_up (&setup);
  fill_workers (&setup);
  add_gang (&setup, 2);
  check_line (&setup, "why=no-accelerators", "waited_ms=2000");
  for (i = 0; i < 9; i++)
    {
      text = survey (&setup);
      lines += count_matches (text, LINE);
      g_free (text);
    }
  CU_ASSERT_EQUAL (lines, 1);
  setup.planner.no_round_why = "the first status polls of the workers";
  text = survey (&setup);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "why=no-rounds"));
  g_free (text);
  tear_down (&setup);
}

/* --- Reasons of the planner --- */

static void
test_rounds_are_not_held (void)
{
  struct setup setup;

  set_up (&setup);
  fill_workers (&setup);
  add_gang (&setup, 2);
  setup.planner.no_round_why = "a reading of the jobs' topic";
  check_line (&setup, "why=no-rounds", "waits for a reading of the jobs");
  CU_ASSERT_EQUAL (mt_value (setup.planner.params.metrics,
                             "foxtailgap_waiting_jobs{why=\"no-rounds\"}"),
                   1);
  tear_down (&setup);
}

static void
test_starts_wait_for_the_link (void)
{
  struct setup setup;

  set_up (&setup);
  fill_workers (&setup);
  add_gang (&setup, 2);
  setup.planner.placing = SD_PLACE_NONE;
  check_line (&setup, "why=start-backlog", "0 starts wait");
  tear_down (&setup);
}

/* The rounds of the test itself would place the gang, so it is taken back.  */
static void
test_round_ends_early (void)
{
  struct setup setup;
  struct jb_job *job;
  char *text = NULL;
  uint32_t i;

  set_up (&setup);
  fixture_run_round (setup.planner.sched, setup.now_ms);
  job = add_gang (&setup, 2);
  setup.planner.round_ended_early = true;
  for (i = 0; i < 4; i++)
    {
      struct sd_commands none = { .placing = SD_PLACE_NONE,
                                  .starts = g_ptr_array_new (),
                                  .stops = g_ptr_array_new () };
      char buffer[4096];
      ssize_t got;

      setup.now_ms += STEP_MS;
      sd_round (setup.planner.sched, setup.now_ms, 0, &none);
      g_ptr_array_free (none.starts, TRUE);
      g_ptr_array_free (none.stops, TRUE);
      setup.planner.round_held_ms = setup.now_ms;
      pl_survey_waiting (&setup.planner, setup.now_ms);
      got = read (reader, buffer, sizeof buffer - 1);
      if (got > 0)
        {
          g_free (text);
          text = g_strndup (buffer, (gsize)got);
        }
    }
  CU_ASSERT_EQUAL (job->tasks[0].state, JB_TASK_WAITING);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "why=round-ended"));
  g_free (text);
  tear_down (&setup);
}

static void
test_start_is_not_stored (void)
{
  struct setup setup;
  struct pl_pending_start start;

  set_up (&setup);
  start.task = add_gang (&setup, 2)->tasks;
  CU_ASSERT_EQUAL (fixture_run_round (setup.planner.sched, setup.now_ms), 2);
  start.run = start.task->run;
  g_array_append_val (setup.planner.starts, start);
  check_line (&setup, "why=start-unstored", "not confirmed");
  tear_down (&setup);
}

static void
test_start_is_not_sent (void)
{
  struct setup setup;

  set_up (&setup);
  add_gang (&setup, 2);
  CU_ASSERT_EQUAL (fixture_run_round (setup.planner.sched, setup.now_ms), 2);
  check_line (&setup, "why=start-unsent",
              "waits for nothing, for it is not queued");
  tear_down (&setup);
}

static void
test_start_is_not_answered (void)
{
  struct setup setup;
  struct jb_job *job;

  set_up (&setup);
  job = add_gang (&setup, 2);
  CU_ASSERT_EQUAL (fixture_run_round (setup.planner.sched, setup.now_ms), 2);
  job->tasks[0].start_unsent = false;
  check_line (&setup, "why=start-unanswered", "task 0, run 1, on w");
  tear_down (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "waiting gangs are all named within the limit of lines",
      test_waiting_gangs_are_all_named_within_the_limit },
    { "a line is repeated after 5 s, or with a new reason",
      test_line_is_repeated_after_5_s_or_with_a_new_reason },
    { "rounds are not held", test_rounds_are_not_held },
    { "starts wait for the link", test_starts_wait_for_the_link },
    { "a round ends early", test_round_ends_early },
    { "a start is not stored", test_start_is_not_stored },
    { "a start is not sent", test_start_is_not_sent },
    { "a start is not answered", test_start_is_not_answered },
  };
  int ends[2];

  if (pipe (ends) != 0 || fcntl (ends[1], F_SETPIPE_SZ, PIPE_BYTES) < 0)
    return 1;
  reader = ends[0];
  fcntl (reader, F_SETFL, O_NONBLOCK);
  lg_init_bounded (ends[1], LOG_LINES_PER_S);
  return check_run ("hostd waiting log", tests, G_N_ELEMENTS (tests));
}
