/* Tests of the platform's adapter: decoding of documents, also of invalid
   ones, and queries to the advisor.  */

#include <string.h>

#include "check.h"
#include "hostd_fixture.h"
#include "http/http_server.h"
#include "jobs/records.h"
#include "pf_advice.h"
#include "pf_decode.h"
#include "pf_http.h"
#include "pf_worker.h"

enum
{
  MUTATIONS = 20000
};

static const char CONFIG[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
      "\"path_prefix\":\"/q/\",\"target_latency_ms\":250,\"priority\":0,"
      "\"service\":\"s\",\"max_attempts\":3,\"slack_factor\":1.5,"
      "\"public\":false},{\"name\":\"r-2\",\"host\":\"a.example\","
      "\"path_prefix\":\"/q/deep/\",\"priority\":1,\"service\":\"s\","
      "\"public\":true}],\"services\":[{\"name\":\"s\","
      "\"enforces_capacity\":true}],\"limits\":{\"max_body_bytes\":1000},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],"
      "\"guaranteed\":{\"gpu\":72}}]}";

static const char ENTRY[]
    = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
      "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":8},"
      "\"labels\":[\"a\",\"r1-3\"],\"clock_ms\":482113,\"seq\":4}";

static const char JOB[]
    = "{\"spec\":\"text\",\"phases\":[{\"count\":4,\"cpu\":500,"
      "\"mem_mb\":256,\"gpu\":1,\"estimate_ms\":900,\"gang\":true,"
      "\"same_rack\":true,\"affinity\":\"r1-3\",\"requirements\":\"a\","
      "\"anti_affinity\":2},{\"count\":20,\"cpu\":2000,\"mem_mb\":1024,"
      "\"estimate_ms\":7000,\"depends_on\":[0],\"checkpointing\":true}]}";

static void
test_configuration_is_decoded (void)
{
  struct ct_catalog *catalog = NULL;
  const struct ct_queue *queue;
  const char *rest = NULL;

  CU_ASSERT_EQUAL (pf_decode_catalog (&catalog, CONFIG, strlen (CONFIG)),
                   PF_OK);
  CU_ASSERT_EQUAL (catalog->version, 7);
  queue = ct_route_request (catalog, "a.example:8080", "/q/00000000000000aa",
                            &rest);
  CU_ASSERT_STRING_EQUAL (queue->name, "r-1");
  CU_ASSERT_STRING_EQUAL (rest, "00000000000000aa");
  CU_ASSERT_EQUAL (queue->attempt_limit, 3);
  CU_ASSERT_DOUBLE_EQUAL (queue->slack_factor, 1.5, 0.001);
  queue = ct_route_request (catalog, "A.Example", "/q/deep/", &rest);
  CU_ASSERT_STRING_EQUAL (queue->name, "r-2");
  CU_ASSERT_STRING_EQUAL (rest, "");
  CU_ASSERT_TRUE (queue->keyless);
  CU_ASSERT_PTR_NULL (ct_route_request (catalog, "b.example", "/q/", &rest));
  CU_ASSERT_STRING_EQUAL (ct_team_of_key (catalog, "k2")->name, "t");
  CU_ASSERT_PTR_NULL (ct_team_of_key (catalog, "k3"));
  CU_ASSERT_EQUAL (ct_find_team (catalog, "t")->guaranteed_accelerators, 72);
  ct_catalog_free (catalog);
}

static void
test_worker_entry_is_decoded (void)
{
  struct sd_worker_report report = { 0 };
  static const char unknown_state[]
      = "{\"service\":\"s\",\"address\":\"a\",\"capacity\":{},"
        "\"state\":\"odd\"}";

  CU_ASSERT_EQUAL (pf_decode_report (&report, "i-1", ENTRY, strlen (ENTRY)),
                   PF_OK);
  CU_ASSERT_STRING_EQUAL (report.rack, "r1-3");
  CU_ASSERT_EQUAL (report.resources.accelerators, 8);
  CU_ASSERT_FALSE (report.draining);
  sd_worker_report_clear (&report);
  CU_ASSERT_EQUAL (
      pf_decode_report (&report, "i-1", unknown_state, strlen (unknown_state)),
      PF_ERR_FORMAT);
  CU_ASSERT_EQUAL (pf_decode_report (&report, "i-1", "\xff\x00", 2),
                   PF_ERR_FORMAT);
}

