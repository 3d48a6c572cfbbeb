/* The planner's rounds, and its reactions to events of other tasks.  */

#include "planner.h"

#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "jobs/job_queue.h"
#include "planner_private.h"
#include "round_pacing.h"

static const char PART[] = "planner";

enum
{
  TICK_MS = 50,
  WRITE_DELAY_MS = 4, /* so that one append has several ends */
  HEARTBEAT_MS = 200,
  APPEND_RETRY_MS = 50,
  /* Rounds after a takeover wait this long for the workers' first answers.  */
  FIRST_POLLS_WAIT_MS = 400,
  /* With an older table no work is placed, for a cancellation may not have
     been read yet, and the platform allows 3 s until nothing of it starts.  */
  ROUND_JOBS_AGE_MAX_MS = 1800,
  JOB_REMOVAL_INTERVAL_MS = 1000,
  LOAD_LOG_INTERVAL_MS = 5000,
  LOAD_COUNT_INTERVAL_MS = 1000, /* of the counters of the metrics address */
  /* Reservations for gangs may take as many tasks as this share of the
     workers: enough for two gangs of 8 tasks, each as large as a worker, on 48
     workers, and a little more.  34 has the same effect.  */
  RESERVE_PERCENT = 50,
  /* Of a gang and the small jobs beside it; a wave of thousands of tasks takes
     several rounds.  */
  STARTS_PER_ROUND = 256,
  /* Longer than the store takes to list workers again that it had lost, and
     than a deadly task's worker takes to start again.  */
  ABSENCE_MAX_MS = 10000,
  BYTES_PER_MBIT = 125000,
  /* A decision that waits longer than this to be sent may be overtaken by
     ends, arrivals and cancellations.  */
  START_BACKLOG_MAX_MS = 200,
  /* Of closed data centres.  A start takes effect up to WK_START_EXPIRY_MS
     after it is sent, and its answer may pass through a busy event loop.  */
  CLOSED_KNOWN_MARGIN_MS = 500,
  /* Not below the interval of reads of the operator's topic and the time of a
     slow answer, so that starts are sent at all.  */
  CLOSED_KNOWN_MIN_MS = 1300,
  TASKS_PER_LOG_LINE = 64, /* so that a line stays below PIPE_BUF */
  /* Ticks further apart than this show that the process was paused.  */
  PAUSE_MIN_MS = 700
};

static bool
was_paused (const struct planner *planner, int64_t since_ms)
{
  return planner->pause_end_ms > since_ms
         || clk_monotonic_ms (NULL) - planner->last_tick_ms > PAUSE_MIN_MS;
}

/* After a pause of the process another host may hold the term; a batch that
   was sent later and is stored shows that none does.  */
static bool
may_command (void *ctx)
{
  const struct planner *planner = ctx;

  return !was_paused (planner, planner->stored_batch_sent_ms);
}

static int64_t
term_stored_ms (void *ctx)
{
  return ((const struct planner *)ctx)->stored_batch_sent_ms;
}

/* Whether each data centre that was closed so long ago that a start would come
   too late is known to be closed.  */
static bool
knows_closed (void *ctx)
{
  const struct planner *planner = ctx;
  int64_t closing_ms = planner->params.settings->closing_ms;

  return closing_ms == 0
         || jr_catalog_age_ms (planner->params.journal) <= MAX (
                closing_ms - WK_START_EXPIRY_MS - CLOSED_KNOWN_MARGIN_MS,
                CLOSED_KNOWN_MIN_MS);
}

/* --- Rounds --- */

static double
speed_of (const struct sd_sched *sched, const struct jb_task *task)
{
  const struct sd_worker *worker = sd_worker_find (sched, task->worker);

  return worker == NULL ? 1.0 : sd_worker_speed (sched, worker);
}

/* Logs the starts from index NEXT on that are of one step and run, and follow
   each other in it.
   @return : the index of the first one that is not.  */
