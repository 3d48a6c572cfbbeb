/* Table of the records that this host has appended and whose outcome has not
   been reported to the sender yet.  Prefix: pend_.  */

#ifndef FT_STATE_PENDING_H
#define FT_STATE_PENDING_H

#include "common/metrics.h"
#include "messages.h"

struct pend_table;

/*! pend_create () :
 *  @metrics : in which the outcomes are counted; not owned. */
struct pend_table *pend_create (struct mt_registry *metrics);
void pend_free (struct pend_table *table);

/*! pend_add () :
 *  Adds a record.
 *  @reply : mailbox that gets a struct msg_appended; NULL: none.
 *  @token : passed back in that message. */
void pend_add (struct pend_table *table, const uint8_t id[ST_ID_SIZE_BYTES],
               struct mb_box *reply, uint64_t token);

/*! pend_size () :
 *  @return : the number of records without an outcome. */
uint32_t pend_size (const struct pend_table *table);

/*! pend_answer () :
 *  Reports the outcome of a record and removes it; no effect if the id is
 *  not in the table.
 *  @verdict : used only for MSG_APPEND_FOLDED.
 *  @return : whether the id was in the table. */
bool pend_answer (struct pend_table *table, const uint8_t id[ST_ID_SIZE_BYTES],
                  enum msg_append_result result, enum st_verdict verdict);

/*! pend_answer_folded () :
 *  Reports the outcome of all records that STATE holds as folded but whose
 *  verdict was not reported here, as happens when a snapshot replaces the
 *  state.
 *  @answered : called for each of them; may be NULL. */
void pend_answer_folded (struct pend_table *table,
                         const struct st_state *state,
                         void (*answered) (void *ctx, const uint8_t *id),
                         void *ctx);

#endif
