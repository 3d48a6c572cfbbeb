/* Lease renewals and status polls: which runs each worker has.  */

#include "workers.h"

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "common/loop_load.h"
#include "workers_private.h"

static const char PART[] = "workers";

enum
{
  /* A worker answers a poll when a run ends, or after this wait.  The
     platform's limit is 2,000 ms.  */
  RENEWAL_WAIT_MS = 1900,
  RENEWAL_TIMEOUT_MS = 700, /* in addition to the wait */
  /* Of a poll that a start waits for: as long as that of a start.  */
  CLOCK_POLL_TIMEOUT_MS = 350,
  /* A worker without any answer for so long has had no poll in flight.  */
  IDLE_MIN_MS = RENEWAL_WAIT_MS + RENEWAL_TIMEOUT_MS,
  /* A lease lasts until the renewal after the next one, also if the term was
     proved some hundred ms before the renewal.  */
  RENEWALS_PER_LEASE = 3,
  /* A worker where best-effort tasks run beside tasks that serve is polled at
     least this often, for the tail latencies there change within seconds.  */
  SHARED_POLL_WAIT_MS = 500,
  /* For how long the lease of a worker that is not reachable is still renewed,
     counted from when the last renewal that it answered was sent, so that a
     short interruption has no effect.  Afterwards only polls are sent, so that
     the lease ends within a bounded time.  A renewal that times out after
     RENEWAL_WAIT_MS and RENEWAL_TIMEOUT_MS has used up this time.  */
  RENEW_WITHOUT_ANSWER_MS = 1500,
  /* Of a worker whose report and last answer are of different processes.  */
  OTHER_PROCESS_RETRY_MS = 1000,
  UNREACHABLE_RETRY_MS = 250,
  /* After LONG_UNREACHABLE_MS a worker without runs is polled less often: of
     1,100 workers some hundred may be down.  */
  LONG_UNREACHABLE_MS = 2000,
  LONG_UNREACHABLE_RETRY_MS = 1000,
  /* Between polls of a worker in the record of leases.  A new record, without
     the worker, is usually stored within 10 ms.  */
  RECORDED_RETRY_MS = 50,
  /* The next renewal waits for the processed outcomes to be stored, but no
     longer than this: well below the lease, and above the time that a slow
     store takes for an answer.  */
  STORE_WAIT_MS = 1000,
  /* Outcomes are acknowledged no later after the answer that listed them, for
     the worker may restart unnoticed.  Longer than a store usually takes;
     otherwise the worker is polled first, and lists them again at once.  */
  ACKNOWLEDGE_WITHIN_MS = 100,
  /* An acknowledgement may wait for a connection behind calls without an
     answer; longer than an iteration of the loop usually takes.  */
  ACKNOWLEDGE_SEND_MS = 200,
  /* Outlasts a store that does not answer for 4.5 s while the planner is lost,
     and a takeover of 1 s.  */
  LEASE_MAX_MS = 6000,
  /* A draining worker will be gone without notice; two renewals long.  */
  DRAINING_LEASE_MAX_MS = 4000,
  /* A call takes 0.2 to 0.4 ms of a host with half a core, so that a full
     window is worked through well within a heartbeat of the planner.  */
  WINDOW_MAX = 128,
  WINDOW_MIN = 8,
  WINDOW_EXPIRY_MS = 100, /* many times the time of an answer */
  WINDOW_LAG_HIGH_MS = 40,
  LINK_BURST_MS = 50, /* well below the timeout of a start */
  LINK_INTERVAL_MS = 100,
  /* An answer takes a few milliseconds on an idle link, and a start is sent
     again after 350 ms.  */
  LINK_FAST_MS = 30,
  LINK_SLOW_MS = 80,
  /* Renewals sent in one pass, so that the loop soon returns to other
     events.  */
  RENEWALS_PER_PASS_MAX = 32,
  /* A poll that has waited for the window for so long is sent without room,
     a few in one pass: starts can use the whole window for many seconds.  Such
     polls do not use the window in turn, since many may have no answer.  */
  POLL_OVERDUE_MS = 1000,
  OVERDUE_POLLS_PER_PASS_MAX = 4
};

/* --- Calls --- */

