/* Tests of worker health: workers on which jobs fail are quarantined and
   probed; jobs that fail everywhere are given up.  */

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

/* Copies the worker of a job that was started in the last round to OUT, of 16
   bytes; "" if it was not started.  */
static const char *
copy_worker_of (const struct pf *f, const char *job, char *out)
{
  const struct place_command *command = pf_find (f, PLACE_START, job);

  out[0] = '\0';
  if (command != NULL)
    snprintf (out, 16, "%s", command->assignments[0].worker);
  return out;
}

/* Submits up to LIMIT jobs and fails those that start on w0-0 until it is
   quarantined.  Returns the number of failures, or -1.  */
static int
fail_until_quarantined (struct pf *f, int limit)
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
      if (strcmp (copy_worker_of (f, id, worker), "w0-0") != 0)
        {
          pf_end (f, id, PLACE_OUTCOME_SUCCEEDED, NULL, false);
          continue;
        }
      failures++;
      pf_end (f, id, PLACE_OUTCOME_FAILED, "w0-0", false);
      pf_decide (f);
      if (pf_has_command (f, PLACE_QUARANTINE, "w0-0"))
        return failures;
    }
  return -1;
}

static void
test_worker_that_fails_jobs_is_quarantined (void)
{
  struct pf f;

  setup (&f, 2);
  CU_ASSERT_EQUAL (fail_until_quarantined (&f, 10), 3);
  pf_submit (&f, "both", "a", 2, 8);
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_started (&f, "both"));
  CU_ASSERT_EQUAL (place_next_ms (f.place), PF_QUARANTINE_MS);
  pf_teardown (&f);
}

/* Three failures quarantine a worker even if the settings ask for more.  */
static void
test_threshold_is_three_failures_at_most (void)
{
  struct pf f;

  pf_setup_failures (&f, &place_policy_guarantee, 2, 1, 10);
  pf_teams (&f, &TEAM, 1);
  CU_ASSERT_EQUAL (fail_until_quarantined (&f, 10), 3);
  pf_teardown (&f);
}

/* After the quarantine one job at a time probes the worker.  A failure starts
   a quarantine of twice the time; a success makes the worker healthy.  */
static void
test_probe_that_succeeds_ends_quarantine (void)
{
  struct pf f;
  char worker[16];

  setup (&f, 1);
  CU_ASSERT_EQUAL (fail_until_quarantined (&f, 10), 3);
  pf_submit (&f, "1", "a", 1, 1);
  pf_submit (&f, "2", "a", 1, 1);
  f.now_ms += PF_QUARANTINE_MS;
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_LIFT_QUARANTINE, "w0-0"));
  CU_ASSERT_STRING_EQUAL (copy_worker_of (&f, "1", worker), "w0-0");
  CU_ASSERT_FALSE (pf_started (&f, "2"));
  pf_end (&f, "1", PLACE_OUTCOME_FAILED, "w0-0", false);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_QUARANTINE, "w0-0"));
  f.now_ms += PF_QUARANTINE_MS;
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_started (&f, "2"));
  f.now_ms += PF_QUARANTINE_MS;
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "2"));
  pf_end (&f, "2", PLACE_OUTCOME_SUCCEEDED, NULL, false);
  pf_submit (&f, "3", "a", 1, 1);
  pf_submit (&f, "4", "a", 1, 1);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "3"));
  CU_ASSERT_TRUE (pf_started (&f, "4"));
  pf_teardown (&f);
}

static void
test_job_that_always_fails_is_given_up_without_quarantine (void)
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
      CU_ASSERT_FALSE (pf_has_command (&f, PLACE_GIVE_UP, "bad"));
      copy_worker_of (&f, "bad", worker);
      CU_ASSERT_STRING_NOT_EQUAL (worker, before);
      snprintf (before, sizeof before, "%s", worker);
      pf_end (&f, "bad", PLACE_OUTCOME_FAILED, worker, true);
    }
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_GIVE_UP, "bad"));
  pf_submit (&f, "all", "a", 4, 8);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "all"));
  pf_teardown (&f);
}

/* Records the workers on which bad0 to bad2 were started in the last round. */
static void
record_workers (const struct pf *f, char workers[3][16])
{
  char id[16];
  int j;

  for (j = 0; j < 3; j++)
    {
      snprintf (id, sizeof id, "bad%d", j);
      if (pf_started (f, id))
        copy_worker_of (f, id, workers[j]);
    }
}

/* Three jobs that fail everywhere quarantine a healthy worker if they run
   there one after the other.  Once they are given up, the quarantine ends.  */
static void
test_quarantine_ends_when_its_jobs_are_given_up (void)
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
      j = round % 3; /* one of the three fails in each round */
      snprintf (id, sizeof id, "bad%d", j);
      if (round < 3)
        pf_submit (&f, id, "a", 1, 8);
      pf_decide (&f);
      record_workers (&f, workers);
      quarantined
          = quarantined || pf_has_command (&f, PLACE_QUARANTINE, "w0-0");
      if (place_explain (f.place, id, f.text) == PLACE_OK)
        pf_end (&f, id, PLACE_OUTCOME_FAILED, workers[j], true);
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

/* A job that loses its worker more often than the attempt limit is not given
   up for it.  */
static void
test_lost_workers_do_not_count_against_a_job (void)
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
      pf_end (&f, "1", PLACE_OUTCOME_LOST, copy_worker_of (&f, "1", worker),
              true);
    }
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "1"));
  pf_teardown (&f);
}

static void
test_worker_down_for_an_hour_is_forgotten (void)
{
  struct pf f;

  setup (&f, 1);
  pf_worker (&f, 1, 0);
  pf_submit (&f, "1", "a", 2, 8);
  place_worker_down (f.place, "w1-0");
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_has_command (&f, PLACE_REFUSE, "1"));
  f.now_ms += HOUR_MS;
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_REFUSE, "1"));
  pf_teardown (&f);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("place: health", NULL, NULL);
  CU_add_test (suite, "quarantine",
               test_worker_that_fails_jobs_is_quarantined);
  CU_add_test (suite, "threshold of three failures at most",
               test_threshold_is_three_failures_at_most);
  CU_add_test (suite, "probes", test_probe_that_succeeds_ends_quarantine);
  CU_add_test (suite, "job that always fails",
               test_job_that_always_fails_is_given_up_without_quarantine);
  CU_add_test (suite, "quarantine ends with its jobs",
               test_quarantine_ends_when_its_jobs_are_given_up);
  CU_add_test (suite, "losses", test_lost_workers_do_not_count_against_a_job);
  CU_add_test (suite, "workers down for an hour",
               test_worker_down_for_an_hour_is_forgotten);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
