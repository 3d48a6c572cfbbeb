/* State machine of one gang.  A gang is one attempt of a job on its workers;
   a member is one of these workers, with all tasks that the attempt has there.
   The states go from leasing through recording, starting and running to
   stopping.
   Pure: no I/O and no clock of its own.  The caller reports each event and
   carries out the commands that gang_handle_event () returns.  Prefix: gang_.

   Invariants, which hold whatever fails:
   - no task is started before every lease is held and the placement is
     recorded in the log;
   - the failure of one member stops all others;
   - the gang is not done before every worker has answered the stop, or cannot
     hold the attempt's lease any more;
   - JobStop says "not started" only if no start can have reached a worker.  */

#ifndef FT_GANG_H
#define FT_GANG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "place/place.h"

enum gang_error
{
  GANG_OK = 0,
  GANG_ERR_INVALID = -1, /* no task, or more than PLACE_TASK_LIMIT */
};

/* The order matters: code compares states with GANG_CHECKPOINTING and
   GANG_STOPPING; every state from GANG_STOPPING on belongs to the stop.
   The state is 0 before GANG_EV_BEGIN or GANG_EV_RESUME.  JobPlace, JobStart,
   JobStop and TaskEnd are records of the log, see proto/record.proto.  */
enum gang_state
{
  GANG_LEASING = 1,
  GANG_RECORDING_PLACE, /* all leases are held; JobPlace is being recorded */
  GANG_STARTING,      /* JobPlace is recorded; some members have not started */
  GANG_RUNNING,       /* every task has been started */
  GANG_CHECKPOINTING, /* about to be evicted: checkpoints are under way */
  GANG_STOPPING,      /* some workers may still hold a lease */
  GANG_RECORDING_STOP, /* no lease is held; JobStop is being recorded */
  GANG_RESTART_DELAY, /* JobPlace did not take effect; delay before the job may
                         be placed again */
  GANG_CONSUMING_ATTEMPT_NUMBER, /* JobPlace is being recorded only so that the
                    log counts the attempt's number as used */
  GANG_DONE
};

/* The result of a request to a worker.  */
enum gang_reply
{
  GANG_REPLY_OK = 0,
  GANG_REPLY_REFUSED,      /* no effect; the worker is at fault */
  GANG_REPLY_BUSY,         /* no effect; the worker is not at fault */
  GANG_REPLY_ATTEMPT_OVER, /* no effect: the attempt is over on that worker */
  GANG_REPLY_NOT_SENT,     /* no part of the request reached the worker */
  GANG_REPLY_UNKNOWN       /* it may have taken effect, or may do so later */
};

/* What a gang records in the log.  */
enum gang_record
{
  GANG_RECORD_PLACE = 0,   /* JobPlace */
  GANG_RECORD_START,       /* JobStart */
  GANG_RECORD_MEMBER_LOST, /* a TaskEnd, marked lapsed, for a member's tasks */
  GANG_RECORD_STOP,        /* JobStop */
  GANG_RECORD_KINDS
};

/* The result of an append to the log.  */
enum gang_verdict
{
  GANG_VERDICT_VALID = 0,    /* read back from the log, and in effect */
  GANG_VERDICT_NO_EFFECT,    /* read back from the log, without effect */
  GANG_VERDICT_NOT_ACCEPTED, /* never took effect and never will */
  GANG_VERDICT_UNKNOWN       /* not known; it may still take effect */
};

/* The comment at each kind names the fields of struct gang_event in use.  */
enum gang_event_kind
{
  GANG_EV_BEGIN = 1,    /* a new attempt */
  GANG_EV_RESUME,       /* take over an attempt that an earlier planner
                           recorded; the field RUNNING */
  GANG_EV_LEASED,       /* MEMBER, REPLY, WORKER_BOOT_ID */
  GANG_EV_STARTED,      /* MEMBER, REPLY */
  GANG_EV_CHECKPOINTED, /* MEMBER, REPLY, PROGRESS_MS */
  GANG_EV_STOPPED,      /* MEMBER, REPLY, WORKER_BOOT_ID, STARTED */
  GANG_EV_RECORDED,     /* RECORD, VERDICT */
  GANG_EV_TASK_ENDED,   /* read from the log: TASK, OK, LAPSED */
  GANG_EV_FINISHED,     /* read from the log: every task succeeded */
  GANG_EV_ATTEMPT_OVER, /* read from the log: the attempt is over; REQUEUE */
  GANG_EV_CANCEL,       /* the job is cancelled */
  GANG_EV_EVICT,        /* GRACE_MS */
  GANG_EV_GIVE_UP,      /* stop the job for good: REASON */
  GANG_EV_TICK          /* check the deadlines and retries that are due */
};

