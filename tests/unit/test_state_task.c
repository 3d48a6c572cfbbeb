/* State tasks of several hosts, which share a log stand-in.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdlib.h>

#include "../../programs/foxtailgapd/messages.h"
#include "../../programs/foxtailgapd/tasks.h"
#include "common/logging.h"
#include "log_fixture.h"

enum
{
  TIMEOUT_MS = 500,
  SNAPSHOT_INTERVAL_MS = 200,
  OUTAGE_MS = 400, /* longer than SNAPSHOT_INTERVAL_MS */
  DEADLINE_MS = 5000,
  HOSTS = 3
};

static const char document[] = "environment: e\nteams:\n- name: a\n";

/* One host: its state task and a subscriber.  */
struct host
{
  struct daemon daemon;
  struct settings settings;
  struct state_task *task;
  struct mb_box *inbox;
  uint64_t term;
  bool holds_term;
  uint64_t revision;
  uint64_t highest_revision;
  int job_messages;
  struct msg_log_status log;
  int answer_count;
  struct msg_appended last_answer; /* the newest one */
};

struct fixture
{
  struct lf_log log;
  struct host hosts[HOSTS];
};

/* ===== Hosts ================================================== */

static void
on_message (void *ctx, int kind, void *body)
{
  struct host *host = ctx;
  const struct msg_term *term = body;

  switch (kind)
    {
    case MSG_TERM:
      host->term = term->term;
      host->holds_term = term->held_here;
      break;
    case MSG_CONFIG:
      host->revision = ((struct msg_config *)body)->revision;
      CU_ASSERT_TRUE (host->revision > host->highest_revision);
      host->highest_revision = host->revision;
      break;
    case MSG_JOB:
      host->job_messages++;
      break;
    case MSG_LOG_STATUS:
      host->log = *(struct msg_log_status *)body;
      break;
    case MSG_APPENDED:
      host->answer_count++;
      host->last_answer = *(struct msg_appended *)body;
      break;
    default:
      break;
    }
  msg_free (kind, body);
}

static void
start_host (struct fixture *f, size_t i)
{
  static char *const names[HOSTS] = { "bole-1", "merkato-1", "kality-1" };
  struct host *host = &f->hosts[i];
  struct settings settings = { .host = names[i],
                               .log_url = f->log.url,
                               .stream = (char *)"ft",
                               .log_timeout_ms = TIMEOUT_MS,
                               .log_commit_ms = 5,
                               .snapshot_interval_ms = SNAPSHOT_INTERVAL_MS,
                               .outcome_window_ms = 3600000 };
  struct msg_subscribe *subscribe = g_new0 (struct msg_subscribe, 1);

  memset (host, 0, sizeof *host);
  host->settings = settings;
  host->daemon.loop = f->log.loop;
  host->daemon.settings = &host->settings;
  host->daemon.metrics = mt_create ();
  host->task = state_create (&host->daemon);
  CU_ASSERT_PTR_NOT_NULL_FATAL (host->task);
  host->inbox = mb_create (f->log.loop, on_message, msg_free, host);
  subscribe->box = host->inbox;
  subscribe->terms = true;
  subscribe->configs = true;
  subscribe->jobs = true;
  subscribe->log = true;
  mb_post (host->daemon.state, MSG_SUBSCRIBE, subscribe);
}

static void
stop_host (struct host *host)
{
  if (host->task == NULL)
    return;
  state_free (host->task);
  mb_free (host->inbox);
  mt_free (host->daemon.metrics);
  host->task = NULL;
}

static void
setup (struct fixture *f)
{
  memset (f, 0, sizeof *f);
  lf_open (&f->log, 0);
}

static void
teardown (struct fixture *f)
{
  size_t i;

  for (i = 0; i < HOSTS; i++)
    stop_host (&f->hosts[i]);
  lf_close (&f->log);
}

/* ===== Records ================================================ */

static void
post_append (struct host *host, const Ft__Record *record, uint32_t deadline_ms)
{
  struct msg_append *append = g_new0 (struct msg_append, 1);

  append->record = *record;
  append->timeout_ms = deadline_ms;
  append->reply = host->inbox;
  host->answer_count = 0;
  mb_post (host->daemon.state, MSG_APPEND, append);
}

static void
claim_term (struct host *host, uint64_t term)
{
  Ft__Record record = FT__RECORD__INIT;

  record.body_case = FT__RECORD__BODY_TERM_CLAIM;
  record.term_claim = g_new (Ft__TermClaim, 1);
  ft__term_claim__init (record.term_claim);
  record.term_claim->term = term;
  record.term_claim->host = g_strdup (host->settings.host);
  post_append (host, &record, DEADLINE_MS);
}

