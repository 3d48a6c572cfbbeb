/* HTTP server of the daemon and of the stand-ins: libmicrohttpd driven by a
   libev loop.  The handler sees whole requests only; it may answer at once or
   later.  Prefix: hs_.  */

#ifndef FT_HTTP_SERVER_H
#define FT_HTTP_SERVER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Errors of this layer.  */
enum hs_error
{
  HS_OK = 0,
  HS_ERR_MEMORY = -1,
  HS_ERR_ADDRESS = -2, /* the address is not an IP number */
  HS_ERR_LISTEN = -3,  /* the port cannot be listened on */
};

struct hs_server;
struct hs_request;

/* Called once for each whole request.  The request stays valid until it has
   been answered by hs_respond ().  */
typedef void (*hs_handler) (void *ctx, struct hs_request *request);

/* Called when the caller's connection ends before hs_respond () was called.
   The request must not be used any more afterwards.  */
typedef void (*hs_gone_handler) (void *ctx);

struct hs_header
{
  const char *name;
  const char *value;
};

struct hs_params
{
  struct ev_loop *loop;
  const char *address;         /* IP number to listen on */
  uint16_t port;               /* 0: any free port, see hs_port () */
  uint32_t connection_limit;   /* connections at once */
  uint64_t body_limit_bytes;   /* a larger body is answered with 413 */
  uint32_t receive_timeout_ms; /* time for a caller to send a request */
  hs_handler handler;
  void *ctx;
};

/*! hs_create () :
 *  Listens and serves on params->loop until hs_free ().
 *  @return : HS_OK with *out set, owned by the caller; or an hs_error. */
int hs_create (struct hs_server **out, const struct hs_params *params);

/*! hs_port () :
 *  @return : the TCP port that is listened on. */
uint16_t hs_port (const struct hs_server *server);

/*! hs_stop_accepting () :
 *  Closes the listening socket.  Requests in progress go on, and their
 *  connections are closed after the answer. */
void hs_stop_accepting (struct hs_server *server);

/*! hs_open_requests () :
 *  @return : requests that are being received or answered. */
uint32_t hs_open_requests (const struct hs_server *server);

/*! hs_free () :
 *  Ends all connections.  A gone handler is called for each request that was
 *  not answered. */
void hs_free (struct hs_server *server);

/*! hs_method (), hs_path (), hs_header (), hs_query (), hs_body () :
 *  Parts of a request, owned by the request.  hs_header () ignores case;
 *  hs_header () and hs_query () return NULL for what is absent.  The body is
 *  followed by a zero byte that is not counted in *size_bytes. */
const char *hs_method (const struct hs_request *request);
const char *hs_path (const struct hs_request *request);
const char *hs_header (const struct hs_request *request, const char *name);
const char *hs_query (const struct hs_request *request, const char *name);
const char *hs_body (const struct hs_request *request, size_t *size_bytes);

/*! hs_on_gone () :
 *  Sets what is called when the caller leaves before the answer. */
void hs_on_gone (struct hs_request *request, hs_gone_handler handler,
                 void *ctx);

/*! hs_respond () :
 *  Answers a request; headers and body are copied.  The request must not be
 *  used afterwards. */
void hs_respond (struct hs_request *request, unsigned int status,
                 const struct hs_header *headers, size_t header_count,
                 const void *body, size_t body_size_bytes);

/*! hs_drop () :
 *  Closes the caller's connection without an answer. */
void hs_drop (struct hs_request *request);

#endif
