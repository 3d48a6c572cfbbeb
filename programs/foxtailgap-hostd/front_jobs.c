/* Serves submissions, cancellations and queries of jobs.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "front_private.h"
#include "jobs/job_queue.h"

static const char PART[] = "front";

enum
{
  /* Only a table of jobs younger than this shows that a job does not exist;
     the platform allows callers to see a state that is 3 s old.  */
  JOBS_AGE_MAX_MS = 2000,
  CALLER_WAIT_DEFAULT_MS = 3000,
  WRITE_TIMEOUT_MIN_MS = 200,
  WRITE_TIMEOUT_MAX_MS = 12000,
  /* Time for the answer to reach the caller.  */
  ANSWER_MARGIN_MS = 150,
  STATE_FRESH_TIMEOUT_MS = 150, /* many times the time of a read */
  FRESH_TIMEOUT_MS
  = 1200, /* a read pause, a long poll and a slow answer one after the other */
};

/* A call that waits for the journal.  */
struct pending_call
{
  struct front *front;
  struct hs_request *request; /* NULL: the caller has disconnected */
  char id[JB_ID_DIGITS + 1];
  const char *what; /* "submit", "cancel" or "state" */
  int64_t since_ms;
};

/* Finds the state that callers are told: that of the table, or a newer one
   that another host has told them.  Returns whether there is such a job.  */
static bool
find_state (struct front *front, const char *id, enum jb_state *out)
{
  const struct jb_job *job
      = jb_table_find (jr_job_table (front->params.journal), id);
  enum jb_state relayed = JB_QUEUED;
  bool is_relayed = fr_relayed_state (front, id, &relayed);

  if (job == NULL)
    *out = relayed;
  else if (jb_state_is_final (job->visible_state))
    *out = job->visible_state;
  else
    *out = MAX (job->visible_state, relayed);
  return job != NULL || is_relayed;
}

static bool
has_ended (struct front *front, const char *id)
{
  enum jb_state state;

  return find_state (front, id, &state) && jb_state_is_final (state);
}

bool
fr_is_stored (struct front *front, const char *id)
{
  const struct jb_job *job
      = jb_table_find (jr_job_table (front->params.journal), id);
  enum jb_state state;

  return (job != NULL && job->spec != NULL)
         || fr_relayed_state (front, id, &state);
}

bool
fr_is_decided (struct front *front, const struct hs_request *request,
               const char *id)
{
  return fr_submits (request) ? fr_is_stored (front, id)
                              : has_ended (front, id);
}

/* --- Writes --- */

static void
on_caller_gone (void *ctx)
{
  struct pending_call *pending = ctx;

  pending->request = NULL;
}

static void
on_stored (void *ctx, enum jr_outcome outcome)
{
  struct pending_call *pending = ctx;
  struct front *front = pending->front;
  struct hs_request *request = pending->request;
  int64_t took_ms = clk_monotonic_ms (NULL) - pending->since_ms;

  mt_observe (front->params.metrics,
              outcome == JR_STORED ? "foxtailgap_store_ms"
                                   : "foxtailgap_store_failed_ms",
              (uint32_t)took_ms);
  lg_info (PART, "A caller's write has an outcome.", "job", pending->id,
           "what", pending->what, "outcome",
           outcome == JR_STORED       ? "stored"
           : outcome == JR_NOT_STORED ? "not stored"
                                      : "unknown",
           "took_ms", lg_number (took_ms), "caller",
           request == NULL ? "gone" : "waits", NULL);
  if (request != NULL)
    switch (outcome)
      {
      case JR_STORED:
        fr_answer (front, request, pending->what, 200, "{}");
        break;
      case JR_NOT_STORED:
        hs_on_disconnect (request, NULL, NULL);
        fr_relay_to_any_host (front, request, pending->what);
        break;
      case JR_OUTCOME_UNKNOWN:
        fr_answer_error (front, request, pending->what, 504,
                         "not known whether it is stored: ask again");
        break;
      }
  g_free (pending);
}