static void
configure (struct host *host, uint64_t base)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__ConfigChange *body = g_new (Ft__ConfigChange, 1);

  record.body_case = FT__RECORD__BODY_CONFIG_CHANGE;
  record.config_change = body;
  ft__config_change__init (body);
  body->base_revision = base;
  body->digest = g_strdup ("digest");
  body->document.data = g_memdup2 (document, sizeof document - 1);
  body->document.len = sizeof document - 1;
  post_append (host, &record, DEADLINE_MS);
}

static void
submit (struct host *host, const char *job, uint32_t deadline_ms)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobSubmit *body = g_new (Ft__JobSubmit, 1);

  record.body_case = FT__RECORD__BODY_JOB_SUBMIT;
  record.job_submit = body;
  ft__job_submit__init (body);
  body->job = g_strdup (job);
  body->spec = g_new (Ft__JobSpec, 1);
  ft__job_spec__init (body->spec);
  body->spec->shape = g_new (Ft__Shape, 1);
  ft__shape__init (body->spec->shape);
  body->spec->shape->tasks = 1;
  post_append (host, &record, deadline_ms);
}

/* ===== Conditions ============================================= */

static bool
is_answered (void *ctx)
{
  return ((struct host *)ctx)->answer_count > 0;
}

static bool
is_caught_up (void *ctx)
{
  const struct host *host = ctx;

  return host->log.up && host->log.caught_up;
}

static bool
is_behind (void *ctx)
{
  return !((struct host *)ctx)->log.caught_up;
}

static bool
is_down (void *ctx)
{
  return !((struct host *)ctx)->log.up;
}

static bool
has_jobs (void *ctx)
{
  return ((struct host *)ctx)->job_messages > 0;
}

static bool
has_written_snapshot (void *ctx)
{
  return mt_value (((struct host *)ctx)->daemon.metrics,
                   "foxtailgap_snapshots")
         > 0;
}

static bool
has_revision_1 (void *ctx)
{
  return ((struct host *)ctx)->revision == 1;
}

static bool
wait_for (struct fixture *f, bool (*holds) (void *ctx), struct host *host)
{
  return lf_run (&f->log, holds, host, LF_WAIT_LIMIT_MS);
}

static void
expect_answer (struct fixture *f, struct host *host,
               enum msg_append_result result, enum st_verdict verdict)
{
  CU_ASSERT_TRUE (wait_for (f, is_answered, host));
  CU_ASSERT_EQUAL (host->last_answer.result, result);
  CU_ASSERT_EQUAL (host->last_answer.verdict, verdict);
  CU_ASSERT_EQUAL (host->answer_count, 1);
}

static void
start_and_wait (struct fixture *f, size_t i)
{
  start_host (f, i);
  CU_ASSERT_TRUE (wait_for (f, is_caught_up, &f->hosts[i]));
}

/* ===== Tests ================================================== */

static void
test_concurrent_config_changes (void)
{
  struct fixture f;
  int valid = 0;
  int stale = 0;
  size_t i;

  setup (&f);
  for (i = 0; i < HOSTS; i++)
    start_and_wait (&f, i);
  for (i = 0; i < HOSTS; i++)
    configure (&f.hosts[i], 0);
  for (i = 0; i < HOSTS; i++)
    {
      CU_ASSERT_TRUE (wait_for (&f, is_answered, &f.hosts[i]));
      CU_ASSERT_EQUAL (f.hosts[i].last_answer.result, MSG_APPEND_FOLDED);
      valid += f.hosts[i].last_answer.verdict == ST_VERDICT_VALID;
      stale
          += f.hosts[i].last_answer.verdict == ST_VERDICT_STALE_BASE_REVISION;
      CU_ASSERT_TRUE (wait_for (&f, has_revision_1, &f.hosts[i]));
    }
  CU_ASSERT_EQUAL (valid, 1);
  CU_ASSERT_EQUAL (stale, HOSTS - 1);
  teardown (&f);
}

