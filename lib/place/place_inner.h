/* Inner state of the placement core, shared by its modules.  */

#ifndef FT_PLACE_INNER_H
#define FT_PLACE_INNER_H

#include <glib.h>

#include "place/place.h"

enum
{
  PLACE_BLAME_LIMIT = 8,         /* jobs remembered that failed on a worker */
  PLACE_FAILED_WORKER_LIMIT = 8, /* workers remembered by a failed job */
  PLACE_BACKOFF_LIMIT = 10,      /* doublings of a quarantine */
  PLACE_FAILED_SEARCH_LIMIT = 4, /* remembered in a round, for each team */
  PLACE_RESERVATION_LIMIT = 8,   /* reservations at a time */
  PLACE_KIND_LIMIT = 64,         /* kinds with a history, for each team */
  PLACE_WORKER_FORGET_MS = 3600000, /* after a worker went down */
  PLACE_AGEING_MS = 600000,         /* of waiting outweigh one whole share */
  PLACE_DEFAULT_RUN_MS = 3600000,   /* when nothing is known of a job */
  PLACE_SETTLE_MS = 30000           /* between attempts to mend guarantees */
};

/* Signed, because a worker may come back smaller than what it runs.  */
struct place_amount
{
  int64_t cpus_milli;
  int64_t memory_mb;
  int64_t accelerators;
};

struct place_worker_state;
struct place_job_state;
struct place_team_state;

struct place_centre
{
  char *name;
  GPtrArray *racks; /* of struct place_rack */
};

struct place_rack
{
  char *name;
  struct place_centre *centre;
  GPtrArray *workers;         /* of struct place_worker_state */
  struct place_amount total;  /* free on its workers, no less */
  struct place_amount widest; /* largest free on any of them, no less */
};

enum place_health
{
  PLACE_HEALTHY = 0,
  PLACE_QUARANTINED = 1,
  PLACE_PROBING = 2 /* one job at a time until one succeeds */
};

struct place_worker_state
{
  char *name;
  uint32_t number; /* by arrival, to break ties */
  struct place_rack *rack;
  struct place_amount capacity;
  struct place_amount used;     /* by running jobs */
  struct place_amount evicting; /* of USED: by jobs told to stop */
  struct place_amount held;     /* for jobs that wait for an eviction */
  struct place_amount firm;     /* of jobs within a guarantee, held or used */
  struct place_amount reserved; /* of guarantees, unused */
  uint64_t busy;                /* accelerators in use, as bits */
  GPtrArray *jobs;              /* running here, each once */
  struct place_job_state *reservation;
  bool up;
  bool shrunk; /* has less than what was placed on it */
  int64_t down_ms;
  enum place_health health;
  bool announce; /* a change of HEALTH is to be told */
  bool proven;   /* failed a probe */
  uint32_t backoff;
  int64_t quarantine_until_ms;
  uint32_t reserved_slots; /* bound here */
  uint32_t holds;          /* tasks of claims here */
  uint32_t blame_count;
  uint32_t blame[PLACE_BLAME_LIMIT]; /* hashes of job ids */
};

/* One task of a guaranteed shape, bound to a worker.  */
struct place_slot
{
  struct place_unit *unit;
  struct place_worker_state *worker; /* NULL: not bound */
  struct place_amount left;
  uint32_t jobs; /* tasks of jobs inside */
};

/* One guaranteed shape of a team.  */
struct place_unit
{
  struct place_team_state *team;
  struct place_shape shape; /* normalised */
  struct place_amount each; /* of one slot */
  struct place_slot *slots; /* shape.tasks of them */
  uint32_t jobs;            /* tasks of jobs inside */
  uint32_t missing;         /* slots without a worker */
  bool told_unmet;
  struct place_job_state *waiter; /* for whom the unit drains */
};

/* What jobs of one team and kind have shown.  */
struct place_kind
{
  char *name;
  uint32_t samples;
  double log_ratio; /* mean of log (run time / declared) */
  double run_ms;    /* mean run time */
};

/* A search for slots that found none in this round.  */
struct place_failed_search
{
  uint32_t tasks;
  enum place_span span;
  struct place_amount each;
};

struct place_team_state
{
  char *name;
  bool gone;
  bool paused;
  bool may_borrow;
  uint32_t weight;
  struct place_amount quota; /* 0: no limit */
  struct place_amount used;  /* by running and claiming jobs */
  GPtrArray *units;          /* of struct place_unit */
  GPtrArray *queue;          /* of struct place_job_state, by arrival */
  GPtrArray *urgent;         /* ... those that are urgent */
  double share;              /* dominant, by weight */
  uint32_t failed_count;
  struct place_failed_search failed[PLACE_FAILED_SEARCH_LIMIT];
  uint32_t cursor; /* next of QUEUE in this round */
  uint32_t urgent_cursor;
  uint32_t jobs; /* queued or placed */
  GHashTable *kinds;
};

