/* Starts of tasks.  They wait in a queue until the window of calls has room,
   starts of urgent jobs first.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "workers_private.h"

static const char PART[] = "workers";

enum
{
  START_TIMEOUT_MS = 350,
  START_TRIES_MAX = 3, /* a try without a connection may fail at once */
  /* The third try is sent by then.  A worker refuses a start that arrives
     after WK_START_EXPIRY_MS, with a right clock somewhat earlier.  */
  LAST_TRY_MAX_MS = 850
};

static void send_start (struct wk_call *call, struct jb_task *task,
                        struct sd_worker *worker);

struct jb_task *
wk_task_of_call (const struct wk_call *call)
{
  struct jb_task *task
      = jb_table_find_task (call->workers->params.table, call->task);

  if (task == NULL || task->run != call->run || task->worker == NULL
      || strcmp (task->worker, call->worker) != 0)
    return NULL;
  return task;
}

/* --- Answers --- */

/* INT64_MAX: by the clock of a former process, so that it is not known.  */
static int64_t
start_expiry_ms (const struct wk_call *call, const struct worker_io *io)
{
  return wk_call_is_of_process (call, io)
             ? call->first_sent_ms + WK_START_EXPIRY_MS
             : INT64_MAX;
}

static bool
knows_closed (const struct worker_calls *workers)
{
  return workers->params.knows_closed == NULL
         || workers->params.knows_closed (workers->params.ctx);
}

/* A start also keeps what runs on its worker running until it expires.  */
static bool
may_start (struct worker_calls *workers, int64_t now_ms)
{
  return wk_may_command (workers) && knows_closed (workers)
         && wk_lease_allowance_ms (workers, now_ms)
                >= MIN ((int64_t)WK_START_EXPIRY_MS,
                        workers->params.lease_limit_ms / 2);
}

/* Whether a start without an answer may be sent again.  */
static bool
may_send_again (const struct wk_call *call, const struct jb_task *task,
                const struct sd_worker *worker, int64_t now_ms)
{
  struct worker_calls *workers = call->workers;
  const struct worker_io *io = worker->driver_data;

  return call->tries < START_TRIES_MAX && !worker->closed
         && now_ms < call->first_sent_ms + LAST_TRY_MAX_MS
         && task->state == JB_TASK_PLACED && may_start (workers, now_ms)
         && wk_call_is_of_process (call, io) && io->clock.clock_ms >= 0
         && !io->lease_recorded
         && sd_start_is_safe (workers->params.sched, task, now_ms);
}

/* A refusal shows that the run is not there only if no earlier try can still
   take effect.  Otherwise the worker's status decides, once all tries have
   expired.  */
static void
handle_refusal (struct wk_call *call, struct jb_task *task,
                const struct worker_io *io, enum sd_refusal reason,
                int64_t now_ms)
{
  struct worker_calls *workers = call->workers;

  if (call->earlier_try_unanswered)
    {
      task->poll_conclusive_from_ms
          = MIN (task->poll_conclusive_from_ms, start_expiry_ms (call, io));
      return;
    }
  if (task->state == JB_TASK_PLACED)
    sd_task_refused (workers->params.sched, task, reason, now_ms);
  else
    sd_task_lost (workers->params.sched, task, now_ms);
}

static void
handle_start_answer (struct wk_call *call, struct jb_task *task,
                     struct sd_worker *worker, const struct wp_answer *answer)
{
  struct worker_calls *workers = call->workers;
  struct worker_io *io = wk_io (workers, worker);
  int64_t now_ms = clk_monotonic_ms (NULL);

