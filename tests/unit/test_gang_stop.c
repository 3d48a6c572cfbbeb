/* How a gang ends: failures while it runs, evictions, cancellations, and
   workers that do not answer.  */

#include "gang_fixture.h"

static const int64_t BOUND_MS = GF_TTL_MS + (2 * GF_RENEW_MS) + GF_CALL_MS;

static void
stop_both (struct gf_fixture *f)
{
  gf_stopped (f, 0, true);
  CU_ASSERT_STRING_EQUAL (gf_stopped (f, 1, true), "record stopped;");
}

static void
test_task_failed (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  CU_ASSERT_STRING_EQUAL (gf_task_ended (&f, 1, false, false),
                          "stop 0;stop 1;");
  stop_both (&f);
  CU_ASSERT_TRUE (f.stop.again);
  CU_ASSERT_FALSE (f.stop.not_started);
  CU_ASSERT_EQUAL (f.stop.progress_ms, 5);
  gf_recorded (&f, GANG_RECORD_STOP, GANG_VALID);
  CU_ASSERT_EQUAL (f.ended.end, PLACE_OUTCOME_FAILED);
  CU_ASSERT_STRING_EQUAL (f.ended.worker, "b");
  gf_teardown (&f);
}

static void
test_not_repeatable_runs_once (void)
{
  struct gf_fixture f;

  gf_setup (&f, false);
  gf_bring_to (&f, GANG_RUNNING);
  gf_task_ended (&f, 2, false, true);
  stop_both (&f);
  CU_ASSERT_FALSE (f.stop.again);
  gf_recorded (&f, GANG_RECORD_STOP, GANG_VALID);
  CU_ASSERT_EQUAL (f.ended.end, PLACE_OUTCOME_LOST);
  CU_ASSERT_FALSE (f.ended.again);
  gf_teardown (&f);
}

static void
test_last_attempt (void)
{
  static const struct place_assignment one = { .worker = "a" };
  struct gang_params params = { .assignments = &one,
                                .assignment_count = 1,
                                .repeatable = true,
                                .attempts_left = false };
  struct gf_fixture f = { .said = g_string_new (NULL) };

  CU_ASSERT_EQUAL_FATAL (gang_create (&f.gang, &params), GANG_OK);
  gf_kind (&f, GANG_EV_BEGIN);
  gf_reply (&f, GANG_EV_LEASED, 0, GANG_REPLY_OK);
  gf_recorded (&f, GANG_RECORD_PLACE, GANG_VALID);
  gf_reply (&f, GANG_EV_STARTED, 0, GANG_REPLY_OK);
  CU_ASSERT_STRING_EQUAL (gf_task_ended (&f, 0, false, false), "stop 0;");
  CU_ASSERT_STRING_EQUAL (gf_stopped (&f, 0, true), "record stopped;");
  CU_ASSERT_FALSE (f.stop.again);
  gf_teardown (&f);
}

/* Worker b never answers: the log is told, so that nobody renews, and the
   job is not placed again while b may hold its lease.  */
static void
test_stop_unanswered (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_STARTING);
  gf_reply (&f, GANG_EV_STARTED, 0, GANG_REPLY_REFUSED);
  gf_stopped (&f, 0, false);
  CU_ASSERT_STRING_EQUAL (
      gf_reply (&f, GANG_EV_STOPPED, 1, GANG_REPLY_UNKNOWN), "record lost;");
  gf_recorded (&f, GANG_RECORD_LOST, GANG_NOT_TAKEN);
  CU_ASSERT_STRING_EQUAL (gf_pass (&f, 10 * BOUND_MS), "record lost;stop 1;");
  gf_reply (&f, GANG_EV_STOPPED, 1, GANG_REPLY_UNSENT);
  gf_recorded (&f, GANG_RECORD_LOST, GANG_VALID);
  CU_ASSERT_STRING_EQUAL (gf_pass (&f, BOUND_MS - 1), "stop 1;");
  CU_ASSERT_STRING_EQUAL (gf_pass (&f, 1), "record stopped;");
  CU_ASSERT_TRUE (f.stop.again);
  CU_ASSERT_FALSE (f.stop.not_started);
  gf_teardown (&f);
}

