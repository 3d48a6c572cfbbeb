/* request: sends one request to a service and prints the answer.  */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "api.h"
#include "cli.h"
#include "ctl.h"
#include "print.h"

enum
{
  HEADER_LIMIT = 5,
  STATUS_ERROR_FIRST = 400,
  DEADLINE_MAX_MS = 24 * 60 * 60 * 1000
};

struct call
{
  const char *service;
  const char *team;
  const char *key;      /* idempotency key; NULL: none, only if repeatable */
  uint64_t deadline_ms; /* 0: the default of the service */
  bool repeatable;
  char *body;
  size_t body_size_bytes;
  bool json;
};

static json_t *
answer_json (const struct api_answer *answer)
{
  json_t *json = json_pack ("{s:s, s:s?, s:s, s:i}", "state", "finished",
                            "request_id", answer->request_id, "host",
                            answer->host, "status", (int)answer->status);
  char *encoded;

  if (g_utf8_validate_len (answer->body, answer->body_size_bytes, NULL))
    json_object_set_new (json, "answer",
                         json_stringn (answer->body, answer->body_size_bytes));
  else
    {
      encoded = g_base64_encode ((const guchar *)answer->body,
                                 answer->body_size_bytes);
      json_object_set_new (json, "answer_base64", json_string (encoded));
      g_free (encoded);
    }
  return json;
}

static int
show_answer (const struct call *call, const struct api_answer *answer)
{
  json_t *json;

  if (answer->state == NULL || strcmp (answer->state, "finished") != 0)
    return api_report_refusal (answer);
  if (call->json)
    {
      json = answer_json (answer);
      pr_json (json);
      json_decref (json);
    }
  else
    fwrite (answer->body, 1, answer->body_size_bytes, stdout);
  if (answer->status < STATUS_ERROR_FIRST)
    return CTL_DONE;
  fprintf (stderr, "the service answered with status %ld\n", answer->status);
  return CTL_FAILED;
}

static void
print_outcome_hint (const struct call *call)
{
  if (call->key != NULL)
    fprintf (stderr, "to see its outcome: foxtailgapctl outcome %s\n",
             call->key);
}

static int
send_call (struct api *api, const struct call *call)
{
  char *headers[HEADER_LIMIT] = { NULL };
  struct api_request request
      = { .method = "POST",
          .headers = (const char *const *)headers,
          .body = call->body,
          .body_size_bytes = call->body_size_bytes,
          .retry_safety
          = call->repeatable ? API_REPEATABLE : API_NOT_REPEATABLE,
          .extra_timeout_ms = (uint32_t)call->deadline_ms };
  struct api_answer answer = { 0 };
  char *service = g_uri_escape_string (call->service, NULL, FALSE);
  char *path = g_strdup_printf ("/v1/services/%s/requests", service);
  size_t count = 0;
  int error;
  int code;

  headers[count++] = g_strdup_printf ("Foxtailgap-Team: %s", call->team);
  headers[count++] = g_strdup_printf ("Foxtailgap-Repeatable: %s",
                                      call->repeatable ? "yes" : "no");
  if (call->deadline_ms > 0)
    headers[count++] = g_strdup_printf (
        "Foxtailgap-Deadline-Ms: %" G_GUINT64_FORMAT, call->deadline_ms);
  if (call->key != NULL)
    headers[count++] = g_strdup_printf ("Idempotency-Key: %s", call->key);
  request.path = path;
  error = api_call (api, &request, &answer);
  code = error == API_OK ? show_answer (call, &answer)
                         : api_report_error (error);
  if (code == CTL_OUTCOME_UNKNOWN)
    print_outcome_hint (call);
  api_answer_clear (&answer);
  for (size_t i = 0; i < count; i++)
    g_free (headers[i]);
  g_free (path);
  g_free (service);
  return code;
}

/* A line break in a header's value could add further headers, so control
   characters are rejected.  */
static bool
is_header_safe (const char *what, const char *text)
{
  for (const char *at = text; at != NULL && *at != '\0'; at++)
    if (g_ascii_iscntrl (*at))
      {
        fprintf (stderr, "foxtailgapctl: %s holds a control character\n",
                 what);
        return false;
      }
  return true;
}

static int
run_call (struct call *call, const char *path, const struct cli_hosts *hosts)
{
  struct api *api = NULL;
  char *generated_key = NULL;
  int code = CTL_USAGE;

  if (!is_header_safe ("--team", call->team)
      || !is_header_safe ("--key", call->key))
    return CTL_USAGE;
  if (!cli_read_file (path, CLI_BODY_LIMIT_BYTES, &call->body,
                      &call->body_size_bytes))
    return CTL_USAGE;
  if (call->key == NULL && !call->repeatable)
    {
      generated_key = g_uuid_string_random ();
      call->key = generated_key;
    }
  code = api_open_args (&api, hosts);
  if (code == CLI_CONTINUE)
    code = send_call (api, call);
  api_close (api);
  g_free (generated_key);
  g_free (call->body);
  return code;
}

int
cmd_request (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_str *service
      = arg_str1 (NULL, NULL, "SERVICE", "name of the service");
  struct arg_file *file = arg_file0 (NULL, NULL, "FILE",
                                     "body of the request (default: standard "
                                     "input)");
  struct arg_str *team
      = arg_str1 (NULL, "team", "NAME", "team that the request counts for");
  struct arg_str *key
      = arg_str0 (NULL, "key", "KEY",
                  "idempotency key (default: a new one unless --repeatable)");
  struct arg_lit *repeatable
      = arg_lit0 (NULL, "repeatable",
                  "may be run again after a failure (default: at "
                  "most once)");
  struct arg_str *deadline
      = arg_str0 (NULL, "deadline-ms", "N", "default: that of the service");
  struct cli_hosts hosts = cli_hosts ();
  struct cli_common common = cli_common ();
  void *table[] = { service,     file,        team,           key,
                    repeatable,  deadline,    hosts.hosts,    hosts.timeout_ms,
                    common.json, common.help, common.version, common.end };
  struct call call = { 0 };
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE
      && !cli_number (deadline, 1, DEADLINE_MAX_MS, 0, &call.deadline_ms))
    code = CTL_USAGE;
  if (code == CLI_CONTINUE)
    {
      call.service = service->sval[0];
      call.team = team->sval[0];
      call.key = cli_text (key, NULL);
      call.repeatable = repeatable->count > 0;
      call.json = common.json->count > 0;
      code = run_call (&call, file->count > 0 ? file->filename[0] : "-",
                       &hosts);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
