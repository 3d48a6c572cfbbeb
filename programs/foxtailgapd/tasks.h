/* The daemon's tasks: parts of the daemon, not tasks of jobs.  Each owns its
   sockets and its state and is reached through its mailbox, by the messages of
   messages.h.  All tasks run in one event loop.  */

#ifndef FT_TASKS_H
#define FT_TASKS_H

#include <ev.h>

#include "common/mailbox.h"
#include "common/metrics.h"
#include "config/settings.h"

/* What every task is given.  The mailboxes are set before the loop runs.  */
struct daemon
{
  struct ev_loop *loop;
  const struct settings *settings;
  struct mt_registry *metrics;
  uint16_t callers_port; /* that is listened on; set by the front task */
  struct mb_box *front;  /* mailboxes, each set by its task */
  struct mb_box *upstream;
  struct mb_box *state;
  struct mb_box *hosts;
  struct mb_box *planner;
  struct mb_box *renewal;
  struct mb_box *peers;
};

/* Each create function returns NULL on failure and sets the task's own mailbox
   in the daemon.  Each free function ignores NULL.  */

/* Serves callers and operators over HTTP.  */
struct front_task *front_create (struct daemon *daemon);
void front_free (struct front_task *task);

/* The port that callers reach, and the HTTP requests that are not answered
   yet.  */
uint16_t front_port (const struct front_task *task);
uint32_t front_open_requests (const struct front_task *task);

/* Sends service requests to upstreams.  */
struct upstream_task *upstream_create (struct daemon *daemon);
void upstream_free (struct upstream_task *task);

/* Service requests without an outcome, with or without a caller that waits. */
uint32_t upstream_open_requests (const struct upstream_task *task);

/* Appends to the platform's log, reads it and folds it to the state.  */
struct state_task *state_create (struct daemon *daemon);
void state_free (struct state_task *task);

/* Records that are being appended and have no outcome yet.  */
uint32_t state_open_appends (const struct state_task *task);

/* Polls the platform's list of hosts.  */
struct hosts_task *hosts_create (struct daemon *daemon);
void hosts_free (struct hosts_task *task);

/* Decides placements while this host holds the planner term.  */
struct planner_task *planner_create (struct daemon *daemon);
void planner_free (struct planner_task *task);

/* Renews this host's share of the workers' leases and records the outcomes of
   the tasks of jobs that ended there.  */
struct renewal_task *renewal_create (struct daemon *daemon);
void renewal_free (struct renewal_task *task);

/* Exchanges heartbeats and, while the log cannot be read, the folded state
   with other entry hosts.  */
struct peers_task *peers_create (struct daemon *daemon);
void peers_free (struct peers_task *task);

/* The port that other entry hosts reach.  */
uint16_t peers_port (const struct peers_task *task);

#endif
