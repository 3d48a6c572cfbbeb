/* Task: the planner's term, its rounds and its records.  One host holds the
   term at a time: its epoch at the store is the term, and also the token of
   its orders to workers.  Prefix: pl_.  */

#ifndef FT_HOSTD_PLANNER_H
#define FT_HOSTD_PLANNER_H

#include <ev.h>

#include "common/metrics.h"
#include "hostd_settings.h"
#include "journal.h"
#include "worker/advice_port.h"
#include "worker/worker_port.h"

struct planner;

/* Decodes a worker's entry; of the platform.  */
typedef int (*pl_decode_report) (struct sd_report *out, const char *id,
                                 const void *text, size_t size_bytes);

struct pl_params
{
  struct ev_loop *loop;
  const struct hostd_settings *settings;
  struct journal *journal;
  struct so_port store;
  struct wp_port workers;
  struct ap_port advisor; /* ask NULL: none */
  const char *jobs_topic;
  const char *workers_topic;
  pl_decode_report decode_report;
  struct mt_registry *metrics;
};

struct planner *pl_create (const struct pl_params *params);
void pl_free (struct planner *planner);

/*! pl_release () :
 *  Hands the term over, before a shutdown; no term is claimed any more. */
void pl_release (struct planner *planner);

/*! pl_released () :
 *  @return : whether nothing is left to hand over. */
bool pl_released (const struct planner *planner);

#endif
