/* Routing of one service's requests to its upstream instances: admission,
   queue with deadlines, fairness between teams, slot shares, health, retries.
   A slot is one request that an instance serves at a time; each slot belongs
   to one entry host.
   Pure: no I/O and no clock of its own.  Prefix: rt_.

   The caller submits requests, calls rt_dispatch () after each event, carries
   out the commands that it returns, and reports the outcome of each try by
   rt_outcome ().  */

#ifndef FT_ROUTE_H
#define FT_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum rt_error
{
  RT_OK = 0,
  RT_ERR_MEMORY = -1,
  RT_ERR_UNKNOWN_TEAM = -2, /* there is no such team */
  RT_ERR_OVERLOADED = -3,   /* the answer would come after the deadline */
  RT_ERR_QUEUE_FULL = -4,
  RT_ERR_NO_INSTANCE = -5 /* this host owns no slot of any instance */
};

enum
{
  RT_SLOT_LIMIT = 1024 /* slots of one instance that are used, at most */
};

struct rt_team
{
  const char *name;
  uint32_t weight;           /* from 1 */
  uint32_t guaranteed_slots; /* over all entry hosts together */
};

struct rt_instance
{
  const char *name;
  uint32_t slots;        /* requests that it serves at a time */
  bool leaving;          /* gets no new request */
  bool same_data_centre; /* in this host's data centre */
};

struct rt_limits
{
  uint32_t queue_limit;   /* queued requests of this host, at most */
  uint32_t retry_percent; /* retries per 100 first tries, at most */
};

/* The outcome of one try.  */
enum rt_outcome
{
  RT_ANSWERED = 0, /* a complete answer that is neither "busy" nor a
                      server error */
  RT_BUSY,         /* the instance refused it as busy: it has not run */
  RT_NOT_SENT,     /* no byte left this host */
  RT_SERVER_ERROR, /* answered with a server error */
  RT_NO_ANSWER,    /* sent, and no complete answer came */
  RT_ABANDONED     /* the client closed its connection */
};

enum rt_command_kind
{
  RT_SEND = 1, /* send TOKEN to INSTANCE */
  RT_TOO_LATE
  = 2 /* TOKEN would miss its deadline, and is dropped from the queue */
};

struct rt_command
{
  enum rt_command_kind kind;
  uint64_t token;
  const char *instance; /* valid until a function other than rt_dispatch ()
                           is called */
};

struct rt_params
{
  const char *host;              /* name of this entry host */
  int64_t (*now_ms) (void *ctx); /* monotonic */
  void *ctx;
};

struct rt_router;

int rt_create (struct rt_router **out, const struct rt_params *params);
void rt_free (struct rt_router *router);

/*! rt_configure () :
 *  Replaces the teams and limits.  Requests of removed teams are still
 *  served. */
void rt_configure (struct rt_router *router, const struct rt_team *teams,
                   size_t team_count, const struct rt_limits *limits);

/*! rt_set_instances () :
 *  Replaces the list of instances.  Requests in flight go on. */
void rt_set_instances (struct rt_router *router,
                       const struct rt_instance *instances, size_t count);

/*! rt_set_hosts () :
 *  Replaces the list of live entry hosts, among which the slots of each
 *  instance are shared out.  This host is added if it is not listed. */
void rt_set_hosts (struct rt_router *router, const char *const *hosts,
                   size_t count);

/*! rt_instance_leaving () :
 *  Notes that the instance itself has reported that it is leaving. */
void rt_instance_leaving (struct rt_router *router, const char *name);

/*! rt_would_admit () :
 *  Tells whether a request would be queued now, without queueing it.
 *  @deadline_ms : on the clock of rt_params.now_ms.
 *  @retry_ms : set to the delay after which a new request may be accepted, for
 *              RT_ERR_OVERLOADED, RT_ERR_QUEUE_FULL and RT_ERR_NO_INSTANCE.
 *  @return : RT_OK or an rt_error. */
int rt_would_admit (const struct rt_router *router, const char *team,
                    int64_t deadline_ms, uint32_t *retry_ms);

/*! rt_submit () :
 *  Queues a request.  TOKEN is chosen by the caller, and unique among the
 *  requests of the router.
 *  @return, @retry_ms : as of rt_would_admit (). */
int rt_submit (struct rt_router *router, uint64_t token, const char *team,
               int64_t deadline_ms, uint32_t *retry_ms);

/*! rt_dispatch () :
 *  Drops one queued request that would miss its deadline, or sends one.
 *  @return : true with *command set: call it again; false if there is nothing
 *            to do now. */
bool rt_dispatch (struct rt_router *router, struct rt_command *command);

/*! rt_outcome () :
 *  Ends one try of a request.
 *  @repeatable : whether a try that may have run can be tried again.
 *  @return : true if the request was queued for another try; false if the
 *            request is over: answered, or not to be tried again. */
bool rt_outcome (struct rt_router *router, uint64_t token,
                 enum rt_outcome outcome, bool repeatable);

/*! rt_cancel () :
 *  Drops a queued request.
 *  @return : false if TOKEN is not queued. */
bool rt_cancel (struct rt_router *router, uint64_t token);

/*! rt_next_dispatch_ms () :
 *  @return : the time, by the caller's clock, at which to call rt_dispatch ()
 *            if no event comes before; INT64_MAX for never. */
int64_t rt_next_dispatch_ms (const struct rt_router *router);

/*! rt_service_time_ms () :
 *  @return : the moving average of the duration of an answered try. */
uint32_t rt_service_time_ms (const struct rt_router *router);

uint32_t rt_in_flight (const struct rt_router *router);
uint32_t rt_queued (const struct rt_router *router);

/*! rt_own_slots () :
 *  @return : the slots that this host owns, over all instances that accept new
 *            requests. */
uint32_t rt_own_slots (const struct rt_router *router);

const char *rt_strerror (int error);

#endif
