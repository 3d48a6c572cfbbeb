/* Logging is limited in rate and never blocks on its reader.  */

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
  FLOOD_LINES = 2000
};

static int reader;
static int writer;

/* GLib accepts one log writer for each process, so that all tests use one
   pipe.  */
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

/* @return : all text written since the last call, to be freed by g_free (). */
static char *
read_pipe (void)
{
  GString *text = g_string_new (NULL);
  char buffer[PIPE_BYTES];
  ssize_t got;

  while ((got = read (reader, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, got);
  return g_string_free (text, FALSE);
}

static uint32_t
count_matches (const char *text, const char *part)
{
  uint32_t found = 0;

  for (text = strstr (text, part); text != NULL;
       text = strstr (text + 1, part))
    found++;
  return found;
}

static void
empty_pipe (void)
{
  if (reader == 0)
    open_pipe ();
  lg_info (PART, "Drained.", NULL);
  g_free (read_pipe ());
}

/* The rate limit counts lines for each whole second: waits until the next one
   begins, so that a test's lines fall into the same second.  */
static void
wait_for_next_second (void)
{
  int64_t second = g_get_monotonic_time () / G_USEC_PER_SEC;

  while (g_get_monotonic_time () / G_USEC_PER_SEC == second)
    usleep (1000);
}

static void
test_rate_limit_of_one_message (void)
{
  uint64_t before;
  char *text;
  int i;

  empty_pipe ();
  before = lg_dropped_lines ();
  wait_for_next_second ();
  for (i = 0; i < 50; i++)
    lg_info (PART, "A flood.", "number", lg_number (i), NULL);
  lg_info (PART, "Another matter.", NULL);
  text = read_pipe ();
  CU_ASSERT_EQUAL (count_matches (text, "msg=\"A flood.\""), LINES_PER_S);
  CU_ASSERT_EQUAL (count_matches (text, "msg=\"Another matter.\""), 1);
  CU_ASSERT_EQUAL (lg_dropped_lines () - before, 50 - LINES_PER_S);
  CU_ASSERT_EQUAL (
      count_matches (text, "part=logs msg=\"Lines were left out.\" lines=40 "
                           "by_message=\"A flood.: 40\""),
      1);
  g_free (text);
  wait_for_next_second ();
  lg_info (PART, "A flood.", "number", lg_number (99), NULL);
  text = read_pipe ();
  CU_ASSERT_EQUAL (count_matches (text, "number=99"), 1);
  g_free (text);
}

static void
test_stopped_reader_does_not_block (void)
{
  uint64_t before;
  int64_t began_ms;
  char *text;
  int i;

  empty_pipe ();
  before = lg_dropped_lines ();
  began_ms = clk_monotonic_ms (NULL);
  for (i = 0; i < FLOOD_LINES; i++)
    {
      char *message = g_strdup_printf ("Message %d.", i);

      lg_info (PART, message, NULL); /* each has its own rate limit */
      g_free (message);
    }
  CU_ASSERT_TRUE (clk_monotonic_ms (NULL) - began_ms < 1000);
  CU_ASSERT_TRUE (lg_dropped_lines () - before > FLOOD_LINES / 2);
  g_free (read_pipe ()); /* the reader continues */
  lg_info (PART, "Read again.", NULL);
  text = read_pipe ();
  CU_ASSERT_EQUAL (count_matches (text, "Read again."), 1);
  CU_ASSERT_EQUAL (count_matches (text, "Lines were left out."), 1);
  g_free (text);
}

static void
test_lines_are_whole_and_quoted (void)
{
  char *text;

  empty_pipe ();
  lg_info (PART, "Odd.", "value", "a \"b\"\nc", "plain", "x", NULL);
  text = read_pipe ();
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "part=test msg=Odd. value=\"a \\\"b\\\" c\" plain=x\n"));
  CU_ASSERT_EQUAL (count_matches (text, "\n"), 1);
  g_free (text);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "each message has a rate limit", test_rate_limit_of_one_message },
    { "a stopped reader does not block the writer",
      test_stopped_reader_does_not_block },
    { "lines are whole and quoted", test_lines_are_whole_and_quoted },
  };

  return check_run ("logging", tests, G_N_ELEMENTS (tests));
}
