/* The callers' interface.  */

#include "front.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "http/http_server.h"
#include "relay.h"
#include "sched/retry.h"

static const char PART[] = "front";

enum
{
  INNER_CONNECTIONS = 16, /* readiness checks and metrics */
  /* What is known of jobs is told as current for this long; the platform's
     bound for what callers see is 3 s.  */
  JOBS_AGE_MAX_MS = 2000,
  /* A host that has not heard of the operator for this long takes no new
     callers.  */
  READY_AGE_MAX_MS = 1900,
  DEADLINE_DEFAULT_MS = 3000,
  DEADLINE_MIN_MS = 200,
  DEADLINE_MAX_MS = 12000,
  /* Left for the answer to reach the caller.  */
  DEADLINE_MARGIN_MS = 150,
  /* A key is trusted for this part of the time in which one that was taken
     away must be refused.  */
  KEY_AGE_PERCENT = 60,
  FRESH_TIMEOUT_MS = 1200, /* a pause, a wait and a slow answer */
  SLOW_STORE_MS = 60,      /* an answer takes 4 to 10 ms on a calm day */
  RETRY_AFTER_STORE_S = 1  /* the store is looked for several times a second */
};

struct front
{
  struct fr_params params;
  struct hs_server *callers;
  struct hs_server *readiness;
  struct hs_server *metrics;
  struct relay *relay;
  bool taking;
};

/* A write that a caller waits for.  */
struct pending
{
  struct front *front;
  struct hs_request *request; /* NULL: the caller has left */
  uint64_t ticket;
  char id[JB_ID_DIGITS + 1];
  const char *what; /* "submit" or "cancel" */
  int64_t since_ms;
};

/* --- Answers --- */

static void
count (struct front *front, const char *what, unsigned int status)
{
  char name[96];

  g_snprintf (name, sizeof name,
              "foxtailgap_calls_total{call=\"%s\",status=\"%u\"}", what,
              status);
  mt_add (front->params.metrics, name, 1);
}

static void
answer (struct front *front, struct hs_request *request, const char *what,
        unsigned int status, const char *body)
{
  struct hs_header headers[]
      = { { .name = "Content-Type", .value = "application/json" } };

  count (front, what, status);
  hs_respond (request, status, headers, G_N_ELEMENTS (headers), body,
              strlen (body));
}

static void
log_refusal (const struct hs_request *request, const char *what,
             unsigned int status, uint32_t after_s, const char *reason)
{
  lg_info (PART, "A call is refused.", "path", hs_path (request), "what", what,
           "status", lg_number (status), "reason", reason, "after_s",
           lg_number (after_s), NULL);
}

static void
answer_error (struct front *front, struct hs_request *request,
              const char *what, unsigned int status, const char *text)
{
  char *body = g_strdup_printf ("{\"error\":\"%s\"}", text);

  log_refusal (request, what, status, 0, text);
  answer (front, request, what, status, body);
  g_free (body);
}

/* What has not run is told so, with when to come back.  */
static void
answer_later (struct front *front, struct hs_request *request,
              const char *what, unsigned int status, uint32_t after_s,
              const char *text)
{
  char *body = g_strdup_printf ("{\"error\":\"%s\"}", text);
  char *after = g_strdup_printf ("%u", after_s);
  struct hs_header headers[]
      = { { .name = "Content-Type", .value = "application/json" },
          { .name = "Retry-After", .value = after } };

  log_refusal (request, what, status, after_s, text);
  count (front, what, status);
  hs_respond (request, status, headers, G_N_ELEMENTS (headers), body,
              strlen (body));
  g_free (after);
  g_free (body);
}

/* --- Out of reach --- */

static uint32_t
retry_after_s (struct front *front, struct hs_request *request)
{
  const struct ct_catalog *catalog = jr_catalog (front->params.journal);
  const char *host = hs_header (request, "Host");
  const char *rest;
  const struct ct_queue *queue
      = catalog == NULL ? NULL
                        : ct_route (catalog, host == NULL ? "" : host,
                                    hs_path (request), &rest);

  return rt_after_s (jr_store_away_ms (front->params.journal),
                     queue == NULL ? 0 : queue->priority, g_random_int ());
}

