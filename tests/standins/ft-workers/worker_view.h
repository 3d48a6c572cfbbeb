/* What answers of a worker show.  Prefix: wv_.  All results are owned by the
   caller.  */

#ifndef FT_WORKER_VIEW_H
#define FT_WORKER_VIEW_H

#include <jansson.h>

#include "worker.h"

/*! wv_leases () :
 *  @return : [["JOB",ATTEMPT],...]. */
json_t *wv_leases (const struct wk_worker *worker);

/*! wv_usage () :
 *  @return : the usage of running tasks, as it was a lag ago. */
json_t *wv_usage (const struct wk_worker *worker);

/*! wv_state () :
 *  @return : the whole state, for tests. */
json_t *wv_state (struct wk_worker *worker);

#endif
