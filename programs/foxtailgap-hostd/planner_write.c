/* The planner's records.  A start is sent to its worker only once it is
   stored, and the outcome of a run is acknowledged only once its effects are
   stored.  An append is sent again with the same sequence number until its
   outcome is known.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "planner_private.h"

static const char PART[] = "planner";
static const char WRITER[] = "planner";

enum
{
  APPENDS_IN_FLIGHT_MAX = 4, /* of a batch; four lost in a row are rare */
  /* Of the first append under a term that the planner has raised.  A claim of
     the same term by another host begins at 0, so that the store refuses
     whichever comes second, and takes neither for a repetition.  */
  RAISED_SEQUENCE = 1 << 20,
  BATCH_MAX_BYTES = 1024 * 1024 /* half of the platform's limit for a call */
};

/* The state of a job as a batch stores it.  */
struct pl_stored_job
{
  char id[JB_ID_DIGITS + 1];
  enum jb_state state;
};

void
pl_batch_free (struct pl_batch *batch)
{
  if (batch == NULL)
    return;
  g_ptr_array_free (batch->records, TRUE);
  g_ptr_array_free (batch->jobs, TRUE);
  g_array_free (batch->starts, TRUE);
  if (batch->outcome_marks != NULL)
    g_array_free (batch->outcome_marks, TRUE);
  if (batch->leases != NULL)
    g_hash_table_destroy (batch->leases);
  if (batch->caller_writes != NULL)
    jr_added_writes_done (batch->caller_writes, SO_UNKNOWN);
  g_free (batch);
}

void
pl_drop_batch (struct planner *planner)
{
  pl_batch_free (planner->sending);
  planner->sending = NULL;
}

static void
send_stored_starts (struct planner *planner, const struct pl_batch *batch)
{
  guint i;

  for (i = 0; i < batch->starts->len; i++)
    {
      struct pl_pending_start *start
          = &g_array_index (batch->starts, struct pl_pending_start, i);

      if (start->task->state == JB_TASK_PLACED
          && start->task->run == start->run)
        wk_start (planner->workers, start->task); /* once it is permitted */
      else if (start->task->state == JB_TASK_STOPPING
               && start->task->run == start->run)
        wk_drop_unsent_run (planner->workers, start->task);
    }
}

static void
publish_stored_states (struct planner *planner, const struct pl_batch *batch)
{
  struct jb_table *table = jr_job_table (planner->params.journal);
  guint i;

  for (i = 0; i < batch->jobs->len; i++)
    {
      const struct pl_stored_job *stored = g_ptr_array_index (batch->jobs, i);
      struct jb_job *job = jb_table_find (table, stored->id);

      if (job == NULL || job->visible_state == stored->state)
        continue;
      if (!job->cancel_requested || jb_state_is_final (stored->state))
        job->visible_state = stored->state;
      if (jb_state_is_final (job->visible_state) && job->final_since_ms == 0)
        job->final_since_ms = clk_monotonic_ms (NULL);
      lg_info (PART, "A job's state is stored.", "job", job->id, "state",
               jb_state_name (stored->state), NULL);
    }
}

static void
batch_stored (struct planner *planner, int64_t sent_ms)
{
  struct pl_batch *batch = g_steal_pointer (&planner->sending);

  planner->appends_in_flight = 0;
  planner->sequence++;
  if (batch->raise)
    {
      lg_info (PART, "The term is raised.", "term",
               lg_number ((long long)planner->term), NULL);
      wk_term_raised (planner->workers, planner->term);
    }
  planner->last_append_end_ms = clk_monotonic_ms (NULL);
  if (batch->caller_writes != NULL)
    jr_added_writes_done (g_steal_pointer (&batch->caller_writes), SO_DONE);
  publish_stored_states (planner, batch);
  wk_outcomes_stored (planner->workers,
                      g_steal_pointer (&batch->outcome_marks));
  if (batch->leases != NULL)
    wk_leases_stored (planner->workers, g_steal_pointer (&batch->leases));
  planner->stored_batch_sent_ms = sent_ms;
  if (batch->release)
    planner->role = PL_RELEASED;
  else
    send_stored_starts (planner, batch);
  wk_send_waiting (planner->workers);
  pl_batch_free (batch);
}

