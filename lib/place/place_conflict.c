/* Checks whether the guarantees of all teams can be met together on given
   workers.  */

#include <string.h>

#include "place/place_internal.h"

/* The check does not depend on time.  */
static int64_t
zero_clock_ms (void *ctx)
{
  (void)ctx;
  return 0;
}

/* Writes to TEXT which guarantees could not be bound.  Returns
   PLACE_ERR_CONFLICT if there are any.  */
static int
describe_conflicts (const struct place *place,
                    char text[PLACE_TEXT_SIZE_BYTES])
{
  char shape[PLACE_TEXT_SIZE_BYTES];
  size_t used = 0;
  uint32_t count = 0;
  guint t;
  guint u;

  text[0] = '\0';
  for (t = 0; t < place->team_list->len; t++)
    {
      const struct place_team_state *team = place->team_list->pdata[t];

      for (u = 0; u < team->units->len; u++)
        {
          const struct place_unit *unit = team->units->pdata[u];

          if (unit->unbound_slot_count == 0)
            continue;
          count++;
          place_shape_text (&unit->shape, shape, sizeof shape);
          if (used < PLACE_TEXT_SIZE_BYTES - 1)
            used += (size_t)g_snprintf (
                text + used, PLACE_TEXT_SIZE_BYTES - used, "%s%s: %s",
                used > 0 ? "; " : "no room for team ", team->name, shape);
        }
    }
  return count == 0 ? PLACE_OK : PLACE_ERR_CONFLICT;
}

int
place_check_guarantees (const struct place_team *teams, size_t team_count,
                        const struct place_worker *workers,
                        size_t worker_count, char text[PLACE_TEXT_SIZE_BYTES])
{
  struct place_params params
      = { .policy = &place_policy_guarantee, .now_ms = zero_clock_ms };
  const struct place_command *commands;
  struct place *place = NULL;
  size_t i;
  int error;

  text[0] = '\0';
  error = place_create (&place, &params);
  if (error != PLACE_OK)
    return error;
  for (i = 0; i < worker_count && error == PLACE_OK; i++)
    error = place_worker_up (place, &workers[i]);
  if (error == PLACE_OK)
    error = place_configure (place, teams, team_count);
  if (error != PLACE_OK)
    goto cleanup;
  place_decide (place, &commands);
  error = describe_conflicts (place, text);

cleanup:
  place_free (place);
  return error;
}
