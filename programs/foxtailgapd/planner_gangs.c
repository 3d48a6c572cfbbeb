/* The gangs of this planner: passes events to their state machines and carries
   out the commands that result.  */

#include "common/logging.h"
#include "planner.h"

struct planner_gang *
planner_find_gang (const struct planner_task *task, const char *job)
{
  return g_hash_table_lookup (task->gangs, job);
}

void
planner_gang_free (void *gang)
{
  struct planner_gang *pg = gang;

  planner_cancel_calls (pg);
  g_hash_table_destroy (pg->calls);
  gang_free (pg->gang);
  st_job_unref (pg->job);
  g_free (pg);
}

/* ===== Commands =============================================== */

static void
append_gang_record (struct planner_gang *pg,
                    const struct gang_command *command)
{
  struct planner_append *append = g_new0 (struct planner_append, 1);
  struct msg_append *message = NULL;

  append->kind = PLANNER_APPEND_GANG;
  append->job = g_strdup (pg->job->id);
  append->attempt = pg->attempt;
  append->record_kind = command->record;
  switch (command->record)
    {
    case GANG_RECORD_PLACE:
      message = planner_record_place (pg);
      break;
    case GANG_RECORD_START:
      message = planner_record_start (pg);
      break;
    case GANG_RECORD_MEMBER_LOST:
      message = planner_record_lost (pg, command->member);
      break;
    case GANG_RECORD_STOP:
    case GANG_RECORD_KINDS:
      message = planner_record_stop (pg, command);
      break;
    }
  planner_append (pg->task, message, pg->task->own_term, append);
}

/* Queues the end of the gang for the placement core, and frees the gang.  */
static void
end_gang (struct planner_gang *pg, const struct gang_command *command)
{
  struct planner_task *task = pg->task;
  struct planner_ended_gang *ended = g_new0 (struct planner_ended_gang, 1);

  ended->job = g_strdup (pg->job->id);
  ended->worker = g_strdup (command->blamed_worker);
  ended->ended = (struct place_ended){
    .outcome = command->outcome,
    .ran_ms = (uint64_t)(planner_now_ms () - pg->begin_ms),
    .progress_ms = command->progress_ms,
    .requeue = command->requeue,
  };
  lg_info (PLANNER_PART, "A gang is over.", "job", pg->job->id, "attempt",
           lg_number (pg->attempt), "reason", command->reason, "again",
           command->requeue ? "yes" : "no", NULL);
  g_queue_push_tail (&task->ended_gangs, ended);
  g_hash_table_remove (task->gangs, ended->job);
}

static void
execute_command (struct planner_gang *pg, const struct gang_command *command)
{
  if (!planner_may_act (pg->task))
    return;
  switch (command->kind)
    {
    case GANG_COMMAND_LEASE:
    case GANG_COMMAND_START:
    case GANG_COMMAND_CHECKPOINT:
    case GANG_COMMAND_STOP:
      planner_send_to_gang_member (pg, command);
      break;
    case GANG_COMMAND_RECORD:
      append_gang_record (pg, command);
      break;
    case GANG_COMMAND_ENDED:
      end_gang (pg, command);
      break;
    }
}

bool
planner_gang_handle_event (struct planner_gang *pg,
                           const struct gang_event *event)
{
  struct planner_task *task = pg->task;
  enum gang_state before = gang_state (pg->gang);
  const struct gang_command *commands;
  struct gang_command *copy;
  bool over = false;
  size_t count;
  size_t i;

  count = gang_handle_event (pg->gang, event, &commands);
  copy = g_memdup2 (commands, count * sizeof *commands);
  if (gang_state (pg->gang) != before)
    lg_debug (PLANNER_PART, "A gang has changed its state.", "job",
              pg->job->id, "state", gang_state_name (gang_state (pg->gang)),
              NULL);
  for (i = 0; i < count && !over; i++)
    {
      over = copy[i].kind == GANG_COMMAND_ENDED && planner_may_act (task);
      execute_command (pg, &copy[i]);
    }
  g_free (copy);
  if (!task->in_round)
    planner_report_ended_gangs (task);
  return !over;
}

/* ===== New and resumed gangs ================================== */

static bool
attempts_left (const struct planner_task *task, const struct st_job *job,
               uint32_t attempt)
{
  uint32_t limit = job->spec->attempt_limit;

  if (limit == 0)
    limit = task->rules.attempt_limit;
  return attempt < limit;
}

