/* faultproxy: a TCP proxy that causes network faults by control requests.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "http/http_server.h"
#include "route.h"
#include "standins/common/json_answer.h"
#include "standins/common/standin.h"

enum
{
  ROUTE_LIMIT = 1000,
  CONNECTION_LIMIT = 100,
  BODY_LIMIT_BYTES = 64 * 1024,
  RECEIVE_TIMEOUT_MS = 60000
};

struct proxy
{
  struct ev_loop *loop;
  GPtrArray *routes; /* struct ro_route * */
};

static void
apply_command (struct ro_route *route, const json_t *command)
{
  const char *freeze = ja_text (command, "freeze", NULL);

  if (ja_has (command, "delay_ms"))
    ro_set_delay (route, (uint32_t)ja_number (command, "delay_ms", 0));
  if (ja_has (command, "drop_answer"))
    ro_drop_answers (route, (uint32_t)ja_number (command, "drop_answer", 0));
  if (freeze != NULL)
    ro_set_frozen (
        route, strcmp (freeze, "to") == 0 || strcmp (freeze, "both") == 0,
        strcmp (freeze, "from") == 0 || strcmp (freeze, "both") == 0);
  if (ja_flag (command, "silent", false))
    ro_silence_connections (route);
  if (ja_flag (command, "reset", false))
    ro_close_connections (route);
  if (ja_has (command, "cut"))
    ro_set_cut (route, ja_flag (command, "cut", false));
}

static bool
is_valid_command (const struct proxy *proxy, const json_t *command)
{
  static const char *const directions[]
      = { "none", "to", "from", "both", NULL };
  const char *freeze = ja_text (command, "freeze", "none");

  if (!g_strv_contains (directions, freeze))
    return false;
  return !ja_has (command, "route")
         || ja_number (command, "route", UINT64_MAX) < proxy->routes->len;
}

static void
handle_control (const struct proxy *proxy, struct hs_request *request)
{
  json_t *command = ja_parse_body (request);
  uint64_t wanted;
  guint i;

  if (command == NULL)
    return;
  if (!is_valid_command (proxy, command))
    {
      json_decref (command);
      ja_respond_error (request, 400, "bad_request",
                        "There is no such route or direction.");
      return;
    }
  for (i = 0; i < proxy->routes->len; i++)
    {
      wanted = ja_number (command, "route", i);
      if (wanted == i)
        apply_command (g_ptr_array_index (proxy->routes, i), command);
    }
  json_decref (command);
  ja_respond (request, 200, json_object ());
}

static void
show_routes (const struct proxy *proxy, struct hs_request *request)
{
  json_t *routes = json_array ();
  json_t *route;
  guint i;

  for (i = 0; i < proxy->routes->len; i++)
    {
      route = ro_json (g_ptr_array_index (proxy->routes, i));
      json_object_set_new (route, "route", json_integer (i));
      json_array_append_new (routes, route);
    }
  ja_respond (request, 200, json_pack ("{s:o}", "routes", routes));
}

static void
on_request (void *ctx, struct hs_request *request)
{
  if (ja_is_call (request, "POST", "/control"))
    handle_control (ctx, request);
  else if (ja_is_call (request, "GET", "/control"))
    show_routes (ctx, request);
  else
    ja_respond_error (request, 404, "not_found", "There is no such call.");
}

static void
free_route (gpointer route)
{
  ro_free (route);
}

static int
add_routes (struct proxy *proxy, const char *address,
            const struct arg_int *ports, const struct arg_str *servers)
{
  struct ro_route *route;
  int error;
  int i;

  if (ports->count != servers->count)
    {
      fprintf (stderr, "faultproxy: --listen and --to must come in pairs\n");
      return RO_ERR_ADDRESS;
    }
  for (i = 0; i < ports->count; i++)
    {
      error = ro_create (&route, proxy->loop, address,
                         (uint16_t)ports->ival[i], servers->sval[i]);
      if (error != RO_OK)
        {
          fprintf (stderr, "faultproxy: route %d: %s\n", i,
                   error == RO_ERR_ADDRESS ? "an address is not valid"
                                           : "cannot listen");
          return error;
        }
      g_ptr_array_add (proxy->routes, route);
      printf ("route %d %u\n", i, ro_port (route));
    }
  return RO_OK;
}

static int
serve (struct proxy *proxy, const char *address, uint16_t port)
{
  struct hs_params params = { .loop = proxy->loop,
                              .address = address,
                              .port = port,
                              .connection_limit = CONNECTION_LIMIT,
                              .body_limit_bytes = BODY_LIMIT_BYTES,
                              .receive_timeout_ms = RECEIVE_TIMEOUT_MS,
                              .handler = on_request,
                              .ctx = proxy };
  struct hs_server *server;

  if (hs_create (&server, &params) != HS_OK)
    {
      fprintf (stderr, "faultproxy: cannot listen\n");
      return 1;
    }
  sn_print_listening (hs_port (server));
  sn_run_until_signal (proxy->loop);
  hs_free (server);
  return 0;
}

int
main (int argc, char **argv)
{
  struct sn_args args;
  struct arg_int *ports = arg_intn (NULL, "listen", "PORT", 1, ROUTE_LIMIT,
                                    "of a route; 0: any free port");
  struct arg_str *servers
      = arg_strn (NULL, "to", "IP:PORT", 1, ROUTE_LIMIT, "the route's server");
  struct proxy proxy = { .loop = EV_DEFAULT };
  int status;

  sn_args_init (&args);
  void *table[]
      = { ports, servers, args.address, args.port, args.help, args.end };
  proxy.routes = g_ptr_array_new_with_free_func (free_route);
  status = sn_args_parse (argc, argv, table, &args);
  if (status >= 0)
    goto done;
  status = 1;
  if (add_routes (&proxy, args.address->sval[0], ports, servers) == RO_OK)
    status = serve (&proxy, args.address->sval[0],
                    (uint16_t)sn_option_number (args.port));

done:
  g_ptr_array_free (proxy.routes, TRUE);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
