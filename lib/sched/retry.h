/* When a caller whose job was not accepted should come back.  Load pattern:
   the store is away for seconds, all callers return in step and use up their
   tries before it is back.  Pure.  Prefix: rt_after_.  */

#ifndef FT_SCHED_RETRY_H
#define FT_SCHED_RETRY_H

#include <stdint.h>

/*! rt_after_s () :
 *  An outage that has lasted for a while is expected to last as long again;
 *  urgent work comes back sooner than work that has time.
 *  @away_ms : for how long the store has not answered.
 *  @priority : of the queue, 0 is urgent.
 *  @chance : drawn by the caller, spreads returns of work that has time.
 *  @return : seconds, at least 1. */
uint32_t rt_after_s (int64_t away_ms, uint32_t priority, uint32_t chance);

#endif