static guint
log_placement (const struct sd_sched *sched, const GPtrArray *starts,
               guint next)
{
  const struct jb_task *first = g_ptr_array_index (starts, next);
  GString *workers = g_string_new (first->worker);
  double speed = speed_of (sched, first);
  char speed_text[16];
  uint32_t tasks = 1;

  while (next + tasks < starts->len && tasks < TASKS_PER_LOG_LINE)
    {
      const struct jb_task *task = g_ptr_array_index (starts, next + tasks);

      if (task->step != first->step || task->run != first->run
          || task->index != first->index + tasks)
        break;
      g_string_append_printf (workers, ",%s", task->worker);
      speed = MIN (speed, speed_of (sched, task));
      tasks++;
    }
  g_snprintf (speed_text, sizeof speed_text, "%.2f", speed);
  lg_info (PART, "Tasks are placed.", "job", first->job->id, "step",
           lg_number (first->step->index), "first", lg_number (first->index),
           "tasks", lg_number (tasks), "run", lg_number (first->run),
           "workers", workers->str,
           sd_speeds (sched).uneven ? "slowest_speed" : NULL, speed_text,
           NULL);
  g_string_free (workers, TRUE);
  return next + tasks;
}

/* Logs and counts the stops, one line for each step in a row.  */
static void
log_stops (struct planner *planner, const GPtrArray *stops)
{
  guint next = 0;

  while (next < stops->len)
    {
      const struct jb_task *first = g_ptr_array_index (stops, next);
      const char *reason
          = first->stop_reason == NULL ? "adopted" : first->stop_reason;
      char *name
          = g_strdup_printf ("foxtailgap_stopped_total{why=\"%s\"}", reason);
      guint tasks = 1;

      while (
          next + tasks < stops->len
          && ((const struct jb_task *)g_ptr_array_index (stops, next + tasks))
                     ->step
                 == first->step)
        tasks++;
      mt_add (planner->params.metrics, name, tasks);
      lg_info (PART, "Tasks are stopped.", "job", first->job->id, "step",
               lg_number (first->step->index), "tasks", lg_number (tasks),
               "why", reason, NULL);
      g_free (name);
      next += tasks;
    }
}

static enum sd_placing
choose_placing (const struct planner *planner)
{
  if (wk_backlog_ms (planner->workers, true) > START_BACKLOG_MAX_MS)
    return SD_PLACE_NONE;
  if (wk_backlog_ms (planner->workers, false) > START_BACKLOG_MAX_MS)
    return SD_PLACE_URGENT;
  return SD_PLACE_ALL;
}

static void
run_round (struct planner *planner)
{
  struct sd_commands commands
      = { .placing = choose_placing (planner),
          .starts = g_ptr_array_new (),
          .stops = g_ptr_array_new (),
          .advisor_queries = sd_advisor_queries_create () };
  enum ll_part outer = ll_enter (LL_ROUNDS);
  guint i;

  sd_round (planner->sched, clk_monotonic_ms (NULL), clk_unix_ms (),
            &commands);
  for (i = 0; i < commands.starts->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (commands.starts, i);
      struct pl_pending_start start = { .task = task, .run = task->run };

      g_array_append_val (planner->starts, start);
    }
  for (i = 0; i < commands.starts->len;)
    i = log_placement (planner->sched, commands.starts, i);
  log_stops (planner, commands.stops);
  for (i = 0; i < commands.stops->len; i++)
    wk_stop (planner->workers, g_ptr_array_index (commands.stops, i));
  while (commands.advisor_queries->len > 0)
    av_submit_query (planner->advisor,
                     g_ptr_array_steal_index (commands.advisor_queries, 0));
  planner->placing = commands.placing;
  planner->round_ended_early = commands.more;
  planner->round_held_ms = clk_monotonic_ms (NULL);
  if (commands.more || commands.placing != SD_PLACE_ALL)
    pl_schedule_round (planner);
  g_ptr_array_free (commands.advisor_queries, TRUE);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  ll_leave (outer);
}

/* Logs what a closed data centre has; without workers its name may
   be wrong.  */
static void
log_closed (const struct planner *planner, const char *data_centre)
{
  struct sd_data_centre_use use
      = sd_survey_data_centre (planner->sched, data_centre);

  lg_info (PART, "No work is started in a closed data centre.", "data_centre",
           data_centre, "workers", lg_number (use.workers), "tasks",
           lg_number (use.tasks), NULL);
}

