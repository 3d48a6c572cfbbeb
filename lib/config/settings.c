/* Settings of one foxtailgapd process.  */

#include "config/settings.h"

#include <glib.h>
#include <stdio.h>
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
  DAY_MS = 24 * HOUR_MS,
  BODY_LIMIT_MAX_BYTES = 16 * 1024 * 1024
};

#define OPTIONAL CYAML_FLAG_OPTIONAL
#define OPTIONAL_TEXT (CYAML_FLAG_OPTIONAL | CYAML_FLAG_POINTER)

#define TEXT_FIELD(flags, structure, member)                                  \
  CYAML_FIELD_STRING_PTR (#member, flags, structure, member, 0,               \
                          TEXT_LIMIT_BYTES)
#define NUMBER_FIELD(member)                                                  \
  CYAML_FIELD_UINT (#member, OPTIONAL, struct settings, member)
#define NUMBER(member, min, max, fallback)                                    \
  {                                                                           \
#member, offsetof(struct settings, member), min, max, fallback            \
  }

static const cyaml_schema_field_t listen_fields[]
    = { TEXT_FIELD (CYAML_FLAG_POINTER, struct settings_listen, address),
        CYAML_FIELD_UINT ("port", CYAML_FLAG_DEFAULT, struct settings_listen,
                          port),
        CYAML_FIELD_END };

static const cyaml_schema_field_t settings_fields[]
    = { TEXT_FIELD (CYAML_FLAG_POINTER, struct settings, host),
        TEXT_FIELD (CYAML_FLAG_POINTER, struct settings, data_centre),
        CYAML_FIELD_MAPPING ("callers", CYAML_FLAG_DEFAULT, struct settings,
                             callers, listen_fields),
        CYAML_FIELD_MAPPING ("peers", CYAML_FLAG_DEFAULT, struct settings,
                             peers, listen_fields),
        TEXT_FIELD (CYAML_FLAG_POINTER, struct settings, log_url),
        TEXT_FIELD (CYAML_FLAG_POINTER, struct settings, hosts_url),
        TEXT_FIELD (OPTIONAL_TEXT, struct settings, stream),
        TEXT_FIELD (OPTIONAL_TEXT, struct settings, log_level),
        TEXT_FIELD (OPTIONAL_TEXT, struct settings, placement_policy),
        NUMBER_FIELD (connection_limit),
        NUMBER_FIELD (body_limit_bytes),
        NUMBER_FIELD (receive_timeout_ms),
        NUMBER_FIELD (heartbeat_ms),
        NUMBER_FIELD (planner_timeout_ms),
        NUMBER_FIELD (lease_ttl_ms),
        NUMBER_FIELD (lease_renew_ms),
        NUMBER_FIELD (hosts_poll_ms),
        NUMBER_FIELD (log_timeout_ms),
        NUMBER_FIELD (log_commit_ms),
        NUMBER_FIELD (snapshot_interval_ms),
        NUMBER_FIELD (outcome_window_ms),
        NUMBER_FIELD (shutdown_timeout_ms),
        CYAML_FIELD_END };

static const cyaml_schema_value_t settings_schema = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_POINTER, struct settings, settings_fields) };

static const struct sc_number settings_numbers[] = {
  NUMBER (connection_limit, 1, 65535, 1024),
  NUMBER (body_limit_bytes, 1, BODY_LIMIT_MAX_BYTES, 1024 * 1024),
  NUMBER (receive_timeout_ms, 100, 10 * MINUTE_MS, 10000),
  NUMBER (heartbeat_ms, 50, MINUTE_MS, 500),
  NUMBER (planner_timeout_ms, 100, 10 * MINUTE_MS, 2000),
  NUMBER (lease_ttl_ms, 200, 10 * MINUTE_MS, 10000),
  NUMBER (lease_renew_ms, 50, 10 * MINUTE_MS, 3000),
  NUMBER (hosts_poll_ms, 50, MINUTE_MS, 1000),
  NUMBER (log_timeout_ms, 50, MINUTE_MS, 2000),
  NUMBER (log_commit_ms, 0, 1000, 10),
  NUMBER (snapshot_interval_ms, 1000, HOUR_MS, 60000),
  NUMBER (outcome_window_ms, 1000, 7 * DAY_MS, HOUR_MS),
  NUMBER (shutdown_timeout_ms, 0, HOUR_MS, 30000),
};

/* --- Checks --- */

static void
check_address (const struct sc_mapping *mapping, const char *field,
               const char *text)
{
  if (ad_is_ip (text))
    return;
  em_add (mapping->messages, yi_line (mapping->index, field),
          "%s: must be an IP number, not '%.60s'", field, text);
}

