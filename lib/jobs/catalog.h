/* The catalog: the operator's configuration as the scheduler uses it, with
   queues, teams with their keys and guarantees, and services.  Prefix: ct_. */

#ifndef FT_JOBS_CATALOG_H
#define FT_JOBS_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A queue of jobs.  A job should end within its objective, counted from when
   the planner's host read the job's record: slack_factor times the run time of
   its longest chain of dependent steps, plus target_ms.  */
struct ct_queue
{
  char *name;
  char *host_header; /* of the requests that belong to it */
  char *path_prefix; /* of these requests; may end with a slash */
  char *service;     /* whose workers run its tasks */
  uint32_t priority; /* 0 is the most urgent and may preempt others */
  uint32_t attempt_limit;
  double slack_factor;
  uint32_t target_ms;
  bool keyless;      /* callers need no key */
  bool uses_advisor; /* a placement advisor chooses the workers that may run a
                   step */
  /* Time that the advisor takes for a query, and in addition for each worker
     that the query names.  */
  uint32_t advice_call_ms;
  uint32_t advice_per_worker_ms;
  /* Of the catalog that it is of, or is a copy of; 0: not known.  */
  int64_t version;
};

/* What a record of the operator says of a data centre that is closed for new
   work: one that starts nothing while there is such a record.  */
enum ct_closing
{
  CT_CLOSING_NONE,       /* the record is of something else */
  CT_CLOSING_NAMELESS,   /* its key names no data centre that may exist */
  CT_CLOSING_UNREADABLE, /* its key names one, and its value says nothing or
                            something else */
  CT_CLOSING_READ,
};

struct ct_team
{
  char *name;
  char **keys; /* ends with NULL */
  int64_t guaranteed_accelerators;
};

struct ct_service
{
  char *name;
  bool enforces_capacity; /* its workers refuse a task that does not fit */
  bool standby;           /* decoded from the configuration; no code uses it */
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
  uint64_t body_limit_bytes; /* of a submission; 0: no limit given.  The
                                settings' body_limit_bytes applies too.  */
  /* struct ct_queue by their names, and by their hosts and path prefixes; see
     ct_index_queues ().  */
  GHashTable *queues_by_name;
  GHashTable *queues_by_address;
};

/*! ct_catalog_free () :
 *  Frees CATALOG with all that it owns.  Accepts NULL. */
void ct_catalog_free (struct ct_catalog *catalog);

/*! ct_queue_copy () :
 *  @return : a copy, to be freed by ct_queue_free (). */
struct ct_queue *ct_queue_copy (const struct ct_queue *queue);

/*! ct_queue_free () :
 *  Frees a copy.  Accepts NULL. */
void ct_queue_free (struct ct_queue *queue);

/*! ct_queue_equal () :
 *  @return : whether both have the same address and run their jobs alike;
 *            names and versions do not matter.  Either may be NULL. */
bool ct_queue_equal (const struct ct_queue *a, const struct ct_queue *b);

/*! ct_same_address () :
 *  @return : whether requests to both have the same host and path prefix. */
bool ct_same_address (const struct ct_queue *a, const struct ct_queue *b);

/*! ct_index_queues () :
 *  Builds the indexes of the queues, once all of them are in the catalog, and
 *  gives them its version.
 *  There may be hundreds, and each round of the scheduler looks them up. */
void ct_index_queues (struct ct_catalog *catalog);

/*! ct_route_request () :
 *  Finds the queue of a request: of those with this host, the one with the
 *  longest prefix of PATH.
 *  @host : of the request, with or without a port.
 *  @rest : set to the part of PATH after the prefix and one slash.
 *  @return : owned by the catalog; NULL if no queue matches, and then *rest is
 *            not set. */
const struct ct_queue *ct_route_request (const struct ct_catalog *catalog,
                                         const char *host, const char *path,
                                         const char **rest);

/*! ct_find_queue_like () :
 *  Finds the queue that the requests of QUEUE go to now: the one with its host
 *  and path prefix, which may have another name.
 *  @return : owned by the catalog; NULL if there is none. */
const struct ct_queue *ct_find_queue_like (const struct ct_catalog *catalog,
                                           const struct ct_queue *queue);

/*! ct_find_queue (), ct_find_team () :
 *  Finds a queue or a team by its name.  The name of a team may be NULL.
 *  @return : owned by the catalog; NULL if there is none. */
const struct ct_queue *ct_find_queue (const struct ct_catalog *catalog,
                                      const char *name);
const struct ct_team *ct_find_team (const struct ct_catalog *catalog,
                                    const char *name);

/*! ct_enforces_capacity () :
 *  @return : whether the workers of the service refuse a task that does not
 *            fit; false if CATALOG does not have the service. */
bool ct_enforces_capacity (const struct ct_catalog *catalog,
                           const char *service);

/*! ct_team_of_key () :
 *  @return : the team that KEY belongs to, owned by the catalog; NULL if there
 *            is none. */
const struct ct_team *ct_team_of_key (const struct ct_catalog *catalog,
                                      const char *key);

#endif
