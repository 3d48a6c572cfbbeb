/* The platform's list of hosts, as one poll returned it.  A host here is a
   worker, an upstream instance or an entry host.  Immutable; shared by
   reference count. Prefix: hl_.  */

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
  HL_ERR_INVALID = -2, /* not JSON, or a host lacks a needed field */
};

enum hl_kind
{
  HL_WORKER = 1,   /* runs tasks */
  HL_UPSTREAM = 2, /* serves requests of one service */
  HL_ENTRY = 3     /* accepts requests and jobs, such as this host */
};

/* The fields under a kind's comment are set for that kind only.  Texts are
   never NULL: an absent text is empty, and an absent number is 0.  */
struct hl_host
{
  enum hl_kind kind;
  bool leaving; /* its state in the list is "leaving" */
  char *name;
  char *address;
  uint16_t port;
  char *data_centre;
  char *rack;
  /* HL_WORKER */
  uint32_t cpus_milli;
  uint32_t memory_mb;
  uint32_t accelerators;
  /* HL_UPSTREAM */
  char *service;
  uint32_t slots; /* requests that it serves at a time */
  uint32_t connections;
  /* HL_ENTRY */
  uint16_t peer_port;
};

struct hl_list
{
  uint64_t version; /* as the platform gave it */
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

/*! hl_to_place_worker () :
 *  @return : a worker in the form that place.h uses; its texts are owned by
 *            HOST. */
struct place_worker hl_to_place_worker (const struct hl_host *host);

#endif
