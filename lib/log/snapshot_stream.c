/* Writes and reads snapshots.  A read starts with the last PAGE_RECORDS
   appends of the stream and goes back in steps, each twice as long as the
   former one, until the preferred snapshot is certain or the stream begins. */

#include "log/snapshot_stream.h"

#include <string.h>

#include "common/logging.h"
#include "log/log_private.h"
#include "proto/record.pb-c.h"

enum
{
  HTTP_OK = 200,
  HTTP_CREATED = 201,
  HTTP_GONE = 410,
  PART_ATTEMPT_LIMIT = 8, /* of one part, before the write fails */
  PAGE_RECORDS = 8,       /* asked for by one read call */
  PAGE_ANSWER_LIMIT_BYTES = 2 * 1024 * 1024,
  URL_SIZE_BYTES = 512
};

struct snap_stream
{
  struct snap_params params;
  char *url; /* of the stream */
  /* Writing.  */
  bool is_writing;
  GBytes *data;
  uint64_t offset;
  bool rescue;
  uint8_t id[LOG_ID_SIZE_BYTES];
  uint32_t part; /* number of the part in flight, from 0 */
  uint32_t parts;
  uint32_t attempts; /* failed attempts of this part */
  struct hc_call *write_call;
  ev_timer retry_timer;
  /* Reading.  */
  bool is_reading;
  uint64_t wanted_offset;         /* that the snapshot has to reach */
  struct snap_assembly *assembly; /* NULL until the bounds are known */
  struct hc_call *read_call;
  uint64_t oldest_offset; /* that the log keeps, by the newest bounds */
  uint64_t step_records;  /* length of the next step back */
  uint64_t step_start;    /* first offset of the current step */
  uint64_t step_end;      /* offset after the current step */
  uint64_t next_offset;   /* to read next in the current step */
};

/* ===== Writing ================================================ */

static void send_part (struct snap_stream *stream);

static void
end_write (struct snap_stream *stream, int error)
{
  stream->is_writing = false;
  g_bytes_unref (stream->data);
  stream->data = NULL;
  if (stream->params.on_written != NULL)
    stream->params.on_written (stream->params.ctx, error, stream->offset);
}

static void
retry_part (struct snap_stream *stream)
{
  if (++stream->attempts >= PART_ATTEMPT_LIMIT)
    {
      end_write (stream, SNAP_ERR_LOG_UNAVAILABLE);
      return;
    }
  ev_timer_set (&stream->retry_timer, log_retry_ms (stream->attempts) / 1000.0,
                0.0);
  ev_timer_start (stream->params.loop, &stream->retry_timer);
}

static void
on_retry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  send_part (watcher->data);
}

static void
on_part (void *ctx, const struct hc_response *response)
{
  struct snap_stream *stream = ctx;

  stream->write_call = NULL;
  if (response->error != HC_OK || response->status != HTTP_CREATED)
    {
      retry_part (stream);
      return;
    }
  stream->attempts = 0;
  stream->part++;
  if (stream->part < stream->parts)
    send_part (stream);
  else
    end_write (stream, SNAP_OK);
}

static uint8_t *
pack_part (const struct snap_stream *stream, size_t *size_bytes)
{
  Ft__SnapshotPart part = FT__SNAPSHOT_PART__INIT;
  size_t start = (size_t)stream->part * SNAP_PART_SIZE_BYTES;
  const uint8_t *data = g_bytes_get_data (stream->data, NULL);
  uint8_t *packed;

  part.id.data = (uint8_t *)stream->id;
  part.id.len = sizeof stream->id;
  part.offset = stream->offset;
  part.part = stream->part;
  part.parts = stream->parts;
  part.rescue = stream->rescue;
  part.data.data = (uint8_t *)data + start;
  part.data.len
      = MIN (SNAP_PART_SIZE_BYTES, g_bytes_get_size (stream->data) - start);
  *size_bytes = ft__snapshot_part__get_packed_size (&part);
  packed = g_malloc (*size_bytes);
  ft__snapshot_part__pack (&part, packed);
  return packed;
}

static void
send_part (struct snap_stream *stream)
{
  size_t size_bytes;
  uint8_t *packed = pack_part (stream, &size_bytes);
  struct hc_request request
      = { .method = "POST",
          .url = stream->url,
          .body = packed,
          .body_size_bytes = size_bytes,
          .timeout_ms = stream->params.timeout_ms,
          .connect_timeout_ms = stream->params.timeout_ms,
          .response_limit_bytes = LOG_ANSWER_LIMIT_BYTES,
          .callback = on_part,
          .ctx = stream };

  if (hc_send (stream->params.http, &request, &stream->write_call) != HC_OK)
    {
      stream->write_call = NULL;
      retry_part (stream);
    }
  g_free (packed);
}

int
snap_write (struct snap_stream *stream, uint64_t offset, bool rescue,
            const uint8_t *data, size_t size_bytes)
{
  guint32 word;
  size_t i;

  if (stream->is_writing)
    return SNAP_ERR_BUSY;
  if (size_bytes > (size_t)SNAP_PARTS_LIMIT * SNAP_PART_SIZE_BYTES)
    return SNAP_ERR_TOO_LARGE;
  stream->is_writing = true;
  stream->data = g_bytes_new (data, size_bytes);
  stream->offset = offset;
  stream->rescue = rescue;
  stream->part = 0;
  stream->attempts = 0;
  stream->parts = (uint32_t)MAX (
      (size_bytes + SNAP_PART_SIZE_BYTES - 1) / SNAP_PART_SIZE_BYTES, 1);
  for (i = 0; i < sizeof stream->id; i += sizeof word)
    {
      word = g_random_int ();
      memcpy (stream->id + i, &word, sizeof word);
    }
  send_part (stream);
  return SNAP_OK;
}

