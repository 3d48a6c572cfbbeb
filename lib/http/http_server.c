/* HTTP server on libmicrohttpd and libev.  */

#include "http/http_server.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <malloc.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/loop_load.h"

enum
{
  BODY_INITIAL_CAPACITY_BYTES = 1024,
  SWEEP_INTERVAL_MS = 250,
  CONNECTION_MEMORY_BYTES = 16 * 1024,
  LISTEN_BACKLOG = 512,
  /* An open connection costs little, and closing one just when its caller
     sends the next request loses that request.  */
  IDLE_TIMEOUT_MS = 60 * 1000,
  /* An answer that has not been read for this long.  */
  READ_TIMEOUT_MS = 60 * 1000,
  /* For this long an answer is not cut off for want of memory.  */
  READ_GRACE_MS = 2000,
  /* What a connection holds without a request: the library's buffer, and the
     library's and this module's structures.  */
  CONNECTION_BYTES = CONNECTION_MEMORY_BYTES + 1024,
  /* With a budget: of the system, for each connection, so that little waits
     there unread.  The system doubles it.  */
  UNREAD_BUFFER_BYTES = 16 * 1024,
  /* A body in chunks of this many times the limit is not read to its end.  */
  ENDLESS_FACTOR = 4
};

/* One connection of a caller, tracked to limit the time for receiving a
   request.  */
struct connection
{
  GList link; /* in server->connections */
  struct hs_server *server;
  struct hs_request *request; /* NULL: none */
  struct hb_holder holder;
  int fd;
  bool receiving; /* a request, or waiting for the next one */
  bool shed;      /* shut down; what still arrives is not served */
  bool answering; /* the answer has not been read, and there is a deadline */
  bool extended;  /* the deadline has been moved, see on_sweep () */
  ev_tstamp deadline_s;
};

struct hs_request
{
  GList link;               /* in server->suspended while suspended */
  ev_io disconnect_watcher; /* active while suspended */
  struct hs_server *server;
  struct MHD_Connection *mhd;
  struct connection *connection;
  char *method;
  char *path;
  char *body;
  size_t body_size_bytes;
  size_t body_capacity_bytes;
  uint64_t received_bytes; /* of the body, also what is not kept */
  bool too_large;
  bool left_out;  /* the body is not kept */
  bool delivered; /* passed to the handler, or refused */
  bool suspended;
  bool drop;           /* close the connection without a response */
  unsigned int status; /* 0 until hs_respond () */
  struct MHD_Response *response;
  hs_disconnect_handler disconnect_handler;
  void *disconnect_ctx;
};

struct hs_server
{
  struct hs_params params;
  struct MHD_Daemon *mhd;
  ev_io readable;
  ev_timer run_timer;
  ev_timer sweep_timer;
  ev_prepare prepare;
  GQueue connections;
  GQueue suspended; /* of struct hs_request */
  uint32_t open_requests;
  bool stopping;
  bool freeing; /* requests that arrive now are dropped */
  bool resumed; /* MHD_run () is needed without an event */
  bool full;    /* libmicrohttpd has stopped accepting */
};

/* --- Running libmicrohttpd from the event loop --- */

/* Once it has been full, libmicrohttpd accepts again only when it runs the
   next time, and has no event for that.  */
static void
run_daemon (struct hs_server *server)
{
  enum ll_part outer = ll_enter (LL_CALLERS);

  server->resumed = false;
  MHD_run (server->mhd);
  ll_leave (outer);
  if (server->full
      && server->connections.length < server->params.connection_limit)
    {
      server->full = false;
      server->resumed = true;
    }
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  run_daemon (watcher->data);
}

static void
on_run_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  run_daemon (watcher->data);
}

/* Called before the loop sleeps: sets a timer for the time at which
   libmicrohttpd next has work to do.  */
static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct hs_server *server = watcher->data;
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  (void)events;
  ev_timer_stop (loop, &server->run_timer);
  if (server->resumed)
    timeout_ms = 0;
  else if (MHD_get_timeout (server->mhd, &timeout_ms) != MHD_YES)
    return;
  ev_timer_set (&server->run_timer, (ev_tstamp)timeout_ms / 1000.0, 0.0);
  ev_timer_start (loop, &server->run_timer);
}

/* --- What callers hold --- */

static int64_t
loop_now_ms (const struct hs_server *server)
{
  return (int64_t)(ev_now (server->params.loop) * 1000.0);
}

