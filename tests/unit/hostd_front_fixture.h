/* Shared by tests of the front: a front on a fake store, a caller, and another
   host that answers what is relayed to it.  */

#ifndef FT_HOSTD_FRONT_FIXTURE_H
#define FT_HOSTD_FRONT_FIXTURE_H

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../programs/foxtailgap-hostd/front.h"
#include "hostd_fixture.h"
#include "hostd_store_fixture.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "jobs/records.h"

enum
{
  PORTS = 3
};

struct setup
{
  struct fake_store store;
  struct ev_loop *loop;
  struct mt_registry *metrics;
  struct journal *journal;
  struct front *front;
  struct hc_client *client;
  struct hostd_settings settings;
  char *addresses[PORTS];
  int answers;
  long status;
  char answer_version[24]; /* catalog version in the answer */
  struct hs_server *peer;  /* another host; NULL: none */
  int peer_requests;
  char
      peer_min_version[24]; /* lowest catalog version that the peer was sent */
  const char *peer_version; /* catalog version in the peer's answers */
};

static inline int
decode_fixture (struct ct_catalog **out, const void *text, size_t size_bytes)
{
  (void)text;
  (void)size_bytes;
  *out = fixture_catalog ();
  (*out)->queues[0].keyless = true;
  return 0;
}

static inline char *
encode_queue_length (uint32_t jobs)
{
  return g_strdup_printf ("%u", jobs);
}

