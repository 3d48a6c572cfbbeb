/* Requests and answers in JSON.  Prefix: ja_.  */

#ifndef FT_JSON_ANSWER_H
#define FT_JSON_ANSWER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/http_server.h"

/*! ja_respond () :
 *  Answers with a JSON value.
 *  @value : the reference is taken. */
void ja_respond (struct hs_request *request, unsigned int status,
                 json_t *value);

/*! ja_respond_error () :
 *  Answers {"error":CODE,"message":MESSAGE}. */
void ja_respond_error (struct hs_request *request, unsigned int status,
                       const char *code, const char *message);

/*! ja_parse_body () :
 *  @return : the request's body as a JSON object, owned by the caller; NULL if
 *  the body is no JSON object: the request has then been answered with status
 *  400. */
json_t *ja_parse_body (struct hs_request *request);

/*! ja_number (), ja_text (), ja_flag () :
 *  @return : the member NAME of an object; the fallback if the member is
 *  absent, of another type, or a negative number.  A text is owned by the
 *  object. */
uint64_t ja_number (const json_t *object, const char *name, uint64_t fallback);
const char *ja_text (const json_t *object, const char *name,
                     const char *fallback);
bool ja_flag (const json_t *object, const char *name, bool fallback);

/*! ja_has () :
 *  @return : whether the object has the member. */
bool ja_has (const json_t *object, const char *name);

/*! ja_is_call () :
 *  @return : whether the request has this method and path. */
bool ja_is_call (const struct hs_request *request, const char *method,
                 const char *path);

#endif
