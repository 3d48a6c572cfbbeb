/* ls_encode () and ls_decode (): JSON bodies of the worker's interface.  */

#include "lease/lease.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

static const struct
{
  const char *code;
  int error;
} error_codes[] = {
  { "stale_term", LS_ERR_STALE_TERM },
  { "busy", LS_ERR_BUSY },
  { "no_lease", LS_ERR_NO_LEASE },
  { "ended", LS_ERR_ATTEMPT_OVER },
};

enum
{
  STATUS_OK = 200,
  STATUS_CLIENT_ERROR = 400,
  STATUS_SERVER_ERROR = 500
};

const char *
ls_path (enum ls_kind kind)
{
  switch (kind)
    {
    case LS_LEASE:
      return "/lease";
    case LS_START:
      return "/start";
    case LS_RENEW:
      return "/renew";
    case LS_STOP:
      return "/stop";
    case LS_CHECKPOINT:
      return "/checkpoint";
    }
  return "/";
}

/* ===== Requests =============================================== */

static void
set_number (json_t *object, const char *name, uint64_t value)
{
  json_object_set_new (object, name, json_integer ((json_int_t)value));
}

static void
set_text (json_t *object, const char *name, const char *value)
{
  json_object_set_new (object, name, json_string (value));
}

static json_t *
encode_tasks (const struct ls_request *request)
{
  json_t *tasks = json_array ();
  size_t i;

  for (i = 0; i < request->task_count; i++)
    {
      const struct ls_task *task = &request->tasks[i];
      json_t *item = json_object ();

      set_number (item, "task", task->task);
      set_number (item, "cpus_milli", task->cpus_milli);
      set_number (item, "memory_mb", task->memory_mb);
      set_number (item, "accelerators", task->accelerators);
      json_array_append_new (tasks, item);
    }
  return tasks;
}

static json_t *
encode_jobs (const struct ls_request *request)
{
  json_t *jobs = json_array ();
  size_t i;

  for (i = 0; i < request->renewed_attempt_count; i++)
    {
      json_t *pair = json_array ();

      json_array_append_new (pair,
                             json_string (request->renewed_attempts[i].job));
      json_array_append_new (
          pair, json_integer (request->renewed_attempts[i].attempt));
      json_array_append_new (jobs, pair);
    }
  return jobs;
}

/* The payload of the job, with the progress of earlier attempts added.
   Returns NULL if the payload is not a JSON object.  */
static json_t *
encode_payload (const struct ls_request *request)
{
  json_t *payload;

  if (request->payload == NULL || request->payload_size_bytes == 0)
    payload = json_object ();
  else
    payload
        = json_loadb (request->payload, request->payload_size_bytes, 0, NULL);
  if (!json_is_object (payload))
    {
      json_decref (payload);
      return NULL;
    }
  if (request->start_progress_ms > 0)
    set_number (payload, "start_at_ms", request->start_progress_ms);
  return payload;
}

char *
ls_encode (const struct ls_request *request)
{
  json_t *root = json_object ();
  json_t *payload;
  char *text = NULL;

  set_number (root, "term", request->term);
  if (request->kind != LS_RENEW)
    {
      set_text (root, "job", request->attempt.job);
      set_number (root, "attempt", request->attempt.attempt);
    }
  if (request->kind == LS_LEASE || request->kind == LS_RENEW)
    {
      set_text (root, "host", request->host);
      set_number (root, "ttl_ms", request->ttl_ms);
    }
  if (request->kind == LS_LEASE)
    json_object_set_new (root, "tasks", encode_tasks (request));
  if (request->kind == LS_RENEW)
    {
      set_number (root, "seen", request->acknowledged_seq);
      json_object_set_new (root, "jobs", encode_jobs (request));
    }
  if (request->kind == LS_STOP)
    set_number (root, "grace_ms", request->grace_ms);
  if (request->kind == LS_START)
    {
      payload = encode_payload (request);
      if (payload == NULL)
        goto done;
      json_object_set_new (root, "payload", payload);
    }
  text = json_dumps (root, JSON_COMPACT);

done:
  json_decref (root);
  return text;
}

/* ===== Answers ================================================ */

/* Reads a whole number that is not negative.  */
static bool
read_number (const json_t *object, const char *name, uint64_t *value)
{
  const json_t *item = json_object_get (object, name);

  if (!json_is_integer (item) || json_integer_value (item) < 0)
    return false;
  *value = (uint64_t)json_integer_value (item);
  return true;
}

static bool
read_number32 (const json_t *object, const char *name, uint32_t *value)
{
  uint64_t wide;

  if (!read_number (object, name, &wide) || wide > UINT32_MAX)
    return false;
  *value = (uint32_t)wide;
  return true;
}

static bool
read_bool (const json_t *object, const char *name, bool *value)
{
  const json_t *item = json_object_get (object, name);

  if (!json_is_boolean (item))
    return false;
  *value = json_boolean_value (item);
  return true;
}

/* A text that may be absent or null, and is then read as an empty text.
   Another type is an error.  */
static bool
read_optional_text (const json_t *object, const char *name, const char **value)
{
  const json_t *item = json_object_get (object, name);

  *value = "";
  if (item == NULL || json_is_null (item))
    return true;
  if (!json_is_string (item))
    return false;
  *value = json_string_value (item);
  return true;
}

static bool
read_attempt (const json_t *object, struct ls_attempt *attempt)
{
  attempt->job = json_string_value (json_object_get (object, "job"));
  return attempt->job != NULL
         && read_number32 (object, "attempt", &attempt->attempt);
}

