/* Health of one upstream instance, judged by the outcomes of its requests.
   Consecutive failures eject the instance for a time that doubles with each
   further ejection.  After that, and when it is new, a slow start limits its
   concurrent requests: the limit doubles with each success.
   Prefix: he_.  */

#ifndef FT_HEALTH_H
#define FT_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

struct he_health
{
  uint32_t consecutive_failures;
  uint32_t consecutive_ejections;
  int64_t ejected_until_ms;  /* monotonic */
  uint32_t slow_start_limit; /* concurrent requests during the slow start;
                                0: no limit */
};

void he_success (struct he_health *health);
void he_failure (struct he_health *health, int64_t now_ms);

/*! he_is_ejected () :
 *  @return : whether the instance is ejected: it gets requests only while all
 *            others are ejected too. */
bool he_is_ejected (const struct he_health *health, int64_t now_ms);

/*! he_concurrency_limit () :
 *  @return : the number of concurrent requests that the instance may have, at
 *            most SLOTS. */
uint32_t he_concurrency_limit (const struct he_health *health, uint32_t slots);

#endif
