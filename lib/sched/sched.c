/* The scheduling core: its state, and how events change it.  */

#include <assert.h>
#include <string.h>

#include "sched/private.h"

static void
worker_free (void *data)
{
  struct sd_worker *worker = data;

  sd_worker_report_clear (&worker->report);
  g_ptr_array_free (worker->tasks, TRUE);
  g_free (worker);
}

struct sd_sched *
sd_create (const struct sd_params *params, struct jb_table *table)
{
  struct sd_sched *sched = g_new0 (struct sd_sched, 1);

  sched->params = *params;
  sched->table = table;
  sched->workers_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  sched->workers = g_ptr_array_new_with_free_func (worker_free);
  sched->rack_indexes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->service_indexes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->active_jobs = g_ptr_array_new ();
  sched->changed_jobs = g_ptr_array_new ();
  sched->pending_stops = g_ptr_array_new ();
  sched->unplaceable_units
      = g_array_new (FALSE, FALSE, sizeof (struct sd_unit));
  sched->service_uses
      = g_array_new (FALSE, TRUE, sizeof (struct sd_service_use));
  sched->estimates = es_create ();
  sched->speeds = sp_create (NULL, NULL);
  sched->stored_speeds = g_hash_table_new (NULL, NULL);
  sched->interference = itf_create ();
  sched->reservations
      = g_hash_table_new_full (NULL, NULL, NULL, sd_reservation_free);
  sched->advice = g_hash_table_new_full (NULL, NULL, NULL, sd_advice_free);
  sched->preemptions
      = g_hash_table_new_full (NULL, NULL, NULL, sd_preemption_free);
  sched->closed_data_centres
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return sched;
}

void
sd_free (struct sd_sched *sched)
{
  if (sched == NULL)
    return;
  g_hash_table_destroy (sched->workers_by_id);
  g_hash_table_destroy (sched->rack_indexes);
  g_hash_table_destroy (sched->service_indexes);
  g_ptr_array_free (sched->workers, TRUE);
  g_ptr_array_free (sched->active_jobs, TRUE);
  g_ptr_array_free (sched->changed_jobs, TRUE);
  g_ptr_array_free (sched->pending_stops, TRUE);
  g_array_free (sched->unplaceable_units, TRUE);
  g_array_free (sched->service_uses, TRUE);
  g_hash_table_destroy (sched->closed_data_centres);
  g_hash_table_destroy (sched->preemptions);
  g_hash_table_destroy (sched->reservations);
  g_hash_table_destroy (sched->advice);
  es_free (sched->estimates);
  sp_free (sched->speeds);
  g_hash_table_destroy (sched->stored_speeds);
  itf_free (sched->interference);
  g_free (sched);
}

void
sd_set_catalog (struct sd_sched *sched, const struct ct_catalog *catalog)
{
  sched->catalog = catalog;
}

GPtrArray *
sd_take_changed (struct sd_sched *sched)
{
  GPtrArray *taken = sched->changed_jobs;
  guint i;

  sched->changed_jobs = g_ptr_array_new ();
  for (i = 0; i < taken->len; i++)
    ((struct jb_job *)g_ptr_array_index (taken, i))->progress_changed = false;
  return taken;
}

void
sd_job_changed (struct sd_sched *sched, struct jb_job *job)
{
  sd_mark_changed (sched, job);
}

bool
sd_has_changed (const struct sd_sched *sched)
{
  return sched->changed_jobs->len > 0;
}

/* --- Workers --- */

void
sd_worker_report_clear (struct sd_worker_report *report)
{
  g_free (report->id);
  g_free (report->address);
  g_free (report->service);
  g_free (report->data_centre);
  g_free (report->rack);
  g_strfreev (report->labels);
  memset (report, 0, sizeof *report);
}

struct sd_worker *
sd_worker_find (const struct sd_sched *sched, const char *id)
{
  return g_hash_table_lookup (sched->workers_by_id, id);
}

