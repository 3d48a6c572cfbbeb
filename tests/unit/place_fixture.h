/* Test fixture: a placement core with workers of 8 accelerators and a clock
   that the test sets (now_ms).  Each pf_decide () also checks the invariants.
   Prefix: pf_.  */

#ifndef FT_PLACE_FIXTURE_H
#define FT_PLACE_FIXTURE_H

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "place/place.h"

enum
{
  PF_ACCELERATORS = 8,
  PF_CPUS_MILLI = 64000,
  PF_MEMORY_MB = 128000,
  PF_GRACE_MS = 5000,
  PF_QUARANTINE_MS = 60000
};

struct pf
{
  struct place *place;
  int64_t now_ms;
  const struct place_command *commands; /* of the last pf_decide () */
  int command_count;
  char text[PLACE_TEXT_SIZE_BYTES]; /* of the last call that gives a text */
};

static int64_t
pf_now (void *ctx)
{
  return ((struct pf *)ctx)->now_ms;
}

/* Reports worker w<rack>-<number> of rack r<rack> as up.  */
static inline void
pf_worker (struct pf *f, int rack, int number)
{
  char name[32];
  char rack_name[32];
  struct place_worker worker
      = { .name = name,
          .rack = rack_name,
          .data_centre = "bole",
          .capacity = { PF_CPUS_MILLI, PF_MEMORY_MB, PF_ACCELERATORS } };

  snprintf (name, sizeof name, "w%d-%d", rack, number);
  snprintf (rack_name, sizeof rack_name, "r%d", rack);
  CU_ASSERT_EQUAL_FATAL (place_worker_up (f->place, &worker), PLACE_OK);
}

/* Sets up WORKERS workers in each of RACKS racks; a worker is
   quarantined after failures of FAILURES different jobs.  */
static inline void
pf_setup_failures (struct pf *f, const struct place_policy *policy,
                   int workers, int racks, uint32_t failures)
{
  struct place_params params = { .policy = policy,
                                 .checkpoint_grace_ms = PF_GRACE_MS,
                                 .attempt_limit = 3,
                                 .quarantine_failures = failures,
                                 .quarantine_ms = PF_QUARANTINE_MS,
                                 .now_ms = pf_now,
                                 .ctx = f };
  int rack;
  int number;

  memset (f, 0, sizeof *f);
  CU_ASSERT_EQUAL_FATAL (place_create (&f->place, &params), PLACE_OK);
  for (rack = 0; rack < racks; rack++)
    for (number = 0; number < workers; number++)
      pf_worker (f, rack, number);
}

static inline void
pf_setup (struct pf *f, const struct place_policy *policy, int workers,
          int racks)
{
  pf_setup_failures (f, policy, workers, racks, 3);
}

static inline void
pf_teardown (struct pf *f)
{
  CU_ASSERT_EQUAL (place_check (f->place, f->text), PLACE_OK);
  place_free (f->place);
}

static inline void
pf_teams (struct pf *f, const struct place_team *teams, size_t count)
{
  CU_ASSERT_EQUAL_FATAL (place_configure (f->place, teams, count), PLACE_OK);
}

/* A job of TASKS tasks with ACCELERATORS each, that can be evicted and so may
   borrow.  */
static inline struct place_job
pf_job (const char *id, const char *team, uint32_t tasks,
        uint32_t accelerators)
{
  struct place_job job = { .id = id,
                           .team = team,
                           .kind = "fit",
                           .checkpointable = true,
                           .repeatable = true,
                           .declared_run_ms = 3600000,
                           .shape = { .tasks = tasks } };

  job.shape.task.accelerators = accelerators;
  return job;
}

/* Submits a job and returns the place_error; the reason is in F->text.  */
static inline int
pf_submit_error (struct pf *f, const char *id, const char *team,
                 uint32_t tasks, uint32_t accelerators)
{
  struct place_job job = pf_job (id, team, tasks, accelerators);

  job.submitted_ms = f->now_ms;
  return place_submit (f->place, &job, f->text);
}

static inline void
pf_submit (struct pf *f, const char *id, const char *team, uint32_t tasks,
           uint32_t accelerators)
{
  CU_ASSERT_EQUAL_FATAL (pf_submit_error (f, id, team, tasks, accelerators),
                         PLACE_OK);
}

static inline void
pf_decide (struct pf *f)
{
  f->command_count = place_decide (f->place, &f->commands);
  CU_ASSERT_TRUE (f->command_count >= 0);
  if (place_check (f->place, f->text) != PLACE_OK)
    CU_FAIL (f->text);
}

/* The command of KIND about the job, worker or team NAME in the last round, or
   NULL.  */
static inline const struct place_command *
pf_find (const struct pf *f, enum place_command_kind kind, const char *name)
{
  int i;

  for (i = 0; i < f->command_count; i++)
    {
      const struct place_command *command = &f->commands[i];
      const char *about = command->job;

      if (command->kind != kind)
        continue;
      if (about == NULL)
        about = command->worker == NULL ? command->team : command->worker;
      if (strcmp (about, name) == 0)
        return command;
    }
  return NULL;
}

static inline bool
pf_has_command (const struct pf *f, enum place_command_kind kind,
                const char *name)
{
  return pf_find (f, kind, name) != NULL;
}

static inline bool
pf_started (const struct pf *f, const char *job)
{
  return pf_has_command (f, PLACE_START, job);
}

/* Reports the end of an attempt; AGAIN: the job is to be queued again.  */
static inline void
pf_end (struct pf *f, const char *job, enum place_outcome end,
        const char *worker, bool again)
{
  struct place_ended ended = {
    .job = job, .outcome = end, .failed_worker = worker, .requeue = again
  };

  CU_ASSERT_EQUAL (place_ended (f->place, &ended), PLACE_OK);
}

#endif
