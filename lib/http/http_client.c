/* HTTP client on libcurl multi and libev.  */

#include "http/http_client.h"

#include <assert.h>
#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/logging.h"

static const char PART[] = "http";

enum
{
  BODY_INITIAL_CAPACITY_BYTES = 1024,
  /* Handles of finished calls kept for the next ones; each has a buffer of
     16 kB.  */
  IDLE_HANDLES_MAX = 4,
  /* A timeout that is noticed this much late shows that this process was
     paused, not that the connection is silent.  */
  TIMEOUT_LATE_MS = 100
};

/* A connection that libcurl has open.  */
struct connection
{
  int fd;
  char *server;         /* the authority of its URL */
  struct hc_call *call; /* that uses it; NULL: it is idle */
  int64_t answered_ms;  /* when the last response on it ended; 0: none */
};

struct hc_call
{
  GList link; /* in client->calls */
  struct hc_client *client;
  CURL *easy;
  struct curl_slist *headers;
  char *server;                  /* the authority of its URL */
  struct connection *connection; /* that it uses; NULL: none */
  int64_t sent_ms;
  uint32_t timeout_ms;
  char *request_body;
  char *body;
  size_t body_size_bytes;
  size_t body_capacity_bytes;
  size_t limit_bytes;
  bool too_large;
  int64_t send_by_ms; /* monotonic; INT64_MAX: no limit */
  bool late;          /* it was not sent by then */
  hc_callback callback;
  void *ctx;
};

struct hc_client
{
  struct ev_loop *loop;
  enum ll_part load_part;
  CURLM *multi;
  ev_timer timer;
  GQueue calls;
  GHashTable *connections;              /* fd -> struct connection */
  CURL *idle_handles[IDLE_HANDLES_MAX]; /* reset, of finished calls */
  uint32_t idle_handle_count;
};

/* One socket that libcurl has asked to watch.  */
struct watched_socket
{
  ev_io io;
  struct hc_client *client;
};

/* --- Handles --- */

/* Creating a handle and freeing it costs more than resetting one.  */
static CURL *
take_handle (struct hc_client *client)
{
  return client->idle_handle_count > 0
             ? client->idle_handles[--client->idle_handle_count]
             : curl_easy_init ();
}

static void
return_handle (struct hc_client *client, CURL *easy)
{
  if (client->idle_handle_count == IDLE_HANDLES_MAX)
    {
      curl_easy_cleanup (easy);
      return;
    }
  curl_easy_reset (easy);
  client->idle_handles[client->idle_handle_count++] = easy;
}

/* --- Connections --- */

static void
connection_free (void *data)
{
  struct connection *connection = data;

  if (connection->call != NULL)
    connection->call->connection = NULL;
  g_free (connection->server);
  g_free (connection);
}

static curl_socket_t
on_socket_open (void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
  struct hc_call *call = ctx;
  struct connection *connection;
  int fd = socket (address->family, address->socktype | SOCK_CLOEXEC,
                   address->protocol);

  (void)purpose;
  if (fd < 0)
    {
      lg_warning (PART, "A socket could not be opened.", "server",
                  call->server, "error", g_strerror (errno), NULL);
      return CURL_SOCKET_BAD;
    }
  connection = g_new0 (struct connection, 1);
  connection->fd = fd;
  connection->server = g_strdup (call->server);
  g_hash_table_replace (call->client->connections, GINT_TO_POINTER (fd),
                        connection);
  return fd;
}

static int
on_socket_close (void *ctx, curl_socket_t fd)
{
  struct hc_client *client = ctx;

  g_hash_table_remove (client->connections, GINT_TO_POINTER (fd));
  return close (fd);
}

static void
release_connection (struct hc_call *call)
{
  if (call->connection != NULL)
    call->connection->call = NULL;
  call->connection = NULL;
}

/* CALL uses the connection on FD from now on.  */
static void
use_connection (struct hc_call *call, int fd)
{
  struct connection *connection
      = g_hash_table_lookup (call->client->connections, GINT_TO_POINTER (fd));

  if (connection == NULL || connection == call->connection)
    return;
  release_connection (call);
  if (connection->call != NULL)
    release_connection (connection->call);
  connection->call = call;
  call->connection = connection;
}

