/* Tests of membership by heartbeats, of the host list, and of frames.  */

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "member/frames.h"
#include "member/host_list.h"
#include "member/members.h"
#include "unit/check.h"

enum
{
  HEARTBEAT_INTERVAL_MS = 100,
  TIMEOUT_MS = 400,
  SETTLE_MS = 200
};

static char *hears_e1[] = { "e1" };

static struct mem_table *
make_table (void)
{
  struct mem_params params
      = { .self = "e1", .timeout_ms = TIMEOUT_MS, .settle_ms = SETTLE_MS };

  return mem_create (&params);
}

static void
receive_heartbeat (struct mem_table *table, const char *host, bool hears_us,
                   int64_t now_ms)
{
  Ft__Heartbeat heartbeat = FT__HEARTBEAT__INIT;

  heartbeat.host = (char *)(uintptr_t)host;
  heartbeat.heard = hears_e1;
  heartbeat.n_heard = hears_us ? 1 : 0;
  mem_heartbeat (table, &heartbeat, now_ms);
}

static void
count_host (void *ctx, const struct mem_host *host)
{
  (void)host;
  ++*(int *)ctx;
}

static int
count_members (struct mem_table *table, int64_t now_ms)
{
  int count = 0;

  mem_update (table, now_ms);
  mem_each_member (table, count_host, &count);
  return count;
}

static void
test_join_and_leave (void)
{
  struct mem_table *table = make_table ();
  int64_t t;

  receive_heartbeat (table, "e2", true, 0);
  CU_ASSERT_EQUAL (count_members (table, 0), 0); /* not settled */
  for (t = 0; t <= SETTLE_MS; t += HEARTBEAT_INTERVAL_MS)
    receive_heartbeat (table, "e2", true, t);
  CU_ASSERT_EQUAL (count_members (table, SETTLE_MS), 1);
  CU_ASSERT_EQUAL (count_members (table, SETTLE_MS + TIMEOUT_MS), 1);
  CU_ASSERT_EQUAL (count_members (table, SETTLE_MS + TIMEOUT_MS + 1), 0);
  mem_free (table);
}

static void
test_one_way_cut (void)
{
  struct mem_table *table = make_table ();
  int64_t t;

  for (t = 0; t <= 1000; t += HEARTBEAT_INTERVAL_MS)
    receive_heartbeat (table, "e2", true, t);
  CU_ASSERT_EQUAL (count_members (table, 1000), 1);
  receive_heartbeat (table, "e2", false,
                     1100); /* it does not receive our heartbeats */
  CU_ASSERT_EQUAL (count_members (table, 1100), 0);
  mem_free (table);
}

static void
test_pause (void)
{
  struct mem_table *table = make_table ();
  int64_t t;

  for (t = 0; t <= 1000; t += HEARTBEAT_INTERVAL_MS)
    receive_heartbeat (table, "e2", true, t);
  CU_ASSERT_EQUAL (count_members (table, 1000), 1);
  mem_exclude_pause (table, 60000);
  CU_ASSERT_EQUAL (count_members (table, 61000), 1);
  CU_ASSERT_EQUAL (count_members (table, 61000 + TIMEOUT_MS + 1), 0);
  mem_free (table);
}

static void
test_host_list (void)
{
  static const char good[]
      = "{\"version\":3,\"hosts\":[{\"name\":\"w1\",\"kind\":\"worker\","
        "\"address\":\"127.0.0.1\",\"port\":9,\"data_centre\":\"bole\","
        "\"rack\":\"r1\",\"state\":\"leaving\",\"accelerators\":8}]}";
  static const char no_kind[] = "{\"hosts\":[{\"name\":\"x\"}]}";
  static const char unknown_kind[]
      = "{\"hosts\":[{\"name\":\"x\",\"kind\":\"robot\",\"address\":\"a\","
        "\"port\":1,\"state\":\"live\"}]}";
  static const char *const bad[]
      = { "", "[]", "{\"hosts\":3}", no_kind, unknown_kind };
  struct hl_list *list;
  size_t i;

  CU_ASSERT_EQUAL_FATAL (hl_parse (&list, good, strlen (good)), HL_OK);
  CU_ASSERT_EQUAL (list->version, 3);
  CU_ASSERT_PTR_NOT_NULL_FATAL (hl_find (list, HL_WORKER, "w1"));
  CU_ASSERT_TRUE (hl_find (list, HL_WORKER, "w1")->leaving);
  CU_ASSERT_PTR_NULL (hl_find (list, HL_ENTRY, "w1"));
  hl_unref (list);
  for (i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_EQUAL (hl_parse (&list, bad[i], strlen (bad[i])),
                     HL_ERR_INVALID);
}

struct receiver
{
  char received[32];
  size_t frames;
  bool closed;
};

static void
on_frame (void *ctx, struct fm_connection *connection, const uint8_t *data,
          size_t size_bytes)
{
  struct receiver *receiver = ctx;

  (void)connection;
  memcpy (receiver->received + strlen (receiver->received), data, size_bytes);
  receiver->frames++;
}

static void
on_closed (void *ctx, struct fm_connection *connection)
{
  struct receiver *receiver = ctx;

  (void)connection;
  receiver->closed = true;
}

static void
test_frames (void)
{
  static const uint8_t two[] = { 0, 0, 0, 2, 'a', 'b', 0, 0, 0, 1, 'c' };
  static const uint8_t huge[] = { 0xff, 0xff, 0xff, 0xff };
  struct receiver receiver = { .frames = 0 };
  struct fm_callbacks callbacks
      = { .frame = on_frame, .closed = on_closed, .ctx = &receiver };
  struct fm_connection *connection;
  size_t i;
  int fds[2];

  CU_ASSERT_EQUAL_FATAL (
      socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
  connection = fm_adopt_socket (EV_DEFAULT, fds[0], &callbacks);
  for (i = 0; i < sizeof two; i++)
    {
      CU_ASSERT_EQUAL (write (fds[1], &two[i], 1), 1);
      ev_run (EV_DEFAULT, EVRUN_NOWAIT);
    }
  CU_ASSERT_EQUAL (receiver.frames, 2);
  CU_ASSERT_STRING_EQUAL (receiver.received, "abc");
  CU_ASSERT_FALSE (receiver.closed);
  CU_ASSERT_EQUAL (write (fds[1], huge, sizeof huge), 4);
  ev_run (EV_DEFAULT, EVRUN_NOWAIT);
  CU_ASSERT_TRUE (receiver.closed);
  fm_free (connection);
  close (fds[1]);
}

int
main (void)
{
  static const struct check_test tests[]
      = { { "join and leave", test_join_and_leave },
          { "a network cut in one direction ends membership",
            test_one_way_cut },
          { "a pause of this process ends no membership", test_pause },
          { "host list", test_host_list },
          { "frames in pieces, and an invalid length", test_frames } };

  return check_run ("members", tests, sizeof tests / sizeof tests[0]);
}
