/* The journal reads the store's topics of jobs and of the operator's
   configuration, keeps the table of jobs and the catalog that result from
   them, and appends the jobs and cancellations that callers submit.  It runs
   in the process's event loop.  Prefix: jr_.  */

#ifndef FT_HOSTD_JOURNAL_H
#define FT_HOSTD_JOURNAL_H

#include <ev.h>

#include "common/metrics.h"
#include "jobs/catalog.h"
#include "jobs/model.h"
#include "jobs/records.h"
#include "store/store_port.h"

struct journal;

/* Notifications to the journal's one observer, the planner.  Each callback may
   be NULL.  */
struct jr_observer
{
  void *ctx;
  void (*job_added) (void *ctx, struct jb_job *job);
  void (*job_cancelled) (void *ctx, struct jb_job *job);
  /* Called before the job is freed.  */
  void (*job_removed) (void *ctx, struct jb_job *job);
  void (*term_read) (void *ctx, const struct jb_term_record *term);
  /* Called while jr_catalog () still returns the previous catalog, which is
     freed after this call.  */
  void (*catalog_changed) (void *ctx, const struct ct_catalog *catalog);
  /* A data centre is closed for new work, or open again.  */
  void (*closing_changed) (void *ctx, const char *data_centre, bool closed);
  /* Called after each successful read of the jobs' topic.  */
  void (*jobs_read) (void *ctx);
  /* Called when callers' writes wait for the planner's next append; see
     jr_add_writes_to_append ().  */
  void (*writes_waiting) (void *ctx);
};

/* Decodes the operator's configuration document; the platform's adapter
   implements it.  Returns 0 with *out set and owned by the caller, or a
   negative error.  */
typedef int (*jr_decode_catalog) (struct ct_catalog **out, const void *text,
                                  size_t size_bytes);

/* Reads the key and the value of a record of the operator's topic; the
   platform's adapter implements it.  *data_centre is set to a name that lives
   as long as KEY, or to NULL.  TEXT NULL: the record has been removed.  */
typedef enum ct_closing (*jr_decode_closing) (const char **data_centre,
                                              const char *key,
                                              const void *text,
                                              size_t size_bytes);

struct jr_params
{
  struct ev_loop *loop;
  struct so_port store;
  const char *jobs_topic;
  const char *operator_topic;
  const char *catalog_key; /* of the configuration in the operator's topic */
  jr_decode_catalog decode_catalog;
  jr_decode_closing decode_closing; /* NULL: no data centre is ever closed */
  struct mt_registry *metrics;
};

/*! jr_announce_host () :
 *  Stores this host's record in the jobs' topic, from which the other hosts
 *  read its address and strength.
 *  @name : of this host. */
void jr_announce_host (struct journal *journal, const char *name,
                       const struct jb_host_record *host);

/*! jr_random_peer_address () :
 *  @name : of this host.
 *  @excluded : an address not to return, because it has been tried; or NULL.
 *  @return : IP:PORT of a random other host; NULL if there is none.  Valid
 *            until the next record is read. */
const char *jr_random_peer_address (const struct journal *journal,
                                    const char *name, const char *excluded);

/*! jr_planner_address () :
 *  @name : of this host.
 *  @return : IP:PORT of the planner's host; NULL if that is this host or is
 *            not known.  Valid until the next record is read. */
const char *jr_planner_address (const struct journal *journal,
                                const char *name);

/*! jr_host_strength () :
 *  @return : the strength of a host by its record; 0: none has been read. */
uint32_t jr_host_strength (const struct journal *journal, const char *name);

/*! jr_max_host_strength (), jr_host_count () :
 *  The greatest strength, and the number, of the hosts whose records have
 *  been read; see struct jb_host_record. */
uint32_t jr_max_host_strength (const struct journal *journal);
uint32_t jr_host_count (const struct journal *journal);

/*! jr_host_rank () :
 *  @name : of this host.
 *  @strength : of this host.
 *  @return : how many other hosts of the same strength are before this one in
 *            an order that depends on the newest term.  The planner's host is
 *            left out, since it has fallen silent when this is asked. */
uint32_t jr_host_rank (const struct journal *journal, const char *name,
                       uint32_t strength);

