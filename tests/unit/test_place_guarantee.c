/* Tests of guarantees: borrowing, reclaim by eviction, guarantees that cannot
   be met, and restored jobs.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "unit/place_fixture.h"

enum
{
  TEAM_COUNT = 2
};

/* Team a is guaranteed a whole rack of two workers, team b four accelerators
   of one worker.  */
static const struct place_guarantee RACK_GUARANTEE[] = {
  { .shape
    = { .tasks = 2, .task = { .accelerators = 8 }, .span = PLACE_SPAN_RACK },
    .count = 1 }
};
static const struct place_guarantee FOUR_ACCELERATORS[]
    = { { .shape = { .tasks = 1, .task = { .accelerators = 4 } },
          .count = 1 } };

static const struct place_team TEAM_LIST[TEAM_COUNT] = {
  { .name = "a",
    .weight = 1,
    .may_borrow = true,
    .guarantees = RACK_GUARANTEE,
    .guarantee_count = 1 },
  { .name = "b",
    .weight = 1,
    .may_borrow = true,
    .guarantees = FOUR_ACCELERATORS,
    .guarantee_count = 1 },
};

static void
setup (struct pf *f, int racks)
{
  pf_setup (f, &place_policy_guarantee, 2, racks);
  pf_teams (f, TEAM_LIST, TEAM_COUNT);
}

static struct place_job
rack_job (const char *id)
{
  struct place_job job = pf_job (id, "a", 2, 8);

  job.shape.span = PLACE_SPAN_RACK;
  job.checkpointable = false;
  return job;
}

static void
submit_job (struct pf *f, const struct place_job *job)
{
  CU_ASSERT_EQUAL_FATAL (place_submit (f->place, job, f->text), PLACE_OK);
}

static void
test_guaranteed_job_reclaims_borrowed_workers (void)
{
  struct pf f;
  struct place_job job = rack_job ("owner");
  const struct place_command *command;
  char id[16];
  int i;

  setup (&f, 2);
  for (i = 0; i < 8; i++)
    {
      snprintf (id, sizeof id, "%d", i);
      pf_submit (&f, id, "b", 1, 4);
    }
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 8);
  submit_job (&f, &job);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 4);
  command = f.commands;
  CU_ASSERT_EQUAL (command->kind, PLACE_EVICT);
  CU_ASSERT_EQUAL (command->grace_ms, PF_GRACE_MS);
  CU_ASSERT_STRING_EQUAL (command->for_job, "owner");
  for (i = 0; i < 8; i++)
    {
      snprintf (id, sizeof id, "%d", i);
      if (pf_has_command (&f, PLACE_EVICT, id))
        pf_end (&f, id, PLACE_OUTCOME_EVICTED, NULL, true);
    }
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "owner"));
  CU_ASSERT_EQUAL (f.command_count, 1);
  pf_teardown (&f);
}

/* A job that runs within a guarantee is never evicted.  */
static void
test_guaranteed_job_is_not_evicted (void)
{
  struct pf f;
  struct place_job four = pf_job ("four", "b", 1, 4);
  struct place_job owner = rack_job ("owner");

  setup (&f, 2);
  four.checkpointable = false;
  submit_job (&f, &four);
  pf_submit (&f, "borrows", "b", 3, 8);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "four"));
  CU_ASSERT_TRUE (pf_started (&f, "borrows"));
  submit_job (&f, &owner);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_EVICT, "borrows"));
  CU_ASSERT_FALSE (pf_has_command (&f, PLACE_EVICT, "four"));
  pf_teardown (&f);
}

static void
test_unevictable_job_does_not_borrow (void)
{
  struct pf f;
  struct place_job job = pf_job ("1", "b", 1, 8);

  setup (&f, 2);
  job.checkpointable = false;
  CU_ASSERT_EQUAL (place_submit (f.place, &job, f.text), PLACE_ERR_INFEASIBLE);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "1 x (4 accelerators"));
  job = pf_job ("2", "b", 1, 4);
  job.repeatable = false;
  submit_job (&f, &job);
  job.id = "3";
  submit_job (&f, &job);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "2"));
  CU_ASSERT_FALSE (pf_started (&f, "3"));
  CU_ASSERT_EQUAL (place_explain (f.place, "2", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "within its team's guarantee"));
  CU_ASSERT_EQUAL (place_explain (f.place, "3", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "may not borrow"));
  pf_end (&f, "2", PLACE_OUTCOME_SUCCEEDED, NULL, false);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "3"));
  pf_teardown (&f);
}

/* If enough workers are free, the guarantee is moved to them and no job is
   evicted.  */
