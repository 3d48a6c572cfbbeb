/* Schema, defaults and bounds of the environment document.  */

#include "config/environment_schema.h"

#include <glib.h>

#include "config/yaml_index.h"

enum
{
  TEXT_LIMIT_BYTES = 255,
  DAY_MS = 24 * 60 * 60 * 1000,
  HOUR_MS = 60 * 60 * 1000,
  BODY_LIMIT_MAX_BYTES = 16 * 1024 * 1024,
  TASK_CPUS_MAX_MILLI = 1000 * 1000,
  TASK_MEMORY_MAX_MB = 16 * 1024 * 1024,
  SHAPES_MAX = 4096
};

#define OPTIONAL CYAML_FLAG_OPTIONAL
#define REQUIRED CYAML_FLAG_DEFAULT

/* --- Guarantees --- */

static const cyaml_strval_t spans[] = {
  { "any", PLACE_SPAN_ANY },
  { "data_centre", PLACE_SPAN_DATA_CENTRE },
  { "rack", PLACE_SPAN_RACK },
  { "worker", PLACE_SPAN_WORKER },
};

static const cyaml_schema_field_t guarantee_fields[] = {
  CYAML_FIELD_UINT ("count", OPTIONAL, struct env_guarantee, count),
  CYAML_FIELD_UINT ("tasks", OPTIONAL, struct env_guarantee, tasks),
  CYAML_FIELD_UINT ("accelerators", REQUIRED, struct env_guarantee,
                    accelerators),
  CYAML_FIELD_UINT ("cpus_milli", REQUIRED, struct env_guarantee, cpus_milli),
  CYAML_FIELD_UINT ("memory_mb", REQUIRED, struct env_guarantee, memory_mb),
  CYAML_FIELD_ENUM ("span", OPTIONAL | CYAML_FLAG_STRICT, struct env_guarantee,
                    span, spans, CYAML_ARRAY_LEN (spans)),
  CYAML_FIELD_END
};

static const struct sc_number guarantee_numbers[] = {
  { "count", offsetof (struct env_guarantee, count), 1, SHAPES_MAX, 1 },
  { "tasks", offsetof (struct env_guarantee, tasks), 1, PLACE_TASK_LIMIT, 1 },
  { "accelerators", offsetof (struct env_guarantee, accelerators), 0,
    PLACE_ACCELERATOR_LIMIT, 0 },
  { "cpus_milli", offsetof (struct env_guarantee, cpus_milli), 1,
    TASK_CPUS_MAX_MILLI, 0 },
  { "memory_mb", offsetof (struct env_guarantee, memory_mb), 1,
    TASK_MEMORY_MAX_MB, 0 },
};

static const cyaml_schema_value_t guarantee_value = { CYAML_VALUE_MAPPING (
    REQUIRED, struct env_guarantee, guarantee_fields) };

/* --- Teams --- */

static const cyaml_schema_field_t quota_fields[] = {
  CYAML_FIELD_UINT ("accelerators", OPTIONAL, struct env_quota, accelerators),
  CYAML_FIELD_UINT ("cpus_milli", OPTIONAL, struct env_quota, cpus_milli),
  CYAML_FIELD_UINT ("memory_mb", OPTIONAL, struct env_quota, memory_mb),
  CYAML_FIELD_END
};

static const cyaml_schema_field_t team_fields[]
    = { CYAML_FIELD_STRING_PTR ("name", CYAML_FLAG_POINTER, struct env_team,
                                name, 0, TEXT_LIMIT_BYTES),
        CYAML_FIELD_UINT ("weight", OPTIONAL, struct env_team, weight),
        CYAML_FIELD_BOOL ("may_borrow", OPTIONAL, struct env_team, may_borrow),
        CYAML_FIELD_MAPPING ("quota", OPTIONAL, struct env_team, quota,
                             quota_fields),
        CYAML_FIELD_UINT ("request_slots", OPTIONAL, struct env_team,
                          request_slots),
        CYAML_FIELD_SEQUENCE ("guarantees", OPTIONAL | CYAML_FLAG_POINTER,
                              struct env_team, guarantees, &guarantee_value, 0,
                              ENV_GUARANTEE_LIMIT),
        CYAML_FIELD_END };

