/* Guaranteed shapes: borrowing, reclaim, what cannot be met.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "unit/place_fixture.h"

enum
{
  TEAMS = 2
};

/* Team a: one whole rack of two workers.  Team b: four accelerators.  */
static const struct place_guarantee RACK[] = {
  { .shape
    = { .tasks = 2, .task = { .accelerators = 8 }, .span = PLACE_SPAN_RACK },
    .count = 1 }
};
static const struct place_guarantee FOUR[]
    = { { .shape = { .tasks = 1, .task = { .accelerators = 4 } },
          .count = 1 } };

static const struct place_team TEAM_LIST[TEAMS] = {
  { .name = "a",
    .weight = 1,
    .may_borrow = true,
    .guarantees = RACK,
    .guarantee_count = 1 },
  { .name = "b",
    .weight = 1,
    .may_borrow = true,
    .guarantees = FOUR,
    .guarantee_count = 1 },
};

static void
setup (struct pf *f, int racks)
{
  pf_setup (f, &place_policy_guarantee, 2, racks);
  pf_teams (f, TEAM_LIST, TEAMS);
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
submit (struct pf *f, const struct place_job *job)
{
  CU_ASSERT_EQUAL_FATAL (place_submit (f->place, job, f->text), PLACE_OK);
}

static void
test_owner_reclaims_what_was_borrowed (void)
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
  submit (&f, &job);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 4);
  command = f.commands;
  CU_ASSERT_EQUAL (command->kind, PLACE_EVICT);
  CU_ASSERT_EQUAL (command->grace_ms, PF_GRACE_MS);
  CU_ASSERT_STRING_EQUAL (command->for_job, "owner");
  for (i = 0; i < 8; i++)
    {
      snprintf (id, sizeof id, "%d", i);
      if (pf_was (&f, PLACE_EVICT, id))
        pf_end (&f, id, PLACE_END_EVICTED, NULL, true);
    }
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "owner"));
  CU_ASSERT_EQUAL (f.command_count, 1);
  pf_teardown (&f);
}

/* What runs within a guarantee is never evicted.  */
static void
test_guaranteed_work_stays (void)
{
  struct pf f;
  struct place_job four = pf_job ("four", "b", 1, 4);
  struct place_job owner = rack_job ("owner");

  setup (&f, 2);
  four.checkpointable = false;
  submit (&f, &four);
  pf_submit (&f, "borrows", "b", 3, 8);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "four"));
  CU_ASSERT_TRUE (pf_started (&f, "borrows"));
  submit (&f, &owner);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_was (&f, PLACE_EVICT, "borrows"));
  CU_ASSERT_FALSE (pf_was (&f, PLACE_EVICT, "four"));
  pf_teardown (&f);
}

static void
test_what_cannot_be_stopped_does_not_borrow (void)
{
  struct pf f;
  struct place_job job = pf_job ("1", "b", 1, 8);

  setup (&f, 2);
  job.checkpointable = false;
  CU_ASSERT_EQUAL (place_submit (f.place, &job, f.text), PLACE_ERR_NEVER);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "1 x (4 accelerators"));
  job = pf_job ("2", "b", 1, 4);
  job.repeatable = false;
  submit (&f, &job);
  job.id = "3";
  submit (&f, &job);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "2"));
  CU_ASSERT_FALSE (pf_started (&f, "3"));
  CU_ASSERT_EQUAL (place_explain (f.place, "2", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "within its team's guarantee"));
  CU_ASSERT_EQUAL (place_explain (f.place, "3", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "may not borrow"));
  pf_end (&f, "2", PLACE_END_OK, NULL, false);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "3"));
  pf_teardown (&f);
}

/* The owner is moved to free workers instead of evicting.  */
static void
test_free_workers_go_before_evictions (void)
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
  submit (&f, &job);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 1);
  CU_ASSERT_TRUE (pf_started (&f, "owner"));
  pf_teardown (&f);
}

/* Of the workers that could be cleared, the one that loses less: SAVED has
   written a checkpoint.  */
static void
check_victim (const char *saved, const char *other)
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
  place_usage (f.place, saved, 600000, 600000);
  job.checkpointable = false;
  submit (&f, &job);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_was (&f, PLACE_EVICT, saved));
  CU_ASSERT_FALSE (pf_was (&f, PLACE_EVICT, other));
  pf_teardown (&f);
}

static void
test_victims_lose_least (void)
{
  check_victim ("1", "2");
  check_victim ("2", "1");
}

/* Of two on one worker, too: the one that did not save is spared.  */
static void
test_of_one_worker_the_cheapest_goes (void)
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
  submit (&f, &job);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_was (&f, PLACE_EVICT, "2"));
  CU_ASSERT_FALSE (pf_was (&f, PLACE_EVICT, "1"));
  pf_teardown (&f);
}

