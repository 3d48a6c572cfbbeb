/* Many instances of one kind in one process.  */

#include "standins/common/fleet.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "standins/common/delayed_answer.h"
#include "standins/common/json_answer.h"
#include "standins/common/port.h"
#include "standins/common/registration.h"
#include "standins/common/standin.h"

enum
{
  CONTROL_CONNECTION_LIMIT = 100,
  RECEIVE_TIMEOUT_MS = 60000,
  ANSWER_GRACE_MS = 50 /* see command_instance () */
};

struct fl_fleet
{
  struct fl_params params;
  struct hs_server *control_server;
  GPtrArray *instances; /* struct fl_instance * */
  struct rg_list *registration;
  bool serving;
  bool failed;
};

/* What a control request asks an instance to do.  */
enum action
{
  ACTION_NONE,
  ACTION_STOP,
  ACTION_RESTART
};

struct fl_instance
{
  struct fl_fleet *fleet;
  json_t *host;
  void *data;
  int reserved_fd; /* keeps the port bound while the instance is stopped */
  uint16_t port;
  struct hs_server *server;    /* NULL: stopped */
  struct da_queue *unanswered; /* requests received while frozen */
  bool is_frozen;
  ev_timer action_timer; /* delays pending_action */
  enum action pending_action;
};

static void on_instance_request (void *ctx, struct hs_request *request);

/* --- Stop and restart --- */

static int
instance_listen (struct fl_instance *instance)
{
  const struct fl_params *params = &instance->fleet->params;
  struct hs_params server = { .loop = params->loop,
                              .address = params->address,
                              .port = instance->port,
                              .connection_limit = params->connection_limit,
                              .body_limit_bytes = params->body_limit_bytes,
                              .receive_timeout_ms = RECEIVE_TIMEOUT_MS,
                              .handler = on_instance_request,
                              .ctx = instance };

  if (hs_create (&instance->server, &server) != HS_OK)
    return FL_ERR_LISTEN;
  return FL_OK;
}

static void
instance_stop (struct fl_instance *instance)
{
  const struct fl_params *params = &instance->fleet->params;

  if (instance->server == NULL)
    return;
  params->on_stopped (params->ctx, instance);
  da_drop_all (instance->unanswered);
  hs_free (instance->server);
  instance->server = NULL;
}

static void
instance_restart (struct fl_instance *instance)
{
  const struct fl_params *params = &instance->fleet->params;

  if (instance->server != NULL)
    return;
  if (instance_listen (instance) == FL_OK)
    params->on_restarted (params->ctx, instance);
  else
    fprintf (stderr, "%s: cannot listen on port %u\n", fl_name (instance),
             instance->port);
}

static void
run_pending_action (struct fl_instance *instance)
{
  enum action action = instance->pending_action;

  instance->pending_action = ACTION_NONE;
  if (action == ACTION_NONE)
    return;
  instance_stop (instance);
  if (action == ACTION_RESTART)
    instance_restart (instance);
}

static void
on_action_due (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  run_pending_action (watcher->data);
}

/* --- Control --- */

static void
set_frozen (struct fl_instance *instance, bool frozen)
{
  instance->is_frozen = frozen;
  if (!frozen)
    da_drop_all (instance->unanswered);
}

/* Applies a control request.  VIA: the instance whose port it came in at, or
   NULL.  An instance that is to stop and has itself received the request waits
   for ANSWER_GRACE_MS, so that the answer is sent before its server closes. */
static void
command_instance (struct fl_instance *instance, const json_t *command,
                  const struct fl_instance *via)
{
  const struct fl_params *params = &instance->fleet->params;

  set_frozen (instance, ja_flag (command, "frozen", instance->is_frozen));
  if (ja_flag (command, "gone", false))
    instance->pending_action = ACTION_STOP;
  else if (ja_flag (command, "restart", false))
    instance->pending_action = ACTION_RESTART;
  else if (ja_has (command, "gone"))
    instance_restart (instance);
  params->apply_command (params->ctx, instance, command);
  if (via == instance && instance->pending_action != ACTION_NONE)
    {
      ev_timer_stop (params->loop, &instance->action_timer);
      ev_timer_set (&instance->action_timer, ANSWER_GRACE_MS / 1000.0, 0.0);
      ev_timer_start (params->loop, &instance->action_timer);
    }
  else
    run_pending_action (instance);
}

static guint
command_by_name (struct fl_fleet *fleet, const char *name,
                 const json_t *command, const struct fl_instance *via)
{
  struct fl_instance *instance;
  guint found = 0;
  guint i;

  for (i = 0; i < fleet->instances->len; i++)
    {
      instance = g_ptr_array_index (fleet->instances, i);
      if (strcmp (name, "*") != 0 && strcmp (name, fl_name (instance)) != 0)
        continue;
      command_instance (instance, command, via);
      found++;
    }
  return found;
}

static void
handle_control (struct fl_fleet *fleet, struct hs_request *request,
                const struct fl_instance *via)
{
  json_t *command = ja_parse_body (request);
  const char *name;

  if (command == NULL)
    return;
  name = ja_text (command, fleet->params.name_member, "");
  if (command_by_name (fleet, name, command, via) > 0)
    ja_respond (request, 200, json_object ());
  else
    ja_respond_error (request, 404, "not_found",
                      "There is no instance of that name.");
  json_decref (command);
}

