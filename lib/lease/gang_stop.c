/* The end of a gang: all members are stopped, then the end is recorded.  */

#include "lease/gang_internal.h"

static bool
member_may_have_started (const struct gang_member *member)
{
  return member->started || member->start_open || member->start_doubt;
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

/* Whether the job is to be queued again.  Does not change any more once it
   has been sent to the log.  */
static bool
wants_again (const struct gang *gang)
{
  if (gang->left)
    return gang->left_again;
  if (gang->stop_recording && gang->end != PLACE_OUTCOME_SUCCEEDED)
    return gang->stop_again;
  if (gang->final || gang->end == PLACE_OUTCOME_SUCCEEDED)
    return false;
  if (!may_have_started (gang))
    return true;
  if (!gang->params.repeatable)
    return false;
  if (gang->end == PLACE_OUTCOME_FAILED || gang->end == PLACE_OUTCOME_LOST)
    return gang->params.attempts_left;
  return true;
}

/* The gang goes on from where its slowest member was saved.  */
static uint64_t
saved_progress_ms (const struct gang *gang)
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
  if (!gang->stop_recording)
    {
      gang->stop_again = wants_again (gang);
      gang->stop_not_started = !may_have_started (gang);
      gang->stop_recording = true;
    }
  gang->record_open[GANG_RECORD_STOP] = true;
  gang->record_retry_ms[GANG_RECORD_STOP] = 0;
  gang_emit (gang,
             &(struct gang_command){ .kind = GANG_RECORD,
                                     .record = GANG_RECORD_STOP,
                                     .again = gang->stop_again,
                                     .not_started = gang->stop_not_started,
                                     .progress_ms = saved_progress_ms (gang),
                                     .reason = gang->reason });
}

static void
finish (struct gang *gang)
{
  gang->record_retry_ms[GANG_RECORD_PLACE] = 0;
  gang->state = GANG_DONE;
  gang_emit (gang,
             &(struct gang_command){ .kind = GANG_ENDED,
                                     .end = gang->end,
                                     .worker = gang->blamed,
                                     .again = wants_again (gang),
                                     .progress_ms = saved_progress_ms (gang),
                                     .reason = gang->reason });
}

/* Nothing was recorded of the attempt, and the job is still queued.  */
static bool
is_unrecorded_failure (const struct gang *gang)
{
  return !gang->recorded && !gang->final && !gang->left;
}

/* A worker that held the attempt's lease never takes its number again, while
   the log takes numbers in sequence only.  So the number is used up: the
   placement is recorded, and then that it was not started.  No worker can
   hold its lease any more.  */
static void
use_up_number (struct gang *gang)
{
  gang->state = GANG_VOIDING;
  gang_emit_record (gang, GANG_RECORD_PLACE);
}

static void
end_holding (struct gang *gang)
{
  if (gang->number_used && is_unrecorded_failure (gang))
    use_up_number (gang);
  else
    finish (gang);
}

void
gang_on_void_recorded (struct gang *gang, enum gang_verdict verdict,
                       int64_t now_ms)
{
  if (verdict == GANG_VALID)
    {
      gang->recorded = true;
      gang->state = GANG_ENDING;
      emit_stop_record (gang);
    }
  else if (verdict == GANG_VOID)
    finish (gang);
  else
    gang->record_retry_ms[GANG_RECORD_PLACE] = now_ms + GANG_RETRY_MS;
}

static void
check_all_stopped (struct gang *gang)
{
  size_t i;

  for (i = 0; i < gang->member_count; i++)
    if (!gang->members[i].stopped)
      return;
  if (gang->recorded && !gang->left && gang->end != PLACE_OUTCOME_SUCCEEDED)
    {
      gang->state = GANG_ENDING;
      emit_stop_record (gang);
      return;
    }
  if (is_unrecorded_failure (gang))
    {
      gang->state = GANG_HOLDING;
      gang->deadline_ms = gang->stopping_ms + GANG_RESTART_DELAY_MS;
      return;
    }
  finish (gang);
}

static void
send_stop (struct gang *gang, size_t member)
{
  gang->number_used = true;
  gang->members[member].stop_open = true;
  gang->members[member].retry_ms = 0;
  gang_emit (gang,
             &(struct gang_command){ .kind = GANG_STOP, .member = member });
}

/* While stopping already, only a final end counts: the job finished, was
   cancelled or is given up.  */
static void
strengthen_end (struct gang *gang, enum place_outcome end, const char *reason)
{
  if (gang->end == PLACE_OUTCOME_SUCCEEDED
      || (end != PLACE_OUTCOME_SUCCEEDED && !gang->final))
    return;
  gang->end = end;
  gang->blamed = NULL;
  g_strlcpy (gang->reason, reason, sizeof gang->reason);
}

void
gang_begin_stop (struct gang *gang, int64_t now_ms, enum place_outcome end,
                 const char *blamed, const char *reason)
{
  size_t i;

  if (gang->state >= GANG_STOPPING)
    {
      strengthen_end (gang, end, reason);
      return;
    }
  gang->state = GANG_STOPPING;
  gang->stopping_ms = now_ms;
  gang->end = end;
  gang->blamed = blamed;
  if (reason != gang->reason)
    g_strlcpy (gang->reason, reason, sizeof gang->reason);
  for (i = 0; i < gang->member_count; i++)
    {
      if (gang->members[i].may_hold)
        send_stop (gang, i);
      else
        gang->members[i].stopped = true;
    }
  check_all_stopped (gang);
}

