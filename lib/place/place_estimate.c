/* Expected run times: declared run times, corrected by the run times of past
   jobs of the same team and kind.  */

#include <math.h>

#include "place/place_internal.h"

enum
{
  HISTORY_SAMPLES = 8 /* jobs over which the running means extend, roughly */
};

static const char OTHER_KINDS[] = "";

struct place_kind *
place_kind_get (struct place_team_state *team, const char *name)
{
  struct place_kind *kind;

  if (name == NULL)
    name = OTHER_KINDS;
  kind = g_hash_table_lookup (team->kinds, name);
  if (kind != NULL)
    return kind;
  if (g_hash_table_size (team->kinds) >= PLACE_KIND_LIMIT)
    name = OTHER_KINDS;
  kind = g_hash_table_lookup (team->kinds, name);
  if (kind != NULL)
    return kind;
  kind = g_new0 (struct place_kind, 1);
  kind->name = g_strdup (name);
  g_hash_table_insert (team->kinds, kind->name, kind);
  return kind;
}

void
place_kind_free (void *data)
{
  struct place_kind *kind = data;

  g_free (kind->name);
  g_free (kind);
}

void
place_kind_add_run (struct place_job_state *job, uint64_t ran_ms)
{
  struct place_kind *kind = job->kind;
  double ran = (double)MAX (ran_ms, 1);
  double weight;

  kind->sample_count = MIN (kind->sample_count + 1, HISTORY_SAMPLES);
  weight = 1.0 / kind->sample_count;
  kind->mean_run_ms += (ran - kind->mean_run_ms) * weight;
  if (job->declared_run_ms > 0)
    kind->mean_log_ratio
        += (log (ran / (double)job->declared_run_ms) - kind->mean_log_ratio)
           * weight;
}

/* The expected run time of a job, earlier attempts included.  */
static double
expected_total_run_ms (const struct place_job_state *job)
{
  const struct place_kind *kind = job->kind;

  if (job->declared_run_ms > 0)
    return (double)job->declared_run_ms * exp (kind->mean_log_ratio);
  if (kind->sample_count > 0)
    return kind->mean_run_ms;
  return PLACE_DEFAULT_RUN_MS;
}

uint64_t
place_expected_run_ms (const struct place_job_state *job)
{
  double progress = (double)job->progress_ms;
  double remaining_ms = expected_total_run_ms (job) - progress;

  /* A job that has made more progress than expected is taken to need half of
     that progress once more.  */
  return (uint64_t)MAX (remaining_ms, MAX (progress / 2, 1.0));
}

int64_t
place_expected_end_ms (const struct place *place,
                       const struct place_job_state *job)
{
  int64_t now = place_now (place);
  int64_t ran = MAX (now - job->started_ms, (int64_t)job->ran_ms);

  /* A job that has run longer than expected is taken to go on for half of the
     time that it has run.  */
  if (ran >= (int64_t)job->expected_run_ms)
    return now + MAX (ran / 2, 1);
  return now + (int64_t)job->expected_run_ms - ran;
}
