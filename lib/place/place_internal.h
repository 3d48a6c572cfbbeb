/* Internal state of the placement core, shared by its modules.

   Each guaranteed shape of a team is a unit, with one slot for each task.
   Slots are bound to workers, so that the resources of all guarantees are
   set aside; work of others that runs there is borrowed and can be evicted.
   A job that has to wait for evictions claims its workers.  A job that does
   not fit at all may get a reservation: workers on which only jobs start that
   are expected to end before it can start.  */

#ifndef FT_PLACE_INTERNAL_H
#define FT_PLACE_INTERNAL_H

#include <glib.h>

#include "place/place.h"

enum
{
  PLACE_FAILED_JOB_LIMIT = 8,     /* failed jobs that a worker remembers */
  PLACE_AVOIDED_WORKER_LIMIT = 8, /* workers that a failed job avoids */
  PLACE_QUARANTINE_DOUBLINGS_LIMIT = 10, /* doublings of a quarantine */
  PLACE_FAILED_SEARCH_LIMIT = 4,    /* remembered in a round, for each team */
  PLACE_RESERVATION_LIMIT = 8,      /* reservations at the same time */
  PLACE_KIND_LIMIT = 64,            /* kinds with a history, for each team */
  PLACE_WORKER_FORGET_MS = 3600000, /* from a worker's loss to its removal */
  PLACE_AGEING_MS = 600000, /* rank = weighted share - wait / PLACE_AGEING_MS;
                               a share of 1 is the whole cluster */
  PLACE_DEFAULT_RUN_MS = 3600000, /* if no run time is declared or learnt */
  PLACE_SETTLE_MS = 30000 /* between attempts to bind guarantees; not used */
};

/* Signed counterpart of struct place_resources: the free resources of a
   worker are negative if it comes back with less capacity than its jobs
   use.  */
struct place_resource_vector
{
  int64_t cpus_milli;
  int64_t memory_mb;
  int64_t accelerators;
};

struct place_worker_state;
struct place_job_state;
struct place_team_state;

/* A data centre.  */
struct place_data_centre
{
  char *name;
  GPtrArray *racks; /* of struct place_rack */
};

struct place_rack
{
  char *name;
  struct place_data_centre *data_centre;
  GPtrArray *workers; /* of struct place_worker_state */
  /* Summary that lets a search skip the rack.  Each of the two is an upper
     bound, for each resource by itself.  */
  struct place_resource_vector
      free_total; /* of the free resources of all its workers */
  struct place_resource_vector
      free_max; /* of the free resources of any one worker */
};

enum place_health
{
  PLACE_HEALTHY = 0,
  PLACE_QUARANTINED = 1,
  PLACE_PROBING = 2 /* runs one job at a time until a job succeeds */
};

struct place_worker_state
{
  char *name;
  uint32_t number; /* in order of first appearance; breaks ties */
  struct place_rack *rack;
  struct place_resource_vector capacity;
  struct place_resource_vector used; /* by running jobs */
  struct place_resource_vector
      evicting; /* part of USED: by jobs told to stop */
  struct place_resource_vector
      claimed; /* by claims of jobs that wait for evictions */
  struct place_resource_vector
      guaranteed; /* claimed or used by jobs that do not borrow */
  struct place_resource_vector
      unused_guaranteed;      /* unused part of the slots bound here */
  uint64_t busy_accelerators; /* bit i: accelerator i is in use */
  GPtrArray *jobs;            /* running here, each once */
  struct place_job_state *reserved_for; /* job it is reserved for, or NULL */
  bool up;
  bool shrunk; /* its last update gave less of some resource than before */
  int64_t down_ms;
  enum place_health health;
  bool health_changed; /* HEALTH changed; the next round emits a command */
  /* A probe failed, so place_health_clear_job () does not end the
     quarantine.  */
  bool failed_probe;
  uint32_t quarantine_doublings; /* times that the next quarantine doubles
                                    place_params.quarantine_ms */
  int64_t health_until_ms;       /* end of the quarantine or of the probing */
  uint32_t bound_slot_count;     /* slots bound here */
  uint32_t claimed_task_count;   /* tasks of claims here */
  uint32_t failed_job_count;
  /* Hashes of the ids of jobs that failed here since the last success.  */
  uint32_t failed_job_hashes[PLACE_FAILED_JOB_LIMIT];
};

