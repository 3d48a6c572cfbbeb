/* Which process of a worker the calls reach.  A worker may restart under its
   id: its clock and the numbers of its outcomes then start anew, and nothing
   runs there.  Until an answer or a report shows the restart, deadlines are
   computed by the clock of the former process.  The new process takes them for
   much longer ones, so a start may be carried out long after it should have
   expired, and a lease may last up to the platform's limit.  */

#include "common/clock.h"
#include "common/logging.h"
#include "workers_private.h"

static const char PART[] = "workers";

enum
{
  LEASE_SLACK_MS = 300 /* a command takes time to arrive */
};

/* --- Leases --- */

/* When a lease is over that a call sent at SENT_MS may grant, whatever its
   deadline: the worker shortens it to the limit, on its own clock.  */
static int64_t
longest_lease_end_ms (const struct worker_io *io, int64_t sent_ms)
{
  return sent_ms + wc_longest_ms (io->workers->params.lease_limit_ms)
         + LEASE_SLACK_MS;
}

void
wk_extend_lease_to_limit (struct worker_io *io, int64_t now_ms)
{
  io->deadlines++; /* by a call that this host may not know of */
  io->lease_end_ms = MAX (io->lease_end_ms, longest_lease_end_ms (io, now_ms));
}

void
wk_deadline_sent (struct worker_io *io, int64_t now_ms, uint32_t ttl_ms,
                  bool is_start)
{
  io->deadline_sent_ms = now_ms;
  io->deadlines++;
  if (is_start)
    io->unverified_start_ms = now_ms;
  io->lease_end_ms = MAX (io->lease_end_ms, now_ms + ttl_ms + LEASE_SLACK_MS);
}

void
wk_call_extends_lease (struct worker_io *io, struct wk_call *call,
                       uint32_t ttl_ms, bool is_start)
{
  call->earlier_lease_end_ms = io->lease_end_ms;
  call->earlier_deadline_sent_ms = io->deadline_sent_ms;
  call->earlier_unverified_start_ms = io->unverified_start_ms;
  wk_deadline_sent (io, call->sent_ms, ttl_ms, is_start);
  call->deadlines = io->deadlines;
}

void
wk_deadline_not_sent (struct worker_io *io, const struct wk_call *call)
{
  if (call->deadlines == 0 || call->deadlines != io->deadlines)
    return; /* a later call may have extended the lease */
  io->lease_end_ms = call->earlier_lease_end_ms;
  io->deadline_sent_ms = call->earlier_deadline_sent_ms;
  io->unverified_start_ms = call->earlier_unverified_start_ms;
}

int64_t
wk_lease_end_ms (const struct worker_io *io)
{
  const struct worker_calls *workers = io->workers;
  int64_t end_ms = io->lease_end_ms;

  if (io->unverified_start_ms != 0)
    end_ms = MAX (end_ms, longest_lease_end_ms (io, io->deadline_sent_ms));
  if (wk_lease_is_uncounted (io))
    end_ms = MAX (end_ms, longest_lease_end_ms (
                              io, wk_uncounted_lease_start_ms (workers)));
  return end_ms;
}

void
wk_deadline_unanswered (struct worker_io *io, const struct wk_call *call,
                        int64_t now_ms)
{
  if (!wk_call_is_of_process (call, io))
    wk_extend_lease_to_limit (io, now_ms);
}

/* --- Restarts --- */

bool
wk_call_is_of_process (const struct wk_call *call, const struct worker_io *io)
{
  return call->worker_started_ms == io->worker->process_started_ms;
}

/* When the process before the one that ANSWER is of answered last, at the
   latest: before the new one started, for a worker's clock starts with its
   process.  Answers without lists do not tell which process they are of.  */
static int64_t
former_process_answered_ms (const struct worker_io *io,
                            const struct wp_answer *answer, int64_t now_ms)
{
  return MIN (io->clock.read_ms, now_ms - MAX (answer->worker_clock_ms, 0));
}

/* Starts that may have been sent by the clock of the former process count as
   possible until a stop has been carried out.  */
static void
doubt_unconfirmed_starts (struct worker_io *io)
{
  guint i;

  for (i = 0; i < io->worker->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (io->worker->tasks, i);

      if (!task->confirmed)
        task->poll_conclusive_from_ms = INT64_MAX;
    }
}