enum place_phase
{
  PLACE_QUEUED = 0,
  PLACE_CLAIMING = 1, /* waits for evictions on its workers */
  PLACE_RUNNING = 2,
  PLACE_EVICTING = 3
};

/* Where one task of a job is.  */
struct place_spot
{
  struct place_worker_state *worker;
  struct place_slot *slot; /* of a guarantee, or NULL */
  uint64_t accelerators;
};

struct place_job_state
{
  char *id;
  uint32_t hash;
  struct place_team_state *team;
  struct place_kind *kind;
  struct place_centre *centre; /* NULL: any */
  struct place_shape shape;    /* normalised */
  struct place_amount each;    /* of one task */
  uint64_t declared_run_ms;
  uint64_t progress_ms;
  uint64_t ran_ms;      /* of this attempt, as reported */
  uint64_t saved_ms;    /* PROGRESS_MS at the start of this attempt */
  uint64_t expected_ms; /* run time of this attempt */
  int64_t submitted_ms;
  int64_t started_ms;
  int64_t no_reservation_until_ms;
  uint64_t sequence;
  uint32_t attempt;
  enum place_phase phase;
  bool urgent;
  bool checkpointable;
  bool repeatable;
  bool borrowed;       /* may be evicted */
  bool detached;       /* a guarantee is to be looked for where it runs */
  bool waits_for_unit; /* is the waiter of a unit */
  bool backfill;       /* runs on a worker reserved for another job */
  bool cancelled;      /* while it holds workers */
  uint32_t spot_count;
  struct place_spot *spots;
  struct place_reservation *reservation;
  uint32_t accused;        /* workers that count its failures */
  uint32_t failures;       /* that are not put down to a worker */
  int64_t failed_until_ms; /* when it may use these again */
  uint32_t failed_count;
  struct place_worker_state *failed[PLACE_FAILED_WORKER_LIMIT];
  const char *wait; /* why it waits: a constant text */
};

/* Workers kept for a large job that waits.  */
struct place_reservation
{
  int64_t start_ms;   /* expected now */
  int64_t first_ms;   /* the earliest that was ever expected */
  int64_t renewed_ms; /* when START_MS was last looked at */
  GPtrArray *workers; /* of struct place_worker_state */
};

/* Amounts that count as free in a search.  */
enum place_view
{
  PLACE_VIEW_FREE,    /* nothing runs there and nothing is held */
  PLACE_VIEW_FIRM,    /* not promised to any guarantee */
  PLACE_VIEW_BOTH,    /* both of the above */
  PLACE_VIEW_CAPACITY /* all that the worker has, up or not */
};

/* A search for workers.  */
struct place_search
{
  uint32_t tasks;
  struct place_amount each;
  enum place_span span;
  struct place_centre *centre;       /* NULL: any */
  struct place_worker_state *anchor; /* stay within SPAN of it, or NULL */
  const struct place_job_state *job; /* avoids workers where it failed */
  enum place_view view;
  int64_t end_ms; /* expected end, for workers reserved for others */
};

/* Behaviour that varies, see place.h.  */
struct place_policy
{
  const char *name;
  bool guarantees;
  bool reserves;
  bool stops; /* the round ends at the first job that does not fit */
  /* The next job of a team at its cursors, or NULL.  */
  struct place_job_state *(*head) (const struct place_team_state *team);
  /* Of the heads of all teams the least is tried next.  */
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
  uint32_t worker_number; /* of the next new one */
  GHashTable *teams;      /* name -> struct place_team_state */
  GPtrArray *team_list;
  GPtrArray *active;       /* teams with jobs waiting, in this round */
  GArray *candidates;      /* of struct place_candidate, for each of these */
  uint32_t picked;         /* index of the last pick in both */
  GHashTable *jobs;        /* id -> struct place_job_state */
  GPtrArray *claims;       /* jobs in PLACE_CLAIMING */
  GPtrArray *reservations; /* jobs that hold one */
  GPtrArray *notices;      /* of struct place_notice, for the next round */
  uint64_t sequence;
  uint32_t running;
  struct place_amount total; /* of the workers that are up */
  bool dirty;                /* guarantees are to be looked at again */
  bool changed;              /* an event since the last round */
  bool rejudge;              /* queued jobs may have become impossible */
  bool capacity_lost;        /* ... because workers went or shrank */
  bool looked_ahead;         /* one reservation is looked at in a round */
  bool paused;
  bool wishes;      /* a unit is wanted in another data centre */
  int64_t unbar_ms; /* the last FAILED_UNTIL_MS of any job */
  bool short_of;    /* a guarantee cannot be met */
  GArray *commands;
  GStringChunk *texts;
  GPtrArray *blocks; /* assignment arrays of the last round */
  GArray *failed;    /* searches that found nothing in this round */
  GArray *options;   /* scratch of place_fit () */
};

