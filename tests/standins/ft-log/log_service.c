/* The platform's log over HTTP, with faults on command.  */

#include "log_service.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "http/http_server.h"
#include "log_faults.h"
#include "standins/common/delayed_answer.h"
#include "standins/common/json_answer.h"
#include "standins/common/standin.h"
#include "token_bucket.h"

enum
{
  RECORD_LIMIT_BYTES = 1024 * 1024,
  READ_LIMIT_BYTES = 1024 * 1024, /* data in one answer, but for one record */
  READ_LIMIT_RECORDS = 1000,
  CONNECTION_LIMIT = 800,
  RECEIVE_TIMEOUT_MS = 60000,
  MS_PER_S = 1000
};

static const char streams_path[] = "/streams/";
static const char who[] = "log";

struct counters
{
  uint64_t appends;
  uint64_t reads;
  uint64_t bytes;
  uint64_t refused;
};

struct lo_service
{
  struct lo_params params;
  struct hs_server *server;
  struct ls_store *store;
  struct da_queue *delayed;
  struct da_queue *silent;
  struct tb_bucket bucket;
  struct lf_faults faults;
  struct counters counters;
  int64_t time_ms; /* never goes back */
  GQueue waits;
};

/* A read that waits for a record.  */
struct wait
{
  GList link; /* in service->waits */
  struct lo_service *service;
  struct hs_request *request;
  struct ls_stream *stream;
  uint64_t from;
  uint64_t limit;
  ev_timer timer;
};

static int64_t
log_time_ms (struct lo_service *service)
{
  service->time_ms = MAX (service->time_ms, sn_now_ms ());
  return service->time_ms;
}

static void
respond (struct lo_service *service, struct hs_request *request,
         unsigned int status, json_t *value)
{
  da_respond (service->delayed, service->faults.slow_ms, request, status,
              value);
}

/* --- Reads --- */

static json_t *
record_json (const struct ls_record *record, uint64_t offset)
{
  char *data = g_base64_encode (record->data, record->size_bytes);
  json_t *object
      = json_pack ("{s:I,s:I,s:s}", "offset", (json_int_t)offset, "time_ms",
                   (json_int_t)record->time_ms, "data", data);

  g_free (data);
  return object;
}

static json_t *
records_json (struct lo_service *service, const struct ls_stream *stream,
              uint64_t from, uint64_t limit)
{
  json_t *records = json_array ();
  const struct ls_record *record;
  uint64_t size_bytes = 0;
  uint64_t offset;

  for (offset = from; offset < ls_next (stream) && offset - from < limit;
       offset++)
    {
      record = ls_get (stream, offset);
      size_bytes += record->size_bytes;
      if (offset > from && size_bytes > READ_LIMIT_BYTES)
        break;
      service->counters.bytes += record->size_bytes;
      json_array_append_new (records, record_json (record, offset));
    }
  return records;
}

static void
respond_records (struct lo_service *service, struct hs_request *request,
                 struct ls_stream *stream, uint64_t from, uint64_t limit)
{
  json_t *bounds;

  ls_expire (stream, &service->params.retention, log_time_ms (service));
  bounds = json_pack ("{s:I,s:I}", "first", (json_int_t)ls_first (stream),
                      "next", (json_int_t)ls_next (stream));
  if (from < ls_first (stream))
    {
      json_object_set_new (bounds, "error", json_string ("expired"));
      json_object_set_new (
          bounds, "message",
          json_string ("The records at this offset have expired."));
      respond (service, request, 410, bounds);
      return;
    }
  json_object_set_new (bounds, "records",
                       records_json (service, stream, from, limit));
  respond (service, request, 200, bounds);
}

static void
wait_free (struct wait *wait)
{
  ev_timer_stop (wait->service->params.loop, &wait->timer);
  g_queue_unlink (&wait->service->waits, &wait->link);
  g_free (wait);
}

static void
on_wait_gone (void *ctx)
{
  wait_free (ctx);
}

