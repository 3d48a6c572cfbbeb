/* Inside the scheduling core; for its own files only.  */

#ifndef FT_SCHED_PRIVATE_H
#define FT_SCHED_PRIVATE_H

#include "sched/estimate.h"
#include "sched/sched.h"

enum
{
  /* An end `failed` on a worker may be the job's own fault; two of different
     jobs in a row are the worker's.  */
  SD_BAD_STREAK = 2,
  /* How long a worker that fails all is left alone before one more try:
     about two heartbeats of the platform.  */
  SD_AVOID_MS = 6000,
  /* A percent of a task of 11 s takes 0.11 s; times the slow-down of work away
     from its rack; looks come each 1.9 s.  */
  SD_STALL_MS = 500,
  /* Until all of a gang are there, and a checkpoint is restored, the work
     does not begin.  */
  SD_STALL_FIRST_MS = 3500,
  /* A worker that refused for want of room is asked again after this: a stop
     takes 200 ms and is listed by then.  */
  SD_ROOM_SHUT_MS = 300,
  /* A worker that left an order unanswered: until most looks would show that
     it is out of touch.  */
  SD_SILENT_SHUT_MS = 800,
};

struct sd_sched
{
  struct sd_params params;
  struct jb_table *table;
  const struct ct_catalog *catalog; /* NULL: none yet */
  GHashTable *workers_by_id;
  GPtrArray *workers;
  GPtrArray *active;  /* struct jb_job: not ended, by arrival */
  GPtrArray *changed; /* struct jb_job */
  GPtrArray *stops;   /* struct jb_task: stops that events asked for */
  GArray *misfits;    /* struct sd_unit: found not to fit in this round */
  struct es_table *estimates; /* what queues have shown of their work */
  uint32_t reserved_count;    /* tasks of gangs that room is reserved for, in a
                                 round */
  uint32_t reserve_tries;     /* new reservations looked for, in a round */
  bool roomy; /* in this round: so much is idle that reservations do not count
               */
  GHashTable *reservations; /* struct jb_step -> struct sd_reservation */
  GHashTable *advice;       /* struct jb_step -> struct sd_advice */
  uint64_t advice_asked;    /* workers that the advisor was asked about */
  uint64_t advice_allowed;  /* and those that it allowed */
  GHashTable *claims;       /* struct jb_step -> struct sd_claim */
};

/* --- ledger.c: room on workers --- */

/*! sd_place () :
 *  Enters TASK as placed on WORKER with the given run number. */
void sd_place (struct sd_sched *sched, struct jb_task *task,
               struct sd_worker *worker, uint32_t run, int64_t now_ms);

/*! sd_release () :
 *  Gives the room of TASK back and lets it wait. */
void sd_release (struct sd_sched *sched, struct jb_task *task);

/*! sd_mark_changed () :
 *  The job's progress must be recorded. */
void sd_mark_changed (struct sd_sched *sched, struct jb_job *job);

/*! sd_stop_task () :
 *  A placed task is to be stopped. */
void sd_stop_task (struct sd_sched *sched, struct jb_task *task);

/*! sd_stop_step () :
 *  All placed tasks of a step are to be stopped. */
void sd_stop_step (struct sd_sched *sched, struct jb_step *step);

bool sd_room_fits (const struct jb_room *need, const struct jb_room *room);
void sd_room_add (struct jb_room *room, const struct jb_room *more);
void sd_room_take (struct jb_room *room, const struct jb_room *less);

/*! sd_room_copies () :
 *  @return : how many times NEED fits into ROOM, at most LIMIT. */
uint32_t sd_room_copies (const struct jb_room *need,
                         const struct jb_room *room, uint32_t limit);

/* --- health.c --- */

void sd_health_done (struct sd_worker *worker, int64_t now_ms);
void sd_health_failed (struct sd_worker *worker, const struct jb_job *job,
                       int64_t now_ms);
void sd_health_refused (struct sd_worker *worker, int64_t now_ms);

void sd_health_suspect (struct sd_worker *worker, int64_t now_ms);

/*! sd_health_stalled () :
 *  @return : whether a task has stood still for too long. */
bool sd_health_stalled (const struct sd_sched *sched,
                        const struct jb_task *task, int64_t now_ms);

enum sd_pace_of_work
{
  SD_WORK_USUAL,
  SD_WORK_SLOW,         /* much slower than its siblings elsewhere */
  SD_WORK_BETTER_MOVED, /* and sooner done if it began anew elsewhere */
};

/*! sd_health_pace () :
 *  @return : how a task that runs gets on, as shown last. */
enum sd_pace_of_work sd_health_pace (const struct jb_task *task);

/*! sd_health_avoided () :
 *  @return : whether nothing should be placed on the worker now. */
bool sd_health_avoided (const struct sd_worker *worker, int64_t now_ms);

/* --- order.c --- */

/* What is placed as a whole: a gang, or the waiting tasks of a step.  */
struct sd_unit
{
  struct jb_step *step;
  const struct ct_queue *queue;
  const char *service;
  uint32_t waiting;
  uint32_t priority;
  int64_t due_ms;           /* steady clock: the objective */
  struct sd_advice *advice; /* NULL: its queue has no advisor */
  bool guaranteed;          /* of its team's guarantee: may take room back */
};

