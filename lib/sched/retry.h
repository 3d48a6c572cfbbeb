/* The Retry-After time for a caller whose job was not accepted.  Made for this
   load: the store does not answer for seconds, and all callers retry at the
   same moments and use up their tries before the store answers again.  Pure.
   Prefix: rt_.  */

#ifndef FT_SCHED_RETRY_H
#define FT_SCHED_RETRY_H

#include <stdint.h>

/*! rt_retry_after_s () :
 *  An outage is expected to go on longer the longer it has lasted, so the time
 *  grows with it: one second plus half of OUTAGE_MS, within bounds.  Urgent
 *  work is retried sooner than other work.
 *  @outage_ms : for how long the store has not answered.
 *  @priority : of the queue, 0 is urgent.
 *  @random_value : drawn by the caller, spreads the retries of work that is
 *                  not urgent.
 *  @return : seconds, at least 1. */
uint32_t rt_retry_after_s (int64_t outage_ms, uint32_t priority,
                           uint32_t random_value);

#endif
