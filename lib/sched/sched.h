/* The scheduling core: decides which tasks start on which workers, and which
   are stopped.  Pure: it has no input, no output and no clock, and the same
   events give the same commands.  The planner (programs/foxtailgap-hostd)
   drives it, on one host at a time, with the answers of the workers.  All
   times named now_ms or *_ms are milliseconds of the steady clock of the
   planner's process; now_unix_ms is the time of day.  Prefix: sd_.  */

#ifndef FT_SCHED_H
#define FT_SCHED_H

#include "jobs/catalog.h"
#include "jobs/model.h"
#include "sched/interfere.h"
#include "sched/speed.h"
#include "worker/advice_port.h"

struct sd_sched;

/* What a worker reports about itself.  Owns its strings.  */
struct sd_worker_report
{
  char *id;
  char *address; /* IP:PORT */
  char *service; /* it runs tasks of queues with this service */
  char *data_centre;
  char *rack;                    /* NULL: unknown */
  char **labels;                 /* NULL at the end */
  struct jb_resources resources; /* its whole capacity */
  bool draining;                 /* it gets no new tasks */
  /* While draining: stays at least this; 0: unknown.  */
  int64_t min_remaining_ms;
  int64_t process_started_ms; /* as sd_worker.process_started_ms */
};

/*! sd_worker_report_clear () :
 *  Frees the contents and sets them to zero. */
void sd_worker_report_clear (struct sd_worker_report *report);

/* Whether calls to a worker succeed.  */
enum sd_reachability
{
  SD_WORKER_UNSEEN = 0, /* not called yet under this term */
  SD_WORKER_REACHABLE = 1,
  SD_WORKER_UNREACHABLE = 2, /* its last call failed */
};

/* A worker.  The core alone sets the fields, except driver_data; the planner
   reads them.  */
struct sd_worker
{
  struct sd_worker_report report;
  /* `report` may be of the process that answers; otherwise, what it says of
     kind and capacity is of another process, and nothing starts there.  */
  bool report_is_current;
  bool listed;         /* the store has an entry for it */
  bool closed;         /* its data centre is closed for new work, see
                          sd_set_closed () */
  int64_t reported_ms; /* `report` is not older than this; 0: not known */
  enum sd_reachability reachability;
  int32_t speed_level;        /* as sp_level (), as of the last round */
  int64_t process_started_ms; /* by its answers under this term, on a clock of
                                 its own; 0: none yet */
  struct jb_resources used_resources; /* by `tasks` */
  /* By runs that are not assigned to it, by its last status poll.  */
  struct jb_resources unassigned_resources;
  GPtrArray *tasks;               /* struct jb_task: placed or stopping here */
  int64_t start_backoff_until_ms; /* no new task before: a start was refused
                                     for lack of resources, or not answered */
  /* health */
  uint32_t failure_streak; /* failed runs since the last run done; those of
                              the same job in a row count once */
  char last_failed_job[JB_ID_DIGITS + 1];
  /* Starts refused as unhealthy since the last run done.  */
  uint32_t refusal_streak;
  int64_t last_failed_ms;     /* of the failures in failure_streak */
  int64_t suspect_until_ms;   /* no new task before, if there are enough other
                                 workers: it has failed a run */
  int64_t last_done_ms;       /* 0: no run done yet */
  int64_t avoid_until_ms;     /* no new task before: the worker seems to be
                                 unhealthy */
  uint32_t undecided_losses;  /* of it, that tasks have; see jb_loss */
  int64_t exclusive_until_ms; /* no new task before: one that may crash the
                                 worker is starting there */
  /* pace of the best-effort tasks there */
  uint32_t pace_level; /* percent of their speed */
  int64_t pace_changed_ms;
  uint32_t pace_ceiling; /* pace_level stays at or below this until: */
  int64_t pace_ceiling_until_ms;
  /* within a round */
  /* Neither used nor of a pending preemption.  */
  struct jb_resources round_free_resources;
  /* Reserved for gangs; may be more than is free now, since reservations wait
     for running tasks to end.  */
  struct jb_resources round_reserved_resources;
  size_t index;           /* in sd_workers () */
  uint32_t rack_index;    /* the same for all workers of a rack; 0: no rack */
  uint32_t service_index; /* the same for all workers of a service */
  void *driver_data;      /* of the module that calls the workers */
};

