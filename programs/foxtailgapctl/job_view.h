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
 *  Prints a job as it is now.
 *  @return : the exit code. */
int jv_show (struct api *api, const char *id, bool json);

/*! jv_wait () :
 *  Prints a job after its end; entry hosts may come and go meanwhile.
 *  @accepted : the job is known to have been submitted.
 *  @return : the exit code of the job's end. */
int jv_wait (struct api *api, const char *id, uint64_t limit_ms, bool accepted,
             bool json);

#endif
