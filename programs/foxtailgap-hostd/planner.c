/* The planner's rounds and records.  A start is sent only once it is stored,
   an end is acknowledged only once its effects are.  */

#include "planner.h"

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "planner_private.h"

static const char PART[] = "planner";
static const char WRITER[] = "planner";

enum
{
  TICK_MS = 50,
  ROUND_DELAY_MS = 4, /* events close together are decided in one round */
  /* Rounds leave three quarters of the processor to the calls.  */
  ROUND_REST = 3,
  ROUND_DELAY_MAX_MS = 100,
  HEARTBEAT_MS = 200,
  APPEND_TIMEOUT_MS = 900,
  APPEND_AGAIN_MS = 50,
  /* After a takeover rounds wait this long for the workers' first answers. */
  SETTLE_MS = 400,
  /* A tick that comes this late shows that the process was paused.  */
  DROP_INTERVAL_MS = 1000,
  LOAD_INTERVAL_MS = 5000,
  PAUSE_MS = 700,
  BATCH_MAX_BYTES = 1024 * 1024 /* half of the platform's limit of a call */
};

struct pl_start
{
  struct jb_task *task;
  uint32_t run;
};

struct pl_stored_job
{
  char id[JB_ID_DIGITS + 1];
  enum jb_state state;
};

static void send_batch (struct planner *planner);

/* --- Records --- */

void
pl_batch_free (struct pl_batch *batch)
{
  if (batch == NULL)
    return;
  g_ptr_array_free (batch->records, TRUE);
  g_ptr_array_free (batch->jobs, TRUE);
  g_array_free (batch->starts, TRUE);
  if (batch->heard != NULL)
    g_array_free (batch->heard, TRUE);
  g_free (batch);
}

static void
drop_batch (struct planner *planner)
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
      struct pl_start *start
          = &g_array_index (batch->starts, struct pl_start, i);

      if (start->task->state == JB_TASK_PLACED
          && start->task->run == start->run)
        wk_start (planner->workers, start->task);
      else if (start->task->state == JB_TASK_STOPPING
               && start->task->run == start->run)
        start->task->settled_ms
            = MIN (start->task->settled_ms, clk_monotonic_ms (NULL));
    }
}

static void
show_stored_jobs (struct planner *planner, const struct pl_batch *batch)
{
  struct jb_table *table = jr_table (planner->params.journal);
  guint i;

  for (i = 0; i < batch->jobs->len; i++)
    {
      const struct pl_stored_job *stored = g_ptr_array_index (batch->jobs, i);
      struct jb_job *job = jb_table_find (table, stored->id);

      if (job == NULL || job->shown == stored->state)
        continue;
      if (!job->cancelled || jb_state_is_final (stored->state))
        job->shown = stored->state;
      if (jb_state_is_final (job->shown) && job->final_ms == 0)
        job->final_ms = clk_monotonic_ms (NULL);
      lg_info (PART, "A job's state is stored.", "job", job->id, "state",
               jb_state_name (stored->state), NULL);
    }
}

static void
batch_stored (struct planner *planner)
{
  struct pl_batch *batch = g_steal_pointer (&planner->sending);

  planner->append_open = false;
  planner->sequence++;
  planner->written_ms = clk_monotonic_ms (NULL);
  show_stored_jobs (planner, batch);
  wk_mark_stored (planner->workers, g_steal_pointer (&batch->heard));
  if (!batch->release)
    send_stored_starts (planner, batch);
  else
    planner->role = PL_RELEASED;
  pl_batch_free (batch);
}

static void
on_appended (void *ctx, const struct so_append_answer *answer)
{
  struct planner *planner = ctx;

  if (planner->role != PL_PLANNER || planner->sending == NULL)
    {
      drop_batch (planner);
      planner->append_open = false;
      return;
    }
  switch (answer->result)
    {
    case SO_DONE:
      batch_stored (planner);
      if (planner->role == PL_PLANNER)
        pl_wake (planner);
      return;
    case SO_FENCED:
    case SO_ORDER:
      drop_batch (planner);
      pl_term_lost (planner, so_result_name (answer->result));
      return;
    case SO_REFUSED:
    case SO_UNKNOWN:
    case SO_EXPIRED:
    case SO_FORMAT:
      /* The same sequence number: it is stored once at most.  The tick sends
         it again.  */
      lg_info (PART, "An append of the planner failed.", "result",
               so_result_name (answer->result), NULL);
      planner->written_ms = clk_monotonic_ms (NULL);
      planner->append_open = false;
      return;
    }
}

