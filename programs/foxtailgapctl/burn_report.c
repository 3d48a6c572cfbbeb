/* Report of burn rates of error budgets.  */

#include "burn_report.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "print.h"

enum
{
  RATE_SIZE_BYTES = 32,
  PLOT_ROW_PX = 22,
  PLOT_LABEL_PX = 320,
  PLOT_BAR_PX = 400
};

/* Higher burn rates are drawn with a bar of the same, full width.  */
static const double PLOT_RATE_LIMIT = 20.0;

struct br_report
{
  GPtrArray *rows;            /* of struct br_row, in the order first seen */
  int64_t jobs_folded_offset; /* of the answer that gave the job counts */
};

static void
free_row (gpointer data)
{
  struct br_row *row = data;

  g_free (row->team);
  g_free (row->kind);
  g_free (row);
}

struct br_report *
br_create (void)
{
  struct br_report *report = g_new0 (struct br_report, 1);

  report->rows = g_ptr_array_new_with_free_func (free_row);
  report->jobs_folded_offset = -1;
  return report;
}

void
br_free (struct br_report *report)
{
  if (report == NULL)
    return;
  g_ptr_array_free (report->rows, TRUE);
  g_free (report);
}

/* --- Adding answers --- */

static struct br_row *
find_row (struct br_report *report, const char *team, const char *kind,
          bool jobs)
{
  struct br_row *row;
  guint i;

  for (i = 0; i < report->rows->len; i++)
    {
      row = report->rows->pdata[i];
      if (row->counts_jobs == jobs && strcmp (row->team, team) == 0
          && strcmp (row->kind, kind) == 0)
        return row;
    }
  row = g_new0 (struct br_row, 1);
  row->team = g_strdup (team);
  row->kind = g_strdup (kind);
  row->counts_jobs = jobs;
  g_ptr_array_add (report->rows, row);
  return row;
}

static void
add_counts (struct br_row *row, const json_t *windows)
{
  size_t i;

  for (i = 0; i < BN_WINDOWS; i++)
    {
      const json_t *window = json_array_get (windows, i);

      row->counts[i].good
          += (uint64_t)json_integer_value (json_object_get (window, "good"));
      row->counts[i].bad
          += (uint64_t)json_integer_value (json_object_get (window, "bad"));
    }
}

static bool
add_objective (struct br_report *report, const json_t *objective,
               bool newest_jobs)
{
  const char *team;
  const char *kind;
  const char *source;
  int latency_ms;
  int success_permille;
  json_t *windows;
  struct br_row *row;

  if (json_unpack ((json_t *)(uintptr_t)objective,
                   "{s:s, s:s, s:s, s:i, s:i, s:o}", "team", &team, "kind",
                   &kind, "source", &source, "latency_ms", &latency_ms,
                   "success_permille", &success_permille, "windows", &windows)
      != 0)
    return false;
  row = find_row (report, team, kind, strcmp (source, "jobs") == 0);
  row->latency_ms = (uint32_t)latency_ms;
  row->success_permille = (uint32_t)success_permille;
  if (row->counts_jobs && !newest_jobs)
    return true;
  if (row->counts_jobs)
    memset (row->counts, 0, sizeof row->counts);
  add_counts (row, windows);
  return true;
}

bool
br_add_answer (struct br_report *report, const json_t *answer)
{
  const json_t *objectives = json_object_get (answer, "objectives");
  int64_t offset = json_integer_value (json_object_get (answer, "offset"));
  bool newest_jobs = offset > report->jobs_folded_offset;
  size_t i;

  if (!json_is_array (objectives))
    return false;
  for (i = 0; i < json_array_size (objectives); i++)
    if (!add_objective (report, json_array_get (objectives, i), newest_jobs))
      return false;
  if (newest_jobs)
    report->jobs_folded_offset = offset;
  return true;
}

/* --- Output --- */

/* Hosts report each objective for requests and for jobs; it applies to one
   of them, and the row of the other has no counts.  */
static bool
has_counts (const struct br_row *row)
{
  const struct bn_counts *longest = &row->counts[BN_WINDOWS - 1];

  return longest->good + longest->bad > 0;
}

static json_t *
row_json (const struct br_row *row)
{
  json_t *windows = json_array ();
  size_t i;

  for (i = 0; i < BN_WINDOWS; i++)
    json_array_append_new (
        windows, json_pack ("{s:i, s:I, s:I, s:f}", "minutes",
                            (int)bn_window_minutes ((enum bn_window)i), "good",
                            (json_int_t)row->counts[i].good, "bad",
                            (json_int_t)row->counts[i].bad, "burn_rate",
                            bn_rate (&row->counts[i], row->success_permille)));
  return json_pack (
      "{s:s, s:s, s:s, s:i, s:i, s:s, s:o}", "team", row->team, "kind",
      row->kind, "source", row->counts_jobs ? "jobs" : "requests",
      "latency_ms", (int)row->latency_ms, "success_permille",
      (int)row->success_permille, "alarm",
      bn_alarm_name (bn_alarm (row->counts, row->success_permille)), "windows",
      windows);
}

