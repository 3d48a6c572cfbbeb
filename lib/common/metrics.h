/* Counters, gauges and latency histograms of our own, shown as text in the
   usual exposition format.  Prefix: mt_.  */

#ifndef FT_METRICS_H
#define FT_METRICS_H

#include <stdint.h>

struct mt_registry;

struct mt_registry *mt_create (void);
void mt_free (struct mt_registry *registry);

/*! mt_add () :
 *  Adds to a counter.
 *  @name : "name" or "name{label=\"value\"}", starting with "foxtailgap_". */
void mt_add (struct mt_registry *registry, const char *name, uint64_t amount);

/*! mt_set () :
 *  Sets a gauge. */
void mt_set (struct mt_registry *registry, const char *name, int64_t value);

/*! mt_observe () :
 *  Counts a time into NAME_bucket, NAME_count and NAME_sum. */
void mt_observe (struct mt_registry *registry, const char *name,
                 uint32_t value_ms);

/*! mt_value () :
 *  @return : a counter or gauge; 0 if it does not exist.  The parts of a
 *            histogram are as the last mt_render () showed them. */
int64_t mt_value (const struct mt_registry *registry, const char *name);

/*! mt_render () :
 *  @return : all values as text sorted by name, to be freed by g_free (). */
char *mt_render (struct mt_registry *registry);

#endif
