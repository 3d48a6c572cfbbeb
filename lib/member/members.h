/* Which entry hosts are alive, judged by their heartbeats.  Pure: the caller
   passes the time.  Prefix: mem_.

   A host is a member while its heartbeats arrive here and list this host as
   heard.  So both ends of a network cut in one direction soon agree that the
   other is no member.  A host that is new or was unreachable becomes a
   member only after its heartbeats have arrived for the settle time.
   By then the other hosts have stopped using what the new member takes over
   from them.  */

#ifndef FT_MEMBERS_H
#define FT_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/peer.pb-c.h"

struct mem_params
{
  const char *self;    /* name of this host; copied */
  uint32_t timeout_ms; /* time without a heartbeat that ends membership */
  uint32_t settle_ms;  /* heartbeats arrive for this time before a host becomes
                          a member */
};

/* A member, as its latest heartbeat describes it.  */
struct mem_host
{
  const char *name;
  const char *address;
  uint16_t port;
  uint64_t revision;        /* of the configuration */
  uint64_t next_log_offset; /* the next offset of the log that it will read */
  uint32_t in_flight;       /* requests in flight */
  uint64_t planner_term;    /* as the heartbeat names it */
};

struct mem_table;

struct mem_table *mem_create (const struct mem_params *params);
void mem_free (struct mem_table *table);

/*! mem_heartbeat () :
 *  Handles a heartbeat that arrived at NOW_MS (monotonic). */
void mem_heartbeat (struct mem_table *table, const Ft__Heartbeat *heartbeat,
                    int64_t now_ms);

/*! mem_exclude_pause () :
 *  Notes that this process was paused for GAP_MS.  Heartbeats that are missing
 *  from that time do not count against their hosts. */
void mem_exclude_pause (struct mem_table *table, int64_t gap_ms);

/*! mem_update () :
 *  Updates the membership of all hosts as of NOW_MS.
 *  @return : whether the set of members has changed. */
bool mem_update (struct mem_table *table, int64_t now_ms);

/*! mem_each_member () :
 *  Calls CALLBACK for each member except this host, in order of names. */
void mem_each_member (const struct mem_table *table,
                      void (*callback) (void *ctx,
                                        const struct mem_host *host),
                      void *ctx);

/*! mem_is_member () :
 *  @return : whether the host of that name is a member. */
bool mem_is_member (const struct mem_table *table, const char *name);

/*! mem_heard_hosts () :
 *  Lists the names of all hosts whose heartbeats arrive here, members or not.
 *  @return : an array of *count names, to be freed by g_free (); the names
 *            are owned by the table. */
char **mem_heard_hosts (const struct mem_table *table, int64_t now_ms,
                        size_t *count);

#endif
