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

int
main (void)
{
  static const struct check_test tests[]
      = { { "work counts, and waiting does not",
            test_work_counts_and_waiting_does_not } };

  return check_run ("loop load", tests, sizeof tests / sizeof tests[0]);
}
