/* The journal: when its view of the jobs is fresh, and what becomes of
   callers' writes.  */

#include <unistd.h>

#include "../../programs/foxtailgap-hostd/journal.h"
#include "check.h"
#include "hostd_fixture.h"
#include "hostd_store_fixture.h"

static const char JOB[] = "00000000000000aa";

struct setup
{
  struct fake_store store;
  struct ev_loop *loop;
  struct mt_registry *metrics;
  struct journal *journal;
  GPtrArray *records;
  int outcomes;
  enum jr_outcome outcome;
  int fresh;         /* -1: not told */
  int state_at_term; /* of the job when the term was read */
};

static int
decode_nothing (struct ct_catalog **out, const void *text, size_t size_bytes)
{
  (void)out;
  (void)text;
  (void)size_bytes;
  return -1;
}

static void
run_for_ms (struct setup *setup, uint32_t time_ms)
{
  int64_t until_ms = clk_monotonic_ms (NULL) + time_ms;

  while (clk_monotonic_ms (NULL) < until_ms)
    {
      ev_run (setup->loop, EVRUN_NOWAIT);
      usleep (2000);
    }
}

/* Answers the call that is open on the jobs' topic.  */
static void
answer_jobs (struct setup *setup, bool at_end)
{
  struct so_read_answer answer = {
    .result = SO_DONE, .records = setup->records, .next = 100, .at_end = at_end
  };
  so_read_callback callback = setup->store.jobs_read;

  CU_ASSERT_PTR_NOT_NULL_FATAL (callback);
  if (callback == NULL)
    return;
  setup->store.jobs_read = NULL;
  answer.waited = setup->records->len == 0;
  callback (setup->store.jobs_ctx, &answer);
  g_ptr_array_set_size (setup->records, 0);
}

static void
begin (struct setup *setup)
{
  struct jr_params params = { .jobs_topic = "jobs",
                              .operator_topic = "operator",
                              .catalog_key = "config",
                              .decode_catalog = decode_nothing };

  memset (setup, 0, sizeof *setup);
  setup->fresh = -1;
  setup->records = so_records_create ();
  setup->loop = ev_loop_new (EVFLAG_AUTO);
  setup->metrics = mt_create ();
  params.loop = setup->loop;
  params.metrics = setup->metrics;
  params.store = fake_store_port (&setup->store);
  setup->journal = jr_create (&params);
  run_for_ms (setup, 20);
  answer_jobs (setup, true); /* the newest: none */
  run_for_ms (setup, 20);
}

/* Leaves no append open; done, so that none is sent again.  */
static void
end_appends (struct setup *setup)
{
  struct so_append_answer answer = { .result = SO_DONE };
  uint32_t i;

  for (i = 0; i < setup->store.append_count; i++)
    if (setup->store.appended[i] != NULL)
      {
        so_append_callback callback = setup->store.appended[i];

        setup->store.appended[i] = NULL;
        callback (setup->store.append_ctx[i], &answer);
      }
}

static void
finish (struct setup *setup)
{
  end_appends (setup);
  jr_free (setup->journal);
  mt_free (setup->metrics);
  g_ptr_array_free (setup->records, TRUE);
  fake_store_clear (&setup->store);
  ev_loop_destroy (setup->loop);
}

static void
on_outcome (void *ctx, enum jr_outcome outcome)
{
  struct setup *setup = ctx;

  setup->outcomes++;
  setup->outcome = outcome;
}

static void
on_fresh (void *ctx, bool fresh)
{
  ((struct setup *)ctx)->fresh = fresh;
}

static void
add_job (struct setup *setup, const char *id)
{
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);
  GByteArray *bytes = jb_encode_spec (spec);
  char *key = g_strdup_printf ("j/%s", id);

  g_ptr_array_add (setup->records,
                   so_record_create (key, bytes->data, bytes->len));
  g_free (key);
  g_byte_array_free (bytes, TRUE);
  jb_spec_free (spec);
}

/* Found on the grown bofl site, day scale-2: a host that came back after a cut
   had read a first lot only, held its view for fresh, and told a caller who
   cancelled that there was no such job; the job ran on.  */
static void
test_lot_before_the_end_is_not_fresh (void)
{
  struct setup setup;

  begin (&setup);
  jr_when_fresh (setup.journal, 5000, on_fresh, &setup);
  run_for_ms (&setup, 5);
  add_job (&setup, "00000000000000bb");
  answer_jobs (&setup, false); /* of a read sent before */
  run_for_ms (&setup, 20);
  add_job (&setup, "00000000000000cc");
  answer_jobs (&setup, false);
  CU_ASSERT_EQUAL (setup.fresh, -1);
  run_for_ms (&setup, 20);
  add_job (&setup, JOB);
  answer_jobs (&setup, true);
  CU_ASSERT_EQUAL (setup.fresh, 1);
  CU_ASSERT_PTR_NOT_NULL (jb_table_find (jr_table (setup.journal), JOB));
  finish (&setup);
}

