/* Requests and answers in JSON.  */

#include "standins/common/json_answer.h"

#include <stdlib.h>
#include <string.h>

void
ja_respond (struct hs_request *request, unsigned int status, json_t *value)
{
  struct hs_header type = { "Content-Type", "application/json" };
  char *text = json_dumps (value, JSON_COMPACT);

  if (text == NULL)
    hs_close_without_response (request);
  else
    hs_respond (request, status, &type, 1, text, strlen (text));
  free (text);
  json_decref (value);
}

void
ja_respond_error (struct hs_request *request, unsigned int status,
                  const char *code, const char *message)
{
  ja_respond (request, status,
              json_pack ("{s:s,s:s}", "error", code, "message", message));
}

json_t *
ja_parse_body (struct hs_request *request)
{
  size_t size_bytes;
  const char *body = hs_body (request, &size_bytes);
  json_t *object = json_loadb (body, size_bytes, 0, NULL);

  if (json_is_object (object))
    return object;
  json_decref (object);
  ja_respond_error (request, 400, "bad_request",
                    "The body is no JSON object.");
  return NULL;
}

uint64_t
ja_number (const json_t *object, const char *name, uint64_t fallback)
{
  const json_t *value = json_object_get (object, name);

  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return fallback;
  return (uint64_t)json_integer_value (value);
}

const char *
ja_text (const json_t *object, const char *name, const char *fallback)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text == NULL ? fallback : text;
}

bool
ja_flag (const json_t *object, const char *name, bool fallback)
{
  const json_t *value = json_object_get (object, name);

  return json_is_boolean (value) ? json_is_true (value) : fallback;
}

bool
ja_has (const json_t *object, const char *name)
{
  return json_object_get (object, name) != NULL;
}

bool
ja_is_call (const struct hs_request *request, const char *method,
            const char *path)
{
  return strcmp (hs_method (request), method) == 0
         && strcmp (hs_path (request), path) == 0;
}
