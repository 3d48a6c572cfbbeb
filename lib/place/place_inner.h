/* Internal state of the placement core, shared by its modules.

   Each guaranteed shape of a team is a unit, with one slot for each task.
   Slots are bound to workers, so that the resources of all guarantees are
   set aside; work of others that runs there is borrowed and can be evicted.
   A job that has to wait for evictions claims its workers.  A job that does
   not fit at all may get a reservation: workers on which only jobs start that
   are expected to end before it can start.  */

#ifndef FT_PLACE_INNER_H
#define FT_PLACE_INNER_H

#include <glib.h>

#include "place/place.h"

enum
{
  PLACE_BLAME_LIMIT = 8,            /* failed jobs that a worker remembers */
  PLACE_FAILED_WORKER_LIMIT = 8,    /* workers that a failed job avoids */
  PLACE_BACKOFF_LIMIT = 10,         /* doublings of a quarantine */
  PLACE_FAILED_SEARCH_LIMIT = 4,    /* remembered in a round, for each team */
  PLACE_RESERVATION_LIMIT = 8,      /* reservations at the same time */
  PLACE_KIND_LIMIT = 64,            /* kinds with a history, for each team */
  PLACE_WORKER_FORGET_MS = 3600000, /* from a worker's loss to its removal */
  PLACE_AGEING_MS = 600000, /* this long a wait offsets a share of 1, which is
                               the whole cluster */
  PLACE_DEFAULT_RUN_MS = 3600000, /* if no run time is declared or learnt */
  PLACE_SETTLE_MS = 30000 /* between attempts to bind guarantees; not used */
};

/* Signed counterpart of struct place_resources: the free resources of a
   worker are negative if it comes back with less capacity than its jobs
   use.  */
struct place_amount
{
  int64_t cpus_milli;
  int64_t memory_mb;
  int64_t accelerators;
};

struct place_worker_state;
struct place_job_state;
struct place_team_state;

/* A data centre.  */
struct place_centre
{
  char *name;
  GPtrArray *racks; /* of struct place_rack */
};

struct place_rack
{
  char *name;
  struct place_centre *centre;
  GPtrArray *workers; /* of struct place_worker_state */
  /* Summary that lets a search skip the rack.  Each of the two is an upper
     bound, for each resource by itself.  */
  struct place_amount total;  /* of the free resources of all its workers */
  struct place_amount widest; /* of the free resources of any one worker */
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
  struct place_amount capacity;
  struct place_amount used;     /* by running jobs */
  struct place_amount evicting; /* part of USED: by jobs told to stop */
  struct place_amount held;     /* by claims of jobs that wait for evictions */
  struct place_amount firm;     /* claimed or used by jobs not borrowed */
  struct place_amount reserved; /* unused part of the slots bound here */
  uint64_t busy;                /* bit i: accelerator i is in use */
  GPtrArray *jobs;              /* running here, each once */
  struct place_job_state *reservation; /* job it is reserved for, or NULL */
  bool up;
  bool shrunk; /* its last update gave less of some resource than before */
  int64_t down_ms;
  enum place_health health;
  bool announce;    /* HEALTH changed; the next round emits a command */
  bool proven;      /* a probe failed, so its quarantine does not end when the
                       jobs that caused it are given up */
  uint32_t backoff; /* doublings of the next quarantine */
  int64_t quarantine_until_ms; /* end of the quarantine or of the probing */
  uint32_t reserved_slots;     /* slots bound here */
  uint32_t holds;              /* tasks of claims here */
  uint32_t blame_count;
  /* Hashes of the ids of jobs that failed here since the last success.  */
  uint32_t blame[PLACE_BLAME_LIMIT];
};

/* One task of a guaranteed shape.  Smaller tasks may share a slot.  */
struct place_slot
{
  struct place_unit *unit;
  struct place_worker_state *worker; /* NULL: not bound */
  struct place_amount left;          /* resources that no job uses */
  uint32_t jobs;                     /* tasks of jobs in the slot */
};

/* One guaranteed shape of a team; a guarantee of COUNT shapes has COUNT
   units.  */