/* What a team would start next.  */
struct place_candidate
{
  struct place_job_state *job; /* NULL: nothing */
  double rank;
};

/* A job to be told of and removed in the next round.  */
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
/* How many times EACH goes into HAVE, at most LIMIT.  */
uint32_t place_goes_into (const struct place_amount *have,
                          const struct place_amount *each, uint32_t limit);
struct place_amount place_least (const struct place_amount *a,
                                 const struct place_amount *b);
void place_normalise (struct place_shape *shape, bool guarantee);
bool place_same_shape (const struct place_shape *a,
                       const struct place_shape *b);

/* ===== place_state.c ========================================== */

int64_t place_now (const struct place *place);
struct place_centre *place_centre_get (struct place *place, const char *name);
struct place_worker_state *place_worker_get (struct place *place,
                                             const char *name);
/* Whether a worker may get new work.  */
bool place_usable (const struct place_worker_state *worker);
/* Brings the summary of a worker's rack up to date.  */
void place_touch (struct place_worker_state *worker);
struct place_team_state *place_team_get (struct place *place,
                                         const char *name);
/* Whether a data centre is named that no worker is in.  */
bool place_centre_unknown (const struct place *place, const char *name);
/* Frees workers that went down long ago, and teams that are gone.  */
void place_forget_workers (struct place *place);
void place_forget_teams (struct place *place);

/* ===== place_jobs.c =========================================== */

void place_queue_insert (struct place_job_state *job);
void place_queue_remove (struct place_job_state *job);
/* Gives JOB its spots; they are sorted by worker.  */
void place_spots_set (struct place_job_state *job,
                      const struct place_spot *spots);
/* What JOB has or holds on a worker.  */
struct place_amount place_amount_on (const struct place_job_state *job,
                                     const struct place_worker_state *worker);
/* Marks the spots of JOB as in use; picks the accelerators where none are
   given.  */
void place_occupy (struct place *place, struct place_job_state *job);
/* Undoes place_occupy () and gives slots back.  */
void place_vacate (struct place *place, struct place_job_state *job);
/* Holds the spots of JOB until evictions have freed them.  */
void place_claim (struct place *place, struct place_job_state *job);
void place_claim_start (struct place *place, struct place_job_state *job);
void place_unclaim (struct place *place, struct place_job_state *job);
/* Only the slots, when guarantees change under a job.  */
void place_take_slots (struct place_job_state *job);
void place_release_slots (struct place_job_state *job);
void place_set_borrowed (struct place_job_state *job, bool borrowed);
void place_evicting_begin (struct place_job_state *job);
void place_evicting_end (struct place_job_state *job);
void place_job_remove (struct place *place, struct place_job_state *job);
void place_notify (struct place *place, enum place_command_kind kind,
                   const struct place_job_state *job, const char *reason);
void place_notice_free (void *data);
bool place_may_borrow (const struct place_job_state *job);
void place_job_free (void *data);

/* ===== place_fit.c ============================================ */

GArray *place_options_new (void);
/* Finds workers for a search; SPOTS gets search->tasks entries.
   Returns whether all tasks have a place.  */
bool place_fit (struct place *place, const struct place_search *search,
                struct place_spot *spots);
uint32_t place_room (const struct place *place,
                     const struct place_search *search,
                     const struct place_worker_state *worker);

/* ===== place_fit_once.c ====================================== */

/* As place_fit (), but remembers what found nothing in this round.  */
bool place_fit_once (struct place *place, const struct place_search *wanted,
                     struct place_spot *spots);

/* ===== place_room.c ========================================== */

struct place_amount place_view_of (const struct place_worker_state *worker,
                                   enum place_view view);
/* COUNT free accelerators of a worker, adjacent where possible.  */
uint64_t place_pick_accelerators (const struct place_worker_state *worker,
                                  uint32_t count);

/* ===== place_unit.c =========================================== */

void place_unit_free (void *data);
/* Makes the units of a team those of its new guarantees.  */
void place_units_replace (struct place *place, struct place_team_state *team,
                          const struct place_guarantee *guarantees,
                          size_t count);
void place_slot_bind (struct place_slot *slot,
                      struct place_worker_state *worker);
void place_slot_unbind (struct place_slot *slot);
/* Binds an unbound unit to SPOTS; unbinds an unused one.  */
void place_unit_bind (struct place_unit *unit, const struct place_spot *spots);
void place_unit_unbind (struct place_unit *unit);
/* The search for workers of a whole unit.  */
struct place_search place_unit_search (const struct place_unit *unit,
                                       enum place_view view);
