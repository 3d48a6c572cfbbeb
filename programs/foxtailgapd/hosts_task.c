/* Hosts task: polls the platform's list of hosts and sends it to the other
   tasks when it has changed.  */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/logging.h"
#include "http/http_client.h"
#include "messages.h"
#include "tasks.h"

enum
{
  LIST_LIMIT_BYTES = 8 * 1024 * 1024,
  URL_SIZE_BYTES = 256,
  STATUS_NOT_MODIFIED = 304
};

static const char PART[] = "hosts";

struct hosts_task
{
  struct daemon *daemon;
  struct hc_client *http;
  struct mb_box *box;
  ev_timer poll_timer;
  struct hl_list *list; /* NULL before the first answer */
  char *body;           /* of the answer that LIST was read from */
  size_t body_size_bytes;
  char *entity_tag; /* ETag header of that answer; NULL: it has
                       none */
  bool is_polling;
  bool is_failing;
};

/* --- Publishing --- */

static void
publish_list (struct hosts_task *task)
{
  struct daemon *daemon = task->daemon;
  struct mb_box *boxes[] = { daemon->front, daemon->upstream, daemon->planner,
                             daemon->renewal, daemon->peers };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (boxes); i++)
    if (boxes[i] != NULL)
      mb_post (boxes[i], MSG_HOSTS, hl_ref (task->list));
}

static void
note_failure (struct hosts_task *task, const char *reason)
{
  mt_add (task->daemon->metrics, "foxtailgap_host_list_failures_total", 1);
  if (!task->is_failing)
    lg_warning (PART,
                "The platform's host list cannot be read; it is polled again.",
                "reason", reason, NULL);
  task->is_failing = true;
}

/* --- Polling --- */

static void
note_success (struct hosts_task *task)
{
  if (task->is_failing)
    lg_info (PART, "The platform's host list can be read again.", NULL);
  task->is_failing = false;
}

/* Whether the platform says that the list has not changed, or the answer
   equals the newest one that was parsed, byte by byte.  To parse a long list
   again would cost more than all other work on it.  */
static bool
is_unchanged (const struct hosts_task *task,
              const struct hc_response *response)
{
  if (response->status == STATUS_NOT_MODIFIED && task->entity_tag != NULL)
    return true;
  return response->status == 200 && task->body != NULL
         && task->body_size_bytes == response->body_size_bytes
         && memcmp (task->body, response->body, response->body_size_bytes)
                == 0;
}

static void
keep_body (struct hosts_task *task, const struct hc_response *response)
{
  g_free (task->body);
  task->body = g_memdup2 (response->body, response->body_size_bytes);
  task->body_size_bytes = response->body_size_bytes;
  g_free (task->entity_tag);
  task->entity_tag = g_strdup (hc_response_header (response, "ETag"));
}

static void
on_response (void *ctx, const struct hc_response *response)
{
  struct hosts_task *task = ctx;
  struct hl_list *list;

  task->is_polling = false;
  if (response->error != HC_OK)
    {
      note_failure (task, hc_strerror (response->error));
      return;
    }
  if (is_unchanged (task, response))
    {
      note_success (task);
      return;
    }
  if (response->status != 200
      || hl_parse (&list, response->body, response->body_size_bytes) != HL_OK)
    {
      note_failure (task, "answer not understood");
      return;
    }
  note_success (task);
  keep_body (task, response);
  if (task->list != NULL && task->list->version == list->version)
    {
      hl_unref (list);
      return;
    }
  hl_unref (task->list);
  task->list = list;
  lg_debug (PART, "The platform's host list has changed.", "hosts",
            lg_number ((long long)list->host_count), NULL);
  publish_list (task);
}

static void
on_poll_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct hosts_task *task = watcher->data;
  char url[URL_SIZE_BYTES];
  char if_none_match[URL_SIZE_BYTES];
  const char *headers[] = { if_none_match, NULL };
  struct hc_request request
      = { .method = "GET",
          .url = url,
          .headers = task->entity_tag == NULL ? NULL : headers,
          .timeout_ms = task->daemon->settings->log_timeout_ms,
          .connect_timeout_ms = task->daemon->settings->log_timeout_ms,
          .response_limit_bytes = LIST_LIMIT_BYTES,
          .callback = on_response,
          .ctx = task };

  (void)loop;
  (void)events;
  if (task->is_polling)
    return;
  snprintf (if_none_match, sizeof if_none_match, "If-None-Match: %s",
            task->entity_tag == NULL ? "" : task->entity_tag);
  snprintf (url, sizeof url, "%s/hosts", task->daemon->settings->hosts_url);
  task->is_polling = hc_send (task->http, &request, NULL) == HC_OK;
}

static void
on_message (void *ctx, int kind, void *body)
{
  (void)ctx;
  msg_free (kind, body);
}

/* --- Life cycle --- */

struct hosts_task *
hosts_create (struct daemon *daemon)
{
  struct hosts_task *task = g_new0 (struct hosts_task, 1);
  struct hc_params http = { .loop = daemon->loop };
  double interval_s = daemon->settings->hosts_poll_ms / 1000.0;

  task->daemon = daemon;
  if (hc_create (&task->http, &http) != HC_OK)
    {
      g_free (task);
      return NULL;
    }
  task->box = mb_create (daemon->loop, on_message, msg_free, task);
  daemon->hosts = task->box;
  ev_timer_init (&task->poll_timer, on_poll_timer, 0.0, interval_s);
  task->poll_timer.data = task;
  ev_timer_start (daemon->loop, &task->poll_timer);
  return task;
}

void
hosts_free (struct hosts_task *task)
{
  if (task == NULL)
    return;
  ev_timer_stop (task->daemon->loop, &task->poll_timer);
  hc_free (task->http);
  mb_free (task->box);
  hl_unref (task->list);
  g_free (task->body);
  g_free (task->entity_tag);
  g_free (task);
}
