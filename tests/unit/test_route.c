/* Tests of the router of one service: admission, fairness, health, retries,
   slots.  */

#include <stdio.h>
#include <string.h>

#include "route/route.h"
#include "route/slots.h"
#include "unit/check.h"

enum
{
  DEADLINE_MS = 1000
};

static int64_t clock_ms;

static int64_t
now_ms (void *ctx)
{
  (void)ctx;
  return clock_ms;
}

static const struct rt_team teams[]
    = { { .name = "a", .weight = 1, .guaranteed_slots = 2 },
        { .name = "b", .weight = 3 } };

/* Makes a router with COUNT instances of SLOTS slots.  This host owns all
   slots, and the slow start of each instance is over.  */
static struct rt_router *
make_router (size_t count, uint32_t slots, uint32_t queue_limit)
{
  struct rt_params params = { .host = "e1", .now_ms = now_ms };
  struct rt_limits limits
      = { .queue_limit = queue_limit, .retry_percent = 10 };
  static const char *const names[] = { "i0", "i1", "i2", "i3" };
  struct rt_instance instances[4];
  struct rt_router *router;
  struct rt_command command;
  uint32_t retry_ms;
  uint64_t token;
  size_t i;

  clock_ms = 1000;
  CU_ASSERT_EQUAL_FATAL (rt_create (&router, &params), RT_OK);
  rt_configure (router, teams, 2, &limits);
  for (i = 0; i < count; i++)
    instances[i] = (struct rt_instance){ .name = names[i], .slots = slots };
  rt_set_instances (router, instances, count);
  /* Slow start is over after some answers from each instance.  */
  for (token = 1000000; token < 1000000 + 8 * count; token++)
    {
      rt_submit (router, token, "a", clock_ms + DEADLINE_MS, &retry_ms);
      CU_ASSERT_TRUE_FATAL (rt_dispatch (router, &command));
      rt_outcome (router, token, RT_ANSWERED, true);
    }
  return router;
}

static int
submit (struct rt_router *router, uint64_t token, const char *team)
{
  uint32_t retry_ms;

  return rt_submit (router, token, team, clock_ms + DEADLINE_MS, &retry_ms);
}

static void
test_slots_bound (void)
{
  struct rt_router *router = make_router (1, 4, 100);
  struct rt_command command;
  uint64_t token;
  int sent = 0;

  for (token = 1; token <= 10; token++)
    CU_ASSERT_EQUAL (submit (router, token, "a"), RT_OK);
  while (rt_dispatch (router, &command))
    sent++;
  CU_ASSERT_EQUAL (sent, 4);
  CU_ASSERT_EQUAL (rt_in_flight (router), 4);
  CU_ASSERT_EQUAL (rt_queued (router), 6);
  CU_ASSERT_FALSE (rt_outcome (router, 1, RT_ANSWERED, true));
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  CU_ASSERT_FALSE (rt_dispatch (router, &command));
  rt_free (router);
}

static void
test_fairness (void)
{
  struct rt_router *router = make_router (2, 8, 1000);
  struct rt_command command;
  uint32_t of_a = 0;
  uint32_t of_b = 0;
  uint64_t token;

  /* Team a fills the queue first; b still gets its share of the slots.  */
  for (token = 1; token <= 100; token++)
    submit (router, token, "a");
  for (token = 101; token <= 200; token++)
    submit (router, token, "b");
  while (rt_dispatch (router, &command))
    if (command.token <= 100)
      of_a++;
    else
      of_b++;
  CU_ASSERT_EQUAL (of_a + of_b, 16);
  CU_ASSERT_EQUAL (of_a, 4);
  CU_ASSERT_EQUAL (of_b, 12);
  rt_free (router);
}

static void
test_expiry (void)
{
  struct rt_router *router = make_router (1, 1, 100);
  struct rt_command command;

  submit (router, 1, "a");
  submit (router, 2, "a");
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  CU_ASSERT_EQUAL (command.token, 1);
  CU_ASSERT_EQUAL (rt_next_dispatch_ms (router), clock_ms + DEADLINE_MS);
  clock_ms += DEADLINE_MS;
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  CU_ASSERT_EQUAL (command.kind, RT_TOO_LATE);
  CU_ASSERT_EQUAL (command.token, 2);
  CU_ASSERT_EQUAL (rt_queued (router), 0);
  rt_free (router);
}

