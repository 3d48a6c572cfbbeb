/* Placement core: decides which job runs where.  Pure: no I/O, no clock of
   its own, no globals.  The caller reports events, then asks for the commands
   of one planning round.  Prefix: place_.  */

#ifndef FT_PLACE_H
#define FT_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ===== Data =================================================== */

enum
{
  PLACE_TASK_LIMIT = 256,       /* tasks of one gang */
  PLACE_ACCELERATOR_LIMIT = 64, /* accelerators of one worker */
  PLACE_TEXT_SIZE_BYTES = 256   /* reasons and explanations */
};

enum place_error
{
  PLACE_OK = 0,
  PLACE_ERR_MEMORY = -1,
  PLACE_ERR_UNKNOWN = -2, /* no such job, team or worker */
  PLACE_ERR_EXISTS = -3,  /* the job is known already */
  PLACE_ERR_NEVER = -4,   /* the job can never run, see the reason */
  PLACE_ERR_CLASH = -5,   /* guarantees cannot all be met together */
  PLACE_ERR_INVALID = -6, /* a value is out of its bounds */
};

/* How far apart the tasks of one shape may be.  */
enum place_span
{
  PLACE_SPAN_ANY = 0,
  PLACE_SPAN_DATA_CENTRE = 1,
  PLACE_SPAN_RACK = 2,
  PLACE_SPAN_WORKER = 3
};

struct place_resources
{
  uint32_t cpus_milli;
  uint32_t memory_mb;
  uint32_t accelerators;
};

/* TASKS equal tasks; the accelerators of one task are on one worker.  */
struct place_shape
{
  uint32_t tasks;
  struct place_resources task;
  enum place_span span;
};

struct place_guarantee
{
  struct place_shape shape;
  uint32_t count; /* how many of the shape at once */
};

struct place_team
{
  const char *name;
  uint32_t weight; /* share of what is borrowed, from 1 */
  bool may_borrow;
  struct place_resources quota; /* in whole; 0: no limit */
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
  const char *kind;
  const char *data_centre; /* NULL or "": any */
  struct place_shape shape;
  uint64_t declared_run_ms; /* 0: not declared */
  int64_t submitted_ms;
  uint64_t progress_ms; /* checkpointed by earlier attempts */
  uint32_t attempt;     /* attempts made so far */
  bool urgent;
  bool checkpointable;
  bool repeatable;
};

struct place_assignment
{
  uint32_t task;
  const char *worker;
  uint64_t accelerators; /* bit i: accelerator i of the worker */
};

enum place_command_kind
{
  PLACE_START = 1,      /* lease, record and start JOB on ASSIGNMENTS */
  PLACE_EVICT = 2,      /* checkpoint and stop JOB, queue it again */
  PLACE_REFUSE = 3,     /* JOB can never run any more: REASON */
  PLACE_GIVE_UP = 4,    /* JOB failed on different good workers: REASON */
  PLACE_QUARANTINE = 5, /* WORKER gets nothing new: REASON */
  PLACE_RELEASE = 6,    /* WORKER is probed or trusted again */
  PLACE_UNMET = 7,      /* a guarantee of TEAM cannot be met now: REASON */
  PLACE_MET = 8         /* ... can be met again */
};

struct place_command
{
  enum place_command_kind kind;
  const char *job;
  const char *team;
  const char *worker;
  const struct place_assignment *assignments;
  size_t assignment_count;
  uint32_t grace_ms;   /* PLACE_EVICT */
  const char *for_job; /* PLACE_EVICT: who needs the room, or NULL */
  const char *reason;
};

/* How one attempt ended.  */
enum place_end
{
  PLACE_END_OK = 0,
  PLACE_END_FAILED = 1,      /* a task of it failed on WORKER */
  PLACE_END_LOST = 2,        /* WORKER was lost, or its lease lapsed */
  PLACE_END_NOT_STARTED = 3, /* WORKER granted no lease or did not start */
  PLACE_END_EVICTED = 4,
  PLACE_END_CANCELLED = 5
};

struct place_ended
{
  const char *job;
  enum place_end end;
  const char *worker;   /* whose fault it was, or NULL */
  uint64_t ran_ms;      /* of this attempt */
  uint64_t progress_ms; /* checkpointed so far */
  bool again;           /* the job is queued again */
};

struct place_stats
{
  uint32_t queued;
  uint32_t running;
  uint32_t accelerators;
  uint32_t accelerators_free;
  uint32_t accelerators_borrowed;
  uint32_t largest_block; /* accelerators free on one rack's whole workers */
  double fragmentation;   /* share of free accelerators that no whole-worker
                             shape can use, 0 to 1 */
};