static void
send_batch (struct planner *planner)
{
  const struct so_port *store = &planner->params.store;
  struct so_writer writer = { .name = WRITER,
                              .epoch = planner->term,
                              .sequence = planner->sequence };

  planner->append_open = true;
  store->append (store->ctx, planner->params.jobs_topic,
                 planner->sending->records, &writer, APPEND_TIMEOUT_MS,
                 on_appended, planner);
}

static void
add_progress (struct planner *planner, struct pl_batch *batch,
              struct jb_job *job)
{
  struct pl_stored_job *stored = g_new0 (struct pl_stored_job, 1);
  GByteArray *bytes = jb_encode_progress (job, planner->term);
  char key[JB_ID_DIGITS + 3];

  g_snprintf (key, sizeof key, "p/%s", job->id);
  g_ptr_array_add (batch->records,
                   so_record_create (key, bytes->data, bytes->len));
  g_strlcpy (stored->id, job->id, sizeof stored->id);
  stored->state = job->state;
  g_ptr_array_add (batch->jobs, stored);
  g_byte_array_free (bytes, TRUE);
}

static void
add_drops (struct planner *planner, struct pl_batch *batch)
{
  static const char kinds[] = "pcj"; /* the job itself last */
  guint i;
  size_t k;

  for (i = 0; i < planner->drops->len; i++)
    for (k = 0; k < sizeof kinds - 1; k++)
      {
        char *key = g_strdup_printf (
            "%c/%s", kinds[k], (char *)g_ptr_array_index (planner->drops, i));

        g_ptr_array_add (batch->records, so_record_create (key, NULL, 0));
        g_free (key);
      }
  g_ptr_array_set_size (planner->drops, 0);
}

static bool
nothing_heard (struct planner *planner)
{
  GArray *heard = wk_mark_heard (planner->workers);
  bool nothing = heard->len == 0;

  g_array_free (heard, TRUE);
  return nothing;
}

void
pl_flush (struct planner *planner, bool heartbeat, bool release)
{
  struct pl_batch *batch;
  GPtrArray *changed;
  guint i;

  if (planner->sending != NULL)
    return;
  if (!heartbeat && !release && !sd_has_changed (planner->sched)
      && planner->starts->len == 0 && nothing_heard (planner))
    return;
  batch = g_new0 (struct pl_batch, 1);
  batch->records = so_records_create ();
  batch->jobs = g_ptr_array_new_with_free_func (g_free);
  batch->starts = planner->starts;
  batch->heard = wk_mark_heard (planner->workers);
  batch->release = release;
  planner->starts = g_array_new (FALSE, FALSE, sizeof (struct pl_start));
  changed = sd_take_changed (planner->sched);
  for (i = 0; i < changed->len; i++)
    add_progress (planner, batch, g_ptr_array_index (changed, i));
  g_ptr_array_free (changed, TRUE);
  add_drops (planner, batch);
  if (batch->records->len == 0 || release)
    g_ptr_array_add (batch->records, pl_term_record (planner, release));
  planner->sending = batch;
  send_batch (planner);
}

/* --- Rounds --- */

static void
decide (struct planner *planner)
{
  struct sd_commands commands
      = { .starts = g_ptr_array_new (), .stops = g_ptr_array_new () };
  guint i;

  sd_round (planner->sched, clk_monotonic_ms (NULL), clk_unix_ms (),
            &commands);
  for (i = 0; i < commands.starts->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (commands.starts, i);
      struct pl_start start = { .task = task, .run = task->run };

      g_array_append_val (planner->starts, start);
      lg_info (PART, "A task is placed.", "job", task->job->id, "step",
               lg_number (task->step->number), "index",
               lg_number (task->index), "run", lg_number (task->run), "worker",
               task->worker, NULL);
    }
  for (i = 0; i < commands.stops->len; i++)
    wk_stop (planner->workers, g_ptr_array_index (commands.stops, i));
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
}

/* Rounds begin when the workers have been asked what they run.  */
static bool
is_settled (struct planner *planner)
{
  int64_t now_ms = clk_monotonic_ms (NULL);

  if (planner->settled)
    return true;
  if (!planner->list_loaded)
    return false;
  if (wk_unseen (planner->workers) > 0
      && now_ms - planner->term_began_ms < SETTLE_MS)
    return false;
  planner->settled = true;
  lg_info (PART, "The workers have been asked.", "unseen",
           lg_number (wk_unseen (planner->workers)), "after_ms",
           lg_number (now_ms - planner->term_began_ms), NULL);
  return true;
}

