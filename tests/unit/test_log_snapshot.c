/* Snapshots in a stream of the log: parts, damaged parts, and which of several
   snapshots is preferred.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

#include "log/snapshot_stream.h"
#include "log_fixture.h"
#include "proto/record.pb-c.h"

enum
{
  TIMEOUT_MS = 300,
  MANY_PARTS_BYTES = 10 * SNAP_PART_SIZE_BYTES + 7
};

struct fixture
{
  struct lf_log log;
  struct snap_stream *stream;
  int write_count;
  int write_error;
  int read_count;
  int read_error;
  uint64_t offset;
  size_t size_bytes;
  uint8_t first_byte;
};

static void
on_written (void *ctx, int error, uint64_t offset)
{
  struct fixture *f = ctx;

  (void)offset;
  f->write_count++;
  f->write_error = error;
}

static void
on_read (void *ctx, int error, uint64_t offset, const uint8_t *data,
         size_t size_bytes)
{
  struct fixture *f = ctx;

  f->read_count++;
  f->read_error = error;
  f->offset = offset;
  f->size_bytes = size_bytes;
  f->first_byte = size_bytes > 0 ? data[0] : 0;
}

static bool
is_written (void *ctx)
{
  return ((struct fixture *)ctx)->write_count > 0;
}

static bool
is_read (void *ctx)
{
  return ((struct fixture *)ctx)->read_count > 0;
}

static void
setup (struct fixture *f)
{
  struct snap_params params = { .stream = "test.snapshot",
                                .timeout_ms = TIMEOUT_MS,
                                .on_written = on_written,
                                .on_read = on_read,
                                .ctx = f };

  memset (f, 0, sizeof *f);
  lf_open (&f->log, 0);
  params.loop = f->log.loop;
  params.http = f->log.http;
  params.url = f->log.url;
  CU_ASSERT_EQUAL_FATAL (snap_create (&f->stream, &params), SNAP_OK);
}

static void
teardown (struct fixture *f)
{
  snap_free (f->stream);
  lf_close (&f->log);
}

static int
write_snapshot (struct fixture *f, uint64_t offset, bool rescue, uint8_t fill,
                size_t size_bytes)
{
  uint8_t *data = g_malloc (size_bytes);

  memset (data, fill, size_bytes);
  f->write_count = 0;
  CU_ASSERT_EQUAL (snap_write (f->stream, offset, rescue, data, size_bytes),
                   SNAP_OK);
  g_free (data);
  CU_ASSERT_TRUE (lf_run (&f->log, is_written, f, LF_WAIT_LIMIT_MS));
  return f->write_error;
}

static int
read_snapshot (struct fixture *f, uint64_t wanted)
{
  f->read_count = 0;
  CU_ASSERT_EQUAL (snap_read (f->stream, wanted), SNAP_OK);
  CU_ASSERT_EQUAL (snap_read (f->stream, wanted), SNAP_ERR_BUSY);
  CU_ASSERT_TRUE (lf_run (&f->log, is_read, f, LF_WAIT_LIMIT_MS));
  return f->read_error;
}

static void
test_write_and_read (void)
{
  struct fixture f;

  setup (&f);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_ERR_NOT_FOUND);
  CU_ASSERT_EQUAL (write_snapshot (&f, 5, false, 'a', 10), SNAP_OK);
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'b', MANY_PARTS_BYTES),
                   SNAP_OK);
  CU_ASSERT_EQUAL (write_snapshot (&f, 7, false, 'c', 10), SNAP_OK);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_OK);
  CU_ASSERT_EQUAL (f.offset, 7);
  /* The snapshot that reaches offset 8 lies further back in the stream.  */
  CU_ASSERT_EQUAL (read_snapshot (&f, 8), SNAP_OK);
  CU_ASSERT_EQUAL (f.offset, 9);
  CU_ASSERT_EQUAL (f.size_bytes, MANY_PARTS_BYTES);
  CU_ASSERT_EQUAL (f.first_byte, 'b');
  teardown (&f);
}