/* ===== Contexts =============================================== */

struct place;

/* Behaviour that varies: the order in which queued jobs are tried, and
   whether later ones may go first.  */
struct place_policy;

/* Arrival order; a job that fits goes, one that does not is passed over.  */
extern const struct place_policy place_policy_first_fit;
/* Arrival order; nothing passes the first job that does not fit.  */
extern const struct place_policy place_policy_strict;
/* Shares, urgency, ageing, reservation with backfill, packing.  */
extern const struct place_policy place_policy_guarantee;

struct place_params
{
  const struct place_policy *policy;
  uint32_t checkpoint_grace_ms;
  uint32_t attempt_limit;        /* attempts before a job is given up */
  uint32_t quarantine_failures;  /* by different jobs */
  uint32_t quarantine_ms;        /* before the first probe; doubles */
  int64_t (*now_ms) (void *ctx); /* monotonic */
  uint32_t (*random) (void *ctx);
  void *ctx;
};

/*! place_create () :
 *  @return : PLACE_OK with *out set, owned by the caller; or a place_error. */
int place_create (struct place **out, const struct place_params *params);

/*! place_free () :
 *  Accepts NULL. */
void place_free (struct place *place);

/* ===== Events ================================================= */
/* All names are copied.  Events change the state; only place_decide ()
   makes decisions.  */

/*! place_configure () :
 *  Replaces the teams.  Jobs of a team that is gone are refused by the next
 *  round.  Guarantees are accepted here even if they clash (a restart must
 *  not lose a team); see place_check_guarantees (). */
int place_configure (struct place *place, const struct place_team *teams,
                     size_t team_count);

/*! place_check_guarantees () :
 *  Whether all guarantees of TEAMS can be placed together on WORKERS.
 *  @text : what clashes, for PLACE_ERR_CLASH. */
int place_check_guarantees (const struct place_team *teams, size_t team_count,
                            const struct place_worker *workers,
                            size_t worker_count,
                            char text[PLACE_TEXT_SIZE_BYTES]);

/*! place_worker_up (), place_worker_down () :
 *  A worker may be used; may not be used any more (lost, leaving, drained).
 *  Jobs on a lost worker stay placed until place_ended () is reported.
 *  place_worker_up () of a known worker updates it. */
int place_worker_up (struct place *place, const struct place_worker *worker);
int place_worker_down (struct place *place, const char *name);

/*! place_submit () :
 *  Queues a job.  PLACE_ERR_NEVER: it can never run; @text has the reason
 *  and the nearest shape that could. */
int place_submit (struct place *place, const struct place_job *job,
                  char text[PLACE_TEXT_SIZE_BYTES]);

/*! place_restore () :
 *  A job that already holds ASSIGNMENTS, learnt by a new planner. */
int place_restore (struct place *place, const struct place_job *job,
                   const struct place_assignment *assignments,
                   size_t assignment_count, int64_t started_ms);

/*! place_cancel () :
 *  Removes a queued job.  For one that holds workers, PLACE_EVICT is not
 *  issued: the caller stops it and reports place_ended (). */
int place_cancel (struct place *place, const char *job);

/*! place_ended () :
 *  An attempt ended and its resources are free again. */
int place_ended (struct place *place, const struct place_ended *ended);

/*! place_usage () :
 *  What a running job is known to have done, late as it may be. */
int place_usage (struct place *place, const char *job, uint64_t ran_ms,
                 uint64_t progress_ms);

/*! place_pause () :
 *  No new starts, for one team (or all: team NULL), until resumed. */
int place_pause (struct place *place, const char *team, bool paused);

/* ===== Decisions ============================================== */

/*! place_decide () :
 *  One planning round over all events since the last one.
 *  @commands : owned by PLACE, valid until its next call.
 *  @return : the number of commands, or a place_error. */
int place_decide (struct place *place, const struct place_command **commands);

/*! place_next_ms () :
 *  @return : when a round is due without any event, in place's clock;
 *            INT64_MAX for never. */
int64_t place_next_ms (const struct place *place);

/*! place_explain () :
 *  Why a job waits, or where and why it runs. */
int place_explain (const struct place *place, const char *job,
                   char text[PLACE_TEXT_SIZE_BYTES]);

/*! place_stats () : */
void place_stats (const struct place *place, struct place_stats *stats);

/*! place_check () :
 *  Checks all invariants; for tests and debugging.
 *  @return : PLACE_OK, or PLACE_ERR_INVALID with TEXT telling which. */
int place_check (const struct place *place, char text[PLACE_TEXT_SIZE_BYTES]);

/*! place_strerror () : */
const char *place_strerror (int error);

#endif
