/* Frames of at most FM_LIMIT_BYTES over one TCP connection between entry
   hosts: 4 bytes of length in network order, then the bytes.  Prefix: fm_. */

#ifndef FT_FRAMES_H
#define FT_FRAMES_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  FM_LIMIT_BYTES = 4 * 1024 * 1024,
  FM_OUTPUT_LIMIT_BYTES = 32 * 1024 * 1024
};

enum fm_error
{
  FM_OK = 0,
  FM_ERR_ADDRESS = -1, /* not an IP number */
  FM_ERR_SOCKET = -2,
  FM_ERR_TOO_LARGE = -3,
  FM_ERR_FULL = -4, /* the other end does not read */
};

struct fm_connection;

struct fm_callbacks
{
  /* One whole frame; DATA is valid during the call.  */
  void (*frame) (void *ctx, struct fm_connection *connection,
                 const uint8_t *data, size_t size_bytes);
  /* The connection has ended, or a frame was too large.  It must be freed by
     fm_free ().  */
  void (*closed) (void *ctx, struct fm_connection *connection);
  void *ctx;
};

/*! fm_accepted () :
 *  Takes over a connected socket. */
struct fm_connection *fm_accepted (struct ev_loop *loop, int fd,
                                   const struct fm_callbacks *callbacks);

/*! fm_connect () :
 *  Starts to connect.  Failure is told by the closed callback, never before
 *  fm_connect () returns. */
int fm_connect (struct fm_connection **out, struct ev_loop *loop,
                const char *address, uint16_t port,
                const struct fm_callbacks *callbacks);

/*! fm_send () :
 *  Queues one frame. */
int fm_send (struct fm_connection *connection, const uint8_t *data,
             size_t size_bytes);

/*! fm_set_ctx () :
 *  Changes the context of the callbacks. */
void fm_set_ctx (struct fm_connection *connection, void *ctx);

/*! fm_free () :
 *  Closes the connection without a callback.  Accepts NULL; must not be
 *  called from the frame callback. */
void fm_free (struct fm_connection *connection);

/*! fm_listen () :
 *  @return : a listening socket that does not block, or an fm_error.
 *  @port : in: wanted, 0 for any; out: the one listened on. */
int fm_listen (const char *address, uint16_t *port);

#endif