static uint32_t
write_timeout_ms (struct front *front, struct hs_request *request)
{
  const char *text
      = hs_header (request, front->params.dialect.deadline_header);
  int64_t caller_wait_ms = text == NULL ? CALLER_WAIT_DEFAULT_MS
                                        : g_ascii_strtoll (text, NULL, 10);

  if (caller_wait_ms <= 0)
    caller_wait_ms = CALLER_WAIT_DEFAULT_MS;
  return (uint32_t)CLAMP (caller_wait_ms - ANSWER_MARGIN_MS,
                          WRITE_TIMEOUT_MIN_MS, WRITE_TIMEOUT_MAX_MS);
}

static struct pending_call *
create_pending_call (struct front *front, struct hs_request *request,
                     const char *id, const char *what)
{
  struct pending_call *pending = g_new0 (struct pending_call, 1);

  pending->front = front;
  pending->request = request;
  pending->what = what;
  pending->since_ms = clk_monotonic_ms (NULL);
  g_strlcpy (pending->id, id, sizeof pending->id);
  hs_on_disconnect (request, on_caller_gone, pending);
  return pending;
}

/* --- Jobs --- */

void
fr_submit (struct front *front, struct hs_request *request,
           const struct ct_queue *queue, const struct ct_team *team,
           const char *id)
{
  const struct ct_catalog *catalog = jr_catalog (front->params.journal);
  struct jb_spec *spec = NULL;
  struct pending_call *pending;
  const char *wrong;
  const char *body;
  size_t size_bytes;

  if (fr_is_stored (front, id))
    {
      fr_answer (front, request, "submit", 200, "{}");
      return;
    }
  body = hs_body (request, &size_bytes);
  if (catalog->body_limit_bytes > 0 && size_bytes > catalog->body_limit_bytes)
    {
      fr_answer_error (front, request, "submit", 413, "the body is too large");
      return;
    }
  if (front->params.dialect.decode_job (&spec, body, size_bytes) < 0)
    {
      fr_answer_error (front, request, "submit", 400,
                       "the job cannot be read");
      return;
    }
  wrong = jb_spec_texts_fit (spec) ? jb_spec_check (spec)
                                   : "a text of the job is too long";
  if (wrong != NULL)
    {
      fr_answer_error (front, request, "submit", 400, wrong);
      goto done;
    }
  spec->queue = g_strdup (queue->name);
  spec->queue_config = ct_queue_copy (queue);
  spec->team = team == NULL ? NULL : g_strdup (team->name);
  spec->accepted_unix_ms = clk_unix_ms ();
  pending = create_pending_call (front, request, id, "submit");
  jr_submit (front->params.journal, id, spec,
             write_timeout_ms (front, request), on_stored, pending);

done:
  jb_spec_free (spec);
}

/* Continues a cancellation of a job that was not known.  The job may just have
   been submitted through another host, so that it is reported as missing only
   after the topic has been read to its end.  */
static void
on_fresh (void *ctx, bool fresh)
{
  struct pending_call *pending = ctx;
  struct front *front = pending->front;
  struct hs_request *request = pending->request;

  if (request == NULL)
    goto done;
  hs_on_disconnect (request, NULL, NULL);
  if (!fresh)
    fr_relay_to_any_host (front, request, "cancel");
  else if (jb_table_find (jr_job_table (front->params.journal), pending->id)
           == NULL)
    fr_answer_error (front, request, "cancel", 410, "no such job");
  else
    fr_cancel (front, request, pending->id);

done:
  g_free (pending);
}

void
fr_cancel (struct front *front, struct hs_request *request, const char *id)
{
  struct journal *journal = front->params.journal;
  struct jb_job *job = jb_table_find (jr_job_table (journal), id);
  struct pending_call *pending;

  if (job == NULL)
    {
      pending = create_pending_call (front, request, id, "cancel");
      jr_when_fresh (journal, FRESH_TIMEOUT_MS, on_fresh, pending);
      return;
    }
  if (has_ended (front, id))
    {
      fr_answer (front, request, "cancel", 200, "{}");
      return;
    }
  pending = create_pending_call (front, request, id, "cancel");
  jr_cancel (journal, id, write_timeout_ms (front, request), on_stored,
             pending);
}

