/* A host list that shows each change only after a delay.  */

#include "host_table.h"

#include <glib.h>

struct ht_table
{
  GTree *visible_hosts;   /* char * (name) to json_t * */
  GQueue pending_changes; /* struct change *, oldest first */
  uint64_t version;
  ht_visible on_visible;
  void *ctx;
};

/* A change that is not visible yet.  */
struct change
{
  int64_t time_ms;
  char *name;
  json_t *host; /* NULL: removed */
};

static int
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return g_strcmp0 (a, b);
}

static void
host_free (gpointer host)
{
  json_decref (host);
}

static void
change_free (gpointer data)
{
  struct change *change = data;

  g_free (change->name);
  json_decref (change->host);
  g_free (change);
}

struct ht_table *
ht_create (ht_visible visible, void *ctx)
{
  struct ht_table *table = g_new0 (struct ht_table, 1);

  table->visible_hosts
      = g_tree_new_full (compare_names, NULL, g_free, host_free);
  g_queue_init (&table->pending_changes);
  table->on_visible = visible;
  table->ctx = ctx;
  return table;
}

void
ht_free (struct ht_table *table)
{
  if (table == NULL)
    return;
  g_queue_clear_full (&table->pending_changes, change_free);
  g_tree_unref (table->visible_hosts);
  g_free (table);
}

void
ht_add_change (struct ht_table *table, const char *name, json_t *host,
               int64_t now_ms)
{
  struct change *change = g_new0 (struct change, 1);

  change->time_ms = now_ms;
  change->name = g_strdup (name);
  change->host = host;
  g_queue_push_tail (&table->pending_changes, change);
}

static void
apply_change (struct ht_table *table, const struct change *change)
{
  const char *state = "removed";

  table->version++;
  if (change->host == NULL)
    g_tree_remove (table->visible_hosts, change->name);
  else
    {
      g_tree_replace (table->visible_hosts, g_strdup (change->name),
                      json_incref (change->host));
      state = json_string_value (json_object_get (change->host, "state"));
    }
  table->on_visible (table->ctx, change->name, state);
}

void
ht_apply_due_changes (struct ht_table *table, uint32_t lag_ms, int64_t now_ms)
{
  struct change *change = g_queue_peek_head (&table->pending_changes);

  while (change != NULL && change->time_ms + (int64_t)lag_ms <= now_ms)
    {
      g_queue_pop_head (&table->pending_changes);
      apply_change (table, change);
      change_free (change);
      change = g_queue_peek_head (&table->pending_changes);
    }
}

static gboolean
append_host (gpointer name, gpointer host, gpointer hosts)
{
  (void)name;
  json_array_append (hosts, host);
  return FALSE;
}

json_t *
ht_list_json (const struct ht_table *table)
{
  json_t *hosts = json_array ();

  g_tree_foreach (table->visible_hosts, append_host, hosts);
  return json_pack ("{s:I,s:o}", "version", (json_int_t)table->version,
                    "hosts", hosts);
}
