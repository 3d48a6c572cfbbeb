/* The HTTP client calls the HTTP server in one process, on one event loop.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http_client.h"
#include "http/http_server.h"

enum
{
  BODY_LIMIT_BYTES = 100
};

struct fixture
{
  struct hb_budget budget; /* used if its limit is above 0 */
  int sheds[HS_SHED_COUNT];
  bool body_left_out; /* of the last request */
  struct ev_loop *loop;
  struct hs_server *server;
  struct hc_client *client;
  struct hs_request *unanswered;
  ev_timer delay;
  int answers; /* calls of the client's callback */
  int disconnects;
  int drops; /* requests closed without a response */
  int error;
  bool maybe_sent;
  bool reused_connection;
  bool has_kind; /* the response has the header X-Kind */
  bool has_mark; /* the request that the server has, has the header X-Mark */
  char method[16];
  long status;
  char body[256];
};

static void
answer_late_request (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct fixture *f = watcher->data;
  struct hs_header header = { "X-Kind", "late" };

  (void)loop;
  (void)events;
  hs_respond (f->unanswered, 200, &header, 1, "late", 4);
}

static void
on_request (void *ctx, struct hs_request *request)
{
  struct fixture *f = ctx;
  const char *body;
  size_t size_bytes;

  f->has_mark = hs_header (request, "X-Mark") != NULL;
  snprintf (f->method, sizeof f->method, "%s", hs_method (request));
  f->body_left_out = hs_body_left_out (request);
  if (strcmp (hs_path (request), "/hold") == 0)
    {
      f->unanswered = request;
      return;
    }
  if (strcmp (hs_path (request), "/late") == 0)
    {
      f->unanswered = request;
      ev_timer_init (&f->delay, answer_late_request, 0.02, 0.0);
      f->delay.data = f;
      ev_timer_start (f->loop, &f->delay);
      return;
    }
  if (strcmp (hs_path (request), "/drop") == 0)
    {
      f->drops++;
      hs_close_without_response (request);
      return;
    }
  body = hs_body (request, &size_bytes);
  hs_respond (request, 200, NULL, 0, body, size_bytes);
}

static void
on_answer (void *ctx, const struct hc_response *response)
{
  struct fixture *f = ctx;

  f->answers++;
  f->error = response->error;
  f->maybe_sent = response->maybe_sent;
  f->reused_connection = response->reused_connection;
  f->status = response->status;
  f->has_kind = hc_response_header (response, "X-Kind") != NULL;
  snprintf (f->body, sizeof f->body, "%s", response->body);
  ev_break (f->loop, EVBREAK_ALL);
}

static bool
is_body_needed (void *ctx, struct hs_request *request)
{
  (void)ctx;
  return strcmp (hs_path (request), "/none") != 0;
}

static void
on_shed (void *ctx, enum hs_shed why)
{
  ((struct fixture *)ctx)->sheds[why]++;
}

/* LIMIT_BYTES: of a budget for callers; 0: none.  */
static void
setup_with_budget (struct fixture *f, uint64_t limit_bytes,
                   uint64_t body_limit_bytes)
{
  struct hs_params server = { .loop = EV_DEFAULT,
                              .address = "127.0.0.1",
                              .connection_limit = 10,
                              .body_limit_bytes = body_limit_bytes,
                              .receive_timeout_ms = 1000,
                              .handler = on_request,
                              .ctx = f };
  struct hc_params client = { .loop = EV_DEFAULT };

  memset (f, 0, sizeof *f);
  if (limit_bytes > 0)
    {
      hb_init (&f->budget, limit_bytes);
      server.budget = &f->budget;
      server.body_needed = is_body_needed;
      server.on_shed = on_shed;
    }
  f->loop = EV_DEFAULT;
  CU_ASSERT_EQUAL_FATAL (hs_create (&f->server, &server), HS_OK);
  CU_ASSERT_EQUAL_FATAL (hc_create (&f->client, &client), HC_OK);
}

