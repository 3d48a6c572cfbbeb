/* Tests of the client of a worker's interface: request bodies, malformed
   answers, calls to a server on the same event loop, and renewal shares.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http/http_server.h"
#include "lease/lease.h"
#include "lease/renewal_rank.h"

enum
{
  HOSTS = 7,
  WORKERS = 3300
};

static int
decode_error (enum ls_kind kind, long status, const char *body)
{
  struct ls_answer answer;
  int error;

  ls_decode (&answer, kind, status, body, strlen (body));
  error = answer.error;
  ls_answer_clear (&answer);
  return error;
}

static void
test_requests (void)
{
  static const struct ls_task task = { .task = 3, .accelerators = 6 };
  static const struct ls_attempt job = { .job = "j", .attempt = 2 };
  struct ls_request request = { .kind = LS_LEASE,
                                .term = 4,
                                .attempt = job,
                                .host = "h",
                                .ttl_ms = 50,
                                .tasks = &task,
                                .task_count = 1,
                                .renewed_attempts = &job,
                                .renewed_attempt_count = 1,
                                .acknowledged_seq = 9,
                                .payload = "{\"run_ms\":1}",
                                .payload_size_bytes = 12,
                                .start_progress_ms = 8 };
  char *body = ls_encode (&request);

  CU_ASSERT_STRING_EQUAL (
      body, "{\"term\":4,\"job\":\"j\",\"attempt\":2,\"host\":\"h\","
            "\"ttl_ms\":50,\"tasks\":[{\"task\":3,\"cpus_milli\":0,"
            "\"memory_mb\":0,\"accelerators\":6}]}");
  free (body);
  request.kind = LS_START;
  body = ls_encode (&request);
  CU_ASSERT_STRING_EQUAL (body,
                          "{\"term\":4,\"job\":\"j\",\"attempt\":2,"
                          "\"payload\":{\"run_ms\":1,\"start_at_ms\":8}}");
  free (body);
  request.kind = LS_RENEW;
  body = ls_encode (&request);
  CU_ASSERT_STRING_EQUAL (body, "{\"term\":4,\"host\":\"h\",\"ttl_ms\":50,"
                                "\"seen\":9,\"jobs\":[[\"j\",2]]}");
  free (body);
  request.kind = LS_START;
  request.payload = "[1]";
  request.payload_size_bytes = 3;
  CU_ASSERT_PTR_NULL (ls_encode (&request));
}

static void
test_renew_answer (void)
{
  static const char body[]
      = "{\"boot\":5,\"term\":6,\"unknown\":[[\"x\",1]],\"leases\":[],"
        "\"events\":[{\"seq\":2251799813685249,\"job\":\"j\",\"attempt\":1,"
        "\"task\":0,\"kind\":\"ended\",\"ok\":true,\"lapsed\":false,"
        "\"detail\":\"\",\"output\":\"o\"}],"
        "\"usage\":[{\"job\":\"j\",\"attempt\":1,\"task\":0,"
        "\"cpus_milli\":1,\"memory_mb\":2,\"progress_ms\":3}]}";
  struct ls_answer answer;

  ls_decode (&answer, LS_RENEW, 200, body, strlen (body));
  CU_ASSERT_EQUAL_FATAL (answer.error, LS_OK);
  CU_ASSERT_EQUAL (answer.worker_boot_id, 5);
  CU_ASSERT_EQUAL (answer.term, 6);
  CU_ASSERT_EQUAL_FATAL (answer.event_count, 1);
  CU_ASSERT_EQUAL (answer.events[0].seq, 2251799813685249U);
  CU_ASSERT_STRING_EQUAL (answer.events[0].output, "o");
  CU_ASSERT_EQUAL_FATAL (answer.unknown_count, 1);
  CU_ASSERT_STRING_EQUAL (answer.unknown[0].job, "x");
  CU_ASSERT_EQUAL_FATAL (answer.usage_count, 1);
  CU_ASSERT_EQUAL (answer.usage[0].progress_ms, 3);
  ls_answer_clear (&answer);
}

/* None of these answers may be read as a success, nor as a refusal without
   effect.  */
