/* Peers task: heartbeats between entry hosts.  It connects to each entry host
   of the platform's list, and tells the other tasks which of them are members:
   those that hear this host and are heard by it.  */

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/logging.h"
#include "member/frames.h"
#include "member/members.h"
#include "messages.h"
#include "peers_snapshot.h"
#include "tasks.h"

static const char PART[] = "peers";

enum
{
  TIMEOUT_HEARTBEATS = 4,    /* without one for this long: no member */
  SETTLE_HEARTBEATS = 2,     /* heard for this long before it is a member */
  RECONNECT_HEARTBEATS = 10, /* a connection to a host that is no member is
                                made anew after this time */
  CHECKS_PER_HEARTBEAT = 5,  /* of which hosts are members */
  INCOMING_CONNECTION_LIMIT = 1024
};

/* One entry host of the list, and this host's connection to it.  */
struct peer
{
  struct peers_task *task;
  char *name;
  char *address;
  uint16_t port;
  struct fm_connection *connection; /* NULL: made before the next heartbeat */
  int64_t connected_ms;
  bool listed;
};

struct peers_task
{
  struct daemon *daemon;
  struct mb_box *box;
  int listen_fd;
  uint16_t port;
  ev_io accept_watcher;
  ev_timer members_timer;
  GHashTable *peers;    /* name -> struct peer */
  GHashTable *incoming; /* set of struct fm_connection */
  struct mem_table *members;
  struct ps_exchange *snapshots;
  struct msg_log_status log;
  int64_t last_check_ms; /* of the members */
  int64_t last_heartbeat_ms;
  uint64_t incarnation; /* random; tells this process from earlier ones */
  uint64_t revision;
  uint64_t term;
  uint32_t in_flight;
  uint32_t queued;
  bool stopping;
};

/* --- Members --- */

static void
add_member (GArray *list, const char *host, const char *address, uint16_t port,
            uint64_t revision, uint64_t offset, uint32_t in_flight)
{
  struct msg_member member = { .host = g_strdup (host),
                               .address = g_strdup (address),
                               .port = port,
                               .revision = revision,
                               .next_offset = offset,
                               .in_flight = in_flight };

  g_array_append_val (list, member);
}

static void
add_other_member (void *ctx, const struct mem_host *host)
{
  add_member (ctx, host->name, host->address, host->port, host->revision,
              host->next_log_offset, host->in_flight);
}

static gint
compare_members (gconstpointer a, gconstpointer b)
{
  return strcmp (((const struct msg_member *)a)->host,
                 ((const struct msg_member *)b)->host);
}

static void
post_members (struct peers_task *task, struct mb_box *box)
{
  const struct settings *settings = task->daemon->settings;
  struct msg_members *members = g_new0 (struct msg_members, 1);
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct msg_member));

  add_member (list, settings->host, settings->callers.address,
              task->daemon->callers_port, task->revision,
              task->log.next_offset, task->in_flight);
  mem_each_member (task->members, add_other_member, list);
  g_array_sort (list, compare_members);
  members->member_count = list->len;
  members->members = (struct msg_member *)g_array_free (list, FALSE);
  while (strcmp (members->members[members->self].host, settings->host) != 0)
    members->self++;
  mb_post (box, MSG_MEMBERS, members);
}

/* The front task and the state task get the members with their newest offsets;
   the other tasks only need to know when a host joins or leaves.  */
static void
publish_members (struct peers_task *task, bool changed)
{
  struct daemon *daemon = task->daemon;
  struct mb_box *boxes[]
      = { daemon->upstream, daemon->planner, daemon->renewal };
  size_t i;

  post_members (task, daemon->front);
  post_members (task, daemon->state); /* compares the members' offsets */
  for (i = 0; changed && i < G_N_ELEMENTS (boxes); i++)
    if (boxes[i] != NULL)
      post_members (task, boxes[i]);
}

/* --- Heartbeats --- */

