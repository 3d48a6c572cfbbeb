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
  char answer_body[200];
  struct hs_server *peer; /* another host; NULL: none */
  int peer_requests;
  char
      peer_min_version[24]; /* lowest catalog version that the peer was sent */
  const char *peer_version; /* catalog version in the peer's answers; NULL: its
                               answers have none */
  unsigned int peer_status; /* of the peer's answers; 0: 200 */
  const char *peer_body;    /* NULL: "{}" */
};

/* The text is the version, or "{}" for version 1.  */
static inline int
decode_fixture (struct ct_catalog **out, const void *text, size_t size_bytes)
{
  char *version = g_strndup (text, size_bytes);

  *out = fixture_catalog ();
  (*out)->queues[0].keyless = true;
  if (version[0] != '{')
    (*out)->version = g_ascii_strtoll (version, NULL, 10);
  g_free (version);
  return 0;
}

static inline int
decode_fixture_job (struct jb_spec **out, const void *text, size_t size_bytes)
{
  static const struct fixture_step step = { .count = 1 };

  (void)text;
  (void)size_bytes;
  *out = fixture_spec ("", NULL, &step);
  g_clear_pointer (&(*out)->queue, g_free); /* the front sets it */
  return 0;
}

static inline char *
encode_fixture_state (enum jb_state state)
{
  return g_strdup (jb_state_name (state));
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
                       .decode_job = decode_fixture_job,
                       .encode_state = encode_fixture_state,
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
  g_strlcpy (setup->answer_body, response->body == NULL ? "" : response->body,
             sizeof setup->answer_body);
}

static inline void
send_call (struct setup *setup, const char *method, const char *path,
           const char *const *headers)
{
  bool has_body = strcmp (method, "POST") == 0;
  char *url = g_strdup_printf ("http://%s%s", setup->addresses[0], path);
  struct hc_request request = { .method = method,
                                .url = url,
                                .headers = headers,
                                .body = has_body ? "{}" : NULL,
                                .body_size_bytes = has_body ? 2 : 0,
                                .timeout_ms = 3000,
                                .connect_timeout_ms = 1000,
                                .response_limit_bytes = 1000,
                                .callback = on_answer,
                                .ctx = setup };

  CU_ASSERT_EQUAL_FATAL (hc_send (setup->client, &request, NULL), HC_OK);
  g_free (url);
}

static inline void
send_get_with_headers (struct setup *setup, const char *path,
                       const char *const *headers)
{
  send_call (setup, "GET", path, headers);
}

static inline void
send_simple (struct setup *setup, const char *method, const char *path)
{
  static const char *const headers[] = { "Host: h", NULL };

  send_call (setup, method, path, headers);
}

static inline void
send_get (struct setup *setup, const char *path)
{
  send_simple (setup, "GET", path);
}

/* KEY NULL: no record, the wait of the read has expired.  */
static inline void
answer_read_with (struct setup *setup, so_read_callback *read, void *ctx,
                  const char *key, const char *value)
{
  GPtrArray *records = so_records_create ();
  struct so_read_answer answer = {
    .result = SO_DONE, .records = records, .next_offset = 2, .at_end = true
  };
  so_read_callback callback = *read;

  CU_ASSERT_PTR_NOT_NULL_FATAL (callback);
  if (key != NULL)
    g_ptr_array_add (records, so_record_create (key, value, strlen (value)));
  answer.wait_expired = key == NULL;
  *read = NULL;
  if (callback != NULL)
    callback (ctx, &answer);
  g_ptr_array_free (records, TRUE);
  run_for_ms (setup, 20);
}

static inline void
answer_read (struct setup *setup, so_read_callback *read, void *ctx,
             const char *key)
{
  answer_read_with (setup, read, ctx, key, "{}");
}

/* Has the front's journal load the topics, with this configuration.  */
static inline void
answer_start_with (struct setup *setup, const char *configuration)
{
  struct fake_store *store = &setup->store;

  answer_read (setup, &store->jobs_read, store->jobs_ctx, NULL);
  answer_read_with (setup, &store->operator_read, store->operator_ctx,
                    "config", configuration);
  answer_read (setup, &store->jobs_read, store->jobs_ctx, NULL);
}

static inline void
answer_start (struct setup *setup)
{
  answer_start_with (setup, "{}");
}
/* --- An answer of another host --- */

static inline void
on_peer_request (void *ctx, struct hs_request *request)
{
  struct setup *setup = ctx;

  struct hs_header version
      = { .name = "Foxtailgap-Version", .value = setup->peer_version };

  const char *body = setup->peer_body == NULL ? "{}" : setup->peer_body;

  setup->peer_requests++;
  g_strlcpy (setup->peer_min_version,
             hs_header (request, "Foxtailgap-Version"),
             sizeof setup->peer_min_version);
  hs_respond (request, setup->peer_status == 0 ? 200 : setup->peer_status,
              &version, setup->peer_version == NULL ? 0 : 1, body,
              strlen (body));
}

/* Answers the open read of the jobs' topic with one record, and frees VALUE.
 */
static inline void
answer_jobs_record (struct setup *setup, const char *key, GByteArray *value)
{
  GPtrArray *records = so_records_create ();
  struct so_read_answer answer = {
    .result = SO_DONE, .records = records, .next_offset = 3, .at_end = true
  };
  so_read_callback callback = setup->store.jobs_read;

  CU_ASSERT_PTR_NOT_NULL_FATAL (callback);
  g_ptr_array_add (records, so_record_create (key, value->data, value->len));
  g_byte_array_free (value, TRUE);
  setup->store.jobs_read = NULL;
  if (callback != NULL)
    callback (setup->store.jobs_ctx, &answer);
  g_ptr_array_free (records, TRUE);
  run_for_ms (setup, 20);
}

/* Runs until the jobs' topic is read again, after a pause.  */
static inline void
run_until_jobs_read (struct setup *setup)
{
  int64_t until_ms = clk_monotonic_ms (NULL) + 3000;

  while (setup->store.jobs_read == NULL && clk_monotonic_ms (NULL) < until_ms)
    run_for_ms (setup, 5);
  CU_ASSERT_PTR_NOT_NULL_FATAL (setup->store.jobs_read);
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

  CU_ASSERT_EQUAL_FATAL (hs_create (&setup->peer, &params), HS_OK);
  g_snprintf (host.address, sizeof host.address, "127.0.0.1:%u",
              hs_port (setup->peer));
  answer_jobs_record (setup, "h/b", jb_encode_host (&host));
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

/* Makes the other host the planner's host.  */
static inline void
make_peer_the_planner (struct setup *setup)
{
  struct jb_term_record term = { .term = 1, .host = "b" };

  run_until_jobs_read (setup);
  answer_jobs_record (setup, "t", jb_encode_term (&term));
}

/* A read whose wait has expired takes 100 ms longer than its wait.  */
static inline void
make_store_slow (struct setup *setup)
{
  run_until_jobs_read (setup);
  run_for_ms (setup, setup->store.jobs_wait_ms + 100);
  answer_read (setup, &setup->store.jobs_read, setup->store.jobs_ctx, NULL);
  CU_ASSERT_TRUE_FATAL (jr_store_is_slow (setup->journal));
}

#endif
