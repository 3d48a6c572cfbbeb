/* Placement core: decides which job runs on which workers, and when.

   The core does no I/O, has no clock of its own and no global state.  The
   caller reports events (a submitted job, a lost worker, the end of an
   attempt), then calls place_decide () for the commands of one planning
   round, carries them out and reports their outcomes as further events.  An
   object must not be used by two threads at a time.  Names and ids are
   NUL-terminated strings; times in milliseconds are on the clock of
   place_params.now_ms.  Prefix: place_.  */

#ifndef FT_PLACE_H
#define FT_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ===== Data =================================================== */

enum
{
  PLACE_TASK_LIMIT = 256,       /* tasks of one gang */
  PLACE_ACCELERATOR_LIMIT = 64, /* of one worker: one bit each in a uint64_t */
  PLACE_TEXT_SIZE_BYTES = 256   /* buffer of a reason, with its NUL */
};

enum place_error
{
  PLACE_OK = 0,
  PLACE_ERR_MEMORY = -1,
  PLACE_ERR_UNKNOWN = -2,    /* no such job, team or worker */
  PLACE_ERR_EXISTS = -3,     /* there is a job of this id already */
  PLACE_ERR_INFEASIBLE = -4, /* the job can never run; a text says why */
  PLACE_ERR_CONFLICT = -5,   /* guarantees cannot all be met together */
  PLACE_ERR_INVALID = -6, /* a value is out of range, or the state is wrong */
};

/* The largest part of the cluster over which the tasks of one shape may be
   spread.  A greater value is a stricter limit.  */
enum place_span
{
  PLACE_SPAN_ANY = 0,
  PLACE_SPAN_DATA_CENTRE = 1,
  PLACE_SPAN_RACK = 2,
  PLACE_SPAN_WORKER = 3
};

struct place_resources
{
  uint32_t cpus_milli; /* thousandths of a CPU */
  uint32_t memory_mb;
  uint32_t accelerators;
};

/* A number of equal tasks that start together (a gang if more than one).
   All resources of one task are on one worker.  */
struct place_shape
{
  uint32_t tasks;
  struct place_resources task; /* of each task */
  enum place_span span;
};

/* Resources that a team gets whenever it asks for them: if other teams have
   borrowed them, their work is evicted.  */
struct place_guarantee
{
  struct place_shape shape;
  uint32_t count; /* shapes that the team may use at the same time */
};

struct place_team
{
  const char *name;
  /* Divides the team's share when teams are compared: with twice the weight
     a team gets twice the share.  The share is that of the resource of which
     the team uses the greatest part of the cluster.  0 counts as 1.  */
  uint32_t weight;
  bool may_borrow; /* may use free resources outside its guarantees */
  struct place_resources quota; /* limit for its running jobs; 0: no limit */
  const struct place_guarantee *guarantees;
  size_t guarantee_count;
};

struct place_worker
{
  const char *name;
  const char *rack;
  const char *data_centre;
  struct place_resources capacity;
};

struct place_job
{
  const char *id;
  const char *team;
  const char *kind; /* run times are learnt per team and kind; may be NULL */
  const char *data_centre; /* NULL or "": any */
  struct place_shape shape;
  uint64_t declared_run_ms; /* 0: not declared */
  int64_t submitted_ms;
  uint64_t progress_ms; /* run time checkpointed by earlier attempts */
  /* Attempts made so far.  The core adds 1 for each that fails, is lost or
     does not start, but not for one that is evicted.  */
  uint32_t attempt;
  bool urgent; /* is tried before jobs that are not */
  /* Only a job with both of the next two fields set can be evicted, and thus
     may borrow.  */
  bool checkpointable; /* can be stopped and continued later */
  bool repeatable;     /* may be started again after it was started */
};

/* The worker and the accelerators of one task of a job.  */
struct place_assignment
{
  uint32_t task; /* index in the job, from 0 */
  const char *worker;
  uint64_t accelerators; /* bit i: accelerator i of the worker */
};

/* What the caller is to do, or to report to operators.  Names in capitals
   are fields of struct place_command.  Each command about a job has its TEAM
   too; fields that a kind does not use are NULL or 0.  */
enum place_command_kind
{
  /* Lease the workers of ASSIGNMENTS, record the start, start JOB there.  */
  PLACE_START = 1,
  /* Checkpoint and stop JOB within GRACE_MS, then report place_ended () with
     .requeue set.  */
  PLACE_EVICT = 2,
  /* The queued JOB can never run any more, for REASON; the core has removed
     it.  */
  PLACE_REFUSE = 3,
  /* JOB is not started again, for REASON: too many failures or attempts, or
     it is not repeatable; the core has removed it.  */
  PLACE_GIVE_UP = 4,
  PLACE_QUARANTINE = 5, /* WORKER gets no new work, for REASON */
  PLACE_LIFT_QUARANTINE
  = 6, /* WORKER gets work again: one job at a time as a probe, or, if it is
            healthy again, without this limit; REASON says which */
  PLACE_GUARANTEE_UNMET
  = 7,                    /* a guarantee of TEAM cannot be met now: REASON */
  PLACE_GUARANTEE_MET = 8 /* a guarantee of TEAM can be met again: REASON */
};

