/* The queue of a job.  */

#include "jobs/job_queue.h"

#include <string.h>

const struct ct_queue *
jq_of_job (const struct ct_catalog *catalog, const struct jb_job *job)
{
  const struct ct_queue *last = job->queue_config;
  const struct ct_queue *queue
      = catalog == NULL ? NULL : ct_find_queue (catalog, job->queue);

  if (last == NULL)
    return queue;
  if (catalog != NULL && last->version > catalog->version)
    return last;
  /* The same name may have been given to another queue.  */
  if (queue != NULL && ct_same_address (queue, last))
    return queue;
  queue = catalog == NULL ? NULL : ct_find_queue_like (catalog, last);
  return queue == NULL ? last : queue;
}

bool
jq_note (struct jb_job *job, const struct ct_queue *queue)
{
  if (queue == job->queue_config || ct_queue_equal (queue, job->queue_config))
    return false;
  ct_queue_free (job->queue_config);
  job->queue_config = ct_queue_copy (queue);
  job->queue_config_changed = true;
  return true;
}

bool
jq_is_of (const struct jb_job *job, const struct ct_queue *queue)
{
  return job->queue_config == NULL
             ? job->queue != NULL && strcmp (job->queue, queue->name) == 0
             : ct_same_address (job->queue_config, queue);
}