static void
test_free_workers_are_preferred_to_evictions (void)
{
  struct pf f;
  struct place_job job = rack_job ("owner");
  int i;
  char id[16];

  setup (&f, 3);
  for (i = 0; i < 4; i++)
    {
      snprintf (id, sizeof id, "%d", i);
      pf_submit (&f, id, "b", 1, 8);
    }
  pf_decide (&f);
  submit_job (&f, &job);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 1);
  CU_ASSERT_TRUE (pf_started (&f, "owner"));
  pf_teardown (&f);
}

/* Of two workers, the one whose eviction loses less is reclaimed: that of
   CHECKPOINTED, which has written a checkpoint.  */
static void
check_victim (const char *checkpointed, const char *other)
{
  struct pf f;
  struct place_job job = pf_job ("owner", "b", 1, 4);

  pf_setup (&f, &place_policy_guarantee, 1, 2);
  pf_teams (&f, TEAM_LIST + 1, 1);
  pf_submit (&f, "1", "b", 1, 8);
  pf_submit (&f, "2", "b", 1, 8);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 2);
  f.now_ms = 600000;
  place_usage (f.place, checkpointed, 600000, 600000);
  job.checkpointable = false;
  submit_job (&f, &job);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_EVICT, checkpointed));
  CU_ASSERT_FALSE (pf_has_command (&f, PLACE_EVICT, other));
  pf_teardown (&f);
}

static void
test_victim_has_least_loss (void)
{
  check_victim ("1", "2");
  check_victim ("2", "1");
}

/* Of two jobs on one worker, the one that has written a checkpoint is
   evicted.  */
static void
test_victim_has_least_loss_on_one_worker (void)
{
  struct pf f;
  struct place_job job = pf_job ("owner", "b", 1, 4);

  setup (&f, 1);
  place_worker_down (f.place, "w0-1");
  pf_submit (&f, "1", "a", 1, 4);
  pf_submit (&f, "2", "a", 1, 4);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "1"));
  CU_ASSERT_TRUE (pf_started (&f, "2"));
  f.now_ms = 600000;
  place_usage (f.place, "2", 600000, 600000);
  job.checkpointable = false;
  submit_job (&f, &job);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_EVICT, "2"));
  CU_ASSERT_FALSE (pf_has_command (&f, PLACE_EVICT, "1"));
  pf_teardown (&f);
}

static void
test_lost_workers_make_guarantee_unmet (void)
{
  struct pf f;
  const struct place_command *command;

  setup (&f, 2);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 0);
  place_worker_down (f.place, "w0-0");
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count,
                   0); /* the other rack can hold the guarantee */
  place_worker_down (f.place, "w1-1");
  pf_decide (&f);
  command = pf_find (&f, PLACE_GUARANTEE_UNMET, "a");
  CU_ASSERT_PTR_NOT_NULL (command);
  CU_ASSERT_TRUE (command != NULL
                  && strstr (command->reason, "2 x (8 accelerators") != NULL);
  CU_ASSERT_FALSE (pf_has_command (&f, PLACE_GUARANTEE_UNMET, "b"));
  pf_worker (&f, 1, 1);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_GUARANTEE_MET, "a"));
  pf_teardown (&f);
}

static void
test_restored_job_is_within_its_guarantee (void)
{
  struct pf f;
  struct place_job job = rack_job ("owner");
  struct place_assignment block[2]
      = { { .task = 0, .worker = "w1-0", .accelerators = 0xff },
          { .task = 1, .worker = "w1-1", .accelerators = 0xff } };

  setup (&f, 2);
  CU_ASSERT_EQUAL (place_restore (f.place, &job, block, 2, 0), PLACE_OK);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 0);
  CU_ASSERT_EQUAL (place_explain (f.place, "owner", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "within its team's guarantee"));
  pf_teardown (&f);
}

/* Of two restored jobs, the one that cannot be evicted gets the guarantee,
   independent of the order in which they are restored.  */
static void
check_restore_order (bool unevictable_first)
{
  struct pf f;
  struct place_job jobs[2]
      = { pf_job ("borrows", "b", 1, 4), pf_job ("firm", "b", 1, 4) };
  struct place_assignment blocks[2]
      = { { .task = 0, .worker = "w0-0", .accelerators = 0x0f },
          { .task = 0, .worker = "w0-1", .accelerators = 0x0f } };
  int i;

  setup (&f, 2);
  jobs[1].checkpointable = false;
  for (i = 0; i < 2; i++)
    {
      int at = unevictable_first ? 1 - i : i;

      CU_ASSERT_EQUAL (place_restore (f.place, &jobs[at], &blocks[at], 1, 0),
                       PLACE_OK);
    }
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 0);
  CU_ASSERT_EQUAL (place_explain (f.place, "firm", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "within its team's guarantee"));
  CU_ASSERT_EQUAL (place_explain (f.place, "borrows", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "borrowed"));
  pf_teardown (&f);
}

static void
test_restored_unevictable_job_gets_guarantee (void)
{
  check_restore_order (false);
  check_restore_order (true);
}

