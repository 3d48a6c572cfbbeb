/* The folded state: applies records, and reports verdicts and changes to the
   observer.  */

#include "state/state.h"

#include <stdlib.h>
#include <string.h>

#include "state/state_private.h"

/* ===== Creation and release =================================== */

static void
release_text (gpointer text)
{
  st_text_release (text);
}

int
st_create (struct st_state **out, const struct st_observer *observer,
           int64_t outcome_window_ms)
{
  struct st_state *state = calloc (1, sizeof *state);

  if (state == NULL)
    return ST_ERR_MEMORY;
  if (observer != NULL)
    state->observer = *observer;
  state->outcome_window_ms = outcome_window_ms;
  state->holder = st_text_new ("");
  state->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, release_text, NULL);
  state->claims
      = g_hash_table_new_full (g_str_hash, g_str_equal, release_text, NULL);
  g_queue_init (&state->revisions);
  g_queue_init (&state->job_order);
  g_queue_init (&state->claim_order);
  g_queue_init (&state->expiries);
  st_recent_ids_init (state);
  *out = state;
  return ST_OK;
}

void
st_free (struct st_state *state)
{
  gpointer item;

  if (state == NULL)
    return;
  g_hash_table_destroy (state->jobs);
  g_hash_table_destroy (state->claims);
  while ((item = g_queue_pop_head (&state->job_order)) != NULL)
    st_job_unref (item);
  while ((item = g_queue_pop_head (&state->claim_order)) != NULL)
    st_claim_unref (item);
  while ((item = g_queue_pop_head (&state->revisions)) != NULL)
    st_revision_free (item);
  while ((item = g_queue_pop_head (&state->expiries)) != NULL)
    st_expiry_free (item);
  st_recent_ids_clear (state);
  g_hash_table_destroy (state->recent_ids);
  st_text_release (state->holder);
  free (state);
}

/* ===== Term and configuration ================================= */

static enum st_verdict
fold_term (struct st_state *state, const Ft__TermClaim *record)
{
  if (!st_is_valid_name (record->host))
    return ST_VERDICT_MALFORMED;
  if (record->term != state->term + 1)
    return ST_VERDICT_STALE_TERM;
  if (record->outcome_window_ms > INT64_MAX)
    return ST_VERDICT_MALFORMED;
  if (record->outcome_window_ms > 0)
    state->outcome_window_ms = (int64_t)record->outcome_window_ms;
  state->term = record->term;
  state->term_ms = state->time_ms;
  st_text_set (&state->holder, record->host);
  if (state->observer.on_term != NULL)
    state->observer.on_term (state->observer.ctx, state->term, state->holder);
  return ST_VERDICT_VALID;
}

void
st_revision_free (struct st_revision *revision)
{
  g_free (revision->digest);
  g_free (revision->author);
  g_free (revision->note);
  g_free (revision->document);
  g_free (revision);
}

/* Frees the document of the first revision beyond ST_REVISION_DOCUMENT_LIMIT,
   and drops revisions beyond ST_REVISION_LIMIT.  */
static void
trim_revisions (struct st_state *state)
{
  struct st_revision *revision;

  revision = g_queue_peek_nth (&state->revisions, ST_REVISION_DOCUMENT_LIMIT);
  if (revision != NULL)
    {
      g_clear_pointer (&revision->document, g_free);
      revision->document_size_bytes = 0;
    }
  while (state->revisions.length > ST_REVISION_LIMIT)
    st_revision_free (g_queue_pop_tail (&state->revisions));
}

static bool
config_is_valid (const Ft__ConfigChange *record)
{
  return st_is_valid_name (record->digest) && record->document.len > 0
         && record->document.len <= ST_DOCUMENT_LIMIT_BYTES
         && strnlen (record->author, ST_NAME_LIMIT_BYTES + 1)
                <= ST_NAME_LIMIT_BYTES
         && strnlen (record->note, ST_TEXT_LIMIT_BYTES + 1)
                <= ST_TEXT_LIMIT_BYTES;
}

enum st_verdict
st_fold_config (struct st_state *state, const Ft__ConfigChange *record)
{
  struct st_revision *revision;

  if (!config_is_valid (record))
    return ST_VERDICT_MALFORMED;
  if (record->base_revision != st_revision (state))
    return ST_VERDICT_STALE_BASE_REVISION;
  revision = g_new0 (struct st_revision, 1);
  revision->revision = record->base_revision + 1;
  revision->digest = g_strdup (record->digest);
  revision->author = g_strdup (record->author);
  revision->note = g_strdup (record->note);
  revision->time_ms = state->time_ms;
  revision->document_size_bytes = record->document.len;
  revision->document = g_malloc0 (record->document.len + 1);
  memcpy (revision->document, record->document.data, record->document.len);
  g_queue_push_head (&state->revisions, revision);
  trim_revisions (state);
  if (state->observer.on_config != NULL)
    state->observer.on_config (state->observer.ctx, revision);
  return ST_VERDICT_VALID;
}

/* ===== Records ================================================ */