/* One task of a guaranteed shape.  Smaller tasks may share a slot.  */
struct place_slot
{
  struct place_unit *unit;
  struct place_worker_state *worker;   /* NULL: not bound */
  struct place_resource_vector unused; /* resources that no job uses */
  uint32_t task_count;                 /* tasks of jobs in the slot */
};

/* One guaranteed shape of a team; a guarantee of COUNT shapes has COUNT
   units.  */
struct place_unit
{
  struct place_team_state *team;
  struct place_shape shape;              /* normalised */
  struct place_resource_vector per_task; /* resources of one slot */
  struct place_slot *slots;              /* shape.tasks of them */
  uint32_t task_count;                   /* tasks of jobs in all slots */
  uint32_t unbound_slot_count;           /* slots that are not bound */
  bool
      reported_unmet; /* the last command about it was PLACE_GUARANTEE_UNMET */
  /* A queued job for which the unit is kept: no other job starts in it.  */
  struct place_job_state *kept_for;
};

/* Run times of past jobs of one team and kind, to correct declarations.  */
struct place_kind
{
  char *name;
  uint32_t sample_count; /* jobs in the means; stops growing at a limit, so
                       that older jobs count less and less */
  double mean_log_ratio; /* mean of log (run time / declared run time) */
  double mean_run_ms;    /* mean run time */
};

/* A search for slots that found none in this round.  Searches that need as
   much or more are skipped for the rest of the round.  */
struct place_failed_slot_search
{
  uint32_t tasks;
  enum place_span span;
  struct place_resource_vector per_task;
};

struct place_team_state
{
  char *name;
  bool not_configured; /* not in the present configuration */
  bool paused;
  bool may_borrow;
  uint32_t weight;
  struct place_resource_vector quota; /* 0: no limit */
  struct place_resource_vector used;  /* by running jobs and by claims */
  GPtrArray *units;                   /* of struct place_unit */
  GPtrArray *queue; /* of struct place_job_state not urgent, by arrival */
  GPtrArray *urgent_queue; /* of urgent struct place_job_state, by arrival */
  double weighted_share; /* of its dominant resource, divided by the weight */
  uint32_t failed_slot_search_count;
  struct place_failed_slot_search
      failed_slot_searches[PLACE_FAILED_SEARCH_LIMIT];
  uint32_t queue_cursor;  /* index of the next job to try in the queue */
  uint32_t urgent_cursor; /* index of the next urgent job to try */
  uint32_t job_count;     /* all its jobs, in any phase */
  GHashTable *kinds;      /* name -> struct place_kind */
};

enum place_job_phase
{
  PLACE_JOB_QUEUED = 0,
  PLACE_JOB_CLAIMING = 1, /* has its workers, waits for evictions there */
  PLACE_JOB_RUNNING = 2,  /* PLACE_START was issued */
  PLACE_JOB_STOPPING = 3  /* is being stopped: evicted or cancelled */
};

/* The worker, slot and accelerators of one task of a job.  */
struct place_location
{
  struct place_worker_state *worker;
  struct place_slot *slot; /* of a guarantee, or NULL */
  uint64_t accelerators;   /* bit i: accelerator i of the worker */
};

