/* Internal declarations of the scheduling core, for the files of lib/sched
   only.  All times named now_ms or *_ms are milliseconds of the planner's
   steady clock; now_unix_ms is the time of day.  */

#ifndef FT_SCHED_PRIVATE_H
#define FT_SCHED_PRIVATE_H

#include "jobs/job_queue.h"
#include "sched/estimate.h"
#include "sched/sched.h"
#include "sched/speed.h"

enum
{
  /* A single run that fails on a worker may be the job's own fault; failures
     of two different jobs in a row are taken as the worker's fault.  */
  SD_FAILURE_STREAK_LIMIT = 2,
  /* How long no task is placed on a worker that failed, after which one is
     tried again: about two heartbeats of the platform.  */
  SD_AVOID_MS = 6000,
  /* For how long a worker is suspect after a first failure, if the job had not
     failed elsewhere; and if the task to be placed is at its last attempt.  */
  SD_SUSPECT_MS = 1500,
  SD_SUSPECT_LAST_ATTEMPT_MS = 10000,
  /* Suspect workers are avoided only while they are less than one in so many:
     otherwise the fault is more likely elsewhere.  */
  SD_SUSPECTS_PER_WORKERS = 4,
  /* A task whose percentage has not changed for this time, multiplied by the
     slow-down factor of remote tasks, is stalled.  One percent of a task of 11
     s takes 0.11 s, and workers are polled every 1.9 s.  A task is judged only
     when a poll shows the same percentage as the poll before.  */
  SD_STALL_TIMEOUT_MS = 500,
  /* The limit while a task is still at 0 percent, not multiplied by the
     slow-down factor of remote tasks: its work begins only after all members
     of its gang have started and its checkpoint is restored.  */
  SD_FIRST_PROGRESS_TIMEOUT_MS = 3500,
  /* A worker that refused a start for lack of resources, or once as unhealthy,
     gets no new task for this time.  By then a stop, which takes 200 ms, has
     ended and been reported.  */
  SD_REFUSAL_BACKOFF_MS = 300,
  /* A worker that did not answer a command gets no new task for this time.  By
     then a status poll has usually shown whether it is unreachable.  */
  SD_NO_ANSWER_BACKOFF_MS = 800,
  /* In addition, for progress is reported in whole percents: a task is stalled
     only after the time of so many percents of its work.  */
  SD_STALL_PERCENTS = 10,
  /* Each stop of a stalled task doubles its limits, up to this many times, so
     that a task of which the run time is not known is not stopped for ever. */
  SD_STALL_DOUBLINGS_MAX = 20,
  /* A run that has been on a worker for this time is past its start.  */
  SD_TASK_START_MS = 500,
  /* From the placement of a suspect until it is past its start, with the time
     that it takes to store and send the start.  */
  SD_SUSPECT_EXCLUSIVE_MS = 600,
};

/* What the listed workers of a service have that are in touch, and what is in
   use there.  */
struct sd_service_use
{
  struct jb_resources used;
  struct jb_resources capacity;
};

/* A sweep over waiting units for work that stands; see standing.c.  */
struct sd_sweep
{
  bool active; /* in this round */
  int64_t started_ms;
  uint32_t looks_left; /* in this round */
  uint32_t done;       /* in this sweep */
  uint32_t to_skip;    /* in this round, for they were done in earlier ones */
  bool unfinished;     /* the next round goes on with it */
  bool cut_short;      /* the next round begins another one */
};