static enum st_verdict
fold_body (struct st_state *state, const Ft__Record *record)
{
  switch (record->body_case)
    {
    case FT__RECORD__BODY_TERM_CLAIM:
      return fold_term (state, record->term_claim);
    case FT__RECORD__BODY_CONFIG_CHANGE:
      return st_fold_config (state, record->config_change);
    case FT__RECORD__BODY_JOB_SUBMIT:
      return st_fold_submit (state, record->job_submit);
    case FT__RECORD__BODY_JOB_PLACE:
      return st_fold_place (state, record->term, record->job_place);
    case FT__RECORD__BODY_JOB_START:
      return st_fold_start (state, record->term, record->job_start);
    case FT__RECORD__BODY_TASK_END:
      return st_fold_task_end (state, record->task_end);
    case FT__RECORD__BODY_JOB_STOP:
      return st_fold_stop (state, record->term, record->job_stop);
    case FT__RECORD__BODY_JOB_CANCEL:
      return st_fold_cancel (state, record->job_cancel);
    case FT__RECORD__BODY_JOB_REFUSE:
      return st_fold_refuse (state, record->term, record->job_refuse);
    case FT__RECORD__BODY_CLAIM:
      return st_fold_claim (state, record->host, record->claim);
    case FT__RECORD__BODY_CLAIM_END:
      return st_fold_claim_end (state, record->host, record->claim_end);
    default:
      return ST_VERDICT_MALFORMED;
    }
}

static void
fold_record (struct st_state *state, const Ft__Record *record)
{
  enum st_verdict verdict = ST_VERDICT_MALFORMED;

  if (record->id.len != ST_ID_SIZE_BYTES)
    return;
  if (st_recent_id_find (state, record->id.data) != NULL)
    verdict = ST_VERDICT_DUPLICATE;
  else
    {
      if (st_is_valid_name (record->host))
        verdict = fold_body (state, record);
      st_recent_id_add (state, record->id.data, state->time_ms, verdict);
    }
  if (state->observer.on_verdict != NULL)
    state->observer.on_verdict (state->observer.ctx, record->id.data, verdict);
}

int
st_apply (struct st_state *state, uint64_t offset, int64_t time_ms,
          const uint8_t *data, size_t size_bytes)
{
  Ft__Batch *batch = NULL;
  size_t i;

  if (offset < state->next_offset)
    return ST_OK;
  state->next_offset = offset + 1;
  state->time_ms = MAX (state->time_ms, time_ms);
  st_expire (state);
  if (size_bytes <= ST_BATCH_LIMIT_BYTES)
    batch = ft__batch__unpack (NULL, size_bytes, data);
  if (batch == NULL)
    return ST_ERR_INVALID;
  for (i = 0; i < batch->n_records; i++)
    fold_record (state, batch->records[i]);
  ft__batch__free_unpacked (batch, NULL);
  return ST_OK;
}

/* ===== Queries ================================================ */

uint64_t
st_next_offset (const struct st_state *state)
{
  return state->next_offset;
}

uint64_t
st_term (const struct st_state *state)
{
  return state->term;
}

const char *
st_term_holder (const struct st_state *state)
{
  return state->holder;
}

const struct st_revision *
st_current_config (const struct st_state *state)
{
  return g_queue_peek_head ((GQueue *)&state->revisions);
}

uint64_t
st_revision (const struct st_state *state)
{
  const struct st_revision *newest = st_current_config (state);

  return newest == NULL ? 0 : newest->revision;
}

void
st_each_revision (const struct st_state *state,
                  void (*callback) (void *ctx, const struct st_revision *),
                  void *ctx)
{
  const GList *link;

  for (link = state->revisions.head; link != NULL; link = link->next)
    callback (ctx, link->data);
}

struct st_job *
st_job (const struct st_state *state, const char *id)
{
  const GList *link = g_hash_table_lookup (state->jobs, id);

  return link == NULL ? NULL : &((struct st_stored_job *)link->data)->job;
}

struct st_claim *
st_claim (const struct st_state *state, const char *key)
{
  const GList *link = g_hash_table_lookup (state->claims, key);

  return link == NULL ? NULL : &((struct st_stored_claim *)link->data)->claim;
}

void
st_each_job (const struct st_state *state,
             void (*callback) (void *ctx, struct st_job *job), void *ctx)
{
  const GList *link;

  for (link = state->job_order.head; link != NULL; link = link->next)
    callback (ctx, &((struct st_stored_job *)link->data)->job);
}

void
st_each_claim (const struct st_state *state,
               void (*callback) (void *ctx, struct st_claim *claim), void *ctx)
{
  const GList *link;

  for (link = state->claim_order.head; link != NULL; link = link->next)
    callback (ctx, &((struct st_stored_claim *)link->data)->claim);
}

bool
st_recent_verdict (const struct st_state *state,
                   const uint8_t id[ST_ID_SIZE_BYTES],
                   enum st_verdict *verdict)
{
  const struct st_recent_id *entry = st_recent_id_find (state, id);

  if (entry == NULL)
    return false;
  *verdict = entry->verdict;
  return true;
}

const char *
st_verdict_name (enum st_verdict verdict)
{
  switch (verdict)
    {
    case ST_VERDICT_VALID:
      return "valid";
    case ST_VERDICT_DUPLICATE:
      return "duplicate";
    case ST_VERDICT_STALE_TERM:
      return "stale_term";
    case ST_VERDICT_STALE_BASE_REVISION:
      return "stale_base";
    case ST_VERDICT_KEY_TAKEN:
      return "key_taken";
    case ST_VERDICT_KEY_CONFLICT:
      return "key_conflict";
    case ST_VERDICT_UNKNOWN_JOB:
      return "unknown_job";
    case ST_VERDICT_WRONG_STATE:
      return "wrong_state";
    case ST_VERDICT_MALFORMED:
      return "malformed";
    }
  return "unknown";
}
