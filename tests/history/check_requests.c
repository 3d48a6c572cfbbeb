/* Checks of requests to upstreams.  */

#include "checks.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "standins/common/json_answer.h"

/* The events of one request.  */
struct request
{
  char *label; /* for messages */
  bool not_repeatable;
  GArray *sent_ms;             /* int64_t, ascending */
  GArray *not_run_reports_ms;  /* int64_t: when it was reported as not run */
  GPtrArray *runs;             /* struct hi_event *, borrowed */
  GPtrArray *answers;          /* struct hi_event *, borrowed */
  GPtrArray *finished_reports; /* struct hi_event *, borrowed */
};

/* Events of tests name a request by the digest of its body or by its id.
   Events of upstreams have both, and are added to both tables.  */
struct requests
{
  GHashTable *by_body;
  GHashTable *by_id;
};

static void
request_free (gpointer data)
{
  struct request *request = data;

  g_free (request->label);
  g_array_free (request->sent_ms, TRUE);
  g_array_free (request->not_run_reports_ms, TRUE);
  g_ptr_array_free (request->runs, TRUE);
  g_ptr_array_free (request->answers, TRUE);
  g_ptr_array_free (request->finished_reports, TRUE);
  g_free (request);
}

static struct request *
find_or_add_request (GHashTable *table, const char *key, const char *kind)
{
  struct request *request = g_hash_table_lookup (table, key);

  if (request != NULL)
    return request;
  request = g_new0 (struct request, 1);
  request->label = g_strdup_printf ("%s %s", kind, key);
  request->sent_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  request->not_run_reports_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  request->runs = g_ptr_array_new ();
  request->answers = g_ptr_array_new ();
  request->finished_reports = g_ptr_array_new ();
  g_hash_table_insert (table, g_strdup (key), request);
  return request;
}

/* @return : the request that a test's event names, NULL if it names none.  */
static struct request *
request_of_test_event (const struct requests *requests,
                       const struct hi_event *event)
{
  const char *body = hi_text (event, "body");
  const char *id = hi_text (event, "request");

  if (body != NULL)
    return find_or_add_request (requests->by_body, body, "body");
  if (id != NULL)
    return find_or_add_request (requests->by_id, id, "request");
  return NULL;
}

static void
add_sent (const struct requests *requests, const struct hi_event *event)
{
  struct request *request = request_of_test_event (requests, event);

  if (request == NULL)
    return;
  g_array_append_val (request->sent_ms, event->t_ms);
  if (!ja_flag (event->line, "repeatable", true))
    request->not_repeatable = true;
}

/* A body may be sent again, under another id, after its request was reported
   as not run.  The report therefore applies to the id if the event has one. */
static void
add_not_run (const struct requests *requests, const struct hi_event *event)
{
  const char *id = hi_text (event, "request");
  struct request *request
      = id != NULL ? find_or_add_request (requests->by_id, id, "request")
                   : request_of_test_event (requests, event);

  if (request != NULL)
    g_array_append_val (request->not_run_reports_ms, event->t_ms);
}

static void
add_reported_outcome (const struct requests *requests,
                      const struct hi_event *event)
{
  const char *state = hi_text (event, "state");
  struct request *request;

  if (g_strcmp0 (state, "not_run") == 0)
    add_not_run (requests, event);
  if (g_strcmp0 (state, "finished") != 0)
    return;
  request = request_of_test_event (requests, event);
  if (request != NULL)
    g_ptr_array_add (request->finished_reports, (gpointer)event);
}

static void
add_upstream_event (const struct requests *requests,
                    const struct hi_event *event)
{
  const char *body = hi_text (event, "body");
  const char *id = hi_text (event, "request");
  bool run = strcmp (event->what, "run") == 0;
  struct request *request;

  if (body != NULL)
    {
      request = find_or_add_request (requests->by_body, body, "body");
      g_ptr_array_add (run ? request->runs : request->answers,
                       (gpointer)event);
    }
  if (id != NULL && id[0] != '\0')
    {
      request = find_or_add_request (requests->by_id, id, "request");
      g_ptr_array_add (run ? request->runs : request->answers,
                       (gpointer)event);
    }
}

static char *
join_sources (const GPtrArray *events)
{
  GString *names = g_string_new (NULL);
  const struct hi_event *event;
  guint i;

  for (i = 0; i < events->len; i++)
    {
      event = g_ptr_array_index (events, i);
      g_string_append_printf (names, "%s%s", i == 0 ? "" : ", ", event->who);
    }
  return g_string_free (names, FALSE);
}

