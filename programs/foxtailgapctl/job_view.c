/* One job: its path, waiting for its end, printing it.  */

#include "job_view.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "print.h"

enum
{
  POLL_MS = 5000, /* held by the entry host until the job ends */
  PAUSE_US = 200 * 1000,
  RETRY_US = 1000 * 1000,
  REFUSED_US = 5 * 1000 * 1000
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

/* Waiting for the end of one job.  */
struct wait
{
  struct api *api;
  const char *path;
  gint64 end_us;
  gint64 refused_since_us; /* 0: the last read was not refused */
  char *shown;             /* state that was shown last */
  bool accepted;
  bool json;
};

static gint64
left_ms (const struct wait *wait)
{
  return MAX ((wait->end_us - g_get_monotonic_time ()) / 1000, 0);
}

/* A host may not know a new job yet; one that cannot be reached may be back
   soon.
   @return : CLI_GO_ON to read again, or the exit code.  */
static int
after_failed_read (struct wait *wait, int code)
{
  gint64 now_us = g_get_monotonic_time ();

  if (code == CTL_REFUSED && wait->refused_since_us == 0)
    wait->refused_since_us = now_us;
  if (code != CTL_REFUSED)
    wait->refused_since_us = 0;
  if (code == CTL_REFUSED && now_us - wait->refused_since_us > REFUSED_US)
    return wait->accepted ? CTL_UNKNOWN : CTL_REFUSED;
  g_usleep (RETRY_US);
  return CLI_GO_ON;
}

static int
after_read (struct wait *wait, const json_t *job)
{
  const char *state = state_of (job);
  int code = code_of_state (state);

  wait->refused_since_us = 0;
  if (code != CLI_GO_ON)
    show (job, wait->json);
  else if (strcmp (wait->shown, state) != 0)
    {
      g_free (wait->shown);
      wait->shown = g_strdup (state);
      fprintf (stderr, "%s\n", state);
    }
  return code;
}

static int
read_once (struct wait *wait)
{
  struct api_answer answer = { 0 };
  gint64 held_ms = MIN (left_ms (wait), POLL_MS);
  char *query
      = g_strdup_printf ("%s?wait_ms=%" G_GINT64_FORMAT, wait->path, held_ms);
  int code = api_get (wait->api, query, POLL_MS, &answer);

  g_free (query);
  if (code != CLI_GO_ON)
    return after_failed_read (wait, code);
  code = after_read (wait, answer.json);
  api_answer_clear (&answer);
  if (code == CLI_GO_ON)
    g_usleep (PAUSE_US);
  return code;
}

static int
wait_for_end (struct wait *wait)
{
  int code = CLI_GO_ON;

  wait->shown = g_strdup ("");
  while (code == CLI_GO_ON && left_ms (wait) > 0)
    code = read_once (wait);
  if (code == CLI_GO_ON)
    {
      fprintf (stderr, "foxtailgapctl: the job's end has not been seen in "
                       "time\n");
      code = CTL_UNKNOWN;
    }
  g_free (wait->shown);
  return code;
}

static int
show_now (struct api *api, const char *path, bool json)
{
  struct api_answer answer;
  int code = api_get (api, path, 0, &answer);

  if (code != CLI_GO_ON)
    return code;
  show (answer.json, json);
  api_answer_clear (&answer);
  return CTL_DONE;
}

int
jv_show (struct api *api, const char *id, bool json)
{
  char *path = jv_path ("/v1/jobs/", id);
  int code = show_now (api, path, json);

  g_free (path);
  return code;
}

int
jv_wait (struct api *api, const char *id, uint64_t limit_ms, bool accepted,
         bool json)
{
  char *path = jv_path ("/v1/jobs/", id);
  struct wait wait = {
    .api = api,
    .path = path,
    .end_us = g_get_monotonic_time () + (gint64)limit_ms * 1000,
    .accepted = accepted,
    .json = json,
  };
  int code = wait_for_end (&wait);

  g_free (path);
  return code;
}
