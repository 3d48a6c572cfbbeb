/* Retry budget.  */

#include "route/retry_budget.h"

enum
{
  RETRY_PERCENT = 100,
  RESERVE_PERCENT = 10 * RETRY_PERCENT
};

void
rb_init (struct rb_budget *budget, uint32_t percent)
{
  budget->percent = percent;
  budget->tokens_percent = RESERVE_PERCENT;
}

void
rb_first_try (struct rb_budget *budget)
{
  budget->tokens_percent += budget->percent;
  if (budget->tokens_percent > RESERVE_PERCENT)
    budget->tokens_percent = RESERVE_PERCENT;
}

bool
rb_take (struct rb_budget *budget)
{
  if (budget->tokens_percent < RETRY_PERCENT)
    return false;
  budget->tokens_percent -= RETRY_PERCENT;
  return true;
}
