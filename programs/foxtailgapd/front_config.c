/* Front task: reads and changes the configuration, which is an environment
   document.  */

#include <string.h>

#include "common/logging.h"
#include "front.h"

enum
{
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_UNPROCESSABLE = 422,
  STATUS_UNAVAILABLE = 503,
  STATUS_TIMEOUT = 504,
  APPEND_DEADLINE_MS = 10 * 1000,
  AUTHOR_AND_NOTE_LIMIT_BYTES = 400
};

/* --- Reading --- */

static json_t *
revision_json (const struct msg_config_revision *revision)
{
  json_t *value = json_pack (
      "{s:I, s:s, s:s, s:s, s:I}", "revision", (json_int_t)revision->revision,
      "digest", revision->digest, "author", revision->author, "note",
      revision->note, "time_ms", (json_int_t)revision->time_ms);

  if (revision->document != NULL)
    json_object_set_new (value, "document", json_string (revision->document));
  return value;
}

static void
answer_revision (struct hs_request *http,
                 const struct msg_config_history *history)
{
  if (history->revision_count == 0 || history->revisions[0].document == NULL)
    fr_respond_error (
        http, STATUS_NOT_FOUND, "unknown_revision",
        "The revision is not known, or its document is not kept any "
        "more.",
        NULL, 0);
  else
    fr_respond_json (http, STATUS_OK, revision_json (&history->revisions[0]));
}

void
fr_on_history (struct front_task *task,
               const struct msg_config_history *history)
{
  struct fr_call *call = g_hash_table_lookup (task->calls, &history->token);
  json_t *list;
  size_t i;

  if (call == NULL)
    return;
  if (history->revision != 0)
    answer_revision (call->http, history);
  else
    {
      list = json_array ();
      for (i = 0; i < history->revision_count; i++)
        json_array_append_new (list, revision_json (&history->revisions[i]));
      fr_respond_json (call->http, STATUS_OK,
                       json_pack ("{s:o}", "revisions", list));
    }
  fr_call_free (call);
}

static void
on_caller_gone (void *ctx)
{
  fr_call_free (ctx);
}

/* Asks the state task for one revision with its document; REVISION 0: for all,
   without documents.  */
static void
request_history (struct front_task *task, struct hs_request *http,
                 uint64_t revision)
{
  struct fr_call *call = fr_call_create (task, http);
  struct msg_config_history *history = g_new0 (struct msg_config_history, 1);

  hs_on_disconnect (http, on_caller_gone, call);
  history->reply = task->box;
  history->token = call->token;
  history->revision = revision;
  mb_post (task->daemon->state, MSG_CONFIG_HISTORY, history);
}

void
fr_get_history (struct front_task *task, struct hs_request *http,
                const char *rest)
{
  (void)rest;
  request_history (task, http, 0);
}

void
fr_get_config (struct front_task *task, struct hs_request *http,
               const char *rest)
{
  const struct msg_config *config = task->config;
  const char *wanted = hs_query (http, "revision");
  uint64_t revision = 0;

  (void)rest;
  if (wanted != NULL && !fr_parse_number (wanted, INT64_MAX, &revision))
    fr_respond_error (http, STATUS_BAD_REQUEST, "bad_request",
                      "The query revision must be a whole number.", NULL, 0);
  else if (revision != 0)
    request_history (task, http, revision);
  else if (config == NULL)
    fr_respond_error (http, STATUS_NOT_FOUND, "no_configuration",
                      "No configuration is in force.", NULL, 0);
  else
    fr_respond_json (http, STATUS_OK,
                     json_pack ("{s:I, s:s, s:s, s:I, s:s}", "revision",
                                (json_int_t)config->revision, "digest",
                                config->digest, "author", config->author,
                                "time_ms", (json_int_t)config->time_ms,
                                "document", config->document_text));
}

/* --- Applying --- */

static void
answer_stale_base (struct fr_call *call)
{
  const struct msg_config *config = call->task->config;

  if (config == NULL)
    {
      fr_respond_error (call->http, STATUS_CONFLICT, "stale_base",
                        "No configuration is in force; the base must be 0.",
                        "refused", 0);
      return;
    }
  fr_respond_json (
      call->http, STATUS_CONFLICT,
      json_pack (
          "{s:s, s:s, s:s, s:I, s:s, s:I}", "error", "stale_base", "message",
          "Another configuration is in force; nothing was "
          "applied.",
          "state", "refused", "revision", (json_int_t)config->revision,
          "author", config->author, "time_ms", (json_int_t)config->time_ms));
}

static void
on_change_appended (struct fr_call *call, const struct msg_appended *appended)
{
  const struct msg_config *config = call->task->config;

  if (appended->result == MSG_APPEND_FOLDED
      && appended->verdict == ST_VERDICT_STALE_BASE_REVISION)
    answer_stale_base (call);
  else if (appended->result == MSG_APPEND_FOLDED
           && appended->verdict == ST_VERDICT_VALID && config != NULL)
    fr_respond_json (call->http, STATUS_OK,
                     json_pack ("{s:I, s:s}", "revision",
                                (json_int_t)config->revision, "digest",
                                call->digest));
  else if (appended->result == MSG_APPEND_REJECTED)
    fr_respond_error (
        call->http, STATUS_UNAVAILABLE, "log_unavailable",
        "The platform's log did not take the configuration; nothing was "
        "applied.",
        "refused", FR_LOG_RETRY_AFTER_MS);
  else
    fr_respond_error (
        call->http, STATUS_TIMEOUT, "outcome_unknown",
        "It is not known whether the configuration was applied; look at "
        "the status.",
        "unknown", FR_LOG_RETRY_AFTER_MS);
  fr_call_free (call);
}

