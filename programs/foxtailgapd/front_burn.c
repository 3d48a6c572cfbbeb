/* Front task: counts the outcomes of requests and jobs, for the report on how
   much of their error budgets the objectives have used.  A request is counted
   by the host that answers it; a job by every host, from the folded state.  */

#include "common/clock.h"
#include "front.h"

enum
{
  STATUS_OK = 200,
  STATUS_SERVER_ERROR = 500
};

void
fr_burn_configure (struct front_task *task)
{
  const struct env_document *document = task->config->document;
  struct bn_objective *objectives
      = g_new0 (struct bn_objective, document->objectives_count + 1);
  size_t i;

  for (i = 0; i < document->objectives_count; i++)
    objectives[i] = (struct bn_objective){
      .team = document->objectives[i].team,
      .kind = document->objectives[i].kind,
      .latency_ms = document->objectives[i].latency_ms,
      .success_permille = document->objectives[i].success_permille,
    };
  bn_configure (task->request_burn, objectives, document->objectives_count);
  bn_configure (task->job_burn, objectives, document->objectives_count);
  g_free (objectives);
}

void
fr_burn_count_request (struct fr_call *call,
                       const struct msg_service_answer *answer)
{
  bool ok = answer->state == MSG_ANSWER_FINISHED
            && answer->status < STATUS_SERVER_ERROR;

  bn_count_outcome (
      call->task->request_burn, call->team, call->service, clk_unix_ms (),
      (uint64_t)(clk_monotonic_ms (NULL) - call->started_ms), ok);
}

/* A job that its caller cancelled, or that was refused because it could never
   run, uses no error budget.  */
void
fr_burn_count_job (struct front_task *task, const struct st_job *job)
{
  if (job->state != ST_JOB_FINISHED && job->state != ST_JOB_FAILED)
    return;
  bn_count_outcome (task->job_burn, job->spec->team, job->spec->kind,
                    job->changed_ms,
                    (uint64_t)MAX (job->changed_ms - job->submitted_ms, 0),
                    job->state == ST_JOB_FINISHED);
}

/* --- Report --- */

struct report
{
  json_t *list;
  const char *source;
};

static void
add_objective (void *ctx, const struct bn_objective *objective,
               const struct bn_counts counts[BN_WINDOWS])
{
  struct report *report = ctx;
  json_t *windows = json_array ();
  size_t i;

  for (i = 0; i < BN_WINDOWS; i++)
    json_array_append_new (
        windows, json_pack ("{s:i, s:I, s:I}", "minutes",
                            (int)bn_window_minutes ((enum bn_window)i), "good",
                            (json_int_t)counts[i].good, "bad",
                            (json_int_t)counts[i].bad));
  json_array_append_new (
      report->list,
      json_pack ("{s:s, s:s, s:s, s:i, s:i, s:o}", "team", objective->team,
                 "kind", objective->kind, "source", report->source,
                 "latency_ms", (int)objective->latency_ms, "success_permille",
                 (int)objective->success_permille, "windows", windows));
}

void
fr_get_burn (struct front_task *task, struct hs_request *http,
             const char *rest)
{
  struct report report = { .list = json_array () };

  (void)rest;
  report.source = "requests";
  bn_each_objective (task->request_burn, clk_unix_ms (), add_objective,
                     &report);
  report.source = "jobs";
  bn_each_objective (task->job_burn, clk_unix_ms (), add_objective, &report);
  fr_respond_json (http, STATUS_OK,
                   json_pack ("{s:s, s:I, s:o}", "host",
                              task->daemon->settings->host, "offset",
                              (json_int_t)task->log.next_offset, "objectives",
                              report.list));
}
