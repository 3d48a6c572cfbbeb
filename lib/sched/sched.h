/* The scheduling core on a store with epochs: which tasks start where, and
   which are stopped.  Pure: no input, no output, no clock of its own; the
   same events give the same commands.  One host at a time drives it with the
   answers of the workers.  Prefix: sd_.  */

#ifndef FT_SCHED_H
#define FT_SCHED_H

#include "jobs/catalog.h"
#include "jobs/model.h"
#include "worker/advice_port.h"

struct sd_sched;

/* What a worker says of itself.  */
struct sd_report
{
  char *id;
  char *address; /* IP:PORT */
  char *service;
  char *data_centre;
  char *rack;    /* NULL: unknown */
  char **labels; /* NULL at the end */
  struct jb_room room;
  bool draining;
  int64_t leaves_in_ms; /* least time left while draining; 0: unknown */
};

void sd_report_clear (struct sd_report *report);

enum sd_contact
{
  SD_CONTACT_UNSEEN = 0, /* not asked yet under this term */
  SD_CONTACT_GOOD = 1,
  SD_CONTACT_LOST = 2, /* its last call failed */
};

/* A worker.  Fields are read by the driver, set by the core only, but for
   `io`.  */
struct sd_worker
{
  struct sd_report report;
  bool listed; /* its entry stands in the store */
  enum sd_contact contact;
  struct jb_room used;
  GPtrArray *tasks;           /* struct jb_task: placed or stopping here */
  int64_t room_shut_until_ms; /* it refused for want of room */
  /* health */
  uint32_t failure_streak; /* ends `failed` since the last `done` */
  char last_failed_job[JB_ID_DIGITS + 1];
  uint32_t refusal_streak;
  int64_t last_done_ms;
  int64_t avoid_until_ms;
  /* pace of the tasks that fill there */
  uint32_t pace_level; /* percent */
  int64_t pace_changed_ms;
  uint32_t pace_ceiling; /* not above, for a while */
  int64_t pace_ceiling_until_ms;
  /* of a round */
  struct jb_room round_free;
  struct jb_room reserved; /* of it, kept for gangs that wait */
  size_t index;
  void *io; /* of the driver */
};

enum sd_end
{
  SD_END_DONE,
  SD_END_FAILED,
  SD_END_STOPPED,
  SD_END_LAPSED,
  SD_END_BROKEN, /* another member of its gang ended */
  SD_END_ALONE,  /* it waited too long for the others of its gang */
};

enum sd_refusal
{
  SD_REFUSED_ROOM,
  SD_REFUSED_OLD, /* the run number is not higher than one known there */
  SD_REFUSED_UNWELL,
  SD_REFUSED_LATE,
  SD_REFUSED_TICKET, /* the advisor's ticket does not hold there any more */
  SD_REFUSED_OTHER,
};

struct sd_params
{
  uint32_t far_factor; /* slow-down of work away from its rack */
  uint32_t stop_ms;    /* a stop takes at most this */
  /* For so many tasks of gangs room may be kept, by the hundred workers; it
     stands idle until the whole gang fits.  0: never.  */
  uint32_t reserve_percent;
};

struct sd_sched *sd_create (const struct sd_params *params,
                            struct jb_table *table);
void sd_free (struct sd_sched *sched);

/*! sd_set_catalog () :
 *  CATALOG stays the caller's and must live until the next call. */
void sd_set_catalog (struct sd_sched *sched, const struct ct_catalog *catalog);

/*! sd_begin_term () :
 *  Takes in what is recorded: every worker is unseen, every placed task is
 *  unconfirmed. */
void sd_begin_term (struct sd_sched *sched, int64_t now_ms);

/* --- Workers --- */

/*! sd_worker_listed () :
 *  Adds a worker or takes its newest report; takes the report's contents. */
struct sd_worker *sd_worker_listed (struct sd_sched *sched,
                                    struct sd_report *report);

/*! sd_worker_unlisted () :
 *  Its entry is gone: nothing new is placed there. */
void sd_worker_unlisted (struct sd_sched *sched, const char *id);

struct sd_worker *sd_worker_find (const struct sd_sched *sched,
                                  const char *id);

/*! sd_workers () :
 *  @return : all workers, struct sd_worker. */
const GPtrArray *sd_workers (const struct sd_sched *sched);

void sd_worker_contact (struct sd_worker *worker, enum sd_contact contact);

/*! sd_worker_silent () :
 *  An order was not answered: others go elsewhere for a while. */
