/* Runs one suite of CUnit tests; shared by all unit tests.  */

#ifndef FT_CHECK_H
#define FT_CHECK_H

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

/* One test; NAME is shown in the report.  */
struct check_test
{
  const char *name;
  void (*run) (void);
};

/* Runs the COUNT tests as one suite.  Returns the exit code of the program:
   0 if all assertions held, else 1.  */
static inline int
check_run (const char *suite_name, const struct check_test *tests,
           size_t count)
{
  CU_pSuite suite;
  unsigned int failures;
  size_t i;

  CU_initialize_registry ();
  suite = CU_add_suite (suite_name, NULL, NULL);
  for (i = 0; i < count; i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}

#endif
