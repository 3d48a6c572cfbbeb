/* Data centres that are closed for new work.  Made for this load: one of a few
   data centres is to be emptied while the others are in use, so that its work
   and the work of urgent callers meets in what is left.  A worker there gets
   no start; what runs there goes on, since stopping it would only lose what it
   has done.  */

#include "sched/private.h"

bool
sd_is_closed (const struct sd_sched *sched, const char *data_centre)
{
  return data_centre != NULL
         && g_hash_table_contains (sched->closed_data_centres, data_centre);
}

static bool
has_closed_worker (const GPtrArray *workers)
{
  guint i;

  for (i = 0; i < workers->len; i++)
    if (((const struct sd_worker *)g_ptr_array_index (workers, i))->closed)
      return true;
  return false;
}

/* A step that is promised room in a closed data centre would not look for
   other room until the promise lapses.  */
static void
drop_preemptions_there (struct sd_sched *sched)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, sched->preemptions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (has_closed_worker (((const struct sd_preemption *)value)->workers))
      g_hash_table_iter_remove (&iter);
}

void
sd_set_closed (struct sd_sched *sched, const char *data_centre, bool closed)
{
  guint i;

  if (closed)
    g_hash_table_add (sched->closed_data_centres, g_strdup (data_centre));
  else
    g_hash_table_remove (sched->closed_data_centres, data_centre);
  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      worker->closed = sd_is_closed (sched, worker->report.data_centre);
    }
  if (closed)
    drop_preemptions_there (sched);
}

struct sd_data_centre_use
sd_survey_data_centre (const struct sd_sched *sched, const char *data_centre)
{
  struct sd_data_centre_use use = { 0 };
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      if (!worker->listed
          || g_strcmp0 (worker->report.data_centre, data_centre) != 0)
        continue;
      use.workers++;
      use.tasks += worker->tasks->len;
    }
  return use;
}
