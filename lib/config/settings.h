/* Settings of one daemon process, from YAML.  Prefix: settings_.  */

#ifndef FT_SETTINGS_H
#define FT_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "config/environment.h"

struct settings_listen
{
  char *address; /* IP number */
  uint16_t port; /* 0: any free port */
};

struct settings
{
  char *host; /* unique name of this entry host */
  char *data_centre;
  struct settings_listen callers;
  struct settings_listen peers;
  char *log_url;          /* platform's log, http://IP:PORT */
  char *hosts_url;        /* platform's host list */
  char *stream;           /* prefix of the streams in the log */
  char *log_level;        /* debug, info, warning, error */
  char *placement_policy; /* guarantee, first-fit, strict */
  uint32_t connection_limit;
  uint32_t body_limit_bytes;
  uint32_t receive_timeout_ms;
  uint32_t heartbeat_ms;       /* between entry hosts */
  uint32_t planner_timeout_ms; /* silence before the term is claimed */
  uint32_t lease_ttl_ms;       /* of leases on workers */
  uint32_t lease_renew_ms;
  uint32_t hosts_poll_ms;  /* of the platform's host list */
  uint32_t log_timeout_ms; /* of one call to the log */
  uint32_t log_commit_ms;  /* records gathered for one append */
  uint32_t snapshot_interval_ms;
  uint32_t outcome_window_ms;   /* how long outcomes and keys are kept */
  uint32_t shutdown_timeout_ms; /* for requests in progress on SIGTERM */
};

/*! settings_load () :
 *  Reads and checks a file; absent fields get their defaults.
 *  @return : ENV_OK with *out set, owned by the caller; or an env_error with
 *            MESSAGES saying what is wrong at which line and field. */
int settings_load (struct settings **out, const char *path,
                   struct env_messages *messages);

/*! settings_free () :
 *  Accepts NULL. */
void settings_free (struct settings *settings);

#endif
