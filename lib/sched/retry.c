/* The Retry-After time for a caller whose job was not accepted.  */

#include "sched/retry.h"

#include <glib.h>

enum
{
  /* Clients try five times.  Urgent work is of little use after 12 s, other
     work after 30 s or more.  */
  URGENT_MAX_S = 2,
  OTHER_MAX_S = 4,
  SPREAD_S = 2
};

uint32_t
rt_retry_after_s (int64_t outage_ms, uint32_t priority, uint32_t random_value)
{
  int64_t expected_s = 1 + outage_ms / 2000;

  if (priority == 0)
    return (uint32_t)CLAMP (expected_s, 1, URGENT_MAX_S);
  return (uint32_t)CLAMP (expected_s + random_value % SPREAD_S, 1,
                          OTHER_MAX_S);
}
