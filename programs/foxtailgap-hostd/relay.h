/* Passes a caller's request on to another host, when this host is cut off from
   the store and others may not be.  Prefix: rl_.  */

#ifndef FT_HOSTD_RELAY_H
#define FT_HOSTD_RELAY_H

#include <ev.h>

#include "http/http_server.h"
#include "journal.h"

struct relay;

struct rl_params
{
  struct ev_loop *loop;
  struct journal *journal;
  const char *host; /* of this host */
  const char *key_header;
  const char *deadline_header;
};

/* Told with the answer of another host, or with status 0 if there is none and
   nothing was done.  Not told if the caller has left.  */
typedef void (*rl_callback) (void *ctx, struct hs_request *request,
                             unsigned int status, const char *retry_after,
                             const char *body);

/*! rl_create () :
 *  @return : NULL without memory. */
struct relay *rl_create (const struct rl_params *params);
void rl_free (struct relay *relay);

/*! rl_pass_on () :
 *  Sends the request to another host, and to a second one if the first does
 *  not answer.
 *  @address : of the host to try, and no other; NULL: any.
 *  @return : false if it may not be passed on: it has been passed on by
 *            another host, or no other host is known. */
bool rl_pass_on (struct relay *relay, struct hs_request *request,
                 const char *address, rl_callback callback, void *ctx);

#endif
