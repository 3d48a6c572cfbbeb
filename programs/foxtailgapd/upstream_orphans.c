/* Upstream task: open claims of entry hosts that are gone.  No other host may
   send such a request, and no host will record its outcome.  Once the host has
   been gone for planner_timeout_ms, the outcome is recorded as unknown, so
   that callers need not wait for it.  If the host is alive after all, its own
   record of the outcome replaces this one.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "upstream.h"

static bool
is_member (const struct upstream_task *task, const char *host)
{
  const struct msg_members *members = task->members;
  size_t i;

  for (i = 0; members != NULL && i < members->member_count; i++)
    if (strcmp (members->members[i].host, host) == 0)
      return true;
  return false;
}

/* Whether this process, not an earlier one of this host, has the request.  */
static bool
is_request_of_this_process (const struct upstream_task *task, const char *id)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, task->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((struct up_request *)value)->message->id, id) == 0)
      return true;
  return false;
}

static bool
is_orphan (const struct upstream_task *task, const struct st_claim *claim)
{
  if (claim->state != ST_CLAIM_OPEN)
    return false;
  /* An earlier process of this host may have made the claim.  */
  if (strcmp (claim->host, task->daemon->settings->host) == 0)
    return !is_request_of_this_process (task, claim->request);
  return !is_member (task, claim->host);
}

static double
orphan_end_delay_s (const struct upstream_task *task)
{
  return task->daemon->settings->planner_timeout_ms / 1000.0;
}

/* The first member in order of names ends the claims of all hosts; each host
   also ends those of its own earlier processes, which other hosts cannot tell
   from its present ones.  */
static bool
is_ended_by_this_host (const struct upstream_task *task,
                       const struct st_claim *claim)
{
  return (task->members != NULL && task->members->self == 0)
         || strcmp (claim->host, task->daemon->settings->host) == 0;
}

static void
restart_orphan_end_timer (struct upstream_task *task)
{
  ev_timer_stop (task->daemon->loop, &task->orphan_end_timer);
  ev_timer_set (&task->orphan_end_timer, orphan_end_delay_s (task), 0.0);
  ev_timer_start (task->daemon->loop, &task->orphan_end_timer);
}

/* Notes since when the claim has been orphaned, or stops tracking it.  */
static void
track_orphan (struct upstream_task *task, const struct st_claim *claim)
{
  int64_t *since_ms;

  if (!is_orphan (task, claim))
    {
      g_hash_table_remove (task->orphaned_since_ms, claim->request);
      return;
    }
  if (g_hash_table_contains (task->orphaned_since_ms, claim->request))
    return;
  since_ms = g_new (int64_t, 1);
  *since_ms = clk_monotonic_ms (NULL);
  g_hash_table_insert (task->orphaned_since_ms, g_strdup (claim->request),
                       since_ms);
}

static void
end_orphan_if_due (struct upstream_task *task, const struct st_claim *claim)
{
  const int64_t *since_ms
      = g_hash_table_lookup (task->orphaned_since_ms, claim->request);

  if (since_ms == NULL || !is_ended_by_this_host (task, claim)
      || clk_monotonic_ms (NULL) - *since_ms
             < task->daemon->settings->planner_timeout_ms)
    return;
  lg_info (UP_PART,
           "The process that made an open claim is gone; the outcome is "
           "recorded as "
           "unknown.",
           "host", claim->host, "request", claim->request, NULL);
  up_end_claim_as_unknown (task, claim);
  g_hash_table_remove (task->orphaned_since_ms, claim->request);
}

static void
each_claim (struct upstream_task *task,
            void (*visit) (struct upstream_task *, const struct st_claim *))
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, task->claims);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (task, value);
}

static void
on_orphan_end_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct upstream_task *task = watcher->data;

  (void)loop;
  (void)events;
  each_claim (task, track_orphan);
  each_claim (task, end_orphan_if_due);
  if (g_hash_table_size (task->orphaned_since_ms) > 0)
    restart_orphan_end_timer (task);
}

void
up_orphans_init (struct upstream_task *task)
{
  ev_init (&task->orphan_end_timer, on_orphan_end_timeout);
  task->orphan_end_timer.data = task;
  task->orphaned_since_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
up_orphans_free (struct upstream_task *task)
{
  ev_timer_stop (task->daemon->loop, &task->orphan_end_timer);
  g_hash_table_destroy (task->orphaned_since_ms);
}

void
up_orphans_recheck (struct upstream_task *task)
{
  each_claim (task, track_orphan);
  restart_orphan_end_timer (task);
}

void
up_orphans_on_claim (struct upstream_task *task, const struct st_claim *claim)
{
  track_orphan (task, claim);
  if (g_hash_table_size (task->orphaned_since_ms) > 0
      && !ev_is_active (&task->orphan_end_timer))
    restart_orphan_end_timer (task);
}

void
up_orphans_on_claim_dropped (struct upstream_task *task, const char *key)
{
  const struct st_claim *claim = g_hash_table_lookup (task->claims, key);

  if (claim != NULL)
    g_hash_table_remove (task->orphaned_since_ms, claim->request);
}