struct place_job_state
{
  char *id;
  uint32_t id_hash;
  struct place_team_state *team;
  struct place_kind *kind;
  struct place_data_centre *data_centre; /* NULL: any */
  struct place_shape shape;              /* normalised */
  struct place_resource_vector per_task; /* resources of one task */
  uint64_t declared_run_ms;
  uint64_t progress_ms;       /* checkpointed by all attempts */
  uint64_t ran_ms;            /* of this attempt, as last reported */
  uint64_t start_progress_ms; /* PROGRESS_MS at the start of this attempt */
  uint64_t expected_run_ms;   /* expected run time of this attempt */
  int64_t submitted_ms;
  int64_t started_ms;              /* of this attempt */
  int64_t no_reservation_until_ms; /* after a search for one that failed */
  uint64_t sequence; /* order of arrival in the core; breaks ties */
  uint32_t attempt;  /* see struct place_job */
  enum place_job_phase phase;
  bool urgent;
  bool checkpointable;
  bool repeatable;
  bool borrows;        /* uses resources outside a guarantee: may be evicted */
  bool attach_pending; /* runs without a slot; the next round looks for a slot
                    of its team on its workers */
  bool has_kept_units; /* at least one unit is kept for it */
  bool backfill;       /* runs on a worker reserved for another job */
  bool cancelled;      /* is removed, not queued again, when it ends */
  uint32_t location_count;          /* 0, or shape.tasks */
  struct place_location *locations; /* sorted by the number of the worker */
  struct place_reservation *reservation; /* or NULL */
  uint32_t
      counted_worker_count; /* workers on which a failure of the job counted */
  uint32_t failures; /* that count against the job: a failure on a worker
                        is taken off once that worker is quarantined */
  /* Until this time the job avoids the workers on which it failed.  */
  int64_t avoid_until_ms;
  uint32_t avoided_worker_count;
  struct place_worker_state *avoided_workers[PLACE_AVOIDED_WORKER_LIMIT];
  const char *wait_reason; /* why it waits, for operators: a constant text */
};

/* Workers reserved for a queued job that does not fit yet.  Other jobs start
   there only if they are expected to end by the expected start.  */
struct place_reservation
{
  int64_t expected_start_ms;    /* expected start, by the last check */
  int64_t earliest_estimate_ms; /* the earliest start that was ever expected */
  int64_t checked_ms; /* time of the last check of the expected start */
  GPtrArray *workers; /* of struct place_worker_state */
};

/* The resources of a worker that a search counts as free.  */
enum place_free_rule
{
  PLACE_FREE_NOW,          /* neither used nor claimed */
  PLACE_FREE_UNGUARANTEED, /* neither in a slot nor used by guaranteed work:
                      what is left if all borrowed work is evicted */
  PLACE_FREE_NOW_UNGUARANTEED, /* the smaller of the two above, for each
                                   resource */
  PLACE_FREE_WHOLE_CAPACITY    /* the whole capacity, also of workers that are
                                  down */
};

/* What a search for workers asks for.  */
struct place_search
{
  uint32_t tasks;
  struct place_resource_vector per_task; /* resources of one task */
  enum place_span span;
  struct place_data_centre *data_centre; /* NULL: any */
  struct place_worker_state *anchor;     /* stay within SPAN of it, or NULL */
  const struct place_job_state *job; /* skip workers that it avoids; or NULL */
  enum place_free_rule free_rule;
  int64_t end_ms; /* expected end of the job: workers reserved for others are
                     skipped if it is later than their expected start */
};

/* The fields by which policies differ, see place.h.  */
struct place_policy
{
  const char *name;
  bool has_guarantees;   /* guarantees and borrowing apply */
  bool has_reservations; /* jobs that do not fit get reservations */
  bool strict_order; /* the round ends at the first job that does not fit */
  /* The next job of a team, by its cursors; NULL if there is none.  */
  struct place_job_state *(*next_job) (const struct place_team_state *team);
  /* Of the next jobs of all teams the one of the lowest rank is tried.  */
  double (*rank) (const struct place_job_state *job, int64_t now_ms);
};

