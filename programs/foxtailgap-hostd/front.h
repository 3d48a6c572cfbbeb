/* The front serves callers over HTTP: it accepts submissions, cancellations
   and queries of jobs, and answers readiness checks and metrics.  It runs in
   the process's event loop.  Prefix: fr_.  */

#ifndef FT_HOSTD_FRONT_H
#define FT_HOSTD_FRONT_H

#include <ev.h>

#include "common/metrics.h"
#include "hostd_settings.h"
#include "journal.h"

struct front;

/* Names and formats of the callers' interface, which the platform defines.  */
struct fr_dialect
{
  const char *key_header;      /* the caller's API key */
  const char *deadline_header; /* for how many milliseconds the caller waits */
  const char *ready_path;
  const char *metrics_path;
  /* Returns 0 with *out set and owned by the caller, or a negative error.  */
  int (*decode_job) (struct jb_spec **out, const void *text,
                     size_t size_bytes);
  /* Bodies of answers, to be freed by g_free ().  */
  char *(*encode_state) (enum jb_state state);
  char *(*encode_queue_length) (uint32_t jobs);
};

struct fr_params
{
  struct ev_loop *loop;
  const struct hostd_settings *settings; /* must outlive the front */
  struct journal *journal;
  struct mt_registry *metrics;
  struct fr_dialect dialect;
};

/*! fr_create () :
 *  @return : NULL if it cannot listen on one of the addresses, or without
 *            memory. */
struct front *fr_create (const struct fr_params *params);

/*! fr_free () :
 *  Accepts NULL. */
void fr_free (struct front *front);

/*! fr_report_not_ready () :
 *  Fails readiness checks from now on; callers are still served. */
void fr_report_not_ready (struct front *front);

/*! fr_stop_accepting () :
 *  Accepts no new connections of callers; open ones are still served. */
void fr_stop_accepting (struct front *front);

/*! fr_open_requests () :
 *  @return : number of callers' requests that are being received or answered.
 */
uint32_t fr_open_requests (const struct front *front);

#endif
