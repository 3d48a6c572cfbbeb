/* Encodes and decodes the records of the jobs' topic.  */

#include "jobs/records.h"

#include <string.h>

#include "jobs/catalog.h"
#include "proto/jobs.pb-c.h"

static GByteArray *
pack (const ProtobufCMessage *message)
{
  size_t size = protobuf_c_message_get_packed_size (message);
  GByteArray *bytes = g_byte_array_sized_new ((guint)size);

  g_byte_array_set_size (bytes, (guint)size);
  protobuf_c_message_pack (message, bytes->data);
  return bytes;
}

static char *
empty_if_null (const char *text)
{
  return text == NULL ? (char *)"" : (char *)text;
}

static char *
dup_or_null_if_empty (const char *text)
{
  return text == NULL || text[0] == '\0' ? NULL : g_strdup (text);
}

/* --- Queues --- */

static void
encode_queue (Ftj__QueueRecord *record, const struct ct_queue *queue)
{
  ftj__queue_record__init (record);
  record->host = queue->host_header;
  record->path_prefix = queue->path_prefix;
  record->service = queue->service;
  record->priority = queue->priority;
  record->attempt_limit = queue->attempt_limit;
  record->slack_factor = (float)queue->slack_factor;
  record->target_ms = queue->target_ms;
  record->uses_advisor = queue->uses_advisor;
  record->advice_call_ms = queue->advice_call_ms;
  record->advice_per_worker_ms = queue->advice_per_worker_ms;
  record->version = queue->version;
}

/* @return : to be freed by ct_queue_free ().  */
static struct ct_queue *
decode_queue (const Ftj__QueueRecord *record, const char *name)
{
  const struct ct_queue queue
      = { .name = (char *)name,
          .host_header = record->host,
          .path_prefix = record->path_prefix,
          .service = record->service,
          .priority = record->priority,
          .attempt_limit = record->attempt_limit,
          .slack_factor = record->slack_factor,
          .target_ms = record->target_ms,
          .uses_advisor = record->uses_advisor,
          .advice_call_ms = record->advice_call_ms,
          .advice_per_worker_ms = record->advice_per_worker_ms,
          .version = record->version };

  return ct_queue_copy (&queue);
}

/* --- Specification --- */

static void
encode_step (Ftj__StepRecord *record, const struct jb_step_spec *step)
{
  ftj__step_record__init (record);
  record->count = step->count;
  record->cpus_milli = step->resources.cpus_milli;
  record->memory_mib = step->resources.memory_mib;
  record->accelerators = step->resources.accelerators;
  record->estimate_ms = step->estimate_ms;
  record->after = step->depends_on;
  record->n_after = step->depends_on_count;
  record->gang = step->gang;
  record->one_rack = step->one_rack;
  record->checkpoints = step->can_checkpoint;
  record->copies_allowed = step->copies_allowed;
  record->lasting = step->long_lived;
  record->label = empty_if_null (step->label);
  record->data_rack = empty_if_null (step->data_rack);
  record->worker_limit = step->tasks_per_worker_limit;
  record->image = empty_if_null (step->image);
  record->target_ms = step->tail_target_ms;
  record->fills = step->best_effort;
  record->absence_limit = step->absence_limit;
}

GByteArray *
jb_encode_spec (const struct jb_spec *spec)
{
  Ftj__JobRecord record = FTJ__JOB_RECORD__INIT;
  Ftj__StepRecord *steps = g_new0 (Ftj__StepRecord, spec->step_count);
  Ftj__StepRecord **rows = g_new0 (Ftj__StepRecord *, spec->step_count);
  Ftj__QueueRecord queue;
  GByteArray *bytes;
  size_t i;

  for (i = 0; i < spec->step_count; i++)
    {
      encode_step (&steps[i], &spec->steps[i]);
      rows[i] = &steps[i];
    }
  record.queue = empty_if_null (spec->queue);
  if (spec->queue_config != NULL)
    {
      encode_queue (&queue, spec->queue_config);
      record.queue_config = &queue;
    }
  record.team = empty_if_null (spec->team);
  record.accepted_unix_ms = spec->accepted_unix_ms;
  record.text = empty_if_null (spec->text);
  record.steps = rows;
  record.n_steps = spec->step_count;
  record.times = spec->has_due_time ? spec->occurrence_count : 0;
  record.first_unix_ms = spec->first_due_unix_ms;
  record.interval_ms = spec->occurrence_interval_ms;
  bytes = pack (&record.base);
  g_free (rows);
  g_free (steps);
  return bytes;
}