struct place_unit
{
  struct place_team_state *team;
  struct place_shape shape; /* normalised */
  struct place_amount each; /* resources of one slot */
  struct place_slot *slots; /* shape.tasks of them */
  uint32_t jobs;            /* tasks of jobs in all slots */
  uint32_t missing;         /* slots that are not bound */
  bool told_unmet;          /* the last command about it was PLACE_UNMET */
  /* A queued job for which the unit is kept: no other job starts in it.  */
  struct place_job_state *waiter;
};

/* Run times of past jobs of one team and kind, to correct declarations.  */
struct place_kind
{
  char *name;
  uint32_t samples; /* jobs in the means; stops growing at a limit, so that
                       older jobs count less and less */
  double log_ratio; /* mean of log (run time / declared run time) */
  double run_ms;    /* mean run time */
};

/* A search for slots that found none in this round.  Searches that need no
   less are skipped for the rest of the round.  */
struct place_failed_search
{
  uint32_t tasks;
  enum place_span span;
  struct place_amount each;
};

struct place_team_state
{
  char *name;
  bool gone; /* not in the present configuration */
  bool paused;
  bool may_borrow;
  uint32_t weight;
  struct place_amount quota; /* 0: no limit */
  struct place_amount used;  /* by running jobs and by claims */
  GPtrArray *units;          /* of struct place_unit */
  GPtrArray *queue;  /* of struct place_job_state not urgent, by arrival */
  GPtrArray *urgent; /* of urgent struct place_job_state, by arrival */
  double share;      /* of its dominant resource, divided by the weight */
  uint32_t failed_count;
  struct place_failed_search failed[PLACE_FAILED_SEARCH_LIMIT];
  uint32_t cursor;        /* index of the next job to try in the queue */
  uint32_t urgent_cursor; /* index of the next urgent job to try */
  uint32_t jobs;          /* all its jobs, in any phase */
  GHashTable *kinds;      /* name -> struct place_kind */
};

enum place_phase
{
  PLACE_QUEUED = 0,
  PLACE_CLAIMING = 1, /* has its workers, waits for evictions there */
  PLACE_RUNNING = 2,  /* PLACE_START was issued */
  PLACE_EVICTING = 3  /* is being stopped: evicted or cancelled */
};

/* The worker, slot and accelerators of one task of a job.  */
struct place_spot
{
  struct place_worker_state *worker;
  struct place_slot *slot; /* of a guarantee, or NULL */
  uint64_t accelerators;   /* bit i: accelerator i of the worker */
};

struct place_job_state
{
  char *id;
  uint32_t hash; /* of ID */
  struct place_team_state *team;
  struct place_kind *kind;
  struct place_centre *centre; /* NULL: any */
  struct place_shape shape;    /* normalised */
  struct place_amount each;    /* resources of one task */
  uint64_t declared_run_ms;
  uint64_t progress_ms; /* checkpointed by all attempts */
  uint64_t ran_ms;      /* of this attempt, as last reported */
  uint64_t saved_ms;    /* PROGRESS_MS at the start of this attempt */
  uint64_t expected_ms; /* expected run time of this attempt */
  int64_t submitted_ms;
  int64_t started_ms;              /* of this attempt */
  int64_t no_reservation_until_ms; /* after a search for one that failed */
  uint64_t sequence; /* order of arrival in the core; breaks ties */
  uint32_t attempt;  /* see struct place_job */
  enum place_phase phase;
  bool urgent;
  bool checkpointable;
  bool repeatable;
  bool borrowed; /* uses resources outside a guarantee: may be evicted */
  bool detached; /* runs without a slot; the next round looks for a slot of
                    its team on its workers */
  bool waits_for_unit;      /* at least one unit is kept for it */
  bool backfill;            /* runs on a worker reserved for another job */
  bool cancelled;           /* is removed, not queued again, when it ends */
  uint32_t spot_count;      /* 0, or shape.tasks */
  struct place_spot *spots; /* sorted by the number of the worker */
  struct place_reservation *reservation; /* or NULL */
  uint32_t accused;  /* workers on which a failure of the job counted */
  uint32_t failures; /* count against the job: none is on a worker that
                        was quarantined for it */
  /* Until this time the job avoids the workers on which it failed.  */
  int64_t failed_until_ms;
  uint32_t failed_count;
  struct place_worker_state *failed[PLACE_FAILED_WORKER_LIMIT];
  const char *wait; /* why it waits, for operators: a constant text */
};

