/* Seeded random runs of events against the placement core.  After each step
   the caller's own model checks what was decided; a failing run is shortened
   and its steps are printed.  PLACE_SEED=N runs one seed,
   PLACE_SEEDS=N the first N.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <setjmp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place/place_inner.h"
#include "unit/place_model.h"

enum
{
  SEEDS = 110,
  STEPS = 2000,
  JOB_LIMIT = 60,
  SHORTEN_RUNS = 400,
  DRAIN_ROUNDS = 4000,
  GRACE_MS = 5000,
  QUARANTINE_MS = 60000,
  STEP_LIMIT_MS = 1500
};

struct run
{
  struct pm m;
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

/* How often the run has seen each command, and a demand that was met.  */
static uint64_t seen[PLACE_MET + 1];
static uint64_t demands_met;

/* ===== Helpers ================================================ */

static int64_t
run_now (void *ctx)
{
  return ((struct run *)ctx)->now_ms;
}

/* splitmix64: steps draw from their own seeds, so that a step does the same
   when others are left out.  */
static uint64_t
draw (struct run *r)
{
  uint64_t z = r->random += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static uint32_t
below (struct run *r, uint32_t limit)
{
  return (uint32_t)(draw (r) % limit);
}

#define SAY(r, ...)                                                           \
  do                                                                          \
    {                                                                         \
      if ((r)->trace)                                                         \
        printf (__VA_ARGS__);                                                 \
    }                                                                         \
  while (0)

static struct pm_job *
random_job (struct run *r, enum pm_state state)
{
  guint len = r->m.jobs->len;
  guint start = len == 0 ? 0 : below (r, len);
  guint i;

  for (i = 0; i < len; i++)
    {
      struct pm_job *job = r->m.jobs->pdata[(start + i) % len];

      if (job->state == state)
        return job;
    }
  return NULL;
}

static void
decide (struct run *r)
{
  const struct place_command *commands;
  char text[PLACE_TEXT_SIZE_BYTES];
  int count = place_decide (r->place, &commands);
  int i;

  for (i = 0; i < count; i++)
    seen[commands[i].kind]++;
  for (i = 0; i < count; i++)
    SAY (r, "    -> %d %s %s\n", commands[i].kind,
         commands[i].job != NULL      ? commands[i].job
         : commands[i].worker != NULL ? commands[i].worker
                                      : commands[i].team,
         commands[i].reason == NULL ? "" : commands[i].reason);
  pm_follow (&r->m, commands, count, r->now_ms);
  if (place_check (r->place, text) != PLACE_OK)
    pm_fail (&r->m, "place_check: %s", text);
}

/* ===== Setting up ============================================= */

static void
worker_up (struct run *r, int i)
{
  struct pm_worker *worker = &r->m.workers[i];
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
      struct pm_worker *worker = &r->m.workers[i];

      worker->rack_number = i / PM_WORKERS;
      worker->centre_number = worker->rack_number / PM_RACKS;
      g_snprintf (worker->name, sizeof worker->name, "w%d", i);
      g_snprintf (worker->rack, sizeof worker->rack, "r%d",
                  worker->rack_number);
      g_snprintf (worker->centre, sizeof worker->centre, "c%d",
                  worker->centre_number);
      worker->capacity.accelerators = below (r, 4) == 0 ? 4 : 8;
      worker->capacity.cpus_milli = 64000;
      worker->capacity.memory_mb = 128000;
      worker->bad = below (r, 20) == 0;
      worker_up (r, i);
    }
}

static void
random_shape (struct run *r, struct place_shape *shape)
{
  static const uint32_t TASKS[] = { 1, 1, 1, 1, 2, 2, 3, 4, 6 };
  static const uint32_t ACCELERATORS[] = { 0, 1, 1, 2, 2, 4, 8, 8, 3 };

  shape->tasks = TASKS[below (r, 9)];
  shape->task.accelerators = ACCELERATORS[below (r, 9)];
  shape->task.cpus_milli = 1000 * below (r, 9);
  shape->task.memory_mb = 1000 * below (r, 17);
  shape->span = below (r, 4);
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
      team->given.weight = 1 + below (r, 3);
      team->given.may_borrow = below (r, 5) > 0;
      team->given.guarantee_count = below (r, PM_GUARANTEES + 1);
      for (g = 0; g < team->given.guarantee_count; g++)
        {
          random_shape (r, &team->guarantees[g].shape);
          team->guarantees[g].count = 1 + below (r, 2);
        }
      if (i == PM_TEAMS - 1) /* a quota, and no guarantee to clash with it */
        {
          team->given.guarantee_count = 0;
          team->given.may_borrow = true;
          team->given.quota.accelerators = 8 + below (r, 24);
        }
    }
}

