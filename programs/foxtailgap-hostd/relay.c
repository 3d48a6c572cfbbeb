/* Relays a caller's request to another host.  The store may refuse some hosts
   and serve others; callers of a refused host would otherwise retry only a
   second later, which is too late for urgent work.  */

#include "relay.h"

#include <string.h>

#include "common/logging.h"
#include "http/http_client.h"

static const char PART[] = "relay";
/* Marks a relayed request, which must not be relayed again.  */
static const char RELAYED_HEADER[] = "Foxtailgap-Relayed";

enum
{
  ATTEMPTS_MAX = 2,
  ANSWER_TIMEOUT_MS = 900, /* the other host's append and its own wait */
  SLOW_STORE_ANSWER_TIMEOUT_MS = 2600, /* the same while the store is slow */
  CONNECT_TIMEOUT_MS = 250,
  ANSWER_LIMIT_BYTES = 64 * 1024,
  STATUS_NOT_SERVED = 503, /* nothing was done: another host may serve it */
  HEADERS_MAX = 6
};

struct relay
{
  struct rl_params params;
  struct hc_client *http;
};

/* One request that is being relayed.  */
struct relayed_call
{
  struct relay *relay;
  struct hs_request *request; /* NULL: the caller has disconnected */
  rl_callback callback;
  void *ctx;
  char *address;
  char method[8];
  uint32_t attempts;
  int64_t min_catalog_version;
  const char *only_address; /* valid during rl_relay () only; NULL: any host */
};

static bool send_to_peer (struct relayed_call *relayed_call);

static void
on_caller_gone (void *ctx)
{
  struct relayed_call *relayed_call = ctx;

  relayed_call->request = NULL;
}

static void
passage_free (struct relayed_call *relayed_call)
{
  g_free (relayed_call->address);
  g_free (relayed_call);
}

static void
finish_call (struct relayed_call *relayed_call, const struct rl_answer *answer)
{
  struct hs_request *request = relayed_call->request;

  if (request != NULL)
    {
      hs_on_disconnect (request, NULL, NULL);
      relayed_call->callback (relayed_call->ctx, request, answer);
    }
  passage_free (relayed_call);
}

static int64_t
parse_version (const char *text)
{
  char *end = NULL;
  int64_t version = text == NULL ? -1 : g_ascii_strtoll (text, &end, 10);

  return text == NULL || end == text || *end != '\0' ? -1 : version;
}

bool
rl_is_relayed (struct hs_request *request)
{
  return hs_header (request, RELAYED_HEADER) != NULL;
}

int64_t
rl_min_catalog_version (struct hs_request *request)
{
  return !rl_is_relayed (request)
             ? -1
             : parse_version (hs_header (request, RL_HEADER_VERSION));
}

static void
finish_with_response (struct relayed_call *relayed_call,
                      const struct hc_response *response)
{
  struct rl_answer answer
      = { .status = (unsigned int)response->status,
          .retry_after = hc_response_header (response, "Retry-After"),
          .body = response->body,
          .catalog_version
          = parse_version (hc_response_header (response, RL_HEADER_VERSION)) };

  finish_call (relayed_call, &answer);
}

static void
on_answer (void *ctx, const struct hc_response *response)
{
  static const struct rl_answer unknown
      = { .status = 504,
          .body = "{\"error\":\"not known: ask again\"}",
          .catalog_version = -1 };
  static const struct rl_answer none = { .body = "", .catalog_version = -1 };
  struct relayed_call *relayed_call = ctx;
  bool served;

  lg_info (PART, "A request was passed on.", "path",
           relayed_call->request == NULL ? "(caller gone)"
                                         : hs_path (relayed_call->request),
           "to", relayed_call->address, "status", lg_number (response->status),
           "result", hc_strerror (response->error), "asked_version",
           lg_number (relayed_call->min_catalog_version), "answer_version",
           lg_number (response->error != HC_OK
                          ? -1
                          : parse_version (hc_response_header (
                              response, RL_HEADER_VERSION))),
           NULL);
  if (response->error != HC_OK && response->maybe_sent
      && strcmp (relayed_call->method, "GET") != 0)
    {
      finish_call (relayed_call, &unknown);
      return;
    }
  served = response->error == HC_OK && response->status != STATUS_NOT_SERVED;
  if (!served && relayed_call->request != NULL
      && relayed_call->attempts < ATTEMPTS_MAX && send_to_peer (relayed_call))
    return;
  if (response->error == HC_OK)
    finish_with_response (relayed_call, response);
  else
    finish_call (relayed_call, &none);
}

