/* A token bucket of bytes whose rate follows the time of answers.  */

#include "worker/link_budget.h"

#include <glib.h>

enum
{
  START_PERCENT = 50, /* of the link, as are the next three */
  MIN_PERCENT = 10,
  GROWTH_PERCENT = 4,
  SHRINK_PERCENT = 75, /* of the budget */
  /* At the least budget of a link of 1 Mbit/s a start of 4 KB takes 330 ms. */
  DEBT_MAX_MS = 400
};

static uint32_t
percent_of (uint32_t value, uint32_t percent)
{
  return (uint32_t)((uint64_t)value * percent / 100);
}

static int64_t
burst_bytes (const struct lb_budget *budget)
{
  return (int64_t)budget->bytes_per_s * budget->params.burst_ms / 1000;
}

/* A debt that was taken of a larger budget is reduced too.  */
static void
limit_debt (struct lb_budget *budget)
{
  budget->level_bytes = MAX (budget->level_bytes, -(int64_t)budget->bytes_per_s
                                                      * DEBT_MAX_MS / 1000);
}

static void
fill (struct lb_budget *budget, int64_t now_ms)
{
  int64_t more
      = (int64_t)budget->bytes_per_s * (now_ms - budget->filled_ms) / 1000;

  if (more <= 0)
    return; /* a fraction of a byte is not lost: filled_ms stays */
  budget->level_bytes = MIN (budget->level_bytes + more, burst_bytes (budget));
  budget->filled_ms = now_ms;
}

void
lb_init (struct lb_budget *budget, const struct lb_params *params,
         int64_t now_ms)
{
  *budget = (struct lb_budget){ .params = *params,
                                .filled_ms = now_ms,
                                .changed_ms = now_ms,
                                .fastest_ms = -1 };
  budget->bytes_per_s = percent_of (params->link_bytes_per_s, START_PERCENT);
  budget->level_bytes = burst_bytes (budget);
}

bool
lb_has_room (struct lb_budget *budget, int64_t now_ms)
{
  fill (budget, now_ms);
  return budget->params.link_bytes_per_s == 0 || budget->level_bytes > 0;
}

void
lb_take (struct lb_budget *budget, uint32_t bytes, int64_t now_ms)
{
  fill (budget, now_ms);
  budget->level_bytes -= bytes;
  limit_debt (budget);
}

static uint32_t
adapted_bytes_per_s (const struct lb_budget *budget)
{
  uint32_t link = budget->params.link_bytes_per_s;

  if (budget->fastest_ms > budget->params.slow_ms)
    return MAX (percent_of (budget->bytes_per_s, SHRINK_PERCENT),
                percent_of (link, MIN_PERCENT));
  if (budget->fastest_ms <= budget->params.fast_ms)
    return MIN (budget->bytes_per_s + percent_of (link, GROWTH_PERCENT), link);
  return budget->bytes_per_s;
}

void
lb_observe (struct lb_budget *budget, int64_t took_ms, int64_t now_ms)
{
  if (budget->fastest_ms < 0 || took_ms < budget->fastest_ms)
    budget->fastest_ms = took_ms;
  if (now_ms - budget->changed_ms < budget->params.interval_ms)
    return;
  fill (budget, now_ms);
  budget->bytes_per_s = adapted_bytes_per_s (budget);
  limit_debt (budget);
  budget->changed_ms = now_ms;
  budget->fastest_ms = -1;
}
