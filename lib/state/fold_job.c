/* Rules that decide which job records take effect.  A job that has ended
   never changes again.  */

#include <string.h>

#include "state/state_private.h"

static GList *
find_link (const struct st_state *state, const char *id)
{
  return g_hash_table_lookup (state->jobs, id);
}

static struct st_job *
job_at (GList *link)
{
  return &((struct st_stored_job *)link->data)->job;
}

static void
publish_job (struct st_state *state, struct st_job *job)
{
  job->changed_ms = state->time_ms;
  if (st_job_has_ended (job))
    st_expiry_add (state, false, job->id, job->changed_ms);
  if (state->observer.on_job != NULL)
    state->observer.on_job (state->observer.ctx, job);
}

static bool
holds_workers (const struct st_job *job)
{
  return job->state == ST_JOB_PLACED || job->state == ST_JOB_RUNNING;
}

static Ft__JobSpec *
copy_spec (const Ft__JobSpec *spec)
{
  size_t size_bytes = ft__job_spec__get_packed_size (spec);
  uint8_t *packed = g_malloc (size_bytes + 1);
  Ft__JobSpec *copy;

  ft__job_spec__pack (spec, packed);
  copy = ft__job_spec__unpack (NULL, size_bytes, packed);
  g_free (packed);
  return copy;
}

static bool
submit_is_valid (const Ft__JobSubmit *record)
{
  const Ft__JobSpec *spec = record->spec;

  if (!st_is_valid_name (record->job) || spec == NULL || spec->shape == NULL)
    return false;
  if (record->digest.len > ST_DIGEST_LIMIT_BYTES)
    return false;
  return spec->shape->tasks > 0 && spec->shape->tasks <= PLACE_TASK_LIMIT;
}

enum st_verdict
st_fold_submit (struct st_state *state, const Ft__JobSubmit *record)
{
  struct st_stored_job *stored;
  struct st_job *job;
  Ft__JobSpec *spec;
  GList *link;

  if (!submit_is_valid (record))
    return ST_VERDICT_MALFORMED;
  link = find_link (state, record->job);
  if (link != NULL)
    {
      job = job_at (link);
      return st_bytes_equal (job->digest, job->digest_size_bytes,
                             record->digest.data, record->digest.len)
                 ? ST_VERDICT_KEY_TAKEN
                 : ST_VERDICT_KEY_CONFLICT;
    }
  spec = copy_spec (record->spec);
  if (spec == NULL)
    return ST_VERDICT_MALFORMED;
  stored = st_job_new (record->job, spec);
  job = &stored->job;
  job->digest = st_bytes_new (record->digest.data, record->digest.len);
  job->digest_size_bytes = record->digest.len;
  job->submitted_ms = state->time_ms;
  st_job_add (state, stored);
  publish_job (state, job);
  return ST_VERDICT_VALID;
}

/* Whether each task of the job is assigned exactly once, with a valid worker
   name.  */
static bool
covers_all_tasks (const Ft__JobPlace *record, uint32_t task_count)
{
  bool seen[PLACE_TASK_LIMIT] = { false };
  const Ft__Assignment *assignment;
  size_t i;

  if (record->n_assignments != task_count)
    return false;
  for (i = 0; i < record->n_assignments; i++)
    {
      assignment = record->assignments[i];
      if (assignment->task >= task_count || seen[assignment->task]
          || !st_is_valid_name (assignment->worker))
        return false;
      seen[assignment->task] = true;
    }
  return true;
}

enum st_verdict
st_fold_place (struct st_state *state, uint64_t term,
               const Ft__JobPlace *record)
{
  GList *link = find_link (state, record->job);
  struct st_stored_job *stored;
  struct st_job *job;
  struct place_assignment *assignment;
  uint32_t task;
  size_t i;

  if (term != state->term)
    return ST_VERDICT_STALE_TERM;
  if (link == NULL)
    return ST_VERDICT_UNKNOWN_JOB;
  job = job_at (link);
  if (job->state != ST_JOB_QUEUED || job->cancelling
      || record->attempt != job->attempt + 1)
    return ST_VERDICT_WRONG_STATE;
  if (!covers_all_tasks (record, job->spec->shape->tasks))
    return ST_VERDICT_MALFORMED;
  stored = st_job_make_writable (link);
  job = &stored->job;
  st_job_set_tasks (stored, record->n_assignments);
  for (i = 0; i < record->n_assignments; i++)
    {
      task = record->assignments[i]->task;
      assignment = &job->tasks[task].assignment;
      assignment->task = task;
      assignment->worker
          = g_ref_string_new_intern (record->assignments[i]->worker);
      assignment->accelerators = record->assignments[i]->accelerators;
    }
  job->state = ST_JOB_PLACED;
  job->attempt = record->attempt;
  job->not_started = false;
  stored->ran_before = job->may_have_run;
  job->may_have_run = true;
  publish_job (state, job);
  return ST_VERDICT_VALID;
}

enum st_verdict
st_fold_start (struct st_state *state, uint64_t term,
               const Ft__JobStart *record)
{
  GList *link = find_link (state, record->job);
  struct st_job *job;

  if (term != state->term)
    return ST_VERDICT_STALE_TERM;
  if (link == NULL)
    return ST_VERDICT_UNKNOWN_JOB;
  job = job_at (link);
  if (job->state != ST_JOB_PLACED || record->attempt != job->attempt)
    return ST_VERDICT_WRONG_STATE;
  job = &st_job_make_writable (link)->job;
  job->state = ST_JOB_RUNNING;
  publish_job (state, job);
  return ST_VERDICT_VALID;
}

