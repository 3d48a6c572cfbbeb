/* history: checks the history files of a test run.
   Exit status: 0 no violation, 1 violations or malformed lines, 2 nothing was
   checked, an event that --require names is missing, a file cannot be read, or
   the command line is wrong.  */

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>

#include "checks.h"
#include "events.h"
#include "report.h"
#include "standins/common/standin.h"

enum
{
  FILE_LIMIT = 1000,
  GANG_BOUND_MS = 5000,
  LEAVING_BOUND_MS = 5000,
  SHOWN_ERRORS = 10
};

enum exit_status
{
  EXIT_NO_VIOLATION = 0,
  EXIT_VIOLATION = 1,
  EXIT_NOT_CHECKED = 2
};

struct options
{
  struct arg_file *files;
  struct arg_int *gang_bound_ms;
  struct arg_int *leaving_bound_ms;
  struct arg_str *require;
};

static void
count_events (const struct hi_history *history, struct re_report *report)
{
  guint i;

  for (i = 0; i < history->events->len; i++)
    re_count_event (report, hi_get (history, i)->what);
}

/* @return : whether the history has an event of each kind in REQUIRE, a
   comma-separated list.  */
static bool
has_required_events (const struct re_report *report, const char *require)
{
  gchar **kinds = g_strsplit (require, ",", 0);
  bool all = true;
  gchar **kind;

  for (kind = kinds; *kind != NULL; kind++)
    if (re_event_count (report, *kind) == 0)
      {
        printf ("no event: %s\n", *kind);
        all = false;
      }
  g_strfreev (kinds);
  return all;
}

static enum exit_status
check_history (const struct hi_history *history, struct re_report *report,
               const struct options *options)
{
  bool complete;

  count_events (history, report);
  ch_check_requests (history, report);
  ch_check_jobs (history, report, sn_option_number (options->gang_bound_ms));
  ch_check_leases (history, report);
  ch_check_leaving_upstreams (history, report,
                              sn_option_number (options->leaving_bound_ms));
  re_print (report);
  complete = has_required_events (report, options->require->sval[0]);
  if (history->malformed > 0)
    printf ("malformed lines: %" G_GUINT64_FORMAT "\n", history->malformed);
  if (re_violation_count (report) > 0 || history->malformed > 0)
    return EXIT_VIOLATION;
  if (re_is_empty (report) || !complete)
    {
      printf ("not checked\n");
      return EXIT_NOT_CHECKED;
    }
  return EXIT_NO_VIOLATION;
}

static enum exit_status
check_files (const struct options *options)
{
  struct hi_history *history = hi_create ();
  struct re_report *report = re_create ();
  enum exit_status status = EXIT_NOT_CHECKED;
  int i;

  for (i = 0; i < options->files->count; i++)
    if (hi_read (history, options->files->filename[i]) != HI_OK)
      goto done;
  hi_sort (history);
  status = check_history (history, report, options);

done:
  re_free (report);
  hi_free (history);
  return status;
}

int
main (int argc, char **argv)
{
  struct arg_end *end = arg_end (SHOWN_ERRORS);
  struct arg_lit *help = arg_lit0 (NULL, "help", "shows the options");
  struct options options
      = { .files = arg_filen (NULL, NULL, "FILE", 1, FILE_LIMIT, "histories"),
          .gang_bound_ms = sn_int_option ("gang-bound-ms", GANG_BOUND_MS,
                                          "how long part of a gang may run"),
          .leaving_bound_ms
          = sn_int_option ("leaving-bound-ms", LEAVING_BOUND_MS,
                           "how long a leaving upstream may get new work"),
          .require
          = sn_text_option ("require", "", "kinds of events, by commas") };
  void *table[] = { options.gang_bound_ms, options.leaving_bound_ms,
                    options.require,       help,
                    options.files,         end };
  int errors = arg_parse (argc, argv, table);
  int status = EXIT_NOT_CHECKED;

  if (help->count > 0)
    {
      printf ("Usage: %s", argv[0]);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      status = EXIT_NO_VIOLATION;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, argv[0]);
  else
    status = (int)check_files (&options);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
