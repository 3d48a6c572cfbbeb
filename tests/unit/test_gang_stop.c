/* Tests of a gang's stop: failures while it runs, evictions, cancellations,
   and workers that do not answer.  */

#include "gang_fixture.h"

static const int64_t STOP_BOUND_MS
    = GF_TTL_MS + (2 * GF_RENEW_MS) + GF_CALL_TIMEOUT_MS;

static void
answer_both_stops (struct gf_fixture *f)
{
  gf_send_stopped (f, 0, true);
  CU_ASSERT_STRING_EQUAL (gf_send_stopped (f, 1, true), "record stopped;");
}

static void
test_task_failed (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  CU_ASSERT_STRING_EQUAL (gf_send_task_ended (&f, 1, false, false),
                          "stop 0;stop 1;");
  answer_both_stops (&f);
  CU_ASSERT_TRUE (f.stop.requeue);
  CU_ASSERT_FALSE (f.stop.not_started);
  CU_ASSERT_EQUAL (f.stop.progress_ms, 5);
  gf_send_recorded (&f, GANG_RECORD_STOP, GANG_VERDICT_VALID);
  CU_ASSERT_EQUAL (f.ended.outcome, PLACE_OUTCOME_FAILED);
  CU_ASSERT_STRING_EQUAL (f.ended.blamed_worker, "b");
  gf_teardown (&f);
}

static void
test_not_repeatable_runs_once (void)
{
  struct gf_fixture f;

  gf_setup (&f, false);
  gf_bring_to (&f, GANG_RUNNING);
  gf_send_task_ended (&f, 2, false, true);
  answer_both_stops (&f);
  CU_ASSERT_FALSE (f.stop.requeue);
  gf_send_recorded (&f, GANG_RECORD_STOP, GANG_VERDICT_VALID);
  CU_ASSERT_EQUAL (f.ended.outcome, PLACE_OUTCOME_LOST);
  CU_ASSERT_FALSE (f.ended.requeue);
  gf_teardown (&f);
}

static void
test_last_attempt (void)
{
  static const struct place_assignment one = { .worker = "a" };
  struct gang_params params = { .assignments = &one,
                                .assignment_count = 1,
                                .repeatable = true,
                                .may_retry = false };
  struct gf_fixture f = { .commands_text = g_string_new (NULL) };

  CU_ASSERT_EQUAL_FATAL (gang_create (&f.gang, &params), GANG_OK);
  gf_send (&f, GANG_EV_BEGIN);
  gf_send_reply (&f, GANG_EV_LEASED, 0, GANG_REPLY_OK);
  gf_send_recorded (&f, GANG_RECORD_PLACE, GANG_VERDICT_VALID);
  gf_send_reply (&f, GANG_EV_STARTED, 0, GANG_REPLY_OK);
  CU_ASSERT_STRING_EQUAL (gf_send_task_ended (&f, 0, false, false), "stop 0;");
  CU_ASSERT_STRING_EQUAL (gf_send_stopped (&f, 0, true), "record stopped;");
  CU_ASSERT_FALSE (f.stop.requeue);
  gf_teardown (&f);
}

/* Worker b never answers: a lost member is recorded, so that hosts stop
   renewing, and the job is not queued again while b may hold its lease.  */
static void
test_stop_unanswered (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_STARTING);
  gf_send_reply (&f, GANG_EV_STARTED, 0, GANG_REPLY_REFUSED);
  gf_send_stopped (&f, 0, false);
  CU_ASSERT_STRING_EQUAL (
      gf_send_reply (&f, GANG_EV_STOPPED, 1, GANG_REPLY_UNKNOWN),
      "record lost;");
  gf_send_recorded (&f, GANG_RECORD_MEMBER_LOST, GANG_VERDICT_NOT_ACCEPTED);
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, 10 * STOP_BOUND_MS),
                          "record lost;stop 1;");
  gf_send_reply (&f, GANG_EV_STOPPED, 1, GANG_REPLY_NOT_SENT);
  gf_send_recorded (&f, GANG_RECORD_MEMBER_LOST, GANG_VERDICT_VALID);
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, STOP_BOUND_MS - 1), "stop 1;");
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, 1), "record stopped;");
  CU_ASSERT_TRUE (f.stop.requeue);
  CU_ASSERT_FALSE (f.stop.not_started);
  gf_teardown (&f);
}

