/* The holder of the planner term writes snapshots.  A host loads the newest
   one if the log has expired records that the host has not read.  If records
   have expired before any snapshot held them, the host that has folded the
   most records writes a rescue snapshot.  */

#include "state_snapshots.h"

#include <glib.h>
#include <stdlib.h>

#include "common/logging.h"

enum
{
  US_PER_MS = 1000,
  MS_PER_S = 1000,
  WRITE_BYTES_PER_S = 8 * 1024, /* average rate of writing snapshots */
  IDLE_INTERVALS = 8, /* between snapshots while the state does not change */
  RETRY_MS = 1000,    /* after a load or a write that failed */
  RESCUE_HOLDER_MS = 2000, /* the term's holder waits this long for a snapshot
                              that reaches the oldest record */
  RESCUE_OTHER_MS = 10000, /* other hosts wait this long, */
  RESCUE_SPREAD_MS = 5000  /* and up to this much more, at random */
};

struct ssn_keeper
{
  struct ssn_params params;
  char *stream_name;
  struct snap_stream *stream;
  /* Writing.  */
  bool is_holder;
  bool write_due;
  bool log_up;
  int64_t down_since_ms;
  uint64_t written_offset;     /* of the newest snapshot by this host */
  uint64_t log_first_at_write; /* oldest offset in the log then */
  int64_t written_ms;
  size_t written_bytes;
  int64_t encode_us;
  ev_timer write_timer;
  /* Loading.  */
  bool is_loading;
  uint64_t required_offset;   /* the state must reach it for loading to end */
  int64_t uncovered_since_ms; /* since when no snapshot reaches
                                 required_offset; 0: not the case */
  uint32_t rescue_after_ms;
  uint64_t members_offset; /* highest offset of the live hosts */
  ev_timer retry_timer;
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / US_PER_MS;
}

static void
start_timer (struct ssn_keeper *keeper, ev_timer *timer, uint32_t delay_ms)
{
  ev_timer_stop (keeper->params.loop, timer);
  ev_timer_set (timer, (double)delay_ms / MS_PER_S, 0.0);
  ev_timer_start (keeper->params.loop, timer);
}

/* ===== Writing ================================================ */

static void
write_snapshot (struct ssn_keeper *keeper, uint64_t offset, bool rescue)
{
  int64_t started_us = g_get_monotonic_time ();
  uint8_t *data = NULL;
  size_t size_bytes = 0;

  if (st_encode_at (keeper->params.state, offset, &data, &size_bytes) != ST_OK)
    return;
  keeper->encode_us = g_get_monotonic_time () - started_us;
  keeper->log_first_at_write = log_oldest_offset (keeper->params.log);
  if (snap_write (keeper->stream, offset, rescue, data, size_bytes) == SNAP_OK)
    {
      keeper->write_due = false;
      keeper->written_bytes = size_bytes;
      mt_set (keeper->params.metrics, "foxtailgap_snapshot_bytes",
              (int64_t)size_bytes);
    }
  free (data);
}

/* Whether the log has expired a third of the records that it had before the
   newest snapshot when that was written.  */
static bool
retention_approaches (const struct ssn_keeper *keeper)
{
  uint64_t distance = keeper->written_offset - keeper->log_first_at_write;

  if (keeper->written_offset < keeper->log_first_at_write)
    return true;
  return log_oldest_offset (keeper->params.log)
         > keeper->log_first_at_write + distance / 3;
}

/* Large snapshots are written less often, to keep to WRITE_BYTES_PER_S.  */
static int64_t
interval_ms (const struct ssn_keeper *keeper)
{
  int64_t budget_ms
      = (int64_t)keeper->written_bytes * MS_PER_S / WRITE_BYTES_PER_S;

  return MAX (keeper->params.settings->snapshot_interval_ms, budget_ms);
}

