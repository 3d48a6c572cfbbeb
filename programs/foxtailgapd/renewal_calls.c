/* Lease renewals: one request per worker and period, for all jobs on the
   worker.  */

#include <string.h>

#include "common/logging.h"
#include "lease/renewal_rank.h"
#include "renewal.h"

int64_t
renewal_now_ms (void)
{
  return g_get_monotonic_time () / G_TIME_SPAN_MILLISECOND;
}

/* ===== Which host renews ====================================== */

/* Rank of this host for the worker: 0 for the host that renews its leases, 1
   for the backup.  */
static size_t
rank_of (const struct renewal_task *task, const char *worker)
{
  const struct msg_members *members = task->members;
  const char **names;
  size_t rank;
  size_t i;

  if (members == NULL || members->member_count == 0)
    return 0;
  names = g_new (const char *, members->member_count);
  for (i = 0; i < members->member_count; i++)
    names[i] = members->members[i].host;
  rank = ls_renewal_rank (worker, names, members->member_count, members->self);
  g_free (names);
  return rank;
}

/* Period between renewals, 0 for none.  The backup renews often enough that no
   lease lapses if the first host cannot reach the worker.  Hosts of higher
   ranks do not renew.  */
static uint32_t
period_ms (const struct renewal_task *task, size_t rank)
{
  const struct settings *settings = task->daemon->settings;

  if (rank == 0)
    return settings->lease_renew_ms;
  if (rank == 1)
    return MAX (settings->lease_renew_ms, settings->lease_ttl_ms / 2);
  return 0;
}

/* ===== Failures =============================================== */

/* Whether no worker has answered for lease_ttl_ms and more than one fails.  */
static bool
is_cut_off (const struct renewal_task *task, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  size_t failing_count = 0;

  if (now_ms - task->last_answer_ms <= task->daemon->settings->lease_ttl_ms)
    return false;
  g_hash_table_iter_init (&iter, task->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct renewal_worker *)value)->failures > 0)
      failing_count++;
  return failing_count > 1;
}

static void
on_probe_answer (void *ctx, const struct ls_answer *answer)
{
  struct renewal_task *task = ctx;

  task->probe = NULL;
  if (answer->error != LS_ERR_NOT_SENT && answer->error != LS_ERR_UNKNOWN)
    task->last_answer_ms = renewal_now_ms ();
}

/* @return : a worker that has no leases to renew, at random; NULL: none.  */
static const struct hl_host *
find_idle_worker (const struct renewal_task *task)
{
  GHashTableIter iter;
  gpointer name;
  gpointer host;
  const struct hl_host *found = NULL;
  gint32 seen = 0;

  g_hash_table_iter_init (&iter, task->addresses);
  while (g_hash_table_iter_next (&iter, &name, &host))
    if (!g_hash_table_contains (task->workers, name)
        && g_random_int_range (0, ++seen) == 0)
      found = host;
  return found;
}

/* Finds out whether this host reaches any worker, by a renewal of no lease:
   the workers that still have leases may be just the lost ones.  */
static void
probe_idle_worker (struct renewal_task *task)
{
  const struct settings *settings = task->daemon->settings;
  const struct hl_host *host = find_idle_worker (task);
  struct ls_request request = { .kind = LS_RENEW,
                                .term = task->term,
                                .host = settings->host,
                                .ttl_ms = settings->lease_ttl_ms };
  struct ls_target target;

  if (host == NULL || task->probe != NULL)
    return;
  target = (struct ls_target){ .address = host->address, .port = host->port };
  if (ls_send (task->http, &target, &request,
               MIN (settings->lease_renew_ms, RENEWAL_CALL_TIMEOUT_MS),
               on_probe_answer, task, &task->probe)
      != LS_OK)
    task->probe = NULL; /* the next failure sends another */
}

/* A worker counts as lost once none of its leases can be in force any more,
   whichever host renewed them last.  A host that reaches none of several
   workers is probably cut off itself, so it waits longer.  */
static uint32_t
lost_after_ms (const struct renewal_task *task, int64_t now_ms)
{
  const struct settings *settings = task->daemon->settings;
  uint32_t bound_ms = settings->lease_ttl_ms + (2 * settings->lease_renew_ms);

  if (is_cut_off (task, now_ms))
    return RENEWAL_CUT_OFF_FACTOR * bound_ms;
  return bound_ms;
}

static void
on_failure (struct renewal_worker *worker, const char *why)
{
  struct renewal_task *task = worker->task;
  int64_t now_ms = renewal_now_ms ();

  mt_add (task->daemon->metrics, "foxtailgap_renewals_failed_total", 1);
  if (worker->failures++ == 0)
    {
      worker->failing_since_ms = now_ms;
      lg_warning (RENEWAL_PART,
                  "The leases on a worker could not be renewed; will retry.",
                  "worker", worker->name, "error", why, NULL);
    }
  if (now_ms - task->last_answer_ms > task->daemon->settings->lease_renew_ms)
    probe_idle_worker (task);
  if (worker->failures >= RENEWAL_LOST_MIN_FAILURES
      && now_ms - worker->failing_since_ms >= lost_after_ms (task, now_ms)
      && rank_of (task, worker->name) == 0)
    renewal_on_worker_lost (worker);
}