/*! sd_collect_units () :
 *  @return : struct sd_unit of all that could start now, in the order in
 *            which they are placed; to be freed by g_array_free (). */
GArray *sd_collect_units (struct sd_sched *sched, int64_t now_unix_ms);

/* --- advice.c --- */

void sd_advice_free (void *data);

/*! sd_advice_of () :
 *  @return : what is known for the step, never NULL. */
struct sd_advice *sd_advice_of (struct sd_sched *sched, struct jb_step *step);

/*! sd_advice_refuses (), sd_advice_allows (), sd_advice_has_ticket () :
 *  Whether the advisor is known not to allow the worker; to allow it; and
 *  whether a start could show a ticket.  ADVICE may be NULL: no advisor. */
bool sd_advice_refuses (const struct sd_advice *advice, const char *worker);
bool sd_advice_allows (const struct sd_advice *advice, const char *worker);
bool sd_advice_has_ticket (const struct sd_advice *advice, const char *worker,
                           int64_t now_ms);

/*! sd_advice_forget () :
 *  The worker of TASK has refused its ticket. */
void sd_advice_forget (struct sd_sched *sched, const struct jb_task *task);

/*! sd_want_advice () :
 *  For a unit that could not be placed as a whole: adds a question, if one is
 *  worth asking now. */
void sd_want_advice (struct sd_sched *sched, const struct sd_unit *unit,
                     int64_t now_ms, GPtrArray *asks);

/* --- place.c --- */

/* A choice of workers for tasks: pairs of a task and its worker.  */
struct sd_choice
{
  GPtrArray *tasks;   /* struct jb_task */
  GPtrArray *workers; /* struct sd_worker */
};

/*! sd_suits () :
 *  @return : whether the unit's tasks may run on the worker at all: it is
 *            listed, stays, and has the service and the label. */
bool sd_suits (const struct sd_worker *worker, const struct sd_unit *unit);

/*! sd_usable () :
 *  @return : whether it also is in touch and not avoided. */
bool sd_usable (const struct sd_worker *worker, const struct sd_unit *unit,
                int64_t now_ms);

/*! sd_choose () :
 *  Chooses workers for the waiting tasks of UNIT by their round_free; of a
 *  gang for all or none.
 *  @return : whether all waiting tasks have a worker. */
bool sd_choose (const struct sd_sched *sched, const struct sd_unit *unit,
                int64_t now_ms, struct sd_choice *choice);

/*! sd_could_ever_fit () :
 *  @return : whether the unit fits on the listed workers when they are
 *            empty. */
bool sd_could_ever_fit (const struct sd_sched *sched,
                        const struct sd_unit *unit, bool one_rack);

/*! sd_known_misfit () :
 *  @return : whether a unit that asks for no more has been found not to fit in
 *            this round; room only shrinks in a round. */
bool sd_known_misfit (const struct sd_sched *sched,
                      const struct sd_unit *unit);

/* --- reserve.c --- */

void sd_reservation_free (void *data);

/*! sd_reservations_begin (), sd_reservations_end () :
 *  Around a round: what is reserved is entered; reservations of gangs that
 * wait no more are dropped. */
void sd_reservations_begin (struct sd_sched *sched);
void sd_reservations_end (struct sd_sched *sched);

/*! sd_reservation_give_back () :
 *  The unit itself may use the room that is reserved for it.
 *  @return : whether room is reserved for it. */
bool sd_reservation_give_back (struct sd_sched *sched,
                               const struct sd_unit *unit);

/*! sd_reserve_room () :
 *  For a gang that does not fit: room on the workers that will have it
 *  soonest is kept from others. */
void sd_reserve_room (struct sd_sched *sched, const struct sd_unit *unit,
                      int64_t now_ms);

/*! sd_reservation_end () :
 *  The gang has been placed. */
void sd_reservation_end (struct sd_sched *sched, const struct sd_unit *unit);

/* --- preempt.c --- */

/* Room that tasks which are being stopped will leave for a step.  */
struct sd_claim
{
  int64_t until_ms;
  GPtrArray *workers; /* struct sd_worker, one for each task */
};

void sd_claim_free (void *data);

/*! sd_claims_take () :
 *  At the start of a round: claimed room is not free for others. */
void sd_claims_take (struct sd_sched *sched, int64_t now_ms);

/*! sd_claim_give_back () :
 *  The unit itself may use the room that is claimed for it.
 *  @return : whether it has a claim that still counts. */
bool sd_claim_give_back (struct sd_sched *sched, const struct sd_unit *unit,
                         int64_t now_ms);

/*! sd_claim_end () :
 *  The unit has been placed. */
void sd_claim_end (struct sd_sched *sched, const struct sd_unit *unit);

/*! sd_preempt () :
 *  For a guaranteed unit that does not fit: has tasks of lower priority
 *  stopped, and takes the room that they will leave from round_free. */
void sd_preempt (struct sd_sched *sched, const struct sd_unit *unit,
                 int64_t now_ms);

#endif