void
wk_process_answered (struct worker_io *io, const struct wp_answer *answer,
                     int64_t now_ms)
{
  if (answer->worker_started_ms == io->worker->process_started_ms
      || answer->worker_started_ms == 0)
    {
      /* A start that was sent before this poll has reached this process, or
         none.  */
      if (io->unverified_start_ms < io->renewal_sent_ms)
        io->unverified_start_ms = 0;
      return;
    }
  io->process_seen_ms = now_ms;
  io->former_process_answered_ms
      = former_process_answered_ms (io, answer, now_ms);
  if (io->worker->process_started_ms != 0)
    {
      lg_info (PART, "A worker has restarted.", "worker",
               io->worker->report.id, NULL);
      wk_extend_lease_to_limit (io, now_ms);
      doubt_unconfirmed_starts (io);
      wk_fence_former_process (io, now_ms);
    }
  sd_worker_process (io->worker, answer->worker_started_ms);
  if (!io->worker->report_is_current
      && io->workers->params.report_needed != NULL)
    io->workers->params.report_needed (io->workers->params.ctx);
  io->clock.clock_ms = -1; /* was the former process's */
  io->outcome_processed = 0;
  io->outcome_stored = 0;
  io->outcome_acked = 0;
}

bool
wk_has_restarted_since (const struct worker_io *io, const struct jb_task *task)
{
  return task->worker_started_ms != 0 && io->worker->process_started_ms != 0
         && task->worker_started_ms != io->worker->process_started_ms;
}

/* No start and no acknowledgement is sent until the process has answered.  A
   poll in flight is not waited for: the new process may answer it late, and
   may forget outcomes that it has not listed yet.  */
static void
poll_new_process_first (struct worker_io *io, int64_t now_ms)
{
  wk_extend_lease_to_limit (io, now_ms);
  wk_fence_former_process (io, now_ms);
  io->clock.clock_ms = -1;
  io->renewal = NULL;
  io->is_second_poll = false;
  if (io->worker->reachability == SD_WORKER_REACHABLE)
    sd_worker_set_reachability (io->worker, SD_WORKER_UNSEEN);
}

void
wk_worker_reported (struct worker_calls *workers, struct sd_worker *worker)
{
  struct worker_io *io = wk_io (workers, worker);
  int64_t started_ms = worker->report.process_started_ms;
  int64_t earlier_ms = io->reported_started_ms;

  wk_settle_losses_by_report (io);
  io->reported_started_ms = started_ms;
  /* The first report, and one that lags behind a poll, show nothing new.  */
  if (earlier_ms == 0 || started_ms == earlier_ms || started_ms == 0
      || io->worker->process_started_ms == 0
      || started_ms == io->worker->process_started_ms)
    return;
  lg_info (PART, "A worker's report shows a restart; it is polled first.",
           "worker", worker->report.id, NULL);
  poll_new_process_first (io, clk_monotonic_ms (NULL));
}

/* The call was sent after the clock had been read, so that the same process
   would have a later time, however late the answer is.  */
static bool
clock_went_back (const struct worker_io *io, const struct wk_call *call,
                 const struct wp_answer *answer)
{
  return answer->worker_clock_ms >= 0 && answer->result != WP_WRONG_WORKER
         && io->worker->reachability == SD_WORKER_REACHABLE
         && answer->worker_clock_ms < call->worker_clock_ms;
}

void
wk_clock_answered (struct worker_io *io, const struct wk_call *call,
                   const struct wp_answer *answer, int64_t now_ms)
{
  /* It may be of the former process, or of the one that is to be polled
     first.  */
  if (!wk_call_is_of_process (call, io)
      || io->worker->reachability == SD_WORKER_UNSEEN)
    return;
  if (!clock_went_back (io, call, answer))
    {
      wk_update_clock (io, answer, now_ms);
      return;
    }
  lg_info (PART, "A worker's clock shows a restart; it is polled first.",
           "worker", io->worker->report.id, "clock_ms",
           lg_number (answer->worker_clock_ms), "earlier_clock_ms",
           lg_number (call->worker_clock_ms), NULL);
  poll_new_process_first (io, now_ms);
}
