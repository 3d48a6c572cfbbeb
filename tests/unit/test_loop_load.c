/* Tests of the load of an event loop.  */

#include <unistd.h>

#include "check.h"
#include "common/loop_load.h"

enum
{
  WORK_US = 30 * 1000
};

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  usleep (WORK_US);
}

static void
test_work_counts_and_waiting_does_not (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct loop_load *load = ll_create (loop);
  struct ll_sample sample;
  ev_timer first;
  ev_timer second;

  ev_timer_init (&first, on_timer, 0.1, 0.0);
  ev_timer_init (&second, on_timer, 0.3, 0.0);
  ev_timer_start (loop, &first);
  ev_timer_start (loop, &second);
  ev_run (loop, 0); /* ends after the second timer */
  ev_run (loop, EVRUN_NOWAIT);
  sample = ll_take (load);
  CU_ASSERT_TRUE (sample.busy_us >= WORK_US);
  CU_ASSERT_TRUE (sample.longest_us >= WORK_US);
  CU_ASSERT_TRUE (sample.longest_us <= sample.busy_us);
  sample = ll_take (load);
  CU_ASSERT_EQUAL (sample.busy_us, 0);
  ll_free (load);
  ev_loop_destroy (loop);
}

/* A round of WORK_US, a log line of WORK_US in its midst, and WORK_US more in
   no section.  */
static void
on_sections_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  enum ll_part outer = ll_enter (LL_ROUNDS);
  enum ll_part round;

  (void)loop;
  (void)watcher;
  (void)events;
  CU_ASSERT_EQUAL (outer, LL_REST);
  usleep (WORK_US / 2);
  round = ll_enter (LL_LOGS);
  CU_ASSERT_EQUAL (round, LL_ROUNDS);
  usleep (WORK_US);
  ll_leave (round);
  usleep (WORK_US / 2);
  ll_leave (outer);
  usleep (WORK_US);
}

static int64_t
sum_of_parts_us (const struct ll_sample *sample)
{
  int64_t sum_us = 0;
  int i;

  for (i = 0; i < LL_PARTS; i++)
    sum_us += sample->part_us[i];
  return sum_us;
}

static void
test_time_counts_for_the_innermost_section (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct loop_load *load = ll_create (loop);
  struct ll_sample sample;
  ev_timer timer;

  ev_timer_init (&timer, on_sections_timer, 0.01, 0.0);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
  ev_run (loop, EVRUN_NOWAIT);
  sample = ll_take (load);
  CU_ASSERT_TRUE (sample.part_us[LL_ROUNDS] >= WORK_US);
  CU_ASSERT_TRUE (sample.part_us[LL_LOGS] >= WORK_US);
  CU_ASSERT_TRUE (sample.part_us[LL_REST] >= WORK_US);
  CU_ASSERT_EQUAL (sum_of_parts_us (&sample), sample.busy_us);
  CU_ASSERT_EQUAL (ll_part_total_us (load, LL_LOGS), sample.part_us[LL_LOGS]);
  sample = ll_take (load);
  CU_ASSERT_EQUAL (sum_of_parts_us (&sample), 0);
  CU_ASSERT_TRUE (ll_part_total_us (load, LL_LOGS) >= WORK_US);
  ll_free (load);
  ev_loop_destroy (loop);
}

static void
test_sections_outside_iterations_count_nothing (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct loop_load *load = ll_create (loop);
  struct ll_sample sample;
  enum ll_part outer = ll_enter (LL_RECORDS);

  usleep (WORK_US);
  ll_leave (outer);
  ev_run (loop, EVRUN_NOWAIT);
  ev_run (loop, EVRUN_NOWAIT);
  sample = ll_take (load);
  CU_ASSERT_EQUAL (sample.part_us[LL_RECORDS], 0);
  CU_ASSERT_TRUE (sample.busy_us < WORK_US);
  ll_free (load);
  outer = ll_enter (LL_LOGS); /* without a load */
  ll_leave (outer);
  CU_ASSERT_EQUAL (outer, LL_REST);
  ev_loop_destroy (loop);
}

static void
test_parts_have_names (void)
{
  int i;
  int j;

  for (i = 0; i < LL_PARTS; i++)
    for (j = 0; j < i; j++)
      CU_ASSERT_STRING_NOT_EQUAL (ll_part_name (i), ll_part_name (j));
}

int
main (void)
{
  static const struct check_test tests[]
      = { { "work counts, and waiting does not",
            test_work_counts_and_waiting_does_not },
          { "time counts for the innermost section",
            test_time_counts_for_the_innermost_section },
          { "sections outside iterations count nothing",
            test_sections_outside_iterations_count_nothing },
          { "parts have names", test_parts_have_names } };

  return check_run ("loop load", tests, sizeof tests / sizeof tests[0]);
}
