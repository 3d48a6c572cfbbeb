/* Task: the questions for the placement advisor, while this host holds the
   planner's term.  Prefix: av_.  */

#ifndef FT_HOSTD_ADVISOR_H
#define FT_HOSTD_ADVISOR_H

#include "common/metrics.h"
#include "sched/sched.h"
#include "worker/advice_port.h"

struct advisor;

struct av_params
{
  struct ap_port port; /* ask NULL: there is no advisor */
  struct mt_registry *metrics;
  void *ctx;
  /* Told the answer to each query, unless av_drop_queries () was called since.  */
  void (*answered) (void *ctx, const struct sd_ask *ask,
                    const struct ap_answer *answer);
};

struct advisor *av_create (const struct av_params *params);
void av_free (struct advisor *advisor);

/*! av_submit_query () :
 *  Asks as soon as its turn comes; takes ASK. */
void av_submit_query (struct advisor *advisor, struct sd_ask *ask);

/*! av_drop_queries () :
 *  The term is over: nothing is asked, no answer counts any more. */
void av_drop_queries (struct advisor *advisor);

#endif
