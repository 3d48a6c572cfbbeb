/* Answers queries for the revisions of the configuration.  Prefix: hist_.  */

#ifndef FT_STATE_HISTORY_H
#define FT_STATE_HISTORY_H

#include "messages.h"

/*! hist_answer () :
 *  Fills in the requested revisions and posts the message back to its sender.
 *  The document is included only if one revision is requested.  Takes
 *  ownership of HISTORY. */
void hist_answer (const struct st_state *state,
                  struct msg_config_history *history);

#endif
