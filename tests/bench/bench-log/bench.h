/* Measurements of the log client and of the folded state.  Prefix: be_.  */

#ifndef FT_BENCH_LOG_H
#define FT_BENCH_LOG_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "http/http_client.h"
#include "state/state.h"

enum
{
  BE_PAYLOAD_BYTES = 200, /* of one job */
  BE_ANSWER_BYTES = 100,  /* of one claim */
  BE_OUTPUT_BYTES = 32    /* of one task */
};

/* What one measurement is given.  */
struct be_run
{
  struct ev_loop *loop;
  struct hc_client *http;
  const char *url; /* of the log; NULL: not needed */
  uint32_t rate_per_s;
  uint32_t hosts;
  uint32_t seconds;
  uint32_t records;
  uint32_t window_ms; /* outcomes are kept that long */
};

/* Each fills in an object of its results.  */
json_t *be_slopes (void);
json_t *be_submits (const struct be_run *run);
json_t *be_start (const struct be_run *run);

/* ===== Records ================================================ */

/* Collects records and folds or packs them as one batch.  */
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

/*! be_batch_take () :
 *  Packs and empties the batch. */
GBytes *be_batch_take (struct be_batch *batch);

/* ===== Figures ================================================ */

int64_t be_cpu_us (void);
size_t be_heap_bytes (void);
size_t be_snapshot_bytes (const struct st_state *state);

/*! be_percentile () :
 *  @values : int64_t, sorted by this call. */
int64_t be_percentile (GArray *values, double share);

#endif
