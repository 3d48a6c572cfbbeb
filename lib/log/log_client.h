/* Client of one stream of the platform's log.  It sends records in batches
   (group commit), follows the stream by long polls, and finds out by reading
   whether an append whose answer was lost took effect.  Prefix: log_.  */

#ifndef FT_LOG_CLIENT_H
#define FT_LOG_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http/http_client.h"
#include "proto/record.pb-c.h"

enum log_error
{
  LOG_OK = 0,
  LOG_ERR_MEMORY = -1,
  LOG_ERR_NOT_WRITTEN = -2, /* the record was not written and will not be */
  LOG_ERR_OUTCOME_UNKNOWN
  = -3, /* the record may be or become part of the log */
  LOG_ERR_TOO_LARGE = -4,
  LOG_ERR_EXPIRED = -5, /* not used; see log_params.on_expired */
  LOG_ERR_INVALID = -6, /* an undecodable answer, or a wrong record id */
};

struct log_client;

struct log_params
{
  struct ev_loop *loop;
  struct hc_client *http;
  const char *url;     /* base URL of the log, without the stream */
  const char *stream;  /* name; copied */
  uint32_t timeout_ms; /* of one call, without the wait of a long poll */
  uint32_t
      commit_delay_ms;   /* least time for which an append collects records */
  uint32_t poll_wait_ms; /* longest wait of a long poll */
  uint64_t first_offset; /* first offset to read */
  bool start_paused;     /* reading starts with the first log_seek () */
  /* Called for each append of the stream, in order and without gaps.  DATA
     may hold several records.  */
  void (*on_append) (void *ctx, uint64_t offset, int64_t time_ms,
                     const uint8_t *data, size_t size_bytes);
  /* The offset to be read has expired.  FIRST is the oldest offset that the
     log keeps, NEXT the offset of the next append.  Reading pauses until
     log_seek () is called.  */
  void (*on_expired) (void *ctx, uint64_t first, uint64_t next);
  /* All appends that the log held at the newest read have been delivered; NEXT
     is the offset of the append to be read next.  */
  void (*on_caught_up) (void *ctx, uint64_t next);
  /* The log has become available or unavailable.  */
  void (*on_health) (void *ctx, bool up);
  void *ctx;
};

int log_create (struct log_client **out, const struct log_params *params);
void log_free (struct log_client *client);

/*! log_append () :
 *  Adds a record to the next append, and sends it again until its outcome is
 *  known.  The caller reads the record back from the stream (see
 *  st_observer.on_verdict) and then calls log_settle ().
 *  @deadline_ms : a duration, from now.  After it the record is not sent any
 * more and FAILED, which may be NULL, is called once: with LOG_ERR_NOT_WRITTEN
 * if the record has not taken effect and never will, with
 * LOG_ERR_OUTCOME_UNKNOWN if it may have or still may.
 *  @return : LOG_OK; LOG_ERR_INVALID if the record's id does not have 16
 *            bytes; LOG_ERR_TOO_LARGE.  After an error FAILED
 *            is not called. */
int log_append (struct log_client *client, const Ft__Record *record,
                uint32_t deadline_ms,
                void (*failed) (void *ctx, const uint8_t id[16], int error),
                void *ctx);

/*! log_settle () :
 *  Says that the record with this id has been read back: it is not sent any
 *  more, and its failed callback is not called.  An unknown id is ignored. */
void log_settle (struct log_client *client, const uint8_t id[16]);

/*! log_flush () :
 *  Sends the queued records at once if no append is in flight. */
void log_flush (struct log_client *client);

/*! log_seek () :
 *  Cancels a read in flight and continues reading at OFFSET. */
void log_seek (struct log_client *client, uint64_t offset);
bool log_is_up (const struct log_client *client);

/*! log_next_offset () :
 *  @return : the offset of the next append to be read. */
uint64_t log_next_offset (const struct log_client *client);

/*! log_oldest_offset () :
 *  @return : the oldest offset that the log kept at the newest read. */
uint64_t log_oldest_offset (const struct log_client *client);

/* Counters since log_create ().  */
struct log_stats
{
  uint64_t appends;     /* calls that append */
  uint64_t records;     /* sent in those calls, repeats included */
  uint64_t refused;     /* appends that were certainly not written: not
                           connected, or answered 429 or 503 */
  uint64_t unknown;     /* appends that may have been written */
  uint64_t reads;       /* calls that read */
  uint64_t read_bytes;  /* bodies of their answers */
  uint64_t write_bytes; /* bodies of the appends */
};

void log_stats (const struct log_client *client, struct log_stats *stats);

#endif
