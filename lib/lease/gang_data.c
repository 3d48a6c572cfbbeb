/* Creation of a gang, its command list, and its accessors.  */

#include "lease/gang_internal.h"

/* ===== Creation =============================================== */

size_t
gang_find_member (const struct gang *gang, const char *worker)
{
  size_t i;

  for (i = 0; i < gang->member_count; i++)
    if (g_strcmp0 (gang->members[i].worker, worker) == 0)
      break;
  return i;
}

static void
add_assignment (struct gang *gang, size_t index)
{
  struct place_assignment *assignment = &gang->assignments[index];
  size_t i = gang_find_member (gang, assignment->worker);

  if (i == gang->member_count)
    {
      gang->members[i].worker = g_strdup (assignment->worker);
      gang->member_count++;
    }
  gang->members[i].task_count++;
  assignment->worker = gang->members[i].worker;
}

int
gang_create (struct gang **out, const struct gang_params *params)
{
  struct gang *gang;
  size_t count = params->assignment_count;
  size_t i;

  if (count == 0 || count > PLACE_TASK_LIMIT)
    return GANG_ERR_INVALID;
  gang = g_new0 (struct gang, 1);
  gang->params = *params;
  gang->params.assignments = NULL;
  gang->assignments
      = g_memdup2 (params->assignments, count * sizeof *gang->assignments);
  gang->ended = g_new0 (bool, count);
  gang->members = g_new0 (struct gang_member, count);
  gang->commands = g_array_new (FALSE, FALSE, sizeof (struct gang_command));
  for (i = 0; i < count; i++)
    add_assignment (gang, i);
  *out = gang;
  return GANG_OK;
}

void
gang_free (struct gang *gang)
{
  size_t i;

  if (gang == NULL)
    return;
  for (i = 0; i < gang->member_count; i++)
    g_free (gang->members[i].worker);
  g_array_free (gang->commands, TRUE);
  g_free (gang->members);
  g_free (gang->ended);
  g_free (gang->assignments);
  g_free (gang);
}

/* ===== Commands =============================================== */

void
gang_emit (struct gang *gang, const struct gang_command *command)
{
  g_array_append_val (gang->commands, *command);
}

void
gang_emit_record (struct gang *gang, enum gang_record record)
{
  gang->record_in_flight[record] = true;
  gang->record_retry_at_ms[record] = 0;
  gang_emit (gang, &(struct gang_command){ .kind = GANG_COMMAND_RECORD,
                                           .record = record,
                                           .member = gang->lost_member });
}

/* ===== Accessors ============================================== */

enum gang_state
gang_state (const struct gang *gang)
{
  return gang->state;
}

const char *
gang_state_name (enum gang_state state)
{
  static const char *const names[]
      = { "new",     "leasing",       "recording", "starting",
          "running", "checkpointing", "stopping",  "ending",
          "holding", "voiding",       "done" };

  return (size_t)state < G_N_ELEMENTS (names) ? names[state] : "unknown";
}

size_t
gang_member_count (const struct gang *gang)
{
  return gang->member_count;
}

const char *
gang_worker (const struct gang *gang, size_t member)
{
  return gang->members[member].worker;
}

const struct place_assignment *
gang_assignments (const struct gang *gang, size_t *count)
{
  *count = gang->params.assignment_count;
  return gang->assignments;
}

bool
gang_task_has_ended (const struct gang *gang, uint32_t task)
{
  size_t i;

  for (i = 0; i < gang->params.assignment_count; i++)
    if (gang->assignments[i].task == task)
      return gang->ended[i];
  return false;
}

bool
gang_is_recorded (const struct gang *gang)
{
  return gang->recorded;
}

uint32_t
gang_stop_bound_ms (const struct gang_params *params)
{
  return params->lease_ttl_ms + (2 * params->renew_interval_ms)
         + params->call_timeout_ms;
}
