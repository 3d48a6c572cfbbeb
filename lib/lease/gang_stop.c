/* Stopping of a gang: all members are stopped, then JobStop is recorded.  */

#include "lease/gang_internal.h"

static bool
member_may_have_started (const struct gang_member *member)
{
  return member->started || member->start_in_flight
         || member->start_may_have_arrived;
}

static bool
may_have_started (const struct gang *gang)
{
  size_t i;

  for (i = 0; i < gang->member_count; i++)
    if (member_may_have_started (&gang->members[i]))
      return true;
  return false;
}

/* Whether the job is to be queued again.  Once JobStop has been sent, the
   value that it carried is kept, unless the job has succeeded meanwhile.  */
static bool
should_requeue (const struct gang *gang)
{
  if (gang->over_in_log)
    return gang->requeued_in_log;
  if (gang->stop_record_sent && gang->outcome != PLACE_OUTCOME_SUCCEEDED)
    return gang->stop_requeue;
  if (gang->never_requeue || gang->outcome == PLACE_OUTCOME_SUCCEEDED)
    return false;
  if (!may_have_started (gang))
    return true;
  if (!gang->params.repeatable)
    return false;
  if (gang->outcome == PLACE_OUTCOME_FAILED
      || gang->outcome == PLACE_OUTCOME_LOST)
    return gang->params.may_retry;
  return true;
}

/* The progress from which the next attempt starts: the least progress that a
   member has checkpointed, or that of earlier attempts unless all members have
   checkpointed.  */
static uint64_t
checkpointed_progress_ms (const struct gang *gang)
{
  uint64_t least_ms = UINT64_MAX;
  size_t i;

  for (i = 0; i < gang->member_count; i++)
    {
      if (!gang->members[i].checkpointed)
        return gang->params.progress_ms;
      if (gang->members[i].progress_ms < least_ms)
        least_ms = gang->members[i].progress_ms;
    }
  return least_ms;
}

static void
emit_stop_record (struct gang *gang)
{
  if (!gang->stop_record_sent)
    {
      gang->stop_requeue = should_requeue (gang);
      gang->stop_not_started = !may_have_started (gang);
      gang->stop_record_sent = true;
    }
  gang->record_in_flight[GANG_RECORD_STOP] = true;
  gang->record_retry_at_ms[GANG_RECORD_STOP] = 0;
  gang_emit (gang, &(struct gang_command){
                       .kind = GANG_COMMAND_RECORD,
                       .record = GANG_RECORD_STOP,
                       .requeue = gang->stop_requeue,
                       .not_started = gang->stop_not_started,
                       .progress_ms = checkpointed_progress_ms (gang),
                       .reason = gang->reason });
}

static void
finish_gang (struct gang *gang)
{
  gang->record_retry_at_ms[GANG_RECORD_PLACE] = 0;
  gang->state = GANG_DONE;
  gang_emit (gang, &(struct gang_command){
                       .kind = GANG_COMMAND_ENDED,
                       .outcome = gang->outcome,
                       .blamed_worker = gang->blamed_worker,
                       .requeue = should_requeue (gang),
                       .progress_ms = checkpointed_progress_ms (gang),
                       .reason = gang->reason });
}

/* Whether the log holds no record of the attempt, so that the job is still
   queued there.  */
static bool
failed_unrecorded (const struct gang *gang)
{
  return !gang->recorded && !gang->never_requeue && !gang->over_in_log;
}

/* A worker that held the attempt's lease refuses this attempt number for ever,
   while the log accepts attempt numbers in sequence only.  The job could not
   be placed again with either.  So the log is made to count the number: the
   placement is recorded, and then a JobStop that says that nothing was
   started.  This is safe, as no worker can hold the lease any more.  */
static void
consume_attempt_number (struct gang *gang)
{
  gang->state = GANG_CONSUMING_ATTEMPT_NUMBER;
  gang_emit_record (gang, GANG_RECORD_PLACE);
}

static void
end_restart_delay (struct gang *gang)
{
  if (gang->attempt_number_unusable && failed_unrecorded (gang))
    consume_attempt_number (gang);
  else
    finish_gang (gang);
}

