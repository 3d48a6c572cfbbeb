/* Counts of events and checked items, and the violations.  */

#include "report.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const check_names[RE_CHECK_COUNT] = {
  [RE_CHECK_AT_MOST_ONCE] = "at_most_once",
  [RE_CHECK_NOT_RUN] = "not_run",
  [RE_CHECK_ANSWERS] = "answers",
  [RE_CHECK_JOBS] = "jobs",
  [RE_CHECK_GANGS] = "gangs",
  [RE_CHECK_LEASES] = "leases",
  [RE_CHECK_LEAVING] = "leaving",
};

struct re_report
{
  GTree *events; /* char * to uint64_t * */
  uint64_t checked[RE_CHECK_COUNT];
  uint64_t violations;
};

static int
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return g_strcmp0 (a, b);
}

struct re_report *
re_create (void)
{
  struct re_report *report = g_new0 (struct re_report, 1);

  report->events = g_tree_new_full (compare_names, NULL, g_free, g_free);
  return report;
}

void
re_free (struct re_report *report)
{
  g_tree_unref (report->events);
  g_free (report);
}

void
re_count_event (struct re_report *report, const char *kind)
{
  uint64_t *count = g_tree_lookup (report->events, kind);

  if (count == NULL)
    {
      count = g_new0 (uint64_t, 1);
      g_tree_insert (report->events, g_strdup (kind), count);
    }
  (*count)++;
}

uint64_t
re_event_count (const struct re_report *report, const char *kind)
{
  const uint64_t *count = g_tree_lookup (report->events, kind);

  return count == NULL ? 0 : *count;
}

void
re_count_checked (struct re_report *report, enum re_check_kind check)
{
  report->checked[check]++;
}

void
re_add_violation (struct re_report *report, enum re_check_kind check,
                  const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  printf ("violation %s: %s\n", check_names[check], text);
  g_free (text);
  report->violations++;
}

static gboolean
print_event (gpointer kind, gpointer count, gpointer data)
{
  (void)data;
  printf (" %s %" G_GUINT64_FORMAT, (const char *)kind, *(uint64_t *)count);
  return FALSE;
}

void
re_print (const struct re_report *report)
{
  int check;

  printf ("events:");
  g_tree_foreach (report->events, print_event, NULL);
  printf ("\nchecked:");
  for (check = 0; check < RE_CHECK_COUNT; check++)
    printf (" %s %" G_GUINT64_FORMAT, check_names[check],
            report->checked[check]);
  printf ("\nviolations: %" G_GUINT64_FORMAT "\n", report->violations);
}

uint64_t
re_violation_count (const struct re_report *report)
{
  return report->violations;
}

bool
re_is_empty (const struct re_report *report)
{
  int check;

  for (check = 0; check < RE_CHECK_COUNT; check++)
    if (report->checked[check] > 0)
      return false;
  return true;
}