/*! jr_create () :
 *  Starts reading both topics.
 *  @params : copied; the texts must outlive the journal.
 *  @return : to be freed by jr_free (). */
struct journal *jr_create (const struct jr_params *params);

/*! jr_end_calls () :
 *  Ends open writes with JR_OUTCOME_UNKNOWN and waiting calls of jr_when_fresh
 *  () with false, for a shutdown.  None may be made afterwards. */
void jr_end_calls (struct journal *journal);

/*! jr_free () :
 *  Ends open writes with JR_OUTCOME_UNKNOWN and waiting calls of jr_when_fresh
 * () with false.  Accepts NULL. */
void jr_free (struct journal *journal);

/*! jr_set_observer () :
 *  Sets the observer, which replaces an earlier one.
 *  @observer : copied. */
void jr_set_observer (struct journal *journal,
                      const struct jr_observer *observer);

/*! jr_job_table (), jr_catalog () :
 *  The state that results from the records read so far, owned by the journal.
 *  The catalog is NULL until a first one has been read. */
struct jb_table *jr_job_table (struct journal *journal);
const struct ct_catalog *jr_catalog (const struct journal *journal);

/*! jr_newest_catalog_version () :
 *  @return : version of the newest catalog that is known to be in use: that of
 *            jr_catalog (), or a newer one by which another host has accepted
 *            or run a job, unless the operator's topic has been read to its
 *            end since that was found.  -1: no catalog is known. */
int64_t jr_newest_catalog_version (const struct journal *journal);

/*! jr_closed_data_centres () :
 *  @return : the data centres that the operator has closed for new work: their
 *            names, as a set, by the records read so far. */
GHashTable *jr_closed_data_centres (const struct journal *journal);

/*! jr_ever_loaded () :
 *  @return : whether the jobs' topic has been loaded at least once and a
 *            catalog is known.  Stays true while the jobs are reloaded. */
bool jr_ever_loaded (const struct journal *journal);

/*! jr_is_loaded () :
 *  @return : as jr_ever_loaded (), but false while the jobs are reloaded, for
 *            example because records have expired. */
bool jr_is_loaded (const struct journal *journal);

/*! jr_reload () :
 *  Discards the progress of all jobs and reads it again from the store.  The
 *  planner calls this when it loses its term, since the table then holds
 *  changes of its own.  The states shown to callers stay. */
void jr_reload (struct journal *journal);

/*! jr_jobs_age_ms (), jr_catalog_age_ms () :
 *  @return : age of the table of jobs, or of the catalog and the closed data
 *            centres: every record that was stored longer ago than this has
 *            been read. */
int64_t jr_jobs_age_ms (const struct journal *journal);
int64_t jr_catalog_age_ms (const struct journal *journal);

/*! jr_hurry_operator () :
 *  To be called while jr_catalog_age_ms () is too large for the caller: a read
 *  of the operator's topic that was sent before an outage may not be answered
 *  any more.  If the store has answered another call since, sends one more
 *  read; only once until a read is answered. */
void jr_hurry_operator (struct journal *journal);

typedef void (*jr_fresh_callback) (void *ctx, bool fresh);

/*! jr_reading_is_paused () :
 *  @return : whether no read of the jobs' topic is in progress, so that
 * records may have been stored that only the next read shows. */
bool jr_reading_is_paused (const struct journal *journal);

/*! jr_when_fresh () :
 *  Calls back with true once every record that was in the jobs' topic at the
 *  time of this call has been read, or with false if that takes longer than
 *  timeout_ms.  If reading is paused, reads at once. */
void jr_when_fresh (struct journal *journal, uint32_t timeout_ms,
                    jr_fresh_callback callback, void *ctx);

/*! jr_poll_fast () :
 *  Reads the jobs' topic without pauses between reads for for_ms, so that an
 *  expected record is seen as soon as possible. */
void jr_poll_fast (struct journal *journal, uint32_t for_ms);

/*! jr_store_unreachable_ms () :
 *  @return : 0 while the store is reachable; else for how long it has not
 *            answered any call. */
int64_t jr_store_unreachable_ms (const struct journal *journal);

/*! jr_store_latency_ms () :
 *  @return : the store's response time at the last call that measured it,
 *            without the time that a read waited for records. */
