/* Several hosts submit jobs through one log: time from a submission to its
   verdict, and the appends and bytes of the log.  */

#include <string.h>

#include "bench.h"
#include "log/log_client.h"

enum
{
  TIMEOUT_MS = 2000,
  COMMIT_DELAY_MS = 10,
  POLL_WAIT_MS = 1000,
  APPEND_DEADLINE_MS = 10000,
  DRAIN_MS = 3000, /* wait for verdicts after the last submission */
  TICK_MS = 1,
  US_PER_MS = 1000,
  US_PER_S = 1000000,
  OUTCOME_WINDOW_MS = 3600 * 1000
};

struct host
{
  struct bench *bench;
  struct log_client *log;
  struct st_state *state;
};

struct bench
{
  const struct be_run *run;
  struct host *hosts;
  GHashTable *started; /* record id -> int64_t, submission time in us */
  GArray *took_us;
  uint32_t submitted;
  uint32_t wanted;
  uint32_t failed;
  uint32_t invalid;
  int64_t start_us;
  int64_t end_us;
  ev_timer tick;
};

static guint
id_hash (gconstpointer id)
{
  guint hash;

  memcpy (&hash, id, sizeof hash);
  return hash;
}

static gboolean
id_equal (gconstpointer left, gconstpointer right)
{
  return memcmp (left, right, ST_ID_SIZE_BYTES) == 0;
}

static void
on_verdict (void *ctx, const uint8_t id[ST_ID_SIZE_BYTES],
            enum st_verdict verdict)
{
  struct host *host = ctx;
  struct bench *bench = host->bench;
  const int64_t *started;
  int64_t took_us;

  /* Every host reports every verdict; the time is measured at the host that
     submitted, which the last byte of the id names.  */
  if (id[ST_ID_SIZE_BYTES - 1] != (uint8_t)(host - bench->hosts))
    return;
  log_settle (host->log, id);
  started = g_hash_table_lookup (bench->started, id);
  if (started == NULL)
    return;
  bench->invalid += verdict != ST_VERDICT_VALID;
  took_us = g_get_monotonic_time () - *started;
  g_array_append_val (bench->took_us, took_us);
  g_hash_table_remove (bench->started, id);
}

static void
on_record (void *ctx, uint64_t offset, int64_t time_ms, const uint8_t *data,
           size_t size_bytes)
{
  st_apply (((struct host *)ctx)->state, offset, time_ms, data, size_bytes);
}

static void
on_failed (void *ctx, const uint8_t id[16], int error)
{
  (void)id;
  (void)error;
  ((struct host *)ctx)->bench->failed++;
}

static void
submit_next (struct bench *bench)
{
  uint32_t index = bench->submitted % bench->run->hosts;
  struct host *host = &bench->hosts[index];
  struct be_batch *batch = be_batch_new ();
  Ft__Record **records;
  size_t count;
  int64_t *started = g_new (int64_t, 1);

  be_batch_submit (batch, bench->submitted++, 1);
  records = be_batch_records (batch, &count);
  records[0]->id.data[ST_ID_SIZE_BYTES - 1] = (uint8_t)index;
  *started = g_get_monotonic_time ();
  g_hash_table_insert (bench->started,
                       g_memdup2 (records[0]->id.data, ST_ID_SIZE_BYTES),
                       started);
  log_append (host->log, records[0], APPEND_DEADLINE_MS, on_failed, host);
  be_batch_free (batch);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct bench *bench = watcher->data;
  int64_t now_us = g_get_monotonic_time ();
  uint32_t due = (uint32_t)((now_us - bench->start_us) * bench->run->rate_per_s
                            / US_PER_S);

  (void)events;
  while (bench->submitted < MIN (due, bench->wanted))
    submit_next (bench);
  if (now_us > bench->end_us
      || (bench->wanted > 0 && bench->submitted == bench->wanted
          && g_hash_table_size (bench->started) == 0))
    ev_break (loop, EVBREAK_ALL);
}

