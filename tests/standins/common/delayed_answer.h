/* Requests that are answered after a delay, or never.  Prefix: da_.  */

#ifndef FT_DELAYED_ANSWER_H
#define FT_DELAYED_ANSWER_H

#include <ev.h>
#include <jansson.h>
#include <stdint.h>

#include "http/http_server.h"

struct da_queue;

struct da_queue *da_create (struct ev_loop *loop);

/*! da_free () :
 *  Drops all requests.  To be called before the server is freed.  Accepts
 *  NULL. */
void da_free (struct da_queue *queue);

/*! da_respond () :
 *  Answers with a JSON value after a delay; at once if the delay is 0.
 *  @value : the reference is taken. */
void da_respond (struct da_queue *queue, uint32_t delay_ms,
                 struct hs_request *request, unsigned int status,
                 json_t *value);

/*! da_keep_unanswered () :
 *  Leaves the request without an answer.  Its connection is closed after
 *  60 seconds, or earlier by da_drop_all (). */
void da_keep_unanswered (struct da_queue *queue, struct hs_request *request);

/*! da_drop_all () :
 *  Closes the connections of all requests that are not answered yet, also of
 *  those whose delay is not over. */
void da_drop_all (struct da_queue *queue);

#endif
