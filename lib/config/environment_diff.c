/* Compares two environment documents.  */

#include "config/environment_diff.h"

#include <glib.h>
#include <string.h>

struct number_field
{
  const char *field;
  size_t offset_bytes;
};

#define NUMBER_FIELD(structure, member)                                       \
  {                                                                           \
#member, offsetof(struct structure, member)                               \
  }

static const struct number_field team_numbers[] = {
  NUMBER_FIELD (env_team, weight),
  NUMBER_FIELD (env_team, request_slots),
  NUMBER_FIELD (env_team, quota.accelerators),
  NUMBER_FIELD (env_team, quota.cpus_milli),
  NUMBER_FIELD (env_team, quota.memory_mb),
};

static const struct number_field service_numbers[] = {
  NUMBER_FIELD (env_service, slots),
  NUMBER_FIELD (env_service, connections),
  NUMBER_FIELD (env_service, queue_limit),
  NUMBER_FIELD (env_service, deadline_ms),
  NUMBER_FIELD (env_service, deadline_max_ms),
  NUMBER_FIELD (env_service, body_limit_bytes),
  NUMBER_FIELD (env_service, retry_percent),
};

static const struct number_field objective_numbers[] = {
  NUMBER_FIELD (env_objective, latency_ms),
  NUMBER_FIELD (env_objective, success_permille),
};

static const struct number_field rules_numbers[] = {
  NUMBER_FIELD (env_rules, checkpoint_grace_ms),
  NUMBER_FIELD (env_rules, attempt_limit),
  NUMBER_FIELD (env_rules, quarantine_failures),
  NUMBER_FIELD (env_rules, quarantine_ms),
  NUMBER_FIELD (env_rules, gang_start_timeout_ms),
  NUMBER_FIELD (env_rules, job_queue_limit),
};

/* --- Collecting changes --- */

static void
add_change (GArray *changes, const char *item, const char *field,
            const char *before, const char *after)
{
  struct ed_change change = { .item = g_strdup (item),
                              .field = g_strdup (field),
                              .before = g_strdup (before),
                              .after = g_strdup (after) };

  g_array_append_val (changes, change);
}

static uint32_t
read_number (const void *structure, const struct number_field *number_field)
{
  uint32_t value;

  memcpy (&value, (const char *)structure + number_field->offset_bytes,
          sizeof value);
  return value;
}

static void
diff_numbers (GArray *changes, const char *item,
              const struct number_field *numbers, size_t count,
              const void *before, const void *after)
{
  char old_text[16];
  char new_text[16];
  uint32_t old_value;
  uint32_t new_value;

  for (size_t i = 0; i < count; i++)
    {
      old_value = read_number (before, &numbers[i]);
      new_value = read_number (after, &numbers[i]);
      if (old_value == new_value)
        continue;
      g_snprintf (old_text, sizeof old_text, "%u", old_value);
      g_snprintf (new_text, sizeof new_text, "%u", new_value);
      add_change (changes, item, numbers[i].field, old_text, new_text);
    }
}

/* --- Guarantees --- */

static const char *
span_text (enum place_span span)
{
  switch (span)
    {
    case PLACE_SPAN_WORKER:
      return "on one worker";
    case PLACE_SPAN_RACK:
      return "in one rack";
    case PLACE_SPAN_DATA_CENTRE:
      return "in one data centre";
    default:
      return "anywhere";
    }
}

static char *
shape_text (const struct env_guarantee *guarantee)
{
  return g_strdup_printf (
      "guarantee of %u task%s with %u accelerators, %u cpus_milli, %u "
      "memory_mb %s",
      guarantee->tasks, guarantee->tasks == 1 ? "" : "s",
      guarantee->accelerators, guarantee->cpus_milli, guarantee->memory_mb,
      span_text (guarantee->span));
}

/* Sums the counts of equal shapes; SHAPES keeps them in the order in which
   they first appear.  */
