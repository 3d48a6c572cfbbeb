/* Tests of relayed requests: what a host returns of another host's answers. */

#include "check.h"
#include "hostd_front_fixture.h"

static const char JOB[] = "/q/00000000000000aa";

/* A host with version 2 of the configuration whose store is slow, so that it
   relays requests to the planner's host.  */
static void
begin_beside_planner (struct setup *setup)
{
  begin (setup);
  answer_start_with (setup, "2");
  add_peer (setup);
  make_peer_the_planner (setup);
  make_store_slow (setup);
  answer_operator (setup);
}

/* Ends the append that a request has led to, which stores its record.  */
static void
answer_append (struct setup *setup)
{
  struct fake_store *store = &setup->store;
  uint32_t last = store->append_count - 1;
  struct so_append_answer answer = { .result = SO_DONE };

  CU_ASSERT_FATAL (store->append_count > 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (store->appended[last]);
  store->appended[last](store->append_ctx[last], &answer);
  store->appended[last] = NULL;
}

/* A host refused jobs of a route that it had served: the planner's host had
   not read the new configuration yet, and was not asked for it (review/13). */
static void
test_planner_host_is_asked_for_the_configuration_of_this_host (void)
{
  struct setup setup;

  begin_beside_planner (&setup);
  setup.peer_version = "2";
  send_get (&setup, JOB);
  wait_for_answers (&setup, 1);
  CU_ASSERT_EQUAL (setup.peer_requests, 1);
  CU_ASSERT_STRING_EQUAL (setup.peer_min_version, "2");
  CU_ASSERT_EQUAL (setup.status, 200);
  hs_free (setup.peer);
  finish (&setup);
}

/* The same, whatever the planner's host says by an older configuration or
   without one, as after a restart: this host serves the request by its own. */
static void
test_refusal_by_an_older_configuration_is_not_returned (void)
{
  static const unsigned int refusals[] = { 401, 404, 413, 503 };
  static const char *const versions[] = { "1", NULL };
  struct setup setup;
  int answers = 0;
  size_t i;
  size_t j;

  begin_beside_planner (&setup);
  for (i = 0; i < G_N_ELEMENTS (refusals); i++)
    for (j = 0; j < G_N_ELEMENTS (versions); j++)
      {
        setup.peer_status = refusals[i];
        setup.peer_version = versions[j];
        send_get (&setup, JOB);
        wait_for_answers (&setup, ++answers);
        CU_ASSERT_EQUAL (setup.peer_requests, answers);
        CU_ASSERT_EQUAL (setup.status, 410); /* by this host: no such job */
      }
  hs_free (setup.peer);
  finish (&setup);
}

static void
test_submission_refused_by_an_older_configuration_is_stored (void)
{
  struct setup setup;

  begin_beside_planner (&setup);
  setup.peer_status = 404;
  setup.peer_version = "1";
  send_simple (&setup, "POST", JOB);
  run_for_ms (&setup, 100);
  CU_ASSERT_EQUAL (setup.peer_requests, 1);
  answer_append (&setup);
  wait_for_answers (&setup, 1);
  CU_ASSERT_EQUAL (setup.status, 200);
  CU_ASSERT_PTR_NOT_NULL (
      jb_table_find (jr_job_table (setup.journal), JOB + 3));
  hs_free (setup.peer);
  finish (&setup);
}

/* The same for a host that cannot use its own configuration any more, and
   relays to any host: it refuses for now and does not deny the route.  */
static void
test_older_refusal_of_any_host_is_not_returned (void)
{
  struct setup setup;

  begin (&setup);
  answer_start_with (&setup, "2");
  add_peer (&setup);
  answer_operator (&setup);
  send_get (&setup, "/q/");
  wait_for_answers (&setup, 1);
  setup.settings.key_validity_ms = 100;
  run_for_ms (&setup, 200);
  setup.peer_status = 404;
  setup.peer_version = "1";
  send_get (&setup, JOB);
  wait_for_answers (&setup, 2);
  CU_ASSERT_EQUAL (setup.peer_requests, 1);
  CU_ASSERT_STRING_EQUAL (setup.peer_min_version, "2");
  CU_ASSERT_EQUAL (setup.status, 503);
  hs_free (setup.peer);
  finish (&setup);
}

/* After an answer by a newer configuration this host waits for that one, also
   if the other host has restarted since and knows none.  */
static void
test_newer_configuration_of_another_host_is_kept_to (void)
{
  struct setup setup;

  begin_beside_planner (&setup);
  setup.peer_status = 404;
  setup.peer_version = "3";
  send_get (&setup, JOB);
  wait_for_answers (&setup, 1);
  CU_ASSERT_EQUAL (setup.status, 404);
  setup.peer_status = 503;
  setup.peer_version = NULL;
  send_get (&setup, JOB);
  wait_for_answers (&setup, 2);
  CU_ASSERT_STRING_EQUAL (setup.peer_min_version, "3");
  CU_ASSERT_EQUAL (setup.status, 503);
  answer_read (&setup, &setup.store.operator_read, setup.store.operator_ctx,
               NULL); /* recent, but version 2 */
  send_get (&setup, JOB);
  wait_for_answers (&setup, 3);
  CU_ASSERT_EQUAL (setup.status, 503);
  answer_read_with (&setup, &setup.store.operator_read,
                    setup.store.operator_ctx, "config", "3");
  send_get (&setup, JOB);
  wait_for_answers (&setup, 4);
  CU_ASSERT_EQUAL (setup.status, 410);
  hs_free (setup.peer);
  finish (&setup);
}

/* Stores a job that another host has accepted by version 2 of the
   configuration.  */
static void
add_job_of_version_2 (struct setup *setup, const char *key)
{
  static const struct fixture_step step = { .count = 1 };
  struct jb_spec *spec = fixture_spec ("urgent", NULL, &step);

  spec->queue_config->version = 2;
  run_until_jobs_read (setup);
  answer_jobs_record (setup, key, jb_encode_spec (spec));
  jb_spec_free (spec);
}

/* A host refused jobs of a new route by 404 while it ran, as the planner, a
   job that another host had accepted by that route.  */
static void
test_configuration_that_is_known_to_be_replaced_is_not_used (void)
{
  struct setup setup;

  begin (&setup); /* its own catalog has version 1 */
  answer_start (&setup);
  add_peer (&setup);
  answer_operator (&setup);
  setup.peer_version = "2";
  send_get (&setup, "/new/00000000000000bb");
  wait_for_answers (&setup, 1);
  CU_ASSERT_EQUAL (setup.status, 404);
  add_job_of_version_2 (&setup, "j/00000000000000aa");
  send_get (&setup, "/new/00000000000000bb");
  wait_for_answers (&setup, 2);
  CU_ASSERT_EQUAL (setup.peer_requests, 1);
  CU_ASSERT_STRING_EQUAL (setup.peer_min_version, "2");
  CU_ASSERT_EQUAL (setup.status, 200);
  answer_read_with (&setup, &setup.store.operator_read,
                    setup.store.operator_ctx, "config", "2");
  send_get (&setup, "/new/00000000000000bb");
  wait_for_answers (&setup, 3);
  CU_ASSERT_EQUAL (setup.peer_requests, 1);
  CU_ASSERT_EQUAL (setup.status, 404); /* by version 2 */
  hs_free (setup.peer);
  finish (&setup);
}

/* What the store holds counts: a version that it does not have, though it has
   been read since, keeps no host from answering.  */
static void
test_unknown_version_in_a_record_does_not_stop_a_host (void)
{
  struct setup setup;

  begin (&setup);
  answer_start (&setup);
  add_peer (&setup);
  answer_operator (&setup);
  send_get (&setup, "/q/");
  wait_for_answers (&setup, 1);
  add_job_of_version_2 (&setup, "j/00000000000000aa");
  answer_operator (&setup); /* sent before the record was read */
  run_for_ms (&setup, setup.store.operator_wait_ms);
  answer_operator (&setup); /* and sent after it */
  send_get (&setup, "/q/");
  wait_for_answers (&setup, 2);
  CU_ASSERT_EQUAL (setup.peer_requests, 0);
  CU_ASSERT_EQUAL (setup.status, 200);
  hs_free (setup.peer);
  finish (&setup);
}

/* --- States --- */

/* Stores JOB and, unless it is queued, its state.  */
static void
add_job (struct setup *setup, enum jb_state state)
{
  static const struct fixture_step step = { .count = 1 };
  struct jb_spec *spec = fixture_spec ("urgent", NULL, &step);
  struct jb_job *job;

  run_until_jobs_read (setup);
  answer_jobs_record (setup, "j/00000000000000aa", jb_encode_spec (spec));
  jb_spec_free (spec);
  job = jb_table_find (jr_job_table (setup->journal), JOB + 3);
  CU_ASSERT_PTR_NOT_NULL_FATAL (job);
  if (job == NULL || state == JB_QUEUED)
    return;
  job->state = state;
  run_until_jobs_read (setup);
  answer_jobs_record (setup, "p/00000000000000aa",
                      jb_encode_progress (job, 1));
}

static void
check_state (struct setup *setup, const char *state)
{
  int answers = setup->answers;

  send_get (setup, JOB);
  wait_for_answers (setup, answers + 1);
  CU_ASSERT_EQUAL (setup->status, 200);
  CU_ASSERT_STRING_EQUAL (setup->answer_body, state);
}

/* A host said of a job that it had accepted that there is none: the host that
   became the planner had not read the job's record yet.  */
static void
test_other_host_does_not_deny_a_job_that_this_host_has_read (void)
{
  struct setup setup;

  begin_beside_planner (&setup);
  add_job (&setup, JB_QUEUED);
  setup.peer_version = "2";
  setup.peer_status = 410;
  check_state (&setup, "queued");
  CU_ASSERT_EQUAL (setup.peer_requests, 1);
  hs_free (setup.peer);
  finish (&setup);
}

/* Callers saw a job begin, end or be cancelled, and then the state before.  */
static void
test_state_does_not_go_back_by_the_answer_of_another_host (void)
{
  static const enum jb_state states[]
      = { JB_RUNNING, JB_COMPLETED, JB_FAILED, JB_CANCELLED };
  static const char *const older[] = { "queued", "running" };
  struct setup setup;
  size_t i;
  size_t j;

  for (i = 0; i < G_N_ELEMENTS (states); i++)
    {
      begin_beside_planner (&setup);
      add_job (&setup, states[i]);
      setup.peer_version = "2";
      for (j = 0; j < G_N_ELEMENTS (older); j++)
        {
          setup.peer_body = older[j];
          check_state (&setup, jb_state_name (states[i]));
        }
      hs_free (setup.peer);
      finish (&setup);
    }
}

/* The planner's host knows first what becomes of a job.  Once this host has
   said so, it does not go back to what it has read itself.  */
static void
test_newer_state_of_another_host_is_kept_to (void)
{
  struct setup setup;

  begin_beside_planner (&setup);
  add_job (&setup, JB_RUNNING);
  setup.peer_version = "2";
  setup.peer_body = "completed";
  check_state (&setup, "completed");
  setup.peer_version = NULL; /* it has restarted */
  setup.peer_status = 503;
  check_state (&setup, "completed");
  hs_free (setup.peer);
  finish (&setup);
}

/* A host denied a job that another host had accepted for its caller: it had
   not read the job's record yet.  */
static void
test_job_accepted_through_another_host_is_not_denied (void)
{
  struct setup setup;
  struct fake_store *store = &setup.store;

  begin_beside_planner (&setup);
  setup.peer_version = "2";
  send_simple (&setup, "POST", JOB);
  wait_for_answers (&setup, 1);
  CU_ASSERT_EQUAL (setup.status, 200);
  CU_ASSERT_EQUAL (store->append_count, 0);
  setup.peer_version = NULL; /* it has restarted */
  setup.peer_status = 503;
  check_state (&setup, "queued");
  /* A read that was sent before does not show the job.  */
  run_until_jobs_read (&setup);
  answer_read (&setup, &store->jobs_read, store->jobs_ctx, "h/x");
  run_until_jobs_read (&setup);
  check_state (&setup, "queued");
  send_simple (&setup, "POST", JOB);
  wait_for_answers (&setup, 4);
  CU_ASSERT_EQUAL (setup.status, 200);
  CU_ASSERT_EQUAL (store->append_count, 0);
  /* One that was sent later would.  */
  answer_read (&setup, &store->jobs_read, store->jobs_ctx, "h/x");
  run_until_jobs_read (&setup);
  answer_read (&setup, &store->jobs_read, store->jobs_ctx, "h/x");
  run_until_jobs_read (&setup);
  send_get (&setup, JOB);
  wait_for_answers (&setup, 5);
  CU_ASSERT_EQUAL (setup.status, 410);
  hs_free (setup.peer);
  finish (&setup);
}

/* The same for a host whose configuration is old, so that it does not have the
   queue: it knows the job by its id.  */
static void
test_job_of_an_unknown_queue_is_not_denied (void)
{
  struct setup setup;

  begin (&setup);
  answer_start (&setup);
  add_peer (&setup);
  answer_operator (&setup);
  send_get (&setup, "/q/");
  wait_for_answers (&setup, 1);
  add_job_of_version_2 (&setup, "j/00000000000000aa");
  setup.peer_version = "2";
  setup.peer_status = 410;
  send_get (&setup, "/new/00000000000000aa");
  wait_for_answers (&setup, 2);
  CU_ASSERT_EQUAL (setup.peer_requests, 1);
  CU_ASSERT_EQUAL (setup.status, 200);
  CU_ASSERT_STRING_EQUAL (setup.answer_body, "queued");
  setup.peer_status = 503;
  send_simple (&setup, "POST", "/new/00000000000000aa");
  wait_for_answers (&setup, 3);
  CU_ASSERT_EQUAL (setup.status, 504);
  hs_free (setup.peer);
  finish (&setup);
}

/* --- Repeats --- */

/* A repeat of a job that this host had read was refused as "not accepted",
   because the host that it was relayed to refused it.  */
static void
test_repeat_of_a_stored_job_is_not_refused (void)
{
  struct setup setup;
  int requests;

  begin_beside_planner (&setup);
  add_job (&setup, JB_QUEUED);
  setup.peer_version = "2";
  setup.peer_status = 503;
  send_simple (&setup, "POST", JOB);
  wait_for_answers (&setup, 1);
  CU_ASSERT_EQUAL (setup.status, 200);
  CU_ASSERT_EQUAL (setup.peer_requests, 0);
  /* By a catalog that is too old this host cannot check the caller's key: it
     says neither that the job is accepted nor that it is not.  */
  setup.settings.key_validity_ms = 100;
  run_for_ms (&setup, 200);
  requests = setup.peer_requests;
  send_simple (&setup, "POST", JOB);
  wait_for_answers (&setup, 2);
  CU_ASSERT (setup.peer_requests > requests);
  CU_ASSERT_EQUAL (setup.status, 504);
  send_simple (&setup, "POST", "/q/00000000000000bb");
  wait_for_answers (&setup, 3);
  CU_ASSERT_EQUAL (setup.status, 503);
  hs_free (setup.peer);
  finish (&setup);
}

/* The final state of a job does not change: neither a query nor a cancellation
   needs another host.  */
static void
test_final_state_is_answered_here (void)
{
  struct setup setup;

  begin_beside_planner (&setup);
  add_job (&setup, JB_COMPLETED);
  setup.peer_status = 503;
  check_state (&setup, "completed");
  send_simple (&setup, "DELETE", JOB);
  wait_for_answers (&setup, 2);
  CU_ASSERT_EQUAL (setup.status, 200);
  CU_ASSERT_EQUAL (setup.peer_requests, 0);
  hs_free (setup.peer);
  finish (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "the planner's host is asked for the configuration of this host",
      test_planner_host_is_asked_for_the_configuration_of_this_host },
    { "a refusal by an older configuration is not returned",
      test_refusal_by_an_older_configuration_is_not_returned },
    { "a submission refused by an older configuration is stored",
      test_submission_refused_by_an_older_configuration_is_stored },
    { "an older refusal of any host is not returned",
      test_older_refusal_of_any_host_is_not_returned },
    { "a newer configuration of another host is kept to",
      test_newer_configuration_of_another_host_is_kept_to },
    { "a configuration that is known to be replaced is not used",
      test_configuration_that_is_known_to_be_replaced_is_not_used },
    { "an unknown version in a record does not stop a host",
      test_unknown_version_in_a_record_does_not_stop_a_host },
    { "another host does not deny a job that this host has read",
      test_other_host_does_not_deny_a_job_that_this_host_has_read },
    { "a state does not go back by the answer of another host",
      test_state_does_not_go_back_by_the_answer_of_another_host },
    { "a newer state of another host is kept to",
      test_newer_state_of_another_host_is_kept_to },
    { "a job accepted through another host is not denied",
      test_job_accepted_through_another_host_is_not_denied },
    { "a job of an unknown queue is not denied",
      test_job_of_an_unknown_queue_is_not_denied },
    { "a repeat of a stored job is not refused",
      test_repeat_of_a_stored_job_is_not_refused },
    { "a final state is answered here", test_final_state_is_answered_here },
  };

  return check_run ("hostd relay", tests, G_N_ELEMENTS (tests));
}
