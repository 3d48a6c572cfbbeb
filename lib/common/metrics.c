/* Counters, gauges and latency histograms.  */

#include "common/metrics.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

static const uint32_t bucket_bounds_ms[]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000 };

enum
{
  BUCKET_COUNT = G_N_ELEMENTS (bucket_bounds_ms)
};

struct histogram
{
  int64_t cumulative_counts[BUCKET_COUNT]; /* observations up to each bound */
  int64_t count;
  int64_t sum_ms;
};

struct mt_registry
{
  GHashTable *values;     /* name -> int64_t */
  GHashTable *histograms; /* name -> struct histogram */
};

struct mt_registry *
mt_create (void)
{
  struct mt_registry *registry = g_new0 (struct mt_registry, 1);

  registry->values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  registry->histograms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return registry;
}

void
mt_free (struct mt_registry *registry)
{
  if (registry == NULL)
    return;
  g_hash_table_destroy (registry->values);
  g_hash_table_destroy (registry->histograms);
  g_free (registry);
}

static int64_t *
find_or_add_value (struct mt_registry *registry, const char *name)
{
  int64_t *value = g_hash_table_lookup (registry->values, name);

  if (value != NULL)
    return value;
  value = g_new0 (int64_t, 1);
  g_hash_table_insert (registry->values, g_strdup (name), value);
  return value;
}

void
mt_add (struct mt_registry *registry, const char *name, uint64_t amount)
{
  *find_or_add_value (registry, name) += (int64_t)amount;
}

void
mt_set (struct mt_registry *registry, const char *name, int64_t value)
{
  *find_or_add_value (registry, name) = value;
}

/* Makes the name of a series from a metric's name, which may have labels as in
   "name{a="b"}": appends SUFFIX to the part before the labels, and adds the
   label le=LABEL unless LABEL is NULL.  */
static char *
series_name (const char *name, const char *suffix, const char *label)
{
  const char *brace = strchr (name, '{');
  int base = brace == NULL ? (int)strlen (name) : (int)(brace - name);
  const char *labels = brace == NULL ? "" : brace + 1;
  int labels_size = (int)strlen (labels) - (brace == NULL ? 0 : 1);

  if (label == NULL && brace == NULL)
    return g_strdup_printf ("%.*s%s", base, name, suffix);
  if (label == NULL)
    return g_strdup_printf ("%.*s%s%s", base, name, suffix, brace);
  return g_strdup_printf ("%.*s%s{%.*s%sle=\"%s\"}", base, name, suffix,
                          labels_size, labels, labels_size > 0 ? "," : "",
                          label);
}

void
mt_observe (struct mt_registry *registry, const char *name, uint32_t value_ms)
{
  struct histogram *histogram
      = g_hash_table_lookup (registry->histograms, name);
  size_t i;

  if (histogram == NULL)
    {
      histogram = g_new0 (struct histogram, 1);
      g_hash_table_insert (registry->histograms, g_strdup (name), histogram);
    }
  for (i = 0; i < BUCKET_COUNT; i++)
    if (value_ms <= bucket_bounds_ms[i])
      histogram->cumulative_counts[i]++;
  histogram->count++;
  histogram->sum_ms += value_ms;
}

static void
set_series (struct mt_registry *registry, const char *name, const char *suffix,
            const char *label, int64_t value)
{
  char *full = series_name (name, suffix, label);

  mt_set (registry, full, value);
  g_free (full);
}

/* Sets the series that represent one histogram.  */
static void
expand_histogram (gpointer name, gpointer value, gpointer ctx)
{
  const struct histogram *histogram = value;
  char label[16];
  size_t i;

  for (i = 0; i < BUCKET_COUNT; i++)
    {
      g_snprintf (label, sizeof label, "%" PRIu32, bucket_bounds_ms[i]);
      set_series (ctx, name, "_bucket", label,
                  histogram->cumulative_counts[i]);
    }
  set_series (ctx, name, "_bucket", "+Inf", histogram->count);
  set_series (ctx, name, "_count", NULL, histogram->count);
  set_series (ctx, name, "_sum", NULL, histogram->sum_ms);
}

int64_t
mt_value (const struct mt_registry *registry, const char *name)
{
  const int64_t *value = g_hash_table_lookup (registry->values, name);

  return value == NULL ? 0 : *value;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

char *
mt_render (struct mt_registry *registry)
{
  GString *text = g_string_new (NULL);
  GList *names;
  GList *link;

  g_hash_table_foreach (registry->histograms, expand_histogram, registry);
  names = g_hash_table_get_keys (registry->values);
  names = g_list_sort (names, compare_names);
  for (link = names; link != NULL; link = link->next)
    g_string_append_printf (text, "%s %" PRId64 "\n", (char *)link->data,
                            mt_value (registry, link->data));
  g_list_free (names);
  return g_string_free (text, FALSE);
}
