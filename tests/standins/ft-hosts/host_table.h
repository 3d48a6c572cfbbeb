/* A host list that shows each change only after a delay.  Prefix: ht_.

   Its hosts are the workers, the upstream instances and the entry hosts.  */

#ifndef FT_HOST_TABLE_H
#define FT_HOST_TABLE_H

#include <jansson.h>
#include <stdint.h>

struct ht_table;

/* Called when a change becomes visible.  STATE: "live", "leaving" or
   "removed".  */
typedef void (*ht_visible) (void *ctx, const char *name, const char *state);

struct ht_table *ht_create (ht_visible visible, void *ctx);
void ht_free (struct ht_table *table);

/*! ht_add_change () :
 *  Queues a change that adds, replaces or removes a host.
 *  @host : the host's entry; NULL: the host is removed.  The reference is
 *  taken.
 *  @now_ms : time of the change, in milliseconds since 1970. */
void ht_add_change (struct ht_table *table, const char *name, json_t *host,
                    int64_t now_ms);

/*! ht_apply_due_changes () :
 *  Makes changes visible, oldest first, that were queued at least LAG_MS
 *  ago.
 *  @lag_ms : delay between a change and its visibility. */
void ht_apply_due_changes (struct ht_table *table, uint32_t lag_ms,
                           int64_t now_ms);

/*! ht_list_json () :
 *  @return : {"version":V,"hosts":[...]} with the visible hosts sorted by
 *  name, owned by the caller.  Each visible change adds 1 to the version. */
json_t *ht_list_json (const struct ht_table *table);

#endif
