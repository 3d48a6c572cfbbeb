/* Listens, checks callers' keys and routes requests to queues.  */

#include "front.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "front_private.h"

static const char PART[] = "front";
static const uint64_t MIB = UINT64_C (1024) * 1024;

enum
{
  INTERNAL_CONNECTIONS_MAX = 16, /* readiness checks and metrics */
  /* A host whose catalog is older than this reports that it is not ready.  */
  READY_CATALOG_AGE_MAX_MS = 1900,
  /* The catalog is used up to this percentage of key_validity_ms, by which a
     revoked key must be refused.  */
  CATALOG_AGE_MAX_PERCENT = 60,
  SHED_LOG_INTERVAL_MS = 1000,
  /* Of the host's memory, for all that is allocated; the rest is for the
     program and for free pieces of the heap.  */
  ALLOCATED_MAX_PERCENT = 70,
  RETRY_AFTER_S = 1
};

/* --- Relaying to the planner's host --- */

static void dispatch (struct front *front, struct hs_request *request,
                      bool at_planner);

static void
on_planner_answered (void *ctx, struct hs_request *request,
                     const struct rl_answer *answer)
{
  struct front *front = ctx;

  /* It did not answer, or did not know what this host knows: nothing was done
     there, and the request is served here.  */
  if (answer->status == 0 || fr_is_outdated_refusal (front, answer))
    dispatch (front, request, true);
  else
    fr_answer_relayed (front, request, answer);
}

/* While the store is slow, relays the request to the planner's host, which
   need not read back what it has written: that saves callers two round trips
   to the store.  Returns whether the request has been relayed.  */
static bool
relay_to_planner_host (struct front *front, struct hs_request *request)
{
  struct journal *journal = front->params.journal;
  const char *address;

  if (!jr_store_is_slow (journal))
    return false;
  address = jr_planner_address (journal, front->params.settings->host);
  return address != NULL
         && fr_relay (front, request, address, on_planner_answered);
}

/* --- Requests --- */

const struct ct_queue *
fr_route (const struct front *front, const struct hs_request *request,
          const char **rest)
{
  const struct ct_catalog *catalog = jr_catalog (front->params.journal);
  const char *host = hs_header (request, "Host");

  return catalog == NULL ? NULL
                         : ct_route_request (catalog, host == NULL ? "" : host,
                                             hs_path (request), rest);
}

const char *
fr_job_id (const struct hs_request *request)
{
  const char *path = hs_path (request);
  size_t length = strlen (path);
  const char *id = path + length - MIN (length, JB_ID_DIGITS);

  return jb_id_valid (id) ? id : NULL;
}

static void
dispatch_method (struct front *front, struct hs_request *request,
                 const struct ct_queue *queue, const struct ct_team *team,
                 const char *rest)
{
  const char *method = hs_method (request);

  if (strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0)
    fr_submit (front, request, queue, team, rest);
  else if (strcmp (method, "DELETE") == 0)
    fr_cancel (front, request, rest);
  else if (strcmp (method, "GET") == 0)
    fr_answer_state (front, request, rest);
  else
    fr_answer_error (front, request, "unknown", 405, "no such method");
}

int64_t
fr_catalog_age_max_ms (const struct front *front)
{
  return (int64_t)front->params.settings->key_validity_ms
         * CATALOG_AGE_MAX_PERCENT / 100;
}

int64_t
fr_known_catalog_version (const struct front *front)
{
  return MAX (front->relayed_catalog_version,
              jr_newest_catalog_version (front->params.journal));
}

bool
fr_catalog_is_current (const struct front *front, struct hs_request *request)
{
  const struct journal *journal = front->params.journal;
  int64_t min_version = MAX (fr_known_catalog_version (front),
                             rl_min_catalog_version (request));

  return jr_catalog_age_ms (journal) <= fr_catalog_age_max_ms (front)
         && jr_catalog (journal)->version >= min_version;
}

/* --- Callers that keep no limits --- */

bool
fr_submits (const struct hs_request *request)
{
  const char *method = hs_method (request);

  return strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0;
}

/* A body is kept for a submission that may be accepted; all other requests
   have their answer without it.  */
