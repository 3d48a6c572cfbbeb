/* Sends the queries to the placement advisor while this host holds the
   planner's term.  A query asks which of some workers may run a step.  Prefix:
   av_.  */

#ifndef FT_HOSTD_ADVISOR_H
#define FT_HOSTD_ADVISOR_H

#include "common/metrics.h"
#include "sched/sched.h"
#include "worker/advice_port.h"

struct advisor;

struct av_params
{
  struct ap_port port; /* its query () is NULL: there is no advisor */
  struct mt_registry *metrics;
  void *ctx;
  /* Called with the answer to each query, unless av_drop_queries () has been
     called since the query was submitted.  QUERY and ANSWER are valid during
     the call only.  */
  void (*answered) (void *ctx, const struct sd_advisor_query *query,
                    const struct ap_answer *answer);
};

/*! av_create (), av_free () :
 *  Queries without an answer are dropped by av_free (), which accepts NULL. */
struct advisor *av_create (const struct av_params *params);
void av_free (struct advisor *advisor);

/*! av_submit_query () :
 *  Sends a query as soon as its turn comes.  Takes ownership of QUERY.  If
 *  there is no advisor, `answered` is called with AP_NO_ANSWER before this
 *  returns. */
void av_submit_query (struct advisor *advisor, struct sd_advisor_query *query);

/*! av_drop_queries () :
 *  Drops all queries that wait to be sent, and ignores the answers to those
 *  that have been sent: the term is over. */
void av_drop_queries (struct advisor *advisor);

#endif