void
gang_condemn (struct gang *gang, int64_t now_ms)
{
  if (gang->condemned_ms == 0)
    gang->condemned_ms = now_ms;
}

/* When no worker can hold the lease any more, answer or not.  Renewals end
   once the log says that the attempt must stop; a lease that was not recorded
   is renewed by nobody.  */
static int64_t
lapsed_from_ms (const struct gang *gang)
{
  if (!gang->recorded)
    return gang->stopping_ms + gang->params.call_timeout_ms
           + gang->params.ttl_ms;
  if (gang->condemned_ms == 0)
    return INT64_MAX;
  return gang->condemned_ms + gang_stop_bound_ms (&gang->params);
}

static void
record_lost (struct gang *gang, size_t member)
{
  gang->lost_member = member;
  gang_emit_record (gang, GANG_RECORD_LOST);
}

/* A member did not answer the stop.  */
static void
on_unanswered_stop (struct gang *gang, size_t index, int64_t now_ms)
{
  struct gang_member *member = &gang->members[index];

  if (member->reported_count == member->task_count)
    {
      member->stopped = true;
      check_all_stopped (gang);
      return;
    }
  member->retry_ms = now_ms + GANG_RETRY_MS;
  if (gang->recorded && gang->condemned_ms == 0
      && !gang->record_open[GANG_RECORD_LOST]
      && gang->record_retry_ms[GANG_RECORD_LOST] == 0)
    record_lost (gang, index);
}

void
gang_on_stopped (struct gang *gang, const struct gang_event *event)
{
  struct gang_member *member = &gang->members[event->member];

  member->stop_open = false;
  if (gang->state != GANG_STOPPING || member->stopped)
    return;
  if (event->reply != GANG_REPLY_OK)
    {
      on_unanswered_stop (gang, event->member, event->now_ms);
      return;
    }
  member->stopped = true;
  member->retry_ms = 0;
  if (event->started)
    member->started = true;
  else if (member->boot != 0 && event->boot == member->boot)
    {
      /* The worker has not restarted since the lease, so that it knows.  */
      member->start_open = false;
      member->start_doubt = false;
    }
  check_all_stopped (gang);
}

void
gang_on_stop_recorded (struct gang *gang, enum gang_verdict verdict,
                       int64_t now_ms)
{
  if (gang->state != GANG_ENDING)
    return;
  if (verdict == GANG_VALID || verdict == GANG_VOID)
    finish (gang);
  else
    gang->record_retry_ms[GANG_RECORD_STOP] = now_ms + GANG_RETRY_MS;
}

void
gang_on_lost_recorded (struct gang *gang, enum gang_verdict verdict,
                       int64_t now_ms)
{
  if (verdict == GANG_VALID || verdict == GANG_VOID)
    gang_condemn (gang, now_ms);
  else if (gang->condemned_ms == 0)
    gang->record_retry_ms[GANG_RECORD_LOST] = now_ms + GANG_RETRY_MS;
}

void
gang_on_left (struct gang *gang, const struct gang_event *event)
{
  gang->left = true;
  gang->left_again = event->again;
  gang_condemn (gang, event->now_ms);
  if (gang->state == GANG_ENDING)
    finish (gang);
  else if (gang->state < GANG_STOPPING)
    gang_begin_stop (gang, event->now_ms,
                     event->again ? PLACE_OUTCOME_EVICTED
                                  : PLACE_OUTCOME_CANCELLED,
                     NULL, "the attempt is over in the log");
}

void
gang_tick_stop (struct gang *gang, int64_t now_ms)
{
  bool lapsed = now_ms >= lapsed_from_ms (gang);
  size_t i;

  if (gang->state == GANG_HOLDING && now_ms >= gang->deadline_ms)
    end_holding (gang);
  if (gang->state == GANG_VOIDING
      && gang->record_retry_ms[GANG_RECORD_PLACE] != 0
      && now_ms >= gang->record_retry_ms[GANG_RECORD_PLACE])
    gang_emit_record (gang, GANG_RECORD_PLACE);
  if (gang->state == GANG_ENDING
      && gang->record_retry_ms[GANG_RECORD_STOP] != 0
      && now_ms >= gang->record_retry_ms[GANG_RECORD_STOP])
    emit_stop_record (gang);
  if (gang->state != GANG_STOPPING)
    return;
  if (gang->record_retry_ms[GANG_RECORD_LOST] != 0
      && now_ms >= gang->record_retry_ms[GANG_RECORD_LOST])
    record_lost (gang, gang->lost_member);
  for (i = 0; i < gang->member_count; i++)
    {
      struct gang_member *member = &gang->members[i];

      if (member->stopped)
        continue;
      if (lapsed)
        member->stopped = true;
      else if (member->retry_ms != 0 && now_ms >= member->retry_ms)
        send_stop (gang, i);
    }
  if (lapsed)
    check_all_stopped (gang);
}