const GPtrArray *
sd_workers (const struct sd_sched *sched)
{
  return sched->workers;
}

uint32_t
sd_index_of (GHashTable *names, const char *name)
{
  uint32_t index;

  if (name == NULL)
    return 0;
  index = GPOINTER_TO_UINT (g_hash_table_lookup (names, name));
  if (index == 0)
    {
      index = g_hash_table_size (names) + 1;
      g_hash_table_insert (names, g_strdup (name), GUINT_TO_POINTER (index));
    }
  return index;
}

static struct sd_worker *
worker_add (struct sd_sched *sched, struct sd_worker_report *report)
{
  struct sd_worker *worker = g_new0 (struct sd_worker, 1);

  worker->report = *report;
  memset (report, 0, sizeof *report);
  worker->tasks = g_ptr_array_new ();
  worker->report_is_current = true;
  worker->index = sched->workers->len;
  worker->pace_level = JB_PACE_FULL_PERCENT;
  worker->pace_ceiling = JB_PACE_FULL_PERCENT;
  g_ptr_array_add (sched->workers, worker);
  g_hash_table_insert (sched->workers_by_id, worker->report.id, worker);
  return worker;
}

/* To be called when the report or the process has changed.  */
static void
compare_process_of_report (struct sd_worker *worker)
{
  int64_t reported_ms = worker->report.process_started_ms;

  worker->report_is_current = reported_ms == 0
                              || worker->process_started_ms == 0
                              || reported_ms == worker->process_started_ms;
}

struct sd_worker *
sd_worker_listed (struct sd_sched *sched, struct sd_worker_report *report,
                  int64_t reported_ms)
{
  struct sd_worker *worker = sd_worker_find (sched, report->id);
  char *id;

  if (worker == NULL)
    {
      worker = worker_add (sched, report);
      sd_speed_recall (sched, worker);
    }
  else
    {
      /* workers_by_id uses the first copy of the id as its key, so that copy
         must stay.  */
      id = g_steal_pointer (&worker->report.id);
      g_free (report->id);
      report->id = NULL;
      sd_worker_report_clear (&worker->report);
      worker->report = *report;
      worker->report.id = id;
      memset (report, 0, sizeof *report);
    }
  compare_process_of_report (worker);
  worker->listed = true;
  worker->closed = sd_is_closed (sched, worker->report.data_centre);
  if (worker->report.draining)
    sd_loss_worker_leaves (sched, worker);
  worker->reported_ms = MAX (worker->reported_ms, reported_ms);
  worker->rack_index = sd_index_of (sched->rack_indexes, worker->report.rack);
  worker->service_index
      = sd_index_of (sched->service_indexes, worker->report.service);
  return worker;
}

void
sd_worker_unlisted (struct sd_sched *sched, const char *id)
{
  struct sd_worker *worker = sd_worker_find (sched, id);

  if (worker != NULL)
    worker->listed = false;
}

void
sd_worker_set_reachability (struct sd_worker *worker,
                            enum sd_reachability reachability)
{
  worker->reachability = reachability;
}

void
sd_worker_process (struct sd_worker *worker, int64_t started_ms)
{
  worker->process_started_ms = started_ms;
  compare_process_of_report (worker);
}

void
sd_worker_unresponsive (struct sd_worker *worker, int64_t now_ms)
{
  worker->start_backoff_until_ms
      = MAX (worker->start_backoff_until_ms, now_ms + SD_NO_ANSWER_BACKOFF_MS);
}

/* --- Terms --- */

struct sd_worker *
sd_find_or_add_worker (struct sd_sched *sched, const char *id)
{
  struct sd_worker *worker = sd_worker_find (sched, id);
  struct sd_worker_report report = { 0 };

  if (worker != NULL)
    return worker;
  report.id = g_strdup (id); /* it has tasks, but the store has no entry */
  return worker_add (sched, &report);
}