static bool
is_body_needed (void *ctx, struct hs_request *request)
{
  struct front *front = ctx;
  const struct ct_catalog *catalog = jr_catalog (front->params.journal);
  const char *key = hs_header (request, front->params.dialect.key_header);
  const struct ct_queue *queue;
  const char *rest = "";

  if (!fr_submits (request))
    return false;
  if (catalog == NULL || !fr_catalog_is_current (front, request))
    return true;
  queue = fr_route (front, request, &rest);
  return queue != NULL && jb_id_valid (rest)
         && (queue->keyless
             || (key != NULL && ct_team_of_key (catalog, key) != NULL));
}

static bool
is_body_never_needed (void *ctx, struct hs_request *request)
{
  (void)ctx;
  (void)request;
  return false;
}

static void
on_shed (void *ctx, enum hs_shed why)
{
  static const char *const names[HS_SHED_COUNT] = {
    [HS_SHED_MEMORY] = "memory", [HS_SHED_CONNECTIONS] = "connections",
    [HS_SHED_EARLY] = "early",   [HS_SHED_ENDLESS] = "endless",
    [HS_SHED_UNREAD] = "unread",
  };
  struct front *front = ctx;
  int64_t now_ms = clk_monotonic_ms (NULL);
  char name[64];

  g_snprintf (name, sizeof name, "foxtailgap_callers_shed_total{why=\"%s\"}",
              names[why]);
  mt_add (front->params.metrics, name, 1);
  if (front->shed_log_ms != 0
      && now_ms - front->shed_log_ms < SHED_LOG_INTERVAL_MS)
    return;
  front->shed_log_ms = now_ms;
  lg_warning (PART, "Callers are refused or closed.", "why", names[why],
              "held_bytes", lg_number ((long long)front->budget.held_bytes),
              NULL);
}

/* Answers a request whose body was not kept when it was not needed, and is
   needed now, by a newer catalog.  Returns whether it did.  */
static bool
refuse_without_body (struct front *front, struct hs_request *request)
{
  if (!fr_submits (request) || !hs_body_left_out (request))
    return false;
  fr_answer_retry_later (front, request, "submit", 503, RETRY_AFTER_S,
                         "the configuration has just changed: not accepted");
  return true;
}

/* AT_PLANNER: the planner's host has been tried, so that the request is not
   relayed to it again.  */
static void
dispatch (struct front *front, struct hs_request *request, bool at_planner)
{
  struct journal *journal = front->params.journal;
  const struct ct_catalog *catalog = jr_catalog (journal);
  const char *key = hs_header (request, front->params.dialect.key_header);
  const char *rest = "";
  const struct ct_queue *queue = fr_route (front, request, &rest);
  const struct ct_team *team;

  team = key == NULL ? NULL : ct_team_of_key (catalog, key);
  if (!fr_catalog_is_current (front, request))
    {
      if (refuse_without_body (front, request))
        return;
      if (at_planner || !relay_to_planner_host (front, request))
        fr_relay_to_any_host (front, request, "any");
    }
  else if (queue == NULL)
    fr_answer_error (front, request, "any", 404, "no such queue");
  else if (!queue->keyless && team == NULL)
    fr_answer_error (front, request, "any", 401, "the key is not known");
  else if (rest[0] == '\0' && strcmp (hs_method (request), "GET") == 0)
    fr_answer_queue_length (front, request, queue);
  else if (!jb_id_valid (rest))
    fr_answer_error (front, request, "unknown", 404, "no such job id");
  else if (fr_is_decided (front, request, rest)
           || !(refuse_without_body (front, request)
                || (!at_planner && relay_to_planner_host (front, request))))
    dispatch_method (front, request, queue, team, rest);
}

void
fr_dispatch (struct front *front, struct hs_request *request)
{
  dispatch (front, request, false);
}

static void
on_request (void *ctx, struct hs_request *request)
{
  struct front *front = ctx;

  if (fr_catalog_is_known (front))
    fr_dispatch (front, request);
  else
    fr_defer_until_catalog_known (front, request);
}

static void
on_readiness (void *ctx, struct hs_request *request)
{
  struct front *front = ctx;
  bool ready = front->reports_ready && jr_ever_loaded (front->params.journal)
               && jr_catalog_age_ms (front->params.journal)
                      < READY_CATALOG_AGE_MAX_MS;

  if (strcmp (hs_path (request), front->params.dialect.ready_path) != 0)
    hs_respond (request, 404, NULL, 0, "", 0);
  else
    hs_respond (request, ready ? 200 : 503, NULL, 0, "", 0);
}

