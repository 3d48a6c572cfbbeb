/* Upstream task: key claims of non-repeatable requests.  A claim is in the log
   before the first byte of its request goes to an upstream, and of all
   requests with a key only the one that holds the claim is sent.  After a
   claim that ended as not run, another request may claim the key.  */

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "upstream.h"

enum
{
  CLAIM_END_DEADLINE_MS = 600 * 1000, /* ten minutes, as the claim stays open
                                         if its outcome is not recorded */
  LOG_RETRY_AFTER_MS = 5000
};

/* --- Records --- */

static void
compute_digest (const struct msg_service_request *message,
                ProtobufCBinaryData *digest)
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize size_bytes = 32;

  g_checksum_update (checksum, (const guchar *)message->service,
                     (gssize)strlen (message->service) + 1);
  g_checksum_update (checksum, message->body,
                     (gssize)message->body_size_bytes);
  digest->data = malloc (size_bytes);
  digest->len = size_bytes;
  g_checksum_get_digest (checksum, digest->data, &size_bytes);
  g_checksum_free (checksum);
}

/* The team is part of the key, so that teams cannot use each other's keys.  */
static char *
full_key (const struct msg_service_request *message)
{
  return g_strdup_printf ("%s/%s", message->team, message->key);
}

static void
append_record (struct upstream_task *task, const Ft__Record *record,
               uint32_t deadline_ms, struct mb_box *reply, uint64_t token)
{
  struct msg_append *append = g_new0 (struct msg_append, 1);

  append->record = *record;
  append->timeout_ms = deadline_ms;
  append->reply = reply;
  append->token = token;
  mb_post (task->daemon->state, MSG_APPEND, append);
}

static void
append_claim_end (struct upstream_task *task, const char *key, const char *id,
                  enum st_claim_state state, uint32_t status,
                  const void *answer, size_t size_bytes)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__ClaimEnd *end = g_new (Ft__ClaimEnd, 1);

  ft__claim_end__init (end);
  end->key = g_strdup (key);
  end->request = g_strdup (id);
  end->state = state;
  end->status = status;
  if (size_bytes > 0 && size_bytes <= UP_STORED_ANSWER_LIMIT_BYTES)
    {
      end->answer.data = g_memdup2 (answer, size_bytes);
      end->answer.len = size_bytes;
    }
  record.body_case = FT__RECORD__BODY_CLAIM_END;
  record.claim_end = end;
  append_record (task, &record, CLAIM_END_DEADLINE_MS, NULL, 0);
}

void
up_end_claim (struct up_request *request, enum st_claim_state state,
              uint32_t status, const void *answer, size_t size_bytes)
{
  char *key = full_key (request->message);

  append_claim_end (request->task, key, request->message->id, state, status,
                    answer, size_bytes);
  request->claimed = false;
  g_free (key);
}

void
up_end_claim_as_unknown (struct upstream_task *task,
                         const struct st_claim *claim)
{
  append_claim_end (task, claim->key, claim->request, ST_CLAIM_UNKNOWN, 0,
                    NULL, 0);
}

/* --- A key that is already claimed --- */

static void
answer_from_claim (struct up_request *request, const struct st_claim *claim)
{
  switch (claim->state)
    {
    case ST_CLAIM_DONE:
      up_answer_with_response (request, claim->status, claim->answer,
                               claim->answer_size_bytes);
      break;
    case ST_CLAIM_UNKNOWN:
      up_answer (request, MSG_ANSWER_UNKNOWN, "outcome_unknown",
                 "The first request with this key was sent and no whole "
                 "answer came; it may have run.",
                 0);
      break;
    case ST_CLAIM_OPEN:
    case ST_CLAIM_NOT_RUN:
      request->stage = UP_STAGE_WAITING_FOR_KEY;
      break;
    }
}

static bool
same_digest (const struct up_request *request, const struct st_claim *claim)
{
  ProtobufCBinaryData digest;
  bool same;

  compute_digest (request->message, &digest);
  same = digest.len == claim->digest_size_bytes
         && memcmp (digest.data, claim->digest, digest.len) == 0;
  free (digest.data);
  return same;
}

static void
refuse_key_conflict (struct up_request *request)
{
  up_answer (request, MSG_ANSWER_REFUSED, "key_conflict",
             "The key was used with another body; this request did not run.",
             0);
}

static void
refuse_log_unavailable (struct up_request *request)
{
  up_answer (request, MSG_ANSWER_REFUSED, "log_unavailable",
             "The platform's log cannot take the claim; the request did not "
             "run.",
             LOG_RETRY_AFTER_MS);
}

/* --- Claiming --- */

static void
on_claim_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct up_request *request = watcher->data;

  (void)loop;
  (void)events;
  if (request->stage == UP_STAGE_WAITING_FOR_KEY)
    {
      up_answer (request, MSG_ANSWER_UNKNOWN, "in_progress",
                 "The first request with this key has no outcome yet.", 1000);
      return;
    }
  /* The claim may still take effect, but this host will not send the
     request. */
  g_hash_table_add (request->task->abandoned, g_strdup (request->message->id));
  refuse_log_unavailable (request);
}

