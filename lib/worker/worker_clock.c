/* Deadlines on the clock of a worker; see worker_clock.h.  */

#include "worker/worker_clock.h"

enum
{
  SLOWEST_PERCENT = 100 - WC_SLOW_PERCENT,
  /* Both clocks are read in whole milliseconds.  */
  ROUNDING_MS = 2
};

bool
wc_is_recent (const struct wc_reading *reading, int64_t now_ms)
{
  return reading->clock_ms >= 0 && now_ms - reading->read_ms <= WC_RECENT_MS;
}

int64_t
wc_deadline_ms (const struct wc_reading *reading, int64_t until_ms)
{
  int64_t after_ms = until_ms - reading->read_ms;

  if (reading->clock_ms < 0)
    return -1;
  /* Before the reading, a slow clock shows more than a right one.  */
  if (after_ms > 0)
    after_ms = after_ms * SLOWEST_PERCENT / 100;
  return reading->clock_ms + after_ms - ROUNDING_MS;
}

int64_t
wc_longest_ms (int64_t duration_ms)
{
  return (duration_ms * 100 + SLOWEST_PERCENT - 1) / SLOWEST_PERCENT;
}
