/* Internals of the folded state, shared by the files of this folder.  */

#ifndef FT_STATE_PRIVATE_H
#define FT_STATE_PRIVATE_H

#include <glib.h>

#include "state/state.h"

enum
{
  ST_NAME_LIMIT_BYTES = 256,            /* ids, keys, names of hosts */
  ST_TEXT_LIMIT_BYTES = 4096,           /* reasons and details */
  ST_OUTPUT_LIMIT_BYTES = 64 * 1024,    /* output of one task, one answer */
  ST_DIGEST_LIMIT_BYTES = 128,          /* of a submission or a claim */
  ST_DOCUMENT_LIMIT_BYTES = 512 * 1024, /* one configuration */
  ST_BATCH_LIMIT_BYTES = 1024 * 1024,   /* one append */
  ST_RECENT_WINDOW_MS = 120 * 1000,     /* ids kept to drop duplicates */
  ST_RECENT_LIMIT = 65536,
  ST_SNAPSHOT_LIMIT_BYTES = 64 * 1024 * 1024
};

/* A specification shared by all versions of one job.  */
struct st_spec
{
  Ft__JobSpec *spec;
};

/* A job as it is kept: the public part comes first.  */
struct st_job_box
{
  struct st_job job;
  struct st_spec *spec; /* reference counted by GLib */
  uint32_t refs;
  bool ran_before; /* by attempts before the newest one */
};

struct st_claim_box
{
  struct st_claim claim;
  uint32_t refs;
};

/* One folded record's id with what became of the record.  */
struct st_recent_id
{
  uint8_t id[ST_ID_SIZE_BYTES];
  int64_t time_ms;
  enum st_verdict verdict;
  GList link; /* in st_state.recent */
};

/* A job or a claim that is to be dropped, if it has not changed since.  */
struct st_expiry
{
  int64_t changed_ms;
  bool is_claim;
  char *name; /* GRefString */
};

struct st_state
{
  struct st_observer observer;
  int64_t outcome_window_ms;
  uint64_t next_offset;
  int64_t time_ms; /* the log's newest time */
  uint64_t term;
  char *holder; /* GRefString */
  int64_t term_ms;
  GQueue revisions;       /* struct st_revision, newest first */
  GHashTable *jobs;       /* id -> GList in job_order */
  GQueue job_order;       /* struct st_job_box */
  GHashTable *claims;     /* key -> GList in claim_order */
  GQueue claim_order;     /* struct st_claim_box */
  GQueue expiries;        /* struct st_expiry, oldest first */
  GHashTable *recent_ids; /* set of struct st_recent_id */
  GQueue recent;          /* the same, oldest first */
};

/* ===== Small values =========================================== */

/*! st_bytes_new () :
 *  @return : a shared copy, NULL for no bytes; see st_bytes_release (). */
uint8_t *st_bytes_new (const void *data, size_t size_bytes);
uint8_t *st_bytes_share (uint8_t *bytes);
void st_bytes_release (uint8_t *bytes);

char *st_text_new (const char *text);
char *st_text_share (char *text);
void st_text_release (char *text);
void st_text_set (char **text, const char *value);

bool st_is_name (const char *text);
bool st_same_bytes (const uint8_t *left, size_t left_size_bytes,
                    const uint8_t *right, size_t right_size_bytes);

/* ===== Jobs =================================================== */

struct st_job_box *st_job_new (const char *id, Ft__JobSpec *spec);
struct st_job_box *st_job_copy (struct st_job_box *box);
void st_job_set_tasks (struct st_job_box *box, size_t task_count);
bool st_job_has_ended (const struct st_job *job);

/*! st_job_edit () :
 *  @return : the job of that link, to be changed: the kept one if nobody
 *            else refers to it, else a copy put in its place. */
struct st_job_box *st_job_edit (GList *link);

/*! st_job_add () :
 *  Takes the box as the newest job. */
void st_job_add (struct st_state *state, struct st_job_box *box);

/* Each folds one record of its kind.  */
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

struct st_claim_box *st_claim_new (const Ft__Claim *record, const char *host);
struct st_claim_box *st_claim_edit (GList *link);
void st_claim_add (struct st_state *state, struct st_claim_box *box);

enum st_verdict st_fold_claim (struct st_state *state, const char *host,
                               const Ft__Claim *record);
enum st_verdict st_fold_claim_end (struct st_state *state, const char *host,
                                   const Ft__ClaimEnd *record);

/* ===== Configuration ========================================== */

enum st_verdict st_fold_config (struct st_state *state,
                                const Ft__ConfigChange *record);
void st_revision_free (struct st_revision *revision);

/* ===== Windows ================================================ */

/*! st_expire () :
 *  Drops what is older than its window, by the log's time. */
void st_expire (struct st_state *state);
void st_expiry_add (struct st_state *state, bool is_claim, const char *name,
                    int64_t changed_ms);
void st_expiry_free (struct st_expiry *expiry);
void st_recent_add (struct st_state *state, const uint8_t *id, int64_t time_ms,
                    enum st_verdict verdict);
const struct st_recent_id *st_recent_find (const struct st_state *state,
                                           const uint8_t *id);
void st_recent_init (struct st_state *state);
void st_recent_clear (struct st_state *state);

/* ===== Snapshots ============================================== */

/*! st_pack_job (), st_pack_claim () :
 *  @return : one object as a snapshot holds it. */
GBytes *st_pack_job (const struct st_job *job);
GBytes *st_pack_claim (const struct st_claim *claim);

#endif