/* No host renews a lease whose placement was not recorded, so such a lease
   ends after its time to live.  */
static void
test_unrecorded_stop_unanswered (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_LEASING);
  gf_send_reply (&f, GANG_EV_LEASED, 0, GANG_REPLY_REFUSED);
  CU_ASSERT_STRING_EQUAL (
      gf_send_reply (&f, GANG_EV_STOPPED, 1, GANG_REPLY_UNKNOWN), "");
  CU_ASSERT_STRING_EQUAL (
      gf_advance_ms (&f, GF_TTL_MS + GF_CALL_TIMEOUT_MS - 1), "stop 1;");
  GF_ASSERT_STATE (&f, "stopping");
  gf_advance_ms (&f, 1);
  GF_ASSERT_STATE (&f, "holding");
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, 1), "record place;");
  gf_teardown (&f);
}

/* Worker b has reported the end of all its tasks: its answer to the stop is
   not needed.  */
static void
test_reported_worker_is_free (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  gf_send_task_ended (&f, 1, true, false);
  gf_send_task_ended (&f, 0, false, false);
  gf_send_stopped (&f, 0, true);
  CU_ASSERT_STRING_EQUAL (
      gf_send_reply (&f, GANG_EV_STOPPED, 1, GANG_REPLY_NOT_SENT),
      "record stopped;");
  gf_teardown (&f);
}

static void
test_stop_not_recorded (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  gf_send_task_ended (&f, 1, false, false);
  answer_both_stops (&f);
  gf_send_recorded (&f, GANG_RECORD_STOP, GANG_VERDICT_UNKNOWN);
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, GF_RETRY_MS), "record stopped;");
  /* The first JobStop has taken effect, and is read from the log.  */
  CU_ASSERT_STRING_EQUAL (
      gf_send_event (&f, (struct gang_event){ .kind = GANG_EV_ATTEMPT_OVER,
                                              .requeue = true }),
      "ended;");
  CU_ASSERT_TRUE (f.ended.requeue);
  CU_ASSERT_EQUAL (f.ended.outcome, PLACE_OUTCOME_FAILED);
  gf_teardown (&f);
}

static void
evict_and_expect (struct gf_fixture *f, const char *expected)
{
  CU_ASSERT_STRING_EQUAL (
      gf_send_event (f, (struct gang_event){ .kind = GANG_EV_EVICT,
                                             .grace_ms = GF_GRACE_MS }),
      expected);
}

static const char *
send_checkpointed (struct gf_fixture *f, size_t member, uint64_t progress_ms)
{
  return gf_send_event (f, (struct gang_event){ .kind = GANG_EV_CHECKPOINTED,
                                                .member = member,
                                                .progress_ms = progress_ms });
}

static void
test_evicted (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict_and_expect (&f, "checkpoint 0;checkpoint 1;");
  CU_ASSERT_STRING_EQUAL (send_checkpointed (&f, 0, 90), "");
  CU_ASSERT_STRING_EQUAL (send_checkpointed (&f, 1, 80), "stop 0;stop 1;");
  answer_both_stops (&f);
  CU_ASSERT_TRUE (f.stop.requeue);
  CU_ASSERT_EQUAL (f.stop.progress_ms, 80);
  gf_send_recorded (&f, GANG_RECORD_STOP, GANG_VERDICT_VALID);
  CU_ASSERT_EQUAL (f.ended.outcome, PLACE_OUTCOME_EVICTED);
  CU_ASSERT_EQUAL (f.ended.progress_ms, 80);
  gf_teardown (&f);
}

/* A member does not checkpoint in time: the next attempt starts from the
   progress of earlier attempts.  */
static void
test_evicted_without_checkpoint (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict_and_expect (&f, "checkpoint 0;checkpoint 1;");
  send_checkpointed (&f, 0, 90);
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, GF_GRACE_MS), "stop 0;stop 1;");
  answer_both_stops (&f);
  CU_ASSERT_EQUAL (f.stop.progress_ms, 5);
  gf_teardown (&f);

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_STARTING);
  evict_and_expect (&f, "stop 0;stop 1;");
  gf_teardown (&f);
}

