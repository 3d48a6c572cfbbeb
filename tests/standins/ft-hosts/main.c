/* ft-hosts: stand-in for the platform's host list.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "host_table.h"
#include "http/http_server.h"
#include "standins/common/history_file.h"
#include "standins/common/json_answer.h"
#include "standins/common/standin.h"

enum
{
  CONNECTION_LIMIT = 500,
  BODY_LIMIT_BYTES = 64 * 1024,
  RECEIVE_TIMEOUT_MS = 60000,
  ADVANCE_INTERVAL_MS = 50
};

static const char host_path[] = "/hosts/";

struct service
{
  struct ev_loop *loop;
  struct ht_table *table;
  struct hf_file *history;
  uint32_t lag_ms;
  ev_timer timer;
};

static void
on_visible (void *ctx, const char *name, const char *state)
{
  struct service *service = ctx;

  hf_write (service->history, "hosts", "state",
            json_pack ("{s:s,s:s}", "name", name, "state", state));
}

static void
apply_due_changes (struct service *service)
{
  ht_apply_due_changes (service->table, service->lag_ms, sn_now_ms ());
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  apply_due_changes (watcher->data);
}

static bool
is_one_of (const char *text, const char *const *known)
{
  return text != NULL && g_strv_contains (known, text);
}

static bool
is_valid_host (const json_t *host)
{
  static const char *const kinds[] = { "worker", "upstream", "entry", NULL };
  static const char *const states[] = { "live", "leaving", NULL };
  uint64_t port = ja_number (host, "port", 0);

  return is_one_of (ja_text (host, "kind", NULL), kinds)
         && is_one_of (ja_text (host, "state", NULL), states)
         && ja_text (host, "name", "")[0] != '\0'
         && ja_text (host, "address", "")[0] != '\0' && port > 0
         && port <= UINT16_MAX;
}

static void
put_host (struct service *service, struct hs_request *request)
{
  json_t *host = ja_parse_body (request);

  if (host == NULL)
    return;
  if (!is_valid_host (host))
    {
      json_decref (host);
      ja_respond_error (request, 400, "bad_host",
                        "A member is missing or not valid.");
      return;
    }
  ht_add_change (service->table, ja_text (host, "name", ""), host,
                 sn_now_ms ());
  apply_due_changes (service);
  ja_respond (request, 200, json_object ());
}

static void
remove_host (struct service *service, struct hs_request *request)
{
  const char *name = hs_path (request) + sizeof host_path - 1;

  ht_add_change (service->table, name, NULL, sn_now_ms ());
  apply_due_changes (service);
  ja_respond (request, 200, json_object ());
}

static void
handle_control (struct service *service, struct hs_request *request)
{
  json_t *body = ja_parse_body (request);

  if (body == NULL)
    return;
  service->lag_ms = (uint32_t)ja_number (body, "lag_ms", service->lag_ms);
  json_decref (body);
  ja_respond (request, 200, json_object ());
}

/* The list's version is its entity tag.  A client that sends the tag of the
   list that it has gets status 304 instead of the same list again.  */
static void
answer_list (struct service *service, struct hs_request *request)
{
  const char *known = hs_header (request, "If-None-Match");
  struct hs_header tag = { .name = "ETag" };
  json_t *list;
  char *text;
  char *body;

  apply_due_changes (service);
  list = ht_list_json (service->table);
  text = g_strdup_printf (
      "\"%" JSON_INTEGER_FORMAT "\"",
      json_integer_value (json_object_get (list, "version")));
  tag.value = text;
  if (known != NULL && strcmp (known, text) == 0)
    hs_respond (request, 304, &tag, 1, "", 0);
  else
    {
      body = json_dumps (list, JSON_COMPACT);
      hs_respond (request, 200, &tag, 1, body, strlen (body));
      free (body);
    }
  g_free (text);
  json_decref (list);
}

static void
on_request (void *ctx, struct hs_request *request)
{
  struct service *service = ctx;

  if (ja_is_call (request, "GET", "/hosts"))
    answer_list (service, request);
  else if (ja_is_call (request, "POST", "/hosts"))
    put_host (service, request);
  else if (ja_is_call (request, "POST", "/control"))
    handle_control (service, request);
  else if (strcmp (hs_method (request), "DELETE") == 0
           && g_str_has_prefix (hs_path (request), host_path))
    remove_host (service, request);
  else
    ja_respond_error (request, 404, "not_found", "There is no such call.");
}

static int
serve (struct service *service, const char *address, uint16_t port)
{
  struct hs_params params = { .loop = service->loop,
                              .address = address,
                              .port = port,
                              .connection_limit = CONNECTION_LIMIT,
                              .body_limit_bytes = BODY_LIMIT_BYTES,
                              .receive_timeout_ms = RECEIVE_TIMEOUT_MS,
                              .handler = on_request,
                              .ctx = service };
  struct hs_server *server;

  if (hs_create (&server, &params) != HS_OK)
    {
      fprintf (stderr, "ft-hosts: cannot listen\n");
      return 1;
    }
  ev_timer_init (&service->timer, on_timer, 0.0, ADVANCE_INTERVAL_MS / 1000.0);
  service->timer.data = service;
  ev_timer_start (service->loop, &service->timer);
  sn_print_listening (hs_port (server));
  sn_run_until_signal (service->loop);
  ev_timer_stop (service->loop, &service->timer);
  hs_free (server);
  return 0;
}

int
main (int argc, char **argv)
{
  struct sn_args args;
  struct arg_int *lag_ms
      = sn_int_option ("lag-ms", 0, "age of what is answered");
  struct arg_str *history = sn_history_option ();
  struct service service = { .loop = EV_DEFAULT };
  int status;

  sn_args_init (&args);
  void *table[]
      = { args.address, args.port, lag_ms, history, args.help, args.end };
  status = sn_args_parse (argc, argv, table, &args);
  if (status >= 0)
    goto done;
  status = 1;
  service.history = hf_open (history->sval[0]);
  if (service.history == NULL)
    goto done;
  service.lag_ms = sn_option_number (lag_ms);
  service.table = ht_create (on_visible, &service);
  status = serve (&service, args.address->sval[0],
                  (uint16_t)sn_option_number (args.port));

done:
  ht_free (service.table);
  hf_close (service.history);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
