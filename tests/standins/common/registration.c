/* Registers hosts with the host list.  */

#include "standins/common/registration.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http/http_client.h"

enum
{
  CONNECTION_LIMIT = 4,
  TIMEOUT_MS = 60000,
  CONNECT_TIMEOUT_MS = 10000,
  RESPONSE_LIMIT_BYTES = 64 * 1024,
  HTTP_OK_FIRST = 200,
  HTTP_OK_LAST = 299
};

struct rg_list
{
  struct hc_client *http;
  char *url;
  unsigned int pending_count;
  unsigned int failed_count;
  rg_idle on_idle;
  void *ctx;
};

struct rg_list *
rg_create (struct ev_loop *loop, const char *url, rg_idle idle, void *ctx)
{
  struct rg_list *list = g_new0 (struct rg_list, 1);
  struct hc_params params = { .loop = loop,
                              .host_connection_limit = CONNECTION_LIMIT,
                              .idle_connection_limit = CONNECTION_LIMIT };

  list->on_idle = idle;
  list->ctx = ctx;
  if (url == NULL)
    return list;
  list->url = g_strconcat (url, "/hosts", NULL);
  if (hc_create (&list->http, &params) == HC_OK)
    return list;
  rg_free (list);
  return NULL;
}

void
rg_free (struct rg_list *list)
{
  if (list == NULL)
    return;
  hc_free (list->http);
  g_free (list->url);
  g_free (list);
}

void
rg_notify_if_idle (struct rg_list *list)
{
  unsigned int failed = list->failed_count;

  if (list->pending_count > 0)
    return;
  list->failed_count = 0;
  list->on_idle (list->ctx, failed);
}

static void
on_answer (void *ctx, const struct hc_response *response)
{
  struct rg_list *list = ctx;

  list->pending_count--;
  if (response->error != HC_OK || response->status < HTTP_OK_FIRST
      || response->status > HTTP_OK_LAST)
    {
      list->failed_count++;
      fprintf (stderr, "registration: %s, status %ld\n",
               hc_strerror (response->error), response->status);
    }
  rg_notify_if_idle (list);
}

static void
send_host (struct rg_list *list, const char *text)
{
  struct hc_request request = { .method = "POST",
                                .url = list->url,
                                .body = text,
                                .body_size_bytes = strlen (text),
                                .timeout_ms = TIMEOUT_MS,
                                .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                .response_limit_bytes = RESPONSE_LIMIT_BYTES,
                                .callback = on_answer,
                                .ctx = list };

  if (hc_send (list->http, &request, NULL) == HC_OK)
    list->pending_count++;
  else
    list->failed_count++;
}

void
rg_register (struct rg_list *list, json_t *host)
{
  char *text;

  if (list->url != NULL)
    {
      text = json_dumps (host, JSON_COMPACT);
      if (text != NULL)
        send_host (list, text);
      free (text);
    }
  json_decref (host);
}