static void
append_claim (struct up_request *request)
{
  struct upstream_task *task = request->task;
  const struct msg_service_request *message = request->message;
  int64_t remaining_ms = message->deadline_ms - clk_monotonic_ms (NULL);
  Ft__Record record = FT__RECORD__INIT;
  Ft__Claim *claim = g_new (Ft__Claim, 1);
  uint64_t *token = g_new (uint64_t, 1);

  ft__claim__init (claim);
  claim->key = full_key (message);
  claim->request = g_strdup (message->id);
  claim->team = g_strdup (message->team);
  claim->service = g_strdup (message->service);
  compute_digest (message, &claim->digest);
  record.body_case = FT__RECORD__BODY_CLAIM;
  record.claim = claim;
  *token = ++task->last_append_token;
  g_hash_table_insert (task->appends, token, request);
  request->stage = UP_STAGE_CLAIM_PENDING;
  append_record (task, &record, remaining_ms < 1 ? 1 : (uint32_t)remaining_ms,
                 task->box, *token);
}

void
up_start_claim (struct up_request *request)
{
  struct upstream_task *task = request->task;
  char *key = full_key (request->message);
  const struct st_claim *claim = g_hash_table_lookup (task->claims, key);
  double remaining_s
      = (double)(request->message->deadline_ms - clk_monotonic_ms (NULL))
        / 1000.0;

  g_free (key);
  ev_timer_init (&request->claim_timer, on_claim_timeout, remaining_s, 0.0);
  request->claim_timer.data = request;
  ev_timer_start (task->daemon->loop, &request->claim_timer);
  if (claim != NULL && !same_digest (request, claim))
    refuse_key_conflict (request);
  else if (claim != NULL && claim->state != ST_CLAIM_NOT_RUN)
    answer_from_claim (request, claim);
  else if (!task->log_up)
    refuse_log_unavailable (request);
  else
    append_claim (request);
}

void
up_detach_claim (struct up_request *request)
{
  GHashTableIter iter;
  gpointer value;

  ev_timer_stop (request->task->daemon->loop, &request->claim_timer);
  if (request->stage != UP_STAGE_CLAIM_PENDING)
    return;
  g_hash_table_iter_init (&iter, request->task->appends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value == request)
      g_hash_table_iter_remove (&iter);
}

static void
on_claim_folded (struct up_request *request, enum st_verdict verdict)
{
  char *key = full_key (request->message);
  const struct st_claim *claim
      = g_hash_table_lookup (request->task->claims, key);

  g_free (key);
  switch (verdict)
    {
    case ST_VERDICT_VALID:
      ev_timer_stop (request->task->daemon->loop, &request->claim_timer);
      request->claimed = true;
      up_queue (request);
      break;
    case ST_VERDICT_KEY_TAKEN:
      if (claim == NULL)
        request->stage = UP_STAGE_WAITING_FOR_KEY;
      else
        answer_from_claim (request, claim);
      break;
    case ST_VERDICT_KEY_CONFLICT:
      refuse_key_conflict (request);
      break;
    default:
      lg_error (UP_PART, "A key claim had no effect; the request is refused.",
                "verdict", st_verdict_name (verdict), NULL);
      refuse_log_unavailable (request);
      break;
    }
}

void
up_on_claim_appended (struct upstream_task *task,
                      const struct msg_appended *appended)
{
  struct up_request *request
      = g_hash_table_lookup (task->appends, &appended->token);

  if (request == NULL)
    return;
  g_hash_table_remove (task->appends, &appended->token);
  switch (appended->result)
    {
    case MSG_APPEND_FOLDED:
      on_claim_folded (request, appended->verdict);
      break;
    case MSG_APPEND_UNKNOWN:
      g_hash_table_add (task->abandoned, g_strdup (request->message->id));
      refuse_log_unavailable (request);
      break;
    case MSG_APPEND_REJECTED:
      refuse_log_unavailable (request);
      break;
    }
}

/* --- Claims as folded --- */

/* Ends a claim that took effect after its request had been refused here: the
   request has not run, and another one may claim the key.  */
static void
end_if_abandoned (struct upstream_task *task, const struct st_claim *claim)
{
  if (claim->state != ST_CLAIM_OPEN
      || !g_hash_table_remove (task->abandoned, claim->request))
    return;
  append_claim_end (task, claim->key, claim->request, ST_CLAIM_NOT_RUN, 0,
                    NULL, 0);
}

void
up_on_claim_changed (struct upstream_task *task, struct st_claim *claim)
{
  GPtrArray *waiting = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_replace (task->claims, claim->key, claim);
  end_if_abandoned (task, claim);
  up_orphans_on_claim (task, claim);
  g_hash_table_iter_init (&iter, task->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct up_request *request = value;
      char *key;

      if (request->stage != UP_STAGE_WAITING_FOR_KEY)
        continue;
      key = full_key (request->message);
      if (strcmp (key, claim->key) == 0)
        g_ptr_array_add (waiting, request);
      g_free (key);
    }
  for (i = 0; i < waiting->len; i++)
    if (claim->state == ST_CLAIM_NOT_RUN)
      append_claim (waiting->pdata[i]);
    else
      answer_from_claim (waiting->pdata[i], claim);
  g_ptr_array_free (waiting, TRUE);
}