static void
setup (struct fixture *f)
{
  setup_with_budget (f, 0, BODY_LIMIT_BYTES);
}

static void
teardown (struct fixture *f)
{
  hc_free (f->client);
  hs_free (f->server);
}

static void
call_and_wait (struct fixture *f, const char *path, const char *body,
               uint16_t port)
{
  char url[100];
  struct hc_request request = { .method = "POST",
                                .url = url,
                                .body = body,
                                .body_size_bytes = strlen (body),
                                .timeout_ms = 2000,
                                .connect_timeout_ms = 1000,
                                .response_limit_bytes = 1000,
                                .callback = on_answer,
                                .ctx = f };

  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", port, path);
  CU_ASSERT_EQUAL_FATAL (hc_send (f->client, &request, NULL), HC_OK);
  ev_run (f->loop, 0);
}

static void
test_responds_at_once_and_later (void)
{
  struct fixture f;

  setup (&f);
  call_and_wait (&f, "/echo", "abc", hs_port (f.server));
  CU_ASSERT_EQUAL (f.error, HC_OK);
  CU_ASSERT_EQUAL (f.status, 200);
  CU_ASSERT_STRING_EQUAL (f.body, "abc");
  call_and_wait (&f, "/late", "", hs_port (f.server));
  CU_ASSERT_EQUAL (f.status, 200);
  CU_ASSERT_STRING_EQUAL (f.body, "late");
  CU_ASSERT_EQUAL (f.answers, 2);
  teardown (&f);
}

static void
test_body_limit (void)
{
  struct fixture f;
  char body[BODY_LIMIT_BYTES + 2];

  setup (&f);
  memset (body, 'x', sizeof body);
  body[sizeof body - 1] = '\0';
  call_and_wait (&f, "/echo", body, hs_port (f.server));
  CU_ASSERT_EQUAL (f.status, 413);
  body[BODY_LIMIT_BYTES] = '\0';
  call_and_wait (&f, "/echo", body, hs_port (f.server));
  CU_ASSERT_EQUAL (f.status, 200);
  teardown (&f);
}

static void
test_no_connection_means_not_sent (void)
{
  struct fixture f;
  uint16_t port;

  setup (&f);
  port = hs_port (f.server);
  hs_stop_accepting (f.server);
  call_and_wait (&f, "/echo", "abc", port);
  CU_ASSERT_EQUAL (f.error, HC_ERR_CONNECT);
  CU_ASSERT_FALSE (f.maybe_sent);
  teardown (&f);
}

/* Calls one after another may share a handle of libcurl.  */
static void
test_calls_leave_nothing_to_the_next_one (void)
{
  static const char *const marked[] = { "X-Mark: a", NULL };
  struct fixture f;
  char url[100];
  struct hc_request request = { .method = "PUT",
                                .url = url,
                                .headers = marked,
                                .body = "abc",
                                .body_size_bytes = 3,
                                .timeout_ms = 2000,
                                .connect_timeout_ms = 1000,
                                .response_limit_bytes = 1000,
                                .callback = on_answer,
                                .ctx = &f };
  struct hc_request plain = { .method = "GET",
                              .url = url,
                              .timeout_ms = 2000,
                              .connect_timeout_ms = 1000,
                              .response_limit_bytes = 1000,
                              .callback = on_answer,
                              .ctx = &f };
  uint16_t port;

  setup (&f);
  port = hs_port (f.server);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/late", port);
  CU_ASSERT_EQUAL_FATAL (hc_send (f.client, &request, NULL), HC_OK);
  ev_run (f.loop, 0);
  CU_ASSERT_STRING_EQUAL (f.method, "PUT");
  CU_ASSERT_TRUE (f.has_mark);
  CU_ASSERT_TRUE (f.has_kind);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/echo", port);
  CU_ASSERT_EQUAL_FATAL (hc_send (f.client, &plain, NULL), HC_OK);
  ev_run (f.loop, 0);
  CU_ASSERT_EQUAL (f.status, 200);
  CU_ASSERT_STRING_EQUAL (f.method, "GET");
  CU_ASSERT_STRING_EQUAL (f.body, "");
  CU_ASSERT_FALSE (f.has_mark);
  CU_ASSERT_FALSE (f.has_kind);
  call_and_wait (&f, "/echo", "abc", 1); /* nobody listens there */
  CU_ASSERT_EQUAL (f.error, HC_ERR_CONNECT);
  CU_ASSERT_EQUAL (f.status, 0);
  CU_ASSERT_FALSE (f.maybe_sent);
  teardown (&f);
}