  switch (answer->result)
    {
    case WP_DONE:
      task->poll_conclusive_from_ms = now_ms;
      if (task->state == JB_TASK_PLACED)
        sd_task_running (workers->params.sched, task, now_ms);
      if (task->step->spec->best_effort)
        wk_update_pace (workers, worker);
      return;
    case WP_NO_ANSWER:
      call->earlier_try_unanswered = true;
      sd_worker_unresponsive (worker, now_ms);
      wk_deadline_unanswered (io, call, now_ms);
      if (may_send_again (call, task, worker, now_ms))
        {
          send_start (call, task, worker);
          return;
        }
      task->poll_conclusive_from_ms = start_expiry_ms (call, io);
      return;
    case WP_NOT_SENT:
    case WP_SEND_LATE:
      wk_deadline_not_sent (io, call);
      sd_worker_unresponsive (worker, now_ms);
      if (worker->reachability == SD_WORKER_REACHABLE
          && may_send_again (call, task, worker, now_ms))
        send_start (call, task, worker);
      else
        handle_refusal (call, task, io, SD_REFUSED_OTHER, now_ms);
      return;
    case WP_NO_RESOURCES:
      handle_refusal (call, task, io, SD_REFUSED_NO_RESOURCES, now_ms);
      return;
    case WP_STALE_RUN:
      handle_refusal (call, task, io, SD_REFUSED_STALE_RUN, now_ms);
      return;
    case WP_UNHEALTHY:
      handle_refusal (call, task, io, SD_REFUSED_UNHEALTHY, now_ms);
      return;
    case WP_DEADLINE_PASSED:
      handle_refusal (call, task, io, SD_REFUSED_DEADLINE_PASSED, now_ms);
      return;
    case WP_TICKET_INVALID:
      handle_refusal (call, task, io, SD_REFUSED_TICKET_INVALID, now_ms);
      return;
    case WP_WRONG_WORKER:
    case WP_MALFORMED_COMMAND:
      handle_refusal (call, task, io, SD_REFUSED_OTHER, now_ms);
      return;
    case WP_FENCED:
      if (wk_is_superseded (call))
        workers->params.fenced (workers->params.ctx);
      else
        handle_refusal (call, task, io, SD_REFUSED_OTHER, now_ms);
      return;
    }
}

/* Other runs that were on the worker are gone with its process.  */
static void
handle_replaced_worker (struct worker_calls *workers, struct sd_worker *worker)
{
  struct worker_io *io = wk_io (workers, worker);
  int64_t now_ms = clk_monotonic_ms (NULL);

  if (worker->reachability != SD_WORKER_UNREACHABLE)
    wk_out_of_touch (io, now_ms);
  sd_worker_set_reachability (worker, SD_WORKER_UNREACHABLE);
  wk_drop_runs_of_replaced_worker (io, now_ms);
}

static void
on_start_answer (void *ctx, const struct wp_answer *answer)
{
  struct wk_call *call = ctx;
  struct worker_calls *workers = call->workers;
  struct sd_worker *worker;
  struct jb_task *task;
  char name[96];
  int64_t sent_ms = call->sent_ms;
  int64_t now_ms = clk_monotonic_ms (NULL);

  wk_call_answered (call);
  if (!wk_call_is_current (call))
    {
      wk_call_free (call);
      return;
    }
  lb_observe (&workers->link, now_ms - sent_ms, now_ms);
  g_snprintf (name, sizeof name, "foxtailgap_starts_total{result=\"%s\"}",
              wp_result_name (answer->result));
  mt_add (workers->params.metrics, name, 1);
  worker = sd_worker_find (workers->params.sched, call->worker);
  task = wk_task_of_call (call);
  if (answer->result != WP_DONE)
    lg_info (PART, "A start was not answered with success.", "task",
             call->task, "run", lg_number (call->run), "worker", call->worker,
             "result", wp_result_name (answer->result), "deadline_ms",
             lg_number (call->deadline_ms), "clock_age_ms",
             lg_number (call->clock_age_ms), "worker_clock_ms",
             lg_number (answer->worker_clock_ms), NULL);
  if (worker != NULL && worker->driver_data != NULL)
    {
      if (answer->result == WP_NO_ANSWER)
        wk_call_unanswered (worker->driver_data, call);
      wk_clock_answered (worker->driver_data, call, answer, now_ms);
    }
  if (task != NULL && worker != NULL)
    {
      handle_start_answer (call, task, worker, answer);
      if (answer->result == WP_WRONG_WORKER)
        handle_replaced_worker (workers, worker);
      if (wk_call_is_current (call))
        workers->params.changed (workers->params.ctx);
    }
  if (call->sent_ms == sent_ms)
    wk_call_free (call); /* else the call has been sent again */
  /* Renewals that are due are left to the next pass: looking through all
     workers after each of some hundred answers a second costs too much.  */
  wk_send_queued_starts (workers);
}

