/* Commands to workers: stop and pace.  Starts are in worker_starts.c.  */

#include "common/clock.h"
#include "common/logging.h"
#include "workers_private.h"

static const char PART[] = "workers";

enum
{
  STOP_TIMEOUT_MS = 600,
  STOP_RETRY_MS = 400,  /* twice the time that a stop may take */
  PACE_TIMEOUT_MS = 300 /* as long as until the command is sent again */
};

/* --- Stop --- */

static void
on_stop_answer (void *ctx, const struct wp_answer *answer)
{
  struct wk_call *call = ctx;
  struct worker_calls *workers = call->workers;
  struct sd_worker *worker;
  struct jb_task *task;

  wk_call_answered (call);
  if (!wk_call_is_current (call))
    goto done;
  worker = sd_worker_find (workers->params.sched, call->worker);
  if (worker != NULL && worker->driver_data != NULL)
    wk_clock_answered (worker->driver_data, call, answer,
                       clk_monotonic_ms (NULL));
  if (answer->result == WP_FENCED && wk_is_superseded (call))
    {
      workers->params.fenced (workers->params.ctx);
      goto done;
    }
  task = wk_task_of_call (call);
  /* The run is ending there, or can not start there any more.  */
  if (answer->result == WP_DONE && task != NULL)
    task->poll_conclusive_from_ms
        = MIN (task->poll_conclusive_from_ms, clk_monotonic_ms (NULL));
  if (task != NULL && worker != NULL && worker->driver_data != NULL
      && (task->state == JB_TASK_STOPPING || !task->confirmed))
    {
      ((struct worker_io *)worker->driver_data)->poll_at_once = true;
      workers->params.changed (workers->params.ctx);
    }

done:
  wk_call_free (call);
}

void
wk_stop_run (struct worker_calls *workers, struct sd_worker *worker,
             const char *task, uint32_t run)
{
  struct wp_target target = wk_target (worker);
  struct wp_stop stop
      = { .task = task, .run = run, .term = wk_io (workers, worker)->term };
  struct wk_call *call;

  if (workers->term == 0 || target.address == NULL
      || !wk_may_command (workers))
    return;
  call = wk_call_create (workers, worker, task, run);
  wk_call_opened (call);
  workers->params.port.stop (workers->params.port.ctx, &target, &stop,
                             STOP_TIMEOUT_MS, on_stop_answer, call);
  mt_add (workers->params.metrics, "foxtailgap_stops_total", 1);
}

void
wk_stop (struct worker_calls *workers, struct jb_task *task)
{
  struct sd_worker *worker
      = sd_worker_find (workers->params.sched, task->worker);
  char *name = jb_task_name (task);

  if (wk_may_command (workers))
    task->stop_sent_ms = clk_monotonic_ms (NULL);
  if (worker != NULL)
    wk_stop_run (workers, worker, name, task->run);
  g_free (name);
}

bool
wk_stop_is_due (const struct jb_task *task, int64_t now_ms)
{
  return now_ms - task->stop_sent_ms > STOP_RETRY_MS;
}

void
wk_prevent_start (struct worker_calls *workers, struct jb_task *task,
                  int64_t now_ms)
{
  if (wk_stop_is_due (task, now_ms))
    wk_stop (workers, task);
}

/* --- Pace --- */

static void
on_pace_answer (void *ctx, const struct wp_answer *answer)
{
  struct wk_call *call = ctx;
  struct worker_calls *workers = call->workers;
  struct jb_task *task;

  if (!wk_call_is_current (call))
    goto done;
  if (answer->result == WP_FENCED && wk_is_superseded (call))
    {
      workers->params.fenced (workers->params.ctx);
      goto done;
    }
  task = wk_task_of_call (call);
  if (answer->result == WP_DONE && task != NULL)
    sd_task_paced (task, call->percent);
  if (answer->result != WP_DONE)
    lg_info (PART, "A pace command failed.", "task", call->task, "worker",
             call->worker, "result", wp_result_name (answer->result), NULL);

done:
  wk_call_free (call);
}

static void
send_pace (struct worker_calls *workers, const struct sd_worker *worker,
           const struct sd_pace_command *order)
{
  const struct jb_task *task = order->task;
  struct wp_target target = wk_target (worker);
  char *name = jb_task_name (task);
  struct wk_call *call = wk_call_create (workers, worker, name, task->run);
  struct wp_pace pace = { .task = name,
                          .run = task->run,
                          .percent = order->percent,
                          .term = call->term };

  call->percent = order->percent;
  workers->params.port.pace (workers->params.port.ctx, &target, &pace,
                             PACE_TIMEOUT_MS, on_pace_answer, call);
  lg_info (PART, "A task that fills is paced.", "task", name, "worker",
           worker->report.id, "percent", lg_number (order->percent), NULL);
  mt_add (workers->params.metrics, "foxtailgap_pace_orders_total", 1);
  g_free (name);
}

void
wk_update_pace (struct worker_calls *workers, struct sd_worker *worker)
{
  GArray *orders = g_array_new (FALSE, FALSE, sizeof (struct sd_pace_command));
  guint i;

  sd_pace_worker (worker, clk_monotonic_ms (NULL), orders);
  for (i = 0; i < orders->len; i++)
    send_pace (workers, worker,
               &g_array_index (orders, struct sd_pace_command, i));
  g_array_free (orders, TRUE);
}
