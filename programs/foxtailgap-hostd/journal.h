/* Task: follows the topics of jobs and of the operator, keeps the table of
   jobs and the catalog, and appends what callers hand in.  Prefix: jr_.  */

#ifndef FT_HOSTD_JOURNAL_H
#define FT_HOSTD_JOURNAL_H

#include <ev.h>

#include "common/metrics.h"
#include "jobs/catalog.h"
#include "jobs/model.h"
#include "jobs/records.h"
#include "store/store_port.h"

struct journal;

/* What the journal tells its one observer (the planner).  */
struct jr_observer
{
  void *ctx;
  void (*job_added) (void *ctx, struct jb_job *job);
  void (*job_cancelled) (void *ctx, struct jb_job *job);
  void (*job_removed) (void *ctx, struct jb_job *job); /* before it is freed */
  void (*term_read) (void *ctx, const struct jb_term *term);
  void (*catalog_changed) (void *ctx, const struct ct_catalog *catalog);
  void (*read_done) (void *ctx);   /* after each answer of the jobs' topic */
  void (*writes_wait) (void *ctx); /* for the planner's next append */
};

/* Decodes the operator's document; of the platform.  */
typedef int (*jr_decode_catalog) (struct ct_catalog **out, const void *text,
                                  size_t size_bytes);

struct jr_params
{
  struct ev_loop *loop;
  struct so_port store;
  const char *jobs_topic;
  const char *operator_topic;
  const char *catalog_key;
  jr_decode_catalog decode_catalog;
  struct mt_registry *metrics;
};

/*! jr_announce () :
 *  Has this host's record stored. */
void jr_announce (struct journal *journal, const char *name,
                  const struct jb_host *host);

/*! jr_pick_peer () :
 *  @name : of this host.
 *  @besides : an address that was tried already; or NULL.
 *  @return : the address of another host, drawn by chance; NULL if there is
 *            none.  Valid until the next record is read. */
const char *jr_pick_peer (const struct journal *journal, const char *name,
                          const char *besides);

/*! jr_planner_address () :
 *  @name : of this host.
 *  @return : the address of the planner's host; NULL if it is this host or not
 *            known. */
const char *jr_planner_address (const struct journal *journal,
                                const char *name);

/*! jr_strongest (), jr_host_count () :
 *  Of the hosts that have announced themselves. */
uint32_t jr_strongest (const struct journal *journal);
uint32_t jr_host_count (const struct journal *journal);

struct journal *jr_create (const struct jr_params *params);
void jr_free (struct journal *journal);
void jr_observe (struct journal *journal, const struct jr_observer *observer);

/*! jr_table (), jr_catalog () :
 *  What has been read; the catalog is NULL before the first one. */
struct jb_table *jr_table (struct journal *journal);
const struct ct_catalog *jr_catalog (const struct journal *journal);

/*! jr_loaded () :
 *  @return : whether jobs and catalog have been read up to a recent end. */
bool jr_loaded (const struct journal *journal);

/*! jr_following () :
 *  @return : whether the newest state has been read and is followed now. */
bool jr_following (const struct journal *journal);

/*! jr_reload () :
 *  Where jobs stand is read anew: this host has changed them on its own.
 *  What callers are shown stays. */
void jr_reload (struct journal *journal);

/*! jr_jobs_age_ms (), jr_catalog_age_ms () :
 *  @return : for how long what is known may have been superseded. */
int64_t jr_jobs_age_ms (const struct journal *journal);
int64_t jr_catalog_age_ms (const struct journal *journal);

typedef void (*jr_fresh_callback) (void *ctx, bool fresh);

/*! jr_when_fresh () :
 *  Calls back once all that stood in the jobs' topic at the time of this call
 *  has been read, or with false if that takes longer than timeout_ms. */
void jr_when_fresh (struct journal *journal, uint32_t timeout_ms,
                    jr_fresh_callback callback, void *ctx);

/*! jr_hurry () :
 *  Reads the jobs' topic without pauses for a while. */
void jr_hurry (struct journal *journal, uint32_t for_ms);

/*! jr_store_away_ms () :
 *  @return : 0 while the store answers; else for how long it has not. */
int64_t jr_store_away_ms (const struct journal *journal);

/*! jr_answer_ms () :
 *  @return : about how long the store takes for an answer now. */
int64_t jr_answer_ms (const struct journal *journal);

/*! jr_is_slow () :
 *  @return : whether that is many times what it takes on a calm day. */
bool jr_is_slow (const struct journal *journal);

/*! jr_is_lost () :
 *  @sent_ms : when an append was sent that has no answer yet.
 *  @return : whether the store has answered what was sent later, so that the
 *            append or its answer is lost. */
bool jr_is_lost (const struct journal *journal, int64_t sent_ms);

/*! jr_append_timeout_ms () :
 *  @return : how long an append may take.  One that is given up too soon still
 *            keeps the topic busy, and is sent again behind itself. */
uint32_t jr_append_timeout_ms (const struct journal *journal);

/*! jr_planner_seen_ms () :
 *  @return : steady clock, when a record of the planner was read last. */
int64_t jr_planner_seen_ms (const struct journal *journal);

/*! jr_set_own_term () :
 *  Progress written under this term is this host's own and is not read back;
 *  0: none. */
void jr_set_own_term (struct journal *journal, uint64_t term);

/*! jr_leases () :
 *  @return : what the planner recorded last of workers that are out of touch
 *            (as of jb_decode_leases ()); NULL: nothing yet. */
GHashTable *jr_leases (const struct journal *journal);

/*! jr_term () :
 *  @return : the newest term that was read. */
const struct jb_term *jr_term (const struct journal *journal);

/* --- What callers hand in --- */

enum jr_outcome
{
  JR_STORED = 0,
  JR_NOT_STORED = -1, /* and never will be */
  JR_UNKNOWN = -2,    /* no answer in time: may be stored later */
};

typedef void (*jr_stored_callback) (void *ctx, enum jr_outcome outcome);

/*! jr_submit () :
 *  Has a job stored, or tells at once that the store is away; SPEC is the
 * caller's and is copied. */
void jr_submit (struct journal *journal, const char *id,
                const struct jb_spec *spec, uint32_t timeout_ms,
                jr_stored_callback callback, void *ctx);

/*! jr_cancel () :
 *  Has the cancelling of a job stored. */
void jr_cancel (struct journal *journal, const char *id, uint32_t timeout_ms,
                jr_stored_callback callback, void *ctx);

struct jr_lot;

/*! jr_carry () :
 *  While the store is slow the planner's append carries the writes of its
 *  host: adds copies of those that wait to RECORDS, at most about MAX_BYTES.
 *  @return : NULL if there are none; else to be given to jr_carried (). */
struct jr_lot *jr_carry (struct journal *journal, GPtrArray *records,
                         size_t max_bytes);

/*! jr_carried () :
 *  The append that carried LOT has this outcome, which is final. */
void jr_carried (struct jr_lot *lot, enum so_result result);

/*! jr_wants_carrier () :
 *  @return : whether writes wait for the planner's append. */
bool jr_wants_carrier (const struct journal *journal);

/*! jr_open_writes () :
 *  @return : writes of callers that have no outcome yet. */
uint32_t jr_open_writes (const struct journal *journal);

#endif
