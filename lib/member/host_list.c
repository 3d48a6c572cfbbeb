/* Parsing of the platform's host list, and its reference count.  */

#include "member/host_list.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

static void
clear_list (gpointer data)
{
  struct hl_list *list = data;
  size_t i;

  for (i = 0; i < list->host_count; i++)
    {
      g_free (list->hosts[i].name);
      g_free (list->hosts[i].address);
      g_free (list->hosts[i].data_centre);
      g_free (list->hosts[i].rack);
      g_free (list->hosts[i].service);
    }
  g_free (list->hosts);
}

struct hl_list *
hl_ref (struct hl_list *list)
{
  return g_rc_box_acquire (list);
}

void
hl_unref (struct hl_list *list)
{
  if (list != NULL)
    g_rc_box_release_full (list, clear_list);
}

static char *
copy_text (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return g_strdup (text == NULL ? "" : text);
}

/* Absent, negative and too large numbers are read as 0.  */
static uint32_t
read_number (const json_t *object, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (object, name));

  return value < 0 || value > UINT32_MAX ? 0 : (uint32_t)value;
}

static bool
parse_host (const json_t *object, struct hl_host *host)
{
  const char *kind = json_string_value (json_object_get (object, "kind"));
  const char *state = json_string_value (json_object_get (object, "state"));

  if (kind == NULL || state == NULL)
    return false;
  if (strcmp (kind, "worker") == 0)
    host->kind = HL_WORKER;
  else if (strcmp (kind, "upstream") == 0)
    host->kind = HL_UPSTREAM;
  else if (strcmp (kind, "entry") == 0)
    host->kind = HL_ENTRY;
  else
    return false;
  host->leaving = strcmp (state, "leaving") == 0;
  host->name = copy_text (object, "name");
  host->address = copy_text (object, "address");
  host->port = (uint16_t)read_number (object, "port");
  host->data_centre = copy_text (object, "data_centre");
  host->rack = copy_text (object, "rack");
  host->cpus_milli = read_number (object, "cpus_milli");
  host->memory_mb = read_number (object, "memory_mb");
  host->accelerators = read_number (object, "accelerators");
  host->service = copy_text (object, "service");
  host->slots = read_number (object, "slots");
  host->connections = read_number (object, "connections");
  host->peer_port = (uint16_t)read_number (object, "peer_port");
  return host->name[0] != '\0' && host->address[0] != '\0' && host->port != 0;
}

int
hl_parse (struct hl_list **out, const char *json, size_t size_bytes)
{
  json_t *root = json_loadb (json, size_bytes, 0, NULL);
  const json_t *hosts = json_object_get (root, "hosts");
  struct hl_list *list = NULL;
  int error = HL_ERR_INVALID;
  size_t i;

  if (!json_is_array (hosts))
    goto done;
  list = g_rc_box_new0 (struct hl_list);
  list->version
      = (uint64_t)json_integer_value (json_object_get (root, "version"));
  list->hosts = g_new0 (struct hl_host, json_array_size (hosts) + 1);
  for (i = 0; i < json_array_size (hosts); i++)
    {
      list->host_count++;
      if (!parse_host (json_array_get (hosts, i), &list->hosts[i]))
        goto done;
    }
  *out = list;
  list = NULL;
  error = HL_OK;

done:
  hl_unref (list);
  json_decref (root);
  return error;
}

const struct hl_host *
hl_find (const struct hl_list *list, enum hl_kind kind, const char *name)
{
  size_t i;

  for (i = 0; i < list->host_count; i++)
    if (list->hosts[i].kind == kind && strcmp (list->hosts[i].name, name) == 0)
      return &list->hosts[i];
  return NULL;
}

struct place_worker
hl_to_place_worker (const struct hl_host *host)
{
  return (struct place_worker){
    .name = host->name,
    .rack = host->rack,
    .data_centre = host->data_centre,
    .capacity = { .cpus_milli = host->cpus_milli,
                  .memory_mb = host->memory_mb,
                  .accelerators = host->accelerators },
  };
}