struct sd_sched
{
  struct sd_params params;
  struct jb_table *table;
  /* Owned by the calling code; NULL: none yet.  */
  const struct ct_catalog *catalog;
  GHashTable *workers_by_id; /* id -> struct sd_worker, of `workers` */
  GPtrArray *workers;        /* struct sd_worker, owned; by sd_worker.index */
  GHashTable *rack_indexes;  /* name -> sd_worker.rack_index */
  GHashTable *service_indexes; /* name -> sd_worker.service_index */
  GPtrArray *active_jobs;   /* struct jb_job: not ended, in order of arrival */
  GPtrArray *changed_jobs;  /* struct jb_job: progress to be recorded */
  GPtrArray *pending_stops; /* struct jb_task: for the next round's stops */
  GArray *unplaceable_units;  /* struct sd_unit: did not fit in this round; may
                                 fit in a later one */
  struct es_table *estimates; /* run times learned for each queue */
  struct sp_table *speeds;    /* of the workers, by sd_worker.index */
  GHashTable *stored_speeds;  /* of the last record: see speed_record.c */
  int64_t speeds_stored_ms;   /* when one was last considered or restored */
  struct itf_table *interference; /* owned */
  uint64_t kept_apart;            /* sum of sd_placement.kept_apart */
  uint32_t reserved_task_count; /* in a round: gang tasks with a reservation */
  uint32_t reservation_searches; /* in a round: for new reservations */
  uint32_t preemption_searches;  /* in a round: for new plans */
  bool suspects_are_few;         /* in a round */
  /* In a round: by sd_worker.service_index.  */
  GArray *service_uses;         /* struct sd_service_use */
  struct sd_sweep urgent_sweep; /* over the units of priority 0 */
  struct sd_sweep other_sweep;
  GHashTable *reservations;      /* struct jb_step -> struct sd_reservation */
  GHashTable *advice;            /* struct jb_step -> struct sd_advice */
  uint64_t advised_worker_count; /* workers named in answered queries */
  uint64_t allowed_worker_count; /* those of them that the advisor allowed */
  GHashTable *preemptions;       /* struct jb_step -> struct sd_preemption */
  GHashTable *closed_data_centres; /* names, as a set */
};

/* --- accounting.c: resource accounting of workers --- */

/*! sd_place_task () :
 *  Marks the waiting TASK as placed on WORKER with the given run number and
 *  adds its resources to those in use there. */
void sd_place_task (struct sd_sched *sched, struct jb_task *task,
                    struct sd_worker *worker, uint32_t run, int64_t now_ms);

/*! sd_release_task () :
 *  Subtracts the resources of TASK from those in use on its worker and sets
 *  TASK back to waiting. */
void sd_release_task (struct sd_sched *sched, struct jb_task *task);

/*! sd_index_of () :
 *  @names : name -> index from 1 on, of sched->rack_indexes or
 *           service_indexes.
 *  @return : the index of NAME, a new one if it is not known; 0: NAME is
 *            NULL. */
uint32_t sd_index_of (GHashTable *names, const char *name);

/*! sd_end_tasks_done_before () :
 *  Ends the tasks of which an earlier run had ended done while a later one may
 *  have started, and that have no run now. */
void sd_end_tasks_done_before (struct sd_sched *sched, int64_t now_unix_ms);

/*! sd_mark_changed () :
 *  As sd_job_changed (), for the files of lib/sched. */
void sd_mark_changed (struct sd_sched *sched, struct jb_job *job);

/*! sd_stop_task () :
 *  If TASK is placed, the next round adds it to the tasks to be stopped.
 *  @reason : a constant text, for the log. */
void sd_stop_task (struct sd_sched *sched, struct jb_task *task,
                   const char *reason);

/*! sd_stop_step () :
 *  The next round adds all placed tasks of STEP to the tasks to be stopped. */
void sd_stop_step (struct sd_sched *sched, struct jb_step *step,
                   const char *reason);

/*! sd_service_uses_begin_round () :
 *  Adds up what is in use of each service. */
void sd_service_uses_begin_round (struct sd_sched *sched);

/*! sd_service_use () :
 *  @return : what is in use of a service in this round; never NULL. */
const struct sd_service_use *sd_service_use (const struct sd_sched *sched,
                                             uint32_t service_index);

/*! sd_resources_fit () :
 *  @return : whether RESOURCES has at least NEED of each kind. */
bool sd_resources_fit (const struct jb_resources *need,
                       const struct jb_resources *resources);

/*! sd_oldest_report_ms () :
 *  @return : workers of SERVICE with an older report get no start; INT64_MIN:
 *            the age of a report does not matter, since they refuse what does
 *            not fit. */
int64_t sd_oldest_report_ms (const struct sd_sched *sched, const char *service,
                             int64_t now_ms);

/*! sd_resources_add (), sd_resources_subtract () :
 *  Change RESOURCES in place; subtraction may leave negative amounts. */
void sd_resources_add (struct jb_resources *resources,
                       const struct jb_resources *more);
void sd_resources_subtract (struct jb_resources *resources,
                            const struct jb_resources *less);

/*! sd_resources_copies () :
 *  @return : how many times NEED fits into RESOURCES, at most LIMIT. */
