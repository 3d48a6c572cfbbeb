/* JSON views of a worker for its answers.  Prefix: wv_.  All results are owned
   by the caller.  */

#ifndef FT_WORKER_VIEW_H
#define FT_WORKER_VIEW_H

#include <jansson.h>

#include "worker.h"

/*! wv_leases () :
 *  @return : the attempts that have a lease: [["JOB",ATTEMPT],...]. */
json_t *wv_leases (const struct wk_worker *worker);

/*! wv_usage () :
 *  @return : array of the usage of running tasks usage_lag_ms ago. */
json_t *wv_usage (const struct wk_worker *worker);

/*! wv_state () :
 *  @return : the answer to GET /state, with the whole state for tests. */
json_t *wv_state (struct wk_worker *worker);

#endif