static void
restore_placed_tasks (struct sd_sched *sched, struct jb_job *job,
                      int64_t now_ms)
{
  struct sd_worker *worker;
  size_t i;

  for (i = 0; i < job->task_total; i++)
    {
      struct jb_task *task = &job->tasks[i];

      if (task->state != JB_TASK_PLACED && task->state != JB_TASK_STOPPING)
        continue;
      worker = sd_find_or_add_worker (sched, task->worker);
      g_ptr_array_add (worker->tasks, task);
      sd_resources_add (&worker->used_resources, &task->step->spec->resources);
      task->placed_ms = now_ms;
      task->pace = JB_PACE_UNKNOWN;
      if (task->state == JB_TASK_STOPPING || job->cancel_requested)
        {
          task->state = JB_TASK_STOPPING;
          g_ptr_array_add (sched->pending_stops, task);
        }
    }
}

static int
compare_arrival (const void *a, const void *b)
{
  const struct jb_job *left = *(struct jb_job *const *)a;
  const struct jb_job *right = *(struct jb_job *const *)b;

  if (left->added_ms != right->added_ms)
    return left->added_ms < right->added_ms ? -1 : 1;
  return strcmp (left->id, right->id);
}

/* Moments of an earlier term of this host do not count.  */
static void
forget_waits (struct jb_job *job, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < job->step_total; i++)
    {
      job->steps[i].waiting_since_ms = 0;
      sd_standing_begin_term (&job->steps[i], now_ms);
      job->steps[i].wait = (struct jb_wait){ 0 };
    }
}

void
sd_begin_term (struct sd_sched *sched, int64_t now_ms)
{
  GHashTableIter iter;
  void *value;
  guint i;

  for (i = 0; i < sched->workers->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (sched->workers, i);

      g_ptr_array_set_size (worker->tasks, 0);
      worker->used_resources = (struct jb_resources){ 0 };
      worker->unassigned_resources = (struct jb_resources){ 0 };
      worker->reachability = SD_WORKER_UNSEEN;
      sd_worker_process (worker, 0);
      worker->undecided_losses = 0;
      /* Until a status poll reports the tails of the serving tasks.  */
      worker->pace_level = 0;
      worker->pace_changed_ms = now_ms;
    }
  itf_forget_tasks (sched->interference);
  g_ptr_array_set_size (sched->active_jobs, 0);
  g_ptr_array_set_size (sched->changed_jobs, 0);
  g_ptr_array_set_size (sched->pending_stops, 0);
  g_hash_table_remove_all (sched->preemptions);
  g_hash_table_remove_all (sched->reservations);
  g_hash_table_remove_all (sched->advice);
  g_hash_table_iter_init (&iter, sched->table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_job *job = value;

      job->progress_changed = false;
      if (job->spec == NULL)
        continue;
      forget_waits (job, now_ms);
      restore_placed_tasks (sched, job, now_ms);
      if (!jb_state_is_final (job->state))
        {
          sd_losses_begin_term (sched, job, now_ms);
          sd_job_added (sched, job);
        }
      if (job->cancel_requested)
        sd_job_cancelled (sched, job, now_ms);
    }
  g_ptr_array_sort (sched->active_jobs, compare_arrival);
}

/* --- Jobs --- */

void
sd_job_added (struct sd_sched *sched, struct jb_job *job)
{
  if (!g_ptr_array_find (sched->active_jobs, job, NULL))
    g_ptr_array_add (sched->active_jobs, job);
}

void
sd_finish_job (struct sd_sched *sched, struct jb_job *job, enum jb_state state,
               int64_t now_unix_ms)
{
  size_t i;

  job->state = state;
  job->ended_unix_ms = now_unix_ms;
  for (i = 0; i < job->step_total; i++)
    sd_stop_step (sched, &job->steps[i], jb_state_name (state));
  g_ptr_array_remove (sched->active_jobs, job);
  sd_losses_end_job (sched, job);
  for (i = 0; i < job->step_total; i++)
    {
      g_hash_table_remove (sched->preemptions, &job->steps[i]);
      g_hash_table_remove (sched->reservations, &job->steps[i]);
      g_hash_table_remove (sched->advice, &job->steps[i]);
    }
  sd_mark_changed (sched, job);
}

