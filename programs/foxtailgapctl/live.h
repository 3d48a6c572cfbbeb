/* The configuration in force, as an entry host shows it.  Prefix: live_.  */

#ifndef FT_LIVE_H
#define FT_LIVE_H

#include <stdint.h>

#include "api.h"
#include "config/environment.h"

struct live
{
  uint64_t revision; /* 0: none is in force yet */
  char *author;
  int64_t time_ms;
  char *text; /* NULL at revision 0 */
  size_t size_bytes;
  char digest[ENV_DIGEST_SIZE_BYTES]; /* of TEXT */
  struct env_document *document;      /* NULL at revision 0 */
};

/*! live_get () :
 *  @out : to be cleared by the caller on CLI_GO_ON.
 *  @return : CLI_GO_ON, or the exit code to end with, after a message. */
int live_get (struct api *api, struct live *out);

/*! live_get_revision () :
 *  The same of an earlier revision; refused if the hosts do not keep it. */
int live_get_revision (struct api *api, uint64_t revision, struct live *out);

void live_clear (struct live *live);

#endif
