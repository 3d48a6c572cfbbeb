/* The platform's list of hosts, as one poll showed it.  Immutable; shared by
   reference count.  Prefix: hl_.  */

#ifndef FT_HOST_LIST_H
#define FT_HOST_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "place/place.h"

enum hl_error
{
  HL_OK = 0,
  HL_ERR_MEMORY = -1,
  HL_ERR_INVALID = -2,
};

enum hl_kind
{
  HL_WORKER = 1,
  HL_UPSTREAM = 2,
  HL_ENTRY = 3
};

struct hl_host
{
  enum hl_kind kind;
  bool leaving;
  char *name;
  char *address;
  uint16_t port;
  char *data_centre;
  char *rack;
  /* workers */
  uint32_t cpus_milli;
  uint32_t memory_mb;
  uint32_t accelerators;
  /* upstreams */
  char *service;
  uint32_t slots;
  uint32_t connections;
  /* entry hosts */
  uint16_t peer_port;
};

struct hl_list
{
  uint64_t version;
  struct hl_host *hosts;
  size_t host_count;
};

/*! hl_parse () :
 *  @return : HL_OK with *out set to one reference; or an hl_error. */
int hl_parse (struct hl_list **out, const char *json, size_t size_bytes);

struct hl_list *hl_ref (struct hl_list *list);
void hl_unref (struct hl_list *list); /* accepts NULL */

/*! hl_find () :
 *  @return : the host of that kind and name, or NULL. */
const struct hl_host *hl_find (const struct hl_list *list, enum hl_kind kind,
                               const char *name);

/*! hl_place_worker () :
 *  A worker as the placement core takes it; its names point into HOST. */
struct place_worker hl_place_worker (const struct hl_host *host);

#endif
