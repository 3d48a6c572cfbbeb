/* The checks of a history.  Prefix: ch_.  Each judges the whole history and
   reports its violations.  */

#ifndef FT_CHECKS_H
#define FT_CHECKS_H

#include <stdint.h>

#include "events.h"
#include "report.h"

/*! ch_requests () :
 *  Non-repeatable requests ran at most once; what was told not to have run
 *  did not run; each answer was given by an upstream to that request. */
void ch_requests (const struct hi_history *history, struct re_report *report);

/*! ch_jobs () :
 *  Gangs run whole or not at all, but for BOUND_MS at their start and end; a
 *  non-repeatable job is started in one attempt at most; what was told not to
 *  have run was not started; a job that was told to have finished has an
 *  attempt of which every task ended well, with the outputs that were told. */
void ch_jobs (const struct hi_history *history, struct re_report *report,
              uint32_t bound_ms);

/*! ch_leases () :
 *  An accelerator of a worker is held by one lease at a time. */
void ch_leases (const struct hi_history *history, struct re_report *report);

/*! ch_leaving () :
 *  An upstream that the list has shown as leaving, or removed, for BOUND_MS
 *  runs nothing new. */
void ch_leaving (const struct hi_history *history, struct re_report *report,
                 uint32_t bound_ms);

#endif