struct place
{
  struct place_params params;
  GHashTable *data_centres; /* name -> struct place_data_centre */
  GPtrArray *data_centre_list;
  GPtrArray *racks;
  GHashTable *workers; /* name -> struct place_worker_state */
  GPtrArray *worker_list;
  uint32_t next_worker_number; /* of the next new worker */
  GHashTable *teams;           /* name -> struct place_team_state */
  GPtrArray *team_list;
  GPtrArray *active_teams; /* teams with queued jobs, in this round */
  GArray *candidates; /* of struct place_candidate, one for each active team */
  uint32_t picked_index;   /* of the job picked last, in ACTIVE_TEAMS and in
                              CANDIDATES */
  GHashTable *jobs;        /* id -> struct place_job_state */
  GPtrArray *claims;       /* jobs in PLACE_JOB_CLAIMING */
  GPtrArray *reservations; /* jobs that have a reservation */
  GPtrArray *notices;      /* of struct place_notice, for the next round */
  uint64_t next_sequence;  /* of the next new job */
  uint32_t running_count;  /* jobs running or being stopped */
  struct place_resource_vector
      total_capacity;      /* capacity of the workers that are up */
  bool units_need_binding; /* units may have to be bound anew or reported */
  bool event_pending;      /* an event has come since the last round */
  bool queues_need_check;  /* queued jobs may have become infeasible */
  bool capacity_lost; /* queued jobs are to be checked against the workers too,
                         because some were removed or lost capacity */
  bool reservation_examined; /* this round has examined a reservation; to bound
                        its time it examines no other */
  bool paused;               /* all teams */
  /* A unit is kept for a job whose data centre has not all of its slots; set
     and cleared by place_bind_guarantees () and set when a unit is kept.  */
  bool unit_move_wanted;
  int64_t avoid_until_ms; /* latest such time of any job so far */
  bool guarantee_unmet;   /* a guarantee cannot be met */
  GArray *commands;       /* of struct place_command, of the last round */
  GStringChunk *texts;    /* texts of these commands */
  GPtrArray *assignment_arrays;   /* assignment arrays of these commands */
  GArray *failed_worker_searches; /* struct place_search that found nothing in
                              this round */
  GArray *options; /* of struct option: scratch memory of place_fit () */
};

/* The job of a team that would be tried next.  */
struct place_candidate
{
  struct place_job_state *job; /* NULL: none */
  double rank;
};

/* A command about a job that is removed already, for the next round.  */
struct place_notice
{
  enum place_command_kind kind;
  char *job;
  char *team;
  char *reason;
};

/* ===== place_resources.c ====================================== */

struct place_resource_vector
place_resources_convert (const struct place_resources *from);
void place_resources_add (struct place_resource_vector *to,
                          const struct place_resource_vector *what);
void place_resources_subtract (struct place_resource_vector *to,
                               const struct place_resource_vector *what);
struct place_resource_vector
place_resources_multiply (const struct place_resource_vector *what, int64_t n);
bool place_resources_cover (const struct place_resource_vector *have,
                            const struct place_resource_vector *need);
/* How many times EACH fits into HAVE, at most LIMIT.  */
uint32_t place_resources_fit_count (const struct place_resource_vector *have,
                                    const struct place_resource_vector *each,
                                    uint32_t limit);
/* The smaller of A and B for each resource by itself.  */
struct place_resource_vector
place_resources_min (const struct place_resource_vector *a,
                     const struct place_resource_vector *b);
/* Replaces the span of a shape of one task, where any span means the same:
   PLACE_SPAN_WORKER in a guarantee, which then serves jobs of every span, and
   PLACE_SPAN_ANY in a job.  */
void place_shape_normalise (struct place_shape *shape, bool guarantee);
bool place_shape_equal (const struct place_shape *a,
                        const struct place_shape *b);

/* ===== place_state.c ========================================== */

int64_t place_now (const struct place *place);
/* The following _get () functions create what does not exist yet.  */
struct place_data_centre *place_data_centre_get (struct place *place,
                                                 const char *name);
struct place_worker_state *place_worker_get (struct place *place,
                                             const char *name);
/* Whether a worker is up and healthy, neither quarantined nor probed.  */
bool place_worker_usable (const struct place_worker_state *worker);
/* Updates the summary of a worker's rack; to be called after each change of
   the worker's free resources, its health or whether it is up.  */
void place_update_rack_summary (struct place_worker_state *worker);
struct place_team_state *place_team_get (struct place *place,
                                         const char *name);
/* Whether NAME names no data centre that has workers.  False for NULL and "",
   and while the core has no worker at all.  */
bool place_data_centre_unknown (const struct place *place, const char *name);
/* Free workers that have been down for PLACE_WORKER_FORGET_MS, and teams that
   are not configured any more.  What is still referred to is kept.  */