json_t *
br_json (const struct br_report *report)
{
  json_t *list = json_array ();
  guint i;

  for (i = 0; i < report->rows->len; i++)
    if (has_counts (report->rows->pdata[i]))
      json_array_append_new (list, row_json (report->rows->pdata[i]));
  return json_pack ("{s:o}", "objectives", list);
}

/* A row for the table, with the burn rates as text, keyed by window.  */
static json_t *
table_row (const struct br_row *row)
{
  static const char *const keys[BN_WINDOWS] = { "5m", "30m", "1h", "6h" };
  const struct bn_counts *longest = &row->counts[BN_WINDOWS - 1];
  json_t *cells = json_pack (
      "{s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:s}", "team", row->team, "kind",
      row->kind, "of", row->counts_jobs ? "jobs" : "requests", "latency",
      (int)row->latency_ms, "permille", (int)row->success_permille, "good",
      (json_int_t)longest->good, "bad", (json_int_t)longest->bad, "alarm",
      bn_alarm_name (bn_alarm (row->counts, row->success_permille)));
  char rate[RATE_SIZE_BYTES];
  size_t i;

  for (i = 0; i < BN_WINDOWS; i++)
    {
      snprintf (rate, sizeof rate, "%.1f",
                bn_rate (&row->counts[i], row->success_permille));
      json_object_set_new (cells, keys[i], json_string (rate));
    }
  return cells;
}

void
br_print (const struct br_report *report)
{
  static const struct pr_column columns[] = { { "TEAM", "team" },
                                              { "KIND", "kind" },
                                              { "OF", "of" },
                                              { "LATENCY-MS", "latency" },
                                              { "PERMILLE", "permille" },
                                              { "GOOD-6H", "good" },
                                              { "BAD-6H", "bad" },
                                              { "BURN-5M", "5m" },
                                              { "BURN-30M", "30m" },
                                              { "BURN-1H", "1h" },
                                              { "BURN-6H", "6h" },
                                              { "ALARM", "alarm" } };
  json_t *rows = json_array ();
  guint i;

  for (i = 0; i < report->rows->len; i++)
    if (has_counts (report->rows->pdata[i]))
      json_array_append_new (rows, table_row (report->rows->pdata[i]));
  pr_table (rows, columns, G_N_ELEMENTS (columns));
  json_decref (rows);
}

static void
plot_row (GString *svg, const struct br_row *row, guint line)
{
  double hour_rate
      = bn_rate (&row->counts[BN_WINDOW_1_H], row->success_permille);
  double width
      = MIN (hour_rate, PLOT_RATE_LIMIT) / PLOT_RATE_LIMIT * PLOT_BAR_PX;
  guint y = (line + 1) * PLOT_ROW_PX;
  char *label
      = g_markup_printf_escaped ("%s %s (%s)", row->team, row->kind,
                                 row->counts_jobs ? "jobs" : "requests");

  g_string_append_printf (
      svg,
      "<text x=\"4\" y=\"%u\">%s</text>\n"
      "<rect x=\"%d\" y=\"%u\" width=\"%.0f\" height=\"%d\" fill=\"%s\"/>\n"
      "<text x=\"%.0f\" y=\"%u\">%.1f</text>\n",
      y, label, PLOT_LABEL_PX, y - PLOT_ROW_PX / 2, width, PLOT_ROW_PX / 2,
      bn_alarm (row->counts, row->success_permille) == BN_ALARM_NONE
          ? "steelblue"
          : "firebrick",
      PLOT_LABEL_PX + width + 4, y, hour_rate);
  g_free (label);
}

char *
br_svg (const struct br_report *report)
{
  GString *svg = g_string_new (NULL);
  guint line = 0;
  guint i;

  g_string_append_printf (
      svg,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%u\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<text x=\"4\" y=\"14\">burn rate over 1 h, by objective</text>\n",
      PLOT_LABEL_PX + PLOT_BAR_PX + 60, (report->rows->len + 2) * PLOT_ROW_PX);
  for (i = 0; i < report->rows->len; i++)
    if (has_counts (report->rows->pdata[i]))
      plot_row (svg, report->rows->pdata[i], ++line);
  g_string_append (svg, "</svg>\n");
  return g_string_free (svg, FALSE);
}
