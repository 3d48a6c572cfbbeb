/* Shared texts and byte strings of the folded state.  */

#include <string.h>

#include "state/state_private.h"

uint8_t *
st_bytes_new (const void *data, size_t size_bytes)
{
  if (size_bytes == 0)
    return NULL;
  return g_rc_box_dup (size_bytes, (uint8_t *)data);
}

uint8_t *
st_bytes_share (uint8_t *bytes)
{
  return bytes == NULL ? NULL : g_rc_box_acquire (bytes);
}

void
st_bytes_release (uint8_t *bytes)
{
  if (bytes != NULL)
    g_rc_box_release (bytes);
}

/* Most texts are empty, so all empty texts share one string.  */
char *
st_text_new (const char *text)
{
  static char *empty;

  if (text[0] != '\0')
    return g_ref_string_new (text);
  if (empty == NULL)
    empty = g_ref_string_new ("");
  return g_ref_string_acquire (empty);
}

char *
st_text_share (char *text)
{
  return text == NULL ? NULL : g_ref_string_acquire (text);
}

void
st_text_release (char *text)
{
  if (text != NULL)
    g_ref_string_release (text);
}

void
st_text_set (char **text, const char *value)
{
  char *old = *text;

  *text = st_text_new (value);
  st_text_release (old);
}

bool
st_is_valid_name (const char *text)
{
  size_t size_bytes = strnlen (text, ST_NAME_LIMIT_BYTES + 1);

  return size_bytes > 0 && size_bytes <= ST_NAME_LIMIT_BYTES;
}

bool
st_bytes_equal (const uint8_t *left, size_t left_size_bytes,
                const uint8_t *right, size_t right_size_bytes)
{
  if (left_size_bytes != right_size_bytes)
    return false;
  return left_size_bytes == 0 || memcmp (left, right, left_size_bytes) == 0;
}
