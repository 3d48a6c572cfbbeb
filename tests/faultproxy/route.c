/* One route of the proxy.  */

#include "route.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pipe.h"
#include "standins/common/port.h"

enum
{
  LISTEN_BACKLOG = 512,
  HALF_OPEN_CHECK_MS = 50,
  NO_FD = -1
};

struct ro_route
{
  struct ev_loop *loop;
  struct sockaddr_in listen_addr;
  struct sockaddr_in server_addr;
  uint16_t port;
  int reserved_fd; /* keeps the port bound while the route is cut */
  int listen_fd;
  ev_io acceptable;
  GQueue connections;
  uint32_t delay_ms;
  bool frozen_to_server;
  bool frozen_from_server;
  uint32_t answers_to_drop; /* of requests that begin from now on */
  uint64_t accepted;
  uint64_t ended_bytes_to_server; /* of connections that have ended */
  uint64_t ended_bytes_from_server;
};

struct connection
{
  GList link; /* in route->connections */
  struct ro_route *route;
  int client_fd;
  int server_fd;
  struct pi_pipe *to_server;   /* NULL: ended */
  struct pi_pipe *from_server; /* NULL: ended */
  ev_timer half_open_timer;    /* runs when one direction has ended */
  bool awaiting_answer;        /* bytes were received from the client since the
                                  server's last ones */
  bool drop_answer;            /* close when the server answers */
  bool silent;
};

/* --- Connections --- */

static void
end_to_server (struct connection *connection)
{
  if (connection->to_server == NULL)
    return;
  connection->route->ended_bytes_to_server
      += pi_forwarded_bytes (connection->to_server);
  pi_free (connection->to_server);
  connection->to_server = NULL;
}

static void
end_from_server (struct connection *connection)
{
  if (connection->from_server == NULL)
    return;
  connection->route->ended_bytes_from_server
      += pi_forwarded_bytes (connection->from_server);
  pi_free (connection->from_server);
  connection->from_server = NULL;
}

static void
connection_free (struct connection *connection)
{
  ev_timer_stop (connection->route->loop, &connection->half_open_timer);
  end_to_server (connection);
  end_from_server (connection);
  close (connection->client_fd);
  close (connection->server_fd);
  g_queue_unlink (&connection->route->connections, &connection->link);
  g_free (connection);
}

static void
on_broken (void *ctx)
{
  connection_free (ctx);
}

static bool
is_reset (int fd)
{
  struct pollfd poller = { .fd = fd };

  return poll (&poller, 1, 0) > 0
         && (poller.revents & (POLLERR | POLLHUP)) != 0;
}

/* Polls for resets: the event loop does not report the reset of a socket that
   it no longer watches for reading.  */
static void
on_half_open (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct connection *connection = watcher->data;

  (void)loop;
  (void)events;
  if (connection->silent)
    return;
  if (is_reset (connection->client_fd) || is_reset (connection->server_fd))
    connection_free (connection);
}

static void
watch_half_open (struct connection *connection)
{
  ev_timer_init (&connection->half_open_timer, on_half_open,
                 HALF_OPEN_CHECK_MS / 1000.0, HALF_OPEN_CHECK_MS / 1000.0);
  connection->half_open_timer.data = connection;
  ev_timer_start (connection->route->loop, &connection->half_open_timer);
}

static void
on_to_server_ended (void *ctx)
{
  struct connection *connection = ctx;

  end_to_server (connection);
  if (connection->from_server == NULL)
    connection_free (connection);
  else
    watch_half_open (connection);
}

static void
on_from_server_ended (void *ctx)
{
  struct connection *connection = ctx;

  end_from_server (connection);
  if (connection->to_server == NULL)
    connection_free (connection);
  else
    watch_half_open (connection);
}

/* The client's first bytes since the server's last ones begin a request.  */
static bool
on_to_server_received (void *ctx)
{
  struct connection *connection = ctx;
  struct ro_route *route = connection->route;

  if (!connection->awaiting_answer && route->answers_to_drop > 0)
    {
      route->answers_to_drop--;
      connection->drop_answer = true;
    }
  connection->awaiting_answer = true;
  return true;
}