/* Whether all its slots are on usable workers that can keep them.  */
bool place_unit_whole (const struct place_unit *unit);
/* Whether a worker is usable and has all that is promised on it.  */
bool place_keeps_promises (const struct place_worker_state *worker);
/* Keeps units of its team from taking other jobs until JOB fits.  */
void place_unit_wait (struct place *place, struct place_job_state *job);
void place_unit_waiter_drop (struct place_job_state *job);

/* ===== place_guarantee.c ====================================== */

/* Binds what is unbound; tells what cannot be met.  */
void place_settle (struct place *place);
/* A text for a shape, such as "2 x (8 accelerators, ...) in one rack".  */
void place_shape_text (const struct place_shape *shape, char *text,
                       size_t size_bytes);

/* ===== place_attach.c ========================================= */

/* Moves unused guarantees of its team under a running job, so that it is
   no longer borrowed.  */
bool place_attach (struct place *place, struct place_job_state *job);

/* ===== place_move.c ========================================== */

/* Whether JOB may not use a worker.  */
bool place_barred (const struct place_job_state *job,
                   const struct place_worker_state *worker);
/* Whether JOB may use all workers of a unit and they are free.  */
bool place_unit_ready (const struct place_unit *unit,
                       const struct place_job_state *job);
/* Moves an unused unit to workers that are free now, for JOB.  */
bool place_unit_move (struct place *place, struct place_unit *unit,
                      const struct place_job_state *job);

/* ===== place_cheapest.c ====================================== */

/* Moves an unused unit to where evictions for it lose the least.  */
void place_unit_move_cheapest (struct place *place, struct place_unit *unit,
                               const struct place_job_state *job);

/* ===== place_firm.c =========================================== */

/* The units that a job may use, the one to take first in front; the caller
   frees the list.  */
GPtrArray *place_units_for (struct place_job_state *job);
/* Starts a job within its team's guarantee, or claims workers for it and
   evicts borrowed work there.  */
bool place_firm_try (struct place *place, struct place_job_state *job);

/* ===== place_evict.c ========================================== */

/* What is lost if a job is evicted now, in accelerator milliseconds.  */
double place_loss (const struct place *place,
                   const struct place_job_state *job);
/* What the evictions for EACH x TASKS more on a worker would lose; negative
   if evictions cannot give that much.  */
double place_evict_loss (struct place *place,
                         struct place_worker_state *worker,
                         const struct place_amount *need);
/* Evicts until all that is held on a worker has room.  */
void place_evict_for (struct place *place, struct place_worker_state *worker,
                      const struct place_job_state *job);
void place_evict (struct place *place, struct place_job_state *victim,
                  const struct place_job_state *job);

/* ===== place_reserve.c ======================================== */

void place_reservation_drop (struct place *place, struct place_job_state *job);
void place_reservation_make (struct place *place, struct place_job_state *job);
/* Starts what its reservation makes possible; renews expectations.  */
void place_reservations_round (struct place *place);
int64_t place_reservations_next_ms (const struct place *place);

/* ===== place_never.c ========================================== */

/* Whether a job could run if nothing else did.  */
int place_never (struct place *place, const struct place_job_state *job,
                 char text[PLACE_TEXT_SIZE_BYTES]);

/* The same for a job that could run on these workers before.  */
int place_never_configured (struct place *place,
                            const struct place_job_state *job,
                            char text[PLACE_TEXT_SIZE_BYTES]);

/* ===== place_health.c ========================================= */

/* RAN: the task failed; otherwise it did not start.  */
void place_health_failed (struct place *place, struct place_job_state *job,
                          struct place_worker_state *worker, bool ran);
/* Takes the blame for a bad job off all workers.  */
void place_health_absolve (struct place *place,
                           const struct place_job_state *job);
void place_health_succeeded (struct place *place, struct place_job_state *job);
void place_health_round (struct place *place);
int64_t place_health_next_ms (const struct place *place);

/* ===== place_estimate.c ======================================= */

struct place_kind *place_kind_get (struct place_team_state *team,
                                   const char *name);
void place_kind_free (void *data);
void place_kind_learn (struct place_job_state *job, uint64_t ran_ms);
uint64_t place_expected_run_ms (const struct place_job_state *job);
/* Expected end of a running job.  */
int64_t place_expected_end_ms (const struct place *place,
                               const struct place_job_state *job);

/* ===== place_order.c ========================================== */

/* The order of one round: the next job to try, and what became of it.  */
void place_picks_begin (struct place *place);
struct place_job_state *place_pick (struct place *place);
void place_pick_done (struct place *place, struct place_job_state *job,
                      bool left_queue);

/* ===== place_decide.c ========================================= */

struct place_command *place_emit (struct place *place,
                                  enum place_command_kind kind);
const char *place_text (struct place *place, const char *text);
void place_start (struct place *place, struct place_job_state *job);
bool place_paused (const struct place *place,
                   const struct place_job_state *job);
bool place_over_quota (const struct place_job_state *job);

#endif
