/* Client of the entry hosts' HTTP interface.  Calls are synchronous, one at
   a time, and fail over to the next entry host where that is safe.
   Prefix: api_.  */

#ifndef FT_API_H
#define FT_API_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cli.h"

enum api_error
{
  API_OK = 0, /* an entry host answered, with any HTTP status */
  API_ERR_MEMORY = -1,
  API_ERR_HOSTS = -2, /* the list of entry hosts is missing or malformed */
  API_ERR_UNREACHABLE = -3,     /* no host answered; the call had no effect */
  API_ERR_OUTCOME_UNKNOWN = -4, /* sent, but no complete answer arrived */
  API_ERR_REQUEST = -5 /* the HTTP client rejects the call as invalid */
};

/* Whether a call that was sent and not answered may be sent to the next
   host.  */
enum api_retry_safety
{
  API_READ_ONLY,     /* changes no state: may be sent again */
  API_REPEATABLE,    /* may be sent again, which does no harm */
  API_NOT_REPEATABLE /* could take effect twice: must not be sent again */
};

struct api;

struct api_request
{
  const char *method;
  const char *path;           /* including the query, percent-encoded */
  const char *const *headers; /* "Name: value", NULL-terminated; or NULL */
  const void *body;           /* or NULL */
  size_t body_size_bytes;
  enum api_retry_safety retry_safety;
  uint32_t extra_timeout_ms; /* added to the timeout of the api */
};

struct api_answer
{
  long status; /* HTTP status */
  char *body;  /* a NUL byte follows the last byte */
  size_t body_size_bytes;
  json_t *json;      /* the parsed body; NULL if it is not JSON */
  char *state;       /* header Foxtailgap-State, or NULL */
  char *request_id;  /* header Foxtailgap-Request-Id, or NULL */
  char *retry_after; /* header Retry-After (seconds), or NULL */
  const char *host;  /* IP:PORT that answered; owned by the api */
};

/*! api_open () :
 *  @hosts : "IP:PORT,IP:PORT"; NULL: the value of FOXTAILGAP_HOSTS.
 *  @return : API_OK with *out set, owned by the caller; or an api_error. */
int api_open (struct api **out, const char *hosts, uint32_t timeout_ms);

/*! api_open_args () :
 *  Like api_open (), with the hosts and the timeout from the command line.
 *  @return : CLI_CONTINUE, or the exit code to end with, after a message. */
int api_open_args (struct api **out, const struct cli_hosts *arguments);

/*! api_close () :
 *  Accepts NULL. */
void api_close (struct api *api);

/*! api_hosts () :
 *  @return : the entry hosts as IP:PORT, NULL-terminated; owned by the api. */
char **api_hosts (const struct api *api);

/*! api_select_host () :
 *  Restricts the following calls to the host with index I of api_hosts ();
 *  a negative I lifts the restriction. */
void api_select_host (struct api *api, int i);

/*! api_call () :
 *  @answer : to be cleared by the caller on API_OK.
 *  @return : API_OK, or an api_error. */
int api_call (struct api *api, const struct api_request *request,
              struct api_answer *answer);

/*! api_get () :
 *  Sends GET PATH and expects status 200 with a JSON object.
 *  @return : CLI_CONTINUE with the answer set; or the exit code to end with,
 *            after a message. */
int api_get (struct api *api, const char *path, uint32_t extra_timeout_ms,
             struct api_answer *answer);

/*! api_answer_clear () :
 *  Frees the fields and zeroes them; accepts a zeroed answer. */
void api_answer_clear (struct api_answer *answer);

/*! api_report_error () :
 *  Writes the meaning of an api_error to standard error.
 *  @return : the exit code. */
int api_report_error (int error);

/*! api_report_refusal () :
 *  Writes to standard error why an answer is not a success.
 *  @return : CTL_REFUSED; CTL_OUTCOME_UNKNOWN if the answer leaves open
 *            whether the call took effect. */
int api_report_refusal (const struct api_answer *answer);

#endif
