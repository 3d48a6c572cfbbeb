/* The data model of jobs: what a job asks for, how far its tasks are, and the
   table of all jobs that a host knows.  No part of this module does input or
   output.  Prefix: jb_.

   A job has steps that may depend on each other; it runs all its steps once
   for each of its occurrences.  A step has one or more equal tasks.  Each
   start of a task on a worker is a run, with a run number that grows.

   Fields that end in _unix_ms hold the time of day.  Fields that end in _ms
   hold a duration, or a moment on the steady clock of this process if their
   comment says so.  */

#ifndef FT_JOBS_MODEL_H
#define FT_JOBS_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  JB_ID_DIGITS = 16,
  JB_STEPS_MAX = 64,          /* of one job */
  JB_TASKS_MAX = 4096,        /* of one job over all its occurrences */
  JB_TEXT_MAX_BYTES = 4000,   /* the platform's limit for a job's text */
  JB_OCCURRENCES_MAX = 1000,  /* occurrences of one job */
  JB_PACE_FULL_PERCENT = 100, /* percent; the pace of a newly started task */
  /* No percentage: the task was started by an earlier planner, so its pace is
     not known.  */
  JB_PACE_UNKNOWN = 101
};

/* Errors of the functions that decode records.  */
enum jb_error
{
  JB_OK = 0,
  JB_ERR_FORMAT = -1, /* the bytes are not a valid record */
  JB_ERR_LIMIT = -2,  /* the record breaks a rule of jb_spec_check () */
};

/* --- What a job asks for --- */

/* Resources that a task needs or a worker has.  */
struct jb_resources
{
  int64_t cpus_milli; /* thousandths of a processor */
  int64_t memory_mib;
  int64_t accelerators;
};

/* One step, as submitted.  */
struct jb_step_spec
{
  uint32_t count;                /* number of tasks, at least 1 */
  struct jb_resources resources; /* resources that one task needs */
  uint32_t estimate_ms;          /* expected run time of a task */
  uint32_t *depends_on; /* indexes of the earlier steps that it depends on */
  size_t depends_on_count;
  bool gang;           /* its tasks must all run at the same time */
  bool one_rack;       /* its tasks run faster if all are in one rack */
  bool can_checkpoint; /* a stopped task can resume from a checkpoint */
  bool copies_allowed; /* a task may run twice at once; stored, but no code
                          uses it */
  bool long_lived;     /* runs until the job is cancelled */
  char *label;         /* label that the worker must have; NULL: none */
  char *data_rack;     /* rack that holds its data; NULL: none */
  uint32_t tasks_per_worker_limit; /* tasks of the step on one worker; 0: no
                                      limit */
  char *image;                     /* its name; NULL: not given */
  uint32_t tail_target_ms; /* target for the tail of its response times; 0: the
                              task does not serve requests */
  bool best_effort; /* best effort: uses the processors that other tasks leave
                     */
  /* Limit of absent tasks: preemption stops no task of a long-lived step if
     more than this many would then be absent, that is, not up and serving; 0:
     no limit.  */
  uint32_t absence_limit;
};

struct ct_queue;

/* A job, as submitted.  */
struct jb_spec
{
  char *queue;
  /* The queue's configuration when the job was accepted; NULL: an earlier
     version stored the job, or jb_table_add () has given it to the job.  */
  struct ct_queue *queue_config;
  char *team; /* NULL: none */
  char *text; /* passed on to the workers unchanged */
  struct jb_step_spec *steps;
  size_t step_count;
  uint32_t occurrence_count; /* number of occurrences, at least 1 */
  bool has_due_time; /* each occurrence has a time before which it must not
                        start */
  int64_t first_due_unix_ms;      /* that time of the first occurrence */
  int64_t occurrence_interval_ms; /* from one occurrence to the next */
  int64_t accepted_unix_ms;
};

/*! jb_spec_free () :
 *  Frees SPEC with all that it owns.  Accepts NULL. */
