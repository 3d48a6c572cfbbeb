/* Shared by tests of foxtailgap-hostd: a fake store that keeps each call until
   the test answers it.  */

#ifndef FT_HOSTD_STORE_FIXTURE_H
#define FT_HOSTD_STORE_FIXTURE_H

#include <string.h>

#include "store/store_port.h"

enum
{
  APPENDS_MAX = 64
};

struct fake_store
{
  so_append_callback appended[APPENDS_MAX]; /* NULL: already answered */
  void *append_ctx[APPENDS_MAX];
  struct so_writer writers[APPENDS_MAX]; /* name NULL: unconditional */
  GPtrArray *records[APPENDS_MAX];       /* struct so_record: copies */
  uint32_t append_count;
  uint32_t append_records; /* in all appends */
  so_read_callback jobs_read;
  void *jobs_ctx;
  so_read_callback workers_read;
  void *workers_ctx;
  uint32_t jobs_wait_ms; /* of the last read () of topic "jobs" */
  /* Of any other topic: the operator's configuration.  */
  so_read_callback operator_read;
  void *operator_ctx;
  uint32_t operator_wait_ms;    /* of the last read () */
  uint32_t operator_timeout_ms; /* the same */
};

static inline void
fake_store_append (void *ctx, const char *topic, const GPtrArray *records,
                   const struct so_writer *writer, uint32_t timeout_ms,
                   so_append_callback callback, void *callback_ctx)
{
  struct fake_store *store = ctx;

  guint i;

  (void)topic;
  (void)timeout_ms;
  if (writer != NULL)
    store->writers[store->append_count] = *writer;
  store->records[store->append_count] = so_records_create ();
  for (i = 0; i < records->len; i++)
    {
      const struct so_record *record = g_ptr_array_index (records, i);

      g_ptr_array_add (
          store->records[store->append_count],
          so_record_create (record->key, record->value, record->size_bytes));
    }
  store->appended[store->append_count] = callback;
  store->append_ctx[store->append_count] = callback_ctx;
  store->append_count++;
  store->append_records += records->len;
}

static inline void
fake_store_keep_read (struct fake_store *store, const char *topic,
                      so_read_callback callback, void *callback_ctx)
{
  if (strcmp (topic, "jobs") == 0)
    {
      store->jobs_read = callback;
      store->jobs_ctx = callback_ctx;
    }
  else if (strcmp (topic, "workers") == 0)
    {
      store->workers_read = callback;
      store->workers_ctx = callback_ctx;
    }
  else
    {
      store->operator_read = callback;
      store->operator_ctx = callback_ctx;
    }
}

static inline void
fake_store_read (void *ctx, const char *topic, int64_t from, uint32_t wait_ms,
                 uint32_t timeout_ms, so_read_callback callback,
                 void *callback_ctx)
{
  struct fake_store *store = ctx;

  (void)from;
  if (strcmp (topic, "jobs") == 0)
    store->jobs_wait_ms = wait_ms;
  if (strcmp (topic, "operator") == 0)
    {
      store->operator_wait_ms = wait_ms;
      store->operator_timeout_ms = timeout_ms;
    }
  fake_store_keep_read (ctx, topic, callback, callback_ctx);
}

static inline void
fake_store_newest (void *ctx, const char *topic, const char *after_key,
                   uint32_t timeout_ms, so_read_callback callback,
                   void *callback_ctx)
{
  (void)after_key;
  (void)timeout_ms;
  fake_store_keep_read (ctx, topic, callback, callback_ctx);
}

static inline void
fake_store_clear (struct fake_store *store)
{
  uint32_t i;

  for (i = 0; i < store->append_count; i++)
    g_ptr_array_free (store->records[i], TRUE);
}

static inline struct so_port
fake_store_port (struct fake_store *store)
{
  return (struct so_port){ .ctx = store,
                           .append = fake_store_append,
                           .read = fake_store_read,
                           .read_newest = fake_store_newest };
}

#endif
