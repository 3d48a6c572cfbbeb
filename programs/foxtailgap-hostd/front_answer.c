/* Answers callers, and relays requests to other hosts.  */

#include <string.h>

#include "common/logging.h"
#include "front_private.h"
#include "sched/retry.h"

static const char PART[] = "front";

enum
{
  ANSWER_HEADERS = 3
};

/* --- Answers --- */

static void
count_call (struct front *front, const char *what, unsigned int status)
{
  char name[96];

  g_snprintf (name, sizeof name,
              "foxtailgap_calls_total{call=\"%s\",status=\"%u\"}", what,
              status);
  mt_add (front->params.metrics, name, 1);
}

/* The answer to a relayed request names the catalog version that it is made
   of.  RETRY_AFTER: in seconds; NULL: no such header.  */
static void
respond (struct front *front, struct hs_request *request, unsigned int status,
         const char *retry_after, const char *body)
{
  const struct ct_catalog *catalog = jr_catalog (front->params.journal);
  struct hs_header headers[ANSWER_HEADERS]
      = { { .name = "Content-Type", .value = "application/json" } };
  char version[24];
  size_t count = 1;

  if (retry_after != NULL)
    headers[count++]
        = (struct hs_header){ .name = "Retry-After", .value = retry_after };
  if (catalog != NULL && rl_is_relayed (request))
    {
      g_snprintf (version, sizeof version, "%" G_GINT64_FORMAT,
                  catalog->version);
      headers[count++]
          = (struct hs_header){ .name = RL_HEADER_VERSION, .value = version };
    }
  hs_respond (request, status, headers, count, body, strlen (body));
}

void
fr_answer (struct front *front, struct hs_request *request, const char *what,
           unsigned int status, const char *body)
{
  count_call (front, what, status);
  respond (front, request, status, NULL, body);
}

static void
log_refusal (const struct front *front, const struct hs_request *request,
             const char *what, unsigned int status, uint32_t after_s,
             const char *reason)
{
  const struct journal *journal = front->params.journal;
  const struct ct_catalog *catalog = jr_catalog (journal);

  lg_info (PART, "A call is refused.", "path", hs_path (request), "what", what,
           "status", lg_number (status), "reason", reason, "after_s",
           lg_number (after_s), "catalog_version",
           lg_number (catalog == NULL ? -1 : catalog->version),
           "catalog_age_ms", lg_number (jr_catalog_age_ms (journal)), NULL);
}

void
fr_answer_error (struct front *front, struct hs_request *request,
                 const char *what, unsigned int status, const char *text)
{
  char *body = g_strdup_printf ("{\"error\":\"%s\"}", text);

  log_refusal (front, request, what, status, 0, text);
  fr_answer (front, request, what, status, body);
  g_free (body);
}

static bool
submits_stored_job (struct front *front, const struct hs_request *request)
{
  const char *id = fr_job_id (request);

  return fr_submits (request) && id != NULL && fr_is_stored (front, id);
}

static void
answer_not_known (struct front *front, struct hs_request *request,
                  const char *what)
{
  fr_answer_error (front, request, what, 504,
                   "it cannot be answered now: ask again");
}

void
fr_answer_retry_later (struct front *front, struct hs_request *request,
                       const char *what, unsigned int status, uint32_t after_s,
                       const char *text)
{
  char *body;
  char *after;

  if (submits_stored_job (front, request))
    {
      answer_not_known (front, request, what);
      return;
    }
  body = g_strdup_printf ("{\"error\":\"%s\"}", text);
  after = g_strdup_printf ("%u", after_s);
  log_refusal (front, request, what, status, after_s, text);
  count_call (front, what, status);
  respond (front, request, status, after, body);
  g_free (after);
  g_free (body);
}

/* --- Relaying --- */

static uint32_t
retry_after_s (struct front *front, struct hs_request *request)
{
  const char *rest;
  const struct ct_queue *queue = fr_route (front, request, &rest);

  return rt_retry_after_s (jr_store_unreachable_ms (front->params.journal),
                           queue == NULL ? 0 : queue->priority,
                           g_random_int ());
}

bool
fr_relay (struct front *front, struct hs_request *request, const char *address,
          rl_callback callback)
{
  return rl_relay (front->relay, request, address,
                   fr_known_catalog_version (front), callback, front);
}

bool
fr_is_outdated_refusal (const struct front *front,
                        const struct rl_answer *answer)
{
  bool refused = answer->status == 503
                 || (answer->status >= 400 && answer->status < 500);

  return refused && answer->catalog_version < fr_known_catalog_version (front);
}

/* Refuses a request that neither this host nor another one can serve now.  */
static void
refuse_for_now (struct front *front, struct hs_request *request,
                const char *what, const char *reason)
{
  fr_answer_retry_later (front, request, what, 503,
                         retry_after_s (front, request), reason);
}

void
fr_answer_relayed (void *ctx, struct hs_request *request,
                   const struct rl_answer *answer)
{
  struct front *front = ctx;

  if (answer->status == 0)
    {
      refuse_for_now (front, request, "relayed",
                      "the store is out of reach: not accepted");
      return;
    }
  if (fr_is_outdated_refusal (front, answer))
    {
      refuse_for_now (front, request, "relayed",
                      "another host has an older configuration: not accepted");
      return;
    }
  front->relayed_catalog_version
      = MAX (front->relayed_catalog_version, answer->catalog_version);
  if (fr_answer_newer_state (front, request, answer))
    return;
  if (answer->status == 503 && submits_stored_job (front, request))
    {
      answer_not_known (front, request, "relayed");
      return;
    }
  count_call (front, "relayed", answer->status);
  respond (front, request, answer->status, answer->retry_after, answer->body);
}

void
fr_relay_to_any_host (struct front *front, struct hs_request *request,
                      const char *what)
{
  if (fr_relay (front, request, NULL, fr_answer_relayed))
    return;
  refuse_for_now (front, request, what,
                  fr_catalog_is_current (front, request)
                      ? "the store is out of reach: not accepted"
                      : "no current configuration: not accepted");
}
