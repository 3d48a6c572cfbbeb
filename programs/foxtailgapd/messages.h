/* Messages between the daemon's tasks.  A message is a kind and a body, posted
   to the receiver's mailbox by mb_post ().  The receiver owns the body and
   frees it by msg_free ().  Texts in a body are owned by it unless they are
   said to be static.  A token is chosen by the sender of a request and comes
   back in the reply.  */

#ifndef FT_MESSAGES_H
#define FT_MESSAGES_H

#include <stdbool.h>
#include <stdint.h>

#include "common/mailbox.h"
#include "config/environment.h"
#include "member/host_list.h"
#include "state/state.h"

enum msg_kind
{
  MSG_APPEND = 1,  /* to state: struct msg_append */
  MSG_APPENDED,    /* from state: struct msg_appended */
  MSG_SUBSCRIBE,   /* to state: struct msg_subscribe */
  MSG_TERM,        /* from state: struct msg_term */
  MSG_CONFIG,      /* from state: struct msg_config */
  MSG_JOB,         /* from state: struct st_job, one reference */
  MSG_JOB_DROPPED, /* from state: char *, the id of a job that it has dropped
                    */
  MSG_KEY_CLAIM,   /* from state: struct st_claim, one reference */
  MSG_LOG_STATUS,  /* from state: struct msg_log_status */
  MSG_HOSTS,       /* from hosts: struct hl_list, one reference */
  MSG_SERVICE_REQUEST,   /* to upstream: struct msg_service_request */
  MSG_CALLER_GONE,       /* to upstream: struct msg_caller_gone */
  MSG_SERVICE_ANSWER,    /* from upstream: struct msg_service_answer */
  MSG_MEMBERS,           /* from peers: struct msg_members */
  MSG_SHUTDOWN,          /* to any: NULL; the daemon is shutting down */
  MSG_LOAD,              /* from upstream to peers: struct msg_load */
  MSG_KEY_CLAIM_DROPPED, /* from state: char *, the key of a claim that it has
                        dropped */
  MSG_SNAPSHOT_WANTED,   /* from peers to state: struct msg_snapshot_wanted */
  MSG_SNAPSHOT,          /* from state to peers, as the reply to
                            MSG_SNAPSHOT_WANTED; from peers to state, a
                            snapshot of another host: struct msg_snapshot */
  MSG_TASK_PROGRESS,  /* from renewal to planner: struct msg_task_progress */
  MSG_CONFIG_HISTORY, /* to state, and back as the reply: struct
                         msg_config_history */
  MSG_PLANNER_QUERY   /* to planner, and back as the reply: struct
                         msg_planner_query */
};

/* Asks for a record to be appended to the platform's log; answered once by
   MSG_APPENDED.  */
struct msg_append
{
  Ft__Record record;   /* its body is set; an absent id and host are filled in;
                          submessages are owned */
  uint64_t term;       /* that the record is written in; 0: none */
  uint32_t timeout_ms; /* 0: the state task's default */
  struct mb_box *reply; /* NULL: no answer wanted */
  uint64_t token;
};

enum msg_append_result
{
  MSG_APPEND_FOLDED = 0, /* read back from the log and folded; the verdict says
                            whether it had an effect */
  MSG_APPEND_REJECTED,   /* the log did not accept it: it has no effect and
                             never will have one */
  MSG_APPEND_UNKNOWN     /* the time ran out; it may still take effect */
};

struct msg_appended
{
  uint64_t token;
  enum msg_append_result result;
  enum st_verdict verdict; /* of the fold; only for MSG_APPEND_FOLDED */
};

/* Subscribes to kinds of the state task's messages: the subscriber is sent the
   present state, then each change.  */
struct msg_subscribe
{
  struct mb_box *box; /* of the subscriber */
  bool terms;         /* MSG_TERM */
  bool configs;       /* MSG_CONFIG */
  bool jobs;          /* MSG_JOB, MSG_JOB_DROPPED */
  bool claims;        /* MSG_KEY_CLAIM, MSG_KEY_CLAIM_DROPPED */
  bool log;           /* MSG_LOG_STATUS */
};

/* The newest planner term.  */
struct msg_term
{
  uint64_t term;
  char *holder;   /* name of the entry host that holds it */
  bool held_here; /* held by this process */
};