void jb_spec_free (struct jb_spec *spec);

/*! jb_spec_check () :
 *  Checks the counts, and that each step depends on earlier steps only.
 *  @return : NULL if SPEC is valid; else a constant text that says what is
 *            wrong. */
const char *jb_spec_check (const struct jb_spec *spec);

/*! jb_spec_texts_fit () :
 *  @return : whether no text is longer than JB_TEXT_MAX_BYTES.  Stored records
 *            are not held to it. */
bool jb_spec_texts_fit (const struct jb_spec *spec);

/* --- State of a job --- */

/* The numbers are stored in progress records.  */
enum jb_state
{
  JB_QUEUED = 0,
  JB_RUNNING = 1,
  JB_COMPLETED = 2,
  JB_FAILED = 3,
  JB_CANCELLED = 4
};

/* The numbers are stored in progress records.  */
enum jb_task_state
{
  JB_TASK_WAITING = 0,
  JB_TASK_PLACED = 1,   /* assigned to a worker, and may run there */
  JB_TASK_STOPPING = 2, /* being stopped; may still run on its worker */
  JB_TASK_DONE = 3
};

/* A run that was lost with a worker that may have crashed, or may only have
   been out of touch.  */
struct jb_loss
{
  char *worker;              /* id */
  int64_t worker_started_ms; /* as jb_task.worker_started_ms */
  int64_t lost_ms;           /* steady clock of the planner's process */
  /* The worker has not been seen again for so long that the loss counts as a
     crash; not stored.  */
  bool counted;
};

struct jb_task
{
  struct jb_job *job;
  struct jb_step *step;
  uint32_t index; /* within its step, from 0 */
  uint32_t state; /* enum jb_task_state */
  uint32_t run;   /* number of the last run; 0: never started */
  /* Failed runs.  The first task of a gang counts those of the gang, in each
     of which several members may have failed.  */
  uint32_t failures;
  GArray *failed_runs; /* uint32_t: their numbers; NULL: none.  Not kept of
                          tasks that last, whose runs have no limit.  */
  uint32_t crashes;    /* workers that crashed when a run had just started */
  uint32_t lost_runs;  /* runs lost with a worker that had crashed, with no
                          other cause for that in sight */
  /* struct jb_loss, of which it is not known whether the worker crashed; NULL:
     none.  */
  GArray *undecided_losses;
  /* A run that was given up has ended done while a later one may have started;
     so no other run is started after that one.  */
  bool done_before;
  char *worker; /* id; NULL unless placed or stopping */
  /* Start time of the worker's process when the task was placed there, by a
     clock of the worker's own, to be compared for equality; 0: not known.  */
  int64_t worker_started_ms;
  bool worker_leaving; /* that process has announced that it leaves */
  char *checkpoint;    /* that the next run resumes from; NULL: none */
  bool confirmed;      /* the worker has reported that the run is there */
  bool start_unsent;   /* this host has placed it and has not sent the start */
  /* The moments below are on the steady clock of the planner's process. */
  int64_t placed_ms;
  int64_t started_ms; /* when the run was confirmed; 0: not confirmed */
  /* From this moment on no start of the run can take effect any more, so a
     status poll that is sent after this moment shows whether the run is there.
     INT64_MAX: not known yet.  */
  int64_t poll_conclusive_from_ms;
  const char *stop_reason; /* for logs; a constant text; NULL: not stopped */
  int64_t stop_sent_ms;    /* of the last stop command; 0: none was sent */
  int64_t percent; /* done of its work, or of the start-up of a long-lived
                      task, as its worker last reported */
  int64_t progress_changed_ms; /* when `percent` last changed */
  int64_t percent_ms; /* time that each of the last percents has taken; 0: not
                         known */
  /* Its rate since this moment, at which it had done this, has not been
     learned from yet; 0: there is no such moment.  */
  int64_t rate_from_ms;
  int64_t rate_from_percent;
  uint32_t rates_seen; /* that were learned from */
  /* Times that it was stopped as stalled, under this planner; the first task
     of a gang counts those of all its tasks.  */
  uint32_t stalls;
  /* As its worker last reported: the tail of the response times in ms of a
     task that serves requests; the processors used of any other task, which no
     code reads.  */
  int64_t reported_load;
  uint32_t pace;            /* percent of its speed; may be JB_PACE_UNKNOWN */
  int64_t pace_sent_ms;     /* of the last pace command */
  int64_t missing_since_ms; /* since when polls do not list it; 0: listed */
};

