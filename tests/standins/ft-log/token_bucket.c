/* Token bucket that limits a rate.  */

#include "token_bucket.h"

/* A full bucket holds the tokens of this many seconds.  */
static const double burst_s = 0.1;

void
tb_init (struct tb_bucket *bucket, uint32_t rate_per_s, double now_s)
{
  bucket->rate_per_s = rate_per_s;
  bucket->capacity_tokens = rate_per_s * burst_s;
  if (bucket->capacity_tokens < 1.0)
    bucket->capacity_tokens = 1.0;
  bucket->tokens = bucket->capacity_tokens;
  bucket->refilled_s = now_s;
}

bool
tb_take_token (struct tb_bucket *bucket, double now_s)
{
  if (bucket->rate_per_s == 0)
    return true;
  bucket->tokens += (now_s - bucket->refilled_s) * bucket->rate_per_s;
  bucket->refilled_s = now_s;
  if (bucket->tokens > bucket->capacity_tokens)
    bucket->tokens = bucket->capacity_tokens;
  if (bucket->tokens < 1.0)
    return false;
  bucket->tokens -= 1.0;
  return true;
}
