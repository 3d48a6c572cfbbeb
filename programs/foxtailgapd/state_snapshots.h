/* Decides when a snapshot of the folded state is written, and loads one if the
   log has expired records that this host has not read.  Prefix: ssn_.  */

#ifndef FT_STATE_SNAPSHOTS_H
#define FT_STATE_SNAPSHOTS_H

#include <ev.h>

#include "common/metrics.h"
#include "config/settings.h"
#include "log/log_client.h"
#include "log/snapshot_stream.h"
#include "messages.h"

struct ssn_keeper;

/* All pointers are borrowed and must outlive the keeper.  */
struct ssn_params
{
  struct ev_loop *loop;
  struct hc_client *http;
  const struct settings *settings;
  struct mt_registry *metrics;
  struct st_state *state;
  struct log_client *log;
  void (*replaced) (void *ctx); /* a snapshot has replaced the state */
  /* Called at the end of a load: the log can be read from the state's next
     offset.  */
  void (*loaded) (void *ctx);
  void *ctx;
};

/*! ssn_create () :
 *  @return : owned by the caller; NULL on failure. */
struct ssn_keeper *ssn_create (const struct ssn_params *params);
void ssn_free (struct ssn_keeper *keeper);

/*! ssn_load () :
 *  Reads the newest snapshot, and retries until the state has reached the
 *  offset FIRST.  Calls loaded () then.
 *  @first : oldest offset in the log; 0: not known, so one successful read is
 *           enough, even if there is no snapshot. */
void ssn_load (struct ssn_keeper *keeper, uint64_t first);

/*! ssn_accept_from_peer () :
 *  Replaces the state by a snapshot from another host, if a load is in
 *  progress and the snapshot is newer. */
void ssn_accept_from_peer (struct ssn_keeper *keeper, const uint8_t *data,
                           size_t size_bytes);

/* Inputs to the decision whether a snapshot is due.  Only the holder of the
   planner term writes snapshots, with one exception: if the log has expired
   records that no snapshot holds, the host that has folded the most records
   writes a rescue snapshot without them, after a delay.  */
void ssn_set_term_holder (struct ssn_keeper *keeper, bool mine);
void ssn_set_log_up (struct ssn_keeper *keeper, bool up);
void ssn_set_members (struct ssn_keeper *keeper,
                      const struct msg_members *members);
void ssn_on_caught_up (struct ssn_keeper *keeper);

#endif
