/* Reads and checks the settings of foxtailgap-hostd.  */

#include "hostd_settings.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/address.h"
#include "config/messages.h"
#include "config/schema.h"
#include "config/yaml_index.h"

enum
{
  TEXT_LIMIT_BYTES = 255,
  FILE_LIMIT_BYTES = 64 * 1024,
  MINUTE_MS = 60 * 1000,
  HOUR_MS = 60 * MINUTE_MS,
  MEMORY_DEFAULT_MB = 120, /* of the platform's smallest hosts */
  BODY_LIMIT_MAX_BYTES = 16 * 1024 * 1024
};

#define TEXT_FIELD(member)                                                    \
  CYAML_FIELD_STRING_PTR (#member, CYAML_FLAG_POINTER, struct hostd_settings, \
                          member, 0, TEXT_LIMIT_BYTES)
#define NUMBER_FIELD(member)                                                  \
  CYAML_FIELD_UINT (#member, CYAML_FLAG_OPTIONAL, struct hostd_settings,      \
                    member)
#define REAL_FIELD(member)                                                    \
  CYAML_FIELD_FLOAT (#member, CYAML_FLAG_OPTIONAL, struct hostd_settings,     \
                     member)
#define NUMBER(member, min, max, fallback)                                    \
  {                                                                           \
#member, offsetof(struct hostd_settings, member), min, max, fallback      \
  }

static const cyaml_schema_field_t settings_fields[] = {
  TEXT_FIELD (host),
  TEXT_FIELD (data_centre),
  TEXT_FIELD (callers),
  TEXT_FIELD (readiness),
  TEXT_FIELD (metrics),
  TEXT_FIELD (store),
  CYAML_FIELD_STRING_PTR ("advisor", CYAML_FLAG_OPTIONAL | CYAML_FLAG_POINTER,
                          struct hostd_settings, advisor, 0, TEXT_LIMIT_BYTES),
  CYAML_FIELD_STRING_PTR (
      "log_level", CYAML_FLAG_OPTIONAL | CYAML_FLAG_POINTER,
      struct hostd_settings, log_level, 0, TEXT_LIMIT_BYTES),
  NUMBER_FIELD (connection_limit),
  NUMBER_FIELD (descriptor_limit),
  NUMBER_FIELD (body_limit_bytes),
  NUMBER_FIELD (receive_timeout_ms),
  NUMBER_FIELD (lease_ttl_ms),
  NUMBER_FIELD (lease_limit_ms),
  NUMBER_FIELD (stop_ms),
  NUMBER_FIELD (worker_heartbeat_ms),
  NUMBER_FIELD (capacity_notice_ms),
  NUMBER_FIELD (closing_ms),
  NUMBER_FIELD (key_validity_ms),
  NUMBER_FIELD (shutdown_ms),
  NUMBER_FIELD (far_factor),
  NUMBER_FIELD (job_retention_ms),
  NUMBER_FIELD (caller_memory_mb),
  REAL_FIELD (memory_mb),
  REAL_FIELD (cpu_share),
  REAL_FIELD (link_mbps),
  CYAML_FIELD_END
};

static const cyaml_schema_value_t settings_schema = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_POINTER, struct hostd_settings, settings_fields) };

static const struct sc_number settings_numbers[] = {
  NUMBER (connection_limit, 1, 65535, 1024),
  NUMBER (descriptor_limit, 256, 1048576, 4096),
  NUMBER (body_limit_bytes, 1, BODY_LIMIT_MAX_BYTES, 512 * 1024),
  NUMBER (receive_timeout_ms, 100, 10 * MINUTE_MS, 3000),
  NUMBER (lease_ttl_ms, 500, 10 * MINUTE_MS, 6000),
  NUMBER (lease_limit_ms, 500, 10 * MINUTE_MS, 10000),
  NUMBER (stop_ms, 1, MINUTE_MS, 200),
  NUMBER (worker_heartbeat_ms, 10, MINUTE_MS, 500),
  NUMBER (capacity_notice_ms, 1500, HOUR_MS, 3000),
  NUMBER (closing_ms, 0, HOUR_MS, 0),
  NUMBER (key_validity_ms, 500, HOUR_MS, 5000),
  NUMBER (shutdown_ms, 100, HOUR_MS, 5000),
  NUMBER (far_factor, 1, 1000, 3),
  NUMBER (job_retention_ms, 1000, 24U * HOUR_MS, 180000),
  NUMBER (caller_memory_mb, 0, 1024 * 1024, 0),
};

