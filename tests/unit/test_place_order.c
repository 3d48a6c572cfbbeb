/* Order of starts: shares, urgency, ageing; reservations and backfill.  */

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
submit_for (struct pf *f, const char *id, const char *kind, uint32_t tasks,
            uint32_t accelerators, int64_t run_ms)
{
  struct place_job job = pf_job (id, "a", tasks, accelerators);

  job.kind = kind;
  job.declared_run_ms = (uint64_t)run_ms;
  job.submitted_ms = f->now_ms;
  CU_ASSERT_EQUAL_FATAL (place_submit (f->place, &job, f->text), PLACE_OK);
}

static void
end_after (struct pf *f, const char *id, int64_t ran_ms)
{
  struct place_ended ended
      = { .job = id, .end = PLACE_END_OK, .ran_ms = (uint64_t)ran_ms };

  CU_ASSERT_EQUAL (place_ended (f->place, &ended), PLACE_OK);
}

static void
test_the_smaller_share_goes_first (void)
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
test_urgent_goes_first (void)
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
test_waiting_outweighs_a_share (void)
{
  struct pf f;

  setup (&f, 2, 1);
  pf_submit (&f, "holds", "a", 1, 8);
  pf_submit (&f, "ends", "a", 1, 8);
  pf_decide (&f);
  pf_submit (&f, "old", "a", 1, 8);
  f.now_ms += 2 * HOUR_MS;
  pf_submit (&f, "new", "b", 1, 8);
  end_after (&f, "ends", 2 * HOUR_MS);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "old"));
  pf_teardown (&f);
}

static void
test_small_work_goes_into_broken_blocks (void)
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

/* A gang of four workers waits for two; small jobs that would outlast the
   two do not start on the workers kept for it, short ones do.  */
static void
test_backfill_does_not_delay_the_large_job (void)
{
  struct pf f;

  setup (&f, 4, 1);
  submit_for (&f, "runs", "x", 2, 8, HOUR_MS);
  pf_decide (&f);
  submit_for (&f, "large", "x", 4, 8, HOUR_MS);
  submit_for (&f, "long", "x", 1, 8, 2 * HOUR_MS);
  submit_for (&f, "short", "x", 1, 8, HOUR_MS / 2);
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_started (&f, "long"));
  CU_ASSERT_TRUE (pf_started (&f, "short"));
  CU_ASSERT_EQUAL (place_explain (f.place, "large", f.text), PLACE_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.text, "reserved"));
  pf_teardown (&f);
}

/* The short job runs ten times as long as declared: it is evicted when the
   large one could start without it.  */
static void
test_backfill_that_overruns_gives_way (void)
{
  struct pf f;

  setup (&f, 4, 1);
  submit_for (&f, "runs", "x", 2, 8, HOUR_MS);
  pf_decide (&f);
  submit_for (&f, "large", "x", 4, 8, HOUR_MS);
  submit_for (&f, "short", "y", 1, 8, HOUR_MS / 2);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "short"));
  f.now_ms = HOUR_MS;
  end_after (&f, "runs", HOUR_MS);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_was (&f, PLACE_EVICT, "short"));
  pf_end (&f, "short", PLACE_END_EVICTED, NULL, true);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "large"));
  pf_teardown (&f);
}

/* Both have saved more progress than they were declared to take.  Neither
   that runs gives way to the other at once.  */
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
  CU_ASSERT_FALSE (pf_was (&f, PLACE_EVICT, "first"));
  pf_teardown (&f);
}

/* What the large job waits for runs ten times as long as declared: it gives
   way once it has overrun and the start that was expected has passed.  */
static void
test_an_overrun_does_not_starve_the_large_job (void)
{
  struct pf f;

  setup (&f, 2, 1);
  submit_for (&f, "runs", "x", 1, 8, HOUR_MS);
  pf_decide (&f);
  submit_for (&f, "large", "x", 2, 8, HOUR_MS);
  pf_decide (&f);
  f.now_ms = HOUR_MS + MINUTE_MS;
  pf_decide (&f);
  CU_ASSERT_FALSE (pf_was (&f, PLACE_EVICT, "runs"));
  f.now_ms = 2 * HOUR_MS + 2 * MINUTE_MS;
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_was (&f, PLACE_EVICT, "runs"));
  pf_teardown (&f);
}

/* A kind that ends after a tenth of its declared times is believed less:
   its jobs may backfill.  */
static void
test_declarations_are_corrected (void)
{
  struct pf f;
  char id[16];
  int i;

  setup (&f, 4, 1);
  for (i = 0; i < 8; i++)
    {
      snprintf (id, sizeof id, "%d", i);
      submit_for (&f, id, "short", 1, 8, 2 * HOUR_MS);
      pf_decide (&f);
      end_after (&f, id, HOUR_MS / 5);
    }
  submit_for (&f, "runs", "x", 2, 8, HOUR_MS);
  pf_decide (&f);
  submit_for (&f, "large", "x", 4, 8, HOUR_MS);
  submit_for (&f, "says two hours", "short", 1, 8, 2 * HOUR_MS);
  submit_for (&f, "is two hours", "x", 1, 8, 2 * HOUR_MS);
  pf_decide (&f);
  CU_ASSERT_TRUE (pf_started (&f, "says two hours"));
  CU_ASSERT_FALSE (pf_started (&f, "is two hours"));
  pf_teardown (&f);
}

/* Small jobs that keep coming do not starve a large one.  */
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
            end_after (&f, done, HOUR_MS);
        }
      snprintf (id, sizeof id, "%d", i);
      submit_for (&f, id, "small", 1, 8, HOUR_MS);
      if (i == 4)
        submit_for (&f, "large", "large", 4, 8, HOUR_MS);
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
  CU_add_test (suite, "shares", test_the_smaller_share_goes_first);
  CU_add_test (suite, "overrun jobs do not evict each other",
               test_overrun_jobs_do_not_evict_each_other_at_once);
  CU_add_test (suite, "urgency", test_urgent_goes_first);
  CU_add_test (suite, "ageing", test_waiting_outweighs_a_share);
  CU_add_test (suite, "broken blocks",
               test_small_work_goes_into_broken_blocks);
  CU_add_test (suite, "backfill", test_backfill_does_not_delay_the_large_job);
  CU_add_test (suite, "backfill overruns",
               test_backfill_that_overruns_gives_way);
  CU_add_test (suite, "others overrun",
               test_an_overrun_does_not_starve_the_large_job);
  CU_add_test (suite, "corrected declarations",
               test_declarations_are_corrected);
  CU_add_test (suite, "no starvation",
               test_a_stream_of_small_jobs_does_not_starve_a_large_one);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
