/* Tests of the budget of the host's link: simulated links that delay what does
   not fit.  */

#include <glib.h>

#include "check.h"
#include "worker/link_budget.h"

enum
{
  LINK_BYTES_PER_S = 250000, /* 2 Mbit/s */
  CALL_BYTES = 1500,
  WAVE_CALLS = 200,
  ANSWER_MS = 4,
  START_TIMEOUT_MS = 350, /* of worker_starts.c */
  DEBT_REPAID_MS = 500,
  SIMULATED_MS = 10000
};

static const struct lb_params PARAMS = { .link_bytes_per_s = LINK_BYTES_PER_S,
                                         .burst_ms = 50,
                                         .interval_ms = 100,
                                         .fast_ms = 30,
                                         .slow_ms = 80 };

/* A wave of calls over a link that other traffic uses too.  */
struct simulation
{
  int64_t answered_ms[WAVE_CALLS]; /* the moment */
  int64_t sent_ms[WAVE_CALLS];
  uint32_t sent;
  uint32_t observed;
  double link_free_ms; /* when the link has sent all that was given to it */
  int64_t slowest_ms;
  int64_t end_ms; /* when all had been answered; 0: they were not */
};

/* @return : when the link has sent BYTES more.  */
static double
send_bytes (struct simulation *simulation, double bytes, int64_t now_ms)
{
  simulation->link_free_ms = MAX (simulation->link_free_ms, (double)now_ms)
                             + bytes * 1000 / LINK_BYTES_PER_S;
  return simulation->link_free_ms;
}

static void
observe_answers (struct simulation *simulation, struct lb_budget *budget,
                 int64_t now_ms)
{
  while (simulation->observed < simulation->sent
         && simulation->answered_ms[simulation->observed] <= now_ms)
    {
      int64_t took_ms = now_ms - simulation->sent_ms[simulation->observed++];

      simulation->slowest_ms = MAX (simulation->slowest_ms, took_ms);
      lb_observe (budget, took_ms, now_ms);
    }
  if (simulation->observed == WAVE_CALLS && simulation->end_ms == 0)
    simulation->end_ms = now_ms;
}

/* @other_percent : of the link, used by other traffic.  */
static struct simulation
simulate_wave (const struct lb_params *params, uint32_t other_percent)
{
  struct simulation simulation = { 0 };
  struct lb_budget budget;
  int64_t now_ms;

  lb_init (&budget, params, 0);
  for (now_ms = 0; now_ms < SIMULATED_MS; now_ms++)
    {
      send_bytes (&simulation,
                  (double)LINK_BYTES_PER_S / 1000 * other_percent / 100,
                  now_ms);
      observe_answers (&simulation, &budget, now_ms);
      while (simulation.sent < WAVE_CALLS && lb_has_room (&budget, now_ms))
        {
          lb_take (&budget, CALL_BYTES, now_ms);
          simulation.sent_ms[simulation.sent] = now_ms;
          simulation.answered_ms[simulation.sent++]
              = (int64_t)send_bytes (&simulation, CALL_BYTES, now_ms)
                + ANSWER_MS;
        }
    }
  return simulation;
}

/* Guards against a wave whose starts wait in the link until they time out, and
   the planner's heartbeats behind them (scale-1 of the small twin of large).
 */
static void
test_wave_waits_for_the_link (void)
{
  struct lb_params unlimited = PARAMS;
  struct simulation simulation;

  unlimited.link_bytes_per_s = 0;
  simulation = simulate_wave (&unlimited, 0);
  CU_ASSERT_TRUE (simulation.slowest_ms > START_TIMEOUT_MS);
  simulation = simulate_wave (&PARAMS, 0);
  CU_ASSERT_TRUE (simulation.slowest_ms < START_TIMEOUT_MS);
  /* 1.2 s on an idle link.  */
  CU_ASSERT_TRUE (simulation.end_ms > 0 && simulation.end_ms < 2000);
}

static void
test_wave_leaves_room_for_other_traffic (void)
{
  uint32_t percent;

  for (percent = 10; percent <= 60; percent += 10)
    {
      struct simulation simulation = simulate_wave (&PARAMS, percent);

      CU_ASSERT_TRUE (simulation.slowest_ms < START_TIMEOUT_MS);
      CU_ASSERT_TRUE (simulation.end_ms > 0);
    }
}

/* One worker that does not answer says nothing about the link.  */
static void
test_slow_worker_does_not_shrink_the_budget (void)
{
  struct lb_budget budget;
  int64_t now_ms;

  lb_init (&budget, &PARAMS, 0);
  for (now_ms = 0; now_ms < 1000; now_ms += 10)
    lb_observe (&budget, now_ms % 20 == 0 ? START_TIMEOUT_MS : 5, now_ms);
  CU_ASSERT_TRUE (budget.bytes_per_s > LINK_BYTES_PER_S / 2);
}

static void
test_budget_has_bounds (void)
{
  struct lb_budget budget;
  int64_t now_ms;

  lb_init (&budget, &PARAMS, 0);
  for (now_ms = 0; now_ms < 10000; now_ms += 100)
    lb_observe (&budget, START_TIMEOUT_MS, now_ms);
  CU_ASSERT_EQUAL (budget.bytes_per_s, LINK_BYTES_PER_S / 10);
  for (; now_ms < 20000; now_ms += 100)
    lb_observe (&budget, 1, now_ms);
  CU_ASSERT_EQUAL (budget.bytes_per_s, LINK_BYTES_PER_S);
}

/* Guards against seconds without a start: calls that are sent again take from
   the budget whether there is room or not, and what they took of a large
   budget was repaid from the least one, with nothing to observe meanwhile.  */
static void
test_debt_is_repaid_within_a_bounded_time (void)
{
  struct lb_budget budget;
  int64_t now_ms;

  lb_init (&budget, &PARAMS, 0);
  for (now_ms = 0; now_ms < 3000; now_ms += 10)
    {
      lb_take (&budget, CALL_BYTES, now_ms);
      lb_observe (&budget, START_TIMEOUT_MS, now_ms);
    }
  CU_ASSERT_EQUAL (budget.bytes_per_s, LINK_BYTES_PER_S / 10);
  CU_ASSERT_FALSE (lb_has_room (&budget, now_ms));
  CU_ASSERT_TRUE (lb_has_room (&budget, now_ms + DEBT_REPAID_MS));
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "a wave waits for the link", test_wave_waits_for_the_link },
    { "a wave leaves room for other traffic",
      test_wave_leaves_room_for_other_traffic },
    { "a slow worker does not shrink the budget",
      test_slow_worker_does_not_shrink_the_budget },
    { "the budget has bounds", test_budget_has_bounds },
    { "a debt is repaid within a bounded time",
      test_debt_is_repaid_within_a_bounded_time },
  };

  return check_run ("hostd link", tests, G_N_ELEMENTS (tests));
}
