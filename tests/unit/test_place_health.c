/* Bad workers and bad jobs.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "unit/place_fixture.h"

enum
{
  HOUR_MS = 3600000
};

static const struct place_team TEAM
    = { .name = "a", .weight = 1, .may_borrow = true };

static void
setup (struct pf *f, int workers)
{
  pf_setup (f, &place_policy_guarantee, workers, 1);
  pf_teams (f, &TEAM, 1);
}

/* The worker of a job that was started in the last round, copied.  */
static const char *
worker_of (const struct pf *f, const char *job, char *out)
{
  const struct place_command *command = pf_find (f, PLACE_START, job);

  out[0] = '\0';
  if (command != NULL)
    snprintf (out, 16, "%s", command->assignments[0].worker);
  return out;
}

/* Fails whatever starts on w0-0 until it is quarantined; returns how many
   failures that took.  */
static int
fail_worker (struct pf *f, int limit)
{
  char id[16];
  char worker[16];
  int failures = 0;
  int i;

  for (i = 0; i < limit; i++)
    {
      snprintf (id, sizeof id, "j%d", i);
      pf_submit (f, id, "a", 1, 8);
      pf_decide (f);
      if (strcmp (worker_of (f, id, worker), "w0-0") != 0)
        {
          pf_end (f, id, PLACE_END_OK, NULL, false);
          continue;
        }
      failures++;
      pf_end (f, id, PLACE_END_FAILED, "w0-0", false);
      pf_decide (f);
      if (pf_was (f, PLACE_QUARANTINE, "w0-0"))
        return failures;
    }
  return -1;
}

static void
test_a_bad_worker_is_quarantined (void)
{
  struct pf f;

  setup (&f, 2);
  CU_ASSERT_EQUAL (fail_worker (&f, 10), 3);
  pf_submit (&f, "both", "a", 2, 8);
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_started (&f, "both"));
  CU_ASSERT_EQUAL (place_next_ms (f.place), PF_QUARANTINE_MS);
  pf_teardown (&f);
}

/* Three failures are enough whatever the settings say.  */
static void
test_at_most_three_failures (void)
{
  struct pf f;

  pf_setup_failures (&f, &place_policy_guarantee, 2, 1, 10);
  pf_teams (&f, &TEAM, 1);
  CU_ASSERT_EQUAL (fail_worker (&f, 10), 3);
  pf_teardown (&f);
}

/* It is probed with one job; a failure doubles the time, a success ends
   it.  */
static void
test_a_worker_is_probed_back_in (void)
{
  struct pf f;
  char worker[16];

  setup (&f, 1);
  CU_ASSERT_EQUAL (fail_worker (&f, 10), 3);
  pf_submit (&f, "1", "a", 1, 1);
  pf_submit (&f, "2", "a", 1, 1);
  f.now_ms += PF_QUARANTINE_MS;
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_was (&f, PLACE_RELEASE, "w0-0"));
  CU_ASSERT_STRING_EQUAL (worker_of (&f, "1", worker), "w0-0");
  CU_ASSERT_FALSE (pf_started (&f, "2"));
  pf_end (&f, "1", PLACE_END_FAILED, "w0-0", false);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_was (&f, PLACE_QUARANTINE, "w0-0"));
  f.now_ms += PF_QUARANTINE_MS;
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_started (&f, "2"));
  f.now_ms += PF_QUARANTINE_MS;
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "2"));
  pf_end (&f, "2", PLACE_END_OK, NULL, false);
  pf_submit (&f, "3", "a", 1, 1);
  pf_submit (&f, "4", "a", 1, 1);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "3"));
  CU_ASSERT_TRUE (pf_started (&f, "4"));
  pf_teardown (&f);
}

