/* Passes a caller's request on to another host.  Load pattern: the store turns
   some hosts away and serves the others; callers of the former would come back
   a second later, too late for urgent work.  */

#include "relay.h"

#include <string.h>

#include "common/logging.h"
#include "http/http_client.h"

static const char PART[] = "relay";
/* A request with this header is not passed on again.  */
static const char MARK[] = "Foxtailgap-Relayed";

enum
{
  TRIES = 2,
  TIMEOUT_MS = 900,       /* the other host's append, and its own patience */
  SLOW_TIMEOUT_MS = 2600, /* the same with a slow store */
  CONNECT_TIMEOUT_MS = 250,
  ANSWER_LIMIT_BYTES = 64 * 1024,
  NOT_SERVED = 503, /* another host may serve it */
  HEADERS = 6
};

struct relay
{
  struct rl_params params;
  struct hc_client *http;
};

/* One request that is passed on.  */
struct passage
{
  struct relay *relay;
  struct hs_request *request; /* NULL: the caller has left */
  rl_callback callback;
  void *ctx;
  char *address;
  char method[8];
  uint32_t tries;
  int64_t version_floor;
  const char *wanted; /* during rl_pass_on () only; NULL: any host */
};

static bool send_on (struct passage *passage);

static void
on_caller_gone (void *ctx)
{
  struct passage *passage = ctx;

  passage->request = NULL;
}

static void
passage_free (struct passage *passage)
{
  g_free (passage->address);
  g_free (passage);
}

static void
tell (struct passage *passage, const struct rl_answer *answer)
{
  struct hs_request *request = passage->request;

  if (request != NULL)
    {
      hs_on_gone (request, NULL, NULL);
      passage->callback (passage->ctx, request, answer);
    }
  passage_free (passage);
}

static int64_t
read_version (const char *text)
{
  char *end = NULL;
  int64_t version = text == NULL ? -1 : g_ascii_strtoll (text, &end, 10);

  return text == NULL || end == text || *end != '\0' ? -1 : version;
}

bool
rl_is_passed_on (struct hs_request *request)
{
  return hs_header (request, MARK) != NULL;
}

int64_t
rl_version_asked (struct hs_request *request)
{
  return !rl_is_passed_on (request)
             ? -1
             : read_version (hs_header (request, RL_HEADER_VERSION));
}

static void
tell_response (struct passage *passage, const struct hc_response *response)
{
  struct rl_answer answer
      = { .status = (unsigned int)response->status,
          .retry_after = hc_response_header (response, "Retry-After"),
          .body = response->body,
          .version
          = read_version (hc_response_header (response, RL_HEADER_VERSION)) };

  tell (passage, &answer);
}

static void
on_answer (void *ctx, const struct hc_response *response)
{
  static const struct rl_answer unknown
      = { .status = 504,
          .body = "{\"error\":\"not known: ask again\"}",
          .version = -1 };
  static const struct rl_answer none = { .body = "", .version = -1 };
  struct passage *passage = ctx;
  bool served;

  lg_info (PART, "A request was passed on.", "to", passage->address, "status",
           lg_number (response->status), "result",
           hc_strerror (response->error), NULL);
  if (response->error != HC_OK && response->maybe_sent
      && strcmp (passage->method, "GET") != 0)
    {
      tell (passage, &unknown);
      return;
    }
  served = response->error == HC_OK && response->status != NOT_SERVED;
  if (!served && passage->request != NULL && passage->tries < TRIES
      && send_on (passage))
    return;
  if (response->error == HC_OK)
    tell_response (passage, response);
  else
    tell (passage, &none);
}

static char *
header_line (const char *name, const char *value)
{
  return value == NULL ? NULL : g_strdup_printf ("%s: %s", name, value);
}

static bool
send_on (struct passage *passage)
{
  struct relay *relay = passage->relay;
  const struct rl_params *params = &relay->params;
  struct hs_request *request = passage->request;
  const char *peer = passage->wanted;
  char *lines[HEADERS] = { NULL };
  char *version
      = g_strdup_printf ("%" G_GINT64_FORMAT, passage->version_floor);
  const char *headers[HEADERS + 1] = { NULL };
  size_t body_size_bytes = 0;
  const char *body = hs_body (request, &body_size_bytes);
  struct hc_request call = {
    .method = hs_method (request),
    .headers = headers,
    .body = body_size_bytes > 0 ? body : NULL,
    .body_size_bytes = body_size_bytes,
    .timeout_ms = jr_is_slow (params->journal) ? SLOW_TIMEOUT_MS : TIMEOUT_MS,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .response_limit_bytes = ANSWER_LIMIT_BYTES,
    .callback = on_answer,
    .ctx = passage,
  };
  char *url;
  size_t count = 0;
  size_t i;
  bool sent;

  if (peer == NULL)
    peer = jr_pick_peer (params->journal, params->host, passage->address);
  if (peer == NULL)
    {
      g_free (version);
      return false;
    }
  passage->wanted = NULL;
  passage->tries++;
  g_free (passage->address);
  passage->address = g_strdup (peer);
  lines[0] = header_line ("Host", hs_header (request, "Host"));
  lines[1] = header_line (params->key_header,
                          hs_header (request, params->key_header));
  lines[2] = header_line (params->deadline_header,
                          hs_header (request, params->deadline_header));
  lines[3] = header_line (MARK, params->host);
  lines[4] = header_line ("Content-Type", "application/json");
  lines[5] = header_line (RL_HEADER_VERSION, version);
  for (i = 0; i < HEADERS; i++)
    if (lines[i] != NULL)
      headers[count++] = lines[i];
  url = g_strdup_printf ("http://%s%s", passage->address, hs_path (request));
  call.url = url;
  sent = hc_send (relay->http, &call, NULL) == HC_OK;
  for (i = 0; i < HEADERS; i++)
    g_free (lines[i]);
  g_free (version);
  g_free (url);
  return sent;
}

bool
rl_pass_on (struct relay *relay, struct hs_request *request,
            const char *address, int64_t version_floor, rl_callback callback,
            void *ctx)
{
  struct passage *passage;

  if (rl_is_passed_on (request))
    return false;
  passage = g_new0 (struct passage, 1);
  passage->relay = relay;
  passage->request = request;
  g_strlcpy (passage->method, hs_method (request), sizeof passage->method);
  passage->callback = callback;
  passage->ctx = ctx;
  passage->wanted = address;
  passage->version_floor = version_floor;
  if (address != NULL)
    passage->tries = TRIES - 1;
  if (!send_on (passage))
    {
      passage_free (passage);
      return false;
    }
  hs_on_gone (request, on_caller_gone, passage);
  return true;
}

struct relay *
rl_create (const struct rl_params *params)
{
  struct relay *relay = g_new0 (struct relay, 1);
  struct hc_params http = { .loop = params->loop };

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