static const struct sc_number team_numbers[] = {
  { "weight", offsetof (struct env_team, weight), 1, 1000, 1 },
  { "request_slots", offsetof (struct env_team, request_slots), 0, 100000, 0 },
  { "quota.accelerators", offsetof (struct env_team, quota.accelerators), 0,
    1000000, 0 },
  { "quota.cpus_milli", offsetof (struct env_team, quota.cpus_milli), 0,
    UINT32_MAX, 0 },
  { "quota.memory_mb", offsetof (struct env_team, quota.memory_mb), 0,
    UINT32_MAX, 0 },
};

static const struct sc_flag team_flags[] = {
  { "may_borrow", offsetof (struct env_team, may_borrow), true },
};

static const cyaml_schema_value_t team_value
    = { CYAML_VALUE_MAPPING (REQUIRED, struct env_team, team_fields) };

/* --- Services --- */

static const cyaml_schema_field_t service_fields[] = {
  CYAML_FIELD_STRING_PTR ("name", CYAML_FLAG_POINTER, struct env_service, name,
                          0, TEXT_LIMIT_BYTES),
  CYAML_FIELD_UINT ("slots", OPTIONAL, struct env_service, slots),
  CYAML_FIELD_UINT ("connections", OPTIONAL, struct env_service, connections),
  CYAML_FIELD_UINT ("queue_limit", OPTIONAL, struct env_service, queue_limit),
  CYAML_FIELD_UINT ("deadline_ms", OPTIONAL, struct env_service, deadline_ms),
  CYAML_FIELD_UINT ("deadline_max_ms", OPTIONAL, struct env_service,
                    deadline_max_ms),
  CYAML_FIELD_UINT ("body_limit_bytes", OPTIONAL, struct env_service,
                    body_limit_bytes),
  CYAML_FIELD_UINT ("retry_percent", OPTIONAL, struct env_service,
                    retry_percent),
  CYAML_FIELD_END
};

static const struct sc_number service_numbers[] = {
  { "slots", offsetof (struct env_service, slots), 1, 1024, 8 },
  { "connections", offsetof (struct env_service, connections), 1, 65535, 64 },
  { "queue_limit", offsetof (struct env_service, queue_limit), 0, 100000,
    256 },
  { "deadline_ms", offsetof (struct env_service, deadline_ms), 1, DAY_MS,
    10000 },
  { "deadline_max_ms", offsetof (struct env_service, deadline_max_ms), 1,
    DAY_MS, 60000 },
  { "body_limit_bytes", offsetof (struct env_service, body_limit_bytes), 1,
    BODY_LIMIT_MAX_BYTES, 1024 * 1024 },
  { "retry_percent", offsetof (struct env_service, retry_percent), 0, 100,
    10 },
};

static const cyaml_schema_value_t service_value
    = { CYAML_VALUE_MAPPING (REQUIRED, struct env_service, service_fields) };

/* --- Objectives --- */

static const cyaml_schema_field_t objective_fields[] = {
  CYAML_FIELD_STRING_PTR ("team", CYAML_FLAG_POINTER, struct env_objective,
                          team, 0, TEXT_LIMIT_BYTES),
  CYAML_FIELD_STRING_PTR ("kind", CYAML_FLAG_POINTER, struct env_objective,
                          kind, 0, TEXT_LIMIT_BYTES),
  CYAML_FIELD_UINT ("latency_ms", REQUIRED, struct env_objective, latency_ms),
  CYAML_FIELD_UINT ("success_permille", REQUIRED, struct env_objective,
                    success_permille),
  CYAML_FIELD_END
};

static const struct sc_number objective_numbers[] = {
  { "latency_ms", offsetof (struct env_objective, latency_ms), 1, 7 * DAY_MS,
    0 },
  { "success_permille", offsetof (struct env_objective, success_permille), 1,
    999, 0 },
};

static const cyaml_schema_value_t objective_value = { CYAML_VALUE_MAPPING (
    REQUIRED, struct env_objective, objective_fields) };

/* --- Rules and the document --- */

