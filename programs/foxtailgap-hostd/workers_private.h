/* Internal header of the calls to workers: lease renewals and status polls are
   in workers.c, starts in worker_starts.c, stop and pace commands in
   worker_commands.c, runs that are gone without an outcome in worker_losses.c,
   restarts under the same id in worker_process.c, calls that were sent
   before a restart in worker_fence.c, the record of unreachable
   workers' leases in worker_leases.c, how long the term is known to hold in
   worker_term.c.  */

#ifndef FT_HOSTD_WORKERS_PRIVATE_H
#define FT_HOSTD_WORKERS_PRIVATE_H

#include "worker/call_window.h"
#include "worker/link_budget.h"
#include "worker/worker_clock.h"
#include "workers.h"

enum
{
  WK_OUTCOME_LISTING_MS = 60 /* from the end of a run until it is listed */
};

/* State of the calls to one worker under the current term.  Moments are on the
   steady clock of this process unless their comment says otherwise.  */
struct worker_io
{
  struct worker_calls *workers;
  struct sd_worker *worker;
  struct wc_reading clock;     /* the last one under this term */
  int64_t reported_started_ms; /* sd_worker.process_started_ms by its report;
                                  0: not reported */
  int64_t process_seen_ms; /* when its process first answered a poll, since the
                              term began or the last restart */
  int64_t former_process_answered_ms; /* when the process before the last
                                         restart answered last */
  GQueue starts_awaiting_clock; /* struct wk_call: not sent yet; a poll is in
                                   flight */
  /* outcomes of runs */
  int64_t outcome_processed; /* number of the last outcome processed */
  int64_t outcome_stored;    /* of the last one whose effects are stored */
  int64_t outcome_acked;     /* of the last one that it was told is stored */
  int64_t outcome_told;      /* in the last renewal; 0: none */
  int64_t lists_read_ms;     /* when its lists were last read; 0: never */
  /* see worker_fence.c */
  uint64_t term; /* that calls to it carry: this planner's, as of when it was
                    last raised for this worker */
  int64_t unanswered_call_ms; /* when an acknowledgement or a start was last
                                 sent that has had no answer; 0: never */
  /* Since when it gets no start until the term is raised; 0: it does not wait
     for that.  */
  int64_t awaits_term_since_ms;
  /* lease renewals, which are also status polls */
  struct wk_call *renewal;  /* in flight; NULL: none */
  bool poll_at_once;        /* the next poll is to be answered immediately */
  bool is_second_poll;      /* the poll in flight; see
                               poll_on_another_connection () */
  bool has_unassigned_runs; /* the last poll has listed some */
  bool poll_soon; /* the next poll is to be answered after the time of a stop
                     at the latest */
  int64_t renewal_sent_ms;
  int64_t answered_renewal_sent_ms; /* of the last one that was answered */
  int64_t renewal_tried_ms;         /* a copy of renewal_sent_ms */
  enum wp_result last_result;       /* of the last renewal that failed */
  int64_t unreachable_since_ms;     /* if it is SD_WORKER_UNREACHABLE */
  /* When it was last lost though no run there had just started, so that none
     is to blame; 0: never under this term.  */
  int64_t other_loss_ms;
  /* See wk_lease_end_ms ().  */
  int64_t lease_end_ms;     /* if the process has not restarted unnoticed */
  int64_t deadline_sent_ms; /* of the last start or lease renewal */
  uint64_t deadlines;       /* count of what may have changed lease_end_ms */
  /* Of the last start; 0: a later poll has shown that the process is still the
     same.  */
  int64_t unverified_start_ms;
  bool lease_adopted; /* lease_end_ms is by the record of the planner before */
  bool in_first_list; /* the worker was listed when the term began */
  /* Since when nothing is seen of a worker with undecided losses, neither by
     polls nor in the store's list; 0: it is seen, or has none.  */
  int64_t absent_since_ms;
  bool absence_settled; /* these losses count as crashes until it is seen */
  bool lease_recorded;  /* the stored record of leases contains this worker, or
                           may contain it */
  int64_t lease_recorded_ms; /* since when */
};

