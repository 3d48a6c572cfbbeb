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

/* The answer of another host.  */
struct rl_answer
{
  unsigned int status;     /* 0: there is none, and nothing was done */
  const char *retry_after; /* NULL: none */
  const char *body;
  int64_t version; /* of the configuration it was made of; -1: not told */
};

/* Not told if the caller has left.  */
typedef void (*rl_callback) (void *ctx, struct hs_request *request,
                             const struct rl_answer *answer);

/*! rl_is_relayed () :
 *  @return : whether another host has passed the request on. */
bool rl_is_relayed (struct hs_request *request);

/*! rl_min_catalog_version () :
 *  @return : the configuration that a request passed on by another host must
 *            at least be answered by; -1: any. */
int64_t rl_min_catalog_version (struct hs_request *request);

/* Header of an answer to a request that was passed on, and of the request:
   version of the configuration.  */
#define RL_HEADER_VERSION "Foxtailgap-Version"

/*! rl_create () :
 *  @return : NULL without memory. */
struct relay *rl_create (const struct rl_params *params);
void rl_free (struct relay *relay);

/*! rl_relay () :
 *  Sends the request to another host, and to a second one if the first does
 *  not answer.
 *  @address : of the host to try, and no other; NULL: any.
 *  @version_floor : no answer made of an older configuration is only_address.
 *  @return : false if it may not be passed on: it has been passed on by
 *            another host, or no other host is known. */
bool rl_relay (struct relay *relay, struct hs_request *request,
               const char *address, int64_t version_floor,
               rl_callback callback, void *ctx);

#endif
