/* The planner acquires the planner's term, decides in rounds which tasks start
   and stop (by lib/sched), stores these decisions as records and has them
   carried out by the workers.  One host holds the term at a time; the number
   of the term is the planner's epoch at the store and the fencing token of its
   commands to workers.  Prefix: pl_.  */

#ifndef FT_HOSTD_PLANNER_H
#define FT_HOSTD_PLANNER_H

#include <ev.h>

#include "common/metrics.h"
#include "hostd_settings.h"
#include "journal.h"
#include "worker/advice_port.h"
#include "worker/worker_port.h"

struct planner;

/* Decodes a worker's entry in the store's list of workers; given by the
   platform's adapter.  @return : negative if the entry is not valid.  */
typedef int (*pl_decode_report) (struct sd_worker_report *out, const char *id,
                                 const void *text, size_t size_bytes);

/* The pointers must stay valid until pl_free ().  */
struct pl_params
{
  struct ev_loop *loop;
  const struct hostd_settings *settings;
  struct journal *journal;
  struct so_port store_port;
  struct wp_port worker_port;
  struct ap_port advisor_port; /* its query () is NULL: there is no advisor */
  const char *jobs_topic;
  const char *workers_topic;
  pl_decode_report decode_report;
  struct mt_registry *metrics;
};

/*! pl_create (), pl_free () :
 *  pl_create () also announces this host to the others.  pl_free () accepts
 *  NULL. */
struct planner *pl_create (const struct pl_params *params);
void pl_free (struct planner *planner);

/*! pl_release_term () :
 *  Releases the term before a shutdown, so that another host can acquire it at
 *  once.  This host acquires no term any more. */
void pl_release_term (struct planner *planner);

/*! pl_is_term_released () :
 *  @return : whether pl_release_term () has been carried out: this host holds
 * no term, or the release of its term has been stored. */
bool pl_is_term_released (const struct planner *planner);

#endif
