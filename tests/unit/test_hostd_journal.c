/* Tests of the journal: when its view of the jobs is fresh, and the
   outcomes of callers' writes.  */

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
  int outcome_count;
  enum jr_outcome outcome;
  int fresh;         /* -1: jr_when_fresh () has not called back */
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

/* Answers the pending read of the jobs' topic with the records of SETUP.  */
static void
answer_jobs (struct setup *setup, bool at_end)
{
  struct so_read_answer answer = { .result = SO_DONE,
                                   .records = setup->records,
                                   .next_offset = 100,
                                   .at_end = at_end };
  so_read_callback callback = setup->store.jobs_read;

  CU_ASSERT_PTR_NOT_NULL_FATAL (callback);
  if (callback == NULL)
    return;
  setup->store.jobs_read = NULL;
  answer.wait_expired = setup->records->len == 0;
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
  answer_jobs (setup, true); /* the newest records: none */
  run_for_ms (setup, 20);
}

/* Answers all open appends with success, so that none is retried.  */
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

  setup->outcome_count++;
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

/* A host that was reconnected to the store had read only a first batch of the
   records it had missed, took its view for fresh, and answered a cancellation
   with "no such job" while the job went on running (bofl site grown, day
   scale-2).  */
static void
test_batch_before_the_end_is_not_fresh (void)
{
  struct setup setup;

  begin (&setup);
  jr_when_fresh (setup.journal, 5000, on_fresh, &setup);
  run_for_ms (&setup, 5);
  add_job (&setup, "00000000000000bb");
  answer_jobs (&setup, false); /* of a read sent before the wait */
  run_for_ms (&setup, 20);
  add_job (&setup, "00000000000000cc");
  answer_jobs (&setup, false);
  CU_ASSERT_EQUAL (setup.fresh, -1);
  run_for_ms (&setup, 20);
  add_job (&setup, JOB);
  answer_jobs (&setup, true);
  CU_ASSERT_EQUAL (setup.fresh, 1);
  CU_ASSERT_PTR_NOT_NULL (jb_table_find (jr_job_table (setup.journal), JOB));
  finish (&setup);
}

static void
test_view_ages_until_the_end_is_reached (void)
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

/* A host that had just loaded the operator's configuration took it for older
   than any bound until its first read of later records was answered, 0.9 s
   later, and refused callers meanwhile (days with a final fault).  */
static void
test_view_is_fresh_soon_after_loading (void)
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

/* Answers the last append that is still open.  */
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
test_write_without_answer_has_unknown_outcome (void)
{
  struct setup setup;

  begin (&setup);
  submit (&setup, 100);
  answer_append (&setup, SO_UNKNOWN);
  answer_append (&setup, SO_REFUSED); /* the retry is refused */
  run_for_ms (&setup, 200);
  CU_ASSERT_EQUAL (setup.outcome_count, 1);
  CU_ASSERT_EQUAL (setup.outcome, JR_OUTCOME_UNKNOWN);
  finish (&setup);
}

/* With a third of the answers lost (fault platform_lost), each write without
   an answer was retried only after the timeout of 0.7 s.  */
static void
test_write_whose_answer_is_lost_is_retried (void)
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
  CU_ASSERT_EQUAL (setup.store.append_count,
                   1); /* nothing shows that the answer is lost */
  until_ms = clk_monotonic_ms (NULL) + 1000;
  while (setup.store.append_count == 1 && clk_monotonic_ms (NULL) < until_ms)
    {
      if (setup.store.jobs_read != NULL)
        {
          add_job (&setup, "00000000000000bb");
          answer_jobs (&setup, true); /* the store answers quickly */
        }
      run_for_ms (&setup, 10);
    }
  CU_ASSERT_EQUAL (setup.store.append_count, 2);
  CU_ASSERT_EQUAL (setup.outcome_count, 0);
  setup.store.appended[0](setup.store.append_ctx[0], &done); /* late */
  setup.store.appended[0] = NULL;
  CU_ASSERT_EQUAL (setup.outcome_count, 1);
  CU_ASSERT_EQUAL (setup.outcome, JR_STORED);
  finish (&setup);
}