/* CALL has had no response on a reused connection.  Connections to a server
   can go silent together, so the next calls do not use those that were idle
   since before CALL: libcurl closes a connection that is shut down instead of
   using it.  */
static void
shut_down_doubtful_connections (const struct hc_call *call)
{
  GHashTableIter iter;
  void *value;
  int64_t count = 0;

  g_hash_table_iter_init (&iter, call->client->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct connection *connection = value;

      if (connection->call != NULL || connection->answered_ms > call->sent_ms
          || strcmp (connection->server, call->server) != 0)
        continue;
      if (shutdown (connection->fd, SHUT_RDWR) == 0)
        count++;
    }
  if (count > 0)
    lg_info (PART,
             "Idle connections are closed, for a call on another one has had "
             "no answer.",
             "server", call->server, "connections", lg_number (count), NULL);
}

/* --- Completing calls --- */

static void
call_free (struct hc_call *call)
{
  g_queue_unlink (&call->client->calls, &call->link);
  release_connection (call);
  if (call->easy != NULL)
    {
      curl_multi_remove_handle (call->client->multi, call->easy);
      return_handle (call->client, call->easy);
    }
  curl_slist_free_all (call->headers);
  g_free (call->server);
  free (call->request_body);
  free (call->body);
  free (call);
}

static int
error_from_curl (CURLcode code, const struct hc_call *call)
{
  if (call->too_large)
    return HC_ERR_TOO_LARGE;
  if (call->late)
    return HC_ERR_LATE;
  switch (code)
    {
    case CURLE_OK:
      return HC_OK;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      return HC_ERR_CONNECT;
    case CURLE_OPERATION_TIMEDOUT:
      return HC_ERR_TIMEOUT;
    case CURLE_OUT_OF_MEMORY:
      return HC_ERR_MEMORY;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return HC_ERR_REQUEST;
    default:
      return HC_ERR_CONNECTION_LOST;
    }
}

/* Before the callback, which may send the next call.  */
static void
judge_connections (struct hc_call *call, const struct hc_response *response)
{
  int64_t now_ms = clk_monotonic_ms (NULL);

  if (response->error == HC_OK && call->connection != NULL)
    call->connection->answered_ms = now_ms;
  release_connection (call);
  if (response->error == HC_ERR_TIMEOUT && response->reused_connection
      && now_ms - call->sent_ms <= call->timeout_ms + TIMEOUT_LATE_MS)
    shut_down_doubtful_connections (call);
}

static void
finish_call (struct hc_call *call, CURLcode code)
{
  struct hc_response response = { .call = call };
  long request_size_bytes = 0;
  long new_connections = 0;

  response.error = error_from_curl (code, call);
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &response.status);
  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &request_size_bytes);
  response.maybe_sent = request_size_bytes > 0;
  if (response.error == HC_ERR_TIMEOUT && !response.maybe_sent)
    response.error = HC_ERR_CONNECT;
  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &new_connections);
  response.reused_connection = response.maybe_sent && new_connections == 0;
  judge_connections (call, &response);
  response.body = call->body == NULL ? "" : call->body;
  response.body_size_bytes = call->body_size_bytes;
  call->callback (call->ctx, &response);
  call_free (call);
}

static void
finish_completed_calls (struct hc_client *client)
{
  CURLMsg *message;
  struct hc_call *call;
  CURLcode code;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      code = message->data.result;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      finish_call (call, code);
    }
}

/* --- Running libcurl from the event loop --- */

static void
on_socket_event (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct watched_socket *watched = watcher->data;
  struct hc_client *client = watched->client;
  enum ll_part outer = ll_enter (client->load_part);
  int action = 0;
  int running;

  (void)loop;
  if (events & EV_READ)
    action |= CURL_CSELECT_IN;
  if (events & EV_WRITE)
    action |= CURL_CSELECT_OUT;
  curl_multi_socket_action (client->multi, watcher->fd, action, &running);
  finish_completed_calls (client);
  ll_leave (outer);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct hc_client *client = watcher->data;
  enum ll_part outer = ll_enter (client->load_part);
  int running;

  (void)loop;
  (void)events;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed_calls (client);
  ll_leave (outer);
}