/* The outcome of a run, as its worker reports it.  */
enum sd_outcome
{
  SD_OUTCOME_DONE,
  SD_OUTCOME_FAILED,
  SD_OUTCOME_STOPPED,          /* by command */
  SD_OUTCOME_LEASE_EXPIRED,    /* the worker's lease expired */
  SD_OUTCOME_GANG_MEMBER_LOST, /* another member of its gang ended */
  SD_OUTCOME_GANG_INCOMPLETE,  /* other members of its gang did not start in
                                  time */
};

/* Why a worker refused a start.  */
enum sd_refusal
{
  SD_REFUSED_NO_RESOURCES, /* the task does not fit in its free resources */
  SD_REFUSED_STALE_RUN, /* the run number is not higher than one known there */
  SD_REFUSED_UNHEALTHY, /* the worker is unhealthy */
  SD_REFUSED_DEADLINE_PASSED, /* the deadline of the start had passed */
  SD_REFUSED_TICKET_INVALID,  /* the advisor's ticket is no longer valid there
                               */
  SD_REFUSED_OTHER,
};

/* What a data centre has.  */
struct sd_data_centre_use
{
  uint32_t workers; /* listed */
  uint32_t tasks;   /* placed or stopping there */
};

struct sd_params
{
  uint32_t remote_slowdown_factor; /* the slow-down factor of remote tasks:
                                      outside the rack of their data a task may
                                      take this many times as long */
  uint32_t stop_max_ms;            /* a stop takes at most this */
  /* A worker that does not refuse what does not fit gets no start by a report
     that may be older than this.  */
  uint32_t report_valid_ms;
  /* Most gang tasks that resources may be reserved for, per 100 workers.
     Reserved resources stay idle until the whole gang fits.  0: no
     reservations.  */
  uint32_t reserved_tasks_per_100_workers;
  /* A round ends once it has decided as many starts, so that a wave of jobs
     does not keep the planner from its other work.  0: no limit.  */
  uint32_t starts_per_round;
};

/*! sd_create () :
 *  @table : stays owned by the calling code and must outlive the result.
 *  @return : to be freed by sd_free (). */
struct sd_sched *sd_create (const struct sd_params *params,
                            struct jb_table *table);
void sd_free (struct sd_sched *sched);

/*! sd_set_catalog () :
 *  CATALOG stays owned by the calling code and must live until the next call
 *  of this function. */
void sd_set_catalog (struct sd_sched *sched, const struct ct_catalog *catalog);

/*! sd_begin_term () :
 *  Starts anew from the jobs that the table has recorded: every worker is
 *  unseen, its process not known, and every placed task counts as placed at
 *  NOW_MS. */
void sd_begin_term (struct sd_sched *sched, int64_t now_ms);

/* --- Workers --- */

/*! sd_worker_listed () :
 *  Adds a worker or replaces its report.  The contents of REPORT become the
 *  core's; REPORT is left empty.
 *  @reported_ms : the worker made the report at this moment or later; 0: not
 *                 known. */
struct sd_worker *sd_worker_listed (struct sd_sched *sched,
                                    struct sd_worker_report *report,
                                    int64_t reported_ms);

/*! sd_worker_unlisted () :
 *  The store has no entry for the worker any more: no new task is placed
 *  there. */
void sd_worker_unlisted (struct sd_sched *sched, const char *id);

/*! sd_set_closed () :
 *  Closes a data centre for new work, or opens it again: while it is closed,
 *  no task is placed on a worker there, now or later, and no start that is
 *  placed there may be sent.  What runs there goes on.  Lasts over terms.
 *  @data_centre : may have no worker yet. */
void sd_set_closed (struct sd_sched *sched, const char *data_centre,
                    bool closed);

/*! sd_survey_data_centre () :
 *  @return : what is listed and placed in a data centre, for the log. */
struct sd_data_centre_use sd_survey_data_centre (const struct sd_sched *sched,
                                                 const char *data_centre);

/*! sd_worker_find () :
 *  @return : NULL if there is none with this id. */
struct sd_worker *sd_worker_find (const struct sd_sched *sched,
                                  const char *id);

/*! sd_workers () :
 *  @return : all workers, struct sd_worker, also those no longer listed;
 *            owned by SCHED. */
const GPtrArray *sd_workers (const struct sd_sched *sched);

/*! sd_speeds () :
 *  @return : what is known of the speeds of all workers. */
struct sp_summary sd_speeds (const struct sd_sched *sched);

