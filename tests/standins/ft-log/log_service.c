/* HTTP service that stands in for the platform's log.  */

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
  /* Data in one answer, which has at least one record of any size.  */
  READ_LIMIT_BYTES = 1024 * 1024,
  READ_LIMIT_RECORDS = 1000,
  CONNECTION_LIMIT = 800,
  RECEIVE_TIMEOUT_MS = 60000,
  MS_PER_S = 1000
};

static const char streams_path[] = "/streams/";
static const char source_name[] = "log";

/* Counts since the start, which GET /control shows.  */
struct counters
{
  uint64_t appends;
  uint64_t reads;
  uint64_t bytes;   /* of records appended and read */
  uint64_t refused; /* by the rate limit or in an outage */
};

struct lo_service
{
  struct lo_params params;
  struct hs_server *server;
  struct ls_store *store;
  struct da_queue *delayed_answers; /* by slow_ms */
  struct da_queue *unanswered;      /* requests of a silent outage */
  struct tb_bucket bucket;
  struct lf_faults faults;
  struct counters counters;
  int64_t last_time_ms; /* of the last append or read; never decreases */
  GQueue waiting_reads; /* struct waiting_read * */
};

/* A read at the end of a stream, which waits for the next record.  */
struct waiting_read
{
  GList link; /* in service->waiting_reads */
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
  service->last_time_ms = MAX (service->last_time_ms, sn_now_ms ());
  return service->last_time_ms;
}

static void
respond (struct lo_service *service, struct hs_request *request,
         unsigned int status, json_t *value)
{
  da_respond (service->delayed_answers, service->faults.slow_ms, request,
              status, value);
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

  for (offset = from;
       offset < ls_next_offset (stream) && offset - from < limit; offset++)
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
  json_t *answer;

  ls_expire (stream, &service->params.retention, log_time_ms (service));
  answer
      = json_pack ("{s:I,s:I}", "first", (json_int_t)ls_first_offset (stream),
                   "next", (json_int_t)ls_next_offset (stream));
  if (from < ls_first_offset (stream))
    {
      json_object_set_new (answer, "error", json_string ("expired"));
      json_object_set_new (
          answer, "message",
          json_string ("The records at this offset have expired."));
      respond (service, request, 410, answer);
      return;
    }
  json_object_set_new (answer, "records",
                       records_json (service, stream, from, limit));
  respond (service, request, 200, answer);
}

static void
waiting_read_free (struct waiting_read *waiting_read)
{
  ev_timer_stop (waiting_read->service->params.loop, &waiting_read->timer);
  g_queue_unlink (&waiting_read->service->waiting_reads, &waiting_read->link);
  g_free (waiting_read);
}

static void
on_waiting_read_gone (void *ctx)
{
  waiting_read_free (ctx);
}

static void
waiting_read_answer (struct waiting_read *waiting_read)
{
  respond_records (waiting_read->service, waiting_read->request,
                   waiting_read->stream, waiting_read->from,
                   waiting_read->limit);
  waiting_read_free (waiting_read);
}

static void
on_waiting_read_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  waiting_read_answer (watcher->data);
}

static void
waiting_read_create (struct lo_service *service, struct hs_request *request,
                     struct ls_stream *stream, uint64_t from, uint64_t limit,
                     uint64_t wait_ms)
{
  struct waiting_read *waiting_read = g_new0 (struct waiting_read, 1);

  waiting_read->service = service;
  waiting_read->request = request;
  waiting_read->stream = stream;
  waiting_read->from = from;
  waiting_read->limit = limit;
  waiting_read->link.data = waiting_read;
  ev_timer_init (&waiting_read->timer, on_waiting_read_timeout,
                 (ev_tstamp)wait_ms / MS_PER_S, 0.0);
  waiting_read->timer.data = waiting_read;
  ev_timer_start (service->params.loop, &waiting_read->timer);
  g_queue_push_tail_link (&service->waiting_reads, &waiting_read->link);
  hs_on_disconnect (request, on_waiting_read_gone, waiting_read);
}

static void
answer_waiting_reads (struct lo_service *service,
                      const struct ls_stream *stream)
{
  struct waiting_read *waiting_read;
  GList *link;
  GList *next;

  for (link = service->waiting_reads.head; link != NULL; link = next)
    {
      next = link->next;
      waiting_read = link->data;
      if (waiting_read->stream == stream
          && waiting_read->from < ls_next_offset (stream))
        waiting_read_answer (waiting_read);
    }
}

/* Applies an outage that begins to the reads that wait for a record: their
   connections are closed, or stay without an answer in a silent outage.  */
