/* The state that every entry host folds from the platform's log: planner term,
   configuration, jobs and key claims.  The fold does no input or output and
   is deterministic: the same batches in the same order give the same state on
   every host.  A batch is the content of one append of the log: one or more
   records.  Prefix: st_.  */

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
  ST_ERR_INVALID = -2,      /* the bytes are not a valid batch or snapshot */
  ST_ERR_WOULD_REVERT = -3, /* the snapshot has an older term or revision */
};

enum
{
  ST_ID_SIZE_BYTES = 16,
  ST_REVISION_DOCUMENT_LIMIT
  = 16,                   /* newest revisions that keep their document */
  ST_REVISION_LIMIT = 256 /* all revisions kept, with document or not */
};

/* The outcome of folding one record.  Any verdict other than ST_VERDICT_VALID
   means that the record had no effect.  */
enum st_verdict
{
  ST_VERDICT_VALID = 0,
  ST_VERDICT_DUPLICATE,  /* a record with this id was folded before */
  ST_VERDICT_STALE_TERM, /* the record's term is not the current one */
  ST_VERDICT_STALE_BASE_REVISION, /* its base is not the current revision */
  ST_VERDICT_KEY_TAKEN,    /* key or job id in use, with the same digest */
  ST_VERDICT_KEY_CONFLICT, /* key or job id in use, with another digest */
  ST_VERDICT_UNKNOWN_JOB,
  ST_VERDICT_WRONG_STATE, /* the state of the job or claim forbids it */
  ST_VERDICT_MALFORMED
};

enum st_job_state
{
  ST_JOB_QUEUED = 1,
  ST_JOB_PLACED = 2,    /* has workers; not all tasks started yet */
  ST_JOB_RUNNING = 3,   /* every task has been started */
  ST_JOB_FINISHED = 4,  /* every task succeeded */
  ST_JOB_FAILED = 5,    /* failed and will not run again */
  ST_JOB_CANCELLED = 6, /* by its caller; see st_job.may_have_run */
  ST_JOB_REFUSED = 7    /* never ran and never will */
};

/* One task of the newest attempt of a job.  */
struct st_task
{
  struct place_assignment assignment;
  bool ended;
  bool ok;           /* it succeeded; meaningful if it has ended */
  bool lease_lapsed; /* it ended because its worker lost its lease */
  char *detail;
  uint8_t *output;
  size_t output_size_bytes;
};

/* Shared by reference count.  An object that somebody else refers to does not
   change: the state replaces it by a changed copy.  */
struct st_job
{
  char *id;
  Ft__JobSpec *spec;
  uint8_t *digest; /* as the record of the submission gave it */
  size_t digest_size_bytes;
  enum st_job_state state;
  uint32_t attempt;     /* of the newest placement, from 1; 0 if none */
  bool cancelling;      /* cancelled while it has workers; not stopped yet */
  bool may_have_run;    /* a task of any attempt may have run */
  bool not_started;     /* no task of the newest attempt started */
  int64_t submitted_ms; /* time of the log, as is changed_ms */
  int64_t changed_ms;
  uint64_t progress_ms;  /* highest that a stop of the job reported */
  char *reason;          /* of the newest stop or refusal; "" if none */
  struct st_task *tasks; /* of the newest attempt; by task number */
  size_t task_count;     /* spec->shape->tasks; 0 before a placement */
};

/* One revision of the configuration, which is one environment document.  */
struct st_revision
{
  uint64_t revision; /* its number, from 1 */
  char *digest;
  char *author;
  char *note;
  int64_t time_ms;
  char *document; /* ends with a NUL; NULL for old revisions */
  size_t document_size_bytes;
};

enum st_claim_state
{
  ST_CLAIM_OPEN = 0,    /* the outcome of the request is not known yet */
  ST_CLAIM_DONE = 1,    /* answered: see st_claim.status and answer */
  ST_CLAIM_NOT_RUN = 2, /* not run; another request may claim the key */
  ST_CLAIM_UNKNOWN = 3  /* sent, but its answer is lost for good */
};

/* The claim of an idempotency key by one request that must not run twice.
   Shared like struct st_job.  */
struct st_claim
{
  char *key;
  char *request; /* id of the request that holds the key */
  char *team;
  char *service;
  char *host; /* entry host that claimed the key and sends the request */
  uint8_t *digest;
  size_t digest_size_bytes;
  enum st_claim_state state;
  uint32_t status; /* HTTP status of the answer */
  uint8_t *answer;
  size_t answer_size_bytes;
  int64_t changed_ms;
};