static void
count_equal_shapes (GHashTable *counts, GPtrArray *shapes,
                    const struct env_team *team)
{
  char *shape;
  uint32_t count;

  for (uint32_t i = 0; i < team->guarantees_count; i++)
    {
      shape = shape_text (&team->guarantees[i]);
      count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, shape));
      count += team->guarantees[i].count;
      if (!g_ptr_array_find_with_equal_func (shapes, shape, g_str_equal, NULL))
        g_ptr_array_add (shapes, g_strdup (shape));
      g_hash_table_replace (counts, shape, GUINT_TO_POINTER (count));
    }
}

static void
diff_guarantees (GArray *changes, const char *item,
                 const struct env_team *before, const struct env_team *after)
{
  GHashTable *old_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *new_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GPtrArray *shapes = g_ptr_array_new_with_free_func (g_free);
  char old_text[16];
  char new_text[16];
  uint32_t old_count;
  uint32_t new_count;

  count_equal_shapes (old_counts, shapes, before);
  count_equal_shapes (new_counts, shapes, after);
  for (guint i = 0; i < shapes->len; i++)
    {
      old_count = GPOINTER_TO_UINT (
          g_hash_table_lookup (old_counts, shapes->pdata[i]));
      new_count = GPOINTER_TO_UINT (
          g_hash_table_lookup (new_counts, shapes->pdata[i]));
      if (old_count == new_count)
        continue;
      g_snprintf (old_text, sizeof old_text, "%u", old_count);
      g_snprintf (new_text, sizeof new_text, "%u", new_count);
      add_change (changes, item, shapes->pdata[i], old_text, new_text);
    }
  g_ptr_array_unref (shapes);
  g_hash_table_destroy (old_counts);
  g_hash_table_destroy (new_counts);
}

/* --- Items --- */

static char *
team_summary (const struct env_team *team)
{
  struct ed_totals totals = ed_totals (team);

  return g_strdup_printf (
      "guaranteed %" G_GUINT64_FORMAT " accelerators, %" G_GUINT64_FORMAT
      " cpus_milli, %" G_GUINT64_FORMAT " memory_mb",
      totals.accelerators, totals.cpus_milli, totals.memory_mb);
}

static void
diff_team (GArray *changes, const char *item, const struct env_team *before,
           const struct env_team *after)
{
  diff_numbers (changes, item, team_numbers, G_N_ELEMENTS (team_numbers),
                before, after);
  if (before->may_borrow != after->may_borrow)
    add_change (changes, item, "may_borrow",
                before->may_borrow ? "true" : "false",
                after->may_borrow ? "true" : "false");
  diff_guarantees (changes, item, before, after);
}

static void
diff_teams (GArray *changes, const struct env_document *before,
            const struct env_document *after)
{
  const struct env_team *other;
  char *item;
  char *summary;

  for (uint32_t i = 0; i < before->teams_count; i++)
    {
      item = g_strdup_printf ("team %s", before->teams[i].name);
      other = env_team (after, before->teams[i].name);
      if (other != NULL)
        diff_team (changes, item, &before->teams[i], other);
      else
        {
          summary = team_summary (&before->teams[i]);
          add_change (changes, item, NULL, summary, NULL);
          g_free (summary);
        }
      g_free (item);
    }
  for (uint32_t i = 0; i < after->teams_count; i++)
    {
      if (env_team (before, after->teams[i].name) != NULL)
        continue;
      item = g_strdup_printf ("team %s", after->teams[i].name);
      summary = team_summary (&after->teams[i]);
      add_change (changes, item, NULL, NULL, summary);
      g_free (summary);
      g_free (item);
    }
}

static char *
service_summary (const struct env_service *service)
{
  return g_strdup_printf ("%u slots and %u connections of each instance, "
                          "deadline %u ms",
                          service->slots, service->connections,
                          service->deadline_ms);
}

