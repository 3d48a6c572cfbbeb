/* Encoder of snapshots.  The messages borrow all texts and bytes from the
   state; only the message structs are allocated, and freed together.  */

#include <stdlib.h>

#include "state/state_private.h"

/* Memory of the message structs and pointer arrays of one snapshot.  */
struct arena
{
  GPtrArray *blocks;
};

static void *
arena_new (struct arena *arena, size_t count, size_t size_bytes)
{
  void *block = g_malloc0_n (MAX (count, 1), size_bytes);

  g_ptr_array_add (arena->blocks, block);
  return block;
}

/* An array of COUNT pointers.  */
static void *
arena_new_pointers (struct arena *arena, size_t count)
{
  return arena_new (arena, count, sizeof (void *));
}

static void
arena_open (struct arena *arena)
{
  arena->blocks = g_ptr_array_new_with_free_func (g_free);
}

static void
arena_close (struct arena *arena)
{
  g_ptr_array_free (arena->blocks, TRUE);
}

static ProtobufCBinaryData
borrow_bytes (const void *data, size_t size_bytes)
{
  return (ProtobufCBinaryData){ .len = size_bytes, .data = (uint8_t *)data };
}

/* ===== Jobs =================================================== */

static Ft__SnapshotTask *
fill_task (struct arena *arena, const struct st_task *task, uint32_t number)
{
  Ft__SnapshotTask *out = arena_new (arena, 1, sizeof *out);

  ft__snapshot_task__init (out);
  out->task = number;
  out->ended = task->ended;
  out->ok = task->ok;
  out->lapsed = task->lease_lapsed;
  out->detail = task->detail;
  out->output = borrow_bytes (task->output, task->output_size_bytes);
  out->assignment = arena_new (arena, 1, sizeof *out->assignment);
  ft__assignment__init (out->assignment);
  out->assignment->task = number;
  out->assignment->worker = (char *)task->assignment.worker;
  out->assignment->accelerators = task->assignment.accelerators;
  return out;
}

static Ft__SnapshotJob *
fill_job (struct arena *arena, const struct st_job *job)
{
  const struct st_stored_job *stored = (const struct st_stored_job *)job;
  Ft__SnapshotJob *out = arena_new (arena, 1, sizeof *out);
  size_t i;

  ft__snapshot_job__init (out);
  out->job = job->id;
  out->spec = job->spec;
  out->digest = borrow_bytes (job->digest, job->digest_size_bytes);
  out->state = job->state;
  out->attempt = job->attempt;
  out->cancelling = job->cancelling;
  out->submitted_ms = job->submitted_ms;
  out->changed_ms = job->changed_ms;
  out->reason = job->reason;
  out->progress_ms = job->progress_ms;
  out->ran = job->may_have_run;
  out->not_started = job->not_started;
  out->ran_before = stored->ran_before;
  out->n_tasks = job->task_count;
  out->tasks = arena_new_pointers (arena, job->task_count);
  for (i = 0; i < job->task_count; i++)
    out->tasks[i] = fill_task (arena, &job->tasks[i], (uint32_t)i);
  return out;
}

GBytes *
st_pack_job (const struct st_job *job)
{
  struct arena arena;
  Ft__SnapshotJob *message;
  uint8_t *packed;
  size_t size_bytes;

  arena_open (&arena);
  message = fill_job (&arena, job);
  size_bytes = ft__snapshot_job__get_packed_size (message);
  packed = g_malloc (size_bytes);
  ft__snapshot_job__pack (message, packed);
  arena_close (&arena);
  return g_bytes_new_take (packed, size_bytes);
}

static void
fill_jobs (struct arena *arena, Ft__Snapshot *out,
           const struct st_state *state)
{
  const GList *link;

  out->jobs = arena_new_pointers (arena, state->job_order.length);
  for (link = state->job_order.head; link != NULL; link = link->next)
    out->jobs[out->n_jobs++]
        = fill_job (arena, &((struct st_stored_job *)link->data)->job);
}

/* ===== Claims ================================================= */

static Ft__SnapshotClaim *
fill_claim (struct arena *arena, const struct st_claim *claim)
{
  Ft__SnapshotClaim *out = arena_new (arena, 1, sizeof *out);

  ft__snapshot_claim__init (out);
  out->claim = arena_new (arena, 1, sizeof *out->claim);
  ft__claim__init (out->claim);
  out->claim->key = claim->key;
  out->claim->request = claim->request;
  out->claim->team = claim->team;
  out->claim->service = claim->service;
  out->claim->digest = borrow_bytes (claim->digest, claim->digest_size_bytes);
  out->state = claim->state;
  out->status = claim->status;
  out->answer = borrow_bytes (claim->answer, claim->answer_size_bytes);
  out->changed_ms = claim->changed_ms;
  out->host = claim->host;
  return out;
}