static void
wait_end (struct wait *wait)
{
  respond_records (wait->service, wait->request, wait->stream, wait->from,
                   wait->limit);
  wait_free (wait);
}

static void
on_wait_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  wait_end (watcher->data);
}

static void
wait_create (struct lo_service *service, struct hs_request *request,
             struct ls_stream *stream, uint64_t from, uint64_t limit,
             uint64_t wait_ms)
{
  struct wait *wait = g_new0 (struct wait, 1);

  wait->service = service;
  wait->request = request;
  wait->stream = stream;
  wait->from = from;
  wait->limit = limit;
  wait->link.data = wait;
  ev_timer_init (&wait->timer, on_wait_timeout, (ev_tstamp)wait_ms / MS_PER_S,
                 0.0);
  wait->timer.data = wait;
  ev_timer_start (service->params.loop, &wait->timer);
  g_queue_push_tail_link (&service->waits, &wait->link);
  hs_on_disconnect (request, on_wait_gone, wait);
}

static void
wake_readers (struct lo_service *service, const struct ls_stream *stream)
{
  struct wait *wait;
  GList *link;
  GList *next;

  for (link = service->waits.head; link != NULL; link = next)
    {
      next = link->next;
      wait = link->data;
      if (wait->stream == stream && wait->from < ls_next (stream))
        wait_end (wait);
    }
}

/* Reads that wait when an outage begins meet it.  */
static void
interrupt_readers (struct lo_service *service)
{
  struct wait *wait;

  while (!g_queue_is_empty (&service->waits))
    {
      wait = g_queue_peek_head (&service->waits);
      if (service->faults.silent)
        da_hold (service->silent, wait->request);
      else
        hs_close_without_response (wait->request);
      wait_free (wait);
    }
}

static uint64_t
query_number (const struct hs_request *request, const char *name,
              uint64_t fallback)
{
  const char *text = hs_query (request, name);

  return text == NULL ? fallback : g_ascii_strtoull (text, NULL, 10);
}

static void
read_stream (struct lo_service *service, struct hs_request *request,
             struct ls_stream *stream)
{
  uint64_t from = query_number (request, "from", 0);
  uint64_t wait_ms = query_number (request, "wait_ms", 0);
  uint64_t limit = query_number (request, "limit", READ_LIMIT_RECORDS);

  service->counters.reads++;
  limit = MIN (limit, READ_LIMIT_RECORDS);
  if (wait_ms > 0 && from >= ls_next (stream))
    wait_create (service, request, stream, from, limit, wait_ms);
  else
    respond_records (service, request, stream, from, limit);
}

/* --- Appends --- */

static void
refuse_rate (struct lo_service *service, struct hs_request *request)
{
  static const char body[]
      = "{\"error\":\"rate_limited\","
        "\"message\":\"More appends than the log takes.\"}";
  struct hs_header headers[]
      = { { "Content-Type", "application/json" }, { "Retry-After", "1" } };

  service->counters.refused++;
  hs_respond (request, 429, headers, G_N_ELEMENTS (headers), body,
              sizeof body - 1);
}

static void
note_append (const struct lo_service *service, const char *name,
             uint64_t offset, size_t size_bytes, bool answered)
{
  hf_write (service->params.history, who, "append",
            json_pack ("{s:s,s:I,s:I,s:b}", "stream", name, "offset",
                       (json_int_t)offset, "bytes", (json_int_t)size_bytes,
                       "answered", (int)answered));
}

