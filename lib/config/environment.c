/* The environment document: parsing, freeing, lookup.  */

#include "config/environment.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/environment_check.h"
#include "config/environment_schema.h"
#include "config/messages.h"
#include "config/schema.h"
#include "config/yaml_index.h"

int
env_parse (struct env_document **out, const char *text, size_t size_bytes,
           struct env_messages *messages)
{
  struct yi_index *index = NULL;
  void *data = NULL;
  int error;

  *out = NULL;
  if (size_bytes > ENV_DOCUMENT_LIMIT_BYTES)
    {
      em_add (messages, 0, "larger than %d bytes", ENV_DOCUMENT_LIMIT_BYTES);
      return ENV_ERR_INVALID;
    }
  error = yi_create (&index, text, size_bytes, messages);
  if (error != ENV_OK)
    goto out;
  error = sc_load (&data, env_schema (), text, size_bytes, index, messages);
  if (error != ENV_OK)
    goto out;
  ec_check_document (data, index, messages);
  em_sort (messages);
  if (messages->count > 0)
    {
      error = ENV_ERR_INVALID;
      goto out;
    }
  *out = data;
  data = NULL;
out:
  env_free (data);
  yi_free (index);
  return error;
}

void
env_free (struct env_document *document)
{
  if (document == NULL)
    return;
  for (uint32_t i = 0; i < document->teams_count; i++)
    {
      free (document->teams[i].name);
      free (document->teams[i].guarantees);
    }
  for (uint32_t i = 0; i < document->services_count; i++)
    free (document->services[i].name);
  for (uint32_t i = 0; i < document->objectives_count; i++)
    {
      free (document->objectives[i].team);
      free (document->objectives[i].kind);
    }
  free (document->environment);
  free (document->teams);
  free (document->services);
  free (document->objectives);
  free (document);
}

void
env_digest (const char *text, size_t size_bytes,
            char digest[ENV_DIGEST_SIZE_BYTES])
{
  char *sum;

  sum = g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)text,
                                     size_bytes);
  g_strlcpy (digest, sum, ENV_DIGEST_SIZE_BYTES);
  g_free (sum);
}

const struct env_team *
env_team (const struct env_document *document, const char *name)
{
  for (uint32_t i = 0; i < document->teams_count; i++)
    if (strcmp (document->teams[i].name, name) == 0)
      return &document->teams[i];
  return NULL;
}

const struct env_service *
env_service (const struct env_document *document, const char *name)
{
  for (uint32_t i = 0; i < document->services_count; i++)
    if (strcmp (document->services[i].name, name) == 0)
      return &document->services[i];
  return NULL;
}
