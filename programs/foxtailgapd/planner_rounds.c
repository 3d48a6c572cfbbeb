/* Planning rounds: lets the placement core decide and carries out its
   commands.  */

#include "common/logging.h"
#include "planner.h"

enum
{
  MS_PER_S = 1000
};

void
planner_schedule_round (struct planner_task *task)
{
  if (task->place == NULL || ev_is_active (&task->round_timer))
    return;
  ev_timer_set (&task->round_timer, (double)PLANNER_ROUND_DELAY_MS / MS_PER_S,
                0.0);
  ev_timer_start (task->daemon->loop, &task->round_timer);
}

static void
start_job (struct planner_task *task, const struct place_command *command)
{
  struct planner_job *entry = g_hash_table_lookup (task->jobs, command->job);

  if (entry == NULL || planner_find_gang (task, command->job) != NULL)
    {
      lg_error (
          PLANNER_PART,
          "A placed job cannot start: it is unknown or still has a gang.",
          "job", command->job, NULL);
      return;
    }
  planner_gang_begin (task, entry, command->assignments,
                      command->assignment_count);
}

static void
send_gang_event (struct planner_task *task,
                 const struct place_command *command,
                 enum gang_event_kind kind)
{
  struct planner_gang *pg = planner_find_gang (task, command->job);

  if (pg == NULL)
    {
      if (command->kind == PLACE_GIVE_UP)
        planner_refuse (task, command->job, command->reason);
      return;
    }
  planner_gang_handle_event (
      pg, &(struct gang_event){
              .kind = kind,
              .now_ms = planner_now_ms (),
              .grace_ms = command->grace_ms,
              .reason = command->reason == NULL ? "" : command->reason });
}

static void
log_guarantee (struct planner_task *task, const struct place_command *command)
{
  bool unmet = command->kind == PLACE_GUARANTEE_UNMET;
  char name[PLACE_TEXT_SIZE_BYTES];

  g_snprintf (name, sizeof name, "foxtailgap_guarantee_unmet{team=\"%s\"}",
              command->team);
  mt_set (task->daemon->metrics, name, unmet);
  if (unmet)
    lg_warning (PLANNER_PART, "A guarantee cannot be met now.", "team",
                command->team, "reason", command->reason, NULL);
  else
    lg_info (PLANNER_PART, "A guarantee can be met again.", "team",
             command->team, NULL);
}

static void
execute_command (struct planner_task *task,
                 const struct place_command *command)
{
  switch (command->kind)
    {
    case PLACE_START:
      start_job (task, command);
      break;
    case PLACE_EVICT:
      lg_info (PLANNER_PART, "A job is evicted.", "job", command->job, "for",
               command->for_job == NULL ? "" : command->for_job, NULL);
      mt_add (task->daemon->metrics, "foxtailgap_evictions_total", 1);
      send_gang_event (task, command, GANG_EV_EVICT);
      break;
    case PLACE_REFUSE:
      planner_refuse (task, command->job, command->reason);
      break;
    case PLACE_GIVE_UP:
      send_gang_event (task, command, GANG_EV_GIVE_UP);
      break;
    case PLACE_QUARANTINE:
      lg_warning (PLANNER_PART, "A worker is quarantined.", "worker",
                  command->worker, "reason", command->reason, NULL);
      mt_add (task->daemon->metrics, "foxtailgap_quarantines_total", 1);
      break;
    case PLACE_LIFT_QUARANTINE:
      lg_info (PLANNER_PART, "A worker is used again.", "worker",
               command->worker, NULL);
      break;
    case PLACE_GUARANTEE_UNMET:
    case PLACE_GUARANTEE_MET:
      log_guarantee (task, command);
      break;
    }
}

static void
show_stats (struct planner_task *task, int64_t started_ms)
{
  struct mt_registry *metrics = task->daemon->metrics;
  struct place_stats stats;

  place_stats (task->place, &stats);
  mt_set (metrics, "foxtailgap_jobs_queued", stats.queued);
  mt_set (metrics, "foxtailgap_jobs_holding_workers", stats.running);
  mt_set (metrics, "foxtailgap_accelerators", stats.accelerators);
  mt_set (metrics, "foxtailgap_accelerators_free", stats.accelerators_free);
  mt_observe (metrics, "foxtailgap_planning_round_ms",
              (uint32_t)(planner_now_ms () - started_ms));
}

/* The commands are valid until the next call of the placement core.  So while
   they are carried out, in_round keeps gangs that end from being reported to
   the core.  */
void
planner_run_round (struct planner_task *task)
{
  int64_t started_ms = planner_now_ms ();
  const struct place_command *commands;
  int count;
  int i;

  if (task->place == NULL || !task->log_up)
    return;
  count = place_decide (task->place, &commands);
  if (count < 0)
    {
      lg_error (PLANNER_PART, "A planning round failed.", "error",
                place_strerror (count), NULL);
      return;
    }
  task->in_round = true;
  for (i = 0; i < count && task->place != NULL && planner_may_act (task); i++)
    execute_command (task, &commands[i]);
  task->in_round = false;
  planner_report_ended_gangs (task);
  if (task->place != NULL)
    show_stats (task, started_ms);
}
