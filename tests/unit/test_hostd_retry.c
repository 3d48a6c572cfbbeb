/* Tests of the Retry-After time.  Guards against callers that use up their
   tries during an outage of the store, since all are told to retry after one
   second.  */

#include "check.h"
#include "hostd_fixture.h"
#include "sched/retry.h"

enum
{
  CLIENT_TRIES = 5,
  OUTAGE_MS = 6000
};

/* Whether a client whose first try is at FIRST_MS of the outage makes one of
   its tries after the outage.  FIXED_S: seconds between tries; 0: as told by
   rt_retry_after_s ().  */
static bool
outlasts (uint32_t priority, int64_t first_ms, uint32_t fixed_s)
{
  int64_t now_ms = first_ms;
  uint32_t wait_s;
  int i;

  for (i = 0; i < CLIENT_TRIES; i++)
    {
      if (now_ms >= OUTAGE_MS)
        return true;
      wait_s = fixed_s;
      if (fixed_s == 0)
        wait_s = rt_retry_after_s (now_ms, priority, (uint32_t)i);
      now_ms += wait_s * (int64_t)1000;
    }
  return false;
}

static void
test_retries_of_other_work_outlast_an_outage (void)
{
  int64_t first_ms;

  for (first_ms = 0; first_ms < OUTAGE_MS; first_ms += 100)
    CU_ASSERT_TRUE (outlasts (1, first_ms, 0));
  /* With the former fixed second between tries the client gives up.  */
  CU_ASSERT_FALSE (outlasts (1, 0, 1));
}

static void
test_urgent_work_is_retried_soon (void)
{
  CU_ASSERT_EQUAL (rt_retry_after_s (0, 0, 7), 1);
  CU_ASSERT_TRUE (rt_retry_after_s (60000, 0, 7) <= 2);
}

static void
test_time_stays_within_bounds (void)
{
  uint32_t chance;

  for (chance = 0; chance < 10; chance++)
    {
      CU_ASSERT_TRUE (rt_retry_after_s (0, 2, chance) >= 1);
      CU_ASSERT_TRUE (rt_retry_after_s (INT64_MAX / 2, 2, chance) <= 4);
    }
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "retries of work that is not urgent outlast an outage",
      test_retries_of_other_work_outlast_an_outage },
    { "urgent work is retried soon", test_urgent_work_is_retried_soon },
    { "bounds", test_time_stays_within_bounds },
  };

  return check_run ("hostd retry", tests, G_N_ELEMENTS (tests));
}
