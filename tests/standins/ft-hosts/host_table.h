/* The list of hosts as it was some time ago.  Prefix: ht_.  */

#ifndef FT_HOST_TABLE_H
#define FT_HOST_TABLE_H

#include <jansson.h>
#include <stdint.h>

struct ht_table;

/* Called when a change is visible.  STATE: "live", "leaving" or "removed".  */
typedef void (*ht_visible) (void *ctx, const char *name, const char *state);

struct ht_table *ht_create (ht_visible visible, void *ctx);
void ht_free (struct ht_table *table);

/*! ht_put () :
 *  Notes that a host was added, replaced, or (HOST is NULL) removed.  The
 *  reference to HOST is taken. */
void ht_put (struct ht_table *table, const char *name, json_t *host,
             int64_t now_ms);

/*! ht_advance () :
 *  Makes visible what is older than the lag. */
void ht_advance (struct ht_table *table, uint32_t lag_ms, int64_t now_ms);

/*! ht_list () :
 *  @return : {"version":V,"hosts":[...]}, sorted by name, owned by the
 *  caller. */
json_t *ht_list (const struct ht_table *table);

#endif
