/* foxtailgap: modules for building schedulers, to be embedded in other
   programs.

   This header is the entry point to the library and its documentation.  It has
   two sections: the stable API, which stays compatible within a major version,
   and the advanced API, which may change with any version.

   Conventions of all modules:
   - A function returns 0 (NAME_OK) or a negative error number of its
     module's enumeration, and sets its results only on success.
   - NAME_create () returns a context that the caller owns and frees by
     NAME_free (), which accepts NULL.
   - Parameters are passed in a structure, to be set by designated
     initialisers; fields that are not set are 0.
   - Strings passed to a function are copied.  Returned pointers stay owned by
     the context and are valid until the next call that changes it, unless the
     function's comment says otherwise.
   - Modules without I/O read no clock either; they get the time and random
     numbers from callbacks with a context pointer.  No module has global
     state.  One context may be used by one thread at a time.
   - Times are int64_t milliseconds; sizes are in bytes; the
     suffix of a name is its unit (timeout_ms, size_bytes).

   Link with the flags of `pkg-config --cflags --libs foxtailgap`.  */

#ifndef FOXTAILGAP_H
#define FOXTAILGAP_H

#include "common/version.h"

/* ===== Stable API ============================================= */

/* --- Placement ---------------------------------------------------
   Decides which job runs on which workers and keeps each team's guaranteed
   resources available.  The caller reports events and carries out the returned
   commands.  A typical sequence:

     place_create ()                 with a policy and a clock
     place_configure ()              the teams and their guarantees
     place_worker_up ()              for each worker
     place_submit ()                 for each job; reports "never" and the
                                     reason if the job cannot run
     place_decide ()                 -> PLACE_START, PLACE_EVICT, ...
     place_ended ()                  when an attempt is over

   See examples/embed-placement.  */
#include "place/place.h"

/* --- The fold over a log -----------------------------------------
   Computes the same state on every host by applying the records of one
   append-only log in order; the log needs no conditional appends:

     st_create ()                    with an observer of state changes
     st_apply ()                     for each append, in the order of the log
     st_encode (), st_decode ()      snapshots

   Whether a record is valid is decided when it is applied: the first record
   that acquires a term, adds a revision or claims a key is valid, later ones
   have no effect.
   See examples/embed-fold.  */
#include "state/state.h"

/* --- Service-level burn ------------------------------------------
   Measures how fast service-level objectives use up their error budgets.  */
#include "burn/burn.h"

/* ===== Advanced API =========================================== */

/* --- Routing of requests -----------------------------------------
   Admission, fairness between teams, division of slots among hosts without a
   coordinator, health of instances, retries.  */
#include "route/route.h"
#include "route/slots.h"

/* --- Membership --------------------------------------------------
   Determines from heartbeats which hosts are alive.  */
#include "member/members.h"

/* --- Life cycle of a gang ----------------------------------------
   Leases all workers of a gang, records the placement and starts all tasks; if
   one step fails, undoes all of them.  */
#include "lease/gang.h"

/* --- Client of an append-only log --------------------------------
   Appends in groups and follows new records, on a libev loop.  */
#include "log/log_client.h"

#endif