static void
diff_services (GArray *changes, const struct env_document *before,
               const struct env_document *after)
{
  const struct env_service *other;
  char *item;
  char *summary;

  for (uint32_t i = 0; i < before->services_count; i++)
    {
      item = g_strdup_printf ("service %s", before->services[i].name);
      other = env_service (after, before->services[i].name);
      summary = service_summary (&before->services[i]);
      if (other == NULL)
        add_change (changes, item, NULL, summary, NULL);
      else
        diff_numbers (changes, item, service_numbers,
                      G_N_ELEMENTS (service_numbers), &before->services[i],
                      other);
      g_free (summary);
      g_free (item);
    }
  for (uint32_t i = 0; i < after->services_count; i++)
    {
      if (env_service (before, after->services[i].name) != NULL)
        continue;
      item = g_strdup_printf ("service %s", after->services[i].name);
      summary = service_summary (&after->services[i]);
      add_change (changes, item, NULL, NULL, summary);
      g_free (summary);
      g_free (item);
    }
}

static const struct env_objective *
find_objective (const struct env_document *document,
                const struct env_objective *wanted)
{
  for (uint32_t i = 0; i < document->objectives_count; i++)
    if (strcmp (document->objectives[i].team, wanted->team) == 0
        && strcmp (document->objectives[i].kind, wanted->kind) == 0)
      return &document->objectives[i];
  return NULL;
}

static char *
objective_summary (const struct env_objective *objective)
{
  return g_strdup_printf ("%u permille within %u ms",
                          objective->success_permille, objective->latency_ms);
}

static void
diff_objectives (GArray *changes, const struct env_document *before,
                 const struct env_document *after)
{
  const struct env_objective *objective;
  const struct env_objective *other;
  char *item;
  char *summary;

  for (uint32_t i = 0; i < before->objectives_count; i++)
    {
      objective = &before->objectives[i];
      other = find_objective (after, objective);
      item = g_strdup_printf ("objective of %s for %s", objective->team,
                              objective->kind);
      summary = objective_summary (objective);
      if (other == NULL)
        add_change (changes, item, NULL, summary, NULL);
      else
        diff_numbers (changes, item, objective_numbers,
                      G_N_ELEMENTS (objective_numbers), objective, other);
      g_free (summary);
      g_free (item);
    }
  for (uint32_t i = 0; i < after->objectives_count; i++)
    {
      objective = &after->objectives[i];
      if (find_objective (before, objective) != NULL)
        continue;
      item = g_strdup_printf ("objective of %s for %s", objective->team,
                              objective->kind);
      summary = objective_summary (objective);
      add_change (changes, item, NULL, NULL, summary);
      g_free (summary);
      g_free (item);
    }
}

struct ed_changes
ed_diff (const struct env_document *before, const struct env_document *after)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct ed_change));
  struct ed_changes result;

  if (strcmp (before->environment, after->environment) != 0)
    add_change (changes, "environment", "name", before->environment,
                after->environment);
  diff_teams (changes, before, after);
  diff_services (changes, before, after);
  diff_objectives (changes, before, after);
  diff_numbers (changes, "rules", rules_numbers, G_N_ELEMENTS (rules_numbers),
                &before->rules, &after->rules);
  result.count = changes->len;
  result.items = (struct ed_change *)(void *)g_array_free (changes, FALSE);
  return result;
}

void
ed_clear (struct ed_changes *changes)
{
  for (size_t i = 0; i < changes->count; i++)
    {
      g_free (changes->items[i].item);
      g_free (changes->items[i].field);
      g_free (changes->items[i].before);
      g_free (changes->items[i].after);
    }
  g_free (changes->items);
  memset (changes, 0, sizeof *changes);
}

struct ed_totals
ed_totals (const struct env_team *team)
{
  struct ed_totals totals = { 0 };
  const struct env_guarantee *guarantee;
  uint64_t tasks;

  for (uint32_t i = 0; team != NULL && i < team->guarantees_count; i++)
    {
      guarantee = &team->guarantees[i];
      tasks = (uint64_t)guarantee->count * guarantee->tasks;
      totals.accelerators += tasks * guarantee->accelerators;
      totals.cpus_milli += tasks * guarantee->cpus_milli;
      totals.memory_mb += tasks * guarantee->memory_mb;
    }
  return totals;
}
