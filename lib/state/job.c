/* Job objects: shared by reference count, and copied before a change if
   somebody else refers to them.  */

#include <stdlib.h>

#include "state/state_private.h"

static void
spec_clear (gpointer data)
{
  struct st_spec *spec = data;

  ft__job_spec__free_unpacked (spec->spec, NULL);
}

/* Takes ownership of SPEC.  */
struct st_stored_job *
st_job_new (const char *id, Ft__JobSpec *spec)
{
  struct st_stored_job *stored = g_new0 (struct st_stored_job, 1);

  stored->refs = 1;
  stored->spec = g_rc_box_new (struct st_spec);
  stored->spec->spec = spec;
  stored->job.spec = spec;
  stored->job.id = st_text_new (id);
  stored->job.state = ST_JOB_QUEUED;
  stored->job.reason = st_text_new ("");
  return stored;
}

static void
task_copy (struct st_task *to, const struct st_task *from)
{
  *to = *from;
  to->assignment.worker = st_text_share ((char *)from->assignment.worker);
  to->detail = st_text_share (from->detail);
  to->output = st_bytes_share (from->output);
}

struct st_stored_job *
st_job_copy (struct st_stored_job *stored)
{
  struct st_stored_job *copy = g_new (struct st_stored_job, 1);
  struct st_job *job = &copy->job;
  size_t i;

  *copy = *stored;
  copy->refs = 1;
  copy->spec = g_rc_box_acquire (stored->spec);
  job->id = st_text_share (job->id);
  job->reason = st_text_share (job->reason);
  job->digest = st_bytes_share (job->digest);
  job->tasks = g_new0 (struct st_task, job->task_count);
  for (i = 0; i < job->task_count; i++)
    task_copy (&job->tasks[i], &stored->job.tasks[i]);
  return copy;
}

static void
free_tasks (struct st_job *job)
{
  size_t i;

  for (i = 0; i < job->task_count; i++)
    {
      st_text_release ((char *)job->tasks[i].assignment.worker);
      st_text_release (job->tasks[i].detail);
      st_bytes_release (job->tasks[i].output);
    }
  g_free (job->tasks);
  job->tasks = NULL;
  job->task_count = 0;
}

/* Frees the tasks and adds TASK_COUNT empty ones.  */
void
st_job_set_tasks (struct st_stored_job *stored, size_t task_count)
{
  struct st_job *job = &stored->job;
  size_t i;

  free_tasks (job);
  job->tasks = g_new0 (struct st_task, task_count);
  job->task_count = task_count;
  for (i = 0; i < task_count; i++)
    job->tasks[i].detail = st_text_new ("");
}

struct st_job *
st_job_ref (struct st_job *job)
{
  struct st_stored_job *stored = (struct st_stored_job *)job;

  stored->refs++;
  return job;
}

void
st_job_unref (struct st_job *job)
{
  struct st_stored_job *stored = (struct st_stored_job *)job;

  if (job == NULL || --stored->refs > 0)
    return;
  free_tasks (job);
  g_rc_box_release_full (stored->spec, spec_clear);
  st_text_release (job->id);
  st_text_release (job->reason);
  st_bytes_release (job->digest);
  g_free (stored);
}

bool
st_job_has_ended (const struct st_job *job)
{
  return job->state >= ST_JOB_FINISHED;
}

struct st_stored_job *
st_job_make_writable (GList *link)
{
  struct st_stored_job *stored = link->data;

  if (stored->refs > 1)
    {
      link->data = st_job_copy (stored);
      st_job_unref (&stored->job);
    }
  return link->data;
}

void
st_job_add (struct st_state *state, struct st_stored_job *stored)
{
  g_queue_push_tail (&state->job_order, stored);
  g_hash_table_insert (state->jobs, st_text_share (stored->job.id),
                       state->job_order.tail);
}

const char *
st_job_state_name (enum st_job_state state)
{
  switch (state)
    {
    case ST_JOB_QUEUED:
      return "queued";
    case ST_JOB_PLACED:
      return "placed";
    case ST_JOB_RUNNING:
      return "running";
    case ST_JOB_FINISHED:
      return "finished";
    case ST_JOB_FAILED:
      return "failed";
    case ST_JOB_CANCELLED:
      return "cancelled";
    case ST_JOB_REFUSED:
      return "refused";
    }
  return "unknown";
}
