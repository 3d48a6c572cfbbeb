/* Which entry hosts are alive, judged by their heartbeats.  Pure: the caller
   brings the time.  Prefix: mem_.

   A host is a member while its heartbeats arrive and it hears this host's
   too, so that both ends of a one-way cut agree after a short time.  A host
   that was away for a while is a member again only after it has been heard
   for the settle time, so that others have stopped using what becomes its
   own.  */

#ifndef FT_MEMBERS_H
#define FT_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/peer.pb-c.h"

struct mem_params
{
  const char *self;
  uint32_t timeout_ms; /* silence after which a host is no member */
  uint32_t settle_ms;  /* heard for so long before it is one */
};

struct mem_host
{
  const char *name;
  const char *address;
  uint16_t port;
  uint64_t revision;
  uint64_t offset;
  uint32_t in_flight;
  uint64_t term;
};

struct mem_table;

struct mem_table *mem_create (const struct mem_params *params);
void mem_free (struct mem_table *table);

/*! mem_heartbeat () :
 *  A heartbeat has arrived at NOW_MS. */
void mem_heartbeat (struct mem_table *table, const Ft__Heartbeat *heartbeat,
                    int64_t now_ms);

/*! mem_paused () :
 *  This process did not run for GAP_MS: what it did not hear in that time
 *  counts for nothing. */
void mem_paused (struct mem_table *table, int64_t gap_ms);

/*! mem_update () :
 *  Judges all hosts at NOW_MS.
 *  @return : whether the set of members has changed. */
bool mem_update (struct mem_table *table, int64_t now_ms);

/*! mem_each () :
 *  Calls back for each member but this host, in order of names. */
void mem_each (const struct mem_table *table,
               void (*callback) (void *ctx, const struct mem_host *host),
               void *ctx);

/*! mem_is_member () :
 *  @return : whether the host of that name is a member. */
bool mem_is_member (const struct mem_table *table, const char *name);

/*! mem_heard () :
 *  Names of all hosts whose heartbeats arrive here.
 *  @return : an array of *count names, to be freed by g_free (); the names
 *            are borrowed. */
char **mem_heard (const struct mem_table *table, int64_t now_ms,
                  size_t *count);

#endif
