/* Tests of a gang up to its running state, and of each failure before it.  */

#include "gang_fixture.h"

static void
test_runs_and_finishes (void)
{
  struct gf_fixture f;

  gf_setup (&f, false);
  CU_ASSERT_STRING_EQUAL (gf_send (&f, GANG_EV_BEGIN), "lease 0;lease 1;");
  CU_ASSERT_STRING_EQUAL (gf_send_reply (&f, GANG_EV_LEASED, 1, GANG_REPLY_OK),
                          "");
  CU_ASSERT_STRING_EQUAL (gf_send_reply (&f, GANG_EV_LEASED, 0, GANG_REPLY_OK),
                          "record place;");
  CU_ASSERT_FALSE (gang_is_recorded (f.gang));
  CU_ASSERT_STRING_EQUAL (
      gf_send_recorded (&f, GANG_RECORD_PLACE, GANG_VERDICT_VALID),
      "start 0;start 1;");
  CU_ASSERT_TRUE (gang_is_recorded (f.gang));
  CU_ASSERT_STRING_EQUAL (
      gf_send_reply (&f, GANG_EV_STARTED, 0, GANG_REPLY_OK), "");
  CU_ASSERT_STRING_EQUAL (
      gf_send_reply (&f, GANG_EV_STARTED, 1, GANG_REPLY_OK),
      "record started;");
  GF_ASSERT_STATE (&f, "running");
  gf_send_recorded (&f, GANG_RECORD_START, GANG_VERDICT_VALID);
  CU_ASSERT_STRING_EQUAL (gf_send_task_ended (&f, 0, true, false), "");
  gf_send_task_ended (&f, 1, true, false);
  gf_send_task_ended (&f, 2, true, false);
  CU_ASSERT_STRING_EQUAL (gf_send (&f, GANG_EV_FINISHED), "stop 0;stop 1;");
  gf_send_stopped (&f, 0, true);
  CU_ASSERT_STRING_EQUAL (gf_send_stopped (&f, 1, true), "ended;");
  CU_ASSERT_EQUAL (f.ended.outcome, PLACE_OUTCOME_SUCCEEDED);
  CU_ASSERT_FALSE (f.ended.requeue);
  gf_teardown (&f);
}

/* Whatever the worker answers, nothing is started, and every worker that may
   hold a lease is stopped before the job may be placed again.  */
static void
test_lease_not_granted (void)
{
  static const struct
  {
    enum gang_reply reply;
    const char *stops;
    const char *blamed;
  } cases[] = { { GANG_REPLY_REFUSED, "stop 0;", "b" },
                { GANG_REPLY_BUSY, "stop 0;", NULL },
                { GANG_REPLY_ATTEMPT_OVER, "stop 0;", NULL },
                { GANG_REPLY_NOT_SENT, "stop 0;", "b" },
                { GANG_REPLY_UNKNOWN, "stop 0;stop 1;", "b" } };
  struct gf_fixture f;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      gf_setup (&f, false);
      gf_bring_to (&f, GANG_LEASING);
      gf_send_reply (&f, GANG_EV_LEASED, 0, GANG_REPLY_OK);
      CU_ASSERT_STRING_EQUAL (
          gf_send_reply (&f, GANG_EV_LEASED, 1, cases[i].reply),
          cases[i].stops);
      gf_send_stopped (&f, 0, false);
      gf_send_stopped (&f, 1, false);
      GF_ASSERT_STATE (&f, "holding");
      CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, GF_RESTART_DELAY_MS - 1), "");
      CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, 1), "record place;");
      gf_send_recorded (&f, GANG_RECORD_PLACE, GANG_VERDICT_VALID);
      CU_ASSERT_TRUE (f.stop.requeue);
      CU_ASSERT_TRUE (f.stop.not_started);
      CU_ASSERT_STRING_EQUAL (
          gf_send_recorded (&f, GANG_RECORD_STOP, GANG_VERDICT_VALID),
          "ended;");
      CU_ASSERT_EQUAL (f.ended.outcome, PLACE_OUTCOME_NOT_STARTED);
      CU_ASSERT_TRUE (f.ended.requeue);
      CU_ASSERT_TRUE (g_strcmp0 (f.ended.blamed_worker, cases[i].blamed) == 0);
      gf_teardown (&f);
    }
}