static bool
on_from_server_received (void *ctx)
{
  struct connection *connection = ctx;

  connection->awaiting_answer = false;
  if (!connection->drop_answer)
    return true;
  connection_free (connection);
  return false;
}

static void
create_pipes (struct connection *connection)
{
  struct ro_route *route = connection->route;
  struct pi_params params = { .loop = route->loop,
                              .delay_ms = route->delay_ms,
                              .on_broken = on_broken,
                              .ctx = connection };

  params.from_fd = connection->client_fd;
  params.to_fd = connection->server_fd;
  params.frozen = route->frozen_to_server;
  params.on_received = on_to_server_received;
  params.on_ended = on_to_server_ended;
  connection->to_server = pi_create (&params);
  params.from_fd = connection->server_fd;
  params.to_fd = connection->client_fd;
  params.frozen = route->frozen_from_server;
  params.on_received = on_from_server_received;
  params.on_ended = on_from_server_ended;
  connection->from_server = pi_create (&params);
}

static int
connect_server (const struct ro_route *route)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return NO_FD;
  if (connect (fd, (const struct sockaddr *)&route->server_addr,
               sizeof route->server_addr)
          == 0
      || errno == EINPROGRESS)
    return fd;
  close (fd);
  return NO_FD;
}

static void
connection_create (struct ro_route *route, int client_fd)
{
  int server_fd = connect_server (route);
  struct connection *connection;

  if (server_fd < 0)
    {
      close (client_fd);
      return;
    }
  connection = g_new0 (struct connection, 1);
  connection->route = route;
  connection->client_fd = client_fd;
  connection->server_fd = server_fd;
  connection->link.data = connection;
  g_queue_push_tail_link (&route->connections, &connection->link);
  create_pipes (connection);
}

/* --- Listening --- */

static void
on_acceptable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct ro_route *route = watcher->data;
  int fd;

  (void)loop;
  (void)events;
  fd = accept4 (route->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  route->accepted++;
  connection_create (route, fd);
}

static int
listen_start (struct ro_route *route)
{
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return RO_ERR_LISTEN;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&route->listen_addr,
            sizeof route->listen_addr)
          != 0
      || listen (fd, LISTEN_BACKLOG) != 0)
    {
      close (fd);
      return RO_ERR_LISTEN;
    }
  route->listen_fd = fd;
  ev_io_init (&route->acceptable, on_acceptable, fd, EV_READ);
  route->acceptable.data = route;
  ev_io_start (route->loop, &route->acceptable);
  return RO_OK;
}

static void
listen_stop (struct ro_route *route)
{
  if (route->listen_fd < 0)
    return;
  ev_io_stop (route->loop, &route->acceptable);
  close (route->listen_fd);
  route->listen_fd = NO_FD;
}

static bool
parse_server (struct sockaddr_in *name, const char *text)
{
  gchar **parts = g_strsplit (text, ":", 2);
  bool valid = g_strv_length (parts) == 2
               && inet_pton (AF_INET, parts[0], &name->sin_addr) == 1;

  name->sin_family = AF_INET;
  if (valid)
    name->sin_port = htons ((uint16_t)g_ascii_strtoull (parts[1], NULL, 10));
  g_strfreev (parts);
  return valid && name->sin_port != 0;
}

int
ro_create (struct ro_route **out, struct ev_loop *loop, const char *address,
           uint16_t port, const char *server)
{
  struct ro_route *route = g_new0 (struct ro_route, 1);
  int error = RO_ERR_ADDRESS;

  route->loop = loop;
  route->listen_fd = NO_FD;
  route->port = port;
  g_queue_init (&route->connections);
  route->reserved_fd = po_reserve (address, &route->port);
  if (route->reserved_fd < 0)
    {
      error = RO_ERR_LISTEN;
      goto fail;
    }
  if (!parse_server (&route->server_addr, server)
      || inet_pton (AF_INET, address, &route->listen_addr.sin_addr) != 1)
    goto fail;
  route->listen_addr.sin_family = AF_INET;
  route->listen_addr.sin_port = htons (route->port);
  error = listen_start (route);
  if (error != RO_OK)
    goto fail;
  *out = route;
  return RO_OK;

fail:
  ro_free (route);
  return error;
}