static void
report_shed (const struct hs_server *server, enum hs_shed why)
{
  if (server->params.on_shed != NULL)
    server->params.on_shed (server->params.ctx, why);
}

static void
release_bytes (struct connection *connection, uint64_t bytes)
{
  if (connection != NULL && connection->server->params.budget != NULL)
    hb_give (connection->server->params.budget, &connection->holder, bytes);
}

static void
body_free (struct hs_request *request)
{
  release_bytes (request->connection, request->body_capacity_bytes);
  free (request->body);
  request->body = NULL;
  request->body_size_bytes = 0;
  request->body_capacity_bytes = 0;
}

/* Closes a connection that is not in work, and frees what it holds at once,
   but for what libmicrohttpd frees when it finds the connection closed.  */
static void
shed_connection (struct connection *connection, enum hs_shed why)
{
  struct hs_request *request = connection->request;

  connection->shed = true;
  connection->receiving = false;
  connection->answering = false;
  connection->holder.in_work = true;
  if (request != NULL)
    {
      request->drop = true;
      body_free (request);
    }
  release_bytes (connection, connection->holder.held_bytes);
  shutdown (connection->fd, SHUT_RDWR);
  report_shed (connection->server, why);
}

/* Closes connections until what all callers hold is within the budget or all
   are in work.  */
static void
keep_budget (struct hs_server *server)
{
  struct hb_budget *budget = server->params.budget;
  struct hb_holder *worst;

  while (hb_is_over (budget)
         && (worst = hb_choose (budget, NULL, loop_now_ms (server))) != NULL)
    shed_connection (worst->owner, HS_SHED_MEMORY);
}

/* Counts bytes, for which connections, maybe this one, may be closed.  */
static void
hold_bytes (struct connection *connection, uint64_t bytes)
{
  if (connection == NULL || connection->shed
      || connection->server->params.budget == NULL)
    return;
  hb_take (connection->server->params.budget, &connection->holder, bytes);
  keep_budget (connection->server);
}

static void
set_in_work (struct connection *connection, bool in_work)
{
  if (connection == NULL || connection->shed)
    return;
  connection->holder.in_work = in_work;
  connection->holder.since_ms = loop_now_ms (connection->server);
}

static void
make_room_for_connection (struct hs_server *server)
{
  struct hb_holder *worst;

  uint32_t limit = server->params.connection_limit;

  if (server->params.budget == NULL
      || server->connections.length <= limit - hb_spare_connections (limit))
    return;
  worst = hb_choose (server->params.budget, server, loop_now_ms (server));
  if (worst != NULL)
    shed_connection (worst->owner, HS_SHED_CONNECTIONS);
}

/* --- Connections --- */