/* Many calls at once, each cancelled or answered: more handles than are
   kept.  */
static void
test_many_calls_at_once_end (void)
{
  enum
  {
    CALLS = 100
  };
  struct fixture f;
  struct hc_call *calls[CALLS];
  char url[100];
  struct hc_request request = { .method = "POST",
                                .url = url,
                                .body = "abc",
                                .body_size_bytes = 3,
                                .timeout_ms = 2000,
                                .connect_timeout_ms = 1000,
                                .response_limit_bytes = 1000,
                                .callback = on_answer,
                                .ctx = &f };
  int round;
  int i;

  setup (&f);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/echo", hs_port (f.server));
  for (round = 0; round < 3; round++)
    {
      f.answers = 0;
      for (i = 0; i < CALLS; i++)
        CU_ASSERT_EQUAL_FATAL (hc_send (f.client, &request, &calls[i]), HC_OK);
      for (i = 0; i < CALLS; i += 2)
        hc_cancel (calls[i]);
      while (f.answers < CALLS / 2)
        ev_run (f.loop, EVRUN_ONCE);
      CU_ASSERT_EQUAL (f.answers, CALLS / 2);
    }
  teardown (&f);
}

/* A request on a reused connection that closes without a response may have
   taken effect, so that the client must not send it twice.  libcurl resends
   such requests by default.  */