static void
point_teams (struct pm_team *teams, struct place_team *out)
{
  int i;

  for (i = 0; i < PM_TEAMS; i++)
    {
      teams[i].given.name = teams[i].name;
      teams[i].given.guarantees = teams[i].guarantees;
      out[i] = teams[i].given;
    }
}

/* Whether the document can be met on all workers; checks the refusal of one
   that plainly cannot.  */
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
      struct pm_worker *worker = &r->m.workers[i];

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
  if (want > have && error != PLACE_ERR_CLASH)
    pm_fail (&r->m, "more was guaranteed than there is");
  return error == PLACE_OK;
}

static void
step_configure (struct run *r)
{
  struct pm_team teams[PM_TEAMS];
  struct place_team given[PM_TEAMS];

  random_teams (r, teams);
  point_teams (teams, given);
  if (!teams_can_be_met (r, given))
    return;
  SAY (r, "configure\n");
  memcpy (r->m.teams, teams, sizeof teams);
  point_teams (r->m.teams, given);
  if (place_configure (r->place, given, PM_TEAMS) != PLACE_OK)
    pm_fail (&r->m, "the configuration was not taken");
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
  r->m.jobs = g_ptr_array_new_with_free_func (g_free);
  r->m.by_id = g_hash_table_new (g_str_hash, g_str_equal);
  create_place (r);
  setup_workers (r);
  random_teams (r, r->m.teams);
  for (i = 0; i < PM_TEAMS; i++)
    r->m.teams[i].given.guarantee_count = 0;
  point_teams (r->m.teams, given);
  place_configure (r->place, given, PM_TEAMS);
  for (i = 0; i < 5; i++)
    step_configure (r);
}

static void
teardown (struct run *r)
{
  place_free (r->place);
  g_hash_table_destroy (r->m.by_id);
  g_ptr_array_free (r->m.jobs, TRUE);
}

/* ===== Steps ================================================== */

static bool
can_ever_run (struct run *r, const struct pm_job *job)
{
  if (r->policy == &place_policy_guarantee)
    return pm_can_ever_run (&r->m, job->team, &job->given);
  return pm_can_run_unguarded (&r->m, job->team, &job->given);
}

static struct pm_job *
new_job (struct run *r, int team)
{
  struct pm_job *job = g_new0 (struct pm_job, 1);

  g_snprintf (job->id, sizeof job->id, "j%u", r->next_id++);
  job->team = team;
  job->given.id = job->id;
  job->given.team = r->m.teams[team].name;
  job->given.submitted_ms = r->now_ms;
  job->given.repeatable = true;
  return job;
}

static bool
submit (struct run *r, struct pm_job *job)
{
  char text[PLACE_TEXT_SIZE_BYTES];
  int error = place_submit (r->place, &job->given, text);
  bool can = can_ever_run (r, job);

  SAY (r, "submit %s %s %ux(%u,%u,%u) span %d%s%s%s%s: %d %s\n", job->id,
       job->given.team, job->given.shape.tasks,
       job->given.shape.task.accelerators, job->given.shape.task.cpus_milli,
       job->given.shape.task.memory_mb, job->given.shape.span,
       job->given.data_centre == NULL ? "" : " in c1",
       job->given.checkpointable ? " checkpointable" : "",
       job->given.repeatable ? " repeatable" : "",
       job->given.urgent ? " urgent" : "", error, text);
  if (error == PLACE_OK && !can)
    pm_fail (&r->m, "%s was accepted but can never run", job->id);
  else if (error == PLACE_ERR_NEVER && can)
    pm_fail (&r->m, "%s was refused but fits: %s", job->id, text);
  else if (error != PLACE_OK && error != PLACE_ERR_NEVER)
    pm_fail (&r->m, "%s: %s", job->id, place_strerror (error));
  if (error != PLACE_OK)
    {
      g_free (job);
      return false;
    }
  g_ptr_array_add (r->m.jobs, job);
  g_hash_table_insert (r->m.by_id, job->id, job);
  return true;
}

