/* Answers to callers, and requests that another host answers.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "front_private.h"
#include "sched/retry.h"

static const char PART[] = "front";

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

void
fr_answer (struct front *front, struct hs_request *request, const char *what,
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

void
fr_answer_error (struct front *front, struct hs_request *request,
                 const char *what, unsigned int status, const char *text)
{
  char *body = g_strdup_printf ("{\"error\":\"%s\"}", text);

  log_refusal (request, what, status, 0, text);
  fr_answer (front, request, what, status, body);
  g_free (body);
}

/* What has not run is told so, with when to come back.  */
void
fr_answer_later (struct front *front, struct hs_request *request,
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

void
fr_relayed (void *ctx, struct hs_request *request, unsigned int status,
            const char *retry_after, const char *body)
{
  struct front *front = ctx;
  struct hs_header headers[]
      = { { .name = "Content-Type", .value = "application/json" },
          { .name = "Retry-After", .value = retry_after } };

  if (status == 0)
    {
      fr_answer_later (front, request, "relayed", 503,
                       retry_after_s (front, request),
                       "the store is out of reach: not accepted");
      return;
    }
  front->relayed_ms = clk_monotonic_ms (NULL);
  count (front, "relayed", status);
  hs_respond (request, status, headers, retry_after == NULL ? 1 : 2, body,
              strlen (body));
}

/* This host cannot serve the request now: another host may.  */
void
fr_pass_on (struct front *front, struct hs_request *request, const char *what)
{
  if (!rl_pass_on (front->relay, request, NULL, fr_relayed, front))
    fr_answer_later (front, request, what, 503, retry_after_s (front, request),
                     "the store is out of reach: not accepted");
}
