/* gang_handle_event (): from the first lease to the running gang.  */

#include "lease/gang_internal.h"

/* ===== Leasing and recording ================================== */

static void
on_begin (struct gang *gang)
{
  size_t i;

  gang->state = GANG_LEASING;
  for (i = 0; i < gang->member_count; i++)
    {
      gang->members[i].may_hold_lease = true;
      gang_emit (gang, &(struct gang_command){ .kind = GANG_COMMAND_LEASE,
                                               .member = i });
    }
}

static bool
all_leased (const struct gang *gang)
{
  size_t i;

  for (i = 0; i < gang->member_count; i++)
    if (!gang->members[i].leased)
      return false;
  return true;
}

static bool
worker_is_at_fault (enum gang_reply reply)
{
  return reply != GANG_REPLY_BUSY && reply != GANG_REPLY_ATTEMPT_OVER;
}

static void
on_leased (struct gang *gang, const struct gang_event *event)
{
  struct gang_member *member = &gang->members[event->member];

  if (event->reply == GANG_REPLY_OK)
    {
      member->leased = true;
      member->worker_boot_id = event->worker_boot_id;
    }
  if (gang->state != GANG_LEASING)
    return;
  if (event->reply != GANG_REPLY_OK)
    {
      gang->attempt_number_unusable
          = gang->attempt_number_unusable
            || event->reply == GANG_REPLY_ATTEMPT_OVER;
      member->may_hold_lease = event->reply == GANG_REPLY_UNKNOWN;
      gang_begin_stop (gang, event->now_ms, PLACE_OUTCOME_NOT_STARTED,
                       worker_is_at_fault (event->reply) ? member->worker
                                                         : NULL,
                       "a worker did not grant its lease");
      return;
    }
  if (!all_leased (gang))
    return;
  gang->state = GANG_RECORDING_PLACE;
  gang_emit_record (gang, GANG_RECORD_PLACE);
}

/* ===== Starting =============================================== */

static void
send_start (struct gang *gang, size_t member)
{
  gang->members[member].start_in_flight = true;
  gang->members[member].retry_at_ms = 0;
  gang_emit (gang, &(struct gang_command){ .kind = GANG_COMMAND_START,
                                           .member = member });
}

static void
begin_running_if_all_started (struct gang *gang)
{
  size_t i;

  for (i = 0; i < gang->member_count; i++)
    if (!gang->members[i].started)
      return;
  gang->state = GANG_RUNNING;
  gang_emit_record (gang, GANG_RECORD_START);
}

static void
begin_starting (struct gang *gang, int64_t now_ms)
{
  size_t i;

  gang->state = GANG_STARTING;
  gang->deadline_ms = now_ms + gang->params.start_timeout_ms;
  for (i = 0; i < gang->member_count; i++)
    if (!gang->members[i].started)
      send_start (gang, i);
  begin_running_if_all_started (gang);
}

static void
on_place_recorded (struct gang *gang, enum gang_verdict verdict,
                   int64_t now_ms)
{
  if (gang->state == GANG_CONSUMING_ATTEMPT_NUMBER)
    gang_on_attempt_number_recorded (gang, verdict, now_ms);
  if (gang->state != GANG_RECORDING_PLACE)
    return;
  if (verdict == GANG_VERDICT_VALID)
    {
      gang->recorded = true;
      if (gang->stop_pending)
        gang_begin_stop (gang, now_ms, gang->outcome, gang->blamed_worker,
                         gang->reason);
      else
        begin_starting (gang, now_ms);
      return;
    }
  if (verdict == GANG_VERDICT_UNKNOWN
      || (verdict == GANG_VERDICT_NOT_ACCEPTED && gang->place_may_take_effect))
    {
      /* The leases are kept, as JobPlace may still turn up in the log.  */
      gang->place_may_take_effect = true;
      gang->record_retry_at_ms[GANG_RECORD_PLACE] = now_ms + GANG_RETRY_MS;
      return;
    }
  gang_begin_stop (gang, now_ms,
                   gang->stop_pending ? gang->outcome
                                      : PLACE_OUTCOME_NOT_STARTED,
                   NULL, "the placement was not recorded");
}

static void
on_started (struct gang *gang, const struct gang_event *event)
{
  struct gang_member *member = &gang->members[event->member];

  /* A stop was answered before this start, and has shown whether the worker
     started its tasks.  */
  if (!member->start_in_flight)
    return;
  member->start_in_flight = false;
  if (event->reply == GANG_REPLY_OK)
    member->started = true;
  if (event->reply == GANG_REPLY_UNKNOWN)
    member->start_may_have_arrived = true;
  if (gang->state != GANG_STARTING)
    return;
  switch (event->reply)
    {
    case GANG_REPLY_OK:
      begin_running_if_all_started (gang);
      break;
    case GANG_REPLY_NOT_SENT:
    case GANG_REPLY_UNKNOWN:
      member->retry_at_ms = event->now_ms + GANG_RETRY_MS;
      break;
    case GANG_REPLY_REFUSED:
    case GANG_REPLY_BUSY:
    case GANG_REPLY_ATTEMPT_OVER:
      gang_begin_stop (gang, event->now_ms, PLACE_OUTCOME_NOT_STARTED,
                       worker_is_at_fault (event->reply) ? member->worker
                                                         : NULL,
                       "a worker did not start its tasks");
      break;
    }
}

