/* Makes the records that the measurements append, on the heap.  */

#include <string.h>

#include "bench.h"

struct be_batch
{
  GPtrArray *records;
};

static void
free_record (gpointer record)
{
  ft__record__free_unpacked (record, NULL);
}

struct be_batch *
be_batch_new (void)
{
  struct be_batch *batch = g_new0 (struct be_batch, 1);

  batch->records = g_ptr_array_new_with_free_func (free_record);
  return batch;
}

void
be_batch_free (struct be_batch *batch)
{
  g_ptr_array_free (batch->records, TRUE);
  g_free (batch);
}

static ProtobufCBinaryData
filled_bytes (size_t size_bytes)
{
  ProtobufCBinaryData bytes = { .len = size_bytes };

  bytes.data = g_malloc (size_bytes);
  memset (bytes.data, 'x', size_bytes);
  return bytes;
}

static ProtobufCBinaryData
random_bytes (size_t size_bytes)
{
  ProtobufCBinaryData bytes = filled_bytes (size_bytes);
  guint32 word;
  size_t i;

  for (i = 0; i + sizeof word <= size_bytes; i += sizeof word)
    {
      word = g_random_int ();
      memcpy (bytes.data + i, &word, sizeof word);
    }
  return bytes;
}

static Ft__Record *
add_record (struct be_batch *batch, Ft__Record__BodyCase body_case)
{
  Ft__Record *record = g_new (Ft__Record, 1);

  ft__record__init (record);
  record->id = random_bytes (ST_ID_SIZE_BYTES);
  record->host = g_strdup ("bole-1");
  record->term = 1;
  record->body_case = body_case;
  g_ptr_array_add (batch->records, record);
  return record;
}

static char *
job_name (uint32_t job)
{
  return g_strdup_printf ("clinics-dawn-plan-%08u", job);
}

void
be_batch_submit (struct be_batch *batch, uint32_t job, uint32_t tasks)
{
  Ft__Record *record = add_record (batch, FT__RECORD__BODY_JOB_SUBMIT);
  Ft__JobSubmit *body = g_new (Ft__JobSubmit, 1);
  Ft__JobSpec *spec = g_new (Ft__JobSpec, 1);

  record->job_submit = body;
  ft__job_submit__init (body);
  ft__job_spec__init (spec);
  body->job = job_name (job);
  body->digest = random_bytes (32);
  body->spec = spec;
  spec->team = g_strdup ("clinics");
  spec->kind = g_strdup ("dawn-plan");
  spec->repeatable = true;
  spec->declared_run_ms = 3600000;
  spec->payload = filled_bytes (BE_PAYLOAD_BYTES);
  spec->shape = g_new (Ft__Shape, 1);
  ft__shape__init (spec->shape);
  spec->shape->tasks = tasks;
  spec->shape->cpus_milli = 8000;
  spec->shape->memory_mb = 16384;
  spec->shape->accelerators = 1;
}

void
be_batch_place (struct be_batch *batch, uint32_t job, uint32_t tasks)
{
  Ft__Record *record = add_record (batch, FT__RECORD__BODY_JOB_PLACE);
  Ft__JobPlace *body = g_new (Ft__JobPlace, 1);
  Ft__Assignment *assignment;
  uint32_t i;

  record->job_place = body;
  ft__job_place__init (body);
  body->job = job_name (job);
  body->attempt = 1;
  body->n_assignments = tasks;
  body->assignments = g_new (Ft__Assignment *, tasks);
  for (i = 0; i < tasks; i++)
    {
      assignment = g_new (Ft__Assignment, 1);
      ft__assignment__init (assignment);
      assignment->task = i;
      assignment->worker = g_strdup_printf ("bole-rack-%02u-w%04u", i % 50,
                                            (job * 7 + i) % 3300);
      assignment->accelerators = 1U << (i % 8);
      body->assignments[i] = assignment;
    }
}

