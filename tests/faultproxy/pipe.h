/* One direction of a proxied connection: bytes are read from one socket and
   written to another, late or not at all if so told.  Prefix: pi_.  */

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
  bool frozen;
  /* Bytes have arrived, and are not forwarded yet.
     Returns false if the pipe has been freed.  */
  bool (*received) (void *ctx);
  /* The sender's end has been forwarded.  The pipe may be freed.  */
  void (*ended) (void *ctx);
  /* One of the sockets is broken.  The pipe may be freed.  */
  void (*broken) (void *ctx);
  void *ctx;
};

struct pi_pipe *pi_create (const struct pi_params *params);

/*! pi_free () :
 *  Forgets what is not forwarded yet; leaves the sockets open. */
void pi_free (struct pi_pipe *pipe);

/*! pi_set_delay () :
 *  For bytes that arrive from now on. */
void pi_set_delay (struct pi_pipe *pipe, uint32_t delay_ms);

/*! pi_freeze () :
 *  While frozen, nothing is forwarded; nothing is lost. */
void pi_freeze (struct pi_pipe *pipe, bool frozen);

/*! pi_silence () :
 *  Nothing is read or forwarded any more. */
void pi_silence (struct pi_pipe *pipe);

/*! pi_bytes () :
 *  @return : bytes that have been forwarded. */
uint64_t pi_bytes (const struct pi_pipe *pipe);

#endif