/*! sd_speeds_record () :
 *  @return : the record of the speeds for the next planner, if one is to be
 *            stored now, to be freed by the caller; else NULL. */
GByteArray *sd_speeds_record (struct sd_sched *sched, int64_t now_ms);

/*! sd_speeds_restore () :
 *  Takes the speeds of a record of sd_speeds_record (), also for workers that
 *  are added later.
 *  @return : false if it is not such a record; nothing is changed. */
bool sd_speeds_restore (struct sd_sched *sched, const uint8_t *bytes,
                        size_t size, int64_t now_ms);

/*! sd_worker_speed () :
 *  @return : the speed of a worker, where 1 is the mean; 1 while workers are
 *            not known to be uneven. */
double sd_worker_speed (const struct sd_sched *sched,
                        const struct sd_worker *worker);

/*! sd_worker_set_reachability () :
 *  Sets whether the worker is reachable. */
void sd_worker_set_reachability (struct sd_worker *worker,
                                 enum sd_reachability reachability);

/*! sd_worker_unresponsive () :
 *  The worker did not answer a command: it gets no new task for a while. */
void sd_worker_unresponsive (struct sd_worker *worker, int64_t now_ms);

/*! sd_worker_process () :
 *  Sets the start time of the worker's process, as the worker reports it. */
void sd_worker_process (struct sd_worker *worker, int64_t started_ms);

/*! sd_worker_unassigned_runs () :
 *  A status poll has listed runs that are not assigned to WORKER and are being
 *  stopped.  They use resources until a later poll does not list them.
 *  @tasks : struct jb_task, of these runs.
 *  @unknown : whether it has also listed runs of unknown tasks, which may use
 *             all of its resources. */
void sd_worker_unassigned_runs (struct sd_worker *worker,
                                const GPtrArray *tasks, bool unknown);

/* --- Jobs and tasks --- */

/*! sd_job_added (), sd_job_cancelled () :
 *  The table has received a job, or its cancellation. */
void sd_job_added (struct sd_sched *sched, struct jb_job *job);
void sd_job_cancelled (struct sd_sched *sched, struct jb_job *job,
                       int64_t now_ms);

/*! sd_task_running () :
 *  The worker of TASK has reported that its last recorded run is running. */
void sd_task_running (struct sd_sched *sched, struct jb_task *task,
                      int64_t now_ms);

/*! sd_task_progress () :
 *  The worker of TASK has reported its progress.  The worker of a stalled or
 *  slow task is avoided.  A task that is stalled, or would be done sooner if
 *  restarted elsewhere, is also stopped with its gang, to be placed again. */
void sd_task_progress (struct sd_sched *sched, struct jb_task *task,
                       int64_t percent, int64_t now_ms);

/*! sd_task_checkpointed () :
 *  The worker of TASK has reported its newest checkpoint, which is copied.
 *  NULL and "" change nothing. */
void sd_task_checkpointed (struct jb_task *task, const char *checkpoint);

/*! sd_task_refused () :
 *  The worker of TASK has refused the start: the run did not take place. */
void sd_task_refused (struct sd_sched *sched, struct jb_task *task,
                      enum sd_refusal reason, int64_t now_ms);

/*! sd_task_ended () :
 *  The worker of TASK has reported the outcome of its last recorded run.
 *  @checkpoint : as for sd_task_checkpointed (). */
void sd_task_ended (struct sd_sched *sched, struct jb_task *task,
                    enum sd_outcome outcome, const char *checkpoint,
                    int64_t now_ms, int64_t now_unix_ms);

/*! sd_task_lost () :
 *  The last recorded run of TASK is known not to be on its worker, neither now
 *  nor later. */
void sd_task_lost (struct sd_sched *sched, struct jb_task *task,
                   int64_t now_ms);

/* Runs that are lost together with their worker.  */
struct sd_worker_loss
{
  struct sd_worker *worker;
  GPtrArray *tasks; /* struct jb_task: their last recorded runs are lost, as
                       for sd_task_lost () */
  bool crashed;     /* the worker's process has ended without having announced
                       it; false: it may only be unreachable, see
                       sd_settle_losses () */
  int64_t last_answer_ms; /* when that process last answered a call */
  bool others_lost; /* at about the same time other workers were lost on which
                       no run had just started */
};

/*! sd_crash_had_starting_run () :
 *  @return : whether one of the lost runs may have just started. */
