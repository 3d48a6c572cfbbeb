/* Which host renews a worker's leases: rendezvous hashing, so that a host
   that comes or goes moves only its own share.  Prefix: ls_.  */

#ifndef FT_SHARE_H
#define FT_SHARE_H

#include <stddef.h>
#include <stdint.h>

/*! ls_rank () :
 *  @return : the rank of HOSTS[SELF] for that worker; 0 renews it, 1 stands
 *            in for it.  The order of HOSTS has no effect. */
size_t ls_rank (const char *worker, const char *const *hosts,
                size_t host_count, size_t self);

#endif