void
sd_job_cancelled (struct sd_sched *sched, struct jb_job *job, int64_t now_ms)
{
  (void)now_ms;
  if (jb_state_is_final (job->state))
    return;
  sd_finish_job (sched, job, JB_CANCELLED, 0);
}

/* --- Tasks --- */

/* Whether a run that begins ends the wait of its whole step.  Of a long-lived
   step each task has to run.  */
static bool
ends_wait_of_step (const struct jb_step *step)
{
  uint32_t i;

  for (i = 0; step->spec->long_lived && i < step->spec->count; i++)
    if (!step->tasks[i].confirmed)
      return false;
  return true;
}

void
sd_task_running (struct sd_sched *sched, struct jb_task *task, int64_t now_ms)
{
  struct jb_job *job = task->job;

  if (!task->confirmed)
    task->started_ms = now_ms;
  task->confirmed = true;
  if (ends_wait_of_step (task->step))
    task->step->beside_room_since_ms = 0;
  if (!job->started)
    {
      job->started = true;
      if (job->state == JB_QUEUED)
        job->state = JB_RUNNING;
      sd_mark_changed (sched, job);
    }
}

/* Stops the other members of the task's gang, since TASK has not started or
   has ended.  */
static void
stop_gang (struct sd_sched *sched, struct jb_task *task, const char *reason)
{
  if (task->step->spec->gang)
    sd_stop_step (sched, task->step, reason);
}

void
sd_task_progress (struct sd_sched *sched, struct jb_task *task,
                  int64_t percent, int64_t now_ms)
{
  struct sd_worker *worker = sd_worker_find (sched, task->worker);

  bool moved = percent != task->percent || task->progress_changed_ms == 0;
  enum sd_progress_verdict pace = SD_PROGRESS_NORMAL;
  const char *reason = moved ? "slow" : "stalled";
  bool hangs = false;

  sd_speed_progressed (sched, task, worker, percent, now_ms);
  if (moved)
    sd_health_progressed (task, percent, now_ms);
  if (task->step->spec->long_lived && percent == 100)
    sd_crash_absolve (sched, task);
  if (task->state != JB_TASK_PLACED || task->step->spec->long_lived)
    return;
  if (moved && percent > 0)
    pace = sd_health_judge_progress (sched, task);
  else if (!moved && sd_health_is_stalled (sched, task, now_ms))
    {
      sd_health_stalled (task);
      pace = SD_PROGRESS_RESTART;
      hangs = true;
    }
  else if (sd_hang_is_behind (task, now_ms))
    {
      reason = "hangs";
      pace = SD_PROGRESS_RESTART;
      hangs = true;
    }
  if (pace == SD_PROGRESS_NORMAL)
    return;
  if (worker != NULL)
    sd_health_avoid (worker, now_ms);
  if (pace == SD_PROGRESS_SLOW)
    return;
  if (hangs && worker != NULL)
    sd_hang_found (sched, worker, now_ms);
  sd_stop_task (sched, task, reason);
  stop_gang (sched, task, reason);
}

void
sd_task_checkpointed (struct jb_task *task, const char *checkpoint)
{
  struct jb_task *representative
      = task->step->spec->gang ? task->step->tasks : task;

  if (checkpoint == NULL || checkpoint[0] == '\0'
      || g_strcmp0 (representative->checkpoint, checkpoint) == 0)
    return;
  g_free (representative->checkpoint);
  representative->checkpoint = g_strdup (checkpoint);
}

void
sd_task_refused (struct sd_sched *sched, struct jb_task *task,
                 enum sd_refusal reason, int64_t now_ms)
{
  struct sd_worker *worker = sd_worker_find (sched, task->worker);

