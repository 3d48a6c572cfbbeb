/* Fences calls that were sent to a worker's former process.  A call without an
   answer may be carried out seconds later, by the next process of the same id.
   That one numbers its outcomes anew: an acknowledgement would have it forget
   those up to its number, read or not.  Its clock begins anew, and it knows of
   no run: a start that has expired long ago would be carried out.

   A worker refuses calls of a lower term than it has seen.  So if such a call
   may be under way when a restart is noticed, the planner raises its term
   (planner_write.c), and the worker gets no start until it has answered a poll
   of the new term.  Other workers go on under the term that they know.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "workers_private.h"

static const char PART[] = "workers";

enum
{
  /* No call is carried out later than this after it was sent.  */
  LATE_CALL_MAX_MS = 15000
};

void
wk_call_unanswered (struct worker_io *io, const struct wk_call *call)
{
  bool is_start = call->tries > 0;

  /* A call of a lower term is fenced already.  */
  if ((call->acknowledges || is_start) && call->term == io->term)
    io->unanswered_call_ms = MAX (io->unanswered_call_ms, call->sent_ms);
}

/* The starts that are under way to the worker may get no answer.  */
static void
note_open_starts (struct worker_io *io)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, io->workers->calls);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      struct wk_call *call = value;

      if (call->tries > 0 && call->ticket != NULL && wk_call_is_current (call)
          && strcmp (call->worker, io->worker->report.id) == 0)
        wk_call_unanswered (io, call);
    }
}

void
wk_fence_former_process (struct worker_io *io, int64_t now_ms)
{
  if (io->renewal != NULL)
    wk_call_unanswered (io, io->renewal);
  note_open_starts (io);
  if (io->awaits_term_since_ms != 0 || io->unanswered_call_ms == 0
      || now_ms - io->unanswered_call_ms > LATE_CALL_MAX_MS)
    return;
  lg_info (PART,
           "A call may reach the next process of a worker; the term is to be "
           "raised.",
           "worker", io->worker->report.id, "sent_ms_ago",
           lg_number (now_ms - io->unanswered_call_ms), NULL);
  io->awaits_term_since_ms = now_ms;
  io->workers->awaiting_term++;
  mt_add (io->workers->params.metrics, "foxtailgap_late_calls_total", 1);
}

bool
wk_needs_higher_term (const struct worker_calls *workers)
{
  return workers->awaiting_term > 0;
}

void
wk_term_raised (struct worker_calls *workers, uint64_t term)
{
  GHashTableIter iter;
  void *value;

  workers->term = term;
  workers->awaiting_term = 0;
  g_hash_table_iter_init (&iter, workers->ios);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct worker_io *io = value;

      if (io->awaits_term_since_ms == 0)
        continue;
      io->awaits_term_since_ms = 0;
      io->unanswered_call_ms = 0;
      io->term = term;
      io->renewal = NULL; /* of the former term; not waited for */
      io->is_second_poll = false;
      io->poll_at_once = true;
    }
  workers->params.changed (workers->params.ctx);
}

bool
wk_is_superseded (const struct wk_call *call)
{
  const struct worker_calls *workers = call->workers;
  const struct worker_io *io
      = g_hash_table_lookup (workers->ios, call->worker);

  return io == NULL || call->term >= io->term;
}
