/* Front task: serves callers and operators over HTTP.  This file has the table
   of endpoints, the calls that are answered later, and the task's messages. */

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "front.h"

const char FR_PART[] = "front";

enum
{
  STATUS_NOT_FOUND = 404,
  STATUS_BAD_METHOD = 405
};

/* --- Small helpers --- */

void
fr_new_id (char id[FR_ID_SIZE_BYTES])
{
  unsigned int i;

  for (i = 0; i < 4; i++)
    g_snprintf (id + (gsize)i * 8, 9, "%08x", g_random_int ());
}

bool
fr_parse_number (const char *text, uint64_t limit, uint64_t *value)
{
  guint64 number;

  if (!g_ascii_string_to_unsigned (text, 10, 0, limit, &number, NULL))
    return false;
  *value = number;
  return true;
}

bool
fr_name_valid (const char *name)
{
  size_t size = strlen (name);
  size_t i;

  if (size == 0 || size > FR_NAME_LIMIT_BYTES)
    return false;
  for (i = 0; i < size; i++)
    if (!g_ascii_isgraph (name[i]) || name[i] == '/')
      return false;
  return true;
}

/* --- Calls that are answered later --- */

struct fr_call *
fr_call_create (struct front_task *task, struct hs_request *http)
{
  struct fr_call *call = g_new0 (struct fr_call, 1);

  call->task = task;
  call->http = http;
  call->token = ++task->last_token;
  ev_init (&call->wait_timer, NULL);
  g_hash_table_insert (task->calls, &call->token, call);
  return call;
}

static void
stop_waiting (struct fr_call *call)
{
  GHashTable *waiting = call->task->waiting_calls;
  GPtrArray *list = g_hash_table_lookup (waiting, call->id);

  g_ptr_array_remove_fast (list, call);
  if (list->len == 0)
    g_hash_table_remove (waiting, call->id);
}

void
fr_call_free (struct fr_call *call)
{
  ev_timer_stop (call->task->daemon->loop, &call->wait_timer);
  if (call->is_waiting)
    stop_waiting (call);
  if (call->forwarded_call != NULL)
    hc_cancel (call->forwarded_call);
  g_hash_table_remove (call->task->calls, &call->token);
  g_free (call->id);
  g_free (call->digest);
  g_free (call->team);
  g_free (call->service);
  g_free (call);
}

void
fr_append (struct fr_call *call, const Ft__Record *record, uint32_t timeout_ms,
           fr_appended_handler handler)
{
  struct msg_append *append = g_new0 (struct msg_append, 1);

  call->append_handler = handler;
  append->record = *record;
  append->timeout_ms = timeout_ms;
  append->reply = call->task->box;
  append->token = call->token;
  mb_post (call->task->daemon->state, MSG_APPEND, append);
}

/* --- Endpoints --- */

typedef void (*endpoint_handler) (struct front_task *task,
                                  struct hs_request *http, const char *rest);

struct endpoint
{
  const char *method;
  const char *path; /* a prefix if it ends with '/' */
  endpoint_handler handler;
};

static const struct endpoint endpoints[] = {
  { "POST", "/v1/services/", fr_post_request },
  { "GET", "/v1/requests/", fr_get_request },
  { "POST", "/v1/jobs", fr_post_job },
  { "GET", "/v1/jobs", fr_list_jobs },
  { "GET", "/v1/jobs/", fr_get_job },
  { "DELETE", "/v1/jobs/", fr_delete_job },
  { "GET", "/v1/config", fr_get_config },
  { "POST", "/v1/config", fr_post_config },
  { "GET", "/v1/config/history", fr_get_history },
  { "GET", "/v1/status", fr_get_status },
  { "GET", "/v1/workers", fr_get_workers },
  { "GET", "/v1/explain/", fr_get_explain },
  { "GET", "/v1/placement", fr_get_placement },
  { "GET", "/v1/burn", fr_get_burn },
  { "PUT", "/v1/log-level", fr_put_log_level },
  { "GET", "/metrics", fr_get_metrics },
  { "GET", "/healthz", fr_get_health },
  { "GET", "/readyz", fr_get_ready },
};

/* Returns the path after the endpoint's own; NULL if the path is another
   endpoint's.  */