static void
check_url (const struct sc_mapping *mapping, const char *field,
           const char *text)
{
  static const char scheme[] = "http://";

  if (g_str_has_prefix (text, scheme)
      && ad_is_ip_port (text + sizeof scheme - 1))
    return;
  em_add (mapping->messages, yi_line (mapping->index, field),
          "%s: must be http://IP:PORT, not '%.60s'", field, text);
}

static void
check_log_level (const struct sc_mapping *mapping, const char *text)
{
  static const char *const levels[]
      = { "debug", "info", "warning", "error", NULL };

  if (g_strv_contains (levels, text))
    return;
  em_add (mapping->messages, yi_line (mapping->index, "log_level"),
          "log_level: must be debug, info, warning or error, not '%.60s'",
          text);
}

static void
check_placement_policy (const struct sc_mapping *mapping, const char *text)
{
  static const char *const policies[]
      = { "guarantee", "first-fit", "strict", NULL };

  if (g_strv_contains (policies, text))
    return;
  em_add (mapping->messages, yi_line (mapping->index, "placement_policy"),
          "placement_policy: must be guarantee, first-fit or strict, not "
          "'%.60s'",
          text);
}

/* Checks that LONGER is at least twice SHORTER.  */
static void
check_at_least_twice (const struct sc_mapping *mapping, const char *longer,
                      uint32_t longer_ms, const char *shorter,
                      uint32_t shorter_ms)
{
  const char *given = yi_entry (mapping->index, longer) ? longer : shorter;

  if (longer_ms / 2 >= shorter_ms)
    return;
  em_add (mapping->messages, yi_line (mapping->index, given),
          "%s: must be at least twice %s, %u", longer, shorter, shorter_ms);
}

static void
check_settings (struct settings *settings, const struct sc_mapping *mapping)
{
  sc_check_numbers (mapping, settings_numbers,
                    G_N_ELEMENTS (settings_numbers));
  sc_check_name (mapping, "host", settings->host);
  sc_check_name (mapping, "data_centre", settings->data_centre);
  sc_check_name (mapping, "stream", settings->stream);
  check_address (mapping, "callers.address", settings->callers.address);
  check_address (mapping, "peers.address", settings->peers.address);
  check_url (mapping, "log_url", settings->log_url);
  check_url (mapping, "hosts_url", settings->hosts_url);
  check_log_level (mapping, settings->log_level);
  check_placement_policy (mapping, settings->placement_policy);
  check_at_least_twice (mapping, "planner_timeout_ms",
                        settings->planner_timeout_ms, "heartbeat_ms",
                        settings->heartbeat_ms);
  check_at_least_twice (mapping, "lease_ttl_ms", settings->lease_ttl_ms,
                        "lease_renew_ms", settings->lease_renew_ms);
}

/* --- Loading --- */

static bool
set_default_text (char **text, const char *fallback)
{
  if (*text == NULL)
    *text = strdup (fallback);
  return *text != NULL;
}

static int
parse_settings (void **out, const char *text, size_t size_bytes,
                struct env_messages *messages)
{
  struct yi_index *index = NULL;
  struct settings *settings = NULL;
  struct sc_mapping mapping = { .path = "", .messages = messages };
  void *data = NULL;
  int error;

  error = yi_create (&index, text, size_bytes, messages);
  if (error != ENV_OK)
    goto out;
  error = sc_load (&data, &settings_schema, text, size_bytes, index, messages);
  if (error != ENV_OK)
    goto out;
  settings = data;
  if (!set_default_text (&settings->stream, "foxtailgap")
      || !set_default_text (&settings->log_level, "info")
      || !set_default_text (&settings->placement_policy, "guarantee"))
    {
      error = ENV_ERR_MEMORY;
      goto out;
    }
  mapping.index = index;
  mapping.target = settings;
  check_settings (settings, &mapping);
  em_sort (messages);
  if (messages->count > 0)
    {
      error = ENV_ERR_INVALID;
      goto out;
    }
  *out = settings;
  settings = NULL;
out:
  settings_free (settings);
  yi_free (index);
  return error;
}

int
settings_load (struct settings **out, const char *path,
               struct env_messages *messages)
{
  void *loaded = NULL;
  int error = sc_load_file (&loaded, path, FILE_LIMIT_BYTES, parse_settings,
                            messages);

  *out = loaded;
  return error;
}

void
settings_free (struct settings *settings)
{
  if (settings == NULL)
    return;
  free (settings->host);
  free (settings->data_centre);
  free (settings->callers.address);
  free (settings->peers.address);
  free (settings->log_url);
  free (settings->hosts_url);
  free (settings->stream);
  free (settings->log_level);
  free (settings->placement_policy);
  free (settings);
}