/* A cancelled job is not queued again, in whatever state its gang was.  */
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
      CU_ASSERT_STRING_EQUAL (gf_send (&f, GANG_EV_CANCEL), "stop 0;stop 1;");
      gf_send_stopped (&f, 0, false);
      gf_send_stopped (&f, 1, false);
      gf_send_recorded (&f, GANG_RECORD_STOP, GANG_VERDICT_VALID);
      CU_ASSERT_EQUAL (f.ended.outcome, PLACE_OUTCOME_CANCELLED);
      CU_ASSERT_FALSE (f.ended.requeue);
      GF_ASSERT_STATE (&f, "done");
      gf_teardown (&f);
    }
}

static void
test_cancelled_while_stopping (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  gf_send_task_ended (&f, 1, false, false);
  gf_send (&f, GANG_EV_CANCEL);
  answer_both_stops (&f);
  CU_ASSERT_FALSE (f.stop.requeue);
  gf_teardown (&f);
}

static void
test_given_up (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  gf_send_event (&f, (struct gang_event){ .kind = GANG_EV_GIVE_UP,
                                          .reason = "it fails everywhere" });
  answer_both_stops (&f);
  CU_ASSERT_FALSE (f.stop.requeue);
  CU_ASSERT_STRING_EQUAL (f.stop.reason, "it fails everywhere");
  gf_teardown (&f);
}

/* The last task succeeded while the gang was being evicted: the job is not run
   again.  */
static void
test_finished_while_evicted (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict_and_expect (&f, "checkpoint 0;checkpoint 1;");
  gf_advance_ms (&f, GF_GRACE_MS);
  gf_send (&f, GANG_EV_FINISHED);
  gf_send_stopped (&f, 0, true);
  CU_ASSERT_STRING_EQUAL (gf_send_stopped (&f, 1, true), "ended;");
  CU_ASSERT_EQUAL (f.ended.outcome, PLACE_OUTCOME_SUCCEEDED);
  CU_ASSERT_FALSE (f.ended.requeue);
  gf_teardown (&f);
}

static void
send_checkpoint_too_late (struct gf_fixture *f, size_t member,
                          const char *expected)
{
  CU_ASSERT_STRING_EQUAL (
      gf_send_reply (f, GANG_EV_CHECKPOINTED, member, GANG_REPLY_ATTEMPT_OVER),
      expected);
}

/* Eviction of a gang whose tasks have ended, before the log says so: the gang
   waits for the end in the log until the grace is over.  If one member still
   runs, all are stopped at once.  */
static void
test_evicted_when_over (void)
{
  struct gf_fixture f;

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict_and_expect (&f, "checkpoint 0;checkpoint 1;");
  send_checkpoint_too_late (&f, 0, "");
  send_checkpoint_too_late (&f, 1, "");
  CU_ASSERT_STRING_EQUAL (gf_send (&f, GANG_EV_FINISHED), "stop 0;stop 1;");
  gf_send_stopped (&f, 0, true);
  CU_ASSERT_STRING_EQUAL (gf_send_stopped (&f, 1, true), "ended;");
  CU_ASSERT_EQUAL (f.ended.outcome, PLACE_OUTCOME_SUCCEEDED);
  gf_teardown (&f);

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict_and_expect (&f, "checkpoint 0;checkpoint 1;");
  send_checkpoint_too_late (&f, 0, "");
  send_checkpoint_too_late (&f, 1, "");
  CU_ASSERT_STRING_EQUAL (gf_advance_ms (&f, GF_GRACE_MS), "stop 0;stop 1;");
  gf_teardown (&f);

  gf_setup (&f, true);
  gf_bring_to (&f, GANG_RUNNING);
  evict_and_expect (&f, "checkpoint 0;checkpoint 1;");
  send_checkpoint_too_late (&f, 0, "");
  CU_ASSERT_STRING_EQUAL (send_checkpointed (&f, 1, 80), "stop 0;stop 1;");
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
