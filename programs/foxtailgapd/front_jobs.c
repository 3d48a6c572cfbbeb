/* Front task: submits, shows, lists and cancels jobs.  */

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "front.h"

enum
{
  STATUS_OK = 200,
  STATUS_CREATED = 201,
  STATUS_ACCEPTED = 202,
  STATUS_BAD_REQUEST = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_UNPROCESSABLE = 422,
  STATUS_TOO_MANY = 429,
  STATUS_UNAVAILABLE = 503,
  STATUS_TIMEOUT = 504,
  APPEND_DEADLINE_MS = 10 * 1000,
  QUEUE_RETRY_AFTER_MS = 10 * 1000,
  JOB_ID_HASH_BYTES = 16 /* written as two hexadecimal digits each */
};

/* --- A job as JSON --- */

static json_t *
accelerators_json (uint64_t mask)
{
  json_t *list = json_array ();
  unsigned int i;

  for (i = 0; i < PLACE_ACCELERATOR_LIMIT; i++)
    if (mask >> i & 1)
      json_array_append_new (list, json_integer (i));
  return list;
}

static json_t *
task_json (const struct st_task *task)
{
  json_t *value = json_pack (
      "{s:i, s:s, s:o, s:b}", "task", (int)task->assignment.task, "worker",
      task->assignment.worker, "accelerators",
      accelerators_json (task->assignment.accelerators), "ended", task->ended);

  if (!task->ended)
    return value;
  json_object_set_new (value, "ok", json_boolean (task->ok));
  if (task->detail != NULL && task->detail[0] != '\0')
    json_object_set_new (value, "detail", json_string (task->detail));
  json_object_set_new (value, "output",
                       json_stringn_nocheck ((const char *)task->output,
                                             task->output_size_bytes));
  return value;
}

static json_t *
job_summary_json (const struct st_job *job)
{
  json_t *value = json_pack (
      "{s:s, s:s, s:s, s:s, s:b, s:i, s:I, s:I}", "job", job->id, "team",
      job->spec->team, "kind", job->spec->kind, "state",
      st_job_state_name (job->state), "ran", job->may_have_run, "attempt",
      (int)job->attempt, "submitted_ms", (json_int_t)job->submitted_ms,
      "changed_ms", (json_int_t)job->changed_ms);

  if (job->cancelling)
    json_object_set_new (value, "cancelling", json_true ());
  if (job->reason != NULL && job->reason[0] != '\0')
    json_object_set_new (value, "reason", json_string (job->reason));
  return value;
}

static json_t *
job_json (const struct st_job *job)
{
  json_t *value = job_summary_json (job);
  json_t *tasks = json_array ();
  size_t i;

  for (i = 0; i < job->task_count; i++)
    json_array_append_new (tasks, task_json (&job->tasks[i]));
  json_object_set_new (value, "tasks", tasks);
  return value;
}

bool
fr_job_has_ended (const struct st_job *job)
{
  /* ST_JOB_FINISHED and all states after it are final.  */
  return job->state >= ST_JOB_FINISHED;
}

/* --- Waiting for a job's end --- */

static void
answer_job (struct fr_call *call, const struct st_job *job)
{
  unsigned int status = call->digest != NULL ? STATUS_CREATED : STATUS_OK;

  if (call->http != NULL)
    fr_respond_json (call->http, status, job_json (job));
  fr_call_free (call);
}

static void
on_wait_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct fr_call *call = watcher->data;
  const struct st_job *job = g_hash_table_lookup (call->task->jobs, call->id);

  (void)loop;
  (void)events;
  if (job != NULL)
    {
      answer_job (call, job);
      return;
    }
  fr_respond_error (
      call->http, STATUS_TIMEOUT, "outcome_unknown",
      "The job's record has not been read back yet; ask for the job "
      "later.",
      "unknown", FR_LOG_RETRY_AFTER_MS);
  fr_call_free (call);
}

/* Keeps the call until the job is in the state that the call waits for, or the
   call's deadline passes.  */
static void
wait_for_job (struct fr_call *call)
{
  struct front_task *task = call->task;
  GPtrArray *list = g_hash_table_lookup (task->waiting_calls, call->id);
  int64_t remaining_ms = call->deadline_ms - clk_monotonic_ms (NULL);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (task->waiting_calls, g_strdup (call->id), list);
    }
  g_ptr_array_add (list, call);
  call->is_waiting = true;
  ev_timer_init (&call->wait_timer, on_wait_timeout,
                 remaining_ms < 0 ? 0.0 : (double)remaining_ms / 1000.0, 0.0);
  call->wait_timer.data = call;
  ev_timer_start (task->daemon->loop, &call->wait_timer);
}