static void
on_round (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct planner *planner = watcher->data;

  (void)loop;
  (void)events;
  if (planner->role != PL_PLANNER || planner->releasing)
    return;
  if (is_settled (planner))
    {
      int64_t before_us = clk_cpu_us ();

      decide (planner);
      planner->last_round_us = clk_cpu_us () - before_us;
      planner->round_cpu_us += planner->last_round_us;
      planner->rounds++;
    }
  wk_visit (planner->workers);
  pl_flush (planner, false, false);
}

void
pl_wake (struct planner *planner)
{
  double delay_ms;

  if (planner->role != PL_PLANNER || ev_is_active (&planner->round))
    return;
  delay_ms = CLAMP ((double)planner->last_round_us / 1000.0 * ROUND_REST,
                    ROUND_DELAY_MS, ROUND_DELAY_MAX_MS);
  ev_timer_set (&planner->round, delay_ms / 1000.0, 0.0);
  ev_timer_start (planner->params.loop, &planner->round);
}

static void
tell_load (struct planner *planner, int64_t now_ms)
{
  int64_t cpu_us = clk_cpu_us ();

  if (now_ms - planner->load_told_ms < LOAD_INTERVAL_MS)
    return;
  lg_info (PART, "The planner's load.", "rounds", lg_number (planner->rounds),
           "round_cpu_ms", lg_number (planner->round_cpu_us / 1000), "cpu_ms",
           lg_number ((cpu_us - planner->load_cpu_us) / 1000), "over_ms",
           lg_number (now_ms - planner->load_told_ms), NULL);
  planner->load_told_ms = now_ms;
  planner->load_cpu_us = cpu_us;
  planner->round_cpu_us = 0;
  planner->rounds = 0;
}

/* Drops the records of jobs that ended long ago: all hosts, this one too,
   forget a job when they read that it was dropped.  */
static void
drop_old_jobs (struct planner *planner, int64_t now_ms)
{
  struct jb_table *table = jr_table (planner->params.journal);
  int64_t before_ms = now_ms - planner->params.settings->job_retention_ms;
  GHashTableIter iter;
  void *value;

  if (now_ms - planner->dropped_ms < DROP_INTERVAL_MS
      || planner->sending != NULL)
    return;
  planner->dropped_ms = now_ms;
  g_hash_table_iter_init (&iter, table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_job *job = value;

      if (job->final_ms > 0 && job->final_ms < before_ms && !job->changed
          && jb_job_is_at_rest (job))
        g_ptr_array_add (planner->drops, g_strdup (job->id));
    }
}

static void
tick_as_planner (struct planner *planner, int64_t now_ms)
{
  if (planner->sending != NULL && !planner->append_open
      && now_ms - planner->written_ms >= APPEND_AGAIN_MS)
    send_batch (planner);
  pl_list_check (planner);
  wk_visit (planner->workers);
  tell_load (planner, now_ms);
  drop_old_jobs (planner, now_ms);
  if (planner->releasing)
    {
      pl_flush (planner, false, true);
      return;
    }
  if (now_ms - planner->written_ms >= HEARTBEAT_MS)
    pl_flush (planner, true, false);
  pl_wake (planner);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct planner *planner = watcher->data;
  int64_t now_ms = clk_monotonic_ms (NULL);

  (void)loop;
  (void)events;
  if (now_ms - planner->woke_ms > PAUSE_MS)
    lg_warning (PART, "The process was paused.", "for_ms",
                lg_number (now_ms - planner->woke_ms), NULL);
  planner->woke_ms = now_ms;
  if (planner->role == PL_PLANNER)
    tick_as_planner (planner, now_ms);
}

void
pl_begin (struct planner *planner)
{
  int64_t now_ms = clk_monotonic_ms (NULL);

  lg_info (PART, "This host is the planner.", "term",
           lg_number ((long long)planner->term), "after_ms",
           lg_number (now_ms - planner->claim_sent_ms), NULL);
  drop_batch (planner);
  g_array_set_size (planner->starts, 0);
  planner->append_open = false;
  planner->sequence = 1;
  planner->settled = false;
  planner->term_began_ms = now_ms;
  planner->written_ms = now_ms;
  planner->list_read_ms = 0;
  pl_list_reset (planner);
  jr_set_own_term (planner->params.journal, planner->term);
  sd_begin_term (planner->sched, now_ms);
  wk_begin_term (planner->workers, planner->term);
  pl_list_check (planner);
  pl_wake (planner);
}

/* --- Events of other tasks --- */