static void
test_a_bad_job_is_given_up_and_quarantines_nobody (void)
{
  struct pf f;
  char worker[16];
  char before[16] = "";
  int i;

  setup (&f, 4);
  pf_submit (&f, "bad", "a", 1, 8);
  for (i = 0; i < 3; i++)
    {
      pf_decide (&f);
      CU_ASSERT_FALSE (pf_was (&f, PLACE_GIVE_UP, "bad"));
      worker_of (&f, "bad", worker);
      CU_ASSERT_STRING_NOT_EQUAL (worker, before);
      snprintf (before, sizeof before, "%s", worker);
      pf_end (&f, "bad", PLACE_END_FAILED, worker, true);
    }
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_was (&f, PLACE_GIVE_UP, "bad"));
  pf_submit (&f, "all", "a", 4, 8);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "all"));
  pf_teardown (&f);
}

/* Notes where the jobs bad0 to bad2 were started.  */
static void
remember_starts (const struct pf *f, char workers[3][16])
{
  char id[16];
  int j;

  for (j = 0; j < 3; j++)
    {
      snprintf (id, sizeof id, "bad%d", j);
      if (pf_started (f, id))
        worker_of (f, id, workers[j]);
    }
}

/* Three bad jobs in a row may look like a bad worker; once they are given
   up, the worker is trusted.  */
static void
test_blame_ends_with_the_bad_jobs (void)
{
  struct pf f;
  char workers[3][16];
  char id[16];
  bool quarantined = false;
  int round;
  int j;

  setup (&f, 8);
  for (round = 0; round < 20; round++)
    {
      j = round % 3; /* only one of them fails in a round */
      snprintf (id, sizeof id, "bad%d", j);
      if (round < 3)
        pf_submit (&f, id, "a", 1, 8);
      pf_decide (&f);
      remember_starts (&f, workers);
      quarantined = quarantined || pf_was (&f, PLACE_QUARANTINE, "w0-0");
      if (place_explain (f.place, id, f.text) == PLACE_OK)
        pf_end (&f, id, PLACE_END_FAILED, workers[j], true);
    }
  pf_decide (&f);
  for (j = 0; j < 3; j++)
    {
      snprintf (id, sizeof id, "bad%d", j);
      CU_ASSERT_EQUAL (place_explain (f.place, id, f.text), PLACE_ERR_UNKNOWN);
    }
  CU_ASSERT_TRUE (quarantined);
  pf_submit (&f, "all", "a", 8, 8);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "all"));
  pf_teardown (&f);
}

/* Evictions and lost workers are no fault of the job.  */
static void
test_losses_do_not_condemn_a_job (void)
{
  struct pf f;
  char worker[16];
  int i;

  setup (&f, 2);
  pf_submit (&f, "1", "a", 1, 8);
  for (i = 0; i < 5; i++)
    {
      pf_decide (&f);
      CU_ASSERT_TRUE (pf_started (&f, "1"));
      pf_end (&f, "1", PLACE_END_LOST, worker_of (&f, "1", worker), true);
    }
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "1"));
  pf_teardown (&f);
}

static void
test_a_worker_long_gone_is_forgotten (void)
{
  struct pf f;

  setup (&f, 1);
  pf_worker (&f, 1, 0);
  pf_submit (&f, "1", "a", 2, 8);
  place_worker_down (f.place, "w1-0");
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_was (&f, PLACE_REFUSE, "1"));
  f.now_ms += HOUR_MS;
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_was (&f, PLACE_REFUSE, "1"));
  pf_teardown (&f);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("place: health", NULL, NULL);
  CU_add_test (suite, "quarantine", test_a_bad_worker_is_quarantined);
  CU_add_test (suite, "at most three", test_at_most_three_failures);
  CU_add_test (suite, "probes", test_a_worker_is_probed_back_in);
  CU_add_test (suite, "bad job",
               test_a_bad_job_is_given_up_and_quarantines_nobody);
  CU_add_test (suite, "bad jobs in a row", test_blame_ends_with_the_bad_jobs);
  CU_add_test (suite, "losses", test_losses_do_not_condemn_a_job);
  CU_add_test (suite, "forgotten workers",
               test_a_worker_long_gone_is_forgotten);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
