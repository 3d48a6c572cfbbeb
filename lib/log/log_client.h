/* Client of the platform's log: appends by group commit, follows a stream by
   pull, resolves appends whose answer was lost by reading.  Prefix: log_.  */

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
  LOG_ERR_DOWN = -2,    /* the log did not take it: nothing was written */
  LOG_ERR_UNKNOWN = -3, /* it may yet appear in the stream */
  LOG_ERR_TOO_LARGE = -4,
  LOG_ERR_EXPIRED = -5,
  LOG_ERR_INVALID = -6, /* an answer that cannot be understood */
};

struct log_client;

struct log_params
{
  struct ev_loop *loop;
  struct hc_client *http;
  const char *url;
  const char *stream;
  uint32_t timeout_ms;   /* of one call */
  uint32_t commit_ms;    /* records gathered for one append */
  uint32_t poll_wait_ms; /* long poll */
  uint64_t from;         /* first offset to read */
  bool paused;           /* reading starts by log_seek () */
  /* One append of the stream, in order, none left out.  */
  void (*record) (void *ctx, uint64_t offset, int64_t time_ms,
                  const uint8_t *data, size_t size_bytes);
  /* The wanted offset has expired; FIRST is the oldest kept.  Reading goes
     on after log_seek ().  */
  void (*expired) (void *ctx, uint64_t first, uint64_t next);
  /* All that the log held when it was asked has been read.  */
  void (*caught_up) (void *ctx, uint64_t next);
  /* The log answers again, or no more.  */
  void (*health) (void *ctx, bool up);
  void *ctx;
};

int log_create (struct log_client **out, const struct log_params *params);
void log_free (struct log_client *client);

/*! log_append () :
 *  Puts a record into the next append, and sends it again while it is not
 *  known whether it took effect.  That it did is seen by reading the stream
 *  (see st_observer.verdict) and told to the client by log_settle ().
 *  @deadline_ms : from now; after this the record is not sent any more and
 *                 the failed callback is called once, with LOG_ERR_DOWN if it
 *                 never took effect and never will, with LOG_ERR_UNKNOWN if
 *                 it may have or yet may. */
int log_append (struct log_client *client, const Ft__Record *record,
                uint32_t deadline_ms,
                void (*failed) (void *ctx, const uint8_t id[16], int error),
                void *ctx);

/*! log_settle () :
 *  The record of that id has been read: it is not sent any more, and its
 *  failed callback is not called. */
void log_settle (struct log_client *client, const uint8_t id[16]);

/*! log_flush () :
 *  Starts the next append at once if none is in flight. */
void log_flush (struct log_client *client);

/*! log_seek () :
 *  Goes on reading from OFFSET. */
void log_seek (struct log_client *client, uint64_t offset);
bool log_is_up (const struct log_client *client);
uint64_t log_next (const struct log_client *client);

/*! log_first () :
 *  @return : the oldest offset that the log kept at the newest read. */
uint64_t log_first (const struct log_client *client);

/* Counters since log_create ().  */
struct log_stats
{
  uint64_t appends;     /* calls */
  uint64_t records;     /* sent in them */
  uint64_t refused;     /* appends that the log refused for certain */
  uint64_t unknown;     /* appends whose answer was lost */
  uint64_t reads;       /* calls */
  uint64_t read_bytes;  /* of answers */
  uint64_t write_bytes; /* of batches */
};

void log_stats (const struct log_client *client, struct log_stats *stats);

#endif