static void
on_frame (void *ctx, struct fm_connection *connection, const uint8_t *data,
          size_t size_bytes)
{
  struct peers_task *task = ctx;
  Ft__PeerFrame *frame = ft__peer_frame__unpack (NULL, size_bytes, data);

  switch (frame == NULL ? FT__PEER_FRAME__BODY__NOT_SET : frame->body_case)
    {
    case FT__PEER_FRAME__BODY_HEARTBEAT:
      mem_heartbeat (task->members, frame->heartbeat, clk_monotonic_ms (NULL));
      break;
    case FT__PEER_FRAME__BODY_SNAPSHOT_WANTED:
      if (frame->snapshot_wanted->offset < task->log.next_offset)
        ps_on_request (task->snapshots, connection);
      break;
    case FT__PEER_FRAME__BODY_SNAPSHOT_PART:
      ps_on_part (task->snapshots, frame->snapshot_part);
      break;
    default:
      mt_add (task->daemon->metrics, "foxtailgap_peer_frames_invalid_total",
              1);
      break;
    }
  if (frame != NULL)
    ft__peer_frame__free_unpacked (frame, NULL);
}

static GByteArray *
pack_heartbeat (struct peers_task *task, int64_t now_ms)
{
  const struct settings *settings = task->daemon->settings;
  Ft__Heartbeat heartbeat = FT__HEARTBEAT__INIT;
  Ft__PeerFrame frame = FT__PEER_FRAME__INIT;
  GByteArray *packed = g_byte_array_new ();

  heartbeat.host = settings->host;
  heartbeat.incarnation = task->incarnation;
  heartbeat.address = settings->callers.address;
  heartbeat.port = task->daemon->callers_port;
  heartbeat.revision = task->revision;
  heartbeat.offset = task->log.next_offset;
  heartbeat.in_flight = task->in_flight;
  heartbeat.queued = task->queued;
  heartbeat.term = task->term;
  heartbeat.leaving = task->stopping;
  heartbeat.heard
      = mem_heard_hosts (task->members, now_ms, &heartbeat.n_heard);
  frame.body_case = FT__PEER_FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  g_byte_array_set_size (packed,
                         (guint)ft__peer_frame__get_packed_size (&frame));
  ft__peer_frame__pack (&frame, packed->data);
  g_free (heartbeat.heard);
  return packed;
}

static void
on_peer_closed (void *ctx, struct fm_connection *connection)
{
  struct peer *peer = ctx;

  fm_free (connection);
  peer->connection = NULL;
}

static void
on_peer_frame (void *ctx, struct fm_connection *connection,
               const uint8_t *data, size_t size_bytes)
{
  on_frame (((struct peer *)ctx)->task, connection, data, size_bytes);
}

static void
connect_peer (struct peer *peer)
{
  struct fm_callbacks callbacks
      = { .frame = on_peer_frame, .closed = on_peer_closed, .ctx = peer };

  if (fm_connect (&peer->connection, peer->task->daemon->loop, peer->address,
                  peer->port, &callbacks)
      != FM_OK)
    peer->connection = NULL;
  peer->connected_ms = clk_monotonic_ms (NULL);
}

static void
disconnect_peer (struct peer *peer)
{
  fm_free (peer->connection);
  peer->connection = NULL;
}

/* Whether the connection is to be made anew.  A connection may be silent for
   good although a new one would work.  The other host then does not list this
   host among those that it hears, and so it is no member here.  */
static bool
is_stale (const struct peer *peer, int64_t now_ms)
{
  const struct peers_task *task = peer->task;
  int64_t limit_ms
      = (int64_t)task->daemon->settings->heartbeat_ms * RECONNECT_HEARTBEATS;

  return peer->connection != NULL && now_ms - peer->connected_ms > limit_ms
         && !mem_is_member (task->members, peer->name);
}

static void
send_heartbeats (struct peers_task *task, int64_t now_ms)
{
  GByteArray *packed = pack_heartbeat (task, now_ms);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, task->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (is_stale (peer, now_ms))
        disconnect_peer (peer);
      if (peer->connection == NULL)
        connect_peer (peer);
      if (peer->connection == NULL)
        continue;
      if (fm_send (peer->connection, packed->data, packed->len) != FM_OK)
        disconnect_peer (peer);
      mt_add (task->daemon->metrics, "foxtailgap_peer_bytes_sent_total",
              packed->len);
    }
  g_byte_array_free (packed, TRUE);
}

/* The member that has folded the most records, if more than this host.  */
struct most_advanced
{
  const struct peers_task *task;
  uint64_t offset;
  struct peer *peer;
};

