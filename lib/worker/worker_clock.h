/* Computes deadlines on the clock of a worker from an older reading of it.
   Pure: no input, no output, no clock.

   A worker's clock may be slow, so the longer ago it was read, the less is
   known of what it shows now.  A deadline is computed by the slowest clock
   there can be: whatever the age of the reading, the worker passes it no later
   than the caller counts on.  On a right clock it comes earlier, by
   WC_SLOW_PERCENT of the time since the reading, so a start needs a recent
   reading: it would be refused as late.

   The clock of this process is taken as right, and as going on while the
   process is paused; see clk_monotonic_ms ().  An answer that was held up, or
   was read late, only makes deadlines earlier.
   Prefix: wc_.  */

#ifndef FT_WORKER_CLOCK_H
#define FT_WORKER_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  WC_SLOW_PERCENT = 2, /* a worker's clock may be slow by this much */
  /* A deadline by an older reading loses more than 300 ms on a right clock,
     so that a start no longer has time for three tries.  */
  WC_RECENT_MS = 15000
};

/* A worker's clock as read from an answer.  */
struct wc_reading
{
  int64_t clock_ms; /* negative: not read yet */
  int64_t read_ms;  /* when the answer came in, by this process's clock */
};

/*! wc_is_recent () :
 *  @return : whether a start may be given a deadline by READING. */
bool wc_is_recent (const struct wc_reading *reading, int64_t now_ms);

/*! wc_deadline_ms () :
 *  @until_ms : by the clock of this process.
 *  @return : the latest time on the worker's clock that is over by UNTIL_MS at
 *            any speed of that clock; negative: there is none. */
int64_t wc_deadline_ms (const struct wc_reading *reading, int64_t until_ms);

/*! wc_longest_ms () :
 *  @return : how long DURATION_MS on a worker's clock last at most. */
int64_t wc_longest_ms (int64_t duration_ms);

#endif
