/* Decides how much of the processor the planner's rounds may take.  Pure: no
   input, no output, no clock.

   Load pattern: with many waiting jobs, or on a slow host, a round takes some
   100 ms.  If the next one follows soon, calls to workers and their answers
   have too little of the processor: starts wait to be sent, so that nothing
   new is placed, and rounds go on in vain.
   Prefix: rp_.  */

#ifndef FT_HOSTD_ROUND_PACING_H
#define FT_HOSTD_ROUND_PACING_H

#include <stdint.h>

/*! rp_delay_ms () :
 *  @last_round_us : how long the last round took.
 *  @return : the pause before the next one. */
int64_t rp_delay_ms (int64_t last_round_us);

/*! rp_call_lag_ms () :
 *  By how much calls and their answers have made a timer late, which the time
 *  of rounds does not count for: fewer calls would not make up for it.
 *  @late_ms : by how much the timer is late.
 *  @rounds_us : how long the rounds took since it was due to run before.
 *  @return : 0 or more. */
int64_t rp_call_lag_ms (int64_t late_ms, int64_t rounds_us);

#endif
