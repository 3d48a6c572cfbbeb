/* Front task: JSON answers.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "front.h"

enum
{
  NUMBER_SIZE_BYTES = 24,
  MS_PER_S = 1000
};

static const struct hs_header json_header
    = { "Content-Type", "application/json" };

/* Answers with VALUE as one line of JSON; takes its reference.  */
static void
respond_json (struct hs_request *http, unsigned int status, json_t *value,
              const struct hs_header *headers, size_t header_count)
{
  char *text = json_dumps (value, JSON_COMPACT);
  char *line = g_strdup_printf ("%s\n", text == NULL ? "{}" : text);

  hs_respond (http, status, headers, header_count, line, strlen (line));
  g_free (line);
  free (text);
  json_decref (value);
}

void
fr_respond_json (struct hs_request *http, unsigned int status, json_t *value)
{
  respond_json (http, status, value, &json_header, 1);
}

void
fr_respond_error (struct hs_request *http, unsigned int status,
                  const char *code, const char *message, const char *state,
                  uint32_t retry_after_ms)
{
  json_t *value = json_pack ("{s:s, s:s}", "error", code, "message", message);
  struct hs_header headers[3] = { json_header };
  char seconds[NUMBER_SIZE_BYTES];
  size_t count = 1;

  if (state != NULL)
    {
      json_object_set_new (value, "state", json_string (state));
      headers[count++] = (struct hs_header){ "Foxtailgap-State", state };
    }
  if (retry_after_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%u",
                (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
      json_object_set_new (value, "retry_after_ms",
                           json_integer (retry_after_ms));
      headers[count++] = (struct hs_header){ "Retry-After", seconds };
    }
  respond_json (http, status, value, headers, count);
}
