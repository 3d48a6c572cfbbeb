/* Tests of the order of starts: shares, urgency, ageing, reservations and
   backfill.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "unit/place_fixture.h"

static const int64_t MINUTE_MS = 60000;
static const int64_t HOUR_MS = 3600000;

static const struct place_team TEAMS[2]
    = { { .name = "a", .weight = 1, .may_borrow = true },
        { .name = "b", .weight = 1, .may_borrow = true } };

static void
setup (struct pf *f, int workers, int racks)
{
  pf_setup (f, &place_policy_guarantee, workers, racks);
  pf_teams (f, TEAMS, 2);
}

static void
submit_declared (struct pf *f, const char *id, const char *kind,
                 uint32_t tasks, uint32_t accelerators, int64_t run_ms)
{
  struct place_job job = pf_job (id, "a", tasks, accelerators);

  job.kind = kind;
  job.declared_run_ms = (uint64_t)run_ms;
  job.submitted_ms = f->now_ms;
  CU_ASSERT_EQUAL_FATAL (place_submit (f->place, &job, f->text), PLACE_OK);
}

static void
end_ok_after (struct pf *f, const char *id, int64_t ran_ms)
{
  struct place_ended ended = { .job = id,
                               .outcome = PLACE_OUTCOME_SUCCEEDED,
                               .ran_ms = (uint64_t)ran_ms };

  CU_ASSERT_EQUAL (place_ended (f->place, &ended), PLACE_OK);
}

static void
test_smaller_share_starts_first (void)
{
  struct pf f;

  setup (&f, 4, 1);
  pf_submit (&f, "a1", "a", 1, 8);
  pf_submit (&f, "a2", "a", 1, 8);
  pf_submit (&f, "a3", "a", 1, 8);
  pf_submit (&f, "a4", "a", 1, 8);
  pf_submit (&f, "b1", "b", 1, 8);
  pf_submit (&f, "b2", "b", 1, 8);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 4);
  CU_ASSERT_TRUE (pf_started (&f, "b1"));
  CU_ASSERT_TRUE (pf_started (&f, "b2"));
  pf_teardown (&f);
}

static void
test_urgent_job_starts_first (void)
{
  struct pf f;
  struct place_job job = pf_job ("urgent", "a", 1, 8);

  setup (&f, 1, 1);
  pf_submit (&f, "1", "b", 1, 8);
  job.urgent = true;
  CU_ASSERT_EQUAL (place_submit (f.place, &job, f.text), PLACE_OK);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "urgent"));
  pf_teardown (&f);
}

static void
test_long_wait_outweighs_share (void)
{
  struct pf f;

  setup (&f, 2, 1);
  pf_submit (&f, "holds", "a", 1, 8);
  pf_submit (&f, "ends", "a", 1, 8);
  pf_decide (&f);
  pf_submit (&f, "old", "a", 1, 8);
  f.now_ms += 2 * HOUR_MS;
  pf_submit (&f, "new", "b", 1, 8);
  end_ok_after (&f, "ends", 2 * HOUR_MS);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "old"));
  pf_teardown (&f);
}

static void
test_small_jobs_fill_partly_used_workers (void)
{
  struct pf f;

  setup (&f, 2, 2);
  pf_submit (&f, "1", "a", 1, 2);
  pf_decide (&f);
  pf_submit (&f, "2", "a", 1, 2);
  pf_submit (&f, "3", "b", 1, 4);
  pf_decide (&f);
  CU_ASSERT_EQUAL (f.command_count, 2);
  pf_submit (&f, "large", "a", 3, 8);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "large"));
  pf_teardown (&f);
}

/* A gang that needs four workers waits until the job on two of them ends.  On
   the other two, which are reserved for it, a job starts only if it ends by
   then; otherwise it would delay the gang.  */
static void
test_backfill_does_not_delay_the_large_job (void)
{
  struct pf f;

  setup (&f, 4, 1);
  submit_declared (&f, "runs", "x", 2, 8, HOUR_MS);
  pf_decide (&f);
  submit_declared (&f, "large", "x", 4, 8, HOUR_MS);
  submit_declared (&f, "long", "x", 1, 8, 2 * HOUR_MS);
  submit_declared (&f, "short", "x", 1, 8, HOUR_MS / 2);
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_started (&f, "long"));
  CU_ASSERT_TRUE (pf_started (&f, "short"));
  CU_ASSERT_EQUAL (place_explain (f.place, "large", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "reserved"));
  pf_teardown (&f);
}

/* A backfilled job still runs after its declared end, when the large job could
   start but for it.  It is evicted; otherwise a wrong declaration would delay
   the large job.  */
static void
test_backfill_that_overruns_is_evicted (void)
{
  struct pf f;

  setup (&f, 4, 1);
  submit_declared (&f, "runs", "x", 2, 8, HOUR_MS);
  pf_decide (&f);
  submit_declared (&f, "large", "x", 4, 8, HOUR_MS);
  submit_declared (&f, "short", "y", 1, 8, HOUR_MS / 2);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "short"));
  f.now_ms = HOUR_MS;
  end_ok_after (&f, "runs", HOUR_MS);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_EVICT, "short"));
  pf_end (&f, "short", PLACE_OUTCOME_EVICTED, NULL, true);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "large"));
  pf_teardown (&f);
}