/* A lease that is granted after the stop was sent.  */
static void
test_lease_granted_late (void)
{
  struct gf_fixture f;

  gf_setup (&f, false);
  gf_bring_to (&f, GANG_LEASING);
  CU_ASSERT_STRING_EQUAL (
      gf_send_reply (&f, GANG_EV_LEASED, 0, GANG_REPLY_BUSY), "stop 1;");
  CU_ASSERT_STRING_EQUAL (gf_send_reply (&f, GANG_EV_LEASED, 1, GANG_REPLY_OK),
                          "");
  GF_ASSERT_STATE (&f, "stopping");
  gf_send_stopped (&f, 1, false);
  GF_ASSERT_STATE (&f, "holding");
  gf_teardown (&f);
}

static void
test_placement_void (void)
{
  static const enum gang_verdict verdicts[]
      = { GANG_VERDICT_NO_EFFECT, GANG_VERDICT_NOT_ACCEPTED };
  struct gf_fixture f;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (verdicts); i++)
    {
      gf_setup (&f, false);
      gf_bring_to (&f, GANG_RECORDING_PLACE);
      CU_ASSERT_STRING_EQUAL (
          gf_send_recorded (&f, GANG_RECORD_PLACE, verdicts[i]),
          "stop 0;stop 1;");
      gf_teardown (&f);
    }
}

/* No lease is given up while JobPlace may still turn up in the log.  */
static void
test_placement_unknown (void)
{
  struct gf_fixture f;

  gf_setup (&f, false);
  gf_bring_to (&f, GANG_RECORDING_PLACE);
  CU_ASSERT_STRING_EQUAL (
      gf_send_recorded (&f, GANG_RECORD_PLACE, GANG_VERDICT_UNKNOWN), "");
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, GF_RETRY_MS), "record place;");
  CU_ASSERT_STRING_EQUAL (
      gf_send_recorded (&f, GANG_RECORD_PLACE, GANG_VERDICT_NOT_ACCEPTED), "");
  GF_ASSERT_STATE (&f, "recording");
  CU_ASSERT_STRING_EQUAL (gf_send (&f, GANG_EV_CANCEL), "");
  CU_ASSERT_STRING_EQUAL (
      gf_send_recorded (&f, GANG_RECORD_PLACE, GANG_VERDICT_VALID),
      "stop 0;stop 1;");
  gf_send_stopped (&f, 0, false);
  gf_send_stopped (&f, 1, false);
  CU_ASSERT_TRUE (f.stop.not_started);
  CU_ASSERT_FALSE (f.stop.requeue);
  gf_teardown (&f);
}

static void
test_start_refused (void)
{
  struct gf_fixture f;

  gf_setup (&f, false);
  gf_bring_to (&f, GANG_STARTING);
  CU_ASSERT_STRING_EQUAL (
      gf_send_reply (&f, GANG_EV_STARTED, 1, GANG_REPLY_REFUSED),
      "stop 0;stop 1;");
  gf_send_stopped (&f, 1, false);
  CU_ASSERT_STRING_EQUAL (gf_send_stopped (&f, 0, true), "record stopped;");
  /* Worker a has run its tasks: the job is not repeatable, so it is not queued
     again, and JobStop must not say "not started".  */
  CU_ASSERT_FALSE (f.stop.requeue);
  CU_ASSERT_FALSE (f.stop.not_started);
  gf_teardown (&f);

  gf_setup (&f, false);
  gf_bring_to (&f, GANG_STARTING);
  gf_send_reply (&f, GANG_EV_STARTED, 1, GANG_REPLY_REFUSED);
  gf_send_stopped (&f, 1, false);
  gf_send_stopped (&f, 0, false);
  CU_ASSERT_TRUE (f.stop.requeue);
  CU_ASSERT_TRUE (f.stop.not_started);
  gf_teardown (&f);
}

/* All answers to the starts of worker b are lost, until the start timeout.  */
static void
test_start_unanswered (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_STARTING);
  gf_send_reply (&f, GANG_EV_STARTED, 0, GANG_REPLY_OK);
  gf_send_reply (&f, GANG_EV_STARTED, 1, GANG_REPLY_UNKNOWN);
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, GF_RETRY_MS), "start 1;");
  gf_send_reply (&f, GANG_EV_STARTED, 1, GANG_REPLY_UNKNOWN);
  CU_ASSERT_STRING_EQUAL (
      gf_advance_ms (&f, GF_START_TIMEOUT_MS - GF_RETRY_MS), "stop 0;stop 1;");
  gf_send_stopped (&f, 0, true);
  gf_send_stopped (&f, 1, false);
  CU_ASSERT_TRUE (f.stop.requeue);
  CU_ASSERT_FALSE (f.stop.not_started);
  gf_send_recorded (&f, GANG_RECORD_STOP, GANG_VERDICT_VALID);
  CU_ASSERT_EQUAL (f.ended.outcome, PLACE_OUTCOME_NOT_STARTED);
  CU_ASSERT_STRING_EQUAL (f.ended.blamed_worker, "b");
  gf_teardown (&f);
}

