/* Policies: the order in which queued jobs are tried.  */

#include "place/place_inner.h"

static struct place_job_state *
at_cursor (GPtrArray *queue, uint32_t cursor)
{
  return cursor < queue->len ? queue->pdata[cursor] : NULL;
}

static bool
arrived_before (const struct place_job_state *a,
                const struct place_job_state *b)
{
  if (b == NULL)
    return true;
  if (a->submitted_ms != b->submitted_ms)
    return a->submitted_ms < b->submitted_ms;
  return a->sequence < b->sequence;
}

/* ===== Arrival order ========================================== */

static struct place_job_state *
pick_by_arrival (struct place *place)
{
  struct place_job_state *best = NULL;
  guint i;

  for (i = 0; i < place->team_list->len; i++)
    {
      struct place_team_state *team = place->team_list->pdata[i];
      struct place_job_state *job = at_cursor (team->queue, team->cursor);

      if (job != NULL && arrived_before (job, best))
        best = job;
      job = at_cursor (team->urgent, team->urgent_cursor);
      if (job != NULL && arrived_before (job, best))
        best = job;
    }
  return best;
}

/* ===== Shares, urgency and ageing ============================= */

static double
part_of (int64_t used, int64_t total)
{
  return total > 0 ? (double)used / (double)total : 0;
}

/* The dominant share of a team by its weight.  */
static double
share_of (const struct place *place, const struct place_team_state *team)
{
  double share = part_of (team->used.cpus_milli, place->total.cpus_milli);
  double memory = part_of (team->used.memory_mb, place->total.memory_mb);
  double accelerators
      = part_of (team->used.accelerators, place->total.accelerators);

  return MAX (share, MAX (memory, accelerators)) / MAX (team->weight, 1);
}

/* Waiting lowers the share that counts against a job.  */
static double
rank_of (const struct place *place, const struct place_job_state *job,
         double share, int64_t now)
{
  double waited = (double)MAX (now - job->submitted_ms, 0);

  (void)place;
  return share - waited / PLACE_AGEING_MS;
}

static struct place_job_state *
pick_by_share (struct place *place)
{
  struct place_job_state *best = NULL;
  double best_rank = 0;
  int64_t now = place_now (place);
  guint i;

  for (i = 0; i < place->team_list->len; i++)
    {
      struct place_team_state *team = place->team_list->pdata[i];
      struct place_job_state *job
          = at_cursor (team->urgent, team->urgent_cursor);
      double rank;

      if (job == NULL)
        job = at_cursor (team->queue, team->cursor);
      if (job == NULL || (best != NULL && best->urgent && !job->urgent))
        continue;
      rank = rank_of (place, job, share_of (place, team), now);
      if (best != NULL && best->urgent == job->urgent && rank >= best_rank)
        continue;
      best = job;
      best_rank = rank;
    }
  return best;
}

/* ===== Tables ================================================= */

const struct place_policy place_policy_first_fit = {
  .name = "first-fit",
  .pick = pick_by_arrival,
};

const struct place_policy place_policy_strict = {
  .name = "strict",
  .stops = true,
  .pick = pick_by_arrival,
};

const struct place_policy place_policy_guarantee = {
  .name = "guarantee",
  .guarantees = true,
  .reserves = true,
  .pick = pick_by_share,
};
