/* Calls to a worker over HTTP.  */

#include "worker_calls.h"

#include <glib.h>
#include <string.h>

#include "event_list.h"
#include "standins/common/json_answer.h"
#include "worker_view.h"

enum
{
  MS_PER_S = 1000,
  DEFAULT_TTL_MS = 10000
};

struct wc_calls
{
  struct ev_loop *loop;
  struct wk_worker *worker;
  GQueue pending;
};

/* A received call.  */
struct call
{
  struct hs_request *request;
  const char *name; /* path without its slash */
  const json_t *body;
  struct wk_attempt_id id;
};

/* A call that runs and is answered after a delay.  */
struct pending
{
  GList link; /* in calls->pending */
  struct wc_calls *calls;
  struct hs_request *request;
  ev_timer timer;
  json_t *body;
  void (*run) (struct wc_calls *calls, const struct call *call);
};

/* --- Errors --- */

static const char *
error_code (int error)
{
  switch (error)
    {
    case WK_ERR_STALE_TERM:
      return "stale_term";
    case WK_ERR_BUSY:
      return "busy";
    case WK_ERR_NO_LEASE:
      return "no_lease";
    case WK_ERR_ENDED:
      return "ended";
    case WK_ERR_REFUSED:
      return "refused";
    default:
      return "bad_request";
    }
}

static const char *
error_message (int error)
{
  switch (error)
    {
    case WK_ERR_STALE_TERM:
      return "A higher term has been seen.";
    case WK_ERR_BUSY:
      return "The resources are not free.";
    case WK_ERR_NO_LEASE:
      return "The attempt has no lease here.";
    case WK_ERR_ENDED:
      return "The attempt is over here.";
    case WK_ERR_REFUSED:
      return "The worker refuses to start tasks.";
    default:
      return "A member is missing or not valid.";
    }
}

static void
respond_refusal (struct wc_calls *calls, const struct call *call, int error)
{
  json_t *answer = json_pack ("{s:s,s:s,s:I}", "error", error_code (error),
                              "message", error_message (error), "term",
                              (json_int_t)wk_term (calls->worker));

  wk_record_refusal (calls->worker, &call->id, call->name, error_code (error));
  ja_respond (call->request, error == WK_ERR_INVALID ? 400 : 409, answer);
}

/* --- Calls that take time --- */

static struct call
parse_call (struct hs_request *request, const json_t *body)
{
  struct call call
      = { .request = request, .name = hs_path (request) + 1, .body = body };

  call.id.job = ja_text (body, "job", "");
  call.id.attempt = (uint32_t)ja_number (body, "attempt", 0);
  return call;
}

static void
pending_free (struct pending *pending)
{
  ev_timer_stop (pending->calls->loop, &pending->timer);
  g_queue_unlink (&pending->calls->pending, &pending->link);
  json_decref (pending->body);
  g_free (pending);
}

static void
on_pending_gone (void *ctx)
{
  pending_free (ctx);
}

static void
on_due (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct pending *pending = watcher->data;
  struct call call = parse_call (pending->request, pending->body);

  (void)loop;
  (void)events;
  pending->run (pending->calls, &call);
  pending_free (pending);
}

static void
run_call_after (struct wc_calls *calls, const struct call *call,
                uint64_t delay_ms,
                void (*run) (struct wc_calls *, const struct call *))
{
  struct pending *pending;

  if (delay_ms == 0)
    {
      run (calls, call);
      return;
    }
  pending = g_new0 (struct pending, 1);
  pending->calls = calls;
  pending->request = call->request;
  pending->body = json_deep_copy (call->body);
  pending->run = run;
  pending->link.data = pending;
  g_queue_push_tail_link (&calls->pending, &pending->link);
  hs_on_disconnect (call->request, on_pending_gone, pending);
  ev_timer_init (&pending->timer, on_due, (ev_tstamp)delay_ms / MS_PER_S, 0.0);
  pending->timer.data = pending;
  ev_timer_start (calls->loop, &pending->timer);
}

/* --- The calls --- */

static void
call_lease (struct wc_calls *calls, const struct call *call)
{
  uint32_t ttl_ms = (uint32_t)ja_number (call->body, "ttl_ms", DEFAULT_TTL_MS);
  int error
      = wk_lease (calls->worker, &call->id, ja_text (call->body, "host", ""),
                  ttl_ms, json_object_get (call->body, "tasks"));

  if (error == WK_OK)
    ja_respond (call->request, 200,
                json_pack ("{s:b,s:I}", "granted", 1, "boot",
                           (json_int_t)wk_boot (calls->worker)));
  else
    respond_refusal (calls, call, error);
}

static void
call_start (struct wc_calls *calls, const struct call *call)
{
  struct tk_payload payload = { 0 };
  int error;

  tk_payload_parse (&payload, json_object_get (call->body, "payload"));
  error = wk_start (calls->worker, &call->id, &payload);
  tk_payload_clear (&payload);
  if (error == WK_OK)
    ja_respond (call->request, 200, json_object ());
  else
    respond_refusal (calls, call, error);
}

static void
finish_checkpoint (struct wc_calls *calls, const struct call *call)
{
  uint64_t progress_ms;
  int error = wk_checkpoint (calls->worker, &call->id, &progress_ms);

  if (error == WK_OK)
    ja_respond (call->request, 200,
                json_pack ("{s:I}", "progress_ms", (json_int_t)progress_ms));
  else
    respond_refusal (calls, call, error);
}