static void
open_host (struct bench *bench, struct host *host)
{
  struct st_observer observer = { .on_verdict = on_verdict, .ctx = host };
  struct log_params params = { .loop = bench->run->loop,
                               .http = bench->run->http,
                               .url = bench->run->url,
                               .stream = "submits",
                               .timeout_ms = TIMEOUT_MS,
                               .commit_delay_ms = COMMIT_DELAY_MS,
                               .poll_wait_ms = POLL_WAIT_MS,
                               .on_append = on_record,
                               .ctx = host };

  host->bench = bench;
  st_create (&host->state, &observer, OUTCOME_WINDOW_MS);
  log_create (&host->log, &params);
}

static json_t *
report (struct bench *bench, int64_t took_us, int64_t cpu_us)
{
  struct log_stats all = { 0 };
  struct log_stats one;
  double seconds = (double)took_us / US_PER_S;
  uint32_t i;

  for (i = 0; i < bench->run->hosts; i++)
    {
      log_stats (bench->hosts[i].log, &one);
      all.appends += one.appends;
      all.refused += one.refused;
      all.unknown += one.unknown;
      all.reads += one.reads;
      all.read_bytes += one.read_bytes;
      all.write_bytes += one.write_bytes;
    }
  return json_pack (
      "{s:i,s:i,s:f,s:i,s:i,s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f}",
      "submitted", (int)bench->submitted, "folded", (int)bench->took_us->len,
      "seconds", seconds, "failed", (int)bench->failed, "invalid",
      (int)bench->invalid, "unresolved",
      (int)g_hash_table_size (bench->started), "p50_ms",
      (double)be_percentile (bench->took_us, 0.5) / US_PER_MS, "p99_ms",
      (double)be_percentile (bench->took_us, 0.99) / US_PER_MS, "max_ms",
      (double)be_percentile (bench->took_us, 1.0) / US_PER_MS, "appends_per_s",
      (double)(all.appends - all.refused) / seconds, "refused_per_s",
      (double)all.refused / seconds, "reads_per_s",
      (double)all.reads / seconds, "read_bytes_per_s_and_host",
      (double)all.read_bytes / seconds / bench->run->hosts,
      "write_bytes_per_s_and_host",
      (double)all.write_bytes / seconds / bench->run->hosts,
      "cpu_percent_per_host",
      100.0 * (double)cpu_us / (double)took_us / bench->run->hosts);
}

json_t *
be_measure_submits (const struct be_run *run)
{
  struct bench bench = { .run = run };
  int64_t cpu_us;
  json_t *result;
  uint32_t i;

  bench.hosts = g_new0 (struct host, run->hosts);
  bench.started = g_hash_table_new_full (id_hash, id_equal, g_free, g_free);
  bench.took_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (i = 0; i < run->hosts; i++)
    open_host (&bench, &bench.hosts[i]);
  bench.wanted = run->rate_per_s * run->seconds;
  bench.start_us = g_get_monotonic_time ();
  bench.end_us = bench.start_us + ((int64_t)run->seconds * US_PER_S)
                 + (int64_t)DRAIN_MS * US_PER_MS;
  if (run->rate_per_s == 0)
    bench.end_us -= (int64_t)DRAIN_MS * US_PER_MS;
  cpu_us = be_cpu_us ();
  ev_timer_init (&bench.tick, on_tick, 0.0, TICK_MS / 1000.0);
  bench.tick.data = &bench;
  ev_timer_start (run->loop, &bench.tick);
  ev_run (run->loop, 0);
  ev_timer_stop (run->loop, &bench.tick);
  result = report (&bench, g_get_monotonic_time () - bench.start_us,
                   be_cpu_us () - cpu_us);
  for (i = 0; i < run->hosts; i++)
    {
      log_free (bench.hosts[i].log);
      st_free (bench.hosts[i].state);
    }
  g_free (bench.hosts);
  g_hash_table_destroy (bench.started);
  g_array_free (bench.took_us, TRUE);
  return result;
}
