/* Burn rates of service-level objectives.  */

#include "burn/burn.h"

#include <glib.h>
#include <string.h>

enum
{
  MINUTE_MS = 60 * 1000,
  BUCKET_COUNT = 360, /* of one minute each, as long as the longest window */
  PERMILLE_ONE = 1000
};

/* The burn rates at which the error budget of a month is used up in two days
   (fast) or in five days (slow).  */
static const double FAST_RATE = 14.4;
static const double SLOW_RATE = 6.0;

static const uint32_t window_minutes[BN_WINDOWS] = { 5, 30, 60, 360 };

struct bucket
{
  uint32_t good;
  uint32_t bad;
};

struct objective_meter
{
  char *team;
  char *kind;
  uint32_t latency_ms;
  uint32_t success_permille;
  bool configured;
  int64_t newest_minute;
  struct bucket buckets[BUCKET_COUNT]; /* by minute modulo BUCKET_COUNT */
};

struct bn_meters
{
  GTree *meters; /* "TEAM/KIND" -> struct objective_meter */
};

/* --- Meters --- */

/* Makes MINUTE the newest minute of the meter, unless it is older.  The
   buckets that are used again for the minutes between are cleared.  */
static void
advance_to_minute (struct objective_meter *objective_meter, int64_t minute)
{
  int64_t m = objective_meter->newest_minute + 1;

  if (minute <= objective_meter->newest_minute)
    return;
  if (minute - m >= BUCKET_COUNT)
    m = minute - BUCKET_COUNT + 1;
  for (; m <= minute; m++)
    memset (&objective_meter->buckets[m % BUCKET_COUNT], 0,
            sizeof objective_meter->buckets[0]);
  objective_meter->newest_minute = minute;
}

static void
count_end (struct objective_meter *objective_meter, int64_t minute, bool good)
{
  struct bucket *bucket;

  advance_to_minute (objective_meter, minute);
  if (minute <= objective_meter->newest_minute - BUCKET_COUNT)
    return; /* older than the longest window */
  bucket = &objective_meter->buckets[minute % BUCKET_COUNT];
  if (good)
    bucket->good++;
  else
    bucket->bad++;
}

static struct bn_counts
sum_window (const struct objective_meter *objective_meter, int64_t now_minute,
            uint32_t minutes)
{
  struct bn_counts counts = { 0, 0 };
  int64_t oldest = MAX (now_minute - minutes + 1,
                        objective_meter->newest_minute - BUCKET_COUNT + 1);
  int64_t m;

  for (m = MAX (oldest, 0);
       m <= MIN (now_minute, objective_meter->newest_minute); m++)
    {
      counts.good += objective_meter->buckets[m % BUCKET_COUNT].good;
      counts.bad += objective_meter->buckets[m % BUCKET_COUNT].bad;
    }
  return counts;
}

static void
free_meter (gpointer data)
{
  struct objective_meter *objective_meter = data;

  g_free (objective_meter->team);
  g_free (objective_meter->kind);
  g_free (objective_meter);
}

/* --- Objectives --- */

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer ctx)
{
  (void)ctx;
  return strcmp (a, b);
}

struct bn_meters *
bn_create (void)
{
  struct bn_meters *meters = g_new0 (struct bn_meters, 1);

  meters->meters = g_tree_new_full (compare_names, NULL, g_free, free_meter);
  return meters;
}

void
bn_free (struct bn_meters *meters)
{
  if (meters == NULL)
    return;
  g_tree_destroy (meters->meters);
  g_free (meters);
}

static gboolean
unconfigure (gpointer key, gpointer value, gpointer ctx)
{
  (void)key;
  (void)ctx;
  ((struct objective_meter *)value)->configured = false;
  return FALSE;
}

static gboolean
collect_unconfigured (gpointer key, gpointer value, gpointer ctx)
{
  if (!((struct objective_meter *)value)->configured)
    g_ptr_array_add (ctx, key);
  return FALSE;
}