static void
append (struct lo_service *service, struct hs_request *request,
        const char *name, struct ls_stream *stream)
{
  size_t size_bytes;
  const char *body = hs_body (request, &size_bytes);
  int64_t now_ms = log_time_ms (service);
  enum lf_answer answer;
  uint64_t offset;

  if (!tb_take (&service->bucket, ev_now (service->params.loop)))
    {
      refuse_rate (service, request);
      return;
    }
  offset = ls_append (stream, body, size_bytes, now_ms);
  service->counters.appends++;
  service->counters.bytes += size_bytes;
  answer = lf_choose_answer (&service->faults, service->params.random);
  note_append (service, name, offset, size_bytes, answer == LF_ANSWER_OFFSET);
  if (answer == LF_ANSWER_LOST)
    hs_close_without_response (request);
  else if (answer == LF_ANSWER_ERROR)
    ja_error (request, 500, "internal", "The log has met an error.");
  else
    respond (service, request, 201,
             json_pack ("{s:I,s:I}", "offset", (json_int_t)offset, "time_ms",
                        (json_int_t)now_ms));
  wake_readers (service, stream);
  ls_expire (stream, &service->params.retention, now_ms);
}

/* --- Control --- */

static void
control (struct lo_service *service, struct hs_request *request)
{
  struct ls_retention *retention = &service->params.retention;
  json_t *command = ja_body (request);

  if (command == NULL)
    return;
  lf_obey (&service->faults, command);
  retention->records
      = ja_number (command, "retention_records", retention->records);
  retention->ms = ja_number (command, "retention_ms", retention->ms);
  if (service->faults.outage)
    interrupt_readers (service);
  else
    da_drop_all (service->silent);
  json_decref (command);
  ja_respond (request, 200, json_object ());
}

static void
show_counters (const struct lo_service *service, struct hs_request *request)
{
  const struct counters *counters = &service->counters;

  ja_respond (request, 200,
              json_pack ("{s:I,s:I,s:I,s:I}", "appends",
                         (json_int_t)counters->appends, "reads",
                         (json_int_t)counters->reads, "bytes",
                         (json_int_t)counters->bytes, "refused",
                         (json_int_t)counters->refused));
}

static void
serve_stream (struct lo_service *service, struct hs_request *request)
{
  const char *name = hs_path (request) + sizeof streams_path - 1;
  bool post = strcmp (hs_method (request), "POST") == 0;
  struct ls_stream *stream;

  if (service->faults.outage && service->faults.silent)
    {
      da_hold (service->silent, request);
      return;
    }
  if (service->faults.outage)
    {
      service->counters.refused++;
      ja_error (request, 503, "outage", "The log is not available.");
      return;
    }
  stream = ls_open (service->store, name);
  if (post)
    append (service, request, name, stream);
  else
    read_stream (service, request, stream);
}

static void
on_request (void *ctx, struct hs_request *request)
{
  struct lo_service *service = ctx;

  if (g_str_has_prefix (hs_path (request), streams_path))
    serve_stream (service, request);
  else if (ja_is (request, "POST", "/control"))
    control (service, request);
  else if (ja_is (request, "GET", "/control"))
    show_counters (service, request);
  else
    ja_error (request, 404, "not_found", "There is no such call.");
}

int
lo_create (struct lo_service **out, const struct lo_params *params)
{
  struct lo_service *service = g_new0 (struct lo_service, 1);
  struct hs_params server = { .loop = params->loop,
                              .address = params->address,
                              .port = params->port,
                              .connection_limit = CONNECTION_LIMIT,
                              .body_limit_bytes = RECORD_LIMIT_BYTES,
                              .receive_timeout_ms = RECEIVE_TIMEOUT_MS,
                              .handler = on_request,
                              .ctx = service };
  int error;

  service->params = *params;
  service->store = ls_create ();
  service->delayed = da_create (params->loop);
  service->silent = da_create (params->loop);
  g_queue_init (&service->waits);
  tb_init (&service->bucket, params->appends_per_s, ev_now (params->loop));
  error = hs_create (&service->server, &server);
  if (error != HS_OK)
    {
      lo_free (service);
      return error;
    }
  *out = service;
  return HS_OK;
}

void
lo_free (struct lo_service *service)
{
  if (service == NULL)
    return;
  service->faults.silent = false;
  interrupt_readers (service);
  da_free (service->delayed);
  da_free (service->silent);
  hs_free (service->server);
  ls_free (service->store);
  g_free (service);
}

uint16_t
lo_port (const struct lo_service *service)
{
  return hs_port (service->server);
}
