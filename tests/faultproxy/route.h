/* One route of the proxy: a port on which clients connect, the server that
   their connections are forwarded to, and the connections.  Prefix: ro_.

   A silent connection is one that ro_silence_connections () has made carry no
   bytes any more; it stays silent until it is closed.  */

#ifndef FT_ROUTE_H
#define FT_ROUTE_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum ro_error
{
  RO_OK = 0,
  RO_ERR_ADDRESS = -1, /* a server that is not IP:PORT */
  RO_ERR_LISTEN = -2,  /* the port cannot be bound or listened on */
};

struct ro_route;

/*! ro_create () :
 *  @address, @port : IP number and port to listen on; port 0: any free port.
 *  @server : IP:PORT to forward to.
 *  @return : RO_OK with *out set, or an ro_error. */
int ro_create (struct ro_route **out, struct ev_loop *loop,
               const char *address, uint16_t port, const char *server);
void ro_free (struct ro_route *route); /* accepts NULL */

/*! ro_port () :
 *  @return : the port that the route listens on. */
uint16_t ro_port (const struct ro_route *route);

/*! ro_set_cut () :
 *  A cut route closes its connections, except silent ones, and refuses new
 *  ones. */
void ro_set_cut (struct ro_route *route, bool cut);

/*! ro_close_connections () :
 *  Closes the connections that are open now, except silent ones. */
void ro_close_connections (struct ro_route *route);

/*! ro_set_delay () :
 *  Sets the delay, in each direction, of bytes that arrive from now on. */
void ro_set_delay (struct ro_route *route, uint32_t delay_ms);

/*! ro_set_frozen () :
 *  Keeps bytes from being forwarded to the server, to the client, or both,
 *  until the route is no longer frozen in that direction. */
void ro_set_frozen (struct ro_route *route, bool to_server, bool from_server);

/*! ro_drop_answers () :
 *  Sets how many answers are still to be dropped, in place of an earlier
 *  number.  The next COUNT requests are forwarded, but each one's connection
 *  is closed when the first bytes of its answer arrive, so that the client
 *  gets no answer. */
void ro_drop_answers (struct ro_route *route, uint32_t count);

/*! ro_silence_connections () :
 *  Makes the connections that are open now carry no bytes any more, nor the
 *  end of a stream, as if the network dropped all their packets. */
void ro_silence_connections (struct ro_route *route);

/*! ro_json () :
 *  @return : JSON object, owned by the caller: port, connections (open now),
 *  accepted (connections in total), bytes_to and bytes_from (forwarded to and
 *  from the server), drop_answer (answers that are still to be dropped). */
json_t *ro_json (const struct ro_route *route);

#endif
