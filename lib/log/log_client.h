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
 *  Puts a record into the next append.  Whether it took effect is seen by
 *  reading the stream; see st_observer.verdict.
 *  The failed callback tells that it never will (LOG_ERR_DOWN), once; it is
 *  not called while that is not known.
 *  @deadline_ms : after this the record is not sent any more. */
int log_append (struct log_client *client, const Ft__Record *record,
                uint32_t deadline_ms,
                void (*failed) (void *ctx, const uint8_t id[16], int error),
                void *ctx);

void log_seek (struct log_client *client, uint64_t offset);
bool log_is_up (const struct log_client *client);
uint64_t log_next (const struct log_client *client);

#endif
