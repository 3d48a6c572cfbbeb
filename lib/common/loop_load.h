/* How busy an event loop is: the time from each wake-up until the loop waits
   again.  Unlike the processor time of the process, this also counts the time
   that a busy machine takes away from it.  Prefix: ll_.  */

#ifndef FT_LOOP_LOAD_H
#define FT_LOOP_LOAD_H

#include <ev.h>
#include <stdint.h>

struct loop_load;

/* Since the last ll_take ().  */
struct ll_sample
{
  int64_t busy_us;    /* all iterations together */
  int64_t longest_us; /* the longest one */
};

/*! ll_create () :
 *  Watches LOOP, which it does not keep alive.
 *  @return : to be freed by ll_free (). */
struct loop_load *ll_create (struct ev_loop *loop);

/*! ll_free () :
 *  Accepts NULL. */
void ll_free (struct loop_load *load);

/*! ll_take () :
 *  @return : the sample since the last call; the iteration that is running
 *            counts in the next one. */
struct ll_sample ll_take (struct loop_load *load);

#endif