static bool
is_write_due (const struct ssn_keeper *keeper)
{
  int64_t age_ms = now_ms () - keeper->written_ms;

  if (keeper->write_due)
    return true;
  if (st_next_offset (keeper->params.state) == keeper->written_offset)
    return age_ms >= interval_ms (keeper) * IDLE_INTERVALS;
  return age_ms >= interval_ms (keeper) || retention_approaches (keeper);
}

static void
write_if_due (struct ssn_keeper *keeper)
{
  uint64_t offset = st_next_offset (keeper->params.state);

  if (!keeper->is_holder || !keeper->log_up || keeper->is_loading
      || offset == 0 || snap_is_writing (keeper->stream)
      || !is_write_due (keeper))
    return;
  write_snapshot (keeper, offset, false);
}

static void
on_write_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct ssn_keeper *keeper = watcher->data;

  (void)loop;
  (void)events;
  write_if_due (keeper);
  start_timer (keeper, &keeper->write_timer,
               keeper->params.settings->snapshot_interval_ms);
}

static void
on_written (void *ctx, int error, uint64_t offset)
{
  struct ssn_keeper *keeper = ctx;

  if (error != SNAP_OK)
    {
      lg_warning ("state", "A snapshot could not be written; will retry.",
                  "offset", lg_number ((long long)offset), NULL);
      keeper->write_due = true;
      start_timer (keeper, &keeper->write_timer, RETRY_MS);
      return;
    }
  keeper->written_offset = offset;
  keeper->written_ms = now_ms ();
  mt_add (keeper->params.metrics, "foxtailgap_snapshots", 1);
  lg_info ("state", "A snapshot has been written.", "offset",
           lg_number ((long long)offset), "encode_us",
           lg_number (keeper->encode_us), NULL);
}

void
ssn_set_term_holder (struct ssn_keeper *keeper, bool mine)
{
  if (mine && !keeper->is_holder)
    keeper->write_due = true;
  keeper->is_holder = mine;
}

void
ssn_set_log_up (struct ssn_keeper *keeper, bool up)
{
  int64_t down_ms = now_ms () - keeper->down_since_ms;

  if (up == keeper->log_up)
    return;
  keeper->log_up = up;
  if (!up)
    keeper->down_since_ms = now_ms ();
  else if (down_ms >= keeper->params.settings->snapshot_interval_ms)
    keeper->write_due = true;
  write_if_due (keeper);
}

void
ssn_on_caught_up (struct ssn_keeper *keeper)
{
  write_if_due (keeper);
}

/* ===== Loading ================================================ */

static bool
load_snapshot (struct ssn_keeper *keeper, const uint8_t *data,
               size_t size_bytes)
{
  struct st_state *state = keeper->params.state;
  uint64_t before = st_next_offset (state);
  int error = st_decode (state, data, size_bytes);

  if (error != ST_OK)
    {
      lg_error ("state", "A snapshot was rejected.", "error",
                error == ST_ERR_WOULD_REVERT
                    ? "it is older in term or configuration"
                    : "its bytes are not valid",
                NULL);
      return false;
    }
  if (st_next_offset (state) == before)
    return true;
  lg_info ("state", "A snapshot has been loaded.", "offset",
           lg_number ((long long)st_next_offset (state)), "bytes",
           lg_number ((long long)size_bytes), NULL);
  keeper->params.replaced (keeper->params.ctx);
  return true;
}

void
ssn_accept_from_peer (struct ssn_keeper *keeper, const uint8_t *data,
                      size_t size_bytes)
{
  /* Otherwise the reader gets the newer records from the log.  */
  if (!keeper->is_loading)
    return;
  load_snapshot (keeper, data, size_bytes);
}

static bool
may_rescue (const struct ssn_keeper *keeper)
{
  uint64_t offset = st_next_offset (keeper->params.state);
  uint32_t after_ms
      = keeper->is_holder ? RESCUE_HOLDER_MS : keeper->rescue_after_ms;

  return offset > 0 && offset >= keeper->members_offset
         && !snap_is_writing (keeper->stream)
         && now_ms () - keeper->uncovered_since_ms >= after_ms;
}