/* Answers with what is known now.  */
static void
answer_known_state (struct front *front, struct hs_request *request,
                    const char *id)
{
  enum jb_state state;
  char *body;

  if (find_state (front, id, &state))
    {
      body = front->params.dialect.encode_state (state);
      fr_answer (front, request, "state", 200, body);
      g_free (body);
    }
  else if (jr_jobs_age_ms (front->params.journal) > JOBS_AGE_MAX_MS)
    fr_relay_to_any_host (front, request, "state");
  else
    fr_answer_error (front, request, "state", 410, "no such job");
}

static void
on_table_read (void *ctx, bool fresh)
{
  struct pending_call *pending = ctx;

  (void)fresh; /* if it is not, the table is still the best answer */
  if (pending->request != NULL)
    {
      hs_on_disconnect (pending->request, NULL, NULL);
      answer_known_state (pending->front, pending->request, pending->id);
    }
  g_free (pending);
}

/* Callers often ask just after the last task of their job has ended.  Reading
   on demand shows them that without reading often all the time.  */
void
fr_answer_state (struct front *front, struct hs_request *request,
                 const char *id)
{
  struct journal *journal = front->params.journal;

  if (!has_ended (front, id) && jr_reading_is_paused (journal)
      && jr_store_unreachable_ms (journal) == 0)
    jr_when_fresh (journal, STATE_FRESH_TIMEOUT_MS, on_table_read,
                   create_pending_call (front, request, id, "state"));
  else
    answer_known_state (front, request, id);
}

/* Reads the state in another host's answer.  Returns whether it has one.  */
static bool
read_state (const struct front *front, const char *body, enum jb_state *state)
{
  bool found = false;
  int i;

  for (i = JB_QUEUED; i <= JB_CANCELLED && !found; i++)
    {
      char *text = front->params.dialect.encode_state ((enum jb_state)i);

      found = strcmp (body, text) == 0;
      if (found)
        *state = (enum jb_state)i;
      g_free (text);
    }
  return found;
}

/* Notes the state that another host has answered, unless it is behind KNOWN,
   the state known here; NULL: nothing is.  Returns whether the caller may get
   that answer.  */
static bool
accept_answered_state (struct front *front, const char *id,
                       const enum jb_state *known,
                       const struct rl_answer *answer)
{
  enum jb_state told;

  if (answer->status != 200 || !read_state (front, answer->body, &told))
    return known == NULL;
  if (known != NULL && !jb_state_is_final (told) && told < *known)
    return false;
  fr_note_relayed_job (front, id, told);
  return true;
}

bool
fr_answer_newer_state (struct front *front, struct hs_request *request,
                       const struct rl_answer *answer)
{
  const char *id = fr_job_id (request);
  enum jb_state state;
  bool is_known = id != NULL && find_state (front, id, &state);

  if (id == NULL || (answer->status != 200 && answer->status != 410))
    return false;
  if (fr_submits (request) && answer->status == 200)
    fr_note_relayed_job (front, id, JB_QUEUED);
  if (strcmp (hs_method (request), "GET") != 0
      || accept_answered_state (front, id, is_known ? &state : NULL, answer))
    return false;
  lg_info (PART, "Another host knows less of a job.", "job", id, "status",
           lg_number (answer->status), "state", jb_state_name (state), NULL);
  answer_known_state (front, request, id);
  return true;
}

void
fr_answer_queue_length (struct front *front, struct hs_request *request,
                        const struct ct_queue *queue)
{
  GHashTableIter iter;
  void *value;
  uint32_t jobs = 0;
  char *body;

  g_hash_table_iter_init (&iter, jr_job_table (front->params.journal)->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_job *job = value;

      if (!job->started && !jb_state_is_final (job->visible_state)
          && jq_is_of (job, queue))
        jobs++;
    }
  body = front->params.dialect.encode_queue_length (jobs);
  fr_answer (front, request, "queue", 200, body);
  g_free (body);
}