struct worker_io *
wk_io (struct worker_calls *workers, struct sd_worker *worker)
{
  struct worker_io *io = worker->driver_data;

  if (io != NULL)
    return io;
  io = g_new0 (struct worker_io, 1);
  io->workers = workers;
  io->worker = worker;
  io->clock.clock_ms = -1;
  io->term = workers->term;
  worker->driver_data = io;
  g_hash_table_insert (workers->ios, worker->report.id, io);
  return io;
}

void
wk_update_clock (struct worker_io *io, const struct wp_answer *answer,
                 int64_t now_ms)
{
  /* The clock of another process says nothing about this worker.  */
  if (answer->worker_clock_ms < 0 || answer->result == WP_WRONG_WORKER)
    return;
  io->clock = (struct wc_reading){ .clock_ms = answer->worker_clock_ms,
                                   .read_ms = now_ms };
}

struct wp_target
wk_target (const struct sd_worker *worker)
{
  return (struct wp_target){ .address = worker->report.address,
                             .worker = worker->report.id };
}

struct wk_call *
wk_call_create (struct worker_calls *workers, const struct sd_worker *worker,
                const char *task, uint32_t run)
{
  struct wk_call *call = g_new0 (struct wk_call, 1);
  const struct worker_io *io = worker->driver_data;

  call->workers = workers;
  call->generation = workers->generation;
  call->term = io == NULL ? workers->term : io->term;
  call->worker = g_strdup (worker->report.id);
  call->task = g_strdup (task);
  call->run = run;
  call->worker_started_ms = worker->process_started_ms;
  call->worker_clock_ms = io == NULL ? -1 : io->clock.clock_ms;
  call->sent_ms = clk_monotonic_ms (NULL);
  call->first_sent_ms = call->sent_ms;
  g_hash_table_add (workers->calls, call);
  return call;
}

bool
wk_call_is_current (struct wk_call *call)
{
  return call->workers != NULL && call->generation == call->workers->generation
         && call->workers->term != 0;
}

void
wk_call_opened (struct wk_call *call)
{
  wk_call_answered (call); /* an earlier try */
  call->ticket = cw_open (call->workers->window, call->sent_ms);
}

void
wk_call_answered (struct wk_call *call)
{
  if (call->workers != NULL)
    cw_close (call->workers->window, call->ticket);
  call->ticket = NULL;
}

bool
wk_may_command (const struct worker_calls *workers)
{
  return workers->params.may_command == NULL
         || workers->params.may_command (workers->params.ctx);
}

void
wk_observe_lag (struct worker_calls *workers, int64_t lag_ms)
{
  cw_observe_lag (workers->window, lag_ms);
}

void
wk_call_free (struct wk_call *call)
{
  wk_call_answered (call);
  if (call->workers != NULL)
    g_hash_table_remove (call->workers->calls, call);
  g_free (call->worker);
  g_free (call->task);
  g_free (call);
}

/* --- Answers to renewals and polls --- */

static struct jb_task *
find_task_on_worker (const struct worker_calls *workers,
                     const struct sd_worker *worker, const char *name,
                     uint32_t run)
{
  struct jb_task *task = jb_table_find_task (workers->params.table, name);

  if (task == NULL || task->run != run
      || (task->state != JB_TASK_PLACED && task->state != JB_TASK_STOPPING)
      || strcmp (task->worker, worker->report.id) != 0)
    return NULL;
  return task;
}

/* A run that is not current any more has ended.  Its outcome still counts, for
   the worker is about to forget it.  */
static void
process_old_outcome (struct worker_io *io, const struct wp_outcome *outcome)
{
  struct worker_calls *workers = io->workers;
  struct sd_sched *sched = workers->params.sched;
  struct jb_task *task
      = jb_table_find_task (workers->params.table, outcome->task);
  bool counts = false;

  if (task == NULL)
    return;
  if (outcome->outcome == SD_OUTCOME_DONE)
    counts = sd_given_up_run_done (sched, task, outcome->run, clk_unix_ms ());
  else if (outcome->outcome == SD_OUTCOME_FAILED)
    counts
        = sd_given_up_run_failed (sched, task, outcome->run, clk_unix_ms ());
  if (!counts)
    return;
  lg_info (PART, "The outcome of a run that was given up counts.", "task",
           outcome->task, "run", lg_number (outcome->run), "how",
           outcome->outcome == SD_OUTCOME_DONE ? "done" : "failed", "worker",
           io->worker->report.id, NULL);
  mt_add (workers->params.metrics, "foxtailgap_late_outcomes_total", 1);
}