bool sd_crash_had_starting_run (const struct sd_worker_loss *loss);

/*! sd_runs_lost () :
 *  Has lost runs wait for workers again, and counts the crashes; losses that
 *  may be none stay undecided.  The job of a task that has crashed too many
 *  workers has failed, unless the task is long-lived; see crash.c.
 *  @given_up : struct jb_task: the tasks for which a job has failed are
 *              added. */
void sd_runs_lost (struct sd_sched *sched, const struct sd_worker_loss *loss,
                   int64_t now_ms, int64_t now_unix_ms, GPtrArray *given_up);

/*! sd_given_up_run_done () :
 *  A worker lists that RUN of TASK, which was given up, has ended done.  So
 *  the task is done, and with it its gang.  If a later run may have started,
 *  it goes on, and the task is done once it has ended in any way.
 *  @return : whether it is done now. */
bool sd_given_up_run_done (struct sd_sched *sched, struct jb_task *task,
                           uint32_t run, int64_t now_unix_ms);

/*! sd_given_up_run_failed () :
 *  The same for a run that has failed, which counts against the limit of
 *  failed runs.
 *  @return : whether it counts; it may have been counted before, by an outcome
 *            that is listed again, or of another member of its gang. */
bool sd_given_up_run_failed (struct sd_sched *sched, struct jb_task *task,
                             uint32_t run, int64_t now_unix_ms);

/* What shows whether a worker that was unreachable has crashed.  */
enum sd_sighting
{
  SD_SEEN_PROCESS,  /* this process of it is there, or has been there since */
  SD_SEEN_LEAVING,  /* this process of it has announced that it leaves */
  SD_SEEN_REPLACED, /* another process answers at its address */
  SD_SEEN_NOTHING,  /* nothing of it has been seen for a long time */
};

/*! sd_settle_losses () :
 *  Decides the losses of runs with WORKER that are undecided.  The same
 *  process as that of the run has not crashed; another one that is there shows
 *  a crash, and so does, until WORKER is seen again, SD_SEEN_NOTHING.
 *  @started_ms : of the process, as sd_worker.process_started_ms; 0: not
 *                known, taken for the same process.
 *  @seen_ms : of SD_SEEN_PROCESS, the process was there at this moment or
 *             later.  Losses since then stay undecided.
 *  @given_up : as for sd_runs_lost (). */
void sd_settle_losses (struct sd_sched *sched, struct sd_worker *worker,
                       enum sd_sighting sighting, int64_t started_ms,
                       int64_t seen_ms, int64_t now_unix_ms,
                       GPtrArray *given_up);

/* --- Pace --- */

/* A command for a worker: the best-effort TASK is to run at PERCENT of its
   speed.  */
struct sd_pace_command
{
  struct jb_task *task;
  uint32_t percent;
};

/*! sd_worker_is_shared () :
 *  @return : whether best-effort tasks run there beside serving tasks, so that
 *            the worker must be polled often. */
bool sd_worker_is_shared (const struct sd_worker *worker);

/*! sd_pace_worker () :
 *  After a status poll of WORKER: sets the pace of its best-effort tasks, and
 *  adds the commands for those that do not run at that pace yet.
 *  @commands : struct sd_pace_command. */
void sd_pace_worker (struct sd_worker *worker, int64_t now_ms,
                     GArray *commands);

/*! sd_task_paced () :
 *  The worker of TASK has carried out the pace command. */
void sd_task_paced (struct jb_task *task, uint32_t percent);

/* --- Neighbours --- */

/*! sd_worker_polled () :
 *  After a status poll of WORKER, whose runs and loads have been entered:
 *  learns how much tasks slow each other down there. */
void sd_worker_polled (struct sd_sched *sched, const struct sd_worker *worker,
                       int64_t now_ms);

/* Tasks that slow each other down on one worker.  */
struct sd_neighbours
{
  uint32_t known_pairs; /* of kinds of tasks */
  uint64_t kept_apart;  /* tasks placed so far that were kept from a worker
                           with room for them by their neighbours there */
};

struct sd_neighbours sd_neighbours (const struct sd_sched *sched);

/*! sd_take_neighbour_change () :
 *  @return : whether a pair has become known, or is not known any more; as
 *            itf_take_change (). */
bool sd_take_neighbour_change (struct sd_sched *sched,
                               struct itf_change *change);

/* --- Decisions --- */