static void
test_bad_answers (void)
{
  static const struct
  {
    enum ls_kind kind;
    const char *body;
  } cases[] = {
    { LS_LEASE, "" },
    { LS_LEASE, "{" },
    { LS_LEASE, "[]" },
    { LS_LEASE, "{\"granted\":false,\"boot\":1}" },
    { LS_LEASE, "{\"granted\":true}" },
    { LS_LEASE, "{\"granted\":true,\"boot\":-1}" },
    { LS_LEASE, "{\"granted\":\"true\",\"boot\":1}" },
    { LS_START, "\"ok\"" },
    { LS_STOP, "{\"stopped\":true}" },
    { LS_STOP, "{\"stopped\":false,\"started\":false}" },
    { LS_STOP, "{\"stopped\":true,\"started\":0}" },
    { LS_CHECKPOINT, "{\"progress_ms\":-5}" },
    { LS_CHECKPOINT, "{\"progress_ms\":1.5}" },
    { LS_RENEW, "{}" },
    { LS_RENEW, "{\"boot\":1,\"events\":{}}" },
    { LS_RENEW, "{\"boot\":1,\"unknown\":[[\"j\"]]}" },
    { LS_RENEW, "{\"boot\":1,\"unknown\":[[\"j\",4294967296]]}" },
    { LS_RENEW, "{\"boot\":1,\"events\":[{\"seq\":1}]}" },
    { LS_RENEW, "{\"boot\":1,\"events\":[{\"seq\":1,\"job\":\"j\","
                "\"attempt\":1,\"task\":0,\"kind\":\"else\",\"ok\":true}]}" },
    { LS_RENEW, "{\"boot\":1,\"events\":[{\"seq\":1,\"job\":\"j\","
                "\"attempt\":1,\"task\":0,\"kind\":\"ended\",\"ok\":1}]}" },
    { LS_RENEW, "{\"boot\":1,\"usage\":[3]}" },
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int error = decode_error (cases[i].kind, 200, cases[i].body);

      if (error != LS_ERR_MALFORMED_ANSWER)
        printf ("malformed answer %zu was read as: %s\n", i,
                ls_strerror (error));
      CU_ASSERT_EQUAL (error, LS_ERR_MALFORMED_ANSWER);
    }
}

static void
test_refusals (void)
{
  CU_ASSERT_EQUAL (decode_error (LS_LEASE, 409, "{\"error\":\"busy\"}"),
                   LS_ERR_BUSY);
  CU_ASSERT_EQUAL (decode_error (LS_LEASE, 409, "{\"error\":\"ended\"}"),
                   LS_ERR_ATTEMPT_OVER);
  CU_ASSERT_EQUAL (decode_error (LS_START, 409, "{\"error\":\"no_lease\"}"),
                   LS_ERR_NO_LEASE);
  CU_ASSERT_EQUAL (decode_error (LS_STOP, 409, "{\"error\":\"stale_term\"}"),
                   LS_ERR_STALE_TERM);
  CU_ASSERT_EQUAL (decode_error (LS_START, 409, "{\"error\":\"else\"}"),
                   LS_ERR_REFUSED);
  CU_ASSERT_EQUAL (decode_error (LS_START, 409, "nothing"),
                   LS_ERR_MALFORMED_ANSWER);
  CU_ASSERT_EQUAL (decode_error (LS_START, 302, "{}"),
                   LS_ERR_MALFORMED_ANSWER);
  CU_ASSERT_EQUAL (decode_error (LS_START, 500, "{\"error\":\"busy\"}"),
                   LS_ERR_UNKNOWN);
  CU_ASSERT_FALSE (ls_may_have_taken_effect (LS_ERR_BUSY));
  CU_ASSERT_FALSE (ls_may_have_taken_effect (LS_ERR_NOT_SENT));
  CU_ASSERT_TRUE (ls_may_have_taken_effect (LS_ERR_UNKNOWN));
  CU_ASSERT_TRUE (ls_may_have_taken_effect (LS_ERR_MALFORMED_ANSWER));
}

/* ===== Calls ================================================== */