static void
test_term_belongs_to_process (void)
{
  struct fixture f;

  setup (&f);
  start_and_wait (&f, 0);
  start_and_wait (&f, 1);
  claim_term (&f.hosts[0], 1);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  claim_term (&f.hosts[1], 1);
  expect_answer (&f, &f.hosts[1], MSG_APPEND_FOLDED, ST_VERDICT_STALE_TERM);
  CU_ASSERT_TRUE (f.hosts[0].holds_term);
  CU_ASSERT_FALSE (f.hosts[1].holds_term);
  /* A restarted process has the same host name, but must not use the term of
     the process before.  */
  stop_host (&f.hosts[0]);
  start_and_wait (&f, 0);
  CU_ASSERT_EQUAL (f.hosts[0].term, 1);
  CU_ASSERT_FALSE (f.hosts[0].holds_term);
  claim_term (&f.hosts[1], 2);
  expect_answer (&f, &f.hosts[1], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  CU_ASSERT_TRUE (f.hosts[1].holds_term);
  teardown (&f);
}

static void
test_lost_answer (void)
{
  struct fixture f;

  setup (&f);
  start_and_wait (&f, 0);
  lf_control (&f.log, "{\"drop_answers\":2}");
  submit (&f.hosts[0], "j", DEADLINE_MS);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  lf_run_ms (&f.log, 300);
  CU_ASSERT_EQUAL (f.hosts[0].answer_count, 1);
  CU_ASSERT_EQUAL (f.hosts[0].job_messages, 1);
  teardown (&f);
}

enum
{
  REJECTED_TRIES = 3 /* one of 170 deadlines fell into a try */
};

/* Has a job rejected during an outage.  A job whose deadline falls into a try
   of its append is told as unknown; see test_log, "deadlines in an outage",
   for the rest of that rule.  */
static void
expect_rejected (struct fixture *f, struct host *host)
{
  uint32_t i;

  for (i = 0; i < REJECTED_TRIES; i++)
    {
      submit (host, "j", 1000);
      CU_ASSERT_TRUE (wait_for (f, is_answered, host));
      CU_ASSERT_EQUAL (host->answer_count, 1);
      CU_ASSERT_EQUAL (host->last_answer.verdict, ST_VERDICT_VALID);
      if (host->last_answer.result != MSG_APPEND_UNKNOWN)
        break;
    }
  CU_ASSERT_EQUAL (host->last_answer.result, MSG_APPEND_REJECTED);
}

static void
test_outage (void)
{
  struct fixture f;

  setup (&f);
  start_and_wait (&f, 0);
  lf_control (&f.log, "{\"outage\":true,\"mode\":\"error\"}");
  expect_rejected (&f, &f.hosts[0]);
  CU_ASSERT_TRUE (wait_for (&f, is_down, &f.hosts[0]));
  lf_control (&f.log, "{\"mode\":\"silent\"}");
  /* The deadline is longer than any delay between retries, so that the record
     is sent and its outcome stays unknown.  */
  submit (&f.hosts[0], "k", 3000);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_UNKNOWN, ST_VERDICT_VALID);
  lf_control (&f.log, "{\"outage\":false}");
  CU_ASSERT_TRUE (wait_for (&f, is_caught_up, &f.hosts[0]));
  submit (&f.hosts[0], "l", DEADLINE_MS);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  CU_ASSERT_EQUAL (f.hosts[0].job_messages, 1);
  teardown (&f);
}

/* The log has expired almost all records: a new host must start from the
   snapshot and reach the same state as the others.  */
static void
test_start_from_snapshot (void)
{
  struct fixture f;

  setup (&f);
  start_and_wait (&f, 0);
  configure (&f.hosts[0], 0);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  submit (&f.hosts[0], "j", DEADLINE_MS);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  claim_term (&f.hosts[0], 1);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  CU_ASSERT_TRUE (wait_for (&f, has_written_snapshot, &f.hosts[0]));
  lf_control (&f.log, "{\"retention_records\":1}");
  submit (&f.hosts[0], "k", DEADLINE_MS);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  start_and_wait (&f, 1);
  CU_ASSERT_EQUAL (f.hosts[1].revision, 1);
  CU_ASSERT_EQUAL (f.hosts[1].term, 1);
  CU_ASSERT_EQUAL (f.hosts[1].job_messages, 2);
  lf_run_ms (&f.log, 200);
  CU_ASSERT_EQUAL (f.hosts[1].log.next_offset, f.hosts[0].log.next_offset);
  teardown (&f);
}

/* Both streams expire all their records during an outage.  The running host
   still has the state in memory and must write a snapshot after the outage, so
   that a new host can start from it.  */
