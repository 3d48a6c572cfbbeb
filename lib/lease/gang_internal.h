/* Internal header of gang_: the state of a gang.  */

#ifndef FT_GANG_INTERNAL_H
#define FT_GANG_INTERNAL_H

#include <glib.h>

#include "lease/gang.h"

enum
{
  GANG_RETRY_MS = 300, /* before a request or a record is tried again */
  GANG_RESTART_DELAY_MS = 1000 /* before the job of a failed placement may
                                  be placed again */
};

/* One worker of the gang, and the attempt's lease there.  */
struct gang_member
{
  char *worker;
  uint64_t worker_boot_id; /* identifies the start of the worker's process that
                    granted the lease; 0: not known */
  uint32_t task_count;
  uint32_t reported_count; /* tasks whose end the worker itself reported; a
                              lapsed lease is not such a report */
  bool may_hold_lease;     /* the lease request may have taken effect */
  bool leased;
  bool start_in_flight;        /* a start was sent and is unanswered */
  bool start_may_have_arrived; /* a start was sent, and its effect is not
                                  known */
  bool started;
  bool checkpoint_in_flight;
  bool checkpointed;
  bool over_before_checkpoint; /* the checkpoint came after the member's tasks
                                  had ended */
  bool stop_in_flight;
  bool stopped; /* the worker cannot hold the lease any more */
  uint64_t progress_ms;
  int64_t retry_at_ms; /* of a start or a stop; 0: no retry is due */
};

struct gang
{
  struct gang_params params;
  enum gang_state state;
  struct place_assignment *assignments; /* their worker names are
                                           owned by the members */
  bool *ended;                          /* whether the task has ended, by
                                           index of assignment */
  struct gang_member *members;
  size_t member_count;
  GArray *commands;

  bool recorded;                /* JobPlace is in the log and in effect */
  bool attempt_number_unusable; /* a worker may refuse the attempt's number as
                                 over from now on */
  bool place_may_take_effect;   /* an earlier JobPlace may still take effect */
  bool over_in_log;             /* the log says that the attempt is over */
  bool requeued_in_log;
  bool never_requeue;    /* the job is cancelled or given up */
  bool stop_record_sent; /* JobStop was sent with the next two values; retries
                            repeat them */
  bool stop_requeue;
  bool stop_not_started;

  enum place_outcome outcome;
  const char *blamed_worker; /* owned by a member, or NULL */
  char reason[PLACE_TEXT_SIZE_BYTES];
  bool stop_pending; /* stop once JobPlace is recorded, or the gang resumed */

  /* The deadline of GANG_STARTING, GANG_CHECKPOINTING or GANG_RESTART_DELAY.
   */
  int64_t deadline_ms;
  int64_t stopping_since_ms;  /* when GANG_STOPPING began */
  int64_t must_stop_since_ms; /* when the log first said that the attempt
                                 must stop; 0: it does not say so */
  int64_t record_retry_at_ms[GANG_RECORD_KINDS]; /* 0: no retry is due */
  bool record_in_flight[GANG_RECORD_KINDS];
  size_t lost_member; /* the member of GANG_RECORD_MEMBER_LOST */
};

/* Returns the index of the member on WORKER, or the member count if there is
   none.  */
size_t gang_find_member (const struct gang *gang, const char *worker);

/* Adds a command.  */
void gang_emit (struct gang *gang, const struct gang_command *command);

/* Adds a command to record RECORD.  */
void gang_emit_record (struct gang *gang, enum gang_record record);

/* Stops every member that may hold a lease.  BLAMED is the worker at fault, or
   NULL.  While the gang is stopping already, OUTCOME replaces the earlier one
   only if it is final: the job has succeeded, is cancelled or is given up.  */
void gang_begin_stop (struct gang *gang, int64_t now_ms,
                      enum place_outcome outcome, const char *blamed,
                      const char *reason);

/* Handlers of the events while the gang is stopping or recording its end.  */
void gang_on_stopped (struct gang *gang, const struct gang_event *event);
void gang_on_stop_recorded (struct gang *gang, enum gang_verdict verdict,
                            int64_t now_ms);
/* The result of a JobPlace of GANG_CONSUMING_ATTEMPT_NUMBER.  */
void gang_on_attempt_number_recorded (struct gang *gang,
                                      enum gang_verdict verdict,
                                      int64_t now_ms);
void gang_on_lost_recorded (struct gang *gang, enum gang_verdict verdict,
                            int64_t now_ms);
void gang_on_attempt_over (struct gang *gang, const struct gang_event *event);
void gang_tick_stop (struct gang *gang, int64_t now_ms);

/* Notes that the log says that the attempt must stop.  From then on no host
   renews the attempt's leases, so that they run out.  */
void gang_mark_must_stop (struct gang *gang, int64_t now_ms);

#endif