static void
test_request_is_not_resent (void)
{
  static const char *const bodies[] = { "charge", "" };
  struct fixture f;
  size_t i;

  setup (&f);
  for (i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    {
      f.drops = 0;
      call_and_wait (&f, "/echo", "abc", hs_port (f.server));
      CU_ASSERT_EQUAL (f.status, 200);
      call_and_wait (&f, "/drop", bodies[i], hs_port (f.server));
      CU_ASSERT_EQUAL (f.error, HC_ERR_CONNECTION_LOST);
      CU_ASSERT_TRUE (f.maybe_sent);
      CU_ASSERT_EQUAL (f.drops, 1);
    }
  teardown (&f);
}

/* A request that has waited for a connection for too long is not sent.  */
static void
test_late_request_is_not_sent (void)
{
  struct hc_params one = { .loop = EV_DEFAULT, .host_connection_limit = 1 };
  struct fixture f;
  char hold[100];
  char drop[100];
  struct hc_request first = { .method = "POST",
                              .url = hold,
                              .body = "x",
                              .body_size_bytes = 1,
                              .timeout_ms = 150,
                              .connect_timeout_ms = 100,
                              .response_limit_bytes = 1000,
                              .callback = on_answer,
                              .ctx = &f };
  struct hc_request second = first;

  setup (&f);
  hc_free (f.client);
  CU_ASSERT_EQUAL_FATAL (hc_create (&f.client, &one), HC_OK);
  snprintf (hold, sizeof hold, "http://127.0.0.1:%u/hold", hs_port (f.server));
  snprintf (drop, sizeof drop, "http://127.0.0.1:%u/drop", hs_port (f.server));
  second.url = drop;
  second.timeout_ms = 2000;
  second.send_within_ms = 50;
  CU_ASSERT_EQUAL_FATAL (hc_send (f.client, &first, NULL), HC_OK);
  while (f.unanswered == NULL)
    ev_run (f.loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL_FATAL (hc_send (f.client, &second, NULL), HC_OK);
  while (f.answers < 2)
    ev_run (f.loop, EVRUN_ONCE);
  CU_ASSERT_EQUAL (f.error, HC_ERR_LATE);
  CU_ASSERT_FALSE (f.maybe_sent);
  CU_ASSERT_EQUAL (f.drops, 0);
  teardown (&f);
}

static void
on_gone (void *ctx)
{
  struct fixture *f = ctx;

  f->disconnects++;
}

/* Does nothing; the timer ends the wait in ev_run ().  */
static void
on_wait_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
}

/* Sends a request that the server does not answer, and runs the loop until the
   handler has it.  */
static struct hc_call *
send_unanswered_request (struct fixture *f)
{
  char url[100];
  struct hc_call *unanswered;
  struct hc_request request = { .method = "POST",
                                .url = url,
                                .body = "x",
                                .body_size_bytes = 1,
                                .timeout_ms = 5000,
                                .connect_timeout_ms = 1000,
                                .response_limit_bytes = 1000,
                                .callback = on_answer,
                                .ctx = f };

  snprintf (url, sizeof url, "http://127.0.0.1:%u/hold", hs_port (f->server));
  CU_ASSERT_EQUAL_FATAL (hc_send (f->client, &request, &unanswered), HC_OK);
  while (f->unanswered == NULL)
    ev_run (f->loop, EVRUN_ONCE);
  hs_on_disconnect (f->unanswered, on_gone, f);
  return unanswered;
}

static void
test_caller_disconnects (void)
{
  struct fixture f;
  ev_timer limit;

  setup (&f);
  hc_cancel (send_unanswered_request (&f));
  ev_timer_init (&limit, on_wait_timeout, 2.0, 0.0);
  ev_timer_start (f.loop, &limit);
  while (hs_open_requests (f.server) > 0 && ev_is_active (&limit))
    ev_run (f.loop, EVRUN_ONCE);
  ev_timer_stop (f.loop, &limit);
  CU_ASSERT_EQUAL (f.disconnects, 1);
  CU_ASSERT_EQUAL (hs_open_requests (f.server), 0);
  teardown (&f);
}

static void
test_free_with_unanswered_request (void)
{
  struct fixture f;

  setup (&f);
  send_unanswered_request (&f);
  hs_free (f.server);
  CU_ASSERT_EQUAL (f.disconnects, 1);
  f.server = NULL;
  teardown (&f);
}

static void
run_loop_for (struct fixture *f, double time_s)
{
  ev_timer limit;

  ev_now_update (f->loop);
  ev_timer_init (&limit, on_wait_timeout, time_s, 0.0);
  ev_timer_start (f->loop, &limit);
  while (ev_is_active (&limit))
    ev_run (f->loop, EVRUN_ONCE);
}

static int
connect_to_server (struct fixture *f)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (hs_port (f->server)) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  run_loop_for (f, 0.05); /* until the server has accepted it */
  return fd;
}

/* @return : the status of the response; 0: the connection closed without one,
   or nothing came.  */
static int
status_received (struct fixture *f, int fd)
{
  char text[500] = "";
  int status = 0;

  run_loop_for (f, 0.4);
  if (recv (fd, text, sizeof text - 1, MSG_DONTWAIT) > 0)
    sscanf (text, "HTTP/1.1 %d", &status);
  return status;
}

static const char ECHO[]
    = "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";

/* Guards against an answer that is lost: a host that applies a large
   configuration reads no requests meanwhile, and closed the connection of a
   request that had come in just before the time to receive it was over (day
   scale-1 of the grown anla-rounds, beside busy processes).  */
