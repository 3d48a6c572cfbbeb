/* Internal header of the router: its state.  Prefix: rt_.  */

#ifndef FT_ROUTE_INTERNAL_H
#define FT_ROUTE_INTERNAL_H

#include <glib.h>

#include "route/health.h"
#include "route/retry_budget.h"
#include "route/route.h"

struct rt_instance_state
{
  char *name;
  uint32_t slots;
  uint32_t own_slots; /* slots that belong to this host */
  uint32_t in_flight;
  bool listed;  /* in the latest list of instances */
  bool leaving; /* by the list or by the instance itself */
  bool same_data_centre;
  int64_t busy_until_ms;
  uint64_t last_send_number; /* send_count of the router at the latest try */
  struct he_health health;
};

struct rt_team_state
{
  char *name;
  uint32_t weight; /* 0: the team was removed */
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
  size_t self;           /* index of this host in HOSTS */
  uint32_t queue_limit;
  uint32_t queued;
  uint32_t in_flight;
  uint32_t own_slots;
  uint64_t send_count;
  double service_time_ms; /* moving average of answered tries */
  struct rb_budget budget;
};

/*! rt_is_removable () :
 *  @return : whether an instance is not listed and has no try in flight. */
bool rt_is_removable (const struct rt_instance_state *instance);

/*! rt_pick_instance () :
 *  @return : the instance for the next request; NULL if no slot may be used
 *            now. */
struct rt_instance_state *rt_pick_instance (struct rt_router *router,
                                            int64_t now_ms);

#endif