/* A query to the placement advisor: which of WORKERS may run STEP.  */
struct sd_advisor_query
{
  char *step;              /* ID.K.STEP */
  char **workers;          /* ids, NULL at the end */
  uint32_t advice_call_ms; /* time that the advisor takes for any query, */
  uint32_t advice_per_worker_ms; /* and in addition for each worker in it */
};

/*! sd_advisor_query_free () :
 *  @data : struct sd_advisor_query. */
void sd_advisor_query_free (void *data);

/*! sd_advisor_queries_create () :
 *  @return : an empty list of struct sd_advisor_query that frees its members.
 */
GPtrArray *sd_advisor_queries_create (void);

/* Which jobs a round may place: fewer while earlier starts wait to be sent, so
   that the decisions about the others are made as late as possible.  */
enum sd_placing
{
  SD_PLACE_ALL = 0,
  SD_PLACE_URGENT, /* those of priority 0 */
  SD_PLACE_NONE,
};

/* The decisions of a round, added to the lists of the calling code.  */
struct sd_commands
{
  enum sd_placing placing; /* set by the calling code */
  GPtrArray *starts;       /* struct jb_task: to be started once recorded */
  GPtrArray *stops;        /* struct jb_task: to be stopped */
  /* struct sd_advisor_query: of sd_advisor_queries_create (); NULL: the
     advisor is not queried */
  GPtrArray *advisor_queries;
  /* Work that has not been looked at is left for another round, which should
     follow soon.  */
  bool more;
};

/*! sd_round () :
 *  Decides by the present state.  Starts are already entered in the tasks
 *  (state, run, worker) and must be recorded before they are sent. */
void sd_round (struct sd_sched *sched, int64_t now_ms, int64_t now_unix_ms,
               struct sd_commands *commands);

/*! sd_advisor_answered () :
 *  The advisor's answer to QUERY, or its failure; must be called once for each
 *  query of a round. */
void sd_advisor_answered (struct sd_sched *sched,
                          const struct sd_advisor_query *query,
                          const struct ap_answer *answer, int64_t now_ms);

/*! sd_task_ticket () :
 *  @return : the advisor's ticket that the start of a placed task must carry;
 *            owned by SCHED; NULL: its queue has no advisor. */
const char *sd_task_ticket (const struct sd_sched *sched,
                            const struct jb_task *task);

/*! sd_start_is_safe () :
 *  By what is known of the worker of TASK now: it still has enough resources,
 *  and if it does not refuse what does not fit, its report is recent; see
 *  sd_params.report_valid_ms.
 *  @return : whether the start of TASK, which is placed, may be sent. */
bool sd_start_is_safe (const struct sd_sched *sched,
                       const struct jb_task *task, int64_t now_ms);

/* How the room of the workers is used, as of the last round.  */
struct sd_room
{
  uint32_t usable_workers;  /* listed, reachable, not draining, not avoided,
                               and not in a closed data centre */
  uint32_t avoided_workers; /* listed and reachable, but avoided */
  uint32_t closed_workers;  /* listed, in a closed data centre */
  uint32_t idle_workers;    /* usable, and without a task */
  uint32_t idle_reserved;   /* of these, those with a reservation */
  uint32_t reservations;    /* gangs with one */
  uint32_t reserved_tasks;  /* the tasks of these gangs */
  uint32_t waiting_gangs;   /* steps that wait as a whole, of any priority */
  uint32_t waiting_late;    /* of these, of jobs that can not be done within
                               their objective any more */
};

/*! sd_survey () :
 *  @return : the use of room, for the log. */
struct sd_room sd_survey (struct sd_sched *sched, int64_t now_ms,
                          int64_t now_unix_ms);

/* Why a step stands of which nothing runs.  The words for the log and the
   metrics are those of sd_wait_name ().  */