static void
test_outage_beyond_retention (void)
{
  struct fixture f;

  setup (&f);
  start_and_wait (&f, 0);
  configure (&f.hosts[0], 0);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  claim_term (&f.hosts[0], 1);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  lf_control (&f.log, "{\"outage\":true,\"mode\":\"error\"}");
  CU_ASSERT_TRUE (wait_for (&f, is_down, &f.hosts[0]));
  lf_run_ms (&f.log, OUTAGE_MS);
  lf_control (&f.log, "{\"outage\":false,\"retention_ms\":1}");
  CU_ASSERT_TRUE (wait_for (&f, is_caught_up, &f.hosts[0]));
  lf_control (&f.log, "{\"retention_ms\":60000}");
  start_host (&f, 2);
  CU_ASSERT_TRUE (wait_for (&f, is_caught_up, &f.hosts[2]));
  CU_ASSERT_EQUAL (f.hosts[2].revision, 1);
  CU_ASSERT_EQUAL (f.hosts[2].term, 1);
  CU_ASSERT_EQUAL (f.hosts[2].log.next_offset, 2);
  teardown (&f);
}

/* The log expires records that no host has read.  One host must write a rescue
   snapshot of its state, and all hosts must continue from that and agree.  */
static void
test_rescue_after_lost_records (void)
{
  struct fixture f;
  int i;

  setup (&f);
  start_and_wait (&f, 0);
  start_and_wait (&f, 1);
  configure (&f.hosts[0], 0);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  claim_term (&f.hosts[0], 1);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  lf_run_ms (&f.log, 100);
  /* A slow read returns late and holds only the records from when it began.
   */
  lf_control (&f.log, "{\"slow_ms\":100,\"retention_records\":1}");
  lf_run_ms (&f.log, 10);
  for (i = 0; i < 8; i++)
    lf_send (&f.log, "/streams/ft", "x");
  CU_ASSERT_TRUE (wait_for (&f, is_behind, &f.hosts[0]));
  CU_ASSERT_TRUE (wait_for (&f, is_behind, &f.hosts[1]));
  lf_control (&f.log, "{\"slow_ms\":0,\"retention_records\":1000}");
  CU_ASSERT_TRUE (wait_for (&f, is_caught_up, &f.hosts[0]));
  CU_ASSERT_TRUE (wait_for (&f, is_caught_up, &f.hosts[1]));
  submit (&f.hosts[1], "j", DEADLINE_MS);
  expect_answer (&f, &f.hosts[1], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  CU_ASSERT_TRUE (wait_for (&f, has_jobs, &f.hosts[0]));
  CU_ASSERT_EQUAL (f.hosts[0].revision, 1);
  CU_ASSERT_EQUAL (f.hosts[0].log.next_offset, f.hosts[1].log.next_offset);
  teardown (&f);
}

/* A host that starts during an outage must get the state from another host.
 */
static void
test_snapshot_from_peer (void)
{
  struct fixture f;
  struct msg_snapshot_wanted *wanted;

  setup (&f);
  start_and_wait (&f, 0);
  configure (&f.hosts[0], 0);
  expect_answer (&f, &f.hosts[0], MSG_APPEND_FOLDED, ST_VERDICT_VALID);
  lf_control (&f.log, "{\"outage\":true,\"mode\":\"silent\"}");
  start_host (&f, 1);
  wanted = g_new0 (struct msg_snapshot_wanted, 1);
  wanted->reply = f.hosts[1].daemon.state;
  mb_post (f.hosts[0].daemon.state, MSG_SNAPSHOT_WANTED, wanted);
  CU_ASSERT_TRUE (wait_for (&f, has_revision_1, &f.hosts[1]));
  CU_ASSERT_FALSE (f.hosts[1].log.caught_up);
  lf_control (&f.log, "{\"outage\":false}");
  CU_ASSERT_TRUE (wait_for (&f, is_caught_up, &f.hosts[1]));
  CU_ASSERT_EQUAL (f.hosts[1].log.next_offset, 1);
  teardown (&f);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  lg_init ();
  CU_initialize_registry ();
  suite = CU_add_suite ("state task", NULL, NULL);
  CU_add_test (suite, "concurrent configuration changes",
               test_concurrent_config_changes);
  CU_add_test (suite, "terms", test_term_belongs_to_process);
  CU_add_test (suite, "lost answer", test_lost_answer);
  CU_add_test (suite, "outage", test_outage);
  CU_add_test (suite, "start from snapshot", test_start_from_snapshot);
  CU_add_test (suite, "outage beyond retention", test_outage_beyond_retention);
  CU_add_test (suite, "rescue", test_rescue_after_lost_records);
  CU_add_test (suite, "snapshot from a peer", test_snapshot_from_peer);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
