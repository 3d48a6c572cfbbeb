/* Tests of burn rates: windows, rates, alarms.  */

#include <string.h>

#include "burn/burn.h"
#include "unit/check.h"

static const int64_t MINUTE_MS = 60000;
static const int64_t START_MS = 1000000 * 60000LL;

static const struct bn_objective objectives[]
    = { { "routes", "dawn-plan", 1000, 990 }, { "clinics", "x", 10, 500 } };

struct seen
{
  int objectives;
  struct bn_counts counts[BN_WINDOWS];
  struct bn_objective objective;
};

static void
copy_objective (void *ctx, const struct bn_objective *objective,
                const struct bn_counts counts[BN_WINDOWS])
{
  struct seen *seen = ctx;

  seen->objectives++;
  if (strcmp (objective->team, "routes") != 0)
    return;
  seen->objective = *objective;
  memcpy (seen->counts, counts, sizeof seen->counts);
}

static struct seen
read_book (const struct bn_meters *meters, int64_t now_ms)
{
  struct seen seen = { 0 };

  bn_each_objective (meters, now_ms, copy_objective, &seen);
  return seen;
}

static void
test_windows (void)
{
  struct bn_meters *meters = bn_create ();
  struct seen seen;
  int i;

  bn_configure (meters, objectives, 2);
  bn_count_outcome (meters, "routes", "dawn-plan", START_MS, 1000, true);
  bn_count_outcome (meters, "routes", "dawn-plan", START_MS, 1001,
                    true); /* late */
  bn_count_outcome (meters, "routes", "dawn-plan", START_MS, 1, false);
  bn_count_outcome (meters, "routes", "other", START_MS, 1, false);
  seen = read_book (meters, START_MS);
  CU_ASSERT_EQUAL (seen.objectives, 2);
  for (i = 0; i < BN_WINDOWS; i++)
    {
      CU_ASSERT_EQUAL (seen.counts[i].good, 1);
      CU_ASSERT_EQUAL (seen.counts[i].bad, 2);
    }
  seen = read_book (meters, START_MS + 5 * MINUTE_MS);
  CU_ASSERT_EQUAL (seen.counts[BN_WINDOW_5_MIN].bad, 0);
  CU_ASSERT_EQUAL (seen.counts[BN_WINDOW_30_MIN].bad, 2);
  bn_count_outcome (meters, "routes", "dawn-plan", START_MS + 360 * MINUTE_MS,
                    1, true);
  seen = read_book (meters, START_MS + 360 * MINUTE_MS);
  CU_ASSERT_EQUAL (seen.counts[BN_WINDOW_6_H].bad, 0);
  CU_ASSERT_EQUAL (seen.counts[BN_WINDOW_6_H].good, 1);
  /* An end before the longest window is not counted.  */
  bn_count_outcome (meters, "routes", "dawn-plan", START_MS, 1, false);
  seen = read_book (meters, START_MS + 360 * MINUTE_MS);
  CU_ASSERT_EQUAL (seen.counts[BN_WINDOW_6_H].bad, 0);
  bn_free (meters);
}

static void
test_configure (void)
{
  struct bn_meters *meters = bn_create ();
  struct seen seen;

  bn_configure (meters, objectives, 2);
  bn_count_outcome (meters, "routes", "dawn-plan", START_MS, 1, true);
  bn_configure (meters, objectives, 1);
  seen = read_book (meters, START_MS);
  CU_ASSERT_EQUAL (seen.objectives, 1);
  CU_ASSERT_EQUAL (seen.counts[BN_WINDOW_6_H].good, 1);
  bn_free (meters);
}

static void
test_alarms (void)
{
  struct bn_counts counts[BN_WINDOWS]
      = { { 80, 20 }, { 800, 20 }, { 800, 200 }, { 9000, 300 } };

  CU_ASSERT_DOUBLE_EQUAL (bn_rate (&counts[0], 990), 20.0, 0.001);
  CU_ASSERT_EQUAL (bn_alarm (counts, 990), BN_ALARM_FAST);
  counts[BN_WINDOW_5_MIN].bad = 0; /* the failures are over */
  CU_ASSERT_EQUAL (bn_alarm (counts, 990), BN_ALARM_NONE);
  counts[BN_WINDOW_30_MIN].bad = 100;
  counts[BN_WINDOW_6_H].bad = 1000;
  CU_ASSERT_EQUAL (bn_alarm (counts, 990), BN_ALARM_SLOW);
  memset (counts, 0, sizeof counts);
  CU_ASSERT_EQUAL (bn_alarm (counts, 990), BN_ALARM_NONE);
}

int
main (void)
{
  static const struct check_test tests[] = { { "windows", test_windows },
                                             { "configure", test_configure },
                                             { "alarms", test_alarms } };

  return check_run ("burn", tests, sizeof tests / sizeof tests[0]);
}
