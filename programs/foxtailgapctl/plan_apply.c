/* Puts a reviewed document in force, and may wait for all hosts.  */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "plan.h"
#include "print.h"

enum
{
  STATUS_OK = 200,
  STATUS_CONFLICT = 409,
  POLL_INTERVAL_US = 200 * 1000,
  FIND_APPLIED_LIMIT_US = 5 * 1000 * 1000,
  FIND_APPLIED_INTERVAL_US = 500 * 1000,
  DIGEST_LENGTH = ENV_DIGEST_SIZE_BYTES - 1,
  REVISION_WAIT_DEFAULT_MS = 60 * 1000,
  REVISION_WAIT_MAX_MS = 24 * 60 * 60 * 1000
};

/* --- Arguments --- */

struct plan_args
plan_args (bool required)
{
  return (struct plan_args){
    .base = arg_strn (NULL, "base", "REV", required ? 1 : 0, 1,
                      "revision that the plan was made on"),
    .digest = arg_strn (NULL, "digest", "D", required ? 1 : 0, 1,
                        "digest of the document that was reviewed"),
    .author = arg_str0 (NULL, "author", "NAME",
                        "kept in the history (default: user name)"),
    .note = arg_str0 (NULL, "note", "TEXT", "kept in the history"),
    .wait = arg_lit0 (NULL, "wait", "waits until it is in force on all hosts"),
    .wait_limit_ms
    = arg_str0 (NULL, "wait-limit-ms", "N", "at most (default 60000)"),
  };
}

static bool
is_digest_valid (const char *digest)
{
  if (strlen (digest) == DIGEST_LENGTH
      && strspn (digest, "0123456789abcdef") == DIGEST_LENGTH)
    return true;
  fprintf (stderr, "foxtailgapctl: --digest must be %d hexadecimal digits\n",
           DIGEST_LENGTH);
  return false;
}

bool
plan_approval (const struct plan_args *arguments, struct plan_approval *out)
{
  memset (out, 0, sizeof *out);
  if (!cli_number (arguments->base, 0, INT64_MAX, 0, &out->base)
      || !cli_number (arguments->wait_limit_ms, 1, REVISION_WAIT_MAX_MS,
                      REVISION_WAIT_DEFAULT_MS, &out->wait_limit_ms))
    return false;
  if (arguments->base->count != arguments->digest->count)
    {
      fprintf (stderr, "foxtailgapctl: --base and --digest go together\n");
      return false;
    }
  out->given = arguments->base->count > 0;
  out->digest = cli_text (arguments->digest, NULL);
  return !out->given || is_digest_valid (out->digest);
}

/* --- Waiting --- */

static size_t
count_hosts_behind (const json_t *hosts, uint64_t revision)
{
  size_t behind = 0;
  json_t *host;
  size_t i;

  json_array_foreach (hosts, i, host)
  {
    json_int_t at = json_integer_value (json_object_get (host, "revision"));

    if (at < 0 || (uint64_t)at < revision)
      behind++;
  }
  return behind;
}

/* Waits until every entry host that the status lists has the revision.  */
static int
wait_in_force (struct api *api, uint64_t revision, uint64_t limit_ms)
{
  gint64 end_us = g_get_monotonic_time () + (gint64)limit_ms * 1000;
  struct api_answer answer = { 0 };
  size_t shown_behind = SIZE_MAX;
  const json_t *hosts;
  size_t behind;

  for (;;)
    {
      behind = SIZE_MAX;
      if (api_get (api, "/v1/status", 0, &answer) == CLI_CONTINUE)
        {
          hosts = json_object_get (answer.json, "hosts");
          behind = json_array_size (hosts) > 0
                       ? count_hosts_behind (hosts, revision)
                       : SIZE_MAX;
          if (behind != shown_behind && behind != SIZE_MAX)
            fprintf (stderr,
                     "revision %" G_GUINT64_FORMAT
                     ": in force on %zu of %zu entry hosts\n",
                     revision, json_array_size (hosts) - behind,
                     json_array_size (hosts));
          shown_behind = behind;
        }
      api_answer_clear (&answer);
      if (behind == 0)
        return CTL_DONE;
      if (g_get_monotonic_time () >= end_us)
        break;
      g_usleep (POLL_INTERVAL_US);
    }
  fprintf (stderr,
           "revision %" G_GUINT64_FORMAT
           " is accepted, but not confirmed to be in force on all entry "
           "hosts; check with foxtailgapctl status\n",
           revision);
  return CTL_OUTCOME_UNKNOWN;
}

/* --- Applying --- */

