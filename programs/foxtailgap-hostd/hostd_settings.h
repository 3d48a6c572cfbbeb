/* Settings of foxtailgap-hostd, the daemon of one host of the scheduler: a
   YAML file whose keys are the members of the struct. Prefix: hostd_settings_.
 */

#ifndef FT_HOSTD_SETTINGS_H
#define FT_HOSTD_SETTINGS_H

#include <stdint.h>

#include "config/environment.h"

struct hostd_settings
{
  char *host; /* name of this host, unique among all hosts */
  char *data_centre;
  char *callers;   /* IP:PORT where callers are served */
  char *readiness; /* IP:PORT where readiness checks are answered */
  char *metrics;   /* IP:PORT where the metrics are served */
  char *store;     /* IP:PORT of the store */
  char *advisor;   /* IP:PORT of the placement advisor; NULL: none */
  char *log_level;
  uint32_t connection_limit;
  uint32_t descriptor_limit; /* of this process: sockets and files */
  uint32_t body_limit_bytes; /* of any HTTP request; the catalog may have a
                                lower one for submissions */
  uint32_t receive_timeout_ms;
  uint32_t lease_ttl_ms;   /* of the lease of what runs on a worker */
  uint32_t lease_limit_ms; /* workers shorten a longer lease to this */
  uint32_t stop_ms; /* the time of a stop: a worker stops a task within this;
                       stop_max_ms elsewhere */
  /* Between two reports of a worker to the store.  */
  uint32_t worker_heartbeat_ms;
  /* When a worker's capacity shrinks, its former one may be used for this time
     and a heartbeat longer.  */
  uint32_t capacity_notice_ms;
  /* A data centre that the operator closes for new work starts nothing after
     this time, so that no start is sent by older knowledge; 0: starts do not
     wait for such knowledge.  */
  uint32_t closing_ms;
  uint32_t key_validity_ms;  /* for how long a key may still be accepted after
                                it has been revoked */
  uint32_t shutdown_ms;      /* from SIGTERM to the end of the process */
  uint32_t far_factor;       /* the slow-down factor of remote tasks;
                                remote_slowdown_factor elsewhere */
  uint32_t job_retention_ms; /* an ended job can be queried for this time */
  uint32_t caller_memory_mb; /* for what callers have sent and not read; half
                                of memory_mb unless it is set */
  double memory_mb;          /* of the host, MB */
  double cpu_share;          /* of one processor; 1.0: a whole one */
  double link_mbps;          /* bandwidth of the host's network link, Mbit/s */
};

/*! hostd_settings_load () :
 *  @return : ENV_OK with *out set, to be freed by hostd_settings_free (); or
 *            an env_error with messages. */
int hostd_settings_load (struct hostd_settings **out, const char *path,
                         struct env_messages *messages);
void hostd_settings_free (struct hostd_settings *settings);

#endif
