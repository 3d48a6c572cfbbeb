/* Policies: the order in which queued jobs are tried.  */

#include "place/place_internal.h"

enum
{
  URGENT_RANK_BONUS = 1000000 /* exceeds any share and any wait */
};

static struct place_job_state *
job_at_cursor (GPtrArray *queue, uint32_t cursor)
{
  return cursor < queue->len ? queue->pdata[cursor] : NULL;
}

/* ===== Arrival order ========================================== */

static struct place_job_state *
head_by_arrival (const struct place_team_state *team)
{
  struct place_job_state *job
      = job_at_cursor (team->queue, team->queue_cursor);
  struct place_job_state *urgent
      = job_at_cursor (team->urgent_queue, team->urgent_cursor);

  if (job == NULL || urgent == NULL)
    return job == NULL ? urgent : job;
  if (job->submitted_ms != urgent->submitted_ms)
    return job->submitted_ms < urgent->submitted_ms ? job : urgent;
  return job->sequence < urgent->sequence ? job : urgent;
}

static double
rank_by_arrival (const struct place_job_state *job, int64_t now_ms)
{
  (void)now_ms;
  return (double)job->submitted_ms;
}

/* ===== Shares, urgency and ageing ============================= */

static double
fraction_of (int64_t used, int64_t total)
{
  return total > 0 ? (double)used / (double)total : 0;
}

/* The team's share of the resource of which it uses the greatest part, divided
   by the team's weight (dominant resource fairness).  */
static double
weighted_share (const struct place *place, const struct place_team_state *team)
{
  double share
      = fraction_of (team->used.cpus_milli, place->total_capacity.cpus_milli);
  double memory
      = fraction_of (team->used.memory_mb, place->total_capacity.memory_mb);
  double accelerators = fraction_of (team->used.accelerators,
                                     place->total_capacity.accelerators);

  share = MAX (share, MAX (memory, accelerators));
  return share / MAX (team->weight, 1);
}

static struct place_job_state *
head_by_urgency (const struct place_team_state *team)
{
  struct place_job_state *job
      = job_at_cursor (team->urgent_queue, team->urgent_cursor);

  return job != NULL ? job : job_at_cursor (team->queue, team->queue_cursor);
}

/* The time that a job has waited lowers its rank, so that it is tried in the
   end even if its team has the greatest share.  */
static double
rank_by_share (const struct place_job_state *job, int64_t now_ms)
{
  double waited = (double)MAX (now_ms - job->submitted_ms, 0);
  double rank = job->team->weighted_share - waited / PLACE_AGEING_MS;

  return job->urgent ? rank - URGENT_RANK_BONUS : rank;
}

/* ===== Picks ================================================== */

/* Updates the share and the next job of the team at index AT of the active
   teams.  */
static void
update_candidate (struct place *place, guint at)
{
  const struct place_policy *policy = place->params.policy;
  struct place_team_state *team = place->active_teams->pdata[at];
  struct place_candidate *list
      = (struct place_candidate *)place->candidates->data;
  struct place_candidate *candidate = &list[at];

  team->weighted_share = weighted_share (place, team);
  candidate->job = policy->next_job (team);
  if (candidate->job != NULL)
    candidate->rank = policy->rank (candidate->job, place_now (place));
}

void
place_picks_begin (struct place *place)
{
  guint i;

  g_ptr_array_set_size (place->active_teams, 0);
  for (i = 0; i < place->team_list->len; i++)
    {
      struct place_team_state *team = place->team_list->pdata[i];

      team->queue_cursor = 0;
      team->urgent_cursor = 0;
      team->failed_slot_search_count = 0;
      if (team->queue->len + team->urgent_queue->len > 0)
        g_ptr_array_add (place->active_teams, team);
    }
  g_array_set_size (place->candidates, place->active_teams->len);
  for (i = 0; i < place->active_teams->len; i++)
    update_candidate (place, i);
}

static bool
ranks_before (const struct place_candidate *a, const struct place_candidate *b)
{
  if (a->rank != b->rank)
    return a->rank < b->rank;
  return a->job->sequence < b->job->sequence;
}

struct place_job_state *
place_pick_job (struct place *place)
{
  const struct place_candidate *list
      = (const struct place_candidate *)place->candidates->data;
  const struct place_candidate *best = NULL;
  guint i;

  for (i = 0; i < place->candidates->len; i++)
    if (list[i].job != NULL && (best == NULL || ranks_before (&list[i], best)))
      best = &list[i];
  if (best == NULL)
    return NULL;
  place->picked_index = (guint)(best - list);
  return best->job;
}

void
place_pick_done (struct place *place, struct place_job_state *job,
                 bool left_queue)
{
  struct place_team_state *team
      = place->active_teams->pdata[place->picked_index];

  if (!left_queue && job->urgent)
    team->urgent_cursor++;
  else if (!left_queue)
    team->queue_cursor++;
  update_candidate (place, place->picked_index);
}

/* ===== Policies =============================================== */

const struct place_policy place_policy_first_fit = {
  .name = "first-fit",
  .next_job = head_by_arrival,
  .rank = rank_by_arrival,
};

const struct place_policy place_policy_strict = {
  .name = "strict",
  .strict_order = true,
  .next_job = head_by_arrival,
  .rank = rank_by_arrival,
};

const struct place_policy place_policy_guarantee = {
  .name = "guarantee",
  .has_guarantees = true,
  .has_reservations = true,
  .next_job = head_by_urgency,
  .rank = rank_by_share,
};