static void
on_relayed (void *ctx, struct hs_request *request, unsigned int status,
            const char *retry_after, const char *body)
{
  struct front *front = ctx;
  struct hs_header headers[]
      = { { .name = "Content-Type", .value = "application/json" },
          { .name = "Retry-After", .value = retry_after } };

  if (status == 0)
    {
      answer_later (front, request, "relayed", 503,
                    retry_after_s (front, request),
                    "the store is out of reach: not accepted");
      return;
    }
  count (front, "relayed", status);
  hs_respond (request, status, headers, retry_after == NULL ? 1 : 2, body,
              strlen (body));
}

/* This host cannot serve the request now: another host may.  */
static void
pass_on (struct front *front, struct hs_request *request, const char *what)
{
  if (!rl_pass_on (front->relay, request, NULL, on_relayed, front))
    answer_later (front, request, what, 503, retry_after_s (front, request),
                  "the store is out of reach: not accepted");
}

/* --- Writes --- */

static void
on_caller_gone (void *ctx)
{
  struct pending *pending = ctx;

  pending->request = NULL;
}

static void
on_stored (void *ctx, enum jr_outcome outcome)
{
  struct pending *pending = ctx;
  struct front *front = pending->front;
  struct hs_request *request = pending->request;
  int64_t took_ms = clk_monotonic_ms (NULL) - pending->since_ms;

  mt_observe (front->params.metrics,
              outcome == JR_STORED ? "foxtailgap_store_ms"
                                   : "foxtailgap_store_failed_ms",
              (uint32_t)took_ms);
  lg_info (PART, "A caller's write has an outcome.", "job", pending->id,
           "what", pending->what, "outcome",
           outcome == JR_STORED       ? "stored"
           : outcome == JR_NOT_STORED ? "not stored"
                                      : "unknown",
           "took_ms", lg_number (took_ms), "caller",
           request == NULL ? "gone" : "waits", NULL);
  if (request != NULL)
    switch (outcome)
      {
      case JR_STORED:
        answer (front, request, pending->what, 200, "{}");
        break;
      case JR_NOT_STORED:
        hs_on_gone (request, NULL, NULL);
        pass_on (front, request, pending->what);
        break;
      case JR_UNKNOWN:
        answer_error (front, request, pending->what, 504,
                      "not known whether it is stored: ask again");
        break;
      }
  g_free (pending);
}

static uint32_t
time_left_ms (struct front *front, struct hs_request *request)
{
  const char *text
      = hs_header (request, front->params.dialect.deadline_header);
  int64_t deadline_ms
      = text == NULL ? DEADLINE_DEFAULT_MS : g_ascii_strtoll (text, NULL, 10);

  if (deadline_ms <= 0)
    deadline_ms = DEADLINE_DEFAULT_MS;
  return (uint32_t)CLAMP (deadline_ms - DEADLINE_MARGIN_MS, DEADLINE_MIN_MS,
                          DEADLINE_MAX_MS);
}

static struct pending *
wait_for_write (struct front *front, struct hs_request *request,
                const char *id, const char *what)
{
  struct pending *pending = g_new0 (struct pending, 1);

  pending->front = front;
  pending->request = request;
  pending->what = what;
  pending->since_ms = clk_monotonic_ms (NULL);
  g_strlcpy (pending->id, id, sizeof pending->id);
  hs_on_gone (request, on_caller_gone, pending);
  return pending;
}

/* --- Jobs --- */

static void
submit (struct front *front, struct hs_request *request,
        const struct ct_queue *queue, const struct ct_team *team,
        const char *id)
{
  const struct ct_catalog *catalog = jr_catalog (front->params.journal);
  struct jb_job *job = jb_table_find (jr_table (front->params.journal), id);
  struct jb_spec *spec = NULL;
  struct pending *pending;
  const char *wrong;
  const char *body;
  size_t size_bytes;

  if (job != NULL && job->spec != NULL)
    {
      answer (front, request, "submit", 200, "{}");
      return;
    }
  body = hs_body (request, &size_bytes);
  if (catalog->body_limit_bytes > 0 && size_bytes > catalog->body_limit_bytes)
    {
      answer_error (front, request, "submit", 413, "the body is too large");
      return;
    }
  if (front->params.dialect.decode_job (&spec, body, size_bytes) < 0)
    {
      answer_error (front, request, "submit", 400, "the job cannot be read");
      return;
    }
  wrong = jb_spec_check (spec);
  if (wrong != NULL)
    {
      answer_error (front, request, "submit", 400, wrong);
      goto done;
    }
  spec->queue = g_strdup (queue->name);
  spec->team = team == NULL ? NULL : g_strdup (team->name);
  spec->accepted_unix_ms = clk_unix_ms ();
  pending = wait_for_write (front, request, id, "submit");
  jr_submit (front->params.journal, id, spec, time_left_ms (front, request),
             on_stored, pending, &pending->ticket);

done:
  jb_spec_free (spec);
}

