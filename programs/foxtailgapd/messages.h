/* Messages between the daemon's tasks.  The receiver owns a message's body
   and frees it by msg_free ().  */

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
  MSG_APPEND = 1,      /* to state: struct msg_append */
  MSG_APPENDED,        /* from state: struct msg_appended */
  MSG_SUBSCRIBE,       /* to state: struct msg_subscribe */
  MSG_TERM,            /* from state: struct msg_term */
  MSG_CONFIG,          /* from state: struct msg_config */
  MSG_JOB,             /* from state: struct st_job, one reference */
  MSG_JOB_DROPPED,     /* from state: char *, the job's id */
  MSG_CLAIM,           /* from state: struct st_claim, one reference */
  MSG_LOG,             /* from state: struct msg_log */
  MSG_HOSTS,           /* from hosts: struct hl_list, one reference */
  MSG_REQUEST,         /* to upstream: struct msg_request */
  MSG_REQUEST_GONE,    /* to upstream: struct msg_request_gone */
  MSG_ANSWER,          /* from upstream: struct msg_answer */
  MSG_MEMBERS,         /* from peers: struct msg_members */
  MSG_SHUTDOWN,        /* to any: NULL */
  MSG_LOAD,            /* from upstream to peers: struct msg_load */
  MSG_CLAIM_DROPPED,   /* from state: char *, the claim's key */
  MSG_SNAPSHOT_WANTED, /* from peers to state: struct msg_snapshot_wanted */
  MSG_SNAPSHOT,        /* state to peers and back: struct msg_snapshot */
  MSG_USAGE,           /* from renewal to planner: struct msg_usage */
  MSG_HISTORY,         /* to state and back: struct msg_history */
  MSG_QUESTION         /* to planner and back: struct msg_question */
};

/* Asks for a record in the log; answered once by MSG_APPENDED.  */
struct msg_append
{
  Ft__Record record; /* body set; id, host and term are filled in unless
                        TERM is set; submessages are owned */
  uint64_t term;     /* 0: no term */
  uint32_t deadline_ms;
  struct mb_box *reply; /* NULL: no answer wanted */
  uint64_t token;
};

enum msg_append_result
{
  MSG_APPEND_FOLDED = 0, /* read back: see the verdict */
  MSG_APPEND_NOT_TAKEN,  /* never took effect and never will */
  MSG_APPEND_UNKNOWN     /* the deadline passed; it may yet take effect */
};

struct msg_appended
{
  uint64_t token;
  enum msg_append_result result;
  enum st_verdict verdict;
};

/* The subscriber is sent all that is known, then each change.  */
struct msg_subscribe
{
  struct mb_box *box;
  bool terms;
  bool configs;
  bool jobs;
  bool claims;
  bool log;
};

struct msg_term
{
  uint64_t term;
  char *holder;
  bool mine;
};

/* A configuration in force.  */
struct msg_config
{
  uint64_t revision;
  char *digest;
  char *author;
  int64_t time_ms;
  char *text; /* the document as it was applied */
  struct env_document *document;
};

struct msg_log
{
  bool up;
  bool caught_up; /* the state is as new as the log was when asked */
  uint64_t next_offset;
};

/* One service request that has been identified and admitted.  */
struct msg_request
{
  uint64_t token;
  struct mb_box *reply;
  char *id;
  char *team;
  char *service;
  char *key; /* NULL: repeatable without a key */
  bool repeatable;
  int64_t deadline_ms; /* monotonic */
  uint8_t *body;
  size_t body_size_bytes;
};

struct msg_request_gone
{
  uint64_t token;
};

enum msg_answer_state
{
  MSG_ANSWER_FINISHED = 0, /* the upstream's whole answer */
  MSG_ANSWER_REFUSED,      /* did not run; see the code */
  MSG_ANSWER_UNKNOWN       /* may have run; ask again by key */
};

struct msg_answer
{
  uint64_t token;
  enum msg_answer_state state;
  const char *code;    /* static text, for refused and unknown */
  const char *message; /* static sentence */
  uint32_t retry_after_ms;
  uint32_t status; /* of the upstream */
  uint8_t *body;
  size_t body_size_bytes;
};

struct msg_member
{
  char *host;
  char *address;
  uint16_t port;
  uint64_t revision; /* configuration in force there */
  uint64_t offset;   /* folded up to */
  uint32_t in_flight;
};

/* The live entry hosts, this one among them, sorted by name.  */
struct msg_members
{
  struct msg_member *members;
  size_t member_count;
  size_t self; /* index of this host */
};

/* What a task is known to have done.  */
struct msg_usage
{
  uint32_t attempt;
  uint64_t progress_ms;
  char job[]; /* its id, ended by a zero byte */
};

struct msg_load
{
  uint32_t in_flight;
  uint32_t queued;
};

/* Asks for the state, to be passed on to a host that cannot read the log;
   answered by MSG_SNAPSHOT.  */
struct msg_snapshot_wanted
{
  struct mb_box *reply;
  uint64_t token;
};

/* The folded state.  Sent to the state task, it is taken if it is newer.  */
struct msg_snapshot
{
  uint64_t token;
  uint64_t offset; /* first that is not folded in */
  uint8_t *data;   /* of st_encode () */
  size_t size_bytes;
};

/* Asks for the known revisions of the configuration; sent back with them,
   newest first.  */
struct msg_history
{
  struct mb_box *reply;
  uint64_t token;
  uint64_t revision; /* 0: all, without their documents */
  struct msg_revision *revisions;
  size_t revision_count;
};

struct msg_revision
{
  uint64_t revision;
  char *digest;
  char *author;
  char *note;
  int64_t time_ms;
  char *document; /* NULL if it is not kept any more, or was not asked for */
};

/* Asks the planner about its decisions.  Sent back with the answer, or
   without one if this host does not hold the term.  */
struct msg_question
{
  struct mb_box *reply;
  uint64_t token;
  char *job;    /* why it waits, or where it runs; NULL: about the whole */
  char *answer; /* JSON; NULL: this host is not the planner */
};

/*! msg_free () :
 *  Frees the body of a message of any kind. */
void msg_free (int kind, void *body);

#endif