/* How long a step has stood, and why, as of the last survey of what waits;
   kept by lib/sched/waiting.c and by the planner's log of it.  Moments are on
   the steady clock.  */
struct jb_wait
{
  int64_t since_ms;    /* 0: it does not stand */
  uint32_t why;        /* enum sd_wait, as last found; 0: not looked at yet */
  int64_t examined_ms; /* when `why` was found */
  uint32_t logged_why; /* enum sd_wait, as last logged; 0: not logged */
  int64_t logged_ms;
};

/* One step of one occurrence of a job.  */
struct jb_step
{
  struct jb_job *job;
  const struct jb_step_spec *spec;
  uint32_t occurrence;   /* from 0 */
  uint32_t index;        /* within its job, from 0 */
  struct jb_task *tasks; /* array of spec->count, owned by the job */
  uint32_t done_count;
  /* Percent of its work that any run of the step has done in a second, by its
     progress whenever that was reported, at most; 0: none yet.  */
  double fastest_rate;
  uint64_t kind; /* as lib/sched/interfere.h has it; 0: not needed yet */
  /* Steady clock: since when it has been ready with all its tasks waiting; 0:
     it is not.  */
  int64_t waiting_since_ms;
  struct jb_wait wait;
  /* Since when it has waited beside room for it twice over, on the steady
     clock of the planner's process; 0: it has not.  */
  int64_t beside_room_since_ms;
  int64_t room_seen_ms; /* when it last did */
};

struct jb_job
{
  char id[JB_ID_DIGITS + 1];
  struct jb_spec *spec; /* NULL while only its progress is known */
  enum jb_state state;  /* as decided here or last read; may not be stored */
  enum jb_state visible_state; /* as stored; this is what callers are told */
  bool cancel_requested;       /* cancelling was requested; tasks may still be
                                  running */
  bool started;                /* a task has started */
  bool has_done_before;        /* a task may have done_before */
  bool has_undecided_losses;   /* a task may have undecided_losses */
  bool progress_changed; /* its progress has changed since it was last recorded
                          */
  struct jb_step *steps; /* ordered by occurrence, then by step index */
  size_t step_total;     /* spec->occurrence_count * spec->step_count */
  struct jb_task *tasks; /* in the order of `steps` */
  size_t task_total;
  /* By block of tasks, see records.h: as last written under the term of this
     host; NULL: none has been written.  */
  GByteArray **written_blocks;
  uint32_t failed_runs; /* that this host knows of, of all its tasks */
  int64_t added_ms;     /* steady clock: when this host read its record */
  /* Steady clock: when visible_state became final here, by a cancellation or a
     final state; 0: it is not final.  */
  int64_t final_since_ms;
  int64_t ended_unix_ms; /* 0: not ended */
  char *queue;           /* a copy of spec->queue */
  uint32_t priority;     /* of its queue, as of the scheduler's last round */
  /* Its queue as last configured, see job_queue.h; NULL: not known.  */
  struct ct_queue *queue_config;
  bool queue_config_changed; /* it is not that of the job's record, and is
                                stored with the progress */
  uint32_t attempt_limit; /* of its queue, as an earlier version has stored it;
                             0: not known */
};

/*! jb_state_is_final () :
 *  @return : whether a job in STATE has completed, failed or been
 *            cancelled. */