static const char *
match_path (const struct endpoint *endpoint, const char *path)
{
  size_t size = strlen (endpoint->path);

  if (endpoint->path[size - 1] != '/')
    return strcmp (path, endpoint->path) == 0 ? "" : NULL;
  if (strncmp (path, endpoint->path, size) != 0 || path[size] == '\0')
    return NULL;
  return path + size;
}

static void
dispatch_request (void *ctx, struct hs_request *http)
{
  struct front_task *task = ctx;
  const char *path = hs_path (http);
  bool path_known = false;
  const char *rest;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (endpoints); i++)
    {
      rest = match_path (&endpoints[i], path);
      if (rest == NULL)
        continue;
      path_known = true;
      if (strcmp (hs_method (http), endpoints[i].method) != 0)
        continue;
      endpoints[i].handler (task, http, rest);
      return;
    }
  if (path_known)
    fr_respond_error (http, STATUS_BAD_METHOD, "bad_method",
                      "The path does not take this method.", NULL, 0);
  else
    fr_respond_error (http, STATUS_NOT_FOUND, "unknown_path",
                      "There is nothing at this path.", NULL, 0);
}

/* --- Messages --- */

static void
configure_feasibility_model (struct front_task *task)
{
  const struct env_document *document = task->config->document;
  struct place_team *teams = env_to_place_teams (document);

  place_configure (task->feasibility_model, teams, document->teams_count);
  env_free_place_teams (teams, document->teams_count);
}

static void
on_config (struct front_task *task, struct msg_config *config)
{
  msg_free (MSG_CONFIG, task->config);
  task->config = config;
  configure_feasibility_model (task);
  fr_burn_configure (task);
  lg_info (FR_PART, "A configuration is in force.", "revision",
           lg_number ((long long)config->revision), "author", config->author,
           NULL);
}

static bool
is_live_worker (const struct hl_list *list, const char *name)
{
  const struct hl_host *host
      = list == NULL ? NULL : hl_find (list, HL_WORKER, name);

  return host != NULL && !host->leaving;
}

static void
on_hosts (struct front_task *task, struct hl_list *hosts)
{
  struct hl_list *before = task->hosts;
  size_t i;

  for (i = 0; before != NULL && i < before->host_count; i++)
    if (before->hosts[i].kind == HL_WORKER
        && !is_live_worker (hosts, before->hosts[i].name))
      place_worker_down (task->feasibility_model, before->hosts[i].name);
  for (i = 0; i < hosts->host_count; i++)
    {
      const struct hl_host *host = &hosts->hosts[i];
      struct place_worker worker = hl_to_place_worker (host);

      if (host->kind == HL_WORKER && !host->leaving)
        place_worker_up (task->feasibility_model, &worker);
    }
  hl_unref (before);
  task->hosts = hosts;
}

static void
on_appended (struct front_task *task, const struct msg_appended *appended)
{
  struct fr_call *call = g_hash_table_lookup (task->calls, &appended->token);

  if (call != NULL)
    call->append_handler (call, appended);
}

static void
on_job (struct front_task *task, struct st_job *job)
{
  const struct st_job *before = g_hash_table_lookup (task->jobs, job->id);

  if (before == NULL || !fr_job_has_ended (before))
    fr_burn_count_job (task, job);
  g_hash_table_replace (task->jobs, job->id, job);
  fr_on_job_changed (task, job);
}

static void
on_term (struct front_task *task, const struct msg_term *term)
{
  task->term = term->term;
  g_free (task->planner_host);
  task->planner_host = g_strdup (term->holder);
}

static void
on_shutdown (struct front_task *task)
{
  task->stopping = true;
  hs_stop_accepting (task->server);
}

static void
on_message (void *ctx, int kind, void *body)
{
  struct front_task *task = ctx;

  switch ((enum msg_kind)kind)
    {
    case MSG_CONFIG:
      on_config (task, body);
      return;
    case MSG_JOB:
      on_job (task, body);
      return;
    case MSG_KEY_CLAIM:
      g_hash_table_replace (task->claims, ((struct st_claim *)body)->key,
                            body);
      return;
    case MSG_HOSTS:
      on_hosts (task, body);
      return;
    case MSG_MEMBERS:
      msg_free (MSG_MEMBERS, task->members);
      task->members = body;
      return;
    case MSG_KEY_CLAIM_DROPPED:
      g_hash_table_remove (task->claims, body);
      break;
    case MSG_JOB_DROPPED:
      g_hash_table_remove (task->jobs, body);
      break;
    case MSG_CONFIG_HISTORY:
      fr_on_history (task, body);
      break;
    case MSG_PLANNER_QUERY:
      fr_on_planner_answer (task, body);
      break;
    case MSG_TERM:
      on_term (task, body);
      break;
    case MSG_LOG_STATUS:
      task->log = *(struct msg_log_status *)body;
      break;
    case MSG_APPENDED:
      on_appended (task, body);
      break;
    case MSG_SERVICE_ANSWER:
      fr_on_answer (task, body);
      break;
    case MSG_SHUTDOWN:
      on_shutdown (task);
      break;
    default:
      break;
    }
  msg_free (kind, body);
}

