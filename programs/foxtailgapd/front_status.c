/* Front task: status, workers, metrics, health and the log level.  */

#include <string.h>

#include "common/logging.h"
#include "front.h"

enum
{
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  STATUS_UNAVAILABLE = 503
};

static json_t *
members_json (const struct front_task *task)
{
  json_t *list = json_array ();
  size_t i;

  for (i = 0; task->members != NULL && i < task->members->member_count; i++)
    {
      const struct msg_member *member = &task->members->members[i];
      bool self = i == task->members->self;

      json_array_append_new (
          list,
          json_pack (
              "{s:s, s:I, s:I, s:i}", "host", member->host, "revision",
              (json_int_t)(self && task->config != NULL
                               ? task->config->revision
                               : member->revision),
              "offset",
              (json_int_t)(self ? task->log.next_offset : member->next_offset),
              "in_flight", (int)member->in_flight));
    }
  return list;
}

void
fr_get_status (struct front_task *task, struct hs_request *http,
               const char *rest)
{
  const struct msg_config *config = task->config;

  (void)rest;
  fr_respond_json (
      http, STATUS_OK,
      json_pack (
          "{s:s, s:I, s:s, s:I, s:s, s:I, s:b, s:b, s:o}", "host",
          task->daemon->settings->host, "revision",
          (json_int_t)(config == NULL ? 0 : config->revision), "digest",
          config == NULL ? "" : config->digest, "term", (json_int_t)task->term,
          "planner", task->planner_host == NULL ? "" : task->planner_host,
          "offset", (json_int_t)task->log.next_offset, "log_up", task->log.up,
          "caught_up", task->log.caught_up, "hosts", members_json (task)));
}

void
fr_get_workers (struct front_task *task, struct hs_request *http,
                const char *rest)
{
  json_t *list = json_array ();
  size_t i;

  (void)rest;
  for (i = 0; task->hosts != NULL && i < task->hosts->host_count; i++)
    {
      const struct hl_host *host = &task->hosts->hosts[i];

      if (host->kind != HL_WORKER)
        continue;
      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i}", "worker",
                     host->name, "rack", host->rack, "data_centre",
                     host->data_centre, "state",
                     host->leaving ? "leaving" : "live", "cpus_milli",
                     (int)host->cpus_milli, "memory_mb", (int)host->memory_mb,
                     "accelerators", (int)host->accelerators));
    }
  fr_respond_json (http, STATUS_OK, json_pack ("{s:o}", "workers", list));
}

void
fr_get_metrics (struct front_task *task, struct hs_request *http,
                const char *rest)
{
  struct hs_header type = { "Content-Type", "text/plain; version=0.0.4" };
  struct mt_registry *metrics = task->daemon->metrics;
  char *text;

  (void)rest;
  mt_set (metrics, "foxtailgap_config_revision",
          task->config == NULL ? 0 : (int64_t)task->config->revision);
  mt_set (metrics, "foxtailgap_log_up", task->log.up);
  mt_set (metrics, "foxtailgap_log_next_offset",
          (int64_t)task->log.next_offset);
  mt_set (metrics, "foxtailgap_term", (int64_t)task->term);
  mt_set (metrics, "foxtailgap_jobs_known", g_hash_table_size (task->jobs));
  text = mt_render (metrics);
  hs_respond (http, STATUS_OK, &type, 1, text, strlen (text));
  g_free (text);
}

void
fr_get_health (struct front_task *task, struct hs_request *http,
               const char *rest)
{
  (void)task;
  (void)rest;
  fr_respond_json (http, STATUS_OK, json_pack ("{s:s}", "health", "ok"));
}

/* Ready means that a load balancer may send callers to this host.  */
void
fr_get_ready (struct front_task *task, struct hs_request *http,
              const char *rest)
{
  const char *reason = NULL;

  (void)rest;
  if (task->stopping)
    reason = "This host is shutting down.";
  else if (task->config == NULL)
    reason = "No configuration is known yet.";
  if (reason == NULL)
    fr_respond_json (http, STATUS_OK, json_pack ("{s:b}", "ready", 1));
  else
    fr_respond_error (http, STATUS_UNAVAILABLE, "not_ready", reason, NULL, 0);
}

void
fr_put_log_level (struct front_task *task, struct hs_request *http,
                  const char *rest)
{
  size_t size_bytes;
  const char *body = hs_body (http, &size_bytes);
  json_t *value = json_loadb (body, size_bytes, 0, NULL);
  const char *level = json_string_value (json_object_get (value, "level"));

  (void)task;
  (void)rest;
  if (level != NULL && lg_set_level (level))
    fr_respond_json (http, STATUS_OK, json_pack ("{s:s}", "level", level));
  else
    fr_respond_error (http, STATUS_BAD_REQUEST, "bad_request",
                      "The field level must be debug, info, warning or error.",
                      NULL, 0);
  json_decref (value);
}
