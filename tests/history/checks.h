/* The checks of a recorded test run.  Prefix: ch_.

   A history holds the events that the stand-ins and the callers of a test run
   recorded.  Each check reads a whole history, sorted by time, and adds the
   violations that it finds to a report.  */

#ifndef FT_CHECKS_H
#define FT_CHECKS_H

#include <stdint.h>

#include "events.h"
#include "report.h"

/*! ch_check_requests () :
 *  Checks requests to upstreams: a non-repeatable request ran at most once; a
 *  request that was reported to its caller as not run did not run; each answer
 *  that a caller received was given by an upstream to that request. */
void ch_check_requests (const struct hi_history *history,
                        struct re_report *report);

/*! ch_check_jobs () :
 *  Checks jobs: part of a gang runs without the rest for at most BOUND_MS, a
 *  tolerance because the tasks of a gang do not start and end at the same
 *  moment; a non-repeatable job is
 *  started in at most one attempt; a job that was reported as not run was not
 *  started; a job that was reported as finished has an attempt of which every
 *  task succeeded, with the outputs that were reported.
 *  @bound_ms : longest time in which part of a gang may run, in
 *  milliseconds. */
void ch_check_jobs (const struct hi_history *history, struct re_report *report,
                    uint32_t bound_ms);

/*! ch_check_leases () :
 *  Checks that at most one task at a time has a lease on an accelerator of a
 *  worker. */
void ch_check_leases (const struct hi_history *history,
                      struct re_report *report);

/*! ch_check_leaving_upstreams () :
 *  Checks that an upstream runs no new request once the host list has shown
 *  it as leaving or removed for more than BOUND_MS.
 *  @bound_ms : time in which new requests are still allowed, in
 *  milliseconds. */
void ch_check_leaving_upstreams (const struct hi_history *history,
                                 struct re_report *report, uint32_t bound_ms);

#endif
