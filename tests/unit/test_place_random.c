/* Random runs of events against the placement core, one run for each seed.
   After each step the reference model checks the commands and place_check ()
   the invariants of the core.  A failing run is shortened and its steps are
   printed.  PLACE_SEED=N runs one seed, PLACE_SEEDS=N the first N.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <setjmp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place/place_internal.h"
#include "unit/place_model.h"

enum
{
  DEFAULT_SEED_COUNT = 110,
  STEPS_PER_RUN = 2000,
  JOB_COUNT_LIMIT = 60,
  SHORTEN_RUN_LIMIT = 400,
  FINAL_ROUND_LIMIT = 4000,
  GRACE_MS = 5000,
  QUARANTINE_MS = 60000,
  STEP_TIME_LIMIT_MS = 1500
};

struct run
{
  struct pm_model model;
  struct place *place;
  const struct place_policy *policy;
  int64_t now_ms;
  uint64_t random;
  uint32_t next_id;
  bool trace;
  bool paused[PM_TEAMS];
  bool paused_all;
};

static sigjmp_buf abort_jump;

/* How often each command was issued, and how many unused guarantees a job
   asked for and got, over all runs.  */
static uint64_t command_counts[PLACE_GUARANTEE_MET + 1];
static uint64_t guarantees_used;

/* ===== Helpers ================================================ */

static int64_t
run_now (void *ctx)
{
  return ((struct run *)ctx)->now_ms;
}

/* splitmix64.  Each step has a seed of its own, so that it draws the same
   numbers when other steps are skipped.  */
