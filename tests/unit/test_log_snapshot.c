/* Snapshots in a stream of the log: parts, damage, and which one counts.  */

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
  int written;
  int write_error;
  int reads;
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
  f->written++;
  f->write_error = error;
}

static void
on_read (void *ctx, int error, uint64_t offset, const uint8_t *data,
         size_t size_bytes)
{
  struct fixture *f = ctx;

  f->reads++;
  f->read_error = error;
  f->offset = offset;
  f->size_bytes = size_bytes;
  f->first_byte = size_bytes > 0 ? data[0] : 0;
}

static bool
is_written (void *ctx)
{
  return ((struct fixture *)ctx)->written > 0;
}

static bool
is_read (void *ctx)
{
  return ((struct fixture *)ctx)->reads > 0;
}

static void
setup (struct fixture *f)
{
  struct snap_params params = { .stream = "test.snapshot",
                                .timeout_ms = TIMEOUT_MS,
                                .written = on_written,
                                .read = on_read,
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
  f->written = 0;
  CU_ASSERT_EQUAL (snap_write (f->stream, offset, rescue, data, size_bytes),
                   SNAP_OK);
  g_free (data);
  CU_ASSERT_TRUE (lf_run (&f->log, is_written, f, LF_LIMIT_MS));
  return f->write_error;
}

static int
read_snapshot (struct fixture *f, uint64_t wanted)
{
  f->reads = 0;
  CU_ASSERT_EQUAL (snap_read (f->stream, wanted), SNAP_OK);
  CU_ASSERT_EQUAL (snap_read (f->stream, wanted), SNAP_ERR_BUSY);
  CU_ASSERT_TRUE (lf_run (&f->log, is_read, f, LF_LIMIT_MS));
  return f->read_error;
}

static void
test_write_and_read (void)
{
  struct fixture f;

  setup (&f);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_ERR_NONE);
  CU_ASSERT_EQUAL (write_snapshot (&f, 5, false, 'a', 10), SNAP_OK);
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'b', MANY_PARTS_BYTES),
                   SNAP_OK);
  CU_ASSERT_EQUAL (write_snapshot (&f, 7, false, 'c', 10), SNAP_OK);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_OK);
  CU_ASSERT_EQUAL (f.offset, 7);
  /* The one that reaches offset 8 lies further back.  */
  CU_ASSERT_EQUAL (read_snapshot (&f, 8), SNAP_OK);
  CU_ASSERT_EQUAL (f.offset, 9);
  CU_ASSERT_EQUAL (f.size_bytes, MANY_PARTS_BYTES);
  CU_ASSERT_EQUAL (f.first_byte, 'b');
  teardown (&f);
}

/* Answers that are lost make parts appear twice.  */
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

/* What lost its first parts to the retention does not count.  */
static void
test_expired_parts (void)
{
  struct fixture f;

  setup (&f);
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'b', MANY_PARTS_BYTES),
                   SNAP_OK);
  lf_control (&f.log, "{\"retention_records\":5}");
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_ERR_NONE);
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
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_ERR_DOWN);
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'b', 10), SNAP_ERR_DOWN);
  lf_control (&f.log, "{\"outage\":false}");
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'b', 10), SNAP_OK);
  teardown (&f);
}

/* All readers agree on one rescue, however far back they look at first.  */
static void
test_rescues (void)
{
  struct fixture f;

  setup (&f);
  CU_ASSERT_EQUAL (write_snapshot (&f, 4, false, 'o', 10), SNAP_OK);
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, true, 'a', 10), SNAP_OK);
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, true, 'b', MANY_PARTS_BYTES),
                   SNAP_OK);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_OK);
  CU_ASSERT_EQUAL (f.first_byte, 'a');
  /* A host that went on from the first one.  */
  CU_ASSERT_EQUAL (write_snapshot (&f, 9, false, 'A', 10), SNAP_OK);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_OK);
  CU_ASSERT_EQUAL (f.first_byte, 'A');
  CU_ASSERT_EQUAL (write_snapshot (&f, 12, false, 'n', 10), SNAP_OK);
  CU_ASSERT_EQUAL (read_snapshot (&f, 0), SNAP_OK);
  CU_ASSERT_EQUAL (f.offset, 12);
  teardown (&f);
}

/* Parts with any bytes changed are passed over or used, and never crash.  */
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
  CU_add_test (suite, "rescues", test_rescues);
  CU_add_test (suite, "damaged parts", test_damaged_parts);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