static const cyaml_schema_field_t rules_fields[]
    = { CYAML_FIELD_UINT ("checkpoint_grace_ms", OPTIONAL, struct env_rules,
                          checkpoint_grace_ms),
        CYAML_FIELD_UINT ("attempt_limit", OPTIONAL, struct env_rules,
                          attempt_limit),
        CYAML_FIELD_UINT ("quarantine_failures", OPTIONAL, struct env_rules,
                          quarantine_failures),
        CYAML_FIELD_UINT ("quarantine_ms", OPTIONAL, struct env_rules,
                          quarantine_ms),
        CYAML_FIELD_UINT ("gang_start_timeout_ms", OPTIONAL, struct env_rules,
                          gang_start_timeout_ms),
        CYAML_FIELD_UINT ("job_queue_limit", OPTIONAL, struct env_rules,
                          job_queue_limit),
        CYAML_FIELD_END };

static const cyaml_schema_field_t document_fields[]
    = { CYAML_FIELD_STRING_PTR ("environment", CYAML_FLAG_POINTER,
                                struct env_document, environment, 0,
                                TEXT_LIMIT_BYTES),
        CYAML_FIELD_SEQUENCE ("teams", CYAML_FLAG_POINTER, struct env_document,
                              teams, &team_value, 1, ENV_TEAM_LIMIT),
        CYAML_FIELD_SEQUENCE ("services", OPTIONAL | CYAML_FLAG_POINTER,
                              struct env_document, services, &service_value, 0,
                              ENV_SERVICE_LIMIT),
        CYAML_FIELD_SEQUENCE ("objectives", OPTIONAL | CYAML_FLAG_POINTER,
                              struct env_document, objectives,
                              &objective_value, 0, ENV_OBJECTIVE_LIMIT),
        CYAML_FIELD_MAPPING ("rules", OPTIONAL, struct env_document, rules,
                             rules_fields),
        CYAML_FIELD_END };

static const struct sc_number document_numbers[] = {
  { "rules.checkpoint_grace_ms",
    offsetof (struct env_document, rules.checkpoint_grace_ms), 0, HOUR_MS,
    30000 },
  { "rules.attempt_limit", offsetof (struct env_document, rules.attempt_limit),
    1, 100, 3 },
  { "rules.quarantine_failures",
    offsetof (struct env_document, rules.quarantine_failures), 1, 1000, 3 },
  { "rules.quarantine_ms", offsetof (struct env_document, rules.quarantine_ms),
    1000, DAY_MS, 60000 },
  { "rules.gang_start_timeout_ms",
    offsetof (struct env_document, rules.gang_start_timeout_ms), 100, HOUR_MS,
    10000 },
  { "rules.job_queue_limit",
    offsetof (struct env_document, rules.job_queue_limit), 1, 1000000, 10000 },
};

static const cyaml_schema_value_t document_value = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_POINTER, struct env_document, document_fields) };

const cyaml_schema_value_t *
env_schema (void)
{
  return &document_value;
}

/* --- Checks of one mapping --- */

void
env_check_document (const struct sc_mapping *mapping)
{
  const struct env_document *document = mapping->target;

  sc_check_name (mapping, "environment", document->environment);
  sc_check_numbers (mapping, document_numbers,
                    G_N_ELEMENTS (document_numbers));
}

void
env_check_team (const struct sc_mapping *mapping)
{
  const struct env_team *team = mapping->target;

  sc_check_name (mapping, "name", team->name);
  sc_check_numbers (mapping, team_numbers, G_N_ELEMENTS (team_numbers));
  sc_check_flags (mapping, team_flags, G_N_ELEMENTS (team_flags));
}

void
env_check_guarantee (const struct sc_mapping *mapping)
{
  sc_check_numbers (mapping, guarantee_numbers,
                    G_N_ELEMENTS (guarantee_numbers));
}

void
env_check_service (const struct sc_mapping *mapping)
{
  const struct env_service *service = mapping->target;

  sc_check_name (mapping, "name", service->name);
  sc_check_numbers (mapping, service_numbers, G_N_ELEMENTS (service_numbers));
}

void
env_check_objective (const struct sc_mapping *mapping)
{
  const struct env_objective *objective = mapping->target;

  sc_check_name (mapping, "kind", objective->kind);
  sc_check_numbers (mapping, objective_numbers,
                    G_N_ELEMENTS (objective_numbers));
}
