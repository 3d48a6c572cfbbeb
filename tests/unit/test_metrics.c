/* Rendering of counters, gauges and histograms.  */

#include <glib.h>
#include <string.h>

#include "common/metrics.h"
#include "unit/check.h"

static void
test_render (void)
{
  struct mt_registry *registry = mt_create ();
  char *text;

  mt_add (registry, "foxtailgap_a_total", 2);
  mt_set (registry, "foxtailgap_b", -1);
  mt_observe (registry, "foxtailgap_ms", 5);
  mt_observe (registry, "foxtailgap_ms", 40000);
  mt_observe (registry, "foxtailgap_x_ms{kind=\"k\"}", 1);
  text = mt_render (registry);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "foxtailgap_a_total 2\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "foxtailgap_b -1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "foxtailgap_ms_bucket{le=\"2\"} 0\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "foxtailgap_ms_bucket{le=\"5\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "foxtailgap_ms_bucket{le=\"30000\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "foxtailgap_ms_bucket{le=\"+Inf\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "foxtailgap_ms_count 2\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "foxtailgap_ms_sum 40005\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "foxtailgap_x_ms_bucket{kind=\"k\",le=\"1\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "foxtailgap_x_ms_count{kind=\"k\"} 1\n"));
  g_free (text);
  /* Rendering again must not count the observations twice.  */
  text = mt_render (registry);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "foxtailgap_ms_sum 40005\n"));
  g_free (text);
  CU_ASSERT_EQUAL (mt_value (registry, "foxtailgap_a_total"), 2);
  mt_free (registry);
}

int
main (void)
{
  static const struct check_test tests[] = { { "render", test_render } };

  return check_run ("metrics", tests, sizeof tests / sizeof tests[0]);
}