static void
find_most_advanced (void *ctx, const struct mem_host *host)
{
  struct most_advanced *most_advanced = ctx;
  struct peer *peer
      = g_hash_table_lookup (most_advanced->task->peers, host->name);

  if (host->next_log_offset <= most_advanced->offset || peer == NULL
      || peer->connection == NULL)
    return;
  most_advanced->offset = host->next_log_offset;
  most_advanced->peer = peer;
}

static void
request_snapshot_if_behind (struct peers_task *task, int64_t now_ms)
{
  struct most_advanced most_advanced
      = { .task = task, .offset = task->log.next_offset };

  if (!ps_mark_request_if_due (task->snapshots, &task->log, now_ms))
    return;
  mem_each_member (task->members, find_most_advanced, &most_advanced);
  if (most_advanced.peer != NULL)
    ps_send_request (task->snapshots, most_advanced.peer->connection,
                     task->log.next_offset);
}

/* A check of the members that is late by more than a heartbeat shows that this
   process was paused.  */
static void
note_pause (struct peers_task *task, int64_t now_ms)
{
  int64_t interval_ms = task->daemon->settings->heartbeat_ms;
  int64_t late_ms
      = now_ms - task->last_check_ms - interval_ms / CHECKS_PER_HEARTBEAT;

  task->last_check_ms = now_ms;
  if (late_ms <= interval_ms)
    return;
  lg_warning (PART, "This process was paused.", "late_ms", lg_number (late_ms),
              NULL);
  mem_exclude_pause (task->members, late_ms);
}

/* The members are checked more often than heartbeats are sent, so that the
   silence of a host shows as soon as its timeout has passed.  */
static void
on_members_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct peers_task *task = watcher->data;
  int64_t interval_ms = task->daemon->settings->heartbeat_ms;
  int64_t now_ms = clk_monotonic_ms (NULL);
  int64_t check_ms = interval_ms / CHECKS_PER_HEARTBEAT;
  bool is_due = now_ms - task->last_heartbeat_ms >= interval_ms - check_ms / 2;
  bool changed;

  (void)loop;
  (void)events;
  note_pause (task, now_ms);
  if (is_due)
    {
      task->last_heartbeat_ms = now_ms;
      send_heartbeats (task, now_ms);
    }
  changed = mem_update (task->members, now_ms);
  if (is_due || changed)
    publish_members (task, changed);
  if (is_due)
    request_snapshot_if_behind (task, now_ms);
}

/* --- Incoming connections --- */

static void
on_incoming_closed (void *ctx, struct fm_connection *connection)
{
  struct peers_task *task = ctx;

  ps_on_closed (task->snapshots, connection);
  g_hash_table_remove (task->incoming, connection);
}

static void
accept_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct peers_task *task = watcher->data;
  struct fm_callbacks callbacks
      = { .frame = on_frame, .closed = on_incoming_closed, .ctx = task };
  int fd = accept4 (task->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)events;
  if (fd < 0)
    return;
  if (g_hash_table_size (task->incoming) >= INCOMING_CONNECTION_LIMIT)
    {
      close (fd);
      return;
    }
  g_hash_table_add (task->incoming, fm_adopt_socket (loop, fd, &callbacks));
}

/* --- The list of hosts --- */

static void
free_peer (gpointer data)
{
  struct peer *peer = data;

  fm_free (peer->connection);
  g_free (peer->name);
  g_free (peer->address);
  g_free (peer);
}

static void
add_or_update_peer (struct peers_task *task, const struct hl_host *host)
{
  struct peer *peer = g_hash_table_lookup (task->peers, host->name);

  if (peer != NULL
      && (strcmp (peer->address, host->address) != 0
          || peer->port != host->peer_port))
    {
      g_hash_table_remove (task->peers, host->name);
      peer = NULL;
    }
  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->task = task;
      peer->name = g_strdup (host->name);
      peer->address = g_strdup (host->address);
      peer->port = host->peer_port;
      g_hash_table_insert (task->peers, peer->name, peer);
    }
  peer->listed = true;
}

static gboolean
is_unlisted (gpointer key, gpointer value, gpointer ctx)
{
  (void)key;
  (void)ctx;
  return !((struct peer *)value)->listed;
}

