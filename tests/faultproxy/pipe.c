/* One direction of a proxied connection.  */

#include "pipe.h"

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_SIZE_BYTES = 64 * 1024,
  QUEUE_LIMIT_BYTES = 4 * 1024 * 1024,
  MS_PER_S = 1000
};

/* Bytes that were read together; size 0: the end of the sender's stream.  */
struct chunk
{
  ev_tstamp due_s; /* time from which the chunk may be forwarded */
  size_t size_bytes;
  size_t written_bytes;
  char data[];
};

struct pi_pipe
{
  struct pi_params params;
  ev_io readable;
  ev_io writable;
  ev_timer due_timer;
  GQueue chunks; /* oldest first */
  size_t queued_bytes;
  uint64_t forwarded_bytes;
  bool end_received;
  bool silent;
};

enum write_result
{
  WRITE_DONE,
  WRITE_LATER, /* the socket accepts no bytes now */
  WRITE_FAILED
};

static enum write_result
write_chunk (const struct pi_pipe *pipe, struct chunk *chunk)
{
  ssize_t written;

  if (chunk->size_bytes == 0)
    {
      shutdown (pipe->params.to_fd, SHUT_WR);
      return WRITE_DONE;
    }
  while (chunk->written_bytes < chunk->size_bytes)
    {
      written = send (pipe->params.to_fd, chunk->data + chunk->written_bytes,
                      chunk->size_bytes - chunk->written_bytes, MSG_NOSIGNAL);
      if (written >= 0)
        chunk->written_bytes += (size_t)written;
      else if (errno == EAGAIN || errno == ENOTCONN)
        return WRITE_LATER;
      else if (errno != EINTR)
        return WRITE_FAILED;
    }
  return WRITE_DONE;
}

static void
wait_until_due (struct pi_pipe *pipe, const struct chunk *chunk)
{
  ev_timer_stop (pipe->params.loop, &pipe->due_timer);
  ev_timer_set (&pipe->due_timer, chunk->due_s - ev_now (pipe->params.loop),
                0.0);
  ev_timer_start (pipe->params.loop, &pipe->due_timer);
}

static void
update_reading (struct pi_pipe *pipe)
{
  if (pipe->end_received || pipe->silent
      || pipe->queued_bytes >= QUEUE_LIMIT_BYTES)
    ev_io_stop (pipe->params.loop, &pipe->readable);
  else
    ev_io_start (pipe->params.loop, &pipe->readable);
}

/* Forwards the chunks that are due.  The callbacks may free the pipe, which
   must not be used after the call.  */
static void
forward_due_chunks (struct pi_pipe *pipe)
{
  struct chunk *chunk = g_queue_peek_head (&pipe->chunks);
  enum write_result result;

  ev_io_stop (pipe->params.loop, &pipe->writable);
  while (chunk != NULL && !pipe->params.frozen && !pipe->silent)
    {
      if (chunk->due_s > ev_now (pipe->params.loop))
        {
          wait_until_due (pipe, chunk);
          break;
        }
      result = write_chunk (pipe, chunk);
      if (result == WRITE_FAILED)
        {
          pipe->params.on_broken (pipe->params.ctx);
          return;
        }
      if (result == WRITE_LATER)
        {
          ev_io_start (pipe->params.loop, &pipe->writable);
          break;
        }
      g_queue_pop_head (&pipe->chunks);
      pipe->queued_bytes -= chunk->size_bytes;
      pipe->forwarded_bytes += chunk->size_bytes;
      if (chunk->size_bytes == 0)
        {
          g_free (chunk);
          pipe->params.on_ended (pipe->params.ctx);
          return;
        }
      g_free (chunk);
      chunk = g_queue_peek_head (&pipe->chunks);
    }
  update_reading (pipe);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  forward_due_chunks (watcher->data);
}

static void
on_due (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  forward_due_chunks (watcher->data);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct pi_pipe *pipe = watcher->data;
  struct chunk *chunk = g_malloc (sizeof *chunk + READ_SIZE_BYTES);
  ssize_t size_bytes
      = recv (pipe->params.from_fd, chunk->data, READ_SIZE_BYTES, 0);

  (void)events;
  if (size_bytes < 0)
    {
      g_free (chunk);
      if (errno != EAGAIN && errno != EINTR)
        pipe->params.on_broken (pipe->params.ctx);
      return;
    }
  chunk = g_realloc (chunk, sizeof *chunk + (size_t)size_bytes);
  chunk->size_bytes = (size_t)size_bytes;
  chunk->written_bytes = 0;
  chunk->due_s = ev_now (loop) + (ev_tstamp)pipe->params.delay_ms / MS_PER_S;
  g_queue_push_tail (&pipe->chunks, chunk);
  pipe->queued_bytes += (size_t)size_bytes;
  pipe->end_received = size_bytes == 0;
  if (size_bytes > 0 && !pipe->params.on_received (pipe->params.ctx))
    return;
  forward_due_chunks (pipe);
}

struct pi_pipe *
pi_create (const struct pi_params *params)
{
  struct pi_pipe *pipe = g_new0 (struct pi_pipe, 1);

  pipe->params = *params;
  g_queue_init (&pipe->chunks);
  ev_io_init (&pipe->readable, on_readable, params->from_fd, EV_READ);
  pipe->readable.data = pipe;
  ev_io_init (&pipe->writable, on_writable, params->to_fd, EV_WRITE);
  pipe->writable.data = pipe;
  ev_init (&pipe->due_timer, on_due);
  pipe->due_timer.data = pipe;
  update_reading (pipe);
  return pipe;
}

static void
stop_watchers (struct pi_pipe *pipe)
{
  ev_io_stop (pipe->params.loop, &pipe->readable);
  ev_io_stop (pipe->params.loop, &pipe->writable);
  ev_timer_stop (pipe->params.loop, &pipe->due_timer);
}

void
pi_free (struct pi_pipe *pipe)
{
  stop_watchers (pipe);
  g_queue_clear_full (&pipe->chunks, g_free);
  g_free (pipe);
}

void
pi_set_delay (struct pi_pipe *pipe, uint32_t delay_ms)
{
  pipe->params.delay_ms = delay_ms;
}

void
pi_set_frozen (struct pi_pipe *pipe, bool frozen)
{
  pipe->params.frozen = frozen;
  forward_due_chunks (pipe);
}

void
pi_silence (struct pi_pipe *pipe)
{
  pipe->silent = true;
  stop_watchers (pipe);
}

uint64_t
pi_forwarded_bytes (const struct pi_pipe *pipe)
{
  return pipe->forwarded_bytes;
}
