/* Registers hosts with the host list.  Prefix: rg_.

   A host is here any entry of the platform's host list: a worker, an upstream
   instance or an entry host, which runs the scheduler daemon.  */

#ifndef FT_REGISTRATION_H
#define FT_REGISTRATION_H

#include <ev.h>
#include <jansson.h>

struct rg_list;

/* Called each time that the last pending registration has been answered.
   FAILED: the number of registrations since the last call that failed.  */
typedef void (*rg_idle) (void *ctx, unsigned int failed);

/*! rg_create () :
 *  @url : base URL of the host list, without the path; NULL: nothing is sent,
 *  and each registration succeeds.
 *  @idle : called when no registration is pending any more.
 *  @return : NULL if the HTTP client cannot be created. */
struct rg_list *rg_create (struct ev_loop *loop, const char *url, rg_idle idle,
                           void *ctx);
void rg_free (struct rg_list *list); /* accepts NULL */

/*! rg_register () :
 *  Adds one host to the host list, or replaces it there.
 *  @host : the reference is taken. */
void rg_register (struct rg_list *list, json_t *host);

/*! rg_notify_if_idle () :
 *  Calls the idle callback at once if no registration is pending. */
void rg_notify_if_idle (struct rg_list *list);

#endif