/* A job restored before its worker is reported counts as borrowed, and gets
   the guarantee when the worker is reported.  */
static void
test_job_may_be_restored_before_its_worker (void)
{
  struct pf f;
  struct place_job job = pf_job ("four", "b", 1, 4);
  struct place_assignment block
      = { .task = 0, .worker = "w1-0", .accelerators = 0x0f };

  setup (&f, 1);
  CU_ASSERT_EQUAL (place_restore (f.place, &job, &block, 1, 0), PLACE_OK);
  pf_decide (&f);
  CU_ASSERT_EQUAL (place_explain (f.place, "four", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "borrowed"));
  pf_worker (&f, 1, 0);
  pf_decide (&f);
  CU_ASSERT_EQUAL (place_explain (f.place, "four", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "within its team's guarantee"));
  pf_teardown (&f);
}

static void
test_conflicting_guarantees_are_named (void)
{
  struct place_worker workers[2]
      = { { .name = "1", .rack = "r", .capacity = { 0, 0, 8 } },
          { .name = "2", .rack = "r", .capacity = { 0, 0, 8 } } };
  char text[PLACE_TEXT_SIZE_BYTES];

  CU_ASSERT_EQUAL (place_check_guarantees (TEAM_LIST, 1, workers, 2, text),
                   PLACE_OK);
  CU_ASSERT_EQUAL (
      place_check_guarantees (TEAM_LIST, TEAM_COUNT, workers, 2, text),
      PLACE_ERR_CONFLICT);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "team b: 1 x (4 accelerators"));
  workers[1].rack = "s";
  CU_ASSERT_EQUAL (place_check_guarantees (TEAM_LIST, 1, workers, 2, text),
                   PLACE_ERR_CONFLICT);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "team a: 2 x (8 accelerators"));
}

/* A large job waits until the guarantee is empty.  Small jobs that would fit
   into it do not start before it, and their failed searches do not stop the
   search for the large job.  */
static void
test_guarantee_is_kept_for_waiting_job (void)
{
  struct pf f;
  struct place_job small = pf_job ("small", "b", 1, 2);
  struct place_job large = pf_job ("large", "b", 1, 4);

  setup (&f, 2);
  small.checkpointable = false;
  large.checkpointable = false;
  submit_job (&f, &small);
  pf_decide (&f);
  submit_job (&f, &large);
  pf_decide (&f);
  small.id = "next";
  small.submitted_ms = -1; /* makes the round try it first */
  submit_job (&f, &small);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 0);
  pf_end (&f, "small", PLACE_OUTCOME_SUCCEEDED, NULL, false);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "large"));
  CU_ASSERT_FALSE (pf_started (&f, "next"));
  pf_teardown (&f);
}

/* A small job does not use a part of the team's large guarantee if a smaller
   guarantee serves.  */
static void
test_small_jobs_leave_large_guarantee_whole (void)
{
  struct pf f;
  struct place_guarantee both[2] = { RACK_GUARANTEE[0], FOUR_ACCELERATORS[0] };
  struct place_team team
      = { .name = "a", .weight = 1, .guarantees = both, .guarantee_count = 2 };
  struct place_job job = rack_job ("large");

  pf_setup (&f, &place_policy_guarantee, 2, 2);
  pf_teams (&f, &team, 1);
  pf_submit (&f, "small", "a", 1, 4);
  pf_decide (&f);
  submit_job (&f, &job);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "large"));
  pf_teardown (&f);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("place: guarantees", NULL, NULL);
  CU_add_test (suite, "reclaim",
               test_guaranteed_job_reclaims_borrowed_workers);
  CU_add_test (suite, "a guaranteed job is not evicted",
               test_guaranteed_job_is_not_evicted);
  CU_add_test (suite, "an unevictable job does not borrow",
               test_unevictable_job_does_not_borrow);
  CU_add_test (suite, "free workers are preferred to evictions",
               test_free_workers_are_preferred_to_evictions);
  CU_add_test (suite, "the victim has the least loss",
               test_victim_has_least_loss);
  CU_add_test (suite, "the victim has the least loss on a worker",
               test_victim_has_least_loss_on_one_worker);
  CU_add_test (suite, "unmet", test_lost_workers_make_guarantee_unmet);
  CU_add_test (suite, "restore", test_restored_job_is_within_its_guarantee);
  CU_add_test (suite, "a restored unevictable job gets the guarantee",
               test_restored_unevictable_job_gets_guarantee);
  CU_add_test (suite, "a job is restored before its worker",
               test_job_may_be_restored_before_its_worker);
  CU_add_test (suite, "clash", test_conflicting_guarantees_are_named);
  CU_add_test (suite, "a guarantee is kept for a waiting job",
               test_guarantee_is_kept_for_waiting_job);
  CU_add_test (suite, "small jobs leave a large guarantee whole",
               test_small_jobs_leave_large_guarantee_whole);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
