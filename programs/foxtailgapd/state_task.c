/* The state task: owns the log client and the folded state, appends records
   for the other tasks and publishes changes of the state to them.  */

#include <glib.h>
#include <string.h>

#include "common/logging.h"
#include "log/log_client.h"
#include "messages.h"
#include "state_history.h"
#include "state_pending.h"
#include "state_publish.h"
#include "state_snapshots.h"
#include "tasks.h"

enum
{
  POLL_WAIT_MS = 1000,
  APPEND_DEADLINE_MS = 10 * 1000, /* if the sender of the record gives none */
  OWN_TERM_RECORDS_KEPT = 8,      /* newest ones; older ones are overwritten */
  LOG_CONNECTIONS = 4,
  ID_WORDS = ST_ID_SIZE_BYTES / 4
};

/* A record by which this process tried to acquire the planner term.  */
struct own_term_record
{
  uint8_t id[ST_ID_SIZE_BYTES];
  uint64_t term;
};

struct state_task
{
  struct daemon *daemon;
  struct hc_client *http;
  struct log_client *log;
  struct st_state *state;
  struct pend_table *pending;
  struct pub_list *subscribers;
  struct ssn_keeper *snapshots;
  struct msg_log_status status;
  struct own_term_record own_term_records[OWN_TERM_RECORDS_KEPT];
  size_t
      own_term_record_count; /* of all such records so far; the next one goes
                               to index count % OWN_TERM_RECORDS_KEPT */
  uint64_t own_term;         /* newest that this process acquired; 0: none */
  bool term_changed;         /* the new term is not published yet */
};

/* ===== The term =============================================== */

/* A restarted process has the same host name as the one before, but must not
   use that process's term.  So a term counts as acquired only if the record
   was written by this process.  */
static void
remember_own_term_record (struct state_task *task, const Ft__Record *record)
{
  struct own_term_record *own
      = &task->own_term_records[task->own_term_record_count++
                                % OWN_TERM_RECORDS_KEPT];

  memcpy (own->id, record->id.data, ST_ID_SIZE_BYTES);
  own->term = record->term_claim->term;
}

static void
update_own_term (struct state_task *task)
{
  const struct own_term_record *own;
  enum st_verdict verdict;
  size_t i;

  for (i = 0; i < MIN (task->own_term_record_count, OWN_TERM_RECORDS_KEPT);
       i++)
    {
      own = &task->own_term_records[i];
      if (own->term == st_term (task->state)
          && st_recent_verdict (task->state, own->id, &verdict)
          && verdict == ST_VERDICT_VALID)
        task->own_term = own->term;
    }
}

static void
publish_term (struct state_task *task)
{
  if (!task->term_changed)
    return;
  task->term_changed = false;
  update_own_term (task);
  lg_info ("state", "A new planner term is in force.", "term",
           lg_number ((long long)st_term (task->state)), "holder",
           st_term_holder (task->state), NULL);
  pub_term (task->subscribers, task->state, task->own_term);
  ssn_set_term_holder (task->snapshots,
                       task->own_term == st_term (task->state));
}

/* ===== Callbacks of the folded state ========================== */

static void
on_term (void *ctx, uint64_t term, const char *holder)
{
  struct state_task *task = ctx;

  (void)holder;
  task->term_changed = true;
  mt_set (task->daemon->metrics, "foxtailgap_term", (int64_t)term);
}

static void
on_config (void *ctx, const struct st_revision *revision)
{
  struct state_task *task = ctx;

  lg_info ("state", "A configuration is in force.", "revision",
           lg_number ((long long)revision->revision), "author",
           revision->author, NULL);
  mt_set (task->daemon->metrics, "foxtailgap_config_revision",
          (int64_t)revision->revision);
  pub_config (task->subscribers, revision);
}

static void
on_job (void *ctx, struct st_job *job)
{
  pub_job (((struct state_task *)ctx)->subscribers, job);
}

static void
on_job_dropped (void *ctx, const char *id)
{
  pub_job_dropped (((struct state_task *)ctx)->subscribers, id);
}

static void
on_claim (void *ctx, struct st_claim *claim)
{
  pub_claim (((struct state_task *)ctx)->subscribers, claim);
}

static void
on_claim_dropped (void *ctx, const char *key)
{
  pub_claim_dropped (((struct state_task *)ctx)->subscribers, key);
}

static void
count_verdict (struct state_task *task, enum st_verdict verdict)
{
  char name[64];

  g_snprintf (name, sizeof name, "foxtailgap_records{verdict=\"%s\"}",
              st_verdict_name (verdict));
  mt_add (task->daemon->metrics, name, 1);
}

