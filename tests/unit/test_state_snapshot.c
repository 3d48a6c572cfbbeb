/* Determinism of the fold and of snapshots, tested with random records from
   fixed seeds.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdlib.h>

#include "state_fixture.h"

enum
{
  SEEDS = 200,
  RECORDS = 400,
  NAMES = 12,       /* different ids of jobs and keys in the records */
  STEP_MS = 20000,  /* greatest step of the log time between records */
  MUTATIONS = 3000, /* single-byte changes of one snapshot */
};

/* Folds one random record.  Most of them fit the state of their job or key,
   but many do not, so that the rules against them are covered.  */
static void
fold_random (struct sf_fixture *f, GRand *random)
{
  uint64_t term = st_term (f->state) - (g_rand_int_range (random, 0, 8) == 0);
  const struct st_job *job;
  uint32_t attempt;
  uint32_t tasks;
  char name[16];
  char request[16];

  g_snprintf (name, sizeof name, "n%d", g_rand_int_range (random, 0, NAMES));
  g_snprintf (request, sizeof request, "r%d", g_rand_int_range (random, 0, 4));
  job = st_job (f->state, name);
  attempt = job == NULL ? 0 : job->attempt;
  tasks = job == NULL ? 1 : job->spec->shape->tasks;
  f->time_ms += g_rand_int_range (random, 0, STEP_MS);
  switch (g_rand_int_range (random, 0, 13))
    {
    case 0:
      sf_acquire_term_with_window (
          f, st_term (f->state) + 1, name,
          (uint64_t)g_rand_int_range (random, 0, SF_WINDOW_MS));
      break;
    case 1:
      sf_change_config (f, st_revision (f->state), name);
      break;
    case 2:
      sf_cancel (f, name);
      break;
    case 3:
      sf_refuse (f, g_rand_boolean (random) ? 0 : term, name);
      break;
    case 4:
    case 5:
      sf_submit (f, name, (uint32_t)g_rand_int_range (random, 1, 5),
                 g_rand_boolean (random), "d");
      break;
    case 6:
    case 7:
      sf_place (f, term, name, attempt + 1, tasks);
      break;
    case 8:
      sf_start (f, term, name, attempt);
      break;
    case 9:
      sf_task_end (f, name, attempt,
                   (uint32_t)g_rand_int_range (random, 0, (gint32)tasks),
                   g_rand_int_range (random, 0, 4) > 0, name);
      break;
    case 10:
      sf_stop (f, term, name, attempt, g_rand_boolean (random),
               g_rand_boolean (random));
      break;
    case 11:
      sf_claim (f, g_rand_boolean (random) ? "a" : "b", name, request, "d");
      break;
    default:
      sf_claim_end (f, g_rand_boolean (random) ? "a" : "b", name, request,
                    (enum st_claim_state)g_rand_int_range (random, 1, 4));
      break;
    }
}

static GBytes *
encode (const struct st_state *state)
{
  uint8_t *data;
  size_t size_bytes;

  g_assert (st_encode (state, &data, &size_bytes) == ST_OK);
  return g_bytes_new_with_free_func (data, size_bytes, free, data);
}

static int
decode (struct st_state *state, GBytes *bytes)
{
  return st_decode (state, g_bytes_get_data (bytes, NULL),
                    g_bytes_get_size (bytes));
}

static bool
same_state (const struct st_state *left, const struct st_state *right)
{
  GBytes *a = encode (left);
  GBytes *b = encode (right);
  bool same = g_bytes_equal (a, b);

  g_bytes_unref (a);
  g_bytes_unref (b);
  return same;
}

/* WHOLE folds all records.  TAIL starts from a snapshot of WHOLE, taken after
   a random number of records, and folds the remaining ones.  Both must give
   the same verdicts and the same state.  Both get the same records, because
   these depend only on the random numbers and on the state.  */
static void
compare_with_snapshot_run (uint32_t seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  GRand *copy;
  struct sf_fixture whole;
  struct sf_fixture tail;
  GBytes *snapshot;
  int middle = g_rand_int_range (random, 1, RECORDS);
  int i;

  sf_open (&whole);
  sf_open (&tail);
  sf_acquire_term_with_window (&whole, 1, "a", SF_WINDOW_MS / 2);
  for (i = 0; i < middle; i++)
    fold_random (&whole, random);
  snapshot = encode (whole.state);
  CU_ASSERT_EQUAL (decode (tail.state, snapshot), ST_OK);
  CU_ASSERT_TRUE (same_state (whole.state, tail.state));
  tail.time_ms = whole.time_ms;
  tail.newest_id = whole.newest_id;
  copy = g_rand_copy (random);
  for (; i < RECORDS; i++)
    {
      fold_random (&whole, random);
      fold_random (&tail, copy);
      CU_ASSERT_EQUAL (whole.verdict, tail.verdict);
    }
  CU_ASSERT_TRUE (same_state (whole.state, tail.state));
  g_bytes_unref (snapshot);
  g_rand_free (random);
  g_rand_free (copy);
  sf_close (&whole);
  sf_close (&tail);
}

static void
test_fold_is_deterministic (void)
{
  uint32_t seed;

  for (seed = 1; seed <= SEEDS; seed++)
    compare_with_snapshot_run (seed);
}

