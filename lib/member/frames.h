/* Frames of at most FM_FRAME_LIMIT_BYTES over one TCP connection between entry
   hosts.  A frame is 4 bytes of length in network order, then that number of
   bytes.  Prefix: fm_. */

#ifndef FT_FRAMES_H
#define FT_FRAMES_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  FM_FRAME_LIMIT_BYTES = 4 * 1024 * 1024,  /* of one frame */
  FM_OUTPUT_LIMIT_BYTES = 32 * 1024 * 1024 /* unsent, of one connection */
};

enum fm_error
{
  FM_OK = 0,
  FM_ERR_ADDRESS = -1,     /* not an IPv4 address */
  FM_ERR_SOCKET = -2,      /* a socket call failed */
  FM_ERR_TOO_LARGE = -3,   /* the frame exceeds FM_FRAME_LIMIT_BYTES */
  FM_ERR_OUTPUT_FULL = -4, /* the unsent output would exceed its limit: the
                        peer reads too slowly */
};

struct fm_connection;

struct fm_callbacks
{
  /* One complete frame was received; DATA is valid during the call.  */
  void (*frame) (void *ctx, struct fm_connection *connection,
                 const uint8_t *data, size_t size_bytes);
  /* The connection has ended, or a received frame was too large.  The owner
     must call fm_free ().  */
  void (*closed) (void *ctx, struct fm_connection *connection);
  void *ctx;
};

/*! fm_adopt_socket () :
 *  Takes ownership of a non-blocking socket, connected or connecting.
 *  @return : the connection, to be freed by fm_free (). */
struct fm_connection *fm_adopt_socket (struct ev_loop *loop, int fd,
                                       const struct fm_callbacks *callbacks);

/*! fm_connect () :
 *  Starts to connect.  A later failure is reported by the closed callback,
 *  never before fm_connect () returns.
 *  @return : FM_OK with *out set, to be freed by fm_free (); or an
 *            fm_error. */
int fm_connect (struct fm_connection **out, struct ev_loop *loop,
                const char *address, uint16_t port,
                const struct fm_callbacks *callbacks);

/*! fm_send () :
 *  Queues one frame; DATA is copied.
 *  @return : FM_OK or an fm_error. */
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
 *  @return : a non-blocking listening socket, or an fm_error.
 *  @port : in: the port to listen on, 0 for any; out: the actual port. */
int fm_listen (const char *address, uint16_t *port);

#endif
