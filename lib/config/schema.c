/* Loading by libcyaml, with line numbers, defaults and bounds.  */

#include "config/schema.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/messages.h"

enum
{
  LOG_LINE_SIZE_BYTES = 300
};

/* One error of libcyaml, which it logs as one sentence and a backtrace with
   the innermost frame first.  */
struct report
{
  char sentence[LOG_LINE_SIZE_BYTES];
  char path[YI_PATH_SIZE_BYTES];
  unsigned int frames;
};

static void
prepend_to_report_path (struct report *report, const char *part)
{
  char *joined;

  joined = g_strdup_printf (
      "%s%s%s", part,
      report->path[0] == '\0' || report->path[0] == '[' ? "" : ".",
      report->path);
  g_strlcpy (report->path, joined, sizeof report->path);
  g_free (joined);
}

/* Adds one backtrace frame to the path, such as "  in mapping field 'weight'
   (line: 3, ...".  */
static void
parse_backtrace_frame (struct report *report, const char *line)
{
  char part[LOG_LINE_SIZE_BYTES];
  unsigned int entry;
  bool missing = g_str_has_prefix (report->sentence, "Missing");
  bool first = report->frames++ == 0;

  if (sscanf (line, " in mapping field '%255[^']'", part) == 1)
    {
      /* For a missing field, the innermost frame names a sibling of it.  */
      if (!missing || !first)
        prepend_to_report_path (report, part);
    }
  else if (sscanf (line, " in sequence entry '%u'", &entry) == 1 && entry > 0)
    {
      snprintf (part, sizeof part, "[%u]", entry - 1);
      prepend_to_report_path (report, part);
    }
}

static void
on_cyaml_log (cyaml_log_t level, void *ctx, const char *format, va_list args)
{
  struct report *report = ctx;
  char line[LOG_LINE_SIZE_BYTES];

  (void)level;
  vsnprintf (line, sizeof line, format, args);
  g_strchomp (line);
  if (g_str_has_prefix (line, "  in "))
    parse_backtrace_frame (report, line);
  else if (strcmp (line, "Load: Backtrace:") != 0
           && report->sentence[0] == '\0')
    g_strlcpy (report->sentence,
               g_str_has_prefix (line, "Load: ") ? line + 6 : line,
               sizeof report->sentence);
}

/* What follows the prefix of one of libcyaml's sentences.  */
enum remainder
{
  REMAINDER_IS_FIELD, /* name of the field, which is not in the backtrace */
  REMAINDER_IS_VALUE, /* the invalid value */
  REMAINDER_UNUSED
};

struct sentence
{
  const char *prefix;
  const char *text;
  enum remainder remainder;
};

static const struct sentence known_sentences[] = {
  { "Unexpected key: ", "unknown field", REMAINDER_IS_FIELD },
  { "Missing required mapping field: ", "missing field", REMAINDER_IS_FIELD },
  { "Invalid UINT value: ", "not a whole number in its bounds: ",
    REMAINDER_IS_VALUE },
  { "Invalid uint64_t value: ", "not a whole number: ", REMAINDER_IS_VALUE },
  { "Invalid ENUM value: ", "unknown value: ", REMAINDER_IS_VALUE },
  { "Expecting SEQUENCE", "must be a list", REMAINDER_UNUSED },
  { "Expecting MAPPING", "must have fields of its own", REMAINDER_UNUSED },
  { "Expecting", "must be one plain value", REMAINDER_UNUSED },
};

/* Replaces a known sentence of libcyaml by one that fits a user of the
   document.  */
static void
translate_report (struct report *report)
{
  const struct sentence *sentence = NULL;
  char text[LOG_LINE_SIZE_BYTES];
  const char *remainder;

  for (size_t i = 0; i < G_N_ELEMENTS (known_sentences) && sentence == NULL;
       i++)
    if (g_str_has_prefix (report->sentence, known_sentences[i].prefix))
      sentence = &known_sentences[i];
  if (sentence == NULL)
    return;
  remainder = report->sentence + strlen (sentence->prefix);
  if (sentence->remainder == REMAINDER_IS_FIELD)
    {
      yi_join (text, report->path, remainder);
      g_strlcpy (report->path, text, sizeof report->path);
    }
  g_snprintf (text, sizeof text, "%s%s", sentence->text,
              sentence->remainder == REMAINDER_IS_VALUE ? remainder : "");
  memcpy (report->sentence, text, sizeof text);
}

static int
add_report_message (struct report *report, cyaml_err_t error,
                    const struct yi_index *index,
                    struct env_messages *messages)
{
  const char *what = report->sentence;
  const char *path = report->path;

