/* Upstream task: one try of a request, from the first byte to the outcome. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "upstream.h"

enum
{
  URL_SIZE_BYTES = 128,
  HEADER_SIZE_BYTES = 300,
  CONNECT_TIMEOUT_MS = 1000,
  TRY_TIMEOUT_MIN_MS = 50,
  TRY_TIMEOUT_MIN_SERVICE_TIMES
  = 4, /* a try may take this many of the service's usual times, if the
         deadline allows */
  STATUS_BUSY = 503,
  STATUS_SERVER_ERROR = 500
};

/* --- Outcomes --- */

static enum rt_outcome
outcome_of (const struct hc_response *response)
{
  if (!response->maybe_sent)
    return RT_NOT_SENT;
  if (response->error != HC_OK)
    return RT_NO_ANSWER;
  if (response->status == STATUS_BUSY)
    return RT_BUSY;
  if (response->status >= STATUS_SERVER_ERROR)
    return RT_SERVER_ERROR;
  return RT_ANSWERED;
}

static void
note_instance_leaving (struct up_request *request,
                       const struct hc_response *response)
{
  const char *state;

  if (response->error != HC_OK)
    return;
  state = hc_response_header (response, "Foxtailgap-Upstream-State");
  if (state != NULL && strcmp (state, "leaving") == 0)
    rt_instance_leaving (request->service->router, request->instance);
}

static void
give_up_unavailable (struct up_request *request)
{
  up_give_up (request, "upstream_unavailable",
              "No upstream instance took the request; it did not run.");
}

static void
finish_answered (struct up_request *request,
                 const struct hc_response *response)
{
  mt_observe (request->task->daemon->metrics, "foxtailgap_request_ms",
              (uint32_t)(clk_monotonic_ms (NULL) - request->started_ms));
  if (request->claimed)
    up_end_claim (request, ST_CLAIM_DONE, (uint32_t)response->status,
                  response->body, response->body_size_bytes);
  up_answer_with_response (request, (uint32_t)response->status, response->body,
                           response->body_size_bytes);
}

static void
on_response (void *ctx, const struct hc_response *response)
{
  struct up_request *request = ctx;
  struct up_service *service = request->service;
  enum rt_outcome outcome = outcome_of (response);
  bool will_retry;

  note_instance_leaving (request, response);
  if (outcome == RT_NO_ANSWER || outcome == RT_SERVER_ERROR)
    request->may_have_run = true;
  if (outcome == RT_NO_ANSWER || outcome == RT_NOT_SENT)
    lg_warning (UP_PART,
                "A try of a request got no answer from the upstream instance.",
                "request", request->message->id, "instance", request->instance,
                "reason", hc_strerror (response->error), NULL);
  will_retry = rt_outcome (service->router, request->message->token, outcome,
                           request->message->repeatable);
  if (will_retry)
    {
      mt_add (request->task->daemon->metrics, "foxtailgap_retries_total", 1);
      request->stage = UP_STAGE_QUEUED;
    }
  else if (outcome == RT_ANSWERED || outcome == RT_SERVER_ERROR)
    finish_answered (request, response);
  else
    give_up_unavailable (request);
  up_dispatch (service);
}

/* --- Sending --- */

/* A try of a repeatable request leaves half of the remaining time for another
   try, in case its connection has gone silent.  It takes all of the time if
   half is less than TRY_TIMEOUT_MIN_SERVICE_TIMES usual service times.  */
static uint32_t
try_timeout_ms (const struct up_request *request)
{
  int64_t remaining_ms
      = request->message->deadline_ms - clk_monotonic_ms (NULL);

  int64_t minimum_ms = (int64_t)rt_service_time_ms (request->service->router)
                       * TRY_TIMEOUT_MIN_SERVICE_TIMES;

  if (request->message->repeatable && remaining_ms / 2 >= minimum_ms)
    remaining_ms /= 2;
  return remaining_ms < TRY_TIMEOUT_MIN_MS ? TRY_TIMEOUT_MIN_MS
                                           : (uint32_t)remaining_ms;
}

void
up_send (struct up_request *request, const char *instance)
{
  const struct msg_service_request *message = request->message;
  const struct hl_host *host
      = hl_find (request->task->hosts, HL_UPSTREAM, instance);
  char url[URL_SIZE_BYTES];
  char id[HEADER_SIZE_BYTES];
  char team[HEADER_SIZE_BYTES];
  char deadline[HEADER_SIZE_BYTES];
  const char *headers[] = { id, team, deadline, NULL };
  struct hc_request call = { .method = "POST",
                             .url = url,
                             .headers = headers,
                             .body = message->body,
                             .body_size_bytes = message->body_size_bytes,
                             .timeout_ms = try_timeout_ms (request),
                             .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                             .response_limit_bytes = UP_ANSWER_LIMIT_BYTES,
                             .callback = on_response,
                             .ctx = request };

  g_free (request->instance);
  request->instance = g_strdup (instance);
  request->stage = UP_STAGE_SENT;
  snprintf (url, sizeof url, "http://%s:%u/work",
            host == NULL ? "127.0.0.1" : host->address,
            host == NULL ? 0U : host->port);
  snprintf (id, sizeof id, "Foxtailgap-Request-Id: %s", message->id);
  snprintf (team, sizeof team, "Foxtailgap-Team: %s", message->team);
  snprintf (deadline, sizeof deadline, "Foxtailgap-Deadline-Ms: %" PRId64,
            message->deadline_ms - clk_monotonic_ms (NULL));
  mt_add (request->task->daemon->metrics, "foxtailgap_tries_total", 1);
  if (hc_send (request->task->http, &call, NULL) != HC_OK)
    {
      rt_outcome (request->service->router, message->token, RT_NOT_SENT,
                  false);
      give_up_unavailable (request);
    }
}