static void
test_request_received_during_stall_is_served (void)
{
  struct fixture f;
  int fd;

  setup (&f);
  fd = connect_to_server (&f);
  CU_ASSERT_EQUAL (send (fd, ECHO, sizeof ECHO - 1, 0),
                   (ssize_t)sizeof ECHO - 1);
  usleep (1300 * 1000); /* the loop stalls beyond receive_timeout_ms */
  CU_ASSERT_EQUAL (status_received (&f, fd), 200);
  close (fd);
  teardown (&f);
}

/* A caller that reuses its connection after a pause must not meet a connection
   that is just being closed.  */
static void
test_idle_connection_stays_open (void)
{
  struct fixture f;
  int fd;

  setup (&f);
  fd = connect_to_server (&f);
  CU_ASSERT_EQUAL (send (fd, ECHO, sizeof ECHO - 1, 0),
                   (ssize_t)sizeof ECHO - 1);
  CU_ASSERT_EQUAL (status_received (&f, fd), 200);
  run_loop_for (&f, 1.5);
  CU_ASSERT_EQUAL (send (fd, ECHO, sizeof ECHO - 1, MSG_NOSIGNAL),
                   (ssize_t)sizeof ECHO - 1);
  CU_ASSERT_EQUAL (status_received (&f, fd), 200);
  close (fd);
  teardown (&f);
}

/* Sends TEXT, and PIECE every 100 ms.  @return : whether the server closes the
   connection within TIME_S.  */
static bool
is_closed_within (struct fixture *f, const char *text, const char *piece,
                  double time_s)
{
  int fd = connect_to_server (f);
  bool closed = false;
  char byte;
  double waited_s;

  CU_ASSERT_EQUAL (send (fd, text, strlen (text), 0), (ssize_t)strlen (text));
  for (waited_s = 0; waited_s < time_s && !closed; waited_s += 0.1)
    {
      run_loop_for (f, 0.1);
      closed = recv (fd, &byte, 1, MSG_DONTWAIT) == 0
               || send (fd, piece, strlen (piece), MSG_NOSIGNAL) < 0;
    }
  close (fd);
  return closed;
}

/* The time to receive a request stays bounded, also for callers that send a
   byte now and then.  */
static void
test_slow_caller_is_cut_off (void)
{
  struct fixture f;

  setup (&f);
  CU_ASSERT_TRUE (is_closed_within (&f, "", "", 2.0));
  CU_ASSERT_TRUE (
      is_closed_within (&f, "POST /echo HTTP/1.1\r\nA: ", "x", 3.0));
  teardown (&f);
}

/* --- Callers that keep no limits --- */

enum
{
  LONG_BODY_BYTES = 200 * 1000,
  CALLERS_BUDGET_BYTES = 600 * 1000
};

/* Connects, and sends the head and SENT_BYTES of a body.  Returns the socket,
   which does not block.  */
static int
send_body (struct fixture *f, const char *path, size_t announced_bytes,
           size_t sent_bytes)
{
  static const char body[LONG_BODY_BYTES];
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (hs_port (f->server)) };
  char head[200];
  size_t sent = 0;
  ssize_t size;
  int i;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  snprintf (head, sizeof head,
            "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n", path,
            announced_bytes);
  send (fd, head, strlen (head), MSG_NOSIGNAL);
  for (i = 0; i < 2000; i++)
    {
      size = send (fd, body + sent, sent_bytes - sent,
                   MSG_DONTWAIT | MSG_NOSIGNAL);
      sent += size > 0 ? (size_t)size : 0;
      ev_run (f->loop, EVRUN_NOWAIT);
    }
  return fd;
}