static bool
all_tasks_succeeded (const struct st_job *job)
{
  size_t i;

  for (i = 0; i < job->task_count; i++)
    if (!job->tasks[i].ended || !job->tasks[i].ok)
      return false;
  return true;
}

static bool
task_end_is_valid (const Ft__TaskEnd *record)
{
  return record->output.len <= ST_OUTPUT_LIMIT_BYTES
         && strnlen (record->detail, ST_TEXT_LIMIT_BYTES + 1)
                <= ST_TEXT_LIMIT_BYTES;
}

enum st_verdict
st_fold_task_end (struct st_state *state, const Ft__TaskEnd *record)
{
  GList *link = find_link (state, record->job);
  struct st_job *job;
  struct st_task *task;

  if (link == NULL)
    return ST_VERDICT_UNKNOWN_JOB;
  if (!task_end_is_valid (record))
    return ST_VERDICT_MALFORMED;
  job = job_at (link);
  if (!holds_workers (job) || record->attempt != job->attempt)
    return ST_VERDICT_WRONG_STATE;
  if (record->task >= job->task_count)
    return ST_VERDICT_MALFORMED;
  if (job->tasks[record->task].ended)
    return ST_VERDICT_WRONG_STATE;
  if (record->worker[0] != '\0'
      && strcmp (record->worker, job->tasks[record->task].assignment.worker)
             != 0)
    return ST_VERDICT_WRONG_STATE;
  job = &st_job_make_writable (link)->job;
  task = &job->tasks[record->task];
  task->ended = true;
  task->ok = record->ok;
  task->lease_lapsed = record->lapsed;
  st_text_set (&task->detail, record->detail);
  task->output = st_bytes_new (record->output.data, record->output.len);
  task->output_size_bytes = record->output.len;
  if (all_tasks_succeeded (job))
    job->state = ST_JOB_FINISHED;
  publish_job (state, job);
  return ST_VERDICT_VALID;
}

/* The planner's report that no task of the attempt started counts only if no
   record of the log contradicts it: neither a start of the job nor the end of
   a task that was not a lapsed lease.  */
static bool
has_no_record_of_start (const struct st_job *job)
{
  size_t i;

  if (job->state != ST_JOB_PLACED)
    return false;
  for (i = 0; i < job->task_count; i++)
    if (job->tasks[i].ended && !job->tasks[i].lease_lapsed)
      return false;
  return true;
}

static enum st_job_state
state_after_stop (const struct st_job *job, bool again)
{
  if (job->cancelling)
    return ST_JOB_CANCELLED;
  if (again && (job->spec->repeatable || job->not_started))
    return ST_JOB_QUEUED;
  return ST_JOB_FAILED;
}

enum st_verdict
st_fold_stop (struct st_state *state, uint64_t term, const Ft__JobStop *record)
{
  GList *link = find_link (state, record->job);
  struct st_stored_job *stored;
  struct st_job *job;

  if (term != state->term)
    return ST_VERDICT_STALE_TERM;
  if (link == NULL)
    return ST_VERDICT_UNKNOWN_JOB;
  if (strnlen (record->reason, ST_TEXT_LIMIT_BYTES + 1) > ST_TEXT_LIMIT_BYTES)
    return ST_VERDICT_MALFORMED;
  job = job_at (link);
  if (!holds_workers (job) || record->attempt != job->attempt)
    return ST_VERDICT_WRONG_STATE;
  stored = st_job_make_writable (link);
  job = &stored->job;
  job->not_started = record->not_started && has_no_record_of_start (job);
  if (job->not_started)
    job->may_have_run = stored->ran_before;
  job->state = state_after_stop (job, record->again);
  job->progress_ms = MAX (job->progress_ms, record->progress_ms);
  st_text_set (&job->reason, record->reason);
  publish_job (state, job);
  return ST_VERDICT_VALID;
}

enum st_verdict
st_fold_cancel (struct st_state *state, const Ft__JobCancel *record)
{
  GList *link = find_link (state, record->job);
  struct st_job *job;

  if (link == NULL)
    return ST_VERDICT_UNKNOWN_JOB;
  job = job_at (link);
  if (st_job_has_ended (job))
    return ST_VERDICT_WRONG_STATE;
  if (job->cancelling)
    return ST_VERDICT_VALID;
  job = &st_job_make_writable (link)->job;
  if (job->state == ST_JOB_QUEUED)
    job->state = ST_JOB_CANCELLED;
  else
    job->cancelling = true;
  publish_job (state, job);
  return ST_VERDICT_VALID;
}

/* "Refused" guarantees that the job never ran.  A job that may have run in an
   earlier attempt therefore becomes failed.  */
enum st_verdict
st_fold_refuse (struct st_state *state, uint64_t term,
                const Ft__JobRefuse *record)
{
  GList *link = find_link (state, record->job);
  struct st_job *job;

  if (term != state->term)
    return ST_VERDICT_STALE_TERM;
  if (link == NULL)
    return ST_VERDICT_UNKNOWN_JOB;
  if (strnlen (record->reason, ST_TEXT_LIMIT_BYTES + 1) > ST_TEXT_LIMIT_BYTES)
    return ST_VERDICT_MALFORMED;
  job = job_at (link);
  if (job->state != ST_JOB_QUEUED)
    return ST_VERDICT_WRONG_STATE;
  job = &st_job_make_writable (link)->job;
  job->state = job->may_have_run ? ST_JOB_FAILED : ST_JOB_REFUSED;
  st_text_set (&job->reason, record->reason);
  publish_job (state, job);
  return ST_VERDICT_VALID;
}