static bool
has_unread_bytes (const struct connection *connection)
{
  char byte;

  return recv (connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static void
start_receive_deadline (struct hs_server *server,
                        struct connection *connection, uint32_t timeout_ms)
{
  connection->receiving = true;
  connection->answering = false;
  connection->extended = false;
  connection->deadline_s = ev_now (server->params.loop) + timeout_ms / 1000.0;
}

/* Leaves the memory to the rest of the process that it needs, and returns what
   has been freed to the system.  */
static void
check_process (struct hs_server *server)
{
  struct hb_budget *budget = server->params.budget;
  struct mallinfo2 info;

  if (hb_needs_adjustment (budget))
    {
      info = mallinfo2 ();
      hb_adjust (budget, info.uordblks + info.hblkhd);
      keep_budget (server);
    }
  if (hb_trim_is_due (budget))
    malloc_trim (0);
}

/* Closes connections that have not sent a complete request in time.  If there
   are bytes that have not been read, it may be this process that was late, so
   the deadline is moved once.  */
static void
on_sweep (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct hs_server *server = watcher->data;
  ev_tstamp now_s = ev_now (loop);
  struct connection *connection;
  GList *link;

  (void)events;
  for (link = server->connections.head; link != NULL; link = link->next)
    {
      connection = link->data;
      if (now_s <= connection->deadline_s)
        continue;
      if (connection->answering)
        shed_connection (connection, HS_SHED_UNREAD);
      if (!connection->receiving)
        continue;
      if (!connection->extended && has_unread_bytes (connection))
        {
          start_receive_deadline (server, connection,
                                  server->params.receive_timeout_ms);
          connection->extended = true;
          continue;
        }
      connection->receiving = false;
      shutdown (connection->fd, SHUT_RDWR);
    }
  if (server->params.budget != NULL)
    check_process (server);
}

/* Called once the first line of a request has been received.  */
static void *
on_request_line (void *ctx, const char *uri, struct MHD_Connection *mhd)
{
  struct hs_server *server = ctx;
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  (void)uri;
  if (info != NULL && info->socket_context != NULL)
    {
      start_receive_deadline (server, info->socket_context,
                              server->params.receive_timeout_ms);
      set_in_work (info->socket_context, false);
    }
  return NULL;
}

static void
on_mhd_connection (void *ctx, struct MHD_Connection *mhd, void **socket_ctx,
                   enum MHD_ConnectionNotificationCode code)
{
  struct hs_server *server = ctx;
  struct connection *connection = *socket_ctx;
  const union MHD_ConnectionInfo *info;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      if (connection == NULL)
        return;
      g_queue_unlink (&server->connections, &connection->link);
      if (server->params.budget != NULL)
        hb_remove (server->params.budget, &connection->holder);
      free (connection);
      *socket_ctx = NULL;
      return;
    }
  connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    return;
  info = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
  connection->fd = info->connect_fd;
  connection->server = server;
  connection->link.data = connection;
  connection->holder
      = (struct hb_holder){ .owner = connection, .group = server };
  g_queue_push_tail_link (&server->connections, &connection->link);
  start_receive_deadline (server, connection,
                          server->params.receive_timeout_ms);
  set_in_work (connection, false);
  *socket_ctx = connection;
  if (server->connections.length >= server->params.connection_limit)
    server->full = true;
  if (server->params.budget == NULL)
    return;
  hb_add (server->params.budget, &connection->holder);
  hold_bytes (connection, CONNECTION_BYTES);
  make_room_for_connection (server);
}

/* --- Requests --- */

static void
request_free (struct hs_request *request)
{
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  free (request->method);
  free (request->path);
  free (request->body);
  free (request);
}

static struct hs_request *
request_create (struct hs_server *server, struct MHD_Connection *mhd,
                const char *method, const char *path)
{
  struct hs_request *request = calloc (1, sizeof *request);
  const union MHD_ConnectionInfo *info;

  if (request == NULL)
    return NULL;
  info = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  request->server = server;
  request->mhd = mhd;
  request->connection = info == NULL ? NULL : info->socket_context;
  request->method = strdup (method);
  request->path = strdup (path);
  if (request->method == NULL || request->path == NULL)
    {
      request_free (request);
      return NULL;
    }
  server->open_requests++;
  if (request->connection != NULL)
    {
      request->connection->request = request;
      request->drop = request->connection->shed;
    }
  hold_bytes (request->connection,
              sizeof *request + strlen (method) + strlen (path));
  return request;
}

/* Returns whether there is room for NEEDED bytes.  */
static bool
body_reserve (struct hs_request *request, size_t needed)
{
  size_t capacity = MAX (request->body_capacity_bytes,
                         (size_t)BODY_INITIAL_CAPACITY_BYTES);
  char *grown;

  if (needed <= request->body_capacity_bytes)
    return true;
  while (capacity < needed)
    capacity *= 2;
  hold_bytes (request->connection, capacity - request->body_capacity_bytes);
  if (request->drop)
    return false; /* it was this one that had to be closed */
  grown = realloc (request->body, capacity);
  if (grown == NULL)
    return false;
  request->body = grown;
  request->body_capacity_bytes = capacity;
  return true;
}

/* Whether the rest of a body that is too large is not even read.  */
static bool
is_endless (const struct hs_request *request)
{
  return request->server->params.budget != NULL
         && request->received_bytes / ENDLESS_FACTOR
                > request->server->params.body_limit_bytes;
}

/* Appends received bytes; a body over the limit, or one that is not needed, is
   read but not kept.  Returns whether to go on with the request.  */
static bool
body_append (struct hs_request *request, const char *data, size_t size_bytes)
{
  request->received_bytes += size_bytes;
  if (request->received_bytes > request->server->params.body_limit_bytes
      && !request->too_large)
    {
      request->too_large = true;
      body_free (request);
    }
  if (is_endless (request))
    {
      report_shed (request->server, HS_SHED_ENDLESS);
      return false;
    }
  if (request->too_large || request->left_out)
    return true;
  if (!body_reserve (request, request->body_size_bytes + size_bytes + 1))
    return false;
  memcpy (request->body + request->body_size_bytes, data, size_bytes);
  request->body_size_bytes += size_bytes;
  request->body[request->body_size_bytes] = '\0';
  return true;
}

/* The caller has to read the answer in time.  */
static void
start_read_deadline (struct hs_request *request)
{
  struct connection *connection = request->connection;

  if (connection == NULL || request->server->params.budget == NULL)
    return;
  connection->receiving = false;
  connection->answering = true;
  connection->deadline_s
      = ev_now (request->server->params.loop) + READ_TIMEOUT_MS / 1000.0;
  set_in_work (connection, false);
  connection->holder.since_ms += READ_GRACE_MS;
}

static enum MHD_Result
queue_response (struct hs_request *request)
{
  if (request->drop)
    return MHD_NO;
  start_read_deadline (request);
  if (request->server->stopping)
    MHD_add_response_header (request->response, "Connection", "close");
  return MHD_queue_response (request->mhd, request->status, request->response);
}

static void
deliver_request (struct hs_request *request)
{
  static const char message[]
      = "{\"error\":\"body_too_large\","
        "\"message\":\"the request's body is larger than the limit\"}\n";
  struct hs_header type = { "Content-Type", "application/json" };
  struct hs_server *server = request->server;

  request->delivered = true;
  if (request->connection != NULL)
    request->connection->receiving = false;
  set_in_work (request->connection, true);
  if (server->freeing)
    request->drop = true;
  else if (request->too_large)
    hs_respond (request, MHD_HTTP_CONTENT_TOO_LARGE, &type, 1, message,
                sizeof message - 1);
  else
    server->params.handler (server->params.ctx, request);
}

/* Checks the declared length, so that a body above the limit is refused before
   it is received.  */
static bool
declared_too_large (const struct hs_request *request)
{
  const char *length = hs_header (request, "Content-Length");

  return length != NULL
         && strtoull (length, NULL, 10)
                > request->server->params.body_limit_bytes;
}

/* Whether a body follows.  */
static bool
announces_body (const struct hs_request *request, uint64_t *size_bytes)
{
  const char *length = hs_header (request, "Content-Length");

  *size_bytes = length == NULL ? 0 : strtoull (length, NULL, 10);
  return *size_bytes > 0 || hs_header (request, "Transfer-Encoding") != NULL;
}

/* Answers a request before its body, with a status that says that it has not
   run.  */
static void
refuse_early (struct hs_request *request)
{
  static const char message[] = "{\"error\":\"busy\",\"message\":\"too many "
                                "callers: not accepted\"}\n";
  struct hs_header headers[]
      = { { "Content-Type", "application/json" }, { "Retry-After", "1" } };

  request->delivered = true;
  hs_respond (request, MHD_HTTP_SERVICE_UNAVAILABLE, headers,
              G_N_ELEMENTS (headers), message, sizeof message - 1);
  report_shed (request->server, HS_SHED_EARLY);
}

/* Called with the headers.  Returns whether the request has been refused.  */
static bool
check_announced (struct hs_request *request)
{
  const struct hs_params *params = &request->server->params;
  uint64_t size_bytes;

  if (declared_too_large (request))
    {
      request->too_large = true;
      deliver_request (request);
      return true;
    }
  if (!announces_body (request, &size_bytes))
    return false;
  request->left_out = params->body_needed != NULL
                      && !params->body_needed (params->ctx, request);
  if (request->left_out || params->budget == NULL
      || !hb_refuses_early (params->budget, size_bytes))
    return false;
  refuse_early (request);
  return true;
}

/* --- Requests suspended until the response --- */

static void
resume_request (struct hs_request *request)
{
  struct hs_server *server = request->server;

  if (!request->suspended)
    return;
  request->suspended = false;
  g_queue_unlink (&server->suspended, &request->link);
  ev_io_stop (server->params.loop, &request->disconnect_watcher);
  server->resumed = true;
  MHD_resume_connection (request->mhd);
}

static void
notify_disconnect (struct hs_request *request)
{
  hs_disconnect_handler disconnect_handler = request->disconnect_handler;

  request->disconnect_handler = NULL;
  if (disconnect_handler != NULL)
    disconnect_handler (request->disconnect_ctx);
}

/* libmicrohttpd does not watch the connection of a suspended request.  A
   caller that closes the connection, or only its sending direction, counts as
   disconnected.  */
static void
on_disconnect_event (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct hs_request *request = watcher->data;
  char byte;
  ssize_t size;

  (void)events;
  size = recv (watcher->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  ev_io_stop (loop, watcher);
  if (size > 0)
    return; /* a pipelined request has arrived */
  request->drop = true;
  resume_request (request);
  notify_disconnect (request);
}

static void
suspend_request (struct hs_request *request)
{
  struct hs_server *server = request->server;

  request->suspended = true;
  request->link.data = request;
  g_queue_push_tail_link (&server->suspended, &request->link);
  if (request->connection != NULL)
    {
      ev_io_init (&request->disconnect_watcher, on_disconnect_event,
                  request->connection->fd, EV_READ);
      request->disconnect_watcher.data = request;
      ev_io_start (server->params.loop, &request->disconnect_watcher);
    }
  MHD_suspend_connection (request->mhd);
}

static enum MHD_Result
on_mhd_request (void *ctx, struct MHD_Connection *mhd, const char *url,
                const char *method, const char *version, const char *upload,
                size_t *upload_size_bytes, void **request_ctx)
{
  struct hs_request *request = *request_ctx;

  (void)version;
  if (request == NULL)
    {
      request = request_create (ctx, mhd, method, url);
      if (request == NULL)
        return MHD_NO;
      *request_ctx = request;
      return check_announced (request) ? queue_response (request) : MHD_YES;
    }
  if (request->drop)
    return MHD_NO;
  if (*upload_size_bytes > 0)
    {
      if (!body_append (request, upload, *upload_size_bytes))
        return MHD_NO;
      *upload_size_bytes = 0;
      return MHD_YES;
    }
  if (!request->delivered)
    deliver_request (request);
  if (request->status != 0 || request->drop)
    return queue_response (request);
  suspend_request (request);
  return MHD_YES;
}

/* Waits for the next request.  A connection that has been shed holds nothing,
   and stays so until it is closed.  */
static void
finish_request (struct hs_server *server, struct connection *connection)
{
  connection->request = NULL;
  start_receive_deadline (server, connection, IDLE_TIMEOUT_MS);
  if (server->params.budget == NULL || connection->shed)
    return;
  set_in_work (connection, false);
  hb_give (server->params.budget, &connection->holder,
           connection->holder.held_bytes - CONNECTION_BYTES);
}

static void
on_mhd_request_completed (void *ctx, struct MHD_Connection *mhd,
                          void **request_ctx,
                          enum MHD_RequestTerminationCode code)
{
  struct hs_server *server = ctx;
  struct hs_request *request = *request_ctx;

  (void)mhd;
  (void)code;
  if (request == NULL)
    return;
  *request_ctx = NULL;
  server->open_requests--;
  if (request->connection != NULL)
    finish_request (server, request->connection);
  if (request->status == 0 && !request->drop)
    notify_disconnect (request);
  request_free (request);
}

/* --- Public functions --- */

static int
listen_socket (const struct hs_params *params, int *fd)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (params->port) };
  int unread = UNREAD_BUFFER_BYTES;
  int one = 1;

  if (inet_pton (AF_INET, params->address, &address.sin_addr) != 1)
    return HS_ERR_ADDRESS;
  *fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (*fd < 0)
    return HS_ERR_LISTEN;
  setsockopt (*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (params->budget != NULL)
    setsockopt (*fd, SOL_SOCKET, SO_RCVBUF, &unread, sizeof unread);
  if (bind (*fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (*fd, LISTEN_BACKLOG) != 0)
    {
      close (*fd);
      return HS_ERR_LISTEN;
    }
  return HS_OK;
}

static void
start_watchers (struct hs_server *server)
{
  struct ev_loop *loop = server->params.loop;
  const union MHD_DaemonInfo *info;

  info = MHD_get_daemon_info (server->mhd, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&server->readable, on_readable, info->epoll_fd, EV_READ);
  server->readable.data = server;
  ev_io_start (loop, &server->readable);
  ev_init (&server->run_timer, on_run_timer);
  server->run_timer.data = server;
  ev_timer_init (&server->sweep_timer, on_sweep, SWEEP_INTERVAL_MS / 1000.0,
                 SWEEP_INTERVAL_MS / 1000.0);
  server->sweep_timer.data = server;
  ev_timer_start (loop, &server->sweep_timer);
  ev_prepare_init (&server->prepare, on_prepare);
  server->prepare.data = server;
  ev_prepare_start (loop, &server->prepare);
}

int
hs_create (struct hs_server **out, const struct hs_params *params)
{
  struct hs_server *server;
  int fd = -1;
  int error;

  assert (params->handler != NULL && params->loop != NULL);
  server = calloc (1, sizeof *server);
  if (server == NULL)
    return HS_ERR_MEMORY;
  server->params = *params;
  g_queue_init (&server->connections);
  g_queue_init (&server->suspended);
  error = listen_socket (params, &fd);
  if (error != HS_OK)
    goto fail;
  server->mhd = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_mhd_request,
      server, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
      params->connection_limit, MHD_OPTION_NOTIFY_COMPLETED,
      on_mhd_request_completed, server, MHD_OPTION_NOTIFY_CONNECTION,
      on_mhd_connection, server, MHD_OPTION_URI_LOG_CALLBACK, on_request_line,
      server, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
  if (server->mhd == NULL)
    {
      close (fd);
      error = HS_ERR_LISTEN;
      goto fail;
    }
  start_watchers (server);
  *out = server;
  return HS_OK;

fail:
  free (server);
  return error;
}

uint16_t
hs_port (const struct hs_server *server)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;
  const union MHD_DaemonInfo *info;

  info = MHD_get_daemon_info (server->mhd, MHD_DAEMON_INFO_LISTEN_FD);
  if (info == NULL
      || getsockname (info->listen_fd, (struct sockaddr *)&address, &size)
             != 0)
    return 0;
  return ntohs (address.sin_port);
}

void
hs_stop_accepting (struct hs_server *server)
{
  int fd;

  if (server->stopping)
    return;
  server->stopping = true;
  fd = MHD_quiesce_daemon (server->mhd);
  if (fd >= 0)
    close (fd);
}

uint32_t
hs_open_requests (const struct hs_server *server)
{
  return server->open_requests;
}

void
hs_free (struct hs_server *server)
{
  struct ev_loop *loop;

  struct hs_request *request;

  if (server == NULL)
    return;
  loop = server->params.loop;
  server->freeing = true;
  while ((request = g_queue_peek_head (&server->suspended)) != NULL)
    {
      request->drop = true;
      resume_request (request);
      notify_disconnect (request);
    }
  run_daemon (server); /* closes the connections resumed above */
  ev_io_stop (loop, &server->readable);
  ev_timer_stop (loop, &server->run_timer);
  ev_timer_stop (loop, &server->sweep_timer);
  ev_prepare_stop (loop, &server->prepare);
  MHD_stop_daemon (server->mhd);
  free (server);
}

const char *
hs_method (const struct hs_request *request)
{
  return request->method;
}

const char *
hs_path (const struct hs_request *request)
{
  return request->path;
}

const char *
hs_header (const struct hs_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->mhd, MHD_HEADER_KIND, name);
}

