/* Builds records and folds them into a state, for tests.  The sf_* functions
   that fold a record return its verdict.  Prefix: sf_.  */

#ifndef FT_STATE_FIXTURE_H
#define FT_STATE_FIXTURE_H

#include <glib.h>
#include <string.h>

#include "state/state.h"

enum
{
  SF_WINDOW_MS = 1000000 /* how long ended jobs and claims are kept */
};

struct sf_fixture
{
  struct st_state *state;
  int64_t time_ms;         /* log time of the next append */
  uint64_t newest_id;      /* number in the id of the newest record */
  enum st_verdict verdict; /* of the newest record */
  /* Calls of the observer.  */
  int verdict_count;
  int term_changes;
  int config_changes;
  int job_changes;
  int jobs_dropped;
  int claim_changes;
  int claims_dropped;
};

static inline void
sf_on_verdict (void *ctx, const uint8_t id[ST_ID_SIZE_BYTES],
               enum st_verdict verdict)
{
  struct sf_fixture *f = ctx;

  (void)id;
  f->verdict = verdict;
  f->verdict_count++;
}

static inline void
sf_on_term (void *ctx, uint64_t term, const char *holder)
{
  (void)term;
  (void)holder;
  ((struct sf_fixture *)ctx)->term_changes++;
}

static inline void
sf_on_config (void *ctx, const struct st_revision *revision)
{
  (void)revision;
  ((struct sf_fixture *)ctx)->config_changes++;
}

static inline void
sf_on_job (void *ctx, struct st_job *job)
{
  (void)job;
  ((struct sf_fixture *)ctx)->job_changes++;
}

static inline void
sf_on_job_dropped (void *ctx, const char *id)
{
  (void)id;
  ((struct sf_fixture *)ctx)->jobs_dropped++;
}

static inline void
sf_on_claim (void *ctx, struct st_claim *claim)
{
  (void)claim;
  ((struct sf_fixture *)ctx)->claim_changes++;
}

static inline void
sf_on_claim_dropped (void *ctx, const char *key)
{
  (void)key;
  ((struct sf_fixture *)ctx)->claims_dropped++;
}

static inline void
sf_open (struct sf_fixture *f)
{
  struct st_observer observer = { .on_term = sf_on_term,
                                  .on_config = sf_on_config,
                                  .on_job = sf_on_job,
                                  .on_job_dropped = sf_on_job_dropped,
                                  .on_claim = sf_on_claim,
                                  .on_claim_dropped = sf_on_claim_dropped,
                                  .on_verdict = sf_on_verdict,
                                  .ctx = f };

  memset (f, 0, sizeof *f);
  f->time_ms = 1000;
  g_assert (st_create (&f->state, &observer, SF_WINDOW_MS) == ST_OK);
}

static inline void
sf_close (struct sf_fixture *f)
{
  st_free (f->state);
}

/* Packs one record as an append.  */
static inline GBytes *
sf_pack (Ft__Record *record)
{
  Ft__Batch batch = FT__BATCH__INIT;
  size_t size_bytes;
  uint8_t *packed;

  batch.n_records = 1;
  batch.records = &record;
  size_bytes = ft__batch__get_packed_size (&batch);
  packed = g_malloc (size_bytes);
  ft__batch__pack (&batch, packed);
  return g_bytes_new_take (packed, size_bytes);
}

/* Folds one record whose id holds NUMBER.  */
static inline enum st_verdict
sf_fold_with_id (struct sf_fixture *f, Ft__Record *record, uint64_t number)
{
  uint8_t id[ST_ID_SIZE_BYTES] = { 0 };
  GBytes *bytes;

  memcpy (id, &number, sizeof number);
  record->id.data = id;
  record->id.len = sizeof id;
  if (record->host[0] == '\0')
    record->host = (char *)"bole-1";
  bytes = sf_pack (record);
  st_apply (f->state, st_next_offset (f->state), f->time_ms,
            g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
  return f->verdict;
}

static inline enum st_verdict
sf_fold (struct sf_fixture *f, Ft__Record *record)
{
  return sf_fold_with_id (f, record, ++f->newest_id);
}

static inline ProtobufCBinaryData
sf_borrow_bytes (const char *text)
{
  return (ProtobufCBinaryData){ .len = strlen (text),
                                .data = (uint8_t *)text };
}

static inline enum st_verdict
sf_acquire_term_with_window (struct sf_fixture *f, uint64_t term,
                             const char *host, uint64_t outcome_window_ms)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__TermClaim body = FT__TERM_CLAIM__INIT;

  body.term = term;
  body.host = (char *)host;
  body.outcome_window_ms = outcome_window_ms;
  record.body_case = FT__RECORD__BODY_TERM_CLAIM;
  record.term_claim = &body;
  return sf_fold (f, &record);
}

static inline enum st_verdict
sf_acquire_term (struct sf_fixture *f, uint64_t term, const char *host)
{
  return sf_acquire_term_with_window (f, term, host, 0);
}

static inline enum st_verdict
sf_change_config (struct sf_fixture *f, uint64_t base, const char *document)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__ConfigChange body = FT__CONFIG_CHANGE__INIT;

  body.base_revision = base;
  body.digest = (char *)"digest";
  body.document = sf_borrow_bytes (document);
  body.author = (char *)"almaz";
  record.body_case = FT__RECORD__BODY_CONFIG_CHANGE;
  record.config_change = &body;
  return sf_fold (f, &record);
}