/* Workers reserved for a queued job that does not fit yet.  Other jobs start
   there only if they are expected to end by the expected start.  */
struct place_reservation
{
  int64_t start_ms;   /* expected start, by the last check */
  int64_t first_ms;   /* the earliest start that was ever expected */
  int64_t renewed_ms; /* time of the last check of the expected start */
  GPtrArray *workers; /* of struct place_worker_state */
};

/* The resources of a worker that a search counts as free.  */
enum place_view
{
  PLACE_VIEW_FREE,    /* neither used nor claimed */
  PLACE_VIEW_FIRM,    /* neither in a slot nor used by guaranteed work: what
                         is left if all borrowed work is evicted */
  PLACE_VIEW_BOTH,    /* the smaller of the two above, for each resource */
  PLACE_VIEW_CAPACITY /* the whole capacity, also of workers that are down */
};

/* What a search for workers asks for.  */
struct place_search
{
  uint32_t tasks;
  struct place_amount each; /* resources of one task */
  enum place_span span;
  struct place_centre *centre;       /* NULL: any */
  struct place_worker_state *anchor; /* stay within SPAN of it, or NULL */
  const struct place_job_state *job; /* skip workers that it avoids; or NULL */
  enum place_view view;
  int64_t end_ms; /* expected end of the job: workers reserved for others are
                     skipped if it is later than their expected start */
};

/* The fields by which policies differ, see place.h.  */
struct place_policy
{
  const char *name;
  bool guarantees; /* guarantees and borrowing apply */
  bool reserves;   /* jobs that do not fit get reservations */
  bool stops;      /* the round ends at the first job that does not fit */
  /* The next job of a team, by its cursors; NULL if there is none.  */
  struct place_job_state *(*head) (const struct place_team_state *team);
  /* Of the next jobs of all teams the one of the lowest rank is tried.  */
  double (*rank) (const struct place_job_state *job, int64_t now_ms);
};