static void
process_outcome (struct worker_io *io, const struct wp_outcome *outcome,
                 int64_t now_ms)
{
  struct worker_calls *workers = io->workers;
  struct jb_task *task
      = find_task_on_worker (workers, io->worker, outcome->task, outcome->run);
  /* Words of logs and metrics, by enum sd_outcome.  */
  static const char *const outcome_words[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
  char name[96];

  if (outcome->number <= io->outcome_processed)
    return;
  io->outcome_processed = outcome->number;
  g_snprintf (name, sizeof name, "foxtailgap_ends_total{how=\"%s\"}",
              outcome_words[outcome->outcome]);
  mt_add (workers->params.metrics, name, 1);
  /* Of a gang that has ended done, only the first end is current.  */
  lg_write (task == NULL && outcome->outcome == SD_OUTCOME_DONE
                ? G_LOG_LEVEL_DEBUG
                : G_LOG_LEVEL_INFO,
            PART, "A run has ended.", "task", outcome->task, "run",
            lg_number (outcome->run), "how", outcome_words[outcome->outcome],
            "worker", io->worker->report.id, "current",
            task == NULL ? "no" : "yes", NULL);
  if (task != NULL)
    sd_task_ended (workers->params.sched, task, outcome->outcome,
                   outcome->checkpoint, now_ms, clk_unix_ms ());
  else
    process_old_outcome (io, outcome);
}

/* The runs of one status poll.  */
struct reported_runs
{
  GHashTable *assigned;   /* struct jb_task, as a set */
  GPtrArray *unassigned;  /* struct jb_task: known tasks with another run */
  uint32_t unknown_count; /* runs of tasks that are not known */
};

static void
process_unassigned_run (struct worker_io *io, const struct wp_run *run,
                        struct reported_runs *reported)
{
  struct jb_task *task
      = jb_table_find_task (io->workers->params.table, run->task);

  lg_warning (PART,
              "A worker runs a task that is not assigned to it; stopping it.",
              "task", run->task, "run", lg_number (run->run), "worker",
              io->worker->report.id, NULL);
  if (task != NULL)
    g_ptr_array_add (reported->unassigned, task);
  else
    reported->unknown_count++;
  wk_stop_run (io->workers, io->worker, run->task, run->run);
  io->poll_soon = true;
}

static void
process_run (struct worker_io *io, const struct wp_run *run,
             struct reported_runs *reported, int64_t now_ms)
{
  struct worker_calls *workers = io->workers;
  struct jb_task *task
      = find_task_on_worker (workers, io->worker, run->task, run->run);

  if (task == NULL)
    {
      process_unassigned_run (io, run, reported);
      return;
    }
  g_hash_table_add (reported->assigned, task);
  sd_task_checkpointed (task, run->checkpoint);
  if (task->state == JB_TASK_PLACED)
    {
      sd_task_running (workers->params.sched, task, now_ms);
      sd_task_progress (workers->params.sched, task, run->percent, now_ms);
    }
  else if (wk_stop_is_due (task, now_ms))
    wk_stop (workers, task);
  task->reported_load = run->reported_load;
}

static void
process_lists (struct worker_io *io, const struct wp_answer *answer,
               int64_t now_ms)
{
  struct reported_runs reported = { .assigned = g_hash_table_new (NULL, NULL),
                                    .unassigned = g_ptr_array_new () };
  guint i;

  wk_process_answered (io, answer, now_ms);
  wk_settle_losses_by_poll (io, answer, now_ms);
  for (i = 0; i < answer->outcomes->len; i++)
    process_outcome (
        io, &g_array_index (answer->outcomes, struct wp_outcome, i), now_ms);
  for (i = 0; i < answer->runs->len; i++)
    process_run (io, &g_array_index (answer->runs, struct wp_run, i),
                 &reported, now_ms);
  io->has_unassigned_runs
      = reported.unassigned->len > 0 || reported.unknown_count > 0;
  sd_worker_unassigned_runs (io->worker, reported.unassigned,
                             reported.unknown_count > 0);
  wk_drop_missing_runs (io, reported.assigned, answer->outcomes_limited,
                        now_ms);
  g_hash_table_destroy (reported.assigned);
  g_ptr_array_free (reported.unassigned, TRUE);
}

/* --- Lease renewals and status polls --- */

static void send_renewal (struct worker_calls *workers, struct worker_io *io,
                          bool beyond_window, int64_t now_ms);

/* A poll has had no answer on a connection that may have gone silent: the
   worker is polled once more at once, on another connection, before it counts
   as out of touch.  This poll only asks for the state of the worker, so that
   its lease ends as if it had not been sent.
   @return : whether it has been sent.  */
static bool
poll_on_another_connection (struct worker_io *io,
                            const struct wp_answer *answer, int64_t now_ms)
{
  if (answer->result != WP_NO_ANSWER || !answer->reused_connection
      || io->is_second_poll || io->worker->reachability != SD_WORKER_REACHABLE)
    return false;
  lg_info (PART, "A poll has had no answer; another connection is tried.",
           "worker", io->worker->report.id, NULL);
  mt_add (io->workers->params.metrics, "foxtailgap_second_polls_total", 1);
  io->is_second_poll = true;
  io->poll_at_once = true;
  send_renewal (io->workers, io, false, now_ms);
  return true;
}

/* @return : whether the worker has been polled again at once.  */
static bool
process_failed_poll (struct worker_io *io, const struct wk_call *call,
                     const struct wp_answer *answer, int64_t now_ms)
{
  struct sd_worker *worker = io->worker;
  const char *result = wp_result_name (answer->result);

  if (answer->result == WP_NO_ANSWER)
    wk_deadline_unanswered (io, call, now_ms);
  else if (answer->result == WP_NOT_SENT)
    wk_deadline_not_sent (io, call);
  if (poll_on_another_connection (io, answer, now_ms))
    return true;
  io->is_second_poll = false;
  if (worker->reachability != SD_WORKER_UNREACHABLE)
    {
      lg_info (PART, "A worker is out of touch.", "worker", call->worker,
               "result", result, NULL);
      wk_out_of_touch (io, now_ms);
    }
  else if (answer->result != io->last_result)
    lg_info (PART, "A worker is still out of touch.", "worker", call->worker,
             "result", result, NULL);
  io->last_result = answer->result;
  sd_worker_set_reachability (worker, SD_WORKER_UNREACHABLE);
  if (answer->result == WP_WRONG_WORKER)
    wk_drop_runs_of_replaced_worker (io, now_ms);
  return false;
}

static void
process_poll (struct worker_io *io, const struct wp_answer *answer,
              int64_t now_ms)
{
  struct worker_calls *workers = io->workers;
  struct sd_worker *worker = io->worker;

  if (worker->reachability != SD_WORKER_REACHABLE)
    lg_info (PART, "A worker is in touch.", "worker", worker->report.id, NULL);
  sd_worker_set_reachability (worker, SD_WORKER_REACHABLE);
  io->is_second_poll = false;
  io->answered_renewal_sent_ms = io->renewal_sent_ms;
  io->lists_read_ms = now_ms;
  io->outcome_acked = MAX (io->outcome_acked, io->outcome_told);
  process_lists (io, answer, now_ms);
  if (io->awaits_term_since_ms != 0)
    sd_worker_set_reachability (worker, SD_WORKER_UNSEEN);
  wk_update_clock (io, answer, now_ms);
  wk_update_pace (workers, worker);
  sd_worker_polled (workers->params.sched, worker, now_ms);
  /* The number must follow the answer closely.  If the worker waited for its
     turn among others, it might never be sent.  */
  if (io->outcome_stored > io->outcome_acked && worker->tasks->len > 0
      && io->renewal == NULL && !io->lease_recorded)
    send_renewal (workers, io, true, now_ms);
  workers->params.changed (workers->params.ctx);
}

static void
on_renewal_answer (void *ctx, const struct wp_answer *answer)
{
  struct wk_call *call = ctx;
  struct worker_calls *workers = call->workers;
  int64_t now_ms = clk_monotonic_ms (NULL);
  struct sd_worker *worker;
  struct worker_io *io = NULL;
  bool is_awaited;
  bool polled_again = false;

  wk_call_answered (call);
  if (!wk_call_is_current (call))
    goto done;
  worker = sd_worker_find (workers->params.sched, call->worker);
  if (worker == NULL || worker->driver_data == NULL)
    goto done;
  io = worker->driver_data;
  is_awaited = io->renewal == call;
  if (is_awaited)
    io->renewal = NULL;
  if (answer->result == WP_FENCED && wk_is_superseded (call))
    {
      workers->params.fenced (workers->params.ctx);
      goto done;
    }
  if (answer->result == WP_NO_ANSWER)
    wk_call_unanswered (io, call);
  if (answer->result == WP_SEND_LATE)
    {
      lg_info (PART, "An acknowledgement was not sent in time.", "worker",
               call->worker, NULL);
      wk_deadline_not_sent (io, call);
      io->poll_at_once = true;
      workers->params.changed (workers->params.ctx);
    }
  if (!is_awaited)
    {
      if (answer->result != WP_NOT_SENT && answer->result != WP_SEND_LATE)
        wk_extend_lease_to_limit (io, now_ms);
      io = NULL;
    }
  if (!is_awaited || answer->result == WP_SEND_LATE
      || answer->result == WP_FENCED)
    goto done;
  if (answer->result == WP_DONE)
    process_poll (io, answer, now_ms);
  else
    polled_again = process_failed_poll (io, call, answer, now_ms);

done:
  if (io != NULL && !polled_again)
    wk_poll_ended (io, now_ms);
  wk_call_free (call);
  if (workers != NULL)
    wk_send_queued_starts (workers);
}

/* The runs of an unreachable worker are waited for until its lease is over, so
   a lease is no longer than needed to outlast an outage.  */
static uint32_t
lease_duration_ms (const struct worker_calls *workers,
                   const struct sd_worker *worker)
{
  uint32_t limit_ms
      = worker->report.draining ? DRAINING_LEASE_MAX_MS : LEASE_MAX_MS;

  return MIN (workers->params.lease_ttl_ms, limit_ms);
}

static bool
has_confirmed_run (const struct sd_worker *worker)
{
  guint i;

  for (i = 0; i < worker->tasks->len; i++)
    if (((const struct jb_task *)g_ptr_array_index (worker->tasks, i))
            ->confirmed)
      return true;
  return false;
}

/* Whether the next renewal is to be answered immediately, for the worker was
   idle: a start there needs a recent reading of its clock, and its open
   connections may have gone silent.  A long poll would show that only after
   the lease of a start, which is as short as its expiry.  */
static bool
ends_idle_time (const struct worker_io *io, int64_t now_ms)
{
  return io->worker->reachability == SD_WORKER_REACHABLE
         && (!wc_is_recent (&io->clock, now_ms)
             || (now_ms - io->clock.read_ms > IDLE_MIN_MS
                 && !has_confirmed_run (io->worker)));
}

/* How long until no start without an answer can take effect there any more; 0
   also if the last renewal was sent before that, so that it does not show
   whether the run is there; INT64_MAX: there is no such start.  */
static int64_t
unanswered_start_wait_ms (const struct worker_io *io, int64_t now_ms)
{
  int64_t wait_ms = INT64_MAX;
  guint i;

  for (i = 0; i < io->worker->tasks->len; i++)
    {
      const struct jb_task *task = g_ptr_array_index (io->worker->tasks, i);

      if (!task->confirmed && task->poll_conclusive_from_ms < INT64_MAX
          && io->renewal_sent_ms <= task->poll_conclusive_from_ms)
        wait_ms = MIN (wait_ms,
                       MAX (task->poll_conclusive_from_ms + 1 - now_ms, 0));
    }
  return wait_ms;
}

static uint32_t
usual_wait_ms (const struct worker_io *io, int64_t now_ms)
{
  uint32_t wait_ms
      = MIN ((uint32_t)RENEWAL_WAIT_MS,
             io->workers->params.lease_ttl_ms / RENEWALS_PER_LEASE);

  if (io->worker->reachability != SD_WORKER_REACHABLE || io->poll_at_once
      || io->lease_recorded)
    return 0;
  if (ends_idle_time (io, now_ms))
    return 0;
  if (sd_worker_is_shared (io->worker))
    return SHARED_POLL_WAIT_MS;
  if (io->poll_soon)
    return io->workers->params.stop_max_ms + WK_OUTCOME_LISTING_MS;
  if (wk_needs_proof (io->workers, now_ms))
    wait_ms = MIN (wait_ms, wk_proof_wait_ms (io->workers));
  return wait_ms;
}

/* How long the worker may delay its answer to the next renewal.  */
static uint32_t
renewal_wait_ms (const struct worker_io *io)
{
  int64_t now_ms = clk_monotonic_ms (NULL);

  return (uint32_t)MIN ((int64_t)usual_wait_ms (io, now_ms),
                        unanswered_start_wait_ms (io, now_ms));
}

/* Another process of the worker numbers its outcomes anew, and would forget
   those up to the number of an acknowledgement before they are processed.  So
   each is sent once, and soon after an answer of the process that it is for.
   @return : 0: nothing is acknowledged.  */
static int64_t
outcome_to_acknowledge (const struct worker_io *io, int64_t now_ms)
{
  if (io->worker->reachability != SD_WORKER_REACHABLE || io->is_second_poll
      || io->outcome_stored <= io->outcome_acked
      || now_ms - io->lists_read_ms > ACKNOWLEDGE_WITHIN_MS)
    return 0;
  return io->outcome_stored;
}

/* BEYOND_WINDOW: it does not use the window of calls.  */
static void
send_renewal (struct worker_calls *workers, struct worker_io *io,
              bool beyond_window, int64_t now_ms)
{
  struct sd_worker *worker = io->worker;
  struct wp_target target = wk_target (worker);
  int64_t allowance_ms = wk_lease_allowance_ms (workers, now_ms);
  bool extends_lease
      = !io->lease_recorded && !io->is_second_poll && allowance_ms > 0
        && !wk_renewal_is_suspended (io, now_ms) && wk_may_command (workers);
  struct wk_call *call = wk_call_create (workers, worker, "", 0);
  uint32_t timeout_ms;
  struct wp_renew renewal = {
    .term = io->term,
    .acked_outcome_number = outcome_to_acknowledge (io, now_ms),
    .send_within_ms = ACKNOWLEDGE_SEND_MS,
    .lease_deadline_ms = -1,
    .wait_ms = renewal_wait_ms (io),
  };

  if (extends_lease && io->clock.clock_ms >= 0 && worker->tasks->len > 0)
    {
      uint32_t ttl_ms
          = (uint32_t)MIN (lease_duration_ms (workers, worker), allowance_ms);

      renewal.lease_deadline_ms
          = MAX (wc_deadline_ms (&io->clock, now_ms + ttl_ms), 0);
      wk_call_extends_lease (io, call, ttl_ms, false);
    }
  timeout_ms
      = io->is_second_poll
                || (worker->tasks->len > 0 && ends_idle_time (io, now_ms))
            ? (uint32_t)CLOCK_POLL_TIMEOUT_MS
            : renewal.wait_ms + RENEWAL_TIMEOUT_MS;
  call->acknowledges = renewal.acked_outcome_number > 0;
  io->outcome_told = renewal.acked_outcome_number;
  io->renewal = call;
  io->poll_at_once = false;
  io->poll_soon = false;
  io->renewal_sent_ms = now_ms;
  io->renewal_tried_ms = now_ms;
  if (renewal.wait_ms == 0 && !beyond_window)
    wk_call_opened (call);
  workers->params.port.renew (workers->params.port.ctx, &target, &renewal,
                              timeout_ms, on_renewal_answer, call);
  mt_add (workers->params.metrics, "foxtailgap_holds_total", 1);
}

void
wk_poll_at_once (struct worker_io *io, int64_t now_ms)
{
  io->poll_at_once = true;
  if (io->renewal == NULL)
    send_renewal (io->workers, io, false, now_ms);
}

bool
wk_renewal_is_suspended (const struct worker_io *io, int64_t now_ms)
{
  if (io->clock.clock_ms < 0) /* it has not answered under this term */
    return io->worker->reachability == SD_WORKER_UNREACHABLE;
  return io->worker->reachability != SD_WORKER_REACHABLE
         && now_ms - io->answered_renewal_sent_ms >= RENEW_WITHOUT_ANSWER_MS;
}

/* A worker answers a renewal immediately, without its wait, if the renewal
   does not acknowledge all outcomes that the worker lists.  The next renewal
   is therefore sent once these outcomes are stored.  */
static bool
waits_for_store (const struct worker_io *io, int64_t now_ms)
{
  return io->outcome_processed > io->outcome_stored
         && io->worker->reachability == SD_WORKER_REACHABLE
         && now_ms - io->renewal_sent_ms < STORE_WAIT_MS;
}

static int64_t
unreachable_retry_ms (const struct worker_io *io, int64_t now_ms)
{
  return io->worker->tasks->len == 0
                 && now_ms - io->unreachable_since_ms >= LONG_UNREACHABLE_MS
             ? LONG_UNREACHABLE_RETRY_MS
             : UNREACHABLE_RETRY_MS;
}

static bool
renewal_is_due (const struct worker_io *io, int64_t now_ms)
{
  const struct sd_worker *worker = io->worker;

  if (io->renewal != NULL || worker->report.address == NULL
      || waits_for_store (io, now_ms))
    return false;
  if (io->lease_recorded && now_ms - io->renewal_tried_ms < RECORDED_RETRY_MS)
    return false;
  if (io->awaits_term_since_ms != 0
      && io->renewal_tried_ms > io->awaits_term_since_ms
      && now_ms - io->renewal_tried_ms < UNREACHABLE_RETRY_MS)
    return false;
  if (worker->reachability == SD_WORKER_UNREACHABLE)
    return (worker->tasks->len > 0 || worker->listed
            || (worker->undecided_losses > 0 && !io->absence_settled))
           && now_ms - io->renewal_tried_ms
                  >= unreachable_retry_ms (io, now_ms);
  if (worker->listed && wk_needs_proof (io->workers, now_ms)
      && now_ms - io->renewal_sent_ms >= wk_proof_wait_ms (io->workers))
    return true;
  /* The last answer may have been a late one of a former process.  */
  if (worker->listed && !worker->report_is_current
      && now_ms - io->renewal_tried_ms >= OTHER_PROCESS_RETRY_MS)
    return true;
  return worker->tasks->len > 0 || io->has_unassigned_runs
         || (worker->reachability == SD_WORKER_UNSEEN && worker->listed)
         || io->outcome_processed > io->outcome_stored;
}

/* Whether the window of calls has room for a renewal.  Long polls are not in
   the window, since their answers come in spread over their wait.  */
static bool
has_room_for_renewal (const struct worker_io *io, int64_t now_ms)
{
  if (renewal_wait_ms (io) > 0)
    return true;
  return cw_has_room (io->workers->window,
                      io->poll_at_once ? CW_URGENT : CW_BULK, now_ms);
}

static bool
is_overdue (const struct worker_io *io, int64_t now_ms)
{
  return now_ms - io->renewal_tried_ms >= POLL_OVERDUE_MS;
}

/* Sends the renewals that are due, beginning with the worker at which the last
   pass ended, so that all have their turn.  */
static void
send_due_renewals (struct worker_calls *workers, int64_t now_ms)
{
  const GPtrArray *all = sd_workers (workers->params.sched);
  guint first = workers->next_renewal;
  uint32_t sent = 0;
  uint32_t overdue = 0;
  guint i;

  for (i = 0; i < all->len; i++)
    {
      guint index = (first + i) % all->len;
      struct sd_worker *worker = g_ptr_array_index (all, index);
      struct worker_io *io = wk_io (workers, worker);
      bool has_room;

      if (worker->reachability != SD_WORKER_REACHABLE && worker->tasks->len > 0
          && now_ms > wk_lease_end_ms (io))
        wk_drop_runs_of_lapsed_lease (io, now_ms);
      wk_settle_losses_of_absent (io, now_ms);
      if (!renewal_is_due (io, now_ms))
        continue;
      if (sent >= RENEWALS_PER_PASS_MAX)
        continue;
      has_room = has_room_for_renewal (io, now_ms);
      if (has_room
          || (is_overdue (io, now_ms)
              && overdue++ < OVERDUE_POLLS_PER_PASS_MAX))
        {
          send_renewal (workers, io, !has_room, now_ms);
          sent++;
          workers->next_renewal = index + 1;
        }
    }
  if (sent == RENEWALS_PER_PASS_MAX)
    workers->params.changed (workers->params.ctx); /* another pass is needed */
}

void
wk_send_waiting (struct worker_calls *workers)
{
  enum ll_part outer;

  if (workers->term == 0)
    return;
  outer = ll_enter (LL_WORKER_DUE);
  wk_count_leases_if_due (workers, clk_monotonic_ms (NULL));
  wk_send_queued_starts (workers);
  send_due_renewals (workers, clk_monotonic_ms (NULL));
  ll_leave (outer);
}

uint32_t
wk_count_unpolled (const struct worker_calls *workers)
{
  const GPtrArray *all = sd_workers (workers->params.sched);
  uint32_t unseen = 0;
  guint i;

  for (i = 0; i < all->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (all, i);

      if (worker->listed && worker->reachability == SD_WORKER_UNSEEN)
        unseen++;
    }
  return unseen;
}

/* --- Acknowledging outcomes --- */

/* One worker's element of wk_mark_outcomes ().  */
struct outcome_mark
{
  struct worker_io *io;
  int64_t worker_started_ms;
  int64_t outcome_processed;
};

GArray *
wk_no_outcome_marks (void)
{
  return g_array_new (FALSE, FALSE, sizeof (struct outcome_mark));
}

GArray *
wk_mark_outcomes (const struct worker_calls *workers)
{
  GArray *marks = wk_no_outcome_marks ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, workers->ios);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct worker_io *io = value;
      struct outcome_mark row
          = { .io = io,
              .worker_started_ms = io->worker->process_started_ms,
              .outcome_processed = io->outcome_processed };

      if (io->outcome_processed > io->outcome_stored)
        g_array_append_val (marks, row);
    }
  return marks;
}

