/* Requests to workers on behalf of gangs.  */

#include "common/logging.h"
#include "planner.h"

/* A request in flight.  */
struct planner_call
{
  struct planner_gang *pg;
  size_t member;
  enum gang_event_kind event; /* that the answer becomes */
  struct ls_call *call;
};

static enum gang_event_kind
answer_event (enum gang_command_kind command)
{
  switch (command)
    {
    case GANG_COMMAND_LEASE:
      return GANG_EV_LEASED;
    case GANG_COMMAND_START:
      return GANG_EV_STARTED;
    case GANG_COMMAND_CHECKPOINT:
      return GANG_EV_CHECKPOINTED;
    default:
      return GANG_EV_STOPPED;
    }
}

static enum ls_kind
request_kind (enum gang_command_kind command)
{
  switch (command)
    {
    case GANG_COMMAND_LEASE:
      return LS_LEASE;
    case GANG_COMMAND_START:
      return LS_START;
    case GANG_COMMAND_CHECKPOINT:
      return LS_CHECKPOINT;
    default:
      return LS_STOP;
    }
}

static enum gang_reply
gang_reply_of (int error)
{
  switch (error)
    {
    case LS_OK:
      return GANG_REPLY_OK;
    case LS_ERR_BUSY:
      return GANG_REPLY_BUSY;
    case LS_ERR_ATTEMPT_OVER:
    case LS_ERR_NO_LEASE:
      return GANG_REPLY_ATTEMPT_OVER;
    case LS_ERR_NOT_SENT:
    case LS_ERR_MEMORY:
      return GANG_REPLY_NOT_SENT;
    case LS_ERR_UNKNOWN:
    case LS_ERR_MALFORMED_ANSWER:
      return GANG_REPLY_UNKNOWN;
    default:
      return GANG_REPLY_REFUSED;
    }
}

/* ===== Answers ================================================ */

/* A stop is repeated until the worker answers it, so only the first failure is
   logged above debug level.  */
static void
log_failure (struct planner_gang *pg, size_t member,
             const struct ls_answer *answer)
{
  GLogLevelFlags level
      = pg->stop_failure_logged ? G_LOG_LEVEL_DEBUG : G_LOG_LEVEL_INFO;

  pg->stop_failure_logged = pg->stop_failure_logged || answer->kind == LS_STOP;
  lg_write (level, PLANNER_PART, "A request to a worker failed.", "request",
            ls_path (answer->kind), "worker", gang_worker (pg->gang, member),
            "job", pg->job->id, "error", ls_strerror (answer->error), NULL);
}

static bool
is_unresponsive (int error)
{
  return error == LS_ERR_NOT_SENT || error == LS_ERR_UNKNOWN;
}

static void
on_answer (void *ctx, const struct ls_answer *answer)
{
  struct planner_call *call = ctx;
  struct planner_gang *pg = call->pg;
  struct planner_task *task = pg->task;
  struct gang_event event = { .kind = call->event,
                              .now_ms = planner_now_ms (),
                              .member = call->member,
                              .reply = gang_reply_of (answer->error),
                              .worker_boot_id = answer->worker_boot_id,
                              .started = answer->started,
                              .progress_ms = answer->progress_ms };

  g_hash_table_remove (pg->calls, call);
  g_free (call);
  if (!planner_check_pause (task))
    return;
  if (answer->error != LS_OK)
    log_failure (pg, event.member, answer);
  if (answer->error == LS_ERR_STALE_TERM)
    planner_suspend (task, "a worker has seen a later term");
  else
    {
      if (is_unresponsive (answer->error))
        planner_on_worker_unresponsive (task,
                                        gang_worker (pg->gang, event.member));
      planner_gang_handle_event (pg, &event);
    }
}

/* ===== Requests =============================================== */

