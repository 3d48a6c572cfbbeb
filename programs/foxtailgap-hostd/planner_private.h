/* Inside the planner: the term in planner_term.c, the list of workers in
   planner_list.c, records in planner_write.c, rounds in planner.c.  */

#ifndef FT_HOSTD_PLANNER_PRIVATE_H
#define FT_HOSTD_PLANNER_PRIVATE_H

#include "advisor.h"
#include "planner.h"
#include "workers.h"

enum pl_role
{
  PL_FOLLOWER,
  PL_ACQUIRING, /* a acquire_term has been sent, its record not read yet */
  PL_PLANNER,
  PL_RELEASED, /* shutting down */
};

/* A start that is to be sent once it is stored.  */
struct pl_pending_start
{
  struct jb_task *task;
  uint32_t run;
};

/* One append of the planner, sent again until its outcome is known.  */
struct pl_batch
{
  GPtrArray *records;     /* struct so_record */
  GPtrArray *jobs;        /* struct pl_stored_job */
  GArray *starts;         /* struct pl_pending_start */
  GArray *outcome_marks;          /* of wk_mark_outcomes () */
  GHashTable *leases;     /* of wk_collect_leases (); NULL: not written */
  struct jr_lot *caller_writes; /* callers' writes; NULL: none */
  bool release;
  int64_t sent_ms; /* of its last append */
};

/* One append of a batch; a batch may need several.  */
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
  struct workers *workers;
  struct advisor *advisor;
  enum pl_role role;
  /* term */
  uint64_t term;
  uint64_t nonce;
  uint64_t sequence;
  int64_t acquire_started_ms;
  int64_t acquire_sent_ms; /* when it was sent last */
  int64_t acquire_jitter_ms;
  int64_t first_check_ms;
  int64_t term_started_ms;
  bool workers_polled; /* the workers have been asked, rounds go on */
  /* list of workers */
  bool list_loaded;
  bool list_reading;
  int64_t list_next;
  int64_t list_read_ms;
  char *list_last_key;
  /* records */
  struct pl_batch *sending; /* NULL: none */
  uint32_t appends_in_flight;    /* of `sending`, without an answer yet */
  GHashTable *unanswered_appends;     /* struct pl_append: all without an answer */
  bool releasing;
  GArray *starts;   /* struct pl_pending_start, for the next batch */
  GPtrArray *drops; /* ids of jobs whose records are dropped next */
  int64_t dropped_ms;
  int64_t last_append_end_ms;
  /* rounds */
  ev_timer tick;
  ev_timer round;
  int64_t last_tick_ms;   /* of the last tick */
  int64_t pause_end_ms; /* end of the last pause of the process */
  /* load of this host as the planner, told now and then */
  int64_t load_logged_ms;
  int64_t load_cpu_us;
  int64_t round_cpu_us;
  int64_t last_round_us;
  uint32_t rounds;
};

/* --- planner_term.c --- */

/*! pl_strength () :
 *  @return : how much work a host can take on as the planner. */
uint32_t pl_strength (const struct hostd_settings *settings);
void pl_term_init (struct planner *planner);
void pl_handle_term_record (struct planner *planner, const struct jb_term *term);
void pl_acquire_term_if_due (struct planner *planner);
/*! pl_end_term () :
 *  Another host holds the term: nothing is ordered any more. */
void pl_end_term (struct planner *planner, const char *why);
struct so_record *pl_create_term_record (const struct planner *planner, bool release);

/* --- planner_list.c --- */

/*! pl_read_worker_list_if_due () :
 *  Reads the list of workers when it is time. */
void pl_read_worker_list_if_due (struct planner *planner);
void pl_reset_worker_list (struct planner *planner);

/* --- planner.c --- */

void pl_begin_term (struct planner *planner);
void pl_schedule_round (struct planner *planner);

/* --- planner_write.c --- */

void pl_batch_free (struct pl_batch *batch);
void pl_drop_batch (struct planner *planner);

/*! pl_was_paused () :
 *  @return : whether the process has been paused since a moment. */
bool pl_was_paused (const struct planner *planner, int64_t since_ms);

/*! pl_send_batch () :
 *  Sends what is being written, maybe again. */
void pl_send_batch (struct planner *planner);

/*! pl_resend_lost_append () :
 *  Sends what is being written again if the append or its answer is lost. */
void pl_resend_lost_append (struct planner *planner);

/*! pl_write_changes () :
 *  Writes what has changed, if nothing is being written. */
void pl_write_changes (struct planner *planner, bool heartbeat, bool release);

#endif