static void
decode_step (struct jb_step_spec *step, const Ftj__StepRecord *record)
{
  *step = (struct jb_step_spec){
    .count = record->count,
    .resources = { .cpus_milli = record->cpus_milli,
                   .memory_mib = record->memory_mib,
                   .accelerators = record->accelerators },
    .estimate_ms = record->estimate_ms,
    .depends_on
    = g_memdup2 (record->after, record->n_after * sizeof record->after[0]),
    .depends_on_count = record->n_after,
    .gang = record->gang,
    .one_rack = record->one_rack,
    .can_checkpoint = record->checkpoints,
    .copies_allowed = record->copies_allowed,
    .long_lived = record->lasting,
    .label = dup_or_null_if_empty (record->label),
    .data_rack = dup_or_null_if_empty (record->data_rack),
    .tasks_per_worker_limit = record->worker_limit,
    .image = dup_or_null_if_empty (record->image),
    .tail_target_ms = record->target_ms,
    .best_effort = record->fills,
    .absence_limit = record->absence_limit,
  };
}

int
jb_decode_spec (struct jb_spec **out, const uint8_t *bytes, size_t size)
{
  Ftj__JobRecord *record = ftj__job_record__unpack (NULL, size, bytes);
  struct jb_spec *spec;
  size_t i;

  if (record == NULL)
    return JB_ERR_FORMAT;
  spec = g_new0 (struct jb_spec, 1);
  spec->queue = g_strdup (record->queue);
  if (record->queue_config != NULL)
    spec->queue_config = decode_queue (record->queue_config, record->queue);
  spec->team = dup_or_null_if_empty (record->team);
  spec->text = g_strdup (record->text);
  spec->accepted_unix_ms = record->accepted_unix_ms;
  spec->has_due_time = record->times > 0;
  spec->occurrence_count = MAX (record->times, 1);
  spec->first_due_unix_ms = record->first_unix_ms;
  spec->occurrence_interval_ms = record->interval_ms;
  spec->step_count = record->n_steps;
  spec->steps = g_new0 (struct jb_step_spec, record->n_steps);
  for (i = 0; i < record->n_steps; i++)
    decode_step (&spec->steps[i], record->steps[i]);
  ftj__job_record__free_unpacked (record, NULL);
  if (jb_spec_check (spec) != NULL)
    {
      jb_spec_free (spec);
      return JB_ERR_LIMIT;
    }
  *out = spec;
  return JB_OK;
}

/* --- Progress --- */

GByteArray *
jb_encode_progress (const struct jb_job *job, uint64_t term)
{
  Ftj__Progress record = FTJ__PROGRESS__INIT;
  Ftj__QueueRecord queue;

  record.term = term;
  record.state = job->state;
  record.begun = job->started;
  record.ended_unix_ms = job->ended_unix_ms;
  if (job->queue_config_changed)
    {
      encode_queue (&queue, job->queue_config);
      record.queue_config = &queue;
    }
  return pack (&record.base);
}

size_t
jb_block_count (const struct jb_job *job)
{
  if (job->state == JB_COMPLETED)
    return 0;
  return (job->task_total + JB_BLOCK_TASKS - 1) / JB_BLOCK_TASKS;
}

/* Of the tasks of a block; there are seldom any.  */
static void
encode_losses (Ftj__TaskProgress *record, const struct jb_task *task,
               GPtrArray *owned)
{
  guint i;

  if (task->undecided_losses == NULL || task->undecided_losses->len == 0)
    return;
  record->n_undecided_losses = task->undecided_losses->len;
  record->undecided_losses
      = g_new0 (Ftj__UndecidedLoss *, task->undecided_losses->len);
  g_ptr_array_add (owned, record->undecided_losses);
  for (i = 0; i < task->undecided_losses->len; i++)
    {
      const struct jb_loss *loss
          = &g_array_index (task->undecided_losses, struct jb_loss, i);
      Ftj__UndecidedLoss *row = g_new0 (Ftj__UndecidedLoss, 1);

      ftj__undecided_loss__init (row);
      row->worker = loss->worker;
      row->worker_started_ms = loss->worker_started_ms;
      record->undecided_losses[i] = row;
      g_ptr_array_add (owned, row);
    }
}