struct worker_calls
{
  struct wk_params params;
  uint64_t term;          /* held; 0: none, nothing is sent */
  uint32_t awaiting_term; /* workers with worker_io.awaits_term_since_ms */
  /* Grows when a term begins or ends; answers to calls of an earlier
     generation are ignored.  */
  uint64_t generation;
  GHashTable *ios;                /* id -> struct worker_io */
  struct cw_window *window;       /* of the calls that are answered at once */
  struct lb_budget link;          /* of the bytes of starts */
  GQueue urgent_starts;           /* struct wk_call: not sent yet */
  GQueue starts;                  /* the same, of less urgent jobs */
  uint32_t starts_awaiting_clock; /* of all workers together */
  int64_t urgent_bytes;           /* of the starts in urgent_starts, */
  int64_t less_urgent_bytes;      /* and in the other queue */
  guint next_renewal;          /* index of the worker that is first in the next
                                  pass of wk_send_waiting () */
  int64_t leases_collected_ms; /* of the last wk_collect_leases () */
  /* See worker_term.c.  */
  int64_t term_began_ms;
  bool list_read;            /* under this term, as a whole */
  bool leases_counted;       /* enough workers were reached for that */
  bool may_extend_leases;    /* as last logged */
  int64_t proved_ms;         /* of tp_proved_ms (), */
  int64_t proof_computed_ms; /* and when it was computed */
  /* struct wk_call, as a set: those without an answer.  wk_free () detaches
     them, for their answers come in later.  */
  GHashTable *calls;
};

/* One call to a worker: a command for a task, or a lease renewal.  */
struct wk_call
{
  struct worker_calls *workers; /* NULL: freed */
  uint64_t generation;          /* of `workers`, when the call was made */
  uint64_t term;                /* that it carries */
  bool acknowledges;            /* of a poll: it acknowledges outcomes */
  char *worker;                 /* id */
  char *task;                   /* name; empty for a renewal */
  uint32_t run;
  int64_t first_sent_ms;       /* of the first try */
  int64_t sent_ms;             /* of the last try */
  struct cw_ticket *ticket;    /* NULL: not in the window: not sent, or
                                  answered */
  uint32_t percent;            /* of a pace command */
  bool urgent;                 /* of a start: its job is */
  int64_t deadline_ms;         /* of a start, on the worker's clock, */
  int64_t clock_age_ms;        /* and how old the reading of that clock was */
  uint32_t bytes;              /* of a start: about as many are sent */
  uint32_t tries;              /* of a start, so many were sent */
  bool earlier_try_unanswered; /* so that try may still take effect */
  /* Of the worker's process by whose clock its deadline was computed.  */
  int64_t worker_started_ms;
  int64_t worker_clock_ms; /* as read last before the last try; -1: never */
  /* Of a call that extends the lease; see wk_deadline_not_sent ().  */
  uint64_t deadlines;           /* worker_io.deadlines with it; 0: others */
  int64_t earlier_lease_end_ms; /* lease_end_ms and deadline_sent_ms of the */
  int64_t earlier_deadline_sent_ms; /* worker before it */
  int64_t earlier_unverified_start_ms;
};

/*! wk_io () :
 *  @return : the state of the calls to WORKER, created if there is none. */
struct worker_io *wk_io (struct worker_calls *workers,
                         struct sd_worker *worker);

/*! wk_update_clock () :
 *  Takes over the worker's clock from an answer, if it has one. */
void wk_update_clock (struct worker_io *io, const struct wp_answer *answer,
                      int64_t now_ms);

/*! wk_clock_answered () :
 *  The same of an answer without lists, which does not tell the worker's
 *  process: a clock that has gone back since CALL was sent shows a restart. */
void wk_clock_answered (struct worker_io *io, const struct wk_call *call,
                        const struct wp_answer *answer, int64_t now_ms);

/*! wk_extend_lease_to_limit () :
 *  Runs may go on there for as long as any lease may last, for an earlier
 *  planner may have sent a call just now, or one by the clock of a former
 *  process. */
void wk_extend_lease_to_limit (struct worker_io *io, int64_t now_ms);

/*! wk_deadline_sent () :
 *  A start or lease renewal is being sent, with wc_deadline_ms () of TTL_MS
 *  from now on: for as long runs may go on there. */
void wk_deadline_sent (struct worker_io *io, int64_t now_ms, uint32_t ttl_ms,
                       bool is_start);

/*! wk_call_extends_lease (), wk_deadline_not_sent () :
 *  CALL is a renewal, or a start, that is sent by wk_deadline_sent () of
 * TTL_MS; it has not reached the worker, so that it has not extended the
 * lease. */
