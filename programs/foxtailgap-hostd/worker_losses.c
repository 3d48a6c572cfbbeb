/* Runs that are gone without an outcome: the worker does not list them, has
   restarted, has been replaced by another process, or is unreachable and its
   lease is over.  */

#include "common/clock.h"
#include "common/logging.h"
#include "workers_private.h"

static const char PART[] = "workers";

enum
{
  /* Workers that are lost within this time of each other may have been lost
     for the same cause.  Polls, which show it, are up to 1.9 s apart.  */
  SAME_CAUSE_MS = 3000
};

/* --- Logs and metrics --- */

/* WHY: a constant word, for the log and the metrics.  */
static void
note_gone_run (const struct worker_io *io, const struct jb_task *task,
               const char *why, bool others_lost, int64_t now_ms)
{
  char name[96];

  lg_info (PART, "A run is gone without an end.", "job", task->job->id, "step",
           lg_number (task->step->index), "index", lg_number (task->index),
           "run", lg_number (task->run), "worker", io->worker->report.id,
           "why", why, "confirmed", task->confirmed ? "yes" : "no",
           "others_lost", others_lost ? "yes" : "no", "placed_for_ms",
           lg_number (now_ms - task->placed_ms), NULL);
  g_snprintf (name, sizeof name, "foxtailgap_lost_runs_total{why=\"%s\"}",
              why);
  mt_add (io->workers->params.metrics, name, 1);
}

static void
note_given_up_task (const struct worker_io *io, const struct jb_task *task)
{
  lg_warning (PART, "A job has failed: its task was lost with its workers.",
              "job", task->job->id, "step", lg_number (task->step->index),
              "index", lg_number (task->index), "run", lg_number (task->run),
              "crashes", lg_number (task->crashes), "lost_runs",
              lg_number (task->lost_runs), NULL);
  mt_add (io->workers->params.metrics, "foxtailgap_crashing_jobs_total", 1);
}

/* --- Workers lost at the same time --- */

/* Whether none of the runs is to blame for the loss of the worker.  */
static void
note_other_loss (struct worker_io *io, const struct sd_worker_loss *loss,
                 int64_t now_ms)
{
  if (io->answered_renewal_sent_ms > 0 && !sd_crash_had_starting_run (loss))
    io->other_loss_ms = now_ms;
}

void
wk_out_of_touch (struct worker_io *io, int64_t now_ms)
{
  struct sd_worker_loss loss
      = { .tasks = io->worker->tasks, .last_answer_ms = io->clock.read_ms };

  io->unreachable_since_ms = now_ms;
  note_other_loss (io, &loss, now_ms);
}

/* Whether other workers were lost, for another cause than their runs, at about
   the time when IO's worker was lost.  */
static bool
others_were_lost (const struct worker_io *io, int64_t now_ms)
{
  const GPtrArray *all = sd_workers (io->workers->params.sched);
  int64_t lost_ms = io->worker->reachability == SD_WORKER_UNREACHABLE
                        ? MIN (io->unreachable_since_ms, now_ms)
                        : now_ms;
  guint i;

  for (i = 0; i < all->len; i++)
    {
      struct sd_worker *worker = g_ptr_array_index (all, i);
      const struct worker_io *other = worker->driver_data;

      if (other != NULL && other != io && other->other_loss_ms != 0
          && ABS (other->other_loss_ms - lost_ms) <= SAME_CAUSE_MS)
        return true;
    }
  return false;
}

/* --- Losses of which it is not known whether the worker crashed --- */

static void
settle_losses (struct worker_io *io, enum sd_sighting sighting,
               int64_t started_ms, int64_t seen_ms)
{
  static const char *const sighting_words[]
      = { "process", "leaving", "replaced", "nothing" };
  GPtrArray *given_up = g_ptr_array_new ();
  uint32_t before = io->worker->undecided_losses;
  guint i;

  sd_settle_losses (io->workers->params.sched, io->worker, sighting,
                    started_ms, seen_ms, clk_unix_ms (), given_up);
  if (io->worker->undecided_losses != before || sighting == SD_SEEN_NOTHING)
    {
      lg_info (PART, "It is settled why runs were lost.", "worker",
               io->worker->report.id, "seen", sighting_words[sighting],
               "losses", lg_number (before), "undecided",
               lg_number (io->worker->undecided_losses), NULL);
      io->workers->params.changed (io->workers->params.ctx);
    }
  for (i = 0; i < given_up->len; i++)
    note_given_up_task (io, g_ptr_array_index (given_up, i));
  g_ptr_array_free (given_up, TRUE);
}

void
wk_settle_losses_by_poll (struct worker_io *io, const struct wp_answer *answer,
                          int64_t now_ms)
{
  if (io->worker->undecided_losses > 0)
    settle_losses (io, SD_SEEN_PROCESS, answer->worker_started_ms, now_ms);
}

void
wk_settle_losses_by_report (struct worker_io *io)
{
  const struct sd_worker *worker = io->worker;

  if (worker->undecided_losses == 0 || worker->report.process_started_ms == 0)
    return;
  if (worker->report.draining)
    settle_losses (io, SD_SEEN_LEAVING, worker->report.process_started_ms, 0);
  settle_losses (io, SD_SEEN_PROCESS, worker->report.process_started_ms,
                 worker->reported_ms);
}

void
wk_settle_losses_of_absent (struct worker_io *io, int64_t now_ms)
{
  const struct sd_worker *worker = io->worker;

  if (worker->undecided_losses == 0 || worker->listed
      || worker->reachability == SD_WORKER_REACHABLE)
    {
      io->absent_since_ms = 0;
      io->absence_settled = false;
      return;
    }
  if (io->absent_since_ms == 0)
    io->absent_since_ms = now_ms;
  if (io->absence_settled
      || now_ms - io->absent_since_ms < io->workers->params.absence_max_ms)
    return;
  settle_losses (io, SD_SEEN_NOTHING, 0, 0);
  io->absence_settled = true;
}