static void
log_job (const struct jb_job *job)
{
  const struct jb_step_spec *step = &job->spec->steps[0];

  lg_info (PART, "A job is taken in.", "job", job->id, "queue",
           job->spec->queue, "team",
           job->spec->team == NULL ? "" : job->spec->team, "steps",
           lg_number ((long long)job->spec->step_count), "tasks",
           lg_number (step->count), "gang", step->gang ? "yes" : "no",
           "one_rack", step->one_rack ? "yes" : "no", "accelerators",
           lg_number (step->room.accelerators), "memory_mib",
           lg_number (step->room.memory_mib), "estimate_ms",
           lg_number (step->estimate_ms), NULL);
}

static void
on_job_added (void *ctx, struct jb_job *job)
{
  struct planner *planner = ctx;

  if (planner->role != PL_PLANNER)
    return;
  log_job (job);
  sd_job_added (planner->sched, job);
  pl_wake (planner);
}

static void
on_job_cancelled (void *ctx, struct jb_job *job)
{
  struct planner *planner = ctx;

  if (planner->role != PL_PLANNER)
    return;
  sd_job_cancelled (planner->sched, job, clk_monotonic_ms (NULL));
  pl_wake (planner);
}

static void
on_term_read (void *ctx, const struct jb_term *term)
{
  pl_term_read (ctx, term);
}

static void
on_catalog (void *ctx, const struct ct_catalog *catalog)
{
  struct planner *planner = ctx;

  sd_set_catalog (planner->sched, catalog);
  pl_wake (planner);
}

static void
on_read_done (void *ctx)
{
  pl_term_check (ctx);
}

static void
on_workers_changed (void *ctx)
{
  pl_wake (ctx);
}

static void
on_fenced (void *ctx)
{
  pl_term_lost (ctx, "a worker has seen a higher term");
}

/* --- The planner --- */

struct planner *
pl_create (const struct pl_params *params)
{
  struct planner *planner = g_new0 (struct planner, 1);
  struct sd_params sched = { .far_factor = params->settings->far_factor,
                             .stop_ms = params->settings->stop_ms };
  struct wk_params workers = {
    .loop = params->loop,
    .port = params->workers,
    .table = jr_table (params->journal),
    .metrics = params->metrics,
    .lease_ttl_ms = params->settings->lease_ttl_ms,
    .stop_ms = params->settings->stop_ms,
    .ctx = planner,
    .changed = on_workers_changed,
    .fenced = on_fenced,
  };
  struct jb_host host = { 0 };
  struct jr_observer observer = {
    .ctx = planner,
    .job_added = on_job_added,
    .job_cancelled = on_job_cancelled,
    .term_read = on_term_read,
    .catalog_changed = on_catalog,
    .read_done = on_read_done,
  };

  planner->params = *params;
  planner->sched = sd_create (&sched, jr_table (params->journal));
  workers.sched = planner->sched;
  planner->workers = wk_create (&workers);
  planner->starts = g_array_new (FALSE, FALSE, sizeof (struct pl_start));
  planner->drops = g_ptr_array_new_with_free_func (g_free);
  planner->woke_ms = clk_monotonic_ms (NULL);
  pl_term_init (planner);
  jr_observe (params->journal, &observer);
  host.strength = pl_strength (params->settings);
  g_strlcpy (host.address, params->settings->callers, sizeof host.address);
  jr_announce (params->journal, params->settings->host, &host);
  ev_init (&planner->round, on_round);
  planner->round.data = planner;
  ev_timer_init (&planner->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
  planner->tick.data = planner;
  ev_timer_start (params->loop, &planner->tick);
  return planner;
}

void
pl_free (struct planner *planner)
{
  if (planner == NULL)
    return;
  ev_timer_stop (planner->params.loop, &planner->tick);
  ev_timer_stop (planner->params.loop, &planner->round);
  wk_free (planner->workers);
  sd_free (planner->sched);
  pl_batch_free (planner->sending);
  g_array_free (planner->starts, TRUE);
  g_ptr_array_free (planner->drops, TRUE);
  g_free (planner->list_last_key);
  g_free (planner);
}

void
pl_release (struct planner *planner)
{
  planner->releasing = true;
  if (planner->role == PL_PLANNER)
    pl_flush (planner, false, true);
  else
    planner->role = PL_RELEASED;
}

bool
pl_released (const struct planner *planner)
{
  return planner->role == PL_RELEASED;
}

bool
pl_is_planner (const struct planner *planner)
{
  return planner->role == PL_PLANNER;
}
