/* bench-log: measurements of the log client and of the folded state.
   Prefix: be_.  */

#ifndef FT_BENCH_LOG_H
#define FT_BENCH_LOG_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "http/http_client.h"
#include "state/state.h"

enum
{
  BE_PAYLOAD_BYTES = 200, /* payload of one job */
  BE_ANSWER_BYTES = 100,  /* answer of one key claim */
  BE_OUTPUT_BYTES = 32    /* output of one task */
};

/* Parameters of one measurement.  */
struct be_run
{
  struct ev_loop *loop;
  struct hc_client *http;
  const char *url;     /* base URL of the log; NULL if none is used */
  uint32_t rate_per_s; /* submissions per second, summed over hosts; 0: none */
  uint32_t hosts;
  uint32_t seconds;
  uint32_t records; /* length of the log that a starting host reads */
  /* How long the state keeps ended jobs and key claims.  */
  uint32_t outcome_window_ms;
};

/* Each returns a new JSON object with its results, owned by the caller.  */
json_t *be_measure_slopes (void);
json_t *be_measure_submits (const struct be_run *run);
json_t *be_measure_start (const struct be_run *run);

/* ===== Records ================================================ */

/* Collects records, to pack them as one batch.  Each be_batch_X () below adds
   records of that kind; JOB, TASK and KEY are numbers from which names are
   made.  */
struct be_batch;

struct be_batch *be_batch_new (void);
void be_batch_free (struct be_batch *batch);
void be_batch_submit (struct be_batch *batch, uint32_t job, uint32_t tasks);
void be_batch_place (struct be_batch *batch, uint32_t job, uint32_t tasks);
void be_batch_start (struct be_batch *batch, uint32_t job);
void be_batch_task_end (struct be_batch *batch, uint32_t job, uint32_t task);
void be_batch_claim (struct be_batch *batch, uint32_t key);
void be_batch_claim_end (struct be_batch *batch, uint32_t key);
void be_batch_term (struct be_batch *batch);
void be_batch_config (struct be_batch *batch, uint64_t base, uint32_t teams);

/*! be_batch_records () :
 *  @return : the records, owned by the batch. */
Ft__Record **be_batch_records (const struct be_batch *batch, size_t *count);

/*! be_batch_pack_and_clear () :
 *  Packs the records into one ft.Batch and removes them from the batch.
 *  @return : the packed bytes, owned by the caller. */
GBytes *be_batch_pack_and_clear (struct be_batch *batch);

/* ===== Figures ================================================ */

/* Processor time of this process so far; bytes that malloc () has handed out;
   size of the encoded state.  */
int64_t be_cpu_us (void);
size_t be_heap_bytes (void);
size_t be_snapshot_bytes (const struct st_state *state);

/*! be_percentile () :
 *  @values : int64_t, sorted by this call.
 *  @share : from 0 to 1.
 *  @return : the value at that share of the sorted values; -1 without any. */
int64_t be_percentile (GArray *values, double share);

#endif
