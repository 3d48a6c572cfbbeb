/* The log client against the stand-in of the log: group commit, following of
   the stream, lost answers, outages, refusals by rate, expired offsets.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

#include "log/log_private.h"
#include "log_fixture.h"

enum
{
  TIMEOUT_MS = 500,
  COMMIT_MS = 5,
  POLL_WAIT_MS = 100,
  DEADLINE_MS = 5000,
  MANY_APPENDS = 400,              /* more than one answer to a read holds */
  LARGE_RECORD_BYTES = 900 * 1024, /* two do not fit into an append */
  OUTAGE_APPENDS = 300,
  RETRY_WAIT_MS = 150 /* longer than the delay of the first retry */
};

/* One client that follows the stream and settles each record that it reads. */
struct fixture
{
  struct lf_log log;
  struct log_client *client;
  GHashTable *times_by_number; /* number of the record -> times read */
  uint32_t newest_number;      /* number of the newest record read */
  bool in_order;
  int failure_count;
  int error;
  int unknown_count;
  /* Of a failure that is told as unknown, with no append in flight.  */
  int wrong_unknown_count;
  bool up;
  int health_changes;
  uint64_t expired_first;
  uint64_t expected_records;
};

static void
make_id (uint8_t id[LOG_ID_SIZE_BYTES], uint32_t number)
{
  memset (id, 0, LOG_ID_SIZE_BYTES);
  memcpy (id, &number, sizeof number);
}

static void
on_record (void *ctx, uint64_t offset, int64_t time_ms, const uint8_t *data,
           size_t size_bytes)
{
  struct fixture *f = ctx;
  Ft__Batch *batch = ft__batch__unpack (NULL, size_bytes, data);
  gpointer key;
  uint32_t number;
  size_t i;

  (void)offset;
  (void)time_ms;
  for (i = 0; batch != NULL && i < batch->n_records; i++)
    {
      memcpy (&number, batch->records[i]->id.data, sizeof number);
      key = GUINT_TO_POINTER (number);
      f->in_order = f->in_order && number >= f->newest_number;
      f->newest_number = number;
      g_hash_table_insert (
          f->times_by_number, key,
          GUINT_TO_POINTER (
              GPOINTER_TO_UINT (g_hash_table_lookup (f->times_by_number, key))
              + 1));
      log_settle (f->client, batch->records[i]->id.data);
    }
  if (batch != NULL)
    ft__batch__free_unpacked (batch, NULL);
}

static void
on_health (void *ctx, bool up)
{
  struct fixture *f = ctx;

  f->up = up;
  f->health_changes++;
}

static void
on_expired (void *ctx, uint64_t first, uint64_t next)
{
  (void)next;
  ((struct fixture *)ctx)->expired_first = first;
}

static void
on_failed (void *ctx, const uint8_t id[16], int error)
{
  struct fixture *f = ctx;

  (void)id;
  f->failure_count++;
  f->error = error;
  if (error != LOG_ERR_OUTCOME_UNKNOWN)
    return;
  f->unknown_count++;
  if (f->client->append_call == NULL)
    f->wrong_unknown_count++;
}

static void
open_client (struct fixture *f, bool paused)
{
  struct log_params params = { .loop = f->log.loop,
                               .http = f->log.http,
                               .url = f->log.url,
                               .stream = "test",
                               .timeout_ms = TIMEOUT_MS,
                               .commit_delay_ms = COMMIT_MS,
                               .poll_wait_ms = POLL_WAIT_MS,
                               .start_paused = paused,
                               .on_append = on_record,
                               .on_expired = on_expired,
                               .on_health = on_health,
                               .ctx = f };

  CU_ASSERT_EQUAL_FATAL (log_create (&f->client, &params), LOG_OK);
}

static void
setup (struct fixture *f, uint32_t appends_per_s)
{
  memset (f, 0, sizeof *f);
  f->in_order = true;
  f->times_by_number = g_hash_table_new (NULL, NULL);
  lf_open (&f->log, appends_per_s);
}

static void
teardown (struct fixture *f)
{
  log_free (f->client);
  g_hash_table_destroy (f->times_by_number);
  lf_close (&f->log);
}

