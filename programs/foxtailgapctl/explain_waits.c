/* What a job waited for, by the planner's lines of it.  A line is written when
   a step has stood for 2 s, when the reason changes, and every 5 s; so a
   reason holds until the step's next line or its placement.  */

#include "explain_waits.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* After its last line a reason holds for as long as a line may be late.  */
  LAST_LINE_MAX_MS = 6000
};

/* A step that stands.  */
struct stand
{
  char *step;      /* the log field "step" */
  char *why;       /* of its last line */
  int64_t from_ms; /* until when its time has been counted */
};

static void
stand_free (void *data)
{
  struct stand *stand = data;

  g_free (stand->step);
  g_free (stand->why);
  g_free (stand);
}

static void
wait_free (void *data)
{
  struct ex_wait *wait = data;

  g_free (wait->why);
  g_free (wait->detail);
  g_free (wait);
}

struct ew_waits *
ew_create (void)
{
  struct ew_waits *waits = g_new0 (struct ew_waits, 1);

  waits->reasons = g_ptr_array_new_with_free_func (wait_free);
  waits->stands
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stand_free);
  return waits;
}

void
ew_free (struct ew_waits *waits)
{
  if (waits == NULL)
    return;
  g_ptr_array_free (waits->reasons, TRUE);
  g_hash_table_destroy (waits->stands);
  g_free (waits);
}

static struct ex_wait *
find_reason (struct ew_waits *waits, const char *why)
{
  struct ex_wait *wait;
  guint i;

  for (i = 0; i < waits->reasons->len; i++)
    {
      wait = g_ptr_array_index (waits->reasons, i);
      if (strcmp (wait->why, why) == 0)
        return wait;
    }
  wait = g_new0 (struct ex_wait, 1);
  wait->why = g_strdup (why);
  wait->detail = g_strdup ("");
  g_ptr_array_add (waits->reasons, wait);
  return wait;
}

static void
count_until (struct ew_waits *waits, struct stand *stand, int64_t until_ms)
{
  if (until_ms <= stand->from_ms)
    return;
  find_reason (waits, stand->why)->time_ms += until_ms - stand->from_ms;
  stand->from_ms = until_ms;
}

void
ew_add_line (struct ew_waits *waits, const struct lf_line *line)
{
  int64_t waited_ms = g_ascii_strtoll (lf_field (line, "waited_ms"), NULL, 10);
  char *key = g_strdup_printf ("%s.%s", lf_field (line, "occurrence"),
                               lf_field (line, "step"));
  struct stand *stand = g_hash_table_lookup (waits->stands, key);
  struct ex_wait *wait;

  if (stand == NULL)
    {
      stand = g_new0 (struct stand, 1);
      stand->step = g_strdup (lf_field (line, "step"));
      stand->why = g_strdup (lf_field (line, "why"));
      stand->from_ms = line->aligned_ms - MAX (waited_ms, 0);
      g_hash_table_insert (waits->stands, g_strdup (key), stand);
    }
  /* Also if it has run since its last line.  */
  stand->from_ms = MAX (stand->from_ms, line->aligned_ms - MAX (waited_ms, 0));
  count_until (waits, stand, line->aligned_ms);
  g_free (stand->why);
  stand->why = g_strdup (lf_field (line, "why"));
  wait = find_reason (waits, stand->why);
  g_free (wait->detail);
  wait->detail = g_strdup (lf_field (line, "detail"));
  g_free (key);
}

void
ew_step_placed (struct ew_waits *waits, const struct lf_line *line)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, waits->stands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct stand *stand = value;

      if (strcmp (stand->step, lf_field (line, "step")) != 0)
        continue;
      count_until (waits, stand, line->aligned_ms);
      g_hash_table_iter_remove (&iter);
    }
}

static int
compare_waits (const void *a, const void *b)
{
  const struct ex_wait *left = *(struct ex_wait *const *)a;
  const struct ex_wait *right = *(struct ex_wait *const *)b;

  if (left->time_ms != right->time_ms)
    return left->time_ms > right->time_ms ? -1 : 1;
  return strcmp (left->why, right->why);
}

/* No line tells when a start has been answered, so that the time after the
   last line of one is not known.  */
static bool
ends_without_line (const char *why)
{
  return g_str_has_prefix (why, "start-") || g_str_has_prefix (why, "member-");
}

GPtrArray *
ew_finish (struct ew_waits *waits, int64_t end_ms)
{
  GPtrArray *reasons = waits->reasons;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, waits->stands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct stand *stand = value;

      if (!ends_without_line (stand->why))
        count_until (waits, stand,
                     MIN (end_ms, stand->from_ms + LAST_LINE_MAX_MS));
    }
  g_ptr_array_sort (reasons, compare_waits);
  waits->reasons = g_ptr_array_new_with_free_func (wait_free);
  return reasons;
}

const char *
ew_meaning (const char *why)
{
  static const struct
  {
    const char *why;
    const char *meaning;
  } meanings[] = {
    { "no-queue", "its queue was not in the configuration" },
    { "not-due", "its due time had not come" },
    { "earlier-step", "an earlier step was not done" },
    { "undecided-losses", "its task may have crashed too many workers" },
    { "member-stopping", "a task of it was being stopped" },
    { "member-placed", "one member of its gang was placed, another waited" },
    { "start-unstored", "its placement was not stored" },
    { "start-unsent", "its start was not sent" },
    { "start-unanswered", "its start was not answered" },
    { "next-round", "it fitted, and no round placed it" },
    { "no-rounds", "the planner held no rounds" },
    { "start-backlog", "earlier starts waited to be sent" },
    { "round-ended", "rounds ended before it" },
    { "too-few-workers", "too few workers were eligible, even if empty" },
    { "reserved", "room was reserved for other gangs" },
    { "one-rack", "there was room, but not within one rack" },
    { "preempting", "room was kept for urgent work" },
    { "unassigned-runs", "runs that were not assigned used the room" },
    { "backoff",
      "workers with room had just refused or not answered a start" },
    { "exclusive", "a suspect task was starting on workers with room" },
    { "alone", "it was to start alone, and runs were starting" },
    { "advisor", "the advisor had not answered" },
    { "suspect", "workers with room were suspect" },
    { "avoided", "workers with room were avoided" },
    { "old-report", "the report of workers with room was too old" },
    { "unseen", "workers with room were not polled yet" },
    { "unreachable", "workers with room were out of touch" },
    { "closed-data-centre", "the room for it was in closed data centres" },
    { "no-cpus", "too few processors were free" },
    { "no-memory", "too little memory was free" },
    { "no-accelerators", "too few accelerators were free" },
    { "no-room", "too little was free of several kinds" },
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (meanings); i++)
    if (strcmp (meanings[i].why, why) == 0)
      return meanings[i].meaning;
  return "the reason is not known here";
}
