/* foxtailgap: coordination parts for schedulers, to be embedded.

   Read from top to bottom, this header is the manual.  It has two sections:
   the stable part, which keeps its form within a major version, and the
   advanced part, which may change with any version.

   Rules that hold everywhere:
   - A function returns 0 (NAME_OK) or a negative number of its part's own
     enumeration, and sets its results only on success.
   - NAME_create () gives a context that the caller owns and ends by
     NAME_free (), which accepts NULL.
   - Parameters come as a structure, set by designated initialisers; what is
     left out is 0.
   - Names that go in are copied.  Pointers that come out are borrowed, until
     the next call that changes the context, unless the contract says
     otherwise.
   - Pure parts do no I/O and read no clock; time and random numbers come by
     callback with a context pointer.  No part has globals, and one context
     may be used by one thread at a time.
   - Times are int64_t milliseconds; sizes are in bytes; a name's suffix
     tells its unit (timeout_ms, size_bytes).

   Link with the flags of `pkg-config --cflags --libs foxtailgap`.  */

#ifndef FOXTAILGAP_H
#define FOXTAILGAP_H

#include "common/version.h"

/* ===== Stable part ============================================ */

/* --- Placement ---------------------------------------------------
   Which job runs where, under guaranteed shapes: events in, commands out.
   A round trip:

     place_create ()                 with a policy, a clock, a random source
     place_configure ()              the teams and their guarantees
     place_worker_up ()              for each worker
     place_submit ()                 for each job, or "never" with the reason
     place_decide ()                 -> PLACE_START, PLACE_EVICT, ...
     place_ended ()                  when an attempt is over

   examples/embed-placement shows it.  */
#include "place/place.h"

/* --- The fold over a log -----------------------------------------
   One state on every host from one append-only log without conditions:

     st_create ()                    with an observer of what changes
     st_apply ()                     for each append, in the log's order
     st_encode (), st_decode ()      snapshots

   What a record means is decided when it is folded: the first claim of a
   term, a revision or a key is valid, later ones have no effect.
   examples/embed-fold shows it.  */
#include "state/state.h"

/* --- Service-level burn ------------------------------------------
   How fast objectives use up their error budgets.  */
#include "burn/burn.h"

/* ===== Advanced part ========================================== */

/* --- Routing of requests -----------------------------------------
   Admission, fairness between teams, shares of slots without a coordinator,
   health, retries.  */
#include "route/route.h"
#include "route/slots.h"

/* --- Membership --------------------------------------------------
   Which hosts are alive, by their heartbeats.  */
#include "member/members.h"

/* --- The life of a gang ------------------------------------------
   Lease all, record, start all, or undo all.  */
#include "lease/gang.h"

/* --- Client of an append-only log --------------------------------
   Group commit and following, on a libev loop.  */
#include "log/log_client.h"

#endif