static void
on_verdict (void *ctx, const uint8_t id[ST_ID_SIZE_BYTES],
            enum st_verdict verdict)
{
  struct state_task *task = ctx;

  count_verdict (task, verdict);
  publish_term (task);
  if (pend_answer (task->pending, id, MSG_APPEND_FOLDED, verdict))
    log_settle (task->log, id);
}

/* ===== Callbacks of the log client ============================ */

static void
publish_status (struct state_task *task)
{
  task->status.next_offset = st_next_offset (task->state);
  mt_set (task->daemon->metrics, "foxtailgap_log_up", task->status.up);
  mt_set (task->daemon->metrics, "foxtailgap_log_caught_up",
          task->status.caught_up);
  mt_set (task->daemon->metrics, "foxtailgap_log_next_offset",
          (int64_t)task->status.next_offset);
  pub_log_status (task->subscribers, &task->status);
}

static void
on_record (void *ctx, uint64_t offset, int64_t time_ms, const uint8_t *data,
           size_t size_bytes)
{
  struct state_task *task = ctx;

  if (st_apply (task->state, offset, time_ms, data, size_bytes) != ST_OK)
    lg_warning (
        "state",
        "An entry of the log was skipped: it is not a batch of records.",
        "offset", lg_number ((long long)offset), NULL);
}

static void
on_caught_up (void *ctx, uint64_t next)
{
  struct state_task *task = ctx;

  (void)next;
  task->status.caught_up = true;
  publish_status (task);
  ssn_on_caught_up (task->snapshots);
}

/* The log has expired records that this host has not read.
   FIRST: the oldest offset that the log keeps.  */
static void
on_records_expired (void *ctx, uint64_t first, uint64_t next)
{
  struct state_task *task = ctx;

  (void)next;
  task->status.caught_up = false;
  publish_status (task);
  ssn_load (task->snapshots, first);
}

static void
on_health (void *ctx, bool up)
{
  struct state_task *task = ctx;

  task->status.up = up;
  task->status.caught_up = task->status.caught_up && up;
  publish_status (task);
  ssn_set_log_up (task->snapshots, up);
}

/* ===== Snapshots ============================================== */

/* The record has been folded: the log client need not send it again.  */
static void
settle_append (void *ctx, const uint8_t *id)
{
  log_settle (((struct state_task *)ctx)->log, id);
}

/* A snapshot has replaced the state.  */
static void
on_replaced (void *ctx)
{
  struct state_task *task = ctx;

  publish_term (task);
  pend_answer_folded (task->pending, task->state, settle_append, task);
  publish_status (task);
}

/* The log has all records from the state's next offset on.  */
static void
on_loaded (void *ctx)
{
  struct state_task *task = ctx;

  log_seek (task->log, st_next_offset (task->state));
}

static void
send_snapshot (struct state_task *task,
               const struct msg_snapshot_wanted *wanted)
{
  struct msg_snapshot *snapshot = g_new0 (struct msg_snapshot, 1);

  snapshot->token = wanted->token;
  snapshot->next_offset = st_next_offset (task->state);
  if (st_encode (task->state, &snapshot->data, &snapshot->size_bytes) != ST_OK)
    {
      msg_free (MSG_SNAPSHOT, snapshot);
      return;
    }
  mb_post (wanted->reply, MSG_SNAPSHOT, snapshot);
}

/* ===== Appends ================================================ */

static void
on_append_failed (void *ctx, const uint8_t id[ST_ID_SIZE_BYTES], int error)
{
  struct state_task *task = ctx;

  pend_answer (task->pending, id,
               error == LOG_ERR_NOT_WRITTEN ? MSG_APPEND_REJECTED
                                            : MSG_APPEND_UNKNOWN,
               ST_VERDICT_VALID);
}

static void
set_random_id (Ft__Record *record)
{
  guint32 words[ID_WORDS];
  size_t i;

  for (i = 0; i < ID_WORDS; i++)
    words[i] = g_random_int ();
  record->id.data = g_memdup2 (words, sizeof words);
  record->id.len = sizeof words;
}

static void
complete_record (struct state_task *task, struct msg_append *append)
{
  Ft__Record *record = &append->record;

  if (record->id.len != ST_ID_SIZE_BYTES)
    set_random_id (record);
  if (record->host == NULL || record->host[0] == '\0')
    record->host = g_strdup (task->daemon->settings->host);
  if (append->term != 0)
    record->term = append->term;
  if (record->body_case == FT__RECORD__BODY_TERM_CLAIM)
    record->term_claim->outcome_window_ms
        = task->daemon->settings->outcome_window_ms;
}