static void
test_age_grows_while_behind (void)
{
  struct setup setup;
  int64_t before_ms;

  begin (&setup);
  answer_jobs (&setup, true);
  before_ms = jr_jobs_age_ms (setup.journal);
  run_for_ms (&setup, 120);
  add_job (&setup, JOB);
  answer_jobs (&setup, false);
  CU_ASSERT_TRUE (jr_jobs_age_ms (setup.journal) >= before_ms + 100);
  finish (&setup);
}

/* Found on the worst windows of all days with a final fault: a host that had
   just read the operator's document held it for older than any bound until
   the first read of the tail came back, 0.9 s later, and turned callers away
   meanwhile.  */
static void
test_view_is_fresh_soon_after_the_newest_were_read (void)
{
  struct setup setup;

  begin (&setup);
  CU_ASSERT_EQUAL (setup.store.jobs_wait_ms, 0);
  answer_jobs (&setup, true);
  CU_ASSERT_TRUE (jr_jobs_age_ms (setup.journal) < 100);
  run_for_ms (&setup, 150);
  CU_ASSERT_TRUE (setup.store.jobs_wait_ms > 0);
  finish (&setup);
}

static void
submit (struct setup *setup, uint32_t timeout_ms)
{
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);

  jr_submit (setup->journal, JOB, spec, timeout_ms, on_outcome, setup);
  jb_spec_free (spec);
}

/* Answers the append that was sent last.  */
static void
answer_append (struct setup *setup, enum so_result result)
{
  struct so_append_answer answer = { .result = result };
  uint32_t last = setup->store.append_count;
  so_append_callback callback = NULL;

  while (last > 0 && callback == NULL)
    callback = setup->store.appended[--last];
  CU_ASSERT_PTR_NOT_NULL_FATAL (callback);
  if (callback == NULL)
    return;
  setup->store.appended[last] = NULL;
  callback (setup->store.append_ctx[last], &answer);
}

static void
test_write_without_answer_is_unknown (void)
{
  struct setup setup;

  begin (&setup);
  submit (&setup, 100);
  answer_append (&setup, SO_UNKNOWN);
  answer_append (&setup, SO_REFUSED); /* sent again, refused */
  run_for_ms (&setup, 200);
  CU_ASSERT_EQUAL (setup.outcomes, 1);
  CU_ASSERT_EQUAL (setup.outcome, JR_UNKNOWN);
  finish (&setup);
}

/* From an own day with platform_lost: a third of the writes got no answer, and
   each waited for 0.7 s before it was sent again.  */
static void
test_write_whose_answer_is_lost_is_sent_again (void)
{
  struct setup setup;
  struct so_append_answer done = { .result = SO_DONE };
  int64_t until_ms;

  begin (&setup);
  answer_jobs (&setup, true);
  run_for_ms (&setup, 20);
  submit (&setup, 3000);
  CU_ASSERT_EQUAL (setup.store.append_count, 1);
  run_for_ms (&setup, 200);
  CU_ASSERT_EQUAL (setup.store.append_count, 1); /* nothing shows it */
  until_ms = clk_monotonic_ms (NULL) + 1000;
  while (setup.store.append_count == 1 && clk_monotonic_ms (NULL) < until_ms)
    {
      if (setup.store.jobs_read != NULL)
        {
          add_job (&setup, "00000000000000bb");
          answer_jobs (&setup, true); /* the store is quick */
        }
      run_for_ms (&setup, 10);
    }
  CU_ASSERT_EQUAL (setup.store.append_count, 2);
  CU_ASSERT_EQUAL (setup.outcomes, 0);
  setup.store.appended[0](setup.store.append_ctx[0], &done); /* late */
  setup.store.appended[0] = NULL;
  CU_ASSERT_EQUAL (setup.outcomes, 1);
  CU_ASSERT_EQUAL (setup.outcome, JR_STORED);
  finish (&setup);
}

static void
test_write_always_refused_is_not_stored (void)
{
  struct setup setup;
  int i;

  begin (&setup);
  submit (&setup, 2000);
  for (i = 0; i < 10 && setup.outcomes == 0; i++)
    {
      answer_append (&setup, SO_REFUSED);
      run_for_ms (&setup, 80);
    }
  CU_ASSERT_EQUAL (setup.outcomes, 1);
  CU_ASSERT_EQUAL (setup.outcome, JR_NOT_STORED);
  finish (&setup);
}