static void
answer_invalid (struct hs_request *http, const struct env_messages *messages)
{
  json_t *list = json_array ();
  size_t i;

  for (i = 0; i < messages->count; i++)
    json_array_append_new (list, json_pack ("{s:i, s:s}", "line",
                                            (int)messages->items[i].line,
                                            "text", messages->items[i].text));
  fr_respond_json (http, STATUS_BAD_REQUEST,
                   json_pack ("{s:s, s:s, s:s, s:o}", "error",
                              "invalid_document", "message",
                              "The document is not valid.", "state", "refused",
                              "messages", list));
}

/* Whether the live workers can hold all guarantees of the document together;
   if not, TEXT says why.  */
static bool
guarantees_fit (const struct front_task *task,
                const struct env_document *document,
                char text[PLACE_TEXT_SIZE_BYTES])
{
  struct place_team *teams = env_to_place_teams (document);
  GArray *workers = g_array_new (FALSE, TRUE, sizeof (struct place_worker));
  size_t i;
  int error;

  for (i = 0; task->hosts != NULL && i < task->hosts->host_count; i++)
    {
      const struct hl_host *host = &task->hosts->hosts[i];
      struct place_worker worker = hl_to_place_worker (host);

      if (host->kind == HL_WORKER && !host->leaving)
        g_array_append_val (workers, worker);
    }
  error = place_check_guarantees (teams, document->teams_count,
                                  (struct place_worker *)workers->data,
                                  workers->len, text);
  g_array_free (workers, TRUE);
  env_free_place_teams (teams, document->teams_count);
  return error == PLACE_OK;
}

static bool
is_short_text (const char *text)
{
  return text == NULL || strlen (text) <= AUTHOR_AND_NOTE_LIMIT_BYTES;
}

static void
append_change (struct front_task *task, struct hs_request *http, uint64_t base,
               const char *digest, const char *text, size_t size_bytes)
{
  const char *author = hs_query (http, "author");
  const char *note = hs_query (http, "note");
  struct fr_call *call = fr_call_create (task, http);
  Ft__Record record = FT__RECORD__INIT;
  Ft__ConfigChange *change = g_new (Ft__ConfigChange, 1);

  ft__config_change__init (change);
  change->base_revision = base;
  change->digest = g_strdup (digest);
  change->author = g_strdup (author == NULL ? "" : author);
  change->note = g_strdup (note == NULL ? "" : note);
  change->document.data = g_memdup2 (text, size_bytes);
  change->document.len = size_bytes;
  record.body_case = FT__RECORD__BODY_CONFIG_CHANGE;
  record.config_change = change;
  call->digest = g_strdup (digest);
  hs_on_disconnect (http, on_caller_gone, call);
  fr_append (call, &record, APPEND_DEADLINE_MS, on_change_appended);
}

void
fr_post_config (struct front_task *task, struct hs_request *http,
                const char *rest)
{
  const char *base_text = hs_query (http, "base");
  const char *wanted = hs_header (http, "Foxtailgap-Digest");
  char digest[ENV_DIGEST_SIZE_BYTES];
  char text[PLACE_TEXT_SIZE_BYTES];
  struct env_messages messages = { 0 };
  struct env_document *document = NULL;
  size_t size_bytes;
  const char *body = hs_body (http, &size_bytes);
  uint64_t base;

  (void)rest;
  env_digest (body, size_bytes, digest);
  if (base_text == NULL || !fr_parse_number (base_text, INT64_MAX, &base)
      || !is_short_text (hs_query (http, "author"))
      || !is_short_text (hs_query (http, "note")))
    fr_respond_error (
        http, STATUS_BAD_REQUEST, "bad_request",
        "The query needs base, the revision that the document was "
        "reviewed against; author and note are at most 400 bytes.",
        "refused", 0);
  else if (wanted == NULL || strcmp (wanted, digest) != 0)
    fr_respond_error (
        http, STATUS_BAD_REQUEST, "digest_mismatch",
        "The header Foxtailgap-Digest is not the document's digest; "
        "nothing was applied.",
        "refused", 0);
  else if (env_parse (&document, body, size_bytes, &messages) != ENV_OK)
    answer_invalid (http, &messages);
  else if (!guarantees_fit (task, document, text))
    fr_respond_error (http, STATUS_UNPROCESSABLE, "guarantees_clash", text,
                      "refused", 0);
  else if (!task->log.up)
    fr_respond_error (
        http, STATUS_UNAVAILABLE, "log_unavailable",
        "The platform's log is not reached; nothing was applied.", "refused",
        FR_LOG_RETRY_AFTER_MS);
  else
    append_change (task, http, base, digest, body, size_bytes);
  env_free (document);
  env_messages_clear (&messages);
}
