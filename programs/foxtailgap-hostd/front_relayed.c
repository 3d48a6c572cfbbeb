/* Keeps what other hosts have answered callers of this host about jobs, until
   this host has read as much itself.  */

#include "common/clock.h"
#include "front_private.h"

enum
{
  /* A host that reads nothing for so long that more are known has refused most
     requests before.  */
  RELAYED_JOBS_MAX = 4096
};

struct relayed_job
{
  enum jb_state state;
  int64_t told_ms; /* steady clock: last */
};

GHashTable *
fr_relayed_jobs_create (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
fr_relayed_jobs_free (GHashTable *jobs)
{
  if (jobs != NULL)
    g_hash_table_destroy (jobs);
}

/* What a host tells callers is stored before.  */
static gboolean
is_read_since (void *id, void *value, void *read_until_ms)
{
  (void)id;
  return ((const struct relayed_job *)value)->told_ms
         <= *(const int64_t *)read_until_ms;
}

static void
forget_what_is_read (struct front *front)
{
  int64_t read_until_ms
      = clk_monotonic_ms (NULL) - jr_jobs_age_ms (front->params.journal);

  if (read_until_ms <= front->relayed_until_ms)
    return;
  front->relayed_until_ms = read_until_ms;
  g_hash_table_foreach_remove (front->relayed_jobs, is_read_since,
                               &read_until_ms);
}

void
fr_note_relayed_job (struct front *front, const char *id, enum jb_state state)
{
  struct relayed_job *job;

  forget_what_is_read (front);
  job = g_hash_table_lookup (front->relayed_jobs, id);
  if (job == NULL)
    {
      if (g_hash_table_size (front->relayed_jobs) >= RELAYED_JOBS_MAX)
        return;
      job = g_new0 (struct relayed_job, 1);
      g_hash_table_insert (front->relayed_jobs, g_strdup (id), job);
    }
  job->state = MAX (job->state, state);
  job->told_ms = clk_monotonic_ms (NULL);
}

bool
fr_relayed_state (struct front *front, const char *id, enum jb_state *out)
{
  const struct relayed_job *job;

  forget_what_is_read (front);
  job = g_hash_table_lookup (front->relayed_jobs, id);
  if (job != NULL)
    *out = job->state;
  return job != NULL;
}
