/* Life of one gang, that is of one attempt of a job on its workers: leasing,
   recording, starting, running, stopping.  Pure: no I/O and no clock of its
   own; each event gives the commands to carry out.  Prefix: gang_.

   What it keeps, whatever fails:
   - nothing is started before every lease is held and the placement is
     recorded;
   - one member that fails stops all others;
   - it is not over before every worker has answered the stop, or cannot hold
     the lease any more;
   - "not started" is claimed only if no start can have reached a worker.  */

#ifndef FT_GANG_H
#define FT_GANG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "place/place.h"

enum gang_error
{
  GANG_OK = 0,
  GANG_ERR_INVALID = -1, /* no task, or a value out of its bounds */
};

enum gang_state
{
  GANG_LEASING = 1,
  GANG_RECORDING,     /* all leases held; JobPlace is being recorded */
  GANG_STARTING,      /* recorded; not all workers have started yet */
  GANG_RUNNING,       /* every task has been started */
  GANG_CHECKPOINTING, /* to be evicted */
  GANG_STOPPING,      /* not all workers are free yet */
  GANG_ENDING,        /* all free; JobStop is being recorded */
  GANG_HOLDING,       /* waits before the job may be placed again */
  GANG_VOIDING,       /* the attempt's number is being used up in the log */
  GANG_DONE
};

/* What became of a request to a worker.  */
enum gang_reply
{
  GANG_REPLY_OK = 0,
  GANG_REPLY_REFUSED, /* without effect, and the worker is to blame */
  GANG_REPLY_BUSY,    /* without effect, and the worker is not to blame */
  GANG_REPLY_ENDED,   /* without effect: the attempt is over there */
  GANG_REPLY_UNSENT,  /* the worker has seen nothing of it */
  GANG_REPLY_UNKNOWN  /* it may have taken effect, or may yet */
};

enum gang_record
{
  GANG_RECORD_PLACE = 0, /* JobPlace */
  GANG_RECORD_START,     /* JobStart */
  GANG_RECORD_LOST,      /* TaskEnd, lapsed, of one member's tasks */
  GANG_RECORD_STOP,      /* JobStop */
  GANG_RECORD_KINDS
};

/* What became of a record.  */
enum gang_verdict
{
  GANG_VALID = 0,
  GANG_VOID,      /* read back, without effect */
  GANG_NOT_TAKEN, /* never took effect and never will */
  GANG_UNKNOWN    /* may yet take effect */
};

enum gang_event_kind
{
  GANG_EV_BEGIN = 1,    /* a new attempt */
  GANG_EV_RESUME,       /* recorded by an earlier planner; RUNNING */
  GANG_EV_LEASED,       /* MEMBER, REPLY, BOOT */
  GANG_EV_STARTED,      /* MEMBER, REPLY */
  GANG_EV_CHECKPOINTED, /* MEMBER, REPLY, PROGRESS_MS */
  GANG_EV_STOPPED,      /* MEMBER, REPLY, BOOT, STARTED */
  GANG_EV_RECORDED,     /* RECORD, VERDICT */
  GANG_EV_TASK_ENDED,   /* the log says so: TASK, OK, LAPSED */
  GANG_EV_FINISHED,     /* the log says that every task ended well */
  GANG_EV_LEFT,         /* the log says that the attempt is over: AGAIN */
  GANG_EV_CANCEL,
  GANG_EV_EVICT,   /* GRACE_MS */
  GANG_EV_GIVE_UP, /* REASON */
  GANG_EV_TICK     /* time has passed */
};

struct gang_event
{
  enum gang_event_kind kind;
  int64_t now_ms; /* monotonic */
  size_t member;
  enum gang_reply reply;
  enum gang_record record;
  enum gang_verdict verdict;
  uint64_t boot; /* 0: not known */
  uint64_t progress_ms;
  uint32_t task;
  uint32_t grace_ms;
  bool running;
  bool started;
  bool ok;
  bool lapsed;
  bool again;
  const char *reason;
};

enum gang_command_kind
{
  GANG_LEASE = 1,  /* on MEMBER */
  GANG_START,      /* on MEMBER */
  GANG_CHECKPOINT, /* on MEMBER */
  GANG_STOP,       /* on MEMBER */
  GANG_RECORD,     /* RECORD; MEMBER for GANG_RECORD_LOST */
  GANG_ENDED       /* all is free: END, WORKER, AGAIN, PROGRESS_MS */
};

struct gang_command
{
  enum gang_command_kind kind;
  size_t member;
  enum gang_record record;
  bool again;       /* GANG_RECORD_STOP, GANG_ENDED */
  bool not_started; /* GANG_RECORD_STOP */
  uint64_t progress_ms;
  const char *reason;
  enum place_outcome end;
  const char *worker; /* whose fault it was, or NULL */
};

struct gang_params
{
  const struct place_assignment *assignments;
  size_t assignment_count;
  bool repeatable;
  bool checkpointable;
  bool attempts_left;        /* after this one */
  uint64_t progress_ms;      /* checkpointed by earlier attempts */
  uint32_t ttl_ms;           /* of a lease */
  uint32_t renew_ms;         /* between renewals */
  uint32_t call_timeout_ms;  /* of one request to a worker */
  uint32_t start_timeout_ms; /* all started, or all are stopped */
};

struct gang;

/*! gang_create () :
 *  @return : GANG_OK with *out set, owned by the caller; or a gang_error. */
int gang_create (struct gang **out, const struct gang_params *params);
void gang_free (struct gang *gang); /* accepts NULL */

/*! gang_decide () :
 *  Takes one event.
 *  @commands : owned by GANG, valid until its next call.
 *  @return : the number of commands. */
size_t gang_decide (struct gang *gang, const struct gang_event *event,
                    const struct gang_command **commands);

enum gang_state gang_state (const struct gang *gang);
const char *gang_state_name (enum gang_state state);

/*! gang_member_count (), gang_worker () :
 *  The workers of the gang, each once. */
size_t gang_member_count (const struct gang *gang);
const char *gang_worker (const struct gang *gang, size_t member);

/*! gang_assignments () :
 *  @return : all assignments, in the order in which they were given. */
const struct place_assignment *gang_assignments (const struct gang *gang,
                                                 size_t *count);

/*! gang_task_ended () :
 *  @return : whether the end of that task is known. */
bool gang_task_ended (const struct gang *gang, uint32_t task);

/*! gang_is_recorded () :
 *  @return : whether the log holds this attempt. */
bool gang_is_recorded (const struct gang *gang);

/*! gang_stop_bound_ms () :
 *  @return : the longest time from the record of a failure until no worker
 *            can hold the attempt's lease, also of those that never answer. */
uint32_t gang_stop_bound_ms (const struct gang_params *params);

#endif