  if (worker != NULL && reason == SD_REFUSED_NO_RESOURCES)
    worker->start_backoff_until_ms = now_ms + SD_REFUSAL_BACKOFF_MS;
  if (reason == SD_REFUSED_TICKET_INVALID)
    sd_advice_drop_ticket (sched, task);
  if (worker != NULL && reason == SD_REFUSED_UNHEALTHY)
    sd_health_refused (worker, now_ms);
  sd_release_task (sched, task);
  stop_gang (sched, task, "a member was refused");
}

void
sd_task_lost (struct sd_sched *sched, struct jb_task *task, int64_t now_ms)
{
  (void)now_ms;
  sd_release_task (sched, task);
  stop_gang (sched, task, "a member was lost");
}

static void
mark_task_done (struct jb_task *task)
{
  task->state = JB_TASK_DONE;
  task->step->done_count++;
}

static void
handle_task_done (struct sd_sched *sched, struct jb_task *task,
                  int64_t now_unix_ms)
{
  struct jb_step *step = task->step;
  struct jb_job *job = task->job;
  uint32_t i;
  size_t k;

  if (step->spec->long_lived)
    return; /* it stays waiting and is started again */
  if (step->spec->gang)
    for (i = 0; i < step->spec->count; i++)
      {
        if (step->tasks[i].state == JB_TASK_DONE)
          continue;
        sd_release_task (sched, &step->tasks[i]);
        mark_task_done (&step->tasks[i]);
      }
  else
    mark_task_done (task);
  if (jb_state_is_final (job->state))
    return;
  for (k = 0; k < job->step_total; k++)
    if (job->steps[k].done_count < job->steps[k].spec->count)
      return;
  sd_finish_job (sched, job, JB_COMPLETED, now_unix_ms);
}

static uint32_t
attempt_limit (const struct sd_sched *sched, const struct jb_job *job)
{
  const struct ct_queue *queue = jq_of_job (sched->catalog, job);
  uint32_t limit = queue == NULL ? job->attempt_limit : queue->attempt_limit;

  return MAX (limit, 1);
}

/* The task that counts the failed runs of TASK.  */
static struct jb_task *
counting_task (struct jb_task *task)
{
  return task->step->spec->gang ? task->step->tasks : task;
}

/* A run counts once, however many members of a gang have failed in it, and
   however often and in which order their workers list it.
   @return : whether RUN has not counted before.  */
static bool
handle_run_failed (struct sd_sched *sched, struct jb_task *task, uint32_t run,
                   int64_t now_unix_ms)
{
  struct jb_task *counting = counting_task (task);

  if (jb_task_has_failed_run (counting, run))
    return false;
  jb_task_add_failed_run (counting, run);
  task->job->failed_runs++;
  if (!jb_state_is_final (task->job->state) && !task->step->spec->long_lived
      && counting->failures >= attempt_limit (sched, task->job))
    sd_finish_job (sched, task->job, JB_FAILED, now_unix_ms);
  return true;
}

/* Whether the job has not failed in another run than the last of TASK.  */
static bool
is_first_failed_run (struct jb_task *task)
{
  bool counted = jb_task_has_failed_run (counting_task (task), task->run);

  return task->job->failed_runs <= (counted ? 1 : 0);
}

/* Only runs from the beginning show how long the work takes, so runs that have
   resumed from a checkpoint do not count.  */
static void
learn_run_time (struct sd_sched *sched, struct jb_task *task,
                const struct sd_worker *worker, int64_t now_ms)
{
  const struct jb_step *step = task->step;
  const struct jb_task *representative = step->spec->gang ? step->tasks : task;
  int64_t took_ms = sd_speed_done (sched, task, worker, now_ms);

  if (task->started_ms > 0 && representative->checkpoint == NULL
      && !step->spec->long_lived)
    es_learn (sched->estimates, task->job->queue, step->spec->estimate_ms,
              took_ms);
}