void sd_worker_silent (struct sd_worker *worker, int64_t now_ms);

/* --- Jobs and tasks --- */

/*! sd_job_added (), sd_job_cancelled () :
 *  The table has learned of a job, or that it is cancelled. */
void sd_job_added (struct sd_sched *sched, struct jb_job *job);
void sd_job_cancelled (struct sd_sched *sched, struct jb_job *job,
                       int64_t now_ms);

/*! sd_task_running () :
 *  Its worker says that the run recorded last is there. */
void sd_task_running (struct sd_sched *sched, struct jb_task *task,
                      int64_t now_ms);

/*! sd_task_progress () :
 *  Its worker shows how far it is.  A task that stands still is stopped, to
 *  go on elsewhere, and its worker is avoided. */
void sd_task_progress (struct sd_sched *sched, struct jb_task *task,
                       int64_t percent, int64_t now_ms);

/*! sd_task_saved () :
 *  Takes the newest checkpoint. */
void sd_task_saved (struct jb_task *task, const char *checkpoint);

/*! sd_task_refused () :
 *  Its worker has refused the start: it did not run. */
void sd_task_refused (struct sd_sched *sched, struct jb_task *task,
                      enum sd_refusal reason, int64_t now_ms);

/*! sd_task_ended () :
 *  Its worker lists the end of the run recorded last. */
void sd_task_ended (struct sd_sched *sched, struct jb_task *task,
                    enum sd_end how, const char *checkpoint, int64_t now_ms,
                    int64_t now_unix_ms);

/*! sd_task_lost () :
 *  The run recorded last is known not to be there, now or later. */
void sd_task_lost (struct sd_sched *sched, struct jb_task *task,
                   int64_t now_ms);

/* --- Pace --- */

/* A task that fills is to work at a share of its speed.  */
struct sd_pace_order
{
  struct jb_task *task;
  uint32_t percent;
};

/*! sd_worker_is_shared () :
 *  @return : whether tasks that fill run beside tasks that serve, so that it
 *            must be looked at often. */
bool sd_worker_is_shared (const struct sd_worker *worker);

/*! sd_pace () :
 *  After a look at the worker: adds what is to be told to its fillers.
 *  @orders : struct sd_pace_order. */
void sd_pace (struct sd_worker *worker, int64_t now_ms, GArray *orders);

/*! sd_task_paced () :
 *  Its worker has taken the order. */
void sd_task_paced (struct jb_task *task, uint32_t percent);

/* --- Decisions --- */

/* A question for the advisor.  */
struct sd_ask
{
  char *step;        /* ID.K.STEP */
  char **workers;    /* ids, NULL at the end */
  uint32_t first_ms; /* the advisor's time for a call */
  uint32_t each_ms;  /* and for each worker */
};

void sd_ask_free (void *data);

/*! sd_asks_create () :
 *  @return : a list of struct sd_ask that frees them. */
GPtrArray *sd_asks_create (void);

/* What a round decides.  */
struct sd_commands
{
  GPtrArray *starts; /* struct jb_task: to be started once recorded */
  GPtrArray *stops;  /* struct jb_task: to be stopped */
  GPtrArray *asks;   /* struct sd_ask: of sd_asks_create () */
};

/*! sd_round () :
 *  Decides with what is known now.  Starts are already entered in the tasks
 *  (state, run, worker) and must be recorded before they are sent. */
void sd_round (struct sd_sched *sched, int64_t now_ms, int64_t now_unix_ms,
               struct sd_commands *commands);

/*! sd_advised () :
 *  The advisor's answer to ASK; each ask gets one. */
void sd_advised (struct sd_sched *sched, const struct sd_ask *ask,
                 const struct ap_answer *answer, int64_t now_ms);

/*! sd_ticket () :
 *  @return : what the start of a placed task shows to its worker; NULL: its
 *            queue has no advisor. */
const char *sd_ticket (const struct sd_sched *sched,
                       const struct jb_task *task);

/*! sd_take_changed () :
 *  @return : the jobs changed since the last call, struct jb_job; to be freed
 *            by g_ptr_array_free (). */
GPtrArray *sd_take_changed (struct sd_sched *sched);

/*! sd_job_changed () :
 *  Its progress is to be recorded after all. */
void sd_job_changed (struct sd_sched *sched, struct jb_job *job);

/*! sd_has_changed () :
 *  @return : whether a job has changed since sd_take_changed (). */
bool sd_has_changed (const struct sd_sched *sched);

#endif
