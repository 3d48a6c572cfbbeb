/* Typed messages between the parts of one process that share a libev loop.
   Each part owns its sockets and its state; other parts communicate with it
   only through its mailbox.  Prefix: mb_.  */

#ifndef FT_MAILBOX_H
#define FT_MAILBOX_H

#include <ev.h>
#include <stddef.h>

struct mb_box;

/* Receives one message and takes ownership of its body.  KIND is the number
   given to mb_post (); its meaning is up to the mailbox's owner.  */
typedef void (*mb_handler) (void *ctx, int kind, void *body);

/* Frees the body of a message that will not be delivered.  */
typedef void (*mb_discard) (int kind, void *body);

/*! mb_create () :
 *  @return : a mailbox that calls HANDLER from LOOP, in the order of posting,
 *            owned by the caller; NULL if out of memory. */
struct mb_box *mb_create (struct ev_loop *loop, mb_handler handler,
                          mb_discard discard, void *ctx);

/*! mb_free () :
 *  Discards the messages that were not delivered.  Accepts NULL. */
void mb_free (struct mb_box *box);

/*! mb_post () :
 *  Queues a message and takes ownership of BODY.  The handler is never called
 *  before mb_post () returns. */
void mb_post (struct mb_box *box, int kind, void *body);

/*! mb_pending () :
 *  @return : number of messages that have not been delivered yet. */
size_t mb_pending (const struct mb_box *box);

#endif