/* Leases that were not recorded are renewed by nobody.  */
static void
test_unrecorded_stop_unanswered (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_LEASING);
  gf_reply (&f, GANG_EV_LEASED, 0, GANG_REPLY_REFUSED);
  CU_ASSERT_STRING_EQUAL (
      gf_reply (&f, GANG_EV_STOPPED, 1, GANG_REPLY_UNKNOWN), "");
  CU_ASSERT_STRING_EQUAL (gf_pass (&f, GF_TTL_MS + GF_CALL_MS - 1), "stop 1;");
  GF_STATE (&f, "stopping");
  gf_pass (&f, 1);
  GF_STATE (&f, "holding");
  CU_ASSERT_STRING_EQUAL (gf_pass (&f, 1), "record place;");
  gf_teardown (&f);
}

/* All tasks of worker b have reported their end: it need not answer.  */
static void
test_reported_worker_is_free (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  gf_task_ended (&f, 1, true, false);
  gf_task_ended (&f, 0, false, false);
  gf_stopped (&f, 0, true);
  CU_ASSERT_STRING_EQUAL (gf_reply (&f, GANG_EV_STOPPED, 1, GANG_REPLY_UNSENT),
                          "record stopped;");
  gf_teardown (&f);
}

static void
test_stop_not_recorded (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  gf_task_ended (&f, 1, false, false);
  stop_both (&f);
  gf_recorded (&f, GANG_RECORD_STOP, GANG_UNKNOWN);
  CU_ASSERT_STRING_EQUAL (gf_pass (&f, GF_RETRY_MS), "record stopped;");
  /* The first record took effect, as the log shows.  */
  CU_ASSERT_STRING_EQUAL (
      gf_event (&f,
                (struct gang_event){ .kind = GANG_EV_LEFT, .again = true }),
      "ended;");
  CU_ASSERT_TRUE (f.ended.again);
  CU_ASSERT_EQUAL (f.ended.end, PLACE_OUTCOME_FAILED);
  gf_teardown (&f);
}

static void
evict (struct gf_fixture *f, const char *expected)
{
  CU_ASSERT_STRING_EQUAL (
      gf_event (f, (struct gang_event){ .kind = GANG_EV_EVICT,
                                        .grace_ms = GF_GRACE_MS }),
      expected);
}

static const char *
checkpointed (struct gf_fixture *f, size_t member, uint64_t progress_ms)
{
  return gf_event (f, (struct gang_event){ .kind = GANG_EV_CHECKPOINTED,
                                           .member = member,
                                           .progress_ms = progress_ms });
}

static void
test_evicted (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict (&f, "checkpoint 0;checkpoint 1;");
  CU_ASSERT_STRING_EQUAL (checkpointed (&f, 0, 90), "");
  CU_ASSERT_STRING_EQUAL (checkpointed (&f, 1, 80), "stop 0;stop 1;");
  stop_both (&f);
  CU_ASSERT_TRUE (f.stop.again);
  CU_ASSERT_EQUAL (f.stop.progress_ms, 80);
  gf_recorded (&f, GANG_RECORD_STOP, GANG_VALID);
  CU_ASSERT_EQUAL (f.ended.end, PLACE_OUTCOME_EVICTED);
  CU_ASSERT_EQUAL (f.ended.progress_ms, 80);
  gf_teardown (&f);
}

/* A member that is not saved in time: the gang starts from what was saved
   before.  */
static void
test_evicted_without_checkpoint (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict (&f, "checkpoint 0;checkpoint 1;");
  checkpointed (&f, 0, 90);
  CU_ASSERT_STRING_EQUAL (gf_pass (&f, GF_GRACE_MS), "stop 0;stop 1;");
  stop_both (&f);
  CU_ASSERT_EQUAL (f.stop.progress_ms, 5);
  gf_teardown (&f);

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_STARTING);
  evict (&f, "stop 0;stop 1;");
  gf_teardown (&f);
}

/* A cancellation in each state ends the gang for good.  */
static void
test_cancelled (void)
{
  static const enum gang_state states[]
      = { GANG_LEASING, GANG_STARTING, GANG_RUNNING };
  struct gf_fixture f;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (states); i++)
    {
      gf_setup (&f, true);
      gf_bring_to (&f, states[i]);
      CU_ASSERT_STRING_EQUAL (gf_kind (&f, GANG_EV_CANCEL), "stop 0;stop 1;");
      gf_stopped (&f, 0, false);
      gf_stopped (&f, 1, false);
      gf_recorded (&f, GANG_RECORD_STOP, GANG_VALID);
      CU_ASSERT_EQUAL (f.ended.end, PLACE_OUTCOME_CANCELLED);
      CU_ASSERT_FALSE (f.ended.again);
      GF_STATE (&f, "done");
      gf_teardown (&f);
    }
}