/* --- Life cycle --- */

static void
free_job (gpointer data)
{
  st_job_unref (data);
}

static void
free_claim (gpointer data)
{
  st_claim_unref (data);
}

static void
free_list (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

static uint32_t
random_number (void *ctx)
{
  (void)ctx;
  return g_random_int ();
}

static void
subscribe (struct front_task *task)
{
  struct msg_subscribe *subscribe = g_new0 (struct msg_subscribe, 1);

  subscribe->box = task->box;
  subscribe->terms = true;
  subscribe->configs = true;
  subscribe->jobs = true;
  subscribe->claims = true;
  subscribe->log = true;
  mb_post (task->daemon->state, MSG_SUBSCRIBE, subscribe);
}

static bool
start_server (struct front_task *task)
{
  const struct settings *settings = task->daemon->settings;
  struct hs_params params
      = { .loop = task->daemon->loop,
          .address = settings->callers.address,
          .port = settings->callers.port,
          .connection_limit = settings->connection_limit,
          .body_limit_bytes = settings->body_limit_bytes,
          .receive_timeout_ms = settings->receive_timeout_ms,
          .handler = dispatch_request,
          .ctx = task };

  if (hs_create (&task->server, &params) != HS_OK)
    {
      lg_error (
          FR_PART,
          "Cannot listen on the callers' port; the daemon does not start.",
          "address", settings->callers.address, "port",
          lg_number (settings->callers.port), NULL);
      return false;
    }
  task->daemon->callers_port = hs_port (task->server);
  return true;
}

uint16_t
front_port (const struct front_task *task)
{
  return hs_port (task->server);
}

uint32_t
front_open_requests (const struct front_task *task)
{
  return hs_open_requests (task->server);
}

struct front_task *
front_create (struct daemon *daemon)
{
  struct front_task *task = g_new0 (struct front_task, 1);
  struct place_params feasibility_model = { .policy = &place_policy_guarantee,
                                            .attempt_limit = 1,
                                            .quarantine_failures = 3,
                                            .quarantine_ms = 1000,
                                            .now_ms = clk_monotonic_ms,
                                            .random = random_number };
  struct hc_params http = { .loop = daemon->loop };

  task->daemon = daemon;
  task->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  task->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  task->claims
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_claim);
  task->waiting_calls
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_list);
  task->request_burn = bn_create ();
  task->job_burn = bn_create ();
  task->box = mb_create (daemon->loop, on_message, msg_free, task);
  daemon->front = task->box;
  if (hc_create (&task->http, &http) != HC_OK
      || place_create (&task->feasibility_model, &feasibility_model)
             != PLACE_OK
      || !start_server (task))
    {
      front_free (task);
      return NULL;
    }
  subscribe (task);
  return task;
}

void
front_free (struct front_task *task)
{
  GHashTableIter iter;
  gpointer value;

  if (task == NULL)
    return;
  hs_free (task->server);
  hc_free (task->http);
  g_hash_table_iter_init (&iter, task->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct fr_call *call = value;

      ev_timer_stop (task->daemon->loop, &call->wait_timer);
      g_free (call->id);
      g_free (call->digest);
      g_free (call);
    }
  g_hash_table_destroy (task->calls);
  g_hash_table_destroy (task->waiting_calls);
  g_hash_table_destroy (task->jobs);
  g_hash_table_destroy (task->claims);
  place_free (task->feasibility_model);
  bn_free (task->request_burn);
  bn_free (task->job_burn);
  msg_free (MSG_CONFIG, task->config);
  msg_free (MSG_MEMBERS, task->members);
  hl_unref (task->hosts);
  g_free (task->planner_host);
  mb_free (task->box);
  g_free (task);
}
