/* Internal header of the journal.  journal.c reads the topics, journal_load.c
   replaces what was known by their newest records, journal_fold.c applies
   records, journal_write.c appends callers' writes.  All times
   in ms are of the steady clock.

   The keys of the jobs' topic are a letter for the kind of record and, but for
   s, t and w, a name: h/HOST (a host), j/ID (a job), c/ID (its cancellation),
   p/ID (its progress), q/ID/N (that of a block of its tasks), w (the leases of
   unreachable workers), s (the speeds of workers, of sd_speeds_record ()), t
   (the planner's term).  */

#ifndef FT_HOSTD_JOURNAL_PRIVATE_H
#define FT_HOSTD_JOURNAL_PRIVATE_H

#include "journal.h"

struct topic_reader;

/* One call that reads a topic.  */
struct topic_read
{
  struct topic_reader *reader;
  bool open;
  bool abandoned; /* its answer is ignored, for another call is sent */
};

/* Reads one topic: first the newest record of each key, page by page, then all
   later records in order.  */
struct topic_reader
{
  struct journal *journal;
  const char *topic;
  uint32_t long_poll_ms;      /* a read waits this long for a record */
  uint32_t requested_wait_ms; /* of the pending read */
  bool loaded;                /* the newest records of all keys are applied */
  bool ever_loaded;
  bool caught_up; /* the end of the topic was reached since loading */
  bool read_pending;
  struct topic_read reads[2]; /* one of them may be abandoned */
  bool hurried;      /* a read was abandoned since the last successful one */
  uint32_t failures; /* reads that failed, one after the other */
  int64_t failing_since_ms;
  int64_t next_offset; /* of the next read, once loaded */
  int64_t read_sent_ms;
  /* Every record that was in the topic at this time has been applied.  */
  int64_t complete_until_ms;
  GPtrArray *newest_records; /* struct so_record, collected while loading */
  int64_t first_page_end_offset; /* end of the topic at the first page */
  ev_timer read_timer;           /* until the next read */
  void (*apply_record) (struct journal *journal,
                        const struct so_record *record);
};

struct journal
{
  struct jr_params params;
  struct jr_observer observer;
  struct topic_reader jobs_reader;
  struct topic_reader operator_reader;
  struct jb_table *table;
  GHashTable *jobs_before_load; /* ids, as a set; while loading */
  GHashTable *hosts;            /* name -> struct jb_host_record */
  uint32_t own_strength;        /* of this host, as announced */
  struct ct_catalog *catalog;
  /* The newest catalog version in the records of jobs, if it was newer than
     that of the catalog when it was found, and when that was.  */
  int64_t job_catalog_version;
  int64_t job_catalog_found_ms;
  GHashTable *closed; /* names of the closed data centres, as a set */
  struct jb_term_record term;
  GHashTable *leases; /* of jb_decode_leases (); NULL: none yet */
  GBytes *speeds;     /* of sd_speeds_record (); NULL: none yet */
  uint64_t own_term;  /* 0: this host is not the planner */
  int64_t last_planner_record_ms;
  int64_t fast_poll_until_ms;
  int64_t last_answer_ms;      /* of any successful call to the store */
  int64_t last_fast_answer_ms; /* of a fast read of the jobs' topic */
  int64_t store_latency_ms;    /* returned by jr_store_latency_ms () */
  GQueue writes;               /* struct jr_write, oldest first */
  uint32_t appends_open;
  uint32_t consecutive_lost_appends; /* since the last successful append */
  GQueue open_batches;               /* struct jr_batch, oldest first */
  uint64_t last_write_id;
  ev_timer
      sweep_timer; /* ends writes, appends and waiters whose time is over */
  GQueue waiters;  /* struct jr_waiter, oldest first */
};

/* --- journal_fold.c --- */

/*! jr_fold_jobs_record (), jr_fold_operator_record () :
 *  Apply one record of the topic to the journal's state and notify the
 *  observer. */
void jr_fold_jobs_record (struct journal *journal,
                          const struct so_record *record);
void jr_fold_operator_record (struct journal *journal,
                              const struct so_record *record);

/*! jr_set_closed () :
 *  The operator has closed a data centre, or it is open again.
 *  @readable : whether the record's value says so too, for the log. */
void jr_set_closed (struct journal *journal, const char *data_centre,
                    bool closed, bool readable);

/* --- journal_load.c --- */

/*! jr_begin_load () :
 *  The first page of the newest records of READER's topic is being read. */
void jr_begin_load (struct topic_reader *reader);

/*! jr_apply_newest_records () :
 *  All pages have been read: applies the records, and forgets what has none
 *  any more. */
void jr_apply_newest_records (struct topic_reader *reader);

/* --- journal.c --- */

/*! jr_read_now () :
 *  Ends the pause before the next read of the jobs' topic, if there is one. */
void jr_read_now (struct journal *journal);

/* --- journal_write.c --- */

void jr_writes_init (struct journal *journal);

/*! jr_write () :
 *  Stores a record with the key KIND/NAME, see above, without reporting the
 *  outcome.
 *  @value : freed by this call. */
void jr_write (struct journal *journal, char kind, const char *name,
               GByteArray *value, uint32_t timeout_ms);

/*! jr_finish_writes_of_key () :
 *  The record with KEY has been read from the topic: ends the writes of that
 *  key with JR_STORED. */
void jr_finish_writes_of_key (struct journal *journal, const char *key);

/*! jr_apply_stored_record () :
 *  Applies a job that this host has just stored, without waiting until its
 *  record is read back. */
void jr_apply_stored_record (struct journal *journal,
                             const struct so_record *record);

/*! jr_finish_fresh_waiters () :
 *  The jobs' topic has been read up to its end: calls back the waiters of
 *  jr_when_fresh () that have waited since complete_until_ms or longer. */
void jr_finish_fresh_waiters (struct journal *journal);

#endif
