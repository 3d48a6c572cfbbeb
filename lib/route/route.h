/* Routing of one service's requests to its upstream instances: admission,
   queue with deadlines, fairness between teams, slot shares, health, retries.
   Pure: no I/O and no clock of its own.  Prefix: rt_.

   The caller submits requests, calls rt_dispatch () after each event, sends
   what it is told to send, and reports each outcome.  */

#ifndef FT_ROUTE_H
#define FT_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum rt_error
{
  RT_OK = 0,
  RT_ERR_MEMORY = -1,
  RT_ERR_TEAM = -2,       /* the team is not known */
  RT_ERR_OVERLOADED = -3, /* could not be answered before its deadline */
  RT_ERR_QUEUE_FULL = -4,
  RT_ERR_NO_INSTANCE = -5 /* no upstream instance is listed */
};

enum
{
  RT_SLOT_LIMIT = 1024 /* slots of one instance */
};

struct rt_team
{
  const char *name;
  uint32_t weight;           /* from 1 */
  uint32_t guaranteed_slots; /* of the service in whole */
};

struct rt_instance
{
  const char *name;
  uint32_t slots;
  bool leaving;
  bool near; /* in this host's data centre */
};

struct rt_limits
{
  uint32_t queue_limit;
  uint32_t retry_percent; /* retries over first tries, at most */
};

enum rt_outcome
{
  RT_ANSWERED = 0, /* a whole answer, of whatever status but "busy" */
  RT_BUSY,         /* the instance took it not: it has not run */
  RT_NOT_SENT,     /* no byte left this host */
  RT_FAILED,       /* answered with a server error */
  RT_BROKEN,       /* sent, and no whole answer came */
  RT_ABANDONED     /* the caller left */
};

enum rt_command_kind
{
  RT_SEND = 1,   /* send TOKEN to INSTANCE */
  RT_EXPIRED = 2 /* TOKEN would miss its deadline; it is forgotten */
};

struct rt_command
{
  enum rt_command_kind kind;
  uint64_t token;
  const char *instance; /* valid until the next call but rt_dispatch () */
};

struct rt_params
{
  const char *host;              /* this entry host */
  int64_t (*now_ms) (void *ctx); /* monotonic */
  void *ctx;
};

struct rt_router;

int rt_create (struct rt_router **out, const struct rt_params *params);
void rt_free (struct rt_router *router);

/*! rt_configure () :
 *  Replaces the teams and limits.  Requests of teams that are gone finish. */
void rt_configure (struct rt_router *router, const struct rt_team *teams,
                   size_t team_count, const struct rt_limits *limits);

/*! rt_set_instances () :
 *  Replaces the list of instances.  Requests in flight go on. */
void rt_set_instances (struct rt_router *router,
                       const struct rt_instance *instances, size_t count);

/*! rt_set_hosts () :
 *  The live entry hosts, this one among them: each slot of an instance
 *  belongs to one of them. */
void rt_set_hosts (struct rt_router *router, const char *const *hosts,
                   size_t count);

/*! rt_instance_leaving () :
 *  The instance itself said that it is leaving. */
void rt_instance_leaving (struct rt_router *router, const char *name);

/*! rt_admit () :
 *  Whether a request would be queued now.
 *  @retry_ms : when asking again may help, for RT_ERR_OVERLOADED,
 *                    RT_ERR_QUEUE_FULL and RT_ERR_NO_INSTANCE. */
int rt_admit (const struct rt_router *router, const char *team,
              int64_t deadline_ms, uint32_t *retry_ms);

/*! rt_submit () :
 *  Queues a request.  TOKEN is the caller's, unique among those known. */
int rt_submit (struct rt_router *router, uint64_t token, const char *team,
               int64_t deadline_ms, uint32_t *retry_ms);

/*! rt_dispatch () :
 *  @return : true with *command set; call again until false. */
bool rt_dispatch (struct rt_router *router, struct rt_command *command);

/*! rt_outcome () :
 *  Ends one try of a request.
 *  @repeatable : whether a try that may have run can be tried again.
 *  @return : true if the request was queued for another try; false if the
 *            router has forgotten it. */
bool rt_outcome (struct rt_router *router, uint64_t token,
                 enum rt_outcome outcome, bool repeatable);

/*! rt_cancel () :
 *  Forgets a queued request.
 *  @return : false if TOKEN is not queued. */
bool rt_cancel (struct rt_router *router, uint64_t token);

/*! rt_next_ms () :
 *  @return : when rt_dispatch () has something to do without any event, in
 *            the caller's clock; INT64_MAX for never. */
int64_t rt_next_ms (const struct rt_router *router);

/*! rt_service_time_ms () :
 *  @return : how long a try takes that is answered, in the mean. */
uint32_t rt_service_time_ms (const struct rt_router *router);

uint32_t rt_in_flight (const struct rt_router *router);
uint32_t rt_queued (const struct rt_router *router);

/*! rt_own_slots () :
 *  @return : slots that this host may use over all instances that may get
 *            something new. */
uint32_t rt_own_slots (const struct rt_router *router);

const char *rt_strerror (int error);

#endif
