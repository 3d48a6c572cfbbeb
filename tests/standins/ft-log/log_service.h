/* HTTP service that stands in for the platform's log.  Prefix: lo_.

   Tests set faults, such as outages and lost answers, by control requests.  */

#ifndef FT_LOG_SERVICE_H
#define FT_LOG_SERVICE_H

#include <ev.h>
#include <glib.h>
#include <stdint.h>

#include "log_store.h"
#include "standins/common/history_file.h"

struct lo_service;

struct lo_params
{
  struct ev_loop *loop;
  const char *address;
  uint16_t port;
  uint32_t appends_per_s; /* 0: no limit */
  struct ls_retention retention;
  GRand *random; /* chooses the answers that are dropped at random */
  struct hf_file *history;
};

/*! lo_create () :
 *  @return : 0 with *out set, or an hs_error. */
int lo_create (struct lo_service **out, const struct lo_params *params);
void lo_free (struct lo_service *service); /* accepts NULL */

uint16_t lo_port (const struct lo_service *service);

#endif