static void
on_hosts (struct peers_task *task, const struct hl_list *hosts)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;

  g_hash_table_iter_init (&iter, task->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct peer *)value)->listed = false;
  for (i = 0; i < hosts->host_count; i++)
    if (hosts->hosts[i].kind == HL_ENTRY
        && strcmp (hosts->hosts[i].name, task->daemon->settings->host) != 0)
      add_or_update_peer (task, &hosts->hosts[i]);
  g_hash_table_foreach_remove (task->peers, is_unlisted, NULL);
}

/* --- Messages --- */

static void
on_message (void *ctx, int kind, void *body)
{
  struct peers_task *task = ctx;

  switch ((enum msg_kind)kind)
    {
    case MSG_HOSTS:
      on_hosts (task, body);
      break;
    case MSG_CONFIG:
      task->revision = ((struct msg_config *)body)->revision;
      break;
    case MSG_LOG_STATUS:
      task->log = *(struct msg_log_status *)body;
      break;
    case MSG_TERM:
      task->term = ((struct msg_term *)body)->term;
      break;
    case MSG_SNAPSHOT:
      ps_send_snapshot (task->snapshots, body);
      break;
    case MSG_LOAD:
      task->in_flight = ((struct msg_load *)body)->in_flight;
      task->queued = ((struct msg_load *)body)->queued;
      break;
    case MSG_SHUTDOWN:
      task->stopping = true;
      break;
    default:
      break;
    }
  msg_free (kind, body);
}

/* --- Life cycle --- */

static void
free_incoming (gpointer data)
{
  fm_free (data);
}

static void
subscribe (struct peers_task *task)
{
  struct msg_subscribe *subscribe = g_new0 (struct msg_subscribe, 1);

  subscribe->box = task->box;
  subscribe->terms = true;
  subscribe->configs = true;
  subscribe->log = true;
  mb_post (task->daemon->state, MSG_SUBSCRIBE, subscribe);
}

uint16_t
peers_port (const struct peers_task *task)
{
  return task->port;
}

struct peers_task *
peers_create (struct daemon *daemon)
{
  const struct settings *settings = daemon->settings;
  struct peers_task *task = g_new0 (struct peers_task, 1);
  uint32_t interval_ms = settings->heartbeat_ms;
  double check_s = interval_ms / 1000.0 / CHECKS_PER_HEARTBEAT;
  struct mem_params params = { .self = settings->host,
                               .timeout_ms = interval_ms * TIMEOUT_HEARTBEATS,
                               .settle_ms = interval_ms * SETTLE_HEARTBEATS };

  task->daemon = daemon;
  task->port = settings->peers.port;
  task->listen_fd = fm_listen (settings->peers.address, &task->port);
  if (task->listen_fd < 0)
    {
      lg_error (PART,
                "Cannot listen on the peers' port; the daemon does not start.",
                "address", settings->peers.address, "port",
                lg_number (task->port), NULL);
      g_free (task);
      return NULL;
    }
  task->incarnation = (uint64_t)g_random_int () << 32 | g_random_int ();
  task->members = mem_create (&params);
  task->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_peer);
  task->incoming = g_hash_table_new_full (g_direct_hash, g_direct_equal,
                                          free_incoming, NULL);
  task->box = mb_create (daemon->loop, on_message, msg_free, task);
  daemon->peers = task->box;
  task->snapshots = ps_create (daemon, task->box);
  ev_io_init (&task->accept_watcher, accept_connection, task->listen_fd,
              EV_READ);
  task->accept_watcher.data = task;
  ev_io_start (daemon->loop, &task->accept_watcher);
  task->last_heartbeat_ms = clk_monotonic_ms (NULL);
  task->last_check_ms = task->last_heartbeat_ms;
  ev_timer_init (&task->members_timer, on_members_timer, check_s, check_s);
  task->members_timer.data = task;
  ev_timer_start (daemon->loop, &task->members_timer);
  subscribe (task);
  return task;
}

void
peers_free (struct peers_task *task)
{
  if (task == NULL)
    return;
  ev_timer_stop (task->daemon->loop, &task->members_timer);
  ev_io_stop (task->daemon->loop, &task->accept_watcher);
  close (task->listen_fd);
  g_hash_table_destroy (task->peers);
  g_hash_table_destroy (task->incoming);
  mem_free (task->members);
  ps_free (task->snapshots);
  mb_free (task->box);
  g_free (task);
}