/* One command of a planning round.  All texts and the assignments belong to
   the core and are valid until the next call of place_decide ().  */
struct place_command
{
  enum place_command_kind kind;
  const char *job;
  const char *team;
  const char *worker;
  const struct place_assignment *assignments;
  size_t assignment_count;
  uint32_t grace_ms;   /* PLACE_EVICT: time to write a checkpoint */
  const char *for_job; /* PLACE_EVICT: job that needs the resources, or NULL */
  const char *reason;
};

/* Outcome of one attempt.  FAILED_WORKER is a field of struct place_ended.  */
enum place_outcome
{
  PLACE_OUTCOME_SUCCEEDED = 0,
  PLACE_OUTCOME_FAILED = 1, /* a task of the job failed on FAILED_WORKER */
  PLACE_OUTCOME_LOST = 2,   /* a worker was lost, or its lease lapsed */
  PLACE_OUTCOME_NOT_STARTED
  = 3, /* FAILED_WORKER granted no lease or started no task */
  PLACE_OUTCOME_EVICTED = 4,  /* stopped after PLACE_EVICT */
  PLACE_OUTCOME_CANCELLED = 5 /* stopped for its user */
};

/* The end of one attempt, as the caller reports it.  */
struct place_ended
{
  const char *job;
  enum place_outcome outcome;
  /* The worker at fault, or NULL.  Used for PLACE_OUTCOME_FAILED and
     PLACE_OUTCOME_NOT_STARTED only: the failure counts against it, and a
     failed task counts against the job too until the worker is quarantined.
     */
  const char *failed_worker;
  uint64_t ran_ms;      /* of this attempt */
  uint64_t progress_ms; /* run time checkpointed by all attempts */
  bool requeue; /* queue the job again; ignored for PLACE_OUTCOME_SUCCEEDED and
                 for cancelled jobs */
};

struct place_stats
{
  uint32_t queued;                /* jobs without a start: also those that were
                                     queued again or wait for evictions */
  uint32_t running;               /* jobs, also those that are being stopped */
  uint32_t accelerators;          /* of all workers that are up */
  uint32_t accelerators_free;     /* of healthy workers that are up */
  uint32_t accelerators_borrowed; /* used outside guarantees */
  /* Of all racks the largest number of accelerators on workers of which no
     accelerator is in use.  */
  uint32_t largest_block;
  /* The part of the free accelerators that are on workers in partial use,
     where no shape of whole workers fits: 0 to 1.  */
  double fragmentation;
};

/* ===== Contexts =============================================== */

/* The placement core; opaque.  */
struct place;

/* The order in which queued jobs are tried, whether a later job may start
   before an earlier one that does not fit, and whether guarantees apply.  */
struct place_policy;

/* Order of arrival; a job that does not fit is skipped.  */
extern const struct place_policy place_policy_first_fit;
/* Order of arrival; no job starts before an earlier one that does not fit.  */
extern const struct place_policy place_policy_strict;
/* Guarantees with eviction of borrowed work; urgent jobs first, then the
   job of the lowest rank: its team's weighted share minus (time that the job
   has waited) / (10 minutes); reservations with backfill for jobs that do not
   fit.  */
extern const struct place_policy place_policy_guarantee;

struct place_params
{
  const struct place_policy *policy; /* required */
  uint32_t checkpoint_grace_ms;      /* grace_ms of PLACE_EVICT */
  /* A job is given up once this many of its failures count against it (on
     different workers, none of them quarantined since), or once
     place_job.attempt has reached 4 * attempt_limit.  0: no limit.  */
  uint32_t attempt_limit;
  /* Failures of different jobs, with no success between them, that quarantine
     a worker; clamped to the range of 1 to 3.  */
  uint32_t quarantine_failures;
  uint32_t quarantine_ms;         /* before the first probe; doubled after each
                                     further quarantine */
  int64_t (*now_ms) (void *ctx);  /* monotonic clock; required */
  uint32_t (*random) (void *ctx); /* no policy calls it; may be NULL */
  void *ctx;                      /* passed to both functions */
};

/*! place_create () :
 *  @return : PLACE_OK with *out set, owned by the caller; or a place_error. */
int place_create (struct place **out, const struct place_params *params);

/*! place_free () :
 *  Accepts NULL. */
void place_free (struct place *place);