static char *
apply_path (const struct plan_args *arguments, uint64_t base)
{
  char *author = g_uri_escape_string (
      cli_text (arguments->author, g_get_user_name ()), NULL, FALSE);
  char *note
      = g_uri_escape_string (cli_text (arguments->note, ""), NULL, FALSE);
  char *path = g_strdup_printf ("/v1/config?base=%" G_GUINT64_FORMAT
                                "&author=%s&note=%s",
                                base, author, note);

  g_free (author);
  g_free (note);
  return path;
}

/* The base is stale: another revision was put in force since the plan.  */
static int
report_stale_base (const struct api_answer *answer)
{
  json_int_t revision = 0;
  json_int_t time_ms = 0;
  const char *author = "an unknown author";
  char *time;

  json_unpack (answer->json, "{s?I, s?s, s?I}", "revision", &revision,
               "author", &author, "time_ms", &time_ms);
  time = pr_time (time_ms);
  fprintf (stderr,
           "refused: revision %" JSON_INTEGER_FORMAT
           " was put in force by %s at %s; make a new plan\n",
           revision, author, time);
  g_free (time);
  return CTL_REFUSED;
}

static int
report_refusal (const struct api_answer *answer)
{
  const json_t *messages = json_object_get (answer->json, "messages");
  json_t *message;
  size_t i;

  if (answer->status == STATUS_CONFLICT)
    return report_stale_base (answer);
  json_array_foreach (messages, i, message)
  {
    int line = 0;
    const char *text = "";

    json_unpack (message, "{s?i, s?s}", "line", &line, "text", &text);
    fprintf (stderr, "line %d: %s\n", line, text);
  }
  return api_report_refusal (answer);
}

/* Called when the answer was lost: the document may have been put in force
   all the same, so the configuration in force is read until a revision after
   BASE has its digest, for at most FIND_APPLIED_LIMIT_US.
   @return : CLI_CONTINUE with *revision set, or an exit code.  */
static int
find_applied_revision (struct api *api, const struct plan_document *next,
                       uint64_t base, uint64_t *revision)
{
  gint64 end_us = g_get_monotonic_time () + FIND_APPLIED_LIMIT_US;
  struct live_revision live;

  while (g_get_monotonic_time () < end_us)
    {
      if (live_get (api, &live) == CLI_CONTINUE)
        {
          *revision
              = live.revision > base && strcmp (live.digest, next->digest) == 0
                    ? live.revision
                    : 0;
          live_clear (&live);
          if (*revision > 0)
            return CLI_CONTINUE;
        }
      g_usleep (FIND_APPLIED_INTERVAL_US);
    }
  return api_report_error (API_ERR_OUTCOME_UNKNOWN);
}

/* Sends the document.
   @return : CLI_CONTINUE with *revision set, or an exit code.  */
static int
send_document (struct api *api, const struct plan_document *next,
               const char *path, uint64_t base, uint64_t *revision)
{
  char *digest = g_strdup_printf ("Foxtailgap-Digest: %s", next->digest);
  const char *headers[] = { digest, NULL };
  struct api_request request = { .method = "POST",
                                 .path = path,
                                 .headers = headers,
                                 .body = next->text,
                                 .body_size_bytes = next->size_bytes,
                                 .retry_safety = API_NOT_REPEATABLE };
  struct api_answer answer = { 0 };
  int error = api_call (api, &request, &answer);
  int code = CLI_CONTINUE;

  g_free (digest);
  if (error == API_ERR_OUTCOME_UNKNOWN)
    return find_applied_revision (api, next, base, revision);
  if (error != API_OK)
    return api_report_error (error);
  if (answer.status == STATUS_OK)
    *revision = (uint64_t)json_integer_value (
        json_object_get (answer.json, "revision"));
  else
    code = report_refusal (&answer);
  api_answer_clear (&answer);
  return code;
}

static void
print_applied (uint64_t revision, const char *digest, bool json)
{
  json_t *object;

  if (!json)
    {
      printf ("accepted as revision %" G_GUINT64_FORMAT "\n", revision);
      return;
    }
  object = json_pack ("{s:I, s:s}", "revision", (json_int_t)revision, "digest",
                      digest);
  pr_json (object);
  json_decref (object);
}

int
plan_apply (struct api *api, const struct plan_document *next,
            const struct plan_args *arguments,
            const struct plan_approval *approval, bool json)
{
  uint64_t revision = 0;
  char *path;
  int code;

  if (strcmp (approval->digest, next->digest) != 0)
    {
      fprintf (stderr,
               "%s: its digest is %s, which is not what was reviewed; "
               "nothing was done\n",
               next->name, next->digest);
      return CTL_USAGE;
    }
  path = apply_path (arguments, approval->base);
  code = send_document (api, next, path, approval->base, &revision);
  g_free (path);
  if (code != CLI_CONTINUE)
    return code;
  print_applied (revision, next->digest, json);
  if (arguments->wait->count == 0)
    return CTL_DONE;
  return wait_in_force (api, revision, approval->wait_limit_ms);
}