static void
test_cancelled_while_stopping (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  gf_task_ended (&f, 1, false, false);
  gf_kind (&f, GANG_EV_CANCEL);
  stop_both (&f);
  CU_ASSERT_FALSE (f.stop.again);
  gf_teardown (&f);
}

static void
test_given_up (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  gf_event (&f, (struct gang_event){ .kind = GANG_EV_GIVE_UP,
                                     .reason = "it fails everywhere" });
  stop_both (&f);
  CU_ASSERT_FALSE (f.stop.again);
  CU_ASSERT_STRING_EQUAL (f.stop.reason, "it fails everywhere");
  gf_teardown (&f);
}

/* The last task ended well while the gang was being evicted: it is not run
   again.  */
static void
test_finished_while_evicted (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict (&f, "checkpoint 0;checkpoint 1;");
  gf_pass (&f, GF_GRACE_MS);
  gf_kind (&f, GANG_EV_FINISHED);
  gf_stopped (&f, 0, true);
  CU_ASSERT_STRING_EQUAL (gf_stopped (&f, 1, true), "ended;");
  CU_ASSERT_EQUAL (f.ended.end, PLACE_OUTCOME_SUCCEEDED);
  CU_ASSERT_FALSE (f.ended.again);
  gf_teardown (&f);
}

static void
checkpoint_too_late (struct gf_fixture *f, size_t member, const char *expected)
{
  CU_ASSERT_STRING_EQUAL (
      gf_reply (f, GANG_EV_CHECKPOINTED, member, GANG_REPLY_ENDED), expected);
}

/* All tasks are over, and that is not known yet: the end is waited for, until
   the grace is over.  A part that runs on is stopped at once.  */
static void
test_evicted_when_over (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict (&f, "checkpoint 0;checkpoint 1;");
  checkpoint_too_late (&f, 0, "");
  checkpoint_too_late (&f, 1, "");
  CU_ASSERT_STRING_EQUAL (gf_kind (&f, GANG_EV_FINISHED), "stop 0;stop 1;");
  gf_stopped (&f, 0, true);
  CU_ASSERT_STRING_EQUAL (gf_stopped (&f, 1, true), "ended;");
  CU_ASSERT_EQUAL (f.ended.end, PLACE_OUTCOME_SUCCEEDED);
  gf_teardown (&f);

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict (&f, "checkpoint 0;checkpoint 1;");
  checkpoint_too_late (&f, 0, "");
  checkpoint_too_late (&f, 1, "");
  CU_ASSERT_STRING_EQUAL (gf_pass (&f, GF_GRACE_MS), "stop 0;stop 1;");
  gf_teardown (&f);

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict (&f, "checkpoint 0;checkpoint 1;");
  checkpoint_too_late (&f, 0, "");
  CU_ASSERT_STRING_EQUAL (checkpointed (&f, 1, 80), "stop 0;stop 1;");
  gf_teardown (&f);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("gang stop", NULL, NULL);
  CU_add_test (suite, "task failed", test_task_failed);
  CU_add_test (suite, "not repeatable", test_not_repeatable_runs_once);
  CU_add_test (suite, "last attempt", test_last_attempt);
  CU_add_test (suite, "stop unanswered", test_stop_unanswered);
  CU_add_test (suite, "unrecorded stop unanswered",
               test_unrecorded_stop_unanswered);
  CU_add_test (suite, "reported worker", test_reported_worker_is_free);
  CU_add_test (suite, "stop not recorded", test_stop_not_recorded);
  CU_add_test (suite, "evicted", test_evicted);
  CU_add_test (suite, "evicted without checkpoint",
               test_evicted_without_checkpoint);
  CU_add_test (suite, "cancelled", test_cancelled);
  CU_add_test (suite, "cancelled while stopping",
               test_cancelled_while_stopping);
  CU_add_test (suite, "given up", test_given_up);
  CU_add_test (suite, "finished while evicted", test_finished_while_evicted);
  CU_add_test (suite, "evicted when over", test_evicted_when_over);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