const char *
hs_query (const struct hs_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->mhd, MHD_GET_ARGUMENT_KIND,
                                      name);
}

const char *
hs_body (const struct hs_request *request, size_t *size_bytes)
{
  *size_bytes = request->body_size_bytes;
  return request->body == NULL ? "" : request->body;
}

bool
hs_body_left_out (const struct hs_request *request)
{
  return request->left_out;
}

void
hs_on_disconnect (struct hs_request *request, hs_disconnect_handler handler,
                  void *ctx)
{
  request->disconnect_handler = handler;
  request->disconnect_ctx = ctx;
}

void
hs_respond (struct hs_request *request, unsigned int status,
            const struct hs_header *headers, size_t header_count,
            const void *body, size_t body_size_bytes)
{
  size_t i;

  assert (request->status == 0);
  request->status = status;
  hold_bytes (request->connection, body_size_bytes);
  request->response = MHD_create_response_from_buffer (
      body_size_bytes, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
  if (request->response == NULL)
    request->drop = true;
  else
    for (i = 0; i < header_count; i++)
      MHD_add_response_header (request->response, headers[i].name,
                               headers[i].value);
  body_free (request);
  resume_request (request);
}

void
hs_close_without_response (struct hs_request *request)
{
  request->drop = true;
  resume_request (request);
}
