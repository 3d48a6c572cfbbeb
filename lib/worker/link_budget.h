/* Decides when the next start may be sent to a worker, by the bytes that the
   host's network link can carry.  Pure: no input, no output, no clock.

   Load pattern: a wave of starts of up to 4 KB each is placed by a host with a
   link of a few Mbit/s.  Sent all at once, they wait in the link for longer
   than a start may take.  They are sent again behind the first ones, and the
   planner's heartbeats wait behind them all, so that it loses its term.  With
   a budget the starts wait in the process, where they do not expire, and the
   link stays free for heartbeats, lease renewals and the store.

   How much the link has left for starts is not known: callers, the store,
   other hosts and the status polls use it too.  So the budget follows the time
   that answers take: it shrinks when even the fastest answers are slow, and
   grows again when they are fast.  The slow answers of single workers do not
   matter.

   Only answers to calls that wait for the budget are observed.  So no other
   call may draw on it: with the budget at its least these could use all of it,
   no start would be sent, no answer be observed, and the budget never grow
   again.  For the same reason a debt is bounded in time, not in bytes.
   Prefix: lb_.  */

#ifndef FT_LINK_BUDGET_H
#define FT_LINK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct lb_params
{
  uint32_t link_bytes_per_s; /* the budget is at most this; 0: no limit */
  uint32_t burst_ms;         /* what an idle link may be given at once */
  uint32_t interval_ms;      /* between two changes of the budget */
  uint32_t fast_ms;          /* answers within this: the budget grows */
  uint32_t slow_ms;          /* none within this: it shrinks */
};

struct lb_budget
{
  struct lb_params params;
  uint32_t bytes_per_s; /* the budget */
  int64_t level_bytes;  /* left; negative after a call larger than that, by
                           at most what is repaid within 400 ms */
  int64_t filled_ms;    /* steady clock: when level_bytes was computed */
  int64_t changed_ms;   /* when the interval began */
  int64_t fastest_ms;   /* answer in the interval; negative: none */
};

/*! lb_init () :
 *  BUDGET is half of the link at first, with a whole burst left. */
void lb_init (struct lb_budget *budget, const struct lb_params *params,
              int64_t now_ms);

/*! lb_has_room () :
 *  @return : whether a call of any size may be sent now. */
bool lb_has_room (struct lb_budget *budget, int64_t now_ms);

/*! lb_take () :
 *  A call is sent that has waited for room, or is sent again.  To be followed
 *  by lb_observe () at its end. */
void lb_take (struct lb_budget *budget, uint32_t bytes, int64_t now_ms);

/*! lb_observe () :
 *  A call has been answered after TOOK_MS, or has had no answer for as
 *  long. */
void lb_observe (struct lb_budget *budget, int64_t took_ms, int64_t now_ms);

#endif