static int
append_sized (struct fixture *f, uint32_t number, uint32_t deadline_ms,
              size_t size_bytes)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__ConfigChange body = FT__CONFIG_CHANGE__INIT;
  uint8_t id[LOG_ID_SIZE_BYTES];
  int error;

  make_id (id, number);
  record.id.data = id;
  record.id.len = sizeof id;
  record.body_case = FT__RECORD__BODY_CONFIG_CHANGE;
  record.config_change = &body;
  body.document.data = g_malloc0 (size_bytes + 1);
  body.document.len = size_bytes;
  error = log_append (f->client, &record, deadline_ms, on_failed, f);
  g_free (body.document.data);
  return error;
}

static void
append (struct fixture *f, uint32_t number, uint32_t deadline_ms)
{
  CU_ASSERT_EQUAL (append_sized (f, number, deadline_ms, 10), LOG_OK);
}

static bool
all_are_read (void *ctx)
{
  struct fixture *f = ctx;

  return g_hash_table_size (f->times_by_number) >= f->expected_records;
}

static bool
has_failed (void *ctx)
{
  return ((struct fixture *)ctx)->failure_count > 0;
}

static bool
is_up (void *ctx)
{
  return ((struct fixture *)ctx)->up;
}

static bool
is_down (void *ctx)
{
  return !is_up (ctx);
}

static bool
has_expired (void *ctx)
{
  return ((struct fixture *)ctx)->expired_first > 0;
}

static bool
wait_for (struct fixture *f, bool (*holds) (void *ctx))
{
  return lf_run (&f->log, holds, f, LF_WAIT_LIMIT_MS);
}

static unsigned int
times_read (const struct fixture *f, uint32_t number)
{
  return GPOINTER_TO_UINT (
      g_hash_table_lookup (f->times_by_number, GUINT_TO_POINTER (number)));
}

/* ===== Tests ================================================== */

static void
test_group_commit (void)
{
  struct fixture f;
  struct log_stats stats;
  uint32_t i;

  setup (&f, 0);
  open_client (&f, false);
  CU_ASSERT_TRUE (wait_for (&f, is_up));
  f.expected_records = 1000;
  for (i = 1; i <= f.expected_records; i++)
    append (&f, i, DEADLINE_MS);
  CU_ASSERT_TRUE (wait_for (&f, all_are_read));
  CU_ASSERT_TRUE (f.in_order);
  CU_ASSERT_EQUAL (f.failure_count, 0);
  log_stats (f.client, &stats);
  CU_ASSERT_TRUE (stats.appends <= 3);
  CU_ASSERT_EQUAL (times_read (&f, 500), 1);
  teardown (&f);
}

static void
test_many_appends_in_order (void)
{
  struct fixture f;
  uint32_t i;

  setup (&f, 0);
  open_client (&f, true);
  f.expected_records = MANY_APPENDS;
  for (i = 1; i <= f.expected_records; i++)
    {
      append (&f, i, DEADLINE_MS);
      lf_run_ms (&f.log, 1);
      log_flush (f.client);
    }
  log_seek (f.client, 0);
  CU_ASSERT_TRUE (wait_for (&f, all_are_read));
  CU_ASSERT_TRUE (f.in_order);
  teardown (&f);
}

static void
test_record_sizes (void)
{
  struct fixture f;

  setup (&f, 0);
  open_client (&f, false);
  CU_ASSERT_EQUAL (append_sized (&f, 1, DEADLINE_MS, LOG_RECORD_LIMIT_BYTES),
                   LOG_ERR_TOO_LARGE);
  /* Two records that do not fit into one append together.  */
  f.expected_records = 2;
  CU_ASSERT_EQUAL (append_sized (&f, 2, DEADLINE_MS, LARGE_RECORD_BYTES),
                   LOG_OK);
  CU_ASSERT_EQUAL (append_sized (&f, 3, DEADLINE_MS, LARGE_RECORD_BYTES),
                   LOG_OK);
  CU_ASSERT_TRUE (wait_for (&f, all_are_read));
  teardown (&f);
}

/* The append takes effect and its answer is lost: the client finds the record
   by reading, and does not send it again.  */
static void
test_lost_answer (void)
{
  struct fixture f;
  struct log_stats stats;

  setup (&f, 0);
  open_client (&f, false);
  CU_ASSERT_TRUE (wait_for (&f, is_up));
  lf_control (&f.log, "{\"drop_answers\":1}");
  append (&f, 1, DEADLINE_MS);
  f.expected_records = 1;
  CU_ASSERT_TRUE (wait_for (&f, all_are_read));
  lf_run_ms (&f.log, RETRY_WAIT_MS);
  CU_ASSERT_EQUAL (f.failure_count, 0);
  CU_ASSERT_EQUAL (times_read (&f, 1), 1);
  log_stats (f.client, &stats);
  CU_ASSERT_EQUAL (stats.unknown, 1);
  teardown (&f);
}

