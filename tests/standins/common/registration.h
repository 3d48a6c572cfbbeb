/* Registers hosts with the host list.  Prefix: rg_.  */

#ifndef FT_REGISTRATION_H
#define FT_REGISTRATION_H

#include <ev.h>
#include <jansson.h>

struct rg_list;

/* Called each time that no registration is on its way any more.
   FAILED: how many of them the host list has not taken.  */
typedef void (*rg_idle) (void *ctx, unsigned int failed);

/*! rg_create () :
 *  @url : of the host list, without the path; NULL: nothing is sent, and
 *  each registration succeeds.
 *  @return : NULL without memory. */
struct rg_list *rg_create (struct ev_loop *loop, const char *url, rg_idle idle,
                           void *ctx);
void rg_free (struct rg_list *list); /* accepts NULL */

/*! rg_post () :
 *  Adds or replaces one host, whose reference is taken. */
void rg_post (struct rg_list *list, json_t *host);

/*! rg_flush () :
 *  Calls idle at once if nothing is on its way. */
void rg_flush (struct rg_list *list);

#endif