GByteArray *
jb_encode_block (const struct jb_job *job, size_t block)
{
  Ftj__TaskBlock record = FTJ__TASK_BLOCK__INIT;
  Ftj__TaskProgress tasks[JB_BLOCK_TASKS];
  Ftj__TaskProgress *rows[JB_BLOCK_TASKS];
  bool final = jb_state_is_final (job->state);
  size_t first = block * JB_BLOCK_TASKS;
  size_t count = MIN (job->task_total - first, JB_BLOCK_TASKS);
  GPtrArray *owned = g_ptr_array_new_with_free_func (g_free);
  GByteArray *bytes;
  size_t i;

  for (i = 0; i < count; i++)
    {
      const struct jb_task *task = &job->tasks[first + i];

      ftj__task_progress__init (&tasks[i]);
      tasks[i].state = task->state;
      tasks[i].run = task->run;
      tasks[i].failures = task->failures;
      if (task->failed_runs != NULL)
        {
          tasks[i].failed_runs = (uint32_t *)(void *)task->failed_runs->data;
          tasks[i].n_failed_runs = task->failed_runs->len;
        }
      tasks[i].crashes = task->crashes;
      tasks[i].lost_runs = task->lost_runs;
      tasks[i].done_before = task->done_before;
      tasks[i].worker = empty_if_null (task->worker);
      tasks[i].worker_started_ms = task->worker_started_ms;
      tasks[i].worker_leaving = task->worker_leaving;
      if (!final)
        encode_losses (&tasks[i], task, owned);
      if (!final && task->state != JB_TASK_DONE)
        tasks[i].checkpoint = empty_if_null (task->checkpoint);
      rows[i] = &tasks[i];
    }
  record.tasks = rows;
  record.n_tasks = count;
  bytes = pack (&record.base);
  g_ptr_array_free (owned, TRUE);
  return bytes;
}

/* Earlier versions have stored how many runs have failed, and not which. Their
   ends may still be listed by workers, so the last runs that are over are
   taken for them.  A run that was given up had not been counted.  */
static void
assume_failed_runs (struct jb_task *task, const Ftj__TaskProgress *record)
{
  bool runs
      = record->state == JB_TASK_PLACED || record->state == JB_TASK_STOPPING;
  uint32_t run = runs ? record->run - 1 : record->run;

  for (; run > 0 && task->failures < record->failures; run--)
    if (run != record->given_up_run)
      jb_task_add_failed_run (task, run);
}

static void
apply_failed_runs (struct jb_task *task, const Ftj__TaskProgress *record)
{
  size_t i;

  jb_task_forget_failed_runs (task);
  for (i = 0; i < record->n_failed_runs; i++)
    jb_task_add_failed_run (task, record->failed_runs[i]);
  if (!task->step->spec->long_lived)
    assume_failed_runs (task, record);
  task->failures = record->failures;
}

static void
apply_task_progress (struct jb_task *task, const Ftj__TaskProgress *record)
{
  size_t i;

  jb_task_reset (task);
  task->state = MIN (record->state, JB_TASK_DONE);
  task->run = record->run;
  apply_failed_runs (task, record);
  task->crashes = record->crashes;
  task->lost_runs = record->lost_runs;
  task->done_before = record->done_before;
  task->job->has_done_before |= task->done_before;
  task->worker = dup_or_null_if_empty (record->worker);
  task->worker_started_ms = record->worker_started_ms;
  task->worker_leaving = record->worker_leaving;
  jb_task_forget_losses (task);
  for (i = 0; i < record->n_undecided_losses; i++)
    jb_task_add_loss (task, record->undecided_losses[i]->worker,
                      record->undecided_losses[i]->worker_started_ms);
  if (task->worker == NULL && task->state != JB_TASK_DONE)
    task->state = JB_TASK_WAITING;
  if (record->checkpoint[0] != '\0')
    {
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (record->checkpoint);
    }
}

static void
recount_done_tasks (struct jb_job *job)
{
  size_t i;

  for (i = 0; i < job->step_total; i++)
    job->steps[i].done_count = 0;
  for (i = 0; i < job->task_total; i++)
    if (job->tasks[i].state == JB_TASK_DONE)
      job->tasks[i].step->done_count++;
}

int
jb_apply_progress (struct jb_job *job, uint64_t *term, const uint8_t *bytes,
                   size_t size)
{
  Ftj__Progress *record = ftj__progress__unpack (NULL, size, bytes);
  size_t i;

  if (record == NULL)
    return JB_ERR_FORMAT;
  *term = record->term;
  job->state = MIN (record->state, JB_CANCELLED);
  job->visible_state = job->state;
  if (job->cancel_requested && !jb_state_is_final (job->visible_state))
    job->visible_state = JB_CANCELLED;
  job->started = record->begun;
  job->ended_unix_ms = record->ended_unix_ms;
  if (record->attempt_limit > 0)
    job->attempt_limit = record->attempt_limit;
  if (record->queue_config != NULL)
    {
      ct_queue_free (job->queue_config);
      job->queue_config = decode_queue (record->queue_config, job->queue);
      job->queue_config_changed = true;
    }
  job->progress_changed = false;
  if (job->state == JB_COMPLETED)
    {
      for (i = 0; i < job->task_total; i++)
        {
          jb_task_reset (&job->tasks[i]);
          job->tasks[i].state = JB_TASK_DONE;
        }
      recount_done_tasks (job);
    }
  ftj__progress__free_unpacked (record, NULL);
  return JB_OK;
}