/* Two jobs have both checkpointed more progress than their declared run time.
   If the running one were evicted for the other at once, they would evict each
   other in turn and neither would advance.  */
static void
test_overrun_jobs_do_not_evict_each_other_at_once (void)
{
  struct place_job job = pf_job ("first", "a", 2, 8);
  struct pf f;

  setup (&f, 2, 1);
  job.declared_run_ms = 1000;
  job.progress_ms = 5000;
  CU_ASSERT_EQUAL (place_submit (f.place, &job, f.text), PLACE_OK);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "first"));
  job.id = "second";
  CU_ASSERT_EQUAL (place_submit (f.place, &job, f.text), PLACE_OK);
  pf_decide (&f);
  f.now_ms += 100;
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_has_command (&f, PLACE_EVICT, "first"));
  pf_teardown (&f);
}

/* The job on reserved workers runs on beyond its declared end.  It is evicted
   once it has run for twice the expected time and the first expected start of
   the large job has passed.  */
static void
test_overrun_does_not_starve_the_large_job (void)
{
  struct pf f;

  setup (&f, 2, 1);
  submit_declared (&f, "runs", "x", 1, 8, HOUR_MS);
  pf_decide (&f);
  submit_declared (&f, "large", "x", 2, 8, HOUR_MS);
  pf_decide (&f);
  f.now_ms = HOUR_MS + MINUTE_MS;
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_has_command (&f, PLACE_EVICT, "runs"));
  f.now_ms = 2 * HOUR_MS + 2 * MINUTE_MS;
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_has_command (&f, PLACE_EVICT, "runs"));
  pf_teardown (&f);
}

/* Jobs of one kind have ended after a tenth of their declared run times.  The
   next job of that kind is expected to be as short, and may backfill.  */
static void
test_declared_run_times_are_corrected (void)
{
  struct pf f;
  char id[16];
  int i;

  setup (&f, 4, 1);
  for (i = 0; i < 8; i++)
    {
      snprintf (id, sizeof id, "%d", i);
      submit_declared (&f, id, "short", 1, 8, 2 * HOUR_MS);
      pf_decide (&f);
      end_ok_after (&f, id, HOUR_MS / 5);
    }
  submit_declared (&f, "runs", "x", 2, 8, HOUR_MS);
  pf_decide (&f);
  submit_declared (&f, "large", "x", 4, 8, HOUR_MS);
  submit_declared (&f, "says two hours", "short", 1, 8, 2 * HOUR_MS);
  submit_declared (&f, "is two hours", "x", 1, 8, 2 * HOUR_MS);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "says two hours"));
  CU_ASSERT_FALSE (pf_started (&f, "is two hours"));
  pf_teardown (&f);
}

/* Small jobs that are submitted all the time do not starve a large one.  */
static void
test_a_stream_of_small_jobs_does_not_starve_a_large_one (void)
{
  struct pf f;
  char id[16];
  char done[16];
  bool started = false;
  int i;

  setup (&f, 4, 1);
  for (i = 0; i < 100 && !started; i++)
    {
      f.now_ms += 15 * MINUTE_MS;
      if (i >= 4)
        {
          snprintf (done, sizeof done, "%d", i - 4);
          if (place_explain (f.place, done, f.text) == PLACE_OK
              && strstr (f.text, "runs") != NULL)
            end_ok_after (&f, done, HOUR_MS);
        }
      snprintf (id, sizeof id, "%d", i);
      submit_declared (&f, id, "small", 1, 8, HOUR_MS);
      if (i == 4)
        submit_declared (&f, "large", "large", 4, 8, HOUR_MS);
      pf_decide (&f);
      started = pf_started (&f, "large");
    }
  CU_ASSERT_TRUE (started);
  CU_ASSERT_TRUE (i < 12);
  pf_teardown (&f);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("place: order", NULL, NULL);
  CU_add_test (suite, "shares", test_smaller_share_starts_first);
  CU_add_test (suite, "overrun jobs do not evict each other",
               test_overrun_jobs_do_not_evict_each_other_at_once);
  CU_add_test (suite, "urgency", test_urgent_job_starts_first);
  CU_add_test (suite, "ageing", test_long_wait_outweighs_share);
  CU_add_test (suite, "partly used workers",
               test_small_jobs_fill_partly_used_workers);
  CU_add_test (suite, "backfill", test_backfill_does_not_delay_the_large_job);
  CU_add_test (suite, "backfill overruns",
               test_backfill_that_overruns_is_evicted);
  CU_add_test (suite, "overrun of a job on reserved workers",
               test_overrun_does_not_starve_the_large_job);
  CU_add_test (suite, "corrected declarations",
               test_declared_run_times_are_corrected);
  CU_add_test (suite, "no starvation",
               test_a_stream_of_small_jobs_does_not_starve_a_large_one);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