/* A part whose answer was lost is written twice; readers ignore the second. */
static void
test_lost_answers (void)
{
  struct fixture f;

  setup (&f);
  lf_control (&f.log, "{\"drop_answers\":3}");
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'b', MANY_PARTS_BYTES),
                   SNAP_OK);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_OK);
  CU_ASSERT_EQUAL (f.size_bytes, MANY_PARTS_BYTES);
  teardown (&f);
}

/* A snapshot whose first parts have expired is not complete.  */
static void
test_expired_parts (void)
{
  struct fixture f;

  setup (&f);
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'b', MANY_PARTS_BYTES),
                   SNAP_OK);
  lf_control (&f.log, "{\"retention_records\":5}");
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_ERR_NOT_FOUND);
  CU_ASSERT_EQUAL (write_snapshot (&f, 10, false, 'c', 10), SNAP_OK);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_OK);
  CU_ASSERT_EQUAL (f.offset, 10);
  teardown (&f);
}

static void
test_outage (void)
{
  struct fixture f;

  setup (&f);
  lf_control (&f.log, "{\"outage\":true,\"mode\":\"error\"}");
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_ERR_LOG_UNAVAILABLE);
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'b', 10),
                   SNAP_ERR_LOG_UNAVAILABLE);
  lf_control (&f.log, "{\"outage\":false}");
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'b', 10), SNAP_OK);
  teardown (&f);
}

/* All readers prefer the same rescue, however far back they read at first.  */
static void
test_preferred_rescue (void)
{
  struct fixture f;

  setup (&f);
  CU_ASSERT_EQUAL (write_snapshot (&f, 4, false, 'o', 10), SNAP_OK);
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, true, 'a', 10), SNAP_OK);
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, true, 'b', MANY_PARTS_BYTES),
                   SNAP_OK);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_OK);
  CU_ASSERT_EQUAL (f.first_byte, 'a');
  /* The snapshot of a host that continued from the first rescue.  */
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'A', 10), SNAP_OK);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_OK);
  CU_ASSERT_EQUAL (f.first_byte, 'A');
  CU_ASSERT_EQUAL (write_snapshot (&f, 12, false, 'n', 10), SNAP_OK);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_OK);
  CU_ASSERT_EQUAL (f.offset, 12);
  teardown (&f);
}

/* Randomly changed parts are ignored or used, and never crash the assembly. */
static void
test_damaged_parts (void)
{
  GRand *random = g_rand_new_with_seed (1);
  Ft__SnapshotPart part = FT__SNAPSHOT_PART__INIT;
  struct snap_assembly *assembly = snap_assembly_new ();
  uint8_t id[16] = { 1 };
  uint8_t packed[64];
  uint8_t damaged[64];
  size_t size_bytes;
  int i;

  part.id.data = id;
  part.id.len = sizeof id;
  part.offset = 3;
  part.parts = 2;
  part.data.data = id;
  part.data.len = sizeof id;
  size_bytes = ft__snapshot_part__pack (&part, packed);
  for (i = 0; i < 20000; i++)
    {
      memcpy (damaged, packed, size_bytes);
      damaged[g_rand_int_range (random, 0, (gint32)size_bytes)]
          = (uint8_t)g_rand_int (random);
      snap_assembly_add (
          assembly, (uint64_t)i, damaged,
          (size_t)g_rand_int_range (random, 0, (gint32)size_bytes + 1));
    }
  snap_assembly_free (assembly);
  g_rand_free (random);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("snapshot stream", NULL, NULL);
  CU_add_test (suite, "write and read", test_write_and_read);
  CU_add_test (suite, "lost answers", test_lost_answers);
  CU_add_test (suite, "expired parts", test_expired_parts);
  CU_add_test (suite, "outage", test_outage);
  CU_add_test (suite, "rescues", test_preferred_rescue);
  CU_add_test (suite, "damaged parts", test_damaged_parts);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