static void
append_record (struct state_task *task, struct msg_append *append)
{
  uint32_t timeout_ms
      = append->timeout_ms > 0 ? append->timeout_ms : APPEND_DEADLINE_MS;
  int error;

  complete_record (task, append);
  if (append->record.body_case == FT__RECORD__BODY_TERM_CLAIM)
    remember_own_term_record (task, &append->record);
  pend_add (task->pending, append->record.id.data, append->reply,
            append->token);
  error = log_append (task->log, &append->record, timeout_ms, on_append_failed,
                      task);
  if (error != LOG_OK)
    on_append_failed (task, append->record.id.data, LOG_ERR_NOT_WRITTEN);
}

/* ===== Messages, create and free ============================== */

static void
on_message (void *ctx, int kind, void *body)
{
  struct state_task *task = ctx;

  switch ((enum msg_kind)kind)
    {
    case MSG_APPEND:
      append_record (task, body);
      break;
    case MSG_SUBSCRIBE:
      pub_subscribe (task->subscribers, body, task->state, task->own_term);
      break;
    case MSG_CONFIG_HISTORY:
      hist_answer (task->state, body);
      return;
    case MSG_SNAPSHOT_WANTED:
      send_snapshot (task, body);
      break;
    case MSG_SNAPSHOT:
      ssn_accept_from_peer (task->snapshots,
                            ((struct msg_snapshot *)body)->data,
                            ((struct msg_snapshot *)body)->size_bytes);
      break;
    case MSG_MEMBERS:
      ssn_set_members (task->snapshots, body);
      break;
    case MSG_SHUTDOWN:
      log_flush (task->log);
      break;
    default:
      break;
    }
  msg_free (kind, body);
}

static int
create_state (struct state_task *task)
{
  struct st_observer observer = { .on_term = on_term,
                                  .on_config = on_config,
                                  .on_job = on_job,
                                  .on_job_dropped = on_job_dropped,
                                  .on_claim = on_claim,
                                  .on_claim_dropped = on_claim_dropped,
                                  .on_verdict = on_verdict,
                                  .ctx = task };

  return st_create (&task->state, &observer,
                    task->daemon->settings->outcome_window_ms);
}

static int
create_log (struct state_task *task)
{
  const struct settings *settings = task->daemon->settings;
  struct log_params params = { .loop = task->daemon->loop,
                               .http = task->http,
                               .url = settings->log_url,
                               .stream = settings->stream,
                               .timeout_ms = settings->log_timeout_ms,
                               .commit_delay_ms = settings->log_commit_ms,
                               .poll_wait_ms = POLL_WAIT_MS,
                               .start_paused = true,
                               .on_append = on_record,
                               .on_expired = on_records_expired,
                               .on_caught_up = on_caught_up,
                               .on_health = on_health,
                               .ctx = task };

  return log_create (&task->log, &params);
}

static int
create_snapshots (struct state_task *task)
{
  const struct settings *settings = task->daemon->settings;
  struct ssn_params params = { .loop = task->daemon->loop,
                               .http = task->http,
                               .settings = settings,
                               .metrics = task->daemon->metrics,
                               .state = task->state,
                               .log = task->log,
                               .replaced = on_replaced,
                               .loaded = on_loaded,
                               .ctx = task };

  task->snapshots = ssn_create (&params);
  if (task->snapshots == NULL)
    return SNAP_ERR_MEMORY;
  ssn_load (task->snapshots, 0);
  return SNAP_OK;
}

struct state_task *
state_create (struct daemon *daemon)
{
  struct state_task *task = g_new0 (struct state_task, 1);
  struct hc_params http = { .loop = daemon->loop,
                            .host_connection_limit = LOG_CONNECTIONS,
                            .idle_connection_limit = LOG_CONNECTIONS };

  task->daemon = daemon;
  task->pending = pend_create (daemon->metrics);
  task->subscribers = pub_create (daemon->loop);
  daemon->state = mb_create (daemon->loop, on_message, msg_free, task);
  if (daemon->state == NULL || create_state (task) != ST_OK
      || hc_create (&task->http, &http) != HC_OK || create_log (task) != LOG_OK
      || create_snapshots (task) != SNAP_OK)
    {
      lg_error ("state", "The state task cannot be created.", NULL);
      state_free (task);
      return NULL;
    }
  return task;
}

uint32_t
state_open_appends (const struct state_task *task)
{
  return pend_size (task->pending);
}

void
state_free (struct state_task *task)
{
  if (task == NULL)
    return;
  ssn_free (task->snapshots);
  log_free (task->log);
  if (task->http != NULL)
    hc_free (task->http);
  st_free (task->state);
  mb_free (task->daemon->state);
  task->daemon->state = NULL;
  pub_free (task->subscribers);
  pend_free (task->pending);
  g_free (task);
}