static void
send_start (struct wk_call *call, struct jb_task *task,
            struct sd_worker *worker)
{
  struct worker_calls *workers = call->workers;
  struct worker_io *io = wk_io (workers, worker);
  int64_t now_ms = clk_monotonic_ms (NULL);
  int64_t left_ms = MIN (call->first_sent_ms + WK_START_EXPIRY_MS - now_ms,
                         wk_lease_allowance_ms (workers, now_ms));
  struct wp_target target = wk_target (worker);
  const struct jb_task *checkpoint_task
      = task->step->spec->gang ? task->step->tasks : task;
  struct wp_start start = {
    .task = call->task,
    .run = call->run,
    .job_text = task->job->spec->text,
    .deadline_ms = MAX (wc_deadline_ms (&io->clock, now_ms + left_ms), 0),
    .term = io->term,
    .checkpoint = checkpoint_task->checkpoint,
    .ticket = sd_task_ticket (workers->params.sched, task),
  };

  call->term = io->term;
  call->deadline_ms = start.deadline_ms;
  call->clock_age_ms = now_ms - io->clock.read_ms;
  call->worker_clock_ms = io->clock.clock_ms;
  call->sent_ms = MAX (now_ms, call->sent_ms + 1);
  call->tries++;
  lb_take (&workers->link, call->bytes, now_ms);
  wk_call_opened (call);
  wk_call_extends_lease (io, call, (uint32_t)MAX (left_ms, 0), true);
  workers->params.port.start (workers->params.port.ctx, &target, &start,
                              START_TIMEOUT_MS, on_start_answer, call);
}

/* --- The queue --- */

void
wk_drop_unsent_run (struct worker_calls *workers, struct jb_task *task)
{
  lg_info (PART, "A run is stopped before its start is sent.", "job",
           task->job->id, "step", lg_number (task->step->index), "index",
           lg_number (task->index), "run", lg_number (task->run), "worker",
           task->worker, NULL);
  mt_add (workers->params.metrics, "foxtailgap_unsent_runs_total", 1);
  sd_task_lost (workers->params.sched, task, clk_monotonic_ms (NULL));
  workers->params.changed (workers->params.ctx);
}

static void
drop_unsent_start (struct wk_call *call, struct jb_task *task)
{
  struct worker_calls *workers = call->workers;

  wk_call_free (call);
  wk_drop_unsent_run (workers, task);
}

/* WHY: for the log.  */
static void
refuse_unsent_start (struct wk_call *call, struct jb_task *task,
                     enum sd_refusal reason, const char *why)
{
  struct worker_calls *workers = call->workers;

  lg_info (PART, "A start is not sent.", "task", call->task, "run",
           lg_number (call->run), "worker", call->worker, "why", why, NULL);
  wk_call_free (call);
  sd_task_refused (workers->params.sched, task, reason,
                   clk_monotonic_ms (NULL));
  workers->params.changed (workers->params.ctx);
}

/* An idle worker is not polled, so that its clock may have been read long ago.
   The other starts need not wait.  */
static void
await_clock (struct wk_call *call, struct worker_io *io, int64_t now_ms)
{
  g_queue_push_tail (&io->starts_awaiting_clock, call);
  io->workers->starts_awaiting_clock++;
  mt_add (io->workers->params.metrics, "foxtailgap_clock_waits_total", 1);
  wk_poll_at_once (io, now_ms);
}