/* ===== Answers ================================================ */

/* Reports the progress of each attempt to the planner: that of its slowest
   task.  */
static void
report_usage (const struct renewal_worker *worker,
              const struct ls_answer *answer)
{
  struct msg_task_progress *report;
  size_t size_bytes;
  size_t i;
  size_t j;

  for (i = 0; i < answer->usage_count; i = j)
    {
      const struct ls_usage *usage = &answer->usage[i];
      uint64_t least_ms = usage->progress_ms;

      for (j = i + 1;
           j < answer->usage_count
           && g_str_equal (answer->usage[j].attempt.job, usage->attempt.job);
           j++)
        least_ms = MIN (least_ms, answer->usage[j].progress_ms);
      size_bytes = strlen (usage->attempt.job) + 1;
      report = g_malloc (sizeof *report + size_bytes);
      report->attempt = usage->attempt.attempt;
      report->progress_ms = least_ms;
      memcpy (report->job, usage->attempt.job, size_bytes);
      mb_post (worker->task->daemon->planner, MSG_TASK_PROGRESS, report);
    }
}

static void
on_answer (void *ctx, const struct ls_answer *answer)
{
  struct renewal_worker *worker = ctx;
  struct renewal_task *task = worker->task;
  size_t i;

  worker->call = NULL;
  if (answer->error != LS_OK)
    {
      on_failure (worker, ls_strerror (answer->error));
      return;
    }
  worker->failures = 0;
  worker->acked_seq_delivered = worker->acked_seq_sent;
  task->last_answer_ms = renewal_now_ms ();
  mt_add (task->daemon->metrics, "foxtailgap_renewals_total", 1);
  renewal_on_events (worker, answer);
  for (i = 0; i < answer->unknown_count; i++)
    renewal_on_unknown_attempt (worker, &answer->unknown[i]);
  if (task->holds_planner_term)
    report_usage (worker, answer);
}

/* ===== Requests =============================================== */

static struct ls_attempt *
attempts_of (const struct renewal_worker *worker, size_t *count)
{
  struct ls_attempt *attempts
      = g_new0 (struct ls_attempt, g_hash_table_size (worker->jobs));
  const struct st_job *job;
  GHashTableIter iter;
  gpointer id;

  *count = 0;
  g_hash_table_iter_init (&iter, worker->jobs);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      job = g_hash_table_lookup (worker->task->jobs, id);
      if (job != NULL)
        attempts[(*count)++]
            = (struct ls_attempt){ .job = job->id, .attempt = job->attempt };
    }
  return attempts;
}

static void
send_renewal (struct renewal_worker *worker)
{
  struct renewal_task *task = worker->task;
  const struct settings *settings = task->daemon->settings;
  const struct hl_host *host
      = g_hash_table_lookup (task->addresses, worker->name);
  struct ls_request request = { .kind = LS_RENEW,
                                .term = task->term,
                                .host = settings->host,
                                .ttl_ms = settings->lease_ttl_ms,
                                .acknowledged_seq = worker->recorded_seq };
  struct ls_target target;
  struct ls_attempt *attempts;

  if (host == NULL)
    {
      on_failure (worker, "the worker is not on the list");
      return;
    }
  target = (struct ls_target){ .address = host->address, .port = host->port };
  worker->acked_seq_sent = worker->recorded_seq;
  attempts = attempts_of (worker, &request.renewed_attempt_count);
  request.renewed_attempts = attempts;
  if (ls_send (task->http, &target, &request,
               MIN (settings->lease_renew_ms, RENEWAL_CALL_TIMEOUT_MS),
               on_answer, worker, &worker->call)
      != LS_OK)
    {
      worker->call = NULL;
      on_failure (worker, "the request cannot be sent");
    }
  g_free (attempts);
}

static void
renew_if_due (struct renewal_worker *worker, int64_t now_ms)
{
  uint32_t period;

  if (now_ms < worker->next_ms || worker->call != NULL)
    return;
  period = period_ms (worker->task, rank_of (worker->task, worker->name));
  if (period == 0)
    {
      /* Another host renews this worker.  Checked again after a period, as
         the live hosts may change.  */
      worker->next_ms
          = now_ms + worker->task->daemon->settings->lease_renew_ms;
      worker->failures = 0;
      renewal_forget_events (worker);
      return;
    }
  /* Keeps to the period, but does not send missed renewals in a burst.  */
  worker->next_ms = MAX (worker->next_ms + period, now_ms + (period / 2));
  send_renewal (worker);
}

void
renewal_send_due (struct renewal_task *task, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, task->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct renewal_worker *worker = value;

      if (renewal_is_wanted (worker))
        renew_if_due (worker, now_ms);
      else if (worker->call == NULL
               && g_hash_table_size (worker->pending_losses) == 0)
        g_hash_table_iter_remove (&iter);
    }
}