struct place
{
  struct place_params params;
  GHashTable *centres; /* name -> struct place_centre */
  GPtrArray *centre_list;
  GPtrArray *racks;
  GHashTable *workers; /* name -> struct place_worker_state */
  GPtrArray *worker_list;
  uint32_t worker_number; /* of the next new worker */
  GHashTable *teams;      /* name -> struct place_team_state */
  GPtrArray *team_list;
  GPtrArray *active;  /* teams with queued jobs, in this round */
  GArray *candidates; /* of struct place_candidate, one for each active team */
  uint32_t picked;    /* index in both of the job picked last */
  GHashTable *jobs;   /* id -> struct place_job_state */
  GPtrArray *claims;  /* jobs in PLACE_CLAIMING */
  GPtrArray *reservations;   /* jobs that have a reservation */
  GPtrArray *notices;        /* of struct place_notice, for the next round */
  uint64_t sequence;         /* of the next new job */
  uint32_t running;          /* jobs running or being stopped */
  struct place_amount total; /* capacity of the workers that are up */
  bool dirty;                /* units may have to be bound anew or reported */
  bool changed;              /* an event has come since the last round */
  bool rejudge;              /* queued jobs may have become infeasible */
  bool capacity_lost; /* queued jobs are to be checked against the workers too,
                         because some were removed or lost capacity */
  bool looked_ahead;  /* this round has examined a reservation; to bound its
                         time it examines no other */
  bool paused;        /* all teams */
  bool wishes;        /* a unit is wanted in another data centre */
  int64_t unbar_ms;   /* until when some job avoids a worker */
  bool short_of;      /* a guarantee cannot be met */
  GArray *commands;   /* of struct place_command, of the last round */
  GStringChunk *texts; /* texts of these commands */
  GPtrArray *blocks;   /* assignment arrays of these commands */
  GArray *failed;  /* struct place_search that found nothing in this round */
  GArray *options; /* scratch memory of place_fit () */
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

/* ===== place_amount.c ========================================= */

struct place_amount place_amount_of (const struct place_resources *from);
void place_add (struct place_amount *to, const struct place_amount *what);
void place_subtract (struct place_amount *to, const struct place_amount *what);
struct place_amount place_times (const struct place_amount *what, int64_t n);
bool place_covers (const struct place_amount *have,
                   const struct place_amount *need);
/* How many times EACH fits into HAVE, at most LIMIT.  */
uint32_t place_goes_into (const struct place_amount *have,
                          const struct place_amount *each, uint32_t limit);
/* The smaller of A and B for each resource by itself.  */
struct place_amount place_least (const struct place_amount *a,
                                 const struct place_amount *b);
/* Replaces the span of a shape of one task, where any span means the same:
   PLACE_SPAN_WORKER in a guarantee, which then serves jobs of every span, and
   PLACE_SPAN_ANY in a job.  */
void place_normalise (struct place_shape *shape, bool guarantee);
bool place_same_shape (const struct place_shape *a,
                       const struct place_shape *b);

/* ===== place_state.c ========================================== */

int64_t place_now (const struct place *place);
/* The following _get () functions create what does not exist yet.  */
struct place_centre *place_centre_get (struct place *place, const char *name);
struct place_worker_state *place_worker_get (struct place *place,
                                             const char *name);
/* Whether a worker is up and healthy, neither quarantined nor probed.  */
bool place_usable (const struct place_worker_state *worker);
/* Updates the summary of a worker's rack; to be called after each change of
   the worker's free resources, its health or whether it is up.  */
void place_touch (struct place_worker_state *worker);
struct place_team_state *place_team_get (struct place *place,
                                         const char *name);
/* Whether NAME is a data centre without workers; false for NULL, "" and as
   long as no worker has appeared at all.  */
bool place_centre_unknown (const struct place *place, const char *name);
/* Frees workers that have been down for PLACE_WORKER_FORGET_MS, and teams
   that are not configured any more; neither while something refers to them. */
void place_forget_workers (struct place *place);
void place_forget_teams (struct place *place);

/* ===== place_jobs.c =========================================== */

/* Inserts JOB in the order of arrival and sets it to PLACE_QUEUED.  */
void place_queue_insert (struct place_job_state *job);
void place_queue_remove (struct place_job_state *job);
/* Gives JOB a copy of SPOTS, one for each task, sorted by worker.  */
void place_spots_set (struct place_job_state *job,
                      const struct place_spot *spots);
/* The resources that the spots of JOB take on a worker.  */
struct place_amount place_amount_on (const struct place_job_state *job,
                                     const struct place_worker_state *worker);
/* Accounts for the spots of JOB on its workers, its slots and its team, and
   sets it to PLACE_RUNNING; picks accelerators for spots that have none.  */
void place_occupy (struct place *place, struct place_job_state *job);
/* Undoes place_occupy () and frees the spots.  */
void place_vacate (struct place *place, struct place_job_state *job);
/* Claims the spots of JOB: its workers keep these resources for it until
   evictions have freed them.  The job must have left its queue.  */
void place_claim (struct place *place, struct place_job_state *job);
/* Turns a claim into a running job.  */
void place_claim_start (struct place *place, struct place_job_state *job);
/* Ends a claim; the job is then in no queue.  */
void place_unclaim (struct place *place, struct place_job_state *job);
/* Account for the slots of JOB alone, for when guarantees change while it
   runs.  place_release_slots () also removes the slots from its spots.  */
void place_take_slots (struct place_job_state *job);
void place_release_slots (struct place_job_state *job);
/* Sets whether JOB is borrowed, and its share of the guaranteed resources of
   its workers accordingly.  */
void place_set_borrowed (struct place_job_state *job, bool borrowed);
/* A running job is told to stop; has stopped.  */
void place_evicting_begin (struct place_job_state *job);
void place_evicting_end (struct place_job_state *job);
/* Frees a job that is in no queue and has no workers.  */
void place_job_remove (struct place *place, struct place_job_state *job);
/* Adds a command about JOB to the next round; all texts are copied.  */
void place_notify (struct place *place, enum place_command_kind kind,
                   const struct place_job_state *job, const char *reason);
void place_notice_free (void *data);
/* Whether its team may borrow and JOB can be evicted without loss of more than
   time.  */
bool place_may_borrow (const struct place_job_state *job);
void place_job_free (void *data);

/* ===== place_fit.c ============================================ */

GArray *place_options_new (void);
/* Finds workers for a search.  Returns whether all tasks fit; if so, SPOTS has
   search->tasks entries, without slots and accelerators.  */
bool place_fit (struct place *place, const struct place_search *search,
                struct place_spot *spots);
/* How many tasks of the search fit on WORKER.  */
uint32_t place_room (const struct place *place,
                     const struct place_search *search,
                     const struct place_worker_state *worker);

/* ===== place_fit_once.c ====================================== */

/* As place_fit (), but fails at once if a search for no more has failed in
   this round already.  */
bool place_fit_once (struct place *place, const struct place_search *wanted,
                     struct place_spot *spots);

/* ===== place_room.c ========================================== */

/* The resources of a worker that VIEW counts as free; may be negative.  */
struct place_amount place_view_of (const struct place_worker_state *worker,
                                   enum place_view view);
/* COUNT free accelerators of a worker, adjacent where possible.  */
uint64_t place_pick_accelerators (const struct place_worker_state *worker,
                                  uint32_t count);

/* ===== place_unit.c =========================================== */

void place_unit_free (void *data);
/* Adds and removes units of a team until they match its new guarantees.  Jobs
   in a removed unit keep running, as borrowed if they may borrow; claims in it
   go back to the queue.  */
void place_units_replace (struct place *place, struct place_team_state *team,
                          const struct place_guarantee *guarantees,
                          size_t count);
void place_slot_bind (struct place_slot *slot,
                      struct place_worker_state *worker);
void place_slot_unbind (struct place_slot *slot);
/* Binds an unbound unit to the workers of SPOTS; unbinds a unit that no job
   uses.  */
void place_unit_bind (struct place_unit *unit, const struct place_spot *spots);
void place_unit_unbind (struct place_unit *unit);
/* The search for workers of a whole unit.  */
struct place_search place_unit_search (const struct place_unit *unit,
                                       enum place_view view);
/* Whether all slots of a unit are bound to workers that meet
   place_keeps_promises ().  */
bool place_unit_whole (const struct place_unit *unit);
/* Whether a worker is usable and its capacity covers its slots and the
   guaranteed jobs on it.  */
bool place_keeps_promises (const struct place_worker_state *worker);
/* Keeps units of the job's team free of other jobs until JOB fits there, so
   that a stream of smaller jobs does not keep it out.  */
void place_unit_wait (struct place *place, struct place_job_state *job);
/* Undoes place_unit_wait ().  */
void place_unit_waiter_drop (struct place_job_state *job);

/* ===== place_guarantee.c ====================================== */

/* Binds units that are not bound, if need be by binding all unused units
   anew, and emits PLACE_UNMET and PLACE_MET.  */
void place_settle (struct place *place);
/* Writes a text for a shape, such as "2 x (8 accelerators, ...) in one
   rack".  */
void place_shape_text (const struct place_shape *shape, char *text,
                       size_t size_bytes);

/* ===== place_attach.c ========================================= */

/* Binds unused units of the job's team to the workers where JOB runs and puts
   it into their slots, so that it is no longer borrowed.  Returns whether all
   its tasks have slots.  */
bool place_attach (struct place *place, struct place_job_state *job);

/* ===== place_move.c ========================================== */

/* Whether JOB may not use a worker: it is not usable, not in the job's data
   centre, or JOB avoids it after a failure.  */
bool place_barred (const struct place_job_state *job,
                   const struct place_worker_state *worker);
/* Whether JOB may use all workers of a unit and the unit's resources are free
   there.  */
bool place_unit_ready (const struct place_unit *unit,
                       const struct place_job_state *job);
/* Binds an unused unit to workers that JOB may use and that are free now, if
   need be by exchange with a unit of the same shape.  Returns whether it
   did.  */
bool place_unit_move (struct place *place, struct place_unit *unit,
                      const struct place_job_state *job);

/* ===== place_cheapest.c ====================================== */

/* Binds an unused unit to the workers on which evictions for it lose the
   least work.  */
void place_unit_move_cheapest (struct place *place, struct place_unit *unit,
                               const struct place_job_state *job);

/* ===== place_firm.c =========================================== */

/* The units that a job may use, in the order in which they are to be tried;
   the caller frees the list.  */
GPtrArray *place_units_for (struct place_job_state *job);
/* Starts a job within its team's guarantee, or claims workers for it and
   evicts borrowed work there.  Returns whether the job has left its queue.  */
bool place_firm_try (struct place *place, struct place_job_state *job);

/* ===== place_evict.c ========================================== */

/* The work that is lost if a job is evicted now, in accelerator
   milliseconds.  */
double place_loss (const struct place *place,
                   const struct place_job_state *job);
/* The work that is lost if evictions free NEED on a worker; negative if
   evictions cannot free that much.  */
double place_evict_loss (struct place *place,
                         struct place_worker_state *worker,
                         const struct place_amount *need);
/* Evicts borrowed jobs on a worker until the claims there are covered.  JOB is
   the job that needs the resources.  */
void place_evict_for (struct place *place, struct place_worker_state *worker,
                      const struct place_job_state *job);
/* Evicts VICTIM, which runs and is borrowed; JOB is the job that needs its
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
void place_reservations_round (struct place *place);
/* When a reservation is next due for a check; INT64_MAX for never.  */
int64_t place_reservations_next_ms (const struct place *place);

/* ===== place_never.c ========================================== */

/* Whether a job could run on the idle cluster, within its team's quota and, if
   it may not borrow, its guarantees.  PLACE_OK if so; else PLACE_ERR_NEVER,
   and TEXT has the reason.  */
int place_never (struct place *place, const struct place_job_state *job,
                 char text[PLACE_TEXT_SIZE_BYTES]);
/* As place_never (), without the check of the workers: for a job that has
   passed it before and while no worker was removed or lost capacity.  */
int place_never_configured (struct place *place,
                            const struct place_job_state *job,
                            char text[PLACE_TEXT_SIZE_BYTES]);

/* ===== place_health.c ========================================= */

/* Records a failure of JOB on a worker, which may be quarantined for it.  RAN:
   a task failed; otherwise the job did not start.  */
void place_health_failed (struct place *place, struct place_job_state *job,
                          struct place_worker_state *worker, bool ran);
/* No worker counts failures of JOB any more, because it failed on several
   healthy workers; quarantines that rested on them end.  */
void place_health_absolve (struct place *place,
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
void place_kind_learn (struct place_job_state *job, uint64_t ran_ms);
/* Expected run time of the next attempt, after the checkpointed progress.  */
uint64_t place_expected_run_ms (const struct place_job_state *job);
/* Expected end of a running job.  */
int64_t place_expected_end_ms (const struct place *place,
                               const struct place_job_state *job);

/* ===== place_order.c ========================================== */

/* The order of one round: place_pick () returns the next job to try or NULL;
   place_pick_done () must follow and says whether the job has left its
   queue.  */
void place_picks_begin (struct place *place);
struct place_job_state *place_pick (struct place *place);
void place_pick_done (struct place *place, struct place_job_state *job,
                      bool left_queue);

/* ===== place_decide.c ========================================= */

/* Appends a command to the round.  The pointer is valid until the next
   call.  */
struct place_command *place_emit (struct place *place,
                                  enum place_command_kind kind);
/* Copies a text of a command; the copy lives until the next round.  */
const char *place_text (struct place *place, const char *text);
/* Starts a queued job on its spots.  */
void place_start (struct place *place, struct place_job_state *job);
bool place_paused (const struct place *place,
                   const struct place_job_state *job);
/* Whether the start of a queued job would exceed the quota of its team.  */
bool place_over_quota (const struct place_job_state *job);

#endif
