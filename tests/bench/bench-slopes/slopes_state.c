/* Slopes of the folded state: bytes in memory, in records and in snapshots,
   and processor time of applying records.  */

#include <string.h>

#include "slopes.h"
#include "state/state.h"

enum
{
  OUTCOME_WINDOW_MS = 3600000,
  PAYLOAD_SIZE_BYTES = 200,
  ANSWER_SIZE_BYTES = 200,
  DIGEST_SIZE_BYTES = 32,
  NAME_SIZE_BYTES = 40,
  JOBS = 100,          /* jobs whose tasks are measured */
  CONFIG_CHANGES = 64, /* more than keep their document */
  TIME_MS = 1000
};

/* A folded state, and the cost of the records that were applied to it.  */
struct log
{
  struct st_state *state;
  uint64_t ids;
  uint64_t bytes; /* of all records, one in each append */
  double cpu_us;  /* of applying the records */
};

static uint8_t filler[PAYLOAD_SIZE_BYTES];

static void
open_log (struct log *log)
{
  struct st_observer observer = { 0 };

  memset (log, 0, sizeof *log);
  memset (filler, 'x', sizeof filler);
  g_assert (st_create (&log->state, &observer, OUTCOME_WINDOW_MS) == ST_OK);
}

/* Applies RECORD as an append of its own.  Returns its size.  */
static size_t
fold_record (struct log *log, Ft__Record *record)
{
  Ft__Batch batch = FT__BATCH__INIT;
  uint8_t id[ST_ID_SIZE_BYTES] = { 0 };
  size_t size_bytes;
  uint8_t *packed;
  double start_us;

  log->ids++;
  memcpy (id, &log->ids, sizeof log->ids);
  record->id.data = id;
  record->id.len = sizeof id;
  record->host = (char *)"entry-0001";
  batch.n_records = 1;
  batch.records = &record;
  size_bytes = ft__batch__get_packed_size (&batch);
  packed = g_malloc (size_bytes);
  ft__batch__pack (&batch, packed);
  start_us = sl_cpu_us ();
  st_apply (log->state, st_next_offset (log->state), TIME_MS, packed,
            size_bytes);
  log->cpu_us += sl_cpu_us () - start_us;
  log->bytes += size_bytes;
  g_free (packed);
  return size_bytes;
}

static void
job_name (char name[NAME_SIZE_BYTES], unsigned int number)
{
  g_snprintf (name, NAME_SIZE_BYTES, "%032x", number);
}

static size_t
acquire_term (struct log *log)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__TermClaim body = FT__TERM_CLAIM__INIT;

  body.term = 1;
  body.host = (char *)"entry-0001";
  record.body_case = FT__RECORD__BODY_TERM_CLAIM;
  record.term_claim = &body;
  return fold_record (log, &record);
}

static size_t
submit_job (struct log *log, unsigned int number, unsigned int tasks)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobSubmit body = FT__JOB_SUBMIT__INIT;
  Ft__JobSpec spec = FT__JOB_SPEC__INIT;
  Ft__Shape shape = FT__SHAPE__INIT;
  char name[NAME_SIZE_BYTES];

  job_name (name, number);
  shape.tasks = tasks;
  shape.cpus_milli = 1000;
  shape.memory_mb = 1024;
  shape.accelerators = 1;
  spec.team = (char *)"team-0001";
  spec.kind = (char *)"dawn-plan";
  spec.declared_run_ms = 3600000;
  spec.shape = &shape;
  spec.payload.data = filler;
  spec.payload.len = PAYLOAD_SIZE_BYTES;
  spec.attempt_limit = 3;
  body.job = name;
  body.spec = &spec;
  body.digest.data = filler;
  body.digest.len = DIGEST_SIZE_BYTES;
  record.body_case = FT__RECORD__BODY_JOB_SUBMIT;
  record.job_submit = &body;
  return fold_record (log, &record);
}

static size_t
place_job (struct log *log, unsigned int number, unsigned int tasks)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobPlace body = FT__JOB_PLACE__INIT;
  Ft__Assignment assignments[PLACE_TASK_LIMIT];
  Ft__Assignment *pointers[PLACE_TASK_LIMIT];
  char name[NAME_SIZE_BYTES];
  unsigned int i;

  job_name (name, number);
  for (i = 0; i < tasks; i++)
    {
      ft__assignment__init (&assignments[i]);
      assignments[i].task = i;
      assignments[i].worker = (char *)"worker-0001";
      assignments[i].accelerators = 1;
      pointers[i] = &assignments[i];
    }
  body.job = name;
  body.attempt = 1;
  body.n_assignments = tasks;
  body.assignments = pointers;
  record.term = 1;
  record.body_case = FT__RECORD__BODY_JOB_PLACE;
  record.job_place = &body;
  return fold_record (log, &record);
}