void wk_call_extends_lease (struct worker_io *io, struct wk_call *call,
                            uint32_t ttl_ms, bool is_start);
void wk_deadline_not_sent (struct worker_io *io, const struct wk_call *call);

/*! wk_deadline_unanswered () :
 *  A start or lease renewal has had no answer: it may have reached a process
 *  that has restarted since it was sent. */
void wk_deadline_unanswered (struct worker_io *io, const struct wk_call *call,
                             int64_t now_ms);

/*! wk_lease_end_ms () :
 *  @return : when nothing can run on the worker any more, unless a later call
 *            extends its lease. */
int64_t wk_lease_end_ms (const struct worker_io *io);

/*! wk_call_is_of_process () :
 *  @return : whether the worker has not been seen to restart since CALL was
 *            sent. */
bool wk_call_is_of_process (const struct wk_call *call,
                            const struct worker_io *io);

/*! wk_process_answered () :
 *  A poll has been answered: recognises a restart, or that there was none. */
void wk_process_answered (struct worker_io *io, const struct wp_answer *answer,
                          int64_t now_ms);

/*! wk_call_unanswered () :
 *  CALL, a poll or a start, has had no answer. */
void wk_call_unanswered (struct worker_io *io, const struct wk_call *call);

/*! wk_fence_former_process () :
 *  The worker has been seen to restart: if an acknowledgement or a start that
 *  was sent to its former process may still arrive, the term is to be raised.
 */
void wk_fence_former_process (struct worker_io *io, int64_t now_ms);

/*! wk_is_superseded () :
 *  @return : whether the refusal of CALL for a higher term shows another
 *            planner; else it was sent before this planner raised its term. */
bool wk_is_superseded (const struct wk_call *call);

/*! wk_needs_proof () :
 *  @return : whether the store has been silent for so long that answers of the
 *            workers are needed to prove that the term holds. */
bool wk_needs_proof (const struct worker_calls *workers, int64_t now_ms);

/*! wk_proof_wait_ms () :
 *  @return : how long a worker may delay its answer then. */
uint32_t wk_proof_wait_ms (const struct worker_calls *workers);

/*! wk_lease_allowance_ms () :
 *  @return : for how long from now on runs may be allowed to go on, since no
 *            other planner can have started them elsewhere by then; 0: none.
 */
int64_t wk_lease_allowance_ms (struct worker_calls *workers, int64_t now_ms);

/*! wk_begin_counting_leases (), wk_count_leases_if_due () :
 *  A term has begun: until enough workers have been reached, an earlier
 *  planner may still extend the leases of the others.  From then on their
 *  leases are counted. */
void wk_begin_counting_leases (struct worker_calls *workers, int64_t now_ms);
void wk_count_leases_if_due (struct worker_calls *workers, int64_t now_ms);

/*! wk_lease_is_uncounted () :
 *  @return : whether an earlier planner may still extend the worker's lease.
 */
bool wk_lease_is_uncounted (const struct worker_io *io);

/*! wk_uncounted_lease_start_ms () :
 *  @return : from when on leases are counted at the latest. */
int64_t wk_uncounted_lease_start_ms (const struct worker_calls *workers);

/*! wk_has_restarted_since () :
 *  @return : whether the worker has restarted since the task was placed there,
 *            under this term or an earlier one. */
bool wk_has_restarted_since (const struct worker_io *io,
                             const struct jb_task *task);

/*! wk_adopt_recorded_lease () :
 *  Takes over the remaining lease of a worker, if the previous planner has
 *  recorded it. */
void wk_adopt_recorded_lease (struct worker_io *io, GHashTable *leases,
                              int64_t now_ms);

/*! wk_renewal_is_suspended () :
 *  @return : whether the worker is not reachable and has not answered for so
 *            long that its lease is not renewed, only its status polled.  A
 *            worker can be SD_WORKER_UNREACHABLE for a while before that. */
bool wk_renewal_is_suspended (const struct worker_io *io, int64_t now_ms);

/*! wk_drop_missing_runs () :
 *  After a status poll: gives up the runs that the worker has neither listed
 *  as running nor as ended, once it is certain that they are not there.
 *  @reported_tasks : struct jb_task, as a set: those it has listed as
 *                    running.
 *  @outcomes_limited : see wp_answer. */