GBytes *
st_pack_claim (const struct st_claim *claim)
{
  struct arena arena;
  Ft__SnapshotClaim *message;
  uint8_t *packed;
  size_t size_bytes;

  arena_open (&arena);
  message = fill_claim (&arena, claim);
  size_bytes = ft__snapshot_claim__get_packed_size (message);
  packed = g_malloc (size_bytes);
  ft__snapshot_claim__pack (message, packed);
  arena_close (&arena);
  return g_bytes_new_take (packed, size_bytes);
}

static void
fill_claims (struct arena *arena, Ft__Snapshot *out,
             const struct st_state *state)
{
  const GList *link;

  out->claims = arena_new_pointers (arena, state->claim_order.length);
  for (link = state->claim_order.head; link != NULL; link = link->next)
    out->claims[out->n_claims++]
        = fill_claim (arena, &((struct st_stored_claim *)link->data)->claim);
}

/* ===== Revisions, recent ids, whole snapshot ================== */

static void
fill_revisions (struct arena *arena, Ft__Snapshot *out,
                const struct st_state *state)
{
  const struct st_revision *revision;
  Ft__SnapshotRevision *message;
  const GList *link;

  out->revisions = arena_new_pointers (arena, state->revisions.length);
  for (link = state->revisions.head; link != NULL; link = link->next)
    {
      revision = link->data;
      message = arena_new (arena, 1, sizeof *message);
      ft__snapshot_revision__init (message);
      message->revision = revision->revision;
      message->digest = revision->digest;
      message->author = revision->author;
      message->note = revision->note;
      message->time_ms = revision->time_ms;
      message->document
          = borrow_bytes (revision->document, revision->document_size_bytes);
      out->revisions[out->n_revisions++] = message;
    }
}

static void
fill_recent_ids (struct arena *arena, Ft__Snapshot *out,
                 const struct st_state *state)
{
  const struct st_recent_id *entry;
  size_t count = state->recent_order.length;
  int64_t previous_ms = 0;
  const GList *link;
  size_t i = 0;

  out->recent_ids = arena_new (arena, count, sizeof (*out->recent_ids));
  out->recent_deltas_ms
      = arena_new (arena, count, sizeof (*out->recent_deltas_ms));
  out->recent_verdicts
      = arena_new (arena, count, sizeof (*out->recent_verdicts));
  for (link = state->recent_order.head; link != NULL; link = link->next)
    {
      entry = link->data;
      out->recent_ids[i] = borrow_bytes (entry->id, ST_ID_SIZE_BYTES);
      out->recent_deltas_ms[i] = (uint64_t)(entry->time_ms - previous_ms);
      out->recent_verdicts[i] = entry->verdict;
      previous_ms = entry->time_ms;
      i++;
    }
  out->n_recent_ids = count;
  out->n_recent_deltas_ms = count;
  out->n_recent_verdicts = count;
}

int
st_encode_at (const struct st_state *state, uint64_t offset, uint8_t **data,
              size_t *size_bytes)
{
  Ft__Snapshot snapshot = FT__SNAPSHOT__INIT;
  struct arena arena;
  int error = ST_ERR_MEMORY;

  arena_open (&arena);
  snapshot.offset = offset;
  snapshot.term = state->term;
  snapshot.holder = state->holder;
  snapshot.term_ms = state->term_ms;
  snapshot.time_ms = state->time_ms;
  snapshot.outcome_window_ms = (uint64_t)state->outcome_window_ms;
  fill_revisions (&arena, &snapshot, state);
  fill_jobs (&arena, &snapshot, state);
  fill_claims (&arena, &snapshot, state);
  fill_recent_ids (&arena, &snapshot, state);
  *size_bytes = ft__snapshot__get_packed_size (&snapshot);
  *data = malloc (MAX (*size_bytes, 1));
  if (*data == NULL)
    goto done;
  ft__snapshot__pack (&snapshot, *data);
  error = ST_OK;

done:
  arena_close (&arena);
  return error;
}

int
st_encode (const struct st_state *state, uint8_t **data, size_t *size_bytes)
{
  return st_encode_at (state, state->next_offset, data, size_bytes);
}