void
be_batch_start (struct be_batch *batch, uint32_t job)
{
  Ft__Record *record = add_record (batch, FT__RECORD__BODY_JOB_START);

  record->job_start = g_new (Ft__JobStart, 1);
  ft__job_start__init (record->job_start);
  record->job_start->job = job_name (job);
  record->job_start->attempt = 1;
}

void
be_batch_task_end (struct be_batch *batch, uint32_t job, uint32_t task)
{
  Ft__Record *record = add_record (batch, FT__RECORD__BODY_TASK_END);
  Ft__TaskEnd *body = g_new (Ft__TaskEnd, 1);

  record->task_end = body;
  ft__task_end__init (body);
  body->job = job_name (job);
  body->attempt = 1;
  body->task = task;
  body->ok = true;
  body->output = filled_bytes (BE_OUTPUT_BYTES);
}

void
be_batch_claim (struct be_batch *batch, uint32_t key)
{
  Ft__Record *record = add_record (batch, FT__RECORD__BODY_CLAIM);
  Ft__Claim *body = g_new (Ft__Claim, 1);

  record->claim = body;
  ft__claim__init (body);
  body->key = g_strdup_printf ("charge-household-%08u", key);
  body->request = g_strdup_printf ("r-%024u", key);
  body->team = g_strdup ("clinics");
  body->service = g_strdup ("charge");
  body->digest = random_bytes (32);
}

void
be_batch_claim_end (struct be_batch *batch, uint32_t key)
{
  Ft__Record *record = add_record (batch, FT__RECORD__BODY_CLAIM_END);
  Ft__ClaimEnd *body = g_new (Ft__ClaimEnd, 1);

  record->claim_end = body;
  ft__claim_end__init (body);
  body->key = g_strdup_printf ("charge-household-%08u", key);
  body->request = g_strdup_printf ("r-%024u", key);
  body->state = ST_CLAIM_DONE;
  body->status = 200;
  body->answer = filled_bytes (BE_ANSWER_BYTES);
}

void
be_batch_term (struct be_batch *batch)
{
  Ft__Record *record = add_record (batch, FT__RECORD__BODY_TERM_CLAIM);

  record->term_claim = g_new (Ft__TermClaim, 1);
  ft__term_claim__init (record->term_claim);
  record->term_claim->term = 1;
  record->term_claim->host = g_strdup ("bole-1");
}

void
be_batch_config (struct be_batch *batch, uint64_t base, uint32_t teams)
{
  Ft__Record *record = add_record (batch, FT__RECORD__BODY_CONFIG_CHANGE);
  Ft__ConfigChange *body = g_new (Ft__ConfigChange, 1);
  GString *text = g_string_new ("environment: production\nteams:\n");
  uint32_t i;

  for (i = 0; i < teams; i++)
    g_string_append_printf (text,
                            "- name: team-%03u\n  weight: 2\n"
                            "  quota: {accelerators: 64}\n"
                            "  guarantees:\n  - {count: 2, tasks: 2, "
                            "accelerators: 8, cpus_milli: 64000, "
                            "memory_mb: 65536, span: rack}\n",
                            i);
  record->config_change = body;
  ft__config_change__init (body);
  body->base_revision = base;
  body->digest = g_strnfill (64, 'd');
  body->author = g_strdup ("almaz");
  body->note = g_strdup ("share for the clinics");
  body->document.len = text->len;
  body->document.data = (uint8_t *)g_string_free (text, FALSE);
}

Ft__Record **
be_batch_records (const struct be_batch *batch, size_t *count)
{
  *count = batch->records->len;
  return (Ft__Record **)batch->records->pdata;
}

GBytes *
be_batch_pack_and_clear (struct be_batch *batch)
{
  Ft__Batch message = FT__BATCH__INIT;
  size_t size_bytes;
  uint8_t *packed;

  message.records = be_batch_records (batch, &message.n_records);
  size_bytes = ft__batch__get_packed_size (&message);
  packed = g_malloc (size_bytes + 1);
  ft__batch__pack (&message, packed);
  g_ptr_array_set_size (batch->records, 0);
  return g_bytes_new_take (packed, size_bytes);
}
