/* Reads and prints one job, now or after waiting for its end.
   Prefix: jv_.  */

#ifndef FT_JOB_VIEW_H
#define FT_JOB_VIEW_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "api.h"

/*! jv_path () :
 *  @return : PREFIX followed by the percent-encoded id, to be freed by
 *            g_free (). */
char *jv_path (const char *prefix, const char *id);

/*! jv_show () :
 *  Prints the current state of a job.
 *  @return : the exit code. */
int jv_show (struct api *api, const char *id, bool json);

/*! jv_wait () :
 *  Waits until a job has ended, then prints it.  Entry hosts may be
 *  unreachable for some of that time.
 *  @accepted : the job is known to have been accepted, so that a host that
 *              does not know it leaves its outcome unknown.
 *  @return : the exit code for the job's final state; CTL_OUTCOME_UNKNOWN if
 *            its end was not seen within LIMIT_MS. */
int jv_wait (struct api *api, const char *id, uint64_t limit_ms, bool accepted,
             bool json);

#endif
