/* Work that stands: nothing of its job runs, though its turn has come and
   there is room for it.  Made for this load: gangs that prefer one rack, or
   other workers than those with room, wait for tasks that run for long, while
   little is in use.  A preference is kept for a bounded time, so that it does
   not keep accepted work waiting beside idle workers.  */

#include "sched/private.h"

enum
{
  /* The platform requires that work starts within 3 s while there is room for
     it ROOM_FACTOR times and less than half of its service is in use.  The
     other half of that time is for recording and sending the starts.  */
  PREFERENCES_KEPT_MS = 1500,
  /* Of the work that a term begins with, which may have stood before it.  The
     workers answer their first polls within this time.  */
  PREFERENCES_KEPT_AFTER_TAKEOVER_MS = 500,
  ROOM_FACTOR = 2,
  /* Above one half, for resources in use here may be free at the worker.  */
  IN_USE_PERCENT_MAX = 60,
  /* A look that finds no room, as after a start that was refused, ends the
     wait only after this time.  */
  ROOM_GAP_MS = 500,
  /* Between sweeps over the waiting units.  A look takes 15 us with 1,100
     workers, so that a sweep may take several rounds.  */
  SWEEP_INTERVAL_MS = 200,
  LOOKS_PER_ROUND_MAX = 128
};

void
sd_standing_begin_term (struct jb_step *step, int64_t now_ms)
{
  step->beside_room_since_ms
      = now_ms - (PREFERENCES_KEPT_MS - PREFERENCES_KEPT_AFTER_TAKEOVER_MS);
  step->room_seen_ms = now_ms;
}

static void
begin_sweep (struct sd_sweep *sweep, int64_t now_ms)
{
  if (sweep->unfinished)
    {
      sweep->looks_left = LOOKS_PER_ROUND_MAX;
      sweep->to_skip = sweep->done;
      sweep->unfinished = false;
      sweep->active = true;
    }
  else if (sweep->cut_short || now_ms - sweep->started_ms >= SWEEP_INTERVAL_MS)
    *sweep = (struct sd_sweep){ .active = true,
                                .looks_left = LOOKS_PER_ROUND_MAX,
                                .started_ms = now_ms };
  else
    sweep->active = false;
}

void
sd_standing_begin_round (struct sd_sched *sched, enum sd_placing placing,
                         int64_t now_ms)
{
  begin_sweep (&sched->urgent_sweep, now_ms);
  /* Rounds that do not come to the other units must not use up their
     sweeps.  */
  if (placing == SD_PLACE_ALL)
    begin_sweep (&sched->other_sweep, now_ms);
  else
    sched->other_sweep.active = false;
}

/* The round has left units over that the sweep would have come to.  */
static void
leave_sweep (struct sd_sweep *sweep)
{
  if (!sweep->active)
    return;
  if (sweep->looks_left == 0)
    sweep->unfinished = true;
  else
    sweep->cut_short = true;
}

void
sd_standing_end_round (struct sd_sched *sched,
                       const struct sd_unit *first_left)
{
  if (first_left == NULL)
    return;
  leave_sweep (&sched->other_sweep);
  if (first_left->priority == 0)
    leave_sweep (&sched->urgent_sweep);
}

/* Whether it is the turn of the next unit.  */
static bool
takes_look (struct sd_sweep *sweep)
{
  if (!sweep->active)
    return false;
  if (sweep->to_skip > 0)
    {
      sweep->to_skip--;
      return false;
    }
  if (sweep->looks_left == 0)
    {
      sweep->unfinished = true;
      return false;
    }
  sweep->looks_left--;
  sweep->done++;
  return true;
}

static bool
is_little (int64_t used, int64_t capacity)
{
  return capacity == 0 || used * 100 < capacity * IN_USE_PERCENT_MAX;
}

/* Of the accelerators; for a unit without them, of each other kind of
   resource.  */
static bool
is_little_used (const struct sd_sched *sched, const struct sd_unit *unit)
{
  const struct sd_service_use *use
      = sd_service_use (sched, unit->service_index);

  if (unit->step->spec->resources.accelerators > 0)
    return is_little (use->used.accelerators, use->capacity.accelerators);
  return is_little (use->used.cpus_milli, use->capacity.cpus_milli)
         && is_little (use->used.memory_mib, use->capacity.memory_mib);
}

/* Each task of a long-lived step has to run, whether others of its job do or
   not.  */
static bool
has_run (const struct sd_unit *unit)
{
  return !unit->step->spec->long_lived
         && !jb_job_has_no_runs (unit->step->job);
}

bool
sd_may_stand (const struct sd_sched *sched, const struct sd_unit *unit)
{
  return (unit->step->spec->long_lived || is_little_used (sched, unit))
         && !has_run (unit);
}

/* The tasks that there must be room for.  */
static uint32_t
room_needed (const struct sd_unit *unit)
{
  return ROOM_FACTOR * (unit->step->spec->gang ? unit->waiting_count : 1);
}

static bool
has_room (const struct sd_sched *sched, const struct sd_unit *unit,
          int64_t now_ms)
{
  uint32_t needed = room_needed (unit);
  uint32_t found = 0;
  guint i;

  for (i = 0; i < sched->workers->len && found < needed; i++)
    found += sd_copies_without_preferences (
        g_ptr_array_index (sched->workers, i), unit, needed - found, now_ms);
  return found >= needed;
}

/* Whether there is room on workers that the advisor has not been asked about,
   so that a look at those it allows does not show that there is none.  A term
   begins without its answers.  */
static bool
may_have_room (const struct sd_sched *sched, const struct sd_unit *unit,
               int64_t now_ms)
{
  struct sd_unit unadvised = *unit;
  uint32_t needed = room_needed (unit);
  uint32_t found = 0;
  guint i;

  if (unit->advice == NULL)
    return false;
  unadvised.advice = NULL;
  for (i = 0; i < sched->workers->len && found < needed; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (!sd_advice_refuses (unit->advice, worker->report.id))
        found += sd_copies_without_preferences (worker, &unadvised,
                                                needed - found, now_ms);
    }
  return found >= needed;
}

bool
sd_drop_preferences (struct sd_sched *sched, struct sd_unit *unit,
                     int64_t now_ms)
{
  struct jb_step *step = unit->step;
  bool may_stand = sd_may_stand (sched, unit);

  if (may_stand
      && !takes_look (unit->priority == 0 ? &sched->urgent_sweep
                                          : &sched->other_sweep))
    return false;
  if (!may_stand || !has_room (sched, unit, now_ms))
    {
      if (may_stand && may_have_room (sched, unit, now_ms))
        step->room_seen_ms = now_ms;
      if (now_ms - step->room_seen_ms > ROOM_GAP_MS)
        step->beside_room_since_ms = 0;
      return false;
    }
  step->room_seen_ms = now_ms;
  if (step->beside_room_since_ms == 0)
    step->beside_room_since_ms = now_ms;
  unit->has_stood_too_long
      = now_ms - step->beside_room_since_ms >= PREFERENCES_KEPT_MS;
  /* Else the sound workers are only busy.  No number of failed runs fails the
     job of a long-lived task.  */
  unit->may_use_avoided
      = unit->has_stood_too_long
        && (step->spec->long_lived || is_little_used (sched, unit));
  return unit->has_stood_too_long;
}
