/* Embeds the placement core: two teams share four workers.  The workers that
   one team borrows are reclaimed when the other needs its guarantee.  */

#include <inttypes.h>
#include <stdio.h>

#include "foxtailgap.h"

static int64_t clock_ms = 1000;

static int64_t
now_ms (void *ctx)
{
  (void)ctx;
  return clock_ms;
}

/* A constant keeps the example's output the same; any source is allowed.  */
static uint32_t
random_number (void *ctx)
{
  (void)ctx;
  return 4;
}

static void
print_command (const struct place_command *command)
{
  size_t i;

  switch (command->kind)
    {
    case PLACE_START:
      printf ("start %s on", command->job);
      for (i = 0; i < command->assignment_count; i++)
        printf (" %s:%" PRIx64, command->assignments[i].worker,
                command->assignments[i].accelerators);
      printf ("\n");
      break;
    case PLACE_EVICT:
      printf ("evict %s within %" PRIu32 " ms, for %s\n", command->job,
              command->grace_ms, command->for_job);
      break;
    default:
      printf ("command %d: %s\n", (int)command->kind, command->reason);
      break;
    }
}

static void
decide (struct place *place)
{
  const struct place_command *commands;
  int count = place_decide (place, &commands);
  int i;

  for (i = 0; i < count; i++)
    print_command (&commands[i]);
}

/* Submits a gang that needs two whole workers in one rack.  */
static void
submit (struct place *place, const char *id, const char *team)
{
  struct place_job job
      = { .id = id,
          .team = team,
          .kind = "fit",
          .shape = { .tasks = 2,
                     .task = { .cpus_milli = 8000, .accelerators = 8 },
                     .span = PLACE_SPAN_RACK },
          .submitted_ms = clock_ms,
          .checkpointable = true,
          .repeatable = true };
  char text[PLACE_TEXT_SIZE_BYTES];

  if (place_submit (place, &job, text) != PLACE_OK)
    printf ("%s can never run: %s\n", id, text);
}

static void
add_workers (struct place *place)
{
  static const char *const names[] = { "w1", "w2", "w3", "w4" };
  size_t i;

  for (i = 0; i < 4; i++)
    {
      struct place_worker worker = { .name = names[i],
                                     .rack = "r1",
                                     .data_centre = "waco",
                                     .capacity = { .cpus_milli = 64000,
                                                   .memory_mb = 128000,
                                                   .accelerators = 8 } };

      place_worker_up (place, &worker);
    }
}

int
main (void)
{
  struct place_guarantee pair
      = { .shape = { .tasks = 2,
                     .task = { .cpus_milli = 8000, .accelerators = 8 },
                     .span = PLACE_SPAN_RACK },
          .count = 1 };
  struct place_team teams[] = { { .name = "frames",
                                  .weight = 1,
                                  .may_borrow = true,
                                  .guarantees = &pair,
                                  .guarantee_count = 1 },
                                { .name = "optical",
                                  .weight = 1,
                                  .may_borrow = true,
                                  .guarantees = &pair,
                                  .guarantee_count = 1 } };
  struct place_params params = { .policy = &place_policy_guarantee,
                                 .checkpoint_grace_ms = 5000,
                                 .attempt_limit = 3,
                                 .quarantine_failures = 3,
                                 .quarantine_ms = 60000,
                                 .now_ms = now_ms,
                                 .random = random_number };
  struct place_ended evicted = { .job = "frames-2",
                                 .outcome = PLACE_OUTCOME_EVICTED,
                                 .progress_ms = 900,
                                 .requeue = true };
  struct place *place;

  if (place_create (&place, &params) != PLACE_OK)
    return 1;
  place_configure (place, teams, 2);
  add_workers (place);
  printf ("frames submits two gangs, one within its guarantee:\n");
  submit (place, "frames-1", "frames");
  submit (place, "frames-2", "frames");
  decide (place);
  printf ("optical asks for what it is guaranteed:\n");
  clock_ms += 1000;
  submit (place, "optical-1", "optical");
  decide (place);
  printf ("the borrower has stopped:\n");
  clock_ms += 1000;
  place_ended (place, &evicted);
  decide (place);
  place_free (place);
  return 0;
}