static void
update_gauges (struct front *front)
{
  struct mt_registry *metrics = front->params.metrics;
  struct journal *journal = front->params.journal;
  const struct ct_catalog *catalog = jr_catalog (journal);

  mt_set (metrics, "foxtailgap_jobs_age_ms", jr_jobs_age_ms (journal));
  mt_set (metrics, "foxtailgap_catalog_age_ms", jr_catalog_age_ms (journal));
  mt_set (metrics, "foxtailgap_catalog_version",
          catalog == NULL ? -1 : catalog->version);
  mt_set (metrics, "foxtailgap_term", (int64_t)jr_term (journal)->term);
  mt_set (metrics, "foxtailgap_jobs",
          g_hash_table_size (jr_job_table (journal)->jobs));
  mt_set (metrics, "foxtailgap_open_writes", jr_open_writes (journal));
  mt_set (metrics, "foxtailgap_caller_bytes",
          (int64_t)front->budget.held_bytes);
  mt_set (metrics, "foxtailgap_log_lines_left_out",
          (int64_t)lg_dropped_lines ());
}

static void
on_metrics (void *ctx, struct hs_request *request)
{
  struct front *front = ctx;
  char *text;

  update_gauges (front);
  text = mt_render (front->params.metrics);

  hs_respond (request, 200, NULL, 0, text, strlen (text));
  g_free (text);
}

/* --- The front --- */

static struct hs_server *
listen_on (struct front *front, const char *address, uint32_t connections,
           hs_handler handler, hs_body_needed body_needed)
{
  char *host = g_strdup (address);
  char *colon = strrchr (host, ':');
  struct hs_server *server = NULL;
  struct hs_params params = {
    .loop = front->params.loop,
    .address = host,
    .connection_limit = connections,
    .body_limit_bytes = front->params.settings->body_limit_bytes,
    .receive_timeout_ms = front->params.settings->receive_timeout_ms,
    .handler = handler,
    .ctx = front,
    .budget = &front->budget,
    .body_needed = body_needed,
    .on_shed = on_shed,
  };

  *colon = '\0';
  params.port = (uint16_t)g_ascii_strtoull (colon + 1, NULL, 10);
  if (hs_create (&server, &params) != HS_OK)
    {
      lg_error (PART, "Cannot listen on an address; the host does not start.",
                "address", address, NULL);
      server = NULL;
    }
  g_free (host);
  return server;
}

struct front *
fr_create (const struct fr_params *params)
{
  struct front *front = g_new0 (struct front, 1);
  const struct hostd_settings *settings = params->settings;
  struct rl_params relay
      = { .loop = params->loop,
          .journal = params->journal,
          .host = settings->host,
          .key_header = params->dialect.key_header,
          .deadline_header = params->dialect.deadline_header };

  front->params = *params;
  front->reports_ready = true;
  front->relayed_catalog_version = -1;
  hb_init (&front->budget, (uint64_t)settings->caller_memory_mb * MIB);
  hb_set_ceiling (&front->budget, (uint64_t)settings->memory_mb * MIB / 100
                                      * ALLOCATED_MAX_PERCENT);
  fr_early_requests_init (front);
  front->relayed_jobs = fr_relayed_jobs_create ();
  front->relay = rl_create (&relay);
  front->readiness
      = listen_on (front, settings->readiness, INTERNAL_CONNECTIONS_MAX,
                   on_readiness, is_body_never_needed);
  front->metrics
      = listen_on (front, settings->metrics, INTERNAL_CONNECTIONS_MAX,
                   on_metrics, is_body_never_needed);
  front->callers
      = listen_on (front, settings->callers, settings->connection_limit,
                   on_request, is_body_needed);
  if (front->relay == NULL || front->readiness == NULL
      || front->metrics == NULL || front->callers == NULL)
    {
      fr_free (front);
      return NULL;
    }
  return front;
}

void
fr_free (struct front *front)
{
  if (front == NULL)
    return;
  if (front->callers != NULL)
    hs_free (front->callers);
  if (front->readiness != NULL)
    hs_free (front->readiness);
  if (front->metrics != NULL)
    hs_free (front->metrics);
  fr_early_requests_clear (front);
  fr_relayed_jobs_free (front->relayed_jobs);
  rl_free (front->relay);
  g_free (front);
}

void
fr_report_not_ready (struct front *front)
{
  front->reports_ready = false;
}

void
fr_stop_accepting (struct front *front)
{
  hs_stop_accepting (front->callers);
}

uint32_t
fr_open_requests (const struct front *front)
{
  return hs_open_requests (front->callers);
}
