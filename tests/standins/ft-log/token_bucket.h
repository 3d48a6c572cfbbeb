/* Limit on a rate.  Prefix: tb_.  */

#ifndef FT_TOKEN_BUCKET_H
#define FT_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

struct tb_bucket
{
  uint32_t rate_per_s; /* 0: no limit */
  double burst;        /* tokens in a full bucket */
  double tokens;
  double refilled_s;
};

void tb_init (struct tb_bucket *bucket, uint32_t rate_per_s, double now_s);

/*! tb_take () :
 *  @return : whether there was a token to take. */
bool tb_take (struct tb_bucket *bucket, double now_s);

#endif
