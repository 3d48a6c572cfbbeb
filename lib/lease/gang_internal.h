/* Shared by the sources of gang_.  */

#ifndef FT_GANG_INTERNAL_H
#define FT_GANG_INTERNAL_H

#include <glib.h>

#include "lease/gang.h"

enum
{
  GANG_RETRY_MS = 300,         /* between tries of a request or a record */
  GANG_RESTART_DELAY_MS = 1000 /* before a failed placement is tried again */
};

/* One worker of the gang.  */
struct gang_member
{
  char *worker;
  uint64_t boot; /* of the worker when it granted the lease; 0: not known */
  uint32_t task_count;
  uint32_t reported_count; /* tasks whose end the worker itself reported */
  bool may_hold;           /* it may hold the lease */
  bool leased;
  bool start_open;  /* a start is under way */
  bool start_doubt; /* a start may have reached it */
  bool started;
  bool checkpoint_open;
  bool checkpointed;
  bool checkpoint_late; /* its tasks were over when it was asked */
  bool stop_open;
  bool stopped; /* it cannot hold the lease any more */
  uint64_t progress_ms;
  int64_t retry_ms; /* of the start or the stop; 0: none is due */
};

struct gang
{
  struct gang_params params;
  enum gang_state state;
  struct place_assignment *assignments; /* workers borrowed from members */
  bool *ended;                          /* by index of assignment */
  struct gang_member *members;
  size_t member_count;
  GArray *commands;

  bool recorded;    /* the log holds the attempt */
  bool number_used; /* a worker will not take the attempt's number again */
  bool place_doubt; /* an earlier JobPlace may yet take effect */
  bool left;        /* the log says that the attempt is over */
  bool left_again;
  bool final;          /* cancelled or given up: never again */
  bool stop_recording; /* JobStop was sent, with the fields below */
  bool stop_again;
  bool stop_not_started;

  enum place_outcome end;
  const char *blamed; /* a member's worker, or NULL */
  char reason[PLACE_TEXT_SIZE_BYTES];
  bool stop_wanted; /* as soon as it may be */

  int64_t deadline_ms;  /* of starting, checkpointing or holding */
  int64_t stopping_ms;  /* since when */
  int64_t condemned_ms; /* since when the log says it must stop; 0: not */
  int64_t record_retry_ms[GANG_RECORD_KINDS]; /* 0: none is due */
  bool record_open[GANG_RECORD_KINDS];
  size_t lost_member; /* of GANG_RECORD_LOST */
};

/* The index of the member on WORKER; the member count for none.  */
size_t gang_find_member (const struct gang *gang, const char *worker);

/* Adds a command.  */
void gang_emit (struct gang *gang, const struct gang_command *command);

/* Adds a command to record RECORD.  */
void gang_emit_record (struct gang *gang, enum gang_record record);

/* Stops every member; END and BLAMED say why.  */
void gang_begin_stop (struct gang *gang, int64_t now_ms,
                      enum place_outcome end, const char *blamed,
                      const char *reason);

/* Events while stopping, ending or holding.  */
void gang_on_stopped (struct gang *gang, const struct gang_event *event);
void gang_on_stop_recorded (struct gang *gang, enum gang_verdict verdict,
                            int64_t now_ms);
/* JobPlace was sent to use up the attempt's number.  */
void gang_on_void_recorded (struct gang *gang, enum gang_verdict verdict,
                            int64_t now_ms);
void gang_on_lost_recorded (struct gang *gang, enum gang_verdict verdict,
                            int64_t now_ms);
void gang_on_left (struct gang *gang, const struct gang_event *event);
void gang_tick_stop (struct gang *gang, int64_t now_ms);

/* The log says that the attempt must stop: nobody renews it any more.  */
void gang_condemn (struct gang *gang, int64_t now_ms);

#endif