static void
step_submit (struct run *r)
{
  static const char *const KINDS[] = { "fit", "check", "batch" };
  struct pm_job *job;

  if (r->m.jobs->len >= JOB_LIMIT)
    return;
  job = new_job (r, (int)below (r, PM_TEAMS));
  random_shape (r, &job->given.shape);
  if (below (r, 40) == 0)
    job->given.shape.tasks += below (r, 300);
  job->given.kind = KINDS[below (r, 3)];
  job->given.urgent = below (r, 10) == 0;
  job->given.checkpointable = below (r, 4) > 0;
  job->given.repeatable = below (r, 5) > 0;
  job->given.declared_run_ms = 1000 * (uint64_t)below (r, 600);
  job->given.data_centre = below (r, 8) == 0 ? "c1" : NULL;
  job->bad = below (r, 20) == 0;
  submit (r, job);
}

static void
end (struct run *r, struct pm_job *job, enum place_end how, int worker)
{
  struct place_ended ended
      = { .job = job->id,
          .end = how,
          .worker = worker < 0 ? NULL : r->m.workers[worker].name,
          .ran_ms = (uint64_t)(r->now_ms - job->started_ms),
          .again = how != PLACE_END_OK && how != PLACE_END_CANCELLED };

  SAY (r, "end %s: %d on %d\n", job->id, how, worker);
  pm_give (&r->m, job);
  job->state = PM_QUEUED;
  if (place_ended (r->place, &ended) != PLACE_OK)
    pm_fail (&r->m, "the end of %s was not taken", job->id);
  if (!ended.again || job->cancelled)
    pm_forget (&r->m, job);
}

/* The first of a job's workers that is bad, or -1.  */
static int
bad_worker (const struct run *r, const struct pm_job *job)
{
  uint32_t i;

  for (i = 0; i < job->given.shape.tasks; i++)
    if (r->m.workers[job->workers[i]].bad)
      return job->workers[i];
  return -1;
}

static void
step_end (struct run *r)
{
  struct pm_job *job = random_job (r, PM_RUNNING);
  int bad;

  if (job == NULL)
    return;
  bad = bad_worker (r, job);
  if (bad >= 0)
    end (r, job, PLACE_END_FAILED, bad);
  else if (job->bad || below (r, 12) == 0)
    end (r, job, PLACE_END_FAILED, job->workers[0]);
  else if (below (r, 20) == 0)
    end (r, job, PLACE_END_NOT_STARTED, job->workers[0]);
  else
    end (r, job, PLACE_END_OK, -1);
}

static void
step_stopped (struct run *r)
{
  struct pm_job *job = random_job (r, PM_EVICTING);

  if (job != NULL)
    end (r, job, PLACE_END_EVICTED, -1);
}

static bool
on_worker (const struct pm_job *job, int worker)
{
  uint32_t i;

  for (i = 0; i < job->given.shape.tasks; i++)
    if (job->workers[i] == worker)
      return true;
  return false;
}

/* Ends what runs on workers that are down.  */
static void
step_lost (struct run *r)
{
  guint i;
  int w;

  for (w = 0; w < PM_ALL_WORKERS; w++)
    for (i = r->m.jobs->len; i-- > 0 && !r->m.workers[w].up;)
      {
        struct pm_job *job = r->m.jobs->pdata[i];

        if (job->state != PM_QUEUED && on_worker (job, w))
          end (r, job, PLACE_END_LOST, w);
      }
}

static void
cancel (struct run *r, struct pm_job *job)
{
  SAY (r, "cancel %s\n", job->id);
  if (place_cancel (r->place, job->id) != PLACE_OK)
    pm_fail (&r->m, "%s could not be cancelled", job->id);
  if (job->state == PM_QUEUED)
    pm_forget (&r->m, job);
  else
    job->cancelled = true;
}

static void
step_cancel (struct run *r)
{
  struct pm_job *job
      = random_job (r, below (r, 3) == 0 ? PM_RUNNING : PM_QUEUED);

  if (job != NULL)
    cancel (r, job);
}

static void
step_cancel_wave (struct run *r)
{
  int team = (int)below (r, PM_TEAMS);
  guint i;

  for (i = r->m.jobs->len; i-- > 0;)
    {
      struct pm_job *job = r->m.jobs->pdata[i];

      if (job->team == team && job->state == PM_QUEUED)
        cancel (r, job);
    }
}

static void
step_worker_down (struct run *r)
{
  int i = (int)below (r, PM_ALL_WORKERS);
  bool rack = below (r, 6) == 0;
  int w;

  for (w = 0; w < PM_ALL_WORKERS; w++)
    if (w == i
        || (rack
            && r->m.workers[w].rack_number == r->m.workers[i].rack_number))
      {
        SAY (r, "down w%d\n", w);
        r->m.workers[w].up = false;
        place_worker_down (r->place, r->m.workers[w].name);
      }
}

