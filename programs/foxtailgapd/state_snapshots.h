/* When snapshots of the folded state are written, and how a host that cannot
   read the log from its own position gets one.  Prefix: ssn_.  */

#ifndef FT_STATE_SNAPSHOTS_H
#define FT_STATE_SNAPSHOTS_H

#include <ev.h>

#include "common/metrics.h"
#include "config/settings.h"
#include "log/log_client.h"
#include "log/snapshot_stream.h"
#include "messages.h"

struct ssn_keeper;

struct ssn_params
{
  struct ev_loop *loop;
  struct hc_client *http;
  const struct settings *settings;
  struct mt_registry *metrics;
  struct st_state *state;
  struct log_client *log;
  void (*replaced) (void *ctx); /* the state is another one now */
  void (*loaded) (void *ctx);   /* reading can go on from the state's offset */
  void *ctx;
};

struct ssn_keeper *ssn_create (const struct ssn_params *params);
void ssn_free (struct ssn_keeper *keeper);

/*! ssn_load () :
 *  Reads the newest snapshot until the state reaches FIRST.
 *  @first : oldest offset that the log keeps; 0 if that is not known. */
void ssn_load (struct ssn_keeper *keeper, uint64_t first);

/*! ssn_accept_from_peer () :
 *  Takes a snapshot from another host, if it is newer. */
void ssn_accept_from_peer (struct ssn_keeper *keeper, const uint8_t *data,
                           size_t size_bytes);

/* What decides when a snapshot is due.  */
void ssn_set_term_holder (struct ssn_keeper *keeper, bool mine);
void ssn_set_log_up (struct ssn_keeper *keeper, bool up);
void ssn_set_members (struct ssn_keeper *keeper,
                      const struct msg_members *members);
void ssn_on_caught_up (struct ssn_keeper *keeper);

#endif