static void
log_all_closed (const struct planner *planner)
{
  GHashTableIter iter;
  void *data_centre;

  g_hash_table_iter_init (&iter,
                          jr_closed_data_centres (planner->params.journal));
  while (g_hash_table_iter_next (&iter, &data_centre, NULL))
    log_closed (planner, data_centre);
}

/* Whether rounds may be held: each listed worker has answered the first status
   poll or failed to, or the wait for that is over.  */
static bool
workers_are_polled (struct planner *planner)
{
  int64_t now_ms = clk_monotonic_ms (NULL);

  if (planner->workers_polled)
    return true;
  if (!planner->list_loaded)
    return false;
  if (wk_count_unpolled (planner->workers) > 0
      && now_ms - planner->term_started_ms < FIRST_POLLS_WAIT_MS)
    return false;
  planner->workers_polled = true;
  lg_info (PART,
           "The first status polls of the workers are over; rounds begin.",
           "unseen", lg_number (wk_count_unpolled (planner->workers)),
           "after_ms", lg_number (now_ms - planner->term_started_ms), NULL);
  log_all_closed (planner);
  return true;
}

/* @return : why no round may be held now, a constant text; NULL: it may.  */
static const char *
why_no_round (struct planner *planner)
{
  if (!workers_are_polled (planner))
    return "the first status polls of the workers";
  if (!may_command (planner))
    return "an append that shows that the term holds";
  if (jr_jobs_age_ms (planner->params.journal) >= ROUND_JOBS_AGE_MAX_MS)
    return "a reading of the jobs' topic";
  if (!knows_closed (planner))
    {
      jr_hurry_operator (planner->params.journal);
      return "a reading of the operator's topic";
    }
  return NULL;
}

static void
on_round (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct planner *planner = watcher->data;

  (void)loop;
  (void)events;
  if (planner->role != PL_PLANNER || planner->releasing)
    return;
  planner->no_round_why = why_no_round (planner);
  if (planner->no_round_why == NULL)
    {
      int64_t before_us = g_get_monotonic_time ();

      run_round (planner);
      planner->last_round_us = g_get_monotonic_time () - before_us;
      planner->rounds_us += planner->last_round_us;
      planner->tick_rounds_us += planner->last_round_us;
      planner->rounds++;
    }
  wk_send_waiting (planner->workers);
  pl_write_changes (planner, false, false);
}

/* What has ended is stored without waiting for the next round, which comes
   later the longer rounds take: callers wait for it.  */
static void
on_write (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct planner *planner = watcher->data;

  (void)loop;
  (void)events;
  if (planner->role == PL_PLANNER && !planner->releasing)
    pl_write_changes (planner, false, false);
}

void
pl_schedule_round (struct planner *planner)
{
  int64_t delay_ms;

  if (planner->role != PL_PLANNER || ev_is_active (&planner->round_timer))
    return;
  delay_ms = rp_delay_ms (planner->last_round_us);
  ev_timer_set (&planner->round_timer, (double)delay_ms / 1000.0, 0.0);
  ev_timer_start (planner->params.loop, &planner->round_timer);
}

/* Logs what the time of the loop went to; the parts add up to busy_ms.  */
static void
log_load_parts (const struct ll_sample *sample)
{
  GString *parts = g_string_new (NULL);
  int i;

  for (i = 0; i < LL_PARTS; i++)
    g_string_append_printf (parts, "%s%s:%" G_GINT64_FORMAT, i == 0 ? "" : ",",
                            ll_part_name (i), sample->part_us[i] / 1000);
  lg_info (PART, "What the planner's time went to.", "busy_ms",
           lg_number (sample->busy_us / 1000), "parts_ms", parts->str, NULL);
  g_string_free (parts, TRUE);
}

