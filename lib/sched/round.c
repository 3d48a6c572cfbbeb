/* One round: all decisions that the present state allows.  */

#include "sched/private.h"

static void
begin_round (struct sd_sched *sched, enum sd_placing placing, int64_t now_ms)
{
  guint i;

  g_array_set_size (sched->unplaceable_units, 0);
  sched->suspects_are_few = sd_health_suspects_are_few (sched, now_ms);
  sd_speed_begin_round (sched, now_ms);
  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      worker->round_free_resources = worker->report.resources;
      sd_resources_subtract (&worker->round_free_resources,
                             &worker->used_resources);
      sd_resources_subtract (&worker->round_free_resources,
                             &worker->unassigned_resources);
    }
  itf_update (sched->interference, now_ms);
  sd_service_uses_begin_round (sched);
  sd_standing_begin_round (sched, placing, now_ms);
  sd_preemptions_begin_round (sched, now_ms);
  sd_reservations_begin_round (sched);
}

/* Whether UNIT and those after it are left for another round.  */
static bool
must_wait (const struct sd_sched *sched, const struct sd_unit *unit,
           const struct sd_commands *commands)
{
  if (commands->placing == SD_PLACE_URGENT && unit->priority > 0)
    return true;
  return sched->params.starts_per_round > 0
         && commands->starts->len >= sched->params.starts_per_round;
}

static uint32_t
next_gang_run (const struct jb_step *step)
{
  uint32_t highest = 0;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    highest = MAX (highest, step->tasks[i].run);
  return highest + 1;
}

static void
start_placement (struct sd_sched *sched, const struct sd_unit *unit,
                 const struct sd_placement *placement, int64_t now_ms,
                 struct sd_commands *commands)
{
  const struct jb_step_spec *spec = unit->step->spec;
  uint32_t gang_run = spec->gang ? next_gang_run (unit->step) : 0;
  guint i;

  sched->kept_apart += placement->kept_apart;
  for (i = 0; i < placement->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (placement->tasks, i);
      struct sd_worker *worker = g_ptr_array_index (placement->workers, i);

      sd_place_task (sched, task, worker,
                     spec->gang ? gang_run : task->run + 1, now_ms);
      if (sd_crash_is_suspect (task))
        sd_crash_suspect_placed (worker, now_ms);
      sd_resources_subtract (&worker->round_free_resources, &spec->resources);
      g_ptr_array_add (commands->starts, task);
    }
}

/* Whether the unit would fit if it did not have to start alone, so that it
   only has to wait until other runs are past their start.  */
static bool
waits_to_start_alone (const struct sd_sched *sched, const struct sd_unit *unit,
                      int64_t now_ms)
{
  struct sd_placement placement
      = { .tasks = g_ptr_array_new (), .workers = g_ptr_array_new () };
  struct sd_unit shared = *unit;
  bool fits;

  shared.starts_alone = false;
  fits = unit->starts_alone
         && sd_choose_workers (sched, &shared, now_ms, &placement);
  g_ptr_array_free (placement.tasks, TRUE);
  g_ptr_array_free (placement.workers, TRUE);
  return fits;
}

static void
place_unit (struct sd_sched *sched, const struct sd_unit *unit, int64_t now_ms,
            struct sd_commands *commands)
{
  struct sd_placement placement
      = { .tasks = g_ptr_array_new (), .workers = g_ptr_array_new () };
  bool preempting = sd_preemption_suspend (sched, unit, now_ms);
  bool reserved = sd_reservation_suspend (sched, unit);
  bool complete = false;
  struct sd_unit unplaced = *unit;

  if (preempting || reserved || !sd_is_known_unplaceable (sched, unit))
    {
      complete = sd_choose_workers (sched, unit, now_ms, &placement);
      if (!complete && !preempting && !unit->starts_alone
          && (unit->step->spec->gang || placement.tasks->len == 0))
        g_array_append_val (sched->unplaceable_units, *unit);
    }
  if (!complete && (unit->step->spec->gang || placement.tasks->len == 0)
      && sd_drop_preferences (sched, &unplaced, now_ms))
    complete = sd_choose_workers (sched, &unplaced, now_ms, &placement);

