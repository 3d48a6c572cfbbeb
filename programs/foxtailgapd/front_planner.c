/* Front task: queries that only the planner's host can answer.  Any other host
   forwards the query to it.  A forwarded query is not forwarded again, so that
   hosts that disagree about the planner cannot send it in circles.  */

#include <stdio.h>
#include <string.h>

#include "front.h"

enum
{
  STATUS_OK = 200,
  STATUS_UNAVAILABLE = 503,
  FORWARD_TIMEOUT_MS = 2000,
  FORWARD_ANSWER_LIMIT_BYTES = 1024 * 1024,
  RETRY_AFTER_MS = 1000
};

static const char FORWARDED_HEADER[] = "Foxtailgap-Forwarded: yes";

static void
respond_json_text (struct hs_request *http, unsigned int status,
                   const char *text, size_t size_bytes)
{
  struct hs_header type = { "Content-Type", "application/json" };

  hs_respond (http, status, &type, 1, text, size_bytes);
}

static void
answer_no_planner (struct hs_request *http)
{
  fr_respond_error (http, STATUS_UNAVAILABLE, "no_planner",
                    "No planner can be reached now.", NULL, RETRY_AFTER_MS);
}

/* --- Forwarding --- */

/* Returns NULL if the planner is not known, is no member, or is this host.  */
static const struct msg_member *
find_planner_member (const struct front_task *task)
{
  size_t i;

  for (i = 0; task->members != NULL && i < task->members->member_count; i++)
    if (i != task->members->self && task->planner_host != NULL
        && strcmp (task->members->members[i].host, task->planner_host) == 0)
      return &task->members->members[i];
  return NULL;
}

static void
on_forwarded_response (void *ctx, const struct hc_response *response)
{
  struct fr_call *call = ctx;

  call->forwarded_call = NULL;
  if (response->error != HC_OK)
    answer_no_planner (call->http);
  else
    respond_json_text (call->http, (unsigned int)response->status,
                       response->body, response->body_size_bytes);
  fr_call_free (call);
}

static void
forward_to_planner (struct fr_call *call)
{
  struct front_task *task = call->task;
  const struct msg_member *planner = find_planner_member (task);
  const char *headers[] = { FORWARDED_HEADER, NULL };
  struct hc_request request
      = { .method = "GET",
          .headers = headers,
          .timeout_ms = FORWARD_TIMEOUT_MS,
          .connect_timeout_ms = FORWARD_TIMEOUT_MS,
          .response_limit_bytes = FORWARD_ANSWER_LIMIT_BYTES,
          .callback = on_forwarded_response,
          .ctx = call };
  char *url;

  if (planner == NULL
      || hs_header (call->http, "Foxtailgap-Forwarded") != NULL)
    {
      answer_no_planner (call->http);
      fr_call_free (call);
      return;
    }
  url = g_strdup_printf ("http://%s:%u%s", planner->address, planner->port,
                         hs_path (call->http));
  request.url = url;
  if (hc_send (task->http, &request, &call->forwarded_call) != HC_OK)
    {
      answer_no_planner (call->http);
      fr_call_free (call);
    }
  g_free (url);
}

/* --- Querying the planner task of this host --- */

void
fr_on_planner_answer (struct front_task *task,
                      const struct msg_planner_query *query)
{
  struct fr_call *call = g_hash_table_lookup (task->calls, &query->token);

  if (call == NULL)
    return;
  if (query->answer == NULL)
    {
      forward_to_planner (call);
      return;
    }
  respond_json_text (call->http, STATUS_OK, query->answer,
                     strlen (query->answer));
  fr_call_free (call);
}

static void
on_caller_gone (void *ctx)
{
  fr_call_free (ctx);
}

/* JOB NULL: about all placement.  */
static void
query_planner (struct front_task *task, struct hs_request *http,
               const char *job)
{
  struct fr_call *call = fr_call_create (task, http);
  struct msg_planner_query *query = g_new0 (struct msg_planner_query, 1);

  hs_on_disconnect (http, on_caller_gone, call);
  query->reply = task->box;
  query->token = call->token;
  query->job = g_strdup (job);
  mb_post (task->daemon->planner, MSG_PLANNER_QUERY, query);
}

static void
answer_ended (struct hs_request *http, const struct st_job *job)
{
  char *text = g_strdup_printf (
      "The job is over: %s%s%s.", st_job_state_name (job->state),
      job->reason[0] == '\0' ? "" : "; ", job->reason);

  fr_respond_json (http, STATUS_OK,
                   json_pack ("{s:s, s:s}", "job", job->id, "text", text));
  g_free (text);
}

void
fr_get_explain (struct front_task *task, struct hs_request *http,
                const char *rest)
{
  const struct st_job *job = g_hash_table_lookup (task->jobs, rest);

  if (job == NULL || !fr_job_has_ended (job))
    query_planner (task, http, rest);
  else
    answer_ended (http, job);
}

void
fr_get_placement (struct front_task *task, struct hs_request *http,
                  const char *rest)
{
  (void)rest;
  query_planner (task, http, NULL);
}