/* While reading is paused, a record whose answer was lost is sent again, and
   its failure is never reported as "not written".  */
static void
test_lost_answer_without_reading (void)
{
  struct fixture f;

  setup (&f, 0);
  open_client (&f, true);
  lf_control (&f.log, "{\"drop_answers\":1}");
  append (&f, 1, 400);
  CU_ASSERT_TRUE (wait_for (&f, has_failed));
  CU_ASSERT_EQUAL (f.error, LOG_ERR_OUTCOME_UNKNOWN);
  log_seek (f.client, 0);
  f.expected_records = 1;
  CU_ASSERT_TRUE (wait_for (&f, all_are_read));
  lf_run_ms (&f.log, 50);
  CU_ASSERT_EQUAL (times_read (&f, 1), 2);
  CU_ASSERT_EQUAL (f.failure_count, 1);
  teardown (&f);
}

/* The one record that failed was not written; it is told as unknown only if
   its deadline has fallen into a try.  */
static void
expect_not_written (const struct fixture *f)
{
  CU_ASSERT_TRUE (f->error == LOG_ERR_NOT_WRITTEN || f->unknown_count == 1);
  CU_ASSERT_EQUAL (f->wrong_unknown_count, 0);
}

static void
test_outage_with_errors (void)
{
  struct fixture f;

  setup (&f, 0);
  open_client (&f, false);
  CU_ASSERT_TRUE (wait_for (&f, is_up));
  lf_control (&f.log, "{\"outage\":true,\"mode\":\"error\"}");
  append (&f, 1, 500);
  append (&f, 2, DEADLINE_MS);
  CU_ASSERT_TRUE (wait_for (&f, has_failed));
  expect_not_written (&f);
  CU_ASSERT_FALSE (f.up);
  lf_control (&f.log, "{\"outage\":false}");
  f.expected_records = 1;
  CU_ASSERT_TRUE (wait_for (&f, all_are_read));
  CU_ASSERT_TRUE (wait_for (&f, is_up));
  CU_ASSERT_EQUAL (times_read (&f, 1), 0);
  CU_ASSERT_EQUAL (times_read (&f, 2), 1);
  CU_ASSERT_EQUAL (f.failure_count, 1);
  teardown (&f);
}

/* test_state_task, "outage": a record was told as unknown, for its deadline
   had fallen into a try of 1 ms.  With no try in flight it was not written. */
static void
test_deadlines_in_an_outage (void)
{
  struct fixture f;
  uint32_t number;

  setup (&f, 0);
  open_client (&f, false);
  CU_ASSERT_TRUE (wait_for (&f, is_up));
  lf_control (&f.log, "{\"outage\":true,\"mode\":\"error\"}");
  for (number = 1; number <= OUTAGE_APPENDS; number++)
    append (&f, number, number * 5);
  lf_run_ms (&f.log, OUTAGE_APPENDS * 5 + 100);
  CU_ASSERT_EQUAL (f.failure_count, OUTAGE_APPENDS);
  CU_ASSERT_EQUAL (f.wrong_unknown_count, 0);
  CU_ASSERT_TRUE (f.unknown_count < OUTAGE_APPENDS / 4);
  teardown (&f);
}

static void
test_outage_without_answers (void)
{
  struct fixture f;

  setup (&f, 0);
  open_client (&f, false);
  CU_ASSERT_TRUE (wait_for (&f, is_up));
  lf_control (&f.log, "{\"outage\":true,\"mode\":\"silent\"}");
  append (&f, 1, 2 * TIMEOUT_MS);
  append (&f, 2, DEADLINE_MS);
  CU_ASSERT_TRUE (wait_for (&f, has_failed));
  CU_ASSERT_EQUAL (f.error, LOG_ERR_OUTCOME_UNKNOWN);
  CU_ASSERT_TRUE (wait_for (&f, is_down));
  lf_control (&f.log, "{\"outage\":false}");
  f.expected_records = 1;
  CU_ASSERT_TRUE (wait_for (&f, all_are_read));
  CU_ASSERT_EQUAL (f.failure_count, 1);
  CU_ASSERT_TRUE (wait_for (&f, is_up));
  teardown (&f);
}