struct fixture
{
  struct hs_server *server;
  struct hc_client *client;
  char path[32];
  int error;
  bool started;
  bool drop;
};

static void
on_request (void *ctx, struct hs_request *request)
{
  static const char body[] = "{\"stopped\":true,\"started\":true}";
  struct fixture *f = ctx;

  g_strlcpy (f->path, hs_path (request), sizeof f->path);
  if (f->drop)
    hs_close_without_response (request);
  else
    hs_respond (request, 200, NULL, 0, body, strlen (body));
}

static void
on_answer (void *ctx, const struct ls_answer *answer)
{
  struct fixture *f = ctx;

  f->error = answer->error;
  f->started = answer->started;
  ev_break (EV_DEFAULT, EVBREAK_ALL);
}

static void
stop_and_wait (struct fixture *f, uint16_t port)
{
  struct ls_target target = { .address = "127.0.0.1", .port = port };
  struct ls_request request
      = { .kind = LS_STOP, .attempt = { .job = "j", .attempt = 1 } };
  struct ls_call *call;

  f->error = LS_OK;
  CU_ASSERT_EQUAL_FATAL (
      ls_send (f->client, &target, &request, 2000, on_answer, f, &call),
      LS_OK);
  ev_run (EV_DEFAULT, 0);
}

static void
test_calls (void)
{
  struct fixture f = { 0 };
  struct hs_params server = { .loop = EV_DEFAULT,
                              .address = "127.0.0.1",
                              .connection_limit = 10,
                              .body_limit_bytes = 1000,
                              .receive_timeout_ms = 1000,
                              .handler = on_request,
                              .ctx = &f };
  struct hc_params client = { .loop = EV_DEFAULT };
  uint16_t port;

  CU_ASSERT_EQUAL_FATAL (hs_create (&f.server, &server), HS_OK);
  CU_ASSERT_EQUAL_FATAL (hc_create (&f.client, &client), HC_OK);
  port = hs_port (f.server);
  stop_and_wait (&f, port);
  CU_ASSERT_EQUAL (f.error, LS_OK);
  CU_ASSERT_TRUE (f.started);
  CU_ASSERT_STRING_EQUAL (f.path, "/stop");
  f.drop = true;
  stop_and_wait (&f, port);
  CU_ASSERT_EQUAL (f.error, LS_ERR_UNKNOWN);
  hs_free (f.server);
  stop_and_wait (&f, port);
  CU_ASSERT_EQUAL (f.error, LS_ERR_NOT_SENT);
  hc_free (f.client);
}

/* ===== Shares ================================================= */

/* Each worker has one host of rank 0; a host that leaves moves only its own
   workers; the shares are about equal.  */
static void
test_shares (void)
{
  static const char *const hosts[HOSTS]
      = { "e1", "e2", "e3", "e4", "e5", "e6", "e7" };
  size_t share[HOSTS] = { 0 };
  char worker[16];
  size_t owners;
  size_t w;
  size_t h;

  for (w = 0; w < WORKERS; w++)
    {
      snprintf (worker, sizeof worker, "w%zu", w);
      owners = 0;
      for (h = 0; h < HOSTS; h++)
        if (ls_renewal_rank (worker, hosts, HOSTS, h) == 0)
          {
            owners++;
            share[h]++;
            if (h < HOSTS - 1)
              CU_ASSERT_EQUAL (ls_renewal_rank (worker, hosts, HOSTS - 1, h),
                               0);
          }
      CU_ASSERT_EQUAL (owners, 1);
    }
  for (h = 0; h < HOSTS; h++)
    {
      CU_ASSERT_TRUE (share[h] > WORKERS / HOSTS * 3 / 4);
      CU_ASSERT_TRUE (share[h] < WORKERS / HOSTS * 5 / 4);
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("lease", NULL, NULL);
  CU_add_test (suite, "requests", test_requests);
  CU_add_test (suite, "renew answer", test_renew_answer);
  CU_add_test (suite, "bad answers", test_bad_answers);
  CU_add_test (suite, "refusals", test_refusals);
  CU_add_test (suite, "calls", test_calls);
  CU_add_test (suite, "shares", test_shares);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