/* Finds addresses that nobody listens on.  */
static inline void
find_addresses (char **addresses)
{
  int sockets[PORTS];
  size_t i;

  for (i = 0; i < PORTS; i++)
    {
      struct sockaddr_in name = { .sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
      socklen_t size_bytes = sizeof name;

      sockets[i] = socket (AF_INET, SOCK_STREAM, 0);
      CU_ASSERT_EQUAL_FATAL (
          bind (sockets[i], (struct sockaddr *)&name, sizeof name), 0);
      CU_ASSERT_EQUAL_FATAL (
          getsockname (sockets[i], (struct sockaddr *)&name, &size_bytes), 0);
      addresses[i] = g_strdup_printf ("127.0.0.1:%u", ntohs (name.sin_port));
    }
  for (i = 0; i < PORTS; i++)
    close (sockets[i]);
}

static inline void
run_for_ms (struct setup *setup, uint32_t time_ms)
{
  int64_t until_ms = clk_monotonic_ms (NULL) + time_ms;

  while (clk_monotonic_ms (NULL) < until_ms)
    {
      ev_run (setup->loop, EVRUN_NOWAIT);
      usleep (1000);
    }
}

static inline void
begin (struct setup *setup)
{
  struct jr_params journal = { .jobs_topic = "jobs",
                               .operator_topic = "operator",
                               .catalog_key = "config",
                               .decode_catalog = decode_fixture };
  struct fr_params front
      = { .dialect = { .key_header = "Key",
                       .deadline_header = "Deadline",
                       .ready_path = "/ready",
                       .metrics_path = "/metrics",
                       .encode_queue_length = encode_queue_length } };
  struct hc_params client = { 0 };

  memset (setup, 0, sizeof *setup);
  find_addresses (setup->addresses);
  setup->loop = ev_loop_new (EVFLAG_AUTO);
  setup->metrics = mt_create ();
  setup->settings = (struct hostd_settings){ .host = (char *)"a",
                                             .caller_memory_mb = 60,
                                             .callers = setup->addresses[0],
                                             .readiness = setup->addresses[1],
                                             .metrics = setup->addresses[2],
                                             .connection_limit = 8,
                                             .body_limit_bytes = 100000,
                                             .receive_timeout_ms = 1000,
                                             .key_validity_ms = 5000 };
  journal.loop = setup->loop;
  journal.metrics = setup->metrics;
  journal.store = fake_store_port (&setup->store);
  setup->journal = jr_create (&journal);
  front.loop = setup->loop;
  front.settings = &setup->settings;
  front.journal = setup->journal;
  front.metrics = setup->metrics;
  setup->front = fr_create (&front);
  CU_ASSERT_PTR_NOT_NULL_FATAL (setup->front);
  client.loop = setup->loop;
  CU_ASSERT_EQUAL_FATAL (hc_create (&setup->client, &client), HC_OK);
  run_for_ms (setup, 10);
}

static inline void
finish (struct setup *setup)
{
  size_t i;

  hc_free (setup->client);
  fr_free (setup->front);
  jr_free (setup->journal);
  mt_free (setup->metrics);
  fake_store_clear (&setup->store);
  ev_loop_destroy (setup->loop);
  for (i = 0; i < PORTS; i++)
    g_free (setup->addresses[i]);
}

static inline void
on_answer (void *ctx, const struct hc_response *response)
{
  struct setup *setup = ctx;

  const char *version = hc_response_header (response, "Foxtailgap-Version");

  setup->answers++;
  setup->status = response->status;
  g_strlcpy (setup->answer_version, version == NULL ? "" : version,
             sizeof setup->answer_version);
}

static inline void
send_get_with_headers (struct setup *setup, const char *path,
                       const char *const *headers)
{
  char *url = g_strdup_printf ("http://%s%s", setup->addresses[0], path);
  struct hc_request request = { .method = "GET",
                                .url = url,
                                .headers = headers,
                                .timeout_ms = 3000,
                                .connect_timeout_ms = 1000,
                                .response_limit_bytes = 1000,
                                .callback = on_answer,
                                .ctx = setup };

  CU_ASSERT_EQUAL_FATAL (hc_send (setup->client, &request, NULL), HC_OK);
  g_free (url);
}

static inline void
send_get (struct setup *setup, const char *path)
{
  static const char *const headers[] = { "Host: h", NULL };

  send_get_with_headers (setup, path, headers);
}

static inline void
answer_read (struct setup *setup, so_read_callback *read, void *ctx,
             const char *key)
{
  GPtrArray *records = so_records_create ();
  struct so_read_answer answer = {
    .result = SO_DONE, .records = records, .next_offset = 2, .at_end = true
  };
  so_read_callback callback = *read;

  CU_ASSERT_PTR_NOT_NULL_FATAL (callback);
  if (key != NULL)
    g_ptr_array_add (records, so_record_create (key, "{}", 2));
  answer.wait_expired = key == NULL;
  *read = NULL;
  if (callback != NULL)
    callback (ctx, &answer);
  g_ptr_array_free (records, TRUE);
  run_for_ms (setup, 20);
}

static inline void
answer_start (struct setup *setup)
{
  struct fake_store *store = &setup->store;

  answer_read (setup, &store->jobs_read, store->jobs_ctx, NULL);
  answer_read (setup, &store->operator_read, store->operator_ctx, "config");
  answer_read (setup, &store->jobs_read, store->jobs_ctx, NULL);
}

/* --- An answer of another host --- */

static inline void
on_peer_request (void *ctx, struct hs_request *request)
{
  struct setup *setup = ctx;

  struct hs_header version
      = { .name = "Foxtailgap-Version", .value = setup->peer_version };

  setup->peer_requests++;
  g_strlcpy (setup->peer_min_version,
             hs_header (request, "Foxtailgap-Version"),
             sizeof setup->peer_min_version);
  hs_respond (request, 200, &version, 1, "{}", 2);
}

/* Starts another host, which the journal knows from its record.  */
static inline void
add_peer (struct setup *setup)
{
  struct hs_params params = { .loop = setup->loop,
                              .address = "127.0.0.1",
                              .connection_limit = 4,
                              .body_limit_bytes = 10000,
                              .receive_timeout_ms = 1000,
                              .handler = on_peer_request,
                              .ctx = setup };
  struct jb_host_record host = { .strength = 1 };
  GPtrArray *records = so_records_create ();
  struct so_read_answer answer = {
    .result = SO_DONE, .records = records, .next_offset = 3, .at_end = true
  };
  so_read_callback callback = setup->store.jobs_read;
  GByteArray *bytes;

  CU_ASSERT_EQUAL_FATAL (hs_create (&setup->peer, &params), HS_OK);
  g_snprintf (host.address, sizeof host.address, "127.0.0.1:%u",
              hs_port (setup->peer));
  bytes = jb_encode_host (&host);
  g_ptr_array_add (records, so_record_create ("h/b", bytes->data, bytes->len));
  g_byte_array_free (bytes, TRUE);
  setup->store.jobs_read = NULL;
  callback (setup->store.jobs_ctx, &answer);
  g_ptr_array_free (records, TRUE);
  run_for_ms (setup, 20);
}

static inline void
answer_operator (struct setup *setup)
{
  answer_read (setup, &setup->store.operator_read, setup->store.operator_ctx,
               NULL);
}

static inline void
wait_for_answers (struct setup *setup, int count)
{
  int64_t until_ms = clk_monotonic_ms (NULL) + 3000;

  while (setup->answers < count && clk_monotonic_ms (NULL) < until_ms)
    run_for_ms (setup, 5);
  CU_ASSERT_EQUAL (setup->answers, count);
}

#endif
