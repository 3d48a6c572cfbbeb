/* Reads a revision of the configuration from an entry host: the live one,
   which is in force, or an earlier one.  Prefix: live_.  */

#ifndef FT_LIVE_H
#define FT_LIVE_H

#include <stdint.h>

#include "api.h"
#include "config/environment.h"

/* One revision of the configuration, in force or earlier.  */
struct live_revision
{
  uint64_t revision; /* 0: no configuration is in force yet */
  char *author;
  int64_t time_ms; /* since 1970 */
  char *text;      /* NULL at revision 0 */
  size_t size_bytes;
  char digest[ENV_DIGEST_SIZE_BYTES]; /* of TEXT */
  struct env_document *document;      /* NULL at revision 0 */
};

/*! live_get () :
 *  Reads the configuration in force.
 *  @out : to be cleared by the caller on CLI_CONTINUE.
 *  @return : CLI_CONTINUE, or the exit code to end with, after a message. */
int live_get (struct api *api, struct live_revision *out);

/*! live_get_revision () :
 *  Like live_get (), for an earlier revision.
 *  @return : as live_get (); CTL_REFUSED if the hosts no longer keep its
 *            document. */
int live_get_revision (struct api *api, uint64_t revision,
                       struct live_revision *out);

/*! live_clear () :
 *  Frees the fields and zeroes them; accepts a zeroed one. */
void live_clear (struct live_revision *live);

#endif
