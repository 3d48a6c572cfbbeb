/* Requests that are answered later, or never.  Prefix: da_.  */

#ifndef FT_DELAYED_ANSWER_H
#define FT_DELAYED_ANSWER_H

#include <ev.h>
#include <jansson.h>
#include <stdint.h>

#include "http/http_server.h"

struct da_queue;

struct da_queue *da_create (struct ev_loop *loop);

/*! da_free () :
 *  Drops all requests.  To be called before the server is freed. */
void da_free (struct da_queue *queue);

/*! da_respond () :
 *  Answers with a JSON value, whose reference is taken, after a delay. */
void da_respond (struct da_queue *queue, uint32_t delay_ms,
                 struct hs_request *request, unsigned int status,
                 json_t *value);

/*! da_hold () :
 *  Keeps the request without an answer; its connection is closed after a
 *  minute, or by da_drop_all (). */
void da_hold (struct da_queue *queue, struct hs_request *request);

/*! da_drop_all () :
 *  Closes the connections of all requests without an answer. */
void da_drop_all (struct da_queue *queue);

#endif