/* @return : whether ATTEMPT carried what is being written now.  */
static bool
is_current_append (const struct planner *planner,
                   const struct pl_append *append)
{
  return planner->role == PL_PLANNER && planner->sending != NULL
         && append->term == planner->term
         && append->sequence == planner->sequence;
}

/* The next tick sends the batch again.  Its sequence number is the same, so it
   is stored once at most, however often it is sent.  */
static void
append_failed (struct planner *planner, enum so_result result)
{
  lg_info (PART, "An append of the planner failed; it is sent again.",
           "result", so_result_name (result), NULL);
  planner->last_append_end_ms = clk_monotonic_ms (NULL);
  if (planner->appends_in_flight > 0)
    planner->appends_in_flight--;
}

static void
handle_append_result (struct planner *planner, const struct pl_append *append,
                      enum so_result result)
{
  switch (result)
    {
    case SO_DONE:
      batch_stored (planner, append->sent_ms);
      if (planner->role == PL_PLANNER)
        pl_schedule_round (planner);
      return;
    case SO_FENCED:
    case SO_OUT_OF_SEQUENCE:
      pl_drop_batch (planner);
      pl_end_term (planner, so_result_name (result));
      return;
    case SO_REFUSED:
    case SO_UNKNOWN:
    case SO_EXPIRED:
    case SO_MALFORMED:
      append_failed (planner, result);
      return;
    }
}

static void
on_appended (void *ctx, const struct so_append_answer *answer)
{
  struct pl_append *append = ctx;
  struct planner *planner = append->planner;

  if (is_current_append (planner, append))
    handle_append_result (planner, append, answer->result);
  g_hash_table_remove (planner->unanswered_appends, append);
}

void
pl_send_batch (struct planner *planner)
{
  const struct so_port *store = &planner->params.store_port;
  struct pl_append *append = g_new0 (struct pl_append, 1);
  struct so_writer writer = { .name = WRITER,
                              .epoch = planner->term,
                              .sequence = planner->sequence };

  *append = (struct pl_append){ .planner = planner,
                                .term = planner->term,
                                .sequence = planner->sequence,
                                .sent_ms = clk_monotonic_ms (NULL) };
  g_hash_table_add (planner->unanswered_appends, append);
  planner->appends_in_flight++;
  planner->sending->sent_ms = append->sent_ms;
  store->append (store->ctx, planner->params.jobs_topic,
                 planner->sending->records, &writer,
                 jr_append_timeout_ms (planner->params.journal), on_appended,
                 append);
}

void
pl_resend_lost_append (struct planner *planner)
{
  if (planner->role == PL_PLANNER && planner->sending != NULL
      && planner->appends_in_flight > 0
      && planner->appends_in_flight < APPENDS_IN_FLIGHT_MAX
      && jr_append_is_lost (planner->params.journal,
                            planner->sending->sent_ms))
    pl_send_batch (planner);
}

/* Adds the record of a block of the job's tasks, unless it has not changed.
   @return : bytes added.  */
static size_t
add_block (struct pl_batch *batch, struct jb_job *job, size_t block)
{
  GByteArray *bytes = jb_encode_block (job, block);
  GByteArray *last = job->written_blocks[block];
  char *key;

  if (last != NULL && last->len == bytes->len
      && memcmp (last->data, bytes->data, bytes->len) == 0)
    {
      g_byte_array_free (bytes, TRUE);
      return 0;
    }
  if (last != NULL)
    g_byte_array_free (last, TRUE);
  job->written_blocks[block] = bytes;
  key = g_strdup_printf ("q/%s/%zu", job->id, block);
  g_ptr_array_add (batch->records,
                   so_record_create (key, bytes->data, bytes->len));
  g_free (key);
  return bytes->len;
}

