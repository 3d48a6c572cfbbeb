/* One job: its path, waiting for its end, printing it.  Prefix: jv_.  */

#ifndef FT_JOB_VIEW_H
#define FT_JOB_VIEW_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "api.h"

/*! jv_path () :
 *  @return : PREFIX and the escaped id, to be freed by g_free (). */
char *jv_path (const char *prefix, const char *id);

/*! jv_show () :
 *  Prints a job, after its end if WAIT_LIMIT_MS is not 0.
 *  @return : the exit code; of a job that has ended if waited for. */
int jv_show (struct api *api, const char *id, uint64_t wait_limit_ms,
             bool json);

#endif
