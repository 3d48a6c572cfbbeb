/* Settings of one foxtailgapd process, read from a YAML file.
   Prefix: settings_.  */

#ifndef FT_SETTINGS_H
#define FT_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "config/environment.h"

struct settings_listen
{
  char *address; /* numeric IP address */
  uint16_t port; /* 0: any free port */
};

struct settings
{
  char *host; /* unique name of this entry host */
  char *data_centre;
  struct settings_listen callers; /* for requests of callers */
  struct settings_listen peers;   /* for the other entry hosts */
  char *log_url;                  /* of the platform's log: http://IP:PORT */
  char *hosts_url;           /* of the platform's host list: http://IP:PORT */
  char *stream;              /* name prefix of the streams in the log */
  char *log_level;           /* debug, info, warning, error */
  char *placement_policy;    /* guarantee, first-fit, strict */
  uint32_t connection_limit; /* open connections */
  uint32_t body_limit_bytes; /* of a request */
  uint32_t receive_timeout_ms; /* to receive a complete request */
  uint32_t heartbeat_ms;       /* interval between entry hosts */
  /* Time without contact to the planner before another host tries to acquire
     the planner term.  */
  uint32_t planner_timeout_ms;
  uint32_t lease_ttl_ms;   /* of leases on workers */
  uint32_t lease_renew_ms; /* interval of lease renewals */
  uint32_t hosts_poll_ms;  /* interval of reading the host list */
  uint32_t log_timeout_ms; /* of one call to the log */
  uint32_t log_commit_ms;  /* time to collect records for one append, see
                             log_params.commit_delay_ms */
  uint32_t snapshot_interval_ms;
  uint32_t outcome_window_ms;   /* retention of outcomes and keys */
  uint32_t shutdown_timeout_ms; /* for requests in progress on SIGTERM */
};

/*! settings_load () :
 *  Reads and checks a file; absent fields get their defaults.
 *  @return : ENV_OK with *out set, owned by the caller; or an env_error with
 *            MESSAGES, which name the line and the field of each error. */
int settings_load (struct settings **out, const char *path,
                   struct env_messages *messages);

/*! settings_free () :
 *  Accepts NULL. */
void settings_free (struct settings *settings);

#endif
