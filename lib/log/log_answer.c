/* Decoder of the JSON answers that the log gives to reads.  */

#include <jansson.h>
#include <string.h>

#include "log/log_private.h"

static bool
get_number (const json_t *object, const char *name, json_int_t *out)
{
  const json_t *value = json_object_get (object, name);

  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *out = json_integer_value (value);
  return true;
}

static bool
parse_item (struct log_stored_append *item, const json_t *object)
{
  json_int_t offset;
  json_int_t time_ms;
  const char *data = json_string_value (json_object_get (object, "data"));

  if (data == NULL || !get_number (object, "offset", &offset)
      || !get_number (object, "time_ms", &time_ms))
    return false;
  item->offset = (uint64_t)offset;
  item->time_ms = time_ms;
  item->data = g_base64_decode (data, &item->size_bytes);
  return true;
}

static bool
parse_items (struct log_answer *out, const json_t *records)
{
  const json_t *record;
  size_t i;

  out->items = g_new0 (struct log_stored_append, json_array_size (records));
  json_array_foreach (records, i, record)
  {
    if (!parse_item (&out->items[out->item_count], record))
      return false;
    out->item_count++;
  }
  return true;
}

int
log_answer_parse (struct log_answer *out, const char *json, size_t size_bytes)
{
  json_t *root = json_loadb (json, size_bytes, 0, NULL);
  int error = LOG_ERR_INVALID;
  json_int_t first;
  json_int_t next;

  memset (out, 0, sizeof *out);
  if (!get_number (root, "first", &first) || !get_number (root, "next", &next)
      || first > next)
    goto done;
  out->first = (uint64_t)first;
  out->next = (uint64_t)next;
  if (!parse_items (out, json_object_get (root, "records")))
    goto done;
  error = LOG_OK;

done:
  json_decref (root);
  return error;
}

void
log_answer_clear (struct log_answer *answer)
{
  size_t i;

  for (i = 0; i < answer->item_count; i++)
    g_free (answer->items[i].data);
  g_free (answer->items);
  memset (answer, 0, sizeof *answer);
}
