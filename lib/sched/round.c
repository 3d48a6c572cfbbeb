/* One round: all that can be decided with what is known now.  */

#include "sched/private.h"

static void
start_round (struct sd_sched *sched, int64_t now_ms)
{
  guint i;

  g_array_set_size (sched->misfits, 0);
  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      worker->round_free = worker->report.room;
      sd_room_take (&worker->round_free, &worker->used);
    }
  sd_claims_take (sched, now_ms);
  sd_reservations_begin (sched);
}

static uint32_t
next_run (const struct jb_step *step)
{
  uint32_t highest = 0;
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    highest = MAX (highest, step->tasks[i].run);
  return highest + 1;
}

static void
place_choice (struct sd_sched *sched, const struct sd_unit *unit,
              const struct sd_choice *choice, int64_t now_ms,
              struct sd_commands *commands)
{
  const struct jb_step_spec *spec = unit->step->spec;
  uint32_t gang_run = spec->gang ? next_run (unit->step) : 0;
  guint i;

  for (i = 0; i < choice->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (choice->tasks, i);
      struct sd_worker *worker = g_ptr_array_index (choice->workers, i);

      sd_place (sched, task, worker, spec->gang ? gang_run : task->run + 1,
                now_ms);
      sd_room_take (&worker->round_free, &spec->room);
      g_ptr_array_add (commands->starts, task);
    }
}

static void
place_unit (struct sd_sched *sched, const struct sd_unit *unit, int64_t now_ms,
            struct sd_commands *commands)
{
  struct sd_choice choice
      = { .tasks = g_ptr_array_new (), .workers = g_ptr_array_new () };
  bool claimed = sd_claim_give_back (sched, unit, now_ms);
  bool reserved = sd_reservation_give_back (sched, unit);
  bool whole = false;
  struct sd_unit rest = *unit;

  if (claimed || reserved || !sd_known_misfit (sched, unit))
    {
      whole = sd_choose (sched, unit, now_ms, &choice);
      if (!whole && !claimed
          && (unit->step->spec->gang || choice.tasks->len == 0))
        g_array_append_val (sched->misfits, *unit);
    }

  if (whole || !unit->step->spec->gang)
    place_choice (sched, unit, &choice, now_ms, commands);
  else
    g_ptr_array_set_size (choice.tasks, 0);
  rest.waiting -= choice.tasks->len;
  if (whole)
    sd_reservation_end (sched, unit);
  else if (unit->step->spec->gang && unit->priority > 0)
    sd_reserve_room (sched, unit, now_ms);
  if (claimed && whole)
    sd_claim_end (sched, unit);
  if (!whole && unit->priority == 0 && rest.waiting > 0)
    sd_preempt (sched, &rest, now_ms);
  if (!whole && commands->asks != NULL)
    sd_want_advice (sched, &rest, now_ms, commands->asks);
  g_ptr_array_free (choice.tasks, TRUE);
  g_ptr_array_free (choice.workers, TRUE);
}

void
sd_round (struct sd_sched *sched, int64_t now_ms, int64_t now_unix_ms,
          struct sd_commands *commands)
{
  GArray *units;
  guint i;

  if (sched->catalog != NULL)
    {
      start_round (sched, now_ms);
      units = sd_collect_units (sched, now_unix_ms);
      for (i = 0; i < units->len; i++)
        place_unit (sched, &g_array_index (units, struct sd_unit, i), now_ms,
                    commands);
      sd_reservations_end (sched);
      g_array_free (units, TRUE);
    }
  for (i = 0; i < sched->stops->len; i++)
    g_ptr_array_add (commands->stops, g_ptr_array_index (sched->stops, i));
  g_ptr_array_set_size (sched->stops, 0);
}