uint32_t sd_resources_copies (const struct jb_resources *need,
                              const struct jb_resources *resources,
                              uint32_t limit);

/* --- sched.c --- */

/*! sd_finish_job () :
 *  Ends an active JOB in STATE, which is final, and stops its tasks.
 *  @now_unix_ms : when it ended; 0: not known. */
void sd_finish_job (struct sd_sched *sched, struct jb_job *job,
                    enum jb_state state, int64_t now_unix_ms);

/*! sd_find_or_add_worker () :
 *  @return : the worker of this id, which may be known from records only. */
struct sd_worker *sd_find_or_add_worker (struct sd_sched *sched,
                                         const char *id);

/* --- health.c: unhealthy workers, stalled and slow tasks --- */

/*! sd_health_done (), sd_health_failed (), sd_health_refused () :
 *  A run on WORKER was done; a run of JOB there failed; WORKER refused a start
 *  because it is unhealthy.
 *  @first_failed_run : whether JOB has failed in no other run; the members of
 *                      a gang that fail on several workers are of one run. */
void sd_health_done (struct sd_worker *worker, int64_t now_ms);
void sd_health_failed (struct sd_worker *worker, const struct jb_job *job,
                       bool first_failed_run, int64_t now_ms);
void sd_health_refused (struct sd_worker *worker, int64_t now_ms);

/*! sd_health_avoid () :
 *  No task is placed on WORKER for SD_AVOID_MS. */
void sd_health_avoid (struct sd_worker *worker, int64_t now_ms);

/*! sd_health_progressed () :
 *  The percentage of TASK has changed to PERCENT. */
void sd_health_progressed (struct jb_task *task, int64_t percent,
                           int64_t now_ms);

/*! sd_health_stalled () :
 *  TASK is stopped since sd_health_is_stalled (). */
void sd_health_stalled (struct jb_task *task);

/*! sd_health_is_stalled () :
 *  @return : whether the percentage of TASK has not changed for too long. */
bool sd_health_is_stalled (const struct sd_sched *sched,
                           const struct jb_task *task, int64_t now_ms);

/* How the progress of a running task compares with that of the other tasks of
   its step on other workers.  */
enum sd_progress_verdict
{
  SD_PROGRESS_NORMAL,
  SD_PROGRESS_SLOW,    /* much slower than the others */
  SD_PROGRESS_RESTART, /* and done sooner if restarted elsewhere */
};

/*! sd_health_judge_progress () :
 *  @return : the verdict on TASK by the percentages that workers reported
 *            last. */
enum sd_progress_verdict
sd_health_judge_progress (const struct sd_sched *sched,
                          const struct jb_task *task);

/*! sd_health_is_avoided () :
 *  @return : whether no task may be placed on WORKER now. */
bool sd_health_is_avoided (const struct sd_worker *worker, int64_t now_ms);

/*! sd_health_is_suspect () :
 *  @last_attempt : whether one more failure would fail the job to be placed.
 *  @return : whether WORKER has failed a run lately and done none since. */
bool sd_health_is_suspect (const struct sd_worker *worker, bool last_attempt,
                           int64_t now_ms);

/*! sd_health_suspects_are_few () :
 *  @return : whether there are enough workers that are not suspect. */
bool sd_health_suspects_are_few (const struct sd_sched *sched, int64_t now_ms);

/* --- speed_feed.c: what the speeds of workers are learned from --- */

/*! sd_speed_progressed () :
 *  TASK, which is placed on WORKER, has done PERCENT of its work. */
void sd_speed_progressed (struct sd_sched *sched, struct jb_task *task,
                          const struct sd_worker *worker, int64_t percent,
                          int64_t now_ms);

/*! sd_speed_done () :
 *  TASK is done on WORKER.
 *  @return : the time in ms that its run would have taken at the nominal
 *            speed. */
int64_t sd_speed_done (struct sd_sched *sched, struct jb_task *task,
                       const struct sd_worker *worker, int64_t now_ms);

/*! sd_speed_begin_round () :
 *  Learns, and sets the levels of the workers for the round. */
void sd_speed_begin_round (struct sd_sched *sched, int64_t now_ms);

/*! sd_speed_recall () :
 *  WORKER has just been added: its speed is that of the last record. */
void sd_speed_recall (struct sd_sched *sched, const struct sd_worker *worker);