static uint64_t
random_bits (struct run *r)
{
  uint64_t z = r->random += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static uint32_t
random_below (struct run *r, uint32_t limit)
{
  return (uint32_t)(random_bits (r) % limit);
}

#define TRACE(r, ...)                                                         \
  do                                                                          \
    {                                                                         \
      if ((r)->trace)                                                         \
        printf (__VA_ARGS__);                                                 \
    }                                                                         \
  while (0)

static struct pm_job *
random_job (struct run *r, enum pm_state state)
{
  guint len = r->model.jobs->len;
  guint start = len == 0 ? 0 : random_below (r, len);
  guint i;

  for (i = 0; i < len; i++)
    {
      struct pm_job *job = r->model.jobs->pdata[(start + i) % len];

      if (job->state == state)
        return job;
    }
  return NULL;
}

static void
run_round (struct run *r)
{
  const struct place_command *commands;
  char text[PLACE_TEXT_SIZE_BYTES];
  int count = place_decide (r->place, &commands);
  int i;

  for (i = 0; i < count; i++)
    command_counts[commands[i].kind]++;
  for (i = 0; i < count; i++)
    TRACE (r, "    -> %d %s %s\n", commands[i].kind,
           commands[i].job != NULL      ? commands[i].job
           : commands[i].worker != NULL ? commands[i].worker
                                        : commands[i].team,
           commands[i].reason == NULL ? "" : commands[i].reason);
  pm_apply_commands (&r->model, commands, count, r->now_ms);
  if (place_check (r->place, text) != PLACE_OK)
    pm_fail (&r->model, "place_check: %s", text);
}

/* ===== Setting up ============================================= */

static void
report_worker_up (struct run *r, int i)
{
  struct pm_worker *worker = &r->model.workers[i];
  struct place_worker given = { .name = worker->name,
                                .rack = worker->rack,
                                .data_centre = worker->centre,
                                .capacity = worker->capacity };

  worker->up = true;
  place_worker_up (r->place, &given);
}

static void
setup_workers (struct run *r)
{
  int i;

  for (i = 0; i < PM_ALL_WORKERS; i++)
    {
      struct pm_worker *worker = &r->model.workers[i];

      worker->rack_number = i / PM_WORKERS_PER_RACK;
      worker->centre_number = worker->rack_number / PM_RACKS_PER_CENTRE;
      g_snprintf (worker->name, sizeof worker->name, "w%d", i);
      g_snprintf (worker->rack, sizeof worker->rack, "r%d",
                  worker->rack_number);
      g_snprintf (worker->centre, sizeof worker->centre, "c%d",
                  worker->centre_number);
      worker->capacity.accelerators = random_below (r, 4) == 0 ? 4 : 8;
      worker->capacity.cpus_milli = 64000;
      worker->capacity.memory_mb = 128000;
      worker->fails_tasks = random_below (r, 20) == 0;
      report_worker_up (r, i);
    }
}

static void
random_shape (struct run *r, struct place_shape *shape)
{
  static const uint32_t TASKS[] = { 1, 1, 1, 1, 2, 2, 3, 4, 6 };
  static const uint32_t ACCELERATORS[] = { 0, 1, 1, 2, 2, 4, 8, 8, 3 };

  shape->tasks = TASKS[random_below (r, 9)];
  shape->task.accelerators = ACCELERATORS[random_below (r, 9)];
  shape->task.cpus_milli = 1000 * random_below (r, 9);
  shape->task.memory_mb = 1000 * random_below (r, 17);
  shape->span = random_below (r, 4);
}

static void
random_teams (struct run *r, struct pm_team *teams)
{
  int i;
  size_t g;

  for (i = 0; i < PM_TEAMS; i++)
    {
      struct pm_team *team = &teams[i];

      memset (team, 0, sizeof *team);
      g_snprintf (team->name, sizeof team->name, "t%d", i);
      team->spec.weight = 1 + random_below (r, 3);
      team->spec.may_borrow = random_below (r, 5) > 0;
      team->spec.guarantee_count
          = random_below (r, PM_GUARANTEES_PER_TEAM + 1);
      for (g = 0; g < team->spec.guarantee_count; g++)
        {
          random_shape (r, &team->guarantees[g].shape);
          team->guarantees[g].count = 1 + random_below (r, 2);
        }
      /* The last team has a quota, and no guarantee that may conflict with
         it.  */
      if (i == PM_TEAMS - 1)
        {
          team->spec.guarantee_count = 0;
          team->spec.may_borrow = true;
          team->spec.quota.accelerators = 8 + random_below (r, 24);
        }
    }
}

static void
link_team_specs (struct pm_team *teams, struct place_team *out)
{
  int i;

  for (i = 0; i < PM_TEAMS; i++)
    {
      teams[i].spec.name = teams[i].name;
      teams[i].spec.guarantees = teams[i].guarantees;
      out[i] = teams[i].spec;
    }
}

/* Whether the guarantees of TEAMS can be met on all workers together.  Checks
   that guarantees of more accelerators than there are get refused.  */
static bool
teams_can_be_met (struct run *r, const struct place_team *teams)
{
  struct place_worker workers[PM_ALL_WORKERS];
  char text[PLACE_TEXT_SIZE_BYTES];
  uint64_t have = 0;
  uint64_t want = 0;
  size_t g;
  int i;
  int error;

  for (i = 0; i < PM_ALL_WORKERS; i++)
    {
      struct pm_worker *worker = &r->model.workers[i];

      workers[i] = (struct place_worker){ .name = worker->name,
                                          .rack = worker->rack,
                                          .data_centre = worker->centre,
                                          .capacity = worker->capacity };
      have += worker->capacity.accelerators;
    }
  for (i = 0; i < PM_TEAMS; i++)
    for (g = 0; g < teams[i].guarantee_count; g++)
      want += (uint64_t)teams[i].guarantees[g].count
              * teams[i].guarantees[g].shape.tasks
              * teams[i].guarantees[g].shape.task.accelerators;
  error = place_check_guarantees (teams, PM_TEAMS, workers, PM_ALL_WORKERS,
                                  text);
  if (want > have && error != PLACE_ERR_CONFLICT)
    pm_fail (&r->model,
             "guarantees of more accelerators than there are were accepted");
  return error == PLACE_OK;
}

static void
step_configure (struct run *r)
{
  struct pm_team teams[PM_TEAMS];
  struct place_team given[PM_TEAMS];

  random_teams (r, teams);
  link_team_specs (teams, given);
  if (!teams_can_be_met (r, given))
    return;
  TRACE (r, "configure\n");
  memcpy (r->model.teams, teams, sizeof teams);
  link_team_specs (r->model.teams, given);
  if (place_configure (r->place, given, PM_TEAMS) != PLACE_OK)
    pm_fail (&r->model, "place_configure () failed");
}

static void
create_place (struct run *r)
{
  struct place_params params = { .policy = r->policy,
                                 .checkpoint_grace_ms = GRACE_MS,
                                 .attempt_limit = 3,
                                 .quarantine_failures = 3,
                                 .quarantine_ms = QUARANTINE_MS,
                                 .now_ms = run_now,
                                 .ctx = r };

  place_create (&r->place, &params);
}

static void
setup (struct run *r, uint64_t seed)
{
  struct place_team given[PM_TEAMS];
  int i;

  memset (r, 0, sizeof *r);
  r->random = seed;
  r->policy
      = seed % 11 == 10 ? &place_policy_first_fit : &place_policy_guarantee;
  r->model.jobs = g_ptr_array_new_with_free_func (g_free);
  r->model.jobs_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  create_place (r);
  setup_workers (r);
  random_teams (r, r->model.teams);
  for (i = 0; i < PM_TEAMS; i++)
    r->model.teams[i].spec.guarantee_count = 0;
  link_team_specs (r->model.teams, given);
  place_configure (r->place, given, PM_TEAMS);
  for (i = 0; i < 5; i++)
    step_configure (r);
}

static void
teardown (struct run *r)
{
  place_free (r->place);
  g_hash_table_destroy (r->model.jobs_by_id);
  g_ptr_array_free (r->model.jobs, TRUE);
}

/* ===== Steps ================================================== */

static bool
can_ever_run (struct run *r, const struct pm_job *job)
{
  if (r->policy == &place_policy_guarantee)
    return pm_can_ever_run (&r->model, job->team, &job->spec);
  return pm_can_run_without_guarantees (&r->model, job->team, &job->spec);
}

static struct pm_job *
new_job (struct run *r, int team)
{
  struct pm_job *job = g_new0 (struct pm_job, 1);

  g_snprintf (job->id, sizeof job->id, "j%u", r->next_id++);
  job->team = team;
  job->spec.id = job->id;
  job->spec.team = r->model.teams[team].name;
  job->spec.submitted_ms = r->now_ms;
  job->spec.repeatable = true;
  return job;
}

static bool
submit_job (struct run *r, struct pm_job *job)
{
  char text[PLACE_TEXT_SIZE_BYTES];
  int error = place_submit (r->place, &job->spec, text);
  bool can = can_ever_run (r, job);

  TRACE (r, "submit %s %s %ux(%u,%u,%u) span %d%s%s%s%s: %d %s\n", job->id,
         job->spec.team, job->spec.shape.tasks,
         job->spec.shape.task.accelerators, job->spec.shape.task.cpus_milli,
         job->spec.shape.task.memory_mb, job->spec.shape.span,
         job->spec.data_centre == NULL ? "" : " in c1",
         job->spec.checkpointable ? " checkpointable" : "",
         job->spec.repeatable ? " repeatable" : "",
         job->spec.urgent ? " urgent" : "", error, text);
  if (error == PLACE_OK && !can)
    pm_fail (&r->model, "%s was accepted but can never run", job->id);
  else if (error == PLACE_ERR_INFEASIBLE && can)
    pm_fail (&r->model, "%s was refused but could run: %s", job->id, text);
  else if (error != PLACE_OK && error != PLACE_ERR_INFEASIBLE)
    pm_fail (&r->model, "%s: %s", job->id, place_strerror (error));
  if (error != PLACE_OK)
    {
      g_free (job);
      return false;
    }
  g_ptr_array_add (r->model.jobs, job);
  g_hash_table_insert (r->model.jobs_by_id, job->id, job);
  return true;
}

static void
step_submit (struct run *r)
{
  static const char *const KINDS[] = { "fit", "check", "batch" };
  struct pm_job *job;

  if (r->model.jobs->len >= JOB_COUNT_LIMIT)
    return;
  job = new_job (r, (int)random_below (r, PM_TEAMS));
  random_shape (r, &job->spec.shape);
  if (random_below (r, 40) == 0)
    job->spec.shape.tasks += random_below (r, 300);
  job->spec.kind = KINDS[random_below (r, 3)];
  job->spec.urgent = random_below (r, 10) == 0;
  job->spec.checkpointable = random_below (r, 4) > 0;
  job->spec.repeatable = random_below (r, 5) > 0;
  job->spec.declared_run_ms = 1000 * (uint64_t)random_below (r, 600);
  job->spec.data_centre = random_below (r, 8) == 0 ? "c1" : NULL;
  job->fails_everywhere = random_below (r, 20) == 0;
  submit_job (r, job);
}

static void
end_job (struct run *r, struct pm_job *job, enum place_outcome how, int worker)
{
  struct place_ended ended
      = { .job = job->id,
          .outcome = how,
          .failed_worker = worker < 0 ? NULL : r->model.workers[worker].name,
          .ran_ms = (uint64_t)(r->now_ms - job->started_ms),
          .requeue
          = how != PLACE_OUTCOME_SUCCEEDED && how != PLACE_OUTCOME_CANCELLED };

  TRACE (r, "end %s: %d on %d\n", job->id, how, worker);
  pm_vacate (&r->model, job);
  job->state = PM_QUEUED;
  if (place_ended (r->place, &ended) != PLACE_OK)
    pm_fail (&r->model, "place_ended () failed for %s", job->id);
  if (!ended.requeue || job->cancelled)
    pm_remove_job (&r->model, job);
}

/* The first of a job's workers that fails all tasks, or -1.  */
static int
first_failing_worker (const struct run *r, const struct pm_job *job)
{
  uint32_t i;

  for (i = 0; i < job->spec.shape.tasks; i++)
    if (r->model.workers[job->workers[i]].fails_tasks)
      return job->workers[i];
  return -1;
}

static void
step_end (struct run *r)
{
  struct pm_job *job = random_job (r, PM_RUNNING);
  int failing;

  if (job == NULL)
    return;
  failing = first_failing_worker (r, job);
  if (failing >= 0)
    end_job (r, job, PLACE_OUTCOME_FAILED, failing);
  else if (job->fails_everywhere || random_below (r, 12) == 0)
    end_job (r, job, PLACE_OUTCOME_FAILED, job->workers[0]);
  else if (random_below (r, 20) == 0)
    end_job (r, job, PLACE_OUTCOME_NOT_STARTED, job->workers[0]);
  else
    end_job (r, job, PLACE_OUTCOME_SUCCEEDED, -1);
}

static void
step_end_evicted (struct run *r)
{
  struct pm_job *job = random_job (r, PM_EVICTING);

  if (job != NULL)
    end_job (r, job, PLACE_OUTCOME_EVICTED, -1);
}

static bool
on_worker (const struct pm_job *job, int worker)
{
  uint32_t i;

  for (i = 0; i < job->spec.shape.tasks; i++)
    if (job->workers[i] == worker)
      return true;
  return false;
}

/* Ends the jobs on workers that are down.  */
static void
step_end_lost (struct run *r)
{
  guint i;
  int w;

  for (w = 0; w < PM_ALL_WORKERS; w++)
    for (i = r->model.jobs->len; i-- > 0 && !r->model.workers[w].up;)
      {
        struct pm_job *job = r->model.jobs->pdata[i];

        if (job->state != PM_QUEUED && on_worker (job, w))
          end_job (r, job, PLACE_OUTCOME_LOST, w);
      }
}

static void
cancel_job (struct run *r, struct pm_job *job)
{
  TRACE (r, "cancel %s\n", job->id);
  if (place_cancel (r->place, job->id) != PLACE_OK)
    pm_fail (&r->model, "place_cancel () failed for %s", job->id);
  if (job->state == PM_QUEUED)
    pm_remove_job (&r->model, job);
  else
    job->cancelled = true;
}

static void
step_cancel (struct run *r)
{
  struct pm_job *job
      = random_job (r, random_below (r, 3) == 0 ? PM_RUNNING : PM_QUEUED);

  if (job != NULL)
    cancel_job (r, job);
}

static void
step_cancel_wave (struct run *r)
{
  int team = (int)random_below (r, PM_TEAMS);
  guint i;

  for (i = r->model.jobs->len; i-- > 0;)
    {
      struct pm_job *job = r->model.jobs->pdata[i];

      if (job->team == team && job->state == PM_QUEUED)
        cancel_job (r, job);
    }
}

static void
step_worker_down (struct run *r)
{
  int i = (int)random_below (r, PM_ALL_WORKERS);
  bool rack = random_below (r, 6) == 0;
  int w;

  for (w = 0; w < PM_ALL_WORKERS; w++)
    if (w == i
        || (rack
            && r->model.workers[w].rack_number
                   == r->model.workers[i].rack_number))
      {
        TRACE (r, "down w%d\n", w);
        r->model.workers[w].up = false;
        place_worker_down (r->place, r->model.workers[w].name);
      }
}

static void
step_worker_up (struct run *r)
{
  int start = (int)random_below (r, PM_ALL_WORKERS);
  int i;

  for (i = 0; i < PM_ALL_WORKERS; i++)
    {
      int w = (start + i) % PM_ALL_WORKERS;

      if (r->model.workers[w].up)
        continue;
      TRACE (r, "up w%d\n", w);
      report_worker_up (r, w);
      return;
    }
}

static void
step_pause (struct run *r)
{
  int team = (int)random_below (r, PM_TEAMS + 1);
  bool *paused = team == PM_TEAMS ? &r->paused_all : &r->paused[team];

  *paused = !*paused && random_below (r, 3) == 0;
  TRACE (r, "pause %d: %d\n", team, *paused);
  place_pause (r->place, team == PM_TEAMS ? NULL : r->model.teams[team].name,
               *paused);
}

static void
step_usage (struct run *r)
{
  struct pm_job *job = random_job (r, PM_RUNNING);
  uint64_t ran;

  if (job == NULL)
    return;
  ran = (uint64_t)(r->now_ms - job->started_ms);
  place_usage (r->place, job->id, ran, ran / 2);
}

/* Another planner takes over: a new placement core gets the configuration, the
   workers and the jobs from the model.  */
static void
step_restart (struct run *r)
{
  struct place_assignment block[PLACE_TASK_LIMIT];
  struct place_team given[PM_TEAMS];
  char text[PLACE_TEXT_SIZE_BYTES];
  guint i;
  uint32_t t;
  int w;

  TRACE (r, "restart\n");
  place_free (r->place);
  create_place (r);
  memset (r->paused, 0, sizeof r->paused);
  r->paused_all = false;
  link_team_specs (r->model.teams, given);
  place_configure (r->place, given, PM_TEAMS);
  for (w = 0; w < PM_ALL_WORKERS; w++)
    {
      r->model.workers[w].quarantined = false;
      if (r->model.workers[w].up)
        report_worker_up (r, w);
      else
        {
          report_worker_up (r, w);
          r->model.workers[w].up = false;
          place_worker_down (r->place, r->model.workers[w].name);
        }
    }
  for (i = 0; i < r->model.jobs->len; i++)
    {
      struct pm_job *job = r->model.jobs->pdata[i];
      int error;

      for (t = 0; t < job->spec.shape.tasks && job->state != PM_QUEUED; t++)
        block[t] = (struct place_assignment){
          .task = t,
          .worker = r->model.workers[job->workers[t]].name,
          .accelerators = job->accelerator_masks[t]
        };
      if (job->state == PM_QUEUED)
        error = place_submit (r->place, &job->spec, text);
      else
        error = place_restore (r->place, &job->spec, block,
                               job->spec.shape.tasks, job->started_ms);
      if (job->state == PM_EVICTING) /* unknown to the new planner */
        job->state = PM_RUNNING;
      if (error != PLACE_OK)
        pm_fail (&r->model, "%s was not restored: error %d", job->id, error);
      if (job->cancelled)
        place_cancel (r->place, job->id);
    }
}

/* ===== All teams use their guarantees ========================= */

/* Submits one job for each guarantee that is unused and not reported as
   unmet.  */
static void
submit_unused_guarantees (struct run *r, GPtrArray *submitted)
{
  guint t;
  guint u;

  for (t = 0; t < r->place->team_list->len; t++)
    {
      const struct place_team_state *team = r->place->team_list->pdata[t];
      int number = team->name[1] - '0';

      for (u = 0; u < team->units->len; u++)
        {
          const struct place_unit *unit = team->units->pdata[u];
          struct pm_job *job;

          if (unit->task_count > 0 || unit->reported_unmet
              || unit->kept_for != NULL || r->paused[number])
            continue;
          job = new_job (r, number);
          job->spec.shape = unit->shape;
          job->spec.urgent = true;
          if (submit_job (r, job))
            g_ptr_array_add (submitted, job->id);
        }
    }
}

static void
end_stopping_jobs (struct run *r)
{
  guint i;

  for (i = r->model.jobs->len; i-- > 0;)
    {
      struct pm_job *job = r->model.jobs->pdata[i];

      if (job->state == PM_RUNNING && job->cancelled)
        end_job (r, job, PLACE_OUTCOME_CANCELLED, -1);
      else if (job->state == PM_EVICTING)
        end_job (r, job, PLACE_OUTCOME_EVICTED, -1);
    }
}

/* Every job within a guarantee has to start once the evicted jobs have
   stopped.  */
static void
step_use_all_guarantees (struct run *r)
{
  g_autoptr (GPtrArray) submitted = g_ptr_array_new ();
  guint i;

  if (r->paused_all || r->policy != &place_policy_guarantee)
    return;
  run_round (r);
  if (r->model.error[0] != '\0')
    return;
  TRACE (r, "use all guarantees\n");
  submit_unused_guarantees (r, submitted);
  run_round (r);
  end_stopping_jobs (r);
  run_round (r);
  for (i = 0; i < submitted->len; i++)
    {
      const char *id = submitted->pdata[i];
      struct pm_job *job = g_hash_table_lookup (r->model.jobs_by_id, id);

      guarantees_used++;
      if (job != NULL && job->state == PM_QUEUED)
        pm_fail (&r->model, "%s is within a guarantee but did not start", id);
      else if (job != NULL && random_below (r, 2) == 0)
        end_job (r, job, PLACE_OUTCOME_SUCCEEDED, -1);
    }
}

/* ===== Runs =================================================== */

struct step
{
  uint32_t weight;
  void (*run) (struct run *r);
};

static const struct step STEP_KINDS[] = {
  { 40, step_submit },
  { 30, step_end },
  { 12, step_end_evicted },
  { 6, step_cancel },
  { 1, step_cancel_wave },
  { 3, step_worker_down },
  { 5, step_worker_up },
  { 4, step_end_lost },
  { 2, step_configure },
  { 2, step_pause },
  { 6, step_usage },
  { 1, step_restart },
  { 2, step_use_all_guarantees },
};

static void
run_step (struct run *r, uint64_t seed, int number)
{
  uint32_t total = 0;
  uint32_t at;
  size_t i;

  r->random = seed * 1000003 + (uint64_t)number;
  r->now_ms += random_below (r, STEP_TIME_LIMIT_MS);
  for (i = 0; i < G_N_ELEMENTS (STEP_KINDS); i++)
    total += STEP_KINDS[i].weight;
  at = random_below (r, total);
  for (i = 0; at >= STEP_KINDS[i].weight; i++)
    at -= STEP_KINDS[i].weight;
  TRACE (r, "%d: ", number);
  STEP_KINDS[i].run (r);
  TRACE (r, "\n");
  if (r->model.error[0] == '\0')
    run_round (r);
}

/* Ends the run: with all workers up and healthy and nothing paused, every
   accepted job has to run.  */
static void
run_until_empty (struct run *r)
{
  int round;
  int i;

  TRACE (r, "drain\n");
  for (i = 0; i < PM_ALL_WORKERS; i++)
    {
      r->model.workers[i].fails_tasks = false;
      report_worker_up (r, i);
    }
  place_pause (r->place, NULL, false);
  for (i = 0; i < PM_TEAMS; i++)
    place_pause (r->place, r->model.teams[i].name, false);
  for (round = 0; r->model.jobs->len > 0 && round < FINAL_ROUND_LIMIT; round++)
    {
      struct pm_job *job;

      r->now_ms += QUARANTINE_MS / 10;
      run_round (r);
      if (r->model.error[0] != '\0')
        return;
      end_stopping_jobs (r);
      job = random_job (r, PM_RUNNING);
      if (job != NULL)
        end_job (r, job, PLACE_OUTCOME_SUCCEEDED, -1);
    }
  if (r->model.jobs->len > 0)
    {
      struct pm_job *job = r->model.jobs->pdata[0];
      char text[PLACE_TEXT_SIZE_BYTES] = "";

      place_explain (r->place, job->id, text);
      pm_fail (&r->model, "%s never ran: %s", job->id, text);
    }
}

/* Returns the number of steps done: all of them if no step failed.  ERROR gets
   the text of the failure, or becomes empty.  */
static int
run_steps (uint64_t seed, const bool *skipped, int steps, bool trace,
           char error[PM_TEXT_SIZE_BYTES])
{
  static struct run run;
  static volatile int done;

  done = 0;
  setup (&run, seed);
  run.trace = trace;
  if (sigsetjmp (abort_jump, 1) != 0)
    {
      g_strlcpy (error, "an assertion failed", PM_TEXT_SIZE_BYTES);
      return done; /* the memory of the run is leaked */
    }
  while (done < steps && run.model.error[0] == '\0')
    {
      if (!skipped[done])
        run_step (&run, seed, done);
      done++;
    }
  if (run.model.error[0] == '\0')
    run_until_empty (&run);
  g_strlcpy (error, run.model.error, PM_TEXT_SIZE_BYTES);
  teardown (&run);
  return done;
}

/* Skips steps as long as the run still fails without them, and prints the
   remaining steps.  */
static void
shorten_run (uint64_t seed, int steps)
{
  bool skipped[STEPS_PER_RUN] = { false };
  char error[PM_TEXT_SIZE_BYTES];
  int runs = 0;
  int size;
  int at;

  for (size = steps / 2; size > 0; size /= 2)
    for (at = 0; at < steps && runs < SHORTEN_RUN_LIMIT; at += size)
      {
        bool before[STEPS_PER_RUN];

        memcpy (before, skipped, sizeof before);
        memset (skipped + at, true, (size_t)MIN (size, steps - at));
        runs++;
        run_steps (seed, skipped, steps, false, error);
        if (error[0] == '\0')
          memcpy (skipped, before, sizeof before);
      }
  run_steps (seed, skipped, steps, true, error);
  printf ("shortened run: %s\n", error);
}

static void
on_abort (int number)
{
  (void)number;
  siglongjmp (abort_jump, 1);
}

static bool
run_seed (uint64_t seed)
{
  static const bool NONE[STEPS_PER_RUN];
  char error[PM_TEXT_SIZE_BYTES];
  int done = run_steps (seed, NONE, STEPS_PER_RUN, false, error);

  if (error[0] == '\0')
    return true;
  printf ("seed %lu, step %d: %s\n", (unsigned long)seed, done, error);
  shorten_run (seed, done);
  return false;
}

static void
test_random_runs (void)
{
  const char *given = getenv ("PLACE_SEED");
  const char *seeds = getenv ("PLACE_SEEDS");
  uint64_t limit
      = seeds == NULL ? DEFAULT_SEED_COUNT : strtoull (seeds, NULL, 10);
  uint64_t seed;
  int kind;

  signal (SIGABRT, on_abort);
  if (given != NULL)
    {
      CU_ASSERT_TRUE (run_seed (strtoull (given, NULL, 10)));
      return;
    }
  for (seed = 0; seed < limit; seed++)
    if (!run_seed (seed))
      {
        CU_FAIL ("a random run failed");
        return;
      }
  printf ("%lu steps, %lu unused guarantees asked for and met; commands:",
          (unsigned long)limit * STEPS_PER_RUN,
          (unsigned long)guarantees_used);
  for (kind = PLACE_START; kind <= PLACE_GUARANTEE_MET; kind++)
    {
      printf (" %lu", (unsigned long)command_counts[kind]);
      CU_ASSERT_TRUE (command_counts[kind] > 0);
    }
  puts ("");
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("place: random runs", NULL, NULL);
  CU_add_test (suite, "invariants after every step", test_random_runs);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