int
jb_apply_block (struct jb_job *job, size_t block, const uint8_t *bytes,
                size_t size)
{
  Ftj__TaskBlock *record;
  size_t first = block * JB_BLOCK_TASKS;
  size_t i;
  int error = JB_ERR_LIMIT;

  if (job->state == JB_COMPLETED)
    return JB_OK;
  record = ftj__task_block__unpack (NULL, size, bytes);
  if (record == NULL)
    return JB_ERR_FORMAT;
  if (block >= jb_block_count (job)
      || record->n_tasks != MIN (job->task_total - first, JB_BLOCK_TASKS))
    goto out;
  for (i = 0; i < record->n_tasks; i++)
    apply_task_progress (&job->tasks[first + i], record->tasks[i]);
  recount_done_tasks (job);
  error = JB_OK;

out:
  ftj__task_block__free_unpacked (record, NULL);
  return error;
}

/* --- Cancelling, hosts and terms --- */

GByteArray *
jb_encode_cancel (int64_t unix_ms)
{
  Ftj__CancelRecord record = FTJ__CANCEL_RECORD__INIT;

  record.cancelled_unix_ms = unix_ms;
  return pack (&record.base);
}

GByteArray *
jb_encode_host (const struct jb_host_record *host)
{
  Ftj__HostRecord record = FTJ__HOST_RECORD__INIT;

  record.strength = host->strength;
  record.address = (char *)host->address;
  return pack (&record.base);
}

int
jb_decode_host (struct jb_host_record *out, const uint8_t *bytes, size_t size)
{
  Ftj__HostRecord *record = ftj__host_record__unpack (NULL, size, bytes);

  if (record == NULL)
    return JB_ERR_FORMAT;
  out->strength = record->strength;
  g_strlcpy (out->address, record->address, sizeof out->address);
  ftj__host_record__free_unpacked (record, NULL);
  return JB_OK;
}

GByteArray *
jb_encode_term (const struct jb_term_record *term)
{
  Ftj__Term record = FTJ__TERM__INIT;

  record.term = term->term;
  record.host = (char *)term->host;
  record.nonce = term->nonce;
  return pack (&record.base);
}

int
jb_decode_term (struct jb_term_record *out, const uint8_t *bytes, size_t size)
{
  Ftj__Term *record = ftj__term__unpack (NULL, size, bytes);

  if (record == NULL)
    return JB_ERR_FORMAT;
  out->term = record->term;
  out->nonce = record->nonce;
  g_strlcpy (out->host, record->host, sizeof out->host);
  ftj__term__free_unpacked (record, NULL);
  return JB_OK;
}

/* --- Leases --- */

GByteArray *
jb_encode_leases (GHashTable *leases)
{
  Ftj__Leases record = FTJ__LEASES__INIT;
  guint count = g_hash_table_size (leases);
  Ftj__LeaseLeft *rows = g_new0 (Ftj__LeaseLeft, count);
  Ftj__LeaseLeft **list = g_new0 (Ftj__LeaseLeft *, count);
  GByteArray *bytes;
  GHashTableIter iter;
  void *worker;
  void *left_ms;
  size_t next = 0;

  g_hash_table_iter_init (&iter, leases);
  while (g_hash_table_iter_next (&iter, &worker, &left_ms))
    {
      ftj__lease_left__init (&rows[next]);
      rows[next].worker = worker;
      rows[next].left_ms = GPOINTER_TO_UINT (left_ms);
      list[next] = &rows[next];
      next++;
    }
  record.workers = list;
  record.n_workers = count;
  bytes = pack (&record.base);
  g_free (list);
  g_free (rows);
  return bytes;
}

int
jb_decode_leases (GHashTable **out, const uint8_t *bytes, size_t size)
{
  Ftj__Leases *record = ftj__leases__unpack (NULL, size, bytes);
  size_t i;

  if (record == NULL)
    return JB_ERR_FORMAT;
  *out = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (i = 0; i < record->n_workers; i++)
    g_hash_table_insert (*out, g_strdup (record->workers[i]->worker),
                         GUINT_TO_POINTER (record->workers[i]->left_ms));
  ftj__leases__free_unpacked (record, NULL);
  return JB_OK;
}