static void
test_callers_stay_within_the_budget (void)
{
  struct fixture f;
  int fds[9];
  size_t i;

  setup_with_budget (&f, CALLERS_BUDGET_BYTES, LONG_BODY_BYTES);
  for (i = 0; i < sizeof fds / sizeof fds[0]; i++)
    {
      fds[i] = send_body (&f, "/echo", 60000, 59999);
      CU_ASSERT_TRUE (f.budget.held_bytes <= CALLERS_BUDGET_BYTES);
    }
  CU_ASSERT_TRUE (f.sheds[HS_SHED_MEMORY] > 0);
  call_and_wait (&f, "/echo", "abc", hs_port (f.server));
  CU_ASSERT_EQUAL (f.status, 200);
  CU_ASSERT_STRING_EQUAL (f.body, "abc");
  for (i = 0; i < sizeof fds / sizeof fds[0]; i++)
    close (fds[i]);
  teardown (&f);
  CU_ASSERT_EQUAL (f.budget.held_bytes, 0);
}

static void
test_long_body_is_refused_early (void)
{
  struct fixture f;
  char answer[100] = "";
  int first;
  int second;

  setup_with_budget (&f, CALLERS_BUDGET_BYTES, LONG_BODY_BYTES);
  first = send_body (&f, "/hold", LONG_BODY_BYTES, LONG_BODY_BYTES);
  hb_take (&f.budget, f.budget.holders.head->data, CALLERS_BUDGET_BYTES / 2);
  CU_ASSERT_EQUAL (f.sheds[HS_SHED_EARLY], 0);
  second = send_body (&f, "/echo", LONG_BODY_BYTES, 0);
  CU_ASSERT_EQUAL (f.sheds[HS_SHED_EARLY], 1);
  CU_ASSERT_TRUE (recv (second, answer, sizeof answer - 1, MSG_DONTWAIT) > 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, " 503 "));
  call_and_wait (&f, "/echo", "abc", hs_port (f.server));
  CU_ASSERT_EQUAL (f.status, 200);
  close (first);
  close (second);
  teardown (&f);
}

static void
test_body_that_is_not_needed_is_not_kept (void)
{
  struct fixture f;

  setup_with_budget (&f, CALLERS_BUDGET_BYTES, LONG_BODY_BYTES);
  call_and_wait (&f, "/none", "abc", hs_port (f.server));
  CU_ASSERT_EQUAL (f.status, 200);
  CU_ASSERT_TRUE (f.body_left_out);
  CU_ASSERT_STRING_EQUAL (f.body, "");
  call_and_wait (&f, "/echo", "abc", hs_port (f.server));
  CU_ASSERT_FALSE (f.body_left_out);
  CU_ASSERT_STRING_EQUAL (f.body, "abc");
  teardown (&f);
}

/* The server admits 10 connections, and some more until others are closed.  */
static void
test_idle_connections_make_room (void)
{
  struct fixture f;
  int fds[40];
  size_t i;

  setup_with_budget (&f, UINT64_C (10) * CALLERS_BUDGET_BYTES,
                     LONG_BODY_BYTES);
  for (i = 0; i < sizeof fds / sizeof fds[0]; i++)
    fds[i] = send_body (&f, "/echo", 3, 3);
  CU_ASSERT_TRUE (f.sheds[HS_SHED_CONNECTIONS] >= 30);
  call_and_wait (&f, "/echo", "abc", hs_port (f.server));
  CU_ASSERT_EQUAL (f.status, 200);
  for (i = 0; i < sizeof fds / sizeof fds[0]; i++)
    close (fds[i]);
  teardown (&f);
  CU_ASSERT_EQUAL (f.budget.held_bytes, 0);
}

/* The server admits 10 connections; without a budget it closes none for
   others.  */
static void
test_door_that_was_full_opens_again (void)
{
  struct fixture f;
  int fds[12];
  size_t i;

  setup (&f);
  for (i = 0; i < sizeof fds / sizeof fds[0]; i++)
    fds[i] = send_body (&f, "/echo", 3, 3);
  for (i = 0; i < sizeof fds / sizeof fds[0]; i++)
    close (fds[i]);
  call_and_wait (&f, "/echo", "abc", hs_port (f.server));
  CU_ASSERT_EQUAL (f.status, 200);
  teardown (&f);
}

