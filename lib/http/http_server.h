/* HTTP server of the daemon, and of the stand-ins for platform services
   in tests: libmicrohttpd driven by a
   libev loop.  The handler is called once a request has been received
   completely.  It may respond before it returns or later.  Prefix: hs_.  */

#ifndef FT_HTTP_SERVER_H
#define FT_HTTP_SERVER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

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