void
fr_on_job_changed (struct front_task *task, const struct st_job *job)
{
  GPtrArray *list = g_hash_table_lookup (task->waiting_calls, job->id);
  GPtrArray *due;
  guint i;

  if (list == NULL)
    return;
  due = g_ptr_array_new ();
  for (i = 0; i < list->len; i++)
    {
      struct fr_call *call = list->pdata[i];

      if (!call->wait_for_end || fr_job_has_ended (job))
        g_ptr_array_add (due, call);
    }
  for (i = 0; i < due->len; i++)
    answer_job (due->pdata[i], job);
  g_ptr_array_free (due, TRUE);
}

static void
on_caller_gone (void *ctx)
{
  fr_call_free (ctx);
}

/* Reads the query wait_ms, 0 if it is absent; false after an error was
   answered.  */
static bool
read_wait_ms (struct hs_request *http, uint64_t *wait_ms)
{
  const char *text = hs_query (http, "wait_ms");

  *wait_ms = 0;
  if (text == NULL || fr_parse_number (text, FR_WAIT_LIMIT_MS, wait_ms))
    return true;
  fr_respond_error (
      http, STATUS_BAD_REQUEST, "bad_request",
      "The query wait_ms must be a whole number, at most an hour.", NULL, 0);
  return false;
}

/* --- Submission --- */

static void
compute_spec_digest (const Ft__JobSpec *spec, ProtobufCBinaryData *digest)
{
  size_t size_bytes = ft__job_spec__get_packed_size (spec);
  uint8_t *packed = g_malloc (size_bytes);
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize digest_bytes = 32;

  ft__job_spec__pack (spec, packed);
  g_checksum_update (checksum, packed, (gssize)size_bytes);
  digest->data = malloc (digest_bytes);
  digest->len = digest_bytes;
  g_checksum_get_digest (checksum, digest->data, &digest_bytes);
  g_checksum_free (checksum);
  g_free (packed);
}

/* The same team and key give the same job id on every entry host; without a
   key the id is random.  */
static char *
derive_job_id (const Ft__JobSpec *spec)
{
  char random[FR_ID_SIZE_BYTES];
  char *text;
  char *hash;
  char *id;

  if (spec->key[0] == '\0')
    {
      fr_new_id (random);
      return g_strdup (random);
    }
  text = g_strdup_printf ("%s/%s", spec->team, spec->key);
  hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, text, -1);
  id = g_strndup (hash, 2 * (gsize)JOB_ID_HASH_BYTES);
  g_free (hash);
  g_free (text);
  return id;
}

/* Whether the job could be placed if no other job ran, by the teams and
   workers alone; if not, TEXT says why.  */
static bool
is_feasible (const struct front_task *task, const char *id,
             const Ft__JobSpec *spec, char text[PLACE_TEXT_SIZE_BYTES])
{
  struct place_job job = {
    .id = id,
    .team = spec->team,
    .kind = spec->kind,
    .data_centre = spec->data_centre,
    .shape = { .tasks = spec->shape->tasks,
               .task = { .cpus_milli = spec->shape->cpus_milli,
                         .memory_mb = spec->shape->memory_mb,
                         .accelerators = spec->shape->accelerators },
               .span = (enum place_span)spec->shape->span },
    .declared_run_ms = spec->declared_run_ms,
    .urgent = spec->urgency > 0,
    .checkpointable = spec->checkpointable,
    .repeatable = spec->repeatable,
  };
  int error = place_submit (task->feasibility_model, &job, text);

  if (error == PLACE_OK)
    place_cancel (task->feasibility_model, id);
  return error == PLACE_OK;
}

static void
on_submission_folded (struct fr_call *call, enum st_verdict verdict)
{
  const struct st_job *job = g_hash_table_lookup (call->task->jobs, call->id);

  if (verdict == ST_VERDICT_KEY_CONFLICT)
    {
      fr_respond_error (
          call->http, STATUS_CONFLICT, "key_conflict",
          "The key was used for another job; this one did not run.", "refused",
          0);
      fr_call_free (call);
      return;
    }
  if (verdict != ST_VERDICT_VALID && verdict != ST_VERDICT_KEY_TAKEN)
    {
      lg_error (FR_PART, "A job submission had no effect; it is refused.",
                "verdict", st_verdict_name (verdict), NULL);
      fr_respond_error (call->http, STATUS_CONFLICT, "not_valid",
                        "The submission had no effect; the job did not run.",
                        "refused", 0);
      fr_call_free (call);
      return;
    }
  if (job != NULL && (!call->wait_for_end || fr_job_has_ended (job)))
    answer_job (call, job);
  else
    wait_for_job (call);
}

