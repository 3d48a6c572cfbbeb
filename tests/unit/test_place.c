/* Tests of the placement core: starts, spans, quota, refusals, cancellation,
   restoring and pausing.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "unit/place_fixture.h"

static void
test_first_fit_starts_in_arrival_order (void)
{
  struct pf f;

  pf_setup (&f, &place_policy_first_fit, 2, 1);
  pf_teams (&f, &(struct place_team){ .name = "a", .weight = 1 }, 1);
  pf_submit (&f, "1", "a", 1, 8);
  pf_submit (&f, "2", "a", 2, 8); /* does not fit: is skipped */
  pf_submit (&f, "3", "a", 1, 8);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "1"));
  CU_ASSERT_FALSE (pf_started (&f, "2"));
  CU_ASSERT_TRUE (pf_started (&f, "3"));
  pf_end (&f, "1", PLACE_OUTCOME_SUCCEEDED, NULL, false);
  pf_end (&f, "3", PLACE_OUTCOME_SUCCEEDED, NULL, false);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "2"));
  pf_teardown (&f);
}

static void
test_strict_starts_no_job_out_of_order (void)
{
  struct pf f;

  pf_setup (&f, &place_policy_strict, 2, 1);
  pf_teams (&f, &(struct place_team){ .name = "a", .weight = 1 }, 1);
  pf_submit (&f, "1", "a", 1, 8);
  pf_submit (&f, "2", "a", 2, 8);
  pf_submit (&f, "3", "a", 1, 8);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "1"));
  CU_ASSERT_FALSE (pf_started (&f, "2"));
  CU_ASSERT_FALSE (pf_started (&f, "3"));
  pf_teardown (&f);
}

static void
test_spans_keep_tasks_together (void)
{
  struct pf f;
  struct place_job job = pf_job ("1", "a", 3, 8);

  pf_setup (&f, &place_policy_first_fit, 2, 2);
  pf_teams (&f, &(struct place_team){ .name = "a", .weight = 1 }, 1);
  job.shape.span = PLACE_SPAN_RACK;
  CU_ASSERT_EQUAL (place_submit (f.place, &job, f.text), PLACE_ERR_INFEASIBLE);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "2 x (8 accelerators"));
  job.shape.span = PLACE_SPAN_DATA_CENTRE;
  CU_ASSERT_EQUAL (place_submit (f.place, &job, f.text), PLACE_OK);
  job = pf_job ("2", "a", 2, 5);
  job.shape.span = PLACE_SPAN_WORKER;
  CU_ASSERT_EQUAL (place_submit (f.place, &job, f.text), PLACE_ERR_INFEASIBLE);
  job = pf_job ("3", "a", 2, 4);
  job.shape.span = PLACE_SPAN_WORKER;
  CU_ASSERT_EQUAL (place_submit (f.place, &job, f.text), PLACE_OK);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "1"));
  CU_ASSERT_TRUE (pf_started (&f, "3"));
  pf_teardown (&f);
}

static void
test_accelerators_of_a_task_are_adjacent (void)
{
  struct pf f;
  const struct place_command *commands;

  pf_setup (&f, &place_policy_first_fit, 1, 1);
  pf_teams (&f, &(struct place_team){ .name = "a", .weight = 1 }, 1);
  pf_submit (&f, "1", "a", 1, 1);
  pf_submit (&f, "2", "a", 1, 4);
  CU_ASSERT_EQUAL_FATAL (place_decide (f.place, &commands), 2);
  CU_ASSERT_EQUAL (commands[0].assignments[0].accelerators, 0x01);
  CU_ASSERT_EQUAL (commands[1].assignments[0].accelerators, 0xf0);
  pf_teardown (&f);
}

static void
test_infeasible_jobs_are_refused_with_the_nearest_shape (void)
{
  struct pf f;
  struct place_team team = { .name = "a", .weight = 1 };

  pf_setup (&f, &place_policy_first_fit, 2, 1);
  team.quota.accelerators = 12;
  pf_teams (&f, &team, 1);
  CU_ASSERT_EQUAL (pf_submit_error (&f, "1", "a", 1, 9), PLACE_ERR_INFEASIBLE);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "1 x (8 accelerators"));
  CU_ASSERT_EQUAL (pf_submit_error (&f, "2", "a", 4, 4), PLACE_ERR_INFEASIBLE);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "quota"));
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "3 x (4 accelerators"));
  CU_ASSERT_EQUAL (pf_submit_error (&f, "3", "a", 3, 4), PLACE_OK);
  CU_ASSERT_EQUAL (pf_submit_error (&f, "3", "a", 3, 4), PLACE_ERR_EXISTS);
  CU_ASSERT_EQUAL (pf_submit_error (&f, "4", "b", 1, 1), PLACE_ERR_UNKNOWN);
  CU_ASSERT_EQUAL (pf_submit_error (&f, "5", "a", 1, 5), PLACE_OK);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "3"));
  CU_ASSERT_FALSE (pf_started (&f, "5"));
  CU_ASSERT_EQUAL (place_explain (f.place, "5", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "quota"));
  pf_teardown (&f);
}