static void
test_decode_notifies_changes (void)
{
  struct sf_fixture old;
  struct sf_fixture newer;
  GBytes *snapshot;

  sf_open (&old);
  sf_open (&newer);
  sf_acquire_term (&old, 1, "a");
  sf_submit (&old, "gone", 1, true, "d");
  sf_submit (&old, "same", 1, true, "d");
  sf_acquire_term (&newer, 1, "a");
  newer.newest_id++; /* skips the submission that only OLD has */
  sf_submit (&newer, "same", 1, true, "d");
  sf_submit (&newer, "new", 1, true, "d");
  sf_claim (&newer, "a", "key", "r", "d");
  sf_change_config (&newer, 0, "a: 1");
  snapshot = encode (newer.state);
  old.job_changes = 0;
  old.term_changes = 0;
  CU_ASSERT_EQUAL (decode (old.state, snapshot), ST_OK);
  CU_ASSERT_EQUAL (old.job_changes, 1);
  CU_ASSERT_EQUAL (old.jobs_dropped, 1);
  CU_ASSERT_EQUAL (old.claim_changes, 1);
  CU_ASSERT_EQUAL (old.config_changes, 1);
  CU_ASSERT_EQUAL (old.term_changes, 0);
  /* The same snapshot is not newer: the second decode has no effect.  */
  CU_ASSERT_EQUAL (decode (old.state, snapshot), ST_OK);
  CU_ASSERT_EQUAL (old.config_changes, 1);
  g_bytes_unref (snapshot);
  sf_close (&old);
  sf_close (&newer);
}

static void
test_decode_never_reverts (void)
{
  struct sf_fixture old;
  struct sf_fixture other;
  GBytes *snapshot;
  int i;

  sf_open (&old);
  sf_open (&other);
  sf_change_config (&old, 0, "a: 1");
  sf_change_config (&old, 1, "a: 2");
  /* OTHER has the higher offset, but an older configuration.  */
  sf_change_config (&other, 0, "a: 1");
  for (i = 0; i < 5; i++)
    sf_submit (&other, "j", 1, true, "d");
  snapshot = encode (other.state);
  CU_ASSERT_EQUAL (decode (old.state, snapshot), ST_ERR_WOULD_REVERT);
  CU_ASSERT_EQUAL (st_revision (old.state), 2);
  g_bytes_unref (snapshot);
  /* The snapshot has a lower offset than the state: no effect.  */
  snapshot = encode (old.state);
  CU_ASSERT_EQUAL (decode (other.state, snapshot), ST_OK);
  CU_ASSERT_EQUAL (st_revision (other.state), 1);
  g_bytes_unref (snapshot);
  sf_close (&old);
  sf_close (&other);
}

/* A state that was decoded from a snapshot still drops duplicates of records
   that were folded before the snapshot.  */
static void
test_duplicates_across_snapshot (void)
{
  struct sf_fixture whole;
  struct sf_fixture tail;
  GBytes *snapshot;

  sf_open (&whole);
  sf_open (&tail);
  sf_claim (&whole, "a", "key", "r1", "d");
  snapshot = encode (whole.state);
  CU_ASSERT_EQUAL (decode (tail.state, snapshot), ST_OK);
  tail.newest_id = 0;
  CU_ASSERT_EQUAL (sf_claim (&tail, "a", "key", "r1", "d"),
                   ST_VERDICT_DUPLICATE);
  g_bytes_unref (snapshot);
  sf_close (&whole);
  sf_close (&tail);
}

/* Randomly changed bytes are rejected or decoded, and never crash the decoder.
   A state that was decoded can be encoded again.  */
static void
test_damaged_bytes (void)
{
  GRand *random = g_rand_new_with_seed (1);
  struct sf_fixture whole;
  struct sf_fixture other;
  GBytes *snapshot;
  uint8_t *bytes;
  gsize size_bytes;
  int accepted = 0;
  int i;

  sf_open (&whole);
  for (i = 0; i < RECORDS; i++)
    fold_random (&whole, random);
  snapshot = encode (whole.state);
  size_bytes = g_bytes_get_size (snapshot);
  for (i = 0; i < MUTATIONS; i++)
    {
      bytes = g_memdup2 (g_bytes_get_data (snapshot, NULL), size_bytes);
      bytes[g_rand_int_range (random, 0, (gint32)size_bytes)]
          = (uint8_t)g_rand_int (random);
      sf_open (&other);
      if (st_decode (
              other.state, bytes,
              i % 2 ? size_bytes
                    : (gsize)g_rand_int_range (random, 0, (gint32)size_bytes))
          == ST_OK)
        accepted++;
      st_apply (other.state, 1, 1, bytes, size_bytes);
      g_bytes_unref (encode (other.state));
      sf_close (&other);
      g_free (bytes);
    }
  CU_ASSERT_TRUE (accepted < MUTATIONS);
  g_bytes_unref (snapshot);
  g_rand_free (random);
  sf_close (&whole);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("snapshot", NULL, NULL);
  CU_add_test (suite, "deterministic", test_fold_is_deterministic);
  CU_add_test (suite, "decode notifies changes", test_decode_notifies_changes);
  CU_add_test (suite, "decode never reverts", test_decode_never_reverts);
  CU_add_test (suite, "duplicates", test_duplicates_across_snapshot);
  CU_add_test (suite, "damaged bytes", test_damaged_bytes);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