static bool
read_pair (const json_t *pair, struct ls_attempt *attempt)
{
  json_int_t number = json_integer_value (json_array_get (pair, 1));

  attempt->job = json_string_value (json_array_get (pair, 0));
  if (attempt->job == NULL || !json_is_integer (json_array_get (pair, 1))
      || number < 0 || number > UINT32_MAX)
    return false;
  attempt->attempt = (uint32_t)number;
  return true;
}

static bool
read_event (const json_t *object, struct ls_task_end *event)
{
  const char *kind = json_string_value (json_object_get (object, "kind"));
  const json_t *lapsed = json_object_get (object, "lapsed");

  if (kind == NULL || strcmp (kind, "ended") != 0)
    return false;
  if (lapsed != NULL && !read_bool (object, "lapsed", &event->lapsed))
    return false;
  return read_number (object, "seq", &event->seq)
         && read_attempt (object, &event->attempt)
         && read_number32 (object, "task", &event->task)
         && read_bool (object, "ok", &event->ok)
         && read_optional_text (object, "detail", &event->detail)
         && read_optional_text (object, "output", &event->output);
}

static bool
read_usage (const json_t *object, struct ls_usage *usage)
{
  return read_attempt (object, &usage->attempt)
         && read_number32 (object, "task", &usage->task)
         && read_number32 (object, "cpus_milli", &usage->cpus_milli)
         && read_number32 (object, "memory_mb", &usage->memory_mb)
         && read_number (object, "progress_ms", &usage->progress_ms);
}

/* Reads a list; an absent one is NULL, which jansson treats as empty.  */
static bool
read_optional_list (const json_t *root, const char *name, const json_t **list)
{
  *list = json_object_get (root, name);
  return *list == NULL || json_is_array (*list);
}

static bool
read_renew (const json_t *root, struct ls_answer *answer)
{
  const json_t *unknown;
  const json_t *events;
  const json_t *usage;
  size_t i;

  if (!read_number (root, "boot", &answer->worker_boot_id)
      || !read_optional_list (root, "unknown", &unknown)
      || !read_optional_list (root, "events", &events)
      || !read_optional_list (root, "usage", &usage))
    return false;
  answer->unknown = g_new0 (struct ls_attempt, json_array_size (unknown) + 1);
  for (i = 0; i < json_array_size (unknown); i++)
    if (!read_pair (json_array_get (unknown, i), &answer->unknown[i]))
      return false;
  answer->unknown_count = i;
  answer->events = g_new0 (struct ls_task_end, json_array_size (events) + 1);
  for (i = 0; i < json_array_size (events); i++)
    if (!read_event (json_array_get (events, i), &answer->events[i]))
      return false;
  answer->event_count = i;
  answer->usage = g_new0 (struct ls_usage, json_array_size (usage) + 1);
  for (i = 0; i < json_array_size (usage); i++)
    if (!read_usage (json_array_get (usage, i), &answer->usage[i]))
      return false;
  answer->usage_count = i;
  return true;
}

static bool
read_success (const json_t *root, struct ls_answer *answer)
{
  bool flag = false;

  switch (answer->kind)
    {
    case LS_LEASE:
      return read_bool (root, "granted", &flag) && flag
             && read_number (root, "boot", &answer->worker_boot_id);
    case LS_START:
      return true;
    case LS_RENEW:
      return read_renew (root, answer);
    case LS_STOP:
      read_number (root, "boot", &answer->worker_boot_id);
      read_number (root, "progress_ms", &answer->progress_ms);
      return read_bool (root, "stopped", &flag) && flag
             && read_bool (root, "started", &answer->started);
    case LS_CHECKPOINT:
      return read_number (root, "progress_ms", &answer->progress_ms);
    }
  return false;
}

static int
read_refusal (const json_t *root, long status)
{
  const char *code = json_string_value (json_object_get (root, "error"));
  size_t i;

  if (status < STATUS_CLIENT_ERROR)
    return LS_ERR_MALFORMED_ANSWER;
  if (status >= STATUS_SERVER_ERROR)
    return LS_ERR_UNKNOWN;
  if (code == NULL)
    return LS_ERR_MALFORMED_ANSWER;
  for (i = 0; i < G_N_ELEMENTS (error_codes); i++)
    if (strcmp (code, error_codes[i].code) == 0)
      return error_codes[i].error;
  return LS_ERR_REFUSED;
}

static void
clear_lists (struct ls_answer *answer)
{
  g_free (answer->unknown);
  g_free (answer->events);
  g_free (answer->usage);
  answer->unknown = NULL;
  answer->events = NULL;
  answer->usage = NULL;
  answer->unknown_count = 0;
  answer->event_count = 0;
  answer->usage_count = 0;
}

void
ls_decode (struct ls_answer *answer, enum ls_kind kind, long status,
           const char *body, size_t size_bytes)
{
  json_t *root = json_loadb (body, size_bytes, 0, NULL);

  *answer = (struct ls_answer){ .kind = kind, .json = root };
  read_number (root, "term", &answer->term);
  if (status != STATUS_OK)
    answer->error = read_refusal (root, status);
  else if (!json_is_object (root) || !read_success (root, answer))
    answer->error = LS_ERR_MALFORMED_ANSWER;
  if (answer->error != LS_OK)
    clear_lists (answer);
}

void
ls_answer_clear (struct ls_answer *answer)
{
  clear_lists (answer);
  json_decref (answer->json);
  answer->json = NULL;
}