static void cancel (struct front *front, struct hs_request *request,
                    const char *id);

/* A job that is not known may have been handed in elsewhere just now: that
   there is none is said only after all of the topic has been read.  */
static void
on_fresh (void *ctx, bool fresh)
{
  struct pending *pending = ctx;
  struct front *front = pending->front;
  struct hs_request *request = pending->request;

  if (request == NULL)
    goto done;
  hs_on_gone (request, NULL, NULL);
  if (!fresh)
    pass_on (front, request, "cancel");
  else if (jb_table_find (jr_table (front->params.journal), pending->id)
           == NULL)
    answer_error (front, request, "cancel", 410, "no such job");
  else
    cancel (front, request, pending->id);

done:
  g_free (pending);
}

static void
cancel (struct front *front, struct hs_request *request, const char *id)
{
  struct journal *journal = front->params.journal;
  struct jb_job *job = jb_table_find (jr_table (journal), id);
  struct pending *pending;

  if (job == NULL)
    {
      pending = wait_for_write (front, request, id, "cancel");
      jr_when_fresh (journal, FRESH_TIMEOUT_MS, on_fresh, pending);
      return;
    }
  if (jb_state_is_final (job->shown))
    {
      answer (front, request, "cancel", 200, "{}");
      return;
    }
  pending = wait_for_write (front, request, id, "cancel");
  jr_cancel (journal, id, time_left_ms (front, request), on_stored, pending,
             &pending->ticket);
}

static void
tell_state (struct front *front, struct hs_request *request, const char *id)
{
  struct journal *journal = front->params.journal;
  struct jb_job *job = jb_table_find (jr_table (journal), id);
  char *body;

  if (job == NULL && jr_jobs_age_ms (journal) > JOBS_AGE_MAX_MS)
    {
      pass_on (front, request, "state");
      return;
    }
  if (job == NULL)
    {
      answer_error (front, request, "state", 410, "no such job");
      return;
    }
  body = front->params.dialect.encode_state (job->shown);
  answer (front, request, "state", 200, body);
  g_free (body);
}

static void
tell_waiting (struct front *front, struct hs_request *request,
              const struct ct_queue *queue)
{
  GHashTableIter iter;
  void *value;
  uint32_t jobs = 0;
  char *body;

  g_hash_table_iter_init (&iter, jr_table (front->params.journal)->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_job *job = value;

      if (!job->begun && !jb_state_is_final (job->shown) && job->queue != NULL
          && strcmp (job->queue, queue->name) == 0)
        jobs++;
    }
  body = front->params.dialect.encode_waiting (jobs);
  answer (front, request, "queue", 200, body);
  g_free (body);
}

/* --- A slow store --- */

static void dispatch (struct front *front, struct hs_request *request,
                      bool at_planner);

static void
on_planner_answered (void *ctx, struct hs_request *request,
                     unsigned int status, const char *retry_after,
                     const char *body)
{
  struct front *front = ctx;

  if (status == 0)
    dispatch (front, request, true); /* it could not be asked */
  else
    on_relayed (front, request, status, retry_after, body);
}

/* With a slow store the planner's host is asked itself: it needs not read what
   it has written, which saves callers two answers of the store.  */
static bool
ask_planner (struct front *front, struct hs_request *request)
{
  struct journal *journal = front->params.journal;
  const char *address;

  if (jr_answer_ms (journal) < SLOW_STORE_MS)
    return false;
  address = jr_planner_address (journal, front->params.settings->host);
  return address != NULL
         && rl_pass_on (front->relay, request, address, on_planner_answered,
                        front);
}

/* --- Requests --- */

