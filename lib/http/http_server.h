/* HTTP server of the daemon, and of the stand-ins for platform services
   in tests: libmicrohttpd driven by a
   libev loop.  The handler is called once a request has been received
   completely.  It may respond before it returns or later.

   With a budget, what callers hold is bounded for all servers that share it:
   the library's buffers of each connection, bodies, and answers that have not
   been read.  When it is over its limit, connections are closed as hb_choose
   () says; such a request has not been passed to the handler, or its answer
   was not read.  A longer body may be answered with 503 and Retry-After before
   it is received.  When only the spare ones of connection_limit
   are left, connections are closed in the same way.  Prefix: hs_.  */

#ifndef FT_HTTP_SERVER_H
#define FT_HTTP_SERVER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http/http_budget.h"

/* Result of hs_create ().  */
enum hs_error
{
  HS_OK = 0,
  HS_ERR_MEMORY = -1,
  HS_ERR_ADDRESS = -2, /* not a numeric IPv4 address */
  HS_ERR_LISTEN = -3,  /* cannot listen on the address and port */
};

struct hs_server;
struct hs_request;

/* Called once for each completely received request.  The request stays valid
   until hs_respond () or hs_close_without_response () is called, or the caller
   disconnects (see hs_on_disconnect ()).  */
typedef void (*hs_handler) (void *ctx, struct hs_request *request);

/* Called when the caller's connection closes before hs_respond () was called.
   The request must not be used afterwards.  */
typedef void (*hs_disconnect_handler) (void *ctx);

/* Called when a request's headers have been received, and a body follows.  The
   request must not be responded to.  Returns whether the handler will need the
   body; otherwise it is read, but not kept: see hs_body_left_out ().  */
typedef bool (*hs_body_needed) (void *ctx, struct hs_request *request);

/* Why a connection was closed, or a request refused, without the handler.  */
enum hs_shed
{
  HS_SHED_MEMORY,      /* closed: the budget was over its limit */
  HS_SHED_CONNECTIONS, /* closed: nearly connection_limit were open */
  HS_SHED_EARLY,       /* answered with 503 before its body */
  HS_SHED_ENDLESS,     /* closed: it sent far more than body_limit_bytes */
  HS_SHED_UNREAD,      /* closed: it did not read its answer */
  HS_SHED_COUNT
};

/* Told of each one; must not use the server.  */
typedef void (*hs_shed_handler) (void *ctx, enum hs_shed why);

struct hs_header
{
  const char *name;
  const char *value;
};

struct hs_params
{
  struct ev_loop *loop;
  const char *address;         /* numeric IPv4 address to listen on */
  uint16_t port;               /* 0: any free port, see hs_port () */
  uint32_t connection_limit;   /* open at the same time */
  uint64_t body_limit_bytes;   /* a larger body gets status 413 */
  uint32_t receive_timeout_ms; /* to receive a complete request; an idle
                                  connection stays open longer */
  hs_handler handler;
  void *ctx;
  struct hb_budget *budget;   /* must outlive the server; NULL: none */
  hs_body_needed body_needed; /* NULL: always */
  hs_shed_handler on_shed;    /* NULL: none */
};

/*! hs_create () :
 *  Listens and serves on params->loop until hs_free ().
 *  @return : HS_OK with *out set, owned by the caller; or an hs_error. */
int hs_create (struct hs_server **out, const struct hs_params *params);

/*! hs_port () :
 *  @return : the TCP port that the server listens on; 0 if it is unknown. */
uint16_t hs_port (const struct hs_server *server);

/*! hs_stop_accepting () :
 *  Closes the listening socket.  Requests in progress are completed, and
 *  their connections are closed after the response. */
void hs_stop_accepting (struct hs_server *server);

/*! hs_open_requests () :
 *  @return : number of requests that are being received or processed. */
uint32_t hs_open_requests (const struct hs_server *server);

/*! hs_free () :
 *  Closes all connections and frees the server.  Calls the handler set by
 *  hs_on_disconnect () for each request without a response.  Accepts NULL. */
void hs_free (struct hs_server *server);

/*! hs_method (), hs_path (), hs_header (), hs_query (), hs_body () :
 *  Parts of a request, owned by the request.  Header names are compared
 *  without regard to case; hs_header () and hs_query () return NULL if the
 *  header or query argument is absent.  The body is followed by a zero byte
 *  that is not counted in *size_bytes. */
const char *hs_method (const struct hs_request *request);
const char *hs_path (const struct hs_request *request);
const char *hs_header (const struct hs_request *request, const char *name);
const char *hs_query (const struct hs_request *request, const char *name);
const char *hs_body (const struct hs_request *request, size_t *size_bytes);

/*! hs_body_left_out () :
 *  @return : whether a body has been received and was not kept, since
 *            body_needed () said so. */
bool hs_body_left_out (const struct hs_request *request);

/*! hs_on_disconnect () :
 *  Sets the handler to call if the caller disconnects before the response.
 *  @handler : replaces the earlier one; NULL: none. */
void hs_on_disconnect (struct hs_request *request,
                       hs_disconnect_handler handler, void *ctx);

/*! hs_respond () :
 *  Sends the response; headers and body are copied.  The request must not be
 *  used afterwards. */
void hs_respond (struct hs_request *request, unsigned int status,
                 const struct hs_header *headers, size_t header_count,
                 const void *body, size_t body_size_bytes);

/*! hs_close_without_response () :
 *  Closes the caller's connection without a response.  The request must not
 *  be used afterwards. */
void hs_close_without_response (struct hs_request *request);

#endif
