/* Streams of records with offsets and limited retention.  */

#include "log_store.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

enum
{
  COMPACT_MIN_RECORDS = 64 /* below this, expired entries stay in the array */
};

struct ls_store
{
  GHashTable *streams; /* char * to struct ls_stream * */
};

struct ls_stream
{
  GPtrArray *records; /* struct ls_record *; first EXPIRED ones: NULL */
  guint expired;
  uint64_t base; /* offset of records[0] */
};

static void
stream_free (gpointer data)
{
  struct ls_stream *stream = data;

  g_ptr_array_free (stream->records, TRUE);
  g_free (stream);
}

struct ls_store *
ls_create (void)
{
  struct ls_store *store = g_new0 (struct ls_store, 1);

  store->streams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stream_free);
  return store;
}

void
ls_free (struct ls_store *store)
{
  if (store == NULL)
    return;
  g_hash_table_destroy (store->streams);
  g_free (store);
}

struct ls_stream *
ls_open (struct ls_store *store, const char *name)
{
  struct ls_stream *stream = g_hash_table_lookup (store->streams, name);

  if (stream != NULL)
    return stream;
  stream = g_new0 (struct ls_stream, 1);
  stream->records = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (store->streams, g_strdup (name), stream);
  return stream;
}

uint64_t
ls_append (struct ls_stream *stream, const void *data, size_t size_bytes,
           int64_t time_ms)
{
  struct ls_record *record = g_malloc (sizeof *record + size_bytes);

  record->time_ms = time_ms;
  record->size_bytes = size_bytes;
  memcpy (record->data, data, size_bytes);
  g_ptr_array_add (stream->records, record);
  return ls_next_offset (stream) - 1;
}

static void
expire_first (struct ls_stream *stream)
{
  g_free (stream->records->pdata[stream->expired]);
  stream->records->pdata[stream->expired] = NULL;
  stream->expired++;
}

static bool
keeps_first (const struct ls_stream *stream,
             const struct ls_retention *retention, int64_t now_ms)
{
  const struct ls_record *record
      = g_ptr_array_index (stream->records, stream->expired);

  if (retention->record_limit > 0
      && stream->records->len - stream->expired > retention->record_limit)
    return false;
  return retention->age_limit_ms == 0
         || now_ms - record->time_ms <= (int64_t)retention->age_limit_ms;
}

void
ls_expire (struct ls_stream *stream, const struct ls_retention *retention,
           int64_t now_ms)
{
  while (stream->expired < stream->records->len
         && !keeps_first (stream, retention, now_ms))
    expire_first (stream);
  if (stream->expired < COMPACT_MIN_RECORDS
      || stream->expired < stream->records->len / 2)
    return;
  g_ptr_array_remove_range (stream->records, 0, stream->expired);
  stream->base += stream->expired;
  stream->expired = 0;
}

uint64_t
ls_first_offset (const struct ls_stream *stream)
{
  return stream->base + stream->expired;
}

uint64_t
ls_next_offset (const struct ls_stream *stream)
{
  return stream->base + stream->records->len;
}

const struct ls_record *
ls_get (const struct ls_stream *stream, uint64_t offset)
{
  return g_ptr_array_index (stream->records, offset - stream->base);
}
