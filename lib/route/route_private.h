/* Inner header of the router: its state.  Prefix: rt_.  */

#ifndef FT_ROUTE_PRIVATE_H
#define FT_ROUTE_PRIVATE_H

#include <glib.h>

#include "route/health.h"
#include "route/retry_budget.h"
#include "route/route.h"

struct rt_instance_state
{
  char *name;
  uint32_t slots;
  uint32_t own_slots;
  uint32_t in_flight;
  bool listed;
  bool leaving;
  bool near;
  int64_t busy_until_ms;
  uint64_t last_send; /* number of the router's newest try sent here */
  struct he_health health;
};

struct rt_team_state
{
  char *name;
  uint32_t weight;
  uint32_t guaranteed_slots;
  uint32_t in_flight;
  GQueue queue; /* of struct rt_request_state, in order of arrival */
};

struct rt_request_state
{
  uint64_t token;
  int64_t deadline_ms;
  int64_t submitted_ms;
  int64_t sent_ms;
  struct rt_team_state *team;
  struct rt_instance_state *instance; /* NULL while queued */
  uint32_t tries;
};

struct rt_router
{
  char *host;
  int64_t (*now_ms) (void *ctx);
  void *ctx;
  GHashTable *teams;     /* name -> struct rt_team_state */
  GHashTable *instances; /* name -> struct rt_instance_state */
  GHashTable *requests;  /* token -> struct rt_request_state */
  GPtrArray *hosts;      /* names */
  size_t self;
  uint32_t queue_limit;
  uint32_t queued;
  uint32_t in_flight;
  uint32_t own_slots;
  uint64_t sends;
  double service_time_ms; /* moving mean of a try */
  struct rb_budget budget;
};

/*! rt_is_idle () :
 *  Whether an instance is neither listed nor has anything in flight. */
bool rt_is_idle (const struct rt_instance_state *instance);

/*! rt_pick_instance () :
 *  @return : where the next request goes; NULL if no slot may be used now. */
struct rt_instance_state *rt_pick_instance (struct rt_router *router,
                                            int64_t now_ms);

#endif