static void
test_no_connection (void)
{
  struct fixture f;

  setup (&f, 0);
  g_strlcpy (f.log.url, "http://127.0.0.1:1", sizeof f.log.url);
  open_client (&f, false);
  append (&f, 1, 200);
  CU_ASSERT_TRUE (wait_for (&f, has_failed));
  expect_not_written (&f);
  teardown (&f);
}

/* The log accepts far fewer appends per second than records are appended: all
   records arrive, in order.  */
static void
test_rate_limit (void)
{
  struct fixture f;
  struct log_stats stats;
  uint32_t i;

  setup (&f, 20);
  open_client (&f, false);
  CU_ASSERT_TRUE (wait_for (&f, is_up));
  f.expected_records = 400;
  for (i = 1; i <= f.expected_records; i++)
    {
      append (&f, i, DEADLINE_MS);
      lf_run_ms (&f.log, 4);
    }
  CU_ASSERT_TRUE (wait_for (&f, all_are_read));
  CU_ASSERT_TRUE (f.in_order);
  CU_ASSERT_EQUAL (f.failure_count, 0);
  CU_ASSERT_TRUE (f.up);
  log_stats (f.client, &stats);
  CU_ASSERT_TRUE (stats.refused < stats.appends);
  teardown (&f);
}

static void
test_expired_offset (void)
{
  struct fixture f;
  uint32_t i;

  setup (&f, 0);
  lf_control (&f.log, "{\"retention_records\":3}");
  for (i = 0; i < 10; i++)
    lf_post (&f.log, "/streams/test", "x");
  open_client (&f, false);
  CU_ASSERT_TRUE (wait_for (&f, has_expired));
  CU_ASSERT_EQUAL (f.expired_first, 7);
  lf_run_ms (&f.log, 50);
  CU_ASSERT_EQUAL (log_next_offset (f.client), 0);
  log_seek (f.client, f.expired_first);
  append (&f, 1, DEADLINE_MS);
  f.expected_records = 1;
  CU_ASSERT_TRUE (wait_for (&f, all_are_read));
  CU_ASSERT_EQUAL (log_next_offset (f.client), 11);
  teardown (&f);
}

/* Randomly changed bytes never crash the decoder of answers.  */
static void
test_damaged_answers (void)
{
  static const char good[]
      = "{\"first\":1,\"next\":3,\"records\":[{\"offset\":1,\"time_ms\":5,"
        "\"data\":\"AAEC\"},{\"offset\":2,\"time_ms\":5,\"data\":\"\"}]}";
  GRand *random = g_rand_new_with_seed (1);
  struct log_answer answer;
  char bytes[sizeof good];
  int i;

  CU_ASSERT_EQUAL (log_answer_parse (&answer, good, sizeof good - 1), LOG_OK);
  CU_ASSERT_EQUAL (answer.item_count, 2);
  CU_ASSERT_EQUAL (answer.items[0].size_bytes, 3);
  log_answer_clear (&answer);
  for (i = 0; i < 20000; i++)
    {
      memcpy (bytes, good, sizeof good);
      bytes[g_rand_int_range (random, 0, sizeof good)]
          = (char)g_rand_int (random);
      log_answer_parse (&answer, bytes,
                        (size_t)g_rand_int_range (random, 0, sizeof good));
      log_answer_clear (&answer);
    }
  g_rand_free (random);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("log", NULL, NULL);
  CU_add_test (suite, "group commit", test_group_commit);
  CU_add_test (suite, "many appends in order", test_many_appends_in_order);
  CU_add_test (suite, "record sizes", test_record_sizes);
  CU_add_test (suite, "lost answer", test_lost_answer);
  CU_add_test (suite, "lost answer without reading",
               test_lost_answer_without_reading);
  CU_add_test (suite, "outage with errors", test_outage_with_errors);
  CU_add_test (suite, "deadlines in an outage", test_deadlines_in_an_outage);
  CU_add_test (suite, "outage without answers", test_outage_without_answers);
  CU_add_test (suite, "no connection", test_no_connection);
  CU_add_test (suite, "overload", test_rate_limit);
  CU_add_test (suite, "expired", test_expired_offset);
  CU_add_test (suite, "damaged answers", test_damaged_answers);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
