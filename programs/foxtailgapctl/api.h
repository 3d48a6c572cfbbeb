/* Calls of the entry hosts' interface, one at a time.  Prefix: api_.  */

#ifndef FT_API_H
#define FT_API_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cli.h"

enum api_error
{
  API_OK = 0, /* there is an answer, whatever its status */
  API_ERR_MEMORY = -1,
  API_ERR_HOSTS = -2,     /* no entry hosts given, or not as IP:PORT */
  API_ERR_UNREACHED = -3, /* nobody answered and nothing can have happened */
  API_ERR_UNKNOWN = -4,   /* it was sent, but no whole answer came */
  API_ERR_REQUEST = -5    /* the call cannot be sent at all */
};

/* What may be done when a call was sent and not answered.  */
enum api_safety
{
  API_READ,       /* changes nothing: ask the next host */
  API_REPEATABLE, /* has its effect once at most: ask the next host */
  API_ONCE        /* must not be sent again */
};

struct api;

struct api_request
{
  const char *method;
  const char *path;           /* with its query, escaped */
  const char *const *headers; /* NULL at the end; or NULL */
  const void *body;           /* or NULL */
  size_t body_size_bytes;
  enum api_safety safety;
  uint32_t extra_ms; /* that the host may take beyond the usual timeout */
};

struct api_answer
{
  long status;
  char *body; /* a zero byte follows the last one */
  size_t body_size_bytes;
  json_t *json;      /* the body, if it is JSON; else NULL */
  char *state;       /* Foxtailgap-State, or NULL */
  char *request_id;  /* Foxtailgap-Request-Id, or NULL */
  char *retry_after; /* Retry-After, or NULL */
  const char *host;  /* that answered; owned by the api */
};

/*! api_open () :
 *  @hosts : "IP:PORT,IP:PORT"; NULL: the environment variable's.
 *  @return : API_OK with *out set, owned by the caller; or an api_error. */
int api_open (struct api **out, const char *hosts, uint32_t timeout_ms);

/*! api_open_args () :
 *  The same from the arguments.
 *  @return : CLI_GO_ON, or the exit code to end with, after a message. */
int api_open_args (struct api **out, const struct cli_hosts *arguments);

/*! api_close () :
 *  Accepts NULL. */
void api_close (struct api *api);

/*! api_hosts () :
 *  @return : the entry hosts, NULL at the end. */
char **api_hosts (const struct api *api);

/*! api_only () :
 *  Calls host I only, until the next api_only (); I < 0: all again. */
void api_only (struct api *api, int i);

/*! api_call () :
 *  @answer : to be cleared by the caller on API_OK.
 *  @return : API_OK, or an api_error. */
int api_call (struct api *api, const struct api_request *request,
              struct api_answer *answer);

/*! api_get () :
 *  Reads PATH, and expects 200 with a JSON object.
 *  @return : CLI_GO_ON with the answer set; or the exit code to end with,
 *            after a message. */
int api_get (struct api *api, const char *path, uint32_t extra_ms,
             struct api_answer *answer);

/*! api_answer_clear () :
 *  Accepts a cleared one. */
void api_answer_clear (struct api_answer *answer);

/*! api_fail () :
 *  Says what an api_error means.
 *  @return : the exit code. */
int api_fail (int error);

/*! api_refused () :
 *  Says why an answer is no success.
 *  @return : CTL_REFUSED, or CTL_UNKNOWN. */
int api_refused (const struct api_answer *answer);

#endif
