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
  PL_CLAIMING, /* a claim has been sent, its record not read yet */
  PL_PLANNER,
  PL_RELEASED, /* shutting down */
};

/* A start that is to be sent once it is stored.  */
struct pl_start
{
  struct jb_task *task;
  uint32_t run;
};

/* One append of the planner, sent again until its outcome is known.  */
struct pl_batch
{
  GPtrArray *records;     /* struct so_record */
  GPtrArray *jobs;        /* struct pl_stored_job */
  GArray *starts;         /* struct pl_start */
  GArray *heard;          /* of wk_mark_heard () */
  GHashTable *leases;     /* of wk_list_leases (); NULL: not written */
  struct jr_lot *carried; /* callers' writes; NULL: none */
  bool release;
  int64_t sent_ms; /* of its last append */
};

/* One append of a batch; a batch may need several.  */
struct pl_attempt
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
  int64_t claim_sent_ms;
  int64_t claim_tried_ms; /* when it was sent last */
  int64_t claim_jitter_ms;
  int64_t first_check_ms;
  int64_t term_began_ms;
  bool settled; /* the workers have been asked, rounds go on */
  /* list of workers */
  bool list_loaded;
  bool list_reading;
  int64_t list_next;
  int64_t list_read_ms;
  char *list_last_key;
  /* records */
  struct pl_batch *sending; /* NULL: none */
  uint32_t appends_open;    /* of `sending`, without an answer yet */
  GHashTable *attempts;     /* struct pl_attempt: all without an answer */
  bool releasing;
  GArray *starts;   /* struct pl_start, for the next batch */
  GPtrArray *drops; /* ids of jobs whose records are dropped next */
  int64_t dropped_ms;
  int64_t written_ms;
  /* rounds */
  ev_timer tick;
  ev_timer round;
  int64_t woke_ms;   /* of the last tick */
  int64_t paused_ms; /* end of the last pause of the process */
  /* load of this host as the planner, told now and then */
  int64_t load_told_ms;
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
void pl_term_read (struct planner *planner, const struct jb_term *term);
void pl_term_check (struct planner *planner);
/*! pl_term_lost () :
 *  Another host holds the term: nothing is ordered any more. */
void pl_term_lost (struct planner *planner, const char *why);
struct so_record *pl_term_record (const struct planner *planner, bool release);

/* --- planner_list.c --- */

/*! pl_list_check () :
 *  Reads the list of workers when it is time. */
void pl_list_check (struct planner *planner);
void pl_list_reset (struct planner *planner);

/* --- planner.c --- */

void pl_begin (struct planner *planner);
void pl_wake (struct planner *planner);

/* --- planner_write.c --- */

void pl_batch_free (struct pl_batch *batch);
void pl_drop_batch (struct planner *planner);

/*! pl_was_paused () :
 *  @return : whether the process has been paused since a moment. */
bool pl_was_paused (const struct planner *planner, int64_t since_ms);

/*! pl_send_batch () :
 *  Sends what is being written, maybe again. */
void pl_send_batch (struct planner *planner);

/*! pl_resend_lost () :
 *  Sends what is being written again if the append or its answer is lost. */
void pl_resend_lost (struct planner *planner);

/*! pl_flush () :
 *  Writes what has changed, if nothing is being written. */
void pl_flush (struct planner *planner, bool heartbeat, bool release);

#endif
