/* Limit on a rate.  */

#include "token_bucket.h"

/* A full bucket holds the tokens of this time.  */
static const double burst_s = 0.1;

void
tb_init (struct tb_bucket *bucket, uint32_t rate_per_s, double now_s)
{
  bucket->rate_per_s = rate_per_s;
  bucket->burst = rate_per_s * burst_s;
  if (bucket->burst < 1.0)
    bucket->burst = 1.0;
  bucket->tokens = bucket->burst;
  bucket->refilled_s = now_s;
}

bool
tb_take (struct tb_bucket *bucket, double now_s)
{
  if (bucket->rate_per_s == 0)
    return true;
  bucket->tokens += (now_s - bucket->refilled_s) * bucket->rate_per_s;
  bucket->refilled_s = now_s;
  if (bucket->tokens > bucket->burst)
    bucket->tokens = bucket->burst;
  if (bucket->tokens < 1.0)
    return false;
  bucket->tokens -= 1.0;
  return true;
}