enum sd_wait
{
  SD_WAIT_UNKNOWN = 0, /* it has not been looked at yet */
  /* It may not start yet.  */
  SD_WAIT_NO_QUEUE,     /* its queue is not in the configuration, and nothing
                           is known of it */
  SD_WAIT_NOT_DUE,      /* its due time has not come */
  SD_WAIT_EARLIER_STEP, /* an earlier step is not done */
  SD_WAIT_UNDECIDED, /* whether a task has crashed its workers is not known */
  /* Some of its tasks count as placed.  */
  SD_WAIT_MEMBER_STOPPING,  /* a task is being stopped */
  SD_WAIT_MEMBER_PLACED,    /* a member of its gang is placed, another waits */
  SD_WAIT_START,            /* all are placed, and not all confirmed */
  SD_WAIT_START_UNSTORED,   /* by the planner: the append is not done yet, */
  SD_WAIT_START_UNSENT,     /* or the start is not sent yet, */
  SD_WAIT_START_UNANSWERED, /* or not answered yet */
  /* It may start.  */
  SD_WAIT_NEXT_ROUND,      /* it fits; the next round should place it */
  SD_WAIT_NO_ROUNDS,       /* by the planner: rounds are not held, */
  SD_WAIT_START_BACKLOG,   /* or place less while earlier starts wait, */
  SD_WAIT_ROUND_ENDED,     /* or the last one ended before it */
  SD_WAIT_TOO_FEW_WORKERS, /* it does not fit on the eligible workers, not
                              even when they are empty */
  SD_WAIT_RESERVED,        /* room is reserved for other gangs */
  SD_WAIT_ONE_RACK,        /* there is room, but not within one rack */
  SD_WAIT_PREEMPTING,      /* room is kept for urgent work */
  SD_WAIT_UNASSIGNED,      /* room is used by runs that are not assigned */
  /* There is room on workers that get no start of it:  */
  SD_WAIT_BACKOFF,     /* one was refused or not answered there just now */
  SD_WAIT_EXCLUSIVE,   /* a suspect task is starting there */
  SD_WAIT_ALONE,       /* it is to start alone, and a run is starting there */
  SD_WAIT_ADVISOR,     /* the advisor has not answered about them */
  SD_WAIT_SUSPECT,     /* they are suspect */
  SD_WAIT_AVOIDED,     /* they are avoided */
  SD_WAIT_OLD_REPORT,  /* their report is too old */
  SD_WAIT_UNSEEN,      /* they were not called yet under this term */
  SD_WAIT_UNREACHABLE, /* their last call failed */
  SD_WAIT_CLOSED,      /* their data centre is closed for new work */
  /* There is too little room on the available workers: of this kind alone, or
     (SD_WAIT_NO_ROOM) of no kind alone.  */
  SD_WAIT_NO_CPUS,
  SD_WAIT_NO_MEMORY,
  SD_WAIT_NO_ACCELERATORS,
  SD_WAIT_NO_ROOM,
  SD_WAIT_COUNT
};

/*! sd_wait_name () :
 *  @return : a constant word, e.g. "one-rack". */
const char *sd_wait_name (enum sd_wait why);

enum
{
  SD_WAITING_MIN_MS = 1000, /* what has stood for less is not looked at */
  SD_WAITING_DETAIL_BYTES = 192
};

/* A step that stands.  */
struct sd_waiting
{
  struct jb_step *step;
  enum sd_wait why;
  uint32_t tasks;             /* that are not done */
  const struct jb_task *task; /* that it waits for; NULL: none */
  bool examined; /* in this survey; else `why` is of an earlier one and there
                    is no detail */
  char detail[SD_WAITING_DETAIL_BYTES];
};

/*! sd_survey_waiting () :
 *  To be called about every SD_WAITING_MIN_MS or more often, for a step counts
 *  as standing from the first call that finds it so.
 *  @examined_max : for so many steps it tries choices of workers, those first
 *                  that were looked at least lately.
 *  @return : struct sd_waiting, by the state after the last round: the steps
 *            that have stood for SD_WAITING_MIN_MS, of jobs of which nothing
 *            runs, and the steps of tasks that last of which some wait; of
 *            each job those that are not ready only if none is; to be freed by
 *            g_array_free (). */
GArray *sd_survey_waiting (struct sd_sched *sched, uint32_t examined_max,
                           int64_t now_ms, int64_t now_unix_ms);

/*! sd_take_changed () :
 *  @return : the jobs whose progress is to be recorded since the last call,
 *            struct jb_job; to be freed by g_ptr_array_free (). */
GPtrArray *sd_take_changed (struct sd_sched *sched);

/*! sd_job_changed () :
 *  The progress of JOB is to be recorded, also if the core did not change
 *  it. */
void sd_job_changed (struct sd_sched *sched, struct jb_job *job);

/*! sd_has_changed () :
 *  @return : whether a job has changed since sd_take_changed (). */
bool sd_has_changed (const struct sd_sched *sched);

#endif