/*! sd_speed_if_normal () :
 *  @return : the speed of WORKER as far as it is that of a worker without a
 *            fault, which may be a little slower or faster than others. */
double sd_speed_if_normal (const struct sd_sched *sched,
                           const struct sd_worker *worker);
/* --- neighbours.c: tasks that slow each other down --- */

/*! sd_neighbours_task_done () :
 *  A run of TASK has been done on WORKER. */
void sd_neighbours_task_done (struct sd_sched *sched,
                              const struct sd_worker *worker,
                              const struct jb_task *task, int64_t now_ms);

/*! sd_neighbour_penalty () :
 *  @return : how much a task of STEP and those on WORKER would lose by each
 *            other there, from 0 to 3; 0 if nothing is known. */
uint32_t sd_neighbour_penalty (const struct sd_sched *sched,
                               const struct sd_worker *worker,
                               struct jb_step *step);

/* --- crash.c: tasks that crash their workers --- */

/*! sd_crash_is_suspect () :
 *  @return : whether a worker has crashed when TASK had just started there. */
bool sd_crash_is_suspect (const struct jb_task *task);

/*! sd_crash_prefers_idle () :
 *  @return : whether TASK, which is not given up, has crashed so many workers
 *            that it should start where it takes no other run with it. */
bool sd_crash_prefers_idle (const struct jb_task *task);

/*! sd_crash_has_starting_run () :
 *  A suspect must not start on such a worker.
 *  @return : whether a run on WORKER has just been placed or started. */
bool sd_crash_has_starting_run (const struct sd_worker *worker,
                                int64_t now_ms);

/*! sd_crash_suspect_placed () :
 *  A suspect has been placed on WORKER: nothing else is placed there until it
 *  has started. */
void sd_crash_suspect_placed (struct sd_worker *worker, int64_t now_ms);

/*! sd_crash_must_wait () :
 *  @return : whether TASK must not start before more of its losses are
 *            decided: if all were crashes, it would have had too many. */
bool sd_crash_must_wait (const struct jb_task *task);

/*! sd_crash_evidence () :
 *  @return : what counts against TASK; crashes are counted more than once. */
uint32_t sd_crash_evidence (const struct jb_task *task);

/*! sd_crash_is_too_much () :
 *  @return : whether so much evidence fails the job of a task. */
bool sd_crash_is_too_much (uint32_t evidence);

/*! sd_crash_absolve () :
 *  TASK is at work on a worker that has not crashed: its crashes and lost runs
 *  do not count any more. */
void sd_crash_absolve (struct sd_sched *sched, struct jb_task *task);

/* --- loss.c: lost runs of which it is not known why --- */

/*! sd_loss_add () :
 *  The run of TASK is lost with WORKER, which may have crashed. */
void sd_loss_add (struct sd_worker *worker, struct jb_task *task,
                  int64_t now_ms);

/*! sd_losses_begin_term () :
 *  Enters the undecided losses of JOB, as recorded, in its workers. */
void sd_losses_begin_term (struct sd_sched *sched, struct jb_job *job,
                           int64_t now_ms);

/*! sd_losses_end_job () :
 *  JOB has ended: its undecided losses do not matter any more. */
void sd_losses_end_job (struct sd_sched *sched, struct jb_job *job);

/*! sd_loss_worker_leaves () :
 *  The report of WORKER says that it is draining: what it runs is not lost by
 *  a crash. */
void sd_loss_worker_leaves (struct sd_sched *sched, struct sd_worker *worker);

/* --- order.c: the order of waiting work --- */

/* The unit of placement: the waiting tasks of a step.  The tasks of a gang
   wait all together or not at all.  */
struct sd_unit
{
  struct jb_step *step;
  const struct ct_queue *queue;
  const char *service;    /* workers must offer it */
  uint32_t service_index; /* of that service, as sd_worker has it */
  uint32_t waiting_count;
  uint32_t priority; /* of the queue; 0 is the most urgent */
  int64_t due_ms; /* steady clock: when the queue's objective requires the job
                     to be done */
  struct sd_advice *advice; /* NULL: its queue has no advisor */
  /* Within its team's guarantee: placed before others of its priority.  */
  bool guaranteed;
  int64_t oldest_report_ms; /* of sd_oldest_report_ms () */
  bool last_attempt;        /* one more failure of a task would fail the job */
  bool avoids_suspects;     /* it is not placed on suspect workers */
  bool starts_alone;  /* it has a suspect task, see crash.c, and is placed only
                         where no run is starting */
  bool prefers_idle;  /* it is placed on workers without other runs first */
  bool uses_reserved; /* it is also placed in what is reserved for gangs */
  bool has_stood_too_long; /* its preferences are not kept any more */
  bool may_use_avoided;    /* then also on avoided and suspect workers */
  bool takes_avoided; /* it is also placed on avoided and suspect workers */
  bool counts_closed; /* for sd_could_ever_fit (): closed data centres count */
};

