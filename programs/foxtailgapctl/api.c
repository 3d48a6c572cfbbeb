/* Client of the entry hosts' HTTP interface.  */

#include "api.h"

#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/address.h"
#include "http/http_client.h"

enum
{
  CONNECT_TIMEOUT_MS = 2000,
  RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024,
  STATUS_OK = 200,
  STATUS_REFUSED_FIRST = 400,
  STATUS_REFUSED_END = 500
};

struct api
{
  struct ev_loop *loop;
  struct hc_client *client;
  char **hosts;
  guint host_count;
  guint preferred_host; /* index of the host that answered last; tried first */
  int selected_host;    /* index; -1: any host */
  uint32_t timeout_ms;
};

/* One call that waits for its response.  */
struct exchange
{
  struct ev_loop *loop;
  struct api_answer *answer;
  int error;
  bool maybe_sent;
};

/* --- Opening --- */

static bool
are_hosts_valid (char **hosts)
{
  if (hosts[0] == NULL)
    return false;
  for (guint i = 0; hosts[i] != NULL; i++)
    if (!ad_is_ip_port (hosts[i]))
      return false;
  return true;
}

int
api_open (struct api **out, const char *hosts, uint32_t timeout_ms)
{
  struct api *api;
  struct hc_params params = { 0 };

  *out = NULL;
  if (hosts == NULL)
    hosts = g_getenv ("FOXTAILGAP_HOSTS");
  if (hosts == NULL)
    return API_ERR_HOSTS;
  api = calloc (1, sizeof *api);
  if (api == NULL)
    return API_ERR_MEMORY;
  api->selected_host = -1;
  api->timeout_ms = timeout_ms;
  api->hosts = g_strsplit (hosts, ",", -1);
  api->host_count = g_strv_length (api->hosts);
  if (!are_hosts_valid (api->hosts))
    {
      api_close (api);
      return API_ERR_HOSTS;
    }
  api->loop = ev_loop_new (EVFLAG_AUTO);
  params.loop = api->loop;
  if (api->loop == NULL || hc_create (&api->client, &params) != HC_OK)
    {
      api_close (api);
      return API_ERR_MEMORY;
    }
  *out = api;
  return API_OK;
}

int
api_open_args (struct api **out, const struct cli_hosts *arguments)
{
  uint64_t timeout_ms;
  int error;

  if (!cli_number (arguments->timeout_ms, 1, CLI_TIMEOUT_MAX_MS,
                   CLI_TIMEOUT_DEFAULT_MS, &timeout_ms))
    return CTL_USAGE;
  error = api_open (out, cli_text (arguments->hosts, NULL),
                    (uint32_t)timeout_ms);
  return error == API_OK ? CLI_CONTINUE : api_report_error (error);
}

void
api_close (struct api *api)
{
  if (api == NULL)
    return;
  hc_free (api->client);
  if (api->loop != NULL)
    ev_loop_destroy (api->loop);
  g_strfreev (api->hosts);
  free (api);
}

char **
api_hosts (const struct api *api)
{
  return api->hosts;
}

void
api_select_host (struct api *api, int i)
{
  api->selected_host = i;
}

/* --- One call --- */

static void
on_response (void *ctx, const struct hc_response *response)
{
  struct exchange *exchange = ctx;
  struct api_answer *answer = exchange->answer;

  exchange->error = response->error;
  exchange->maybe_sent = response->maybe_sent;
  if (response->error == HC_OK)
    {
      answer->status = response->status;
      answer->body_size_bytes = response->body_size_bytes;
      answer->body = g_malloc (response->body_size_bytes + 1);
      memcpy (answer->body, response->body, response->body_size_bytes + 1);
      answer->json
          = json_loadb (answer->body, answer->body_size_bytes, 0, NULL);
      answer->state
          = g_strdup (hc_response_header (response, "Foxtailgap-State"));
      answer->request_id
          = g_strdup (hc_response_header (response, "Foxtailgap-Request-Id"));
      answer->retry_after
          = g_strdup (hc_response_header (response, "Retry-After"));
    }
  ev_break (exchange->loop, EVBREAK_ALL);
}

static int
call_host (struct api *api, const char *host,
           const struct api_request *request, struct api_answer *answer)
{
  struct exchange exchange = { .loop = api->loop, .answer = answer };
  char *url = g_strdup_printf ("http://%s%s", host, request->path);
  struct hc_request call = {
    .method = request->method,
    .url = url,
    .headers = request->headers,
    .body = request->body,
    .body_size_bytes = request->body_size_bytes,
    .timeout_ms = api->timeout_ms + request->extra_timeout_ms,
    .connect_timeout_ms = MIN (CONNECT_TIMEOUT_MS, api->timeout_ms),
    .response_limit_bytes = RESPONSE_LIMIT_BYTES,
    .callback = on_response,
    .ctx = &exchange,
  };
  int error;

  memset (answer, 0, sizeof *answer);
  error = hc_send (api->client, &call, NULL);
  g_free (url);
  if (error != HC_OK)
    return API_ERR_MEMORY;
  ev_run (api->loop, 0);
  if (exchange.error == HC_OK)
    {
      answer->host = host;
      return API_OK;
    }
  fprintf (stderr, "entry host %s: %s\n", host, hc_strerror (exchange.error));
  if (exchange.error == HC_ERR_REQUEST)
    return API_ERR_REQUEST;
  return exchange.maybe_sent ? API_ERR_OUTCOME_UNKNOWN : API_ERR_UNREACHABLE;
}

