/* One route of the proxy: a port that is listened on, a server, and the
   connections between them.  Prefix: ro_.  */

#ifndef FT_ROUTE_H
#define FT_ROUTE_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum ro_error
{
  RO_OK = 0,
  RO_ERR_ADDRESS = -1, /* the server's is not IP:PORT */
  RO_ERR_LISTEN = -2,
};

struct ro_route;

/*! ro_create () :
 *  @address, @port : to listen on; port 0: any free one.
 *  @server : IP:PORT.
 *  @return : RO_OK with *out set, or an ro_error. */
int ro_create (struct ro_route **out, struct ev_loop *loop,
               const char *address, uint16_t port, const char *server);
void ro_free (struct ro_route *route); /* accepts NULL */

uint16_t ro_port (const struct ro_route *route);

/*! ro_cut () :
 *  Closes all connections, and refuses new ones while it is cut. */
void ro_cut (struct ro_route *route, bool cut);

/*! ro_reset () :
 *  Closes the connections that are open now. */
void ro_reset (struct ro_route *route);

/*! ro_set_delay () :
 *  Each way, for bytes that arrive from now on. */
void ro_set_delay (struct ro_route *route, uint32_t delay_ms);

/*! ro_freeze () :
 *  Holds what goes to the server, and from it. */
void ro_freeze (struct ro_route *route, bool to, bool from);

/*! ro_drop_answers () :
 *  Lets COUNT requests pass and closes their connections when the answer
 *  begins. */
void ro_drop_answers (struct ro_route *route, uint32_t count);

/*! ro_silence () :
 *  The connections that are open now carry nothing any more, not even their
 *  end. */
void ro_silence (struct ro_route *route);

/*! ro_json () :
 *  @return : port, connections, accepted, bytes_to, bytes_from. */
json_t *ro_json (const struct ro_route *route);

#endif