void
sd_task_ended (struct sd_sched *sched, struct jb_task *task,
               enum sd_outcome outcome, const char *checkpoint, int64_t now_ms,
               int64_t now_unix_ms)
{
  struct sd_worker *worker = sd_worker_find (sched, task->worker);

  assert (task->state == JB_TASK_PLACED || task->state == JB_TASK_STOPPING);
  if (outcome == SD_OUTCOME_DONE)
    learn_run_time (sched, task, worker, now_ms);
  if (outcome == SD_OUTCOME_DONE && worker != NULL)
    sd_neighbours_task_done (sched, worker, task, now_ms);
  sd_task_running (sched, task, now_ms); /* its start may be unreported */
  sd_task_checkpointed (task, checkpoint);
  sd_release_task (sched, task);
  switch (outcome)
    {
    case SD_OUTCOME_DONE:
      if (worker != NULL)
        sd_health_done (worker, now_ms);
      handle_task_done (sched, task, now_unix_ms);
      return;
    case SD_OUTCOME_FAILED:
      if (worker != NULL)
        sd_health_failed (worker, task->job, is_first_failed_run (task),
                          now_ms);
      handle_run_failed (sched, task, task->run, now_unix_ms);
      stop_gang (sched, task, "a member failed");
      return;
    case SD_OUTCOME_STOPPED:
    case SD_OUTCOME_LEASE_EXPIRED:
    case SD_OUTCOME_GANG_MEMBER_LOST:
    case SD_OUTCOME_GANG_INCOMPLETE:
      stop_gang (sched, task, "a member ended");
      return;
    }
}

/* Whether a run after RUN may have been started.  */
static bool
has_later_run (const struct jb_task *task, uint32_t run)
{
  return (task->state == JB_TASK_PLACED || task->state == JB_TASK_STOPPING)
         && task->run > run && !task->start_unsent;
}

static bool
step_has_later_run (const struct jb_step *step, uint32_t run)
{
  uint32_t i;

  for (i = 0; i < step->spec->count; i++)
    if (has_later_run (&step->tasks[i], run))
      return true;
  return false;
}

bool
sd_given_up_run_done (struct sd_sched *sched, struct jb_task *task,
                      uint32_t run, int64_t now_unix_ms)
{
  const struct jb_step *step = task->step;

  if (step->spec->long_lived || task->state == JB_TASK_DONE
      || jb_state_is_final (task->job->state))
    return false;
  if (has_later_run (task, run)
      || (step->spec->gang && step_has_later_run (step, run)))
    {
      task->done_before = true;
      task->job->has_done_before = true;
      sd_mark_changed (sched, task->job);
      return false;
    }
  sd_release_task (sched, task);
  handle_task_done (sched, task, now_unix_ms);
  return true;
}

/* Of a gang: whether all its members wait.  */
static bool
has_no_run (const struct jb_task *task)
{
  const struct jb_step *step = task->step;
  uint32_t i;

  for (i = 0; step->spec->gang && i < step->spec->count; i++)
    if (step->tasks[i].state != JB_TASK_WAITING)
      return false;
  return task->state == JB_TASK_WAITING;
}

void
sd_end_tasks_done_before (struct sd_sched *sched, int64_t now_unix_ms)
{
  guint i;
  size_t k;

  for (i = sched->active_jobs->len; i-- > 0;)
    {
      struct jb_job *job = g_ptr_array_index (sched->active_jobs, i);

      for (k = 0; job->has_done_before && k < job->task_total
                  && !jb_state_is_final (job->state);
           k++)
        if (job->tasks[k].done_before && has_no_run (&job->tasks[k]))
          {
            handle_task_done (sched, &job->tasks[k], now_unix_ms);
            sd_mark_changed (sched, job);
          }
    }
}

bool
sd_given_up_run_failed (struct sd_sched *sched, struct jb_task *task,
                        uint32_t run, int64_t now_unix_ms)
{
  if (task->step->spec->long_lived || task->state == JB_TASK_DONE
      || !handle_run_failed (sched, task, run, now_unix_ms))
    return false;
  sd_mark_changed (sched, task->job);
  return true;
}