static struct planner_gang *
create_gang (struct planner_task *task, struct planner_job *entry,
             uint32_t attempt, const struct place_assignment *assignments,
             size_t count)
{
  const struct settings *settings = task->daemon->settings;
  const struct st_job *job = entry->job;
  struct planner_gang *pg;
  struct gang_params params
      = { .assignments = assignments,
          .assignment_count = count,
          .repeatable = job->spec->repeatable,
          .checkpointable = job->spec->checkpointable,
          .may_retry = attempts_left (task, job, attempt),
          .progress_ms = job->progress_ms,
          .lease_ttl_ms = settings->lease_ttl_ms,
          .renew_interval_ms = settings->lease_renew_ms,
          .call_timeout_ms = PLANNER_CALL_TIMEOUT_MS,
          .start_timeout_ms = task->rules.gang_start_timeout_ms };
  struct gang *gang;

  if (gang_create (&gang, &params) != GANG_OK)
    {
      lg_error (PLANNER_PART,
                "A gang cannot be created: its assignments are not valid.",
                "job", job->id, NULL);
      return NULL;
    }
  pg = g_new0 (struct planner_gang, 1);
  pg->task = task;
  pg->gang = gang;
  pg->job = st_job_ref (entry->job);
  pg->attempt = attempt;
  pg->begin_ms = planner_now_ms ();
  pg->calls = g_hash_table_new (NULL, NULL);
  g_hash_table_insert (task->gangs, g_strdup (job->id), pg);
  entry->highest_attempt = MAX (entry->highest_attempt, attempt);
  return pg;
}

void
planner_gang_begin (struct planner_task *task, struct planner_job *entry,
                    const struct place_assignment *assignments, size_t count)
{
  uint32_t attempt = entry->job->attempt + 1;
  struct planner_gang *pg
      = create_gang (task, entry, attempt, assignments, count);

  if (pg == NULL)
    return;
  lg_info (PLANNER_PART, "A gang was placed; its workers are being leased.",
           "job", entry->job->id, "attempt", lg_number (attempt), "tasks",
           lg_number ((long long)count), NULL);
  mt_add (task->daemon->metrics, "foxtailgap_gangs_begun_total", 1);
  planner_gang_handle_event (
      pg,
      &(struct gang_event){ .kind = GANG_EV_BEGIN, .now_ms = pg->begin_ms });
}

/* Sends the gang an event for each ended task in the log that it has not got
   yet.  Returns false if the gang is over and freed.  */
static bool
send_task_ends (struct planner_gang *pg, const struct st_job *job)
{
  bool alive = true;
  size_t i;

  for (i = 0; i < job->task_count && alive; i++)
    {
      const struct st_task *task = &job->tasks[i];
      struct gang_event event = { .kind = GANG_EV_TASK_ENDED,
                                  .now_ms = planner_now_ms (),
                                  .task = task->assignment.task,
                                  .ok = task->ok,
                                  .lapsed = task->lease_lapsed };

      if (task->ended && !gang_task_has_ended (pg->gang, event.task))
        alive = planner_gang_handle_event (pg, &event);
    }
  return alive;
}

static bool
send_event (struct planner_gang *pg, enum gang_event_kind kind)
{
  return planner_gang_handle_event (
      pg, &(struct gang_event){ .kind = kind, .now_ms = planner_now_ms () });
}

void
planner_gang_resume (struct planner_task *task, struct planner_job *entry)
{
  struct st_job *job = entry->job;
  struct place_assignment *assignments
      = g_new0 (struct place_assignment, job->task_count);
  struct planner_gang *pg;
  size_t i;

  for (i = 0; i < job->task_count; i++)
    assignments[i] = job->tasks[i].assignment;
  pg = create_gang (task, entry, job->attempt, assignments, job->task_count);
  g_free (assignments);
  if (pg == NULL)
    return;
  pg->begin_ms = planner_from_log_ms (job->changed_ms);
  lg_info (PLANNER_PART,
           "A gang that the log shows as placed or running is resumed.", "job",
           job->id, "attempt", lg_number (job->attempt), "state",
           st_job_state_name (job->state), NULL);
  send_task_ends (pg, job);
  if (job->cancelling)
    send_event (pg, GANG_EV_CANCEL);
  planner_gang_handle_event (
      pg, &(struct gang_event){ .kind = GANG_EV_RESUME,
                                .now_ms = planner_now_ms (),
                                .running = job->state == ST_JOB_RUNNING });
}

/* ===== Changes in the log ===================================== */

static bool
send_recorded_event (struct planner_gang *pg, enum gang_record record_kind,
                     enum gang_verdict verdict)
{
  struct gang_event event = { .kind = GANG_EV_RECORDED,
                              .now_ms = planner_now_ms (),
                              .record = record_kind,
                              .verdict = verdict };

  return planner_gang_handle_event (pg, &event);
}

/* The log shows this gang's attempt as placed, running or finished: sends the
   events that the gang has not got yet.  */
static void
send_recorded_progress (struct planner_gang *pg, struct st_job *job)
{
  if (!gang_is_recorded (pg->gang)
      && !send_recorded_event (pg, GANG_RECORD_PLACE, GANG_VERDICT_VALID))
    return;
  if (job->state == ST_JOB_RUNNING
      && !send_recorded_event (pg, GANG_RECORD_START, GANG_VERDICT_VALID))
    return;
  if (!send_task_ends (pg, job))
    return;
  if (job->state == ST_JOB_FINISHED)
    send_event (pg, GANG_EV_FINISHED);
  else if (job->cancelling)
    send_event (pg, GANG_EV_CANCEL);
}