static void
log_room (struct planner *planner, int64_t now_ms)
{
  struct sd_room room = sd_survey (planner->sched, now_ms, clk_unix_ms ());

  lg_info (PART, "The room of the workers.", "usable",
           lg_number (room.usable_workers), "avoided",
           lg_number (room.avoided_workers), "closed",
           lg_number (room.closed_workers), "idle",
           lg_number (room.idle_workers), "idle_reserved",
           lg_number (room.idle_reserved), "reservations",
           lg_number (room.reservations), "reserved_tasks",
           lg_number (room.reserved_tasks), "waiting_gangs",
           lg_number (room.waiting_gangs), "waiting_late",
           lg_number (room.waiting_late), NULL);
}

static void
log_speeds (struct planner *planner)
{
  struct sp_summary speeds = sd_speeds (planner->sched);
  int64_t apart_percent = (int64_t)((exp (speeds.spread_ln) - 1.0) * 100.0);

  mt_set (planner->params.metrics, "foxtailgap_speeds_known", speeds.known);
  mt_set (planner->params.metrics, "foxtailgap_speeds_apart_percent",
          apart_percent);
  lg_info (PART, "The speeds of the workers.", "known",
           lg_number (speeds.known), "apart_percent",
           lg_number (apart_percent), "uneven", speeds.uneven ? "yes" : "no",
           NULL);
}

static void
log_neighbours (struct planner *planner)
{
  struct sd_neighbours neighbours = sd_neighbours (planner->sched);
  struct itf_change change;

  mt_set (planner->params.metrics, "foxtailgap_neighbour_pairs_known",
          neighbours.known_pairs);
  mt_set (planner->params.metrics, "foxtailgap_tasks_kept_apart",
          (int64_t)neighbours.kept_apart);
  while (sd_take_neighbour_change (planner->sched, &change))
    lg_info (PART,
             change.known ? "Tasks slow others down on one worker."
                          : "Tasks no longer slow others down on one worker.",
             "slower", change.subject, "beside", change.neighbour,
             "slowdown_percent",
             lg_number ((long long)(expm1 (change.slowdown_ln) * 100)),
             "workers", lg_number (change.workers), NULL);
}

static void
log_load (struct planner *planner, int64_t now_ms)
{
  struct ll_sample sample;
  struct wk_link_state link;

  if (now_ms - planner->load_logged_ms < LOAD_LOG_INTERVAL_MS)
    return;
  link = wk_link_state (planner->workers);
  sample = ll_take (planner->load);
  log_speeds (planner);
  lg_info (PART, "The planner's load.", "rounds", lg_number (planner->rounds),
           "rounds_ms", lg_number (planner->rounds_us / 1000), "busy_ms",
           lg_number (sample.busy_us / 1000), "longest_ms",
           lg_number (sample.longest_us / 1000), "over_ms",
           lg_number (now_ms - planner->load_logged_ms), "window",
           lg_number (wk_window (planner->workers)), "waiting_starts",
           lg_number (wk_waiting_starts (planner->workers)),
           "link_bytes_per_s", lg_number (link.bytes_per_s),
           "link_level_bytes", lg_number (link.level_bytes), NULL);
  log_load_parts (&sample);
  log_room (planner, now_ms);
  log_neighbours (planner);
  planner->load_logged_ms = now_ms;
  planner->rounds_us = 0;
  planner->rounds = 0;
}

/* On each host, the planner or not.  */
static void
count_load (struct planner *planner, int64_t now_ms)
{
  int i;

  if (now_ms - planner->load_counted_ms < LOAD_COUNT_INTERVAL_MS)
    return;
  planner->load_counted_ms = now_ms;
  for (i = 0; i < LL_PARTS; i++)
    {
      char name[96];

      g_snprintf (name, sizeof name, "foxtailgap_busy_ms_total{part=\"%s\"}",
                  ll_part_name (i));
      mt_set (planner->params.metrics, name,
              ll_part_total_us (planner->load, i) / 1000);
    }
}

/* Collects the jobs that ended long ago, so that the next batch removes their
   records.  All hosts, this one too, remove a job from their table when they
   read that its record has been removed.  */