/*! sd_unit_is_late () :
 *  @return : whether the job of UNIT will be done after due_ms even if it
 *            starts now. */
bool sd_unit_is_late (const struct sd_sched *sched, const struct sd_unit *unit,
                      int64_t now_ms);

/*! sd_unit_path_ms () :
 *  @return : the time in ms that the rest of the job of UNIT is expected to
 *            take at the nominal speed if it starts now. */
int64_t sd_unit_path_ms (const struct sd_sched *sched,
                         const struct sd_unit *unit);

/*! sd_collect_units () :
 *  @return : a struct sd_unit for each step that could start now, in the
 *            order in which they are placed; to be freed by
 *            g_array_free (). */
GArray *sd_collect_units (struct sd_sched *sched, int64_t now_ms,
                          int64_t now_unix_ms);

/* --- advice.c: the placement advisor --- */

void sd_advice_free (void *data);

/*! sd_advice_get () :
 *  @return : the advisor's answers for STEP (which workers it refuses, and its
 *            tickets for those it allows), never NULL; owned by SCHED. */
struct sd_advice *sd_advice_get (struct sd_sched *sched, struct jb_step *step);

/*! sd_advice_refuses (), sd_advice_allows (), sd_advice_has_ticket () :
 *  Whether the advisor has refused the worker; has allowed it; and whether its
 *  ticket for the worker stays valid for as long as a start may take.  ADVICE
 *  may be NULL: the queue has no advisor.  Then no worker is refused, and the
 *  other two return true. */
bool sd_advice_refuses (const struct sd_advice *advice, const char *worker);
bool sd_advice_allows (const struct sd_advice *advice, const char *worker);
bool sd_advice_has_ticket (const struct sd_advice *advice, const char *worker,
                           int64_t now_ms);

/*! sd_advice_drop_ticket () :
 *  The worker of TASK has refused its ticket: the advisor is to be queried
 *  about it again. */
void sd_advice_drop_ticket (struct sd_sched *sched,
                            const struct jb_task *task);

/*! sd_query_advice () :
 *  For a unit of which not all tasks could be placed: adds a query about
 *  further workers to QUERIES, if the queue has an advisor, no query for the
 *  step is pending or has just failed, and there are workers to name.  Avoided
 *  workers are named if there are no others and the unit must not wait for
 *  long. */
void sd_query_advice (struct sd_sched *sched, const struct sd_unit *unit,
                      int64_t now_ms, GPtrArray *queries);

/* --- closed.c: data centres that are closed for new work --- */

/*! sd_is_closed () :
 *  @data_centre : NULL: not known, which is not closed. */
bool sd_is_closed (const struct sd_sched *sched, const char *data_centre);

/* --- place.c: choice of workers --- */

/* Workers chosen for tasks: tasks[i] goes to workers[i].  */
struct sd_placement
{
  GPtrArray *tasks;   /* struct jb_task */
  GPtrArray *workers; /* struct sd_worker */
  /* Tasks kept from workers with room where they and others would slow each
     other down.  */
  uint32_t kept_apart;
};

/*! sd_worker_is_eligible () :
 *  @return : whether the worker may run the unit's tasks: it is listed, is not
 *            draining, has the service and the label, and is not refused by
 *            the advisor. */
bool sd_worker_is_eligible (const struct sd_worker *worker,
                            const struct sd_unit *unit);

/*! sd_worker_is_available () :
 *  @return : whether the worker is eligible and also reachable, not in a
 *            closed data centre, not avoided and, for a queue with an advisor,
 *            allowed by it. */
bool sd_worker_is_available (const struct sd_worker *worker,
                             const struct sd_unit *unit, int64_t now_ms);