static void
step_worker_up (struct run *r)
{
  int start = (int)below (r, PM_ALL_WORKERS);
  int i;

  for (i = 0; i < PM_ALL_WORKERS; i++)
    {
      int w = (start + i) % PM_ALL_WORKERS;

      if (r->m.workers[w].up)
        continue;
      SAY (r, "up w%d\n", w);
      worker_up (r, w);
      return;
    }
}

static void
step_pause (struct run *r)
{
  int team = (int)below (r, PM_TEAMS + 1);
  bool *paused = team == PM_TEAMS ? &r->paused_all : &r->paused[team];

  *paused = !*paused && below (r, 3) == 0;
  SAY (r, "pause %d: %d\n", team, *paused);
  place_pause (r->place, team == PM_TEAMS ? NULL : r->m.teams[team].name,
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

/* Another planner takes over: it learns all from the outside.  */
static void
step_restart (struct run *r)
{
  struct place_assignment block[PLACE_TASK_LIMIT];
  struct place_team given[PM_TEAMS];
  char text[PLACE_TEXT_SIZE_BYTES];
  guint i;
  uint32_t t;
  int w;

  SAY (r, "restart\n");
  place_free (r->place);
  create_place (r);
  memset (r->paused, 0, sizeof r->paused);
  r->paused_all = false;
  point_teams (r->m.teams, given);
  place_configure (r->place, given, PM_TEAMS);
  for (w = 0; w < PM_ALL_WORKERS; w++)
    {
      r->m.workers[w].quarantined = false;
      if (r->m.workers[w].up)
        worker_up (r, w);
      else
        {
          worker_up (r, w);
          r->m.workers[w].up = false;
          place_worker_down (r->place, r->m.workers[w].name);
        }
    }
  for (i = 0; i < r->m.jobs->len; i++)
    {
      struct pm_job *job = r->m.jobs->pdata[i];
      int error;

      for (t = 0; t < job->given.shape.tasks && job->state != PM_QUEUED; t++)
        block[t]
            = (struct place_assignment){ .task = t,
                                         .worker
                                         = r->m.workers[job->workers[t]].name,
                                         .accelerators = job->bits[t] };
      if (job->state == PM_QUEUED)
        error = place_submit (r->place, &job->given, text);
      else
        error = place_restore (r->place, &job->given, block,
                               job->given.shape.tasks, job->started_ms);
      if (job->state == PM_EVICTING) /* the new planner does not know */
        job->state = PM_RUNNING;
      if (error != PLACE_OK)
        pm_fail (&r->m, "%s was not restored: %d", job->id, error);
      if (job->cancelled)
        place_cancel (r->place, job->id);
    }
}

/* ===== All teams ask for what they are guaranteed ============= */

/* Submits one job for each guarantee that is unused and not told unmet.  */
static void
demand_all (struct run *r, GPtrArray *demanded)
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

          if (unit->jobs > 0 || unit->told_unmet || unit->waiter != NULL
              || r->paused[number])
            continue;
          job = new_job (r, number);
          job->given.shape = unit->shape;
          job->given.urgent = true;
          if (submit (r, job))
            g_ptr_array_add (demanded, job->id);
        }
    }
}

static void
stop_evicted (struct run *r)
{
  guint i;

  for (i = r->m.jobs->len; i-- > 0;)
    {
      struct pm_job *job = r->m.jobs->pdata[i];

      if (job->state == PM_RUNNING && job->cancelled)
        end (r, job, PLACE_END_CANCELLED, -1);
      else if (job->state == PM_EVICTING)
        end (r, job, PLACE_END_EVICTED, -1);
    }
}

static void
step_demand (struct run *r)
{
  g_autoptr (GPtrArray) demanded = g_ptr_array_new ();
  guint i;

  if (r->paused_all || r->policy != &place_policy_guarantee)
    return;
  decide (r);
  if (r->m.error[0] != '\0')
    return;
  SAY (r, "demand all\n");
  demand_all (r, demanded);
  decide (r);
  stop_evicted (r);
  decide (r);
  for (i = 0; i < demanded->len; i++)
    {
      const char *id = demanded->pdata[i];
      struct pm_job *job = g_hash_table_lookup (r->m.by_id, id);

      demands_met++;
      if (job != NULL && job->state == PM_QUEUED)
        pm_fail (&r->m, "%s is guaranteed but did not start", id);
      else if (job != NULL && below (r, 2) == 0)
        end (r, job, PLACE_END_OK, -1);
    }
}

/* ===== Runs =================================================== */

struct step
{
  uint32_t weight;
  void (*run) (struct run *r);
};