/* The member's tasks with their resources.  The caller frees the array.  */
static struct ls_task *
member_tasks (const struct planner_gang *pg, size_t member, size_t *count)
{
  const Ft__Shape *shape = pg->job->spec->shape;
  const char *worker = gang_worker (pg->gang, member);
  const struct place_assignment *assignments;
  struct ls_task *tasks;
  size_t all;
  size_t i;

  assignments = gang_assignments (pg->gang, &all);
  tasks = g_new0 (struct ls_task, all);
  *count = 0;
  for (i = 0; i < all; i++)
    if (g_str_equal (assignments[i].worker, worker))
      tasks[(*count)++]
          = (struct ls_task){ .task = assignments[i].task,
                              .cpus_milli = shape->cpus_milli,
                              .memory_mb = shape->memory_mb,
                              .accelerators = assignments[i].accelerators };
  return tasks;
}

/* The next tick reports the failure to the gang, because the gang must not get
   an event while the commands of its last decision are carried out.  */
static void
queue_unsent_request (struct planner_gang *pg,
                      const struct gang_command *command)
{
  struct planner_unsent_request *unsent
      = g_new0 (struct planner_unsent_request, 1);

  unsent->job = g_strdup (pg->job->id);
  unsent->attempt = pg->attempt;
  unsent->event = (struct gang_event){ .kind = answer_event (command->kind),
                                       .member = command->member,
                                       .reply = GANG_REPLY_NOT_SENT };
  g_queue_push_tail (&pg->task->unsent_requests, unsent);
}

/* A checkpoint may take the grace time of the rules.  */
static uint32_t
request_timeout_ms (const struct planner_task *task,
                    enum gang_command_kind command)
{
  if (command == GANG_COMMAND_CHECKPOINT)
    return task->rules.checkpoint_grace_ms;
  return PLANNER_CALL_TIMEOUT_MS;
}

static int
send_request (struct planner_call *call, const struct hl_host *host,
              const struct gang_command *command)
{
  struct planner_gang *pg = call->pg;
  const struct settings *settings = pg->task->daemon->settings;
  const Ft__JobSpec *spec = pg->job->spec;
  struct ls_target target = { .address = host->address, .port = host->port };
  struct ls_request request
      = { .kind = request_kind (command->kind),
          .term = pg->task->own_term,
          .attempt = { .job = pg->job->id, .attempt = pg->attempt },
          .host = settings->host,
          .ttl_ms = settings->lease_ttl_ms,
          .payload = spec->payload.data,
          .payload_size_bytes = spec->payload.len,
          .start_progress_ms = pg->job->progress_ms };
  struct ls_task *tasks;
  int error;

  tasks = member_tasks (pg, command->member, &request.task_count);
  request.tasks = tasks;
  error = ls_send (pg->task->http, &target, &request,
                   request_timeout_ms (pg->task, command->kind), on_answer,
                   call, &call->call);
  g_free (tasks);
  return error;
}

void
planner_send_to_gang_member (struct planner_gang *pg,
                             const struct gang_command *command)
{
  const char *worker = gang_worker (pg->gang, command->member);
  const struct hl_host *host = planner_find_worker (pg->task, worker);
  struct planner_call *call;

  if (host == NULL)
    {
      queue_unsent_request (pg, command);
      return;
    }
  call = g_new0 (struct planner_call, 1);
  call->pg = pg;
  call->member = command->member;
  call->event = answer_event (command->kind);
  if (send_request (call, host, command) == LS_OK)
    {
      g_hash_table_add (pg->calls, call);
      return;
    }
  g_free (call);
  queue_unsent_request (pg, command);
}

void
planner_cancel_calls (struct planner_gang *pg)
{
  GHashTableIter iter;
  gpointer item;

  g_hash_table_iter_init (&iter, pg->calls);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    {
      struct planner_call *call = item;

      ls_cancel (call->call);
      g_free (call);
    }
  g_hash_table_remove_all (pg->calls);
}

void
planner_unsent_request_free (void *request)
{
  struct planner_unsent_request *item = request;

  g_free (item->job);
  g_free (item);
}
