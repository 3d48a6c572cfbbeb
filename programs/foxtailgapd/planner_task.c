/* The planner task: decides placements while this host holds the planner term.
   Owns the placement core and the gangs.  */

#include "common/logging.h"
#include "planner.h"

enum
{
  MS_PER_S = 1000
};

/* ===== Messages =============================================== */

static void
on_appended (struct planner_task *task, const struct msg_appended *answer)
{
  gpointer key;
  gpointer value;
  struct planner_append *append;

  if (!g_hash_table_steal_extended (task->appends, &answer->token, &key,
                                    &value))
    return;
  append = value;
  switch (append->kind)
    {
    case PLANNER_APPEND_TERM:
      planner_on_term_appended (task, answer);
      break;
    case PLANNER_APPEND_GANG:
      planner_gang_on_appended (task, append, answer);
      break;
    case PLANNER_APPEND_REFUSAL:
      planner_on_refusal_appended (task, append->job, answer);
      break;
    }
  planner_append_free (append);
  g_free (key);
}

static void
on_log (struct planner_task *task, const struct msg_log_status *status)
{
  bool was_up = task->log_up;

  task->log_up = status->up;
  task->caught_up = status->caught_up;
  if (!was_up && task->log_up)
    planner_schedule_round (task);
}

static void
on_config (struct planner_task *task, struct msg_config *config)
{
  if (task->config != NULL && config->revision <= task->config->revision)
    {
      msg_free (MSG_CONFIG, config);
      return;
    }
  msg_free (MSG_CONFIG, task->config);
  task->config = config;
  planner_on_config (task);
}

static void
on_usage (struct planner_task *task, const struct msg_task_progress *usage)
{
  struct planner_gang *pg = planner_find_gang (task, usage->job);

  if (pg == NULL || task->place == NULL || pg->attempt != usage->attempt)
    return;
  place_usage (task->place, usage->job,
               (uint64_t)(planner_now_ms () - pg->begin_ms),
               usage->progress_ms);
}

/* Handles the messages whose body must not be freed.  Returns whether KIND is
   one of them.  */
static bool
keep_message (struct planner_task *task, int kind, void *body)
{
  switch (kind)
    {
    case MSG_CONFIG:
      on_config (task, body);
      return true;
    case MSG_HOSTS:
      planner_on_hosts (task, body);
      return true;
    case MSG_PLANNER_QUERY:
      planner_on_query (task, body);
      return true;
    case MSG_MEMBERS:
      msg_free (MSG_MEMBERS, task->members);
      task->members = body;
      return true;
    default:
      return false;
    }
}

static void
on_message (void *ctx, int kind, void *body)
{
  struct planner_task *task = ctx;

  planner_check_pause (task);
  if (keep_message (task, kind, body))
    return;
  switch (kind)
    {
    case MSG_TERM:
      planner_on_term (task, body);
      break;
    case MSG_JOB:
      planner_on_job (task, body);
      break;
    case MSG_JOB_DROPPED:
      planner_on_job_dropped (task, body);
      break;
    case MSG_LOG_STATUS:
      on_log (task, body);
      break;
    case MSG_APPENDED:
      on_appended (task, body);
      break;
    case MSG_TASK_PROGRESS:
      on_usage (task, body);
      break;
    case MSG_SHUTDOWN:
      planner_resign (task);
      break;
    default:
      break;
    }
  msg_free (kind, body);
}

/* ===== Timers ================================================= */

static void
subscribe (struct planner_task *task)
{
  struct msg_subscribe *message = g_new0 (struct msg_subscribe, 1);

  *message = (struct msg_subscribe){
    .box = task->box, .terms = true, .configs = true, .jobs = true, .log = true
  };
  mb_post (task->daemon->state, MSG_SUBSCRIBE, message);
  task->subscribed = true;
}

static void
on_round (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct planner_task *task = watcher->data;

  (void)loop;
  (void)events;
  if (planner_check_pause (task))
    planner_run_round (task);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct planner_task *task = watcher->data;
  int64_t now_ms = planner_now_ms ();

  (void)loop;
  (void)events;
  if (!task->subscribed)
    subscribe (task);
  planner_check_pause (task);
  planner_tick_term (task, now_ms);
  if (task->place == NULL)
    return;
  planner_tick_gangs (task, now_ms);
  planner_tick_workers (task, now_ms);
  planner_tick_refusals (task, now_ms);
  if (now_ms >= place_next_ms (task->place))
    planner_schedule_round (task);
}

/* ===== Create and free ======================================== */

static void
create_tables (struct planner_task *task)
{
  task->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      planner_job_free);
  task->gangs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       planner_gang_free);
  task->usable_workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  task->unresponsive_until_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  task->appends = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         planner_append_free);
  task->workers = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&task->unsent_requests);
  g_queue_init (&task->ended_gangs);
}

static void
create_timers (struct planner_task *task)
{
  double tick_s = (double)PLANNER_TICK_MS / MS_PER_S;

  ev_timer_init (&task->tick_timer, on_tick, 0.0, tick_s);
  task->tick_timer.data = task;
  ev_timer_start (task->daemon->loop, &task->tick_timer);
  ev_timer_init (&task->round_timer, on_round, 0.0, 0.0);
  task->round_timer.data = task;
}

struct planner_task *
planner_create (struct daemon *daemon)
{
  struct hc_params http
      = { .loop = daemon->loop,
          .host_connection_limit = PLANNER_WORKER_CONNECTIONS,
          .idle_connection_limit = PLANNER_IDLE_CONNECTIONS };
  struct planner_task *task = g_new0 (struct planner_task, 1);

  task->daemon = daemon;
  task->holder = g_strdup ("");
  create_tables (task);
  create_timers (task);
  task->box = mb_create (daemon->loop, on_message, msg_free, task);
  daemon->planner = task->box;
  if (task->box == NULL || hc_create (&task->http, &http) != HC_OK)
    {
      lg_error (PLANNER_PART, "The planner task cannot be created.", NULL);
      planner_free (task);
      return NULL;
    }
  return task;
}

void
planner_free (struct planner_task *task)
{
  if (task == NULL)
    return;
  planner_stop_planning (task);
  ev_timer_stop (task->daemon->loop, &task->tick_timer);
  mb_free (task->box);
  task->daemon->planner = NULL;
  if (task->http != NULL)
    hc_free (task->http);
  g_hash_table_destroy (task->appends);
  g_hash_table_destroy (task->usable_workers);
  g_hash_table_destroy (task->unresponsive_until_ms);
  g_hash_table_destroy (task->gangs);
  g_hash_table_destroy (task->jobs);
  g_hash_table_destroy (task->workers);
  msg_free (MSG_MEMBERS, task->members);
  msg_free (MSG_CONFIG, task->config);
  hl_unref (task->hosts);
  g_free (task->holder);
  g_free (task);
}