static void
test_write_always_refused_ends_as_not_stored (void)
{
  struct setup setup;
  int i;

  begin (&setup);
  submit (&setup, 2000);
  for (i = 0; i < 10 && setup.outcome_count == 0; i++)
    {
      answer_append (&setup, SO_REFUSED);
      run_for_ms (&setup, 80);
    }
  CU_ASSERT_EQUAL (setup.outcome_count, 1);
  CU_ASSERT_EQUAL (setup.outcome, JR_NOT_STORED);
  finish (&setup);
}

static void
test_write_ends_as_stored_once_its_record_is_read (void)
{
  struct setup setup;

  begin (&setup);
  submit (&setup, 2000);
  answer_append (&setup, SO_UNKNOWN);
  add_job (&setup, JOB);
  answer_jobs (&setup, true);
  CU_ASSERT_EQUAL (setup.outcome_count, 1);
  CU_ASSERT_EQUAL (setup.outcome, JR_STORED);
  finish (&setup);
}

/* While the store answered no host at all, callers waited for 2.9 s until they
   were told that the outcome is unknown (incident inc-7934, anla-rounds).  */
static void
test_unreachable_store_is_reported_at_once (void)
{
  struct setup setup;

  begin (&setup);
  submit (&setup, 3000);
  answer_append (&setup, SO_UNKNOWN);
  run_for_ms (&setup, 1200);
  CU_ASSERT_TRUE (jr_store_unreachable_ms (setup.journal) > 0);
  CU_ASSERT_EQUAL (setup.outcome_count, 1);
  CU_ASSERT_EQUAL (setup.outcome, JR_OUTCOME_UNKNOWN);
  submit (&setup, 3000);
  CU_ASSERT_EQUAL (setup.outcome_count, 2);
  CU_ASSERT_EQUAL (setup.outcome, JR_NOT_STORED);
  answer_jobs (&setup, true);
  CU_ASSERT_EQUAL (jr_store_unreachable_ms (setup.journal), 0);
  finish (&setup);
}

static void
test_concurrent_writes_share_an_append (void)
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
on_term (void *ctx, const struct jb_term_record *term)
{
  struct setup *setup = ctx;
  struct jb_job *job = jb_table_find (jr_job_table (setup->journal), JOB);

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

/* The term is applied after all other loaded records, so that a host that
   finds its own term among them starts planning with their state.  */
static void
test_term_is_applied_after_the_state (void)
{
  struct setup setup;
  struct jr_observer observer = { .ctx = &setup, .term_read = on_term };
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct jb_table *table = jb_table_create ();
  struct jb_term_record term = { .term = 4, .host = "h", .nonce = 9 };
  struct so_read_answer expired = { .result = SO_EXPIRED };
  struct jb_job *job
      = jb_table_add (table, JOB, fixture_spec ("batch", "clinic", &step), 0);
  so_read_callback callback;

  begin (&setup);
  setup.state_at_term = -2;
  jr_set_observer (setup.journal, &observer);
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
  answer_jobs (&setup, true); /* the newest records */
  CU_ASSERT_EQUAL (setup.state_at_term, JB_RUNNING);
  jb_table_free (table);
  finish (&setup);
}

/* Guards against leases that are taken for over while they are renewed: the
   record that removes the last worker from the list has no bytes, and was
   taken for damaged, so that the next planner used the list before it.  */
static void
test_empty_list_of_leases_replaces_the_last (void)
{
  struct setup setup;
  GHashTable *list = g_hash_table_new (g_str_hash, g_str_equal);
  GByteArray *bytes;

  begin (&setup);
  g_hash_table_insert (list, (char *)"w1", GUINT_TO_POINTER (700));
  bytes = jb_encode_leases (list);
  g_ptr_array_add (setup.records,
                   so_record_create ("w", bytes->data, bytes->len));
  answer_jobs (&setup, true);
  CU_ASSERT_EQUAL (g_hash_table_size (jr_leases (setup.journal)), 1);
  g_byte_array_free (bytes, TRUE);
  g_hash_table_remove_all (list);
  bytes = jb_encode_leases (list);
  run_for_ms (&setup, 150);
  g_ptr_array_add (setup.records,
                   so_record_create ("w", bytes->data, bytes->len));
  answer_jobs (&setup, true);
  CU_ASSERT_EQUAL (g_hash_table_size (jr_leases (setup.journal)), 0);
  g_byte_array_free (bytes, TRUE);
  g_hash_table_destroy (list);
  finish (&setup);
}

/* Adds the newest record of the progress of a job that has completed.  */
static void
add_completed (struct setup *setup, const char *id)
{
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct jb_table *table = jb_table_create ();
  struct jb_job *job
      = jb_table_add (table, id, fixture_spec ("batch", "clinic", &step), 0);
  char *key = g_strdup_printf ("p/%s", id);

  job->state = JB_COMPLETED;
  add_bytes (setup, key, jb_encode_progress (job, 3));
  g_free (key);
  jb_table_free (table);
}

/* The host has lost the term, and loads the topic again.  */
static void
reload (struct setup *setup)
{
  run_for_ms (setup, 150);
  answer_jobs (setup, true);
  jr_reload (setup->journal);
  run_for_ms (setup, 150);
}

/* Guards against a job that runs again after it has completed: its record was
   removed while the host was cut off, and the host's own view of it was set
   back to the beginning when it loaded the topic again.  */
static void
test_job_that_is_not_loaded_again_is_removed (void)
{
  struct setup setup;

  begin (&setup);
  add_job (&setup, JOB);
  add_job (&setup, "00000000000000bb");
  add_completed (&setup, JOB);
  answer_jobs (&setup, true);
  reload (&setup);
  add_job (&setup, "00000000000000bb");
  answer_jobs (&setup, true); /* the newest records */
  CU_ASSERT_PTR_NULL (jb_table_find (jr_job_table (setup.journal), JOB));
  CU_ASSERT_PTR_NOT_NULL (
      jb_table_find (jr_job_table (setup.journal), "00000000000000bb"));
  finish (&setup);
}

/* Guards against a caller that is told of success although its job is not
   stored: the removal of the job's earlier record was read meanwhile.  */
static void
test_removal_does_not_end_a_write_as_stored (void)
{
  struct setup setup;
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);

  begin (&setup);
  jr_submit (setup.journal, JOB, spec, 5000, on_outcome, &setup);
  g_ptr_array_add (setup.records,
                   so_record_create ("j/00000000000000aa", NULL, 0));
  answer_jobs (&setup, true);
  CU_ASSERT_EQUAL (setup.outcome_count, 0);
  jb_spec_free (spec);
  finish (&setup);
}

