/* Front task: validates requests to services and passes them to the upstream
   task; answers the outcome of a request by its key.  */

#include <string.h>

#include "common/clock.h"
#include "front.h"

enum
{
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_TOO_LARGE = 413,
  STATUS_TOO_MANY = 429,
  STATUS_UNAVAILABLE = 503,
  STATUS_TIMEOUT = 504,
  KEY_AGE_MARGIN_MS = 60 * 1000 /* the clocks of callers and hosts may differ
                                   by a minute */
};

/* --- Answers --- */

static unsigned int
status_for_answer (const struct msg_service_answer *answer)
{
  if (answer->state == MSG_ANSWER_UNKNOWN)
    return STATUS_TIMEOUT;
  if (strcmp (answer->code, "unknown_service") == 0
      || strcmp (answer->code, "unknown_team") == 0)
    return STATUS_NOT_FOUND;
  if (strcmp (answer->code, "key_conflict") == 0)
    return STATUS_CONFLICT;
  if (strcmp (answer->code, "overloaded") == 0
      || strcmp (answer->code, "queue_full") == 0)
    return STATUS_TOO_MANY;
  return STATUS_UNAVAILABLE;
}

static void
answer_finished (struct fr_call *call, const struct msg_service_answer *answer)
{
  struct hs_header headers[]
      = { { "Content-Type", "application/octet-stream" },
          { "Foxtailgap-State", "finished" },
          { "Foxtailgap-Request-Id", call->id } };

  hs_respond (call->http, answer->status, headers, G_N_ELEMENTS (headers),
              answer->body, answer->body_size_bytes);
}

void
fr_on_answer (struct front_task *task, const struct msg_service_answer *answer)
{
  struct fr_call *call = g_hash_table_lookup (task->calls, &answer->token);

  if (call == NULL)
    return;
  fr_burn_count_request (call, answer);
  if (answer->state == MSG_ANSWER_FINISHED)
    answer_finished (call, answer);
  else
    fr_respond_error (
        call->http, status_for_answer (answer), answer->code, answer->message,
        answer->state == MSG_ANSWER_REFUSED ? "refused" : "unknown",
        answer->retry_after_ms);
  fr_call_free (call);
}

/* --- Admission --- */

/* What the headers of a service request say; the texts belong to the HTTP
   request.  */
struct request_headers
{
  const char *team;
  const char *key;
  bool repeatable;
  uint64_t deadline_ms;
  uint64_t issued_ms; /* Unix time when the key was made; 0: not given */
};

/* Returns a static sentence about the first invalid header, or NULL.  */
static const char *
read_headers (struct hs_request *http, const struct env_service *service,
              struct request_headers *headers)
{
  const char *deadline = hs_header (http, "Foxtailgap-Deadline-Ms");
  const char *repeatable = hs_header (http, "Foxtailgap-Repeatable");
  const char *issued = hs_header (http, "Foxtailgap-Issued-Ms");

  headers->team = hs_header (http, "Foxtailgap-Team");
  headers->key = hs_header (http, "Idempotency-Key");
  if (headers->team == NULL || !fr_name_valid (headers->team))
    return "The header Foxtailgap-Team must name the team.";
  if (headers->key != NULL && !fr_name_valid (headers->key))
    return "The header Idempotency-Key is too long or has characters that "
           "are not allowed.";
  if (repeatable == NULL || strcmp (repeatable, "yes") == 0)
    headers->repeatable = true;
  else if (strcmp (repeatable, "no") == 0)
    headers->repeatable = false;
  else
    return "The header Foxtailgap-Repeatable must be yes or no.";
  if (!headers->repeatable && headers->key == NULL)
    return "A request that is not repeatable needs an Idempotency-Key.";
  headers->issued_ms = 0;
  if (issued != NULL
      && !fr_parse_number (issued, INT64_MAX, &headers->issued_ms))
    return "The header Foxtailgap-Issued-Ms must be milliseconds since 1970.";
  headers->deadline_ms = service->deadline_ms;
  if (deadline != NULL
      && (!fr_parse_number (deadline, service->deadline_max_ms,
                            &headers->deadline_ms)
          || headers->deadline_ms == 0))
    return "The header Foxtailgap-Deadline-Ms must be a whole number from 1 "
           "to the service's deadline_max_ms.";
  return NULL;
}

/* Whether the key is so old that its outcome may have been dropped already: to
   run the request could run it a second time.  A key that is still known is
   answered from its claim, however old it is.  */
static bool
key_expired (const struct front_task *task,
             const struct request_headers *headers)
{
  int64_t window_ms = task->daemon->settings->outcome_window_ms;
  int64_t margin_ms = MIN (KEY_AGE_MARGIN_MS, window_ms / 2);
  int64_t age_ms = clk_unix_ms () - (int64_t)headers->issued_ms;
  char *key;
  bool known;

  if (headers->repeatable || headers->issued_ms == 0
      || age_ms < window_ms - margin_ms)
    return false;
  key = g_strdup_printf ("%s/%s", headers->team, headers->key);
  known = g_hash_table_contains (task->claims, key);
  g_free (key);
  return !known;
}