/*! sd_choose_workers () :
 *  Chooses workers for the waiting tasks of UNIT by the free resources of
 *  the round.  For a gang PLACEMENT is to be used only if it is complete.
 *  @return : whether all waiting tasks have a worker. */
bool sd_choose_workers (const struct sd_sched *sched,
                        const struct sd_unit *unit, int64_t now_ms,
                        struct sd_placement *placement);

/*! sd_tasks_of_step_on () :
 *  @return : how many tasks of STEP are placed or stopping on WORKER. */
uint32_t sd_tasks_of_step_on (const struct sd_worker *worker,
                              const struct jb_step *step);

/*! sd_copies_without_preferences () :
 *  @return : how many tasks like those of UNIT, at most LIMIT, WORKER has room
 *            for in this round, whatever is reserved or avoided there. */
uint32_t sd_copies_without_preferences (const struct sd_worker *worker,
                                        const struct sd_unit *unit,
                                        uint32_t limit, int64_t now_ms);

/*! sd_could_ever_fit () :
 *  @return : whether all waiting tasks of the unit fit on the eligible workers
 *            that are not in closed data centres, when these are empty; with
 *            ONE_RACK, on those of one rack. */
bool sd_could_ever_fit (const struct sd_sched *sched,
                        const struct sd_unit *unit, bool one_rack);

/*! sd_is_known_unplaceable () :
 *  @return : whether a unit that needs no more than this one did not fit
 *            earlier in this round; free resources only shrink in a round. */
bool sd_is_known_unplaceable (const struct sd_sched *sched,
                              const struct sd_unit *unit);

/* --- standing.c: work that waits beside room for it --- */

/*! sd_standing_begin_term () :
 *  A term begins; STEP may have stood before it. */
void sd_standing_begin_term (struct jb_step *step, int64_t now_ms);

/*! sd_standing_begin_round (), sd_standing_end_round () :
 *  Around the placement of units in a round.
 *  @placing : which jobs the round may place.
 *  @first_left : the first unit that is left for another round; NULL: none
 *                is. */
void sd_standing_begin_round (struct sd_sched *sched, enum sd_placing placing,
                              int64_t now_ms);
void sd_standing_end_round (struct sd_sched *sched,
                            const struct sd_unit *first_left);

/*! sd_may_stand () :
 *  @return : whether UNIT must not wait for long beside room for it: nothing
 * of its job runs and little of its service is in use.  Long-lived tasks must
 * not, whatever runs and however much is in use. */
bool sd_may_stand (const struct sd_sched *sched, const struct sd_unit *unit);

/*! sd_drop_preferences () :
 *  For a unit of which no task could be placed: if it has waited beside room
 *  for it for too long, sets it to be placed where there is room.
 *  @return : whether it was set so. */
bool sd_drop_preferences (struct sd_sched *sched, struct sd_unit *unit,
                          int64_t now_ms);

/* --- hang.c: tasks that hang from their start --- */

/*! sd_hang_is_behind () :
 *  To be called when its worker has reported that TASK is still at 0 percent.
 *  @return : whether other tasks of its step show that it hangs. */
bool sd_hang_is_behind (const struct jb_task *task, int64_t now_ms);

/*! sd_hang_found () :
 *  A task hangs on WORKER: stops those there that have not begun to work,
 *  with their gangs.  Tasks that last run on. */
void sd_hang_found (struct sd_sched *sched, struct sd_worker *worker,
                    int64_t now_ms);

/* --- leave.c: runs on workers that leave --- */

/* A run of which the worker has announced that it leaves.  Times in ms.  */
struct sd_leaving_run
{
  bool checkpoints; /* it saves its progress, also when it is stopped */
  int64_t ran_ms;
  int64_t expected_ms; /* that it still needs */
  bool measured;       /* that is known by its own progress */
  int64_t stays_ms;    /* until its worker leaves */
  int64_t stop_ms;     /* a stop takes at most this */
};

/*! sd_leave_should_stop () :
 *  @return : whether a stop now loses less work than to let it run on. */
bool sd_leave_should_stop (const struct sd_leaving_run *run);

/*! sd_leave_consider () :
 *  If WORKER leaves: stops the runs there, with their gangs, for which that
 *  loses less.  Tasks that last run on. */
void sd_leave_consider (struct sd_sched *sched, const struct sd_worker *worker,
                        int64_t now_ms);