  if (error == CYAML_ERR_OOM)
    return ENV_ERR_MEMORY;
  translate_report (report);
  if (what[0] == '\0')
    what = cyaml_strerror (error);
  em_add (messages, yi_line (index, path), "%s%s%s", path,
          path[0] == '\0' ? "" : ": ", what);
  return ENV_ERR_INVALID;
}

int
sc_load (void **data, const cyaml_schema_value_t *schema, const char *text,
         size_t size_bytes, const struct yi_index *index,
         struct env_messages *messages)
{
  struct report report = { 0 };
  cyaml_config_t config = { .log_fn = on_cyaml_log,
                            .log_ctx = &report,
                            .log_level = CYAML_LOG_ERROR,
                            .mem_fn = cyaml_mem,
                            .flags = CYAML_CFG_NO_ALIAS };
  cyaml_err_t error;

  *data = NULL;
  error = cyaml_load_data ((const uint8_t *)text, size_bytes, &config, schema,
                           data, NULL);
  if (error != CYAML_OK)
    return add_report_message (&report, error, index, messages);
  if (*data == NULL)
    {
      em_add (messages, 0, "empty");
      return ENV_ERR_INVALID;
    }
  return ENV_OK;
}

/* Checks that a value is a decimal number: libcyaml also accepts octal and
   hexadecimal numbers, and negative numbers that wrap around.  */
static bool
is_decimal (const struct yi_entry *entry)
{
  const char *text = entry->text;

  if (!entry->plain || text == NULL || text[0] == '\0')
    return false;
  if (text[0] == '0' && text[1] != '\0')
    return false;
  return strspn (text, "0123456789") == strlen (text);
}

static void
check_number (const struct sc_mapping *mapping, const struct sc_number *number)
{
  char path[YI_PATH_SIZE_BYTES];
  const struct yi_entry *entry;
  uint32_t *value;

  value = (uint32_t *)((char *)mapping->target + number->offset_bytes);
  yi_join (path, mapping->path, number->field);
  entry = yi_entry (mapping->index, path);
  if (entry == NULL)
    *value = number->default_value;
  else if (!is_decimal (entry))
    em_add (mapping->messages, entry->line,
            "%s: must be a whole decimal number, not '%.40s'", path,
            entry->text);
  else if (*value < number->min || *value > number->max)
    em_add (mapping->messages, entry->line,
            "%s: must be from %" G_GUINT32_FORMAT " to %" G_GUINT32_FORMAT
            ", not %" G_GUINT32_FORMAT,
            path, number->min, number->max, *value);
}

void
sc_check_numbers (const struct sc_mapping *mapping,
                  const struct sc_number *numbers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    check_number (mapping, &numbers[i]);
}

static void
check_flag (const struct sc_mapping *mapping, const struct sc_flag *flag)
{
  char path[YI_PATH_SIZE_BYTES];
  const struct yi_entry *entry;
  bool *value;

  value = (bool *)((char *)mapping->target + flag->offset_bytes);
  yi_join (path, mapping->path, flag->field);
  entry = yi_entry (mapping->index, path);
  if (entry == NULL)
    *value = flag->default_value;
  else if (!entry->plain
           || (strcmp (entry->text, "true") != 0
               && strcmp (entry->text, "false") != 0))
    em_add (mapping->messages, entry->line,
            "%s: must be true or false, not '%.40s'", path, entry->text);
}

void
sc_check_flags (const struct sc_mapping *mapping, const struct sc_flag *flags,
                size_t count)
{
  for (size_t i = 0; i < count; i++)
    check_flag (mapping, &flags[i]);
}

void
sc_check_name (const struct sc_mapping *mapping, const char *field,
               const char *text)
{
  char path[YI_PATH_SIZE_BYTES];
  size_t length = strlen (text);

  if (length <= SC_NAME_LIMIT_BYTES && g_ascii_isalnum (text[0])
      && strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-_") == length)
    return;
  yi_join (path, mapping->path, field);
  em_add (mapping->messages, yi_line (mapping->index, path),
          "%s: must be 1 to %d of a-z, 0-9, '-' and '_', starting with a "
          "letter or a digit, not '%.40s'",
          path, SC_NAME_LIMIT_BYTES, text);
}

int
sc_load_file (void **out, const char *path, size_t limit_bytes,
              sc_parse_function parse, struct env_messages *messages)
{
  GError *failure = NULL;
  gchar *text = NULL;
  gsize size_bytes = 0;
  int error = ENV_ERR_INVALID;

  *out = NULL;
  if (!g_file_get_contents (path, &text, &size_bytes, &failure))
    {
      em_add (messages, 0, "%s", failure->message);
      g_error_free (failure);
      return ENV_ERR_FILE;
    }
  if (size_bytes > limit_bytes)
    em_add (messages, 0, "larger than %zu bytes", limit_bytes);
  else
    error = parse (out, text, size_bytes, messages);
  g_free (text);
  return error;
}
