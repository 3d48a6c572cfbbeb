/* Expected run times of tasks.  Made for this load: callers' estimates are off
   by a factor of two and more, so that sorting work by them is no better than
   a random order.  The run times of a queue's finished tasks correct them.
   Pure.  Prefix: es_.  */

#ifndef FT_SCHED_ESTIMATE_H
#define FT_SCHED_ESTIMATE_H

#include <stdint.h>

/* The run times learned for each queue.  */
struct es_table;

struct es_table *es_create (void);
void es_free (struct es_table *table);

/*! es_learn () :
 *  A task of QUEUE, for which its caller estimated ESTIMATE_MS, has been done
 *  in TOOK_MS. */
void es_learn (struct es_table *table, const char *queue, int64_t estimate_ms,
               int64_t took_ms);

/*! es_expect_ms () :
 *  @return : the time in ms that a task of QUEUE with this estimate is
 * expected to take; ESTIMATE_MS while nothing has been learned of the queue.
 */
int64_t es_expect_ms (const struct es_table *table, const char *queue,
                      int64_t estimate_ms);

#endif