static void
check_address (const struct sc_mapping *place, const char *field,
               const char *text)
{
  if (ad_is_ip_port (text))
    return;
  em_add (place->messages, yi_line (place->index, field),
          "%s: must be IP:PORT, not '%.60s'", field, text);
}

/* Sets an absent number to FALLBACK.  */
static void
check_real (const struct sc_mapping *place, const char *field, double *value,
            double fallback)
{
  if (!yi_entry (place->index, field))
    *value = fallback;
  else if (*value <= 0)
    em_add (place->messages, yi_line (place->index, field),
            "%s: must be above 0", field);
}

/* Half of the memory is for callers if the settings do not say.  */
static void
check_caller_memory (struct hostd_settings *settings,
                     const struct sc_mapping *place)
{
  check_real (place, "memory_mb", &settings->memory_mb, MEMORY_DEFAULT_MB);
  if (settings->caller_memory_mb > settings->memory_mb)
    em_add (place->messages, yi_line (place->index, "caller_memory_mb"),
            "caller_memory_mb: must be at most memory_mb");
  else if (settings->caller_memory_mb == 0)
    settings->caller_memory_mb
        = (uint32_t)CLAMP (settings->memory_mb / 2, 1, UINT32_MAX);
}

static void
check_settings (struct hostd_settings *settings,
                const struct sc_mapping *place)
{
  sc_check_numbers (place, settings_numbers, G_N_ELEMENTS (settings_numbers));
  if (settings->lease_limit_ms < settings->lease_ttl_ms)
    em_add (place->messages, yi_line (place->index, "lease_limit_ms"),
            "lease_limit_ms: must be at least lease_ttl_ms");
  check_real (place, "cpu_share", &settings->cpu_share, 1.0);
  check_real (place, "link_mbps", &settings->link_mbps, 1000.0);
  check_caller_memory (settings, place);
  check_address (place, "callers", settings->callers);
  check_address (place, "readiness", settings->readiness);
  check_address (place, "metrics", settings->metrics);
  check_address (place, "store", settings->store);
  if (settings->advisor != NULL)
    check_address (place, "advisor", settings->advisor);
}

static int
parse_settings (void **out, const char *text, size_t size_bytes,
                struct env_messages *messages)
{
  struct yi_index *index = NULL;
  struct hostd_settings *settings = NULL;
  struct sc_mapping place = { .path = "", .messages = messages };
  void *data = NULL;
  int error;

  error = yi_create (&index, text, size_bytes, messages);
  if (error != ENV_OK)
    goto out;
  error = sc_load (&data, &settings_schema, text, size_bytes, index, messages);
  if (error != ENV_OK)
    goto out;
  settings = data;
  if (settings->log_level == NULL)
    settings->log_level = strdup ("info");
  place.index = index;
  place.target = settings;
  check_settings (settings, &place);
  em_sort (messages);
  if (messages->count > 0 || settings->log_level == NULL)
    {
      error = ENV_ERR_INVALID;
      goto out;
    }
  *out = settings;
  settings = NULL;

out:
  hostd_settings_free (settings);
  yi_free (index);
  return error;
}

int
hostd_settings_load (struct hostd_settings **out, const char *path,
                     struct env_messages *messages)
{
  void *loaded = NULL;
  int error = sc_load_file (&loaded, path, FILE_LIMIT_BYTES, parse_settings,
                            messages);

  *out = loaded;
  return error;
}

void
hostd_settings_free (struct hostd_settings *settings)
{
  if (settings == NULL)
    return;
  free (settings->host);
  free (settings->data_centre);
  free (settings->callers);
  free (settings->readiness);
  free (settings->metrics);
  free (settings->store);
  free (settings->advisor);
  free (settings->log_level);
  free (settings);
}