static void
on_submission_appended (struct fr_call *call,
                        const struct msg_appended *appended)
{
  switch (appended->result)
    {
    case MSG_APPEND_FOLDED:
      on_submission_folded (call, appended->verdict);
      return;
    case MSG_APPEND_REJECTED:
      fr_respond_error (
          call->http, STATUS_UNAVAILABLE, "log_unavailable",
          "The platform's log did not take the submission; the job did "
          "not run.",
          "refused", FR_LOG_RETRY_AFTER_MS);
      break;
    case MSG_APPEND_UNKNOWN:
      fr_respond_error (
          call->http, STATUS_TIMEOUT, "outcome_unknown",
          "It is not known whether the log took the submission; submit "
          "again with the same key, or ask for the job.",
          "unknown", FR_LOG_RETRY_AFTER_MS);
      break;
    }
  fr_call_free (call);
}

/* Appends the submission to the log; takes SPEC.  */
static void
append_submission (struct front_task *task, struct hs_request *http,
                   Ft__JobSpec *spec, const char *id, uint64_t wait_ms)
{
  struct fr_call *call = fr_call_create (task, http);
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobSubmit *submit = g_new (Ft__JobSubmit, 1);

  ft__job_submit__init (submit);
  submit->job = g_strdup (id);
  compute_spec_digest (spec, &submit->digest);
  submit->spec = spec;
  record.body_case = FT__RECORD__BODY_JOB_SUBMIT;
  record.job_submit = submit;
  call->id = g_strdup (id);
  call->digest = g_strdup ("submitted");
  call->wait_for_end = wait_ms > 0;
  call->deadline_ms = clk_monotonic_ms (NULL)
                      + MAX ((int64_t)wait_ms, (int64_t)APPEND_DEADLINE_MS);
  hs_on_disconnect (http, on_caller_gone, call);
  fr_append (call, &record, APPEND_DEADLINE_MS, on_submission_appended);
}

static guint
count_queued_jobs (const struct front_task *task)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, task->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct st_job *)value)->state == ST_JOB_QUEUED)
      count++;
  return count;
}

/* Refuses, without a record in the log, a submission that cannot be admitted.
   Returns whether it has answered with an error.  */
static bool
refuse_if_inadmissible (struct front_task *task, struct hs_request *http,
                        const Ft__JobSpec *spec, const char *id)
{
  char text[PLACE_TEXT_SIZE_BYTES];

  if (task->config == NULL)
    {
      fr_respond_error (http, STATUS_UNAVAILABLE, "no_configuration",
                        "No configuration is in force; the job did not run.",
                        "refused", FR_LOG_RETRY_AFTER_MS);
      return true;
    }
  if (env_team (task->config->document, spec->team) == NULL)
    {
      fr_respond_error (
          http, STATUS_NOT_FOUND, "unknown_team",
          "The team is not in the configuration; the job did not run.",
          "refused", 0);
      return true;
    }
  if (g_hash_table_contains (task->jobs, id))
    return false; /* the fold decides about a key that is used again */
  if (task->hosts != NULL && !is_feasible (task, id, spec, text))
    {
      fr_respond_error (http, STATUS_UNPROCESSABLE, "never_fits", text,
                        "refused", 0);
      return true;
    }
  if (count_queued_jobs (task)
      >= task->config->document->rules.job_queue_limit)
    {
      fr_respond_error (http, STATUS_TOO_MANY, "queue_full",
                        "Too many jobs are queued; the job did not run.",
                        "refused", QUEUE_RETRY_AFTER_MS);
      return true;
    }
  if (!task->log.up)
    {
      fr_respond_error (
          http, STATUS_UNAVAILABLE, "log_unavailable",
          "The platform's log is not available; the job did not run.",
          "refused", FR_LOG_RETRY_AFTER_MS);
      return true;
    }
  return false;
}

void
fr_post_job (struct front_task *task, struct hs_request *http,
             const char *rest)
{
  const char *message;
  const char *body;
  size_t size_bytes;
  uint64_t wait_ms;
  Ft__JobSpec *spec;
  char *id;

  (void)rest;
  if (!read_wait_ms (http, &wait_ms))
    return;
  body = hs_body (http, &size_bytes);
  spec = fr_parse_job (body, size_bytes, &message);
  if (spec == NULL)
    {
      fr_respond_error (http, STATUS_BAD_REQUEST, "bad_request", message,
                        "refused", 0);
      return;
    }
  id = derive_job_id (spec);
  if (refuse_if_inadmissible (task, http, spec, id))
    ft__job_spec__free_unpacked (spec, NULL);
  else
    append_submission (task, http, spec, id, wait_ms);
  g_free (id);
}

/* --- Showing and listing --- */

static void
answer_unknown_job (const struct front_task *task, struct hs_request *http)
{
  if (task->log.up && task->log.caught_up)
    fr_respond_error (
        http, STATUS_NOT_FOUND, "unknown_job",
        "No job with this id is known, or its outcome is older than "
        "the window.",
        NULL, 0);
  else
    fr_respond_error (
        http, STATUS_UNAVAILABLE, "log_unavailable",
        "This host has not read the whole log; the job may be known "
        "elsewhere.",
        "unknown", FR_LOG_RETRY_AFTER_MS);
}

