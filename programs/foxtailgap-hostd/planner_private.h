/* Internal to the planner: the term is in planner_term.c, the list of workers
   in planner_worker_list.c, records in planner_write.c, rounds in planner.c,
   the log of what waits in planner_waiting.c.
 */

#ifndef FT_HOSTD_PLANNER_PRIVATE_H
#define FT_HOSTD_PLANNER_PRIVATE_H

#include "advisor.h"
#include "common/loop_load.h"
#include "planner.h"
#include "workers.h"

enum pl_role
{
  PL_FOLLOWER,
  PL_ACQUIRING, /* has sent the record of a new term, and not read it yet */
  PL_PLANNER,   /* holds the term */
  PL_RELEASED,  /* shutting down; acquires no term any more */
};

/* A start to be sent to its worker once the placement is stored.  */
struct pl_pending_start
{
  struct jb_task *task;
  uint32_t run;
};

/* The records of one append; it is sent again until its outcome is known.  */
struct pl_batch
{
  GPtrArray *records; /* struct so_record */
  GPtrArray *jobs; /* struct pl_stored_job: the jobs whose progress it has */
  GArray *starts;  /* struct pl_pending_start: to be sent once it is stored */
  GArray *outcome_marks; /* of wk_mark_outcomes (); NULL: passed to
                            wk_outcomes_stored () */
  GHashTable *leases;    /* of wk_collect_leases (); NULL: not in this batch */
  struct jr_batch
      *caller_writes; /* of jr_add_writes_to_append (); NULL: none */
  bool release;       /* it releases the term */
  bool raise;         /* it raises the term: it is the first of its epoch */
  int64_t sent_ms;    /* when it was last sent */
};

/* One sending of a batch, until its answer; a batch may need several.  */
struct pl_append
{
  struct planner *planner;
  uint64_t term;
  uint64_t sequence;
  int64_t sent_ms;
};

struct planner
{
  struct pl_params params;
  struct sd_sched *sched;
  struct worker_calls *workers;
  struct advisor *advisor;
  enum pl_role role;
  /* term */
  uint64_t term;     /* held, or being acquired */
  uint64_t nonce;    /* of the last term that this host tried to acquire */
  uint64_t sequence; /* of the batch being written */
  int64_t acquire_started_ms; /* when its record was first sent */
  int64_t acquire_sent_ms;    /* when its record was last sent */
  int64_t acquire_jitter_ms;  /* random, added to the timeout of a term */
  char seen_planner[128];     /* host of the newest term that has been read, */
  int64_t seen_planner_since_ms; /* and since when */
  int64_t no_term_since_ms; /* when this host first read that there has been no
                               term yet; 0: it has not */
  int64_t term_started_ms;
  bool workers_polled; /* the first polls are over, so rounds may be held */
  /* the store's list of workers */
  bool list_loaded;     /* it has been read as a whole; now changes are read */
  bool list_reading;    /* a call to the store has no answer yet */
  int64_t list_next;    /* offset to read from */
  int64_t list_read_ms; /* when the last call was sent */
  bool list_needed;     /* to be read as soon as that call is answered */
  /* When a call was sent of which the answer showed that all records before
     it have been read; 0: none under this term.  */
  int64_t list_complete_ms;
  char *list_last_key; /* last key of the part read; NULL: at the start */
  GHashTable *listed;  /* ids of the parts read, as a set; until loaded */
  /* records */
  struct pl_batch *sending;       /* the batch being written; NULL: none */
  uint32_t appends_in_flight;     /* of `sending`, without an answer yet */
  GHashTable *unanswered_appends; /* struct pl_append, as a set; also those of
                                     earlier batches and terms */
  bool releasing;
  GArray *starts;             /* struct pl_pending_start, for the next batch */
  GPtrArray *jobs_to_remove;  /* ids of ended jobs whose records the next batch
                                 removes from the store */
  int64_t removal_checked_ms; /* when jobs to remove were last looked for */
  int64_t last_append_end_ms; /* when an append last succeeded or failed */
  int64_t stored_batch_sent_ms; /* when the last stored batch was sent: the
                                   term held at that moment or later */
  /* rounds */
  ev_timer tick_timer;
  ev_timer round_timer;
  ev_timer write_timer;
  int64_t last_tick_ms;
  int64_t pause_end_ms; /* of the last pause of the process */
  /* load of this host as the planner, since it was last logged */
  struct loop_load *load;
  int64_t load_logged_ms;
  int64_t load_counted_ms;
  int64_t rounds_us;      /* duration of all rounds */
  int64_t last_round_us;  /* duration of the last one */
  int64_t tick_rounds_us; /* of all rounds since the last tick */
  uint32_t rounds;        /* number of them */
  /* what waits, see planner_waiting.c */
  const char *no_round_why;    /* why no round was held when the last one was
                                  due; a constant text; NULL: it was held */
  int64_t round_held_ms;       /* when the last round was held; 0: none under
                                  this term */
  enum sd_placing placing;     /* of the last round */
  bool round_ended_early;      /* the last round has left work to another */
  int64_t waiting_surveyed_ms; /* 0: not under this term */
  uint32_t waiting_jobs[SD_WAIT_COUNT]; /* as last counted */
};

