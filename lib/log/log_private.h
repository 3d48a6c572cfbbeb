/* Internals of the log client, shared by the files of this folder.  */

#ifndef FT_LOG_PRIVATE_H
#define FT_LOG_PRIVATE_H

#include <glib.h>

#include "log/log_client.h"

enum
{
  LOG_RECORD_LIMIT_BYTES = 1024 * 1024, /* of one record, packed as a batch */
  LOG_BATCH_SIZE_BYTES = 256 * 1024,    /* of an append of several records */
  LOG_ID_SIZE_BYTES = 16,
  LOG_ANSWER_LIMIT_BYTES = 64 * 1024,     /* answer to an append */
  LOG_READ_LIMIT_BYTES = 4 * 1024 * 1024, /* answer to a read */
  LOG_READ_LIMIT_RECORDS
  = 128,                 /* of one read; halved after HC_ERR_TOO_LARGE */
  LOG_RETRY_MIN_MS = 50, /* bounds of the delay, see log_retry_ms () */
  LOG_RETRY_MAX_MS = 1000,
  LOG_READ_GAP_MS = 5, /* delay after a read that brought records */
  LOG_CONNECT_TIMEOUT_MS = 500
};

/* A record that was given to log_append (), until log_settle () is called for
   it or its deadline has passed.  */
struct log_entry
{
  uint8_t id[LOG_ID_SIZE_BYTES];
  uint8_t *packed; /* a batch of this record; batches may be joined */
  size_t size_bytes;
  int64_t deadline_ms;          /* monotonic */
  GSequenceIter *deadline_iter; /* in log_client.deadlines */
  GList link;                   /* in log_client.waiting, if is_waiting */
  bool is_waiting;
  bool in_flight;         /* part of the append that is not answered yet */
  bool maybe_written;     /* an earlier append of it may have taken effect */
  bool removed_in_flight; /* removed while in flight; freed after the call */
  void (*on_failed) (void *ctx, const uint8_t id[16], int error);
  void *ctx;
};

struct log_client
{
  struct log_params params;
  char *url; /* of the stream */
  /* Appends.  */
  GHashTable *entries;        /* id -> struct log_entry */
  GSequence *deadlines;       /* struct log_entry, earliest deadline first */
  GQueue waiting;             /* struct log_entry, in the order of sending */
  GPtrArray *in_flight_batch; /* struct log_entry of the append in flight */
  struct hc_call *append_call;
  uint64_t append_call_number;
  double rate_per_s;        /* limit of the appends, see adapt_rate () */
  int64_t rate_changed_ms;  /* monotonic; when rate_per_s was adapted */
  int64_t send_after_ms;    /* monotonic; no append is sent before */
  uint32_t append_failures; /* in a row */
  ev_timer commit_timer;    /* starts the next append */
  ev_timer deadline_timer;  /* for the earliest deadline */
  /* Reads.  */
  struct hc_call *read_call;
  uint64_t read_call_number;
  uint64_t next_offset;   /* of the next append to be read */
  uint64_t oldest_offset; /* that the log keeps */
  uint32_t read_limit_records;
  uint32_t read_failures; /* in a row */
  bool paused;            /* no reads until log_seek () */
  ev_timer read_timer;    /* starts the next read */
  /* Health.  */
  bool up;
  bool ever_failed;
  uint64_t calls_started;
  uint64_t newest_failure_call_number; /* value of calls_started at the newest
                                          failure */
  struct log_stats stats;
};

/* The decoded answer to one read.  */
struct log_answer
{
  uint64_t first; /* oldest offset that the log keeps */
  uint64_t next;  /* offset of the next append to the log */
  struct log_stored_append *items;
  size_t item_count;
};

/* One append of the stream, as a read returned it.  */
struct log_stored_append
{
  uint64_t offset;
  int64_t time_ms;
  uint8_t *data;
  size_t size_bytes;
};

/*! log_answer_parse () :
 *  @return : LOG_OK or LOG_ERR_INVALID; the caller clears *out in both. */
int log_answer_parse (struct log_answer *out, const char *json,
                      size_t size_bytes);
void log_answer_clear (struct log_answer *answer);

void log_appends_init (struct log_client *client);
void log_appends_clear (struct log_client *client);
void log_reads_init (struct log_client *client);
void log_reads_clear (struct log_client *client);

/*! log_call_started (), log_call_succeeded (), log_call_failed () :
 *  Track the health of the log, and report changes to the owner.  The log
 *  counts as up once a call has succeeded that was started after the newest
 *  failure; the success of an older call says nothing about the time since.
 *  @number : what log_call_started () returned for the call.
 *  @what : the call, for the log line; @why : the error, for the log line. */
uint64_t log_call_started (struct log_client *client);
void log_call_succeeded (struct log_client *client, uint64_t number);
void log_call_failed (struct log_client *client, const char *what,
                      const char *why);

/*! log_retry_ms () :
 *  @return : the delay before the next attempt after that many failures in
 *            a row.  Each failure doubles it, from LOG_RETRY_MIN_MS up to
 *            LOG_RETRY_MAX_MS; a random part of up to a half is then taken
 *            off, so that clients do not retry at the same time. */
uint32_t log_retry_ms (uint32_t failures);
int64_t log_now_ms (void); /* monotonic */
void log_timer_start (struct log_client *client, ev_timer *timer,
                      int64_t delay_ms);

#endif
