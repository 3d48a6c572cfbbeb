/* Health of one upstream instance.  */

#include "route/health.h"

enum
{
  EJECT_FAILURES = 3,
  EJECT_FIRST_MS = 1000,
  EJECT_DOUBLINGS = 5,
  ALLOWED_LIMIT = 64
};

bool
he_ejected (const struct he_health *health, int64_t now_ms)
{
  return now_ms < health->ejected_until_ms;
}

void
he_success (struct he_health *health)
{
  health->failures = 0;
  health->ejections = 0;
  if (health->allowed == 0)
    return;
  health->allowed *= 2;
  if (health->allowed > ALLOWED_LIMIT)
    health->allowed = 0;
}

void
he_failure (struct he_health *health, int64_t now_ms)
{
  uint32_t doublings = health->ejections;

  if (he_ejected (health, now_ms))
    return; /* sent before the ejection, which counts it already */
  health->failures++;
  if (health->failures < EJECT_FAILURES && health->ejections == 0)
    return;
  if (doublings > EJECT_DOUBLINGS)
    doublings = EJECT_DOUBLINGS;
  health->ejected_until_ms = now_ms + ((int64_t)EJECT_FIRST_MS << doublings);
  health->ejections++;
  health->failures = 0;
  health->allowed = 1;
}

uint32_t
he_limit (const struct he_health *health, uint32_t slots)
{
  if (health->allowed == 0 || health->allowed > slots)
    return slots;
  return health->allowed;
}
