/* Health of one upstream instance.  */

#include "route/health.h"

enum
{
  EJECT_AFTER_FAILURES = 3,
  EJECTION_FIRST_MS = 1000,
  EJECTION_DOUBLINGS_MAX = 5,
  SLOW_START_LIMIT_MAX = 64
};

bool
he_is_ejected (const struct he_health *health, int64_t now_ms)
{
  return now_ms < health->ejected_until_ms;
}

void
he_success (struct he_health *health)
{
  health->consecutive_failures = 0;
  health->consecutive_ejections = 0;
  if (health->slow_start_limit == 0)
    return;
  health->slow_start_limit *= 2;
  if (health->slow_start_limit > SLOW_START_LIMIT_MAX)
    health->slow_start_limit = 0;
}

void
he_failure (struct he_health *health, int64_t now_ms)
{
  uint32_t doublings = health->consecutive_ejections;

  if (he_is_ejected (health, now_ms))
    return; /* sent before the ejection, which was for such failures */
  health->consecutive_failures++;
  if (health->consecutive_failures < EJECT_AFTER_FAILURES
      && health->consecutive_ejections == 0)
    return;
  if (doublings > EJECTION_DOUBLINGS_MAX)
    doublings = EJECTION_DOUBLINGS_MAX;
  health->ejected_until_ms
      = now_ms + ((int64_t)EJECTION_FIRST_MS << doublings);
  health->consecutive_ejections++;
  health->consecutive_failures = 0;
  health->slow_start_limit = 1;
}

uint32_t
he_concurrency_limit (const struct he_health *health, uint32_t slots)
{
  if (health->slow_start_limit == 0 || health->slow_start_limit > slots)
    return slots;
  return health->slow_start_limit;
}
