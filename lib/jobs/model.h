/* Jobs, workers and the configuration of queues, as plain data.  No part of
   this module does input or output.  Prefix: jb_.  */

#ifndef FT_JOBS_MODEL_H
#define FT_JOBS_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  JB_ID_DIGITS = 16,
  JB_STEPS_MAX = 64,        /* of one job */
  JB_TASKS_MAX = 4096,      /* of one job over all its occurrences */
  JB_TEXT_MAX_BYTES = 4000, /* the platform's limit of a job's text */
  JB_TIMES_MAX = 1000,
  JB_PACE_FULL = 100,   /* percent, at the start of a task */
  JB_PACE_UNKNOWN = 101 /* of a task that was started under another term */
};

/* Errors of this layer.  */
enum jb_error
{
  JB_OK = 0,
  JB_ERR_FORMAT = -1, /* bytes that cannot be read */
  JB_ERR_LIMIT = -2,  /* a count is out of its bounds */
};

/* --- What a job asks for --- */

struct jb_room
{
  int64_t cpus_milli;
  int64_t memory_mib;
  int64_t accelerators;
};

struct jb_step_spec
{
  uint32_t count;
  struct jb_room room; /* of one task */
  uint32_t estimate_ms;
  uint32_t *after; /* numbers of earlier steps that must be done */
  size_t after_count;
  bool gang;
  bool one_rack;
  bool checkpoints;
  bool copies_allowed;
  bool lasting;          /* runs until the job is cancelled */
  char *label;           /* the worker must have it; NULL: any */
  char *data_rack;       /* rack of its data; NULL: anywhere */
  uint32_t worker_limit; /* tasks of the step on one worker; 0: any number */
  char *image;
  uint32_t target_ms;
  bool fills;
  uint32_t absence_limit;
};

struct jb_spec
{
  char *queue;
  char *team;
  char *text; /* handed to the workers as it came */
  struct jb_step_spec *steps;
  size_t step_count;
  uint32_t times; /* occurrences, at least 1 */
  bool timed;     /* occurrences have a due time */
  int64_t first_unix_ms;
  int64_t interval_ms;
  int64_t accepted_unix_ms;
};

/*! jb_spec_free () :
 *  Accepts NULL. */
void jb_spec_free (struct jb_spec *spec);

/*! jb_spec_check () :
 *  Whether counts and references between steps are within bounds.
 *  @return : NULL, or a short text that says what is wrong. */
const char *jb_spec_check (const struct jb_spec *spec);

/* --- Where a job stands --- */

enum jb_state
{
  JB_QUEUED = 0,
  JB_RUNNING = 1,
  JB_COMPLETED = 2,
  JB_FAILED = 3,
  JB_CANCELLED = 4
};

enum jb_task_state
{
  JB_TASK_WAITING = 0,
  JB_TASK_PLACED = 1,   /* recorded for a worker; may run there */
  JB_TASK_STOPPING = 2, /* told to stop, or its gang has ended */
  JB_TASK_DONE = 3
};

struct jb_task
{
  struct jb_job *job;
  struct jb_step *step;
  uint32_t index;
  uint32_t state;     /* enum jb_task_state */
  uint32_t run;       /* number of the last start; 0: never started */
  uint32_t failures;  /* of a gang: kept by its first task */
  char *worker;       /* id; NULL unless placed or stopping */
  char *checkpoint;   /* NULL: none */
  bool confirmed;     /* the worker has said that it runs */
  int64_t placed_ms;  /* steady clock of the planner */
  int64_t started_ms; /* steady clock; 0: not confirmed */
  /* Steady clock: what the worker shows of the run after this moment is the
     truth; no start of it can take effect any more.  INT64_MAX: not yet.  */
  int64_t settled_ms;
  int64_t stop_sent_ms; /* steady clock; 0: no stop sent */
  int64_t percent;      /* of its work, as its worker showed it last */
  int64_t progress_ms;  /* steady clock: when that changed last */
  int64_t figure;       /* that its worker showed last: of a task that serves
                           the tail in ms */
  uint32_t pace;        /* percent that it may work at; see JB_PACE_UNKNOWN */
  int64_t pace_sent_ms; /* steady clock: of the last order */
  int64_t missing_ms;   /* steady clock: not shown since; 0: shown */
};

/* One step of one occurrence.  */
struct jb_step
{
  struct jb_job *job;
  const struct jb_step_spec *spec;
  uint32_t occurrence;
  uint32_t number;
  struct jb_task *tasks; /* spec->count */
  uint32_t done_count;
};

struct jb_job
{
  char id[JB_ID_DIGITS + 1];
  struct jb_spec *spec; /* NULL while only its progress is known */
  enum jb_state state;
  enum jb_state shown;   /* what is stored and may be told */
  bool cancelled;        /* asked for, maybe not carried out yet */
  bool begun;            /* a task has started */
  bool changed;          /* since its progress was written */
  struct jb_step *steps; /* times * step_count */
  size_t step_total;
  struct jb_task *tasks;
  size_t task_total;
  int64_t seen_ms;       /* steady clock: when this host learned of it */
  int64_t final_ms;      /* steady clock: when this host learned of its end */
  int64_t ended_unix_ms; /* 0: not ended */
  char *queue;           /* of spec, also kept here */
  uint32_t priority;     /* of its queue, as of the scheduler's last round */
};

bool jb_state_is_final (enum jb_state state);

/*! jb_state_name () :
 *  @return : "queued", "running", "completed", "failed" or "cancelled". */
const char *jb_state_name (enum jb_state state);

/*! jb_task_name () :
 *  ID.K.STEP.INDEX, to be freed by g_free (). */
char *jb_task_name (const struct jb_task *task);

/*! jb_step_due_unix_ms () :
 *  @return : the time of day before which the step must not start; 0: any. */
int64_t jb_step_due_unix_ms (const struct jb_step *step);

/*! jb_task_reset () :
 *  Lets a task wait again; its run number and checkpoint stay. */
void jb_task_reset (struct jb_task *task);

/*! jb_job_is_at_rest () :
 *  @return : whether no task of the job is placed or stopping. */
bool jb_job_is_at_rest (const struct jb_job *job);

/*! jb_job_forget_progress () :
 *  As if nothing of the job had started; what is shown stays. */
void jb_job_forget_progress (struct jb_job *job);

/* --- The table of jobs --- */

struct jb_table
{
  GHashTable *jobs; /* id -> struct jb_job */
};

struct jb_table *jb_table_create (void);
void jb_table_free (struct jb_table *table);

struct jb_job *jb_table_find (const struct jb_table *table, const char *id);

/*! jb_table_add () :
 *  Adds a job or gives a known one its specification; takes SPEC.  Tasks that
 *  fill need no processors of their own: those of SPEC are set to none.
 *  @return : the job. */
struct jb_job *jb_table_add (struct jb_table *table, const char *id,
                             struct jb_spec *spec, int64_t now_ms);

void jb_table_remove (struct jb_table *table, const char *id);

/*! jb_table_find_task () :
 *  @return : the task named ID.K.STEP.INDEX; NULL if there is none. */
struct jb_task *jb_table_find_task (const struct jb_table *table,
                                    const char *name);

/*! jb_id_valid () :
 *  @return : whether TEXT is 16 hexadecimal digits. */
bool jb_id_valid (const char *text);

#endif
