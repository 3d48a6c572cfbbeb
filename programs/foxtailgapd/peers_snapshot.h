/* The folded state passed on between entry hosts while the log is away: a
   host that cannot read it asks a member that has folded more.  Prefix: ps_.
 */

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

/*! ps_due () :
 *  @return : whether this host should ask now.
 *  @log : what the state task said last of the log. */
bool ps_due (struct ps_exchange *exchange, const struct msg_log *log,
             int64_t now_ms);

/*! ps_ask () :
 *  Asks the host behind CONNECTION for its state. */
void ps_ask (struct ps_exchange *exchange, struct fm_connection *connection,
             uint64_t offset);

/*! ps_wanted () :
 *  Another host asks over CONNECTION. */
void ps_wanted (struct ps_exchange *exchange,
                struct fm_connection *connection);

/*! ps_answer () :
 *  The state task's answer to that. */
void ps_answer (struct ps_exchange *exchange,
                const struct msg_snapshot *snapshot);

/*! ps_part () :
 *  One part of a state has arrived; a whole one goes to the state task. */
void ps_part (struct ps_exchange *exchange, const Ft__SnapshotPart *part);

/*! ps_closed () :
 *  CONNECTION has ended. */
void ps_closed (struct ps_exchange *exchange,
                const struct fm_connection *connection);

#endif