static void
list_instances (const struct fl_fleet *fleet, struct hs_request *request)
{
  const struct fl_instance *instance;
  json_t *hosts = json_array ();
  guint i;

  for (i = 0; i < fleet->instances->len; i++)
    {
      instance = g_ptr_array_index (fleet->instances, i);
      json_array_append (hosts, instance->host);
    }
  ja_respond (request, 200, json_pack ("{s:o}", "hosts", hosts));
}

static void
on_control_request (void *ctx, struct hs_request *request)
{
  struct fl_fleet *fleet = ctx;

  if (ja_is_call (request, "POST", "/control"))
    handle_control (fleet, request, NULL);
  else if (ja_is_call (request, "GET", "/hosts"))
    list_instances (fleet, request);
  else
    ja_respond_error (request, 404, "not_found", "There is no such call.");
}

static void
on_instance_request (void *ctx, struct hs_request *request)
{
  struct fl_instance *instance = ctx;
  const struct fl_params *params = &instance->fleet->params;

  if (ja_is_call (request, "POST", "/control"))
    handle_control (instance->fleet, request, instance);
  else if (instance->is_frozen)
    da_keep_unanswered (instance->unanswered, request);
  else
    params->handle_request (params->ctx, instance, request);
}

/* --- The fleet --- */

static void
on_registered (void *ctx, unsigned int failed)
{
  struct fl_fleet *fleet = ctx;

  if (fleet->serving)
    return;
  if (failed > 0)
    {
      fleet->failed = true;
      ev_break (fleet->params.loop, EVBREAK_ALL);
      return;
    }
  fleet->serving = true;
  sn_print_listening (hs_port (fleet->control_server));
}

static void
instance_free (gpointer data)
{
  struct fl_instance *instance = data;

  ev_timer_stop (instance->fleet->params.loop, &instance->action_timer);
  instance_stop (instance);
  da_free (instance->unanswered);
  json_decref (instance->host);
  if (instance->reserved_fd >= 0)
    close (instance->reserved_fd);
  g_free (instance);
}

int
fl_create (struct fl_fleet **out, const struct fl_params *params)
{
  struct fl_fleet *fleet = g_new0 (struct fl_fleet, 1);
  struct hs_params server = { .loop = params->loop,
                              .address = params->address,
                              .port = params->port,
                              .connection_limit = CONTROL_CONNECTION_LIMIT,
                              .body_limit_bytes = params->body_limit_bytes,
                              .receive_timeout_ms = RECEIVE_TIMEOUT_MS,
                              .handler = on_control_request,
                              .ctx = fleet };
  int error;

  fleet->params = *params;
  fleet->instances = g_ptr_array_new_with_free_func (instance_free);
  error = FL_ERR_LISTEN;
  if (hs_create (&fleet->control_server, &server) != HS_OK)
    goto fail;
  error = FL_ERR_MEMORY;
  fleet->registration
      = rg_create (params->loop, params->hosts_url, on_registered, fleet);
  if (fleet->registration == NULL)
    goto fail;
  *out = fleet;
  return FL_OK;

fail:
  fl_free (fleet);
  return error;
}

void
fl_free (struct fl_fleet *fleet)
{
  if (fleet == NULL)
    return;
  rg_free (fleet->registration);
  g_ptr_array_free (fleet->instances, TRUE);
  hs_free (fleet->control_server);
  g_free (fleet);
}

int
fl_add (struct fl_fleet *fleet, json_t *host, void *data)
{
  const struct fl_params *params = &fleet->params;
  struct fl_instance *instance = g_new0 (struct fl_instance, 1);

  instance->fleet = fleet;
  instance->host = host;
  instance->data = data;
  instance->unanswered = da_create (params->loop);
  ev_init (&instance->action_timer, on_action_due);
  instance->action_timer.data = instance;
  if (params->port != 0)
    instance->port = (uint16_t)(params->port + 1 + fleet->instances->len);
  instance->reserved_fd = po_reserve (params->address, &instance->port);
  if (instance->reserved_fd < 0 || instance_listen (instance) != FL_OK)
    {
      instance_free (instance);
      return FL_ERR_LISTEN;
    }
  json_object_set_new (host, "address", json_string (params->address));
  json_object_set_new (host, "port", json_integer (instance->port));
  g_ptr_array_add (fleet->instances, instance);
  return FL_OK;
}

int
fl_run (struct fl_fleet *fleet)
{
  const struct fl_instance *instance;
  guint i;

  for (i = 0; i < fleet->instances->len; i++)
    {
      instance = g_ptr_array_index (fleet->instances, i);
      rg_register (fleet->registration, json_incref (instance->host));
    }
  rg_notify_if_idle (fleet->registration);
  if (!fleet->failed)
    sn_run_until_signal (fleet->params.loop);
  return fleet->failed ? 1 : 0;
}

void
fl_set_state (struct fl_instance *instance, const char *state, bool listed)
{
  json_object_set_new (instance->host, "state", json_string (state));
  if (listed)
    rg_register (instance->fleet->registration, json_incref (instance->host));
}

const char *
fl_name (const struct fl_instance *instance)
{
  return json_string_value (json_object_get (instance->host, "name"));
}

void *
fl_data (const struct fl_instance *instance)
{
  return instance->data;
}

char *
fl_numbered_name (const char *prefix, uint32_t number, uint32_t last)
{
  int digits = last < 100 ? 2 : last < 1000 ? 3 : last < 10000 ? 4 : 5;

  return g_strdup_printf ("%s%0*u", prefix, digits, number);
}
