/* Which entry host owns which slot of an upstream instance.  Every host
   computes the same owners from the same lists of hosts and instances.  A host
   that joins or leaves moves few slots besides its own.  Prefix: sl_.  */

#ifndef FT_SLOTS_H
#define FT_SLOTS_H

#include <stddef.h>
#include <stdint.h>

/*! sl_weight () :
 *  @return : the rendezvous weight of HOST for element INDEX of ITEM, such as
 * a slot of an instance; the host of the greatest weight is preferred. */
uint64_t sl_weight (const char *host, const char *item, uint32_t index);

/* The slots of one instance.  */
struct sl_instance
{
  const char *instance;
  uint32_t slots;
  uint32_t owned; /* result: slots that belong to hosts[self] */
};

/*! sl_share_slots () :
 *  Sets for each instance how many of its slots belong to hosts[self].  All
 *  hosts own the same number of slots, give or take one, whatever their
 *  names.
 *  @instances : its order is changed: sorted by the instance's name. */
void sl_share_slots (const char *const *hosts, size_t host_count, size_t self,
                     struct sl_instance *instances, size_t instance_count);

#endif
