/* One upstream instance: slots and the work in them.  Prefix: up_.  */

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
  const char *name;
  uint32_t slots;
  uint32_t run_ms;         /* for work that does not say */
  uint32_t spread_percent; /* run_ms is that much longer or shorter at most */
  GRand *random;
  struct hf_file *history;
};

struct up_instance *up_create (const struct up_params *params);

/*! up_free () :
 *  Drops all work.  Accepts NULL. */
void up_free (struct up_instance *instance);

/*! up_work () :
 *  Runs one request, or refuses it when all slots are taken. */
void up_work (struct up_instance *instance, struct hs_request *request);

/*! up_drop_all () :
 *  Ends all work without an answer. */
void up_drop_all (struct up_instance *instance);

void up_set_leaving (struct up_instance *instance, bool leaving);
void up_set_fail_all (struct up_instance *instance, bool fail_all);
void up_set_run_ms (struct up_instance *instance, uint32_t run_ms);

bool up_leaving (const struct up_instance *instance);
bool up_fail_all (const struct up_instance *instance);
uint32_t up_run_ms (const struct up_instance *instance);
uint32_t up_slots_used (const struct up_instance *instance);

#endif