static char *
header_line (const char *name, const char *value)
{
  return value == NULL ? NULL : g_strdup_printf ("%s: %s", name, value);
}

static bool
send_to_peer (struct relayed_call *relayed_call)
{
  struct relay *relay = relayed_call->relay;
  const struct rl_params *params = &relay->params;
  struct hs_request *request = relayed_call->request;
  const char *peer = relayed_call->only_address;
  char *lines[HEADERS_MAX] = { NULL };
  char *version = g_strdup_printf ("%" G_GINT64_FORMAT,
                                   relayed_call->min_catalog_version);
  const char *headers[HEADERS_MAX + 1] = { NULL };
  size_t body_size_bytes = 0;
  const char *body = hs_body (request, &body_size_bytes);
  struct hc_request call = {
    .method = hs_method (request),
    .headers = headers,
    .body = body_size_bytes > 0 ? body : NULL,
    .body_size_bytes = body_size_bytes,
    .timeout_ms = jr_store_is_slow (params->journal)
                      ? SLOW_STORE_ANSWER_TIMEOUT_MS
                      : ANSWER_TIMEOUT_MS,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .response_limit_bytes = ANSWER_LIMIT_BYTES,
    .callback = on_answer,
    .ctx = relayed_call,
  };
  char *url;
  size_t count = 0;
  size_t i;
  bool sent;

  if (peer == NULL)
    peer = jr_random_peer_address (params->journal, params->host,
                                   relayed_call->address);
  if (peer == NULL)
    {
      g_free (version);
      return false;
    }
  relayed_call->only_address = NULL;
  relayed_call->attempts++;
  g_free (relayed_call->address);
  relayed_call->address = g_strdup (peer);
  lines[0] = header_line ("Host", hs_header (request, "Host"));
  lines[1] = header_line (params->key_header,
                          hs_header (request, params->key_header));
  lines[2] = header_line (params->deadline_header,
                          hs_header (request, params->deadline_header));
  lines[3] = header_line (RELAYED_HEADER, params->host);
  lines[4] = header_line ("Content-Type", "application/json");
  lines[5] = header_line (RL_HEADER_VERSION, version);
  for (i = 0; i < HEADERS_MAX; i++)
    if (lines[i] != NULL)
      headers[count++] = lines[i];
  url = g_strdup_printf ("http://%s%s", relayed_call->address,
                         hs_path (request));
  call.url = url;
  sent = hc_send (relay->http, &call, NULL) == HC_OK;
  for (i = 0; i < HEADERS_MAX; i++)
    g_free (lines[i]);
  g_free (version);
  g_free (url);
  return sent;
}

bool
rl_relay (struct relay *relay, struct hs_request *request, const char *address,
          int64_t min_catalog_version, rl_callback callback, void *ctx)
{
  struct relayed_call *relayed_call;

  if (rl_is_relayed (request))
    return false;
  relayed_call = g_new0 (struct relayed_call, 1);
  relayed_call->relay = relay;
  relayed_call->request = request;
  g_strlcpy (relayed_call->method, hs_method (request),
             sizeof relayed_call->method);
  relayed_call->callback = callback;
  relayed_call->ctx = ctx;
  relayed_call->only_address = address;
  relayed_call->min_catalog_version = min_catalog_version;
  if (address != NULL)
    relayed_call->attempts = ATTEMPTS_MAX - 1;
  if (!send_to_peer (relayed_call))
    {
      passage_free (relayed_call);
      return false;
    }
  hs_on_disconnect (request, on_caller_gone, relayed_call);
  return true;
}

struct relay *
rl_create (const struct rl_params *params)
{
  struct relay *relay = g_new0 (struct relay, 1);
  struct hc_params http = { .loop = params->loop, .load_part = LL_CALLERS };

  relay->params = *params;
  if (hc_create (&relay->http, &http) != HC_OK)
    {
      g_free (relay);
      return NULL;
    }
  return relay;
}

void
rl_free (struct relay *relay)
{
  if (relay == NULL)
    return;
  hc_free (relay->http);
  g_free (relay);
}