void
gang_on_attempt_number_recorded (struct gang *gang, enum gang_verdict verdict,
                                 int64_t now_ms)
{
  if (verdict == GANG_VERDICT_VALID)
    {
      gang->recorded = true;
      gang->state = GANG_RECORDING_STOP;
      emit_stop_record (gang);
    }
  else if (verdict == GANG_VERDICT_NO_EFFECT)
    finish_gang (gang);
  else
    gang->record_retry_at_ms[GANG_RECORD_PLACE] = now_ms + GANG_RETRY_MS;
}

static void
finish_if_all_stopped (struct gang *gang)
{
  size_t i;

  for (i = 0; i < gang->member_count; i++)
    if (!gang->members[i].stopped)
      return;
  if (gang->recorded && !gang->over_in_log
      && gang->outcome != PLACE_OUTCOME_SUCCEEDED)
    {
      gang->state = GANG_RECORDING_STOP;
      emit_stop_record (gang);
      return;
    }
  if (failed_unrecorded (gang))
    {
      gang->state = GANG_RESTART_DELAY;
      gang->deadline_ms = gang->stopping_since_ms + GANG_RESTART_DELAY_MS;
      return;
    }
  finish_gang (gang);
}

static void
send_stop (struct gang *gang, size_t member)
{
  gang->attempt_number_unusable = true;
  gang->members[member].stop_in_flight = true;
  gang->members[member].retry_at_ms = 0;
  gang_emit (gang, &(struct gang_command){ .kind = GANG_COMMAND_STOP,
                                           .member = member });
}

/* Replaces the outcome of a gang that is stopping already.  Only a final one
   does so: the job has succeeded, is cancelled or is given up.  Success is
   never replaced.  */
static void
override_outcome (struct gang *gang, enum place_outcome outcome,
                  const char *reason)
{
  if (gang->outcome == PLACE_OUTCOME_SUCCEEDED
      || (outcome != PLACE_OUTCOME_SUCCEEDED && !gang->never_requeue))
    return;
  gang->outcome = outcome;
  gang->blamed_worker = NULL;
  g_strlcpy (gang->reason, reason, sizeof gang->reason);
}

void
gang_begin_stop (struct gang *gang, int64_t now_ms, enum place_outcome outcome,
                 const char *blamed, const char *reason)
{
  size_t i;

  if (gang->state >= GANG_STOPPING)
    {
      override_outcome (gang, outcome, reason);
      return;
    }
  gang->state = GANG_STOPPING;
  gang->stopping_since_ms = now_ms;
  gang->outcome = outcome;
  gang->blamed_worker = blamed;
  if (reason != gang->reason)
    g_strlcpy (gang->reason, reason, sizeof gang->reason);
  for (i = 0; i < gang->member_count; i++)
    {
      if (gang->members[i].may_hold_lease)
        send_stop (gang, i);
      else
        gang->members[i].stopped = true;
    }
  finish_if_all_stopped (gang);
}

void
gang_mark_must_stop (struct gang *gang, int64_t now_ms)
{
  if (gang->must_stop_since_ms == 0)
    gang->must_stop_since_ms = now_ms;
}

/* The time from which no worker can hold the attempt's lease any more, even
   one that does not answer.  Hosts stop renewing once the log says that the
   attempt must stop, and never renew a lease whose placement is not in the
   log.  INT64_MAX while renewals may go on.  */
static int64_t
all_leases_lapsed_at_ms (const struct gang *gang)
{
  if (!gang->recorded)
    return gang->stopping_since_ms + gang->params.call_timeout_ms
           + gang->params.lease_ttl_ms;
  if (gang->must_stop_since_ms == 0)
    return INT64_MAX;
  return gang->must_stop_since_ms + gang_stop_bound_ms (&gang->params);
}

static void
record_lost_member (struct gang *gang, size_t member)
{
  gang->lost_member = member;
  gang_emit_record (gang, GANG_RECORD_MEMBER_LOST);
}

/* The stop of a member did not succeed.  It is retried, unless the worker has
   reported the end of all its tasks.  If the log does not say yet that the
   attempt must stop, a lost member is recorded, so that renewals end.  */
