/* HTTP client of the daemon, the command-line tool and the tests: libcurl's
   multi interface driven by a libev loop.  When a call on a reused connection
   has no response in time, connections to that server that were idle since
   before the call are not used any more.  Prefix: hc_.  */

#ifndef FT_HTTP_CLIENT_H
#define FT_HTTP_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/loop_load.h"

/* Result of hc_create () and hc_send (), and of a finished call.  */
enum hc_error
{
  HC_OK = 0,
  HC_ERR_MEMORY = -1,
  HC_ERR_CONNECT = -2,         /* not connected; nothing of the request sent */
  HC_ERR_TIMEOUT = -3,         /* no complete response within timeout_ms */
  HC_ERR_CONNECTION_LOST = -4, /* connection closed during the response */
  HC_ERR_TOO_LARGE = -5,       /* body above response_limit_bytes */
  HC_ERR_REQUEST = -6,         /* the URL is malformed or not HTTP(S) */
  HC_ERR_LATE = -7,            /* not sent, for send_within_ms had passed */
};

struct hc_client;
struct hc_call;

struct hc_response
{
  int error;       /* HC_OK or an hc_error */
  bool maybe_sent; /* false: no byte of the request has reached the server */
  /* It was sent on a connection of earlier calls, so that without a response
     the connection may be at fault instead of the server.  */
  bool reused_connection;
  long status;      /* HTTP status; 0 if no response arrived */
  const char *body; /* followed by a zero byte; never NULL */
  size_t body_size_bytes;
  const struct hc_call *call; /* for hc_response_header () */
};

/* Called exactly once for each call that was not cancelled.  The response is
   valid during the callback only.  */
typedef void (*hc_callback) (void *ctx, const struct hc_response *response);

struct hc_request
{
  const char *method;
  const char *url;
  const char *const *headers; /* "Name: value", NULL at the end; or NULL */
  const void *body;           /* copied */
  size_t body_size_bytes;
  /* The request may reach the server twice, if a reused connection closes
     without a response.  */
  bool repeatable;
  /* The request is not sent later than this after hc_send (), for instance if
     it has waited for a connection; 0: whenever there is one.  Only of a
     request that has a body and is not repeatable.  */
  uint32_t send_within_ms;
  uint32_t timeout_ms; /* from connecting to the complete response */
  uint32_t connect_timeout_ms;
  size_t response_limit_bytes; /* of the body */
  hc_callback callback;
  void *ctx;
};

struct hc_params
{
  struct ev_loop *loop;
  uint32_t host_connection_limit; /* open at once per server; 0: no limit */
  uint32_t idle_connection_limit; /* kept for reuse; 0: libcurl's default */
  enum ll_part load_part;         /* what the work on its events counts for */
};

/*! hc_create () :
 *  @return : HC_OK with *out set, owned by the caller; or an hc_error. */
int hc_create (struct hc_client **out, const struct hc_params *params);

/*! hc_free () :
 *  Cancels all calls without calling their callbacks.  Accepts NULL. */
void hc_free (struct hc_client *client);

/*! hc_send () :
 *  Starts a call.  The callback is never called before hc_send () returns.
 *  @out : may be NULL; else set to the call, valid until its callback.
 *  @return : HC_OK, or an hc_error (then the callback is not called). */
int hc_send (struct hc_client *client, const struct hc_request *request,
             struct hc_call **out);

/*! hc_cancel () :
 *  Aborts a call and frees it; its callback is not called. */
void hc_cancel (struct hc_call *call);

/*! hc_response_header () :
 *  @return : the header's value, valid during the callback; NULL if absent. */
const char *hc_response_header (const struct hc_response *response,
                                const char *name);

/*! hc_strerror () :
 *  @return : a short text for an hc_error. */
const char *hc_strerror (int error);

#endif
