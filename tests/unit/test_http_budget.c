/* The memory that callers hold: counting, and who is closed.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

#include "http/http_budget.h"

enum
{
  LIMIT_BYTES = 1000 * 1000
};

static void
test_counts_what_is_held (void)
{
  struct hb_budget budget;
  struct hb_holder holder = { 0 };

  hb_init (&budget, LIMIT_BYTES);
  hb_add (&budget, &holder);
  hb_take (&budget, &holder, LIMIT_BYTES);
  CU_ASSERT_FALSE (hb_is_over (&budget));
  hb_take (&budget, &holder, 1);
  CU_ASSERT_TRUE (hb_is_over (&budget));
  hb_give (&budget, &holder, 2);
  CU_ASSERT_FALSE (hb_is_over (&budget));
  hb_give (&budget, &holder, UINT64_C (2) * LIMIT_BYTES);
  CU_ASSERT_EQUAL (budget.held_bytes, 0);
  hb_take (&budget, &holder, 7);
  hb_remove (&budget, &holder);
  CU_ASSERT_EQUAL (budget.held_bytes, 0);
  CU_ASSERT_PTR_NULL (hb_choose (&budget, NULL, 0));
}

static void
test_closes_the_largest_and_slowest (void)
{
  struct hb_budget budget;
  int server_a;
  int server_b;
  struct hb_holder slow = { .group = &server_a, .since_ms = 0 };
  struct hb_holder large = { .group = &server_a, .since_ms = 900 };
  struct hb_holder fresh = { .group = &server_b, .since_ms = 1000 };

  hb_init (&budget, LIMIT_BYTES);
  hb_add (&budget, &slow);
  hb_add (&budget, &large);
  hb_add (&budget, &fresh);
  hb_take (&budget, &slow, 20000);
  hb_take (&budget, &large, 100000);
  hb_take (&budget, &fresh, 30000);
  CU_ASSERT_PTR_EQUAL (hb_choose (&budget, NULL, 1000), &slow);
  CU_ASSERT_PTR_EQUAL (hb_choose (&budget, &server_b, 1000), &fresh);
  CU_ASSERT_PTR_NULL (hb_choose (&budget, &server_b, 999));
  slow.in_work = true;
  CU_ASSERT_PTR_EQUAL (hb_choose (&budget, NULL, 1000), &large);
  large.in_work = true;
  fresh.in_work = true;
  CU_ASSERT_PTR_NULL (hb_choose (&budget, NULL, 1000));
}

static void
test_refuses_only_long_bodies_early (void)
{
  struct hb_budget budget;
  struct hb_holder holder = { 0 };

  hb_init (&budget, LIMIT_BYTES);
  hb_add (&budget, &holder);
  CU_ASSERT_FALSE (hb_refuses_early (&budget, UINT64_C (10) * LIMIT_BYTES));
  hb_take (&budget, &holder, LIMIT_BYTES);
  CU_ASSERT_TRUE (hb_refuses_early (&budget, HB_SHORT_BODY_BYTES + 1));
  CU_ASSERT_FALSE (hb_refuses_early (&budget, HB_SHORT_BODY_BYTES));
}

static void
test_trims_once_much_is_freed (void)
{
  struct hb_budget budget;
  struct hb_holder holder = { 0 };

  hb_init (&budget, LIMIT_BYTES);
  hb_add (&budget, &holder);
  hb_take (&budget, &holder, LIMIT_BYTES / 2);
  CU_ASSERT_FALSE (hb_trim_is_due (&budget));
  hb_give (&budget, &holder, LIMIT_BYTES / 2);
  CU_ASSERT_TRUE (hb_trim_is_due (&budget));
  CU_ASSERT_FALSE (hb_trim_is_due (&budget));
}

static void
test_leaves_memory_to_the_process (void)
{
  struct hb_budget budget;
  struct hb_holder holder = { 0 };

  hb_init (&budget, LIMIT_BYTES);
  hb_add (&budget, &holder);
  hb_take (&budget, &holder, LIMIT_BYTES / 2);
  CU_ASSERT_FALSE (hb_needs_adjustment (&budget));
  hb_set_ceiling (&budget, UINT64_C (2) * LIMIT_BYTES);
  CU_ASSERT_TRUE (hb_needs_adjustment (&budget));
  hb_adjust (&budget, LIMIT_BYTES);
  CU_ASSERT_EQUAL (budget.limit_bytes, LIMIT_BYTES);
  hb_adjust (&budget, UINT64_C (2) * LIMIT_BYTES);
  CU_ASSERT_EQUAL (budget.limit_bytes, LIMIT_BYTES / 2);
  hb_adjust (&budget, UINT64_C (9) * LIMIT_BYTES);
  CU_ASSERT_EQUAL (budget.limit_bytes, LIMIT_BYTES / 8);
  CU_ASSERT_TRUE (hb_is_over (&budget));
  hb_adjust (&budget, LIMIT_BYTES);
  CU_ASSERT_EQUAL (budget.limit_bytes, LIMIT_BYTES);
}

static void
test_spare_connections (void)
{
  CU_ASSERT_EQUAL (hb_spare_connections (1), 0);
  CU_ASSERT_EQUAL (hb_spare_connections (200), 25);
  CU_ASSERT_EQUAL (hb_spare_connections (65535), 64);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  suite = CU_add_suite ("http_budget", NULL, NULL);
  CU_ADD_TEST (suite, test_counts_what_is_held);
  CU_ADD_TEST (suite, test_closes_the_largest_and_slowest);
  CU_ADD_TEST (suite, test_refuses_only_long_bodies_early);
  CU_ADD_TEST (suite, test_trims_once_much_is_freed);
  CU_ADD_TEST (suite, test_leaves_memory_to_the_process);
  CU_ADD_TEST (suite, test_spare_connections);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
