/* Reads the configuration in force from an entry host.  */

#include "live.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

enum
{
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  PATH_SIZE_BYTES = 64
};

/* Copies the document into LIVE, and computes its digest and validates it
   again, so that the document shown is the one in force.  */
static int
parse_document (struct live_revision *live, const char *text)
{
  struct env_messages messages = { 0 };
  int error;

  live->text = g_strdup (text);
  live->size_bytes = strlen (text);
  env_digest (live->text, live->size_bytes, live->digest);
  error = env_parse (&live->document, live->text, live->size_bytes, &messages);
  if (error != ENV_OK)
    cli_print_messages ("the document in force", &messages);
  env_messages_clear (&messages);
  return error == ENV_OK ? CLI_CONTINUE : CTL_REFUSED;
}

static int
parse_answer (struct live_revision *live, const struct api_answer *answer)
{
  json_int_t revision = 0;
  json_int_t time_ms = 0;
  const char *author = "";
  const char *text = NULL;

  if (json_unpack (answer->json, "{s:I, s?s, s?I, s?s}", "revision", &revision,
                   "author", &author, "time_ms", &time_ms, "document", &text)
      != 0)
    {
      fprintf (stderr,
               "entry host %s: the answer is not a configuration "
               "revision\n",
               answer->host);
      return CTL_REFUSED;
    }
  live->revision = (uint64_t)revision;
  live->author = g_strdup (author);
  live->time_ms = time_ms;
  if (live->revision == 0 || text == NULL)
    return CLI_CONTINUE;
  return parse_document (live, text);
}

static int
fetch_config (struct api *api, const char *path, struct live_revision *out)
{
  struct api_request request
      = { .method = "GET", .path = path, .retry_safety = API_READ_ONLY };
  struct api_answer answer;
  int error = api_call (api, &request, &answer);
  int code = CLI_CONTINUE;

  memset (out, 0, sizeof *out);
  if (error != API_OK)
    return api_report_error (error);
  if (answer.status == STATUS_OK)
    code = parse_answer (out, &answer);
  else if (answer.status != STATUS_NOT_FOUND)
    code = api_report_refusal (&answer);
  api_answer_clear (&answer);
  if (code != CLI_CONTINUE)
    live_clear (out);
  return code;
}

int
live_get (struct api *api, struct live_revision *out)
{
  return fetch_config (api, "/v1/config", out);
}

int
live_get_revision (struct api *api, uint64_t revision,
                   struct live_revision *out)
{
  char path[PATH_SIZE_BYTES];
  int code;

  g_snprintf (path, sizeof path, "/v1/config?revision=%" G_GUINT64_FORMAT,
              revision);
  code = fetch_config (api, path, out);
  if (code != CLI_CONTINUE)
    return code;
  if (out->revision == revision && out->text != NULL)
    return CLI_CONTINUE;
  fprintf (stderr,
           "refused: the document of revision %" G_GUINT64_FORMAT
           " is not kept\n",
           revision);
  live_clear (out);
  return CTL_REFUSED;
}

void
live_clear (struct live_revision *live)
{
  env_free (live->document);
  g_free (live->author);
  g_free (live->text);
  memset (live, 0, sizeof *live);
}
