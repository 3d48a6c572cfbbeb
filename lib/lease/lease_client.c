/* ls_send (): calls to workers over the HTTP client.  */

#include "lease/lease.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  RESPONSE_LIMIT_BYTES = 8 * 1024 * 1024
};

struct ls_call
{
  struct hc_call *http;
  enum ls_kind kind;
  ls_callback callback;
  void *ctx;
};

static void
on_response (void *ctx, const struct hc_response *response)
{
  struct ls_call *call = ctx;
  struct ls_answer answer = { .kind = call->kind };

  if (response->error == HC_OK)
    ls_decode (&answer, call->kind, response->status, response->body,
               response->body_size_bytes);
  else
    answer.error = response->maybe_sent ? LS_ERR_UNKNOWN : LS_ERR_NOT_SENT;
  call->callback (call->ctx, &answer);
  ls_answer_clear (&answer);
  g_free (call);
}

static int
from_http_error (int error)
{
  return error == HC_ERR_MEMORY ? LS_ERR_MEMORY : LS_ERR_NOT_SENT;
}

int
ls_send (struct hc_client *http, const struct ls_target *target,
         const struct ls_request *request, uint32_t timeout_ms,
         ls_callback callback, void *ctx, struct ls_call **out)
{
  static const char *const headers[]
      = { "Content-Type: application/json", NULL };
  struct ls_call *call = NULL;
  char *url = NULL;
  char *body = ls_encode (request);
  int error = LS_ERR_NOT_SENT;

  if (body == NULL)
    goto done;
  url = g_strdup_printf (
      strchr (target->address, ':') == NULL ? "http://%s:%u%s"
                                            : "http://[%s]:%u%s",
      target->address, target->port, ls_path (request->kind));
  call = g_new0 (struct ls_call, 1);
  call->kind = request->kind;
  call->callback = callback;
  call->ctx = ctx;
  error = hc_send (
      http,
      &(struct hc_request){ .method = "POST",
                            .url = url,
                            .headers = headers,
                            .body = body,
                            .body_size_bytes = strlen (body),
                            .timeout_ms = timeout_ms,
                            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                            .response_limit_bytes = RESPONSE_LIMIT_BYTES,
                            .callback = on_response,
                            .ctx = call },
      &call->http);
  if (error != HC_OK)
    {
      error = from_http_error (error);
      goto done;
    }
  *out = call;
  call = NULL;

done:
  g_free (call);
  g_free (url);
  free (body);
  return error;
}

void
ls_cancel (struct ls_call *call)
{
  hc_cancel (call->http);
  g_free (call);
}

bool
ls_may_have_taken_effect (int error)
{
  return error == LS_OK || error == LS_ERR_UNKNOWN
         || error == LS_ERR_MALFORMED_ANSWER;
}

const char *
ls_strerror (int error)
{
  switch (error)
    {
    case LS_OK:
      return "no error";
    case LS_ERR_MEMORY:
      return "out of memory";
    case LS_ERR_NOT_SENT:
      return "no connection";
    case LS_ERR_UNKNOWN:
      return "no answer";
    case LS_ERR_MALFORMED_ANSWER:
      return "answer not understood";
    case LS_ERR_STALE_TERM:
      return "stale term";
    case LS_ERR_BUSY:
      return "resources are held by another lease";
    case LS_ERR_NO_LEASE:
      return "no such lease";
    case LS_ERR_ATTEMPT_OVER:
      return "the attempt is over";
    case LS_ERR_REFUSED:
      return "refused";
    default:
      return "unknown error";
    }
}