static void
send_queued_start (struct wk_call *call)
{
  struct worker_calls *workers = call->workers;
  struct sd_worker *worker
      = sd_worker_find (workers->params.sched, call->worker);
  struct jb_task *task = wk_task_of_call (call);
  int64_t now_ms = clk_monotonic_ms (NULL);

  if (task == NULL || worker == NULL)
    {
      wk_call_free (call); /* the run has been given up meanwhile */
      return;
    }
  if (task->state != JB_TASK_PLACED)
    {
      drop_unsent_start (call, task);
      return;
    }
  if (wk_io (workers, worker)->lease_recorded)
    {
      refuse_unsent_start (call, task, SD_REFUSED_OTHER,
                           "it would extend a recorded lease");
      return;
    }
  if (worker->closed)
    {
      mt_add (workers->params.metrics, "foxtailgap_closed_starts_total", 1);
      refuse_unsent_start (call, task, SD_REFUSED_OTHER,
                           "the worker's data centre is closed for new work");
      return;
    }
  if (worker->reachability == SD_WORKER_UNSEEN)
    {
      refuse_unsent_start (call, task, SD_REFUSED_OTHER,
                           "the worker has restarted and was not polled yet");
      return;
    }
  if (worker->reachability == SD_WORKER_UNREACHABLE)
    {
      refuse_unsent_start (call, task, SD_REFUSED_OTHER,
                           "the worker is out of touch");
      return;
    }
  if (!sd_start_is_safe (workers->params.sched, task, now_ms))
    {
      refuse_unsent_start (
          call, task, SD_REFUSED_NO_RESOURCES,
          "the worker's capacity has changed or is not known");
      return;
    }
  if (!wc_is_recent (&wk_io (workers, worker)->clock, now_ms))
    {
      await_clock (call, wk_io (workers, worker), now_ms);
      return;
    }
  task->start_unsent = false;
  call->worker_started_ms = worker->process_started_ms;
  call->first_sent_ms = now_ms;
  call->sent_ms = now_ms;
  send_start (call, task, worker);
}

static GQueue *
count_in_queue (struct worker_calls *workers, const struct wk_call *call)
{
  if (call->urgent)
    workers->urgent_bytes += call->bytes;
  else
    workers->less_urgent_bytes += call->bytes;
  return call->urgent ? &workers->urgent_starts : &workers->starts;
}

static void
queue_start (struct worker_calls *workers, struct wk_call *call,
             const struct jb_task *task)
{
  call->urgent = task->job->priority == 0;
  call->bytes
      = (uint32_t)strlen (task->job->spec->text) + WK_CALL_OVERHEAD_BYTES;
  g_queue_push_tail (count_in_queue (workers, call), call);
}

/* The start of a worker whose clock could not be read.  */
static void
end_unsent_start (struct wk_call *call)
{
  struct jb_task *task = wk_task_of_call (call);

  if (task == NULL)
    wk_call_free (call); /* the run has been given up meanwhile */
  else if (task->state != JB_TASK_PLACED)
    drop_unsent_start (call, task);
  else
    refuse_unsent_start (call, task, SD_REFUSED_OTHER,
                         "the worker's clock is not known");
}

void
wk_poll_ended (struct worker_io *io, int64_t now_ms)
{
  struct worker_calls *workers = io->workers;
  bool is_known = wc_is_recent (&io->clock, now_ms);
  struct wk_call *call;

  /* Last first, since each goes to the head of the queue.  */
  while ((call = g_queue_pop_tail (&io->starts_awaiting_clock)) != NULL)
    {
      workers->starts_awaiting_clock--;
      if (is_known)
        g_queue_push_head (count_in_queue (workers, call), call);
      else
        end_unsent_start (call);
    }
}

static struct wk_call *
take_urgent_start (struct worker_calls *workers)
{
  struct wk_call *call = g_queue_pop_head (&workers->urgent_starts);

  workers->urgent_bytes -= call->bytes;
  return call;
}

static struct wk_call *
take_less_urgent_start (struct worker_calls *workers)
{
  struct wk_call *call = g_queue_pop_head (&workers->starts);

  workers->less_urgent_bytes -= call->bytes;
  return call;
}

