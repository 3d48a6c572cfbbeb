/* Keeps the queued, placed and running jobs of the log, and submits them to
   the placement core.  */

#include "common/logging.h"
#include "planner.h"

void
planner_job_free (void *entry)
{
  struct planner_job *item = entry;

  st_job_unref (item->job);
  g_free (item->refusal_reason);
  g_free (item);
}

static bool
holds_workers (const struct st_job *job)
{
  return job->state == ST_JOB_PLACED || job->state == ST_JOB_RUNNING;
}

/* ===== Jobs in the placement core ============================= */

int64_t
planner_from_log_ms (int64_t time_ms)
{
  int64_t age_ms = (g_get_real_time () / G_TIME_SPAN_MILLISECOND) - time_ms;

  return planner_now_ms () - MAX (age_ms, 0);
}

/* The planner decides whether a further attempt is allowed, not the placement
   core, because only the planner knows whether the last attempt has started.
   So the core gets every job as repeatable.  A job that is not repeatable must
   not be evicted, so the core gets it as not checkpointable, and then does not
   let it borrow.  */
static struct place_job
to_place_job (const struct st_job *job)
{
  const Ft__JobSpec *spec = job->spec;
  const Ft__Shape *shape = spec->shape;

  return (struct place_job){
    .id = job->id,
    .team = spec->team,
    .kind = spec->kind,
    .data_centre = spec->data_centre,
    .shape = { .tasks = shape->tasks,
               .task = { .cpus_milli = shape->cpus_milli,
                         .memory_mb = shape->memory_mb,
                         .accelerators = shape->accelerators },
               .span = (enum place_span)shape->span },
    .declared_run_ms = spec->declared_run_ms,
    .submitted_ms = planner_from_log_ms (job->submitted_ms),
    .progress_ms = job->progress_ms,
    .attempt = job->attempt,
    .urgent = spec->urgency > 0,
    .checkpointable = spec->checkpointable && spec->repeatable,
    .repeatable = true,
  };
}

void
planner_submit (struct planner_task *task, struct planner_job *entry)
{
  struct place_job job = to_place_job (entry->job);
  char reason[PLACE_TEXT_SIZE_BYTES] = "";
  int error;

  if (task->place == NULL || entry->refusal_reason != NULL)
    return;
  error = place_submit (task->place, &job, reason);
  if (error == PLACE_ERR_INFEASIBLE)
    planner_refuse (task, entry->job->id, reason);
  else if (error != PLACE_OK && error != PLACE_ERR_EXISTS)
    planner_refuse (task, entry->job->id, place_strerror (error));
  planner_schedule_round (task);
}

static void
restore_placed_job (struct planner_task *task, const struct st_job *job)
{
  struct place_job place_job = to_place_job (job);
  struct place_assignment *assignments
      = g_new0 (struct place_assignment, job->task_count);
  size_t i;
  int error;

  for (i = 0; i < job->task_count; i++)
    assignments[i] = job->tasks[i].assignment;
  error = place_restore (task->place, &place_job, assignments, job->task_count,
                         planner_from_log_ms (job->changed_ms));
  if (error != PLACE_OK)
    lg_warning (PLANNER_PART, "The placement of a job cannot be restored.",
                "job", job->id, "error", place_strerror (error), NULL);
  g_free (assignments);
}

/* ===== Start and stop of planning ============================= */

static int64_t
place_now (void *ctx)
{
  (void)ctx;
  return planner_now_ms ();
}

static uint32_t
place_random (void *ctx)
{
  (void)ctx;
  return g_random_int ();
}

/* The settings have been validated, so any other name is that of the default
   policy.  */
static const struct place_policy *
policy_of (const struct settings *settings)
{
  if (g_str_equal (settings->placement_policy, "first-fit"))
    return &place_policy_first_fit;
  if (g_str_equal (settings->placement_policy, "strict"))
    return &place_policy_strict;
  return &place_policy_guarantee;
}

static int
create_place (struct planner_task *task)
{
  const struct env_rules *rules = &task->config->document->rules;
  struct place_params params
      = { .policy = policy_of (task->daemon->settings),
          .checkpoint_grace_ms = rules->checkpoint_grace_ms,
          .attempt_limit = rules->attempt_limit,
          .quarantine_failures = rules->quarantine_failures,
          .quarantine_ms = rules->quarantine_ms,
          .now_ms = place_now,
          .random = place_random };

  task->rules = *rules;
  return place_create (&task->place, &params);
}

static void
configure_teams (struct planner_task *task)
{
  const struct env_document *document = task->config->document;
  struct place_team *teams = env_to_place_teams (document);
  int error = place_configure (task->place, teams, document->teams_count);

  if (error != PLACE_OK)
    lg_error (PLANNER_PART, "The placement core did not accept the teams.",
              "error", place_strerror (error), NULL);
  env_free_place_teams (teams, document->teams_count);
  planner_schedule_round (task);
}

static gint
compare_submissions (gconstpointer a, gconstpointer b)
{
  const struct st_job *left = ((const struct planner_job *)a)->job;
  const struct st_job *right = ((const struct planner_job *)b)->job;

  if (left->submitted_ms != right->submitted_ms)
    return left->submitted_ms < right->submitted_ms ? -1 : 1;
  return g_strcmp0 (left->id, right->id);
}

/* Restores the jobs that hold workers first, so that their resources are not
   given to queued jobs.  */
