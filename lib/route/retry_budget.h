/* Limits retries to a share of the first tries, so that retries cannot
   amplify an outage.  Prefix: rb_.  */

#ifndef FT_RETRY_BUDGET_H
#define FT_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct rb_budget
{
  uint32_t percent;
  uint32_t tokens_percent; /* 100: one retry */
};

/*! rb_init () :
 *  Starts with the full reserve. */
void rb_init (struct rb_budget *budget, uint32_t percent);

/*! rb_first_try () :
 *  A first try adds its share. */
void rb_first_try (struct rb_budget *budget);

/*! rb_take () :
 *  @return : whether one retry may be made; it is then counted. */
bool rb_take (struct rb_budget *budget);

#endif