static void
on_resume (struct gang *gang, const struct gang_event *event)
{
  size_t i;

  gang->recorded = true;
  for (i = 0; i < gang->member_count; i++)
    {
      struct gang_member *member = &gang->members[i];

      member->may_hold_lease = true;
      member->leased = true;
      member->start_may_have_arrived = true;
      member->started = member->started || event->running;
    }
  gang->state = GANG_RUNNING;
  if (gang->stop_pending)
    gang_begin_stop (gang, event->now_ms, gang->outcome, gang->blamed_worker,
                     gang->reason);
  else if (!event->running)
    begin_starting (gang, event->now_ms);
}

static void
on_start_recorded (struct gang *gang, enum gang_verdict verdict,
                   int64_t now_ms)
{
  bool known
      = verdict == GANG_VERDICT_VALID || verdict == GANG_VERDICT_NO_EFFECT;

  gang->record_retry_at_ms[GANG_RECORD_START]
      = known ? 0 : now_ms + GANG_RETRY_MS;
}

/* ===== Running ================================================ */

/* Stops the gang at once, or, while JobPlace is being recorded or the gang is
   not resumed yet, after that.  */
static void
stop_when_possible (struct gang *gang, int64_t now_ms,
                    enum place_outcome outcome, const char *blamed,
                    const char *reason)
{
  if (gang->state != 0 && gang->state != GANG_RECORDING_PLACE)
    {
      gang_begin_stop (gang, now_ms, outcome, blamed, reason);
      return;
    }
  gang->stop_pending = true;
  gang->outcome = outcome;
  gang->blamed_worker = blamed;
  g_strlcpy (gang->reason, reason, sizeof gang->reason);
}

/* The worker itself reported the end of a task.  */
static void
on_task_reported (struct gang *gang, struct gang_member *member)
{
  member->reported_count++;
  if (member->started)
    return;
  member->started = true;
  member->retry_at_ms = 0;
  if (gang->state == GANG_STARTING)
    begin_running_if_all_started (gang);
}

static void
on_task_ended (struct gang *gang, const struct gang_event *event)
{
  struct gang_member *member;
  size_t i;

  for (i = 0; i < gang->params.assignment_count; i++)
    if (gang->assignments[i].task == event->task)
      break;
  if (i == gang->params.assignment_count || gang->ended[i])
    return;
  gang->ended[i] = true;
  member
      = &gang->members[gang_find_member (gang, gang->assignments[i].worker)];
  if (!event->lapsed)
    on_task_reported (gang, member);
  if (event->ok)
    return;
  gang_mark_must_stop (gang, event->now_ms);
  if (gang->state >= GANG_STOPPING || gang->stop_pending)
    return;
  stop_when_possible (
      gang, event->now_ms,
      event->lapsed ? PLACE_OUTCOME_LOST : PLACE_OUTCOME_FAILED,
      member->worker,
      event->lapsed ? "a worker lost its lease" : "a task failed");
}

static void
on_evict (struct gang *gang, const struct gang_event *event)
{
  size_t i;

  if (gang->state >= GANG_CHECKPOINTING)
    return;
  if (gang->state != GANG_RUNNING || !gang->params.checkpointable
      || event->grace_ms == 0)
    {
      stop_when_possible (gang, event->now_ms, PLACE_OUTCOME_EVICTED, NULL,
                          "evicted");
      return;
    }
  gang->state = GANG_CHECKPOINTING;
  gang->deadline_ms = event->now_ms + event->grace_ms;
  for (i = 0; i < gang->member_count; i++)
    {
      gang->members[i].checkpoint_in_flight = true;
      gang_emit (gang, &(struct gang_command){ .kind = GANG_COMMAND_CHECKPOINT,
                                               .member = i });
    }
}

static bool
all_over_before_checkpoint (const struct gang *gang)
{
  size_t i;

  for (i = 0; i < gang->member_count; i++)
    if (!gang->members[i].over_before_checkpoint)
      return false;
  return true;
}

static void
on_checkpointed (struct gang *gang, const struct gang_event *event)
{
  struct gang_member *member = &gang->members[event->member];
  size_t i;

  member->checkpoint_in_flight = false;
  if (gang->state != GANG_CHECKPOINTING)
    return;
  if (event->reply == GANG_REPLY_OK)
    {
      member->checkpointed = true;
      member->progress_ms = event->progress_ms;
    }
  member->over_before_checkpoint = event->reply == GANG_REPLY_ATTEMPT_OVER;
  for (i = 0; i < gang->member_count; i++)
    if (gang->members[i].checkpoint_in_flight)
      return;
  /* All tasks had ended before the checkpoint, and the log will report how.
     A stop now would count as an eviction and run the job again.  The
     deadline still applies: on_tick () stops the gang then.  */
  if (all_over_before_checkpoint (gang))
    return;
  gang_begin_stop (gang, event->now_ms, PLACE_OUTCOME_EVICTED, NULL,
                   "evicted");
}