static void
collect_old_jobs (struct planner *planner, int64_t now_ms)
{
  struct jb_table *table = jr_job_table (planner->params.journal);
  int64_t before_ms = now_ms - planner->params.settings->job_retention_ms;
  GHashTableIter iter;
  void *value;

  if (now_ms - planner->removal_checked_ms < JOB_REMOVAL_INTERVAL_MS
      || planner->sending != NULL)
    return;
  planner->removal_checked_ms = now_ms;
  g_hash_table_iter_init (&iter, table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_job *job = value;

      if (job->final_since_ms > 0 && job->final_since_ms < before_ms
          && !job->progress_changed && jb_job_has_no_runs (job))
        g_ptr_array_add (planner->jobs_to_remove, g_strdup (job->id));
    }
}

static void
tick_as_planner (struct planner *planner, int64_t now_ms)
{
  pl_resend_lost_append (planner);
  if (planner->sending != NULL && planner->appends_in_flight == 0
      && now_ms - planner->last_append_end_ms >= APPEND_RETRY_MS)
    pl_send_batch (planner);
  pl_read_worker_list_if_due (planner);
  wk_send_waiting (planner->workers);
  log_load (planner, now_ms);
  pl_survey_waiting (planner, now_ms);
  collect_old_jobs (planner, now_ms);
  if (planner->releasing)
    {
      pl_write_changes (planner, false, true);
      return;
    }
  if (now_ms - planner->last_append_end_ms >= HEARTBEAT_MS
      || !may_command (planner))
    pl_write_changes (planner, true, false);
  pl_schedule_round (planner);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct planner *planner = watcher->data;
  int64_t now_ms = clk_monotonic_ms (NULL);

  (void)loop;
  (void)events;
  wk_observe_lag (planner->workers,
                  rp_call_lag_ms (now_ms - planner->last_tick_ms - TICK_MS,
                                  planner->tick_rounds_us));
  planner->tick_rounds_us = 0;
  if (now_ms - planner->last_tick_ms > PAUSE_MIN_MS)
    {
      lg_warning (PART, "The process was paused.", "for_ms",
                  lg_number (now_ms - planner->last_tick_ms), NULL);
      planner->pause_end_ms = now_ms;
    }
  planner->last_tick_ms = now_ms;
  count_load (planner, now_ms);
  if (planner->role == PL_PLANNER)
    tick_as_planner (planner, now_ms);
}

/* What earlier planners have written is not known byte for byte.  */
static void
forget_written_blocks (struct planner *planner)
{
  GHashTableIter iter;
  void *job;

  g_hash_table_iter_init (&iter, jr_job_table (planner->params.journal)->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &job))
    jb_job_forget_written (job);
}

static void
restore_speeds (struct planner *planner, int64_t now_ms)
{
  GBytes *record = jr_speeds (planner->params.journal);
  const uint8_t *bytes;
  size_t size;

  if (record == NULL)
    return;
  bytes = g_bytes_get_data (record, &size);
  if (!sd_speeds_restore (planner->sched, bytes, size, now_ms))
    lg_warning (PART,
                "A record of worker speeds cannot be decoded; it is ignored.",
                NULL);
}

void
pl_begin_term (struct planner *planner)
{
  int64_t now_ms = clk_monotonic_ms (NULL);

  lg_info (PART, "This host is the planner.", "term",
           lg_number ((long long)planner->term), "after_ms",
           lg_number (now_ms - planner->acquire_started_ms), NULL);
  pl_drop_batch (planner);
  forget_written_blocks (planner);
  g_array_set_size (planner->starts, 0);
  planner->appends_in_flight = 0;
  planner->sequence = 1;
  planner->workers_polled = false;
  planner->term_started_ms = now_ms;
  pl_forget_waiting (planner);
  planner->load_logged_ms = now_ms;
  ll_take (planner->load);
  planner->last_append_end_ms = now_ms;
  planner->stored_batch_sent_ms = planner->acquire_sent_ms;
  planner->list_read_ms = 0;
  planner->list_complete_ms = 0;
  pl_reset_worker_list (planner);
  jr_set_own_term (planner->params.journal, planner->term);
  sd_begin_term (planner->sched, now_ms);
  restore_speeds (planner, now_ms);
  wk_begin_term (planner->workers, planner->term,
                 jr_leases (planner->params.journal));
  pl_read_worker_list_if_due (planner);
  /* Other hosts count the planner's silence from the record of its term.  */
  pl_write_changes (planner, true, false);
  pl_schedule_round (planner);
}

