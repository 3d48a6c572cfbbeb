/* Relays a caller's request to another host when this host cannot reach the
   store and others may.  Prefix: rl_.  */

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
  const char *host; /* name of this host */
  /* Names of headers that are relayed with the request.  */
  const char *key_header;
  const char *deadline_header;
};

/* The answer of another host; the texts are valid during the callback.  */
struct rl_answer
{
  unsigned int status;     /* 0: no answer, and nothing was done */
  const char *retry_after; /* in seconds, as text; NULL: none */
  const char *body;
  int64_t catalog_version; /* of the catalog by which that host answered; -1:
                              not known */
};

/* Called at most once; not if the caller has disconnected.  */
typedef void (*rl_callback) (void *ctx, struct hs_request *request,
                             const struct rl_answer *answer);

/*! rl_is_relayed () :
 *  @return : whether another host has relayed the request to this one. */
bool rl_is_relayed (struct hs_request *request);

/*! rl_min_catalog_version () :
 *  @return : lowest catalog version by which a relayed request may be
 *            answered; -1: any, or the request is not relayed. */
int64_t rl_min_catalog_version (struct hs_request *request);

/* Header with a catalog version: in a relayed request the lowest that it may
   be answered by, in its answer the one by which it was answered.  */
#define RL_HEADER_VERSION "Foxtailgap-Version"

/*! rl_create () :
 *  @return : NULL without memory. */
struct relay *rl_create (const struct rl_params *params);

/*! rl_free () :
 *  Accepts NULL. */
void rl_free (struct relay *relay);

/*! rl_relay () :
 *  Sends the request to another host, and to a second one if the first cannot
 *  serve it.
 *  @address : IP:PORT of the only host to try; NULL: random hosts.
 *  @min_catalog_version : lowest catalog version by which it may be answered.
 *  @return : false if it cannot be relayed: another host has relayed it here,
 *            no other host is known, or sending fails. */
bool rl_relay (struct relay *relay, struct hs_request *request,
               const char *address, int64_t min_catalog_version,
               rl_callback callback, void *ctx);

#endif
