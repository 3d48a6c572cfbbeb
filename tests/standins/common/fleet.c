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
  ANSWER_GRACE_MS = 50 /* for the answer to "gone" through the one that goes */
};

struct fl_fleet
{
  struct fl_params params;
  struct hs_server *control;
  GPtrArray *instances; /* struct fl_instance * */
  struct rg_list *registration;
  bool serving;
  bool failed;
};

enum step
{
  STEP_NONE,
  STEP_GO,
  STEP_RESTART
};

struct fl_instance
{
  struct fl_fleet *fleet;
  json_t *host;
  void *data;
  int reserved; /* keeps the port */
  uint16_t port;
  struct hs_server *server; /* NULL: gone */
  struct da_queue *frozen;
  bool is_frozen;
  ev_timer timer; /* for a step that must wait for an answer */
  enum step step;
};

static void on_instance_request (void *ctx, struct hs_request *request);

/* --- Going and coming back --- */

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
instance_go (struct fl_instance *instance)
{
  const struct fl_params *params = &instance->fleet->params;

  if (instance->server == NULL)
    return;
  params->down (params->ctx, instance);
  da_drop_all (instance->frozen);
  hs_free (instance->server);
  instance->server = NULL;
}

static void
instance_come_back (struct fl_instance *instance)
{
  const struct fl_params *params = &instance->fleet->params;

  if (instance->server != NULL)
    return;
  if (instance_listen (instance) == FL_OK)
    params->up (params->ctx, instance);
  else
    fprintf (stderr, "%s: cannot listen on port %u\n", fl_name (instance),
             instance->port);
}

static void
take_step (struct fl_instance *instance)
{
  enum step step = instance->step;

  instance->step = STEP_NONE;
  if (step == STEP_NONE)
    return;
  instance_go (instance);
  if (step == STEP_RESTART)
    instance_come_back (instance);
}

static void
on_step (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  take_step (watcher->data);
}

/* --- Control --- */

static void
freeze (struct fl_instance *instance, bool frozen)
{
  instance->is_frozen = frozen;
  if (!frozen)
    da_drop_all (instance->frozen);
}

/* VIA: the instance whose port the command came through, or NULL.  */
static void
obey (struct fl_instance *instance, const json_t *command,
      const struct fl_instance *via)
{
  const struct fl_params *params = &instance->fleet->params;

  freeze (instance, ja_flag (command, "frozen", instance->is_frozen));
  if (ja_flag (command, "gone", false))
    instance->step = STEP_GO;
  else if (ja_flag (command, "restart", false))
    instance->step = STEP_RESTART;
  else if (ja_has (command, "gone"))
    instance_come_back (instance);
  params->control (params->ctx, instance, command);
  if (via == instance && instance->step != STEP_NONE)
    {
      ev_timer_stop (params->loop, &instance->timer);
      ev_timer_set (&instance->timer, ANSWER_GRACE_MS / 1000.0, 0.0);
      ev_timer_start (params->loop, &instance->timer);
    }
  else
    take_step (instance);
}

static guint
obey_by_name (struct fl_fleet *fleet, const char *name, const json_t *command,
              const struct fl_instance *via)
{
  struct fl_instance *instance;
  guint found = 0;
  guint i;

  for (i = 0; i < fleet->instances->len; i++)
    {
      instance = g_ptr_array_index (fleet->instances, i);
      if (strcmp (name, "*") != 0 && strcmp (name, fl_name (instance)) != 0)
        continue;
      obey (instance, command, via);
      found++;
    }
  return found;
}

static void
control (struct fl_fleet *fleet, struct hs_request *request,
         const struct fl_instance *via)
{
  json_t *command = ja_body (request);
  const char *name;

  if (command == NULL)
    return;
  name = ja_text (command, fleet->params.label, "");
  if (obey_by_name (fleet, name, command, via) > 0)
    ja_respond (request, 200, json_object ());
  else
    ja_error (request, 404, "not_found", "There is no instance of that name.");
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

  if (ja_is (request, "POST", "/control"))
    control (fleet, request, NULL);
  else if (ja_is (request, "GET", "/hosts"))
    list_instances (fleet, request);
  else
    ja_error (request, 404, "not_found", "There is no such call.");
}

static void
on_instance_request (void *ctx, struct hs_request *request)
{
  struct fl_instance *instance = ctx;
  const struct fl_params *params = &instance->fleet->params;

  if (ja_is (request, "POST", "/control"))
    control (instance->fleet, request, instance);
  else if (instance->is_frozen)
    da_hold (instance->frozen, request);
  else
    params->handle (params->ctx, instance, request);
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
  sn_listening (hs_port (fleet->control));
}

static void
instance_free (gpointer data)
{
  struct fl_instance *instance = data;

  ev_timer_stop (instance->fleet->params.loop, &instance->timer);
  instance_go (instance);
  da_free (instance->frozen);
  json_decref (instance->host);
  if (instance->reserved >= 0)
    close (instance->reserved);
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
  if (hs_create (&fleet->control, &server) != HS_OK)
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
  hs_free (fleet->control);
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
  instance->frozen = da_create (params->loop);
  ev_init (&instance->timer, on_step);
  instance->timer.data = instance;
  if (params->port != 0)
    instance->port = (uint16_t)(params->port + 1 + fleet->instances->len);
  instance->reserved = po_reserve (params->address, &instance->port);
  if (instance->reserved < 0 || instance_listen (instance) != FL_OK)
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
      rg_post (fleet->registration, json_incref (instance->host));
    }
  rg_flush (fleet->registration);
  if (!fleet->failed)
    sn_run (fleet->params.loop);
  return fleet->failed ? 1 : 0;
}

void
fl_set_state (struct fl_instance *instance, const char *state, bool listed)
{
  json_object_set_new (instance->host, "state", json_string (state));
  if (listed)
    rg_post (instance->fleet->registration, json_incref (instance->host));
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
fl_label (const char *prefix, uint32_t number, uint32_t last)
{
  int digits = last < 100 ? 2 : last < 1000 ? 3 : last < 10000 ? 4 : 5;

  return g_strdup_printf ("%s%0*u", prefix, digits, number);
}
