/* Slopes: snapshot bytes, heap bytes and processor time for each further job,
   task, key claim, team and record of the folded state.  */

#include <malloc.h>
#include <stdlib.h>
#include <time.h>

#include "bench.h"

enum
{
  OBJECT_COUNT = 4000, /* objects added to measure one slope */
  ADDED_TASKS = 8,     /* a gang has 8 tasks more than a single job */
  TEAMS = 320,
  DAY_MS = 24 * 3600 * 1000,
  RECENT_WINDOW_MS = 120 * 1000, /* how long ids of records are kept */
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
compare_int64 (gconstpointer left, gconstpointer right)
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
  g_array_sort (values, compare_int64);
  i = (guint)((double)(values->len - 1) * share);
  return g_array_index (values, int64_t, i);
}

/* Adds the records of object NUMBER to the batch.  */
typedef void (*add_fn) (struct be_batch *batch, uint32_t number);

static void
add_queued (struct be_batch *batch, uint32_t number)
{
  be_batch_submit (batch, number, 1);
}

static void
add_running_job (struct be_batch *batch, uint32_t number, uint32_t tasks)
{
  be_batch_submit (batch, number, tasks);
  be_batch_place (batch, number, tasks);
  be_batch_start (batch, number);
}

static void
add_running_1 (struct be_batch *batch, uint32_t number)
{
  add_running_job (batch, number, 1);
}

static void
add_running_gang (struct be_batch *batch, uint32_t number)
{
  add_running_job (batch, number, 1 + ADDED_TASKS);
}

static void
add_finished_gang (struct be_batch *batch, uint32_t number)
{
  uint32_t i;

  add_running_job (batch, number, 1 + ADDED_TASKS);
  for (i = 0; i < 1 + ADDED_TASKS; i++)
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
apply_batch (struct st_state *state, struct be_batch *batch, int64_t time_ms)
{
  GBytes *bytes = be_batch_pack_and_clear (batch);

  st_apply (state, st_next_offset (state), time_ms,
            g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
}

struct slope
{
  double snapshot_bytes;
  double heap_bytes;
  double fold_us;       /* of applying all records of one object */
  double id_heap_bytes; /* of the id of one record, while it is kept */
  double id_bytes;      /* the same in the snapshot */
};

/* The ids of the records expire before the snapshot is measured; their cost is
   measured apart.  */
static struct slope
measure_slope (add_fn add)
{
  struct be_batch *batch = be_batch_new ();
  struct st_state *state;
  struct slope slope = { 0 };
  size_t records = 0;
  size_t added;
  size_t snapshot_with_ids_bytes;
  size_t heap_with_ids_bytes;
  size_t empty_heap_bytes;
  size_t empty_snapshot_bytes;
  int64_t cpu_us = 0;
  int64_t started_us;
  uint32_t i;

  st_create (&state, NULL, DAY_MS);
  be_batch_term (batch);
  apply_batch (state, batch, 1);
  empty_snapshot_bytes = be_snapshot_bytes (state);
  empty_heap_bytes = be_heap_bytes ();
  for (i = 0; i < OBJECT_COUNT; i++)
    {
      add (batch, i);
      be_batch_records (batch, &added);
      records += added;
      started_us = be_cpu_us ();
      apply_batch (state, batch, 2);
      cpu_us += be_cpu_us () - started_us;
    }
  snapshot_with_ids_bytes = be_snapshot_bytes (state);
  heap_with_ids_bytes = be_heap_bytes ();
  apply_batch (state, batch, 2 + RECENT_WINDOW_MS);
  slope.id_heap_bytes
      = (double)(heap_with_ids_bytes - be_heap_bytes ()) / (double)records;
  slope.heap_bytes
      = (double)(be_heap_bytes () - empty_heap_bytes) / OBJECT_COUNT;
  slope.snapshot_bytes
      = (double)(be_snapshot_bytes (state) - empty_snapshot_bytes)
        / OBJECT_COUNT;
  slope.fold_us = (double)cpu_us / OBJECT_COUNT;
  slope.id_bytes
      = (double)(snapshot_with_ids_bytes - be_snapshot_bytes (state))
        / (double)records;
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

/* Size of a snapshot whose revisions all have a document of TEAMS teams.  */
static size_t
revisions_snapshot_bytes (uint32_t teams)
{
  struct be_batch *batch = be_batch_new ();
  struct st_state *state;
  size_t size_bytes;
  uint64_t i;

  st_create (&state, NULL, DAY_MS);
  for (i = 0; i < ST_REVISION_LIMIT; i++)
    {
      be_batch_config (batch, i, teams);
      apply_batch (state, batch, 1);
    }
  apply_batch (state, batch, 1 + RECENT_WINDOW_MS);
  size_bytes = be_snapshot_bytes (state);
  st_free (state);
  be_batch_free (batch);
  return size_bytes;
}

/* Processor time of encoding and of decoding a snapshot of gangs.  */
static json_t *
measure_snapshot_coding (void)
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
  for (i = 0; i < OBJECT_COUNT; i++)
    {
      add_running_gang (batch, i);
      apply_batch (state, batch, 1);
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
be_measure_slopes (void)
{
  struct slope queued_job = measure_slope (add_queued);
  struct slope running = measure_slope (add_running_1);
  struct slope gang = measure_slope (add_running_gang);
  struct slope finished = measure_slope (add_finished_gang);
  struct slope open = measure_slope (add_open_claim);
  struct slope completed_claim = measure_slope (add_done_claim);
  struct slope task
      = { .snapshot_bytes
          = (gang.snapshot_bytes - running.snapshot_bytes) / ADDED_TASKS,
          .heap_bytes = (gang.heap_bytes - running.heap_bytes) / ADDED_TASKS,
          .fold_us = (gang.fold_us - running.fold_us) / ADDED_TASKS };
  size_t teams_bytes
      = revisions_snapshot_bytes (TEAMS) - revisions_snapshot_bytes (1);
  double team = (double)teams_bytes / (TEAMS - 1);

  return json_pack (
      "{s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:f,s:f,s:f,s:o}", "queued_job",
      slope_json (&queued_job), "running_job_of_1", slope_json (&running),
      "running_job_of_9", slope_json (&gang), "finished_job_of_9",
      slope_json (&finished), "running_task", slope_json (&task), "open_claim",
      slope_json (&open), "done_claim", slope_json (&completed_claim),
      "recent_id_bytes", queued_job.id_bytes, "recent_id_heap_bytes",
      queued_job.id_heap_bytes, "team_bytes_in_all_documents", team,
      "snapshot_of_gangs", measure_snapshot_coding ());
}
