/* One direction of a proxied connection: forwards bytes from one socket to
   another, with a delay or not at all on command.  Prefix: pi_.  */

#ifndef FT_PIPE_H
#define FT_PIPE_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct pi_pipe;

struct pi_params
{
  struct ev_loop *loop;
  int from_fd;
  int to_fd;
  uint32_t delay_ms;
  bool frozen; /* forwards nothing until pi_set_frozen () */
  /* Called when bytes have arrived, before they are forwarded.  Returns false
     if it has freed the pipe.  */
  bool (*on_received) (void *ctx);
  /* Called when the end of the sender's stream has been forwarded.  May free
     the pipe.  */
  void (*on_ended) (void *ctx);
  /* Called when one of the sockets has failed.  May free the pipe.  */
  void (*on_broken) (void *ctx);
  void *ctx;
};

struct pi_pipe *pi_create (const struct pi_params *params);

/*! pi_free () :
 *  Discards bytes that are not forwarded yet; leaves the sockets open. */
void pi_free (struct pi_pipe *pipe);

/*! pi_set_delay () :
 *  Sets the delay of bytes that arrive from now on. */
void pi_set_delay (struct pi_pipe *pipe, uint32_t delay_ms);

/*! pi_set_frozen () :
 *  A frozen pipe forwards nothing, but keeps what arrives and forwards it when
 *  it is no longer frozen. */
void pi_set_frozen (struct pi_pipe *pipe, bool frozen);

/*! pi_silence () :
 *  Stops reading and forwarding permanently. */
void pi_silence (struct pi_pipe *pipe);

/*! pi_forwarded_bytes () :
 *  @return : the number of bytes that have been forwarded. */
uint64_t pi_forwarded_bytes (const struct pi_pipe *pipe);

#endif