static void
add_removal (struct pl_batch *batch, char *key)
{
  g_ptr_array_add (batch->records, so_record_create (key, NULL, 0));
  g_free (key);
}

/* A completed job has no blocks; without this a host that starts would have to
   read them until the job is removed.  */
static void
remove_written_blocks (struct pl_batch *batch, struct jb_job *job)
{
  size_t i;

  for (i = 0; i < job->task_total; i++)
    if (job->written_blocks[i] != NULL)
      add_removal (batch, g_strdup_printf ("q/%s/%zu", job->id, i));
  jb_job_forget_written (job);
}

/* @return : bytes added.  */
static size_t
add_progress (struct planner *planner, struct pl_batch *batch,
              struct jb_job *job)
{
  struct pl_stored_job *stored = g_new0 (struct pl_stored_job, 1);
  GByteArray *bytes = jb_encode_progress (job, planner->term);
  char key[JB_ID_DIGITS + 3];
  size_t size_bytes = bytes->len;
  size_t i;

  g_snprintf (key, sizeof key, "p/%s", job->id);
  g_ptr_array_add (batch->records,
                   so_record_create (key, bytes->data, bytes->len));
  g_strlcpy (stored->id, job->id, sizeof stored->id);
  stored->state = job->state;
  g_ptr_array_add (batch->jobs, stored);
  g_byte_array_free (bytes, TRUE);
  if (job->written_blocks == NULL)
    job->written_blocks = g_new0 (GByteArray *, job->task_total);
  for (i = 0; i < jb_block_count (job); i++)
    size_bytes += add_block (batch, job, i);
  if (job->state == JB_COMPLETED)
    remove_written_blocks (batch, job);
  return size_bytes;
}

static void
add_removals_of_job (struct planner *planner, struct pl_batch *batch,
                     const char *id)
{
  static const char kinds[] = "pcj"; /* the job itself last */
  const struct jb_job *job
      = jb_table_find (jr_job_table (planner->params.journal), id);
  size_t blocks
      = job == NULL ? 0
                    : (job->task_total + JB_BLOCK_TASKS - 1) / JB_BLOCK_TASKS;
  size_t i;

  for (i = 0; i < blocks; i++)
    add_removal (batch, g_strdup_printf ("q/%s/%zu", id, i));
  for (i = 0; i < sizeof kinds - 1; i++)
    add_removal (batch, g_strdup_printf ("%c/%s", kinds[i], id));
}

static void
add_job_removals (struct planner *planner, struct pl_batch *batch)
{
  guint i;

  for (i = 0; i < planner->jobs_to_remove->len; i++)
    add_removals_of_job (planner, batch,
                         g_ptr_array_index (planner->jobs_to_remove, i));
  g_ptr_array_set_size (planner->jobs_to_remove, 0);
}

static void
add_lease_record (struct planner *planner, struct pl_batch *batch)
{
  GByteArray *bytes;

  batch->leases = wk_collect_leases (planner->workers);
  bytes = jb_encode_leases (batch->leases);
  g_ptr_array_add (batch->records,
                   so_record_create ("w", bytes->data, bytes->len));
  g_byte_array_free (bytes, TRUE);
}

static void
add_speed_record (struct planner *planner, struct pl_batch *batch)
{
  GByteArray *bytes
      = sd_speeds_record (planner->sched, clk_monotonic_ms (NULL));

  if (bytes == NULL)
    return;
  g_ptr_array_add (batch->records,
                   so_record_create ("s", bytes->data, bytes->len));
  lg_info (PART, "The speeds of workers are recorded.", "bytes",
           lg_number (bytes->len), NULL);
  g_byte_array_free (bytes, TRUE);
}

static bool
no_new_outcomes (struct planner *planner)
{
  GArray *marks = wk_mark_outcomes (planner->workers);
  bool nothing = marks->len == 0;

  g_array_free (marks, TRUE);
  return nothing;
}