/* --- Events of other tasks --- */

static void
log_job (const struct planner *planner, const struct jb_job *job)
{
  const struct jb_step_spec *step = &job->spec->steps[0];
  const struct ct_queue *queue
      = jq_of_job (jr_catalog (planner->params.journal), job);

  lg_info (
      PART, "A job is taken in.", "job", job->id, "queue", job->spec->queue,
      "team", job->spec->team == NULL ? "" : job->spec->team, "priority",
      lg_number (queue == NULL ? -1 : (long long)queue->priority),
      "slack_percent",
      lg_number (queue == NULL ? 0 : (long long)(queue->slack_factor * 100)),
      "target_ms", lg_number (queue == NULL ? 0 : queue->target_ms), "steps",
      lg_number ((long long)job->spec->step_count), "tasks",
      lg_number (step->count), "gang", step->gang ? "yes" : "no", "one_rack",
      step->one_rack ? "yes" : "no", "cpus_milli",
      lg_number (step->resources.cpus_milli), "accelerators",
      lg_number (step->resources.accelerators), "memory_mib",
      lg_number (step->resources.memory_mib), "estimate_ms",
      lg_number (step->estimate_ms), NULL);
}

static void
on_job_added (void *ctx, struct jb_job *job)
{
  struct planner *planner = ctx;

  if (planner->role != PL_PLANNER)
    return;
  log_job (planner, job);
  sd_job_added (planner->sched, job);
  pl_schedule_round (planner);
}

static void
on_job_cancelled (void *ctx, struct jb_job *job)
{
  struct planner *planner = ctx;

  if (planner->role != PL_PLANNER)
    return;
  sd_job_cancelled (planner->sched, job, clk_monotonic_ms (NULL));
  pl_schedule_round (planner);
}

static void
on_term_read (void *ctx, const struct jb_term_record *term)
{
  pl_handle_term_record (ctx, term);
}

static void
on_catalog_changed (void *ctx, const struct ct_catalog *catalog)
{
  struct planner *planner = ctx;

  sd_set_catalog (planner->sched, catalog);
  pl_schedule_round (planner);
}

static void
on_closing_changed (void *ctx, const char *data_centre, bool closed)
{
  struct planner *planner = ctx;

  sd_set_closed (planner->sched, data_centre, closed);
  if (planner->role == PL_PLANNER && closed)
    log_closed (planner, data_centre);
  pl_schedule_round (planner);
}

static void
on_read_done (void *ctx)
{
  pl_resend_lost_append (ctx);
  pl_acquire_term_if_due (ctx);
}

static void
on_workers_changed (void *ctx)
{
  struct planner *planner = ctx;

  pl_schedule_round (planner);
  if (planner->role == PL_PLANNER && !ev_is_active (&planner->write_timer))
    {
      ev_timer_set (&planner->write_timer, WRITE_DELAY_MS / 1000.0, 0.0);
      ev_timer_start (planner->params.loop, &planner->write_timer);
    }
}

static void
on_worker_fenced (void *ctx)
{
  pl_end_term (ctx, "a worker has seen a higher term");
}

static void
on_report_needed (void *ctx)
{
  struct planner *planner = ctx;

  if (planner->role == PL_PLANNER)
    pl_read_worker_list_soon (planner);
}

static void
on_advised (void *ctx, const struct sd_advisor_query *query,
            const struct ap_answer *answer)
{
  struct planner *planner = ctx;

  sd_advisor_answered (planner->sched, query, answer, clk_monotonic_ms (NULL));
  pl_schedule_round (planner);
}

/* --- The planner --- */

/* How old a worker's report may be when a start is sent by it.  The worker may
   have shrunk right after it.  Its former capacity may be used for the time of
   the setting and a heartbeat more, and the start takes effect before that is
   over.  */
static uint32_t
report_valid_ms (const struct hostd_settings *settings)
{
  return settings->capacity_notice_ms + settings->worker_heartbeat_ms
         - WK_START_EXPIRY_MS;
}

