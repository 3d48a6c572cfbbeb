/* Seeded fuzzing of the server's reading of requests: heads, lengths, chunks
   and bodies, cut and changed at random, sent in random pieces, several on a
   connection.  The server must stay within its budget, give back all that was
   held, and serve an ordinary request afterwards.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http_server.h"

enum
{
  SEED = 20,
  ROUNDS = 10000,
  CONNECTIONS = 12,
  BODY_LIMIT_BYTES = 4000,
  BUDGET_BYTES = 400 * 1000,
  TEXT_MAX_BYTES = 6000
};

struct fuzz
{
  struct ev_loop *loop;
  struct hs_server *server;
  struct hb_budget budget;
  GRand *random;
  struct hs_request *held; /* answered with the next one */
};

static void
on_gone (void *ctx)
{
  ((struct fuzz *)ctx)->held = NULL;
}

static void
answer (struct hs_request *request)
{
  size_t size_bytes = 0;
  const char *body = hs_body (request, &size_bytes);

  CU_ASSERT_TRUE (size_bytes <= BODY_LIMIT_BYTES);
  (void)hs_header (request, "Host");
  (void)hs_query (request, "a");
  hs_respond (request, 200, NULL, 0, body, size_bytes);
}

static void
on_request (void *ctx, struct hs_request *request)
{
  struct fuzz *f = ctx;
  struct hs_request *held = f->held;

  f->held = NULL;
  if (held != NULL)
    {
      hs_on_disconnect (held, NULL, NULL);
      answer (held);
    }
  if (g_rand_int_range (f->random, 0, 4) > 0)
    {
      answer (request);
      return;
    }
  f->held = request;
  hs_on_disconnect (request, on_gone, f);
}

static bool
is_body_needed (void *ctx, struct hs_request *request)
{
  (void)ctx;
  return hs_path (request)[1] != 'n';
}

static int
connect_to (struct fuzz *f)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (hs_port (f->server)) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

static void
run_loop (struct fuzz *f, int times)
{
  while (times-- > 0)
    ev_run (f->loop, EVRUN_NOWAIT);
}

/* A request that may be whole, or have a wrong length or chunk.  */
static GString *
draw_request (GRand *random)
{
  static const char *const methods[]
      = { "GET", "POST", "PUT", "DELETE", "\1" };
  static const char *const paths[]
      = { "/a", "/none?a=%00&a", "/%", "*", "/a?&=" };
  GString *text = g_string_new (NULL);
  int size = g_rand_int_range (random, 0, TEXT_MAX_BYTES);
  int chunk;

  g_string_append_printf (text, "%s %s HTTP/1.%d\r\nHost: a\r\n",
                          methods[g_rand_int_range (random, 0, 5)],
                          paths[g_rand_int_range (random, 0, 5)],
                          g_rand_int_range (random, 0, 3));
  while (g_rand_int_range (random, 0, 3) > 0)
    g_string_append_printf (text, "a%u: 1\r\n", g_rand_int (random) % 10);
  if (g_rand_boolean (random))
    {
      g_string_append_printf (text, "Content-Length: %d\r\n\r\n",
                              size + g_rand_int_range (random, -2, 3));
      while (size-- > 0)
        g_string_append_c (text, (char)g_rand_int_range (random, 0, 256));
      return text;
    }
  g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
  while (size > 0)
    {
      chunk = g_rand_int_range (random, 1, 900);
      size -= chunk;
      g_string_append_printf (text, "%x%s\r\n", (unsigned)chunk,
                              g_rand_int_range (random, 0, 9) ? "" : ";a=b");
      while (chunk-- > 0)
        g_string_append_c (text, 'x');
      g_string_append (text, "\r\n");
    }
  g_string_append (text, "0\r\n\r\n");
  return text;
}

static void
send_mutated (struct fuzz *f, int fd)
{
  GString *text = draw_request (f->random);
  size_t sent = 0;
  size_t piece;
  size_t end = text->len;
  ssize_t size;
  int changes = g_rand_int_range (f->random, -3, 4);

  while (changes-- > 0)
    text->str[g_rand_int (f->random) % text->len]
        = (char)g_rand_int_range (f->random, 0, 256);
  if (g_rand_int_range (f->random, 0, 3) == 0)
    end = g_rand_int (f->random) % text->len;
  while (sent < end)
    {
      piece = 1 + g_rand_int (f->random) % 2000;
      piece = MIN (piece, end - sent);
      size = send (fd, text->str + sent, piece, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (size < 0)
        break; /* closed, or it does not read on */
      sent += (size_t)size;
      run_loop (f, 2);
      CU_ASSERT_TRUE (f->budget.held_bytes <= BUDGET_BYTES);
    }
  g_string_free (text, TRUE);
}

static bool
serves_ordinary_request (struct fuzz *f)
{
  static const char request[] = "POST /a HTTP/1.1\r\nHost: a\r\n"
                                "Content-Length: 3\r\n\r\nabc";
  char text[400] = "";
  int fd = connect_to (f);
  int tries;

  send (fd, request, sizeof request - 1, MSG_NOSIGNAL);
  for (tries = 0; tries < 1000; tries++)
    {
      run_loop (f, 1);
      if (recv (fd, text, sizeof text - 1, MSG_DONTWAIT) > 0)
        break;
      if (f->held != NULL)
        {
          hs_on_disconnect (f->held, NULL, NULL);
          answer (f->held);
          f->held = NULL;
        }
    }
  close (fd);
  return strstr (text, " 200 ") != NULL && strstr (text, "abc") != NULL;
}

static void
test_random_requests_do_no_harm (void)
{
  struct fuzz f = { .loop = EV_DEFAULT };
  struct hs_params params = { .loop = f.loop,
                              .address = "127.0.0.1",
                              .connection_limit = 8,
                              .body_limit_bytes = BODY_LIMIT_BYTES,
                              .receive_timeout_ms = 1000,
                              .handler = on_request,
                              .ctx = &f,
                              .budget = &f.budget,
                              .body_needed = is_body_needed };
  int fds[CONNECTIONS];
  int round;
  int i;

  f.random = g_rand_new_with_seed (SEED);
  hb_init (&f.budget, BUDGET_BYTES);
  CU_ASSERT_EQUAL_FATAL (hs_create (&f.server, &params), HS_OK);
  for (i = 0; i < CONNECTIONS; i++)
    fds[i] = connect_to (&f);
  for (round = 0; round < ROUNDS; round++)
    {
      i = g_rand_int_range (f.random, 0, CONNECTIONS);
      if (g_rand_int_range (f.random, 0, 3) == 0)
        {
          close (fds[i]);
          fds[i] = connect_to (&f);
        }
      send_mutated (&f, fds[i]);
    }
  CU_ASSERT_TRUE (serves_ordinary_request (&f));
  for (i = 0; i < CONNECTIONS; i++)
    close (fds[i]);
  run_loop (&f, 100);
  CU_ASSERT_EQUAL (f.budget.held_bytes, 0);
  hs_free (f.server);
  CU_ASSERT_EQUAL (f.budget.held_bytes, 0);
  g_rand_free (f.random);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  suite = CU_add_suite ("http_fuzz", NULL, NULL);
  CU_ADD_TEST (suite, test_random_requests_do_no_harm);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
