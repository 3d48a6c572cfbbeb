/* Decisions about the memory that callers hold.  */

#include "http/http_budget.h"

enum
{
  /* The budget is short when more than this is held.  */
  SHORT_PERCENT = 75,
  TRIM_PERCENT = 25,
  ADJUST_PERCENT = 25,
  LEAST_DIVISOR = 8,
  SPARE_MAX = 64,
  SPARE_DIVISOR = 8
};

void
hb_init (struct hb_budget *budget, uint64_t limit_bytes)
{
  *budget = (struct hb_budget){ .limit_bytes = limit_bytes,
                                .most_bytes = limit_bytes };
  g_queue_init (&budget->holders);
}

void
hb_set_ceiling (struct hb_budget *budget, uint64_t ceiling_bytes)
{
  budget->ceiling_bytes = ceiling_bytes;
}

bool
hb_needs_adjustment (const struct hb_budget *budget)
{
  return budget->ceiling_bytes > 0
         && budget->held_bytes > budget->most_bytes / 100 * ADJUST_PERCENT;
}

void
hb_adjust (struct hb_budget *budget, uint64_t allocated_bytes)
{
  uint64_t rest_bytes
      = allocated_bytes - MIN (budget->held_bytes, allocated_bytes);
  uint64_t left_bytes
      = budget->ceiling_bytes - MIN (rest_bytes, budget->ceiling_bytes);

  budget->limit_bytes = CLAMP (left_bytes, budget->most_bytes / LEAST_DIVISOR,
                               budget->most_bytes);
}

void
hb_add (struct hb_budget *budget, struct hb_holder *holder)
{
  holder->held_bytes = 0;
  holder->link.data = holder;
  g_queue_push_tail_link (&budget->holders, &holder->link);
}

void
hb_remove (struct hb_budget *budget, struct hb_holder *holder)
{
  hb_give (budget, holder, holder->held_bytes);
  g_queue_unlink (&budget->holders, &holder->link);
}

void
hb_take (struct hb_budget *budget, struct hb_holder *holder, uint64_t bytes)
{
  holder->held_bytes += bytes;
  budget->held_bytes += bytes;
  budget->untrimmed_bytes = MAX (budget->untrimmed_bytes, budget->held_bytes);
}

void
hb_give (struct hb_budget *budget, struct hb_holder *holder, uint64_t bytes)
{
  bytes = MIN (bytes, holder->held_bytes);
  holder->held_bytes -= bytes;
  budget->held_bytes -= bytes;
}

bool
hb_is_over (const struct hb_budget *budget)
{
  return budget->held_bytes > budget->limit_bytes;
}

bool
hb_refuses_early (const struct hb_budget *budget, uint64_t announced_bytes)
{
  return announced_bytes > HB_SHORT_BODY_BYTES
         && budget->held_bytes > budget->limit_bytes / 100 * SHORT_PERCENT;
}

struct hb_holder *
hb_choose (const struct hb_budget *budget, const void *group, int64_t now_ms)
{
  struct hb_holder *worst = NULL;
  double worst_cost = -1.0;
  struct hb_holder *holder;
  GList *link;
  double cost;

  for (link = budget->holders.head; link != NULL; link = link->next)
    {
      holder = link->data;
      if (holder->in_work || holder->since_ms > now_ms
          || (group != NULL && holder->group != group))
        continue;
      cost = (double)holder->held_bytes
             * (double)(now_ms - holder->since_ms + 1);
      if (cost > worst_cost)
        {
          worst = holder;
          worst_cost = cost;
        }
    }
  return worst;
}

uint32_t
hb_spare_connections (uint32_t connection_limit)
{
  return MIN (connection_limit / SPARE_DIVISOR, SPARE_MAX);
}

bool
hb_trim_is_due (struct hb_budget *budget)
{
  bool due = budget->untrimmed_bytes - budget->held_bytes
             > budget->limit_bytes / 100 * TRIM_PERCENT;

  if (due)
    budget->untrimmed_bytes = budget->held_bytes;
  return due;
}