void place_remove_expired_workers (struct place *place);
void place_remove_unused_teams (struct place *place);

/* ===== place_jobs.c =========================================== */

/* Inserts JOB in the order of arrival and sets it to PLACE_JOB_QUEUED.  */
void place_queue_insert (struct place_job_state *job);
void place_queue_remove (struct place_job_state *job);
/* Gives JOB a copy of LOCATIONS, one for each task, sorted by worker.  */
void place_locations_set (struct place_job_state *job,
                          const struct place_location *locations);
/* The resources that the locations of JOB take on a worker.  */
struct place_resource_vector
place_job_resources_on (const struct place_job_state *job,
                        const struct place_worker_state *worker);
/* Accounts for the locations of JOB on its workers, its slots and its team,
   and sets it to PLACE_JOB_RUNNING; picks accelerators for locations that have
   none.
 */
void place_occupy (struct place *place, struct place_job_state *job);
/* Undoes place_occupy () and frees the locations.  */
void place_vacate (struct place *place, struct place_job_state *job);
/* Claims the locations of JOB: its workers keep these resources for it until
   evictions have freed them.  The job must have left its queue.  */
void place_claim_workers (struct place *place, struct place_job_state *job);
/* Turns a claim into a running job.  */
void place_start_claimed (struct place *place, struct place_job_state *job);
/* Ends a claim; the job is then in no queue.  */
void place_cancel_claim (struct place *place, struct place_job_state *job);
/* Account for the slots of JOB alone, for when guarantees change while it
   runs.  place_release_slots () also removes the slots from its locations.  */
void place_occupy_slots (struct place_job_state *job);
void place_release_slots (struct place_job_state *job);
/* Sets whether JOB borrows, and its share of the guaranteed resources of its
   workers accordingly.  */
void place_set_borrows (struct place_job_state *job, bool borrows);
/* Accounts for a running job that is told to stop.  */
void place_begin_eviction (struct place_job_state *job);
/* Undoes place_begin_eviction () once the job has stopped.  */
void place_end_eviction (struct place_job_state *job);
/* Frees a job that is in no queue and has no workers.  */
void place_job_remove (struct place *place, struct place_job_state *job);
/* Adds a command about JOB to the next round; all texts are copied.  */
void place_add_notice (struct place *place, enum place_command_kind kind,
                       const struct place_job_state *job, const char *reason);
void place_notice_free (void *data);
/* Whether JOB may use resources outside its team's guarantees: its team may
   borrow, and the job is checkpointable and repeatable.  */
bool place_may_borrow (const struct place_job_state *job);
void place_job_free (void *data);

/* ===== place_fit.c ============================================ */

GArray *place_options_new (void);
/* Finds workers for a search.  Returns whether all tasks fit; if so, LOCATIONS
   has search->tasks entries, without slots and accelerators.  */
bool place_fit (struct place *place, const struct place_search *search,
                struct place_location *locations);
/* How many tasks of the search fit on WORKER.  */
uint32_t place_worker_fit_count (const struct place *place,
                                 const struct place_search *search,
                                 const struct place_worker_state *worker);

/* ===== place_fit_cached.c ====================================== */

/* As place_fit (), but fails at once if a search for as much or less has
   failed in this round already.  */
bool place_fit_cached (struct place *place, const struct place_search *wanted,
                       struct place_location *locations);

/* ===== place_available.c ====================================== */

/* The resources of a worker that FREE_RULE counts as free; may be negative. */
struct place_resource_vector
place_available_resources (const struct place_worker_state *worker,
                           enum place_free_rule free_rule);
/* COUNT free accelerators of a worker, adjacent where possible.  */
uint64_t place_pick_accelerators (const struct place_worker_state *worker,
                                  uint32_t count);

/* ===== place_unit.c =========================================== */

void place_unit_free (void *data);
/* Adds and removes units of a team until they match its new guarantees.  Jobs
   in a removed unit keep running, and borrow if they may; claims in it go back
   to the queue.  */
void place_units_replace (struct place *place, struct place_team_state *team,
                          const struct place_guarantee *guarantees,
                          size_t count);