/* --- Runs lost with their worker --- */

/* TASKS: struct jb_task, placed on the worker; not kept.
   WHY: as for note_gone_run ().
   LAST_ANSWER_MS: of the process that had the runs.  */
static void
lose_runs (struct worker_io *io, GPtrArray *tasks, const char *why,
           bool process_ended, int64_t last_answer_ms, int64_t now_ms)
{
  GPtrArray *given_up = g_ptr_array_new ();
  struct sd_worker_loss loss = {
    .worker = io->worker,
    .tasks = tasks,
    /* A worker that has announced that it leaves has not crashed.  */
    .crashed = process_ended && !io->worker->report.draining,
    .last_answer_ms = last_answer_ms,
  };
  guint i;

  if (tasks->len == 0)
    goto done;
  loss.others_lost = others_were_lost (io, now_ms);
  if (process_ended && io->worker->reachability == SD_WORKER_REACHABLE)
    note_other_loss (io, &loss, now_ms);
  for (i = 0; i < tasks->len; i++)
    note_gone_run (io, g_ptr_array_index (tasks, i), why, loss.others_lost,
                   now_ms);
  sd_runs_lost (io->workers->params.sched, &loss, now_ms, clk_unix_ms (),
                given_up);
  for (i = 0; i < given_up->len; i++)
    note_given_up_task (io, g_ptr_array_index (given_up, i));
  wk_settle_losses_of_absent (io, now_ms);

done:
  g_ptr_array_free (given_up, TRUE);
}

/* As lose_runs (), for all runs of the worker.  */
static void
lose_all_runs (struct worker_io *io, const char *why, bool process_ended,
               int64_t now_ms)
{
  GPtrArray *tasks = g_ptr_array_copy (io->worker->tasks, NULL, NULL);

  lose_runs (io, tasks, why, process_ended, io->clock.read_ms, now_ms);
  g_ptr_array_free (tasks, TRUE);
  io->workers->params.changed (io->workers->params.ctx);
}

void
wk_drop_runs_of_lapsed_lease (struct worker_io *io, int64_t now_ms)
{
  lg_info (PART, "The lease of a worker is over.", "worker",
           io->worker->report.id, "tasks", lg_number (io->worker->tasks->len),
           NULL);
  lose_all_runs (io, "lease", false, now_ms);
}

void
wk_drop_runs_of_replaced_worker (struct worker_io *io, int64_t now_ms)
{
  if (io->worker->tasks->len > 0)
    lose_all_runs (io, "replaced", true, now_ms);
  if (io->worker->undecided_losses > 0)
    settle_losses (io, SD_SEEN_REPLACED, 0, 0);
}

/* --- Runs that a poll does not list --- */

/* Whether the run of a task that the worker does not list is not there and can
   never start there.  A run that is being stopped, or whose gang has lost a
   member, may be in neither list for a while before its outcome is listed, so
   one missing from both counts as gone only after that time; if the worker has
   restarted, at once.  The outcome of a run may also be among those that the
   answer has no room for.  */
static bool
run_is_gone (struct worker_io *io, struct jb_task *task, bool outcomes_limited,
             int64_t now_ms)
{
  if (io->renewal_sent_ms <= task->poll_conclusive_from_ms)
    {
      if (wk_has_restarted_since (io, task))
        {
          wk_prevent_start (io->workers, task, now_ms);
          io->poll_soon = true; /* to learn what the stop has shown */
        }
      return false;
    }
  if (wk_has_restarted_since (io, task))
    return true;
  if (outcomes_limited)
    return false;
  if (task->missing_since_ms == 0)
    task->missing_since_ms = now_ms;
  if (io->renewal_sent_ms > task->missing_since_ms
                                + io->workers->params.stop_max_ms
                                + WK_OUTCOME_LISTING_MS)
    return true;
  if (now_ms > task->missing_since_ms)
    io->poll_at_once = true;
  else
    io->poll_soon = true;
  return false;
}

/* Gives up runs that a worker in touch does not have.  Their starts may never
   have arrived, so they do not count as lost with it.  */
static void
lose_missing_runs (struct worker_io *io, const GPtrArray *tasks,
                   int64_t now_ms)
{
  guint i;

  for (i = 0; i < tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (tasks, i);

      note_gone_run (io, task, "missing", false, now_ms);
      sd_task_lost (io->workers->params.sched, task, now_ms);
    }
}

void
wk_drop_missing_runs (struct worker_io *io, GHashTable *reported_tasks,
                      bool outcomes_limited, int64_t now_ms)
{
  GPtrArray *lost = g_ptr_array_new ();
  GPtrArray *missing = g_ptr_array_new ();
  guint i;

  for (i = 0; i < io->worker->tasks->len; i++)
    {
      struct jb_task *task = g_ptr_array_index (io->worker->tasks, i);

      if (g_hash_table_contains (reported_tasks, task))
        task->missing_since_ms = 0;
      else if (run_is_gone (io, task, outcomes_limited, now_ms))
        g_ptr_array_add (wk_has_restarted_since (io, task) ? lost : missing,
                         task);
    }
  lose_runs (io, lost, "restarted", true, io->former_process_answered_ms,
             now_ms);
  lose_missing_runs (io, missing, now_ms);
  g_ptr_array_free (lost, TRUE);
  g_ptr_array_free (missing, TRUE);
}