static int
on_timer_change (CURLM *multi, long timeout_ms, void *ctx)
{
  struct hc_client *client = ctx;

  (void)multi;
  ev_timer_stop (client->loop, &client->timer);
  if (timeout_ms < 0)
    return 0;
  ev_now_update (client->loop);
  ev_timer_set (&client->timer, (ev_tstamp)timeout_ms / 1000.0, 0.0);
  ev_timer_start (client->loop, &client->timer);
  return 0;
}

static int
on_socket_change (CURL *easy, curl_socket_t fd, int what, void *ctx,
                  void *socket_ctx)
{
  struct hc_client *client = ctx;
  struct watched_socket *watched = socket_ctx;
  struct hc_call *call = NULL;
  int events = 0;

  if (watched != NULL)
    ev_io_stop (client->loop, &watched->io);
  if (what == CURL_POLL_REMOVE)
    {
      free (watched);
      curl_multi_assign (client->multi, fd, NULL);
      return 0;
    }
  if (watched == NULL)
    {
      watched = calloc (1, sizeof *watched);
      if (watched == NULL)
        return -1;
      watched->client = client;
      curl_multi_assign (client->multi, fd, watched);
    }
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &call);
  if (call != NULL)
    use_connection (call, (int)fd);
  if (what & CURL_POLL_IN)
    events |= EV_READ;
  if (what & CURL_POLL_OUT)
    events |= EV_WRITE;
  ev_io_init (&watched->io, on_socket_event, (int)fd, events);
  watched->io.data = watched;
  ev_io_start (client->loop, &watched->io);
  return 0;
}

/* --- Calls --- */

static size_t
on_response_body (char *data, size_t unit_bytes, size_t units, void *ctx)
{
  struct hc_call *call = ctx;
  size_t size_bytes = unit_bytes * units;
  size_t needed = call->body_size_bytes + size_bytes + 1;
  size_t capacity = call->body_capacity_bytes;
  char *grown;

  if (needed - 1 > call->limit_bytes)
    {
      call->too_large = true;
      return 0;
    }
  if (needed > capacity)
    {
      capacity = capacity == 0 ? BODY_INITIAL_CAPACITY_BYTES : capacity;
      while (capacity < needed)
        capacity *= 2;
      grown = realloc (call->body, capacity);
      if (grown == NULL)
        return 0;
      call->body = grown;
      call->body_capacity_bytes = capacity;
    }
  memcpy (call->body + call->body_size_bytes, data, size_bytes);
  call->body_size_bytes += size_bytes;
  call->body[call->body_size_bytes] = '\0';
  return size_bytes;
}

/* Called before each sending of a request.  When a reused connection closes
   without a response, libcurl resends the request on its own, although the
   first copy may have taken effect.  */
static int
on_sending (void *ctx, char *server_address, char *own_address,
            int server_port, int own_port)
{
  struct hc_call *call = ctx;
  long sent_bytes = 0;

  (void)server_address;
  (void)own_address;
  (void)server_port;
  (void)own_port;
  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  if (sent_bytes > 0)
    return CURL_PREREQFUNC_ABORT;
  call->late = clk_monotonic_ms (NULL) > call->send_by_ms;
  return call->late ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/* Requests without a body other than GET use a new connection, on which
   libcurl does not resend, unless the request is repeatable.  */
static bool
set_request_body (struct hc_call *call, const struct hc_request *request)
{
  CURL *easy = call->easy;

  if (request->body_size_bytes == 0 && !request->repeatable
      && strcmp (request->method, "GET") != 0)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  if (request->body == NULL)
    return true;
  call->request_body = malloc (MAX (request->body_size_bytes, 1));
  if (call->request_body == NULL)
    return false;
  memcpy (call->request_body, request->body, request->body_size_bytes);
  curl_easy_setopt (easy, CURLOPT_POST, 1L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)request->body_size_bytes);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->request_body);
  if (!request->repeatable)
    {
      curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_sending);
      curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
    }
  return true;
}

static bool
append_header (struct hc_call *call, const char *header)
{
  struct curl_slist *grown = curl_slist_append (call->headers, header);

  if (grown == NULL)
    return false;
  call->headers = grown;
  return true;
}

/* Overrides two defaults of libcurl: waiting for "100 Continue", and the
   content type of an HTML form.  */