static void
dispatch_method (struct front *front, struct hs_request *request,
                 const struct ct_queue *queue, const struct ct_team *team,
                 const char *rest)
{
  const char *method = hs_method (request);

  if (strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0)
    submit (front, request, queue, team, rest);
  else if (strcmp (method, "DELETE") == 0)
    cancel (front, request, rest);
  else if (strcmp (method, "GET") == 0)
    tell_state (front, request, rest);
  else
    answer_error (front, request, "unknown", 405, "no such method");
}

/* AT_PLANNER: the planner's host has been tried, or it is this one.  */
static void
dispatch (struct front *front, struct hs_request *request, bool at_planner)
{
  struct journal *journal = front->params.journal;
  const struct ct_catalog *catalog = jr_catalog (journal);
  const char *host = hs_header (request, "Host");
  const char *key = hs_header (request, front->params.dialect.key_header);
  const struct ct_queue *queue;
  const struct ct_team *team;
  const char *rest = "";
  int64_t key_age_max_ms = (int64_t)front->params.settings->key_validity_ms
                           * KEY_AGE_PERCENT / 100;

  queue
      = ct_route (catalog, host == NULL ? "" : host, hs_path (request), &rest);
  team = key == NULL ? NULL : ct_team_of_key (catalog, key);
  if (queue == NULL)
    answer_error (front, request, "any", 404, "no such queue");
  else if (!queue->open && jr_catalog_age_ms (journal) > key_age_max_ms)
    pass_on (front, request, "any"); /* keys cannot be checked now */
  else if (!queue->open && team == NULL)
    answer_error (front, request, "any", 401, "the key is not known");
  else if (rest[0] == '\0' && strcmp (hs_method (request), "GET") == 0)
    tell_waiting (front, request, queue);
  else if (!jb_id_valid (rest))
    answer_error (front, request, "unknown", 404, "no such job id");
  else if (at_planner || !ask_planner (front, request))
    dispatch_method (front, request, queue, team, rest);
}

static void
on_request (void *ctx, struct hs_request *request)
{
  struct front *front = ctx;

  if (!jr_loaded (front->params.journal))
    answer_later (front, request, "any", 503, RETRY_AFTER_STORE_S,
                  "no configuration yet");
  else
    dispatch (front, request, false);
}

static void
on_readiness (void *ctx, struct hs_request *request)
{
  struct front *front = ctx;
  bool ready = front->taking && jr_loaded (front->params.journal)
               && jr_catalog_age_ms (front->params.journal) < READY_AGE_MAX_MS;

  if (strcmp (hs_path (request), front->params.dialect.ready_path) != 0)
    hs_respond (request, 404, NULL, 0, "", 0);
  else
    hs_respond (request, ready ? 200 : 503, NULL, 0, "", 0);
}

static void
tell_gauges (struct front *front)
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
          g_hash_table_size (jr_table (journal)->jobs));
  mt_set (metrics, "foxtailgap_open_writes", jr_open_writes (journal));
  mt_set (metrics, "foxtailgap_log_lines_left_out", (int64_t)lg_left_out ());
}

static void
on_metrics (void *ctx, struct hs_request *request)
{
  struct front *front = ctx;
  char *text;

  tell_gauges (front);
  text = mt_render (front->params.metrics);

  hs_respond (request, 200, NULL, 0, text, strlen (text));
  g_free (text);
}

/* --- The front --- */

static struct hs_server *
listen_on (struct front *front, const char *address, uint32_t connections,
           hs_handler handler)
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
  };

  *colon = '\0';
  params.port = (uint16_t)g_ascii_strtoull (colon + 1, NULL, 10);
  if (hs_create (&server, &params) != HS_OK)
    {
      lg_error (PART, "An address cannot be listened on.", "address", address,
                NULL);
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
  front->taking = true;
  front->relay = rl_create (&relay);
  front->readiness = listen_on (front, settings->readiness, INNER_CONNECTIONS,
                                on_readiness);
  front->metrics
      = listen_on (front, settings->metrics, INNER_CONNECTIONS, on_metrics);
  front->callers = listen_on (front, settings->callers,
                              settings->connection_limit, on_request);
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
  rl_free (front->relay);
  g_free (front);
}

void
fr_stop_taking (struct front *front)
{
  front->taking = false;
}

void
fr_close (struct front *front)
{
  hs_stop_accepting (front->callers);
}

uint32_t
fr_open_requests (const struct front *front)
{
  return hs_open_requests (front->callers);
}
