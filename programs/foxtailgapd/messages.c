/* Clean-up of the messages between tasks.  */

#include "messages.h"

#include <glib.h>
#include <stdlib.h>

/* The record is embedded by value, while protobuf-c frees whole trees on the
   heap: it is given a copy of the root.  All parts come from malloc (), which
   is GLib's allocator too; protobuf-c leaves its shared empty text alone.  */
static void
free_append (struct msg_append *append)
{
  Ft__Record *root;

  if (append->record.base.descriptor == &ft__record__descriptor)
    {
      root = g_new (Ft__Record, 1);
      *root = append->record;
      ft__record__free_unpacked (root, NULL);
    }
  g_free (append);
}

static void
free_config (struct msg_config *config)
{
  g_free (config->digest);
  g_free (config->author);
  g_free (config->document_text);
  env_free (config->document);
  g_free (config);
}

static void
free_request (struct msg_service_request *request)
{
  g_free (request->id);
  g_free (request->team);
  g_free (request->service);
  g_free (request->key);
  g_free (request->body);
  g_free (request);
}

static void
free_members (struct msg_members *members)
{
  size_t i;

  for (i = 0; i < members->member_count; i++)
    {
      g_free (members->members[i].host);
      g_free (members->members[i].address);
    }
  g_free (members->members);
  g_free (members);
}

static void
free_history (struct msg_config_history *history)
{
  size_t i;

  for (i = 0; i < history->revision_count; i++)
    {
      g_free (history->revisions[i].digest);
      g_free (history->revisions[i].author);
      g_free (history->revisions[i].note);
      g_free (history->revisions[i].document);
    }
  g_free (history->revisions);
  g_free (history);
}

void
msg_free (int kind, void *body)
{
  if (body == NULL)
    return;
  switch ((enum msg_kind)kind)
    {
    case MSG_APPEND:
      free_append (body);
      break;
    case MSG_TERM:
      g_free (((struct msg_term *)body)->holder);
      g_free (body);
      break;
    case MSG_CONFIG:
      free_config (body);
      break;
    case MSG_JOB:
      st_job_unref (body);
      break;
    case MSG_KEY_CLAIM:
      st_claim_unref (body);
      break;
    case MSG_HOSTS:
      hl_unref (body);
      break;
    case MSG_SERVICE_REQUEST:
      free_request (body);
      break;
    case MSG_SERVICE_ANSWER:
      g_free (((struct msg_service_answer *)body)->body);
      g_free (body);
      break;
    case MSG_PLANNER_QUERY:
      g_free (((struct msg_planner_query *)body)->job);
      g_free (((struct msg_planner_query *)body)->answer);
      g_free (body);
      break;
    case MSG_CONFIG_HISTORY:
      free_history (body);
      break;
    case MSG_MEMBERS:
      free_members (body);
      break;
    case MSG_SNAPSHOT:
      g_free (((struct msg_snapshot *)body)->data);
      g_free (body);
      break;
    case MSG_SNAPSHOT_WANTED:
    case MSG_APPENDED:
    case MSG_SUBSCRIBE:
    case MSG_JOB_DROPPED:
    case MSG_KEY_CLAIM_DROPPED:
    case MSG_LOG_STATUS:
    case MSG_CALLER_GONE:
    case MSG_SHUTDOWN:
    case MSG_LOAD:
    case MSG_TASK_PROGRESS:
      g_free (body);
      break;
    }
}
