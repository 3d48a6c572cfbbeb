/* Wall, monotonic and processor clocks.  */

#include "common/clock.h"

#include <time.h>

static int64_t
read_ms (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
clk_monotonic_ms (void *ctx)
{
  (void)ctx;
  return read_ms (CLOCK_BOOTTIME);
}

int64_t
clk_unix_ms (void)
{
  return read_ms (CLOCK_REALTIME);
}

int64_t
clk_cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}
