/* Structured logs through GLib.  */

#include "common/logging.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/loop_load.h"

enum
{
  FIELD_LIMIT = 24,
  NUMBER_BUFFERS = 16,
  NUMBER_SIZE_BYTES = 24,
  TIME_SIZE_BYTES = 40,
  /* Of the messages that a report of dropped lines names, so that the line
     stays below PIPE_BUF.  */
  NAMED_MESSAGES_SIZE_BYTES = 1024
};

static GLogLevelFlags least_severe_level = G_LOG_LEVEL_INFO;

/* Number of lines with one message.  */
struct message_rate
{
  int64_t second;
  uint32_t lines;         /* in that second */
  uint64_t dropped_lines; /* not reported yet */
};

/* State of lg_init_bounded (); fd is negative if it has not been called.  */
static struct
{
  int fd;
  uint32_t lines_per_s;
  GHashTable *message_rates; /* message -> struct message_rate */
  uint64_t dropped_lines;
  uint64_t reported_dropped_lines;
  int64_t reported_second; /* when it was last reported */
} bounded = { .fd = -1 };

static const char *
level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_DEBUG)
    return "debug";
  return "info";
}

static void
append_quoted (GString *line, const char *value)
{
  const char *p;

  if (value[0] != '\0' && strpbrk (value, " \"=\\\n\r\t") == NULL)
    {
      g_string_append (line, value);
      return;
    }
  g_string_append_c (line, '"');
  for (p = value; *p != '\0'; p++)
    if (*p == '\n' || *p == '\r')
      g_string_append_c (line, ' ');
    else
      {
        if (*p == '"' || *p == '\\')
          g_string_append_c (line, '\\');
        g_string_append_c (line, *p);
      }
  g_string_append_c (line, '"');
}

static void
append_time (GString *line)
{
  char text[TIME_SIZE_BYTES];
  struct timespec now;
  struct tm parts;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &parts);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  g_string_append_printf (line, "time=%s.%03ldZ", text, now.tv_nsec / 1000000);
}

/* --- Bounded output --- */

static struct message_rate *
rate_of (const char *message)
{
  struct message_rate *rate
      = g_hash_table_lookup (bounded.message_rates, message);

  if (rate == NULL)
    {
      rate = g_new0 (struct message_rate, 1);
      g_hash_table_insert (bounded.message_rates, g_strdup (message), rate);
    }
  return rate;
}

static bool
within_rate_limit (struct message_rate *rate)
{
  int64_t second = g_get_monotonic_time () / G_USEC_PER_SEC;

  if (rate->second != second)
    {
      rate->second = second;
      rate->lines = 0;
    }
  return rate->lines++ < bounded.lines_per_s;
}

static void
count_dropped_line (struct message_rate *rate)
{
  rate->dropped_lines++;
  bounded.dropped_lines++;
}

/* Writes a line without blocking.  A pipe accepts a write of up to PIPE_BUF
   bytes completely or not at all, so that a line of this size is not cut.  */
static bool
write_whole_line (const GString *line)
{
  return write (bounded.fd, line->str, line->len) == (ssize_t)line->len;
}

/* @return : the messages of which lines were dropped, each with its count;
   "..." if there are too many to name.  */
static GString *
name_dropped_messages (void)
{
  GString *names = g_string_new (NULL);
  GHashTableIter iter;
  void *message;
  void *value;

  g_hash_table_iter_init (&iter, bounded.message_rates);
  while (g_hash_table_iter_next (&iter, &message, &value))
    {
      const struct message_rate *rate = value;

      if (rate->dropped_lines == 0)
        continue;
      if (names->len + strlen (message) > NAMED_MESSAGES_SIZE_BYTES)
        {
          g_string_append (names, " ...");
          break;
        }
      g_string_append_printf (names, "%s%s: %" G_GUINT64_FORMAT,
                              names->len == 0 ? "" : " ",
                              (const char *)message, rate->dropped_lines);
    }
  return names;
}

static void
forget_dropped_lines (void)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, bounded.message_rates);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct message_rate *)value)->dropped_lines = 0;
}

