/* Decides which workers the placement core may use.  */

#include "common/logging.h"
#include "planner.h"

const struct hl_host *
planner_find_worker (const struct planner_task *task, const char *name)
{
  return g_hash_table_lookup (task->workers, name);
}

static bool
is_usable (const struct planner_task *task, const struct hl_host *host)
{
  return host != NULL && host->kind == HL_WORKER && !host->leaving
         && !g_hash_table_contains (task->unresponsive_until_ms, host->name);
}

static void
add_usable_worker (struct planner_task *task, const struct hl_host *host)
{
  struct place_worker worker = hl_to_place_worker (host);
  int error = place_worker_up (task->place, &worker);

  if (error == PLACE_OK)
    g_hash_table_add (task->usable_workers, g_strdup (host->name));
  else
    lg_warning (PLANNER_PART, "The placement core did not accept a worker.",
                "worker", host->name, "error", place_strerror (error), NULL);
}

/* Removes a worker that has left the host list, is leaving or is
   unresponsive.  */
static gboolean
remove_if_unusable (gpointer name, gpointer value, gpointer ctx)
{
  struct planner_task *task = ctx;

  (void)value;
  if (is_usable (task, planner_find_worker (task, name)))
    return FALSE;
  place_worker_down (task->place, name);
  lg_info (PLANNER_PART, "A worker gets no new work.", "worker", name, NULL);
  return TRUE;
}

static bool
has_same_capacity_and_place (const struct hl_host *a, const struct hl_host *b)
{
  return a->cpus_milli == b->cpus_milli && a->memory_mb == b->memory_mb
         && a->accelerators == b->accelerators
         && g_str_equal (a->rack, b->rack)
         && g_str_equal (a->data_centre, b->data_centre);
}

/* Removes workers whose capacity or place differs from BEFORE from
   usable_workers, so that they are reported to the placement core again.  */
static void
forget_changed_workers (struct planner_task *task,
                        const struct hl_list *before)
{
  const struct hl_host *host;
  size_t i;

  for (i = 0; i < before->host_count; i++)
    {
      if (before->hosts[i].kind != HL_WORKER)
        continue;
      host = planner_find_worker (task, before->hosts[i].name);
      if (host != NULL
          && !has_same_capacity_and_place (host, &before->hosts[i]))
        g_hash_table_remove (task->usable_workers, host->name);
    }
}

void
planner_on_hosts (struct planner_task *task, struct hl_list *hosts)
{
  struct hl_list *before = task->hosts;
  size_t i;

  if (before != NULL && before->version == hosts->version)
    {
      hl_unref (hosts);
      return;
    }
  g_hash_table_remove_all (task->workers);
  task->hosts = hosts;
  for (i = 0; i < hosts->host_count; i++)
    if (hosts->hosts[i].kind == HL_WORKER)
      g_hash_table_insert (task->workers, hosts->hosts[i].name,
                           &hosts->hosts[i]);
  if (before != NULL)
    forget_changed_workers (task, before);
  hl_unref (before);
  if (task->place != NULL)
    planner_apply_hosts (task);
  else
    planner_start_planning (task);
}

void
planner_apply_hosts (struct planner_task *task)
{
  const struct hl_host *host;
  size_t i;

  g_hash_table_foreach_remove (task->usable_workers, remove_if_unusable, task);
  for (i = 0; i < task->hosts->host_count; i++)
    {
      host = &task->hosts->hosts[i];
      if (is_usable (task, host)
          && !g_hash_table_contains (task->usable_workers, host->name))
        add_usable_worker (task, host);
    }
  planner_schedule_round (task);
}

/* ===== Unresponsive workers =================================== */

/* A task that must stop on the worker keeps its resources until its lease
   lapses.  A new job placed on them would have to wait just as long.  */
void
planner_on_worker_unresponsive (struct planner_task *task, const char *name)
{
  int64_t *until_ms;

  if (task->place == NULL
      || g_hash_table_contains (task->unresponsive_until_ms, name))
    return;
  until_ms = g_new (int64_t, 1);
  *until_ms = planner_now_ms () + task->daemon->settings->lease_ttl_ms;
  g_hash_table_insert (task->unresponsive_until_ms, g_strdup (name), until_ms);
  planner_apply_hosts (task);
}

static gboolean
is_avoidance_over (gpointer name, gpointer until_ms, gpointer now_ms)
{
  (void)name;
  return *(int64_t *)now_ms >= *(int64_t *)until_ms;
}

void
planner_tick_workers (struct planner_task *task, int64_t now_ms)
{
  if (g_hash_table_foreach_remove (task->unresponsive_until_ms,
                                   is_avoidance_over, &now_ms)
      > 0)
    planner_apply_hosts (task);
}
