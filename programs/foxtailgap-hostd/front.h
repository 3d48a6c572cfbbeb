/* Task: the callers' interface: jobs are handed in, asked for and cancelled;
   readiness and metrics.  Prefix: fr_.  */

#ifndef FT_HOSTD_FRONT_H
#define FT_HOSTD_FRONT_H

#include <ev.h>

#include "common/metrics.h"
#include "hostd_settings.h"
#include "journal.h"

struct front;

/* Names and formats of the callers' interface; of the platform.  */
struct fr_dialect
{
  const char *key_header;
  const char *deadline_header;
  const char *ready_path;
  const char *metrics_path;
  int (*decode_job) (struct jb_spec **out, const void *text,
                     size_t size_bytes);
  char *(*encode_state) (enum jb_state state);
  char *(*encode_queue_length) (uint32_t jobs);
};

struct fr_params
{
  struct ev_loop *loop;
  const struct hostd_settings *settings;
  struct journal *journal;
  struct mt_registry *metrics;
  struct fr_dialect dialect;
};

/*! fr_create () :
 *  @return : NULL if an address cannot be listened on. */
struct front *fr_create (const struct fr_params *params);
void fr_free (struct front *front);

/*! fr_report_not_ready () :
 *  Says that it is not ready; callers that come nevertheless are served. */
void fr_report_not_ready (struct front *front);

/*! fr_stop_accepting () :
 *  Takes no new connections. */
void fr_stop_accepting (struct front *front);

/*! fr_open_requests () :
 *  @return : requests that are received or answered. */
uint32_t fr_open_requests (const struct front *front);

#endif
