/* One job: its path, waiting for its end, printing it.  */

#include "job_view.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "print.h"

enum
{
  POLL_MS = 5000, /* held by the entry host until the job ends */
  PAUSE_US = 200 * 1000
};

char *
jv_path (const char *prefix, const char *id)
{
  char *escaped = g_uri_escape_string (id, NULL, FALSE);
  char *path = g_strconcat (prefix, escaped, NULL);

  g_free (escaped);
  return path;
}

static const char *
state_of (const json_t *job)
{
  const char *state = json_string_value (json_object_get (job, "state"));

  return state != NULL ? state : "";
}

/* The exit code of a state, or CLI_GO_ON before the end.  */
static int
code_of_state (const char *state)
{
  if (strcmp (state, "finished") == 0)
    return CTL_DONE;
  if (strcmp (state, "refused") == 0)
    return CTL_REFUSED;
  if (strcmp (state, "failed") == 0 || strcmp (state, "cancelled") == 0)
    return CTL_FAILED;
  return CLI_GO_ON;
}

static void
print_job (const json_t *job)
{
  static const struct pr_column fields[] = {
    { "job", "job" },       { "team", "team" }, { "kind", "kind" },
    { "state", "state" },   { "ran", "ran" },   { "attempt", "attempt" },
    { "reason", "reason" },
  };
  static const struct pr_column columns[] = {
    { "TASK", "task" },
    { "WORKER", "worker" },
    { "ACCELERATORS", "accelerators" },
    { "ENDED", "ended" },
    { "OK", "ok" },
    { "OUTPUT", "output" },
  };
  const json_t *tasks = json_object_get (job, "tasks");

  pr_fields (job, fields, G_N_ELEMENTS (fields));
  if (json_array_size (tasks) == 0)
    return;
  printf ("\n");
  pr_table (tasks, columns, G_N_ELEMENTS (columns));
}

static void
show (const json_t *job, bool json)
{
  if (json)
    pr_json (job);
  else
    print_job (job);
}

/* Reads the job until it has ended; on a failure to read it, its last known
   state counts.  */
static int
wait_for_end (struct api *api, const char *path, uint64_t wait_limit_ms,
              bool json)
{
  gint64 end_us = g_get_monotonic_time () + (gint64)wait_limit_ms * 1000;
  struct api_answer answer = { 0 };
  char *shown = g_strdup ("");
  int code = CLI_GO_ON;
  gint64 left_ms;
  char *query;

  while (code == CLI_GO_ON)
    {
      left_ms = (end_us - g_get_monotonic_time ()) / 1000;
      query = g_strdup_printf ("%s?wait_ms=%" G_GINT64_FORMAT, path,
                               CLAMP (left_ms, 0, POLL_MS));
      code = api_get (api, query, POLL_MS, &answer);
      g_free (query);
      if (code != CLI_GO_ON)
        break;
      code = code_of_state (state_of (answer.json));
      if (code != CLI_GO_ON)
        show (answer.json, json);
      else if (strcmp (shown, state_of (answer.json)) != 0)
        {
          g_free (shown);
          shown = g_strdup (state_of (answer.json));
          fprintf (stderr, "%s\n", shown);
        }
      api_answer_clear (&answer);
      if (code == CLI_GO_ON && left_ms <= 0)
        {
          fprintf (stderr, "foxtailgapctl: the job has not ended in time; it "
                           "goes on\n");
          code = CTL_UNKNOWN;
        }
      else if (code == CLI_GO_ON)
        g_usleep (PAUSE_US);
    }
  g_free (shown);
  return code;
}

int
jv_show (struct api *api, const char *id, uint64_t wait_limit_ms, bool json)
{
  struct api_answer answer;
  char *path = jv_path ("/v1/jobs/", id);
  int code;

  if (wait_limit_ms > 0)
    code = wait_for_end (api, path, wait_limit_ms, json);
  else
    {
      code = api_get (api, path, 0, &answer);
      if (code == CLI_GO_ON)
        {
          show (answer.json, json);
          api_answer_clear (&answer);
          code = CTL_DONE;
        }
    }
  g_free (path);
  return code;
}