/* A job that is stored while the pages are read is in none of them.  */
static void
test_job_stored_during_loading_stays (void)
{
  struct setup setup;
  struct fixture_step step = { .count = 1, .accelerators = 1 };
  struct jb_spec *spec = fixture_spec ("batch", "clinic", &step);

  begin (&setup);
  reload (&setup);
  jr_submit (setup.journal, JOB, spec, 5000, on_outcome, &setup);
  end_appends (&setup);
  answer_jobs (&setup, true); /* the newest records: none */
  CU_ASSERT_PTR_NOT_NULL (jb_table_find (jr_job_table (setup.journal), JOB));
  jb_spec_free (spec);
  finish (&setup);
}

/* Guards against a lease that is taken for over while it is renewed: an empty
   list of leases leaves no record to load.  */
static void
test_leases_that_are_not_loaded_again_are_forgotten (void)
{
  struct setup setup;
  GHashTable *list = g_hash_table_new (g_str_hash, g_str_equal);

  begin (&setup);
  g_hash_table_insert (list, (char *)"w1", GUINT_TO_POINTER (700));
  add_bytes (&setup, "w", jb_encode_leases (list));
  answer_jobs (&setup, true);
  reload (&setup);
  answer_jobs (&setup, true); /* the newest records: none */
  CU_ASSERT_PTR_NULL (jr_leases (setup.journal));
  g_hash_table_destroy (list);
  finish (&setup);
}

/* Guards against a job that runs again: its record was stored a second time
   while the pages were read, was left for later, and its progress, stored long
   before, was applied to no job.  */
static void
test_progress_of_job_stored_again_is_applied (void)
{
  struct setup setup;
  struct jb_job *job;

  begin (&setup);
  reload (&setup);
  add_job (&setup, JOB);
  ((struct so_record *)g_ptr_array_index (setup.records, 0))->offset = 150;
  add_completed (&setup, JOB);
  answer_jobs (&setup, true); /* the newest records, of up to offset 100 */
  job = jb_table_find (jr_job_table (setup.journal), JOB);
  CU_ASSERT_PTR_NOT_NULL (job);
  if (job != NULL)
    CU_ASSERT_EQUAL (job->state, JB_COMPLETED);
  finish (&setup);
}