void
wk_outcomes_stored (struct worker_calls *workers, GArray *marks)
{
  guint i;

  (void)workers;
  for (i = 0; i < marks->len; i++)
    {
      struct outcome_mark *row
          = &g_array_index (marks, struct outcome_mark, i);

      if (row->io->worker->process_started_ms == row->worker_started_ms)
        row->io->outcome_stored
            = MAX (row->io->outcome_stored, row->outcome_processed);
    }
  g_array_free (marks, TRUE);
}

/* --- Terms --- */

void
wk_begin_term (struct worker_calls *workers, uint64_t term, GHashTable *leases)
{
  const GPtrArray *all = sd_workers (workers->params.sched);
  int64_t now_ms = clk_monotonic_ms (NULL);
  guint i;

  wk_drop_queued_starts (workers);
  workers->term = term;
  workers->awaiting_term = 0;
  workers->generation++;
  wk_begin_counting_leases (workers, now_ms);
  for (i = 0; i < all->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (all, i);
      struct worker_io *io = wk_io (workers, worker);

      *io = (struct worker_io){ .workers = workers,
                                .worker = worker,
                                .term = term,
                                .clock.clock_ms = -1 };
      /* The previous planner may have renewed it until just now.  */
      wk_extend_lease_to_limit (io, now_ms);
      wk_adopt_recorded_lease (io, leases, now_ms);
    }
}