static size_t
start_job (struct log *log, unsigned int number)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__JobStart body = FT__JOB_START__INIT;
  char name[NAME_SIZE_BYTES];

  job_name (name, number);
  body.job = name;
  body.attempt = 1;
  record.term = 1;
  record.body_case = FT__RECORD__BODY_JOB_START;
  record.job_start = &body;
  return fold_record (log, &record);
}

static size_t
end_task (struct log *log, unsigned int number, unsigned int task)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__TaskEnd body = FT__TASK_END__INIT;
  char name[NAME_SIZE_BYTES];

  job_name (name, number);
  body.job = name;
  body.attempt = 1;
  body.task = task;
  body.ok = true;
  body.worker = (char *)"worker-0001";
  body.output.data = filler;
  body.output.len = DIGEST_SIZE_BYTES;
  record.body_case = FT__RECORD__BODY_TASK_END;
  record.task_end = &body;
  return fold_record (log, &record);
}

static size_t
claim (struct log *log, unsigned int number)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__Claim body = FT__CLAIM__INIT;
  char name[NAME_SIZE_BYTES];

  job_name (name, number);
  body.key = name;
  body.request = name;
  body.team = (char *)"team-0001";
  body.service = (char *)"rounds-planning";
  body.digest.data = filler;
  body.digest.len = DIGEST_SIZE_BYTES;
  record.body_case = FT__RECORD__BODY_CLAIM;
  record.claim = &body;
  return fold_record (log, &record);
}

static size_t
end_claim (struct log *log, unsigned int number)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__ClaimEnd body = FT__CLAIM_END__INIT;
  char name[NAME_SIZE_BYTES];

  job_name (name, number);
  body.key = name;
  body.request = name;
  body.state = ST_CLAIM_DONE;
  body.status = 200;
  body.answer.data = filler;
  body.answer.len = ANSWER_SIZE_BYTES;
  record.body_case = FT__RECORD__BODY_CLAIM_END;
  record.claim_end = &body;
  return fold_record (log, &record);
}

static size_t
change_configuration (struct log *log, const char *document)
{
  Ft__Record record = FT__RECORD__INIT;
  Ft__ConfigChange body = FT__CONFIG_CHANGE__INIT;

  body.base_revision = st_revision (log->state);
  body.digest = (char *)"0123456789abcdef0123456789abcdef"
                        "0123456789abcdef0123456789abcdef";
  body.document.data = (uint8_t *)document;
  body.document.len = strlen (document);
  body.author = (char *)"operator";
  record.body_case = FT__RECORD__BODY_CONFIG_CHANGE;
  record.config_change = &body;
  return fold_record (log, &record);
}

static void
print_snapshot_points (const char *size_name, const char *time_name, double x,
                       const struct log *log)
{
  uint8_t *data = NULL;
  size_t size_bytes = 0;
  double start_us = sl_cpu_us ();

  g_assert (st_encode (log->state, &data, &size_bytes) == ST_OK);
  sl_point (time_name, x, sl_cpu_us () - start_us);
  sl_point (size_name, x, (double)size_bytes);
  free (data);
}

static void
measure_queued_jobs (unsigned int jobs)
{
  double heap_bytes = sl_heap_bytes ();
  struct log log;
  unsigned int i;

  open_log (&log);
  for (i = 0; i < jobs; i++)
    submit_job (&log, i, 1);
  sl_point ("state.heap_bytes_per_queued_job", jobs,
            sl_heap_bytes () - heap_bytes);
  sl_point ("fold.cpu_us_per_submit", jobs, log.cpu_us);
  sl_point ("log.bytes_per_submit", jobs, (double)log.bytes);
  print_snapshot_points ("snapshot.bytes_per_queued_job",
                         "snapshot.cpu_us_per_queued_job", jobs, &log);
  st_free (log.state);
}