static void
on_caller_gone (void *ctx)
{
  struct fr_call *call = ctx;
  struct msg_caller_gone *gone = g_new0 (struct msg_caller_gone, 1);

  gone->token = call->token;
  mb_post (call->task->daemon->upstream, MSG_CALLER_GONE, gone);
  fr_call_free (call);
}

static void
send_to_upstream_task (struct front_task *task, struct hs_request *http,
                       const struct env_service *service,
                       const struct request_headers *headers)
{
  struct fr_call *call = fr_call_create (task, http);
  struct msg_service_request *message = g_new0 (struct msg_service_request, 1);
  char id[FR_ID_SIZE_BYTES];
  const char *body;

  fr_new_id (id);
  call->id = g_strdup (id);
  call->sent_to_upstream = true;
  call->team = g_strdup (headers->team);
  call->service = g_strdup (service->name);
  call->started_ms = clk_monotonic_ms (NULL);
  hs_on_disconnect (http, on_caller_gone, call);
  message->token = call->token;
  message->reply = task->box;
  message->id = g_strdup (id);
  message->team = g_strdup (headers->team);
  message->service = g_strdup (service->name);
  message->key = g_strdup (headers->key);
  message->repeatable = headers->repeatable;
  message->deadline_ms
      = clk_monotonic_ms (NULL) + (int64_t)headers->deadline_ms;
  body = hs_body (http, &message->body_size_bytes);
  message->body = g_memdup2 (body, message->body_size_bytes);
  mb_post (task->daemon->upstream, MSG_SERVICE_REQUEST, message);
}

/* Returns the service's name of "NAME/requests", to be freed; NULL for other
   paths.  */
static char *
service_name (const char *rest)
{
  static const char suffix[] = "/requests";
  size_t size = strlen (rest);
  size_t suffix_size = sizeof suffix - 1;

  if (size <= suffix_size || strcmp (rest + size - suffix_size, suffix) != 0)
    return NULL;
  return g_strndup (rest, size - suffix_size);
}

void
fr_post_request (struct front_task *task, struct hs_request *http,
                 const char *rest)
{
  char *name = service_name (rest);
  const struct env_service *service = NULL;
  struct request_headers headers;
  const char *error;
  size_t size_bytes;

  if (task->config == NULL)
    {
      fr_respond_error (
          http, STATUS_UNAVAILABLE, "no_configuration",
          "No configuration is in force; the request did not run.", "refused",
          FR_LOG_RETRY_AFTER_MS);
      goto done;
    }
  if (name != NULL)
    service = env_service (task->config->document, name);
  if (service == NULL)
    {
      fr_respond_error (
          http, STATUS_NOT_FOUND, "unknown_service",
          "The service is not in the configuration; the request did "
          "not run.",
          "refused", 0);
      goto done;
    }
  error = read_headers (http, service, &headers);
  if (error != NULL)
    {
      fr_respond_error (http, STATUS_BAD_REQUEST, "bad_request", error,
                        "refused", 0);
      goto done;
    }
  if (key_expired (task, &headers))
    {
      fr_respond_error (
          http, STATUS_CONFLICT, "key_expired",
          "The key is older than outcomes are kept; the request was not "
          "run anew.",
          NULL, 0);
      goto done;
    }
  hs_body (http, &size_bytes);
  if (size_bytes > service->body_limit_bytes)
    {
      fr_respond_error (
          http, STATUS_TOO_LARGE, "body_too_large",
          "The body is larger than the service's body_limit_bytes.", "refused",
          0);
      goto done;
    }
  send_to_upstream_task (task, http, service, &headers);

done:
  g_free (name);
}

/* --- Outcome by key --- */

static const char *
claim_state_name (const struct st_claim *claim)
{
  switch (claim->state)
    {
    case ST_CLAIM_OPEN:
      return "in_progress";
    case ST_CLAIM_DONE:
      return "finished";
    case ST_CLAIM_NOT_RUN:
      return "refused";
    case ST_CLAIM_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}

void
fr_get_request (struct front_task *task, struct hs_request *http,
                const char *rest)
{
  const struct st_claim *claim = g_hash_table_lookup (task->claims, rest);
  struct hs_header headers[]
      = { { "Content-Type", "application/octet-stream" },
          { "Foxtailgap-State", "finished" } };

  if (claim == NULL)
    {
      fr_respond_error (http, STATUS_NOT_FOUND, "unknown_key",
                        "No request with this team and key is known here.",
                        NULL, 0);
      return;
    }
  if (claim->state == ST_CLAIM_DONE)
    {
      hs_respond (http, claim->status, headers, G_N_ELEMENTS (headers),
                  claim->answer, claim->answer_size_bytes);
      return;
    }
  fr_respond_json (http, STATUS_OK,
                   json_pack ("{s:s, s:s, s:s}", "key", rest, "state",
                              claim_state_name (claim), "host", claim->host));
}