/* --- planner_term.c --- */

/*! pl_strength () :
 *  @return : how much work this host can take on as the planner; only compared
 *            with that of other hosts, without a unit. */
uint32_t pl_strength (const struct hostd_settings *settings);

/*! pl_term_init () :
 *  To be called once, before the other functions of the term. */
void pl_term_init (struct planner *planner);

/*! pl_handle_term_record () :
 *  A record of a term has been read from the jobs' topic: this host or another
 *  host may have become the planner. */
void pl_handle_term_record (struct planner *planner,
                            const struct jb_term_record *term);

/*! pl_acquire_term_if_due () :
 *  Tries to acquire the term if the planner has released it or has written
 *  nothing for too long; sends the record of the new term again if it is
 *  lost. */
void pl_acquire_term_if_due (struct planner *planner);

/*! pl_end_term () :
 *  Another host holds the term: no command is sent to workers any more.
 *  @why : for the log. */
void pl_end_term (struct planner *planner, const char *why);

/*! pl_create_term_record () :
 *  @release : whether the record releases the term.
 *  @return : the record of the current term, owned by the caller. */
struct so_record *pl_create_term_record (const struct planner *planner,
                                         bool release);

/* --- planner_worker_list.c --- */

/*! pl_read_worker_list_if_due () :
 *  Reads the store's list of workers, or what has changed in it, once the
 *  interval since the last reading is over. */
void pl_read_worker_list_if_due (struct planner *planner);

/*! pl_read_worker_list_soon () :
 *  Reads the list without a pause, once more if a read is under way. */
void pl_read_worker_list_soon (struct planner *planner);

/*! pl_reset_worker_list () :
 *  Makes the next read of the list start from its beginning. */
void pl_reset_worker_list (struct planner *planner);

/* --- planner.c --- */

/*! pl_begin_term () :
 *  This host has become the planner. */
void pl_begin_term (struct planner *planner);

/*! pl_schedule_round () :
 *  If this host is the planner, starts the timer of the next round, unless it
 *  is running already. */
void pl_schedule_round (struct planner *planner);

/* --- planner_waiting.c --- */

/*! pl_survey_waiting () :
 *  If the last time is long enough ago: counts the jobs of which nothing runs
 *  by the reason, and logs some of them. */
void pl_survey_waiting (struct planner *planner, int64_t now_ms);

/*! pl_forget_waiting () :
 *  A term begins or is over: no job is counted as waiting. */
void pl_forget_waiting (struct planner *planner);

/* --- planner_write.c --- */

/*! pl_batch_free () :
 *  Accepts NULL.  The outcome of callers' writes in the batch is unknown. */
void pl_batch_free (struct pl_batch *batch);

/*! pl_drop_batch () :
 *  Frees the batch being written, if there is one. */
void pl_drop_batch (struct planner *planner);

/*! pl_send_batch () :
 *  Sends the batch being written, for the first time or again. */
void pl_send_batch (struct planner *planner);

/*! pl_resend_lost_append () :
 *  Sends the batch being written again if its append or the answer is lost. */
void pl_resend_lost_append (struct planner *planner);

/*! pl_write_changes () :
 *  Writes a batch of all changes, unless one is being written already.
 *  @heartbeat : write even if nothing has changed, so that other hosts see
 *               that the planner runs.
 *  @release : release the term with this batch. */
void pl_write_changes (struct planner *planner, bool heartbeat, bool release);

#endif
