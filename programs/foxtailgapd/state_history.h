/* Answers questions about the configuration's revisions.  Prefix: hist_.  */

#ifndef FT_STATE_HISTORY_H
#define FT_STATE_HISTORY_H

#include "messages.h"

/*! hist_answer () :
 *  Fills in the revisions that are asked for and sends the message back.
 *  Takes HISTORY. */
void hist_answer (const struct st_state *state, struct msg_history *history);

#endif