/* A request whose remaining time is shorter than both its wait until now and
   the average answer expires instead of being sent; a new request is sent.  */
static void
test_too_late (void)
{
  struct rt_router *router = make_router (1, 1, 100);
  struct rt_command command;
  uint32_t retry_ms;

  submit (router, 1, "a");
  submit (router, 2, "a");
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  clock_ms += DEADLINE_MS - 1;
  CU_ASSERT_FALSE (rt_outcome (router, 1, RT_ANSWERED, true));
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  CU_ASSERT_EQUAL (command.kind, RT_TOO_LATE);
  CU_ASSERT_EQUAL (command.token, 2);
  CU_ASSERT_EQUAL (rt_submit (router, 3, "a", clock_ms + 1, &retry_ms), RT_OK);
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  CU_ASSERT_EQUAL (command.kind, RT_SEND);
  CU_ASSERT_EQUAL (command.token, 3);
  rt_free (router);
}

static void
test_shed_early (void)
{
  struct rt_router *router = make_router (1, 1, 5);
  uint32_t retry_ms;
  uint64_t token = 0;
  int error;

  do
    error = submit (router, ++token, "b");
  while (error == RT_OK);
  CU_ASSERT_EQUAL (error, RT_ERR_QUEUE_FULL);
  /* A request of a team within its guarantee is still accepted.  */
  CU_ASSERT_EQUAL (submit (router, 100, "a"), RT_OK);
  /* A request with a deadline that cannot be met is refused at once.  */
  CU_ASSERT_EQUAL (rt_would_admit (router, "b", clock_ms, &retry_ms),
                   RT_ERR_QUEUE_FULL);
  CU_ASSERT_TRUE (retry_ms > 0);
  CU_ASSERT_EQUAL (submit (router, 101, "nobody"), RT_ERR_UNKNOWN_TEAM);
  rt_free (router);
}

static void
test_retries (void)
{
  struct rt_router *router = make_router (2, 4, 100);
  struct rt_command command;
  uint64_t token;
  int retried = 0;

  submit (router, 1, "a");
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  /* A request that may have run is tried again only if it is repeatable.  */
  CU_ASSERT_FALSE (rt_outcome (router, 1, RT_NO_ANSWER, false));
  submit (router, 2, "a");
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  CU_ASSERT_TRUE (rt_outcome (router, 2, RT_NO_ANSWER, true));
  /* A request that has not run is tried again, repeatable or not.  */
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  CU_ASSERT_TRUE (rt_outcome (router, 2, RT_BUSY, false));
  clock_ms += 100;
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  CU_ASSERT_FALSE (rt_outcome (router, 2, RT_ANSWERED, true));
  /* When all tries fail, the retry budget limits the retries.  */
  for (token = 10; token < 210; token++)
    {
      submit (router, token, "a");
      clock_ms += 40000;
      while (rt_dispatch (router, &command))
        if (command.kind == RT_SEND
            && rt_outcome (router, command.token, RT_NO_ANSWER, true))
          retried++;
    }
  CU_ASSERT_TRUE (retried <= 30);
  rt_free (router);
}

static void
test_leaving (void)
{
  struct rt_router *router = make_router (2, 2, 100);
  struct rt_command command;
  uint64_t token;
  int sent = 0;

  rt_instance_leaving (router, "i0");
  for (token = 1; token <= 10; token++)
    submit (router, token, "a");
  while (rt_dispatch (router, &command))
    {
      CU_ASSERT_STRING_EQUAL (command.instance, "i1");
      sent++;
    }
  CU_ASSERT_EQUAL (sent, 2);
  rt_free (router);
}