static void
test_job_is_decoded_and_survives_its_record (void)
{
  struct jb_spec *spec = NULL;
  struct jb_spec *copy = NULL;
  GByteArray *bytes;

  CU_ASSERT_EQUAL (pf_decode_job (&spec, JOB, strlen (JOB)), PF_OK);
  CU_ASSERT_PTR_NULL (jb_spec_check (spec));
  spec->queue = g_strdup ("r-1");
  bytes = jb_encode_spec (spec);
  CU_ASSERT_EQUAL (jb_decode_spec (&copy, bytes->data, bytes->len), JB_OK);
  CU_ASSERT_EQUAL (copy->step_count, 2);
  CU_ASSERT_TRUE (copy->steps[0].gang && copy->steps[0].one_rack);
  CU_ASSERT_STRING_EQUAL (copy->steps[0].label, "a");
  CU_ASSERT_STRING_EQUAL (copy->steps[0].data_rack, "r1-3");
  CU_ASSERT_EQUAL (copy->steps[0].tasks_per_worker_limit, 2);
  CU_ASSERT_EQUAL (copy->steps[1].depends_on[0], 0);
  CU_ASSERT_TRUE (copy->steps[1].can_checkpoint);
  CU_ASSERT_EQUAL (copy->occurrence_count, 1);
  CU_ASSERT_FALSE (copy->has_due_time);
  g_byte_array_free (bytes, TRUE);
  jb_spec_free (copy);
  jb_spec_free (spec);
}

static void
test_invalid_jobs_are_rejected (void)
{
  static const char *const jobs[]
      = { "{\"spec\":\"x\",\"phases\":[]}",
          "{\"spec\":\"x\",\"phases\":[{\"count\":0}]}",
          "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"depends_on\":[0]}]}",
          "{\"spec\":\"x\",\"phases\":[{\"count\":4000000000}]}",
          "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":-5}]}",
          "{\"spec\":\"x\",\"times\":1000000,\"phases\":[{\"count\":1}]}" };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (jobs); i++)
    {
      struct jb_spec *spec = NULL;

      CU_ASSERT_EQUAL (pf_decode_job (&spec, jobs[i], strlen (jobs[i])),
                       PF_OK);
      CU_ASSERT_PTR_NOT_NULL (jb_spec_check (spec));
      jb_spec_free (spec);
    }
}

static void
decode_all (const char *text, size_t size)
{
  struct ct_catalog *catalog = NULL;
  struct sd_worker_report report = { 0 };
  struct jb_spec *spec = NULL;
  struct jb_spec *record = NULL;
  struct jb_term_record term;

  if (pf_decode_catalog (&catalog, text, size) == PF_OK)
    ct_catalog_free (catalog);
  if (pf_decode_report (&report, "i", text, size) == PF_OK)
    sd_worker_report_clear (&report);
  if (pf_decode_job (&spec, text, size) == PF_OK)
    {
      (void)jb_spec_check (spec);
      jb_spec_free (spec);
    }
  if (jb_decode_spec (&record, (const uint8_t *)text, size) == JB_OK)
    jb_spec_free (record);
  (void)jb_decode_term (&term, (const uint8_t *)text, size);
}

static void
mutate (GRand *chance, char *text, size_t size)
{
  static const char bytes[] = "{}[],:\"0123456789-truefalsn\\\xff\x01";
  int changes = g_rand_int_range (chance, 1, 6);

  while (changes-- > 0)
    text[g_rand_int_range (chance, 0, (gint32)size)]
        = bytes[g_rand_int_range (chance, 0, sizeof bytes - 1)];
}

