/* Streams of records with offsets and limited retention.  Prefix: ls_.  */

#ifndef FT_LOG_STORE_H
#define FT_LOG_STORE_H

#include <stddef.h>
#include <stdint.h>

struct ls_store;
struct ls_stream;

struct ls_record
{
  int64_t time_ms; /* of the append, since 1970 */
  size_t size_bytes;
  uint8_t data[];
};

/* Records that are kept; 0: no limit.  */
struct ls_retention
{
  uint64_t record_limit; /* of each stream */
  uint64_t age_limit_ms;
};

struct ls_store *ls_create (void);
void ls_free (struct ls_store *store);

/*! ls_open () :
 *  @return : the stream of that name, owned by the store; it is created if it
 *  does not exist. */
struct ls_stream *ls_open (struct ls_store *store, const char *name);

/*! ls_append () :
 *  Appends a copy of DATA as one record.
 *  @return : the record's offset. */
uint64_t ls_append (struct ls_stream *stream, const void *data,
                    size_t size_bytes, int64_t time_ms);

/*! ls_expire () :
 *  Deletes the oldest records that are beyond the limits of RETENTION. */
void ls_expire (struct ls_stream *stream, const struct ls_retention *retention,
                int64_t now_ms);

/*! ls_first_offset (), ls_next_offset () :
 *  @return : the offset of the oldest record that is kept; the offset that the
 *  next record will get.  Both are equal if no record is kept. */
uint64_t ls_first_offset (const struct ls_stream *stream);
uint64_t ls_next_offset (const struct ls_stream *stream);

/*! ls_get () :
 *  @offset : from ls_first_offset () to below ls_next_offset ().
 *  @return : the record, owned by the stream until it expires. */
const struct ls_record *ls_get (const struct ls_stream *stream,
                                uint64_t offset);

#endif
