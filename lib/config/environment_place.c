/* Converts the teams of a document to those of the placement core.  */

#include <stdlib.h>

#include "config/environment.h"

static struct place_guarantee *
convert_guarantees (const struct env_team *team)
{
  struct place_guarantee *guarantees;
  const struct env_guarantee *from;

  guarantees = calloc (team->guarantees_count + 1, sizeof *guarantees);
  if (guarantees == NULL)
    return NULL;
  for (uint32_t i = 0; i < team->guarantees_count; i++)
    {
      from = &team->guarantees[i];
      guarantees[i] = (struct place_guarantee){
        .shape = { .tasks = from->tasks,
                   .task = { .cpus_milli = from->cpus_milli,
                             .memory_mb = from->memory_mb,
                             .accelerators = from->accelerators },
                   .span = from->span },
        .count = from->count,
      };
    }
  return guarantees;
}

struct place_team *
env_to_place_teams (const struct env_document *document)
{
  struct place_team *teams;
  const struct env_team *from;

  teams = calloc (document->teams_count, sizeof *teams);
  if (teams == NULL)
    return NULL;
  for (uint32_t i = 0; i < document->teams_count; i++)
    {
      from = &document->teams[i];
      teams[i] = (struct place_team){
        .name = from->name,
        .weight = from->weight,
        .may_borrow = from->may_borrow,
        .quota = { .cpus_milli = from->quota.cpus_milli,
                   .memory_mb = from->quota.memory_mb,
                   .accelerators = from->quota.accelerators },
        .guarantees = convert_guarantees (from),
        .guarantee_count = from->guarantees_count,
      };
      if (teams[i].guarantees == NULL)
        {
          env_free_place_teams (teams, i);
          return NULL;
        }
    }
  return teams;
}

void
env_free_place_teams (struct place_team *teams, size_t count)
{
  if (teams == NULL)
    return;
  for (size_t i = 0; i < count; i++)
    free ((void *)teams[i].guarantees);
  free (teams);
}
