/* Token bucket of retries.  */

#include "route/retry_budget.h"

enum
{
  RETRY_COST_PERCENT = 100,
  TOKENS_MAX_PERCENT = 10 * RETRY_COST_PERCENT
};

void
rb_init (struct rb_budget *budget, uint32_t percent)
{
  budget->deposit_percent = percent;
  budget->tokens_percent = TOKENS_MAX_PERCENT;
}

void
rb_first_try (struct rb_budget *budget)
{
  budget->tokens_percent += budget->deposit_percent;
  if (budget->tokens_percent > TOKENS_MAX_PERCENT)
    budget->tokens_percent = TOKENS_MAX_PERCENT;
}

bool
rb_try_consume (struct rb_budget *budget)
{
  if (budget->tokens_percent < RETRY_COST_PERCENT)
    return false;
  budget->tokens_percent -= RETRY_COST_PERCENT;
  return true;
}
