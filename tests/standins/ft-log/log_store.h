/* Streams of records with offsets and limited retention.  Prefix: ls_.  */

#ifndef FT_LOG_STORE_H
#define FT_LOG_STORE_H

#include <stddef.h>
#include <stdint.h>

struct ls_store;
struct ls_stream;

struct ls_record
{
  int64_t time_ms;
  size_t size_bytes;
  uint8_t data[];
};

/* 0: no limit.  */
struct ls_retention
{
  uint64_t records; /* of each stream */
  uint64_t ms;
};

struct ls_store *ls_create (void);
void ls_free (struct ls_store *store);

/*! ls_open () :
 *  @return : the stream of that name, which is created if it is new. */
struct ls_stream *ls_open (struct ls_store *store, const char *name);

/*! ls_append () :
 *  @return : the record's offset. */
uint64_t ls_append (struct ls_stream *stream, const void *data,
                    size_t size_bytes, int64_t time_ms);

/*! ls_expire () :
 *  Deletes the oldest records, as far as the retention does not keep them. */
void ls_expire (struct ls_stream *stream, const struct ls_retention *retention,
                int64_t now_ms);

/*! ls_first (), ls_next () :
 *  @return : the oldest offset that is kept, and that of the next record. */
uint64_t ls_first (const struct ls_stream *stream);
uint64_t ls_next (const struct ls_stream *stream);

/*! ls_get () :
 *  @offset : from ls_first () to below ls_next (). */
const struct ls_record *ls_get (const struct ls_stream *stream,
                                uint64_t offset);

#endif