/* Adds the progress of the jobs that have changed, as many as there is room
   for; the others stay changed.
   @return : bytes added.  */
static size_t
add_changed_jobs (struct planner *planner, struct pl_batch *batch)
{
  GPtrArray *changed = sd_take_changed (planner->sched);
  size_t size_bytes = 0;
  guint i;

  for (i = 0; i < changed->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (changed, i);

      if (size_bytes < BATCH_MAX_BYTES)
        size_bytes += add_progress (planner, batch, job);
      else
        sd_job_changed (planner->sched, job);
    }
  g_ptr_array_free (changed, TRUE);
  return size_bytes;
}

/* Moves the starts of the jobs whose placements are in the batch there.  */
static void
add_starts (struct planner *planner, struct pl_batch *batch)
{
  GArray *left = g_array_new (FALSE, FALSE, sizeof (struct pl_pending_start));
  guint i;

  for (i = 0; i < planner->starts->len; i++)
    {
      struct pl_pending_start *start
          = &g_array_index (planner->starts, struct pl_pending_start, i);

      if (start->task->job->progress_changed)
        g_array_append_val (left, *start);
      else
        g_array_append_val (batch->starts, *start);
    }
  g_array_free (planner->starts, TRUE);
  planner->starts = left;
}

/* Whether other hosts, which count the planner's silence from its records of
   the term and of progress, would see nothing of it in the batch.  */
static bool
shows_no_planner (const struct pl_batch *batch)
{
  guint i;

  for (i = 0; i < batch->records->len; i++)
    {
      const struct so_record *record = g_ptr_array_index (batch->records, i);

      if (record->value != NULL && g_str_has_prefix (record->key, "p/"))
        return false;
    }
  return true;
}

static void
write_changes (struct planner *planner, bool heartbeat, bool release)
{
  struct pl_batch *batch;
  size_t size_bytes;

  if (planner->sending != NULL)
    return;
  if (!heartbeat && !release && !sd_has_changed (planner->sched)
      && planner->starts->len == 0 && no_new_outcomes (planner)
      && !wk_needs_higher_term (planner->workers)
      && !jr_writes_wait_for_planner (planner->params.journal)
      && !wk_lease_record_is_due (planner->workers))
    return;
  batch = g_new0 (struct pl_batch, 1);
  batch->records = so_records_create ();
  batch->jobs = g_ptr_array_new_with_free_func (g_free);
  batch->starts = g_array_new (FALSE, FALSE, sizeof (struct pl_pending_start));
  batch->release = release;
  batch->raise = !release && wk_needs_higher_term (planner->workers);
  if (batch->raise)
    {
      planner->term++;
      planner->sequence = RAISED_SEQUENCE;
    }
  size_bytes = add_changed_jobs (planner, batch);
  add_starts (planner, batch);
  /* An outcome may belong to any of the jobs that are left.  */
  batch->outcome_marks = sd_has_changed (planner->sched)
                             ? wk_no_outcome_marks ()
                             : wk_mark_outcomes (planner->workers);
  add_job_removals (planner, batch);
  if (wk_lease_record_is_due (planner->workers))
    add_lease_record (planner, batch);
  add_speed_record (planner, batch);
  if (!release && size_bytes < BATCH_MAX_BYTES)
    batch->caller_writes = jr_add_writes_to_append (
        planner->params.journal, batch->records, BATCH_MAX_BYTES - size_bytes);
  if (release || batch->raise || shows_no_planner (batch))
    g_ptr_array_add (batch->records, pl_create_term_record (planner, release));
  planner->sending = batch;
  pl_send_batch (planner);
}

void
pl_write_changes (struct planner *planner, bool heartbeat, bool release)
{
  enum ll_part outer = ll_enter (LL_RECORDS);

  write_changes (planner, heartbeat, release);
  ll_leave (outer);
}