static const struct step STEP_KINDS[] = {
  { 40, step_submit },   { 30, step_end },        { 12, step_stopped },
  { 6, step_cancel },    { 1, step_cancel_wave }, { 3, step_worker_down },
  { 5, step_worker_up }, { 4, step_lost },        { 2, step_configure },
  { 2, step_pause },     { 6, step_usage },       { 1, step_restart },
  { 2, step_demand },
};

static void
one_step (struct run *r, uint64_t seed, int number)
{
  uint32_t total = 0;
  uint32_t at;
  size_t i;

  r->random = seed * 1000003 + (uint64_t)number;
  r->now_ms += below (r, STEP_LIMIT_MS);
  for (i = 0; i < G_N_ELEMENTS (STEP_KINDS); i++)
    total += STEP_KINDS[i].weight;
  at = below (r, total);
  for (i = 0; at >= STEP_KINDS[i].weight; i++)
    at -= STEP_KINDS[i].weight;
  SAY (r, "%d: ", number);
  STEP_KINDS[i].run (r);
  SAY (r, "\n");
  if (r->m.error[0] == '\0')
    decide (r);
}

/* All is well again: every job that was accepted runs.  */
static void
drain (struct run *r)
{
  int round;
  int i;

  SAY (r, "drain\n");
  for (i = 0; i < PM_ALL_WORKERS; i++)
    {
      r->m.workers[i].bad = false;
      worker_up (r, i);
    }
  place_pause (r->place, NULL, false);
  for (i = 0; i < PM_TEAMS; i++)
    place_pause (r->place, r->m.teams[i].name, false);
  for (round = 0; r->m.jobs->len > 0 && round < DRAIN_ROUNDS; round++)
    {
      struct pm_job *job;

      r->now_ms += QUARANTINE_MS / 10;
      decide (r);
      if (r->m.error[0] != '\0')
        return;
      stop_evicted (r);
      job = random_job (r, PM_RUNNING);
      if (job != NULL)
        end (r, job, PLACE_END_OK, -1);
    }
  if (r->m.jobs->len > 0)
    {
      struct pm_job *job = r->m.jobs->pdata[0];
      char text[PLACE_TEXT_SIZE_BYTES] = "";

      place_explain (r->place, job->id, text);
      pm_fail (&r->m, "%s never ran: %s", job->id, text);
    }
}

/* Returns the number of steps done; all of them if the run went well.  */
static int
run_steps (uint64_t seed, const bool *left_out, int steps, bool trace,
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
      return done; /* what it held is lost */
    }
  while (done < steps && run.m.error[0] == '\0')
    {
      if (!left_out[done])
        one_step (&run, seed, done);
      done++;
    }
  if (run.m.error[0] == '\0')
    drain (&run);
  g_strlcpy (error, run.m.error, PM_TEXT_SIZE_BYTES);
  teardown (&run);
  return done;
}

/* Leaves out steps as long as the run still fails, and prints the rest.  */
static void
shorten (uint64_t seed, int steps)
{
  bool left_out[STEPS] = { false };
  char error[PM_TEXT_SIZE_BYTES];
  int runs = 0;
  int size;
  int at;

  for (size = steps / 2; size > 0; size /= 2)
    for (at = 0; at < steps && runs < SHORTEN_RUNS; at += size)
      {
        bool before[STEPS];

        memcpy (before, left_out, sizeof before);
        memset (left_out + at, true, (size_t)MIN (size, steps - at));
        runs++;
        run_steps (seed, left_out, steps, false, error);
        if (error[0] == '\0')
          memcpy (left_out, before, sizeof before);
      }
  run_steps (seed, left_out, steps, true, error);
  printf ("shortened: %s\n", error);
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
  static const bool NONE[STEPS];
  char error[PM_TEXT_SIZE_BYTES];
  int done = run_steps (seed, NONE, STEPS, false, error);

  if (error[0] == '\0')
    return true;
  printf ("seed %lu, step %d: %s\n", (unsigned long)seed, done, error);
  shorten (seed, done);
  return false;
}

static void
test_random_runs (void)
{
  const char *given = getenv ("PLACE_SEED");
  const char *seeds = getenv ("PLACE_SEEDS");
  uint64_t limit = seeds == NULL ? SEEDS : strtoull (seeds, NULL, 10);
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
  printf ("%lu steps, %lu guarantees demanded and met; commands:",
          (unsigned long)limit * STEPS, (unsigned long)demands_met);
  for (kind = PLACE_START; kind <= PLACE_MET; kind++)
    {
      printf (" %lu", (unsigned long)seen[kind]);
      CU_ASSERT_TRUE (seen[kind] > 0);
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
