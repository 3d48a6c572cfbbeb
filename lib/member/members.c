/* Membership of the entry hosts.  */

#include "member/members.h"

#include <glib.h>
#include <string.h>

struct host
{
  char *name;
  char *address;
  uint16_t port;
  uint64_t incarnation;
  uint64_t revision;
  uint64_t offset;
  uint64_t term;
  uint32_t in_flight;
  int64_t heard_ms;
  int64_t heard_since_ms; /* start of the time in which heartbeats arrived
                             without a gap */
  bool hears_this_host;
  bool leaving;
  bool member;
};

struct mem_table
{
  char *self;
  struct mem_params params;
  GTree *hosts; /* name -> struct host */
};

static void
free_host (gpointer data)
{
  struct host *host = data;

  g_free (host->name);
  g_free (host->address);
  g_free (host);
}

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer ctx)
{
  (void)ctx;
  return strcmp (a, b);
}

struct mem_table *
mem_create (const struct mem_params *params)
{
  struct mem_table *table = g_new0 (struct mem_table, 1);

  table->self = g_strdup (params->self);
  table->params = *params;
  table->hosts = g_tree_new_full (compare_names, NULL, NULL, free_host);
  return table;
}

void
mem_free (struct mem_table *table)
{
  if (table == NULL)
    return;
  g_tree_destroy (table->hosts);
  g_free (table->self);
  g_free (table);
}

static bool
heartbeat_names_self (const struct mem_table *table,
                      const Ft__Heartbeat *heartbeat)
{
  size_t i;

  for (i = 0; i < heartbeat->n_heard; i++)
    if (strcmp (heartbeat->heard[i], table->self) == 0)
      return true;
  return false;
}

static bool
is_heard (const struct mem_table *table, const struct host *host,
          int64_t now_ms)
{
  return now_ms - host->heard_ms <= table->params.timeout_ms;
}

static struct host *
find_or_add (struct mem_table *table, const char *name, int64_t now_ms)
{
  struct host *host = g_tree_lookup (table->hosts, name);

  if (host != NULL)
    return host;
  host = g_new0 (struct host, 1);
  host->name = g_strdup (name);
  host->heard_ms = now_ms;
  host->heard_since_ms = now_ms;
  g_tree_insert (table->hosts, host->name, host);
  return host;
}

void
mem_heartbeat (struct mem_table *table, const Ft__Heartbeat *heartbeat,
               int64_t now_ms)
{
  struct host *host;

  if (strcmp (heartbeat->host, table->self) == 0)
    return;
  host = find_or_add (table, heartbeat->host, now_ms);
  if (!is_heard (table, host, now_ms)
      || host->incarnation != heartbeat->incarnation)
    host->heard_since_ms = now_ms;
  host->heard_ms = now_ms;
  host->incarnation = heartbeat->incarnation;
  g_free (host->address);
  host->address = g_strdup (heartbeat->address);
  host->port = (uint16_t)heartbeat->port;
  host->revision = heartbeat->revision;
  host->offset = heartbeat->offset;
  host->term = heartbeat->term;
  host->in_flight = heartbeat->in_flight;
  host->leaving = heartbeat->leaving;
  host->hears_this_host = heartbeat_names_self (table, heartbeat);
}

static gboolean
extend_host (gpointer key, gpointer value, gpointer ctx)
{
  struct host *host = value;

  (void)key;
  host->heard_ms += *(int64_t *)ctx;
  return FALSE;
}

void
mem_exclude_pause (struct mem_table *table, int64_t gap_ms)
{
  g_tree_foreach (table->hosts, extend_host, &gap_ms);
}

struct update
{
  const struct mem_table *table;
  int64_t now_ms;
  bool changed;
};

static gboolean
update_host (gpointer key, gpointer value, gpointer ctx)
{
  struct host *host = value;
  struct update *update = ctx;
  const struct mem_params *params = &update->table->params;
  bool settled = update->now_ms - host->heard_since_ms >= params->settle_ms;
  bool alive = is_heard (update->table, host, update->now_ms)
               && host->hears_this_host && !host->leaving;
  bool member = alive && (settled || host->member);

  (void)key;
  if (member != host->member)
    update->changed = true;
  host->member = member;
  return FALSE;
}

bool
mem_update (struct mem_table *table, int64_t now_ms)
{
  struct update update = { .table = table, .now_ms = now_ms };

  g_tree_foreach (table->hosts, update_host, &update);
  return update.changed;
}

struct visit
{
  void (*callback) (void *ctx, const struct mem_host *host);
  void *ctx;
};

static gboolean
visit_member (gpointer key, gpointer value, gpointer ctx)
{
  const struct host *host = value;
  const struct visit *visit = ctx;
  struct mem_host shown = { .name = host->name,
                            .address = host->address,
                            .port = host->port,
                            .revision = host->revision,
                            .next_log_offset = host->offset,
                            .in_flight = host->in_flight,
                            .planner_term = host->term };

  (void)key;
  if (host->member)
    visit->callback (visit->ctx, &shown);
  return FALSE;
}

void
mem_each_member (const struct mem_table *table,
                 void (*callback) (void *ctx, const struct mem_host *host),
                 void *ctx)
{
  struct visit visit = { .callback = callback, .ctx = ctx };

  g_tree_foreach (table->hosts, visit_member, &visit);
}

bool
mem_is_member (const struct mem_table *table, const char *name)
{
  const struct host *host = g_tree_lookup (table->hosts, name);

  return host != NULL && host->member;
}

struct collect
{
  const struct mem_table *table;
  int64_t now_ms;
  GPtrArray *names;
};

static gboolean
collect_heard (gpointer key, gpointer value, gpointer ctx)
{
  const struct host *host = value;
  struct collect *collect = ctx;

  (void)key;
  if (is_heard (collect->table, host, collect->now_ms))
    g_ptr_array_add (collect->names, host->name);
  return FALSE;
}

char **
mem_heard_hosts (const struct mem_table *table, int64_t now_ms, size_t *count)
{
  struct collect collect
      = { .table = table, .now_ms = now_ms, .names = g_ptr_array_new () };

  g_tree_foreach (table->hosts, collect_heard, &collect);
  *count = collect.names->len;
  return (char **)g_ptr_array_free (collect.names, FALSE);
}
