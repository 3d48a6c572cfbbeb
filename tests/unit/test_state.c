/* The rules by which the fold gives a record effect or a verdict.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

#include "state_fixture.h"

enum
{
  TERM = 1
};

/* A state in which host bole-1 holds term 1.  */
static void
open_with_term (struct sf_fixture *f)
{
  sf_open (f);
  CU_ASSERT_EQUAL (sf_acquire_term (f, TERM, "bole-1"), ST_VERDICT_VALID);
}

static void
test_term_order (void)
{
  struct sf_fixture f;

  sf_open (&f);
  CU_ASSERT_EQUAL (sf_acquire_term (&f, 2, "bole-1"), ST_VERDICT_STALE_TERM);
  CU_ASSERT_EQUAL (sf_acquire_term (&f, 1, "bole-1"), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_acquire_term (&f, 1, "kality-1"), ST_VERDICT_STALE_TERM);
  CU_ASSERT_STRING_EQUAL (st_term_holder (f.state), "bole-1");
  CU_ASSERT_EQUAL (sf_acquire_term (&f, 2, "kality-1"), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (st_term (f.state), 2);
  CU_ASSERT_EQUAL (f.term_changes, 2);
  CU_ASSERT_EQUAL (sf_acquire_term (&f, 3, ""), ST_VERDICT_MALFORMED);
  sf_close (&f);
}

static void
count_revision (void *ctx, const struct st_revision *revision)
{
  int *with_document = ctx;

  *with_document += revision->document != NULL;
}

static void
test_config_changes (void)
{
  struct sf_fixture f;
  int with_document = 0;
  uint64_t i;

  sf_open (&f);
  CU_ASSERT_EQUAL (sf_change_config (&f, 1, "a: 1"),
                   ST_VERDICT_STALE_BASE_REVISION);
  CU_ASSERT_EQUAL (sf_change_config (&f, 0, ""), ST_VERDICT_MALFORMED);
  CU_ASSERT_EQUAL (sf_change_config (&f, 0, "a: 1"), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_change_config (&f, 0, "a: 2"),
                   ST_VERDICT_STALE_BASE_REVISION);
  CU_ASSERT_STRING_EQUAL (st_current_config (f.state)->document, "a: 1");
  for (i = 1; i < ST_REVISION_DOCUMENT_LIMIT + 5; i++)
    CU_ASSERT_EQUAL (sf_change_config (&f, i, "a: 2"), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (st_revision (f.state), ST_REVISION_DOCUMENT_LIMIT + 5);
  CU_ASSERT_EQUAL ((uint64_t)f.config_changes, st_revision (f.state));
  st_each_revision (f.state, count_revision, &with_document);
  CU_ASSERT_EQUAL (with_document, ST_REVISION_DOCUMENT_LIMIT);
  sf_close (&f);
}

static void
test_duplicates_have_no_effect (void)
{
  struct sf_fixture f;
  Ft__Record record = FT__RECORD__INIT;
  Ft__TermClaim body = FT__TERM_CLAIM__INIT;
  enum st_verdict first;
  uint8_t id[ST_ID_SIZE_BYTES] = { 7 };

  sf_open (&f);
  body.term = 1;
  body.host = (char *)"bole-1";
  record.body_case = FT__RECORD__BODY_TERM_CLAIM;
  record.term_claim = &body;
  CU_ASSERT_EQUAL (sf_fold_with_id (&f, &record, 7), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_fold_with_id (&f, &record, 7), ST_VERDICT_DUPLICATE);
  CU_ASSERT_TRUE (st_recent_verdict (f.state, id, &first));
  CU_ASSERT_EQUAL (first, ST_VERDICT_VALID);
  /* A record with the same id but another body is dropped, too.  */
  body.term = 2;
  CU_ASSERT_EQUAL (sf_fold_with_id (&f, &record, 7), ST_VERDICT_DUPLICATE);
  CU_ASSERT_EQUAL (st_term (f.state), 1);
  sf_close (&f);
}

static void
test_submit_verdicts (void)
{
  struct sf_fixture f;

  open_with_term (&f);
  CU_ASSERT_EQUAL (sf_submit (&f, "j", 2, true, "d"), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_submit (&f, "j", 2, true, "d"), ST_VERDICT_KEY_TAKEN);
  CU_ASSERT_EQUAL (sf_submit (&f, "j", 2, true, "e"), ST_VERDICT_KEY_CONFLICT);
  CU_ASSERT_EQUAL (sf_submit (&f, "", 2, true, "d"), ST_VERDICT_MALFORMED);
  CU_ASSERT_EQUAL (sf_submit (&f, "k", 0, true, "d"), ST_VERDICT_MALFORMED);
  CU_ASSERT_EQUAL (sf_submit (&f, "k", PLACE_TASK_LIMIT + 1, true, "d"),
                   ST_VERDICT_MALFORMED);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_QUEUED);
  CU_ASSERT_EQUAL (f.job_changes, 1);
  sf_close (&f);
}

static void
test_place_and_start (void)
{
  struct sf_fixture f;

  open_with_term (&f);
  sf_submit (&f, "j", 2, true, "d");
  CU_ASSERT_EQUAL (sf_place (&f, TERM, "x", 1, 2), ST_VERDICT_UNKNOWN_JOB);
  CU_ASSERT_EQUAL (sf_place (&f, TERM + 1, "j", 1, 2), ST_VERDICT_STALE_TERM);
  CU_ASSERT_EQUAL (sf_place (&f, TERM, "j", 2, 2), ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (sf_place (&f, TERM, "j", 1, 1), ST_VERDICT_MALFORMED);
  CU_ASSERT_EQUAL (sf_start (&f, TERM, "j", 0), ST_VERDICT_WRONG_STATE);
  CU_ASSERT_FALSE (st_job (f.state, "j")->may_have_run);
  CU_ASSERT_EQUAL (sf_place (&f, TERM, "j", 1, 2), ST_VERDICT_VALID);
  CU_ASSERT_TRUE (st_job (f.state, "j")->may_have_run);
  CU_ASSERT_STRING_EQUAL (st_job (f.state, "j")->tasks[1].assignment.worker,
                          "w1");
  CU_ASSERT_EQUAL (sf_place (&f, TERM, "j", 2, 2), ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (sf_start (&f, TERM, "j", 2), ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (sf_start (&f, 0, "j", 1), ST_VERDICT_STALE_TERM);
  CU_ASSERT_EQUAL (sf_start (&f, TERM, "j", 1), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_RUNNING);
  sf_close (&f);
}

static void
test_old_term_is_fenced (void)
{
  struct sf_fixture f;

  open_with_term (&f);
  sf_submit (&f, "j", 1, true, "d");
  sf_acquire_term (&f, TERM + 1, "kality-1");
  CU_ASSERT_EQUAL (sf_place (&f, TERM, "j", 1, 1), ST_VERDICT_STALE_TERM);
  CU_ASSERT_EQUAL (sf_refuse (&f, TERM, "j"), ST_VERDICT_STALE_TERM);
  CU_ASSERT_EQUAL (sf_place (&f, TERM + 1, "j", 1, 1), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_stop (&f, TERM, "j", 1, false, true),
                   ST_VERDICT_STALE_TERM);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_PLACED);
  sf_close (&f);
}

static void
test_task_ends (void)
{
  struct sf_fixture f;
  const struct st_job *job;

  open_with_term (&f);
  sf_submit (&f, "j", 2, true, "d");
  CU_ASSERT_EQUAL (sf_task_end (&f, "j", 0, 0, true, ""),
                   ST_VERDICT_WRONG_STATE);
  sf_place (&f, TERM, "j", 1, 2);
  CU_ASSERT_EQUAL (sf_task_end (&f, "j", 1, 2, true, ""),
                   ST_VERDICT_MALFORMED);
  CU_ASSERT_EQUAL (sf_task_end (&f, "j", 2, 0, true, ""),
                   ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (sf_task_end (&f, "j", 1, 0, true, "sheet"),
                   ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_task_end (&f, "j", 1, 0, false, ""),
                   ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_PLACED);
  CU_ASSERT_EQUAL (sf_start (&f, TERM, "j", 1), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_task_end (&f, "j", 1, 1, true, ""), ST_VERDICT_VALID);
  job = st_job (f.state, "j");
  CU_ASSERT_EQUAL (job->state, ST_JOB_FINISHED);
  CU_ASSERT_EQUAL (job->tasks[0].output_size_bytes, strlen ("sheet"));
  CU_ASSERT_EQUAL (sf_stop (&f, TERM, "j", 1, false, false),
                   ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (sf_cancel (&f, "j"), ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_FINISHED);
  sf_close (&f);
}

static void
test_failed_task_waits_for_stop (void)
{
  struct sf_fixture f;

  open_with_term (&f);
  sf_submit (&f, "j", 2, false, "d");
  sf_place (&f, TERM, "j", 1, 2);
  sf_start (&f, TERM, "j", 1);
  CU_ASSERT_EQUAL (sf_task_end (&f, "j", 1, 0, false, ""), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_task_end (&f, "j", 1, 1, true, ""), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_RUNNING);
  CU_ASSERT_EQUAL (sf_stop (&f, TERM, "j", 1, true, false), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_FAILED);
  CU_ASSERT_EQUAL (sf_place (&f, TERM, "j", 2, 2), ST_VERDICT_WRONG_STATE);
  sf_close (&f);
}

static void
test_stopped_job_is_queued_again (void)
{
  struct sf_fixture f;
  const struct st_job *job;

  open_with_term (&f);
  sf_submit (&f, "j", 1, true, "d");
  sf_place (&f, TERM, "j", 1, 1);
  CU_ASSERT_EQUAL (sf_stop (&f, TERM, "j", 2, true, false),
                   ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (sf_stop (&f, TERM, "j", 1, true, false), ST_VERDICT_VALID);
  job = st_job (f.state, "j");
  CU_ASSERT_EQUAL (job->state, ST_JOB_QUEUED);
  CU_ASSERT_EQUAL (job->progress_ms, 500);
  CU_ASSERT_TRUE (job->may_have_run);
  CU_ASSERT_EQUAL (sf_place (&f, TERM, "j", 2, 1), ST_VERDICT_VALID);
  sf_close (&f);
}

/* A non-repeatable job is queued again only if none of its tasks ran.  */
static void
test_not_repeatable_job_runs_once (void)
{
  struct sf_fixture f;

  open_with_term (&f);
  sf_submit (&f, "j", 1, false, "d");
  sf_place (&f, TERM, "j", 1, 1);
  CU_ASSERT_EQUAL (sf_stop (&f, TERM, "j", 1, true, true), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_QUEUED);
  CU_ASSERT_FALSE (st_job (f.state, "j")->may_have_run);
  sf_place (&f, TERM, "j", 2, 1);
  CU_ASSERT_EQUAL (sf_stop (&f, TERM, "j", 2, true, false), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_FAILED);
  CU_ASSERT_TRUE (st_job (f.state, "j")->may_have_run);
  /* A stop that says "not started" does not override a start record.  */
  sf_submit (&f, "k", 1, false, "d");
  sf_place (&f, TERM, "k", 1, 1);
  sf_start (&f, TERM, "k", 1);
  CU_ASSERT_EQUAL (sf_stop (&f, TERM, "k", 1, true, true), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "k"), ST_JOB_FAILED);
  CU_ASSERT_TRUE (st_job (f.state, "k")->may_have_run);
  sf_close (&f);
}

static void
test_cancel (void)
{
  struct sf_fixture f;

  open_with_term (&f);
  sf_submit (&f, "j", 1, true, "d");
  CU_ASSERT_EQUAL (sf_cancel (&f, "x"), ST_VERDICT_UNKNOWN_JOB);
  CU_ASSERT_EQUAL (sf_cancel (&f, "j"), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_CANCELLED);
  CU_ASSERT_FALSE (st_job (f.state, "j")->may_have_run);
  CU_ASSERT_EQUAL (sf_cancel (&f, "j"), ST_VERDICT_WRONG_STATE);
  sf_submit (&f, "k", 1, true, "d");
  sf_place (&f, TERM, "k", 1, 1);
  CU_ASSERT_EQUAL (sf_cancel (&f, "k"), ST_VERDICT_VALID);
  CU_ASSERT_TRUE (st_job (f.state, "k")->cancelling);
  CU_ASSERT_EQUAL (sf_job_state (&f, "k"), ST_JOB_PLACED);
  CU_ASSERT_EQUAL (sf_stop (&f, TERM, "k", 1, true, true), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "k"), ST_JOB_CANCELLED);
  CU_ASSERT_FALSE (st_job (f.state, "k")->may_have_run);
  sf_close (&f);
}

static void
test_refuse_only_what_never_ran (void)
{
  struct sf_fixture f;

  open_with_term (&f);
  sf_submit (&f, "j", 1, true, "d");
  CU_ASSERT_EQUAL (sf_refuse (&f, TERM, "j"), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_REFUSED);
  CU_ASSERT_EQUAL (sf_refuse (&f, TERM, "j"), ST_VERDICT_WRONG_STATE);
  /* A job that has run becomes failed: "refused" means that it never ran.  */
  sf_submit (&f, "k", 1, true, "d");
  sf_place (&f, TERM, "k", 1, 1);
  CU_ASSERT_EQUAL (sf_refuse (&f, TERM, "k"), ST_VERDICT_WRONG_STATE);
  sf_stop (&f, TERM, "k", 1, true, false);
  CU_ASSERT_EQUAL (sf_refuse (&f, TERM, "k"), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "k"), ST_JOB_FAILED);
  sf_close (&f);
}

static void
test_claim_outcomes (void)
{
  struct sf_fixture f;

  sf_open (&f);
  CU_ASSERT_EQUAL (sf_claim (&f, "a", "key", "r1", "d"), ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_claim (&f, "b", "key", "r2", "d"), ST_VERDICT_KEY_TAKEN);
  CU_ASSERT_EQUAL (sf_claim (&f, "b", "key", "r3", "e"),
                   ST_VERDICT_KEY_CONFLICT);
  CU_ASSERT_EQUAL (sf_claim (&f, "b", "", "r3", "e"), ST_VERDICT_MALFORMED);
  CU_ASSERT_EQUAL (sf_claim_end (&f, "a", "key", "r2", ST_CLAIM_DONE),
                   ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (sf_claim_end (&f, "a", "key", "r1", ST_CLAIM_OPEN),
                   ST_VERDICT_MALFORMED);
  /* Another host cannot know that nothing was sent.  */
  CU_ASSERT_EQUAL (sf_claim_end (&f, "b", "key", "r1", ST_CLAIM_NOT_RUN),
                   ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (sf_claim_end (&f, "b", "key", "r1", ST_CLAIM_UNKNOWN),
                   ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_claim_end (&f, "a", "key", "r1", ST_CLAIM_DONE),
                   ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_claim_end (&f, "a", "key", "r1", ST_CLAIM_NOT_RUN),
                   ST_VERDICT_WRONG_STATE);
  CU_ASSERT_EQUAL (st_claim (f.state, "key")->state, ST_CLAIM_DONE);
  CU_ASSERT_EQUAL (st_claim (f.state, "key")->answer_size_bytes, 4);
  sf_close (&f);
}

static void
test_key_is_free_after_not_run (void)
{
  struct sf_fixture f;

  sf_open (&f);
  sf_claim (&f, "a", "key", "r1", "d");
  CU_ASSERT_EQUAL (sf_claim_end (&f, "a", "key", "r1", ST_CLAIM_NOT_RUN),
                   ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_claim (&f, "a", "key", "r1", "d"), ST_VERDICT_KEY_TAKEN);
  CU_ASSERT_EQUAL (sf_claim (&f, "b", "key", "r2", "e"),
                   ST_VERDICT_KEY_CONFLICT);
  CU_ASSERT_EQUAL (sf_claim (&f, "b", "key", "r2", "d"), ST_VERDICT_VALID);
  CU_ASSERT_STRING_EQUAL (st_claim (f.state, "key")->host, "b");
  CU_ASSERT_EQUAL (st_claim (f.state, "key")->state, ST_CLAIM_OPEN);
  sf_close (&f);
}

/* Ended jobs and claims expire by the log's time; open jobs never expire.  */
static void
test_outcomes_expire (void)
{
  struct sf_fixture f;

  open_with_term (&f);
  sf_submit (&f, "ended", 1, true, "d");
  sf_submit (&f, "open", 1, true, "d");
  sf_cancel (&f, "ended");
  sf_claim (&f, "a", "key", "r1", "d");
  f.time_ms += SF_WINDOW_MS - 1;
  sf_claim_end (&f, "a", "key", "r1", ST_CLAIM_DONE);
  CU_ASSERT_EQUAL (sf_job_state (&f, "ended"), ST_JOB_CANCELLED);
  f.time_ms += 1;
  sf_submit (&f, "later", 1, true, "d");
  CU_ASSERT_EQUAL (sf_job_state (&f, "ended"), 0);
  CU_ASSERT_EQUAL (sf_job_state (&f, "open"), ST_JOB_QUEUED);
  CU_ASSERT_EQUAL (f.jobs_dropped, 1);
  CU_ASSERT_PTR_NOT_NULL (st_claim (f.state, "key"));
  f.time_ms += SF_WINDOW_MS;
  sf_submit (&f, "last", 1, true, "d");
  CU_ASSERT_PTR_NULL (st_claim (f.state, "key"));
  CU_ASSERT_EQUAL (f.claims_dropped, 1);
  sf_close (&f);
}

/* All hosts use the window that the term record names, whatever their own
   settings say; else their states would differ.  */
static void
test_term_sets_outcome_window (void)
{
  struct sf_fixture f;

  open_with_term (&f);
  sf_submit (&f, "j", 1, true, "d");
  sf_cancel (&f, "j");
  f.time_ms += 10;
  CU_ASSERT_EQUAL (sf_acquire_term_with_window (&f, TERM + 1, "a", 20),
                   ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_CANCELLED);
  f.time_ms += 10;
  CU_ASSERT_EQUAL (sf_acquire_term_with_window (&f, TERM + 2, "a", UINT64_MAX),
                   ST_VERDICT_MALFORMED);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), 0);
  sf_close (&f);
}

/* An object that an observer refers to does not change.  */
static void
test_referenced_objects_do_not_change (void)
{
  struct sf_fixture f;
  struct st_job *kept;
  struct st_claim *claim;

  open_with_term (&f);
  sf_submit (&f, "j", 1, true, "d");
  kept = st_job_ref (st_job (f.state, "j"));
  sf_place (&f, TERM, "j", 1, 1);
  CU_ASSERT_EQUAL (kept->state, ST_JOB_QUEUED);
  CU_ASSERT_EQUAL (sf_job_state (&f, "j"), ST_JOB_PLACED);
  sf_claim (&f, "a", "key", "r1", "d");
  claim = st_claim_ref (st_claim (f.state, "key"));
  sf_claim_end (&f, "a", "key", "r1", ST_CLAIM_DONE);
  CU_ASSERT_EQUAL (claim->state, ST_CLAIM_OPEN);
  sf_close (&f);
  CU_ASSERT_STRING_EQUAL (kept->id, "j");
  st_job_unref (kept);
  st_claim_unref (claim);
}

static void
test_folded_offsets_have_no_effect (void)
{
  struct sf_fixture f;

  open_with_term (&f);
  CU_ASSERT_EQUAL (st_next_offset (f.state), 1);
  CU_ASSERT_EQUAL (st_apply (f.state, 1, 5, (const uint8_t *)"\xff\xff", 2),
                   ST_ERR_INVALID);
  CU_ASSERT_EQUAL (st_next_offset (f.state), 2);
  CU_ASSERT_EQUAL (st_apply (f.state, 1, 5, (const uint8_t *)"\xff\xff", 2),
                   ST_OK);
  CU_ASSERT_EQUAL (st_next_offset (f.state), 2);
  sf_close (&f);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("state", NULL, NULL);
  CU_add_test (suite, "terms", test_term_order);
  CU_add_test (suite, "configuration", test_config_changes);
  CU_add_test (suite, "duplicates", test_duplicates_have_no_effect);
  CU_add_test (suite, "submit", test_submit_verdicts);
  CU_add_test (suite, "place and start", test_place_and_start);
  CU_add_test (suite, "old term is fenced", test_old_term_is_fenced);
  CU_add_test (suite, "task ends", test_task_ends);
  CU_add_test (suite, "failed task waits for stop",
               test_failed_task_waits_for_stop);
  CU_add_test (suite, "stopped job is queued again",
               test_stopped_job_is_queued_again);
  CU_add_test (suite, "not repeatable job runs once",
               test_not_repeatable_job_runs_once);
  CU_add_test (suite, "cancel", test_cancel);
  CU_add_test (suite, "refuse", test_refuse_only_what_never_ran);
  CU_add_test (suite, "claims", test_claim_outcomes);
  CU_add_test (suite, "key is free after not run",
               test_key_is_free_after_not_run);
  CU_add_test (suite, "expiry", test_outcomes_expire);
  CU_add_test (suite, "term sets outcome window",
               test_term_sets_outcome_window);
  CU_add_test (suite, "immutable", test_referenced_objects_do_not_change);
  CU_add_test (suite, "offsets", test_folded_offsets_have_no_effect);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
