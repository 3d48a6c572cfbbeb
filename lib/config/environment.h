/* The environment document, which operators write for one environment: its
   teams with their guarantees, services, latency objectives and rules.
   Prefix: env_.  */

#ifndef FT_ENVIRONMENT_H
#define FT_ENVIRONMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "place/place.h"

enum env_error
{
  ENV_OK = 0,
  ENV_ERR_MEMORY = -1,
  ENV_ERR_INVALID = -2, /* the text is not valid; the messages say why */
  ENV_ERR_FILE = -3,    /* the file cannot be read */
};

enum
{
  ENV_DOCUMENT_LIMIT_BYTES = 512 * 1024,
  ENV_DIGEST_SIZE_BYTES = 65 /* SHA-256 in hexadecimal, and a zero byte */
};

/* Resources that a team can always have: COUNT gangs of the same shape.  */
struct env_guarantee
{
  uint32_t count;        /* gangs of this shape at the same time */
  uint32_t tasks;        /* of one gang */
  uint32_t accelerators; /* of each task */
  uint32_t cpus_milli;   /* thousandths of a core, of each task */
  uint32_t memory_mb;    /* of each task */
  enum place_span span;  /* within which all tasks of a gang must run */
};

/* Most resources that a team may use in total; 0: no limit.  */
struct env_quota
{
  uint32_t accelerators;
  uint32_t cpus_milli;
  uint32_t memory_mb;
};

struct env_team
{
  char *name;
  uint32_t weight; /* relative share among the teams */
  bool may_borrow; /* may use resources beyond its guarantees */
  struct env_quota quota;
  uint32_t request_slots; /* guaranteed in each service, in total */
  struct env_guarantee *guarantees;
  uint32_t guarantees_count;
};

struct env_service
{
  char *name;
  uint32_t slots;           /* concurrent requests of each instance */
  uint32_t connections;     /* concurrent connections of each instance */
  uint32_t queue_limit;     /* requests waiting in one entry host */
  uint32_t deadline_ms;     /* time allowed to a request that gives none */
  uint32_t deadline_max_ms; /* upper limit of a request's deadline */
  uint32_t body_limit_bytes;
  uint32_t retry_percent; /* most retries per 100 first tries */
};

/* Service-level objective: SUCCESS_PERMILLE of the jobs or requests of one
   kind succeed within LATENCY_MS.  */
struct env_objective
{
  char *team;
  char *kind; /* kind of a job, or name of a service */
  uint32_t latency_ms;
  uint32_t success_permille;
};

struct env_rules
{
  uint32_t checkpoint_grace_ms;   /* time to checkpoint before an eviction */
  uint32_t attempt_limit;         /* of a job that names none, see
                                             place_params.attempt_limit; a failed or
                                             lost attempt of this number is the last */
  uint32_t quarantine_failures;   /* failures that quarantine a worker */
  uint32_t quarantine_ms;         /* duration of a quarantine */
  uint32_t gang_start_timeout_ms; /* from the record of a placement; then a
                                     gang that has not started completely is
                                     stopped */
  uint32_t job_queue_limit;       /* jobs that may be queued */
};

struct env_document
{
  char *environment;
  struct env_team *teams;
  uint32_t teams_count;
  struct env_service *services;
  uint32_t services_count;
  struct env_objective *objectives;
  uint32_t objectives_count;
  struct env_rules rules;
};

/* One error in a document or a settings file.  */
struct env_message
{
  uint32_t line; /* from 1; 0: applies to the whole text */
  char text[200];
};

struct env_messages
{
  struct env_message *items; /* owned; see env_messages_clear () */
  size_t count;
};

/*! env_parse () :
 *  Parses and checks a document.  Reports all values that are out of bounds or
 *  contradict each other; stops at the first error of syntax or structure.
 *  @messages : cleared by the caller, whatever is returned.
 *  @return : ENV_OK with *out set, owned by the caller; or an env_error. */
int env_parse (struct env_document **out, const char *text, size_t size_bytes,
               struct env_messages *messages);

/*! env_free (), env_messages_clear () :
 *  Accept NULL or empty. */
void env_free (struct env_document *document);
void env_messages_clear (struct env_messages *messages);

/*! env_digest () :
 *  SHA-256 of a document's bytes in hexadecimal, with a zero byte. */
void env_digest (const char *text, size_t size_bytes,
                 char digest[ENV_DIGEST_SIZE_BYTES]);

/*! env_team (), env_service () :
 *  @return : the team or service of that name, owned by DOCUMENT; or NULL. */
const struct env_team *env_team (const struct env_document *document,
                                 const char *name);
const struct env_service *env_service (const struct env_document *document,
                                       const char *name);

/*! env_to_place_teams () :
 *  Converts the teams to those of the placement core.
 *  @return : an array of document->teams_count entries, to be freed by
 *            env_free_place_teams (); NULL if out of memory.  Names point into
 *            DOCUMENT. */
struct place_team *env_to_place_teams (const struct env_document *document);
void env_free_place_teams (struct place_team *teams, size_t count);

#endif
