/* Which entry host owns which slot of an upstream instance.  Every host
   computes the same owners from the same list of live hosts; a host that
   comes or goes moves only the slots that it gains or loses.  Prefix: sl_.  */

#ifndef FT_SLOTS_H
#define FT_SLOTS_H

#include <stddef.h>
#include <stdint.h>

/*! sl_weight () :
 *  Rendezvous weight of HOST for one item.  */
uint64_t sl_weight (const char *host, const char *item, uint32_t index);

/*! sl_owned () :
 *  @return : how many of an instance's SLOTS belong to hosts[self]. */
uint32_t sl_owned (const char *const *hosts, size_t host_count, size_t self,
                   const char *instance, uint32_t slots);

#endif