void
wk_end_term (struct worker_calls *workers)
{
  workers->term = 0;
  workers->generation++;
  wk_drop_queued_starts (workers);
}

struct worker_calls *
wk_create (const struct wk_params *params)
{
  static const struct cw_params window = { .open_min = WINDOW_MIN,
                                           .open_max = WINDOW_MAX,
                                           .expiry_ms = WINDOW_EXPIRY_MS,
                                           .lag_high_ms = WINDOW_LAG_HIGH_MS };
  struct worker_calls *workers = g_new0 (struct worker_calls, 1);

  workers->params = *params;
  lb_init (&workers->link,
           &(struct lb_params){ .link_bytes_per_s = params->link_bytes_per_s,
                                .burst_ms = LINK_BURST_MS,
                                .interval_ms = LINK_INTERVAL_MS,
                                .fast_ms = LINK_FAST_MS,
                                .slow_ms = LINK_SLOW_MS },
           clk_monotonic_ms (NULL));
  workers->window = cw_create (&window);
  g_queue_init (&workers->urgent_starts);
  g_queue_init (&workers->starts);
  workers->ios = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  workers->calls = g_hash_table_new (NULL, NULL);
  return workers;
}

void
wk_free (struct worker_calls *workers)
{
  GHashTableIter iter;
  void *call;

  if (workers == NULL)
    return;
  wk_drop_queued_starts (workers);
  g_hash_table_iter_init (&iter, workers->calls);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    {
      wk_call_answered (call);
      ((struct wk_call *)call)->workers = NULL;
    }
  cw_free (workers->window);
  g_hash_table_destroy (workers->calls);
  g_hash_table_destroy (workers->ios);
  g_free (workers);
}