static bool
set_headers (struct hc_call *call, const struct hc_request *request)
{
  size_t i;

  if (!append_header (call, "Expect:")
      || !append_header (call, "Content-Type: application/octet-stream"))
    return false;
  for (i = 0; request->headers != NULL && request->headers[i] != NULL; i++)
    if (!append_header (call, request->headers[i]))
      return false;
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  return true;
}

static void
set_options (struct hc_call *call, const struct hc_request *request)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, on_socket_open);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, call);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, on_socket_close);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, call->client);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_response_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)request->connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
}

/* The part of a URL that names its server.  */
static char *
server_of_url (const char *url)
{
  const char *scheme_end = strstr (url, "://");
  const char *begin = scheme_end == NULL ? url : scheme_end + 3;

  return g_strndup (begin, strcspn (begin, "/?#"));
}

int
hc_send (struct hc_client *client, const struct hc_request *request,
         struct hc_call **out)
{
  struct hc_call *call = calloc (1, sizeof *call);

  assert (request->callback != NULL);
  if (call == NULL)
    return HC_ERR_MEMORY;
  call->client = client;
  call->callback = request->callback;
  call->ctx = request->ctx;
  call->limit_bytes = request->response_limit_bytes;
  call->server = server_of_url (request->url);
  call->sent_ms = clk_monotonic_ms (NULL);
  call->send_by_ms = request->send_within_ms == 0
                         ? INT64_MAX
                         : call->sent_ms + request->send_within_ms;
  call->timeout_ms = request->timeout_ms;
  call->link.data = call;
  g_queue_push_tail_link (&client->calls, &call->link);
  call->easy = take_handle (client);
  if (call->easy == NULL)
    goto fail;
  set_options (call, request);
  if (!set_headers (call, request) || !set_request_body (call, request))
    goto fail;
  if (curl_multi_add_handle (client->multi, call->easy) != CURLM_OK)
    goto fail;
  if (out != NULL)
    *out = call;
  return HC_OK;

fail:
  call_free (call);
  return HC_ERR_MEMORY;
}

void
hc_cancel (struct hc_call *call)
{
  call_free (call);
}

const char *
hc_response_header (const struct hc_response *response, const char *name)
{
  struct curl_header *header;

  if (curl_easy_header (response->call->easy, name, 0, CURLH_HEADER, -1,
                        &header)
      != CURLHE_OK)
    return NULL;
  return header->value;
}

/* --- The client --- */

int
hc_create (struct hc_client **out, const struct hc_params *params)
{
  struct hc_client *client = calloc (1, sizeof *client);

  if (client == NULL)
    return HC_ERR_MEMORY;
  client->loop = params->loop;
  client->load_part = params->load_part;
  g_queue_init (&client->calls);
  client->connections
      = g_hash_table_new_full (NULL, NULL, NULL, connection_free);
  client->multi = curl_multi_init ();
  if (client->multi == NULL)
    {
      g_hash_table_destroy (client->connections);
      free (client);
      return HC_ERR_MEMORY;
    }
  ev_init (&client->timer, on_timer);
  client->timer.data = client;
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     (long)params->host_connection_limit);
  if (params->idle_connection_limit > 0)
    curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                       (long)params->idle_connection_limit);
  *out = client;
  return HC_OK;
}

void
hc_free (struct hc_client *client)
{
  if (client == NULL)
    return;
  while (!g_queue_is_empty (&client->calls))
    call_free (g_queue_peek_head (&client->calls));
  while (client->idle_handle_count > 0)
    curl_easy_cleanup (take_handle (client));
  curl_multi_cleanup (client->multi);
  g_hash_table_destroy (client->connections);
  ev_timer_stop (client->loop, &client->timer);
  free (client);
}

const char *
hc_strerror (int error)
{
  switch (error)
    {
    case HC_OK:
      return "no error";
    case HC_ERR_MEMORY:
      return "out of memory";
    case HC_ERR_CONNECT:
      return "no connection";
    case HC_ERR_TIMEOUT:
      return "no answer in time";
    case HC_ERR_CONNECTION_LOST:
      return "connection broken";
    case HC_ERR_TOO_LARGE:
      return "answer too large";
    case HC_ERR_REQUEST:
      return "request not valid";
    case HC_ERR_LATE:
      return "not sent in time";
    default:
      return "unknown error";
    }
}