void
planner_gang_on_job (struct planner_gang *pg, struct st_job *job)
{
  struct gang_event attempt_over = { .kind = GANG_EV_ATTEMPT_OVER,
                                     .now_ms = planner_now_ms (),
                                     .requeue = job->state == ST_JOB_QUEUED };

  st_job_unref (pg->job);
  pg->job = st_job_ref (job);
  if (job->attempt < pg->attempt)
    {
      /* The placement of this gang's attempt is not in the log yet.  */
      if (job->state >= ST_JOB_FINISHED)
        send_event (pg, GANG_EV_CANCEL);
      return;
    }
  if (job->attempt == pg->attempt
      && (job->state == ST_JOB_PLACED || job->state == ST_JOB_RUNNING
          || job->state == ST_JOB_FINISHED))
    send_recorded_progress (pg, job);
  else
    planner_gang_handle_event (pg, &attempt_over);
}

static enum gang_verdict
verdict_of (const struct msg_appended *answer)
{
  if (answer->result == MSG_APPEND_UNKNOWN)
    return GANG_VERDICT_UNKNOWN;
  if (answer->result == MSG_APPEND_REJECTED)
    return GANG_VERDICT_NOT_ACCEPTED;
  return answer->verdict == ST_VERDICT_VALID ? GANG_VERDICT_VALID
                                             : GANG_VERDICT_NO_EFFECT;
}

void
planner_gang_on_appended (struct planner_task *task,
                          const struct planner_append *append,
                          const struct msg_appended *answer)
{
  struct planner_gang *pg = planner_find_gang (task, append->job);

  if (pg == NULL || pg->attempt != append->attempt)
    return;
  if (answer->result == MSG_APPEND_FOLDED
      && answer->verdict != ST_VERDICT_VALID)
    lg_info (PLANNER_PART,
             "A record of a gang was read back from the log without effect.",
             "job", append->job, "verdict", st_verdict_name (answer->verdict),
             NULL);
  send_recorded_event (pg, append->record_kind, verdict_of (answer));
}

/* ===== Ticks and ended gangs ================================== */

static void
report_unsent_requests (struct planner_task *task, int64_t now_ms)
{
  guint count = g_queue_get_length (&task->unsent_requests);

  for (; count > 0; count--)
    {
      struct planner_unsent_request *unsent
          = g_queue_pop_head (&task->unsent_requests);
      struct planner_gang *pg = planner_find_gang (task, unsent->job);

      unsent->event.now_ms = now_ms;
      if (pg != NULL && pg->attempt == unsent->attempt)
        planner_gang_handle_event (pg, &unsent->event);
      planner_unsent_request_free (unsent);
    }
}

void
planner_tick_gangs (struct planner_task *task, int64_t now_ms)
{
  GList *gangs;
  GList *item;

  report_unsent_requests (task, now_ms);
  gangs = g_hash_table_get_values (task->gangs);
  for (item = gangs; item != NULL; item = item->next)
    planner_gang_handle_event (
        item->data,
        &(struct gang_event){ .kind = GANG_EV_TICK, .now_ms = now_ms });
  g_list_free (gangs);
  mt_set (task->daemon->metrics, "foxtailgap_gangs",
          g_hash_table_size (task->gangs));
}

/* The placement core counts every ended gang that may be placed again as an
   attempt.  An end before the start that is no worker's fault, for example
   because a worker was busy, must not count.  It is reported as final, and the
   job is submitted to the core again.  */
static void
report_ended_gang (struct planner_task *task, struct planner_ended_gang *item)
{
  item->ended.job = item->job;
  item->ended.failed_worker = item->worker;
  if (item->ended.outcome == PLACE_OUTCOME_NOT_STARTED && item->worker == NULL)
    item->ended.requeue = false;
  place_ended (task->place, &item->ended);
}

void
planner_report_ended_gangs (struct planner_task *task)
{
  struct planner_ended_gang *item;

  while ((item = g_queue_pop_head (&task->ended_gangs)) != NULL)
    {
      struct planner_job *entry = g_hash_table_lookup (task->jobs, item->job);

      if (task->place != NULL)
        report_ended_gang (task, item);
      /* This also submits jobs that the placement core does not have.  */
      if (entry != NULL && entry->job->state == ST_JOB_QUEUED)
        planner_submit (task, entry);
      planner_ended_gang_free (item);
      planner_schedule_round (task);
    }
}

void
planner_ended_gang_free (void *ended)
{
  struct planner_ended_gang *item = ended;

  g_free (item->job);
  g_free (item->worker);
  g_free (item);
}
