/* Which entry host owns which slot of an upstream instance.  Every host
   computes the same owners from the same lists of hosts and instances; a host
   that comes or goes moves few slots besides its own.  Prefix: sl_.  */

#ifndef FT_SLOTS_H
#define FT_SLOTS_H

#include <stddef.h>
#include <stdint.h>

/*! sl_weight () :
 *  Rendezvous weight of HOST for one item.  */
uint64_t sl_weight (const char *host, const char *item, uint32_t index);

/* The slots of one instance.  */
struct sl_item
{
  const char *instance;
  uint32_t slots;
  uint32_t owned; /* result */
};

/*! sl_share () :
 *  Sets for each instance how many of its slots belong to hosts[self].  All
 *  hosts own the same number of slots, give or take one, whatever their
 *  names.
 *  @items : is sorted by name. */
void sl_share (const char *const *hosts, size_t host_count, size_t self,
               struct sl_item *items, size_t item_count);

#endif
