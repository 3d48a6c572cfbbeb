/* Publishes changes of the folded state to the tasks that subscribed to them.
   Prefix: pub_.  */

#ifndef FT_STATE_PUBLISH_H
#define FT_STATE_PUBLISH_H

#include <ev.h>

#include "messages.h"

struct pub_list;

struct pub_list *pub_create (struct ev_loop *loop);
void pub_free (struct pub_list *list);

/*! pub_subscribe () :
 *  Adds a subscriber and sends it the current state of all that it
 *  subscribes to.
 *  @own_term : newest term that this process acquired; 0: none. */
void pub_subscribe (struct pub_list *list,
                    const struct msg_subscribe *subscribe,
                    const struct st_state *state, uint64_t own_term);

/* Each sends one change to the subscribers of its kind.  */
void pub_term (struct pub_list *list, const struct st_state *state,
               uint64_t own_term);
void pub_config (struct pub_list *list, const struct st_revision *revision);
void pub_job (struct pub_list *list, struct st_job *job);
void pub_job_dropped (struct pub_list *list, const char *id);
void pub_claim (struct pub_list *list, struct st_claim *claim);
void pub_claim_dropped (struct pub_list *list, const char *key);

/*! pub_log_status () :
 *  Sends the health of the log: at once if up or caught_up has changed, and
 *  after a short delay if only the offset has. */
void pub_log_status (struct pub_list *list,
                     const struct msg_log_status *status);

#endif