bool
snap_is_writing (const struct snap_stream *stream)
{
  return stream->is_writing;
}

/* ===== Reading ================================================ */

static void read_page (struct snap_stream *stream);

static void
end_read (struct snap_stream *stream, int error)
{
  struct snap_assembly *assembly = stream->assembly;
  const uint8_t *data = NULL;
  uint64_t offset = 0;
  size_t size_bytes = 0;

  stream->is_reading = false;
  stream->assembly = NULL;
  if (error == SNAP_OK)
    data = snap_assembly_best (assembly, &offset, &size_bytes);
  if (error == SNAP_OK && data == NULL)
    error = SNAP_ERR_NOT_FOUND;
  stream->params.on_read (stream->params.ctx, error, offset, data, size_bytes);
  snap_assembly_free (assembly);
}

static void
step_back (struct snap_stream *stream)
{
  stream->step_end = stream->step_start;
  stream->step_start
      -= MIN (stream->step_records, stream->step_end - stream->oldest_offset);
  stream->next_offset = stream->step_start;
  stream->step_records *= 2;
}

static void
end_step (struct snap_stream *stream)
{
  if (snap_assembly_is_final (stream->assembly, stream->wanted_offset)
      || stream->step_start == stream->oldest_offset)
    {
      end_read (stream, SNAP_OK);
      return;
    }
  step_back (stream);
  read_page (stream);
}

static void
handle_page (struct snap_stream *stream, const struct log_answer *answer)
{
  const struct log_stored_append *item;
  size_t i;

  for (i = 0; i < answer->item_count; i++)
    {
      item = &answer->items[i];
      if (item->offset < stream->next_offset
          || item->offset >= stream->step_end)
        continue;
      stream->next_offset = item->offset + 1;
      snap_assembly_add (stream->assembly, item->offset, item->data,
                         item->size_bytes);
    }
  if (answer->item_count == 0)
    stream->next_offset = stream->step_end;
  if (stream->next_offset < stream->step_end)
    read_page (stream);
  else
    end_step (stream);
}

/* The first answer is used only for the bounds of the stream.  An answer that
   says that offsets have expired meanwhile is used in the same way: the search
   starts again with its bounds.  */
static void
handle_bounds (struct snap_stream *stream, const struct log_answer *answer)
{
  snap_assembly_free (stream->assembly);
  stream->assembly = snap_assembly_new ();
  stream->oldest_offset = answer->first;
  stream->step_start = answer->next;
  stream->step_records = PAGE_RECORDS;
  step_back (stream);
  if (stream->step_start == stream->step_end)
    end_read (stream, SNAP_ERR_NOT_FOUND);
  else
    read_page (stream);
}

static void
on_page (void *ctx, const struct hc_response *response)
{
  struct snap_stream *stream = ctx;
  struct log_answer answer;

  stream->read_call = NULL;
  if (response->error != HC_OK
      || (response->status != HTTP_OK && response->status != HTTP_GONE))
    {
      end_read (stream, SNAP_ERR_LOG_UNAVAILABLE);
      return;
    }
  if (log_answer_parse (&answer, response->body, response->body_size_bytes)
      != LOG_OK)
    end_read (stream, SNAP_ERR_LOG_UNAVAILABLE);
  else if (stream->assembly == NULL || response->status == HTTP_GONE)
    handle_bounds (stream, &answer);
  else
    handle_page (stream, &answer);
  log_answer_clear (&answer);
}

static void
read_page (struct snap_stream *stream)
{
  bool bounds = stream->assembly == NULL;
  char url[URL_SIZE_BYTES];
  struct hc_request request
      = { .method = "GET",
          .url = url,
          .timeout_ms = stream->params.timeout_ms,
          .connect_timeout_ms = stream->params.timeout_ms,
          .response_limit_bytes = PAGE_ANSWER_LIMIT_BYTES,
          .callback = on_page,
          .ctx = stream };

  g_snprintf (url, sizeof url,
              "%s?from=%" G_GUINT64_FORMAT "&limit=%d&wait_ms=0", stream->url,
              bounds ? 0 : stream->next_offset, bounds ? 1 : PAGE_RECORDS);
  if (hc_send (stream->params.http, &request, &stream->read_call) != HC_OK)
    {
      stream->read_call = NULL;
      end_read (stream, SNAP_ERR_MEMORY);
    }
}

int
snap_read (struct snap_stream *stream, uint64_t wanted_offset)
{
  if (stream->is_reading)
    return SNAP_ERR_BUSY;
  stream->is_reading = true;
  stream->wanted_offset = wanted_offset;
  read_page (stream);
  return SNAP_OK;
}

bool
snap_is_reading (const struct snap_stream *stream)
{
  return stream->is_reading;
}

/* ===== Creation and release =================================== */

int
snap_create (struct snap_stream **out, const struct snap_params *params)
{
  struct snap_stream *stream = g_new0 (struct snap_stream, 1);

  stream->params = *params;
  stream->url = g_strdup_printf ("%s/streams/%s", params->url, params->stream);
  ev_init (&stream->retry_timer, on_retry);
  stream->retry_timer.data = stream;
  *out = stream;
  return SNAP_OK;
}

void
snap_free (struct snap_stream *stream)
{
  if (stream == NULL)
    return;
  ev_timer_stop (stream->params.loop, &stream->retry_timer);
  if (stream->write_call != NULL)
    hc_cancel (stream->write_call);
  if (stream->read_call != NULL)
    hc_cancel (stream->read_call);
  if (stream->data != NULL)
    g_bytes_unref (stream->data);
  snap_assembly_free (stream->assembly);
  g_free (stream->url);
  g_free (stream);
}