int
api_call (struct api *api, const struct api_request *request,
          struct api_answer *answer)
{
  int result = API_ERR_UNREACHABLE;
  guint host;
  int error;

  for (guint i = 0; i < api->host_count; i++)
    {
      host = (api->preferred_host + i) % api->host_count;
      if (api->selected_host >= 0 && host != (guint)api->selected_host)
        continue;
      error = call_host (api, api->hosts[host], request, answer);
      if (error == API_OK && api->selected_host < 0)
        api->preferred_host = host;
      if (error != API_ERR_UNREACHABLE && error != API_ERR_OUTCOME_UNKNOWN)
        return error;
      if (error == API_ERR_OUTCOME_UNKNOWN
          && request->retry_safety != API_READ_ONLY)
        result = API_ERR_OUTCOME_UNKNOWN;
      if (error == API_ERR_OUTCOME_UNKNOWN
          && request->retry_safety == API_NOT_REPEATABLE)
        return error;
    }
  return result;
}

int
api_get (struct api *api, const char *path, uint32_t extra_timeout_ms,
         struct api_answer *answer)
{
  struct api_request request = { .method = "GET",
                                 .path = path,
                                 .retry_safety = API_READ_ONLY,
                                 .extra_timeout_ms = extra_timeout_ms };
  int error = api_call (api, &request, answer);
  int code;

  if (error != API_OK)
    return api_report_error (error);
  if (answer->status == STATUS_OK && json_is_object (answer->json))
    return CLI_CONTINUE;
  code = api_report_refusal (answer);
  api_answer_clear (answer);
  return code;
}

void
api_answer_clear (struct api_answer *answer)
{
  g_free (answer->body);
  json_decref (answer->json);
  g_free (answer->state);
  g_free (answer->request_id);
  g_free (answer->retry_after);
  memset (answer, 0, sizeof *answer);
}

/* --- Failures --- */

int
api_report_error (int error)
{
  switch (error)
    {
    case API_ERR_HOSTS:
      fprintf (stderr, "foxtailgapctl: give the entry hosts as IP:PORT[,"
                       "IP:PORT...] by --hosts or FOXTAILGAP_HOSTS\n");
      return CTL_USAGE;
    case API_ERR_REQUEST:
      fprintf (stderr, "foxtailgapctl: the request is not valid and was "
                       "not sent\n");
      return CTL_USAGE;
    case API_ERR_UNREACHABLE:
      fprintf (stderr, "foxtailgapctl: no entry host answered; nothing was "
                       "done\n");
      return CTL_UNREACHABLE;
    case API_ERR_OUTCOME_UNKNOWN:
      fprintf (stderr, "foxtailgapctl: the outcome is not known: the "
                       "request was sent, but no complete answer came\n");
      return CTL_OUTCOME_UNKNOWN;
    default:
      fprintf (stderr, "foxtailgapctl: out of memory\n");
      return CTL_UNREACHABLE;
    }
}

/* Whether the call may have taken effect although it did not succeed.  */
static bool
is_outcome_unknown (const struct api_answer *answer, const char *state)
{
  if (state != NULL)
    return strcmp (state, "unknown") == 0;
  return answer->status < STATUS_REFUSED_FIRST
         || answer->status >= STATUS_REFUSED_END;
}

int
api_report_refusal (const struct api_answer *answer)
{
  const char *code = NULL;
  const char *message = NULL;
  const char *state = NULL;
  bool unknown;

  if (json_is_object (answer->json))
    json_unpack (answer->json, "{s?s, s?s, s?s}", "error", &code, "message",
                 &message, "state", &state);
  if (state == NULL)
    state = answer->state;
  unknown = is_outcome_unknown (answer, state);
  fprintf (stderr, "%s: %s (%s, status %ld, entry host %s)\n",
           unknown ? "outcome not known" : "refused",
           message != NULL ? message : "no reason given",
           code != NULL ? code : "no code", answer->status, answer->host);
  if (answer->retry_after != NULL)
    fprintf (stderr, "try again after %s s\n", answer->retry_after);
  return unknown ? CTL_OUTCOME_UNKNOWN : CTL_REFUSED;
}