static void
call_checkpoint (struct wc_calls *calls, const struct call *call)
{
  const struct tk_payload *payload = wk_payload (calls->worker, &call->id);

  run_call_after (calls, call,
                  payload == NULL ? 0 : payload->checkpoint_duration_ms,
                  finish_checkpoint);
}

static void
call_throttle (struct wc_calls *calls, const struct call *call)
{
  int error = wk_throttle (calls->worker, &call->id,
                           (uint32_t)ja_number (call->body, "percent", 100));

  if (error == WK_OK)
    ja_respond (call->request, 200, json_object ());
  else
    respond_refusal (calls, call, error);
}

static void
finish_stop (struct wc_calls *calls, const struct call *call)
{
  struct wk_stop_result stopped;

  wk_stop (calls->worker, &call->id, &stopped);
  ja_respond (call->request, 200,
              json_pack ("{s:b,s:b,s:I}", "stopped", 1, "started",
                         (int)stopped.started, "progress_ms",
                         (json_int_t)stopped.progress_ms));
}

static void
call_stop (struct wc_calls *calls, const struct call *call)
{
  const struct tk_payload *payload = wk_payload (calls->worker, &call->id);
  uint64_t grace_ms = ja_number (call->body, "grace_ms", 0);

  run_call_after (calls, call,
                  payload == NULL ? 0
                                  : MIN (payload->stop_duration_ms, grace_ms),
                  finish_stop);
}

/* Renews the lease of JOB, a ["JOB",ATTEMPT].  Adds JOB to UNKNOWN if the
   worker has neither a lease nor an event of that attempt.  */
static void
renew_job (struct wc_calls *calls, json_t *job, uint32_t ttl_ms,
           json_t *unknown)
{
  struct wk_attempt_id id
      = { .job = json_string_value (json_array_get (job, 0)),
          .attempt = (uint32_t)json_integer_value (json_array_get (job, 1)) };

  if (id.job == NULL)
    return;
  if (!wk_renew (calls->worker, &id, ttl_ms)
      && !el_has_event (wk_events (calls->worker), id.job, id.attempt))
    json_array_append (unknown, job);
}

static void
call_renew (struct wc_calls *calls, const struct call *call)
{
  uint32_t ttl_ms = (uint32_t)ja_number (call->body, "ttl_ms", DEFAULT_TTL_MS);
  const json_t *jobs = json_object_get (call->body, "jobs");
  struct wk_worker *worker = calls->worker;
  json_t *unknown = json_array ();
  size_t i;

  wk_record_term (worker, ja_number (call->body, "term", 0));
  el_remove_through (wk_events (worker), ja_number (call->body, "seen", 0));
  for (i = 0; i < json_array_size (jobs); i++)
    renew_job (calls, json_array_get (jobs, i), ttl_ms, unknown);
  ja_respond (call->request, 200,
              json_pack ("{s:I,s:I,s:o,s:o,s:o,s:o}", "boot",
                         (json_int_t)wk_boot (worker), "term",
                         (json_int_t)wk_term (worker), "unknown", unknown,
                         "leases", wv_leases (worker), "events",
                         el_json (wk_events (worker)), "usage",
                         wv_usage (worker)));
}

struct route
{
  const char *path;
  bool fenced; /* names an attempt, and is refused under a lower term */
  void (*run) (struct wc_calls *calls, const struct call *call);
};

static const struct route routes[] = {
  { "/lease", true, call_lease },
  { "/start", true, call_start },
  { "/renew", false, call_renew },
  { "/checkpoint", true, call_checkpoint },
  { "/throttle", true, call_throttle },
  { "/stop", true, call_stop },
};

static void
run_route (struct wc_calls *calls, const struct route *route,
           const struct call *call)
{
  int error = WK_OK;

  if (route->fenced && call->id.job[0] == '\0')
    error = WK_ERR_INVALID;
  else if (route->fenced)
    error = wk_check_term (calls->worker, ja_number (call->body, "term", 0));
  if (error == WK_OK)
    route->run (calls, call);
  else
    respond_refusal (calls, call, error);
}

static const struct route *
find_route (const struct hs_request *request)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (routes); i++)
    if (ja_is_call (request, "POST", routes[i].path))
      return &routes[i];
  return NULL;
}

void
wc_handle (struct wc_calls *calls, struct hs_request *request)
{
  const struct route *route = find_route (request);
  struct call call;
  json_t *body;

  if (ja_is_call (request, "GET", "/state"))
    {
      ja_respond (request, 200, wv_state (calls->worker));
      return;
    }
  if (route == NULL)
    {
      ja_respond_error (request, 404, "not_found", "There is no such call.");
      return;
    }
  body = ja_parse_body (request);
  if (body == NULL)
    return;
  call = parse_call (request, body);
  run_route (calls, route, &call);
  json_decref (body);
}

struct wc_calls *
wc_create (struct ev_loop *loop, struct wk_worker *worker)
{
  struct wc_calls *calls = g_new0 (struct wc_calls, 1);

  calls->loop = loop;
  calls->worker = worker;
  g_queue_init (&calls->pending);
  return calls;
}

void
wc_drop_all (struct wc_calls *calls)
{
  struct pending *pending;

  while (!g_queue_is_empty (&calls->pending))
    {
      pending = g_queue_peek_head (&calls->pending);
      hs_close_without_response (pending->request);
      pending_free (pending);
    }
}

void
wc_free (struct wc_calls *calls)
{
  if (calls == NULL)
    return;
  wc_drop_all (calls);
  g_free (calls);
}

struct wk_worker *
wc_worker (const struct wc_calls *calls)
{
  return calls->worker;
}
