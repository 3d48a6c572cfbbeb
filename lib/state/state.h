/* The state that every entry host folds from the platform's log: term,
   configuration, jobs, claims.  Pure and deterministic: the same batches in
   the same order give the same state on every host.  Prefix: st_.  */

#ifndef FT_STATE_H
#define FT_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "place/place.h"
#include "proto/record.pb-c.h"

enum st_error
{
  ST_OK = 0,
  ST_ERR_MEMORY = -1,
  ST_ERR_INVALID = -2, /* bytes that are no batch or no snapshot */
  ST_ERR_REVERTS = -3, /* a snapshot would undo a term or a configuration */
};

enum
{
  ST_ID_SIZE_BYTES = 16,
  ST_REVISION_DOCUMENTS = 16, /* newest revisions kept with their document */
  ST_REVISION_HISTORY = 256   /* revisions kept without it */
};

/* What the fold made of one record.  Anything but ST_VALID means that the
   record had no effect.  */
enum st_verdict
{
  ST_VALID = 0,
  ST_DUPLICATE,    /* the record's id has been folded already */
  ST_STALE_TERM,   /* written under a term that is not in force */
  ST_STALE_BASE,   /* another configuration came first */
  ST_KEY_TAKEN,    /* the key is claimed: same request or another */
  ST_KEY_CONFLICT, /* the key is claimed with another body */
  ST_UNKNOWN_JOB,
  ST_WRONG_STATE, /* the job is not in a state that allows it */
  ST_MALFORMED
};

enum st_job_state
{
  ST_JOB_QUEUED = 1,
  ST_JOB_PLACED = 2,    /* leases held, start under way */
  ST_JOB_RUNNING = 3,   /* every task has been started */
  ST_JOB_FINISHED = 4,  /* every task ended well */
  ST_JOB_FAILED = 5,    /* ended badly, will not run again */
  ST_JOB_CANCELLED = 6, /* by its caller; see "ran" */
  ST_JOB_REFUSED = 7    /* did not run and never will */
};

struct st_task
{
  struct place_assignment assignment;
  bool ended;
  bool ok;
  bool lapsed;
  char *detail;
  uint8_t *output;
  size_t output_size_bytes;
};

/* Immutable once published; shared by reference count.  */
struct st_job
{
  char *id;
  Ft__JobSpec *spec;
  uint8_t *digest;
  size_t digest_size_bytes;
  enum st_job_state state;
  uint32_t attempt; /* of the newest placement, from 1; 0 before */
  bool cancelling;
  bool ran;         /* a task of any attempt may have run */
  bool not_started; /* never mind RAN: the last attempt did not start */
  int64_t submitted_ms;
  int64_t changed_ms;
  uint64_t progress_ms;
  char *reason;
  struct st_task *tasks; /* of the newest attempt; spec->shape->tasks */
  size_t task_count;     /* 0 before the first placement */
};

struct st_revision
{
  uint64_t revision; /* from 1 */
  char *digest;
  char *author;
  char *note;
  int64_t time_ms;
  char *document; /* NULL for old revisions */
  size_t document_size_bytes;
};

enum st_claim_state
{
  ST_CLAIM_OPEN = 0,    /* claimed; its outcome is not known yet */
  ST_CLAIM_DONE = 1,    /* answered, see the answer */
  ST_CLAIM_NOT_RUN = 2, /* did not run; the key may be claimed again */
  ST_CLAIM_UNKNOWN = 3  /* sent, and no answer will come */
};

struct st_claim
{
  char *key;
  char *request;
  char *team;
  char *service;
  char *host; /* entry host that sends it */
  uint8_t *digest;
  size_t digest_size_bytes;
  enum st_claim_state state;
  uint32_t status;
  uint8_t *answer;
  size_t answer_size_bytes;
  int64_t changed_ms;
};

/* Told of every change by st_apply ().  The objects may be kept by taking a
   reference.  Each callback may be NULL.  */
struct st_observer
{
  void (*term) (void *ctx, uint64_t term, const char *holder);
  void (*config) (void *ctx, const struct st_revision *revision);
  void (*job) (void *ctx, struct st_job *job);
  void (*job_dropped) (void *ctx, const char *id);
  void (*claim) (void *ctx, struct st_claim *claim);
  void (*verdict) (void *ctx, const uint8_t id[ST_ID_SIZE_BYTES],
                   enum st_verdict verdict);
  void *ctx;
  void (*claim_dropped) (void *ctx, const char *key);
};

struct st_state;

/*! st_create () :
 *  @outcome_window_ms : how long ended jobs and claims are kept, by the
 *                       log's time, until a term names another window. */
int st_create (struct st_state **out, const struct st_observer *observer,
               int64_t outcome_window_ms);
void st_free (struct st_state *state);

/*! st_apply () :
 *  Folds one append of the log.  Offsets below st_next_offset () have no
 *  effect.
 *  @return : ST_OK, or ST_ERR_INVALID for bytes that are no batch (the offset
 *            counts as folded all the same). */
int st_apply (struct st_state *state, uint64_t offset, int64_t time_ms,
              const uint8_t *data, size_t size_bytes);

uint64_t st_next_offset (const struct st_state *state);
uint64_t st_term (const struct st_state *state);
const char *st_holder (const struct st_state *state); /* "" for none */
uint64_t st_revision (const struct st_state *state);  /* 0 for none */
const struct st_revision *st_config (const struct st_state *state);

/*! st_history () :
 *  Calls back for each known revision, newest first. */
void st_history (const struct st_state *state,
                 void (*callback) (void *ctx, const struct st_revision *),
                 void *ctx);

/*! st_job (), st_claim () :
 *  @return : borrowed; NULL if not known. */
struct st_job *st_job (const struct st_state *state, const char *id);
struct st_claim *st_claim (const struct st_state *state, const char *key);

/*! st_each_job (), st_each_claim () :
 *  In order of submission.  The callback must not change the state. */
void st_each_job (const struct st_state *state,
                  void (*callback) (void *ctx, struct st_job *job), void *ctx);
void st_each_claim (const struct st_state *state,
                    void (*callback) (void *ctx, struct st_claim *claim),
                    void *ctx);

/*! st_recent () :
 *  Whether a record of that id was folded lately, and its first verdict. */
bool st_recent (const struct st_state *state,
                const uint8_t id[ST_ID_SIZE_BYTES], enum st_verdict *verdict);

struct st_job *st_job_ref (struct st_job *job);
void st_job_unref (struct st_job *job);
struct st_claim *st_claim_ref (struct st_claim *claim);
void st_claim_unref (struct st_claim *claim);

/*! st_encode () :
 *  The whole state as a snapshot, to be freed by free ().  Equal states give
 *  equal bytes. */
int st_encode (const struct st_state *state, uint8_t **data,
               size_t *size_bytes);

/*! st_encode_at () :
 *  The same, with OFFSET as the first that is not folded in: for a state that
 *  can never fold the records before OFFSET, because the log lost them. */
int st_encode_at (const struct st_state *state, uint64_t offset,
                  uint8_t **data, size_t *size_bytes);

/*! st_decode () :
 *  Replaces the state by a snapshot, if that is newer; the observer is told
 *  of all that changed, but not of verdicts (see st_recent ()).
 *  @return : ST_OK, also for a snapshot that is not newer; or an st_error,
 *            and the state is as before. */
int st_decode (struct st_state *state, const uint8_t *data, size_t size_bytes);

const char *st_job_state_name (enum st_job_state state);
const char *st_verdict_name (enum st_verdict verdict);

#endif