void place_slot_bind (struct place_slot *slot,
                      struct place_worker_state *worker);
void place_slot_unbind (struct place_slot *slot);
/* Binds an unbound unit to the workers of LOCATIONS.  */
void place_unit_bind (struct place_unit *unit,
                      const struct place_location *locations);
/* Unbinds a unit that no job uses.  */
void place_unit_unbind (struct place_unit *unit);
/* The search for workers of a whole unit.  */
struct place_search place_unit_search (const struct place_unit *unit,
                                       enum place_free_rule free_rule);
/* Whether all slots of a unit are bound to workers that meet
   place_worker_meets_guarantees ().  */
bool place_unit_meets_guarantee (const struct place_unit *unit);
/* Whether a worker is usable and its capacity covers its slots and the
   guaranteed jobs on it.  */
bool place_worker_meets_guarantees (const struct place_worker_state *worker);
/* Keeps units of the job's team free of other jobs until JOB fits there, so
   that a stream of smaller jobs does not keep it out.  */
void place_units_keep_for (struct place *place, struct place_job_state *job);
/* Undoes place_units_keep_for ().  */
void place_units_stop_keeping (struct place_job_state *job);

/* ===== place_guarantee.c ====================================== */

/* Binds units that are not bound, if need be by binding all unused units
   anew, and emits PLACE_GUARANTEE_UNMET and PLACE_GUARANTEE_MET.  */
void place_bind_guarantees (struct place *place);
/* Writes a text for a shape, such as "2 x (8 accelerators, ...) in one
   rack".  */
void place_shape_text (const struct place_shape *shape, char *text,
                       size_t size_bytes);

/* ===== place_attach.c ========================================= */

/* Binds unused units of the job's team to the workers where JOB runs and puts
   it into their slots, so that it no longer borrows.  Returns whether all
   its tasks have slots.  */
bool place_attach_guarantee (struct place *place, struct place_job_state *job);

/* ===== place_move.c ========================================== */

/* Whether JOB may not use a worker: it is not usable, not in the job's data
   centre, or JOB avoids it after a failure.  */
bool place_worker_excluded (const struct place_job_state *job,
                            const struct place_worker_state *worker);
/* Whether JOB may use all workers of a unit and the unit's resources are free
   there.  */
bool place_unit_free_for (const struct place_unit *unit,
                          const struct place_job_state *job);
/* Moves an unused unit to other workers: binds it to workers that JOB may use
   and that are free now, if need be by exchange with a unit of the same shape.
   Returns whether it did; if not, the unit stays bound as before.  */
bool place_unit_move_to_free (struct place *place, struct place_unit *unit,
                              const struct place_job_state *job);

/* ===== place_move_cheapest.c ====================================== */

/* Moves an unused unit to the workers on which evictions for it lose the least
   work.  If none are found, the unit stays bound as before.  */
void place_unit_move_cheapest (struct place *place, struct place_unit *unit,
                               const struct place_job_state *job);

/* ===== place_guaranteed_start.c ===========================================
 */

/* The units that a job may use, in the order in which they are to be tried;
   the caller frees the list.  */
GPtrArray *place_units_for (struct place_job_state *job);
/* Starts a job within its team's guarantee, or claims workers for it and
   evicts borrowed work there.  Returns whether the job has left its queue.  */
bool place_try_guaranteed (struct place *place, struct place_job_state *job);

/* ===== place_evict.c ========================================== */

/* The work that is lost if a job is evicted now, in accelerator
   milliseconds.  */
double place_eviction_loss (const struct place *place,
                            const struct place_job_state *job);
/* The work that is lost, in the same unit, if evictions free NEED on a worker;
   negative if evictions cannot free that much.  */
double place_worker_eviction_loss (struct place *place,
                                   struct place_worker_state *worker,
                                   const struct place_resource_vector *need);
/* Evicts jobs that borrow on a worker until the claims there are covered.  JOB
   is the job that needs the resources.  */
void place_evict_from_worker (struct place *place,
                              struct place_worker_state *worker,
                              const struct place_job_state *job);