/* --- A server whose open connections go silent --- */

enum
{
  SILENT_CONNECTIONS_MAX = 8,
  SILENT_TIMEOUT_MS = 150
};

/* Answers each request at once, unless its connection is silent or its path is
   /never.  */
struct silent_server
{
  struct ev_loop *loop;
  ev_io accept;
  ev_io read[SILENT_CONNECTIONS_MAX];
  int accepted;
  int silent; /* the first so many connections are */
};

static void
on_silent_read (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const char answer[] = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";
  struct silent_server *server = watcher->data;
  char text[1000];
  ssize_t size_bytes = recv (watcher->fd, text, sizeof text - 1, 0);

  (void)events;
  if (size_bytes <= 0)
    {
      ev_io_stop (loop, watcher);
      return;
    }
  text[size_bytes] = '\0';
  if (watcher - server->read < server->silent
      || strstr (text, "/never") != NULL)
    return;
  CU_ASSERT_EQUAL (send (watcher->fd, answer, sizeof answer - 1, MSG_NOSIGNAL),
                   (ssize_t)sizeof answer - 1);
}

static void
on_silent_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct silent_server *server = watcher->data;
  ev_io *read = &server->read[server->accepted];
  int fd = accept (watcher->fd, NULL, NULL);

  (void)events;
  CU_ASSERT_FATAL (fd >= 0 && server->accepted < SILENT_CONNECTIONS_MAX);
  server->accepted++;
  ev_io_init (read, on_silent_read, fd, EV_READ);
  read->data = server;
  ev_io_start (loop, read);
}

/* @return : its port.  */
static uint16_t
silent_server_open (struct silent_server *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  memset (server, 0, sizeof *server);
  server->loop = EV_DEFAULT;
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, SILENT_CONNECTIONS_MAX), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (fd, (struct sockaddr *)&address, &size),
                         0);
  ev_io_init (&server->accept, on_silent_accept, fd, EV_READ);
  server->accept.data = server;
  ev_io_start (server->loop, &server->accept);
  return ntohs (address.sin_port);
}

static void
silent_server_close (struct silent_server *server)
{
  int i;

  for (i = 0; i < server->accepted; i++)
    {
      ev_io_stop (server->loop, &server->read[i]);
      close (server->read[i].fd);
    }
  ev_io_stop (server->loop, &server->accept);
  close (server->accept.fd);
}

static void
send_short_call (struct fixture *f, const char *path, uint16_t port)
{
  char url[100];
  struct hc_request request = { .method = "POST",
                                .url = url,
                                .body = "x",
                                .body_size_bytes = 1,
                                .timeout_ms = SILENT_TIMEOUT_MS,
                                .connect_timeout_ms = SILENT_TIMEOUT_MS,
                                .response_limit_bytes = 1000,
                                .callback = on_answer,
                                .ctx = f };

  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", port, path);
  CU_ASSERT_EQUAL_FATAL (hc_send (f->client, &request, NULL), HC_OK);
}

static void
run_until_answers (struct fixture *f, int answers)
{
  while (f->answers < answers)
    ev_run (f->loop, EVRUN_ONCE);
}

/* Calls that are sent together, so that each opens a connection.  */
static void
open_connections (struct fixture *f, uint16_t port, int count)
{
  int i;

  for (i = 0; i < count; i++)
    send_short_call (f, "/echo", port);
  run_until_answers (f, count);
  CU_ASSERT_EQUAL (f->error, HC_OK);
  f->answers = 0;
}

/* Guards against a job that waits beside free workers: all connections to them
   went silent while these were idle, and each call was sent on the next silent
   one.  */