int64_t jr_store_latency_ms (const struct journal *journal);

/*! jr_store_is_slow () :
 *  @return : whether jr_store_latency_ms () is many times the 4 to 10 ms of a
 * store under normal load. */
bool jr_store_is_slow (const struct journal *journal);

/*! jr_append_is_lost () :
 *  @sent_ms : steady clock, when an append was sent that has no answer yet.
 *  @return : whether the store has quickly answered a read that was sent
 *            later, which shows that the append or its answer is lost. */
bool jr_append_is_lost (const struct journal *journal, int64_t sent_ms);

/*! jr_append_timeout_ms () :
 *  @return : timeout of an append now.  A slow store works through its queue
 *            of appends even if the sender has given them up, so that an
 *            append retried too early waits behind its own first copy. */
uint32_t jr_append_timeout_ms (const struct journal *journal);

/*! jr_last_planner_record_ms () :
 *  @return : steady clock, when a record that the planner wrote (its term or
 *            the progress of a job) was last read; 0: never. */
int64_t jr_last_planner_record_ms (const struct journal *journal);

/*! jr_set_own_term () :
 *  Sets the term that this host holds as the planner; 0: none.  While it is
 *  also the newest term that has been read, progress records are not applied,
 *  because this host has written them; otherwise they are. */
void jr_set_own_term (struct journal *journal, uint64_t term);

/*! jr_leases () :
 *  @return : the remaining lease times of unreachable workers as the planner
 *            last recorded them (see jb_encode_leases () for the types), owned
 *            by the journal; NULL: none recorded yet. */
GHashTable *jr_leases (const struct journal *journal);

/*! jr_speeds () :
 *  @return : the speeds of workers as the planner last recorded them, of
 *            sd_speeds_record (), owned by the journal; NULL: none recorded
 *            yet. */
GBytes *jr_speeds (const struct journal *journal);

/*! jr_term () :
 *  @return : the newest planner term that was read; its term is 0 before the
 *            first. */
const struct jb_term_record *jr_term (const struct journal *journal);

/* --- Writes of callers --- */

enum jr_outcome
{
  JR_STORED = 0,
  JR_NOT_STORED = -1, /* and will not be stored later */
  JR_OUTCOME_UNKNOWN
  = -2, /* no answer in time: it may be stored, also later */
};

typedef void (*jr_stored_callback) (void *ctx, enum jr_outcome outcome);

/*! jr_submit () :
 *  Stores a job.  If the store is unreachable, calls back with JR_NOT_STORED
 *  before returning; else with the outcome, within about timeout_ms.
 *  @spec : copied. */
void jr_submit (struct journal *journal, const char *id,
                const struct jb_spec *spec, uint32_t timeout_ms,
                jr_stored_callback callback, void *ctx);

/*! jr_cancel () :
 *  Stores the cancellation of a job; calls back as jr_submit () does. */
void jr_cancel (struct journal *journal, const char *id, uint32_t timeout_ms,
                jr_stored_callback callback, void *ctx);

/* The callers' writes that one append contains.  */
struct jr_batch;

/*! jr_add_writes_to_append () :
 *  A slow store handles the appends of all hosts one at a time, so that while
 *  it is slow the planner's append also contains the writes of the callers of
 *  its host.  Adds copies of the writes that wait to RECORDS, about MAX_BYTES
 *  at most.
 *  @return : to be passed to jr_added_writes_done (); NULL if no writes were
 *            added. */
struct jr_batch *jr_add_writes_to_append (struct journal *journal,
                                          GPtrArray *records,
                                          size_t max_bytes);

/*! jr_added_writes_done () :
 *  Reports the final result of the append to which the writes of BATCH were
 *  added, and frees BATCH. */
void jr_added_writes_done (struct jr_batch *batch, enum so_result result);

/*! jr_writes_wait_for_planner () :
 *  @return : whether writes wait to be added to the planner's next append:
 *            this host is the planner and the store is slow. */
bool jr_writes_wait_for_planner (const struct journal *journal);

/*! jr_open_writes () :
 *  @return : number of writes that have no outcome yet. */
uint32_t jr_open_writes (const struct journal *journal);

#endif
