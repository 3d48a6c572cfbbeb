/* Decides how many calls to workers may be without an answer at once.  Pure:
   no input, no output, no clock.

   Load pattern: thousands of calls become due within a moment, as when a wave
   of jobs is placed or when a new planner polls all workers first, on a host
   with little processor.  Sent all at once, they delay the planner's
   heartbeats beyond the term's timeout, and their answers are read only after
   the calls have timed out.  With a window the next call is sent when an
   answer has come in, so that the loop always returns to heartbeats in time.
   Prefix: cw_.  */

#ifndef FT_CALL_WINDOW_H
#define FT_CALL_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

struct cw_window;

struct cw_params
{
  uint32_t open_min;    /* the window never gets smaller, */
  uint32_t open_max;    /* nor larger than this */
  uint32_t expiry_ms;   /* a call without an answer for so long does not count
                           any more: its worker may not be reachable */
  uint32_t lag_high_ms; /* a loop that is late by this has too many calls */
};

/* Which calls go first when the window is nearly full.  */
enum cw_class
{
  CW_BULK,   /* may use three quarters of the window */
  CW_URGENT, /* may use all of it */
};

/*! cw_create () :
 *  @return : a window of open_max calls, to be freed by cw_free (). */
struct cw_window *cw_create (const struct cw_params *params);

/*! cw_free () :
 *  Frees the tickets too; none may be used afterwards.  Accepts NULL. */
void cw_free (struct cw_window *window);

/*! cw_has_room () :
 *  @return : whether a call of this class may be sent now. */
bool cw_has_room (struct cw_window *window, enum cw_class class,
                  int64_t now_ms);

/* A call that has been sent.  */
struct cw_ticket;

/*! cw_open () :
 *  A call is sent.
 *  @return : owned by WINDOW until cw_close (), which must follow once. */
struct cw_ticket *cw_open (struct cw_window *window, int64_t now_ms);

/*! cw_close () :
 *  The call has been answered or has failed.  Accepts NULL. */
void cw_close (struct cw_window *window, struct cw_ticket *ticket);

/*! cw_observe_lag () :
 *  Adapts the window: shrinks it by a quarter if the event loop was late by
 *  lag_high_ms or more, and enlarges it slowly if it was late by less than a
 *  quarter of that.  To be called at even intervals. */
void cw_observe_lag (struct cw_window *window, int64_t lag_ms);

/*! cw_size () :
 *  @return : how many calls may be open now. */
uint32_t cw_size (const struct cw_window *window);

#endif
