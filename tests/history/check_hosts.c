/* Checks of leases on workers, and of upstreams that are leaving.  */

#include "checks.h"

#include <string.h>

enum
{
  ACCELERATOR_LIMIT = 63 /* non-negative bits of an int64_t mask */
};

/* --- Leases --- */

/* The task that holds each accelerator of a worker: "job/attempt/task", or
   NULL.  */
struct holders
{
  char *names[ACCELERATOR_LIMIT];
};

static void
holders_free (gpointer data)
{
  struct holders *holders = data;
  int i;

  for (i = 0; i < ACCELERATOR_LIMIT; i++)
    g_free (holders->names[i]);
  g_free (holders);
}

static struct holders *
find_or_add_holders (GHashTable *workers, const char *name)
{
  struct holders *holders = g_hash_table_lookup (workers, name);

  if (holders != NULL)
    return holders;
  holders = g_new0 (struct holders, 1);
  g_hash_table_insert (workers, g_strdup (name), holders);
  return holders;
}

static char *
task_name (const struct hi_event *event)
{
  const char *job = hi_text (event, "job");

  return g_strdup_printf ("%s/%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT,
                          job == NULL ? "" : job, hi_number (event, "attempt"),
                          hi_number (event, "task"));
}

static void
record_lease (struct holders *holders, const struct hi_event *event,
              struct re_report *report)
{
  int64_t mask = hi_number (event, "accelerators");
  char *name = task_name (event);
  int i;

  re_count_checked (report, RE_CHECK_LEASES);
  for (i = 0; i < ACCELERATOR_LIMIT; i++)
    {
      if ((mask >> i & 1) == 0)
        continue;
      if (holders->names[i] != NULL)
        re_add_violation (report, RE_CHECK_LEASES,
                          "accelerator %d of %s is leased to %s and to %s", i,
                          event->who, holders->names[i], name);
      g_free (holders->names[i]);
      holders->names[i] = g_strdup (name);
    }
  g_free (name);
}

static void
release_accelerators (struct holders *holders, const struct hi_event *event)
{
  char *name = task_name (event);
  int i;

  for (i = 0; i < ACCELERATOR_LIMIT; i++)
    if (g_strcmp0 (holders->names[i], name) == 0)
      g_clear_pointer (&holders->names[i], g_free);
  g_free (name);
}

static void
apply_lease_event (GHashTable *workers, const struct hi_event *event,
                   struct re_report *report)
{
  static const char *const end_kinds[] = { "stop", "lapse", "end", NULL };

  if (strcmp (event->what, "down") == 0 || strcmp (event->what, "up") == 0)
    g_hash_table_remove (workers, event->who);
  else if (strcmp (event->what, "lease") == 0)
    record_lease (find_or_add_holders (workers, event->who), event, report);
  else if (g_strv_contains (end_kinds, event->what))
    release_accelerators (find_or_add_holders (workers, event->who), event);
}

void
ch_check_leases (const struct hi_history *history, struct re_report *report)
{
  GHashTable *workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, holders_free);
  guint i;

  for (i = 0; i < history->events->len; i++)
    apply_lease_event (workers, hi_get (history, i), report);
  g_hash_table_destroy (workers);
}

/* --- Leaving --- */

/* Records the time from which the list shows a host as leaving or removed.  */
static void
apply_host_state (GHashTable *leaving, const struct hi_event *event)
{
  const char *name = hi_text (event, "name");
  const char *state = hi_text (event, "state");
  int64_t *since_ms;

  if (name == NULL || state == NULL)
    return;
  if (strcmp (state, "live") == 0)
    g_hash_table_remove (leaving, name);
  else if (!g_hash_table_contains (leaving, name))
    {
      since_ms = g_new (int64_t, 1);
      *since_ms = event->t_ms;
      g_hash_table_insert (leaving, g_strdup (name), since_ms);
    }
}

static void
check_run_when_leaving (GHashTable *leaving, const struct hi_event *event,
                        struct re_report *report, uint32_t bound_ms)
{
  const int64_t *since_ms = g_hash_table_lookup (leaving, event->who);
  const char *request = hi_text (event, "request");

  if (since_ms == NULL)
    return;
  re_count_checked (report, RE_CHECK_LEAVING);
  if (event->t_ms - *since_ms > (int64_t)bound_ms)
    re_add_violation (report, RE_CHECK_LEAVING,
                      "%s ran request %s %" G_GINT64_FORMAT
                      " ms after the list had shown it as leaving",
                      event->who, request == NULL ? "" : request,
                      event->t_ms - *since_ms);
}

void
ch_check_leaving_upstreams (const struct hi_history *history,
                            struct re_report *report, uint32_t bound_ms)
{
  GHashTable *leaving
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  const struct hi_event *event;
  guint i;

  for (i = 0; i < history->events->len; i++)
    {
      event = hi_get (history, i);
      if (strcmp (event->who, "hosts") == 0
          && strcmp (event->what, "state") == 0)
        {
          apply_host_state (leaving, event);
          if (g_strcmp0 (hi_text (event, "state"), "leaving") == 0)
            re_count_checked (report, RE_CHECK_LEAVING);
        }
      else if (strcmp (event->what, "run") == 0)
        check_run_when_leaving (leaving, event, report, bound_ms);
    }
  g_hash_table_destroy (leaving);
}