static inline enum st_verdict
sf_submit (struct sf_fixture *f, const char *job, uint32_t tasks,
           bool repeatable, const char *digest)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobSubmit body = FT__JOB_SUBMIT__INIT;
  Ft__JobSpec spec = FT__JOB_SPEC__INIT;
  Ft__Shape shape = FT__SHAPE__INIT;

  shape.tasks = tasks;
  shape.accelerators = 1;
  spec.team = (char *)"clinics";
  spec.shape = &shape;
  spec.repeatable = repeatable;
  body.job = (char *)job;
  body.spec = &spec;
  body.digest = sf_borrow_bytes (digest);
  record.body_case = FT__RECORD__BODY_JOB_SUBMIT;
  record.job_submit = &body;
  return sf_fold (f, &record);
}

/* Places TASKS tasks, each on another worker.  */
static inline enum st_verdict
sf_place (struct sf_fixture *f, uint64_t term, const char *job,
          uint32_t attempt, uint32_t tasks)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobPlace body = FT__JOB_PLACE__INIT;
  Ft__Assignment assignments[PLACE_TASK_LIMIT];
  Ft__Assignment *pointers[PLACE_TASK_LIMIT];
  char names[PLACE_TASK_LIMIT][16];
  uint32_t i;

  for (i = 0; i < tasks; i++)
    {
      ft__assignment__init (&assignments[i]);
      g_snprintf (names[i], sizeof names[i], "w%u", i);
      assignments[i].task = i;
      assignments[i].worker = names[i];
      assignments[i].accelerators = 1;
      pointers[i] = &assignments[i];
    }
  body.job = (char *)job;
  body.attempt = attempt;
  body.n_assignments = tasks;
  body.assignments = pointers;
  record.term = term;
  record.body_case = FT__RECORD__BODY_JOB_PLACE;
  record.job_place = &body;
  return sf_fold (f, &record);
}

static inline enum st_verdict
sf_start (struct sf_fixture *f, uint64_t term, const char *job,
          uint32_t attempt)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobStart body = FT__JOB_START__INIT;

  body.job = (char *)job;
  body.attempt = attempt;
  record.term = term;
  record.body_case = FT__RECORD__BODY_JOB_START;
  record.job_start = &body;
  return sf_fold (f, &record);
}

static inline enum st_verdict
sf_task_end (struct sf_fixture *f, const char *job, uint32_t attempt,
             uint32_t task, bool ok, const char *output)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__TaskEnd body = FT__TASK_END__INIT;

  body.job = (char *)job;
  body.attempt = attempt;
  body.task = task;
  body.ok = ok;
  body.output = sf_borrow_bytes (output);
  record.body_case = FT__RECORD__BODY_TASK_END;
  record.task_end = &body;
  return sf_fold (f, &record);
}

/* AGAIN: the job is queued again.  NOT_STARTED: no task can have run.  */
static inline enum st_verdict
sf_stop (struct sf_fixture *f, uint64_t term, const char *job,
         uint32_t attempt, bool again, bool not_started)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobStop body = FT__JOB_STOP__INIT;

  body.job = (char *)job;
  body.attempt = attempt;
  body.again = again;
  body.not_started = not_started;
  body.reason = (char *)"stopped";
  body.progress_ms = 500;
  record.term = term;
  record.body_case = FT__RECORD__BODY_JOB_STOP;
  record.job_stop = &body;
  return sf_fold (f, &record);
}

static inline enum st_verdict
sf_cancel (struct sf_fixture *f, const char *job)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobCancel body = FT__JOB_CANCEL__INIT;

  body.job = (char *)job;
  record.body_case = FT__RECORD__BODY_JOB_CANCEL;
  record.job_cancel = &body;
  return sf_fold (f, &record);
}

static inline enum st_verdict
sf_refuse (struct sf_fixture *f, uint64_t term, const char *job)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobRefuse body = FT__JOB_REFUSE__INIT;

  body.job = (char *)job;
  body.reason = (char *)"never fits";
  record.term = term;
  record.body_case = FT__RECORD__BODY_JOB_REFUSE;
  record.job_refuse = &body;
  return sf_fold (f, &record);
}

/* Claims an idempotency key for a request.  */
static inline enum st_verdict
sf_claim (struct sf_fixture *f, const char *host, const char *key,
          const char *request, const char *digest)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__Claim body = FT__CLAIM__INIT;

  body.key = (char *)key;
  body.request = (char *)request;
  body.team = (char *)"clinics";
  body.service = (char *)"charge";
  body.digest = sf_borrow_bytes (digest);
  record.host = (char *)host;
  record.body_case = FT__RECORD__BODY_CLAIM;
  record.claim = &body;
  return sf_fold (f, &record);
}

static inline enum st_verdict
sf_claim_end (struct sf_fixture *f, const char *host, const char *key,
              const char *request, enum st_claim_state state)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__ClaimEnd body = FT__CLAIM_END__INIT;

  body.key = (char *)key;
  body.request = (char *)request;
  body.state = state;
  body.status = 200;
  body.answer = sf_borrow_bytes ("paid");
  record.host = (char *)host;
  record.body_case = FT__RECORD__BODY_CLAIM_END;
  record.claim_end = &body;
  return sf_fold (f, &record);
}

/* @return : 0, which is no st_job_state, if the job is not known.  */
static inline enum st_job_state
sf_job_state (const struct sf_fixture *f, const char *id)
{
  const struct st_job *job = st_job (f->state, id);

  return job == NULL ? (enum st_job_state)0 : job->state;
}

#endif
