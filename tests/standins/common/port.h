/* Reserves a TCP port for a server that stops and starts again.
   Prefix: po_.  */

#ifndef FT_PORT_H
#define FT_PORT_H

#include <stdint.h>

enum po_error
{
  PO_ERR_ADDRESS = -1, /* the address is not an IP number */
  PO_ERR_BIND = -2,    /* no socket, or the port is in use */
};

/*! po_reserve () :
 *  Binds a port without listening on it.  Connections to the port are refused
 *  until a server listens on it, which SO_REUSEADDR allows.
 *  @port : 0: any free port; set to the port that was bound.
 *  @return : a file descriptor, which the caller closes to release the port;
 *  or a po_error, which is negative. */
int po_reserve (const char *address, uint16_t *port);

#endif