/* A configuration in force.  */
struct msg_config
{
  uint64_t revision;
  char *digest;
  char *author;
  int64_t time_ms;     /* Unix time of the change */
  char *document_text; /* the document as it was applied */
  struct env_document *document;
};

/* How far this host has read the platform's log.  */
struct msg_log_status
{
  bool up;              /* the log can be reached */
  bool caught_up;       /* the state is as new as the log was when last read */
  uint64_t next_offset; /* first record that is not folded */
};

/* One service request whose headers and service are valid; answered once by
   MSG_SERVICE_ANSWER unless MSG_CALLER_GONE is sent for it.  */
struct msg_service_request
{
  uint64_t token;
  struct mb_box *reply;
  char *id;
  char *team;
  char *service;
  char *key;           /* idempotency key; may be NULL if repeatable */
  bool repeatable;     /* may be run more than once */
  int64_t deadline_ms; /* a moment of the monotonic clock */
  uint8_t *body;
  size_t body_size_bytes;
};

/* The caller of a service request has closed its connection.  */
struct msg_caller_gone
{
  uint64_t token; /* of MSG_SERVICE_REQUEST */
};

enum msg_answer_state
{
  MSG_ANSWER_FINISHED = 0, /* the upstream's whole answer */
  MSG_ANSWER_REFUSED,      /* did not run; the code says why */
  MSG_ANSWER_UNKNOWN       /* may have run; its key tells the outcome later */
};

/* The outcome of a service request.  */
struct msg_service_answer
{
  uint64_t token;
  enum msg_answer_state state;
  const char *code;        /* static; NULL if finished */
  const char *message;     /* static sentence; NULL if finished */
  uint32_t retry_after_ms; /* 0: no advice */
  uint32_t status;         /* HTTP status of the upstream, if finished */
  uint8_t *body;
  size_t body_size_bytes;
};

/* One live entry host, this one or a peer.  */
struct msg_member
{
  char *host;    /* its name */
  char *address; /* for callers */
  uint16_t port;
  uint64_t revision;    /* of the configuration in force there */
  uint64_t next_offset; /* first record that is not folded there */
  uint32_t in_flight;   /* service requests sent to upstreams from there */
};

/* The live entry hosts, this one among them, sorted by name.  */
struct msg_members
{
  struct msg_member *members;
  size_t member_count;
  size_t self; /* index of this host */
};

/* The progress of a job's attempt as one worker has reported it: that of the
   attempt's slowest task there.  */
struct msg_task_progress
{
  uint32_t attempt;
  uint64_t progress_ms; /* as reported by the worker */
  char job[];           /* its id, ended by a zero byte */
};

/* The service requests of this host.  */
struct msg_load
{
  uint32_t in_flight; /* sent to upstreams */
  uint32_t queued;
};

/* Asks for the folded state, to be sent to an entry host that cannot read the
   log; answered by MSG_SNAPSHOT.  */
struct msg_snapshot_wanted
{
  struct mb_box *reply;
  uint64_t token;
};

/* The folded state.  The state task adopts one that it is sent if it is newer
   than its own state.  */
struct msg_snapshot
{
  uint64_t token;
  uint64_t next_offset; /* first record that is not folded in */
  uint8_t *data;        /* written by st_encode () */
  size_t size_bytes;
};

/* Asks for the revisions of the configuration that are kept; the same message
   is sent back with them, newest first.  */
struct msg_config_history
{
  struct mb_box *reply;
  uint64_t token;
  uint64_t revision; /* the one asked for; 0: all, without their documents */
  struct msg_config_revision *revisions;
  size_t revision_count;
};

/* One revision of the configuration.  */
struct msg_config_revision
{
  uint64_t revision;
  char *digest;
  char *author;
  char *note;
  int64_t time_ms; /* Unix time of the change */
  char *document;  /* NULL: no longer kept, or not asked for */
};

/* Asks the planner about its decisions.  The same message is sent back with
   the answer, or without one if this host does not hold the term.  */
struct msg_planner_query
{
  struct mb_box *reply;
  uint64_t token;
  char *job;    /* id: why it waits, or where it runs; NULL: all placement */
  char *answer; /* JSON; NULL: this host is not the planner */
};

/*! msg_free () :
 *  Frees the body of a message, or drops its reference.
 *  @kind : an enum msg_kind.
 *  @body : may be NULL. */
void msg_free (int kind, void *body);

#endif
