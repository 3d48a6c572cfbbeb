/* Token bucket that limits retries to a share of the first tries, so that
   retries cannot amplify an outage.  Prefix: rb_.  */

#ifndef FT_RETRY_BUDGET_H
#define FT_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct rb_budget
{
  uint32_t deposit_percent; /* hundredths of a retry that a first try adds */
  uint32_t tokens_percent;  /* hundredths of a retry that are available */
};

/*! rb_init () :
 *  Starts with a full bucket.
 *  @percent : retries per 100 first tries, at most. */
void rb_init (struct rb_budget *budget, uint32_t percent);

/*! rb_first_try () :
 *  Adds the share of a retry that one first try allows. */
void rb_first_try (struct rb_budget *budget);

/*! rb_try_consume () :
 *  @return : whether one retry may be made; its token is then consumed. */
bool rb_try_consume (struct rb_budget *budget);

#endif