/* Callbacks for every change that st_apply () and st_decode () make.  A
   callback that keeps a job or a claim takes a reference to it.  Each callback
   may be NULL.  */
struct st_observer
{
  void (*on_term) (void *ctx, uint64_t term, const char *holder);
  void (*on_config) (void *ctx, const struct st_revision *revision);
  void (*on_job) (void *ctx, struct st_job *job);
  void (*on_job_dropped) (void *ctx, const char *id);
  void (*on_claim) (void *ctx, struct st_claim *claim);
  void (*on_verdict) (void *ctx, const uint8_t id[ST_ID_SIZE_BYTES],
                      enum st_verdict verdict);
  void *ctx;
  void (*on_claim_dropped) (void *ctx, const char *key);
};

struct st_state;

/*! st_create () :
 *  @outcome_window_ms : how long ended jobs, and claims after their newest
 *                       change, are kept, by the log's time.  A term record
 *                       that names another window replaces this value.
 *  @return : ST_OK or ST_ERR_MEMORY. */
int st_create (struct st_state **out, const struct st_observer *observer,
               int64_t outcome_window_ms);
void st_free (struct st_state *state);

/*! st_apply () :
 *  Folds one append of the log.  An append with an offset below
 *  st_next_offset () has no effect.
 *  @time_ms : the log's time of the append.
 *  @return : ST_OK, or ST_ERR_INVALID if the bytes are not a valid batch.  The
 *            offset counts as folded in both cases. */
int st_apply (struct st_state *state, uint64_t offset, int64_t time_ms,
              const uint8_t *data, size_t size_bytes);

uint64_t st_next_offset (const struct st_state *state);
uint64_t st_term (const struct st_state *state);

/*! st_term_holder () :
 *  @return : the host that holds the planner term, borrowed; "" if none. */
const char *st_term_holder (const struct st_state *state);

/*! st_revision (), st_current_config () :
 *  @return : the number of the newest revision (0 if none), and that revision
 *            itself (borrowed, NULL if none). */
uint64_t st_revision (const struct st_state *state);
const struct st_revision *st_current_config (const struct st_state *state);

/*! st_each_revision () :
 *  Calls CALLBACK for each revision that is kept, newest first. */
void st_each_revision (const struct st_state *state,
                       void (*callback) (void *ctx,
                                         const struct st_revision *),
                       void *ctx);

/*! st_job (), st_claim () :
 *  @return : the job or claim, borrowed; NULL if there is none. */
struct st_job *st_job (const struct st_state *state, const char *id);
struct st_claim *st_claim (const struct st_state *state, const char *key);

/*! st_each_job (), st_each_claim () :
 *  Call CALLBACK for each job or claim, in the order in which they were
 *  added.  The callback must not change the state. */
void st_each_job (const struct st_state *state,
                  void (*callback) (void *ctx, struct st_job *job), void *ctx);
void st_each_claim (const struct st_state *state,
                    void (*callback) (void *ctx, struct st_claim *claim),
                    void *ctx);

/*! st_recent_verdict () :
 *  Looks up the verdict of the first record with this id.
 *  @return : whether such a record was folded within the window of recent
 *            ids; *verdict is set only then. */
bool st_recent_verdict (const struct st_state *state,
                        const uint8_t id[ST_ID_SIZE_BYTES],
                        enum st_verdict *verdict);

struct st_job *st_job_ref (struct st_job *job);
void st_job_unref (struct st_job *job);
struct st_claim *st_claim_ref (struct st_claim *claim);
void st_claim_unref (struct st_claim *claim);

/*! st_encode () :
 *  Encodes the whole state as a snapshot.  Equal states give equal bytes.
 *  @data : set to the bytes, which the caller frees with free ().
 *  @return : ST_OK or ST_ERR_MEMORY. */
int st_encode (const struct st_state *state, uint8_t **data,
               size_t *size_bytes);

/*! st_encode_at () :
 *  Like st_encode (), but the snapshot names OFFSET as the first offset that
 *  it does not include.  For a state that can never fold the records before
 *  OFFSET, because the log lost them. */
int st_encode_at (const struct st_state *state, uint64_t offset,
                  uint8_t **data, size_t *size_bytes);

/*! st_decode () :
 *  Replaces the state by a snapshot if that has a higher offset.  The
 *  observer is notified of all changes, but not of verdicts (see
 *  st_recent_verdict ()).
 *  @return : ST_OK, also if the snapshot is not newer; or an st_error, and
 *            the state is unchanged. */
int st_decode (struct st_state *state, const uint8_t *data, size_t size_bytes);

const char *st_job_state_name (enum st_job_state state);
const char *st_verdict_name (enum st_verdict verdict);

#endif
