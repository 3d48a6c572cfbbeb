/* Decoder of snapshots: builds a second state from the bytes, checks it, and
   replaces the current state by it.  */

#include <string.h>

#include "state/state_private.h"

static bool
fits_limit (const char *text, size_t limit_bytes)
{
  return strnlen (text, limit_bytes + 1) <= limit_bytes;
}

/* ===== Jobs =================================================== */

static bool
job_is_valid (const Ft__SnapshotJob *message)
{
  const Ft__JobSpec *spec = message->spec;

  if (!st_is_valid_name (message->job) || spec == NULL || spec->shape == NULL
      || spec->shape->tasks == 0 || spec->shape->tasks > PLACE_TASK_LIMIT)
    return false;
  if (message->state < ST_JOB_QUEUED || message->state > ST_JOB_REFUSED
      || message->digest.len > ST_DIGEST_LIMIT_BYTES
      || !fits_limit (message->reason, ST_TEXT_LIMIT_BYTES))
    return false;
  if (message->attempt == 0)
    return message->n_tasks == 0 && message->state != ST_JOB_PLACED
           && message->state != ST_JOB_RUNNING;
  return message->n_tasks == spec->shape->tasks;
}

static bool
decode_task (struct st_task *task, const Ft__SnapshotTask *message,
             uint32_t number)
{
  if (message->task != number || message->assignment == NULL
      || !st_is_valid_name (message->assignment->worker)
      || message->output.len > ST_OUTPUT_LIMIT_BYTES
      || !fits_limit (message->detail, ST_TEXT_LIMIT_BYTES))
    return false;
  task->ended = message->ended;
  task->ok = message->ok;
  task->lease_lapsed = message->lapsed;
  st_text_set (&task->detail, message->detail);
  task->output = st_bytes_new (message->output.data, message->output.len);
  task->output_size_bytes = message->output.len;
  task->assignment.task = number;
  task->assignment.worker
      = g_ref_string_new_intern (message->assignment->worker);
  task->assignment.accelerators = message->assignment->accelerators;
  return true;
}

/* Adds the job of MESSAGE and takes ownership of its specification.  */
static bool
decode_job (struct st_state *state, Ft__SnapshotJob *message)
{
  struct st_stored_job *stored;
  struct st_job *job;
  size_t i;

  if (!job_is_valid (message) || st_job (state, message->job) != NULL)
    return false;
  stored = st_job_new (message->job, message->spec);
  message->spec = NULL;
  job = &stored->job;
  st_job_add (state, stored);
  job->digest = st_bytes_new (message->digest.data, message->digest.len);
  job->digest_size_bytes = message->digest.len;
  job->state = (enum st_job_state)message->state;
  job->attempt = message->attempt;
  job->cancelling = message->cancelling;
  job->may_have_run = message->ran;
  job->not_started = message->not_started;
  stored->ran_before = message->ran_before;
  job->submitted_ms = message->submitted_ms;
  job->changed_ms = message->changed_ms;
  job->progress_ms = message->progress_ms;
  st_text_set (&job->reason, message->reason);
  st_job_set_tasks (stored, message->n_tasks);
  for (i = 0; i < message->n_tasks; i++)
    if (!decode_task (&job->tasks[i], message->tasks[i], (uint32_t)i))
      return false;
  return true;
}

/* ===== Claims ================================================= */

static bool
decode_claim (struct st_state *state, const Ft__SnapshotClaim *message)
{
  const Ft__Claim *record = message->claim;
  struct st_stored_claim *stored;
  struct st_claim *claim;

  if (record == NULL || !st_is_valid_name (record->key)
      || !st_is_valid_name (record->request)
      || !st_is_valid_name (message->host)
      || record->digest.len > ST_DIGEST_LIMIT_BYTES
      || message->answer.len > ST_OUTPUT_LIMIT_BYTES
      || message->state > ST_CLAIM_UNKNOWN
      || st_claim (state, record->key) != NULL)
    return false;
  stored = st_claim_new (record, message->host);
  claim = &stored->claim;
  claim->state = (enum st_claim_state)message->state;
  claim->status = message->status;
  claim->answer = st_bytes_new (message->answer.data, message->answer.len);
  claim->answer_size_bytes = message->answer.len;
  claim->changed_ms = message->changed_ms;
  st_claim_add (state, stored);
  return true;
}

/* ===== Revisions ============================================== */

