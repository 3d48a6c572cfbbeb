/* The pause between rounds; see round_pacing.h.  */

#include "round_pacing.h"

#include <glib.h>

enum
{
  ROUND_DELAY_MIN_MS = 4, /* so that one round decides on several events */
  /* A round is followed by this many times its duration without a round, which
     leaves three quarters of the processor to calls and answers.  */
  ROUND_IDLE_FACTOR = 3,
  /* Urgent work waits for a round, and for one more after a stop.  */
  ROUND_DELAY_MAX_MS = 300,
  US_PER_MS = 1000
};

int64_t
rp_delay_ms (int64_t last_round_us)
{
  return CLAMP (last_round_us * ROUND_IDLE_FACTOR / US_PER_MS,
                (int64_t)ROUND_DELAY_MIN_MS, (int64_t)ROUND_DELAY_MAX_MS);
}

int64_t
rp_call_lag_ms (int64_t late_ms, int64_t rounds_us)
{
  return MAX (late_ms - rounds_us / US_PER_MS, 0);
}