static void
on_unanswered_stop (struct gang *gang, size_t index, int64_t now_ms)
{
  struct gang_member *member = &gang->members[index];

  if (member->reported_count == member->task_count)
    {
      member->stopped = true;
      finish_if_all_stopped (gang);
      return;
    }
  member->retry_at_ms = now_ms + GANG_RETRY_MS;
  if (gang->recorded && gang->must_stop_since_ms == 0
      && !gang->record_in_flight[GANG_RECORD_MEMBER_LOST]
      && gang->record_retry_at_ms[GANG_RECORD_MEMBER_LOST] == 0)
    record_lost_member (gang, index);
}

void
gang_on_stopped (struct gang *gang, const struct gang_event *event)
{
  struct gang_member *member = &gang->members[event->member];

  member->stop_in_flight = false;
  if (gang->state != GANG_STOPPING || member->stopped)
    return;
  if (event->reply != GANG_REPLY_OK)
    {
      on_unanswered_stop (gang, event->member, event->now_ms);
      return;
    }
  member->stopped = true;
  member->retry_at_ms = 0;
  if (event->started)
    member->started = true;
  else if (member->worker_boot_id != 0
           && event->worker_boot_id == member->worker_boot_id)
    {
      /* The worker has not restarted since it granted the lease, so its
         answer that nothing was started is reliable.  */
      member->start_in_flight = false;
      member->start_may_have_arrived = false;
    }
  finish_if_all_stopped (gang);
}

void
gang_on_stop_recorded (struct gang *gang, enum gang_verdict verdict,
                       int64_t now_ms)
{
  if (gang->state != GANG_RECORDING_STOP)
    return;
  if (verdict == GANG_VERDICT_VALID || verdict == GANG_VERDICT_NO_EFFECT)
    finish_gang (gang);
  else
    gang->record_retry_at_ms[GANG_RECORD_STOP] = now_ms + GANG_RETRY_MS;
}

void
gang_on_lost_recorded (struct gang *gang, enum gang_verdict verdict,
                       int64_t now_ms)
{
  if (verdict == GANG_VERDICT_VALID || verdict == GANG_VERDICT_NO_EFFECT)
    gang_mark_must_stop (gang, now_ms);
  else if (gang->must_stop_since_ms == 0)
    gang->record_retry_at_ms[GANG_RECORD_MEMBER_LOST] = now_ms + GANG_RETRY_MS;
}

void
gang_on_attempt_over (struct gang *gang, const struct gang_event *event)
{
  gang->over_in_log = true;
  gang->requeued_in_log = event->requeue;
  gang_mark_must_stop (gang, event->now_ms);
  if (gang->state == GANG_RECORDING_STOP)
    finish_gang (gang);
  else if (gang->state < GANG_STOPPING)
    gang_begin_stop (gang, event->now_ms,
                     event->requeue ? PLACE_OUTCOME_EVICTED
                                    : PLACE_OUTCOME_CANCELLED,
                     NULL, "the attempt is over in the log");
}

void
gang_tick_stop (struct gang *gang, int64_t now_ms)
{
  bool lapsed = now_ms >= all_leases_lapsed_at_ms (gang);
  size_t i;

  if (gang->state == GANG_RESTART_DELAY && now_ms >= gang->deadline_ms)
    end_restart_delay (gang);
  if (gang->state == GANG_CONSUMING_ATTEMPT_NUMBER
      && gang->record_retry_at_ms[GANG_RECORD_PLACE] != 0
      && now_ms >= gang->record_retry_at_ms[GANG_RECORD_PLACE])
    gang_emit_record (gang, GANG_RECORD_PLACE);
  if (gang->state == GANG_RECORDING_STOP
      && gang->record_retry_at_ms[GANG_RECORD_STOP] != 0
      && now_ms >= gang->record_retry_at_ms[GANG_RECORD_STOP])
    emit_stop_record (gang);
  if (gang->state != GANG_STOPPING)
    return;
  if (gang->record_retry_at_ms[GANG_RECORD_MEMBER_LOST] != 0
      && now_ms >= gang->record_retry_at_ms[GANG_RECORD_MEMBER_LOST])
    record_lost_member (gang, gang->lost_member);
  for (i = 0; i < gang->member_count; i++)
    {
      struct gang_member *member = &gang->members[i];

      if (member->stopped)
        continue;
      if (lapsed)
        member->stopped = true;
      else if (member->retry_at_ms != 0 && now_ms >= member->retry_at_ms)
        send_stop (gang, i);
    }
  if (lapsed)
    finish_if_all_stopped (gang);
}