static void
test_one_call_finds_that_idle_connections_are_silent (void)
{
  struct silent_server server;
  struct fixture f;
  uint16_t port = silent_server_open (&server);

  setup (&f);
  open_connections (&f, port, 4);
  CU_ASSERT_EQUAL (server.accepted, 4);
  server.silent = 4;
  send_short_call (&f, "/echo", port);
  run_until_answers (&f, 1);
  CU_ASSERT_EQUAL (f.error, HC_ERR_TIMEOUT);
  CU_ASSERT_TRUE (f.reused_connection);
  send_short_call (&f, "/echo", port);
  run_until_answers (&f, 2);
  CU_ASSERT_EQUAL (f.error, HC_OK);
  CU_ASSERT_FALSE (f.reused_connection);
  send_short_call (&f, "/echo", port);
  run_until_answers (&f, 3);
  CU_ASSERT_EQUAL (f.error, HC_OK);
  CU_ASSERT_TRUE (f.reused_connection);
  CU_ASSERT_EQUAL (server.accepted, 5);
  teardown (&f);
  silent_server_close (&server);
}

/* Of a server that answers some calls only, and of another server.  */
static void
test_connections_that_answer_are_kept (void)
{
  struct silent_server server;
  struct silent_server other;
  struct fixture f;
  uint16_t port = silent_server_open (&server);
  uint16_t other_port = silent_server_open (&other);

  setup (&f);
  open_connections (&f, other_port, 1);
  open_connections (&f, port, 2);
  send_short_call (&f, "/never", port);
  run_loop_for (&f, 0.02);
  send_short_call (&f, "/echo", port);
  run_until_answers (&f, 2);
  CU_ASSERT_EQUAL (f.error, HC_ERR_TIMEOUT);
  send_short_call (&f, "/echo", port);
  run_until_answers (&f, 3);
  CU_ASSERT_EQUAL (f.error, HC_OK);
  send_short_call (&f, "/echo", other_port);
  run_until_answers (&f, 4);
  CU_ASSERT_EQUAL (f.error, HC_OK);
  CU_ASSERT_EQUAL (server.accepted, 2);
  CU_ASSERT_EQUAL (other.accepted, 1);
  teardown (&f);
  silent_server_close (&server);
  silent_server_close (&other);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("http", NULL, NULL);
  CU_add_test (suite, "responds at once and later",
               test_responds_at_once_and_later);
  CU_add_test (suite, "body limit", test_body_limit);
  CU_add_test (suite, "no connection: request not sent",
               test_no_connection_means_not_sent);
  CU_add_test (suite, "caller disconnects", test_caller_disconnects);
  CU_add_test (suite, "server freed with an unanswered request",
               test_free_with_unanswered_request);
  CU_add_test (suite, "calls leave nothing to the next one",
               test_calls_leave_nothing_to_the_next_one);
  CU_add_test (suite, "many calls at once end", test_many_calls_at_once_end);
  CU_add_test (suite, "request is not resent", test_request_is_not_resent);
  CU_add_test (suite, "late request is not sent",
               test_late_request_is_not_sent);
  CU_add_test (suite, "request received during a stall is served",
               test_request_received_during_stall_is_served);
  CU_add_test (suite, "idle connection stays open",
               test_idle_connection_stays_open);
  CU_add_test (suite, "slow caller is cut off", test_slow_caller_is_cut_off);
  CU_add_test (suite, "callers stay within the budget",
               test_callers_stay_within_the_budget);
  CU_add_test (suite, "long body is refused early",
               test_long_body_is_refused_early);
  CU_add_test (suite, "body that is not needed is not kept",
               test_body_that_is_not_needed_is_not_kept);
  CU_add_test (suite, "idle connections make room",
               test_idle_connections_make_room);
  CU_add_test (suite, "door that was full opens again",
               test_door_that_was_full_opens_again);
  CU_add_test (suite, "one call finds that idle connections are silent",
               test_one_call_finds_that_idle_connections_are_silent);
  CU_add_test (suite, "connections that answer are kept",
               test_connections_that_answer_are_kept);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
