/* Internals of the log client, shared by the files of this folder.  */

#ifndef FT_LOG_PRIVATE_H
#define FT_LOG_PRIVATE_H

#include <glib.h>

#include "log/log_client.h"

enum
{
  LOG_RECORD_LIMIT_BYTES = 1024 * 1024, /* of one append */
  LOG_BATCH_SIZE_BYTES = 256 * 1024,    /* aimed at, for many records */
  LOG_ID_SIZE_BYTES = 16,
  LOG_ANSWER_LIMIT_BYTES = 64 * 1024,     /* to an append */
  LOG_READ_LIMIT_BYTES = 4 * 1024 * 1024, /* one answer to a read */
  LOG_READ_LIMIT_RECORDS = 128,           /* at first, see TOO_LARGE */
  LOG_RETRY_MIN_MS = 50,
  LOG_RETRY_MAX_MS = 1000,
  LOG_READ_GAP_MS = 5, /* between reads that bring records */
  LOG_CONNECT_TIMEOUT_MS = 500
};

/* One record until it has been read back or its deadline has passed.  */
struct log_entry
{
  uint8_t id[LOG_ID_SIZE_BYTES];
  uint8_t *batch; /* a batch of just this record; batches may be joined */
  size_t size_bytes;
  int64_t deadline_ms;     /* monotonic */
  GSequenceIter *deadline; /* in log_client.deadlines */
  GList link;              /* in log_client.waiting, unless in_flight */
  bool is_waiting;
  bool in_flight;
  bool maybe_taken; /* an append of it may have taken effect */
  bool done;        /* its fate was told while in flight */
  void (*failed) (void *ctx, const uint8_t id[16], int error);
  void *ctx;
};

struct log_client
{
  struct log_params params;
  char *url; /* of the stream */
  /* appends */
  GHashTable *entries;  /* id -> struct log_entry */
  GSequence *deadlines; /* struct log_entry by deadline */
  GQueue waiting;       /* struct log_entry, to be sent in this order */
  GPtrArray *batch;     /* struct log_entry of the append in flight */
  struct hc_call *append_call;
  uint64_t append_number;
  double rate_per_s;        /* of appends, see adapt_rate () */
  int64_t rate_ms;          /* when it was adapted */
  int64_t send_after_ms;    /* monotonic; no append before */
  uint32_t append_failures; /* in a row */
  ev_timer commit;
  ev_timer deadline;
  /* reads */
  struct hc_call *read_call;
  uint64_t read_number;
  uint64_t position;
  uint64_t first;
  uint32_t read_limit_records;
  uint32_t read_failures; /* in a row */
  bool paused;            /* until log_seek () */
  ev_timer read_delay;
  /* health */
  bool up;
  bool ever_failed;
  uint64_t calls_started;
  uint64_t failed_at; /* calls_started at the newest failure */
  struct log_stats stats;
};

/* What one read brought.  */
struct log_answer
{
  uint64_t first;
  uint64_t next;
  struct log_item *items;
  size_t item_count;
};

struct log_item
{
  uint64_t offset;
  int64_t time_ms;
  uint8_t *data;
  size_t size_bytes;
};

/*! log_answer_parse () :
 *  @return : LOG_OK, or LOG_ERR_INVALID; *out is to be cleared in both
 *            cases. */
int log_answer_parse (struct log_answer *out, const char *json,
                      size_t size_bytes);
void log_answer_clear (struct log_answer *answer);

void log_appends_init (struct log_client *client);
void log_appends_clear (struct log_client *client);
void log_reads_init (struct log_client *client);
void log_reads_clear (struct log_client *client);

/*! log_call_started (), log_call_succeeded (), log_call_failed () :
 *  Keep the health: the log is up after a call that was started after the
 *  newest failure has succeeded. */
uint64_t log_call_started (struct log_client *client);
void log_call_succeeded (struct log_client *client, uint64_t number);
void log_call_failed (struct log_client *client, const char *what,
                      const char *why);

/*! log_retry_ms () :
 *  @return : how long to wait after that many failures in a row, with a
 *            random part. */
uint32_t log_retry_ms (uint32_t failures);
int64_t log_now_ms (void);
void log_timer_start (struct log_client *client, ev_timer *timer,
                      int64_t delay_ms);

#endif
