/* How busy an event loop is, and with what: the time from each wake-up until
   the loop waits again.  Unlike the processor time of the process, this also
   counts the time that a busy machine takes away from it.  Prefix: ll_.  */

#ifndef FT_LOOP_LOAD_H
#define FT_LOOP_LOAD_H

#include <ev.h>
#include <stdint.h>

struct loop_load;

/* What the time of an iteration is spent on.  */
enum ll_part
{
  LL_REST,           /* in no section */
  LL_ROUNDS,         /* decisions on starts and stops */
  LL_WORKER_DUE,     /* looking for the calls to workers that are due */
  LL_WORKER_CALLS,   /* encoding and sending them */
  LL_WORKER_IO,      /* their connections, until the whole answer is there */
  LL_WORKER_ANSWERS, /* decoding their answers, and what follows from them */
  LL_STORE,          /* connections to the store, its answers, the records
                        that are read */
  LL_RECORDS,        /* encoding and sending the records that are written */
  LL_CALLERS,        /* requests of callers, and those passed on */
  LL_LOGS,           /* lines of the log */
  LL_PARTS           /* number of parts */
};

/* Since the last ll_take ().  */
struct ll_sample
{
  int64_t busy_us;           /* all iterations together */
  int64_t longest_us;        /* the longest one */
  int64_t part_us[LL_PARTS]; /* of busy_us, by enum ll_part */
};

/*! ll_create () :
 *  Watches LOOP, which it does not keep alive.  The sections of the calling
 *  thread count for the load that the thread has created last.
 *  @return : to be freed by ll_free (). */
struct loop_load *ll_create (struct ev_loop *loop);

/*! ll_free () :
 *  Accepts NULL. */
void ll_free (struct loop_load *load);

/*! ll_take () :
 *  @return : the sample since the last call; the iteration that is running
 *            counts in the next one. */
struct ll_sample ll_take (struct loop_load *load);

/*! ll_part_total_us () :
 *  @return : what all iterations since ll_create () have spent on PART. */
int64_t ll_part_total_us (const struct loop_load *load, enum ll_part part);

/*! ll_part_name () :
 *  @return : a word for logs and metrics. */
const char *ll_part_name (enum ll_part part);

/*! ll_enter (), ll_leave () :
 *  A section of the calling thread, of which the time counts for PART.
 *  Sections nest: the time of the inner one does not count for the outer one.
 *  Costs two readings of the clock; without a load on the thread nothing.
 *  @outer : what ll_enter () returned. */
enum ll_part ll_enter (enum ll_part part);
void ll_leave (enum ll_part outer);

#endif
