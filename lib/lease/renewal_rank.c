/* ls_renewal_rank (): rendezvous hashing of workers to hosts.  */

#include "lease/renewal_rank.h"

#include <string.h>

static const uint64_t FNV_OFFSET = 0xcbf29ce484222325U;
static const uint64_t FNV_PRIME = 0x100000001b3U;

/* FNV-1a, with the zero byte at the end.  */
static uint64_t
hash_text (uint64_t hash, const char *text)
{
  size_t i;
  size_t size_bytes = strlen (text) + 1;

  for (i = 0; i < size_bytes; i++)
    hash = (hash ^ (unsigned char)text[i]) * FNV_PRIME;
  return hash;
}

/* Mixes the bits of HASH, so that names which differ in one digit give
   unrelated scores.  */
static uint64_t
mix_bits (uint64_t hash)
{
  hash ^= hash >> 30;
  hash *= 0xbf58476d1ce4e5b9U;
  hash ^= hash >> 27;
  hash *= 0x94d049bb133111ebU;
  return hash ^ (hash >> 31);
}

static uint64_t
rendezvous_score (const char *worker, const char *host)
{
  return mix_bits (hash_text (hash_text (FNV_OFFSET, worker), host));
}

size_t
ls_renewal_rank (const char *worker, const char *const *hosts,
                 size_t host_count, size_t self)
{
  uint64_t own = rendezvous_score (worker, hosts[self]);
  uint64_t other;
  size_t rank = 0;
  size_t i;

  for (i = 0; i < host_count; i++)
    {
      other = rendezvous_score (worker, hosts[i]);
      if (other > own || (other == own && strcmp (hosts[i], hosts[self]) < 0))
        rank++;
    }
  return rank;
}