static void
configure_meter (struct bn_meters *meters,
                 const struct bn_objective *objective)
{
  char *key = g_strdup_printf ("%s/%s", objective->team, objective->kind);
  struct objective_meter *objective_meter
      = g_tree_lookup (meters->meters, key);

  if (objective_meter != NULL)
    g_free (key);
  else
    {
      objective_meter = g_new0 (struct objective_meter, 1);
      objective_meter->team = g_strdup (objective->team);
      objective_meter->kind = g_strdup (objective->kind);
      g_tree_insert (meters->meters, key, objective_meter);
    }
  objective_meter->latency_ms = objective->latency_ms;
  objective_meter->success_permille = objective->success_permille;
  objective_meter->configured = true;
}

void
bn_configure (struct bn_meters *meters, const struct bn_objective *objectives,
              size_t count)
{
  GPtrArray *gone = g_ptr_array_new ();
  size_t i;

  g_tree_foreach (meters->meters, unconfigure, NULL);
  for (i = 0; i < count; i++)
    configure_meter (meters, &objectives[i]);
  g_tree_foreach (meters->meters, collect_unconfigured, gone);
  for (i = 0; i < gone->len; i++)
    g_tree_remove (meters->meters, gone->pdata[i]);
  g_ptr_array_free (gone, TRUE);
}

void
bn_count_outcome (struct bn_meters *meters, const char *team, const char *kind,
                  int64_t unix_ms, uint64_t latency_ms, bool ok)
{
  char *key = g_strdup_printf ("%s/%s", team, kind);
  struct objective_meter *objective_meter
      = g_tree_lookup (meters->meters, key);

  g_free (key);
  if (objective_meter != NULL && unix_ms >= 0)
    count_end (objective_meter, unix_ms / MINUTE_MS,
               ok && latency_ms <= objective_meter->latency_ms);
}

struct visit
{
  int64_t now_minute;
  void (*callback) (void *ctx, const struct bn_objective *objective,
                    const struct bn_counts counts[BN_WINDOWS]);
  void *ctx;
};

static gboolean
visit_meter (gpointer key, gpointer value, gpointer ctx)
{
  const struct objective_meter *objective_meter = value;
  const struct visit *visit = ctx;
  struct bn_objective objective
      = { .team = objective_meter->team,
          .kind = objective_meter->kind,
          .latency_ms = objective_meter->latency_ms,
          .success_permille = objective_meter->success_permille };
  struct bn_counts counts[BN_WINDOWS];
  size_t i;

  (void)key;
  for (i = 0; i < BN_WINDOWS; i++)
    counts[i]
        = sum_window (objective_meter, visit->now_minute, window_minutes[i]);
  visit->callback (visit->ctx, &objective, counts);
  return FALSE;
}

void
bn_each_objective (
    const struct bn_meters *meters, int64_t now_unix_ms,
    void (*callback) (void *ctx, const struct bn_objective *objective,
                      const struct bn_counts counts[BN_WINDOWS]),
    void *ctx)
{
  struct visit visit = { .now_minute = now_unix_ms / MINUTE_MS,
                         .callback = callback,
                         .ctx = ctx };

  g_tree_foreach (meters->meters, visit_meter, &visit);
}

/* --- Rates --- */

double
bn_rate (const struct bn_counts *counts, uint32_t success_permille)
{
  double all = (double)counts->good + (double)counts->bad;
  double budget = (double)(PERMILLE_ONE - success_permille) / PERMILLE_ONE;

  if (all == 0.0 || budget <= 0.0)
    return 0.0;
  return (double)counts->bad / all / budget;
}

enum bn_alarm
bn_alarm (const struct bn_counts counts[BN_WINDOWS], uint32_t success_permille)
{
  double rates[BN_WINDOWS];
  size_t i;

  for (i = 0; i < BN_WINDOWS; i++)
    rates[i] = bn_rate (&counts[i], success_permille);
  if (rates[BN_WINDOW_1_H] >= FAST_RATE && rates[BN_WINDOW_5_MIN] >= FAST_RATE)
    return BN_ALARM_FAST;
  if (rates[BN_WINDOW_6_H] >= SLOW_RATE
      && rates[BN_WINDOW_30_MIN] >= SLOW_RATE)
    return BN_ALARM_SLOW;
  return BN_ALARM_NONE;
}

uint32_t
bn_window_minutes (enum bn_window window)
{
  return window_minutes[window];
}

const char *
bn_alarm_name (enum bn_alarm alarm)
{
  static const char *const names[] = { "-", "slow", "fast" };

  return names[alarm];
}
