/* Builds the index of a YAML text from the events of libyaml's parser.  */

#include "config/yaml_index.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "config/messages.h"

struct yi_index
{
  GHashTable *entries; /* path -> struct yi_entry */
};

struct reader
{
  struct yi_index *index;
  yaml_parser_t parser;
  struct env_messages *messages;
};

static int read_node (struct reader *reader, const yaml_event_t *event,
                      const char *path, uint32_t depth);

static void
entry_free (void *data)
{
  struct yi_entry *entry = data;

  free (entry->text);
  free (entry);
}

static uint32_t
line_of (const yaml_event_t *event)
{
  return (uint32_t)event->start_mark.line + 1;
}

static int
add_message (struct reader *reader, uint32_t line, const char *path,
             const char *what)
{
  if (path[0] == '\0')
    em_add (reader->messages, line, "%s", what);
  else
    em_add (reader->messages, line, "%s: %s", path, what);
  return ENV_ERR_INVALID;
}

/* Parses the next event, which the caller deletes if ENV_OK is returned.  */
static int
next_event (struct reader *reader, yaml_event_t *event)
{
  const char *problem;

  if (yaml_parser_parse (&reader->parser, event))
    return ENV_OK;
  problem = reader->parser.problem;
  return add_message (reader, (uint32_t)reader->parser.problem_mark.line + 1,
                      "", problem != NULL ? problem : "not a YAML text");
}

static int
note_entry (struct reader *reader, const yaml_event_t *event, const char *path)
{
  struct yi_entry *entry;

  if (strlen (path) >= YI_PATH_SIZE_BYTES - 1)
    return add_message (reader, line_of (event), "",
                        "a field name is too long");
  if (g_hash_table_contains (reader->index->entries, path))
    return add_message (reader, line_of (event), path, "given twice");
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return ENV_ERR_MEMORY;
  entry->line = line_of (event);
  if (event->type == YAML_SCALAR_EVENT)
    {
      entry->plain = event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
      entry->text = strdup ((const char *)event->data.scalar.value);
    }
  g_hash_table_insert (reader->index->entries, g_strdup (path), entry);
  return ENV_OK;
}

static int
read_scalar (struct reader *reader, const yaml_event_t *event,
             const char *path)
{
  const char *value = (const char *)event->data.scalar.value;

  if (strlen (value) != event->data.scalar.length)
    return add_message (reader, line_of (event), path, "holds a zero byte");
  return ENV_OK;
}

static int
read_sequence (struct reader *reader, const char *path, uint32_t depth)
{
  char child[YI_PATH_SIZE_BYTES];
  yaml_event_t event;
  int error;

  for (unsigned int i = 0;; i++)
    {
      error = next_event (reader, &event);
      if (error != ENV_OK)
        return error;
      if (event.type == YAML_SEQUENCE_END_EVENT)
        break;
      snprintf (child, sizeof child, "%s[%u]", path, i);
      error = read_node (reader, &event, child, depth + 1);
      yaml_event_delete (&event);
      if (error != ENV_OK)
        return error;
    }
  yaml_event_delete (&event);
  return ENV_OK;
}

static int
read_key (struct reader *reader, const yaml_event_t *event, const char *parent,
          char path[YI_PATH_SIZE_BYTES])
{
  if (event->type != YAML_SCALAR_EVENT)
    return add_message (reader, line_of (event), parent,
                        "a field name must be plain text");
  yi_join (path, parent, (const char *)event->data.scalar.value);
  return ENV_OK;
}

static int
read_mapping (struct reader *reader, const char *path, uint32_t depth)
{
  char child[YI_PATH_SIZE_BYTES];
  yaml_event_t event;
  int error;

  for (;;)
    {
      error = next_event (reader, &event);
      if (error != ENV_OK)
        return error;
      if (event.type == YAML_MAPPING_END_EVENT)
        break;
      error = read_key (reader, &event, path, child);
      yaml_event_delete (&event);
      if (error != ENV_OK)
        return error;
      error = next_event (reader, &event);
      if (error != ENV_OK)
        return error;
      error = read_node (reader, &event, child, depth + 1);
      yaml_event_delete (&event);
      if (error != ENV_OK)
        return error;
    }
  yaml_event_delete (&event);
  return ENV_OK;
}

