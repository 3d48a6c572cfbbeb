/* Logs are bounded and never wait for their reader.  */

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "common/clock.h"
#include "common/logging.h"

static const char PART[] = "test";

enum
{
  LINES_PER_S = 10,
  PIPE_BYTES = 4096,
  MANY = 2000
};

static int reader;
static int writer;

/* The writer can be set once in a process: one pipe for all tests.  */
static void
open_pipe (void)
{
  int ends[2];

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  reader = ends[0];
  writer = ends[1];
  CU_ASSERT_TRUE (fcntl (writer, F_SETPIPE_SZ, PIPE_BYTES) >= PIPE_BYTES);
  fcntl (reader, F_SETFL, O_NONBLOCK);
  lg_init_bounded (writer, LINES_PER_S);
}

/* @return : what has been written since, to be freed.  */
static char *
read_all (void)
{
  GString *text = g_string_new (NULL);
  char buffer[PIPE_BYTES];
  ssize_t got;

  while ((got = read (reader, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, got);
  return g_string_free (text, FALSE);
}

static uint32_t
count (const char *text, const char *part)
{
  uint32_t found = 0;

  for (text = strstr (text, part); text != NULL;
       text = strstr (text + 1, part))
    found++;
  return found;
}

static void
begin (void)
{
  if (reader == 0)
    open_pipe ();
  lg_info (PART, "Drained.", NULL);
  g_free (read_all ());
}

/* Budgets count by whole seconds: begins one.  */
static void
wait_for_a_second (void)
{
  int64_t second = g_get_monotonic_time () / G_USEC_PER_SEC;

  while (g_get_monotonic_time () / G_USEC_PER_SEC == second)
    usleep (1000);
}

static void
test_one_message_has_a_budget (void)
{
  uint64_t before;
  char *text;
  int i;

  begin ();
  before = lg_left_out ();
  wait_for_a_second ();
  for (i = 0; i < 50; i++)
    lg_info (PART, "A flood.", "number", lg_number (i), NULL);
  lg_info (PART, "Another matter.", NULL);
  text = read_all ();
  CU_ASSERT_EQUAL (count (text, "msg=\"A flood.\""), LINES_PER_S);
  CU_ASSERT_EQUAL (count (text, "msg=\"Another matter.\""), 1);
  CU_ASSERT_EQUAL (lg_left_out () - before, 50 - LINES_PER_S);
  CU_ASSERT_EQUAL (
      count (text, "part=logs msg=\"Lines were left out.\" lines=40"), 1);
  g_free (text);
  wait_for_a_second ();
  lg_info (PART, "A flood.", "number", lg_number (99), NULL);
  text = read_all ();
  CU_ASSERT_EQUAL (count (text, "number=99"), 1);
  g_free (text);
}

static void
test_stopped_reader_holds_nobody_up (void)
{
  uint64_t before;
  int64_t began_ms;
  char *text;
  int i;

  begin ();
  before = lg_left_out ();
  began_ms = clk_monotonic_ms (NULL);
  for (i = 0; i < MANY; i++)
    {
      char *message = g_strdup_printf ("Message %d.", i);

      lg_info (PART, message, NULL); /* each with a budget of its own */
      g_free (message);
    }
  CU_ASSERT_TRUE (clk_monotonic_ms (NULL) - began_ms < 1000);
  CU_ASSERT_TRUE (lg_left_out () - before > MANY / 2);
  g_free (read_all ()); /* the reader goes on */
  lg_info (PART, "Read again.", NULL);
  text = read_all ();
  CU_ASSERT_EQUAL (count (text, "Read again."), 1);
  CU_ASSERT_EQUAL (count (text, "Lines were left out."), 1);
  g_free (text);
}

static void
test_lines_are_whole_and_quoted (void)
{
  char *text;

  begin ();
  lg_info (PART, "Odd.", "value", "a \"b\"\nc", "plain", "x", NULL);
  text = read_all ();
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "part=test msg=Odd. value=\"a \\\"b\\\" c\" plain=x\n"));
  CU_ASSERT_EQUAL (count (text, "\n"), 1);
  g_free (text);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "one message has a budget", test_one_message_has_a_budget },
    { "a stopped reader holds nobody up",
      test_stopped_reader_holds_nobody_up },
    { "lines are whole and quoted", test_lines_are_whole_and_quoted },
  };

  return check_run ("logging", tests, G_N_ELEMENTS (tests));
}
