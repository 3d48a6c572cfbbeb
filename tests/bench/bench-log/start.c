/* Time in which a host starts from the whole log, and from a snapshot and the
   records after it.  */

#include <stdio.h>
#include <stdlib.h>

#include "bench.h"
#include "log/log_client.h"
#include "log/snapshot_stream.h"

enum
{
  TIMEOUT_MS = 10000,
  POLL_WAIT_MS = 1000,
  RECORDS_PER_APPEND = 30,    /* as from group commit under load */
  CLAIMS_PER_TAIL_CLAIM = 50, /* 1 of 50 claims follows the snapshot */
  STARTS_PER_MEDIAN = 5,
  US_PER_MS = 1000
};

static const char stream[] = "start";
static const char snapshot_stream[] = "start.snapshot";

struct bench
{
  const struct be_run *run;
  struct st_state *state;
  struct log_client *log;
  struct snap_stream *snapshots;
  bool posted;
  bool caught_up;
};

/* ===== Filling the log ======================================== */

static void
on_posted (void *ctx, const struct hc_response *response)
{
  struct bench *bench = ctx;

  bench->posted = response->status == 201;
  ev_break (bench->run->loop, EVBREAK_ALL);
}

static void
append_batch (struct bench *bench, struct be_batch *batch)
{
  char url[256];
  GBytes *bytes = be_batch_pack_and_clear (batch);
  struct hc_request request = { .method = "POST",
                                .url = url,
                                .timeout_ms = TIMEOUT_MS,
                                .connect_timeout_ms = TIMEOUT_MS,
                                .response_limit_bytes = 4096,
                                .callback = on_posted,
                                .ctx = bench };

  request.body = g_bytes_get_data (bytes, &request.body_size_bytes);
  g_snprintf (url, sizeof url, "%s/streams/%s", bench->run->url, stream);
  hc_send (bench->run->http, &request, NULL);
  ev_run (bench->run->loop, 0);
  g_bytes_unref (bytes);
  if (!bench->posted)
    {
      fprintf (stderr, "bench-log: the log does not take records\n");
      exit (1);
    }
}

/* Appends the key claims FROM to TO - 1 with their ends, one append after the
   other.  */
static void
append_claims (struct bench *bench, uint32_t from, uint32_t to)
{
  struct be_batch *batch = be_batch_new ();
  uint32_t i;

  for (i = from; i < to; i++)
    {
      be_batch_claim (batch, i);
      be_batch_claim_end (batch, i);
      if (i % (RECORDS_PER_APPEND / 2) == 0 || i + 1 == to)
        append_batch (bench, batch);
    }
  be_batch_free (batch);
}

/* ===== Starting =============================================== */

static void
on_record (void *ctx, uint64_t offset, int64_t time_ms, const uint8_t *data,
           size_t size_bytes)
{
  st_apply (((struct bench *)ctx)->state, offset, time_ms, data, size_bytes);
}

static void
on_caught_up (void *ctx, uint64_t next)
{
  struct bench *bench = ctx;

  (void)next;
  bench->caught_up = true;
  ev_break (bench->run->loop, EVBREAK_ALL);
}

static void
on_read (void *ctx, int error, uint64_t offset, const uint8_t *data,
         size_t size_bytes)
{
  struct bench *bench = ctx;

  (void)offset;
  if (error == SNAP_OK)
    st_decode (bench->state, data, size_bytes);
  log_seek (bench->log, st_next_offset (bench->state));
}

static void
on_written (void *ctx, int error, uint64_t offset)
{
  struct bench *bench = ctx;

  (void)error;
  (void)offset;
  ev_break (bench->run->loop, EVBREAK_ALL);
}

static void
open_host (struct bench *bench)
{
  struct log_params log = { .loop = bench->run->loop,
                            .http = bench->run->http,
                            .url = bench->run->url,
                            .stream = stream,
                            .timeout_ms = TIMEOUT_MS,
                            .poll_wait_ms = POLL_WAIT_MS,
                            .start_paused = true,
                            .on_append = on_record,
                            .on_caught_up = on_caught_up,
                            .ctx = bench };
  struct snap_params snap = { .loop = bench->run->loop,
                              .http = bench->run->http,
                              .url = bench->run->url,
                              .stream = snapshot_stream,
                              .timeout_ms = TIMEOUT_MS,
                              .on_read = on_read,
                              .on_written = on_written,
                              .ctx = bench };

  st_create (&bench->state, NULL, bench->run->outcome_window_ms);
  log_create (&bench->log, &log);
  snap_create (&bench->snapshots, &snap);
}

static void
close_host (struct bench *bench)
{
  log_free (bench->log);
  snap_free (bench->snapshots);
  st_free (bench->state);
}

static double
start_host_ms (struct bench *bench, bool from_snapshot)
{
  int64_t started_us = g_get_monotonic_time ();

  open_host (bench);
  bench->caught_up = false;
  if (from_snapshot)
    snap_read (bench->snapshots, 0);
  else
    log_seek (bench->log, 0);
  while (!bench->caught_up)
    ev_run (bench->run->loop, 0);
  return (double)(g_get_monotonic_time () - started_us) / US_PER_MS;
}

static double
median_start_ms (struct bench *bench, bool from_snapshot)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int64_t time_us;
  double median_ms;
  int i;

  for (i = 0; i < STARTS_PER_MEDIAN; i++)
    {
      time_us = (int64_t)(start_host_ms (bench, from_snapshot) * US_PER_MS);
      g_array_append_val (times, time_us);
      close_host (bench);
    }
  median_ms = (double)be_percentile (times, 0.5) / US_PER_MS;
  g_array_free (times, TRUE);
  return median_ms;
}

static size_t
write_snapshot (struct bench *bench)
{
  uint8_t *data = NULL;
  size_t size_bytes = 0;

  start_host_ms (bench, false);
  st_encode (bench->state, &data, &size_bytes);
  snap_write (bench->snapshots, st_next_offset (bench->state), false, data,
              size_bytes);
  ev_run (bench->run->loop, 0);
  free (data);
  close_host (bench);
  return size_bytes;
}

json_t *
be_measure_start (const struct be_run *run)
{
  struct bench bench = { .run = run };
  uint32_t claims = run->records / 2;
  uint32_t tail = claims / CLAIMS_PER_TAIL_CLAIM;
  size_t snapshot_bytes;
  double whole_log_start_ms;
  double snapshot_start_ms;

  append_claims (&bench, 0, claims - tail);
  snapshot_bytes = write_snapshot (&bench);
  append_claims (&bench, claims - tail, claims);
  whole_log_start_ms = median_start_ms (&bench, false);
  snapshot_start_ms = median_start_ms (&bench, true);
  return json_pack ("{s:i,s:i,s:I,s:f,s:f}", "records", (int)run->records,
                    "tail_records", (int)(2 * tail), "snapshot_bytes",
                    (json_int_t)snapshot_bytes, "whole_log_ms",
                    whole_log_start_ms, "snapshot_and_tail_ms",
                    snapshot_start_ms);
}