void
ro_free (struct ro_route *route)
{
  if (route == NULL)
    return;
  listen_stop (route);
  while (!g_queue_is_empty (&route->connections))
    connection_free (g_queue_peek_head (&route->connections));
  if (route->reserved_fd >= 0)
    close (route->reserved_fd);
  g_free (route);
}

uint16_t
ro_port (const struct ro_route *route)
{
  return route->port;
}

/* --- Faults --- */

/* Calls FAULT for each connection that is not silent.  FAULT may free the
   connection.  */
static void
for_each_connection (struct ro_route *route,
                     void (*fault) (struct connection *connection))
{
  struct connection *connection;
  GList *link;
  GList *next;

  for (link = route->connections.head; link != NULL; link = next)
    {
      next = link->next;
      connection = link->data;
      if (!connection->silent)
        fault (connection);
    }
}

void
ro_close_connections (struct ro_route *route)
{
  for_each_connection (route, connection_free);
}

void
ro_set_cut (struct ro_route *route, bool cut)
{
  if (cut)
    {
      listen_stop (route);
      ro_close_connections (route);
    }
  else if (route->listen_fd < 0)
    listen_start (route);
}

static void
apply_delay (struct connection *connection)
{
  if (connection->to_server != NULL)
    pi_set_delay (connection->to_server, connection->route->delay_ms);
  if (connection->from_server != NULL)
    pi_set_delay (connection->from_server, connection->route->delay_ms);
}

void
ro_set_delay (struct ro_route *route, uint32_t delay_ms)
{
  route->delay_ms = delay_ms;
  for_each_connection (route, apply_delay);
}

static void
apply_freeze_to_server (struct connection *connection)
{
  if (connection->to_server != NULL)
    pi_set_frozen (connection->to_server, connection->route->frozen_to_server);
}

static void
apply_freeze_from_server (struct connection *connection)
{
  if (connection->from_server != NULL)
    pi_set_frozen (connection->from_server,
                   connection->route->frozen_from_server);
}

void
ro_set_frozen (struct ro_route *route, bool to_server, bool from_server)
{
  route->frozen_to_server = to_server;
  route->frozen_from_server = from_server;
  for_each_connection (route, apply_freeze_to_server);
  for_each_connection (route, apply_freeze_from_server);
}

void
ro_drop_answers (struct ro_route *route, uint32_t count)
{
  route->answers_to_drop = count;
}

static void
silence_connection (struct connection *connection)
{
  connection->silent = true;
  if (connection->to_server != NULL)
    pi_silence (connection->to_server);
  if (connection->from_server != NULL)
    pi_silence (connection->from_server);
}

void
ro_silence_connections (struct ro_route *route)
{
  for_each_connection (route, silence_connection);
}

json_t *
ro_json (const struct ro_route *route)
{
  uint64_t bytes_to = route->ended_bytes_to_server;
  uint64_t bytes_from = route->ended_bytes_from_server;
  const struct connection *connection;
  const GList *link;

  for (link = route->connections.head; link != NULL; link = link->next)
    {
      connection = link->data;
      if (connection->to_server != NULL)
        bytes_to += pi_forwarded_bytes (connection->to_server);
      if (connection->from_server != NULL)
        bytes_from += pi_forwarded_bytes (connection->from_server);
    }
  return json_pack ("{s:i,s:I,s:I,s:I,s:I,s:I}", "port", (int)route->port,
                    "connections", (json_int_t)route->connections.length,
                    "accepted", (json_int_t)route->accepted, "bytes_to",
                    (json_int_t)bytes_to, "bytes_from", (json_int_t)bytes_from,
                    "drop_answer", (json_int_t)route->answers_to_drop);
}