static void
interrupt_waiting_reads (struct lo_service *service)
{
  struct waiting_read *waiting_read;

  while (!g_queue_is_empty (&service->waiting_reads))
    {
      waiting_read = g_queue_peek_head (&service->waiting_reads);
      if (service->faults.silent)
        da_keep_unanswered (service->unanswered, waiting_read->request);
      else
        hs_close_without_response (waiting_read->request);
      waiting_read_free (waiting_read);
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
handle_read (struct lo_service *service, struct hs_request *request,
             struct ls_stream *stream)
{
  uint64_t from = query_number (request, "from", 0);
  uint64_t wait_ms = query_number (request, "wait_ms", 0);
  uint64_t limit = query_number (request, "limit", READ_LIMIT_RECORDS);

  service->counters.reads++;
  limit = MIN (limit, READ_LIMIT_RECORDS);
  if (wait_ms > 0 && from >= ls_next_offset (stream))
    waiting_read_create (service, request, stream, from, limit, wait_ms);
  else
    respond_records (service, request, stream, from, limit);
}

/* --- Appends --- */

static void
refuse_over_rate (struct lo_service *service, struct hs_request *request)
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
record_append (const struct lo_service *service, const char *name,
               uint64_t offset, size_t size_bytes, bool answered)
{
  hf_write (service->params.history, source_name, "append",
            json_pack ("{s:s,s:I,s:I,s:b}", "stream", name, "offset",
                       (json_int_t)offset, "bytes", (json_int_t)size_bytes,
                       "answered", (int)answered));
}

static void
handle_append (struct lo_service *service, struct hs_request *request,
               const char *name, struct ls_stream *stream)
{
  size_t size_bytes;
  const char *body = hs_body (request, &size_bytes);
  int64_t now_ms = log_time_ms (service);
  enum lf_answer answer;
  uint64_t offset;

  if (!tb_take_token (&service->bucket, ev_now (service->params.loop)))
    {
      refuse_over_rate (service, request);
      return;
    }
  offset = ls_append (stream, body, size_bytes, now_ms);
  service->counters.appends++;
  service->counters.bytes += size_bytes;
  answer = lf_choose_answer (&service->faults, service->params.random);
  record_append (service, name, offset, size_bytes,
                 answer == LF_ANSWER_NORMAL);
  if (answer == LF_ANSWER_LOST)
    hs_close_without_response (request);
  else if (answer == LF_ANSWER_ERROR)
    ja_respond_error (request, 500, "internal", "The log has met an error.");
  else
    respond (service, request, 201,
             json_pack ("{s:I,s:I}", "offset", (json_int_t)offset, "time_ms",
                        (json_int_t)now_ms));
  answer_waiting_reads (service, stream);
  ls_expire (stream, &service->params.retention, now_ms);
}

/* --- Control --- */

static void
handle_control (struct lo_service *service, struct hs_request *request)
{
  struct ls_retention *retention = &service->params.retention;
  json_t *command = ja_parse_body (request);

  if (command == NULL)
    return;
  lf_apply_command (&service->faults, command);
  retention->record_limit
      = ja_number (command, "retention_records", retention->record_limit);
  retention->age_limit_ms
      = ja_number (command, "retention_ms", retention->age_limit_ms);
  if (service->faults.outage)
    interrupt_waiting_reads (service);
  else
    da_drop_all (service->unanswered);
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
      da_keep_unanswered (service->unanswered, request);
      return;
    }
  if (service->faults.outage)
    {
      service->counters.refused++;
      ja_respond_error (request, 503, "outage", "The log is not available.");
      return;
    }
  stream = ls_open (service->store, name);
  if (post)
    handle_append (service, request, name, stream);
  else
    handle_read (service, request, stream);
}

static void
on_request (void *ctx, struct hs_request *request)
{
  struct lo_service *service = ctx;

  if (g_str_has_prefix (hs_path (request), streams_path))
    serve_stream (service, request);
  else if (ja_is_call (request, "POST", "/control"))
    handle_control (service, request);
  else if (ja_is_call (request, "GET", "/control"))
    show_counters (service, request);
  else
    ja_respond_error (request, 404, "not_found", "There is no such call.");
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
  service->delayed_answers = da_create (params->loop);
  service->unanswered = da_create (params->loop);
  g_queue_init (&service->waiting_reads);
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
  interrupt_waiting_reads (service);
  da_free (service->delayed_answers);
  da_free (service->unanswered);
  hs_free (service->server);
  ls_free (service->store);
  g_free (service);
}

uint16_t
lo_port (const struct lo_service *service)
{
  return hs_port (service->server);
}
