/* The port to the store, which has topics of keyed records; an append may be
   conditional on its writer's epoch and sequence number.  A deployment's
   adapter implements it; nothing else in the product depends on the protocol
   of the store.  Prefix: so_.  */

#ifndef FT_STORE_PORT_H
#define FT_STORE_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The result of a call to the store.  */
enum so_result
{
  SO_DONE = 0,
  SO_REFUSED = -1, /* nothing was done; may be retried */
  SO_UNKNOWN = -2, /* no answer: it may have been done, or be done later */
  SO_FENCED = -3,  /* a writer with a higher epoch has taken over */
  SO_OUT_OF_SEQUENCE
  = -4,              /* the writer's sequence number is not the next one */
  SO_EXPIRED = -5,   /* the store no longer has the records at this offset */
  SO_MALFORMED = -6, /* an answer that cannot be read */
};

/*! so_result_name () :
 *  @return : one word for logs and metrics; static. */
const char *so_result_name (enum so_result result);

/* A record of a keyed topic.  */
struct so_record
{
  char *key;
  uint8_t *value; /* NULL: a tombstone, which removes the key */
  size_t size_bytes;
  int64_t offset; /* in the topic, of a record that was read */
};

/* The writer of conditional appends.  */
struct so_writer
{
  const char *name;
  uint64_t epoch;
  uint64_t sequence; /* of this append within the epoch */
};

struct so_append_answer
{
  enum so_result result;
  int64_t first_offset; /* of the first record */
  int64_t end_offset;   /* the offset after the last record */
};

struct so_read_answer
{
  enum so_result result;
  const GPtrArray *records; /* struct so_record, valid in the callback */
  int64_t next_offset;      /* the offset at which the next read starts */
  bool more_keys;    /* of reads by key: call again after the last key */
  bool wait_expired; /* no record came for the whole wait */
  bool at_end;       /* the topic had no further records */
};

typedef void (*so_append_callback) (void *ctx,
                                    const struct so_append_answer *answer);
typedef void (*so_read_callback) (void *ctx,
                                  const struct so_read_answer *answer);

struct so_port
{
  void *ctx;

  /*! append () :
   *  Appends keyed records, all or none of them.
   *  @records : struct so_record; copied.
   *  @writer : copied; the append takes place only if the epoch is the newest
   *            and the sequence number the next one.  NULL: unconditional. */
  void (*append) (void *ctx, const char *topic, const GPtrArray *records,
                  const struct so_writer *writer, uint32_t timeout_ms,
                  so_append_callback callback, void *callback_ctx);

  /*! read () :
   *  Reads records from the offset FROM on; waits at most WAIT_MS for the
   * first one. */
  void (*read) (void *ctx, const char *topic, int64_t from, uint32_t wait_ms,
                uint32_t timeout_ms, so_read_callback callback,
                void *callback_ctx);

  /*! read_newest () :
   *  Reads the newest record of each key, in the order of keys.
   *  @after_key : only keys after this one; NULL: from the first key on. */
  void (*read_newest) (void *ctx, const char *topic, const char *after_key,
                       uint32_t timeout_ms, so_read_callback callback,
                       void *callback_ctx);
};

/*! so_record_create () :
 *  @value : copied; NULL makes a tombstone, which removes the key.
 *  @return : to be freed by so_record_free (). */
struct so_record *so_record_create (const char *key, const void *value,
                                    size_t size_bytes);
/*! so_record_free () :
 *  @data : struct so_record. */
void so_record_free (void *data);

/*! so_records_create () :
 *  @return : an empty list that frees its records. */
GPtrArray *so_records_create (void);

#endif
