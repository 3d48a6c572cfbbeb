/* The calls to a worker over HTTP.  Prefix: wc_.  */

#ifndef FT_WORKER_CALLS_H
#define FT_WORKER_CALLS_H

#include "http/http_server.h"
#include "worker.h"

struct wc_calls;

struct wc_calls *wc_create (struct ev_loop *loop, struct wk_worker *worker);

/*! wc_free () :
 *  Drops the calls that are not answered yet.  Accepts NULL. */
void wc_free (struct wc_calls *calls);

void wc_handle (struct wc_calls *calls, struct hs_request *request);

/*! wc_drop_all () :
 *  Drops the calls that are not answered yet. */
void wc_drop_all (struct wc_calls *calls);

/*! wc_worker () :
 *  @return : the worker that is called. */
struct wk_worker *wc_worker (const struct wc_calls *calls);

#endif