static void
test_lost_workers_make_it_unmet_at_once (void)
{
  struct pf f;
  const struct place_command *command;

  setup (&f, 2);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 0);
  place_worker_down (f.place, "w0-0");
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 0); /* the other rack serves */
  place_worker_down (f.place, "w1-1");
  pf_decide (&f);
  command = pf_find (&f, PLACE_UNMET, "a");
  CU_ASSERT_PTR_NOT_NULL (command);
  CU_ASSERT_TRUE (command != NULL
                  && strstr (command->reason, "2 x (8 accelerators") != NULL);
  CU_ASSERT_FALSE (pf_was (&f, PLACE_UNMET, "b"));
  pf_worker (&f, 1, 1);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_was (&f, PLACE_MET, "a"));
  pf_teardown (&f);
}

static void
test_a_restored_job_is_within_its_guarantee (void)
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

/* Of two restored jobs the one that cannot be stopped has the guarantee, in
   whatever order they are restored.  */
static void
check_restored (bool firm_first)
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
      int at = firm_first ? 1 - i : i;

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
test_of_restored_jobs_the_firm_one_has_the_guarantee (void)
{
  check_restored (false);
  check_restored (true);
}

/* The same when the planner learns of the worker only later.  */
static void
test_a_job_may_be_restored_before_its_worker (void)
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
test_clashing_guarantees_are_named (void)
{
  struct place_worker workers[2]
      = { { .name = "1", .rack = "r", .capacity = { 0, 0, 8 } },
          { .name = "2", .rack = "r", .capacity = { 0, 0, 8 } } };
  char text[PLACE_TEXT_SIZE_BYTES];

  CU_ASSERT_EQUAL (place_check_guarantees (TEAM_LIST, 1, workers, 2, text),
                   PLACE_OK);
  CU_ASSERT_EQUAL (place_check_guarantees (TEAM_LIST, TEAMS, workers, 2, text),
                   PLACE_ERR_CLASH);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "team b: 1 x (4 accelerators"));
  workers[1].rack = "s";
  CU_ASSERT_EQUAL (place_check_guarantees (TEAM_LIST, 1, workers, 2, text),
                   PLACE_ERR_CLASH);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "team a: 2 x (8 accelerators"));
}

/* Small jobs that fit beside do not keep the guarantee from the large job
   for ever, nor does their own vain search.  */
static void
test_a_guarantee_drains_for_the_job_that_waits (void)
{
  struct pf f;
  struct place_job small = pf_job ("small", "b", 1, 2);
  struct place_job large = pf_job ("large", "b", 1, 4);

  setup (&f, 2);
  small.checkpointable = false;
  large.checkpointable = false;
  submit (&f, &small);
  pf_decide (&f);
  submit (&f, &large);
  pf_decide (&f);
  small.id = "next";
  small.submitted_ms = -1; /* it is tried first */
  submit (&f, &small);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 0);
  pf_end (&f, "small", PLACE_END_OK, NULL, false);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "large"));
  CU_ASSERT_FALSE (pf_started (&f, "next"));
  pf_teardown (&f);
}

/* A team's own small jobs do not break its large shape.  */
static void
test_small_jobs_leave_the_large_shape_whole (void)
{
  struct pf f;
  struct place_guarantee both[2] = { RACK[0], FOUR[0] };
  struct place_team team
      = { .name = "a", .weight = 1, .guarantees = both, .guarantee_count = 2 };
  struct place_job job = rack_job ("large");

  pf_setup (&f, &place_policy_guarantee, 2, 2);
  pf_teams (&f, &team, 1);
  pf_submit (&f, "small", "a", 1, 4);
  pf_decide (&f);
  submit (&f, &job);
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
  CU_add_test (suite, "reclaim", test_owner_reclaims_what_was_borrowed);
  CU_add_test (suite, "guaranteed work stays", test_guaranteed_work_stays);
  CU_add_test (suite, "no borrowing",
               test_what_cannot_be_stopped_does_not_borrow);
  CU_add_test (suite, "free workers first",
               test_free_workers_go_before_evictions);
  CU_add_test (suite, "least loss", test_victims_lose_least);
  CU_add_test (suite, "least loss on a worker",
               test_of_one_worker_the_cheapest_goes);
  CU_add_test (suite, "unmet", test_lost_workers_make_it_unmet_at_once);
  CU_add_test (suite, "restore", test_a_restored_job_is_within_its_guarantee);
  CU_add_test (suite, "restore firm first",
               test_of_restored_jobs_the_firm_one_has_the_guarantee);
  CU_add_test (suite, "restore before the worker",
               test_a_job_may_be_restored_before_its_worker);
  CU_add_test (suite, "clash", test_clashing_guarantees_are_named);
  CU_add_test (suite, "a guarantee drains",
               test_a_guarantee_drains_for_the_job_that_waits);
  CU_add_test (suite, "large shape stays whole",
               test_small_jobs_leave_the_large_shape_whole);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
