/* How long a planner's term is proved to hold; see term_proof.h.  */

#include "worker/term_proof.h"

#include <glib.h>
#include <stdlib.h>

enum
{
  /* More than the rest of the half that the next planner needs, so that the
     two have a worker in common although their lists may differ a little.  */
  PROOF_NUMERATOR = 2,
  PROOF_DENOMINATOR = 3
};

static int
compare_newest_first (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return left == right ? 0 : left > right ? -1 : 1;
}

int64_t
tp_proved_ms (int64_t stored_ms, int64_t *answered_ms, size_t answered,
              size_t listed)
{
  size_t needed
      = (listed * PROOF_NUMERATOR + PROOF_DENOMINATOR - 1) / PROOF_DENOMINATOR;
  int64_t proved_ms;

  if (needed == 0 || answered < needed)
    return stored_ms;
  qsort (answered_ms, answered, sizeof *answered_ms, compare_newest_first);
  proved_ms
      = MIN (answered_ms[needed - 1], stored_ms + TP_WITHOUT_STORE_MAX_MS);
  return MAX (proved_ms, stored_ms);
}

bool
tp_has_reached_enough (size_t reached, size_t listed)
{
  return reached * 2 >= listed;
}
