/* When callers come back: replays an outage of the store.  */

#include "check.h"
#include "hostd_fixture.h"
#include "sched/retry.h"

enum
{
  TRIES = 5, /* of a client */
  OUTAGE_MS = 6000
};

/* A client whose tries are all refused until the store is back: whether one of
   its tries comes after that.  */
static bool
outlasts (uint32_t priority, int64_t first_ms, uint32_t fixed_s)
{
  int64_t now_ms = first_ms;
  uint32_t wait_s;
  int i;

  for (i = 0; i < TRIES; i++)
    {
      if (now_ms >= OUTAGE_MS)
        return true;
      wait_s = fixed_s;
      if (fixed_s == 0)
        wait_s = rt_after_s (now_ms, priority, (uint32_t)i);
      now_ms += wait_s * (int64_t)1000;
    }
  return false;
}

static void
test_work_with_time_outlasts_an_outage (void)
{
  int64_t first_ms;

  for (first_ms = 0; first_ms < OUTAGE_MS; first_ms += 100)
    CU_ASSERT_TRUE (outlasts (1, first_ms, 0));
  CU_ASSERT_FALSE (outlasts (1, 0, 1)); /* each second, as it was */
}

static void
test_urgent_work_comes_back_soon (void)
{
  CU_ASSERT_EQUAL (rt_after_s (0, 0, 7), 1);
  CU_ASSERT_TRUE (rt_after_s (60000, 0, 7) <= 2);
}

static void
test_bounds (void)
{
  uint32_t chance;

  for (chance = 0; chance < 10; chance++)
    {
      CU_ASSERT_TRUE (rt_after_s (0, 2, chance) >= 1);
      CU_ASSERT_TRUE (rt_after_s (INT64_MAX / 2, 2, chance) <= 4);
    }
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "work with time outlasts an outage",
      test_work_with_time_outlasts_an_outage },
    { "urgent work comes back soon", test_urgent_work_comes_back_soon },
    { "bounds", test_bounds },
  };

  return check_run ("hostd retry", tests, G_N_ELEMENTS (tests));
}
