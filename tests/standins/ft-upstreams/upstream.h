/* One upstream instance, which runs a limited number of requests at a time.
   Prefix: up_.  */

#ifndef FT_UPSTREAM_H
#define FT_UPSTREAM_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/http_server.h"
#include "standins/common/history_file.h"

struct up_instance;

struct up_params
{
  struct ev_loop *loop;
  const char *name;        /* copied */
  uint32_t slots;          /* requests that run at the same time */
  uint32_t run_ms;         /* of requests whose body does not say */
  uint32_t spread_percent; /* greatest random deviation from run_ms */
  GRand *random;           /* for spread_percent */
  struct hf_file *history;
};

struct up_instance *up_create (const struct up_params *params);

/*! up_free () :
 *  Drops all running requests.  Accepts NULL. */
void up_free (struct up_instance *instance);

/*! up_start_work () :
 *  Starts to run one request and answers it when its run time is over; answers
 *  with 503 at once if all slots are in use. */
void up_start_work (struct up_instance *instance, struct hs_request *request);

/*! up_drop_all () :
 *  Closes the connections of all running requests without an answer. */
void up_drop_all (struct up_instance *instance);

/*! up_set_leaving (), up_set_fail_all (), up_set_run_ms () :
 *  @leaving : each answer says that the instance is leaving.
 *  @fail_all : requests that start from now on fail.
 *  @run_ms : of requests whose body does not say. */
void up_set_leaving (struct up_instance *instance, bool leaving);
void up_set_fail_all (struct up_instance *instance, bool fail_all);
void up_set_run_ms (struct up_instance *instance, uint32_t run_ms);

bool up_is_leaving (const struct up_instance *instance);
bool up_fails_all (const struct up_instance *instance);
uint32_t up_run_ms (const struct up_instance *instance);
uint32_t up_slots_used (const struct up_instance *instance);

#endif