struct gang_event
{
  enum gang_event_kind kind;
  int64_t now_ms; /* monotonic */
  size_t member;  /* index, below gang_member_count () */
  enum gang_reply reply;
  enum gang_record record;
  enum gang_verdict verdict;
  uint64_t worker_boot_id; /* identifies a start of the worker's process; 0:
                              not known */
  uint64_t progress_ms;    /* saved by the checkpoint */
  uint32_t task;           /* number of the task in its job */
  uint32_t grace_ms;       /* time to checkpoint; 0: stop at once */
  bool running;            /* all members have been started already */
  bool started;            /* a task of the attempt has run on the worker */
  bool ok;                 /* the task succeeded */
  bool lapsed;             /* the task ended because its lease ran out */
  bool requeue;            /* the job is queued again */
  const char *reason;      /* copied */
};

/* The comment at each kind names the fields of struct gang_command that are
   set.  */
enum gang_command_kind
{
  GANG_COMMAND_LEASE = 1,  /* on MEMBER */
  GANG_COMMAND_START,      /* on MEMBER */
  GANG_COMMAND_CHECKPOINT, /* on MEMBER */
  GANG_COMMAND_STOP,       /* on MEMBER */
  /* Append RECORD to the log; MEMBER for GANG_RECORD_MEMBER_LOST; REQUEUE,
     NOT_STARTED, PROGRESS_MS and REASON for GANG_RECORD_STOP.  */
  GANG_COMMAND_RECORD,
  /* The gang is done and holds no lease: OUTCOME, BLAMED_WORKER, REQUEUE,
     PROGRESS_MS, REASON.  */
  GANG_COMMAND_ENDED
};

struct gang_command
{
  enum gang_command_kind kind;
  size_t member;
  enum gang_record record;
  bool requeue; /* GANG_RECORD_STOP, GANG_COMMAND_ENDED: queue the job again */
  bool not_started;     /* GANG_RECORD_STOP: no task can have run */
  uint64_t progress_ms; /* GANG_RECORD_STOP, GANG_COMMAND_ENDED: where the next
                           attempt starts from */
  const char
      *reason; /* GANG_RECORD_STOP, GANG_COMMAND_ENDED; owned by the gang */
  enum place_outcome outcome; /* GANG_COMMAND_ENDED: of the attempt */
  const char
      *blamed_worker; /* the worker at fault, or NULL; owned by the gang */
};

struct gang_params
{
  const struct place_assignment *assignments; /* copied */
  size_t assignment_count;
  bool repeatable;            /* the job may run again after a failure */
  bool checkpointable;        /* the job can be stopped and continued later */
  bool may_retry;             /* the attempt limit allows another attempt */
  uint64_t progress_ms;       /* checkpointed by earlier attempts */
  uint32_t lease_ttl_ms;      /* time to live of a lease */
  uint32_t renew_interval_ms; /* interval between renewals */
  uint32_t call_timeout_ms;   /* for one request to a worker */
  uint32_t start_timeout_ms;  /* from the record of JobPlace until all members
                                 have started; else all are stopped */
};

struct gang;

/*! gang_create () :
 *  @return : GANG_OK with *out set, owned by the caller; or a gang_error. */
int gang_create (struct gang **out, const struct gang_params *params);
void gang_free (struct gang *gang); /* accepts NULL */

/*! gang_handle_event () :
 *  Handles one event.
 *  @commands : owned by GANG, valid until its next call.
 *  @return : the number of commands. */
size_t gang_handle_event (struct gang *gang, const struct gang_event *event,
                          const struct gang_command **commands);

enum gang_state gang_state (const struct gang *gang);
const char *gang_state_name (enum gang_state state);

/*! gang_member_count (), gang_worker () :
 *  The workers of the gang; each is listed once. */
size_t gang_member_count (const struct gang *gang);
const char *gang_worker (const struct gang *gang, size_t member);

/*! gang_assignments () :
 *  @return : all assignments, in the order in which they were given. */
const struct place_assignment *gang_assignments (const struct gang *gang,
                                                 size_t *count);

/*! gang_task_has_ended () :
 *  @return : whether the log has an end of that task; false for a task that
 *            is not in the gang. */
bool gang_task_has_ended (const struct gang *gang, uint32_t task);

/*! gang_is_recorded () :
 *  @return : whether the log holds this attempt. */
bool gang_is_recorded (const struct gang *gang);

/*! gang_stop_bound_ms () :
 *  @return : the longest time from the record of a failure until no worker
 *            can hold the attempt's lease, even one that never answers. */
uint32_t gang_stop_bound_ms (const struct gang_params *params);

#endif
