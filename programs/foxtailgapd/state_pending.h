/* Appends of this host whose fate has not been told yet.  Prefix: pend_.  */

#ifndef FT_STATE_PENDING_H
#define FT_STATE_PENDING_H

#include "common/metrics.h"
#include "messages.h"

struct pend_table;

struct pend_table *pend_create (struct mt_registry *metrics);
void pend_free (struct pend_table *table);

/*! pend_add () :
 *  @reply : box that gets the answer; NULL: no answer wanted. */
void pend_add (struct pend_table *table, const uint8_t id[ST_ID_SIZE_BYTES],
               struct mb_box *reply, uint64_t token);

/*! pend_size () :
 *  @return : how many appends wait. */
uint32_t pend_size (const struct pend_table *table);

/*! pend_answer () :
 *  Answers an append and forgets it; no effect for an id that is not known.
 *  @return : whether it was known. */
bool pend_answer (struct pend_table *table, const uint8_t id[ST_ID_SIZE_BYTES],
                  enum msg_append_result result, enum st_verdict verdict);

/*! pend_answer_folded () :
 *  Answers all that STATE has folded without telling of each, as it does when
 *  a snapshot has replaced it.
 *  @told : called for each, may be NULL. */
void pend_answer_folded (struct pend_table *table,
                         const struct st_state *state,
                         void (*told) (void *ctx, const uint8_t *id),
                         void *ctx);

#endif
