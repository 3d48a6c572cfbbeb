/* Builds the records that the planner appends to the log.  */

#include "planner.h"

static struct msg_append *
new_append (Ft__Record__BodyCase body_case)
{
  struct msg_append *message = g_new0 (struct msg_append, 1);

  ft__record__init (&message->record);
  message->record.body_case = body_case;
  return message;
}

struct msg_append *
planner_record_term (uint64_t term, const char *host)
{
  struct msg_append *message = new_append (FT__RECORD__BODY_TERM_CLAIM);
  Ft__TermClaim *claim = g_new0 (Ft__TermClaim, 1);

  ft__term_claim__init (claim);
  claim->term = term;
  claim->host = g_strdup (host);
  message->record.term_claim = claim;
  return message;
}

struct msg_append *
planner_record_place (const struct planner_gang *pg)
{
  struct msg_append *message = new_append (FT__RECORD__BODY_JOB_PLACE);
  Ft__JobPlace *place = g_new0 (Ft__JobPlace, 1);
  const struct place_assignment *assignments;
  size_t count;
  size_t i;

  assignments = gang_assignments (pg->gang, &count);
  ft__job_place__init (place);
  place->job = g_strdup (pg->job->id);
  place->attempt = pg->attempt;
  place->assignments = g_new0 (Ft__Assignment *, count);
  place->n_assignments = count;
  for (i = 0; i < count; i++)
    {
      Ft__Assignment *item = g_new0 (Ft__Assignment, 1);

      ft__assignment__init (item);
      item->task = assignments[i].task;
      item->worker = g_strdup (assignments[i].worker);
      item->accelerators = assignments[i].accelerators;
      place->assignments[i] = item;
    }
  message->record.job_place = place;
  return message;
}

struct msg_append *
planner_record_start (const struct planner_gang *pg)
{
  struct msg_append *message = new_append (FT__RECORD__BODY_JOB_START);
  Ft__JobStart *start = g_new0 (Ft__JobStart, 1);

  ft__job_start__init (start);
  start->job = g_strdup (pg->job->id);
  start->attempt = pg->attempt;
  message->record.job_start = start;
  return message;
}

/* The first task on the worker whose end is not known; 0 if there is none.  */
static uint32_t
first_unended_task (const struct planner_gang *pg, const char *worker)
{
  const struct place_assignment *assignments;
  size_t count;
  size_t i;

  assignments = gang_assignments (pg->gang, &count);
  for (i = 0; i < count; i++)
    if (g_str_equal (assignments[i].worker, worker)
        && !gang_task_has_ended (pg->gang, assignments[i].task))
      return assignments[i].task;
  return 0;
}

struct msg_append *
planner_record_lost (const struct planner_gang *pg, size_t member)
{
  struct msg_append *message = new_append (FT__RECORD__BODY_TASK_END);
  const char *worker = gang_worker (pg->gang, member);
  Ft__TaskEnd *end = g_new0 (Ft__TaskEnd, 1);

  ft__task_end__init (end);
  end->job = g_strdup (pg->job->id);
  end->attempt = pg->attempt;
  end->task = first_unended_task (pg, worker);
  end->lapsed = true;
  end->worker = g_strdup (worker);
  end->detail = g_strdup ("the worker does not answer the stop");
  message->record.task_end = end;
  return message;
}

struct msg_append *
planner_record_stop (const struct planner_gang *pg,
                     const struct gang_command *command)
{
  struct msg_append *message = new_append (FT__RECORD__BODY_JOB_STOP);
  Ft__JobStop *stop = g_new0 (Ft__JobStop, 1);

  ft__job_stop__init (stop);
  stop->job = g_strdup (pg->job->id);
  stop->attempt = pg->attempt;
  stop->again = command->requeue;
  stop->not_started = command->not_started;
  stop->reason = g_strdup (command->reason);
  stop->progress_ms = command->progress_ms;
  message->record.job_stop = stop;
  return message;
}

struct msg_append *
planner_record_refuse (const char *job, const char *reason)
{
  struct msg_append *message = new_append (FT__RECORD__BODY_JOB_REFUSE);
  Ft__JobRefuse *refuse = g_new0 (Ft__JobRefuse, 1);

  ft__job_refuse__init (refuse);
  refuse->job = g_strdup (job);
  refuse->reason = g_strdup (reason);
  message->record.job_refuse = refuse;
  return message;
}

void
planner_append (struct planner_task *task, struct msg_append *message,
                uint64_t term, struct planner_append *append)
{
  uint64_t *token = g_new (uint64_t, 1);

  *token = ++task->next_token;
  message->term = term;
  message->timeout_ms = PLANNER_APPEND_DEADLINE_MS;
  message->reply = task->box;
  message->token = *token;
  g_hash_table_insert (task->appends, token, append);
  mb_post (task->daemon->state, MSG_APPEND, message);
}

void
planner_append_free (void *append)
{
  struct planner_append *item = append;

  g_free (item->job);
  g_free (item);
}
