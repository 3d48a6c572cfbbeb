/* The calls to a worker over HTTP.  Prefix: wc_.  */

#ifndef FT_WORKER_CALLS_H
#define FT_WORKER_CALLS_H

#include "http/http_server.h"
#include "worker.h"

struct wc_calls;

/*! wc_create () :
 *  @worker : borrowed; must outlive the calls.
 *  @return : to be freed by wc_free (). */
struct wc_calls *wc_create (struct ev_loop *loop, struct wk_worker *worker);

/*! wc_free () :
 *  Closes the connections of unanswered calls.  Accepts NULL. */
void wc_free (struct wc_calls *calls);

/*! wc_handle () :
 *  Answers a request to the worker, at once or later. */
void wc_handle (struct wc_calls *calls, struct hs_request *request);

/*! wc_drop_all () :
 *  Closes the connections of calls that are not answered yet. */
void wc_drop_all (struct wc_calls *calls);

/*! wc_worker () :
 *  @return : the worker that was given to wc_create (). */
struct wk_worker *wc_worker (const struct wc_calls *calls);

#endif
