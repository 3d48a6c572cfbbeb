/* The renewal task: renews the leases of this host's share of the workers and
   records which tasks have ended there.  Keeps renewing while the log is
   unreachable.  */

#include "common/logging.h"
#include "renewal.h"

enum
{
  MS_PER_S = 1000
};

/* ===== Messages =============================================== */

static void
on_hosts (struct renewal_task *task, struct hl_list *hosts)
{
  size_t i;

  g_hash_table_remove_all (task->addresses);
  hl_unref (task->hosts);
  task->hosts = hosts;
  for (i = 0; i < hosts->host_count; i++)
    if (hosts->hosts[i].kind == HL_WORKER)
      g_hash_table_insert (task->addresses, hosts->hosts[i].name,
                           &hosts->hosts[i]);
}

static void
on_message (void *ctx, int kind, void *body)
{
  struct renewal_task *task = ctx;
  const struct msg_term *term;

  switch (kind)
    {
    case MSG_HOSTS:
      on_hosts (task, body);
      return;
    case MSG_MEMBERS:
      msg_free (MSG_MEMBERS, task->members);
      task->members = body;
      return;
    case MSG_TERM:
      term = body;
      task->term = term->term;
      task->holds_planner_term = term->held_here;
      break;
    case MSG_JOB:
      renewal_on_job (task, body);
      break;
    case MSG_JOB_DROPPED:
      renewal_on_job_dropped (task, body);
      break;
    case MSG_APPENDED:
      renewal_on_appended (task, body);
      break;
    default:
      break;
    }
  msg_free (kind, body);
}

/* ===== Timer ================================================== */

static void
subscribe (struct renewal_task *task)
{
  struct msg_subscribe *message = g_new0 (struct msg_subscribe, 1);

  *message = (struct msg_subscribe){ .box = task->box,
                                     .terms = true,
                                     .jobs = true };
  mb_post (task->daemon->state, MSG_SUBSCRIBE, message);
  task->subscribed = true;
}

/* After a pause this host may have missed that an attempt must stop, and other
   hosts renew its share.  So it sends no renewals for one period, in which it
   reads the log.  */
static void
check_pause (struct renewal_task *task, int64_t now_ms)
{
  const struct settings *settings = task->daemon->settings;
  GHashTableIter iter;
  gpointer worker;

  if (task->last_tick_ms == 0
      || now_ms - task->last_tick_ms <= settings->lease_ttl_ms / 2)
    return;
  lg_warning (RENEWAL_PART, "The process was paused.", NULL);
  task->resume_ms = now_ms + settings->lease_renew_ms;
  g_hash_table_iter_init (&iter, task->workers);
  while (g_hash_table_iter_next (&iter, NULL, &worker))
    ((struct renewal_worker *)worker)->failures = 0;
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct renewal_task *task = watcher->data;
  int64_t now_ms = renewal_now_ms ();

  (void)loop;
  (void)events;
  if (!task->subscribed)
    subscribe (task);
  check_pause (task, now_ms);
  task->last_tick_ms = now_ms;
  if (task->hosts != NULL && now_ms >= task->resume_ms)
    renewal_send_due (task, now_ms);
}

/* ===== Create and free ======================================== */

static void
job_unref (gpointer job)
{
  st_job_unref (job);
}

static void
create_tables (struct renewal_task *task)
{
  task->addresses = g_hash_table_new (g_str_hash, g_str_equal);
  task->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, job_unref);
  task->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         renewal_worker_free);
  task->appends = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         renewal_append_free);
}

struct renewal_task *
renewal_create (struct daemon *daemon)
{
  struct hc_params http
      = { .loop = daemon->loop,
          .host_connection_limit = 1,
          .idle_connection_limit = RENEWAL_IDLE_CONNECTIONS };
  struct renewal_task *task = g_new0 (struct renewal_task, 1);

  task->daemon = daemon;
  create_tables (task);
  ev_timer_init (&task->tick_timer, on_tick, 0.0,
                 (double)RENEWAL_TICK_MS / MS_PER_S);
  task->tick_timer.data = task;
  ev_timer_start (daemon->loop, &task->tick_timer);
  task->box = mb_create (daemon->loop, on_message, msg_free, task);
  daemon->renewal = task->box;
  if (task->box == NULL || hc_create (&task->http, &http) != HC_OK)
    {
      lg_error (RENEWAL_PART, "The renewal task cannot be created.", NULL);
      renewal_free (task);
      return NULL;
    }
  return task;
}

void
renewal_free (struct renewal_task *task)
{
  if (task == NULL)
    return;
  ev_timer_stop (task->daemon->loop, &task->tick_timer);
  g_hash_table_destroy (task->workers);
  if (task->probe != NULL)
    ls_cancel (task->probe);
  if (task->http != NULL)
    hc_free (task->http);
  mb_free (task->box);
  task->daemon->renewal = NULL;
  g_hash_table_destroy (task->appends);
  g_hash_table_destroy (task->jobs);
  g_hash_table_destroy (task->addresses);
  msg_free (MSG_MEMBERS, task->members);
  hl_unref (task->hosts);
  g_free (task);
}