/* ===== Events ================================================= */
/* All names and structures are copied.  Events change the state; only
   place_decide () makes decisions.  Unless stated otherwise a function returns
   PLACE_OK, or PLACE_ERR_UNKNOWN for a name that the core does not know, or
   PLACE_ERR_INVALID for a value out of range or a job in the wrong state.  */

/*! place_configure () :
 *  Replaces the teams.  Queued jobs of a team that is not in TEAMS are refused
 *  by the next round.  Guarantees that cannot be met together are accepted all
 *  the same, because a restart must not lose a team; to test them beforehand,
 *  call place_check_guarantees (). */
int place_configure (struct place *place, const struct place_team *teams,
                     size_t team_count);

/*! place_check_guarantees () :
 *  Whether all guarantees of TEAMS can be placed together on WORKERS.
 *  @text : for PLACE_ERR_CONFLICT, which guarantees conflict.
 *  @return : PLACE_OK, PLACE_ERR_CONFLICT, or another place_error. */
int place_check_guarantees (const struct place_team *teams, size_t team_count,
                            const struct place_worker *workers,
                            size_t worker_count,
                            char text[PLACE_TEXT_SIZE_BYTES]);

/*! place_worker_up (), place_worker_down () :
 *  place_worker_up () adds a worker, or updates the rack, data centre and
 *  capacity of a known one, and permits new work there.  place_worker_down ()
 *  forbids new work on a worker that is lost, leaving or drained; jobs there
 *  keep their resources until place_ended () is reported for them. */
int place_worker_up (struct place *place, const struct place_worker *worker);
int place_worker_down (struct place *place, const char *name);

/*! place_submit () :
 *  Queues a job.
 *  @text : for PLACE_ERR_INFEASIBLE and PLACE_ERR_UNKNOWN the reason, and
 * where the shape is the reason the nearest shape that could run; else "".
 *  @return : PLACE_OK; PLACE_ERR_UNKNOWN for an unknown team;
 * PLACE_ERR_INFEASIBLE if the job can never run; or another place_error. */
int place_submit (struct place *place, const struct place_job *job,
                  char text[PLACE_TEXT_SIZE_BYTES]);

/*! place_restore () :
 *  Adds a job that runs on ASSIGNMENTS already, for a planner that has just
 *  taken over.  Its team and workers need not be known yet.
 *  @assignments : one for each task of the job, in the order of the tasks.
 *  @return : PLACE_OK; PLACE_ERR_EXISTS; or PLACE_ERR_INVALID if an
 *            accelerator is in use already or their number is not that of the
 *            shape. */
int place_restore (struct place *place, const struct place_job *job,
                   const struct place_assignment *assignments,
                   size_t assignment_count, int64_t started_ms);

/*! place_cancel () :
 *  Removes a job that has not started.  If the job runs, no
 *  PLACE_EVICT is issued: the caller stops it and reports place_ended (). */
int place_cancel (struct place *place, const char *job);

/*! place_ended () :
 *  An attempt has ended and its resources are free again.  The job is removed
 *  or queued again, see struct place_ended; if it is given up, the next round
 *  has a PLACE_GIVE_UP for it. */
int place_ended (struct place *place, const struct place_ended *ended);

/*! place_usage () :
 *  Reports run time and checkpointed progress of a running job.  Reports may
 *  come late or out of order: a smaller value than before is ignored. */
int place_usage (struct place *place, const char *job, uint64_t ran_ms,
                 uint64_t progress_ms);

/*! place_pause () :
 *  Stops new starts of a team if PAUSED is true, else resumes them; of all
 *  teams if TEAM is NULL.  Running jobs go on. */
int place_pause (struct place *place, const char *team, bool paused);

/* ===== Decisions ============================================== */

/*! place_decide () :
 *  Runs one planning round over all events since the last one.
 *  @commands : owned by PLACE, valid until the next call of place_decide ().
 *  @return : the number of commands, or a place_error. */
int place_decide (struct place *place, const struct place_command **commands);

/*! place_next_ms () :
 *  @return : when the next round is due if there is no further event, on the
 *            clock of place_params.now_ms; INT64_MAX for never. */
int64_t place_next_ms (const struct place *place);

/*! place_explain () :
 *  Says why a job waits, or where it runs and whether within a guarantee. */
int place_explain (const struct place *place, const char *job,
                   char text[PLACE_TEXT_SIZE_BYTES]);

/*! place_stats () :
 *  Fills all fields of *stats. */
void place_stats (const struct place *place, struct place_stats *stats);

/*! place_check () :
 *  Checks all invariants; for tests and debugging.
 *  @return : PLACE_OK, or PLACE_ERR_INVALID with the first violated invariant
 *            in TEXT. */
int place_check (const struct place *place, char text[PLACE_TEXT_SIZE_BYTES]);

/*! place_strerror () :
 *  @return : a constant text for a place_error. */
const char *place_strerror (int error);

#endif
