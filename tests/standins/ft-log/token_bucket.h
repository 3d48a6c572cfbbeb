/* Token bucket that limits a rate.  Prefix: tb_.  */

#ifndef FT_TOKEN_BUCKET_H
#define FT_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

struct tb_bucket
{
  uint32_t rate_per_s;    /* 0: no limit */
  double capacity_tokens; /* of a full bucket */
  double tokens;
  double refilled_s; /* time of the last refill, on the caller's clock */
};

/*! tb_init () :
 *  Starts with a full bucket.
 *  @rate_per_s : 0: no limit.
 *  @now_s : time in seconds, on any clock that never goes back. */
void tb_init (struct tb_bucket *bucket, uint32_t rate_per_s, double now_s);

/*! tb_take_token () :
 *  Refills the bucket and takes one token.
 *  @return : false if the bucket held less than one token. */
bool tb_take_token (struct tb_bucket *bucket, double now_s);

#endif