int64_t
wk_backlog_ms (const struct worker_calls *workers, bool urgent_only)
{
  int64_t bytes
      = workers->urgent_bytes + (urgent_only ? 0 : workers->less_urgent_bytes);

  return workers->link.bytes_per_s == 0
             ? 0
             : bytes * 1000 / workers->link.bytes_per_s;
}

struct wk_link_state
wk_link_state (struct worker_calls *workers)
{
  lb_has_room (&workers->link, clk_monotonic_ms (NULL)); /* fills it */
  return (struct wk_link_state){ .bytes_per_s = workers->link.bytes_per_s,
                                 .level_bytes = workers->link.level_bytes };
}

void
wk_send_queued_starts (struct worker_calls *workers)
{
  while (workers->term != 0 && may_start (workers, clk_monotonic_ms (NULL)))
    {
      int64_t now_ms = clk_monotonic_ms (NULL);

      if (!lb_has_room (&workers->link, now_ms))
        return;
      if (!g_queue_is_empty (&workers->urgent_starts)
          && cw_has_room (workers->window, CW_URGENT, now_ms))
        send_queued_start (take_urgent_start (workers));
      else if (!g_queue_is_empty (&workers->starts)
               && cw_has_room (workers->window, CW_BULK, now_ms))
        send_queued_start (take_less_urgent_start (workers));
      else
        return;
    }
}

static bool
queue_has_start (GQueue *queue, const char *name, uint32_t run)
{
  const GList *link;

  for (link = queue->head; link != NULL; link = link->next)
    {
      const struct wk_call *call = link->data;

      if (call->run == run && strcmp (call->task, name) == 0)
        return true;
    }
  return false;
}

const char *
wk_why_unsent (struct worker_calls *workers, const struct jb_task *task)
{
  struct sd_worker *worker
      = sd_worker_find (workers->params.sched, task->worker);
  char *name = jb_task_name (task);
  int64_t now_ms = clk_monotonic_ms (NULL);
  bool urgent = queue_has_start (&workers->urgent_starts, name, task->run);
  const char *why;

  if (worker != NULL && worker->driver_data != NULL
      && queue_has_start (
          &((struct worker_io *)worker->driver_data)->starts_awaiting_clock,
          name, task->run))
    why = "its worker's clock";
  else if (!urgent && !queue_has_start (&workers->starts, name, task->run))
    why = "nothing, for it is not queued";
  else if (!knows_closed (workers))
    why = "a reading of the operator's topic";
  else if (!may_start (workers, now_ms))
    why = "a proof that the term holds";
  else if (!lb_has_room (&workers->link, now_ms))
    why = "the host's link";
  else if (!cw_has_room (workers->window, urgent ? CW_URGENT : CW_BULK,
                         now_ms))
    why = "the window of calls";
  else
    why = "other starts";
  g_free (name);
  return why;
}

void
wk_drop_queued_starts (struct worker_calls *workers)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, workers->ios);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_queue_clear_full (&((struct worker_io *)value)->starts_awaiting_clock,
                        (GDestroyNotify)wk_call_free);
  workers->starts_awaiting_clock = 0;
  g_queue_clear_full (&workers->urgent_starts, (GDestroyNotify)wk_call_free);
  g_queue_clear_full (&workers->starts, (GDestroyNotify)wk_call_free);
  workers->urgent_bytes = 0;
  workers->less_urgent_bytes = 0;
}

uint32_t
wk_window (const struct worker_calls *workers)
{
  return cw_size (workers->window);
}

uint32_t
wk_waiting_starts (const struct worker_calls *workers)
{
  return workers->urgent_starts.length + workers->starts.length
         + workers->starts_awaiting_clock;
}

void
wk_start (struct worker_calls *workers, struct jb_task *task)
{
  struct sd_worker *worker
      = sd_worker_find (workers->params.sched, task->worker);
  char *name = jb_task_name (task);

  if (workers->term != 0 && worker != NULL)
    {
      queue_start (workers, wk_call_create (workers, worker, name, task->run),
                   task);
      wk_send_queued_starts (workers);
    }
  g_free (name);
}