void
fr_get_job (struct front_task *task, struct hs_request *http, const char *rest)
{
  const struct st_job *job = g_hash_table_lookup (task->jobs, rest);
  struct fr_call *call;
  uint64_t wait_ms;

  if (!read_wait_ms (http, &wait_ms))
    return;
  if (job == NULL)
    {
      answer_unknown_job (task, http);
      return;
    }
  if (wait_ms == 0 || fr_job_has_ended (job))
    {
      fr_respond_json (http, STATUS_OK, job_json (job));
      return;
    }
  call = fr_call_create (task, http);
  call->id = g_strdup (rest);
  call->wait_for_end = true;
  call->deadline_ms = clk_monotonic_ms (NULL) + (int64_t)wait_ms;
  hs_on_disconnect (http, on_caller_gone, call);
  wait_for_job (call);
}

static gint
compare_jobs (gconstpointer a, gconstpointer b)
{
  const struct st_job *left = *(const struct st_job *const *)a;
  const struct st_job *right = *(const struct st_job *const *)b;

  if (left->submitted_ms != right->submitted_ms)
    return left->submitted_ms < right->submitted_ms ? -1 : 1;
  return strcmp (left->id, right->id);
}

/* Returns NULL, which matches every job, for an absent or empty query.  */
static const char *
read_filter (const struct hs_request *http, const char *name)
{
  const char *text = hs_query (http, name);

  return text == NULL || text[0] == '\0' ? NULL : text;
}

void
fr_list_jobs (struct front_task *task, struct hs_request *http,
              const char *rest)
{
  const char *team = read_filter (http, "team");
  const char *state = read_filter (http, "state");
  GPtrArray *found = g_ptr_array_new ();
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;
  guint i;

  (void)rest;
  g_hash_table_iter_init (&iter, task->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct st_job *job = value;

      if (team != NULL && strcmp (team, job->spec->team) != 0)
        continue;
      if (state != NULL && strcmp (state, st_job_state_name (job->state)) != 0)
        continue;
      g_ptr_array_add (found, value);
    }
  g_ptr_array_sort (found, compare_jobs);
  for (i = 0; i < found->len; i++)
    json_array_append_new (list, job_summary_json (found->pdata[i]));
  g_ptr_array_free (found, TRUE);
  fr_respond_json (http, STATUS_OK, json_pack ("{s:o}", "jobs", list));
}

/* --- Cancelling --- */

static void
on_cancellation_appended (struct fr_call *call,
                          const struct msg_appended *appended)
{
  const struct st_job *job = g_hash_table_lookup (call->task->jobs, call->id);

  if (appended->result == MSG_APPEND_FOLDED && job != NULL)
    fr_respond_json (call->http,
                     job->state == ST_JOB_CANCELLED ? STATUS_OK
                                                    : STATUS_ACCEPTED,
                     job_summary_json (job));
  else if (appended->result == MSG_APPEND_REJECTED)
    fr_respond_error (
        call->http, STATUS_UNAVAILABLE, "log_unavailable",
        "The platform's log did not take the cancellation; the job "
        "goes on.",
        NULL, FR_LOG_RETRY_AFTER_MS);
  else
    fr_respond_error (
        call->http, STATUS_TIMEOUT, "outcome_unknown",
        "It is not known whether the job will be cancelled; ask for the "
        "job.",
        "unknown", FR_LOG_RETRY_AFTER_MS);
  fr_call_free (call);
}

void
fr_delete_job (struct front_task *task, struct hs_request *http,
               const char *rest)
{
  const struct st_job *job = g_hash_table_lookup (task->jobs, rest);
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobCancel *cancel;
  struct fr_call *call;

  if (job == NULL)
    {
      answer_unknown_job (task, http);
      return;
    }
  if (fr_job_has_ended (job))
    {
      fr_respond_json (http, STATUS_OK, job_summary_json (job));
      return;
    }
  if (!task->log.up)
    {
      fr_respond_error (http, STATUS_UNAVAILABLE, "log_unavailable",
                        "The platform's log is not reached; the job goes on.",
                        NULL, FR_LOG_RETRY_AFTER_MS);
      return;
    }
  cancel = g_new (Ft__JobCancel, 1);
  ft__job_cancel__init (cancel);
  cancel->job = g_strdup (rest);
  cancel->author = g_strdup ("caller");
  record.body_case = FT__RECORD__BODY_JOB_CANCEL;
  record.job_cancel = cancel;
  call = fr_call_create (task, http);
  call->id = g_strdup (rest);
  hs_on_disconnect (http, on_caller_gone, call);
  fr_append (call, &record, APPEND_DEADLINE_MS, on_cancellation_appended);
}
