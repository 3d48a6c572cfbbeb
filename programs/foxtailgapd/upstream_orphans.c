/* Upstream task: open claims of hosts that are gone.  Nobody else may send
   such a request, and nobody will tell its outcome any more: it is recorded
   as unknown, so that callers need not wait for it.  Should the host be alive
   after all, its own record of the outcome replaces this one.  */

#include <string.h>

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

/* Whether this very process has the request.  */
static bool
is_held_here (const struct upstream_task *task, const char *id)
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
    return !is_held_here (task, claim->request);
  return !is_member (task, claim->host);
}

static bool
is_settled (const struct upstream_task *task)
{
  return task->members != NULL && !ev_is_active (&task->settle);
}

static bool
is_first_member (const struct upstream_task *task)
{
  return task->members != NULL && task->members->self == 0;
}

static void
on_settled (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct upstream_task *task = watcher->data;
  GHashTableIter iter;
  gpointer value;
  struct st_claim *claim;

  (void)loop;
  (void)events;
  g_hash_table_iter_init (&iter, task->claims);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      claim = value;
      /* One host is enough, but for claims that only this one can judge.  */
      if ((is_first_member (task)
           || strcmp (claim->host, task->daemon->settings->host) == 0)
          && is_orphan (task, claim))
        {
          lg_info (UP_PART, "The host of an open claim is gone.", "host",
                   claim->host, "request", claim->request, NULL);
          up_claim_unknown (task, claim);
        }
    }
}

void
up_orphans_init (struct upstream_task *task)
{
  ev_init (&task->settle, on_settled);
  task->settle.data = task;
}

void
up_orphans_settle (struct upstream_task *task)
{
  double settle_s = task->daemon->settings->planner_timeout_ms / 1000.0;

  ev_timer_stop (task->daemon->loop, &task->settle);
  ev_timer_set (&task->settle, settle_s, 0.0);
  ev_timer_start (task->daemon->loop, &task->settle);
}

void
up_orphans_claimed (struct upstream_task *task, const struct st_claim *claim)
{
  if (claim->state == ST_CLAIM_OPEN && !ev_is_active (&task->settle)
      && !is_member (task, claim->host))
    up_orphans_settle (task);
}

void
up_orphans_asked (struct upstream_task *task, const struct st_claim *claim)
{
  if (is_settled (task) && is_orphan (task, claim))
    up_claim_unknown (task, claim);
}
