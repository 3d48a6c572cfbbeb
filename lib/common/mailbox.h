/* Typed messages between the tasks of one process.  A task owns its sockets
   and its state; others reach it through its mailbox only.  Prefix: mb_.  */

#ifndef FT_MAILBOX_H
#define FT_MAILBOX_H

#include <ev.h>
#include <stddef.h>

struct mb_box;

/* Receives one message and owns its body.  */
typedef void (*mb_handler) (void *ctx, int kind, void *body);

/* Frees the body of a message that is not delivered.  */
typedef void (*mb_discard) (int kind, void *body);

/*! mb_create () :
 *  @return : a mailbox that delivers on LOOP, in order; NULL without memory.
 */
struct mb_box *mb_create (struct ev_loop *loop, mb_handler handler,
                          mb_discard discard, void *ctx);

/*! mb_free () :
 *  Discards what was not delivered.  Accepts NULL. */
void mb_free (struct mb_box *box);

/*! mb_post () :
 *  Takes ownership of BODY.  The handler is never called before mb_post ()
 *  returns. */
void mb_post (struct mb_box *box, int kind, void *body);

/*! mb_pending () :
 *  @return : messages that wait to be delivered. */
size_t mb_pending (const struct mb_box *box);

#endif
