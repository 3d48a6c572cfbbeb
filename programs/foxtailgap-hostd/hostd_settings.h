/* Settings of one host of the scheduler on a store with epochs (YAML).
   Prefix: hs_set_.  */

#ifndef FT_HOSTD_SETTINGS_H
#define FT_HOSTD_SETTINGS_H

#include <stdint.h>

#include "config/environment.h"

struct hostd_settings
{
  char *host;
  char *data_centre;
  char *callers;   /* IP:PORT of the callers' interface */
  char *readiness; /* IP:PORT that tells whether this host takes callers */
  char *metrics;   /* IP:PORT of counters and histograms */
  char *store;     /* IP:PORT */
  char *advisor;   /* IP:PORT of the placement advisor; NULL: none */
  char *log_level;
  uint32_t connection_limit;
  uint32_t body_limit_bytes;
  uint32_t receive_timeout_ms;
  uint32_t lease_ttl_ms;     /* of what runs on a worker */
  uint32_t stop_ms;          /* a worker stops a task within this */
  uint32_t key_validity_ms;  /* a key that was taken away is refused by then */
  uint32_t shutdown_ms;      /* from SIGTERM to the end */
  uint32_t far_factor;       /* slow-down of work away from its rack */
  uint32_t job_retention_ms; /* an ended job can be asked for */
  double cpu_share;          /* of a processor */
  double link_mbps;          /* of the host's network link */
};

/*! hostd_settings_load () :
 *  @return : ENV_OK with *out set, to be freed by hostd_settings_free (); or
 *            an env_error with messages. */
int hostd_settings_load (struct hostd_settings **out, const char *path,
                         struct env_messages *messages);
void hostd_settings_free (struct hostd_settings *settings);

#endif