static void
measure_running_tasks (unsigned int tasks)
{
  double heap_bytes = sl_heap_bytes ();
  double task_count = (double)JOBS * tasks;
  struct log log;
  unsigned int i;
  unsigned int t;

  open_log (&log);
  acquire_term (&log);
  for (i = 0; i < JOBS; i++)
    {
      submit_job (&log, i, tasks);
      place_job (&log, i, tasks);
      start_job (&log, i);
    }
  sl_point ("state.heap_bytes_per_running_task", task_count,
            sl_heap_bytes () - heap_bytes);
  sl_point ("log.bytes_per_placed_task", task_count, (double)log.bytes);
  print_snapshot_points ("snapshot.bytes_per_running_task",
                         "snapshot.cpu_us_per_running_task", task_count, &log);
  log.bytes = 0;
  log.cpu_us = 0;
  for (i = 0; i < JOBS; i++)
    for (t = 0; t < tasks; t++)
      end_task (&log, i, t);
  sl_point ("log.bytes_per_task_end", task_count, (double)log.bytes);
  sl_point ("fold.cpu_us_per_task_end", task_count, log.cpu_us);
  sl_point ("state.heap_bytes_per_ended_task", task_count,
            sl_heap_bytes () - heap_bytes);
  print_snapshot_points ("snapshot.bytes_per_ended_task",
                         "snapshot.cpu_us_per_ended_task", task_count, &log);
  st_free (log.state);
}

/* Processor time of one end of a task by the size of its gang.  */
static void
measure_task_ends (unsigned int tasks)
{
  struct log log;
  unsigned int i;
  unsigned int t;

  open_log (&log);
  acquire_term (&log);
  for (i = 0; i < JOBS; i++)
    {
      submit_job (&log, i, tasks);
      place_job (&log, i, tasks);
      start_job (&log, i);
    }
  log.cpu_us = 0;
  for (i = 0; i < JOBS; i++)
    for (t = 0; t + 1 < tasks; t++)
      end_task (&log, i, t);
  sl_point ("fold.cpu_us_per_task_end_by_gang_size", tasks,
            log.cpu_us / ((double)JOBS * (tasks - 1)));
  st_free (log.state);
}

static void
measure_claims (unsigned int claims)
{
  double heap_bytes = sl_heap_bytes ();
  struct log log;
  unsigned int i;

  open_log (&log);
  for (i = 0; i < claims; i++)
    {
      claim (&log, i);
      end_claim (&log, i);
    }
  sl_point ("state.heap_bytes_per_claim", claims,
            sl_heap_bytes () - heap_bytes);
  sl_point ("log.bytes_per_claim_and_end", claims, (double)log.bytes);
  sl_point ("fold.cpu_us_per_claim_and_end", claims, log.cpu_us);
  print_snapshot_points ("snapshot.bytes_per_claim",
                         "snapshot.cpu_us_per_claim", claims, &log);
  st_free (log.state);
}

static void
measure_config_changes (unsigned int teams)
{
  char *document = sl_document (teams);
  double heap_bytes = sl_heap_bytes ();
  struct log log;
  unsigned int i;

  open_log (&log);
  for (i = 0; i < CONFIG_CHANGES; i++)
    change_configuration (&log, document);
  sl_point ("log.bytes_per_change_by_teams", teams,
            (double)log.bytes / CONFIG_CHANGES);
  sl_point ("fold.cpu_us_per_change_by_teams", teams,
            log.cpu_us / CONFIG_CHANGES);
  sl_point ("state.heap_bytes_of_revisions_by_teams", teams,
            sl_heap_bytes () - heap_bytes);
  print_snapshot_points ("snapshot.bytes_of_revisions_by_teams",
                         "snapshot.cpu_us_of_revisions_by_teams", teams, &log);
  st_free (log.state);
  g_free (document);
}

void
sl_state (void)
{
  static const unsigned int counts[] = { 500, 1000, 2000, 4000, 8000 };
  static const unsigned int tasks[] = { 1, 8, 32, 64, 128 };
  static const unsigned int gangs[] = { 8, 32, 64, 128, 256 };
  static const unsigned int teams[] = { 4, 40, 80, 160, 320 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (counts); i++)
    measure_queued_jobs (counts[i]);
  for (i = 0; i < G_N_ELEMENTS (tasks); i++)
    measure_running_tasks (tasks[i]);
  for (i = 0; i < G_N_ELEMENTS (gangs); i++)
    measure_task_ends (gangs[i]);
  for (i = 0; i < G_N_ELEMENTS (counts); i++)
    measure_claims (counts[i]);
  for (i = 0; i < G_N_ELEMENTS (teams); i++)
    measure_config_changes (teams[i]);
}
