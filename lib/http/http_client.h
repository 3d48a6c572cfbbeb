/* HTTP client of the daemon, the command-line tool and the tests: libcurl's
   multi interface driven by a libev loop.  Prefix: hc_.  */

#ifndef FT_HTTP_CLIENT_H
#define FT_HTTP_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Errors of this layer.  */
enum hc_error
{
  HC_OK = 0,
  HC_ERR_MEMORY = -1,
  HC_ERR_CONNECT = -2,   /* no connection: no byte has been sent */
  HC_ERR_TIMEOUT = -3,   /* no whole answer in time */
  HC_ERR_BROKEN = -4,    /* the connection ended before the whole answer */
  HC_ERR_TOO_LARGE = -5, /* the answer is larger than the limit */
  HC_ERR_REQUEST = -6,   /* the URL or a header is not valid */
};

struct hc_client;
struct hc_call;

struct hc_response
{
  int error;        /* HC_OK or an hc_error */
  bool maybe_sent;  /* false: the other end has seen nothing of the request */
  long status;      /* HTTP status, 0 without an answer */
  const char *body; /* zero byte after the last one, never NULL */
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
  uint32_t timeout_ms; /* for the whole call */
  uint32_t connect_timeout_ms;
  size_t response_limit_bytes;
  hc_callback callback;
  void *ctx;
};

struct hc_params
{
  struct ev_loop *loop;
  uint32_t host_connection_limit; /* connections to one address; 0: no limit */
  uint32_t idle_connection_limit; /* connections kept open for later calls */
};

/*! hc_create () :
 *  @return : HC_OK with *out set, owned by the caller; or an hc_error. */
int hc_create (struct hc_client **out, const struct hc_params *params);

/*! hc_free () :
 *  Cancels all calls; no callback is called. */
void hc_free (struct hc_client *client);

/*! hc_send () :
 *  Starts a call.  The callback is never called before hc_send () returns.
 *  @out : may be NULL; else set to the call, valid until its callback.
 *  @return : HC_OK, or an hc_error (then the callback is not called). */
int hc_send (struct hc_client *client, const struct hc_request *request,
             struct hc_call **out);

/*! hc_cancel () :
 *  Ends a call without its callback. */
void hc_cancel (struct hc_call *call);

/*! hc_response_header () :
 *  @return : the header's value, valid during the callback; NULL if absent. */
const char *hc_response_header (const struct hc_response *response,
                                const char *name);

/*! hc_strerror () :
 *  @return : a short text for an hc_error. */
const char *hc_strerror (int error);

#endif
