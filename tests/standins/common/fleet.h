/* Many instances of one kind, such as workers, in one process.  Prefix: fl_.

   Each instance has a port of its own.  The fleet has one more port for
   control requests (POST /control) and for the list of its instances (GET
   /hosts), in the format of the host list; a
   control request may also come in at the port of an instance.  */

#ifndef FT_FLEET_H
#define FT_FLEET_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/http_server.h"

enum fl_error
{
  FL_OK = 0,
  FL_ERR_MEMORY = -1,
  FL_ERR_LISTEN = -2, /* a port cannot be bound or listened on */
};

struct fl_fleet;
struct fl_instance;

struct fl_params
{
  struct ev_loop *loop;
  const char *address;
  /* Of the fleet; the instances use the next ones.  0: any free ports.  */
  uint16_t port;
  const char *hosts_url; /* NULL: instances are not registered */
  /* Member of a control request that names the instance.  */
  const char *name_member;
  uint32_t connection_limit; /* of each instance */
  uint64_t body_limit_bytes;
  /* Answers a request to an instance.  */
  void (*handle_request) (void *ctx, struct fl_instance *instance,
                          struct hs_request *request);
  /* Applies the members of a control request that only this kind has.  */
  void (*apply_command) (void *ctx, struct fl_instance *instance,
                         const json_t *command);
  /* The instance stops: all its work ends.  Requests that it has not answered
     must not be used after the call.  */
  void (*on_stopped) (void *ctx, struct fl_instance *instance);
  /* The instance listens again after a stop, without its earlier state.  */
  void (*on_restarted) (void *ctx, struct fl_instance *instance);
  void *ctx;
};

/*! fl_create () :
 *  Listens on the port of the fleet.
 *  @return : FL_OK with *out set, or an fl_error. */
int fl_create (struct fl_fleet **out, const struct fl_params *params);

/*! fl_free () :
 *  Stops all instances, with a call of on_stopped for each that listens.
 *  Accepts NULL. */
void fl_free (struct fl_fleet *fleet);

/*! fl_add () :
 *  Starts an instance.
 *  @host : its entry in the host list, without address and port; the
 *  reference is taken.
 *  @data : the owner's data of the instance, returned by fl_data ().
 *  @return : FL_OK or an fl_error. */
int fl_add (struct fl_fleet *fleet, json_t *host, void *data);

/*! fl_run () :
 *  Registers all instances, prints "listening PORT" when the host list has
 *  accepted them, and serves until SIGTERM or SIGINT.
 *  @return : the exit status; 1 if a registration failed. */
int fl_run (struct fl_fleet *fleet);

/*! fl_set_state () :
 *  Changes "state" in the instance's entry of the host list.
 *  @listed : whether to send the changed entry to the host list. */
void fl_set_state (struct fl_instance *instance, const char *state,
                   bool listed);

/*! fl_name (), fl_data () :
 *  @return : the instance's name, owned by the instance; the data that was
 *  given to fl_add (). */
const char *fl_name (const struct fl_instance *instance);
void *fl_data (const struct fl_instance *instance);

/*! fl_numbered_name () :
 *  @return : PREFIX followed by NUMBER, padded with zeros to the digits of
 *  LAST, the greatest number, but to 2 at least and 5 at most; to be freed by
 *  g_free (). */
char *fl_numbered_name (const char *prefix, uint32_t number, uint32_t last);

#endif