/* The newest snapshot ends before the log's oldest record.  */
static void
wait_for_snapshot (struct ssn_keeper *keeper)
{
  if (keeper->uncovered_since_ms == 0)
    {
      keeper->uncovered_since_ms = now_ms ();
      keeper->rescue_after_ms
          = RESCUE_OTHER_MS
            + (uint32_t)g_random_int_range (0, RESCUE_SPREAD_MS);
      lg_error ("state",
                "The log expired records before a snapshot held them.",
                "offset",
                lg_number ((long long)st_next_offset (keeper->params.state)),
                "first", lg_number ((long long)keeper->required_offset), NULL);
    }
  if (may_rescue (keeper))
    {
      lg_error ("state",
                "A rescue snapshot is written without the expired records.",
                "first", lg_number ((long long)keeper->required_offset), NULL);
      write_snapshot (keeper, keeper->required_offset, true);
    }
  start_timer (keeper, &keeper->retry_timer, RETRY_MS);
}

static void
on_read (void *ctx, int error, uint64_t offset, const uint8_t *data,
         size_t size_bytes)
{
  struct ssn_keeper *keeper = ctx;

  (void)offset;
  if (error != SNAP_OK && error != SNAP_ERR_NOT_FOUND)
    {
      start_timer (keeper, &keeper->retry_timer, RETRY_MS);
      return;
    }
  if (error == SNAP_OK)
    load_snapshot (keeper, data, size_bytes);
  if (st_next_offset (keeper->params.state) < keeper->required_offset)
    {
      wait_for_snapshot (keeper);
      return;
    }
  keeper->is_loading = false;
  keeper->uncovered_since_ms = 0;
  keeper->params.loaded (keeper->params.ctx);
}

static void
on_retry_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct ssn_keeper *keeper = watcher->data;

  (void)loop;
  (void)events;
  if (snap_read (keeper->stream, keeper->required_offset) != SNAP_OK)
    start_timer (keeper, &keeper->retry_timer, RETRY_MS);
}

void
ssn_load (struct ssn_keeper *keeper, uint64_t first)
{
  keeper->is_loading = true;
  keeper->required_offset = first;
  start_timer (keeper, &keeper->retry_timer, 0);
}

void
ssn_set_members (struct ssn_keeper *keeper, const struct msg_members *members)
{
  size_t i;

  keeper->members_offset = 0;
  for (i = 0; i < members->member_count; i++)
    keeper->members_offset
        = MAX (keeper->members_offset, members->members[i].next_offset);
}

/* ===== Create and free ======================================== */

struct ssn_keeper *
ssn_create (const struct ssn_params *params)
{
  struct ssn_keeper *keeper = g_new0 (struct ssn_keeper, 1);
  struct snap_params snap = { .loop = params->loop,
                              .http = params->http,
                              .url = params->settings->log_url,
                              .timeout_ms = params->settings->log_timeout_ms,
                              .on_written = on_written,
                              .on_read = on_read,
                              .ctx = keeper };

  keeper->params = *params;
  keeper->stream_name
      = g_strdup_printf ("%s.snapshot", params->settings->stream);
  snap.stream = keeper->stream_name;
  ev_init (&keeper->write_timer, on_write_timer);
  keeper->write_timer.data = keeper;
  ev_init (&keeper->retry_timer, on_retry_timer);
  keeper->retry_timer.data = keeper;
  if (snap_create (&keeper->stream, &snap) != SNAP_OK)
    {
      ssn_free (keeper);
      return NULL;
    }
  start_timer (keeper, &keeper->write_timer,
               params->settings->snapshot_interval_ms);
  return keeper;
}

void
ssn_free (struct ssn_keeper *keeper)
{
  if (keeper == NULL)
    return;
  ev_timer_stop (keeper->params.loop, &keeper->write_timer);
  ev_timer_stop (keeper->params.loop, &keeper->retry_timer);
  snap_free (keeper->stream);
  g_free (keeper->stream_name);
  g_free (keeper);
}
