/* Decides for how long a planner that reaches no store may go on extending
   leases, and how long the next planner waits for the leases of workers that
   it does not reach.  Pure: no input, no output, no clock.

   A store that is down for all must not end what runs.  But the planner may
   also be cut off from the store together with some workers, while another
   host has become the planner.  It cannot tell these two apart by itself:

   - What it has stored proves that no other planner had begun before that
     append was sent.
   - A worker that executes its calls has not been called by the next planner.
     Answers of most workers prove that the next planner has not reached half
     of them yet.

   So leases are extended to the lease limit after the newer of the two proofs,
   and the next planner counts the lease limit from when it has reached half of
   the workers.  If it reaches fewer, it counts from when the second proof ends
   at the latest.
   Prefix: tp_.  */

#ifndef FT_TERM_PROOF_H
#define FT_TERM_PROOF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* For how long after the last stored append the workers' answers count.
     Longer, and the tasks of workers that are lost together with most others
     and the planner wait longer to be started again.  */
  TP_WITHOUT_STORE_MAX_MS = 30 * 1000,
  /* The next planner waits for that by the clock of another host, which may
     be faster.  */
  TP_CLOCK_MARGIN_PERCENT = 2,
  TP_WITHOUT_STORE_WAIT_MS
  = TP_WITHOUT_STORE_MAX_MS * (100 + TP_CLOCK_MARGIN_PERCENT) / 100
};

/*! tp_proved_ms () :
 *  For the planner.  All times are on its steady clock.
 *  @stored_ms : when the last append that is stored was sent.
 *  @answered_ms : for each listed worker that has answered a call under this
 *                 term, when the last such call was sent; is sorted.
 *  @listed : how many workers are listed.
 *  @return : no later planner has begun to count leases before this. */
int64_t tp_proved_ms (int64_t stored_ms, int64_t *answered_ms, size_t answered,
                      size_t listed);

/*! tp_has_reached_enough () :
 *  For a planner that has just begun.
 *  @listed : how many workers were listed when it began.
 *  @reached : how many of these have answered a call under its term.
 *  @return : whether leases may be counted from now on. */
bool tp_has_reached_enough (size_t reached, size_t listed);

#endif