static void
test_invalid_documents_do_no_harm (void)
{
  static const char *const seeds[] = { CONFIG, ENTRY, JOB };
  GRand *chance = g_rand_new_with_seed (20261204);
  int i;

  for (i = 0; i < MUTATIONS; i++)
    {
      const char *seed = seeds[i % G_N_ELEMENTS (seeds)];
      size_t size = strlen (seed);
      char *text = g_strdup (seed);

      mutate (chance, text, size);
      decode_all (text,
                  (size_t)g_rand_int_range (chance, 0, (gint32)size + 1));
      g_free (text);
    }
  g_rand_free (chance);
  CU_PASS ("invalid documents are rejected without a crash");
}

static void
test_states_are_encoded (void)
{
  char *text = pf_encode_state (JB_COMPLETED);

  CU_ASSERT_STRING_EQUAL (text, "{\"state\":\"completed\"}");
  g_free (text);
}

/* --- The advisor --- */

struct advice
{
  struct ev_loop *loop;
  const char *body; /* of the advisor's answer */
  unsigned int status;
  char *query_body;
  enum ap_result result;
  size_t rows;
  char ticket[32];
  uint32_t validity_ms;
};

static void
on_query (void *ctx, struct hs_request *request)
{
  struct advice *advice = ctx;
  size_t size_bytes;

  g_free (advice->query_body);
  advice->query_body = g_strdup (hs_body (request, &size_bytes));
  hs_respond (request, advice->status, NULL, 0, advice->body,
              strlen (advice->body));
}

static void
on_advice (void *ctx, const struct ap_answer *answer)
{
  struct advice *advice = ctx;

  advice->result = answer->result;
  advice->rows = answer->allowed_count;
  advice->validity_ms = answer->validity_ms;
  if (answer->allowed_count > 0)
    g_strlcpy (advice->ticket, answer->allowed[0].ticket,
               sizeof advice->ticket);
  ev_break (advice->loop, EVBREAK_ONE);
}

static void
test_advisor_is_queried (void)
{
  static const char *const workers[] = { "i-1", "i-2", NULL };
  static const struct
  {
    const char *body;
    size_t rows;
    unsigned int status;
    enum ap_result result;
  } cases[] = {
    { "{\"allowed\":[[\"i-2\",\"t-9\"]],\"validity_ms\":3000}", 1, 200,
      AP_DONE },
    { "{\"allowed\":[]}", 0, 200, AP_DONE },
    { "{\"allowed\":[[1],\"x\",[\"i-1\",null]]}", 0, 200, AP_DONE },
    { "not json", 0, 200, AP_NO_ANSWER },
    { "{}", 0, 429, AP_BUSY },
    { "{}", 0, 500, AP_NO_ANSWER },
  };
  struct advice advice = { .loop = ev_loop_new (EVFLAG_AUTO) };
  struct hs_params params = { .loop = advice.loop,
                              .address = "127.0.0.1",
                              .connection_limit = 4,
                              .body_limit_bytes = 10000,
                              .receive_timeout_ms = 1000,
                              .handler = on_query,
                              .ctx = &advice };
  struct hs_server *server = NULL;
  struct pf_advisor *advisor;
  struct ap_port port;
  char *address;
  size_t i;

  CU_ASSERT_EQUAL_FATAL (hs_create (&server, &params), HS_OK);
  address = g_strdup_printf ("127.0.0.1:%u", hs_port (server));
  advisor = pf_advisor_create (advice.loop, address);
  port = pf_advisor_port (advisor);
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      advice.status = cases[i].status;
      advice.body = cases[i].body;
      port.query (port.ctx, "00000000000000aa.0.1", workers, 1000, on_advice,
                  &advice);
      ev_run (advice.loop, 0);
      CU_ASSERT_EQUAL (advice.result, cases[i].result);
      CU_ASSERT_EQUAL (advice.rows, cases[i].rows);
      if (i == 0)
        {
          CU_ASSERT_STRING_EQUAL (advice.ticket, "t-9");
          CU_ASSERT_EQUAL (advice.validity_ms, 3000);
          CU_ASSERT_STRING_EQUAL (advice.query_body,
                                  "{\"step\":\"00000000000000aa.0.1\","
                                  "\"workers\":[\"i-1\",\"i-2\"]}");
        }
    }
  pf_advisor_free (advisor);
  hs_free (server);
  ev_loop_destroy (advice.loop);
  g_free (advice.query_body);
  g_free (address);
}