static void
test_ejection (void)
{
  struct rt_router *router = make_router (2, 4, 100);
  struct rt_command command;
  uint64_t token;
  int to_bad = 0;
  int failures;

  for (failures = 0, token = 1; failures < 3; token++)
    {
      submit (router, token, "a");
      CU_ASSERT_TRUE_FATAL (rt_dispatch (router, &command));
      if (strcmp (command.instance, "i0") == 0)
        failures++;
      rt_outcome (router, token,
                  strcmp (command.instance, "i0") == 0 ? RT_SERVER_ERROR
                                                       : RT_ANSWERED,
                  false);
    }
  for (token = 100; token < 120; token++)
    {
      submit (router, token, "a");
      CU_ASSERT_TRUE_FATAL (rt_dispatch (router, &command));
      if (strcmp (command.instance, "i0") == 0)
        to_bad++;
      rt_outcome (router, token, RT_ANSWERED, false);
    }
  CU_ASSERT_EQUAL (to_bad, 0);
  /* The last healthy instance fails too: requests are still sent.  */
  for (token = 200; token < 203; token++)
    {
      submit (router, token, "a");
      CU_ASSERT_TRUE_FATAL (rt_dispatch (router, &command));
      rt_outcome (router, token, RT_SERVER_ERROR, false);
    }
  submit (router, 300, "a");
  CU_ASSERT_TRUE (rt_dispatch (router, &command));
  rt_free (router);
}

enum
{
  INSTANCES = 50,
  INSTANCE_SLOTS = 8
};

/* Sets OWNED to the slots of each instance that hosts[self] owns; returns
   their sum.  */
static uint32_t
count_owned_slots (const char *const *hosts, size_t host_count, size_t self,
                   uint32_t owned[INSTANCES])
{
  char names[INSTANCES][16];
  struct sl_instance items[INSTANCES];
  uint32_t sum = 0;
  int i;

  for (i = 0; i < INSTANCES; i++)
    {
      snprintf (names[i], sizeof names[i], "u%02d", i);
      items[i] = (struct sl_instance){ .instance = names[i],
                                       .slots = INSTANCE_SLOTS };
    }
  sl_share_slots (hosts, host_count, self, items, INSTANCES);
  for (i = 0; i < INSTANCES; i++)
    {
      owned[i] = items[i].owned;
      sum += owned[i];
    }
  return sum;
}

static void
test_slot_owners (void)
{
  static const char *const seven[]
      = { "e1", "e2", "e3", "e4", "e5", "e6", "e7" };
  uint32_t of_all[INSTANCES] = { 0 };
  uint32_t with_seven[INSTANCES];
  uint32_t with_six[INSTANCES];
  uint32_t lost = 0;
  uint32_t sum;
  size_t host;
  int i;

  for (host = 0; host < 7; host++)
    {
      sum = count_owned_slots (seven, 7, host, with_seven);
      CU_ASSERT_TRUE (sum == 57 || sum == 58); /* 400 over 7 */
      for (i = 0; i < INSTANCES; i++)
        of_all[i] += with_seven[i];
    }
  for (i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (of_all[i], INSTANCE_SLOTS);
  /* The last host leaves: each other host gains at least 8 slots, and all of
     them together lose 40 of their slots at most.  */
  for (host = 0; host < 6; host++)
    {
      sum = count_owned_slots (seven, 7, host, with_seven);
      CU_ASSERT_TRUE (count_owned_slots (seven, 6, host, with_six) >= sum + 8);
      for (i = 0; i < INSTANCES; i++)
        if (with_six[i] < with_seven[i])
          lost += with_seven[i] - with_six[i];
    }
  CU_ASSERT_TRUE (lost <= 40);
}

int
main (void)
{
  static const struct check_test tests[]
      = { { "own slots limit the requests in flight", test_slots_bound },
          { "teams share slots by weight under overload", test_fairness },
          { "a queued request expires at its deadline", test_expiry },
          { "a request that would be late is not sent", test_too_late },
          { "excess load is refused at admission", test_shed_early },
          { "retries", test_retries },
          { "a leaving instance gets no new request", test_leaving },
          { "ejected instances are used if no other is left", test_ejection },
          { "owners of slots", test_slot_owners } };

  return check_run ("route", tests, sizeof tests / sizeof tests[0]);
}
