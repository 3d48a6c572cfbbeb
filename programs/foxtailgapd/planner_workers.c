/* Which workers the placement core may use.  */

#include "common/logging.h"
#include "planner.h"

const struct hl_host *
planner_worker (const struct planner_task *task, const char *name)
{
  return g_hash_table_lookup (task->workers, name);
}

static bool
usable (const struct hl_host *host)
{
  return host != NULL && host->kind == HL_WORKER && !host->leaving;
}

static void
worker_up (struct planner_task *task, const struct hl_host *host)
{
  struct place_worker worker
      = { .name = host->name,
          .rack = host->rack,
          .data_centre = host->data_centre,
          .capacity = { .cpus_milli = host->cpus_milli,
                        .memory_mb = host->memory_mb,
                        .accelerators = host->accelerators } };
  int error = place_worker_up (task->place, &worker);

  if (error == PLACE_OK)
    g_hash_table_add (task->up, g_strdup (host->name));
  else
    lg_warning (PLANNER_PART, "A worker cannot be used.", "worker", host->name,
                "error", place_strerror (error), NULL);
}

/* Workers that left the list or are leaving.  */
static gboolean
worker_down (gpointer name, gpointer value, gpointer ctx)
{
  struct planner_task *task = ctx;

  (void)value;
  if (usable (planner_worker (task, name)))
    return FALSE;
  place_worker_down (task->place, name);
  lg_info (PLANNER_PART, "A worker gets nothing new.", "worker", name, NULL);
  return TRUE;
}

void
planner_on_hosts (struct planner_task *task, struct hl_list *hosts)
{
  size_t i;

  if (task->hosts != NULL && task->hosts->version == hosts->version)
    {
      hl_unref (hosts);
      return;
    }
  g_hash_table_remove_all (task->workers);
  hl_unref (task->hosts);
  task->hosts = hosts;
  for (i = 0; i < hosts->host_count; i++)
    if (hosts->hosts[i].kind == HL_WORKER)
      g_hash_table_insert (task->workers, hosts->hosts[i].name,
                           &hosts->hosts[i]);
  if (task->place != NULL)
    planner_apply_hosts (task);
  else
    planner_build (task);
}

void
planner_apply_hosts (struct planner_task *task)
{
  size_t i;

  g_hash_table_foreach_remove (task->up, worker_down, task);
  for (i = 0; i < task->hosts->host_count; i++)
    if (usable (&task->hosts->hosts[i]))
      worker_up (task, &task->hosts->hosts[i]);
  planner_want_round (task);
}
