/* Counters, gauges and latency histograms of one process, rendered in the
   Prometheus text format.  Prefix: mt_.  */

#ifndef FT_METRICS_H
#define FT_METRICS_H

#include <stdint.h>

struct mt_registry;

/*! mt_create (), mt_free () :
 *  An empty registry, owned by the caller; mt_free () accepts NULL. */
struct mt_registry *mt_create (void);
void mt_free (struct mt_registry *registry);

/*! mt_add () :
 *  Adds to a counter, which starts at 0.
 *  @name : "name" or "name{label=\"value\"}", starting with "foxtailgap_". */
void mt_add (struct mt_registry *registry, const char *name, uint64_t amount);

/*! mt_set () :
 *  Sets a gauge. */
void mt_set (struct mt_registry *registry, const char *name, int64_t value);

/*! mt_observe () :
 *  Adds a duration to the histogram NAME, which is rendered as the series
 *  NAME_bucket, NAME_count and NAME_sum (in milliseconds). */
void mt_observe (struct mt_registry *registry, const char *name,
                 uint32_t value_ms);

/*! mt_value () :
 *  @return : value of a counter or gauge; 0 if it does not exist.  The series
 *            of a histogram have the values of the last mt_render (). */
int64_t mt_value (const struct mt_registry *registry, const char *name);

/*! mt_render () :
 *  @return : all series as text, one a line, sorted by name; to be freed by
 *            g_free (). */
char *mt_render (struct mt_registry *registry);

#endif
