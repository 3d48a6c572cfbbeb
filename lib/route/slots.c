/* Owners of slots by rendezvous hashing with a bound for each host.  */

#include "route/slots.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

uint64_t
sl_weight (const char *host, const char *item, uint32_t index)
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_MD5);
  guint8 digest[16];
  gsize size_bytes = sizeof digest;
  uint64_t weight;

  /* The zero bytes keep "a" + "bc" apart from "ab" + "c".  */
  g_checksum_update (checksum, (const guchar *)host,
                     (gssize)strlen (host) + 1);
  g_checksum_update (checksum, (const guchar *)item,
                     (gssize)strlen (item) + 1);
  g_checksum_update (checksum, (const guchar *)&index, sizeof index);
  g_checksum_get_digest (checksum, digest, &size_bytes);
  g_checksum_free (checksum);
  memcpy (&weight, digest, sizeof weight);
  return weight;
}

static int
compare_instances (const void *a, const void *b)
{
  return strcmp (((const struct sl_instance *)a)->instance,
                 ((const struct sl_instance *)b)->instance);
}

/* Returns the host of the greatest weight among those that own less than
   LIMIT.  */
static size_t
pick_owner (const char *const *hosts, size_t host_count, const uint32_t *owned,
            uint32_t limit, const char *instance, uint32_t slot)
{
  size_t best = host_count;
  uint64_t best_weight = 0;
  size_t i;

  for (i = 0; i < host_count; i++)
    {
      uint64_t weight;

      if (owned[i] >= limit)
        continue;
      weight = sl_weight (hosts[i], instance, slot);
      if (best != host_count && weight <= best_weight)
        continue;
      best = i;
      best_weight = weight;
    }
  assert (best < host_count);
  return best;
}

void
sl_share_slots (const char *const *hosts, size_t host_count, size_t self,
                struct sl_instance *instances, size_t instance_count)
{
  uint32_t *owned = g_new0 (uint32_t, host_count);
  uint64_t total = 0;
  uint64_t assigned = 0;
  uint64_t equal_share;
  size_t i;

  assert (self < host_count);
  if (instance_count > 0)
    qsort (instances, instance_count, sizeof *instances, compare_instances);
  for (i = 0; i < instance_count; i++)
    total += instances[i].slots;
  equal_share = total / host_count;
  for (i = 0; i < instance_count; i++)
    {
      uint32_t slot;

      instances[i].owned = 0;
      for (slot = 0; slot < instances[i].slots; slot++, assigned++)
        {
          uint32_t limit = (uint32_t)(assigned < equal_share * host_count
                                          ? equal_share
                                          : equal_share + 1);
          size_t owner = pick_owner (hosts, host_count, owned, limit,
                                     instances[i].instance, slot);

          owned[owner]++;
          if (owner == self)
            instances[i].owned++;
        }
    }
  g_free (owned);
}