static void
test_write_is_stored_once_its_record_is_read (void)
{
  struct setup setup;

  begin (&setup);
  submit (&setup, 2000);
  answer_append (&setup, SO_UNKNOWN);
  add_job (&setup, JOB);
  answer_jobs (&setup, true);
  CU_ASSERT_EQUAL (setup.outcomes, 1);
  CU_ASSERT_EQUAL (setup.outcome, JR_STORED);
  finish (&setup);
}

/* Incident inc-7934 on anla-rounds: with the store silent for all, callers
   waited 2.9 s for an answer that nothing was known.  */
static void
test_store_away_is_told_at_once (void)
{
  struct setup setup;

  begin (&setup);
  submit (&setup, 3000);
  answer_append (&setup, SO_UNKNOWN);
  run_for_ms (&setup, 1200);
  CU_ASSERT_TRUE (jr_store_away_ms (setup.journal) > 0);
  CU_ASSERT_EQUAL (setup.outcomes, 1);
  CU_ASSERT_EQUAL (setup.outcome, JR_UNKNOWN);
  submit (&setup, 3000);
  CU_ASSERT_EQUAL (setup.outcomes, 2);
  CU_ASSERT_EQUAL (setup.outcome, JR_NOT_STORED);
  answer_jobs (&setup, true);
  CU_ASSERT_EQUAL (jr_store_away_ms (setup.journal), 0);
  finish (&setup);
}

static void
test_writes_share_an_append (void)
{
  struct setup setup;
  char id[JB_ID_DIGITS + 1];
  int i;

  begin (&setup);
  for (i = 0; i < 10; i++)
    {
      g_snprintf (id, sizeof id, "%016x", i);
      jr_cancel (setup.journal, id, 2000, on_outcome, &setup);
    }
  CU_ASSERT_EQUAL (setup.store.append_count, 3); /* three may be open */
  answer_append (&setup, SO_DONE);
  CU_ASSERT_EQUAL (setup.store.append_count, 4);
  CU_ASSERT_EQUAL (setup.store.append_records, 10);
  finish (&setup);
}

static void
on_term (void *ctx, const struct jb_term *term)
{
  struct setup *setup = ctx;
  struct jb_job *job = jb_table_find (jr_table (setup->journal), JOB);

  (void)term;
  setup->state_at_term = job == NULL ? -1 : (int)job->state;
}

static void
add_bytes (struct setup *setup, const char *key, GByteArray *bytes)
{
  g_ptr_array_add (setup->records,
                   so_record_create (key, bytes->data, bytes->len));
  g_byte_array_free (bytes, TRUE);
}

/* A host whose claim turns up among the newest records begins its term with
   what they say: the term is applied last.  */
static void
test_term_comes_after_the_state (void)
{
  struct setup setup;
  struct jr_observer observer = { .ctx = &setup, .term_read = on_term };
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct jb_table *table = jb_table_create ();
  struct jb_term term = { .term = 4, .host = "h", .nonce = 9 };
  struct so_read_answer expired = { .result = SO_EXPIRED };
  struct jb_job *job
      = jb_table_add (table, JOB, fixture_spec ("batch", "clinic", &step), 0);
  so_read_callback callback;

  begin (&setup);
  setup.state_at_term = -2;
  jr_observe (setup.journal, &observer);
  callback = setup.store.jobs_read;
  setup.store.jobs_read = NULL;
  if (callback != NULL)
    {
      expired.records = setup.records;
      callback (setup.store.jobs_ctx, &expired);
    }
  run_for_ms (&setup, 30);
  job->state = JB_RUNNING;
  add_bytes (&setup, "t", jb_encode_term (&term));
  add_bytes (&setup, "p/00000000000000aa", jb_encode_progress (job, 3));
  add_job (&setup, JOB);
  answer_jobs (&setup, true); /* the newest */
  CU_ASSERT_EQUAL (setup.state_at_term, JB_RUNNING);
  jb_table_free (table);
  finish (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "a lot before the end is not fresh",
      test_lot_before_the_end_is_not_fresh },
    { "a view is fresh soon after the newest were read",
      test_view_is_fresh_soon_after_the_newest_were_read },
    { "age grows while behind", test_age_grows_while_behind },
    { "a write without an answer is unknown",
      test_write_without_answer_is_unknown },
    { "a write whose answer is lost is sent again",
      test_write_whose_answer_is_lost_is_sent_again },
    { "a write always refused is not stored",
      test_write_always_refused_is_not_stored },
    { "a write is stored once its record is read",
      test_write_is_stored_once_its_record_is_read },
    { "the store away is told at once", test_store_away_is_told_at_once },
    { "the term comes after the state", test_term_comes_after_the_state },
    { "writes share an append", test_writes_share_an_append },
  };

  return check_run ("hostd journal", tests, G_N_ELEMENTS (tests));
}