bool jb_state_is_final (enum jb_state state);

/*! jb_state_name () :
 *  @return : "queued", "running", "completed", "failed" or "cancelled". */
const char *jb_state_name (enum jb_state state);

/*! jb_task_name () :
 *  @return : ID.K.STEP.INDEX, where K is the occurrence; to be freed by
 *            g_free (). */
char *jb_task_name (const struct jb_task *task);

/*! jb_step_due_unix_ms () :
 *  @return : the time of day before which the step must not start; 0: the
 *            step may start at any time. */
int64_t jb_step_due_unix_ms (const struct jb_step *step);

/*! jb_job_forget_written () :
 *  Frees the copies of written blocks, so that the next write has all. */
void jb_job_forget_written (struct jb_job *job);

/*! jb_task_reset () :
 *  Makes a task wait for a worker again.  Its run number, its counts of
 *  failures, crashes and lost runs, its undecided losses and its checkpoint
 *  stay. */
void jb_task_reset (struct jb_task *task);

/*! jb_task_has_failed_run () :
 *  @return : whether RUN counts as failed. */
bool jb_task_has_failed_run (const struct jb_task *task, uint32_t run);

/*! jb_task_add_failed_run () :
 *  Counts a failed run, which must not count yet. */
void jb_task_add_failed_run (struct jb_task *task, uint32_t run);

/*! jb_task_forget_failed_runs () :
 *  Sets the count of failed runs to 0. */
void jb_task_forget_failed_runs (struct jb_task *task);

/*! jb_task_add_loss () :
 *  Adds an undecided loss.
 *  @worker : its id, copied.
 *  @return : the loss, owned by TASK; valid until the next change of its
 *            losses. */
struct jb_loss *jb_task_add_loss (struct jb_task *task, const char *worker,
                                  int64_t worker_started_ms);

/*! jb_task_forget_losses () :
 *  Removes the undecided losses. */
void jb_task_forget_losses (struct jb_task *task);

/*! jb_job_has_no_runs () :
 *  @return : whether no task of the job is placed or stopping. */
bool jb_job_has_no_runs (const struct jb_job *job);

/*! jb_job_reset_progress () :
 *  Resets all tasks as if none had ever started, and the state to queued or,
 *  if cancelling was requested, to cancelled.  The state that callers are told
 *  stays. */
void jb_job_reset_progress (struct jb_job *job);

/* --- The table of jobs --- */

struct jb_table
{
  GHashTable *jobs; /* id -> struct jb_job, owned by the table */
};

/*! jb_table_create (), jb_table_free () :
 *  An empty table; freeing it frees its jobs.  jb_table_free () accepts
 *  NULL. */
struct jb_table *jb_table_create (void);
void jb_table_free (struct jb_table *table);

/*! jb_table_find () :
 *  @return : the job, owned by the table; NULL if there is none. */
struct jb_job *jb_table_find (const struct jb_table *table, const char *id);

/*! jb_table_add () :
 *  Adds a job, or sets the specification of a job that has none yet.  Takes
 *  ownership of SPEC, and frees it if the job has a specification already. The
 *  processors that best-effort steps of SPEC ask for are set to 0, for these
 *  steps use the processors that other tasks leave.
 *  @now_ms : steady clock.
 *  @return : the job, owned by the table. */
struct jb_job *jb_table_add (struct jb_table *table, const char *id,
                             struct jb_spec *spec, int64_t now_ms);

/*! jb_table_remove () :
 *  Removes and frees a job, if there is one of this id. */
void jb_table_remove (struct jb_table *table, const char *id);

/*! jb_table_find_task () :
 *  @return : the task named ID.K.STEP.INDEX; NULL if there is none. */
struct jb_task *jb_table_find_task (const struct jb_table *table,
                                    const char *name);

/*! jb_id_valid () :
 *  @return : whether TEXT is 16 hexadecimal digits. */
bool jb_id_valid (const char *text);

#endif