void wk_drop_missing_runs (struct worker_io *io, GHashTable *reported_tasks,
                           bool outcomes_limited, int64_t now_ms);

/*! wk_out_of_touch () :
 *  A worker that was in touch, or not called yet under this term, has become
 *  unreachable. */
void wk_out_of_touch (struct worker_io *io, int64_t now_ms);

/*! wk_drop_runs_of_lapsed_lease (), wk_drop_runs_of_replaced_worker () :
 *  Gives up the runs of a worker: it is unreachable and its lease is over; or
 *  another process answers at its address, so that its own has ended. */
void wk_drop_runs_of_lapsed_lease (struct worker_io *io, int64_t now_ms);
void wk_drop_runs_of_replaced_worker (struct worker_io *io, int64_t now_ms);

/*! wk_settle_losses_by_poll (), wk_settle_losses_by_report () :
 *  A poll has been answered, or a report of the worker has been read: decides
 *  whether runs that were lost with it were lost by a crash. */
void wk_settle_losses_by_poll (struct worker_io *io,
                               const struct wp_answer *answer, int64_t now_ms);
void wk_settle_losses_by_report (struct worker_io *io);

/*! wk_settle_losses_of_absent () :
 *  The same by the absence of the worker, if it has lasted for
 *  wk_params.absence_max_ms. */
void wk_settle_losses_of_absent (struct worker_io *io, int64_t now_ms);

/*! wk_update_pace () :
 *  Sends pace commands to the best-effort tasks on a worker as needed. */
void wk_update_pace (struct worker_calls *workers, struct sd_worker *worker);

/*! wk_stop_run () :
 *  Sends the stop of a run, if orders may be given now; the task need not be
 *  known here. */
void wk_stop_run (struct worker_calls *workers, struct sd_worker *worker,
                  const char *task, uint32_t run);

/*! wk_stop_is_due () :
 *  @return : whether the last stop of the task's run was sent long enough ago
 *            to send another. */
bool wk_stop_is_due (const struct jb_task *task, int64_t now_ms);

/*! wk_prevent_start () :
 *  Sends a stop, if one is due, of a run that the worker does not list, so
 *  that a start of it which is still under way can not take effect. */
void wk_prevent_start (struct worker_calls *workers, struct jb_task *task,
                       int64_t now_ms);

/*! wk_target () :
 *  @return : where calls to WORKER go; its texts are owned by WORKER. */
struct wp_target wk_target (const struct sd_worker *worker);

/*! wk_call_create () :
 *  @return : a call of the current generation, to be freed by
 *            wk_call_free (). */
struct wk_call *wk_call_create (struct worker_calls *workers,
                                const struct sd_worker *worker,
                                const char *task, uint32_t run);
/*! wk_call_is_current () :
 *  @return : whether its answer still counts: the term it was sent under
 *            goes on. */
bool wk_call_is_current (struct wk_call *call);
void wk_call_free (struct wk_call *call);

/*! wk_call_opened (), wk_call_answered () :
 *  The call is sent, and takes part of the window until it is answered. */
void wk_call_opened (struct wk_call *call);
void wk_call_answered (struct wk_call *call);

enum
{
  /* Of a call on the wire, besides its text: the fixed fields, and the headers
     of HTTP and of some packets.  */
  WK_CALL_OVERHEAD_BYTES = 500
};

/*! wk_task_of_call () :
 *  @return : the task, if the run that CALL is for is still its last one. */
struct jb_task *wk_task_of_call (const struct wk_call *call);

/*! wk_may_command () :
 *  @return : whether orders may be given and leases renewed now; see
 *            wk_params.may_command. */
bool wk_may_command (const struct worker_calls *workers);

/*! wk_poll_at_once () :
 *  Sends a poll that is answered immediately, unless a poll is in flight. */
void wk_poll_at_once (struct worker_io *io, int64_t now_ms);

/*! wk_poll_ended () :
 *  A poll has been answered or not: the starts that have waited for the
 *  worker's clock are queued again, or refused if it is still not known. */
void wk_poll_ended (struct worker_io *io, int64_t now_ms);

/*! wk_send_queued_starts () :
 *  Sends starts that wait, as many as the window has room for. */
void wk_send_queued_starts (struct worker_calls *workers);
void wk_drop_queued_starts (struct worker_calls *workers);

#endif
