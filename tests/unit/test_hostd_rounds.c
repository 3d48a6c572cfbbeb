/* Tests of the pause between rounds.  */

#include <glib.h>

#include "../../programs/foxtailgap-hostd/round_pacing.h"
#include "check.h"

/* Guards against rounds that take up the processor: on a host of a quarter of
   a core rounds of 90 ms followed each other after 100 ms, while up to 1,800
   starts waited to be sent for the rest of the day.  */
static void
test_long_rounds_take_a_quarter_of_the_processor (void)
{
  static const int64_t rounds_us[] = { 2000, 20000, 90000 };
  size_t i;

  for (i = 0; i < sizeof rounds_us / sizeof rounds_us[0]; i++)
    CU_ASSERT_TRUE (rp_delay_ms (rounds_us[i]) * 1000 >= rounds_us[i] * 3);
}

static void
test_pause_is_bounded (void)
{
  CU_ASSERT_EQUAL (rp_delay_ms (0), 4);
  CU_ASSERT_EQUAL (rp_delay_ms (1000000), 300);
}

static void
test_rounds_are_no_lag_of_calls (void)
{
  CU_ASSERT_EQUAL (rp_call_lag_ms (95, 90000), 5);
  CU_ASSERT_EQUAL (rp_call_lag_ms (60, 0), 60);
  CU_ASSERT_EQUAL (rp_call_lag_ms (20, 90000), 0);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "long rounds take a quarter of the processor",
      test_long_rounds_take_a_quarter_of_the_processor },
    { "the pause between rounds is bounded", test_pause_is_bounded },
    { "the time of rounds is no lag of calls",
      test_rounds_are_no_lag_of_calls },
  };

  return check_run ("hostd rounds", tests, G_N_ELEMENTS (tests));
}
