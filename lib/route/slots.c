/* Owners of slots by rendezvous hashing.  */

#include "route/slots.h"

#include <assert.h>
#include <glib.h>
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

uint32_t
sl_owned (const char *const *hosts, size_t host_count, size_t self,
          const char *instance, uint32_t slots)
{
  uint32_t owned = 0;
  uint32_t slot;

  assert (self < host_count);
  for (slot = 0; slot < slots; slot++)
    {
      uint64_t own = sl_weight (hosts[self], instance, slot);
      size_t i;

      for (i = 0; i < host_count; i++)
        if (i != self && sl_weight (hosts[i], instance, slot) > own)
          break;
      if (i == host_count)
        owned++;
    }
  return owned;
}