/* --- Workers --- */

struct poll
{
  struct ev_loop *loop;
  char *body; /* of the worker's answer */
  guint outcomes;
  bool outcomes_limited;
};

static void
on_poll (void *ctx, struct hs_request *request)
{
  struct poll *poll = ctx;

  hs_respond (request, 200, NULL, 0, poll->body, strlen (poll->body));
}

static void
on_polled (void *ctx, const struct wp_answer *answer)
{
  struct poll *poll = ctx;

  poll->outcomes = answer->outcomes->len;
  poll->outcomes_limited = answer->outcomes_limited;
  ev_break (poll->loop, EVBREAK_ONE);
}

static char *
body_with_outcomes (uint32_t count)
{
  GString *body = g_string_new ("{\"clock_ms\":1,\"finished\":[");
  uint32_t i;

  for (i = 1; i <= count; i++)
    g_string_append_printf (body,
                            "%s[%u,\"00000000000000aa.0.0.%u\",1,"
                            "\"done\",\"\"]",
                            i > 1 ? "," : "", i, i);
  g_string_append (body, "]}");
  return g_string_free (body, FALSE);
}

/* A worker lists 500 outcomes in one answer (review, case 2).  */
static void
test_full_list_of_outcomes_is_recognised (void)
{
  static const struct
  {
    uint32_t outcomes;
    bool limited;
  } cases[] = { { 0, false }, { 499, false }, { 500, true } };
  struct poll poll = { .loop = ev_loop_new (EVFLAG_AUTO) };
  struct hs_params params = { .loop = poll.loop,
                              .address = "127.0.0.1",
                              .connection_limit = 4,
                              .body_limit_bytes = 10000,
                              .receive_timeout_ms = 1000,
                              .handler = on_poll,
                              .ctx = &poll };
  struct wp_renew renewal = { .term = 1, .lease_deadline_ms = -1 };
  struct hs_server *server = NULL;
  struct pf_workers *workers;
  struct wp_target target = { .worker = "w1" };
  struct wp_port port;
  char *address;
  size_t i;

  CU_ASSERT_EQUAL_FATAL (hs_create (&server, &params), HS_OK);
  address = g_strdup_printf ("127.0.0.1:%u", hs_port (server));
  target.address = address;
  workers = pf_workers_create (poll.loop, 16);
  port = pf_workers_port (workers);
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      poll.body = body_with_outcomes (cases[i].outcomes);
      port.renew (port.ctx, &target, &renewal, 1000, on_polled, &poll);
      ev_run (poll.loop, 0);
      CU_ASSERT_EQUAL (poll.outcomes, cases[i].outcomes);
      CU_ASSERT_EQUAL (poll.outcomes_limited, cases[i].limited);
      g_free (poll.body);
    }
  pf_workers_free (workers);
  hs_free (server);
  ev_loop_destroy (poll.loop);
  g_free (address);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "the advisor is queried", test_advisor_is_queried },
    { "a full list of outcomes is recognised",
      test_full_list_of_outcomes_is_recognised },
    { "the configuration is decoded", test_configuration_is_decoded },
    { "a worker's entry is decoded", test_worker_entry_is_decoded },
    { "a job is decoded and survives its record",
      test_job_is_decoded_and_survives_its_record },
    { "invalid jobs are rejected", test_invalid_jobs_are_rejected },
    { "invalid documents do no harm", test_invalid_documents_do_no_harm },
    { "states are encoded", test_states_are_encoded },
  };

  return check_run ("hostd platform", tests, G_N_ELEMENTS (tests));
}