/* ===== Dispatch =============================================== */

static void
on_tick (struct gang *gang, int64_t now_ms)
{
  size_t i;

  if (gang->state == GANG_CHECKPOINTING && now_ms >= gang->deadline_ms)
    gang_begin_stop (gang, now_ms, PLACE_OUTCOME_EVICTED, NULL, "evicted");
  if (gang->state == GANG_RECORDING_PLACE
      && gang->record_retry_at_ms[GANG_RECORD_PLACE] != 0
      && now_ms >= gang->record_retry_at_ms[GANG_RECORD_PLACE])
    gang_emit_record (gang, GANG_RECORD_PLACE);
  if (gang->state == GANG_RUNNING
      && gang->record_retry_at_ms[GANG_RECORD_START] != 0
      && now_ms >= gang->record_retry_at_ms[GANG_RECORD_START])
    gang_emit_record (gang, GANG_RECORD_START);
  for (i = 0; gang->state == GANG_STARTING && i < gang->member_count; i++)
    {
      struct gang_member *member = &gang->members[i];

      if (!member->started && now_ms >= gang->deadline_ms)
        gang_begin_stop (gang, now_ms, PLACE_OUTCOME_NOT_STARTED,
                         member->worker, "not all tasks were started in time");
      else if (member->retry_at_ms != 0 && now_ms >= member->retry_at_ms)
        send_start (gang, i);
    }
  gang_tick_stop (gang, now_ms);
}

static void
on_recorded (struct gang *gang, const struct gang_event *event)
{
  gang->record_in_flight[event->record] = false;
  switch (event->record)
    {
    case GANG_RECORD_PLACE:
      on_place_recorded (gang, event->verdict, event->now_ms);
      break;
    case GANG_RECORD_START:
      on_start_recorded (gang, event->verdict, event->now_ms);
      break;
    case GANG_RECORD_MEMBER_LOST:
      gang_on_lost_recorded (gang, event->verdict, event->now_ms);
      break;
    case GANG_RECORD_STOP:
      gang_on_stop_recorded (gang, event->verdict, event->now_ms);
      break;
    case GANG_RECORD_KINDS:
      break;
    }
}

static void
on_final_stop (struct gang *gang, const struct gang_event *event,
               enum place_outcome outcome, const char *reason)
{
  gang->never_requeue = true;
  if (event->kind == GANG_EV_CANCEL)
    gang_mark_must_stop (gang, event->now_ms);
  stop_when_possible (gang, event->now_ms, outcome, NULL, reason);
}

static void
dispatch (struct gang *gang, const struct gang_event *event)
{
  switch (event->kind)
    {
    case GANG_EV_BEGIN:
      on_begin (gang);
      break;
    case GANG_EV_RESUME:
      on_resume (gang, event);
      break;
    case GANG_EV_LEASED:
      on_leased (gang, event);
      break;
    case GANG_EV_STARTED:
      on_started (gang, event);
      break;
    case GANG_EV_CHECKPOINTED:
      on_checkpointed (gang, event);
      break;
    case GANG_EV_STOPPED:
      gang_on_stopped (gang, event);
      break;
    case GANG_EV_RECORDED:
      on_recorded (gang, event);
      break;
    case GANG_EV_TASK_ENDED:
      on_task_ended (gang, event);
      break;
    case GANG_EV_FINISHED:
      gang_mark_must_stop (gang, event->now_ms);
      stop_when_possible (gang, event->now_ms, PLACE_OUTCOME_SUCCEEDED, NULL,
                          "finished");
      break;
    case GANG_EV_ATTEMPT_OVER:
      gang_on_attempt_over (gang, event);
      break;
    case GANG_EV_CANCEL:
      on_final_stop (gang, event, PLACE_OUTCOME_CANCELLED, "cancelled");
      break;
    case GANG_EV_EVICT:
      on_evict (gang, event);
      break;
    case GANG_EV_GIVE_UP:
      on_final_stop (gang, event, PLACE_OUTCOME_FAILED, event->reason);
      break;
    case GANG_EV_TICK:
      on_tick (gang, event->now_ms);
      break;
    }
}

size_t
gang_handle_event (struct gang *gang, const struct gang_event *event,
                   const struct gang_command **commands)
{
  g_array_set_size (gang->commands, 0);
  if (gang->state != GANG_DONE)
    dispatch (gang, event);
  *commands = (const struct gang_command *)(void *)gang->commands->data;
  return gang->commands->len;
}
