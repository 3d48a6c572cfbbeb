/* Reads and prints one job, now or after waiting for its end.  */

#include "job_view.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "print.h"

enum
{
  LONG_POLL_MS = 5000, /* for which a host may delay its answer until the job
                           ends */
  POLL_PAUSE_US = 200 * 1000,
  RETRY_PAUSE_US = 1000 * 1000,      /* after a failed read */
  REFUSAL_GRACE_US = 5 * 1000 * 1000 /* of refusals, before giving up */
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
job_state (const json_t *job)
{
  const char *state = json_string_value (json_object_get (job, "state"));

  return state != NULL ? state : "";
}

/* @return : the exit code for a final state; CLI_CONTINUE for another.  */
static int
exit_code_of_state (const char *state)
{
  if (strcmp (state, "finished") == 0)
    return CTL_DONE;
  if (strcmp (state, "refused") == 0)
    return CTL_REFUSED;
  if (strcmp (state, "failed") == 0 || strcmp (state, "cancelled") == 0)
    return CTL_FAILED;
  return CLI_CONTINUE;
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
print_job_as (const json_t *job, bool json)
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
  gint64 deadline_us;
  gint64 refused_since_us; /* 0: the last read was not refused */
  char *shown_state;       /* state that was printed last */
  bool accepted;
  bool json;
};

static gint64
remaining_ms (const struct wait *wait)
{
  return MAX ((wait->deadline_us - g_get_monotonic_time ()) / 1000, 0);
}

/* A host may not know a new job yet, and an unreachable host may become
   reachable soon, so failed reads are retried.  Refusals are retried for
   REFUSAL_GRACE_US only.
   @return : CLI_CONTINUE to read again, or the exit code.  */
static int
handle_failed_read (struct wait *wait, int code)
{
  gint64 now_us = g_get_monotonic_time ();

  if (code == CTL_REFUSED && wait->refused_since_us == 0)
    wait->refused_since_us = now_us;
  if (code != CTL_REFUSED)
    wait->refused_since_us = 0;
  if (code == CTL_REFUSED
      && now_us - wait->refused_since_us > REFUSAL_GRACE_US)
    return wait->accepted ? CTL_OUTCOME_UNKNOWN : CTL_REFUSED;
  g_usleep (RETRY_PAUSE_US);
  return CLI_CONTINUE;
}

static int
handle_read_job (struct wait *wait, const json_t *job)
{
  const char *state = job_state (job);
  int code = exit_code_of_state (state);

  wait->refused_since_us = 0;
  if (code != CLI_CONTINUE)
    print_job_as (job, wait->json);
  else if (strcmp (wait->shown_state, state) != 0)
    {
      g_free (wait->shown_state);
      wait->shown_state = g_strdup (state);
      fprintf (stderr, "%s\n", state);
    }
  return code;
}

static int
poll_once (struct wait *wait)
{
  struct api_answer answer = { 0 };
  gint64 poll_ms = MIN (remaining_ms (wait), LONG_POLL_MS);
  char *query
      = g_strdup_printf ("%s?wait_ms=%" G_GINT64_FORMAT, wait->path, poll_ms);
  int code = api_get (wait->api, query, LONG_POLL_MS, &answer);

  g_free (query);
  if (code != CLI_CONTINUE)
    return handle_failed_read (wait, code);
  code = handle_read_job (wait, answer.json);
  api_answer_clear (&answer);
  if (code == CLI_CONTINUE)
    g_usleep (POLL_PAUSE_US);
  return code;
}

static int
wait_for_end (struct wait *wait)
{
  int code = CLI_CONTINUE;

  wait->shown_state = g_strdup ("");
  while (code == CLI_CONTINUE && remaining_ms (wait) > 0)
    code = poll_once (wait);
  if (code == CLI_CONTINUE)
    {
      fprintf (stderr, "foxtailgapctl: the end of the job was not seen "
                       "within the wait limit\n");
      code = CTL_OUTCOME_UNKNOWN;
    }
  g_free (wait->shown_state);
  return code;
}

static int
print_current_job (struct api *api, const char *path, bool json)
{
  struct api_answer answer;
  int code = api_get (api, path, 0, &answer);

  if (code != CLI_CONTINUE)
    return code;
  print_job_as (answer.json, json);
  api_answer_clear (&answer);
  return CTL_DONE;
}

int
jv_show (struct api *api, const char *id, bool json)
{
  char *path = jv_path ("/v1/jobs/", id);
  int code = print_current_job (api, path, json);

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
    .deadline_us = g_get_monotonic_time () + (gint64)limit_ms * 1000,
    .accepted = accepted,
    .json = json,
  };
  int code = wait_for_end (&wait);

  g_free (path);
  return code;
}