/* --- reserve.c: resources kept free for gangs --- */

/*! sd_remaining_ms () :
 *  @overrun_ms : for a run that should have ended.
 *  @measured : set to whether the progress of its run shows it.
 *  @return : the expected time until TASK ends on its worker. */
int64_t sd_remaining_ms (const struct sd_sched *sched,
                         const struct jb_task *task, int64_t now_ms,
                         int64_t overrun_ms, bool *measured);

void sd_reservation_free (void *data);

/*! sd_reservations_begin_round (), sd_reservations_end_round () :
 *  At the start of a round: enters each reservation in the reserved resources
 *  of its workers.  At its end: drops reservations of gangs that no longer
 *  wait. */
void sd_reservations_begin_round (struct sd_sched *sched);
void sd_reservations_end_round (struct sd_sched *sched);

/*! sd_is_utilization_low () :
 *  @return : whether little of each kind of resource of a service is in use,
 * so that all work may use reserved resources. */
bool sd_is_utilization_low (const struct sd_sched *sched,
                            uint32_t service_index);

/*! sd_reservation_suspend () :
 *  Takes the unit's own reservation out of the reserved resources of its
 *  workers, so that the unit can be placed there.  The reservation itself
 *  stays: sd_reserve_resources () enters it again, or sd_reservation_remove ()
 *  drops it.
 *  @return : whether the unit has a reservation. */
bool sd_reservation_suspend (struct sd_sched *sched,
                             const struct sd_unit *unit);

/*! sd_reserve_resources () :
 *  For a gang that does not fit: keeps or makes a reservation on the workers
 *  that are expected to have enough free resources soonest. */
void sd_reserve_resources (struct sd_sched *sched, const struct sd_unit *unit,
                           int64_t now_ms);

/*! sd_reservation_remove () :
 *  Drops the unit's reservation, if it has one: the gang has been placed, or
 *  the reservation is of no use any more. */
void sd_reservation_remove (struct sd_sched *sched,
                            const struct sd_unit *unit);

/*! sd_reserved_workers () :
 *  @return : struct sd_worker, one for each task of the gang. */
struct sd_reservation;
const GPtrArray *
sd_reserved_workers (const struct sd_reservation *reservation);

/* --- waiting.c: why work stands --- */

/*! sd_explain_step () :
 *  Finds out why STEP, of which nothing runs, stands, also at the cost of
 *  trying several choices of workers.
 *  @unit : of STEP; NULL: it is in none, for it may not be placed now. */
void sd_explain_step (struct sd_sched *sched, struct jb_step *step,
                      const struct sd_unit *unit, int64_t now_ms,
                      int64_t now_unix_ms, struct sd_waiting *waiting);

/* --- preempt.c: preemption --- */

/* A pending preemption: resources that stopping tasks will free for one step.
   Without workers it only delays the next search for a plan.  */
struct sd_preemption
{
  int64_t until_ms;   /* ignored from then on */
  GPtrArray *workers; /* struct sd_worker, one for each waiting task; empty: no
                         plan was found, and none is sought before until_ms */
};

void sd_preemption_free (void *data);

/*! sd_preemptions_begin_round () :
 *  At the start of a round: drops expired preemptions and subtracts the
 *  resources of the others from the free resources of the round. */
void sd_preemptions_begin_round (struct sd_sched *sched, int64_t now_ms);

/*! sd_preemption_suspend () :
 *  Adds the resources of the unit's own pending preemption back to the free
 *  resources of the round, so that the unit can be placed there.  The
 *  preemption itself stays: sd_preempt () subtracts its resources again, or
 *  sd_preemption_remove () drops it.
 *  @return : whether the unit has a pending preemption. */
bool sd_preemption_suspend (struct sd_sched *sched, const struct sd_unit *unit,
                            int64_t now_ms);

/*! sd_preemption_remove () :
 *  Drops the pending preemption of the unit, which has been placed. */
void sd_preemption_remove (struct sd_sched *sched, const struct sd_unit *unit);

/*! sd_preempt () :
 *  For a unit that does not fit: makes the next round stop tasks of lower
 *  priority, and subtracts the resources that they will free from the free
 *  resources of the round.  Stops no further tasks while the unit has a
 *  pending preemption. */
void sd_preempt (struct sd_sched *sched, const struct sd_unit *unit,
                 int64_t now_ms);

#endif