  if (complete || !unit->step->spec->gang)
    start_placement (sched, unit, &placement, now_ms, commands);
  else
    g_ptr_array_set_size (placement.tasks, 0);
  unplaced.waiting_count -= placement.tasks->len;
  if (complete)
    sd_reservation_remove (sched, unit);
  else if (unit->step->spec->gang && unit->priority > 0)
    sd_reserve_resources (sched, unit, now_ms);
  if (preempting && complete)
    sd_preemption_remove (sched, unit);
  if (!complete && unit->priority == 0 && unplaced.waiting_count > 0
      && !waits_to_start_alone (sched, &unplaced, now_ms))
    sd_preempt (sched, &unplaced, now_ms);
  if (!complete && commands->advisor_queries != NULL)
    sd_query_advice (sched, &unplaced, now_ms, commands->advisor_queries);
  g_ptr_array_free (placement.tasks, TRUE);
  g_ptr_array_free (placement.workers, TRUE);
}

void
sd_round (struct sd_sched *sched, int64_t now_ms, int64_t now_unix_ms,
          struct sd_commands *commands)
{
  GArray *units;
  guint i;

  sd_end_tasks_done_before (sched, now_unix_ms);
  for (i = 0; i < sched->workers->len; i++)
    sd_leave_consider (sched, g_ptr_array_index (sched->workers, i), now_ms);
  if (sched->catalog != NULL && commands->placing != SD_PLACE_NONE)
    {
      begin_round (sched, commands->placing, now_ms);
      units = sd_collect_units (sched, now_ms, now_unix_ms);
      for (i = 0; i < units->len; i++)
        {
          const struct sd_unit *unit
              = &g_array_index (units, struct sd_unit, i);

          if (must_wait (sched, unit, commands))
            break;
          place_unit (sched, unit, now_ms, commands);
        }
      commands->more = i < units->len;
      sd_standing_end_round (
          sched,
          commands->more ? &g_array_index (units, struct sd_unit, i) : NULL);
      if (!commands->more)
        sd_reservations_end_round (sched);
      g_array_free (units, TRUE);
    }
  for (i = 0; i < sched->pending_stops->len; i++)
    g_ptr_array_add (commands->stops,
                     g_ptr_array_index (sched->pending_stops, i));
  g_ptr_array_set_size (sched->pending_stops, 0);
}

struct sd_room
sd_survey (struct sd_sched *sched, int64_t now_ms, int64_t now_unix_ms)
{
  struct sd_room room
      = { .reservations = g_hash_table_size (sched->reservations),
          .reserved_tasks = sched->reserved_task_count };
  GArray *units;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (worker->listed && worker->closed)
        {
          room.closed_workers++;
          continue;
        }
      if (!worker->listed || worker->reachability != SD_WORKER_REACHABLE
          || worker->report.draining)
        continue;
      if (sd_health_is_avoided (worker, now_ms))
        {
          room.avoided_workers++;
          continue;
        }
      room.usable_workers++;
      if (worker->tasks->len > 0)
        continue;
      room.idle_workers++;
      if (worker->round_reserved_resources.cpus_milli > 0)
        room.idle_reserved++;
    }
  if (sched->catalog == NULL)
    return room;
  units = sd_collect_units (sched, now_ms, now_unix_ms);
  for (i = 0; i < units->len; i++)
    {
      const struct sd_unit *unit = &g_array_index (units, struct sd_unit, i);

      if (!unit->step->spec->gang)
        continue;
      room.waiting_gangs++;
      if (sd_unit_is_late (sched, unit, now_ms))
        room.waiting_late++;
    }
  g_array_free (units, TRUE);
  return room;
}