static void
check_at_most_once (const struct request *request, struct re_report *report)
{
  char *names;

  if (!request->not_repeatable)
    return;
  re_count_checked (report, RE_CHECK_AT_MOST_ONCE);
  if (request->runs->len <= 1)
    return;
  names = join_sources (request->runs);
  re_add_violation (report, RE_CHECK_AT_MOST_ONCE, "%s ran %u times, on %s",
                    request->label, request->runs->len, names);
  g_free (names);
}

/* Sets the interval, from FROM_MS to before UNTIL_MS, whose runs belong to the
   report of TIME_MS: from the last sending up to that time to the next
   sending. All earlier sendings of a non-repeatable request count as the same
   request, so that its interval has no lower bound.  */
static void
find_send_interval (const struct request *request, int64_t time_ms,
                    int64_t *from_ms, int64_t *until_ms)
{
  int64_t sent_ms;
  guint i;

  *from_ms = INT64_MIN;
  *until_ms = INT64_MAX;
  for (i = 0; i < request->sent_ms->len; i++)
    {
      sent_ms = g_array_index (request->sent_ms, int64_t, i);
      if (sent_ms > time_ms)
        *until_ms = MIN (*until_ms, sent_ms);
      else if (!request->not_repeatable)
        *from_ms = sent_ms;
    }
}

static void
check_not_run (const struct request *request, struct re_report *report,
               int64_t reported_ms)
{
  const struct hi_event *run;
  int64_t from_ms;
  int64_t until_ms;
  guint i;

  re_count_checked (report, RE_CHECK_NOT_RUN);
  find_send_interval (request, reported_ms, &from_ms, &until_ms);
  for (i = 0; i < request->runs->len; i++)
    {
      run = g_ptr_array_index (request->runs, i);
      if (run->t_ms >= from_ms && run->t_ms < until_ms)
        re_add_violation (report, RE_CHECK_NOT_RUN,
                          "%s was told not to have run, and ran on %s",
                          request->label, run->who);
    }
}

static void
check_runs (const struct request *request, struct re_report *report)
{
  guint i;

  check_at_most_once (request, report);
  for (i = 0; i < request->not_run_reports_ms->len; i++)
    check_not_run (request, report,
                   g_array_index (request->not_run_reports_ms, int64_t, i));
}

static bool
has_answer (const struct request *request, const char *digest)
{
  const struct hi_event *event;
  guint i;

  for (i = 0; i < request->answers->len; i++)
    {
      event = g_ptr_array_index (request->answers, i);
      if (g_strcmp0 (hi_text (event, "answer"), digest) == 0)
        return true;
    }
  return false;
}

static void
check_answers (const struct request *request, struct re_report *report)
{
  const struct hi_event *event;
  const char *digest;
  guint i;

  for (i = 0; i < request->finished_reports->len; i++)
    {
      event = g_ptr_array_index (request->finished_reports, i);
      digest = hi_text (event, "answer");
      re_count_checked (report, RE_CHECK_ANSWERS);
      if (request->runs->len == 0)
        re_add_violation (report, RE_CHECK_ANSWERS,
                          "%s was told to have finished, and did not run",
                          request->label);
      else if (digest != NULL && !has_answer (request, digest))
        re_add_violation (report, RE_CHECK_ANSWERS,
                          "%s got the answer %s, which no upstream gave to it",
                          request->label, digest);
    }
}

static void
check_all_requests (GHashTable *table, struct re_report *report)
{
  GHashTableIter iter;
  gpointer request;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    {
      check_runs (request, report);
      check_answers (request, report);
    }
}

static GHashTable *
create_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, request_free);
}

void
ch_check_requests (const struct hi_history *history, struct re_report *report)
{
  struct requests requests
      = { .by_body = create_table (), .by_id = create_table () };
  const struct hi_event *event;
  guint i;

  for (i = 0; i < history->events->len; i++)
    {
      event = hi_get (history, i);
      if (strcmp (event->what, "run") == 0
          || strcmp (event->what, "answer") == 0)
        add_upstream_event (&requests, event);
      else if (strcmp (event->what, "sent") == 0)
        add_sent (&requests, event);
      else if (strcmp (event->what, "told") == 0)
        add_reported_outcome (&requests, event);
    }
  check_all_requests (requests.by_body, report);
  check_all_requests (requests.by_id, report);
  g_hash_table_destroy (requests.by_body);
  g_hash_table_destroy (requests.by_id);
}