static bool
revision_is_valid (const Ft__SnapshotRevision *message)
{
  return st_is_valid_name (message->digest)
         && message->document.len <= ST_DOCUMENT_LIMIT_BYTES
         && fits_limit (message->author, ST_NAME_LIMIT_BYTES)
         && fits_limit (message->note, ST_TEXT_LIMIT_BYTES);
}

static void
add_revision (struct st_state *state, const Ft__SnapshotRevision *message)
{
  struct st_revision *revision = g_new0 (struct st_revision, 1);
  size_t size_bytes = message->document.len;

  revision->revision = message->revision;
  revision->digest = g_strdup (message->digest);
  revision->author = g_strdup (message->author);
  revision->note = g_strdup (message->note);
  revision->time_ms = message->time_ms;
  if (size_bytes > 0)
    {
      revision->document = g_malloc0 (size_bytes + 1);
      memcpy (revision->document, message->document.data, size_bytes);
      revision->document_size_bytes = size_bytes;
    }
  g_queue_push_tail (&state->revisions, revision);
}

/* The revisions must be in order, newest first and without gaps, and the
   newest must have its document.  */
static bool
decode_revisions (struct st_state *state, const Ft__Snapshot *snapshot)
{
  const Ft__SnapshotRevision *message;
  uint64_t newest;
  size_t i;

  if (snapshot->n_revisions == 0)
    return true;
  newest = snapshot->revisions[0]->revision;
  if (snapshot->n_revisions > ST_REVISION_LIMIT
      || newest < snapshot->n_revisions
      || snapshot->revisions[0]->document.len == 0)
    return false;
  for (i = 0; i < snapshot->n_revisions; i++)
    {
      message = snapshot->revisions[i];
      if (message->revision != newest - i || !revision_is_valid (message))
        return false;
      add_revision (state, message);
    }
  return true;
}

/* ===== Recent ids and expiry ================================== */

static bool
decode_recent_ids (struct st_state *state, const Ft__Snapshot *snapshot)
{
  const ProtobufCBinaryData *id;
  uint64_t time_ms = 0;
  size_t i;

  if (snapshot->n_recent_ids > ST_RECENT_ID_LIMIT
      || snapshot->n_recent_deltas_ms != snapshot->n_recent_ids
      || snapshot->n_recent_verdicts != snapshot->n_recent_ids)
    return false;
  for (i = 0; i < snapshot->n_recent_ids; i++)
    {
      id = &snapshot->recent_ids[i];
      time_ms += snapshot->recent_deltas_ms[i];
      if (id->len != ST_ID_SIZE_BYTES || time_ms > (uint64_t)state->time_ms
          || snapshot->recent_verdicts[i] > ST_VERDICT_MALFORMED
          || st_recent_id_find (state, id->data) != NULL)
        return false;
      st_recent_id_add (state, id->data, (int64_t)time_ms,
                        (enum st_verdict)snapshot->recent_verdicts[i]);
    }
  return true;
}

static gint
compare_expiries (gconstpointer left, gconstpointer right, gpointer ctx)
{
  const struct st_expiry *a = left;
  const struct st_expiry *b = right;

  (void)ctx;
  return (a->changed_ms > b->changed_ms) - (a->changed_ms < b->changed_ms);
}

static void
add_job_expiry (void *ctx, struct st_job *job)
{
  if (st_job_has_ended (job))
    st_expiry_add (ctx, false, job->id, job->changed_ms);
}

static void
add_claim_expiry (void *ctx, struct st_claim *claim)
{
  st_expiry_add (ctx, true, claim->key, claim->changed_ms);
}

static bool
decode_snapshot (struct st_state *state, const Ft__Snapshot *snapshot)
{
  size_t i;

  if (snapshot->time_ms < 0 || snapshot->outcome_window_ms > INT64_MAX
      || !fits_limit (snapshot->holder, ST_NAME_LIMIT_BYTES))
    return false;
  state->next_offset = snapshot->offset;
  state->time_ms = snapshot->time_ms;
  state->outcome_window_ms = (int64_t)snapshot->outcome_window_ms;
  state->term = snapshot->term;
  state->term_ms = snapshot->term_ms;
  st_text_set (&state->holder, snapshot->holder);
  if (!decode_revisions (state, snapshot)
      || !decode_recent_ids (state, snapshot))
    return false;
  for (i = 0; i < snapshot->n_jobs; i++)
    if (!decode_job (state, snapshot->jobs[i]))
      return false;
  for (i = 0; i < snapshot->n_claims; i++)
    if (!decode_claim (state, snapshot->claims[i]))
      return false;
  st_each_job (state, add_job_expiry, state);
  st_each_claim (state, add_claim_expiry, state);
  g_queue_sort (&state->expiries, compare_expiries, NULL);
  return true;
}

