/* Determinism of the fold and of snapshots, by seeded random records.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <stdlib.h>

#include "state_fixture.h"

enum
{
  SEEDS = 200,
  RECORDS = 400,
  NAMES = 12,       /* jobs and keys that the records are about */
  STEP_MS = 20000,  /* between records, at most */
  MUTATIONS = 3000, /* of the bytes of one snapshot */
};

/* One random record: mostly in a sensible order, often not.  */
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
      sf_claim_term_with (
          f, st_term (f->state) + 1, name,
          (uint64_t)g_rand_int_range (random, 0, SF_WINDOW_MS));
      break;
    case 1:
      sf_configure (f, st_revision (f->state), name);
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

/* One fixture folds all; the other starts from a snapshot of the first, taken
   at a random place, and folds the rest.  Both random streams are the same,
   because they read the same states.  */
static void
run_seed (uint32_t seed)
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
  sf_claim_term_with (&whole, 1, "a", SF_WINDOW_MS / 2);
  for (i = 0; i < middle; i++)
    fold_random (&whole, random);
  snapshot = encode (whole.state);
  CU_ASSERT_EQUAL (decode (tail.state, snapshot), ST_OK);
  CU_ASSERT_TRUE (same_state (whole.state, tail.state));
  tail.time_ms = whole.time_ms;
  tail.ids = whole.ids;
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
test_deterministic (void)
{
  uint32_t seed;

  for (seed = 1; seed <= SEEDS; seed++)
    run_seed (seed);
}

static void
test_decode_tells_changes (void)
{
  struct sf_fixture old;
  struct sf_fixture newer;
  GBytes *snapshot;

  sf_open (&old);
  sf_open (&newer);
  sf_claim_term (&old, 1, "a");
  sf_submit (&old, "gone", 1, true, "d");
  sf_submit (&old, "same", 1, true, "d");
  sf_claim_term (&newer, 1, "a");
  newer.ids++; /* the submission that OLD has and NEWER lost */
  sf_submit (&newer, "same", 1, true, "d");
  sf_submit (&newer, "new", 1, true, "d");
  sf_claim (&newer, "a", "key", "r", "d");
  sf_configure (&newer, 0, "a: 1");
  snapshot = encode (newer.state);
  old.jobs = 0;
  old.terms = 0;
  CU_ASSERT_EQUAL (decode (old.state, snapshot), ST_OK);
  CU_ASSERT_EQUAL (old.jobs, 1);
  CU_ASSERT_EQUAL (old.jobs_dropped, 1);
  CU_ASSERT_EQUAL (old.claims, 1);
  CU_ASSERT_EQUAL (old.configs, 1);
  CU_ASSERT_EQUAL (old.terms, 0);
  /* The same again is not newer.  */
  CU_ASSERT_EQUAL (decode (old.state, snapshot), ST_OK);
  CU_ASSERT_EQUAL (old.configs, 1);
  g_bytes_unref (snapshot);
  sf_close (&old);
  sf_close (&newer);
}

static void
test_never_goes_back (void)
{
  struct sf_fixture old;
  struct sf_fixture other;
  GBytes *snapshot;
  int i;

  sf_open (&old);
  sf_open (&other);
  sf_configure (&old, 0, "a: 1");
  sf_configure (&old, 1, "a: 2");
  /* More offsets, yet an older configuration.  */
  sf_configure (&other, 0, "a: 1");
  for (i = 0; i < 5; i++)
    sf_submit (&other, "j", 1, true, "d");
  snapshot = encode (other.state);
  CU_ASSERT_EQUAL (decode (old.state, snapshot), ST_ERR_REVERTS);
  CU_ASSERT_EQUAL (st_revision (old.state), 2);
  g_bytes_unref (snapshot);
  /* Fewer offsets.  */
  snapshot = encode (old.state);
  CU_ASSERT_EQUAL (decode (other.state, snapshot), ST_OK);
  CU_ASSERT_EQUAL (st_revision (other.state), 1);
  g_bytes_unref (snapshot);
  sf_close (&old);
  sf_close (&other);
}

/* Duplicates of records from before the snapshot are still dropped.  */
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
  tail.ids = 0;
  CU_ASSERT_EQUAL (sf_claim (&tail, "a", "key", "r1", "d"), ST_DUPLICATE);
  g_bytes_unref (snapshot);
  sf_close (&whole);
  sf_close (&tail);
}

/* Bytes changed at random are refused or read, and never crash.  What is
   read can be written again.  */
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
  CU_add_test (suite, "deterministic", test_deterministic);
  CU_add_test (suite, "changes told", test_decode_tells_changes);
  CU_add_test (suite, "never back", test_never_goes_back);
  CU_add_test (suite, "duplicates", test_duplicates_across_snapshot);
  CU_add_test (suite, "damaged bytes", test_damaged_bytes);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