static void
load_jobs (struct planner_task *task)
{
  GList *entries = g_hash_table_get_values (task->jobs);
  GList *item;

  entries = g_list_sort (entries, compare_submissions);
  for (item = entries; item != NULL; item = item->next)
    if (holds_workers (((struct planner_job *)item->data)->job))
      restore_placed_job (task, ((struct planner_job *)item->data)->job);
  for (item = entries; item != NULL; item = item->next)
    {
      struct planner_job *entry = item->data;

      if (holds_workers (entry->job))
        planner_gang_resume (task, entry);
      else if (entry->job->state == ST_JOB_QUEUED)
        planner_submit (task, entry);
    }
  g_list_free (entries);
}

void
planner_start_planning (struct planner_task *task)
{
  int error;

  if (task->own_term == 0 || task->place != NULL || task->config == NULL
      || task->hosts == NULL)
    return;
  error = create_place (task);
  if (error != PLACE_OK)
    {
      lg_error (PLANNER_PART, "The placement core cannot be created.", "error",
                place_strerror (error), NULL);
      return;
    }
  configure_teams (task);
  planner_apply_hosts (task);
  load_jobs (task);
  lg_info (PLANNER_PART, "Plans.", "term",
           lg_number ((long long)task->own_term), "jobs",
           lg_number (g_hash_table_size (task->jobs)), NULL);
}

void
planner_stop_planning (struct planner_task *task)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_remove_all (task->gangs);
  g_hash_table_remove_all (task->appends);
  g_hash_table_remove_all (task->usable_workers);
  g_hash_table_remove_all (task->unresponsive_until_ms);
  g_queue_clear_full (&task->unsent_requests, planner_unsent_request_free);
  g_queue_clear_full (&task->ended_gangs, planner_ended_gang_free);
  ev_timer_stop (task->daemon->loop, &task->round_timer);
  place_free (task->place);
  task->place = NULL;
  g_hash_table_iter_init (&iter, task->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct planner_job *entry = value;

      g_free (entry->refusal_reason);
      entry->refusal_reason = NULL;
      entry->refusal_pending = false;
    }
}

/* The placement core gets the rules only when it is created, so changed rules
   need a new core.  It is rebuilt from the log, as after a change of planner.
 */
void
planner_on_config (struct planner_task *task)
{
  const struct env_rules *rules = &task->config->document->rules;

  if (task->place != NULL && memcmp (rules, &task->rules, sizeof *rules) != 0)
    planner_suspend (task, "the rules have changed");
  else if (task->place != NULL)
    configure_teams (task);
  else
    planner_start_planning (task);
}

/* ===== Changes of a job ======================================= */

static struct planner_job *
update_entry (struct planner_task *task, struct st_job *job)
{
  struct planner_job *entry = g_hash_table_lookup (task->jobs, job->id);

  if (entry == NULL)
    {
      entry = g_new0 (struct planner_job, 1);
      g_hash_table_insert (task->jobs, g_strdup (job->id), entry);
    }
  else
    st_job_unref (entry->job);
  entry->job = st_job_ref (job);
  return entry;
}

void
planner_on_job (struct planner_task *task, struct st_job *job)
{
  struct planner_gang *pg = planner_find_gang (task, job->id);
  struct planner_job *entry = NULL;

  if (job->state >= ST_JOB_FINISHED)
    g_hash_table_remove (task->jobs, job->id);
  else
    entry = update_entry (task, job);
  if (task->place == NULL)
    return;
  if (pg != NULL)
    planner_gang_on_job (pg, job);
  else if (entry == NULL)
    place_cancel (task->place, job->id);
  else if (job->state == ST_JOB_QUEUED)
    planner_submit (task, entry);
  else if (job->attempt > entry->highest_attempt)
    {
      restore_placed_job (task, job);
      planner_gang_resume (task, entry);
    }
  planner_schedule_round (task);
}

void
planner_on_job_dropped (struct planner_task *task, const char *id)
{
  if (task->place != NULL && planner_find_gang (task, id) == NULL)
    place_cancel (task->place, id);
  g_hash_table_remove (task->jobs, id);
}

/* ===== Refusals =============================================== */

static void
record_refusal (struct planner_task *task, struct planner_job *entry)
{
  struct planner_append *append = g_new0 (struct planner_append, 1);

  append->kind = PLANNER_APPEND_REFUSAL;
  append->job = g_strdup (entry->job->id);
  entry->refusal_pending = true;
  planner_append (
      task, planner_record_refuse (entry->job->id, entry->refusal_reason),
      task->own_term, append);
}

void
planner_refuse (struct planner_task *task, const char *id, const char *reason)
{
  struct planner_job *entry = g_hash_table_lookup (task->jobs, id);

  if (entry == NULL || entry->refusal_reason != NULL)
    return;
  entry->refusal_reason = g_strdup (reason == NULL ? "" : reason);
  lg_info (PLANNER_PART, "A job is refused.", "job", id, "reason",
           entry->refusal_reason, NULL);
  record_refusal (task, entry);
}

void
planner_on_refusal_appended (struct planner_task *task, const char *id,
                             const struct msg_appended *answer)
{
  struct planner_job *entry = g_hash_table_lookup (task->jobs, id);

  if (entry == NULL || answer->result == MSG_APPEND_FOLDED)
    return;
  entry->refusal_pending = false;
  entry->refusal_retry_ms = planner_now_ms () + PLANNER_REFUSAL_RETRY_MS;
}

void
planner_tick_refusals (struct planner_task *task, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, task->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct planner_job *entry = value;

      if (entry->refusal_reason != NULL && !entry->refusal_pending
          && now_ms >= entry->refusal_retry_ms)
        record_refusal (task, entry);
    }
}
