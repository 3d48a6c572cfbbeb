/* Transfer of the folded state between entry hosts while the platform's log
   cannot be read: a host asks a member that has folded more records than it.
   A state is sent in parts over the connection that the request came by.
   Prefix: ps_.  */

#ifndef FT_PEERS_SNAPSHOT_H
#define FT_PEERS_SNAPSHOT_H

#include "member/frames.h"
#include "messages.h"
#include "proto/peer.pb-c.h"
#include "tasks.h"

struct ps_exchange;

/*! ps_create () :
 *  @box : of the peers task, for the state task's answers. */
struct ps_exchange *ps_create (struct daemon *daemon, struct mb_box *box);
void ps_free (struct ps_exchange *exchange);

/*! ps_mark_request_if_due () :
 *  Decides whether a request for a state is due.  If it is, the caller must
 *  send it: NOW_MS is kept as the time of the newest request.
 *  @log : newest message of the state task about the log.
 *  @now_ms : monotonic.
 *  @return : whether a request is due: the log is down or not read to the
 *            end, and the newest request was made at least one second ago. */
bool ps_mark_request_if_due (struct ps_exchange *exchange,
                             const struct msg_log_status *log, int64_t now_ms);

/*! ps_send_request () :
 *  Asks the host behind CONNECTION for its state.
 *  @offset : first record that this host has not folded. */
void ps_send_request (struct ps_exchange *exchange,
                      struct fm_connection *connection, uint64_t offset);

/*! ps_on_request () :
 *  Another host asks for the state over CONNECTION: requests it from the state
 *  task. */
void ps_on_request (struct ps_exchange *exchange,
                    struct fm_connection *connection);

/*! ps_send_snapshot () :
 *  Sends the state task's answer to the host that asked for it, unless its
 *  connection has ended. */
void ps_send_snapshot (struct ps_exchange *exchange,
                       const struct msg_snapshot *snapshot);

/*! ps_on_part () :
 *  Takes one part of another host's state.  A complete state is posted to the
 *  state task; invalid parts and those out of order are ignored. */
void ps_on_part (struct ps_exchange *exchange, const Ft__SnapshotPart *part);

/*! ps_on_closed () :
 *  Drops the requests that came over CONNECTION, which has ended. */
void ps_on_closed (struct ps_exchange *exchange,
                   const struct fm_connection *connection);

#endif