struct planner *
pl_create (const struct pl_params *params)
{
  struct planner *planner = g_new0 (struct planner, 1);
  struct sd_params sched
      = { .remote_slowdown_factor = params->settings->far_factor,
          .stop_max_ms = params->settings->stop_ms,
          .report_valid_ms = report_valid_ms (params->settings),
          .reserved_tasks_per_100_workers = RESERVE_PERCENT,
          .starts_per_round = STARTS_PER_ROUND };
  struct wk_params workers = {
    .loop = params->loop,
    .port = params->worker_port,
    .table = jr_job_table (params->journal),
    .metrics = params->metrics,
    .lease_ttl_ms = params->settings->lease_ttl_ms,
    .lease_limit_ms = params->settings->lease_limit_ms,
    .stop_max_ms = params->settings->stop_ms,
    .absence_max_ms = ABSENCE_MAX_MS,
    .link_bytes_per_s
    = (uint32_t)(params->settings->link_mbps * BYTES_PER_MBIT),
    .ctx = planner,
    .changed = on_workers_changed,
    .fenced = on_worker_fenced,
    .report_needed = on_report_needed,
    .may_command = may_command,
    .knows_closed = knows_closed,
    .term_stored_ms = term_stored_ms,
  };
  struct av_params advisor = { .port = params->advisor_port,
                               .metrics = params->metrics,
                               .answered = on_advised };
  struct jb_host_record host = { 0 };
  struct jr_observer observer = {
    .ctx = planner,
    .job_added = on_job_added,
    .job_cancelled = on_job_cancelled,
    .term_read = on_term_read,
    .catalog_changed = on_catalog_changed,
    .closing_changed = on_closing_changed,
    .jobs_read = on_read_done,
    .writes_waiting = on_workers_changed,
  };

  planner->params = *params;
  planner->sched = sd_create (&sched, jr_job_table (params->journal));
  workers.sched = planner->sched;
  planner->workers = wk_create (&workers);
  advisor.ctx = planner;
  planner->advisor = av_create (&advisor);
  planner->starts
      = g_array_new (FALSE, FALSE, sizeof (struct pl_pending_start));
  planner->jobs_to_remove = g_ptr_array_new_with_free_func (g_free);
  planner->listed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  planner->unanswered_appends
      = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  planner->last_tick_ms = clk_monotonic_ms (NULL);
  planner->load = ll_create (params->loop);
  pl_term_init (planner);
  jr_set_observer (params->journal, &observer);
  host.strength = pl_strength (params->settings);
  g_strlcpy (host.address, params->settings->callers, sizeof host.address);
  jr_announce_host (params->journal, params->settings->host, &host);
  ev_init (&planner->round_timer, on_round);
  planner->round_timer.data = planner;
  ev_init (&planner->write_timer, on_write);
  planner->write_timer.data = planner;
  ev_timer_init (&planner->tick_timer, on_tick, TICK_MS / 1000.0,
                 TICK_MS / 1000.0);
  planner->tick_timer.data = planner;
  ev_timer_start (params->loop, &planner->tick_timer);
  return planner;
}

void
pl_free (struct planner *planner)
{
  if (planner == NULL)
    return;
  ev_timer_stop (planner->params.loop, &planner->tick_timer);
  ev_timer_stop (planner->params.loop, &planner->round_timer);
  ev_timer_stop (planner->params.loop, &planner->write_timer);
  ll_free (planner->load);
  wk_free (planner->workers);
  av_free (planner->advisor);
  sd_free (planner->sched);
  pl_batch_free (planner->sending);
  g_array_free (planner->starts, TRUE);
  g_ptr_array_free (planner->jobs_to_remove, TRUE);
  g_hash_table_destroy (planner->unanswered_appends);
  g_free (planner->list_last_key);
  g_hash_table_destroy (planner->listed);
  g_free (planner);
}

void
pl_release_term (struct planner *planner)
{
  planner->releasing = true;
  if (planner->role == PL_PLANNER)
    pl_write_changes (planner, false, true);
  else
    planner->role = PL_RELEASED;
}

bool
pl_is_term_released (const struct planner *planner)
{
  return planner->role == PL_RELEASED;
}