enum
{
  RANKED_HOSTS = 15
};

/* The sum of 1 << rank over all hosts; all bits are set if no two of them have
   the same rank.  */
static uint32_t
collect_ranks (const struct setup *setup, uint32_t strength)
{
  uint32_t ranks = 0;
  char name[16];
  uint32_t i;

  for (i = 0; i < RANKED_HOSTS; i++)
    {
      g_snprintf (name, sizeof name, "host-%u", i);
      ranks |= 1U << jr_host_rank (setup->journal, name, strength);
    }
  return ranks;
}

/* Guards against many hosts that claim the term at one moment (day quiet-1 of
   the large anla-rounds: eight hosts within 11 ms).  */
static void
test_hosts_have_different_ranks (void)
{
  struct setup setup;
  struct jb_host_record host = { .strength = 500, .address = "127.0.0.1:1" };
  GByteArray *bytes = jb_encode_host (&host);
  char key[16];
  uint32_t i;

  begin (&setup);
  for (i = 0; i < RANKED_HOSTS; i++)
    {
      g_snprintf (key, sizeof key, "h/host-%u", i);
      g_ptr_array_add (setup.records,
                       so_record_create (key, bytes->data, bytes->len));
    }
  answer_jobs (&setup, true);
  CU_ASSERT_EQUAL (collect_ranks (&setup, 500), (1U << RANKED_HOSTS) - 1);
  CU_ASSERT_EQUAL (collect_ranks (&setup, 120), 1); /* none of that strength */
  g_byte_array_free (bytes, TRUE);
  finish (&setup);
}

/* Guards against a large configuration that is read twice: it was stored late
   in the wait of a read, which then timed out on a link of 2 Mbit/s (scale-2
   of the small twin of large).  */
static void
test_large_configuration_late_in_the_wait_is_read (void)
{
  enum
  {
    RECORD_MS = 1400 /* 350 KB over 2 Mbit/s */
  };
  struct setup setup;
  int i;

  begin (&setup);
  for (i = 0; i < 2; i++) /* the newest records, and what came since */
    {
      struct so_read_answer answer = { .result = SO_DONE,
                                       .records = setup.records,
                                       .at_end = true,
                                       .wait_expired = true };

      setup.store.operator_read (setup.store.operator_ctx, &answer);
      run_for_ms (&setup, 20);
    }
  CU_ASSERT_TRUE (setup.store.operator_wait_ms > 0);
  CU_ASSERT_TRUE (setup.store.operator_timeout_ms
                  >= setup.store.operator_wait_ms + RECORD_MS);
  finish (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "a batch before the end of the topic does not make the view fresh",
      test_batch_before_the_end_is_not_fresh },
    { "the view is fresh soon after loading",
      test_view_is_fresh_soon_after_loading },
    { "the view ages while the end of the topic is not reached",
      test_view_ages_until_the_end_is_reached },
    { "a write without an answer has an unknown outcome",
      test_write_without_answer_has_unknown_outcome },
    { "a write whose answer is lost is retried",
      test_write_whose_answer_is_lost_is_retried },
    { "a write that is always refused ends as not stored",
      test_write_always_refused_ends_as_not_stored },
    { "a write ends as stored once its record is read",
      test_write_ends_as_stored_once_its_record_is_read },
    { "an unreachable store is reported at once",
      test_unreachable_store_is_reported_at_once },
    { "the term is applied after the state",
      test_term_is_applied_after_the_state },
    { "concurrent writes share an append",
      test_concurrent_writes_share_an_append },
    { "an empty list of leases replaces the last",
      test_empty_list_of_leases_replaces_the_last },
    { "a job that is not loaded again is removed",
      test_job_that_is_not_loaded_again_is_removed },
    { "a removal does not end a write as stored",
      test_removal_does_not_end_a_write_as_stored },
    { "a job stored during loading stays",
      test_job_stored_during_loading_stays },
    { "leases that are not loaded again are forgotten",
      test_leases_that_are_not_loaded_again_are_forgotten },
    { "the progress of a job stored again is applied",
      test_progress_of_job_stored_again_is_applied },
    { "a large configuration late in the wait is read",
      test_large_configuration_late_in_the_wait_is_read },
    { "hosts have different ranks", test_hosts_have_different_ranks },
  };

  return check_run ("hostd journal", tests, G_N_ELEMENTS (tests));
}