static int
read_node (struct reader *reader, const yaml_event_t *event, const char *path,
           uint32_t depth)
{
  int error;

  if (depth > YI_DEPTH_LIMIT)
    return add_message (reader, line_of (event), path, "nested too deeply");
  if (event->type == YAML_ALIAS_EVENT)
    return add_message (reader, line_of (event), path,
                        "aliases are not supported");
  error = note_entry (reader, event, path);
  if (error != ENV_OK)
    return error;
  switch (event->type)
    {
    case YAML_SCALAR_EVENT:
      return read_scalar (reader, event, path);
    case YAML_SEQUENCE_START_EVENT:
      return read_sequence (reader, path, depth);
    case YAML_MAPPING_START_EVENT:
      return read_mapping (reader, path, depth);
    default:
      return add_message (reader, line_of (event), path, "not a value");
    }
}

/* Reads all events up to the end of the stream.  */
static int
read_stream (struct reader *reader)
{
  yaml_event_t event;
  bool done = false;
  bool seen = false;
  int error = ENV_OK;

  while (!done && error == ENV_OK)
    {
      error = next_event (reader, &event);
      if (error != ENV_OK)
        return error;
      switch (event.type)
        {
        case YAML_STREAM_START_EVENT:
        case YAML_DOCUMENT_END_EVENT:
          break;
        case YAML_STREAM_END_EVENT:
          done = true;
          break;
        case YAML_DOCUMENT_START_EVENT:
          if (seen)
            error = add_message (reader, line_of (&event), "",
                                 "more than one document in the text");
          seen = true;
          break;
        default:
          error = read_node (reader, &event, "", 0);
          break;
        }
      yaml_event_delete (&event);
    }
  if (error == ENV_OK && !seen)
    error = add_message (reader, 0, "", "empty");
  return error;
}

int
yi_create (struct yi_index **out, const char *text, size_t size_bytes,
           struct env_messages *messages)
{
  struct reader reader = { .messages = messages };
  int error;

  *out = NULL;
  reader.index = calloc (1, sizeof *reader.index);
  if (reader.index == NULL)
    return ENV_ERR_MEMORY;
  reader.index->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  if (!yaml_parser_initialize (&reader.parser))
    {
      yi_free (reader.index);
      return ENV_ERR_MEMORY;
    }
  yaml_parser_set_input_string (&reader.parser, (const unsigned char *)text,
                                size_bytes);
  error = read_stream (&reader);
  yaml_parser_delete (&reader.parser);
  if (error != ENV_OK)
    {
      yi_free (reader.index);
      return error;
    }
  *out = reader.index;
  return ENV_OK;
}

void
yi_free (struct yi_index *index)
{
  if (index == NULL)
    return;
  g_hash_table_destroy (index->entries);
  free (index);
}

const struct yi_entry *
yi_entry (const struct yi_index *index, const char *path)
{
  return g_hash_table_lookup (index->entries, path);
}

uint32_t
yi_line (const struct yi_index *index, const char *path)
{
  char parent[YI_PATH_SIZE_BYTES];
  const struct yi_entry *entry;
  size_t length;

  snprintf (parent, sizeof parent, "%s", path);
  for (;;)
    {
      entry = yi_entry (index, parent);
      if (entry != NULL)
        return entry->line;
      length = strlen (parent);
      if (length == 0)
        return 0;
      do
        length--;
      while (length > 0 && parent[length] != '.' && parent[length] != '[');
      parent[length] = '\0';
    }
}

const char *
yi_join (char path[YI_PATH_SIZE_BYTES], const char *parent, const char *field)
{
  snprintf (path, YI_PATH_SIZE_BYTES, "%s%s%s", parent,
            parent[0] == '\0' ? "" : ".", field);
  return path;
}
