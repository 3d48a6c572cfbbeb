/* Which host renews a worker's leases.  Rendezvous hashing is used, so that a
   host that joins or leaves moves only the workers of its own share.
   Prefix: ls_.  */

#ifndef FT_RENEWAL_RANK_H
#define FT_RENEWAL_RANK_H

#include <stddef.h>
#include <stdint.h>

/*! ls_renewal_rank () :
 *  @return : the rank of HOSTS[SELF] for that worker: the host of rank 0
 *            renews its leases, and the host of rank 1 is the substitute.
 *            The order of HOSTS has no effect. */
size_t ls_renewal_rank (const char *worker, const char *const *hosts,
                        size_t host_count, size_t self);

#endif
