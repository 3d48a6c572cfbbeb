/* Bytes, memory and processor time per job, task, claim, team and record.  */

#include <malloc.h>
#include <stdlib.h>
#include <time.h>

#include "bench.h"

enum
{
  COUNT = 4000, /* objects over which a slope is taken */
  GANG = 8,
  TEAMS = 320,
  DAY_MS = 24 * 3600 * 1000,
  RECENT_WINDOW_MS = 120 * 1000, /* ids of records are kept that long */
  US_PER_S = 1000000,
  NS_PER_US = 1000
};

int64_t
be_cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

size_t
be_heap_bytes (void)
{
  return mallinfo2 ().uordblks;
}

size_t
be_snapshot_bytes (const struct st_state *state)
{
  uint8_t *data = NULL;
  size_t size_bytes = 0;

  st_encode (state, &data, &size_bytes);
  free (data);
  return size_bytes;
}

static gint
compare_numbers (gconstpointer left, gconstpointer right)
{
  const int64_t *a = left;
  const int64_t *b = right;

  return (*a > *b) - (*a < *b);
}

int64_t
be_percentile (GArray *values, double share)
{
  guint i;

  if (values->len == 0)
    return -1;
  g_array_sort (values, compare_numbers);
  i = (guint)((double)(values->len - 1) * share);
  return g_array_index (values, int64_t, i);
}

/* Adds the records of one object.  */
typedef void (*add_fn) (struct be_batch *batch, uint32_t number);

static void
add_queued (struct be_batch *batch, uint32_t number)
{
  be_batch_submit (batch, number, 1);
}

static void
add_running_of (struct be_batch *batch, uint32_t number, uint32_t tasks)
{
  be_batch_submit (batch, number, tasks);
  be_batch_place (batch, number, tasks);
  be_batch_start (batch, number);
}

static void
add_running_1 (struct be_batch *batch, uint32_t number)
{
  add_running_of (batch, number, 1);
}

static void
add_running_gang (struct be_batch *batch, uint32_t number)
{
  add_running_of (batch, number, 1 + GANG);
}

static void
add_finished_gang (struct be_batch *batch, uint32_t number)
{
  uint32_t i;

  add_running_of (batch, number, 1 + GANG);
  for (i = 0; i < 1 + GANG; i++)
    be_batch_task_end (batch, number, i);
}

static void
add_open_claim (struct be_batch *batch, uint32_t number)
{
  be_batch_claim (batch, number);
}

static void
add_done_claim (struct be_batch *batch, uint32_t number)
{
  be_batch_claim (batch, number);
  be_batch_claim_end (batch, number);
}

