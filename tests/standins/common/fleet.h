/* Many instances of one kind in one process, each with a port of its own, and
   a control port.  Prefix: fl_.  */

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
  FL_ERR_LISTEN = -2,
};

struct fl_fleet;
struct fl_instance;

struct fl_params
{
  struct ev_loop *loop;
  const char *address;
  uint16_t port;             /* of control; instances follow; 0: free ports */
  const char *hosts_url;     /* NULL: instances are not registered */
  const char *label;         /* member of a control request: the name */
  uint32_t connection_limit; /* of each instance */
  uint64_t body_limit_bytes;
  /* Answers a request to an instance.  */
  void (*handle) (void *ctx, struct fl_instance *instance,
                  struct hs_request *request);
  /* Obeys what is particular to the kind in a control request.  */
  void (*control) (void *ctx, struct fl_instance *instance,
                   const json_t *command);
  /* The instance has gone: all that it did ends, and no request that it has
     not answered may be used any more after the call.  */
  void (*down) (void *ctx, struct fl_instance *instance);
  /* The instance is back and remembers nothing.  */
  void (*up) (void *ctx, struct fl_instance *instance);
  void *ctx;
};

int fl_create (struct fl_fleet **out, const struct fl_params *params);

/*! fl_free () :
 *  Ends all instances, as if each of them had gone.  Accepts NULL. */
void fl_free (struct fl_fleet *fleet);

/*! fl_add () :
 *  Starts an instance.
 *  @host : its entry in the host list, without address and port; the
 *  reference is taken.
 *  @data : for fl_data ().
 *  @return : FL_OK or an fl_error. */
int fl_add (struct fl_fleet *fleet, json_t *host, void *data);

/*! fl_run () :
 *  Registers all instances, prints "listening PORT" and serves until SIGTERM.
 *  @return : the exit status. */
int fl_run (struct fl_fleet *fleet);

/*! fl_set_state () :
 *  Changes "state" of the instance's entry; registers it again if LISTED. */
void fl_set_state (struct fl_instance *instance, const char *state,
                   bool listed);

const char *fl_name (const struct fl_instance *instance);
void *fl_data (const struct fl_instance *instance);

/*! fl_label () :
 *  @return : PREFIX and NUMBER, with as many digits as LAST has, and two at
 *  least; to be freed by g_free (). */
char *fl_label (const char *prefix, uint32_t number, uint32_t last);

#endif
