/* Tests of the window of calls to workers.  */

#include "check.h"
#include "worker/call_window.h"

static const struct cw_params PARAMS
    = { .open_min = 8, .open_max = 64, .expiry_ms = 100, .lag_high_ms = 40 };

/* Opens calls of CLASS until there is no room.  */
static uint32_t
open_until_full (struct cw_window *window, enum cw_class class, int64_t now_ms)
{
  uint32_t opened = 0;

  while (cw_has_room (window, class, now_ms))
    {
      cw_open (window, now_ms);
      opened++;
    }
  return opened;
}

static void
test_wave_is_limited_by_window (void)
{
  struct cw_window *window = cw_create (&PARAMS);
  struct cw_ticket *first;

  first = cw_open (window, 0);
  CU_ASSERT_EQUAL (open_until_full (window, CW_BULK, 0), 47);
  CU_ASSERT_EQUAL (open_until_full (window, CW_URGENT, 0), 16);
  cw_close (window, first);
  CU_ASSERT_FALSE (cw_has_room (window, CW_BULK, 1));
  CU_ASSERT_TRUE (cw_has_room (window, CW_URGENT, 1));
  cw_free (window);
}

/* Workers that do not answer must not keep calls to others waiting.  */
static void
test_unanswered_calls_do_not_block (void)
{
  struct cw_window *window = cw_create (&PARAMS);
  struct cw_ticket *late;

  late = cw_open (window, 0);
  open_until_full (window, CW_URGENT, 0);
  CU_ASSERT_FALSE (cw_has_room (window, CW_URGENT, 99));
  CU_ASSERT_TRUE (cw_has_room (window, CW_BULK, 100));
  CU_ASSERT_EQUAL (open_until_full (window, CW_URGENT, 100), 64);
  cw_close (window, late); /* its answer makes no room twice */
  CU_ASSERT_FALSE (cw_has_room (window, CW_URGENT, 101));
  cw_free (window);
}

static void
test_late_loop_shrinks_window (void)
{
  struct cw_window *window = cw_create (&PARAMS);
  int i;

  cw_observe_lag (window, 39);
  CU_ASSERT_EQUAL (cw_size (window), 64);
  cw_observe_lag (window, 40);
  CU_ASSERT_EQUAL (cw_size (window), 48);
  for (i = 0; i < 20; i++)
    cw_observe_lag (window, 400);
  CU_ASSERT_EQUAL (cw_size (window), 8);
  cw_observe_lag (window, 0);
  CU_ASSERT_TRUE (cw_size (window) > 8);
  for (i = 0; i < 50; i++)
    cw_observe_lag (window, 9);
  CU_ASSERT_EQUAL (cw_size (window), 64);
  cw_free (window);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "wave is limited by the window", test_wave_is_limited_by_window },
    { "unanswered calls do not block", test_unanswered_calls_do_not_block },
    { "late loop shrinks the window", test_late_loop_shrinks_window },
  };

  return check_run ("call window", tests, sizeof tests / sizeof tests[0]);
}
