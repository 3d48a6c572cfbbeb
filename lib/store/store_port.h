/* What foxtailgap needs of a store: keyed logs with conditional writers.  A
   deployment's adapter implements the port; nothing else in the product knows
   how the store speaks.  Prefix: so_.  */

#ifndef FT_STORE_PORT_H
#define FT_STORE_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum so_result
{
  SO_DONE = 0,
  SO_REFUSED = -1, /* nothing was done; may be tried again */
  SO_UNKNOWN = -2, /* no answer: it may have been done, or be done later */
  SO_FENCED = -3,  /* the writer's epoch is superseded */
  SO_ORDER = -4,   /* the writer's sequence number does not follow */
  SO_EXPIRED = -5, /* the records wanted are gone */
  SO_FORMAT = -6,  /* an answer that cannot be read */
};

/*! so_result_name () :
 *  @return : a word for logs and metrics. */
const char *so_result_name (enum so_result result);

/* A record of a keyed topic.  */
struct so_record
{
  char *key;
  uint8_t *value; /* NULL: the key is dropped */
  size_t size_bytes;
  int64_t offset;
};

/* The writer of conditional appends.  */
struct so_writer
{
  const char *name;
  uint64_t epoch;
  uint64_t sequence;
};

struct so_append_answer
{
  enum so_result result;
  int64_t offset; /* of the first record */
  int64_t end;
};

struct so_read_answer
{
  enum so_result result;
  const GPtrArray *records; /* struct so_record, valid in the callback */
  int64_t next;             /* offset to go on from */
  bool more;                /* of so_newest: call again after the last key */
  bool waited;              /* there was nothing new for the whole wait */
  bool at_end;              /* nothing more stood in the topic */
};

typedef void (*so_append_callback) (void *ctx,
                                    const struct so_append_answer *answer);
typedef void (*so_read_callback) (void *ctx,
                                  const struct so_read_answer *answer);

struct so_port
{
  void *ctx;

  /*! append () :
   *  Appends KEYED records, all or nothing.
   *  @records : struct so_record; copied.
   *  @writer : NULL: without a condition. */
  void (*append) (void *ctx, const char *topic, const GPtrArray *records,
                  const struct so_writer *writer, uint32_t timeout_ms,
                  so_append_callback callback, void *callback_ctx);

  /*! read () :
   *  Reads from an offset on; waits at most wait_ms for the first record. */
  void (*read) (void *ctx, const char *topic, int64_t from, uint32_t wait_ms,
                uint32_t timeout_ms, so_read_callback callback,
                void *callback_ctx);

  /*! newest () :
   *  Reads the newest record of each key, after a key (NULL: the first). */
  void (*newest) (void *ctx, const char *topic, const char *after_key,
                  uint32_t timeout_ms, so_read_callback callback,
                  void *callback_ctx);
};

/*! so_record_create () :
 *  @value : copied; NULL drops the key.
 *  @return : to be freed by so_record_free (). */
struct so_record *so_record_create (const char *key, const void *value,
                                    size_t size_bytes);
void so_record_free (void *data);

/*! so_records_create () :
 *  @return : an empty list that frees its records. */
GPtrArray *so_records_create (void);

#endif
