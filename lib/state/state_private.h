/* Internals of the folded state, shared by the files of this folder.  */

#ifndef FT_STATE_PRIVATE_H
#define FT_STATE_PRIVATE_H

#include <glib.h>

#include "state/state.h"

enum
{
  ST_NAME_LIMIT_BYTES = 256,            /* of an id, a key or a host name */
  ST_TEXT_LIMIT_BYTES = 4096,           /* of a reason, a detail or a note */
  ST_OUTPUT_LIMIT_BYTES = 64 * 1024,    /* of a task's output or an answer */
  ST_DIGEST_LIMIT_BYTES = 128,          /* of a job or a claim */
  ST_DOCUMENT_LIMIT_BYTES = 512 * 1024, /* of one configuration document */
  ST_BATCH_LIMIT_BYTES = 1024 * 1024,   /* of one append */
  ST_RECENT_ID_WINDOW_MS
  = 120 * 1000, /* how long ids are kept to drop duplicates */
  ST_RECENT_ID_LIMIT = 65536,
  ST_SNAPSHOT_LIMIT_BYTES = 64 * 1024 * 1024
};

/* The owner of a specification that all copies of one job share; st_job.spec
   points to the same specification.  */
struct st_spec
{
  Ft__JobSpec *spec;
};

/* A job with its private fields.  JOB is the first member, so that a pointer
   to it can be cast to this type.  */
struct st_stored_job
{
  struct st_job job;
  struct st_spec *spec; /* reference counted, by g_rc_box */
  uint32_t refs;
  bool ran_before; /* a task of an earlier attempt may have run */
};

/* A claim with its reference count.  CLAIM is the first member, as above.  */
struct st_stored_claim
{
  struct st_claim claim;
  uint32_t refs;
};

/* Id and verdict of one folded record. */
struct st_recent_id
{
  uint8_t id[ST_ID_SIZE_BYTES];
  int64_t time_ms;
  enum st_verdict verdict;
  GList link; /* in st_state.recent_order */
};

/* A job or a claim that is dropped when its window has passed, unless it has
   changed after CHANGED_MS.  */
struct st_expiry
{
  int64_t changed_ms;
  bool is_claim;
  char *name; /* id of the job or key of the claim; a GRefString */
};

struct st_state
{
  struct st_observer observer;
  int64_t outcome_window_ms;
  uint64_t next_offset;
  int64_t time_ms; /* highest time of an append so far */
  uint64_t term;
  char *holder;           /* GRefString */
  int64_t term_ms;        /* log time at which the term began */
  GQueue revisions;       /* struct st_revision, newest first */
  GHashTable *jobs;       /* id -> GList in job_order */
  GQueue job_order;       /* struct st_stored_job, oldest first */
  GHashTable *claims;     /* key -> GList in claim_order */
  GQueue claim_order;     /* struct st_stored_claim, oldest first */
  GQueue expiries;        /* struct st_expiry, oldest first */
  GHashTable *recent_ids; /* set of struct st_recent_id */
  GQueue recent_order;    /* struct st_recent_id, oldest first */
};

/* ===== Shared texts and byte strings ========================== */

/*! st_bytes_new () :
 *  @return : a reference-counted copy, to be released by st_bytes_release ();
 *            NULL if SIZE_BYTES is 0. */
uint8_t *st_bytes_new (const void *data, size_t size_bytes);
uint8_t *st_bytes_share (uint8_t *bytes);
void st_bytes_release (uint8_t *bytes);

/* Texts are GRefStrings.  st_text_set () releases the former text.  */
char *st_text_new (const char *text);
char *st_text_share (char *text);
void st_text_release (char *text);
void st_text_set (char **text, const char *value);

/* Whether the text has from 1 to ST_NAME_LIMIT_BYTES bytes.  */
bool st_is_valid_name (const char *text);
bool st_bytes_equal (const uint8_t *left, size_t left_size_bytes,
                     const uint8_t *right, size_t right_size_bytes);

/* ===== Jobs =================================================== */

struct st_stored_job *st_job_new (const char *id, Ft__JobSpec *spec);
struct st_stored_job *st_job_copy (struct st_stored_job *stored);
void st_job_set_tasks (struct st_stored_job *stored, size_t task_count);
bool st_job_has_ended (const struct st_job *job);

/*! st_job_make_writable () :
 *  @return : the job of that link, which the caller may change: the job itself
 *            if nobody else refers to it, else a copy that replaces it. */
struct st_stored_job *st_job_make_writable (GList *link);

/*! st_job_add () :
 *  Adds the job as the newest one and takes ownership of it. */
void st_job_add (struct st_state *state, struct st_stored_job *stored);

/* Each folds one record of its kind.  TERM is the term under which the record
   was written.  */
enum st_verdict st_fold_submit (struct st_state *state,
                                const Ft__JobSubmit *record);
enum st_verdict st_fold_place (struct st_state *state, uint64_t term,
                               const Ft__JobPlace *record);
enum st_verdict st_fold_start (struct st_state *state, uint64_t term,
                               const Ft__JobStart *record);
enum st_verdict st_fold_task_end (struct st_state *state,
                                  const Ft__TaskEnd *record);
enum st_verdict st_fold_stop (struct st_state *state, uint64_t term,
                              const Ft__JobStop *record);
enum st_verdict st_fold_cancel (struct st_state *state,
                                const Ft__JobCancel *record);
enum st_verdict st_fold_refuse (struct st_state *state, uint64_t term,
                                const Ft__JobRefuse *record);

/* ===== Claims ================================================= */

struct st_stored_claim *st_claim_new (const Ft__Claim *record,
                                      const char *host);
struct st_stored_claim *st_claim_make_writable (GList *link);
void st_claim_add (struct st_state *state, struct st_stored_claim *stored);

enum st_verdict st_fold_claim (struct st_state *state, const char *host,
                               const Ft__Claim *record);
enum st_verdict st_fold_claim_end (struct st_state *state, const char *host,
                                   const Ft__ClaimEnd *record);

/* ===== Configuration ========================================== */

enum st_verdict st_fold_config (struct st_state *state,
                                const Ft__ConfigChange *record);
void st_revision_free (struct st_revision *revision);

/* ===== Expiry ================================================= */

/*! st_expire () :
 *  Drops record ids, ended jobs and claims that are older than their windows,
 *  by the log's time. */
void st_expire (struct st_state *state);
void st_expiry_add (struct st_state *state, bool is_claim, const char *name,
                    int64_t changed_ms);
void st_expiry_free (struct st_expiry *expiry);
void st_recent_id_add (struct st_state *state, const uint8_t *id,
                       int64_t time_ms, enum st_verdict verdict);
const struct st_recent_id *st_recent_id_find (const struct st_state *state,
                                              const uint8_t *id);
void st_recent_ids_init (struct st_state *state);
void st_recent_ids_clear (struct st_state *state);

/* ===== Snapshots ============================================== */

/*! st_pack_job (), st_pack_claim () :
 *  @return : the object in the encoding that snapshots use.  Equal bytes mean
 *            that the object has not changed. */
GBytes *st_pack_job (const struct st_job *job);
GBytes *st_pack_claim (const struct st_claim *claim);

#endif
