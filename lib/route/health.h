/* Health of one upstream instance, judged by its outcomes: ejected after
   failures in a row, tried again after a growing pause, then trusted step by
   step.  Prefix: he_.  */

#ifndef FT_HEALTH_H
#define FT_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

struct he_health
{
  uint32_t failures;  /* in a row */
  uint32_t ejections; /* in a row */
  int64_t ejected_until_ms;
  uint32_t allowed; /* requests at once while it is trusted anew;
                       0: no limit */
};

void he_success (struct he_health *health);
void he_failure (struct he_health *health, int64_t now_ms);

/*! he_ejected () :
 *  @return : whether the instance is to get nothing for now. */
bool he_ejected (const struct he_health *health, int64_t now_ms);

/*! he_limit () :
 *  @return : the requests at once that it may have, at most SLOTS. */
uint32_t he_limit (const struct he_health *health, uint32_t slots);

#endif
