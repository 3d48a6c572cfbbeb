/* When a caller whose job was not accepted should come back.  */

#include "sched/retry.h"

#include <glib.h>

enum
{
  /* Clients try five times; urgent work is of little use after 12 s, other
     work after 30 s and more.  */
  URGENT_MAX_S = 2,
  OTHER_MAX_S = 4,
  SPREAD_S = 2
};

uint32_t
rt_after_s (int64_t away_ms, uint32_t priority, uint32_t chance)
{
  int64_t expected_s = 1 + away_ms / 2000;

  if (priority == 0)
    return (uint32_t)CLAMP (expected_s, 1, URGENT_MAX_S);
  return (uint32_t)CLAMP (expected_s + chance % SPREAD_S, 1, OTHER_MAX_S);
}
