/* Reading and writing of frames over one TCP connection.  */

#include "member/frames.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  HEADER_SIZE_BYTES = 4,
  READ_SIZE_BYTES = 16 * 1024,
  LISTEN_BACKLOG = 128
};

struct fm_connection
{
  struct ev_loop *loop;
  int fd;
  ev_io readable;
  ev_io writable;
  GByteArray *input;
  GByteArray *output;
  struct fm_callbacks callbacks;
};

static bool
would_block (void)
{
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

static void
close_connection (struct fm_connection *connection)
{
  ev_io_stop (connection->loop, &connection->readable);
  ev_io_stop (connection->loop, &connection->writable);
  connection->callbacks.closed (connection->callbacks.ctx, connection);
}

/* --- Reading --- */

static uint32_t
next_frame_size (const GByteArray *input)
{
  uint32_t size;

  memcpy (&size, input->data, sizeof size);
  return ntohl (size);
}

/* Delivers all complete frames of the input.  Returns false if a frame is too
   large.  */
static bool
deliver_frames (struct fm_connection *connection)
{
  GByteArray *input = connection->input;
  uint32_t size;

  while (input->len >= HEADER_SIZE_BYTES)
    {
      size = next_frame_size (input);
      if (size > FM_FRAME_LIMIT_BYTES)
        return false;
      if (input->len - HEADER_SIZE_BYTES < size)
        return true;
      connection->callbacks.frame (connection->callbacks.ctx, connection,
                                   input->data + HEADER_SIZE_BYTES, size);
      g_byte_array_remove_range (input, 0, HEADER_SIZE_BYTES + size);
    }
  return true;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct fm_connection *connection = watcher->data;
  uint8_t buffer[READ_SIZE_BYTES];
  ssize_t size = recv (connection->fd, buffer, sizeof buffer, 0);

  (void)loop;
  (void)events;
  if (size < 0 && would_block ())
    return;
  if (size <= 0)
    {
      close_connection (connection);
      return;
    }
  g_byte_array_append (connection->input, buffer, (guint)size);
  if (!deliver_frames (connection))
    close_connection (connection);
}

/* --- Writing --- */

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct fm_connection *connection = watcher->data;
  GByteArray *output = connection->output;
  ssize_t size;

  (void)events;
  size = send (connection->fd, output->data, output->len, MSG_NOSIGNAL);
  if (size < 0 && would_block ())
    return;
  if (size < 0)
    {
      close_connection (connection);
      return;
    }
  g_byte_array_remove_range (output, 0, (guint)size);
  if (output->len == 0)
    ev_io_stop (loop, watcher);
}

int
fm_send (struct fm_connection *connection, const uint8_t *data,
         size_t size_bytes)
{
  uint32_t header = htonl ((uint32_t)size_bytes);

  if (size_bytes > FM_FRAME_LIMIT_BYTES)
    return FM_ERR_TOO_LARGE;
  if (connection->output->len + size_bytes > FM_OUTPUT_LIMIT_BYTES)
    return FM_ERR_OUTPUT_FULL;
  g_byte_array_append (connection->output, (const uint8_t *)&header,
                       sizeof header);
  g_byte_array_append (connection->output, data, (guint)size_bytes);
  ev_io_start (connection->loop, &connection->writable);
  return FM_OK;
}

/* --- Life cycle --- */

struct fm_connection *
fm_adopt_socket (struct ev_loop *loop, int fd,
                 const struct fm_callbacks *callbacks)
{
  struct fm_connection *connection = g_new0 (struct fm_connection, 1);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  connection->loop = loop;
  connection->fd = fd;
  connection->callbacks = *callbacks;
  connection->input = g_byte_array_new ();
  connection->output = g_byte_array_new ();
  ev_io_init (&connection->readable, on_readable, fd, EV_READ);
  connection->readable.data = connection;
  ev_io_init (&connection->writable, on_writable, fd, EV_WRITE);
  connection->writable.data = connection;
  ev_io_start (loop, &connection->readable);
  return connection;
}

static bool
set_address (struct sockaddr_in *to, const char *address, uint16_t port)
{
  memset (to, 0, sizeof *to);
  to->sin_family = AF_INET;
  to->sin_port = htons (port);
  return inet_pton (AF_INET, address, &to->sin_addr) == 1;
}

int
fm_connect (struct fm_connection **out, struct ev_loop *loop,
            const char *address, uint16_t port,
            const struct fm_callbacks *callbacks)
{
  struct sockaddr_in to;
  int fd;

  if (!set_address (&to, address, port))
    return FM_ERR_ADDRESS;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return FM_ERR_SOCKET;
  if (connect (fd, (struct sockaddr *)&to, sizeof to) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return FM_ERR_SOCKET;
    }
  *out = fm_adopt_socket (loop, fd, callbacks);
  return FM_OK;
}

void
fm_set_ctx (struct fm_connection *connection, void *ctx)
{
  connection->callbacks.ctx = ctx;
}

void
fm_free (struct fm_connection *connection)
{
  if (connection == NULL)
    return;
  ev_io_stop (connection->loop, &connection->readable);
  ev_io_stop (connection->loop, &connection->writable);
  close (connection->fd);
  g_byte_array_free (connection->input, TRUE);
  g_byte_array_free (connection->output, TRUE);
  g_free (connection);
}

int
fm_listen (const char *address, uint16_t *port)
{
  struct sockaddr_in bound;
  socklen_t size = sizeof bound;
  int one = 1;
  int fd;

  if (!set_address (&bound, address, *port))
    return FM_ERR_ADDRESS;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return FM_ERR_SOCKET;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&bound, sizeof bound) != 0
      || listen (fd, LISTEN_BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&bound, &size) != 0)
    {
      close (fd);
      return FM_ERR_SOCKET;
    }
  *port = ntohs (bound.sin_port);
  return fd;
}
