/* The operator's configuration as the scheduler uses it: queues, teams with
   their keys and guarantees, services.  Prefix: ct_.  */

#ifndef FT_JOBS_CATALOG_H
#define FT_JOBS_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ct_queue
{
  char *name;
  char *host;        /* of the Host header */
  char *path_prefix; /* ends with a slash, or one is added */
  char *service;     /* whose workers run its tasks */
  uint32_t priority; /* 0 comes first and may preempt others */
  uint32_t attempt_limit;
  double slack_factor;      /* objective over the longest chain of work */
  uint32_t target_ms;       /* added to the objective */
  bool open;                /* needs no key */
  bool advised;             /* an advisor names the workers of a step */
  uint32_t advice_first_ms; /* time of a call to the advisor */
  uint32_t advice_each_ms;  /* and for each worker named */
};

struct ct_team
{
  char *name;
  char **keys; /* NULL at the end */
  int64_t guaranteed_accelerators;
};

struct ct_service
{
  char *name;
  bool guards_capacity; /* its workers refuse what does not fit */
  bool standby;
};

struct ct_catalog
{
  int64_t version;
  struct ct_queue *queues;
  size_t queue_count;
  struct ct_team *teams;
  size_t team_count;
  struct ct_service *services;
  size_t service_count;
  uint64_t body_limit_bytes;  /* 0: no limit given */
  GHashTable *queues_by_name; /* of ct_index () */
};

/*! ct_free () :
 *  Accepts NULL. */
void ct_free (struct ct_catalog *catalog);

/*! ct_index () :
 *  To be called once all queues stand in the catalog: a configuration may
 *  hold hundreds, and each round of the scheduler asks for them. */
void ct_index (struct ct_catalog *catalog);

/*! ct_route () :
 *  The queue of the longest matching prefix.
 *  @host : of the request, with or without a port.
 *  @rest : set to what follows the prefix in PATH.
 *  @return : NULL if no queue matches. */
const struct ct_queue *ct_route (const struct ct_catalog *catalog,
                                 const char *host, const char *path,
                                 const char **rest);

const struct ct_queue *ct_queue (const struct ct_catalog *catalog,
                                 const char *name);
const struct ct_team *ct_team (const struct ct_catalog *catalog,
                               const char *name);

/*! ct_team_of_key () :
 *  @return : the team that holds KEY; NULL if none does. */
const struct ct_team *ct_team_of_key (const struct ct_catalog *catalog,
                                      const char *key);

#endif