static void
fold (struct st_state *state, struct be_batch *batch, int64_t time_ms)
{
  GBytes *bytes = be_batch_take (batch);

  st_apply (state, st_next_offset (state), time_ms,
            g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
}

struct slope
{
  double snapshot_bytes;
  double heap_bytes;
  double fold_us; /* of all records of one object */
  double id_heap_bytes;
  double id_bytes; /* in the snapshot, of one record's id while it is kept */
};

/* The ids of the records are let go before the snapshot is measured, and
   counted apart.  */
static struct slope
measure (add_fn add)
{
  struct be_batch *batch = be_batch_new ();
  struct st_state *state;
  struct slope slope = { 0 };
  size_t records = 0;
  size_t added;
  size_t with_ids;
  size_t heap_with_ids;
  size_t heap;
  size_t base;
  int64_t cpu_us = 0;
  int64_t started_us;
  uint32_t i;

  st_create (&state, NULL, DAY_MS);
  be_batch_term (batch);
  fold (state, batch, 1);
  base = be_snapshot_bytes (state);
  heap = be_heap_bytes ();
  for (i = 0; i < COUNT; i++)
    {
      add (batch, i);
      be_batch_records (batch, &added);
      records += added;
      started_us = be_cpu_us ();
      fold (state, batch, 2);
      cpu_us += be_cpu_us () - started_us;
    }
  with_ids = be_snapshot_bytes (state);
  heap_with_ids = be_heap_bytes ();
  fold (state, batch, 2 + RECENT_WINDOW_MS);
  slope.id_heap_bytes
      = (double)(heap_with_ids - be_heap_bytes ()) / (double)records;
  slope.heap_bytes = (double)(be_heap_bytes () - heap) / COUNT;
  slope.snapshot_bytes = (double)(be_snapshot_bytes (state) - base) / COUNT;
  slope.fold_us = (double)cpu_us / COUNT;
  slope.id_bytes
      = (double)(with_ids - be_snapshot_bytes (state)) / (double)records;
  st_free (state);
  be_batch_free (batch);
  return slope;
}

static json_t *
slope_json (const struct slope *slope)
{
  return json_pack ("{s:f,s:f,s:f}", "snapshot_bytes", slope->snapshot_bytes,
                    "heap_bytes", slope->heap_bytes, "fold_us",
                    slope->fold_us);
}

/* All kept revisions hold a document of that many teams.  */
static size_t
config_bytes (uint32_t teams)
{
  struct be_batch *batch = be_batch_new ();
  struct st_state *state;
  size_t size_bytes;
  uint64_t i;

  st_create (&state, NULL, DAY_MS);
  for (i = 0; i < ST_REVISION_LIMIT; i++)
    {
      be_batch_config (batch, i, teams);
      fold (state, batch, 1);
    }
  fold (state, batch, 1 + RECENT_WINDOW_MS);
  size_bytes = be_snapshot_bytes (state);
  st_free (state);
  be_batch_free (batch);
  return size_bytes;
}

/* Processor time of a snapshot of COUNT gangs, each way.  */
static json_t *
measure_coding (void)
{
  struct be_batch *batch = be_batch_new ();
  struct st_state *state;
  struct st_state *copy;
  uint8_t *data = NULL;
  size_t size_bytes = 0;
  int64_t encode_us;
  int64_t decode_us;
  uint32_t i;

  st_create (&state, NULL, DAY_MS);
  st_create (&copy, NULL, DAY_MS);
  be_batch_term (batch);
  for (i = 0; i < COUNT; i++)
    {
      add_running_gang (batch, i);
      fold (state, batch, 1);
    }
  encode_us = be_cpu_us ();
  st_encode (state, &data, &size_bytes);
  encode_us = be_cpu_us () - encode_us;
  decode_us = be_cpu_us ();
  st_decode (copy, data, size_bytes);
  decode_us = be_cpu_us () - decode_us;
  free (data);
  st_free (state);
  st_free (copy);
  be_batch_free (batch);
  return json_pack ("{s:I,s:I,s:I}", "bytes", (json_int_t)size_bytes,
                    "encode_us", (json_int_t)encode_us, "decode_us",
                    (json_int_t)decode_us);
}

json_t *
be_slopes (void)
{
  struct slope queued = measure (add_queued);
  struct slope running = measure (add_running_1);
  struct slope gang = measure (add_running_gang);
  struct slope finished = measure (add_finished_gang);
  struct slope open = measure (add_open_claim);
  struct slope done = measure (add_done_claim);
  struct slope task
      = { .snapshot_bytes
          = (gang.snapshot_bytes - running.snapshot_bytes) / GANG,
          .heap_bytes = (gang.heap_bytes - running.heap_bytes) / GANG,
          .fold_us = (gang.fold_us - running.fold_us) / GANG };
  size_t teams_bytes = config_bytes (TEAMS) - config_bytes (1);
  double team = (double)teams_bytes / (TEAMS - 1);

  return json_pack (
      "{s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:f,s:f,s:f,s:o}", "queued_job",
      slope_json (&queued), "running_job_of_1", slope_json (&running),
      "running_job_of_9", slope_json (&gang), "finished_job_of_9",
      slope_json (&finished), "running_task", slope_json (&task), "open_claim",
      slope_json (&open), "done_claim", slope_json (&done), "recent_id_bytes",
      queued.id_bytes, "recent_id_heap_bytes", queued.id_heap_bytes,
      "team_bytes_in_all_documents", team, "snapshot_of_gangs",
      measure_coding ());
}