/* A worker that has restarted does not know what it ran before, so its answer
   that nothing was started is not relied on.  */
static void
test_restarted_worker_is_not_believed (void)
{
  struct gang_event stopped
      = { .kind = GANG_EV_STOPPED, .worker_boot_id = GF_BOOT + 1 };
  struct gf_fixture f;

  gf_setup (&f, false);
  gf_bring_to (&f, GANG_STARTING);
  gf_send_reply (&f, GANG_EV_STARTED, 0, GANG_REPLY_UNKNOWN);
  gf_send_reply (&f, GANG_EV_STARTED, 1, GANG_REPLY_REFUSED);
  gf_send_stopped (&f, 1, false);
  gf_send_event (&f, stopped);
  CU_ASSERT_FALSE (f.stop.not_started);
  CU_ASSERT_FALSE (f.stop.requeue);
  gf_teardown (&f);
}

static void
test_start_not_recorded (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_STARTING);
  gf_send_reply (&f, GANG_EV_STARTED, 0, GANG_REPLY_OK);
  gf_send_reply (&f, GANG_EV_STARTED, 1, GANG_REPLY_OK);
  gf_send_recorded (&f, GANG_RECORD_START, GANG_VERDICT_NOT_ACCEPTED);
  GF_ASSERT_STATE (&f, "running");
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, GF_RETRY_MS), "record started;");
  gf_send_recorded (&f, GANG_RECORD_START, GANG_VERDICT_VALID);
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, GF_RETRY_MS), "");
  gf_teardown (&f);
}

static void
test_resumed (void)
{
  struct gang_event resume = { .kind = GANG_EV_RESUME };
  struct gf_fixture f;

  gf_setup (&f, false);
  /* Worker b's only task has ended: it need not be started.  */
  gf_send_task_ended (&f, 1, true, false);
  CU_ASSERT_STRING_EQUAL (gf_send_event (&f, resume), "start 0;");
  CU_ASSERT_STRING_EQUAL (
      gf_send_reply (&f, GANG_EV_STARTED, 0, GANG_REPLY_OK),
      "record started;");
  gf_teardown (&f);

  gf_setup (&f, false);
  CU_ASSERT_STRING_EQUAL (gf_send_event (&f, resume), "start 0;start 1;");
  gf_send_reply (&f, GANG_EV_STARTED, 0, GANG_REPLY_REFUSED);
  gf_send_stopped (&f, 0, false);
  gf_send_stopped (&f, 1, false);
  /* The earlier planner may have started tasks.  */
  CU_ASSERT_FALSE (f.stop.not_started);
  gf_teardown (&f);

  gf_setup (&f, false);
  resume.running = true;
  CU_ASSERT_STRING_EQUAL (gf_send_event (&f, resume), "");
  GF_ASSERT_STATE (&f, "running");
  gf_teardown (&f);
}

/* A gang that had to stop is not started again by the next planner.  */
static void
test_resumed_to_stop (void)
{
  struct gang_event resume = { .kind = GANG_EV_RESUME };
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_send_task_ended (&f, 1, false, false);
  CU_ASSERT_STRING_EQUAL (gf_send_event (&f, resume), "stop 0;stop 1;");
  gf_teardown (&f);

  gf_setup (&f, true);
  gf_send (&f, GANG_EV_CANCEL);
  CU_ASSERT_STRING_EQUAL (gf_send_event (&f, resume), "stop 0;stop 1;");
  gf_teardown (&f);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("gang", NULL, NULL);
  CU_add_test (suite, "runs and finishes", test_runs_and_finishes);
  CU_add_test (suite, "lease not granted", test_lease_not_granted);
  CU_add_test (suite, "lease granted late", test_lease_granted_late);
  CU_add_test (suite, "placement void", test_placement_void);
  CU_add_test (suite, "placement unknown", test_placement_unknown);
  CU_add_test (suite, "start refused", test_start_refused);
  CU_add_test (suite, "start unanswered", test_start_unanswered);
  CU_add_test (suite, "restarted worker",
               test_restarted_worker_is_not_believed);
  CU_add_test (suite, "start not recorded", test_start_not_recorded);
  CU_add_test (suite, "resumed", test_resumed);
  CU_add_test (suite, "resumed to stop", test_resumed_to_stop);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
