/* Queries to the placement advisor.  The advisor evaluates the calls of a host
   one after the other and refuses calls while 32 wait.  So only a few queries
   are in flight at a time, and the others wait here.  */

#include "advisor.h"

#include "common/clock.h"
#include "common/logging.h"

static const char PART[] = "advisor";

enum
{
  /* Two, so that the advisor has the next call once it has evaluated one.  */
  QUERIES_IN_FLIGHT_MAX = 2,
  /* In addition to the advisor's time for the calls in flight.  */
  ANSWER_TIMEOUT_MS = 600
};

struct pending_query
{
  struct advisor *advisor; /* NULL: freed */
  /* Of `advisor` when the query was submitted.  */
  uint64_t generation;
  struct sd_advisor_query *query; /* owned */
  int64_t sent_ms;
};

struct advisor
{
  struct av_params params;
  /* Grows when a term ends; answers to queries of an earlier generation are
     ignored.  */
  uint64_t generation;
  GQueue waiting;        /* struct pending_query */
  GHashTable *in_flight; /* struct pending_query, as a set */
};

static void
pending_query_free (void *data)
{
  struct pending_query *pending = data;

  sd_advisor_query_free (pending->query);
  g_free (pending);
}

static void send_next (struct advisor *advisor);

static const char *
result_name (enum ap_result result)
{
  switch (result)
    {
    case AP_DONE:
      return "done";
    case AP_BUSY:
      return "busy";
    case AP_NO_ANSWER:
      return "silent";
    }
  return "?";
}

static void
on_answer (void *ctx, const struct ap_answer *answer)
{
  struct pending_query *pending = ctx;
  struct advisor *advisor = pending->advisor;
  const struct sd_advisor_query *query = pending->query;
  char name[80];

  if (advisor == NULL)
    {
      pending_query_free (pending);
      return;
    }
  g_hash_table_remove (advisor->in_flight, pending);
  g_snprintf (name, sizeof name, "foxtailgap_advice_total{result=\"%s\"}",
              result_name (answer->result));
  mt_add (advisor->params.metrics, name, 1);
  lg_info (PART, "The advisor has been asked.", "step", query->step, "workers",
           lg_number ((long long)g_strv_length (query->workers)), "allowed",
           lg_number ((long long)answer->allowed_count), "result",
           result_name (answer->result), "took_ms",
           lg_number (clk_monotonic_ms (NULL) - pending->sent_ms), NULL);
  if (pending->generation == advisor->generation)
    advisor->params.answered (advisor->params.ctx, query, answer);
  pending_query_free (pending);
  send_next (advisor);
}

static uint32_t
timeout_ms (const struct sd_advisor_query *query)
{
  uint32_t evaluation_ms
      = query->advice_call_ms
        + g_strv_length (query->workers) * query->advice_per_worker_ms;

  return ANSWER_TIMEOUT_MS + QUERIES_IN_FLIGHT_MAX * evaluation_ms;
}

static void
send_next (struct advisor *advisor)
{
  const struct ap_port *port = &advisor->params.port;

  while (g_hash_table_size (advisor->in_flight) < QUERIES_IN_FLIGHT_MAX
         && !g_queue_is_empty (&advisor->waiting))
    {
      struct pending_query *pending = g_queue_pop_head (&advisor->waiting);
      const struct sd_advisor_query *query = pending->query;

      pending->sent_ms = clk_monotonic_ms (NULL);
      g_hash_table_add (advisor->in_flight, pending);
      port->query (port->ctx, query->step, (const char *const *)query->workers,
                   timeout_ms (query), on_answer, pending);
    }
}

void
av_submit_query (struct advisor *advisor, struct sd_advisor_query *query)
{
  struct pending_query *pending = g_new0 (struct pending_query, 1);

  pending->advisor = advisor;
  pending->generation = advisor->generation;
  pending->query = query;
  if (advisor->params.port.query == NULL)
    {
      struct ap_answer none = { .result = AP_NO_ANSWER };

      lg_warning (
          PART,
          "A queue needs a placement advisor, but the settings name none.",
          "step", query->step, NULL);
      advisor->params.answered (advisor->params.ctx, query, &none);
      pending_query_free (pending);
      return;
    }
  g_queue_push_tail (&advisor->waiting, pending);
  send_next (advisor);
}

void
av_drop_queries (struct advisor *advisor)
{
  advisor->generation++;
  g_queue_clear_full (&advisor->waiting, pending_query_free);
}

struct advisor *
av_create (const struct av_params *params)
{
  struct advisor *advisor = g_new0 (struct advisor, 1);

  advisor->params = *params;
  g_queue_init (&advisor->waiting);
  advisor->in_flight = g_hash_table_new (NULL, NULL);
  return advisor;
}

void
av_free (struct advisor *advisor)
{
  GHashTableIter iter;
  void *pending;

  if (advisor == NULL)
    return;
  av_drop_queries (advisor);
  g_hash_table_iter_init (&iter, advisor->in_flight);
  while (g_hash_table_iter_next (&iter, &pending, NULL))
    ((struct pending_query *)pending)->advisor = NULL;
  g_hash_table_destroy (advisor->in_flight);
  g_free (advisor);
}