/* ===== Notifying of changes =================================== */

/* The new state, and the former one that it replaces.  */
struct replacement
{
  struct st_state *state;
  const struct st_state *before;
};

static bool
equal_and_unref (GBytes *left, GBytes *right)
{
  bool equal = g_bytes_equal (left, right);

  g_bytes_unref (left);
  g_bytes_unref (right);
  return equal;
}

static void
notify_job (void *ctx, struct st_job *job)
{
  const struct replacement *replacement = ctx;
  const struct st_observer *observer = &replacement->state->observer;
  const struct st_job *old = st_job (replacement->before, job->id);

  if (old != NULL && equal_and_unref (st_pack_job (old), st_pack_job (job)))
    return;
  if (observer->on_job != NULL)
    observer->on_job (observer->ctx, job);
}

static void
notify_dropped_job (void *ctx, struct st_job *job)
{
  const struct replacement *replacement = ctx;
  const struct st_observer *observer = &replacement->state->observer;

  if (st_job (replacement->state, job->id) == NULL
      && observer->on_job_dropped != NULL)
    observer->on_job_dropped (observer->ctx, job->id);
}

static void
notify_claim (void *ctx, struct st_claim *claim)
{
  const struct replacement *replacement = ctx;
  const struct st_observer *observer = &replacement->state->observer;
  const struct st_claim *old = st_claim (replacement->before, claim->key);

  if (old != NULL
      && equal_and_unref (st_pack_claim (old), st_pack_claim (claim)))
    return;
  if (observer->on_claim != NULL)
    observer->on_claim (observer->ctx, claim);
}

static void
notify_dropped_claim (void *ctx, struct st_claim *claim)
{
  const struct replacement *replacement = ctx;
  const struct st_observer *observer = &replacement->state->observer;

  if (st_claim (replacement->state, claim->key) == NULL
      && observer->on_claim_dropped != NULL)
    observer->on_claim_dropped (observer->ctx, claim->key);
}

static void
notify_changes (struct st_state *state, const struct st_state *before)
{
  const struct st_observer *observer = &state->observer;
  struct replacement replacement = { .state = state, .before = before };

  if (state->term != before->term && observer->on_term != NULL)
    observer->on_term (observer->ctx, state->term, state->holder);
  if (st_revision (state) != st_revision (before)
      && observer->on_config != NULL)
    observer->on_config (observer->ctx, st_current_config (state));
  st_each_job (before, notify_dropped_job, &replacement);
  st_each_job (state, notify_job, &replacement);
  st_each_claim (before, notify_dropped_claim, &replacement);
  st_each_claim (state, notify_claim, &replacement);
}

/* ===== Interface ============================================== */

/* After the call NEWER holds the former state, which the caller frees.  */
static void
replace_state (struct st_state *state, struct st_state *newer)
{
  struct st_state before = *state;

  *state = *newer;
  state->observer = before.observer;
  *newer = before;
  notify_changes (state, newer);
}

static int
check_not_reverting (const struct st_state *state,
                     const struct st_state *newer)
{
  if (newer->term < state->term || st_revision (newer) < st_revision (state))
    return ST_ERR_WOULD_REVERT;
  return ST_OK;
}

int
st_decode (struct st_state *state, const uint8_t *data, size_t size_bytes)
{
  Ft__Snapshot *snapshot = NULL;
  struct st_state *newer = NULL;
  int error = ST_ERR_INVALID;

  if (size_bytes <= ST_SNAPSHOT_LIMIT_BYTES)
    snapshot = ft__snapshot__unpack (NULL, size_bytes, data);
  if (snapshot == NULL)
    return ST_ERR_INVALID;
  if (snapshot->offset <= state->next_offset)
    {
      error = ST_OK;
      goto done;
    }
  if (st_create (&newer, NULL, state->outcome_window_ms) != ST_OK)
    {
      error = ST_ERR_MEMORY;
      goto done;
    }
  if (!decode_snapshot (newer, snapshot))
    goto done;
  error = check_not_reverting (state, newer);
  if (error == ST_OK)
    replace_state (state, newer);

done:
  st_free (newer);
  ft__snapshot__free_unpacked (snapshot, NULL);
  return error;
}
