/* Inside the journal: following in journal.c, what records do in
   journal_fold.c, writes in journal_write.c.  */

#ifndef FT_HOSTD_JOURNAL_PRIVATE_H
#define FT_HOSTD_JOURNAL_PRIVATE_H

#include "journal.h"

/* One topic that is followed.  */
struct follower
{
  struct journal *journal;
  const char *topic;
  uint32_t wait_ms;       /* a read waits this long for a record */
  uint32_t asked_wait_ms; /* of the read that is open */
  bool loaded;            /* the newest have been read; the tail is followed */
  bool ever_loaded;
  bool caught_up; /* the tail has been read to its end since */
  bool reading;
  int64_t next;
  int64_t sent_ms;
  int64_t fresh_ms;  /* nothing before this moment is missing */
  GPtrArray *pages;  /* struct so_record, while the newest are loaded */
  int64_t first_end; /* end of the first page */
  ev_timer pause;
  void (*apply) (struct journal *journal, const struct so_record *record);
};

struct journal
{
  struct jr_params params;
  struct jr_observer observer;
  struct follower jobs;
  struct follower operators;
  struct jb_table *table;
  GHashTable *hosts; /* name -> struct jb_host */
  struct ct_catalog *catalog;
  struct jb_term term;
  GHashTable *leases; /* of jb_decode_leases (); NULL: none yet */
  uint64_t own_term;
  int64_t planner_seen_ms;
  int64_t hurry_until_ms;
  int64_t answered_ms; /* when the store answered last */
  int64_t quick_ms;    /* when it answered last as fast as on a calm day */
  int64_t answer_ms;   /* the store's own time for an answer, as of late */
  GQueue writes;       /* struct jr_write, oldest first */
  uint32_t appends_open;
  uint32_t lost_in_row; /* appends given up since the last that was answered */
  GQueue lots;          /* struct jr_lot: those appends, oldest first */
  uint64_t next_ticket;
  ev_timer write_timer;
  GQueue waiters; /* struct jr_waiter, oldest first */
};

/* --- journal_fold.c --- */

void jr_fold_jobs_record (struct journal *journal,
                          const struct so_record *record);
void jr_fold_operator_record (struct journal *journal,
                              const struct so_record *record);

/* --- journal_write.c --- */

void jr_writes_init (struct journal *journal);
void jr_writes_clear (struct journal *journal);

/*! jr_write () :
 *  Has a record of another kind stored; nobody waits for it. */
void jr_write (struct journal *journal, char kind, const char *name,
               GByteArray *value, uint32_t timeout_ms);

/*! jr_writes_seen () :
 *  The record with KEY has been read: who waits for it is told. */
void jr_writes_seen (struct journal *journal, const char *key);

/*! jr_apply_stored () :
 *  A job that this host has stored is known at once. */
void jr_apply_stored (struct journal *journal, const struct so_record *record);

/*! jr_waiters_told () :
 *  The jobs' topic has been read up to its end. */
void jr_waiters_told (struct journal *journal);

#endif