static void
report_dropped_lines (void)
{
  int64_t second = g_get_monotonic_time () / G_USEC_PER_SEC;
  GString *names;
  GString *line;

  if (bounded.dropped_lines == bounded.reported_dropped_lines
      || bounded.reported_second == second)
    return;
  line = g_string_sized_new (128);
  append_time (line);
  g_string_append_printf (
      line,
      " level=warning part=logs msg=\"Lines were left out.\""
      " lines=%" G_GUINT64_FORMAT " by_message=",
      bounded.dropped_lines - bounded.reported_dropped_lines);
  names = name_dropped_messages ();
  append_quoted (line, names->str);
  g_string_free (names, TRUE);
  g_string_append_c (line, '\n');
  if (write_whole_line (line))
    {
      forget_dropped_lines ();
      bounded.reported_dropped_lines = bounded.dropped_lines;
      bounded.reported_second = second;
    }
  g_string_free (line, TRUE);
}

static void
write_bounded (const GString *line, struct message_rate *rate)
{
  if (!write_whole_line (line))
    {
      count_dropped_line (rate);
      return;
    }
  report_dropped_lines ();
}

void
lg_init_bounded (int fd, uint32_t lines_per_s)
{
  int flags = fcntl (fd, F_GETFL);

  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  bounded.fd = fd;
  bounded.lines_per_s = lines_per_s;
  if (bounded.message_rates == NULL)
    bounded.message_rates
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  lg_init ();
}

uint64_t
lg_dropped_lines (void)
{
  return bounded.dropped_lines;
}

/* --- Lines --- */

static const char *
find_message (const GLogField *fields, gsize count)
{
  gsize i;

  for (i = 0; i < count; i++)
    if (strcmp (fields[i].key, "msg") == 0)
      return fields[i].value;
  return "";
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize count,
            gpointer ctx)
{
  struct message_rate *rate = NULL;
  GString *line;
  gsize i;

  (void)ctx;
  if (level > least_severe_level)
    return G_LOG_WRITER_HANDLED;
  if (bounded.fd >= 0)
    rate = rate_of (find_message (fields, count));
  /* Decided before the line is made, for that takes most of the time.  */
  if (rate != NULL && !within_rate_limit (rate))
    {
      count_dropped_line (rate);
      return G_LOG_WRITER_HANDLED;
    }
  line = g_string_sized_new (200);
  append_time (line);
  g_string_append_printf (line, " level=%s", level_name (level));
  for (i = 0; i < count; i++)
    {
      if (strcmp (fields[i].key, "GLIB_DOMAIN") == 0
          || strcmp (fields[i].key, "PRIORITY") == 0)
        continue;
      g_string_append_printf (line, " %s=", fields[i].key);
      append_quoted (line, fields[i].value);
    }
  g_string_append_c (line, '\n');
  if (rate != NULL)
    write_bounded (line, rate);
  else
    fwrite (line->str, 1, line->len, stderr);
  g_string_free (line, TRUE);
  return G_LOG_WRITER_HANDLED;
}

void
lg_init (void)
{
  g_log_set_writer_func (write_line, NULL, NULL);
}

bool
lg_set_level (const char *level)
{
  static const struct
  {
    const char *name;
    GLogLevelFlags level;
  } levels[] = { { "debug", G_LOG_LEVEL_DEBUG },
                 { "info", G_LOG_LEVEL_INFO },
                 { "warning", G_LOG_LEVEL_WARNING },
                 { "error", G_LOG_LEVEL_CRITICAL } };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (levels); i++)
    if (strcmp (level, levels[i].name) == 0)
      {
        least_severe_level = levels[i].level;
        return true;
      }
  return false;
}

void
lg_write (GLogLevelFlags level, const char *part, const char *message, ...)
{
  GLogField fields[FIELD_LIMIT];
  gsize count = 0;
  const char *key;
  const char *value;
  enum ll_part outer;
  va_list pairs;

  if (level > least_severe_level)
    return;
  outer = ll_enter (LL_LOGS);
  fields[count++] = (GLogField){ "part", part, -1 };
  fields[count++] = (GLogField){ "msg", message, -1 };
  va_start (pairs, message);
  for (key = va_arg (pairs, const char *); key != NULL && count < FIELD_LIMIT;
       key = va_arg (pairs, const char *))
    {
      value = va_arg (pairs, const char *);
      fields[count++] = (GLogField){ key, value == NULL ? "" : value, -1 };
    }
  va_end (pairs);
  g_log_structured_array (level, fields, count);
  ll_leave (outer);
}

const char *
lg_number (long long value)
{
  static char buffers[NUMBER_BUFFERS][NUMBER_SIZE_BYTES];
  static unsigned int next;
  char *buffer = buffers[next++ % NUMBER_BUFFERS];

  snprintf (buffer, NUMBER_SIZE_BYTES, "%lld", value);
  return buffer;
}
