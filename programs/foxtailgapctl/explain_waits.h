/* What a job waited for, by the planner's lines of it.  Prefix: ew_.  */

#ifndef FT_EXPLAIN_WAITS_H
#define FT_EXPLAIN_WAITS_H

#include <glib.h>
#include <stdint.h>

#include "log_file.h"

/* A reason, and for how long it held over all steps of the job.  */
struct ex_wait
{
  char *why; /* the log field "why" */
  int64_t time_ms;
  char *detail; /* of the last line with it */
};

/* State of the scan over the lines of a job.  */
struct ew_waits
{
  GPtrArray *reasons; /* struct ex_wait */
  GHashTable *stands; /* OCCURRENCE.STEP -> struct stand */
};

/*! ew_create (), ew_free () :
 *  ew_free () accepts NULL. */
struct ew_waits *ew_create (void);
void ew_free (struct ew_waits *waits);

/*! ew_add_line () :
 *  LINE says that a step waits; its lines come in the order of time. */
void ew_add_line (struct ew_waits *waits, const struct lf_line *line);

/*! ew_step_placed () :
 *  LINE says that tasks of a step are placed. */
void ew_step_placed (struct ew_waits *waits, const struct lf_line *line);

/*! ew_finish () :
 *  @end_ms : of the last line of the job, or of its end.
 *  @return : struct ex_wait, the longest first; to be freed by
 *            g_ptr_array_free (). */
GPtrArray *ew_finish (struct ew_waits *waits, int64_t end_ms);

/*! ew_meaning () :
 *  @return : a constant clause for people. */
const char *ew_meaning (const char *why);

#endif