/* Evicts VICTIM, which runs and borrows; JOB is the job that needs its
   resources, or NULL.  */
void place_evict (struct place *place, struct place_job_state *victim,
                  const struct place_job_state *job);

/* ===== place_reserve.c ======================================== */

/* Frees the reservation of JOB if it has one.  */
void place_reservation_drop (struct place *place, struct place_job_state *job);
/* Tries to reserve workers for a queued job that does not fit.  */
void place_reservation_make (struct place *place, struct place_job_state *job);
/* Claims reserved workers for jobs that can now start, and updates the
   expected starts of the others.  */
void place_reservations_update (struct place *place);
/* When a reservation is next due for a check; INT64_MAX for never.  */
int64_t place_reservations_next_ms (const struct place *place);

/* ===== place_infeasible.c ===================================== */

/* Whether a job could run on the idle cluster, within its team's quota and, if
   it may not borrow, its guarantees.  PLACE_OK if so; else
   PLACE_ERR_INFEASIBLE, and TEXT has the reason.  */
int place_check_feasible (struct place *place,
                          const struct place_job_state *job,
                          char text[PLACE_TEXT_SIZE_BYTES]);
/* As place_check_feasible (), without the check of the workers: for a job that
   has passed it before and while no worker was removed or lost capacity.  */
int place_check_feasible_in_team (struct place *place,
                                  const struct place_job_state *job,
                                  char text[PLACE_TEXT_SIZE_BYTES]);

/* ===== place_health.c ========================================= */

/* Records a failure of JOB on a worker, which may be quarantined for it.  RAN
   is true if a task of the job failed, and false if the job did not start.  */
void place_health_failed (struct place *place, struct place_job_state *job,
                          struct place_worker_state *worker, bool ran);
/* Removes the failures of JOB from the counts of all workers, because it
   failed on several healthy workers.  A quarantine ends if the remaining
   failures are too few for it and no probe has failed.  */
void place_health_clear_job (struct place *place,
                             const struct place_job_state *job);
/* Clears the failure counts of the job's workers and ends their probing.  */
void place_health_succeeded (struct place *place, struct place_job_state *job);
/* Advances quarantines and emits commands for workers whose health changed. */
void place_health_round (struct place *place);
/* When a quarantine or probing is next due; INT64_MAX for never.  */
int64_t place_health_next_ms (const struct place *place);

/* ===== place_estimate.c ======================================= */

/* The history of a kind; kinds beyond PLACE_KIND_LIMIT share one history.
   NAME may be NULL.  */
struct place_kind *place_kind_get (struct place_team_state *team,
                                   const char *name);
void place_kind_free (void *data);
/* Adds the run time RAN_MS of all attempts of a finished job to the history of
   its kind.  */
void place_kind_add_run (struct place_job_state *job, uint64_t ran_ms);
/* Expected run time of the next attempt, after the checkpointed progress.  */
uint64_t place_expected_run_ms (const struct place_job_state *job);
/* Expected end of a running job.  */
int64_t place_expected_end_ms (const struct place *place,
                               const struct place_job_state *job);

/* ===== place_order.c ========================================== */

/* The order of one round: place_pick_job () returns the next job to try or
   NULL; place_pick_done () must follow and says whether the job has left its
   queue.  */
void place_picks_begin (struct place *place);
struct place_job_state *place_pick_job (struct place *place);
void place_pick_done (struct place *place, struct place_job_state *job,
                      bool left_queue);

/* ===== place_decide.c ========================================= */

/* Appends a command to the round.  The pointer is valid until the next
   call.  */
struct place_command *place_add_command (struct place *place,
                                         enum place_command_kind kind);
/* Copies a text of a command; the copy lives until the next round.  */
const char *place_copy_text (struct place *place, const char *text);
/* Starts a queued job on its locations.  */
void place_start_job (struct place *place, struct place_job_state *job);
bool place_job_paused (const struct place *place,
                       const struct place_job_state *job);
/* Whether the start of a queued job would exceed the quota of its team.  */
bool place_exceeds_quota (const struct place_job_state *job);

#endif
