/* The operators' document of one environment: teams, guaranteed shapes,
   services, rules, objectives.  Prefix: env_.  */

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
  ENV_ERR_INVALID = -2, /* see the messages */
  ENV_ERR_FILE = -3,    /* the file cannot be read */
};

enum
{
  ENV_DOCUMENT_LIMIT_BYTES = 512 * 1024,
  ENV_DIGEST_SIZE_BYTES = 65 /* SHA-256 in hexadecimal, and a zero byte */
};

struct env_guarantee
{
  uint32_t count;
  uint32_t tasks;
  uint32_t accelerators; /* of each task */
  uint32_t cpus_milli;
  uint32_t memory_mb;
  enum place_span span;
};

struct env_quota
{
  uint32_t accelerators; /* 0: no limit */
  uint32_t cpus_milli;
  uint32_t memory_mb;
};

struct env_team
{
  char *name;
  uint32_t weight;
  bool may_borrow;
  struct env_quota quota;
  uint32_t request_slots; /* slots of each service guaranteed in whole */
  struct env_guarantee *guarantees;
  uint32_t guarantees_count;
};

struct env_service
{
  char *name;
  uint32_t slots;       /* requests at once, of each instance */
  uint32_t connections; /* connections at once, of each instance */
  uint32_t queue_limit; /* requests waiting in one entry host */
  uint32_t deadline_ms; /* when the caller gives none */
  uint32_t deadline_max_ms;
  uint32_t body_limit_bytes;
  uint32_t retry_percent; /* retries over first tries, at most */
};

struct env_objective
{
  char *team;
  char *kind; /* of a job, or a service's name */
  uint32_t latency_ms;
  uint32_t success_permille;
};

struct env_rules
{
  uint32_t checkpoint_grace_ms;
  uint32_t attempt_limit;
  uint32_t quarantine_failures;
  uint32_t quarantine_ms;
  uint32_t gang_start_timeout_ms; /* all tasks started, or all are stopped */
  uint32_t job_queue_limit;
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

/* One complaint about a document.  */
struct env_message
{
  uint32_t line; /* from 1; 0: of the whole document */
  char text[200];
};

struct env_messages
{
  struct env_message *items; /* owned; see env_messages_clear () */
  size_t count;
};

/*! env_parse () :
 *  Reads and checks a document; all complaints at once.
 *  @messages : to be cleared by the caller whatever is returned.
 *  @return : ENV_OK with *out set, owned by the caller; or an env_error. */
int env_parse (struct env_document **out, const char *text, size_t size_bytes,
               struct env_messages *messages);

/*! env_free (), env_messages_clear () :
 *  Accept NULL or empty. */
void env_free (struct env_document *document);
void env_messages_clear (struct env_messages *messages);

/*! env_digest () :
 *  SHA-256 of a document's bytes. */
void env_digest (const char *text, size_t size_bytes,
                 char digest[ENV_DIGEST_SIZE_BYTES]);

/*! env_team (), env_service () :
 *  @return : the team or service of that name, or NULL. */
const struct env_team *env_team (const struct env_document *document,
                                 const char *name);
const struct env_service *env_service (const struct env_document *document,
                                       const char *name);

/*! env_place_teams () :
 *  The teams as the placement core takes them.
 *  @return : an array of document->teams_count, to be freed by
 *            env_place_teams_free (); names point into DOCUMENT. */
struct place_team *env_place_teams (const struct env_document *document);
void env_place_teams_free (struct place_team *teams, size_t count);

#endif
