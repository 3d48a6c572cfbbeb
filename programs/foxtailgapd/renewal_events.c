/* Records in the log what has ended on workers: tasks whose end they report,
   attempts without a lease, and all tasks of an unreachable worker.  */

#include <string.h>

#include "common/logging.h"
#include "renewal.h"

enum
{
  DETAIL_LIMIT_BYTES = 200,
  OUTPUT_LIMIT_BYTES = 64 * 1024
};

/* ===== Appends ================================================ */

static Ft__TaskEnd *
new_task_end (const struct renewal_worker *worker,
              const struct ls_attempt *attempt, uint32_t task)
{
  Ft__TaskEnd *end = g_new0 (Ft__TaskEnd, 1);

  ft__task_end__init (end);
  end->job = g_strdup (attempt->job);
  end->attempt = attempt->attempt;
  end->task = task;
  end->worker = g_strdup (worker->name);
  return end;
}

/* Takes ownership of END and APPEND.  */
static void
append_task_end (struct renewal_task *task, Ft__TaskEnd *end,
                 struct renewal_append *append)
{
  struct msg_append *message = g_new0 (struct msg_append, 1);
  uint64_t *token = g_new (uint64_t, 1);

  *token = ++task->next_token;
  ft__record__init (&message->record);
  message->record.body_case = FT__RECORD__BODY_TASK_END;
  message->record.task_end = end;
  message->timeout_ms = RENEWAL_APPEND_DEADLINE_MS;
  message->reply = task->box;
  message->token = *token;
  g_hash_table_insert (task->appends, token, append);
  mb_post (task->daemon->state, MSG_APPEND, message);
}

void
renewal_append_free (void *append)
{
  struct renewal_append *item = append;

  g_free (item->worker);
  g_free (item->loss_key);
  g_free (item);
}

/* ===== Events ================================================= */

static struct renewal_event *
find_event (const struct renewal_worker *worker, uint64_t seq)
{
  struct renewal_event *event;
  guint i;

  for (i = 0; i < worker->events->len; i++)
    {
      event = &g_array_index (worker->events, struct renewal_event, i);
      if (event->seq == seq)
        return event;
    }
  return NULL;
}

static struct renewal_event *
add_event (struct renewal_worker *worker, uint64_t seq)
{
  struct renewal_event event = { .seq = seq };
  guint i = worker->events->len;

  while (i > 0
         && g_array_index (worker->events, struct renewal_event, i - 1).seq
                > seq)
    i--;
  g_array_insert_val (worker->events, i, event);
  return &g_array_index (worker->events, struct renewal_event, i);
}

static bool
is_folded (const struct renewal_task *task, const struct ls_task_end *event)
{
  const struct st_job *job
      = g_hash_table_lookup (task->jobs, event->attempt.job);

  return job != NULL && job->attempt == event->attempt.attempt
         && event->task < job->task_count && job->tasks[event->task].ended;
}

static void
record_event (struct renewal_worker *worker, const struct ls_task_end *event)
{
  struct renewal_append *append = g_new0 (struct renewal_append, 1);
  Ft__TaskEnd *end = new_task_end (worker, &event->attempt, event->task);
  size_t output_bytes = strlen (event->output);

  end->ok = event->ok;
  end->lapsed = event->lapsed;
  end->detail = g_utf8_make_valid (
      event->detail, (gssize)strnlen (event->detail, DETAIL_LIMIT_BYTES));
  end->output.len = MIN (output_bytes, (size_t)OUTPUT_LIMIT_BYTES);
  end->output.data = g_memdup2 (event->output, end->output.len);
  append->worker = g_strdup (worker->name);
  append->boot = worker->boot;
  append->seq = event->seq;
  append_task_end (worker->task, end, append);
}

static void
on_event (struct renewal_worker *worker, const struct ls_task_end *event)
{
  struct renewal_event *entry;

  if (event->seq <= worker->recorded_seq)
    return;
  entry = find_event (worker, event->seq);
  if (entry == NULL)
    entry = add_event (worker, event->seq);
  if (entry->state != RENEWAL_EVENT_UNRECORDED)
    return;
  if (is_folded (worker->task, event))
    {
      entry->state = RENEWAL_EVENT_FOLDED;
      return;
    }
  entry->state = RENEWAL_EVENT_APPEND_PENDING;
  record_event (worker, event);
}