static void
test_many_cancellations_take_one_round (void)
{
  struct pf f;
  const struct place_command *commands;
  char id[16];
  int i;

  pf_setup (&f, &place_policy_guarantee, 1, 1);
  pf_teams (&f,
            &(struct place_team){ .name = "a", .weight = 1, .may_borrow = 1 },
            1);
  for (i = 0; i < 1000; i++)
    {
      snprintf (id, sizeof id, "%d", i);
      pf_submit (&f, id, "a", 1, 8);
    }
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "0"));
  for (i = 1; i < 1000; i++)
    {
      snprintf (id, sizeof id, "%d", i);
      CU_ASSERT_EQUAL (place_cancel (f.place, id), PLACE_OK);
    }
  CU_ASSERT_EQUAL (place_decide (f.place, &commands), 0);
  CU_ASSERT_EQUAL (place_next_ms (f.place), INT64_MAX);
  CU_ASSERT_EQUAL (place_cancel (f.place, "999"), PLACE_ERR_UNKNOWN);
  pf_teardown (&f);
}

static void
test_restored_jobs_keep_their_accelerators (void)
{
  struct pf f;
  struct place_job job = pf_job ("1", "a", 1, 4);
  struct place_assignment assignment = { .worker = "w0-0" };

  pf_setup (&f, &place_policy_first_fit, 1, 1);
  pf_teams (&f, &(struct place_team){ .name = "a", .weight = 1 }, 1);
  assignment.accelerators = 0x3c;
  CU_ASSERT_EQUAL (place_restore (f.place, &job, &assignment, 1, 0), PLACE_OK);
  job.id = "2";
  CU_ASSERT_EQUAL (place_restore (f.place, &job, &assignment, 1, 0),
                   PLACE_ERR_INVALID);
  pf_submit (&f, "3", "a", 1, 8);
  pf_submit (&f, "4", "a", 1, 4);
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_started (&f, "3"));
  CU_ASSERT_TRUE (pf_started (&f, "4"));
  pf_teardown (&f);
}

static void
test_paused_team_and_removed_team (void)
{
  struct pf f;
  struct place_team teams[2]
      = { { .name = "a", .weight = 1 }, { .name = "b", .weight = 1 } };

  pf_setup (&f, &place_policy_first_fit, 1, 1);
  pf_teams (&f, teams, 2);
  place_pause (f.place, "a", true);
  pf_submit (&f, "1", "a", 1, 1);
  pf_submit (&f, "2", "b", 1, 1);
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_started (&f, "1"));
  CU_ASSERT_TRUE (pf_started (&f, "2"));
  pf_teams (&f, teams + 1, 1);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_REFUSE, "1"));
  CU_ASSERT_EQUAL (place_cancel (f.place, "1"), PLACE_ERR_UNKNOWN);
  pf_teardown (&f);
}

static void
test_not_repeatable_is_never_queued_again (void)
{
  struct pf f;
  struct place_job job = pf_job ("1", "a", 1, 1);

  pf_setup (&f, &place_policy_first_fit, 1, 1);
  pf_teams (&f, &(struct place_team){ .name = "a", .weight = 1 }, 1);
  job.repeatable = false;
  CU_ASSERT_EQUAL (place_submit (f.place, &job, f.text), PLACE_OK);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "1"));
  pf_end (&f, "1", PLACE_OUTCOME_LOST, "w0-0", true);
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_started (&f, "1"));
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_GIVE_UP, "1"));
  pf_teardown (&f);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("place", NULL, NULL);
  CU_add_test (suite, "first fit", test_first_fit_starts_in_arrival_order);
  CU_add_test (suite, "strict", test_strict_starts_no_job_out_of_order);
  CU_add_test (suite, "spans", test_spans_keep_tasks_together);
  CU_add_test (suite, "adjacency", test_accelerators_of_a_task_are_adjacent);
  CU_add_test (suite, "refusals",
               test_infeasible_jobs_are_refused_with_the_nearest_shape);
  CU_add_test (suite, "cancellations", test_many_cancellations_take_one_round);
  CU_add_test (suite, "restore", test_restored_jobs_keep_their_accelerators);
  CU_add_test (suite, "pause", test_paused_team_and_removed_team);
  CU_add_test (suite, "not repeatable",
               test_not_repeatable_is_never_queued_again);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
