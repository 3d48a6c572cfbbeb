/* The queue of a job: an accepted job goes on when the operator renames or
   removes the queue that it came by.  Prefix: jq_.  */

#ifndef FT_JOBS_JOB_QUEUE_H
#define FT_JOBS_JOB_QUEUE_H

#include "jobs/catalog.h"
#include "jobs/model.h"

/*! jq_of_job () :
 *  Finds the queue by which JOB is run: that of CATALOG to which its requests
 *  go, by host and path prefix.  If there is none, or if JOB was accepted or
 *  has been run by a newer catalog: its queue as it was last configured.  If
 *  that is not known (an earlier version stored the job): the queue of CATALOG
 *  with the stored name.
 *  @catalog : NULL: no configuration is known.
 *  @return : owned by CATALOG or JOB; NULL if nothing is known of the queue.
 */
const struct ct_queue *jq_of_job (const struct ct_catalog *catalog,
                                  const struct jb_job *job);

/*! jq_note () :
 *  Keeps QUEUE, of jq_of_job (), as the configuration that JOB goes on with
 *  once the catalog does not have it.
 *  @return : whether that is to be stored with the progress of the job. */
bool jq_note (struct jb_job *job, const struct ct_queue *queue);

/*! jq_is_of () :
 *  @return : whether JOB belongs to QUEUE, which is configured. */
bool jq_is_of (const struct jb_job *job, const struct ct_queue *queue);

#endif