/* Acknowledges all events before the first one that is not in the log.  */
static void
advance_recorded_seq (struct renewal_worker *worker)
{
  const struct renewal_event *first;

  while (worker->events->len > 0)
    {
      first = &g_array_index (worker->events, struct renewal_event, 0);
      if (first->state != RENEWAL_EVENT_FOLDED)
        break;
      worker->recorded_seq = first->seq;
      g_array_remove_index (worker->events, 0);
    }
}

void
renewal_forget_events (struct renewal_worker *worker)
{
  worker->boot = 0;
  worker->recorded_seq = 0;
  worker->acked_seq_delivered = 0;
  g_array_set_size (worker->events, 0);
}

void
renewal_on_events (struct renewal_worker *worker,
                   const struct ls_answer *answer)
{
  size_t i;

  if (worker->boot != answer->worker_boot_id)
    {
      renewal_forget_events (worker);
      worker->boot = answer->worker_boot_id;
    }
  for (i = 0; i < answer->event_count; i++)
    on_event (worker, &answer->events[i]);
  advance_recorded_seq (worker);
}

/* ===== Losses ================================================= */

static void
record_loss (struct renewal_worker *worker, const struct ls_attempt *attempt,
             uint32_t task, const char *detail)
{
  struct renewal_append *append;
  Ft__TaskEnd *end;
  char *key
      = g_strdup_printf ("%s/%u/%u", attempt->job, attempt->attempt, task);

  if (!g_hash_table_add (worker->pending_losses, g_strdup (key)))
    {
      g_free (key);
      return;
    }
  lg_warning (RENEWAL_PART, "A task is recorded as lost.", "job", attempt->job,
              "worker", worker->name, "why", detail, NULL);
  end = new_task_end (worker, attempt, task);
  end->lapsed = true;
  end->detail = g_strdup (detail);
  append = g_new0 (struct renewal_append, 1);
  append->worker = g_strdup (worker->name);
  append->boot = worker->boot;
  append->loss_key = key;
  append_task_end (worker->task, end, append);
}

static void
record_job_loss (struct renewal_worker *worker, const struct st_job *job,
                 const char *detail)
{
  struct ls_attempt attempt = { .job = job->id, .attempt = job->attempt };
  size_t i;

  for (i = 0; i < job->task_count; i++)
    if (!job->tasks[i].ended
        && g_str_equal (job->tasks[i].assignment.worker, worker->name))
      record_loss (worker, &attempt, job->tasks[i].assignment.task, detail);
}

void
renewal_on_unknown_attempt (struct renewal_worker *worker,
                            const struct ls_attempt *attempt)
{
  const struct st_job *job
      = g_hash_table_lookup (worker->task->jobs, attempt->job);

  if (job != NULL && job->attempt == attempt->attempt)
    record_job_loss (worker, job, "the worker does not have the lease");
}

void
renewal_on_worker_lost (struct renewal_worker *worker)
{
  GHashTableIter iter;
  gpointer id;
  const struct st_job *job;

  g_hash_table_iter_init (&iter, worker->jobs);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      job = g_hash_table_lookup (worker->task->jobs, id);
      if (job != NULL)
        record_job_loss (worker, job, "the worker cannot be reached");
    }
}

/* ===== Results of appends ===================================== */

/* If the record was folded, any verdict is final: the end is in the log, or it
   came after the attempt was over.  */
static void
apply_append_result (struct renewal_worker *worker,
                     const struct renewal_append *append, bool folded)
{
  struct renewal_event *event;

  if (append->loss_key != NULL)
    g_hash_table_remove (worker->pending_losses, append->loss_key);
  if (append->seq == 0 || append->boot != worker->boot)
    return;
  event = find_event (worker, append->seq);
  if (event == NULL)
    return;
  event->state = folded ? RENEWAL_EVENT_FOLDED : RENEWAL_EVENT_UNRECORDED;
  advance_recorded_seq (worker);
}

void
renewal_on_appended (struct renewal_task *task,
                     const struct msg_appended *answer)
{
  struct renewal_append *append;
  struct renewal_worker *worker;
  gpointer key;
  gpointer value;

  if (!g_hash_table_steal_extended (task->appends, &answer->token, &key,
                                    &value))
    return;
  append = value;
  worker = g_hash_table_lookup (task->workers, append->worker);
  if (worker != NULL)
    apply_append_result (worker, append, answer->result == MSG_APPEND_FOLDED);
  renewal_append_free (append);
  g_free (key);
}
