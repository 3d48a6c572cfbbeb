/* Records of the store port, and names of its results.  */

#include "store/store_port.h"

const char *
so_result_name (enum so_result result)
{
  switch (result)
    {
    case SO_DONE:
      return "done";
    case SO_REFUSED:
      return "refused";
    case SO_UNKNOWN:
      return "unknown";
    case SO_FENCED:
      return "fenced";
    case SO_OUT_OF_SEQUENCE:
      return "order";
    case SO_EXPIRED:
      return "expired";
    case SO_MALFORMED:
      return "format";
    }
  return "?";
}

struct so_record *
so_record_create (const char *key, const void *value, size_t size_bytes)
{
  struct so_record *record = g_new0 (struct so_record, 1);

  record->key = g_strdup (key);
  record->value = value == NULL ? NULL : g_memdup2 (value, size_bytes);
  record->size_bytes = value == NULL ? 0 : size_bytes;
  return record;
}

void
so_record_free (void *data)
{
  struct so_record *record = data;

  g_free (record->key);
  g_free (record->value);
  g_free (record);
}

GPtrArray *
so_records_create (void)
{
  return g_ptr_array_new_with_free_func (so_record_free);
}
